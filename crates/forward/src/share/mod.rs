//! Fair shares of client accounts in the engines' service.
//!
//! Without them, the account that sends most gets most, and small accounts are refused in
//! proportion. What the engines served lately is compared with each account's demand. The level is
//! the most that an account can get if every account with less demand is served in full (max-min
//! fairness). An account above the level gets only what no other would use. The level is derived
//! from what was served, so it follows the engines' capacity, and there is none while nothing is
//! refused.

mod fair_shares;

pub use fair_shares::FairShares;
