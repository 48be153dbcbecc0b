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

/// Number of the latest terms whose primaries are remembered. Positions of earlier terms no longer
/// count.
const LED_TERMS_KEPT: u64 = 8;

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
    /// Nothing has shown it yet.
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
    /// Set while reports of replicas prove nothing: the primary of `term` may have been demoted by a
    /// failover that did not fence all of them. Ended by a report of the primary requested at this time
    /// or later.
    leader_report_needed: Option<Micros>,
    /// Latest time at which no failover beyond `term` had begun.
    confirmed: Option<Micros>,
    /// As `confirmed`, but only by reports and commits, not by a read lease.
    directly_confirmed: Option<Micros>,
    /// Replicas with a fence above `term`, and since when.
    fenced: FastMap<Name, Micros>,
    /// The primary of `term` has reported, so the log with which `term` began is known.
    primary_reported: bool,
    /// Highest position that a replica held, at which a commit was acknowledged, or with which
    /// `term` began.
    required_log_end: TermPosition,
    /// What showed `required_log_end`.
    log_evidence: LogEvidence,
    /// Latest time for which `required_log_end` covers every commit acknowledged before, by any
    /// node.
    log_end_known_at: Option<Micros>,
    /// Highest position that only a database that led the position's term has shown: in the first
    /// report of the primary of `term`, or later as a replica.
    unconfirmed_log_end: TermPosition,
    /// Highest position that answers of `leader` have shown; not that of its reports, which may
    /// count commits that no replica has received yet.
    applied: Option<TermPosition>,
    /// When each database was last seen to have started again. Reports requested before are of a
    /// former process.
    restarts: FastMap<Name, Micros>,
    /// Last term in which each database reported to be the primary. It may hold commits of that
    /// term that no replica has received.
    led_terms: FastMap<Name, Term>,
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

    /// Returns the primary of the highest term that has become a replica, so that the term has ended.
    pub(crate) fn ended_leader(&self) -> Option<&Name> {
        self.last_leader.as_ref().filter(|_| self.term_ended)
    }

    /// Lets reports of replicas prove nothing until the primary has reported that it led at `at` or later.
    pub fn require_leader_report(&mut self, at: Micros) {
        self.leader_report_needed = Some(at);
    }

    /// Returns true if reports of replicas prove nothing until the primary reports.
    pub fn needs_leader_report(&self) -> bool {
        self.leader_report_needed.is_some()
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
        let former_process = self.restarts.get(database).is_some_and(|seen| requested_at < *seen);
        if report.term < self.term || former_process {
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
            self.leader_report_needed = None;
            self.confirmed = None;
            self.directly_confirmed = None;
            self.fenced.clear();
            // The ends of the log stay: the new primary began with all that was acknowledged.
            self.primary_reported = false;
            self.applied = None;
            self.unproved.clear();
        }
        match report.role {
            DatabaseRole::Primary => {
                if !self.primary_reported {
                    self.observe_term_start(requested_at, report.received);
                }
                self.led_terms.retain(|_, led| led.0 + LED_TERMS_KEPT > report.term.0);
                self.led_terms.insert(database.clone(), report.term);
                self.leader = Some(database.clone());
                self.last_leader = Some(database.clone());
                self.term_ended = false;
                self.leader_report_needed.take_if(|at| requested_at >= *at);
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
                    if self.leader_report_needed.is_none() {
                        self.confirm_directly(requested_at);
                    }
                }
            }
        }
        before != (self.term, self.leader.clone())
    }

    /// Records the position that a database had applied when it answered a command sent at `sent`.
    pub fn observe_applied_position(
        &mut self,
        database: &Name,
        sent: Micros,
        position: TermPosition,
    ) {
        if self.leader.as_ref() == Some(database) {
            self.applied = self.applied.max(Some(position));
        }
        self.observe_leader_position(database, sent, position);
    }

    /// Returns the highest position that answers of the leader have shown, if the database leads.
    pub fn applied_position(&self, database: &Name) -> Option<TermPosition> {
        self.applied.filter(|_| self.leader.as_ref() == Some(database))
    }

    /// Records the position of the leader's log, from a report or an answer to a command sent at
    /// `sent`.
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

    /// Processes the position in the first report of the primary of `term`. Replicas roll back what
    /// its log lacks, so that positions of earlier terms require nothing beyond it.
    fn observe_term_start(&mut self, requested_at: Micros, received: TermPosition) {
        self.primary_reported = true;
        self.unconfirmed_log_end = received;
        if self.required_log_end.term >= self.term {
            return;
        }
        if received.term < self.term {
            // No commit of `term` yet: this is the log with which it began, and it was at a replica.
            self.required_log_end = received;
            self.log_evidence = LogEvidence::TermStart;
            self.log_end_known_at = Some(requested_at);
        } else {
            // Numbers go on from term to term, so the log with which `term` began ends below this
            // one.
            let last = received.position.saturating_sub(1);
            self.required_log_end.position = self.required_log_end.position.min(last);
        }
    }

    /// Records a position that a replica holds. A commit may have been acknowledged because of it,
    /// unless it is a commit of the database's own time as the primary.
    pub fn observe_replica_position(&mut self, database: &Name, position: TermPosition) {
        if self.leader.as_ref() == Some(database) || !self.is_relevant(position) {
            return;
        }
        if self.led_terms.get(database) == Some(&position.term) {
            self.unconfirmed_log_end = self.unconfirmed_log_end.max(position);
        } else {
            self.extend_required_log(position, LogEvidence::Replica);
        }
    }

    fn extend_required_log(&mut self, position: TermPosition, evidence: LogEvidence) {
        if position > self.required_log_end {
            self.required_log_end = position;
            self.log_evidence = evidence;
        }
    }

    /// Returns the latest time for which the required end of the log covers every commit that any
    /// node acknowledged before: when the newest acknowledged commit, or a report of a primary that
    /// had no commit of its term yet, was requested. Later commits have higher positions.
    pub fn log_end_known_at(&self) -> Option<Micros> {
        self.log_end_known_at
    }

    /// Returns what showed the required end of the log.
    pub fn log_evidence(&self) -> LogEvidence {
        self.log_evidence
    }

    /// Returns false for a position of an earlier term that is in the log with which `term` began
    /// or is rolled back, because that log is known.
    fn is_relevant(&self, position: TermPosition) -> bool {
        position.term >= self.term || !self.primary_reported
    }

    /// Returns the position that a new primary must hold so that no acknowledged commit is lost, as
    /// far as this node knows: a replica held it, or a commit was acknowledged at it.
    pub fn required_log_end(&self) -> TermPosition {
        self.required_log_end
    }

    /// Returns the highest position at which a commit may have been acknowledged. What is beyond
    /// [`LeadershipProof::required_log_end`] may never have reached a replica, and may be gone for
    /// good with the database that showed it.
    pub fn known_log_end(&self) -> TermPosition {
        self.required_log_end.max(self.unconfirmed_log_end)
    }

    /// Records a commit at `position`, sent at `sent`, that was acknowledged with a synchronous
    /// replica. It proves the leadership of the leader only. It counts for the end of the log as
    /// well if the database is no longer known to lead, or is another node that passed it on.
    pub fn observe_commit(
        &mut self,
        database: &Name,
        sent: Micros,
        position: Option<TermPosition>,
    ) {
        if let Some(position) = position.filter(|position| self.is_relevant(*position)) {
            self.extend_required_log(position, LogEvidence::Commit);
            self.log_end_known_at = self.log_end_known_at.max(Some(sent));
        }
        if self.leader.as_ref() == Some(database) {
            self.leader_report_needed.take_if(|at| sent >= *at);
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

    /// Returns true if the leader may lack an acknowledged commit although it was proved earlier: it
    /// holds those of its own and of earlier terms only. A proof for a time after the commit shows that
    /// it holds the commit.
    ///
    /// ```
    /// use gate::{LeadershipProof, TermPosition};
    /// use model::Term;
    ///
    /// let proof = LeadershipProof::default();
    /// assert!(proof.may_lack(TermPosition { term: Term(1), position: 7 }));
    /// assert!(!proof.may_lack(TermPosition { term: proof.term(), position: 7 }));
    /// ```
    pub fn may_lack(&self, commit: TermPosition) -> bool {
        commit.term > self.term
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

    /// Returns the newest proved position, if it covers every commit acknowledged before a time after
    /// `since`.
    pub fn newest_proved_position(&self, since: Micros) -> Option<TermPosition> {
        self.proved.back().filter(|sample| sample.since > since).map(|sample| sample.position)
    }

    /// Forgets a database's leadership and fence, for example after an error that only a replaced
    /// primary sends.
    pub fn forget_leader(&mut self, database: &Name) {
        self.fenced.remove(database);
        if self.leader.as_ref() == Some(database) {
            self.leader = None;
            self.applied = None;
        }
    }

    /// Forgets the leadership of a database that was seen at `seen_at` to have started again: it
    /// may have lost its log, and the proofs of its term do not show that. Returns true if it led.
    pub fn observe_restart(&mut self, database: &Name, seen_at: Micros) -> bool {
        let led = self.leader.as_ref() == Some(database);
        self.forget_leader(database);
        self.restarts.insert(database.clone(), seen_at);
        led
    }

    /// Forgets a database that was removed.
    pub fn remove_database(&mut self, database: &Name) {
        self.forget_leader(database);
        self.restarts.remove(database);
    }
}
