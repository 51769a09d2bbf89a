//! The replicated log and its state machine as a library: three members in one process. Messages
//! are delivered in memory, and disks sync immediately.
//!
//! Two operators apply different configurations with the same number. The first committed command
//! takes effect, the second receives a conflict, and a retry of the first receives the same reply
//! as before.

use std::error::Error;
use std::time::Duration;

use coltsfootnotch_consensus::{Action, Core, CoreConfig, DiskId, MemberId, Recovered};
use coltsfootnotch_state::{ApplyConfig, BodyDigest, Command, LogTime, Op, Reply, StateMachine};
use coltsfootnotch_types::HostName;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Duration of a round of messages.
const ROUND: Duration = Duration::from_millis(5);
/// Maximum rounds for an election or a commit.
const MAX_ROUNDS: u32 = 1_000;

/// A member with the state machine that its log is applied to.
struct Member {
    id: MemberId,
    core: Core,
    machine: StateMachine,
    replies: Vec<Reply>,
}

fn main() -> Result<(), Box<dyn Error>> {
    for reply in run()? {
        println!("{reply:?}");
    }
    Ok(())
}

/// Returns the group's replies to three commands.
pub(crate) fn run() -> Result<Vec<Reply>, Box<dyn Error>> {
    let mut members = bootstrap()?;
    let commands = [apply(1, "first"), apply(1, "second"), apply(1, "first")];
    let mut now = Duration::ZERO;
    for command in commands {
        now = run_until(&mut members, now, |members| {
            members.iter().any(|m| m.core.is_leader())
        });
        let leader = members
            .iter_mut()
            .find(|m| m.core.is_leader())
            .ok_or("no leader")?;
        leader.core.propose(now, command.encode())?;
        let expected = leader.replies.len() + 1;
        now = run_until(&mut members, now, |members| {
            members.iter().all(|m| m.replies.len() >= expected)
        });
    }
    let is_consistent = members
        .windows(2)
        .all(|pair| pair[0].replies == pair[1].replies);
    assert!(is_consistent, "all members have the same replies");
    Ok(members.swap_remove(0).replies)
}

fn bootstrap() -> Result<Vec<Member>, Box<dyn Error>> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut ids = vec![];
    for host in ["colombo-1", "gampaha-1", "kalutara-1"] {
        let disk = DiskId::random(&mut rng);
        ids.push(MemberId {
            host: HostName::new(host)?,
            disk,
        });
    }
    let member = |id: &MemberId| Member {
        id: id.clone(),
        core: Core::new(
            CoreConfig::default(),
            Recovered::empty(id.clone()),
            Duration::ZERO,
            &mut rng,
        ),
        machine: StateMachine::default(),
        replies: vec![],
    };
    let mut members: Vec<Member> = ids.iter().map(member).collect();
    let bootstrap_member = members
        .iter_mut()
        .min_by(|a, b| a.id.cmp(&b.id))
        .ok_or("no member")?;
    bootstrap_member.core.bootstrap(Duration::ZERO, ids)?;
    Ok(members)
}

fn apply(number: u64, body: &str) -> Command {
    let body = body.as_bytes().to_vec();
    let digest = BodyDigest::of(&body);
    let op = Op::ApplyConfig(ApplyConfig {
        number,
        digest,
        body,
    });
    Command { at: LogTime(0), op }
}

/// Delivers messages, syncs and applies until `done`, for at most [`MAX_ROUNDS`]; returns the time
/// reached.
fn run_until(
    members: &mut [Member],
    mut now: Duration,
    done: impl Fn(&[Member]) -> bool,
) -> Duration {
    for _ in 0..MAX_ROUNDS {
        if done(members) {
            return now;
        }
        now += ROUND;
        let mut sent = vec![];
        for member in members.iter_mut() {
            if now >= member.core.next_due() {
                member.core.tick(now);
            }
            for action in member.core.take_actions() {
                match action {
                    Action::Send { to, msg } => sent.push((member.id.clone(), to, msg)),
                    Action::Persist(persist) => member.core.synced(now, persist.seq),
                    Action::Apply {
                        index,
                        data: Some(data),
                        ..
                    } => {
                        let command = Command::decode(&data).expect("a command encoded above");
                        member.replies.push(member.machine.apply(index.0, &command));
                    }
                    _ => {}
                }
            }
        }
        for (from, to, msg) in sent {
            if let Some(member) = members.iter_mut().find(|member| member.id == to) {
                member.core.step(now, &from, msg);
            }
        }
    }
    now
}
