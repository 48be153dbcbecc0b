//! All decisions of one process, behind one event type and one action type.
//!
//! [`Node`] joins sessions, routing, queues, pools, evidence, promotions, membership and
//! configuration. It has no clock, socket, thread or unseeded random number: the shell (the crate
//! `daemon`, or a test or bench) passes [`NodeEvent`]s with the time and carries out the
//! [`NodeAction`]s.
//!
//! Rows of answers do not pass through the node. The shell relays them between sockets once the node
//! has dispatched a run, and tells the node only of the first byte and the end, at which the node
//! decides whether to relay, discard or hold.

mod action;
mod event;
mod id;
mod work;

pub use action::{AnswerTarget, LogLevel, NodeAction, RelayMode};
pub use event::{NodeEvent, OperatorCall, PlatformAnswer};
pub use id::{CallId, LaneId, ReportId, RunId, SessionId};
pub use work::{
    CallerRequest, DeclineReason, ErrorReply, RequestKind, RunSummary, SessionStart,
    TransactionState, WorkReply, WorkRequest,
};

use model::{Micros, NodeSettings};

/// All decisions of one process.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
}

impl Node {
    /// Creates a node that knows only its settings. `seed` drives its random choices, `incarnation`
    /// grows with each start of the process.
    pub fn new(settings: NodeSettings, _incarnation: u64, _seed: u64) -> Self {
        Node { settings }
    }

    /// Handles an event.
    pub fn handle(&mut self, _now: Micros, _event: NodeEvent, _actions: &mut Vec<NodeAction>) {}

    /// Returns when the next [`NodeEvent::Timer`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        None
    }

    /// Answers an operator's question.
    pub fn answer(&self, _now: Micros, _call: &OperatorCall) -> serde_json::Value {
        serde_json::json!({ "node": self.settings.name })
    }

    /// Returns the heartbeat to answer a peer's heartbeat with.
    pub fn heartbeat(&self) -> Option<member::Heartbeat> {
        None
    }

    /// Returns a document for a peer that pulls it.
    pub fn document(&self, _document: &str) -> Option<(u64, std::sync::Arc<[u8]>)> {
        None
    }

    /// Returns all members for a peer that pulls the table.
    pub fn members(&self) -> Vec<member::MemberInfo> {
        Vec::new()
    }

    /// Returns this node's view of a cluster for another supervisor.
    pub fn view(&self, _now: Micros, _cluster: &str) -> Option<failover::LeaderView> {
        None
    }
}
