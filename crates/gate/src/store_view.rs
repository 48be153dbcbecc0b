//! How current this node's view of the store is.
//!
//! Routes, databases and nodes are known as of a revision of the store. Nothing is decided by its
//! age; the log and the state dump give it, because a quiet store and a view that has stopped look
//! the same otherwise.

use model::Micros;

/// The newest revision of the store up to which all changes are known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreView {
    pub(crate) revision: u64,
    /// When the store knew no later revision; `None` before the first list.
    pub(crate) known_at: Option<Micros>,
}

impl StoreView {
    /// Returns for how long later changes may have gone unnoticed, in milliseconds.
    pub(crate) fn age_ms(&self, now: Micros) -> u64 {
        self.known_at.map_or(u64::MAX, |at| now.saturating_sub(at).as_millis())
    }
}
