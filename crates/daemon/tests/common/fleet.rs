//! Real daemons in several data centres, with a fault proxy on every network link that a test may
//! cut.
//!
//! Each node reaches each database, the platform and each node of another data centre through a link
//! of the fault proxy, named `NODE/TARGET` by [`link_name`]. Nodes of one data centre connect
//! directly, because no test cuts these links.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

use fake::fakedb::{DatabaseGroup, GroupOptions};
use fake::fakeplatform::{FakePlatform, FakeVm};
use fake::faultproxy::FaultProxy;
use fake::port::PortReservation;
use serde_json::{Value, json};

use super::{ProxyProcess, start_proxy_with, temporary_file, wait_until};

/// Maximum number of concurrent fleets in one test process. With more, CPU contention decides the
/// results.
const CONCURRENT_FLEET_LIMIT: usize = 3;

static RUNNING_FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// Permit to run a fleet, released on drop.
struct FleetPermit;

impl FleetPermit {
    fn wait() -> Self {
        let mut running = RUNNING_FLEETS.lock().unwrap_or_else(|error| error.into_inner());
        while *running >= CONCURRENT_FLEET_LIMIT {
            running = FLEET_ENDED.wait(running).unwrap_or_else(|error| error.into_inner());
        }
        *running += 1;
        FleetPermit
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING_FLEETS.lock().unwrap_or_else(|error| error.into_inner()) -= 1;
        FLEET_ENDED.notify_one();
    }
}

/// Size of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub data_centres: usize,
    pub nodes: usize,
    pub clusters: usize,
    pub databases: usize,
    pub slots: u32,
    pub connections: u32,
    /// Time to open a connection to a database.
    pub open_time: Duration,
    /// One-way delay between data centres.
    pub link_delay: Duration,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            data_centres: 3,
            nodes: 5,
            clusters: 1,
            databases: 3,
            slots: 2,
            connections: 16,
            open_time: Duration::from_millis(12),
            link_delay: Duration::ZERO,
        }
    }
}

/// Returns the name of a cluster.
pub fn cluster_name(cluster: usize) -> String {
    format!("billing-{cluster}")
}

/// Returns the name of the link from a node to a database, a node or the platform.
pub fn link_name(node: usize, target: &str) -> String {
    format!("{}/{target}", node_name(node))
}

pub fn node_name(node: usize) -> String {
    format!("vm-{node}")
}

fn centre_name(centre: usize) -> String {
    format!("dc{centre}")
}

/// A platform, database groups, a fault proxy and daemons, all stopped on drop.
pub struct TestFleet {
    /// `None` while a node is stopped. Declared first, so that the nodes end before the fakes.
    pub nodes: Vec<Option<ProxyProcess>>,
    pub links: FaultProxy,
    pub groups: Vec<DatabaseGroup>,
    pub platform: FakePlatform,
    pub options: FleetOptions,
    peer_addresses: Vec<SocketAddr>,
    /// Reservations of the nodes' ports. The fault proxy and the other nodes' settings name the peer
    /// ports, so a node cannot choose its own.
    reserved: Vec<PortReservation>,
    dial_files: Vec<PathBuf>,
    _permit: FleetPermit,
}

impl TestFleet {
    /// Starts a fleet and waits until all nodes know each other and each cluster accepts writes
    /// through each node.
    pub fn start(options: FleetOptions) -> Self {
        let mut fleet = TestFleet::prepare(options);
        for node in 0..fleet.options.nodes {
            fleet.start_node(node);
        }
        for cluster in 0..fleet.options.clusters {
            for node in 0..fleet.options.nodes {
                wait_until("the node serves writes", || fleet.accepts_write(node, cluster));
            }
        }
        wait_until("the nodes know each other", || {
            (0..fleet.options.nodes)
                .all(|node| fleet.live_members(node).len() == fleet.options.nodes)
        });
        fleet
    }

    /// Starts everything but the nodes.
    pub fn prepare(options: FleetOptions) -> Self {
        if !cfg!(debug_assertions) {
            panic!("daemons without debug assertions ignore the fault proxy's dial file");
        }
        let permit = FleetPermit::wait();
        let platform = FakePlatform::start(0).unwrap();
        let groups: Vec<DatabaseGroup> = (0..options.clusters)
            .map(|cluster| {
                let mut group = GroupOptions::new(&cluster_name(cluster), options.databases);
                group.slots = options.slots;
                group.connections = options.connections;
                group.open_time = options.open_time;
                DatabaseGroup::start(group).unwrap()
            })
            .collect();
        let reserved: Vec<PortReservation> =
            (0..options.nodes).map(|_| PortReservation::new().unwrap()).collect();
        let peer_addresses: Vec<SocketAddr> =
            reserved.iter().map(|port| port.address().unwrap()).collect();

        let centre = |index: usize| index % options.data_centres;
        let mut upstreams = Vec::new();
        let mut delayed = Vec::new();
        for node in 0..options.nodes {
            upstreams.push((link_name(node, "platform"), platform.address()));
            for (cluster, group) in groups.iter().enumerate() {
                for (at, name) in group.names().iter().enumerate() {
                    upstreams.push((link_name(node, name), group.addresses()[at]));
                    if centre(node) != centre(cluster + at) {
                        delayed.push(link_name(node, name));
                    }
                }
            }
            for (other, address) in peer_addresses.iter().enumerate() {
                if centre(node) != centre(other) {
                    upstreams.push((link_name(node, &node_name(other)), *address));
                    delayed.push(link_name(node, &node_name(other)));
                }
            }
        }
        let links = FaultProxy::start(&upstreams, 0).unwrap();
        if !options.link_delay.is_zero() {
            for name in &delayed {
                links.set_delay(name, options.link_delay, options.link_delay).unwrap();
            }
        }
        let dial_files = (0..options.nodes)
            .map(|node| {
                let path = temporary_file(&format!("{}-dial", node_name(node)));
                let lines: Vec<String> = upstreams
                    .iter()
                    .filter(|(name, _)| name.starts_with(&link_name(node, "")))
                    .map(|(name, address)| format!("{address} {}\n", links.address(name).unwrap()))
                    .collect();
                std::fs::write(&path, lines.concat()).unwrap();
                path
            })
            .collect();
        let fleet = TestFleet {
            nodes: (0..options.nodes).map(|_| None).collect(),
            links,
            groups,
            platform,
            options,
            peer_addresses,
            reserved,
            dial_files,
            _permit: permit,
        };
        let text = fleet.configuration(4_000);
        fake::publish_configuration(fleet.platform.address(), &text).unwrap();
        fleet
    }

    /// Returns the configuration with a deadline in ms for all requests, which tests change.
    pub fn configuration(&self, deadline_ms: u64) -> String {
        let clusters: Vec<Value> = self
            .groups
            .iter()
            .enumerate()
            .map(|(cluster, group)| {
                let databases: Vec<Value> = group
                    .names()
                    .iter()
                    .zip(group.addresses())
                    .enumerate()
                    .map(|(at, (name, address))| {
                        let centre = (cluster + at) % self.options.data_centres;
                        json!({
                            "name": name, "data_centre": centre_name(centre),
                            "address": address.to_string(), "slots": self.options.slots,
                            "connections": self.options.connections,
                        })
                    })
                    .collect();
                json!({ "name": cluster_name(cluster), "databases": databases })
            })
            .collect();
        let selectors = json!([
            { "name": "payments", "matches": "kind=payment", "rank": "urgent",
              "deadline_ms": deadline_ms, "durable": true },
            { "name": "all", "matches": "", "rank": "interactive", "deadline_ms": deadline_ms },
        ]);
        json!({ "clusters": clusters, "selectors": selectors }).to_string()
    }

    /// Starts a node, or restarts it with the same peer address.
    pub fn start_node(&mut self, node: usize) {
        let (client_port, admin_port) =
            (PortReservation::new().unwrap(), PortReservation::new().unwrap());
        let peers: Vec<String> = self
            .peer_addresses
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != node)
            .map(|(_, address)| address.to_string())
            .collect();
        let settings = json!({
            "name": node_name(node),
            "data_centre": centre_name(self.centre(node)),
            "caller_address": client_port.address().unwrap().to_string(),
            "peer_address": self.peer_addresses[node].to_string(),
            "admin_address": admin_port.address().unwrap().to_string(),
            "platform_address": self.links.address(&link_name(node, "platform")).unwrap().to_string(),
            "peers": peers,
            "drain_timeout_ms": 2_000,
            "log_level": std::env::var("CICADAWICK_TEST_LOG").unwrap_or("error".to_owned()),
        });
        self.reserved.extend([client_port, admin_port]);
        let proxy = start_proxy_with(&settings, Some(&self.dial_files[node]));
        self.platform.put_vm(FakeVm {
            name: node_name(node),
            data_centre: centre_name(self.centre(node)),
            peer_address: proxy.peer_address,
            admin_port: proxy.admin_address.port(),
            leaving: false,
        });
        self.nodes[node] = Some(proxy);
    }

    /// Stops a node gracefully.
    pub fn stop_node(&mut self, node: usize) {
        let mut proxy = self.nodes[node].take().unwrap();
        proxy.signal("-TERM");
        assert!(proxy.wait().success());
        self.platform.remove_vm(&node_name(node));
    }

    pub fn node(&self, node: usize) -> &ProxyProcess {
        self.nodes[node].as_ref().unwrap()
    }

    /// Returns the data centre of a node.
    pub fn centre(&self, node: usize) -> usize {
        node % self.options.data_centres
    }

    pub fn nodes_in(&self, centre: usize) -> Vec<usize> {
        (0..self.options.nodes).filter(|node| self.centre(*node) == centre).collect()
    }

    /// Returns the data centre of a database by its index in its group.
    pub fn centre_of_database(&self, cluster: usize, at: usize) -> usize {
        (cluster + at) % self.options.data_centres
    }

    /// Returns the names of the members that a node considers alive.
    pub fn live_members(&self, node: usize) -> Vec<String> {
        let dump = self.node(node).get("/v1/dump");
        let members = dump["members"].as_array().unwrap();
        let live = members.iter().filter(|member| member["state"] == "alive");
        live.map(|member| member["name"].as_str().unwrap().to_owned()).collect()
    }

    /// Returns whether a cluster currently accepts a durable write through a node.
    pub fn accepts_write(&self, node: usize, cluster: usize) -> bool {
        let client = self
            .node(node)
            .try_connect(&cluster_name(cluster), "-c cicadawick.labels=kind=payment");
        client.is_ok_and(|mut client| {
            client.batch_execute("CREATE TABLE IF NOT EXISTS ready (id bigint)").is_ok()
                && client.batch_execute("INSERT INTO ready VALUES (1)").is_ok()
        })
    }

    /// Partitions a data centre from the others and optionally from the platform, or heals the
    /// partition. Healed links drop their connections, because the fault proxy never relays a stream
    /// with a gap.
    pub fn set_partitioned(&self, centre: usize, partitioned: bool, with_platform: bool) {
        for (cluster, group) in self.groups.iter().enumerate() {
            for (at, name) in group.names().iter().enumerate() {
                let database_centre = self.centre_of_database(cluster, at);
                if database_centre == centre {
                    match partitioned {
                        true => group.disconnect_replication(name).unwrap(),
                        false => group.reconnect_replication(name).unwrap(),
                    }
                }
                for node in 0..self.options.nodes {
                    if (self.centre(node) == centre) != (database_centre == centre) {
                        self.set_cut(&link_name(node, name), partitioned);
                    }
                }
            }
        }
        for node in 0..self.options.nodes {
            for other in 0..self.options.nodes {
                if (self.centre(node) == centre) != (self.centre(other) == centre) {
                    self.set_cut(&link_name(node, &node_name(other)), partitioned);
                }
            }
            if self.centre(node) == centre && with_platform {
                self.set_cut(&link_name(node, "platform"), partitioned);
            }
        }
    }

    fn set_cut(&self, name: &str, cut: bool) {
        self.links.set_cut(name, cut, cut).unwrap();
        if !cut {
            self.links.reset_connections(name).unwrap();
        }
    }

    /// Returns the revision of the configuration that is active on a node.
    pub fn revision(&self, node: usize) -> u64 {
        self.node(node).get("/v1/rollout")["revision"].as_u64().unwrap_or(0)
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        for file in &self.dial_files {
            let _ = std::fs::remove_file(file);
        }
    }
}

/// Returns the path of the operators' CLI, which is built on first use because it is another crate.
pub fn cli_binary() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT
        .get_or_init(|| {
            let daemon = PathBuf::from(env!("CARGO_BIN_EXE_cicadawickd"));
            let mut cargo = Command::new(std::env::var("CARGO").unwrap_or("cargo".to_owned()));
            cargo.args(["build", "--quiet", "--locked", "-p", "cli", "--bin", "cicadawick"]);
            if daemon.parent().is_some_and(|directory| directory.ends_with("release")) {
                cargo.arg("--release");
            }
            assert!(cargo.status().unwrap().success());
            daemon.with_file_name("cicadawick")
        })
        .clone()
}

/// Exit code, stdout and stderr of a run of the operators' CLI.
#[derive(Debug)]
pub struct CliRun {
    pub code: i32,
    pub out: String,
    pub err: String,
    pub elapsed: Duration,
}

/// Runs the operators' CLI against a platform.
pub fn run_cli(platform: SocketAddr, arguments: &[&str]) -> CliRun {
    // The first use builds the program, which may wait for another build.
    let binary = cli_binary();
    let started = Instant::now();
    let output = Command::new(binary)
        .args(["--platform", &platform.to_string()])
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    CliRun {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
        elapsed: started.elapsed(),
    }
}
