//! Owners: the nodes that keep connections to a cluster's databases.
//!
//! In a small deployment every node is an owner. In a larger one a database accepts fewer
//! connections than there are nodes, and one request from each of many nodes would overrun its
//! queue. So one node in each data centre owns connections of a cluster, and all requests go to the
//! first owner that can be reached. That owner sees the whole load, so it can keep the database's
//! own queue short and serve the ranks in order.
//!
//! Every node computes the same owners from the registrations. In each data centre, the nodes with
//! the most capacity share the clusters evenly.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use member::owner_score;
use model::{FastMap, Name};

use crate::{Gate, fields};

/// Up to this number of nodes, every node owns connections. It is the smallest known connection
/// limit of a database.
pub const SMALL_DEPLOYMENT_MAX_NODES: usize = 16;

/// Minimum number of owners of a cluster, so that more than one remains when one is lost. There are
/// fewer if its databases accept too few connections.
const MIN_OWNERS: usize = 3;

/// Clusters per owning node of a data centre. More would put too much of the traffic on a VM with
/// an eighth of a core; fewer would require more read leases to be renewed.
const CLUSTERS_PER_NODE: usize = 4;

/// Connections that an owner needs to one database to run transactions beside other requests.
const MIN_OWNER_CONNECTIONS: u32 = 3;

/// The input of the choice of owners.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerInput {
    /// Data centre and capacity of each node.
    pub nodes: BTreeMap<Name, (Name, u32)>,
    /// Connections that each cluster's databases accept.
    pub clusters: BTreeMap<Name, u32>,
}

/// The owners of all clusters.
///
/// ```
/// use gate::{OwnerInput, OwnerTable};
///
/// let nodes = (0..30).map(|index| (format!("vm-{index}").into(), ("dc1".into(), 250)));
/// let clusters = [("billing".into(), 46)];
/// let input = OwnerInput { nodes: nodes.collect(), clusters: clusters.into() };
/// let mut table = OwnerTable::default();
/// assert!(table.update(input));
/// assert_eq!(table.owners_of(&"billing".into()).map(<[_]>::len), Some(3));
/// ```
#[derive(Debug, Default)]
pub struct OwnerTable {
    input: OwnerInput,
    /// Owners by cluster; empty if every node is an owner.
    owners: FastMap<Name, Vec<Name>>,
}

impl OwnerTable {
    /// Chooses the owners again if the input has changed; returns true if it has.
    pub fn update(&mut self, input: OwnerInput) -> bool {
        if input == self.input {
            return false;
        }
        self.owners = choose_owners(&input);
        self.input = input;
        true
    }

    /// Leaves the clusters without owners if no choice has been made yet.
    pub fn leave_unowned(&mut self, clusters: impl Iterator<Item = Name>) {
        if self.input == OwnerInput::default() {
            self.owners.extend(clusters.map(|cluster| (cluster, Vec::new())));
        }
    }

    /// Returns the owners of a cluster in the order in which requests go to them, or `None` if
    /// every node is an owner and serves its own clients.
    pub fn owners_of(&self, cluster: &Name) -> Option<&[Name]> {
        self.owners.get(cluster).map(Vec::as_slice)
    }

    /// Returns a node's position among the owners of a cluster.
    pub fn position(&self, cluster: &Name, node: &Name) -> Option<usize> {
        let owners = self.owners_of(cluster);
        match owners {
            Some(owners) => owners.iter().position(|owner| owner == node),
            None => {
                let score = owner_score(cluster, node);
                let nodes = self.input.nodes.keys().filter(|other| *other != node);
                Some(nodes.filter(|other| owner_score(cluster, other) > score).count())
            }
        }
    }
}

fn choose_owners(input: &OwnerInput) -> FastMap<Name, Vec<Name>> {
    let mut owners = FastMap::<Name, Vec<Name>>::default();
    if input.nodes.len() <= SMALL_DEPLOYMENT_MAX_NODES {
        return owners;
    }
    let mut centres = BTreeMap::<&Name, Vec<(&Name, u32)>>::new();
    for (node, (centre, capacity)) in &input.nodes {
        centres.entry(centre).or_default().push((node, *capacity));
    }
    let owners_per_centre = MIN_OWNERS.div_ceil(centres.len());
    for nodes in centres.values_mut() {
        nodes.sort_by_key(|(node, capacity)| (Reverse(*capacity), owner_score("owners", node)));
        let wanted = (input.clusters.len() * owners_per_centre).div_ceil(CLUSTERS_PER_NODE);
        nodes.truncate(wanted.max(owners_per_centre));
        for (cluster, owner) in assign_clusters(nodes, input.clusters.keys(), owners_per_centre) {
            owners.entry(cluster.clone()).or_default().push(owner.clone());
        }
    }
    let mut first_owner_counts = BTreeMap::<Name, usize>::new();
    for cluster in input.clusters.keys() {
        let Some(chosen) = owners.get_mut(cluster) else { continue };
        chosen.sort_by_key(|node| {
            (
                first_owner_counts.get(node).copied().unwrap_or_default(),
                Reverse(owner_score(cluster, node)),
            )
        });
        if let Some(node) = chosen.first() {
            *first_owner_counts.entry(node.clone()).or_default() += 1;
        }
        let connections = input.clusters.get(cluster).copied().unwrap_or_default();
        let limit = usize::try_from(connections / 2 / MIN_OWNER_CONNECTIONS).unwrap_or(usize::MAX);
        chosen.truncate(limit.max(1));
    }
    owners
}

/// Assigns each cluster its best-scored nodes among those below their share, so that a change of
/// one node moves few other clusters.
fn assign_clusters<'a>(
    nodes: &[(&'a Name, u32)],
    clusters: impl ExactSizeIterator<Item = &'a Name>,
    owners_per_cluster: usize,
) -> Vec<(&'a Name, &'a Name)> {
    let share = (clusters.len() * owners_per_cluster).div_ceil(nodes.len().max(1));
    let mut assigned = BTreeMap::<&Name, usize>::new();
    let mut chosen = Vec::new();
    for cluster in clusters {
        let mut owners = BTreeSet::new();
        for _ in 0..owners_per_cluster {
            let available = nodes.iter().map(|(node, _)| *node).filter(|node| {
                !owners.contains(node) && assigned.get(node).copied().unwrap_or_default() < share
            });
            let Some(best) = available.max_by_key(|node| owner_score(cluster, node)) else { break };
            owners.insert(best);
            *assigned.entry(best).or_default() += 1;
            chosen.push((cluster, best));
        }
    }
    chosen
}

impl Gate {
    /// Chooses the owners again if the nodes or the clusters have changed.
    pub(crate) fn update_owners(&mut self) {
        if self.registration.listed.is_none() || self.awaits_nodes() {
            return self.owners.leave_unowned(self.table.clusters.keys().cloned());
        }
        let (centre, capacity) = (&self.settings.data_centre, self.settings.capacity);
        let leaving = self.drain.since.is_some();
        let nodes = self.registry.members(centre, capacity, leaving);
        let clusters = self.table.clusters.iter();
        let clusters =
            clusters.map(|(name, limits)| (name.clone(), limits.max_connections)).collect();
        if !self.owners.update(OwnerInput { nodes, clusters }) {
            return;
        }
        let all: Vec<Name> = self.table.clusters.keys().cloned().collect();
        let owned = all.iter().filter(|cluster| self.owns_connections(cluster)).count();
        let record = fields![
            "nodes" => u64::from(self.registry.node_count()),
            "clusters" => u64::try_from(all.len()).unwrap_or(u64::MAX),
            "owned" => u64::try_from(owned).unwrap_or(u64::MAX)
        ];
        self.log("owners_chosen", record);
    }

    /// Returns true if this node keeps connections to the cluster's databases.
    pub(crate) fn owns_connections(&self, cluster: &Name) -> bool {
        self.is_owner(cluster, &self.settings.node)
    }

    fn is_owner(&self, cluster: &Name, node: &Name) -> bool {
        self.owners.owners_of(cluster).is_none_or(|owners| owners.contains(node))
    }

    /// Returns the number of nodes that share the connections to a cluster's databases: one at the
    /// first owner, which uses them on behalf of all nodes that forward to it.
    pub(crate) fn sharing_node_count(&self, cluster: &Name) -> u32 {
        let first = self.owners.owners_of(cluster).and_then(<[Name]>::first);
        if first == Some(&self.settings.node) { 1 } else { self.owner_count(cluster) }
    }

    /// Returns the number of nodes that keep connections to the cluster's databases.
    pub(crate) fn owner_count(&self, cluster: &Name) -> u32 {
        let owners = self.owners.owners_of(cluster).map(<[Name]>::len);
        owners.map_or(self.registry.node_count(), |count| u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Returns this node's position among the owners of a cluster, for tasks that only one of them
    /// does.
    pub(crate) fn owner_position(&self, cluster: &Name) -> u64 {
        let position = self.owners.position(cluster, &self.settings.node);
        position.map_or(u64::from(self.registry.node_count()), |position| position as u64)
    }
}
