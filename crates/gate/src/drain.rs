//! Graceful shutdown.
//!
//! The node reports at once that it is not ready but goes on serving, because the platform's load
//! balancer needs two probes to remove it. Then it closes idle sessions, ends open transactions by
//! half of the grace period, and exits when the last session is closed.

use model::Micros;

use crate::session::Transaction;
use crate::statement::TransactionState;
use crate::{Gate, GateAction, fields};

/// Time after which the load balancer has removed the node: two probes, a second apart, and one
/// interval.
const BALANCER_REMOVAL_DELAY: Micros = Micros::from_millis(2_300);

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
        if now >= since + BALANCER_REMOVAL_DELAY.min(Micros(grace.0 / 2)) {
            self.close_idle_sessions(Micros::MAX);
        }
        if self.sessions.is_empty() && now >= since + BALANCER_REMOVAL_DELAY
            || now + EXIT_MARGIN >= since + grace
        {
            self.drain.complete = true;
            let sessions = u64::try_from(self.sessions.len()).unwrap_or(u64::MAX);
            self.log("drain_complete", fields!["sessions" => sessions]);
            self.out.push(GateAction::ShutdownComplete);
        }
    }
}
