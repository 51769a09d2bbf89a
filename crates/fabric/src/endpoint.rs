//! The QUIC endpoint of a process: accepts and dials connections and reports their events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootnotch_types::Incarnation;
use coltsfootnotch_wire::{Hello, Message, WIRE_VERSION};
use derive_more::{Display, Error, From};
use quinn::{
    ClientConfig, Connection, IdleTimeout, RecvStream, SendStream, ServerConfig, TransportConfig,
    VarInt,
};
use rustls_pki_types::CertificateDer;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::keys::SERVER_NAME;
use crate::{
    Credentials, CredentialsError, Event, FrameError, LinkId, LinkTx, PeerError, PeerId,
    read_frame, write_frame,
};

/// A connection idle for this long is closed.
///
/// A leaving or silent host must get no new work after 3 s; the remaining second is for notifying the
/// other hosts.
const IDLE_TIMEOUT: VarInt = VarInt::from_u32(2_000);
/// Keep-alive interval; up to three may be lost within the idle timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum concurrent streams per peer, which bounds the requests in progress between two hosts.
const MAX_STREAMS: VarInt = VarInt::from_u32(4_096);
/// Initial delay before redialling; doubles up to [`MAX_REDIAL_DELAY`].
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before redialling, so that a restarted host is reconnected within a second.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(1);
/// Round-trip time assumed before one is measured.
///
/// The first packet is retransmitted after three times this value. With quinn's default of 333 ms,
/// dialling a host just before it listens delays the connection by a second.
const INITIAL_RTT: Duration = Duration::from_millis(60);

/// An error in creating an endpoint.
#[derive(Debug, Display, Error, From)]
pub enum EndpointError {
    /// The address can't be bound.
    #[display("the fleet address can't be bound")]
    Bind(std::io::Error),
    /// The credentials are not usable for QUIC.
    #[display("the credentials can't be used")]
    Credentials(CredentialsError),
}

#[derive(Debug, Display, Error, From)]
enum LinkError {
    #[display("connection lost")]
    Connection(quinn::ConnectionError),
    #[display("connection refused")]
    Connect(quinn::ConnectError),
    #[display("invalid frame")]
    Frame(FrameError),
    #[display("the peer has no valid identity")]
    Peer(PeerError),
    #[display("another process listens at the address")]
    #[from(skip)]
    UnexpectedPeer,
    #[display("the peer uses another wire version")]
    #[from(skip)]
    Version,
    #[display("the peer's role may not send this message")]
    #[from(skip)]
    Forbidden,
}

/// Counters of an endpoint's control traffic and rejected connections.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    refused: AtomicU64,
}

impl Traffic {
    /// Bytes sent on control streams.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Connections rejected for an invalid certificate, another wire version or a forbidden message.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

type Handler = Arc<dyn Fn(Event) + Send + Sync>;

struct Shared {
    quinn: quinn::Endpoint,
    client: ClientConfig,
    incarnation: Incarnation,
    handler: Handler,
    next_link: AtomicU64,
    traffic: Arc<Traffic>,
}

/// The endpoint of one process.
pub struct Endpoint {
    shared: Arc<Shared>,
    runtime: Handle,
    accept_task: JoinHandle<()>,
}

/// A handle of an address that is redialled until the handle is dropped.
#[derive(Debug)]
pub struct Dialed {
    task: JoinHandle<()>,
}

impl Drop for Dialed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Endpoint {
    /// Binds the address and starts accepting connections.
    ///
    /// # Errors
    /// Returns an error when the address can't be bound or the credentials can't be used.
    pub fn bind(
        runtime: &Handle,
        address: SocketAddr,
        credentials: &Credentials,
        incarnation: Incarnation,
        handler: impl Fn(Event) + Send + Sync + 'static,
    ) -> Result<Self, EndpointError> {
        let transport = Arc::new(transport());
        let mut server = ServerConfig::with_crypto(Arc::new(credentials.server_config()?));
        server.transport_config(Arc::clone(&transport));
        let mut client = ClientConfig::new(Arc::new(credentials.client_config()?));
        client.transport_config(transport);
        let runtime_guard = runtime.enter();
        let quinn = quinn::Endpoint::server(server, address)?;
        drop(runtime_guard);
        let shared = Arc::new(Shared {
            quinn,
            client,
            incarnation,
            handler: Arc::new(handler),
            next_link: AtomicU64::new(0),
            traffic: Arc::default(),
        });
        let accept_task = runtime.spawn(accept_loop(Arc::clone(&shared)));
        Ok(Self {
            shared,
            runtime: runtime.clone(),
            accept_task,
        })
    }

    /// The local address.
    ///
    /// # Errors
    /// Returns an error when the socket is closed.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.shared.quinn.local_addr()
    }

    /// The endpoint's traffic counters.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.shared.traffic)
    }

    /// Maintains a connection to the process `expected`, redialling after each disconnection.
    #[must_use]
    pub fn dial(&self, address: SocketAddr, expected: PeerId) -> Dialed {
        let is_expected = move |peer: &PeerId| *peer == expected;
        self.dial_if(address, is_expected)
    }

    /// Like [`dial`](Self::dial), but accepts any peer for which `accepts` returns `true`.
    #[must_use]
    pub fn dial_if(
        &self,
        address: SocketAddr,
        accepts: impl Fn(&PeerId) -> bool + Send + Sync + 'static,
    ) -> Dialed {
        let task = self
            .runtime
            .spawn(dial_loop(Arc::clone(&self.shared), address, accepts));
        Dialed { task }
    }

    /// Closes every connection and stops accepting.
    pub fn close(&self) {
        self.accept_task.abort();
        self.shared.quinn.close(0_u32.into(), b"stopping");
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.close();
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(IDLE_TIMEOUT)))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(MAX_STREAMS)
        .max_concurrent_uni_streams(0_u32.into());
    transport
}

async fn accept_loop(shared: Arc<Shared>) {
    while let Some(incoming) = shared.quinn.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            if accept_connection(&shared, incoming).await.is_err() {
                shared.traffic.refused.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
}

async fn accept_connection(shared: &Shared, incoming: quinn::Incoming) -> Result<(), LinkError> {
    let connection = incoming.await?;
    let peer = peer_identity(&connection)?;
    let (mut send, mut recv) = connection.accept_bi().await?;
    let hello = read_hello(&mut recv).await?;
    write_frame(&mut send, &shared.hello()).await?;
    run_link(shared, connection, peer, hello, send, recv).await;
    Ok(())
}

async fn dial_loop(
    shared: Arc<Shared>,
    address: SocketAddr,
    accepts: impl Fn(&PeerId) -> bool + Send + Sync,
) {
    let mut delay = MIN_REDIAL_DELAY;
    loop {
        if connect(&shared, address, &accepts).await.is_ok() {
            delay = MIN_REDIAL_DELAY;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_REDIAL_DELAY);
    }
}

async fn connect(
    shared: &Shared,
    address: SocketAddr,
    accepts: &(impl Fn(&PeerId) -> bool + Sync),
) -> Result<(), LinkError> {
    let client = shared.client.clone();
    let connection = shared
        .quinn
        .connect_with(client, address, SERVER_NAME)?
        .await?;
    let peer = peer_identity(&connection)?;
    if !accepts(&peer) {
        return Err(LinkError::UnexpectedPeer);
    }
    let (mut send, mut recv) = connection.open_bi().await?;
    write_frame(&mut send, &shared.hello()).await?;
    let hello = read_hello(&mut recv).await?;
    run_link(shared, connection, peer, hello, send, recv).await;
    Ok(())
}

async fn read_hello(recv: &mut RecvStream) -> Result<Hello, LinkError> {
    let hello: Hello = read_frame(recv).await?;
    if hello.version == WIRE_VERSION {
        Ok(hello)
    } else {
        Err(LinkError::Version)
    }
}

fn peer_identity(connection: &Connection) -> Result<PeerId, PeerError> {
    let identity = connection.peer_identity().ok_or(PeerError::NoCertificate)?;
    let chain = identity
        .downcast::<Vec<CertificateDer<'static>>>()
        .map_err(|_| PeerError::Unreadable)?;
    PeerId::from_certificate(chain.first().ok_or(PeerError::NoCertificate)?)
}

async fn run_link(
    shared: &Shared,
    connection: Connection,
    peer: PeerId,
    hello: Hello,
    send: SendStream,
    recv: RecvStream,
) {
    let link = LinkId(shared.next_link.fetch_add(1, Ordering::Relaxed));
    let (tx, rx) = LinkTx::new(connection.clone());
    let incarnation = hello.incarnation;
    (shared.handler)(Event::Up {
        link,
        peer: peer.clone(),
        incarnation,
        tx,
    });
    let outcome = tokio::select! {
        outcome = read_messages(shared, link, &peer, recv) => outcome,
        outcome = accept_streams(shared, link, &peer, &connection) => outcome,
        outcome = write_messages(shared, send, rx) => outcome,
    };
    if matches!(outcome, Err(LinkError::Forbidden)) {
        shared.traffic.refused.fetch_add(1, Ordering::Relaxed);
        (shared.handler)(Event::Forbidden { peer: peer.clone() });
    }
    connection.close(0_u32.into(), b"closed");
    (shared.handler)(Event::Down { link, peer });
}

async fn read_messages(
    shared: &Shared,
    link: LinkId,
    peer: &PeerId,
    mut recv: RecvStream,
) -> Result<(), LinkError> {
    loop {
        let message: Message = read_frame(&mut recv).await?;
        if !message.may_be_sent_by(peer.role) {
            return Err(LinkError::Forbidden);
        }
        (shared.handler)(Event::Message {
            link,
            peer: peer.clone(),
            message,
        });
    }
}

async fn accept_streams(
    shared: &Shared,
    link: LinkId,
    peer: &PeerId,
    connection: &Connection,
) -> Result<(), LinkError> {
    loop {
        let (send, recv) = connection.accept_bi().await?;
        let stream = crate::AttemptStream { send, recv };
        (shared.handler)(Event::Stream {
            link,
            peer: peer.clone(),
            stream,
        });
    }
}

async fn write_messages(
    shared: &Shared,
    mut send: SendStream,
    mut rx: mpsc::Receiver<Vec<u8>>,
) -> Result<(), LinkError> {
    while let Some(frame) = rx.recv().await {
        let len = frame.len() as u64;
        send.write_all(&frame).await.map_err(FrameError::from)?;
        shared.traffic.sent.fetch_add(len, Ordering::Relaxed);
    }
    std::future::pending().await
}

impl Shared {
    fn hello(&self) -> Hello {
        Hello {
            version: WIRE_VERSION,
            incarnation: self.incarnation,
        }
    }
}
