//! Evidence that a primary leads, and how old data is.
//!
//! Every change of primary fences *all* replicas that count before it names a new one. So a report of one
//! replica, asked for at time `t`, of term `T` and without a fence above `T`, proves that no change beyond
//! `T` had begun at `t`: all commits acknowledged before `t` are in the log of the primary of `T`. With one
//! synchronous replica an acknowledged commit proves the same for the time at which it was sent, because a
//! fenced replica does not receive.
//!
//! Reports take a slot of a database each. So a node also holds a *read permit*: a lease in the store, renewed
//! several times a second. A change of primary is announced first, and waits until each node has acknowledged
//! it or cannot hold a permit any more. While its permit holds and no change is announced, what a report
//! proved once stays true.
//!
//! A position that the primary of `T` reported for a request sent at `u`, with such a proof for `t >= u`,
//! covers every commit acknowledged before `u`. A replica that holds the position can serve reads whose
//! accepted age reaches back to `u`.

use std::collections::VecDeque;

use model::{DatabaseRole, FastMap, Micros, Name, Term};

use crate::backend::{DatabaseReport, LogPoint};

/// Positions of the primary that are kept; at one each [`SAMPLE_INTERVAL`] they reach back 4 s, beyond the
/// accepted ages of the configurations.
const SAMPLE_LIMIT: usize = 40;

/// Least time between two positions that are kept.
const SAMPLE_INTERVAL: Micros = Micros::from_millis(100);

/// A position and the time before which every acknowledged commit is covered by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaderPosition {
    since: Micros,
    point: LogPoint,
}

/// What a node knows about the leadership of one cluster.
///
/// ```
/// use gate::{DatabaseReport, DatabaseRole, LeadershipProof, LogPoint};
/// use model::{Micros, Name, Term};
///
/// let (primary, replica) = (Name::from("a"), Name::from("b"));
/// let point = LogPoint { term: Term(3), number: 7 };
/// let report = |role| DatabaseReport {
///     role, term: Term(3), received: point, fence: Term(0), lag: Micros::ZERO, connections: 1,
/// };
/// let mut proof = LeadershipProof::default();
/// proof.report(&primary, Micros(10), &report(DatabaseRole::Primary));
/// assert!(!proof.proves(&primary, Micros(5)));
/// proof.report(&replica, Micros(20), &report(DatabaseRole::Replica));
/// assert!(proof.proves(&primary, Micros(20)));
/// assert_eq!(proof.proved_position(Micros(10)), Some(point));
/// ```
#[derive(Debug, Default)]
pub struct LeadershipProof {
    term: Term,
    leader: Option<Name>,
    /// The database that last reported to lead `term`.
    last_leader: Option<Name>,
    /// That database has become a replica, so the term is over.
    term_ended: bool,
    /// No change beyond `term` had begun at this time.
    confirmed: Option<Micros>,
    /// As `confirmed`, by a report or a commit and not by a permit.
    directly_confirmed: Option<Micros>,
    /// Replicas with a fence above `term`, and since when.
    fenced: FastMap<Name, Micros>,
    /// Highest position that a replica held or that a commit was acknowledged at.
    known_log_end: LogPoint,
    unproved: VecDeque<LeaderPosition>,
    proved: VecDeque<LeaderPosition>,
}

impl LeadershipProof {
    /// Returns the highest term seen.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the database that reported to lead the highest term.
    pub fn leader(&self) -> Option<&Name> {
        self.leader.as_ref()
    }

    /// Returns since when a replica has had a fence above the term.
    pub fn fenced_since(&self) -> Option<Micros> {
        self.fenced.values().min().copied()
    }

    /// Returns the replicas with a fence above the term.
    pub fn fenced_replicas(&self) -> Vec<Name> {
        self.fenced.keys().cloned().collect()
    }

    /// Takes in a report that was asked for at `asked`. Returns true if the leader changed.
    pub fn report(&mut self, database: &Name, asked: Micros, report: &DatabaseReport) -> bool {
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
            self.known_log_end = LogPoint::default();
            self.unproved.clear();
        }
        match report.role {
            DatabaseRole::Primary => {
                if before.0 != self.term {
                    // What was acknowledged before is in the log with which it began.
                    self.known_log_end = report.received;
                }
                self.leader = Some(database.clone());
                self.last_leader = Some(database.clone());
                self.term_ended = false;
                self.observe_leader_position(database, asked, report.received);
            }
            DatabaseRole::Replica => {
                if self.last_leader.as_ref() == Some(database) {
                    self.leader = None;
                    self.term_ended = true;
                    self.unproved.clear();
                }
                if report.fence > self.term {
                    self.fenced.entry(database.clone()).or_insert(asked);
                } else {
                    self.fenced.remove(database);
                    self.confirm_directly(asked);
                }
            }
        }
        before != (self.term, self.leader.clone())
    }

    /// Takes in the end of the log that a database sent in answer to a command sent at `sent`.
    pub fn observe_leader_position(&mut self, database: &Name, sent: Micros, point: LogPoint) {
        if self.leader.as_ref() != Some(database) {
            return;
        }
        let last = self.unproved.back().or(self.proved.back());
        if last.is_some_and(|last| sent < last.since + SAMPLE_INTERVAL) {
            return;
        }
        self.unproved.push_back(LeaderPosition { since: sent, point });
        if self.unproved.len() > SAMPLE_LIMIT {
            self.unproved.pop_front();
        }
        self.update_proved();
    }

    /// Takes in a position that a replica holds. A commit may have been acknowledged because of it.
    pub fn observe_replica_position(&mut self, database: &Name, point: LogPoint) {
        if self.leader.as_ref() != Some(database) {
            self.known_log_end = self.known_log_end.max(point);
        }
    }

    /// Returns the position that a new primary has to hold so that no acknowledged commit is lost, as far
    /// as this node knows.
    pub fn known_log_end(&self) -> LogPoint {
        self.known_log_end
    }

    /// Takes in a commit at `point`, sent at `sent`, that the leader acknowledged with a synchronous replica.
    pub fn commit_acknowledged(&mut self, database: &Name, sent: Micros, point: Option<LogPoint>) {
        if self.leader.as_ref() == Some(database) {
            self.known_log_end = self.known_log_end.max(point.unwrap_or_default());
            self.confirm_directly(sent);
        }
    }

    /// Takes in that the permit, held since `acquired`, is valid now and no change is announced.
    pub fn read_lease_valid(&mut self, acquired: Micros, now: Micros) {
        if self.leader.is_some() && self.directly_confirmed >= Some(acquired) {
            self.confirm(now);
        }
    }

    /// Tells whether a permit held since `acquired` needs a report before it proves anything.
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

    /// Moves the positions that the newest proof covers.
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

    /// Tells whether the database's log holds every commit acknowledged before `since`.
    pub fn proves(&self, database: &Name, since: Micros) -> bool {
        self.leader.as_ref() == Some(database) && self.confirmed >= Some(since)
    }

    /// Returns the time up to which the leader is proved.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed
    }

    /// Returns the oldest proved position that covers every commit acknowledged before `since`. The
    /// oldest one is met by the most replicas.
    pub fn proved_position(&self, since: Micros) -> Option<LogPoint> {
        self.proved.iter().find(|sample| sample.since >= since).map(|sample| sample.point)
    }

    /// Forgets the leader, as after an error that only a replaced primary sends.
    pub fn forget_leader(&mut self, database: &Name) {
        self.fenced.remove(database);
        if self.leader.as_ref() == Some(database) {
            self.leader = None;
        }
    }
}
