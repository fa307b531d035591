//! A certificate authority that issues the keys of a fleet's daemons.
//!
//! It issues certificates of the form that [`crate::keys`] requires, for demos,
//! tests and small fleets. Operators may use an authority of their own instead.

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;

use crate::error::PeerFault;
use crate::keys::NAME_SUFFIX;
use crate::keys::PeerIdentity;

/// A certificate authority whose key is held in memory.
pub struct KeyAuthority {
    issuer: Issuer<'static, KeyPair>,
    certificate: String,
}

impl KeyAuthority {
    /// Generates an authority with a new key.
    ///
    /// # Errors
    ///
    /// When the system's random number generator fails.
    pub fn generate() -> Result<KeyAuthority, PeerFault> {
        KeyAuthority::from_key(KeyPair::generate().map_err(fault)?)
    }

    /// Restores the authority from its PEM key, as returned by
    /// [`KeyAuthority::key`]. Certificates that it issued before stay valid.
    ///
    /// # Errors
    ///
    /// When the text contains no usable key.
    pub fn from_key_pem(key: &str) -> Result<KeyAuthority, PeerFault> {
        KeyAuthority::from_key(KeyPair::from_pem(key).map_err(fault)?)
    }

    fn from_key(key: KeyPair) -> Result<KeyAuthority, PeerFault> {
        let mut params = CertificateParams::new(Vec::new()).map_err(fault)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params
            .distinguished_name
            .push(DnType::CommonName, "radishgauge authority");
        let certificate = params.self_signed(&key).map_err(fault)?.pem();
        Ok(KeyAuthority {
            issuer: Issuer::new(params, key),
            certificate,
        })
    }

    /// Returns the authority's certificate in PEM, for the daemons' `ca` setting.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns the authority's private key in PEM.
    pub fn key(&self) -> String {
        self.issuer.key().serialize_pem()
    }

    /// Issues a certificate and key for one daemon.
    ///
    /// # Errors
    ///
    /// When the host or failure domain cannot be part of a name in a certificate.
    ///
    /// # Examples
    ///
    /// ```
    /// use radishgauge_net::KeyAuthority;
    ///
    /// let authority = KeyAuthority::generate()?;
    /// let identity = authority.issue("shop-1", "addis-bole")?;
    /// assert_eq!(identity.name()?.to_string(), "shop-1.addis-bole");
    /// # Ok::<(), radishgauge_net::PeerFault>(())
    /// ```
    pub fn issue(&self, host: &str, failure_domain: &str) -> Result<PeerIdentity, PeerFault> {
        let name = format!("{host}.{failure_domain}{NAME_SUFFIX}");
        let key = KeyPair::generate().map_err(fault)?;
        let mut params = CertificateParams::new(vec![name.clone()]).map_err(fault)?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &self.issuer).map_err(fault)?;
        Ok(PeerIdentity {
            ca: self.certificate.clone(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

fn fault(error: rcgen::Error) -> PeerFault {
    PeerFault::Keys(error.to_string())
}
