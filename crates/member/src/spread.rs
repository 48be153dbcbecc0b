//! What this node tells its contacts: recent member changes and document revisions.

use std::collections::VecDeque;

use model::{FastMap, Micros, Name};

/// Changes in one heartbeat.
pub(crate) const CHANGE_LIMIT: usize = 8;

/// Heartbeats to each contact that repeat a change after it was forwarded, against loss.
const REPEATS: u8 = 2;

/// Shortest time between two rounds of forwarded changes. It bounds the messages of a node while
/// many members change at once.
const FORWARD_INTERVAL: Micros = Micros::from_millis(100);

/// Time after which a document is pulled again if it has not arrived.
const PULL_RETRY: Micros = Micros::from_secs(1);

/// Documents whose revisions a node tracks. Heartbeats carry all of them.
const DOCUMENT_LIMIT: usize = 32;

/// Queue of member changes that contacts have not heard yet, and of those to repeat.
#[derive(Debug, Default)]
pub(crate) struct ChangeQueue {
    fresh: VecDeque<Name>,
    /// Newest first, with the repeats left.
    recent: VecDeque<(Name, u8)>,
    /// Set while there is something to forward.
    due: Option<Micros>,
    last: Option<Micros>,
}

impl ChangeQueue {
    /// Adds a member whose entry changed.
    pub(crate) fn push(&mut self, now: Micros, name: &Name) {
        if !self.fresh.contains(name) {
            self.fresh.push_back(name.clone());
        }
        self.request(now);
    }

    /// Asks for a round of heartbeats, also without a change.
    pub(crate) fn request(&mut self, now: Micros) {
        let earliest = self.last.map_or(now, |last| (last + FORWARD_INTERVAL).max(now));
        self.due.get_or_insert(earliest);
    }

    pub(crate) fn due(&self) -> Option<Micros> {
        self.due
    }

    /// Takes the changes of one round of forwarded heartbeats.
    pub(crate) fn take_round(&mut self, now: Micros) -> Vec<Name> {
        let count = self.fresh.len().min(CHANGE_LIMIT);
        let round: Vec<Name> = self.fresh.drain(..count).collect();
        for name in &round {
            self.recent.retain(|(other, _)| other != name);
            self.recent.push_front((name.clone(), REPEATS));
        }
        self.last = Some(now);
        self.due = (!self.fresh.is_empty()).then(|| now + FORWARD_INTERVAL);
        round
    }

    /// Returns the newest changes, for an answer.
    pub(crate) fn newest(&self) -> impl Iterator<Item = &Name> {
        self.fresh.iter().chain(self.recent.iter().map(|(name, _)| name)).take(CHANGE_LIMIT)
    }

    /// Takes the changes to repeat in one round of regular heartbeats.
    pub(crate) fn take_repeats(&mut self) -> Vec<Name> {
        let mut repeats = Vec::new();
        for (name, left) in self.recent.iter_mut().filter(|(_, left)| *left > 0).take(CHANGE_LIMIT)
        {
            *left -= 1;
            repeats.push(name.clone());
        }
        self.recent.retain(|(_, left)| *left > 0);
        repeats
    }
}

/// Revisions that this node holds and pulls.
#[derive(Debug, Default)]
pub(crate) struct RevisionTable {
    held: FastMap<Name, u64>,
    /// Revision that is being pulled and when to try again.
    pulling: FastMap<Name, (u64, Micros)>,
}

impl RevisionTable {
    /// Records a revision that this node holds; returns whether it is news.
    pub(crate) fn hold(&mut self, document: &Name, revision: u64) -> bool {
        if self.held.len() >= DOCUMENT_LIMIT && !self.held.contains_key(document) {
            return false;
        }
        let held = self.held.entry(document.clone()).or_default();
        let newer = revision > *held;
        *held = revision.max(*held);
        if self.pulling.get(document).is_some_and(|(pulled, _)| *pulled <= revision) {
            self.pulling.remove(document);
        }
        newer
    }

    /// Tells whether to pull a document of which a peer holds `revision`.
    pub(crate) fn wants(&mut self, now: Micros, document: &Name, revision: u64) -> bool {
        if self.held.get(document).is_some_and(|held| *held >= revision) || revision == 0 {
            return false;
        }
        if self
            .pulling
            .get(document)
            .is_some_and(|(pulled, retry)| *pulled >= revision && now < *retry)
        {
            return false;
        }
        if self.pulling.len() >= DOCUMENT_LIMIT && !self.pulling.contains_key(document) {
            return false;
        }
        self.pulling.insert(document.clone(), (revision, now + PULL_RETRY));
        true
    }

    /// Returns all held revisions, by name.
    pub(crate) fn list(&self) -> Vec<(Name, u64)> {
        let mut list: Vec<(Name, u64)> =
            self.held.iter().map(|(name, revision)| (name.clone(), *revision)).collect();
        list.sort();
        list
    }
}
