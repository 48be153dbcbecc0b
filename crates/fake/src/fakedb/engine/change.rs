//! Executes INSERT, UPDATE, DELETE and CREATE TABLE, with the locks that they take.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use sqlparser::ast::{
    AssignmentTarget, ColumnOption, Expr, FromTable, Insert, OnConflictAction, OnInsert,
    SelectItem, SetExpr, TableConstraint, TableObject, TableWithJoins,
};

use super::describe::projection;
use super::expr::{EvalScope, eval};
use super::select::{QuerySource, matching_rows, project_row, resolve};
use super::{
    ExecError, NEXT_SERIAL, ResultField, ResultRows, StatementOutcome, find_row, find_table,
    find_unique, ident_name, last_name, unsupported,
};
use crate::fakedb::store::{ColumnDef, DatabaseState, LockKey, LogChange, TableDef, Transaction};
use crate::fakedb::value::{ColumnType, Row, RowKey, Value};
use crate::fakedb::{DatabaseRole, SqlError};

pub(super) fn lock_all(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    keys: impl IntoIterator<Item = LockKey>,
) -> Result<(), ExecError> {
    for key in keys {
        state.lock(transaction, key.clone()).map_err(|holder| ExecError::Blocked(key, holder))?;
    }
    Ok(())
}

pub(super) fn check_writable(
    state: &DatabaseState,
    transaction: &Transaction,
    what: &str,
) -> Result<(), SqlError> {
    if transaction.read_only || state.role != DatabaseRole::Primary {
        let message = format!("cannot execute {what} in a read-only transaction");
        return Err(SqlError::new("25006", message));
    }
    if transaction.epoch != state.epoch {
        return Err(SqlError::new("25006", "the transaction ended when the database was fenced"));
    }
    Ok(())
}

/// Locks that a stored row needs: its key and its unique keys.
fn row_locks(def: &TableDef, key: &RowKey, row: &[Value]) -> Vec<LockKey> {
    let unique = (0..def.unique.len())
        .filter_map(|index| Some((def.name.clone(), index + 1, def.unique_key(index, row)?)));
    std::iter::once((def.name.clone(), 0, key.clone())).chain(unique).collect()
}

/// Returns the name of the unique constraint that a new row would violate.
fn find_violation(
    state: &DatabaseState,
    transaction: &Transaction,
    def: &TableDef,
    key: &RowKey,
    row: &[Value],
    replaced: Option<&RowKey>,
) -> Option<String> {
    if replaced != Some(key) && find_row(state, transaction, &def.name, key).is_some() {
        return Some(format!("{}_pkey", def.name));
    }
    (0..def.unique.len()).find_map(|index| {
        let unique_key = def.unique_key(index, row)?;
        let other = find_unique(state, transaction, def, index, &unique_key)?;
        let names: Vec<&str> =
            def.unique[index].iter().map(|at| def.columns[*at].name.as_str()).collect();
        (Some(&other) != replaced).then(|| format!("{}_{}_key", def.name, names.join("_")))
    })
}

fn unique_violation(constraint: &str) -> SqlError {
    let message = format!("duplicate key value violates unique constraint \"{constraint}\"");
    SqlError::new("23505", message)
}

fn check_not_null(def: &TableDef, row: &[Value]) -> Result<(), SqlError> {
    for (at, column) in def.columns.iter().enumerate() {
        if row[at].is_null() && (column.not_null || def.primary.contains(&at)) {
            let message = format!("null value in column \"{}\" violates not-null", column.name);
            return Err(SqlError::new("23502", message));
        }
    }
    Ok(())
}

fn returning_rows(
    items: Option<&Vec<SelectItem>>,
    def: &TableDef,
    rows: &[Row],
    params: &[Value],
) -> Result<Option<(Vec<ResultField>, ResultRows)>, SqlError> {
    let Some(items) = items else { return Ok(None) };
    let columns = projection(items, Some(def))?;
    let mut projected = Vec::new();
    for row in rows {
        projected.push(project_row(&columns, EvalScope { def: Some(def), row, params })?);
    }
    let fields = columns.into_iter().map(|(_, field)| field).collect();
    Ok(Some((fields, ResultRows::List(projected.into_iter()))))
}

pub(super) fn insert_target(insert: &Insert) -> Result<String, SqlError> {
    match &insert.table {
        TableObject::TableName(name) => Ok(last_name(name)),
        other => Err(unsupported(other)),
    }
}

pub(super) fn insert_columns(insert: &Insert, def: &TableDef) -> Result<Vec<usize>, SqlError> {
    if insert.columns.is_empty() {
        return Ok((0..def.columns.len()).collect());
    }
    insert.columns.iter().map(|name| def.column(&last_name(name))).collect()
}

pub(super) fn insert_rows(insert: &Insert) -> Result<Vec<&[Expr]>, SqlError> {
    match insert.source.as_deref().map(|query| &*query.body) {
        Some(SetExpr::Values(values)) => {
            Ok(values.rows.iter().map(|row| row.content.as_slice()).collect())
        }
        _ => Err(unsupported("INSERT without VALUES")),
    }
}

pub(super) fn execute_insert(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    insert: &Insert,
    params: &[Value],
) -> Result<StatementOutcome, ExecError> {
    check_writable(state, transaction, "INSERT")?;
    let def = find_table(state, transaction, &insert_target(insert)?)?;
    let columns = insert_columns(insert, &def)?;
    let skip_conflicts = match &insert.on {
        None => false,
        Some(OnInsert::OnConflict(conflict)) => match conflict.action {
            OnConflictAction::DoNothing => true,
            OnConflictAction::DoUpdate(_) => Err(unsupported("ON CONFLICT DO UPDATE"))?,
        },
        Some(_) => Err(unsupported("ON DUPLICATE KEY"))?,
    };
    let mut rows = Vec::new();
    for exprs in insert_rows(insert)? {
        let scope = EvalScope { def: None, row: &[], params };
        let mut row = vec![None; def.columns.len()];
        if exprs.len() > columns.len() {
            Err(SqlError::new("42601", "INSERT has more expressions than target columns"))?;
        }
        for (expr, at) in exprs.iter().zip(&columns) {
            let is_default =
                matches!(expr, Expr::Identifier(ident) if ident_name(ident) == "default");
            if !is_default {
                row[*at] = Some(def.columns[*at].kind.convert(eval(expr, scope)?)?);
            }
        }
        let mut complete = Vec::with_capacity(row.len());
        for (value, column) in row.into_iter().zip(&def.columns) {
            complete.push(match (value, &column.default) {
                (Some(value), _) => value,
                (None, Some(default)) => column.kind.convert(eval(default, scope)?)?,
                (None, None) if column.serial => {
                    Value::Int(NEXT_SERIAL.fetch_add(1, Ordering::Relaxed))
                }
                (None, None) => Value::Null,
            });
        }
        check_not_null(&def, &complete)?;
        let hidden = || vec![Value::Int(NEXT_SERIAL.fetch_add(1, Ordering::Relaxed))];
        let key = def.key(&complete).unwrap_or_else(hidden);
        rows.push((key, Arc::new(complete)));
    }
    let locks: Vec<LockKey> =
        rows.iter().flat_map(|(key, row)| row_locks(&def, key, row)).collect();
    lock_all(state, transaction, locks)?;
    let mut inserted = Vec::new();
    for (key, row) in rows {
        match find_violation(state, transaction, &def, &key, &row, None) {
            Some(_) if skip_conflicts => {}
            Some(constraint) => Err(unique_violation(&constraint))?,
            None => {
                transaction.write(&def.name, key, Some(row.clone()));
                inserted.push(row);
            }
        }
    }
    let tag = format!("INSERT 0 {}", inserted.len());
    Ok(StatementOutcome::Changed(
        tag,
        returning_rows(insert.returning.as_ref(), &def, &inserted, params)?,
    ))
}

pub(super) fn target_table(
    state: &DatabaseState,
    transaction: &Transaction,
    from: &[TableWithJoins],
) -> Result<Arc<TableDef>, SqlError> {
    match resolve(state, transaction, from)? {
        QuerySource::Table(def) => Ok(def),
        _ => Err(unsupported("modifying something that is not a table")),
    }
}

pub(super) fn assignment_column(
    target: &AssignmentTarget,
    def: &TableDef,
) -> Result<usize, SqlError> {
    match target {
        AssignmentTarget::ColumnName(name) => def.column(&last_name(name)),
        AssignmentTarget::Tuple(_) => Err(unsupported("tuple assignment")),
    }
}

pub(super) fn execute_update(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    update: &sqlparser::ast::Update,
    params: &[Value],
) -> Result<StatementOutcome, ExecError> {
    check_writable(state, transaction, "UPDATE")?;
    let def = target_table(state, transaction, std::slice::from_ref(&update.table))?;
    let found = matching_rows(state, transaction, &def, update.selection.as_ref(), params)?;
    let mut changes = Vec::new();
    for (key, row) in found {
        let mut new_row = (*row).clone();
        for assignment in &update.assignments {
            let at = assignment_column(&assignment.target, &def)?;
            let value = eval(&assignment.value, EvalScope { def: Some(&def), row: &row, params })?;
            new_row[at] = def.columns[at].kind.convert(value)?;
        }
        check_not_null(&def, &new_row)?;
        let new_key = def.key(&new_row).unwrap_or_else(|| key.clone());
        changes.push((key, row, new_key, Arc::new(new_row)));
    }
    let mut locks = Vec::new();
    for (key, row, new_key, new_row) in &changes {
        locks.push((def.name.clone(), 0, key.clone()));
        let old: Vec<LockKey> = row_locks(&def, key, row);
        locks.extend(row_locks(&def, new_key, new_row).into_iter().filter(|l| !old.contains(l)));
    }
    lock_all(state, transaction, locks)?;
    let mut rows = Vec::new();
    for (key, _, new_key, new_row) in changes {
        let violated = find_violation(state, transaction, &def, &new_key, &new_row, Some(&key));
        if let Some(constraint) = violated {
            Err(unique_violation(&constraint))?;
        }
        if new_key != key {
            transaction.write(&def.name, key, None);
        }
        transaction.write(&def.name, new_key, Some(new_row.clone()));
        rows.push(new_row);
    }
    let tag = format!("UPDATE {}", rows.len());
    Ok(StatementOutcome::Changed(
        tag,
        returning_rows(update.returning.as_ref(), &def, &rows, params)?,
    ))
}

pub(super) fn delete_from(delete: &sqlparser::ast::Delete) -> &[TableWithJoins] {
    match &delete.from {
        FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from) => from,
    }
}

pub(super) fn execute_delete(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    delete: &sqlparser::ast::Delete,
    params: &[Value],
) -> Result<StatementOutcome, ExecError> {
    check_writable(state, transaction, "DELETE")?;
    let def = target_table(state, transaction, delete_from(delete))?;
    let found = matching_rows(state, transaction, &def, delete.selection.as_ref(), params)?;
    lock_all(state, transaction, found.iter().flat_map(|(key, row)| row_locks(&def, key, row)))?;
    let mut rows = Vec::new();
    for (key, row) in found {
        transaction.write(&def.name, key, None);
        rows.push(row);
    }
    let tag = format!("DELETE {}", rows.len());
    Ok(StatementOutcome::Changed(
        tag,
        returning_rows(delete.returning.as_ref(), &def, &rows, params)?,
    ))
}

pub(super) fn execute_create(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    create: &sqlparser::ast::CreateTable,
) -> Result<StatementOutcome, ExecError> {
    check_writable(state, transaction, "CREATE TABLE")?;
    let name: Arc<str> = last_name(&create.name).into();
    if find_table(state, transaction, &name).is_ok() {
        if create.if_not_exists {
            return Ok(StatementOutcome::Done("CREATE TABLE"));
        }
        Err(SqlError::new("42P07", format!("relation \"{name}\" already exists")))?;
    }
    lock_all(state, transaction, [(name.clone(), usize::MAX, Vec::new())])?;
    let mut def =
        TableDef { name: name.clone(), columns: Vec::new(), primary: vec![], unique: vec![] };
    for (at, column) in create.columns.iter().enumerate() {
        let type_name = column.data_type.to_string().to_lowercase();
        let mut new = ColumnDef {
            name: ident_name(&column.name),
            kind: ColumnType::from_sql(&type_name),
            not_null: false,
            serial: type_name.contains("serial"),
            default: None,
        };
        for option in &column.options {
            match &option.option {
                ColumnOption::NotNull => new.not_null = true,
                ColumnOption::Default(expr) => new.default = Some(expr.clone()),
                ColumnOption::PrimaryKey(_) => def.primary = vec![at],
                ColumnOption::Unique(_) => def.unique.push(vec![at]),
                ColumnOption::Generated { .. } => new.serial = true,
                _ => {}
            }
        }
        def.columns.push(new);
    }
    for constraint in &create.constraints {
        let (columns, is_primary) = match constraint {
            TableConstraint::PrimaryKey(primary) => (&primary.columns, true),
            TableConstraint::Unique(unique) => (&unique.columns, false),
            _ => continue,
        };
        let columns = columns
            .iter()
            .map(|column| match &column.column.expr {
                Expr::Identifier(ident) => def.column(&ident_name(ident)),
                other => Err(unsupported(other)),
            })
            .collect::<Result<Vec<_>, _>>()?;
        if is_primary {
            def.primary = columns;
        } else {
            def.unique.push(columns);
        }
    }
    let def = Arc::new(def);
    transaction.changes.push(LogChange::Create(def.clone()));
    transaction.created.insert(name, def);
    Ok(StatementOutcome::Done("CREATE TABLE"))
}
