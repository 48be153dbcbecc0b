//! Nodes of the system and which clusters they find without a working primary.
//!
//! Each node registers itself in the store. The registration tells how many nodes share the databases'
//! connections, and carries the node's complaints, so that one node's own trouble does not move a primary
//! that the others reach.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use model::{FastMap, Micros, Name};
use serde::{Deserialize, Serialize};

/// A node's registration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Distinguishes processes that ran under the same name.
    pub process: u64,
    /// Clusters whose primary the node cannot use.
    pub complaints: BTreeSet<String>,
    /// Revision of the newest announcement of changes that the node acts on.
    #[serde(default)]
    pub seen: u64,
    /// Where the node takes forwarded requests.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    #[serde(default)]
    pub data_centre: String,
}

/// The registered nodes.
#[derive(Debug)]
pub struct NodeRoster {
    own: Name,
    nodes: FastMap<Name, NodeRecord>,
    /// When nodes were last seen to leave; they may still hold a permit.
    departed: Option<Micros>,
}

impl NodeRoster {
    /// Creates a roster that knows only this node.
    pub fn new(own: Name) -> Self {
        NodeRoster { own, nodes: FastMap::default(), departed: None }
    }

    /// Takes in a registration; one that cannot be read counts as one without complaints.
    pub fn set(&mut self, node: Name, bytes: &[u8]) {
        self.nodes.insert(node, serde_json::from_slice(bytes).unwrap_or_default());
    }

    /// Removes a node.
    pub fn remove(&mut self, now: Micros, node: &Name) {
        if self.nodes.remove(node).is_some() {
            self.departed = Some(now);
        }
    }

    /// Removes the nodes that a list does not name.
    pub fn retain(&mut self, now: Micros, listed: &[Name]) {
        let before = self.nodes.len();
        self.nodes.retain(|name, _| listed.contains(name));
        if self.nodes.len() < before {
            self.departed = Some(now);
        }
    }

    /// Returns when a node last left.
    pub fn departed(&self) -> Option<Micros> {
        self.departed
    }

    /// Returns the number of nodes, this one included.
    pub fn live(&self) -> u32 {
        let others = self.nodes.keys().filter(|name| **name != self.own).count();
        u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Returns the other nodes.
    pub fn others(&self) -> impl Iterator<Item = (&Name, &NodeRecord)> {
        self.nodes.iter().filter(|(name, _)| **name != self.own)
    }

    /// Returns a node's record.
    pub fn get(&self, node: &Name) -> Option<&NodeRecord> {
        self.nodes.get(node)
    }

    /// Tells whether a node has acknowledged an announcement.
    pub fn has_seen(&self, node: &Name, announced: u64) -> bool {
        self.nodes.get(node).is_some_and(|record| record.seen >= announced)
    }

    /// Returns the nodes that complain about a cluster, in the order in which they should act.
    pub fn complaining(&self, cluster: &Name) -> Vec<Name> {
        let mut nodes: Vec<Name> = self
            .nodes
            .iter()
            .filter(|(_, record)| record.complaints.contains(cluster.as_str()))
            .map(|(name, _)| name.clone())
            .collect();
        nodes.sort_by_key(|name| order_key(cluster, name));
        nodes
    }

    /// Spreads the nodes evenly over a number of choices.
    pub fn turn(&self, choices: usize) -> usize {
        let before = self.nodes.keys().filter(|name| **name < self.own).count();
        before.checked_rem(choices).unwrap_or_default()
    }

    /// Returns this node's place among all nodes for work on a cluster.
    pub fn place(&self, cluster: &Name) -> u64 {
        self.place_of(cluster, &self.own)
    }

    /// Returns a node's place among all nodes for work on a cluster.
    pub fn place_of(&self, cluster: &Name, node: &Name) -> u64 {
        let own = order_key(cluster, node);
        let before = self.nodes.keys().filter(|name| order_key(cluster, name) < own).count();
        u64::try_from(before).unwrap_or(u64::MAX)
    }
}

/// Spreads the clusters' work over the nodes (FNV-1a).
fn order_key(cluster: &Name, node: &Name) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = cluster.bytes().chain([0]).chain(node.bytes());
    bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Complaints that the node last published, and when.
#[derive(Debug, Default)]
pub(crate) struct PublishedRecord {
    pub(crate) record: Option<NodeRecord>,
    pub(crate) at: Micros,
}
