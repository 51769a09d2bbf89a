//! Simulation of sidecars that share accounts, in virtual time and without a network.

mod harness;
mod random;
mod report;
mod scenarios;
