//! What reaches the actor from its sockets.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fabric::Event;
use coltsfootnotch_types::prelude::*;
use stakker::sync::Channel;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::actor::SidecarMsg;
use super::{SidecarConfig, announce};
use crate::core::HostCx;
use crate::daemon::StartError;
use crate::util::http_server::{ServerLimits, serve};

/// Connections for announcements: a few upstreams on the same host.
const ANNOUNCE_CONNECTIONS: usize = 64;
const ANNOUNCE_HEADER_BYTES: usize = 8192;
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Passes events on; what opens a stream is read first, since that takes as long as the peer likes.
pub(super) fn fabric_handler(
    cx: &HostCx,
    tx: &Channel<SidecarMsg>,
) -> impl Fn(Event) + Send + Sync + 'static + use<> {
    let (tx, runtime) = (tx.clone(), cx.runtime.clone());
    move |event| match event {
        Event::Stream {
            peer, mut stream, ..
        } if peer.role == Role::Entry => {
            let tx = tx.clone();
            runtime.spawn(async move {
                if let Ok(begin) = coltsfootnotch_fabric::read_frame(&mut stream.recv).await {
                    tx.send(SidecarMsg::Opened {
                        peer,
                        begin: Box::new(begin),
                        stream,
                    });
                }
            });
        }
        event => {
            tx.send(SidecarMsg::Fabric(event));
        }
    }
}

/// The task that takes announcements; it ends with its sidecar, whose address is free again then.
pub(super) struct ListenTask(JoinHandle<()>);

impl Drop for ListenTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts to take announcements; gives the address bound.
pub(super) fn listen(
    cx: &HostCx,
    cfg: &SidecarConfig,
    tx: &Channel<SidecarMsg>,
) -> Result<(SocketAddr, ListenTask), StartError> {
    let listener = cx.runtime.block_on(TcpListener::bind(cfg.announce))?;
    let address = listener.local_addr()?;
    let limits = ServerLimits {
        connections: ANNOUNCE_CONNECTIONS,
        header_bytes: ANNOUNCE_HEADER_BYTES,
        read_timeout: ANNOUNCE_TIMEOUT,
    };
    let (cx_of_handler, tx) = (cx.clone(), tx.clone());
    let handler = move |req, from| announce::answer(cx_of_handler.clone(), tx.clone(), req, from);
    let task = cx.runtime.spawn(serve(listener, limits, handler));
    Ok((address, ListenTask(task)))
}
