//! Who is at the other end of a connection, from its certificate.

use coltsfootnotch_types::prelude::*;
use derive_more::{Display, Error};
use rustls_pki_types::CertificateDer;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Scheme of the URI by which a certificate names its host and role.
pub(crate) const URI_SCHEME: &str = "coltsfootnotch://";

/// A process as its certificate names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{role}/{host}")]
pub struct PeerId {
    /// Its role.
    pub role: Role,
    /// Its host.
    pub host: HostName,
}

/// Why a certificate names no process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PeerError {
    /// The peer showed no certificate.
    #[display("the peer showed no certificate")]
    NoCertificate,
    /// The certificate can't be read.
    #[display("the certificate of the peer can't be read")]
    Unreadable,
    /// The certificate has no name of the fleet.
    #[display("the certificate of the peer names no role and host")]
    NoName,
}

impl PeerId {
    /// The URI that stands for this process in its certificate.
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

    /// Reads the URI of a certificate.
    #[must_use]
    pub fn from_uri(uri: &str) -> Option<Self> {
        let (role, host) = uri.strip_prefix(URI_SCHEME)?.split_once('/')?;
        let role = [Role::Entry, Role::Sidecar, Role::Control, Role::Operator]
            .into_iter()
            .find(|known| known.to_string() == role)?;
        let host = HostName::new(host).ok()?;
        Some(Self { role, host })
    }

    /// Reads a certificate that TLS has already verified against the fleet's authority.
    ///
    /// # Errors
    /// Returns a [`PeerError`] when it can't be read or names no role and host.
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Result<Self, PeerError> {
        let (_, parsed) =
            X509Certificate::from_der(certificate).map_err(|_| PeerError::Unreadable)?;
        let names = parsed
            .subject_alternative_name()
            .map_err(|_| PeerError::Unreadable)?
            .ok_or(PeerError::NoName)?;
        let uris = names
            .value
            .general_names
            .iter()
            .filter_map(|name| match name {
                GeneralName::URI(uri) => Some(*uri),
                _ => None,
            });
        uris.filter_map(Self::from_uri)
            .next()
            .ok_or(PeerError::NoName)
    }
}
