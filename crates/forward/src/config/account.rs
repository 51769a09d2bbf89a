//! Client accounts.

use std::sync::Arc;

/// A client account, with the keys by which its callers are known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank of its requests, 0 the most urgent; goes before the route's.
    pub priority: Option<u32>,
}
