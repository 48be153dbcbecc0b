//! The databases of one service, as PROTOCOL.md describes them: a primary, its replicas, their logs, slots and
//! promotions. One replica has to receive a commit before it is acknowledged (`sync-replicas` 1).

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::store::Store;
use crate::{record, record_at};

/// Requests that may wait for a slot; more are answered with BUSY.
const QUEUE: usize = 40;

const TICK: Duration = Duration::from_millis(2);

#[derive(Clone, Debug)]
pub struct Commit {
    pub term: u64,
    pub at: Instant,
    /// Id, item and data of each write.
    pub writes: Vec<(String, String, String)>,
}

/// A statement that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub text: String,
    pub database: String,
    pub at: Instant,
    pub ended: Option<Instant>,
}

pub struct Database {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub primary: bool,
    pub term: u64,
    pub fence: u64,
    pub log: Vec<Commit>,
    received: Vec<Instant>,
    pub draining: bool,
    /// Crashed; its port refuses connections, and it writes nothing to the store.
    down: bool,
    /// Start of the process, in milliseconds since 1970.
    born: u64,
    streams: Vec<TcpStream>,
    listed: String,
    busy: usize,
    waiting: usize,
    connections: usize,
}

pub struct ServiceSetup {
    pub slots: usize,
    /// Time of a read, write or commit in its slot.
    pub work: Duration,
    pub promote: Duration,
    /// Time until a replica has received a commit, and until it has applied it.
    pub receive: Duration,
    pub lag: Duration,
}

pub struct Cluster {
    pub name: String,
    setup: ServiceSetup,
    databases: Mutex<Vec<Database>>,
    changed: Condvar,
    pub runs: Mutex<Vec<Run>>,
    next_connection: Mutex<u64>,
    promoting: Mutex<bool>,
    /// The answer of the next statement of a client at this database is lost.
    lose_answer: Mutex<Option<usize>>,
    /// The database that is cut off from some machines, and these.
    cut: Mutex<Option<(usize, Vec<String>)>>,
    store: OnceLock<Arc<Store>>,
}

#[derive(Default)]
struct Connection {
    number: u64,
    term: u64,
    open: bool,
    failed: bool,
    plain: bool,
    writes: Vec<(String, String, String)>,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
}

impl Cluster {
    pub fn start(name: &str, zones: &[&str], setup: ServiceSetup) -> Arc<Cluster> {
        let listeners: Vec<TcpListener> =
            zones.iter().map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let databases =
            listeners.iter().zip(zones).enumerate().map(|(index, (listener, zone))| Database {
                id: format!("i-{name}-{index}"),
                address: listener.local_addr().unwrap(),
                zone: zone.to_string(),
                primary: index == 0,
                term: 1,
                fence: 0,
                log: Vec::new(),
                received: Vec::new(),
                draining: false,
                down: false,
                born: now_ms(),
                streams: Vec::new(),
                listed: String::new(),
                busy: 0,
                waiting: 0,
                connections: 0,
            });
        let cluster = Arc::new(Cluster {
            name: name.to_string(),
            setup,
            databases: Mutex::new(databases.collect()),
            changed: Condvar::new(),
            runs: Mutex::new(Vec::new()),
            next_connection: Mutex::new(0),
            promoting: Mutex::new(false),
            lose_answer: Mutex::new(None),
            cut: Mutex::new(None),
            store: OnceLock::new(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let cluster = cluster.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let cluster = cluster.clone();
                    thread::spawn(move || {
                        let _ = cluster.serve(index, stream);
                    });
                }
            });
        }
        let ticking = cluster.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.replicate();
            }
        });
        cluster
    }

    /// Begins to write the entries of the databases to the store.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        let _ = self.store.set(store.clone());
        self.write_entries();
        let cluster = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                cluster.write_entries();
            }
        });
    }

    pub fn lock(&self) -> MutexGuard<'_, Vec<Database>> {
        self.databases.lock().unwrap()
    }

    pub fn find(&self, id: &str) -> Option<usize> {
        self.lock().iter().position(|database| database.id == id)
    }

    /// Returns the log of the newest primary.
    pub fn final_log(&self) -> Vec<Commit> {
        let databases = self.lock();
        let primaries = databases.iter().filter(|database| database.primary);
        primaries
            .max_by_key(|database| database.term)
            .map_or(Vec::new(), |primary| primary.log.clone())
    }

    /// Crashes a database and starts it again after a time, under its id. It holds and knows nothing of before, so it
    /// comes back as a replica.
    pub fn start_anew(&self, index: usize, after: Duration) {
        {
            let mut databases = self.lock();
            let database = &mut databases[index];
            database.down = true;
            for stream in database.streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            (database.primary, database.term, database.fence) = (false, 0, 0);
            database.log.clear();
            database.received.clear();
            record(&format!("{} crashed", database.id));
        }
        self.changed.notify_all();
        thread::sleep(after);
        {
            let mut databases = self.lock();
            databases[index].down = false;
            databases[index].born = now_ms();
            record(&format!("{} started again with an empty log", databases[index].id));
        }
        self.write_entries();
    }

    /// Crashes a replica and starts it again after a time, with its log. A restart ends its pause.
    pub fn restart_replica(&self, index: usize, after: Duration) {
        {
            let mut databases = self.lock();
            let database = &mut databases[index];
            database.down = true;
            for stream in database.streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            record(&format!("{} crashed", database.id));
        }
        thread::sleep(after);
        {
            let mut databases = self.lock();
            databases[index].down = false;
            databases[index].fence = 0;
            databases[index].born = now_ms();
            record(&format!("{} started again with its log", databases[index].id));
        }
        self.changed.notify_all();
        self.write_entries();
    }

    /// Returns true if a promotion has been accepted.
    pub fn is_promoting(&self) -> bool {
        *self.promoting.lock().unwrap()
    }

    /// Reports `draining` to the store.
    pub fn drain(&self, index: usize) {
        self.lock()[index].draining = true;
        self.write_entries();
    }

    fn write_entries(&self) {
        let Some(store) = self.store.get() else { return };
        let mut databases = self.lock();
        for database in databases.iter_mut() {
            let key = format!("servers/{}", database.id);
            if database.down {
                continue;
            }
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},\"state\":\"{}\",\"warmup-left-ms\":0,\"sequence\":1,\"db-role\":\"{}\",\"born\":{}}}",
                self.name,
                database.address,
                database.zone,
                self.setup.slots,
                if database.draining { "draining" } else { "ready" },
                if database.primary { "primary" } else { "replica" },
                database.born,
            );
            if entry != database.listed {
                store.put(&key, &entry);
                record(&format!("entry written {} {entry}", database.id));
                database.listed = entry;
            }
        }
    }

    /// Copies the log of the newest primary to the replicas that receive it.
    fn replicate(&self) {
        let mut databases = self.lock();
        let now = Instant::now();
        let newest = databases
            .iter()
            .enumerate()
            .filter(|(_, database)| database.primary && !database.down)
            .max_by_key(|(_, database)| database.term)
            .map(|(index, _)| index);
        let Some(primary) = newest else { return };
        let (term, log) = (databases[primary].term, databases[primary].log.clone());
        let due = log.iter().take_while(|commit| now >= commit.at + self.setup.receive).count();
        let mut changed = false;
        for replica in databases.iter_mut() {
            if replica.primary || replica.down || replica.term != term || replica.fence > term {
                continue;
            }
            while replica.log.len() < due {
                replica.log.push(log[replica.log.len()].clone());
                replica.received.push(now);
                changed = true;
            }
        }
        if changed {
            self.changed.notify_all();
        }
    }

    /// Returns false if the database is not running.
    pub fn promote(self: &Arc<Self>, id: &str) -> bool {
        let Some(index) = self.find(id) else { return false };
        if self.lock()[index].down {
            return false;
        }
        *self.promoting.lock().unwrap() = true;
        let cluster = self.clone();
        thread::spawn(move || {
            thread::sleep(cluster.setup.promote);
            {
                let mut databases = cluster.lock();
                if databases[index].primary || databases[index].down {
                    return;
                }
                let term = databases.iter().map(|database| database.term).max().unwrap() + 1;
                databases[index].primary = true;
                databases[index].term = term;
                databases[index].fence = 0;
                let id = databases[index].id.clone();
                record(&format!("promoted {id} term={term} log={}", databases[index].log.len()));
                follow(&mut databases, index, false);
                cluster.changed.notify_all();
            }
            cluster.write_entries();
            thread::sleep(Duration::from_millis(1_000));
            follow(&mut cluster.lock(), index, true);
            cluster.changed.notify_all();
            cluster.write_entries();
        });
        true
    }

    fn serve(&self, index: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let number = {
            let mut next = self.next_connection.lock().unwrap();
            *next += 1;
            *next
        };
        {
            let mut databases = self.lock();
            if databases[index].down {
                return Ok(());
            }
            databases[index].connections += 1;
            databases[index].streams.push(stream.try_clone()?);
        }
        let mut connection = Connection { number, ..Connection::default() };
        let ended = self.converse(index, &stream, &mut connection);
        self.lock()[index].connections -= 1;
        ended
    }

    fn converse(
        &self,
        index: usize,
        stream: &TcpStream,
        connection: &mut Connection,
    ) -> std::io::Result<()> {
        let mut output = stream.try_clone()?;
        let mut lines = BufReader::new(stream).lines();
        let startup = lines.next().transpose()?.unwrap_or_default();
        let fields: Vec<&str> = startup.split(' ').collect();
        let caller = fields.get(2).unwrap_or(&"").to_string();
        self.wait_while_cut(index, &caller);
        let id = self.lock()[index].id.clone();
        if fields.first() != Some(&"STARTUP")
            || fields.get(1) != Some(&self.name.as_str())
            || fields.get(3).is_some_and(|expected| *expected != id)
        {
            return output.write_all(format!("ERROR MISROUTED {id}\r\n").as_bytes());
        }
        output.write_all(format!("READY I {}\r\n", self.position(index)).as_bytes())?;
        for line in lines {
            let line = line?;
            self.wait_while_cut(index, &caller);
            let Some(rest) = line.strip_prefix("QUERY ") else { return Ok(()) };
            let (query, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(answer) = self.answer(index, connection, query, text) else { return Ok(()) };
            if query != "-"
                && text != "BEGIN"
                && self.lose_answer.lock().unwrap().take_if(|lost| *lost == index).is_some()
            {
                record(&format!("the answer to {query} is lost"));
                continue;
            }
            let state = match (connection.open, connection.failed) {
                (true, true) => "E",
                (true, false) => "T",
                (false, _) => "I",
            };
            let position = self.position(index);
            output.write_all(format!("{answer}READY {state} {position}\r\n").as_bytes())?;
        }
        Ok(())
    }

    /// Loses the answer of the next statement that a database runs for a client.
    pub fn lose_answer(&self, index: usize) {
        *self.lose_answer.lock().unwrap() = Some(index);
    }

    /// Cuts a database off from some machines; `None` ends the cut.
    pub fn set_cut(&self, cut: Option<(usize, Vec<String>)>) {
        *self.cut.lock().unwrap() = cut;
    }

    /// Holds back what came through a cut, as a partition does.
    fn wait_while_cut(&self, index: usize, caller: &str) {
        while self.cut.lock().unwrap().as_ref().is_some_and(|(database, callers)| {
            *database == index && callers.iter().any(|other| other == caller)
        }) {
            thread::sleep(TICK);
        }
    }

    fn applied(&self, database: &Database) -> usize {
        if database.primary {
            return database.log.len();
        }
        database.received.iter().take_while(|at| at.elapsed() >= self.setup.lag).count()
    }

    fn position(&self, index: usize) -> String {
        let databases = self.lock();
        let database = &databases[index];
        let applied = self.applied(database);
        let term = database.log[..applied].last().map_or(1, |commit| commit.term);
        format!("{term}.{applied}")
    }

    /// Takes a slot for a read, write, commit or report; `false` if the queue is full.
    fn work(&self, index: usize, time: Duration) -> bool {
        let mut databases = self.lock();
        if databases[index].busy >= self.setup.slots && databases[index].waiting >= QUEUE {
            return false;
        }
        databases[index].waiting += 1;
        while databases[index].busy >= self.setup.slots {
            databases = self.changed.wait(databases).unwrap();
        }
        databases[index].waiting -= 1;
        databases[index].busy += 1;
        drop(databases);
        thread::sleep(time);
        self.lock()[index].busy -= 1;
        self.changed.notify_all();
        true
    }

    /// Executes a query; returns the answer without its last line, or `None` to close the connection.
    fn answer(
        &self,
        index: usize,
        connection: &mut Connection,
        query: &str,
        text: &str,
    ) -> Option<String> {
        let (mut text, mut after) = (text, None);
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ')?;
            let (term, number) = position.split_once('.')?;
            after = Some((term.parse::<u64>().ok()?, number.parse::<usize>().ok()?));
            text = rest;
        }
        let id = self.lock()[index].id.clone();
        let fail = |connection: &mut Connection, code: &str| {
            connection.failed = connection.open;
            Some(format!("ERROR {code} {id}\r\n"))
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        if connection.open && connection.failed && verb != "ROLLBACK" && verb != "COMMIT" {
            return fail(connection, "MALFORMED");
        }
        match verb {
            "SET" => {
                let (name, value) = rest.split_once(' ')?;
                connection.values.insert(name.to_string(), value.to_string());
                return Some("COMPLETE -\r\n".to_string());
            }
            "RESET" => {
                connection.values.clear();
                connection.prepared.clear();
                return Some("COMPLETE -\r\n".to_string());
            }
            "PREPARE" => {
                let (name, rest) = rest.split_once(' ')?;
                let (access, shape) = rest.split_once(' ')?;
                connection
                    .prepared
                    .insert(name.to_string(), (access == "WRITE", shape.to_string()));
                return Some("COMPLETE -\r\n".to_string());
            }
            "ROLLBACK" => {
                (connection.open, connection.failed) = (false, false);
                connection.writes.clear();
                return Some("COMPLETE -\r\n".to_string());
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                if verb == "STATUS" && !self.work(index, Duration::from_micros(500)) {
                    return fail(connection, "BUSY");
                }
                return Some(self.report(index, verb, rest));
            }
            _ => {}
        }
        {
            let databases = self.lock();
            let database = &databases[index];
            let applied = self.applied(database);
            let term = database.log[..applied].last().map_or(1, |commit| commit.term);
            if after.is_some_and(|after| after > (term, applied)) {
                drop(databases);
                return fail(connection, "LAGGING");
            }
            let replaced = connection.open && connection.plain && connection.term != database.term;
            let refused = match verb {
                "BEGIN" => text == "BEGIN" && !database.primary,
                "COMMIT" => replaced && !connection.writes.is_empty(),
                _ => replaced,
            };
            if refused {
                drop(databases);
                return fail(connection, "READONLY");
            }
            if verb == "BEGIN" {
                connection.writes.clear();
                (connection.open, connection.failed) = (true, false);
                (connection.plain, connection.term) = (text == "BEGIN", database.term);
                return Some("COMPLETE -\r\n".to_string());
            }
        }
        let (write, arguments) = match verb {
            "READ" => (false, rest.to_string()),
            "WRITE" => (true, rest.to_string()),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ')?;
                let Some((write, _)) = connection.prepared.get(name) else {
                    return fail(connection, "NOSTMT");
                };
                (*write, arguments.to_string())
            }
            "COMMIT" if connection.open => (false, String::new()),
            _ => return fail(connection, "MALFORMED"),
        };
        if write && !self.lock()[index].primary {
            return fail(connection, "READONLY");
        }
        let run = {
            let mut runs = self.runs.lock().unwrap();
            record_at(
                Instant::now(),
                &format!("ran {query} {text} at {id} on connection {}", connection.number),
            );
            runs.push(Run {
                id: query.to_string(),
                text: text.to_string(),
                database: id.clone(),
                at: Instant::now(),
                ended: None,
            });
            runs.len() - 1
        };
        if !self.work(index, self.setup.work) {
            self.runs.lock().unwrap()[run].text = "refused with BUSY".to_string();
            return fail(connection, "BUSY");
        }
        self.runs.lock().unwrap()[run].ended = Some(Instant::now());
        let mut rows = String::new();
        if verb == "READ" || (verb == "EXECUTE" && !write) {
            rows = format!("ROW {}\r\n", self.value(index, &arguments));
        }
        if write {
            let (item, data) = arguments.split_once(' ').unwrap_or((&arguments, ""));
            connection.writes.push((query.to_string(), item.to_string(), data.to_string()));
        }
        if verb == "COMMIT" || (write && !connection.open) {
            connection.open = false;
            let failed = std::mem::take(&mut connection.failed);
            let writes = std::mem::take(&mut connection.writes);
            if failed {
                return fail(connection, "ABORTED");
            }
            if !writes.is_empty() && !self.commit(index, writes) {
                return None;
            }
        }
        Some(format!("{rows}COMPLETE mac.{id}.{query}\r\n"))
    }

    fn value(&self, index: usize, item: &str) -> String {
        let databases = self.lock();
        let database = &databases[index];
        let commits = database.log[..self.applied(database)].iter().rev();
        let mut writes = commits.flat_map(|commit| commit.writes.iter().rev());
        let newest = writes.find(|(_, other, _)| other == item);
        newest.map_or_else(|| "none".to_string(), |(_, _, data)| data.clone())
    }

    /// Appends a commit and waits until a replica has received it; false if the database lost the lead.
    fn commit(&self, index: usize, writes: Vec<(String, String, String)>) -> bool {
        let mut databases = self.lock();
        let term = databases[index].term;
        if !databases[index].primary {
            return false;
        }
        let now = Instant::now();
        databases[index].log.push(Commit { term, at: now, writes });
        databases[index].received.push(now);
        let length = databases[index].log.len();
        loop {
            if !databases[index].primary || databases[index].term != term {
                return false;
            }
            let received = databases.iter().enumerate().any(|(other, database)| {
                other != index && database.term == term && database.log.len() >= length
            });
            if received {
                return true;
            }
            databases = self.changed.wait_timeout(databases, TICK * 5).unwrap().0;
        }
    }

    fn report(&self, index: usize, verb: &str, rest: &str) -> String {
        let mut databases = self.lock();
        let term: u64 = rest.trim().parse().unwrap_or(0);
        match verb {
            "PAUSE" if !databases[index].primary => {
                databases[index].fence = databases[index].fence.max(term);
            }
            "RESUME" => databases[index].fence = 0,
            "DEMOTE" if databases[index].primary && databases[index].term < term => {
                databases[index].primary = false;
                self.changed.notify_all();
            }
            _ => {}
        }
        let database = &databases[index];
        if verb != "STATUS" {
            record(&format!("{verb} {rest} at {}", database.id));
        }
        let last = database.log.last().map_or(1, |commit| commit.term);
        let role = if database.primary { "primary" } else { "replica" };
        format!(
            "ROW {role} {} {last}.{} {} {} {} {}\r\nCOMPLETE -\r\n",
            database.term,
            database.log.len(),
            database.fence,
            self.setup.lag.as_millis(),
            database.busy,
            database.connections
        )
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Makes the databases that are not the new primary its replicas; the old primary only if `all` is set.
fn follow(databases: &mut [Database], primary: usize, all: bool) {
    let (term, log) = (databases[primary].term, databases[primary].log.clone());
    let received = databases[primary].received.clone();
    for (index, database) in databases.iter_mut().enumerate() {
        if index != primary && !database.down && database.term < term && (all || !database.primary)
        {
            (database.primary, database.term, database.fence) = (false, term, 0);
            database.log.clone_from(&log);
            database.received.clone_from(&received);
        }
    }
}
