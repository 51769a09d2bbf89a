//! Tasks that pass events of the sockets to the actor.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fabric::Event;
use coltsfootnotch_types::prelude::*;
use stakker::sync::Channel;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::actor::SidecarMsg;
use super::{SidecarConfig, announce_endpoint};
use crate::core::HostCx;
use crate::daemon::StartError;
use crate::util::http_server::{ServerLimits, serve};

/// Maximum number of connections for announcements, which come from upstreams on the same host.
const MAX_ANNOUNCE_CONNECTIONS: usize = 64;
const ANNOUNCE_HEADER_BYTES: usize = 8192;
const ANNOUNCE_LONG_HEAD_BYTES: u64 = 512 * 1024;
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a handler that passes fabric events to the actor. The first frame of a stream is read on
/// a task of its own, so that a slow peer delays no other event.
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
                if let Ok((open, hold)) = stream.receive().await {
                    tx.send(SidecarMsg::AttemptOpened {
                        peer,
                        open: Box::new(open),
                        stream,
                        hold,
                    });
                }
            });
        }
        event => {
            tx.send(SidecarMsg::Fabric(event));
        }
    }
}

/// The server task for announcements; aborted on drop, which frees the address.
pub(super) struct AnnounceServer(JoinHandle<()>);

impl Drop for AnnounceServer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts the server for announcements; returns the bound address.
pub(super) fn start_announce_server(
    cx: &HostCx,
    cfg: &SidecarConfig,
    tx: &Channel<SidecarMsg>,
) -> Result<(SocketAddr, AnnounceServer), StartError> {
    let listener = cx
        .runtime
        .block_on(TcpListener::bind(cfg.announce_address))?;
    let address = listener.local_addr()?;
    let limits = ServerLimits {
        connections: MAX_ANNOUNCE_CONNECTIONS,
        header_bytes: ANNOUNCE_HEADER_BYTES,
        long_head_bytes: ANNOUNCE_LONG_HEAD_BYTES,
        read_timeout: ANNOUNCE_TIMEOUT,
        write_timeout: ANNOUNCE_TIMEOUT,
    };
    let (handler_cx, tx) = (cx.clone(), tx.clone());
    let handler = move |req, from| {
        announce_endpoint::handle_request(handler_cx.clone(), tx.clone(), req, from)
    };
    let task = cx.runtime.spawn(serve(listener, limits, handler));
    Ok((address, AnnounceServer(task)))
}
