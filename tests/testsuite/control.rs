//! Failure tests of the control group with real files, connections and daemons.

mod client;
mod configuration;
mod disk;
mod group;
mod hosts;
mod load;
mod members;
mod processes;
