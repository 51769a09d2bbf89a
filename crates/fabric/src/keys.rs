//! The fleet's certificate authority and the keys that it issues, stored as PEM files.
//!
//! `coltsfootnotch keys` generates them.

use derive_more::{Display, Error, From};
use rcgen::string::Ia5String;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};

use crate::PeerId;

/// DNS name in every certificate, for TLS's server name check. The process is identified by the URI.
pub(crate) const SERVER_NAME: &str = "fleet.coltsfootnotch.internal";

/// An error in generating or signing keys.
#[derive(Debug, Display, Error, From)]
pub enum KeysError {
    /// `rcgen` returned an error.
    #[display("the key or certificate can't be generated")]
    Rcgen(rcgen::Error),
}

/// The certificate authority of a fleet.
pub struct Authority {
    certificate: String,
    key: KeyPair,
}

/// A certificate and its private key in PEM format.
#[derive(Debug, Clone)]
pub struct IssuedKey {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

impl Authority {
    /// Generates a new authority.
    ///
    /// # Errors
    /// Returns an error when the key or its certificate can't be generated.
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

    /// Loads an authority from PEM.
    ///
    /// # Errors
    /// Returns an error when the key can't be parsed.
    pub fn from_pem(certificate: String, key: &str) -> Result<Self, KeysError> {
        let key = KeyPair::from_pem(key)?;
        Ok(Self { certificate, key })
    }

    /// The certificate that every process trusts, in PEM format.
    #[must_use]
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// The private key in PEM format.
    #[must_use]
    pub fn key(&self) -> String {
        self.key.serialize_pem()
    }

    /// Issues a certificate and key for a process.
    ///
    /// # Errors
    /// Returns an error when the certificate can't be generated or signed.
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
