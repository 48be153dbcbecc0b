//! Requests of clients as typed statements.

use model::Name;

use crate::backend::LogPoint;

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StatementAccess {
    Read,
    Write,
}

/// A statement, as every codec hands it to the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    Read,
    Write,
    Set {
        name: Name,
        value: Name,
    },
    Prepare {
        name: Name,
        access: StatementAccess,
        shape: Name,
    },
    /// `arguments` is everything behind the prepared name.
    Execute {
        name: Name,
        arguments: Name,
    },
    Deallocate {
        name: Name,
    },
}

/// One request of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Chosen by the client and passed on unchanged, so that databases and logs agree on it.
    pub id: Name,
    /// The statement as the client wrote it; passed on unchanged except for prepared names.
    pub text: Name,
    pub statement: Statement,
    /// Position that a read needs; only other nodes send one.
    pub after: Option<LogPoint>,
}

/// Transaction state that a client is told with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionState {
    #[default]
    Idle,
    Open,
    /// The transaction failed; only its end is accepted.
    Failed,
}

/// Errors that clients and databases exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorCode {
    /// Not run for want of a slot or a usable database.
    Busy,
    /// The transaction was rolled back and nothing of it is kept.
    Aborted,
    /// Not run: the log lacks the requested position.
    Lagging,
    /// Not run: the database does not accept writes.
    ReadOnly,
    /// Not run: the database is another one than expected.
    Misrouted,
    /// Not run: the connection limit is reached.
    TooManyConnections,
    /// Whether the request ran is not known.
    Unknown,
    /// The time limit passed; the request may have run.
    Timeout,
    /// The request ran and failed.
    Failed,
    NoStatement,
    NoDatabase,
    TooBig,
    Malformed,
    /// A code that this version does not know; promises nothing.
    Other,
}

impl ErrorCode {
    /// Tells whether the code promises that the request did not run.
    pub const fn promises_not_run(self) -> bool {
        matches!(
            self,
            ErrorCode::Busy
                | ErrorCode::Aborted
                | ErrorCode::Lagging
                | ErrorCode::ReadOnly
                | ErrorCode::Misrouted
                | ErrorCode::TooManyConnections
                | ErrorCode::NoStatement
        )
    }

    /// Returns the name used in logs and counters.
    pub const fn name(self) -> &'static str {
        match self {
            ErrorCode::Busy => "busy",
            ErrorCode::Aborted => "aborted",
            ErrorCode::Lagging => "lagging",
            ErrorCode::ReadOnly => "read_only",
            ErrorCode::Misrouted => "misrouted",
            ErrorCode::TooManyConnections => "too_many_connections",
            ErrorCode::Unknown => "unknown",
            ErrorCode::Timeout => "timeout",
            ErrorCode::Failed => "failed",
            ErrorCode::NoStatement => "no_statement",
            ErrorCode::NoDatabase => "no_database",
            ErrorCode::TooBig => "too_big",
            ErrorCode::Malformed => "malformed",
            ErrorCode::Other => "other",
        }
    }
}
