//! A small fleet that crowds of clients are sent to.

use std::net::SocketAddr;
use std::process::Child;
use std::sync::MutexGuard;

use coltsfootnotch_fabric::IssuedKey;
use coltsfootnotch_fakes::EngineConfig;
use coltsfootnotch_types::prelude::*;
use googletest::prelude::*;
use serde_json::json;

use super::crowd::{ProcessUsage, only_crowd};
use super::daemon::wait_until;
use super::fleet::{Fleet, Plan, port_of};

/// Memory of the smallest machine that a daemon runs on, in megabytes.
pub(crate) const MACHINE_MB: u64 = 96;
/// Memory for bodies and answers that the daemons are told, in bytes; the least that the settings allow.
const MEMORY_BYTES: u64 = 16 << 20;
/// Connections of callers that the daemons are told.
const CONNECTIONS: usize = 300;
/// Most descriptors of a daemon: connections of callers, status listeners, hosts and files.
const MAX_FDS: usize = 500;

/// Three control hosts, an entry, a sidecar and an engine.
pub(crate) struct CrowdedFleet {
    pub(crate) fleet: Fleet,
    _only: MutexGuard<'static, ()>,
}

impl CrowdedFleet {
    pub(crate) fn start() -> Self {
        let only = only_crowd();
        let plan = Plan {
            entries: 1,
            engines: vec![EngineConfig::new("spec-llm-1", "spec-llm")],
            services: vec![],
        };
        let limits = json!({ "memory_bytes": MEMORY_BYTES, "connections": CONNECTIONS });
        Self {
            fleet: Fleet::start_with_limits(plan, &limits),
            _only: only,
        }
    }

    /// Where the entry takes requests.
    pub(crate) fn callers_address(&self) -> SocketAddr {
        port_of(self.fleet.address, Role::Entry, 0, 1)
    }

    /// Where the sidecar takes announcements.
    pub(crate) fn announce_address(&self) -> SocketAddr {
        port_of(self.fleet.address, Role::Sidecar, 0, 2)
    }

    /// Where the first daemon of a role serves its health and metrics.
    pub(crate) fn admin_address(&self, role: Role) -> SocketAddr {
        port_of(self.fleet.address, role, 0, 3)
    }

    /// Where the first daemon of a role takes connections of other hosts of the fleet.
    pub(crate) fn fleet_address(&self, role: Role) -> SocketAddr {
        port_of(self.fleet.address, role, 0, 0)
    }

    /// The key of a host or operator of this fleet.
    pub(crate) fn issued_key(&self, host: &str) -> IssuedKey {
        let keys = self.fleet.folder.path().join("keys");
        let read = |kind| std::fs::read_to_string(keys.join(format!("{host}.{kind}"))).unwrap();
        IssuedKey {
            certificate: read("pem"),
            key: read("key"),
        }
    }

    /// Expects that an ordinary request of each kind is answered, and that each process lives within its limits.
    pub(crate) fn expect_alive_within_limits(&self) {
        let caller = self.fleet.caller(0);
        wait_until("an ordinary request is answered", || {
            caller.complete("ordinary", 1).0 == 200
        });
        let announce = self.announce_address();
        wait_until("the sidecar reads an announcement", || {
            let url = format!("http://{announce}/v1/announce");
            // It is no announcement, which the sidecar says.
            matches!(
                ureq::post(&url).send("{}"),
                Err(ureq::Error::StatusCode(400))
            )
        });
        for role in [Role::Control, Role::Entry, Role::Sidecar] {
            let admin = self.admin_address(role);
            wait_until("the status check is answered", || {
                ureq::get(format!("http://{admin}/healthz")).call().is_ok()
            });
            wait_until("metrics are served", || {
                ureq::get(format!("http://{admin}/metrics")).call().is_ok()
            });
        }
        for daemon in self.fleet.daemons() {
            let usage = daemon
                .child
                .as_ref()
                .map(Child::id)
                .and_then(ProcessUsage::of);
            let usage = usage.expect("the process lives");
            println!("{}: {usage:?}", daemon.host);
            let memory_kb = MACHINE_MB * 1_000;
            expect_that!(usage.memory_kb(), lt(memory_kb), "{}", daemon.host);
            expect_that!(usage.descriptors, lt(MAX_FDS), "{}", daemon.host);
        }
    }
}
