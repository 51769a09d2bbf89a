//! The daemons as a whole.

mod commands;
mod control;
mod demo;
mod load;
mod orders;
