//! Replication, terms and faults of fakedb.

#![allow(clippy::unwrap_used)] // Helpers of tests fail like the tests.

mod common;

use std::time::Duration;

use common::{connect, first, rows, try_connect, wait_until};
use fake::fakedb::{DatabaseGroup, DatabaseRole, GroupOptions};

fn start() -> DatabaseGroup {
    let mut options = GroupOptions::new("db", 3);
    options.open_time = Duration::ZERO;
    let group = DatabaseGroup::start(options).unwrap();
    let mut client = connect(group.addresses()[0]);
    client.batch_execute("CREATE TABLE t (id int PRIMARY KEY, v int)").unwrap();
    group
}

fn count(group: &DatabaseGroup, name: &str) -> Option<String> {
    first(&mut connect(group.address(name).unwrap()), "SELECT count(*) FROM t").ok()
}

/// Guards against replicas that apply entries early, refuse reads, accept writes or report wrong
/// positions.
#[test]
fn writes_replicate_with_lag() {
    let group = start();
    let mut primary = connect(group.addresses()[0]);
    let hour = Duration::from_secs(3600);
    wait_until("replicas have the table", || {
        ["db-2", "db-3"].iter().all(|name| count(&group, name).is_some())
    });
    group.set_lag("db-2", Duration::ZERO, hour).unwrap();
    group.set_lag("db-3", hour, Duration::ZERO).unwrap();
    primary.batch_execute("INSERT INTO t VALUES (1, 1)").unwrap();
    let end = group.report("db-1").unwrap();
    assert_eq!(end.applied, end.received);
    wait_until("db-2 received", || group.report("db-2").unwrap().received == end.received);
    let behind = group.report("db-2").unwrap();
    assert!(behind.applied < end.applied);
    assert_eq!(count(&group, "db-2").unwrap(), "0");
    assert_eq!(group.report("db-3").unwrap().received, behind.applied);
    let mut replica = connect(group.addresses()[1]);
    assert_eq!(rows(&mut replica, "INSERT INTO t VALUES (2, 2)").unwrap_err(), "25006");
    let report = rows(&mut replica, "SELECT * FROM cicadawick_report()").unwrap();
    let expected = [
        "1".to_string(),
        "replica".to_string(),
        "1".to_string(),
        end.received.to_string(),
        behind.applied.to_string(),
        "0".to_string(),
        "0".to_string(),
    ];
    assert_eq!(report, vec![expected.map(Some).to_vec()]);
    group.set_lag("db-2", Duration::ZERO, Duration::ZERO).unwrap();
    group.set_lag("db-3", Duration::ZERO, Duration::ZERO).unwrap();
    wait_until("both applied", || {
        ["db-2", "db-3"].iter().all(|name| count(&group, name).as_deref() == Some("1"))
    });
    group.disconnect_replication("db-2").unwrap();
    primary.batch_execute("INSERT INTO t VALUES (2, 2)").unwrap();
    let next = group.report("db-1").unwrap().received;
    wait_until("db-3 received", || group.report("db-3").unwrap().received == next);
    assert_eq!(group.report("db-2").unwrap().received, end.received);
    group.reconnect_replication("db-2").unwrap();
    wait_until("db-2 caught up", || group.report("db-2").unwrap().applied == next);
}

/// Guards against an old primary that cannot diverge. While cut off, it must accept commits of its old
/// term, and it must discard them when it follows the new primary.
#[test]
fn divergent_primary_is_fenced_and_follows() {
    let group = start();
    let mut old = connect(group.addresses()[0]);
    old.batch_execute("INSERT INTO t VALUES (1, 1)").unwrap();
    let shared = group.report("db-1").unwrap().received;
    wait_until("replicas received", || {
        ["db-2", "db-3"].iter().all(|name| group.report(name).unwrap().received == shared)
    });
    group.disconnect_replication("db-1").unwrap();
    old.batch_execute("INSERT INTO t VALUES (2, 2)").unwrap();
    let mut second = connect(group.addresses()[1]);
    let mut third = connect(group.addresses()[2]);
    for client in [&mut second, &mut third] {
        let row = rows(client, "SELECT * FROM cicadawick_fence(2, 's1')").unwrap().remove(0);
        let texts: Vec<&str> = row.iter().map(|field| field.as_deref().unwrap()).collect();
        assert_eq!(texts[..4], ["t", "2", "replica", "1"]);
        assert_eq!(texts[4], shared.to_string());
    }
    assert_eq!(first(&mut second, "SELECT * FROM cicadawick_fence(2, 's1')").unwrap(), "t");
    assert_eq!(first(&mut second, "SELECT * FROM cicadawick_fence(2, 's2')").unwrap(), "f");
    assert_eq!(first(&mut second, "SELECT * FROM cicadawick_fence(1, 's1')").unwrap(), "f");
    assert_eq!(rows(&mut second, "SELECT cicadawick_promote(3)").unwrap_err(), "55000");
    for _ in 0..2 {
        let start = first(&mut second, "SELECT cicadawick_promote(2)").unwrap();
        assert_eq!(start, shared.to_string());
    }
    assert_eq!(first(&mut third, "SELECT cicadawick_follow(2, 'db-2')").unwrap(), "t");
    assert_eq!(rows(&mut third, "SELECT cicadawick_promote(2)").unwrap_err(), "55000");
    second.batch_execute("INSERT INTO t VALUES (3, 3)").unwrap();
    let report = group.report("db-2").unwrap();
    assert_eq!((report.term, report.log_term, report.term_start), (2, 2, shared));
    assert_eq!(report.previous_term, 1);
    wait_until("db-3 follows", || group.report("db-3").unwrap().received == report.received);

    // The old primary is reconnected and still believes that it leads.
    group.reconnect_replication("db-1").unwrap();
    old.batch_execute("INSERT INTO t VALUES (4, 4)").unwrap();
    assert_eq!(group.report("db-1").unwrap().role, DatabaseRole::Primary);
    assert_eq!(group.primary().unwrap(), "db-2");
    old.batch_execute("BEGIN; INSERT INTO t VALUES (5, 5)").unwrap();
    let mut admin = connect(group.addresses()[0]);
    assert_eq!(first(&mut admin, "SELECT * FROM cicadawick_fence(2, 's1')").unwrap(), "t");
    assert_eq!(rows(&mut old, "COMMIT").unwrap_err(), "25006");
    assert_eq!(rows(&mut old, "INSERT INTO t VALUES (6, 6)").unwrap_err(), "25006");
    // A fenced database still holds its own log, which its log term shows.
    let fenced = group.report("db-1").unwrap();
    assert_eq!((fenced.term, fenced.log_term), (2, 1));
    assert!(fenced.received > report.received);
    assert_eq!(first(&mut admin, "SELECT cicadawick_follow(2, 'db-2')").unwrap(), "t");
    wait_until("db-1 follows", || {
        let own = group.report("db-1").unwrap();
        (own.log_term, own.applied) == (2, report.received)
    });
    let ids = rows(&mut admin, "SELECT id FROM t").unwrap();
    assert_eq!(ids, vec![vec![Some("1".to_string())], vec![Some("3".to_string())]]);
    let content = group.table("t").unwrap();
    assert_eq!(content.columns, ["id", "v"]);
    assert_eq!(content.rows.len(), 2);
}

/// Guards against a restart that loses the term, the fence or committed data, or that keeps open
/// transactions.
#[test]
fn restart_keeps_the_persistent_state() {
    let group = start();
    let address = group.addresses()[0];
    let mut client = connect(address);
    client.batch_execute("INSERT INTO t VALUES (1, 1)").unwrap();
    client.batch_execute("BEGIN; INSERT INTO t VALUES (2, 2)").unwrap();
    let before = group.report("db-1").unwrap();
    group.kill("db-1").unwrap();
    assert_eq!(rows(&mut client, "COMMIT").unwrap_err(), "closed");
    assert!(try_connect(address).is_err());
    group.restart("db-1").unwrap();
    assert_eq!(group.report("db-1").unwrap(), before);
    let mut client = connect(address);
    assert_eq!(first(&mut client, "SELECT count(*) FROM t").unwrap(), "1");
    assert_eq!(first(&mut client, "SELECT * FROM cicadawick_fence(5, 's')").unwrap(), "t");
    group.kill("db-1").unwrap();
    group.restart("db-1").unwrap();
    let mut client = connect(address);
    assert_eq!(rows(&mut client, "INSERT INTO t VALUES (3, 3)").unwrap_err(), "25006");
    assert_eq!(first(&mut client, "SELECT * FROM cicadawick_fence(5, 's')").unwrap(), "t");
    assert_eq!(
        first(&mut client, "SELECT cicadawick_promote(5)").unwrap(),
        before.received.to_string()
    );
    client.batch_execute("INSERT INTO t VALUES (3, 3)").unwrap();
}

/// Guards against a frozen database that refuses connections, answers, or loses a waiting statement.
#[test]
fn frozen_database_does_not_answer() {
    let group = start();
    let address = group.addresses()[0];
    let mut client = connect(address);
    group.freeze("db-1").unwrap();
    drop(std::net::TcpStream::connect(address).unwrap());
    let (sender, receiver) = std::sync::mpsc::channel();
    let writer = std::thread::spawn(move || {
        let result = client.batch_execute("INSERT INTO t VALUES (1, 1)");
        sender.send(result.is_ok()).unwrap();
        client
    });
    assert!(receiver.recv_timeout(Duration::from_millis(50)).is_err());
    group.thaw("db-1").unwrap();
    assert!(receiver.recv_timeout(Duration::from_secs(10)).unwrap());
    let mut client = writer.join().unwrap();
    assert_eq!(first(&mut client, "SELECT count(*) FROM t").unwrap(), "1");
}

/// Guards against a control port whose effects differ from those of the library calls.
#[test]
fn control_port_matches_the_library_calls() {
    let group = start();
    let url = format!("http://{}", group.control_address());
    let post = |path: &str, body: &str| {
        let response = ureq::post(format!("{url}{path}")).send(body).unwrap();
        let text = response.into_body().read_to_string().unwrap();
        serde_json::from_str::<serde_json::Value>(&text).unwrap()
    };
    let state = post("/databases/db-2/set", r#"{"apply_ms": 250, "slots": 7}"#);
    assert_eq!((state["apply_ms"].as_f64(), state["slot_limit"].as_u64()), (Some(250.0), Some(7)));
    assert_eq!(post("/databases/db-3/kill", "")["alive"], false);
    assert!(try_connect(group.addresses()[2]).is_err());
    assert_eq!(post("/databases/db-3/restart", "")["alive"], true);
    let text = ureq::get(format!("{url}/tables/t")).call().unwrap();
    let text = text.into_body().read_to_string().unwrap();
    assert_eq!(text, r#"{"columns":["id","v"],"rows":[]}"#);
    assert!(ureq::post(format!("{url}/databases/db-9/kill")).send_empty().is_err());
}
