//! Choice of the nodes that keep connections to a cluster's databases.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use gate::{OwnerInput, OwnerTable};
use model::Name;
use proptest::prelude::*;

/// Processor shares in the users' large deployments, in thousandths of a core.
const CAPACITIES: [u32; 2] = [120, 500];

fn input(centres: usize, nodes: usize, clusters: usize, connections: u32) -> OwnerInput {
    let nodes = (0..nodes).map(|index| {
        let centre = Name::from(format!("dc{}", index % centres));
        let capacity = CAPACITIES[usize::from(index / centres < 2)];
        (Name::from(format!("vm-{index}")), (centre, capacity))
    });
    let clusters = (0..clusters).map(|index| (Name::from(format!("db-{index}")), connections));
    OwnerInput { nodes: nodes.collect(), clusters: clusters.collect(), ..OwnerInput::default() }
}

fn choose(input: &OwnerInput) -> BTreeMap<Name, Vec<Name>> {
    let mut table = OwnerTable::default();
    table.update(input.clone());
    let clusters = input.clusters.keys();
    clusters.map(|name| (name.clone(), table.owners_of(name).unwrap().to_vec())).collect()
}

#[test]
fn every_node_of_a_small_deployment_is_an_owner() {
    let mut table = OwnerTable::default();
    assert!(table.update(input(4, 9, 3, 16)));
    assert_eq!(table.owners_of(&"db-0".into()), None);
    assert!(!table.update(input(4, 9, 3, 16)), "the same nodes need no new choice");
}

/// The users' large deployment: 77 nodes, and eight clusters of databases that accept 181
/// connections.
#[test]
fn nodes_with_most_capacity_share_the_clusters() {
    let input = input(5, 77, 8, 181);
    let mut served = BTreeMap::<Name, usize>::new();
    for owners in choose(&input).values() {
        let mut centres: Vec<_> = owners.iter().map(|node| &input.nodes[node].0).collect();
        centres.sort();
        centres.dedup();
        assert_eq!((owners.len(), centres.len()), (5, 5), "{owners:?}");
        for node in owners {
            assert_eq!(input.nodes[node].1, CAPACITIES[1], "{node} has little capacity");
            *served.entry(node.clone()).or_default() += 1;
        }
    }
    assert!(served.values().all(|clusters| *clusters == 4), "{served:?}");
}

/// The users' largest deployment: 195 nodes in six data centres, three of half a core in each, and
/// 20 clusters. An owner in another data centre than the primary adds a round trip between data
/// centres to every statement.
#[test]
fn requests_go_to_the_data_centre_of_the_primary() {
    let mut input = input(6, 195, 20, 58);
    let nodes = input.nodes.values_mut().enumerate();
    nodes.for_each(|(index, node)| node.1 = CAPACITIES[usize::from(index < 18)]);
    for (index, cluster) in input.clusters.keys().enumerate() {
        input.primary_centres.insert(cluster.clone(), format!("dc{}", index % 3).into());
    }
    for (cluster, owners) in choose(&input) {
        assert_eq!(input.nodes[&owners[0]].0, input.primary_centres[&cluster], "{cluster}");
        assert_eq!(owners.len(), 6, "each data centre has an owner");
    }
}

/// All primaries can be in one data centre. A VM with an eighth of a core cannot carry as many
/// clusters as one with half a core.
#[test]
fn clusters_are_shared_in_proportion_to_capacity() {
    let mut input = input(1, 24, 20, 58);
    for (index, node) in input.nodes.values_mut().enumerate() {
        node.1 = if index == 0 { 500 } else { 120 };
    }
    let mut served = BTreeMap::<Name, usize>::new();
    for owner in choose(&input).into_values().flatten() {
        *served.entry(owner).or_default() += 1;
    }
    let strongest = input.nodes.iter().find(|(_, node)| node.1 == 500).unwrap().0;
    let others = served.iter().filter(|(node, _)| *node != strongest).map(|(_, count)| *count);
    let most_of_others = others.max().unwrap();
    assert!(served[strongest] >= 3 * most_of_others, "{served:?}");
}

/// Only one data centre's requests move when a primary changes.
#[test]
fn the_owners_of_other_clusters_stay_when_a_primary_changes() {
    let mut input = input(6, 195, 20, 58);
    for cluster in input.clusters.keys() {
        input.primary_centres.insert(cluster.clone(), "dc0".into());
    }
    let before = choose(&input);
    let moved = Name::from("db-7");
    input.primary_centres.insert(moved.clone(), "dc1".into());
    let after = choose(&input);
    for (cluster, owners) in before {
        let (mut old, mut new) = (owners, after[&cluster].clone());
        if cluster != moved {
            assert_eq!(old[0], new[0], "{cluster}");
        }
        old.sort();
        new.sort();
        assert_eq!(old, new, "{cluster}");
    }
}

#[test]
fn small_connection_limits_have_few_owners() {
    let owners = choose(&input(4, 71, 8, 16));
    assert!(owners.values().all(|owners| owners.len() == 2), "{owners:?}");
}

proptest! {
    /// When a node leaves that owns nothing, all clusters keep their owners. Each cluster always
    /// has at least one.
    #[test]
    fn owners_stay_when_a_node_without_clusters_leaves(
        centres in 1_usize..8,
        nodes in 24_usize..80,
        clusters in 1_usize..20,
        gone in 0_usize..80,
    ) {
        let before = input(centres, nodes, clusters, 100);
        let owners = choose(&before);
        prop_assert!(owners.values().all(|owners| !owners.is_empty()));
        let gone = Name::from(format!("vm-{}", gone % nodes));
        let mut after = before.clone();
        after.nodes.remove(&gone);
        if owners.values().all(|owners| !owners.contains(&gone)) {
            prop_assert_eq!(choose(&after), owners);
        } else {
            let kept = choose(&after);
            prop_assert!(kept.values().all(|owners| !owners.is_empty() && !owners.contains(&gone)));
        }
    }
}
