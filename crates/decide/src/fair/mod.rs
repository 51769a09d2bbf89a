//! Weighted fair queueing of accounts over the whole fleet.
//!
//! Keeps a flooding account, or one that reaches more hosts than others, from taking more than its
//! share of a pool.
//!
//! Each sidecar has a [`FairLedger`] with one [`FairQueue`] per pool. Local service is counted and
//! reported to a relay ([`FairLedger::take_unsent`]), which returns totals of the service given by
//! other hosts ([`FairLedger::merge_remote`]). An account is ordered by its virtual service:
//! local and remote service per weight, plus the unused part of the estimates of local runs. The
//! waiting account with the lowest virtual service is served next, with three corrections:
//!
//! - An account that returns from idle is raised to the lowest waiting one, so idle time earns no
//!   credit.
//! - Waiting accounts further apart than the horizon, as after a long partition, are brought to
//!   half the horizon. The outlier is moved, so the others keep their differences.
//! - A host without state starts all accounts level. Totals alone put an old account far ahead of a
//!   new one.
//!
//! Virtual service is local to a host and a pool, so hosts need not agree on it. Service counts
//! over all pools: what an account uses in one pool counts against it in the others.
//!
//! [`FairnessBound`] is the resulting bound on unfairness; [`FairnessMeter`] measures against it.

mod account;
mod backlog;
mod bound;
mod ledger;
mod meter;
mod policy;
mod queue;
mod service_totals;
mod spread_limit;
mod virtual_service;

pub use backlog::Backlog;
pub use bound::{FairnessBound, fairness_bound};
pub use ledger::FairLedger;
pub use meter::{FairnessMeter, Gap};
pub use policy::ChoicePolicy;
pub use queue::FairQueue;
pub use service_totals::ServiceTotals;
pub use virtual_service::VirtualService;
