//! Reads of sessions whose last commit was made at a primary that this node does not know yet.
//!
//! The node is cut off from the store and from the replicas and still reaches the former primary, as
//! after a short cut between data centres.

mod support;

use gate::{SessionOrigin, TermPosition};
use model::{Name, Term};
use support::{LATEST, SESSION, Simulation, millis};

/// The entry of node `n1` at node `n0`, which takes commands like a database.
const PEER_ENTRY: &str = "n1/readings";

/// Lets node 1 replace the primary `a` by `b` within the accepted age of session reads, while node 0
/// reaches only `a` and node 1.
fn replace_primary_unnoticed() -> Simulation {
    let mut simulation = Simulation::start_linked(2);
    simulation.run_with_reads(&[LATEST, SESSION], millis(1_000));
    simulation.store_cut.insert(0);
    simulation.cut(0, "b");
    simulation.cut(0, "c");
    simulation.cut(1, "a");
    simulation.open_steady(1, LATEST);
    // Node 0 needs proof of the primary as soon as its read lease has ended.
    simulation.run_with_reads(&[LATEST], millis(900));
    for replica in ["b", "c"] {
        simulation.lose_connections(replica, millis(1));
    }
    simulation.run_until(millis(2_200), "no promotion", |simulation| {
        !simulation.promoted_logs.is_empty()
    });
    let promoted = simulation.promoted_logs[0].1.clone();
    let mut peer = simulation.databases[&promoted].clone();
    peer.ran.clear();
    simulation.databases.insert(PEER_ENTRY.into(), peer);
    simulation.unlisted.insert(PEER_ENTRY.into());
    simulation
}

/// Commits in a new session at node 0, which has to forward the write.
fn write_at_new_primary(simulation: &mut Simulation) -> gate::SessionId {
    let session = simulation.open(0, SESSION);
    simulation.send_request(0, session, "w", "WRITE 1 x");
    simulation.run(millis(60));
    assert_eq!(simulation.outcome(session), "served");
    assert!(simulation.ran_at(PEER_ENTRY, "w"), "the write is forwarded");
    session
}

fn send_all(simulation: &mut Simulation, session: gate::SessionId, texts: &[&str]) {
    for (index, text) in texts.iter().enumerate() {
        simulation.send_request(0, session, &format!("own{index}"), text);
        simulation.run(millis(60));
    }
}

/// Guards against reads that miss their session's own commit: the former primary was proved within the
/// accepted age, but lacks a commit that another node made at its successor.
#[test]
fn a_session_reads_its_forwarded_commit_not_the_former_primary() {
    let transactions: [&[&str]; 3] =
        [&["READ 1"], &["BEGIN READ", "READ 1"], &["BEGIN", "READ 1", "ROLLBACK"]];
    for texts in transactions {
        let mut simulation = replace_primary_unnoticed();
        let session = write_at_new_primary(&mut simulation);
        let committed = simulation.databases[PEER_ENTRY].received;
        assert_eq!(committed.term, Term(2));
        send_all(&mut simulation, session, texts);
        let former = &simulation.databases["a"];
        assert!(former.received < committed);
        let stale: Vec<&Name> =
            former.ran.iter().map(|(id, _)| id).filter(|id| id.starts_with("own")).collect();
        assert!(stale.is_empty(), "{texts:?}: {stale:?} ran at the former primary");
        assert_eq!(simulation.outcome(session), "served", "{texts:?}");
    }
}

/// Guards against the same stale read at a node that serves it for another one, whose session's commit
/// it never saw.
#[test]
fn a_forwarded_read_of_a_newer_term_does_not_run_at_the_former_primary() {
    let mut simulation = replace_primary_unnoticed();
    let position = TermPosition { term: Term(2), position: 11 };
    let session = simulation.open_as(0, SESSION, SessionOrigin::Peer);
    simulation.send_request_requiring(0, session, "r0", "READ 1", Some(position));
    simulation.run(millis(400));
    assert!(!simulation.ran_at("a", "r0"));
    assert_eq!(simulation.outcome(session), "misrouted");
}

/// Guards against a leader that counts as replaced because of a position in another cluster: two nodes
/// with different configurations may mean different clusters by a route.
#[test]
fn a_position_of_another_cluster_does_not_keep_reads_from_the_leader() {
    let mut simulation = Simulation::start_with_reads(2);
    let position = TermPosition { term: Term(9), position: 1 };
    let session = simulation.open_as(0, SESSION, SessionOrigin::Peer);
    simulation.send_request_requiring(0, session, "r0", "READ 1", Some(position));
    simulation.run(millis(100));
    assert!(simulation.ran_at("a", "r0"));
    assert_eq!(simulation.outcome(session), "served");
    let other = simulation.open(0, LATEST);
    simulation.send_request(0, other, "w", "WRITE 1 x");
    simulation.run(millis(100));
    assert_eq!(simulation.outcome(other), "served");
}
