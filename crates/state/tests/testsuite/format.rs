//! Encoding of commands and snapshots, which later versions must still decode.

use std::time::Duration;

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{ApplyConfig, CodecError, EvacuationOrder, Grant, SetEvacuation};
use coltsfootnotch_types::{DomainName, LeaseName};
use googletest::prelude::*;

use crate::support::{Call, Log, answer, attempt, process};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn ops() -> Vec<Op> {
    let call = Call::new("order-1");
    let sidecar = process("sidecar-1", 10);
    let body = b"{}".to_vec();
    let digest = BodyDigest::of(&body);
    vec![
        Op::ApplyConfig(ApplyConfig {
            number: 3,
            digest,
            body,
        }),
        Op::Ledger(call.intent(attempt(1, 1), &sidecar)),
        Op::Batch(vec![call.outcome(attempt(1, 1), answer("no. 17"))]),
        Op::Grant(Grant {
            lease: LeaseName::new("orders").expect("a valid name"),
            holder: process("control-1", 4),
            ttl: Duration::from_secs(10),
        }),
        Op::Expire,
        Op::SetEvacuation(SetEvacuation {
            domain: DomainName::new("colombo").expect("a valid name"),
            evacuated: true,
        }),
        Op::Evacuate(EvacuationOrder {
            order: SetEvacuation {
                domain: DomainName::new("gampaha").expect("a valid name"),
                evacuated: true,
            },
            known: 6,
        }),
    ]
}

#[gtest]
fn commands_and_snapshots_keep_their_bytes() {
    let mut log = Log::default();
    let mut lines = Vec::new();
    for op in ops() {
        let command = Command { at: LogTime(5), op };
        lines.push(hex(&command.encode()));
        expect_that!(Command::decode(&command.encode()), ok(eq(&command)));
        log.apply(command.op);
    }
    lines.push(hex(&log.machine.snapshot()));
    insta::assert_snapshot!(lines.join("\n"));
}

#[gtest]
fn a_command_that_is_cut_off_or_too_long_is_refused() {
    for op in ops() {
        let bytes = Command { at: LogTime(5), op }.encode();
        for end in 0..bytes.len() {
            expect_that!(Command::decode(&bytes[..end]), err(anything()));
        }
        let longer = [bytes.as_slice(), &[0]].concat();
        expect_that!(
            Command::decode(&longer),
            err(matches_pattern!(CodecError::Trailing { len: eq(&1) }))
        );
    }
}
