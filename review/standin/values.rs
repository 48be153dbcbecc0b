//! PINNED: a machine that is cut off from the primary passes statements on to another machine.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::gate::Client;
use crate::setup::{DATABASE, Deployment, VIEW_WORK};
use crate::{cannot_run, record, trouble};

/// Number of session values that the program accepts for each session.
const VALUES: usize = 256;

/// Length of the cut; the pages allow 7 s.
const CUT: Duration = Duration::from_secs(5);

pub fn run(scratch: &Path) -> Option<String> {
    let Deployment { cluster, gates, .. } = Deployment::start(scratch, VIEW_WORK, 800);
    let address = gates[0].front;
    let open = || {
        Client::open(address, DATABASE)
            .unwrap_or_else(|error| cannot_run(&format!("no session: {error}")))
    };
    if trouble() {
        record(&format!("cut the primary off from {}", gates[0].name));
        cluster.set_cut(Some((0, vec![gates[0].name.clone()])));
    }
    let cut = Instant::now();
    let mut probe = open();
    let mut served = 0;
    for number in 0.. {
        let Ok(answer) = probe.ask(&format!("p{number}"), "READ item") else {
            cannot_run("the session ended")
        };
        record(&format!("answered p{number} {}", answer.end));
        served += usize::from(answer.succeeded());
        if served == 2 {
            break;
        }
        if cut.elapsed() > CUT {
            cannot_run("no statement is served");
        }
        thread::sleep(Duration::from_millis(50));
    }
    let mut acknowledged: Vec<(String, BTreeMap<String, String>)> = Vec::new();
    for tenant in ["alma", "bruno"] {
        let mut client = open();
        let mut values = BTreeMap::new();
        for index in 0..VALUES {
            let (name, value) = (format!("v{index}"), format!("{tenant}{index}"));
            match client.ask(&format!("{tenant}s{index}"), &format!("SET {name} {value}")) {
                Ok(answer) if answer.succeeded() => values.insert(name, value),
                other => cannot_run(&format!("SET {name}: {other:?}")),
            };
        }
        let id = format!("{tenant}q");
        match client.ask(&id, "READ item") {
            Ok(answer) => record(&format!("answered {id} READ item: {}", answer.end)),
            Err(error) => cannot_run(&format!("{id}: {error}")),
        }
        acknowledged.push((id, values));
    }
    record(&format!("the cut lasted {:.3} s", cut.elapsed().as_secs_f64()));
    cluster.set_cut(None);
    let runs = cluster.runs.lock().unwrap();
    for (id, values) in acknowledged {
        for run in runs.iter().filter(|run| run.id == id) {
            let differing =
                values.iter().filter(|(name, value)| run.values.get(*name) != Some(value));
            let differing: Vec<String> = differing
                .map(|(name, value)| format!("{name}={value} ran as {:?}", run.values.get(name)))
                .collect();
            record(&format!(
                "{id} ran at {} on connection {}; {} of {} session values differ",
                run.database,
                run.connection,
                differing.len(),
                values.len()
            ));
            if let Some(first) = differing.first() {
                return Some(format!(
                    "PINNED: {id} ran with {} other session values than its client was acknowledged, such as {first}",
                    differing.len()
                ));
            }
        }
    }
    None
}
