//! Bodies that show that they were cut short.

use googletest::prelude::*;

use super::is_cut;

/// Guards against a cut JSON document that is taken for a whole one, wherever it was cut.
#[googletest::test]
fn every_part_of_a_json_document_is_cut() {
    let body = r#" {"order": ["a\"b", 1.5, null], "note": "größer"} "#;
    let end = body.rfind('}').unwrap();
    for len in 1..=end {
        expect_true!(is_cut("application/json", &body.as_bytes()[..len]), "{len}");
    }
    for len in end + 1..=body.len() {
        expect_false!(is_cut("application/json", &body.as_bytes()[..len]), "{len}");
    }
}

/// Guards against a whole answer that is withheld, since its type or its text only look like JSON.
#[googletest::test]
fn a_body_that_is_no_json_is_not_cut() {
    let cut = br#"{"a": "#;
    for content_type in [
        "",
        "text/plain",
        "application/x-ndjson",
        "json",
        "text/json-like",
    ] {
        expect_false!(is_cut(content_type, cut), "{content_type}");
    }
    for content_type in [
        "application/json; charset=utf-8",
        "Application/Problem+JSON",
    ] {
        expect_true!(is_cut(content_type, cut), "{content_type}");
    }
    for body in ["", "not JSON", "{not JSON", "{} {}", "12"] {
        expect_false!(is_cut("application/json", body.as_bytes()), "{body}");
    }
}
