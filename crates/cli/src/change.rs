//! Commands that check, read and change the configuration.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config::{ChangeEnvelope, ExampleFile, SettingsError, diff_lines, render_example};
use platform::{PlatformClient, PlatformError};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::error::{CommandError, ErrorKind};
use crate::flags::{Apply, Check, Diff, Get};
use crate::{CommandOutput, text};

/// Key of the configuration at the platform.
pub(crate) const CONFIG_KEY: &str = "cicadawick/config";

/// Largest value that the platform stores.
const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Earlier revisions that the envelope lists.
const HISTORY_LIMIT: usize = 20;

/// Attempts to find out whether a write whose answer was lost took effect.
pub(crate) const RESOLVE_ATTEMPTS: u32 = 5;
pub(crate) const RESOLVE_PAUSE: Duration = Duration::from_millis(500);

/// What the history keeps of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ChangeHead {
    pub(crate) revision: u64,
    pub(crate) change_id: String,
    pub(crate) author: String,
    pub(crate) written_at: u64,
}

/// The stored value: the envelope and the heads of earlier ones, newest first. Nodes read only the
/// envelope. One value holds both, so the history cannot miss a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredChange {
    #[serde(flatten)]
    pub(crate) envelope: ChangeEnvelope,
    #[serde(default)]
    pub(crate) history: Vec<ChangeHead>,
}

impl StoredChange {
    fn head(&self) -> ChangeHead {
        ChangeHead {
            revision: self.envelope.revision,
            change_id: self.envelope.change_id.clone(),
            author: self.envelope.author.clone(),
            written_at: self.envelope.written_at,
        }
    }

    fn heads(&self) -> Vec<ChangeHead> {
        std::iter::once(self.head()).chain(self.history.iter().cloned()).collect()
    }
}

/// Reads the configuration in force and its index; `None` and 0 before the first change.
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
    let none = || CommandError::new(ErrorKind::Failed, "no configuration has been applied yet");
    read_stored(platform)?.0.ok_or_else(none)
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        let message = format!("failed to read {}: {error}", path.display());
        CommandError::new(ErrorKind::Invalid, message)
    })
}

fn report_errors(errors: &[SettingsError], json: bool, output: &mut CommandOutput) -> CommandError {
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

/// `apply`: validates, shows the difference, and writes the next revision.
pub(crate) fn apply(
    flags: &Apply,
    author: &str,
    platform: &dyn Fn() -> Result<PlatformClient, CommandError>,
    json: bool,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let text = read_file(&flags.file)?;
    let file = flags.file.display().to_string();
    if let Err(errors) = config::parse_fleet(&file, &text, 0) {
        return Err(report_errors(&errors, json, output));
    }
    let platform = platform()?;
    let (held, index) = read_stored(&platform)?;
    let (old_revision, old_text) =
        held.as_ref().map_or((0, ""), |held| (held.envelope.revision, held.envelope.text.as_str()));
    if held.is_some() && old_text == text {
        let message = format!("no change: revision {old_revision} has the same text");
        return Err(CommandError::new(ErrorKind::Failed, message));
    }
    let difference = diff_lines(&format!("revision {old_revision}"), old_text, &file, &text);
    let mut history = held.as_ref().map(StoredChange::heads).unwrap_or_default();
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

/// Writes under compare-and-swap. After a lost answer the change id at the platform tells whether
/// the write took effect; while the old value is still there, it is written again, which the index
/// makes safe.
fn write_change(
    platform: &PlatformClient,
    change: &StoredChange,
    bytes: &[u8],
    index: u64,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let own = &change.envelope.change_id;
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
            Ok((Some(stored), _)) if stored.envelope.change_id == *own => return Ok(()),
            Ok((Some(stored), _)) if stored.history.iter().any(|head| head.change_id == *own) => {
                let revision = stored.envelope.revision;
                output.note(format!("revision {revision} has replaced this change since"));
                return Ok(());
            }
            Ok((stored, found)) if found != index => return Err(conflict(stored.as_ref())),
            // The write may still be on its way.
            Ok(_) if !refused => {}
            // Refused, but read as unchanged: the value was read from a server that lags.
            Ok(_) => output.note("the platform refused the write but shows no other change yet"),
            Err(error) if error.kind == ErrorKind::Unreachable => {
                output.note(format!("failed to read back: {error}"));
            }
            Err(error) => return Err(error),
        }
        if attempt < RESOLVE_ATTEMPTS {
            std::thread::sleep(RESOLVE_PAUSE);
        }
    }
    let message = format!(
        "outcome unknown: the platform did not answer; compare the change id {own} with `cicadawick \
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
        None => {
            "conflict: the configuration was removed meanwhile; nothing was changed".to_string()
        }
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
    let (held, _) = read_stored(platform)?;
    let (revision, old) =
        held.as_ref().map_or((0, ""), |held| (held.envelope.revision, held.envelope.text.as_str()));
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
    let heads = read_current(platform)?.heads();
    if json {
        output.json(&json!(heads));
        return Ok(());
    }
    let rows: Vec<Vec<String>> = heads
        .into_iter()
        .map(|head| {
            let time = text::utc_time(head.written_at);
            vec![head.revision.to_string(), time, head.author, head.change_id]
        })
        .collect();
    output.text.push_str(&text::table(&["REVISION", "WRITTEN", "AUTHOR", "CHANGE"], &rows));
    Ok(())
}

/// Returns random bytes as hexadecimal digits.
pub(crate) fn random_hex<const BYTES: usize>() -> Result<String, CommandError> {
    let mut bytes = [0u8; BYTES];
    getrandom::fill(&mut bytes).map_err(|error| {
        CommandError::new(ErrorKind::Failed, format!("failed to draw random bytes: {error}"))
    })?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
