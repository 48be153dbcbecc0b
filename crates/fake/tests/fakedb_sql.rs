//! Protocol, SQL subset, isolation and limits of fakedb.

#![allow(clippy::unwrap_used)] // Helpers of tests fail like the tests.

mod common;

use std::time::{Duration, Instant};

use common::{code, connect, first, rows, try_connect, wait_until};
use fake::fakedb::{DatabaseGroup, GroupOptions};

fn start(count: usize) -> DatabaseGroup {
    let mut options = GroupOptions::new("db", count);
    options.open_time = Duration::ZERO;
    DatabaseGroup::start(options).unwrap()
}

/// Guards against a client library that cannot prepare, bind binary parameters or read results.
#[test]
fn extended_protocol_with_parameters() {
    let group = start(1);
    let mut client = connect(group.addresses()[0]);
    client
        .batch_execute(
            "CREATE TABLE IF NOT EXISTS t (id bigint PRIMARY KEY, small int, name text UNIQUE, \
             ok boolean DEFAULT true, at timestamptz DEFAULT now(), raw bytea)",
        )
        .unwrap();
    let inserted = client
        .execute(
            "INSERT INTO t (id, small, name, raw) VALUES ($1, $2, $3, $4), (7, 8, 'x', NULL)",
            &[&5i64, &6i32, &"it's", &[1u8, 255].as_slice()],
        )
        .unwrap();
    assert_eq!(inserted, 2);
    let row = client.query_one("SELECT * FROM t WHERE id = $1 AND small = $2", &[&5i64, &6i32]);
    let row = row.unwrap();
    assert_eq!(row.get::<_, i64>("id"), 5);
    assert_eq!(row.get::<_, i32>("small"), 6);
    assert_eq!(row.get::<_, &str>("name"), "it's");
    assert!(row.get::<_, bool>("ok"));
    assert_eq!(row.get::<_, Vec<u8>>("raw"), vec![1, 255]);
    let age = row.get::<_, std::time::SystemTime>("at").elapsed().unwrap();
    assert!(age < Duration::from_secs(10), "stored time is {age:?} old");
    let sum = client.query_one("SELECT count(*), sum(small), max(id) FROM t", &[]).unwrap();
    assert_eq!((sum.get::<_, i64>(0), sum.get::<_, i64>(1), sum.get::<_, i64>(2)), (2, 14, 7));
    let returned = client
        .query_one("UPDATE t SET small = small + $1 WHERE name = $2 RETURNING small", &[&10, &"x"])
        .unwrap();
    assert_eq!(returned.get::<_, i32>(0), 18);
    let skipped = client
        .execute("INSERT INTO t (id, name) VALUES ($1, 'new') ON CONFLICT DO NOTHING", &[&5i64])
        .unwrap();
    assert_eq!(skipped, 0);
    let error = client.execute("INSERT INTO t (id, name) VALUES (9, 'x')", &[]).unwrap_err();
    assert_eq!(code(&error), "23505");
    assert_eq!(client.query("SELECT id FROM t ORDER BY id DESC LIMIT 1", &[]).unwrap().len(), 1);
    let old = "DELETE FROM t WHERE at < now() - interval '7 days'";
    assert_eq!(client.execute(old, &[]).unwrap(), 0);
    assert_eq!(client.execute("DELETE FROM t WHERE id IN (5, 7)", &[]).unwrap(), 2);
    let error = client.query("SELECT * FROM missing", &[]).unwrap_err();
    assert_eq!(code(&error), "42P01");
}

/// Guards against large results that are truncated, including those fetched in portions.
#[test]
fn large_results() {
    let group = start(1);
    let mut client = connect(group.addresses()[0]);
    let all = client.query("SELECT generate_series(1, 200000)", &[]).unwrap();
    assert_eq!(all.len(), 200_000);
    assert_eq!(all.last().unwrap().get::<_, i32>(0), 200_000);
    let mut transaction = client.transaction().unwrap();
    let portal = transaction.bind("SELECT * FROM generate_series(1, 10)", &[]).unwrap();
    assert_eq!(transaction.query_portal(&portal, 4).unwrap().len(), 4);
    assert_eq!(transaction.query_portal(&portal, 0).unwrap().len(), 6);
}

/// Guards against transactions that are not isolated or atomic: uncommitted rows are invisible, a failed
/// transaction executes nothing more, and a script is one transaction.
#[test]
fn transactions_isolate() {
    let group = start(1);
    let mut writer = connect(group.addresses()[0]);
    let mut reader = connect(group.addresses()[0]);
    writer.batch_execute("CREATE TABLE t (id int PRIMARY KEY, v int)").unwrap();
    writer.batch_execute("BEGIN; INSERT INTO t VALUES (1, 1)").unwrap();
    assert_eq!(first(&mut writer, "SELECT count(*) FROM t").unwrap(), "1");
    assert_eq!(first(&mut reader, "SELECT count(*) FROM t").unwrap(), "0");
    assert_eq!(
        writer.batch_execute("SELECT bad FROM t").unwrap_err().code().unwrap().code(),
        "42703"
    );
    assert_eq!(rows(&mut writer, "SELECT 1").unwrap_err(), "25P02");
    writer.batch_execute("COMMIT").unwrap();
    assert_eq!(first(&mut reader, "SELECT count(*) FROM t").unwrap(), "0");

    let script = "INSERT INTO t VALUES (1, 1); INSERT INTO t VALUES (1, 2)";
    assert_eq!(rows(&mut writer, script).unwrap_err(), "23505");
    assert_eq!(first(&mut reader, "SELECT count(*) FROM t").unwrap(), "0");

    writer.batch_execute("INSERT INTO t VALUES (1, 1); INSERT INTO t VALUES (2, 2)").unwrap();
    assert_eq!(first(&mut reader, "SELECT sum(v) FROM t").unwrap(), "3");
    writer.batch_execute("BEGIN READ ONLY").unwrap();
    assert_eq!(rows(&mut writer, "DELETE FROM t").unwrap_err(), "25006");
    writer.batch_execute("ROLLBACK; BEGIN; DELETE FROM t WHERE id = 1; ROLLBACK").unwrap();
    assert_eq!(first(&mut reader, "SELECT count(*) FROM t").unwrap(), "2");
}

/// Guards against lost updates. A second writer of a row waits and then adds to the committed value;
/// closing the first connection rolls its transaction back and releases its locks.
#[test]
fn row_locks() {
    let group = start(1);
    let address = group.addresses()[0];
    group.set_limits("db-1", 10, 1).unwrap();
    let mut first_writer = connect(address);
    first_writer.batch_execute("CREATE TABLE t (id int PRIMARY KEY, v int)").unwrap();
    first_writer.batch_execute("INSERT INTO t VALUES (1, 0), (2, 0)").unwrap();
    first_writer.batch_execute("BEGIN; UPDATE t SET v = v + 1 WHERE id = 1").unwrap();
    let update = |sql: &'static str| {
        std::thread::spawn(move || {
            let mut client = connect(address);
            client.batch_execute(sql).map_err(|error| code(&error))
        })
    };
    let statements = group.counters("db-1").unwrap().statements;
    let waiting = update("UPDATE t SET v = v + 10 WHERE id = 1");
    wait_until("the second writer runs", || {
        group.counters("db-1").unwrap().statements > statements
    });
    // The only slot is free for others while the second writer waits for the lock.
    first_writer.batch_execute("UPDATE t SET v = v + 1 WHERE id = 2; COMMIT").unwrap();
    waiting.join().unwrap().unwrap();
    assert_eq!(first(&mut first_writer, "SELECT v FROM t WHERE id = 1").unwrap(), "11");

    first_writer.batch_execute("BEGIN; INSERT INTO t VALUES (3, 0)").unwrap();
    let statements = group.counters("db-1").unwrap().statements;
    let waiting = update("INSERT INTO t VALUES (3, 5)");
    wait_until("the second insert runs", || {
        group.counters("db-1").unwrap().statements > statements
    });
    drop(first_writer);
    waiting.join().unwrap().unwrap();
    assert_eq!(first(&mut connect(address), "SELECT v FROM t WHERE id = 3").unwrap(), "5");
}

/// Guards against transactions that read or overwrite a part of another one: concurrent transfers keep
/// the sum, and readers always see it unchanged.
#[test]
fn concurrent_transfers_keep_the_sum() {
    let group = start(2);
    let address = group.addresses()[0];
    let mut client = connect(address);
    client.batch_execute("CREATE TABLE t (id int PRIMARY KEY, v int)").unwrap();
    client.batch_execute("INSERT INTO t VALUES (0, 100), (1, 100), (2, 100), (3, 100)").unwrap();
    let writers: Vec<_> = (0..4i32)
        .map(|number| {
            std::thread::spawn(move || {
                let mut client = connect(address);
                let mut committed = 0;
                for round in 0..100i32 {
                    let (from, to) = ((number + round) % 4, (number * 3 + round * 7 + 1) % 4);
                    let script = format!(
                        "BEGIN; UPDATE t SET v = v - 1 WHERE id = {from}; \
                         UPDATE t SET v = v + 1 WHERE id = {to}; {}",
                        if round % 5 == 0 { "ROLLBACK" } else { "COMMIT" }
                    );
                    match client.batch_execute(&script) {
                        Ok(()) => committed += 1,
                        Err(error) => {
                            assert_eq!(code(&error), "40P01");
                            client.batch_execute("ROLLBACK").unwrap();
                        }
                    }
                }
                committed
            })
        })
        .collect();
    let mut replica = connect(group.addresses()[1]);
    wait_until("the replica has the rows", || {
        first(&mut replica, "SELECT sum(v) FROM t").is_ok_and(|sum| sum == "400")
    });
    while !writers.iter().all(|writer| writer.is_finished()) {
        assert_eq!(first(&mut client, "SELECT sum(v) FROM t").unwrap(), "400");
        assert_eq!(first(&mut replica, "SELECT sum(v) FROM t").unwrap(), "400");
    }
    let committed: u32 = writers.into_iter().map(|writer| writer.join().unwrap()).sum();
    assert!(committed > 0);
    assert_eq!(first(&mut client, "SELECT sum(v) FROM t").unwrap(), "400");
}

/// Guards against transactions that wait for each other forever.
#[test]
fn deadlock_is_reported() {
    let group = start(1);
    let address = group.addresses()[0];
    let mut left = connect(address);
    left.batch_execute("CREATE TABLE t (id int PRIMARY KEY, v int)").unwrap();
    left.batch_execute("INSERT INTO t VALUES (1, 0), (2, 0)").unwrap();
    left.batch_execute("BEGIN; UPDATE t SET v = 1 WHERE id = 1").unwrap();
    let other = std::thread::spawn(move || {
        let mut right = connect(address);
        right.batch_execute("BEGIN; UPDATE t SET v = 2 WHERE id = 2").unwrap();
        let result = right.batch_execute("UPDATE t SET v = 2 WHERE id = 1");
        result.map_err(|error| code(&error))
    });
    wait_until("the other transaction holds its row", || {
        group.counters("db-1").unwrap().statements >= 7
    });
    let own = left.batch_execute("UPDATE t SET v = 1 WHERE id = 2").map_err(|error| code(&error));
    left.batch_execute("ROLLBACK").unwrap();
    let results = [own, other.join().unwrap()];
    let deadlocks = results.iter().filter(|result| **result == Err("40P01".to_string())).count();
    assert_eq!(deadlocks, 1, "{results:?}");
}

/// Guards against a database that accepts more connections or statements than its limits allow.
#[test]
fn connection_and_slot_limits() {
    let group = start(1);
    let address = group.addresses()[0];
    group.set_limits("db-1", 4, 2).unwrap();
    let clients: Vec<_> = (0..4).map(|_| connect(address)).collect();
    assert_eq!(code(&try_connect(address).err().unwrap()), "53300");
    let sleepers: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            std::thread::spawn(move || client.batch_execute("SELECT pg_sleep(0.05)").unwrap())
        })
        .collect();
    for sleeper in sleepers {
        sleeper.join().unwrap();
    }
    let counters = group.counters("db-1").unwrap();
    assert_eq!(counters.slots_highest, 2);
    assert_eq!((counters.connections_highest, counters.connections_refused), (4, 1));
    wait_until("the connections are gone", || group.counters("db-1").unwrap().connections == 0);

    group.set_open_time("db-1", Duration::from_millis(30)).unwrap();
    group.set_service_time("db-1", Duration::from_millis(300)).unwrap();
    let start = Instant::now();
    let mut client = connect(address);
    client.batch_execute("SELECT 1").unwrap();
    assert!(start.elapsed() >= Duration::from_millis(330));
    let start = Instant::now();
    client.batch_execute("/*service_ms=0*/ SELECT 1").unwrap();
    assert!(start.elapsed() < Duration::from_millis(300));
}

/// Guards against cancel requests that are lost or that leave a slot busy.
#[test]
fn cancel_ends_a_statement() {
    let group = start(1);
    let mut client = connect(group.addresses()[0]);
    let token = client.cancel_token();
    let running = std::thread::spawn(move || {
        let error = client.batch_execute("SELECT pg_sleep(60)").unwrap_err();
        (client, code(&error))
    });
    wait_until("the statement runs", || group.counters("db-1").unwrap().slots_busy == 1);
    token.cancel_query(postgres::NoTls).unwrap();
    let (mut client, code) = running.join().unwrap();
    assert_eq!(code, "57014");
    assert_eq!(first(&mut client, "SELECT 1").unwrap(), "1");
    assert_eq!(group.counters("db-1").unwrap().slots_busy, 0);
}

/// Guards against a fake that is too slow for measuring the latency that a proxy adds.
#[test]
fn trivial_select_is_fast() {
    let group = start(1);
    let mut client = connect(group.addresses()[0]);
    let mut times: Vec<Duration> = (0..2000)
        .map(|_| {
            let start = Instant::now();
            client.simple_query("SELECT 1").unwrap();
            start.elapsed()
        })
        .collect();
    times.sort();
    println!("trivial select: p50 {:?}, p99 {:?}", times[1000], times[1980]);
    // The time includes the client library and is longer on a busy machine, hence the wide bound.
    assert!(times[1000] < Duration::from_millis(2), "p50 {:?}", times[1000]);
}
