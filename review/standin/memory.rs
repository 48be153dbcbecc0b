//! Fault: statements with long answers make the processes exceed the memory of their machines.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gate::{Client, Gate};
use crate::setup::{DATABASE, Deployment, VIEW_WORK};
use crate::{record, trouble};

/// `memory-mb` of the settings.
const MEMORY: u64 = 260 * 1024 * 1024;

/// Time after which the platform starts a process again that ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

const OPERATIONS: usize = 5;

/// An operation is tried once and retried twice.
const TRIES: usize = 3;

pub fn run(scratch: &Path) -> Option<String> {
    let Deployment { gates, .. } = Deployment::start(scratch, VIEW_WORK, 8_000);
    let addresses: Vec<_> = gates.iter().map(|gate| gate.front).collect();
    let kills = vec![0; gates.len()];
    let state = Arc::new(Mutex::new((gates, kills)));
    let stop = Arc::new(AtomicBool::new(false));
    let (watched, stopped) = (state.clone(), stop.clone());
    let platform = thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            enforce_memory(&mut watched.lock().unwrap());
            thread::sleep(Duration::from_millis(2));
        }
    });
    let text = if trouble() { "READ report300x1000" } else { "READ report1x1" };
    for operation in 0..OPERATIONS {
        for attempt in 0..TRIES {
            let id = format!("o{operation}a{attempt}");
            let address = addresses[(operation + attempt) % addresses.len()];
            record(&format!("sent {id} {text} to {address}"));
            let started = Instant::now();
            let answer =
                Client::open(address, DATABASE).and_then(|mut client| client.ask(&id, text));
            let took = started.elapsed().as_secs_f64();
            match answer {
                Ok(answer) if answer.succeeded() => {
                    let rows = answer.rows.len();
                    record(&format!("answered {id} with {rows} rows after {took:.3} s"));
                    break;
                }
                Ok(answer) => record(&format!("answered {id} {} after {took:.3} s", answer.end)),
                Err(error) => record(&format!("{id} ended after {took:.3} s: {error}")),
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = platform.join();
    let kills = &state.lock().unwrap().1;
    record(&format!("processes killed over the limit of memory, by machine: {kills:?}"));
    let machines = kills.iter().filter(|count| **count >= 3).count();
    (machines >= 2).then(|| {
        format!("Fault: on {machines} of {} machines processes exceeded the memory limit three times or more", kills.len())
    })
}

/// Kills each process over the limit, as the platform does, and starts it again.
fn enforce_memory((gates, kills): &mut (Vec<Gate>, Vec<usize>)) {
    for (gate, kills) in gates.iter_mut().zip(kills) {
        let memory = gate.memory();
        if gate.is_running() && memory > MEMORY {
            record(&format!("{} uses {} MB", gate.name, memory / 1024 / 1024));
            gate.kill();
            *kills += 1;
        } else if gate.ended_before(RESTART_DELAY) {
            gate.restart();
        }
    }
}
