//! The bookings of a fake order service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use serde_json::Value;

/// A booking.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Booking {
    pub(crate) id: String,
    pub(crate) key: String,
    pub(crate) order: Value,
}

/// The database shared by the replicas of an order service.
///
/// ```
/// use coltsfootnotch_fakes::{OrderConfig, OrderStore};
/// let store = OrderStore::default();
/// let mut replicas = [1, 2].map(|n| OrderConfig::new(format!("desk-{n}"), "desk"));
/// for replica in &mut replicas {
///     replica.store = store.clone();
/// }
/// ```
#[derive(Debug, Clone, Default)]
pub struct OrderStore(Arc<Mutex<OrderBook>>);

impl OrderStore {
    pub(crate) fn lock(&self) -> MutexGuard<'_, OrderBook> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All bookings in insertion order.
#[derive(Debug, Default)]
pub(crate) struct OrderBook {
    bookings: Vec<Booking>,
    by_key: BTreeMap<String, Vec<usize>>,
}

impl OrderBook {
    /// Adds a booking without deduplicating by key, so that tests detect duplicate calls.
    pub(crate) fn book(&mut self, key: &str, order: Value) -> Booking {
        let index = self.bookings.len();
        let booking = Booking {
            id: format!("ord-{:06}", index + 1),
            key: key.to_owned(),
            order,
        };
        self.bookings.push(booking.clone());
        self.by_key.entry(key.to_owned()).or_default().push(index);
        booking
    }

    pub(crate) fn by_id(&self, id: &str) -> Option<&Booking> {
        let index = index_of(id)?;
        self.bookings.get(index)
    }

    pub(crate) fn by_key(&self, key: &str) -> Option<&Booking> {
        let index = self.by_key.get(key)?.first()?;
        self.bookings.get(*index)
    }

    /// Replaces the contents of an order; idempotent.
    pub(crate) fn replace(&mut self, id: &str, order: Value) -> Option<&Booking> {
        let index = index_of(id)?;
        let booking = self.bookings.get_mut(index)?;
        booking.order = order;
        Some(booking)
    }
}

fn index_of(id: &str) -> Option<usize> {
    let number: usize = id.strip_prefix("ord-")?.parse().ok()?;
    number.checked_sub(1)
}
