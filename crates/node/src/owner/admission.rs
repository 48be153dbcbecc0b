//! Admission of work: evidence, the queue, and the grant of slots and connections.

use admit::{RefusalReason, WorkId, WorkTicket};
use model::{Micros, Name, Term};
use stats::CallerMeasure;

use super::{OwnerWork, PinKey, WorkOrigin, WorkStage};
use crate::Node;
use crate::proof::Evidence;
use crate::step::Step;
use crate::timer::TimerKey;
use crate::work::{DeclineReason, WorkRequest};

impl Node {
    /// Takes a request on. The reply follows as a step or an action, perhaps at once.
    pub(crate) fn admit_work(
        &mut self,
        origin: WorkOrigin,
        peer: Option<Name>,
        pin: Option<PinKey>,
        request: WorkRequest,
    ) -> WorkId {
        let id = WorkId(self.next_id());
        if let WorkOrigin::Call(call) = origin {
            self.owner.calls.insert(call, id);
        }
        if let Some(pin) = pin.and_then(|pin| self.owner.pins.get_mut(&pin)) {
            pin.work = Some(id);
        }
        let work = OwnerWork {
            origin,
            peer,
            arrived: self.now,
            deadline: self.now + request.time_left,
            request,
            due: None,
            stage: WorkStage::Round,
            pin,
            granted_at: None,
            connection: None,
            term: Term(0),
            proof: None,
            sampled: None,
            lost: None,
            rounds: 0,
            cancel_sent: false,
            relayed: false,
            key: None,
        };
        self.owner.works.insert(id, work);
        if self.drain.is_draining() && pin.is_none() && matches!(origin, WorkOrigin::Call(_)) {
            self.decline_work(id, DeclineReason::Leaving);
        } else {
            self.check_work(id);
        }
        id
    }

    /// Checks leadership and proofs of work that arrived or that waited for a round.
    pub(crate) fn check_work(&mut self, id: WorkId) {
        match self.check_evidence(id) {
            Evidence::Ready => self.enqueue_work(id),
            Evidence::WaitRound => self.wait_round(id),
            Evidence::Decline(reason) => self.decline_work(id, reason),
            Evidence::RollBack(message) => self.roll_back_work(id, message),
        }
    }

    fn enqueue_work(&mut self, id: WorkId) {
        let Some(work) = self.owner.works.get_mut(&id) else { return };
        let Some(service) = self.owner.services.get_mut(&work.request.database) else { return };
        if work.begins() && !service.begins.contains(&id) {
            if service.pins.len() + service.begins.len() >= service.transaction_limit {
                let rank = work.request.rank;
                if service.deferred.len() >= service.deferred_limit {
                    let limit = u32::try_from(service.deferred_limit).unwrap_or(u32::MAX);
                    return self.decline_work(id, DeclineReason::QueueFull { limit });
                }
                work.stage = WorkStage::Deferred;
                service.deferred.insert((rank, id));
                let deadline = work.deadline;
                return self.arm_work(id, Some(deadline));
            }
            service.begins.insert(id);
        }
        let ticket = WorkTicket {
            work: id,
            rank: work.request.rank,
            caller: work.request.caller.clone(),
            deadline: work.deadline,
            selector: work.request.selector.clone(),
            in_transaction: work.pin.is_some(),
        };
        match service.queue.enqueue(self.now, ticket) {
            Ok(()) => {
                work.stage = WorkStage::Queued;
                let database = work.request.database.clone();
                self.arm_work(id, None);
                self.steps.push_back(Step::Pump(database));
            }
            Err(reason) => {
                work.stage = WorkStage::Round;
                self.refuse_work(id, reason);
            }
        }
    }

    fn refuse_work(&mut self, id: WorkId, reason: RefusalReason) {
        let reason = match reason {
            RefusalReason::QueueFull { limit } => DeclineReason::QueueFull { limit },
            RefusalReason::DeadlineUnreachable { expected } => DeclineReason::Deadline { expected },
            RefusalReason::DeadlinePassed => DeclineReason::Deadline { expected: Micros::ZERO },
        };
        self.decline_work(id, reason);
    }

    /// Sets the timer of work.
    pub(crate) fn arm_work(&mut self, id: WorkId, due: Option<Micros>) {
        let Some(work) = self.owner.works.get_mut(&id) else { return };
        if work.due != due {
            work.due = due;
            if let Some(due) = due {
                self.timers.add(due, TimerKey::Work(id));
            }
        }
    }

    /// Grants slots and connections of a database.
    pub(crate) fn pump_database(&mut self, database: &Name) {
        let now = self.now;
        let Some(service) = self.owner.services.get_mut(database) else { return };
        for (id, reason) in service.queue.expire(now) {
            if let Some(work) = self.owner.works.get_mut(&id) {
                work.stage = WorkStage::Round;
                self.refuse_work(id, reason);
            }
        }
        self.resume_deferred(database);
        self.grant_slots(database);
        let mut actions = Vec::new();
        while let Some(service) = self.owner.services.get_mut(database) {
            let Some(id) = service.wanting.front().copied() else { break };
            let wanted = service.wanting.len() as u32;
            let next = &mut self.owner.next_connection;
            let Some(connection) = service.pool.take(now, wanted, next, &mut actions) else {
                break;
            };
            service.wanting.pop_front();
            self.dispatch_work(id, connection);
        }
        self.decline_without_pool(database);
        if let Some(service) = self.owner.services.get_mut(database)
            && !service.owned
        {
            service.pool.trim(now, &mut actions);
        }
        self.run_pool_actions(database, actions);
    }

    /// Queues work that waited until another transaction ended.
    fn resume_deferred(&mut self, database: &Name) {
        while let Some(service) = self.owner.services.get_mut(database) {
            if service.pins.len() + service.begins.len() >= service.transaction_limit {
                break;
            }
            let Some((_, id)) = service.deferred.pop_first() else { break };
            self.check_work(id);
        }
    }

    /// Grants free slots. Work in a transaction has its connection and is sent at once.
    fn grant_slots(&mut self, database: &Name) {
        let now = self.now;
        while let Some(service) = self.owner.services.get_mut(database) {
            let Some(grant) = service.queue.grant(now) else { break };
            let Some(work) = self.owner.works.get_mut(&grant.work) else {
                service.queue.finish(now, grant.work);
                continue;
            };
            work.granted_at = Some(now);
            work.stage = WorkStage::Granted;
            let pin = work.pin.and_then(|pin| self.owner.pins.get(&pin));
            match (work.pin, pin.map(|pin| pin.connection)) {
                (None, _) => {
                    service.wanting.push_back(grant.work);
                    let deadline = work.deadline;
                    self.arm_work(grant.work, Some(deadline));
                }
                (Some(_), Some(connection)) => self.dispatch_work(grant.work, connection),
                (Some(_), None) => {
                    self.roll_back_work(grant.work, "its connection was lost".to_string());
                }
            }
        }
    }

    /// Declines work that waits for a connection while none is there and none is being opened, as after
    /// a failed open. It would hold slots for nothing.
    pub(super) fn decline_without_pool(&mut self, database: &Name) {
        let Some(service) = self.owner.services.get(database) else { return };
        let stats = service.pool.stats();
        if stats.opening + stats.idle + stats.taken > 0 {
            return;
        }
        for id in service.wanting.clone() {
            self.decline_work(id, DeclineReason::Unavailable);
        }
    }

    /// Gives the slot back.
    pub(crate) fn release_slot(&mut self, id: WorkId) {
        let now = self.now;
        let Some(work) = self.owner.works.get_mut(&id) else { return };
        let Some(granted_at) = work.granted_at.take() else { return };
        let request = &work.request;
        let Some(service) = self.owner.services.get_mut(&request.database) else { return };
        service.queue.finish(now, id);
        let used = now.saturating_sub(granted_at);
        self.accounts.count(now, &request.caller, request.rank, CallerMeasure::SlotTime, used.0);
        self.steps.push_back(Step::Pump(request.database.clone()));
    }
}
