//! Overload and failures under load, in virtual time: which requests wait, which are refused, and
//! where they are served.

mod support;

use std::sync::Arc;

use gate::{
    ClientReply, DatabaseRole, ErrorCode, Freshness, GateAction, GateEvent, NodeRole, SessionId,
    SessionOrigin,
};
use model::{Micros, Term};
use support::single_gate::{NodeEntry, SingleGate};
use support::{BOUNDED, LATEST, SESSION, Simulation, route_table};

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// Sends reads of current data until the primary's positions are known, so that reads can go to
/// replicas.
fn warm_up(simulation: &mut Simulation) {
    for turn in 0..10 {
        for gate in 0..simulation.gates.len() {
            let session = simulation.open(gate, LATEST);
            simulation.send_request(gate, session, &format!("warm{turn}-{gate}"), "READ 1");
        }
        simulation.run(millis(60));
    }
}

/// Sends reads at a steady rate and returns their sessions.
fn burst(simulation: &mut Simulation, route: &str, turns: u64, per_gate: u64) -> Vec<SessionId> {
    let mut sessions = Vec::new();
    for turn in 0..turns {
        for gate in 0..simulation.gates.len() {
            for copy in 0..per_gate {
                let session = simulation.open(gate, route);
                let id = format!("{route}{turn}-{gate}-{copy}");
                simulation.send_request(gate, session, &id, "READ 1");
                sessions.push(session);
            }
        }
        simulation.run(millis(20));
    }
    sessions
}

fn served(simulation: &Simulation, sessions: &[SessionId]) -> usize {
    sessions.iter().filter(|session| simulation.outcome(**session) == "served").count()
}

/// Replicas are five times slower (`srv_slow`) under steady reads, while the leader has free slots.
#[test]
fn the_leader_serves_reads_when_replicas_are_slow() {
    let mut simulation = Simulation::start(3);
    warm_up(&mut simulation);
    simulation.database("b").statement_time = millis(40);
    simulation.database("c").statement_time = millis(40);
    let sessions = burst(&mut simulation, BOUNDED, 60, 1);
    simulation.run(millis(800));
    let at_leader = simulation.databases["a"].ran.iter().filter(|(id, _)| id.starts_with(BOUNDED));
    assert!(at_leader.count() > 30, "the leader serves reads");
    assert!(served(&simulation, &sessions) >= sessions.len() * 95 / 100);
}

/// A database runs requests but their answers are lost (`answer_lost`). Reads are served elsewhere
/// well within their time limit, and the connections are used again afterwards.
#[test]
fn reads_whose_answers_are_lost_are_served_elsewhere() {
    let mut simulation = Simulation::start(2);
    warm_up(&mut simulation);
    simulation.database("b").loses_answers = true;
    let sessions = burst(&mut simulation, BOUNDED, 40, 1);
    simulation.run(millis(500));
    assert_eq!(served(&simulation, &sessions), sessions.len());
    simulation.database("b").loses_answers = false;
    simulation.run(millis(2_000));
    let before = simulation.databases["b"].ran.len();
    burst(&mut simulation, BOUNDED, 40, 1);
    assert!(simulation.databases["b"].ran.len() > before, "the database is used again");
}

/// All VMs lost power and the databases still hold the old connections (`power_off_all`). Requests
/// that cannot be served are refused at once, so that the client's next try reaches another node.
#[test]
fn without_any_connection_requests_are_refused_at_once() {
    let mut simulation = Simulation::empty(2);
    for name in ["a", "b", "c"] {
        simulation.database(name).connections_refused = true;
    }
    simulation.announce_store_state();
    simulation.run(millis(400));
    let session = simulation.open(0, LATEST);
    let sent_at = simulation.now;
    simulation.send_request(0, session, "r", "READ 1");
    assert_eq!(simulation.outcome(session), ErrorCode::Busy.name());
    assert_eq!(simulation.answer(session).unwrap().at, sent_at);
    for name in ["a", "b", "c"] {
        simulation.database(name).connections_refused = false;
    }
    simulation.run(millis(1_000));
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "r2", "READ 1");
    simulation.run(millis(60));
    assert_eq!(simulation.outcome(session), "served", "served soon after connections are free");
}

/// For several seconds, requests of one kind exceed the capacity of the databases. Served requests
/// meet their latency objective; the others are refused at once, so that they can be retried when
/// there is capacity.
#[test]
fn excess_requests_are_refused_at_once() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    for name in ["a", "b", "c"] {
        simulation.database(name).statement_time = millis(30);
    }
    let started = simulation.now;
    let mut sessions = Vec::new();
    for turn in 0..150 {
        for copy in 0..3 {
            let session = simulation.open(0, LATEST);
            sessions.push((session, simulation.now));
            simulation.send_request(0, session, &format!("flood{turn}-{copy}"), "READ 1");
        }
        simulation.run(millis(20));
    }
    simulation.run(millis(800));
    let settled = started + millis(1_000);
    let (mut late, mut count) = (0, 0);
    for (session, sent_at) in sessions.into_iter().filter(|(_, sent_at)| *sent_at > settled) {
        let answer = simulation.answer(session).unwrap();
        let took = answer.at - sent_at;
        if simulation.outcome(session) == "served" {
            count += 1;
            late += usize::from(took > millis(400));
        } else {
            assert!(took <= millis(20), "refused after {took:?}");
        }
    }
    // One slot of 30 ms is busy for the two seconds after the first.
    assert!(count >= 55, "{count} served");
    assert!(late * 20 <= count, "{late} of {count} served late");
}

/// Requests of one kind flood (`burst`) a single usable database. Urgent requests are still served
/// in time.
#[test]
fn urgent_requests_are_served_in_a_flood_of_others() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    for name in ["a", "b", "c"] {
        simulation.database(name).statement_time = millis(20);
    }
    let mut urgent = Vec::new();
    let mut flood = Vec::new();
    for turn in 0..60 {
        for copy in 0..8 {
            let session = simulation.open(0, SESSION);
            simulation.send_request(0, session, &format!("f{turn}-{copy}"), "WRITE 1 x");
            flood.push(session);
        }
        let session = simulation.open(0, LATEST);
        simulation.send_request(0, session, &format!("u{turn}"), "WRITE 1 x");
        urgent.push(session);
        simulation.run(millis(40));
    }
    simulation.run(millis(1_000));
    let urgent_share = served(&simulation, &urgent) * 100 / urgent.len();
    let flood_share = served(&simulation, &flood) * 100 / flood.len();
    assert!(urgent_share >= 90, "{urgent_share}% of the urgent writes were served");
    assert!(flood_share > 5, "the others keep their minimum share, {flood_share}%");
}

/// The primary fails under load. Waiting requests are served by the new primary or refused within
/// the time that a client needs for another try.
#[test]
fn requests_for_a_failed_primary_are_answered_in_time() {
    let mut simulation = Simulation::start(4);
    warm_up(&mut simulation);
    simulation.database("a").unreachable = true;
    burst(&mut simulation, LATEST, 25, 1);
    let mut requests = Vec::new();
    for turn in 0..20 {
        let session = simulation.open(turn % 4, LATEST);
        simulation.send_request(turn % 4, session, &format!("w{turn}"), "WRITE 1 x");
        requests.push((session, simulation.now));
        simulation.run(millis(20));
    }
    simulation.run(millis(1_000));
    for (session, sent_at) in requests {
        let answer = simulation.answer(session).expect("every request is answered");
        assert!(answer.at <= sent_at + millis(340), "answered after {}", answer.at - sent_at);
    }
}

/// A replica hangs with reads in its queue (`srv_crash` with how `dark`). They are served elsewhere
/// and do not wait there for their time limit.
#[test]
fn reads_leave_the_queue_of_a_replica_that_hangs() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    for name in ["a", "b", "c"] {
        simulation.database(name).statement_time = millis(30);
    }
    simulation.database("b").hung = true;
    let sessions = burst(&mut simulation, BOUNDED, 6, 4);
    simulation.run(millis(600));
    assert!(
        served(&simulation, &sessions) == sessions.len(),
        "{} of {} served within 720 ms",
        served(&simulation, &sessions),
        sessions.len()
    );
}

/// A refusal names its cause: operators were told that there is no primary where there was one.
#[test]
fn a_refusal_after_a_wait_in_the_queue_does_not_blame_the_primary() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    for name in ["a", "b", "c"] {
        simulation.database(name).hung = true;
    }
    let sessions = burst(&mut simulation, LATEST, 1, 30);
    simulation.run(millis(1_000));
    let texts = sessions.iter().filter_map(|session| match &simulation.answer(*session)?.reply {
        gate::ClientReply::Failed { text, .. } => Some(text.as_str()),
        gate::ClientReply::Done { .. } => None,
    });
    let texts: std::collections::BTreeSet<&str> = texts.collect();
    assert!(texts.iter().any(|text| text.contains("the queue")), "{texts:?}");
    assert!(!texts.iter().any(|text| text.contains("no primary")), "{texts:?}");
}

/// A short burst of one kind brings more work than fits into the latency objective and less than fits
/// into the time limit. All of it is served; requests that would only be late were refused.
#[test]
fn a_request_that_can_be_served_within_its_time_limit_is_not_refused() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    simulation.database("a").statement_time = millis(15);
    let mut sessions = burst(&mut simulation, LATEST, 4, 2);
    simulation.run(millis(300));
    let started = simulation.now;
    sessions.extend(burst(&mut simulation, LATEST, 10, 4));
    simulation.run(millis(800));
    assert_eq!(served(&simulation, &sessions), sessions.len());
    let late = sessions
        .iter()
        .filter(|session| simulation.answer(**session).unwrap().at > started + millis(600))
        .count();
    assert!(late < sessions.len() / 4, "{late} late");
}

/// A database fails requests at once for a while (`srv_grey`). Guards against these answers being taken
/// for short statements: afterwards a flood was admitted that waited in vain until its time limit.
#[test]
fn failures_at_once_do_not_shorten_the_expected_wait() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    simulation.database("a").statement_time = millis(30);
    burst(&mut simulation, LATEST, 40, 1);
    simulation.run(millis(1_000));
    simulation.database("a").failing_percent = 100;
    burst(&mut simulation, LATEST, 40, 1);
    simulation.database("a").failing_percent = 0;
    simulation.run(millis(100));
    let sent_at = simulation.now;
    let sessions = burst(&mut simulation, LATEST, 1, 60);
    simulation.run(millis(1_000));
    let refused = sessions.iter().filter(|session| simulation.outcome(**session) == "busy");
    let waited = refused.filter(|session| simulation.answer(**session).unwrap().at > sent_at);
    let count = waited.count();
    assert!(count <= 6, "{count} of 60 waited in vain");
}

/// Connections are lost while a read runs. Guards against a refusal that says that it has not run.
#[test]
fn a_read_that_was_sent_is_not_refused_as_not_run() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    simulation.database("a").statement_time = millis(60);
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "r", "READ 1");
    simulation.run(millis(20));
    assert!(simulation.ran_at("a", "r"));
    simulation.lose_connections("a", millis(1));
    simulation.database("a").connections_refused = true;
    simulation.run(millis(1_000));
    let answer = simulation.answer(session).expect("it is answered");
    let ClientReply::Failed { text, .. } = &answer.reply else { panic!("it is refused") };
    assert!(!text.starts_with("not run"), "{text}");
}

/// A flood of requests that cannot all meet their time limit. The refusals tell when to come back, by
/// the length of the queue.
#[test]
fn a_refusal_tells_when_to_retry() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    simulation.database("a").statement_time = millis(30);
    burst(&mut simulation, LATEST, 20, 1);
    let sessions = burst(&mut simulation, LATEST, 10, 10);
    let mut hints: Vec<u64> = sessions
        .iter()
        .filter_map(|session| match &simulation.answer(*session)?.reply {
            gate::ClientReply::Failed { text, .. } => {
                let hint = text.split_once("retry after ").expect("the text holds a hint").1;
                Some(hint.trim_end_matches(" ms").parse().expect("the hint is a number"))
            }
            gate::ClientReply::Done { .. } => None,
        })
        .collect();
    hints.sort_unstable();
    hints.dedup();
    assert!(hints.len() > 1, "the hint is constant: {hints:?}");
    assert!(hints[0] >= 20 && hints[hints.len() - 1] <= 1_000, "{hints:?}");
}

/// Clients give up and leave while their statements run. The database still executes them; further
/// statements were sent to it at once, to wait there out of the order of ranks.
#[test]
fn a_statement_whose_client_left_uses_its_slot_until_it_ends() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    simulation.database("a").statement_time = millis(200);
    let sessions: Vec<SessionId> = (0..6)
        .map(|turn| {
            let session = simulation.open(0, LATEST);
            simulation.send_request(0, session, &format!("left{turn}"), "READ 1");
            session
        })
        .collect();
    simulation.run(millis(60));
    for session in sessions {
        simulation.event(0, GateEvent::SessionClosed { session });
    }
    for turn in 0..3 {
        let session = simulation.open(0, LATEST);
        simulation.send_request(0, session, &format!("next{turn}"), "READ 1");
    }
    let sent = |simulation: &Simulation, prefix: &str| {
        simulation.sent.iter().filter(|id| id.starts_with(prefix)).count()
    };
    simulation.run(millis(60));
    assert_eq!(sent(&simulation, "next"), 0, "three statements run for two slots");
    simulation.run(millis(700));
    assert_eq!((sent(&simulation, "left"), sent(&simulation, "next")), (3, 3));
}

/// A client leaves while its request waits at the owner to which it was forwarded. The owner learns it,
/// and does not run the request.
#[test]
fn a_forwarded_request_is_given_up_at_the_owner_when_its_client_leaves() {
    let owner = |index| NodeEntry::new(NodeRole::Owner, index, "dc1", 1_000).stored();
    let mut gate = SingleGate::start("dc0", 500, (1..30).map(owner).collect());
    gate.read(1, LATEST);
    let (connection, _) = gate.take_opened().remove(0);
    gate.event(GateEvent::ConnectionOpened { connection, position: None });
    gate.event(GateEvent::SessionClosed { session: SessionId(1) });
    assert!(gate.actions.contains(&GateAction::CloseConnection { connection }));

    // At the owner, the end of the connection closes the session.
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    simulation.database("a").statement_time = millis(50);
    burst(&mut simulation, LATEST, 1, 6);
    let session = simulation.open_as(0, LATEST, SessionOrigin::Peer);
    simulation.send_request(0, session, "forwarded", "READ 1");
    simulation.event(0, GateEvent::SessionClosed { session });
    simulation.run(millis(800));
    assert!(!simulation.sent.contains("forwarded"), "it left the queue");
}

/// A database loses 8% of its answers (`answer_lost`). Writes without an answer held their slots until
/// their time limits, so the other writes waited although the database was idle.
#[test]
fn lost_answers_do_not_hold_slots_for_long() {
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    simulation.database("a").statement_time = millis(12);
    simulation.database("a").losing_percent = 8;
    let mut sessions = Vec::new();
    for turn in 0..200 {
        let session = simulation.open(0, LATEST);
        simulation.send_request(0, session, &format!("w{turn}"), "WRITE 1 x");
        sessions.push((session, simulation.now));
        simulation.run(millis(20));
    }
    simulation.run(millis(1_000));
    let count = |limit| {
        let fast = sessions.iter().filter(|(session, sent)| {
            simulation.outcome(*session) == "served"
                && simulation.answer(*session).is_some_and(|answer| answer.at <= *sent + limit)
        });
        fast.count()
    };
    println!("{} within 100 ms, {} served", count(millis(100)), count(millis(800)));
    assert!(count(millis(100)) >= 180, "{} within 100 ms", count(millis(100)));
    // The others end as unknown, in time for the way back to the client.
    for (session, sent) in &sessions {
        let answer = simulation.answer(*session).expect("every write is answered");
        assert!(answer.at <= *sent + millis(780), "answered after {}", answer.at - *sent);
        assert!(["served", "unknown"].contains(&simulation.outcome(*session)));
    }
    // An owner ends a forwarded one earlier, so that its answer arrives before the other node ends it.
    let mut simulation = Simulation::start(1);
    warm_up(&mut simulation);
    simulation.database("a").loses_answers = true;
    let session = simulation.open_as(0, LATEST, SessionOrigin::Peer);
    let sent = simulation.now;
    simulation.send_request(0, session, "forwarded", "WRITE 1 x");
    simulation.run(millis(800));
    assert_eq!(simulation.outcome(session), "unknown");
    assert!(simulation.answer(session).unwrap().at <= sent + millis(740));
}

/// Each refusal dispatched the next request within itself, so the stack grew with the queue.
#[test]
fn refusing_many_queued_requests_needs_little_stack() {
    let refused = std::thread::Builder::new()
        .stack_size(SMALL_STACK_BYTES)
        .spawn(refuse_at_replaced_primary)
        .expect("a thread is started")
        .join()
        .expect("the stack suffices");
    assert!(refused > 700, "{refused} requests were refused");
}

/// Stack of the thread above: enough for a few levels of dispatch in a debug build.
const SMALL_STACK_BYTES: usize = 256 * 1024;

fn refuse_at_replaced_primary() -> usize {
    let mut simulation = Simulation::start(1);
    let mut table = route_table(16);
    table.version = 2;
    for route in table.routes.values_mut() {
        let route = Arc::make_mut(route);
        route.freshness = Freshness::Latest;
        (route.timeout, route.target_latency) = (millis(9_000), millis(9_000));
    }
    simulation.event(0, GateEvent::RoutesChanged(Box::new(table)));
    warm_up(&mut simulation);
    simulation.database("a").statement_time = millis(200);
    let mut sessions = Vec::new();
    for route in [LATEST, BOUNDED, SESSION] {
        for turn in 0..250 {
            let session = simulation.open(0, route);
            simulation.send_request(0, session, &format!("{route}{turn}"), "READ 1");
            sessions.push(session);
        }
    }
    simulation.run(millis(20));
    let promoted = simulation.database("b");
    (promoted.role, promoted.term) = (DatabaseRole::Primary, Term(2));
    simulation.publish_database("b");
    simulation.run(millis(40));
    simulation.database("b").connection_limit = 0;
    simulation.lose_connections("b", millis(1));
    simulation.run(millis(600));
    sessions.iter().filter(|session| simulation.outcome(**session) == "busy").count()
}
