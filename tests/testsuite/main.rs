//! Tests of the complete daemons.

mod bad_input;
mod bootstrap_runs;
mod commands;
mod config_patches;
mod connections;
mod control;
mod control_fleet;
mod demo;
mod evacuations;
mod late_orders;
mod limits;
mod load;
mod member_runs;
mod orders;
mod orders_random;
mod processes;
mod seeded;
mod seeded_members;
mod trace;
