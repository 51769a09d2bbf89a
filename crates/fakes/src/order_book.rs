//! The bookings of a stand-in order service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use serde_json::Value;

/// One booking.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Booking {
    pub(crate) id: String,
    pub(crate) key: String,
    pub(crate) order: Value,
}

/// The database behind the replicas of an order service; each replica sees the bookings of all.
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

/// All bookings by the order in which they were made.
#[derive(Debug, Default)]
pub(crate) struct OrderBook {
    bookings: Vec<Booking>,
    by_key: BTreeMap<String, Vec<usize>>,
}

impl OrderBook {
    /// Books an order; a key booked before is booked again, so that a doubled call shows.
    pub(crate) fn book(&mut self, key: &str, order: Value) -> Booking {
        let place = self.bookings.len();
        let booking = Booking {
            id: format!("ord-{:06}", place + 1),
            key: key.to_owned(),
            order,
        };
        self.bookings.push(booking.clone());
        self.by_key.entry(key.to_owned()).or_default().push(place);
        booking
    }

    pub(crate) fn by_id(&self, id: &str) -> Option<&Booking> {
        let place = place_of(id)?;
        self.bookings.get(place)
    }

    pub(crate) fn by_key(&self, key: &str) -> Option<&Booking> {
        let place = self.by_key.get(key)?.first()?;
        self.bookings.get(*place)
    }

    /// Replaces an order's contents; doing it twice is the same as doing it once.
    pub(crate) fn replace(&mut self, id: &str, order: Value) -> Option<&Booking> {
        let place = place_of(id)?;
        let booking = self.bookings.get_mut(place)?;
        booking.order = order;
        Some(booking)
    }
}

fn place_of(id: &str) -> Option<usize> {
    let number: usize = id.strip_prefix("ord-")?.parse().ok()?;
    number.checked_sub(1)
}
