//! How current this node's view of the store is.
//!
//! Routes, databases and nodes are known as of a revision of the store. Its age distinguishes a quiet
//! store from a node that does not hear from it, and the log and the state dump give it.

use model::Micros;

/// Maximum age of a view that shows what does not exist. A quiet store answers a watch within this
/// time also where the bound for a configuration change is longer.
const MAX_CURRENT_AGE: Micros = Micros::from_millis(3_000);

/// The newest revision of the store up to which all changes are known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreView {
    pub(crate) revision: u64,
    /// When the store knew no later revision; `None` before the first list. At a node that follows a
    /// relay it is when the relay last heard from the store, whose watch may be behind.
    pub(crate) known_at: Option<Micros>,
}

impl StoreView {
    /// Returns true if a configuration that was stored longer ago than `bound` would be known.
    pub(crate) fn is_current(&self, now: Micros, bound: Micros) -> bool {
        self.known_at.is_some_and(|at| now < at + bound.min(MAX_CURRENT_AGE))
    }

    /// Returns for how long later changes may have gone unnoticed, in milliseconds.
    pub(crate) fn age_ms(&self, now: Micros) -> u64 {
        self.known_at.map_or(u64::MAX, |at| now.saturating_sub(at).as_millis())
    }
}
