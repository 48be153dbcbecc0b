//! The actor that owns the node and carries out its actions.
//!
//! Sessions, connections, peers, threads and timers report what happened; the hub passes it to the
//! node as an event with the loop's time and carries out the actions in order. It also owns every
//! other actor, so that dropping an entry of its tables releases all that the entry held.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admit::ConnectionId;
use bytes::Bytes;
use futures::channel::mpsc;
use member::{MemberInfo, MemberState};
use model::{FastMap, Micros, Name, NodeSettings, SocketAddress};
use node::{
    AnswerTarget, CallId, CallerRequest, LaneId, LogLevel, Node, NodeAction, NodeEvent, RelayMode,
    ReportId, RunId, RunSummary, SessionId, WorkReply, WorkRequest,
};
use rpc::{
    AnswerPart, CallGuard, CallIds, ChunkPermit, ForwardReply, LaneHandle, PeerCallError,
    PeerClients, PeerRequest, RpcStream, TaskPool,
};
use serde_json::json;
use stakker::sync::ChannelGuard;
use stakker::{Actor, ActorOwn, CX, Core, Fwd, StopCause, actor, after, call, fwd_to, ret_nop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::admin::{AdminCall, AdminRequest, AdminServer};
use crate::backend::{Backend, BackendStart, HeldAnswer};
use crate::counters::CounterSet;
use crate::platform_link::{PlatformLink, RecordCall};
use crate::relay::AnswerSink;
use crate::report::{ReportLink, ReportRequest, ReportStart};
use crate::session::{Session, SessionSetup};
use crate::socket::{ScratchBuffer, new_scratch};

/// Time for a heartbeat; a node sends one a second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for pulling a table or document.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for a view. A promotion waits for views no longer than 0.3 s.
const VIEW_TIMEOUT: Duration = Duration::from_millis(300);

/// Time beyond a request's deadline that its forwarded call may take: the acknowledgement of its
/// commit (3 s) and the way back.
const FORWARD_GRACE: Duration = Duration::from_secs(5);

/// Interval of closing idle connections to peers and of sending metrics.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Peers of the settings that are asked at once.
const PEERS_ASKED: usize = 4;

/// Connections beyond the caller limit that are kept to tell their callers so.
const REFUSED_LIMIT: usize = 64;

/// Time beyond the drain timeout after which the process ends in any case.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Time for the last messages to callers after the node finished its shutdown.
const LAST_FLUSH: Duration = Duration::from_secs(2);

/// Silence after which a caller's connection is probed, and the time between probes.
const KEEPALIVE: Duration = Duration::from_secs(60);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Pause after a failed accept, such as when the process has too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Database name of report connections. The functions belong to the server and not to a cluster's
/// tables, and every server has this database.
const REPORT_CATALOG: &str = "postgres";

/// Rows of each table in the state dump.
const DUMP_ROWS: usize = 200;

struct SessionEntry {
    session: ActorOwn<Session>,
    secret: i32,
    /// Number of the request in progress or of the last one.
    request: u64,
}

struct RunEntry {
    connection: ConnectionId,
    /// The node's decision, if it was made before the end of the run arrived here.
    relayed: Option<bool>,
}

struct HeldEntry {
    target: AnswerTarget,
    answer: HeldAnswer,
}

/// The listening sockets and threads of a daemon.
pub(crate) struct HubSetup {
    pub(crate) settings: NodeSettings,
    pub(crate) callers: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) admin: AdminServer,
    pub(crate) counters: CounterSet,
    pub(crate) incarnation: u64,
    pub(crate) seed: u64,
}

/// Owner of the node and of all actors.
pub(crate) struct Hub {
    node: Node,
    settings: NodeSettings,
    started: Instant,
    actions: VecDeque<NodeAction>,
    callers: Option<MioSource<TcpListener>>,
    peers: MioSource<TcpListener>,
    // Dropped before the server, so that requests not yet seen end at once.
    _admin_channel: ChannelGuard,
    _admin: AdminServer,
    scratch: ScratchBuffer,
    pool: TaskPool,
    clients: PeerClients,
    call_ids: CallIds,
    /// Index of the settings' peer to ask next.
    next_peer: usize,
    next_session: u64,
    sessions: FastMap<SessionId, SessionEntry>,
    backends: FastMap<ConnectionId, ActorOwn<Backend>>,
    runs: FastMap<RunId, RunEntry>,
    targets: FastMap<RunId, AnswerTarget>,
    held: FastMap<RunId, HeldEntry>,
    reports: FastMap<Name, (SocketAddress, ActorOwn<ReportLink>)>,
    /// Calls of peers in progress here.
    calls: FastMap<CallId, mpsc::UnboundedSender<AnswerPart>>,
    /// Calls to peers in progress, and whether a part of the answer was relayed.
    forwards: FastMap<CallId, (CallGuard, Rc<Cell<bool>>)>,
    /// Connections that are pinned at peers.
    lanes: FastMap<LaneId, LaneHandle>,
    platform: PlatformLink,
    counters: CounterSet,
    /// When the armed timer fires, on the node's clock.
    timer: Option<(Micros, stakker::FixedTimerKey)>,
    draining: bool,
    finished: bool,
}

impl Hub {
    /// Starts to serve.
    pub(crate) fn init(cx: CX![], setup: HubSetup) -> Option<Self> {
        let HubSetup { settings, callers, peers, mut admin, counters, incarnation, seed } = setup;
        let poll: MioPoll = cx.anymap_get();
        let listen = |listener: TcpListener, ready: Fwd<Ready>| {
            poll.add(listener, Interest::READABLE, 10, ready)
        };
        let sources =
            listen(callers, fwd_to!([cx], accept_callers() as (Ready))).and_then(|callers| {
                Ok((callers, listen(peers, fwd_to!([cx], accept_peers() as (Ready)))?))
            });
        let (callers, peers) = match sources {
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
        call!([cx], begin());
        Some(Hub {
            node: Node::new(settings.clone(), incarnation, seed),
            platform: PlatformLink::new(settings.platform_address),
            settings,
            started: cx.now(),
            actions: VecDeque::new(),
            callers: Some(callers),
            peers,
            _admin: admin,
            _admin_channel: guard,
            scratch: new_scratch(),
            clients: PeerClients::new(pool.clone()),
            pool,
            call_ids: CallIds::default(),
            next_peer: 0,
            next_session: 1,
            sessions: FastMap::default(),
            backends: FastMap::default(),
            runs: FastMap::default(),
            targets: FastMap::default(),
            held: FastMap::default(),
            reports: FastMap::default(),
            calls: FastMap::default(),
            forwards: FastMap::default(),
            lanes: FastMap::default(),
            counters,
            timer: None,
            draining: false,
            finished: false,
        })
    }

    fn begin(&mut self, cx: CX![]) {
        self.node_event(cx, NodeEvent::Timer);
        self.find_peers(cx);
    }

    fn now(&self, core: &Core) -> Micros {
        let elapsed = core.now().saturating_duration_since(self.started);
        Micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// Passes an event to the node and carries out its actions.
    pub(crate) fn node_event(&mut self, cx: CX![], event: NodeEvent) {
        let now = self.now(cx);
        let mut actions = Vec::new();
        self.node.handle(now, event, &mut actions);
        self.actions.extend(actions);
        while let Some(action) = self.actions.pop_front() {
            self.act(cx, action);
        }
        self.arm_timer(cx);
    }

    fn arm_timer(&mut self, cx: CX![]) {
        let Some(next) = self.node.next_timer() else { return };
        if let Some((armed, key)) = &self.timer {
            // A timer that fires too early is cheaper than moving it with every event.
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
        self.clients.sweep(cx);
        self.find_peers(cx);
        self.counters.gauge("sessions", self.sessions.len() as u64);
        self.counters.gauge("backend_connections", self.backends.len() as u64);
        self.counters.flush();
        after!(SWEEP_INTERVAL, [cx], sweep());
    }

    /// Sends heartbeats to the settings' peers while this node knows no live member. The member table
    /// does the rest once one has answered.
    fn find_peers(&mut self, cx: CX![]) {
        if self.settings.peers.is_empty() {
            return;
        }
        let own = &self.settings.name;
        let found = |member: &MemberInfo| {
            member.name != *own && matches!(member.state, MemberState::Alive | MemberState::Leaving)
        };
        if self.node.members().iter().any(found) {
            return;
        }
        let Some(heartbeat) = self.node.heartbeat() else { return };
        let hub = cx.this().clone();
        for _ in 0..PEERS_ASKED.min(self.settings.peers.len()) {
            let peer = self.settings.peers[self.next_peer % self.settings.peers.len()];
            self.next_peer += 1;
            let done =
                reply_to(hub.clone(), |answer| answer.ok().map(NodeEvent::HeartbeatAnswered));
            self.clients.heartbeat(cx, peer, &heartbeat, HEARTBEAT_TIMEOUT, done);
        }
    }

    fn act(&mut self, cx: CX![], action: NodeAction) {
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
                self.drop_held(AnswerTarget::Session(session));
                if let Some(entry) = self.sessions.get(&session) {
                    call!([entry.session, cx], finish(token, notices, error, frames, transaction));
                }
            }
            NodeAction::CloseSession { session, error } => {
                self.close_session(cx, session, error);
            }
            NodeAction::OpenBackend { connection, address, catalog, .. } => {
                let start = BackendStart {
                    id: connection,
                    address,
                    user: self.settings.database_user.to_string(),
                    catalog: catalog.to_string(),
                    pool: self.pool.clone(),
                    scratch: self.scratch.clone(),
                };
                let hub = cx.this().clone();
                let backend = actor!(cx, Backend::init(hub, start), ret_nop!());
                self.backends.insert(connection, backend);
            }
            NodeAction::CloseBackend { connection } => {
                if let Some(backend) = self.backends.remove(&connection) {
                    self.forget_runs(connection);
                    call!([backend, cx], close());
                    // Keeps the actor until the call is carried out.
                    cx.defer(move |_| drop(backend));
                }
            }
            NodeAction::Run { connection, run, frames, mode } => {
                self.run(cx, connection, run, frames, mode);
            }
            NodeAction::CancelRun { connection, run } => {
                self.counters.add("runs.cancelled", 1);
                if let Some(backend) = self.backends.get(&connection) {
                    call!([backend, cx], cancel(run));
                }
            }
            NodeAction::Relay { run } => self.decide(cx, run, true),
            NodeAction::Discard { run } => self.decide(cx, run, false),
            NodeAction::AskReport { id, database, address } => {
                self.ask(cx, id, database, address, ReportRequest::Report);
            }
            NodeAction::AskFence { id, database, address, term, by } => {
                self.ask(cx, id, database, address, ReportRequest::Fence { term, by });
            }
            NodeAction::AskPromote { id, database, address, term } => {
                self.ask(cx, id, database, address, ReportRequest::Promote { term });
            }
            NodeAction::AskFollow { id, database, address, term, leader } => {
                self.ask(cx, id, database, address, ReportRequest::Follow { term, leader });
            }
            NodeAction::SendHeartbeat { .. }
            | NodeAction::PullTable { .. }
            | NodeAction::PullDocument { .. }
            | NodeAction::AskView { .. }
            | NodeAction::Forward { .. }
            | NodeAction::CancelForward { .. }
            | NodeAction::AnswerForward { .. }
            | NodeAction::DropLane { .. } => self.act_on_peer(cx, action),
            NodeAction::WatchPlatform(true) => {
                let hub = cx.this().clone();
                self.platform.start_watches(cx, &hub);
            }
            NodeAction::WatchPlatform(false) => self.platform.stop_watches(),
            NodeAction::ReadRecord { cluster } => self.record(cx, RecordCall::Read { cluster }),
            NodeAction::WriteRecord { cluster, expected_index, bytes } => {
                self.record(cx, RecordCall::Write { cluster, expected_index, bytes });
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

    // Callers.

    fn accept_callers(&mut self, cx: CX![], _: Ready) {
        self.accept_waiting_callers(cx);
    }

    fn accept_waiting_callers(&mut self, cx: CX![]) {
        loop {
            let Some(listener) = &self.callers else { return };
            match listener.accept() {
                Ok((stream, address)) => self.add_session(cx, stream, address),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) if is_transient(&error) => {}
                Err(error) => {
                    log::warn!("failed to accept a caller error={error}");
                    after!(ACCEPT_PAUSE, [cx], accept_waiting_callers());
                    return;
                }
            }
        }
    }

    fn add_session(&mut self, cx: CX![], stream: TcpStream, address: SocketAddress) {
        let limit = self.settings.caller_limit as usize;
        if self.sessions.len() >= limit + REFUSED_LIMIT {
            self.counters.add("sessions.refused", 1);
            return;
        }
        let mut secret = [0; 4];
        if let Err(error) = getrandom::fill(&mut secret) {
            log::error!("failed to get random bytes error={error}");
            return;
        }
        let secret = i32::from_be_bytes(secret);
        // Finds callers whose VM vanished without closing the connection.
        let keepalive =
            socket2::TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE_INTERVAL);
        if let Err(error) = socket2::SockRef::from(&stream).set_tcp_keepalive(&keepalive) {
            log::debug!("failed to set keepalive address={address} error={error}");
        }
        let id = SessionId(self.next_session);
        self.next_session += 1;
        self.counters.add("sessions.opened", 1);
        let setup = SessionSetup {
            id,
            stream,
            address: address.ip().to_string().into(),
            process: process_of(id),
            secret,
            request_limit: self.settings.request_limit_bytes as usize,
            refused: self.sessions.len() >= limit,
            scratch: self.scratch.clone(),
        };
        let hub = cx.this().clone();
        let session = actor!(cx, Session::init(hub, setup), ret_nop!());
        self.sessions.insert(id, SessionEntry { session, secret, request: 0 });
    }

    /// A caller sent its next request.
    pub(crate) fn request_arrived(
        &mut self,
        cx: CX![],
        session: SessionId,
        number: u64,
        request: CallerRequest,
    ) {
        if let Some(entry) = self.sessions.get_mut(&session) {
            entry.request = number;
            self.node_event(cx, NodeEvent::RequestArrived { session, request });
        }
    }

    /// A cancel request arrived. One that does not match a session's secret is ignored.
    pub(crate) fn cancel_arrived(&mut self, cx: CX![], process: i32, secret: Bytes) {
        let session = session_candidates(process, self.next_session).find(|id| {
            self.sessions.get(id).is_some_and(|entry| secret[..] == entry.secret.to_be_bytes())
        });
        match session {
            Some(session) => {
                self.counters.add("cancels.accepted", 1);
                self.node_event(cx, NodeEvent::CancelArrived { session });
            }
            None => self.counters.add("cancels.ignored", 1),
        }
    }

    /// A caller's connection is over.
    pub(crate) fn session_ended(&mut self, cx: CX![], session: SessionId) {
        if self.sessions.remove(&session).is_some() {
            self.counters.add("sessions.closed", 1);
            self.drop_held(AnswerTarget::Session(session));
            self.node_event(cx, NodeEvent::SessionClosed { session });
            self.finish_if_empty(cx);
        }
    }

    fn close_session(&mut self, cx: CX![], session: SessionId, error: Option<node::ErrorReply>) {
        self.drop_held(AnswerTarget::Session(session));
        if let Some(entry) = self.sessions.get(&session) {
            call!([entry.session, cx], close(error));
        }
    }

    // Connections to backend servers.

    fn sink(&self, target: AnswerTarget) -> Option<AnswerSink> {
        match target {
            AnswerTarget::Session(session) => {
                let entry = self.sessions.get(&session)?;
                let session = Actor::clone(&entry.session);
                Some(AnswerSink::Session { session, request: entry.request })
            }
            AnswerTarget::Call(call) => self.calls.get(&call).cloned().map(AnswerSink::Call),
        }
    }

    fn run(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        run: RunId,
        frames: Bytes,
        mode: RelayMode,
    ) {
        let Some(backend) = self.backends.get(&connection) else {
            // Its loss is already on the way to the node.
            return;
        };
        let target = match mode {
            RelayMode::Collect => None,
            RelayMode::Decide(target) | RelayMode::Hold(target) | RelayMode::Stream(target) => {
                Some(target)
            }
        };
        let sink = target.and_then(|target| self.sink(target));
        if let Some(target) = target {
            self.targets.insert(run, target);
        }
        self.runs.insert(run, RunEntry { connection, relayed: None });
        call!([backend, cx], run(run, frames, mode, sink));
    }

    fn decide(&mut self, cx: CX![], run: RunId, relayed: bool) {
        if let Some(HeldEntry { answer, .. }) = self.held.remove(&run) {
            if relayed {
                answer.sink.send(cx, answer.bytes, ChunkPermit::free());
            }
            return;
        }
        if let Some(entry) = self.runs.get_mut(&run) {
            entry.relayed = Some(relayed);
            if let Some(backend) = self.backends.get(&entry.connection) {
                call!([backend, cx], decide(run, relayed));
            }
        }
    }

    fn drop_held(&mut self, target: AnswerTarget) {
        if !self.held.is_empty() {
            self.held.retain(|_, entry| entry.target != target);
        }
    }

    fn forget_runs(&mut self, connection: ConnectionId) {
        let targets = &mut self.targets;
        self.runs.retain(|run, entry| {
            let keep = entry.connection != connection;
            if !keep {
                targets.remove(run);
            }
            keep
        });
    }

    /// A connection is ready.
    pub(crate) fn backend_opened(&mut self, cx: CX![], connection: ConnectionId) {
        if self.backends.contains_key(&connection) {
            self.node_event(cx, NodeEvent::BackendOpened { connection });
        }
    }

    /// A connection could not be opened or was lost.
    pub(crate) fn backend_lost(&mut self, cx: CX![], connection: ConnectionId, message: String) {
        if self.backends.remove(&connection).is_some() {
            self.forget_runs(connection);
            self.node_event(cx, NodeEvent::BackendLost { connection, message });
        }
    }

    /// The first part of an answer arrived in mode `Decide`.
    pub(crate) fn run_started(&mut self, cx: CX![], connection: ConnectionId, run: RunId) {
        if self.runs.contains_key(&run) {
            self.node_event(cx, NodeEvent::RunStarted { connection, run });
        }
    }

    /// Rows of a held answer went out.
    pub(crate) fn held_rows_relayed(&mut self, cx: CX![], connection: ConnectionId, run: RunId) {
        if self.runs.contains_key(&run) {
            self.node_event(cx, NodeEvent::HeldRowsRelayed { connection, run });
        }
    }

    /// The answer of a run is complete.
    pub(crate) fn run_finished(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        run: RunId,
        summary: RunSummary,
        held: Option<HeldAnswer>,
    ) {
        let Some(entry) = self.runs.remove(&run) else { return };
        let target = self.targets.remove(&run);
        if let (Some(answer), Some(target)) = (held, target) {
            match entry.relayed {
                Some(true) => answer.sink.send(cx, answer.bytes, ChunkPermit::free()),
                Some(false) => {}
                None => {
                    self.held.insert(run, HeldEntry { target, answer });
                }
            }
        }
        self.node_event(cx, NodeEvent::RunFinished { connection, run, summary });
    }

    // Report connections.

    fn ask(
        &mut self,
        cx: CX![],
        id: ReportId,
        database: Name,
        address: SocketAddress,
        request: ReportRequest,
    ) {
        let current = self.reports.get(&database).is_some_and(|(held, _)| *held == address);
        if !current {
            let stream = match TcpStream::connect(rpc::dial_address(address)) {
                Ok(stream) => stream,
                Err(error) => {
                    log::debug!("failed to connect database={database} error={error}");
                    call!([cx], node_event(NodeEvent::ReportFailed { id }));
                    return;
                }
            };
            let start = ReportStart {
                stream,
                database: database.clone(),
                address,
                user: self.settings.database_user.to_string(),
                catalog: REPORT_CATALOG.to_owned(),
                scratch: self.scratch.clone(),
            };
            let hub = cx.this().clone();
            let link = actor!(cx, ReportLink::init(hub, start), ret_nop!());
            self.reports.insert(database.clone(), (address, link));
        }
        if let Some((_, link)) = self.reports.get(&database) {
            call!([link, cx], ask(id, request));
        }
    }

    /// A report connection failed with these requests in progress.
    pub(crate) fn report_link_lost(
        &mut self,
        cx: CX![],
        database: Name,
        ids: Vec<ReportId>,
        message: String,
    ) {
        log::debug!("lost a report connection database={database} error={message:?}");
        self.counters.add("reports.connections_lost", 1);
        self.reports.remove(&database);
        for id in ids {
            self.node_event(cx, NodeEvent::ReportFailed { id });
        }
    }

    // Peers.

    fn accept_peers(&mut self, cx: CX![], _: Ready) {
        self.accept_waiting_peers(cx);
    }

    fn accept_waiting_peers(&mut self, cx: CX![]) {
        loop {
            match self.peers.accept() {
                Ok((stream, address)) => {
                    let poll: MioPoll = cx.anymap_get();
                    match RpcStream::new(&poll, stream) {
                        Ok(stream) => {
                            let requests = fwd_to!([cx], peer_request() as (PeerRequest));
                            rpc::serve_peer(&self.pool, stream, requests, self.call_ids.clone());
                        }
                        Err(error) => {
                            log::warn!("failed to serve a peer address={address} error={error}");
                        }
                    }
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) if is_transient(&error) => {}
                Err(error) => {
                    log::warn!("failed to accept a peer error={error}");
                    after!(ACCEPT_PAUSE, [cx], accept_waiting_peers());
                    return;
                }
            }
        }
    }

    fn act_on_peer(&mut self, cx: CX![], action: NodeAction) {
        let hub = cx.this().clone();
        match action {
            NodeAction::SendHeartbeat { to, heartbeat } => {
                let name = to.name;
                let address = to.peer_address;
                let done = reply_to(hub, move |answer| match answer {
                    Ok(heartbeat) => Some(NodeEvent::HeartbeatAnswered(heartbeat)),
                    Err(_) => Some(NodeEvent::HeartbeatFailed { to: name }),
                });
                self.clients.heartbeat(cx, address, &heartbeat, HEARTBEAT_TIMEOUT, done);
            }
            NodeAction::PullTable { from } => {
                let done =
                    reply_to(hub, |table: Result<_, _>| table.ok().map(NodeEvent::TableArrived));
                self.clients.pull_table(cx, from.peer_address, PULL_TIMEOUT, done);
            }
            NodeAction::PullDocument { from, document } => {
                let name = document.clone();
                let done = reply_to(hub, move |pulled: Result<Option<_>, _>| {
                    let (revision, bytes) = pulled.ok()??;
                    Some(NodeEvent::DocumentArrived { document, revision, bytes })
                });
                self.clients.pull_document(cx, from.peer_address, &name, PULL_TIMEOUT, done);
            }
            NodeAction::AskView { to, cluster } => {
                let name = cluster.clone();
                let from = to.name;
                let done = reply_to(hub, move |view: Result<Option<_>, _>| {
                    Some(NodeEvent::ViewAnswered { cluster, from, view: view.unwrap_or(None) })
                });
                self.clients.view(cx, to.peer_address, &name, VIEW_TIMEOUT, done);
            }
            NodeAction::Forward { call, session, to, lane, work } => {
                self.forward(cx, call, session, to.peer_address, lane, &work);
            }
            NodeAction::CancelForward { call } => {
                if let Some((guard, _)) = self.forwards.get(&call) {
                    guard.cancel();
                }
            }
            NodeAction::AnswerForward { call, reply, lane } => {
                self.drop_held(AnswerTarget::Call(call));
                if let Some(answers) = self.calls.remove(&call) {
                    // Fails if the peer gave up, which the node learns on its own.
                    let _ = answers.unbounded_send(AnswerPart::End(reply, lane));
                }
            }
            NodeAction::DropLane { lane } => {
                self.lanes.remove(&lane);
            }
            _ => {}
        }
    }

    fn forward(
        &mut self,
        cx: CX![],
        call: CallId,
        session: SessionId,
        address: SocketAddress,
        lane: Option<LaneId>,
        work: &WorkRequest,
    ) {
        let sink = self.sink(AnswerTarget::Session(session));
        let deferrer = cx.deferrer();
        let relayed = Rc::new(Cell::new(false));
        let chunk_relayed = relayed.clone();
        let chunks = move |bytes: Bytes, permit: ChunkPermit| {
            chunk_relayed.set(true);
            if let Some(sink) = sink.clone() {
                deferrer.defer(move |stakker| sink.send(stakker, bytes, permit));
            }
        };
        let hub = cx.this().clone();
        let done = move |result: Result<ForwardReply, PeerCallError>| {
            let deferred = hub.clone();
            hub.defer(move |stakker| {
                call!([deferred, stakker], forward_answered(call, lane, result))
            });
        };
        let timeout = Duration::from_micros(work.time_left.0.min(3_600_000_000)) + FORWARD_GRACE;
        let guard = match lane {
            None => {
                let name = self.settings.name.clone();
                self.clients.execute(cx, address, &name, work, timeout, chunks, done)
            }
            Some(lane) => match self.lanes.get(&lane) {
                Some(lane) => self.clients.execute_on_lane(cx, lane, work, timeout, chunks, done),
                None => {
                    let event = NodeEvent::ForwardFailed { call, sent: false };
                    call!([cx], node_event(event));
                    return;
                }
            },
        };
        self.forwards.insert(call, (guard, relayed));
    }

    fn forward_answered(
        &mut self,
        cx: CX![],
        call: CallId,
        lane: Option<LaneId>,
        result: Result<ForwardReply, PeerCallError>,
    ) {
        let Some((_guard, relayed)) = self.forwards.remove(&call) else { return };
        match result {
            Ok(ForwardReply { reply, lane: handle }) => {
                let lane = match (lane, handle) {
                    (Some(lane), Some(_)) => Some(lane),
                    (None, Some(handle)) => {
                        let lane = LaneId(self.call_ids.next());
                        self.lanes.insert(lane, handle);
                        Some(lane)
                    }
                    (Some(lane), None) => {
                        self.lanes.remove(&lane);
                        None
                    }
                    (None, None) => None,
                };
                self.node_event(cx, NodeEvent::ForwardAnswered { call, reply, lane });
            }
            Err(error) => {
                log::debug!("failed to forward a request error={:?}", error.to_string());
                self.counters.add("forwards.failed", 1);
                if let Some(lane) = lane {
                    self.lanes.remove(&lane);
                }
                let event = if relayed.get() {
                    let reply = WorkReply::ReadFailed { relayed: true, message: error.to_string() };
                    NodeEvent::ForwardAnswered { call, reply, lane: None }
                } else {
                    NodeEvent::ForwardFailed { call, sent: error.may_have_arrived() }
                };
                self.node_event(cx, event);
            }
        }
    }

    fn peer_request(&mut self, cx: CX![], request: PeerRequest) {
        match request {
            PeerRequest::Heartbeat { heartbeat, reply } => {
                self.node_event(cx, NodeEvent::HeartbeatArrived(heartbeat));
                if let Some(heartbeat) = self.node.heartbeat() {
                    // The peer may have given up; then there is nobody to answer.
                    let _ = reply.send(heartbeat);
                }
            }
            PeerRequest::PullTable { reply } => {
                let _ = reply.send(self.node.members());
            }
            PeerRequest::PullDocument { document, reply } => {
                let _ = reply.send(self.node.document(&document));
            }
            PeerRequest::View { cluster, reply } => {
                let _ = reply.send(self.node.view(self.now(cx), &cluster));
            }
            PeerRequest::Execute { call, from, lane, work, answers } => {
                self.calls.insert(call, answers);
                self.node_event(cx, NodeEvent::ForwardArrived { call, from, lane, work });
            }
            PeerRequest::Cancelled { call } => {
                if self.calls.contains_key(&call) {
                    self.node_event(cx, NodeEvent::ForwardCancelled { call });
                }
            }
            PeerRequest::Dropped { call } => {
                if self.calls.remove(&call).is_some() {
                    self.drop_held(AnswerTarget::Call(call));
                    self.node_event(cx, NodeEvent::ForwardCancelled { call });
                }
            }
            PeerRequest::LaneDropped { lane } => {
                self.node_event(cx, NodeEvent::LaneDropped { lane });
            }
        }
    }

    // Platform.

    fn record(&mut self, cx: CX![], request: RecordCall) {
        let hub = cx.this().clone();
        if let Err(cluster) = self.platform.record(cx, &hub, request) {
            let event = NodeEvent::PlatformAnswered(node::PlatformAnswer::RecordFailed { cluster });
            call!([cx], node_event(event));
        }
    }

    /// A call about a record was answered.
    pub(crate) fn record_answered(&mut self, cx: CX![], answer: node::PlatformAnswer) {
        self.platform.record_answered();
        self.platform_answered(cx, answer);
    }

    /// A watch returned.
    pub(crate) fn platform_answered(&mut self, cx: CX![], answer: node::PlatformAnswer) {
        self.node_event(cx, NodeEvent::PlatformAnswered(answer));
    }

    // Operators and the process.

    fn admin_request(&mut self, cx: CX![], request: AdminRequest) {
        let AdminRequest { call, reply } = request;
        let answer = match call {
            AdminCall::Node(call) => self.node.answer(self.now(cx), &call),
            AdminCall::Health => json!({
                "node": self.settings.name,
                "status": if self.draining { "draining" } else { "ready" },
                "sessions": self.sessions.len(),
            }),
            AdminCall::Drain => {
                self.drain(cx);
                json!({ "node": self.settings.name, "status": "draining" })
            }
            AdminCall::Dump => {
                self.dump(cx, reply);
                return;
            }
        };
        // The operator's connection may have timed out.
        let _ = reply.send(answer);
    }

    /// Collects the descriptions of other actors, then answers.
    fn dump(&mut self, cx: CX![], reply: std::sync::mpsc::Sender<serde_json::Value>) {
        let rows = std::rc::Rc::new(std::cell::RefCell::new((Vec::new(), Vec::new())));
        for entry in self.sessions.values().take(DUMP_ROWS) {
            let session = Actor::clone(&entry.session);
            let rows = rows.clone();
            cx.defer(move |stakker| {
                if let Some(row) = session.query(stakker, |session, _| session.describe()) {
                    rows.borrow_mut().0.push(row);
                }
            });
        }
        for backend in self.backends.values().take(DUMP_ROWS) {
            let backend = Actor::clone(backend);
            let rows = rows.clone();
            cx.defer(move |stakker| {
                if let Some(row) = backend.query(stakker, |backend, _| backend.describe()) {
                    rows.borrow_mut().1.push(row);
                }
            });
        }
        let mut dump = self.node.answer(self.now(cx), &node::OperatorCall::Dump);
        let shell = json!({
            "uptime_ms": self.now(cx).as_millis(),
            "draining": self.draining,
            "session_count": self.sessions.len(),
            "backend_count": self.backends.len(),
            "run_count": self.runs.len(),
            "held_answers": self.held.len(),
            "held_bytes": self.held.values().map(|entry| entry.answer.bytes.len()).sum::<usize>(),
            "report_connections": self.reports.len(),
            "peer_connections": self.clients.connection_count(),
            "peer_tasks": self.pool.len(),
            "calls_received": self.calls.len(),
            "calls_sent": self.forwards.len(),
            "lanes": self.lanes.len(),
            "platform_watches": self.platform.watch_count(),
            "counters": self.counters.values(),
        });
        cx.defer(move |_| {
            let (sessions, backends) = rows.take();
            let mut shell = shell;
            shell["sessions"] = sessions.into();
            shell["backends"] = backends.into();
            if !dump.is_object() {
                dump = json!({ "node": dump });
            }
            dump["shell"] = shell;
            let _ = reply.send(dump);
        });
    }

    /// Begins a graceful shutdown.
    pub(crate) fn drain(&mut self, cx: CX![]) {
        if self.draining {
            return;
        }
        self.draining = true;
        log::info!("draining sessions={}", self.sessions.len());
        let limit = Duration::from_micros(self.settings.drain_timeout.0) + DRAIN_GRACE;
        after!(limit, [cx], drain_timed_out());
        self.node_event(cx, NodeEvent::DrainRequested);
    }

    fn drain_timed_out(&mut self, cx: CX![]) {
        log::warn!("drain timed out sessions={} runs={}", self.sessions.len(), self.runs.len());
        cx.shutdown(StopCause::Stopped);
    }

    fn shutdown_complete(&mut self, cx: CX![]) {
        self.finished = true;
        // Closes the port, so that new callers go to another node.
        self.callers = None;
        after!(LAST_FLUSH, [cx], last_flush_over());
        call!([cx], finish_if_empty());
    }

    fn last_flush_over(&mut self, cx: CX![]) {
        cx.shutdown(StopCause::Stopped);
    }

    fn finish_if_empty(&mut self, cx: CX![]) {
        if self.finished && self.sessions.is_empty() {
            self.counters.flush();
            cx.shutdown(StopCause::Stopped);
        }
    }
}

/// Turns the result of a call to a peer into an event for the hub.
fn reply_to<T: 'static>(
    hub: Actor<Hub>,
    event: impl FnOnce(Result<T, PeerCallError>) -> Option<NodeEvent> + 'static,
) -> impl FnOnce(Result<T, PeerCallError>) + 'static {
    move |result| {
        if let Some(event) = event(result) {
            let deferred = hub.clone();
            hub.defer(move |stakker| call!([deferred, stakker], node_event(event)));
        }
    }
}

fn is_transient(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::Interrupted | std::io::ErrorKind::ConnectionAborted)
}

/// Mask of the session id's part in the process number of `BackendKeyData`, which is not negative.
const PROCESS_MASK: u64 = 0x7fff_ffff;

fn process_of(session: SessionId) -> i32 {
    (session.0 & PROCESS_MASK) as i32
}

/// Returns the ids that a process number can stand for, the newest first.
fn session_candidates(process: i32, next: u64) -> impl Iterator<Item = SessionId> {
    let low = u64::from(process as u32) & PROCESS_MASK;
    let newest = (next & !PROCESS_MASK) | low;
    [Some(newest), newest.checked_sub(PROCESS_MASK + 1)].into_iter().flatten().map(SessionId)
}
