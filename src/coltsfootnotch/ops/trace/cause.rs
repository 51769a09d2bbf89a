//! Derives the cause of a request's outcome from the log lines around it.

use super::line::Line;

/// Describes the cause in a sentence, from the last line about the request.
pub(super) fn cause(id: &str, lines: &[&Line]) -> String {
    let request_lines: Vec<_> = lines.iter().filter(|line| line.is_about(id)).collect();
    let Some(last) = request_lines.last() else {
        return "unknown: no line names the request".to_owned();
    };
    let field = |name: &str| last.field(name).unwrap_or("?");
    match last.code() {
        "CFN-0071" => {
            let reason = field("reason");
            format!(
                "refused before it was sent to any upstream: {reason}{}",
                host_state(last, lines)
            )
        }
        "CFN-0074" => format!(
            "the stream of upstream {} ended ({}) and was not resumed: {}{}",
            field("upstream"),
            field("ended"),
            field("not_resumed"),
            upstream_state(last, lines),
        ),
        "CFN-0073" => format!(
            "the stream was resumed at upstream {}; no failure since",
            field("upstream")
        ),
        "CFN-0072" => format!(
            "upstream {} gave no complete response ({}) and no other was tried{}",
            field("upstream"),
            field("outcome"),
            upstream_state(last, lines),
        ),
        "CFN-0070" => format!("answered by upstream {}", field("upstream")),
        code => format!("unknown: the last line is {code}"),
    }
}

/// The last state that the host logged before a refusal, which may explain it.
fn host_state(last: &Line, lines: &[&Line]) -> String {
    let earlier = lines
        .iter()
        .rev()
        .filter(|l| l.host == last.host && l.at <= last.at);
    let states = ["CFN-0003", "CFN-0075", "CFN-0001"];
    let state = earlier
        .filter(|l| l.is_state())
        .find(|l| states.contains(&l.code()));
    state.map_or_else(String::new, |l| {
        format!(
            "; its host logged before: {}",
            l.field("event").unwrap_or_default()
        )
    })
}

/// What a control host logged about the upstream's end.
fn upstream_state(last: &Line, lines: &[&Line]) -> String {
    let upstream = last.field("upstream");
    let event_line = lines.iter().find(|l| {
        let is_end = ["CFN-0021", "CFN-0022"].contains(&l.code());
        is_end && l.field("upstream") == upstream
    });
    event_line.map_or_else(String::new, |l| {
        let event = l.field("event").unwrap_or_default();
        format!("; {} logged: {event}", l.host)
    })
}
