//! The replicated log and its state machine as a library: three members in one process, with
//! messages carried by hand and disks that sync at once.
//!
//! Two operators race with the same number. The one whose command is committed first has its
//! configuration in force; the other is told of the conflict; an operator who lost the answer and
//! sends the same again gets the same answer.

use std::error::Error;
use std::time::Duration;

use coltsfootnotch_consensus::{Action, Core, CoreConfig, DiskId, MemberId, Recovered};
use coltsfootnotch_state::{ApplyConfig, BodyDigest, Command, LogTime, Op, Reply, StateMachine};
use coltsfootnotch_types::HostName;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time that each round of messages takes.
const ROUND: Duration = Duration::from_millis(5);
/// Rounds after which an election and a commit are long over.
const ROUNDS: u32 = 1_000;

/// A member: its core, and the state machine that its log is applied to.
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

/// The answers of the group to three commands.
pub(crate) fn run() -> Result<Vec<Reply>, Box<dyn Error>> {
    let mut members = found()?;
    let commands = [apply(1, "first"), apply(1, "second"), apply(1, "first")];
    let mut now = Duration::ZERO;
    for command in commands {
        now = carry(&mut members, now, |members| {
            members.iter().any(|m| m.core.is_leader())
        });
        let leader = members
            .iter_mut()
            .find(|m| m.core.is_leader())
            .ok_or("no leader")?;
        leader.core.propose(now, command.encode())?;
        let wanted = leader.replies.len() + 1;
        now = carry(&mut members, now, |members| {
            members.iter().all(|m| m.replies.len() >= wanted)
        });
    }
    let agree = members
        .windows(2)
        .all(|pair| pair[0].replies == pair[1].replies);
    assert!(agree, "every member gives the same answers");
    Ok(members.swap_remove(0).replies)
}

fn found() -> Result<Vec<Member>, Box<dyn Error>> {
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
    let founder = members
        .iter_mut()
        .min_by(|a, b| a.id.cmp(&b.id))
        .ok_or("no member")?;
    founder.core.bootstrap(Duration::ZERO, ids)?;
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

/// Carries messages, syncs and applies, until `done` or for [`ROUNDS`]; the time reached.
fn carry(members: &mut [Member], mut now: Duration, done: impl Fn(&[Member]) -> bool) -> Duration {
    for _ in 0..ROUNDS {
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
                        let command = Command::decode(&data).expect("this example encoded it");
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
