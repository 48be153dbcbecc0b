//! Graceful shutdown, in virtual time.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use gate::{ErrorCode, GateEvent, SessionOrigin};
use model::Micros;
use support::{LATEST, Simulation, millis, route_table};

/// Gives all routes a time limit.
fn set_time_limit(simulation: &mut Simulation, limit: Micros) {
    let mut table = route_table(16);
    table.version += 1;
    for route in table.routes.values_mut() {
        Arc::make_mut(route).timeout = limit;
    }
    simulation.event(0, GateEvent::RoutesChanged(Box::new(table)));
}

/// Guards against requests that are cut off at the exit, because their sessions were never idle when
/// idle sessions were closed.
#[test]
fn sessions_in_steady_use_are_closed_before_the_exit() {
    let mut simulation = Simulation::start(1);
    for name in ["a", "b", "c"] {
        simulation.database(name).statement_time = millis(15);
    }
    let sessions: Vec<_> = (0..36).map(|_| simulation.open_steady(0, LATEST)).collect();
    simulation.run(millis(1_000));
    simulation.event(0, GateEvent::DrainRequested);
    simulation.run(millis(2_200));
    assert!(simulation.closed.is_empty(), "the load balancer may still send sessions");
    simulation.run(millis(3_800));
    assert!(simulation.stopped.contains(&0));
    for session in &sessions {
        assert_eq!(simulation.unanswered(*session), 0, "{session:?}");
        assert!(simulation.closed.contains(session), "{session:?} was not closed");
    }
}

/// Guards against a client that sends its next request just as its session is closed as idle.
#[test]
fn a_session_that_was_just_used_is_not_closed_as_idle() {
    let mut simulation = Simulation::start(1);
    let session = simulation.open_steady(0, LATEST);
    simulation.run(millis(200));
    simulation.event(0, GateEvent::DrainRequested);
    while simulation.closed.is_empty() {
        simulation.run(millis(20));
        assert!(simulation.now < Micros::from_secs(20), "the session is never closed");
    }
    assert_eq!(simulation.outcome(session), ErrorCode::Busy.name(), "told before the close");
    assert_eq!(simulation.unanswered(session), 0);
}

/// Guards against requests in progress that end with the process and without an answer.
#[test]
fn requests_in_progress_at_the_exit_are_answered() {
    let mut simulation = Simulation::start(1);
    set_time_limit(&mut simulation, millis(8_000));
    simulation.event(0, GateEvent::DrainRequested);
    simulation.run(millis(1_400));
    simulation.database("a").replication_stopped = true;
    simulation.database("b").replication_stopped = true;
    simulation.database("c").replication_stopped = true;
    let sessions: Vec<_> = (0..40).map(|_| simulation.open(0, LATEST)).collect();
    for (index, session) in sessions.iter().enumerate() {
        simulation.send_request(0, *session, &format!("w{index}"), "WRITE 1 x");
    }
    simulation.run(millis(4_600));
    assert!(simulation.stopped.contains(&0));
    let mut outcomes = BTreeSet::new();
    for (index, session) in sessions.iter().enumerate() {
        let sent = simulation.sent.contains(format!("w{index}").as_str());
        let expected = if sent { ErrorCode::Unknown } else { ErrorCode::Busy };
        assert_eq!(simulation.outcome(*session), expected.name(), "w{index}");
        outcomes.insert(expected.name());
        assert!(simulation.closed.contains(session));
    }
    assert_eq!(outcomes.len(), 2, "some writes were sent and others were not");
}

/// Guards against a statement that is accepted although the node exits before its time limit, and
/// against refusals where there is time.
#[test]
fn statements_are_accepted_while_their_time_limit_passes_before_the_exit() {
    let mut simulation = Simulation::start(1);
    simulation.event(0, GateEvent::DrainRequested);
    simulation.run(millis(4_600));
    assert!(simulation.stopped.contains(&0), "a node without sessions exits early");

    let mut simulation = Simulation::start(1);
    let open = simulation.open(0, LATEST);
    simulation.send_request(0, open, "t1", "BEGIN");
    simulation.event(0, GateEvent::DrainRequested);
    for (time, expected) in [(4_600, "served"), (200, ErrorCode::Busy.name())] {
        simulation.run(millis(time));
        let session = simulation.open(0, LATEST);
        simulation.send_request(0, session, &format!("r{time}"), "READ 1");
        simulation.run(millis(20));
        assert_eq!(simulation.outcome(session), expected);
    }
    let peer = simulation.open_as(0, LATEST, SessionOrigin::Peer);
    simulation.send_request(0, peer, "p", "READ 1");
    assert_eq!(simulation.outcome(peer), ErrorCode::Misrouted.name());
}
