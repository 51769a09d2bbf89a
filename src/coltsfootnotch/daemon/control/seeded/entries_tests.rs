//! Configurations that are sent to connected entries.

use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_types::HostName;
use coltsfootnotch_wire::FromRelay;
use googletest::prelude::*;

use super::{ConnectedEntries, LeaseQuery};

const LINK: LinkId = LinkId(1);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An entry that has selected this host and reported the configuration 65.
fn entries() -> ConnectedEntries {
    let mut entries = ConnectedEntries::default();
    entries.add(LINK, HostName::new("entry-1").unwrap());
    let query = LeaseQuery {
        link: LINK,
        id: 1,
        current: 65,
    };
    entries.queue_query(at(0), query);
    entries
}

fn message(_from: u64) -> Option<FromRelay> {
    Some(FromRelay::Lease { id: 0, number: 0 })
}

/// Guards against a configuration that counts as sent before there is anything to send: entries then got it two seconds
/// later, and served nothing meanwhile.
#[googletest::test]
fn a_configuration_without_a_message_does_not_count_as_sent() {
    let mut entries = entries();
    expect_that!(
        entries.take_needing_config(at(10), 73, |_| None),
        is_empty()
    );
    expect_that!(
        entries.take_needing_config(at(20), 73, message).len(),
        eq(1)
    );
}

/// Guards against a configuration that is sent with each query until the entry reports it.
#[googletest::test]
fn a_configuration_is_sent_once_in_two_seconds() {
    let mut entries = entries();
    expect_that!(
        entries.take_needing_config(at(10), 73, message).len(),
        eq(1)
    );
    expect_that!(
        entries.take_needing_config(at(900), 73, message),
        is_empty()
    );
}
