//! Simulates whole fleets in virtual time, with delay and loss between nodes.
//!
//! Guards against members whose death or arrival stays unknown, owners that differ between nodes,
//! documents that do not arrive, and control traffic per node that grows with the fleet.
#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use member::{
    Heartbeat, MemberAction, MemberConfig, MemberEvent, MemberInfo, MemberState, MemberTable,
    PlatformVm,
};
use model::{Micros, Name};

const DOCUMENT: &str = "cicadawick/config";

#[derive(Clone, Debug)]
enum Message {
    Request(Heartbeat),
    Answer(Heartbeat),
    /// First heartbeat from a node that knows only the address.
    Hello(Heartbeat),
    Welcome(Heartbeat),
    PullTable(Name),
    Table(Vec<MemberInfo>),
    PullDocument(Name, Name),
    Document(Name, u64),
    Timer,
}

struct FleetNode {
    info: MemberInfo,
    table: MemberTable,
    up: bool,
    /// Messages are kept until the node resumes.
    paused: bool,
    undelivered: Vec<Message>,
    partition: usize,
    document: u64,
    document_at: Micros,
    timer_at: Option<Micros>,
    bytes_sent: u64,
    messages_sent: u64,
    lost_members: Vec<Name>,
}

struct FleetModel {
    now: Micros,
    nodes: Vec<FleetNode>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize, usize)>>,
    messages: Vec<Option<Message>>,
    sequence: u64,
    random: u64,
    loss_percent: u64,
    is_partitioned: bool,
    false_deaths: u64,
}

fn info_bytes(info: &MemberInfo) -> u64 {
    // Names with a length byte, two IPv4 addresses with ports, incarnation and state.
    (info.name.len() + info.data_centre.len() + 2 + 2 * 6 + 8 + 1) as u64
}

/// Size from the fields, with 40 bytes for the call's header.
fn message_bytes(message: &Message) -> u64 {
    const CALL_BYTES: u64 = 40;
    CALL_BYTES
        + match message {
            Message::Request(heartbeat)
            | Message::Answer(heartbeat)
            | Message::Hello(heartbeat)
            | Message::Welcome(heartbeat) => {
                let revisions: usize =
                    heartbeat.revisions.iter().map(|(name, _)| name.len() + 1 + 8).sum();
                let changes: u64 = heartbeat.changes.iter().map(info_bytes).sum();
                info_bytes(&heartbeat.from) + 8 + revisions as u64 + changes
            }
            Message::Table(members) => members.iter().map(info_bytes).sum(),
            Message::PullTable(_) | Message::Timer => 0,
            // The document itself is counted where it is carried.
            Message::PullDocument(name, _) | Message::Document(name, _) => name.len() as u64 + 8,
        }
}

fn node_info(index: usize, data_centres: usize) -> MemberInfo {
    MemberInfo {
        name: format!("vm-{index:03}").into(),
        data_centre: format!("dc-{}", index % data_centres).into(),
        peer_address: format!("10.{}.{}.1:7400", index / 250, index % 250).parse().unwrap(),
        admin_address: format!("10.{}.{}.1:7401", index / 250, index % 250).parse().unwrap(),
        incarnation: 1_700_000_000_000 + index as u64,
        state: MemberState::Alive,
    }
}

impl FleetModel {
    /// Starts nodes that all know each other.
    fn start(count: usize, data_centres: usize) -> Self {
        let mut fleet = FleetModel::empty();
        for index in 0..count {
            fleet.add(node_info(index, data_centres));
        }
        // The table of a joined node holds the incarnation with its refutation bits.
        let members: Vec<MemberInfo> =
            fleet.nodes.iter().map(|node| node.table.members()[0].clone()).collect();
        for index in 0..count {
            // Nodes do not start at the same instant, so their rounds are spread over a second.
            fleet.now = Micros(index as u64 * 1_000_000 / count as u64);
            fleet.handle(index, MemberEvent::TableArrived(members.clone()));
        }
        fleet.run_until(Micros::from_secs(20));
        fleet
    }

    fn empty() -> Self {
        FleetModel {
            now: Micros::ZERO,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            messages: Vec::new(),
            sequence: 0,
            random: 0x1234_5678,
            loss_percent: 0,
            is_partitioned: false,
            false_deaths: 0,
        }
    }

    fn add(&mut self, info: MemberInfo) -> usize {
        self.nodes.push(FleetNode {
            table: MemberTable::new(MemberConfig::default(), info.clone()),
            info,
            up: true,
            paused: false,
            undelivered: Vec::new(),
            partition: 0,
            document: 0,
            document_at: Micros::ZERO,
            timer_at: None,
            bytes_sent: 0,
            messages_sent: 0,
            lost_members: Vec::new(),
        });
        self.nodes.len() - 1
    }

    /// Starts a node that knows only the addresses of two others.
    fn join(&mut self, info: MemberInfo, seeds: [usize; 2]) -> usize {
        let index = self.add(info);
        self.handle(index, MemberEvent::Timer);
        for seed in seeds {
            let heartbeat = self.nodes[index].table.heartbeat();
            self.send(index, seed, Message::Hello(heartbeat));
        }
        index
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn index_of(&self, name: &str) -> Option<usize> {
        self.nodes.iter().rposition(|node| node.info.name.as_str() == name)
    }

    fn schedule(&mut self, at: Micros, to: usize, message: Message) {
        self.sequence += 1;
        self.messages.push(Some(message));
        self.queue.push(Reverse((at, self.sequence, to, self.messages.len() - 1)));
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = message_bytes(&message);
        let node = &mut self.nodes[from];
        node.bytes_sent += bytes;
        node.messages_sent += 1;
        if self.random_below(100) < self.loss_percent {
            return;
        }
        if self.is_partitioned && self.nodes[from].partition != self.nodes[to].partition {
            return;
        }
        let same_data_centre = self.nodes[from].info.data_centre == self.nodes[to].info.data_centre;
        let delay = if same_data_centre {
            300 + self.random_below(700)
        } else {
            15_000 + self.random_below(10_000)
        };
        self.schedule(self.now + Micros(delay), to, message);
    }

    fn handle(&mut self, index: usize, event: MemberEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        self.nodes[index].table.handle(now, event, &mut actions);
        for action in actions {
            match action {
                MemberAction::SendHeartbeat { to, heartbeat } => {
                    assert!(heartbeat.changes.len() <= 8);
                    if let Some(to) = self.index_of(&to.name) {
                        self.send(index, to, Message::Request(heartbeat));
                    }
                }
                MemberAction::PullTable { from } => {
                    let own = self.nodes[index].info.name.clone();
                    if let Some(from) = self.index_of(&from.name) {
                        self.send(index, from, Message::PullTable(own));
                    }
                }
                MemberAction::PullDocument { from, document } => {
                    let own = self.nodes[index].info.name.clone();
                    if let Some(from) = self.index_of(&from.name) {
                        self.send(index, from, Message::PullDocument(document, own));
                    }
                }
                MemberAction::OwnersChanged => {}
                MemberAction::MemberLost(name) => {
                    let lost = self.index_of(&name).is_some_and(|at| !self.nodes[at].up);
                    self.false_deaths += u64::from(!lost);
                    self.nodes[index].lost_members.push(name);
                }
            }
        }
        let due = self.nodes[index].table.next_timer();
        if let Some(due) = due
            && self.nodes[index].timer_at.is_none_or(|at| due < at || at <= now)
        {
            self.nodes[index].timer_at = Some(due);
            self.schedule(due.max(now), index, Message::Timer);
        }
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        if node.paused {
            node.undelivered.push(message);
            return;
        }
        match message {
            Message::Timer => {
                // Timers that were replaced by an earlier one do nothing.
                self.nodes[to].timer_at = None;
                self.handle(to, MemberEvent::Timer);
            }
            Message::Request(heartbeat) | Message::Hello(heartbeat) => {
                let from = self.index_of(&heartbeat.from.name).unwrap();
                let first = self.nodes[to].table.member(&heartbeat.from.name).is_none();
                self.handle(to, MemberEvent::HeartbeatArrived(heartbeat));
                let answer = self.nodes[to].table.heartbeat();
                let answer = if first { Message::Welcome(answer) } else { Message::Answer(answer) };
                self.send(to, from, answer);
            }
            Message::Answer(heartbeat) => {
                self.handle(to, MemberEvent::HeartbeatAnswered(heartbeat));
            }
            Message::Welcome(heartbeat) => self.handle(to, MemberEvent::PeerFound(heartbeat)),
            Message::PullTable(from) => {
                let members = self.nodes[to].table.members();
                if let Some(from) = self.index_of(&from) {
                    self.send(to, from, Message::Table(members));
                }
            }
            Message::Table(members) => self.handle(to, MemberEvent::TableArrived(members)),
            Message::PullDocument(document, from) => {
                let revision = self.nodes[to].document;
                if let Some(from) = self.index_of(&from) {
                    self.send(to, from, Message::Document(document, revision));
                }
            }
            Message::Document(document, revision) => self.hold_document(to, document, revision),
        }
    }

    fn hold_document(&mut self, index: usize, document: Name, revision: u64) {
        if revision > self.nodes[index].document {
            self.nodes[index].document = revision;
            self.nodes[index].document_at = self.now;
            self.handle(index, MemberEvent::DocumentHeld { document, revision });
        }
    }

    fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for message in std::mem::take(&mut self.nodes[index].undelivered) {
            self.deliver(index, message);
        }
        self.handle(index, MemberEvent::Timer);
    }

    fn run_until(&mut self, end: Micros) {
        while let Some(Reverse((at, _, to, message))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let message = self.messages[message].take().unwrap();
            self.deliver(to, message);
        }
        self.now = end;
        if self.queue.is_empty() {
            self.messages.clear();
        }
    }

    fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    /// Runs until the condition holds on all live nodes; returns the time it took.
    fn run_until_all(&mut self, limit: Micros, condition: impl Fn(&FleetNode) -> bool) -> Micros {
        let start = self.now;
        while !self.nodes.iter().filter(|node| node.up).all(&condition) {
            let missing: Vec<&str> = self
                .nodes
                .iter()
                .filter(|node| node.up && !condition(node))
                .map(|node| node.info.name.as_str())
                .collect();
            assert!(self.now - start < limit, "after {limit} still missing at {missing:?}");
            self.run_for(Micros::from_millis(10));
        }
        self.now - start
    }

    fn kill(&mut self, index: usize) -> Name {
        self.nodes[index].up = false;
        self.nodes[index].info.name.clone()
    }

    /// Asserts that the nodes agree on the owners of 50 databases, and returns them.
    fn agreed_owners(&self, nodes: &[usize]) -> Vec<Name> {
        let mut owners: Vec<Name> = Vec::new();
        for database in 0..50 {
            let (key, data_centre) = (format!("db-{database}"), format!("dc-{}", database % 3));
            let owner = self.nodes[nodes[0]].table.owner_of(&key, &data_centre);
            for node in nodes {
                assert_eq!(self.nodes[*node].table.owner_of(&key, &data_centre), owner, "{key}");
            }
            owners.push(owner);
        }
        owners
    }

    fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].up).collect()
    }

    fn dead_at(node: &FleetNode, name: &Name) -> bool {
        node.table.member(name).is_none_or(|info| info.state == MemberState::Dead)
    }

    fn alive_at(node: &FleetNode, name: &Name) -> bool {
        node.table.member(name).is_some_and(|info| info.state == MemberState::Alive)
    }
}

/// Checks without loss that deaths, a join and a document become known to all nodes.
fn check_dissemination(count: usize, data_centres: usize) {
    let mut fleet = FleetModel::start(count, data_centres);
    assert_eq!(fleet.false_deaths, 0);
    fleet.agreed_owners(&fleet.live());

    let watcher = fleet.nodes[0].table.watcher_of("dc-0").unwrap();
    let other = (0..count).find(|at| fleet.nodes[*at].info.name != watcher).unwrap();
    for victim in [fleet.index_of(&watcher).unwrap(), other] {
        let name = fleet.kill(victim);
        let took =
            fleet.run_until_all(Micros::from_secs(6), |node| FleetModel::dead_at(node, &name));
        println!("{count} nodes: death of {name} known by all after {took}");
        fleet.agreed_owners(&fleet.live());
        fleet.run_for(Micros::from_secs(10));
    }
    let info = node_info(count, data_centres);
    let name = info.name.clone();
    let seeds = [fleet.live()[0], fleet.live()[1]];
    fleet.join(info, seeds);
    let took = fleet.run_until_all(Micros::from_secs(6), |node| FleetModel::alive_at(node, &name));
    println!("{count} nodes: join of {name} known by all after {took}");
    let live = fleet.live().len();
    fleet.run_until_all(Micros::from_secs(6), |node| {
        let members = node.table.members();
        members.iter().filter(|info| info.state != MemberState::Dead).count() == live
    });
    fleet.agreed_owners(&fleet.live());

    let source = fleet.live()[1];
    fleet.hold_document(source, DOCUMENT.into(), 7);
    let took = fleet.run_until_all(Micros::from_secs(2), |node| node.document == 7);
    println!("{count} nodes: document known by all after {took}");
}

#[test]
fn changes_reach_9_nodes() {
    check_dissemination(9, 4);
}

#[test]
fn changes_reach_94_nodes() {
    check_dissemination(94, 4);
}

#[test]
fn changes_reach_660_nodes() {
    check_dissemination(660, 7);
}

/// Runs a fleet with documents and changes and returns the highest numbers of bytes and messages that
/// a node sent per second.
fn traffic(count: usize, data_centres: usize) -> (u64, u64) {
    const SECONDS: u64 = 60;
    let mut fleet = FleetModel::start(count, data_centres);
    fleet.hold_document(1, DOCUMENT.into(), 1);
    fleet.hold_document(1, "cicadawick/token-keys".into(), 1);
    fleet.run_for(Micros::from_secs(5));
    for node in &mut fleet.nodes {
        (node.bytes_sent, node.messages_sent) = (0, 0);
    }
    // Far more than the 420 restarts and 410 documents of a day: one each in a minute.
    fleet.kill(3);
    fleet.run_for(Micros::from_secs(20));
    fleet.join(node_info(count, data_centres), [0, 1]);
    fleet.hold_document(1, DOCUMENT.into(), 2);
    fleet.run_for(Micros::from_secs(SECONDS - 20));
    let bytes = fleet.nodes.iter().map(|node| node.bytes_sent / SECONDS).max().unwrap();
    let messages = fleet.nodes.iter().map(|node| node.messages_sent / SECONDS).max().unwrap();
    let total: u64 = fleet.nodes.iter().map(|node| node.bytes_sent / SECONDS).sum();
    println!(
        "{count} nodes in {data_centres} data centres: at most {bytes} bytes/s and {messages} \
         messages/s sent by a node, {} bytes/s on average",
        total / count as u64
    );
    (bytes, messages)
}

/// Guards against traffic that grows with the fleet.
#[test]
fn traffic_per_node_is_bounded() {
    for (count, data_centres) in [(9, 4), (94, 4), (660, 7)] {
        let (bytes, messages) = traffic(count, data_centres);
        assert!(bytes < 4_096, "{bytes} bytes/s");
        assert!(messages < 30, "{messages} messages/s");
    }
}

/// Guards against documents that never arrive after a lost message: later heartbeats repeat them.
#[test]
fn documents_arrive_despite_loss() {
    for (count, data_centres) in [(9, 4), (94, 4), (660, 7)] {
        let mut fleet = FleetModel::start(count, data_centres);
        fleet.loss_percent = 20;
        for revision in 1..=3 {
            let source = (revision as usize * 31) % count;
            fleet.hold_document(source, DOCUMENT.into(), revision);
            let took = fleet.run_until_all(Micros::from_secs(17), |node| node.document == revision);
            println!("{count} nodes, 20% loss: document known by all after {took}");
        }
        fleet.false_deaths = 0;
        fleet.run_for(Micros::from_secs(30));
        let false_deaths = fleet.false_deaths;
        println!("{count} nodes, 20% loss: {false_deaths} records of false deaths in 30 s");
        fleet.loss_percent = 0;
        fleet.run_for(Micros::from_secs(30));
        fleet.agreed_owners(&fleet.live());
    }
}

/// Guards against deaths that stay undetected, or false ones, when messages are lost.
#[test]
fn deaths_are_detected_despite_loss() {
    let mut fleet = FleetModel::start(94, 4);
    fleet.loss_percent = 5;
    for victim in [5, 40, 77] {
        let name = fleet.kill(victim);
        let took =
            fleet.run_until_all(Micros::from_secs(12), |node| FleetModel::dead_at(node, &name));
        println!("94 nodes, 5% loss: death known by all after {took}");
    }
    assert_eq!(fleet.false_deaths, 0);
}

/// Guards against two owners in one partition, and against tables that stay different after the
/// partition heals.
#[test]
fn partitioned_data_centres_choose_owners_and_merge() {
    for (count, data_centres) in [(9, 4), (94, 4), (660, 7)] {
        let mut fleet = FleetModel::start(count, data_centres);
        let before = fleet.agreed_owners(&fleet.live());
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            node.partition = usize::from(index % data_centres == 0);
        }
        let partitions: Vec<Vec<usize>> = (0..2)
            .map(|partition| {
                (0..count).filter(|at| fleet.nodes[*at].partition == partition).collect()
            })
            .collect();
        fleet.is_partitioned = true;
        let all_owned_locally = |fleet: &FleetModel| {
            partitions.iter().all(|partition| {
                partition.iter().all(|at| {
                    (0..50).all(|database| {
                        let data_centre = format!("dc-{}", database % 3);
                        let owner = fleet.nodes[*at]
                            .table
                            .owner_of(&format!("db-{database}"), &data_centre);
                        partition.contains(&fleet.index_of(&owner).unwrap())
                    })
                })
            })
        };
        let start = fleet.now;
        while !all_owned_locally(&fleet) {
            assert!(
                fleet.now - start < Micros::from_secs(8),
                "a database has no owner in one of the partitions"
            );
            fleet.run_for(Micros::from_millis(100));
        }
        println!("{count} nodes: owners in each partition {} after its start", fleet.now - start);
        fleet.run_for(Micros::from_secs(10));
        for partition in &partitions {
            fleet.agreed_owners(partition);
        }
        // Changes in both partitions.
        let dead = fleet.kill(partitions[0][1]);
        let source = partitions[1][0];
        fleet.hold_document(source, DOCUMENT.into(), 9);
        fleet.run_for(Micros::from_secs(60));
        fleet.is_partitioned = false;
        let took = fleet.run_until_all(Micros::from_secs(17), |node| {
            FleetModel::dead_at(node, &dead)
                && node.document == 9
                && (0..data_centres).all(|at| node.table.is_reachable(&format!("dc-{at}")))
        });
        println!("{count} nodes: merged {took} after the heal");
        fleet.run_for(Micros::from_secs(5));
        let after = fleet.agreed_owners(&fleet.live());
        for (before, after) in before.iter().zip(&after) {
            assert!(before == after || *before == dead, "{before} lost a database to {after}");
        }
    }
}

/// Guards against halves of one data centre that do not merge after a partition.
#[test]
fn partition_inside_a_data_centre_heals() {
    let mut fleet = FleetModel::start(40, 1);
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.partition = index % 2;
    }
    fleet.is_partitioned = true;
    fleet.run_for(Micros::from_secs(60));
    let one: Vec<usize> = (0..40).filter(|at| at % 2 == 0).collect();
    for owner in fleet.agreed_owners(&one) {
        assert!(one.contains(&fleet.index_of(&owner).unwrap()));
    }
    fleet.is_partitioned = false;
    let took = fleet.run_until_all(Micros::from_secs(60), |node| {
        node.table.members().iter().all(|info| info.state == MemberState::Alive)
    });
    println!("40 nodes: halves of a data centre merged {took} after the heal");
    fleet.run_for(Micros::from_secs(5));
    fleet.agreed_owners(&fleet.live());
}

/// Guards against a paused process that stays dead at the other nodes after it resumes.
#[test]
fn paused_process_refutes_its_death() {
    let mut fleet = FleetModel::start(20, 2);
    let name = fleet.nodes[4].info.name.clone();
    let before = fleet.nodes[4].table.member(&name).unwrap().incarnation;
    fleet.nodes[4].paused = true;
    fleet.run_for(Micros::from_secs(20));
    assert!((0..20).filter(|at| *at != 4).all(|at| FleetModel::dead_at(&fleet.nodes[at], &name)));
    fleet.resume(4);
    let took = fleet.run_until_all(Micros::from_secs(6), |node| FleetModel::alive_at(node, &name));
    println!("20 nodes: paused process alive for all {took} after it resumed");
    let after = fleet.nodes[0].table.member(&name).unwrap();
    assert!(after.incarnation > before);
    assert_eq!(after.process_incarnation(), before >> 12);
    let lost = |node: &FleetNode| node.lost_members.iter().filter(|lost| **lost == name).count();
    assert!(fleet.nodes.iter().enumerate().all(|(at, node)| at == 4 || lost(node) == 1));
    assert!(fleet.nodes[4].lost_members.is_empty(), "{:?}", fleet.nodes[4].lost_members);
}

/// Guards against a restart after which other nodes keep what the old process held.
#[test]
fn restart_releases_what_the_old_process_held() {
    let mut fleet = FleetModel::start(12, 2);
    let name = fleet.kill(3);
    fleet.run_for(Micros::from_millis(500));
    let mut info = node_info(3, 2);
    info.incarnation += 600;
    fleet.join(info, [0, 1]);
    fleet.run_for(Micros::from_secs(10));
    for at in fleet.live() {
        let node = &fleet.nodes[at];
        assert!(FleetModel::alive_at(node, &name));
        let lost = node.lost_members.iter().filter(|lost| **lost == name).count();
        assert_eq!(lost, usize::from(at != 12), "{}", node.info.name);
    }
    // A clock that was set back must not keep a new process out.
    let name = fleet.kill(5);
    fleet.run_for(Micros::from_secs(10));
    let mut info = node_info(5, 2);
    info.incarnation -= 5_000;
    fleet.join(info, [0, 1]);
    let took = fleet.run_until_all(Micros::from_secs(6), |node| FleetModel::alive_at(node, &name));
    println!("12 nodes: process with an earlier clock alive for all after {took}");
}

/// Guards against leaving members that still own something.
#[test]
fn leaving_members_own_nothing() {
    let mut fleet = FleetModel::start(12, 2);
    let owner = fleet.nodes[0].table.owner_of("db-1", "dc-1");
    let at = fleet.index_of(&owner).unwrap();
    fleet.handle(at, MemberEvent::Leave);
    let took = fleet.run_until_all(Micros::from_secs(1), |node| {
        node.table.owner_of("db-1", "dc-1") != owner
            && node.table.watcher_of("dc-1").unwrap() != owner
    });
    println!("12 nodes: leaving known by all after {took}");
    fleet.agreed_owners(&fleet.live());
    fleet.kill(at);
    fleet.run_until_all(Micros::from_secs(6), |node| FleetModel::dead_at(node, &owner));
}

/// Guards against slow detection when a rack or a whole data centre fails.
#[test]
fn simultaneous_deaths_are_detected() {
    let mut fleet = FleetModel::start(94, 4);
    for at in 0..94 {
        if at % 9 == 0 {
            fleet.kill(at);
        }
    }
    let dead: Vec<Name> = (0..94).step_by(9).map(|at| fleet.nodes[at].info.name.clone()).collect();
    let took = fleet.run_until_all(Micros::from_secs(9), |node| {
        dead.iter().all(|name| FleetModel::dead_at(node, name))
    });
    println!("94 nodes: 11 deaths at once known by all after {took}");
    fleet.run_for(Micros::from_secs(10));
    for at in 0..94 {
        if at % 4 == 2 {
            fleet.kill(at);
        }
    }
    let took = fleet.run_until_all(Micros::from_secs(9), |node| !node.table.is_reachable("dc-2"));
    println!("94 nodes: loss of a data centre known by all after {took}");
    fleet.run_for(Micros::from_secs(1));
    for owner in fleet.agreed_owners(&fleet.live()) {
        assert!(fleet.nodes[fleet.index_of(&owner).unwrap()].up);
    }
}

/// Guards against a death that stays undetected because no third node can confirm it.
#[test]
fn two_nodes_detect_a_death_without_confirmation() {
    let mut fleet = FleetModel::start(2, 1);
    let name = fleet.kill(1);
    let took = fleet.run_until_all(Micros::from_secs(7), |node| FleetModel::dead_at(node, &name));
    println!("2 nodes: death known after {took}");
}

/// Guards against an outdated platform list that declares members dead: it only adds members and marks
/// leaving ones.
#[test]
fn platform_list_adds_and_marks_members() {
    let mut fleet = FleetModel::start(6, 1);
    let row = |index: usize, leaving: bool| {
        let info = node_info(index, 1);
        PlatformVm {
            name: info.name,
            data_centre: info.data_centre,
            peer_address: info.peer_address,
            admin_address: info.admin_address,
            leaving,
        }
    };
    // A new node that is only in the list; one listed VM does not exist.
    let new = fleet.add(node_info(6, 1));
    fleet.handle(new, MemberEvent::Timer);
    let name = fleet.nodes[new].info.name.clone();
    let list = vec![row(0, false), row(1, true), row(6, false), row(99, false)];
    fleet.handle(0, MemberEvent::VmListArrived(list));
    fleet.run_until_all(Micros::from_secs(6), |node| FleetModel::alive_at(node, &name));
    fleet.run_for(Micros::from_secs(10));
    for node in &fleet.nodes {
        assert_eq!(node.table.members().len(), 7, "{}", node.info.name);
        assert_eq!(node.table.member("vm-001").unwrap().state, MemberState::Leaving);
        assert_eq!(node.table.member("vm-002").unwrap().state, MemberState::Alive);
    }
    let list = vec![row(0, false), row(1, false)];
    fleet.handle(0, MemberEvent::VmListArrived(list));
    fleet.run_until_all(Micros::from_secs(6), |node| {
        node.table.member("vm-001").unwrap().state == MemberState::Alive
    });
}

/// Guards against a cold start that does not converge; each node has two peers in its settings.
#[test]
fn cold_start_converges() {
    let mut fleet = FleetModel::empty();
    for index in 0..94 {
        let seeds = [index.min(1), index.min(1) / 2];
        fleet.join(node_info(index, 4), seeds);
        fleet.run_for(Micros::from_millis(20));
    }
    let took = fleet.run_until_all(Micros::from_secs(30), |node| node.table.members().len() == 94);
    let bytes = fleet.nodes.iter().map(|node| node.bytes_sent).max().unwrap();
    println!(
        "94 nodes: cold start complete {took} after the last start, at most {bytes} bytes sent"
    );
    assert_eq!(fleet.false_deaths, 0);
    fleet.agreed_owners(&fleet.live());
}
