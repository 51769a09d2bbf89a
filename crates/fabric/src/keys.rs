//! The fleet's authority and the keys it issues: made by `coltsfootnotch keys`, kept as PEM files.

use derive_more::{Display, Error, From};
use rcgen::string::Ia5String;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

use crate::PeerId;

/// Server name in every certificate: identity is the URI, which TLS itself does not compare.
pub(crate) const SERVER_NAME: &str = "fleet.coltsfootnotch.internal";

/// Why keys can't be made.
#[derive(Debug, Display, Error, From)]
pub enum KeysError {
    /// The library refused.
    #[display("the key or certificate can't be made")]
    Rcgen(rcgen::Error),
}

/// The authority of one fleet.
pub struct Authority {
    certificate: String,
    key: KeyPair,
}

/// A certificate and its key, both as PEM.
#[derive(Debug, Clone)]
pub struct IssuedKey {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    /// Returns an error when the library can't make the key.
    ///
    /// ```
    /// use coltsfootnotch_fabric::Authority;
    /// assert!(Authority::generate()?.certificate().starts_with("-----BEGIN CERTIFICATE"));
    /// # Ok::<(), coltsfootnotch_fabric::KeysError>(())
    /// ```
    pub fn generate() -> Result<Self, KeysError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![])?;
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params
            .distinguished_name
            .push(DnType::CommonName, "coltsfootnotch fleet authority");
        let certificate = params.self_signed(&key)?.pem();
        Ok(Self { certificate, key })
    }

    /// Reads an authority that was kept as PEM.
    ///
    /// # Errors
    /// Returns an error when the key can't be read.
    pub fn from_pem(certificate: String, key: &str) -> Result<Self, KeysError> {
        let key = KeyPair::from_pem(key)?;
        Ok(Self { certificate, key })
    }

    /// The certificate that every process trusts, as PEM.
    #[must_use]
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// The private key, as PEM.
    #[must_use]
    pub fn key(&self) -> String {
        self.key.serialize_pem()
    }

    /// Issues the key of one process.
    ///
    /// # Errors
    /// Returns an error when the library can't make or sign it.
    pub fn issue(&self, peer: &PeerId) -> Result<IssuedKey, KeysError> {
        let issuer = Issuer::from_ca_cert_pem(&self.certificate, &self.key)?;
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![SERVER_NAME.to_owned()])?;
        params
            .subject_alt_names
            .push(SanType::URI(Ia5String::try_from(peer.to_uri())?));
        params
            .distinguished_name
            .push(DnType::CommonName, peer.to_string());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params.signed_by(&key, &issuer)?.pem();
        Ok(IssuedKey {
            certificate,
            key: key.serialize_pem(),
        })
    }
}
