//! A simulated network of hosts and relays with programmable message loss.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_membership::{
    Directory, HostLink, LinkAction, MemberEventKind, Registry, RelayAddress, RelayId, Timing,
    View, ViewFeed,
};
use coltsfootnotch_types::{HostName, Incarnation, Role};

use crate::support::{host, millis, profile, relay};

const STEP: Duration = Duration::from_millis(50);
const DOMAINS: [&str; 3] = ["jhb-north", "jhb-south", "pta-east"];

pub(crate) struct SimHost {
    pub(crate) name: HostName,
    pub(crate) link: HostLink,
    pub(crate) view: View,
    pub(crate) up: bool,
}

pub(crate) struct SimRelay {
    pub(crate) id: RelayId,
    pub(crate) registry: Registry,
    pub(crate) directory: Directory,
    pub(crate) up: bool,
    feeds: BTreeMap<HostName, ViewFeed>,
    pub(crate) events: Vec<(HostName, MemberEventKind)>,
}

/// Three failure domains, each with a relay, an entry and two sidecars.
pub(crate) struct Net {
    pub(crate) now: Duration,
    pub(crate) hosts: Vec<SimHost>,
    pub(crate) relays: Vec<SimRelay>,
}

fn start_relay(n: usize, epoch: u64, now: Duration) -> SimRelay {
    let id = relay(&format!("control-{n}"), epoch);
    SimRelay {
        registry: Registry::new(id.clone(), Timing::DEFAULT, now),
        directory: Directory::new(id.clone(), &Timing::DEFAULT, now),
        up: true,
        feeds: BTreeMap::new(),
        events: Vec::new(),
        id,
    }
}

pub(crate) fn start_host(name: &str, run: u64, domain: usize, now: Duration) -> SimHost {
    let address = |(n, domain): (usize, &&str)| RelayAddress {
        host: host(&format!("control-{n}")),
        domain: profile(Role::Control, domain, &[]).domain,
        addresses: Vec::new(),
    };
    let profile = match name.starts_with("entry") {
        true => profile(Role::Entry, DOMAINS[domain], &[]),
        false => profile(Role::Sidecar, DOMAINS[domain], &["menu-writer"]),
    };
    let relays = DOMAINS.iter().enumerate().map(address).collect();
    let (name, run) = (host(name), Incarnation(run));
    let timing = Timing::DEFAULT;
    SimHost {
        link: HostLink::new(name.clone(), run, run.0, profile, relays, timing, now),
        view: View::default(),
        up: true,
        name,
    }
}

impl Net {
    pub(crate) fn new() -> Self {
        let now = Duration::from_secs(100);
        let mut hosts = Vec::new();
        for domain in 0..3 {
            let names = [
                format!("entry-{domain}"),
                format!("a-{domain}"),
                format!("b-{domain}"),
            ];
            hosts.extend(names.iter().map(|name| start_host(name, 1, domain, now)));
        }
        let relays = (0..3).map(|n| start_relay(n, 1, now)).collect();
        Self { now, hosts, relays }
    }

    pub(crate) fn restart_relay(&mut self, n: usize) {
        let epoch = self.relays[n].id.epoch.0 + 1;
        self.relays[n] = start_relay(n, epoch, self.now);
    }

    /// Runs for `span`. `lost(from, to)` returns whether a message between two hosts is lost, and
    /// `on_step` is called after each step.
    pub(crate) fn run(
        &mut self,
        span: Duration,
        mut lost: impl FnMut(&str, &str) -> bool,
        mut on_step: impl FnMut(&Self),
    ) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.step_hosts(&mut lost);
            if self.now.as_millis().is_multiple_of(250) {
                self.step_relays(&mut lost);
                self.send_views(&mut lost);
            }
            on_step(self);
        }
    }

    fn step_hosts(&mut self, lost: &mut impl FnMut(&str, &str) -> bool) {
        let now = self.now;
        for host in self.hosts.iter_mut().filter(|h| h.up) {
            for action in host.link.poll(now) {
                let to = match &action {
                    LinkAction::Probe(to) => Some(to.clone()),
                    _ => host.link.relay().cloned(),
                };
                let Some(to) = to else { continue };
                let relay = self.relays.iter_mut().find(|r| r.id.host == to.host);
                let Some(relay) = relay.filter(|r| r.up) else {
                    continue;
                };
                let (host_name, relay_name) = (host.name.as_str(), to.host.as_str());
                match action {
                    LinkAction::ConnectTo(_) => {
                        self.relays.iter_mut().for_each(|r| {
                            r.feeds.remove(&host.name);
                        });
                    }
                    LinkAction::Heartbeat(hb) if !lost(host_name, relay_name) => {
                        let reply = relay.registry.on_heartbeat(now, &hb);
                        let role = match host_name.starts_with("entry") {
                            true => Role::Entry,
                            false => Role::Sidecar,
                        };
                        relay.feeds.entry(host.name.clone()).or_insert_with(|| {
                            let n = host_name.len() - 1;
                            let domain = DOMAINS[host_name[n..].parse::<usize>().unwrap_or(0)];
                            let domain = profile(role, domain, &[]).domain;
                            ViewFeed::new(host.name.clone(), domain, role)
                        });
                        if !lost(relay_name, host_name) {
                            host.link.on_reply(now, &to.host, &reply);
                        }
                    }
                    LinkAction::Probe(_)
                        if !lost(host_name, relay_name) && !lost(relay_name, host_name) =>
                    {
                        host.link.on_probe_reply(&to.host);
                    }
                    _ => {}
                }
            }
        }
    }

    fn step_relays(&mut self, lost: &mut impl FnMut(&str, &str) -> bool) {
        let now = self.now;
        for n in 0..self.relays.len() {
            if !self.relays[n].up {
                continue;
            }
            self.relays[n].registry.tick(now);
            let events = self.relays[n].registry.take_events();
            let events = events.into_iter().map(|e| (e.host, e.kind));
            self.relays[n].events.extend(events);
            for m in 0..self.relays.len() {
                let (from, to) = (self.relays[n].id.clone(), self.relays[m].id.clone());
                let is_lost = n != m && lost(from.host.as_str(), to.host.as_str());
                if !self.relays[m].up || is_lost {
                    continue;
                }
                let known = self.relays[m].directory.known_version(&from);
                let delta = self.relays[n].registry.delta_since(known);
                self.relays[m].directory.merge(now, &delta);
                self.relays[m].directory.purge(now);
            }
        }
    }

    fn send_views(&mut self, lost: &mut impl FnMut(&str, &str) -> bool) {
        for relay in self.relays.iter_mut().filter(|r| r.up) {
            for (name, feed) in &mut relay.feeds {
                let Some(delta) = feed.next(self.now, &relay.directory) else {
                    continue;
                };
                let host = self.hosts.iter_mut().find(|h| h.name == *name);
                let Some(host) = host.filter(|h| h.up) else {
                    continue;
                };
                if !lost(relay.id.host.as_str(), name.as_str()) {
                    host.view.apply(delta).expect("the feed has no gaps");
                }
            }
        }
    }

    /// Creates a network in which every host is registered and every view is complete.
    pub(crate) fn settled() -> Self {
        let mut net = Self::new();
        net.run(millis(4_000), |_, _| false, |_| {});
        for host in &net.hosts {
            assert!(
                host.link.is_registered(net.now),
                "{} is not registered",
                host.name
            );
            let expected = if host.name.as_str().starts_with("entry") {
                6
            } else {
                3
            };
            assert_eq!(
                host.view.contacts().count(),
                expected,
                "view of {}",
                host.name
            );
        }
        net
    }

    /// The events of `name` at all relays, in order for each relay.
    pub(crate) fn events(&self, name: &str) -> Vec<MemberEventKind> {
        let events = self.relays.iter().flat_map(|r| &r.events);
        let of_host = events.filter(|(host, _)| host.as_str() == name);
        of_host.map(|(_, kind)| *kind).collect()
    }
}
