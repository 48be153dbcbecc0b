//! Table functions: `generate_series`, and the administration of a database's term and role.

use super::{ResultField, unsupported};
use crate::fakedb::SqlError;
use crate::fakedb::store::{ColumnDef, DatabaseState, TableDef};
use crate::fakedb::value::{ColumnType, Value};

/// Returns the fields of a table function; `None` if there is no function of that name.
fn function_fields(name: &str) -> Option<Vec<ResultField>> {
    let text = |name: &str| ResultField { name: name.to_string(), kind: ColumnType::Text };
    let report = ["term", "role", "log_term", "received", "applied", "term_start", "previous_term"];
    Some(match name {
        "cicadawick_report" => report.into_iter().map(text).collect(),
        "cicadawick_fence" => std::iter::once("accepted").chain(report).map(text).collect(),
        "cicadawick_promote" | "cicadawick_follow" => vec![text(name)],
        "generate_series" => vec![ResultField { name: name.to_string(), kind: ColumnType::Int4 }],
        _ => return None,
    })
}

pub(super) fn function_def(name: &str, alias: Option<&str>) -> Option<TableDef> {
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

/// Runs an administration function; returns its rows and whether the database now follows a leader.
pub(super) fn call_function(
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

pub(super) fn series(args: &[Value]) -> Result<std::ops::RangeInclusive<i64>, SqlError> {
    match args {
        [first, last] => Ok(first.as_int().unwrap_or(1)..=last.as_int().unwrap_or(0)),
        _ => Err(unsupported("generate_series with other than two arguments")),
    }
}

/// Tells whether a statement names an administration function. Such a statement takes no slot, because
/// a report must not wait behind the load that it reports on.
pub(crate) fn is_administration(sql: &str) -> bool {
    ["cicadawick_report", "cicadawick_fence", "cicadawick_promote", "cicadawick_follow"]
        .iter()
        .any(|name| sql.contains(name))
}
