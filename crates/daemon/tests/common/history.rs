//! Clients that write numbered rows and record the outcomes, and checks of the resulting history.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fake::fakedb::{DatabaseGroup, DatabaseReport, DatabaseRole};
use postgres::NoTls;

use super::code;
use super::fleet::{TestFleet, cluster_name};

/// Time after the opening of a term in which an acknowledgement from the previous term may still
/// arrive: a report's answer takes at most 1 s, and the rest allows for scheduling.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(1_500);

const WRITE_INTERVAL: Duration = Duration::from_millis(3);
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Outcome of a write as reported to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    Acknowledged,
    /// An error of class `WK`, with its code.
    NotRun(String),
    /// Any other error; the write may have run.
    Unknown(String),
}

#[derive(Clone, Debug)]
pub struct WriteRecord {
    pub id: i64,
    pub durable: bool,
    /// Name of the writer.
    pub writer: String,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: WriteOutcome,
}

static NEXT_ID: AtomicI64 = AtomicI64::new(1);

/// A client that inserts rows with increasing numbers until it is dropped.
pub struct RowWriter {
    pub name: String,
    records: Arc<Mutex<Vec<WriteRecord>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RowWriter {
    /// Starts a writer to a table through `address`, which is that of a proxy or of a database.
    pub fn start(
        name: &str,
        address: SocketAddr,
        cluster: usize,
        table: &str,
        durable: bool,
        options: &str,
    ) -> Self {
        let records: Arc<Mutex<Vec<WriteRecord>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let mut config = postgres::Config::new();
        config
            .host(&address.ip().to_string())
            .port(address.port())
            .user("vendor")
            .dbname(&cluster_name(cluster))
            .connect_timeout(Duration::from_secs(2));
        if !options.is_empty() {
            config.options(options);
        }
        let (shared, flag) = (records.clone(), stop.clone());
        let (writer, table) = (name.to_owned(), table.to_owned());
        let thread = std::thread::spawn(move || {
            let mut client = None;
            while !flag.load(Ordering::SeqCst) {
                let Some(open) = &mut client else {
                    client = config.connect(NoTls).ok();
                    if client.is_none() {
                        std::thread::sleep(RETRY_BACKOFF);
                    }
                    continue;
                };
                let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
                let sent = Instant::now();
                let result = open.batch_execute(&format!("INSERT INTO {table} VALUES ({id})"));
                let outcome = match result.map_err(|error| code(&error)) {
                    Ok(()) => WriteOutcome::Acknowledged,
                    Err(code) if code.starts_with("WK") => WriteOutcome::NotRun(code),
                    Err(code) => WriteOutcome::Unknown(code),
                };
                let pause = match outcome {
                    WriteOutcome::Acknowledged => WRITE_INTERVAL,
                    _ => RETRY_BACKOFF,
                };
                if open.is_closed() {
                    client = None;
                }
                let writer = writer.clone();
                let ended = Instant::now();
                let record = WriteRecord { id, durable, writer, sent, ended, outcome };
                shared.lock().unwrap().push(record);
                std::thread::sleep(pause);
            }
        });
        RowWriter { name: name.to_owned(), records, stop, thread: Some(thread) }
    }

    /// Returns whether a write that was sent after `since` has been acknowledged.
    pub fn acknowledged_since(&self, since: Instant) -> bool {
        let records = self.records.lock().unwrap();
        records
            .iter()
            .rev()
            .take_while(|record| record.sent > since)
            .any(|record| record.outcome == WriteOutcome::Acknowledged)
    }

    pub fn records(&self) -> Vec<WriteRecord> {
        self.records.lock().unwrap().clone()
    }

    /// Waits for the write in progress and returns all records.
    pub fn finish(mut self) -> Vec<WriteRecord> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().unwrap().join().unwrap();
        self.records()
    }
}

impl Drop for RowWriter {
    fn drop(&mut self) {
        // Does not join the thread: in a failed test the write in progress may hang at a paused node.
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Starts a durable and a plain writer through each node, to the table `rows` of one cluster.
pub fn start_writers(fleet: &TestFleet, cluster: usize) -> Vec<RowWriter> {
    start_writers_at(fleet, cluster, 0..fleet.options.nodes)
}

/// Starts a durable and a plain writer through each of `nodes`, to the table `rows` of one cluster.
pub fn start_writers_at(
    fleet: &TestFleet,
    cluster: usize,
    nodes: impl Iterator<Item = usize>,
) -> Vec<RowWriter> {
    let setup = fleet.node(0).try_connect(&cluster_name(cluster), "");
    setup.unwrap().batch_execute("CREATE TABLE rows (id bigint)").unwrap();
    let mut writers = Vec::new();
    for node in nodes {
        let address = fleet.node(node).caller_address;
        let labels = "-c cicadawick.labels=kind=payment";
        for (durable, options) in [(true, labels), (false, "")] {
            let name = format!("{node}-{}", if durable { "durable" } else { "plain" });
            writers.push(RowWriter::start(&name, address, cluster, "rows", durable, options));
        }
    }
    writers
}

/// The terms of one cluster as observed at its databases.
#[derive(Clone, Debug, Default)]
pub struct TermLog {
    /// When a majority of databases was first seen in a term that has a primary.
    pub opened: BTreeMap<u64, Instant>,
    /// Databases that were primary in each term.
    pub leaders: BTreeMap<u64, BTreeSet<String>>,
}

impl TermLog {
    pub fn last_term(&self) -> u64 {
        self.opened.last_key_value().map_or(0, |(term, _)| *term)
    }

    fn observe(&mut self, reports: &[(String, DatabaseReport)]) {
        let now = Instant::now();
        for (name, report) in reports {
            if report.role != DatabaseRole::Primary {
                continue;
            }
            self.leaders.entry(report.term).or_default().insert(name.clone());
            let same = reports.iter().filter(|(_, other)| other.term == report.term).count();
            if same > reports.len() / 2 {
                self.opened.entry(report.term).or_insert(now);
            }
        }
    }
}

/// Polls a group's reports without a connection until it is dropped.
pub struct TermMonitor {
    log: Arc<Mutex<TermLog>>,
    stop: Arc<AtomicBool>,
}

impl TermMonitor {
    /// Starts to poll. The test's thread scope ensures that the group outlives the monitor.
    pub fn start<'scope>(
        scope: &'scope std::thread::Scope<'scope, '_>,
        group: &'scope DatabaseGroup,
    ) -> Self {
        let monitor = TermMonitor { log: Arc::default(), stop: Arc::default() };
        let (log, stop) = (monitor.log.clone(), monitor.stop.clone());
        scope.spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let reports: Vec<_> = group
                    .names()
                    .iter()
                    .map(|name| (name.clone(), group.report(name).unwrap()))
                    .collect();
                log.lock().unwrap().observe(&reports);
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        monitor
    }

    pub fn log(&self) -> TermLog {
        self.log.lock().unwrap().clone()
    }

    pub fn last_term(&self) -> u64 {
        self.log.lock().unwrap().last_term()
    }
}

impl Drop for TermMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Returns the row numbers of a table in the final log.
pub fn final_rows(group: &DatabaseGroup, table: &str) -> Vec<i64> {
    let content = group.table(table).unwrap();
    content.rows.iter().map(|row| row[0].as_ref().unwrap().parse().unwrap()).collect()
}

/// Result of [`check_history`].
#[derive(Debug, Default)]
pub struct HistoryCheck {
    pub violations: Vec<String>,
    pub acknowledged: usize,
    pub not_run: usize,
    pub unknown: usize,
    /// Writes that are not durable, were acknowledged in time and were lost with their primary.
    pub lost: usize,
}

/// Compares the outcomes that clients were told with the final log.
///
/// A write that is not durable may be lost if it was acknowledged before the next term opened. The
/// loss is a violation if the write was sent after the last term opened, or acknowledged more than
/// [`IN_FLIGHT_GRACE`] after that. With several terms the last one applies to all writes, which is
/// the lenient interpretation.
pub fn check_history(records: &[WriteRecord], terms: &TermLog, rows: &[i64]) -> HistoryCheck {
    let mut check = HistoryCheck::default();
    let mut counts: BTreeMap<i64, usize> = BTreeMap::new();
    for id in rows {
        *counts.entry(*id).or_default() += 1;
    }
    let opened = terms.opened.last_key_value().map(|(_, opened)| *opened);
    for record in records {
        let count = counts.get(&record.id).copied().unwrap_or(0);
        let mut fail = |text: &str| {
            let WriteRecord { id, writer, .. } = record;
            check.violations.push(format!("row {id} of writer {writer}: {text}"));
        };
        if count > 1 {
            fail(&format!("in the log {count} times"));
        }
        match &record.outcome {
            WriteOutcome::NotRun(_) => {
                if count > 0 {
                    fail("refused as not run, but in the log");
                }
                check.not_run += 1;
            }
            WriteOutcome::Unknown(_) => check.unknown += 1,
            WriteOutcome::Acknowledged => {
                check.acknowledged += 1;
                if count == 0 && record.durable {
                    check.violations.push(format!(
                        "row {} of writer {}: durable, acknowledged and lost",
                        record.id, record.writer
                    ));
                } else if count == 0 {
                    check.lost += 1;
                    if opened.is_none_or(|opened| {
                        record.sent > opened || record.ended > opened + IN_FLIGHT_GRACE
                    }) {
                        check.violations.push(format!(
                            "row {} of writer {}: acknowledged by a replaced primary",
                            record.id, record.writer
                        ));
                    }
                }
            }
        }
    }
    for (term, leaders) in &terms.leaders {
        if leaders.len() > 1 {
            check.violations.push(format!("term {term} has several leaders: {leaders:?}"));
        }
    }
    check
}

/// Returns the longest interval between acknowledgements that ends after `fault`.
pub fn write_gap(records: &[WriteRecord], fault: Instant) -> Duration {
    let mut ends: Vec<Instant> = records
        .iter()
        .filter(|record| record.outcome == WriteOutcome::Acknowledged)
        .map(|record| record.ended)
        .collect();
    ends.sort_unstable();
    ends.windows(2)
        .filter(|pair| pair[1] > fault)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or(Duration::MAX)
}
