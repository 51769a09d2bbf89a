//! Control hosts as real processes that are killed by SIGKILL.

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command};

use coltsfootnotch::daemon::ControlAddress;
use coltsfootnotch_fabric::{Authority, Credentials, PeerId};
use coltsfootnotch_state::{
    AttemptId, BodyDigest, ConfigReply, IdempotencyKey, LedgerOp, LedgerReply, Op, ProcessId, Reply,
};
use coltsfootnotch_types::prelude::*;
use googletest::prelude::*;
use tempfile::TempDir;
use tokio::runtime::Runtime;

use super::client::{Client, manifest};
use super::group::{free_address, free_tcp_address, host, wait_until};

/// Three processes of `coltsfootnotchd` with settings, keys and data folders of their own.
struct Processes {
    runtime: Runtime,
    authority: Authority,
    dir: TempDir,
    members: Vec<ControlAddress>,
    running: Vec<Option<Child>>,
}

impl Processes {
    fn started() -> Self {
        let members: Vec<_> = (1..=3)
            .map(|n| ControlAddress {
                host: host(&format!("c{n}")),
                address: free_address(),
                domain: DomainName::new(format!("d{n}")).expect("a name"),
            })
            .collect();
        let mut processes = Self {
            runtime: Runtime::new().expect("a runtime"),
            authority: Authority::generate().expect("an authority"),
            dir: TempDir::new().expect("a folder"),
            running: members.iter().map(|_| None).collect(),
            members,
        };
        // All files are written before the first start, since the authority's file is shared.
        for at in 0..processes.members.len() {
            processes.write_files(at);
        }
        for at in 0..processes.members.len() {
            processes.start(at);
        }
        processes
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn write_files(&self, at: usize) {
        let member = &self.members[at];
        let name = member.host.as_str();
        let peer = PeerId {
            role: Role::Control,
            host: member.host.clone(),
        };
        let issued = self.authority.issue(&peer).expect("a key");
        let control: Vec<_> = self
            .members
            .iter()
            .map(|m| {
                serde_json::json!({
                    "host": m.host, "address": m.address.to_string(), "domain": m.domain,
                })
            })
            .collect();
        let settings = serde_json::json!({
            "role": "control",
            "host": member.host,
            "domain": member.domain,
            "region": "r1",
            "listen": {
                "fleet": member.address.to_string(),
                "admin": free_tcp_address().to_string(),
            },
            "control": control,
            "keys": {
                "ca": "ca.pem",
                "certificate": format!("{name}.pem"),
                "key": format!("{name}.key"),
            },
            "data": format!("data-{name}"),
        });
        let files = [
            ("ca.pem".to_owned(), self.authority.certificate().to_owned()),
            (format!("{name}.pem"), issued.certificate),
            (format!("{name}.key"), issued.key),
            (format!("{name}.jsonc"), settings.to_string()),
        ];
        for (file, text) in files {
            fs::write(self.path(&file), text).expect("written");
        }
    }

    fn start(&mut self, at: usize) {
        let name = &self.members[at].host;
        let settings = self.path(&format!("{name}.jsonc"));
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))
            .expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_coltsfootnotchd"))
            .arg("--settings")
            .arg(settings)
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.running[at] = Some(child);
    }

    /// Kills the process by SIGKILL, without a graceful stop.
    fn kill(&mut self, at: usize) {
        let mut child = self.running[at].take().expect("it runs");
        child.kill().expect("it is killed");
        child.wait().expect("it has exited");
    }

    fn client(&self, at: usize, role: Role, name: &str) -> Client {
        let peer = PeerId {
            role,
            host: host(name),
        };
        let issued = self.authority.issue(&peer).expect("a key");
        let ca = self.authority.certificate();
        let credentials =
            Credentials::from_pem(ca, &issued.certificate, &issued.key).expect("credentials");
        Client::connect(self.runtime.handle(), &credentials, &self.members[at])
    }

    /// The leader known to the member at `at`.
    fn leader(&self, at: usize) -> usize {
        let mut client = self.client(at, Role::Operator, "probe");
        let mut leader = None;
        wait_until("there is a leader", || {
            let name = client.status()["group"]["leader"].as_str().map(host);
            leader = name.and_then(|l| self.members.iter().position(|m| m.host == l));
            leader.is_some_and(|at| self.running[at].is_some())
        });
        leader.expect("a leader")
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.running.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            for member in &self.members {
                let log = fs::read_to_string(self.path(&format!("{}.log", member.host)));
                eprintln!("{}:\n{}", member.host, log.unwrap_or_default());
            }
        }
    }
}

fn intent(key: &str, attempt: u64) -> Op {
    let account = AccountName::new("bistro").expect("a name");
    let key = IdempotencyKey::parse(key).expect("a key");
    let attempt = AttemptId {
        entry: Incarnation(1),
        number: attempt,
    };
    let sidecar = ProcessId {
        host: host("s1"),
        incarnation: Incarnation(2),
    };
    Op::Ledger(LedgerOp::intent(
        &account,
        &key,
        BodyDigest::of(b"{}"),
        attempt,
        &sidecar,
    ))
}

/// Proposes changes and intents through the member at `at`; all of `numbers` are acknowledged when this
/// returns.
fn propose_all(processes: &Processes, at: usize, numbers: std::ops::Range<u64>) {
    let mut operator = processes.client(at, Role::Operator, "op");
    let mut entry = processes.client(at, Role::Entry, "e1");
    for number in numbers {
        let change = Op::ApplyConfig(manifest(number, &["bistro"]));
        let accepted = operator.propose_until_answered(&change);
        assert_that!(
            accepted,
            pat!(Reply::Config(pat!(ConfigReply::Accepted { .. })))
        );
        let started = entry.propose_until_answered(&intent(&format!("k{number}"), number));
        assert_that!(started, eq(&Reply::Ledger(LedgerReply::Started)));
    }
}

/// The leader is killed, and after its restart a second host, during changes and bookings; both keep their
/// data folders. At the end every member has everything acknowledged: each change is accepted again, and
/// each booked key still has its attempt, so a second run is refused.
#[test]
fn nothing_acknowledged_is_lost_when_the_leader_and_a_second_host_are_killed() {
    let mut processes = Processes::started();
    let leader = processes.leader(0);
    let (second, third) = ((leader + 1) % 3, (leader + 2) % 3);
    propose_all(&processes, second, 1..6);
    processes.kill(leader);
    propose_all(&processes, second, 6..11);
    processes.start(leader);
    processes.kill(second);
    propose_all(&processes, third, 11..16);
    processes.start(second);
    propose_all(&processes, leader, 16..18);

    for at in 0..3 {
        let mut operator = processes.client(at, Role::Operator, "op");
        let mut entry = processes.client(at, Role::Entry, "e1");
        for number in 1..18 {
            let change = Op::ApplyConfig(manifest(number, &["bistro"]));
            let again = operator.propose_until_answered(&change);
            assert_that!(
                again,
                pat!(Reply::Config(pat!(ConfigReply::Accepted { .. })))
            );
            let other_attempt = 1_000 + number;
            let refused =
                entry.propose_until_answered(&intent(&format!("k{number}"), other_attempt));
            let Reply::Ledger(LedgerReply::InDoubt { attempt, .. }) = refused else {
                panic!("key {number} is not booked: {refused:?}");
            };
            assert_that!(attempt.number, eq(number));
        }
    }
}
