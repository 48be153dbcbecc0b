//! Terms and log positions of a database cluster.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of a primary's time in office; increases with every promotion in a cluster.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the next term.
    pub const fn next(self) -> Term {
        Term(self.0.saturating_add(1))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Byte position in a cluster's log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:X}/{:X}", self.0 >> 32, self.0 & 0xffff_ffff)
    }
}

/// Position of a cluster's log that a session's reads require: that of its last write, or one sampled
/// after the session arrived. Ordered by term first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequiredPosition {
    pub term: Term,
    pub position: LogPosition,
}
