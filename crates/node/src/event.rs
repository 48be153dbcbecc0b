//! What happens to a node.

use std::sync::Arc;

use admit::ConnectionId;
use failover::{DatabaseReport, LeaderView};
use member::{Heartbeat, MemberInfo, PlatformVm};
use model::{LogPosition, Name};

use crate::id::{CallId, LaneId, ReportId, RunId, SessionId};
use crate::work::{CallerRequest, RunSummary, SessionStart, WorkReply, WorkRequest};

/// An event, in the order in which the shell saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    // Callers.
    SessionOpened {
        session: SessionId,
        start: SessionStart,
    },
    /// The next request of a session; the shell sends one at a time.
    RequestArrived {
        session: SessionId,
        request: CallerRequest,
    },
    SessionClosed {
        session: SessionId,
    },
    /// A cancel request for the session's request in progress.
    CancelArrived {
        session: SessionId,
    },

    // Connections to backend servers.
    BackendOpened {
        connection: ConnectionId,
    },
    /// The connection could not be opened, or was lost; a run on it is over.
    BackendLost {
        connection: ConnectionId,
        message: String,
    },
    /// The first byte of an answer in mode `Decide`. Not sent for an answer that starts with an
    /// `ErrorResponse`: the shell holds it and `RunFinished` leads to `Relay` or `Discard`.
    RunStarted {
        connection: ConnectionId,
        run: RunId,
    },
    /// Rows of a held answer went out because they exceed the bound; only the completion is still
    /// held. Sent before the run's end or the loss of its connection.
    HeldRowsRelayed {
        connection: ConnectionId,
        run: RunId,
    },
    RunFinished {
        connection: ConnectionId,
        run: RunId,
        summary: RunSummary,
    },

    // Report connections.
    ReportArrived {
        id: ReportId,
        report: DatabaseReport,
    },
    FenceAnswered {
        id: ReportId,
        accepted: bool,
        report: DatabaseReport,
    },
    PromoteAnswered {
        id: ReportId,
        start: LogPosition,
    },
    /// The request failed, or the connection.
    ReportFailed {
        id: ReportId,
    },

    // Peers.
    HeartbeatArrived(Heartbeat),
    HeartbeatAnswered(Heartbeat),
    HeartbeatFailed {
        to: Name,
    },
    TableArrived(Vec<MemberInfo>),
    DocumentArrived {
        document: Name,
        revision: u64,
        bytes: Arc<[u8]>,
    },
    ViewAnswered {
        cluster: Name,
        from: Name,
        view: Option<LeaderView>,
    },
    /// A peer forwards work. With a lane, the work belongs to the transaction pinned on it.
    ForwardArrived {
        call: CallId,
        from: Name,
        lane: Option<LaneId>,
        work: Box<WorkRequest>,
    },
    /// The peer wants the call cancelled; it is still answered, if only to be ignored.
    ForwardCancelled {
        call: CallId,
    },
    /// The peer dropped the lane, or the link to it was lost.
    LaneDropped {
        lane: LaneId,
    },
    /// The answer to a call that this node forwarded. `lane` is set while a transaction is open.
    ForwardAnswered {
        call: CallId,
        reply: WorkReply,
        lane: Option<LaneId>,
    },
    /// The link broke: `sent` tells whether the request may have reached the peer. If a part of the
    /// answer was already relayed to the caller, the shell reports `ForwardAnswered` with
    /// `WorkReply::ReadFailed { relayed: true, .. }` instead, for reads and writes alike.
    ForwardFailed {
        call: CallId,
        sent: bool,
    },

    // Platform.
    PlatformAnswered(PlatformAnswer),

    // Operators.
    DrainRequested,
    Timer,
}

/// Answers of the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformAnswer {
    /// A watched document; `bytes` is `None` if the key does not exist.
    Document {
        document: Name,
        bytes: Option<Arc<[u8]>>,
    },
    VmList(Vec<PlatformVm>),
    /// A cluster's record.
    RecordRead {
        cluster: Name,
        bytes: Option<Arc<[u8]>>,
        index: u64,
    },
    RecordWritten {
        cluster: Name,
        applied: bool,
    },
    /// The call about the cluster's record failed or timed out.
    RecordFailed {
        cluster: Name,
    },
}

/// Questions of operators that the node answers at once with JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    Dump,
    /// Rows of the accounting table.
    Top {
        measure: stats::CallerMeasure,
        rows: usize,
    },
    /// What happens to a caller with these attributes and session labels.
    Explain {
        attributes: model::LabelSet,
        labels: model::LabelSet,
        cluster: Name,
    },
    /// The last requests of a live session.
    ExplainSession {
        session: SessionId,
    },
    Rollout,
}
