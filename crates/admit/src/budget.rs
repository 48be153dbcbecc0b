//! Budget of retries per rank.

use model::{Micros, Rank};

/// Token bucket that caps retries at a share of first tries.
#[derive(Debug, Default)]
pub struct RetryBudget {}

impl RetryBudget {
    /// Counts a first try, which earns a part of a retry.
    pub fn first_try(&mut self, _now: Micros, _rank: Rank) {}

    /// Takes one retry; returns false when the budget is used up.
    pub fn take_retry(&mut self, _now: Micros, _rank: Rank) -> bool {
        true
    }
}
