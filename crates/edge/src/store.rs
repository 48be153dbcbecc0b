//! The platform's store, and the threads that talk to it because its calls block.
//!
//! One thread lists everything once and then waits for changes; a single watch, as each counts as a call. One
//! thread keeps this node's registration alive. Calls of a promotion are rare and get a thread each, so that none waits behind
//! another.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use gate::{
    Document, FEW_NODES, GateEvent, ListedDatabase, NodeRole, PromoteResult, RouteTable,
    StoreState, StoredDocument, WriteResult,
};
use model::{FastSet, Name};
use stakker::sync::Channel;

use crate::clock;
use crate::logging::event_line;

/// Time that a watch waits at the store. Each return is a call. A watch may be dropped by the store without a
/// word, and then nothing is heard for as long.
const WATCH_WAIT: Duration = Duration::from_millis(4_000);

/// The same at a node that only forwards and needs little more than the configuration. A connection to the store
/// that went silent is noticed within it and its margin, which is below the users' shortest time until a node is
/// in touch (4 s) and their shortest bound of a configuration (3 s) together.
const STANDBY_WATCH_WAIT: Duration = Duration::from_millis(5_500);

/// Pause before a watch is repeated after changes of registrations where there are many nodes, so that a series of
/// them is one return of the watch and not one each. An announced change of primary may wait for it.
const OWNER_PAUSE: Duration = Duration::from_millis(50);

/// Pause after any change at a node that only forwards: a third of the shortest bound of a configuration.
const STANDBY_PAUSE: Duration = Duration::from_millis(1_000);

/// Pause after a failed call, so that an outage does not cause a burst of calls.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after repeated failures. Recovery has to be noticed within a second.
const RETRY_PAUSE_LONGEST: Duration = Duration::from_millis(700);

/// Time to live of this node's registration.
const REGISTRATION_TTL: Duration = Duration::from_millis(3_000);

/// Interval of renewing it: two renewals within the time of a read permit.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(330);

/// The same without a permit: two renewals within the time to live.
const STANDBY_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Registrations that wait to be published.
const PUBLISH_QUEUE: usize = 16;

/// A stored item.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreItem {
    Routes(Box<RouteTable>),
    Database(ListedDatabase),
    Document(StoredDocument),
    /// An entry of a database that cannot be read; it names no database to use.
    UnreadableDatabase(Name),
    /// Anything else.
    Unknown,
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    Set(StoreItem),
    DatabaseRemoved(Name),
    DocumentRemoved(Document),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No whole answer; a write may have taken effect or may yet.
    #[error("no answer from the store: {0}")]
    Unreachable(String),
    /// Nothing was done.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The history that a watch needs is no longer there.
    #[error("the store has dropped this part of its history")]
    HistoryGone,
    #[error("the lease has ended")]
    LeaseEnded,
    #[error("the store sent an answer that cannot be read: {0}")]
    Unreadable(String),
}

/// Calls to the store. They block, with time limits.
pub trait StoreClient: Clone + Send + 'static {
    /// Lists all items, and returns the revision from which to watch them.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn list(&self) -> Result<(Vec<StoreItem>, u64), StoreError>;

    /// Waits for changes after a revision; returns them and the next revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time, refuses, or no longer has the history.
    fn watch(&self, after: u64, wait: Duration) -> Result<(Vec<StoreChange>, u64), StoreError>;

    /// Writes the duty's document if its revision is `expected`; `Ok(None)` means that it is not.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn write_duty(&self, expected: u64, bytes: &[u8]) -> Result<Option<u64>, StoreError>;

    /// Writes the number of nodes, whatever is stored.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn write_fleet(&self, bytes: &[u8]) -> Result<(), StoreError>;

    /// Writes a node's registration in a role under a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses, or if the lease has ended.
    fn write_registration(
        &self,
        role: NodeRole,
        node: &Name,
        bytes: &[u8],
        lease: u64,
    ) -> Result<(), StoreError>;

    /// Opens a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn open_lease(&self, ttl: Duration) -> Result<u64, StoreError>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses, or if the lease has ended.
    fn renew_lease(&self, lease: u64) -> Result<(), StoreError>;

    /// Ends a lease; its registration goes with it.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn end_lease(&self, lease: u64) -> Result<(), StoreError>;

    /// Asks the platform to promote a database. The call must not arrive after it returned.
    fn promote(&self, cluster: &Name, database: &Name, holder: &Name, number: u64)
    -> PromoteResult;
}

/// The threads of one process.
pub(crate) struct StoreThreads<S> {
    client: S,
    events: Channel<GateEvent>,
    publish: SyncSender<PublishOrder>,
    /// Whether this node only forwards.
    standby: Arc<AtomicBool>,
}

/// A registration as the gate wants it.
struct RegistrationOrder {
    role: NodeRole,
    number: u64,
    bytes: Vec<u8>,
}

enum PublishOrder {
    Record(RegistrationOrder),
    End,
}

impl<S: StoreClient> StoreThreads<S> {
    /// Starts the watch and the registration.
    pub(crate) fn start(client: S, node: Name, events: Channel<GateEvent>) -> Self {
        let standby = Arc::new(AtomicBool::new(true));
        let (watcher, changes, role) = (client.clone(), events.clone(), standby.clone());
        thread::spawn(move || watch_store(&watcher, &changes, &role));
        let (publish, orders) = sync_channel(PUBLISH_QUEUE);
        let registrar = client.clone();
        let renewals = events.clone();
        thread::spawn(move || keep_registration(&registrar, &node, &orders, &renewals));
        StoreThreads { client, events, publish, standby }
    }

    pub(crate) fn publish(&self, role: NodeRole, number: u64, bytes: Vec<u8>) {
        self.standby.store(role == NodeRole::Standby, Ordering::Relaxed);
        let order = RegistrationOrder { role, number, bytes };
        match self.publish.try_send(PublishOrder::Record(order)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                log::warn!("\"event\":\"registration_dropped\"");
            }
        }
    }

    /// Ends the registration; a full queue leaves it to its time to live.
    pub(crate) fn end_registration(&self) {
        let _ = self.publish.try_send(PublishOrder::End);
    }

    pub(crate) fn write_duty(&self, attempt: u64, expected: u64, bytes: Vec<u8>) {
        let (client, events) = (self.client.clone(), self.events.clone());
        thread::spawn(move || {
            let result = match client.write_duty(expected, &bytes) {
                Ok(Some(revision)) => WriteResult::Written { revision },
                Ok(None) => WriteResult::Conflict,
                Err(error) => {
                    log_failure("write_duty", &error);
                    WriteResult::Failed
                }
            };
            events.send(GateEvent::DutyWritten { attempt, result });
        });
    }

    /// Writes the number of nodes; the gate tries again if that fails.
    pub(crate) fn write_fleet(&self, bytes: Vec<u8>) {
        let client = self.client.clone();
        thread::spawn(move || {
            if let Err(error) = client.write_fleet(&bytes) {
                log_failure("write_fleet", &error);
            }
        });
    }

    pub(crate) fn read_state(&self) {
        let (client, events) = (self.client.clone(), self.events.clone());
        thread::spawn(move || {
            let state = match read_state(&client) {
                Ok(state) => Some(state),
                Err(error) => {
                    log_failure("read_state", &error);
                    None
                }
            };
            events.send(GateEvent::StateRead { state });
        });
    }

    pub(crate) fn end_lease(&self, node: Name, lease: u64) {
        let (client, events) = (self.client.clone(), self.events.clone());
        thread::spawn(move || {
            let ended = match client.end_lease(lease) {
                Ok(()) => true,
                Err(error) => {
                    log_failure("end_lease", &error);
                    false
                }
            };
            events.send(GateEvent::LeaseEnded { node, ended });
        });
    }

    pub(crate) fn promote(&self, cluster: Name, database: Name, holder: Name, number: u64) {
        let (client, events) = (self.client.clone(), self.events.clone());
        thread::spawn(move || {
            let result = client.promote(&cluster, &database, &holder, number);
            events.send(GateEvent::PromoteAnswered { cluster, result });
        });
    }
}

fn read_state<S: StoreClient>(client: &S) -> Result<StoreState, StoreError> {
    let (items, _) = client.list()?;
    Ok(store_state(items).0)
}

/// Sorts listed items; returns the configuration apart.
fn store_state(items: Vec<StoreItem>) -> (StoreState, Option<Box<RouteTable>>) {
    let mut state = StoreState { databases: Vec::new(), documents: Vec::new() };
    let mut routes = None;
    for item in items {
        match item {
            StoreItem::Routes(table) => routes = Some(table),
            StoreItem::Database(database) => state.databases.push(database),
            StoreItem::Document(document) => state.documents.push(document),
            StoreItem::UnreadableDatabase(_) | StoreItem::Unknown => {}
        }
    }
    (state, routes)
}

fn log_failure(call: &'static str, error: &StoreError) {
    let fields = vec![("call", call.into()), ("error", error.to_string().into())];
    log::warn!("{}", event_line("store_call_failed", fields));
}

/// The watch of the whole store.
struct StoreWatch<'a, S> {
    client: &'a S,
    events: &'a Channel<GateEvent>,
    /// Whether this node only forwards.
    standby: &'a AtomicBool,
    /// Registered nodes.
    nodes: FastSet<Name>,
}

impl<S: StoreClient> StoreWatch<'_, S> {
    /// Passes on everything that is stored; returns the revision from which to follow.
    fn list(&mut self) -> Result<u64, StoreError> {
        let (items, revision) = self.client.list()?;
        self.nodes = items.iter().filter_map(registered_node).collect();
        send_list(items, self.events);
        Ok(revision)
    }

    /// Waits for changes and passes them on; returns the next revision.
    fn follow(&mut self, after: u64) -> Result<u64, StoreError> {
        let wait = if self.forwards() { STANDBY_WATCH_WAIT } else { WATCH_WAIT };
        let (changes, next) = self.client.watch(after, wait)?;
        let changed = !changes.is_empty();
        let registered = changes.iter().any(changes_registration);
        for change in changes {
            match &change {
                StoreChange::Set(item) => self.nodes.extend(registered_node(item)),
                StoreChange::DocumentRemoved(Document::Node(_, node)) => {
                    self.nodes.remove(node);
                }
                StoreChange::DocumentRemoved(Document::Duty | Document::Fleet)
                | StoreChange::DatabaseRemoved(_) => {}
            }
            send_change(change, self.events);
        }
        if changed && self.forwards() {
            thread::sleep(STANDBY_PAUSE);
        } else if registered && self.nodes.len() > FEW_NODES {
            thread::sleep(OWNER_PAUSE);
        }
        Ok(next)
    }

    /// Tells whether this is one of many nodes and only forwards.
    fn forwards(&self) -> bool {
        self.nodes.len() > FEW_NODES && self.standby.load(Ordering::Relaxed)
    }
}

/// Lists the store and follows its changes for as long as the process runs.
fn watch_store<S: StoreClient>(client: &S, events: &Channel<GateEvent>, standby: &AtomicBool) {
    let mut watch = StoreWatch { client, events, standby, nodes: FastSet::default() };
    let mut after = None;
    let mut failures = 0_u32;
    loop {
        let result = match after {
            None => watch.list(),
            Some(revision) => watch.follow(revision),
        };
        match result {
            Ok(revision) => {
                if failures > 0 {
                    events.send(GateEvent::StoreReachable(true));
                }
                failures = 0;
                after = Some(revision);
            }
            Err(StoreError::HistoryGone) => after = None,
            Err(error) => {
                if failures == 0 {
                    log_failure("watch", &error);
                    events.send(GateEvent::StoreReachable(false));
                }
                // A list is over sooner than a watch if the store is still silent.
                after = None;
                thread::sleep((RETRY_PAUSE * (failures + 1)).min(RETRY_PAUSE_LONGEST));
                failures = failures.saturating_add(1);
            }
        }
    }
}

fn registered_node(item: &StoreItem) -> Option<Name> {
    match item {
        StoreItem::Document(StoredDocument { document: Document::Node(_, node), .. }) => {
            Some(node.clone())
        }
        _ => None,
    }
}

fn changes_registration(change: &StoreChange) -> bool {
    match change {
        StoreChange::Set(item) => registered_node(item).is_some(),
        StoreChange::DocumentRemoved(Document::Node(..)) => true,
        StoreChange::DocumentRemoved(Document::Duty | Document::Fleet)
        | StoreChange::DatabaseRemoved(_) => false,
    }
}

fn send_list(items: Vec<StoreItem>, events: &Channel<GateEvent>) {
    let (state, routes) = store_state(items);
    if let Some(table) = routes {
        events.send(GateEvent::RoutesChanged(table));
    }
    // The nodes decide which databases this one connects to.
    events.send(GateEvent::DocumentsListed(state.documents));
    events.send(GateEvent::DatabasesListed(state.databases));
}

fn send_change(change: StoreChange, events: &Channel<GateEvent>) {
    let event = match change {
        StoreChange::Set(StoreItem::Routes(table)) => GateEvent::RoutesChanged(table),
        StoreChange::Set(StoreItem::Database(database)) => GateEvent::DatabaseChanged(database),
        StoreChange::Set(StoreItem::Document(document)) => GateEvent::DocumentChanged(document),
        StoreChange::Set(StoreItem::UnreadableDatabase(id)) | StoreChange::DatabaseRemoved(id) => {
            GateEvent::DatabaseUnlisted { id }
        }
        StoreChange::Set(StoreItem::Unknown) => return,
        StoreChange::DocumentRemoved(document) => GateEvent::DocumentRemoved(document),
    };
    events.send(event);
}

/// A registration that is stored.
struct StoredRegistration {
    role: NodeRole,
    lease: u64,
}

/// Publishes this node's registration and keeps its lease, which is an owner's read permit.
fn keep_registration<S: StoreClient>(
    client: &S,
    node: &Name,
    orders: &Receiver<PublishOrder>,
    events: &Channel<GateEvent>,
) {
    let mut stored: Option<StoredRegistration> = None;
    let mut wanted: Option<RegistrationOrder> = None;
    let mut dirty = false;
    let mut renew_at = Instant::now();
    loop {
        match orders.recv_timeout(renew_at.saturating_duration_since(Instant::now())) {
            Ok(PublishOrder::Record(order)) => {
                wanted = Some(order);
                dirty = true;
            }
            Ok(PublishOrder::End) => {
                if let Some(stored) = stored.take() {
                    end_registration(client, &stored);
                }
                return;
            }
            Err(RecvTimeoutError::Timeout) => {
                let role = wanted.as_ref().map(|order| order.role);
                let interval = match role {
                    Some(NodeRole::Standby) => STANDBY_RENEWAL_INTERVAL,
                    Some(NodeRole::Owner) | None => RENEWAL_INTERVAL,
                };
                renew_at = Instant::now() + interval;
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let Some(order) = &wanted else { continue };
        let sent = clock::now();
        let result = match &stored {
            Some(stored) if stored.role == order.role && dirty => {
                client.write_registration(order.role, node, &order.bytes, stored.lease)
            }
            Some(stored) if stored.role == order.role => client.renew_lease(stored.lease),
            _ => {
                dirty = true;
                open_registration(client, node, order).map(|opened| {
                    if let Some(former) = stored.replace(opened) {
                        end_registration(client, &former);
                    }
                    // The permit begins with the first renewal sent after the registration is stored.
                    renew_at = Instant::now();
                })
            }
        };
        match result {
            Ok(()) => {
                // A write of the registration alone does not renew its lease.
                if !std::mem::take(&mut dirty) {
                    events.send(match order.role {
                        NodeRole::Owner => {
                            GateEvent::PermitRenewed { sent, registration: order.number }
                        }
                        NodeRole::Standby => GateEvent::ContactRenewed { sent },
                    });
                }
            }
            Err(error) => {
                log_failure("registration", &error);
                if error == StoreError::LeaseEnded {
                    stored = None;
                    dirty = true;
                    events.send(GateEvent::PermitLost);
                }
            }
        }
    }
}

fn open_registration<S: StoreClient>(
    client: &S,
    node: &Name,
    order: &RegistrationOrder,
) -> Result<StoredRegistration, StoreError> {
    let lease = client.open_lease(REGISTRATION_TTL)?;
    client.write_registration(order.role, node, &order.bytes, lease)?;
    Ok(StoredRegistration { role: order.role, lease })
}

fn end_registration<S: StoreClient>(client: &S, stored: &StoredRegistration) {
    if let Err(error) = client.end_lease(stored.lease) {
        log_failure("end_lease", &error);
    }
}
