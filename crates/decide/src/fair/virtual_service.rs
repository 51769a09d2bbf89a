//! Service per unit of weight, in fixed point.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use coltsfootnotch_types::{ServiceUnits, Weight};
use derive_more::Display;

/// Service per unit of weight, in steps of one ten-thousandth of a unit.
///
/// Signed, because a settlement refunds service. At weight 1 it holds up to 9 * 10^14 units: at ten
/// million tokens per second, nearly three years of service to one account.
/// Beyond that sums saturate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct VirtualService(pub i64);

impl VirtualService {
    /// Steps in one unit at weight 1: the largest weight, so that one token at any weight is at
    /// least one step and a stream of single tokens is not rounded to zero.
    pub const STEPS_PER_UNIT: i64 = Weight::MAX as i64;

    /// Zero service.
    pub const ZERO: Self = Self(0);

    /// `units` of service divided by `weight`.
    ///
    /// ```
    /// use coltsfootnotch_decide::fair::VirtualService;
    /// use coltsfootnotch_types::{ServiceUnits, Weight};
    /// let heavy = VirtualService::of(ServiceUnits(400), Weight::new(4)?);
    /// let light = VirtualService::of(ServiceUnits(100), Weight::DEFAULT);
    /// assert_eq!(heavy, light);
    /// # Ok::<(), coltsfootnotch_types::WeightError>(())
    /// ```
    #[must_use]
    pub fn of(units: ServiceUnits, weight: Weight) -> Self {
        let steps = i128::from(units.0) * i128::from(Self::STEPS_PER_UNIT);
        let per_weight = steps / i128::from(weight.get());
        Self(i64::try_from(per_weight).unwrap_or(i64::MAX))
    }

    /// The service in units at weight 1, rounded down; a negative value is zero.
    #[must_use]
    pub fn to_units(self) -> ServiceUnits {
        let whole = self.0 / Self::STEPS_PER_UNIT;
        ServiceUnits(u64::try_from(whole).unwrap_or(0))
    }
}

impl Add for VirtualService {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for VirtualService {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for VirtualService {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl SubAssign for VirtualService {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Sum for VirtualService {
    fn sum<I: Iterator<Item = Self>>(parts: I) -> Self {
        parts.fold(Self::ZERO, Add::add)
    }
}
