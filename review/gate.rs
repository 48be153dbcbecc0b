//! Processes of `cicadawick-gate`, started with the commands of the deploy file, and their clients.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Bound `grace-s` of the site files.
pub const GRACE: Duration = Duration::from_secs(6);

pub struct Gate {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    ended: Option<Instant>,
}

/// Returns a loopback address that no other run uses at the same time.
fn address_of(index: usize) -> String {
    let run = std::process::id() % 50_000;
    format!("127.{}.{}.{}", 1 + run / 250, run % 250, index + 1)
}

fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

fn free_pair(ip: &str) -> u16 {
    loop {
        let first = free_port(ip);
        if first < 65_000 && TcpListener::bind((ip, first + 1)).is_ok() {
            return first;
        }
    }
}

impl Gate {
    /// Starts a process on a loopback address of its own.
    pub fn start(folder: &Path, index: usize, zone: &str, store: SocketAddr) -> Gate {
        let (name, ip) = (format!("front-{zone}-{index}"), address_of(index));
        let (front, ready) = (free_port(&ip), free_port(&ip));
        let internal = free_pair(&ip);
        let last = internal + 1;
        let text = format!(
            r#"node-name = "{name}"
role = "gate"
machine-class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "oshana"
internal-port-range = [{internal},{last}]
seeds = []
bootstrap = true
in-tolerance = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
{zone} = "oshana"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 7000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
max-skew-ms = 12000
recovery-s = 12
fencing-required = false
thaw-slack-ms = 300
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
[cloud]
address = "{store}"
rate-per-s = 50.0
duties = ["failover"]
duty-per-s = 50.0
"#
        );
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, text).unwrap();
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&file, &log);
        Gate {
            name,
            front: format!("{ip}:{front}").parse().unwrap(),
            ready: format!("{ip}:{ready}").parse().unwrap(),
            child,
            ended: None,
        }
    }

    pub fn signal(&mut self, signal: i32) {
        record(&format!("signal {signal} to {}", self.name));
        if self.is_running() {
            // SAFETY: a plain system call; the process is this program's child and has not been waited for.
            unsafe { kill(self.child.id() as i32, signal) };
        }
    }

    pub fn is_running(&mut self) -> bool {
        if self.ended.is_none()
            && let Ok(Some(status)) = self.child.try_wait()
        {
            record(&format!("{} ended: {status}", self.name));
            self.ended = Some(Instant::now());
        }
        self.ended.is_none()
    }

    /// Asks for readiness, as the platform does.
    pub fn probe(&self) -> u16 {
        let ask = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(900)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line)?;
            Ok(line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
        };
        ask().unwrap_or(0)
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program. It is killed when this process ends for any reason.
fn spawn(file: &Path, log: &Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(log).unwrap();
    let mut command = Command::new("target/release/cicadawick-gate");
    // SAFETY: a plain system call; PR_SET_PDEATHSIG is 1 and SIGKILL is 9 on Linux.
    unsafe {
        command.pre_exec(|| {
            prctl(1, 9);
            Ok(())
        });
    }
    command
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("CICADAWICK_NODE_FILE", file)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| crate::cannot_run(&format!("no gate: {error}")))
}

/// An answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub rows: Vec<String>,
    /// `COMPLETE` or `ERROR` with its fields.
    pub end: String,
    pub state: String,
}

impl Answer {
    pub fn succeeded(&self) -> bool {
        self.end.starts_with("COMPLETE")
    }
}

/// A client's session.
pub struct Client {
    input: BufReader<TcpStream>,
    output: TcpStream,
}

impl Client {
    pub fn open(address: SocketAddr, database: &str) -> std::io::Result<Client> {
        let output = TcpStream::connect_timeout(&address, Duration::from_millis(1_000))?;
        output.set_nodelay(true)?;
        output.set_read_timeout(Some(Duration::from_secs(2)))?;
        let mut client = Client { input: BufReader::new(output.try_clone()?), output };
        client.output.write_all(format!("STARTUP {database} client\r\n").as_bytes())?;
        let line = client.line()?;
        if !line.starts_with("READY") {
            return Err(std::io::Error::other(line));
        }
        client.output.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(client)
    }

    pub fn send(&mut self, id: &str, text: &str) -> std::io::Result<()> {
        self.output.write_all(format!("QUERY {id} {text}\r\n").as_bytes())
    }

    fn line(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        if self.input.read_line(&mut line)? == 0 || !line.ends_with("\r\n") {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_string())
    }

    pub fn ask(&mut self, id: &str, text: &str) -> std::io::Result<Answer> {
        self.send(id, text)?;
        let (mut rows, mut end) = (Vec::new(), String::new());
        loop {
            let line = self.line()?;
            match line.split_once(' ').map_or(line.as_str(), |(word, _)| word) {
                "ROW" => rows.push(line.get(4..).unwrap_or("").to_string()),
                "READY" => return Ok(Answer { rows, end, state: line[6..7].to_string() }),
                _ => end = line,
            }
        }
    }
}
