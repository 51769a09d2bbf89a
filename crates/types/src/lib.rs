//! Domain names and units shared by every package of the fleet.
//!
//! Names are reference-counted strings: a name is read once from a settings file, a manifest or a
//! wire message and then cloned cheaply into queues, counters and log lines.

mod incarnation;
mod name;
mod role;
mod service;

pub use incarnation::Incarnation;
pub use name::{
    AccountName, DomainName, HostName, LeaseName, NameError, PoolName, RegionName, UpstreamName,
};
pub use role::Role;
pub use service::{ServiceUnits, Weight, WeightError};

/// The types that nearly every module of the fleet needs.
pub mod prelude {
    pub use crate::{
        AccountName, DomainName, HostName, Incarnation, PoolName, Role, ServiceUnits, UpstreamName,
        Weight,
    };
}
