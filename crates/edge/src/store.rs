//! The interface of the platform's store, and the threads that make its blocking calls.
//!
//! One thread follows the store ([`crate::watch`]), and one keeps this node's registration ([`crate::registration`]).
//! The calls of a promotion are rare, and each runs on a thread of its own so that none waits for another.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use gate::{
    Document, GateEvent, ListedDatabase, NodeRole, PromoteResult, RouteTable, StoreState,
    StoredDocument, UnreadableEntry, WriteResult,
};
use model::Name;
use relay::{ChangeBatch, ChangeRelay};
use stakker::sync::Channel;

use crate::logging::event_line;
use crate::registration::{PublishCommand, RegistrationKeeper, RegistrationUpdate};
use crate::watch::{StandbyStatus, StoreWatch};

/// Maximum number of commands that wait for the registration thread.
const PUBLISH_QUEUE_CAPACITY: usize = 16;

/// A stored item.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreItem {
    Routes(Box<RouteTable>),
    Database(ListedDatabase),
    Document(StoredDocument),
    UnreadableDatabase(UnreadableEntry),
    /// An item of any other kind.
    Unknown,
}

/// A change in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    Set(StoreItem),
    DatabaseRemoved(Name),
    DocumentRemoved { document: Document, revision: u64 },
}

/// Result of a write that requires a revision of its item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionalWrite {
    /// The item has this revision now.
    Written { revision: u64 },
    /// Nothing was written, because the item has another revision; zero if there is no item.
    Conflict { current: u64 },
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
    /// The store was restored from an older copy since what the call depends on was read. A write may
    /// have taken effect.
    #[error("the era of the store has changed")]
    EraChanged,
    #[error("the lease has ended")]
    LeaseEnded,
    #[error("failed to decode the store's answer: {0}")]
    Unreadable(String),
}

/// A lease of the store. A restored store may have assigned its number to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLease {
    pub number: u64,
    /// Era in which it was opened or listed.
    pub era: u64,
}

/// Blocking calls to the store, each with a time limit.
///
/// All revisions contain the era of the store, see [`gate::revision_in_era`]. An answer of another era than the call's
/// counts as [`StoreError::EraChanged`]; only a list may begin an era.
pub trait StoreClient: Clone + Send + 'static {
    /// Returns the highest era that an answer has stated, zero if the store states none.
    fn era(&self) -> u64;

    /// Lists all items, and returns the store's revision, from which to watch them.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn list(&self) -> Result<(Vec<StoreItem>, u64), StoreError>;

    /// Waits for changes after a revision. Without changes in time, the batch continues from the same revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time, refuses, or no longer has the history.
    fn watch(&self, after: u64, wait: Duration) -> Result<ChangeBatch, StoreError>;

    /// Decodes the changes after a revision from the body of a batch, which may come from another node.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed. A malformed item is returned as unreadable or unknown.
    fn decode_changes(body: &[u8], after: u64) -> Result<Vec<StoreChange>, StoreError>;

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

    /// Stores the record of the databases that may hold a cluster's commits, if its revision is still `expected`; zero
    /// means that it must not exist.
    fn write_log_holders(
        &self,
        cluster: &Name,
        expected: u64,
        bytes: &[u8],
    ) -> Result<ConditionalWrite, StoreError>;

    /// Writes a node's registration in a role under a lease, if its revision is `expected`; zero means that there
    /// is none.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses, or if the lease has ended or is of a former era.
    fn write_registration(
        &self,
        role: NodeRole,
        node: &Name,
        bytes: &[u8],
        lease: StoreLease,
        expected: u64,
    ) -> Result<ConditionalWrite, StoreError>;

    /// Opens a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses.
    fn open_lease(&self, ttl: Duration) -> Result<StoreLease, StoreError>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses, or if the lease has ended or is of a former era.
    fn renew_lease(&self, lease: StoreLease) -> Result<(), StoreError>;

    /// Ends a lease, which removes the registration written under it.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or refuses, or if the lease is of a former era.
    fn end_lease(&self, lease: StoreLease) -> Result<(), StoreError>;

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
    status: Arc<StandbyStatus>,
}

impl<S: StoreClient> StoreThreads<S> {
    /// Starts the threads of the watch and of the registration.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot start a thread.
    pub(crate) fn start(
        client: S,
        node: Name,
        data_centre: Name,
        relay: Option<ChangeRelay>,
        configuration_bound: Duration,
        events: Channel<GateEvent>,
    ) -> io::Result<Self> {
        let status = Arc::new(StandbyStatus {
            standby: AtomicBool::new(true),
            following: AtomicBool::new(false),
        });
        let mut watch = StoreWatch::new(
            client.clone(),
            events.clone(),
            status.clone(),
            node.clone(),
            data_centre,
            relay.clone(),
            configuration_bound,
        );
        shell::spawn_restarting("watch", move || watch.run())?;
        let (commands, receiver) = sync_channel(PUBLISH_QUEUE_CAPACITY);
        let mut keeper = RegistrationKeeper::new(
            client.clone(),
            node,
            receiver,
            events.clone(),
            status.clone(),
            relay,
        );
        shell::spawn_restarting("registration", move || keeper.run())?;
        Ok(StoreThreads { client, events, commands, status })
    }

    pub(crate) fn publish_registration(&self, role: NodeRole, role_changes: u64, bytes: Vec<u8>) {
        self.status.standby.store(role == NodeRole::Standby, Ordering::Relaxed);
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

    /// Makes a call on a thread of its own and reports the event that it returns, or `failed` if it ends otherwise.
    fn call(
        &self,
        name: &'static str,
        failed: GateEvent,
        call: impl FnOnce(S) -> GateEvent + Send + 'static,
    ) {
        let (client, events) = (self.client.clone(), self.events.clone());
        let report = move |event| {
            // Fails only after the event loop has ended.
            let _ = events.send(event);
        };
        shell::spawn_call(name, move || call(client), failed, report);
    }

    pub(crate) fn write_promotion_lease(&self, attempt: u64, expected: u64, bytes: Vec<u8>) {
        let written = move |result| GateEvent::PromotionLeaseWritten { attempt, result };
        self.call("write_duty", written(WriteResult::Failed), move |client| {
            written(match client.write_promotion_lease(expected, &bytes) {
                Ok(Some(revision)) => WriteResult::Written { revision },
                Ok(None) => WriteResult::Conflict,
                Err(error) => {
                    log_failure("write_duty", &error);
                    WriteResult::Failed
                }
            })
        });
    }

    /// Writes the number of nodes. A failure is only logged, as the gate retries.
    pub(crate) fn write_node_count(&self, bytes: Vec<u8>) {
        self.write("write_fleet", move |client| client.write_node_count(&bytes));
    }

    /// Writes the record of a cluster's databases. A failure is only logged, as the gate retries; a conflict shows in the
    /// newer record.
    pub(crate) fn write_log_holders(&self, cluster: Name, expected: u64, bytes: Vec<u8>) {
        self.write("write_holders", move |client| {
            client.write_log_holders(&cluster, expected, &bytes).map(|_| ())
        });
    }

    /// Makes a write on a thread of its own; a failure is only logged.
    fn write(
        &self,
        name: &'static str,
        write: impl FnOnce(S) -> Result<(), StoreError> + Send + 'static,
    ) {
        let client = self.client.clone();
        let write = move || {
            if let Err(error) = write(client) {
                log_failure(name, &error);
            }
        };
        shell::spawn_call(name, write, (), |()| {});
    }

    pub(crate) fn read_state(&self) {
        self.call("read_state", GateEvent::StoreStateRead { state: None }, |client| {
            let state = match read_state(&client) {
                Ok(state) => Some(state),
                Err(error) => {
                    log_failure("read_state", &error);
                    None
                }
            };
            GateEvent::StoreStateRead { state }
        });
    }

    pub(crate) fn end_lease(&self, node: Name, lease: StoreLease) {
        let answered = move |ended| GateEvent::EndLeaseAnswered { node, ended };
        self.call("end_lease", answered.clone()(false), move |client| {
            answered(match client.end_lease(lease) {
                Ok(()) => true,
                Err(error) => {
                    log_failure("end_lease", &error);
                    false
                }
            })
        });
    }

    pub(crate) fn promote(&self, cluster: Name, database: Name, holder: Name, fencing_token: u64) {
        let result = PromoteResult::Failed;
        let failed = GateEvent::PromoteAnswered { cluster: cluster.clone(), result };
        self.call("promote", failed, move |client| {
            let result = client.promote(&cluster, &database, &holder, fencing_token);
            GateEvent::PromoteAnswered { cluster, result }
        });
    }
}

fn read_state<S: StoreClient>(client: &S) -> Result<StoreState, StoreError> {
    let (items, revision) = client.list()?;
    Ok(sort_items(items, revision).0)
}

/// Sorts listed items by kind; returns the configuration separately.
pub(crate) fn sort_items(
    items: Vec<StoreItem>,
    revision: u64,
) -> (StoreState, Option<Box<RouteTable>>) {
    let mut state = StoreState {
        revision,
        databases: Vec::new(),
        unreadable_entries: Vec::new(),
        documents: Vec::new(),
    };
    let mut routes = None;
    for item in items {
        match item {
            StoreItem::Routes(table) => routes = Some(table),
            StoreItem::Database(database) => state.databases.push(database),
            StoreItem::Document(document) => state.documents.push(document),
            StoreItem::UnreadableDatabase(entry) => state.unreadable_entries.push(entry),
            StoreItem::Unknown => {}
        }
    }
    (state, routes)
}

pub(crate) fn log_failure(call: &'static str, error: &StoreError) {
    let fields = vec![("call", call.into()), ("error", error.to_string().into())];
    log::warn!("{}", event_line("store_call_failed", fields));
}
