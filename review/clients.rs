//! Clients that write rising values to one item, clients that read it, and the check of what they read.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::database::Cluster;
use crate::gate::Client;
use crate::setup::DATABASE;
use crate::{record, record_at};

/// With two writers this makes about as many writes a second as the site's clients send.
const WRITER_PAUSE: Duration = Duration::from_millis(20);
const READER_PAUSE: Duration = Duration::from_millis(5);

const ITEM: &str = "balance";

/// A read, and the value that was acknowledged last before it began.
struct Read {
    id: String,
    began: Instant,
    value: u64,
    acknowledged: (Instant, u64),
}

#[derive(Default)]
pub struct Clients {
    stop: AtomicBool,
    next: AtomicU64,
    acknowledged: Mutex<Vec<(Instant, u64)>>,
    reads: Mutex<Vec<Read>>,
    threads: Mutex<Vec<thread::JoinHandle<()>>>,
}

impl Clients {
    /// Starts a client that writes at a machine.
    pub fn start_writer(self: &Arc<Self>, name: &str, address: SocketAddr) {
        let (clients, name) = (self.clone(), name.to_string());
        self.threads.lock().unwrap().push(thread::spawn(move || clients.write(&name, address)));
    }

    /// Starts a client that reads at a machine.
    pub fn start_reader(self: &Arc<Self>, name: &str, address: SocketAddr) {
        let (clients, name) = (self.clone(), name.to_string());
        self.threads.lock().unwrap().push(thread::spawn(move || clients.read(&name, address)));
    }

    /// Ends all clients.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.lock().unwrap().drain(..) {
            let _ = thread.join();
        }
    }

    fn write(&self, name: &str, address: SocketAddr) {
        let mut session = None;
        while !self.stop.load(Ordering::Relaxed) {
            if session.is_none() {
                session = Client::open(address, DATABASE).ok();
            }
            let Some(client) = &mut session else { continue };
            let value = self.next.fetch_add(1, Ordering::Relaxed) + 1;
            let (id, text) = (format!("{name}n{value}"), format!("WRITE {ITEM} {value}"));
            record_at(Instant::now(), &format!("sent {id} {text}"));
            match client.ask(&id, &text) {
                Ok(answer) => {
                    if answer.succeeded() {
                        self.acknowledged.lock().unwrap().push((Instant::now(), value));
                    }
                    record(&format!("answered {id} {text}: {}", answer.end));
                    thread::sleep(WRITER_PAUSE);
                }
                Err(error) => {
                    record(&format!("{id} ended without an answer: {error}"));
                    session = None;
                }
            }
        }
    }

    fn read(&self, name: &str, address: SocketAddr) {
        let mut session = None;
        for number in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            if session.is_none() {
                session = Client::open(address, DATABASE).ok();
            }
            let Some(client) = &mut session else { continue };
            let id = format!("{name}n{number}");
            let last = self.acknowledged.lock().unwrap().last().copied();
            let began = Instant::now();
            record_at(began, &format!("sent {id} READ {ITEM}"));
            match client.ask(&id, &format!("READ {ITEM}")) {
                Ok(answer) => {
                    let row = answer.rows.first().map_or("", String::as_str);
                    record(&format!("answered {id} READ {ITEM}: {row} {}", answer.end));
                    if answer.succeeded()
                        && let Some(acknowledged) = last
                    {
                        let value = row.parse().unwrap_or(0);
                        self.reads.lock().unwrap().push(Read { id, began, value, acknowledged });
                    }
                    thread::sleep(READER_PAUSE);
                }
                Err(error) => {
                    record(&format!("{id} ended without an answer: {error}"));
                    session = None;
                }
            }
        }
    }

    /// Checks that each read returned the value that was acknowledged last before it began, or one that is later in the
    /// log.
    pub fn judge(&self, cluster: &Cluster) -> Option<String> {
        let log = cluster.final_log();
        let position = |value: u64| {
            log.iter().position(|commit| {
                commit.writes.iter().any(|(_, _, data)| *data == value.to_string())
            })
        };
        let mut first = None;
        let mut count = 0;
        for read in self.reads.lock().unwrap().iter() {
            // A commit that isn't in the final log was rolled back.
            let Some(acknowledged) = position(read.acknowledged.1) else { continue };
            let seen = position(read.value);
            if seen.is_some_and(|seen| seen >= acknowledged) || (seen.is_none() && read.value != 0)
            {
                continue;
            }
            count += 1;
            let run = cluster.runs.lock().unwrap().iter().find(|run| run.id == read.id).cloned();
            record(&format!(
                "stale: {} returned {} from {}, though {} was acknowledged {:.1} ms before it began",
                read.id,
                read.value,
                run.map_or(String::new(), |run| run.database),
                read.acknowledged.1,
                (read.began - read.acknowledged.0).as_secs_f64() * 1e3,
            ));
            first.get_or_insert_with(|| read.id.clone());
        }
        first.map(|first| {
            format!("STALE: {count} reads lack an acknowledged commit, the first is {first}")
        })
    }
}
