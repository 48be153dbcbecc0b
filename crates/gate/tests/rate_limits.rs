//! Limits of accounts at the gates: which requests are charged, wait or are refused. The rule over
//! several nodes under failures is tested in crate `allot`.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use account::{AccountConfig, AccountDirectory, RateLimit};
use gate::{
    ALLOTMENT_SESSION, ClientReply, GateAction, GateEvent, NodeRole, RouteTable, SessionId,
    SessionOrigin,
};
use model::{Micros, Name, SeededRandom};
use support::single_gate::{NodeEntry, SingleGate};
use support::{BOUNDED, LATEST, SESSION, Simulation, route_table};

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// Returns a configuration with an account for each limit; the key of account `a` is `key-a`.
fn table_with(version: u64, accounts: &[(&str, Option<RateLimit>)]) -> RouteTable {
    let accounts = accounts.iter().map(|(name, limit)| AccountConfig {
        name: Name::from(*name),
        keys: vec![format!("key-{name}").into()],
        limit: *limit,
    });
    let directory = AccountDirectory::new(accounts.collect()).unwrap();
    RouteTable { version, accounts: Some(Arc::new(directory)), ..route_table(56) }
}

fn limit(rate_per_s: f64, burst: f64) -> Option<RateLimit> {
    Some(RateLimit { rate_per_s, burst })
}

fn configure(simulation: &mut Simulation, version: u64, accounts: &[(&str, Option<RateLimit>)]) {
    for gate in 0..simulation.gates.len() {
        let table = Box::new(table_with(version, accounts));
        simulation.event(gate, GateEvent::RoutesChanged(table));
    }
}

/// Sends a statement in a new session of an account.
fn send(simulation: &mut Simulation, gate: usize, account: &str, route: &str) -> SessionId {
    let key = format!("key-{account}");
    let session = simulation.open_with_key(gate, route, &key);
    let id = format!("{account}-{}", session.0);
    simulation.send_request(gate, session, &id, "READ 1");
    session
}

fn text(simulation: &Simulation, session: SessionId) -> String {
    match &simulation.answer(session).unwrap().reply {
        ClientReply::Failed { text, .. } => text.clone(),
        ClientReply::Done { .. } => String::new(),
    }
}

/// Load: one account floods three nodes at 15 times its limit beside a steady account. Guards against
/// a limit for each node alone, a flood that takes the capacity of others, and refusals that do not
/// tell when there is room.
#[test]
fn a_flood_is_limited_over_all_nodes_and_others_are_served() {
    let mut simulation = Simulation::start_linked(3);
    configure(&mut simulation, 2, &[("flood", limit(20.0, 10.0)), ("steady", limit(50.0, 25.0))]);
    simulation.run(millis(2_000));
    let (mut flood, mut steady) = (Vec::new(), Vec::new());
    for turn in 0..400 {
        for gate in 0..3 {
            for _ in 0..2 {
                flood.push(send(&mut simulation, gate, "flood", SESSION));
            }
        }
        if turn % 2 == 0 {
            steady.push(send(&mut simulation, turn / 2 % 3, "steady", SESSION));
        }
        simulation.run(millis(20));
    }
    simulation.run(millis(500));
    let served = |sessions: &[SessionId]| {
        sessions.iter().filter(|session| simulation.outcome(**session) == "served").count()
    };
    let allowed = 20 * 8 + 10;
    let flood_served = served(&flood);
    assert!((allowed * 95 / 100..=allowed * 105 / 100).contains(&flood_served), "{flood_served}");
    assert_eq!(served(&steady), steady.len());
    let refused = flood.iter().find(|session| simulation.outcome(**session) == "busy").unwrap();
    let refusal = text(&simulation, *refused);
    let start = "not run, the account \"flood\" is above its limit of 20 operations a second, retry \
                 after ";
    assert!(refusal.starts_with(start) && refusal.ends_with(" ms"), "{refusal}");
}

const LOWERED: RateLimit = RateLimit { rate_per_s: 59.0, burst: 29.5 };

/// Counts of the operations of account `a`.
#[derive(Debug, Default)]
struct Outcomes {
    sent: usize,
    served: usize,
    unchecked: usize,
    /// Most operations served in 5 s.
    peak: usize,
}

/// Lowers the limit of account `a`, which sends at a rate through six nodes, unevenly (Zipf 1.2), for
/// 20 s. Twelve other accounts send as well, messages take 1 to 5 ms, databases are slow at times,
/// and each node stands `still` in each 400 ms, as with half a processor core.
fn run_uneven(rate: f64, still: Micros) -> Outcomes {
    let mut simulation = Simulation::start_linked(6);
    simulation.links.jitter_ms = 4;
    let names: Vec<String> = (0..12).map(|index| format!("o{index}")).collect();
    let mut accounts: Vec<_> =
        names.iter().map(|name| (name.as_str(), limit(30.0, 15.0))).collect();
    accounts.push(("a", limit(2.0 * rate, rate)));
    configure(&mut simulation, 2, &accounts);
    for name in ["a", "b", "c"] {
        let database = simulation.database(name);
        (database.slots, database.handshake_time) = (vec![Micros::ZERO; 4], Some(millis(12)));
    }
    let weights: Vec<f64> = (1..=6).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let turns_a_second = rate / weights.iter().sum::<f64>() / 50.0;
    let mut random = SeededRandom::new(11);
    let mut due = [0.0; 6];
    let mut sessions = BTreeSet::new();
    for turn in 0_u64..1_250 {
        if turn == 200 {
            accounts.pop();
            accounts.push(("a", Some(LOWERED)));
            configure(&mut simulation, 3, &accounts);
        }
        let time = millis(if turn % 50 < 15 { 60 } else { 14 });
        for name in ["a", "b", "c"] {
            simulation.database(name).statement_time = time;
        }
        for gate in 0..6 {
            let stands_still = (turn + 7 * gate as u64) % 20 < still.as_millis() / 20;
            match simulation.is_suspended(gate) {
                false if stands_still => simulation.suspend(gate),
                true if !stands_still => simulation.resume_with_deliveries(gate),
                _ => {}
            }
            due[gate] += 2.0 * random.unit() * turns_a_second * weights[gate];
            let count = due[gate] as usize;
            due[gate] -= count as f64;
            for _ in 0..count {
                let session = send(&mut simulation, gate, "a", SESSION);
                if turn >= 250 {
                    sessions.insert(session);
                }
            }
        }
        let other = &names[random.below(12) as usize];
        send(
            &mut simulation,
            random.below(6) as usize,
            other,
            [SESSION, BOUNDED][turn as usize % 2],
        );
        simulation.run(millis(20));
    }
    (0..6).for_each(|gate| simulation.resume_with_deliveries(gate));
    simulation.run(millis(1_000));
    let mut outcomes = Outcomes { sent: sessions.len(), ..Outcomes::default() };
    let mut served = VecDeque::new();
    for answer in simulation.answers.iter().filter(|answer| sessions.contains(&answer.session)) {
        match &answer.reply {
            ClientReply::Done { .. } => {
                served.push_back(answer.at);
                while served.front().is_some_and(|at| *at + millis(5_000) < answer.at) {
                    served.pop_front();
                }
                outcomes.served += 1;
                outcomes.peak = outcomes.peak.max(served.len());
            }
            ClientReply::Failed { text, .. } => {
                outcomes.unchecked += usize::from(!text.contains("above its limit"));
            }
        }
    }
    println!("{outcomes:?} {:?}", simulation.counters);
    outcomes
}

/// An account sends 1.5 times its lowered limit. Guards against tokens and reserves that are kept for
/// nodes which do not use them, and against refusals of requests that the home node has answered.
#[test]
fn an_account_above_its_lowered_limit_gets_the_limit() {
    let outcomes = run_uneven(89.0, millis(140));
    assert!(outcomes.served >= 59 * 20 * 95 / 100, "{outcomes:?}");
    assert!(outcomes.peak <= (59 * 5 + 29) * 11 / 10 + 20, "{outcomes:?}");
    // Both nodes and the interval of requests together delay an answer by less than 300 ms.
    let outcomes = run_uneven(89.0, millis(120));
    assert_eq!(outcomes.unchecked, 0, "{outcomes:?}");
}

/// As before, with 0.9 times the limit. Guards against refusals of an account within its limit.
#[test]
fn an_account_within_its_lowered_limit_is_served() {
    let outcomes = run_uneven(53.0, millis(140));
    assert!(outcomes.served * 100 >= outcomes.sent * 99, "{outcomes:?}");
}

/// Guards against log lines for each refusal: the state of an account is logged when it changes.
#[test]
fn an_account_above_its_limit_is_logged_once() {
    let mut simulation = Simulation::start_linked(1);
    configure(&mut simulation, 2, &[("a", limit(2.0, 2.0))]);
    simulation.run(millis(1_000));
    for _ in 0..200 {
        send(&mut simulation, 0, "a", LATEST);
        simulation.run(millis(20));
    }
    assert_eq!(simulation.logged("account_above_limit"), 1);
    simulation.run(millis(6_000));
    assert_eq!(simulation.logged("account_above_limit"), 2);
}

/// Guards against charges for each statement: a transaction is one operation.
#[test]
fn a_transaction_is_charged_once() {
    let mut simulation = Simulation::start_linked(1);
    configure(&mut simulation, 2, &[("a", limit(0.5, 1.0))]);
    simulation.run(millis(3_000));
    let session = simulation.open_with_key(0, LATEST, "key-a");
    for (id, statement) in [("b", "BEGIN"), ("r", "READ 1"), ("w", "WRITE 1 x"), ("c", "COMMIT")] {
        simulation.send_request(0, session, id, statement);
        simulation.run(millis(100));
        assert_eq!(simulation.outcome(session), "served", "{statement}");
    }
    let session = send(&mut simulation, 0, "a", LATEST);
    simulation.run(millis(20));
    assert!(text(&simulation, session).contains("above its limit"));
}

/// Guards against a second charge for an operation that waited for its token, or that a database did
/// not run: one token serves one operation at any node.
#[test]
fn one_token_serves_one_operation() {
    let mut simulation = Simulation::start_linked(2);
    let accounts = [("a", limit(0.3, 1.0)), ("b", limit(0.3, 1.0)), ("free", None)];
    configure(&mut simulation, 2, &accounts);
    for name in ["b", "c"] {
        simulation.database(name).received.position = 5;
    }
    for (account, gate) in [("a", 0), ("b", 0), ("a", 1), ("b", 1)] {
        simulation.run(millis(4_000));
        // Positions of the primary that the replicas lack, so that they decline reads.
        for _ in 0..10 {
            send(&mut simulation, gate, "free", LATEST);
            simulation.run(millis(20));
        }
        simulation.logs.clear();
        let session = send(&mut simulation, gate, account, BOUNDED);
        simulation.run(millis(200));
        assert_eq!(simulation.outcome(session), "served", "{account} at {gate}");
        assert!(simulation.logged("request_retried") > 0);
        let session = send(&mut simulation, gate, account, BOUNDED);
        simulation.run(millis(200));
        assert!(text(&simulation, session).contains("above its limit"), "{account} at {gate}");
    }
}

/// Load: a flood at a slow database. Guards against a flood that waits in the queue before it is
/// refused, and fills it.
#[test]
fn a_flood_is_refused_before_it_is_queued() {
    let mut simulation = Simulation::start_linked(1);
    configure(&mut simulation, 2, &[("a", limit(2.0, 2.0)), ("free", None)]);
    simulation.run(millis(2_000));
    for _ in 0..10 {
        send(&mut simulation, 0, "a", LATEST);
    }
    simulation.run(millis(60));
    simulation.database("a").statement_time = millis(200);
    for _ in 0..10 {
        send(&mut simulation, 0, "free", LATEST);
    }
    simulation.run(millis(60));
    let sent_at = simulation.now;
    for _ in 0..50 {
        let session = send(&mut simulation, 0, "a", LATEST);
        assert!(simulation.answer(session).is_some_and(|answer| answer.at == sent_at));
    }
}

/// Load: steady requests that wait for tokens of other nodes, and then more requests than the
/// database serves in time. Guards against service times of zero for requests that left the queue to wait for a
/// token: estimates would be too low, and requests be queued that cannot meet their objective.
#[test]
fn waits_for_tokens_do_not_count_as_service() {
    let refused = [limit(10.0, 1.0), None].map(|limit| {
        let mut simulation = Simulation::start_linked(3);
        let names: Vec<String> = (0..6).map(|index| format!("a{index}")).collect();
        let mut accounts: Vec<_> = names.iter().map(|name| (name.as_str(), limit)).collect();
        accounts.push(("free", None));
        configure(&mut simulation, 2, &accounts);
        for name in ["a", "b", "c"] {
            simulation.database(name).statement_time = millis(30);
        }
        simulation.run(millis(3_000));
        for _ in 0..20 {
            for name in &names {
                // Requests that wait for the same answer would run at the same time.
                send(&mut simulation, 0, name, LATEST);
                simulation.run(millis(100));
            }
        }
        for _ in 0..60 {
            send(&mut simulation, 0, "free", LATEST);
        }
        simulation.run(millis(50));
        simulation.counters.get("requests_failed").copied().unwrap_or_default()
    });
    assert!(refused[1] > 0 && refused[0] == refused[1], "{refused:?}");
}

/// Load: four accounts with slightly more than the databases serve, at a node that is not the home of
/// all, so that requests wait in the queue for longer than tokens are valid. Guards against a token
/// that stays with a request at the end of the queue and expires there while others need one.
#[test]
fn waits_in_the_queue_use_up_few_tokens() {
    let mut simulation = Simulation::start_linked(2);
    let names: Vec<String> = (0..4).map(|index| format!("a{index}")).collect();
    let accounts: Vec<_> = names.iter().map(|name| (name.as_str(), limit(60.0, 1.0))).collect();
    configure(&mut simulation, 2, &accounts);
    for name in ["a", "b", "c"] {
        simulation.database(name).statement_time = millis(100);
    }
    simulation.run(millis(3_000));
    for _ in 0..200 {
        for name in &names {
            send(&mut simulation, 0, name, LATEST);
        }
        simulation.run(millis(20));
    }
    simulation.run(millis(1_000));
    let count = |counter| simulation.counters.get(counter).copied().unwrap_or_default();
    let (charged, served) = (count("allotments_charged"), count("requests_served"));
    assert!(served > 30 && charged * 2 <= served * 3, "{charged} charged, {served} served");
}

/// Load: steady requests of an account whose home node is cut off, and of another one. Guards
/// against requests that wait for a home node beyond 300 ms, and against waits of other accounts.
#[test]
fn requests_wait_for_an_unreachable_home_node_at_most_300_ms() {
    let mut simulation = Simulation::start_linked(2);
    let names: Vec<String> = (0..8).map(|index| format!("a{index}")).collect();
    let accounts: Vec<_> = names.iter().map(|name| (name.as_str(), limit(50.0, 25.0))).collect();
    configure(&mut simulation, 2, &accounts);
    simulation.run(millis(2_000));
    simulation.cut(0, "n1");
    let sessions: Vec<_> =
        names.iter().map(|name| send(&mut simulation, 0, name, LATEST)).collect();
    let sent_at = simulation.now;
    simulation.run(millis(100));
    let waiting: Vec<_> =
        sessions.iter().filter(|session| simulation.answer(**session).is_none()).copied().collect();
    assert!(!waiting.is_empty() && waiting.len() < sessions.len(), "{waiting:?}");
    simulation.run(millis(300));
    for session in waiting {
        assert!(text(&simulation, session).contains("could not be checked"));
        let took = simulation.answer(session).unwrap().at.saturating_sub(sent_at);
        assert!(took >= millis(300) && took <= millis(340), "{took}");
    }
}

/// The home node is killed. Guards against refusals of an account within its limit: the other nodes
/// go on with their reserves.
#[test]
fn steady_accounts_are_served_while_their_home_node_is_gone() {
    let mut simulation = Simulation::start_linked(3);
    configure(&mut simulation, 2, &[("a", limit(80.0, 40.0))]);
    simulation.run(millis(2_000));
    let mut outcomes = Vec::new();
    for turn in 0..400 {
        if turn == 200 {
            simulation.stopped.insert(0);
        }
        for gate in 1..3 {
            outcomes.push((turn, send(&mut simulation, gate, "a", SESSION)));
        }
        simulation.run(millis(40));
    }
    simulation.run(millis(500));
    let served = |from: u64, until: u64| {
        let part = outcomes.iter().filter(|(turn, _)| (from..until).contains(turn));
        part.filter(|(_, session)| simulation.outcome(*session) == "served").count()
    };
    assert!(served(25, 200) >= 348, "{}", served(25, 200));
    assert!(served(200, 400) >= 340, "{}", served(200, 400));
}

/// Guards against changed behaviour of deployments without limits: no session, message or wait.
#[test]
fn without_limits_nodes_exchange_nothing() {
    for accounts in [None, Some([("a", None)])] {
        let mut simulation = Simulation::start_linked(3);
        if let Some(accounts) = accounts {
            configure(&mut simulation, 2, &accounts);
        }
        for gate in 0..3 {
            let key = if accounts.is_some() { "key-a" } else { "" };
            let session = simulation.open_with_key(gate, LATEST, key);
            simulation.send_request(gate, session, "r", "READ 1");
            simulation.run(millis(2_000));
            assert_eq!(simulation.outcome(session), "served");
        }
        assert_eq!(simulation.links.opened, 0);
    }
}

/// Guards against clients that request tokens.
#[test]
fn only_nodes_open_sessions_for_tokens() {
    let mut gate = SingleGate::start("east", 250, Vec::new());
    gate.event(GateEvent::RoutesChanged(Box::new(table_with(2, &[("a", limit(5.0, 5.0))]))));
    for (number, origin) in [(1, SessionOrigin::Client), (2, SessionOrigin::Peer)] {
        let (session, key) = (SessionId(number), "n1 n0".into());
        let database = ALLOTMENT_SESSION.into();
        gate.actions.clear();
        gate.event(GateEvent::SessionOpened { session, database, key, origin });
        let accepted =
            gate.actions.iter().any(|action| matches!(action, GateAction::AcceptSession { .. }));
        assert_eq!(accepted, origin == SessionOrigin::Peer);
    }
}

/// Guards against weak owners as home nodes, which would change the homes of all accounts each time
/// that a strong one restarts: those below half the capacity of the strongest are none.
#[test]
fn only_strong_owners_are_home_nodes() {
    let capacity = |index: u16| [900, 450, 440][usize::from(index % 3)];
    let nodes = (1..7).map(|index| {
        let mut node = NodeEntry::new(NodeRole::Owner, index, "east", capacity(index));
        node.record.peer_protocol = 2;
        node.stored()
    });
    let mut gate = SingleGate::start("east", 900, nodes.collect());
    let names: Vec<String> = (0..40).map(|index| format!("a{index}")).collect();
    let accounts: Vec<_> = names.iter().map(|name| (name.as_str(), limit(5.0, 5.0))).collect();
    gate.event(GateEvent::RoutesChanged(Box::new(table_with(2, &accounts))));
    gate.run(millis(100));
    let opened = gate.take_opened();
    for index in 1..7 {
        let session = format!("n{index}/{ALLOTMENT_SESSION}");
        let is_home = opened.iter().any(|(_, name)| **name == *session);
        assert_eq!(is_home, capacity(index) >= 450, "{opened:?}");
    }
}

/// Guards against charges and messages at the many nodes that only forward, and against homes at
/// nodes of a former version of the protocol, which would never answer.
#[test]
fn forwarded_requests_are_charged_elsewhere_and_former_versions_are_no_homes() {
    for (protocol, capacity) in [(2, 120), (1, 900), (2, 900)] {
        let nodes = (1..30).map(|index| {
            let mut node = NodeEntry::new(NodeRole::Owner, index, "east", 500);
            node.record.peer_protocol = protocol;
            node.stored()
        });
        let mut gate = SingleGate::start("east", capacity, nodes.collect());
        gate.event(GateEvent::RoutesChanged(Box::new(table_with(2, &[("a", limit(5.0, 5.0))]))));
        gate.run(millis(100));
        let opened = gate.take_opened();
        let sessions = opened.iter().filter(|(_, name)| name.ends_with(ALLOTMENT_SESSION)).count();
        let is_owner = capacity == 900;
        assert_eq!(sessions > 0, is_owner && protocol == 2, "{opened:?}");
        if is_owner {
            continue;
        }
        let (session, key) = (SessionId(1), "key-a".into());
        let (database, origin) = (LATEST.into(), SessionOrigin::Client);
        gate.event(GateEvent::SessionOpened { session, database, key, origin });
        let request = gate::ClientRequest {
            id: "r".into(),
            text: "READ 1".into(),
            statement: gate::Statement::Read,
            required_position: None,
            caller: None,
        };
        gate.event(GateEvent::RequestArrived { session, request });
        let opened = gate.take_opened();
        let (connection, _) = opened.iter().find(|(_, name)| name.ends_with(LATEST)).unwrap();
        gate.event(GateEvent::ConnectionOpened { connection: *connection, position: None });
        let is_sent = |action: &GateAction| matches!(action, GateAction::Send { .. });
        assert!(gate.actions.iter().any(is_sent), "it is forwarded without a token");
    }
}
