//! The bookings of a stand-in order service.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// One booking.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Booking {
    pub(crate) id: String,
    pub(crate) key: String,
    pub(crate) order: Value,
}

/// All bookings by the order in which they were made.
#[derive(Default)]
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

    /// How often each key was booked.
    pub(crate) fn counts(&self) -> BTreeMap<String, usize> {
        let count = |(key, places): (&String, &Vec<usize>)| (key.clone(), places.len());
        self.by_key.iter().map(count).collect()
    }
}

fn place_of(id: &str) -> Option<usize> {
    let number: usize = id.strip_prefix("ord-")?.parse().ok()?;
    number.checked_sub(1)
}
