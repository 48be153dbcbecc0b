//! Executes the SQL subset on the state of one database.
//!
//! A statement that meets a lock of another transaction changes nothing and returns
//! [`ExecError::Blocked`]; the connection waits and runs it again, so it sees what the other
//! transaction committed (READ COMMITTED).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use sqlparser::ast::{
    AssignmentTarget, BinaryOperator, ColumnOption, Expr, FromTable, Function, FunctionArg,
    FunctionArgExpr, FunctionArguments, InTarget, Insert, LimitClause, ObjectName,
    OnConflictAction, OnInsert, OrderByKind, OrderBySort, Query, SelectItem, SetExpr, Statement,
    TableConstraint, TableFactor, TableObject, TableWithJoins, TransactionAccessMode,
    TransactionMode, UnaryOperator, Value as Literal,
};

use super::store::{ColumnDef, DatabaseState, LockKey, LogChange, TableDef, Transaction};
use super::value::{ColumnType, Row, RowKey, Value};
use super::{DatabaseRole, SqlError};

/// Source of hidden row numbers and serial values. It is shared by the whole process, so that a new
/// primary never repeats a number.
static NEXT_NUMBER: AtomicI64 = AtomicI64::new(1);

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Field {
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
pub(crate) enum Outcome {
    Rows(Vec<Field>, ResultRows),
    /// `INSERT`, `UPDATE` or `DELETE` with its tag and, with RETURNING, rows.
    Changed(String, Option<(Vec<Field>, ResultRows)>),
    Done(&'static str),
    Sleep(f64),
    /// The database was told to follow a leader; the answer is a row with `t`.
    Followed(Vec<Field>),
}

#[derive(Debug)]
pub(crate) enum ExecError {
    Failed(SqlError),
    /// Another transaction holds a lock.
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

/// What an expression can refer to.
#[derive(Clone, Copy)]
struct Scope<'a> {
    def: Option<&'a TableDef>,
    row: &'a [Value],
    params: &'a [Value],
}

fn truth(value: &Value) -> Option<bool> {
    match value {
        Value::Bool(value) => Some(*value),
        _ => None,
    }
}

fn from_truth(value: Option<bool>) -> Value {
    value.map_or(Value::Null, Value::Bool)
}

fn eval(expr: &Expr, scope: Scope<'_>) -> Result<Value, SqlError> {
    Ok(match expr {
        Expr::Nested(inner) => eval(inner, scope)?,
        Expr::Value(literal) => eval_literal(&literal.value, scope.params)?,
        Expr::Identifier(ident) => column_value(&ident_name(ident), scope)?,
        Expr::CompoundIdentifier(parts) => {
            let last = parts.last().ok_or_else(|| unsupported(expr))?;
            column_value(&ident_name(last), scope)?
        }
        Expr::Cast { expr, data_type, .. } => cast(&data_type.to_string(), eval(expr, scope)?)?,
        Expr::Interval(interval) => {
            let unit = interval.leading_field.as_ref().map(ToString::to_string).unwrap_or_default();
            let text = eval(&interval.value, scope)?.to_text().unwrap_or_default();
            interval_seconds(&format!("{text} {unit}"))?
        }
        Expr::TypedString(typed) => {
            cast(&typed.data_type.to_string(), eval_literal(&typed.value.value, scope.params)?)?
        }
        Expr::UnaryOp { op, expr: inner } => match (op, eval(inner, scope)?) {
            (UnaryOperator::Minus, Value::Int(value)) => Value::Int(-value),
            (UnaryOperator::Minus, Value::Float(value)) => Value::Float(-value),
            (UnaryOperator::Plus, value) => value,
            (UnaryOperator::Not, value) => from_truth(truth(&value).map(|value| !value)),
            _ => return Err(unsupported(expr)),
        },
        Expr::IsNull(inner) => Value::Bool(eval(inner, scope)?.is_null()),
        Expr::IsNotNull(inner) => Value::Bool(!eval(inner, scope)?.is_null()),
        Expr::In { expr, target: InTarget::List(list), negated, .. } => {
            let left = eval(expr, scope)?;
            let mut found = false;
            for item in list {
                found |= compare(&left, &eval(item, scope)?)? == Some(std::cmp::Ordering::Equal);
            }
            if left.is_null() { Value::Null } else { Value::Bool(found != *negated) }
        }
        Expr::Between { expr, negated, low, high } => {
            let value = eval(expr, scope)?;
            let above = compare(&value, &eval(low, scope)?)?.map(|order| order.is_ge());
            let below = compare(&value, &eval(high, scope)?)?.map(|order| order.is_le());
            from_truth(above.zip(below).map(|(above, below)| (above && below) != *negated))
        }
        Expr::BinaryOp { left, op, right } => {
            eval_binary(&eval(left, scope)?, op, &eval(right, scope)?)?
        }
        Expr::Function(function) => eval_function(function, scope)?,
        _ => return Err(unsupported(expr)),
    })
}

fn cast(type_name: &str, value: Value) -> Result<Value, SqlError> {
    match value.to_text() {
        Some(text) if type_name.to_ascii_lowercase().starts_with("interval") => {
            interval_seconds(&text)
        }
        _ => ColumnType::from_sql(type_name).convert(value),
    }
}

/// An interval is held as its number of seconds.
fn interval_seconds(text: &str) -> Result<Value, SqlError> {
    let invalid = || SqlError::new("22007", format!("invalid interval \"{text}\""));
    let words: Vec<&str> = text.split_whitespace().collect();
    let mut seconds = 0.0;
    for pair in words.chunks(2) {
        let [number, unit] = pair else { return Err(invalid()) };
        let number: f64 = number.parse().map_err(|_| invalid())?;
        let unit = unit.to_ascii_lowercase();
        seconds += number
            * match unit.trim_end_matches('s') {
                "millisecond" => 1e-3,
                "second" | "sec" => 1.0,
                "minute" | "min" => 60.0,
                "hour" => 3600.0,
                "day" => 86_400.0,
                "week" => 604_800.0,
                _ => return Err(invalid()),
            };
    }
    Ok(Value::Float(seconds))
}

fn eval_literal(literal: &Literal, params: &[Value]) -> Result<Value, SqlError> {
    Ok(match literal {
        Literal::Null => Value::Null,
        Literal::Boolean(value) => Value::Bool(*value),
        Literal::Number(digits, _) => match digits.parse::<i64>() {
            Ok(value) => Value::Int(value),
            Err(_) => Value::Float(digits.parse().map_err(|_| unsupported(digits))?),
        },
        Literal::Placeholder(name) => {
            let at = name.trim_start_matches('$').parse::<usize>().unwrap_or_default();
            let value = at.checked_sub(1).and_then(|at| params.get(at));
            value
                .cloned()
                .ok_or_else(|| SqlError::new("42P02", format!("there is no parameter {name}")))?
        }
        other => match other.clone().into_string() {
            Some(text) => Value::Text(text.into()),
            None => return Err(unsupported(other)),
        },
    })
}

fn column_value(name: &str, scope: Scope<'_>) -> Result<Value, SqlError> {
    match scope.def {
        Some(def) => Ok(scope.row[def.column(name)?].clone()),
        None => Err(SqlError::new("42703", format!("column \"{name}\" does not exist"))),
    }
}

/// Compares two values; a text is converted to the type of the other side, as a literal would be.
fn compare(left: &Value, right: &Value) -> Result<Option<std::cmp::Ordering>, SqlError> {
    let convert = |text: &Value, other: &Value| match other {
        Value::Bool(_) => ColumnType::Bool.convert(text.clone()),
        Value::Int(_) => ColumnType::Int8.convert(text.clone()),
        Value::Float(_) => ColumnType::Float.convert(text.clone()),
        Value::Time(_) => ColumnType::Time.convert(text.clone()),
        Value::Bytes(_) => ColumnType::Bytes.convert(text.clone()),
        _ => Ok(text.clone()),
    };
    Ok(match (left, right) {
        (Value::Null, _) | (_, Value::Null) => None,
        (Value::Text(_), other) => Some(convert(left, other)?.cmp(other)),
        (other, Value::Text(_)) => Some(other.cmp(&convert(right, other)?)),
        _ => Some(left.cmp(right)),
    })
}

fn eval_binary(left: &Value, op: &BinaryOperator, right: &Value) -> Result<Value, SqlError> {
    let ordered = |test: fn(std::cmp::Ordering) -> bool| -> Result<Value, SqlError> {
        Ok(from_truth(compare(left, right)?.map(test)))
    };
    match op {
        BinaryOperator::Eq => ordered(std::cmp::Ordering::is_eq),
        BinaryOperator::NotEq => ordered(std::cmp::Ordering::is_ne),
        BinaryOperator::Lt => ordered(std::cmp::Ordering::is_lt),
        BinaryOperator::LtEq => ordered(std::cmp::Ordering::is_le),
        BinaryOperator::Gt => ordered(std::cmp::Ordering::is_gt),
        BinaryOperator::GtEq => ordered(std::cmp::Ordering::is_ge),
        BinaryOperator::And => Ok(from_truth(match (truth(left), truth(right)) {
            (Some(false), _) | (_, Some(false)) => Some(false),
            (Some(true), Some(true)) => Some(true),
            _ => None,
        })),
        BinaryOperator::Or => Ok(from_truth(match (truth(left), truth(right)) {
            (Some(true), _) | (_, Some(true)) => Some(true),
            (Some(false), Some(false)) => Some(false),
            _ => None,
        })),
        BinaryOperator::StringConcat => Ok(match (left.to_text(), right.to_text()) {
            (Some(left), Some(right)) => Value::Text((left + &right).into()),
            _ => Value::Null,
        }),
        _ => eval_arithmetic(left, op, right),
    }
}

fn eval_arithmetic(left: &Value, op: &BinaryOperator, right: &Value) -> Result<Value, SqlError> {
    if left.is_null() || right.is_null() {
        return Ok(Value::Null);
    }
    match (left, op, right) {
        (Value::Time(time), BinaryOperator::Plus, Value::Float(seconds)) => {
            return Ok(Value::Time(time + (seconds * 1e6) as i64));
        }
        (Value::Time(time), BinaryOperator::Minus, Value::Float(seconds)) => {
            return Ok(Value::Time(time - (seconds * 1e6) as i64));
        }
        _ => {}
    }
    let overflow = || SqlError::new("22003", "bigint out of range");
    if let (Value::Int(left), Value::Int(right)) = (left, right) {
        let result = match op {
            BinaryOperator::Plus => left.checked_add(*right),
            BinaryOperator::Minus => left.checked_sub(*right),
            BinaryOperator::Multiply => left.checked_mul(*right),
            BinaryOperator::Divide | BinaryOperator::Modulo if *right == 0 => {
                return Err(SqlError::new("22012", "division by zero"));
            }
            BinaryOperator::Divide => left.checked_div(*right),
            BinaryOperator::Modulo => left.checked_rem(*right),
            _ => return Err(unsupported(op)),
        };
        return result.map(Value::Int).ok_or_else(overflow);
    }
    let number = |value: &Value| {
        value.as_float().ok_or_else(|| SqlError::new("42883", "operator does not exist"))
    };
    let (left, right) = (number(left)?, number(right)?);
    Ok(Value::Float(match op {
        BinaryOperator::Plus => left + right,
        BinaryOperator::Minus => left - right,
        BinaryOperator::Multiply => left * right,
        BinaryOperator::Divide => left / right,
        _ => return Err(unsupported(op)),
    }))
}

fn argument_exprs<'a>(args: impl IntoIterator<Item = &'a FunctionArg>) -> Vec<&'a Expr> {
    args.into_iter()
        .filter_map(|arg| match arg {
            FunctionArg::Unnamed(FunctionArgExpr::Expr(expr)) => Some(expr),
            _ => None,
        })
        .collect()
}

fn function_args(function: &Function) -> Vec<&Expr> {
    match &function.args {
        FunctionArguments::List(list) => argument_exprs(&list.args),
        _ => Vec::new(),
    }
}

fn eval_function(function: &Function, scope: Scope<'_>) -> Result<Value, SqlError> {
    let name = last_name(&function.name);
    let args = function_args(function);
    let arg = |at: usize| match args.get(at) {
        Some(expr) => eval(expr, scope),
        None => Err(SqlError::new("42883", format!("function {name} needs more arguments"))),
    };
    Ok(match name.as_str() {
        "now"
        | "current_timestamp"
        | "clock_timestamp"
        | "transaction_timestamp"
        | "statement_timestamp" => Value::now(),
        "version" => Value::text("PostgreSQL 16.0 (fakedb)"),
        "current_database" | "current_schema" => Value::text("public"),
        "lower" => arg(0)?.to_text().map_or(Value::Null, |text| Value::text(&text.to_lowercase())),
        "upper" => arg(0)?.to_text().map_or(Value::Null, |text| Value::text(&text.to_uppercase())),
        "length" => {
            arg(0)?.to_text().map_or(Value::Null, |text| Value::Int(text.chars().count() as i64))
        }
        "repeat" => {
            let count = arg(1)?.as_int().unwrap_or_default().max(0) as usize;
            arg(0)?.to_text().map_or(Value::Null, |text| Value::Text(text.repeat(count).into()))
        }
        "coalesce" => {
            for expr in &args {
                let value = eval(expr, scope)?;
                if !value.is_null() {
                    return Ok(value);
                }
            }
            Value::Null
        }
        _ => return Err(SqlError::new("42883", format!("function {name} does not exist"))),
    })
}

/// Infers the type of an expression; a lone parameter is text.
fn infer(expr: &Expr, def: Option<&TableDef>) -> ColumnType {
    let column = |name: &str| {
        let at = def.and_then(|def| def.column(name).ok());
        at.zip(def).map_or(ColumnType::Text, |(at, def)| def.columns[at].kind)
    };
    match expr {
        Expr::Nested(inner) => infer(inner, def),
        Expr::Identifier(ident) => column(&ident_name(ident)),
        Expr::CompoundIdentifier(parts) => {
            parts.last().map_or(ColumnType::Text, |last| column(&ident_name(last)))
        }
        Expr::Value(literal) => match &literal.value {
            Literal::Boolean(_) => ColumnType::Bool,
            Literal::Number(digits, _) if digits.parse::<i32>().is_ok() => ColumnType::Int4,
            Literal::Number(digits, _) if digits.parse::<i64>().is_ok() => ColumnType::Int8,
            Literal::Number(..) => ColumnType::Float,
            _ => ColumnType::Text,
        },
        Expr::Cast { data_type, .. } => ColumnType::from_sql(&data_type.to_string()),
        Expr::UnaryOp { op: UnaryOperator::Not, .. } => ColumnType::Bool,
        Expr::UnaryOp { expr, .. } => infer(expr, def),
        Expr::BinaryOp { left, op, right } => match op {
            BinaryOperator::StringConcat => ColumnType::Text,
            BinaryOperator::Plus
            | BinaryOperator::Minus
            | BinaryOperator::Multiply
            | BinaryOperator::Divide
            | BinaryOperator::Modulo => match (infer(left, def), infer(right, def)) {
                (ColumnType::Time, _) | (_, ColumnType::Time) => ColumnType::Time,
                (ColumnType::Text, kind) | (kind, ColumnType::Text) => kind,
                (ColumnType::Float, _) | (_, ColumnType::Float) => ColumnType::Float,
                (ColumnType::Int8, _) | (_, ColumnType::Int8) => ColumnType::Int8,
                (kind, _) => kind,
            },
            _ => ColumnType::Bool,
        },
        Expr::IsNull(_) | Expr::IsNotNull(_) | Expr::In { .. } | Expr::Between { .. } => {
            ColumnType::Bool
        }
        Expr::Function(function) => match last_name(&function.name).as_str() {
            "now"
            | "current_timestamp"
            | "clock_timestamp"
            | "transaction_timestamp"
            | "statement_timestamp" => ColumnType::Time,
            "count" | "length" => ColumnType::Int8,
            "generate_series" => ColumnType::Int4,
            "pg_backend_pid" => ColumnType::Int4,
            "pg_is_in_recovery" => ColumnType::Bool,
            "pg_sleep" => ColumnType::Void,
            "sum" => match function_args(function).first().map(|expr| infer(expr, def)) {
                Some(ColumnType::Float) => ColumnType::Float,
                _ => ColumnType::Int8,
            },
            "max" | "min" | "coalesce" => {
                function_args(function).first().map_or(ColumnType::Text, |expr| infer(expr, def))
            }
            _ => ColumnType::Text,
        },
        _ => ColumnType::Text,
    }
}

fn field_name(expr: &Expr) -> String {
    match expr {
        Expr::Identifier(ident) => ident_name(ident),
        Expr::CompoundIdentifier(parts) => parts.last().map(ident_name).unwrap_or_default(),
        Expr::Function(function) => last_name(&function.name),
        Expr::Cast { expr, .. } | Expr::Nested(expr) => field_name(expr),
        _ => "?column?".to_string(),
    }
}

/// A projected expression and its field.
fn projection(
    items: &[SelectItem],
    def: Option<&TableDef>,
) -> Result<Vec<(Expr, Field)>, SqlError> {
    let mut columns = Vec::new();
    for item in items {
        match item {
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                for column in def.into_iter().flat_map(|def| &def.columns) {
                    let expr =
                        Expr::Identifier(sqlparser::ast::Ident::with_quote('"', &column.name));
                    columns.push((expr, Field { name: column.name.clone(), kind: column.kind }));
                }
            }
            SelectItem::UnnamedExpr(expr) => {
                let field = Field { name: field_name(expr), kind: infer(expr, def) };
                columns.push((expr.clone(), field));
            }
            SelectItem::ExprWithAlias { expr, alias } => {
                let field = Field { name: ident_name(alias), kind: infer(expr, def) };
                columns.push((expr.clone(), field));
            }
            SelectItem::ExprWithAliases { .. } => return Err(unsupported(item)),
        }
    }
    Ok(columns)
}

/// Fields of a table function, or `None` if the name is none.
fn function_fields(name: &str) -> Option<Vec<Field>> {
    let text = |name: &str| Field { name: name.to_string(), kind: ColumnType::Text };
    let report = ["term", "role", "log_term", "received", "applied", "term_start", "previous_term"];
    Some(match name {
        "cicadawick_report" => report.into_iter().map(text).collect(),
        "cicadawick_fence" => std::iter::once("accepted").chain(report).map(text).collect(),
        "cicadawick_promote" | "cicadawick_follow" => vec![text(name)],
        "generate_series" => vec![Field { name: name.to_string(), kind: ColumnType::Int4 }],
        _ => return None,
    })
}

fn function_def(name: &str, alias: Option<&str>) -> Option<TableDef> {
    let columns = function_fields(name)?.into_iter().map(|field| ColumnDef {
        name: alias.filter(|_| name == "generate_series").map_or(field.name, str::to_string),
        kind: field.kind,
        not_null: false,
        serial: false,
        default: None,
    });
    let columns = columns.collect();
    Some(TableDef { name: name.into(), columns, primary: Vec::new(), unique: Vec::new() })
}

/// Runs one of the functions with several columns or effects.
fn call_function(
    state: &mut DatabaseState,
    name: &str,
    args: &[Value],
) -> Result<(Vec<Vec<Value>>, bool), SqlError> {
    let wrong = || SqlError::new("42883", format!("wrong arguments for function {name}"));
    let term = || {
        let term = args.first().and_then(Value::as_int).and_then(|term| u64::try_from(term).ok());
        term.ok_or_else(wrong)
    };
    let text = || args.get(1).and_then(Value::to_text).ok_or_else(wrong);
    let report = |state: &DatabaseState| -> Vec<Value> {
        let report = state.report();
        let number = |value: u64| Value::Text(value.to_string().into());
        vec![
            number(report.term),
            Value::text(report.role.name()),
            number(report.log_term),
            number(report.received),
            number(report.applied),
            number(report.term_start),
            number(report.previous_term),
        ]
    };
    Ok(match name {
        "cicadawick_report" => (vec![report(state)], false),
        "cicadawick_fence" => {
            let accepted = state.fence(term()?, &text()?);
            let mut row = vec![Value::text(if accepted { "t" } else { "f" })];
            row.extend(report(state));
            (vec![row], false)
        }
        "cicadawick_promote" => {
            let start = state.promote(term()?)?;
            (vec![vec![Value::Text(start.to_string().into())]], false)
        }
        "cicadawick_follow" => {
            state.follow(term()?, &text()?)?;
            (vec![vec![Value::text("t")]], true)
        }
        _ => return Err(wrong()),
    })
}

/// Resolves the table of a FROM clause.
enum Source<'a> {
    None,
    Table(Arc<TableDef>),
    Function(TableDef, Vec<&'a Expr>),
}

impl Source<'_> {
    fn def(&self) -> Option<&TableDef> {
        match self {
            Source::None => None,
            Source::Table(def) => Some(def),
            Source::Function(def, _) => Some(def),
        }
    }
}

fn resolve<'a>(
    state: &DatabaseState,
    transaction: &Transaction,
    from: &'a [TableWithJoins],
) -> Result<Source<'a>, SqlError> {
    let [from] = from else {
        return if from.is_empty() { Ok(Source::None) } else { Err(unsupported("joins")) };
    };
    let TableFactor::Table { name, alias, args, .. } = &from.relation else {
        return Err(unsupported(&from.relation));
    };
    if !from.joins.is_empty() {
        return Err(unsupported("joins"));
    }
    let name = last_name(name);
    match args {
        None => Ok(Source::Table(find_table(state, transaction, &name)?)),
        Some(args) => {
            let alias = alias.as_ref().map(|alias| ident_name(&alias.name));
            let def = function_def(&name, alias.as_deref())
                .ok_or_else(|| SqlError::new("42883", format!("function {name} does not exist")))?;
            Ok(Source::Function(def, argument_exprs(&args.args)))
        }
    }
}

/// Collects `column = value` conditions that must all hold.
fn equalities(
    expr: &Expr,
    def: &TableDef,
    params: &[Value],
    found: &mut BTreeMap<usize, Value>,
) -> Result<(), SqlError> {
    match expr {
        Expr::Nested(inner) => equalities(inner, def, params, found)?,
        Expr::BinaryOp { left, op: BinaryOperator::And, right } => {
            equalities(left, def, params, found)?;
            equalities(right, def, params, found)?;
        }
        Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => {
            if let Expr::Identifier(ident) = &**left
                && let Ok(at) = def.column(&ident_name(ident))
                && let Ok(value) = eval(right, Scope { def: None, row: &[], params })
            {
                found.insert(at, def.columns[at].kind.convert(value)?);
            }
        }
        _ => {}
    }
    Ok(())
}

/// Finds the rows of a table that satisfy a condition, in key order.
fn matching_rows(
    state: &DatabaseState,
    transaction: &Transaction,
    def: &TableDef,
    condition: Option<&Expr>,
    params: &[Value],
) -> Result<Vec<(RowKey, Row)>, SqlError> {
    let mut known = BTreeMap::new();
    if let Some(condition) = condition {
        equalities(condition, def, params, &mut known)?;
    }
    let lookup = |columns: &[usize]| -> Option<RowKey> {
        (!columns.is_empty()).then(|| columns.iter().map(|at| known.get(at).cloned()).collect())?
    };
    let holds = |row: &Row| -> Result<bool, SqlError> {
        match condition {
            Some(condition) => {
                let scope = Scope { def: Some(def), row, params };
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

fn lock_all(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    keys: impl IntoIterator<Item = LockKey>,
) -> Result<(), ExecError> {
    for key in keys {
        state.lock(transaction, key.clone()).map_err(|holder| ExecError::Blocked(key, holder))?;
    }
    Ok(())
}

fn check_writable(
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

/// Finds what a new row would violate: the key of the other row and the constraint's name.
fn violation(
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
) -> Result<Option<(Vec<Field>, ResultRows)>, SqlError> {
    let Some(items) = items else { return Ok(None) };
    let columns = projection(items, Some(def))?;
    let mut projected = Vec::new();
    for row in rows {
        projected.push(project_row(&columns, Scope { def: Some(def), row, params })?);
    }
    let fields = columns.into_iter().map(|(_, field)| field).collect();
    Ok(Some((fields, ResultRows::List(projected.into_iter()))))
}

fn project_row(columns: &[(Expr, Field)], scope: Scope<'_>) -> Result<Vec<Value>, SqlError> {
    columns.iter().map(|(expr, _)| eval(expr, scope)).collect()
}

fn insert_target(insert: &Insert) -> Result<String, SqlError> {
    match &insert.table {
        TableObject::TableName(name) => Ok(last_name(name)),
        other => Err(unsupported(other)),
    }
}

fn insert_columns(insert: &Insert, def: &TableDef) -> Result<Vec<usize>, SqlError> {
    if insert.columns.is_empty() {
        return Ok((0..def.columns.len()).collect());
    }
    insert.columns.iter().map(|name| def.column(&last_name(name))).collect()
}

fn insert_rows(insert: &Insert) -> Result<Vec<&[Expr]>, SqlError> {
    match insert.source.as_deref().map(|query| &*query.body) {
        Some(SetExpr::Values(values)) => {
            Ok(values.rows.iter().map(|row| row.content.as_slice()).collect())
        }
        _ => Err(unsupported("INSERT without VALUES")),
    }
}

fn execute_insert(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    insert: &Insert,
    params: &[Value],
) -> Result<Outcome, ExecError> {
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
        let scope = Scope { def: None, row: &[], params };
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
                    Value::Int(NEXT_NUMBER.fetch_add(1, Ordering::Relaxed))
                }
                (None, None) => Value::Null,
            });
        }
        check_not_null(&def, &complete)?;
        let hidden = || vec![Value::Int(NEXT_NUMBER.fetch_add(1, Ordering::Relaxed))];
        let key = def.key(&complete).unwrap_or_else(hidden);
        rows.push((key, Arc::new(complete)));
    }
    let locks: Vec<LockKey> =
        rows.iter().flat_map(|(key, row)| row_locks(&def, key, row)).collect();
    lock_all(state, transaction, locks)?;
    let mut inserted = Vec::new();
    for (key, row) in rows {
        match violation(state, transaction, &def, &key, &row, None) {
            Some(_) if skip_conflicts => {}
            Some(constraint) => Err(unique_violation(&constraint))?,
            None => {
                transaction.write(&def.name, key, Some(row.clone()));
                inserted.push(row);
            }
        }
    }
    let tag = format!("INSERT 0 {}", inserted.len());
    Ok(Outcome::Changed(tag, returning_rows(insert.returning.as_ref(), &def, &inserted, params)?))
}

fn target_table(
    state: &DatabaseState,
    transaction: &Transaction,
    from: &[TableWithJoins],
) -> Result<Arc<TableDef>, SqlError> {
    match resolve(state, transaction, from)? {
        Source::Table(def) => Ok(def),
        _ => Err(unsupported("a change of something that is not a table")),
    }
}

fn assignment_column(target: &AssignmentTarget, def: &TableDef) -> Result<usize, SqlError> {
    match target {
        AssignmentTarget::ColumnName(name) => def.column(&last_name(name)),
        AssignmentTarget::Tuple(_) => Err(unsupported("tuple assignment")),
    }
}

fn execute_update(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    update: &sqlparser::ast::Update,
    params: &[Value],
) -> Result<Outcome, ExecError> {
    check_writable(state, transaction, "UPDATE")?;
    let def = target_table(state, transaction, std::slice::from_ref(&update.table))?;
    let found = matching_rows(state, transaction, &def, update.selection.as_ref(), params)?;
    let mut changes = Vec::new();
    for (key, row) in found {
        let mut new_row = (*row).clone();
        for assignment in &update.assignments {
            let at = assignment_column(&assignment.target, &def)?;
            let value = eval(&assignment.value, Scope { def: Some(&def), row: &row, params })?;
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
        let broken = violation(state, transaction, &def, &new_key, &new_row, Some(&key));
        if let Some(constraint) = broken {
            Err(unique_violation(&constraint))?;
        }
        if new_key != key {
            transaction.write(&def.name, key, None);
        }
        transaction.write(&def.name, new_key, Some(new_row.clone()));
        rows.push(new_row);
    }
    let tag = format!("UPDATE {}", rows.len());
    Ok(Outcome::Changed(tag, returning_rows(update.returning.as_ref(), &def, &rows, params)?))
}

fn delete_from(delete: &sqlparser::ast::Delete) -> &[TableWithJoins] {
    match &delete.from {
        FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from) => from,
    }
}

fn execute_delete(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    delete: &sqlparser::ast::Delete,
    params: &[Value],
) -> Result<Outcome, ExecError> {
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
    Ok(Outcome::Changed(tag, returning_rows(delete.returning.as_ref(), &def, &rows, params)?))
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
        let value = eval(arg, Scope { def, row, params })?;
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

fn limit_of(query: &Query, params: &[Value]) -> Result<(usize, usize), SqlError> {
    let scope = Scope { def: None, row: &[], params };
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
            eval(&order.expr, Scope { def: Some(def), row, params })?;
        }
        rows.sort_by(|left, right| {
            let key = |row: &Row| {
                eval(&order.expr, Scope { def: Some(def), row, params }).unwrap_or(Value::Null)
            };
            let ordering = key(left).cmp(&key(right));
            if descending { ordering.reverse() } else { ordering }
        });
    }
    Ok(())
}

fn series(args: &[Value]) -> Result<std::ops::RangeInclusive<i64>, SqlError> {
    match args {
        [first, last] => Ok(first.as_int().unwrap_or(1)..=last.as_int().unwrap_or(0)),
        _ => Err(unsupported("generate_series with other than two arguments")),
    }
}

fn execute_select(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    query: &Query,
    params: &[Value],
    backend: i32,
) -> Result<Outcome, ExecError> {
    let SetExpr::Select(select) = &*query.body else { Err(unsupported(&query.body))? };
    let source = resolve(state, transaction, &select.from)?;
    let columns = projection(&select.projection, source.def())?;
    let fields: Vec<Field> = columns.iter().map(|(_, field)| field.clone()).collect();
    let empty = Scope { def: None, row: &[], params };
    let (offset, limit) = limit_of(query, params)?;
    let mut rows: Vec<Row> = match &source {
        Source::None => {
            return execute_scalar(state, &columns, fields, empty, backend);
        }
        Source::Function(def, args) => {
            let args = args.iter().map(|arg| eval(arg, empty)).collect::<Result<Vec<_>, _>>()?;
            if &*def.name == "generate_series" {
                let range = series(&args)?;
                let is_plain = select.selection.is_none()
                    && query.order_by.is_none()
                    && columns.len() == 1
                    && matches!(&columns[0].0, Expr::Identifier(_))
                    && (offset, limit) == (0, usize::MAX);
                if is_plain {
                    return Ok(Outcome::Rows(fields, ResultRows::Series(range)));
                }
                range.map(|number| Arc::new(vec![Value::Int(number)])).collect()
            } else {
                let (rows, followed) = call_function(state, &def.name, &args)?;
                if followed {
                    return Ok(Outcome::Followed(fields));
                }
                rows.into_iter().map(Arc::new).collect()
            }
        }
        Source::Table(def) => {
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
        return Ok(Outcome::Rows(fields, ResultRows::List(vec![row].into_iter())));
    }
    if let Some(def) = def {
        sort_rows(query, def, &mut rows, params)?;
    }
    let mut projected = Vec::new();
    for row in rows.iter().skip(offset).take(limit) {
        projected.push(project_row(&columns, Scope { def, row, params })?);
    }
    Ok(Outcome::Rows(fields, ResultRows::List(projected.into_iter())))
}

/// Runs a SELECT without FROM.
fn execute_scalar(
    state: &mut DatabaseState,
    columns: &[(Expr, Field)],
    fields: Vec<Field>,
    scope: Scope<'_>,
    backend: i32,
) -> Result<Outcome, ExecError> {
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
                return Ok(Outcome::Sleep(seconds));
            }
            "generate_series" if columns.len() == 1 => {
                return Ok(Outcome::Rows(fields, ResultRows::Series(series(&args()?)?)));
            }
            "pg_backend_pid" => row.push(Value::Int(i64::from(backend))),
            "pg_is_in_recovery" => row.push(Value::Bool(state.role == DatabaseRole::Replica)),
            "cicadawick_report" | "cicadawick_fence" | "cicadawick_promote"
            | "cicadawick_follow" => {
                let (mut rows, followed) = call_function(state, &name, &args()?)?;
                if followed {
                    return Ok(Outcome::Followed(fields));
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
    Ok(Outcome::Rows(fields, ResultRows::List(vec![row].into_iter())))
}

fn execute_create(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    create: &sqlparser::ast::CreateTable,
) -> Result<Outcome, ExecError> {
    check_writable(state, transaction, "CREATE TABLE")?;
    let name: Arc<str> = last_name(&create.name).into();
    if find_table(state, transaction, &name).is_ok() {
        if create.if_not_exists {
            return Ok(Outcome::Done("CREATE TABLE"));
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
    Ok(Outcome::Done("CREATE TABLE"))
}

/// Executes one statement other than transaction control inside a transaction.
pub(crate) fn execute(
    state: &mut DatabaseState,
    transaction: &mut Transaction,
    statement: &Statement,
    params: &[Value],
    backend: i32,
) -> Result<Outcome, ExecError> {
    match statement {
        Statement::Query(query) => execute_select(state, transaction, query, params, backend),
        Statement::Insert(insert) => execute_insert(state, transaction, insert, params),
        Statement::Update(update) => execute_update(state, transaction, update, params),
        Statement::Delete(delete) => execute_delete(state, transaction, delete, params),
        Statement::CreateTable(create) => execute_create(state, transaction, create),
        Statement::CreateIndex(index) if index.unique => Err(unsupported("CREATE UNIQUE INDEX"))?,
        Statement::CreateIndex(_) => Ok(Outcome::Done("CREATE INDEX")),
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
            Ok(Outcome::Done("DROP TABLE"))
        }
        Statement::Set(_) => Ok(Outcome::Done("SET")),
        Statement::Reset(_) => Ok(Outcome::Done("RESET")),
        Statement::Discard { .. } => Ok(Outcome::Done("DISCARD ALL")),
        Statement::Deallocate { .. } => Ok(Outcome::Done("DEALLOCATE")),
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
            Ok(Outcome::Rows(fields, ResultRows::List(rows.into_iter())))
        }
        other => Err(unsupported(other))?,
    }
}

/// Transaction control that a statement asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Control {
    Begin { read_only: bool },
    Commit,
    Rollback,
}

pub(crate) fn control_of(statement: &Statement) -> Option<Control> {
    match statement {
        Statement::StartTransaction { modes, .. } => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            Some(Control::Begin { read_only: modes.contains(&read_only) })
        }
        Statement::Commit { .. } => Some(Control::Commit),
        Statement::Rollback { savepoint: None, .. } => Some(Control::Rollback),
        _ => None,
    }
}

/// Tells whether a statement only calls the administration functions, which take no slot: a report
/// must not wait behind the load that it reports on.
pub(crate) fn is_administration(sql: &str) -> bool {
    ["cicadawick_report", "cicadawick_fence", "cicadawick_promote", "cicadawick_follow"]
        .iter()
        .any(|name| sql.contains(name))
}

/// Infers parameter types and result fields of a statement.
pub(crate) fn describe(
    state: &DatabaseState,
    transaction: &Transaction,
    statement: &Statement,
) -> Result<(Vec<ColumnType>, Option<Vec<Field>>), SqlError> {
    let mut params = BTreeMap::new();
    let names = |columns: Vec<(Expr, Field)>| columns.into_iter().map(|(_, field)| field).collect();
    let fields = match statement {
        Statement::Query(query) => {
            let SetExpr::Select(select) = &*query.body else {
                return Err(unsupported(&query.body));
            };
            let source = resolve(state, transaction, &select.from)?;
            if let Source::Function(def, args) = &source {
                note_args(&def.name, args, &mut params);
            }
            for item in &select.projection {
                if let SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } = item
                {
                    note_params(expr, source.def(), None, &mut params);
                }
            }
            note_all(select.selection.as_ref(), source.def(), &mut params);
            if let Some(LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause {
                for expr in limit.iter().chain(offset.as_ref().map(|offset| &offset.value)) {
                    note_params(expr, None, Some(ColumnType::Int8), &mut params);
                }
            }
            Some(names(projection(&select.projection, source.def())?))
        }
        Statement::Insert(insert) => {
            let def = find_table(state, transaction, &insert_target(insert)?)?;
            let columns = insert_columns(insert, &def)?;
            for row in insert_rows(insert)? {
                for (expr, at) in row.iter().zip(&columns) {
                    note_params(expr, None, Some(def.columns[*at].kind), &mut params);
                }
            }
            let returning = insert.returning.as_ref();
            returning.map(|items| projection(items, Some(&def))).transpose()?.map(names)
        }
        Statement::Update(update) => {
            let def = target_table(state, transaction, std::slice::from_ref(&update.table))?;
            for assignment in &update.assignments {
                let at = assignment_column(&assignment.target, &def)?;
                let kind = Some(def.columns[at].kind);
                note_params(&assignment.value, Some(&def), kind, &mut params);
            }
            note_all(update.selection.as_ref(), Some(&def), &mut params);
            let returning = update.returning.as_ref();
            returning.map(|items| projection(items, Some(&def))).transpose()?.map(names)
        }
        Statement::Delete(delete) => {
            let def = target_table(state, transaction, delete_from(delete))?;
            note_all(delete.selection.as_ref(), Some(&def), &mut params);
            let returning = delete.returning.as_ref();
            returning.map(|items| projection(items, Some(&def))).transpose()?.map(names)
        }
        Statement::ShowVariable { variable } => {
            let name = variable.iter().map(ident_name).collect::<Vec<_>>().join(".");
            Some(vec![Field { name, kind: ColumnType::Text }])
        }
        _ => None,
    };
    let count = params.keys().next_back().copied().unwrap_or_default();
    let params = (1..=count).map(|at| params.get(&at).copied().unwrap_or(ColumnType::Text));
    Ok((params.collect(), fields))
}

fn note_all(expr: Option<&Expr>, def: Option<&TableDef>, params: &mut BTreeMap<usize, ColumnType>) {
    if let Some(expr) = expr {
        note_params(expr, def, None, params);
    }
}

fn note_args(name: &str, args: &[&Expr], params: &mut BTreeMap<usize, ColumnType>) {
    for (at, arg) in args.iter().enumerate() {
        let kind = match (name, at) {
            ("cicadawick_fence" | "cicadawick_promote" | "cicadawick_follow", 0) => {
                ColumnType::Int8
            }
            ("generate_series", _) | ("repeat", 1) => ColumnType::Int4,
            ("pg_sleep", _) => ColumnType::Float,
            _ => ColumnType::Text,
        };
        note_params(arg, None, Some(kind), params);
    }
}

/// Notes the types of parameters in an expression that should have the type `expected`.
fn note_params(
    expr: &Expr,
    def: Option<&TableDef>,
    expected: Option<ColumnType>,
    params: &mut BTreeMap<usize, ColumnType>,
) {
    match expr {
        Expr::Value(literal) => {
            if let Literal::Placeholder(name) = &literal.value
                && let Ok(at) = name.trim_start_matches('$').parse::<usize>()
            {
                params.entry(at).or_insert(expected.unwrap_or(ColumnType::Text));
            }
        }
        Expr::Nested(inner) | Expr::UnaryOp { expr: inner, .. } => {
            note_params(inner, def, expected, params);
        }
        Expr::Cast { expr, data_type, .. } => {
            let kind = ColumnType::from_sql(&data_type.to_string());
            note_params(expr, def, Some(kind), params);
        }
        Expr::BinaryOp { left, op, right } => {
            let logical = matches!(op, BinaryOperator::And | BinaryOperator::Or);
            let is_param = |expr: &Expr| {
                matches!(expr, Expr::Value(literal)
                    if matches!(literal.value, Literal::Placeholder(_)))
            };
            let side = |other: &Expr| {
                if logical {
                    None
                } else if is_param(other) {
                    expected
                } else {
                    Some(infer(other, def))
                }
            };
            note_params(left, def, side(right), params);
            note_params(right, def, side(left), params);
        }
        Expr::IsNull(inner) | Expr::IsNotNull(inner) => note_params(inner, def, None, params),
        Expr::In { expr, target: InTarget::List(list), .. } => {
            let kind = infer(expr, def);
            note_params(expr, def, None, params);
            list.iter().for_each(|item| note_params(item, def, Some(kind), params));
        }
        Expr::Between { expr, low, high, .. } => {
            let kind = infer(expr, def);
            note_params(low, def, Some(kind), params);
            note_params(high, def, Some(kind), params);
        }
        Expr::Function(function) => {
            note_args(&last_name(&function.name), &function_args(function), params);
        }
        _ => {}
    }
}
