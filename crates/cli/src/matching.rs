//! The `match` command: what a selector matches.

use model::{CallerLabels, FleetConfig, LabelSelector, LabelSet, MatchOperator};
use platform::PlatformClient;
use serde_json::{Value, json};

use crate::error::{CommandError, ErrorKind};
use crate::node::note_failures;
use crate::remote::{NodeAnswer, NodeQuery};
use crate::{CommandOutput, change, text};

/// Maximum number of combinations of attribute values tried for one entry of `callers`.
const COMBINATION_LIMIT: usize = 1_024;

/// `match`: shows the callers, databases and sessions that a selector matches.
pub(crate) fn show_matches(
    selector: &str,
    platform: &PlatformClient,
    query: Option<&NodeQuery>,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let selector: LabelSelector = selector.parse().map_err(|error: model::LabelError| {
        CommandError::new(ErrorKind::Invalid, error.to_string())
    })?;
    let stored = change::read_current(platform)?.envelope;
    let fleet =
        config::parse_fleet("configuration", &stored.text, stored.revision).map_err(|errors| {
            let first = errors.first().map(ToString::to_string).unwrap_or_default();
            let message = format!("revision {} is not valid here: {first}", stored.revision);
            CommandError::new(ErrorKind::Failed, message)
        })?;
    let callers: Vec<&CallerLabels> = fleet
        .callers
        .iter()
        .filter(|entry| possible_label_sets(entry).iter().any(|labels| selector.matches(labels)))
        .collect();
    let databases = matching_databases(&fleet, &selector);
    let answers = query.map(|query| query.get("/v1/dump", &[])).transpose()?;
    let (sessions, unlabelled, unlisted) =
        matching_sessions(answers.as_deref().unwrap_or(&[]), &selector);
    if json {
        let callers = callers
            .iter()
            .map(|entry| json!({ "matches": entry.matches.as_str(), "labels": entry.labels }));
        output.json(&json!({
            "revision": stored.revision,
            "callers": callers.collect::<Vec<_>>(),
            "databases": databases.iter().map(|row| json!({
                "database": row[0], "cluster": row[1], "data_centre": row[2], "labels": row[3],
            })).collect::<Vec<_>>(),
            "sessions": answers.is_some().then(|| sessions.iter().map(|row| json!({
                "node": row[0], "session": row[1], "labels": row[2],
            })).collect::<Vec<_>>()),
        }));
    } else {
        let rows: Vec<Vec<String>> = callers
            .iter()
            .map(|entry| vec![entry.matches.to_string(), labels_text(&entry.labels)])
            .collect();
        output.line(format!("callers of revision {}: {}", stored.revision, rows.len()));
        push_table(output, &["MATCHES", "LABELS"], &rows);
        output.line(format!("databases: {}", databases.len()));
        push_table(output, &["DATABASE", "CLUSTER", "DATA CENTRE", "LABELS"], &databases);
        if answers.is_some() {
            output.line(format!("sessions: {}", sessions.len()));
            push_table(output, &["NODE", "SESSION", "LABELS"], &sessions);
        }
    }
    if unlabelled > 0 {
        output.note(format!("sessions without labels in the dumps, not matched: {unlabelled}"));
    }
    if unlisted > 0 {
        output.note(format!("sessions that the dumps do not list, not matched: {unlisted}"));
    }
    note_failures(answers.as_deref().unwrap_or(&[]), output)
}

fn push_table(output: &mut CommandOutput, header: &[&str], rows: &[Vec<String>]) {
    if !rows.is_empty() {
        for line in text::table(header, rows).lines() {
            output.line(format!("  {line}"));
        }
    }
}

/// Returns the label sets that callers of an entry can have: the labels that the entry adds, combined
/// with the attribute values that it requires.
fn possible_label_sets(entry: &CallerLabels) -> Vec<LabelSet> {
    let mut sets = vec![entry.labels.clone()];
    for rule in &entry.matches.rules {
        let MatchOperator::In(values) = &rule.operator else { continue };
        let extended = sets.iter().flat_map(|set| {
            values.iter().map(|value| {
                let mut set = set.clone();
                set.0.insert(rule.key.clone(), value.clone());
                set
            })
        });
        sets = extended.take(COMBINATION_LIMIT).collect();
    }
    sets
}

fn matching_databases(fleet: &FleetConfig, selector: &LabelSelector) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for cluster in &fleet.clusters {
        for database in cluster.databases.iter().filter(|one| selector.matches(&one.labels)) {
            rows.push(vec![
                database.name.to_string(),
                cluster.name.to_string(),
                database.data_centre.to_string(),
                labels_text(&database.labels),
            ]);
        }
    }
    rows
}

/// Returns the matching sessions of all dumps, the number of sessions without labels, and the number of
/// sessions that the dumps do not list.
fn matching_sessions(
    answers: &[NodeAnswer],
    selector: &LabelSelector,
) -> (Vec<Vec<String>>, usize, usize) {
    let mut rows = Vec::new();
    let (mut unlabelled, mut unlisted) = (0, 0);
    for answer in answers {
        let Ok(dump) = &answer.result else { continue };
        // The node's session lists include labels. A dump without these lists has only the shell's list.
        let paths: &[&str] = match dump.get("sessions") {
            Some(_) => &["/sessions/in_progress", "/sessions/idle"],
            None => &["/shell/sessions"],
        };
        let lists = paths.iter().filter_map(|path| dump.pointer(path)?.as_array());
        let sessions: Vec<&Value> = lists.flatten().collect();
        let open_count = dump.pointer("/sessions/open").and_then(Value::as_u64).unwrap_or(0);
        unlisted += (open_count as usize).saturating_sub(sessions.len());
        for session in sessions {
            let labels = session.get("labels").cloned().unwrap_or_default();
            let Ok(labels) = serde_json::from_value::<LabelSet>(labels) else {
                unlabelled += 1;
                continue;
            };
            if selector.matches(&labels) {
                let id = session.get("id").or_else(|| session.get("session"));
                let id = id.map_or("-".to_string(), text::cell);
                rows.push(vec![answer.name.clone(), id, labels_text(&labels)]);
            }
        }
    }
    (rows, unlabelled, unlisted)
}

fn labels_text(labels: &LabelSet) -> String {
    let pairs: Vec<String> = labels.0.iter().map(|(key, value)| format!("{key}={value}")).collect();
    pairs.join(", ")
}
