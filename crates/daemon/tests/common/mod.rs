//! Fakes and real `cicadawickd` processes for the functional tests.

#![allow(dead_code, clippy::unwrap_used)]

pub mod fleet;
pub mod history;

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use fake::crowd::{descriptor_count, process_memory};
use fake::fakedb::{DatabaseGroup, GroupOptions};
use fake::fakeplatform::FakePlatform;
use postgres::{Client, NoTls, SimpleQueryMessage};

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls until a condition holds; fails after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A running `cicadawickd`, killed on drop.
pub struct ProxyProcess {
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub admin_address: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl ProxyProcess {
    pub fn connect(&self) -> Client {
        self.try_connect("billing", "").unwrap()
    }

    pub fn try_connect(&self, database: &str, options: &str) -> Result<Client, postgres::Error> {
        let mut config = postgres::Config::new();
        config
            .host(&self.caller_address.ip().to_string())
            .port(self.caller_address.port())
            .user("vendor")
            .dbname(database)
            .connect_timeout(Duration::from_secs(5));
        if !options.is_empty() {
            config.options(options);
        }
        config.connect(NoTls)
    }

    pub fn get(&self, path: &str) -> serde_json::Value {
        let address = self.admin_address;
        let mut answer = ureq::get(format!("http://{address}{path}")).call().unwrap();
        answer.body_mut().read_json().unwrap()
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the daemon did not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn resident_bytes(&self) -> u64 {
        process_memory(self.child.id(), "VmRSS:").unwrap()
    }

    pub fn peak_resident_bytes(&self) -> u64 {
        process_memory(self.child.id(), "VmHWM:").unwrap()
    }

    pub fn descriptors(&self) -> usize {
        descriptor_count(self.child.id()).unwrap()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A database group, a platform and proxies in one data centre.
pub struct LocalFleet {
    pub group: DatabaseGroup,
    pub platform: FakePlatform,
    pub proxies: Vec<ProxyProcess>,
}

impl LocalFleet {
    pub fn start(proxies: usize) -> Self {
        LocalFleet::start_with(proxies, GroupOptions::new("billing", 3))
    }

    pub fn start_with(proxies: usize, options: GroupOptions) -> Self {
        LocalFleet::start_proxies(proxies, options, &serde_json::json!({}))
    }

    /// Starts one proxy with further settings.
    pub fn start_with_settings(settings: &serde_json::Value) -> Self {
        LocalFleet::start_proxies(1, GroupOptions::new("billing", 3), settings)
    }

    fn start_proxies(proxies: usize, options: GroupOptions, further: &serde_json::Value) -> Self {
        let group = DatabaseGroup::start(options.clone()).unwrap();
        let platform = FakePlatform::start(0).unwrap();
        let cluster = fake::cluster_entry("billing", "dc1", &group, &options);
        let configuration = serde_json::json!({
            "clusters": [cluster],
            "selectors": [{ "name": "all", "matches": "", "rank": "urgent", "deadline_ms": 10_000 }],
        });
        fake::publish_configuration(platform.address(), &configuration.to_string()).unwrap();
        let mut fleet = LocalFleet { group, platform, proxies: Vec::new() };
        for _ in 0..proxies {
            fleet.add_proxy_with(further);
        }
        for proxy in &fleet.proxies {
            wait_until("the proxies know each other", || {
                let dump = proxy.get("/v1/dump");
                dump["members"].as_array().is_some_and(|members| members.len() == proxies)
            });
            wait_until("the proxy serves writes", || {
                let client = proxy.try_connect("billing", "");
                client.is_ok_and(|mut client| {
                    client.batch_execute("CREATE TABLE IF NOT EXISTS ready (id bigint)").is_ok()
                })
            });
        }
        fleet
    }

    pub fn add_proxy(&mut self) {
        self.add_proxy_with(&serde_json::json!({}));
    }

    fn add_proxy_with(&mut self, further: &serde_json::Value) {
        let number = self.proxies.len() + 1;
        let peers: Vec<String> =
            self.proxies.iter().map(|proxy| proxy.peer_address.to_string()).collect();
        let mut settings = serde_json::json!({
            "name": format!("vm-{number}"),
            "data_centre": "dc1",
            "caller_address": "127.0.0.1:5432",
            "peer_address": "127.0.0.1:7400",
            "admin_address": "127.0.0.1:7401",
            "platform_address": self.platform.address().to_string(),
            "peers": peers,
            "drain_timeout_ms": 5_000,
            "log_level": std::env::var("CICADAWICK_TEST_LOG").unwrap_or("warn".to_owned()),
        });
        for (key, value) in further.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        self.proxies.push(start_proxy(&settings));
    }
}

/// Starts a daemon and waits until it is ready.
pub fn start_proxy(settings: &serde_json::Value) -> ProxyProcess {
    start_proxy_with(settings, None)
}

/// Starts a daemon that connects through the fault proxy's links listed in the file `dial`.
pub fn start_proxy_with(settings: &serde_json::Value, dial: Option<&Path>) -> ProxyProcess {
    let name = settings["name"].as_str().unwrap();
    let path = temporary_file(name);
    std::fs::write(&path, settings.to_string()).unwrap();
    let ready = path.with_extension("ready");
    let mut command = Command::new(env!("CARGO_BIN_EXE_cicadawickd"));
    command.arg("--settings").arg(&path).arg("--ready-file").arg(&ready);
    match dial {
        Some(dial) => command.env("CICADAWICK_TEST_DIAL", dial),
        // Concurrent tests could take ports that are chosen in advance.
        None => command.arg("--free-ports"),
    };
    let mut child = command.spawn().unwrap();
    let mut line = String::new();
    wait_until("the daemon is ready", || {
        let ended = child.try_wait().unwrap();
        assert!(ended.is_none(), "the daemon ended before it was ready: {ended:?}");
        line = std::fs::read_to_string(&ready).unwrap_or_default();
        !line.is_empty()
    });
    std::fs::remove_file(&ready).unwrap();
    let address = |key: &str| {
        let field = line.split_whitespace().find_map(|field| field.strip_prefix(key)).unwrap();
        field.parse().unwrap()
    };
    ProxyProcess {
        caller_address: address("caller_address="),
        peer_address: address("peer_address="),
        admin_address: address("admin_address="),
        settings: path,
        child,
    }
}

/// Returns the path of a temporary file that no other test uses.
pub fn temporary_file(name: &str) -> PathBuf {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("cicadawickd-{}-{number}-{name}.jsonc", std::process::id()))
}

/// Runs the binary until it exits; returns exit code, stdout and stderr.
pub fn run_binary(arguments: &[&str]) -> (i32, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cicadawickd"))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (mut out, mut err) = (String::new(), String::new());
    child.stdout.take().unwrap().read_to_string(&mut out).unwrap();
    child.stderr.take().unwrap().read_to_string(&mut err).unwrap();
    (child.wait().unwrap().code().unwrap(), out, err)
}

/// Runs a simple query and returns the text of all fields of all rows.
pub fn rows(client: &mut Client, sql: &str) -> Result<Vec<Vec<Option<String>>>, String> {
    let messages = client.simple_query(sql).map_err(|error| code(&error))?;
    Ok(messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => {
                Some((0..row.len()).map(|at| row.get(at).map(str::to_string)).collect())
            }
            _ => None,
        })
        .collect())
}

/// Returns an error's SQLSTATE, or `closed`.
pub fn code(error: &postgres::Error) -> String {
    error.code().map_or("closed", |code| code.code()).to_string()
}
