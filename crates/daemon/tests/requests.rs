//! Clients' requests through real proxies in front of a fake database group.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::{LocalFleet, code, rows, wait_until};
use fake::fakedb::GroupOptions;

#[test]
fn requests_of_one_session_are_served_through_every_proxy() {
    let fleet = LocalFleet::start(2);
    for (number, proxy) in fleet.proxies.iter().enumerate() {
        let mut client = proxy.connect();
        let table = format!("tokens_{number}");
        client.batch_execute(&format!("CREATE TABLE {table} (id bigint, meter text)")).unwrap();
        for id in 0..20i64 {
            client.batch_execute(&format!("INSERT INTO {table} VALUES ({id}, 'm{id}')")).unwrap();
            let read = rows(&mut client, &format!("SELECT id FROM {table} WHERE id = {id}"));
            assert_eq!(read, Ok(vec![vec![Some(id.to_string())]]), "own write is not read");
        }

        // Prepared statements, parameters and binary results.
        let insert = client.prepare(&format!("INSERT INTO {table} VALUES ($1, $2)")).unwrap();
        for id in 100..110i64 {
            assert_eq!(client.execute(&insert, &[&id, &"prepared"]).unwrap(), 1);
        }
        let select = format!("SELECT meter FROM {table} WHERE id = $1");
        let row = client.query_one(&select, &[&105i64]).unwrap();
        assert_eq!(row.get::<_, String>(0), "prepared");

        // A transaction, committed and rolled back.
        let mut transaction = client.transaction().unwrap();
        transaction.execute(&insert, &[&500i64, &"kept"]).unwrap();
        transaction.commit().unwrap();
        let mut transaction = client.transaction().unwrap();
        transaction.execute(&insert, &[&501i64, &"undone"]).unwrap();
        transaction.rollback().unwrap();
        let read = rows(&mut client, &format!("SELECT id FROM {table} WHERE id >= 500"));
        assert_eq!(read, Ok(vec![vec![Some("500".to_owned())]]));

        // An error has the backend server's code and leaves the session usable.
        let error = client.batch_execute("SELECT * FROM missing").unwrap_err();
        assert_eq!(code(&error), "42P01");
        assert_eq!(rows(&mut client, "SELECT 1"), Ok(vec![vec![Some("1".to_owned())]]));
    }
    // Some of these requests were forwarded between the proxies.
    let forwards: u64 = fleet
        .proxies
        .iter()
        .map(|proxy| {
            proxy.get("/v1/dump")["shell"]["counters"]["requests.forwarded"].as_u64().unwrap_or(0)
        })
        .sum();
    assert!(forwards > 0);
}

#[test]
fn large_answer_is_complete_and_bounded_in_memory() {
    let fleet = LocalFleet::start(2);
    let mut client = fleet.proxies[0].connect();
    client.batch_execute("CREATE TABLE readings (id bigint, note text)").unwrap();
    let note = "n".repeat(1_000);
    for batch in 0..20 {
        let values: Vec<String> =
            (0..500).map(|id| format!("({}, '{note}')", batch * 500 + id)).collect();
        client
            .batch_execute(&format!("INSERT INTO readings VALUES {}", values.join(", ")))
            .unwrap();
    }
    for proxy in &fleet.proxies {
        let mut client = proxy.connect();
        let read = client.query("SELECT id, note FROM readings", &[]).unwrap();
        assert_eq!(read.len(), 10_000);
        assert!(read.iter().all(|row| row.get::<_, &str>(1).len() == 1_000));

        // While a client does not read, the rest of its answer stays at the backend server.
        let before = proxy.resident_bytes();
        let mut slow: Vec<TcpStream> = Vec::new();
        for _ in 0..3 {
            let mut stream = open_raw(proxy);
            let mut query = bytes::BytesMut::new();
            pg::put_query(&mut query, "SELECT id, note FROM readings");
            stream.write_all(&query).unwrap();
            slow.push(stream);
        }
        std::thread::sleep(Duration::from_millis(500));
        let grown = proxy.resident_bytes().saturating_sub(before);
        assert!(grown < 20 << 20, "three unread answers of 10 MB hold {grown} bytes");
        // The client gets the complete answer once it reads.
        let mut stream = slow.remove(0);
        let mut received = 0;
        let mut buffer = vec![0; 1 << 20];
        while received < 10_000_000 {
            let count = stream.read(&mut buffer).unwrap();
            assert!(count > 0, "the answer ended after {received} bytes");
            received += count;
        }
        // The others disconnect during the answer; their connections and slots are released.
        drop(slow);
        drop(stream);
        wait_until("the requests of disconnected clients have ended", || {
            proxy.get("/v1/dump")["shell"]["run_count"] == 0
        });
        assert_eq!(rows(&mut client, "SELECT 1"), Ok(vec![vec![Some("1".to_owned())]]));
    }
}

/// Opens a session on a plain TCP connection and reads up to its first `ReadyForQuery`.
fn open_raw(proxy: &common::ProxyProcess) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.caller_address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut packet = bytes::BytesMut::new();
    pg::put_startup(&mut packet, &[("user", "vendor"), ("database", "billing")]);
    stream.write_all(&packet).unwrap();
    read_message(&mut stream, b'Z');
    stream
}

/// Reads messages until one of the given kind; returns its body.
fn read_message(stream: &mut TcpStream, wanted: u8) -> Vec<u8> {
    next_message(stream, &[wanted]).1
}

/// Reads messages until one of the given kinds; returns its kind and body.
fn next_message(stream: &mut TcpStream, wanted: &[u8]) -> (u8, Vec<u8>) {
    loop {
        let mut header = [0; 5];
        stream.read_exact(&mut header).unwrap();
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut body = vec![0; length as usize - 4];
        stream.read_exact(&mut body).unwrap();
        if wanted.contains(&header[0]) {
            return (header[0], body);
        }
    }
}

#[test]
fn interrupted_answer_ends_with_an_error() {
    let fleet = LocalFleet::start(2);
    let mut client = fleet.proxies[0].connect();
    client.batch_execute("CREATE TABLE readings (id bigint, note text)").unwrap();
    let note = "n".repeat(60_000);
    for id in 0..500 {
        client.batch_execute(&format!("INSERT INTO readings VALUES ({id}, '{note}')")).unwrap();
    }
    let mut streams: Vec<TcpStream> = fleet.proxies.iter().map(open_raw).collect();
    for stream in &mut streams {
        let mut query = bytes::BytesMut::new();
        pg::put_query(&mut query, "SELECT id, note FROM readings");
        stream.write_all(&query).unwrap();
        read_message(stream, b'D');
    }
    // Answers of 30 MB exceed all buffers in between, so they are not complete yet.
    fleet.group.kill("billing-1").unwrap();
    for stream in &mut streams {
        let error = pg::read_error(&read_message(stream, b'E')).unwrap();
        assert_eq!(error.severity, "ERROR", "{error:?}");
        read_message(stream, b'Z');
    }
    // After the failover the sessions are usable.
    for stream in &mut streams {
        wait_until("writes are served again", || {
            let mut query = bytes::BytesMut::new();
            pg::put_query(&mut query, "INSERT INTO readings VALUES (501, '')");
            stream.write_all(&query).unwrap();
            let (kind, _) = next_message(stream, b"CE");
            read_message(stream, b'Z');
            kind == b'C'
        });
    }
}

#[test]
fn copy_is_refused_and_leaves_the_session_usable() {
    let fleet = LocalFleet::start(1);
    let mut client = fleet.proxies[0].connect();
    client.batch_execute("CREATE TABLE receipts (id bigint)").unwrap();
    for sql in ["COPY receipts TO STDOUT", "COPY receipts FROM STDIN"] {
        assert_eq!(code(&client.batch_execute(sql).unwrap_err()), "0A000");
    }
    assert_eq!(rows(&mut client, "SELECT 1"), Ok(vec![vec![Some("1".to_owned())]]));
}

#[test]
fn flush_answers_a_parse_before_its_sync() {
    let fleet = LocalFleet::start(1);
    let mut stream = open_raw(&fleet.proxies[0]);
    let mut input = bytes::BytesMut::new();
    pg::put_parse(&mut input, "s", "SELECT 7", &[]);
    input.extend_from_slice(b"H\0\0\0\x04");
    stream.write_all(&input).unwrap();
    read_message(&mut stream, b'1');
    stream.write_all(b"B\0\0\0\x0d\0s\0\0\0\0\0\0\0E\0\0\0\x09\0\0\0\0\0S\0\0\0\x04").unwrap();
    let row = read_message(&mut stream, b'D');
    assert_eq!(pg::read_data_row(&row).unwrap(), [Some("7".to_owned())]);
    read_message(&mut stream, b'Z');
    // After an error before the Flush, messages up to the Sync are skipped.
    let mut input = bytes::BytesMut::new();
    pg::put_parse(&mut input, "", "SELECT * FROM missing", &[]);
    input.extend_from_slice(b"H\0\0\0\x04");
    stream.write_all(&input).unwrap();
    read_message(&mut stream, b'E');
    stream.write_all(b"D\0\0\0\x06S\0S\0\0\0\x04").unwrap();
    let (kind, _) = next_message(&mut stream, b"EtZ");
    assert_eq!(kind, b'Z');
}

#[test]
fn malformed_input_closes_only_its_connection() {
    let fleet = LocalFleet::start(1);
    let proxy = &fleet.proxies[0];
    let mut other_client = proxy.connect();
    let cases: [(&[u8], &str); 6] = [
        (b"Q\0\0\0\x01", "08P01"),
        (b"Q\x7f\xff\xff\xff", "54000"),
        (b"Q\0\0\0\x06\xff\xfe", "08P01"),
        (b"?\0\0\0\x04", "08P01"),
        (b"P\0\0\0\x06a\0S\0\0\0\x04", "08P01"),
        (b"F\0\0\0\x04", "0A000"),
    ];
    for (input, expected) in cases {
        let mut stream = open_raw(proxy);
        stream.write_all(input).unwrap();
        let error = pg::read_error(&read_message(&mut stream, b'E')).unwrap();
        assert_eq!((error.severity.as_str(), error.code.as_str()), ("FATAL", expected));
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).unwrap();
        assert!(rest.is_empty());
    }
    for start in [&b"\0\0\0\x08\0\x02\0\0"[..], b"\0\0\0\x09\0\x03\0\0x", b"\xff\xff\xff\xff"] {
        let mut stream = TcpStream::connect(proxy.caller_address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(start).unwrap();
        read_message(&mut stream, b'E');
    }
    assert_eq!(rows(&mut other_client, "SELECT 1"), Ok(vec![vec![Some("1".to_owned())]]));
    assert_eq!(code(&proxy.try_connect("missing", "").err().unwrap()), "3D000");
}

#[test]
fn idle_sessions_hold_no_buffers() {
    let fleet = LocalFleet::start(1);
    let proxy = &fleet.proxies[0];
    let mut idle: Vec<TcpStream> = (0..100).map(|_| open_raw(proxy)).collect();
    let before = proxy.resident_bytes();
    idle.extend((0..500).map(|_| open_raw(proxy)));
    let grown = proxy.resident_bytes().saturating_sub(before) / 500;
    // The target of 8,500 clients in half a gigabyte leaves 60 KB for each.
    assert!(grown < 16 * 1024, "an idle session takes {grown} bytes");
    let dump = proxy.get("/v1/dump");
    let sessions = dump["shell"]["sessions"].as_array().unwrap();
    assert!(sessions.iter().all(|session| session["buffer_bytes"] == 0), "{sessions:?}");
    drop(idle);
    wait_until("all sessions are closed", || proxy.get("/v1/dump")["shell"]["session_count"] == 0);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let fleet = LocalFleet::start(1);
    let mut stream = open_raw(&fleet.proxies[0]);
    let mut input = bytes::BytesMut::new();
    for number in 0..200 {
        pg::put_query(&mut input, &format!("SELECT {number}"));
        pg::put_sync(&mut input);
    }
    stream.write_all(&input).unwrap();
    for number in 0..200 {
        let row = read_message(&mut stream, b'D');
        assert_eq!(pg::read_data_row(&row).unwrap(), [Some(number.to_string())]);
        read_message(&mut stream, b'Z');
        // Read the answer to the Sync.
        read_message(&mut stream, b'Z');
    }
}

#[test]
fn statement_is_cancelled_only_with_its_secret() {
    let mut options = GroupOptions::new("billing", 3);
    options.slots = 2;
    let fleet = LocalFleet::start_with(2, options);
    for proxy in &fleet.proxies {
        let mut client = proxy.connect();
        let token = client.cancel_token();
        let started = Instant::now();
        let canceller = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(300));
            token.cancel_query(postgres::NoTls).unwrap();
        });
        let error = client.batch_execute("SELECT pg_sleep(5)").unwrap_err();
        assert_eq!(code(&error), "57014");
        assert!(started.elapsed() < Duration::from_secs(4));
        canceller.join().unwrap();
        assert_eq!(rows(&mut client, "SELECT 1"), Ok(vec![vec![Some("1".to_owned())]]));

        let mut stream = TcpStream::connect(proxy.caller_address).unwrap();
        stream.write_all(&pg::cancel_request(1, b"none")).unwrap();
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).unwrap();
        let counters = proxy.get("/v1/dump")["shell"]["counters"].clone();
        assert_eq!(counters["cancels.ignored"], 1);
    }
}

#[test]
fn graceful_shutdown_finishes_requests_in_flight() {
    let mut fleet = LocalFleet::start(1);
    let mut proxy = fleet.proxies.remove(0);
    let mut idle = proxy.connect();
    let mut busy = proxy.connect();
    busy.batch_execute("CREATE TABLE receipts (id bigint)").unwrap();
    let request = std::thread::spawn(move || {
        let read = rows(&mut busy, "SELECT pg_sleep(1)");
        (read.map(|rows| rows.len()), busy)
    });
    std::thread::sleep(Duration::from_millis(300));
    proxy.signal("-TERM");
    std::thread::sleep(Duration::from_millis(200));
    assert!(proxy.try_connect("billing", "").is_err(), "a session opened during the shutdown");
    let error = idle.batch_execute("SELECT 1").unwrap_err();
    assert!(matches!(code(&error).as_str(), "57P01" | "closed"), "{error}");
    let (read, _busy) = request.join().unwrap();
    assert_eq!(read, Ok(1), "the request in flight was interrupted");
    assert_eq!(proxy.wait().code(), Some(0));
}
