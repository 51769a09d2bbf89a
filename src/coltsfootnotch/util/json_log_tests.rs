//! Tests of the JSON log format.

use googletest::prelude::*;
use log::{Level, Record};

use super::to_json;

#[googletest::test]
fn an_event_is_written_as_its_fields() {
    let fields = [
        ("code", "CFN-0071"),
        ("request", "0012"),
        ("retry_after_ms", "250"),
    ];
    let record = Record::builder()
        .level(Level::Info)
        .args(format_args!("left out"))
        .key_values(&fields)
        .build();
    expect_that!(
        to_json("then", &record, 0).as_str(),
        eq(
            r#"{"code":"CFN-0071","level":"INFO","request":"0012","retry_after_ms":250,"time":"then"}"#
        )
    );
}

#[googletest::test]
fn a_record_without_fields_is_written_as_its_message() {
    let record = Record::builder()
        .level(Level::Warn)
        .args(format_args!("half \"a\" file"))
        .build();
    expect_that!(
        to_json("then", &record, 3).as_str(),
        eq(r#"{"level":"WARN","lines_left_out":3,"message":"half \"a\" file","time":"then"}"#)
    );
}
