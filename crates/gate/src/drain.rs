//! Graceful shutdown.
//!
//! The node reports at once that it is not ready but goes on serving, because the platform's load
//! balancer needs two probes to remove it. Then it closes idle sessions, and serves one more
//! statement or transaction of each session that is in use. From half of the grace period on it ends
//! open transactions and accepts no new ones, and a single statement only if its time limit passes
//! before the exit. It exits when the last session is closed, or shortly before the end of the grace
//! period with an answer to every request in progress.

use model::Micros;

use crate::event::{SessionId, SessionOrigin};
use crate::request::{RequestId, RequestKind, RequestStage};
use crate::session::Transaction;
use crate::statement::{ErrorCode, Statement, TransactionState};
use crate::{Gate, GateAction, fields};

/// Time after which the load balancer has removed the node: two probes, a second apart, and one
/// interval.
const BALANCER_REMOVAL_DELAY: Micros = Micros::from_millis(2_300);

/// Time after a reply in which a session counts as in use. Clients that send one request after the
/// other send the next one within a round trip, which must not meet a closed connection.
pub(crate) const SESSION_LINGER: Micros = Micros::from_millis(50);

/// Error text for what this node does not accept any more.
const SHUTTING_DOWN_TEXT: &str = "not run, this node is shutting down, retry at once";

/// Part of the grace period reserved for exiting.
const EXIT_MARGIN: Micros = Micros::from_millis(500);

/// Progress of a shutdown.
#[derive(Debug, Default)]
pub(crate) struct DrainState {
    pub(crate) since: Option<Micros>,
    grace: Micros,
    complete: bool,
}

impl DrainState {
    /// Returns true if new transactions would not have enough time to end.
    pub(crate) fn refuses_transactions(&self, now: Micros) -> bool {
        self.since.is_some_and(|since| now >= since + Micros(self.grace.0 / 2))
    }

    /// Returns true if a request that may take a time ends before the exit.
    fn has_time(&self, now: Micros, time: Micros) -> bool {
        self.since.is_none_or(|since| now + time + EXIT_MARGIN <= since + self.grace)
    }

    /// Returns true if the load balancer sends no new sessions, so that sessions are being closed.
    fn closes_sessions(&self, now: Micros) -> bool {
        let delay = BALANCER_REMOVAL_DELAY.min(Micros(self.grace.0 / 2));
        self.since.is_some_and(|since| now >= since + delay)
    }
}

impl Gate {
    pub(crate) fn drain(&mut self) {
        if self.drain.since.is_some() {
            return;
        }
        self.drain.since = Some(self.now);
        self.drain.grace = self.settings.shutdown_grace;
        let sessions = u64::try_from(self.sessions.len()).unwrap_or(u64::MAX);
        self.log("drain_started", fields!["sessions" => sessions]);
        self.update_owners();
        self.update_ready();
    }

    pub(crate) fn maintain_drain(&mut self) {
        let Some(since) = self.drain.since else { return };
        let now = self.now;
        if self.drain.complete {
            return;
        }
        let grace = self.settings.shutdown_grace;
        if now >= since + Micros(grace.0 / 2) {
            let open: Vec<_> = self
                .sessions
                .iter()
                .filter(|(_, session)| {
                    session.active_request.is_none() && session.state() == TransactionState::Open
                })
                .map(|(id, _)| *id)
                .collect();
            for id in open {
                self.abort_transaction(id, "shutting down");
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.transaction = Transaction::Failed;
                }
            }
        }
        if self.drain.closes_sessions(now) {
            self.close_idle_sessions(Micros::MAX, now.saturating_sub(SESSION_LINGER));
        }
        let expired = now + EXIT_MARGIN >= since + grace;
        if expired || self.sessions.is_empty() && now >= since + BALANCER_REMOVAL_DELAY {
            self.drain.complete = true;
            let sessions = u64::try_from(self.sessions.len()).unwrap_or(u64::MAX);
            let requests = u64::try_from(self.requests.len()).unwrap_or(u64::MAX);
            self.log("drain_complete", fields!["sessions" => sessions, "requests" => requests]);
            self.end_sessions();
            self.out.push(GateAction::ShutdownComplete);
        }
    }

    /// Refuses a request that begins a statement or transaction while sessions are being closed, and
    /// closes its session. The first one of each session since then is served if there is time.
    /// Returns true if it was refused.
    pub(crate) fn refuse_while_draining(&mut self, id: SessionId, statement: &Statement) -> bool {
        let now = self.now;
        if !self.drain.closes_sessions(now) {
            return false;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return false };
        if session.state() != TransactionState::Idle {
            return false;
        }
        let used_before = std::mem::replace(&mut session.used_while_closing, true);
        let route = self.table.routes.get(&session.database);
        let has_time = match statement {
            Statement::Begin { .. } => !self.drain.refuses_transactions(now),
            _ => route.is_none_or(|route| self.drain.has_time(now, route.timeout)),
        };
        if !used_before && has_time {
            return false;
        }
        let code = match session.origin {
            SessionOrigin::Client => ErrorCode::Busy,
            SessionOrigin::Peer => ErrorCode::Misrouted,
        };
        self.count("requests_refused_draining");
        self.reply_error(id, code, SHUTTING_DOWN_TEXT);
        self.end_session(id);
        true
    }

    /// Answers every request in progress and closes all sessions.
    fn end_sessions(&mut self) {
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in requests {
            self.end_request(id);
        }
        let sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in sessions {
            self.end_session(id);
        }
    }

    /// Answers a request that cannot be awaited any longer.
    fn end_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.stage != RequestStage::Sent {
            let code = self.refusal_code(id);
            return self.refuse(id, code, SHUTTING_DOWN_TEXT);
        }
        let unknown = "this node is shutting down, the outcome is not known";
        let rolled_back = "rolled back, this node is shutting down, retry at once";
        match request.kind {
            RequestKind::Read => {
                self.refuse(id, ErrorCode::Aborted, "given up, this node is shutting down");
            }
            RequestKind::Write => self.refuse(id, ErrorCode::Unknown, unknown),
            RequestKind::Begin { .. } | RequestKind::Continue if request.is_commit() => {
                self.fail_transaction(id, ErrorCode::Unknown, unknown);
            }
            RequestKind::Begin { .. } | RequestKind::Continue => {
                self.fail_transaction(id, ErrorCode::Aborted, rolled_back);
            }
        }
    }
}
