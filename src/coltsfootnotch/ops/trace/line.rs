//! One line of a log.

use std::fmt;

use serde_json::{Map, Value};

/// Events by which a host says what it believes of itself and of whom it depends on.
const STATE_CODES: [&str; 10] = [
    "CFN-0001", "CFN-0002", "CFN-0003", "CFN-0004", "CFN-0006", "CFN-0011", "CFN-0075", "CFN-0076",
    "CFN-0077", "CFN-0078",
];

/// An event of a log, read from a line of JSON; what stands before the first brace is passed over, such
/// as the name of a host that a log collector adds.
#[derive(Debug, Clone)]
pub(super) struct Line {
    /// Seconds of the day's calendar, for comparing only.
    pub(super) at: f64,
    pub(super) host: String,
    fields: Map<String, Value>,
}

impl Line {
    pub(super) fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let host = fields.get("host")?.as_str()?.to_owned();
        let at = seconds(fields.get("time")?.as_str()?)?;
        Some(Self { at, host, fields })
    }

    /// A field's text.
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    pub(super) fn code(&self) -> &str {
        self.field("code").unwrap_or_default()
    }

    pub(super) fn is_about(&self, id: &str) -> bool {
        match self.fields.get("request") {
            Some(Value::String(text)) => text == id,
            // An identity of digits alone is written as a number.
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
        let shown = ["time", "host", "code", "event", "level", "role"];
        for (name, value) in self
            .fields
            .iter()
            .filter(|(n, _)| !shown.contains(&n.as_str()))
        {
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

/// Seconds since midnight of the first of the month, of a time such as
/// `2026-03-07T00:56:45.505+00:00`. A log covers hours; the month's end is worth no calendar library.
fn seconds(time: &str) -> Option<f64> {
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
