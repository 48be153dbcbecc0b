//! Large deployments whose registrations are lost or come back: which nodes connect to the
//! databases, and where requests go.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeSet;

use gate::*;
use model::Name;
use support::single_gate::{NodeEntry, SingleGate, listed, stored};
use support::{LATEST, millis};

const NODES: u16 = 30;

fn entry(index: u16) -> NodeEntry {
    NodeEntry::new(NodeRole::Standby, index, &format!("dc{}", index % 3), 500)
}

fn registration(index: u16) -> StoredDocument {
    entry(index).stored()
}

fn stored_node_count() -> StoredDocument {
    let record = NodeCountRecord { nodes: NODES.into() };
    stored(Document::NodeCount, serde_json::to_vec(&record).unwrap())
}

/// Starts `n0` with a list of three databases.
fn start(documents: Vec<StoredDocument>) -> SingleGate {
    let mut node = SingleGate::start("dc0", 500, documents);
    let databases = ["a", "b", "c"].map(|name| {
        let role = if name == "a" { DatabaseRole::Primary } else { DatabaseRole::Replica };
        listed(name, "dc1", role)
    });
    node.event(GateEvent::DatabasesListed(databases.into()));
    node
}

/// Returns the targets of the connections that were opened since the last call.
fn opened_targets(node: &mut SingleGate) -> BTreeSet<Name> {
    node.take_opened().into_iter().map(|(_, database)| database).collect()
}

/// Returns the entry of the node to which a new request is forwarded.
fn target(node: &mut SingleGate, number: u64) -> Option<Name> {
    node.read(number, LATEST);
    opened_targets(node).into_iter().find(|name| name.contains('/'))
}

/// All VMs lose power and start together. While a node has seen few others, it would own
/// connections to every database, and so would each of them, far more than the databases accept.
#[test]
fn nodes_that_start_together_wait_for_most_others() {
    let mut node = start(vec![stored_node_count()]);
    for index in 1..14 {
        node.event(GateEvent::DocumentChanged(registration(index)));
        node.run(millis(20));
    }
    assert_eq!(
        opened_targets(&mut node),
        BTreeSet::new(),
        "14 of 30 nodes are too few to choose owners"
    );
    for index in 14..NODES {
        node.event(GateEvent::DocumentChanged(registration(index)));
    }
    assert!(target(&mut node, 1).is_some(), "requests go to an owner");
}

/// Most nodes are gone for good. The remaining ones continue after a while.
#[test]
fn nodes_that_stay_away_delay_owner_choice_only_briefly() {
    let mut node = start(vec![stored_node_count()]);
    for index in 1..4 {
        node.event(GateEvent::DocumentChanged(registration(index)));
    }
    node.run(millis(2_900));
    assert_eq!(opened_targets(&mut node), BTreeSet::new());
    node.run(millis(200));
    assert!(opened_targets(&mut node).contains(&Name::from("a")), "four nodes all own connections");
}

/// The store is unavailable and all leases expire in it. The nodes are alive, and requests go where
/// they went before.
#[test]
fn expired_registrations_change_no_owner() {
    let mut documents: Vec<StoredDocument> = (1..NODES).map(registration).collect();
    documents.push(stored_node_count());
    let mut node = start(documents);
    let before = target(&mut node, 1).unwrap();
    node.run(millis(100));
    node.event(GateEvent::DocumentsListed { documents: vec![stored_node_count()], revision: 2 });
    node.run(millis(100));
    opened_targets(&mut node);
    let after = target(&mut node, 2).unwrap();
    assert_eq!(before, after);
}

/// Rolling restart. Requests leave an owner when it starts to shut down, and return when it has
/// connections again.
#[test]
fn a_restarting_owner_gets_no_requests() {
    let owner = |index: u16, leaving: bool| {
        let mut entry = entry(index);
        entry.role = NodeRole::Owner;
        (entry.record.leaving, entry.record.capacity) = (leaving, 1_000);
        entry
    };
    let mut node = start((1..NODES).map(|index| owner(index, false).stored()).collect());
    let first = target(&mut node, 1).unwrap();
    let index: u16 = first[1..].split('/').next().unwrap().parse().unwrap();
    node.event(GateEvent::DocumentChanged(owner(index, true).stored()));
    assert_ne!(target(&mut node, 2).unwrap(), first, "the owner is shutting down");
    node.event(GateEvent::DocumentRemoved { document: owner(index, true).document(), revision: 2 });
    let mut restarted = owner(index, false);
    restarted.role = NodeRole::Standby;
    node.event(GateEvent::DocumentChanged(restarted.stored()));
    assert_ne!(target(&mut node, 3), Some(first.clone()), "the owner has no connections yet");
    node.event(GateEvent::DocumentChanged(owner(index, false).stored()));
    assert_eq!(target(&mut node, 4), Some(first));
}

/// A request that waits for a connection to an unresponsive owner is sent to the next one in time.
#[test]
fn a_request_leaves_an_owner_that_accepts_no_connection() {
    let mut node = start((1..NODES).map(registration).collect());
    let first = target(&mut node, 1).unwrap();
    node.run(millis(560));
    let opened = opened_targets(&mut node);
    assert!(opened.iter().any(|name| *name != first), "{opened:?}");
}

/// A data centre is cut off. Its standbys notice it because the nodes of other data centres do not
/// answer.
#[test]
fn a_standby_cut_off_from_other_data_centres_is_not_ready() {
    // Every other node has more capacity than `n0`.
    let with_more_capacity = |index: u16| {
        let mut entry = entry(index);
        entry.record.capacity = 1_000;
        entry.stored()
    };
    let mut node = start((1..NODES).map(with_more_capacity).collect());
    node.event(GateEvent::StoreContactRenewed { sent: millis(0) });
    node.run(millis(40));
    assert_eq!(node.last_readiness(), Some(true), "reaches the store and owners");
    // Neither the first owner answers, nor the owner to which the request is then sent.
    target(&mut node, 1).unwrap();
    node.run(millis(1_000));
    assert_eq!(node.last_readiness(), Some(false));
}
