//! Failover and switchover of one cluster: the steps of a promotion.
//!
//! # Steps and why each is safe
//!
//! Safety rests on two rules alone. **Fence majority:** a database is promoted in term T only after a
//! majority accepted the fence of T from this supervisor. A database accepts a fence only above its own
//! term, so it accepts T from one supervisor; two majorities share a database; so at most one supervisor
//! passes this step in T. **Single order:** that supervisor orders the promotion of only one database
//! in T. If the answer is lost it may repeat the same order but never give another one in T. So T has
//! at most one leader. All other steps only save time and may fail or be skipped.
//!
//! | step | invariant | on failure |
//! | --- | --- | --- |
//! | `waiting` | Nothing was sent. Supervisor k waits k x 3 s. | Suspicion cleared: idle. |
//! | `views` | Nothing was changed. A confirmed round younger than 1 s stops the promotion until it is older, so one owner's bad connection cannot replace a working primary. | No answer counts as no objection. |
//! | `record-read`, `record-write` | The target term is above every term seen. The record only orders supervisors. | No answer from the platform for 1.5 s: continue. Conflict: read again. Another supervisor's record at or above the target: wait for its promotion. Own record at the target: the write was applied and its answer lost, continue. |
//! | `other` | Another supervisor holds the record; it has 3 s for its promotion. | Primary still suspected after that: start over with a higher term. This also resumes a promotion that was left incomplete. |
//! | `fencing` | Each accepted fence stops the old primary's log at one more database. | A refusal shows the higher term; without a majority in 0.5 s: back off, then a higher term. |
//! | `promoting` | A majority is fenced, so no commit of a lower term is acknowledged any more. The fenced database with the highest (log term, received) holds every durable commit: its majority shares a database with the fence majority. | Repeat the same order; then a higher term with a new fence majority. |
//! | `backoff` | Random, so that two supervisors do not collide again. | |
//!
//! From `fencing` on, a cleared suspicion does not stop the promotion: the term of some databases has
//! already been raised, and a fence majority without a leader would be an outage. Before `fencing`, it
//! stops the promotion.
//!
//! A fence answer counts if it was accepted and its report shows the target term. A refusal at the
//! target term does not count, even though an earlier answer to this supervisor may have been lost,
//! because the fence may belong to another supervisor. A database may accept a fence again from the
//! supervisor that holds it, so the driver must send fences under a name that no earlier process used:
//! that one may have ordered a promotion in the same term.
//!
//! # Changed list of databases
//!
//! A majority of a new list may consist of databases that lack durable commits, because a database that
//! had received them was removed. So a fence majority is also one of each earlier list, among the
//! databases that are still listed, until the cluster monitor has shown that a majority of the new list
//! holds the leader's log.
//!
//! # Switchover
//!
//! When the leader's database is leaving, the promotion starts at `record-read`: the leader still
//! leads, so the other owners would object. It starts only while a database that is not leaving
//! reports the leader's whole log, because fencing a leader that no database can replace is a needless
//! outage. Statements that were in progress may commit after that, so the supervisor waits for the
//! leaving database to answer the fence. Among equal logs a database that is not leaving is promoted. If
//! the leaving one has the longest log after all, it is promoted again, so nothing is lost, and the next
//! attempt follows 10 s later. Only if it is silent for 1 s, it has failed and is treated so.
//!
//! While idle, the supervisor writes the record of its last promotion as soon as the platform answers,
//! and orders databases that are behind a confirmed term to follow its leader.

use model::{DatabaseRole, LogPosition, Micros, Name, SeededRandom, Term};

use crate::monitor::{DatabaseReport, LeaderView};

/// Time that each supervisor has for a promotion before the next one starts its own.
const TURN_TIMEOUT: Micros = Micros::from_secs(3);
/// Longest wait for the views of the other owners.
const VIEW_TIMEOUT: Micros = Micros::from_millis(300);
/// A view with a confirmed round younger than this blocks the promotion.
const BLOCKING_VIEW_AGE: Micros = Micros::from_secs(1);
/// No promotion begins for this long after another, so that the cluster monitor can confirm it.
const CONFIRM_GRACE: Micros = Micros::from_millis(500);
/// Longest wait for the platform in one promotion.
const RECORD_TIMEOUT: Micros = Micros::from_millis(1_500);
/// After the platform did not answer, promotions do not wait for it during this time.
const PLATFORM_BACKOFF: Micros = Micros::from_secs(10);
/// Longest wait for a fence majority.
const FENCE_TIMEOUT: Micros = Micros::from_millis(500);
/// Longest wait for the log of a leaving primary in a switchover: the time without a report after which a
/// primary is suspected (`MonitorConfig::suspect_after`). It has failed if it stays silent that long.
const SWITCHOVER_FENCE_TIMEOUT: Micros = Micros::from_secs(1);
/// Wait for the remaining databases after a majority is fenced. One of them may hold a longer log, and
/// promoting it saves commits that were not durable.
const FENCE_GRACE: Micros = Micros::from_millis(50);
/// Longest wait for the promoted database.
const PROMOTE_TIMEOUT: Micros = Micros::from_millis(500);
/// Time without an answer after which the promotion order is repeated.
const PROMOTE_REPEAT_INTERVAL: Micros = Micros::from_millis(150);
/// Backoff before another term: the minimum plus a random part of the jitter.
const MIN_BACKOFF: Micros = Micros::from_millis(100);
const BACKOFF_JITTER: Micros = Micros::from_millis(500);
/// Time between two attempts to write the record of a finished promotion.
const RECORD_RETRY_INTERVAL: Micros = Micros::from_secs(3);
/// Shortest time between two switchovers, so that a switchover that cannot succeed does not raise the
/// term over and over.
const SWITCHOVER_INTERVAL: Micros = Micros::from_secs(10);
/// Maximum number of earlier lists kept; the oldest is dropped first. Lists are kept only while replicas
/// catch up.
const MAX_EARLIER_LISTS: usize = 16;
/// Shortest time between two follow orders to one database.
const FOLLOW_INTERVAL: Micros = Micros::from_secs(1);

/// Phase that a leader record describes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// A supervisor orders a promotion.
    Electing { by: Name },
    /// The term has a leader.
    Leading { leader: Name, start: LogPosition },
}

/// The platform's record of a cluster's leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    pub term: Term,
    pub state: RecordState,
}

/// Input of a [`Supervisor`].
#[derive(Clone, Debug, PartialEq)]
pub enum SupervisorEvent {
    /// The cluster monitor suspects the primary of `term`. `supervisor_index` is this node's index
    /// among the supervisors.
    PrimarySuspected { term: Term, supervisor_index: u32 },
    /// The cluster monitor no longer suspects the primary.
    SuspicionCleared,
    /// The confirmed leader of `term` is leaving and this node owns its database. May be repeated; see
    /// [`Supervisor::set_leaving`].
    LeaderLeaving { term: Term },
    /// Another owner's view arrived, or `None` if it could not be asked.
    ViewArrived { from: Name, view: Option<LeaderView> },
    /// The platform answered a read: the record and its index for compare-and-swap.
    RecordRead { record: Option<LeaderRecord>, index: u64 },
    /// The platform answered a write: whether it was applied.
    RecordWritten { applied: bool },
    /// The platform did not answer, so the outcome of the call is unknown.
    PlatformFailed,
    /// A database answered a fence; the report is the one after the fence.
    Fenced { database: Name, accepted: bool, report: DatabaseReport },
    /// A database could not be reached.
    DatabaseFailed { database: Name },
    /// The database leads from `start`.
    Promoted { database: Name, start: LogPosition },
    /// The cluster monitor confirmed a leader.
    LeaderConfirmed { term: Term, leader: Name },
    /// A database reported to the cluster monitor. Must be sent for every
    /// [`crate::MonitorEvent::ReportArrived`].
    ReportSeen { database: Name, report: DatabaseReport },
    /// Time passed.
    Timer,
}

/// Action that the driver executes for the supervisor.
#[derive(Clone, Debug, PartialEq)]
pub enum SupervisorAction {
    RequestViews,
    ReadRecord,
    WriteRecord { expected_index: u64, record: LeaderRecord },
    Fence { database: Name, term: Term, by: Name },
    Promote { database: Name, term: Term },
    Follow { database: Name, term: Term, leader: Name },
}

/// Faults that tests inject to show that the model detects them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SupervisorFaults {
    /// Promotes after one fence instead of a majority.
    pub no_fence_majority: bool,
    /// Promotes the first database that answered instead of the one with the highest log.
    pub any_candidate: bool,
}

/// Step of a promotion, with its deadline.
#[derive(Clone, Debug, PartialEq)]
enum PromotionStep {
    Idle,
    Waiting { until: Micros },
    Views { until: Micros },
    RecordRead { until: Micros },
    RecordWrite { until: Micros },
    AwaitingOther { until: Micros },
    Fencing { until: Micros, accepted: Vec<(Name, DatabaseReport)>, answered: Vec<Name> },
    Promoting { until: Micros, repeat_at: Micros, database: Name, others: Vec<Name> },
    Backoff { until: Micros },
}

/// Record of a finished promotion that has yet to be written.
#[derive(Clone, Debug, PartialEq)]
struct PendingRecord {
    record: LeaderRecord,
    /// When to read the current record next, also if the platform never answers.
    due: Micros,
    /// The answer to a read is awaited.
    reading: bool,
    /// The answer to a write is awaited.
    writing: bool,
}

/// Last report of a database, to find out whether it follows the leader.
#[derive(Clone, Debug)]
struct FollowerState {
    database: Name,
    report: DatabaseReport,
    /// When its received position last changed.
    received_changed_at: Micros,
    ordered_at: Option<Micros>,
}

/// Orders the promotions of one cluster.
///
/// ```
/// use failover::{Supervisor, SupervisorAction, SupervisorEvent};
/// use model::{Micros, Name, Term};
///
/// let databases = ["a", "b", "c"].map(Name::from).to_vec();
/// let mut supervisor = Supervisor::new("node-1".into(), databases, 1);
/// let mut actions = Vec::new();
/// let event = SupervisorEvent::PrimarySuspected { term: Term(4), supervisor_index: 0 };
/// supervisor.handle(Micros(1), event, &mut actions);
/// assert_eq!(actions, [SupervisorAction::RequestViews]);
/// assert_eq!(supervisor.step(), "views");
/// ```
#[derive(Debug)]
pub struct Supervisor {
    node: Name,
    databases: Vec<Name>,
    /// Lists of which a fence needs a majority as well; see [`Supervisor::settle_list`].
    earlier_lists: Vec<Vec<Name>>,
    faults: SupervisorFaults,
    random: SeededRandom,
    step: PromotionStep,
    /// Term of the promotion in progress.
    target: Term,
    /// Highest term seen in any message.
    highest_term: Term,
    suspected: bool,
    /// No promotion begins before this time.
    paused_until: Micros,
    /// Promotions do not wait for the platform before this time.
    platform_retry_at: Micros,
    /// End of the wait for the platform in the current promotion.
    platform_deadline: Micros,
    /// Owners whose view arrived, or that could not be asked, in the current promotion.
    answered_owners: Vec<Name>,
    pending_record: Option<PendingRecord>,
    /// A write was abandoned before its answer arrived. The late answer could be mistaken for that to
    /// a later write, so only a read then shows that a pending record was written.
    write_abandoned: bool,
    leader: Option<(Term, Name)>,
    followers: Vec<FollowerState>,
    /// Databases that are not promoted while another one has an equal log.
    leaving: Vec<Name>,
    /// When the last switchover began.
    switchover_at: Option<Micros>,
    /// Primary that the current promotion replaces although it has not failed.
    leaving_primary: Option<Name>,
}

impl Supervisor {
    /// Creates an idle supervisor; `seed` drives the random backoff.
    pub fn new(node: Name, databases: Vec<Name>, seed: u64) -> Self {
        Supervisor {
            node,
            databases,
            earlier_lists: Vec::new(),
            faults: SupervisorFaults::default(),
            random: SeededRandom::new(seed),
            step: PromotionStep::Idle,
            target: Term(0),
            highest_term: Term(0),
            suspected: false,
            paused_until: Micros::ZERO,
            platform_retry_at: Micros::ZERO,
            platform_deadline: Micros::ZERO,
            answered_owners: Vec::new(),
            pending_record: None,
            write_abandoned: false,
            leader: None,
            followers: Vec::new(),
            leaving: Vec::new(),
            switchover_at: None,
            leaving_primary: None,
        }
    }

    /// Injects faults, for tests of the model.
    #[doc(hidden)]
    pub fn set_faults(&mut self, faults: SupervisorFaults) {
        self.faults = faults;
    }

    /// Replaces the list of databases. A promotion in progress is abandoned, because its majority was
    /// counted in the old list; the next suspicion starts another. Until [`Supervisor::settle_list`],
    /// a fence needs a majority of the old list too.
    pub fn set_databases(&mut self, databases: Vec<Name>) {
        if self.databases == databases {
            return;
        }
        self.earlier_lists.push(std::mem::replace(&mut self.databases, databases));
        if self.earlier_lists.len() > MAX_EARLIER_LISTS {
            self.earlier_lists.remove(0);
        }
        self.step = PromotionStep::Idle;
        self.followers.retain(|follower| self.databases.contains(&follower.database));
    }

    /// Forgets the earlier lists of databases. Must be called only when
    /// [`crate::ClusterMonitor::is_list_settled`] for the same list.
    pub fn settle_list(&mut self) {
        self.earlier_lists.clear();
    }

    /// Replaces the list of databases that are leaving. They are not promoted while another database
    /// of the fenced majority has an equal log.
    pub fn set_leaving(&mut self, leaving: Vec<Name>) {
        self.leaving = leaving;
    }

    /// Handles an event. `now` must not decrease between calls.
    ///
    /// Answers of the platform and of databases do not name the step that they belong to: an answer
    /// that does not fit the current step is ignored.
    pub fn handle(
        &mut self,
        now: Micros,
        event: SupervisorEvent,
        actions: &mut Vec<SupervisorAction>,
    ) {
        let answers_write = matches!(
            event,
            SupervisorEvent::RecordWritten { .. } | SupervisorEvent::PlatformFailed
        );
        let writing = self.awaits_write();
        match event {
            SupervisorEvent::PrimarySuspected { term, supervisor_index } => {
                self.observe_term(term);
                self.suspected = true;
                if self.step == PromotionStep::Idle && now >= self.paused_until {
                    let until = now + Micros(TURN_TIMEOUT.0 * u64::from(supervisor_index));
                    self.step = PromotionStep::Waiting { until };
                } else if let PromotionStep::Waiting { until } = &mut self.step {
                    // This node may have moved up among the supervisors since.
                    let earlier = now + Micros(TURN_TIMEOUT.0 * u64::from(supervisor_index));
                    *until = (*until).min(earlier.max(self.paused_until));
                }
            }
            SupervisorEvent::SuspicionCleared => {
                self.suspected = false;
                if !self.has_fenced() {
                    self.step = PromotionStep::Idle;
                }
            }
            SupervisorEvent::LeaderLeaving { term } => self.begin_switchover(now, term, actions),
            SupervisorEvent::ViewArrived { from, view } => {
                self.handle_view(now, from, view, actions);
            }
            SupervisorEvent::RecordRead { record, index } => {
                self.handle_record(now, record, index, actions);
            }
            SupervisorEvent::RecordWritten { applied } => {
                self.handle_write_result(now, applied, actions)
            }
            SupervisorEvent::PlatformFailed => self.handle_platform_failure(now, actions),
            SupervisorEvent::Fenced { database, accepted, report } => {
                self.handle_fence_answer(now, database, accepted, report, actions);
            }
            SupervisorEvent::DatabaseFailed { database } => {
                self.handle_database_failure(now, database, actions);
            }
            SupervisorEvent::Promoted { database, start } => {
                self.handle_promoted(now, &database, start, actions);
            }
            SupervisorEvent::LeaderConfirmed { term, leader } => {
                self.observe_term(term);
                if self.leader.as_ref().is_none_or(|(known, _)| *known < term) {
                    self.leader = Some((term, leader));
                }
                // Another supervisor completed a promotion at or above this one's term.
                if self.has_fenced() && term >= self.target {
                    self.step = PromotionStep::Idle;
                }
            }
            SupervisorEvent::ReportSeen { database, report } => {
                self.handle_report(now, database, report, actions);
            }
            SupervisorEvent::Timer => {}
        }
        self.advance(now, actions);
        if writing && !answers_write && !self.awaits_write() {
            self.write_abandoned = true;
        }
    }

    fn awaits_write(&self) -> bool {
        matches!(self.step, PromotionStep::RecordWrite { .. })
            || self.pending_record.as_ref().is_some_and(|pending| pending.writing)
    }

    /// Returns when the next [`SupervisorEvent::Timer`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        let step = match &self.step {
            PromotionStep::Idle => None,
            PromotionStep::Waiting { until }
            | PromotionStep::Views { until }
            | PromotionStep::RecordRead { until }
            | PromotionStep::RecordWrite { until }
            | PromotionStep::AwaitingOther { until }
            | PromotionStep::Fencing { until, .. }
            | PromotionStep::Backoff { until } => Some(*until),
            PromotionStep::Promoting { until, repeat_at, .. } => Some((*until).min(*repeat_at)),
        };
        let record = match (&self.step, &self.pending_record) {
            (PromotionStep::Idle, Some(pending)) => Some(pending.due),
            _ => None,
        };
        step.into_iter().chain(record).min()
    }

    /// Returns the current step's name, for the state dump.
    pub fn step(&self) -> &'static str {
        match self.step {
            PromotionStep::Idle => "idle",
            PromotionStep::Waiting { .. } => "waiting",
            PromotionStep::Views { .. } => "views",
            PromotionStep::RecordRead { .. } => "record-read",
            PromotionStep::RecordWrite { .. } => "record-write",
            PromotionStep::AwaitingOther { .. } => "other",
            PromotionStep::Fencing { .. } => "fencing",
            PromotionStep::Promoting { .. } => "promoting",
            PromotionStep::Backoff { .. } => "backoff",
        }
    }

    /// Returns the term of the promotion in progress or of the last one.
    pub fn target_term(&self) -> Term {
        self.target
    }

    fn observe_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    fn has_fenced(&self) -> bool {
        matches!(self.step, PromotionStep::Fencing { .. } | PromotionStep::Promoting { .. })
    }

    /// Returns whether a majority of the current list and of each earlier one accepted the fence.
    fn has_fence_majority(&self) -> bool {
        let PromotionStep::Fencing { accepted, .. } = &self.step else { return false };
        if self.faults.no_fence_majority {
            return !accepted.is_empty();
        }
        let holds_majority = |list: &[Name]| {
            let listed = list.iter().filter(|name| self.databases.contains(*name)).count();
            let fenced = accepted.iter().filter(|(name, _)| list.contains(name)).count();
            fenced >= (list.len() / 2 + 1).min(listed)
        };
        holds_majority(&self.databases)
            && self.earlier_lists.iter().all(|list| holds_majority(list))
    }

    fn back_off(&mut self, now: Micros) {
        let jitter = Micros(self.random.below(BACKOFF_JITTER.0));
        self.step = PromotionStep::Backoff { until: now + MIN_BACKOFF + jitter };
    }

    /// Advances the step whose deadline has passed.
    fn advance(&mut self, now: Micros, actions: &mut Vec<SupervisorAction>) {
        match &mut self.step {
            PromotionStep::Idle => self.advance_pending_record(now, actions),
            PromotionStep::Waiting { until } if now >= *until => {
                self.answered_owners.clear();
                self.step = PromotionStep::Views { until: now + VIEW_TIMEOUT };
                actions.push(SupervisorAction::RequestViews);
            }
            PromotionStep::Views { until } if now >= *until => {
                self.begin_record_read(now, None, actions);
            }
            PromotionStep::RecordRead { until } | PromotionStep::RecordWrite { until }
                if now >= *until =>
            {
                self.platform_retry_at = now + PLATFORM_BACKOFF;
                self.begin_fencing(now, actions);
            }
            // Asks the other owners again: another supervisor may have succeeded.
            PromotionStep::AwaitingOther { until } | PromotionStep::Backoff { until }
                if now >= *until =>
            {
                if self.suspected {
                    self.answered_owners.clear();
                    self.step = PromotionStep::Views { until: now + VIEW_TIMEOUT };
                    actions.push(SupervisorAction::RequestViews);
                } else {
                    self.step = PromotionStep::Idle;
                }
            }
            PromotionStep::Fencing { until, .. } if now >= *until => {
                if self.has_fence_majority() {
                    self.begin_promotion(now, actions);
                } else {
                    self.back_off(now);
                }
            }
            PromotionStep::Promoting { until, .. } if now >= *until => self.back_off(now),
            PromotionStep::Promoting { repeat_at, database, .. } if now >= *repeat_at => {
                *repeat_at = now + PROMOTE_REPEAT_INTERVAL;
                let database = database.clone();
                actions.push(SupervisorAction::Promote { database, term: self.target });
            }
            _ => {}
        }
    }

    fn handle_view(
        &mut self,
        now: Micros,
        from: Name,
        view: Option<LeaderView>,
        actions: &mut Vec<SupervisorAction>,
    ) {
        let PromotionStep::Views { .. } = self.step else { return };
        if let Some(view) = view {
            self.observe_term(view.term);
            if let Some(ago) = view.confirmed_ago.filter(|ago| *ago < BLOCKING_VIEW_AGE) {
                // Asks again as soon as this view no longer blocks the promotion.
                let until = now + (BLOCKING_VIEW_AGE - ago);
                self.paused_until = until;
                self.step = PromotionStep::Waiting { until };
                return;
            }
        }
        if !self.answered_owners.contains(&from) {
            self.answered_owners.push(from);
        }
        if self.answered_owners.len() + 1 >= self.databases.len() {
            self.begin_record_read(now, None, actions);
        }
    }

    /// Begins a switchover if a database that is not leaving holds the leader's whole log.
    fn begin_switchover(&mut self, now: Micros, term: Term, actions: &mut Vec<SupervisorAction>) {
        let Some((leader_term, leader)) = &self.leader else { return };
        let due = self.switchover_at.is_none_or(|at| now >= at + SWITCHOVER_INTERVAL);
        let idle = self.step == PromotionStep::Idle && now >= self.paused_until;
        if *leader_term != term || !self.leaving.contains(leader) || !due || !idle {
            return;
        }
        let mut current = self.followers.iter().filter(|follower| follower.report.term == term);
        let Some(leader_state) = current.clone().find(|follower| follower.database == *leader)
        else {
            return;
        };
        let log = (leader_state.report.log_term, leader_state.report.received);
        let ready = current.any(|follower| {
            !self.leaving.contains(&follower.database)
                && (follower.report.log_term, follower.report.received) == log
        });
        if ready {
            self.switchover_at = Some(now);
            let leader = leader.clone();
            self.begin_record_read(now, Some(leader), actions);
        }
    }

    fn begin_record_read(
        &mut self,
        now: Micros,
        leaving_primary: Option<Name>,
        actions: &mut Vec<SupervisorAction>,
    ) {
        self.leaving_primary = leaving_primary;
        self.pending_record = None;
        self.target = self.highest_term.next();
        if now < self.platform_retry_at {
            self.begin_fencing(now, actions);
            return;
        }
        self.platform_deadline = now + RECORD_TIMEOUT;
        self.step = PromotionStep::RecordRead { until: self.platform_deadline };
        actions.push(SupervisorAction::ReadRecord);
    }

    fn handle_record(
        &mut self,
        now: Micros,
        record: Option<LeaderRecord>,
        index: u64,
        actions: &mut Vec<SupervisorAction>,
    ) {
        if let PromotionStep::RecordRead { until } = self.step {
            if let Some(record) = record {
                let own = matches!(&record.state, RecordState::Electing { by } if *by == self.node);
                if own && record.term == self.target {
                    // The write was applied and its answer lost.
                    self.begin_fencing(now, actions);
                    return;
                }
                // A record that appeared after the promotion began belongs to another supervisor.
                let unseen = record.term >= self.target;
                self.observe_term(record.term);
                if unseen && !own {
                    self.step = PromotionStep::AwaitingOther { until: now + TURN_TIMEOUT };
                    return;
                }
            }
            self.target = self.highest_term.next();
            self.step = PromotionStep::RecordWrite { until };
            let state = RecordState::Electing { by: self.node.clone() };
            let record = LeaderRecord { term: self.target, state };
            actions.push(SupervisorAction::WriteRecord { expected_index: index, record });
        } else if let Some(pending) = &mut self.pending_record
            && std::mem::take(&mut pending.reading)
        {
            let written = record
                .is_some_and(|found| found.term > pending.record.term || found == pending.record);
            if written {
                self.pending_record = None;
                self.write_abandoned = false;
            } else {
                pending.writing = true;
                let record = pending.record.clone();
                actions.push(SupervisorAction::WriteRecord { expected_index: index, record });
            }
        }
    }

    fn handle_write_result(
        &mut self,
        now: Micros,
        applied: bool,
        actions: &mut Vec<SupervisorAction>,
    ) {
        if let PromotionStep::RecordWrite { until } = self.step {
            if applied {
                self.begin_fencing(now, actions);
            } else {
                self.step = PromotionStep::RecordRead { until };
                actions.push(SupervisorAction::ReadRecord);
            }
        } else if let Some(pending) = &mut self.pending_record
            && std::mem::take(&mut pending.writing)
            && applied
        {
            // On a conflict, and without an answer, the record is read again when it is due.
            if self.write_abandoned {
                pending.due = now;
            } else {
                self.pending_record = None;
            }
        }
    }

    fn handle_platform_failure(&mut self, now: Micros, actions: &mut Vec<SupervisorAction>) {
        match self.step {
            PromotionStep::RecordRead { .. } => {
                self.platform_retry_at = now + PLATFORM_BACKOFF;
                self.begin_fencing(now, actions);
            }
            PromotionStep::RecordWrite { until } => {
                // The write may have been applied; a read in the remaining time shows whether it was.
                self.step = PromotionStep::RecordRead { until };
                actions.push(SupervisorAction::ReadRecord);
            }
            _ => {
                // The failure may belong to an earlier call while this write is still in flight.
                if let Some(pending) = &mut self.pending_record
                    && std::mem::take(&mut pending.writing)
                {
                    self.write_abandoned = true;
                }
            }
        }
    }

    fn begin_fencing(&mut self, now: Micros, actions: &mut Vec<SupervisorAction>) {
        self.target = self.target.max(self.highest_term.next());
        self.observe_term(self.target);
        let timeout = match self.leaving_primary {
            Some(_) => SWITCHOVER_FENCE_TIMEOUT,
            None => FENCE_TIMEOUT,
        };
        self.step = PromotionStep::Fencing {
            until: now + timeout,
            accepted: Vec::new(),
            answered: Vec::new(),
        };
        for database in &self.databases {
            actions.push(SupervisorAction::Fence {
                database: database.clone(),
                term: self.target,
                by: self.node.clone(),
            });
        }
    }

    fn handle_fence_answer(
        &mut self,
        now: Micros,
        database: Name,
        accept: bool,
        report: DatabaseReport,
        actions: &mut Vec<SupervisorAction>,
    ) {
        self.observe_term(report.term);
        let PromotionStep::Fencing { accepted, answered, .. } = &mut self.step else { return };
        if report.term > self.target {
            if report.role == DatabaseRole::Primary {
                // A newer term has a leader; the cluster monitor will confirm it.
                self.step = PromotionStep::Idle;
                self.paused_until = now + CONFIRM_GRACE;
            } else {
                self.back_off(now);
            }
            return;
        }
        if !self.databases.contains(&database) {
            return;
        }
        if !answered.contains(&database) {
            answered.push(database.clone());
        }
        let accept = accept && report.term == self.target;
        if accept && !accepted.iter().any(|(name, _)| *name == database) {
            accepted.push((database, report));
        }
        self.finish_fencing(now, actions);
    }

    /// Ends the step once every database has answered, and limits the wait for the rest of them once a
    /// majority has accepted.
    fn finish_fencing(&mut self, now: Micros, actions: &mut Vec<SupervisorAction>) {
        let majority = self.has_fence_majority();
        let PromotionStep::Fencing { until, answered, .. } = &mut self.step else { return };
        let complete = answered.len() == self.databases.len();
        let awaited = self.leaving_primary.as_ref().is_some_and(|name| !answered.contains(name));
        if majority && (complete || self.faults.no_fence_majority) {
            self.begin_promotion(now, actions);
        } else if complete {
            self.back_off(now);
        } else if majority && !awaited {
            *until = (*until).min(now + FENCE_GRACE);
        }
    }

    fn begin_promotion(&mut self, now: Micros, actions: &mut Vec<SupervisorAction>) {
        let PromotionStep::Fencing { accepted, .. } = &self.step else { return };
        let best = if self.faults.any_candidate {
            accepted.last()
        } else {
            accepted.iter().max_by_key(|(name, report)| {
                (report.log_term, report.received, !self.leaving.contains(name))
            })
        };
        let Some((database, _)) = best.cloned() else { return };
        let others = self.databases.iter().filter(|name| **name != database).cloned().collect();
        self.step = PromotionStep::Promoting {
            until: now + PROMOTE_TIMEOUT,
            repeat_at: now + PROMOTE_REPEAT_INTERVAL,
            database: database.clone(),
            others,
        };
        actions.push(SupervisorAction::Promote { database, term: self.target });
    }

    fn handle_database_failure(
        &mut self,
        now: Micros,
        database: Name,
        actions: &mut Vec<SupervisorAction>,
    ) {
        let PromotionStep::Fencing { answered, .. } = &mut self.step else { return };
        if self.databases.contains(&database) && !answered.contains(&database) {
            answered.push(database);
            self.finish_fencing(now, actions);
        }
    }

    fn handle_promoted(
        &mut self,
        now: Micros,
        promoted: &Name,
        start: LogPosition,
        actions: &mut Vec<SupervisorAction>,
    ) {
        let PromotionStep::Promoting { database, others, .. } = &self.step else { return };
        if database != promoted {
            return;
        }
        let leader = database.clone();
        for other in others {
            actions.push(SupervisorAction::Follow {
                database: other.clone(),
                term: self.target,
                leader: leader.clone(),
            });
        }
        let state = RecordState::Leading { leader, start };
        let record = LeaderRecord { term: self.target, state };
        self.pending_record =
            Some(PendingRecord { record, due: now, reading: false, writing: false });
        self.paused_until = now + CONFIRM_GRACE;
        self.step = PromotionStep::Idle;
    }

    /// Reads the current record when due; its index is needed to write the pending one.
    fn advance_pending_record(&mut self, now: Micros, actions: &mut Vec<SupervisorAction>) {
        if let Some(pending) = &mut self.pending_record
            && now >= pending.due
        {
            pending.due = now + RECORD_RETRY_INTERVAL;
            pending.reading = true;
            actions.push(SupervisorAction::ReadRecord);
        }
    }

    /// Handles a report, which may show that the database does not follow the leader.
    fn handle_report(
        &mut self,
        now: Micros,
        database: Name,
        report: DatabaseReport,
        actions: &mut Vec<SupervisorAction>,
    ) {
        self.observe_term(report.term);
        if let PromotionStep::Promoting { .. } = self.step
            && report.term > self.target
        {
            // Another supervisor fenced a higher term, so the promotion order would be refused.
            self.back_off(now);
        }
        if self.databases.contains(&database) {
            let index = self.store_report(now, &database, report);
            self.order_follow(now, index, actions);
        }
    }

    /// Stores the report and when its received position last changed; returns its index in
    /// `followers`.
    fn store_report(&mut self, now: Micros, database: &Name, report: DatabaseReport) -> usize {
        let known = self.followers.iter().position(|follower| follower.database == *database);
        if let Some(index) = known {
            let follower = &mut self.followers[index];
            if follower.report.received != report.received {
                follower.received_changed_at = now;
            }
            follower.report = report;
            return index;
        }
        self.followers.push(FollowerState {
            database: database.clone(),
            report,
            received_changed_at: now,
            ordered_at: None,
        });
        self.followers.len() - 1
    }

    /// Orders a database to follow the confirmed leader if its report shows that it does not.
    fn order_follow(&mut self, now: Micros, index: usize, actions: &mut Vec<SupervisorAction>) {
        let Some((term, leader)) = self.leader.clone() else { return };
        let FollowerState { database, report, received_changed_at, ordered_at } =
            self.followers[index].clone();
        if leader == database || report.term > term || self.step != PromotionStep::Idle {
            return;
        }
        let mut followers = self.followers.iter();
        let leader_state =
            followers.find(|other| other.database == leader && other.report.term == term);
        // Behind without progress: the follow order was lost. Longer than the leader's log: it holds
        // entries that it should have discarded.
        let unchanged = now.saturating_sub(received_changed_at) >= FOLLOW_INTERVAL;
        let stuck = leader_state.is_some_and(|leader_state| {
            let behind = report.log_term < leader_state.report.log_term
                || report.received < leader_state.report.received;
            let ahead = report.received > leader_state.report.received && report.log_term < term;
            unchanged && (behind || ahead)
        });
        let due = ordered_at.is_none_or(|at| now >= at + FOLLOW_INTERVAL);
        if (report.term < term || stuck) && due {
            self.followers[index].ordered_at = Some(now);
            actions.push(SupervisorAction::Follow { database, term, leader });
        }
    }
}
