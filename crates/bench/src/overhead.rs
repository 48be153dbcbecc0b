//! Overhead of a proxy: latency, throughput and processor time compared with the same load on the
//! database itself, and memory per idle client connection.
//!
//! The fake databases have no service time, so the figures show the cost of the proxy. A closed loop
//! of clients measures the database and the proxy in the same run, one after the other.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anyhow::{Context, bail};
use fake::fakedb::GroupOptions;
use fake::loadgen::{KindReport, LoadKind, LoadMix, LoadOptions};

use crate::proxy_setup::{CLUSTER_NAME, ProxySetup};

/// Numbers of connections of the closed loops.
const CONNECTION_COUNTS: [usize; 4] = [1, 8, 64, 256];

/// Numbers of idle connections at which the resident size is read.
const IDLE_CONNECTION_COUNTS: [usize; 4] = [100, 1_000, 4_000, 8_500];

/// Target for the median latency added to one connection on the loopback interface.
const ADDED_LATENCY_TARGET_US: f64 = 500.0;

/// Target for the resident size of a daemon with all client connections of a node.
const RESIDENT_TARGET_BYTES: u64 = 500_000_000;

/// Open files reserved for everything but idle connections, which need one each.
const RESERVED_FILES: usize = 300;

/// Pause before the resident size is read, in which the daemon becomes idle.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Kinds of requests: name, load kind, labels.
const REQUEST_KINDS: [(&str, LoadKind, &str); 4] = [
    ("read", LoadKind::Balance, "kind=plain"),
    ("write", LoadKind::Reading, "kind=plain"),
    ("durable write", LoadKind::Reading, "kind=durable"),
    ("keyed token", LoadKind::Token, "kind=durable"),
];

/// Measures and prints latency, throughput and memory. Each load lasts `seconds`.
///
/// # Errors
///
/// Fails if the fakes or the daemon do not start.
pub fn run(seconds: f64, idle: bool) -> anyhow::Result<()> {
    let mut options = GroupOptions::new(CLUSTER_NAME, 3);
    options.slots = 16;
    options.connections = 1_000;
    let setup = ProxySetup::start(&options)?;
    measure_loads(&setup, seconds)?;
    drop(setup);
    if idle {
        // Starts a new process, so that memory retained after the loads does not count.
        measure_idle(&ProxySetup::start(&options)?)?;
    }
    Ok(())
}

fn measure_loads(setup: &ProxySetup, seconds: f64) -> anyhow::Result<()> {
    println!(
        "{:<14} {:>5} {:>10} {:>10} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>6}",
        "work",
        "conns",
        "direct/s",
        "proxy/s",
        "ratio",
        "p50 dir",
        "p50 prx",
        "p99 dir",
        "p99 prx",
        "added p50",
        "loop us",
        "errors"
    );
    let primary = setup.group.primary().context("the group has no primary")?;
    let direct_address = setup.group.address(&primary)?;
    for (name, kind, labels) in REQUEST_KINDS {
        for connections in CONNECTION_COUNTS {
            let load = |address: SocketAddr| -> anyhow::Result<KindReport> {
                let mut options = LoadOptions::new(address, CLUSTER_NAME);
                options.connections = connections;
                options.labels = Some(labels.to_string());
                options.mix = LoadMix(vec![(kind, 1)]);
                options.duration = Duration::from_secs_f64(seconds);
                let report = fake::loadgen::run(&options)?;
                if !report.connect_errors.is_empty() {
                    bail!("failed to connect: {:?}", report.connect_errors);
                }
                report.kinds.get(&kind).cloned().context("the load sent nothing")
            };
            let direct = load(direct_address)?;
            let before = setup.loop_time()?;
            let proxy = load(setup.proxy_address)?;
            let loop_time = setup.loop_time()?.saturating_sub(before);
            let added = proxy.p50_us as f64 - direct.p50_us as f64;
            println!(
                "{:<14} {:>5} {:>10.0} {:>10.0} {:>6.2} {:>8} {:>8} {:>8} {:>8} {:>9.0} {:>9.1} \
                 {:>6}{}",
                name,
                connections,
                direct.per_second,
                proxy.per_second,
                proxy.per_second / direct.per_second,
                direct.p50_us,
                proxy.p50_us,
                direct.p99_us,
                proxy.p99_us,
                added,
                loop_time.as_secs_f64() * 1e6 / proxy.count.max(1) as f64,
                proxy.errors.values().sum::<u64>(),
                if connections == 1 && added > ADDED_LATENCY_TARGET_US {
                    "  above the target of 500 us"
                } else {
                    ""
                }
            );
        }
    }
    Ok(())
}

/// Opens idle connections and prints the resident size of the daemon.
fn measure_idle(setup: &ProxySetup) -> anyhow::Result<()> {
    let available = open_file_limit()?.saturating_sub(RESERVED_FILES);
    let mut connections = Vec::new();
    let mut points = vec![(0.0, setup.resident_bytes()? as f64)];
    println!("\n{:>12} {:>14} {:>16}", "idle callers", "resident bytes", "bytes per caller");
    for count in IDLE_CONNECTION_COUNTS {
        if count > available {
            println!("{count:>12} not run: the limit of open files leaves room for {available}");
            continue;
        }
        while connections.len() < count {
            let connection = open_connection(setup.proxy_address, CLUSTER_NAME);
            connections.push(
                connection.with_context(|| {
                    format!("failed with {} open connections", connections.len())
                })?,
            );
        }
        print_resident(setup, &mut points, count)?;
    }
    println!("slope {:.0} bytes per idle caller", slope(&points));
    for connection in &mut connections {
        query(connection, "SELECT id FROM ready")?;
    }
    println!("after one read by each caller:");
    print_resident(setup, &mut points, connections.len())?;
    for connection in &mut connections {
        query(connection, "INSERT INTO ready (id) VALUES (1)")?;
    }
    println!("after one write by each caller:");
    print_resident(setup, &mut points, connections.len())?;
    Ok(())
}

fn print_resident(
    setup: &ProxySetup,
    points: &mut Vec<(f64, f64)>,
    count: usize,
) -> anyhow::Result<()> {
    std::thread::sleep(SETTLE_TIME);
    let resident = setup.resident_bytes()?;
    let base = points[0].1;
    points.push((count as f64, resident as f64));
    println!(
        "{count:>12} {resident:>14} {:>16.0}{}",
        (resident as f64 - base) / count.max(1) as f64,
        if resident > RESIDENT_TARGET_BYTES { "  above the target of 0.5 GB" } else { "" }
    );
    Ok(())
}

/// Returns the slope of the least-squares line.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

/// Returns the soft limit of open files of this process, which the daemon inherits.
fn open_file_limit() -> anyhow::Result<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits")?;
    let line = limits.lines().find(|line| line.starts_with("Max open files"));
    let soft = line
        .and_then(|line| line.split_whitespace().nth(3))
        .context("/proc/self/limits shows no limit of open files")?;
    Ok(soft.parse().unwrap_or(usize::MAX))
}

/// Connects with a bare start-up message and reads up to the first `ReadyForQuery`.
pub(crate) fn open_connection(address: SocketAddr, database: &str) -> anyhow::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let parameters = format!("user\0bench\0database\0{database}\0\0");
    // Protocol version 3.0.
    let mut packet = Vec::from((8 + parameters.len() as u32).to_be_bytes());
    packet.extend_from_slice(&[0, 3, 0, 0]);
    packet.extend_from_slice(parameters.as_bytes());
    stream.write_all(&packet)?;
    read_until_ready(&mut stream)?;
    Ok(stream)
}

fn query(stream: &mut TcpStream, text: &str) -> anyhow::Result<()> {
    stream.write_all(&query_packet(text))?;
    read_until_ready(stream)?;
    Ok(())
}

/// Returns a simple query message.
pub(crate) fn query_packet(text: &str) -> Vec<u8> {
    let mut packet = vec![b'Q'];
    packet.extend_from_slice(&(5 + text.len() as u32).to_be_bytes());
    packet.extend_from_slice(text.as_bytes());
    packet.push(0);
    packet
}

/// Reads up to the next `ReadyForQuery`; returns the bytes read.
pub(crate) fn read_until_ready(stream: &mut TcpStream) -> anyhow::Result<usize> {
    let mut bytes = 0;
    loop {
        let mut header = [0; 5];
        stream.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut body = vec![0; (length as usize).saturating_sub(4).min(65_536)];
        stream.read_exact(&mut body)?;
        bytes += header.len() + body.len();
        match header[0] {
            b'Z' => return Ok(bytes),
            b'E' => bail!("error: {}", String::from_utf8_lossy(&body).replace('\0', " ")),
            _ => {}
        }
    }
}
