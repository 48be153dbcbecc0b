//! Requests and replies that pass between sessions, owners and backend servers.

use std::sync::Arc;

use bytes::Bytes;
use model::{LabelSet, Micros, Name, Rank, RequiredPosition};

/// The start-up message of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionStart {
    /// Start-up parameters, including `user` and `database`. The value of `options` is already split into
    /// parameters.
    pub parameters: Vec<(Name, String)>,
    /// The client's IP address.
    pub address: Name,
}

/// The protocol that the client used for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// One `Query` message.
    Simple,
    /// Messages of the extended protocol up to and including `Sync`.
    Extended,
}

/// One client request, as the I/O driver separates it from the client's messages.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    pub kind: RequestKind,
    /// Text of the statement. For extended messages, the texts of all statements that they parse or
    /// execute, separated by a semicolon and a line end.
    pub text: Arc<str>,
    /// The messages to send to the backend server. For extended messages the I/O driver replaces
    /// statement names with names derived from the text and adds a `Parse` where needed.
    pub frames: Bytes,
}

/// Transaction state as reported by a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    #[default]
    Idle,
    Open,
    Failed,
}

/// An error or notice for a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorReply {
    /// SQLSTATE.
    pub code: Name,
    pub message: String,
}

/// Result of an exchange on a backend connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExchangeSummary {
    pub transaction: TransactionState,
    /// Tag of the last `CommandComplete`, such as `INSERT 0 1`.
    pub command_tag: Option<String>,
    /// The first error, if any.
    pub error: Option<ErrorReply>,
    /// Columns of the first row as text, in mode `Collect`.
    pub first_row: Vec<Option<String>>,
}

/// A request for the owner of a database, which is this node or a peer one hop away.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedRequest {
    pub database: Name,
    /// The client's user, application and address, joined; used for accounting and fair shares.
    pub caller: Name,
    pub labels: LabelSet,
    pub selector: Name,
    pub rank: Rank,
    /// Time left until the deadline.
    pub time_left: Micros,
    pub read: bool,
    /// The statement commits: it is a write outside a transaction, or the `COMMIT` of a transaction that
    /// wrote.
    pub commits: bool,
    pub durable: bool,
    /// Accepted data age; `None` if the read needs the primary.
    pub max_age: Option<Micros>,
    pub required_position: Option<RequiredPosition>,
    /// Time since the session opened, if it has neither a token nor a required position.
    pub session_age: Option<Micros>,
    pub request_key: Option<Name>,
    pub user: Name,
    pub request: ClientRequest,
}

/// Why an owner did not run a request. Nothing was sent to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// The database is not the primary; `leader` is, if known.
    NotLeader {
        leader: Option<Name>,
    },
    /// The data age or the required position cannot be proved.
    NoProof,
    /// This node does not own the database.
    NotOwner {
        owner: Name,
    },
    /// The backend server is leaving, or unreachable.
    Unavailable,
    QueueFull {
        limit: u32,
    },
    /// The deadline cannot be met.
    DeadlineUnreachable {
        expected: Micros,
    },
    /// The node is shutting down.
    ShuttingDown,
}

/// The result of a request at its owner. Rows are relayed separately, before it.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerReply {
    /// The answer was relayed completely.
    Done {
        transaction: TransactionState,
        /// Set after an acknowledged write.
        required_position: Option<RequiredPosition>,
        /// Set if a write of the session was lost in a failover: the required position to use instead.
        replacement_position: Option<RequiredPosition>,
        /// Data age that the owner can prove now; a hint for routing.
        age: Option<Micros>,
        /// Expected wait for a slot; a hint for routing.
        wait: Micros,
    },
    /// The owner relayed nothing and the entry node builds the answer: the recorded outcome of a repeated
    /// request key, or an error such as `22023` for a key that belongs to another statement.
    Recorded {
        /// Tag of the `CommandComplete` of the first execution; `None` if there is an error.
        command_tag: Option<String>,
        error: Option<ErrorReply>,
        transaction: TransactionState,
        /// Required position that covers the recorded write.
        required_position: Option<RequiredPosition>,
    },
    /// Nothing was sent to the backend server.
    Declined { reason: DeclineReason, age: Option<Micros>, wait: Micros },
    /// The transaction was rolled back before its commit was sent.
    RolledBack { message: String },
    /// The outcome of the write is not known.
    OutcomeUnknown { message: String },
    /// An answer was interrupted; `relayed` tells whether a part of it was relayed. For a write it is
    /// always true and the outcome is unknown: the write must not be retried, not even with a request key.
    AnswerInterrupted { relayed: bool, message: String },
}
