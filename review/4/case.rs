//! STALE: the answer of the store to a machine's registration was lost, and the write was done late. Later the
//! primary is replaced according to plan while the store turns this machine away.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::Clients;
use crate::database::Cluster;
use crate::gate::Gate;
use crate::setup::{SALE_WORK, SERVICE, ZONES, billing_db, configure, wait_until_ready};
use crate::store::{Door, Store};
use crate::{record, trouble, wait_for};

/// The machine whose calls are disturbed.
const DISTURBED: usize = 2;

/// Time until a write is done whose answer was lost; the pages name 1 to 6 s.
const LATE: Duration = Duration::from_millis(2_000);

/// Time for which the store turns the machine away; the pages name up to 9 s.
const TURNED_AWAY: Duration = Duration::from_millis(3_000);

pub fn run(scratch: &Path) -> Option<String> {
    let cluster = Cluster::start(SERVICE, &ZONES, billing_db(SALE_WORK));
    let store = Store::start(vec![cluster.clone()]);
    configure(&store, 800);
    cluster.register(&store);
    let name = format!("front-{}-{DISTURBED}", ZONES[DISTURBED]);
    let registration = format!("cicadawick/nodes/{name}");
    let lost_write = (trouble() && !left_out("late")).then(|| (registration.clone(), LATE));
    let (door, door_address) = store.open_door(Door { lost_write, ..Door::default() });
    let gates: Vec<Gate> = ZONES
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let address = if index == DISTURBED { door_address } else { store.address };
            Gate::start(scratch, index, zone, address)
        })
        .collect();
    wait_until_ready(&gates);
    thread::sleep(Duration::from_secs(3));
    record(&format!("{registration} is in the store: {}", store.contains(&registration)));

    let clients = Arc::new(Clients::default());
    for (index, gate) in gates.iter().enumerate() {
        if index != DISTURBED {
            clients.start_writer(&format!("w{index}"), gate.front);
        }
    }
    for reader in 0..3 {
        clients.start_reader(&format!("r{reader}"), gates[DISTURBED].front);
    }
    thread::sleep(Duration::from_secs(2));
    let before = Instant::now();
    wait_for("a renewal", Duration::from_secs(5), || {
        store.doors.lock().unwrap()[door].renewed.is_some_and(|at| at > before)
    });
    record("the primary reports draining");
    cluster.drain(0);
    if trouble() && !left_out("refusal") {
        record(&format!("the store turns {name} away"));
        store.doors.lock().unwrap()[door].refuses = true;
    }
    thread::sleep(TURNED_AWAY);
    store.doors.lock().unwrap()[door].refuses = false;
    record(&format!("the store serves {name}"));
    clients.stop();
    clients.judge(&cluster)
}

/// Returns true if WITHOUT names one of the two disturbances, which is then left out.
fn left_out(name: &str) -> bool {
    std::env::var("WITHOUT").is_ok_and(|value| value == name)
}
