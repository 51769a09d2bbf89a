//! Detection of a host at the other end of a relayed connection that is gone without a trace.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without a packet after which the other host is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Interval of probes; the kernel counts whole seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without a response after which the host is gone.
const PROBES: u32 = 2;
/// Time without an acknowledgement of sent bytes after which the host is gone; the same as without any
/// packet, and as for a host that sends no heartbeats.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Has the kernel break the connection when the other host is gone for three seconds. A host that loses
/// its power or is cut off closes nothing: callers waited for it until their deadline, and those that
/// sent their next request over a kept connection met a reset when the host was back.
///
/// # Errors
/// Returns an error when the connection is closed already.
pub(in crate::daemon::forward) fn probe_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

#[cfg(test)]
#[path = "probes_tests.rs"]
mod tests;
