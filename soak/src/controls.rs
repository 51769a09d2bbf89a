//! Where the control hosts run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Where the control hosts run: each is known by its number, and runs at a place of its own until it is
/// replaced by one at a new place.
#[derive(Debug, Clone)]
pub struct Controls {
    places: Arc<Mutex<Places>>,
}

#[derive(Debug)]
struct Places {
    by_number: Vec<usize>,
    /// Places that there are.
    count: usize,
    next: usize,
}

impl Controls {
    /// `controls` hosts at the first of `places` places.
    ///
    /// ```
    /// use coltsfootnotch_soak::controls::Controls;
    /// let controls = Controls::new(3, 4);
    /// assert_eq!(controls.replace(1), Some(3));
    /// assert_eq!(controls.places(), [0, 3, 2]);
    /// assert_eq!(controls.replace(0), None);
    /// ```
    #[must_use]
    pub fn new(controls: usize, places: usize) -> Self {
        let places = Places {
            by_number: (0..controls).collect(),
            count: places,
            next: controls,
        };
        Self {
            places: Arc::new(Mutex::new(places)),
        }
    }

    /// Where a control host runs now.
    #[must_use]
    pub fn place(&self, number: usize) -> usize {
        self.lock().by_number[number]
    }

    /// How many control hosts run at a time.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().by_number.len()
    }

    /// Where all of them run now.
    #[must_use]
    pub fn places(&self) -> Vec<usize> {
        self.lock().by_number.clone()
    }

    /// Moves a control host to a place that was never used; none where there is none left.
    pub fn replace(&self, number: usize) -> Option<usize> {
        let mut places = self.lock();
        let place = places.next;
        if place >= places.count {
            return None;
        }
        places.next += 1;
        places.by_number[number] = place;
        Some(place)
    }

    fn lock(&self) -> MutexGuard<'_, Places> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
