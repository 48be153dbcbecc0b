//! Graceful shutdown: new sessions are refused, requests in progress finish, idle sessions are closed.

use member::MemberEvent;
use model::Micros;

use crate::Node;
use crate::action::{LogLevel, NodeAction};
use crate::id::SessionId;
use crate::owner::PinKey;
use crate::request::ErrorReply;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum DrainState {
    #[default]
    Serving,
    Draining {
        /// When the remaining sessions and transactions are closed by force.
        until: Micros,
    },
    Complete,
}

impl DrainState {
    pub(crate) fn is_draining(self) -> bool {
        !matches!(self, DrainState::Serving)
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            DrainState::Serving => "serving",
            DrainState::Draining { .. } => "draining",
            DrainState::Complete => "complete",
        }
    }
}

fn shutdown_error() -> ErrorReply {
    let message = "terminating connection: the proxy is shutting down".to_string();
    ErrorReply { code: "57P01".into(), message }
}

impl Node {
    pub(crate) fn begin_drain(&mut self) {
        if self.drain.is_draining() {
            return;
        }
        self.drain = DrainState::Draining { until: self.now + self.settings.drain_timeout };
        self.log(LogLevel::Info, "shutting down".to_string());
        self.handle_member_event(MemberEvent::Leave);
        let mut sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        sessions.sort();
        for id in sessions {
            self.close_if_draining(id);
        }
    }

    /// Closes an idle session while the node shuts down.
    pub(crate) fn close_if_draining(&mut self, id: SessionId) {
        if !self.drain.is_draining() {
            return;
        }
        let idle = self
            .sessions
            .get(&id)
            .is_some_and(|session| session.request.is_none() && session.transaction.is_none());
        if idle {
            self.sessions.remove(&id);
            self.emit(NodeAction::CloseSession { session: id, error: Some(shutdown_error()) });
        }
    }

    /// Reports the end of the shutdown once all sessions and requests have ended or the drain timeout
    /// has passed.
    pub(crate) fn check_drained(&mut self) {
        let DrainState::Draining { until } = self.drain else { return };
        let overdue = self.now >= until;
        if overdue {
            self.force_shutdown();
        }
        let done = self.sessions.is_empty()
            && self.owner.requests.is_empty()
            && self.owner.pins.is_empty()
            && self.entry.calls.is_empty();
        if done || overdue {
            self.drain = DrainState::Complete;
            self.emit(NodeAction::ShutdownComplete);
        }
    }

    fn force_shutdown(&mut self) {
        let mut sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        sessions.sort();
        for id in sessions {
            self.count("sessions.ended_by_force", 1);
            self.emit(NodeAction::CloseSession { session: id, error: Some(shutdown_error()) });
            self.close_session(id);
        }
        let pins: Vec<PinKey> = self.owner.pins.keys().copied().collect();
        for key in pins {
            self.close_pin(key, "the proxy is shutting down");
        }
    }
}
