//! What the lines around a request say of its end.

use super::line::Line;

/// The cause in a sentence, from the last line that tells how the request ended.
pub(super) fn cause(id: &str, lines: &[&Line]) -> String {
    let own: Vec<_> = lines.iter().filter(|line| line.is_about(id)).collect();
    let Some(last) = own.last() else {
        return "no line tells".to_owned();
    };
    let field = |name: &str| last.field(name).unwrap_or("?");
    match last.code() {
        "CFN-0071" => {
            let reason = field("reason");
            format!(
                "refused before it was sent to any upstream: {reason}{}",
                state_of(last, lines)
            )
        }
        "CFN-0074" => format!(
            "the stream of upstream {} ended ({}) and was not resumed: {}{}",
            field("upstream"),
            field("ended"),
            field("not_resumed"),
            upstream_of(last, lines),
        ),
        "CFN-0073" => format!(
            "upstream {} went on with the stream; nothing failed since",
            field("upstream")
        ),
        "CFN-0072" => format!(
            "upstream {} gave no whole answer ({}) and no other was tried{}",
            field("upstream"),
            field("outcome"),
            upstream_of(last, lines),
        ),
        "CFN-0070" => format!("it was answered by upstream {}", field("upstream")),
        code => format!("the last line is {code}"),
    }
}

/// What the host believed that may explain a refusal.
fn state_of(last: &Line, lines: &[&Line]) -> String {
    let earlier = lines
        .iter()
        .rev()
        .filter(|l| l.host == last.host && l.at <= last.at);
    let states = ["CFN-0003", "CFN-0075", "CFN-0001"];
    let told = earlier
        .filter(|l| l.is_state())
        .find(|l| states.contains(&l.code()));
    told.map_or_else(String::new, |l| {
        format!(
            "; its host said before: {}",
            l.field("event").unwrap_or_default()
        )
    })
}

/// What others said of the upstream.
fn upstream_of(last: &Line, lines: &[&Line]) -> String {
    let named = last.field("upstream");
    let of_upstream = lines.iter().find(|l| {
        let says = ["CFN-0021", "CFN-0022"].contains(&l.code());
        says && l.field("upstream") == named
    });
    of_upstream.map_or_else(String::new, |l| {
        let event = l.field("event").unwrap_or_default();
        format!("; {} said of it: {event}", l.host)
    })
}
