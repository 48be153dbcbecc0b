//! A fake database group that speaks the PostgreSQL v3 protocol.
//!
//! One process holds N databases, each on its own port with its own tables, log, term, limits and
//! counters. The primary appends committed transactions to its log; a thread per replica copies
//! entries after the receive delay and applies them after the apply lag. Terms follow section 5 of
//! the design page: a fence raises a database's term and ends its transactions as primary of a lower
//! term, a promotion opens the term with a log entry, and a follower discards entries that its leader
//! does not have.
//!
//! A primary that was frozen or cut off still believes that it leads. It accepts commits of its old
//! term until it is fenced or told to follow, so a proxy needs proof of leadership beyond the
//! reported role.
//!
//! Behaviour that clients may notice:
//! - Statements wait in arrival order for a slot. A statement that waits for a row lock releases its
//!   slot and acquires one again afterwards. `cicadawick_*` functions take no slot.
//! - Isolation is READ COMMITTED with row locks; a deadlock is reported at once as `40P01`, and a
//!   lock wait ends after 10 s with `55P03`.
//! - `numeric` is a double, and `sum` of integers is `bigint`.
//! - Results are in binary format if the client requests it, as the `postgres` crate does.

mod control;
mod engine;
mod server;
mod store;
mod value;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde::{Deserialize, Serialize};

use crate::http::ControlServer;
use crate::port;
use store::{DatabaseState, LogChange, LogEntry};

/// Error of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SqlError {
    pub(crate) code: &'static str,
    pub(crate) message: String,
}

impl SqlError {
    fn new(code: &'static str, message: impl Into<String>) -> Self {
        SqlError { code, message: message.into() }
    }
}

/// Role that a database believes it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DatabaseRole {
    Primary,
    Replica,
}

impl DatabaseRole {
    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            DatabaseRole::Primary => "primary",
            DatabaseRole::Replica => "replica",
        }
    }
}

/// Result of `cicadawick_report()`. Positions are in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseReport {
    pub term: u64,
    pub role: DatabaseRole,
    /// Term of the last log entry. If it equals `term`, the log is that of the primary of this term.
    pub log_term: u64,
    pub received: u64,
    pub applied: u64,
    /// Position at which `log_term` starts.
    pub term_start: u64,
    /// Term of the last log entry before `term_start`; 0 if there is none.
    pub previous_term: u64,
}

/// Counters of one database since it started. A kill resets only the current values: open
/// connections, busy slots and waiting statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseCounters {
    pub statements: u64,
    /// Transactions that changed something.
    pub commits: u64,
    pub connections: u32,
    pub connections_highest: u32,
    pub connections_refused: u64,
    pub slots_busy: u32,
    pub slots_highest: u32,
    /// Statements waiting for a slot.
    pub waiting: u32,
    pub waiting_highest: u32,
    pub cancelled: u64,
}

/// Options of a database group.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// Names in order; the first is the primary of term 1.
    pub names: Vec<String>,
    /// Ports in order; a missing one or 0 lets the kernel choose.
    pub ports: Vec<u16>,
    /// 0 lets the kernel choose.
    pub control_port: u16,
    pub connections: u32,
    pub slots: u32,
    pub open_time: Duration,
    pub service_time: Duration,
    pub receive_delay: Duration,
    pub apply_lag: Duration,
}

impl GroupOptions {
    /// Returns options for `count` databases named `GROUP-1`, `GROUP-2` and so on.
    pub fn new(group: &str, count: usize) -> Self {
        GroupOptions {
            names: (1..=count).map(|number| format!("{group}-{number}")).collect(),
            ports: Vec::new(),
            control_port: 0,
            connections: 55,
            slots: 5,
            open_time: Duration::from_millis(12),
            service_time: Duration::ZERO,
            receive_delay: Duration::ZERO,
            apply_lag: Duration::ZERO,
        }
    }
}

impl Default for GroupOptions {
    fn default() -> Self {
        GroupOptions::new("db", 3)
    }
}

/// Content of a table in text form; `None` is NULL.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableContent {
    pub columns: Vec<String>,
    pub rows: Vec<Vec<Option<String>>>,
}

/// One database with the condition variables of its threads.
#[derive(Debug)]
pub(crate) struct Database {
    pub(crate) state: Mutex<DatabaseState>,
    /// Notified when a transaction ends and releases its locks.
    pub(crate) locks_changed: Condvar,
    /// Notified when the database is frozen, thawed or killed, or a statement is cancelled.
    pub(crate) status_changed: Condvar,
    pub(crate) group_signal: Arc<GroupSignal>,
}

impl Database {
    pub(crate) fn lock(&self) -> MutexGuard<'_, DatabaseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn wake_all(&self) {
        for (_, slot_ready) in &self.lock().slot_queue {
            slot_ready.notify_one();
        }
        self.locks_changed.notify_all();
        self.status_changed.notify_all();
    }
}

/// Wakes the replication threads.
#[derive(Debug, Default)]
pub(crate) struct GroupSignal {
    generation: Mutex<u64>,
    changed: Condvar,
    stopping: AtomicBool,
}

impl GroupSignal {
    pub(crate) fn notify(&self) {
        *self.generation.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        self.changed.notify_all();
    }
}

#[derive(Debug)]
struct ListenerThread {
    address: SocketAddr,
    thread: JoinHandle<()>,
    stop: Arc<AtomicBool>,
}

impl ListenerThread {
    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        // Wakes the blocking accept; the thread then closes its listener.
        drop(std::net::TcpStream::connect(self.address));
        drop(self.thread.join());
    }
}

/// State that the threads of a group share.
#[derive(Debug)]
pub(crate) struct GroupCore {
    databases: Vec<Arc<Database>>,
    names: Vec<String>,
    addresses: Vec<SocketAddr>,
    listeners: Mutex<HashMap<usize, ListenerThread>>,
    signal: Arc<GroupSignal>,
}

/// A running group; dropping it stops everything.
///
/// ```
/// use fake::fakedb::{DatabaseGroup, GroupOptions};
/// let group = DatabaseGroup::start(GroupOptions::new("billing-db", 3))?;
/// assert_eq!(group.report("billing-db-1")?.term, 1);
/// # Ok::<(), anyhow::Error>(())
/// ```
#[derive(Debug)]
pub struct DatabaseGroup {
    core: Arc<GroupCore>,
    control: Option<ControlServer>,
    replication: Vec<JoinHandle<()>>,
}

impl DatabaseGroup {
    /// Starts a group; it accepts connections when this returns.
    ///
    /// # Errors
    ///
    /// Fails if there is no name or a port cannot be bound.
    pub fn start(options: GroupOptions) -> anyhow::Result<Self> {
        if options.names.is_empty() {
            bail!("failed to start fakedb: no database name");
        }
        let signal = Arc::new(GroupSignal::default());
        let mut databases = Vec::new();
        let mut listeners = Vec::new();
        let first_entry = Arc::new(LogEntry {
            term: 1,
            end: 24,
            changes: vec![LogChange::OpenTerm],
            committed_at: Instant::now(),
        });
        for (index, name) in options.names.iter().enumerate() {
            let port = options.ports.get(index).copied().unwrap_or_default();
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))
                .with_context(|| format!("failed to listen on port {port} for {name}"))?;
            let leader = (index > 0).then(|| options.names[0].clone());
            let state = new_state(&options, name, leader, first_entry.clone());
            databases.push(Arc::new(Database {
                state: Mutex::new(state),
                locks_changed: Condvar::new(),
                status_changed: Condvar::new(),
                group_signal: signal.clone(),
            }));
            listeners.push(listener);
        }
        let addresses =
            listeners.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>()?;
        let core = Arc::new(GroupCore {
            databases,
            names: options.names,
            addresses,
            listeners: Mutex::default(),
            signal,
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            core.accept_on(index, listener)?;
        }
        let mut group = DatabaseGroup { core, control: None, replication: Vec::new() };
        for index in 0..group.core.databases.len() {
            let core = group.core.clone();
            group.replication.push(std::thread::spawn(move || core.run_replication(index)));
        }
        let core = group.core.clone();
        let handler = move |request: &crate::http::ControlRequest| core.control(request);
        group.control = Some(ControlServer::start(options.control_port, handler)?);
        Ok(group)
    }

    /// Returns the address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control.as_ref().map_or(self.core.addresses[0], ControlServer::address)
    }

    /// Returns the databases' names in order.
    pub fn names(&self) -> &[String] {
        &self.core.names
    }

    /// Returns the databases' addresses in order; kills and restarts do not change them.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.core.addresses
    }

    /// Returns the address of a database.
    ///
    /// # Errors
    ///
    /// This and all following calls fail if there is no database of that name.
    pub fn address(&self, name: &str) -> anyhow::Result<SocketAddr> {
        Ok(self.core.addresses[self.core.find(name)?])
    }

    /// Simulates the end of a database's process: closes its connections and its port.
    pub fn kill(&self, name: &str) -> anyhow::Result<()> {
        self.core.kill(name)
    }

    /// Starts a killed database again with its term, log and data.
    pub fn restart(&self, name: &str) -> anyhow::Result<()> {
        self.core.restart(name)
    }

    /// Makes a database accept connections but answer nothing and replicate nothing.
    pub fn freeze(&self, name: &str) -> anyhow::Result<()> {
        self.core.update(name, |state| state.frozen = true)
    }

    /// Ends a freeze; waiting statements continue.
    pub fn thaw(&self, name: &str) -> anyhow::Result<()> {
        self.core.update(name, |state| state.frozen = false)
    }

    /// Disconnects a database from replication, both as leader and as follower.
    pub fn disconnect_replication(&self, name: &str) -> anyhow::Result<()> {
        self.core.update(name, |state| state.replication_disconnected = true)
    }

    /// Reconnects a database to replication.
    pub fn reconnect_replication(&self, name: &str) -> anyhow::Result<()> {
        self.core.update(name, |state| state.replication_disconnected = false)
    }

    /// Sets the delay after a commit until the replica receives it, and from then until it applies it.
    pub fn set_lag(&self, name: &str, receive: Duration, apply: Duration) -> anyhow::Result<()> {
        self.core.update(name, |state| {
            state.receive_delay = receive;
            state.apply_lag = apply;
        })
    }

    /// Sets how many connections and slots a database has.
    pub fn set_limits(&self, name: &str, connections: u32, slots: u32) -> anyhow::Result<()> {
        self.core.update(name, |state| {
            state.connection_limit = connections;
            state.slot_limit = slots;
        })
    }

    /// Sets the time that each statement holds its slot.
    pub fn set_service_time(&self, name: &str, service_time: Duration) -> anyhow::Result<()> {
        self.core.update(name, |state| state.service_time = service_time)
    }

    /// Sets the time that opening a connection takes.
    pub fn set_open_time(&self, name: &str, open_time: Duration) -> anyhow::Result<()> {
        self.core.update(name, |state| state.open_time = open_time)
    }

    /// Reads a database's counters.
    pub fn counters(&self, name: &str) -> anyhow::Result<DatabaseCounters> {
        self.core.update(name, |state| state.counters)
    }

    /// Reads a database's report without a connection.
    pub fn report(&self, name: &str) -> anyhow::Result<DatabaseReport> {
        self.core.update(name, |state| state.report())
    }

    /// Returns the name of the primary with the highest term.
    pub fn primary(&self) -> Option<String> {
        self.core.primary().map(|index| self.core.names[index].clone())
    }

    /// Reads the committed content of a table from the log of the primary with the highest term, in
    /// key order.
    ///
    /// # Errors
    ///
    /// Fails if there is no primary or no such table.
    pub fn table(&self, table: &str) -> anyhow::Result<TableContent> {
        self.core.table(table)
    }
}

impl Drop for DatabaseGroup {
    fn drop(&mut self) {
        self.control = None;
        self.core.signal.stopping.store(true, Ordering::SeqCst);
        self.core.signal.notify();
        for name in &self.core.names {
            drop(self.core.kill(name));
        }
        for thread in self.replication.drain(..) {
            drop(thread.join());
        }
    }
}

fn new_state(
    options: &GroupOptions,
    name: &str,
    leader: Option<String>,
    first_entry: Arc<LogEntry>,
) -> DatabaseState {
    DatabaseState {
        name: name.to_string(),
        term: 1,
        role: if leader.is_some() { DatabaseRole::Replica } else { DatabaseRole::Primary },
        fenced_by: None,
        following: leader,
        log: vec![first_entry],
        applied: 1,
        tables: BTreeMap::new(),
        received_at: VecDeque::new(),
        epoch: 0,
        next_transaction: 0,
        locks: BTreeMap::new(),
        waits: HashMap::new(),
        slot_queue: VecDeque::new(),
        connections: HashMap::new(),
        incarnation: 0,
        alive: true,
        frozen: false,
        replication_disconnected: false,
        connection_limit: options.connections,
        slot_limit: options.slots,
        open_time: options.open_time,
        service_time: options.service_time,
        receive_delay: options.receive_delay,
        apply_lag: options.apply_lag,
        counters: DatabaseCounters::default(),
    }
}

impl GroupCore {
    fn find(&self, name: &str) -> anyhow::Result<usize> {
        let found = self.names.iter().position(|known| known == name);
        found.with_context(|| format!("no database is named {name}"))
    }

    /// Updates a database's state and wakes all threads that may depend on it.
    fn update<R>(
        &self,
        name: &str,
        update: impl FnOnce(&mut DatabaseState) -> R,
    ) -> anyhow::Result<R> {
        let database = &self.databases[self.find(name)?];
        let result = update(&mut database.lock());
        database.wake_all();
        self.signal.notify();
        Ok(result)
    }

    fn accept_on(self: &Arc<Self>, index: usize, listener: TcpListener) -> anyhow::Result<()> {
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let (core, flag) = (self.clone(), stop.clone());
        let thread = std::thread::Builder::new().name(self.names[index].clone()).spawn(move || {
            for stream in listener.incoming() {
                if flag.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(stream) = stream else { continue };
                let (core, database) = (core.clone(), core.databases[index].clone());
                std::thread::spawn(move || server::serve(&core, index, &database, stream));
            }
            port::close(listener);
        });
        let thread = thread.context("failed to start a listener thread")?;
        let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.insert(index, ListenerThread { address, thread, stop });
        Ok(())
    }

    fn kill(&self, name: &str) -> anyhow::Result<()> {
        let index = self.find(name)?;
        let listener = {
            let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
            listeners.remove(&index)
        };
        let database = &self.databases[index];
        {
            let mut state = database.lock();
            state.alive = false;
            state.incarnation += 1;
            for (_, connection) in state.connections.drain() {
                connection.cancel.store(true, Ordering::SeqCst);
                drop(connection.stream.shutdown(std::net::Shutdown::Both));
            }
            state.counters.connections = 0;
            state.counters.slots_busy = 0;
            state.counters.waiting = 0;
            for (_, slot_ready) in state.slot_queue.drain(..) {
                slot_ready.notify_one();
            }
            state.end_epoch();
        }
        database.wake_all();
        if let Some(listener) = listener {
            listener.stop();
        }
        self.signal.notify();
        Ok(())
    }

    fn restart(self: &Arc<Self>, name: &str) -> anyhow::Result<()> {
        let index = self.find(name)?;
        if self.databases[index].lock().alive {
            return Ok(());
        }
        let address = self.addresses[index];
        let listener = TcpListener::bind(address)
            .with_context(|| format!("failed to listen on {address} again"))?;
        {
            let mut state = self.databases[index].lock();
            state.alive = true;
            state.frozen = false;
            // Entries received before the kill are on disk and are applied at start-up.
            state.apply(usize::MAX);
        }
        self.accept_on(index, listener)?;
        self.signal.notify();
        Ok(())
    }

    fn primary(&self) -> Option<usize> {
        let reports = self.databases.iter().map(|database| database.lock().report());
        let primaries =
            reports.enumerate().filter(|(_, report)| report.role == DatabaseRole::Primary);
        primaries.max_by_key(|(_, report)| report.term).map(|(index, _)| index)
    }

    fn table(&self, table: &str) -> anyhow::Result<TableContent> {
        let index = self.primary().context("the group has no primary")?;
        let state = self.databases[index].lock();
        let found = state.tables.get(table);
        let found = found.with_context(|| format!("{} has no table {table}", state.name))?;
        let columns = found.def.columns.iter().map(|column| column.name.clone()).collect();
        let rows = found.rows.values().map(|row| row.iter().map(value::Value::to_text).collect());
        Ok(TableContent { columns, rows: rows.collect() })
    }

    /// Copies and applies log entries until the group stops.
    fn run_replication(&self, index: usize) {
        let mut seen = 0;
        while !self.signal.stopping.load(Ordering::SeqCst) {
            let due = self.replicate_once(index);
            let generation = self.signal.generation.lock().unwrap_or_else(PoisonError::into_inner);
            if *generation == seen {
                let wait = due.map_or(Duration::from_secs(3600), |due| {
                    due.saturating_duration_since(Instant::now())
                });
                let waited = self.signal.changed.wait_timeout(generation, wait);
                seen = *waited.unwrap_or_else(PoisonError::into_inner).0;
            } else {
                seen = *generation;
            }
        }
    }

    /// Receives and applies what is due now; returns when the next entry is due.
    pub(crate) fn replicate_once(&self, index: usize) -> Option<Instant> {
        let now = Instant::now();
        let receive_due = self.receive(index, now);
        let mut state = self.databases[index].lock();
        if !state.alive || state.frozen {
            return None;
        }
        let lag = state.apply_lag;
        let due = state.received_at.iter().take_while(|received| **received + lag <= now).count();
        state.apply(due);
        let apply_due = state.received_at.front().map(|received| *received + lag);
        [receive_due, apply_due].into_iter().flatten().min()
    }

    fn receive(&self, index: usize, now: Instant) -> Option<Instant> {
        let (term, leader, length, last, delay) = {
            let state = self.databases[index].lock();
            let is_up = state.alive && !state.frozen && !state.replication_disconnected;
            let leader = state.following.clone().filter(|_| is_up)?;
            let last = state.log.last().map(|entry| (entry.term, entry.end));
            (state.term, leader, state.log.len(), last, state.receive_delay)
        };
        let leader_index = self.names.iter().position(|name| *name == leader)?;
        // The two states are never locked at the same time, so no lock order is needed.
        let (entries, diverged) = {
            let state = self.databases[leader_index].lock();
            let is_up = state.alive && !state.frozen && !state.replication_disconnected;
            if !is_up || state.role != DatabaseRole::Primary || state.term != term {
                return None;
            }
            let same = length.checked_sub(1).and_then(|index| state.log.get(index));
            if same.map(|entry| (entry.term, entry.end)) == last {
                (state.log[length..].to_vec(), false)
            } else {
                (state.log.clone(), true)
            }
        };
        let mut state = self.databases[index].lock();
        let is_same = state.term == term
            && state.following.as_ref() == Some(&leader)
            && state.log.len() == length;
        if !is_same || !state.alive || state.frozen || state.replication_disconnected {
            return Some(now);
        }
        let mut new_entries = entries.as_slice();
        if diverged {
            let common = common_length(&state.log, &entries);
            state.truncate(common);
            new_entries = &entries[common..];
        }
        let ready =
            new_entries.iter().take_while(|entry| entry.committed_at + delay <= now).count();
        for entry in &new_entries[..ready] {
            state.log.push(entry.clone());
            state.received_at.push_back(now);
        }
        new_entries.get(ready).map(|entry| entry.committed_at + delay)
    }
}

/// Returns the length of the common prefix of two logs. A term has one primary, so entries with the
/// same term and position are identical.
fn common_length(own: &[Arc<LogEntry>], leader: &[Arc<LogEntry>]) -> usize {
    let same =
        |index: usize| own[index].term == leader[index].term && own[index].end == leader[index].end;
    let mut length = own.len().min(leader.len());
    while length > 0 && !same(length - 1) {
        length -= 1;
    }
    length
}
