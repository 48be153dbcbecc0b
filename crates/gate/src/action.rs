//! Actions that a gate requests from the I/O driver.

use std::net::SocketAddr;

use allot::AllotmentGrant;
use bytes::Bytes;
use model::Name;

use crate::backend::{BackendCommand, TermPosition};
use crate::event::{ConnectionId, NodeRole, SessionId};
use crate::statement::{ErrorCode, TransactionState};

/// Answer to a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientReply {
    /// Rows and the database's signature; both are empty for statements that the proxy answers
    /// itself.
    Done {
        rows: Vec<Bytes>,
        signature: Option<Bytes>,
    },
    Failed {
        code: ErrorCode,
        text: String,
    },
}

/// An action; the I/O driver executes actions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum GateAction {
    // Clients.
    AcceptSession {
        session: SessionId,
    },
    /// Send the error and close the session.
    RefuseSession {
        session: SessionId,
        code: ErrorCode,
        text: String,
    },
    Reply {
        session: SessionId,
        reply: ClientReply,
        state: TransactionState,
        /// Position of the session's last commit, for other nodes.
        position: Option<TermPosition>,
    },
    /// Answer another node's request for tokens.
    ReplyAllotments {
        session: SessionId,
        grants: Vec<AllotmentGrant>,
    },
    CloseSession {
        session: SessionId,
    },

    // Connections to databases.
    OpenConnection {
        connection: ConnectionId,
        cluster: Name,
        database: Name,
        address: SocketAddr,
        /// The account that the connection serves; `None` for none in particular.
        account: Option<Name>,
    },
    CloseConnection {
        connection: ConnectionId,
    },
    /// Send commands; they are answered in order.
    Send {
        connection: ConnectionId,
        commands: Vec<BackendCommand>,
    },

    // The platform.
    /// Write the promotion lease document if its revision is still `expected`; 0 means that it must
    /// not exist.
    WritePromotionLease {
        attempt: u64,
        expected: u64,
        bytes: Vec<u8>,
    },
    /// Publish this node's registration. If it had another role, the registration in that role
    /// ends. `role_changes` counts the changes of role.
    PublishRegistration {
        role: NodeRole,
        role_changes: u64,
        bytes: Vec<u8>,
    },
    /// Store the number of nodes.
    WriteNodeCount {
        bytes: Vec<u8>,
    },
    /// Store the record of the databases that may hold a cluster's commits, if its revision is still
    /// `expected`; 0 means that it must not exist.
    WriteLogHolders {
        cluster: Name,
        expected: u64,
        bytes: Vec<u8>,
    },
    /// Read the current lists of databases and documents.
    ReadStoreState,
    /// End the lease of another node's registration.
    EndLease {
        node: Name,
        lease: u64,
        /// Era of the store in which the lease was listed.
        era: u64,
    },
    Promote {
        cluster: Name,
        database: Name,
        holder: Name,
        fencing_token: u64,
    },

    // The process.
    SetReady(bool),
    ShutdownComplete,
    Log(LogRecord),
    Count {
        counter: &'static str,
        amount: u64,
    },
    /// Record a sample in a histogram, such as the time from a request's arrival to its reply.
    Observe {
        histogram: &'static str,
        micros: u64,
    },
}

/// A structured log record.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    pub event: &'static str,
    pub fields: Vec<(&'static str, LogValue)>,
}

/// A value in a log record.
#[derive(Clone, Debug, PartialEq)]
pub enum LogValue {
    Text(Name),
    Fixed(&'static str),
    Number(u64),
    Flag(bool),
}

impl From<&Name> for LogValue {
    fn from(name: &Name) -> Self {
        LogValue::Text(name.clone())
    }
}

impl From<String> for LogValue {
    fn from(text: String) -> Self {
        LogValue::Text(text.into())
    }
}

impl From<&'static str> for LogValue {
    fn from(text: &'static str) -> Self {
        LogValue::Fixed(text)
    }
}

impl From<u64> for LogValue {
    fn from(number: u64) -> Self {
        LogValue::Number(number)
    }
}

impl From<bool> for LogValue {
    fn from(flag: bool) -> Self {
        LogValue::Flag(flag)
    }
}
