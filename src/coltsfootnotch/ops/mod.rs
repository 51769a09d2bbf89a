//! What the commands do.
