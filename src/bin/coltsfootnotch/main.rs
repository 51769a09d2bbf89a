//! cli.
fn main() {}
