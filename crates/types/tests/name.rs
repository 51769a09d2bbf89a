//! Names are checked where they enter.

use coltsfootnotch_types::{AccountName, NameError};
use googletest::prelude::*;

#[gtest]
fn a_name_with_a_space_is_refused() {
    expect_that!(
        AccountName::new("two words"),
        err(eq(&NameError::BadCharacter { found: ' ' }))
    );
}

#[gtest]
fn a_name_that_would_cost_too_much_on_the_wire_is_refused() {
    expect_that!(
        AccountName::new("x".repeat(65)),
        err(eq(&NameError::TooLong { len: 65 }))
    );
}
