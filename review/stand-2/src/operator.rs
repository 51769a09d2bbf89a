//! The operator's calls, sent to one control host after another until one gives a clear response.

use std::io;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Answer, call};
use crate::record::Record;

/// Time without a response after which the operator moves on to another host.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a call to `first` and then to the others in turn until it is acknowledged.
pub fn send_until_done(
    hosts: &[SocketAddr],
    first: usize,
    path: &str,
    body: &str,
    timeout: Duration,
    record: &Record,
) -> io::Result<Answer> {
    let deadline = Instant::now() + timeout;
    let mut pause = Duration::from_millis(50);
    for attempt in 0.. {
        let host = hosts[(first + attempt) % hosts.len()];
        record.line(format!("the operator sends POST {path} to {host}"));
        match call(host, "POST", path, body, RESPONSE_TIMEOUT) {
            Ok(answer) if answer.head.status() == 200 => {
                record.line(format!("the operator gets 200 to POST {path} from {host}"));
                return Ok(answer);
            }
            Ok(answer) if (400..500).contains(&answer.head.status()) => {
                return Err(io::Error::other(format!(
                    "{path} is refused: {} {}",
                    answer.head.line, answer.body
                )));
            }
            Ok(answer) => record.line(format!("the operator gets {}", answer.head.line)),
            Err(e) => record.line(format!("the operator gets no response: {e}")),
        }
        if Instant::now() >= deadline {
            break;
        }
        sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(500));
    }
    Err(io::Error::other(format!("{path} is not acknowledged")))
}
