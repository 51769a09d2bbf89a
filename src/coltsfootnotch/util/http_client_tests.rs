//! Responses whose connection is reset.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use socket2::SockRef;
use ureq::Agent;

use super::agent;

/// What a client reads of a response that has neither a length nor chunks, and whose connection is reset or closed
/// after `pause`.
fn read_unframed(resets: bool, pause: Duration) -> std::result::Result<String, ureq::Error> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let len = stream.read(&mut [0; 4096]).unwrap();
        assert_that!(len, gt(0));
        let sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf");
        sent.unwrap();
        thread::sleep(pause);
        if resets {
            let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            reset.unwrap();
        }
    });
    let agent = agent(Agent::config_builder().build());
    let response = agent.get(format!("http://{address}/")).call();
    let text = response.and_then(|mut response| response.body_mut().read_to_string());
    serving.join().unwrap();
    text
}

/// Guards against a response that broke and is taken for complete.
#[googletest::test]
fn a_reset_is_no_end_of_a_response() {
    for pause_ms in [0, 1, 50] {
        let pause = Duration::from_millis(pause_ms);
        expect_that!(read_unframed(true, pause), err(anything()), "{pause:?}");
        let closed = read_unframed(false, pause);
        expect_that!(closed, ok(eq("half")), "{pause:?}");
    }
}
