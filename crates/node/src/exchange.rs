//! Exchanges on backend connections, their results, and the acknowledgement of commits.

use admit::{ConnectionId, RequestId};
use bytes::Bytes;
use failover::{CommitId, MonitorEvent};
use model::{Name, RequiredPosition, Term};

use crate::Node;
use crate::action::{NodeAction, RelayMode};
use crate::id::{ExchangeId, LaneId};
use crate::owner::{CommitPurpose, PinKey, RequestOrigin, RequestStage, TransactionPin};
use crate::proof::ProofCheck;
use crate::request::{DeclineReason, ExchangeSummary, OwnerReply, TransactionState};
use crate::step::PendingStep;

/// SQLSTATE that a replica returns for a write.
const READ_ONLY_TRANSACTION: &str = "25006";

impl Node {
    /// Sends a request on its connection, unless its proof no longer holds.
    pub(crate) fn dispatch_owner_request(&mut self, id: RequestId, connection: ConnectionId) {
        let refusal = match self.check_proof(id) {
            ProofCheck::Ready => None,
            ProofCheck::WaitForRound => Some(DeclineReason::NoProof),
            ProofCheck::Decline(reason) => Some(reason),
            ProofCheck::RollBack(message) => return self.roll_back_owner_request(id, message),
        };
        if let Some(reason) = refusal {
            self.release_connection(connection);
            return self.decline_owner_request(id, reason);
        }
        let Some(request) = self.owner.requests.get_mut(&id) else {
            return self.release_connection(connection);
        };
        request.connection = Some(connection);
        if let Some(backend) = self.owner.connections.get_mut(&connection) {
            backend.request = Some(id);
        }
        let deadline = request.deadline;
        if request.routed.request_key.is_some() && !request.routed.read {
            self.start_keyed_write(id, connection);
        } else if let Some(target) = request.target() {
            let frames = request.routed.request.frames.clone();
            let mode = match request.pin {
                None if request.routed.read => RelayMode::Decide(target),
                _ if request.routed.commits => RelayMode::Hold(target),
                _ => RelayMode::Stream(target),
            };
            self.start_exchange(id, connection, frames, mode);
        }
        self.arm_owner_request(id, Some(deadline));
    }

    pub(crate) fn start_exchange(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        frames: Bytes,
        mode: RelayMode,
    ) -> ExchangeId {
        let exchange = ExchangeId(self.next_id());
        self.owner.exchanges.insert(exchange, id);
        let decided = matches!(mode, RelayMode::Collect | RelayMode::Stream(_));
        if let Some(request) = self.owner.requests.get_mut(&id) {
            request.stage = RequestStage::Running { exchange, decided };
        }
        self.count("runs", 1);
        self.emit(NodeAction::StartExchange { connection, exchange, frames, mode });
        exchange
    }

    /// Returns an idle connection to its pool.
    fn release_connection(&mut self, connection: ConnectionId) {
        let Some(backend) = self.owner.connections.get_mut(&connection) else { return };
        backend.request = None;
        if backend.pin.is_some() {
            return;
        }
        let database = backend.database.clone();
        if let Some(service) = self.owner.services.get_mut(&database) {
            service.pool.release(self.now, connection);
        }
        self.steps.push_back(PendingStep::ServeQueue(database));
    }

    pub(crate) fn exchange_finished(
        &mut self,
        connection: ConnectionId,
        exchange: ExchangeId,
        summary: ExchangeSummary,
    ) {
        let Some(id) = self.owner.exchanges.remove(&exchange) else { return };
        let Some(request) = self.owner.requests.get(&id) else { return };
        if request.connection != Some(connection) {
            return;
        }
        if request.key_step.is_some() && request.origin != RequestOrigin::Abandoned {
            return self.keyed_exchange_finished(id, connection, exchange, summary);
        }
        self.unkeyed_exchange_finished(id, connection, exchange, &summary);
    }

    fn unkeyed_exchange_finished(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        exchange: ExchangeId,
        summary: &ExchangeSummary,
    ) {
        let Some(request) = self.owner.requests.get(&id) else { return };
        if request.origin == RequestOrigin::Abandoned {
            self.pin_or_release_connection(id, connection, summary.transaction);
            self.remove_owner_request(id);
            return;
        }
        let (commits, term) = (request.routed.commits, request.term);
        let undecided = matches!(request.stage, RequestStage::Running { decided: false, .. });
        let read_only =
            summary.error.as_ref().is_some_and(|error| &*error.code == READ_ONLY_TRANSACTION);
        let stale = match undecided && !commits {
            true => self.recheck_proof(request),
            false => None,
        };
        let durable = request.routed.durable;
        self.pin_or_release_connection(id, connection, summary.transaction);
        self.release_slot(id);
        if undecided
            && read_only
            && self.owner.requests.get(&id).is_some_and(|request| request.pin.is_none())
        {
            self.emit(NodeAction::Discard { exchange });
            return self.decline_owner_request(id, DeclineReason::NotLeader { leader: None });
        }
        if let Some(reason) = stale {
            self.count("reads.discarded", 1);
            self.emit(NodeAction::Discard { exchange });
            return self.decline_owner_request(id, reason);
        }
        // COMMIT of a failed transaction returns the tag ROLLBACK and no error.
        let committed = commits
            && summary.error.is_none()
            && summary.transaction == TransactionState::Idle
            && summary.command_tag.as_deref() != Some("ROLLBACK");
        if committed {
            return self.await_acknowledgement(id, Some(exchange), term, durable);
        }
        if undecided {
            self.emit(NodeAction::Relay { exchange });
        }
        self.complete_owner_request(id, summary.transaction, None);
    }

    /// Ends a request whose answer was relayed completely.
    pub(crate) fn complete_owner_request(
        &mut self,
        id: RequestId,
        transaction: TransactionState,
        required_position: Option<RequiredPosition>,
    ) {
        let Some(request) = self.owner.requests.get(&id) else { return };
        let (replacement_position, required_position) =
            (request.replacement_position, required_position.or(request.sampled_position));
        let (age, wait) = self.age_and_wait(id);
        let reply =
            OwnerReply::Done { transaction, required_position, replacement_position, age, wait };
        self.reply_owner_request(id, reply);
    }

    /// Pins the connection while a transaction is open on it, otherwise returns it to the pool.
    pub(crate) fn pin_or_release_connection(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        state: TransactionState,
    ) {
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        request.connection = None;
        let (origin, pin, term) = (request.origin, request.pin, request.term);
        let (peer, database) = (request.peer.clone(), request.routed.database.clone());
        if let Some(backend) = self.owner.connections.get_mut(&connection) {
            backend.request = None;
        }
        if state == TransactionState::Idle {
            if let Some(key) = pin {
                self.remove_pin(key);
            }
            if let Some(backend) = self.owner.connections.get_mut(&connection) {
                backend.pin = None;
            }
            return self.release_connection(connection);
        }
        if pin.is_some() {
            return;
        }
        let key = match origin {
            RequestOrigin::Session(session) => PinKey::Session(session),
            RequestOrigin::Call(_) => PinKey::Lane(LaneId(self.next_id())),
            RequestOrigin::Abandoned => return self.close_connection(connection),
        };
        if let Some(request) = self.owner.requests.get_mut(&id) {
            request.pin = Some(key);
        }
        if let Some(backend) = self.owner.connections.get_mut(&connection) {
            backend.pin = Some(key);
        }
        if let Some(service) = self.owner.services.get_mut(&database) {
            service.pins.insert(key);
            service.opening_transactions.remove(&id);
        }
        let pin = TransactionPin { database, connection, term, peer, request: Some(id) };
        self.owner.pins.insert(key, pin);
    }

    /// Makes the commit wait for a confirmed report round. The request must have released its slot and
    /// connection.
    pub(crate) fn await_acknowledgement(
        &mut self,
        id: RequestId,
        exchange: Option<ExchangeId>,
        term: Term,
        durable: bool,
    ) {
        let commit = CommitId(self.next_id());
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        request.stage = RequestStage::Acknowledging { commit, exchange };
        let database = request.routed.database.clone();
        self.owner.commits.insert(commit, CommitPurpose::OwnerRequest(id));
        self.arm_owner_request(id, None);
        let cluster = self.owner.services.get(&database).map(|service| service.cluster.clone());
        match cluster.filter(|cluster| self.clusters.contains_key(cluster)) {
            Some(cluster) => {
                let event = MonitorEvent::CommitFinished { commit, term, durable };
                self.handle_monitor_event(&cluster, event);
            }
            None => self.commit_unconfirmed(commit),
        }
    }

    /// Handles a commit or a report round that the cluster monitor acknowledged.
    pub(crate) fn commit_acknowledged(
        &mut self,
        commit: CommitId,
        required_position: RequiredPosition,
    ) {
        match self.owner.commits.remove(&commit) {
            Some(CommitPurpose::OwnerRequest(id)) => {
                let Some(request) = self.owner.requests.get_mut(&id) else { return };
                let RequestStage::Acknowledging { exchange, .. } = request.stage else { return };
                let recorded = request.key_step.take().and_then(|step| step.recorded_tag());
                if let Some(exchange) = exchange {
                    self.emit(NodeAction::Relay { exchange });
                }
                match recorded {
                    Some(tag) => self.reply_owner_request(
                        id,
                        OwnerReply::Recorded {
                            command_tag: Some(tag),
                            error: None,
                            transaction: TransactionState::Idle,
                            required_position: Some(required_position),
                        },
                    ),
                    None => self.complete_owner_request(
                        id,
                        TransactionState::Idle,
                        Some(required_position),
                    ),
                }
            }
            Some(CommitPurpose::Round(requests)) => {
                for id in requests {
                    let waits = self.owner.requests.get(&id).is_some_and(|request| {
                        matches!(request.stage, RequestStage::WaitingForRound)
                    });
                    if waits {
                        self.check_owner_request(id);
                    }
                }
            }
            None => {}
        }
    }

    /// Handles a commit or a report round that the cluster monitor could not confirm.
    pub(crate) fn commit_unconfirmed(&mut self, commit: CommitId) {
        match self.owner.commits.remove(&commit) {
            Some(CommitPurpose::OwnerRequest(id)) => {
                let Some(request) = self.owner.requests.get(&id) else { return };
                if let RequestStage::Acknowledging { exchange: Some(exchange), .. } = request.stage
                {
                    self.emit(NodeAction::Discard { exchange });
                }
                let message = "the primary could not be confirmed after the commit".to_string();
                self.reply_owner_request(id, OwnerReply::OutcomeUnknown { message });
            }
            Some(CommitPurpose::Round(requests)) => {
                for id in requests {
                    self.decline_owner_request(id, DeclineReason::NoProof);
                }
            }
            None => {}
        }
    }

    /// Notes that rows of a held answer were relayed.
    pub(crate) fn held_rows_relayed(&mut self, exchange: ExchangeId) {
        let id = self.owner.exchanges.get(&exchange).copied();
        if let Some(request) = id.and_then(|id| self.owner.requests.get_mut(&id)) {
            request.rows_relayed = true;
        }
    }

    /// Ends a request in progress whose connection was lost.
    pub(crate) fn owner_request_lost(&mut self, id: RequestId, message: &str) {
        let Some(request) = self.owner.requests.get(&id) else { return };
        let message = message.to_string();
        let (read, commits, pinned) =
            (request.routed.read, request.routed.commits, request.pin.is_some());
        let reply = match request.stage {
            RequestStage::Acknowledging { .. } => return,
            RequestStage::Running { .. } if commits => OwnerReply::OutcomeUnknown { message },
            RequestStage::Running { decided, .. } if read && !pinned => {
                OwnerReply::AnswerInterrupted { relayed: decided, message }
            }
            _ => OwnerReply::RolledBack { message },
        };
        if let RequestStage::Running { exchange, decided: false } = request.stage {
            self.emit(NodeAction::Discard { exchange });
        }
        if let Some(exchange) = self.undecided_statement(id) {
            self.emit(NodeAction::Discard { exchange });
        }
        if let Some(request) = self.owner.requests.get_mut(&id) {
            request.connection = None;
        }
        self.reply_owner_request(id, reply);
    }

    /// Returns whether the table of request keys was created in this term.
    pub(crate) fn is_key_table_ready(&self, database: &Name, term: Term) -> bool {
        self.owner
            .services
            .get(database)
            .is_some_and(|service| service.key_table_term == Some(term))
    }
}
