//! Owner side: the queue, connection pool and requests of each database that this node owns.
//!
//! A request passes admission (leadership and proofs), the queue (a slot), the pool (a connection) and
//! its exchange. Slot and connection are released when the statement ends. The answer of a commit may
//! be held longer, until the commit is acknowledged.

mod admission;
mod pin;
mod pool;
mod reply;

use std::collections::{BTreeSet, VecDeque};

use admit::{ConnectionId, ConnectionPool, PoolConfig, QueueConfig, RequestId, SlotQueue};
use failover::CommitId;
use model::{
    ClusterConfig, DatabaseConfig, FastMap, FastSet, Micros, Name, Rank, RequiredPosition, Term,
};

use crate::Node;
use crate::action::AnswerTarget;
use crate::id::{CallId, ExchangeId, LaneId, SessionId};
use crate::keyed::KeyStep;
use crate::proof::ReadProof;
use crate::request::{DeclineReason, RoutedRequest};
use crate::step::PendingStep;

/// Time for which a surplus connection stays open. Opening one takes 12 ms.
const IDLE_TIMEOUT: Micros = Micros::from_secs(60);

/// Time after which a connection that does not open is closed. Without it a frozen backend server would
/// use up its connection limit with connections that never open.
const OPEN_TIMEOUT: Micros = Micros::from_secs(3);

/// Time after a cancel request before the connection is closed, if the statement does not end.
const CANCEL_GRACE: Micros = Micros::from_secs(1);

/// Time for which open transactions at a leaving primary may continue.
const LEAVE_TIMEOUT: Micros = Micros::from_secs(5);

/// Where a request came from and its reply goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    Session(SessionId),
    Call(CallId),
    /// Nobody waits for the reply any more.
    Abandoned,
}

/// Identifies the transaction that a connection is pinned for.
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
    /// Term in which the transaction began; a COMMIT is not sent in any other term.
    pub term: Term,
    /// The peer that has the session.
    pub peer: Option<Name>,
    /// The statement in progress.
    pub request: Option<RequestId>,
}

#[derive(Debug)]
pub(crate) enum RequestStage {
    /// Waits for a confirmed report round: for the required position or for the primary's status.
    WaitingForRound,
    /// Waits until fewer transactions are open.
    Deferred,
    /// Waits for a slot.
    Queued,
    /// Holds a slot and waits for a connection.
    Granted,
    Running {
        exchange: ExchangeId,
        /// `Relay` or `Discard` has been sent, or is not needed.
        decided: bool,
    },
    /// The commit finished and waits for its acknowledgement.
    Acknowledging { commit: CommitId, exchange: Option<ExchangeId> },
}

/// A request at its owner.
#[derive(Debug)]
pub(crate) struct OwnerRequest {
    pub origin: RequestOrigin,
    pub peer: Option<Name>,
    pub routed: RoutedRequest,
    pub arrived: Micros,
    pub deadline: Micros,
    pub timer_due: Option<Micros>,
    pub stage: RequestStage,
    pub pin: Option<PinKey>,
    pub granted_at: Option<Micros>,
    pub connection: Option<ConnectionId>,
    /// Term in which the statement was sent.
    pub term: Term,
    pub proof: Option<ReadProof>,
    /// Required position sampled for a session without a token.
    pub sampled_position: Option<RequiredPosition>,
    /// Set if the required position was lost or is uncertain: the position to use instead.
    pub replacement_position: Option<RequiredPosition>,
    /// Report rounds that the request has waited for.
    pub rounds_awaited: u32,
    pub cancel_sent: bool,
    /// Rows of a held answer were relayed.
    pub rows_relayed: bool,
    pub key_step: Option<KeyStep>,
}

impl OwnerRequest {
    /// Returns whether the request opens a transaction, judged by its statement class.
    pub(crate) fn opens_transaction(&self) -> bool {
        self.pin.is_none() && !self.routed.read && !self.routed.commits
    }

    pub(crate) fn is_acknowledging(&self) -> bool {
        matches!(self.stage, RequestStage::Acknowledging { .. })
    }

    pub(crate) fn target(&self) -> Option<AnswerTarget> {
        match self.origin {
            RequestOrigin::Session(session) => Some(AnswerTarget::Session(session)),
            RequestOrigin::Call(call) => Some(AnswerTarget::Call(call)),
            RequestOrigin::Abandoned => None,
        }
    }
}

/// A connection of a pool.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub database: Name,
    pub open: bool,
    /// When the node asked the I/O driver to open it.
    pub requested_at: Micros,
    pub request: Option<RequestId>,
    pub pin: Option<PinKey>,
}

/// A database that this node owns, or no longer owns but still has requests for.
#[derive(Debug)]
pub(crate) struct DatabaseService {
    pub cluster: Name,
    pub config: DatabaseConfig,
    pub owned: bool,
    pub queue: SlotQueue,
    pub pool: ConnectionPool,
    /// Requests with a slot that wait for a connection, in the order of the grants.
    pub awaiting_connection: VecDeque<RequestId>,
    /// Requests that would exceed `transaction_limit`.
    pub deferred: BTreeSet<(Rank, RequestId)>,
    pub pins: FastSet<PinKey>,
    /// Requests in progress that open a transaction.
    pub opening_transactions: FastSet<RequestId>,
    /// Maximum number of open transactions. The other connections, one for each slot, are kept free of
    /// transactions to avoid a deadlock: requests that hold all slots would wait for connections of
    /// transactions whose next statements wait for a slot.
    pub transaction_limit: usize,
    /// Term in which the table of request keys was created.
    pub key_table_term: Option<Term>,
    /// When this node first saw the database marked as leaving.
    leaving_since: Option<Micros>,
    deferred_limit: usize,
}

#[derive(Debug, Default)]
pub(crate) struct OwnerState {
    pub services: FastMap<Name, DatabaseService>,
    pub requests: FastMap<RequestId, OwnerRequest>,
    pub calls: FastMap<CallId, RequestId>,
    pub exchanges: FastMap<ExchangeId, RequestId>,
    pub commits: FastMap<CommitId, CommitPurpose>,
    pub connections: FastMap<ConnectionId, BackendConnection>,
    pub pins: FastMap<PinKey, TransactionPin>,
    pub next_connection: u64,
}

/// What a commit identifier given to the cluster monitor stands for.
#[derive(Debug)]
pub(crate) enum CommitPurpose {
    OwnerRequest(RequestId),
    /// Requests that wait for a confirmed report round.
    Round(Vec<RequestId>),
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
                retained: config.slots.min(limit.max(1)),
                idle_timeout: IDLE_TIMEOUT,
            },
            false => PoolConfig { limit: limit.max(1), retained: 0, idle_timeout: Micros::ZERO },
        }
    }

    fn transaction_limit(config: &DatabaseConfig, pool: PoolConfig) -> usize {
        let spare = pool.limit.saturating_sub(config.slots);
        spare.max(pool.limit / 2).max(1) as usize
    }

    /// Returns when the pool opens connections again for waiting requests.
    pub(crate) fn next_open(&self) -> Option<Micros> {
        self.pool.next_retry().filter(|_| !self.awaiting_connection.is_empty())
    }

    /// Returns whether the database is leaving and waits for open transactions. A primary serves other
    /// statements meanwhile, so that one slow transaction does not stop the writes of all clients.
    pub(crate) fn awaits_transactions(&self, now: Micros) -> bool {
        let open = !self.pins.is_empty() || !self.opening_transactions.is_empty();
        open && self.leaving_since.is_some_and(|since| now < since + LEAVE_TIMEOUT)
    }

    pub(crate) fn is_unused(&self) -> bool {
        self.pins.is_empty()
            && self.opening_transactions.is_empty()
            && self.awaiting_connection.is_empty()
    }
}

impl Node {
    /// Starts to serve an owned database, or applies its changed configuration.
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
        let leaving_since = config.leaving.then_some(self.now);
        let transaction_limit = DatabaseService::transaction_limit(config, pool);
        match self.owner.services.get_mut(&config.name) {
            Some(service) => {
                service.cluster = cluster.name.clone();
                if service.config.address != config.address {
                    service.key_table_term = None;
                }
                service.config = config.clone();
                service.owned = owned;
                service.queue.reconfigure(queue);
                service.pool.reconfigure(pool);
                service.transaction_limit = transaction_limit;
                service.leaving_since = leaving_since.and(service.leaving_since.or(leaving_since));
                service.deferred_limit = deferred_limit;
            }
            None if owned => {
                let service = DatabaseService {
                    cluster: cluster.name.clone(),
                    config: config.clone(),
                    owned,
                    queue: SlotQueue::new(queue),
                    pool: ConnectionPool::new(pool),
                    awaiting_connection: VecDeque::new(),
                    deferred: BTreeSet::new(),
                    pins: FastSet::default(),
                    opening_transactions: FastSet::default(),
                    transaction_limit,
                    key_table_term: None,
                    leaving_since,
                    deferred_limit,
                };
                self.owner.services.insert(config.name.clone(), service);
            }
            None => {}
        }
        self.steps.push_back(PendingStep::ServeQueue(config.name.clone()));
    }

    /// Stops serving a database: requests that were not sent are declined, the others finish.
    pub(crate) fn retire_service(&mut self, database: &Name) {
        let Some(service) = self.owner.services.get_mut(database) else { return };
        if !service.owned {
            return;
        }
        service.owned = false;
        let limit = service.config.connections.max(1);
        service.pool.reconfigure(PoolConfig { limit, retained: 0, idle_timeout: Micros::ZERO });
        let unsent: Vec<RequestId> = self
            .owner
            .requests
            .iter()
            .filter(|(_, request)| request.routed.database == *database && request.pin.is_none())
            .filter(|(_, request)| {
                !matches!(
                    request.stage,
                    RequestStage::Running { .. } | RequestStage::Acknowledging { .. }
                )
            })
            .map(|(id, _)| *id)
            .collect();
        for id in unsent {
            self.decline_owner_request(id, DeclineReason::Unavailable);
        }
        self.steps.push_back(PendingStep::ServeQueue(database.clone()));
    }
}
