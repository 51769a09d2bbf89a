//! The HTTP server of the fakes: one thread, one task per connection, and simulated crashes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::{DropConnection, Reply, Req};

/// Delay before retrying to bind a port that is still in use.
const REBIND_DELAY: Duration = Duration::from_millis(20);

enum Command {
    Crash(Duration),
    Stop,
}

/// A handle for crashing a running server.
#[derive(Clone)]
pub(crate) struct Crasher(UnboundedSender<Command>);

impl Crasher {
    /// Drops every connection and refuses new ones for `down`.
    pub(crate) fn crash(&self, down: Duration) {
        // Fails only if the server has stopped.
        let _ = self.0.send(Command::Crash(down));
    }
}

/// A running server, stopped on drop.
pub(crate) struct Server {
    address: SocketAddr,
    commands: UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on a free loopback port and serves requests with the handler returned by `make`.
    pub(crate) fn start<H, F>(name: &str, make: impl FnOnce(Crasher) -> H) -> io::Result<Self>
    where
        H: Fn(Req) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Reply, DropConnection>> + Send + 'static,
    {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (tx, rx) = mpsc::unbounded_channel();
        let handler = Arc::new(make(Crasher(tx.clone())));
        let rt = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::Builder::new().name(name.into()).spawn(move || {
            rt.block_on(async {
                if let Ok(listener) = TcpListener::from_std(listener) {
                    run(listener, address, rx, handler).await;
                }
            });
        })?;
        Ok(Self {
            address,
            commands: tx,
            thread: Some(thread),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn crasher(&self) -> Crasher {
        Crasher(self.commands.clone())
    }

    /// Drops every connection and joins the thread.
    pub(crate) fn stop(&mut self) {
        // Fails only if the thread has finished.
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn run<H, F>(
    mut listener: TcpListener,
    address: SocketAddr,
    mut commands: UnboundedReceiver<Command>,
    handler: Arc<H>,
) where
    H: Fn(Req) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Reply, DropConnection>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(Command::Crash(down)) => {
                    drop(listener);
                    connections.shutdown().await;
                    match rebind_after(&mut commands, address, down).await {
                        Some(bound) => listener = bound,
                        None => return,
                    }
                }
                Some(Command::Stop) | None => return,
            },
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let handler = Arc::clone(&handler);
                connections.spawn(serve(stream, handler));
            },
        }
    }
}

/// Rebinds the port after `down`; returns `None` if the server is stopped meanwhile.
async fn rebind_after(
    commands: &mut UnboundedReceiver<Command>,
    address: SocketAddr,
    down: Duration,
) -> Option<TcpListener> {
    let mut up_at = Instant::now() + down;
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::Crash(down)) => up_at = Instant::now() + down,
                Some(Command::Stop) | None => return None,
            },
            () = sleep_until(up_at) => match TcpListener::bind(address).await {
                Ok(listener) => return Some(listener),
                Err(_) => sleep(REBIND_DELAY).await,
            },
        }
    }
}

async fn serve<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(Req) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Reply, DropConnection>> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |req| handler(req));
    // A broken connection is reported to the caller only.
    let _: Result<(), hyper::Error> = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
