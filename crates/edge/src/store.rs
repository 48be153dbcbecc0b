//! The platform's store, and the threads that talk to it because its calls block.
//!
//! One thread lists everything once and then waits for changes; a single watch, as each counts as a call. One
//! thread keeps this node's registration alive. Calls of a promotion are rare and get a thread each, so that none waits behind
//! another.

use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use gate::{
    Document, GateEvent, ListedDatabase, PromoteResult, RouteTable, StoreState, StoredDocument,
    WriteResult,
};
use model::{FastSet, Name};
use stakker::sync::Channel;

use crate::clock;

/// Time that a watch waits at the store. Each return is a call. A watch may be dropped by the store without a
/// word, and then nothing is heard for as long.
const WATCH_WAIT: Duration = Duration::from_millis(4_000);

/// Pause before a watch is repeated, for each registered node, so that a series of registrations is one
/// return of the watch and not one each. A few nodes make no pause worth mentioning.
const PAUSE_PER_NODE: Duration = Duration::from_millis(3);

/// Longest such pause; an announced change of primary waits for it.
const PAUSE_LONGEST: Duration = Duration::from_millis(250);

/// Nodes up to which there is none.
const FEW_NODES: usize = 16;

/// Pause after a failed call, so that an outage does not cause a burst of calls.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after repeated failures. Recovery has to be noticed within a second.
const RETRY_PAUSE_LONGEST: Duration = Duration::from_millis(700);

/// Time to live of this node's registration.
const REGISTRATION_TTL: Duration = Duration::from_millis(3_000);

/// Interval of renewing it: two renewals within the time of a read permit.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(330);

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

    /// Writes a node's registration under a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses, or if the lease has ended.
    fn write_registration(&self, node: &Name, bytes: &[u8], lease: u64) -> Result<(), StoreError>;

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
}

enum PublishOrder {
    Record(Vec<u8>),
    End,
}

impl<S: StoreClient> StoreThreads<S> {
    /// Starts the watch and the registration.
    pub(crate) fn start(client: S, node: Name, events: Channel<GateEvent>) -> Self {
        let (watcher, changes) = (client.clone(), events.clone());
        thread::spawn(move || watch_store(&watcher, &changes));
        let (publish, orders) = sync_channel(PUBLISH_QUEUE);
        let registrar = client.clone();
        let renewals = events.clone();
        thread::spawn(move || keep_registration(&registrar, &node, &orders, &renewals));
        StoreThreads { client, events, publish }
    }

    pub(crate) fn publish(&self, bytes: Vec<u8>) {
        match self.publish.try_send(PublishOrder::Record(bytes)) {
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
    let text = serde_json::Value::from(error.to_string());
    log::warn!("\"event\":\"store_call_failed\",\"call\":\"{call}\",\"error\":{text}");
}

/// Lists the store and follows its changes for as long as the process runs.
fn watch_store<S: StoreClient>(client: &S, events: &Channel<GateEvent>) {
    let mut after = None;
    let mut failures = 0_u32;
    let mut nodes: FastSet<Name> = FastSet::default();
    loop {
        let result = match after {
            None => client.list().map(|(items, revision)| {
                nodes = items.iter().filter_map(registered_node).collect();
                send_list(items, events);
                revision
            }),
            Some(revision) => client.watch(revision, WATCH_WAIT).map(|(changes, next)| {
                for change in changes {
                    match &change {
                        StoreChange::Set(item) => nodes.extend(registered_node(item)),
                        StoreChange::DocumentRemoved(Document::Node(node)) => {
                            nodes.remove(node);
                        }
                        _ => {}
                    }
                    send_change(change, events);
                }
                if nodes.len() > FEW_NODES {
                    let pause = PAUSE_PER_NODE * u32::try_from(nodes.len()).unwrap_or(u32::MAX);
                    thread::sleep(pause.min(PAUSE_LONGEST));
                }
                next
            }),
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
        StoreItem::Document(StoredDocument { document: Document::Node(node), .. }) => {
            Some(node.clone())
        }
        _ => None,
    }
}

fn send_list(items: Vec<StoreItem>, events: &Channel<GateEvent>) {
    let (state, routes) = store_state(items);
    if let Some(table) = routes {
        events.send(GateEvent::RoutesChanged(table));
    }
    events.send(GateEvent::DatabasesListed(state.databases));
    events.send(GateEvent::DocumentsListed(state.documents));
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

/// Publishes this node's registration and keeps its lease, which is the node's read permit.
fn keep_registration<S: StoreClient>(
    client: &S,
    node: &Name,
    orders: &Receiver<PublishOrder>,
    events: &Channel<GateEvent>,
) {
    let mut lease = None;
    let mut record = None;
    let mut dirty = false;
    let mut renew_at = Instant::now();
    loop {
        match orders.recv_timeout(renew_at.saturating_duration_since(Instant::now())) {
            Ok(PublishOrder::Record(bytes)) => {
                record = Some(bytes);
                dirty = true;
            }
            Ok(PublishOrder::End) => {
                if let Some(lease) = lease.take()
                    && let Err(error) = client.end_lease(lease)
                {
                    log_failure("end_lease", &error);
                }
                return;
            }
            Err(RecvTimeoutError::Timeout) => renew_at = Instant::now() + RENEWAL_INTERVAL,
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let Some(bytes) = &record else { continue };
        let sent = clock::now();
        let result = match (lease, dirty) {
            (Some(id), true) => client.write_registration(node, bytes, id),
            (Some(id), false) => client.renew_lease(id),
            (None, _) => {
                dirty = true;
                client.open_lease(REGISTRATION_TTL).and_then(|opened| {
                    client.write_registration(node, bytes, opened)?;
                    lease = Some(opened);
                    // The permit begins with the first renewal sent after the registration is stored.
                    renew_at = Instant::now();
                    Ok(())
                })
            }
        };
        match result {
            Ok(()) => {
                // A write of the registration alone does not renew its lease.
                if !std::mem::take(&mut dirty) {
                    events.send(GateEvent::PermitRenewed { sent });
                }
            }
            Err(error) => {
                log_failure("registration", &error);
                if error == StoreError::LeaseEnded {
                    lease = None;
                    dirty = true;
                    events.send(GateEvent::PermitLost);
                }
            }
        }
    }
}
