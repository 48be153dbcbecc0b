//! The byte budget of a process: a bound for what it holds for others, and charges that are given back on `Drop`.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that a process may hold for its clients and databases. Clones share the same budget.
///
/// ```
/// use model::MemoryBudget;
///
/// let budget = MemoryBudget::new(1_000);
/// let mut charge = budget.charge();
/// charge.resize(600);
/// assert!(budget.is_above(1, 2) && !budget.is_above(1, 1));
/// drop(charge);
/// assert_eq!(budget.held(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    held: Arc<AtomicUsize>,
    /// What is held of the budget that this one is a part of.
    whole: Option<Arc<AtomicUsize>>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget { limit, held: Arc::default(), whole: None }
    }

    /// Creates a budget for a kind of holders. Its charges count here, too.
    ///
    /// ```
    /// let whole = model::MemoryBudget::new(1_000);
    /// let part = whole.part(250);
    /// let mut charge = part.charge();
    /// charge.resize(100);
    /// assert_eq!((part.held(), whole.held()), (100, 100));
    /// ```
    pub fn part(&self, limit: usize) -> MemoryBudget {
        MemoryBudget { limit, held: Arc::default(), whole: Some(self.held.clone()) }
    }

    /// Returns the budget in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the sum of all charges in bytes.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns true if more than `numerator / denominator` of the budget is held.
    pub fn is_above(&self, numerator: usize, denominator: usize) -> bool {
        self.held() > self.limit / denominator * numerator
    }

    /// Creates a charge of zero bytes.
    pub fn charge(&self) -> MemoryCharge {
        MemoryCharge { held: self.held.clone(), whole: self.whole.clone(), bytes: 0 }
    }
}

/// A holder's part of a [`MemoryBudget`]. Dropping it gives the bytes back.
#[derive(Debug)]
pub struct MemoryCharge {
    held: Arc<AtomicUsize>,
    whole: Option<Arc<AtomicUsize>>,
    bytes: usize,
}

impl MemoryCharge {
    /// Sets the number of bytes that the holder has.
    pub fn resize(&mut self, bytes: usize) {
        for held in [Some(&self.held), self.whole.as_ref()].into_iter().flatten() {
            if bytes >= self.bytes {
                held.fetch_add(bytes - self.bytes, Ordering::Relaxed);
            } else {
                held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            }
        }
        self.bytes = bytes;
    }

    /// Returns the number of bytes that the holder has.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.resize(0);
    }
}
