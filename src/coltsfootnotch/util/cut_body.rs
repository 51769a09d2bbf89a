//! Evidence in a body that it was cut short.

use serde::de::IgnoredAny;

/// Whether a body whose end nothing states was cut short, as its content type shows: JSON tells where it
/// ends. An empty body shows nothing.
///
/// ```
/// use coltsfootnotch::util::cut_body::is_cut;
/// assert!(is_cut("application/json", br#"{"litres": 1"#));
/// assert!(!is_cut("application/json", br#"{"litres": 1}"#));
/// assert!(!is_cut("text/plain", br#"{"litres": 1"#));
/// ```
#[must_use]
pub fn is_cut(content_type: &str, body: &[u8]) -> bool {
    if !is_json(content_type) || body.is_empty() {
        return false;
    }
    let text = match std::str::from_utf8(body) {
        Ok(text) => text,
        // Cut inside a character.
        Err(e) if e.error_len().is_none() => return true,
        Err(_) => return false,
    };
    let parsed = serde_json::from_str::<IgnoredAny>(text);
    parsed.is_err_and(|e| e.is_eof() || is_cut_number(text, &e))
}

/// Whether `text` ends inside a number, after a character that a digit has to follow.
fn is_cut_number(text: &str, e: &serde_json::Error) -> bool {
    let last_line = text.rsplit('\n').next().unwrap_or_default();
    let is_at_end = e.line() == text.split('\n').count() && e.column() >= last_line.len();
    is_at_end && text.ends_with(['-', '+', '.', 'e', 'E'])
}

fn is_json(content_type: &str) -> bool {
    let essence = content_type.split(';').next().unwrap_or_default().trim();
    let (kind, subtype) = essence.split_once('/').unwrap_or_default();
    let is_application = kind.eq_ignore_ascii_case("application");
    let subtype = subtype.to_ascii_lowercase();
    is_application && (subtype == "json" || subtype.ends_with("+json"))
}

#[cfg(test)]
#[path = "cut_body_tests.rs"]
mod tests;
