//! What a node asks its shell to do.

use std::sync::Arc;

use admit::ConnectionId;
use bytes::Bytes;
use member::{Heartbeat, MemberInfo};
use model::{Name, SocketAddress, Term};

use crate::id::{CallId, LaneId, ReportId, RunId, SessionId};
use crate::work::{ErrorReply, TransactionState, WorkReply, WorkRequest};

/// Where the answer of a run goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerTarget {
    Session(SessionId),
    /// The sink of a peer's call.
    Call(CallId),
}

/// What the shell does with the answer of a run. `ReadyForQuery` is never relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Keep only the summary.
    Collect,
    /// Hold the first bytes and send `RunStarted`; `Relay` or `Discard` follows.
    Decide(AnswerTarget),
    /// Relay rows as they come, hold back each `CommandComplete` and what follows it until `Relay`
    /// or `Discard`. Up to the held-answer bound everything is held.
    Hold(AnswerTarget),
    /// Relay as it comes.
    Stream(AnswerTarget),
}

/// An action; the shell carries actions out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeAction {
    // Callers.
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
        /// Message frames to send first, for answers that the proxy makes itself.
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
    Run {
        connection: ConnectionId,
        run: RunId,
        frames: Bytes,
        mode: RelayMode,
    },
    /// Sends a PostgreSQL cancel request for the run.
    CancelRun {
        connection: ConnectionId,
        run: RunId,
    },
    /// Relay what is held of the run's answer, and the rest as it comes.
    Relay {
        run: RunId,
    },
    /// Drop what is held, and the rest.
    Discard {
        run: RunId,
    },

    // Report connections: opened by the shell on demand, one for each database.
    AskReport {
        id: ReportId,
        database: Name,
        address: SocketAddress,
    },
    AskFence {
        id: ReportId,
        database: Name,
        address: SocketAddress,
        term: Term,
        by: Name,
    },
    AskPromote {
        id: ReportId,
        database: Name,
        address: SocketAddress,
        term: Term,
    },
    AskFollow {
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
    AskView {
        to: MemberInfo,
        cluster: Name,
    },
    /// Forward work; with a lane, on the transaction pinned there.
    Forward {
        call: CallId,
        session: SessionId,
        to: MemberInfo,
        lane: Option<LaneId>,
        work: Box<WorkRequest>,
    },
    /// Cancels the call at the peer; `ForwardAnswered` or `ForwardFailed` still follows.
    CancelForward {
        call: CallId,
    },
    /// Answer a forwarded call. `lane` is set while the connection stays pinned.
    AnswerForward {
        call: CallId,
        reply: WorkReply,
        lane: Option<LaneId>,
    },
    /// Drop the lane capability at the peer.
    DropLane {
        lane: LaneId,
    },

    // Platform.
    /// Start, or with `false` stop, the watches of the data centre's watcher.
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
    /// All requests are finished and all sessions closed.
    ShutdownComplete,
    /// A change of state, for the log.
    Log {
        level: LogLevel,
        message: String,
    },
    /// Adds to a counter.
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
