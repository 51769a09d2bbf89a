//! Placement of requests on upstreams, or their refusal.
//!
//! Prompts of a model service have thousands of tokens, mostly in shared segments that exceed the
//! memory of one engine many times, and come in bursts beyond the engines' capacity. Spread evenly,
//! every engine prefills every shared segment, and a burst makes every request late.
//!
//! A request goes to the engine with the earliest expected first event, among those that have its
//! subject cached and the subject's homes: its backlog plus the uncached part of the prompt, over
//! its prefill rate. When they are too far behind it is refused: to prefill its shared segments
//! elsewhere would take the time of three other requests, and copies of them elsewhere would
//! displace each other. Only while most engines are idle it goes elsewhere, since no entry of a large
//! fleet sees enough requests about a subject to give it more homes. A home that lacks a segment
//! copies it from an engine that has it, where
//! engines can copy and that is faster than prefilling.
//!
//! Engines process requests in order, so work beyond a bound makes all later requests late and is
//! refused. The bound is the lesser of what leaves room for the shortest target and what the
//! engine's streams tolerate ([`BacklogLimit`](crate::load::BacklogLimit)); it is higher for
//! accounts below their fair share than for those above.

mod admission;
mod engine;
mod plain;
mod refusal;
mod rendezvous;
mod request;
mod shortlist;
mod target;

pub use engine::place_engine;
pub use plain::place_plain;
pub use refusal::{Refusal, RefusalReason};
pub use rendezvous::distance;
pub use request::{CopyRate, PlacementRequest, PrefillRate, Prompt};
pub use target::{Candidate, Placement};
