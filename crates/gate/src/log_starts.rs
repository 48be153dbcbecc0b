//! The start of each database of a cluster whose log a failover counts.
//!
//! A database that starts again holds nothing of before. The commits that it and the primary held are then at the
//! primary alone. So it counts as not compared until a replica is shown to hold every commit that was acknowledged
//! before the restart was seen. The counted starts are kept in the record of log holders, as a node that starts later,
//! or has removed the database meanwhile, does not see the restart.

use std::collections::BTreeMap;

use model::{FastMap, Micros, Name};

use crate::backend::TermPosition;
use crate::leadership_proof::LeadershipProof;

/// The counted starts of the databases of a cluster, in Unix milliseconds.
#[derive(Debug, Default)]
pub(crate) struct LogStarts {
    databases: FastMap<Name, DatabaseStart>,
}

#[derive(Clone, Copy, Debug)]
struct DatabaseStart {
    /// Start of the process whose log counts.
    counted: u64,
    /// Start in the database's entry.
    listed: Option<u64>,
    /// Start in the record of log holders.
    recorded: Option<u64>,
    /// Set while the listed start is not the counted one.
    restart: Option<LogRestart>,
}

/// A restart that was seen, and what has been shown since.
#[derive(Clone, Copy, Debug)]
struct LogRestart {
    seen_at: Micros,
    /// A position that covers every commit acknowledged before.
    log_end: Option<TermPosition>,
    /// The end of the database's own log, by a report requested since.
    received: Option<TermPosition>,
}

impl DatabaseStart {
    fn new(counted: u64) -> Self {
        DatabaseStart { counted, listed: None, recorded: None, restart: None }
    }

    fn update_restart(&mut self, now: Micros) {
        if self.listed.is_none_or(|listed| listed == self.counted) {
            self.restart = None;
        } else {
            let seen = LogRestart { seen_at: now, log_end: None, received: None };
            self.restart.get_or_insert(seen);
        }
    }
}

impl LogStarts {
    /// Processes the start in a database's entry; returns true if it shows a restart.
    pub(crate) fn observe_entry(&mut self, name: &Name, start: u64, now: Micros) -> bool {
        let database =
            self.databases.entry(name.clone()).or_insert_with(|| DatabaseStart::new(start));
        if database.listed == Some(start) {
            return false;
        }
        // What was shown after an earlier restart does not hold after a later one.
        database.restart = None;
        database.listed = Some(start);
        database.update_restart(now);
        database.restart.is_some()
    }

    /// Replaces the counted starts by the recorded ones.
    pub(crate) fn observe_record(&mut self, starts: &BTreeMap<String, u64>, now: Micros) {
        for database in self.databases.values_mut() {
            database.recorded = None;
        }
        for (name, start) in starts {
            let database = self.databases.entry(Name::from(name.as_str()));
            let database = database.or_insert_with(|| DatabaseStart::new(*start));
            database.recorded = Some(*start);
            database.counted = *start;
            database.update_restart(now);
        }
    }

    /// Processes a report of a database.
    pub(crate) fn observe_report(
        &mut self,
        name: &Name,
        requested_at: Micros,
        received: TermPosition,
    ) {
        let restart = self.databases.get_mut(name).and_then(|database| database.restart.as_mut());
        if let Some(restart) = restart.filter(|restart| requested_at >= restart.seen_at) {
            restart.received = Some(received);
        }
    }

    /// Returns true if a database has started again without the log that a failover counts.
    pub(crate) fn is_restarted(&self, name: &Name) -> bool {
        self.databases.get(name).is_some_and(|database| database.restart.is_some())
    }

    /// Returns the end of the log that a database is known to hold, where `reported` is its last
    /// report, which may be of before a restart.
    pub(crate) fn held_log(&self, name: &Name, reported: TermPosition) -> Option<TermPosition> {
        match self.databases.get(name).and_then(|database| database.restart) {
            Some(restart) => restart.received,
            None => Some(reported),
        }
    }

    /// Counts the logs of restarted databases again if `held`, the longest log of a replica, contains
    /// every commit acknowledged before. Returns true if reports are wanted that show this.
    pub(crate) fn count_restarted(
        &mut self,
        proof: &LeadershipProof,
        held: TermPosition,
        now: Micros,
        delay: Micros,
    ) -> bool {
        let mut waits = false;
        for database in self.databases.values_mut() {
            let Some(restart) = &mut database.restart else { continue };
            restart.log_end = restart.log_end.or(proof.proved_position(restart.seen_at));
            if restart.log_end.is_some_and(|end| held >= end) {
                database.counted = database.listed.unwrap_or(database.counted);
                database.restart = None;
            } else {
                waits |= now >= restart.seen_at + delay;
            }
        }
        waits
    }

    /// Returns true if the record shows the counted starts of these databases, and none of them has
    /// started again.
    pub(crate) fn are_recorded(&self, members: &[Name]) -> bool {
        members.iter().filter_map(|name| self.databases.get(name)).all(|database| {
            database.restart.is_none() && database.recorded == Some(database.counted)
        })
    }

    /// Returns the starts in the record of log holders.
    pub(crate) fn recorded(&self) -> BTreeMap<String, u64> {
        let recorded = self.databases.iter();
        recorded.filter_map(|(name, start)| Some((name.to_string(), start.recorded?))).collect()
    }

    /// Returns the starts to be recorded for these databases.
    pub(crate) fn counted<'a>(
        &self,
        names: impl IntoIterator<Item = &'a Name>,
    ) -> BTreeMap<String, u64> {
        let names = names.into_iter();
        names
            .filter_map(|name| Some((name.to_string(), self.databases.get(name)?.counted)))
            .collect()
    }

    /// Forgets the databases that are neither recorded nor kept by `keeps`.
    pub(crate) fn retain(&mut self, keeps: impl Fn(&Name) -> bool) {
        self.databases.retain(|name, database| database.recorded.is_some() || keeps(name));
    }
}
