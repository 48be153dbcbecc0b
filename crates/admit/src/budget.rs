//! Retry budget of each rank.

use model::{Micros, Rank, RankMap};

/// Retries that a rank may make at once without earlier first attempts.
const BURST_RETRIES: u64 = 10;
/// Tenths of a retry that one first attempt earns.
const EARNED_TENTHS: u64 = 1;
/// Tenths of a retry that one retry costs.
const COST_TENTHS: u64 = 10;

/// Token bucket that limits retries to a share of first attempts.
///
/// In any window the retries of a rank are at most 10% of the rank's first attempts in that window,
/// plus 10. Ranks do not share tokens, so batch retries cannot use up those of urgent requests.
///
/// ```
/// use admit::RetryBudget;
/// use model::{Micros, Rank};
///
/// let mut budget = RetryBudget::default();
/// let retries = (0..100).filter(|_| budget.take_retry(Micros(0), Rank::Batch)).count();
/// assert_eq!(retries, 10);
/// for _ in 0..10 {
///     budget.count_first_attempt(Micros(0), Rank::Batch);
/// }
/// assert!(budget.take_retry(Micros(0), Rank::Batch));
/// assert!(!budget.take_retry(Micros(0), Rank::Batch));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    /// Tenths of a retry.
    tokens: RankMap<u64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: RankMap([BURST_RETRIES * COST_TENTHS; 3]) }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which earns a part of a retry.
    pub fn count_first_attempt(&mut self, _now: Micros, rank: Rank) {
        self.tokens[rank] = (self.tokens[rank] + EARNED_TENTHS).min(BURST_RETRIES * COST_TENTHS);
    }

    /// Takes one retry; returns false when the budget is used up.
    pub fn take_retry(&mut self, _now: Micros, rank: Rank) -> bool {
        let Some(remaining) = self.tokens[rank].checked_sub(COST_TENTHS) else {
            return false;
        };
        self.tokens[rank] = remaining;
        true
    }
}
