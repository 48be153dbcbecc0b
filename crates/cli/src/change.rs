//! Commands that check, read and change the configuration.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config::{ChangeEnvelope, ConfigError, ExampleFile, diff_lines, render_example};
use model::{ClusterConfig, DatabaseConfig, FleetConfig, Name};
use platform::{PlatformClient, PlatformError};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::error::{CommandError, ErrorKind};
use crate::flags::{Apply, Check, Diff, Get};
use crate::{CommandOutput, text};

/// Key of the configuration on the platform.
pub(crate) const CONFIG_KEY: &str = "cicadawick/config";

/// Maximum size of a value that the platform stores.
const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Maximum number of earlier revisions in the stored history.
const HISTORY_LIMIT: usize = 20;

/// Maximum number of attempts to write a value. Each is followed by a read, which shows whether a write
/// without an answer took effect.
pub(crate) const RESOLVE_ATTEMPTS: u32 = 5;
pub(crate) const RESOLVE_INTERVAL: Duration = Duration::from_millis(500);

/// History entry of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ChangeSummary {
    pub(crate) revision: u64,
    pub(crate) change_id: String,
    pub(crate) author: String,
    pub(crate) written_at: u64,
}

/// The stored value: the envelope and the history of earlier changes, newest first. Nodes read only the
/// envelope. Both are in one value, so that the history cannot miss a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredChange {
    #[serde(flatten)]
    pub(crate) envelope: ChangeEnvelope,
    #[serde(default)]
    pub(crate) history: Vec<ChangeSummary>,
}

impl StoredChange {
    fn summary(&self) -> ChangeSummary {
        ChangeSummary {
            revision: self.envelope.revision,
            change_id: self.envelope.change_id.clone(),
            author: self.envelope.author.clone(),
            written_at: self.envelope.written_at,
        }
    }

    fn summaries(&self) -> Vec<ChangeSummary> {
        std::iter::once(self.summary()).chain(self.history.iter().cloned()).collect()
    }
}

/// Reads the configuration in force and its modify index; `None` and 0 before the first change.
pub(crate) fn read_stored(
    platform: &PlatformClient,
) -> Result<(Option<StoredChange>, u64), CommandError> {
    let Some(value) = platform.get(CONFIG_KEY)? else { return Ok((None, 0)) };
    let stored = serde_json::from_slice(&value.bytes).map_err(|error| {
        let message = format!("failed to read the envelope at {CONFIG_KEY}: {error}");
        CommandError::new(ErrorKind::Failed, message)
    })?;
    Ok((Some(stored), value.modify_index))
}

/// Reads the configuration in force.
pub(crate) fn read_current(platform: &PlatformClient) -> Result<StoredChange, CommandError> {
    let missing = || CommandError::new(ErrorKind::Failed, "no configuration has been applied yet");
    read_stored(platform)?.0.ok_or_else(missing)
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        let message = format!("failed to read {}: {error}", path.display());
        CommandError::new(ErrorKind::Invalid, message)
    })
}

fn report_errors(errors: &[ConfigError], json: bool, output: &mut CommandOutput) -> CommandError {
    if json {
        let rows = errors.iter().map(|error| {
            json!({
                "file": error.file,
                "line": error.line,
                "column": error.column,
                "key": error.key,
                "message": error.message,
            })
        });
        output.json(&json!({ "errors": rows.collect::<Vec<_>>() }));
    } else {
        for error in errors {
            output.note(error.to_string());
        }
    }
    let plural = if errors.len() == 1 { "" } else { "s" };
    CommandError::new(ErrorKind::Invalid, format!("{} error{plural} found", errors.len()))
}

/// `check`: validates a file or prints an example.
pub(crate) fn check(
    flags: &Check,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let usage = |message: &str| Err(CommandError::new(ErrorKind::Usage, message));
    let path = match (&flags.file, flags.example.as_deref()) {
        (None, Some("settings")) => {
            output.text.push_str(&render_example(ExampleFile::Settings));
            return Ok(());
        }
        (None, Some("fleet")) => {
            output.text.push_str(&render_example(ExampleFile::Fleet));
            return Ok(());
        }
        (None, Some(_)) => return usage("--example: expected settings or fleet"),
        (None, None) => return usage("check: expected a file or --example"),
        (Some(_), Some(_)) => return usage("check: expected a file or --example, not both"),
        (Some(path), None) => path,
    };
    let text = read_file(path)?;
    let file = path.display().to_string();
    let checked = match flags.settings {
        true => config::parse_settings(&file, &text)
            .map(|settings| format!("{file}: settings of node {} are valid", settings.name)),
        false => config::parse_fleet(&file, &text, 0).map(|fleet| {
            let databases: usize = fleet.clusters.iter().map(|one| one.databases.len()).sum();
            format!(
                "{file}: configuration is valid, clusters: {}, databases: {databases}, selectors: {}",
                fleet.clusters.len(),
                fleet.selectors.len()
            )
        }),
    };
    match checked {
        Ok(_) if json => output.json(&json!({ "errors": [] })),
        Ok(summary) => output.line(summary),
        Err(errors) => return Err(report_errors(&errors, json, output)),
    }
    Ok(())
}

/// `apply`: validates a file, shows the difference, and writes the next revision.
pub(crate) fn apply(
    flags: &Apply,
    author: &str,
    platform: &dyn Fn() -> Result<PlatformClient, CommandError>,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let text = read_file(&flags.file)?;
    let file = flags.file.display().to_string();
    let fleet = match config::parse_fleet(&file, &text, 0) {
        Ok(fleet) => fleet,
        Err(errors) => return Err(report_errors(&errors, json, output)),
    };
    let platform = platform()?;
    let (current, index) = read_stored(&platform)?;
    let (old_revision, old_text) = current
        .as_ref()
        .map_or((0, ""), |current| (current.envelope.revision, current.envelope.text.as_str()));
    if current.is_some() && old_text == text {
        let message = format!("no change: revision {old_revision} has the same text");
        return Err(CommandError::new(ErrorKind::Failed, message));
    }
    if let Ok(old_fleet) = config::parse_fleet("revision", old_text, old_revision) {
        check_database_lists(&old_fleet, &fleet)?;
    }
    let difference = diff_lines(&format!("revision {old_revision}"), old_text, &file, &text);
    let mut history = current.as_ref().map(StoredChange::summaries).unwrap_or_default();
    history.truncate(HISTORY_LIMIT);
    let envelope = ChangeEnvelope {
        revision: old_revision + 1,
        change_id: random_hex::<16>()?,
        author: author.to_string(),
        written_at: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs()),
        text,
    };
    let change = StoredChange { envelope, history };
    let bytes = serde_json::to_vec(&change).map_err(|error| {
        CommandError::new(ErrorKind::Failed, format!("failed to write the envelope: {error}"))
    })?;
    if bytes.len() > VALUE_LIMIT_BYTES {
        let message = format!(
            "{file}: expected at most {VALUE_LIMIT_BYTES} bytes with its envelope, found {}",
            bytes.len()
        );
        return Err(CommandError::new(ErrorKind::Invalid, message));
    }
    if !json {
        output.text.push_str(&difference);
    }
    let revision = change.envelope.revision;
    if !flags.dry_run {
        write_change(&platform, &change, &bytes, index, output)?;
    }
    if json {
        output.json(&json!({
            "applied": !flags.dry_run,
            "revision": revision,
            "change_id": change.envelope.change_id,
            "author": author,
            "diff": difference,
        }));
    } else if flags.dry_run {
        output.line(format!("dry run: this would be revision {revision}"));
    } else {
        output.line(format!("applied revision {revision}"));
    }
    Ok(())
}

/// Refuses a change that adds or removes more than one database of a cluster. Nodes use both lists until
/// the change has reached all of them, and any majority of one must share a database with any majority of
/// the other: two primaries could acknowledge writes otherwise.
fn check_database_lists(old_fleet: &FleetConfig, fleet: &FleetConfig) -> Result<(), CommandError> {
    for cluster in &fleet.clusters {
        let same_cluster = |other: &&ClusterConfig| other.name == cluster.name;
        let Some(old_cluster) = old_fleet.clusters.iter().find(same_cluster) else { continue };
        let missing_in = |list: &[DatabaseConfig], other: &[DatabaseConfig]| -> Vec<String> {
            let listed = |name: &Name| other.iter().any(|database| database.name == *name);
            let missing = list.iter().filter(|database| !listed(&database.name));
            missing.map(|database| database.name.to_string()).collect()
        };
        let added = missing_in(&cluster.databases, &old_cluster.databases);
        let removed = missing_in(&old_cluster.databases, &cluster.databases);
        if added.len() + removed.len() > 1 {
            let message = format!(
                "cluster {:?}: expected at most one database to be added or removed in a change, found \
                 added: [{}], removed: [{}]; apply one at a time, and wait until each node has the \
                 revision and the replicas have caught up",
                &*cluster.name,
                added.join(", "),
                removed.join(", ")
            );
            return Err(CommandError::new(ErrorKind::Invalid, message));
        }
    }
    Ok(())
}

/// Writes the change by compare-and-swap. After a lost answer, the stored change id shows whether the
/// write took effect. While the old value is still stored, the write is repeated; the modify index keeps
/// it from being applied twice.
fn write_change(
    platform: &PlatformClient,
    change: &StoredChange,
    bytes: &[u8],
    index: u64,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let own_id = &change.envelope.change_id;
    for attempt in 1..=RESOLVE_ATTEMPTS {
        let refused = match platform.put(CONFIG_KEY, bytes, index) {
            Ok(true) => return Ok(()),
            Ok(false) => true,
            Err(PlatformError::Unreachable { address, message }) => {
                output.note(format!("no answer from the platform at {address}: {message}"));
                false
            }
            Err(error) => return Err(error.into()),
        };
        match read_stored(platform) {
            Ok((Some(stored), _)) if stored.envelope.change_id == *own_id => return Ok(()),
            Ok((Some(stored), _))
                if stored.history.iter().any(|earlier| earlier.change_id == *own_id) =>
            {
                let revision = stored.envelope.revision;
                output.note(format!(
                    "this change was applied and then replaced by revision {revision}"
                ));
                return Ok(());
            }
            Ok((stored, found)) if found != index => return Err(conflict(stored.as_ref())),
            // The write may still be in transit.
            Ok(_) if !refused => {}
            // Refused, but read as unchanged: the value came from a platform server that lags.
            Ok(_) => {
                output.note("the platform refused the write but does not return a newer change yet")
            }
            Err(error) if error.kind == ErrorKind::Unreachable => {
                output.note(format!("failed to check whether the write took effect: {error}"));
            }
            Err(error) => return Err(error),
        }
        if attempt < RESOLVE_ATTEMPTS {
            std::thread::sleep(RESOLVE_INTERVAL);
        }
    }
    let message = format!(
        "outcome unknown: the platform did not answer; compare the change id {own_id} with `cicadawick \
         history` before applying again"
    );
    Err(CommandError::new(ErrorKind::Unreachable, message))
}

fn conflict(winner: Option<&StoredChange>) -> CommandError {
    let message = match winner {
        Some(winner) => format!(
            "conflict: {} applied revision {} first (change {}); nothing was changed",
            winner.envelope.author, winner.envelope.revision, winner.envelope.change_id
        ),
        None => "conflict: the configuration was removed in the meantime; nothing was changed"
            .to_string(),
    };
    CommandError::new(ErrorKind::Conflict, message)
}

/// `get`: prints the configuration in force.
pub(crate) fn get(
    flags: &Get,
    platform: &PlatformClient,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let stored = read_current(platform)?;
    let envelope = &stored.envelope;
    if json {
        let mut value = json!({
            "revision": envelope.revision,
            "change_id": envelope.change_id,
            "author": envelope.author,
            "written_at": envelope.written_at,
        });
        if !flags.revision {
            value["text"] = envelope.text.as_str().into();
        }
        output.json(&value);
    } else if flags.revision {
        output.line(envelope.revision.to_string());
    } else {
        output.text.push_str(&envelope.text);
    }
    Ok(())
}

/// `diff`: prints the difference from the configuration in force to a file.
pub(crate) fn diff(
    flags: &Diff,
    platform: &PlatformClient,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let text = read_file(&flags.file)?;
    let (current, _) = read_stored(platform)?;
    let (revision, old) = current
        .as_ref()
        .map_or((0, ""), |current| (current.envelope.revision, current.envelope.text.as_str()));
    let file = flags.file.display().to_string();
    let difference = diff_lines(&format!("revision {revision}"), old, &file, &text);
    if json {
        output.json(&json!({ "revision": revision, "diff": difference }));
    } else if difference.is_empty() {
        output.line(format!("no difference to revision {revision}"));
    } else {
        output.text.push_str(&difference);
    }
    Ok(())
}

/// `history`: lists the last revisions, the one in force first.
pub(crate) fn history(
    platform: &PlatformClient,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let changes = read_current(platform)?.summaries();
    if json {
        output.json(&json!(changes));
        return Ok(());
    }
    let rows: Vec<Vec<String>> = changes
        .into_iter()
        .map(|change| {
            let time = text::utc_time(change.written_at);
            vec![change.revision.to_string(), time, change.author, change.change_id]
        })
        .collect();
    output.text.push_str(&text::table(&["REVISION", "WRITTEN", "AUTHOR", "CHANGE"], &rows));
    Ok(())
}

/// Returns random bytes as hexadecimal digits.
pub(crate) fn random_hex<const BYTES: usize>() -> Result<String, CommandError> {
    let mut bytes = [0u8; BYTES];
    getrandom::fill(&mut bytes).map_err(|error| {
        CommandError::new(ErrorKind::Failed, format!("failed to generate random bytes: {error}"))
    })?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
