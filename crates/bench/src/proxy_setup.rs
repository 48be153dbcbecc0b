//! A fake database group, a fake platform and a `cicadawickd` process on the loopback interface.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use fake::fakedb::{DatabaseGroup, GroupOptions};
use fake::fakeplatform::FakePlatform;

/// Name of the cluster, and the database name that clients connect to.
pub const CLUSTER_NAME: &str = "billing";

/// Time limit for the daemon to start and for it to serve a write.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon with its databases and platform; dropping it stops all of them.
pub struct ProxySetup {
    pub group: DatabaseGroup,
    pub proxy_address: SocketAddr,
    _platform: FakePlatform,
    daemon: Child,
    files: [PathBuf; 2],
}

impl ProxySetup {
    /// Starts a group with `options`, a platform and the `cicadawickd` beside this executable, and
    /// waits until the proxy serves a write. Requests labelled `kind=durable` are durable.
    ///
    /// # Errors
    ///
    /// Fails if the executable is missing or a part does not start within 10 s.
    pub fn start(options: &GroupOptions) -> anyhow::Result<Self> {
        let binary = std::env::current_exe()?.with_file_name("cicadawickd");
        if !binary.exists() {
            bail!("no {}: build it with `cargo build --release -p daemon`", binary.display());
        }
        let group = DatabaseGroup::start(options.clone())?;
        let platform = FakePlatform::start(0)?;
        write_config(&group, options, platform.address())?;
        let name = format!("cicadawick-bench-{}", std::process::id());
        let settings_file = std::env::temp_dir().join(format!("{name}.jsonc"));
        let ready_file = std::env::temp_dir().join(format!("{name}.ready"));
        let settings = serde_json::json!({
            "name": "vm-1",
            "data_centre": "dc1",
            "caller_address": free_address()?.to_string(),
            "peer_address": free_address()?.to_string(),
            "admin_address": free_address()?.to_string(),
            "platform_address": platform.address().to_string(),
            "log_level": "error",
        });
        std::fs::write(&settings_file, settings.to_string())
            .with_context(|| format!("failed to write {}", settings_file.display()))?;
        let daemon = Command::new(&binary)
            .arg("--settings")
            .arg(&settings_file)
            .arg("--ready-file")
            .arg(&ready_file)
            .spawn()
            .with_context(|| format!("failed to start {}", binary.display()))?;
        let mut setup = ProxySetup {
            group,
            proxy_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            _platform: platform,
            daemon,
            files: [settings_file, ready_file],
        };
        setup.proxy_address = setup.wait_for_address()?;
        fake::wait_until_served(setup.proxy_address, CLUSTER_NAME, START_TIMEOUT)?;
        Ok(setup)
    }

    /// Returns the resident size of the daemon in bytes.
    ///
    /// # Errors
    ///
    /// This and the next method fail if `/proc` does not show the process.
    pub fn resident_bytes(&self) -> anyhow::Result<u64> {
        let status = self.proc_file("status")?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(kilobytes.context("the status of the daemon shows no VmRSS")?.parse::<u64>()? * 1_024)
    }

    /// Returns the processor time of the daemon's event loop.
    ///
    /// # Errors
    ///
    /// See [`ProxySetup::resident_bytes`].
    pub fn loop_time(&self) -> anyhow::Result<Duration> {
        // In nanoseconds. Covers only the main thread, which runs the event loop.
        let schedstat = self.proc_file("schedstat")?;
        let nanos =
            schedstat.split_whitespace().next().context("the schedstat of the daemon is empty")?;
        Ok(Duration::from_nanos(nanos.parse()?))
    }

    fn proc_file(&self, name: &str) -> anyhow::Result<String> {
        let path = format!("/proc/{}/{name}", self.daemon.id());
        std::fs::read_to_string(&path).with_context(|| format!("failed to read {path}"))
    }

    fn wait_for_address(&self) -> anyhow::Result<SocketAddr> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            let line = std::fs::read_to_string(&self.files[1]).unwrap_or_default();
            let mut fields = line.split_whitespace();
            if let Some(address) = fields.find_map(|field| field.strip_prefix("caller_address=")) {
                return Ok(address.parse()?);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        bail!("the daemon was not ready within {START_TIMEOUT:?}");
    }
}

impl Drop for ProxySetup {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.daemon.kill();
        let _ = self.daemon.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn write_config(
    group: &DatabaseGroup,
    options: &GroupOptions,
    platform: SocketAddr,
) -> anyhow::Result<()> {
    let fleet = serde_json::json!({
        "clusters": [fake::cluster_entry(CLUSTER_NAME, "dc1", group, options)],
        "selectors": [
            { "name": "durable", "matches": "kind=durable", "rank": "urgent", "durable": true },
            { "name": "other", "matches": "", "rank": "interactive" },
        ],
    });
    fake::publish_configuration(platform, &fleet.to_string())
}
