//! Accounting of the callers that cause most requests, declined reads or repeated requests, in bounded
//! memory.
//!
//! The table keeps a fixed number of callers with the space-saving algorithm, so memory does not grow
//! with the number of callers; each count has a bound on its error.
//!
//! # Algorithm and error bound
//!
//! For each measure and window the table keeps `capacity` counters. A caller without one takes over the
//! lowest counter, with its count m as the error. The counters of a window add up to its total N, so
//! m <= N / capacity. It follows that
//!
//! - a listed caller's true count lies between `count - error` and `count`, and `error` is at most
//!   N / capacity;
//! - a caller that is not listed has a true count of at most N / capacity, so a caller with more than
//!   1 / capacity of the total is always listed.
//!
//! A report combines the current window of 5 minutes and the one before. A caller that only one of
//! them lists gets the lowest count of the other added to its count and error, so both statements hold
//! with N as the total of both.

use std::collections::BTreeSet;

use model::{FastMap, Micros, Name, Rank};
use serde::{Deserialize, Serialize};

/// What is counted for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerMeasure {
    /// Requests received.
    Requests,
    /// Slot time used, in microseconds.
    SlotTime,
    /// Requests refused without being run.
    Refused,
    /// Reads that a replica declined without a proof of the data age or required position.
    ReplicaDeclined,
    /// Requests whose request key was already recorded.
    RepeatedKeys,
    /// Answers with an unknown outcome.
    OutcomeUnknown,
}

const MEASURE_COUNT: usize = 6;

/// Length of a window.
const WINDOW_LENGTH: Micros = Micros::from_secs(300);

/// One row of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRow {
    pub caller: Name,
    /// Rank of the caller's latest counted request.
    pub rank: Rank,
    pub count: u64,
    /// The true count is at least `count - error`.
    pub error: u64,
}

/// One counter of a window.
#[derive(Debug)]
struct CallerCounter {
    caller: Name,
    rank: Rank,
    count: u64,
    error: u64,
}

/// Space-saving counters of one measure in one window.
#[derive(Debug, Default)]
struct CounterSet {
    counters: Vec<CallerCounter>,
    index: FastMap<Name, usize>,
    /// Counters by count.
    order: BTreeSet<(u64, usize)>,
}

impl CounterSet {
    fn add(&mut self, capacity: usize, caller: &Name, rank: Rank, amount: u64) {
        let index = match self.index.get(caller) {
            Some(index) => *index,
            None if self.counters.len() < capacity => {
                self.counters.push(CallerCounter {
                    caller: caller.clone(),
                    rank,
                    count: 0,
                    error: 0,
                });
                self.counters.len() - 1
            }
            None => {
                let Some(&(count, index)) = self.order.first() else { return };
                let counter = &mut self.counters[index];
                self.index.remove(&counter.caller);
                *counter = CallerCounter { caller: caller.clone(), rank, count, error: count };
                index
            }
        };
        let counter = &mut self.counters[index];
        self.order.remove(&(counter.count, index));
        if counter.count == counter.error {
            self.index.insert(caller.clone(), index);
        }
        counter.count = counter.count.saturating_add(amount);
        counter.rank = rank;
        self.order.insert((counter.count, index));
    }

    /// Returns the highest count that a caller without a counter can have.
    fn max_unlisted_count(&self, capacity: usize) -> u64 {
        match self.order.first() {
            Some((count, _)) if self.counters.len() >= capacity => *count,
            _ => 0,
        }
    }
}

/// Counters of all measures in one window.
#[derive(Debug, Default)]
struct CounterWindow {
    /// Start of the window divided by its length.
    number: u64,
    measures: [CounterSet; MEASURE_COUNT],
}

/// Counts per caller: two windows, each with `capacity` counters for each measure.
///
/// ```
/// use model::{Micros, Name, Rank};
/// use stats::{CallerMeasure, CallerTable};
///
/// let mut table = CallerTable::new(100);
/// let caller = Name::from("meter-17");
/// table.count(Micros(0), &caller, Rank::Batch, CallerMeasure::Requests, 3);
/// let rows = table.top(Micros::from_secs(301), CallerMeasure::Requests, 10);
/// assert_eq!((rows[0].count, rows[0].error), (3, 0));
/// assert!(table.top(Micros::from_secs(601), CallerMeasure::Requests, 10).is_empty());
/// ```
#[derive(Debug)]
pub struct CallerTable {
    capacity: usize,
    current: CounterWindow,
    previous: CounterWindow,
}

impl CallerTable {
    /// Creates a table that keeps at most `capacity` callers (at least 1) for each measure and window.
    pub fn new(capacity: usize) -> Self {
        CallerTable {
            capacity: capacity.max(1),
            current: CounterWindow::default(),
            previous: CounterWindow::default(),
        }
    }

    /// Counts `amount` for a caller, in O(log capacity). An amount of zero is ignored.
    pub fn count(
        &mut self,
        now: Micros,
        caller: &Name,
        rank: Rank,
        measure: CallerMeasure,
        amount: u64,
    ) {
        let number = now.0 / WINDOW_LENGTH.0;
        if number > self.current.number {
            let fresh = CounterWindow { number, ..CounterWindow::default() };
            self.previous = std::mem::replace(&mut self.current, fresh);
        }
        if amount > 0 {
            self.current.measures[measure as usize].add(self.capacity, caller, rank, amount);
        }
    }

    /// Returns the callers with the highest counts of the last 5 to 10 minutes.
    pub fn top(&self, now: Micros, measure: CallerMeasure, rows: usize) -> Vec<CallerRow> {
        let number = now.0 / WINDOW_LENGTH.0;
        let recent = |window: &&CounterWindow| window.number + 1 >= number;
        let sets: Vec<&CounterSet> = [&self.current, &self.previous]
            .into_iter()
            .filter(recent)
            .map(|window| &window.measures[measure as usize])
            .collect();
        let unlisted_sum: u64 = sets.iter().map(|set| set.max_unlisted_count(self.capacity)).sum();
        let mut merged: FastMap<&Name, CallerRow> = FastMap::default();
        for set in &sets {
            let unlisted = set.max_unlisted_count(self.capacity);
            for counter in &set.counters {
                // A row starts with the unlisted maximum of every window. Each window that lists the
                // caller replaces its part by the caller's own count and error.
                let row = merged.entry(&counter.caller).or_insert_with(|| CallerRow {
                    caller: counter.caller.clone(),
                    rank: counter.rank,
                    count: unlisted_sum,
                    error: unlisted_sum,
                });
                row.count = row.count - unlisted + counter.count;
                row.error = row.error - unlisted + counter.error;
            }
        }
        top_rows(merged.into_values().collect(), rows)
    }

    /// Merges the rows of several nodes by adding counts and errors.
    ///
    /// A true count is still at least `count - error`. It may exceed `count` by what nodes counted that
    /// do not list the caller.
    pub fn merge(parts: Vec<Vec<CallerRow>>, rows: usize) -> Vec<CallerRow> {
        let mut merged: FastMap<Name, (u64, CallerRow)> = FastMap::default();
        for row in parts.into_iter().flatten() {
            match merged.get_mut(&row.caller) {
                Some((largest, total)) => {
                    if row.count > *largest {
                        *largest = row.count;
                        total.rank = row.rank;
                    }
                    total.count = total.count.saturating_add(row.count);
                    total.error = total.error.saturating_add(row.error);
                }
                None => {
                    merged.insert(row.caller.clone(), (row.count, row));
                }
            }
        }
        top_rows(merged.into_values().map(|(_, row)| row).collect(), rows)
    }
}

/// Returns the rows with the highest counts, with equal counts ordered by name.
fn top_rows(mut rows: Vec<CallerRow>, count: usize) -> Vec<CallerRow> {
    rows.sort_unstable_by(|left, right| {
        right.count.cmp(&left.count).then_with(|| left.caller.cmp(&right.caller))
    });
    rows.truncate(count);
    rows
}
