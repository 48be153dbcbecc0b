//! Documents, the active configuration, and the node registry.

use std::collections::BTreeSet;
use std::sync::Arc;

use config::{ChangeEnvelope, DocumentOffer, DocumentStore, parse_fleet};
use member::{Heartbeat, MemberAction, MemberEvent, PlatformVm};
use model::{ClusterConfig, FleetConfig, Micros, Name};
use route::{SelectorTable, TokenKey, TokenKeys};
use serde::Deserialize;

use crate::Node;
use crate::action::{LogLevel, NodeAction};

/// Name of the document with the operators' configuration.
pub(crate) const CONFIG_DOCUMENT: &str = "config";
/// Name of the document with the keys that sign session tokens.
pub(crate) const TOKEN_KEYS_DOCUMENT: &str = "token-keys";
/// Prefix of the document keys at the platform.
const KEY_PREFIX: &str = "cicadawick/";

/// Time for which a node holds a key before it signs with it. Changes reach every node within 17 s; a
/// node that does not know the key yet would reject the token as forged.
const SIGNING_KEY_DELAY: Micros = Micros::from_secs(20);

/// The documents that the node holds and the configuration that is active.
#[derive(Default)]
pub(crate) struct FleetState {
    pub documents: DocumentStore,
    pub active: Option<Arc<FleetConfig>>,
    pub selectors: SelectorTable,
    pub keys: TokenKeys,
    /// When this node first held each key of `keys`, in the same order.
    keys_held_since: Vec<Micros>,
    /// Revision of the held configuration if it cannot be activated.
    pub rejected: Option<u64>,
}

impl std::fmt::Debug for FleetState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys must not appear in logs.
        formatter.debug_struct("FleetState").field("revision", &self.revision()).finish()
    }
}

impl FleetState {
    /// Returns the revision of the active configuration, or 0 if there is none.
    pub(crate) fn revision(&self) -> u64 {
        self.active.as_ref().map_or(0, |fleet| fleet.revision)
    }

    /// Returns the key to sign with: the last one held for [`SIGNING_KEY_DELAY`], else the first one.
    pub(crate) fn signing_key(&self, now: Micros) -> TokenKeys {
        let held = |since: &Micros| now >= *since + SIGNING_KEY_DELAY;
        let index = self.keys_held_since.iter().rposition(held).unwrap_or(0);
        TokenKeys(self.keys.0.get(index).cloned().into_iter().collect())
    }

    fn replace_keys(&mut self, now: Micros, keys: TokenKeys) {
        let known = |key: &TokenKey| {
            let index = self.keys.0.iter().position(|other| other == key);
            index.and_then(|index| self.keys_held_since.get(index).copied())
        };
        self.keys_held_since = keys.0.iter().map(|key| known(key).unwrap_or(now)).collect();
        self.keys = keys;
    }
}

/// The token keys document: a list, or an object with a revision and a list.
#[derive(Deserialize)]
#[serde(untagged)]
enum KeysDocument {
    List(Vec<KeyEntry>),
    Revised { revision: u64, keys: Vec<KeyEntry> },
}

#[derive(Deserialize)]
struct KeyEntry {
    id: u32,
    secret: String,
}

impl KeyEntry {
    fn parse(&self) -> Option<TokenKey> {
        let digits = self.secret.as_bytes();
        if digits.len() != 64 {
            return None;
        }
        let mut secret = [0; 32];
        for (byte, pair) in secret.iter_mut().zip(digits.chunks_exact(2)) {
            let high = char::from(pair[0]).to_digit(16)?;
            let low = char::from(pair[1]).to_digit(16)?;
            *byte = u8::try_from(high * 16 + low).ok()?;
        }
        Some(TokenKey { id: self.id, secret })
    }
}

impl KeysDocument {
    /// Returns the revision. A plain list has none and its highest id is used, because keys are only ever
    /// added with a higher id.
    fn revision(&self) -> u64 {
        match self {
            KeysDocument::List(keys) => keys.iter().map(|key| u64::from(key.id)).max().unwrap_or(0),
            KeysDocument::Revised { revision, .. } => *revision,
        }
    }

    fn keys(&self) -> Option<TokenKeys> {
        let (KeysDocument::List(keys) | KeysDocument::Revised { keys, .. }) = self;
        keys.iter().map(KeyEntry::parse).collect::<Option<Vec<_>>>().map(TokenKeys)
    }
}

impl Node {
    /// Handles a document from the platform, where its key has a prefix.
    pub(crate) fn platform_document(&mut self, document: &str, bytes: Option<&[u8]>) {
        let document = document.strip_prefix(KEY_PREFIX).unwrap_or(document);
        let Some(bytes) = bytes else { return };
        let revision = match document {
            CONFIG_DOCUMENT => {
                ChangeEnvelope::from_bytes(bytes).ok().map(|envelope| envelope.revision)
            }
            TOKEN_KEYS_DOCUMENT => {
                serde_json::from_slice(bytes).ok().map(|keys: KeysDocument| keys.revision())
            }
            _ => None,
        };
        match revision {
            Some(revision) => self.offer_document(&document.into(), revision, bytes),
            None => {
                self.count("documents.unreadable", 1);
                let text = format!("failed to parse document {document} from the platform");
                self.log(LogLevel::Error, text);
            }
        }
    }

    /// Stores and activates a document if its revision is higher than the one held.
    pub(crate) fn offer_document(&mut self, document: &Name, revision: u64, bytes: &[u8]) {
        if &**document != CONFIG_DOCUMENT && &**document != TOKEN_KEYS_DOCUMENT {
            return;
        }
        match self.fleet.documents.offer(document, revision, bytes) {
            DocumentOffer::Newer => {
                if &**document == CONFIG_DOCUMENT {
                    self.activate_config(revision, bytes);
                } else {
                    self.activate_keys(revision, bytes);
                }
                let event = MemberEvent::DocumentHeld { document: document.clone(), revision };
                self.handle_member_event(event);
            }
            DocumentOffer::Same => {}
            DocumentOffer::Older => self.count("documents.older", 1),
        }
    }

    fn activate_config(&mut self, revision: u64, bytes: &[u8]) {
        let parsed = ChangeEnvelope::from_bytes(bytes).map_err(|error| error.to_string()).and_then(
            |envelope| {
                parse_fleet(CONFIG_DOCUMENT, &envelope.text, revision)
                    .map_err(|errors| errors.first().map(ToString::to_string).unwrap_or_default())
            },
        );
        match parsed {
            Ok(config) => {
                self.fleet.selectors = SelectorTable::compile(&config);
                let previous = self.fleet.active.replace(Arc::new(config));
                self.fleet.rejected = None;
                self.count("configurations.activated", 1);
                self.log(LogLevel::Info, format!("configuration {revision} is active"));
                self.update_owned_databases(previous.as_deref());
            }
            Err(reason) => {
                self.fleet.rejected = Some(revision);
                self.count("configurations.rejected", 1);
                let text = format!("failed to activate configuration {revision}: {reason}");
                self.log(LogLevel::Error, text);
            }
        }
    }

    fn activate_keys(&mut self, revision: u64, bytes: &[u8]) {
        let keys =
            serde_json::from_slice::<KeysDocument>(bytes).ok().and_then(|document| document.keys());
        match keys {
            Some(keys) => self.fleet.replace_keys(self.now, keys),
            None => {
                self.count("documents.unreadable", 1);
                let text = format!("failed to activate token keys of revision {revision}");
                self.log(LogLevel::Error, text);
            }
        }
    }

    /// Updates owned databases and cluster monitors after a change of the nodes, or of the configuration
    /// from `previous`.
    pub(crate) fn update_owned_databases(&mut self, previous: Option<&FleetConfig>) {
        let Some(fleet) = self.fleet.active.clone() else { return };
        let own = self.settings.name.clone();
        let mut owned = BTreeSet::new();
        for cluster in &fleet.clusters {
            let owners = self.supervisors(cluster).len();
            let owners = u32::try_from(owners).unwrap_or(u32::MAX);
            let mut monitored = false;
            for database in &cluster.databases {
                let owner = self.members.owner_of(&database.name, &database.data_centre);
                if owner == own {
                    owned.insert(database.name.clone());
                    monitored = true;
                    self.configure_service(cluster, database, true, owners);
                }
            }
            if monitored || self.clusters.contains_key(&cluster.name) {
                let same_cluster = |other: &&ClusterConfig| other.name == cluster.name;
                let before = previous.and_then(|fleet| fleet.clusters.iter().find(same_cluster));
                self.configure_cluster(cluster, before);
            }
        }
        let mut retired: Vec<Name> = self.owner.services.keys().cloned().collect();
        retired.retain(|database| !owned.contains(database));
        retired.sort();
        for database in retired {
            self.retire_service(&database);
        }
        self.entry.hints.retain(|database| fleet.database(database).is_some());
        self.close_surplus_connections();
        self.remove_unused_clusters();
    }

    /// Removes the monitor of each cluster of which this node serves no database.
    pub(crate) fn remove_unused_clusters(&mut self) {
        let services = &self.owner.services;
        self.clusters.retain(|name, _| services.values().any(|service| service.cluster == *name));
    }

    pub(crate) fn handle_member_event(&mut self, event: MemberEvent) {
        let mut actions = Vec::new();
        self.members.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                MemberAction::SendHeartbeat { to, heartbeat } => {
                    self.emit(NodeAction::SendHeartbeat { to, heartbeat });
                }
                MemberAction::PullTable { from } => self.emit(NodeAction::PullTable { from }),
                MemberAction::PullDocument { from, document } => {
                    self.emit(NodeAction::PullDocument { from, document });
                }
                MemberAction::OwnersChanged => {
                    self.count("owners.changed", 1);
                    self.update_owned_databases(None);
                }
                MemberAction::MemberLost(name) => self.member_lost(&name),
            }
        }
        self.update_watcher();
    }

    /// Handles the answer to a heartbeat. A sender that is not a member yet is a peer from the settings.
    pub(crate) fn heartbeat_answered(&mut self, heartbeat: Heartbeat) {
        let event = match self.members.member(&heartbeat.from.name).is_some() {
            true => MemberEvent::HeartbeatAnswered(heartbeat),
            false => MemberEvent::PeerFound(heartbeat),
        };
        self.handle_member_event(event);
    }

    pub(crate) fn vm_list(&mut self, rows: Vec<PlatformVm>) {
        self.handle_member_event(MemberEvent::VmListArrived(rows));
    }

    fn member_lost(&mut self, name: &Name) {
        self.count("members.lost", 1);
        self.log(LogLevel::Warn, format!("node {name} was lost"));
        self.abandon_peer_requests(name);
        let mut calls: Vec<_> = self
            .entry
            .calls
            .iter()
            .filter(|(_, call)| call.to == *name)
            .map(|(id, _)| *id)
            .collect();
        calls.sort();
        for call in calls {
            self.forward_failed(call, true);
        }
    }

    /// Starts or stops the watches of the platform when this node becomes, or ceases to be, the watcher.
    pub(crate) fn update_watcher(&mut self) {
        let watcher = self.members.watcher_of(&self.settings.data_centre);
        let is_watcher = watcher.as_ref() == Some(&self.settings.name);
        if is_watcher != self.is_watcher {
            self.is_watcher = is_watcher;
            self.emit(NodeAction::WatchPlatform(is_watcher));
        }
    }
}
