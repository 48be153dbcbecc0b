//! Requests and their answers, as they pass between sessions, pool owners and backend servers.

use std::sync::Arc;

use bytes::Bytes;
use model::{LabelSet, Micros, Name, Rank, SessionFloor};

/// A caller's start-up.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionStart {
    /// Start-up parameters, `user` and `database` among them; `options` already split.
    pub parameters: Vec<(Name, String)>,
    /// The caller's IP address.
    pub address: Name,
}

/// How the caller sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// One `Query` message.
    Simple,
    /// Extended messages up to and with `Sync`.
    Extended,
}

/// One request of a caller, cut out of its messages by the shell.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    pub kind: RequestKind,
    /// Text of the statement, or of all statements that the extended messages parse or execute, one
    /// per line end with a semicolon between.
    pub text: Arc<str>,
    /// The messages as they go to the backend server. For extended messages the shell replaces the
    /// statement names by names derived from the text and adds the `Parse` where needed.
    pub frames: Bytes,
}

/// Transaction state that a backend server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    #[default]
    Idle,
    Open,
    Failed,
}

/// An error that a caller sees.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorReply {
    /// SQLSTATE.
    pub code: Name,
    pub message: String,
}

/// End of a run on a backend connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunSummary {
    pub transaction: TransactionState,
    /// Tag of the last `CommandComplete`, such as `INSERT 0 1`.
    pub command_tag: Option<String>,
    /// The first error, if any.
    pub error: Option<ErrorReply>,
    /// Columns of the first row as text, for runs whose mode is `Collect`.
    pub first_row: Vec<Option<String>>,
}

/// A request on its way to a pool owner, local or forwarded by one hop.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRequest {
    pub database: Name,
    /// The caller's user, application and address, joined; accounting and fair shares go by it.
    pub caller: Name,
    pub labels: LabelSet,
    pub selector: Name,
    pub rank: Rank,
    /// Time that is left until the deadline.
    pub time_left: Micros,
    pub read: bool,
    /// The statement commits: it is a write outside a transaction, or a `COMMIT` of one that wrote.
    pub commits: bool,
    pub durable: bool,
    /// Accepted data age; `None` if the read needs the primary.
    pub max_age: Option<Micros>,
    pub floor: Option<SessionFloor>,
    /// Time since the session arrived, if it came without a token and has no floor yet.
    pub arrived_ago: Option<Micros>,
    pub request_key: Option<Name>,
    pub user: Name,
    pub request: CallerRequest,
}

/// Why a pool owner did not run a request. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// Another database leads, if known.
    NotLeader { leader: Option<Name> },
    /// The data age or session floor cannot be proved.
    NoProof,
    /// This node does not own the database.
    NotOwner { owner: Name },
    /// The backend server is leaving, or unreachable.
    Unavailable,
    /// The queue is full.
    QueueFull { limit: u32 },
    /// The deadline cannot be met.
    Deadline { expected: Micros },
    /// The node is shutting down.
    Leaving,
}

/// The end of a request at its pool owner. Rows have already been relayed.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkReply {
    /// The answer was relayed whole.
    Done {
        transaction: TransactionState,
        /// Set after an acknowledged write.
        floor: Option<SessionFloor>,
        /// Write of the session that was lost in a change of primary; the floor to use instead.
        lost: Option<SessionFloor>,
        /// Data age that the owner can prove now, a hint for later choices.
        age: Option<Micros>,
        /// Expected wait for a slot, a hint for later choices.
        wait: Micros,
    },
    /// The owner relayed nothing and the entry proxy makes the answer itself: the recorded outcome of
    /// a repeated request key, or an error such as `22023` for a key that belongs to another
    /// statement.
    Recorded {
        /// Tag of the `CommandComplete` of the first run; `None` if there is an error.
        command_tag: Option<String>,
        error: Option<ErrorReply>,
        transaction: TransactionState,
        /// Covers the recorded write.
        floor: Option<SessionFloor>,
    },
    /// Nothing was sent to the backend server.
    Declined { reason: DeclineReason, age: Option<Micros>, wait: Micros },
    /// The transaction was rolled back before its commit was sent.
    RolledBack { message: String },
    /// The outcome is not known.
    Unknown { message: String },
    /// An answer broke off; `relayed` tells whether a part of it went out. For a write, whose outcome
    /// is then unknown, it always did: the write must not be tried again, not even with a request key.
    ReadFailed { relayed: bool, message: String },
}
