//! Runs on connections, their ends, and the acknowledgement of commits.

use admit::{ConnectionId, WorkId};
use bytes::Bytes;
use failover::{CommitId, WatchEvent};
use model::{Name, SessionFloor, Term};

use crate::Node;
use crate::action::{NodeAction, RelayMode};
use crate::id::{LaneId, RunId};
use crate::owner::{CommitUse, PinKey, TransactionPin, WorkOrigin, WorkStage};
use crate::proof::Evidence;
use crate::step::Step;
use crate::work::{DeclineReason, RunSummary, TransactionState, WorkReply};

/// SQLSTATE of a write at a replica.
const READ_ONLY: &str = "25006";

impl Node {
    /// Sends work on its connection, unless the evidence no longer holds.
    pub(crate) fn dispatch_work(&mut self, id: WorkId, connection: ConnectionId) {
        let refusal = match self.check_evidence(id) {
            Evidence::Ready => None,
            Evidence::WaitRound => Some(DeclineReason::NoProof),
            Evidence::Decline(reason) => Some(reason),
            Evidence::RollBack(message) => return self.roll_back_work(id, message),
        };
        if let Some(reason) = refusal {
            self.put_connection(connection);
            return self.decline_work(id, reason);
        }
        let Some(work) = self.owner.works.get_mut(&id) else {
            return self.put_connection(connection);
        };
        work.connection = Some(connection);
        if let Some(backend) = self.owner.connections.get_mut(&connection) {
            backend.work = Some(id);
        }
        let deadline = work.deadline;
        if work.request.request_key.is_some() && !work.request.read {
            self.start_keyed(id, connection);
        } else if let Some(target) = work.target() {
            let frames = work.request.request.frames.clone();
            let mode = match work.pin {
                None if work.request.read => RelayMode::Decide(target),
                _ if work.request.commits => RelayMode::Hold(target),
                _ => RelayMode::Stream(target),
            };
            self.send_run(id, connection, frames, mode);
        }
        self.arm_work(id, Some(deadline));
    }

    /// Starts one exchange.
    pub(crate) fn send_run(
        &mut self,
        id: WorkId,
        connection: ConnectionId,
        frames: Bytes,
        mode: RelayMode,
    ) -> RunId {
        let run = RunId(self.next_id());
        self.owner.runs.insert(run, id);
        let decided = matches!(mode, RelayMode::Collect | RelayMode::Stream(_));
        if let Some(work) = self.owner.works.get_mut(&id) {
            work.stage = WorkStage::Running { run, decided };
        }
        self.count("runs", 1);
        self.emit(NodeAction::Run { connection, run, frames, mode });
        run
    }

    /// Gives an idle connection back to its pool.
    fn put_connection(&mut self, connection: ConnectionId) {
        let Some(backend) = self.owner.connections.get_mut(&connection) else { return };
        backend.work = None;
        if backend.pin.is_some() {
            return;
        }
        let database = backend.database.clone();
        if let Some(service) = self.owner.services.get_mut(&database) {
            service.pool.put(self.now, connection);
        }
        self.steps.push_back(Step::Pump(database));
    }

    pub(crate) fn run_finished(
        &mut self,
        connection: ConnectionId,
        run: RunId,
        summary: RunSummary,
    ) {
        let Some(id) = self.owner.runs.remove(&run) else { return };
        let Some(work) = self.owner.works.get(&id) else { return };
        if work.connection != Some(connection) {
            return;
        }
        if work.key.is_some() && work.origin != WorkOrigin::Gone {
            return self.keyed_finished(id, connection, run, summary);
        }
        self.plain_finished(id, connection, run, &summary);
    }

    fn plain_finished(
        &mut self,
        id: WorkId,
        connection: ConnectionId,
        run: RunId,
        summary: &RunSummary,
    ) {
        let Some(work) = self.owner.works.get(&id) else { return };
        if work.origin == WorkOrigin::Gone {
            self.settle_connection(id, connection, summary.transaction);
            self.remove_work(id);
            return;
        }
        let (commits, term) = (work.request.commits, work.term);
        let undecided = matches!(work.stage, WorkStage::Running { decided: false, .. });
        let read_only = summary.error.as_ref().is_some_and(|error| &*error.code == READ_ONLY);
        let stale = match undecided && !commits {
            true => self.recheck_proof(work),
            false => None,
        };
        let durable = work.request.durable;
        self.settle_connection(id, connection, summary.transaction);
        self.release_slot(id);
        if undecided
            && read_only
            && self.owner.works.get(&id).is_some_and(|work| work.pin.is_none())
        {
            self.emit(NodeAction::Discard { run });
            return self.decline_work(id, DeclineReason::NotLeader { leader: None });
        }
        if let Some(reason) = stale {
            self.count("reads.discarded", 1);
            self.emit(NodeAction::Discard { run });
            return self.decline_work(id, reason);
        }
        // COMMIT of a failed transaction ends with the tag ROLLBACK and without an error.
        let committed = commits
            && summary.error.is_none()
            && summary.transaction == TransactionState::Idle
            && summary.command_tag.as_deref() != Some("ROLLBACK");
        if committed {
            return self.await_acknowledgement(id, Some(run), term, durable);
        }
        if undecided {
            self.emit(NodeAction::Relay { run });
        }
        self.finish_work(id, summary.transaction, None);
    }

    /// Replies that the answer was relayed whole.
    pub(crate) fn finish_work(
        &mut self,
        id: WorkId,
        transaction: TransactionState,
        floor: Option<SessionFloor>,
    ) {
        let Some(work) = self.owner.works.get(&id) else { return };
        let (lost, floor) = (work.lost, floor.or(work.sampled));
        let (age, wait) = self.hints_of(id);
        let reply = WorkReply::Done { transaction, floor, lost, age, wait };
        self.reply_work(id, reply);
    }

    /// Pins the connection while a transaction is open on it, or gives it back.
    pub(crate) fn settle_connection(
        &mut self,
        id: WorkId,
        connection: ConnectionId,
        state: TransactionState,
    ) {
        let Some(work) = self.owner.works.get_mut(&id) else { return };
        work.connection = None;
        let (origin, pin, term) = (work.origin, work.pin, work.term);
        let (peer, database) = (work.peer.clone(), work.request.database.clone());
        if let Some(backend) = self.owner.connections.get_mut(&connection) {
            backend.work = None;
        }
        if state == TransactionState::Idle {
            if let Some(key) = pin {
                self.forget_pin(key);
            }
            if let Some(backend) = self.owner.connections.get_mut(&connection) {
                backend.pin = None;
            }
            return self.put_connection(connection);
        }
        if pin.is_some() {
            return;
        }
        let key = match origin {
            WorkOrigin::Session(session) => PinKey::Session(session),
            WorkOrigin::Call(_) => PinKey::Lane(LaneId(self.next_id())),
            WorkOrigin::Gone => return self.close_connection(connection),
        };
        if let Some(work) = self.owner.works.get_mut(&id) {
            work.pin = Some(key);
        }
        if let Some(backend) = self.owner.connections.get_mut(&connection) {
            backend.pin = Some(key);
        }
        if let Some(service) = self.owner.services.get_mut(&database) {
            service.pins.insert(key);
            service.begins.remove(&id);
        }
        let pin = TransactionPin { database, connection, term, peer, work: Some(id) };
        self.owner.pins.insert(key, pin);
    }

    /// Has the commit wait for a confirmed round. Slot and connection are free already.
    pub(crate) fn await_acknowledgement(
        &mut self,
        id: WorkId,
        run: Option<RunId>,
        term: Term,
        durable: bool,
    ) {
        let commit = CommitId(self.next_id());
        let Some(work) = self.owner.works.get_mut(&id) else { return };
        work.stage = WorkStage::Acknowledging { commit, run };
        let database = work.request.database.clone();
        self.owner.commits.insert(commit, CommitUse::Work(id));
        self.arm_work(id, None);
        let cluster = self.owner.services.get(&database).map(|service| service.cluster.clone());
        match cluster.filter(|cluster| self.clusters.contains_key(cluster)) {
            Some(cluster) => {
                let event = WatchEvent::CommitFinished { commit, term, durable };
                self.handle_watch(&cluster, event);
            }
            None => self.outcome_unknown(commit),
        }
    }

    /// The watch acknowledged a commit or a round.
    pub(crate) fn acknowledged(&mut self, commit: CommitId, floor: SessionFloor) {
        match self.owner.commits.remove(&commit) {
            Some(CommitUse::Work(id)) => {
                let Some(work) = self.owner.works.get_mut(&id) else { return };
                let WorkStage::Acknowledging { run, .. } = work.stage else { return };
                let recorded = work.key.take().and_then(|step| step.recorded_tag());
                if let Some(run) = run {
                    self.emit(NodeAction::Relay { run });
                }
                match recorded {
                    Some(tag) => self.reply_work(
                        id,
                        WorkReply::Recorded {
                            command_tag: Some(tag),
                            error: None,
                            transaction: TransactionState::Idle,
                            floor: Some(floor),
                        },
                    ),
                    None => self.finish_work(id, TransactionState::Idle, Some(floor)),
                }
            }
            Some(CommitUse::Round(works)) => {
                for id in works {
                    let waits = self
                        .owner
                        .works
                        .get(&id)
                        .is_some_and(|work| matches!(work.stage, WorkStage::Round));
                    if waits {
                        self.check_work(id);
                    }
                }
            }
            None => {}
        }
    }

    /// The watch could not confirm a commit or a round.
    pub(crate) fn outcome_unknown(&mut self, commit: CommitId) {
        match self.owner.commits.remove(&commit) {
            Some(CommitUse::Work(id)) => {
                let Some(work) = self.owner.works.get(&id) else { return };
                if let WorkStage::Acknowledging { run: Some(run), .. } = work.stage {
                    self.emit(NodeAction::Discard { run });
                }
                let message = "the primary could not be confirmed after the commit".to_string();
                self.reply_work(id, WorkReply::Unknown { message });
            }
            Some(CommitUse::Round(works)) => {
                for id in works {
                    self.decline_work(id, DeclineReason::NoProof);
                }
            }
            None => {}
        }
    }

    /// Rows of a held answer went out.
    pub(crate) fn held_rows_relayed(&mut self, run: RunId) {
        let id = self.owner.runs.get(&run).copied();
        if let Some(work) = id.and_then(|id| self.owner.works.get_mut(&id)) {
            work.relayed = true;
        }
    }

    /// The connection of work in progress was lost.
    pub(crate) fn work_lost(&mut self, id: WorkId, message: &str) {
        let Some(work) = self.owner.works.get(&id) else { return };
        let message = message.to_string();
        let (read, commits, pinned) = (work.request.read, work.request.commits, work.pin.is_some());
        let reply = match work.stage {
            WorkStage::Acknowledging { .. } => return,
            WorkStage::Running { .. } if commits => WorkReply::Unknown { message },
            WorkStage::Running { decided, .. } if read && !pinned => {
                WorkReply::ReadFailed { relayed: decided, message }
            }
            _ => WorkReply::RolledBack { message },
        };
        if let WorkStage::Running { run, decided: false } = work.stage {
            self.emit(NodeAction::Discard { run });
        }
        if let Some(run) = self.held_statement(id) {
            self.emit(NodeAction::Discard { run });
        }
        if let Some(work) = self.owner.works.get_mut(&id) {
            work.connection = None;
        }
        self.reply_work(id, reply);
    }

    /// Tells whether the table of request keys was made in this term.
    pub(crate) fn key_table_ready(&self, database: &Name, term: Term) -> bool {
        self.owner.services.get(database).is_some_and(|service| service.key_table == Some(term))
    }
}
