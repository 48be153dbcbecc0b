//! Proof that a primary leads, and of the age of data.
//!
//! A failover fences every replica that counts before it names a new primary. A report that was
//! requested from one replica at time `t`, that has term `T` and no fence above `T`, therefore
//! proves that no failover beyond `T` had begun at `t`: all commits acknowledged before `t` are in
//! the log of the primary of `T`. With one synchronous replica, an acknowledged commit proves the
//! same for the time at which it was sent, because a fenced replica does not receive the log.
//!
//! Each report takes a slot of a database. To need fewer of them, a node also holds a *read lease*
//! in the store, renewed several times a second. A failover is announced first, and waits until
//! each node has acknowledged the announcement or can no longer hold a read lease. While the read
//! lease is valid and no failover is announced, what a report has proved stays true.
//!
//! A position that the primary of `T` reported for a request sent at `u`, with such a proof for `t
//! >= u`, covers every commit acknowledged before `u`. A replica that holds the position can serve
//! reads whose accepted age reaches back to `u`.

use std::collections::VecDeque;

use model::{DatabaseRole, FastMap, Micros, Name, Term};

use crate::backend::{DatabaseReport, TermPosition};

/// Number of positions of the primary that are kept. At one per [`SAMPLE_INTERVAL`] they reach back
/// 4 s, which is more than the configured data ages.
const SAMPLE_LIMIT: usize = 40;

/// Minimum time between two kept positions.
const SAMPLE_INTERVAL: Micros = Micros::from_millis(100);

/// A log position that covers every commit acknowledged before `since`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaderPosition {
    since: Micros,
    position: TermPosition,
}

/// What showed the end of a cluster's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogEvidence {
    /// Nothing is known about the term yet.
    #[default]
    None,
    /// A primary that began a term reported it.
    TermStart,
    /// A replica holds it.
    Replica,
    /// A commit was acknowledged there.
    Commit,
}

impl LogEvidence {
    /// Returns the name used in the log.
    pub fn name(self) -> &'static str {
        match self {
            LogEvidence::None => "none",
            LogEvidence::TermStart => "term start",
            LogEvidence::Replica => "replica",
            LogEvidence::Commit => "commit",
        }
    }
}

/// What a node knows about the leadership of one cluster.
///
/// ```
/// use gate::{DatabaseReport, DatabaseRole, LeadershipProof, TermPosition};
/// use model::{Micros, Name, Term};
///
/// let (primary, replica) = (Name::from("a"), Name::from("b"));
/// let position = TermPosition { term: Term(3), position: 7 };
/// let report = |role| DatabaseReport {
///     role, term: Term(3), received: position, fence: Term(0), lag: Micros::ZERO, connections: 1,
/// };
/// let mut proof = LeadershipProof::default();
/// proof.observe_report(&primary, Micros(10), &report(DatabaseRole::Primary));
/// assert!(!proof.proves(&primary, Micros(5)));
/// proof.observe_report(&replica, Micros(20), &report(DatabaseRole::Replica));
/// assert!(proof.proves(&primary, Micros(20)));
/// assert_eq!(proof.proved_position(Micros(10)), Some(position));
/// ```
#[derive(Debug, Default)]
pub struct LeadershipProof {
    term: Term,
    leader: Option<Name>,
    /// The database that last reported to be the primary of `term`.
    last_leader: Option<Name>,
    /// `last_leader` has become a replica, so `term` has ended.
    term_ended: bool,
    /// Latest time at which no failover beyond `term` had begun.
    confirmed: Option<Micros>,
    /// As `confirmed`, but only by reports and commits, not by a read lease.
    directly_confirmed: Option<Micros>,
    /// Replicas with a fence above `term`, and since when.
    fenced: FastMap<Name, Micros>,
    /// Highest position that a replica held or at which a commit was acknowledged.
    known_log_end: TermPosition,
    /// What showed `known_log_end`.
    log_evidence: LogEvidence,
    /// Latest time for which `known_log_end` covers every commit acknowledged before, by any node.
    log_end_known_at: Option<Micros>,
    /// When the newest acknowledged commit was sent, and its position.
    last_commit: Option<(Micros, TermPosition)>,
    unproved: VecDeque<LeaderPosition>,
    proved: VecDeque<LeaderPosition>,
}

impl LeadershipProof {
    /// Returns the highest term seen.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the database that reported to be the primary of the highest term.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Returns since when at least one replica has had a fence above the term.
    pub fn fenced_since(&self) -> Option<Micros> {
        self.fenced.values().min().copied()
    }

    /// Returns the replicas with a fence above the term.
    pub fn fenced_replicas(&self) -> Vec<Name> {
        self.fenced.keys().cloned().collect()
    }

    /// Processes a report that was requested at `requested_at`. Returns true if the leader changed.
    pub fn observe_report(
        &mut self,
        database: &Name,
        requested_at: Micros,
        report: &DatabaseReport,
    ) -> bool {
        if report.term < self.term {
            return false;
        }
        if report.role == DatabaseRole::Replica {
            self.observe_replica_position(database, report.received);
        }
        let before = (self.term, self.leader.clone());
        if report.term > self.term {
            self.term = report.term;
            self.leader = None;
            self.last_leader = None;
            self.term_ended = false;
            self.confirmed = None;
            self.directly_confirmed = None;
            self.fenced.clear();
            // Replicas roll back what the new primary lacks.
            self.known_log_end = TermPosition::default();
            self.log_evidence = LogEvidence::None;
            self.log_end_known_at = None;
            self.unproved.clear();
        }
        match report.role {
            DatabaseRole::Primary => {
                if before.0 != self.term {
                    // All commits acknowledged before are in the log with which the new primary
                    // began.
                    self.known_log_end = report.received;
                    self.log_evidence = LogEvidence::TermStart;
                    self.log_end_known_at = Some(requested_at);
                }
                self.leader = Some(database.clone());
                self.last_leader = Some(database.clone());
                self.term_ended = false;
                self.observe_leader_position(database, requested_at, report.received);
            }
            DatabaseRole::Replica => {
                if self.last_leader.as_ref() == Some(database) {
                    self.leader = None;
                    self.term_ended = true;
                    self.unproved.clear();
                }
                if report.fence > self.term {
                    self.fenced.entry(database.clone()).or_insert(requested_at);
                } else {
                    self.fenced.remove(database);
                    self.confirm_directly(requested_at);
                }
            }
        }
        before != (self.term, self.leader.clone())
    }

    /// Records the log position that a database sent in answer to a command sent at `sent`.
    pub fn observe_leader_position(
        &mut self,
        database: &Name,
        sent: Micros,
        position: TermPosition,
    ) {
        if self.leader.as_ref() != Some(database) {
            return;
        }
        let last = self.unproved.back().or(self.proved.back());
        if last.is_some_and(|last| sent < last.since + SAMPLE_INTERVAL) {
            return;
        }
        self.unproved.push_back(LeaderPosition { since: sent, position });
        if self.unproved.len() > SAMPLE_LIMIT {
            self.unproved.pop_front();
        }
        self.update_proved();
    }

    /// Records a position that a replica holds. A commit may have been acknowledged because of it.
    pub fn observe_replica_position(&mut self, database: &Name, position: TermPosition) {
        if self.leader.as_ref() != Some(database) {
            self.extend_known_log(position, LogEvidence::Replica);
        }
    }

    fn extend_known_log(&mut self, position: TermPosition, evidence: LogEvidence) {
        if position > self.known_log_end {
            self.known_log_end = position;
            self.log_evidence = evidence;
        }
    }

    /// Returns the position that a new primary must hold so that no acknowledged commit is lost, as
    /// far as this node knows.
    pub fn known_log_end(&self) -> TermPosition {
        self.known_log_end
    }

    /// Returns the latest time for which the known end of the log covers every commit that any node
    /// acknowledged before: when the newest acknowledged commit, or the first report of the primary,
    /// was sent. Later commits have higher positions.
    pub fn log_end_known_at(&self) -> Option<Micros> {
        self.log_end_known_at
    }

    /// Returns when the newest acknowledged commit was sent, and its position.
    pub fn last_commit(&self) -> Option<(Micros, TermPosition)> {
        self.last_commit
    }

    /// Returns what showed the known end of the log.
    pub fn log_evidence(&self) -> LogEvidence {
        self.log_evidence
    }

    /// Records a commit at `position`, sent at `sent`, that the leader acknowledged with a
    /// synchronous replica.
    pub fn observe_commit(
        &mut self,
        database: &Name,
        sent: Micros,
        position: Option<TermPosition>,
    ) {
        if self.leader.as_ref() == Some(database) {
            let position = position.unwrap_or_default();
            self.extend_known_log(position, LogEvidence::Commit);
            self.log_end_known_at = self.log_end_known_at.max(Some(sent));
            self.last_commit = self.last_commit.max(Some((sent, position)));
            self.confirm_directly(sent);
        }
    }

    /// Extends the proof to `now`: the read lease, held since `acquired`, is valid and no failover
    /// is announced.
    pub fn extend_by_read_lease(&mut self, acquired: Micros, now: Micros) {
        if self.leader.is_some() && self.directly_confirmed >= Some(acquired) {
            self.confirm(now);
        }
    }

    /// Returns true if a read lease held since `acquired` proves nothing until a report arrives.
    pub fn needs_direct_proof(&self, acquired: Micros) -> bool {
        self.directly_confirmed < Some(acquired)
    }

    fn confirm_directly(&mut self, at: Micros) {
        if self.term_ended {
            return;
        }
        self.directly_confirmed = self.directly_confirmed.max(Some(at));
        self.confirm(at);
    }

    fn confirm(&mut self, at: Micros) {
        self.confirmed = self.confirmed.max(Some(at));
        self.update_proved();
    }

    /// Moves the positions that the newest proof covers to the proved ones.
    fn update_proved(&mut self) {
        while let Some(sample) = self.unproved.front().copied()
            && self.confirmed >= Some(sample.since)
        {
            self.unproved.pop_front();
            self.proved.push_back(sample);
            if self.proved.len() > SAMPLE_LIMIT {
                self.proved.pop_front();
            }
        }
    }

    /// Returns true if the database's log holds every commit acknowledged before `since`.
    pub fn proves(&self, database: &Name, since: Micros) -> bool {
        self.leader.as_ref() == Some(database) && self.confirmed >= Some(since)
    }

    /// Returns the time up to which the leader is proved.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed
    }

    /// Returns the oldest proved position that covers every commit acknowledged before `since`. The
    /// oldest one is met by the most replicas.
    pub fn proved_position(&self, since: Micros) -> Option<TermPosition> {
        self.proved.iter().find(|sample| sample.since >= since).map(|sample| sample.position)
    }

    /// Forgets a database's leadership and fence, for example after an error that only a replaced
    /// primary sends.
    pub fn forget_leader(&mut self, database: &Name) {
        self.fenced.remove(database);
        if self.leader.as_ref() == Some(database) {
            self.leader = None;
        }
    }
}
