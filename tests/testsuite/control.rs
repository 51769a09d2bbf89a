//! Failures of the control group, with real files, real connections and whole daemons.

mod client;
mod configuration;
mod disk;
mod group;
mod hosts;
mod load;
mod members;
mod processes;
