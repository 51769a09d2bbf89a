//! daemon.
fn main() {}
