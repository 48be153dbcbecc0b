//! Which nodes keep connections to a cluster's databases.
//!
//! While there are few nodes, each does. Beyond that a database has fewer connections than there are nodes, and
//! many nodes with a request each would overrun its queue, so one node in each data centre owns connections of a
//! cluster. All requests go to the first owner that can be reached: it sees the whole load, so it can keep the
//! database's own queue short and serve the ranks in order. Every node computes the same owners from the
//! registrations. The strongest nodes of a data centre share the clusters evenly.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use member::owner_score;
use model::{FastMap, Name};

use crate::{Gate, fields};

/// Up to this many nodes each owns connections: the smallest limit of a database's connections that is known.
pub const FEW_NODES: usize = 16;

/// Owners of one cluster at least, so that the loss of one leaves a choice.
const MIN_OWNERS: usize = 3;

/// Clusters for each owning node of a data centre. More would put too much of the traffic on a VM of an eighth
/// of a core, fewer would keep more permits renewed.
const CLUSTERS_PER_NODE: usize = 4;

/// Connections that an owner needs for one database to run transactions beside other requests.
const MIN_OWNER_CONNECTIONS: u32 = 3;

/// What the choice of owners depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerInput {
    /// Data centre and capacity of each node.
    pub nodes: BTreeMap<Name, (Name, u32)>,
    /// Connections that each cluster's databases take.
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
/// assert_eq!(table.of(&"billing".into()).map(<[_]>::len), Some(3));
/// ```
#[derive(Debug, Default)]
pub struct OwnerTable {
    input: OwnerInput,
    /// Owners by cluster; empty if every node is one.
    owners: FastMap<Name, Vec<Name>>,
}

impl OwnerTable {
    /// Chooses the owners anew if what they depend on has changed; tells whether it has.
    pub fn update(&mut self, input: OwnerInput) -> bool {
        if input == self.input {
            return false;
        }
        self.owners = choose_owners(&input);
        self.input = input;
        true
    }

    /// Leaves the clusters without owners, as long as nothing else was chosen.
    pub fn await_nodes(&mut self, clusters: impl Iterator<Item = Name>) {
        if self.input == OwnerInput::default() {
            self.owners.extend(clusters.map(|cluster| (cluster, Vec::new())));
        }
    }

    /// Returns the owners of a cluster in the order in which requests go to them, or `None` if every node is
    /// one and serves its own clients.
    pub fn of(&self, cluster: &Name) -> Option<&[Name]> {
        self.owners.get(cluster).map(Vec::as_slice)
    }

    /// Returns a node's place among the owners of a cluster.
    pub fn place(&self, cluster: &Name, node: &Name) -> Option<usize> {
        let owners = self.of(cluster);
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
    if input.nodes.len() <= FEW_NODES {
        return owners;
    }
    let mut centres = BTreeMap::<&Name, Vec<(&Name, u32)>>::new();
    for (node, (centre, capacity)) in &input.nodes {
        centres.entry(centre).or_default().push((node, *capacity));
    }
    let each = MIN_OWNERS.div_ceil(centres.len());
    for nodes in centres.values_mut() {
        nodes.sort_by_key(|(node, capacity)| (Reverse(*capacity), owner_score("owners", node)));
        let wanted = (input.clusters.len() * each).div_ceil(CLUSTERS_PER_NODE);
        nodes.truncate(wanted.max(each));
        for (cluster, owner) in assign_clusters(nodes, input.clusters.keys(), each) {
            owners.entry(cluster.clone()).or_default().push(owner.clone());
        }
    }
    let mut first = BTreeMap::<Name, usize>::new();
    for cluster in input.clusters.keys() {
        let Some(chosen) = owners.get_mut(cluster) else { continue };
        chosen.sort_by_key(|node| {
            (first.get(node).copied().unwrap_or_default(), Reverse(owner_score(cluster, node)))
        });
        if let Some(node) = chosen.first() {
            *first.entry(node.clone()).or_default() += 1;
        }
        let connections = input.clusters.get(cluster).copied().unwrap_or_default();
        let most = usize::try_from(connections / 2 / MIN_OWNER_CONNECTIONS).unwrap_or(usize::MAX);
        chosen.truncate(most.max(1));
    }
    owners
}

/// Gives each cluster its best scored nodes among those that have not had their share yet, so that a change
/// of one node moves little else.
fn assign_clusters<'a>(
    nodes: &[(&'a Name, u32)],
    clusters: impl ExactSizeIterator<Item = &'a Name>,
    each: usize,
) -> Vec<(&'a Name, &'a Name)> {
    let share = (clusters.len() * each).div_ceil(nodes.len().max(1));
    let mut taken = BTreeMap::<&Name, usize>::new();
    let mut chosen = Vec::new();
    for cluster in clusters {
        let mut owners = BTreeSet::new();
        for _ in 0..each {
            let free = nodes.iter().map(|(node, _)| *node).filter(|node| {
                !owners.contains(node) && taken.get(node).copied().unwrap_or_default() < share
            });
            let Some(best) = free.max_by_key(|node| owner_score(cluster, node)) else { break };
            owners.insert(best);
            *taken.entry(best).or_default() += 1;
            chosen.push((cluster, best));
        }
    }
    chosen
}

impl Gate {
    /// Chooses the owners of connections anew if the nodes or the clusters have changed.
    pub(crate) fn update_owners(&mut self) {
        if self.registration.listed.is_none() || self.awaits_nodes() {
            return self.owners.await_nodes(self.table.clusters.keys().cloned());
        }
        let (centre, capacity) = (&self.settings.data_centre, self.settings.capacity);
        let leaving = self.drain.since.is_some();
        let nodes = self.registry.members(centre, capacity, leaving);
        let clusters = self.table.clusters.iter();
        let clusters = clusters.map(|(name, limits)| (name.clone(), limits.connections)).collect();
        if !self.owners.update(OwnerInput { nodes, clusters }) {
            return;
        }
        let all: Vec<Name> = self.table.clusters.keys().cloned().collect();
        let owned = all.iter().filter(|cluster| self.owns_connections(cluster)).count();
        let record = fields![
            "nodes" => u64::from(self.registry.live()),
            "clusters" => u64::try_from(all.len()).unwrap_or(u64::MAX),
            "owned" => u64::try_from(owned).unwrap_or(u64::MAX)
        ];
        self.log("owners_chosen", record);
    }

    /// Tells whether this node keeps connections to a cluster's databases.
    pub(crate) fn owns_connections(&self, cluster: &Name) -> bool {
        self.is_owner(cluster, &self.settings.node)
    }

    fn is_owner(&self, cluster: &Name, node: &Name) -> bool {
        self.owners.of(cluster).is_none_or(|owners| owners.contains(node))
    }

    /// Returns among how many nodes the connections to a cluster's databases are shared. The first owner has the
    /// share of all nodes that forward to it.
    pub(crate) fn sharing_node_count(&self, cluster: &Name) -> u32 {
        let first = self.owners.of(cluster).and_then(<[Name]>::first);
        if first == Some(&self.settings.node) { 1 } else { self.owner_count(cluster) }
    }

    /// Returns how many nodes keep connections to a cluster's databases.
    pub(crate) fn owner_count(&self, cluster: &Name) -> u32 {
        let owners = self.owners.of(cluster).map(<[Name]>::len);
        owners.map_or(self.registry.live(), |count| u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Returns this node's place among the owners of a cluster, for work that one of them does.
    pub(crate) fn owner_position(&self, cluster: &Name) -> u64 {
        let place = self.owners.place(cluster, &self.settings.node);
        place.map_or(u64::from(self.registry.live()), |place| place as u64)
    }
}
