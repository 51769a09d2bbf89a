//! Parses a log line.

use std::fmt;

use serde_json::{Map, Value};

/// Events about the state of a host and of its connections and configuration.
const STATE_CODES: [&str; 10] = [
    "CFN-0001", "CFN-0002", "CFN-0003", "CFN-0004", "CFN-0006", "CFN-0011", "CFN-0075", "CFN-0076",
    "CFN-0077", "CFN-0078",
];

/// A log event, parsed from a line of JSON. Text before the first brace, such as a host name that a
/// log collector adds, is ignored.
#[derive(Debug, Clone)]
pub(super) struct Line {
    /// Seconds since the start of the month, for comparison only.
    pub(super) at: f64,
    pub(super) host: String,
    fields: Map<String, Value>,
}

impl Line {
    pub(super) fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let host = fields.get("host")?.as_str()?.to_owned();
        let at = seconds_of_month(fields.get("time")?.as_str()?)?;
        Some(Self { at, host, fields })
    }

    /// The value of a text field.
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    pub(super) fn code(&self) -> &str {
        self.field("code").unwrap_or_default()
    }

    pub(super) fn is_about(&self, id: &str) -> bool {
        match self.fields.get("request") {
            Some(Value::String(text)) => text == id,
            // A request ID of digits alone is logged as a number.
            Some(Value::Number(number)) => number.to_string() == id,
            _ => false,
        }
    }

    pub(super) fn is_state(&self) -> bool {
        STATE_CODES.contains(&self.code())
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.field("time").unwrap_or_default();
        let event = self.field("event").unwrap_or_default();
        write!(f, "{time} {} {} {event}", self.host, self.code())?;
        let printed = ["time", "host", "code", "event", "level", "role"];
        for (name, value) in self
            .fields
            .iter()
            .filter(|(n, _)| !printed.contains(&n.as_str()))
        {
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

/// Seconds since the start of the month, of a time such as `2026-03-07T00:56:45.505+00:00`. Logs
/// that span the end of a month are not ordered correctly.
fn seconds_of_month(time: &str) -> Option<f64> {
    let (date, rest) = time.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let clock = rest.split(['+', 'Z']).next()?;
    let mut parts = clock.split(':');
    let (h, m, s): (f64, f64, f64) = (
        parts.next()?.parse().ok()?,
        parts.next()?.parse().ok()?,
        parts.next()?.parse().ok()?,
    );
    Some(((day * 24.0 + h) * 60.0 + m) * 60.0 + s)
}
