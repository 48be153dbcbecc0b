//! The I/O driver: the actor that owns the gate and all sockets.
//!
//! Sockets, threads and timers produce events. The driver passes each event to the gate and executes the
//! returned actions in order. Output is buffered and written once, after all actions of an event.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gate::{
    AnswerEnd, BackendAnswer, BackendCommand, ConnectionId, ErrorCode, Gate, GateAction, GateEvent,
    SessionId, SessionOrigin, TIMER_INTERVAL, TransactionState,
};
use model::{FastMap, Name};
use relay::ChangeRelay;
use signal_hook::iterator::Signals;
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, after, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::codec::{BackendMessage, ClientMessage, CodecError, WireCodec};
use crate::logging::{dropped_lines, event_line, render_record};
use crate::metrics::{MetricSet, SharedStatus};
use crate::socket::{BufferedSocket, ReadOutcome, connect};
use crate::store::StoreThreads;
use crate::{EdgeSetup, ProcessSignal, clock};

/// Input buffered for a client while its request is in progress.
const CLIENT_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Input buffered for a connection: the 1 MiB limit of a message, and room for its line end and for the caller and the
/// position that another node adds, 25 KiB at most.
const MAX_INPUT_BYTES: usize = (1024 + 32) * 1024;

/// Unread output at which a client's connection is closed: twice the largest answer.
const MAX_UNREAD_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of rows in one answer. The users' databases send no more; a connection that exceeds it is closed.
const MAX_ANSWER_ROWS: usize = 4_096;

const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// A client's connection.
struct ClientSocket {
    socket: BufferedSocket,
    started: bool,
    origin: SessionOrigin,
    /// A request is in progress; the next one is not parsed until it ends.
    busy: bool,
    /// Close the connection once the output is written.
    closing: bool,
    state: TransactionState,
}

impl ClientSocket {
    /// Reads the next message from the buffered input.
    fn read_message<C: WireCodec>(&mut self) -> Result<Option<ClientMessage>, CodecError> {
        match self.origin {
            SessionOrigin::Client => C::read_client(&mut self.socket.input),
            SessionOrigin::Peer => C::read_peer(&mut self.socket.input),
        }
    }
}

/// A connection to a database.
struct BackendSocket {
    socket: BufferedSocket,
    opened: bool,
    /// What the answer of each unanswered command holds.
    unanswered: std::collections::VecDeque<AnswerKind>,
    rows: Vec<Bytes>,
    answer_end: Option<AnswerEnd>,
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
    client_limit: usize,
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
        let mut driver = IoDriver {
            gate: Gate::new(setup.gate),
            node,
            platform: setup.platform,
            poll,
            listener,
            peer_listener,
            clients: FastMap::default(),
            backends: FastMap::default(),
            next_client: 0,
            client_limit: setup.client_limit,
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
                ("log_lines_dropped", dropped_lines()),
            ];
            self.metrics.publish(&self.status, &gauges);
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
        self.advance_gate(cx, event);
        self.resume_clients(cx);
        self.flush_output(cx);
    }

    /// Reads the next requests of clients whose requests were answered.
    fn resume_clients(&mut self, cx: CX![]) {
        while let Some(client) = self.unblocked_clients.pop() {
            self.read_requests(cx, client);
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
                    let position = position.filter(|_| client.origin == SessionOrigin::Peer);
                    P::Codec::write_reply(&reply, state, position, &mut client.socket.output);
                    client.state = state;
                    client.busy = false;
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
            GateAction::EndLease { node, lease } => self.store.end_lease(node, lease),
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
        loop {
            let listener = match (origin, &self.peer_listener) {
                (SessionOrigin::Peer, Some(listener)) => listener,
                (SessionOrigin::Peer, None) => return,
                (SessionOrigin::Client, _) => &self.listener,
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    let fields = vec![("error", error.to_string().into())];
                    log::warn!("{}", event_line("accept_failed", fields));
                    return;
                }
            };
            if self.clients.len() >= self.client_limit {
                self.metrics.add("clients_over_limit", 1);
                continue;
            }
            self.next_client += 1;
            let id = self.next_client;
            // If this fails, answers are only delayed.
            let _ = stream.set_nodelay(true);
            let ready = fwd_to!([cx], client_ready(id) as (Ready));
            match BufferedSocket::new(&self.poll, stream, ready) {
                Ok(socket) => {
                    let client = ClientSocket {
                        socket,
                        started: false,
                        origin,
                        busy: false,
                        closing: false,
                        state: TransactionState::Idle,
                    };
                    self.clients.insert(id, client);
                    self.read_client(cx, id);
                }
                Err(error) => {
                    let fields = vec![("error", error.to_string().into())];
                    log::warn!("{}", event_line("client_lost", fields));
                }
            }
        }
    }

    fn client_ready(&mut self, cx: CX![], id: u64, _: Ready) {
        self.read_client(cx, id);
    }

    fn read_client(&mut self, cx: CX![], id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let limit = if client.busy { CLIENT_READ_AHEAD_BYTES } else { MAX_INPUT_BYTES };
        let outcome = client.socket.fill(limit);
        self.read_requests(cx, id);
        self.resume_clients(cx);
        if outcome == ReadOutcome::Closed {
            self.close_client(cx, id);
        } else {
            self.dirty_clients.push(id);
        }
        self.flush_output(cx);
    }

    fn flush_client(&mut self, cx: CX![], id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let lost =
            client.socket.flush().is_err() || client.socket.output.len() > MAX_UNREAD_OUTPUT_BYTES;
        let done = client.closing && client.socket.output.is_empty();
        if lost || done {
            self.close_client(cx, id);
        }
    }

    fn close_client(&mut self, cx: CX![], id: u64) {
        if let Some(client) = self.clients.remove(&id)
            && client.started
        {
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
            if client.busy || client.closing {
                return;
            }
            let message = match client.read_message::<P::Codec>() {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(error) => {
                    let code = match error {
                        crate::CodecError::TooBig { .. } => ErrorCode::TooBig,
                        crate::CodecError::Malformed(_) => ErrorCode::Malformed,
                    };
                    return self.reject_client(id, code, &error.to_string());
                }
            };
            let session = SessionId(id);
            match (message, client.started) {
                (ClientMessage::Startup { database, key }, false) => {
                    client.started = true;
                    client.busy = true;
                    let origin = client.origin;
                    self.advance_gate(
                        cx,
                        GateEvent::SessionOpened { session, database, key, origin },
                    );
                }
                (ClientMessage::Request(request), true) => {
                    client.busy = true;
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
                    answer_end: None,
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
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let outcome = backend.socket.fill(MAX_INPUT_BYTES);
        let flushed = backend.socket.flush();
        self.read_answers(cx, id);
        if outcome == ReadOutcome::Closed || flushed.is_err() {
            self.drop_backend(cx, id);
        }
        self.resume_clients(cx);
        self.flush_output(cx);
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
                    backend.rows.push(row);
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
