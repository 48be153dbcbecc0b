//! Owners: the nodes that keep connections to a cluster's databases.
//!
//! In a small deployment every node is an owner. In a larger one a database accepts fewer
//! connections than there are nodes, and one request from each of many nodes would overrun its
//! queue. So one node in each data centre owns connections of a cluster, and all requests go to the
//! first owner that can be reached. That owner sees the whole load, so it can keep the database's
//! own queue short and serve the ranks in order. The first owner is the one in the data centre of
//! the primary, because the statements of a transaction each take a round trip from there.
//!
//! Every node computes the same owners from the registrations and the list of databases. In each
//! data centre, the nodes with the most capacity share the clusters in proportion to it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use member::owner_score;
use model::{DatabaseRole, FastMap, FastSet, Name};

use crate::{Gate, fields};

/// Up to this number of nodes, every node owns connections. It is the smallest known connection
/// limit of a database.
pub const SMALL_DEPLOYMENT_MAX_NODES: usize = 16;

/// Minimum number of owners of a cluster, so that more than one remains when one is lost. There are
/// fewer if its databases accept too few connections.
const MIN_OWNERS: usize = 3;

/// Capacity of the owners in a data centre per cluster, in thousandths of a core. All primaries may
/// be in one data centre, whose owners then carry the whole traffic. With more owners, more read
/// leases have to be renewed.
const CAPACITY_PER_CLUSTER: u32 = 70;

/// Maximum number of choices in a data centre. The second one leaves no node without a cluster for
/// up to 1,000 nodes and 166 clusters.
const MAX_CHOICE_ROUNDS: usize = 4;

/// Connections that an owner needs to one database to run transactions beside other requests.
const MIN_OWNER_CONNECTIONS: u32 = 3;

/// The input of the choice of owners.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerInput {
    /// Data centre and capacity of each node.
    pub nodes: BTreeMap<Name, (Name, u32)>,
    /// Connections that each cluster's databases accept.
    pub clusters: BTreeMap<Name, u32>,
    /// Data centre of each cluster's listed primary.
    pub primary_centres: BTreeMap<Name, Name>,
}

/// The owners of all clusters.
///
/// ```
/// use gate::{OwnerInput, OwnerTable};
///
/// let nodes = (0..30).map(|index| (format!("vm-{index}").into(), ("dc1".into(), 250)));
/// let clusters = [("billing".into(), 46)];
/// let input = OwnerInput {
///     nodes: nodes.collect(),
///     clusters: clusters.into(),
///     ..OwnerInput::default()
/// };
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

    /// Returns the nodes that own any cluster; `None` if all nodes own all clusters.
    pub(crate) fn owning_nodes(&self) -> Option<FastSet<&Name>> {
        (!self.owners.is_empty()).then(|| self.owners.values().flatten().collect())
    }

    fn primary_centre(&self, cluster: &Name) -> Option<&Name> {
        self.input.primary_centres.get(cluster)
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
        for (cluster, owner) in assign_in_centre(nodes, &input.clusters, owners_per_centre) {
            owners.entry(cluster.clone()).or_default().push(owner.clone());
        }
    }
    let mut first_owner_counts = BTreeMap::<Name, usize>::new();
    for cluster in input.clusters.keys() {
        let Some(chosen) = owners.get_mut(cluster) else { continue };
        let primary_centre = input.primary_centres.get(cluster);
        chosen.sort_by_key(|node| {
            let centre = input.nodes.get(node).map(|(centre, _)| centre);
            (
                primary_centre.is_some() && centre != primary_centre,
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

/// Returns how many clusters a node of a capacity owns, if its data centre has enough capacity.
fn owned_clusters(capacity: u32) -> usize {
    usize::try_from(capacity / CAPACITY_PER_CLUSTER).unwrap_or(usize::MAX).max(1)
}

/// Returns how many of the nodes, in their order, have the capacity for a number of assignments.
fn owners_of_centre(nodes: &[(&Name, u32)], assignments: usize) -> usize {
    let mut owned = 0_usize;
    let sufficient = nodes.iter().position(|(_, capacity)| {
        owned = owned.saturating_add(owned_clusters(*capacity));
        owned >= assignments
    });
    sufficient.map_or(nodes.len(), |last| last + 1)
}

/// Chooses the nodes of a data centre that own connections, and assigns the clusters to them. Nodes
/// that get no cluster are left out of the choice, so that nothing changes when one of them leaves.
fn assign_in_centre<'a>(
    nodes: &mut Vec<(&'a Name, u32)>,
    clusters: &'a BTreeMap<Name, u32>,
    owners_per_cluster: usize,
) -> Vec<(&'a Name, &'a Name)> {
    let mut assigned = Vec::new();
    for _ in 0..MAX_CHOICE_ROUNDS {
        let wanted = owners_of_centre(nodes, clusters.len() * owners_per_cluster);
        let chosen = &nodes[..wanted.max(owners_per_cluster).min(nodes.len())];
        assigned = assign_clusters(chosen, clusters.keys(), owners_per_cluster);
        let used: BTreeSet<&Name> = assigned.iter().map(|(_, owner)| *owner).collect();
        if used.is_empty() || used.len() == chosen.len() {
            break;
        }
        let unchosen = nodes.split_off(chosen.len());
        nodes.retain(|(node, _)| used.contains(node));
        nodes.extend(unchosen);
    }
    assigned
}

/// Assigns each cluster its best-scored nodes among those below their share, so that a change of
/// one node moves few other clusters.
fn assign_clusters<'a>(
    nodes: &[(&'a Name, u32)],
    clusters: impl ExactSizeIterator<Item = &'a Name>,
    owners_per_cluster: usize,
) -> Vec<(&'a Name, &'a Name)> {
    let assignments = clusters.len() * owners_per_cluster;
    let owned = nodes.iter().map(|(_, capacity)| owned_clusters(*capacity)).sum::<usize>();
    let share = |capacity| (assignments * owned_clusters(capacity)).div_ceil(owned.max(1));
    let mut assigned = BTreeMap::<&Name, usize>::new();
    let mut chosen = Vec::new();
    for cluster in clusters {
        let mut owners = BTreeSet::new();
        for _ in 0..owners_per_cluster {
            let available = nodes.iter().filter(|(node, capacity)| {
                let count = assigned.get(node).copied().unwrap_or_default();
                !owners.contains(node) && count < share(*capacity)
            });
            let available = available.map(|(node, _)| *node);
            let Some(best) = available.max_by_key(|node| owner_score(cluster, node)) else { break };
            owners.insert(best);
            *assigned.entry(best).or_default() += 1;
            chosen.push((cluster, best));
        }
    }
    chosen
}

impl Gate {
    /// Chooses the owners again if changes have been seen since the last choice.
    pub(crate) fn refresh_owners(&mut self) {
        if std::mem::take(&mut self.owners_outdated) {
            self.update_owners();
        }
    }

    /// Chooses the owners again if the nodes or the clusters have changed.
    pub(crate) fn update_owners(&mut self) {
        self.allotments.outdated = true;
        if self.registration.listed.is_none() || self.awaits_nodes() {
            return self.owners.leave_unowned(self.table.clusters.keys().cloned());
        }
        let (centre, capacity) = (&self.settings.data_centre, self.settings.capacity);
        let leaving = self.drain.since.is_some();
        let nodes = self.registry.members(centre, capacity, leaving);
        let clusters = self.table.clusters.iter();
        let clusters =
            clusters.map(|(name, limits)| (name.clone(), limits.max_connections)).collect();
        let primary_centres = self.primary_centres();
        if !self.owners.update(OwnerInput { nodes, clusters, primary_centres }) {
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

    /// Returns the data centre of each cluster's listed primary. While several databases claim to
    /// lead, or none, it is the last known one.
    fn primary_centres(&self) -> BTreeMap<Name, Name> {
        let mut centres = BTreeMap::new();
        for (cluster, state) in &self.clusters {
            let listed = state.members.iter().filter_map(|name| self.databases.get(name));
            let mut claiming = listed.map(|database| &database.listed).filter(|listed| {
                listed.claimed_role == Some(DatabaseRole::Primary) && !listed.leaving
            });
            let centre = match (claiming.next(), claiming.next()) {
                (Some(primary), None) => Some(&primary.data_centre),
                _ => self.owners.primary_centre(cluster),
            };
            if let Some(centre) = centre {
                centres.insert(cluster.clone(), centre.clone());
            }
        }
        centres
    }

    /// Returns true if this node keeps connections to the cluster's databases. An entry may name a
    /// cluster that is not configured; such a database is not used.
    pub(crate) fn owns_connections(&self, cluster: &Name) -> bool {
        let owners = self.owners.owners_of(cluster);
        self.table.clusters.contains_key(cluster)
            && owners.is_none_or(|owners| owners.contains(&self.settings.node))
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
