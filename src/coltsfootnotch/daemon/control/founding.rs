//! When a new control group is founded.
//!
//! A group founded beside one that still remembers would hand out numbers twice and forget bookings,
//! so a member founds only when nothing can remember: every control host of the settings is connected
//! at once, each with a data folder that holds no entry, each with the same list in its settings, and
//! no host of the fleet reports a configuration in force. Only the [founder](Membership::bootstrap_member) of the
//! listed members founds. A host whose disk was lost later meets others that are not empty, and waits to be admitted by an
//! operator.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Membership};
use coltsfootnotch_types::HostName;

use super::packet::MemberHello;
use super::seeded::SeededHello;

/// How long the conditions must hold, so that hosts which were up before have sent a heartbeat: one
/// that has a configuration in force shows that there was a group.
const FOUND_AFTER: Duration = Duration::from_millis(750);

/// Decides whether this member founds the group.
#[derive(Debug)]
pub struct Founding {
    hello: MemberHello,
    others: BTreeMap<HostName, MemberHello>,
    holds_since: Option<Duration>,
}

impl Founding {
    /// For the member that `hello` describes.
    #[must_use]
    pub fn new(hello: MemberHello) -> Self {
        Self {
            hello,
            others: BTreeMap::new(),
            holds_since: None,
        }
    }

    /// What this member says of itself.
    pub fn hello(&self) -> &MemberHello {
        &self.hello
    }

    /// This member holds an entry now; returns whether that is new.
    pub fn joined(&mut self) -> bool {
        std::mem::replace(&mut self.hello.empty, false)
    }

    /// Takes what another member says of itself.
    pub fn hear(&mut self, hello: MemberHello) {
        self.others.insert(hello.member.host.clone(), hello);
    }

    /// No connection to the host is left.
    pub fn lose(&mut self, host: &HostName) {
        self.others.remove(host);
    }

    /// The member that runs on `host`, while it is connected.
    pub fn member_on(&self, host: &HostName) -> Option<&MemberId> {
        self.others.get(host).map(|hello| &hello.member)
    }

    /// The members on connected hosts that find each other, with what those say of themselves.
    pub fn seeded_others(&self) -> impl Iterator<Item = (&MemberId, &SeededHello)> {
        let others = self.others.values();
        others.filter_map(|hello| Some((&hello.member, hello.seeded.as_ref()?)))
    }

    /// What the member on `host` says of itself, while it is connected.
    pub fn hello_of(&self, host: &HostName) -> Option<&MemberHello> {
        self.others.get(host)
    }

    /// The members of the group to found now, if this member is to found one.
    pub fn due(&mut self, now: Duration, is_config_in_force: bool) -> Option<Membership> {
        let members = Membership::of(self.all().map(|h| h.member.clone()));
        let is_founder = members.bootstrap_member() == Some(&self.hello.member);
        if is_config_in_force || !is_founder || !self.all_agree() {
            self.holds_since = None;
            return None;
        }
        let since = *self.holds_since.get_or_insert(now);
        (now >= since + FOUND_AFTER).then_some(members)
    }

    /// Whether every listed host is here and agrees. A host that is not listed itself, as where the
    /// settings list nobody, has nothing to found.
    fn all_agree(&self) -> bool {
        let listed = &self.hello.listed;
        if !listed.contains(&self.hello.member.host) {
            return false;
        }
        let is_here = |host: &HostName| self.all().any(|h| h.member.host == *host);
        let agrees = |h: &MemberHello| h.empty && h.listed == *listed;
        listed.iter().all(is_here) && self.all().all(agrees)
    }

    /// The listed members that are connected, this one included.
    fn all(&self) -> impl Iterator<Item = &MemberHello> {
        let listed = |h: &&MemberHello| self.hello.listed.contains(&h.member.host);
        std::iter::once(&self.hello).chain(self.others.values().filter(listed))
    }
}
