//! Infers parameter types and result fields, for the extended protocol.

use std::collections::BTreeMap;

use sqlparser::ast::{
    BinaryOperator, Expr, InTarget, LimitClause, SelectItem, SetExpr, Statement, UnaryOperator,
    Value as Literal,
};

use super::change::{
    assignment_column, delete_from, insert_columns, insert_rows, insert_target, target_table,
};
use super::expr::function_args;
use super::select::{QuerySource, resolve};
use super::{ResultField, find_table, ident_name, last_name, unsupported};
use crate::fakedb::SqlError;
use crate::fakedb::store::{DatabaseState, TableDef, Transaction};
use crate::fakedb::value::ColumnType;

/// Infers the type of an expression; a parameter on its own is text.
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

/// Returns the expressions of a select list and their result fields.
pub(super) fn projection(
    items: &[SelectItem],
    def: Option<&TableDef>,
) -> Result<Vec<(Expr, ResultField)>, SqlError> {
    let mut columns = Vec::new();
    for item in items {
        match item {
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                for column in def.into_iter().flat_map(|def| &def.columns) {
                    let expr =
                        Expr::Identifier(sqlparser::ast::Ident::with_quote('"', &column.name));
                    columns
                        .push((expr, ResultField { name: column.name.clone(), kind: column.kind }));
                }
            }
            SelectItem::UnnamedExpr(expr) => {
                let field = ResultField { name: field_name(expr), kind: infer(expr, def) };
                columns.push((expr.clone(), field));
            }
            SelectItem::ExprWithAlias { expr, alias } => {
                let field = ResultField { name: ident_name(alias), kind: infer(expr, def) };
                columns.push((expr.clone(), field));
            }
            SelectItem::ExprWithAliases { .. } => return Err(unsupported(item)),
        }
    }
    Ok(columns)
}

/// Infers parameter types and result fields of a statement.
pub(crate) fn describe(
    state: &DatabaseState,
    transaction: &Transaction,
    statement: &Statement,
) -> Result<(Vec<ColumnType>, Option<Vec<ResultField>>), SqlError> {
    let mut params = BTreeMap::new();
    let fields_of =
        |columns: Vec<(Expr, ResultField)>| columns.into_iter().map(|(_, field)| field).collect();
    let fields = match statement {
        Statement::Query(query) => {
            let SetExpr::Select(select) = &*query.body else {
                return Err(unsupported(&query.body));
            };
            let source = resolve(state, transaction, &select.from)?;
            if let QuerySource::Function(def, args) = &source {
                infer_argument_params(&def.name, args, &mut params);
            }
            for item in &select.projection {
                if let SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } = item
                {
                    infer_param_types(expr, source.def(), None, &mut params);
                }
            }
            infer_condition_params(select.selection.as_ref(), source.def(), &mut params);
            if let Some(LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause {
                for expr in limit.iter().chain(offset.as_ref().map(|offset| &offset.value)) {
                    infer_param_types(expr, None, Some(ColumnType::Int8), &mut params);
                }
            }
            Some(fields_of(projection(&select.projection, source.def())?))
        }
        Statement::Insert(insert) => {
            let def = find_table(state, transaction, &insert_target(insert)?)?;
            let columns = insert_columns(insert, &def)?;
            for row in insert_rows(insert)? {
                for (expr, at) in row.iter().zip(&columns) {
                    infer_param_types(expr, None, Some(def.columns[*at].kind), &mut params);
                }
            }
            let returning = insert.returning.as_ref();
            returning.map(|items| projection(items, Some(&def))).transpose()?.map(fields_of)
        }
        Statement::Update(update) => {
            let def = target_table(state, transaction, std::slice::from_ref(&update.table))?;
            for assignment in &update.assignments {
                let at = assignment_column(&assignment.target, &def)?;
                let kind = Some(def.columns[at].kind);
                infer_param_types(&assignment.value, Some(&def), kind, &mut params);
            }
            infer_condition_params(update.selection.as_ref(), Some(&def), &mut params);
            let returning = update.returning.as_ref();
            returning.map(|items| projection(items, Some(&def))).transpose()?.map(fields_of)
        }
        Statement::Delete(delete) => {
            let def = target_table(state, transaction, delete_from(delete))?;
            infer_condition_params(delete.selection.as_ref(), Some(&def), &mut params);
            let returning = delete.returning.as_ref();
            returning.map(|items| projection(items, Some(&def))).transpose()?.map(fields_of)
        }
        Statement::ShowVariable { variable } => {
            let name = variable.iter().map(ident_name).collect::<Vec<_>>().join(".");
            Some(vec![ResultField { name, kind: ColumnType::Text }])
        }
        _ => None,
    };
    let count = params.keys().next_back().copied().unwrap_or_default();
    let params = (1..=count).map(|at| params.get(&at).copied().unwrap_or(ColumnType::Text));
    Ok((params.collect(), fields))
}

fn infer_condition_params(
    expr: Option<&Expr>,
    def: Option<&TableDef>,
    params: &mut BTreeMap<usize, ColumnType>,
) {
    if let Some(expr) = expr {
        infer_param_types(expr, def, None, params);
    }
}

fn infer_argument_params(name: &str, args: &[&Expr], params: &mut BTreeMap<usize, ColumnType>) {
    for (at, arg) in args.iter().enumerate() {
        let kind = match (name, at) {
            ("cicadawick_fence" | "cicadawick_promote" | "cicadawick_follow", 0) => {
                ColumnType::Int8
            }
            ("generate_series", _) | ("repeat", 1) => ColumnType::Int4,
            ("pg_sleep", _) => ColumnType::Float,
            _ => ColumnType::Text,
        };
        infer_param_types(arg, None, Some(kind), params);
    }
}

/// Records the types of the parameters in an expression that should have the type `expected`.
fn infer_param_types(
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
            infer_param_types(inner, def, expected, params);
        }
        Expr::Cast { expr, data_type, .. } => {
            let kind = ColumnType::from_sql(&data_type.to_string());
            infer_param_types(expr, def, Some(kind), params);
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
            infer_param_types(left, def, side(right), params);
            infer_param_types(right, def, side(left), params);
        }
        Expr::IsNull(inner) | Expr::IsNotNull(inner) => infer_param_types(inner, def, None, params),
        Expr::In { expr, target: InTarget::List(list), .. } => {
            let kind = infer(expr, def);
            infer_param_types(expr, def, None, params);
            list.iter().for_each(|item| infer_param_types(item, def, Some(kind), params));
        }
        Expr::Between { expr, low, high, .. } => {
            let kind = infer(expr, def);
            infer_param_types(low, def, Some(kind), params);
            infer_param_types(high, def, Some(kind), params);
        }
        Expr::Function(function) => {
            infer_argument_params(&last_name(&function.name), &function_args(function), params);
        }
        _ => {}
    }
}
