//! Decision core of the proxy process: a state machine with one event type and one action type.
//!
//! [`Node`] combines sessions, routing, queues, connection pools, proofs, promotions, the node registry
//! and the configuration. It has no clock, socket, thread or unseeded random number generator. The I/O
//! driver (the crate `daemon`, a test or a benchmark) passes [`NodeEvent`]s with the time and executes
//! the [`NodeAction`]s.
//!
//! Rows of answers do not pass through the node. The I/O driver relays them between sockets once the
//! node has dispatched an exchange, and reports only the first byte and the end. The node then decides
//! whether to relay, discard or hold the answer.
//!
//! Each [`NodeEvent`] is dispatched to a module: `session` and `entry` for clients; `owner`, `exchange`,
//! `keyed` and `proof` for databases that this node owns; `cluster` for monitoring and promotions;
//! `fleet` for documents and the node registry. Effects on other modules are queued as steps, which
//! are run before [`Node::handle`] returns.

mod action;
mod cluster;
mod drain;
mod entry;
mod event;
mod exchange;
mod fleet;
mod frames;
mod hints;
mod id;
mod keyed;
mod operator;
mod owner;
mod proof;
mod record;
mod request;
mod session;
mod step;
mod timer;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use member::{Heartbeat, MemberConfig, MemberEvent, MemberInfo, MemberState, MemberTable};
use model::{FastMap, Micros, Name, NodeSettings, SeededRandom};
use stats::CallerTable;

pub use action::{AnswerTarget, LogLevel, NodeAction, RelayMode};
pub use event::{NodeEvent, OperatorQuery, PlatformAnswer};
pub use id::{CallId, ExchangeId, LaneId, ReportId, SessionId};
pub use request::{
    ClientRequest, DeclineReason, ErrorReply, ExchangeSummary, OwnerReply, RequestKind,
    RoutedRequest, SessionStart, TransactionState,
};

use cluster::{ClusterState, PendingReport};
use drain::DrainState;
use entry::EntryState;
use fleet::FleetState;
use owner::{OwnerState, PinKey};
use session::Session;
use step::PendingStep;
use timer::{TimerHeap, TimerKey};

/// Maximum number of callers that the accounting table keeps for each measure.
const MAX_ACCOUNTED_CALLERS: usize = 2_048;

/// Interval of periodic maintenance, such as closing surplus connections and removing unused state.
const HOUSEKEEPING_INTERVAL: Micros = Micros::from_secs(1);

/// The decision core of one process.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    /// Name in fences. It differs between processes: a database may accept a fence again from the
    /// supervisor that holds it, and a later process does not know which database was promoted.
    supervisor_id: Name,
    now: Micros,
    actions: Vec<NodeAction>,
    steps: VecDeque<PendingStep>,
    random: SeededRandom,
    last_id: u64,
    timers: TimerHeap,
    members: MemberTable,
    fleet: FleetState,
    sessions: FastMap<SessionId, Session>,
    entry: EntryState,
    owner: OwnerState,
    clusters: BTreeMap<Name, ClusterState>,
    reports: FastMap<ReportId, PendingReport>,
    accounts: CallerTable,
    counters: BTreeMap<&'static str, u64>,
    drain: DrainState,
    is_watcher: bool,
    next_housekeeping: Micros,
}

impl Node {
    /// Creates a node without documents or peers. `seed` seeds its random choices; `incarnation` grows
    /// with each start of the process. The first [`NodeEvent::Timer`] is due at once.
    ///
    /// ```
    /// # let address: std::net::SocketAddr = "127.0.0.1:0".parse()?;
    /// # let settings = model::NodeSettings {
    /// #     name: "n1".into(), data_centre: "dc1".into(), caller_address: address,
    /// #     peer_address: address, admin_address: address, platform_address: address,
    /// #     peers: Vec::new(), metrics_address: None, database_user: "proxy".into(),
    /// #     caller_limit: 10, request_limit_bytes: 1 << 20,
    /// #     drain_timeout: model::Micros::from_secs(5), log_level: "info".into(),
    /// # };
    /// use model::Micros;
    /// let mut node = node::Node::new(settings, 1, 42);
    /// let mut actions = Vec::new();
    /// node.handle(Micros::ZERO, node::NodeEvent::Timer, &mut actions);
    /// assert!(node.next_timer().is_some());
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(settings: NodeSettings, incarnation: u64, seed: u64) -> Self {
        let supervisor_id = Name::from(format!("{}/{incarnation}", settings.name));
        let own = MemberInfo {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            peer_address: settings.peer_address,
            admin_address: settings.admin_address,
            incarnation,
            state: MemberState::Alive,
        };
        Node {
            now: Micros::ZERO,
            actions: Vec::new(),
            steps: VecDeque::new(),
            random: SeededRandom::new(seed),
            last_id: 0,
            timers: TimerHeap::default(),
            members: MemberTable::new(MemberConfig::default(), own),
            fleet: FleetState::default(),
            sessions: FastMap::default(),
            entry: EntryState::default(),
            owner: OwnerState::default(),
            clusters: BTreeMap::new(),
            reports: FastMap::default(),
            accounts: CallerTable::new(MAX_ACCOUNTED_CALLERS),
            counters: BTreeMap::new(),
            drain: DrainState::default(),
            is_watcher: false,
            next_housekeeping: Micros::ZERO,
            supervisor_id,
            settings,
        }
    }

    /// Handles an event at the time `now`, which must never decrease, and appends the resulting actions
    /// to `actions`, in order.
    pub fn handle(&mut self, now: Micros, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        self.now = self.now.max(now);
        std::mem::swap(&mut self.actions, actions);
        self.dispatch(event);
        while let Some(step) = self.steps.pop_front() {
            match step {
                PendingStep::Route(session) => self.route_request(session),
                PendingStep::Reply { session, path, reply, lane } => {
                    self.reply_arrived(session, path, reply, lane);
                }
                PendingStep::ServeQueue(database) => self.serve_queue(&database),
            }
        }
        self.check_drained();
        self.drop_stale_timers();
        std::mem::swap(&mut self.actions, actions);
    }

    fn dispatch(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::SessionOpened { session, start } => self.open_session(session, &start),
            NodeEvent::RequestArrived { session, request } => {
                self.request_arrived(session, request);
            }
            NodeEvent::SessionClosed { session } => self.close_session(session),
            NodeEvent::CancelArrived { session } => self.cancel_request(session),
            NodeEvent::BackendOpened { connection } => self.backend_opened(connection),
            NodeEvent::BackendLost { connection, message } => {
                self.backend_lost(connection, &message);
            }
            NodeEvent::AnswerStarted { exchange, .. } => self.answer_started(exchange),
            NodeEvent::HeldRowsRelayed { exchange, .. } => self.held_rows_relayed(exchange),
            NodeEvent::ExchangeFinished { connection, exchange, summary } => {
                self.exchange_finished(connection, exchange, summary);
            }
            NodeEvent::ReportArrived { id, report } => self.report_arrived(id, report),
            NodeEvent::FenceAnswered { id, accepted, report } => {
                self.fence_answered(id, accepted, report);
            }
            NodeEvent::PromoteAnswered { id, start } => self.promote_answered(id, start),
            NodeEvent::ReportFailed { id } => self.report_failed(id),
            NodeEvent::HeartbeatArrived(heartbeat) => {
                self.handle_member_event(MemberEvent::HeartbeatArrived(heartbeat));
            }
            NodeEvent::HeartbeatAnswered(heartbeat) => self.heartbeat_answered(heartbeat),
            NodeEvent::HeartbeatFailed { to } => {
                self.handle_member_event(MemberEvent::HeartbeatFailed { to });
            }
            NodeEvent::TableArrived(members) => {
                self.handle_member_event(MemberEvent::TableArrived(members));
            }
            NodeEvent::DocumentArrived { document, revision, bytes } => {
                self.offer_document(&document, revision, &bytes);
            }
            NodeEvent::ViewAnswered { cluster, from, view } => {
                self.view_answered(&cluster, from, view);
            }
            NodeEvent::ForwardArrived { call, from, lane, request } => {
                self.forward_arrived(call, from, lane, *request);
            }
            NodeEvent::ForwardCancelled { call } => {
                if let Some(owner_request) = self.owner.calls.get(&call).copied() {
                    self.cancel_owner_request(owner_request);
                }
            }
            NodeEvent::LaneDropped { lane } => {
                self.close_pin(
                    PinKey::Lane(lane),
                    "the node of the client session released the connection",
                );
            }
            NodeEvent::ForwardAnswered { call, reply, lane } => {
                self.forward_answered(call, reply, lane);
            }
            NodeEvent::ForwardFailed { call, sent } => self.forward_failed(call, sent),
            NodeEvent::PlatformAnswered(answer) => match answer {
                PlatformAnswer::Document { document, bytes } => {
                    self.platform_document(&document, bytes.as_deref());
                }
                PlatformAnswer::VmList(rows) => self.vm_list(rows),
                answer => self.record_answered(answer),
            },
            NodeEvent::DrainRequested => self.begin_drain(),
            NodeEvent::Timer => self.run_timers(),
        }
    }

    fn run_timers(&mut self) {
        let now = self.now;
        if self.members.next_timer().is_none_or(|due| due <= now) {
            self.handle_member_event(MemberEvent::Timer);
        }
        self.run_cluster_timers();
        let mut due_databases: Vec<Name> = self
            .owner
            .services
            .iter()
            .filter(|(_, service)| {
                [service.queue.next_expiry(), service.next_open()]
                    .into_iter()
                    .flatten()
                    .any(|due| due <= now)
            })
            .map(|(name, _)| name.clone())
            .collect();
        due_databases.sort();
        self.steps.extend(due_databases.into_iter().map(PendingStep::ServeQueue));
        while let Some((due, key)) = self.timers.first().filter(|(due, _)| *due <= now) {
            self.timers.remove_first();
            if !self.is_timer_current(due, key) {
                continue;
            }
            match key {
                TimerKey::Session(session) => self.session_timer_due(session),
                TimerKey::OwnerRequest(id) => self.owner_request_timer_due(id),
            }
        }
        if self.next_housekeeping <= now {
            self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.update_watcher();
            self.start_switchovers();
            self.close_overdue_openings();
            self.close_surplus_connections();
            self.remove_unused_clusters();
            self.expire_pending_reports();
        }
    }

    /// Returns whether a timer is still the valid one of its session or request.
    fn is_timer_current(&self, due: Micros, key: TimerKey) -> bool {
        let current = match key {
            TimerKey::Session(session) => self
                .sessions
                .get(&session)
                .and_then(|session| session.request.as_ref())
                .and_then(|request| request.timer_due),
            TimerKey::OwnerRequest(id) => {
                self.owner.requests.get(&id).and_then(|request| request.timer_due)
            }
        };
        current == Some(due)
    }

    fn drop_stale_timers(&mut self) {
        while let Some((due, key)) = self.timers.first() {
            if self.is_timer_current(due, key) {
                return;
            }
            self.timers.remove_first();
        }
    }

    /// Returns when the next [`NodeEvent::Timer`] is due. It may change with every event.
    pub fn next_timer(&self) -> Option<Micros> {
        let clusters = self
            .clusters
            .values()
            .flat_map(|state| [state.monitor.next_timer(), state.supervisor.next_timer()]);
        let queues = self
            .owner
            .services
            .values()
            .flat_map(|service| [service.queue.next_expiry(), service.next_open()]);
        let drain = match self.drain {
            DrainState::Draining { until } => Some(until),
            DrainState::Serving | DrainState::Complete => None,
        };
        clusters
            .chain(queues)
            .chain([
                self.members.next_timer(),
                self.timers.first().map(|(due, _)| due),
                drain,
                Some(self.next_housekeeping),
            ])
            .flatten()
            .min()
    }

    /// Answers an operator query. Unknown sessions and clusters give `{"error": ...}`.
    pub fn answer(&self, now: Micros, query: &OperatorQuery) -> serde_json::Value {
        self.answer_operator(now.max(self.now), query)
    }

    /// Returns the heartbeat that answers a peer's heartbeat.
    pub fn heartbeat(&self) -> Option<Heartbeat> {
        Some(self.members.heartbeat())
    }

    /// Returns the revision and bytes of a document for a peer that pulls it.
    pub fn document(&self, document: &str) -> Option<(u64, Arc<[u8]>)> {
        self.fleet.documents.get(document)
    }

    /// Returns all members for a peer that pulls the table.
    pub fn members(&self) -> Vec<MemberInfo> {
        self.members.members()
    }

    /// Returns this node's view of a cluster for another supervisor; `None` if the node does not monitor
    /// the cluster.
    pub fn view(&self, now: Micros, cluster: &str) -> Option<failover::LeaderView> {
        self.clusters.get(cluster).map(|state| state.monitor.view(now.max(self.now)))
    }

    fn emit(&mut self, action: NodeAction) {
        self.actions.push(action);
    }

    fn count(&mut self, counter: &'static str, amount: u64) {
        *self.counters.entry(counter).or_default() += amount;
        self.actions.push(NodeAction::Count { counter, amount });
    }

    fn log(&mut self, level: LogLevel, message: String) {
        self.actions.push(NodeAction::Log { level, message });
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
