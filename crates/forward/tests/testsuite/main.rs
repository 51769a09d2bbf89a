//! Decisions of a forwarding entry.

mod config;
mod control_host;
mod copies;
mod crashing_segments;
mod engines;
mod held;
mod line;
mod load;
mod many_entries;
mod overload;
mod place;
mod registry;
mod retry;
mod retry_fleet;
mod retry_history;
mod retry_restarts;
mod saturated_homes;
mod share;
mod stalls;
mod stated_numbers;
mod streams;
mod takeover;
mod upstream_notices;
mod warm_up;
