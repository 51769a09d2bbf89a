//! Tests of late binding between entries and sidecars, in virtual time.

mod randomised;
mod scenarios;
mod sim;
