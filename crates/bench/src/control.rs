//! Control traffic and processor time of one node against simple fakes, in virtual time.
//!
//! The node is the real state machine. The benchmark answers for the other members, the databases and
//! the platform after 1 ms. The size of a message is that of its real encoding plus the envelope and
//! packet headers that [`crate::wire`] measures. Processor time covers the node's decisions and the
//! encoding of its heartbeats, but no system calls.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;

use config::ChangeEnvelope;
use failover::{
    ClusterMonitor, CommitId, DatabaseReport, DatabaseRole, LeaderView, MonitorAction,
    MonitorConfig, MonitorEvent,
};
use member::{Heartbeat, MemberConfig, MemberEvent, MemberInfo, MemberState, MemberTable};
use model::{LogPosition, Micros, Name, NodeSettings, Term};
use node::{Node, NodeAction, NodeEvent, PlatformAnswer};

use crate::meter;
use crate::wire::WireSizes;

/// Fleet sizes: number of members and number of databases.
pub const FLEET_SIZES: [(usize, usize); 4] = [(9, 9), (94, 90), (330, 340), (660, 680)];

/// Number of data centres at the target size.
const DATA_CENTRE_COUNT: usize = 7;

/// Number of databases in a cluster.
const DATABASES_PER_CLUSTER: usize = 3;

/// Number of selectors in the configuration.
const SELECTOR_COUNT: usize = 100;

/// Network delay between two processes, one way.
const NETWORK_DELAY: Micros = Micros::from_millis(1);

/// Virtual time that passes before counting starts.
const WARM_UP: Micros = Micros::from_secs(30);

/// Number of members in the same data centre that send heartbeats to a node.
const OBSERVER_COUNT: usize = 4;

/// Number of observers that have the node among the next two members of the ring.
const NEAR_OBSERVER_COUNT: usize = 2;

/// Name of the document with the operators' configuration.
const CONFIG_DOCUMENT: &str = "config";

/// Role of the node that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRole {
    /// Owns no database and is no watcher.
    Entry,
    /// Owns one database and is no watcher. At the target size a node owns 1.03 databases on average.
    Owner,
    /// Watcher of its data centre; owns at most one database.
    Watcher,
}

impl ControlRole {
    fn name(self) -> &'static str {
        match self {
            ControlRole::Entry => "entry proxy",
            ControlRole::Owner => "pool owner",
            ControlRole::Watcher => "watcher",
        }
    }
}

/// Messages and bytes of one kind of control message.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlTraffic {
    pub messages: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub struct ControlCount {
    pub seconds: f64,
    pub owned_databases: usize,
    pub traffic: BTreeMap<&'static str, ControlTraffic>,
    pub allocations: u64,
    pub processor_time: Duration,
    /// Heap bytes that the node holds.
    pub held_bytes: i64,
}

impl ControlCount {
    /// Returns bytes sent a second, of one kind of message or of all.
    pub fn sent_per_second(&self, kind: Option<&str>) -> f64 {
        self.sum(kind, |traffic| traffic.sent_bytes) as f64 / self.seconds
    }

    /// Returns bytes received a second, of one kind of message or of all.
    pub fn received_per_second(&self, kind: Option<&str>) -> f64 {
        self.sum(kind, |traffic| traffic.received_bytes) as f64 / self.seconds
    }

    /// Returns messages a second in both directions, of one kind or of all.
    pub fn messages_per_second(&self, kind: Option<&str>) -> f64 {
        self.sum(kind, |traffic| traffic.messages) as f64 / self.seconds
    }

    fn sum(&self, kind: Option<&str>, value: impl Fn(&ControlTraffic) -> u64) -> u64 {
        let matching =
            self.traffic.iter().filter(|(name, _)| kind.is_none_or(|kind| kind == **name));
        matching.map(|(_, traffic)| value(traffic)).sum()
    }
}

/// Events of a run in addition to heartbeats and report rounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlLoad {
    /// Interval between configuration changes.
    pub config_interval: Option<Micros>,
    /// Interval between member restarts.
    pub restart_interval: Option<Micros>,
    /// The primary of each cluster fails when counting starts.
    pub promotion: bool,
}

fn member_info(index: usize) -> MemberInfo {
    let address = |port: u16| ([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], port).into();
    MemberInfo {
        name: format!("vm-{index:04}").into(),
        data_centre: format!("north-{}", index % DATA_CENTRE_COUNT).into(),
        peer_address: address(7_400),
        admin_address: address(7_401),
        // Microseconds since 1970, as the daemon uses.
        incarnation: 1_800_000_000_000_000 + index as u64,
        state: MemberState::Alive,
    }
}

fn database_name(index: usize) -> String {
    let letter = ["a", "b", "c"][index % DATABASES_PER_CLUSTER];
    format!("billing-{}-{letter}", index / DATABASES_PER_CLUSTER)
}

fn database_data_centre(index: usize) -> String {
    format!(
        "north-{}",
        (index / DATABASES_PER_CLUSTER + index % DATABASES_PER_CLUSTER) % DATA_CENTRE_COUNT
    )
}

/// Returns the envelope of a configuration with `databases` databases in clusters of three.
pub fn fleet_document(databases: usize, revision: u64) -> Vec<u8> {
    let clusters: Vec<serde_json::Value> = (0..databases.div_ceil(DATABASES_PER_CLUSTER))
        .map(|cluster| {
            let databases: Vec<serde_json::Value> = (0..DATABASES_PER_CLUSTER)
                .map(|replica| {
                    let index = cluster * DATABASES_PER_CLUSTER + replica;
                    serde_json::json!({
                        "name": database_name(index),
                        "data_centre": database_data_centre(index),
                        "address": format!("10.1.{}.{}:5432", index / 250, index % 250 + 1),
                        "labels": { "disk": "fast" }, "slots": 5, "connections": 55,
                    })
                })
                .collect();
            serde_json::json!({ "name": format!("billing-{cluster}"), "databases": databases })
        })
        .collect();
    let selectors: Vec<serde_json::Value> = (0..SELECTOR_COUNT)
        .map(|index| {
            serde_json::json!({
                "name": format!("selector-{index}"),
                "matches": format!("kind in (kiosk, vendor), shop=shop-{index}"),
                "rank": "interactive", "max_age_ms": 5_000, "deadline_ms": 2_000,
                "servers": "disk=fast",
            })
        })
        .collect();
    // Pretty-printed, because operators write the configuration over several lines.
    let text = serde_json::json!({ "clusters": clusters, "selectors": selectors });
    ChangeEnvelope {
        revision,
        change_id: format!("{revision:032x}"),
        author: "operator@example.com".to_owned(),
        written_at: 1_800_000_000,
        text: serde_json::to_string_pretty(&text).unwrap_or_default(),
    }
    .to_bytes()
}

/// A backend server of a watched cluster.
#[derive(Clone, Copy, Debug)]
struct FakeDatabase {
    primary: bool,
    down: bool,
    term: u64,
    log_term: u64,
    term_start: u64,
}

impl FakeDatabase {
    fn report(&self) -> DatabaseReport {
        DatabaseReport {
            term: Term(self.term),
            role: if self.primary { DatabaseRole::Primary } else { DatabaseRole::Replica },
            log_term: Term(self.log_term),
            received: LogPosition(1_000),
            applied: LogPosition(1_000),
            term_start: LogPosition(self.term_start),
            previous_term: Term(self.log_term.saturating_sub(1)),
        }
    }
}

enum ScheduledEvent {
    Node(NodeEvent),
    Heartbeat(usize),
    ConfigChange(u64),
    MemberRestart(u64),
}

struct ControlBench<'a> {
    wire: &'a WireSizes,
    now: Micros,
    node: Node,
    members: Vec<MemberInfo>,
    /// Members that send heartbeats to the node.
    senders: Vec<usize>,
    databases: HashMap<Name, FakeDatabase>,
    database_count: usize,
    config_revision: u64,
    records: HashMap<Name, (std::sync::Arc<[u8]>, u64)>,
    scheduled: BTreeMap<(Micros, u64), ScheduledEvent>,
    sequence: u64,
    count: ControlCount,
}

impl ControlBench<'_> {
    fn schedule(&mut self, after: Micros, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.insert((self.now + after, self.sequence), event);
    }

    /// Runs `step` on the node and adds its processor time, allocations and held bytes to the counts.
    fn measure_node<T>(&mut self, step: impl FnOnce(&mut Node) -> T) -> T {
        let (allocations, held, time) =
            (meter::allocations(), meter::held_bytes(), meter::thread_time());
        let result = step(&mut self.node);
        self.count.processor_time += meter::thread_time().saturating_sub(time);
        self.count.allocations += meter::allocations() - allocations;
        self.count.held_bytes += meter::held_bytes() - held;
        result
    }

    fn handle_event(&mut self, event: NodeEvent) {
        let now = self.now;
        let actions = self.measure_node(|node| {
            let mut actions = Vec::new();
            node.handle(now, event, &mut actions);
            for action in &actions {
                if let NodeAction::SendHeartbeat { heartbeat, .. } = action {
                    std::hint::black_box(rpc::heartbeat_bytes(heartbeat));
                }
            }
            actions
        });
        for action in actions {
            self.execute_action(action);
        }
    }

    fn count_exchange(&mut self, kind: &'static str, sent: u64, received: u64) {
        let traffic = self.count.traffic.entry(kind).or_default();
        traffic.messages += 2;
        traffic.sent_bytes += sent;
        traffic.received_bytes += received;
    }

    fn execute_action(&mut self, action: NodeAction) {
        match action {
            NodeAction::SendHeartbeat { to, heartbeat } => {
                let size = rpc::heartbeat_bytes(&heartbeat) as u64;
                let answer = Heartbeat { from: to, changes: Vec::new(), ..heartbeat };
                let back = rpc::heartbeat_bytes(&answer) as u64;
                self.count_exchange("heartbeats", size + self.wire.call, back + self.wire.answer);
                self.schedule(
                    NETWORK_DELAY,
                    ScheduledEvent::Node(NodeEvent::HeartbeatAnswered(answer)),
                );
            }
            NodeAction::PullTable { .. } => {
                let size = rpc::members_bytes(&self.members) as u64;
                self.count_exchange("tables", self.wire.call, size + self.wire.answer);
                self.schedule(
                    NETWORK_DELAY,
                    ScheduledEvent::Node(NodeEvent::TableArrived(self.members.clone())),
                );
            }
            NodeAction::PullDocument { document, .. } => {
                let bytes = fleet_document(self.database_count, self.config_revision);
                let size = self.measure_node(|_| rpc::document_bytes(&bytes)) as u64;
                self.count_exchange("configuration", self.wire.call, size + self.wire.answer);
                // On average, every node also serves one pull.
                self.count_exchange("configuration", size + self.wire.answer, self.wire.call);
                let revision = self.config_revision;
                let event = NodeEvent::DocumentArrived { document, revision, bytes: bytes.into() };
                self.schedule(NETWORK_DELAY, ScheduledEvent::Node(event));
            }
            NodeAction::RequestReport { id, database, .. } => {
                let found = self.databases.get(&database).copied();
                let event = match found.filter(|found| !found.down) {
                    Some(found) => NodeEvent::ReportArrived { id, report: found.report() },
                    None => NodeEvent::ReportFailed { id },
                };
                self.count_exchange("reports", self.wire.report_request, self.wire.report_answer);
                self.schedule(NETWORK_DELAY, ScheduledEvent::Node(event));
            }
            NodeAction::RequestFence { id, database, term, .. } => {
                self.count_exchange("promotion", self.wire.report_request, self.wire.report_answer);
                let event = match self.databases.get_mut(&database).filter(|found| !found.down) {
                    Some(found) => {
                        let accepted = term.0 > found.term;
                        if accepted {
                            found.term = term.0;
                        }
                        NodeEvent::FenceAnswered { id, accepted, report: found.report() }
                    }
                    None => NodeEvent::ReportFailed { id },
                };
                self.schedule(NETWORK_DELAY, ScheduledEvent::Node(event));
            }
            NodeAction::RequestPromotion { id, database, term, .. } => {
                self.count_exchange("promotion", self.wire.report_request, self.wire.report_answer);
                if let Some(found) = self.databases.get_mut(&database) {
                    (found.primary, found.log_term, found.term_start) = (true, term.0, 1_000);
                }
                let start = LogPosition(1_000);
                self.schedule(
                    NETWORK_DELAY,
                    ScheduledEvent::Node(NodeEvent::PromoteAnswered { id, start }),
                );
            }
            NodeAction::RequestFollow { id, database, term: Term(term), .. } => {
                self.count_exchange("promotion", self.wire.report_request, self.wire.report_answer);
                match self.databases.get_mut(&database).filter(|found| !found.down) {
                    Some(found) => found.log_term = term,
                    None => self.schedule(
                        NETWORK_DELAY,
                        ScheduledEvent::Node(NodeEvent::ReportFailed { id }),
                    ),
                }
            }
            NodeAction::RequestView { to, cluster } => {
                self.count_exchange("promotion", self.wire.call + 100, self.wire.answer + 100);
                let view = Some(LeaderView {
                    term: Term(1),
                    leader: None,
                    confirmed_ago: Some(Micros::from_secs(2)),
                });
                let event = NodeEvent::ViewAnswered { cluster, from: to.name, view };
                self.schedule(NETWORK_DELAY, ScheduledEvent::Node(event));
            }
            NodeAction::ReadRecord { cluster } => {
                self.count_exchange("platform", 300, 500);
                let (bytes, index) = match self.records.get(&cluster) {
                    Some((bytes, index)) => (Some(bytes.clone()), *index),
                    None => (None, 0),
                };
                let answer = PlatformAnswer::RecordRead { cluster, bytes, index };
                self.schedule(
                    NETWORK_DELAY,
                    ScheduledEvent::Node(NodeEvent::PlatformAnswered(answer)),
                );
            }
            NodeAction::WriteRecord { cluster, expected_index, bytes } => {
                self.count_exchange("platform", 500, 300);
                let stored_index = self.records.get(&cluster).map_or(0, |(_, index)| *index);
                let applied = stored_index == expected_index;
                if applied {
                    self.records.insert(cluster.clone(), (bytes, stored_index + 1));
                }
                let answer = PlatformAnswer::RecordWritten { cluster, applied };
                self.schedule(
                    NETWORK_DELAY,
                    ScheduledEvent::Node(NodeEvent::PlatformAnswered(answer)),
                );
            }
            _ => {}
        }
    }

    /// Delivers a heartbeat of a member to the node, with changes.
    fn deliver_heartbeat(&mut self, sender: usize, changes: Vec<MemberInfo>, config_revision: u64) {
        let Some(own) = self.node.heartbeat() else { return };
        let mut revisions = own.revisions.clone();
        for (document, revision) in &mut revisions {
            if document.as_str() == CONFIG_DOCUMENT {
                *revision = (*revision).max(config_revision);
            }
        }
        let from = self.members[sender].clone();
        let heartbeat = Heartbeat { from, digest: own.digest, revisions, changes };
        let size = rpc::heartbeat_bytes(&heartbeat) as u64;
        self.handle_event(NodeEvent::HeartbeatArrived(heartbeat));
        let back = self.measure_node(|node| node.heartbeat().map(|own| rpc::heartbeat_bytes(&own)));
        let back = back.unwrap_or_default() as u64;
        self.count_exchange("heartbeats", back + self.wire.answer, size + self.wire.call);
    }

    fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let timer = self.node.next_timer().map(|due| due.max(self.now));
            let next = self.scheduled.first_key_value().map(|((at, _), _)| *at);
            match (next, timer) {
                (Some(at), timer) if at <= end && timer.is_none_or(|timer| at <= timer) => {
                    self.now = at;
                    if let Some((_, event)) = self.scheduled.pop_first() {
                        self.run_event(event);
                    }
                }
                (_, Some(timer)) if timer <= end => {
                    self.now = timer;
                    self.handle_event(NodeEvent::Timer);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn run_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Node(event) => self.handle_event(event),
            ScheduledEvent::Heartbeat(sender) => {
                self.deliver_heartbeat(sender, Vec::new(), 0);
                let config = MemberConfig::default();
                let near =
                    self.senders.iter().take(NEAR_OBSERVER_COUNT).any(|near| *near == sender);
                let rounds = if near { 1 } else { config.distant_rounds };
                let interval = Micros(config.heartbeat_interval.0 * rounds);
                self.schedule(interval, ScheduledEvent::Heartbeat(sender));
            }
            ScheduledEvent::ConfigChange(interval) => {
                self.config_revision += 1;
                for sender in self.senders.clone() {
                    self.deliver_heartbeat(sender, Vec::new(), self.config_revision);
                }
                self.schedule(Micros(interval), ScheduledEvent::ConfigChange(interval));
            }
            ScheduledEvent::MemberRestart(interval) => {
                let index = 1 + (self.sequence as usize * 7) % (self.members.len() - 1);
                self.members[index].incarnation += 1;
                let mut info = self.members[index].clone();
                // The member table stores the start time above 12 bits for refutations.
                info.incarnation <<= 12;
                for sender in self.senders.clone() {
                    self.deliver_heartbeat(sender, vec![info.clone()], 0);
                }
                self.schedule(Micros(interval), ScheduledEvent::MemberRestart(interval));
            }
        }
    }
}

/// Moves a member with `role` to the front; returns the number of databases that it owns.
fn choose_node(members: &mut [MemberInfo], databases: usize, role: ControlRole) -> usize {
    let mut table = MemberTable::new(MemberConfig::default(), members[0].clone());
    let mut actions = Vec::new();
    table.handle(Micros::ZERO, MemberEvent::TableArrived(members.to_vec()), &mut actions);
    let mut owned: HashMap<Name, usize> = HashMap::new();
    for index in 0..databases.div_ceil(DATABASES_PER_CLUSTER) * DATABASES_PER_CLUSTER {
        let owner = table.owner_of(&database_name(index), &database_data_centre(index));
        *owned.entry(owner).or_default() += 1;
    }
    let is_watcher =
        |info: &MemberInfo| table.watcher_of(&info.data_centre).as_ref() == Some(&info.name);
    let count = |info: &MemberInfo| owned.get(&info.name).copied().unwrap_or_default();
    let fits = |info: &&MemberInfo| match role {
        ControlRole::Entry => !is_watcher(info) && count(info) == 0,
        ControlRole::Owner => !is_watcher(info) && count(info) == 1,
        ControlRole::Watcher => is_watcher(info) && count(info) <= 1,
    };
    // A small fleet may have no member with the role; then the first member is measured.
    let found = members.iter().find(fits).map_or(0, |found| {
        members.iter().position(|info| info.name == found.name).unwrap_or_default()
    });
    members.swap(0, found);
    count(&members[0])
}

/// Counts the control messages and resources of one node in a run of length `span`.
pub fn count_control(
    wire: &WireSizes,
    (member_count, database_count): (usize, usize),
    role: ControlRole,
    load: ControlLoad,
    span: Micros,
) -> ControlCount {
    let mut members: Vec<MemberInfo> = (0..member_count).map(member_info).collect();
    let owned_databases = choose_node(&mut members, database_count, role);
    let own = members[0].clone();
    let mut senders: Vec<usize> = (1..members.len())
        .filter(|index| members[*index].data_centre == own.data_centre)
        .take(OBSERVER_COUNT)
        .collect();
    if role == ControlRole::Watcher {
        for index in 0..DATA_CENTRE_COUNT {
            let other = format!("north-{index}");
            if other != own.data_centre.as_str() {
                senders.extend(members.iter().position(|info| info.data_centre.as_str() == other));
            }
        }
    }
    let settings = NodeSettings {
        name: own.name.clone(),
        data_centre: own.data_centre.clone(),
        caller_address: own.peer_address,
        peer_address: own.peer_address,
        admin_address: own.admin_address,
        platform_address: own.peer_address,
        peers: Vec::new(),
        metrics_address: None,
        database_user: "cicadawick".into(),
        caller_limit: 20_000,
        request_limit_bytes: 1 << 20,
        drain_timeout: Micros::from_secs(5),
        log_level: "info".into(),
    };
    let databases = (0..database_count.div_ceil(DATABASES_PER_CLUSTER) * DATABASES_PER_CLUSTER)
        .map(|index| {
            let primary = index % DATABASES_PER_CLUSTER == 0;
            let database =
                FakeDatabase { primary, down: false, term: 1, log_term: 1, term_start: 24 };
            (database_name(index).into(), database)
        })
        .collect();
    let before = meter::held_bytes();
    let node = Node::new(settings, own.incarnation, 7);
    let base = meter::held_bytes() - before;
    let mut bench = ControlBench {
        wire,
        now: Micros::from_secs(1),
        node,
        members,
        senders,
        databases,
        database_count,
        config_revision: 1,
        records: HashMap::new(),
        scheduled: BTreeMap::new(),
        sequence: 0,
        count: ControlCount { held_bytes: base, ..ControlCount::default() },
    };
    // Shifts the incarnations, as members do with their own in the table.
    let mut table = bench.members.clone();
    for info in &mut table {
        info.incarnation <<= 12;
    }
    bench.members = table.clone();
    bench.handle_event(NodeEvent::Timer);
    bench.handle_event(NodeEvent::TableArrived(table));
    let bytes = fleet_document(database_count, 1).into();
    bench.handle_event(NodeEvent::DocumentArrived {
        document: CONFIG_DOCUMENT.into(),
        revision: 1,
        bytes,
    });
    let keys = format!("[{{\"id\":1,\"secret\":\"{}\"}}]", "5a".repeat(32)).into_bytes();
    bench.handle_event(NodeEvent::DocumentArrived {
        document: "token-keys".into(),
        revision: 1,
        bytes: keys.into(),
    });
    for (index, sender) in bench.senders.clone().into_iter().enumerate() {
        bench.schedule(Micros::from_millis(90 * index as u64), ScheduledEvent::Heartbeat(sender));
    }
    bench.run_for(WARM_UP);
    let held_bytes = bench.count.held_bytes;
    bench.count = ControlCount { held_bytes, owned_databases, ..ControlCount::default() };
    if let Some(interval) = load.config_interval {
        bench.schedule(interval, ScheduledEvent::ConfigChange(interval.0));
    }
    if let Some(interval) = load.restart_interval {
        bench.schedule(interval, ScheduledEvent::MemberRestart(interval.0));
    }
    if load.promotion {
        for index in (0..database_count).filter(|index| index % DATABASES_PER_CLUSTER == 0) {
            let name = Name::from(database_name(index));
            if let Some(database) = bench.databases.get_mut(&name) {
                database.down = true;
                database.primary = false;
            }
        }
    }
    bench.run_for(span);
    bench.count.seconds = span.0 as f64 / 1e6;
    bench.count
}

/// Returns the report requests a second that the owner of one cluster sends with a commit every
/// `interval` (`None` for no commits) and a network delay of 1 ms to the databases.
pub fn report_rate(interval: Option<Micros>) -> f64 {
    let names: Vec<Name> = (0..DATABASES_PER_CLUSTER).map(|n| database_name(n).into()).collect();
    let mut monitor = ClusterMonitor::new(MonitorConfig::default(), names.clone());
    let mut answers: BTreeMap<(Micros, u64), (Name, u64)> = BTreeMap::new();
    let (mut now, mut sequence, mut request_count, mut commit) = (Micros::ZERO, 0, 0_u64, 0);
    let (start, end) = (Micros::from_secs(2), Micros::from_secs(12));
    let mut next_commit = interval.map(|_| start);
    while now < end {
        let mut actions = Vec::new();
        let answer = answers.first_key_value().map(|((at, _), _)| *at);
        let timer = monitor.next_timer().unwrap_or(Micros::MAX).max(now);
        let next = answer.unwrap_or(Micros::MAX).min(timer);
        let next = next.min(next_commit.unwrap_or(Micros::MAX));
        now = next;
        if next_commit == Some(next) {
            commit += 1;
            let finished = MonitorEvent::CommitFinished {
                commit: CommitId(commit),
                term: Term(1),
                durable: true,
            };
            monitor.handle(now, finished, &mut actions);
            next_commit = interval.map(|interval| now + interval);
        } else if answer == Some(next) {
            if let Some((_, (database, round))) = answers.pop_first() {
                let report = FakeDatabase {
                    primary: database == names[0],
                    down: false,
                    term: 1,
                    log_term: 1,
                    term_start: 24,
                }
                .report();
                let event = MonitorEvent::ReportArrived { database, round, report };
                monitor.handle(now, event, &mut actions);
            }
        } else {
            monitor.handle(now, MonitorEvent::Timer, &mut actions);
        }
        for action in actions {
            if let MonitorAction::RequestReport { database, round } = action {
                request_count += u64::from(now >= start);
                sequence += 1;
                answers.insert((now + NETWORK_DELAY + NETWORK_DELAY, sequence), (database, round));
            }
        }
    }
    request_count as f64 / (end.saturating_sub(start).0 as f64 / 1e6)
}

/// Measures the control traffic and resources of each role and renders tables. The idle runs take
/// 300 s of virtual time.
///
/// # Errors
///
/// Fails if the sizes on the wire cannot be measured.
pub fn render_table() -> anyhow::Result<String> {
    let wire = WireSizes::measure()?;
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "bytes beyond a heartbeat's body: call and finish {}, return {}; report: request {}, \
         answer {} (all with packet headers)\n",
        wire.call, wire.answer, wire.report_request, wire.report_answer
    );
    let _ = writeln!(
        out,
        "{:<12} {:>8} {:>9} {:>6} {:>10} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>10}",
        "idle role",
        "members",
        "databases",
        "owned",
        "messages/s",
        "hb sent",
        "hb recv",
        "rep sent",
        "rep recv",
        "sent B/s",
        "allocs/s",
        "cpu us/s",
        "held bytes"
    );
    let idle = Micros::from_secs(300);
    for role in [ControlRole::Entry, ControlRole::Owner, ControlRole::Watcher] {
        let mut counts = Vec::new();
        for size in FLEET_SIZES {
            let count = count_least_disturbed(&wire, size, role, ControlLoad::default(), idle);
            let _ = writeln!(
                out,
                "{:<12} {:>8} {:>9} {:>6} {:>10.1} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} \
                 {:>9.0} {:>9.0} {:>10}",
                role.name(),
                size.0,
                size.1,
                count.owned_databases,
                count.messages_per_second(None),
                count.sent_per_second(Some("heartbeats")),
                count.received_per_second(Some("heartbeats")),
                count.sent_per_second(Some("reports")),
                count.received_per_second(Some("reports")),
                count.sent_per_second(None),
                count.allocations as f64 / count.seconds,
                count.processor_time.as_secs_f64() * 1e6 / count.seconds,
                count.held_bytes,
            );
            counts.push((size, count));
        }
        // The slope starts at 94 members, because below that a node has fewer than four observers.
        if let [_, (small, first), _, (large, last)] = &counts[..] {
            let members = (large.0 - small.0) as f64;
            let databases = (large.1 - small.1) as f64;
            let sent = last.sent_per_second(Some("heartbeats"))
                - first.sent_per_second(Some("heartbeats"));
            let held = (last.held_bytes - first.held_bytes) as f64;
            let processor_time =
                last.processor_time.as_secs_f64() - first.processor_time.as_secs_f64();
            let _ = writeln!(
                out,
                "  slope from {} to {} members: {:.3} heartbeat B/s, {:.0} held bytes, {:.2} cpu \
                 us/s a member; {:.0} held bytes a database\n",
                small.0,
                large.0,
                sent / members,
                held / members,
                processor_time * 1e6 / first.seconds / members,
                held / databases,
            );
        }
    }
    render_changes(&wire, &mut out);
    render_reports(&wire, &mut out);
    Ok(out)
}

/// Counts one run, with the least processor time of five runs: the one least disturbed by other
/// processes of the machine.
fn count_least_disturbed(
    wire: &WireSizes,
    size: (usize, usize),
    role: ControlRole,
    load: ControlLoad,
    span: Micros,
) -> ControlCount {
    let mut best = count_control(wire, size, role, load, span);
    for _ in 1..5 {
        let count = count_control(wire, size, role, load, span);
        best.processor_time = best.processor_time.min(count.processor_time);
    }
    best
}

/// Renders the cost of single changes: the difference between a run with and one without them.
fn render_changes(wire: &WireSizes, out: &mut String) {
    let _ = writeln!(
        out,
        "{:<24} {:>8} {:>9} {:>10} {:>10} {:>10} {:>9} {:>9}",
        "one change", "members", "databases", "messages", "sent B", "recv B", "allocs", "cpu us"
    );
    let span = Micros::from_secs(200);
    let interval = Micros::from_secs(10);
    for size in FLEET_SIZES {
        let idle =
            count_least_disturbed(wire, size, ControlRole::Owner, ControlLoad::default(), span);
        let config = ControlLoad { config_interval: Some(interval), ..ControlLoad::default() };
        let member = ControlLoad { restart_interval: Some(interval), ..ControlLoad::default() };
        let promotion = ControlLoad { promotion: true, ..ControlLoad::default() };
        for (name, load, changes) in [
            ("configuration change", config, 20.0),
            ("member restart", member, 20.0),
            ("promotion, per cluster", promotion, idle.owned_databases.max(1) as f64),
        ] {
            let busy = count_least_disturbed(wire, size, ControlRole::Owner, load, span);
            let change = |value: &dyn Fn(&ControlCount) -> f64| {
                // Both runs include report rounds; a promotion changes their number slightly.
                (value(&busy) - value(&idle)) / changes
            };
            let _ = writeln!(
                out,
                "{:<24} {:>8} {:>9} {:>10.1} {:>10.0} {:>10.0} {:>9.0} {:>9.0}",
                name,
                size.0,
                size.1,
                change(&|count| count.sum(None, |traffic| traffic.messages) as f64),
                change(&|count| count.sum(None, |traffic| traffic.sent_bytes) as f64),
                change(&|count| count.sum(None, |traffic| traffic.received_bytes) as f64),
                change(&|count| count.allocations as f64),
                change(&|count| count.processor_time.as_secs_f64() * 1e6),
            );
        }
        let document = fleet_document(size.1, 1);
        let table: Vec<MemberInfo> = (0..size.0).map(member_info).collect();
        let _ = writeln!(
            out,
            "  configuration {} bytes, {} compressed; member table {} bytes",
            document.len(),
            rpc::document_bytes(&document),
            rpc::members_bytes(&table)
        );
    }
}

/// Renders the report rounds that the owner of one cluster runs.
fn render_reports(wire: &WireSizes, out: &mut String) {
    let _ = writeln!(
        out,
        "\n{:<28} {:>12} {:>10} {:>10}",
        "report rounds of a cluster", "requests/s", "sent B/s", "recv B/s"
    );
    for (name, interval) in [
        ("idle", None),
        ("1 commit/s", Some(Micros::from_secs(1))),
        ("10 commits/s", Some(Micros::from_millis(100))),
        ("100 commits/s", Some(Micros::from_millis(10))),
        ("1,000 commits/s", Some(Micros::from_millis(1))),
    ] {
        let rate = report_rate(interval);
        let _ = writeln!(
            out,
            "{name:<28} {rate:>12.1} {:>10.0} {:>10.0}",
            rate * wire.report_request as f64,
            rate * wire.report_answer as f64
        );
    }
}
