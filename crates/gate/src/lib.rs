//! The decision core of a node on the platform: sessions, routing, leadership proofs, connections
//! and failovers.
//!
//! [`Gate`] is a state machine without clock, socket or thread. The I/O driver passes it
//! [`GateEvent`]s with the time and executes its [`GateAction`]s. All times come from one clock
//! that also counts while the VM is suspended, because proofs and the promotion lease depend on it.
//!
//! Modules:
//!
//! - `session`, `identity`, `newer_version`: clients and their accounts
//! - `request`, `dispatch`, `outcome`: the path of one request
//! - `responsiveness`: how well databases answer
//! - `owners`, `peer`: forwarding
//! - `allotment`: rate limits of accounts
//! - `connection`, `database`, `account_pool`: connections
//! - `cluster`, `leadership_proof`, `read_lease`: what is known about primaries
//! - `registration`, `registry`, `node_count`: the nodes
//! - `store_view`, `store_era`: how current the lists of all these are, and restored stores
//! - `suspicion`, `failover`, `fencing`, `log_comparison`, `log_holders`, `log_starts`,
//!   `promotion_lease`: the replacement of
//!   primaries
//! - `ready`, `drain`: what the load balancer sees

mod account_pool;
mod action;
mod allotment;
mod backend;
mod cluster;
mod commit_proof;
mod connection;
mod database;
mod dispatch;
mod drain;
mod dump;
mod event;
mod failover;
mod fencing;
mod identity;
mod leadership_proof;
mod log_comparison;
mod log_holders;
mod log_starts;
mod newer_version;
mod node_count;
mod outcome;
mod owners;
mod peer;
mod promotion_lease;
mod read_lease;
mod ready;
mod registration;
mod registry;
mod request;
mod responsiveness;
mod route;
mod session;
mod session_memory;
mod settings;
mod statement;
mod store_era;
mod store_view;
mod suspicion;
mod unreadable_entries;

use model::{FastMap, FastSet, Micros, Name};
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use account::ApiKey;
pub use allot::{AllotmentDemand, AllotmentGrant, AllotmentRequest, DepartedReserves, QuotaBound};

pub use action::{ClientReply, GateAction, LogRecord, LogValue};
pub use allotment::ALLOTMENT_SESSION;
pub use backend::{AnswerEnd, BackendAnswer, BackendCommand, DatabaseReport, TermPosition};
pub use event::{
    ConnectionId, Document, GateEvent, ListedDatabase, NodeRole, PromoteResult, SessionId,
    SessionOrigin, StoreState, StoredDocument, UnreadableEntry, WriteResult, rank_of_priority,
};
pub use leadership_proof::{LeadershipProof, LogEvidence};
pub use log_holders::LogHoldersRecord;
pub use model::DatabaseRole;
pub use node_count::NodeCountRecord;
pub use owners::{OwnerInput, OwnerTable, SMALL_DEPLOYMENT_MAX_NODES};
pub use peer::PEER_PROTOCOL;
pub use promotion_lease::{
    LEASE_ACQUIRE_WAIT, LeaseWrite, PROMOTION_CALL_TIMEOUT, PROMOTION_LEASE_TTL, PromotionLease,
    PromotionLeaseRecord,
};
pub use read_lease::READ_LEASE_TTL;
pub use registry::{LogEndRecord, NodeRecord};
pub use route::{ClusterLimits, Freshness, RouteConfig, RouteTable};
pub use session_memory::SessionMemory;
pub use settings::GateSettings;
pub use statement::{
    CallerIdentity, ClientRequest, ErrorCode, Statement, StatementAccess, TransactionState,
};
pub use store_era::{assigned_revision, era_of_revision, revision_in_era};

use allotment::AllotmentState;
use cluster::ClusterState;
use database::{BackendConnection, Database};
use drain::DrainState;
use failover::FailoverState;
use newer_version::NewerVersion;
use node_count::NodeCountState;
use peer::PeerState;
use read_lease::ReadLeaseState;
use ready::ReadyState;
use registration::RegistrationState;
use registry::NodeRegistry;
use request::{ActiveRequest, RequestId};
use session::Session;
use store_view::StoreView;
use unreadable_entries::UnreadableEntries;

/// Builds the fields of a log record.
macro_rules! fields {
    ($($name:expr => $value:expr),* $(,)?) => {
        vec![$(($name, $crate::LogValue::from($value))),*]
    };
}
pub(crate) use fields;

/// Interval of [`GateEvent::Timer`] and thus the precision of all time limits: a fifth of the
/// shortest latency objective in the configurations.
pub const TIMER_INTERVAL: Micros = Micros::from_millis(20);

/// The decision core of one process.
#[derive(Debug)]
pub struct Gate {
    settings: GateSettings,
    now: Micros,
    /// Time of the first event.
    started: Micros,
    out: Vec<GateAction>,
    last_id: u64,
    table: RouteTable,
    newer_version: NewerVersion,
    store_view: StoreView,
    /// Era of the store, zero if it states none.
    store_era: u64,
    sessions: FastMap<SessionId, Session>,
    session_memory: SessionMemory,
    requests: FastMap<RequestId, ActiveRequest>,
    backing_off: Vec<RequestId>,
    clusters: FastMap<Name, ClusterState>,
    databases: FastMap<Name, Database>,
    unreadable_entries: UnreadableEntries,
    connections: FastMap<ConnectionId, BackendConnection>,
    registry: NodeRegistry,
    promotion_lease: PromotionLease,
    registration: RegistrationState,
    failovers: FailoverState,
    drain: DrainState,
    ready: ReadyState,
    read_lease: ReadLeaseState,
    peers: PeerState,
    owners: OwnerTable,
    /// Nodes or primaries have changed since the owners were chosen. Many nodes register at the same
    /// time, so the choice is made when it is needed next.
    owners_outdated: bool,
    node_count: NodeCountState,
    allotments: AllotmentState,
}

impl Gate {
    /// Creates a gate that knows only its settings.
    ///
    /// ```
    /// use gate::{Gate, GateEvent, GateSettings};
    /// use model::Micros;
    ///
    /// let mut gate = Gate::new(GateSettings {
    ///     node: "n1".into(),
    ///     data_centre: "dc1".into(),
    ///     capacity: 250,
    ///     peer_address: None,
    ///     relay_address: None,
    ///     incarnation: 1,
    ///     shutdown_grace: Micros::from_secs(6),
    ///     configuration_bound: Micros::from_secs(3),
    ///     leaving_bound: Micros::from_secs(7),
    ///     quota: None,
    /// });
    /// let mut actions = Vec::new();
    /// gate.handle(Micros::ZERO, GateEvent::Timer, &mut actions);
    /// ```
    pub fn new(settings: GateSettings) -> Self {
        Gate {
            registry: NodeRegistry::new(settings.node.clone()),
            promotion_lease: PromotionLease::new(settings.node.clone(), settings.incarnation),
            now: Micros::ZERO,
            started: Micros::MAX,
            out: Vec::new(),
            last_id: 0,
            table: RouteTable::default(),
            newer_version: NewerVersion::default(),
            store_view: StoreView::default(),
            store_era: 0,
            sessions: FastMap::default(),
            session_memory: SessionMemory::default(),
            requests: FastMap::default(),
            backing_off: Vec::new(),
            clusters: FastMap::default(),
            databases: FastMap::default(),
            unreadable_entries: UnreadableEntries::default(),
            connections: FastMap::default(),
            registration: RegistrationState::default(),
            failovers: FailoverState::default(),
            drain: DrainState::default(),
            ready: ReadyState::default(),
            read_lease: ReadLeaseState::default(),
            peers: PeerState::default(),
            owners: OwnerTable::default(),
            owners_outdated: false,
            node_count: NodeCountState::default(),
            allotments: AllotmentState::default(),
            settings,
        }
    }

    /// Handles an event at the time `now`, which never goes back, and appends the actions for the
    /// I/O driver to `actions`, in order.
    pub fn handle(&mut self, now: Micros, event: GateEvent, actions: &mut Vec<GateAction>) {
        self.now = self.now.max(now);
        self.started = self.started.min(self.now);
        std::mem::swap(&mut self.out, actions);
        self.acknowledge_when_due();
        self.dispatch(event);
        std::mem::swap(&mut self.out, actions);
    }

    fn dispatch(&mut self, event: GateEvent) {
        match event {
            GateEvent::SessionOpened { session, database, key, origin } => {
                self.open_session(session, database, key, origin);
            }
            GateEvent::RequestArrived { session, request } => {
                self.request_arrived(session, request);
            }
            GateEvent::SessionClosed { session } => self.close_session(session),
            GateEvent::ConnectionOpened { connection, position } => {
                self.connection_opened(connection, position)
            }
            GateEvent::ConnectionRefused { connection, code } => {
                self.connection_refused(connection, code)
            }
            GateEvent::ConnectionLost { connection } => self.connection_lost(connection),
            GateEvent::ConnectionAnswered { connection, answer } => {
                self.connection_answered(connection, *answer)
            }
            GateEvent::AllotmentsAnswered { connection, grants } => {
                self.allotments_answered(connection, &grants);
            }
            GateEvent::RoutesChanged(table) => self.routes_changed(*table),
            GateEvent::DatabasesListed(list) => {
                self.databases_listed(list);
                self.update_owners();
            }
            GateEvent::DatabaseChanged(listed) => {
                self.database_listed(listed);
                self.owners_outdated = true;
            }
            GateEvent::DatabaseUnreadable(entry) => self.database_unreadable(entry),
            GateEvent::DatabaseUnlisted { id } => {
                self.unreadable_entries.forget(&id);
                self.database_unlisted(&id);
            }
            GateEvent::DocumentsListed { documents, revision } => {
                self.documents_listed(documents, revision);
            }
            GateEvent::DocumentChanged(stored) if !self.is_in_present_era(stored.revision) => {}
            GateEvent::DocumentChanged(stored) => self.document_changed(stored),
            GateEvent::DocumentRemoved { revision, .. } if !self.is_in_present_era(revision) => {}
            GateEvent::DocumentRemoved { document, revision } => match document {
                Document::PromotionLease => self.promotion_lease_removed(revision),
                Document::NodeCount => {}
                Document::LogHolders(cluster) => {
                    self.log_holders_read(cluster, revision, None);
                }
                Document::Node(role, name) => {
                    self.own_registration_missing(role, &name, revision);
                    self.registry.remove(self.now, role, &name);
                    self.owners_outdated = true;
                }
            },
            GateEvent::PromotionLeaseWritten { attempt, result } => {
                self.promotion_lease_written(attempt, result)
            }
            GateEvent::StoreStateRead { state } => self.store_state_read(state),
            GateEvent::EndLeaseAnswered { node, ended } => self.end_lease_answered(&node, ended),
            GateEvent::ReadLeaseRenewed { sent, role_changes } => {
                self.read_lease_renewed(sent, role_changes);
            }
            GateEvent::StoreContactRenewed { sent } => self.store_contact_renewed(sent),
            GateEvent::RegistrationLeaseLost => self.read_lease_lost(),
            GateEvent::RegistrationStored { role_changes, revision, sent } => {
                self.registration_stored(role_changes, revision, sent);
            }
            GateEvent::PromoteAnswered { cluster, result } => {
                self.promote_answered(&cluster, result);
            }
            GateEvent::StoreReachable(reachable) => {
                self.log("store", fields!["reachable" => reachable]);
            }
            GateEvent::StoreFollowed { revision, known_at } => {
                self.store_view = StoreView { revision, known_at: Some(known_at) };
                self.observe_stored_registration();
            }
            GateEvent::DrainRequested => self.drain(),
            GateEvent::Timer => self.tick(),
        }
    }

    fn tick(&mut self) {
        self.refresh_owners();
        self.maintain_allotments();
        self.reroute_from_unresponsive_databases();
        self.resume_and_expire_requests();
        self.maintain_connections();
        self.maintain_peers();
        self.maintain_node_count();
        self.maintain_clusters();
        self.remove_unlisted();
        self.end_idle_transactions();
        self.maintain_failovers();
        self.maintain_drain();
        self.update_ready();
    }

    fn routes_changed(&mut self, table: RouteTable) {
        if table.version <= self.table.version {
            return;
        }
        let routes = u64::try_from(table.routes.len()).unwrap_or(u64::MAX);
        self.log("configuration", fields!["version" => table.version, "routes" => routes]);
        for cluster in table.clusters.keys() {
            self.clusters.entry(cluster.clone()).or_default();
        }
        if let Some(directory) = &table.accounts {
            let accounts = u64::try_from(directory.len()).unwrap_or(u64::MAX);
            self.log("accounts", fields!["version" => table.version, "accounts" => accounts]);
        }
        self.newer_version.observe_own(table.version);
        self.table = table;
        self.end_unauthorized_transactions();
        self.renew_waiting_identities();
        self.update_owners();
        self.refresh_allotments();
        self.update_ready();
    }

    fn documents_listed(&mut self, documents: Vec<StoredDocument>, revision: u64) {
        let era = era_of_revision(revision);
        if era < self.store_era {
            return;
        }
        if era > self.store_era {
            self.begin_store_era(era);
        }
        let nodes: FastSet<(NodeRole, Name)> = documents
            .iter()
            .filter_map(|stored| match &stored.document {
                Document::Node(role, name) => Some((*role, name.clone())),
                Document::PromotionLease | Document::NodeCount | Document::LogHolders(_) => None,
            })
            .collect();
        self.forget_unlisted_log_holders(&documents);
        let own = (self.registration.role, self.settings.node.clone());
        if !nodes.contains(&own) {
            self.own_registration_missing(own.0, &own.1, revision);
        }
        self.registry.retain(self.now, &nodes);
        if !documents.iter().any(|stored| stored.document == Document::PromotionLease) {
            self.promotion_lease_removed(revision);
        }
        for stored in documents {
            self.apply_document(stored);
        }
        self.nodes_listed();
    }

    fn promotion_lease_removed(&mut self, revision: u64) {
        if self.promotion_lease.observe_absent(self.now, revision) {
            self.log("document_missing", fields!["document" => "duty", "revision" => revision]);
        }
        self.announcement_seen();
    }

    fn document_changed(&mut self, stored: StoredDocument) {
        let counts_nodes = matches!(stored.document, Document::Node(..) | Document::NodeCount);
        self.apply_document(stored);
        self.owners_outdated |= counts_nodes;
    }

    fn apply_document(&mut self, stored: StoredDocument) {
        match stored.document {
            Document::PromotionLease => {
                if !self.promotion_lease.observe(self.now, stored.revision, &stored.bytes) {
                    self.log("document_unreadable", fields!["document" => "duty"]);
                }
                self.announcement_seen();
            }
            Document::NodeCount => {
                let record = self.read_record("fleet", &stored.bytes);
                self.node_count_read(record);
            }
            Document::LogHolders(cluster) => {
                let record: Option<LogHoldersRecord> =
                    self.read_record("log holders", &stored.bytes);
                self.log_holders_read(cluster, stored.revision, record);
            }
            Document::Node(role, name) => {
                let record: NodeRecord = self.read_record("node", &stored.bytes);
                if record.incarnation != self.settings.incarnation {
                    self.own_registration_missing(role, &name, stored.revision);
                }
                self.registry.set(self.now, role, name, record, self.store_era);
            }
        }
    }

    /// Deserializes a stored record; an unreadable one counts as empty.
    fn read_record<T: Default + DeserializeOwned>(
        &mut self,
        document: &'static str,
        bytes: &[u8],
    ) -> T {
        match serde_json::from_slice(bytes) {
            Ok(record) => record,
            Err(error) => {
                let error = error.to_string();
                self.log("document_unreadable", fields!["document" => document, "error" => error]);
                T::default()
            }
        }
    }

    /// Serializes a record for the store.
    fn write_record<T: Serialize>(
        &mut self,
        document: &'static str,
        record: &T,
    ) -> Option<Vec<u8>> {
        match serde_json::to_vec(record) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                let error = error.to_string();
                self.log("document_unwritable", fields!["document" => document, "error" => error]);
                None
            }
        }
    }

    fn promotion_lease_written(&mut self, attempt: u64, result: WriteResult) {
        let revision = match result {
            WriteResult::Written { revision } => Some(revision),
            WriteResult::Conflict | WriteResult::Failed => None,
        };
        let held = self.promotion_lease.complete_write(self.now, attempt, revision);
        let token = self.promotion_lease.fencing_token(self.now).unwrap_or_default();
        self.log("duty_written", fields!["held" => held, "number" => token]);
        self.announcement_seen();
        self.maintain_failovers();
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn count(&mut self, counter: &'static str) {
        self.out.push(GateAction::Count { counter, amount: 1 });
    }

    fn observe(&mut self, histogram: &'static str, time: Micros) {
        self.out.push(GateAction::Observe { histogram, micros: time.0 });
    }

    fn log(&mut self, event: &'static str, fields: Vec<(&'static str, LogValue)>) {
        self.out.push(GateAction::Log(LogRecord { event, fields }));
    }
}
