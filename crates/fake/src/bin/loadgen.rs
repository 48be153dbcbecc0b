use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use fake::loadgen::{LoadMix, LoadOptions, run};

/// Exit code if a check failed.
const CHECKS_FAILED_CODE: u8 = 3;

fn main() -> anyhow::Result<ExitCode> {
    let flags = xflags::parse_or_exit! {
        /// Address of the server.
        required address: SocketAddr
        /// Name of the database (cluster).
        required database: String
        /// Shares of kinds: token, balance, reading, session (default: token=1,balance=8,reading=1).
        optional --mix mix: LoadMix
        /// Connections (default: 1).
        optional -c, --connections count: usize
        /// Requests a second over all connections (default: closed loop).
        optional --rate rate: f64
        /// Length of the run in seconds (default: 10).
        optional --seconds seconds: f64
        /// Ends the run after this many requests.
        optional --count count: u64
        /// Labels of the sessions, as in kind=vendor,town=oshakati.
        optional --labels labels: String
        /// User name (default: loadgen).
        optional --user user: String
        /// Rows in a batch of readings (default: 10).
        optional --batch rows: usize
        /// Number of meters (default: 100).
        optional --meters count: u64
        /// Service time in ms that each statement requests from fakedb.
        optional --service-ms ms: f64
        /// Accepted data age of balance reads in ms; needs --check.
        optional --max-age-ms ms: f64
        /// Address of a primary database for creating tables and for checks.
        optional --check address: SocketAddr
        /// Address of a primary database that gets the same load first, for latency ratios.
        optional --baseline address: SocketAddr
        /// Seed of the random choices (default: 1).
        optional --seed seed: u64
        /// Prints only JSON.
        optional --json
    };
    let mut options = LoadOptions::new(flags.address, &flags.database);
    let millis = |millis: f64| Duration::from_secs_f64(millis.clamp(0.0, 1e9) / 1e3);
    options.mix = flags.mix.unwrap_or(options.mix);
    options.connections = flags.connections.unwrap_or(options.connections);
    options.rate = flags.rate.filter(|rate| *rate > 0.0);
    options.duration = millis(flags.seconds.unwrap_or(10.0) * 1e3);
    options.count = flags.count;
    options.labels = flags.labels;
    options.user = flags.user.unwrap_or(options.user);
    options.batch = flags.batch.unwrap_or(options.batch);
    options.meters = flags.meters.unwrap_or(options.meters).max(1);
    options.service_ms = flags.service_ms;
    options.max_age = flags.max_age_ms.map(millis);
    options.check_address = flags.check;
    options.baseline_address = flags.baseline;
    options.seed = flags.seed.unwrap_or(options.seed);
    let report = run(&options)?;
    println!("{}", serde_json::to_string(&report)?);
    if !flags.json {
        print!("{report}");
    }
    let is_clean = report.checks.is_none_or(|checks| checks.is_clean());
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::from(CHECKS_FAILED_CODE) })
}
