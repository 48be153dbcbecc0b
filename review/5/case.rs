//! LOST: a machine gets SIGTERM while clients go on using their open connections.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::database::Cluster;
use crate::gate::{Client, GRACE, SIGTERM};
use crate::setup::{DATABASE, Deployment, VIEW_WORK};
use crate::{record, record_at, trouble};

const CLIENTS: usize = 36;

/// `timeout-ms` of the route, that of the site's `balance-view`; its clients' time budget is 3 s.
const TIMEOUT: Duration = Duration::from_millis(1_200);

/// Requests sent up to this time after SIGTERM may be cut in the last sixth of the grace period.
const EXCUSED: Duration = Duration::from_secs(3);

/// Bound `loss-slack-ms`: a request that wasn't passed on counts if it was sent longer ago.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// A request whose connection ended without a complete answer.
struct Cut {
    id: String,
    sent: Instant,
    ended: Instant,
    reason: String,
}

pub fn run(scratch: &Path) -> Option<String> {
    let Deployment { cluster, mut gates, .. } = Deployment::start(scratch, VIEW_WORK, 1_200);
    let stop = Arc::new(AtomicBool::new(false));
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let address = gates[0].front;
    let sessions: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, cuts) = (stop.clone(), cuts.clone());
            thread::spawn(move || use_session(client, address, &stop, &cuts))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let terminated = Instant::now();
    if trouble() {
        gates[0].signal(SIGTERM);
    }
    while terminated.elapsed() < GRACE && gates[0].is_running() {
        thread::sleep(Duration::from_millis(5));
    }
    record(&format!("waited {:.3} s after SIGTERM", terminated.elapsed().as_secs_f64()));
    stop.store(true, Ordering::Relaxed);
    for session in sessions {
        let _ = session.join();
    }
    judge(&cluster, &cuts.lock().unwrap(), terminated)
}

/// Sends one statement after the other on a session until it is closed.
fn use_session(
    client: usize,
    address: std::net::SocketAddr,
    stop: &AtomicBool,
    cuts: &Mutex<Vec<Cut>>,
) {
    let mut session = match Client::open(address, DATABASE) {
        Ok(session) => session,
        Err(error) => crate::cannot_run(&format!("no session: {error}")),
    };
    // The record is written at the end, so that it doesn't slow the client down.
    let mut notes = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            notes.push((Instant::now(), format!("client {client} leaves")));
            break;
        }
        let id = format!("c{client}n{number}");
        let text = format!("WRITE item{client} v{number}");
        let sent = Instant::now();
        let answer = session.ask(&id, &text);
        let ended = Instant::now();
        notes.push((sent, format!("sent {id} {text}")));
        match answer {
            Ok(answer) => {
                notes.push((ended, format!("answered {id} {} {}", answer.end, answer.state)))
            }
            Err(error) => {
                notes.push((ended, format!("connection of {id} ended without an answer: {error}")));
                let reason = error.to_string();
                cuts.lock().unwrap().push(Cut { id, sent, ended, reason });
                break;
            }
        }
    }
    for (time, text) in notes {
        record_at(time, &text);
    }
}

/// Returns the requests that count: sent later than 3 s after SIGTERM, cut before their time was up, and either passed
/// on to a database or cut later than `loss-slack-ms` after they were sent.
fn judge(cluster: &Cluster, cuts: &[Cut], terminated: Instant) -> Option<String> {
    let runs = cluster.runs.lock().unwrap();
    let mut counted = Vec::new();
    for cut in cuts {
        let run = runs.iter().find(|run| run.id == cut.id && run.text.starts_with("WRITE"));
        let after = cut.sent.duration_since(terminated);
        let held = cut.ended.duration_since(cut.sent);
        record(&format!(
            "cut {}: sent {:.3} s after SIGTERM, cut {:.3} s after that ({}), passed on to {}",
            cut.id,
            after.as_secs_f64(),
            held.as_secs_f64(),
            cut.reason,
            run.map_or("no database", |run| run.database.as_str()),
        ));
        let passed_on = run.is_some_and(|run| run.at <= cut.ended);
        let in_grace = cut.ended <= terminated + GRACE + Duration::from_secs(1);
        let counts = passed_on || held > LOSS_SLACK;
        if counts && after > EXCUSED && in_grace && held < TIMEOUT.mul_f64(0.7) {
            counted.push(cut.id.clone());
        }
    }
    (!counted.is_empty()).then(|| {
        format!(
            "LOST: {} requests sent later than 3 s after SIGTERM were never answered: {}",
            counted.len(),
            counted.join(", ")
        )
    })
}
