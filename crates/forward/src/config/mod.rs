//! Routes, services, client accounts and limits, validated as a whole.
//!
//! A configuration is parsed into a [`ConfigDraft`], in which routes refer to services by name. A
//! valid draft becomes a [`ForwardConfig`], in which they refer to them by index; otherwise every
//! problem is reported with its location.

mod account;
mod draft;
mod forward_config;
mod problem;
mod route;
mod service;
mod service_config;

pub use account::Account;
pub use draft::{ConfigDraft, RouteDraft, ShareDraft};
pub use forward_config::{Bounds, ForwardConfig};
pub use problem::{MAX_PROBLEMS, Problem, ProblemKind};
pub use route::{Route, RouteKind, ServiceShare};
pub use service::{Engine, Service};
pub use service_config::ServiceConfig;
