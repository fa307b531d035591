//! Certificates and keys for mutual TLS between daemons.
//!
//! Daemons connect to IP addresses, so a certificate cannot be verified against
//! a host name. Its chain is verified against the authority, and the name that it
//! contains is compared with the peer's hello afterwards.

use std::sync::Arc;

use rustls::DigitallySignedStruct;
use rustls::DistinguishedName;
use rustls::RootCertStore;
use rustls::SignatureScheme;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::ServerName;
use rustls_pki_types::UnixTime;
use rustls_pki_types::pem::PemObject;
use smol_str::SmolStr;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::FromDer;
use x509_parser::prelude::X509Certificate;

use crate::error::PeerFault;

/// The suffix of the name in every daemon's certificate.
pub const NAME_SUFFIX: &str = ".radishgauge.internal";

/// The application protocol (ALPN) of the handshake. Protocols with different
/// numbers are not compatible.
const PROTOCOL: &[u8] = b"radishgauge/1";

/// The certificates and private key of one daemon, in PEM.
#[derive(Clone)]
pub struct PeerIdentity {
    /// The certificates of the authority that signs the certificates of all daemons.
    pub ca: String,
    /// The certificate chain of this daemon, its own certificate first.
    pub certificate: String,
    /// The private key of the first certificate.
    pub key: String,
}

impl PeerIdentity {
    /// Returns the name in this daemon's own certificate.
    ///
    /// # Errors
    ///
    /// When the text contains no certificate, or one without a name of the form
    /// `<host>.<failure domain>.radishgauge.internal`.
    pub fn name(&self) -> Result<PeerName, PeerFault> {
        let certificate = CertificateDer::from_pem_slice(self.certificate.as_bytes())
            .map_err(|error| PeerFault::Keys(format!("certificate: {error}")))?;
        PeerName::of(&certificate).ok_or_else(|| {
            PeerFault::Keys(format!(
                "certificate: no name <host>.<failure domain>{NAME_SUFFIX}"
            ))
        })
    }
}

/// The host and the failure domain that a certificate names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerName {
    /// The first label of the name.
    pub host: SmolStr,
    /// The second label of the name.
    pub failure_domain: SmolStr,
}

impl PeerName {
    /// Returns the name in a certificate, or `None` unless the certificate has
    /// exactly one of the form `<host>.<failure domain>.radishgauge.internal`.
    pub fn of(certificate: &CertificateDer<'_>) -> Option<PeerName> {
        let (_, parsed) = X509Certificate::from_der(certificate).ok()?;
        let names = parsed.subject_alternative_name().ok()??;
        let mut found = names
            .value
            .general_names
            .iter()
            .filter_map(|name| match name {
                GeneralName::DNSName(name) => PeerName::parse(name),
                _ => None,
            });
        let name = found.next()?;
        found.next().is_none().then_some(name)
    }

    /// Parses a name of the form `<host>.<failure domain>.radishgauge.internal`.
    pub fn parse(text: &str) -> Option<PeerName> {
        let (host, failure_domain) = text.strip_suffix(NAME_SUFFIX)?.split_once('.')?;
        let is_complete =
            !host.is_empty() && !failure_domain.is_empty() && !failure_domain.contains('.');
        is_complete.then(|| PeerName {
            host: host.into(),
            failure_domain: failure_domain.into(),
        })
    }
}

impl std::fmt::Display for PeerName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.host, self.failure_domain)
    }
}

/// The server and client TLS configurations of one daemon.
pub(crate) struct TlsPair {
    pub(crate) server: Arc<rustls::ServerConfig>,
    pub(crate) client: Arc<rustls::ClientConfig>,
    /// Secret bytes derived from the private key, which sign reset tokens.
    pub(crate) secret: [u8; 32],
}

/// Builds both configurations from the PEM texts.
pub(crate) fn tls_pair(identity: &PeerIdentity) -> Result<TlsPair, PeerFault> {
    let keys =
        |what: &str, error: &dyn std::fmt::Display| PeerFault::Keys(format!("{what}: {error}"));
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut roots = RootCertStore::empty();
    for root in certificates(&identity.ca).map_err(|error| keys("ca", &error))? {
        roots.add(root).map_err(|error| keys("ca", &error))?;
    }
    let roots = Arc::new(roots);
    let chain = certificates(&identity.certificate).map_err(|error| keys("certificate", &error))?;
    let key = PrivateKeyDer::from_pem_slice(identity.key.as_bytes())
        .map_err(|error| keys("key", &error))?;
    let secret = blake3::derive_key("radishgauge 2026 quic stateless reset", key.secret_der());

    let clients = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|error| keys("ca", &error))?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| keys("tls", &error))?
        .with_client_cert_verifier(clients)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(|error| keys("certificate", &error))?;
    server.alpn_protocols = vec![PROTOCOL.to_vec()];
    // All peers share one TLS server name, so a ticket of one peer could be
    // offered to another. Without tickets, every session makes a full handshake.
    server.send_tls13_tickets = 0;

    let servers = WebPkiServerVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(|error| keys("ca", &error))?;
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| keys("tls", &error))?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(NamedVerifier { inner: servers }))
        .with_client_auth_cert(chain, key)
        .map_err(|error| keys("certificate", &error))?;
    client.alpn_protocols = vec![PROTOCOL.to_vec()];
    client.resumption = rustls::client::Resumption::disabled();

    Ok(TlsPair {
        server: Arc::new(server),
        client: Arc::new(client),
        secret,
    })
}

fn certificates(pem: &str) -> Result<Vec<CertificateDer<'static>>, String> {
    let found = CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| error.to_string())?;
    if found.is_empty() {
        return Err("no certificate in the PEM text".to_owned());
    }
    Ok(found)
}

/// Verifies a server's certificate chain against the authority, using the name
/// in the certificate itself as the expected server name.
#[derive(Debug)]
struct NamedVerifier {
    inner: Arc<WebPkiServerVerifier>,
}

impl ServerCertVerifier for NamedVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        let name = PeerName::of(end_entity).ok_or(rustls::Error::InvalidCertificate(
            rustls::CertificateError::NotValidForName,
        ))?;
        let name = ServerName::try_from(format!("{name}{NAME_SUFFIX}")).map_err(|_| {
            rustls::Error::InvalidCertificate(rustls::CertificateError::BadEncoding)
        })?;
        self.inner
            .verify_server_cert(end_entity, intermediates, &name, ocsp_response, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.inner.verify_tls12_signature(message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.inner.verify_tls13_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.inner.supported_verify_schemes()
    }

    fn root_hint_subjects(&self) -> Option<&[DistinguishedName]> {
        self.inner.root_hint_subjects()
    }
}
