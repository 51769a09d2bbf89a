//! The daemons as a whole.

mod control;
