//! The actor that owns the gate and all sockets.
//!
//! Sockets, threads and timers report what happened. The hub passes it to the gate as an event and carries
//! out the actions in order. Output is collected and written once, after the actions of an event.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gate::{
    AnswerEnd, BackendAnswer, BackendCommand, ErrorCode, Gate, GateAction, GateEvent, LinkId,
    SessionId, SessionOrigin, SessionState, TICK,
};
use model::{FastMap, Name};
use signal_hook::iterator::Signals;
use stakker::sync::{Channel, ChannelGuard};
use stakker::{CX, after, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::codec::{BackendMessage, ClientMessage, WireCodec};
use crate::logging::{dropped_lines, event_line, render};
use crate::metrics::{MetricSet, SharedStatus};
use crate::socket::{BufferedSocket, ReadOutcome, connect};
use crate::store::StoreThreads;
use crate::{EdgeSetup, ProcessOrder, clock};

/// Bytes that are read ahead of a client whose request is in progress.
const CLIENT_READ_AHEAD: usize = 64 * 1024;

/// Bytes of a message at most, and a little more for the end of its line.
const INPUT_LIMIT: usize = 1024 * 1024 + 64;

/// Output that a client leaves unread before its connection is closed: the largest answer, twice.
const OUTPUT_LIMIT: usize = 4 * 1024 * 1024;

/// Rows of one answer at most; a database that sends more is not one of ours.
const ROWS_LIMIT: usize = 4_096;

/// Interval of publishing metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// A client's connection.
struct ClientSocket {
    socket: BufferedSocket,
    started: bool,
    origin: SessionOrigin,
    /// A request is in progress; the next one is not read yet.
    busy: bool,
    /// Close once the output is written.
    closing: bool,
    state: SessionState,
}

/// A connection to a database.
struct BackendSocket {
    socket: BufferedSocket,
    opened: bool,
    /// Commands without an answer; `true` for those answered with a report.
    expected: std::collections::VecDeque<bool>,
    rows: Vec<Bytes>,
    end: Option<AnswerEnd>,
}

/// Owner of the gate and of all sockets.
pub(crate) struct Hub<P: crate::Platform> {
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
    _store_events: ChannelGuard,
    _order_events: ChannelGuard,
    status: Arc<SharedStatus>,
    metrics: MetricSet,
    published: Instant,
    actions: Vec<GateAction>,
    dirty_clients: Vec<u64>,
    dirty_backends: Vec<u64>,
    resumed: Vec<u64>,
}

impl<P: crate::Platform> Hub<P> {
    pub(crate) fn init(
        cx: CX![],
        setup: EdgeSetup<P>,
        signals: Signals,
        listener: TcpListener,
        peer_listener: Option<TcpListener>,
        status: Arc<SharedStatus>,
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let ready = fwd_to!([cx], peers_waiting() as (Ready));
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
        let ready = fwd_to!([cx], clients_waiting() as (Ready));
        let listener = match poll.add(listener, Interest::READABLE, 10, ready) {
            Ok(listener) => listener,
            Err(error) => {
                stakker::fail!(cx, error);
                return None;
            }
        };
        let event = fwd_to!([cx], event() as (GateEvent));
        let (events, store_guard) = Channel::new(cx, event);
        let order = fwd_to!([cx], order() as (ProcessOrder));
        let (orders, order_guard) = Channel::new(cx, order);
        crate::start_signals(signals, orders);
        let node = setup.gate.node.clone();
        let store = StoreThreads::start(setup.platform.store(), node.clone(), events);
        let mut hub = Hub {
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
            _store_events: store_guard,
            _order_events: order_guard,
            status,
            metrics: MetricSet::default(),
            published: Instant::now(),
            actions: Vec::new(),
            dirty_clients: Vec::new(),
            dirty_backends: Vec::new(),
            resumed: Vec::new(),
        };
        hub.tick(cx);
        Some(hub)
    }

    fn tick(&mut self, cx: CX![]) {
        self.event(cx, GateEvent::Timer);
        if self.published.elapsed() >= METRICS_INTERVAL {
            self.published = Instant::now();
            let gauges = [
                ("sessions", self.clients.len() as u64),
                ("links", self.backends.len() as u64),
                ("log_lines_dropped", dropped_lines()),
            ];
            self.metrics.publish(&self.status, &gauges);
        }
        if self.status.wants_dump() {
            self.status.set_dump(self.gate.dump().to_string());
        }
        after!(Duration::from_micros(TICK.0), [cx], tick());
    }

    fn order(&mut self, cx: CX![], order: ProcessOrder) {
        match order {
            ProcessOrder::Drain => {
                log::info!("\"event\":\"sigterm\"");
                self.event(cx, GateEvent::DrainRequested);
            }
            ProcessOrder::Reload => match self.platform.reload() {
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

    /// Passes an event to the gate and carries out its actions.
    fn event(&mut self, cx: CX![], event: GateEvent) {
        self.handle(cx, event);
        self.resume_clients(cx);
        self.flush_output(cx);
    }

    /// Reads on for clients whose requests were answered.
    fn resume_clients(&mut self, cx: CX![]) {
        while let Some(client) = self.resumed.pop() {
            self.read_requests(cx, client);
        }
    }

    fn handle(&mut self, cx: CX![], event: GateEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gate.handle(clock::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(cx, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, cx: CX![], action: GateAction) {
        match action {
            GateAction::AcceptSession { session } => {
                if let Some(client) = self.clients.get_mut(&session.0) {
                    P::Codec::write_accept(&mut client.socket.output);
                    client.busy = false;
                    self.dirty_clients.push(session.0);
                    self.resumed.push(session.0);
                }
            }
            GateAction::RefuseSession { session, code, text } => {
                if let Some(client) = self.clients.get_mut(&session.0) {
                    P::Codec::write_refusal(code, &text, &mut client.socket.output);
                    client.closing = true;
                    self.dirty_clients.push(session.0);
                }
            }
            GateAction::Reply { session, reply, state, point } => {
                if let Some(client) = self.clients.get_mut(&session.0) {
                    let point = point.filter(|_| client.origin == SessionOrigin::Peer);
                    P::Codec::write_reply(&reply, state, point, &mut client.socket.output);
                    client.state = state;
                    client.busy = false;
                    self.dirty_clients.push(session.0);
                    self.resumed.push(session.0);
                }
            }
            GateAction::CloseSession { session } => {
                if let Some(client) = self.clients.get_mut(&session.0) {
                    client.closing = true;
                    self.dirty_clients.push(session.0);
                }
            }
            GateAction::OpenLink { link, cluster, database, address } => {
                self.open_link(cx, link, &cluster, &database, address);
            }
            GateAction::CloseLink { link } => {
                self.backends.remove(&link.0);
            }
            GateAction::Send { link, commands } => {
                if let Some(backend) = self.backends.get_mut(&link.0) {
                    for command in &commands {
                        P::Codec::write_command(command, &mut backend.socket.output);
                        backend.expected.push_back(asks_report(command));
                    }
                    self.dirty_backends.push(link.0);
                }
            }
            GateAction::WriteDuty { attempt, expected, bytes } => {
                self.store.write_duty(attempt, expected, bytes);
            }
            GateAction::PublishNode { role, registration, bytes } => {
                self.store.publish(role, registration, bytes);
            }
            GateAction::WriteFleet { bytes } => self.store.write_fleet(bytes),
            GateAction::ReadState => self.store.read_state(),
            GateAction::EndLease { node, lease } => self.store.end_lease(node, lease),
            GateAction::Promote { cluster, database, holder, number } => {
                self.store.promote(cluster, database, holder, number);
            }
            GateAction::SetReady(ready) => self.status.set_ready(ready),
            GateAction::ShutdownComplete => {
                self.store.end_registration();
                stop!(cx);
            }
            GateAction::Log(record) => log::info!("{}", render(&record)),
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
                self.lose_link(cx, id);
            }
        }
    }

    // Clients.

    fn clients_waiting(&mut self, cx: CX![], _: Ready) {
        self.accept(cx, SessionOrigin::Client);
    }

    fn peers_waiting(&mut self, cx: CX![], _: Ready) {
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
            // Only saves delay.
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
                        state: SessionState::Idle,
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
        let limit = if client.busy { CLIENT_READ_AHEAD } else { INPUT_LIMIT };
        let outcome = client.socket.fill(limit);
        self.read_requests(cx, id);
        self.resume_clients(cx);
        if outcome == ReadOutcome::Ended {
            self.end_client(cx, id);
        } else {
            self.dirty_clients.push(id);
        }
        self.flush_output(cx);
    }

    fn flush_client(&mut self, cx: CX![], id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let lost = client.socket.flush().is_err() || client.socket.output.len() > OUTPUT_LIMIT;
        let done = client.closing && client.socket.output.is_empty();
        if lost || done {
            self.end_client(cx, id);
        }
    }

    fn end_client(&mut self, cx: CX![], id: u64) {
        if let Some(client) = self.clients.remove(&id)
            && client.started
        {
            self.handle(cx, GateEvent::SessionClosed { session: SessionId(id) });
        }
    }

    /// Reads the next request of a client that has none in progress.
    fn read_requests(&mut self, cx: CX![], id: u64) {
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if client.busy || client.closing {
                return;
            }
            let input = &mut client.socket.input;
            let message = match client.origin {
                SessionOrigin::Client => P::Codec::read_client(input),
                SessionOrigin::Peer => P::Codec::read_peer(input),
            };
            let message = match message {
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
                (ClientMessage::Startup { database }, false) => {
                    client.started = true;
                    client.busy = true;
                    let origin = client.origin;
                    self.handle(cx, GateEvent::SessionOpened { session, database, origin });
                }
                (ClientMessage::Request(request), true) => {
                    client.busy = true;
                    self.handle(cx, GateEvent::RequestArrived { session, request });
                }
                (ClientMessage::Invalid { code, text }, true) => {
                    let reply = gate::ClientReply::Failed { code, text };
                    let output = &mut client.socket.output;
                    P::Codec::write_reply(&reply, client.state, None, output);
                    self.metrics.add("requests_malformed", 1);
                    self.dirty_clients.push(id);
                }
                (ClientMessage::Terminate, _) => return self.end_client(cx, id),
                (ClientMessage::Startup { .. }, true) | (_, false) => {
                    let text = "expected a start-up message once, at the start";
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

    fn open_link(
        &mut self,
        cx: CX![],
        link: LinkId,
        cluster: &Name,
        database: &Name,
        address: SocketAddr,
    ) {
        let id = link.0;
        let ready = fwd_to!([cx], backend_ready(id) as (Ready));
        let socket =
            connect(address).and_then(|stream| BufferedSocket::new(&self.poll, stream, ready));
        match socket {
            Ok(mut socket) => {
                P::Codec::write_startup(cluster, &self.node, database, &mut socket.output);
                let backend = BackendSocket {
                    socket,
                    opened: false,
                    expected: Default::default(),
                    rows: Vec::new(),
                    end: None,
                };
                self.backends.insert(id, backend);
                self.dirty_backends.push(id);
            }
            Err(error) => {
                let fields = vec![("error", error.to_string().into())];
                log::warn!("{}", event_line("connect_failed", fields));
                // The gate is not called within its own actions.
                let lost = fwd_to!([cx], event() as (GateEvent));
                lost.fwd(GateEvent::LinkLost { link });
            }
        }
    }

    fn lose_link(&mut self, cx: CX![], id: u64) {
        if self.backends.remove(&id).is_some() {
            self.handle(cx, GateEvent::LinkLost { link: LinkId(id) });
        }
    }

    fn backend_ready(&mut self, cx: CX![], id: u64, _: Ready) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let outcome = backend.socket.fill(INPUT_LIMIT);
        let flushed = backend.socket.flush();
        self.read_answers(cx, id);
        if outcome == ReadOutcome::Ended || flushed.is_err() {
            self.lose_link(cx, id);
        }
        self.resume_clients(cx);
        self.flush_output(cx);
    }

    fn read_answers(&mut self, cx: CX![], id: u64) {
        let link = LinkId(id);
        while let Some(backend) = self.backends.get_mut(&id) {
            let message = match P::Codec::read_backend(&mut backend.socket.input) {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(error) => {
                    let fields = vec![("link", id.into()), ("error", error.to_string().into())];
                    log::warn!("{}", event_line("answer_malformed", fields));
                    return self.lose_link(cx, id);
                }
            };
            match message {
                BackendMessage::Row(row) => {
                    if backend.rows.len() >= ROWS_LIMIT || !backend.opened {
                        return self.lose_link(cx, id);
                    }
                    backend.rows.push(row);
                }
                BackendMessage::Done(signature) => backend.end = Some(AnswerEnd::Done(signature)),
                BackendMessage::Error { code, .. } if !backend.opened => {
                    self.backends.remove(&id);
                    self.handle(cx, GateEvent::LinkRefused { link, code });
                }
                BackendMessage::Error { code, text } => {
                    backend.end = Some(AnswerEnd::Failed { code, text });
                }
                BackendMessage::Ready { point, .. } if !backend.opened => {
                    backend.opened = true;
                    self.handle(cx, GateEvent::LinkOpened { link, point });
                }
                BackendMessage::Ready { state, point } => {
                    let (Some(end), Some(reports)) =
                        (backend.end.take(), backend.expected.pop_front())
                    else {
                        log::warn!("\"event\":\"answer_unexpected\",\"link\":{id}");
                        return self.lose_link(cx, id);
                    };
                    let rows = std::mem::take(&mut backend.rows);
                    let report = if reports { P::Codec::read_report(&rows) } else { None };
                    let answer = Box::new(BackendAnswer { rows, end, state, point, report });
                    self.handle(cx, GateEvent::LinkAnswered { link, answer });
                }
            }
        }
    }
}

fn asks_report(command: &BackendCommand) -> bool {
    matches!(
        command,
        BackendCommand::Report | BackendCommand::Fence { .. } | BackendCommand::Demote { .. }
    )
}
