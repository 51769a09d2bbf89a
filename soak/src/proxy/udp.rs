//! UDP proxy, with one socket per sender.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::{Endpoint, Path, Rules};

/// Buffer size in bytes, above the longest datagram of the fleet's transport.
const BUFFER_SIZE: usize = 4 * 1024;

/// Forwards datagrams to `target` by the rule of the path from their sender until the runtime shuts down.
/// `endpoint_of` maps the sender's address to its endpoint.
///
/// # Errors
/// Returns an error when `listen` can't be bound.
pub async fn proxy_udp(
    listen: SocketAddr,
    target: SocketAddr,
    to: Endpoint,
    endpoint_of: impl Fn(SocketAddr) -> Endpoint + Send + 'static,
    rules: Rules,
) -> io::Result<()> {
    let listener = Arc::new(UdpSocket::bind(listen).await?);
    tokio::spawn(async move {
        let mut by_sender: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buf = vec![0; BUFFER_SIZE];
        loop {
            // The error of an earlier datagram that had no receiver (ICMP port unreachable).
            let Ok((n, sender)) = listener.recv_from(&mut buf).await else {
                continue;
            };
            let path = Path {
                from: endpoint_of(sender),
                to,
            };
            let server = match by_sender.get(&sender) {
                Some(server) => Arc::clone(server),
                None => {
                    let Ok(server) = connect(target).await else {
                        continue;
                    };
                    by_sender.insert(sender, Arc::clone(&server));
                    let (listener, server) = (Arc::clone(&listener), Arc::clone(&server));
                    tokio::spawn(forward_answers(
                        listener,
                        server,
                        sender,
                        path,
                        rules.clone(),
                    ));
                    by_sender[&sender].clone()
                }
            };
            if let Some(delay) = rules.get(path).delay(true) {
                let datagram = buf[..n].to_vec();
                tokio::spawn(async move {
                    sleep(delay).await;
                    // Without a receiver the datagram is lost.
                    let _ignored = server.send(&datagram).await;
                });
            }
        }
    });
    Ok(())
}

async fn connect(target: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let server = UdpSocket::bind((target.ip(), 0)).await?;
    server.connect(target).await?;
    Ok(Arc::new(server))
}

async fn forward_answers(
    listener: Arc<UdpSocket>,
    server: Arc<UdpSocket>,
    sender: SocketAddr,
    path: Path,
    rules: Rules,
) {
    let mut buf = vec![0; BUFFER_SIZE];
    loop {
        let Ok(n) = server.recv(&mut buf).await else {
            continue;
        };
        if let Some(delay) = rules.get(path).delay(false) {
            let (listener, datagram) = (Arc::clone(&listener), buf[..n].to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                let _ignored = listener.send_to(&datagram, sender).await;
            });
        }
    }
}
