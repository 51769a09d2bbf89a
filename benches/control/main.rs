//! What a control group does on this machine: `cargo bench --bench control -- commits`, `restart`,
//! `hosts` or `large`; all of them without a name.
//!
//! Three control daemons in one process, with real files and connections over loopback.

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
    let parts: [(&str, fn()); 4] = [
        ("commits", commits::run),
        ("restart", restart::run),
        ("hosts", hosts::run),
        ("large", large::run),
    ];
    let asked: Vec<_> = std::env::args().skip(1).collect();
    let is_asked = |name: &str| asked.iter().any(|arg| arg == name);
    let asks_for_all = !parts.iter().any(|(name, _)| is_asked(name));
    for (name, run) in parts {
        if asks_for_all || is_asked(name) {
            run();
        }
    }
}
