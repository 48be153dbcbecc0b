//! The I/O driver: the actor that owns the gate and all sockets.
//!
//! Sockets, threads and timers produce events. The driver passes each event to the gate and executes the
//! returned actions in order. Output is buffered and written once, after all actions of an event.

use std::collections::VecDeque;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use gate::{
    AnswerEnd, BackendAnswer, BackendCommand, ConnectionId, ErrorCode, Gate, GateAction, GateEvent,
    SessionId, SessionOrigin, TIMER_INTERVAL, TransactionState,
};
use model::{FastMap, MemoryCharge, Micros, Name};
use relay::ChangeRelay;
use signal_hook::iterator::Signals;
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, after, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::codec::{BackendMessage, ClientMessage, CodecError, WireCodec};
use crate::limit_log::LimitLog;
use crate::limits::{
    AcceptDecision, ClientActivity, ClientGuard, FREE_INPUT_BYTES, LimitKind,
    OUTPUT_HIGH_WATER_BYTES,
};
use crate::logging::{dropped_lines, event_line, render_record};
use crate::metrics::{MetricSet, SharedStatus};
use crate::socket::{BufferedSocket, ReadOutcome, connect};
use crate::store::{StoreLease, StoreThreads};
use crate::{EdgeSetup, ProcessSignal, clock};

/// Input buffered for a client while its request is in progress.
const CLIENT_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Size of a message above which it is examined although its end has not arrived.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Input buffered for a connection: the 1 MiB limit of a message, and room for its line end and for the caller and the
/// position that another node adds, 25 KiB at most.
const MAX_INPUT_BYTES: usize = (1024 + 32) * 1024;

/// Messages of one client that are handled before those of others: enough for requests that are sent ahead, and less than
/// the loop handles in 1 ms.
const MESSAGES_PER_TURN: u32 = 64;

/// Time after which clients with more messages get their next turn.
const TURN_INTERVAL: Duration = Duration::from_millis(1);

/// Interval at which the limits on time are checked: a quarter of the shortest one.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time until connections are accepted again after an accept failed, as for lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum number of rows in one answer. The users' databases send no more; a connection that exceeds it is closed.
const MAX_ANSWER_ROWS: usize = 4_096;

const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// A client's connection.
struct ClientSocket {
    socket: BufferedSocket,
    address: IpAddr,
    activity: ClientActivity,
    charge: MemoryCharge,
    /// Size of the request in progress, which the gate keeps until it is answered.
    request_bytes: usize,
    /// The input holds the beginning of a message, without its end.
    awaits_end: bool,
    /// A paused connection that may read its message to the end.
    reads_to_end: bool,
    /// The driver's turn in which `turn_messages` were handled.
    turn: u64,
    turn_messages: u32,
    /// A request is in progress; the next one is not parsed until it ends.
    busy: bool,
    /// Close the connection once the output is written.
    closing: bool,
    state: TransactionState,
}

impl ClientSocket {
    /// Reads the next message from the buffered input.
    fn read_message<C: WireCodec>(&mut self) -> Result<Option<ClientMessage>, CodecError> {
        match self.activity.origin {
            SessionOrigin::Client => C::read_client(&mut self.socket.input),
            SessionOrigin::Peer => C::read_peer(&mut self.socket.input),
        }
    }

    /// Reads from the socket and notes what the limits on time depend on.
    fn fill<C: WireCodec>(&mut self, limit: usize, now: Micros) -> ReadOutcome {
        let before = self.socket.input.len();
        let outcome = self.socket.fill(limit);
        let appended = &self.socket.input[before..];
        if !appended.is_empty() {
            self.activity.last_transfer = now;
            // A message that is too long has to be examined although it does not end.
            let is_long = self.socket.input.len() >= MAX_MESSAGE_BYTES;
            self.awaits_end &= !is_long && !C::may_end_message(appended);
        }
        outcome
    }

    /// Writes output and notes what the limits on time depend on.
    fn flush(&mut self, now: Micros) -> std::io::Result<()> {
        let written = self.socket.flush()?;
        if self.socket.output.is_empty() {
            self.activity.output_since = None;
        } else if written > 0 || self.activity.output_since.is_none() {
            self.activity.output_since = Some(now);
        }
        if written > 0 {
            self.activity.last_transfer = now;
        }
        Ok(())
    }

    /// Charges the budget for what the connection holds.
    fn update_charge(&mut self) {
        let held = self.socket.compact() + self.request_bytes;
        if held != self.activity.held {
            self.activity.held = held;
            self.charge.resize(held);
        }
    }

    fn has_unread_output(&self) -> bool {
        self.socket.output.len() > OUTPUT_HIGH_WATER_BYTES
    }
}

/// A connection to a database.
struct BackendSocket {
    socket: BufferedSocket,
    opened: bool,
    /// What the answer of each unanswered command holds.
    unanswered: VecDeque<AnswerKind>,
    rows: Vec<Bytes>,
    row_bytes: usize,
    /// The limit at which the rows of the present answer were dropped.
    dropped_rows: Option<LimitKind>,
    answer_end: Option<AnswerEnd>,
    charge: MemoryCharge,
}

impl BackendSocket {
    /// Drops the rows of the present answer, and those that follow.
    fn drop_rows(&mut self, limit: LimitKind) {
        self.rows = Vec::new();
        self.row_bytes = 0;
        self.dropped_rows = Some(limit);
        self.update_charge();
    }

    fn update_charge(&mut self) {
        let held = self.socket.compact() + self.row_bytes;
        if held != self.charge.bytes() {
            self.charge.resize(held);
        }
    }
}

/// Drives the gate and owns all sockets.
pub(crate) struct IoDriver<P: crate::Platform> {
    gate: Gate,
    node: Name,
    platform: P,
    poll: MioPoll,
    listener: MioSource<TcpListener>,
    peer_listener: Option<MioSource<TcpListener>>,
    clients: FastMap<u64, ClientSocket>,
    backends: FastMap<u64, BackendSocket>,
    next_client: u64,
    guard: ClientGuard,
    limit_log: LimitLog,
    /// Connections that are not read for lack of memory, the longest waiting first.
    paused_clients: VecDeque<u64>,
    /// Number of connections that read a message to the end although memory is short.
    completing_clients: usize,
    /// Clients with more messages than a turn allows.
    deferred_clients: Vec<u64>,
    /// Number of the present turn.
    turn: u64,
    /// Time at the start of the turn, for the limits.
    now: Micros,
    swept: Instant,
    store: StoreThreads<P::Store>,
    relay: Option<ChangeRelay>,
    _store_events: ChannelGuard,
    _signal_events: ChannelGuard,
    status: Arc<SharedStatus>,
    metrics: MetricSet,
    metrics_published: Instant,
    actions: Vec<GateAction>,
    dirty_clients: Vec<u64>,
    dirty_backends: Vec<u64>,
    /// Clients whose requests were answered and whose next request may be read.
    unblocked_clients: Vec<u64>,
}

impl<P: crate::Platform> IoDriver<P> {
    pub(crate) fn init(
        cx: CX![],
        setup: EdgeSetup<P>,
        signals: Signals,
        listener: TcpListener,
        peer_listener: Option<TcpListener>,
        relay: Option<ChangeRelay>,
        status: Arc<SharedStatus>,
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], accept_peers() as (Ready));
        let peer_listener = peer_listener
            .map(|listener| poll.add(listener, Interest::READABLE, 10, ready))
            .transpose();
        let peer_listener = match peer_listener {
            Ok(listener) => listener,
            Err(error) => {
                stakker::fail!(cx, error);
                return None;
            }
        };
        let ready = fwd_to!([cx], accept_clients() as (Ready));
        let listener = match poll.add(listener, Interest::READABLE, 10, ready) {
            Ok(listener) => listener,
            Err(error) => {
                stakker::fail!(cx, error);
                return None;
            }
        };
        let event = fwd_to!([cx], handle_event() as (GateEvent));
        let (events, store_guard) = Channel::new(cx, event);
        let signal = fwd_to!([cx], handle_signal() as (ProcessSignal));
        let (signal_channel, signal_guard) = Channel::new(cx, signal);
        crate::spawn_signal_thread(signals, signal_channel);
        let node = setup.gate.node.clone();
        let data_centre = setup.gate.data_centre.clone();
        let client = setup.platform.store();
        let bound = Duration::from_micros(setup.gate.configuration_bound.0);
        let store =
            StoreThreads::start(client, node.clone(), data_centre, relay.clone(), bound, events);
        let store = match store {
            Ok(store) => store,
            Err(error) => {
                stakker::fail!(cx, error);
                return None;
            }
        };
        let guard = ClientGuard::new(setup.limits);
        let mut gate = Gate::new(setup.gate);
        gate.limit_sessions(guard.session_memory());
        let mut driver = IoDriver {
            gate,
            node,
            platform: setup.platform,
            poll,
            listener,
            peer_listener,
            clients: FastMap::default(),
            backends: FastMap::default(),
            next_client: 0,
            guard,
            limit_log: LimitLog::default(),
            paused_clients: VecDeque::new(),
            completing_clients: 0,
            deferred_clients: Vec::new(),
            turn: 0,
            now: clock::now(),
            swept: Instant::now(),
            store,
            relay,
            _store_events: store_guard,
            _signal_events: signal_guard,
            status,
            metrics: MetricSet::default(),
            metrics_published: Instant::now(),
            actions: Vec::new(),
            dirty_clients: Vec::new(),
            dirty_backends: Vec::new(),
            unblocked_clients: Vec::new(),
        };
        driver.tick(cx);
        Some(driver)
    }

    fn tick(&mut self, cx: CX![]) {
        self.handle_event(cx, GateEvent::Timer);
        if self.metrics_published.elapsed() >= METRICS_INTERVAL {
            self.metrics_published = Instant::now();
            let relay = self.relay.as_ref();
            let gauges = [
                ("relay_running", relay.is_some_and(ChangeRelay::is_running).into()),
                ("relay_followers", relay.map_or(0, |relay| relay.follower_count() as u64)),
                ("sessions", self.clients.len() as u64),
                ("links", self.backends.len() as u64),
                ("memory_held_bytes", self.guard.budget.held() as u64),
                ("memory_limit_bytes", self.guard.budget.limit() as u64),
                ("clients_waiting_for_memory", self.paused_clients.len() as u64),
                ("log_lines_dropped", dropped_lines()),
            ];
            self.metrics.publish(&self.status, &gauges);
        }
        if self.swept.elapsed() >= SWEEP_INTERVAL {
            self.swept = Instant::now();
            self.sweep_clients(cx);
        }
        if self.status.dump_requested() {
            self.status.set_dump(self.gate.dump().to_string());
        }
        after!(Duration::from_micros(TIMER_INTERVAL.0), [cx], tick());
    }

    fn handle_signal(&mut self, cx: CX![], signal: ProcessSignal) {
        match signal {
            ProcessSignal::Drain => {
                log::info!("\"event\":\"sigterm\"");
                self.handle_event(cx, GateEvent::DrainRequested);
            }
            ProcessSignal::Reload => match self.platform.reload() {
                Ok(changes) => {
                    let fields = vec![("changes", changes.into())];
                    log::info!("{}", event_line("settings_reloaded", fields));
                }
                Err(error) => {
                    let fields = vec![("error", format!("{error:#}").into())];
                    log::error!("{}", event_line("settings_rejected", fields));
                }
            },
        }
    }

    /// Passes an event to the gate, executes its actions and writes the output.
    fn handle_event(&mut self, cx: CX![], event: GateEvent) {
        self.begin_turn();
        self.advance_gate(cx, event);
        self.settle(cx);
    }

    fn begin_turn(&mut self) {
        self.turn += 1;
        self.now = clock::now();
    }

    /// Writes the output and reads the next requests of clients whose requests were answered, until neither leads to
    /// more, and keeps the process within its memory.
    fn settle(&mut self, cx: CX![]) {
        loop {
            while let Some(client) = self.unblocked_clients.pop() {
                self.read_client(cx, client);
            }
            self.flush_output(cx);
            self.resume_paused_client();
            if self.unblocked_clients.is_empty() && !self.free_memory(cx) {
                return;
            }
        }
    }

    /// Passes an event to the gate and executes the actions that it returns.
    fn advance_gate(&mut self, cx: CX![], event: GateEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gate.handle(clock::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute_action(cx, action);
        }
        self.actions = actions;
    }

    fn execute_action(&mut self, cx: CX![], action: GateAction) {
        match action {
            GateAction::AcceptSession { session } => {
                if let Some(client) = self.clients.get_mut(&session.0) {
                    P::Codec::write_accept(&mut client.socket.output);
                    client.busy = false;
                    client.request_bytes = 0;
                    self.dirty_clients.push(session.0);
                    self.unblocked_clients.push(session.0);
                }
            }
            GateAction::RefuseSession { session, code, text } => {
                if let Some(client) = self.clients.get_mut(&session.0) {
                    P::Codec::write_refusal(code, &text, &mut client.socket.output);
                    client.closing = true;
                    self.dirty_clients.push(session.0);
                }
            }
            GateAction::Reply { session, reply, state, position } => {
                if let Some(client) = self.clients.get_mut(&session.0) {
                    let position =
                        position.filter(|_| client.activity.origin == SessionOrigin::Peer);
                    P::Codec::write_reply(&reply, state, position, &mut client.socket.output);
                    client.state = state;
                    client.busy = false;
                    client.request_bytes = 0;
                    self.dirty_clients.push(session.0);
                    self.unblocked_clients.push(session.0);
                }
            }
            GateAction::ReplyAllotments { session, grants } => {
                if let Some(client) = self.clients.get_mut(&session.0) {
                    P::Codec::write_allotments(&grants, &mut client.socket.output);
                    client.busy = false;
                    self.dirty_clients.push(session.0);
                    self.unblocked_clients.push(session.0);
                }
            }
            GateAction::CloseSession { session } => self.close_idle_client(session.0),
            GateAction::OpenConnection { connection, cluster, database, address, account } => {
                let caller = account.unwrap_or_else(|| self.node.clone());
                self.open_backend(cx, connection, &cluster, &caller, &database, address);
            }
            GateAction::CloseConnection { connection } => {
                self.backends.remove(&connection.0);
            }
            GateAction::Send { connection, commands } => {
                if let Some(backend) = self.backends.get_mut(&connection.0) {
                    for command in &commands {
                        P::Codec::write_command(command, &mut backend.socket.output);
                        backend.unanswered.push_back(answer_kind(command));
                    }
                    self.dirty_backends.push(connection.0);
                }
            }
            GateAction::WritePromotionLease { attempt, expected, bytes } => {
                self.store.write_promotion_lease(attempt, expected, bytes);
            }
            GateAction::PublishRegistration { role, role_changes, bytes } => {
                self.store.publish_registration(role, role_changes, bytes);
            }
            GateAction::WriteNodeCount { bytes } => self.store.write_node_count(bytes),
            GateAction::WriteLogHolders { cluster, expected, bytes } => {
                self.store.write_log_holders(cluster, expected, bytes);
            }
            GateAction::ReadStoreState => self.store.read_state(),
            GateAction::EndLease { node, lease, era } => {
                self.store.end_lease(node, StoreLease { number: lease, era });
            }
            GateAction::Promote { cluster, database, holder, fencing_token } => {
                self.store.promote(cluster, database, holder, fencing_token);
            }
            GateAction::SetReady(ready) => self.status.set_ready(ready),
            GateAction::ShutdownComplete => {
                self.store.end_registration();
                stop!(cx);
            }
            GateAction::Log(record) => log::info!("{}", render_record(&record)),
            GateAction::Count { counter, amount } => self.metrics.add(counter, amount),
            GateAction::Observe { histogram, micros } => self.metrics.observe(histogram, micros),
        }
    }

    fn flush_output(&mut self, cx: CX![]) {
        for id in std::mem::take(&mut self.dirty_clients) {
            self.flush_client(cx, id);
        }
        for id in std::mem::take(&mut self.dirty_backends) {
            let Some(backend) = self.backends.get_mut(&id) else { continue };
            if backend.socket.flush().is_err() {
                self.drop_backend(cx, id);
            } else {
                backend.update_charge();
            }
        }
    }

    // Clients.

    fn accept_clients(&mut self, cx: CX![], _: Ready) {
        self.accept(cx, SessionOrigin::Client);
    }

    fn accept_peers(&mut self, cx: CX![], _: Ready) {
        self.accept(cx, SessionOrigin::Peer);
    }

    fn accept(&mut self, cx: CX![], origin: SessionOrigin) {
        self.begin_turn();
        loop {
            let listener = match (origin, &self.peer_listener) {
                (SessionOrigin::Peer, Some(listener)) => listener,
                (SessionOrigin::Peer, None) => return,
                (SessionOrigin::Client, _) => &self.listener,
            };
            let (stream, address) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    let fields = vec![("error", error.to_string().into())];
                    log::warn!("{}", event_line("accept_failed", fields));
                    // The listener reports connections that wait already only once.
                    after!(ACCEPT_BACKOFF, [cx], accept(origin));
                    return;
                }
            };
            let address = address.ip();
            let clients = self.clients.iter().map(|(id, client)| (*id, client.activity));
            match self.guard.accept(self.now, origin, self.clients.len(), clients) {
                AcceptDecision::Accept => {}
                AcceptDecision::Replace(client) => {
                    self.close_at_limit(cx, client, LimitKind::Replaced);
                }
                AcceptDecision::Refuse(kind) => {
                    self.record_limit(kind, address);
                    refuse_connection::<P::Codec>(stream, &kind.refusal(&self.guard.limits));
                    continue;
                }
            }
            self.add_client(cx, stream, address, origin);
        }
    }

    fn add_client(&mut self, cx: CX![], stream: TcpStream, address: IpAddr, origin: SessionOrigin) {
        self.next_client += 1;
        let id = self.next_client;
        // If this fails, answers are only delayed.
        let _ = stream.set_nodelay(true);
        let ready = fwd_to!([cx], client_ready(id) as (Ready));
        match BufferedSocket::new(&self.poll, stream, ready) {
            Ok(socket) => {
                let client = ClientSocket {
                    socket,
                    address,
                    activity: ClientActivity::new(origin, self.now),
                    charge: self.guard.budget.charge(),
                    request_bytes: 0,
                    awaits_end: false,
                    reads_to_end: false,
                    turn: 0,
                    turn_messages: 0,
                    busy: false,
                    closing: false,
                    state: TransactionState::Idle,
                };
                self.clients.insert(id, client);
                self.read_client(cx, id);
                self.settle(cx);
            }
            Err(error) => {
                let fields = vec![("error", error.to_string().into())];
                log::warn!("{}", event_line("client_lost", fields));
            }
        }
    }

    fn client_ready(&mut self, cx: CX![], id: u64, _: Ready) {
        self.begin_turn();
        if let Some(client) = self.clients.get_mut(&id) {
            client.socket.expect_input();
            // The client may have read output for which its next request waits.
            self.dirty_clients.push(id);
            if !client.has_unread_output() {
                self.read_client(cx, id);
            }
        }
        self.settle(cx);
    }

    /// Reads from a client and handles its requests, until one is in progress or nothing more has arrived.
    fn read_client(&mut self, cx: CX![], id: u64) {
        let now = self.now;
        loop {
            let has_memory = self.guard.may_read();
            let Some(client) = self.clients.get_mut(&id) else { return };
            if client.closing {
                return;
            }
            let is_paused = client.activity.paused_since.is_some();
            let may_read = client.reads_to_end || (has_memory && !is_paused);
            let limit = match (client.busy, may_read) {
                (true, true) => CLIENT_READ_AHEAD_BYTES,
                (false, true) => MAX_INPUT_BYTES,
                (_, false) => FREE_INPUT_BYTES,
            };
            let outcome = match client.socket.has_pending_input() {
                true => client.fill::<P::Codec>(limit, now),
                false => ReadOutcome::Open,
            };
            self.read_requests(cx, id);
            let Some(client) = self.clients.get_mut(&id) else { return };
            client.activity.message_since = match client.awaits_end {
                true => client.activity.message_since.or(Some(now)),
                false => None,
            };
            client.update_charge();
            if outcome == ReadOutcome::Closed {
                return self.close_client(cx, id);
            }
            let has_messages = !client.awaits_end && !client.socket.input.is_empty();
            if client.busy || client.closing || has_messages || !client.socket.has_pending_input() {
                return;
            }
            if !may_read && client.socket.input.len() >= FREE_INPUT_BYTES {
                return self.pause_client(id, now);
            }
        }
    }

    fn flush_client(&mut self, cx: CX![], id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let was_blocked = client.has_unread_output();
        let lost = client.flush(self.now).is_err();
        if lost || (client.closing && client.socket.output.is_empty()) {
            return self.close_client(cx, id);
        }
        if was_blocked && !client.has_unread_output() {
            self.unblocked_clients.push(id);
        }
        client.update_charge();
    }

    // Limits.

    /// Stops to read from a client until memory is available.
    fn pause_client(&mut self, id: u64, now: Micros) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.activity.paused_since.is_none() {
            client.activity.paused_since = Some(now);
            self.paused_clients.push_back(id);
            self.metrics.add("clients_paused", 1);
        }
    }

    /// Continues to read from a client that was paused, if memory is available. The next one is resumed once this one was
    /// read, as it may take the memory.
    fn resume_paused_client(&mut self) {
        while let Some(id) = self.paused_clients.front().copied() {
            let may_read = self.guard.may_read();
            if !may_read && !self.guard.may_complete_message(self.completing_clients) {
                return;
            }
            self.paused_clients.pop_front();
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.activity.paused_since = None;
            if !may_read && !client.reads_to_end {
                client.reads_to_end = true;
                self.completing_clients += 1;
            }
            self.unblocked_clients.push(id);
            return;
        }
    }

    /// Closes connections that have passed a limit on time, or that others wait for.
    fn sweep_clients(&mut self, cx: CX![]) {
        let now = self.now;
        let limits = &self.guard.limits;
        let overdue: Vec<(u64, LimitKind)> = self
            .clients
            .iter()
            .filter_map(|(id, client)| Some((*id, client.activity.overdue(limits, now)?)))
            .collect();
        for (id, kind) in overdue {
            self.close_at_limit(cx, id, kind);
        }
        while let Some(id) = self.choose_victim(now) {
            self.close_at_limit(cx, id, LimitKind::Memory);
        }
        self.settle(cx);
    }

    /// Closes the connection that holds most and makes the least progress, or drops the largest answer, if the budget is
    /// exceeded. Returns whether something was freed.
    fn free_memory(&mut self, cx: CX![]) -> bool {
        if !self.guard.is_exceeded() {
            return false;
        }
        if let Some(id) = self.choose_victim(self.now) {
            self.close_at_limit(cx, id, LimitKind::Memory);
            return true;
        }
        let largest = self.backends.values_mut().max_by_key(|backend| backend.row_bytes);
        match largest.filter(|backend| backend.row_bytes > 0) {
            Some(backend) => {
                backend.drop_rows(LimitKind::Memory);
                true
            }
            None => false,
        }
    }

    fn choose_victim(&self, now: Micros) -> Option<u64> {
        let clients = self.clients.iter().map(|(id, client)| {
            let session_bytes = self.gate.session_bytes(SessionId(*id));
            (*id, ClientActivity { held: client.activity.held + session_bytes, ..client.activity })
        });
        self.guard.choose_victim(now, clients)
    }

    /// Closes a connection because of a limit, with an error if that cannot be taken for the answer to a request.
    fn close_at_limit(&mut self, cx: CX![], id: u64, kind: LimitKind) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let address = client.address;
        if !client.busy && client.socket.output.is_empty() {
            let text = kind.refusal(&self.guard.limits);
            P::Codec::write_refusal(ErrorCode::Busy, &text, &mut client.socket.output);
            // The connection is closed in any case.
            let _ = client.socket.flush();
        }
        self.close_client(cx, id);
        self.record_limit(kind, address);
    }

    fn record_limit(&mut self, kind: LimitKind, address: IpAddr) {
        self.metrics.add(kind.counter(), 1);
        let limits = &self.guard.limits;
        if let Some(line) = self.limit_log.record(self.now, kind, address, limits) {
            log::warn!("{line}");
        }
    }

    /// Continues with the messages of clients that have used up their turn.
    fn continue_deferred_clients(&mut self, cx: CX![]) {
        self.begin_turn();
        let deferred = std::mem::take(&mut self.deferred_clients);
        self.unblocked_clients.extend(deferred);
        self.settle(cx);
    }

    fn close_client(&mut self, cx: CX![], id: u64) {
        let Some(client) = self.clients.remove(&id) else { return };
        if client.reads_to_end {
            self.completing_clients -= 1;
        }
        if client.activity.started {
            self.advance_gate(cx, GateEvent::SessionClosed { session: SessionId(id) });
        }
    }

    /// Closes the connection of an idle session. A request that has arrived in the meantime is
    /// refused, because closing a connection with unread data resets it.
    fn close_idle_client(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.closing = true;
        // If the client is gone, writing fails, too.
        let _ = client.socket.fill(CLIENT_READ_AHEAD_BYTES);
        while let Ok(Some(message)) = client.read_message::<P::Codec>() {
            if let ClientMessage::Request(_) = message {
                let text = "not run, this node closes idle sessions, retry at once".to_string();
                let reply = gate::ClientReply::Failed { code: ErrorCode::Busy, text };
                let state = TransactionState::Idle;
                P::Codec::write_reply(&reply, state, None, &mut client.socket.output);
                self.metrics.add("requests_refused_at_close", 1);
            }
        }
        self.dirty_clients.push(id);
    }

    /// Reads messages of a client until a request is in progress or the input is used up.
    fn read_requests(&mut self, cx: CX![], id: u64) {
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if client.busy || client.closing || client.awaits_end || client.has_unread_output() {
                return;
            }
            if client.turn != self.turn {
                (client.turn, client.turn_messages) = (self.turn, 0);
            }
            if client.turn_messages >= MESSAGES_PER_TURN {
                if self.deferred_clients.is_empty() {
                    after!(TURN_INTERVAL, [cx], continue_deferred_clients());
                }
                if !self.deferred_clients.contains(&id) {
                    self.deferred_clients.push(id);
                }
                return;
            }
            client.turn_messages += 1;
            let message = match client.read_message::<P::Codec>() {
                Ok(Some(message)) => {
                    if std::mem::take(&mut client.reads_to_end) {
                        self.completing_clients -= 1;
                    }
                    client.activity.message_since = None;
                    message
                }
                Ok(None) => {
                    client.awaits_end = !client.socket.input.is_empty();
                    return;
                }
                Err(error) => {
                    let code = match error {
                        crate::CodecError::TooBig { .. } => ErrorCode::TooBig,
                        crate::CodecError::Malformed(_) => ErrorCode::Malformed,
                    };
                    return self.reject_client(id, code, &error.to_string());
                }
            };
            let session = SessionId(id);
            match (message, client.activity.started) {
                (ClientMessage::Startup { database, key }, false) => {
                    client.activity.started = true;
                    client.busy = true;
                    let origin = client.activity.origin;
                    self.advance_gate(
                        cx,
                        GateEvent::SessionOpened { session, database, key, origin },
                    );
                }
                (ClientMessage::Request(request), true) => {
                    client.busy = true;
                    client.request_bytes = request.held_bytes();
                    self.advance_gate(cx, GateEvent::RequestArrived { session, request });
                }
                (ClientMessage::Invalid { code, text }, true) => {
                    let reply = gate::ClientReply::Failed { code, text };
                    let output = &mut client.socket.output;
                    P::Codec::write_reply(&reply, client.state, None, output);
                    self.metrics.add("requests_malformed", 1);
                    self.dirty_clients.push(id);
                }
                (ClientMessage::Terminate, _) => return self.close_client(cx, id),
                (ClientMessage::Startup { .. }, true) | (_, false) => {
                    let text = "expected exactly one start-up message, as the first message";
                    return self.reject_client(id, ErrorCode::Malformed, text);
                }
            }
        }
    }

    fn reject_client(&mut self, id: u64, code: ErrorCode, text: &str) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        P::Codec::write_refusal(code, text, &mut client.socket.output);
        client.closing = true;
        self.metrics.add("clients_rejected", 1);
        self.dirty_clients.push(id);
    }

    // Databases.

    fn open_backend(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        cluster: &Name,
        caller: &Name,
        database: &Name,
        address: SocketAddr,
    ) {
        let id = connection.0;
        let ready = fwd_to!([cx], backend_ready(id) as (Ready));
        let socket =
            connect(address).and_then(|stream| BufferedSocket::new(&self.poll, stream, ready));
        match socket {
            Ok(mut socket) => {
                P::Codec::write_startup(cluster, caller, database, &mut socket.output);
                let backend = BackendSocket {
                    socket,
                    opened: false,
                    unanswered: Default::default(),
                    rows: Vec::new(),
                    row_bytes: 0,
                    dropped_rows: None,
                    answer_end: None,
                    charge: self.guard.budget.charge(),
                };
                self.backends.insert(id, backend);
                self.dirty_backends.push(id);
            }
            Err(error) => {
                let fields = vec![("error", error.to_string().into())];
                log::warn!("{}", event_line("connect_failed", fields));
                // The gate must not be re-entered while its actions are executed.
                let lost = fwd_to!([cx], handle_event() as (GateEvent));
                lost.fwd(GateEvent::ConnectionLost { connection });
            }
        }
    }

    fn drop_backend(&mut self, cx: CX![], id: u64) {
        if self.backends.remove(&id).is_some() {
            self.advance_gate(cx, GateEvent::ConnectionLost { connection: ConnectionId(id) });
        }
    }

    fn backend_ready(&mut self, cx: CX![], id: u64, _: Ready) {
        self.begin_turn();
        while let Some(backend) = self.backends.get_mut(&id) {
            let outcome = backend.socket.fill(MAX_INPUT_BYTES);
            let flushed = backend.socket.flush();
            self.read_answers(cx, id);
            if outcome == ReadOutcome::Closed || flushed.is_err() {
                self.drop_backend(cx, id);
            }
            let Some(backend) = self.backends.get_mut(&id) else { break };
            backend.update_charge();
            self.settle(cx);
            if !self.backends.get(&id).is_some_and(|backend| backend.socket.has_pending_input()) {
                break;
            }
        }
        self.settle(cx);
    }

    fn read_answers(&mut self, cx: CX![], id: u64) {
        let connection = ConnectionId(id);
        while let Some(backend) = self.backends.get_mut(&id) {
            let message = match P::Codec::read_backend(&mut backend.socket.input) {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(error) => {
                    let fields = vec![("link", id.into()), ("error", error.to_string().into())];
                    log::warn!("{}", event_line("answer_malformed", fields));
                    return self.drop_backend(cx, id);
                }
            };
            match message {
                BackendMessage::Row(row) => {
                    if backend.rows.len() >= MAX_ANSWER_ROWS || !backend.opened {
                        return self.drop_backend(cx, id);
                    }
                    if backend.row_bytes + row.len() > self.guard.limits.answer_bytes {
                        backend.drop_rows(LimitKind::AnswerSize);
                    }
                    if backend.dropped_rows.is_none() {
                        backend.row_bytes += row.len();
                        backend.rows.push(row);
                    }
                }
                BackendMessage::Done(signature) => {
                    backend.answer_end = Some(AnswerEnd::Done(signature))
                }
                BackendMessage::Error { code, .. } if !backend.opened => {
                    self.backends.remove(&id);
                    self.advance_gate(cx, GateEvent::ConnectionRefused { connection, code });
                }
                BackendMessage::Error { code, text } => {
                    backend.answer_end = Some(AnswerEnd::Failed { code, text });
                }
                BackendMessage::Ready { position, .. } if !backend.opened => {
                    backend.opened = true;
                    self.advance_gate(cx, GateEvent::ConnectionOpened { connection, position });
                }
                BackendMessage::Ready { state, position } => {
                    let (Some(end), Some(kind)) =
                        (backend.answer_end.take(), backend.unanswered.pop_front())
                    else {
                        log::warn!("\"event\":\"answer_unexpected\",\"link\":{id}");
                        return self.drop_backend(cx, id);
                    };
                    let rows = std::mem::take(&mut backend.rows);
                    backend.row_bytes = 0;
                    let end = match backend.dropped_rows.take() {
                        Some(limit) => {
                            self.metrics.add(limit.counter(), 1);
                            let text = limit.answer_refusal(&self.guard.limits);
                            AnswerEnd::Failed { code: ErrorCode::TooBig, text }
                        }
                        None => end,
                    };
                    if kind == AnswerKind::Allotments
                        && matches!(end, AnswerEnd::Done(_))
                        && let Some(grants) = P::Codec::read_allotments(&rows)
                    {
                        let event = GateEvent::AllotmentsAnswered { connection, grants };
                        self.advance_gate(cx, event);
                        continue;
                    }
                    let report = match kind {
                        AnswerKind::Report => P::Codec::read_report(&rows),
                        AnswerKind::Rows | AnswerKind::Allotments => None,
                    };
                    let answer = Box::new(BackendAnswer { rows, end, state, position, report });
                    self.advance_gate(cx, GateEvent::ConnectionAnswered { connection, answer });
                }
            }
        }
    }
}

/// What an answer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerKind {
    Rows,
    Report,
    Allotments,
}

fn answer_kind(command: &BackendCommand) -> AnswerKind {
    match command {
        BackendCommand::Report | BackendCommand::Fence { .. } | BackendCommand::Demote { .. } => {
            AnswerKind::Report
        }
        BackendCommand::Allot(_) => AnswerKind::Allotments,
        _ => AnswerKind::Rows,
    }
}

/// Tells the client why its connection is refused, if the socket takes that at once, and closes it.
fn refuse_connection<C: WireCodec>(mut stream: TcpStream, text: &str) {
    let mut output = BytesMut::new();
    C::write_refusal(ErrorCode::Busy, text, &mut output);
    // The connection is closed in any case.
    let _ = stream.write(&output);
}
