//! Implementation of the commands.

pub mod access;
pub mod apply;
pub mod check;
pub mod demo;
pub mod error;
pub mod evacuate;
pub mod explain;
pub mod fleet;
pub mod fleet_status;
pub mod keys;
pub mod load;
pub mod member;
pub mod operator_client;
pub mod serve;
pub mod status;
pub mod trace;
