//! Requests of clients as typed statements.

use account::ApiKey;
use allot::{AllotmentDemand, AllotmentRequest};
use model::Name;

use crate::backend::TermPosition;

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StatementAccess {
    Read,
    Write,
}

/// A statement, as decoded by every codec.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    /// Clears session values and prepared statements; only other nodes send it.
    Reset,
    /// Requests tokens for accounts; only other nodes send it.
    Allot(AllotmentRequest),
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
    /// `arguments` is everything after the prepared name.
    Execute {
        name: Name,
        arguments: Name,
    },
    Deallocate {
        name: Name,
    },
}

/// Who sent a request, as the node that accepted the client knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Version of the configuration by which `account` was found.
    pub version: u64,
    /// `None` for a client of a public route whose key no account holds.
    pub account: Option<Name>,
    /// The client's key; never sent to a database.
    pub key: ApiKey,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// Chosen by the client and passed on unchanged, so that it is the same in the logs of
    /// databases and proxies.
    pub id: Name,
    /// The statement as the client wrote it; passed on unchanged except for prepared names.
    pub text: Name,
    pub statement: Statement,
    /// Log position that a read requires; only set by other nodes.
    pub required_position: Option<TermPosition>,
    /// Who sent the request; only set by other nodes.
    pub caller: Option<CallerIdentity>,
}

impl ClientRequest {
    /// Returns the size of the texts that the request holds, in bytes.
    pub fn held_bytes(&self) -> usize {
        let copied = match &self.statement {
            Statement::Set { name, value } => name.len() + value.len(),
            Statement::Prepare { name, shape, .. } => name.len() + shape.len(),
            Statement::Execute { name, arguments } => name.len() + arguments.len(),
            Statement::Deallocate { name } => name.len(),
            Statement::Allot(request) => {
                let sizes = request.demands.iter().map(|demand| demand.account.len());
                sizes.sum::<usize>() + request.demands.len() * size_of::<AllotmentDemand>()
            }
            Statement::Begin { .. }
            | Statement::Commit
            | Statement::Rollback
            | Statement::Reset
            | Statement::Read
            | Statement::Write => 0,
        };
        let caller = self.caller.as_ref().map_or(0, |caller| caller.key.as_str().len());
        self.id.len() + self.text.len() + copied + caller
    }
}

/// Transaction state that is sent to the client with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    #[default]
    Idle,
    Open,
    /// The transaction failed; only its end is accepted.
    Failed,
}

/// Errors that clients and databases exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorCode {
    /// Not run: no slot or no usable database is available.
    Busy,
    /// The transaction was rolled back without effect.
    Aborted,
    /// Not run: the log lacks the requested position.
    Lagging,
    /// Not run: the database does not accept writes.
    ReadOnly,
    /// Not run: the database is not the expected one.
    Misrouted,
    /// Not run: the connection limit is reached.
    TooManyConnections,
    /// It is not known whether the request ran.
    Unknown,
    /// The time limit passed; the request may have run.
    Timeout,
    /// The request ran and failed.
    Failed,
    NoStatement,
    NoDatabase,
    TooBig,
    Malformed,
    /// The client's key is not valid.
    NotAuthorized,
    /// A code that this version does not know; it guarantees nothing.
    Other,
}

impl ErrorCode {
    /// Returns true if the code guarantees that the request did not run.
    pub const fn guarantees_not_run(self) -> bool {
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
            ErrorCode::NotAuthorized => "not_authorized",
            ErrorCode::Other => "other",
        }
    }
}
