//! Rounds of reports from the databases of one cluster.

use model::{LogPosition, Micros, Name, SessionFloor, Term};

/// Identifies a commit that waits for its acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommitId(pub u64);

/// Role that a database reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatabaseRole {
    Primary,
    Replica,
}

/// A database's answer to a report request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatabaseReport {
    pub term: Term,
    pub role: DatabaseRole,
    /// Term of the last log entry.
    pub log_term: Term,
    /// Log stored, though perhaps not applied.
    pub received: LogPosition,
    /// Log visible to reads.
    pub applied: LogPosition,
    /// Where this database's current term began, if it is the primary.
    pub term_start: LogPosition,
}

/// Intervals and limits of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchConfig {
    /// Between rounds while no commit waits.
    pub idle_interval: Micros,
    /// After which a report counts as failed.
    pub report_timeout: Micros,
    /// Without a report of the primary for this long, it is suspected.
    pub suspect_after: Micros,
    /// After which a commit's outcome is unknown.
    pub acknowledge_timeout: Micros,
}

impl Default for WatchConfig {
    fn default() -> Self {
        WatchConfig {
            idle_interval: Micros::from_millis(250),
            report_timeout: Micros::from_millis(500),
            suspect_after: Micros::from_secs(1),
            acknowledge_timeout: Micros::from_secs(3),
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// A database answered the report request of a round.
    ReportArrived { database: Name, round: u64, report: DatabaseReport },
    /// The report connection of a database failed.
    ReportFailed { database: Name, round: u64 },
    /// The primary answered a commit; the caller waits for the acknowledgement.
    CommitFinished { commit: CommitId, term: Term, durable: bool },
    /// Time passed.
    Timer,
}

/// What the watch asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchAction {
    /// Send a report request.
    AskReport { database: Name, round: u64 },
    /// The commit may be acknowledged; `floor` covers it.
    Acknowledge { commit: CommitId, floor: SessionFloor },
    /// The outcome of the commit is unknown.
    OutcomeUnknown { commit: CommitId },
    /// A term opened with a new leader.
    LeaderChanged { term: Term, leader: Name },
    /// The primary is suspected; repeated with every timer while it is.
    PrimarySuspected { term: Term },
    /// The primary answers again, or another leads.
    SuspicionCleared,
}

/// How a database stands to a session floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloorState {
    /// The database holds the state.
    Met,
    /// Not yet, or not known.
    NotYet,
    /// The write was lost in a change of primary; the floor to use instead.
    Lost { instead: SessionFloor },
}

/// A pool owner's view, which another supervisor asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderView {
    pub term: Term,
    pub leader: Option<Name>,
    /// Time since the last confirmed round began.
    pub confirmed_ago: Option<Micros>,
}

/// Evidence about one cluster.
#[derive(Debug)]
pub struct ClusterWatch {
    config: WatchConfig,
    databases: Vec<Name>,
}

impl ClusterWatch {
    /// Creates a watch that knows nothing yet.
    pub fn new(config: WatchConfig, databases: Vec<Name>) -> Self {
        ClusterWatch { config, databases }
    }

    /// Takes over a changed list of databases.
    pub fn set_databases(&mut self, databases: Vec<Name>) {
        self.databases = databases;
    }

    /// Handles an event.
    pub fn handle(&mut self, _now: Micros, _event: WatchEvent, _actions: &mut Vec<WatchAction>) {}

    /// Returns when the next [`WatchEvent::Timer`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        let _ = self.config;
        None
    }

    /// Returns the current view.
    pub fn view(&self, _now: Micros) -> LeaderView {
        LeaderView { term: Term(0), leader: None, confirmed_ago: None }
    }

    /// Returns the last report of a database and when its round began.
    pub fn report(&self, _database: &str) -> Option<(Micros, DatabaseReport)> {
        None
    }

    /// Returns the data age that can be proved for a database, if any.
    pub fn provable_age(&self, _now: Micros, _database: &str) -> Option<Micros> {
        None
    }

    /// Compares a database with a session floor.
    pub fn floor_state(&self, _database: &str, _floor: SessionFloor) -> FloorState {
        FloorState::NotYet
    }

    /// Returns the position of the last confirmed round that began at or after `since`.
    pub fn confirmed_floor(&self, _since: Micros) -> Option<SessionFloor> {
        None
    }
}
