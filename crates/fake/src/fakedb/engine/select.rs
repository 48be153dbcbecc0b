//! SELECT over one table, a table function or no table.

use std::collections::BTreeMap;
use std::sync::Arc;

use sqlparser::ast::{
    BinaryOperator, Expr, Function, LimitClause, OrderByKind, OrderBySort, Query, SetExpr,
    TableFactor, TableWithJoins,
};

use super::change::{check_writable, lock_all};
use super::describe::projection;
use super::expr::{EvalScope, argument_exprs, eval, eval_arithmetic, function_args, truth};
use super::function::{call_function, function_def, series};
use super::{
    ExecError, ResultField, ResultRows, StatementOutcome, find_row, find_table, find_unique,
    ident_name, last_name, unsupported,
};
use crate::fakedb::store::{DatabaseState, TableDef, Transaction};
use crate::fakedb::value::{Row, RowKey, Value};
use crate::fakedb::{DatabaseRole, SqlError};

/// Source of the rows of a query.
pub(super) enum QuerySource<'a> {
    None,
    Table(Arc<TableDef>),
    Function(TableDef, Vec<&'a Expr>),
}

impl QuerySource<'_> {
    pub(super) fn def(&self) -> Option<&TableDef> {
        match self {
            QuerySource::None => None,
            QuerySource::Table(def) => Some(def),
            QuerySource::Function(def, _) => Some(def),
        }
    }
}

pub(super) fn resolve<'a>(
    state: &DatabaseState,
    transaction: &Transaction,
    from: &'a [TableWithJoins],
) -> Result<QuerySource<'a>, SqlError> {
    let [from] = from else {
        return if from.is_empty() { Ok(QuerySource::None) } else { Err(unsupported("joins")) };
    };
    let TableFactor::Table { name, alias, args, .. } = &from.relation else {
        return Err(unsupported(&from.relation));
    };
    if !from.joins.is_empty() {
        return Err(unsupported("joins"));
    }
    let name = last_name(name);
    match args {
        None => Ok(QuerySource::Table(find_table(state, transaction, &name)?)),
        Some(args) => {
            let alias = alias.as_ref().map(|alias| ident_name(&alias.name));
            let def = function_def(&name, alias.as_deref())
                .ok_or_else(|| SqlError::new("42883", format!("function {name} does not exist")))?;
            Ok(QuerySource::Function(def, argument_exprs(&args.args)))
        }
    }
}

/// Collects the `column = value` conditions that every matching row satisfies.
fn collect_equalities(
    expr: &Expr,
    def: &TableDef,
    params: &[Value],
    found: &mut BTreeMap<usize, Value>,
) -> Result<(), SqlError> {
    match expr {
        Expr::Nested(inner) => collect_equalities(inner, def, params, found)?,
        Expr::BinaryOp { left, op: BinaryOperator::And, right } => {
            collect_equalities(left, def, params, found)?;
            collect_equalities(right, def, params, found)?;
        }
        Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => {
            if let Expr::Identifier(ident) = &**left
                && let Ok(at) = def.column(&ident_name(ident))
                && let Ok(value) = eval(right, EvalScope { def: None, row: &[], params })
            {
                found.insert(at, def.columns[at].kind.convert(value)?);
            }
        }
        _ => {}
    }
    Ok(())
}

/// Finds the rows of a table that satisfy a condition, in key order.
pub(super) fn matching_rows(
    state: &DatabaseState,
    transaction: &Transaction,
    def: &TableDef,
    condition: Option<&Expr>,
    params: &[Value],
) -> Result<Vec<(RowKey, Row)>, SqlError> {
    let mut equalities = BTreeMap::new();
    if let Some(condition) = condition {
        collect_equalities(condition, def, params, &mut equalities)?;
    }
    let lookup = |columns: &[usize]| -> Option<RowKey> {
        (!columns.is_empty())
            .then(|| columns.iter().map(|at| equalities.get(at).cloned()).collect())?
    };
    let holds = |row: &Row| -> Result<bool, SqlError> {
        match condition {
            Some(condition) => {
                let scope = EvalScope { def: Some(def), row, params };
                Ok(truth(&eval(condition, scope)?) == Some(true))
            }
            None => Ok(true),
        }
    };
    let by_unique =
        (0..def.unique.len()).find_map(|index| Some((index, lookup(&def.unique[index])?)));
    let direct = match (lookup(&def.primary), by_unique) {
        (Some(key), _) => Some(Some(key)),
        (None, Some((index, key))) => Some(find_unique(state, transaction, def, index, &key)),
        (None, None) => None,
    };
    let mut rows = Vec::new();
    if let Some(key) = direct {
        let row =
            key.and_then(|key| find_row(state, transaction, &def.name, &key).map(|row| (key, row)));
        if let Some((key, row)) = row
            && holds(&row)?
        {
            rows.push((key, row));
        }
        return Ok(rows);
    }
    let own = transaction.rows.get(&def.name);
    let dropped = transaction.dropped.contains(&def.name);
    let committed = state.tables.get(&def.name).filter(|_| !dropped);
    for (key, row) in committed.into_iter().flat_map(|table| &table.rows) {
        if !own.is_some_and(|own| own.contains_key(key)) && holds(row)? {
            rows.push((key.clone(), row.clone()));
        }
    }
    let mut added = false;
    for (key, row) in own.into_iter().flatten() {
        if let Some(row) = row
            && holds(row)?
        {
            rows.push((key.clone(), row.clone()));
            added = true;
        }
    }
    if added {
        rows.sort_by(|left, right| left.0.cmp(&right.0));
    }
    Ok(rows)
}

pub(super) fn project_row(
    columns: &[(Expr, ResultField)],
    scope: EvalScope<'_>,
) -> Result<Vec<Value>, SqlError> {
    columns.iter().map(|(expr, _)| eval(expr, scope)).collect()
}

/// Returns the name and arguments of an aggregate call.
fn aggregate(expr: &Expr) -> Option<(String, &Function)> {
    let Expr::Function(function) = expr else { return None };
    let name = last_name(&function.name);
    matches!(name.as_str(), "count" | "sum" | "max" | "min").then_some((name, function))
}

fn eval_aggregate(
    name: &str,
    function: &Function,
    def: Option<&TableDef>,
    rows: &[Row],
    params: &[Value],
) -> Result<Value, SqlError> {
    let args = function_args(function);
    let Some(arg) = args.first() else {
        return Ok(Value::Int(rows.len() as i64));
    };
    let mut result = if name == "count" { Value::Int(0) } else { Value::Null };
    for row in rows {
        let value = eval(arg, EvalScope { def, row, params })?;
        if value.is_null() {
            continue;
        }
        result = match (name, &result) {
            ("count", _) => eval_arithmetic(&result, &BinaryOperator::Plus, &Value::Int(1))?,
            (_, Value::Null) => value,
            ("sum", _) => eval_arithmetic(&result, &BinaryOperator::Plus, &value)?,
            ("max", _) => result.max(value),
            _ => result.min(value),
        };
    }
    Ok(result)
}

fn offset_and_limit(query: &Query, params: &[Value]) -> Result<(usize, usize), SqlError> {
    let scope = EvalScope { def: None, row: &[], params };
    let number = |expr: Option<&Expr>, default: usize| -> Result<usize, SqlError> {
        let value = expr.map(|expr| eval(expr, scope)).transpose()?;
        Ok(value.and_then(|value| value.as_int()).map_or(default, |value| value.max(0) as usize))
    };
    match &query.limit_clause {
        Some(LimitClause::LimitOffset { limit, offset, .. }) => Ok((
            number(offset.as_ref().map(|offset| &offset.value), 0)?,
            number(limit.as_ref(), usize::MAX)?,
        )),
        Some(LimitClause::OffsetCommaLimit { offset, limit }) => {
            Ok((number(Some(offset), 0)?, number(Some(limit), usize::MAX)?))
        }
        None => Ok((0, usize::MAX)),
    }
}

fn sort_rows(
    query: &Query,
    def: &TableDef,
    rows: &mut [Row],
    params: &[Value],
) -> Result<(), SqlError> {
    let Some(order) = &query.order_by else { return Ok(()) };
    let OrderByKind::Expressions(exprs) = &order.kind else {
        return Err(unsupported("ORDER BY ALL"));
    };
    for order in exprs.iter().rev() {
        let descending = matches!(order.options.sort, Some(OrderBySort::Desc));
        if let Some(row) = rows.first() {
            eval(&order.expr, EvalScope { def: Some(def), row, params })?;
        }
        rows.sort_by(|left, right| {
            let key = |row: &Row| {
                eval(&order.expr, EvalScope { def: Some(def), row, params }).unwrap_or(Value::Null)
            };
            let ordering = key(left).cmp(&key(right));
            if descending { ordering.reverse() } else { ordering }
        });
    }
    Ok(())
}

pub(super) fn execute_select(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    query: &Query,
    params: &[Value],
    process_id: i32,
) -> Result<StatementOutcome, ExecError> {
    let SetExpr::Select(select) = &*query.body else { Err(unsupported(&query.body))? };
    let source = resolve(state, transaction, &select.from)?;
    let columns = projection(&select.projection, source.def())?;
    let fields: Vec<ResultField> = columns.iter().map(|(_, field)| field.clone()).collect();
    let empty = EvalScope { def: None, row: &[], params };
    let (offset, limit) = offset_and_limit(query, params)?;
    let mut rows: Vec<Row> = match &source {
        QuerySource::None => {
            return execute_scalar(state, &columns, fields, empty, process_id);
        }
        QuerySource::Function(def, args) => {
            let args = args.iter().map(|arg| eval(arg, empty)).collect::<Result<Vec<_>, _>>()?;
            if &*def.name == "generate_series" {
                let range = series(&args)?;
                let is_plain = select.selection.is_none()
                    && query.order_by.is_none()
                    && columns.len() == 1
                    && matches!(&columns[0].0, Expr::Identifier(_))
                    && (offset, limit) == (0, usize::MAX);
                if is_plain {
                    return Ok(StatementOutcome::Rows(fields, ResultRows::Series(range)));
                }
                range.map(|number| Arc::new(vec![Value::Int(number)])).collect()
            } else {
                let (rows, followed) = call_function(state, &def.name, &args)?;
                if followed {
                    return Ok(StatementOutcome::Followed(fields));
                }
                rows.into_iter().map(Arc::new).collect()
            }
        }
        QuerySource::Table(def) => {
            let found = matching_rows(state, transaction, def, select.selection.as_ref(), params)?;
            if !query.locks.is_empty() {
                check_writable(state, transaction, "SELECT FOR UPDATE")?;
                let keys = found.iter().map(|(key, _)| (def.name.clone(), 0, key.clone()));
                lock_all(state, transaction, keys)?;
            }
            found.into_iter().map(|(_, row)| row).collect()
        }
    };
    let def = source.def();
    if columns.iter().any(|(expr, _)| aggregate(expr).is_some()) {
        let mut row = Vec::new();
        for (expr, _) in &columns {
            let (name, function) = aggregate(expr).ok_or_else(|| unsupported("GROUP BY"))?;
            row.push(eval_aggregate(&name, function, def, &rows, params)?);
        }
        return Ok(StatementOutcome::Rows(fields, ResultRows::List(vec![row].into_iter())));
    }
    if let Some(def) = def {
        sort_rows(query, def, &mut rows, params)?;
    }
    let mut projected = Vec::new();
    for row in rows.iter().skip(offset).take(limit) {
        projected.push(project_row(&columns, EvalScope { def, row, params })?);
    }
    Ok(StatementOutcome::Rows(fields, ResultRows::List(projected.into_iter())))
}

/// Runs a SELECT without FROM.
fn execute_scalar(
    state: &mut DatabaseState,
    columns: &[(Expr, ResultField)],
    fields: Vec<ResultField>,
    scope: EvalScope<'_>,
    process_id: i32,
) -> Result<StatementOutcome, ExecError> {
    let mut row = Vec::new();
    for (expr, _) in columns {
        let Expr::Function(function) = expr else {
            row.push(eval(expr, scope)?);
            continue;
        };
        let name = last_name(&function.name);
        let args = function_args(function);
        let args = || args.iter().map(|arg| eval(arg, scope)).collect::<Result<Vec<_>, _>>();
        match name.as_str() {
            "pg_sleep" if columns.len() == 1 => {
                let seconds = args()?.first().and_then(Value::as_float).unwrap_or_default();
                return Ok(StatementOutcome::Sleep(seconds));
            }
            "generate_series" if columns.len() == 1 => {
                return Ok(StatementOutcome::Rows(fields, ResultRows::Series(series(&args()?)?)));
            }
            "pg_backend_pid" => row.push(Value::Int(i64::from(process_id))),
            "pg_is_in_recovery" => row.push(Value::Bool(state.role == DatabaseRole::Replica)),
            "cicadawick_report" | "cicadawick_fence" | "cicadawick_promote"
            | "cicadawick_follow" => {
                let (mut rows, followed) = call_function(state, &name, &args()?)?;
                if followed {
                    return Ok(StatementOutcome::Followed(fields));
                }
                let mut values = rows.pop().unwrap_or_default();
                // A composite value as a single column has PostgreSQL's record syntax.
                row.push(if values.len() == 1 {
                    values.remove(0)
                } else {
                    let parts: Vec<String> = values.iter().filter_map(Value::to_text).collect();
                    Value::Text(format!("({})", parts.join(",")).into())
                });
            }
            _ => row.push(eval(expr, scope)?),
        }
    }
    Ok(StatementOutcome::Rows(fields, ResultRows::List(vec![row].into_iter())))
}
