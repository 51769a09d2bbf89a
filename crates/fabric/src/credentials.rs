//! What a process shows and whom it trusts.

use std::sync::Arc;

use derive_more::{Display, Error, From};
use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::{PeerError, PeerId};

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
}

/// The certificate, key and authority of one process.
pub struct Credentials {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
    peer: PeerId,
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
        })
    }

    /// The process that these credentials stand for.
    #[must_use]
    pub fn peer(&self) -> &PeerId {
        &self.peer
    }

    pub(crate) fn server(&self) -> Result<QuicServerConfig, CredentialsError> {
        let provider = provider();
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.roots()?),
            Arc::clone(&provider),
        )
        .build()?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(QuicServerConfig::try_from(tls)?)
    }

    pub(crate) fn client(&self) -> Result<QuicClientConfig, CredentialsError> {
        let mut tls = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        Ok(QuicClientConfig::try_from(tls)?)
    }

    fn roots(&self) -> Result<RootCertStore, CredentialsError> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone())?;
        Ok(roots)
    }
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}
