//! Which client accounts use more than their fair share of the engines.
//!
//! **Pattern of load.** A few accounts send many times their usual, more than the engines can do.
//!
//! **Without it** whoever sends most gets most: the small accounts wait behind the flood, or are
//! refused in proportion.
//!
//! **The rule.** What the engines did lately is compared with what each account asked. The level is
//! the most that an account can get if every account that asks less than it gets all it asks
//! (max-min fairness). An account above the level only gets what nobody else would use. The level
//! needs no figure for what the engines can do: it is what they did, so it follows when some are lost
//! or slow, and there is none while nobody is refused.

mod fair_shares;

pub use fair_shares::FairShares;
pub(crate) use fair_shares::MEMORY;
