//! Protocol between the core and a database: commands, answers and reports.

use allot::AllotmentRequest;
use bytes::Bytes;
use model::{DatabaseRole, Micros, Name, Term};
use serde::{Deserialize, Serialize};

use crate::statement::{CallerIdentity, ErrorCode, StatementAccess, TransactionState};

/// A term and a position in a cluster's log, ordered by term first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TermPosition {
    pub term: Term,
    pub position: u64,
}

impl std::fmt::Display for TermPosition {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.term, self.position)
    }
}

/// A command to a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendCommand {
    /// A client's statement, unchanged. With `required_position`, it runs only if the log holds
    /// this position.
    Run {
        id: Name,
        text: Name,
        required_position: Option<TermPosition>,
        /// Only for other nodes.
        caller: Option<CallerIdentity>,
    },
    /// Execution of a client's prepared statement under this proxy's name for it.
    Execute {
        id: Name,
        prepared: Name,
        arguments: Name,
        required_position: Option<TermPosition>,
        /// Only for other nodes.
        caller: Option<CallerIdentity>,
    },
    /// Ends the open transaction without effect.
    Rollback,
    /// Clears session values and prepared statements.
    Reset,
    Set {
        name: Name,
        value: Name,
    },
    Prepare {
        name: Name,
        access: StatementAccess,
        shape: Name,
    },
    /// Requests tokens from another node.
    Allot(AllotmentRequest),
    /// Requests a report.
    Report,
    /// Stops a replica from receiving the log until a new primary is promoted; answered with a
    /// report.
    Fence {
        term: Term,
    },
    /// Lifts a fence.
    Unfence,
    /// Makes a primary of a lower term a replica; answered with a report.
    Demote {
        term: Term,
    },
}

/// A database's answer to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendAnswer {
    pub rows: Vec<Bytes>,
    pub end: AnswerEnd,
    pub state: TransactionState,
    /// Log position that the database has applied.
    pub position: Option<TermPosition>,
    /// Set for answers to commands that request a report.
    pub report: Option<DatabaseReport>,
}

/// How an answer ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The database's signature, which clients verify.
    Done(Bytes),
    Failed {
        code: ErrorCode,
        text: String,
    },
}

/// A database's report of its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatabaseReport {
    pub role: DatabaseRole,
    pub term: Term,
    /// End of the log that it has received.
    pub received: TermPosition,
    /// Term of the fence in force, zero without one.
    pub fence: Term,
    pub lag: Micros,
    /// Connections from all nodes.
    pub connections: u32,
}
