//! Units of service, and weights of client accounts.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Amount of service: prompt and generated tokens, each weighted by its cost for an engine.
///
/// A call of a plain service counts as the cost stated in its manifest. Sums saturate, since engines and other hosts
/// state what is added.
///
/// ```
/// use coltsfootnotch_types::ServiceUnits;
/// assert_eq!(ServiceUnits(u64::MAX) + ServiceUnits(5), ServiceUnits(u64::MAX));
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
pub struct ServiceUnits(pub u64);

impl Add for ServiceUnits {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for ServiceUnits {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for ServiceUnits {
    fn sum<I: Iterator<Item = Self>>(units: I) -> Self {
        units.fold(Self(0), Add::add)
    }
}

/// Error for a number that is not a valid weight.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("a weight of {found} is not between 1 and {}", Weight::MAX)]
pub struct WeightError {
    /// The invalid number.
    found: u32,
}

/// Weight of a client account; its share of contended capacity is proportional to it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(try_from = "u32", into = "u32")]
pub struct Weight(u32);

impl Weight {
    /// Maximum weight; keeps service divided by weight within 64 bits.
    pub const MAX: u32 = 10_000;
    /// Weight of an account for which the manifest states none.
    pub const DEFAULT: Self = Self(1);

    /// Creates a weight.
    ///
    /// # Errors
    /// Returns a [`WeightError`] for zero and for numbers above [`Weight::MAX`].
    ///
    /// ```
    /// use coltsfootnotch_types::Weight;
    /// assert_eq!(Weight::new(4)?.get(), 4);
    /// assert!(Weight::new(0).is_err());
    /// # Ok::<(), coltsfootnotch_types::WeightError>(())
    /// ```
    pub fn new(number: u32) -> Result<Self, WeightError> {
        if (1..=Self::MAX).contains(&number) {
            Ok(Self(number))
        } else {
            Err(WeightError { found: number })
        }
    }

    /// The weight as a number.
    #[must_use]
    pub fn get(self) -> u32 {
        self.0
    }
}

impl TryFrom<u32> for Weight {
    type Error = WeightError;

    fn try_from(number: u32) -> Result<Self, WeightError> {
        Self::new(number)
    }
}

impl From<Weight> for u32 {
    fn from(weight: Weight) -> Self {
        weight.0
    }
}
