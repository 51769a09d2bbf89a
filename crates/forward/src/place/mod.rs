//! Which upstream a request goes to, or that it is refused at once.
//!
//! **Pattern of load.** Prompts of thousands of tokens, most of them in parts that requests share;
//! many times the engines' memory in all; bursts beyond what the engines can read.
//!
//! **Without it** each engine reads every shared part anew (more than half of all the work), one
//! engine has a queue while another idles, and in a burst every request waits until nobody is served
//! in time.
//!
//! **The rule.** A request goes where its first event is expected soonest: what waits there to be
//! read, and what of its own prompt is not kept there, over the pace of the engine. So a subject
//! stays where it is kept, and is read elsewhere as well once its home is that far behind. What would
//! wait longer than a bound is refused at once: an engine takes requests in their order, so work
//! beyond the bound makes everybody late and serves nobody more. The bound is what leaves room for the
//! tightest target, or what the engine's streams bear without a pause
//! ([`BacklogLimit`](crate::load::BacklogLimit)), whichever is less. It is deeper for accounts
//! below their fair share than for those above it, which makes room for the former.

mod admission;
mod ask;
mod engine;
mod plain;
mod refusal;
mod rendezvous;
mod shortlist;
mod target;

pub use ask::{Ask, Pace, Prompt};
pub use engine::place_engine;
pub use plain::place_plain;
pub use refusal::{Refusal, RefusalReason};
pub use target::{Candidate, Placement};
