//! The demo, the first command of the README.

use coltsfootnotch::ops::demo::{DemoOptions, demo};
use googletest::prelude::*;

#[gtest]
fn the_demo_prints_six_correct_answers() {
    let mut out = Vec::new();
    let opts = DemoOptions {
        once: true,
        seed: 1,
    };
    let result = demo(&opts, &mut out, || {});
    let text = String::from_utf8(out).unwrap();
    expect_that!(result, ok(anything()), "{text}");
    expect_that!(
        text.lines().filter(|line| line.contains("  yes  ")).count(),
        eq(6)
    );
    expect_that!(text, contains_substring("curl -N http://127.0.0.1:"));
}
