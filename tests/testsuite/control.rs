//! Failure tests of the control group with real files, connections and daemons.

mod client;
mod configuration;
mod cut_path;
mod delayed_orders;
mod disk;
mod group;
mod hosts;
mod load;
mod members;
mod processes;
