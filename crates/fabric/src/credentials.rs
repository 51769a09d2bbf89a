//! TLS credentials of a process and the verification of its peers.

use std::sync::Arc;

use derive_more::{Display, Error, From};
use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::accept_any::AcceptAnyCertificate;
use crate::{Authority, KeysError, PeerError, PeerId};

const ALPN: &[u8] = b"coltsfootnotch/1";

/// An error in loading or applying credentials.
#[derive(Debug, Display, Error, From)]
pub enum CredentialsError {
    /// A certificate or key is not valid PEM.
    #[display("a certificate or key is not valid PEM")]
    Pem(pem::Error),
    /// TLS rejected the certificate or key.
    #[display("TLS rejected the certificate or key")]
    Tls(rustls::Error),
    /// The authority's certificate can't be used to verify clients.
    #[display("the certificate of the authority can't be used to verify peers")]
    Verifier(rustls::server::VerifierBuilderError),
    /// The TLS provider has no cipher suite that QUIC supports.
    #[display("the TLS provider has no cipher suite for QUIC")]
    CipherSuite(NoInitialCipherSuite),
    /// The certificate contains no role and host.
    #[display("the certificate contains no role and host")]
    Peer(PeerError),
    /// A certificate can't be generated.
    #[display("a certificate can't be generated")]
    Keys(KeysError),
}

/// The certificate, key and authority of one process.
pub struct Credentials {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
    peer: PeerId,
    /// Accepts peers whose certificates the authority didn't sign.
    accept_any_peer: bool,
}

impl Credentials {
    /// Parses the authority's certificate and this process's certificate and key from PEM.
    ///
    /// # Errors
    /// Returns an error when an input is not valid PEM or the certificate contains no role and host.
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
            accept_any_peer: false,
        })
    }

    /// Generates a certificate for a fleet without a shared authority.
    ///
    /// Peers are not authenticated, so the network between the hosts must be closed to others.
    ///
    /// # Errors
    /// Returns an error when the certificate can't be generated.
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
        let credentials =
            Self::from_pem(authority.certificate(), &issued.certificate, &issued.key)?;
        Ok(Self {
            accept_any_peer: true,
            ..credentials
        })
    }

    /// The process that these credentials identify.
    #[must_use]
    pub fn peer(&self) -> &PeerId {
        &self.peer
    }

    pub(crate) fn server_config(&self) -> Result<QuicServerConfig, CredentialsError> {
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
        if self.accept_any_peer {
            return Ok(Arc::new(AcceptAnyCertificate::new(Arc::clone(provider))));
        }
        let roots = Arc::new(self.root_store()?);
        let builder = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(provider));
        Ok(builder.build()?)
    }

    pub(crate) fn client_config(&self) -> Result<QuicClientConfig, CredentialsError> {
        let provider = provider();
        let builder = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])?;
        let builder = if self.accept_any_peer {
            let verifier = Arc::new(AcceptAnyCertificate::new(provider));
            builder
                .dangerous()
                .with_custom_certificate_verifier(verifier)
        } else {
            builder.with_root_certificates(self.root_store()?)
        };
        let mut tls =
            builder.with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(QuicClientConfig::try_from(tls)?)
    }

    fn root_store(&self) -> Result<RootCertStore, CredentialsError> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(roots)
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
