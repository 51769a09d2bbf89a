//! Client accounts.

use std::sync::Arc;

/// A client account and the keys that identify it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: Vec<String>,
    /// Priority of its requests, 0 the most urgent; overrides the route's.
    pub priority: Option<u32>,
}
