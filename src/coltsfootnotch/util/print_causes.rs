//! Prints errors with their causes.

use std::error::Error;

/// Prints an error and the chain of its causes to standard error.
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
