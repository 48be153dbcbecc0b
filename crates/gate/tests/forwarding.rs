//! Requests that one node sends on to another.

mod support;

use gate::{LogPoint, SessionOrigin};
use model::{Micros, Term};
use support::{LATEST, SESSION, World};

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// The forwarding node's session has written; its transaction must not read at a replica without it.
#[test]
fn a_forwarded_transaction_reads_what_its_session_wrote() {
    let mut world = World::start(2);
    // A sample of the primary before the write lets reads go to replicas.
    let session = world.open(0, LATEST);
    world.ask(0, session, "r0", "READ 1");
    world.run(millis(200));
    world.database("b").deaf = true;
    world.database("c").deaf = true;
    let point = LogPoint { term: Term(1), number: 11 };
    world.database("a").received = point;
    let session = world.open_as(0, SESSION, SessionOrigin::Peer);
    world.ask_after(0, session, "begin", "BEGIN READ", Some(point));
    world.ask(0, session, "r1", "READ 1");
    world.run(millis(300));
    assert_eq!(world.outcome(session), "served");
    assert!(world.ran_at("a", "r1"), "only the primary holds the position");
}

#[test]
fn a_node_without_a_primary_refuses_forwarded_requests_at_once() {
    let mut world = World::start(2);
    world.cut(0, "a");
    world.run(millis(1_000));
    let warm = world.open(0, LATEST);
    world.ask(0, warm, "warm", "READ 1");
    world.run(millis(1_000));
    let session = world.open_as(0, LATEST, SessionOrigin::Peer);
    let asked = world.now;
    world.ask(0, session, "r", "READ 1");
    world.run(millis(40));
    assert_eq!(world.outcome(session), "busy");
    assert!(world.answer(session).unwrap().at <= asked + millis(20));
}
