//! Names and units that all packages of the fleet share.
//!
//! Names are reference-counted strings: cheap to clone into queues, counters and log records.

pub mod bytes_format;
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

/// Commonly used types.
pub mod prelude {
    pub use crate::{
        AccountName, DomainName, HostName, Incarnation, PoolName, Role, ServiceUnits, UpstreamName,
        Weight,
    };
}
