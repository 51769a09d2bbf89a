//! Cancellation of blocking HTTP calls while they wait for bytes.
//!
//! The HTTP library can't interrupt a call, and reads heads, trailers and chunk sizes without a return to its
//! caller. The transport of the call therefore looks at the flag itself. The flag is found by the thread, since a
//! pooled connection serves one call after another.

use std::cell::RefCell;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use ureq::Error;
use ureq::unversioned::transport::{NextTimeout, Transport};

/// Longest wait for bytes before the flag is looked at again. Upstreams that can't be told to cancel learn of it by the
/// end of the connection, half a second after the caller has left at the latest.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

thread_local! {
    static CANCELLED: RefCell<Option<Arc<AtomicBool>>> = const { RefCell::new(None) };
}

/// Clears the flag of a thread when its call ends, also by a panic.
struct ClearOnDrop;

impl Drop for ClearOnDrop {
    fn drop(&mut self) {
        CANCELLED.set(None);
    }
}

/// Runs `call`, and fails its writes and its waits for bytes on this thread soon after `cancelled` is set.
///
/// ```
/// use std::sync::Arc;
/// use std::sync::atomic::AtomicBool;
/// use coltsfootnotch::util::call_cancellation::with_cancellation;
/// let cancelled = Arc::new(AtomicBool::new(false));
/// assert_eq!(with_cancellation(&cancelled, || 1), 1);
/// ```
pub fn with_cancellation<T>(cancelled: &Arc<AtomicBool>, call: impl FnOnce() -> T) -> T {
    CANCELLED.set(Some(Arc::clone(cancelled)));
    let _clear = ClearOnDrop;
    call()
}

/// Writes output as [`Transport::transmit_output`] does, unless the call of this thread is cancelled.
pub(super) fn transmit_output(
    transport: &mut impl Transport,
    amount: usize,
    timeout: NextTimeout,
) -> Result<(), Error> {
    let is_cancelled =
        CANCELLED.with_borrow(|flag| flag.as_ref().is_some_and(|f| f.load(Ordering::Relaxed)));
    if is_cancelled {
        return Err(cancelled());
    }
    transport.transmit_output(amount, timeout)
}

fn cancelled() -> Error {
    Error::Io(io::Error::other("the call was cancelled"))
}

/// Waits for input as [`Transport::await_input`] does, but no longer than until the call of this thread is
/// cancelled.
pub(super) fn await_input(
    transport: &mut impl Transport,
    timeout: NextTimeout,
) -> Result<bool, Error> {
    let Some(flag) = CANCELLED.with_borrow(Clone::clone) else {
        return transport.await_input(timeout);
    };
    let timeout = timeout.for_read();
    let started = Instant::now();
    loop {
        if flag.load(Ordering::Relaxed) {
            return Err(cancelled());
        }
        let left = timeout.after.saturating_sub(started.elapsed());
        if left.is_zero() {
            return Err(Error::Timeout(timeout.reason));
        }
        let step = NextTimeout {
            after: left.min(POLL_INTERVAL).into(),
            ..timeout
        };
        match transport.await_input(step) {
            Err(Error::Timeout(_)) => {}
            result => return result,
        }
    }
}
