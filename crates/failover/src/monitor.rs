//! Monitors one cluster's databases in report rounds.
//!
//! # What the databases guarantee
//!
//! The term of a database never decreases. A fence or a follow order raises it; a fenced database
//! reports [`DatabaseRole::Replica`] until it is promoted. A database of term T accepts log only from
//! the primary of T, after it has discarded the entries that this primary does not have. A primary of
//! T is promoted only after a majority accepted the fence of T from the same supervisor, at most one
//! for each term. Inside one term the received and the applied position do not decrease.
//!
//! # Invariants
//!
//! **Confirmed round.** Every report of round R is a sample taken after R began, because the request
//! is sent after the begin; this also holds for a database that is asked later in R. If a majority,
//! the primary of T among it, reports T, then no majority had accepted a term above T when R began:
//! such a majority shares a database with the reporting one, and that database's term would be above
//! T. So a commit of term T whose answer arrived before R began was made while the primary of T was in
//! office.
//!
//! **Acknowledgement.** A commit waits for the first confirmed round whose number is above the last
//! round begun when the commit finished. A round that was already open does not count, since its
//! samples may be older than the commit. If a newer term is confirmed first, the outcome is unknown:
//! the commit may or may not be part of the new term's log.
//!
//! **Durable acknowledgement.** The first confirmed round after the commit shows the primary at a
//! position N at or past the commit. A later (or the same) confirmed round of the same term in which a
//! majority of databases *on the primary's log* received N proves that the commit survives: any later
//! fence majority contains one of them, the fence keeps it from discarding the entry, and the fenced
//! database with the highest (log term, received) is promoted, so its log contains N. N does not
//! change in later rounds, so continuous writes do not postpone the acknowledgement.
//!
//! **On the primary's log.** Positions alone do not compare logs: a database may hold entries of a lost
//! suffix of an older term. All entries of one term come from one primary, so a database whose last
//! entry has term T holds a prefix of the log of T's primary. Before T's first entry arrives, its log is
//! a prefix if its last entry has the same term as the last entry before the start of T and its
//! received position is not past the start.
//!
//! **Changed list.** After a change of the list a majority of the new one may lack durable commits that a
//! removed database had received. The list is *settled* once a confirmed round that began after the
//! change has shown the primary at N, and a majority of the new list on the primary's log has received N:
//! any fence majority of the new list then contains one of them. Until then the supervisor needs the
//! earlier lists too.
//!
//! **Data age.** A confirmed round that began at t with the primary at L proves that everything
//! committed before t is at or below L. A database on the primary's log with an applied position at or
//! past L holds it. Dropping a sample makes the provable age only larger.
//!
//! **Required positions.** A session's reads require a position p of term F. It is part of the log of
//! T if p is at or below the start of each term whose entries lie between F and T in the log of T's
//! primary. That needs the start of each of these terms and the term of the last entry before it,
//! which the primary reports. If F has no entry in that log, or p is past one of the starts, the write
//! was lost. If the monitor missed a term between (it belongs to a new owner, or was paused), the
//! answer is uncertain: the replacement, the start of the current term, covers the write if it
//! survived, but whether it did is not known. A position at or before the start of its own term
//! belongs to the term before, because it needs no entry of its own term. The position is the
//! primary's at the acknowledging round, so it may be past the write: "lost" means that a part of the
//! log up to that position was lost. "Met" describes the database when it was sampled; as with the
//! data age, the driver checks again when the response starts.

use std::collections::{BTreeMap, VecDeque};

use model::{DatabaseRole, LogPosition, Micros, Name, RequiredPosition, Term};

/// Identifies a commit that waits for its acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommitId(pub u64);

/// A database's answer to a report request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatabaseReport {
    pub term: Term,
    pub role: DatabaseRole,
    /// Term of the last log entry.
    pub log_term: Term,
    /// Log position stored, though perhaps not applied.
    pub received: LogPosition,
    /// Log position visible to reads.
    pub applied: LogPosition,
    /// Where this database's current term began, if it is the primary.
    pub term_start: LogPosition,
    /// Term of the last log entry before `term_start`, if it is the primary; 0 if there is none.
    pub previous_term: Term,
}

/// Intervals and timeouts of a cluster monitor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MonitorConfig {
    /// Time between rounds while no commit waits.
    pub idle_interval: Micros,
    /// Time after which a report counts as failed.
    pub report_timeout: Micros,
    /// Time without a report of the primary after which it is suspected.
    pub suspect_after: Micros,
    /// Time after which the outcome of an unacknowledged commit is unknown.
    pub acknowledge_timeout: Micros,
}

impl Default for MonitorConfig {
    fn default() -> Self {
        MonitorConfig {
            idle_interval: Micros::from_millis(250),
            report_timeout: Micros::from_millis(500),
            suspect_after: Micros::from_secs(1),
            acknowledge_timeout: Micros::from_secs(3),
        }
    }
}

/// Input of a [`ClusterMonitor`].
#[derive(Clone, Debug, PartialEq)]
pub enum MonitorEvent {
    /// A database answered the report request of a round.
    ReportArrived { database: Name, round: u64, report: DatabaseReport },
    /// The report connection of a database failed.
    ReportFailed { database: Name, round: u64 },
    /// The primary answered a commit; the client waits for the acknowledgement.
    CommitFinished { commit: CommitId, term: Term, durable: bool },
    /// Time passed.
    Timer,
}

/// Action that the driver executes for the monitor.
#[derive(Clone, Debug, PartialEq)]
pub enum MonitorAction {
    /// Send a report request.
    RequestReport { database: Name, round: u64 },
    /// The commit may be acknowledged; a database that applied `required_position` holds it.
    Acknowledge { commit: CommitId, required_position: RequiredPosition },
    /// The outcome of the commit is unknown.
    OutcomeUnknown { commit: CommitId },
    /// A round confirmed a new term and its leader.
    LeaderChanged { term: Term, leader: Name },
    /// The primary is suspected; repeated with every timer while it is.
    PrimarySuspected { term: Term },
    /// The primary answers again, or another leads.
    SuspicionCleared,
}

/// Whether a database holds the position that a session requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredPositionState {
    /// The database has applied the position.
    Met,
    /// Not yet, or not known.
    NotYet,
    /// The write was lost in a failover; `replacement` is the required position from now on.
    Lost { replacement: RequiredPosition },
    /// The monitor does not know whether the write survived several failovers. `replacement` covers
    /// it if it did.
    Uncertain { replacement: RequiredPosition },
}

/// An owner's view of the leader, sent to other supervisors on request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderView {
    pub term: Term,
    pub leader: Option<Name>,
    /// Time since the last confirmed round began.
    pub confirmed_ago: Option<Micros>,
}

/// Age above which samples are dropped when samples are thinned.
const SAMPLE_RETENTION: Micros = Micros::from_secs(60);
/// Maximum number of samples kept for each cluster. Thinning leaves at most two for each gap, 230 over
/// the whole retention time.
const MAX_SAMPLES: usize = 256;
/// Shortest gap that samples are thinned to.
const MIN_SAMPLE_GAP: Micros = Micros::from_millis(8);
/// Older samples are thinned to gaps of their age divided by this, if that is longer.
const SAMPLE_GAP_DIVISOR: u64 = 16;
/// Maximum number of terms whose start is kept. With two promotions a day this covers a month.
const MAX_TERM_STARTS: usize = 64;
/// Time between rounds while only commits of earlier rounds wait, so that a lagging replica is not
/// polled without pause.
const ROUND_RETRY_INTERVAL: Micros = Micros::from_millis(5);
/// Time before a database whose report failed is asked again, so that a refused connection is not
/// retried with every commit.
const REPORT_RETRY_BACKOFF: Micros = Micros::from_millis(100);

/// Where a term began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermStart {
    /// Position at which the term's first entry is written.
    pub start: LogPosition,
    /// Term of the last entry before `start`.
    pub previous_term: Term,
}

/// Whether the log up to a required position survived the promotions since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogSurvival {
    Survived,
    Lost,
    Unknown,
}

/// Faults that tests inject to show that the model detects them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MonitorFaults {
    /// Acknowledges a commit on a round that began before the commit finished.
    pub early_round: bool,
    /// Confirms a round with the primary's report alone.
    pub no_majority: bool,
    /// Acknowledges durable commits without proof that a majority received them.
    pub no_receipt: bool,
    /// Compares positions without regard to terms.
    pub ignore_lineage: bool,
}

/// A report round: requests sent at or after `began`, and their answers.
#[derive(Debug)]
struct ReportRound {
    number: u64,
    began: Micros,
    reports: Vec<(Name, DatabaseReport)>,
    confirmed: bool,
}

/// Primary position that a confirmed round showed.
#[derive(Clone, Copy, Debug)]
struct PositionSample {
    began: Micros,
    position: LogPosition,
}

/// State of the report requests to one database.
#[derive(Debug)]
struct DatabaseState {
    name: Name,
    /// Round of the request in flight and when it was sent.
    asked: Option<(u64, Micros)>,
    /// Not asked before this time.
    retry_at: Micros,
    /// Round number, begin and content of the latest report.
    latest: Option<(u64, Micros, DatabaseReport)>,
}

impl DatabaseState {
    fn new(name: Name) -> Self {
        DatabaseState { name, asked: None, retry_at: Micros::ZERO, latest: None }
    }

    fn is_free(&self, now: Micros) -> bool {
        self.asked.is_none() && now >= self.retry_at
    }
}

/// A commit that waits for its acknowledgement.
#[derive(Debug)]
struct PendingCommit {
    commit: CommitId,
    term: Term,
    durable: bool,
    finished: Micros,
    /// First round that counts.
    first_round: u64,
    /// Position that covers the commit, from the first confirmed round that counts.
    covered_by: Option<LogPosition>,
}

/// Collects leadership and data-age proofs about one cluster.
///
/// ```
/// use failover::*;
/// use model::{LogPosition, Micros, Name, Term};
///
/// let names = ["a", "b", "c"].map(Name::from).to_vec();
/// let mut monitor = ClusterMonitor::new(MonitorConfig::default(), names);
/// let mut actions = Vec::new();
/// monitor.handle(Micros(1), MonitorEvent::Timer, &mut actions);
/// assert_eq!(actions.len(), 3); // One request to each database.
/// actions.clear();
/// for (name, role) in [("a", DatabaseRole::Primary), ("b", DatabaseRole::Replica)] {
///     let report = DatabaseReport {
///         term: Term(1),
///         role,
///         log_term: Term(1),
///         received: LogPosition(10),
///         applied: LogPosition(10),
///         term_start: LogPosition(0),
///         previous_term: Term(0),
///     };
///     let event = MonitorEvent::ReportArrived { database: name.into(), round: 1, report };
///     monitor.handle(Micros(500), event, &mut actions);
/// }
/// assert!(actions.contains(&MonitorAction::LeaderChanged { term: Term(1), leader: "a".into() }));
/// assert_eq!(monitor.provable_age(Micros(1_001), "b"), Some(Micros(1_000)));
/// ```
#[derive(Debug)]
pub struct ClusterMonitor {
    config: MonitorConfig,
    faults: MonitorFaults,
    databases: Vec<DatabaseState>,
    /// The current round and earlier ones with a request in flight; at most databases + 1.
    rounds: VecDeque<ReportRound>,
    /// Number of the last round that began.
    last_round: u64,
    /// Highest confirmed term.
    term: Term,
    leader: Option<Name>,
    /// Begin and position of the newest confirmed round of `term`.
    confirmed: Option<(Micros, LogPosition)>,
    /// Samples of `term`, oldest first, with increasing times and positions.
    samples: VecDeque<PositionSample>,
    terms: BTreeMap<Term, TermStart>,
    /// Highest term that any database reported.
    highest_reported: Term,
    commits: Vec<PendingCommit>,
    /// When the primary last reported, or the first event arrived.
    alive_at: Option<Micros>,
    suspected: bool,
    list: ListState,
}

/// Whether a majority of the databases holds the log of the time before the list was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListState {
    Settled,
    /// No round has been confirmed since the change, or in the current term.
    Changed,
    /// A round confirmed since the change showed the primary of `term` at `position`.
    Awaiting {
        term: Term,
        position: LogPosition,
    },
}

impl ClusterMonitor {
    /// Creates a monitor without any reports.
    ///
    /// Two lists that are in use at the same time must differ by at most one database, so that any
    /// majority of one shares a database with any majority of the other.
    pub fn new(config: MonitorConfig, databases: Vec<Name>) -> Self {
        ClusterMonitor {
            config,
            faults: MonitorFaults::default(),
            databases: databases.into_iter().map(DatabaseState::new).collect(),
            rounds: VecDeque::new(),
            last_round: 0,
            term: Term(0),
            leader: None,
            confirmed: None,
            samples: VecDeque::new(),
            terms: BTreeMap::new(),
            highest_reported: Term(0),
            commits: Vec::new(),
            alive_at: None,
            suspected: false,
            list: ListState::Settled,
        }
    }

    /// Injects faults, for tests of the model.
    #[doc(hidden)]
    pub fn set_faults(&mut self, faults: MonitorFaults) {
        self.faults = faults;
    }

    /// Replaces the list of databases. Open rounds are abandoned, because their majority was
    /// counted in the old list; commits wait for the next round.
    pub fn set_databases(&mut self, databases: Vec<Name>) {
        if self.databases.iter().map(|state| &state.name).eq(databases.iter()) {
            return;
        }
        let mut old = std::mem::take(&mut self.databases);
        for name in databases {
            let kept = old.iter().position(|state| state.name == name);
            let mut state = match kept {
                Some(index) => old.swap_remove(index),
                None => DatabaseState::new(name),
            };
            state.asked = None;
            self.databases.push(state);
        }
        self.rounds.clear();
        self.list = ListState::Changed;
    }

    /// Returns whether a majority of the databases has received the log of the time before the list was
    /// changed last, or it was never changed here.
    pub fn is_list_settled(&self) -> bool {
        self.list == ListState::Settled
    }

    /// Records where a term began, from a source other than reports. A known start is not replaced.
    /// Wrong values make the checks of required positions wrong, so use durable records only.
    pub fn learn_term(&mut self, term: Term, start: TermStart) {
        self.terms.entry(term).or_insert(start);
        while self.terms.len() > MAX_TERM_STARTS {
            self.terms.pop_first();
        }
    }

    /// Handles an event. `now` must not decrease between calls.
    ///
    /// [`MonitorEvent::CommitFinished`] carries the term that the monitor showed when the statement was
    /// *sent*; the term at the time of the response would let a commit of a replaced primary pass when
    /// the same database was promoted again in between.
    pub fn handle(&mut self, now: Micros, event: MonitorEvent, actions: &mut Vec<MonitorAction>) {
        self.alive_at.get_or_insert(now);
        let mut timer = false;
        match event {
            MonitorEvent::ReportArrived { database, round, report } => {
                self.handle_report(now, &database, round, report, actions);
            }
            MonitorEvent::ReportFailed { database, round } => {
                let state = self.databases.iter_mut().find(|state| state.name == database);
                if let Some(state) = state
                    && state.asked.is_some_and(|(asked, _)| asked == round)
                {
                    state.asked = None;
                    state.retry_at = now + REPORT_RETRY_BACKOFF;
                }
            }
            MonitorEvent::CommitFinished { commit, term, durable } => {
                let first_offset = u64::from(!self.faults.early_round);
                if term < self.term {
                    actions.push(MonitorAction::OutcomeUnknown { commit });
                } else {
                    self.commits.push(PendingCommit {
                        commit,
                        term,
                        durable,
                        finished: now,
                        first_round: self.last_round + first_offset,
                        covered_by: None,
                    });
                }
            }
            MonitorEvent::Timer => timer = true,
        }
        self.expire(now, actions);
        self.begin_round(now, actions);
        self.check_suspicion(now, timer, actions);
    }

    /// Returns when the next [`MonitorEvent::Timer`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        let Some(alive_at) = self.alive_at else {
            return Some(Micros::ZERO);
        };
        let mut next = Micros::MAX;
        if !self.suspected {
            next = next.min(alive_at + self.config.suspect_after);
        }
        for state in &self.databases {
            match state.asked {
                Some((_, sent)) => next = next.min(sent + self.config.report_timeout),
                None => next = next.min(self.idle_due().max(state.retry_at)),
            }
        }
        if let Some(commit) = self.commits.first() {
            next = next.min(commit.finished + self.config.acknowledge_timeout);
        }
        if let Some(due) = self.commit_due()
            && let Some(retry_at) = self.commit_ready_at()
        {
            next = next.min(due.max(retry_at));
        }
        (next != Micros::MAX).then_some(next)
    }

    /// Returns the current view of the leader.
    pub fn view(&self, now: Micros) -> LeaderView {
        LeaderView {
            term: self.term,
            leader: self.leader.clone(),
            confirmed_ago: self.confirmed.map(|(began, _)| now.saturating_sub(began)),
        }
    }

    /// Returns the last report of a database and when its round began.
    pub fn report(&self, database: &str) -> Option<(Micros, DatabaseReport)> {
        let state = self.databases.iter().find(|state| &*state.name == database)?;
        state.latest.map(|(_, began, report)| (began, report))
    }

    /// Returns the data age that can be proved for a database, if any. Ages above 60 s are provable only
    /// until the samples are thinned.
    pub fn provable_age(&self, now: Micros, database: &str) -> Option<Micros> {
        let (_, report) = self.report(database)?;
        if !self.is_on_primary_log(&report) {
            return None;
        }
        let covered = self.samples.partition_point(|sample| sample.position <= report.applied);
        let sample = self.samples.get(covered.checked_sub(1)?)?;
        Some(now.saturating_sub(sample.began))
    }

    /// Compares a database with a required position. A position of a term above the confirmed one is
    /// `NotYet`; if a round that began after the position was presented confirms a lower term, it is
    /// of another cluster, because terms do not decrease at a majority.
    pub fn required_position_state(
        &self,
        database: &str,
        required: RequiredPosition,
    ) -> RequiredPositionState {
        if required.term > self.term || self.leader.is_none() {
            return RequiredPositionState::NotYet;
        }
        let replacement = self.term_start_position();
        match self.log_survival(required) {
            LogSurvival::Survived => {}
            LogSurvival::Lost => return RequiredPositionState::Lost { replacement },
            LogSurvival::Unknown => return RequiredPositionState::Uncertain { replacement },
        }
        match self.report(database) {
            Some((_, report))
                if self.is_on_primary_log(&report) && report.applied >= required.position =>
            {
                RequiredPositionState::Met
            }
            _ => RequiredPositionState::NotYet,
        }
    }

    /// Returns the start of the confirmed term, which replaces a required position that was lost.
    pub fn term_start_position(&self) -> RequiredPosition {
        let start = self.terms.get(&self.term).map_or(LogPosition(0), |start| start.start);
        RequiredPosition { term: self.term, position: start }
    }

    /// Returns the position of the last confirmed round if it began at or after `since`.
    pub fn confirmed_position(&self, since: Micros) -> Option<RequiredPosition> {
        let (began, position) = self.confirmed?;
        (began >= since).then_some(RequiredPosition { term: self.term, position })
    }

    /// Returns the number of samples kept for age proofs, for the state dump.
    pub fn sample_count(&self) -> usize {
        self.samples.len()
    }

    fn majority(&self) -> usize {
        self.databases.len() / 2 + 1
    }

    /// Returns whether the reported log is a prefix of the log of the primary of `self.term`.
    fn is_on_primary_log(&self, report: &DatabaseReport) -> bool {
        if self.faults.ignore_lineage {
            return true;
        }
        if report.term != self.term {
            return false;
        }
        if report.log_term == self.term {
            return true;
        }
        match self.terms.get(&self.term) {
            Some(start) => start.previous_term == report.log_term && report.received <= start.start,
            None => false,
        }
    }

    /// Returns whether the log up to a required position is part of the log of `self.term`.
    fn log_survival(&self, required: RequiredPosition) -> LogSurvival {
        if self.faults.ignore_lineage {
            return LogSurvival::Survived;
        }
        // A position at or before the start of its term belongs to an older term.
        let mut written_in = required.term;
        while let Some(start) = self.terms.get(&written_in)
            && required.position <= start.start
            && start.previous_term < written_in
        {
            written_in = start.previous_term;
        }
        let mut term = self.term;
        let mut limit = LogPosition(u64::MAX);
        while term > written_in {
            let Some(start) = self.terms.get(&term).filter(|start| start.previous_term < term)
            else {
                let lost = required.position > limit;
                return if lost { LogSurvival::Lost } else { LogSurvival::Unknown };
            };
            limit = limit.min(start.start);
            term = start.previous_term;
        }
        // A term that the loop skipped has no entry in this log.
        let survived = term == written_in && required.position <= limit;
        if survived { LogSurvival::Survived } else { LogSurvival::Lost }
    }

    fn handle_report(
        &mut self,
        now: Micros,
        database: &str,
        number: u64,
        report: DatabaseReport,
        actions: &mut Vec<MonitorAction>,
    ) {
        let Some(state) = self.databases.iter_mut().find(|state| &*state.name == database) else {
            return;
        };
        let awaited = state.asked.is_some_and(|(asked, _)| asked == number);
        if awaited {
            state.asked = None;
        }
        // A report of a round that is no longer open proves no more than later reports.
        let Some(round) = self.rounds.iter_mut().find(|round| round.number == number) else {
            return;
        };
        if round.reports.iter().any(|(name, _)| &**name == database) {
            return;
        }
        let name = state.name.clone();
        round.reports.push((name.clone(), report));
        if state.latest.is_none_or(|(newest, _, _)| newest < number) {
            state.latest = Some((number, round.began, report));
        }
        self.highest_reported = self.highest_reported.max(report.term);
        if report.role == DatabaseRole::Primary && report.term >= self.highest_reported {
            self.alive_at = Some(now);
        }
        self.evaluate_round(now, number, actions);
        // A database that was busy with an older round joins the current one. Its sample is taken
        // after that round began, so it counts.
        if awaited
            && number < self.last_round
            && let Some(current) = self.rounds.back()
            && current.number == self.last_round
            && !current.reports.iter().any(|(reported, _)| *reported == name)
            && let Some(state) = self.databases.iter_mut().find(|state| state.name == name)
        {
            state.asked = Some((self.last_round, now));
            actions.push(MonitorAction::RequestReport { database: name, round: self.last_round });
        }
    }

    /// Confirms a round whose reports suffice, and acknowledges the commits that it covers.
    fn evaluate_round(&mut self, now: Micros, number: u64, actions: &mut Vec<MonitorAction>) {
        let majority = if self.faults.no_majority { 1 } else { self.majority() };
        let Some(index) = self.rounds.iter().position(|round| round.number == number) else {
            return;
        };
        let round = &self.rounds[index];
        let began = round.began;
        let primary = round.reports.iter().find(|(_, report)| {
            report.role == DatabaseRole::Primary
                && report.term >= self.term
                && round.reports.iter().filter(|(_, other)| other.term == report.term).count()
                    >= majority
        });
        let Some((leader, primary)) = primary.cloned() else { return };
        let position = primary.received.max(primary.applied);
        if !round.confirmed {
            self.rounds[index].confirmed = true;
            self.alive_at = Some(now);
            self.adopt_term(&leader, &primary, actions);
            self.add_sample(now, PositionSample { began, position });
        }
        self.settle_list(index, position);
        self.acknowledge_commits(index, position, actions);
    }

    /// Evaluates a confirmed round, which began after the last change of the list.
    fn settle_list(&mut self, index: usize, position: LogPosition) {
        let needed = match self.list {
            ListState::Settled => return,
            ListState::Awaiting { term, position } if term == self.term => position,
            ListState::Awaiting { .. } | ListState::Changed => position,
        };
        let reports = self.rounds[index].reports.iter();
        let received = reports
            .filter(|(_, report)| self.is_on_primary_log(report) && report.received >= needed)
            .count();
        self.list = match received >= self.majority() {
            true => ListState::Settled,
            false => ListState::Awaiting { term: self.term, position: needed },
        };
    }

    /// Adopts a term that a round confirmed.
    fn adopt_term(
        &mut self,
        leader: &Name,
        primary: &DatabaseReport,
        actions: &mut Vec<MonitorAction>,
    ) {
        let term = primary.term;
        if term > self.term || self.leader.is_none() {
            self.term = term;
            self.leader = Some(leader.clone());
            self.confirmed = None;
            self.samples.clear();
            actions.push(MonitorAction::LeaderChanged { term, leader: leader.clone() });
            self.commits.retain(|pending| {
                let keep = pending.term >= term;
                if !keep {
                    actions.push(MonitorAction::OutcomeUnknown { commit: pending.commit });
                }
                keep
            });
        }
        let start = TermStart { start: primary.term_start, previous_term: primary.previous_term };
        self.learn_term(term, start);
    }

    /// Acknowledges the commits that the round covers.
    fn acknowledge_commits(
        &mut self,
        index: usize,
        position: LogPosition,
        actions: &mut Vec<MonitorAction>,
    ) {
        if self.commits.is_empty() {
            return;
        }
        let round = &self.rounds[index];
        let majority = self.majority();
        let mut received: Vec<LogPosition> = round
            .reports
            .iter()
            .filter(|(_, report)| self.is_on_primary_log(report))
            .map(|(_, report)| report.received)
            .collect();
        received.sort_unstable_by(|left, right| right.cmp(left));
        let majority_received = match received.get(majority - 1) {
            _ if self.faults.no_receipt => LogPosition(u64::MAX),
            Some(position) => *position,
            None => LogPosition(0),
        };
        let majority_known = self.faults.no_receipt || received.len() >= majority;
        let (term, number) = (self.term, round.number);
        self.commits.retain_mut(|pending| {
            if pending.term != term || pending.first_round > number {
                return true;
            }
            let needed = *pending.covered_by.get_or_insert(position);
            if pending.durable && !(majority_known && majority_received >= needed) {
                return true;
            }
            let required_position = RequiredPosition { term, position: needed };
            actions.push(MonitorAction::Acknowledge { commit: pending.commit, required_position });
            false
        });
    }

    fn add_sample(&mut self, now: Micros, sample: PositionSample) {
        if self.confirmed.is_some_and(|(newest, _)| newest >= sample.began) {
            return;
        }
        self.confirmed = Some((sample.began, sample.position));
        // A newer sample at the same or a lower position proves more than the older one.
        while self.samples.back().is_some_and(|last| last.position >= sample.position) {
            self.samples.pop_back();
        }
        self.samples.push_back(sample);
        if self.samples.len() >= MAX_SAMPLES {
            self.thin_samples(now);
        }
    }

    /// Thins samples, the older the more. A sample is dropped only if its neighbours are close to each
    /// other, so a proved age is too high by at most 1/16 or 8 ms.
    fn thin_samples(&mut self, now: Micros) {
        let mut kept: VecDeque<PositionSample> = VecDeque::with_capacity(MAX_SAMPLES);
        let oldest = now.saturating_sub(SAMPLE_RETENTION);
        for (index, sample) in self.samples.iter().enumerate().rev() {
            let age = now.saturating_sub(sample.began);
            let gap = MIN_SAMPLE_GAP.max(Micros(age.0 / SAMPLE_GAP_DIVISOR));
            let older = index.checked_sub(1).and_then(|index| self.samples.get(index));
            let redundant = match (kept.front(), older) {
                (Some(newer), Some(older)) => newer.began - older.began <= gap,
                _ => false,
            };
            if sample.began >= oldest && !redundant {
                kept.push_front(*sample);
            }
        }
        while kept.len() >= MAX_SAMPLES {
            kept.pop_front();
        }
        self.samples = kept;
    }

    /// Abandons requests and commits that timed out, and earlier rounds without a request in flight.
    fn expire(&mut self, now: Micros, actions: &mut Vec<MonitorAction>) {
        for state in &mut self.databases {
            if let Some((_, sent)) = state.asked
                && now >= sent + self.config.report_timeout
            {
                state.asked = None;
            }
        }
        let timeout = self.config.acknowledge_timeout;
        let expired = self.commits.partition_point(|pending| now >= pending.finished + timeout);
        for pending in self.commits.drain(..expired) {
            actions.push(MonitorAction::OutcomeUnknown { commit: pending.commit });
        }
        let (databases, current) = (&self.databases, self.last_round);
        self.rounds.retain(|round| {
            round.number == current
                || databases
                    .iter()
                    .any(|state| state.asked.is_some_and(|(asked, _)| asked == round.number))
        });
    }

    /// Returns when the next round is due if no commit waits.
    fn idle_due(&self) -> Micros {
        self.rounds.back().map_or(Micros::ZERO, |round| round.began + self.config.idle_interval)
    }

    /// Returns when the next round is due because commits wait; `None` while no commit waits or the
    /// current round can still answer them.
    fn commit_due(&self) -> Option<Micros> {
        if self.commits.is_empty() {
            return None;
        }
        let Some(round) = self.rounds.back() else {
            return Some(Micros::ZERO);
        };
        let in_flight = self
            .databases
            .iter()
            .any(|state| state.asked.is_some_and(|(asked, _)| asked == round.number));
        if in_flight && !round.confirmed {
            return None;
        }
        let new = self.commits.last().is_some_and(|pending| pending.first_round > round.number);
        Some(if new { round.began } else { round.began + ROUND_RETRY_INTERVAL })
    }

    /// Returns when the primary, or any database if the primary is unknown, can be asked; `None` while
    /// a request is in flight.
    fn commit_ready_at(&self) -> Option<Micros> {
        self.databases
            .iter()
            .filter(|state| self.leader.as_ref().is_none_or(|leader| *leader == state.name))
            .filter(|state| state.asked.is_none())
            .map(|state| state.retry_at)
            .min()
    }

    /// Begins a round if one is due and a database is free to be asked.
    fn begin_round(&mut self, now: Micros, actions: &mut Vec<MonitorAction>) {
        let idle = now >= self.idle_due();
        let commit = self.commit_due().is_some_and(|due| now >= due)
            && self.commit_ready_at().is_some_and(|ready| now >= ready);
        if !(idle || commit) || !self.databases.iter().any(|state| state.is_free(now)) {
            return;
        }
        self.last_round += 1;
        let number = self.last_round;
        self.rounds.push_back(ReportRound {
            number,
            began: now,
            reports: Vec::new(),
            confirmed: false,
        });
        for state in &mut self.databases {
            if state.is_free(now) {
                state.asked = Some((number, now));
                let database = state.name.clone();
                actions.push(MonitorAction::RequestReport { database, round: number });
            }
        }
        let (databases, current) = (&self.databases, self.last_round);
        self.rounds.retain(|round| {
            round.number == current
                || databases
                    .iter()
                    .any(|state| state.asked.is_some_and(|(asked, _)| asked == round.number))
        });
    }

    fn check_suspicion(&mut self, now: Micros, timer: bool, actions: &mut Vec<MonitorAction>) {
        let alive_at = self.alive_at.unwrap_or(now);
        let suspected = now >= alive_at + self.config.suspect_after;
        if suspected && (timer || !self.suspected) {
            actions.push(MonitorAction::PrimarySuspected { term: self.highest_reported });
        }
        if self.suspected && !suspected {
            actions.push(MonitorAction::SuspicionCleared);
        }
        self.suspected = suspected;
    }
}
