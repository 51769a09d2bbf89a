//! Bootstrap of a control group whose members are listed in the settings.
//!
//! A second group beside an existing one could issue numbers twice and lose bookings. A member therefore
//! bootstraps only when every listed control host is connected, has an empty data folder and the same
//! list, and no host of the fleet reports a configuration in force. Only the
//! [bootstrap member](Membership::bootstrap_member) does so. A host that lost its disk later finds non-empty peers
//! and waits to be admitted by an operator.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Membership};
use coltsfootnotch_types::HostName;

use super::packet::MemberHello;
use super::seeded::SeededHello;

/// How long the conditions must hold, so that hosts that are already up have sent a heartbeat: a
/// configuration in force means that a group exists.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(750);

/// Decides whether this member bootstraps the group.
#[derive(Debug)]
pub struct Bootstrap {
    hello: MemberHello,
    peers: BTreeMap<HostName, MemberHello>,
    ready_since: Option<Duration>,
}

impl Bootstrap {
    /// Creates the state for the member described by `hello`.
    #[must_use]
    pub fn new(hello: MemberHello) -> Self {
        Self {
            hello,
            peers: BTreeMap::new(),
            ready_since: None,
        }
    }

    /// This member's hello.
    pub fn local_hello(&self) -> &MemberHello {
        &self.hello
    }

    /// Records that this member's log has an entry; returns whether it was empty.
    pub fn mark_not_empty(&mut self) -> bool {
        std::mem::replace(&mut self.hello.empty, false)
    }

    /// Records the hello of another member.
    pub fn record_hello(&mut self, hello: MemberHello) {
        self.peers.insert(hello.member.host.clone(), hello);
    }

    /// Removes a host whose last connection has closed.
    pub fn remove_host(&mut self, host: &HostName) {
        self.peers.remove(host);
    }

    /// The member running on `host`, if it is connected.
    pub fn member_on(&self, host: &HostName) -> Option<&MemberId> {
        self.peers.get(host).map(|hello| &hello.member)
    }

    /// The connected members that use discovery, with their discovery hellos.
    pub fn seeded_peers(&self) -> impl Iterator<Item = (&MemberId, &SeededHello)> {
        let peers = self.peers.values();
        peers.filter_map(|hello| Some((&hello.member, hello.seeded.as_ref()?)))
    }

    /// The hello of the member on `host`, if it is connected.
    pub fn hello_of(&self, host: &HostName) -> Option<&MemberHello> {
        self.peers.get(host)
    }

    /// The members of the new group, if this member has to bootstrap it now.
    pub fn due(&mut self, now: Duration, is_config_in_force: bool) -> Option<Membership> {
        let members = Membership::of(self.all().map(|h| h.member.clone()));
        let is_bootstrap_member = members.bootstrap_member() == Some(&self.hello.member);
        if is_config_in_force || !is_bootstrap_member || !self.has_agreement() {
            self.ready_since = None;
            return None;
        }
        let since = *self.ready_since.get_or_insert(now);
        (now >= since + BOOTSTRAP_DELAY).then_some(members)
    }

    /// Whether every listed host is connected, empty and has the same list. False on a host that is not
    /// listed itself, as with an empty list.
    fn has_agreement(&self) -> bool {
        let listed = &self.hello.listed;
        if !listed.contains(&self.hello.member.host) {
            return false;
        }
        let is_connected = |host: &HostName| self.all().any(|h| h.member.host == *host);
        let agrees = |h: &MemberHello| h.empty && h.listed == *listed;
        listed.iter().all(is_connected) && self.all().all(agrees)
    }

    /// The connected listed members, including this one.
    fn all(&self) -> impl Iterator<Item = &MemberHello> {
        let listed = |h: &&MemberHello| self.hello.listed.contains(&h.member.host);
        std::iter::once(&self.hello).chain(self.peers.values().filter(listed))
    }
}
