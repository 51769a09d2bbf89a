//! Whole fleets of real processes: `coltsfootnotchd` from settings files, over real connections,
//! ended by real signals.

mod caller;
mod configuration_log;
mod control_loss;
mod daemon;
mod example;
mod fleet;
mod relay_loss;
mod replacement;
mod resume;
mod sidecar_loss;
mod stops;
