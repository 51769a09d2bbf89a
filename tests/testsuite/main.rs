//! The daemons as a whole.

mod control;
mod demo;
