//! Owner side: the queue, pool and work of each database that this node owns.
//!
//! A request passes admission (leadership and proofs), the queue (a slot), the pool (a connection) and
//! its run. Slot and connection go back when the statement ends; the answer of a commit may be held
//! longer, until it is acknowledged.

use std::collections::{BTreeSet, VecDeque};

use admit::{
    ConnectionId, ConnectionPool, PoolAction, PoolConfig, QueueConfig, RefusalReason, SlotQueue,
    WorkId, WorkTicket,
};
use failover::CommitId;
use model::{
    ClusterConfig, DatabaseConfig, FastMap, FastSet, Micros, Name, Rank, SessionFloor, Term,
};
use stats::CallerMeasure;

use crate::Node;
use crate::action::{AnswerTarget, LogLevel, NodeAction};
use crate::entry::AttemptPath;
use crate::id::{CallId, LaneId, RunId, SessionId};
use crate::keyed::KeyStep;
use crate::proof::{Evidence, ReadProof};
use crate::step::Step;
use crate::timer::TimerKey;
use crate::work::{DeclineReason, WorkReply, WorkRequest};

/// Time for which a surplus connection stays open. Opening one takes 12 ms at both users.
const IDLE_TIMEOUT: Micros = Micros::from_secs(60);

/// Time after which a connection that does not open is given up, so that a frozen backend server does
/// not use up its limit with connections that never open.
const OPEN_TIMEOUT: Micros = Micros::from_secs(3);

/// Time between a cancel request and the close of the connection, if the statement does not end.
const CANCEL_GRACE: Micros = Micros::from_secs(1);

/// Who waits for the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkOrigin {
    Session(SessionId),
    Call(CallId),
    /// Nobody any more.
    Gone,
}

/// Whose transaction a connection is pinned for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PinKey {
    Session(SessionId),
    Lane(LaneId),
}

/// A connection with an open transaction.
#[derive(Debug)]
pub(crate) struct TransactionPin {
    pub database: Name,
    pub connection: ConnectionId,
    /// Term in which the transaction began; a COMMIT in another one is not sent.
    pub term: Term,
    /// The peer whose session it is.
    pub peer: Option<Name>,
    /// The statement in progress.
    pub work: Option<WorkId>,
}

#[derive(Debug)]
pub(crate) enum WorkStage {
    /// Waits for a confirmed round, for a floor or for news of the primary.
    Round,
    /// Waits until another transaction ends.
    Deferred,
    /// Waits for a slot.
    Queued,
    /// Holds a slot and waits for a connection.
    Granted,
    Running {
        run: RunId,
        /// `Relay` or `Discard` was sent, or is not needed.
        decided: bool,
    },
    /// The commit waits for its acknowledgement.
    Acknowledging { commit: CommitId, run: Option<RunId> },
}

/// A request at its owner.
#[derive(Debug)]
pub(crate) struct OwnerWork {
    pub origin: WorkOrigin,
    pub peer: Option<Name>,
    pub request: WorkRequest,
    pub arrived: Micros,
    pub deadline: Micros,
    pub due: Option<Micros>,
    pub stage: WorkStage,
    pub pin: Option<PinKey>,
    pub granted_at: Option<Micros>,
    pub connection: Option<ConnectionId>,
    /// Term in which the statement was sent.
    pub term: Term,
    pub proof: Option<ReadProof>,
    /// Floor sampled for a session without a token.
    pub sampled: Option<SessionFloor>,
    pub lost: Option<SessionFloor>,
    /// Confirmed rounds that were waited for.
    pub rounds: u32,
    pub cancel_sent: bool,
    /// Rows of a held answer went out.
    pub relayed: bool,
    pub key: Option<KeyStep>,
}

impl OwnerWork {
    /// Opens a transaction, as far as its class tells.
    pub(crate) fn begins(&self) -> bool {
        self.pin.is_none() && !self.request.read && !self.request.commits
    }

    pub(crate) fn is_acknowledging(&self) -> bool {
        matches!(self.stage, WorkStage::Acknowledging { .. })
    }

    pub(crate) fn target(&self) -> Option<AnswerTarget> {
        match self.origin {
            WorkOrigin::Session(session) => Some(AnswerTarget::Session(session)),
            WorkOrigin::Call(call) => Some(AnswerTarget::Call(call)),
            WorkOrigin::Gone => None,
        }
    }
}

/// A connection of a pool.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub database: Name,
    pub open: bool,
    /// When the node asked for it.
    pub asked: Micros,
    pub work: Option<WorkId>,
    pub pin: Option<PinKey>,
}

/// A database that this node owns, or owned while work on it is in progress.
#[derive(Debug)]
pub(crate) struct DatabaseService {
    pub cluster: Name,
    pub config: DatabaseConfig,
    pub owned: bool,
    pub queue: SlotQueue,
    pub pool: ConnectionPool,
    /// Work with a slot that waits for a connection, in the order of the grants.
    pub wanting: VecDeque<WorkId>,
    /// Work that would open one transaction too many.
    pub deferred: BTreeSet<(Rank, WorkId)>,
    pub pins: FastSet<PinKey>,
    /// Work in progress that opens a transaction.
    pub begins: FastSet<WorkId>,
    /// Transactions that may be open at once. The rest of the connections, one for each slot, stays
    /// free of them: else work that holds all slots would wait for connections of transactions
    /// whose next statements wait for a slot.
    pub transaction_limit: usize,
    /// Term in which the table of request keys was made.
    pub key_table: Option<Term>,
    deferred_limit: usize,
}

/// State of the owner side.
#[derive(Debug, Default)]
pub(crate) struct OwnerState {
    pub services: FastMap<Name, DatabaseService>,
    pub works: FastMap<WorkId, OwnerWork>,
    pub calls: FastMap<CallId, WorkId>,
    pub runs: FastMap<RunId, WorkId>,
    pub commits: FastMap<CommitId, CommitUse>,
    pub connections: FastMap<ConnectionId, BackendConnection>,
    pub pins: FastMap<PinKey, TransactionPin>,
    pub next_connection: u64,
}

/// What an acknowledgement is for.
#[derive(Debug)]
pub(crate) enum CommitUse {
    Work(WorkId),
    /// Work of a database that waits for a confirmed round.
    Round(Vec<WorkId>),
}

impl DatabaseService {
    fn limits(
        cluster: &ClusterConfig,
        config: &DatabaseConfig,
        owned: bool,
        owners: u32,
    ) -> PoolConfig {
        // Each owner of the cluster keeps one report connection to the database.
        let limit = config.connections.saturating_sub(owners.min(cluster.databases.len() as u32));
        match owned {
            true => PoolConfig {
                limit: limit.max(1),
                keep: config.slots.min(limit.max(1)),
                idle_timeout: IDLE_TIMEOUT,
            },
            false => PoolConfig { limit: limit.max(1), keep: 0, idle_timeout: Micros::ZERO },
        }
    }

    fn transaction_limit(config: &DatabaseConfig, pool: PoolConfig) -> usize {
        let spare = pool.limit.saturating_sub(config.slots);
        spare.max(pool.limit / 2).max(1) as usize
    }

    /// When the pool opens connections again for work that waits.
    pub(crate) fn next_open(&self) -> Option<Micros> {
        self.pool.next_retry().filter(|_| !self.wanting.is_empty())
    }

    pub(crate) fn is_unused(&self) -> bool {
        self.pins.is_empty() && self.begins.is_empty() && self.wanting.is_empty()
    }
}

impl Node {
    /// Starts to serve an owned database, or takes over its changed configuration.
    pub(crate) fn configure_service(
        &mut self,
        cluster: &ClusterConfig,
        config: &DatabaseConfig,
        owned: bool,
        owners: u32,
    ) {
        let Some(fleet) = self.fleet.active.clone() else { return };
        let queue = QueueConfig { slots: config.slots, ranks: fleet.ranks };
        let pool = DatabaseService::limits(cluster, config, owned, owners);
        let deferred_limit = Rank::ALL.iter().map(|rank| fleet.ranks[*rank].queue_limit as usize);
        let deferred_limit = deferred_limit.max().unwrap_or(0);
        let transaction_limit = DatabaseService::transaction_limit(config, pool);
        match self.owner.services.get_mut(&config.name) {
            Some(service) => {
                service.cluster = cluster.name.clone();
                if service.config.address != config.address {
                    service.key_table = None;
                }
                service.config = config.clone();
                service.owned = owned;
                service.queue.reconfigure(queue);
                service.pool.reconfigure(pool);
                service.transaction_limit = transaction_limit;
                service.deferred_limit = deferred_limit;
            }
            None if owned => {
                let service = DatabaseService {
                    cluster: cluster.name.clone(),
                    config: config.clone(),
                    owned,
                    queue: SlotQueue::new(queue),
                    pool: ConnectionPool::new(pool),
                    wanting: VecDeque::new(),
                    deferred: BTreeSet::new(),
                    pins: FastSet::default(),
                    begins: FastSet::default(),
                    transaction_limit,
                    key_table: None,
                    deferred_limit,
                };
                self.owner.services.insert(config.name.clone(), service);
            }
            None => {}
        }
        self.steps.push_back(Step::Pump(config.name.clone()));
    }

    /// Stops serving a database: work that was not sent is declined, the rest finishes.
    pub(crate) fn retire_service(&mut self, database: &Name) {
        let Some(service) = self.owner.services.get_mut(database) else { return };
        if !service.owned {
            return;
        }
        service.owned = false;
        let limit = service.config.connections.max(1);
        service.pool.reconfigure(PoolConfig { limit, keep: 0, idle_timeout: Micros::ZERO });
        let unsent: Vec<WorkId> = self
            .owner
            .works
            .iter()
            .filter(|(_, work)| work.request.database == *database && work.pin.is_none())
            .filter(|(_, work)| {
                !matches!(work.stage, WorkStage::Running { .. } | WorkStage::Acknowledging { .. })
            })
            .map(|(id, _)| *id)
            .collect();
        for id in unsent {
            self.decline_work(id, DeclineReason::Unavailable);
        }
        self.steps.push_back(Step::Pump(database.clone()));
    }

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
        loop {
            let Some(service) = self.owner.services.get_mut(database) else { return };
            if service.pins.len() + service.begins.len() >= service.transaction_limit {
                break;
            }
            let Some((_, id)) = service.deferred.pop_first() else { break };
            self.check_work(id);
        }
        loop {
            let Some(service) = self.owner.services.get_mut(database) else { return };
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

    /// Declines work that waits for a connection while none is there and none is being opened, as after
    /// a failed open. It would hold slots for nothing.
    fn decline_without_pool(&mut self, database: &Name) {
        let Some(service) = self.owner.services.get(database) else { return };
        let stats = service.pool.stats();
        if stats.opening + stats.idle + stats.taken > 0 {
            return;
        }
        for id in service.wanting.clone() {
            self.decline_work(id, DeclineReason::Unavailable);
        }
    }

    /// Opens and closes connections as a pool asks.
    pub(crate) fn run_pool_actions(&mut self, database: &Name, actions: Vec<PoolAction>) {
        for action in actions {
            match action {
                PoolAction::Open(connection) => {
                    let Some(service) = self.owner.services.get(database) else { continue };
                    let (address, catalog) = (service.config.address, service.cluster.clone());
                    self.owner.connections.insert(
                        connection,
                        BackendConnection {
                            database: database.clone(),
                            open: false,
                            asked: self.now,
                            work: None,
                            pin: None,
                        },
                    );
                    self.count("backends.opened", 1);
                    self.emit(NodeAction::OpenBackend {
                        connection,
                        database: database.clone(),
                        address,
                        catalog,
                    });
                }
                PoolAction::Close(connection) => {
                    self.owner.connections.remove(&connection);
                    self.emit(NodeAction::CloseBackend { connection });
                }
            }
        }
    }

    pub(crate) fn backend_opened(&mut self, connection: ConnectionId) {
        let Some(backend) = self.owner.connections.get_mut(&connection) else {
            return self.emit(NodeAction::CloseBackend { connection });
        };
        backend.open = true;
        let database = backend.database.clone();
        if let Some(service) = self.owner.services.get_mut(&database) {
            service.pool.opened(self.now, connection);
        }
        self.steps.push_back(Step::Pump(database));
    }

    /// A connection could not be opened or was lost.
    pub(crate) fn backend_lost(&mut self, connection: ConnectionId, message: &str) {
        let Some(backend) = self.owner.connections.remove(&connection) else { return };
        let database = backend.database;
        if let Some(service) = self.owner.services.get_mut(&database) {
            service.pool.lost(self.now, connection);
        }
        self.count("backends.lost", 1);
        if let Some(key) = backend.pin {
            self.forget_pin(key);
        }
        if let Some(id) = backend.work {
            self.work_lost(id, message);
        }
        if !backend.open {
            let text = format!("failed to connect to database {database}: {message}");
            self.log(LogLevel::Warn, text);
            self.decline_without_pool(&database);
        }
        self.steps.push_back(Step::Pump(database));
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

    /// Closes a connection that must not be used again.
    pub(crate) fn close_connection(&mut self, connection: ConnectionId) {
        let Some(backend) = self.owner.connections.remove(&connection) else { return };
        if let Some(service) = self.owner.services.get_mut(&backend.database) {
            service.pool.lost(self.now, connection);
        }
        self.emit(NodeAction::CloseBackend { connection });
        self.steps.push_back(Step::Pump(backend.database));
    }

    pub(crate) fn forget_pin(&mut self, key: PinKey) -> Option<TransactionPin> {
        let pin = self.owner.pins.remove(&key)?;
        if let Some(service) = self.owner.services.get_mut(&pin.database) {
            service.pins.remove(&key);
        }
        self.steps.push_back(Step::Pump(pin.database.clone()));
        Some(pin)
    }

    /// Ends a pinned transaction by closing its connection, and the statement in progress on it.
    pub(crate) fn close_pin(&mut self, key: PinKey, message: &str) {
        let Some(pin) = self.forget_pin(key) else { return };
        self.count("transactions.dropped", 1);
        if let Some(id) = pin.work
            && self.owner.works.get(&id).is_some_and(|work| work.pin == Some(key))
        {
            self.work_lost(id, message);
        }
        self.close_connection(pin.connection);
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

    /// The lane that the work's connection is pinned for.
    fn lane_of(&self, id: WorkId) -> Option<LaneId> {
        let key = self.owner.works.get(&id)?.pin?;
        match key {
            PinKey::Lane(lane) if self.owner.pins.contains_key(&key) => Some(lane),
            _ => None,
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

    /// A peer died: its transactions roll back and its queued work is dropped.
    pub(crate) fn release_peer(&mut self, peer: &Name) {
        let from_peer = |other: &Option<Name>| other.as_ref() == Some(peer);
        let mut works: Vec<WorkId> = self
            .owner
            .works
            .iter()
            .filter(|(_, work)| from_peer(&work.peer))
            .map(|(id, _)| *id)
            .collect();
        works.sort();
        for id in works {
            self.abandon_work(id);
        }
        let pins: Vec<PinKey> = self
            .owner
            .pins
            .iter()
            .filter(|(_, pin)| from_peer(&pin.peer))
            .map(|(key, _)| *key)
            .collect();
        for key in pins {
            self.close_pin(key, "the peer is gone");
        }
    }

    /// Gives up connections that do not open.
    pub(crate) fn give_up_openings(&mut self) {
        let oldest = self.now.saturating_sub(OPEN_TIMEOUT);
        let mut late: Vec<ConnectionId> = self
            .owner
            .connections
            .iter()
            .filter(|(_, backend)| !backend.open && backend.asked <= oldest)
            .map(|(connection, _)| *connection)
            .collect();
        late.sort();
        for connection in late {
            self.emit(NodeAction::CloseBackend { connection });
            self.backend_lost(connection, "the connection did not open in time");
        }
    }

    /// Closes surplus connections of all pools and forgets databases that are no longer owned or used.
    pub(crate) fn trim_pools(&mut self) {
        let mut names: Vec<Name> = self.owner.services.keys().cloned().collect();
        names.sort();
        for name in names {
            let mut actions = Vec::new();
            if let Some(service) = self.owner.services.get_mut(&name) {
                service.pool.trim(self.now, &mut actions);
            }
            self.run_pool_actions(&name, actions);
            let unused = self.owner.services.get(&name).is_some_and(|service| {
                !service.owned
                    && service.is_unused()
                    && !self.owner.works.values().any(|work| work.request.database == name)
                    && !self.owner.connections.values().any(|backend| backend.database == name)
            });
            if unused {
                self.owner.services.remove(&name);
            }
        }
    }
}
