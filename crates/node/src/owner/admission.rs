//! Admission of requests: proofs, the queue, and the grant of slots and connections.

use admit::{RefusalReason, RequestId, SlotRequest};
use model::{Micros, Name, Term};
use stats::CallerMeasure;

use super::{OwnerRequest, PinKey, RequestOrigin, RequestStage};
use crate::Node;
use crate::proof::ProofCheck;
use crate::request::{DeclineReason, RoutedRequest};
use crate::step::PendingStep;
use crate::timer::TimerKey;

impl Node {
    /// Accepts a request. The reply follows as a pending step or an action, possibly at once.
    pub(crate) fn admit_owner_request(
        &mut self,
        origin: RequestOrigin,
        peer: Option<Name>,
        pin: Option<PinKey>,
        routed: RoutedRequest,
    ) -> RequestId {
        let id = RequestId(self.next_id());
        if let RequestOrigin::Call(call) = origin {
            self.owner.calls.insert(call, id);
        }
        if let Some(pin) = pin.and_then(|pin| self.owner.pins.get_mut(&pin)) {
            pin.request = Some(id);
        }
        let request = OwnerRequest {
            origin,
            peer,
            arrived: self.now,
            deadline: self.now + routed.time_left,
            routed,
            timer_due: None,
            stage: RequestStage::WaitingForRound,
            pin,
            granted_at: None,
            connection: None,
            term: Term(0),
            proof: None,
            sampled_position: None,
            replacement_position: None,
            rounds_awaited: 0,
            cancel_sent: false,
            rows_relayed: false,
            key_step: None,
        };
        self.owner.requests.insert(id, request);
        if self.drain.is_draining() && pin.is_none() && matches!(origin, RequestOrigin::Call(_)) {
            self.decline_owner_request(id, DeclineReason::ShuttingDown);
        } else {
            self.check_owner_request(id);
        }
        id
    }

    /// Checks leadership and proofs of a request that arrived or waited for a report round.
    pub(crate) fn check_owner_request(&mut self, id: RequestId) {
        match self.check_proof(id) {
            ProofCheck::Ready => self.enqueue_owner_request(id),
            ProofCheck::WaitForRound => self.wait_for_round(id),
            ProofCheck::Decline(reason) => self.decline_owner_request(id, reason),
            ProofCheck::RollBack(message) => self.roll_back_owner_request(id, message),
        }
    }

    fn enqueue_owner_request(&mut self, id: RequestId) {
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        let Some(service) = self.owner.services.get_mut(&request.routed.database) else { return };
        if request.opens_transaction() && !service.opening_transactions.contains(&id) {
            if service.pins.len() + service.opening_transactions.len() >= service.transaction_limit
            {
                let rank = request.routed.rank;
                if service.deferred.len() >= service.deferred_limit {
                    let limit = u32::try_from(service.deferred_limit).unwrap_or(u32::MAX);
                    return self.decline_owner_request(id, DeclineReason::QueueFull { limit });
                }
                request.stage = RequestStage::Deferred;
                service.deferred.insert((rank, id));
                let deadline = request.deadline;
                return self.arm_owner_request(id, Some(deadline));
            }
            service.opening_transactions.insert(id);
        }
        let slot_request = SlotRequest {
            request: id,
            rank: request.routed.rank,
            caller: request.routed.caller.clone(),
            deadline: request.deadline,
            selector: request.routed.selector.clone(),
            in_transaction: request.pin.is_some(),
        };
        match service.queue.enqueue(self.now, slot_request) {
            Ok(()) => {
                request.stage = RequestStage::Queued;
                let database = request.routed.database.clone();
                self.arm_owner_request(id, None);
                self.steps.push_back(PendingStep::ServeQueue(database));
            }
            Err(reason) => {
                request.stage = RequestStage::WaitingForRound;
                self.decline_refused_request(id, reason);
            }
        }
    }

    fn decline_refused_request(&mut self, id: RequestId, reason: RefusalReason) {
        let reason = match reason {
            RefusalReason::QueueFull { limit } => DeclineReason::QueueFull { limit },
            RefusalReason::DeadlineUnreachable { expected } => {
                DeclineReason::DeadlineUnreachable { expected }
            }
            RefusalReason::DeadlinePassed => {
                DeclineReason::DeadlineUnreachable { expected: Micros::ZERO }
            }
        };
        self.decline_owner_request(id, reason);
    }

    /// Sets the timer of a request.
    pub(crate) fn arm_owner_request(&mut self, id: RequestId, due: Option<Micros>) {
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        if request.timer_due != due {
            request.timer_due = due;
            if let Some(due) = due {
                self.timers.add(due, TimerKey::OwnerRequest(id));
            }
        }
    }

    /// Grants slots and connections of a database to waiting requests.
    pub(crate) fn serve_queue(&mut self, database: &Name) {
        let now = self.now;
        let Some(service) = self.owner.services.get_mut(database) else { return };
        for (id, reason) in service.queue.expire(now) {
            if let Some(request) = self.owner.requests.get_mut(&id) {
                request.stage = RequestStage::WaitingForRound;
                self.decline_refused_request(id, reason);
            }
        }
        self.resume_deferred(database);
        self.grant_slots(database);
        let mut actions = Vec::new();
        while let Some(service) = self.owner.services.get_mut(database) {
            let Some(id) = service.awaiting_connection.front().copied() else { break };
            let wanted = service.awaiting_connection.len() as u32;
            let next = &mut self.owner.next_connection;
            let Some(connection) = service.pool.take(now, wanted, next, &mut actions) else {
                break;
            };
            service.awaiting_connection.pop_front();
            self.dispatch_owner_request(id, connection);
        }
        self.decline_without_connections(database);
        if let Some(service) = self.owner.services.get_mut(database)
            && !service.owned
        {
            service.pool.trim(now, &mut actions);
        }
        self.run_pool_actions(database, actions);
    }

    /// Queues deferred requests for which a transaction may be opened now.
    fn resume_deferred(&mut self, database: &Name) {
        while let Some(service) = self.owner.services.get_mut(database) {
            if service.pins.len() + service.opening_transactions.len() >= service.transaction_limit
            {
                break;
            }
            let Some((_, id)) = service.deferred.pop_first() else { break };
            self.check_owner_request(id);
        }
    }

    /// Grants free slots. A request in a transaction has its connection already and is sent at once.
    fn grant_slots(&mut self, database: &Name) {
        let now = self.now;
        while let Some(service) = self.owner.services.get_mut(database) {
            let Some(grant) = service.queue.grant(now) else { break };
            let Some(request) = self.owner.requests.get_mut(&grant.request) else {
                service.queue.finish(now, grant.request);
                continue;
            };
            request.granted_at = Some(now);
            request.stage = RequestStage::Granted;
            let pin = request.pin.and_then(|pin| self.owner.pins.get(&pin));
            match (request.pin, pin.map(|pin| pin.connection)) {
                (None, _) => {
                    service.awaiting_connection.push_back(grant.request);
                    let deadline = request.deadline;
                    self.arm_owner_request(grant.request, Some(deadline));
                }
                (Some(_), Some(connection)) => {
                    self.dispatch_owner_request(grant.request, connection)
                }
                (Some(_), None) => {
                    self.roll_back_owner_request(
                        grant.request,
                        "the connection of the transaction was lost".to_string(),
                    );
                }
            }
        }
    }

    /// Declines requests that wait for a connection if the pool has none and opens none, as after a
    /// failed open. They would hold slots without a use.
    pub(super) fn decline_without_connections(&mut self, database: &Name) {
        let Some(service) = self.owner.services.get(database) else { return };
        let stats = service.pool.stats();
        if stats.opening + stats.idle + stats.taken > 0 {
            return;
        }
        for id in service.awaiting_connection.clone() {
            self.decline_owner_request(id, DeclineReason::Unavailable);
        }
    }

    pub(crate) fn release_slot(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        let Some(granted_at) = request.granted_at.take() else { return };
        let routed = &request.routed;
        let Some(service) = self.owner.services.get_mut(&routed.database) else { return };
        service.queue.finish(now, id);
        let used = now.saturating_sub(granted_at);
        self.accounts.count(now, &routed.caller, routed.rank, CallerMeasure::SlotTime, used.0);
        self.steps.push_back(PendingStep::ServeQueue(routed.database.clone()));
    }
}
