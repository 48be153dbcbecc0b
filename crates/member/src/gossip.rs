//! State that heartbeats carry to other nodes: recent member changes and document revisions.

use std::collections::VecDeque;

use model::{FastMap, Micros, Name};

/// Most changes in one heartbeat.
pub(crate) const MAX_CHANGES: usize = 8;

/// Heartbeats to each contact that repeat a forwarded change, in case it was lost.
const CHANGE_REPEATS: u8 = 2;

/// Shortest time between two rounds of forwarded changes, which bounds the messages of a node while
/// many members change at once.
const FORWARD_INTERVAL: Micros = Micros::from_millis(100);

/// Time after which a document is pulled again if it has not arrived.
const PULL_RETRY_INTERVAL: Micros = Micros::from_secs(1);

/// Most documents whose revisions a node tracks. Heartbeats carry all of them.
const MAX_DOCUMENTS: usize = 32;

/// Member changes that have yet to be forwarded to the contacts, and those to repeat.
#[derive(Debug, Default)]
pub(crate) struct ChangeQueue {
    unsent: VecDeque<Name>,
    /// Forwarded changes, newest first, with the number of repeats left.
    repeating: VecDeque<(Name, u8)>,
    /// When the next round of forwarded changes is due; `None` if there is nothing to forward.
    due: Option<Micros>,
    last: Option<Micros>,
}

impl ChangeQueue {
    /// Adds a member whose entry changed.
    pub(crate) fn push(&mut self, now: Micros, name: &Name) {
        if !self.unsent.contains(name) {
            self.unsent.push_back(name.clone());
        }
        self.request(now);
    }

    /// Requests a round of heartbeats, also without a change.
    pub(crate) fn request(&mut self, now: Micros) {
        let earliest = self.last.map_or(now, |last| (last + FORWARD_INTERVAL).max(now));
        self.due.get_or_insert(earliest);
    }

    pub(crate) fn due(&self) -> Option<Micros> {
        self.due
    }

    /// Takes the changes of one round of forwarded heartbeats.
    pub(crate) fn take_round(&mut self, now: Micros) -> Vec<Name> {
        let count = self.unsent.len().min(MAX_CHANGES);
        let round: Vec<Name> = self.unsent.drain(..count).collect();
        for name in &round {
            self.repeating.retain(|(other, _)| other != name);
            self.repeating.push_front((name.clone(), CHANGE_REPEATS));
        }
        self.last = Some(now);
        self.due = (!self.unsent.is_empty()).then(|| now + FORWARD_INTERVAL);
        round
    }

    /// Returns the newest changes, for an answer.
    pub(crate) fn newest(&self) -> impl Iterator<Item = &Name> {
        self.unsent.iter().chain(self.repeating.iter().map(|(name, _)| name)).take(MAX_CHANGES)
    }

    /// Takes the changes to repeat in one round of regular heartbeats.
    pub(crate) fn take_repeats(&mut self) -> Vec<Name> {
        let mut repeats = Vec::new();
        for (name, left) in
            self.repeating.iter_mut().filter(|(_, left)| *left > 0).take(MAX_CHANGES)
        {
            *left -= 1;
            repeats.push(name.clone());
        }
        self.repeating.retain(|(_, left)| *left > 0);
        repeats
    }
}

/// Revisions that this node holds and pulls.
#[derive(Debug, Default)]
pub(crate) struct RevisionTable {
    held: FastMap<Name, u64>,
    /// Revision that is being pulled and when to retry.
    pulling: FastMap<Name, (u64, Micros)>,
}

impl RevisionTable {
    /// Records a revision that this node holds; returns whether it is newer than the one before.
    pub(crate) fn record_held(&mut self, document: &Name, revision: u64) -> bool {
        if self.held.len() >= MAX_DOCUMENTS && !self.held.contains_key(document) {
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

    /// Returns whether to pull a document of which a peer holds `revision`.
    pub(crate) fn should_pull(&mut self, now: Micros, document: &Name, revision: u64) -> bool {
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
        if self.pulling.len() >= MAX_DOCUMENTS && !self.pulling.contains_key(document) {
            return false;
        }
        self.pulling.insert(document.clone(), (revision, now + PULL_RETRY_INTERVAL));
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
