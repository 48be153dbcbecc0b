//! Stand-ins of the users' platform, databases and clients, and the cases of the review that use them.
//!
//! `standin N FOLDER` runs case N, 1 to 5. It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.

#[path = "1/case.rs"]
mod case_1;
#[path = "2/case.rs"]
mod case_2;
#[path = "3/case.rs"]
mod case_3;
#[path = "4/case.rs"]
mod case_4;
#[path = "5/case.rs"]
mod case_5;
mod clients;
mod database;
mod gate;
mod json;
mod setup;
mod store;

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Folder of the settings and logs of the processes.
static SCRATCH: OnceLock<PathBuf> = OnceLock::new();

static RECORD: OnceLock<(Instant, Mutex<BufWriter<File>>)> = OnceLock::new();

/// Writes a line to the record, with the seconds since the start.
pub fn record(text: &str) {
    record_at(Instant::now(), text);
    if let Some((_, file)) = RECORD.get() {
        let _ = file.lock().unwrap().flush();
    }
}

/// Writes a line about an earlier time, which may be buffered.
pub fn record_at(time: Instant, text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let seconds = time.duration_since(*start).as_secs_f64();
        let _ = writeln!(file.lock().unwrap(), "{seconds:9.4} {text}");
    }
}

pub fn cannot_run(reason: &str) -> ! {
    record(&format!("cannot run: {reason}"));
    eprintln!("cannot run: {reason}");
    if let Some(scratch) = SCRATCH.get() {
        let _ = std::fs::remove_dir_all(scratch);
    }
    std::process::exit(2);
}

/// Returns whether the disruption is to be made.
pub fn trouble() -> bool {
    !std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

pub fn wait_for(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            cannot_run(&format!("waited in vain for {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else { cannot_run("usage: standin N FOLDER") };
    let folder = PathBuf::from(folder);
    let file = File::create(folder.join("record.txt"))
        .unwrap_or_else(|error| cannot_run(&format!("no record: {error}")));
    let _ = RECORD.set((Instant::now(), Mutex::new(BufWriter::new(file))));
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let _ = SCRATCH.set(scratch.clone());
    record(&format!("case {case}, disruption: {}", trouble()));
    let broken = match case.as_str() {
        "1" => case_1::run(&scratch),
        "2" => case_2::run(&scratch),
        "3" => case_3::run(&scratch),
        "4" => case_4::run(&scratch),
        "5" => case_5::run(&scratch),
        _ => cannot_run("no such case"),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    match broken {
        Some(text) => {
            record(&format!("RULE BROKEN: {text}"));
            println!("rule broken: {text}");
            std::process::exit(1);
        }
        None => {
            record("the rule held");
            println!("the rule held");
        }
    }
}
