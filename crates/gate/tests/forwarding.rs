//! Requests that one node forwards to another.

#![allow(clippy::unwrap_used)]

mod support;

use gate::{
    DatabaseRole, GateAction, GateEvent, ListedDatabase, NodeRole, SessionOrigin, TermPosition,
};
use model::{Name, Term};
use support::single_gate::{NodeEntry, SingleGate, listed};
use support::{BOUNDED, LATEST, SESSION, Simulation, millis};

/// The session at the forwarding node has written, so its transaction must not read at a replica
/// that lacks the write.
#[test]
fn a_forwarded_transaction_reads_what_its_session_wrote() {
    let mut simulation = Simulation::start(2);
    // With a position of the primary from before the write, reads can go to replicas.
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "r0", "READ 1");
    simulation.run(millis(200));
    simulation.database("b").replication_stopped = true;
    simulation.database("c").replication_stopped = true;
    let position = TermPosition { term: Term(1), position: 11 };
    simulation.database("a").received = position;
    let session = simulation.open_as(0, SESSION, SessionOrigin::Peer);
    simulation.send_request_requiring(0, session, "begin", "BEGIN READ", Some(position));
    simulation.send_request(0, session, "r1", "READ 1");
    simulation.run(millis(300));
    assert_eq!(simulation.outcome(session), "served");
    assert!(simulation.ran_at("a", "r1"), "only the primary holds the position");
}

#[test]
fn a_node_without_a_primary_refuses_forwarded_requests_at_once() {
    let mut simulation = Simulation::start(2);
    simulation.cut(0, "a");
    simulation.run(millis(1_000));
    let warm_up = simulation.open(0, LATEST);
    simulation.send_request(0, warm_up, "warm", "READ 1");
    simulation.run(millis(1_000));
    let session = simulation.open_as(0, LATEST, SessionOrigin::Peer);
    let sent_at = simulation.now;
    simulation.send_request(0, session, "r", "READ 1");
    simulation.run(millis(40));
    // The code differs from that of an overloaded node, which is worth asking again.
    assert_eq!(simulation.outcome(session), "misrouted");
    assert!(simulation.answer(session).unwrap().at <= sent_at + millis(20));
}

/// Starts a node that owns no connections because it has less capacity than the others.
fn forwarding_gate() -> SingleGate {
    let nodes = (1..30).map(|index| NodeEntry::new(NodeRole::Owner, index, "east", 500).stored());
    SingleGate::start("east", 120, nodes.collect())
}

/// Sends a read to an owner, which accepts the connection and never answers; returns the owner.
fn send_read(forwarding_gate: &mut SingleGate) -> Name {
    forwarding_gate.read(1, BOUNDED);
    let (connection, owner) = forwarding_gate.take_opened().remove(0);
    forwarding_gate.event(GateEvent::ConnectionOpened { connection, position: None });
    owner
}

/// The replicas of one cluster lag far behind, so its primary gets all reads, and answers take
/// longer than the usual wait for a read. A second try at another owner would run the read twice on
/// a database that is already overloaded.
#[test]
fn a_read_stays_at_an_owner_that_answers_probes() {
    let mut forwarding_gate = forwarding_gate();
    let owner = send_read(&mut forwarding_gate);
    for _ in 0..3 {
        forwarding_gate.run(millis(220));
        for (connection, database) in forwarding_gate.take_opened() {
            assert_eq!(database, owner, "only probes");
            forwarding_gate.event(GateEvent::ConnectionOpened { connection, position: None });
        }
    }
}

#[test]
fn a_read_leaves_an_owner_that_answers_no_probe() {
    let mut forwarding_gate = forwarding_gate();
    let owner = send_read(&mut forwarding_gate);
    forwarding_gate.run(millis(300));
    assert_eq!(forwarding_gate.take_opened().len(), 1, "one probe");
    forwarding_gate.run(millis(300));
    let opened = forwarding_gate.take_opened();
    assert_eq!(opened.len(), 1, "{opened:?}");
    assert_ne!(opened[0].1, owner);
}

/// The late answer of an owner must not keep it out of use for good: without requests it gets no
/// command whose answer would clear the overdue state. Found by seed 3 of the soak test.
#[test]
fn an_owner_that_answers_a_probe_again_is_used_again() {
    let mut forwarding_gate = forwarding_gate();
    let owner = send_read(&mut forwarding_gate);
    forwarding_gate.run(millis(340));
    let probes = forwarding_gate.take_opened();
    forwarding_gate.run(millis(80));
    assert_ne!(forwarding_gate.take_opened()[0].1, owner, "the read is sent to another owner");
    for (connection, _) in probes {
        forwarding_gate.event(GateEvent::ConnectionOpened { connection, position: None });
    }
    forwarding_gate.run(millis(20));
    forwarding_gate.take_opened();
    forwarding_gate.read(2, BOUNDED);
    let sent =
        forwarding_gate.actions.iter().any(|action| matches!(action, GateAction::Send { .. }));
    assert!(sent, "a command is sent on the probed connection");
}

/// An owner in another data centre than the primary adds a round trip to every statement. While a
/// former primary that is cut off still claims to lead, the choice stays.
#[test]
fn requests_follow_the_primary_to_its_data_centre() {
    let centres = ["east", "west", "north"];
    let nodes = (1..30).map(|index| {
        NodeEntry::new(NodeRole::Owner, index, centres[usize::from(index % 3)], 500).stored()
    });
    let mut gate = SingleGate::start("east", 120, nodes.collect());
    let mut owner_centre = |number, list: Vec<ListedDatabase>| {
        gate.event(GateEvent::DatabasesListed(list));
        gate.read(number, BOUNDED);
        let (_, owner) = gate.take_opened().remove(0);
        let index: usize = owner.split('/').next().unwrap()[1..].parse().unwrap();
        centres[index % 3]
    };
    let (primary, replica) = (DatabaseRole::Primary, DatabaseRole::Replica);
    let first = vec![listed("a", "west", primary), listed("b", "north", replica)];
    assert_eq!(owner_centre(1, first), "west");
    let both = vec![listed("a", "west", primary), listed("b", "north", primary)];
    assert_eq!(owner_centre(2, both), "west");
    let second = vec![listed("a", "west", replica), listed("b", "north", primary)];
    assert_eq!(owner_centre(3, second), "north");
}

/// An entry by another writer names a cluster that is not configured. The node would connect to its
/// address, and promote its "replicas" when the "primary" does not answer.
#[test]
fn a_database_of_an_unknown_cluster_is_not_used() {
    let mut gate = SingleGate::start("east", 120, Vec::new());
    gate.run(millis(1_100));
    gate.take_opened();
    let mut unknown = listed("x", "east", DatabaseRole::Primary);
    unknown.cluster = "nowhere".into();
    gate.event(GateEvent::DatabasesListed(vec![
        listed("a", "east", DatabaseRole::Primary),
        unknown,
    ]));
    gate.run(millis(5_000));
    let opened: Vec<Name> = gate.take_opened().into_iter().map(|(_, name)| name).collect();
    assert!(opened.iter().all(|name| &**name == "a"), "{opened:?}");
    assert!(!opened.is_empty(), "the configured cluster is used");
}
