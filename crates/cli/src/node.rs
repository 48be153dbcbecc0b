//! Commands that query or stop nodes.

use std::net::SocketAddr;

use platform::PlatformClient;
use serde_json::{Map, Value, json};
use stats::{CallerRow, CallerTable};

use crate::error::{CommandError, ErrorKind};
use crate::flags::Explain;
use crate::remote::{NodeAnswer, NodeQuery, call_node};
use crate::{CommandOutput, change, text};

/// Number of callers that `top` shows without `--rows`.
const DEFAULT_ROWS: usize = 20;

/// Number of rows requested from each node per row shown for the whole fleet. A caller may rank low on
/// each node and still have one of the highest sums.
const ROW_OVERSAMPLING: usize = 4;

/// Maximum number of rows that can be requested from a node.
const MAX_ROWS: usize = 2_048;

/// Writes a note for each member that failed to answer, dead ones excepted. Returns an error if there is
/// any.
pub(crate) fn note_failures(
    answers: &[NodeAnswer],
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let mut failed = 0;
    for answer in answers.iter().filter(|answer| answer.state.as_deref() != Some("dead")) {
        if let Err(error) = &answer.result {
            output.note(format!("{}: {error}", answer.name));
            failed += 1;
        }
    }
    if failed == 0 {
        return Ok(());
    }
    let message = format!("no result from {failed} of {} members", answers.len());
    Err(CommandError::new(ErrorKind::Unreachable, message))
}

/// `rollout status`: shows the revisions in force on nodes, and the slowest node.
pub(crate) fn rollout(
    query: &NodeQuery,
    platform: Option<&PlatformClient>,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let answers = query.get("/v1/rollout", &[])?;
    let revision_of = |answer: &NodeAnswer| -> Option<u64> {
        answer.result.as_ref().ok()?.get("revision")?.as_u64()
    };
    // The status of the nodes is available even if the platform is unreachable.
    let stored = platform.map(change::read_stored).transpose().unwrap_or_else(|error| {
        output.note(format!("the platform's revision is unknown: {error}"));
        None
    });
    let stored = stored.and_then(|(stored, _)| Some(stored?.envelope.revision));
    let highest = answers.iter().filter_map(revision_of).chain(stored).max().unwrap_or(0);
    let slowest = answers
        .iter()
        .filter_map(|answer| Some((revision_of(answer)?, answer.name.as_str())))
        .min();
    if json {
        let nodes = answers.iter().map(|answer| {
            json!({
                "node": answer.name,
                "state": answer.state,
                "revision": revision_of(answer),
                "rejected": answer.result.as_ref().ok().and_then(|value| value.get("rejected")),
                "error": answer.result.as_ref().err().map(ToString::to_string),
            })
        });
        output.json(&json!({
            "platform_revision": stored,
            "highest_revision": highest,
            "slowest": slowest.map(|(revision, node)| json!({ "node": node, "revision": revision })),
            "nodes": nodes.collect::<Vec<_>>(),
        }));
        return note_failures(&answers, output);
    }
    let number = |value: Option<u64>| value.map_or("-".to_string(), |number| number.to_string());
    let rows: Vec<Vec<String>> = answers
        .iter()
        .map(|answer| {
            let revision = revision_of(answer);
            let rejected = answer.result.as_ref().ok().and_then(|value| value.get("rejected"));
            vec![
                answer.name.clone(),
                answer.state.clone().unwrap_or_else(|| "-".to_string()),
                number(revision),
                number(revision.map(|revision| highest - revision)),
                rejected.map_or("-".to_string(), text::cell),
            ]
        })
        .collect();
    let header = ["NODE", "STATE", "REVISION", "BEHIND", "REJECTED"];
    output.text.push_str(&text::table(&header, &rows));
    if let Some(stored) = stored {
        output.line(format!("platform: revision {stored}"));
    }
    match slowest {
        Some((revision, _)) if revision == highest => {
            output.line(format!("all nodes that answered have revision {highest}"));
        }
        Some((revision, node)) => output.line(format!(
            "slowest: {node} has revision {revision}, {} behind revision {highest}",
            highest - revision
        )),
        None => output.line("no node answered"),
    }
    note_failures(&answers, output)
}

/// Counts that nodes keep for callers, in the order in which `top --measure all` shows them.
const MEASURES: [&str; 6] =
    ["requests", "slot_time", "refused", "replica_declined", "repeated_keys", "outcome_unknown"];

/// `top`: shows the callers with the highest counts, for one measure or for each.
pub(crate) fn top(
    query: &NodeQuery,
    measure: Option<&str>,
    rows: Option<usize>,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let measure = measure.unwrap_or("requests");
    let shown = rows.unwrap_or(DEFAULT_ROWS);
    if shown == 0 || shown > MAX_ROWS {
        let message = format!("--rows: expected a number from 1 to {MAX_ROWS}, found {shown}");
        return Err(CommandError::new(ErrorKind::Usage, message));
    }
    if measure != "all" {
        let (answers, rows) = top_rows(query, measure, shown)?;
        match json {
            true => output.json(&json!({ "measure": measure, "rows": rows })),
            false => output.text.push_str(&top_table(measure, &rows)),
        }
        return note_failures(&answers, output);
    }
    let mut tables = Vec::new();
    let mut least_complete: Vec<NodeAnswer> = Vec::new();
    let failures =
        |answers: &[NodeAnswer]| answers.iter().filter(|answer| answer.result.is_err()).count();
    for measure in MEASURES {
        let (answers, rows) = top_rows(query, measure, shown)?;
        if least_complete.is_empty() || failures(&answers) > failures(&least_complete) {
            least_complete = answers;
        }
        if json {
            tables.push(json!({ "measure": measure, "rows": rows }));
            continue;
        }
        if !output.text.is_empty() {
            output.line("");
        }
        match rows.is_empty() {
            true => output.line(format!("{}: none", measure.to_uppercase())),
            false => output.text.push_str(&top_table(measure, &rows)),
        }
    }
    if json {
        output.json(&Value::Array(tables));
    }
    note_failures(&least_complete, output)
}

/// Requests one measure and merges the rows of all nodes.
fn top_rows(
    query: &NodeQuery,
    measure: &str,
    shown: usize,
) -> Result<(Vec<NodeAnswer>, Vec<CallerRow>), CommandError> {
    let requested = if query.all { (shown * ROW_OVERSAMPLING).min(MAX_ROWS) } else { shown };
    let parameters = [("measure", measure.to_string()), ("rows", requested.to_string())];
    let answers = query.get("/v1/top", &parameters)?;
    // All members answer an unknown measure with the same error.
    let usage_error = answers.iter().find_map(|answer| {
        answer.result.as_ref().err().filter(|error| error.kind == ErrorKind::Usage)
    });
    if let Some(error) = usage_error {
        return Err(error.clone());
    }
    let mut parts = Vec::new();
    for answer in &answers {
        let Ok(value) = &answer.result else { continue };
        let rows = value.get("rows").cloned().unwrap_or_default();
        let rows: Vec<CallerRow> = serde_json::from_value(rows).map_err(|error| {
            let message = format!("failed to read the rows of {}: {error}", answer.name);
            CommandError::new(ErrorKind::Failed, message)
        })?;
        parts.push(rows);
    }
    let rows = match query.all {
        true => CallerTable::merge(parts, shown),
        false => parts.into_iter().flatten().collect(),
    };
    Ok((answers, rows))
}

fn top_table(measure: &str, rows: &[CallerRow]) -> String {
    let rows: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            let at_least = row.count.saturating_sub(row.error);
            vec![
                row.caller.to_string(),
                row.rank.to_string(),
                row.count.to_string(),
                at_least.to_string(),
            ]
        })
        .collect();
    text::table(&["CALLER", "RANK", &measure.to_uppercase(), "AT LEAST"], &rows)
}

/// `explain`: shows how a node would serve a caller.
pub(crate) fn explain(
    flags: &Explain,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let mut parameters = vec![("cluster", flags.cluster.clone())];
    let others = [
        ("user", &flags.user),
        ("application", &flags.application),
        ("address", &flags.address),
        ("labels", &flags.labels),
    ];
    for (key, value) in others {
        parameters.extend(value.clone().map(|value| (key, value)));
    }
    let answer = call_node(flags.node, "GET", "/v1/explain", &parameters)?;
    if json {
        output.json(&answer);
        return Ok(());
    }
    let Value::Object(pairs) = &answer else {
        output.json(&answer);
        return Ok(());
    };
    let order = [
        "node",
        "revision",
        "labels",
        "selector",
        "rank",
        "max_age_ms",
        "deadline_ms",
        "durable",
        "servers",
        "read",
        "write",
    ];
    let mut rows = Vec::new();
    for key in order {
        if let Some(value) = pairs.get(key) {
            rows.push(vec![key.to_string(), text::cell(value)]);
        }
    }
    output.text.push_str(&text::table(&["PROPERTY", "VALUE"], &rows));
    if let Some(Value::Object(databases)) = pairs.get("databases") {
        output.line("");
        output.text.push_str(&property_table("DATABASE", databases));
    }
    Ok(())
}

/// Formats objects as rows, with a column for each key.
fn property_table(first: &str, objects: &Map<String, Value>) -> String {
    let mut keys: Vec<&String> = Vec::new();
    for object in objects.values().filter_map(Value::as_object) {
        for key in object.keys() {
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
    }
    let titles: Vec<String> = keys.iter().map(|key| key.replace('_', " ").to_uppercase()).collect();
    let header: Vec<&str> =
        std::iter::once(first).chain(titles.iter().map(String::as_str)).collect();
    let rows: Vec<Vec<String>> = objects
        .iter()
        .map(|(name, object)| {
            let cells = keys.iter().map(|key| text::cell(object.get(*key).unwrap_or(&Value::Null)));
            std::iter::once(name.clone()).chain(cells).collect()
        })
        .collect();
    text::table(&header, &rows)
}

/// `dump`: prints the state of nodes as JSON.
pub(crate) fn dump(query: &NodeQuery, output: &mut CommandOutput) -> Result<(), CommandError> {
    let answers = query.get("/v1/dump", &[])?;
    if query.all {
        let dumps: Map<String, Value> = answers
            .iter()
            .filter_map(|answer| Some((answer.name.clone(), answer.result.as_ref().ok()?.clone())))
            .collect();
        output.json(&Value::Object(dumps));
    } else if let Some(Ok(value)) = answers.first().map(|answer| &answer.result) {
        output.json(value);
    }
    note_failures(&answers, output)
}

/// `drain`: starts the graceful shutdown of a node.
pub(crate) fn drain(
    node: SocketAddr,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let answer = call_node(node, "POST", "/v1/drain", &[])?;
    match json {
        true => output.json(&answer),
        false => output.line(format!("the node at {node} is shutting down gracefully")),
    }
    Ok(())
}
