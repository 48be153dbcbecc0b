//! Events that a node handles.

use std::sync::Arc;

use admit::ConnectionId;
use failover::{DatabaseReport, LeaderView};
use member::{Heartbeat, MemberInfo, PlatformVm};
use model::{LogPosition, Name};

use crate::id::{CallId, ExchangeId, LaneId, ReportId, SessionId};
use crate::request::{ClientRequest, ExchangeSummary, OwnerReply, RoutedRequest, SessionStart};

/// An event. The I/O driver passes events in the order in which they occurred.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    // Clients.
    SessionOpened {
        session: SessionId,
        start: SessionStart,
    },
    /// The next request of a session; the I/O driver sends one at a time.
    RequestArrived {
        session: SessionId,
        request: ClientRequest,
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
    /// The connection could not be opened or was lost; an exchange on it has ended.
    BackendLost {
        connection: ConnectionId,
        message: String,
    },
    /// The first byte of an answer in mode `Decide`. Not sent for an answer that starts with an
    /// `ErrorResponse`: the I/O driver holds it until `ExchangeFinished` leads to `Relay` or `Discard`.
    AnswerStarted {
        connection: ConnectionId,
        exchange: ExchangeId,
    },
    /// Rows of a held answer were relayed because they exceed the size limit; only the completion is
    /// still held. Sent before the end of the exchange or the loss of its connection.
    HeldRowsRelayed {
        connection: ConnectionId,
        exchange: ExchangeId,
    },
    ExchangeFinished {
        connection: ConnectionId,
        exchange: ExchangeId,
        summary: ExchangeSummary,
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
    /// The request or its connection failed.
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
    /// A peer forwards a request. With a lane, the request belongs to the transaction pinned there.
    ForwardArrived {
        call: CallId,
        from: Name,
        lane: Option<LaneId>,
        request: Box<RoutedRequest>,
    },
    /// The peer cancels the call. The call is still answered, although the peer may ignore the answer.
    ForwardCancelled {
        call: CallId,
    },
    /// The peer dropped the lane, or the connection to the peer was lost.
    LaneDropped {
        lane: LaneId,
    },
    /// The answer to a call that this node forwarded. `lane` is set while a transaction is open.
    ForwardAnswered {
        call: CallId,
        reply: OwnerReply,
        lane: Option<LaneId>,
    },
    /// The connection to the peer was lost; `sent` tells whether the request may have reached it. If a
    /// part of the answer was already relayed to the client, the I/O driver reports `ForwardAnswered`
    /// with `OwnerReply::AnswerInterrupted { relayed: true, .. }` instead, for reads and writes alike.
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
    /// The leader record of a cluster.
    RecordRead {
        cluster: Name,
        bytes: Option<Arc<[u8]>>,
        index: u64,
    },
    RecordWritten {
        cluster: Name,
        applied: bool,
    },
    /// The read or write of the cluster's leader record failed or timed out.
    RecordFailed {
        cluster: Name,
    },
}

/// Operator queries, which the node answers at once with JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorQuery {
    Dump,
    /// Rows of the accounting table.
    Top {
        measure: stats::CallerMeasure,
        rows: usize,
    },
    /// How requests of a client with these attributes and session labels are routed.
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
