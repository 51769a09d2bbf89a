//! The QUIC endpoint of a process: accepts and dials connections and reports their events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use coltsfootnotch_types::Incarnation;
use derive_more::{Display, Error, From};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use crate::connection::{Shared, accept_loop, dial_loop};
use crate::send_queues::SendQueues;
use crate::{Credentials, CredentialsError, Event, FrameMemory, PeerId, PeerLimits};

/// A connection idle for this long is closed.
///
/// A leaving or silent host must get no new work after 3 s; the remaining second is for notifying the
/// other hosts.
const IDLE_TIMEOUT: VarInt = VarInt::from_u32(2_000);
/// Keep-alive interval; up to three may be lost within the idle timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum concurrent streams that a peer may open for attempts, which bounds the requests in
/// progress between two hosts.
pub(crate) const ATTEMPT_STREAMS: VarInt = VarInt::from_u32(4_096);
/// The same for processes that run no attempts, and for peers that have sent no first frame: the control stream and a few
/// to spare. A connection allocates some 70 bytes for each stream that its peer may open, so that with the limit for
/// attempts a control host of hundreds of hosts needs most of its memory for streams never opened.
const CONTROL_STREAMS: VarInt = VarInt::from_u32(4);
/// Bytes that a peer may send on all streams of its connection before its first frame is read.
const HANDSHAKE_WINDOW: VarInt = VarInt::from_u32(64 * 1024);
/// The same afterwards. On a link with delays of half a second, a configuration of 4 MiB takes as many seconds.
pub(crate) const CONTROL_WINDOW: VarInt = VarInt::from_u32(512 * 1024);
/// The same for a connection that carries attempts: some of them may wait for memory.
pub(crate) const ATTEMPTS_WINDOW: VarInt = VarInt::from_u32(4 * 1024 * 1024);
/// Bytes of a connection that are kept until its peer has received them.
const SEND_WINDOW: u64 = 512 * 1024;
/// Bytes of datagrams that are kept for connections until they are accepted or refused.
const INCOMING_BYTES: u64 = 2 * 1024 * 1024;
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

/// Counters of an endpoint's control traffic and rejected connections.
#[derive(Debug, Default)]
pub struct Traffic {
    pub(crate) sent: AtomicU64,
    pub(crate) refused: AtomicU64,
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

/// The endpoint of one process.
pub struct Endpoint {
    shared: Arc<Shared>,
    runtime: Handle,
    accept_task: JoinHandle<()>,
}

/// A handle of an address that is redialled until the handle is dropped.
#[derive(Debug)]
pub struct DialHandle {
    task: JoinHandle<()>,
}

impl Drop for DialHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Endpoint {
    /// Binds the address and starts accepting connections. Peers can't open streams for attempts.
    ///
    /// # Errors
    /// Returns an error when the address can't be bound or the credentials can't be used.
    pub fn bind(
        runtime: &Handle,
        address: SocketAddr,
        credentials: &Credentials,
        incarnation: Incarnation,
        limits: PeerLimits,
        handler: impl Fn(Event) + Send + Sync + 'static,
    ) -> Result<Self, EndpointError> {
        Self::bind_with(
            runtime,
            address,
            credentials,
            incarnation,
            limits,
            handler,
            false,
        )
    }

    /// Like [`bind`](Self::bind), for a process whose peers open streams for attempts.
    ///
    /// # Errors
    /// Returns an error when the address can't be bound or the credentials can't be used.
    pub fn bind_for_attempts(
        runtime: &Handle,
        address: SocketAddr,
        credentials: &Credentials,
        incarnation: Incarnation,
        limits: PeerLimits,
        handler: impl Fn(Event) + Send + Sync + 'static,
    ) -> Result<Self, EndpointError> {
        Self::bind_with(
            runtime,
            address,
            credentials,
            incarnation,
            limits,
            handler,
            true,
        )
    }

    fn bind_with(
        runtime: &Handle,
        address: SocketAddr,
        credentials: &Credentials,
        incarnation: Incarnation,
        limits: PeerLimits,
        handler: impl Fn(Event) + Send + Sync + 'static,
        runs_attempts: bool,
    ) -> Result<Self, EndpointError> {
        let mut server = ServerConfig::with_crypto(Arc::new(credentials.server_config()?));
        server
            .transport_config(Arc::new(accepting_transport()))
            .max_incoming(limits.handshakes)
            .incoming_buffer_size_total(INCOMING_BYTES);
        let mut client = ClientConfig::new(Arc::new(credentials.client_config()?));
        client.transport_config(Arc::new(transport()));
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
            runs_attempts,
            limits,
            memory: FrameMemory::new(limits.received_bytes),
            queues: SendQueues::new(limits.queued_bytes),
            dialled: AtomicUsize::new(0),
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
    pub fn dial(&self, address: SocketAddr, expected: PeerId) -> DialHandle {
        let is_expected = move |peer: &PeerId| *peer == expected;
        self.dial_if(address, is_expected)
    }

    /// Like [`dial`](Self::dial), but accepts any peer for which `accepts` returns `true`.
    #[must_use]
    pub fn dial_if(
        &self,
        address: SocketAddr,
        accepts: impl Fn(&PeerId) -> bool + Send + Sync + 'static,
    ) -> DialHandle {
        let task = self
            .runtime
            .spawn(dial_loop(Arc::clone(&self.shared), address, accepts));
        DialHandle { task }
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
        .max_concurrent_bidi_streams(CONTROL_STREAMS)
        .max_concurrent_uni_streams(0_u32.into());
    transport
}

/// Connections that others dial have smaller windows. Those that this process dials lead to hosts that it knows, and at
/// an entry they carry the responses of all attempts, which must not block each other.
fn accepting_transport() -> TransportConfig {
    let mut transport = transport();
    transport
        .stream_receive_window(CONTROL_WINDOW)
        .receive_window(HANDSHAKE_WINDOW)
        .send_window(SEND_WINDOW)
        .datagram_receive_buffer_size(None);
    transport
}
