//! Sessions read their own writes, and no answer is older than the age its client accepts.

#![allow(clippy::unwrap_used)]

mod common;
mod sessions;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{ProxyProcess, rows, wait_until};
use fake::fakedb::GroupOptions;
use postgres::Client;
use serde_json::json;
use sessions::{FleetSetup, RawClient, RequestOutcome, SessionFleet, StopGuard, run};

/// Data age that the selectors of these tests accept. Sessions may accept less.
const SELECTOR_MAX_AGE: Duration = Duration::from_secs(20);

/// Allowed delay between the proxy's age check at the first byte of an answer and the test's clock
/// reading. The proxy checks with earlier readings of its clock, and the machine may be busy.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(250);

/// Configures two data centres with a proxy each; writers are urgent and reads interactive.
fn setup(group: GroupOptions) -> FleetSetup {
    FleetSetup {
        group,
        proxies: vec!["dc1", "dc2"],
        databases: vec!["dc1", "dc2", "dc2"],
        selectors: json!([
            { "name": "writes", "matches": "application=writer", "rank": "urgent",
              "deadline_ms": 10_000, "durable": true },
            { "name": "reads", "matches": "", "rank": "interactive", "deadline_ms": 10_000,
              "max_age_ms": SELECTOR_MAX_AGE.as_millis() as u64, "durable": true },
        ]),
    }
}

fn group() -> GroupOptions {
    GroupOptions::new("billing", 3)
}

/// Sets the delay between receiving and applying at the replicas, which receive without delay.
fn set_lag(fleet: &SessionFleet, lag: Duration) {
    for name in ["billing-2", "billing-3"] {
        fleet.group.set_lag(name, Duration::ZERO, lag).unwrap();
    }
}

fn writer(proxy: &ProxyProcess) -> Client {
    proxy.try_connect("billing", "-c application_name=writer").unwrap()
}

fn create_ticks(client: &mut Client) {
    client.batch_execute("CREATE TABLE ticks (id bigint, n bigint)").unwrap();
    client.batch_execute("INSERT INTO ticks VALUES (1, 0)").unwrap();
}

fn write_tick(client: &mut Client, n: i64) -> RequestOutcome {
    run(client, &format!("UPDATE ticks SET n = {n} WHERE id = 1"))
}

fn read_tick(client: &mut Client) -> Result<i64, String> {
    let found = rows(client, "SELECT n FROM ticks WHERE id = 1")?;
    Ok(found[0][0].as_ref().unwrap().parse().unwrap())
}

fn token(client: &mut Client) -> String {
    rows(client, "SHOW cicadawick.token").unwrap()[0][0].clone().unwrap()
}

fn connect_with(proxy: &ProxyProcess, token: &str) -> Client {
    proxy.try_connect("billing", &format!("-c cicadawick.token={token}")).unwrap()
}

#[test]
fn own_writes_are_read_while_replicas_lag() {
    let fleet = SessionFleet::start(setup(group()));
    let (near, far) = (&fleet.proxies[0], &fleet.proxies[1]);
    let mut client = near.connect();
    create_ticks(&mut client);
    set_lag(&fleet, Duration::from_secs(3));
    // The round trip to the primary is longer than that to the replicas, so that a replica would
    // answer first if it were asked.
    let one_way_delay = Duration::from_millis(2);
    fleet.links.set_delay("billing-1", one_way_delay, one_way_delay).unwrap();
    let mut far_client = far.connect();
    for n in 1..=60 {
        assert_eq!(write_tick(&mut client, n), RequestOutcome::Done(1));
        assert_eq!(read_tick(&mut client), Ok(n), "own write through the same proxy");
        let token = token(&mut client);
        assert_eq!(read_tick(&mut connect_with(far, &token)), Ok(n), "token at start-up");
        let set = format!("SET cicadawick.token = '{token}'");
        far_client.batch_execute(&set).unwrap();
        assert_eq!(read_tick(&mut far_client), Ok(n), "token by SET");

        // An invalid token counts as absent; the session then sees everything that was acknowledged
        // before the token arrived.
        let mut forged = token.clone().into_bytes();
        let at = n as usize % forged.len();
        forged[at] = if forged[at] == b'A' { b'B' } else { b'A' };
        let forged = String::from_utf8(forged).unwrap();
        let cut = &token[..token.len() - 1 - n as usize % (token.len() - 1)];
        for bad in [forged.as_str(), cut] {
            if bad.is_empty() {
                continue;
            }
            assert_eq!(read_tick(&mut connect_with(far, bad)), Ok(n), "token {bad} of {token}");
            let mut other = far.connect();
            other.batch_execute(&format!("SET cicadawick.token = '{bad}'")).unwrap();
            assert_eq!(read_tick(&mut other), Ok(n), "SET of {bad}");
        }
        assert_eq!(read_tick(&mut far.connect()), Ok(n), "no token");
    }
}

#[test]
fn tokens_stay_valid_while_their_key_is_listed() {
    let fleet = SessionFleet::start(setup(group()));
    let (near, far) = (&fleet.proxies[0], &fleet.proxies[1]);
    let mut client = near.connect();
    create_ticks(&mut client);
    set_lag(&fleet, Duration::from_secs(3));
    assert_eq!(write_tick(&mut client, 1), RequestOutcome::Done(1));
    let old_token = token(&mut client);
    let keys = |revision: u64, ids: &[u32]| {
        let list: Vec<_> = ids
            .iter()
            .map(|id| json!({ "id": id, "secret": format!("{id:02x}").repeat(32) }))
            .map(|mut key| {
                if key["id"] == 1 {
                    key["secret"] = json!("5a".repeat(32));
                }
                key
            })
            .collect();
        json!({ "revision": revision, "keys": list })
    };
    // With both keys the old token is valid; with the new key alone it counts as absent.
    for (revision, ids, is_valid) in [(2, &[1, 2][..], true), (3, &[2][..], false)] {
        let stored = fleet.platform_client().get("cicadawick/token-keys").unwrap().unwrap();
        fleet.put_token_keys(&keys(revision, ids), stored.modify_index);
        let mut new_token = String::new();
        wait_until("the keys are active", || {
            assert_eq!(write_tick(&mut client, 2), RequestOutcome::Done(1));
            new_token = token(&mut client);
            let mut other = RawClient::open(far);
            other.query(&format!("SET cicadawick.token = '{new_token}'"));
            let accepted = !other.transcript().contains("is ignored");
            let mut other = RawClient::open(far);
            other.query(&format!("SET cicadawick.token = '{old_token}'"));
            accepted
                && new_token != old_token
                && other.transcript().contains("is ignored") != is_valid
        });
        assert_eq!(read_tick(&mut connect_with(far, &new_token)), Ok(2));
        assert_eq!(read_tick(&mut connect_with(far, &old_token)), Ok(2), "{ids:?}");
    }
}

#[test]
fn own_writes_are_read_during_a_failover() {
    let fleet = SessionFleet::start(setup(group()));
    let (near, far) = (&fleet.proxies[0], &fleet.proxies[1]);
    let mut client = near.connect();
    create_ticks(&mut client);
    set_lag(&fleet, Duration::from_secs(1));
    let started = Instant::now();
    let mut killed = None;
    let (mut acknowledged, mut failed) = (0, 0);
    let mut n = 0;
    loop {
        n += 1;
        if killed.is_none() && started.elapsed() > Duration::from_millis(400) {
            fleet.group.kill("billing-1").unwrap();
            killed = Some(Instant::now());
        }
        let RequestOutcome::Done(_) = write_tick(&mut client, n) else {
            failed += 1;
            continue;
        };
        acknowledged += 1;
        assert_eq!(read_tick(&mut client), Ok(n), "next read of the session");
        let token = token(&mut client);
        assert_eq!(read_tick(&mut connect_with(far, &token)), Ok(n), "read with the token");
        if killed.is_some_and(|killed| killed.elapsed() > Duration::from_secs(4)) {
            break;
        }
    }
    let primary = fleet.group.primary().unwrap();
    assert_ne!(primary, "billing-1", "no failover took place");
    println!("{acknowledged} acknowledged writes were read back, {failed} writes failed");
}

/// Times at which ticks were acknowledged; index 0 is the state before the first tick.
#[derive(Default)]
struct TickLog(Mutex<Vec<Instant>>);

impl TickLog {
    /// Returns the age at `at` of an answer that shows tick `n`, which is the time since the first
    /// write that it lacks.
    fn age(&self, n: i64, at: Instant) -> Duration {
        let ticks = self.0.lock().unwrap();
        let missing = ticks.get(usize::try_from(n).unwrap() + 1);
        missing.map_or(Duration::ZERO, |missing| at.saturating_duration_since(*missing))
    }
}

/// Results of the readers in one phase.
#[derive(Default)]
struct PhaseResult {
    reads: u64,
    failed: u64,
    stale: u64,
    oldest: Duration,
    /// Share of the reads that were granted a slot of a replica.
    replica_share: f64,
}

/// Returns the number of reads that were granted a slot of the primary and of the replicas.
fn granted_reads(fleet: &SessionFleet) -> (u64, u64) {
    let (mut primary, mut replicas) = (0, 0);
    for proxy in &fleet.proxies {
        let dump = proxy.get("/v1/dump");
        for (name, database) in dump["databases"].as_object().unwrap() {
            let count = database["queue"]["granted"]["interactive"].as_u64().unwrap_or(0);
            if name == "billing-1" { primary += count } else { replicas += count }
        }
    }
    (primary, replicas)
}

/// Reads through both proxies with an accepted age, and measures the age of each answer. Four
/// sessions stay open; a fifth client opens a new one every few reads, as most clients of a fleet do.
/// The share of replica reads is measured while `inject_fault` runs, which starts after `settle`,
/// when replicas have reached the sessions' required positions.
fn read_phase(
    fleet: &SessionFleet,
    ticks: &TickLog,
    accepted: Duration,
    settle: Duration,
    inject_fault: impl FnOnce(),
) -> PhaseResult {
    let result = Mutex::new(PhaseResult::default());
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _stop = StopGuard(&stop);
        for number in 0..5 {
            let (result, stop) = (&result, &stop);
            let proxy = &fleet.proxies[number % 2];
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let mut client = proxy.connect();
                    let set = format!("SET cicadawick.max_age = '{}ms'", accepted.as_millis());
                    client.batch_execute(&set).unwrap();
                    for _ in 0..if number < 4 { usize::MAX } else { 5 } {
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        let read = read_tick(&mut client);
                        let at = Instant::now();
                        let mut result = result.lock().unwrap();
                        match read {
                            Ok(n) => {
                                let age = ticks.age(n, at);
                                result.reads += 1;
                                result.stale += u64::from(age > accepted + CLOCK_TOLERANCE);
                                result.oldest = result.oldest.max(age);
                            }
                            Err(_) => result.failed += 1,
                        }
                        drop(result);
                        std::thread::sleep(Duration::from_millis(2));
                    }
                }
            });
        }
        std::thread::sleep(settle);
        let before = granted_reads(fleet);
        inject_fault();
        let after = granted_reads(fleet);
        let (primary, replicas) = (after.0 - before.0, after.1 - before.1);
        result.lock().unwrap().replica_share = replicas as f64 / (primary + replicas).max(1) as f64;
    });
    result.into_inner().unwrap()
}

/// Checks the age of answers and the share of replica reads at several lags and under replica faults.
fn measure_ages(slots: u32, connections: u32, one_way_delay: Duration) {
    const ACCEPTED: Duration = Duration::from_millis(1_000);
    let mut options = group();
    (options.slots, options.connections) = (slots, connections);
    let fleet = SessionFleet::start(setup(options));
    let mut client = writer(&fleet.proxies[0]);
    create_ticks(&mut client);
    for name in fleet.group.names() {
        fleet.links.set_delay(name, one_way_delay, one_way_delay).unwrap();
    }
    let ticks = TickLog(Mutex::new(vec![Instant::now()]));
    let stop = AtomicBool::new(false);
    let title = format!("{slots} slots, {connections} connections, {one_way_delay:?} one way");
    let mut stale = 0;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut n = 0;
            while !stop.load(Ordering::SeqCst) {
                // Retry until acknowledged; only the first acknowledgement of a tick counts.
                while write_tick(&mut client, n + 1) != RequestOutcome::Done(1) {}
                n += 1;
                ticks.0.lock().unwrap().push(Instant::now());
                std::thread::sleep(Duration::from_millis(4));
            }
        });
        // Stops the writer also when an assertion fails; otherwise the scope would wait forever.
        let _stop = StopGuard(&stop);
        let mut report = |name: &str, result: &PhaseResult| {
            stale += result.stale;
            println!(
                "{title}; {name}: {} reads, {} failed, {:.0}% by replicas, oldest {:.0} ms, {} stale",
                result.reads,
                result.failed,
                100.0 * result.replica_share,
                result.oldest.as_secs_f64() * 1e3,
                result.stale
            );
        };
        for lag in [0, 100, 300, 600, 900, 2_000, 30_000] {
            let lag = Duration::from_millis(lag);
            set_lag(&fleet, lag);
            // After a change of the lag, replicas keep the age of the previous lag for a while.
            let settle = ACCEPTED + Duration::from_millis(200);
            let measure = Duration::from_millis(400);
            let result =
                read_phase(&fleet, &ticks, ACCEPTED, settle, || std::thread::sleep(measure));
            report(&format!("lag {lag:?}"), &result);
            assert!(result.reads > 0);
            assert_eq!(result.failed, 0, "reads failed at a lag of {lag:?}");
            // New sessions, whose required positions no replica has reached, must not keep the other
            // sessions from using replicas.
            let expected = if lag <= ACCEPTED / 3 { 0.6 } else { 0.0 };
            assert!(result.replica_share >= expected, "at a lag of {lag:?}");
        }
        set_lag(&fleet, Duration::from_millis(100));
        let settle = Duration::from_millis(1_500);
        let pause = Duration::from_millis(1_500);
        // The freeze hits reads between dispatch and first byte.
        let result = read_phase(&fleet, &ticks, ACCEPTED, settle, || {
            fleet.group.freeze("billing-2").unwrap();
            fleet.group.freeze("billing-3").unwrap();
            std::thread::sleep(pause);
            fleet.group.thaw("billing-2").unwrap();
            fleet.group.thaw("billing-3").unwrap();
            std::thread::sleep(pause / 3);
        });
        report("replicas frozen for 1.5 s", &result);
        // Only the answers are delayed, and arrive long after the statement ran.
        let result = read_phase(&fleet, &ticks, ACCEPTED, settle, || {
            fleet.links.set_frozen("billing-2", true).unwrap();
            fleet.links.set_frozen("billing-3", true).unwrap();
            std::thread::sleep(pause);
            fleet.links.set_frozen("billing-2", false).unwrap();
            fleet.links.set_frozen("billing-3", false).unwrap();
            std::thread::sleep(pause / 3);
        });
        report("links to the replicas frozen for 1.5 s", &result);
        let answer_delay = Duration::from_millis(350);
        let result = read_phase(&fleet, &ticks, ACCEPTED, settle, || {
            for name in ["billing-2", "billing-3"] {
                fleet.links.set_delay(name, one_way_delay, answer_delay).unwrap();
            }
            std::thread::sleep(pause);
        });
        report("answers and reports of replicas 350 ms late", &result);
    });
    assert_eq!(stale, 0, "stale answers");
}

#[test]
fn answers_are_within_the_accepted_age_with_2_slots() {
    measure_ages(2, 16, Duration::from_micros(500));
}

#[test]
fn answers_are_within_the_accepted_age_with_5_slots() {
    measure_ages(5, 55, Duration::from_micros(1_400));
}
