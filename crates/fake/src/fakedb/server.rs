//! Serves one connection: framing, the simple and the extended query protocol, slots and locks.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::sync::{Arc, Condvar, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::engine::{
    self, ExecError, ResultField, ResultRows, StatementOutcome, TransactionControl,
};
use super::store::{ConnectionEntry, DatabaseState, LockKey, Transaction};
use super::value::{ColumnType, Value};
use super::{Database, GroupCore, SqlError};

const PROTOCOL_MAJOR: i32 = 3;
const CANCEL_REQUEST: i32 = 80_877_102;
const SSL_REQUEST: i32 = 80_877_103;
const GSS_REQUEST: i32 = 80_877_104;

/// Buffered output is flushed beyond this size, so a large result is not held in memory.
const FLUSH_BYTES: usize = 64 * 1024;

/// Largest message accepted, so that a broken length cannot exhaust memory.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Longest wait for a row lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(10);

static NEXT_PROCESS_ID: AtomicI32 = AtomicI32::new(1000);

/// Reason why a message was not executed.
enum MessageError {
    Sql(SqlError),
    /// The connection ended: the client disconnected or the database was killed.
    Ended,
}

impl From<SqlError> for MessageError {
    fn from(error: SqlError) -> Self {
        MessageError::Sql(error)
    }
}

impl From<std::io::Error> for MessageError {
    fn from(_: std::io::Error) -> Self {
        MessageError::Ended
    }
}

struct PreparedStatement {
    statement: Option<Arc<Statement>>,
    sql: Arc<str>,
    params: Vec<ColumnType>,
    fields: Option<Vec<ResultField>>,
}

struct Portal {
    statement: Option<Arc<Statement>>,
    sql: Arc<str>,
    params: Vec<Value>,
    fields: Option<Vec<ResultField>>,
    formats: Vec<i16>,
    /// Rows left after an execution with a row limit, and the count sent so far.
    suspended: Option<(ResultRows, usize)>,
}

/// A statement's slot; dropping it admits the next statement.
struct SlotGuard<'a> {
    database: &'a Database,
    incarnation: u64,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.database.lock();
        if state.incarnation == self.incarnation {
            state.counters.slots_busy = state.counters.slots_busy.saturating_sub(1);
            state.wake_next_statement();
        }
    }
}

struct ClientConnection<'a> {
    core: &'a GroupCore,
    database_index: usize,
    database: &'a Database,
    stream: Arc<TcpStream>,
    out: Vec<u8>,
    incarnation: u64,
    process_id: i32,
    cancel: Arc<AtomicBool>,
    /// Notified when this connection may acquire a slot.
    slot_ready: Arc<Condvar>,
    transaction: Option<Transaction>,
    statements: HashMap<String, PreparedStatement>,
    portals: HashMap<String, Portal>,
    /// After an error in the extended protocol, messages up to Sync are skipped.
    skipping: bool,
}

/// Serves a connection until it ends.
pub(crate) fn serve(
    core: &GroupCore,
    database_index: usize,
    database: &Database,
    stream: TcpStream,
) {
    drop(stream.set_nodelay(true));
    let stream = Arc::new(stream);
    let mut reader = BufReader::with_capacity(16 * 1024, &*stream);
    let Some((process_id, incarnation, cancel)) = start_up(database, &stream, &mut reader) else {
        drop(stream.shutdown(Shutdown::Both));
        return;
    };
    let mut connection = ClientConnection {
        core,
        database_index,
        database,
        stream: stream.clone(),
        out: Vec::with_capacity(4096),
        incarnation,
        process_id,
        cancel,
        slot_ready: Arc::new(Condvar::new()),
        transaction: None,
        statements: HashMap::new(),
        portals: HashMap::new(),
        skipping: false,
    };
    while let Ok((kind, body)) = read_message(&mut reader) {
        if kind == b'X' || connection.handle(kind, &body).is_err() {
            break;
        }
    }
    connection.rollback();
    {
        let mut state = database.lock();
        if state.incarnation == incarnation && state.connections.remove(&process_id).is_some() {
            state.counters.connections -= 1;
        }
    }
    drop(stream.shutdown(Shutdown::Both));
}

fn read_message(reader: &mut impl Read) -> std::io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    reader.read_exact(&mut header)?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if !(4..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - 4];
    reader.read_exact(&mut body)?;
    Ok((header[0], body))
}

/// Performs the start-up handshake; returns the connection's process ID, the incarnation of the
/// database and the connection's cancel flag.
fn start_up(
    database: &Database,
    stream: &Arc<TcpStream>,
    reader: &mut impl Read,
) -> Option<(i32, u64, Arc<AtomicBool>)> {
    let incarnation = database.lock().incarnation;
    loop {
        let mut header = [0; 8];
        reader.read_exact(&mut header).ok()?;
        let length = i32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let code = i32::from_be_bytes([header[4], header[5], header[6], header[7]]);
        if !(8..=MAX_MESSAGE_BYTES).contains(&length) {
            return None;
        }
        let mut body = vec![0; length - 8];
        reader.read_exact(&mut body).ok()?;
        wait_while_frozen(database, incarnation).ok()?;
        match code {
            SSL_REQUEST | GSS_REQUEST => (&**stream).write_all(b"N").ok()?,
            CANCEL_REQUEST => {
                handle_cancel_request(database, &body);
                return None;
            }
            _ if code >> 16 == PROTOCOL_MAJOR => break,
            _ => return None,
        }
    }
    let process_id = NEXT_PROCESS_ID.fetch_add(1, Ordering::Relaxed);
    let secret = process_id.wrapping_mul(0x5bd1_e995);
    let cancel = Arc::new(AtomicBool::new(false));
    let (admitted, open_time) = {
        let mut state = database.lock();
        if state.incarnation != incarnation || !state.alive {
            return None;
        }
        let admitted = state.counters.connections < state.connection_limit;
        if admitted {
            let entry = ConnectionEntry { secret, stream: stream.clone(), cancel: cancel.clone() };
            state.connections.insert(process_id, entry);
            state.counters.connections += 1;
            let now = state.counters.connections;
            state.counters.connections_highest = state.counters.connections_highest.max(now);
        } else {
            state.counters.connections_refused += 1;
        }
        (admitted, state.open_time)
    };
    let mut out = Vec::new();
    if !admitted {
        let error = SqlError::new("53300", "sorry, too many clients already");
        put_error(&mut out, "FATAL", &error);
        drop((&**stream).write_all(&out));
        return None;
    }
    std::thread::sleep(open_time);
    put_message(&mut out, b'R', |out| out.extend_from_slice(&0i32.to_be_bytes()));
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        put_message(&mut out, b'S', |out| {
            put_text(out, name);
            put_text(out, value);
        });
    }
    put_message(&mut out, b'K', |out| {
        out.extend_from_slice(&process_id.to_be_bytes());
        out.extend_from_slice(&secret.to_be_bytes());
    });
    put_message(&mut out, b'Z', |out| out.push(b'I'));
    let opened =
        wait_while_frozen(database, incarnation).is_ok() && (&**stream).write_all(&out).is_ok();
    if !opened {
        let mut state = database.lock();
        if state.incarnation == incarnation && state.connections.remove(&process_id).is_some() {
            state.counters.connections -= 1;
        }
        return None;
    }
    Some((process_id, incarnation, cancel))
}

fn handle_cancel_request(database: &Database, body: &[u8]) {
    let number = |at: usize| {
        let bytes = body.get(at..at + 4).and_then(|bytes| bytes.try_into().ok());
        bytes.map(i32::from_be_bytes)
    };
    let (Some(process_id), Some(secret)) = (number(0), number(4)) else { return };
    if let Some(connection) = database.lock().connections.get(&process_id)
        && connection.secret == secret
    {
        connection.cancel.store(true, Ordering::SeqCst);
    }
    database.wake_all();
}

/// Waits while the database is frozen.
fn wait_while_frozen(database: &Database, incarnation: u64) -> Result<(), MessageError> {
    let mut state = database.lock();
    while state.frozen && state.incarnation == incarnation {
        state = wait(&database.status_changed, state);
    }
    if state.incarnation == incarnation { Ok(()) } else { Err(MessageError::Ended) }
}

fn wait<'a>(
    changed: &Condvar,
    state: MutexGuard<'a, DatabaseState>,
) -> MutexGuard<'a, DatabaseState> {
    changed.wait(state).unwrap_or_else(PoisonError::into_inner)
}

fn put_message(out: &mut Vec<u8>, kind: u8, write: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    write(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

fn put_error(out: &mut Vec<u8>, severity: &str, error: &SqlError) {
    put_message(out, b'E', |out| {
        for (field, text) in
            [(b'S', severity), (b'V', severity), (b'C', error.code), (b'M', &error.message)]
        {
            out.push(field);
            put_text(out, text);
        }
        out.push(0);
    });
}

fn put_fields(out: &mut Vec<u8>, fields: &[ResultField], formats: &[i16]) {
    put_message(out, b'T', |out| {
        out.extend_from_slice(&(fields.len() as i16).to_be_bytes());
        for (at, field) in fields.iter().enumerate() {
            put_text(out, &field.name);
            out.extend_from_slice(&[0; 6]);
            out.extend_from_slice(&field.kind.oid().to_be_bytes());
            out.extend_from_slice(&field.kind.size().to_be_bytes());
            out.extend_from_slice(&(-1i32).to_be_bytes());
            out.extend_from_slice(&format_of(formats, at).to_be_bytes());
        }
    });
}

fn format_of(formats: &[i16], at: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        _ => formats.get(at).copied().unwrap_or_default(),
    }
}

/// Reads fields of a message body.
struct BodyReader<'a>(&'a [u8]);

impl<'a> BodyReader<'a> {
    fn bytes(&mut self, count: usize) -> Result<&'a [u8], MessageError> {
        if self.0.len() < count {
            return Err(SqlError::new("08P01", "message is too short").into());
        }
        let (bytes, rest) = self.0.split_at(count);
        self.0 = rest;
        Ok(bytes)
    }

    fn int16(&mut self) -> Result<i16, MessageError> {
        let bytes = self.bytes(2)?;
        Ok(i16::from_be_bytes([bytes[0], bytes[1]]))
    }

    fn int32(&mut self) -> Result<i32, MessageError> {
        let bytes = self.bytes(4)?;
        Ok(i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    fn count(&mut self) -> Result<usize, MessageError> {
        Ok(self.int16()?.max(0) as usize)
    }

    fn text(&mut self) -> Result<&'a str, MessageError> {
        let end = self.0.iter().position(|byte| *byte == 0).unwrap_or(self.0.len());
        let bytes = self.bytes(end)?;
        self.0 = self.0.get(1..).unwrap_or_default();
        std::str::from_utf8(bytes)
            .map_err(|_| SqlError::new("22021", "invalid byte sequence for encoding UTF8").into())
    }
}

fn parse(sql: &str) -> Result<Vec<Statement>, SqlError> {
    Parser::parse_sql(&PostgreSqlDialect {}, sql)
        .map_err(|error| SqlError::new("42601", error.to_string()))
}

/// Finds the service time that a `/*service_ms=N*/` comment asks for.
fn requested_service_time(sql: &str) -> Option<Duration> {
    let (_, rest) = sql.split_once("/*service_ms=")?;
    let (millis, _) = rest.split_once("*/")?;
    Some(Duration::from_secs_f64(millis.trim().parse::<f64>().ok()?.clamp(0.0, 3.6e6) / 1e3))
}

impl<'a> ClientConnection<'a> {
    /// Executes one message; an error ends the connection.
    fn handle(&mut self, kind: u8, body: &[u8]) -> Result<(), MessageError> {
        wait_while_frozen(self.database, self.incarnation)?;
        if self.skipping && kind != b'S' {
            return Ok(());
        }
        let result = match kind {
            b'Q' => return self.simple_query(body),
            b'S' => return self.sync(),
            b'H' => return self.flush(),
            b'P' => self.parse(body),
            b'B' => self.bind(body),
            b'D' => self.describe(body),
            b'E' => self.execute(body),
            b'C' => self.close(body),
            // Copy data after a failed COPY is ignored, as PostgreSQL does.
            b'd' | b'c' | b'f' => Ok(()),
            _ => Err(SqlError::new("0A000", "message type is not supported by fakedb").into()),
        };
        match result {
            Err(MessageError::Sql(error)) => {
                self.send_error(&error);
                self.skipping = true;
                Ok(())
            }
            other => other,
        }
    }

    fn flush(&mut self) -> Result<(), MessageError> {
        wait_while_frozen(self.database, self.incarnation)?;
        (&*self.stream).write_all(&self.out)?;
        self.out.clear();
        Ok(())
    }

    fn send_ready(&mut self) -> Result<(), MessageError> {
        let status = match &self.transaction {
            Some(transaction) if transaction.failed => b'E',
            Some(_) => b'T',
            None => b'I',
        };
        put_message(&mut self.out, b'Z', |out| out.push(status));
        self.flush()
    }

    /// Sends an error and rolls back the transaction that it ends.
    fn send_error(&mut self, error: &SqlError) {
        put_error(&mut self.out, "ERROR", error);
        if self.transaction.as_ref().is_some_and(|transaction| transaction.explicit) {
            let mut state = self.database.lock();
            if let Some(transaction) = &mut self.transaction {
                state.release(transaction);
                transaction.failed = true;
                transaction.changes.clear();
                transaction.rows.clear();
                transaction.locks.clear();
            }
            drop(state);
            self.database.locks_changed.notify_all();
        } else {
            self.rollback();
        }
    }

    fn rollback(&mut self) {
        if let Some(transaction) = self.transaction.take() {
            let mut state = self.database.lock();
            if state.incarnation == self.incarnation {
                state.release(&transaction);
            }
            drop(state);
            self.database.locks_changed.notify_all();
        }
    }

    /// Commits the open transaction; returns the command tag.
    fn commit(&mut self) -> Result<&'static str, MessageError> {
        let Some(transaction) = self.transaction.take() else { return Ok("COMMIT") };
        if transaction.failed {
            return Ok("ROLLBACK");
        }
        let result = {
            let mut state = self.database.lock();
            while state.frozen && state.incarnation == self.incarnation {
                state = wait(&self.database.status_changed, state);
            }
            if state.incarnation != self.incarnation {
                return Err(MessageError::Ended);
            }
            state.commit(&transaction)
        };
        self.database.locks_changed.notify_all();
        if result? {
            self.database.group_signal.notify();
        }
        Ok("COMMIT")
    }

    fn simple_query(&mut self, body: &[u8]) -> Result<(), MessageError> {
        let result = BodyReader(body).text().and_then(|sql| self.run_script(sql));
        match result {
            Err(MessageError::Sql(error)) => self.send_error(&error),
            other => other?,
        }
        self.send_ready()
    }

    /// Runs the statements of a simple query; together they are one implicit transaction.
    fn run_script(&mut self, sql: &str) -> Result<(), MessageError> {
        let statements = parse(sql)?;
        if statements.is_empty() {
            put_message(&mut self.out, b'I', |_| {});
        }
        let count = statements.len();
        for (at, statement) in statements.iter().enumerate() {
            let (outcome, slot) = self.run_statement(statement, sql, &[])?;
            // Commits before the completion is sent, because a sent completion cannot be revoked.
            let is_implicit =
                self.transaction.as_ref().is_some_and(|transaction| !transaction.explicit);
            if at + 1 == count && is_implicit {
                self.commit()?;
            }
            self.put_outcome(outcome)?;
            drop(slot);
        }
        Ok(())
    }

    fn put_outcome(&mut self, outcome: StatementOutcome) -> Result<(), MessageError> {
        let (tag, rows) = match outcome {
            StatementOutcome::Rows(fields, rows) => (None, Some((fields, rows))),
            StatementOutcome::Changed(tag, rows) => (Some(tag), rows),
            StatementOutcome::Done(tag) => (Some(tag.to_string()), None),
            StatementOutcome::Sleep(_) | StatementOutcome::Followed(_) => return Ok(()),
        };
        let mut count = 0;
        if let Some((fields, rows)) = rows {
            put_fields(&mut self.out, &fields, &[]);
            for row in rows {
                self.put_row(&fields, &[], &row)?;
                count += 1;
            }
        }
        self.put_complete(&tag.unwrap_or_else(|| format!("SELECT {count}")));
        Ok(())
    }

    fn put_row(
        &mut self,
        fields: &[ResultField],
        formats: &[i16],
        row: &[Value],
    ) -> Result<(), MessageError> {
        put_message(&mut self.out, b'D', |out| {
            out.extend_from_slice(&(row.len() as i16).to_be_bytes());
            for (at, (value, field)) in row.iter().zip(fields).enumerate() {
                field.kind.encode(value, format_of(formats, at) == 1, out);
            }
        });
        if self.out.len() > FLUSH_BYTES { self.flush() } else { Ok(()) }
    }

    fn put_complete(&mut self, tag: &str) {
        put_message(&mut self.out, b'C', |out| put_text(out, tag));
    }

    /// Waits in arrival order for a slot.
    fn acquire_slot(&self) -> Result<SlotGuard<'a>, MessageError> {
        let mut state = self.database.lock();
        if state.incarnation != self.incarnation {
            return Err(MessageError::Ended);
        }
        state.slot_queue.push_back((self.process_id, self.slot_ready.clone()));
        loop {
            if state.incarnation != self.incarnation {
                return Err(MessageError::Ended);
            }
            let is_next =
                state.slot_queue.front().is_some_and(|(next, _)| *next == self.process_id);
            let is_cancelled = self.cancel.load(Ordering::SeqCst);
            let is_free = state.counters.slots_busy < state.slot_limit && !state.frozen;
            if is_cancelled || (is_next && is_free) {
                state.slot_queue.retain(|(other, _)| *other != self.process_id);
                state.counters.waiting = state.slot_queue.len() as u32;
                state.counters.slots_busy += u32::from(!is_cancelled);
                let busy = state.counters.slots_busy;
                state.counters.slots_highest = state.counters.slots_highest.max(busy);
                state.wake_next_statement();
                drop(state);
                return if is_cancelled {
                    Err(self.record_cancellation())
                } else {
                    Ok(SlotGuard { database: self.database, incarnation: self.incarnation })
                };
            }
            state.counters.waiting = state.slot_queue.len() as u32;
            let waiting = state.counters.waiting;
            state.counters.waiting_highest = state.counters.waiting_highest.max(waiting);
            state = wait(&self.slot_ready, state);
        }
    }

    fn record_cancellation(&self) -> MessageError {
        self.database.lock().counters.cancelled += 1;
        SqlError::new("57014", "canceling statement due to user request").into()
    }

    /// Holds the slot for `time`; a cancel request or a kill ends the wait early.
    fn hold_slot(&self, time: Duration) -> Result<(), MessageError> {
        let end = Instant::now() + time;
        let mut state = self.database.lock();
        loop {
            if state.incarnation != self.incarnation {
                return Err(MessageError::Ended);
            }
            if self.cancel.load(Ordering::SeqCst) {
                drop(state);
                return Err(self.record_cancellation());
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            let waited = self.database.status_changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until a lock is no longer held by `holder`.
    fn wait_for_lock(&mut self, key: &LockKey, holder: u64) -> Result<(), MessageError> {
        let Some(transaction) = &self.transaction else { return Ok(()) };
        let waiter = transaction.id;
        let end = Instant::now() + LOCK_TIMEOUT;
        let mut state = self.database.lock();
        if state.is_deadlock(waiter, holder) {
            return Err(SqlError::new("40P01", "deadlock detected").into());
        }
        state.waits.insert(waiter, holder);
        let result = loop {
            if state.incarnation != self.incarnation {
                return Err(MessageError::Ended);
            }
            if state.locks.get(key) != Some(&holder) {
                break Ok(());
            }
            if self.cancel.load(Ordering::SeqCst) {
                break Err(());
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break Err(());
            }
            let waited = self.database.locks_changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        };
        state.waits.remove(&waiter);
        drop(state);
        match result {
            Ok(()) => Ok(()),
            Err(()) if self.cancel.load(Ordering::SeqCst) => Err(self.record_cancellation()),
            Err(()) => Err(SqlError::new("55P03", "lock wait timed out").into()),
        }
    }

    /// Runs one statement. Returns the slot as well, because it is held until the rows are sent.
    fn run_statement(
        &mut self,
        statement: &Statement,
        sql: &str,
        params: &[Value],
    ) -> Result<(StatementOutcome, Option<SlotGuard<'a>>), MessageError> {
        self.cancel.store(false, Ordering::SeqCst);
        let control = engine::transaction_control(statement);
        let is_failed = self.transaction.as_ref().is_some_and(|transaction| transaction.failed);
        if is_failed
            && !matches!(control, Some(TransactionControl::Commit | TransactionControl::Rollback))
        {
            let message = "current transaction is aborted, commands ignored until end of \
                           transaction block";
            return Err(SqlError::new("25P02", message).into());
        }
        let takes_slot = !engine::is_administration(sql);
        let mut slot = if takes_slot { Some(self.acquire_slot()?) } else { None };
        let service_time = {
            let mut state = self.database.lock();
            state.counters.statements += 1;
            requested_service_time(sql).unwrap_or(state.service_time)
        };
        if takes_slot && control.is_none() && !service_time.is_zero() {
            self.hold_slot(service_time)?;
        }
        if let Some(control) = control {
            return Ok((StatementOutcome::Done(self.run_control(control)?), slot));
        }
        loop {
            let result = {
                let mut state = self.database.lock();
                while state.frozen && state.incarnation == self.incarnation {
                    state = wait(&self.database.status_changed, state);
                }
                if state.incarnation != self.incarnation {
                    return Err(MessageError::Ended);
                }
                let transaction = self.transaction.get_or_insert_with(|| state.begin(false));
                engine::execute(&mut state, transaction, statement, params, self.process_id)
            };
            match result {
                Err(ExecError::Blocked(key, holder)) => {
                    slot = None;
                    self.wait_for_lock(&key, holder)?;
                    slot = if takes_slot { Some(self.acquire_slot()?) } else { slot };
                }
                Err(ExecError::Failed(error)) => return Err(error.into()),
                Ok(StatementOutcome::Sleep(seconds)) => {
                    self.hold_slot(Duration::from_secs_f64(seconds.clamp(0.0, 3600.0)))?;
                    let fields =
                        vec![ResultField { name: "pg_sleep".into(), kind: ColumnType::Void }];
                    let rows = vec![vec![Value::text("")]].into_iter();
                    return Ok((StatementOutcome::Rows(fields, ResultRows::List(rows)), slot));
                }
                Ok(StatementOutcome::Followed(fields)) => {
                    // If the leader is reachable, discards at once the entries that it does not have.
                    self.core.replicate_once(self.database_index);
                    self.database.wake_all();
                    self.database.group_signal.notify();
                    let rows = vec![vec![Value::text("t")]].into_iter();
                    return Ok((StatementOutcome::Rows(fields, ResultRows::List(rows)), slot));
                }
                Ok(outcome) => {
                    self.remove_prepared_statements(statement);
                    if !takes_slot {
                        // A fence or promotion may have released locks and opened a term.
                        self.database.locks_changed.notify_all();
                        self.database.group_signal.notify();
                    }
                    return Ok((outcome, slot));
                }
            }
        }
    }

    /// Removes the prepared statements that DISCARD or DEALLOCATE names.
    fn remove_prepared_statements(&mut self, statement: &Statement) {
        match statement {
            Statement::Deallocate { name, .. } if !name.value.eq_ignore_ascii_case("all") => {
                self.statements.remove(&name.value);
            }
            Statement::Discard { .. } | Statement::Deallocate { .. } => self.statements.clear(),
            _ => {}
        }
    }

    fn run_control(&mut self, control: TransactionControl) -> Result<&'static str, MessageError> {
        match control {
            TransactionControl::Begin { read_only } => {
                let mut state = self.database.lock();
                let transaction = self.transaction.get_or_insert_with(|| state.begin(true));
                transaction.explicit = true;
                transaction.read_only |= read_only;
                Ok("BEGIN")
            }
            TransactionControl::Commit => self.commit(),
            TransactionControl::Rollback => {
                self.rollback();
                Ok("ROLLBACK")
            }
        }
    }

    fn sync(&mut self) -> Result<(), MessageError> {
        self.skipping = false;
        if self.transaction.as_ref().is_some_and(|transaction| !transaction.explicit) {
            match self.commit() {
                Err(MessageError::Sql(error)) => self.send_error(&error),
                other => drop(other?),
            }
        }
        if self.transaction.is_none() {
            self.portals.clear();
        }
        self.send_ready()
    }

    fn parse(&mut self, body: &[u8]) -> Result<(), MessageError> {
        let mut body = BodyReader(body);
        let name = body.text()?.to_string();
        let sql = body.text()?;
        let mut statements = parse(sql)?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new("42601", message).into());
        }
        let statement = statements.pop().map(Arc::new);
        let (mut params, fields) = match &statement {
            Some(statement) => {
                let mut state = self.database.lock();
                match &self.transaction {
                    Some(transaction) => engine::describe(&state, transaction, statement)?,
                    None => {
                        let transaction = state.begin(false);
                        engine::describe(&state, &transaction, statement)?
                    }
                }
            }
            None => (Vec::new(), None),
        };
        for at in 0..body.count()? {
            let kind = ColumnType::from_oid(body.int32()? as u32);
            if at >= params.len() {
                params.resize(at + 1, ColumnType::Text);
            }
            params[at] = kind.unwrap_or(params[at]);
        }
        self.statements
            .insert(name, PreparedStatement { statement, sql: sql.into(), params, fields });
        put_message(&mut self.out, b'1', |_| {});
        Ok(())
    }

    fn bind(&mut self, body: &[u8]) -> Result<(), MessageError> {
        let mut body = BodyReader(body);
        let portal = body.text()?.to_string();
        let name = body.text()?;
        let prepared = self.statements.get(name).ok_or_else(|| {
            SqlError::new("26000", format!("prepared statement \"{name}\" does not exist"))
        })?;
        let mut formats = Vec::new();
        for _ in 0..body.count()? {
            formats.push(body.int16()?);
        }
        let count = body.count()?;
        if count != prepared.params.len() {
            let message =
                format!("bind supplies {count} parameters, not {}", prepared.params.len());
            return Err(SqlError::new("08P01", message).into());
        }
        let mut params = Vec::with_capacity(count);
        for (at, kind) in prepared.params.iter().enumerate() {
            params.push(match body.int32()? {
                length if length < 0 => Value::Null,
                length => {
                    kind.decode(body.bytes(length as usize)?, format_of(&formats, at) == 1)?
                }
            });
        }
        let mut result_formats = Vec::new();
        for _ in 0..body.count()? {
            result_formats.push(body.int16()?);
        }
        let portal_state = Portal {
            statement: prepared.statement.clone(),
            sql: prepared.sql.clone(),
            params,
            fields: prepared.fields.clone(),
            formats: result_formats,
            suspended: None,
        };
        self.portals.insert(portal, portal_state);
        put_message(&mut self.out, b'2', |_| {});
        Ok(())
    }

    fn describe(&mut self, body: &[u8]) -> Result<(), MessageError> {
        let mut body = BodyReader(body);
        let kind = body.bytes(1)?[0];
        let name = body.text()?;
        let missing = || SqlError::new("26000", format!("\"{name}\" does not exist"));
        let (fields, formats) = if kind == b'S' {
            let prepared = self.statements.get(name).ok_or_else(missing)?;
            put_message(&mut self.out, b't', |out| {
                out.extend_from_slice(&(prepared.params.len() as i16).to_be_bytes());
                for kind in &prepared.params {
                    out.extend_from_slice(&kind.oid().to_be_bytes());
                }
            });
            (prepared.fields.as_ref(), [].as_slice())
        } else {
            let portal = self.portals.get(name).ok_or_else(missing)?;
            (portal.fields.as_ref(), portal.formats.as_slice())
        };
        match fields {
            Some(fields) => put_fields(&mut self.out, fields, formats),
            None => put_message(&mut self.out, b'n', |_| {}),
        }
        Ok(())
    }

    fn execute(&mut self, body: &[u8]) -> Result<(), MessageError> {
        let mut body = BodyReader(body);
        let name = body.text()?.to_string();
        let limit = body.int32()?;
        let limit = if limit <= 0 { usize::MAX } else { limit as usize };
        let mut portal = self
            .portals
            .remove(&name)
            .ok_or_else(|| SqlError::new("34000", format!("portal \"{name}\" does not exist")))?;
        let Some(statement) = portal.statement.clone() else {
            put_message(&mut self.out, b'I', |_| {});
            return Ok(());
        };
        let mut tag = None;
        let mut slot = None;
        let (rows, mut sent) = match portal.suspended.take() {
            Some(rest) => (Some(rest.0), rest.1),
            None => {
                let (outcome, taken) =
                    self.run_statement(&statement, &portal.sql, &portal.params)?;
                slot = taken;
                let rows = match outcome {
                    StatementOutcome::Rows(_, rows) => Some(rows),
                    StatementOutcome::Changed(text, rows) => {
                        tag = Some(text);
                        rows.map(|(_, rows)| rows)
                    }
                    StatementOutcome::Done(text) => {
                        tag = Some(text.to_string());
                        None
                    }
                    StatementOutcome::Sleep(_) | StatementOutcome::Followed(_) => None,
                };
                (rows, 0)
            }
        };
        let fields = portal.fields.clone().unwrap_or_default();
        if let Some(mut rows) = rows {
            let mut left = limit;
            while left > 0 {
                let Some(row) = rows.next() else { break };
                self.put_row(&fields, &portal.formats, &row)?;
                sent += 1;
                left -= 1;
            }
            if left == 0 && tag.is_none() {
                portal.suspended = Some((rows, sent));
                self.portals.insert(name, portal);
                put_message(&mut self.out, b's', |_| {});
                return Ok(());
            }
        }
        drop(slot);
        self.put_complete(&tag.unwrap_or_else(|| format!("SELECT {sent}")));
        Ok(())
    }

    fn close(&mut self, body: &[u8]) -> Result<(), MessageError> {
        let mut body = BodyReader(body);
        let kind = body.bytes(1)?[0];
        let name = body.text()?;
        if kind == b'S' {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
        put_message(&mut self.out, b'3', |_| {});
        Ok(())
    }
}
