//! One cluster's promotion, step by step.

use model::{LogPosition, Micros, Name, Term};

use crate::watch::{DatabaseReport, LeaderView};

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

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum SupervisorEvent {
    /// The watch suspects the primary of `term`. `order` is this node's place among the supervisors.
    PrimarySuspected { term: Term, order: u32 },
    /// The suspicion is over.
    SuspicionCleared,
    /// Another owner's view arrived, or `None` if it could not be asked.
    ViewArrived { from: Name, view: Option<LeaderView> },
    /// The platform answered a read: the record and its index for compare-and-swap.
    RecordRead { record: Option<LeaderRecord>, index: u64 },
    /// The platform answered a write: whether it was applied.
    RecordWritten { applied: bool },
    /// The platform did not answer, or the answer is not known.
    PlatformFailed,
    /// A database answered a fence; the report is the one after the fence.
    Fenced { database: Name, accepted: bool, report: DatabaseReport },
    /// A database could not be reached.
    DatabaseFailed { database: Name },
    /// The database leads from `start`.
    Promoted { database: Name, start: LogPosition },
    /// Time passed.
    Timer,
}

/// What the supervisor asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum SupervisorAction {
    AskViews,
    ReadRecord,
    WriteRecord { expected_index: u64, record: LeaderRecord },
    Fence { database: Name, term: Term, by: Name },
    Promote { database: Name, term: Term },
    Follow { database: Name, term: Term, leader: Name },
}

/// Orders promotions of one cluster.
#[derive(Debug)]
pub struct Supervisor {
    node: Name,
    databases: Vec<Name>,
}

impl Supervisor {
    /// Creates an idle supervisor; `seed` drives the random backoff.
    pub fn new(node: Name, databases: Vec<Name>, _seed: u64) -> Self {
        Supervisor { node, databases }
    }

    /// Takes over a changed list of databases.
    pub fn set_databases(&mut self, databases: Vec<Name>) {
        self.databases = databases;
    }

    /// Handles an event.
    pub fn handle(
        &mut self,
        _now: Micros,
        _event: SupervisorEvent,
        _actions: &mut Vec<SupervisorAction>,
    ) {
        let _ = &self.node;
    }

    /// Returns when the next [`SupervisorEvent::Timer`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        None
    }

    /// Returns the current step's name, for the state dump.
    pub fn step(&self) -> &'static str {
        "idle"
    }
}
