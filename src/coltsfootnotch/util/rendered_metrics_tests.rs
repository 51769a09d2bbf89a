//! Texts of metrics that clients do not read.

use googletest::prelude::*;

use super::super::metrics::Metrics;
use super::{MAX_TEXTS, RenderedMetrics};

/// Guards against a daemon that ends for want of memory: a text for each client that doesn't read.
#[gtest]
fn texts_that_are_being_sent_are_few() {
    let metrics = Metrics::new();
    let rendered = RenderedMetrics::new(metrics.clone());
    let count = |n| {
        metrics.counter("requests", &[]).increment(1);
        (n, rendered.render())
    };
    let texts: Vec<_> = (0..2 * MAX_TEXTS).map(count).collect();
    let distinct = texts.iter().map(|(_, text)| text.as_ptr());
    let distinct: std::collections::HashSet<_> = distinct.collect();
    expect_that!(distinct.len(), eq(MAX_TEXTS));
    drop(texts);
    metrics.counter("requests", &[]).increment(1);
    let text = String::from_utf8(rendered.render().to_vec()).unwrap();
    expect_that!(text, contains_substring("cfn_requests 9"));
}
