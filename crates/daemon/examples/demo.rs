//! Runs a proxy between fakes of a platform and of databases on the loopback interface, puts it under
//! load and checks what clients were told.
//!
//! A platform, a group of three databases and `cicadawickd`'s event loop run as threads of this
//! process. The exit code is 0 if every check passes and 1 otherwise.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, bail};
use daemon::{ReadyAddresses, RunOptions, StopHandle};
use fake::fakedb::{DatabaseGroup, GroupOptions};
use fake::fakeplatform::FakePlatform;
use fake::loadgen::{LoadKind, LoadMix, LoadOptions, LoadReport};
use model::{Micros, NodeSettings};

mod flags {
    xflags::xflags! {
        /// Runs a platform, three databases and a proxy on the loopback interface, loads the proxy
        /// for three seconds and checks the result.
        ///
        /// Exit codes: 0 if every check passes, 1 otherwise, 2 for a bad command line.
        cmd demo {
            /// Keep running after the checks until the process is interrupted.
            optional --stay
        }
    }
}

const CLUSTER: &str = "billing";

/// Duration of each of the three loads.
const LOAD_DURATION: Duration = Duration::from_secs(1);

/// Accepted data age of balance reads.
const BALANCE_MAX_AGE: Duration = Duration::from_millis(1_000);

/// Time in which the proxy must start and find the primary.
const START_TIMEOUT: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    let flags = match flags::Demo::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match run(flags.stay) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the demo; returns whether every check passed.
fn run(stay: bool) -> anyhow::Result<bool> {
    daemon::start_logging("error")?;
    // Replicas apply 20 ms late, so that data-age proofs decide which database may serve a read.
    let mut options = GroupOptions::new(CLUSTER, 3);
    options.apply_lag = Duration::from_millis(20);
    let group = DatabaseGroup::start(options.clone())?;
    let platform = FakePlatform::start(0)?;
    write_config(&group, &options, platform.address())?;
    let proxy = ProxyThread::start(platform.address())?;
    fake::wait_until_served(proxy.addresses.caller_address, CLUSTER, START_TIMEOUT)?;

    let client_address = proxy.addresses.caller_address;
    println!("proxy     postgresql://vendor@{client_address}/{CLUSTER}");
    println!("operators http://{}/v1/dump", proxy.addresses.admin_address);
    println!("platform  http://{}", platform.address());
    for (name, address) in group.names().iter().zip(group.addresses()) {
        println!("database  {address} {name}");
    }
    println!();

    let mut checks = CheckTable::default();
    let mut loads = Vec::new();
    for (labels, mix) in [
        ("kind=vendor", vec![(LoadKind::Token, 1), (LoadKind::Session, 2)]),
        ("kind=kiosk", vec![(LoadKind::Balance, 1)]),
        ("kind=meter", vec![(LoadKind::Reading, 1)]),
    ] {
        let primary = group.primary().context("the group has no primary")?;
        let mut options = LoadOptions::new(client_address, CLUSTER);
        options.user = "vendor".to_string();
        options.labels = Some(labels.to_string());
        options.connections = 8;
        options.max_age = (labels == "kind=kiosk").then_some(BALANCE_MAX_AGE);
        options.mix = LoadMix(mix);
        options.duration = LOAD_DURATION;
        options.check_address = Some(group.address(&primary)?);
        let report = fake::loadgen::run(&options)?;
        checks.add(&report);
        loads.push(report);
    }
    print_loads(&loads);
    checks.print();
    let passed = checks.passed();
    println!("{}", if passed { "all checks passed" } else { "a check FAILED" });
    if stay {
        println!("running until interrupted");
        proxy.wait()?;
    } else {
        proxy.stop()?;
    }
    Ok(passed)
}

fn write_config(
    group: &DatabaseGroup,
    options: &GroupOptions,
    platform: SocketAddr,
) -> anyhow::Result<()> {
    let fleet = serde_json::json!({
        "clusters": [fake::cluster_entry(CLUSTER, "north-1", group, options)],
        "selectors": [
            { "name": "purchases", "matches": "kind=vendor", "rank": "urgent", "durable": true },
            { "name": "balances", "matches": "kind=kiosk", "rank": "interactive",
              "max_age_ms": BALANCE_MAX_AGE.as_millis() as u64 },
            { "name": "readings", "matches": "", "rank": "batch" },
        ],
    });
    fake::publish_configuration(platform, &fleet.to_string())
}

/// A daemon whose event loop runs on a thread of its own.
struct ProxyThread {
    addresses: ReadyAddresses,
    handle: StopHandle,
    thread: std::thread::JoinHandle<Result<(), daemon::DaemonError>>,
}

impl ProxyThread {
    fn start(platform: SocketAddr) -> anyhow::Result<Self> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = NodeSettings {
            name: "vm-1".into(),
            data_centre: "north-1".into(),
            caller_address: any_port,
            peer_address: any_port,
            admin_address: any_port,
            platform_address: platform,
            peers: Vec::new(),
            metrics_address: None,
            database_user: "cicadawick".into(),
            caller_limit: 20_000,
            request_limit_bytes: 1_048_576,
            drain_timeout: Micros::from_millis(2_000),
            log_level: "error".into(),
        };
        let (sender, receiver) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let ready = move |addresses, handle| drop(sender.send((addresses, handle)));
            let options = RunOptions { ready: Some(Box::new(ready)), handle_signals: true };
            daemon::run(settings, options)
        });
        let (addresses, handle) =
            receiver.recv_timeout(START_TIMEOUT).context("the proxy did not start")?;
        Ok(ProxyThread { addresses, handle, thread })
    }

    /// Waits until a signal has stopped the proxy.
    fn wait(self) -> anyhow::Result<()> {
        match self.thread.join() {
            Ok(result) => Ok(result?),
            Err(_) => bail!("the proxy's thread panicked"),
        }
    }

    fn stop(self) -> anyhow::Result<()> {
        self.handle.stop();
        self.wait()
    }
}

/// Sums of the loads' check results.
#[derive(Default)]
struct CheckTable {
    acknowledged: u64,
    missing: u64,
    duplicated: u64,
    refused: u64,
    refused_present: u64,
    session_reads: u64,
    session_violations: u64,
    age_reads: u64,
    age_violations: u64,
    requests: u64,
    errors: u64,
}

impl CheckTable {
    fn add(&mut self, report: &LoadReport) {
        self.errors += report.connect_errors.values().sum::<u64>();
        self.errors +=
            report.kinds.values().flat_map(|kind| kind.errors.values()).copied().sum::<u64>();
        self.requests += report.kinds.values().map(|kind| kind.count).sum::<u64>();
        let Some(checks) = &report.checks else { return };
        self.acknowledged += checks.tokens_acknowledged;
        self.missing += checks.tokens_missing;
        self.duplicated += checks.tokens_duplicated;
        self.refused += checks.tokens_refused;
        self.refused_present += checks.tokens_refused_present;
        self.session_reads += checks.session_reads;
        self.session_violations += checks.session_violations;
        self.age_reads += checks.age_reads;
        self.age_violations += checks.age_violations;
    }

    /// Returns name, number checked and number failed of each check.
    fn rows(&self) -> [(&'static str, u64, u64); 6] {
        [
            ("acknowledged tokens present", self.acknowledged, self.missing),
            ("acknowledged tokens present once", self.acknowledged, self.duplicated),
            ("refused tokens absent", self.refused, self.refused_present),
            (
                "reads that show the session's own write",
                self.session_reads,
                self.session_violations,
            ),
            ("balances no older than 1 s", self.age_reads, self.age_violations),
            ("requests without an error", self.requests, self.errors),
        ]
    }

    /// Returns whether all checks passed. A check without samples fails, except for refused tokens,
    /// of which there should be none.
    fn passed(&self) -> bool {
        let checked = self.acknowledged > 0 && self.session_reads > 0 && self.age_reads > 0;
        checked && self.rows().iter().all(|(_, _, failed)| *failed == 0)
    }

    fn print(&self) {
        println!("{:<42} {:>9} {:>7}", "check", "checked", "failed");
        for (name, checked, failed) in self.rows() {
            println!("{name:<42} {checked:>9} {failed:>7}");
        }
        println!();
    }
}

fn print_loads(loads: &[LoadReport]) {
    println!(
        "{:<10} {:>9} {:>7} {:>10} {:>9} {:>9}",
        "work", "requests", "errors", "per s", "p50 us", "p99 us"
    );
    for (kind, report) in loads.iter().flat_map(|load| &load.kinds) {
        println!(
            "{:<10} {:>9} {:>7} {:>10.0} {:>9} {:>9}",
            format!("{kind:?}").to_lowercase(),
            report.count,
            report.errors.values().sum::<u64>(),
            report.per_second,
            report.p50_us,
            report.p99_us
        );
    }
    println!();
}
