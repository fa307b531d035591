//! Keys of the mutual TLS between daemons.
//!
//! Daemons are dialled by IP number, so a certificate cannot be checked against
//! a dialled name. It is checked against the authority, and the name that it
//! carries is compared with the peer's hello afterwards.

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

/// The suffix of every daemon's certificate name.
pub const NAME_SUFFIX: &str = ".radishgauge.internal";

/// The application protocol of the handshake; another number is another protocol.
const PROTOCOL: &[u8] = b"radishgauge/1";

/// The PEM texts of one daemon.
#[derive(Clone)]
pub struct PeerIdentity {
    /// The certificates of the authority that signs all daemons.
    pub ca: String,
    /// The chain of this daemon, its own certificate first.
    pub certificate: String,
    /// The private key of the first certificate.
    pub key: String,
}

impl PeerIdentity {
    /// Returns the name in this daemon's own certificate.
    ///
    /// # Errors
    ///
    /// When the text holds no certificate, or one without such a name.
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
    /// The host.
    pub host: SmolStr,
    /// Its failure domain.
    pub failure_domain: SmolStr,
}

impl PeerName {
    /// Reads the name from a certificate; `None` when it has none of the form
    /// `<host>.<failure domain>.radishgauge.internal`, or more than one.
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

    /// Reads the name from a text.
    pub fn parse(text: &str) -> Option<PeerName> {
        let (host, failure_domain) = text.strip_suffix(NAME_SUFFIX)?.split_once('.')?;
        let whole = !host.is_empty() && !failure_domain.is_empty() && !failure_domain.contains('.');
        whole.then(|| PeerName {
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

/// The two halves of one daemon's TLS configuration.
pub(crate) struct TlsPair {
    pub(crate) server: Arc<rustls::ServerConfig>,
    pub(crate) client: Arc<rustls::ClientConfig>,
    /// Secret bytes derived from the private key.
    pub(crate) secret: [u8; 32],
}

/// Builds both halves from the PEM texts.
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
    // All peers share one TLS name, so a ticket of one could be offered to
    // another; every session therefore makes a full handshake.
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

/// Checks a server's chain against the authority under the name that its own
/// certificate carries.
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
