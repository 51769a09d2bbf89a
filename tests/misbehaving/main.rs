//! Clients that do not behave, at each listener of `coltsfootnotchd` processes. They check that each process lives, what
//! it holds, and that an ordinary request is answered afterwards; one test runs at a time.

#[path = "../testsuite/processes/caller.rs"]
#[expect(dead_code, reason = "shared with the test suite")]
mod caller;
mod crowd;
#[path = "../testsuite/processes/daemon.rs"]
#[expect(dead_code, reason = "shared with the test suite")]
mod daemon;
#[path = "../testsuite/processes/fleet.rs"]
#[expect(dead_code, reason = "shared with the test suite")]
mod fleet;
mod peers;

mod crowded_fleet;
mod daemons;
mod fleet_links;
