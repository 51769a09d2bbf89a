//! A proxy of datagrams, which tells senders apart by their address.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::{Path, Place, Rules};

/// Longest datagram of the fleet's transport, with room.
const LONGEST: usize = 4 * 1024;

/// Passes datagrams on to `target` by the rule of the path from their sender, until the task is aborted.
/// `place_of` tells who has an address.
///
/// # Errors
/// Returns an error when `listen` can't be bound.
pub async fn proxy_udp(
    listen: SocketAddr,
    target: SocketAddr,
    to: Place,
    place_of: impl Fn(SocketAddr) -> Place + Send + 'static,
    rules: Rules,
) -> io::Result<()> {
    let near = Arc::new(UdpSocket::bind(listen).await?);
    tokio::spawn(async move {
        let mut by_sender: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buf = vec![0; LONGEST];
        loop {
            // An error here is that of an earlier datagram whose receiver was not there.
            let Ok((n, sender)) = near.recv_from(&mut buf).await else {
                continue;
            };
            let path = Path {
                from: place_of(sender),
                to,
            };
            let far = match by_sender.get(&sender) {
                Some(far) => Arc::clone(far),
                None => {
                    let Ok(far) = connect(target).await else {
                        continue;
                    };
                    by_sender.insert(sender, Arc::clone(&far));
                    let (near, far) = (Arc::clone(&near), Arc::clone(&far));
                    tokio::spawn(answer(near, far, sender, path, rules.clone()));
                    by_sender[&sender].clone()
                }
            };
            if let Some(late) = rules.get(path).passes(true) {
                let datagram = buf[..n].to_vec();
                tokio::spawn(async move {
                    sleep(late).await;
                    // Lost like any datagram where nobody is there.
                    let _sent = far.send(&datagram).await;
                });
            }
        }
    });
    Ok(())
}

async fn connect(target: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let far = UdpSocket::bind((target.ip(), 0)).await?;
    far.connect(target).await?;
    Ok(Arc::new(far))
}

async fn answer(
    near: Arc<UdpSocket>,
    far: Arc<UdpSocket>,
    sender: SocketAddr,
    path: Path,
    rules: Rules,
) {
    let mut buf = vec![0; LONGEST];
    loop {
        let Ok(n) = far.recv(&mut buf).await else {
            continue;
        };
        if let Some(late) = rules.get(path).passes(false) {
            let (near, datagram) = (Arc::clone(&near), buf[..n].to_vec());
            tokio::spawn(async move {
                sleep(late).await;
                let _sent = near.send_to(&datagram, sender).await;
            });
        }
    }
}
