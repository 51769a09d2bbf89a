//! The tasks of an endpoint: accepting, dialling and running connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use coltsfootnotch_types::{Incarnation, Role};
use coltsfootnotch_wire::{Hello, Message, WIRE_VERSION};
use derive_more::{Display, Error, From};
use quinn::{ClientConfig, Connection, RecvStream, SendStream};
use rustls_pki_types::CertificateDer;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

use crate::endpoint::{ATTEMPT_STREAMS, ATTEMPTS_WINDOW, CONTROL_WINDOW, Traffic};
use crate::frame_memory::receive_short;
use crate::keys::SERVER_NAME;
use crate::send_queues::{SendQueue, SendQueues};
use crate::{
    AttemptStream, Event, FrameError, FrameMemory, LinkId, LinkTx, MessageHold, PeerError, PeerId,
    PeerLimits, ReceiveError, write_frame,
};

/// Initial delay before redialling; doubles up to [`MAX_REDIAL_DELAY`].
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before redialling, so that a restarted host is reconnected within a second.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(1);

/// Time for a handshake and the first frame.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest first frame, in bytes.
const MAX_HELLO_BYTES: usize = 64;
/// Messages of a connection that are received and not handled yet, in units of [`MESSAGE_UNIT_BYTES`]; the peer has to
/// wait with further ones.
const MAX_UNHANDLED: usize = 256;
/// Bytes of a message that count as one; a short one takes as much with its place in the queue.
const MESSAGE_UNIT_BYTES: usize = 256;

/// An error in establishing or running a connection.
#[derive(Debug, Display, Error, From)]
enum LinkError {
    #[display("connection lost")]
    Connection(quinn::ConnectionError),
    #[display("connection refused")]
    Connect(quinn::ConnectError),
    #[display("invalid frame")]
    Frame(FrameError),
    #[display("a frame was not received")]
    Receive(ReceiveError),
    #[display("the peer does not complete the handshake")]
    #[from(skip)]
    Handshake,
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

pub(crate) type Handler = Arc<dyn Fn(Event) + Send + Sync>;

/// State shared by the tasks of an endpoint.
pub(crate) struct Shared {
    pub(crate) quinn: quinn::Endpoint,
    pub(crate) client: ClientConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) handler: Handler,
    pub(crate) next_link: AtomicU64,
    pub(crate) traffic: Arc<Traffic>,
    /// Whether peers open streams for attempts.
    pub(crate) runs_attempts: bool,
    pub(crate) limits: PeerLimits,
    /// For frames that are received and not handled.
    pub(crate) memory: FrameMemory,
    pub(crate) queues: Arc<SendQueues>,
    /// Connections that this process has dialled.
    pub(crate) dialled: AtomicUsize,
}

/// A connection whose first frames were exchanged.
struct Established {
    connection: Connection,
    peer: PeerId,
    hello: Hello,
    send: SendStream,
    recv: RecvStream,
}

/// Accepts connections until the endpoint is closed.
pub(crate) async fn accept_loop(shared: Arc<Shared>) {
    let connections = Arc::new(Semaphore::new(shared.limits.connections));
    let handshakes = Arc::new(Semaphore::new(shared.limits.handshakes));
    while let Some(incoming) = shared.quinn.accept().await {
        let slot = Arc::clone(&connections).try_acquire_owned();
        let handshake = Arc::clone(&handshakes).try_acquire_owned();
        let (Ok(slot), Ok(handshake), true) = (slot, handshake, shared.has_room()) else {
            shared.traffic.refused.fetch_add(1, Ordering::Relaxed);
            incoming.refuse();
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            match accept_connection(&shared, incoming).await {
                Ok(established) => {
                    drop(handshake);
                    allow_more(&shared, &established);
                    run_link(&shared, established).await;
                }
                Err(_) => {
                    shared.traffic.refused.fetch_add(1, Ordering::Relaxed);
                }
            }
            drop(slot);
        });
    }
}

/// Has a peer that has sent its first frame send more than before.
fn allow_more(shared: &Shared, established: &Established) {
    let connection = &established.connection;
    if shared.runs_attempts && established.peer.role == Role::Entry {
        connection.set_max_concurrent_bi_streams(ATTEMPT_STREAMS);
        connection.set_receive_window(ATTEMPTS_WINDOW);
    } else {
        connection.set_receive_window(CONTROL_WINDOW);
    }
}

async fn accept_connection(
    shared: &Shared,
    incoming: quinn::Incoming,
) -> Result<Established, LinkError> {
    let established = async {
        let connection = incoming.await?;
        let peer = peer_identity(&connection)?;
        let (mut send, mut recv) = connection.accept_bi().await?;
        let hello = read_hello(&mut recv).await?;
        write_frame(&mut send, &shared.hello()).await?;
        Ok(Established {
            connection,
            peer,
            hello,
            send,
            recv,
        })
    };
    let in_time = timeout(HANDSHAKE_TIMEOUT, established).await;
    in_time.unwrap_or(Err(LinkError::Handshake))
}

/// A connection that this process has dialled; counted until it is dropped, also with the task that dials.
struct Dialled<'a>(&'a AtomicUsize);

impl<'a> Dialled<'a> {
    fn count(dialled: &'a AtomicUsize) -> Self {
        dialled.fetch_add(1, Ordering::Relaxed);
        Self(dialled)
    }
}

impl Drop for Dialled<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Maintains a connection to an address, redialling after each disconnection.
pub(crate) async fn dial_loop(
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
    let _dialled = Dialled::count(&shared.dialled);
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
    let established = Established {
        connection,
        peer,
        hello,
        send,
        recv,
    };
    run_link(shared, established).await;
    Ok(())
}

async fn read_hello(recv: &mut RecvStream) -> Result<Hello, LinkError> {
    let hello: Hello = receive_short(recv, MAX_HELLO_BYTES).await?;
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

async fn run_link(shared: &Shared, established: Established) {
    let Established {
        connection,
        peer,
        hello,
        send,
        recv,
    } = established;
    let link = LinkId(shared.next_link.fetch_add(1, Ordering::Relaxed));
    let queue = Arc::new(shared.queues.add(link, connection.clone()));
    let (tx, rx) = LinkTx::new(
        connection.clone(),
        Arc::clone(&queue),
        shared.memory.clone(),
    );
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
        outcome = write_messages(shared, send, rx, &queue) => outcome,
    };
    if matches!(outcome, Err(LinkError::Forbidden)) {
        shared.traffic.refused.fetch_add(1, Ordering::Relaxed);
        (shared.handler)(Event::Forbidden { peer: peer.clone() });
    }
    connection.close(0_u32.into(), b"closed");
    queue.remove();
    (shared.handler)(Event::Down { link, peer });
}

async fn read_messages(
    shared: &Shared,
    link: LinkId,
    peer: &PeerId,
    mut recv: RecvStream,
) -> Result<(), LinkError> {
    let unhandled = Arc::new(Semaphore::new(MAX_UNHANDLED));
    loop {
        let (message, memory) = shared.memory.receive::<Message>(&mut recv).await?;
        let units = memory.frame_bytes().div_ceil(MESSAGE_UNIT_BYTES);
        let units = units.clamp(1, MAX_UNHANDLED) as u32;
        if !message.may_be_sent_by(peer.role) {
            return Err(LinkError::Forbidden);
        }
        // The semaphore is never closed.
        let permit = Arc::clone(&unhandled).acquire_many_owned(units).await.ok();
        (shared.handler)(Event::Message {
            link,
            peer: peer.clone(),
            message,
            hold: MessageHold::new(permit, memory),
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
        let memory = shared.memory.clone();
        let stream = AttemptStream { send, recv, memory };
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
    queue: &SendQueue,
) -> Result<(), LinkError> {
    while let Some(frame) = rx.recv().await {
        send.write_all(&frame).await.map_err(FrameError::from)?;
        queue.pop(frame.len());
        let len = frame.len() as u64;
        shared.traffic.sent.fetch_add(len, Ordering::Relaxed);
    }
    std::future::pending().await
}

impl Shared {
    /// Whether one more connection may be accepted. One that its peer closes at once keeps its state for some hundred
    /// milliseconds after its task has ended, so those count as well.
    fn has_room(&self) -> bool {
        let dialled = self.dialled.load(Ordering::Relaxed);
        self.quinn.open_connections() < self.limits.connections + dialled
    }

    fn hello(&self) -> Hello {
        Hello {
            version: WIRE_VERSION,
            incarnation: self.incarnation,
        }
    }
}
