//! Structured logging to standard output, one JSON object per line, written by a separate thread.
//!
//! The queue to that thread is bounded. If it is full, lines are dropped and counted, so that a stalled reader of
//! the log never blocks the event loop.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use gate::{LogRecord, LogValue};
use log::LevelFilter;

/// Lines that wait to be written. Holds a few seconds of log at a node's peak traffic.
const LINE_QUEUE_CAPACITY: usize = 8_192;

/// Crates whose messages are members of a JSON object. Messages of libraries are not.
const EVENT_CRATES: [&str; 4] = ["adapter", "edge", "relay", "shell"];

/// Lines dropped because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Installs the logger and starts the thread that writes.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn start_logging() -> anyhow::Result<()> {
    let (sender, lines) = sync_channel::<String>(LINE_QUEUE_CAPACITY);
    std::thread::spawn(move || write_lines(&lines));
    fern::Dispatch::new()
        .format(|out, message, record| {
            let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let level = record.level();
            out.finish(format_args!(
                "{{\"time_ms\":{},\"level\":\"{level}\",{message}}}",
                elapsed.as_millis()
            ));
        })
        .level(LevelFilter::Info)
        .filter(|metadata| {
            let name = metadata.target().split("::").next().unwrap_or_default();
            EVENT_CRATES.contains(&name)
        })
        .chain(fern::Output::call(move |record| {
            if sender.try_send(record.args().to_string()).is_err() {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }))
        .apply()?;
    Ok(())
}

/// Returns the number of dropped lines.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
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
            // The reader of the log is gone; the process continues without it.
            return;
        }
    }
}

/// Renders an event as the members of a JSON object without braces, for the macros of crate log.
///
/// ```
/// let line = edge::event_line("accept_failed", vec![("error", "no slot".to_string().into())]);
/// assert_eq!(line.replace('"', ""), "event:accept_failed,error:no slot");
/// ```
pub fn event_line(event: &'static str, fields: Vec<(&'static str, LogValue)>) -> String {
    render_record(&LogRecord { event, fields })
}

/// Renders a record of the gate as the members of a JSON object without braces.
pub(crate) fn render_record(record: &LogRecord) -> String {
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
