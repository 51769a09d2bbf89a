//! Routes, services, client accounts and bounds: one configuration, checked whole.
//!
//! A configuration comes as a [`ConfigDraft`], in which routes name their services. Only a draft
//! without problems becomes a [`ForwardConfig`], in which they point at them; every problem is
//! reported, with its place.

mod account;
mod draft;
mod forward_config;
mod problem;
mod route;
mod service;

pub use account::Account;
pub use draft::{ConfigDraft, RouteDraft, ShareDraft};
pub use forward_config::{Bounds, ForwardConfig, RouteMatch};
pub use problem::{Problem, ProblemKind};
pub use route::{Kind, Route, ServiceShare};
pub use service::{Engine, Service};
