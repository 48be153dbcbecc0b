//! Retries after an owner declined a request or the connection to its node was lost.

use bytes::Bytes;
use model::{Micros, Name};
use stats::CallerMeasure;

use super::{AttemptPath, EntryAttempt, MAX_BACKOFF, REPLICA_LAG_BACKOFF, error};
use crate::Node;
use crate::action::NodeAction;
use crate::id::{CallId, LaneId, SessionId};
use crate::request::{DeclineReason, OwnerReply};
use crate::step::PendingStep;

impl Node {
    /// Schedules a retry after all databases declined.
    pub(super) fn schedule_retry(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        let backoff = request.backoff;
        request.backoff = (backoff + backoff).min(MAX_BACKOFF);
        request.declined_by.clear();
        let waits = !request.read || request.primary_only;
        let backoff = self.random.jitter(backoff);
        let retry_at = self.now + backoff;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let Some(request) = session.request.as_mut() {
            request.retry_at = Some(retry_at);
        }
        if waits {
            let cluster = session.cluster.clone();
            self.entry.waiting.entry(cluster).or_default().insert(id);
        }
        self.arm_session(id);
    }

    /// Tries another database at once.
    pub(super) fn try_other_database(&mut self, id: SessionId, database: &Name) {
        if let Some(request) = self.request_mut(id) {
            request.attempt = None;
            if !request.declined_by.contains(database) {
                request.declined_by.push(database.clone());
            }
        }
        self.arm_session(id);
        self.steps.push_back(PendingStep::Route(id));
    }

    /// Stores a cluster's leader and resumes requests that wait for one.
    pub(crate) fn leader_learned(&mut self, cluster: &Name, leader: &Name) {
        if !self.entry.hints.set_leader(self.now, cluster, leader) {
            return;
        }
        for id in self.entry.waiting.remove(cluster).unwrap_or_default() {
            if let Some(request) = self.request_mut(id) {
                request.retry_at = None;
                self.steps.push_back(PendingStep::Route(id));
            }
        }
    }

    pub(crate) fn forward_answered(&mut self, id: CallId, reply: OwnerReply, lane: Option<LaneId>) {
        match self.entry.calls.remove(&id) {
            Some(call) => self.reply_arrived(call.session, AttemptPath::Remote(id), reply, lane),
            None => {
                if let Some(lane) = lane {
                    self.emit(NodeAction::DropLane { lane });
                }
            }
        }
    }

    pub(crate) fn forward_failed(&mut self, id: CallId, sent: bool) {
        let Some(call) = self.entry.calls.remove(&id) else { return };
        let Some(request) = self.request_mut(call.session) else { return };
        let (read, commits) = (request.read, request.commits);
        let in_transaction =
            self.sessions.get(&call.session).is_some_and(|session| session.transaction.is_some());
        let message = format!("the connection to node {} was lost", call.to);
        let reply = if in_transaction && (!sent || !commits) {
            OwnerReply::RolledBack { message }
        } else if !sent || (!read && !commits) {
            // The owner rolls back a transaction that was being opened, because its lane is lost.
            let reason = DeclineReason::Unavailable;
            OwnerReply::Declined { reason, age: None, wait: Micros::ZERO }
        } else if read {
            OwnerReply::AnswerInterrupted { relayed: false, message }
        } else {
            OwnerReply::OutcomeUnknown { message }
        };
        self.reply_arrived(call.session, AttemptPath::Remote(id), reply, None);
    }

    pub(super) fn request_declined(
        &mut self,
        id: SessionId,
        cluster: &Name,
        attempt: &EntryAttempt,
        reason: DeclineReason,
        age: Option<Micros>,
    ) {
        let now = self.now;
        let database = attempt.database.clone();
        self.count("requests.declined", 1);
        let Some(request) = self.request_mut(id) else { return };
        if request.cancelled {
            return self.finish_not_run(id);
        }
        let read = request.read;
        request.no_primary = false;
        match reason {
            DeclineReason::NoProof => self.read_proof_missing(id, cluster, &database, age),
            DeclineReason::NotLeader { leader } => {
                request.no_primary = true;
                self.entry.hints.clear_leader(cluster, &database);
                if let Some(leader) = leader.filter(|leader| *leader != database) {
                    self.leader_learned(cluster, &leader);
                }
            }
            DeclineReason::Unavailable => {
                request.no_primary = true;
                self.entry.hints.exclude(now, &database);
                self.entry.hints.clear_leader(cluster, &database);
            }
            // The nodes disagree on the owner for one or two heartbeats.
            DeclineReason::NotOwner { .. } | DeclineReason::ShuttingDown => {
                self.entry.hints.exclude(now, &database);
            }
            DeclineReason::QueueFull { limit } => {
                self.entry.hints.exclude(now, &database);
                if !read || self.known_leader(cluster).as_ref() == Some(&database) {
                    let message = format!("not run: the queue of {limit} requests is full");
                    self.count_refusal(id);
                    return self.finish_request(id, Some(error("WK002", message)), Bytes::new());
                }
            }
            DeclineReason::DeadlineUnreachable { expected } => {
                self.entry.hints.exclude(now, &database);
                if !read || self.known_leader(cluster).as_ref() == Some(&database) {
                    let message = format!(
                        "not run: the deadline cannot be met, the expected wait is {expected}"
                    );
                    self.count_refusal(id);
                    return self.finish_request(id, Some(error("WK001", message)), Bytes::new());
                }
            }
        }
        self.try_other_database(id, &database);
    }

    /// Handles a decline for lack of a proof; the next attempt is at the primary.
    fn read_proof_missing(
        &mut self,
        id: SessionId,
        cluster: &Name,
        database: &Name,
        age: Option<Micros>,
    ) {
        let now = self.now;
        let is_leader = self.known_leader(cluster).as_ref() == Some(database);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(request) = session.request.as_mut() else { return };
        request.primary_only = true;
        let (max_age, rank) = (request.policy.max_age, request.policy.rank);
        // If the provable age is sufficient, only this session's required position was not reached,
        // which does not concern the reads of other sessions. An insufficient age is stored as a hint
        // already.
        match age {
            None => self.entry.hints.exclude(now, database),
            Some(age) if age <= max_age && !is_leader => {
                session.primary_until = now + REPLICA_LAG_BACKOFF
            }
            Some(_) => {}
        }
        if !is_leader {
            let measure = CallerMeasure::ReplicaDeclined;
            self.accounts.count(now, &session.caller, rank, measure, 1);
        }
    }
}
