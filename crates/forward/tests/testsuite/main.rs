//! Decisions of a forwarding entry.

mod book;
mod config;
mod engines;
mod follow;
mod load;
mod many_entries;
mod overload;
mod place;
mod retry;
mod share;
mod stalls;
