//! Cost of the way through a proxy: latency, throughput and processor time against the same load on
//! the database itself, and memory per idle caller.
//!
//! The stand-in databases take no time for a statement, so the figures show the proxy's own cost. A
//! closed loop of callers measures both sides in the same run, one after the other.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anyhow::{Context, bail};
use fake::fakedb::GroupOptions;
use fake::loadgen::{KindReport, LoadKind, LoadMix, LoadOptions};

use crate::surroundings::{CLUSTER, ProxySurroundings};

/// Connections of the closed loops.
const CONNECTIONS: [usize; 4] = [1, 8, 64, 256];

/// Numbers of idle callers at which the resident size is read.
const IDLE_CALLERS: [usize; 4] = [100, 1_000, 4_000, 8_500];

/// Accepted addition to the median latency of one connection on the loopback interface.
const ADDED_AIM_US: f64 = 500.0;

/// Target for all callers of a node.
const IDLE_TARGET_BYTES: u64 = 500_000_000;

/// Open files beyond one per idle caller.
const SPARE_FILES: usize = 300;

/// Time for the daemon to settle before its resident size is read.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A kind of work: name, request kind, labels.
const WORK: [(&str, LoadKind, &str); 4] = [
    ("read", LoadKind::Balance, "kind=plain"),
    ("write", LoadKind::Reading, "kind=plain"),
    ("durable write", LoadKind::Reading, "kind=durable"),
    ("keyed token", LoadKind::Token, "kind=durable"),
];

/// Measures and prints latency, throughput and memory. Each load lasts `seconds`.
///
/// # Errors
///
/// Fails if the stand-ins or the daemon do not start.
pub fn run(seconds: f64, idle: bool) -> anyhow::Result<()> {
    let mut options = GroupOptions::new(CLUSTER, 3);
    options.slots = 16;
    options.connections = 1_000;
    let surroundings = ProxySurroundings::start(&options)?;
    measure_loads(&surroundings, seconds)?;
    drop(surroundings);
    if idle {
        // A new process, whose allocator holds nothing from the loads.
        measure_idle(&ProxySurroundings::start(&options)?)?;
    }
    Ok(())
}

fn measure_loads(surroundings: &ProxySurroundings, seconds: f64) -> anyhow::Result<()> {
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
    let primary = surroundings.group.primary().context("the group has no primary")?;
    let direct_address = surroundings.group.address(&primary)?;
    for (name, kind, labels) in WORK {
        for connections in CONNECTIONS {
            let load = |address: SocketAddr| -> anyhow::Result<KindReport> {
                let mut options = LoadOptions::new(address, CLUSTER);
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
            let before = surroundings.loop_time()?;
            let proxy = load(surroundings.caller_address)?;
            let loop_time = surroundings.loop_time()?.saturating_sub(before);
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
                if connections == 1 && added > ADDED_AIM_US {
                    "  above the aim of 500 us"
                } else {
                    ""
                }
            );
        }
    }
    Ok(())
}

/// Opens idle callers and prints the resident size of the daemon.
fn measure_idle(surroundings: &ProxySurroundings) -> anyhow::Result<()> {
    let room = open_file_limit()?.saturating_sub(SPARE_FILES);
    let mut callers = Vec::new();
    let mut points = vec![(0.0, surroundings.resident_bytes()? as f64)];
    println!("\n{:>12} {:>14} {:>16}", "idle callers", "resident bytes", "bytes per caller");
    for count in IDLE_CALLERS {
        if count > room {
            println!("{count:>12} not run: the limit of open files leaves room for {room}");
            continue;
        }
        while callers.len() < count {
            let caller = open_caller(surroundings.caller_address, CLUSTER);
            callers.push(caller.with_context(|| format!("failed at {} callers", callers.len()))?);
        }
        print_resident(surroundings, &mut points, count)?;
    }
    println!("slope {:.0} bytes per idle caller", slope(&points));
    for caller in &mut callers {
        query(caller, "SELECT id FROM ready")?;
    }
    println!("after one read by each caller:");
    print_resident(surroundings, &mut points, callers.len())?;
    for caller in &mut callers {
        query(caller, "INSERT INTO ready (id) VALUES (1)")?;
    }
    println!("after one write by each caller:");
    print_resident(surroundings, &mut points, callers.len())?;
    Ok(())
}

fn print_resident(
    surroundings: &ProxySurroundings,
    points: &mut Vec<(f64, f64)>,
    count: usize,
) -> anyhow::Result<()> {
    std::thread::sleep(SETTLE_TIME);
    let resident = surroundings.resident_bytes()?;
    let base = points[0].1;
    points.push((count as f64, resident as f64));
    println!(
        "{count:>12} {resident:>14} {:>16.0}{}",
        (resident as f64 - base) / count.max(1) as f64,
        if resident > IDLE_TARGET_BYTES { "  above the target of 0.5 GB" } else { "" }
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
    let soft = line.and_then(|line| line.split_whitespace().nth(3)).context("no limit shown")?;
    Ok(soft.parse().unwrap_or(usize::MAX))
}

/// Connects with a bare start-up message and reads up to the first `ReadyForQuery`.
pub(crate) fn open_caller(address: SocketAddr, catalog: &str) -> anyhow::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let parameters = format!("user\0bench\0database\0{catalog}\0\0");
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
