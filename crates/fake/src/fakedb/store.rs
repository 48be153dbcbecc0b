//! Tables, the log, and the state of one database.
//!
//! The changes of a transaction are private until it commits. A commit appends one entry to the
//! log and applies it to the tables, so the tables always equal the applied part of the log and can
//! be rebuilt from it when a replica has to discard entries.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Condvar};
use std::time::{Duration, Instant};

use sqlparser::ast::Expr;

use super::value::{ColumnType, Row, RowKey, Value};
use super::{DatabaseCounters, DatabaseReport, DatabaseRole, SqlError};

/// Bytes of a log entry in addition to its changes.
const ENTRY_HEADER_BYTES: u64 = 24;

#[derive(Clone, Debug)]
pub(crate) struct ColumnDef {
    pub(crate) name: String,
    pub(crate) kind: ColumnType,
    pub(crate) not_null: bool,
    pub(crate) serial: bool,
    pub(crate) default: Option<Expr>,
}

#[derive(Clone, Debug)]
pub(crate) struct TableDef {
    pub(crate) name: Arc<str>,
    pub(crate) columns: Vec<ColumnDef>,
    /// Indexes of the key columns; empty for a table without a primary key, whose rows get a hidden
    /// number as key.
    pub(crate) primary: Vec<usize>,
    pub(crate) unique: Vec<Vec<usize>>,
}

impl TableDef {
    pub(crate) fn column(&self, name: &str) -> Result<usize, SqlError> {
        let found = self.columns.iter().position(|column| column.name == name);
        found.ok_or_else(|| SqlError::new("42703", format!("column \"{name}\" does not exist")))
    }

    /// Returns the primary key of a row, if the table has one.
    pub(crate) fn key(&self, row: &[Value]) -> Option<RowKey> {
        (!self.primary.is_empty()).then(|| project(row, &self.primary))
    }

    /// Returns the row's key in a unique constraint; `None` if a part is NULL, which conflicts with
    /// nothing.
    pub(crate) fn unique_key(&self, index: usize, row: &[Value]) -> Option<RowKey> {
        let key = project(row, &self.unique[index]);
        (!key.iter().any(Value::is_null)).then_some(key)
    }
}

fn project(row: &[Value], columns: &[usize]) -> RowKey {
    columns.iter().map(|at| row[*at].clone()).collect()
}

#[derive(Clone, Debug)]
pub(crate) struct Table {
    pub(crate) def: Arc<TableDef>,
    pub(crate) rows: BTreeMap<RowKey, Row>,
    pub(crate) unique: Vec<BTreeMap<RowKey, RowKey>>,
}

impl Table {
    fn new(def: Arc<TableDef>) -> Self {
        Table { rows: BTreeMap::new(), unique: vec![BTreeMap::new(); def.unique.len()], def }
    }

    fn remove(&mut self, key: &RowKey) {
        let Some(row) = self.rows.remove(key) else { return };
        for (index, entries) in self.unique.iter_mut().enumerate() {
            if let Some(unique_key) = self.def.unique_key(index, &row) {
                entries.remove(&unique_key);
            }
        }
    }

    fn put(&mut self, key: &RowKey, row: &Row) {
        self.remove(key);
        for (index, entries) in self.unique.iter_mut().enumerate() {
            if let Some(unique_key) = self.def.unique_key(index, row) {
                entries.insert(unique_key, key.clone());
            }
        }
        self.rows.insert(key.clone(), row.clone());
    }
}

/// A change in the log.
#[derive(Clone, Debug)]
pub(crate) enum LogChange {
    /// First entry of a term. It makes the term of the last log entry identify the primary of the log
    /// even before the first commit of a new term.
    OpenTerm,
    Create(Arc<TableDef>),
    Drop(Arc<str>),
    Put(Arc<str>, RowKey, Row),
    Remove(Arc<str>, RowKey),
}

impl LogChange {
    fn bytes(&self) -> u64 {
        let fields = |values: &[Value]| -> u64 {
            values.iter().map(|value| value.to_text().map_or(1, |text| text.len() as u64 + 4)).sum()
        };
        match self {
            LogChange::OpenTerm => 0,
            LogChange::Create(def) => 32 * def.columns.len() as u64,
            LogChange::Drop(name) => name.len() as u64,
            LogChange::Put(name, _, row) => name.len() as u64 + 8 + fields(row),
            LogChange::Remove(name, key) => name.len() as u64 + 8 + fields(key),
        }
    }
}

#[derive(Debug)]
pub(crate) struct LogEntry {
    pub(crate) term: u64,
    /// Byte position of the end of the entry.
    pub(crate) end: u64,
    pub(crate) changes: Vec<LogChange>,
    pub(crate) committed_at: Instant,
}

pub(crate) type LockKey = (Arc<str>, usize, RowKey);

/// An open transaction, explicit or implicit.
#[derive(Debug, Default)]
pub(crate) struct Transaction {
    pub(crate) id: u64,
    /// Epoch of the database when the transaction began. A fence ends the epoch.
    pub(crate) epoch: u64,
    pub(crate) explicit: bool,
    pub(crate) read_only: bool,
    pub(crate) failed: bool,
    /// Uncommitted rows by table; `None` for a deleted row.
    pub(crate) rows: BTreeMap<Arc<str>, BTreeMap<RowKey, Option<Row>>>,
    pub(crate) created: BTreeMap<Arc<str>, Arc<TableDef>>,
    pub(crate) dropped: BTreeSet<Arc<str>>,
    pub(crate) changes: Vec<LogChange>,
    pub(crate) locks: Vec<LockKey>,
}

impl Transaction {
    /// Records a new version of a row, or its deletion.
    pub(crate) fn write(&mut self, table: &Arc<str>, key: RowKey, row: Option<Row>) {
        self.changes.push(match &row {
            Some(row) => LogChange::Put(table.clone(), key.clone(), row.clone()),
            None => LogChange::Remove(table.clone(), key.clone()),
        });
        self.rows.entry(table.clone()).or_default().insert(key, row);
    }
}

/// The part of a connection that other threads use.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    pub(crate) secret: i32,
    pub(crate) stream: Arc<TcpStream>,
    pub(crate) cancel: Arc<AtomicBool>,
}

/// State of one database. Everything in the first group survives a restart.
#[derive(Debug)]
pub(crate) struct DatabaseState {
    pub(crate) name: String,
    pub(crate) term: u64,
    pub(crate) role: DatabaseRole,
    /// Supervisor that fenced the database at its term.
    pub(crate) fenced_by: Option<String>,
    pub(crate) following: Option<String>,
    pub(crate) log: Vec<Arc<LogEntry>>,
    pub(crate) applied: usize,
    pub(crate) tables: BTreeMap<Arc<str>, Table>,

    /// Times at which the entries after `applied` were received.
    pub(crate) received_at: VecDeque<Instant>,
    pub(crate) epoch: u64,
    pub(crate) next_transaction: u64,
    pub(crate) locks: BTreeMap<LockKey, u64>,
    /// Waiting transactions and the transaction that each waits for, to detect deadlocks.
    pub(crate) waits: HashMap<u64, u64>,
    /// Statements that wait for a slot, in arrival order, by the process ID of their connection.
    pub(crate) slot_queue: VecDeque<(i32, Arc<Condvar>)>,
    pub(crate) connections: HashMap<i32, ConnectionEntry>,
    /// Incremented by every kill, so that connections of an earlier incarnation end.
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen: bool,
    pub(crate) replication_disconnected: bool,

    pub(crate) connection_limit: u32,
    pub(crate) slot_limit: u32,
    pub(crate) open_time: Duration,
    pub(crate) service_time: Duration,
    pub(crate) receive_delay: Duration,
    pub(crate) apply_lag: Duration,
    pub(crate) counters: DatabaseCounters,
}

impl DatabaseState {
    /// Begins a transaction.
    pub(crate) fn begin(&mut self, explicit: bool) -> Transaction {
        self.next_transaction += 1;
        let id = self.next_transaction;
        let read_only = false;
        Transaction { id, epoch: self.epoch, explicit, read_only, ..Transaction::default() }
    }

    /// Takes a row or unique lock for a transaction; the error is the transaction that holds it.
    pub(crate) fn lock(&mut self, transaction: &mut Transaction, key: LockKey) -> Result<(), u64> {
        match self.locks.get(&key) {
            Some(holder) if *holder == transaction.id => Ok(()),
            Some(holder) => Err(*holder),
            None => {
                self.locks.insert(key.clone(), transaction.id);
                transaction.locks.push(key);
                Ok(())
            }
        }
    }

    /// Releases the locks of a transaction that ended.
    pub(crate) fn release(&mut self, transaction: &Transaction) {
        for key in &transaction.locks {
            if self.locks.get(key) == Some(&transaction.id) {
                self.locks.remove(key);
            }
        }
        self.waits.remove(&transaction.id);
    }

    /// Tells whether waiting for `holder` would make `waiter` wait for itself.
    pub(crate) fn is_deadlock(&self, waiter: u64, holder: u64) -> bool {
        let mut at = holder;
        for _ in 0..=self.waits.len() {
            if at == waiter {
                return true;
            }
            match self.waits.get(&at) {
                Some(next) => at = *next,
                None => return false,
            }
        }
        true
    }

    /// Wakes the first statement that waits for a slot, if one is free. Waking all of them reduces
    /// the throughput of 40 connections to a quarter.
    pub(crate) fn wake_next_statement(&self) {
        if self.counters.slots_busy < self.slot_limit
            && let Some((_, slot_ready)) = self.slot_queue.front()
        {
            slot_ready.notify_one();
        }
    }

    /// Commits a transaction and returns whether it changed something.
    pub(crate) fn commit(&mut self, transaction: &Transaction) -> Result<bool, SqlError> {
        if transaction.changes.is_empty() {
            self.release(transaction);
            return Ok(false);
        }
        if self.role != DatabaseRole::Primary || transaction.epoch != self.epoch {
            self.release(transaction);
            return Err(SqlError::new(
                "25006",
                format!("cannot commit: this database is fenced at term {}", self.term),
            ));
        }
        self.append(transaction.changes.clone());
        self.counters.commits += 1;
        self.release(transaction);
        Ok(true)
    }

    /// Appends an entry of the current term and applies it.
    pub(crate) fn append(&mut self, changes: Vec<LogChange>) {
        let bytes: u64 = changes.iter().map(LogChange::bytes).sum();
        let end = self.received() + ENTRY_HEADER_BYTES + bytes;
        let entry = LogEntry { term: self.term, end, changes, committed_at: Instant::now() };
        self.log.push(Arc::new(entry));
        self.received_at.push_back(Instant::now());
        self.apply(usize::MAX);
    }

    /// Applies up to `limit` received entries.
    pub(crate) fn apply(&mut self, limit: usize) {
        let end = self.log.len().min(self.applied.saturating_add(limit));
        while self.applied < end {
            let entry = self.log[self.applied].clone();
            apply_changes(&mut self.tables, &entry.changes);
            self.applied += 1;
            self.received_at.pop_front();
        }
    }

    /// Discards the log after the first `length` entries, and rebuilds the tables from the rest if
    /// any of the discarded entries was applied.
    pub(crate) fn truncate(&mut self, length: usize) {
        self.received_at.truncate(length.saturating_sub(self.applied));
        self.log.truncate(length);
        if self.applied > length {
            self.tables.clear();
            for entry in &self.log {
                apply_changes(&mut self.tables, &entry.changes);
            }
            self.applied = length;
        }
    }

    /// Ends the epoch: open transactions can no longer commit and hold no locks.
    pub(crate) fn end_epoch(&mut self) {
        self.epoch += 1;
        self.locks.clear();
        self.waits.clear();
    }

    fn received(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.end)
    }

    pub(crate) fn report(&self) -> DatabaseReport {
        let log_term = self.log.last().map_or(0, |entry| entry.term);
        let first = self.log.partition_point(|entry| entry.term < log_term);
        let end_before = |count: usize| if count == 0 { 0 } else { self.log[count - 1].end };
        DatabaseReport {
            term: self.term,
            role: self.role,
            log_term,
            received: self.received(),
            applied: end_before(self.applied),
            term_start: end_before(first),
            previous_term: first.checked_sub(1).map_or(0, |last| self.log[last].term),
        }
    }

    /// Fences the database at `term` for a supervisor; returns whether that supervisor's fence is in
    /// force.
    pub(crate) fn fence(&mut self, term: u64, by: &str) -> bool {
        if term == self.term && self.fenced_by.as_deref() == Some(by) {
            return true;
        }
        if term <= self.term {
            return false;
        }
        self.term = term;
        self.fenced_by = Some(by.to_string());
        self.step_down();
        true
    }

    fn step_down(&mut self) {
        self.role = DatabaseRole::Replica;
        self.following = None;
        self.end_epoch();
    }

    /// Makes a fenced database the primary of its term; returns the term's start position.
    pub(crate) fn promote(&mut self, term: u64) -> Result<u64, SqlError> {
        if term != self.term || (self.role == DatabaseRole::Replica && self.fenced_by.is_none()) {
            let message = format!("cannot promote to term {term}: not fenced at it");
            return Err(SqlError::new("55000", message));
        }
        if let Some(leader) = &self.following {
            let message = format!("cannot promote to term {term}: follows {leader}");
            return Err(SqlError::new("55000", message));
        }
        if self.role == DatabaseRole::Replica {
            self.apply(usize::MAX);
            self.role = DatabaseRole::Primary;
            self.end_epoch();
            self.append(vec![LogChange::OpenTerm]);
        }
        Ok(self.report().term_start)
    }

    /// Makes the database a replica of `leader` at `term`.
    pub(crate) fn follow(&mut self, term: u64, leader: &str) -> Result<(), SqlError> {
        let leads = term == self.term && self.role == DatabaseRole::Primary;
        if term < self.term || leads || leader == self.name {
            let message =
                format!("cannot follow {leader} at term {term}: at term {} already", self.term);
            return Err(SqlError::new("55000", message));
        }
        if term > self.term {
            self.term = term;
            self.fenced_by = None;
        }
        if self.following.as_deref() != Some(leader) {
            self.step_down();
            self.following = Some(leader.to_string());
        }
        Ok(())
    }
}

fn apply_changes(tables: &mut BTreeMap<Arc<str>, Table>, changes: &[LogChange]) {
    for change in changes {
        match change {
            LogChange::OpenTerm => {}
            LogChange::Create(def) => {
                tables.entry(def.name.clone()).or_insert_with(|| Table::new(def.clone()));
            }
            LogChange::Drop(name) => {
                tables.remove(name);
            }
            LogChange::Put(name, key, row) => {
                if let Some(table) = tables.get_mut(name) {
                    table.put(key, row);
                }
            }
            LogChange::Remove(name, key) => {
                if let Some(table) = tables.get_mut(name) {
                    table.remove(key);
                }
            }
        }
    }
}
