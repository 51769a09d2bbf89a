//! What the cases have in common: a fleet that serves, calm for as long as machines have to be in touch.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{HOST, KEY, read_stream};
use crate::fleet::{CONTACT, Fleet, MACHINES};
use crate::record::Record;

/// The result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

/// The desired state of the cases: streams that may be resumed, and reads of an application. The figures are those of
/// the small Kelani site.
pub fn desired_state(version: u64, engine_slots: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-notes\",\"host\":\"{HOST}\",\"path_prefix\":\"/notes/\",\"kind\":\"streaming\",\
         \"timeout_ms\":15000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"spec-llm\",\
         \"max_attempts\":2,\"public\":false,\"session_affinity\":true,\"resumable\":true,\"target_gap_ms\":300}},\
         {{\"name\":\"r-draft\",\"host\":\"{HOST}\",\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\
         \"timeout_ms\":5000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"spec-llm\",\
         \"max_attempts\":2,\"public\":false,\"session_affinity\":true,\"resumable\":true,\"target_gap_ms\":300}},\
         {{\"name\":\"r-read\",\"host\":\"{HOST}\",\"path_prefix\":\"/orders/\",\"kind\":\"safe\",\
         \"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\"service\":\"member-desk\",\
         \"max_attempts\":2,\"public\":false,\"session_affinity\":false}}],\
         \"services\":[{{\"name\":\"spec-llm\",\"health_path\":\"/healthz\",\"max_conns\":780,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":{engine_slots},\"kv_capacity\":235664,\"kv_token_bytes\":18432,\
         \"link_mbps\":370000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\
         \"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"member-desk\",\"health_path\":\"/healthz\",\"max_conns\":260,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":210000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Time from the desired state until all machines have to serve.
const SERVE_TIME: Duration = Duration::from_secs(15);

/// Puts the desired state in force, and waits until each machine serves and has been calm for `contact_ms`.
pub fn make_ready(record: &Arc<Record>, fleet: &Fleet, engine_slots: u32) -> bool {
    if !fleet.put_config(&desired_state(1, engine_slots)) {
        return false;
    }
    let start = Instant::now();
    for machine in 0..MACHINES {
        if !fleet.wait_until_ready(machine) {
            return false;
        }
        while !serves(record, fleet, machine) {
            if start.elapsed() > SERVE_TIME {
                return false;
            }
            sleep(Duration::from_millis(200));
        }
    }
    record.note("the fleet serves; nothing is done for contact_ms");
    sleep(CONTACT + Duration::from_millis(500));
    true
}

fn serves(record: &Arc<Record>, fleet: &Fleet, machine: usize) -> bool {
    let id = format!("w{machine}-{}", record.now().as_millis());
    let spec = (id.as_str(), "/notes/warm", "543,8");
    let answer = read_stream(
        record,
        fleet.front(machine),
        spec,
        1_000,
        Duration::from_secs(2),
    );
    answer.is_whole(2)
}
