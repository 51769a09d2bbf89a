//! Scheduling and admission decisions without I/O: fair queueing, admission, routing, retries.
//!
//! Time is passed in as [`std::time::Duration`] since the start of the process, so every decision
//! can be replayed in virtual time.

pub mod admit;
pub mod crash;
pub mod estimate;
pub mod fair;
pub mod retry;
pub mod route;
pub mod window;

/// Re-exports of the commonly used types and functions.
pub mod prelude {
    pub use crate::admit::{Admission, HostLimits, HostLoad, QueueLimits, Refusal, RefusalReason};
    pub use crate::crash::{CrashTracker, IsolationSlot, RunPolicy, SuspectKey};
    pub use crate::estimate::{CostEstimator, RunCharge};
    pub use crate::fair::{
        Backlog, ChoicePolicy, FairLedger, FairQueue, FairnessBound, FairnessMeter, VirtualService,
    };
    pub use crate::retry::{FailedAttempt, NoRetry, RetryBudget, may_retry};
    pub use crate::route::{
        Candidate, HealthEvent, PrefixKey, PrefixMap, Proximity, UpstreamHealth, VersionShift,
        WaitingRequest, choose_request, choose_upstream, usable_slots,
    };
    pub use crate::window::{ConcurrencyWindow, RunEnd, WindowTargets};
}
