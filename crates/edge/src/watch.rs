//! The thread that follows the store.
//!
//! It lists all items, then watches for changes of any item, because each watch counts as a call ([`crate::overlap`]).
//! In a large deployment a node that only forwards follows a relay of its data centre instead, as far as there is one.
//! When it turns from relays to the store, it lists all items again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use gate::{
    Document, GateEvent, NodeRecord, NodeRole, SMALL_DEPLOYMENT_MAX_NODES, StoreState,
    StoredDocument, era_of_revision,
};
use model::{FastMap, Micros, Name};
use relay::{ChangeBatch, ChangeRelay, FollowOutcome, RelayCandidate, RelayFollower};
use stakker::sync::Channel;

use crate::clock;
use crate::logging::event_line;
use crate::overlap::OverlappingWatches;
use crate::store::{StoreChange, StoreClient, StoreError, StoreItem, log_failure, sort_items};

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

/// Whether this node is a standby, and whether it follows a relay; shared between the threads of the store.
#[derive(Debug)]
pub(crate) struct StandbyStatus {
    /// This node only forwards requests.
    pub(crate) standby: AtomicBool,
    /// A relay tells this node about the store, so it needs no renewals to notice lost contact.
    pub(crate) following: AtomicBool,
}

/// Follows the whole store.
pub(crate) struct StoreWatch<S> {
    client: S,
    events: Channel<GateEvent>,
    status: Arc<StandbyStatus>,
    data_centre: Name,
    /// Relays the changes to other nodes while this node watches the store as an owner.
    relay: Option<ChangeRelay>,
    follower: RelayFollower,
    /// All registrations, with the relay of each owner that has one in this node's data centre.
    nodes: FastMap<(NodeRole, Name), Option<RelayCandidate>>,
    /// Where the changes come from.
    source: Option<ChangeSource>,
    watches: OverlappingWatches<S>,
}

/// Where a node learns of changes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeSource {
    Store,
    Relay,
}

impl ChangeSource {
    fn name(self) -> &'static str {
        match self {
            ChangeSource::Store => "store",
            ChangeSource::Relay => "relay",
        }
    }
}

impl<S: StoreClient> StoreWatch<S> {
    pub(crate) fn new(
        client: S,
        events: Channel<GateEvent>,
        status: Arc<StandbyStatus>,
        node: Name,
        data_centre: Name,
        relay: Option<ChangeRelay>,
        configuration_bound: Duration,
    ) -> Self {
        let follower = RelayFollower::new(node);
        StoreWatch {
            watches: OverlappingWatches::new(client.clone(), configuration_bound),
            client,
            events,
            status,
            data_centre,
            relay,
            follower,
            nodes: FastMap::default(),
            source: None,
        }
    }

    /// Logs where the changes after a revision come from, if that has changed.
    fn set_source(&mut self, source: ChangeSource, after: u64) {
        if self.source.replace(source) != Some(source) {
            let fields = vec![("source", source.name().into()), ("after", after.into())];
            log::info!("{}", event_line("store_followed", fields));
        }
    }

    /// Lists the store and follows it for as long as the process runs.
    pub(crate) fn run(&mut self) {
        let mut after = None;
        let mut failures = 0_u32;
        loop {
            let result = match after {
                None => self.list(),
                Some(revision) => self.wait_for_changes(revision),
            };
            match result {
                Ok(revision) => {
                    if failures > 0 {
                        self.events.send(GateEvent::StoreReachable(true));
                    }
                    failures = 0;
                    after = Some(revision);
                }
                Err(error) => {
                    if let Some(relay) = &self.relay {
                        relay.stop();
                    }
                    // Unlike a watch, a list fails quickly while the store is still silent.
                    let listed = after.take().is_some();
                    if error == StoreError::EraChanged && listed {
                        continue;
                    }
                    if error == StoreError::HistoryGone {
                        log::info!("\"event\":\"history_gone\"");
                        continue;
                    }
                    if failures == 0 {
                        log_failure("watch", &error);
                        self.events.send(GateEvent::StoreReachable(false));
                    }
                    thread::sleep((RETRY_BACKOFF * (failures + 1)).min(MAX_RETRY_BACKOFF));
                    failures = failures.saturating_add(1);
                }
            }
        }
    }

    /// Reports all stored items; returns the revision from which to watch.
    fn list(&mut self) -> Result<u64, StoreError> {
        let sent = clock::now();
        let (items, revision) = self.client.list()?;
        self.nodes.clear();
        self.watches.stop();
        for item in &items {
            self.record_item(item);
        }
        self.source = None;
        let version = items.iter().find_map(|item| match item {
            StoreItem::Routes(table) => Some(table.version),
            _ => None,
        });
        let fields = vec![
            ("revision", revision.into()),
            ("era", era_of_revision(revision).into()),
            ("items", u64::try_from(items.len()).unwrap_or(u64::MAX).into()),
            ("version", version.unwrap_or_default().into()),
        ];
        log::info!("{}", event_line("store_listed", fields));
        report_items(items, revision, &self.events);
        self.report_followed(revision, sent);
        Ok(revision)
    }

    fn report_followed(&self, revision: u64, known_at: Micros) {
        self.events.send(GateEvent::StoreFollowed { revision, known_at });
    }

    /// Waits for changes and reports them; returns the next revision.
    fn wait_for_changes(&mut self, after: u64) -> Result<u64, StoreError> {
        // Another thread may have had an answer of a new era.
        if self.client.era() != era_of_revision(after) {
            return Err(StoreError::EraChanged);
        }
        if self.forwards_only() {
            if let Some(relay) = &self.relay {
                relay.stop();
            }
            if let Some(next) = self.follow_relay(after)? {
                return Ok(next);
            }
        } else {
            self.follower.disconnect();
        }
        self.status.following.store(false, Ordering::Relaxed);
        if self.source == Some(ChangeSource::Relay) {
            // The relays may have been behind for long. A watch does not tell: from a revision whose history was
            // dropped, the store may let it wait for its whole time.
            return self.list();
        }
        self.watch_store(after)
    }

    /// Reads the next frame of a relay; returns `None` if no relay can be used.
    fn follow_relay(&mut self, after: u64) -> Result<Option<u64>, StoreError> {
        let candidates: Vec<RelayCandidate> = self.nodes.values().flatten().cloned().collect();
        let (next, contact_age) = match self.follower.next(after, &candidates) {
            FollowOutcome::Changes { batch, contact_age } => {
                if era_of_revision(batch.next) != era_of_revision(after) {
                    return Err(StoreError::EraChanged);
                }
                self.report_batch(&batch, after)?;
                (batch.next.max(after), contact_age)
            }
            FollowOutcome::Heartbeat { contact_age } => (after, contact_age),
            FollowOutcome::Unavailable => return Ok(None),
        };
        self.status.following.store(true, Ordering::Relaxed);
        self.set_source(ChangeSource::Relay, next);
        let age = Micros::from_millis(u64::try_from(contact_age.as_millis()).unwrap_or(u64::MAX));
        let sent = clock::now().saturating_sub(age);
        self.events.send(GateEvent::StoreContactRenewed { sent });
        self.report_followed(next, sent);
        Ok(Some(next))
    }

    /// Watches the store itself.
    fn watch_store(&mut self, after: u64) -> Result<u64, StoreError> {
        let forwards_only = self.forwards_only();
        self.set_source(ChangeSource::Store, after);
        let relay = self.relay.clone().filter(|_| !forwards_only);
        if let Some(relay) = &relay
            && !relay.is_running()
        {
            relay.restart(after);
        }
        let batch = self.watches.next(after)?;
        let registrations_changed = self.report_batch(&batch, after)?;
        self.report_followed(batch.next, clock::now());
        let changed = batch.next > after;
        if let Some(relay) = &relay
            && changed
        {
            relay.push(batch.clone());
        }
        if changed && forwards_only {
            thread::sleep(STANDBY_WATCH_INTERVAL);
        } else if registrations_changed && self.nodes.len() > SMALL_DEPLOYMENT_MAX_NODES {
            thread::sleep(OWNER_WATCH_INTERVAL);
        }
        Ok(batch.next)
    }

    /// Reports the changes of a batch after a revision; returns true if registrations changed.
    fn report_batch(&mut self, batch: &ChangeBatch, after: u64) -> Result<bool, StoreError> {
        let changes = S::decode_changes(&batch.body, after)?;
        let registrations_changed = changes.iter().any(changes_registration);
        for change in changes {
            match &change {
                StoreChange::Set(item) => self.record_item(item),
                StoreChange::DocumentRemoved { document: Document::Node(role, node), .. } => {
                    self.nodes.remove(&(*role, node.clone()));
                }
                StoreChange::DocumentRemoved {
                    document:
                        Document::PromotionLease | Document::NodeCount | Document::LogHolders(_),
                    ..
                }
                | StoreChange::DatabaseRemoved(_) => {}
            }
            report_change(change, &self.events);
        }
        Ok(registrations_changed)
    }

    fn record_item(&mut self, item: &StoreItem) {
        if let StoreItem::Document(StoredDocument { document, bytes, .. }) = item
            && let Document::Node(role, node) = document
        {
            let relay = match role {
                NodeRole::Owner => relay_candidate(node, bytes, &self.data_centre),
                NodeRole::Standby => None,
            };
            self.nodes.insert((*role, node.clone()), relay);
        }
    }

    /// Returns whether this node only forwards: it is a standby and one of many nodes.
    fn forwards_only(&self) -> bool {
        self.nodes.len() > SMALL_DEPLOYMENT_MAX_NODES && self.status.standby.load(Ordering::Relaxed)
    }
}

/// Returns the relay of an owner in a data centre. The gate logs unreadable records.
fn relay_candidate(node: &Name, bytes: &[u8], data_centre: &Name) -> Option<RelayCandidate> {
    let record: NodeRecord = serde_json::from_slice(bytes).ok()?;
    let usable = !record.leaving && record.data_centre == data_centre.as_str();
    let address = record.relay_address.filter(|_| usable)?;
    Some(RelayCandidate { node: node.clone(), address, capacity: record.capacity })
}

fn changes_registration(change: &StoreChange) -> bool {
    match change {
        StoreChange::Set(StoreItem::Document(stored)) => {
            matches!(stored.document, Document::Node(..))
        }
        StoreChange::DocumentRemoved { document, .. } => matches!(document, Document::Node(..)),
        StoreChange::Set(_) | StoreChange::DatabaseRemoved(_) => false,
    }
}

fn report_items(items: Vec<StoreItem>, revision: u64, events: &Channel<GateEvent>) {
    let (state, routes) = sort_items(items, revision);
    let StoreState { databases, unreadable_entries, documents, .. } = state;
    if let Some(table) = routes {
        events.send(GateEvent::RoutesChanged(table));
    }
    // Must precede the databases: the registered nodes decide to which databases this node connects.
    events.send(GateEvent::DocumentsListed { documents, revision });
    events.send(GateEvent::DatabasesListed(databases));
    for entry in unreadable_entries {
        events.send(GateEvent::DatabaseUnreadable(entry));
    }
}

fn report_change(change: StoreChange, events: &Channel<GateEvent>) {
    let event = match change {
        StoreChange::Set(StoreItem::Routes(table)) => GateEvent::RoutesChanged(table),
        StoreChange::Set(StoreItem::Database(database)) => GateEvent::DatabaseChanged(database),
        StoreChange::Set(StoreItem::Document(document)) => GateEvent::DocumentChanged(document),
        StoreChange::Set(StoreItem::UnreadableDatabase(entry)) => {
            GateEvent::DatabaseUnreadable(entry)
        }
        StoreChange::DatabaseRemoved(id) => GateEvent::DatabaseUnlisted { id },
        StoreChange::Set(StoreItem::Unknown) => return,
        StoreChange::DocumentRemoved { document, revision } => {
            GateEvent::DocumentRemoved { document, revision }
        }
    };
    events.send(event);
}
