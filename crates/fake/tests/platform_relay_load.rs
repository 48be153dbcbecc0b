//! Protocol and faults of the fake platform, faults of the relay, and checks of the load generator.

#![allow(clippy::unwrap_used)] // Helpers of tests fail like the tests.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use base64::Engine;
use common::{connect, first, wait_until};
use fake::fakedb::{DatabaseGroup, GroupOptions};
use fake::fakeplatform::{FakePlatform, FakeVm, MAX_VALUE_BYTES, OutageMode};
use fake::faultproxy::{Direction, FaultProxy};
use fake::loadgen::{LoadKind, LoadMix, LoadOptions, run};

struct HttpClient {
    agent: ureq::Agent,
    url: String,
}

impl HttpClient {
    fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(20)))
            .build();
        HttpClient { agent: config.into(), url: format!("http://{address}/v1") }
    }

    fn get(&self, path: &str) -> Result<(u16, u64, serde_json::Value), ureq::Error> {
        let mut response = self.agent.get(format!("{}{path}", self.url)).call()?;
        let index = response.headers().get("X-Consul-Index");
        let index = index.map_or(0, |index| index.to_str().unwrap().parse().unwrap());
        let limit = 10 * MAX_VALUE_BYTES as u64;
        let text = response.body_mut().with_config().limit(limit).read_to_string()?;
        Ok((response.status().as_u16(), index, serde_json::from_str(&text).unwrap_or_default()))
    }

    fn put(&self, path: &str, body: &[u8]) -> Result<(u16, String), ureq::Error> {
        let mut response = self.agent.put(format!("{}{path}", self.url)).send(body)?;
        Ok((response.status().as_u16(), response.body_mut().read_to_string()?))
    }
}

/// Guards against two writers that both succeed, and against values that are altered in transfer.
#[test]
fn compare_and_swap() {
    let platform = FakePlatform::start(0).unwrap();
    let client = HttpClient::new(platform.address());
    assert_eq!(client.get("/kv/a/b").unwrap().0, 404);
    assert_eq!(client.put("/kv/a/b?cas=0", b"one").unwrap(), (200, "true".into()));
    assert_eq!(client.put("/kv/a/b?cas=0", b"two").unwrap(), (200, "false".into()));
    let (status, index, body) = client.get("/kv/a/b").unwrap();
    assert_eq!((status, body[0]["ModifyIndex"].as_u64()), (200, Some(index)));
    assert_eq!(body[0]["Value"], "b25l");
    let path = format!("/kv/a/b?cas={index}");
    assert_eq!(client.put(&path, b"two").unwrap().1, "true");
    assert_eq!(client.put(&path, b"three").unwrap().1, "false");
    assert_eq!(platform.value("a/b").unwrap().0, b"two");
    let largest = vec![7; MAX_VALUE_BYTES];
    assert_eq!(client.put("/kv/large", &largest).unwrap().0, 200);
    let body = client.get("/kv/large").unwrap().2;
    let value = base64::engine::general_purpose::STANDARD
        .decode(body[0]["Value"].as_str().unwrap())
        .unwrap();
    assert!(value == largest);
    assert_eq!(client.put("/kv/large", &vec![7; MAX_VALUE_BYTES + 1]).unwrap().0, 413);
    let counters = platform.counters();
    assert_eq!((counters.put_cas, counters.put, counters.get), (4, 1, 3));
}

/// Guards against blocking queries that miss a change, return without one, or count more than once.
#[test]
fn blocking_query() {
    let platform = FakePlatform::start(0).unwrap();
    let client = HttpClient::new(platform.address());
    let index = client.get("/kv/key").unwrap().1;
    assert!(index > 0);
    let address = platform.address();
    let watch = std::thread::spawn(move || {
        HttpClient::new(address).get(&format!("/kv/key?index={index}&wait=15s")).unwrap()
    });
    wait_until("the watch waits", || platform.counters().watch == 1);
    client.put("/kv/other", b"x").unwrap();
    client.put("/kv/key", b"x").unwrap();
    let (status, next, body) = watch.join().unwrap();
    assert_eq!((status, body[0]["Value"].as_str()), (200, Some("eA==")));
    let start = Instant::now();
    let (_, same, _) = client.get(&format!("/kv/key?index={next}&wait=50ms")).unwrap();
    assert!(same == next && start.elapsed() >= Duration::from_millis(50));
    assert_eq!(platform.counters().watch, 2);
}

/// Guards against locks that two sessions hold at once, or that remain after their session ended.
#[test]
fn sessions_hold_locks() {
    let platform = FakePlatform::start(0).unwrap();
    let client = HttpClient::new(platform.address());
    let create = || {
        let (status, text) = client.put("/session/create", br#"{"TTL": "10s"}"#).unwrap();
        assert_eq!(status, 200);
        let body: serde_json::Value = serde_json::from_str(&text).unwrap();
        body["ID"].as_str().unwrap().to_string()
    };
    let (left, right) = (create(), create());
    assert_eq!(client.put(&format!("/kv/lock?acquire={left}"), b"l").unwrap().1, "true");
    assert_eq!(client.put(&format!("/kv/lock?acquire={right}"), b"r").unwrap().1, "false");
    assert_eq!(client.get("/kv/lock").unwrap().2[0]["Session"].as_str(), Some(left.as_str()));
    assert_eq!(client.put(&format!("/session/renew/{left}"), b"").unwrap().0, 200);
    assert_eq!(client.put(&format!("/session/destroy/{left}"), b"").unwrap().0, 200);
    assert_eq!(client.put(&format!("/session/renew/{left}"), b"").unwrap().0, 404);
    assert_eq!(client.put(&format!("/kv/lock?acquire={right}"), b"r").unwrap().1, "true");
    assert_eq!(client.put(&format!("/kv/lock?release={right}"), b"r").unwrap().1, "true");
    assert_eq!(client.put("/session/create", br#"{"TTL": "1s"}"#).unwrap().0, 400);
}

/// Guards against injected faults that differ from the real ones: a lost answer whose change took
/// effect, refused connections, calls that hang.
#[test]
fn platform_faults() {
    let platform = FakePlatform::start(0).unwrap();
    let client = HttpClient::new(platform.address());
    platform.drop_next_answers(1);
    assert!(client.put("/kv/key?cas=0", b"x").is_err());
    assert_eq!(platform.value("key").unwrap().0, b"x");
    assert_eq!(client.put("/kv/key?cas=0", b"x").unwrap().1, "false");
    assert_eq!(platform.counters().lost, 1);

    platform.set_outage(OutageMode::Refuse).unwrap();
    assert!(client.get("/kv/key").is_err());
    assert!(TcpStream::connect(platform.address()).is_err());
    platform.set_outage(OutageMode::Hang).unwrap();
    let mut stream = TcpStream::connect(platform.address()).unwrap();
    stream.write_all(b"GET /v1/kv/key HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(stream.read(&mut [0]).is_err());
    platform.set_outage(OutageMode::None).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert_eq!(stream.read(&mut [0]).unwrap(), 1);
    platform.set_answer_delay(Duration::from_millis(40));
    let start = Instant::now();
    assert_eq!(client.get("/kv/key").unwrap().0, 200);
    assert!(start.elapsed() >= Duration::from_millis(40));

    // The same seed drops the same answers.
    platform.set_answer_delay(Duration::ZERO);
    let mut lost = Vec::new();
    for _ in 0..2 {
        platform.drop_answers_by_share(0.5, 7);
        let results = (0..20).map(|_| client.put("/kv/share", b"x").is_err());
        lost.push(results.collect::<Vec<bool>>());
    }
    assert_eq!(lost[0], lost[1]);
    assert!(lost[0].contains(&true) && lost[0].contains(&false));
}

/// Guards against a list of VMs that shows changes without the lag, or lacks fields that nodes need.
#[test]
fn vm_list_lags() {
    let platform = FakePlatform::start(0).unwrap();
    let client = HttpClient::new(platform.address());
    platform.put_vm(FakeVm {
        name: "vm-1".into(),
        data_centre: "dc-1".into(),
        peer_address: "127.0.0.1:7000".parse().unwrap(),
        admin_port: 7001,
        leaving: false,
    });
    let (_, index, body) = client.get("/health/service/cicadawick").unwrap();
    assert_eq!(body[0]["Node"]["Node"], "vm-1");
    assert_eq!(body[0]["Node"]["Datacenter"], "dc-1");
    assert_eq!(
        (&body[0]["Service"]["Address"], &body[0]["Service"]["Port"]),
        (&"127.0.0.1".into(), &7000.into())
    );
    assert_eq!(body[0]["Service"]["Meta"]["admin_port"], "7001");
    platform.set_list_lag(Duration::from_millis(60));
    let start = Instant::now();
    platform.mark_leaving("vm-1").unwrap();
    let watch = format!("/health/service/cicadawick?index={index}&wait=15s");
    let (_, index, body) = client.get(&watch).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(60));
    let checks = body[0]["Checks"].as_array().unwrap();
    assert!(
        checks.iter().any(|check| {
            check["CheckID"] == "_node_maintenance" && check["Status"] == "critical"
        })
    );
    platform.remove_vm("vm-1");
    let watch = format!("/health/service/cicadawick?index={index}&wait=15s");
    assert_eq!(client.get(&watch).unwrap().2, serde_json::json!([]));
    assert_eq!(platform.counters().watch_list, 2);
}

/// Guards against a fake that is incompatible with the client of crate `platform`.
#[test]
fn project_client_understands_the_platform() {
    let platform = FakePlatform::start(0).unwrap();
    let client = platform::PlatformClient::new(platform.address(), Duration::from_secs(10));
    assert_eq!(client.get("cicadawick/config").unwrap(), None);
    assert!(client.put("cicadawick/config", b"\x00one", 0).unwrap());
    assert!(!client.put("cicadawick/config", b"two", 0).unwrap());
    let stored = client.get("cicadawick/config").unwrap().unwrap();
    assert_eq!(stored.bytes, b"\x00one");
    platform.drop_next_answers(1);
    assert!(client.put("cicadawick/config", b"two", stored.modify_index).is_err());
    let wait = Duration::from_secs(10);
    let (changed, _) = client.watch("cicadawick/config", stored.modify_index, wait).unwrap();
    assert_eq!(changed.unwrap().bytes, b"two");
    let vm = |name: &str, port| FakeVm {
        name: name.into(),
        data_centre: "dc-1".into(),
        peer_address: SocketAddr::from(([127, 0, 0, 1], port)),
        admin_port: port + 1,
        leaving: false,
    };
    platform.put_vm(vm("vm-1", 7000));
    platform.put_vm(vm("vm-2", 8000));
    let (_, index) = client.watch_vms(0, Duration::ZERO).unwrap();
    platform.mark_leaving("vm-2").unwrap();
    let (vms, _) = client.watch_vms(index, wait).unwrap();
    let seen: Vec<_> = vms
        .iter()
        .map(|vm| (vm.name.as_str(), vm.peer_address.port(), vm.admin_address.port(), vm.leaving))
        .collect();
    assert_eq!(seen, [("vm-1", 7000, 7001, false), ("vm-2", 8000, 8001, true)]);
}

/// Starts a server that sends each byte back.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut from, mut to) = (stream.try_clone().unwrap(), stream);
                drop(std::io::copy(&mut from, &mut to));
            });
        }
    });
    address
}

fn open(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream
}

/// Guards against faults that relay bytes which they should discard, lose other bytes, or close
/// connections that should stay open.
#[test]
fn relay_faults() {
    let echo = start_echo();
    let proxy = FaultProxy::start(&[("echo".into(), echo)], 0).unwrap();
    let address = proxy.address("echo").unwrap();
    let mut buffer = [0; 64];
    let mut stream = open(address);
    stream.write_all(b"abc").unwrap();
    stream.read_exact(&mut buffer[..3]).unwrap();

    proxy.set_delay("echo", Duration::from_millis(20), Duration::from_millis(30)).unwrap();
    let start = Instant::now();
    stream.write_all(b"d").unwrap();
    stream.read_exact(&mut buffer[..1]).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(50));
    proxy.set_delay("echo", Duration::ZERO, Duration::ZERO).unwrap();

    proxy.set_frozen("echo", true).unwrap();
    stream.write_all(b"e").unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(stream.read(&mut buffer).is_err());
    proxy.set_frozen("echo", false).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.read_exact(&mut buffer[..1]).unwrap();
    assert_eq!(buffer[0], b'e');

    // Discarded bytes are never delivered, and nothing follows them on the same connection.
    proxy.set_cut("echo", false, true).unwrap();
    let sent = proxy.counters("echo").unwrap().bytes_to_upstream;
    stream.write_all(b"f").unwrap();
    wait_until("the byte passed", || proxy.counters("echo").unwrap().bytes_to_upstream > sent);
    stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let error = stream.read(&mut buffer).unwrap_err();
    assert!(matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut));
    proxy.set_cut("echo", false, false).unwrap();
    stream.write_all(b"g").unwrap();
    assert!(stream.read(&mut buffer).is_err());

    let mut stream = open(address);
    proxy.limit_bytes("echo", Direction::ToCaller, 5).unwrap();
    stream.write_all(b"0123456789").unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).unwrap();
    assert_eq!(received, b"01234");

    let mut stream = open(address);
    stream.write_all(b"h").unwrap();
    stream.read_exact(&mut buffer[..1]).unwrap();
    proxy.reset_connections("echo").unwrap();
    let error = stream.read(&mut buffer).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    proxy.set_refusing("echo", true).unwrap();
    assert!(TcpStream::connect(address).is_err());
    let url = format!("http://{}/links/echo/set", proxy.control_address());
    ureq::post(&url).send(r#"{"refusing": false}"#).unwrap();
    let mut stream = open(address);
    stream.write_all(b"i").unwrap();
    stream.read_exact(&mut buffer[..1]).unwrap();
}

/// Guards against listeners of stopped servers that a process, started at that moment, keeps open: it inherits them
/// until its program is loaded.
#[test]
fn stopped_servers_refuse_connections_while_processes_start() {
    let group = DatabaseGroup::start(GroupOptions::new("db", 1)).unwrap();
    let database = group.addresses()[0];
    let proxy = FaultProxy::start(&[("db".into(), database)], 0).unwrap();
    let link = proxy.address("db").unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..4)
        .map(|_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let binary = env!("CARGO_BIN_EXE_faultproxy");
                    drop(Command::new(binary).arg("--help").output().unwrap());
                }
            })
        })
        .collect();
    let mut accepted = [0; 2];
    for _ in 0..500 {
        proxy.set_refusing("db", true).unwrap();
        accepted[0] += usize::from(TcpStream::connect(link).is_ok());
        proxy.set_refusing("db", false).unwrap();
        group.kill("db-1").unwrap();
        accepted[1] += usize::from(TcpStream::connect(database).is_ok());
        group.restart("db-1").unwrap();
    }
    stop.store(true, Ordering::Relaxed);
    for starter in starters {
        starter.join().unwrap();
    }
    assert_eq!(accepted, [0, 0]);
}

/// Guards against checks that fail on a correct server, and against a lost answer that is not counted
/// as an unknown outcome.
#[test]
fn load_checks() {
    let mut options = GroupOptions::new("db", 2);
    options.open_time = Duration::ZERO;
    let group = DatabaseGroup::start(options).unwrap();
    let proxy = FaultProxy::start(&[("db".into(), group.addresses()[0])], 0).unwrap();
    let mut load = LoadOptions::new(proxy.address("db").unwrap(), "db");
    load.mix = LoadMix(vec![
        (LoadKind::Token, 1),
        (LoadKind::Balance, 4),
        (LoadKind::Reading, 1),
        (LoadKind::Session, 2),
    ]);
    load.connections = 8;
    load.labels = Some("kind=vendor, town=oshakati".into());
    load.count = Some(800);
    load.duration = Duration::from_secs(20);
    load.check_address = Some(group.addresses()[0]);
    load.max_age = Some(Duration::ZERO);
    let report = run(&load).unwrap();
    let checks = report.checks.clone().unwrap();
    assert!(checks.is_clean(), "{report}");
    assert!(checks.tokens_acknowledged > 50 && checks.session_reads > 20, "{report}");
    assert_eq!(report.kinds.values().map(|kind| kind.count).sum::<u64>(), 800);
    let tokens = group.table("tokens").unwrap().rows.len() as u64;
    assert_eq!(tokens, checks.tokens_acknowledged);

    // The delay of the link appears as a ratio to the database itself.
    proxy.set_delay("db", Duration::from_millis(5), Duration::ZERO).unwrap();
    load.baseline_address = Some(group.addresses()[0]);
    let report = run(&load).unwrap();
    let (own, base) = (&report.kinds[&LoadKind::Token], &report.baseline.clone().unwrap());
    assert!(own.p50_us >= 5000 && own.p50_us > base[&LoadKind::Token].p50_us, "{report}");
    proxy.set_delay("db", Duration::ZERO, Duration::ZERO).unwrap();
    load.baseline_address = None;
    let tokens = group.table("tokens").unwrap().rows.len() as u64;

    // Answers are lost after the database executed the statement.
    load.mix = LoadMix(vec![(LoadKind::Token, 1)]);
    load.connections = 1;
    load.count = Some(20);
    load.max_age = None;
    let report = std::thread::scope(|scope| {
        let running = scope.spawn(|| run(&load).unwrap());
        wait_until("the load runs", || group.table("tokens").unwrap().rows.len() as u64 > tokens);
        proxy.limit_bytes("db", Direction::ToCaller, 3).unwrap();
        running.join().unwrap()
    });
    let checks = report.checks.clone().unwrap();
    assert!(checks.is_clean(), "{report}");
    assert!(checks.tokens_unknown <= 1, "{report}");
    assert_eq!(checks.tokens_acknowledged + checks.tokens_unknown, 20, "{report}");
}

/// Guards against checks that always pass: during the run, another client deletes and duplicates tokens
/// and reverts the writes of the sessions.
#[test]
fn load_checks_detect_faults() {
    let mut options = GroupOptions::new("db", 1);
    options.open_time = Duration::ZERO;
    let group = DatabaseGroup::start(options).unwrap();
    let address = group.addresses()[0];
    let mut load = LoadOptions::new(address, "db");
    load.mix = LoadMix(vec![(LoadKind::Token, 1), (LoadKind::Session, 1)]);
    load.connections = 4;
    load.duration = Duration::from_millis(500);
    load.check_address = Some(address);
    let report = std::thread::scope(|scope| {
        let running = scope.spawn(|| run(&load).unwrap());
        wait_until("the load runs", || group.table("tokens").is_ok_and(|t| t.rows.len() > 10));
        let mut client = connect(address);
        while !running.is_finished() {
            client.batch_execute("UPDATE sessions SET mark = 0").unwrap();
            let key = first(&mut client, "SELECT request_key FROM tokens LIMIT 1").unwrap();
            let delete = format!("DELETE FROM tokens WHERE request_key = '{key}'");
            client.batch_execute(&delete).unwrap();
            let key = first(&mut client, "SELECT max(request_key) FROM tokens").unwrap();
            let repeat = format!("INSERT INTO tokens VALUES ('{key}', 1, 1)");
            client.batch_execute(&repeat).unwrap();
        }
        running.join().unwrap()
    });
    let checks = report.checks.clone().unwrap();
    assert!(!checks.is_clean(), "{report}");
    assert!(checks.session_violations > 0, "{report}");
    assert!(checks.tokens_missing > 0 && checks.tokens_duplicated > 0, "{report}");
}

/// Guards against an age check that does not detect old data.
#[test]
fn age_check_detects_old_data() {
    let mut options = GroupOptions::new("db", 2);
    options.open_time = Duration::ZERO;
    options.apply_lag = Duration::from_millis(300);
    let group = DatabaseGroup::start(options).unwrap();
    let mut load = LoadOptions::new(group.addresses()[1], "db");
    load.check_address = Some(group.addresses()[0]);
    load.mix = LoadMix(vec![(LoadKind::Balance, 1)]);
    load.duration = Duration::from_millis(1500);
    load.rate = Some(400.0);
    load.max_age = Some(Duration::from_millis(50));
    let report = run(&load).unwrap();
    let checks = report.checks.clone().unwrap();
    assert!(checks.age_violations > 0 && !checks.is_clean(), "{report}");
    load.max_age = Some(Duration::from_millis(1000));
    let report = run(&load).unwrap();
    let checks = report.checks.clone().unwrap();
    assert!(checks.age_reads > 0 && checks.is_clean(), "{report}");
}

/// Guards against binaries that do not print their addresses or that accept wrong arguments.
#[test]
fn binaries() {
    use std::io::{BufRead, BufReader};
    let mut child = Command::new(env!("CARGO_BIN_EXE_fakedb"))
        .args(["--name", "billing-db", "--databases", "1"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("billing-db-1 listening on ").unwrap();
    let answer = first(&mut connect(address.parse().unwrap()), "SELECT 1");
    let load = Command::new(env!("CARGO_BIN_EXE_loadgen"))
        .args([address, "db", "--count", "50", "--check", address, "--json"])
        .output()
        .unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(answer.unwrap(), "1");
    assert_eq!(load.status.code(), Some(0), "{load:?}");
    let report: fake::loadgen::LoadReport = serde_json::from_slice(&load.stdout).unwrap();
    assert!(report.checks.unwrap().is_clean());
    for binary in [
        env!("CARGO_BIN_EXE_fakedb"),
        env!("CARGO_BIN_EXE_fakeplatform"),
        env!("CARGO_BIN_EXE_faultproxy"),
        env!("CARGO_BIN_EXE_loadgen"),
    ] {
        let help = Command::new(binary).arg("--help").output().unwrap();
        assert_eq!(help.status.code(), Some(0));
        let wrong = Command::new(binary).arg("--no-such-flag").output().unwrap();
        assert_eq!(wrong.status.code(), Some(2));
    }
}
