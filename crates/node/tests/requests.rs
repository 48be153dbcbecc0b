//! Requests from arrival to answer, over one to three nodes with fake databases.

#![allow(clippy::unwrap_used)]

mod driver;

use driver::{Driver, envelope, fleet_text};
use model::Micros;
use node::{NodeEvent, OperatorQuery, SessionId, TransactionState};

fn millis(count: u64) -> Micros {
    Micros::from_millis(count)
}

/// Delivers a revision of the configuration to every node.
fn deliver_configuration(driver: &mut Driver, revision: u64, text: &str) {
    for node in 0..driver.nodes.len() {
        let event = NodeEvent::DocumentArrived {
            document: "config".into(),
            revision,
            bytes: envelope(revision, text).into(),
        };
        driver.handle_event(node, event);
    }
}

/// Guards against an acknowledged write without a proof that the primary still leads.
#[test]
fn a_write_is_held_until_acknowledged() {
    let mut driver = Driver::start(3);
    let node = driver.non_owner_of("db1");
    let session = driver.open(node, "kiosk", &[]);
    assert_eq!(driver.accepted, [(node, session)]);
    let finish = driver.query(node, session, "insert into t values (1)");
    assert_eq!(finish.code(), "");
    assert_eq!(finish.relayed, ["insert into t values (1)"]);
    assert!(finish.token.is_some());
    assert_eq!(driver.count_commits("values (1)"), 1);
    // With both replicas frozen no report round is confirmed: the outcome is unknown and nothing is
    // relayed.
    driver.databases.get_mut("db2").unwrap().frozen = true;
    driver.databases.get_mut("db3").unwrap().frozen = true;
    let start = driver.now;
    let finish = driver.query(node, session, "insert into t values (2)");
    assert_eq!(finish.code(), "08007");
    assert!(finish.relayed.is_empty());
    assert!(finish.at.saturating_sub(start) >= Micros::from_secs(3));
}

/// Guards against relaying data that is older than accepted when its first byte arrives.
#[test]
fn a_read_too_old_at_first_byte_goes_to_the_primary() {
    let mut driver = Driver::start(2);
    let node = driver.owner_of("db1");
    let labels = [("cicadawick.labels", "kind=aged")];
    let session = driver.open(node, "phone", &labels);
    let finish = driver.query(node, session, "select 1");
    assert_eq!((finish.code(), finish.relayed.len()), ("", 1));
    let served = driver.databases_reached_by("select 1");
    assert_ne!(served, ["db1"], "a replica without lag serves reads that accept an age");
    let replica = served[0].clone();
    driver.databases.get_mut(&replica).unwrap().service_time = millis(2_100);
    for other in ["db2", "db3"] {
        if other != replica {
            driver.databases.get_mut(other).unwrap().lags = true;
            driver.databases.get_mut(other).unwrap().service_time = millis(2_100);
        }
    }
    let finish = driver.query(node, session, "select 2");
    assert_eq!(finish.relayed, ["select 2"], "{finish:?}");
    let served = driver.databases_reached_by("select 2");
    assert_eq!(served.last().map(String::as_str), Some("db1"));
    assert_eq!(served.len(), 2, "one discarded answer, one from the primary");
}

/// Guards against the error "not run" for a write that reached a backend server.
#[test]
fn a_declined_write_never_reaches_a_backend() {
    let mut driver = Driver::start(2);
    for name in ["db1", "db2", "db3"] {
        driver.databases.get_mut(name).unwrap().frozen = true;
    }
    driver.advance(Micros::from_secs(3));
    let session = driver.open(0, "phone", &[("cicadawick.labels", "kind=short")]);
    let finish = driver.query(0, session, "insert into t values (1)");
    assert_eq!(finish.code(), "WK003");
    assert!(driver.databases_reached_by("insert").is_empty());
}

/// Guards against repeating a write that may have committed before its connection was lost.
#[test]
fn a_lost_connection_is_an_unknown_outcome_of_a_write_and_a_retry_of_a_read() {
    let mut driver = Driver::start(3);
    let node = driver.non_owner_of("db1");
    let session = driver.open(node, "phone", &[]);
    driver.databases.get_mut("db1").unwrap().lose_next = Some(("values (1)", true));
    let finish = driver.query(node, session, "insert into t values (1)");
    assert_eq!(finish.code(), "08007");
    assert_eq!(driver.count_commits("values (1)"), 1);
    driver.databases.get_mut("db1").unwrap().lose_next = Some(("select", true));
    let finish = driver.query(node, session, "select 1");
    assert_eq!((finish.code(), finish.relayed.len()), ("", 1));
    assert_eq!(driver.databases_reached_by("select").len(), 2);
}

/// Guards against an error for a request that was not sent to the backend when its owner was lost.
#[test]
fn unsent_requests_of_a_lost_owner_are_rerouted() {
    let mut driver = Driver::start(3);
    let owner = driver.owner_of("db1");
    let node = driver.non_owner_of("db1");
    driver.kill(owner);
    let session = driver.open(node, "kiosk", &[]);
    let finish = driver.query(node, session, "insert into t values (1)");
    assert_eq!(finish.code(), "", "{finish:?}");
    assert_eq!(driver.count_commits("values (1)"), 1);
}

/// Guards against repeating a write whose owner was lost after it may have sent the write.
#[test]
fn a_write_at_a_lost_owner_has_an_unknown_outcome() {
    let mut driver = Driver::start(3);
    let owner = driver.owner_of("db1");
    let node = driver.non_owner_of("db1");
    driver.databases.get_mut("db1").unwrap().service_time = millis(100);
    let session = driver.open(node, "kiosk", &[]);
    driver.send(node, session, "insert into t values (1)");
    driver.advance(millis(40));
    assert_eq!(driver.databases_reached_by("insert"), ["db1"]);
    driver.kill(owner);
    driver.advance(Micros::from_secs(10));
    let finishes = &driver.finishes[&(node, session)];
    assert_eq!((finishes.len(), finishes[0].code()), (1, "08007"));
    assert_eq!(driver.databases_reached_by("insert"), ["db1"]);
}

/// Guards against a COMMIT at a primary that was replaced while the transaction was open.
#[test]
fn a_transaction_of_a_replaced_primary_is_rolled_back() {
    let mut driver = Driver::start(3);
    let node = driver.non_owner_of("db1");
    let session = driver.open(node, "kiosk", &[]);
    driver.query(node, session, "begin");
    driver.query(node, session, "insert into t values (1)");
    driver.databases.get_mut("db1").unwrap().frozen = true;
    driver.advance(Micros::from_secs(10));
    driver.databases.get_mut("db1").unwrap().frozen = false;
    let finish = driver.query(node, session, "commit");
    assert_eq!(finish.code(), "WK004", "{}", driver.logs.join("\n"));
    assert_eq!(driver.count_commits("values"), 0);
}

/// Guards against statements of two transactions on one connection, at the owner and over a lane.
#[test]
fn a_transaction_keeps_one_connection() {
    let mut driver = Driver::start(2);
    for node in [driver.owner_of("db1"), driver.non_owner_of("db1")] {
        let first = driver.open(node, "kiosk", &[]);
        let second = driver.open(node, "kiosk", &[]);
        for session in [first, second] {
            let finish = driver.query(node, session, "begin");
            assert_eq!(finish.transaction, TransactionState::Open);
            let text = format!("insert into t values ({})", session.0);
            driver.query(node, session, &text);
        }
        assert_eq!(driver.count_commits("values"), 0);
        let finish = driver.query(node, first, "commit");
        assert_eq!((finish.code(), finish.transaction), ("", TransactionState::Idle));
        assert!(finish.token.is_some());
        assert_eq!(driver.count_commits("values"), 1);
        driver.query(node, second, "rollback");
        assert_eq!(driver.count_commits("values"), 1);
        driver.committed.clear();
    }
}

/// Guards against sending a COMMIT after the transaction's connection was lost.
#[test]
fn a_transaction_that_lost_its_connection_is_rolled_back() {
    let mut driver = Driver::start(2);
    let node = driver.non_owner_of("db1");
    let session = driver.open(node, "kiosk", &[]);
    driver.query(node, session, "begin");
    driver.databases.get_mut("db1").unwrap().lose_next = Some(("values (1)", true));
    let finish = driver.query(node, session, "insert into t values (1)");
    assert_eq!((finish.code(), finish.transaction), ("WK004", TransactionState::Idle));
    driver.query(node, session, "begin");
    driver.query(node, session, "insert into t values (2)");
    driver.databases.get_mut("db1").unwrap().lose_next = Some(("commit", true));
    let finish = driver.query(node, session, "commit");
    assert_eq!(finish.code(), "08007");
}

/// Guards against a keyed write that runs twice, and against one that is answered with the outcome of
/// another statement with the same key.
#[test]
fn a_repeated_key_gives_the_first_outcome() {
    let mut driver = Driver::start(2);
    let node = driver.non_owner_of("db1");
    let session = driver.open(node, "kiosk", &[]);
    let text = "/*request_key='k1'*/ insert into t values (1)";
    let first = driver.query(node, session, text);
    assert_eq!(first.code(), "", "{first:?}");
    let again = driver.query(node, session, text);
    assert_eq!(again.code(), "");
    assert!(again.relayed.is_empty());
    assert_eq!(again.frames, b"C\0\0\0\x0fINSERT 0 1\0");
    assert_eq!(driver.count_commits("values (1)"), 1);
    let other = "/*request_key='k1'*/ insert into t values (2)";
    assert_eq!(driver.query(node, session, other).code(), "22023");
    assert_eq!(driver.count_commits("values (2)"), 0);
    let failed = driver.query(node, session, "/*request_key='k2'*/ insert into fail values (1)");
    assert_eq!(failed.relayed.len(), 1, "the statement's own error is relayed");
    assert!(!driver.keys.keys().any(|(key, _)| key == "k2"));
}

/// Guards against a key that remains after the rollback of its transaction, or is missing after its
/// commit.
#[test]
fn a_key_inside_a_transaction_belongs_to_it() {
    let mut driver = Driver::start(2);
    let node = driver.non_owner_of("db1");
    let session = driver.open(node, "kiosk", &[]);
    let text = "/*request_key='k1'*/ insert into t values (1)";
    for end in ["rollback", "commit"] {
        driver.query(node, session, "begin");
        let finish = driver.query(node, session, text);
        assert_eq!((finish.code(), finish.relayed.len()), ("", 1));
        assert_eq!(finish.transaction, TransactionState::Open);
        assert_eq!(driver.query(node, session, end).code(), "");
        assert_eq!(driver.keys.len(), usize::from(end == "commit"));
    }
    let finish = driver.query(node, session, text);
    assert_eq!(finish.frames, b"C\0\0\0\x0fINSERT 0 1\0");
    assert_eq!(driver.count_commits("values (1)"), 1);
    driver.query(node, session, "begin");
    let finish = driver.query(node, session, text);
    assert_eq!((finish.code(), finish.transaction), ("23505", TransactionState::Failed));
    driver.query(node, session, "rollback");
}

/// Guards against the error "not run" for a read that was sent and never answered.
#[test]
fn a_read_at_a_frozen_primary_is_not_reported_as_not_run() {
    let mut driver = Driver::start(2);
    let node = driver.non_owner_of("db1");
    let session = driver.open(node, "phone", &[("cicadawick.labels", "kind=short")]);
    assert_eq!(driver.query(node, session, "select 1").code(), "");
    driver.databases.get_mut("db1").unwrap().frozen = true;
    assert_eq!(driver.query(node, session, "select 2").code(), "08006");
}

/// Guards against a lost or duplicated keyed write when the connection is lost at any step.
#[test]
fn a_keyed_write_is_retried_over_lost_connections() {
    for part in ["INSERT INTO cicadawick_requests", "insert into t", "UPDATE cicadawick_requests"] {
        for after in [false, true] {
            let mut driver = Driver::start(2);
            let node = driver.non_owner_of("db1");
            let session = driver.open(node, "kiosk", &[]);
            driver.databases.get_mut("db1").unwrap().lose_next = Some((part, after));
            let text = "/*request_key='k1'*/ insert into t values (1)";
            let finish = driver.query(node, session, text);
            assert_eq!(finish.code(), "", "{part} {after}");
            assert_eq!(driver.count_commits("values (1)"), 1, "{part} {after}");
        }
    }
}

/// Guards against duplicate rows: a keyed write whose rows were relayed must not be retried on another
/// connection, at whichever step its connection is lost.
#[test]
fn a_keyed_write_whose_rows_were_relayed_is_not_retried() {
    for part in ["insert into t", "UPDATE cicadawick_requests"] {
        let mut driver = Driver::start(2);
        for node in [driver.owner_of("db1"), driver.non_owner_of("db1")] {
            let session = driver.open(node, "kiosk", &[]);
            let database = driver.databases.get_mut("db1").unwrap();
            database.large_answers = true;
            database.lose_next = Some((part, false));
            let text = format!("/*request_key='k{node}'*/ insert into t values ({node}.)");
            assert_eq!(driver.query(node, session, &text).code(), "08007", "{part}");
            assert_eq!(driver.databases_reached_by(&format!("{node}.")).len(), 1, "{part}");
        }
    }
}

/// Guards against a write outage longer than the failover, and against a violation of P2, an
/// acknowledged write of the old primary.
#[test]
fn writes_wait_through_a_failover() {
    for node in 0..3 {
        let mut driver = Driver::start(3);
        let session = driver.open(node, "kiosk", &[]);
        assert_eq!(driver.query(node, session, "insert into t values (1)").code(), "");
        driver.crash("db1");
        driver.advance(millis(300));
        let start = driver.now;
        let finish = driver.query(node, session, "insert into t values (2)");
        assert_eq!(finish.code(), "", "{}\n{}", driver.logs.join("\n"), driver.dump(node));
        let outage = finish.at.saturating_sub(start);
        assert!(outage < Micros::from_secs(13), "the write outage was {outage}");
        let finish = driver.query(node, session, "select 1");
        assert_eq!(finish.code(), "");
        assert_ne!(driver.databases_reached_by("select 1"), ["db1"]);
    }
}

/// Guards against an old primary that never leaves its old term, which leaves the cluster one database
/// less for its majorities.
#[test]
fn a_returning_old_primary_becomes_a_replica() {
    let mut driver = Driver::start(3);
    let session = driver.open(0, "kiosk", &[]);
    driver.crash("db1");
    driver.advance(Micros::from_secs(6));
    assert_eq!(driver.query(0, session, "insert into t values (1)").code(), "");
    driver.databases.get_mut("db1").unwrap().down = false;
    driver.advance(Micros::from_secs(3));
    let old = driver.databases["db1"].clone();
    let leader = driver.databases.values().find(|database| database.term > 1 && database.primary);
    let leader = leader.unwrap().clone();
    assert_eq!((old.term, old.primary, old.received), (leader.term, false, leader.received));
    let owner = driver.owner_of("db1");
    let shown = &driver.dump(owner)["clusters"]["billing"]["databases"]["db1"];
    assert!(shown["provable_age_ms"].as_u64().unwrap() < 1_000, "{shown}");
    // Its report counts: there is a majority without one of the other two databases.
    let other = ["db2", "db3"].into_iter().find(|name| !driver.databases[*name].primary).unwrap();
    driver.crash(other);
    assert_eq!(driver.query(0, session, "insert into t values (2)").code(), "");
}

/// The same for a frozen primary, which no lost connection reveals.
#[test]
fn writes_wait_through_a_failover_from_a_frozen_primary() {
    for node in 0..3 {
        let mut driver = Driver::start(3);
        let session = driver.open(node, "kiosk", &[]);
        assert_eq!(driver.query(node, session, "insert into t values (1)").code(), "");
        driver.databases.get_mut("db1").unwrap().frozen = true;
        let start = driver.now;
        driver.advance(millis(700));
        let finish = driver.query(node, session, "insert into t values (2)");
        assert_eq!(finish.code(), "", "{}", driver.logs.join("\n"));
        let outage = finish.at.saturating_sub(start);
        assert!(outage < Micros::from_secs(13), "the write outage was {outage}");
        assert_eq!(driver.count_commits("values (2)"), 1);
    }
}

/// Guards against a busy loop in which waiting requests wake each other, while the primary's owner
/// declines and another owner still names it as the leader.
#[test]
fn waiting_requests_do_not_wake_each_other() {
    for node in 0..3 {
        let mut driver = Driver::start(3);
        let sessions = [driver.open(node, "kiosk", &[]), driver.open(node, "kiosk", &[])];
        driver.databases.get_mut("db1").unwrap().down = true;
        for session in sessions {
            driver.send(node, session, "insert into t values (1)");
        }
        let before = driver.handled_events;
        driver.advance(millis(300));
        let handled = driver.handled_events - before;
        assert!(handled < 1_000, "{handled} events in 300 ms");
        driver.databases.get_mut("db1").unwrap().down = false;
        driver.advance(Micros::from_secs(2));
        for session in sessions {
            assert_eq!(driver.finishes[&(node, session)][0].code(), "");
        }
    }
}

/// Guards against a cluster that never gets its first primary.
#[test]
fn the_first_start_promotes_a_primary() {
    let mut driver = Driver::start_unsettled(3, 0);
    driver.advance(Micros::from_secs(12));
    let primaries = driver.databases.values().filter(|database| database.primary).count();
    assert_eq!(primaries, 1, "{}", driver.logs.join("\n"));
    let session = driver.open(0, "kiosk", &[]);
    assert_eq!(driver.query(0, session, "insert into t values (1)").code(), "");
}

/// Guards against a stale read after a write, also through another node with the session token.
#[test]
fn a_read_after_a_write_sees_it_through_another_node() {
    let mut driver = Driver::start(3);
    for name in ["db2", "db3"] {
        driver.databases.get_mut(name).unwrap().lags = true;
    }
    let session = driver.open(0, "kiosk", &[]);
    let finish = driver.query(0, session, "insert into t values (1)");
    let token = finish.token.unwrap();
    let labels = [("cicadawick.token", token.as_str()), ("cicadawick.labels", "kind=aged")];
    let second = driver.open(1, "phone", &labels);
    let finish = driver.query(1, second, "select 1");
    assert_eq!(finish.code(), "");
    assert_eq!(driver.databases_reached_by("select 1"), ["db1"]);
    let forged = driver.open(1, "phone", &[("cicadawick.token", "forged")]);
    let finish = driver.query(1, forged, "show cicadawick.revision");
    assert_eq!(finish.notices.len(), 1);
    assert!(finish.frames.ends_with(b"SHOW\0"));
}

/// Guards against connections, slots and queue entries that outlive their session.
#[test]
fn a_closed_session_releases_everything() {
    let mut driver = Driver::start(2);
    let owner = driver.owner_of("db1");
    for node in [owner, 1 - owner] {
        let idle = driver.open(node, "kiosk", &[]);
        driver.query(node, idle, "begin");
        let busy = driver.open(node, "kiosk", &[]);
        driver.query(node, busy, "begin");
        driver.databases.get_mut("db1").unwrap().service_time = millis(400);
        driver.send(node, busy, "insert into t values (1)");
        driver.advance(millis(5));
        for session in [idle, busy] {
            driver.handle_event(node, NodeEvent::SessionClosed { session });
        }
        driver.advance(Micros::from_secs(3));
        driver.databases.get_mut("db1").unwrap().service_time = millis(2);
        assert_nothing_held(&driver);
    }
    assert_eq!(driver.count_commits("values"), 0);
}

/// Checks that no node holds a request and that no transaction is open.
fn assert_nothing_held(driver: &Driver) {
    for node in 0..driver.nodes.len() {
        let dump = driver.dump(node);
        assert_eq!(dump["forwarded"], 0, "{dump:#}");
        assert_eq!(dump["sessions"]["busy"], 0, "{dump:#}");
        for (name, database) in dump["databases"].as_object().unwrap() {
            for (part, entry) in [
                ("pool", "pinned"),
                ("pool", "busy"),
                ("pool", "waiting"),
                ("pool", "opening"),
                ("queue", "deferred"),
            ] {
                assert_eq!(database[part][entry], 0, "{name} {part} {entry}: {dump:#}");
            }
            for rank in ["urgent", "interactive", "batch"] {
                assert_eq!(database["queue"]["waiting"][rank], 0, "{name}: {dump:#}");
                assert_eq!(database["queue"]["running"][rank], 0, "{name}: {dump:#}");
            }
        }
    }
}

/// Guards against a deadlock between open transactions and requests that wait for their connections.
#[test]
fn open_transactions_leave_connections_for_other_statements() {
    let mut driver = Driver::start(2);
    let node = driver.owner_of("db1");
    let sessions: Vec<SessionId> = (0..12).map(|_| driver.open(node, "kiosk", &[])).collect();
    for session in &sessions {
        driver.send(node, *session, "begin");
    }
    driver.advance(millis(200));
    for session in &sessions {
        if driver.finishes.contains_key(&(node, *session)) {
            driver.query(node, *session, "insert into t values (1)");
            assert_eq!(driver.query(node, *session, "commit").code(), "");
        }
    }
    driver.advance(millis(500));
    for session in &sessions {
        assert_eq!(driver.finishes[&(node, *session)][0].code(), "");
        if driver.finishes[&(node, *session)].len() == 1 {
            assert_eq!(driver.query(node, *session, "commit").code(), "");
        }
    }
    assert_nothing_held(&driver);
}

/// Guards against lost requests and new sessions during a graceful shutdown.
#[test]
fn a_drain_finishes_requests_in_progress() {
    let mut driver = Driver::start(3);
    let node = driver.owner_of("db1");
    let idle = driver.open(node, "kiosk", &[]);
    let busy = driver.open(node, "kiosk", &[]);
    let open = driver.open(node, "kiosk", &[]);
    driver.query(node, open, "begin");
    driver.databases.get_mut("db1").unwrap().service_time = millis(100);
    driver.send(node, busy, "insert into t values (1)");
    driver.advance(millis(20));
    driver.handle_event(node, NodeEvent::DrainRequested);
    let late = driver.open(node, "kiosk", &[]);
    assert_eq!(driver.refused.last().map(|refusal| &*refusal.2.code), Some("57P03"));
    assert!(driver.closed.iter().any(|closed| closed.1 == idle));
    assert!(!driver.finishes.contains_key(&(node, late)));
    let finish = driver.query(node, open, "insert into t values (2)");
    assert_eq!(finish.code(), "");
    assert_eq!(driver.query(node, open, "commit").code(), "");
    driver.advance(Micros::from_secs(2));
    assert_eq!(driver.finishes[&(node, busy)][0].code(), "");
    assert_eq!(driver.count_commits("values"), 2);
    assert_eq!(driver.closed.len(), 3);
    assert_eq!(driver.shut_down, [node]);
    let other = (node + 1) % 3;
    let session = driver.open(other, "kiosk", &[]);
    assert_eq!(driver.query(other, session, "insert into t values (3)").code(), "");
}

/// Guards against activating a lower or malformed revision, and against requests on a leaving backend
/// server.
#[test]
fn configuration_changes_take_effect() {
    let mut driver = Driver::start(2);
    let revision = |driver: &Driver| {
        driver.nodes[0].answer(driver.now, &OperatorQuery::Rollout)["revision"].clone()
    };
    let leaving = fleet_text("").replacen(r#""labels""#, r#""leaving": true, "labels""#, 1);
    deliver_configuration(&mut driver, 3, &leaving);
    deliver_configuration(&mut driver, 2, &fleet_text(""));
    assert_eq!(revision(&driver), 3);
    let session = driver.open(0, "phone", &[("cicadawick.labels", "kind=short")]);
    assert_eq!(driver.query(0, session, "insert into t values (1)").code(), "WK003");
    assert!(driver.databases_reached_by("insert").is_empty());
    deliver_configuration(&mut driver, 4, "{ broken");
    assert_eq!(revision(&driver), 3);
    assert_eq!(driver.dump(0)["rejected"], 4);
    deliver_configuration(&mut driver, 5, &fleet_text(""));
    assert_eq!(revision(&driver), 5);
    assert_eq!(driver.query(0, session, "insert into t values (1)").code(), "");
}

/// Guards against a primary that stays on a leaving backend server, against a write outage longer than
/// the switchover, and against new statements at the leaving server (P7).
#[test]
fn the_primary_moves_away_from_a_leaving_backend() {
    let mut driver = Driver::start(3);
    let session = driver.open(0, "kiosk", &[]);
    assert_eq!(driver.query(0, session, "insert into t values (1)").code(), "");
    let leaving = fleet_text("").replacen(r#""labels""#, r#""leaving": true, "labels""#, 1);
    let start = driver.now;
    deliver_configuration(&mut driver, 3, &leaving);
    let before = driver.databases_reached_by("").iter().filter(|name| *name == "db1").count();
    let finish = driver.query(0, session, "insert into t values (2)");
    assert_eq!(finish.code(), "", "{}", driver.logs.join("\n"));
    let outage = finish.at.saturating_sub(start);
    assert!(outage < Micros::from_secs(3), "the write outage was {outage}");
    let term = |driver: &Driver| driver.databases.values().map(|found| found.term).max();
    assert_eq!(term(&driver), Some(2));
    assert!(!driver.databases["db1"].primary);
    for number in 3..40 {
        let text = format!("insert into t values ({number})");
        assert_eq!(driver.query(0, session, &text).code(), "");
        let aged = driver.open(1, "phone", &[("cicadawick.labels", "kind=aged")]);
        assert_eq!(driver.query(1, aged, "select 1").code(), "");
        driver.advance(millis(500));
    }
    let after = driver.databases_reached_by("").iter().filter(|name| *name == "db1").count();
    assert_eq!(before, after, "new statements at the leaving backend server");
    assert_eq!(term(&driver), Some(2), "the primary moved once");
}

/// Guards against a cluster that needs databases of an earlier list for a failover although the replicas of
/// the new one have caught up.
#[test]
fn a_cluster_fails_over_after_one_of_its_databases_was_replaced() {
    let mut driver = Driver::start(3);
    let session = driver.open(0, "kiosk", &[]);
    assert_eq!(driver.query(0, session, "insert into t values (1)").code(), "");
    let new = driver.databases["db3"].clone();
    driver.databases.insert("db4".to_string(), new);
    let replaced = fleet_text("").replace("db3", "db4").replace("10.0.0.3", "10.0.0.4");
    deliver_configuration(&mut driver, 3, &replaced);
    driver.advance(Micros::from_secs(1));
    driver.crash("db1");
    assert_eq!(driver.query(0, session, "insert into t values (2)").code(), "");
}

/// Guards against two primaries in one term: a database may accept a fence again from the supervisor that holds
/// it, so a restarted process must not be taken for its predecessor, whose promotion it does not know.
#[test]
fn a_restarted_process_fences_under_another_name() {
    let fenced_by = |incarnation| {
        let mut driver = Driver::start_unsettled(1, 1);
        driver.replace_process(0, incarnation);
        driver.advance(Micros::from_secs(5));
        driver.crash("db1");
        driver.advance(Micros::from_secs(5));
        driver.fenced_by[0].clone()
    };
    assert_eq!(fenced_by(1), fenced_by(1));
    assert_ne!(fenced_by(1), fenced_by(2));
}

/// Guards against a promotion that lacks a durable commit because the database that had it was replaced, also
/// at a node that has become an owner by this change.
#[test]
fn a_replaced_database_does_not_take_durable_commits_with_it() {
    let mut driver = Driver::start(3);
    let session = driver.open(0, "kiosk", &[]);
    driver.databases.get_mut("db2").unwrap().frozen = true;
    driver.advance(Micros::from_secs(1));
    assert_eq!(driver.query(0, session, "insert into t values (1)").code(), "");
    let (lagging, complete) = (driver.databases["db2"].received, driver.databases["db1"].received);
    assert!(lagging < complete, "{lagging} {complete}");
    let mut new = driver.databases["db3"].clone();
    (new.term, new.log_term, new.received, new.applied) = (0, 0, 0, 0);
    driver.databases.insert("db4".to_string(), new);
    let replaced = fleet_text("").replace("db3", "db4").replace("10.0.0.3", "10.0.0.4");
    driver.crash("db1");
    driver.databases.get_mut("db2").unwrap().frozen = false;
    deliver_configuration(&mut driver, 3, &replaced);
    driver.advance(Micros::from_secs(13));
    assert!(!driver.databases["db2"].primary && !driver.databases["db4"].primary);
    driver.databases.get_mut("db1").unwrap().down = false;
    driver.advance(Micros::from_secs(13));
    assert!(driver.databases["db1"].primary, "db1 alone has the commit");
    assert_eq!(driver.query(0, session, "insert into t values (2)").code(), "");
}

/// Guards against aborting an open transaction at once because its primary leaves, against a write
/// outage meanwhile, and against a slow transaction that delays the switchover without limit.
#[test]
fn open_transactions_at_a_leaving_backend_may_finish_in_time() {
    let mut driver = Driver::start(3);
    let session = driver.open(0, "kiosk", &[]);
    assert_eq!(driver.query(0, session, "begin").code(), "");
    assert_eq!(driver.query(0, session, "insert into t values (1)").code(), "");
    let slow = driver.open(0, "report", &[]);
    assert_eq!(driver.query(0, slow, "begin").code(), "");
    let leaving = fleet_text("").replacen(r#""labels""#, r#""leaving": true, "labels""#, 1);
    deliver_configuration(&mut driver, 3, &leaving);
    driver.advance(Micros::from_secs(3));
    let other = driver.open(0, "kiosk", &[]);
    assert_eq!(driver.query(0, other, "insert into t values (2)").code(), "");
    assert!(driver.databases["db1"].primary);
    assert_eq!(driver.query(0, session, "insert into t values (3)").code(), "");
    assert_eq!(driver.query(0, session, "commit").code(), "");
    driver.advance(Micros::from_secs(4));
    assert!(!driver.databases["db1"].primary, "the slow transaction kept the primary");
    assert_eq!(driver.query(0, slow, "insert into t values (4)").code(), "WK004");
    assert_eq!(driver.query(0, other, "insert into t values (5)").code(), "");
}

/// Guards against signing tokens with a key that other nodes may not know yet.
#[test]
fn a_new_key_signs_only_after_other_nodes_can_know_it() {
    let mut driver = Driver::start(3);
    let key = |id: u8| route::TokenKey { id: u32::from(id), secret: [id; 32] };
    let only = |id: u8| route::TokenKeys(vec![key(id)]);
    let document = |ids: &[u8]| {
        let keys: Vec<_> = ids
            .iter()
            .map(|id| serde_json::json!({ "id": id, "secret": format!("{id:02x}").repeat(32) }))
            .collect();
        serde_json::to_vec(&keys).unwrap()
    };
    let deliver_keys = |driver: &mut Driver, ids: &[u8]| {
        let revision = u64::from(*ids.iter().max().unwrap());
        let bytes = document(ids).into();
        let document = "token-keys".into();
        driver.handle_event(0, NodeEvent::DocumentArrived { document, revision, bytes });
    };
    let session = driver.open(0, "kiosk", &[]);
    let signed_with = |driver: &mut Driver, id: u8| {
        let finish = driver.query(0, session, "insert into t values (1)");
        route::SessionToken::verify(&finish.token.unwrap(), &only(id)).is_ok()
    };
    assert!(signed_with(&mut driver, 1), "the only key signs at once");
    deliver_keys(&mut driver, &[1, 2]);
    assert!(signed_with(&mut driver, 1));
    driver.advance(Micros::from_secs(19));
    assert!(signed_with(&mut driver, 1));
    driver.advance(Micros::from_secs(1));
    assert!(signed_with(&mut driver, 2));
    deliver_keys(&mut driver, &[3]);
    assert!(signed_with(&mut driver, 3), "the only key signs at once");
}

/// Guards against reads that wait until their deadline for a term that the cluster never reaches, as
/// after a rebuild of the cluster.
#[test]
fn a_required_position_of_an_unknown_term_counts_as_lost() {
    let mut driver = Driver::start(3);
    let keys = route::TokenKeys(vec![route::TokenKey { id: 1, secret: [1; 32] }]);
    let required_position =
        model::RequiredPosition { term: model::Term(99), position: model::LogPosition(5) };
    let required_positions = [("billing".into(), required_position)].into();
    let token = route::SessionToken { required_positions }.sign(&keys).unwrap();
    for node in 0..3 {
        let session = driver.open(node, "phone", &[("cicadawick.token", &token)]);
        let start = driver.now;
        let finish = driver.query(node, session, "select 1");
        assert_eq!((finish.code(), finish.notices.len()), ("", 1), "{finish:?}");
        let wait = finish.at.saturating_sub(start);
        assert!(wait < millis(300), "the read waited {wait}");
        let verified = route::SessionToken::verify(&finish.token.unwrap(), &keys).unwrap();
        assert_eq!(verified.required_positions["billing"].term, model::Term(1));
        assert!(driver.query(node, session, "select 2").notices.is_empty());
    }
}

/// Guards against an explanation that differs from the actual routing.
#[test]
fn explain_names_labels_and_obstacles() {
    let driver = Driver::start(2);
    let query = OperatorQuery::Explain {
        attributes: model::LabelSet::from_pairs([("user", "kiosk")]),
        labels: model::LabelSet::from_pairs([("kind", "aged"), ("town", "oshakati")]),
        cluster: "billing".into(),
    };
    let mut answer = driver.nodes[0].answer(driver.now, &query);
    // The owners depend on a hash function of another crate.
    for name in ["db1", "db2", "db3"] {
        answer["databases"][name]["owner"] = "-".into();
    }
    insta::assert_snapshot!(serde_json::to_string_pretty(&answer).unwrap());
}

/// Guards against session commands that are accepted but not applied, or applied but rejected.
#[test]
fn start_up_and_session_commands_are_checked() {
    let mut driver = Driver::start(2);
    driver.open(0, "phone", &[("work_mem", "1GB")]);
    assert_eq!(&*driver.refused[0].2.code, "42704");
    driver.open(0, "phone", &[("database", "nowhere")]);
    let session = driver.open(0, "kiosk", &[("cicadawick.labels", "kind=aged, town=x")]);
    let shown = driver.query(0, session, "show cicadawick.labels");
    let shown = String::from_utf8_lossy(&shown.frames).to_string();
    assert!(shown.contains("kind=vendor, town=x"), "operators' labels win: {shown}");
    assert_eq!(driver.query(0, session, "set cicadawick.max_age = 'x'").code(), "22023");
    assert_eq!(driver.query(0, session, "set cicadawick.nothing = 1").code(), "42704");
    assert_eq!(driver.query(0, session, "set search_path = x").code(), "0A000");
    assert_eq!(driver.query(0, session, "").frames, b"I\0\0\0\x04");
    let mut unsettled = Driver::start_unsettled(1, 1);
    unsettled.open(0, "phone", &[]);
    assert_eq!(&*unsettled.refused[0].2.code, "57P03");
}

/// Guards against a cancelled request that never ends, or whose answer is lost.
#[test]
fn a_cancelled_request_ends_once() {
    let mut driver = Driver::start(2);
    let owner = driver.owner_of("db1");
    for node in [owner, 1 - owner] {
        driver.databases.get_mut("db1").unwrap().service_time = millis(300);
        let session = driver.open(node, "kiosk", &[]);
        driver.send(node, session, "insert into t values (1)");
        driver.advance(millis(40));
        driver.handle_event(node, NodeEvent::CancelArrived { session });
        driver.advance(millis(500));
        let finishes = &driver.finishes[&(node, session)];
        assert_eq!(finishes.len(), 1);
        assert_eq!(finishes[0].relayed.len(), 1, "the error of the backend server is relayed");
    }
    assert_eq!(driver.count_commits("values"), 0);
}
