//! The options of relayed connections.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use socket2::SockRef;
use tokio::net::TcpListener;

use super::super::connect;

/// Guards against callers who wait until their deadline for a neighbour that has lost its power, and against kept
/// connections that outlive it. Loopback can't lose packets, so this tests what the kernel is asked for.
#[gtest]
#[tokio::test]
async fn a_neighbour_that_is_gone_without_a_trace_is_noticed_within_three_seconds() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let stream = connect(listener.local_addr().unwrap()).await.unwrap();
    let socket = SockRef::from(&stream);
    expect_that!(socket.keepalive(), ok(eq(&true)));
    let idle = socket.tcp_keepalive_time().unwrap();
    let interval = socket.tcp_keepalive_interval().unwrap();
    let probes = socket.tcp_keepalive_retries().unwrap();
    let limit = Duration::from_secs(3);
    expect_that!(idle + interval * probes, le(limit));
    let unacknowledged = socket.tcp_user_timeout().unwrap();
    expect_that!(unacknowledged, some(le(limit)));
}
