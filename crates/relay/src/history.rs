//! The changes that a relay keeps for its followers.

use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum size of the kept changes: several versions of the largest configuration, 350 kB each as
/// the store sends it.
const MAX_HISTORY_BYTES: usize = 4 * 1024 * 1024;

/// Changes that the store returned from one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeBatch {
    /// Revision from which to continue.
    pub next: u64,
    /// The changes as the store sent them.
    pub body: Arc<[u8]>,
}

/// What a history has for a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistoryAnswer {
    /// The changes after the follower's revision. The first batch may also contain older ones.
    Batches(Vec<ChangeBatch>),
    /// Nothing newer.
    UpToDate,
    /// Changes after the follower's revision are missing.
    Gone,
}

/// A bounded sequence of changes.
///
/// ```
/// use relay::{ChangeBatch, ChangeHistory, HistoryAnswer};
///
/// let mut history = ChangeHistory::default();
/// assert_eq!(history.after(5), HistoryAnswer::Gone);
/// history.restart(5);
/// history.push(ChangeBatch { next: 8, body: (*b"[]").into() });
/// assert!(matches!(history.after(6), HistoryAnswer::Batches(batches) if batches.len() == 1));
/// assert_eq!(history.after(8), HistoryAnswer::UpToDate);
/// assert_eq!(history.after(4), HistoryAnswer::Gone);
/// ```
#[derive(Debug, Default)]
pub struct ChangeHistory {
    /// Revision after which the history is complete; `None` while the store is not watched.
    start: Option<u64>,
    batches: VecDeque<ChangeBatch>,
    bytes: usize,
}

impl ChangeHistory {
    /// Begins at a revision without any changes.
    pub fn restart(&mut self, revision: u64) {
        *self = ChangeHistory { start: Some(revision), ..ChangeHistory::default() };
    }

    /// Ends the history, because changes may be missed from now on.
    pub fn stop(&mut self) {
        *self = ChangeHistory::default();
    }

    /// Returns true if the history continues.
    pub fn is_running(&self) -> bool {
        self.start.is_some()
    }

    /// Appends changes, and removes the oldest ones beyond the size limit.
    pub fn push(&mut self, batch: ChangeBatch) {
        if self.start.is_none() {
            return;
        }
        self.bytes += batch.body.len();
        self.batches.push_back(batch);
        while self.bytes > MAX_HISTORY_BYTES
            && let Some(oldest) = self.batches.pop_front()
        {
            self.bytes -= oldest.body.len();
            self.start = Some(oldest.next);
        }
    }

    /// Returns the changes after a revision.
    pub fn after(&self, revision: u64) -> HistoryAnswer {
        match self.start {
            Some(start) if revision >= start => {}
            _ => return HistoryAnswer::Gone,
        }
        let newer = self.batches.iter().filter(|batch| batch.next > revision);
        let newer: Vec<ChangeBatch> = newer.cloned().collect();
        if newer.is_empty() { HistoryAnswer::UpToDate } else { HistoryAnswer::Batches(newer) }
    }
}
