//! Evaluates scalar expressions and scalar functions.

use sqlparser::ast::{
    BinaryOperator, Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, InTarget,
    UnaryOperator, Value as Literal,
};

use super::{ident_name, last_name, unsupported};
use crate::fakedb::SqlError;
use crate::fakedb::store::TableDef;
use crate::fakedb::value::{ColumnType, Value};

/// Row and parameters that an expression can refer to.
#[derive(Clone, Copy)]
pub(super) struct EvalScope<'a> {
    pub(super) def: Option<&'a TableDef>,
    pub(super) row: &'a [Value],
    pub(super) params: &'a [Value],
}

pub(super) fn truth(value: &Value) -> Option<bool> {
    match value {
        Value::Bool(value) => Some(*value),
        _ => None,
    }
}

fn from_truth(value: Option<bool>) -> Value {
    value.map_or(Value::Null, Value::Bool)
}

pub(super) fn eval(expr: &Expr, scope: EvalScope<'_>) -> Result<Value, SqlError> {
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

/// Parses an interval, which is represented by its number of seconds.
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

fn column_value(name: &str, scope: EvalScope<'_>) -> Result<Value, SqlError> {
    match scope.def {
        Some(def) => Ok(scope.row[def.column(name)?].clone()),
        None => Err(SqlError::new("42703", format!("column \"{name}\" does not exist"))),
    }
}

/// Compares two values. A text is converted to the type of the other value, as a literal would be.
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

pub(super) fn eval_arithmetic(
    left: &Value,
    op: &BinaryOperator,
    right: &Value,
) -> Result<Value, SqlError> {
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

pub(super) fn argument_exprs<'a>(args: impl IntoIterator<Item = &'a FunctionArg>) -> Vec<&'a Expr> {
    args.into_iter()
        .filter_map(|arg| match arg {
            FunctionArg::Unnamed(FunctionArgExpr::Expr(expr)) => Some(expr),
            _ => None,
        })
        .collect()
}

pub(super) fn function_args(function: &Function) -> Vec<&Expr> {
    match &function.args {
        FunctionArguments::List(list) => argument_exprs(&list.args),
        _ => Vec::new(),
    }
}

fn eval_function(function: &Function, scope: EvalScope<'_>) -> Result<Value, SqlError> {
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
