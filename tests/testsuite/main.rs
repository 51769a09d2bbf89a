//! The daemons as a whole.

mod bad_input;
mod commands;
mod connections;
mod control;
mod control_fleet;
mod demo;
mod founding_runs;
mod limits;
mod load;
mod member_runs;
mod orders;
mod orders_random;
mod processes;
mod seeded;
mod seeded_members;
mod trace;
