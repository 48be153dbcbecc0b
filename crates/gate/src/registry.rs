//! The registered nodes, and the clusters whose primaries they suspect.
//!
//! Each node registers itself in the store. The number of registrations determines each node's
//! share of the databases' connections. A registration also carries the node's suspicions, so that
//! a fault of one node alone does not replace a primary that the other nodes reach.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use member::owner_score;
use model::{FastMap, FastSet, Micros, Name};
use serde::{Deserialize, Serialize};

use crate::backend::TermPosition;
use crate::event::NodeRole;
use crate::store_era::is_first_era;

/// Time for which the record of a node that left is kept: longer than its owners are kept after its
/// registration expired.
const FORMER_NODE_TTL: Micros = Micros::from_millis(10_000);

/// The end of a cluster's log as a node knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEndRecord {
    pub end: TermPosition,
    /// It covers all commits that were acknowledged by owners which have left.
    #[serde(default)]
    pub current: bool,
    /// Position that the primary was proved to have since the last owner left. It covers the same
    /// commits, and perhaps more than were acknowledged.
    #[serde(default)]
    pub proved: Option<TermPosition>,
    /// The node knows of an owner that has left and may still acknowledge commits, cut off from the
    /// store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub owner_missing: bool,
}

impl LogEndRecord {
    /// Returns true if a log covers all commits that were acknowledged by owners which have left,
    /// provided that it holds this end.
    pub(crate) fn is_covered_by(&self, longest: TermPosition) -> bool {
        self.current || self.proved.is_some_and(|proved| longest >= proved)
    }
}

/// A node's registration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Distinguishes processes that ran under the same name.
    #[serde(rename = "process")]
    pub incarnation: u64,
    /// Clusters whose primary the node cannot use.
    #[serde(rename = "complaints")]
    pub suspected_clusters: BTreeSet<String>,
    /// Revision of the newest announcement of failovers that the node acts on.
    #[serde(default, rename = "seen")]
    pub acknowledged: u64,
    /// Ends of the logs of the clusters in that announcement. The node has reported no commits
    /// beyond them as successful.
    #[serde(default)]
    pub log_ends: BTreeMap<String, LogEndRecord>,
    /// Address for forwarded requests.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Address at which other nodes can follow the store's changes.
    #[serde(default)]
    pub relay_address: Option<SocketAddr>,
    #[serde(default)]
    pub data_centre: String,
    /// The node is shutting down and takes no more requests of other nodes.
    #[serde(default)]
    pub leaving: bool,
    /// Processor share of the node's VM, in thousandths of a core.
    #[serde(default)]
    pub capacity: u32,
    /// Era of the store in which the registration was written.
    #[serde(default, skip_serializing_if = "is_first_era")]
    pub era: u64,
    /// Databases that may hold commits of a cluster, as the node knew them when this era began; only
    /// while it knows no record of this era.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub former_log_holders: BTreeMap<String, BTreeSet<String>>,
    /// Version of the protocol between nodes that it accepts, see [`crate::PEER_PROTOCOL`].
    #[serde(default)]
    pub peer_protocol: u32,
}

/// The registered nodes.
#[derive(Debug)]
pub(crate) struct NodeRegistry {
    own: Name,
    /// Nodes that may hold a read lease.
    owners: FastMap<Name, NodeRecord>,
    standbys: FastMap<Name, NodeRecord>,
    /// When an owner was last seen to leave; it may still hold a read lease.
    last_departure: Option<Micros>,
    /// Owners that left without a shutdown and have not registered again: one name for each VM that
    /// was lost for good while this process ran.
    unaccounted: FastSet<Name>,
    /// Last records of nodes that left, and when they left. Such a node may still run, because a
    /// lease can end early.
    former_nodes: FastMap<Name, (Micros, NodeRecord)>,
    /// Processes that were registered as owners when an era of the store began, by node.
    former_owners: FastMap<Name, u64>,
}

impl NodeRegistry {
    /// Creates a registry that knows only this node.
    pub fn new(own: Name) -> Self {
        NodeRegistry {
            own,
            owners: FastMap::default(),
            standbys: FastMap::default(),
            last_departure: None,
            unaccounted: FastSet::default(),
            former_nodes: FastMap::default(),
            former_owners: FastMap::default(),
        }
    }

    /// Adds or replaces a registration. One that a restored store has from a former era does not
    /// account for an owner that has left since.
    pub fn set(&mut self, now: Micros, role: NodeRole, node: Name, record: NodeRecord, era: u64) {
        let owner = self.owners.get(&node);
        let replaced = owner.is_some_and(|known| known.incarnation != record.incarnation);
        // The former process of a node that registers again has ended.
        let returned = record.era == era && self.unaccounted.remove(&node);
        if returned || replaced {
            self.last_departure = Some(now);
        }
        self.former_nodes.remove(&node);
        match role {
            NodeRole::Owner => {
                self.standbys.remove(&node);
                self.owners.insert(node, record);
            }
            NodeRole::Standby => {
                self.standbys.insert(node, record);
            }
        }
    }

    /// Returns true if an owner has left that may still run, cut off from the store, and acknowledge
    /// commits.
    pub fn has_unaccounted_owners(&self) -> bool {
        !self.unaccounted.is_empty()
    }

    /// Removes a registration.
    pub fn remove(&mut self, now: Micros, role: NodeRole, node: &Name) {
        match role {
            NodeRole::Owner => {
                if let Some(record) = self.owners.remove(node) {
                    self.last_departure = Some(now);
                    if !record.leaving && !self.standbys.contains_key(node) {
                        self.unaccounted.insert(node.clone());
                    }
                    self.former_nodes.insert(node.clone(), (now, record));
                }
            }
            NodeRole::Standby => {
                if let Some(record) = self.standbys.remove(node) {
                    self.former_nodes.insert(node.clone(), (now, record));
                }
            }
        }
        self.former_nodes.retain(|_, (left, _)| now < *left + FORMER_NODE_TTL);
    }

    /// Removes the registrations that are not in the list.
    pub fn retain(&mut self, now: Micros, listed: &FastSet<(NodeRole, Name)>) {
        let owners = self.owners.keys().map(|name| (NodeRole::Owner, name.clone()));
        let standbys = self.standbys.keys().map(|name| (NodeRole::Standby, name.clone()));
        let gone: Vec<_> = owners.chain(standbys).filter(|node| !listed.contains(node)).collect();
        for (role, node) in gone {
            self.remove(now, role, &node);
        }
    }

    /// Remembers the other owners at the beginning of an era, before its first list. Those of earlier
    /// eras stay, as they may not have told what they knew.
    pub(crate) fn record_former_owners(&mut self) {
        let others = self.owners.iter().filter(|(name, _)| **name != self.own);
        let others = others.map(|(name, record)| (name.clone(), record.incarnation));
        self.former_owners.extend(others);
    }

    /// Returns true if each process that was an owner when the era began has registered in it, and
    /// thereby told the log holders that it knew.
    pub(crate) fn have_former_owners_told(&self, era: u64) -> bool {
        self.former_owners.iter().all(|(name, incarnation)| {
            let mut records = self.owners.get(name).into_iter().chain(self.standbys.get(name));
            records.any(|record| record.era == era && record.incarnation == *incarnation)
        })
    }

    /// Returns the log holders of a cluster that the nodes knew before the era.
    pub(crate) fn told_former_holders(
        &self,
        cluster: &Name,
        era: u64,
    ) -> impl Iterator<Item = Name> {
        let records = self.owners.values().chain(self.standbys.values());
        let records = records.filter(move |record| record.era == era);
        let told = records.filter_map(|record| record.former_log_holders.get(cluster.as_str()));
        told.flatten().map(|name| Name::from(name.as_str()))
    }

    /// Records that owners may have left without a trace in the store.
    pub(crate) fn record_unseen_departure(&mut self, now: Micros) {
        self.last_departure = Some(now);
    }

    /// Returns when an owner last left.
    pub fn last_departure(&self) -> Option<Micros> {
        self.last_departure
    }

    /// Returns the number of nodes, including this one.
    pub fn node_count(&self) -> u32 {
        let others = self.others().count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns the other nodes.
    pub fn others(&self) -> impl Iterator<Item = (&Name, &NodeRecord)> {
        let standbys = self.standbys.iter().filter(|(name, _)| !self.owners.contains_key(*name));
        self.owners.iter().chain(standbys).filter(|(name, _)| **name != self.own)
    }

    /// Returns true if a node is registered as a standby, which holds no read lease.
    pub fn is_standby(&self, node: &Name) -> bool {
        self.standbys.contains_key(node) && !self.owners.contains_key(node)
    }

    /// Returns a node's last record, including that of a node that left recently.
    pub fn last_known(&self, node: &Name) -> Option<&NodeRecord> {
        self.get(node).or_else(|| self.former_nodes.get(node).map(|(_, record)| record))
    }

    /// Returns a node's record.
    pub fn get(&self, node: &Name) -> Option<&NodeRecord> {
        self.owners.get(node).or_else(|| self.standbys.get(node))
    }

    /// Returns the data centre and capacity of each node that is not leaving; those of this node
    /// are passed in.
    pub(crate) fn members(
        &self,
        centre: &Name,
        capacity: u32,
        leaving: bool,
    ) -> BTreeMap<Name, (Name, u32)> {
        let others = self.others().filter(|(_, node)| !node.leaving);
        let mut members: BTreeMap<Name, (Name, u32)> = others
            .map(|(name, node)| {
                (name.clone(), (Name::from(node.data_centre.as_str()), node.capacity))
            })
            .collect();
        if !leaving {
            members.insert(self.own.clone(), (centre.clone(), capacity));
        }
        members
    }

    /// Returns true if a node has acknowledged an announcement.
    pub fn has_acknowledged(&self, node: &Name, announced: u64) -> bool {
        self.owners.get(node).is_some_and(|record| record.acknowledged >= announced)
    }

    /// Returns the longest end of a cluster's log that other nodes have told with their
    /// acknowledgement of an announcement, and the node that told it.
    pub(crate) fn longest_log_end(
        &self,
        cluster: &Name,
        announced: u64,
    ) -> Option<(TermPosition, &Name)> {
        let nodes = self.owners.iter().filter(|(name, _)| **name != self.own);
        nodes
            .filter(|(_, record)| record.acknowledged >= announced)
            .filter_map(|(name, record)| {
                let end = record.log_ends.get(cluster.as_str())?;
                Some((end.end, name))
            })
            .max()
    }

    /// Returns the ends of a cluster's log that the other owners have told with their
    /// acknowledgement of an announcement; `None` for a node that told none, such as one of a
    /// former version.
    pub(crate) fn told_log_ends(
        &self,
        cluster: &Name,
        announced: u64,
    ) -> impl Iterator<Item = Option<LogEndRecord>> {
        let others = self.owners.iter().filter(|(name, _)| **name != self.own);
        others
            .filter(move |(_, record)| record.acknowledged >= announced)
            .map(|(_, record)| record.log_ends.get(cluster.as_str()).copied())
    }

    /// Returns the nodes that suspect a cluster's primary, in the order in which they should act.
    pub fn suspecting_nodes(&self, cluster: &Name) -> Vec<Name> {
        let mut nodes: Vec<Name> = self
            .owners
            .iter()
            .filter(|(_, record)| record.suspected_clusters.contains(cluster.as_str()))
            .map(|(name, _)| name.clone())
            .collect();
        nodes.sort_by_key(|name| Reverse(owner_score(cluster, name)));
        nodes
    }

    /// Returns the index of this node's choice among `choices` alternatives; the owners are spread
    /// evenly over them.
    pub fn choice_index(&self, choices: usize) -> usize {
        let before = self.owners.keys().filter(|name| **name < self.own).count();
        before.checked_rem(choices).unwrap_or_default()
    }
}
