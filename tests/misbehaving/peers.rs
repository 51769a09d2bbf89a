//! Processes that connect to the fleet's listener of a host and stop short of what hosts of a fleet send.

use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_fabric::{Authority, IssuedKey, PeerId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{Hello, Message, ToRelay, WIRE_VERSION};
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{
    ClientConfig, Connection, Endpoint, IdleTimeout, RecvStream, SendStream, TransportConfig,
    VarInt,
};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::{DigitallySignedStruct, Error, SignatureScheme};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time without progress after which a peer counts as not read any more, or refused.
const STALL: Duration = Duration::from_secs(2);
/// Most bytes that a peer sends at once.
const TURN_BYTES: usize = 64 * 1024;
/// Name in the certificates of all hosts.
const SERVER_NAME: &str = "fleet.coltsfootnotch.internal";
/// Protocol that hosts of a fleet agree on.
const ALPN: &[u8] = b"coltsfootnotch/1";
/// Longest body of a frame.
pub(crate) const LONGEST_FRAME: usize = 9 << 20;

/// Peers that stay connected until this value is dropped.
pub(crate) struct PeerCrowd {
    _peers: Vec<Peer>,
    endpoint: Endpoint,
    runtime: Runtime,
}

/// Both halves are kept, as a host takes note when a peer drops one.
type Stream = (SendStream, RecvStream);

struct Peer {
    _connection: Connection,
    _streams: Vec<Stream>,
}

impl Drop for PeerCrowd {
    fn drop(&mut self) {
        self.endpoint.close(0_u32.into(), b"done");
        let closed = async { timeout(STALL, self.endpoint.wait_idle()).await };
        let _is_idle = self.runtime.block_on(closed);
    }
}

impl PeerCrowd {
    /// Connects peers with `key`, or with one that no fleet issued, and has each open `streams` streams and send
    /// `message` on each, until all is sent, refused or no longer read.
    pub(crate) fn send(
        address: SocketAddr,
        peers: usize,
        key: &IssuedKey,
        streams: usize,
        message: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        Self::send_first(address, peers, key, &[], streams, message)
    }

    /// The same with `first` on a stream of its own before, if it is not empty.
    pub(crate) fn send_first(
        address: SocketAddr,
        peers: usize,
        key: &IssuedKey,
        first: &[u8],
        streams: usize,
        message: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        let runtime = Runtime::new().unwrap();
        let endpoint = runtime.block_on(async { client_endpoint(key) });
        let begin = |n| {
            let has_first = !first.is_empty();
            let mut messages = vec![message(n); streams];
            messages.splice(0..0, has_first.then(|| first.to_vec()));
            let endpoint = endpoint.clone();
            runtime.spawn(async move { send_one(&endpoint, address, messages).await })
        };
        let tasks: Vec<_> = (0..peers).map(begin).collect();
        let tasks = tasks.into_iter();
        let peers = tasks.filter_map(|task| runtime.block_on(task).unwrap());
        Self {
            _peers: peers.collect(),
            endpoint,
            runtime,
        }
    }

    /// Begins as many handshakes, of which the host's part is never received, and gives them up after [`STALL`].
    pub(crate) fn begin_handshakes(address: SocketAddr, peers: usize, key: &IssuedKey) -> Self {
        let runtime = Runtime::new().unwrap();
        let endpoint = runtime.block_on(async { client_endpoint(key) });
        let one_way = one_way_relay(address);
        let begin = |_| {
            let endpoint = endpoint.clone();
            runtime.spawn(async move { connect(&endpoint, one_way).await })
        };
        let tasks: Vec<_> = (0..peers).map(begin).collect();
        std::thread::sleep(STALL);
        drop(tasks);
        Self {
            _peers: Vec::new(),
            endpoint,
            runtime,
        }
    }
}

async fn send_one(
    endpoint: &Endpoint,
    address: SocketAddr,
    messages: Vec<Vec<u8>>,
) -> Option<Peer> {
    let connection = connect(endpoint, address).await?;
    let mut sending = JoinSet::new();
    for message in messages {
        let Some(Ok(stream)) = in_time(connection.open_bi()).await else {
            break;
        };
        sending.spawn(send_message(stream, message));
    }
    Some(Peer {
        _connection: connection,
        _streams: sending.join_all().await,
    })
}

async fn send_message(mut stream: Stream, message: Vec<u8>) -> Stream {
    for part in message.chunks(TURN_BYTES) {
        if !matches!(in_time(stream.0.write_all(part)).await, Some(Ok(()))) {
            break;
        }
    }
    stream
}

async fn connect(endpoint: &Endpoint, address: SocketAddr) -> Option<Connection> {
    let connecting = endpoint.connect(address, SERVER_NAME).ok()?;
    in_time(connecting).await?.ok()
}

async fn in_time<T>(future: impl Future<Output = T>) -> Option<T> {
    timeout(STALL, future).await.ok()
}

/// Relays datagrams to `address`, and none back. Its thread ends with the test's process.
fn one_way_relay(address: SocketAddr) -> SocketAddr {
    let from = UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = UdpSocket::bind("127.0.0.1:0").unwrap();
    let local = from.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut buf = [0; 2_048];
        while let Ok((len, _)) = from.recv_from(&mut buf) {
            let _is_sent = to.send_to(&buf[..len], address);
        }
    });
    local
}

/// A key that no fleet issued.
pub(crate) fn foreign_key(role: Role) -> IssuedKey {
    let host = HostName::new("stranger").unwrap();
    let authority = Authority::generate().unwrap();
    authority.issue(&PeerId { role, host }).unwrap()
}

fn client_endpoint(key: &IssuedKey) -> Endpoint {
    let certificate = CertificateDer::from_pem_slice(key.certificate.as_bytes()).unwrap();
    let private = PrivateKeyDer::from_pem_slice(key.key.as_bytes()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AnyServer))
        .with_client_auth_cert(vec![certificate], private)
        .unwrap();
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls).unwrap()));
    let mut transport = TransportConfig::default();
    transport
        .keep_alive_interval(Some(Duration::from_millis(500)))
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(60_000))));
    config.transport_config(Arc::new(transport));
    let mut endpoint = Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
    endpoint.set_default_client_config(config);
    endpoint
}

/// Accepts any certificate of the host: these peers have nothing to protect.
#[derive(Debug)]
struct AnyServer;

impl ServerCertVerifier for AnyServer {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn verify_tls13_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        let provider = rustls::crypto::ring::default_provider();
        provider
            .signature_verification_algorithms
            .supported_schemes()
    }
}

/// The prefix of the longest frame, and all of its body but the last byte.
pub(crate) fn unfinished_frame() -> Vec<u8> {
    let prefix = u32::try_from(LONGEST_FRAME).unwrap().to_be_bytes();
    [&prefix[..], &vec![0; LONGEST_FRAME - 1]].concat()
}

/// The first frame that a host of the fleet sends on a connection.
pub(crate) fn hello() -> Vec<u8> {
    let hello = Hello {
        version: WIRE_VERSION,
        incarnation: Incarnation(1),
    };
    coltsfootnotch_wire::encode(&hello).unwrap()
}

/// Requests for the state of the fleet, behind each other.
pub(crate) fn status_requests(count: u64) -> Vec<u8> {
    let request = |id| Message::ToRelay(ToRelay::Status { id });
    let frames = (0..count).map(|id| coltsfootnotch_wire::encode(&request(id)).unwrap());
    frames.flatten().collect()
}
