//! How a program says why it failed.

use std::error::Error;

/// Prints an error with the chain of its causes on standard error.
///
/// ```
/// coltsfootnotch::util::print_causes(&std::fmt::Error);
/// ```
pub fn print_causes(error: &dyn Error) {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(e) = cause {
        eprintln!("  caused by: {e}");
        cause = e.source();
    }
}
