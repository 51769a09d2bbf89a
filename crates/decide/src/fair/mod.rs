//! Which account's request runs next, fair in service per weight over the whole fleet.
//!
//! **Pattern of load.** One account floods, a few accounts have most of the load, long requests
//! stand among short ones, and each account's requests arrive at entries of its own.
//!
//! **Without it** capacity goes to whoever sends most, or, if each host shares out only its own
//! slots, to whoever reaches most hosts.
//!
//! **Life of a choice.** Each sidecar has a [`FairLedger`], with a [`FairQueue`] for each pool that it
//! serves. Service used here is counted, told to a relay ([`FairLedger::take_unsent`]) and comes back
//! to all others as totals ([`FairLedger::learn_elsewhere`]). An account's place in a queue is its
//! virtual service: service per weight used here or heard of elsewhere, plus the part of estimates of
//! runs in progress here that is not used yet. The waiting account with the lowest place goes first.
//! Three rules keep the places honest:
//!
//! - *No credit for idleness.* An account that returns is lifted to the lowest waiting one.
//! - *No debt without end.* Two waiting accounts further apart than the horizon, as after an hour's
//!   partition, are drawn together to half of it: whichever stands further from the rest is moved,
//!   so that the others keep their differences.
//! - *No verdict from ignorance.* A host that restarts with no state takes all accounts as level and
//!   counts from there. Totals alone would mislead it: an account that came yesterday has received
//!   less than one that came last year, and is owed nothing for it.
//!
//! Places are differences and never leave the host, so hosts needn't agree on them: each one evens
//! out what the accounts receive over the fleet from when it first saw them. They are per pool, while
//! service counts over all pools: what an account gets in one pool counts against it in another, yet
//! pools whose levels drift apart never starve an account that moves between them.
//!
//! The bound that follows is [`FairnessBound`]; [`FairnessMeter`] measures against it.

mod account;
mod bound;
mod ledger;
mod meter;
mod policy;
mod queue;
mod served;
mod spread;
mod virtual_service;
mod waiting;

pub use bound::{FairnessBound, fairness_bound};
pub use ledger::FairLedger;
pub use meter::{FairnessMeter, Gap};
pub use policy::ChoicePolicy;
pub use queue::FairQueue;
pub use served::Served;
pub use virtual_service::VirtualService;
pub use waiting::Waiting;
