//! UDP proxies before the control hosts, which can cut the paths between two hosts without a trace.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::record::lock;

/// Longer than the datagrams of the fleet.
const BUFFER_BYTES: usize = 4 * 1024;

/// The pairs of hosts, by address, that are cut from each other.
#[derive(Clone, Default)]
pub struct Cuts(Arc<Mutex<BTreeSet<(IpAddr, IpAddr)>>>);

impl Cuts {
    /// Drops all that is sent between two hosts from now on, or passes it on again.
    pub fn set(&self, a: IpAddr, b: IpAddr, is_cut: bool) {
        let pair = (a.min(b), a.max(b));
        if is_cut {
            lock(&self.0).insert(pair);
        } else {
            lock(&self.0).remove(&pair);
        }
    }

    fn contains(&self, a: IpAddr, b: IpAddr) -> bool {
        lock(&self.0).contains(&(a.min(b), a.max(b)))
    }
}

/// Passes datagrams on to `target`, and those of `target` back, from a socket of its own for each sender.
pub fn start(listen: SocketAddr, target: SocketAddr, cuts: Cuts) -> io::Result<()> {
    let listener = Arc::new(UdpSocket::bind(listen)?);
    thread::spawn(move || {
        let mut by_sender: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buf = [0; BUFFER_BYTES];
        loop {
            // An error is that of an earlier datagram without a receiver.
            let Ok((len, sender)) = listener.recv_from(&mut buf) else {
                continue;
            };
            let socket = match by_sender.get(&sender) {
                Some(socket) => Arc::clone(socket),
                None => {
                    let Ok(socket) = open(&listener, sender, target, &cuts) else {
                        continue;
                    };
                    by_sender.insert(sender, Arc::clone(&socket));
                    socket
                }
            };
            if !cuts.contains(sender.ip(), target.ip()) {
                let _sent = socket.send(&buf[..len]);
            }
        }
    });
    Ok(())
}

fn open(
    listener: &Arc<UdpSocket>,
    sender: SocketAddr,
    target: SocketAddr,
    cuts: &Cuts,
) -> io::Result<Arc<UdpSocket>> {
    let socket = Arc::new(UdpSocket::bind((target.ip(), 0))?);
    socket.connect(target)?;
    let (listener, returning, cuts) = (Arc::clone(listener), Arc::clone(&socket), cuts.clone());
    thread::spawn(move || {
        let mut buf = [0; BUFFER_BYTES];
        loop {
            let Ok(len) = returning.recv(&mut buf) else {
                continue;
            };
            if !cuts.contains(sender.ip(), target.ip()) {
                let _sent = listener.send_to(&buf[..len], sender);
            }
        }
    });
    Ok(socket)
}
