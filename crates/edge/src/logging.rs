//! Structured log lines on standard output: one JSON object each, written by a thread of its own.
//!
//! The queue to the thread is bounded. A line that finds it full is dropped and counted, so that a reader
//! that stalls never blocks a decision.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use gate::{LogRecord, LogValue};
use log::LevelFilter;

/// Lines that wait to be written: a few seconds of a node's busiest traffic.
const LINE_QUEUE: usize = 8_192;

/// Lines dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts the log.
///
/// # Errors
///
/// Fails if a log was started before.
pub fn start_logging() -> anyhow::Result<()> {
    let (sender, lines) = sync_channel::<String>(LINE_QUEUE);
    std::thread::spawn(move || write_lines(&lines));
    fern::Dispatch::new()
        .format(|out, message, record| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let level = record.level();
            out.finish(format_args!(
                "{{\"time_ms\":{},\"level\":\"{level}\",{message}}}",
                since.as_millis()
            ));
        })
        .level(LevelFilter::Warn)
        .level_for("edge", LevelFilter::Info)
        .level_for("adapter", LevelFilter::Info)
        .filter(|metadata| {
            // Libraries do not write in this format.
            metadata.target().starts_with("edge") || metadata.target().starts_with("adapter")
        })
        .chain(fern::Output::call(move |record| {
            if sender.try_send(record.args().to_string()).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }))
        .apply()?;
    Ok(())
}

/// Returns the number of dropped lines.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn write_lines(lines: &Receiver<String>) {
    let mut stdout = std::io::stdout();
    let mut batch = String::new();
    while let Ok(line) = lines.recv() {
        batch.clear();
        batch.push_str(&line);
        batch.push('\n');
        for line in lines.try_iter().take(256) {
            batch.push_str(&line);
            batch.push('\n');
        }
        if stdout.write_all(batch.as_bytes()).is_err() || stdout.flush().is_err() {
            // Nobody reads the log; serving goes on without it.
            return;
        }
    }
}

/// Renders a line of a shell as the inside of a JSON object, for the macros of crate log.
///
/// ```
/// let line = edge::event_line("accept_failed", vec![("error", "no slot".to_string().into())]);
/// assert_eq!(line.replace('"', ""), "event:accept_failed,error:no slot");
/// ```
pub fn event_line(event: &'static str, fields: Vec<(&'static str, LogValue)>) -> String {
    render(&LogRecord { event, fields })
}

/// Writes a record of the core as the inside of a JSON object.
pub(crate) fn render(record: &LogRecord) -> String {
    let mut line = format!("\"event\":\"{}\"", record.event);
    for (name, value) in &record.fields {
        line.push_str(",\"");
        line.push_str(name);
        line.push_str("\":");
        match value {
            LogValue::Text(text) => line.push_str(&serde_json::Value::from(&**text).to_string()),
            LogValue::Fixed(text) => line.push_str(&serde_json::Value::from(*text).to_string()),
            LogValue::Number(number) => line.push_str(&number.to_string()),
            LogValue::Flag(flag) => line.push_str(if *flag { "true" } else { "false" }),
        }
    }
    line
}
