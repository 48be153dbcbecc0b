//! Deadlines, cancellation and replies of owner requests.

use admit::RequestId;
use model::{Micros, Name};

use super::{CANCEL_GRACE, OwnerRequest, PinKey, RequestOrigin, RequestStage};
use crate::Node;
use crate::action::NodeAction;
use crate::entry::AttemptPath;
use crate::id::{CallId, LaneId};
use crate::request::{DeclineReason, OwnerReply, RoutedRequest};
use crate::step::PendingStep;

impl Node {
    pub(crate) fn forward_arrived(
        &mut self,
        call: CallId,
        from: Name,
        lane: Option<LaneId>,
        routed: RoutedRequest,
    ) {
        self.count("forwards.received", 1);
        self.admit_owner_request(
            RequestOrigin::Call(call),
            Some(from),
            lane.map(PinKey::Lane),
            routed,
        );
    }

    /// Handles the timer of a request: its deadline, or the end of the grace period after a cancel.
    pub(crate) fn owner_request_timer_due(&mut self, id: RequestId) {
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        request.timer_due = None;
        match request.stage {
            RequestStage::Running { exchange, .. } => {
                let connection = request.connection;
                if request.cancel_sent {
                    // The backend server does not answer; closing the connection releases the slot.
                    if let Some(connection) = connection {
                        self.emit(NodeAction::CloseBackend { connection });
                        self.backend_lost(connection, "the statement did not end in time");
                    }
                } else {
                    request.cancel_sent = true;
                    if let Some(connection) = connection {
                        self.emit(NodeAction::CancelExchange { connection, exchange });
                    }
                    self.arm_owner_request(id, Some(self.now + CANCEL_GRACE));
                }
            }
            RequestStage::Acknowledging { .. } => {}
            _ => self.decline_owner_request(
                id,
                DeclineReason::DeadlineUnreachable { expected: Micros::ZERO },
            ),
        }
    }

    /// Cancels a request whose client still waits for the reply.
    pub(crate) fn cancel_owner_request(&mut self, id: RequestId) {
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        match (&request.stage, request.connection) {
            (RequestStage::Running { exchange, .. }, Some(connection)) => {
                let exchange = *exchange;
                self.emit(NodeAction::CancelExchange { connection, exchange });
            }
            (RequestStage::Acknowledging { .. }, _) => {}
            _ => self.decline_owner_request(
                id,
                DeclineReason::DeadlineUnreachable { expected: Micros::ZERO },
            ),
        }
    }

    /// Ends a request for which nobody waits any more.
    pub(crate) fn abandon_owner_request(&mut self, id: RequestId) {
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        if let RequestOrigin::Call(call) = request.origin {
            self.owner.calls.remove(&call);
        }
        request.origin = RequestOrigin::Abandoned;
        if let Some(exchange) = self.undecided_statement(id) {
            self.emit(NodeAction::Discard { exchange });
        }
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        match (&request.stage, request.connection) {
            (RequestStage::Running { exchange, .. }, Some(connection)) => {
                let exchange = *exchange;
                request.stage = RequestStage::Running { exchange, decided: true };
                let armed = request.cancel_sent;
                request.cancel_sent = true;
                self.emit(NodeAction::Discard { exchange });
                self.emit(NodeAction::CancelExchange { connection, exchange });
                if !armed {
                    self.arm_owner_request(id, Some(self.now + CANCEL_GRACE));
                }
            }
            (RequestStage::Acknowledging { exchange, .. }, _) => {
                if let Some(exchange) = *exchange {
                    self.emit(NodeAction::Discard { exchange });
                }
                self.remove_owner_request(id);
            }
            _ => {
                self.remove_owner_request(id);
            }
        }
    }

    /// Removes a request from every table and releases its slot and its share of the transaction limit.
    pub(crate) fn remove_owner_request(&mut self, id: RequestId) -> Option<OwnerRequest> {
        self.release_slot(id);
        let request = self.owner.requests.remove(&id)?;
        if let Some(service) = self.owner.services.get_mut(&request.routed.database) {
            match request.stage {
                RequestStage::Queued => {
                    service.queue.cancel(id);
                }
                RequestStage::Deferred => {
                    service.deferred.remove(&(request.routed.rank, id));
                }
                RequestStage::Granted => {
                    service.awaiting_connection.retain(|waiting| *waiting != id)
                }
                _ => {}
            }
            if service.opening_transactions.remove(&id) {
                self.steps.push_back(PendingStep::ServeQueue(request.routed.database.clone()));
            }
        }
        match &request.stage {
            RequestStage::Running { exchange, .. } => {
                self.owner.exchanges.remove(exchange);
            }
            RequestStage::Acknowledging { commit, .. } => {
                self.owner.commits.remove(commit);
            }
            _ => {}
        }
        if let RequestOrigin::Call(call) = request.origin {
            self.owner.calls.remove(&call);
        }
        if let Some(pin) = request.pin.and_then(|key| self.owner.pins.get_mut(&key)) {
            pin.request = None;
        }
        Some(request)
    }

    /// Ends a request with a reply.
    pub(crate) fn reply_owner_request(&mut self, id: RequestId, reply: OwnerReply) {
        let lane = self.lane_of(id);
        let Some(request) = self.remove_owner_request(id) else { return };
        let reply = match reply {
            // After `OutcomeUnknown` the entry node would retry a keyed write, and the client would
            // receive its rows twice.
            OwnerReply::OutcomeUnknown { message } if request.rows_relayed => {
                OwnerReply::AnswerInterrupted { relayed: true, message }
            }
            reply => reply,
        };
        self.send_reply(id, request.origin, reply, lane);
    }

    /// Sends a reply without ending the request.
    pub(crate) fn send_reply(
        &mut self,
        id: RequestId,
        origin: RequestOrigin,
        reply: OwnerReply,
        lane: Option<LaneId>,
    ) {
        match origin {
            RequestOrigin::Session(session) => {
                let path = AttemptPath::Local(id);
                self.steps.push_back(PendingStep::Reply { session, path, reply, lane: None });
            }
            RequestOrigin::Call(call) => {
                self.owner.calls.remove(&call);
                self.emit(NodeAction::AnswerForward { call, reply, lane });
            }
            RequestOrigin::Abandoned => {}
        }
    }

    /// Ends a request of which nothing was sent. In a transaction this ends the transaction.
    pub(crate) fn decline_owner_request(&mut self, id: RequestId, reason: DeclineReason) {
        let Some(request) = self.owner.requests.get(&id) else { return };
        if request.pin.is_some() {
            let message = match reason {
                DeclineReason::QueueFull { limit } => {
                    format!("the queue of {limit} requests is full")
                }
                DeclineReason::DeadlineUnreachable { .. } => {
                    "the deadline cannot be met".to_string()
                }
                _ => "the backend server is not available".to_string(),
            };
            return self.roll_back_owner_request(id, message);
        }
        let (age, wait) = self.age_and_wait(id);
        self.reply_owner_request(id, OwnerReply::Declined { reason, age, wait });
    }

    /// Ends a request and the transaction that it belongs to.
    pub(crate) fn roll_back_owner_request(&mut self, id: RequestId, message: String) {
        let Some(pin) = self.owner.requests.get(&id).map(|request| request.pin) else { return };
        let Some(request) = self.remove_owner_request(id) else { return };
        if let Some(key) = pin {
            self.close_pin(key, &message);
        }
        self.send_reply(id, request.origin, OwnerReply::RolledBack { message }, None);
    }

    /// Returns the data age and the expected wait that a reply carries as hints.
    pub(crate) fn age_and_wait(&self, id: RequestId) -> (Option<Micros>, Micros) {
        let Some(request) = self.owner.requests.get(&id) else { return (None, Micros::ZERO) };
        let Some(service) = self.owner.services.get(&request.routed.database) else {
            return (None, Micros::ZERO);
        };
        let age = self
            .clusters
            .get(&service.cluster)
            .and_then(|cluster| cluster.monitor.provable_age(self.now, &request.routed.database));
        (age, service.queue.expected_wait(self.now, request.routed.rank))
    }
}
