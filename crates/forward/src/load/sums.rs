//! Sums of load by upstream and by account.

use std::collections::BTreeMap;

use coltsfootnotch_wire::{AccountDemand, UpstreamUsage};

/// Adds requests in flight to the sums of their upstream.
pub(super) fn add_in_flight(all: &mut BTreeMap<String, UpstreamUsage>, used: &UpstreamUsage) {
    let total = upstream(all, &used.id);
    total.waiting_tokens += used.waiting_tokens;
    total.running += used.running;
    total.held_tokens += used.held_tokens;
}

/// Adds counters to the sums of their upstream.
pub(super) fn add_counters(all: &mut BTreeMap<String, UpstreamUsage>, used: &UpstreamUsage) {
    let total = upstream(all, &used.id);
    total.elapsed_ms += used.elapsed_ms;
    total.expected_ms += used.expected_ms;
    total.failed += used.failed;
    total.succeeded += used.succeeded;
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
    total.requested += used.requested;
    total.admitted += used.admitted;
}
