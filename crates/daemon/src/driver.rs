//! The actor that owns the node state machine and executes its actions.
//!
//! Sessions, connections, peers, threads and timers notify the driver, which passes an event with the
//! loop's time to the node and executes the resulting actions in order. It also owns every other
//! actor, so that dropping an entry of its tables releases everything the entry held. The submodules
//! handle clients, backend servers, peers, and the platform with operators' requests.

mod backends;
mod clients;
mod control;
mod peers;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admit::ConnectionId;
use futures::channel::mpsc;
use member::{MemberInfo, MemberState};
use model::{FastMap, Micros, Name, NodeSettings, SocketAddress};
use node::{
    AnswerTarget, CallId, ExchangeId, LaneId, LogLevel, Node, NodeAction, NodeEvent, SessionId,
};
use rpc::{
    AnswerPart, CallGuard, CallIds, LaneHandle, PeerCallError, PeerClients, PeerSpace, TaskPool,
};
use stakker::sync::ChannelGuard;
use stakker::{Actor, ActorOwn, CX, Core, Fwd, actor, after, call, fwd_to, ret_nop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::admin::{AdminRequest, AdminServer};
use crate::backend::{BackendConnection, BackendSetup, HeldAnswer};
use crate::counters::CounterSet;
use crate::platform_threads::{PlatformThreads, RecordCall};
use crate::report::{ReportConnection, ReportRequest};
use crate::request_space::{RequestSpace, SharedSpace};
use crate::session::ClientSession;
use crate::socket::{ScratchBuffer, new_scratch};
use crate::statement_space::StatementSpace;

/// Timeout of a heartbeat. A node sends one a second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for pulling the member table or a document from a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a view call. A promotion waits for views no longer than 0.3 s.
const VIEW_TIMEOUT: Duration = Duration::from_millis(300);

/// Time beyond a request's deadline that its forwarded call may take: up to 3 s until its commit is
/// acknowledged, and the transfer of the answer.
const FORWARD_GRACE: Duration = Duration::from_secs(5);

/// Interval at which idle peer connections are closed, configured peers probed and metrics sent.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Number of configured peers that are probed at a time.
const PEER_PROBE_COUNT: usize = 4;

/// Client connections beyond `caller_limit` that are kept open until the error that refuses them is
/// sent. Further ones are closed without an error.
const REFUSED_CONNECTION_LIMIT: usize = 64;

/// Age at which a connection without a start-up packet gives its place to a new one, if all are taken. Clients send the
/// packet within 2 s.
const REPLACEABLE_AGE: Duration = Duration::from_secs(2);

/// Time after the drain timeout at which the process ends in any case.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Time to write the last messages to clients after the node has completed its shutdown.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time to write the last message of a call's answer to its peer. A task of this thread writes it,
/// which takes some iterations of the loop under load.
const FINAL_REPLY_GRACE: Duration = Duration::from_millis(50);

/// Idle time after which a client connection is probed, and the interval between probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(60);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Delay after a failed accept, for example when the process has too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Database name of report connections. The report functions belong to the server rather than to a
/// cluster's tables, and every server has this database.
const REPORT_DATABASE: &str = "postgres";

/// Maximum number of sessions, and of backend connections, in the state dump.
const DUMP_ROW_LIMIT: usize = 200;

struct SessionEntry {
    session: ActorOwn<ClientSession>,
    secret: i32,
    /// Number of the request in progress, or of the last one.
    request: u64,
    opened_at: Instant,
    /// The start-up packet has arrived, or the session gives its place to another one.
    started: bool,
}

struct ExchangeEntry {
    connection: ConnectionId,
    /// The node's relay decision, if it arrived before the end of the exchange.
    relayed: Option<bool>,
}

struct HeldEntry {
    target: AnswerTarget,
    answer: HeldAnswer,
}

/// The listening sockets and threads of a daemon.
pub(crate) struct DriverSetup {
    pub(crate) settings: NodeSettings,
    pub(crate) client_listener: TcpListener,
    pub(crate) peer_listener: TcpListener,
    pub(crate) admin: AdminServer,
    pub(crate) counters: CounterSet,
    pub(crate) incarnation: u64,
    pub(crate) seed: u64,
}

/// Owns the node and all other actors.
pub(crate) struct IoDriver {
    node: Node,
    settings: NodeSettings,
    started: Instant,
    actions: VecDeque<NodeAction>,
    client_listener: Option<MioSource<TcpListener>>,
    peer_listener: MioSource<TcpListener>,
    // Dropped before the server, so that requests that are still queued fail immediately.
    _admin_channel: ChannelGuard,
    _admin: AdminServer,
    scratch: ScratchBuffer,
    request_space: SharedSpace,
    statement_space: Rc<StatementSpace>,
    pool: TaskPool,
    peer_clients: PeerClients,
    peer_space: PeerSpace,
    call_ids: CallIds,
    /// Index of the configured peer to probe next.
    next_peer: usize,
    next_session: u64,
    sessions: FastMap<SessionId, SessionEntry>,
    backends: FastMap<ConnectionId, ActorOwn<BackendConnection>>,
    exchanges: FastMap<ExchangeId, ExchangeEntry>,
    answer_targets: FastMap<ExchangeId, AnswerTarget>,
    held_answers: FastMap<ExchangeId, HeldEntry>,
    report_connections: FastMap<Name, (SocketAddress, ActorOwn<ReportConnection>)>,
    /// Calls from peers that are in progress here.
    peer_calls: FastMap<CallId, mpsc::UnboundedSender<AnswerPart>>,
    /// Calls to peers that are in progress, and whether a part of the answer has been relayed.
    forwards: FastMap<CallId, (CallGuard, Rc<Cell<bool>>)>,
    /// Handles of the backend connections that are pinned at peers for a session.
    lanes: FastMap<LaneId, LaneHandle>,
    platform_threads: PlatformThreads,
    counters: CounterSet,
    /// The armed timer and when it fires on the node's clock.
    timer: Option<(Micros, stakker::FixedTimerKey)>,
    draining: bool,
    finished: bool,
}

impl IoDriver {
    /// Registers the listeners and starts the node.
    pub(crate) fn init(cx: CX![], setup: DriverSetup) -> Option<Self> {
        let DriverSetup {
            settings,
            client_listener,
            peer_listener,
            mut admin,
            counters,
            incarnation,
            seed,
        } = setup;
        let poll: MioPoll = cx.anymap_get();
        let listen = |listener: TcpListener, ready: Fwd<Ready>| {
            poll.add(listener, Interest::READABLE, 10, ready)
        };
        let sources = listen(client_listener, fwd_to!([cx], accept_clients() as (Ready))).and_then(
            |clients| {
                Ok((clients, listen(peer_listener, fwd_to!([cx], accept_peers() as (Ready)))?))
            },
        );
        let (client_listener, peer_listener) = match sources {
            Ok(sources) => sources,
            Err(error) => {
                cx.fail(error);
                return None;
            }
        };
        let requests = fwd_to!([cx], admin_request() as (AdminRequest));
        let (channel, guard) = stakker::sync::Channel::new(cx, requests);
        admin.start(channel);
        let pool = TaskPool::new(cx);
        after!(SWEEP_INTERVAL, [cx], sweep());
        call!([cx], start_node());
        let request_space = RequestSpace::new(
            settings.caller_limit as usize,
            settings.request_limit_bytes as usize,
        );
        let statement_space = StatementSpace::new(settings.caller_limit as usize);
        let peer_space = PeerSpace::new(settings.caller_limit as usize);
        Some(IoDriver {
            node: Node::new(settings.clone(), incarnation, seed),
            platform_threads: PlatformThreads::new(settings.platform_address),
            settings,
            started: cx.now(),
            actions: VecDeque::new(),
            client_listener: Some(client_listener),
            peer_listener,
            _admin: admin,
            _admin_channel: guard,
            scratch: new_scratch(),
            request_space: Rc::new(RefCell::new(request_space)),
            statement_space,
            peer_clients: PeerClients::new(pool.clone()),
            peer_space,
            pool,
            call_ids: CallIds::default(),
            next_peer: 0,
            next_session: 1,
            sessions: FastMap::default(),
            backends: FastMap::default(),
            exchanges: FastMap::default(),
            answer_targets: FastMap::default(),
            held_answers: FastMap::default(),
            report_connections: FastMap::default(),
            peer_calls: FastMap::default(),
            forwards: FastMap::default(),
            lanes: FastMap::default(),
            counters,
            timer: None,
            draining: false,
            finished: false,
        })
    }

    fn start_node(&mut self, cx: CX![]) {
        self.node_event(cx, NodeEvent::Timer);
        self.probe_configured_peers(cx);
    }

    fn now(&self, core: &Core) -> Micros {
        let elapsed = core.now().saturating_duration_since(self.started);
        Micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// Passes an event to the node and executes the resulting actions.
    pub(crate) fn node_event(&mut self, cx: CX![], event: NodeEvent) {
        let now = self.now(cx);
        let mut actions = Vec::new();
        self.node.handle(now, event, &mut actions);
        self.actions.extend(actions);
        while let Some(action) = self.actions.pop_front() {
            self.execute_action(cx, action);
        }
        self.arm_timer(cx);
    }

    fn arm_timer(&mut self, cx: CX![]) {
        let Some(next) = self.node.next_timer() else { return };
        if let Some((armed, key)) = &self.timer {
            // Letting a timer fire too early is cheaper than moving it with every event.
            if *armed <= next {
                return;
            }
            let key = *key;
            cx.timer_del(key);
        }
        let expiry = self.started + Duration::from_micros(next.0.min(u64::MAX / 4));
        let this = cx.this().clone();
        let key = cx.timer_add(expiry, move |stakker| call!([this, stakker], timer_fired()));
        self.timer = Some((next, key));
    }

    fn timer_fired(&mut self, cx: CX![]) {
        self.timer = None;
        if self.node.next_timer().is_some_and(|next| next <= self.now(cx)) {
            self.node_event(cx, NodeEvent::Timer);
        } else {
            self.arm_timer(cx);
        }
    }

    fn sweep(&mut self, cx: CX![]) {
        self.peer_clients.close_idle(cx);
        self.probe_configured_peers(cx);
        self.close_stalled_sessions(cx);
        let swept = self.peer_space.sweep();
        self.counters.add("peers.stalled", swept.stalled);
        self.counters.add("peers.waited", swept.waited);
        self.counters.gauge("peer_space_bytes", self.peer_space.used_bytes() as u64);
        self.counters.gauge("peers", self.peer_space.connection_count() as u64);
        let (reserved, waiting) = self.request_space.borrow().load();
        self.counters.gauge("request_space_bytes", reserved as u64);
        self.counters.gauge("request_space_waiting", waiting as u64);
        let statement_bytes = self.statement_space.used_bytes() as u64;
        self.counters.gauge("statement_bytes", statement_bytes);
        self.counters.gauge("sessions", self.sessions.len() as u64);
        self.counters.gauge("backend_connections", self.backends.len() as u64);
        self.counters.flush();
        after!(SWEEP_INTERVAL, [cx], sweep());
    }

    /// Sends heartbeats to the configured peers while this node knows no live member. Once one has
    /// answered, the member table names the others.
    fn probe_configured_peers(&mut self, cx: CX![]) {
        if self.settings.peers.is_empty() {
            return;
        }
        let own = &self.settings.name;
        let is_live_peer = |member: &MemberInfo| {
            member.name != *own && matches!(member.state, MemberState::Alive | MemberState::Leaving)
        };
        if self.node.members().iter().any(is_live_peer) {
            return;
        }
        let Some(heartbeat) = self.node.heartbeat() else { return };
        let driver = cx.this().clone();
        for _ in 0..PEER_PROBE_COUNT.min(self.settings.peers.len()) {
            let peer = self.settings.peers[self.next_peer % self.settings.peers.len()];
            self.next_peer += 1;
            let done = event_on_reply(driver.clone(), |answer| {
                answer.ok().map(NodeEvent::HeartbeatAnswered)
            });
            self.peer_clients.heartbeat(cx, peer, &heartbeat, HEARTBEAT_TIMEOUT, done);
        }
    }

    fn execute_action(&mut self, cx: CX![], action: NodeAction) {
        match action {
            NodeAction::AcceptSession { session, parameters } => {
                if let Some(entry) = self.sessions.get(&session) {
                    call!([entry.session, cx], accept(parameters));
                }
            }
            NodeAction::RefuseSession { session, error } => {
                self.close_session(cx, session, Some(error));
            }
            NodeAction::FinishRequest { session, token, notices, error, frames, transaction } => {
                self.discard_held(AnswerTarget::Session(session));
                if let Some(entry) = self.sessions.get(&session) {
                    call!([entry.session, cx], finish(token, notices, error, frames, transaction));
                }
            }
            NodeAction::CloseSession { session, error } => {
                self.close_session(cx, session, error);
            }
            NodeAction::OpenBackend { connection, address, catalog, .. } => {
                let setup = BackendSetup {
                    id: connection,
                    address,
                    user: self.settings.database_user.to_string(),
                    catalog: catalog.to_string(),
                    pool: self.pool.clone(),
                    scratch: self.scratch.clone(),
                };
                let driver = cx.this().clone();
                let backend = actor!(cx, BackendConnection::init(driver, setup), ret_nop!());
                self.backends.insert(connection, backend);
            }
            NodeAction::CloseBackend { connection } => {
                if let Some(backend) = self.backends.remove(&connection) {
                    self.remove_exchanges(connection);
                    call!([backend, cx], close());
                    // Keeps the actor alive until the call has been executed.
                    cx.defer(move |_| drop(backend));
                }
            }
            NodeAction::StartExchange { connection, exchange, frames, mode } => {
                self.start_exchange(cx, connection, exchange, frames, mode);
            }
            NodeAction::CancelExchange { connection, exchange } => {
                self.counters.add("runs.cancelled", 1);
                if let Some(backend) = self.backends.get(&connection) {
                    call!([backend, cx], cancel(exchange));
                }
            }
            NodeAction::Relay { exchange } => self.apply_relay_decision(cx, exchange, true),
            NodeAction::Discard { exchange } => self.apply_relay_decision(cx, exchange, false),
            NodeAction::RequestReport { id, database, address } => {
                self.query_database(cx, id, database, address, ReportRequest::Report);
            }
            NodeAction::RequestFence { id, database, address, term, by } => {
                self.query_database(cx, id, database, address, ReportRequest::Fence { term, by });
            }
            NodeAction::RequestPromotion { id, database, address, term } => {
                self.query_database(cx, id, database, address, ReportRequest::Promote { term });
            }
            NodeAction::RequestFollow { id, database, address, term, leader } => {
                self.query_database(
                    cx,
                    id,
                    database,
                    address,
                    ReportRequest::Follow { term, leader },
                );
            }
            NodeAction::SendHeartbeat { .. }
            | NodeAction::PullTable { .. }
            | NodeAction::PullDocument { .. }
            | NodeAction::RequestView { .. }
            | NodeAction::Forward { .. }
            | NodeAction::CancelForward { .. }
            | NodeAction::AnswerForward { .. }
            | NodeAction::DropLane { .. } => self.execute_peer_action(cx, action),
            NodeAction::WatchPlatform(true) => {
                let driver = cx.this().clone();
                self.platform_threads.start_watches(cx, &driver);
            }
            NodeAction::WatchPlatform(false) => self.platform_threads.stop_watches(),
            NodeAction::ReadRecord { cluster } => {
                self.start_record_call(cx, RecordCall::Read { cluster })
            }
            NodeAction::WriteRecord { cluster, expected_index, bytes } => {
                self.start_record_call(cx, RecordCall::Write { cluster, expected_index, bytes });
            }
            NodeAction::ShutdownComplete => self.shutdown_complete(cx),
            NodeAction::Log { level, message } => match level {
                LogLevel::Info => log::info!(target: "node", "{message}"),
                LogLevel::Warn => log::warn!(target: "node", "{message}"),
                LogLevel::Error => log::error!(target: "node", "{message}"),
            },
            NodeAction::Count { counter, amount } => self.counters.add(counter, amount),
        }
    }
}

/// Returns a callback that passes the result of a peer call to the driver as an event.
fn event_on_reply<T: 'static>(
    driver: Actor<IoDriver>,
    event: impl FnOnce(Result<T, PeerCallError>) -> Option<NodeEvent> + 'static,
) -> impl FnOnce(Result<T, PeerCallError>) + 'static {
    move |result| {
        if let Some(event) = event(result) {
            let deferred = driver.clone();
            driver.defer(move |stakker| call!([deferred, stakker], node_event(event)));
        }
    }
}

fn is_transient(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::Interrupted | std::io::ErrorKind::ConnectionAborted)
}

/// Bits of the session id that the process id of `BackendKeyData` carries; it must not be negative.
const PROCESS_ID_MASK: u64 = 0x7fff_ffff;

fn process_id(session: SessionId) -> i32 {
    (session.0 & PROCESS_ID_MASK) as i32
}

/// Returns the session ids that a process id can stand for, the newest first.
fn session_candidates(process_id: i32, next: u64) -> impl Iterator<Item = SessionId> {
    let low = u64::from(process_id as u32) & PROCESS_ID_MASK;
    let newest = (next & !PROCESS_ID_MASK) | low;
    [Some(newest), newest.checked_sub(PROCESS_ID_MASK + 1)].into_iter().flatten().map(SessionId)
}
