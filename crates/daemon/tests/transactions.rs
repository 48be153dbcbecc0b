//! Transactions are isolated and release their resources; each client gets its own complete answers.

#![allow(clippy::unwrap_used)]

mod common;
mod sessions;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use common::{ProxyProcess, rows, wait_until};
use fake::faultproxy::Direction;
use postgres::Client;
use sessions::{FleetSetup, RawClient, RequestOutcome, SessionFleet, StopGuard, run};

/// Starts a fleet whose primary allows few connections.
fn start_fleet(proxies: usize) -> SessionFleet {
    let mut setup = FleetSetup::new(proxies);
    (setup.group.slots, setup.group.connections) = (2, 10);
    SessionFleet::start(setup)
}

/// Returns the index of the proxy that owns the primary.
fn owner_index(fleet: &SessionFleet) -> usize {
    let owns =
        |proxy: &ProxyProcess| proxy.get("/v1/dump")["databases"]["billing-1"]["owned"] == true;
    fleet.proxies.iter().position(owns).unwrap()
}

/// Waits until no connection is pinned or busy at any proxy and the primary runs nothing.
fn wait_until_released(fleet: &SessionFleet) {
    wait_until("connections and slots are released", || {
        let pools_free = fleet.proxies.iter().all(|proxy| {
            let dump = proxy.get("/v1/dump");
            let pool = &dump["databases"]["billing-1"]["pool"];
            pool.is_null() || (pool["pinned"] == 0 && pool["busy"] == 0)
        });
        let counters = fleet.group.counters("billing-1").unwrap();
        pools_free && counters.slots_busy == 0 && counters.waiting == 0
    });
}

#[test]
fn interleaved_transactions_are_not_mixed() {
    const SESSIONS: usize = 24;
    const ROUNDS: usize = 10;
    let fleet = start_fleet(2);
    let mut client = fleet.proxies[0].connect();
    client.batch_execute("CREATE TABLE entries (tag text, step bigint)").unwrap();
    let expected = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for session in 0..SESSIONS {
            let (fleet, expected) = (&fleet, &expected);
            scope.spawn(move || {
                let mut client = fleet.proxies[session % 2].connect();
                for round in 0..ROUNDS {
                    let tag = format!("s{session}-r{round}");
                    let steps = 1 + (session + round) % 4;
                    client.batch_execute("BEGIN").unwrap();
                    for step in 0..steps {
                        let insert = format!("INSERT INTO entries VALUES ('{tag}', {step})");
                        client.batch_execute(&insert).unwrap();
                        // The session sees its own rows so far, and none of another open transaction.
                        let select = format!("SELECT step FROM entries WHERE tag = '{tag}'");
                        assert_eq!(rows(&mut client, &select).unwrap().len(), step + 1, "{tag}");
                    }
                    let commits = (session * 7 + round * 3) % 3 != 0;
                    client.batch_execute(if commits { "COMMIT" } else { "ROLLBACK" }).unwrap();
                    expected.lock().unwrap().insert(tag, if commits { steps } else { 0 });
                }
            });
        }
    });
    let mut found: BTreeMap<String, usize> = BTreeMap::new();
    for row in fleet.group.table("entries").unwrap().rows {
        *found.entry(row[0].clone().unwrap()).or_default() += 1;
    }
    let expected = expected.into_inner().unwrap();
    assert_eq!(expected.len(), SESSIONS * ROUNDS);
    for (tag, count) in &expected {
        assert_eq!(found.get(tag).copied().unwrap_or(0), *count, "{tag}");
    }
    let counters = fleet.group.counters("billing-1").unwrap();
    assert_eq!(counters.connections_refused, 0);
    assert!(counters.connections_highest <= 10 && counters.slots_highest <= 2, "{counters:?}");
    wait_until_released(&fleet);
    println!(
        "{} transactions of {SESSIONS} sessions over at most {} connections",
        expected.len(),
        counters.connections_highest
    );
}

/// Opens a transaction that holds the lock of one row.
fn lock_row(proxy: &ProxyProcess, id: i64) -> Client {
    let mut client = proxy.connect();
    client.batch_execute("BEGIN").unwrap();
    let update = format!("UPDATE meters SET n = -1 WHERE id = {id}");
    assert_eq!(run(&mut client, &update), RequestOutcome::Done(1));
    client
}

fn kill_during_transactions(kills_owner: bool) {
    let mut fleet = start_fleet(3);
    let mut client = fleet.proxies[0].connect();
    client.batch_execute("CREATE TABLE meters (id bigint, n bigint)").unwrap();
    client.batch_execute("INSERT INTO meters VALUES (1, 0), (2, 0), (3, 0)").unwrap();
    let owner = owner_index(&fleet);
    let at = if kills_owner { owner } else { (owner + 1) % 3 };
    let entry = &fleet.proxies[(owner + 1) % 3];
    let mut holders: Vec<Client> = (1..=3).map(|id| lock_row(entry, id)).collect();
    let mut proxy = fleet.proxies.remove(at);
    proxy.signal("-KILL");
    proxy.wait();
    for proxy in &fleet.proxies {
        let mut client = proxy.connect();
        for id in 1..=3 {
            wait_until("the row's lock is released", || {
                let update = format!("UPDATE meters SET n = n + 1 WHERE id = {id}");
                run(&mut client, &update) == RequestOutcome::Done(1)
            });
        }
    }
    wait_until_released(&fleet);
    for row in fleet.group.table("meters").unwrap().rows {
        assert_eq!(row[1].as_deref(), Some("2"), "an update of the ended transactions is left");
    }
    // The clients get an error, because their transactions have been rolled back.
    for client in &mut holders {
        let answer = run(client, "COMMIT");
        let RequestOutcome::Error(code) = &answer else {
            panic!("COMMIT after the kill: {answer:?}")
        };
        assert!(code == "closed" || code == "WK004", "{code}");
    }
}

#[test]
fn killed_entry_proxy_leaves_no_transaction_behind() {
    kill_during_transactions(false);
}

#[test]
fn killed_owner_leaves_no_transaction_behind() {
    kill_during_transactions(true);
}

#[test]
fn disconnected_client_releases_its_resources() {
    let fleet = start_fleet(2);
    let mut client = fleet.proxies[0].connect();
    client.batch_execute("CREATE TABLE meters (id bigint, n bigint)").unwrap();
    client.batch_execute("INSERT INTO meters VALUES (1, 0)").unwrap();
    for proxy in &fleet.proxies {
        drop(lock_row(proxy, 1));
        // More statements than slots, whose clients disconnect while they run or wait.
        let mut disconnecting: Vec<RawClient> = (0..5).map(|_| RawClient::open(proxy)).collect();
        for raw_client in &mut disconnecting {
            raw_client.query("SELECT pg_sleep(30)");
        }
        wait_until("the slots are taken", || {
            fleet.group.counters("billing-1").unwrap().slots_busy == 2
        });
        drop(disconnecting);
        let update = "UPDATE meters SET n = n + 1 WHERE id = 1";
        assert_eq!(run(&mut client, update), RequestOutcome::Done(1));
        wait_until_released(&fleet);
    }
    assert_eq!(fleet.group.table("meters").unwrap().rows[0][1].as_deref(), Some("2"));
}

#[test]
fn cancel_ends_only_its_own_statement() {
    let fleet = start_fleet(2);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _stop = StopGuard(&stop);
        let others: Vec<_> = (0..4)
            .map(|number| {
                let (proxy, stop) = (&fleet.proxies[number % 2], &stop);
                scope.spawn(move || {
                    let mut client = proxy.connect();
                    let mut count = 0;
                    while !stop.load(Ordering::SeqCst) {
                        assert_eq!(
                            run(&mut client, "SELECT pg_sleep(0.003)"),
                            RequestOutcome::Done(1)
                        );
                        count += 1;
                    }
                    count
                })
            })
            .collect();
        let (mut cancelled, mut finished) = (0, 0);
        for number in 0..60u64 {
            let mut client = fleet.proxies[number as usize % 2].connect();
            let token = client.cancel_token();
            // The cancel request arrives while the statement is queued, running, ending or complete.
            let canceller = std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(number % 12));
                token.cancel_query(postgres::NoTls).unwrap();
            });
            match run(&mut client, "SELECT pg_sleep(0.005)") {
                RequestOutcome::Done(_) => finished += 1,
                RequestOutcome::Error(code) => {
                    assert_eq!(code, "57014");
                    cancelled += 1;
                }
            }
            canceller.join().unwrap();
        }
        stop.store(true, Ordering::SeqCst);
        let undisturbed: u64 = others.into_iter().map(|other| other.join().unwrap()).sum();
        println!("{cancelled} cancelled, {finished} finished, {undisturbed} others undisturbed");
        assert!(cancelled > 0 && undisturbed > 0);
    });
}

/// Returns extended requests and simple queries, each with its number.
fn numbered_requests() -> BytesMut {
    let mut input = BytesMut::new();
    for number in 0..12 {
        pg::put_parse(&mut input, "", &format!("SELECT {number}, $1"), &[]);
        // Bind with one text parameter, Describe of the portal, Execute, Sync.
        let value = format!("p{number}");
        let length = 4 + 1 + 1 + 2 + 2 + 4 + value.len() + 2;
        input.extend_from_slice(b"B");
        input.extend_from_slice(&(length as u32).to_be_bytes());
        input.extend_from_slice(b"\0\0\0\0\0\x01");
        input.extend_from_slice(&(value.len() as u32).to_be_bytes());
        input.extend_from_slice(value.as_bytes());
        input.extend_from_slice(b"\0\0D\0\0\0\x06P\0E\0\0\0\x09\0\0\0\0\0S\0\0\0\x04");
        pg::put_query(&mut input, &format!("SELECT {number} + 100"));
    }
    input
}

#[test]
fn messages_split_at_any_byte_get_the_same_answers() {
    let fleet = start_fleet(2);
    let input = numbered_requests();
    for proxy in &fleet.proxies {
        let mut answers = Vec::new();
        for chunk in [input.len(), 1, 2, 3, 5, 7, 64] {
            let mut raw_client = RawClient::open(proxy);
            for part in input.chunks(chunk) {
                raw_client.stream.write_all(part).unwrap();
            }
            let transcript: Vec<String> = (0..24).map(|_| raw_client.transcript()).collect();
            answers.push(transcript);
        }
        for number in 0..12 {
            let extended = &answers[0][2 * number];
            let row = format!("row [Some(\"{number}\"), Some(\"p{number}\")]");
            assert!(extended.contains(&row), "request {number}: {extended}");
            let row = format!("row [Some(\"{}\")]", number + 100);
            assert!(answers[0][2 * number + 1].contains(&row), "{:?}", answers[0]);
        }
        assert!(answers.iter().all(|other| *other == answers[0]), "{answers:?}");
    }
}

#[test]
fn unnamed_statement_of_another_session_is_not_run() {
    let mut setup = FleetSetup::new(1);
    (setup.group.slots, setup.group.connections) = (1, 4);
    let fleet = SessionFleet::start(setup);
    let proxy = &fleet.proxies[0];
    proxy.connect().batch_execute("CREATE TABLE meters (id bigint)").unwrap();
    // The first session's unnamed statement stays on the connection that both sessions use.
    let mut first = RawClient::open(proxy);
    let mut input = BytesMut::new();
    pg::put_parse(&mut input, "", "INSERT INTO meters VALUES (1)", &[]);
    input.extend_from_slice(b"B\0\0\0\x0c\0\0\0\0\0\0\0\0E\0\0\0\x09\0\0\0\0\0S\0\0\0\x04");
    first.stream.write_all(&input).unwrap();
    assert!(first.transcript().ends_with("complete INSERT 0 1\nready I"));
    let mut second = RawClient::open(proxy);
    let mut input = BytesMut::new();
    pg::put_parse(&mut input, "own", "INSERT INTO meters VALUES (2)", &[]);
    input.extend_from_slice(b"B\0\0\0\x0c\0\0\0\0\0\0\0\0E\0\0\0\x09\0\0\0\0\0S\0\0\0\x04");
    second.stream.write_all(&input).unwrap();
    let transcript = second.transcript();
    assert!(transcript.contains("ERROR 26000"), "{transcript}");
    assert_eq!(fleet.group.table("meters").unwrap().rows.len(), 1);
}

/// Number of 1 KB rows that [`fill_readings`] inserts.
const READINGS: usize = 24_000;

fn fill_readings(fleet: &SessionFleet) {
    let mut client = fleet.connect_directly("billing-1");
    client.batch_execute("CREATE TABLE readings (id bigint, note text)").unwrap();
    let note = "n".repeat(1_000);
    for batch in 0..READINGS / 500 {
        let values: Vec<String> =
            (0..500).map(|id| format!("({}, '{note}')", batch * 500 + id)).collect();
        let insert = format!("INSERT INTO readings VALUES {}", values.join(", "));
        client.batch_execute(&insert).unwrap();
    }
}

#[test]
fn large_answer_to_a_slow_reader_is_complete_and_bounded() {
    let fleet = SessionFleet::start(FleetSetup::new(2));
    fill_readings(&fleet);
    for proxy in &fleet.proxies {
        let mut raw_client = RawClient::open(proxy);
        let before = proxy.resident_bytes();
        raw_client.query("SELECT id, note FROM readings");
        let (mut received, mut highest) = (Vec::new(), 0);
        let mut buffer = vec![0; 256 * 1024];
        while !received.ends_with(b"Z\0\0\0\x05I") {
            let count = raw_client.stream.read(&mut buffer).unwrap();
            assert!(count > 0, "the answer ended after {} bytes", received.len());
            received.extend_from_slice(&buffer[..count]);
            highest = highest.max(proxy.resident_bytes());
            std::thread::sleep(Duration::from_millis(2));
        }
        let grown = highest.saturating_sub(before);
        println!("{} bytes to a slow reader; the daemon grew by {grown}", received.len());
        assert!(grown < 8 << 20, "the daemon grew from {before} to {highest} bytes");
        let mut rest = BytesMut::from(&received[..]);
        let splitter = pg::FrameSplitter::new(1 << 20);
        let mut next = 0;
        while let Some(frame) = splitter.split(&mut rest).unwrap() {
            if frame.kind == b'D' {
                let row = pg::read_data_row(frame.body()).unwrap();
                assert_eq!(row[0], Some(next.to_string()));
                next += 1;
            }
        }
        assert_eq!(next, READINGS);
    }
}

#[test]
fn backend_lost_during_an_answer_fails_only_its_client() {
    let fleet = SessionFleet::start(FleetSetup::new(2));
    fill_readings(&fleet);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _stop = StopGuard(&stop);
        let others: Vec<_> = (0..4)
            .map(|number| {
                let (proxy, stop) = (&fleet.proxies[number % 2], &stop);
                scope.spawn(move || {
                    let mut client = proxy.connect();
                    let mut count = 0u64;
                    while !stop.load(Ordering::SeqCst) {
                        let read = rows(&mut client, &format!("SELECT {count}"));
                        assert_eq!(read, Ok(vec![vec![Some(count.to_string())]]));
                        count += 1;
                    }
                    count
                })
            })
            .collect();
        for (number, proxy) in fleet.proxies.iter().enumerate() {
            for bytes in [100_000, 1_000_003, 9_999_999] {
                let mark = format!("cut-{number}-{bytes}");
                fleet
                    .links
                    .limit_bytes_after_marker("billing-1", &mark, Direction::ToCaller, bytes)
                    .unwrap();
                let mut raw_client = RawClient::open(proxy);
                raw_client.query(&format!("SELECT id, note FROM readings /* {mark} */"));
                let answer = raw_client.read_until(b'Z');
                let (kind, body) = &answer[answer.len() - 2];
                assert_eq!(*kind, b'E', "{mark}");
                let error = pg::read_error(body).unwrap();
                assert_eq!((error.severity.as_str(), error.code.as_str()), ("ERROR", "08006"));
                // The rows before the error are the beginning of the answer.
                let mut count = 0;
                for (_, body) in answer.iter().filter(|(kind, _)| *kind == b'D') {
                    let row = pg::read_data_row(body).unwrap();
                    assert_eq!(row[0], Some(count.to_string()), "{mark}");
                    count += 1;
                }
                assert!(count < READINGS, "{mark}: all rows and an error");
                assert!(bytes < 500_000 || count > 0, "{mark}: no row was relayed");
                raw_client.query("SELECT 7");
                assert_eq!(
                    raw_client.transcript(),
                    "row [Some(\"7\")]\ncomplete SELECT 1\nready I"
                );
            }
        }
        stop.store(true, Ordering::SeqCst);
        let undisturbed: u64 = others.into_iter().map(|other| other.join().unwrap()).sum();
        println!("6 answers cut, {undisturbed} requests of others undisturbed");
    });
}

#[test]
fn delayed_and_reordered_answers_reach_their_clients() {
    const REQUESTS: usize = 40;
    let fleet = start_fleet(2);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _stop = StopGuard(&stop);
        // With changing delays, answers overtake those of other connections.
        scope.spawn(|| {
            let mut step = 0u64;
            while !stop.load(Ordering::SeqCst) {
                step += 1;
                let delay = Duration::from_millis([0, 12, 3, 25][step as usize % 4]);
                fleet.links.set_delay("billing-1", Duration::ZERO, delay).unwrap();
                std::thread::sleep(Duration::from_millis(4));
            }
        });
        let threads: Vec<_> = (0..8)
            .map(|session| {
                let proxy = &fleet.proxies[session % 2];
                scope.spawn(move || {
                    let mut raw_client = RawClient::open(proxy);
                    // Up to four requests are pipelined.
                    for request in 0..REQUESTS + 4 {
                        if request < REQUESTS {
                            let pad = "x".repeat(request * 50);
                            raw_client.query(&format!("SELECT 's{session}-{request}', '{pad}'"));
                        }
                        if request >= 4 {
                            let number = request - 4;
                            let transcript = raw_client.transcript();
                            let pad = "x".repeat(number * 50);
                            let row =
                                format!("row [Some(\"s{session}-{number}\"), Some(\"{pad}\")]");
                            assert_eq!(transcript, format!("{row}\ncomplete SELECT 1\nready I"));
                        }
                    }
                })
            })
            .collect();
        let results: Vec<_> = threads.into_iter().map(|thread| thread.join()).collect();
        stop.store(true, Ordering::SeqCst);
        assert!(results.iter().all(Result::is_ok));
    });
}

/// Input of one case of the table of invalid input.
enum BadInput {
    /// Bytes sent on an open session.
    Messages(Vec<u8>),
    Query(&'static str),
    /// The first packet of a connection.
    Start(Vec<u8>),
}

fn startup(parameters: &[(&str, &str)]) -> BadInput {
    let mut packet = BytesMut::new();
    pg::put_startup(&mut packet, parameters);
    BadInput::Start(packet.to_vec())
}

#[test]
fn bad_input_gets_its_error_and_affects_no_other_client() {
    use BadInput::{Messages, Query, Start};
    let login = [("user", "vendor"), ("database", "billing")];
    let with = |name, value| startup(&[login[0], login[1], (name, value)]);
    let cases: Vec<(&str, BadInput)> = vec![
        ("length below 4", Messages(b"Q\0\0\0\x01".to_vec())),
        ("length of 2 GB", Messages(b"Q\x7f\xff\xff\xff".to_vec())),
        ("negative length", Messages(b"Q\xff\xff\xff\xff".to_vec())),
        ("query of 1 MB and a byte", Messages(b"Q\0\x10\0\x01".to_vec())),
        ("query without an end", Messages(b"Q\0\0\0\x08SELE".to_vec())),
        ("query not in UTF-8", Messages(b"Q\0\0\0\x07\xff\xfe\0".to_vec())),
        ("unknown message type", Messages(b"?\0\0\0\x04".to_vec())),
        ("server message", Messages(b"Z\0\0\0\x05I".to_vec())),
        ("short Parse", Messages(b"P\0\0\0\x06a\0S\0\0\0\x04".to_vec())),
        ("Bind of an unknown statement", {
            Messages(b"B\0\0\0\x0e\0no\0\0\0\0\0\0\0S\0\0\0\x04".to_vec())
        }),
        ("Bind without a statement", {
            Messages(b"B\0\0\0\x0c\0\0\0\0\0\0\0\0S\0\0\0\x04".to_vec())
        }),
        ("Describe of neither kind", Messages(b"D\0\0\0\x06X\0S\0\0\0\x04".to_vec())),
        ("query before Sync", Messages(b"P\0\0\0\x08\0\0\0\0Q\0\0\0\x06;\0".to_vec())),
        ("function call", Messages(b"F\0\0\0\x04".to_vec())),
        ("copy data without a COPY", Messages(b"d\0\0\0\x05xS\0\0\0\x04".to_vec())),
        ("COPY TO", Query("COPY meters TO STDOUT")),
        ("COPY FROM", Query("COPY meters FROM STDIN")),
        ("LISTEN", Query("LISTEN news")),
        ("NOTIFY", Query("NOTIFY news")),
        ("plain SET", Query("SET search_path = a")),
        ("SET SESSION", Query("SET SESSION statement_timeout = 5")),
        ("PREPARE", Query("PREPARE p AS SELECT 1")),
        ("DISCARD", Query("DISCARD ALL")),
        ("two-phase commit", Query("PREPARE TRANSACTION 'a'")),
        ("temporary table", Query("CREATE TEMP TABLE t (id bigint)")),
        ("unknown own parameter", Query("SET cicadawick.colour = 'red'")),
        ("bad age", Query("SET cicadawick.max_age = 'soon'")),
        ("bad labels", Query("SET cicadawick.labels = '=='")),
        ("syntax error", Query("SELEC 1")),
        ("missing table", Query("SELECT * FROM missing")),
        ("commit without a transaction", Query("COMMIT")),
        ("start-up length 0", Start(b"\0\0\0\0".to_vec())),
        ("start-up of 10 KB and a byte", Start(b"\0\0\x27\x11".to_vec())),
        ("start-up of protocol 2", Start(b"\0\0\0\x08\0\x02\0\0".to_vec())),
        ("start-up cut", Start(b"\0\0\0\x0d\0\x03\0\0user\0".to_vec())),
        ("no user", startup(&[("database", "billing")])),
        ("unknown database", startup(&[("user", "vendor"), ("database", "nowhere")])),
        ("unknown parameter", with("colour", "red")),
        ("parameter that a pool cannot keep", with("search_path", "a")),
        ("other encoding", with("client_encoding", "LATIN1")),
        ("replication", with("replication", "true")),
        ("bad options", with("options", "-x")),
        ("bad own parameter", with("cicadawick.max_age", "soon")),
    ];
    let fleet = SessionFleet::start(FleetSetup::new(1));
    let proxy = &fleet.proxies[0];
    proxy.connect().batch_execute("CREATE TABLE meters (id bigint)").unwrap();
    let stop = AtomicBool::new(false);
    let (started, is_started) = std::sync::mpsc::channel();
    let table = std::thread::scope(|scope| {
        let _stop = StopGuard(&stop);
        let stop = &stop;
        let other = scope.spawn(move || {
            let mut client = proxy.connect();
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                let insert = format!("INSERT INTO meters VALUES ({count})");
                assert_eq!(run(&mut client, &insert), RequestOutcome::Done(1));
                count += 1;
                let _ = started.send(());
            }
            count
        });
        is_started.recv().expect("the other client has inserted a row");
        let mut lines = Vec::new();
        for (name, input) in &cases {
            let mut raw_client = match input {
                Start(packet) => RawClient::start(proxy, packet),
                _ => RawClient::open(proxy),
            };
            match input {
                Messages(bytes) => raw_client.stream.write_all(bytes).unwrap(),
                Query(sql) => raw_client.query(sql),
                Start(_) => {}
            }
            lines.push(format!("{name}: {}", raw_client.transcript().replace('\n', " | ")));
            let ended = lines.last().unwrap().ends_with("closed");
            if !ended {
                raw_client.query("SELECT 7");
                assert!(raw_client.transcript().contains("row [Some(\"7\")]"), "after {name}");
            }
        }
        stop.store(true, Ordering::SeqCst);
        let count: usize = other.join().unwrap();
        assert!(count > 0);
        assert_eq!(fleet.group.table("meters").unwrap().rows.len(), count);
        lines.join("\n")
    });
    insta::assert_snapshot!(table, @r#"
    length below 4: FATAL 08P01: invalid length 1 of message type 0x51 | closed
    length of 2 GB: FATAL 54000: message type 0x51 of 2147483648 bytes exceeds 1048576 bytes | closed
    negative length: FATAL 08P01: invalid length -1 of message type 0x51 | closed
    query of 1 MB and a byte: FATAL 54000: message type 0x51 of 1048578 bytes exceeds 1048576 bytes | closed
    query without an end: FATAL 08P01: invalid message format: query text | closed
    query not in UTF-8: FATAL 08P01: invalid message format: query text | closed
    unknown message type: FATAL 08P01: invalid frontend message type 63 | closed
    server message: FATAL 08P01: invalid frontend message type 90 | closed
    short Parse: FATAL 08P01: invalid message format: statement text | closed
    Bind of an unknown statement: ERROR 26000: prepared statement "no" does not exist | ready I
    Bind without a statement: ERROR 26000: prepared statement "cicadawick_none" does not exist | ready I
    Describe of neither kind: FATAL 08P01: invalid message format: target kind | closed
    query before Sync: FATAL 08P01: simple query before the Sync of an extended query | closed
    function call: FATAL 0A000: the function call protocol is not supported | closed
    copy data without a COPY: ready I
    COPY TO: ERROR 0A000: COPY is not available through a pool | ready I
    COPY FROM: ERROR 0A000: COPY is not available through a pool | ready I
    LISTEN: ERROR 0A000: LISTEN and NOTIFY need a connection of their own | ready I
    NOTIFY: ERROR 0A000: LISTEN and NOTIFY need a connection of their own | ready I
    plain SET: ERROR 0A000: a pool cannot keep this parameter; use SET LOCAL in a transaction | ready I
    SET SESSION: ERROR 0A000: a pool cannot keep this parameter; use SET LOCAL in a transaction | ready I
    PREPARE: ERROR 0A000: use the extended query protocol for prepared statements | ready I
    DISCARD: ERROR 0A000: the connection's state is shared in a pool | ready I
    two-phase commit: ERROR 0A000: two-phase commit is not available through a pool | ready I
    temporary table: ERROR 0A000: a temporary object belongs to one connection | ready I
    unknown own parameter: ERROR 42704: unrecognized configuration parameter "cicadawick.colour" | ready I
    bad age: ERROR 22023: invalid value for parameter "cicadawick.max_age": expected milliseconds, or a number with the unit ms or s | ready I
    bad labels: ERROR 22023: invalid value for parameter "cicadawick.labels": invalid label expression "": expected a key or value | ready I
    syntax error: ERROR 42601: sql parser error: Expected: an SQL statement, found: SELEC at Line: 1, Column: 1 | ready I
    missing table: ERROR 42P01: relation "missing" does not exist | ready I
    commit without a transaction: complete COMMIT | NOTICE 25P01: there is no transaction in progress | ready I
    start-up length 0: FATAL 08P01: invalid length of startup packet | closed
    start-up of 10 KB and a byte: FATAL 08P01: invalid length of startup packet | closed
    start-up of protocol 2: FATAL 0A000: unsupported frontend protocol 2.0: server supports 3.0 | closed
    start-up cut: FATAL 08P01: invalid startup packet layout: expected terminator as last byte | closed
    no user: FATAL 28000: no PostgreSQL user name specified in startup packet | closed
    unknown database: FATAL 3D000: database "nowhere" does not exist | closed
    unknown parameter: FATAL 42704: unrecognized configuration parameter "colour" | closed
    parameter that a pool cannot keep: FATAL 42704: unrecognized configuration parameter "search_path" | closed
    other encoding: FATAL 0A000: the pool's connections use client_encoding UTF8 | closed
    replication: FATAL 0A000: replication connections are not supported | closed
    bad options: FATAL 42601: invalid command-line argument for the session: -x | closed
    bad own parameter: FATAL 22023: invalid value for parameter "cicadawick.max_age": expected milliseconds, or a number with the unit ms or s | closed
    "#);
}
