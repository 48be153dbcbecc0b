//! Scheduling of the ranks with real processes: three proxies in front of one database group with two
//! slots.
//!
//! Every statement takes 20 ms, so the primary serves 100 statements/s. Statements that ran are
//! counted in the fake database's tables, one for each rank. Clients check deadlines themselves. An
//! urgent statement waits about 20 ms for a slot, runs for 20 ms and waits for a report round; its
//! deadline of 3 s allows more than ten times that on a busy machine.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::time::{Duration, Instant};

use common::fleet::{FleetOptions, TestFleet, cluster_name, run_cli};
use common::history::final_rows;
use common::{code, temporary_file, wait_until};
use postgres::NoTls;
use serde_json::{Value, json};

const SERVICE_TIME: Duration = Duration::from_millis(20);
const SLOTS: u32 = 2;
const URGENT_DEADLINE: Duration = Duration::from_secs(3);

/// Kinds of requests: label, rank, deadline in ms, minimum share in percent.
const KINDS: [(&str, &str, u64, u64); 3] = [
    ("token", "urgent", 3_000, 0),
    ("balance", "interactive", 2_000, 15),
    ("reading", "batch", 2_000, 10),
];

static NEXT_ID: AtomicI64 = AtomicI64::new(1);

/// One request of a client.
#[derive(Clone, Debug)]
struct RequestRecord {
    id: i64,
    sent: Instant,
    took: Duration,
    /// SQLSTATE of the error, if the request failed.
    failed: Option<String>,
}

fn start_fleet() -> TestFleet {
    let fleet = TestFleet::start(FleetOptions {
        data_centres: 1,
        nodes: 3,
        slots: SLOTS,
        ..FleetOptions::default()
    });
    let mut setup = fleet.node(0).try_connect(&cluster_name(0), "").unwrap();
    for (kind, ..) in KINDS {
        setup.batch_execute(&format!("CREATE TABLE {kind} (id bigint)")).unwrap();
    }
    let mut document: Value = serde_json::from_str(&fleet.configuration(4_000)).unwrap();
    let selectors = KINDS.map(|(kind, rank, deadline, _)| {
        json!({ "name": kind, "matches": format!("kind={kind}"), "rank": rank,
                "deadline_ms": deadline })
    });
    document["selectors"] = selectors.into_iter().collect();
    let shares = KINDS.map(|(_, rank, _, minimum_share)| {
        (rank.to_owned(), json!({ "floor_percent": minimum_share }))
    });
    document["ranks"] = Value::Object(shares.into_iter().collect());
    let path = temporary_file("ranks");
    std::fs::write(&path, document.to_string()).unwrap();
    let run = run_cli(fleet.platform.address(), &["apply", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(run.code, 0, "{run:?}");
    wait_until("the configuration is active", || (0..3).all(|node| fleet.revision(node) == 2));
    let primary = fleet.groups[0].primary().unwrap();
    fleet.groups[0].set_service_time(&primary, SERVICE_TIME).unwrap();
    fleet
}

/// Sends one request each period until `stop` is set; a late answer delays the next request.
fn send_until(
    address: SocketAddr,
    kind: &str,
    period: Duration,
    stop: &AtomicBool,
) -> Vec<RequestRecord> {
    let mut config = postgres::Config::new();
    config.host(&address.ip().to_string()).port(address.port()).user("vendor");
    config.dbname(&cluster_name(0)).options(&format!("-c cicadawick.labels=kind={kind}"));
    let mut client = config.connect(NoTls).unwrap();
    let mut records = Vec::new();
    let mut due = Instant::now();
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let (id, sent) = (NEXT_ID.fetch_add(1, Ordering::SeqCst), Instant::now());
        due = due.max(sent) + period;
        let result = client.batch_execute(&format!("INSERT INTO {kind} VALUES ({id})"));
        let failed = result.err().map(|error| code(&error));
        records.push(RequestRecord { id, sent, took: sent.elapsed(), failed });
    }
    records
}

/// Clients that send one kind of request.
struct ClientGroup {
    kind: &'static str,
    clients: u32,
    /// Requests per second of all clients together.
    rate: u32,
}

/// Runs groups of clients spread over the proxies while `during` runs; returns their records.
fn run_groups(
    fleet: &TestFleet,
    groups: &[ClientGroup],
    during: impl FnOnce(),
) -> Vec<Vec<RequestRecord>> {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let stop = &stop;
        let threads: Vec<Vec<_>> = groups
            .iter()
            .map(|group| {
                let period = Duration::from_secs(1) * group.clients / group.rate;
                let start = |client: u32| {
                    let address = fleet.node(client as usize % 3).caller_address;
                    let kind = group.kind;
                    scope.spawn(move || {
                        std::thread::sleep(period * client / group.clients);
                        send_until(address, kind, period, stop)
                    })
                };
                (0..group.clients).map(start).collect()
            })
            .collect();
        during();
        stop.store(true, Ordering::SeqCst);
        let join = |group: Vec<std::thread::ScopedJoinHandle<'_, Vec<RequestRecord>>>| {
            group.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
        };
        threads.into_iter().map(join).collect()
    })
}

/// Checks that acknowledged requests ran once and that refused ones did not run; returns the number
/// of each.
fn check_records(fleet: &TestFleet, kind: &str, records: &[RequestRecord]) -> (usize, usize) {
    let written = final_rows(&fleet.groups[0], kind);
    let distinct: BTreeSet<i64> = written.iter().copied().collect();
    assert_eq!(distinct.len(), written.len(), "a request of {kind} ran twice");
    let (mut acknowledged, mut refused) = (0, 0);
    for record in records {
        match &record.failed {
            None => {
                assert!(distinct.contains(&record.id), "acknowledged and absent: {record:?}");
                acknowledged += 1;
            }
            Some(code) => {
                assert!(code.starts_with("WK"), "{kind}: {record:?}");
                assert!(!distinct.contains(&record.id), "refused and present: {record:?}");
                refused += 1;
            }
        }
    }
    let longest = records.iter().filter(|record| record.failed.is_none());
    let longest = longest.map(|record| record.took).max().unwrap_or_default();
    println!("{kind}: {acknowledged} acknowledged, {refused} refused, longest {longest:?}");
    (acknowledged, refused)
}

// Guards against batch requests that delay urgent ones, refusals of requests that ran, and a backlog
// that persists after an overload.
#[test]
fn urgent_requests_meet_their_deadline_in_a_batch_overload() {
    let fleet = start_fleet();
    let length = Duration::from_secs(5);
    let groups = [
        ClientGroup { kind: "token", clients: 20, rate: 40 },
        ClientGroup { kind: "reading", clients: 300, rate: 300 },
    ];
    let records = run_groups(&fleet, &groups, || std::thread::sleep(length));
    let (_, refused) = check_records(&fleet, "token", &records[0]);
    assert_eq!(refused, 0, "urgent requests were refused");
    assert!(records[0].iter().all(|record| record.took <= URGENT_DEADLINE));
    let (readings, refused) = check_records(&fleet, "reading", &records[1]);
    assert!(refused > 0, "no request was refused, so there was no overload");
    // 300/s are due; clients that wait for an answer send slightly fewer.
    let offered = records[1].len() as u64 / length.as_secs();
    println!("offered: {offered} readings/s");
    assert!(offered >= 200, "{offered} readings/s are no overload");
    // Batch gets at least its minimum share of 100 statements/s.
    assert!(readings >= 10 * length.as_secs() as usize, "{readings} readings ran");

    // The overload ends when its last client has its answer.
    let ended = records[1].iter().map(|record| record.sent + record.took).max().unwrap();
    let groups = [
        ClientGroup { kind: "token", clients: 6, rate: 20 },
        ClientGroup { kind: "balance", clients: 6, rate: 10 },
        ClientGroup { kind: "reading", clients: 6, rate: 10 },
    ];
    let records = run_groups(&fleet, &groups, || std::thread::sleep(Duration::from_secs(2)));
    println!("after the overload: {:?}", ended.elapsed());
    for (group, records) in groups.iter().zip(&records) {
        let (_, refused) = check_records(&fleet, group.kind, records);
        assert_eq!(refused, 0, "{} is refused after the overload", group.kind);
    }
}

// Guards against urgent requests that take the minimum shares of the other ranks.
#[test]
fn other_ranks_keep_their_minimum_share_in_an_urgent_overload() {
    let fleet = start_fleet();
    let groups = [
        ClientGroup { kind: "token", clients: 300, rate: 300 },
        ClientGroup { kind: "balance", clients: 60, rate: 60 },
        ClientGroup { kind: "reading", clients: 60, rate: 60 },
    ];
    let count = || KINDS.map(|(kind, ..)| final_rows(&fleet.groups[0], kind).len());
    let (mut before, mut after) = ([0; 3], [0; 3]);
    let records = run_groups(&fleet, &groups, || {
        // Wait until the queues of all ranks have filled.
        std::thread::sleep(Duration::from_secs(2));
        before = count();
        std::thread::sleep(Duration::from_secs(6));
        after = count();
    });
    let ran: Vec<usize> = after.iter().zip(&before).map(|(after, before)| after - before).collect();
    let total: usize = ran.iter().sum();
    println!("ran in 6 s: {ran:?} of {total}");
    for (group, records) in groups.iter().zip(&records) {
        let (_, refused) = check_records(&fleet, group.kind, records);
        assert!(
            refused > 0 || group.kind != "token",
            "no request was refused, so there was no overload"
        );
    }
    // All statements take the same time, so a share of the slot time equals a share of the
    // statements. The queue may be one statement behind for a rank, and each end of the count may
    // split one in each slot.
    let tolerance = 1 + 2 * SLOTS as usize;
    for ((kind, _, _, minimum_share), ran) in KINDS.into_iter().zip(ran) {
        let least = (total * minimum_share as usize / 100).saturating_sub(tolerance);
        assert!(ran >= least, "{kind}: {ran} of {total} statements, minimum {least}");
    }
}
