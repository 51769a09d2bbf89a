//! Tests of whole fleets of `coltsfootnotchd` processes, which run from settings files, connect
//! over the loopback interface and are stopped by signals.

mod backoff;
mod caller;
mod configuration_log;
mod connection_ends;
mod control_loss;
mod crashing_prefix;
mod daemon;
mod departed_callers;
mod example;
mod fleet;
mod relay_loss;
mod replacement;
mod resume;
mod shutdown;
mod sidecar_loss;
mod silences;
