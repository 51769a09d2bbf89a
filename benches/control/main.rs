//! Benchmarks of a control group: `cargo bench --bench control -- [NAME...]`, where NAME is
//! `commits`, `restart`, `hosts` or `large`. Without a name all of them run.
//!
//! Three control daemons run in one process, with files on disk and connections over loopback.

#[path = "../../tests/testsuite/control/client.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod client;
mod commits;
#[path = "../../tests/testsuite/control/group.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod group;
mod hosts;
mod large;
mod restart;

fn main() {
    let benchmarks: [(&str, fn()); 4] = [
        ("commits", commits::run),
        ("restart", restart::run),
        ("hosts", hosts::run),
        ("large", large::run),
    ];
    let names: Vec<_> = std::env::args().skip(1).collect();
    let is_requested = |name: &str| names.iter().any(|arg| arg == name);
    let run_all = !benchmarks.iter().any(|(name, _)| is_requested(name));
    for (name, run) in benchmarks {
        if run_all || is_requested(name) {
            run();
        }
    }
}
