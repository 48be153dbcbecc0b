//! Actions that a node requests of its I/O driver.

use std::sync::Arc;

use admit::ConnectionId;
use bytes::Bytes;
use member::{Heartbeat, MemberInfo};
use model::{Name, SocketAddress, Term};

use crate::id::{CallId, ExchangeId, LaneId, ReportId, SessionId};
use crate::request::{ErrorReply, OwnerReply, RoutedRequest, TransactionState};

/// Where the answer of an exchange goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerTarget {
    Session(SessionId),
    /// The peer's call, which receives the answer in parts.
    Call(CallId),
}

/// How the I/O driver handles the answer of an exchange. `ReadyForQuery` is never relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Keep only the summary.
    Collect,
    /// Hold the first bytes and send `AnswerStarted`; `Relay` or `Discard` follows.
    Decide(AnswerTarget),
    /// Hold the answer until `Relay` or `Discard`. Beyond the size limit of held answers, relay rows as
    /// they arrive and hold only each `CommandComplete` and what follows it.
    Hold(AnswerTarget),
    /// Relay the answer as it arrives.
    Stream(AnswerTarget),
}

/// An action. The I/O driver executes actions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeAction {
    // Clients.
    /// Authentication succeeded: send the parameters and `ReadyForQuery`.
    AcceptSession {
        session: SessionId,
        parameters: Vec<(Name, String)>,
    },
    /// Send a fatal error and close.
    RefuseSession {
        session: SessionId,
        error: ErrorReply,
    },
    /// End the request in progress: notices, a changed token, an error if any, then `ReadyForQuery`.
    FinishRequest {
        session: SessionId,
        token: Option<String>,
        notices: Vec<ErrorReply>,
        error: Option<ErrorReply>,
        /// Message frames to send first, for answers that the proxy builds itself.
        frames: Bytes,
        transaction: TransactionState,
    },
    CloseSession {
        session: SessionId,
        error: Option<ErrorReply>,
    },

    // Connections to backend servers.
    OpenBackend {
        connection: ConnectionId,
        database: Name,
        address: SocketAddress,
        catalog: Name,
    },
    CloseBackend {
        connection: ConnectionId,
    },
    StartExchange {
        connection: ConnectionId,
        exchange: ExchangeId,
        frames: Bytes,
        mode: RelayMode,
    },
    /// Send a PostgreSQL cancel request for the exchange.
    CancelExchange {
        connection: ConnectionId,
        exchange: ExchangeId,
    },
    /// Relay the held part of the exchange's answer, and the rest as it arrives.
    Relay {
        exchange: ExchangeId,
    },
    /// Discard the held part of the exchange's answer, and the rest.
    Discard {
        exchange: ExchangeId,
    },

    // Report connections: the I/O driver opens them on demand, one for each database.
    RequestReport {
        id: ReportId,
        database: Name,
        address: SocketAddress,
    },
    RequestFence {
        id: ReportId,
        database: Name,
        address: SocketAddress,
        term: Term,
        by: Name,
    },
    RequestPromotion {
        id: ReportId,
        database: Name,
        address: SocketAddress,
        term: Term,
    },
    RequestFollow {
        id: ReportId,
        database: Name,
        address: SocketAddress,
        term: Term,
        leader: Name,
    },

    // Peers.
    SendHeartbeat {
        to: MemberInfo,
        heartbeat: Heartbeat,
    },
    PullTable {
        from: MemberInfo,
    },
    PullDocument {
        from: MemberInfo,
        document: Name,
    },
    RequestView {
        to: MemberInfo,
        cluster: Name,
    },
    /// Forward a request; with a lane, to the transaction pinned there.
    Forward {
        call: CallId,
        session: SessionId,
        to: MemberInfo,
        lane: Option<LaneId>,
        request: Box<RoutedRequest>,
    },
    /// Cancel the call at the peer; `ForwardAnswered` or `ForwardFailed` still follows.
    CancelForward {
        call: CallId,
    },
    /// Answer a forwarded call. `lane` is set while the connection stays pinned.
    AnswerForward {
        call: CallId,
        reply: OwnerReply,
        lane: Option<LaneId>,
    },
    /// Drop the lane capability at the peer.
    DropLane {
        lane: LaneId,
    },

    // Platform.
    /// Start the watches of the platform, or stop them if `false`. One node of each data centre runs them.
    WatchPlatform(bool),
    ReadRecord {
        cluster: Name,
    },
    WriteRecord {
        cluster: Name,
        expected_index: u64,
        bytes: Arc<[u8]>,
    },

    // Process.
    /// The shutdown ended: all sessions are closed, because requests finished or the timeout passed.
    ShutdownComplete,
    /// Write a log line.
    Log {
        level: LogLevel,
        message: String,
    },
    /// Add to a counter.
    Count {
        counter: &'static str,
        amount: u64,
    },
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    Info,
    Warn,
    Error,
}
