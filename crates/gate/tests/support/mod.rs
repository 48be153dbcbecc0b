//! Simulation in virtual time: gates, databases with replication and terms, and the platform's
//! store.
//!
//! Connections can be cut per pair of node and database, and a node can be cut off from the store.
//! Every message takes [`NETWORK_DELAY`]; messages that meet a cut are lost.

#![allow(dead_code)] // Each test program uses a part of it.

pub mod peer_links;
pub mod single_gate;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

use account::{AccountConfig, AccountDirectory};
use bytes::Bytes;
use gate::*;
use model::{Micros, Name, Rank, Term};

/// One-way delay between any two parties.
pub const NETWORK_DELAY: Micros = Micros::from_millis(1);

/// Default time that a database takes for a statement.
const STATEMENT_TIME: Micros = Micros::from_millis(3);

/// Default time from a promotion call to its effect.
const PROMOTION_DELAY: Micros = Micros::from_millis(300);

pub const CLUSTER: &str = "billing";

pub fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// Client databases, by the freshness that their route requires.
pub const LATEST: &str = "sales";
pub const BOUNDED: &str = "balances";
pub const SESSION: &str = "readings";

#[derive(Clone, Debug)]
pub struct FakeDatabase {
    pub role: DatabaseRole,
    pub term: Term,
    pub received: TermPosition,
    pub fence: Term,
    pub unreachable: bool,
    /// Accepts connections but does not answer.
    pub hung: bool,
    /// Receives no log, and is not a synchronous replica in the meantime.
    pub replication_stopped: bool,
    pub leaving: bool,
    pub started_at_ms: u64,
    pub connections_refused: bool,
    /// Time for one statement.
    pub statement_time: Micros,
    /// Time for a statement whose text contains `long`, if it differs.
    pub long_statement_time: Option<Micros>,
    /// Share of reads that fail at once, in percent.
    pub failing_percent: u64,
    /// Share of statements that are executed without an answer, in percent.
    pub losing_percent: u64,
    /// Statements that were executed.
    pub statements: u64,
    /// Reads that were received.
    pub reads: u64,
    /// Runs statements but loses their answers.
    pub loses_answers: bool,
    /// Answers that it is busy instead of reporting, while it executes other commands.
    pub refuses_reports: bool,
    /// When each slot becomes free.
    pub slots: Vec<Micros>,
    /// Time that opening a connection takes of a slot; `None` if it takes none.
    pub handshake_time: Option<Micros>,
    /// Connections that it accepts from all nodes together.
    pub connection_limit: usize,
    /// Connections of processes that lost power, which it still holds.
    pub held_connections: usize,
    /// Refuses this account.
    pub refused_account: Option<Name>,
    /// Statements in execution order, with the position of the log.
    pub ran: Vec<(Name, TermPosition)>,
    pub reports: usize,
}

impl FakeDatabase {
    /// Occupies the slot that is free first, and returns when it is free again.
    fn use_slot(&mut self, now: Micros, time: Micros) -> Micros {
        let slot = self.slots.iter_mut().min().expect("there is a slot");
        *slot = now.max(*slot) + time;
        *slot
    }
}

#[derive(Clone, Debug)]
enum Delivery {
    Gate(usize, GateEvent),
    Command { gate: usize, connection: ConnectionId, database: Name, command: BackendCommand },
    Answer { gate: usize, connection: ConnectionId, database: Name, answer: Box<BackendAnswer> },
    Promoted { database: Name },
    NextRequest { session: SessionId },
    Link(peer_links::LinkDelivery),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledDelivery {
    at: Micros,
    sequence: u64,
}

/// A reply to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAnswer {
    pub at: Micros,
    pub session: SessionId,
    pub reply: ClientReply,
}

pub struct Simulation {
    pub now: Micros,
    pub gates: Vec<Gate>,
    pub names: Vec<Name>,
    pub databases: BTreeMap<Name, FakeDatabase>,
    /// Pairs of node and database that cannot reach each other.
    pub cuts: BTreeSet<(usize, Name)>,
    /// Nodes that cannot reach the store.
    pub store_cut: BTreeSet<usize>,
    /// Nodes that are not notified of document changes, while their calls are answered.
    pub documents_cut: BTreeSet<usize>,
    /// Nodes that are not notified of changes to the list of databases.
    pub list_cut: BTreeSet<usize>,
    pub answers: Vec<ClientAnswer>,
    pub logs: Vec<(Micros, usize, LogRecord)>,
    pub ready: Vec<bool>,
    pub promotions: Vec<(Micros, Name, u64)>,
    /// Promotions that took effect, with the end of the log with which the new primary began.
    pub promoted_logs: Vec<(Micros, Name, TermPosition)>,
    /// Time that the store takes to answer a read of its state.
    pub store_read_time: Micros,
    /// Time from a promotion call to its effect.
    pub promotion_delay: Micros,
    /// The platform refuses promotion calls.
    pub promotions_refused: bool,
    pub renewing: BTreeSet<usize>,
    /// Role and role changes of each node's registration.
    registered: Vec<(NodeRole, u64)>,
    pub stopped: BTreeSet<usize>,
    /// Nodes that are suspended, with the events that wait for [`Simulation::resume`].
    suspended: BTreeMap<usize, Vec<GateEvent>>,
    /// Pairs of node and database whose commands reach the database this much later, also if the
    /// node has closed the connection by then, because they are in the database's receive buffer.
    pub late_commands: BTreeMap<(usize, Name), Micros>,
    /// Sessions that send their next write one round trip after each answer, with the number of
    /// requests that their node has received.
    pub steady: BTreeMap<SessionId, (usize, u64)>,
    pub closed: BTreeSet<SessionId>,
    /// Requests that were sent to a database.
    pub sent: BTreeSet<Name>,
    /// Databases without an entry in the list.
    pub unlisted: BTreeSet<Name>,
    /// Roles in the entries of databases that are cut off from the store.
    pub stale_roles: BTreeMap<Name, DatabaseRole>,
    connections: BTreeMap<(usize, ConnectionId), Name>,
    /// Connections to a former process of a database, which gets none of their commands.
    broken: BTreeSet<(usize, ConnectionId)>,
    /// Accounts of all connections that were opened, in order.
    pub opened: Vec<((usize, ConnectionId), Option<Name>)>,
    /// Accounts under which requests ran, by request id.
    pub accounts: BTreeMap<Name, Option<Name>>,
    /// Highest number of connections to one database.
    pub peak_connections: usize,
    pub refused_sessions: BTreeMap<SessionId, ErrorCode>,
    pub counters: BTreeMap<&'static str, u64>,
    /// Commits that no replica has received yet.
    waiting_commits: Vec<Delivery>,
    documents: BTreeMap<String, StoredDocument>,
    /// Revision of the store in its era.
    pub revision: u64,
    /// An older copy of the store.
    copy: Option<(BTreeMap<String, StoredDocument>, u64)>,
    /// Era in which each node's registration was last stored.
    registered_eras: Vec<u64>,
    queue: BinaryHeap<Reverse<ScheduledDelivery>>,
    deliveries: BTreeMap<u64, Delivery>,
    sequence: u64,
    next_session: u64,
    /// Number of processes that were started again.
    incarnations: u64,
    pub links: peer_links::PeerLinks,
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn document_key(document: &Document) -> String {
    match document {
        Document::PromotionLease => "duty".to_string(),
        Document::NodeCount => "fleet".to_string(),
        Document::LogHolders(cluster) => format!("holders/{cluster}"),
        Document::Node(NodeRole::Owner, name) => format!("nodes/{name}"),
        Document::Node(NodeRole::Standby, name) => format!("standbys/{name}"),
    }
}

pub fn names_of(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_string()).collect()
}

pub fn route_table(max_connections: u32) -> RouteTable {
    let mut table = RouteTable { version: 1, ..RouteTable::default() };
    let limits = ClusterLimits { name: CLUSTER.into(), max_connections, sync_replicas: 1 };
    table.clusters.insert(CLUSTER.into(), limits);
    let ages = [
        (LATEST, Freshness::Latest, Rank::Urgent),
        (BOUNDED, Freshness::Bounded(Micros::from_millis(1_500)), Rank::Batch),
        (SESSION, Freshness::Session(Micros::from_millis(2_500)), Rank::Interactive),
    ];
    for (database, freshness, rank) in ages {
        let route = RouteConfig {
            name: database.into(),
            database: database.into(),
            cluster: CLUSTER.into(),
            freshness,
            timeout: Micros::from_millis(800),
            target_latency: Micros::from_millis(400),
            rank,
            public: false,
        };
        table.routes.insert(database.into(), Arc::new(route));
    }
    table.idle_transaction_timeout = Some(Micros::from_millis(3_000));
    table
}

/// Returns routes and accounts, each of which holds the keys that are listed with it.
pub fn accounts_table(version: u64, max_connections: u32, keys: &[(&str, &str)]) -> RouteTable {
    let mut accounts = BTreeMap::<&str, Vec<Name>>::new();
    for (key, account) in keys {
        accounts.entry(account).or_default().push((*key).into());
    }
    let accounts = accounts.into_iter().map(|(name, keys)| AccountConfig {
        name: name.into(),
        keys,
        limit: None,
    });
    let directory = AccountDirectory::new(accounts.collect()).expect("the accounts are valid");
    let mut table = route_table(max_connections);
    (table.version, table.accounts) = (version, Some(Arc::new(directory)));
    table
}

fn node_settings(name: &Name, incarnation: u64, is_linked: bool) -> GateSettings {
    GateSettings {
        node: name.clone(),
        data_centre: "east".into(),
        capacity: 250,
        peer_address: is_linked.then(|| address(9_000)),
        relay_address: None,
        incarnation,
        shutdown_grace: Micros::from_secs(6),
        configuration_bound: Micros::from_secs(3),
        leaving_bound: Micros::from_secs(7),
        quota: None,
    }
}

/// Returns a client's request.
pub fn client_request(
    id: &str,
    text: &str,
    required_position: Option<TermPosition>,
) -> ClientRequest {
    let statement = match text.split(' ').next().unwrap_or_default() {
        "BEGIN" => Statement::Begin { read_only: text.ends_with("READ") },
        "COMMIT" => Statement::Commit,
        "ROLLBACK" => Statement::Rollback,
        "WRITE" => Statement::Write,
        _ => Statement::Read,
    };
    ClientRequest { id: id.into(), text: text.into(), statement, required_position, caller: None }
}

impl Simulation {
    /// Starts nodes with one cluster of three databases, `a` (the primary), `b` and `c`, and runs
    /// until they are stable.
    pub fn start(nodes: usize) -> Simulation {
        let mut simulation = Simulation::empty(nodes);
        simulation.announce_store_state();
        simulation.run(Micros::from_secs(3));
        simulation.logs.clear();
        simulation
    }

    /// Starts nodes, and runs with reads at each of them for a second.
    pub fn start_with_reads(nodes: usize) -> Simulation {
        let mut simulation = Simulation::start(nodes);
        simulation.run_with_reads(&[LATEST], millis(1_000));
        simulation
    }

    /// Cuts a node off from the store until its registration has expired.
    pub fn expire_registration(&mut self, gate: usize) {
        self.store_cut.insert(gate);
        self.run(millis(1_000));
        self.remove_registration(gate);
    }

    /// Runs until a condition holds, which it must within a time.
    pub fn run_until(&mut self, time: Micros, what: &str, holds: impl Fn(&Simulation) -> bool) {
        let limit = self.now + time;
        while !holds(self) {
            self.run(millis(20));
            assert!(self.now < limit, "not in time: {what}");
        }
    }

    pub fn empty(nodes: usize) -> Simulation {
        Simulation::empty_with(nodes, false)
    }

    fn empty_with(nodes: usize, is_linked: bool) -> Simulation {
        let names: Vec<Name> = (0..nodes).map(|index| format!("n{index}").into()).collect();
        let settings = names.iter().map(|name| node_settings(name, 1, is_linked));
        let gates = settings.map(Gate::new).collect();
        let mut databases = BTreeMap::new();
        for name in ["a", "b", "c"] {
            let role = if name == "a" { DatabaseRole::Primary } else { DatabaseRole::Replica };
            let database = FakeDatabase {
                role,
                term: Term(1),
                received: TermPosition { term: Term(1), position: 10 },
                fence: Term(0),
                unreachable: false,
                hung: false,
                replication_stopped: false,
                leaving: false,
                started_at_ms: 1,
                connections_refused: false,
                statement_time: STATEMENT_TIME,
                long_statement_time: None,
                failing_percent: 0,
                losing_percent: 0,
                statements: 0,
                reads: 0,
                loses_answers: false,
                refuses_reports: false,
                slots: vec![Micros::ZERO],
                handshake_time: None,
                connection_limit: usize::MAX,
                held_connections: 0,
                refused_account: None,
                ran: Vec::new(),
                reports: 0,
            };
            databases.insert(Name::from(name), database);
        }
        Simulation {
            now: Micros::ZERO,
            ready: vec![false; nodes],
            gates,
            names,
            databases,
            cuts: BTreeSet::new(),
            store_cut: BTreeSet::new(),
            documents_cut: BTreeSet::new(),
            list_cut: BTreeSet::new(),
            answers: Vec::new(),
            logs: Vec::new(),
            promotions: Vec::new(),
            promoted_logs: Vec::new(),
            store_read_time: Micros::from_millis(5),
            promotion_delay: PROMOTION_DELAY,
            promotions_refused: false,
            renewing: (0..nodes).collect(),
            registered: vec![(NodeRole::Standby, 0); nodes],
            stopped: BTreeSet::new(),
            suspended: BTreeMap::new(),
            late_commands: BTreeMap::new(),
            steady: BTreeMap::new(),
            closed: BTreeSet::new(),
            sent: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            stale_roles: BTreeMap::new(),
            connections: BTreeMap::new(),
            broken: BTreeSet::new(),
            opened: Vec::new(),
            accounts: BTreeMap::new(),
            peak_connections: 0,
            refused_sessions: BTreeMap::new(),
            counters: BTreeMap::new(),
            waiting_commits: Vec::new(),
            documents: BTreeMap::new(),
            revision: 1,
            copy: None,
            registered_eras: vec![0; nodes],
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            next_session: 0,
            incarnations: 0,
            links: peer_links::PeerLinks { enabled: is_linked, ..Default::default() },
        }
    }

    /// Starts a node's process again: it knows nothing of before, and reads the store.
    pub fn start_again(&mut self, gate: usize) {
        self.remove_registration(gate);
        self.stopped.remove(&gate);
        self.renewing.insert(gate);
        self.start_again_in_place(gate);
    }

    /// Starts a node's process again before its registration expires.
    pub fn start_again_in_place(&mut self, gate: usize) {
        self.connections.retain(|(owner, _), _| *owner != gate);
        self.incarnations += 1;
        let incarnation = 1 + self.incarnations;
        self.gates[gate] =
            Gate::new(node_settings(&self.names[gate], incarnation, self.links.enabled));
        self.registered[gate] = (NodeRole::Standby, 0);
        let documents = self.documents.values().cloned().collect();
        self.read_store(gate, documents);
    }

    /// Passes a node what it reads from the store when it starts.
    fn read_store(&mut self, gate: usize, documents: Vec<StoredDocument>) {
        self.event(gate, GateEvent::RoutesChanged(Box::new(route_table(16))));
        let (list, revision) = (self.listed(), self.revision);
        self.event(gate, GateEvent::DatabasesListed(list));
        self.event(gate, GateEvent::DocumentsListed { documents, revision });
    }

    /// Removes or overwrites the record of log holders, as another writer may.
    pub fn replace_log_holders(&mut self, bytes: Option<Vec<u8>>) {
        let document = Document::LogHolders(CLUSTER.into());
        match bytes {
            Some(bytes) => {
                self.store(document, bytes);
            }
            None => self.remove_document(document),
        }
    }

    /// Returns the era of the store.
    pub fn era(&self) -> u64 {
        era_of_revision(self.revision)
    }

    /// Copies the documents of the store, for [`Simulation::begin_era`].
    pub fn copy_store(&mut self) {
        self.copy = Some((self.documents.clone(), assigned_revision(self.revision)));
    }

    /// Replaces the record of log holders in the copy by an older one.
    pub fn replace_log_holders_in_copy(&mut self, holders: &[&str]) {
        let record = LogHoldersRecord { holders: names_of(holders), ..LogHoldersRecord::default() };
        let (documents, _) = self.copy.as_mut().expect("there is a copy");
        let key = document_key(&Document::LogHolders(CLUSTER.into()));
        let stored = documents.get_mut(&key).expect("the copy has a record");
        stored.bytes = serde_json::to_vec(&record).expect("it is serialized");
    }

    /// Returns the stored record of log holders.
    pub fn log_holders(&self) -> Option<LogHoldersRecord> {
        let stored = self.stored(&Document::LogHolders(CLUSTER.into()))?;
        serde_json::from_slice(&stored.bytes).ok()
    }

    /// Removes the documents of a kind from the copy, as if they had been written after it.
    pub fn remove_from_copy(&mut self, removes: impl Fn(&Document) -> bool) {
        let (documents, _) = self.copy.as_mut().expect("there is a copy");
        documents.retain(|_, stored| !removes(&stored.document));
    }

    /// Replaces an owner's registration in the copy by one as a standby.
    pub fn make_standby_in_copy(&mut self, gate: usize) {
        let name = self.names[gate].clone();
        let owner = document_key(&Document::Node(NodeRole::Owner, name.clone()));
        let (documents, _) = self.copy.as_mut().expect("there is a copy");
        let mut stored = documents.remove(&owner).expect("the copy has a registration");
        stored.document = Document::Node(NodeRole::Standby, name);
        documents.insert(document_key(&stored.document), stored);
    }

    /// Restores the store from the last copy, which begins a new era. Nodes that are cut off from
    /// the store do not notice it; the leases that the others hold have ended.
    pub fn begin_era(&mut self) {
        let (documents, revision) = self.copy.clone().expect("there is a copy");
        let in_era = |revision| revision_in_era(self.era() + 1, revision).expect("it is in range");
        let restored = documents.into_iter().map(|(key, mut stored)| {
            stored.revision = in_era(assigned_revision(stored.revision));
            stored.lease = in_era(assigned_revision(stored.lease));
            (key, stored)
        });
        let documents = restored.collect();
        let revision = in_era(revision);
        (self.documents, self.revision) = (documents, revision);
        for gate in 0..self.gates.len() {
            if !self.store_cut.contains(&gate) && !self.documents_cut.contains(&gate) {
                let lost = GateEvent::RegistrationLeaseLost;
                self.schedule(NETWORK_DELAY, Delivery::Gate(gate, lost));
                self.restore_store(gate);
            }
        }
    }

    /// Returns a document's stored bytes.
    pub fn stored(&self, document: &Document) -> Option<&StoredDocument> {
        self.documents.get(&document_key(document))
    }

    /// Sends every node the contents of the store.
    pub fn announce_store_state(&mut self) {
        for gate in 0..self.gates.len() {
            self.read_store(gate, Vec::new());
        }
    }

    pub fn listed(&self) -> Vec<ListedDatabase> {
        let listed = self.databases.keys().filter(|name| !self.unlisted.contains(*name));
        listed.map(|name| self.listed_one(name)).collect()
    }

    /// Lets a node reach the store again; it lists the store first.
    pub fn restore_store(&mut self, gate: usize) {
        self.store_cut.remove(&gate);
        let documents = self.documents.values().cloned().collect();
        let listed = GateEvent::DatabasesListed(self.listed());
        let revision = self.revision;
        self.schedule(NETWORK_DELAY, Delivery::Gate(gate, listed));
        let documents = GateEvent::DocumentsListed { documents, revision };
        self.schedule(NETWORK_DELAY, Delivery::Gate(gate, documents));
    }

    fn listed_one(&self, name: &Name) -> ListedDatabase {
        let database = &self.databases[name];
        ListedDatabase {
            id: name.clone(),
            cluster: CLUSTER.into(),
            address: address(1_000 + u16::from(name.as_bytes()[0])),
            data_centre: "east".into(),
            slots: u32::try_from(database.slots.len()).expect("it is small").max(2),
            leaving: database.leaving,
            claimed_role: Some(self.stale_roles.get(name).copied().unwrap_or(database.role)),
            started_at_ms: Some(database.started_at_ms),
        }
    }

    /// Starts a replica again with its log. It has no fence any more.
    pub fn restart_replica(&mut self, name: &str) {
        let replica = self.database(name);
        replica.fence = Term(0);
        replica.replication_stopped = false;
        replica.started_at_ms += 1;
        self.publish_database(name);
    }

    /// Starts a database again with an empty log; its connections are lost after a while.
    pub fn start_database_anew(&mut self, name: &str, connections_lost_after: Micros) {
        let database = self.database(name);
        database.role = DatabaseRole::Replica;
        database.term = Term(0);
        database.received = TermPosition::default();
        database.fence = Term(0);
        database.started_at_ms += 1;
        self.lose_connections(name, connections_lost_after);
    }

    /// Ends the connections to a database, as its process does when it ends. Nodes notice it after
    /// a while.
    pub fn lose_connections(&mut self, name: &str, noticed_after: Micros) {
        let lost: Vec<(usize, ConnectionId)> = self
            .connections
            .iter()
            .filter(|(_, database)| &***database == name)
            .map(|(key, _)| *key)
            .collect();
        for (gate, connection) in lost {
            self.broken.insert((gate, connection));
            let event = GateEvent::ConnectionLost { connection };
            self.schedule(noticed_after, Delivery::Gate(gate, event));
        }
    }

    /// Notifies every node that reaches the store of the database's current entry.
    pub fn publish_database(&mut self, name: &str) {
        let listed = self.listed_one(&name.into());
        for gate in 0..self.gates.len() {
            if !self.store_cut.contains(&gate) && !self.list_cut.contains(&gate) {
                let event = GateEvent::DatabaseChanged(listed.clone());
                self.schedule(NETWORK_DELAY, Delivery::Gate(gate, event));
            }
        }
    }

    /// Returns the number of connections to a database from all nodes.
    pub fn connection_count(&self, name: &str) -> usize {
        self.connections.values().filter(|database| database.as_str() == name).count()
    }

    pub fn database(&mut self, name: &str) -> &mut FakeDatabase {
        self.databases.get_mut(name).expect("the database exists")
    }

    pub fn cut(&mut self, gate: usize, database: &str) {
        self.cuts.insert((gate, database.into()));
    }

    fn schedule(&mut self, delay: Micros, delivery: Delivery) {
        self.sequence += 1;
        self.deliveries.insert(self.sequence, delivery);
        self.queue
            .push(Reverse(ScheduledDelivery { at: self.now + delay, sequence: self.sequence }));
    }

    /// Runs for a time, with timer events, lease renewals and message deliveries.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            let tick = self.now + TIMER_INTERVAL;
            while let Some(Reverse(next)) = self.queue.peek()
                && next.at <= tick
            {
                let Reverse(next) = self.queue.pop().expect("the queue is not empty");
                self.now = self.now.max(next.at);
                let delivery = self.deliveries.remove(&next.sequence).expect("it is scheduled");
                self.deliver(delivery);
            }
            self.now = tick;
            for commit in std::mem::take(&mut self.waiting_commits) {
                self.deliver(commit);
            }
            let renews = (tick.0 / TIMER_INTERVAL.0).is_multiple_of(15);
            for gate in 0..self.gates.len() {
                if self.stopped.contains(&gate) || self.suspended.contains_key(&gate) {
                    continue;
                }
                let renews = renews && self.registered_eras[gate] == self.era();
                if renews && self.renewing.contains(&gate) && !self.store_cut.contains(&gate) {
                    let sent = self.now;
                    let event = match self.registered[gate] {
                        (NodeRole::Owner, role_changes) => {
                            GateEvent::ReadLeaseRenewed { sent, role_changes }
                        }
                        (NodeRole::Standby, _) => GateEvent::StoreContactRenewed { sent },
                    };
                    self.event(gate, event);
                }
                self.event(gate, GateEvent::Timer);
            }
        }
    }

    /// Passes a node an event. What it learns from the store tells it also how far it follows the store.
    pub fn event(&mut self, gate: usize, event: GateEvent) {
        let revision = match &event {
            GateEvent::DocumentsListed { revision, .. }
            | GateEvent::DocumentRemoved { revision, .. } => Some(*revision),
            GateEvent::DocumentChanged(stored) => Some(stored.revision),
            _ => None,
        };
        self.pass_event(gate, event);
        if let Some(revision) = revision {
            let known_at = self.now;
            self.pass_event(gate, GateEvent::StoreFollowed { revision, known_at });
        }
    }

    fn pass_event(&mut self, gate: usize, event: GateEvent) {
        if let Some(waiting) = self.suspended.get_mut(&gate) {
            let from_own_process = matches!(
                event,
                GateEvent::Timer
                    | GateEvent::ReadLeaseRenewed { .. }
                    | GateEvent::StoreContactRenewed { .. }
            );
            if !from_own_process {
                waiting.push(event);
            }
            return;
        }
        let mut actions = Vec::new();
        self.gates[gate].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute_action(gate, action);
        }
    }

    fn execute_action(&mut self, gate: usize, action: GateAction) {
        let Some(action) = self.execute_link_action(gate, action) else { return };
        match action {
            GateAction::OpenConnection { connection, database, account, .. } => {
                self.connections.insert((gate, connection), database.clone());
                self.opened.push(((gate, connection), account.clone()));
                let open = self.connections.values().filter(|other| **other == database).count();
                let now = self.now;
                let Some(state) = self.databases.get_mut(&database) else { return };
                if self.cuts.contains(&(gate, database)) || state.unreachable {
                    return;
                }
                let refusal = if state.connections_refused
                    || open + state.held_connections > state.connection_limit
                {
                    Some(ErrorCode::TooManyConnections)
                } else if account.is_some() && account == state.refused_account {
                    Some(ErrorCode::NotAuthorized)
                } else {
                    None
                };
                let event = match refusal {
                    Some(code) => {
                        self.connections.remove(&(gate, connection));
                        GateEvent::ConnectionRefused { connection, code }
                    }
                    None => {
                        self.peak_connections = self.peak_connections.max(open);
                        GateEvent::ConnectionOpened { connection, position: Some(state.received) }
                    }
                };
                let delay = match state.handshake_time {
                    Some(time) => state.use_slot(now, time).saturating_sub(now) + NETWORK_DELAY,
                    None => Micros::from_millis(14),
                };
                self.schedule(delay, Delivery::Gate(gate, event));
            }
            GateAction::CloseConnection { connection } => {
                self.connections.remove(&(gate, connection));
            }
            GateAction::Send { connection, commands } => {
                let Some(database) = self.connections.get(&(gate, connection)).cloned() else {
                    return;
                };
                for command in commands {
                    if let BackendCommand::Run { id, .. } = &command {
                        self.sent.insert(id.clone());
                    }
                    let database = database.clone();
                    let late = self.late_commands.get(&(gate, database.clone())).copied();
                    self.schedule(
                        NETWORK_DELAY + late.unwrap_or_default(),
                        Delivery::Command { gate, connection, database, command },
                    );
                }
            }
            GateAction::Reply { session, reply, .. } => {
                self.answers.push(ClientAnswer { at: self.now, session, reply });
                if self.steady.contains_key(&session) {
                    let delivery = Delivery::NextRequest { session };
                    self.schedule(NETWORK_DELAY + NETWORK_DELAY, delivery);
                }
            }
            GateAction::CloseSession { session } => {
                self.closed.insert(session);
            }
            GateAction::WritePromotionLease { attempt, expected, bytes } => {
                if self.store_cut.contains(&gate) {
                    return;
                }
                let current = self.documents.get("duty").map_or(0, |stored| stored.revision);
                let former = expected != 0 && era_of_revision(expected) != self.era();
                // The store compares the revisions that it assigned. The answer shows the new era.
                let result = if assigned_revision(current) == assigned_revision(expected) {
                    let revision = self.store(Document::PromotionLease, bytes);
                    WriteResult::Written { revision }
                } else {
                    WriteResult::Conflict
                };
                let result = if former { WriteResult::Failed } else { result };
                let event = GateEvent::PromotionLeaseWritten { attempt, result };
                self.schedule(Micros::from_millis(5), Delivery::Gate(gate, event));
            }
            GateAction::PublishRegistration { role, role_changes, bytes } => {
                if !self.store_cut.contains(&gate) {
                    self.registered[gate] = (role, role_changes);
                    self.registered_eras[gate] = self.era();
                    let name = self.names[gate].clone();
                    let revision = self.store(Document::Node(role, name.clone()), bytes);
                    let former = match role {
                        NodeRole::Owner => NodeRole::Standby,
                        NodeRole::Standby => NodeRole::Owner,
                    };
                    self.remove_document(Document::Node(former, name));
                    let sent = self.now;
                    let event = GateEvent::RegistrationStored { role_changes, revision, sent };
                    self.schedule(NETWORK_DELAY, Delivery::Gate(gate, event));
                }
            }
            GateAction::WriteNodeCount { bytes } => {
                if !self.store_cut.contains(&gate) {
                    self.store(Document::NodeCount, bytes);
                }
            }
            GateAction::WriteLogHolders { cluster, expected, bytes } => {
                let document = Document::LogHolders(cluster);
                let current = self.documents.get(&document_key(&document));
                if !self.store_cut.contains(&gate)
                    && current.map_or(0, |stored| assigned_revision(stored.revision))
                        == assigned_revision(expected)
                {
                    self.store(document, bytes);
                }
            }
            GateAction::ReadStoreState => {
                if !self.store_cut.contains(&gate) {
                    let documents = self.documents.values().cloned().collect();
                    let (databases, revision) = (self.listed(), self.revision);
                    let state = Some(StoreState {
                        revision,
                        databases,
                        unreadable_entries: Vec::new(),
                        documents,
                    });
                    let event = GateEvent::StoreStateRead { state };
                    self.schedule(self.store_read_time, Delivery::Gate(gate, event));
                }
            }
            GateAction::EndLease { node, lease, .. } => {
                let ended = era_of_revision(lease) == self.era();
                let index = self.names.iter().position(|name| *name == node);
                if let Some(index) = index.filter(|_| ended) {
                    self.renewing.remove(&index);
                    self.remove_document(Document::Node(NodeRole::Owner, node.clone()));
                }
                let event = GateEvent::EndLeaseAnswered { node, ended };
                self.schedule(Micros::from_millis(5), Delivery::Gate(gate, event));
            }
            GateAction::Promote { cluster, .. } if self.promotions_refused => {
                let event = GateEvent::PromoteAnswered { cluster, result: PromoteResult::Failed };
                self.schedule(Micros::from_millis(5), Delivery::Gate(gate, event));
            }
            GateAction::Promote { cluster, database, fencing_token, .. } => {
                self.promotions.push((self.now, database.clone(), fencing_token));
                self.schedule(self.promotion_delay, Delivery::Promoted { database });
                let event = GateEvent::PromoteAnswered { cluster, result: PromoteResult::Accepted };
                self.schedule(Micros::from_millis(5), Delivery::Gate(gate, event));
            }
            GateAction::SetReady(ready) => self.ready[gate] = ready,
            GateAction::ShutdownComplete => {
                self.stopped.insert(gate);
            }
            GateAction::Log(record) => self.logs.push((self.now, gate, record)),
            GateAction::RefuseSession { session, code, .. } => {
                self.refused_sessions.insert(session, code);
            }
            GateAction::Count { counter, amount } => {
                *self.counters.entry(counter).or_default() += amount;
            }
            GateAction::AcceptSession { .. }
            | GateAction::ReplyAllotments { .. }
            | GateAction::Observe { .. } => {}
        }
    }

    /// Removes an owner's registration, as another writer may.
    pub fn remove_registration(&mut self, gate: usize) {
        let document = Document::Node(NodeRole::Owner, self.names[gate].clone());
        self.documents.remove(&document_key(&document));
        self.revision += 1;
        for other in 0..self.gates.len() {
            let (document, revision) = (document.clone(), self.revision);
            self.event(other, GateEvent::DocumentRemoved { document, revision });
        }
    }

    /// Removes a document, and notifies the nodes that follow the store.
    fn remove_document(&mut self, document: Document) {
        if self.documents.remove(&document_key(&document)).is_none() {
            return;
        }
        self.revision += 1;
        for gate in 0..self.gates.len() {
            if !self.store_cut.contains(&gate) && !self.documents_cut.contains(&gate) {
                let (document, revision) = (document.clone(), self.revision);
                let event = GateEvent::DocumentRemoved { document, revision };
                self.schedule(NETWORK_DELAY, Delivery::Gate(gate, event));
            }
        }
    }

    pub fn is_registered(&self, gate: usize) -> bool {
        let document = Document::Node(NodeRole::Owner, self.names[gate].clone());
        self.documents.contains_key(&document_key(&document))
    }

    /// Stores an owner's registration that acknowledges nothing, under a new lease.
    pub fn register_again(&mut self, gate: usize) {
        self.store_registration(gate, &NodeRecord::default());
    }

    /// Stores an owner's registration under a new lease.
    pub fn store_registration(&mut self, gate: usize, record: &NodeRecord) {
        let record = serde_json::to_vec(record).expect("it is serialized");
        self.store(Document::Node(NodeRole::Owner, self.names[gate].clone()), record);
    }

    fn store(&mut self, document: Document, bytes: Vec<u8>) -> u64 {
        self.revision += 1;
        let lease = self.revision;
        let stored = StoredDocument { document, revision: self.revision, lease, bytes };
        self.documents.insert(document_key(&stored.document), stored.clone());
        for gate in 0..self.gates.len() {
            if !self.store_cut.contains(&gate) && !self.documents_cut.contains(&gate) {
                let event = GateEvent::DocumentChanged(stored.clone());
                self.schedule(NETWORK_DELAY, Delivery::Gate(gate, event));
            }
        }
        self.revision
    }

    /// Suspends a node together with its clock, as when its VM is paused. Its clock jumps when it is
    /// resumed.
    pub fn suspend(&mut self, gate: usize) {
        self.suspended.entry(gate).or_default();
    }

    pub fn is_suspended(&self, gate: usize) -> bool {
        self.suspended.contains_key(&gate)
    }

    /// Resumes a suspended node. Its timer fires before it receives what has arrived meanwhile.
    pub fn resume(&mut self, gate: usize) {
        let waiting = self.suspended.remove(&gate).unwrap_or_default();
        self.event(gate, GateEvent::Timer);
        for event in waiting {
            self.event(gate, event);
        }
    }

    /// As [`Simulation::resume`], but its timer fires last.
    pub fn resume_with_deliveries(&mut self, gate: usize) {
        for event in self.suspended.remove(&gate).unwrap_or_default() {
            self.event(gate, event);
        }
        self.event(gate, GateEvent::Timer);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Gate(gate, event) => {
                if !self.stopped.contains(&gate) {
                    self.event(gate, event);
                }
            }
            Delivery::Promoted { database } => self.promoted(&database),
            Delivery::Link(delivery) => self.deliver_link(delivery),
            Delivery::NextRequest { session } => self.send_next_request(session),
            Delivery::Command { gate, connection, database, command } => {
                let state = &self.databases[&database];
                if self.cuts.contains(&(gate, database.clone())) || state.unreachable || state.hung
                {
                    return;
                }
                if self.broken.contains(&(gate, connection)) {
                    return;
                }
                let late = self.late_commands.contains_key(&(gate, database.clone()));
                if !self.connections.contains_key(&(gate, connection)) && !late {
                    return;
                }
                if let BackendCommand::Run { id, .. } = &command {
                    let opened = self.opened.iter().rev();
                    let (_, account) = opened
                        .into_iter()
                        .find(|(opened, _)| *opened == (gate, connection))
                        .expect("it was opened");
                    self.accounts.insert(id.clone(), account.clone());
                }
                let answer = self.execute(&database, &command);
                if answer.is_none() {
                    let command = command.clone();
                    let database = database.clone();
                    let waiting = Delivery::Command { gate, connection, database, command };
                    self.waiting_commits.push(waiting);
                }
                if let Some(answer) = answer {
                    let statement = matches!(
                        command,
                        BackendCommand::Run { .. } | BackendCommand::Execute { .. }
                    );
                    let now = self.now;
                    let state = self.databases.get_mut(&database).expect("it exists");
                    if statement && state.loses_answers {
                        return;
                    }
                    let long = matches!(&command, BackendCommand::Run { text, .. } if text.contains("long"));
                    let long_time = state.long_statement_time.filter(|_| long);
                    let time = long_time.unwrap_or(state.statement_time);
                    let failed = matches!(answer.end, AnswerEnd::Failed { .. });
                    let end = if statement && !failed { state.use_slot(now, time) } else { now };
                    state.statements += u64::from(statement);
                    if statement && state.statements * 61 % 100 < state.losing_percent {
                        return;
                    }
                    let answer = Box::new(answer);
                    let delivery = Delivery::Answer { gate, connection, database, answer };
                    self.schedule(end.saturating_sub(now) + NETWORK_DELAY, delivery);
                }
            }
            Delivery::Answer { gate, connection, database, answer } => {
                let lost = self.cuts.contains(&(gate, database.clone()))
                    || self.databases[&database].unreachable
                    || !self.connections.contains_key(&(gate, connection));
                if !lost {
                    self.event(gate, GateEvent::ConnectionAnswered { connection, answer });
                }
            }
        }
    }

    fn promoted(&mut self, name: &Name) {
        let term = self
            .databases
            .values()
            .map(|database| database.term)
            .max()
            .expect("there are databases")
            .next();
        let start = self.databases[name].received;
        self.promoted_logs.push((self.now, name.clone(), start));
        for (other, database) in &mut self.databases {
            if database.unreachable {
                continue;
            }
            // The old primary learns of the promotion only from the new one.
            if other != name && database.role == DatabaseRole::Primary {
                continue;
            }
            database.term = term;
            database.fence = Term(0);
            database.received = start.min(database.received);
            if other == name {
                database.role = DatabaseRole::Primary;
            }
        }
        // A database that is cut off from the store keeps no entry.
        let listed = self.databases.keys().filter(|name| !self.unlisted.contains(*name));
        let names: Vec<Name> = listed.cloned().collect();
        for name in names {
            self.publish_database(&name);
        }
    }

    /// Executes a command; `None` for a commit that waits for a replica to receive it.
    fn execute(&mut self, name: &Name, command: &BackendCommand) -> Option<BackendAnswer> {
        let done = |rows: Vec<Bytes>| (rows, AnswerEnd::Done(Bytes::from_static(b"sig")));
        let failed = |code| (Vec::new(), AnswerEnd::Failed { code, text: "refused".to_string() });
        let state = self.databases[name].clone();
        let mut report = None;
        let (rows, end) = match command {
            BackendCommand::Run { id, text, required_position, .. } => {
                if required_position.is_some_and(|position| position > state.received) {
                    failed(ErrorCode::Lagging)
                } else if text.starts_with("WRITE") || text.starts_with("COMMIT") {
                    if state.role == DatabaseRole::Replica {
                        failed(ErrorCode::ReadOnly)
                    } else {
                        self.commit(name)?;
                        let received = self.databases[name].received;
                        self.database(name).ran.push((id.clone(), received));
                        done(Vec::new())
                    }
                } else {
                    let database = self.database(name);
                    database.reads += 1;
                    // Spreads the failures evenly.
                    if database.reads * 61 % 100 < database.failing_percent {
                        failed(ErrorCode::Failed)
                    } else {
                        database.ran.push((id.clone(), state.received));
                        done(vec![Bytes::from(state.received.to_string())])
                    }
                }
            }
            BackendCommand::Report if state.refuses_reports => failed(ErrorCode::Busy),
            BackendCommand::Report => {
                self.database(name).reports += 1;
                report = Some(self.report(name));
                done(Vec::new())
            }
            BackendCommand::Fence { term } => {
                if state.role == DatabaseRole::Replica && *term > state.term {
                    self.database(name).fence = *term;
                }
                report = Some(self.report(name));
                done(Vec::new())
            }
            BackendCommand::Unfence => {
                self.database(name).fence = Term(0);
                done(Vec::new())
            }
            BackendCommand::Demote { term } => {
                if state.term < *term {
                    let database = self.database(name);
                    database.role = DatabaseRole::Replica;
                    database.term = *term;
                }
                report = Some(self.report(name));
                done(Vec::new())
            }
            _ => done(Vec::new()),
        };
        let position = Some(self.databases[name].received);
        Some(BackendAnswer { rows, end, state: TransactionState::Idle, position, report })
    }

    /// Commits at a primary if a replica of its term receives the commit.
    fn commit(&mut self, name: &Name) -> Option<()> {
        let term = self.databases[name].term;
        let position = TermPosition { term, position: self.databases[name].received.position + 1 };
        let mut received = false;
        for (other, database) in &mut self.databases {
            let follows = other != name
                && !database.unreachable
                && !database.replication_stopped
                && database.fence <= database.term
                && database.term == term;
            if follows {
                database.received = position;
                received = true;
            }
        }
        received.then(|| self.database(name).received = position)
    }

    pub fn report(&self, name: &Name) -> DatabaseReport {
        let database = &self.databases[name];
        DatabaseReport {
            role: database.role,
            term: database.term,
            received: database.received,
            fence: database.fence,
            lag: Micros::ZERO,
            connections: 3,
        }
    }

    /// Sends a read of each of some databases on every running node every 20 ms.
    pub fn run_with_reads(&mut self, databases: &[&str], time: Micros) {
        let end = self.now + time;
        while self.now < end {
            for gate in 0..self.gates.len() {
                if self.stopped.contains(&gate) {
                    continue;
                }
                for database in databases {
                    let session = self.open(gate, database);
                    let id = format!("{database}-{gate}-{}", self.now.0);
                    self.send_request(gate, session, &id, "READ 1");
                }
            }
            self.run(Micros::from_millis(20));
        }
    }

    /// Sends writes on one node, which must be served. Returns the end of the log of the primary `a`.
    pub fn write(&mut self, gate: usize, count: usize) -> TermPosition {
        for turn in 0..count {
            let session = self.open(gate, LATEST);
            let id = format!("w{turn}-{gate}-{}", self.now.0);
            self.send_request(gate, session, &id, "WRITE 1 x");
            self.run(Micros::from_millis(20));
            assert_eq!(self.outcome(session), "served");
        }
        self.databases["a"].received
    }

    /// Removes a database's entry. The database itself may go on.
    pub fn unlist(&mut self, name: &str) {
        self.unlisted.insert(name.into());
        for gate in 0..self.gates.len() {
            if !self.stopped.contains(&gate) {
                self.event(gate, GateEvent::DatabaseUnlisted { id: name.into() });
            }
        }
    }

    /// Lists a database again.
    pub fn list(&mut self, name: &str) {
        self.unlisted.remove(name);
        self.publish_database(name);
    }

    /// Makes a database silent, and lets its entry expire.
    pub fn fail_database(&mut self, name: &str) {
        self.database(name).unreachable = true;
        self.unlist(name);
    }

    /// Brings a database back with its log.
    pub fn restore_database(&mut self, name: &str) {
        self.database(name).unreachable = false;
        self.list(name);
    }

    /// Asserts that every promoted database began with the acknowledged log up to `end`.
    pub fn assert_none_lost(&self, end: TermPosition) {
        for (at, name, start) in &self.promoted_logs {
            assert!(
                *start >= end,
                "{name} leads from {at:?} with {start}, acknowledged up to {end}"
            );
        }
    }

    /// Returns the promoted databases.
    pub fn promoted_databases(&self) -> Vec<&str> {
        self.promotions.iter().map(|(_, name, _)| name.as_str()).collect()
    }

    /// Opens a client's session at a node.
    pub fn open(&mut self, gate: usize, database: &str) -> SessionId {
        self.open_as(gate, database, SessionOrigin::Client)
    }

    pub fn open_as(&mut self, gate: usize, database: &str, origin: SessionOrigin) -> SessionId {
        self.open_session(gate, database, "", origin)
    }

    /// Opens the session of a client that holds a key.
    pub fn open_with_key(&mut self, gate: usize, database: &str, key: &str) -> SessionId {
        self.open_session(gate, database, key, SessionOrigin::Client)
    }

    fn open_session(
        &mut self,
        gate: usize,
        database: &str,
        key: &str,
        origin: SessionOrigin,
    ) -> SessionId {
        self.next_session += 1;
        let session = SessionId(self.next_session);
        let (database, key) = (database.into(), key.into());
        self.event(gate, GateEvent::SessionOpened { session, database, key, origin });
        session
    }

    /// Sends a request after a delay.
    pub fn schedule_request(
        &mut self,
        delay: Micros,
        gate: usize,
        session: SessionId,
        request: ClientRequest,
    ) {
        let event = GateEvent::RequestArrived { session, request };
        self.schedule(delay, Delivery::Gate(gate, event));
    }

    /// Sends a request; [`Simulation::answer`] returns its answer.
    pub fn send_request(&mut self, gate: usize, session: SessionId, id: &str, text: &str) {
        self.send_request_requiring(gate, session, id, text, None);
    }

    /// Sends a request with a required position, as a forwarding node does.
    pub fn send_request_requiring(
        &mut self,
        gate: usize,
        session: SessionId,
        id: &str,
        text: &str,
        required_position: Option<TermPosition>,
    ) {
        let request = client_request(id, text, required_position);
        self.event(gate, GateEvent::RequestArrived { session, request });
    }

    /// Opens a session that sends one write after the other until it is closed.
    pub fn open_steady(&mut self, gate: usize, database: &str) -> SessionId {
        let session = self.open(gate, database);
        self.steady.insert(session, (gate, 0));
        self.send_next_request(session);
        session
    }

    fn send_next_request(&mut self, session: SessionId) {
        let Some((gate, sent)) = self.steady.get_mut(&session) else { return };
        if self.closed.contains(&session) || self.stopped.contains(gate) {
            return;
        }
        *sent += 1;
        let (gate, id) = (*gate, format!("s{}n{sent}", session.0));
        self.send_request(gate, session, &id, "WRITE 1 x");
    }

    /// Returns how many of a steady session's requests have no answer.
    pub fn unanswered(&self, session: SessionId) -> u64 {
        let answered = self.answers.iter().filter(|answered| answered.session == session).count();
        self.steady[&session].1 - answered as u64
    }

    /// Returns the last answer of a session.
    pub fn answer(&self, session: SessionId) -> Option<&ClientAnswer> {
        self.answers.iter().rev().find(|answered| answered.session == session)
    }

    /// Returns `served`, or the error code of a session's last answer; `none` without an answer.
    pub fn outcome(&self, session: SessionId) -> &'static str {
        match self.answer(session).map(|answered| &answered.reply) {
            None => "none",
            Some(ClientReply::Done { .. }) => "served",
            Some(ClientReply::Failed { code, .. }) => code.name(),
        }
    }

    /// Returns true if a request ran at a database.
    pub fn ran_at(&self, database: &str, id: &str) -> bool {
        self.databases[database].ran.iter().any(|(ran, _)| &**ran == id)
    }

    /// Returns how often an event was logged since the start or the last clearing.
    pub fn logged(&self, event: &str) -> usize {
        self.logs.iter().filter(|(_, _, record)| record.event == event).count()
    }
}
