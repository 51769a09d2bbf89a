//! Sums of load by upstream and by account.
//!
//! The sums saturate: their parts come from other hosts, and a sum that wraps would make a busy upstream look idle.

use std::collections::BTreeMap;

use coltsfootnotch_wire::{AccountDemand, UpstreamUsage};

/// Adds requests in flight to the sums of their upstream.
pub(super) fn add_in_flight(all: &mut BTreeMap<String, UpstreamUsage>, used: &UpstreamUsage) {
    let total = upstream(all, &used.id);
    total.waiting_tokens = total.waiting_tokens.saturating_add(used.waiting_tokens);
    total.running = total.running.saturating_add(used.running);
    total.held_tokens = total.held_tokens.saturating_add(used.held_tokens);
}

/// Adds counters to the sums of their upstream.
pub(super) fn add_counters(all: &mut BTreeMap<String, UpstreamUsage>, used: &UpstreamUsage) {
    let total = upstream(all, &used.id);
    total.elapsed_ms = total.elapsed_ms.saturating_add(used.elapsed_ms);
    total.expected_ms = total.expected_ms.saturating_add(used.expected_ms);
    total.failed = total.failed.saturating_add(used.failed);
    total.succeeded = total.succeeded.saturating_add(used.succeeded);
}

fn upstream<'a>(all: &'a mut BTreeMap<String, UpstreamUsage>, id: &str) -> &'a mut UpstreamUsage {
    // Most upstreams have a row already, for which no name is copied.
    if !all.contains_key(id) {
        let empty = UpstreamUsage::<()>::default().with_id(id.to_owned());
        all.insert(id.to_owned(), empty);
    }
    all.get_mut(id).expect("inserted above")
}

/// Adds what an account asked for and got to the sums of all accounts.
///
/// ```
/// use std::collections::BTreeMap;
/// use coltsfootnotch_forward::load::add_account;
/// use coltsfootnotch_wire::AccountDemand;
/// let used = AccountDemand { account: "bistro".to_owned(), requested: 4, admitted: 3 };
/// let mut all = BTreeMap::new();
/// add_account(&mut all, &used);
/// add_account(&mut all, &used);
/// assert_eq!(all["bistro"].requested, 8);
/// ```
pub fn add_account(all: &mut BTreeMap<String, AccountDemand>, used: &AccountDemand) {
    let empty = || AccountDemand {
        account: used.account.clone(),
        requested: 0,
        admitted: 0,
    };
    let total = all.entry(used.account.clone()).or_insert_with(empty);
    total.requested = total.requested.saturating_add(used.requested);
    total.admitted = total.admitted.saturating_add(used.admitted);
}
