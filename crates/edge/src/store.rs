//! The interface of the platform's store, and the threads that make its blocking calls.
//!
//! One thread lists all items and then watches for changes, with a single watch because each one counts as a
//! call. One thread renews this node's registration. The calls of a promotion are rare, and each runs on a
//! thread of its own so that none waits for another.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use gate::{
    Document, GateEvent, ListedDatabase, NodeRole, PromoteResult, RouteTable,
    SMALL_DEPLOYMENT_MAX_NODES, StoreState, StoredDocument, WriteResult,
};
use model::{FastSet, Name};
use stakker::sync::Channel;

use crate::clock;
use crate::logging::event_line;

/// Time for which the store may hold a watch that has no changes; every return counts as a call. The store may
/// drop a watch silently, and then changes go unnoticed for this long.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Watch timeout of a node that only forwards and needs little more than the configuration. A silent connection
/// to the store is noticed within this time and the watch's margin. Together they stay below the sum of the users'
/// shortest time until a node reaches the store (4 s) and their shortest bound for a configuration change (3 s).
const STANDBY_WATCH_TIMEOUT: Duration = Duration::from_millis(5_500);

/// Pause before the next watch after registrations changed, with many nodes: a series of changes then returns
/// from one watch instead of one each. An announced failover may be delayed by it.
const OWNER_WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Pause before the next watch after any change at a node that only forwards: a third of the users' shortest
/// bound for a configuration change.
const STANDBY_WATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Pause after a failed call, which keeps an outage from causing a burst of calls. Grows with each failure.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// Recovery of the store has to be noticed within a second.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(700);

/// Time to live of this node's registration.
const REGISTRATION_TTL: Duration = Duration::from_millis(3_000);

/// Interval between renewals at an owner: two renewals fit in the duration of a read lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(330);

/// Interval between renewals at a standby, which has no read lease: two fit in the time to live.
const STANDBY_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of commands that wait for the registration thread.
const PUBLISH_QUEUE_CAPACITY: usize = 16;

/// A stored item.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreItem {
    Routes(Box<RouteTable>),
    Database(ListedDatabase),
    Document(StoredDocument),
    /// The entry of this database cannot be parsed, so the database is not used.
    UnreadableDatabase(Name),
    /// An item of any other kind.
    Unknown,
}

/// A change in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    Set(StoreItem),
    DatabaseRemoved(Name),
    DocumentRemoved(Document),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No complete answer arrived. A write may have taken effect or may still do so.
    #[error("no complete answer from the store: {0}")]
    Unreachable(String),
    /// The call had no effect.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The store no longer keeps the revision from which a watch should continue.
    #[error("the store no longer keeps the history from the requested revision")]
    HistoryGone,
    #[error("the lease has ended")]
    LeaseEnded,
    #[error("failed to decode the store's answer: {0}")]
    Unreadable(String),
}

/// Blocking calls to the store, each with a time limit.
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

    /// Writes the promotion lease's document if its revision is `expected`; returns `Ok(None)` if it is not.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn write_promotion_lease(&self, expected: u64, bytes: &[u8])
    -> Result<Option<u64>, StoreError>;

    /// Writes the document with the number of nodes, unconditionally.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn write_node_count(&self, bytes: &[u8]) -> Result<(), StoreError>;

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

    /// Ends a lease, which removes the registration written under it.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn end_lease(&self, lease: u64) -> Result<(), StoreError>;

    /// Asks the platform to promote a database, as the given holder of the promotion lease. The request must
    /// not reach the platform after this has returned.
    fn promote(
        &self,
        cluster: &Name,
        database: &Name,
        holder: &Name,
        fencing_token: u64,
    ) -> PromoteResult;
}

/// Handle to the threads that call the store.
pub(crate) struct StoreThreads<S> {
    client: S,
    events: Channel<GateEvent>,
    commands: SyncSender<PublishCommand>,
    /// Whether this node is a standby, which only forwards requests.
    standby: Arc<AtomicBool>,
}

/// A registration that the gate asked to publish.
struct RegistrationUpdate {
    role: NodeRole,
    role_changes: u64,
    bytes: Vec<u8>,
}

enum PublishCommand {
    Publish(RegistrationUpdate),
    End,
}

impl<S: StoreClient> StoreThreads<S> {
    /// Starts the threads of the watch and of the registration.
    pub(crate) fn start(client: S, node: Name, events: Channel<GateEvent>) -> Self {
        let standby = Arc::new(AtomicBool::new(true));
        let (watch_client, watch_events, is_standby) =
            (client.clone(), events.clone(), standby.clone());
        thread::spawn(move || watch_store(&watch_client, &watch_events, &is_standby));
        let (commands, receiver) = sync_channel(PUBLISH_QUEUE_CAPACITY);
        let registration_client = client.clone();
        let registration_events = events.clone();
        thread::spawn(move || {
            maintain_registration(&registration_client, &node, &receiver, &registration_events)
        });
        StoreThreads { client, events, commands, standby }
    }

    pub(crate) fn publish_registration(&self, role: NodeRole, role_changes: u64, bytes: Vec<u8>) {
        self.standby.store(role == NodeRole::Standby, Ordering::Relaxed);
        let update = RegistrationUpdate { role, role_changes, bytes };
        match self.commands.try_send(PublishCommand::Publish(update)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                log::warn!("\"event\":\"registration_dropped\"");
            }
        }
    }

    /// Removes the registration. If the queue is full, it expires with its lease instead.
    pub(crate) fn end_registration(&self) {
        let _ = self.commands.try_send(PublishCommand::End);
    }

    pub(crate) fn write_promotion_lease(&self, attempt: u64, expected: u64, bytes: Vec<u8>) {
        let (client, events) = (self.client.clone(), self.events.clone());
        thread::spawn(move || {
            let result = match client.write_promotion_lease(expected, &bytes) {
                Ok(Some(revision)) => WriteResult::Written { revision },
                Ok(None) => WriteResult::Conflict,
                Err(error) => {
                    log_failure("write_duty", &error);
                    WriteResult::Failed
                }
            };
            events.send(GateEvent::PromotionLeaseWritten { attempt, result });
        });
    }

    /// Writes the number of nodes. A failure is only logged, as the gate retries.
    pub(crate) fn write_node_count(&self, bytes: Vec<u8>) {
        let client = self.client.clone();
        thread::spawn(move || {
            if let Err(error) = client.write_node_count(&bytes) {
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
            events.send(GateEvent::StoreStateRead { state });
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
            events.send(GateEvent::EndLeaseAnswered { node, ended });
        });
    }

    pub(crate) fn promote(&self, cluster: Name, database: Name, holder: Name, fencing_token: u64) {
        let (client, events) = (self.client.clone(), self.events.clone());
        thread::spawn(move || {
            let result = client.promote(&cluster, &database, &holder, fencing_token);
            events.send(GateEvent::PromoteAnswered { cluster, result });
        });
    }
}

fn read_state<S: StoreClient>(client: &S) -> Result<StoreState, StoreError> {
    let (items, _) = client.list()?;
    Ok(sort_items(items).0)
}

/// Sorts listed items by kind; returns the configuration separately.
fn sort_items(items: Vec<StoreItem>) -> (StoreState, Option<Box<RouteTable>>) {
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

/// Watches the whole store.
struct StoreWatch<'a, S> {
    client: &'a S,
    events: &'a Channel<GateEvent>,
    /// Whether this node is a standby, which only forwards requests.
    standby: &'a AtomicBool,
    registered_nodes: FastSet<Name>,
}

impl<S: StoreClient> StoreWatch<'_, S> {
    /// Reports all stored items; returns the revision from which to watch.
    fn list(&mut self) -> Result<u64, StoreError> {
        let (items, revision) = self.client.list()?;
        self.registered_nodes = items.iter().filter_map(registered_node).collect();
        report_items(items, self.events);
        Ok(revision)
    }

    /// Waits for changes and reports them; returns the next revision.
    fn wait_for_changes(&mut self, after: u64) -> Result<u64, StoreError> {
        let wait = if self.forwards_only() { STANDBY_WATCH_TIMEOUT } else { WATCH_TIMEOUT };
        let (changes, next) = self.client.watch(after, wait)?;
        let changed = !changes.is_empty();
        let registrations_changed = changes.iter().any(changes_registration);
        for change in changes {
            match &change {
                StoreChange::Set(item) => self.registered_nodes.extend(registered_node(item)),
                StoreChange::DocumentRemoved(Document::Node(_, node)) => {
                    self.registered_nodes.remove(node);
                }
                StoreChange::DocumentRemoved(Document::PromotionLease | Document::NodeCount)
                | StoreChange::DatabaseRemoved(_) => {}
            }
            report_change(change, self.events);
        }
        if changed && self.forwards_only() {
            thread::sleep(STANDBY_WATCH_INTERVAL);
        } else if registrations_changed && self.registered_nodes.len() > SMALL_DEPLOYMENT_MAX_NODES
        {
            thread::sleep(OWNER_WATCH_INTERVAL);
        }
        Ok(next)
    }

    /// Returns whether this node only forwards: it is a standby and one of many nodes.
    fn forwards_only(&self) -> bool {
        self.registered_nodes.len() > SMALL_DEPLOYMENT_MAX_NODES
            && self.standby.load(Ordering::Relaxed)
    }
}

/// Lists the store and watches it for as long as the process runs.
fn watch_store<S: StoreClient>(client: &S, events: &Channel<GateEvent>, standby: &AtomicBool) {
    let mut watch = StoreWatch { client, events, standby, registered_nodes: FastSet::default() };
    let mut after = None;
    let mut failures = 0_u32;
    loop {
        let result = match after {
            None => watch.list(),
            Some(revision) => watch.wait_for_changes(revision),
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
                // Unlike a watch, a list fails quickly while the store is still silent.
                after = None;
                thread::sleep((RETRY_BACKOFF * (failures + 1)).min(MAX_RETRY_BACKOFF));
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
        StoreChange::DocumentRemoved(Document::PromotionLease | Document::NodeCount)
        | StoreChange::DatabaseRemoved(_) => false,
    }
}

fn report_items(items: Vec<StoreItem>, events: &Channel<GateEvent>) {
    let (state, routes) = sort_items(items);
    if let Some(table) = routes {
        events.send(GateEvent::RoutesChanged(table));
    }
    // Must precede the databases: the registered nodes decide to which databases this node connects.
    events.send(GateEvent::DocumentsListed(state.documents));
    events.send(GateEvent::DatabasesListed(state.databases));
}

fn report_change(change: StoreChange, events: &Channel<GateEvent>) {
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

/// The registration that is in the store.
struct StoredRegistration {
    role: NodeRole,
    lease: u64,
}

/// Publishes this node's registration and renews the lease under which it is stored. At an owner, that lease is
/// also its read lease.
fn maintain_registration<S: StoreClient>(
    client: &S,
    node: &Name,
    commands: &Receiver<PublishCommand>,
    events: &Channel<GateEvent>,
) {
    let mut stored: Option<StoredRegistration> = None;
    let mut latest: Option<RegistrationUpdate> = None;
    let mut unpublished = false;
    let mut renew_at = Instant::now();
    loop {
        match commands.recv_timeout(renew_at.saturating_duration_since(Instant::now())) {
            Ok(PublishCommand::Publish(update)) => {
                latest = Some(update);
                unpublished = true;
            }
            Ok(PublishCommand::End) => {
                if let Some(stored) = stored.take() {
                    end_registration(client, &stored);
                }
                return;
            }
            Err(RecvTimeoutError::Timeout) => {
                let role = latest.as_ref().map(|update| update.role);
                let interval = match role {
                    Some(NodeRole::Standby) => STANDBY_RENEWAL_INTERVAL,
                    Some(NodeRole::Owner) | None => RENEWAL_INTERVAL,
                };
                renew_at = Instant::now() + interval;
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let Some(update) = &latest else { continue };
        let sent = clock::now();
        let result = match &stored {
            Some(stored) if stored.role == update.role && unpublished => {
                client.write_registration(update.role, node, &update.bytes, stored.lease)
            }
            Some(stored) if stored.role == update.role => client.renew_lease(stored.lease),
            _ => {
                unpublished = true;
                open_registration(client, node, update).map(|opened| {
                    if let Some(former) = stored.replace(opened) {
                        end_registration(client, &former);
                    }
                    // The read lease starts with the first renewal sent after the registration is stored.
                    renew_at = Instant::now();
                })
            }
        };
        match result {
            Ok(()) => {
                // Writing the registration does not renew its lease.
                if !std::mem::take(&mut unpublished) {
                    events.send(match update.role {
                        NodeRole::Owner => {
                            GateEvent::ReadLeaseRenewed { sent, role_changes: update.role_changes }
                        }
                        NodeRole::Standby => GateEvent::StoreContactRenewed { sent },
                    });
                }
            }
            Err(error) => {
                log_failure("registration", &error);
                if error == StoreError::LeaseEnded {
                    stored = None;
                    unpublished = true;
                    events.send(GateEvent::RegistrationLeaseLost);
                }
            }
        }
    }
}

fn open_registration<S: StoreClient>(
    client: &S,
    node: &Name,
    update: &RegistrationUpdate,
) -> Result<StoredRegistration, StoreError> {
    let lease = client.open_lease(REGISTRATION_TTL)?;
    client.write_registration(update.role, node, &update.bytes, lease)?;
    Ok(StoredRegistration { role: update.role, lease })
}

fn end_registration<S: StoreClient>(client: &S, stored: &StoredRegistration) {
    if let Err(error) = client.end_lease(stored.lease) {
        log_failure("end_lease", &error);
    }
}
