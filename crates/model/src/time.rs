//! Monotonic time in microseconds.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

/// Microseconds: a point on a node's monotonic clock, or a span between two such points.
///
/// ```
/// use model::Micros;
/// let start = Micros::from_millis(250);
/// assert_eq!(start + Micros::from_millis(50), Micros::from_millis(300));
/// assert_eq!(Micros::ZERO.saturating_sub(start), Micros::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    pub const ZERO: Micros = Micros(0);
    pub const MAX: Micros = Micros(u64::MAX);

    /// Converts milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Micros(millis * 1_000)
    }

    /// Converts seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Micros(secs * 1_000_000)
    }

    /// Returns whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Subtracts, saturating at zero.
    pub const fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// Adds, saturating at [`Micros::MAX`].
    pub const fn saturating_add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, other: Micros) -> Micros {
        self.saturating_add(other)
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}

impl Sub for Micros {
    type Output = Micros;

    fn sub(self, other: Micros) -> Micros {
        self.saturating_sub(other)
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:03} ms", self.0 / 1_000, self.0 % 1_000)
    }
}
