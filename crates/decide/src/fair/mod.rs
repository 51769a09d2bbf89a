//! Which account's request runs next, fair in service per weight over the whole fleet.
//!
//! **Pattern of load.** One account floods, a few accounts have most of the load, long requests
//! stand among short ones, and each account's requests arrive at entries of its own.
//!
//! **Without it** capacity goes to whoever sends most, or, if each host shares out only its own
//! slots, to whoever reaches most hosts.
//!
//! **Life of a choice.** Each pool has a [`FairQueue`] on every sidecar that serves it. An account's
//! place is its virtual service: service per weight counted here, plus that learned of other hosts,
//! plus an offset shared by the pool. The waiting account with the lowest place goes first. Three
//! rules keep the places honest:
//!
//! - *No credit for idleness.* An account that returns is lifted to the lowest waiting one.
//! - *No debt without end.* Two waiting accounts further apart than the horizon, as after an hour's
//!   partition, are drawn together to half of it: whichever stands further from the rest is moved,
//!   so that the others keep their differences.
//! - *No verdict from ignorance.* What a host does to an account of which it has not yet heard stays
//!   with that host and ends when it hears: a restarted host can't move accounts fleet-wide.
//!
//! Places are per pool while service counts over all pools: what an account gets in one pool counts
//! against it in another, yet pools whose levels drift apart never starve an account that moves.
//! The bound that follows is [`FairnessBound`]; [`FairnessMeter`] measures against it.

mod account;
mod bound;
mod ledger;
mod meter;
mod policy;
mod queue;
mod spread;
mod waiting;

pub use bound::{FairnessBound, fairness_bound};
pub use ledger::FairLedger;
pub use meter::{FairnessMeter, Gap};
pub use policy::ChoicePolicy;
pub use queue::FairQueue;
pub use waiting::Waiting;
