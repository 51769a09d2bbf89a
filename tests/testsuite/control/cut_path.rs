//! A path between two hosts that can be cut without a trace.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::UdpSocket;
use tokio::runtime::Handle;

use super::group::free_address;

/// Longer than any datagram between hosts.
const BUFFER_BYTES: usize = 64 * 1024;

/// Whether the paths of a host drop all datagrams.
#[derive(Clone, Default)]
pub(crate) struct Cut(Arc<AtomicBool>);

impl Cut {
    pub(crate) fn set(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Opens a path for one dialing host to `target`, which is cut while one of `cuts` is set; returns the address
/// to dial. It ends with the runtime.
pub(crate) fn open(runtime: &Handle, target: SocketAddr, cuts: [Cut; 2]) -> SocketAddr {
    let address = free_address();
    runtime.spawn(async move {
        let front = UdpSocket::bind(address).await.expect("a socket");
        let any_port = (Ipv4Addr::LOCALHOST, 0);
        let back = UdpSocket::bind(any_port).await.expect("a socket");
        forward(&front, &back, target, &cuts).await;
    });
    address
}

async fn forward(front: &UdpSocket, back: &UdpSocket, target: SocketAddr, cuts: &[Cut; 2]) {
    let (mut to_target, mut to_dialer) = (vec![0; BUFFER_BYTES], vec![0; BUFFER_BYTES]);
    let mut dialer = None;
    let is_cut = || cuts.iter().any(Cut::is_set);
    loop {
        // An error is that of an earlier datagram without a receiver.
        tokio::select! {
            Ok((len, from)) = front.recv_from(&mut to_target) => {
                dialer = Some(from);
                if !is_cut() {
                    let _sent = back.send_to(&to_target[..len], target).await;
                }
            }
            Ok((len, _)) = back.recv_from(&mut to_dialer) => {
                if let Some(dialer) = dialer.filter(|_| !is_cut()) {
                    let _sent = front.send_to(&to_dialer[..len], dialer).await;
                }
            }
            else => {}
        }
    }
}
