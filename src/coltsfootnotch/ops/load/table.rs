//! Text tables of the metrics of a run and of the hop.

use std::fmt::Write;

use super::hop::{HopOverhead, PathMetrics};
use super::summary::{Percentiles, SmallAndLarge, Summary};

/// Formats the metrics of a run as a table.
#[must_use]
pub fn summary_table(summary: &Summary) -> String {
    let mut out = String::new();
    let mut line = |name: &str, value: String| {
        // Writing to a string is infallible.
        let _ = writeln!(out, "{name:<34}{value}");
    };
    line("scenario", summary.scenario.clone());
    line("policy", summary.policy.clone());
    line("seed", summary.seed.to_string());
    line("seconds", format!("{:.1}", summary.seconds));
    line("hosts / callers / slots", dimensions(summary));
    line("fairness gap (tokens)", format_gap(summary));
    line(
        "fairness bound (tokens)",
        summary.fairness_bound_tokens.to_string(),
    );
    line("utilisation", percent(summary.utilisation));
    line(
        "utilisation while work waits",
        percent(summary.utilisation_while_waiting),
    );
    let control = summary.control_bytes_per_host_per_s;
    line("control bytes / host / s", format!("{control:.0}"));
    for (name, times) in [
        ("wait", &summary.wait_ms),
        ("first token", &summary.first_token_ms),
    ] {
        for (group, times) in groups(times) {
            line(
                &format!("{name} ms, {group} accounts"),
                format_percentiles(&times),
            );
        }
    }
    let inside = summary.mean_wait_inside_ms;
    line("mean wait inside engines ms", format!("{inside:.1}"));
    for (name, count) in counts(summary) {
        line(name, count.to_string());
    }
    out
}

fn dimensions(summary: &Summary) -> String {
    format!(
        "{} / {} / {}",
        summary.hosts, summary.callers, summary.slots
    )
}

fn format_gap(summary: &Summary) -> String {
    let size = summary.fairness_gap_tokens;
    match &summary.fairness_gap_between {
        Some([a, b]) => format!("{size} between {a} and {b}"),
        None => "no two accounts were backlogged together".to_owned(),
    }
}

fn percent(share: f64) -> String {
    format!("{:.1}%", 100.0 * share)
}

fn groups(times: &SmallAndLarge) -> [(&'static str, Percentiles); 2] {
    [("small", times.small), ("large", times.large)]
}

fn format_percentiles(times: &Percentiles) -> String {
    let Percentiles {
        p50,
        p95,
        p99,
        count,
    } = times;
    format!("p50 {p50:.1}  p95 {p95:.1}  p99 {p99:.1}  ({count})")
}

fn counts(summary: &Summary) -> [(&'static str, u64); 15] {
    [
        ("requests", summary.requests),
        ("whole answers", summary.whole_answers),
        ("refused, not run", summary.refused_not_run),
        ("refused, but run", summary.refused_but_run),
        ("run unknown", summary.run_unknown),
        ("failed after run", summary.failed_after_run),
        ("errors of upstreams", summary.upstream_errors),
        ("untyped errors", summary.untyped_errors),
        ("no answer", summary.no_answer),
        ("wrong answers", summary.wrong_answers),
        ("incomplete answers", summary.incomplete_answers),
        ("doubled bookings", summary.doubled_bookings),
        ("lost bookings", summary.lost_bookings),
        ("engine crashes", summary.crashes),
        (
            "most waiting inside an engine",
            summary.most_waiting_inside.into(),
        ),
    ]
}

/// Formats the overhead of the hop as a table: direct calls, calls through the fleet, difference.
#[must_use]
pub fn hop_table(overhead: &HopOverhead) -> String {
    let mut out = String::new();
    let (direct, fleet) = (&overhead.direct, &overhead.fleet);
    let row = |out: &mut String, name: &str, value: &dyn Fn(&PathMetrics) -> f64| {
        let (d, f) = (value(direct), value(fleet));
        let _ = writeln!(out, "{name:<34}{d:>12.3}{f:>12.3}{:>12.3}", f - d);
    };
    let _ = writeln!(
        out,
        "{:<34}{:>12}{:>12}{:>12}",
        "", "direct", "fleet", "added"
    );
    row(&mut out, "first token ms p50", &|side| {
        side.first_token_ms.p50
    });
    row(&mut out, "first token ms p99", &|side| {
        side.first_token_ms.p99
    });
    row(&mut out, "between tokens ms p50", &|side| {
        side.between_tokens_ms.p50
    });
    row(&mut out, "between tokens ms p99", &|side| {
        side.between_tokens_ms.p99
    });
    row(&mut out, "requests / s", &|side| side.requests_per_s);
    row(&mut out, "processor ms / request", &|side| {
        side.cpu_ms_per_request
    });
    row(&mut out, "KB / open stream", &|side| side.kb_per_stream);
    row(&mut out, "open streams measured", &|side| {
        side.streams as f64
    });
    out
}
