//! Transactions whose key is taken from their account, in virtual time.

mod support;

use gate::*;
use support::{LATEST, Simulation, accounts_table, client_request, millis};

/// Connections that a database accepts, as in the deployment with accounts.
const CONNECTIONS: u32 = 56;

/// Those of a node that is the only one.
const CONNECTION_SHARE: usize = 30;

fn configure(simulation: &mut Simulation, version: u64, keys: &[(&str, &str)]) {
    for gate in 0..simulation.gates.len() {
        let table = accounts_table(version, CONNECTIONS, keys);
        simulation.event(gate, GateEvent::RoutesChanged(Box::new(table)));
    }
    let (revision, known_at) = (simulation.revision, simulation.now);
    simulation.event(0, GateEvent::StoreFollowed { revision, known_at });
}

/// Starts one node with the keys `k1` of the account `one` and `k2` of `two`.
fn start() -> Simulation {
    let mut simulation = Simulation::start(1);
    configure(&mut simulation, 2, &[("k1", "one"), ("k2", "two")]);
    simulation.run(millis(100));
    simulation
}

fn ask(simulation: &mut Simulation, session: SessionId, id: &str, text: &str) -> &'static str {
    simulation.send_request(0, session, id, text);
    simulation.run(millis(100));
    simulation.outcome(session)
}

/// Begins a transaction of `k1` and runs a read in it.
fn begin(simulation: &mut Simulation) -> SessionId {
    let session = simulation.open_with_key(0, LATEST, "k1");
    simulation.send_request(0, session, "b", "BEGIN");
    assert_eq!(ask(simulation, session, "t1", "READ 1"), "served");
    session
}

/// Guards against statements and a commit of a transaction after its key was taken away. The key may
/// be gone, have another account, or belong to an account that is gone.
#[test]
fn a_resting_transaction_ends_when_its_key_is_taken_away() {
    for keys in [&[("k2", "two")][..], &[("k1", "two"), ("k2", "two")], &[]] {
        for last in ["READ 1", "WRITE 1 x", "COMMIT"] {
            let mut simulation = start();
            let session = begin(&mut simulation);
            configure(&mut simulation, 3, keys);
            simulation.run(millis(10));
            assert_eq!(ask(&mut simulation, session, "t2", last), "aborted", "{last}, {keys:?}");
            assert!(!simulation.ran_at("a", "t2"));
            if last != "COMMIT" {
                assert_eq!(ask(&mut simulation, session, "t3", "WRITE 1 x"), "malformed");
                assert_eq!(ask(&mut simulation, session, "t4", "ROLLBACK"), "served");
            }
            let held = keys.iter().any(|(key, _)| *key == "k1");
            let expected = if held { "served" } else { "not_authorized" };
            assert_eq!(ask(&mut simulation, session, "n", "READ 1"), expected);
            if held {
                assert_eq!(simulation.accounts["n"].as_deref(), Some("two"));
            }
            assert_eq!(simulation.counters["transactions_unauthorized"], 1);
        }
    }
}

/// Guards against a transaction that holds its connection until its client sends something, after its
/// key was taken away.
#[test]
fn the_connection_of_a_transaction_is_free_as_soon_as_its_key_is_gone() {
    let names: Vec<String> = (0..=CONNECTION_SHARE).map(|number| format!("k{number}")).collect();
    let keys: Vec<(&str, &str)> = names.iter().map(|name| (&**name, &**name)).collect();
    let mut simulation = Simulation::start(1);
    configure(&mut simulation, 2, &keys);
    for name in &names[..CONNECTION_SHARE] {
        let session = simulation.open_with_key(0, LATEST, name);
        simulation.send_request(0, session, &format!("b-{name}"), "BEGIN");
        simulation.send_request(0, session, &format!("t-{name}"), "READ 1");
        simulation.run(millis(20));
        assert_eq!(simulation.outcome(session), "served");
    }
    let waiting = simulation.open_with_key(0, LATEST, &names[CONNECTION_SHARE]);
    assert_eq!(ask(&mut simulation, waiting, "w", "READ 1"), "none", "no connection is free");
    configure(&mut simulation, 3, &keys[1..]);
    simulation.run(millis(100));
    assert_eq!(simulation.outcome(waiting), "served");
}

/// Guards against an answer that tells a client of a statement on its way that it took effect, or
/// leaves it waiting; nothing of the transaction is kept.
#[test]
fn a_statement_on_its_way_is_rolled_back_when_its_key_is_taken_away() {
    let mut simulation = start();
    let session = begin(&mut simulation);
    simulation.database("a").statement_time = millis(300);
    simulation.send_request(0, session, "t2", "READ 2");
    simulation.run(millis(50));
    configure(&mut simulation, 3, &[("k2", "two")]);
    assert_eq!(simulation.outcome(session), "aborted", "at once");
    simulation.run(millis(600));
    assert_eq!(simulation.outcome(session), "aborted", "the late answer counts for nothing");
    assert_eq!(ask(&mut simulation, session, "t3", "COMMIT"), "aborted");
}

/// Guards against a commit that is said to be rolled back although it was on its way and took effect.
#[test]
fn a_commit_on_its_way_gets_its_own_answer() {
    let mut simulation = start();
    let session = begin(&mut simulation);
    simulation.database("a").statement_time = millis(300);
    simulation.send_request(0, session, "t2", "COMMIT");
    simulation.run(millis(50));
    configure(&mut simulation, 3, &[("k2", "two")]);
    assert_eq!(simulation.outcome(session), "served", "the read before");
    simulation.run(millis(600));
    assert!(simulation.ran_at("a", "t2"));
    assert_eq!(simulation.outcome(session), "served");
    let answers = simulation.answers.iter().filter(|answer| answer.session == session);
    assert_eq!(answers.count(), 3);
    assert_eq!(ask(&mut simulation, session, "n", "READ 1"), "not_authorized");
}

/// Guards against a refusal by a version that is not in force any more: the key is back before the
/// client sends its next statement.
#[test]
fn a_key_that_comes_back_at_once_is_not_refused() {
    let mut simulation = start();
    let session = begin(&mut simulation);
    configure(&mut simulation, 3, &[("k2", "two")]);
    configure(&mut simulation, 4, &[("k1", "one"), ("k2", "two")]);
    assert_eq!(ask(&mut simulation, session, "t2", "READ 1"), "aborted");
    assert_eq!(ask(&mut simulation, session, "t3", "ROLLBACK"), "served");
    assert_eq!(ask(&mut simulation, session, "n", "READ 1"), "served");
}

/// Guards against transactions that end with every change of the accounts.
#[test]
fn a_transaction_whose_key_stays_goes_on() {
    let mut simulation = start();
    let session = begin(&mut simulation);
    configure(&mut simulation, 3, &[("k1", "one"), ("k3", "one"), ("k4", "four")]);
    assert_eq!(ask(&mut simulation, session, "t2", "WRITE 1 x"), "served");
    assert_eq!(ask(&mut simulation, session, "t3", "COMMIT"), "served");
}

/// Guards against a forwarded transaction that goes on at an owner with the newer version, or ends at one
/// with the older version.
#[test]
fn the_newer_of_two_nodes_ends_a_forwarded_transaction() {
    for (version, outcome) in [(2, "aborted"), (5, "served")] {
        let mut simulation = start();
        let session = simulation.open_as(0, LATEST, SessionOrigin::Peer);
        let caller = CallerIdentity { version, account: Some("one".into()), key: "k1".into() };
        for (id, text) in [("b", "BEGIN"), ("t1", "READ 1")] {
            let mut request = client_request(id, text, None);
            request.caller = Some(caller.clone());
            simulation.event(0, GateEvent::RequestArrived { session, request });
            simulation.run(millis(700));
            assert_eq!(simulation.outcome(session), "served");
        }
        configure(&mut simulation, 3, &[("k2", "two")]);
        assert_eq!(ask(&mut simulation, session, "t2", "READ 1"), outcome, "version {version}");
    }
}
