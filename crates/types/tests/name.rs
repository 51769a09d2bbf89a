//! Validation of names.

use coltsfootnotch_types::{AccountName, NameError};
use googletest::prelude::*;

#[gtest]
fn a_name_with_a_space_is_rejected() {
    expect_that!(
        AccountName::new("two words"),
        err(eq(&NameError::BadCharacter { found: ' ' }))
    );
}

#[gtest]
fn a_name_above_the_maximum_length_is_rejected() {
    expect_that!(
        AccountName::new("x".repeat(65)),
        err(eq(&NameError::TooLong { len: 65 }))
    );
}
