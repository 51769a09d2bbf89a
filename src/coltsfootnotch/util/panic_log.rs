//! Logs panics as numbered events.
//!
//! A panic in the handler of a request ends that request, one elsewhere in its task the connection, and one in an actor
//! the process, with all that it has in progress.

use std::panic;
use std::thread;

use super::events;
use crate::core::HostCx;

/// Logs each panic of the process as an event of the daemon of `cx`, and counts it, before the hook in place prints
/// it.
///
/// A process has one hook: where several daemons run in one process, panics are logged by the last to call this.
pub fn log_panics(cx: &HostCx) {
    let cx = cx.clone();
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let place = info
            .location()
            .map_or_else(|| "-".to_owned(), ToString::to_string);
        let reason = info.payload_as_str().unwrap_or("-");
        let current = thread::current();
        let thread = current.name().unwrap_or("-");
        cx.log(
            &events::PANICKED,
            &[("thread", &thread), ("place", &place), ("reason", &reason)],
        );
        previous(info);
    }));
}
