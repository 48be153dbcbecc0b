//! Entries in the list of databases that name none: those of other writers, and damaged ones.
//!
//! A writer may write its entry again with each ping interval, so only changes are logged.

use model::{FastMap, Micros, Name};

use crate::event::UnreadableEntry;
use crate::{Gate, fields};

/// Entries whose reason is remembered; further ones are only counted.
const MAX_REMEMBERED: usize = 64;

/// Interval for which [`MAX_LOGGED`] holds.
const LOG_INTERVAL: Micros = Micros::from_secs(10);

/// Changes that are logged in one interval; further ones are only counted.
const MAX_LOGGED: u32 = 32;

/// The unreadable entries, with what is wrong with each.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEntries {
    reasons: FastMap<Name, Name>,
    interval_start: Micros,
    logged: u32,
}

impl UnreadableEntries {
    /// Processes an unreadable entry; returns true if it is to be logged.
    fn observe(&mut self, now: Micros, entry: &UnreadableEntry) -> bool {
        if self.reasons.get(&entry.id) == Some(&entry.reason) {
            return false;
        }
        if self.reasons.len() >= MAX_REMEMBERED && !self.reasons.contains_key(&entry.id) {
            return false;
        }
        self.reasons.insert(entry.id.clone(), entry.reason.clone());
        if now >= self.interval_start + LOG_INTERVAL {
            self.interval_start = now;
            self.logged = 0;
        }
        self.logged += 1;
        self.logged <= MAX_LOGGED
    }

    /// Forgets an entry that is gone or names a database now.
    pub(crate) fn forget(&mut self, id: &Name) {
        self.reasons.remove(id);
    }
}

impl Gate {
    /// Processes an entry that names no database. A database that it named before counts as unlisted.
    pub(crate) fn database_unreadable(&mut self, entry: UnreadableEntry) {
        self.count("database_entries_unreadable");
        if self.unreadable_entries.observe(self.now, &entry) {
            let record = fields!["database" => &entry.id, "reason" => &entry.reason];
            self.log("database_unreadable", record);
        }
        self.database_unlisted(&entry.id);
    }
}
