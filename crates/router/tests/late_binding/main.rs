//! Late binding of entries and sidecars, in virtual time.

mod randomised;
mod scenarios;
mod sim;
