//! The identity of a process, read from its certificate.

use coltsfootnotch_types::prelude::*;
use derive_more::{Display, Error};
use rustls_pki_types::CertificateDer;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Scheme of the URI that contains the role and host in a certificate.
pub(crate) const URI_SCHEME: &str = "coltsfootnotch://";

/// The identity of a process, as stated in its certificate.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{role}/{host}")]
pub struct PeerId {
    /// The role of the process.
    pub role: Role,
    /// The host that the process runs on.
    pub host: HostName,
}

/// An error in reading the identity of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PeerError {
    /// The peer presented no certificate.
    #[display("the peer presented no certificate")]
    NoCertificate,
    /// The certificate can't be parsed.
    #[display("the certificate of the peer can't be parsed")]
    Unreadable,
    /// The certificate contains no role and host.
    #[display("the certificate of the peer contains no role and host")]
    NoIdentity,
}

impl PeerId {
    /// The URI that identifies this process in its certificate.
    ///
    /// ```
    /// use coltsfootnotch_fabric::PeerId;
    /// use coltsfootnotch_types::{HostName, Role};
    /// let peer = PeerId { role: Role::Entry, host: HostName::new("e1").unwrap() };
    /// assert_eq!(peer.to_uri(), "coltsfootnotch://entry/e1");
    /// assert_eq!(PeerId::from_uri("coltsfootnotch://entry/e1"), Some(peer));
    /// ```
    #[must_use]
    pub fn to_uri(&self) -> String {
        format!("{URI_SCHEME}{}/{}", self.role, self.host)
    }

    /// Parses the URI of a certificate.
    #[must_use]
    pub fn from_uri(uri: &str) -> Option<Self> {
        let (role, host) = uri.strip_prefix(URI_SCHEME)?.split_once('/')?;
        let role = [Role::Entry, Role::Sidecar, Role::Control, Role::Operator]
            .into_iter()
            .find(|candidate| candidate.to_string() == role)?;
        let host = HostName::new(host).ok()?;
        Some(Self { role, host })
    }

    /// Reads the identity from a certificate.
    ///
    /// The signature is not checked: TLS has verified the certificate before.
    ///
    /// # Errors
    /// Returns a [`PeerError`] when the certificate can't be parsed or contains no role and host.
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Result<Self, PeerError> {
        let (_, parsed) =
            X509Certificate::from_der(certificate).map_err(|_| PeerError::Unreadable)?;
        let alt_names = parsed
            .subject_alternative_name()
            .map_err(|_| PeerError::Unreadable)?
            .ok_or(PeerError::NoIdentity)?;
        let uris = alt_names
            .value
            .general_names
            .iter()
            .filter_map(|name| match name {
                GeneralName::URI(uri) => Some(*uri),
                _ => None,
            });
        uris.filter_map(Self::from_uri)
            .next()
            .ok_or(PeerError::NoIdentity)
    }
}
