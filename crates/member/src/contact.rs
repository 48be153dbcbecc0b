//! Heartbeats to other nodes and their answers.

use model::{Micros, Name};
use std::collections::BTreeMap;

/// Time after which an unanswered heartbeat is sent a second time within its interval. With a loss of
/// 20% in each direction, this lowers the share of contacts that miss three answers in a row from 5%
/// to 0.2%.
pub(crate) const RESEND_TIMEOUT: Micros = Micros::from_millis(400);

/// Delay of this process from which an expired probe no longer proves a failure.
const MAX_PROBE_DELAY: Micros = Micros::from_millis(500);

/// State of the heartbeats to one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct ContactState {
    /// When the oldest unanswered heartbeat was sent.
    pub(crate) unanswered_since: Option<Micros>,
    pub(crate) resent: bool,
    /// Intervals in a row without an answer.
    pub(crate) missed: u32,
    pub(crate) answered_at: Option<Micros>,
    /// Time by which an answer refutes a suspicion that another node reported.
    pub(crate) probe_deadline: Option<Micros>,
    /// When a heartbeat was last sent.
    pub(crate) sent_at: Micros,
    /// When a heartbeat of the node last arrived.
    pub(crate) last_heartbeat_at: Option<Micros>,
    /// Since when the node's digest differs from this node's.
    pub(crate) differs_since: Option<Micros>,
}

/// Nodes that this node sends heartbeats to, or sent them recently.
#[derive(Debug, Default)]
pub(crate) struct ContactTable {
    states: BTreeMap<Name, ContactState>,
}

impl ContactTable {
    pub(crate) fn entry(&mut self, name: &Name) -> &mut ContactState {
        self.states.entry(name.clone()).or_default()
    }

    pub(crate) fn remove(&mut self, name: &str) {
        self.states.remove(name);
    }

    pub(crate) fn missed(&self, name: &str) -> u32 {
        self.states.get(name).map_or(0, |state| state.missed)
    }

    /// Returns whether the node answered within `span`.
    pub(crate) fn answered_within(&self, name: &str, now: Micros, span: Micros) -> bool {
        let answered = self.states.get(name).and_then(|state| state.answered_at);
        answered.is_some_and(|at| now.saturating_sub(at) <= span)
    }

    /// Returns whether the node answered its last heartbeat, so that the next one may be skipped.
    pub(crate) fn answered_last(&self, name: &str) -> bool {
        let settled =
            |state: &ContactState| state.unanswered_since.is_none() && state.answered_at.is_some();
        self.states.get(name).is_some_and(settled)
    }

    pub(crate) fn record_answer(&mut self, name: &Name, now: Micros) {
        let state = self.entry(name);
        state.unanswered_since = None;
        state.resent = false;
        state.missed = 0;
        state.probe_deadline = None;
        state.answered_at = Some(now);
    }

    /// Begins an interval and counts a miss if the last heartbeat is unanswered. Returns the number of
    /// misses in a row.
    pub(crate) fn begin_interval(&mut self, name: &Name, now: Micros, interval: Micros) -> u32 {
        let state = self.entry(name);
        // A heartbeat of less than half an interval ago may still be answered.
        let overdue = |since: Micros| now.saturating_sub(since).0 >= interval.0 / 2;
        if state.unanswered_since.is_some_and(overdue) {
            state.missed = state.missed.saturating_add(1);
        }
        state.unanswered_since = Some(now);
        state.sent_at = now;
        state.resent = false;
        state.missed
    }

    /// Returns the nodes whose heartbeat must be sent a second time, and marks them.
    pub(crate) fn take_resends(&mut self, now: Micros) -> Vec<Name> {
        let mut names = Vec::new();
        for (name, state) in &mut self.states {
            if !state.resent
                && state.unanswered_since.is_some_and(|since| since + RESEND_TIMEOUT <= now)
            {
                state.resent = true;
                names.push(name.clone());
            }
        }
        names
    }

    /// Returns the nodes that did not refute a suspicion in time, and ends their probes.
    pub(crate) fn take_failed_probes(&mut self, now: Micros) -> Vec<Name> {
        let mut names = Vec::new();
        for (name, state) in &mut self.states {
            let Some(deadline) = state.probe_deadline.filter(|deadline| *deadline <= now) else {
                continue;
            };
            state.probe_deadline = None;
            // After a pause of this process the answer may still be unread.
            if now.saturating_sub(deadline) < MAX_PROBE_DELAY {
                names.push(name.clone());
            }
        }
        names
    }

    /// Drops the nodes that `keep` rejects.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Name, &ContactState) -> bool) {
        self.states.retain(|name, state| keep(name, state));
    }

    /// Returns when the next resend or probe is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        let resends = self.states.values().filter(|state| !state.resent);
        let resends = resends.filter_map(|state| Some(state.unanswered_since? + RESEND_TIMEOUT));
        let probes = self.states.values().filter_map(|state| state.probe_deadline);
        resends.chain(probes).min()
    }
}
