//! Clients that send mixes of requests and check the answers.
//!
//! Each connection is a thread with a blocking client, so a run has at most a few thousand of them.
//! With a rate, latency counts from the time at which a request was due, so that clients waiting for a
//! stalled server do not hide the stall. Checks use a separate connection to the database itself:
//!
//! - tokens: each acknowledged token is in the table exactly once, and no refused token is in it;
//! - sessions: a read after an acknowledged write of the same session returns that write;
//! - age: during the run, a thread updates one row periodically. A read of that row may miss only
//!   updates that were acknowledged less than the accepted age before the read was sent.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, bail};
use hdrhistogram::Histogram;
use model::SeededRandom;
use postgres::{Client, NoTls, SimpleQueryMessage};
use serde::{Deserialize, Serialize};

/// Pause between two attempts to connect.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(20);

/// Interval between updates of the row that the age check reads.
const AGE_UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// Meter whose balance the age check reads.
const AGE_CHECK_METER: u64 = 0;

/// Upper bound of the latency histograms; longer latencies count as this one.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Code under which failures without an SQLSTATE are counted.
const NO_SQLSTATE: &str = "connection";

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadKind {
    /// Inserts a token with an idempotency key.
    Token,
    /// Reads a balance.
    Balance,
    /// Inserts a batch of readings.
    Reading,
    /// Writes a row of the session and reads it back, in turn.
    Session,
}

impl LoadKind {
    fn name(self) -> &'static str {
        match self {
            LoadKind::Token => "token",
            LoadKind::Balance => "balance",
            LoadKind::Reading => "reading",
            LoadKind::Session => "session",
        }
    }
}

impl FromStr for LoadKind {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        Ok(match text {
            "token" => LoadKind::Token,
            "balance" => LoadKind::Balance,
            "reading" => LoadKind::Reading,
            "session" => LoadKind::Session,
            _ => bail!("unknown kind {text:?}: expected token, balance, reading or session"),
        })
    }
}

/// Relative shares of the kinds, as in `token=1,balance=8`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadMix(pub Vec<(LoadKind, u32)>);

impl FromStr for LoadMix {
    type Err = anyhow::Error;

    /// ```
    /// let mix: fake::loadgen::LoadMix = "token=1,balance=8".parse()?;
    /// assert_eq!(mix.0.len(), 2);
    /// # Ok::<(), anyhow::Error>(())
    /// ```
    fn from_str(text: &str) -> anyhow::Result<Self> {
        let mut shares = Vec::new();
        for part in text.split(',') {
            let (kind, share) = part.split_once('=').unwrap_or((part, "1"));
            let share = share.trim().parse().with_context(|| format!("invalid share {part:?}"))?;
            shares.push((kind.trim().parse()?, share));
        }
        if shares.iter().all(|(_, share)| *share == 0) {
            bail!("the mix {text:?} has no share above 0");
        }
        Ok(LoadMix(shares))
    }
}

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    pub address: SocketAddr,
    pub database: String,
    pub user: String,
    /// Sent as `-c cicadawick.labels=LABELS`.
    pub labels: Option<String>,
    pub connections: usize,
    pub mix: LoadMix,
    /// Requests a second over all connections; `None` sends the next request after each answer.
    pub rate: Option<f64>,
    pub duration: Duration,
    /// Ends the run after this many requests.
    pub count: Option<u64>,
    /// Rows in a batch of readings.
    pub batch: usize,
    pub meters: u64,
    /// Added to each statement as a `service_ms` comment for fakedb.
    pub service_ms: Option<f64>,
    /// Accepted data age of balance reads; `None` skips the age check.
    pub max_age: Option<Duration>,
    /// Address of a primary database for creating tables and for checks.
    pub check_address: Option<SocketAddr>,
    /// Address of a primary database that gets the same load first, without checks. The report states
    /// the latency at `address` as a ratio to it.
    pub baseline_address: Option<SocketAddr>,
    pub seed: u64,
}

impl LoadOptions {
    /// Returns options for a closed loop of one connection with all kinds for one second.
    pub fn new(address: SocketAddr, database: &str) -> Self {
        LoadOptions {
            address,
            database: database.to_string(),
            user: "loadgen".to_string(),
            labels: None,
            connections: 1,
            mix: LoadMix(vec![
                (LoadKind::Token, 1),
                (LoadKind::Balance, 8),
                (LoadKind::Reading, 1),
            ]),
            rate: None,
            duration: Duration::from_secs(1),
            count: None,
            batch: 10,
            meters: 100,
            service_ms: None,
            max_age: None,
            check_address: None,
            baseline_address: None,
            seed: 1,
        }
    }
}

/// Results of one kind. Latencies are those of successful requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    pub count: u64,
    /// Failures by SQLSTATE; those without one count as `connection`.
    pub errors: BTreeMap<String, u64>,
    pub per_second: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
    pub max_us: u64,
}

/// Results of the checks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReport {
    pub tokens_acknowledged: u64,
    /// Acknowledged, but not in the table.
    pub tokens_missing: u64,
    /// In the table more than once.
    pub tokens_duplicated: u64,
    /// Answered with an error which implies that nothing was committed.
    pub tokens_refused: u64,
    /// Refused, but in the table.
    pub tokens_refused_present: u64,
    pub tokens_unknown: u64,
    /// Outcome unknown, and in the table.
    pub tokens_unknown_present: u64,
    pub session_reads: u64,
    /// Reads that missed an acknowledged write of their session.
    pub session_violations: u64,
    pub age_reads: u64,
    /// Reads whose data was older than accepted.
    pub age_violations: u64,
}

impl CheckReport {
    /// Tells whether no check failed.
    pub fn is_clean(&self) -> bool {
        self.tokens_missing == 0
            && self.tokens_duplicated == 0
            && self.tokens_refused_present == 0
            && self.session_violations == 0
            && self.age_violations == 0
    }
}

/// Outcome of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub seconds: f64,
    pub connections: usize,
    /// Connections that could not be opened, by SQLSTATE.
    pub connect_errors: BTreeMap<String, u64>,
    pub kinds: BTreeMap<LoadKind, KindReport>,
    /// Results of the same load on the baseline address.
    pub baseline: Option<BTreeMap<LoadKind, KindReport>>,
    /// `None` without a check address.
    pub checks: Option<CheckReport>,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<8} {:>9} {:>7} {:>10} {:>9} {:>9} {:>9} {:>9}",
            "kind", "count", "errors", "per s", "p50 us", "p99 us", "p99.9 us", "max us"
        )?;
        for (kind, report) in &self.kinds {
            writeln!(
                formatter,
                "{:<8} {:>9} {:>7} {:>10.1} {:>9} {:>9} {:>9} {:>9}",
                kind.name(),
                report.count,
                report.errors.values().sum::<u64>(),
                report.per_second,
                report.p50_us,
                report.p99_us,
                report.p999_us,
                report.max_us
            )?;
            for (code, count) in &report.errors {
                writeln!(formatter, "  error {code}: {count}")?;
            }
        }
        for (code, count) in &self.connect_errors {
            writeln!(formatter, "connect error {code}: {count}")?;
        }
        for (kind, base) in self.baseline.iter().flatten() {
            let ratio = |own: u64, base: u64| own as f64 / base.max(1) as f64;
            if let Some(own) = self.kinds.get(kind) {
                writeln!(
                    formatter,
                    "{:<8} baseline p50 {} us, p99 {} us; ratio p50 {:.2}, p99 {:.2}",
                    kind.name(),
                    base.p50_us,
                    base.p99_us,
                    ratio(own.p50_us, base.p50_us),
                    ratio(own.p99_us, base.p99_us)
                )?;
            }
        }
        if let Some(checks) = &self.checks {
            writeln!(
                formatter,
                "tokens: {} acknowledged, {} missing, {} duplicated, {} refused ({} present), \
                 {} unknown ({} present)",
                checks.tokens_acknowledged,
                checks.tokens_missing,
                checks.tokens_duplicated,
                checks.tokens_refused,
                checks.tokens_refused_present,
                checks.tokens_unknown,
                checks.tokens_unknown_present
            )?;
            writeln!(
                formatter,
                "session reads: {}, {} violations; age reads: {}, {} violations",
                checks.session_reads,
                checks.session_violations,
                checks.age_reads,
                checks.age_violations
            )?;
        }
        Ok(())
    }
}

/// Outcome of a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TokenOutcome {
    Acknowledged,
    Refused,
    Unknown,
}

struct KindFigures {
    latency: Histogram<u64>,
    count: u64,
    errors: BTreeMap<String, u64>,
}

#[derive(Default)]
struct LoadFigures {
    kinds: BTreeMap<LoadKind, KindFigures>,
    connect_errors: BTreeMap<String, u64>,
    tokens: Vec<(String, TokenOutcome)>,
    checks: CheckReport,
}

impl LoadFigures {
    fn record(&mut self, kind: LoadKind, latency: Duration, error: Option<String>) {
        let figures = self.kinds.entry(kind).or_insert_with(|| KindFigures {
            latency: new_histogram(),
            count: 0,
            errors: BTreeMap::new(),
        });
        figures.count += 1;
        match error {
            Some(code) => *figures.errors.entry(code).or_default() += 1,
            None => figures.latency.saturating_record(latency.as_micros() as u64),
        }
    }

    fn merge(&mut self, other: LoadFigures) {
        for (kind, figures) in other.kinds {
            match self.kinds.get_mut(&kind) {
                None => drop(self.kinds.insert(kind, figures)),
                Some(own) => {
                    own.count += figures.count;
                    // Both histograms have the same bounds, so adding cannot fail.
                    let _ = own.latency.add(&figures.latency);
                    add_counts(&mut own.errors, figures.errors);
                }
            }
        }
        add_counts(&mut self.connect_errors, other.connect_errors);
        self.tokens.extend(other.tokens);
        self.checks.session_reads += other.checks.session_reads;
        self.checks.session_violations += other.checks.session_violations;
        self.checks.age_reads += other.checks.age_reads;
        self.checks.age_violations += other.checks.age_violations;
    }
}

fn add_counts(own: &mut BTreeMap<String, u64>, other: BTreeMap<String, u64>) {
    for (code, count) in other {
        *own.entry(code).or_default() += count;
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, 3).unwrap_or_else(|_| {
        unreachable!("constant bounds of a histogram are valid");
    })
}

/// Acknowledged values of the row that the age check reads, with the time of acknowledgement.
#[derive(Default)]
struct AgeLog(Mutex<Vec<(Instant, u64)>>);

impl AgeLog {
    fn lock(&self) -> MutexGuard<'_, Vec<(Instant, u64)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the last value that was acknowledged by `time`.
    fn value_at(&self, time: Instant) -> u64 {
        let age_log = self.lock();
        let count = age_log.partition_point(|(acknowledged, _)| *acknowledged <= time);
        count.checked_sub(1).map_or(0, |at| age_log[at].1)
    }
}

/// State that the threads of a run share.
struct RunState {
    options: LoadOptions,
    /// Prefix of the idempotency keys of this run.
    key_prefix: String,
    sent: AtomicU64,
    stop: AtomicBool,
    start: Instant,
    age_log: AgeLog,
}

impl RunState {
    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed) || self.start.elapsed() >= self.options.duration
    }

    /// Counts a request to be sent; returns false if the count of the run is reached.
    fn count_request(&self) -> bool {
        let sent = self.sent.fetch_add(1, Ordering::Relaxed);
        let has_more = self.options.count.is_none_or(|count| sent < count);
        if !has_more {
            self.stop.store(true, Ordering::Relaxed);
        }
        has_more
    }
}

fn connect(address: SocketAddr, options: &LoadOptions) -> Result<Client, postgres::Error> {
    let mut config = postgres::Config::new();
    config
        .host(&address.ip().to_string())
        .port(address.port())
        .user(&options.user)
        .dbname(&options.database)
        .connect_timeout(Duration::from_secs(5));
    if let Some(labels) = &options.labels {
        config.options(&format!("-c cicadawick.labels={}", labels.replace(' ', "")));
    }
    config.connect(NoTls)
}

fn error_code(error: &postgres::Error) -> String {
    error.code().map_or(NO_SQLSTATE, |code| code.code()).to_string()
}

/// Runs a load and returns its report.
///
/// # Errors
///
/// Fails if the tables cannot be created or read for the checks. Failed requests are part of the
/// report.
///
/// ```
/// use fake::fakedb::{DatabaseGroup, GroupOptions};
/// use fake::loadgen::{LoadOptions, run};
/// let group = DatabaseGroup::start(GroupOptions::new("db", 1))?;
/// let mut options = LoadOptions::new(group.addresses()[0], "db");
/// options.count = Some(10);
/// options.check_address = Some(group.addresses()[0]);
/// let report = run(&options)?;
/// assert!(report.checks.is_some_and(|checks| checks.is_clean()));
/// # Ok::<(), anyhow::Error>(())
/// ```
pub fn run(options: &LoadOptions) -> anyhow::Result<LoadReport> {
    let baseline = match options.baseline_address {
        Some(address) => {
            let options = LoadOptions {
                address,
                check_address: None,
                baseline_address: None,
                ..options.clone()
            };
            Some(run(&options).context("failed to load the baseline address")?.kinds)
        }
        None => None,
    };
    let setup_address = options.check_address.unwrap_or(options.address);
    let mut setup = connect(setup_address, options)
        .with_context(|| format!("failed to connect to {setup_address} to create tables"))?;
    create_tables(&mut setup, options).context("failed to create tables")?;
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
    let state = Arc::new(RunState {
        options: options.clone(),
        key_prefix: format!("run{}-{micros:x}", options.seed),
        sent: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        start: Instant::now(),
        age_log: AgeLog::default(),
    });
    let age_thread = (options.check_address.is_some() && options.max_age.is_some()).then(|| {
        let state = state.clone();
        std::thread::spawn(move || run_age_updates(&state, setup_address))
    });
    let mut workers = Vec::new();
    for number in 0..options.connections {
        let state = state.clone();
        let builder = std::thread::Builder::new().stack_size(512 * 1024);
        workers.push(builder.spawn(move || run_worker(&state, number as u64))?);
    }
    let mut figures = LoadFigures::default();
    for worker in workers {
        match worker.join() {
            Ok(own) => figures.merge(own),
            Err(_) => bail!("a load thread panicked"),
        }
    }
    let seconds = state.start.elapsed().as_secs_f64();
    state.stop.store(true, Ordering::Relaxed);
    if let Some(age_thread) = age_thread {
        drop(age_thread.join());
    }
    let checks = match options.check_address {
        Some(address) => Some(check_tokens(&state, address, &figures)?),
        None => None,
    };
    let kinds = figures.kinds.into_iter().map(|(kind, figures)| {
        let report = KindReport {
            count: figures.count,
            per_second: figures.latency.len() as f64 / seconds,
            errors: figures.errors,
            p50_us: figures.latency.value_at_quantile(0.5),
            p99_us: figures.latency.value_at_quantile(0.99),
            p999_us: figures.latency.value_at_quantile(0.999),
            max_us: figures.latency.max(),
        };
        (kind, report)
    });
    Ok(LoadReport {
        seconds,
        connections: options.connections,
        connect_errors: figures.connect_errors,
        kinds: kinds.collect(),
        baseline,
        checks,
    })
}

fn create_tables(client: &mut Client, options: &LoadOptions) -> Result<(), postgres::Error> {
    for sql in [
        "CREATE TABLE IF NOT EXISTS tokens (request_key text, meter bigint, amount bigint)",
        "CREATE TABLE IF NOT EXISTS balances (meter bigint PRIMARY KEY, amount bigint)",
        "CREATE TABLE IF NOT EXISTS readings (meter bigint, taken bigint, value bigint)",
        "CREATE TABLE IF NOT EXISTS sessions (id bigint PRIMARY KEY, mark bigint)",
    ] {
        client.simple_query(sql)?;
    }
    // Restarts the value of the age check at 0, so that a higher value of an earlier run does not
    // hide old data.
    client.simple_query(&format!("DELETE FROM balances WHERE meter = {AGE_CHECK_METER}"))?;
    client.simple_query("DELETE FROM sessions")?;
    let meters: Vec<u64> = (AGE_CHECK_METER..=options.meters).collect();
    for chunk in meters.chunks(500) {
        let rows: Vec<String> = chunk.iter().map(|meter| format!("({meter}, 0)")).collect();
        client.simple_query(&format!(
            "INSERT INTO balances (meter, amount) VALUES {} ON CONFLICT DO NOTHING",
            rows.join(", ")
        ))?;
    }
    let sessions: Vec<String> = (0..options.connections).map(|id| format!("({id}, 0)")).collect();
    for chunk in sessions.chunks(500) {
        let rows = chunk.join(", ");
        client.simple_query(&format!("INSERT INTO sessions (id, mark) VALUES {rows}"))?;
    }
    Ok(())
}

/// Updates the row of the age check until the run ends. After a failed update, a new connection is
/// opened. The value of that update may or may not be visible; the check allows both, because the
/// value is not in the log.
fn run_age_updates(state: &RunState, address: SocketAddr) {
    let mut client: Option<Client> = None;
    let mut mark = 0;
    while !state.is_over() {
        if let Some(open) = &mut client {
            mark += 1;
            let sql =
                format!("UPDATE balances SET amount = {mark} WHERE meter = {AGE_CHECK_METER}");
            match open.simple_query(&sql) {
                Ok(_) => state.age_log.lock().push((Instant::now(), mark)),
                Err(_) => client = None,
            }
        } else {
            client = connect(address, &state.options).ok();
        }
        std::thread::sleep(AGE_UPDATE_INTERVAL);
    }
}

/// State of one connection.
struct LoadWorker<'a> {
    state: &'a RunState,
    number: u64,
    random: SeededRandom,
    client: Option<Client>,
    figures: LoadFigures,
    sequence: u64,
    /// Highest mark of the session that was acknowledged.
    session_mark: u64,
    session_written: bool,
}

fn run_worker(state: &RunState, number: u64) -> LoadFigures {
    let mut worker = LoadWorker {
        state,
        number,
        random: SeededRandom::new(
            state.options.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(number),
        ),
        client: None,
        figures: LoadFigures::default(),
        sequence: 0,
        session_mark: 0,
        session_written: false,
    };
    let connections = state.options.connections.max(1) as f64;
    let interval = state.options.rate.map(|rate| Duration::from_secs_f64(connections / rate));
    let mut due = match (interval, state.options.rate) {
        (Some(_), Some(rate)) => state.start + Duration::from_secs_f64(number as f64 / rate),
        _ => state.start,
    };
    worker.connect();
    while !state.is_over() {
        match interval {
            Some(interval) => {
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if state.is_over() || !state.count_request() {
                    break;
                }
                worker.send_request(due);
                due += interval;
            }
            None => {
                if !state.count_request() {
                    break;
                }
                worker.send_request(Instant::now());
            }
        }
    }
    worker.figures
}

impl LoadWorker<'_> {
    /// Opens a connection, with pauses between attempts, while the run lasts.
    fn connect(&mut self) {
        while self.client.is_none() && !self.state.is_over() {
            match connect(self.state.options.address, &self.state.options) {
                Ok(client) => self.client = Some(client),
                Err(error) => {
                    *self.figures.connect_errors.entry(error_code(&error)).or_default() += 1;
                    std::thread::sleep(RECONNECT_BACKOFF);
                }
            }
        }
    }

    fn pick_kind(&mut self) -> LoadKind {
        let mix = &self.state.options.mix.0;
        let total: u64 = mix.iter().map(|(_, share)| u64::from(*share)).sum();
        let mut at = self.random.below(total);
        for (kind, share) in mix {
            if at < u64::from(*share) {
                return *kind;
            }
            at -= u64::from(*share);
        }
        LoadKind::Balance
    }

    /// Sends a request that was due at `due`.
    fn send_request(&mut self, due: Instant) {
        let kind = self.pick_kind();
        self.sequence += 1;
        let key = format!("{}-{}-{}", self.state.key_prefix, self.number, self.sequence);
        let is_session_read = kind == LoadKind::Session && self.session_written;
        let meters = self.state.options.meters;
        let meter = match kind {
            LoadKind::Balance if self.state.options.max_age.is_some() => {
                // A quarter of the balance reads check the data age.
                if self.random.below(4) == 0 {
                    AGE_CHECK_METER
                } else {
                    1 + self.random.below(meters)
                }
            }
            _ => 1 + self.random.below(meters),
        };
        let mut sql = self.build_statement(kind, &key, meter, is_session_read);
        if let Some(service_ms) = self.state.options.service_ms {
            sql = format!("/*service_ms={service_ms}*/ {sql}");
        }
        self.connect();
        let Some(client) = &mut self.client else { return };
        let sent = Instant::now();
        let result = client.simple_query(&sql);
        let latency = due.elapsed();
        let error = result.as_ref().err().map(error_code);
        if let Some(client) = &self.client
            && client.is_closed()
        {
            self.client = None;
        }
        if kind == LoadKind::Token {
            self.figures.tokens.push((key, token_outcome(error.as_deref())));
        }
        self.figures.record(kind, latency, error);
        let Ok(messages) = result else { return };
        let value = first_number(&messages);
        match kind {
            LoadKind::Balance if meter == AGE_CHECK_METER => self.check_age(sent, value),
            LoadKind::Session if is_session_read => {
                self.figures.checks.session_reads += 1;
                let is_violated = value.unwrap_or_default() < self.session_mark;
                self.figures.checks.session_violations += u64::from(is_violated);
                self.session_written = false;
            }
            LoadKind::Session => {
                self.session_mark = self.sequence;
                self.session_written = true;
            }
            _ => {}
        }
    }

    fn build_statement(
        &mut self,
        kind: LoadKind,
        key: &str,
        meter: u64,
        is_session_read: bool,
    ) -> String {
        match kind {
            LoadKind::Token => format!(
                "/*request_key='{key}'*/ INSERT INTO tokens (request_key, meter, amount) \
                 VALUES ('{key}', {meter}, {})",
                1 + self.random.below(100)
            ),
            LoadKind::Balance => format!("SELECT amount FROM balances WHERE meter = {meter}"),
            LoadKind::Reading => {
                let rows: Vec<String> = (0..self.state.options.batch.max(1))
                    .map(|at| format!("({meter}, {at}, {})", self.random.below(10_000)))
                    .collect();
                format!("INSERT INTO readings (meter, taken, value) VALUES {}", rows.join(", "))
            }
            LoadKind::Session if is_session_read => {
                format!("SELECT mark FROM sessions WHERE id = {}", self.number)
            }
            LoadKind::Session => {
                format!("UPDATE sessions SET mark = {} WHERE id = {}", self.sequence, self.number)
            }
        }
    }

    fn check_age(&mut self, sent: Instant, value: Option<u64>) {
        let Some(max_age) = self.state.options.max_age else { return };
        let Some(accepted_since) = sent.checked_sub(max_age) else { return };
        self.figures.checks.age_reads += 1;
        let expected = self.state.age_log.value_at(accepted_since);
        let is_violated = value.unwrap_or_default() < expected;
        self.figures.checks.age_violations += u64::from(is_violated);
    }
}

/// Errors of the classes 08 and 57 leave the outcome unknown, as a lost connection does. Every other
/// error means that nothing was committed.
fn token_outcome(code: Option<&str>) -> TokenOutcome {
    match code {
        None => TokenOutcome::Acknowledged,
        Some(code) if code == NO_SQLSTATE || code.starts_with("08") || code.starts_with("57") => {
            TokenOutcome::Unknown
        }
        Some(_) => TokenOutcome::Refused,
    }
}

fn first_number(messages: &[SimpleQueryMessage]) -> Option<u64> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
        _ => None,
    })
}

fn check_tokens(
    state: &RunState,
    address: SocketAddr,
    figures: &LoadFigures,
) -> anyhow::Result<CheckReport> {
    let mut client = connect(address, &state.options)
        .with_context(|| format!("failed to connect to {address} for the checks"))?;
    let messages = client
        .simple_query("SELECT request_key FROM tokens")
        .context("failed to read the tokens for the checks")?;
    let mut present: HashMap<&str, u64> = HashMap::new();
    for message in &messages {
        if let SimpleQueryMessage::Row(row) = message
            && let Some(key) = row.get(0)
            && key.starts_with(&state.key_prefix)
        {
            *present.entry(key).or_default() += 1;
        }
    }
    let mut checks = figures.checks.clone();
    checks.tokens_duplicated = present.values().filter(|count| **count > 1).count() as u64;
    for (key, outcome) in &figures.tokens {
        let is_present = present.contains_key(key.as_str());
        match outcome {
            TokenOutcome::Acknowledged => {
                checks.tokens_acknowledged += 1;
                checks.tokens_missing += u64::from(!is_present);
            }
            TokenOutcome::Refused => {
                checks.tokens_refused += 1;
                checks.tokens_refused_present += u64::from(is_present);
            }
            TokenOutcome::Unknown => {
                checks.tokens_unknown += 1;
                checks.tokens_unknown_present += u64::from(is_present);
            }
        }
    }
    Ok(checks)
}
