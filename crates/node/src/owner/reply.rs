//! Deadlines, cancellation and replies of work.

use admit::WorkId;
use model::{Micros, Name};

use super::{CANCEL_GRACE, OwnerWork, PinKey, WorkOrigin, WorkStage};
use crate::Node;
use crate::action::NodeAction;
use crate::entry::AttemptPath;
use crate::id::{CallId, LaneId};
use crate::step::Step;
use crate::work::{DeclineReason, WorkReply, WorkRequest};

impl Node {
    pub(crate) fn forward_arrived(
        &mut self,
        call: CallId,
        from: Name,
        lane: Option<LaneId>,
        request: WorkRequest,
    ) {
        self.count("forwards.received", 1);
        self.admit_work(WorkOrigin::Call(call), Some(from), lane.map(PinKey::Lane), request);
    }

    /// The timer of work.
    pub(crate) fn work_due(&mut self, id: WorkId) {
        let Some(work) = self.owner.works.get_mut(&id) else { return };
        work.due = None;
        match work.stage {
            WorkStage::Running { run, .. } => {
                let connection = work.connection;
                if work.cancel_sent {
                    // The backend server does not answer: only the connection's end frees the slot.
                    if let Some(connection) = connection {
                        self.emit(NodeAction::CloseBackend { connection });
                        self.backend_lost(connection, "the statement did not end in time");
                    }
                } else {
                    work.cancel_sent = true;
                    if let Some(connection) = connection {
                        self.emit(NodeAction::CancelRun { connection, run });
                    }
                    self.arm_work(id, Some(self.now + CANCEL_GRACE));
                }
            }
            WorkStage::Acknowledging { .. } => {}
            _ => self.decline_work(id, DeclineReason::Deadline { expected: Micros::ZERO }),
        }
    }

    /// The caller wants the work cancelled and still waits for the reply.
    pub(crate) fn cancel_work(&mut self, id: WorkId) {
        let Some(work) = self.owner.works.get_mut(&id) else { return };
        match (&work.stage, work.connection) {
            (WorkStage::Running { run, .. }, Some(connection)) => {
                let run = *run;
                self.emit(NodeAction::CancelRun { connection, run });
            }
            (WorkStage::Acknowledging { .. }, _) => {}
            _ => self.decline_work(id, DeclineReason::Deadline { expected: Micros::ZERO }),
        }
    }

    /// Nobody waits for the work any more.
    pub(crate) fn abandon_work(&mut self, id: WorkId) {
        let Some(work) = self.owner.works.get_mut(&id) else { return };
        if let WorkOrigin::Call(call) = work.origin {
            self.owner.calls.remove(&call);
        }
        work.origin = WorkOrigin::Gone;
        if let Some(run) = self.held_statement(id) {
            self.emit(NodeAction::Discard { run });
        }
        let Some(work) = self.owner.works.get_mut(&id) else { return };
        match (&work.stage, work.connection) {
            (WorkStage::Running { run, .. }, Some(connection)) => {
                let run = *run;
                work.stage = WorkStage::Running { run, decided: true };
                let armed = work.cancel_sent;
                work.cancel_sent = true;
                self.emit(NodeAction::Discard { run });
                self.emit(NodeAction::CancelRun { connection, run });
                if !armed {
                    self.arm_work(id, Some(self.now + CANCEL_GRACE));
                }
            }
            (WorkStage::Acknowledging { run, .. }, _) => {
                if let Some(run) = *run {
                    self.emit(NodeAction::Discard { run });
                }
                self.remove_work(id);
            }
            _ => {
                self.remove_work(id);
            }
        }
    }

    /// Takes work out of every table. Slot and begin room go back.
    pub(crate) fn remove_work(&mut self, id: WorkId) -> Option<OwnerWork> {
        self.release_slot(id);
        let work = self.owner.works.remove(&id)?;
        if let Some(service) = self.owner.services.get_mut(&work.request.database) {
            match work.stage {
                WorkStage::Queued => {
                    service.queue.cancel(id);
                }
                WorkStage::Deferred => {
                    service.deferred.remove(&(work.request.rank, id));
                }
                WorkStage::Granted => service.wanting.retain(|waiting| *waiting != id),
                _ => {}
            }
            if service.begins.remove(&id) {
                self.steps.push_back(Step::Pump(work.request.database.clone()));
            }
        }
        match &work.stage {
            WorkStage::Running { run, .. } => {
                self.owner.runs.remove(run);
            }
            WorkStage::Acknowledging { commit, .. } => {
                self.owner.commits.remove(commit);
            }
            _ => {}
        }
        if let WorkOrigin::Call(call) = work.origin {
            self.owner.calls.remove(&call);
        }
        if let Some(pin) = work.pin.and_then(|key| self.owner.pins.get_mut(&key)) {
            pin.work = None;
        }
        Some(work)
    }

    /// Ends work with a reply.
    pub(crate) fn reply_work(&mut self, id: WorkId, reply: WorkReply) {
        let lane = self.lane_of(id);
        let Some(work) = self.remove_work(id) else { return };
        let reply = match reply {
            // The entry proxy would repeat a keyed write, and the caller get its rows twice.
            WorkReply::Unknown { message } if work.relayed => {
                WorkReply::ReadFailed { relayed: true, message }
            }
            reply => reply,
        };
        self.send_reply(id, work.origin, reply, lane);
    }

    /// Replies to the one who waits, without ending the work.
    pub(crate) fn send_reply(
        &mut self,
        id: WorkId,
        origin: WorkOrigin,
        reply: WorkReply,
        lane: Option<LaneId>,
    ) {
        match origin {
            WorkOrigin::Session(session) => {
                let path = AttemptPath::Local(id);
                self.steps.push_back(Step::Reply { session, path, reply, lane: None });
            }
            WorkOrigin::Call(call) => {
                self.owner.calls.remove(&call);
                self.emit(NodeAction::AnswerForward { call, reply, lane });
            }
            WorkOrigin::Gone => {}
        }
    }

    /// Ends work of which nothing was sent. In a transaction this ends the transaction.
    pub(crate) fn decline_work(&mut self, id: WorkId, reason: DeclineReason) {
        let Some(work) = self.owner.works.get(&id) else { return };
        if work.pin.is_some() {
            let message = match reason {
                DeclineReason::QueueFull { limit } => {
                    format!("the queue of {limit} requests is full")
                }
                DeclineReason::Deadline { .. } => "the deadline cannot be met".to_string(),
                _ => "the backend server is not available".to_string(),
            };
            return self.roll_back_work(id, message);
        }
        let (age, wait) = self.hints_of(id);
        self.reply_work(id, WorkReply::Declined { reason, age, wait });
    }

    /// Ends work and the transaction that it belongs to.
    pub(crate) fn roll_back_work(&mut self, id: WorkId, message: String) {
        let Some(pin) = self.owner.works.get(&id).map(|work| work.pin) else { return };
        let Some(work) = self.remove_work(id) else { return };
        if let Some(key) = pin {
            self.close_pin(key, &message);
        }
        self.send_reply(id, work.origin, WorkReply::RolledBack { message }, None);
    }

    /// Data age and expected wait that a reply carries as hints.
    pub(crate) fn hints_of(&self, id: WorkId) -> (Option<Micros>, Micros) {
        let Some(work) = self.owner.works.get(&id) else { return (None, Micros::ZERO) };
        let Some(service) = self.owner.services.get(&work.request.database) else {
            return (None, Micros::ZERO);
        };
        let age = self
            .clusters
            .get(&service.cluster)
            .and_then(|cluster| cluster.watch.provable_age(self.now, &work.request.database));
        (age, service.queue.expected_wait(self.now, work.request.rank))
    }
}
