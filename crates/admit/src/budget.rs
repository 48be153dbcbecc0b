//! Budget of retries per rank.

use model::{Micros, Rank, RankMap};

/// Retries that a rank may make at once, without first tries before.
const BURST: u64 = 10;
/// Tenths of a retry that one first try earns.
const EARNED_TENTHS: u64 = 1;
/// Tenths of a retry that one retry costs.
const RETRY_TENTHS: u64 = 10;

/// Token bucket that caps retries at a share of first tries.
///
/// In any window the retries of a rank are at most 10% of the rank's first tries in that window, plus
/// 10. Ranks do not share tokens, so retries of batch work cannot use up those of urgent work.
///
/// ```
/// use admit::RetryBudget;
/// use model::{Micros, Rank};
///
/// let mut budget = RetryBudget::default();
/// let retries = (0..100).filter(|_| budget.take_retry(Micros(0), Rank::Batch)).count();
/// assert_eq!(retries, 10);
/// for _ in 0..10 {
///     budget.first_try(Micros(0), Rank::Batch);
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
        RetryBudget { tokens: RankMap([BURST * RETRY_TENTHS; 3]) }
    }
}

impl RetryBudget {
    /// Counts a first try, which earns a part of a retry.
    pub fn first_try(&mut self, _now: Micros, rank: Rank) {
        self.tokens[rank] = (self.tokens[rank] + EARNED_TENTHS).min(BURST * RETRY_TENTHS);
    }

    /// Takes one retry; returns false when the budget is used up.
    pub fn take_retry(&mut self, _now: Micros, rank: Rank) -> bool {
        let Some(rest) = self.tokens[rank].checked_sub(RETRY_TENTHS) else {
            return false;
        };
        self.tokens[rank] = rest;
        true
    }
}
