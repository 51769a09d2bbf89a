//! What a process shows and whom it trusts.

use std::sync::Arc;

use derive_more::{Display, Error, From};
use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::any_peer::AnyPeer;
use crate::{Authority, KeysError, PeerError, PeerId};

const ALPN: &[u8] = b"coltsfootnotch/1";

/// Why credentials can't be used.
#[derive(Debug, Display, Error, From)]
pub enum CredentialsError {
    /// A PEM text can't be read.
    #[display("a certificate or key is not PEM")]
    Pem(pem::Error),
    /// TLS refuses them.
    #[display("the certificate and key don't make TLS credentials")]
    Tls(rustls::Error),
    /// The authority can't verify clients.
    #[display("the authority can't be used to verify peers")]
    Verifier(rustls::server::VerifierBuilderError),
    /// TLS has no cipher suite for QUIC.
    #[display("TLS offers no cipher suite for QUIC")]
    CipherSuite(NoInitialCipherSuite),
    /// The certificate names no process.
    #[display("the certificate names no role and host")]
    Peer(PeerError),
    /// No certificate can be made.
    #[display("a certificate can't be made")]
    Keys(KeysError),
}

/// The certificate, key and authority of one process.
pub struct Credentials {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
    peer: PeerId,
    /// Whether peers are believed who they claim to be.
    trusts_any: bool,
}

impl Credentials {
    /// Reads three PEM texts.
    ///
    /// # Errors
    /// Returns an error when a text is not PEM or the certificate names no role and host.
    pub fn from_pem(
        authority: &str,
        certificate: &str,
        key: &str,
    ) -> Result<Self, CredentialsError> {
        let authority = CertificateDer::from_pem_slice(authority.as_bytes())?;
        let certificate = CertificateDer::from_pem_slice(certificate.as_bytes())?;
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes())?;
        let peer = PeerId::from_certificate(&certificate)?;
        Ok(Self {
            authority,
            certificate,
            key,
            peer,
            trusts_any: false,
        })
    }

    /// Makes a certificate of this process's own, for a fleet whose hosts are given no keys. Peers
    /// are believed who they claim to be: the network between the hosts must be closed to others.
    ///
    /// # Errors
    /// Returns an error when the library can't make the certificate.
    ///
    /// ```
    /// use coltsfootnotch_fabric::{Credentials, PeerId};
    /// use coltsfootnotch_types::{HostName, Role};
    /// let peer = PeerId { role: Role::Entry, host: HostName::new("e1").unwrap() };
    /// assert_eq!(*Credentials::without_authority(&peer).unwrap().peer(), peer);
    /// ```
    pub fn without_authority(peer: &PeerId) -> Result<Self, CredentialsError> {
        let authority = Authority::generate()?;
        let issued = authority.issue(peer)?;
        let own = Self::from_pem(authority.certificate(), &issued.certificate, &issued.key)?;
        Ok(Self {
            trusts_any: true,
            ..own
        })
    }

    /// The process that these credentials stand for.
    #[must_use]
    pub fn peer(&self) -> &PeerId {
        &self.peer
    }

    pub(crate) fn server(&self) -> Result<QuicServerConfig, CredentialsError> {
        let provider = provider();
        let verifier = self.client_verifier(&provider)?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(QuicServerConfig::try_from(tls)?)
    }

    fn client_verifier(
        &self,
        provider: &Arc<CryptoProvider>,
    ) -> Result<Arc<dyn ClientCertVerifier>, CredentialsError> {
        if self.trusts_any {
            return Ok(Arc::new(AnyPeer::new(Arc::clone(provider))));
        }
        let roots = Arc::new(self.roots()?);
        let builder = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(provider));
        Ok(builder.build()?)
    }

    pub(crate) fn client(&self) -> Result<QuicClientConfig, CredentialsError> {
        let provider = provider();
        let builder = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])?;
        let builder = if self.trusts_any {
            let verifier = Arc::new(AnyPeer::new(provider));
            builder
                .dangerous()
                .with_custom_certificate_verifier(verifier)
        } else {
            builder.with_root_certificates(self.roots()?)
        };
        let mut tls =
            builder.with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(QuicClientConfig::try_from(tls)?)
    }

    fn roots(&self) -> Result<RootCertStore, CredentialsError> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(roots)
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
