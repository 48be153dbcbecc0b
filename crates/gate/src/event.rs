//! What happens to a gate.

use std::net::SocketAddr;

use model::{DatabaseRole, Micros, Name, Rank};

use crate::backend::{BackendAnswer, LogPoint};
use crate::route::RouteTable;
use crate::statement::{ClientRequest, ErrorCode};

/// A client's session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Who opened a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionOrigin {
    Client,
    /// Another node, which forwards requests that it cannot serve.
    Peer,
}

/// A connection to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedDatabase {
    pub id: Name,
    pub cluster: Name,
    pub address: SocketAddr,
    pub data_centre: Name,
    /// Statements that execute at once.
    pub slots: u32,
    pub leaving: bool,
    /// The role that it believes to have; a replaced primary may still claim to lead.
    pub claimed_role: Option<DatabaseRole>,
}

/// A document that this project keeps in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Document {
    /// Holder of the promotion duty.
    Duty,
    /// Number of nodes of a large deployment.
    Fleet,
    /// Registration of a node in a role.
    Node(NodeRole, Name),
}

/// What a node is registered as.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum NodeRole {
    /// Forwards every request. Changes of primary need not wait for it.
    #[default]
    Standby,
    /// Owns connections; its lease is its read permit.
    Owner,
}

/// A stored document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredDocument {
    pub document: Document,
    pub revision: u64,
    /// The lease that it depends on, zero without one.
    pub lease: u64,
    pub bytes: Vec<u8>,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    Written {
        revision: u64,
    },
    Conflict,
    /// No answer, or a refusal; the write may still take effect.
    Failed,
}

/// Answer of the platform to a promotion call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromoteResult {
    Accepted,
    /// The platform says that this database cannot be promoted.
    Rejected,
    /// No answer, or a refusal for another reason.
    Failed,
}

/// State of the store at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreState {
    pub databases: Vec<ListedDatabase>,
    pub documents: Vec<StoredDocument>,
}

/// An event, in the order in which the shell saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum GateEvent {
    // Clients.
    SessionOpened {
        session: SessionId,
        database: Name,
        origin: SessionOrigin,
    },
    /// The next request; the shell sends one at a time.
    RequestArrived {
        session: SessionId,
        request: ClientRequest,
    },
    SessionClosed {
        session: SessionId,
    },

    // Connections to databases.
    LinkOpened {
        link: LinkId,
        point: Option<LogPoint>,
    },
    /// The database refused the connection.
    LinkRefused {
        link: LinkId,
        code: ErrorCode,
    },
    LinkLost {
        link: LinkId,
    },
    LinkAnswered {
        link: LinkId,
        answer: Box<BackendAnswer>,
    },

    // The platform.
    RoutesChanged(Box<RouteTable>),
    /// All databases that are listed now.
    DatabasesListed(Vec<ListedDatabase>),
    DatabaseChanged(ListedDatabase),
    /// The entry is gone or unusable.
    DatabaseUnlisted {
        id: Name,
    },
    /// All documents of this project.
    DocumentsListed(Vec<StoredDocument>),
    DocumentChanged(StoredDocument),
    DocumentRemoved(Document),
    DutyWritten {
        attempt: u64,
        result: WriteResult,
    },
    /// The current state that a promotion asked for; `None` if the store did not answer.
    StateRead {
        state: Option<StoreState>,
    },
    /// Another node's lease has ended, or the call failed.
    LeaseEnded {
        node: Name,
        ended: bool,
    },
    /// This node's registration of this number as an owner is stored, and its lease was renewed by a call
    /// sent at `sent`.
    PermitRenewed {
        sent: Micros,
        registration: u64,
    },
    /// The same of its registration as a standby.
    ContactRenewed {
        sent: Micros,
    },
    /// The lease is gone; a new one is acquired with the next renewal.
    PermitLost,
    PromoteAnswered {
        cluster: Name,
        result: PromoteResult,
    },
    /// The store answers again, or no longer does.
    StoreReachable(bool),

    // The process.
    DrainRequested,
    Timer,
}

/// Rank of a route's numeric priority, 0 being the most urgent.
pub fn rank_of_priority(priority: u64) -> Rank {
    match priority {
        0 => Rank::Urgent,
        1 => Rank::Interactive,
        _ => Rank::Batch,
    }
}
