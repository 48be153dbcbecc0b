//! An I/O driver for tests: runs several nodes in virtual time against fake databases, without sockets.

#![allow(dead_code, clippy::unwrap_used)]

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use admit::ConnectionId;
use config::ChangeEnvelope;
use failover::{DatabaseReport, DatabaseRole};
use member::PlatformVm;
use model::{LogPosition, Micros, Name, NodeSettings, Term};
use node::*;

pub const NETWORK_DELAY: Micros = Micros::from_millis(1);

/// A fake backend server.
#[derive(Clone, Debug)]
pub struct FakeDatabase {
    pub primary: bool,
    pub term: u64,
    pub log_term: u64,
    pub received: u64,
    pub applied: u64,
    pub term_start: u64,
    pub previous_term: u64,
    /// Refuses connections and requests.
    pub down: bool,
    /// Answers nothing.
    pub frozen: bool,
    /// Receives log but does not apply it.
    pub lags: bool,
    pub service_time: Micros,
    /// Loses the connection at the next statement that contains this text: after its effect if true,
    /// else before it.
    pub lose_next: Option<(&'static str, bool)>,
    /// Held answers exceed the size limit, so that their rows are relayed.
    pub large_answers: bool,
}

#[derive(Clone, Debug, Default)]
struct Connection {
    database: String,
    state: TransactionState,
    writes: Vec<String>,
    keys: Vec<(String, String, String, Option<String>)>,
}

#[derive(Clone, Debug)]
struct BackendExchange {
    session: Option<(usize, SessionId)>,
    mode: RelayMode,
    text: String,
    finished: bool,
    decided: bool,
}

#[derive(Clone, Debug)]
pub struct RequestEnd {
    pub at: Micros,
    pub error: Option<ErrorReply>,
    pub notices: Vec<ErrorReply>,
    pub token: Option<String>,
    pub frames: Vec<u8>,
    pub transaction: TransactionState,
    /// Texts whose answers were relayed for this request.
    pub relayed: Vec<String>,
}

impl RequestEnd {
    pub fn code(&self) -> &str {
        self.error.as_ref().map_or("", |error| &error.code)
    }
}

enum ScheduledItem {
    Event(usize, NodeEvent),
    Execute {
        node: usize,
        connection: ConnectionId,
        exchange: ExchangeId,
        text: String,
        mode: RelayMode,
    },
    Replicate {
        database: String,
        term: u64,
        position: u64,
    },
    Report {
        node: usize,
        database: String,
        action: NodeAction,
    },
    Heartbeat {
        from: usize,
        to: String,
        heartbeat: member::Heartbeat,
    },
    Pull {
        from: usize,
        to: String,
        document: Option<Name>,
    },
    View {
        from: usize,
        to: String,
        cluster: Name,
    },
}

pub struct Driver {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub names: Vec<String>,
    pub killed: Vec<bool>,
    items: BTreeMap<(Micros, u64), ScheduledItem>,
    sequence: u64,
    /// Number of events that nodes handled.
    pub handled_events: u64,
    pub databases: BTreeMap<String, FakeDatabase>,
    connections: HashMap<(usize, ConnectionId), Connection>,
    exchanges: HashMap<(usize, ExchangeId), BackendExchange>,
    /// Entry node and its call, by owner and the owner's call; `outgoing` is the reverse.
    incoming: HashMap<(usize, CallId), (usize, CallId, SessionId)>,
    outgoing: HashMap<(usize, CallId), (usize, CallId)>,
    /// Owner and its lane, by entry node and the entry node's lane; `entry_lanes` is the reverse.
    lanes: HashMap<(usize, LaneId), (usize, LaneId)>,
    entry_lanes: HashMap<(usize, LaneId), (usize, LaneId)>,
    records: HashMap<Name, (Arc<[u8]>, u64)>,
    pub keys: BTreeMap<(String, String), (String, Option<String>)>,
    /// Committed writes: the database and the text.
    pub committed: Vec<(String, String)>,
    /// Client statements that reached a backend server: the database and the text.
    pub received_statements: Vec<(String, String)>,
    pub finishes: HashMap<(usize, SessionId), Vec<RequestEnd>>,
    relayed: HashMap<(usize, SessionId), Vec<String>>,
    pub accepted: Vec<(usize, SessionId)>,
    pub refused: Vec<(usize, SessionId, ErrorReply)>,
    pub closed: Vec<(usize, SessionId, Option<ErrorReply>)>,
    pub shut_down: Vec<usize>,
    pub logs: Vec<String>,
    /// Supervisors that fenced a database, in order.
    pub fenced_by: Vec<Name>,
    pub config: Vec<u8>,
    pub platform_down: bool,
}

fn settings(name: &str, index: usize) -> NodeSettings {
    let address = |port: usize| format!("127.0.0.1:{}", port + index).parse().unwrap();
    NodeSettings {
        name: name.into(),
        data_centre: "dc1".into(),
        caller_address: address(1_000),
        peer_address: address(2_000),
        admin_address: address(3_000),
        platform_address: address(4_000),
        peers: Vec::new(),
        metrics_address: None,
        database_user: "proxy".into(),
        caller_limit: 100,
        request_limit_bytes: 1 << 20,
        drain_timeout: Micros::from_secs(5),
        log_level: "info".into(),
    }
}

/// Returns a configuration of three databases in one cluster.
pub fn fleet_text(extra: &str) -> String {
    let databases: Vec<String> = (1..=3)
        .map(|n| {
            format!(
                r#"{{ "name": "db{n}", "data_centre": "dc1", "address": "10.0.0.{n}:5432",
                     "labels": {{ "disk": "fast" }}, "slots": 2, "connections": 8 }}"#
            )
        })
        .collect();
    format!(
        r#"{{ "clusters": [{{ "name": "billing", "databases": [{}] }}],
           "callers": [{{ "matches": "user=kiosk", "labels": {{ "kind": "vendor" }} }}],
           "selectors": [
             {{ "name": "purchases", "matches": "kind=vendor", "rank": "urgent", "durable": true,
                "deadline_ms": 20000 }},
             {{ "name": "aged", "matches": "kind=aged", "max_age_ms": 2000, "deadline_ms": 3000 }},
             {{ "name": "short", "matches": "kind=short", "deadline_ms": 500 }} ] {extra} }}"#,
        databases.join(", ")
    )
}

pub fn envelope(revision: u64, text: &str) -> Vec<u8> {
    ChangeEnvelope {
        revision,
        change_id: revision.to_string(),
        author: "test".to_string(),
        written_at: 0,
        text: text.to_string(),
    }
    .to_bytes()
}

pub const TOKEN_KEYS: &[u8] =
    br#"[{"id":1,"secret":"0101010101010101010101010101010101010101010101010101010101010101"}]"#;

impl Driver {
    /// Starts nodes `n1` to `nN` and the databases `db1` (primary) to `db3`, and runs them for 5 s.
    pub fn start(count: usize) -> Self {
        let mut driver = Driver::start_unsettled(count, 1);
        driver.advance(Micros::from_secs(5));
        driver
    }

    /// Like [`Driver::start`], but without the 5 s. With term 0 no database is a primary.
    pub fn start_unsettled(count: usize, term: u64) -> Self {
        let names: Vec<String> = (1..=count).map(|n| format!("n{n}")).collect();
        let nodes = names.iter().enumerate();
        let nodes =
            nodes.map(|(at, name)| Node::new(settings(name, at), 1, at as u64 + 7)).collect();
        let mut driver = Driver {
            now: Micros::from_secs(100),
            nodes,
            killed: vec![false; count],
            names,
            items: BTreeMap::new(),
            sequence: 0,
            handled_events: 0,
            databases: BTreeMap::new(),
            connections: HashMap::new(),
            exchanges: HashMap::new(),
            incoming: HashMap::new(),
            outgoing: HashMap::new(),
            lanes: HashMap::new(),
            entry_lanes: HashMap::new(),
            records: HashMap::new(),
            keys: BTreeMap::new(),
            committed: Vec::new(),
            received_statements: Vec::new(),
            finishes: HashMap::new(),
            relayed: HashMap::new(),
            accepted: Vec::new(),
            refused: Vec::new(),
            closed: Vec::new(),
            shut_down: Vec::new(),
            logs: Vec::new(),
            fenced_by: Vec::new(),
            config: envelope(1, &fleet_text("")),
            platform_down: false,
        };
        for n in 1..=3 {
            let database = FakeDatabase {
                primary: n == 1 && term > 0,
                term,
                log_term: term,
                received: 100,
                applied: 100,
                term_start: 0,
                previous_term: 0,
                down: false,
                frozen: false,
                lags: false,
                service_time: Micros::from_millis(2),
                lose_next: None,
                large_answers: false,
            };
            driver.databases.insert(format!("db{n}"), database);
        }
        for node in 0..count {
            driver.vm_list(node);
        }
        driver
    }

    /// Replaces a node that has not run yet by a later process of the same name.
    pub fn replace_process(&mut self, node: usize, incarnation: u64) {
        let settings = settings(&self.names[node], node);
        self.nodes[node] = Node::new(settings, incarnation, node as u64 + 7);
    }

    fn vm_list(&mut self, node: usize) {
        let rows = self.names.iter().enumerate().map(|(at, name)| {
            let settings = settings(name, at);
            PlatformVm {
                name: settings.name,
                data_centre: settings.data_centre,
                peer_address: settings.peer_address,
                admin_address: settings.admin_address,
                leaving: false,
            }
        });
        let rows = PlatformAnswer::VmList(rows.collect());
        self.schedule_event(NETWORK_DELAY, node, NodeEvent::PlatformAnswered(rows));
    }

    fn schedule(&mut self, after: Micros, item: ScheduledItem) {
        self.sequence += 1;
        self.items.insert((self.now + after, self.sequence), item);
    }

    fn schedule_event(&mut self, after: Micros, node: usize, event: NodeEvent) {
        self.schedule(after, ScheduledItem::Event(node, event));
    }

    fn index(&self, name: &str) -> usize {
        self.names.iter().position(|other| other == name).unwrap()
    }

    /// Passes an event to a node at the current time.
    pub fn handle_event(&mut self, node: usize, event: NodeEvent) {
        if self.killed[node] {
            return;
        }
        self.handled_events += 1;
        assert!(self.handled_events < 400_000, "too many events; {}", self.logs.join("\n"));
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute_action(node, action);
        }
    }

    /// Runs all events until `span` has passed.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        let mut events_at_now = 0;
        loop {
            let item = self.items.first_key_value().map(|((at, _), _)| *at);
            let alive = self.nodes.iter().enumerate().filter(|(at, _)| !self.killed[*at]);
            let timer =
                alive.filter_map(|(at, node)| Some((node.next_timer()?.max(self.now), at))).min();
            let next = match (item, timer) {
                (Some(item), Some((timer, _))) => item.min(timer),
                (Some(item), None) => item,
                (None, Some((timer, _))) => timer,
                (None, None) => end,
            };
            if next > end || (item.is_none() && timer.is_none()) {
                self.now = end;
                return;
            }
            events_at_now = if next > self.now { 0 } else { events_at_now + 1 };
            assert!(events_at_now < 20_000, "too many events at time {}", self.now);
            self.now = next;
            if item == Some(next) {
                let (_, item) = self.items.pop_first().unwrap();
                self.run_item(item);
            } else if let Some((_, node)) = timer {
                self.handle_event(node, NodeEvent::Timer);
            }
        }
    }

    fn run_item(&mut self, item: ScheduledItem) {
        match item {
            ScheduledItem::Event(node, event) => self.handle_event(node, event),
            ScheduledItem::Execute { node, connection, exchange, text, mode } => {
                self.execute(node, connection, exchange, &text, mode);
            }
            ScheduledItem::Replicate { database, term, position } => {
                let database = self.databases.get_mut(&database).unwrap();
                if !database.down && !database.frozen && database.term == term && !database.primary
                {
                    database.received = database.received.max(position);
                    database.log_term = term;
                    if !database.lags {
                        database.applied = database.received;
                    }
                }
            }
            ScheduledItem::Report { node, database, action } => {
                self.report(node, &database, action)
            }
            ScheduledItem::Heartbeat { from, to, heartbeat } => {
                let peer = self.index(&to);
                if self.killed[peer] || self.killed[from] {
                    let event = NodeEvent::HeartbeatFailed { to: to.as_str().into() };
                    return self.schedule_event(Micros::from_millis(500), from, event);
                }
                self.handle_event(peer, NodeEvent::HeartbeatArrived(heartbeat));
                if let Some(answer) = self.nodes[peer].heartbeat() {
                    self.schedule_event(NETWORK_DELAY, from, NodeEvent::HeartbeatAnswered(answer));
                }
            }
            ScheduledItem::Pull { from, to, document } => {
                let peer = self.index(&to);
                if self.killed[peer] {
                    return;
                }
                let event = match document {
                    None => Some(NodeEvent::TableArrived(self.nodes[peer].members())),
                    Some(document) => {
                        self.nodes[peer].document(&document).map(|(revision, bytes)| {
                            NodeEvent::DocumentArrived { document, revision, bytes }
                        })
                    }
                };
                if let Some(event) = event {
                    self.schedule_event(NETWORK_DELAY, from, event);
                }
            }
            ScheduledItem::View { from, to, cluster } => {
                let peer = self.index(&to);
                let view = match self.killed[peer] {
                    true => None,
                    false => self.nodes[peer].view(self.now, &cluster),
                };
                let event = NodeEvent::ViewAnswered { cluster, from: to.as_str().into(), view };
                self.schedule_event(NETWORK_DELAY, from, event);
            }
        }
    }

    fn execute_action(&mut self, node: usize, action: NodeAction) {
        match action {
            NodeAction::AcceptSession { session, .. } => self.accepted.push((node, session)),
            NodeAction::RefuseSession { session, error } => {
                self.refused.push((node, session, error));
            }
            NodeAction::CloseSession { session, error } => {
                self.closed.push((node, session, error));
            }
            NodeAction::FinishRequest { session, token, notices, error, frames, transaction } => {
                let relayed = self.relayed.remove(&(node, session)).unwrap_or_default();
                let frames = frames.to_vec();
                let at = self.now;
                let finish = RequestEnd { at, error, notices, token, frames, transaction, relayed };
                self.finishes.entry((node, session)).or_default().push(finish);
            }
            NodeAction::OpenBackend { connection, database, .. } => {
                let found = self.databases.get(&*database).cloned().unwrap();
                let backend =
                    Connection { database: database.to_string(), ..Connection::default() };
                self.connections.insert((node, connection), backend);
                let event = match found.down {
                    true => NodeEvent::BackendLost { connection, message: "refused".into() },
                    false => NodeEvent::BackendOpened { connection },
                };
                if !found.frozen {
                    self.schedule_event(Micros::from_millis(12), node, event);
                }
            }
            NodeAction::CloseBackend { connection } => {
                self.connections.remove(&(node, connection));
            }
            NodeAction::StartExchange { connection, exchange, frames, mode } => {
                self.start_exchange(node, connection, exchange, &frames, mode);
            }
            NodeAction::CancelExchange { connection, exchange } => {
                self.cancel_exchange(node, connection, exchange)
            }
            NodeAction::Relay { exchange } => {
                let backend_exchange = self.exchanges.get_mut(&(node, exchange)).unwrap();
                assert!(!backend_exchange.decided, "a second decision about an exchange");
                backend_exchange.decided = true;
                let (target, text) = (backend_exchange.session, backend_exchange.text.clone());
                self.relayed.entry(target.unwrap()).or_default().push(text);
            }
            NodeAction::Discard { exchange } => {
                if let Some(backend_exchange) = self.exchanges.get_mut(&(node, exchange)) {
                    backend_exchange.decided = true;
                }
            }
            NodeAction::RequestReport { ref database, .. }
            | NodeAction::RequestFence { ref database, .. }
            | NodeAction::RequestPromotion { ref database, .. }
            | NodeAction::RequestFollow { ref database, .. } => {
                let database = database.to_string();
                self.schedule(NETWORK_DELAY, ScheduledItem::Report { node, database, action });
            }
            NodeAction::SendHeartbeat { to, heartbeat } => {
                let to = to.name.to_string();
                self.schedule(
                    NETWORK_DELAY,
                    ScheduledItem::Heartbeat { from: node, to, heartbeat },
                );
            }
            NodeAction::PullTable { from } => {
                let to = from.name.to_string();
                self.schedule(
                    NETWORK_DELAY,
                    ScheduledItem::Pull { from: node, to, document: None },
                );
            }
            NodeAction::PullDocument { from, document } => {
                let to = from.name.to_string();
                self.schedule(
                    NETWORK_DELAY,
                    ScheduledItem::Pull { from: node, to, document: Some(document) },
                );
            }
            NodeAction::RequestView { to, cluster } => {
                let to = to.name.to_string();
                self.schedule(NETWORK_DELAY, ScheduledItem::View { from: node, to, cluster });
            }
            NodeAction::Forward { call, session, to, lane, request } => {
                let peer = self.index(&to.name);
                if self.killed[peer] {
                    let event = NodeEvent::ForwardFailed { call, sent: false };
                    return self.schedule_event(NETWORK_DELAY, node, event);
                }
                self.sequence += 1;
                let incoming = CallId(1_000_000 + self.sequence);
                self.incoming.insert((peer, incoming), (node, call, session));
                self.outgoing.insert((node, call), (peer, incoming));
                let lane = lane.map(|lane| self.lanes[&(node, lane)].1);
                let from = self.names[node].as_str().into();
                let event = NodeEvent::ForwardArrived { call: incoming, from, lane, request };
                self.schedule_event(NETWORK_DELAY, peer, event);
            }
            NodeAction::CancelForward { call } => {
                if let Some((peer, incoming)) = self.outgoing.get(&(node, call)).copied() {
                    let event = NodeEvent::ForwardCancelled { call: incoming };
                    self.schedule_event(NETWORK_DELAY, peer, event);
                }
            }
            NodeAction::AnswerForward { call, reply, lane } => {
                let Some((entry, call, _)) = self.incoming.remove(&(node, call)) else { return };
                self.outgoing.remove(&(entry, call));
                let lane = lane.map(|lane| self.entry_lane(entry, node, lane));
                let event = NodeEvent::ForwardAnswered { call, reply, lane };
                self.schedule_event(NETWORK_DELAY, entry, event);
            }
            NodeAction::DropLane { lane } => {
                if let Some((owner, owned)) = self.lanes.remove(&(node, lane)) {
                    self.entry_lanes.remove(&(owner, owned));
                    self.schedule_event(
                        NETWORK_DELAY,
                        owner,
                        NodeEvent::LaneDropped { lane: owned },
                    );
                }
            }
            NodeAction::WatchPlatform(true) if !self.platform_down => {
                self.vm_list(node);
                for (document, bytes) in
                    [("config", self.config.clone()), ("token-keys", TOKEN_KEYS.to_vec())]
                {
                    let bytes = Some(bytes.into());
                    let answer = PlatformAnswer::Document { document: document.into(), bytes };
                    self.schedule_event(NETWORK_DELAY, node, NodeEvent::PlatformAnswered(answer));
                }
            }
            NodeAction::WatchPlatform(_) => {}
            NodeAction::ReadRecord { cluster } => {
                let answer = match (self.platform_down, self.records.get(&cluster)) {
                    (true, _) => PlatformAnswer::RecordFailed { cluster },
                    (false, Some((bytes, index))) => PlatformAnswer::RecordRead {
                        cluster,
                        bytes: Some(bytes.clone()),
                        index: *index,
                    },
                    (false, None) => PlatformAnswer::RecordRead { cluster, bytes: None, index: 0 },
                };
                self.schedule_event(NETWORK_DELAY, node, NodeEvent::PlatformAnswered(answer));
            }
            NodeAction::WriteRecord { cluster, expected_index, bytes } => {
                let held = self.records.get(&cluster).map_or(0, |(_, index)| *index);
                let applied = held == expected_index && !self.platform_down;
                if applied {
                    self.records.insert(cluster.clone(), (bytes, held + 1));
                }
                let answer = match self.platform_down {
                    true => PlatformAnswer::RecordFailed { cluster },
                    false => PlatformAnswer::RecordWritten { cluster, applied },
                };
                self.schedule_event(NETWORK_DELAY, node, NodeEvent::PlatformAnswered(answer));
            }
            NodeAction::ShutdownComplete => self.shut_down.push(node),
            NodeAction::Log { message, .. } => {
                self.logs.push(format!("{} {}: {message}", self.now, self.names[node]));
            }
            NodeAction::Count { .. } => {}
        }
    }

    fn entry_lane(&mut self, entry: usize, owner: usize, lane: LaneId) -> LaneId {
        if let Some((_, known)) = self.entry_lanes.get(&(owner, lane)) {
            return *known;
        }
        self.sequence += 1;
        let known = LaneId(2_000_000 + self.sequence);
        self.lanes.insert((entry, known), (owner, lane));
        self.entry_lanes.insert((owner, lane), (entry, known));
        known
    }

    fn start_exchange(
        &mut self,
        node: usize,
        connection: ConnectionId,
        exchange: ExchangeId,
        frames: &[u8],
        mode: RelayMode,
    ) {
        assert_eq!(frames[0], b'Q');
        let text = String::from_utf8(frames[5..frames.len() - 1].to_vec()).unwrap();
        let target = match mode {
            RelayMode::Collect => None,
            RelayMode::Decide(target) | RelayMode::Hold(target) | RelayMode::Stream(target) => {
                Some(target)
            }
        };
        let session = target.and_then(|target| match target {
            AnswerTarget::Session(session) => Some((node, session)),
            AnswerTarget::Call(call) => {
                self.incoming.get(&(node, call)).map(|(entry, _, session)| (*entry, *session))
            }
        });
        let backend = &self.connections[&(node, connection)];
        let database = backend.database.clone();
        if target.is_some() {
            self.received_statements.push((database.clone(), text.clone()));
        }
        let backend_exchange =
            BackendExchange { session, mode, text: text.clone(), finished: false, decided: false };
        self.exchanges.insert((node, exchange), backend_exchange);
        let after = NETWORK_DELAY + self.databases[&database].service_time;
        self.schedule(after, ScheduledItem::Execute { node, connection, exchange, text, mode });
    }

    fn cancel_exchange(&mut self, node: usize, connection: ConnectionId, exchange: ExchangeId) {
        let Some(backend_exchange) = self.exchanges.get_mut(&(node, exchange)) else { return };
        let Some(backend) = self.connections.get_mut(&(node, connection)) else { return };
        let found = &self.databases[&backend.database];
        if backend_exchange.finished || found.frozen || found.down {
            return;
        }
        backend_exchange.finished = true;
        if backend.state == TransactionState::Open {
            backend.state = TransactionState::Failed;
        }
        let error = ErrorReply { code: "57014".into(), message: "canceled".into() };
        let transaction = backend.state;
        let summary =
            ExchangeSummary { transaction, error: Some(error), ..ExchangeSummary::default() };
        self.schedule_event(
            NETWORK_DELAY,
            node,
            NodeEvent::ExchangeFinished { connection, exchange, summary },
        );
    }

    fn execute(
        &mut self,
        node: usize,
        connection: ConnectionId,
        exchange: ExchangeId,
        text: &str,
        mode: RelayMode,
    ) {
        let Some(mut backend) = self.connections.remove(&(node, connection)) else { return };
        let backend_exchange = self.exchanges.get_mut(&(node, exchange)).unwrap();
        let found = self.databases[&backend.database].clone();
        if backend_exchange.finished || found.frozen {
            self.connections.insert((node, connection), backend);
            return;
        }
        backend_exchange.finished = true;
        if found.large_answers && matches!(mode, RelayMode::Hold(_)) {
            self.schedule_event(
                NETWORK_DELAY,
                node,
                NodeEvent::HeldRowsRelayed { connection, exchange },
            );
        }
        let lost = found.lose_next.filter(|(part, _)| text.contains(part));
        if found.down || lost.is_some_and(|(_, after)| !after) {
            self.databases.get_mut(&backend.database).unwrap().lose_next = None;
            let event = NodeEvent::BackendLost { connection, message: "connection reset".into() };
            return self.schedule_event(NETWORK_DELAY, node, event);
        }
        let mut summary = ExchangeSummary::default();
        for statement in text.split(';').map(str::trim).filter(|part| !part.is_empty()) {
            if let Err(code) = self.statement(&mut backend, statement, &mut summary) {
                if backend.state == TransactionState::Open {
                    backend.state = TransactionState::Failed;
                }
                summary.error = Some(ErrorReply { code: code.into(), message: String::new() });
                break;
            }
        }
        summary.transaction = backend.state;
        if lost.is_some() {
            self.databases.get_mut(&backend.database).unwrap().lose_next = None;
            let event = NodeEvent::BackendLost { connection, message: "connection reset".into() };
            return self.schedule_event(NETWORK_DELAY, node, event);
        }
        if matches!(mode, RelayMode::Decide(_)) && summary.error.is_none() {
            self.schedule_event(
                NETWORK_DELAY,
                node,
                NodeEvent::AnswerStarted { connection, exchange },
            );
        }
        if let RelayMode::Stream(_) = mode
            && let Some(target) = self.exchanges[&(node, exchange)].session
        {
            self.relayed.entry(target).or_default().push(text.to_string());
        }
        self.connections.insert((node, connection), backend);
        self.schedule_event(
            NETWORK_DELAY,
            node,
            NodeEvent::ExchangeFinished { connection, exchange, summary },
        );
    }

    fn statement(
        &mut self,
        backend: &mut Connection,
        text: &str,
        summary: &mut ExchangeSummary,
    ) -> Result<(), &'static str> {
        let primary = self.databases[&backend.database].primary;
        let text = match text.split_once("*/") {
            Some((_, rest)) => rest.trim(),
            None => text,
        };
        let word = text.split_whitespace().next().unwrap().to_uppercase();
        if backend.state == TransactionState::Failed && word != "COMMIT" && word != "ROLLBACK" {
            return Err("25P02");
        }
        let quoted: Vec<String> = text.split('\'').skip(1).step_by(2).map(str::to_string).collect();
        let mut tag = word.clone();
        match word.as_str() {
            "BEGIN" => backend.state = TransactionState::Open,
            "COMMIT" | "ROLLBACK" => {
                let commits = word == "COMMIT" && backend.state == TransactionState::Open;
                if !commits {
                    tag = "ROLLBACK".to_string();
                    backend.writes.clear();
                    backend.keys.clear();
                }
                backend.state = TransactionState::Idle;
                self.commit(backend);
            }
            "INSERT" | "UPDATE" | "DELETE" | "CREATE" if !primary => return Err("25006"),
            "INSERT" if text.contains("fail") => return Err("23514"),
            "INSERT" if text.contains("cicadawick_requests") => {
                if self.keys.contains_key(&(quoted[0].clone(), quoted[1].clone())) {
                    return Err("23505");
                }
                let [key, caller, hash] = quoted.try_into().unwrap();
                backend.keys.push((key, caller, hash, None));
            }
            "UPDATE" if text.contains("cicadawick_requests") => {
                backend.keys.last_mut().unwrap().3 = Some(quoted[0].clone());
            }
            "SELECT" if text.contains("cicadawick_requests") => {
                let row = self.keys.get(&(quoted[0].clone(), quoted[1].clone())).cloned();
                if let Some((hash, outcome)) = row {
                    summary.first_row = vec![outcome, Some(hash)];
                }
            }
            "INSERT" | "UPDATE" | "DELETE" => {
                backend.writes.push(text.to_string());
                tag = format!("{word} 0 1");
                if backend.state == TransactionState::Idle {
                    self.commit(backend);
                }
            }
            _ => {}
        }
        summary.command_tag = Some(tag);
        Ok(())
    }

    fn commit(&mut self, backend: &mut Connection) {
        for (key, caller, hash, outcome) in backend.keys.drain(..) {
            self.keys.insert((key, caller), (hash, outcome));
        }
        if backend.writes.is_empty() {
            return;
        }
        for text in backend.writes.drain(..) {
            self.committed.push((backend.database.clone(), text));
        }
        let primary = self.databases.get_mut(&backend.database).unwrap();
        primary.received += 10;
        primary.applied = primary.received;
        let (term, position) = (primary.term, primary.received);
        let others: Vec<String> =
            self.databases.keys().filter(|name| **name != backend.database).cloned().collect();
        for database in others {
            self.schedule(NETWORK_DELAY, ScheduledItem::Replicate { database, term, position });
        }
    }

    fn report(&mut self, node: usize, name: &str, action: NodeAction) {
        let database = self.databases.get_mut(name).unwrap();
        if database.frozen {
            return;
        }
        let id = match &action {
            NodeAction::RequestReport { id, .. }
            | NodeAction::RequestFence { id, .. }
            | NodeAction::RequestPromotion { id, .. }
            | NodeAction::RequestFollow { id, .. } => *id,
            _ => return,
        };
        if database.down {
            return self.schedule_event(NETWORK_DELAY, node, NodeEvent::ReportFailed { id });
        }
        if let NodeAction::RequestFence { by, .. } = &action {
            self.fenced_by.push(by.clone());
        }
        let mut accepted = false;
        match &action {
            NodeAction::RequestFence { term, .. } if term.0 > database.term => {
                database.term = term.0;
                database.primary = false;
                accepted = true;
            }
            NodeAction::RequestPromotion { term, .. }
                if term.0 == database.term && !database.primary =>
            {
                database.primary = true;
                database.term_start = database.received;
                database.previous_term = database.log_term;
                database.log_term = database.term;
                database.applied = database.received;
            }
            NodeAction::RequestFollow { term, leader, .. } => self.follow(name, term.0, leader),
            _ => {}
        }
        let database = &self.databases[name];
        let role = if database.primary { DatabaseRole::Primary } else { DatabaseRole::Replica };
        let report = DatabaseReport {
            term: Term(database.term),
            role,
            log_term: Term(database.log_term),
            received: LogPosition(database.received),
            applied: LogPosition(database.applied),
            term_start: LogPosition(database.term_start),
            previous_term: Term(database.previous_term),
        };
        let event = match action {
            NodeAction::RequestFence { .. } => NodeEvent::FenceAnswered { id, accepted, report },
            NodeAction::RequestPromotion { .. } => {
                NodeEvent::PromoteAnswered { id, start: report.term_start }
            }
            _ => NodeEvent::ReportArrived { id, report },
        };
        self.schedule_event(NETWORK_DELAY, node, event);
    }

    /// Copies the leader's log, which drops entries that the leader does not have.
    fn follow(&mut self, name: &str, term: u64, leader: &str) {
        let source = self.databases[leader].clone();
        let database = self.databases.get_mut(name).unwrap();
        if term < database.term || (term == database.term && database.primary) {
            return;
        }
        database.term = term;
        database.primary = false;
        if source.primary && source.term == term && !source.down && !source.frozen {
            database.received = source.received;
            database.log_term = source.log_term;
            if !database.lags {
                database.applied = source.received;
            }
        }
    }

    /// Opens a session and returns its identifier.
    pub fn open(&mut self, node: usize, user: &str, extra: &[(&str, &str)]) -> SessionId {
        self.sequence += 1;
        let session = SessionId(self.sequence);
        let mut parameters = vec![("user", user), ("database", "billing")];
        parameters.extend_from_slice(extra);
        let start = SessionStart {
            parameters: parameters
                .into_iter()
                .map(|(name, value)| (name.into(), value.to_string()))
                .collect(),
            address: "10.9.9.9".into(),
        };
        self.handle_event(node, NodeEvent::SessionOpened { session, start });
        session
    }

    /// Sends a simple query.
    pub fn send(&mut self, node: usize, session: SessionId, text: &str) {
        self.handle_event(node, NodeEvent::RequestArrived { session, request: simple(text) });
    }

    /// Sends a simple query and waits for its end.
    pub fn query(&mut self, node: usize, session: SessionId, text: &str) -> RequestEnd {
        let before = self.finishes.get(&(node, session)).map_or(0, Vec::len);
        self.send(node, session, text);
        for _ in 0..60_000 {
            if let Some(finish) =
                self.finishes.get(&(node, session)).and_then(|finishes| finishes.get(before))
            {
                return finish.clone();
            }
            self.advance(NETWORK_DELAY);
        }
        panic!("no end of {text:?}; {}", self.dump(node));
    }

    pub fn dump(&self, node: usize) -> serde_json::Value {
        self.nodes[node].answer(self.now, &OperatorQuery::Dump)
    }

    /// Stops a database and breaks its connections.
    pub fn crash(&mut self, name: &str) {
        self.databases.get_mut(name).unwrap().down = true;
        let mut lost: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, backend)| backend.database == name)
            .map(|(key, _)| *key)
            .collect();
        lost.sort();
        for (node, connection) in lost {
            self.connections.remove(&(node, connection));
            let event = NodeEvent::BackendLost { connection, message: "reset".into() };
            self.schedule_event(NETWORK_DELAY, node, event);
        }
    }

    /// Stops a node without a graceful shutdown.
    pub fn kill(&mut self, node: usize) {
        self.killed[node] = true;
        self.connections.retain(|(owner, _), _| *owner != node);
        let calls: Vec<_> = self
            .outgoing
            .iter()
            .filter(|(_, (peer, _))| *peer == node)
            .map(|((entry, call), _)| (*entry, *call))
            .collect();
        for (entry, call) in calls {
            self.schedule_event(
                NETWORK_DELAY,
                entry,
                NodeEvent::ForwardFailed { call, sent: true },
            );
        }
        let lanes: Vec<_> = self
            .lanes
            .iter()
            .filter(|((entry, _), _)| *entry == node)
            .map(|(_, owned)| *owned)
            .collect();
        for (owner, lane) in lanes {
            self.schedule_event(NETWORK_DELAY, owner, NodeEvent::LaneDropped { lane });
        }
    }

    /// Returns the node that owns a database according to the first running node.
    pub fn owner_of(&self, database: &str) -> usize {
        let node = (0..self.nodes.len()).find(|at| !self.killed[*at]).unwrap();
        let query = OperatorQuery::Explain {
            attributes: Default::default(),
            labels: Default::default(),
            cluster: "billing".into(),
        };
        let answer = self.nodes[node].answer(self.now, &query);
        self.index(answer["databases"][database]["owner"].as_str().unwrap())
    }

    /// Returns a node that does not own the database.
    pub fn non_owner_of(&self, database: &str) -> usize {
        let owner = self.owner_of(database);
        (0..self.nodes.len()).find(|at| *at != owner && !self.killed[*at]).unwrap()
    }

    /// Returns the database of each received client statement that contains `part`.
    pub fn databases_reached_by(&self, part: &str) -> Vec<String> {
        let received = self.received_statements.iter().filter(|(_, text)| text.contains(part));
        received.map(|(database, _)| database.clone()).collect()
    }

    pub fn count_commits(&self, part: &str) -> usize {
        self.committed.iter().filter(|(_, text)| text.contains(part)).count()
    }
}

pub fn simple(text: &str) -> ClientRequest {
    let mut frames = vec![b'Q'];
    frames.extend_from_slice(&(text.len() as u32 + 5).to_be_bytes());
    frames.extend_from_slice(text.as_bytes());
    frames.push(0);
    ClientRequest { kind: RequestKind::Simple, text: text.into(), frames: frames.into() }
}
