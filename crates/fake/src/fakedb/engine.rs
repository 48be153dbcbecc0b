//! Executes the SQL subset on the state of one database.
//!
//! A statement that needs a lock of another transaction changes nothing and returns
//! [`ExecError::Blocked`]. The connection waits and runs it again, so it sees the changes that the
//! other transaction committed (READ COMMITTED).

mod change;
mod describe;
mod expr;
mod function;
mod select;

use std::sync::Arc;
use std::sync::atomic::AtomicI64;

use sqlparser::ast::{ObjectName, Statement, TransactionAccessMode, TransactionMode};

use super::store::{DatabaseState, LockKey, LogChange, TableDef, Transaction};
use super::value::{ColumnType, Row, RowKey, Value};
use super::{DatabaseRole, SqlError};
use change::{check_writable, execute_create, execute_delete, execute_insert, execute_update};
use select::execute_select;

pub(crate) use describe::describe;
pub(crate) use function::is_administration;

/// Source of hidden row numbers and serial values. It is shared by the whole process, so that a new
/// primary never reuses a number.
static NEXT_SERIAL: AtomicI64 = AtomicI64::new(1);

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ResultField {
    pub(crate) name: String,
    pub(crate) kind: ColumnType,
}

/// Rows of a result. A series is generated while it is sent.
#[derive(Debug)]
pub(crate) enum ResultRows {
    List(std::vec::IntoIter<Vec<Value>>),
    Series(std::ops::RangeInclusive<i64>),
}

impl Iterator for ResultRows {
    type Item = Vec<Value>;

    fn next(&mut self) -> Option<Vec<Value>> {
        match self {
            ResultRows::List(rows) => rows.next(),
            ResultRows::Series(range) => range.next().map(|number| vec![Value::Int(number)]),
        }
    }
}

/// Outcome of a statement.
#[derive(Debug)]
pub(crate) enum StatementOutcome {
    Rows(Vec<ResultField>, ResultRows),
    /// `INSERT`, `UPDATE` or `DELETE` with its tag and, with RETURNING, rows.
    Changed(String, Option<(Vec<ResultField>, ResultRows)>),
    Done(&'static str),
    Sleep(f64),
    /// The database now follows a leader; the result is a row with `t`.
    Followed(Vec<ResultField>),
}

#[derive(Debug)]
pub(crate) enum ExecError {
    Failed(SqlError),
    /// Another transaction holds the lock: the lock and the ID of that transaction.
    Blocked(LockKey, u64),
}

impl From<SqlError> for ExecError {
    fn from(error: SqlError) -> Self {
        ExecError::Failed(error)
    }
}

fn unsupported(what: impl std::fmt::Display) -> SqlError {
    SqlError::new("0A000", format!("not supported by fakedb: {what}"))
}

fn last_name(name: &ObjectName) -> String {
    name.0.last().and_then(|part| part.as_ident()).map_or_else(
        || name.to_string().to_lowercase(),
        |ident| {
            if ident.quote_style.is_some() {
                ident.value.clone()
            } else {
                ident.value.to_lowercase()
            }
        },
    )
}

fn ident_name(ident: &sqlparser::ast::Ident) -> String {
    if ident.quote_style.is_some() { ident.value.clone() } else { ident.value.to_lowercase() }
}

/// Finds the definition of a table as a transaction sees it.
fn find_table(
    state: &DatabaseState,
    transaction: &Transaction,
    name: &str,
) -> Result<Arc<TableDef>, SqlError> {
    let committed = || {
        let table = state.tables.get(name).map(|table| &table.def);
        table.filter(|_| !transaction.dropped.contains(name))
    };
    let found = transaction.created.get(name).or_else(committed);
    found
        .cloned()
        .ok_or_else(|| SqlError::new("42P01", format!("relation \"{name}\" does not exist")))
}

/// Returns a row as a transaction sees it.
fn find_row(
    state: &DatabaseState,
    transaction: &Transaction,
    table: &str,
    key: &RowKey,
) -> Option<Row> {
    match transaction.rows.get(table).and_then(|rows| rows.get(key)) {
        Some(row) => row.clone(),
        None if transaction.dropped.contains(table) => None,
        None => state.tables.get(table).and_then(|table| table.rows.get(key)).cloned(),
    }
}

/// Finds the row that holds a unique key, as a transaction sees it.
fn find_unique(
    state: &DatabaseState,
    transaction: &Transaction,
    def: &TableDef,
    index: usize,
    unique_key: &RowKey,
) -> Option<RowKey> {
    let own = transaction.rows.get(&def.name);
    let own_match = own.into_iter().flatten().find(|(_, row)| {
        row.as_ref().is_some_and(|row| def.unique_key(index, row).as_ref() == Some(unique_key))
    });
    if let Some((key, _)) = own_match {
        return Some(key.clone());
    }
    let key = state.tables.get(&def.name)?.unique[index].get(unique_key)?;
    (!own.is_some_and(|rows| rows.contains_key(key))).then(|| key.clone())
}

/// Executes one statement other than transaction control inside a transaction.
pub(crate) fn execute(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    statement: &Statement,
    params: &[Value],
    process_id: i32,
) -> Result<StatementOutcome, ExecError> {
    match statement {
        Statement::Query(query) => execute_select(state, transaction, query, params, process_id),
        Statement::Insert(insert) => execute_insert(state, transaction, insert, params),
        Statement::Update(update) => execute_update(state, transaction, update, params),
        Statement::Delete(delete) => execute_delete(state, transaction, delete, params),
        Statement::CreateTable(create) => execute_create(state, transaction, create),
        Statement::CreateIndex(index) if index.unique => Err(unsupported("CREATE UNIQUE INDEX"))?,
        Statement::CreateIndex(_) => Ok(StatementOutcome::Done("CREATE INDEX")),
        Statement::Drop { names, if_exists, .. } => {
            check_writable(state, transaction, "DROP TABLE")?;
            for name in names {
                let name: Arc<str> = last_name(name).into();
                match find_table(state, transaction, &name) {
                    Err(_) if *if_exists => continue,
                    found => found?,
                };
                transaction.rows.remove(&name);
                transaction.created.remove(&name);
                transaction.dropped.insert(name.clone());
                transaction.changes.push(LogChange::Drop(name));
            }
            Ok(StatementOutcome::Done("DROP TABLE"))
        }
        Statement::Set(_) => Ok(StatementOutcome::Done("SET")),
        Statement::Reset(_) => Ok(StatementOutcome::Done("RESET")),
        Statement::Discard { .. } => Ok(StatementOutcome::Done("DISCARD ALL")),
        Statement::Deallocate { .. } => Ok(StatementOutcome::Done("DEALLOCATE")),
        Statement::ShowVariable { .. } => {
            let fields = describe(state, transaction, statement)?.1.unwrap_or_default();
            let value = match fields.first().map(|field| field.name.as_str()) {
                Some("transaction_read_only") => {
                    let read_only = transaction.read_only || state.role != DatabaseRole::Primary;
                    if read_only { "on" } else { "off" }
                }
                Some("server_version") => "16.0",
                _ => "",
            };
            let rows = vec![vec![Value::text(value)]];
            Ok(StatementOutcome::Rows(fields, ResultRows::List(rows.into_iter())))
        }
        other => Err(unsupported(other))?,
    }
}

/// Transaction control that a statement asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransactionControl {
    Begin { read_only: bool },
    Commit,
    Rollback,
}

pub(crate) fn transaction_control(statement: &Statement) -> Option<TransactionControl> {
    match statement {
        Statement::StartTransaction { modes, .. } => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            Some(TransactionControl::Begin { read_only: modes.contains(&read_only) })
        }
        Statement::Commit { .. } => Some(TransactionControl::Commit),
        Statement::Rollback { savepoint: None, .. } => Some(TransactionControl::Rollback),
        _ => None,
    }
}
