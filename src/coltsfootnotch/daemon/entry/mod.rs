//! The entry role: takes requests from callers, queues them, delivers answers.
//!
//! A connection's task reads and checks a request and hands it to the actor as an [`Arrival`]. The
//! actor owns the queues; it starts a task per attempt, which owns the attempt's stream and sends
//! the pieces of the answer straight to the caller's connection. How an attempt ended goes back to
//! the actor, which alone decides what follows.

mod actor;
mod admission;
mod arrival;
mod arrivals;
mod attempt;
mod attempt_end;
mod bookings;
mod callers;
mod chat;
mod config;
mod doubts;
mod handle;
mod ledger_answers;
mod listen;
mod outcomes;
mod proposals;
mod reply_body;
mod requests;
mod sidecars;
mod suspects;

pub use arrival::{Arrival, BookingKey, ReplyPart};
pub use config::EntryConfig;
pub use handle::{EntryHandle, start};
