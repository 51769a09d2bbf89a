//! Responses that are cut at each of their bytes on a connection that is handed over to a neighbour.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::{LOST_RESPONSE, connect, relay};

/// Time within which what is expected happens.
const WAIT: Duration = Duration::from_secs(5);

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 5\r\n\r\nwhole";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-a: b\r\ntransfer-encoding: chunked\r\n\r\n\
                       2\r\nwh\r\n3\r\nole\r\n0\r\nx-t: c\r\n\r\n";
const CLOSE: &str = "HTTP/1.1 200 OK\r\nx-a: b\r\nconnection: close\r\n\r\nwhole";

/// What a caller reads whose neighbour writes `response` and closes or resets its connection, and how that ends.
async fn relayed(response: &[u8], resets: bool) -> (String, io::Result<()>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (neighbour, entry) = (TcpListener::bind(any).await, TcpListener::bind(any).await);
    let (neighbour, entry) = (neighbour.unwrap(), entry.unwrap());
    let address = neighbour.local_addr().unwrap();
    let entry_address = entry.local_addr().unwrap();
    let respond = async {
        let (mut stream, _) = neighbour.accept().await.unwrap();
        let len = stream.read(&mut [0; 1024]).await.unwrap();
        assert_that!(len, gt(0));
        stream.write_all(response).await.unwrap();
        if resets {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    };
    let relay = async {
        let (caller, _) = entry.accept().await.unwrap();
        let neighbour = connect(address).await.unwrap();
        let _caller_reads = relay(caller, neighbour, pending(), pending(), false, |_| true).await;
    };
    let call = async {
        let mut caller = TcpStream::connect(entry_address).await.unwrap();
        let request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}";
        caller.write_all(request).await.unwrap();
        let mut received = Vec::new();
        let end = timeout(WAIT, caller.read_to_end(&mut received)).await;
        let end = end.expect("the connection ends").map(|_| ());
        (String::from_utf8(received).unwrap(), end)
    };
    let ((), (), received) = tokio::join!(respond, relay, call);
    received
}

/// Guards against a part of a response, or of its head, that the relaying entry completes, adds to or ends in order.
#[gtest]
#[tokio::test]
async fn a_response_that_is_cut_at_any_byte_reaches_the_caller_cut() {
    let lost = std::str::from_utf8(LOST_RESPONSE).unwrap();
    let mut cuts = 0;
    for response in [LENGTH, CHUNKED, CLOSE] {
        for interim in ["", INTERIM] {
            let whole = format!("{interim}{response}");
            for (cut, resets) in (0..whole.len()).flat_map(|cut| [(cut, false), (cut, true)]) {
                let sent = &whole[..cut];
                let (received, end) = relayed(sent.as_bytes(), resets).await;
                let what = format!("{sent:?}, resets {resets}: {received:?}, {end:?}");
                cuts += 1;
                let is_before_response = cut == 0 || cut == interim.len();
                if is_before_response {
                    expect_that!(received, eq(&format!("{sent}{lost}")), "{what}");
                    continue;
                }
                expect_true!(sent.starts_with(&received), "{what}");
                let has_head = received[interim.len().min(received.len())..].contains("\r\n\r\n");
                if response == CLOSE && has_head {
                    // An orderly end is all that would tell a caller that the response is complete.
                    expect_that!(end.is_err(), eq(resets), "{what}");
                }
            }
        }
    }
    println!("{cuts} cuts");
}
