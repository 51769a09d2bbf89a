//! The daemons as a whole.

mod bad_input;
mod commands;
mod connections;
mod control;
mod demo;
mod founding_runs;
mod limits;
mod load;
mod orders;
mod orders_random;
mod processes;
mod seeded;
mod trace;
