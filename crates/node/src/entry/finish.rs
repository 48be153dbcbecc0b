//! Replies of owners, and the end of a request as the client sees it.

use bytes::Bytes;
use model::Name;
use serde_json::json;
use stats::CallerMeasure;

use super::{AttemptPath, EntryAttempt, error};
use crate::Node;
use crate::action::NodeAction;
use crate::frames::{ProxyAnswer, proxy_answer};
use crate::id::{LaneId, SessionId};
use crate::owner::PinKey;
use crate::request::{ErrorReply, OwnerReply, TransactionState};
use crate::session::SessionTransaction;
use crate::step::PendingStep;

impl Node {
    /// Handles the owner's reply to an attempt.
    pub(crate) fn reply_arrived(
        &mut self,
        id: SessionId,
        path: AttemptPath,
        reply: OwnerReply,
        lane: Option<LaneId>,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(request) = session.request.as_mut() else { return };
        let Some(attempt) = request.attempt.take_if(|attempt| attempt.path == path) else { return };
        request.timer_due = None;
        let database = attempt.database.clone();
        let cluster = session.cluster.clone();
        match reply {
            OwnerReply::Done {
                transaction,
                required_position,
                replacement_position,
                age,
                wait,
            } => {
                let is_leader = !request.read;
                session.update_required_position(required_position, replacement_position);
                self.entry.hints.update_status(now, &database, age, wait);
                if replacement_position.is_some() {
                    self.count("writes.lost", 1);
                }
                if is_leader {
                    self.leader_learned(&cluster, &database);
                }
                self.update_transaction(id, &attempt, transaction, lane);
                self.finish_request(id, None, Bytes::new());
            }
            OwnerReply::Recorded { command_tag, error, transaction, required_position } => {
                let answer = match &command_tag {
                    Some(tag) => proxy_answer(&request.request, ProxyAnswer::Complete { tag }),
                    None => Bytes::new(),
                };
                if let Some(required) = required_position {
                    session.raise_required_position(required);
                }
                self.update_transaction(id, &attempt, transaction, lane);
                self.finish_request(id, error, answer);
            }
            OwnerReply::Declined { reason, age, wait } => {
                self.entry.hints.update_status(now, &database, age, wait);
                match session.transaction.is_some() {
                    true => self.end_transaction(id, "a statement of the transaction was declined"),
                    false => self.request_declined(id, &cluster, &attempt, reason, age),
                }
            }
            OwnerReply::RolledBack { message } => self.end_transaction(id, &message),
            OwnerReply::OutcomeUnknown { message } => {
                self.write_outcome_unknown(id, &database, &message)
            }
            OwnerReply::AnswerInterrupted { relayed, message } => {
                self.answer_interrupted(id, &database, relayed, &message);
            }
        }
    }

    /// Retries a write with a request key; any other write ends with an unknown outcome.
    fn write_outcome_unknown(&mut self, id: SessionId, database: &Name, message: &str) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(request) = session.request.as_mut() else { return };
        if request.key.is_none() || session.transaction.is_some() {
            return self.finish_unknown(id, message);
        }
        request.may_have_run = true;
        self.entry.hints.clear_leader(&session.cluster, database);
        self.count("requests.retried", 1);
        self.try_other_database(id, database);
    }

    /// Handles an interrupted answer; a read of which nothing was relayed is retried.
    fn answer_interrupted(&mut self, id: SessionId, database: &Name, relayed: bool, message: &str) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(request) = session.request.as_mut() else { return };
        if !request.read && (request.commits || session.transaction.is_none()) {
            return self.finish_unknown(id, message);
        }
        if session.transaction.is_some() {
            return self.end_transaction(id, message);
        }
        request.interrupted = true;
        let rank = request.policy.rank;
        let cancelled = request.cancelled;
        self.entry.hints.exclude(now, database);
        if !relayed && !cancelled && self.entry.budget.take_retry(now, rank) {
            self.count("requests.retried", 1);
            self.try_other_database(id, database);
        } else {
            let code = if cancelled { "57014" } else { "08006" };
            let error = error(code, format!("the read was interrupted: {message}"));
            self.finish_request(id, Some(error), Bytes::new());
        }
    }

    /// Updates or ends the session's transaction after an answer.
    fn update_transaction(
        &mut self,
        id: SessionId,
        attempt: &EntryAttempt,
        state: TransactionState,
        lane: Option<LaneId>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let has_written = session.request.as_ref().is_some_and(|request| request.may_write)
            || session.transaction.as_ref().is_some_and(|transaction| transaction.has_written);
        let held_lane = session.transaction.as_ref().and_then(|transaction| transaction.lane);
        session.transaction = (state != TransactionState::Idle).then(|| SessionTransaction {
            database: attempt.database.clone(),
            owner: attempt.owner.clone(),
            lane: lane.or(held_lane),
            state,
            has_written,
        });
        if state == TransactionState::Idle
            && let Some(lane) = held_lane.or(lane)
        {
            self.emit(NodeAction::DropLane { lane });
        }
    }

    /// Ends a transaction that was rolled back before its COMMIT was sent.
    pub(super) fn end_transaction(&mut self, id: SessionId, message: &str) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let cancelled = session.request.as_ref().is_some_and(|request| request.cancelled);
        if let Some(transaction) = session.transaction.take() {
            self.drop_transaction(id, &transaction);
        }
        let code = if cancelled { "57014" } else { "WK004" };
        let error = error(code, format!("the transaction was rolled back: {message}"));
        self.count_refusal(id);
        self.finish_request(id, Some(error), Bytes::new());
    }

    /// Cancels the request in progress at the client's request.
    pub(crate) fn cancel_request(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        request.cancelled = true;
        match request.attempt.as_ref().map(|attempt| attempt.path) {
            None => self.steps.push_back(PendingStep::Route(id)),
            Some(AttemptPath::Local(owner_request)) => self.cancel_owner_request(owner_request),
            Some(AttemptPath::Remote(call)) => self.emit(NodeAction::CancelForward { call }),
        }
    }

    /// Abandons an attempt whose session has ended; its result is ignored.
    pub(crate) fn abandon_attempt(&mut self, attempt: &EntryAttempt) {
        match attempt.path {
            AttemptPath::Local(owner_request) => self.abandon_owner_request(owner_request),
            AttemptPath::Remote(call) => {
                self.entry.calls.remove(&call);
                self.emit(NodeAction::CancelForward { call });
            }
        }
    }

    /// Releases a transaction's connection, which rolls the transaction back.
    pub(crate) fn drop_transaction(&mut self, id: SessionId, transaction: &SessionTransaction) {
        match transaction.lane {
            Some(lane) => self.emit(NodeAction::DropLane { lane }),
            None => self.close_pin(PinKey::Session(id), "the client session ended the transaction"),
        }
    }

    /// Ends a request whose deadline passed, or that was cancelled, while no attempt was in progress.
    pub(super) fn finish_not_run(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        let may_have_run = request.may_have_run;
        if request.interrupted && !request.cancelled {
            let message = "the read was interrupted and its deadline passed during a retry";
            return self.finish_request(id, Some(error("08006", message)), Bytes::new());
        }
        let error = match (request.cancelled, request.no_primary) {
            _ if may_have_run => {
                return self.finish_unknown(id, "the deadline passed during a retry");
            }
            (true, _) => error("57014", "canceling statement due to user request"),
            (false, true) => error("WK003", "not run: the cluster has no reachable primary"),
            (false, false) => error("WK001", "not run: the deadline passed"),
        };
        self.count_refusal(id);
        self.finish_request(id, Some(error), Bytes::new());
    }

    fn finish_unknown(&mut self, id: SessionId, message: &str) {
        if let Some(session) = self.sessions.get_mut(&id) {
            if let Some(transaction) = session.transaction.take()
                && let Some(lane) = transaction.lane
            {
                self.emit(NodeAction::DropLane { lane });
            }
            if let Some(session) = self.sessions.get(&id) {
                let (caller, rank) = (session.caller.clone(), session.policy.rank);
                let measure = CallerMeasure::OutcomeUnknown;
                self.accounts.count(self.now, &caller, rank, measure, 1);
            }
        }
        self.count("requests.unknown", 1);
        let error = error("08007", format!("outcome unknown: {message}"));
        self.finish_request(id, Some(error), Bytes::new());
    }

    pub(super) fn count_refusal(&mut self, id: SessionId) {
        self.count("requests.refused", 1);
        if let Some(session) = self.sessions.get(&id) {
            let (caller, rank) = (session.caller.clone(), session.policy.rank);
            self.accounts.count(self.now, &caller, rank, CallerMeasure::Refused, 1);
        }
    }

    /// Ends the request in progress.
    pub(crate) fn finish_request(
        &mut self,
        id: SessionId,
        error: Option<ErrorReply>,
        frames: Bytes,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let Some(request) = session.request.take() {
            let outcome = error.as_ref().map_or("done", |error| error.code.as_str());
            session.record_request(json!({
                "selector": request.policy.selector,
                "rank": request.policy.rank,
                "read": request.read,
                "database": request.route.0,
                "reason": request.route.1,
                "milliseconds": now.saturating_sub(request.arrived).as_millis(),
                "outcome": outcome,
            }));
        }
        let cluster = session.cluster.clone();
        let token = std::mem::take(&mut session.token_changed)
            .then(|| session.token.sign(&self.fleet.signing_key(self.now)))
            .flatten();
        let notices = std::mem::take(&mut session.notices);
        let transaction = session.transaction_state();
        self.entry.stop_waiting(&cluster, id);
        self.emit(NodeAction::FinishRequest {
            session: id,
            token,
            notices,
            error,
            frames,
            transaction,
        });
        self.close_if_draining(id);
    }
}
