//! Events that the I/O driver passes to a gate.

use std::net::SocketAddr;

use account::ApiKey;
use allot::AllotmentGrant;
use model::{DatabaseRole, Micros, Name, Rank};

use crate::backend::{BackendAnswer, TermPosition};
use crate::route::RouteTable;
use crate::statement::{ClientRequest, ErrorCode};

/// Identifier of a client's session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Who opened a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionOrigin {
    Client,
    /// Another node, which forwards requests that it cannot serve.
    Peer,
}

/// Identifier of a connection to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A backend server as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedDatabase {
    pub id: Name,
    pub cluster: Name,
    pub address: SocketAddr,
    pub data_centre: Name,
    /// Statements that it executes concurrently.
    pub slots: u32,
    pub leaving: bool,
    /// The role that it claims to have; a replaced primary may still claim to lead.
    pub claimed_role: Option<DatabaseRole>,
    /// When it started, by its own clock; a database that starts again knows nothing of before.
    pub started_at_ms: Option<u64>,
}

/// A document that this project keeps in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Document {
    /// The promotion lease.
    PromotionLease,
    /// Number of nodes of a large deployment.
    NodeCount,
    /// Databases that may hold acknowledged commits of a cluster.
    LogHolders(Name),
    /// Registration of a node in a role.
    Node(NodeRole, Name),
}

/// The role that a node is registered in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum NodeRole {
    /// Forwards every request. Failovers do not wait for it.
    #[default]
    Standby,
    /// Owns connections; the lease of its registration is its read lease.
    Owner,
}

/// A stored document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredDocument {
    pub document: Document,
    pub revision: u64,
    /// The store's lease that the document depends on, zero without one.
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

/// The platform's answer to a promotion call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromoteResult {
    Accepted,
    /// This database cannot be promoted, according to the platform.
    Rejected,
    /// No answer, or a refusal for another reason.
    Failed,
}

/// An entry in the list of databases that names none, as by another writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    pub id: Name,
    /// What is wrong with it, such as the field that is missing.
    pub reason: Name,
}

/// State of the store at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreState {
    /// Revision of the store when it was read.
    pub revision: u64,
    pub databases: Vec<ListedDatabase>,
    pub unreadable_entries: Vec<UnreadableEntry>,
    pub documents: Vec<StoredDocument>,
}

/// An event; the I/O driver passes events in the order in which it saw them.
#[derive(Clone, Debug, PartialEq)]
pub enum GateEvent {
    // Clients.
    SessionOpened {
        session: SessionId,
        database: Name,
        /// The client's key; empty for other nodes.
        key: ApiKey,
        origin: SessionOrigin,
    },
    /// The next request; the I/O driver passes one at a time.
    RequestArrived {
        session: SessionId,
        request: ClientRequest,
    },
    SessionClosed {
        session: SessionId,
    },

    // Connections to databases.
    ConnectionOpened {
        connection: ConnectionId,
        position: Option<TermPosition>,
    },
    /// The database refused the connection.
    ConnectionRefused {
        connection: ConnectionId,
        code: ErrorCode,
    },
    ConnectionLost {
        connection: ConnectionId,
    },
    ConnectionAnswered {
        connection: ConnectionId,
        answer: Box<BackendAnswer>,
    },

    /// A home node has answered a request for tokens.
    AllotmentsAnswered {
        connection: ConnectionId,
        grants: Vec<AllotmentGrant>,
    },

    // The platform.
    RoutesChanged(Box<RouteTable>),
    /// All databases that are currently listed.
    DatabasesListed(Vec<ListedDatabase>),
    DatabaseChanged(ListedDatabase),
    /// The entry was written, and names no database.
    DatabaseUnreadable(UnreadableEntry),
    /// The entry is gone.
    DatabaseUnlisted {
        id: Name,
    },
    /// All documents of this project, at a revision of the store.
    DocumentsListed {
        documents: Vec<StoredDocument>,
        revision: u64,
    },
    DocumentChanged(StoredDocument),
    /// A document was removed at a revision of the store.
    DocumentRemoved {
        document: Document,
        revision: u64,
    },
    PromotionLeaseWritten {
        attempt: u64,
        result: WriteResult,
    },
    /// The current state that
    /// [`GateAction::ReadStoreState`](crate::GateAction::ReadStoreState) requested; `None` if the
    /// store did not answer.
    StoreStateRead {
        state: Option<StoreState>,
    },
    /// Another node's lease has ended, or, if `ended` is false, the call failed.
    EndLeaseAnswered {
        node: Name,
        ended: bool,
    },
    /// This node's registration as an owner after this number of role changes is stored, and its
    /// lease was renewed by a call sent at `sent`.
    ReadLeaseRenewed {
        sent: Micros,
        role_changes: u64,
    },
    /// As `ReadLeaseRenewed`, for its registration as a standby.
    StoreContactRenewed {
        sent: Micros,
    },
    /// The lease of this node's registration is gone; the next renewal acquires a new one.
    RegistrationLeaseLost,
    /// This node's registration was stored at a revision. `role_changes` is that of the published
    /// registration.
    RegistrationStored {
        role_changes: u64,
        revision: u64,
        /// When the write was sent.
        sent: Micros,
    },
    PromoteAnswered {
        cluster: Name,
        result: PromoteResult,
    },
    /// The store answers again, or has stopped answering.
    StoreReachable(bool),
    /// All changes up to a revision of the store have been passed on, as far as they concern the
    /// gate. The store knew no later one at `known_at`, or a relay of it last heard from it then.
    StoreFollowed {
        revision: u64,
        known_at: Micros,
    },

    // The process.
    DrainRequested,
    Timer,
}

/// Returns the rank of a route's numeric priority, 0 being the most urgent.
pub fn rank_of_priority(priority: u64) -> Rank {
    match priority {
        0 => Rank::Urgent,
        1 => Rank::Interactive,
        _ => Rank::Batch,
    }
}
