//! Large deployments whose registrations are gone or come back: who connects to the databases, and where requests go.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use gate::*;
use model::{Micros, Name};
use support::lone::{LoneGate, NodeEntry, stored};
use support::{CLUSTER, LATEST};

const NODES: u16 = 30;

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

fn entry(index: u16) -> NodeEntry {
    NodeEntry::new(NodeRole::Standby, index, &format!("dc{}", index % 3), 500)
}

fn registration(index: u16) -> StoredDocument {
    entry(index).stored()
}

fn fleet_count() -> StoredDocument {
    let record = FleetRecord { nodes: NODES.into() };
    stored(Document::Fleet, serde_json::to_vec(&record).unwrap())
}

/// Starts `n0`, which also sees three databases.
fn start(documents: Vec<StoredDocument>) -> LoneGate {
    let mut fleet = LoneGate::start("dc0", 500, documents);
    let databases = ["a", "b", "c"].map(|name| ListedDatabase {
        id: name.into(),
        cluster: CLUSTER.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        data_centre: "dc1".into(),
        slots: 4,
        leaving: false,
        claimed_role: Some(match name {
            "a" => DatabaseRole::Primary,
            _ => DatabaseRole::Replica,
        }),
    });
    fleet.event(GateEvent::DatabasesListed(databases.into()));
    fleet
}

/// Returns what connections were opened to since the last call.
fn opened(fleet: &mut LoneGate) -> BTreeSet<Name> {
    fleet.opened().into_iter().map(|(_, database)| database).collect()
}

/// Returns the node that a new request goes to.
fn target(fleet: &mut LoneGate, number: u64) -> Option<Name> {
    fleet.read(number, LATEST);
    opened(fleet).into_iter().find(|name| name.contains('/'))
}

/// Pattern: all VMs lose power and start together. Each of them would own connections to every database while it
/// has seen few others, far more than the databases take.
#[test]
fn nodes_that_start_together_wait_for_most_of_the_others() {
    let mut fleet = start(vec![fleet_count()]);
    for index in 1..14 {
        fleet.event(GateEvent::DocumentChanged(registration(index)));
        fleet.run(millis(20));
    }
    assert_eq!(opened(&mut fleet), BTreeSet::new(), "14 of 30 are no choice yet");
    for index in 14..NODES {
        fleet.event(GateEvent::DocumentChanged(registration(index)));
    }
    assert!(target(&mut fleet, 1).is_some(), "requests go to an owner");
}

/// Most of the nodes are gone for good: those that are left go on after a while.
#[test]
fn nodes_that_stay_away_are_not_waited_for() {
    let mut fleet = start(vec![fleet_count()]);
    for index in 1..4 {
        fleet.event(GateEvent::DocumentChanged(registration(index)));
    }
    fleet.run(millis(2_900));
    assert_eq!(opened(&mut fleet), BTreeSet::new());
    fleet.run(millis(200));
    assert!(opened(&mut fleet).contains(&Name::from("a")), "four nodes all own connections");
}

/// Pattern: the store is away and lets all leases lapse. The nodes live, and requests go where they went.
#[test]
fn lapsed_registrations_change_no_owner() {
    let mut documents: Vec<StoredDocument> = (1..NODES).map(registration).collect();
    documents.push(fleet_count());
    let mut fleet = start(documents);
    let before = target(&mut fleet, 1).unwrap();
    fleet.run(millis(100));
    fleet.event(GateEvent::DocumentsListed(vec![fleet_count()]));
    fleet.run(millis(100));
    opened(&mut fleet);
    let after = target(&mut fleet, 2).unwrap();
    assert_eq!(before, after);
}

/// Pattern: a rolling restart. Requests leave an owner when it begins to shut down, and come back when it has
/// connections again.
#[test]
fn an_owner_that_restarts_is_passed_over() {
    let owner = |index: u16, leaving: bool| {
        let mut entry = entry(index);
        entry.role = NodeRole::Owner;
        (entry.record.leaving, entry.record.capacity) = (leaving, 1_000);
        entry
    };
    let mut fleet = start((1..NODES).map(|index| owner(index, false).stored()).collect());
    let first = target(&mut fleet, 1).unwrap();
    let index: u16 = first[1..].split('/').next().unwrap().parse().unwrap();
    fleet.event(GateEvent::DocumentChanged(owner(index, true).stored()));
    assert_ne!(target(&mut fleet, 2).unwrap(), first, "it shuts down");
    fleet.event(GateEvent::DocumentRemoved(owner(index, true).document()));
    let mut cold = owner(index, false);
    cold.role = NodeRole::Standby;
    fleet.event(GateEvent::DocumentChanged(cold.stored()));
    assert_ne!(target(&mut fleet, 3), Some(first.clone()), "it has no connections yet");
    fleet.event(GateEvent::DocumentChanged(owner(index, false).stored()));
    assert_eq!(target(&mut fleet, 4), Some(first));
}

/// A request that waits for a connection to a silent owner goes to the next one in time.
#[test]
fn a_request_does_not_wait_for_a_connection_to_a_silent_owner() {
    let mut fleet = start((1..NODES).map(registration).collect());
    let first = target(&mut fleet, 1).unwrap();
    fleet.run(millis(560));
    let opened = opened(&mut fleet);
    assert!(opened.iter().any(|name| *name != first), "{opened:?}");
}

/// Pattern: a data centre is cut off. Its nodes that only forward hear of it by the silence of the others.
#[test]
fn a_standby_that_hears_no_other_data_centre_is_not_ready() {
    // Every other node is stronger than `n0`.
    let strong = |index: u16| {
        let mut entry = entry(index);
        entry.record.capacity = 1_000;
        entry.stored()
    };
    let mut fleet = start((1..NODES).map(strong).collect());
    fleet.event(GateEvent::ContactRenewed { sent: millis(0) });
    fleet.run(millis(40));
    assert_eq!(fleet.told_ready(), Some(true), "in touch with the store and with owners");
    // The first owner is silent, and then the one that the request is sent to instead.
    target(&mut fleet, 1).unwrap();
    fleet.run(millis(1_000));
    assert_eq!(fleet.told_ready(), Some(false));
}
