//! The daemons.
