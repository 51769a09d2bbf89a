//! The daemons: one actor each, and the tasks that own its sockets.

pub mod admin;
pub mod control;
