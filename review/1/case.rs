//! LOST: a primary is cut off from some machines and is replaced, and a paused replica starts again meanwhile.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::database::{Cluster, ServiceSetup};
use crate::gate::{Client, Gate};
use crate::setup::{DATABASE, SERVICE, VIEWS, configure, wait_until_ready};
use crate::store::Store;
use crate::{record, record_at, trouble, wait_for};

const ZONES: [&str; 5] = ["chiquimula", "jocotan", "zacapa", "esquipulas", "jocotan"];

/// Number of machines that are cut off from the primary: a share of 0.6.
const CUT: usize = 3;

/// Clients that write at each of the other machines.
const WRITERS: usize = 8;

/// Time from the acceptance of the promotion to the crash of the replica, and from there to its next start.
const CRASH_DELAY_MS: u64 = 200;
const RESTART: Duration = Duration::from_millis(100);

pub fn run(scratch: &Path) -> Option<String> {
    // Figures of the site `pj-chiquimula`, with the work of a `bascula`.
    let setup = ServiceSetup {
        slots: 5,
        work: Duration::from_millis(33),
        promote: Duration::from_millis(1_000),
        receive: Duration::from_millis(2),
        lag: Duration::from_millis(20),
    };
    let cluster = Cluster::start(SERVICE, &ZONES[..3], setup);
    let store = Store::start(vec![cluster.clone()]);
    configure(&store, 1_000);
    cluster.register(&store);
    let gates: Vec<Gate> = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| Gate::start(scratch, index, zone, store.address))
        .collect();
    wait_until_ready(&gates);
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut threads = Vec::new();
    for (index, gate) in gates.iter().enumerate() {
        let (address, stopped) = (gate.front, stop.clone());
        threads.push(thread::spawn(move || view(address, &stopped)));
        // One client at each machine that will be cut off shows it that the primary is silent.
        for writer in 0..if index < CUT { 1 } else { WRITERS } {
            let (address, stop, acknowledged) = (gate.front, stop.clone(), acknowledged.clone());
            let name = format!("m{index}c{writer}");
            threads.push(thread::spawn(move || write(&name, address, &stop, &acknowledged)));
        }
    }
    thread::sleep(Duration::from_secs(3));
    if trouble() {
        let names: Vec<String> = gates[..CUT].iter().map(|gate| gate.name.clone()).collect();
        record(&format!("cut the primary off from {}", names.join(", ")));
        cluster.set_cut(Some((0, names)));
        wait_for("a promotion", Duration::from_secs(10), || cluster.is_promoting());
        thread::sleep(crash_delay());
        if std::env::var("WITHOUT").is_ok_and(|value| value == "restart") {
            thread::sleep(RESTART);
        } else {
            cluster.restart_replica(2, RESTART);
        }
        thread::sleep(Duration::from_secs(2));
        record("the cut ends");
        cluster.set_cut(None);
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let log = cluster.final_log();
    let logged: HashSet<&str> =
        log.iter().flat_map(|commit| &commit.writes).map(|(id, _, _)| id.as_str()).collect();
    let acknowledged = acknowledged.lock().unwrap();
    let lost: Vec<&String> =
        acknowledged.iter().filter(|id| !logged.contains(id.as_str())).collect();
    record(&format!(
        "{} writes acknowledged, {} of them not in the log",
        acknowledged.len(),
        lost.len()
    ));
    for id in &lost {
        record(&format!("lost: {id}"));
    }
    lost.first().map(|first| {
        format!(
            "LOST: {} acknowledged commits aren't in the log of the promoted database, the first is {first}",
            lost.len()
        )
    })
}

/// Returns the time from the acceptance of the promotion to the crash; CRASH_MS sets another one.
fn crash_delay() -> Duration {
    let given = std::env::var("CRASH_MS").ok().and_then(|millis| millis.parse().ok());
    Duration::from_millis(given.unwrap_or(CRASH_DELAY_MS))
}

/// Reads on the route of type `bounded`, which replicas serve.
fn view(address: SocketAddr, stop: &AtomicBool) {
    let mut session = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        if session.is_none() {
            session = Client::open(address, VIEWS).ok();
        }
        if let Some(client) = &mut session
            && client.ask(&format!("v{}n{number}", address.port()), "READ item").is_err()
        {
            session = None;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn write(name: &str, address: SocketAddr, stop: &AtomicBool, acknowledged: &Mutex<Vec<String>>) {
    let mut session = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        if session.is_none() {
            session = Client::open(address, DATABASE).ok();
        }
        let Some(client) = &mut session else { continue };
        let id = format!("{name}n{number}");
        record_at(Instant::now(), &format!("sent {id} WRITE {name} {number}"));
        match client.ask(&id, &format!("WRITE {name} {number}")) {
            Ok(answer) => {
                record(&format!("answered {id}: {}", answer.end));
                if answer.succeeded() {
                    acknowledged.lock().unwrap().push(id);
                } else {
                    thread::sleep(Duration::from_millis(20));
                }
            }
            Err(error) => {
                record(&format!("{id} ended without an answer: {error}"));
                session = None;
            }
        }
    }
}
