//! Control work of one node against small stand-ins in virtual time.
//!
//! The node is the real state machine. Members, databases and the platform are answered by the bench
//! after 1 ms. Messages have the size of their real encoding plus the envelope and packet headers
//! that [`crate::wire`] measured. Processor time is that of the node's decisions and of encoding its
//! heartbeats; system calls are not part of it.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;

use config::ChangeEnvelope;
use failover::{
    ClusterWatch, CommitId, DatabaseReport, DatabaseRole, LeaderView, WatchAction, WatchConfig,
    WatchEvent,
};
use member::{Heartbeat, MemberConfig, MemberEvent, MemberInfo, MemberState, MemberTable};
use model::{LogPosition, Micros, Name, NodeSettings, Term};
use node::{Node, NodeAction, NodeEvent, PlatformAnswer};

use crate::meter;
use crate::wire::WireSizes;

/// Numbers of members and of databases, in the order in which they belong together.
pub const SIZES: [(usize, usize); 4] = [(9, 9), (94, 90), (330, 340), (660, 680)];

/// Data centres of the target.
const DATA_CENTRES: usize = 7;

/// Databases of a cluster.
const CLUSTER_DATABASES: usize = 3;

/// Selectors of the target's configuration.
const SELECTORS: usize = 100;

/// One way between two processes.
const LINK: Micros = Micros::from_millis(1);

/// Time before counting starts.
const WARM_UP: Micros = Micros::from_secs(30);

/// Contacts in the own data centre that send heartbeats to a node.
const OBSERVERS: usize = 4;

/// Observers of which the node is one of the next two members of the ring.
const NEAR_OBSERVERS: usize = 2;

/// The document of the operators' configuration.
const CONFIG: &str = "config";

/// Which node of the fleet is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRole {
    /// Owns no database and is no watcher.
    Entry,
    /// Owns one database and is no watcher. On average a node owns 1.03 of the target's.
    Owner,
    /// Watcher of its data centre, with at most one database.
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

/// Messages and bytes of one kind of control work.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlFlow {
    pub messages: u64,
    pub sent: u64,
    pub received: u64,
}

/// What one run counted.
#[derive(Clone, Debug, Default)]
pub struct ControlCount {
    pub seconds: f64,
    pub owned: usize,
    pub flows: BTreeMap<&'static str, ControlFlow>,
    pub allocations: u64,
    pub processor: Duration,
    /// Bytes that the node holds.
    pub held: i64,
}

impl ControlCount {
    /// Returns bytes sent a second, over all kinds of work or one.
    pub fn sent_per_second(&self, kind: Option<&str>) -> f64 {
        self.sum(kind, |flow| flow.sent) as f64 / self.seconds
    }

    /// Returns bytes received a second, over all kinds of work or one.
    pub fn received_per_second(&self, kind: Option<&str>) -> f64 {
        self.sum(kind, |flow| flow.received) as f64 / self.seconds
    }

    /// Returns messages a second in both directions, over all kinds of work or one.
    pub fn messages_per_second(&self, kind: Option<&str>) -> f64 {
        self.sum(kind, |flow| flow.messages) as f64 / self.seconds
    }

    fn sum(&self, kind: Option<&str>, value: impl Fn(&ControlFlow) -> u64) -> u64 {
        let flows = self.flows.iter().filter(|(name, _)| kind.is_none_or(|kind| kind == **name));
        flows.map(|(_, flow)| value(flow)).sum()
    }
}

/// Work during a run beside what always happens.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlLoad {
    /// Time between two configuration changes.
    pub config_every: Option<Micros>,
    /// Time between two member changes.
    pub member_every: Option<Micros>,
    /// The primary of an owned cluster fails when counting starts.
    pub promotion: bool,
}

fn member_info(index: usize) -> MemberInfo {
    let address = |port: u16| ([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], port).into();
    MemberInfo {
        name: format!("vm-{index:04}").into(),
        data_centre: format!("north-{}", index % DATA_CENTRES).into(),
        peer_address: address(7_400),
        admin_address: address(7_401),
        // Microseconds since 1970, as the daemon uses.
        incarnation: 1_800_000_000_000_000 + index as u64,
        state: MemberState::Alive,
    }
}

fn database_name(index: usize) -> String {
    let letter = ["a", "b", "c"][index % CLUSTER_DATABASES];
    format!("billing-{}-{letter}", index / CLUSTER_DATABASES)
}

fn database_place(index: usize) -> String {
    format!("north-{}", (index / CLUSTER_DATABASES + index % CLUSTER_DATABASES) % DATA_CENTRES)
}

/// Returns the envelope of a configuration with this many databases in clusters of three.
pub fn fleet_document(databases: usize, revision: u64) -> Vec<u8> {
    let clusters: Vec<serde_json::Value> = (0..databases.div_ceil(CLUSTER_DATABASES))
        .map(|cluster| {
            let databases: Vec<serde_json::Value> = (0..CLUSTER_DATABASES)
                .map(|replica| {
                    let index = cluster * CLUSTER_DATABASES + replica;
                    serde_json::json!({
                        "name": database_name(index),
                        "data_centre": database_place(index),
                        "address": format!("10.1.{}.{}:5432", index / 250, index % 250 + 1),
                        "labels": { "disk": "fast" }, "slots": 5, "connections": 55,
                    })
                })
                .collect();
            serde_json::json!({ "name": format!("billing-{cluster}"), "databases": databases })
        })
        .collect();
    let selectors: Vec<serde_json::Value> = (0..SELECTORS)
        .map(|index| {
            serde_json::json!({
                "name": format!("selector-{index}"),
                "matches": format!("kind in (kiosk, vendor), shop=shop-{index}"),
                "rank": "interactive", "max_age_ms": 5_000, "deadline_ms": 2_000,
                "servers": "disk=fast",
            })
        })
        .collect();
    // Operators write the text over several lines.
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
struct StandInDatabase {
    primary: bool,
    down: bool,
    term: u64,
    log_term: u64,
    start: u64,
}

impl StandInDatabase {
    fn report(&self) -> DatabaseReport {
        DatabaseReport {
            term: Term(self.term),
            role: if self.primary { DatabaseRole::Primary } else { DatabaseRole::Replica },
            log_term: Term(self.log_term),
            received: LogPosition(1_000),
            applied: LogPosition(1_000),
            term_start: LogPosition(self.start),
            previous_term: Term(self.log_term.saturating_sub(1)),
        }
    }
}

enum Item {
    Node(NodeEvent),
    Incoming(usize),
    Change(u64),
    Restart(u64),
}

struct ControlBench<'a> {
    wire: &'a WireSizes,
    now: Micros,
    node: Node,
    members: Vec<MemberInfo>,
    /// Members that send heartbeats to the node.
    senders: Vec<usize>,
    databases: HashMap<Name, StandInDatabase>,
    database_count: usize,
    config_revision: u64,
    records: HashMap<Name, (std::sync::Arc<[u8]>, u64)>,
    items: BTreeMap<(Micros, u64), Item>,
    sequence: u64,
    count: ControlCount,
}

impl ControlBench<'_> {
    fn later(&mut self, after: Micros, item: Item) {
        self.sequence += 1;
        self.items.insert((self.now + after, self.sequence), item);
    }

    /// Runs a part of the node's work under the meters.
    fn metered<T>(&mut self, work: impl FnOnce(&mut Node) -> T) -> T {
        let (allocations, held, time) =
            (meter::allocations(), meter::held_bytes(), meter::thread_time());
        let result = work(&mut self.node);
        self.count.processor += meter::thread_time().saturating_sub(time);
        self.count.allocations += meter::allocations() - allocations;
        self.count.held += meter::held_bytes() - held;
        result
    }

    fn give(&mut self, event: NodeEvent) {
        let now = self.now;
        let actions = self.metered(|node| {
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
            self.act(action);
        }
    }

    fn flow(&mut self, kind: &'static str, sent: u64, received: u64) {
        let flow = self.count.flows.entry(kind).or_default();
        flow.messages += 2;
        flow.sent += sent;
        flow.received += received;
    }

    fn act(&mut self, action: NodeAction) {
        match action {
            NodeAction::SendHeartbeat { to, heartbeat } => {
                let size = rpc::heartbeat_bytes(&heartbeat) as u64;
                let answer = Heartbeat { from: to, changes: Vec::new(), ..heartbeat };
                let back = rpc::heartbeat_bytes(&answer) as u64;
                self.flow("heartbeats", size + self.wire.call, back + self.wire.answer);
                self.later(LINK, Item::Node(NodeEvent::HeartbeatAnswered(answer)));
            }
            NodeAction::PullTable { .. } => {
                let size = rpc::members_bytes(&self.members) as u64;
                self.flow("tables", self.wire.call, size + self.wire.answer);
                self.later(LINK, Item::Node(NodeEvent::TableArrived(self.members.clone())));
            }
            NodeAction::PullDocument { document, .. } => {
                let bytes = fleet_document(self.database_count, self.config_revision);
                let size = self.metered(|_| rpc::document_bytes(&bytes)) as u64;
                self.flow("configuration", self.wire.call, size + self.wire.answer);
                // On average every node also serves one pull.
                self.flow("configuration", size + self.wire.answer, self.wire.call);
                let revision = self.config_revision;
                let event = NodeEvent::DocumentArrived { document, revision, bytes: bytes.into() };
                self.later(LINK, Item::Node(event));
            }
            NodeAction::AskReport { id, database, .. } => {
                let found = self.databases.get(&database).copied();
                let event = match found.filter(|found| !found.down) {
                    Some(found) => NodeEvent::ReportArrived { id, report: found.report() },
                    None => NodeEvent::ReportFailed { id },
                };
                self.flow("reports", self.wire.report_request, self.wire.report_answer);
                self.later(LINK, Item::Node(event));
            }
            NodeAction::AskFence { id, database, term, .. } => {
                self.flow("promotion", self.wire.report_request, self.wire.report_answer);
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
                self.later(LINK, Item::Node(event));
            }
            NodeAction::AskPromote { id, database, term, .. } => {
                self.flow("promotion", self.wire.report_request, self.wire.report_answer);
                if let Some(found) = self.databases.get_mut(&database) {
                    (found.primary, found.log_term, found.start) = (true, term.0, 1_000);
                }
                let start = LogPosition(1_000);
                self.later(LINK, Item::Node(NodeEvent::PromoteAnswered { id, start }));
            }
            NodeAction::AskFollow { id, database, term: Term(term), .. } => {
                self.flow("promotion", self.wire.report_request, self.wire.report_answer);
                match self.databases.get_mut(&database).filter(|found| !found.down) {
                    Some(found) => found.log_term = term,
                    None => self.later(LINK, Item::Node(NodeEvent::ReportFailed { id })),
                }
            }
            NodeAction::AskView { to, cluster } => {
                self.flow("promotion", self.wire.call + 100, self.wire.answer + 100);
                let view = Some(LeaderView {
                    term: Term(1),
                    leader: None,
                    confirmed_ago: Some(Micros::from_secs(2)),
                });
                let event = NodeEvent::ViewAnswered { cluster, from: to.name, view };
                self.later(LINK, Item::Node(event));
            }
            NodeAction::ReadRecord { cluster } => {
                self.flow("platform", 300, 500);
                let (bytes, index) = match self.records.get(&cluster) {
                    Some((bytes, index)) => (Some(bytes.clone()), *index),
                    None => (None, 0),
                };
                let answer = PlatformAnswer::RecordRead { cluster, bytes, index };
                self.later(LINK, Item::Node(NodeEvent::PlatformAnswered(answer)));
            }
            NodeAction::WriteRecord { cluster, expected_index, bytes } => {
                self.flow("platform", 500, 300);
                let held = self.records.get(&cluster).map_or(0, |(_, index)| *index);
                let applied = held == expected_index;
                if applied {
                    self.records.insert(cluster.clone(), (bytes, held + 1));
                }
                let answer = PlatformAnswer::RecordWritten { cluster, applied };
                self.later(LINK, Item::Node(NodeEvent::PlatformAnswered(answer)));
            }
            _ => {}
        }
    }

    /// A member's heartbeat arrives, with changes.
    fn incoming(&mut self, sender: usize, changes: Vec<MemberInfo>, config: u64) {
        let Some(own) = self.node.heartbeat() else { return };
        let mut revisions = own.revisions.clone();
        for (document, revision) in &mut revisions {
            if document.as_str() == CONFIG {
                *revision = (*revision).max(config);
            }
        }
        let from = self.members[sender].clone();
        let heartbeat = Heartbeat { from, digest: own.digest, revisions, changes };
        let size = rpc::heartbeat_bytes(&heartbeat) as u64;
        self.give(NodeEvent::HeartbeatArrived(heartbeat));
        let back = self.metered(|node| node.heartbeat().map(|own| rpc::heartbeat_bytes(&own)));
        let back = back.unwrap_or_default() as u64;
        self.flow("heartbeats", back + self.wire.answer, size + self.wire.call);
    }

    fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let timer = self.node.next_timer().map(|due| due.max(self.now));
            let item = self.items.first_key_value().map(|((at, _), _)| *at);
            match (item, timer) {
                (Some(at), timer) if at <= end && timer.is_none_or(|timer| at <= timer) => {
                    self.now = at;
                    if let Some((_, item)) = self.items.pop_first() {
                        self.run_item(item);
                    }
                }
                (_, Some(timer)) if timer <= end => {
                    self.now = timer;
                    self.give(NodeEvent::Timer);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn run_item(&mut self, item: Item) {
        match item {
            Item::Node(event) => self.give(event),
            Item::Incoming(sender) => {
                self.incoming(sender, Vec::new(), 0);
                let config = MemberConfig::default();
                let near = self.senders.iter().take(NEAR_OBSERVERS).any(|near| *near == sender);
                let rounds = if near { 1 } else { config.distant_rounds };
                let interval = Micros(config.heartbeat_interval.0 * rounds);
                self.later(interval, Item::Incoming(sender));
            }
            Item::Change(every) => {
                self.config_revision += 1;
                for sender in self.senders.clone() {
                    self.incoming(sender, Vec::new(), self.config_revision);
                }
                self.later(Micros(every), Item::Change(every));
            }
            Item::Restart(every) => {
                let place = 1 + (self.sequence as usize * 7) % (self.members.len() - 1);
                self.members[place].incarnation += 1;
                let mut info = self.members[place].clone();
                // The table keeps the start time above 12 bits of refutations.
                info.incarnation <<= 12;
                for sender in self.senders.clone() {
                    self.incoming(sender, vec![info.clone()], 0);
                }
                self.later(Micros(every), Item::Restart(every));
            }
        }
    }
}

/// Puts the member that has `role` first; returns the number of its databases.
fn choose_own(members: &mut [MemberInfo], databases: usize, role: ControlRole) -> usize {
    let mut table = MemberTable::new(MemberConfig::default(), members[0].clone());
    let mut actions = Vec::new();
    table.handle(Micros::ZERO, MemberEvent::TableArrived(members.to_vec()), &mut actions);
    let mut owned: HashMap<Name, usize> = HashMap::new();
    for index in 0..databases.div_ceil(CLUSTER_DATABASES) * CLUSTER_DATABASES {
        let owner = table.owner_of(&database_name(index), &database_place(index));
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
    // A small fleet may have no member of the role; then the first stands in.
    let found = members.iter().find(fits).map_or(0, |found| {
        members.iter().position(|info| info.name == found.name).unwrap_or_default()
    });
    members.swap(0, found);
    count(&members[0])
}

/// Counts the control work of one node.
pub fn count_control(
    wire: &WireSizes,
    (member_count, database_count): (usize, usize),
    role: ControlRole,
    load: ControlLoad,
    span: Micros,
) -> ControlCount {
    let mut members: Vec<MemberInfo> = (0..member_count).map(member_info).collect();
    let owned = choose_own(&mut members, database_count, role);
    let own = members[0].clone();
    let mut senders: Vec<usize> = (1..members.len())
        .filter(|index| members[*index].data_centre == own.data_centre)
        .take(OBSERVERS)
        .collect();
    if role == ControlRole::Watcher {
        for place in 0..DATA_CENTRES {
            let place = format!("north-{place}");
            if place != own.data_centre.as_str() {
                senders.extend(members.iter().position(|info| info.data_centre.as_str() == place));
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
    let databases = (0..database_count.div_ceil(CLUSTER_DATABASES) * CLUSTER_DATABASES)
        .map(|index| {
            let primary = index % CLUSTER_DATABASES == 0;
            let database =
                StandInDatabase { primary, down: false, term: 1, log_term: 1, start: 24 };
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
        items: BTreeMap::new(),
        sequence: 0,
        count: ControlCount { held: base, ..ControlCount::default() },
    };
    // The table's incarnations are shifted as a member shifts its own.
    let mut table = bench.members.clone();
    for info in &mut table {
        info.incarnation <<= 12;
    }
    bench.members = table.clone();
    bench.give(NodeEvent::Timer);
    bench.give(NodeEvent::TableArrived(table));
    let bytes = fleet_document(database_count, 1).into();
    bench.give(NodeEvent::DocumentArrived { document: CONFIG.into(), revision: 1, bytes });
    let keys = format!("[{{\"id\":1,\"secret\":\"{}\"}}]", "5a".repeat(32)).into_bytes();
    bench.give(NodeEvent::DocumentArrived {
        document: "token-keys".into(),
        revision: 1,
        bytes: keys.into(),
    });
    for (place, sender) in bench.senders.clone().into_iter().enumerate() {
        bench.later(Micros::from_millis(90 * place as u64), Item::Incoming(sender));
    }
    bench.run_for(WARM_UP);
    let held = bench.count.held;
    bench.count = ControlCount { held, owned, ..ControlCount::default() };
    if let Some(every) = load.config_every {
        bench.later(every, Item::Change(every.0));
    }
    if let Some(every) = load.member_every {
        bench.later(every, Item::Restart(every.0));
    }
    if load.promotion {
        for index in (0..database_count).filter(|index| index % CLUSTER_DATABASES == 0) {
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

/// Returns report requests a second of one cluster's owner with a commit every `interval` and the
/// databases 1 ms away; `None` for no commits.
pub fn report_rate(interval: Option<Micros>) -> f64 {
    let names: Vec<Name> = (0..CLUSTER_DATABASES).map(|n| database_name(n).into()).collect();
    let mut watch = ClusterWatch::new(WatchConfig::default(), names.clone());
    let mut answers: BTreeMap<(Micros, u64), (Name, u64)> = BTreeMap::new();
    let (mut now, mut sequence, mut asked, mut commit) = (Micros::ZERO, 0, 0_u64, 0);
    let (start, end) = (Micros::from_secs(2), Micros::from_secs(12));
    let mut next_commit = interval.map(|_| start);
    while now < end {
        let mut actions = Vec::new();
        let answer = answers.first_key_value().map(|((at, _), _)| *at);
        let timer = watch.next_timer().unwrap_or(Micros::MAX).max(now);
        let next = answer.unwrap_or(Micros::MAX).min(timer);
        let next = next.min(next_commit.unwrap_or(Micros::MAX));
        now = next;
        if next_commit == Some(next) {
            commit += 1;
            let finished = WatchEvent::CommitFinished {
                commit: CommitId(commit),
                term: Term(1),
                durable: true,
            };
            watch.handle(now, finished, &mut actions);
            next_commit = interval.map(|interval| now + interval);
        } else if answer == Some(next) {
            if let Some((_, (database, round))) = answers.pop_first() {
                let report = StandInDatabase {
                    primary: database == names[0],
                    down: false,
                    term: 1,
                    log_term: 1,
                    start: 24,
                }
                .report();
                let event = WatchEvent::ReportArrived { database, round, report };
                watch.handle(now, event, &mut actions);
            }
        } else {
            watch.handle(now, WatchEvent::Timer, &mut actions);
        }
        for action in actions {
            if let WatchAction::AskReport { database, round } = action {
                asked += u64::from(now >= start);
                sequence += 1;
                answers.insert((now + LINK + LINK, sequence), (database, round));
            }
        }
    }
    asked as f64 / (end.saturating_sub(start).0 as f64 / 1e6)
}

/// Measures the control work of each role and renders it as tables. The span of the idle runs is 300 s.
///
/// # Errors
///
/// Fails if the sizes on the wire cannot be measured.
pub fn render_table() -> anyhow::Result<String> {
    let wire = WireSizes::measure()?;
    let mut out = String::new();
    // Writing to a string does not fail.
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
        for size in SIZES {
            let count = count_quietly(&wire, size, role, ControlLoad::default(), idle);
            let _ = writeln!(
                out,
                "{:<12} {:>8} {:>9} {:>6} {:>10.1} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} \
                 {:>9.0} {:>9.0} {:>10}",
                role.name(),
                size.0,
                size.1,
                count.owned,
                count.messages_per_second(None),
                count.sent_per_second(Some("heartbeats")),
                count.received_per_second(Some("heartbeats")),
                count.sent_per_second(Some("reports")),
                count.received_per_second(Some("reports")),
                count.sent_per_second(None),
                count.allocations as f64 / count.seconds,
                count.processor.as_secs_f64() * 1e6 / count.seconds,
                count.held,
            );
            counts.push((size, count));
        }
        // Below 94 members a node has fewer than four contacts.
        if let [_, (small, first), _, (large, last)] = &counts[..] {
            let members = (large.0 - small.0) as f64;
            let databases = (large.1 - small.1) as f64;
            let sent = last.sent_per_second(Some("heartbeats"))
                - first.sent_per_second(Some("heartbeats"));
            let held = (last.held - first.held) as f64;
            let processor = last.processor.as_secs_f64() - first.processor.as_secs_f64();
            let _ = writeln!(
                out,
                "  slope from {} to {} members: {:.3} heartbeat B/s, {:.0} held bytes, {:.2} cpu \
                 us/s a member; {:.0} held bytes a database\n",
                small.0,
                large.0,
                sent / members,
                held / members,
                processor * 1e6 / first.seconds / members,
                held / databases,
            );
        }
    }
    render_changes(&wire, &mut out);
    render_reports(&wire, &mut out);
    Ok(out)
}

/// Counts with the least processor time of five runs, which the machine's other work disturbs least.
fn count_quietly(
    wire: &WireSizes,
    size: (usize, usize),
    role: ControlRole,
    load: ControlLoad,
    span: Micros,
) -> ControlCount {
    let mut best = count_control(wire, size, role, load, span);
    for _ in 1..5 {
        let count = count_control(wire, size, role, load, span);
        best.processor = best.processor.min(count.processor);
    }
    best
}

/// Renders the cost of single changes: with them minus without.
fn render_changes(wire: &WireSizes, out: &mut String) {
    let _ = writeln!(
        out,
        "{:<24} {:>8} {:>9} {:>10} {:>10} {:>10} {:>9} {:>9}",
        "one change", "members", "databases", "messages", "sent B", "recv B", "allocs", "cpu us"
    );
    let span = Micros::from_secs(200);
    let every = Micros::from_secs(10);
    for size in SIZES {
        let idle = count_quietly(wire, size, ControlRole::Owner, ControlLoad::default(), span);
        let config = ControlLoad { config_every: Some(every), ..ControlLoad::default() };
        let member = ControlLoad { member_every: Some(every), ..ControlLoad::default() };
        let promotion = ControlLoad { promotion: true, ..ControlLoad::default() };
        for (name, load, changes) in [
            ("configuration change", config, 20.0),
            ("member restart", member, 20.0),
            ("promotion, per cluster", promotion, idle.owned.max(1) as f64),
        ] {
            let busy = count_quietly(wire, size, ControlRole::Owner, load, span);
            let change = |value: &dyn Fn(&ControlCount) -> f64| {
                // Report rounds go on in both runs; a promotion changes their number a little.
                (value(&busy) - value(&idle)) / changes
            };
            let _ = writeln!(
                out,
                "{:<24} {:>8} {:>9} {:>10.1} {:>10.0} {:>10.0} {:>9.0} {:>9.0}",
                name,
                size.0,
                size.1,
                change(&|count| count.sum(None, |flow| flow.messages) as f64),
                change(&|count| count.sum(None, |flow| flow.sent) as f64),
                change(&|count| count.sum(None, |flow| flow.received) as f64),
                change(&|count| count.allocations as f64),
                change(&|count| count.processor.as_secs_f64() * 1e6),
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

/// Renders the report rounds of one cluster's owner.
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
