//! A TCP relay that injects faults which are set at run time.
//!
//! Each link listens on its own port and relays to one upstream. Bytes can be delayed, discarded (cut)
//! or limited to a number, for each link and direction. A frozen link holds all bytes back. A connection
//! that lost bytes to a cut stays open but relays nothing more in that direction: TCP never delivers
//! a stream with a gap, so neither does the relay.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use socket2::SockRef;

use crate::http::{ControlRequest, ControlServer};
use crate::port;

const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks queued in one direction of a connection; a full queue blocks the sender.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Interval at which a blocked write checks whether its connection was dropped.
const WRITE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Direction of bytes on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    ToUpstream,
    ToCaller,
}

/// Faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DirectionFaults {
    delay: Duration,
    cut: bool,
    /// Bytes that may still pass before the connection is closed.
    bytes_left: Option<u64>,
    passed: u64,
}

#[derive(Debug, Default)]
struct LinkState {
    faults: [DirectionFaults; 2],
    frozen: bool,
    connections: BTreeMap<u64, Arc<RelayedConnection>>,
    accepted: u64,
    stopping: bool,
    marker_limits: Vec<MarkerLimit>,
}

/// A byte limit of the connection that first carries a marker to the upstream.
#[derive(Debug)]
struct MarkerLimit {
    marker: Vec<u8>,
    direction: Direction,
    bytes_left: u64,
    passed: u64,
    /// Number of the connection that carried the marker; `None` until one did.
    connection: Option<u64>,
}

impl LinkState {
    /// Applies the marker limits to bytes that were read; returns how many may pass and whether the
    /// connection closes after them.
    fn apply_marker_limits(
        &mut self,
        number: u64,
        direction: Direction,
        bytes: &[u8],
    ) -> (usize, bool) {
        if direction == Direction::ToUpstream {
            for limit in self.marker_limits.iter_mut().filter(|limit| limit.connection.is_none()) {
                if bytes.windows(limit.marker.len()).any(|part| part == limit.marker) {
                    limit.connection = Some(number);
                }
            }
        }
        let found = self
            .marker_limits
            .iter()
            .position(|limit| limit.connection == Some(number) && limit.direction == direction);
        let Some(at) = found else { return (bytes.len(), false) };
        let limit = &mut self.marker_limits[at];
        let allowed = bytes.len().min(usize::try_from(limit.bytes_left).unwrap_or(usize::MAX));
        limit.bytes_left -= allowed as u64;
        limit.passed += allowed as u64;
        let is_last = limit.bytes_left == 0;
        if is_last {
            self.marker_limits.remove(at);
        }
        (allowed, is_last)
    }
}

#[derive(Debug)]
struct RelayedConnection {
    client: TcpStream,
    upstream: TcpStream,
    dropped: AtomicBool,
}

impl RelayedConnection {
    /// Wakes the reading threads without sending anything. Closing the last handle then sends a reset.
    fn reset(&self) {
        self.dropped.store(true, Ordering::SeqCst);
        for stream in [&self.client, &self.upstream] {
            drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
            drop(stream.shutdown(Shutdown::Read));
        }
    }

    /// Closes with a FIN, so that bytes already written are still delivered.
    fn close(&self) {
        self.dropped.store(true, Ordering::SeqCst);
        for stream in [&self.client, &self.upstream] {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    fn is_dropped(&self) -> bool {
        self.dropped.load(Ordering::SeqCst)
    }
}

#[derive(Debug)]
struct AcceptThread {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

/// One link: a listening port and its upstream.
#[derive(Debug)]
pub(crate) struct RelayLink {
    upstream: SocketAddr,
    address: SocketAddr,
    state: Mutex<LinkState>,
    changed: Condvar,
    accept_thread: Mutex<Option<AcceptThread>>,
}

impl RelayLink {
    pub(crate) fn start(port: u16, upstream: SocketAddr) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))
            .with_context(|| format!("failed to listen on port {port}"))?;
        let link = Arc::new(RelayLink {
            upstream,
            address: listener.local_addr()?,
            state: Mutex::default(),
            changed: Condvar::new(),
            accept_thread: Mutex::default(),
        });
        link.accept_on(listener);
        Ok(link)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept_on(self: &Arc<Self>, listener: TcpListener) {
        let stop = Arc::new(AtomicBool::new(false));
        let (link, flag) = (self.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming() {
                if flag.load(Ordering::SeqCst) {
                    break;
                }
                if let Ok(stream) = stream {
                    let link = link.clone();
                    std::thread::spawn(move || link.relay(stream));
                }
            }
            port::close(listener);
        });
        let mut accept_thread = self.accept_thread.lock().unwrap_or_else(PoisonError::into_inner);
        *accept_thread = Some(AcceptThread { stop, thread });
    }

    /// Closes or reopens the listening port; open connections stay.
    pub(crate) fn set_refusing(self: &Arc<Self>, refusing: bool) -> anyhow::Result<()> {
        let mut accept_thread = self.accept_thread.lock().unwrap_or_else(PoisonError::into_inner);
        match (refusing, accept_thread.take()) {
            (true, Some(accept_thread)) => {
                accept_thread.stop.store(true, Ordering::SeqCst);
                // Wakes the blocking accept; the thread then closes its listener.
                drop(TcpStream::connect(self.address));
                drop(accept_thread.thread.join());
            }
            (false, None) => {
                drop(accept_thread);
                let listener = TcpListener::bind(self.address)
                    .with_context(|| format!("failed to listen on {} again", self.address))?;
                self.accept_on(listener);
            }
            (_, unchanged) => *accept_thread = unchanged,
        }
        Ok(())
    }

    pub(crate) fn set_frozen(&self, frozen: bool) {
        self.lock().frozen = frozen;
        self.changed.notify_all();
    }

    /// Resets all connections.
    pub(crate) fn reset_all(&self) {
        for (_, connection) in std::mem::take(&mut self.lock().connections) {
            connection.reset();
        }
        self.changed.notify_all();
    }

    /// Closes the connection whose upstream side has the address `local`; returns whether it was found.
    pub(crate) fn drop_connection(&self, local: SocketAddr) -> bool {
        let mut state = self.lock();
        let found = state.connections.iter().find_map(|(number, connection)| {
            (connection.upstream.local_addr().ok() == Some(local)).then_some(*number)
        });
        let connection = found.and_then(|number| state.connections.remove(&number));
        drop(state);
        if let Some(connection) = &connection {
            connection.close();
        }
        self.changed.notify_all();
        connection.is_some()
    }

    pub(crate) fn stop(self: &Arc<Self>) {
        self.lock().stopping = true;
        drop(self.set_refusing(true));
        self.reset_all();
    }

    fn relay(self: &Arc<Self>, client: TcpStream) {
        let Ok(upstream) = TcpStream::connect(self.upstream) else {
            drop(SockRef::from(&client).set_linger(Some(Duration::ZERO)));
            return;
        };
        for stream in [&client, &upstream] {
            drop(stream.set_nodelay(true));
            drop(stream.set_write_timeout(Some(WRITE_POLL_INTERVAL)));
        }
        let dropped = AtomicBool::new(false);
        let connection = Arc::new(RelayedConnection { client, upstream, dropped });
        let number = {
            let mut state = self.lock();
            if state.stopping {
                return;
            }
            state.accepted += 1;
            let number = state.accepted;
            state.connections.insert(number, connection.clone());
            number
        };
        let (link, other) = (self.clone(), connection.clone());
        let to_client_thread =
            std::thread::spawn(move || link.relay_direction(&other, number, Direction::ToCaller));
        self.relay_direction(&connection, number, Direction::ToUpstream);
        drop(to_client_thread.join());
        self.lock().connections.remove(&number);
    }

    /// Relays bytes in one direction until the source ends or the connection is dropped.
    fn relay_direction(
        self: &Arc<Self>,
        connection: &Arc<RelayedConnection>,
        number: u64,
        direction: Direction,
    ) {
        let (sender, receiver) = sync_channel(MAX_QUEUED_CHUNKS);
        let (link, other) = (self.clone(), connection.clone());
        let writer = std::thread::spawn(move || link.write_target(&other, direction, &receiver));
        self.read_source(connection, number, direction, &sender);
        drop(sender);
        drop(writer.join());
    }

    fn read_source(
        &self,
        connection: &RelayedConnection,
        number: u64,
        direction: Direction,
        sender: &SyncSender<RelayChunk>,
    ) {
        let mut source = match direction {
            Direction::ToUpstream => &connection.client,
            Direction::ToCaller => &connection.upstream,
        };
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut has_gap = false;
        loop {
            let count = match source.read(&mut buffer) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                Ok(0) | Err(_) => 0,
                Ok(count) => count,
            };
            if connection.is_dropped() {
                return;
            }
            let (due, allowed, is_last) = {
                let mut state = self.lock();
                let (count, ends_at_marker_limit) =
                    state.apply_marker_limits(number, direction, &buffer[..count]);
                let faults = &mut state.faults[direction as usize];
                has_gap |= faults.cut;
                if has_gap {
                    if count == 0 {
                        return;
                    }
                    continue;
                }
                let left = faults.bytes_left.unwrap_or(u64::MAX);
                let allowed = count.min(usize::try_from(left).unwrap_or(usize::MAX));
                let is_last = faults.bytes_left == Some(allowed as u64);
                faults.bytes_left = match faults.bytes_left {
                    Some(_) if is_last => None,
                    left => left.map(|left| left - allowed as u64),
                };
                faults.passed += allowed as u64;
                (Instant::now() + faults.delay, allowed, is_last || ends_at_marker_limit)
            };
            let end = match (count, is_last) {
                (_, true) => ChunkEnd::Drop,
                (0, _) => ChunkEnd::Finish,
                _ => ChunkEnd::More,
            };
            let chunk = RelayChunk { due, bytes: buffer[..allowed].to_vec(), end };
            if sender.send(chunk).is_err() || end != ChunkEnd::More {
                return;
            }
        }
    }

    fn write_target(
        &self,
        connection: &RelayedConnection,
        direction: Direction,
        receiver: &Receiver<RelayChunk>,
    ) {
        let mut target = match direction {
            Direction::ToUpstream => &connection.upstream,
            Direction::ToCaller => &connection.client,
        };
        for chunk in receiver {
            if !self.wait_until(connection, chunk.due) {
                return;
            }
            let mut rest = chunk.bytes.as_slice();
            while !rest.is_empty() {
                match target.write(rest) {
                    Ok(count) => rest = &rest[count..],
                    Err(error)
                        if matches!(
                            error.kind(),
                            std::io::ErrorKind::WouldBlock
                                | std::io::ErrorKind::TimedOut
                                | std::io::ErrorKind::Interrupted
                        ) => {}
                    Err(_) => {
                        connection.close();
                        return;
                    }
                }
                if connection.is_dropped() {
                    return;
                }
            }
            match chunk.end {
                ChunkEnd::More => {}
                ChunkEnd::Finish => drop(target.shutdown(Shutdown::Write)),
                ChunkEnd::Drop => connection.close(),
            }
        }
    }

    /// Waits until a chunk is due and the link is not frozen; returns false if the connection was
    /// dropped.
    fn wait_until(&self, connection: &RelayedConnection, due: Instant) -> bool {
        if due <= Instant::now() && !self.lock().frozen {
            return !connection.is_dropped();
        }
        let mut state = self.lock();
        loop {
            if connection.is_dropped() {
                return false;
            }
            let left = due.saturating_duration_since(Instant::now());
            if state.frozen {
                state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
            } else if left.is_zero() {
                return true;
            } else {
                let waited = self.changed.wait_timeout(state, left);
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkEnd {
    More,
    /// The source closed its side.
    Finish,
    /// The byte limit is reached.
    Drop,
}

struct RelayChunk {
    due: Instant,
    bytes: Vec<u8>,
    end: ChunkEnd,
}

/// Counters of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkCounters {
    pub connections: u64,
    pub accepted: u64,
    pub bytes_to_upstream: u64,
    pub bytes_to_caller: u64,
}

/// A running relay; dropping it resets its connections and closes its ports.
///
/// ```
/// use fake::faultproxy::FaultProxy;
/// let upstream = std::net::TcpListener::bind("127.0.0.1:0")?;
/// let proxy = FaultProxy::start(&[("db".to_string(), upstream.local_addr()?)], 0)?;
/// proxy.set_delay("db", std::time::Duration::from_millis(2), std::time::Duration::ZERO)?;
/// # Ok::<(), anyhow::Error>(())
/// ```
#[derive(Debug)]
pub struct FaultProxy {
    core: Arc<ProxyCore>,
    control: ControlServer,
}

#[derive(Debug)]
struct ProxyCore {
    links: Vec<(String, Arc<RelayLink>)>,
}

impl FaultProxy {
    /// Starts a link for each named upstream, on a port chosen by the kernel.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub fn start(upstreams: &[(String, SocketAddr)], control_port: u16) -> anyhow::Result<Self> {
        let ports: Vec<(String, u16, SocketAddr)> =
            upstreams.iter().map(|(name, upstream)| (name.clone(), 0, *upstream)).collect();
        FaultProxy::start_on(&ports, control_port)
    }

    /// Starts links on given ports; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be bound.
    pub fn start_on(
        upstreams: &[(String, u16, SocketAddr)],
        control_port: u16,
    ) -> anyhow::Result<Self> {
        let mut links = Vec::new();
        for (name, port, upstream) in upstreams {
            links.push((name.clone(), RelayLink::start(*port, *upstream)?));
        }
        let core = Arc::new(ProxyCore { links });
        let shared = core.clone();
        let control = ControlServer::start(control_port, move |request| shared.control(request))?;
        Ok(FaultProxy { core, control })
    }

    /// Returns the address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the names and addresses of the links.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.core.links.iter().map(|(name, link)| (name.clone(), link.address)).collect()
    }

    /// Returns the address of a link.
    ///
    /// # Errors
    ///
    /// This and the following calls fail if there is no link of that name.
    pub fn address(&self, link: &str) -> anyhow::Result<SocketAddr> {
        Ok(self.core.link(link)?.address)
    }

    /// Delays bytes in each direction; applies to bytes read from now on.
    pub fn set_delay(
        &self,
        link: &str,
        to_upstream: Duration,
        to_caller: Duration,
    ) -> anyhow::Result<()> {
        self.core.change_faults(link, |faults| {
            faults[Direction::ToUpstream as usize].delay = to_upstream;
            faults[Direction::ToCaller as usize].delay = to_caller;
        })
    }

    /// Discards bytes in the given directions, or stops doing so. Connections that lost bytes relay
    /// nothing more in that direction.
    pub fn set_cut(&self, link: &str, to_upstream: bool, to_caller: bool) -> anyhow::Result<()> {
        self.core.change_faults(link, |faults| {
            faults[Direction::ToUpstream as usize].cut = to_upstream;
            faults[Direction::ToCaller as usize].cut = to_caller;
        })
    }

    /// Holds all bytes back, or releases them.
    pub fn set_frozen(&self, link: &str, frozen: bool) -> anyhow::Result<()> {
        self.core.link(link)?.set_frozen(frozen);
        Ok(())
    }

    /// Resets (RST) all connections of a link now.
    pub fn reset_connections(&self, link: &str) -> anyhow::Result<()> {
        self.core.link(link)?.reset_all();
        Ok(())
    }

    /// Refuses new connections, or accepts them again.
    pub fn set_refusing(&self, link: &str, refusing: bool) -> anyhow::Result<()> {
        self.core.link(link)?.set_refusing(refusing)
    }

    /// Passes exactly `bytes` more bytes of the link in one direction, then closes the connection
    /// that carried the last one. It closes with a FIN, because a reset could discard bytes that
    /// should still arrive. With 0, the next byte or end of stream closes a connection.
    pub fn limit_bytes(&self, link: &str, direction: Direction, bytes: u64) -> anyhow::Result<()> {
        self.core.change_faults(link, |faults| faults[direction as usize].bytes_left = Some(bytes))
    }

    /// Limits only the connection that first carries `marker` to the upstream within one read. Bytes
    /// count from that read on, so neither other connections nor earlier bytes of this one affect the
    /// position of the limit. With 0, the next byte closes the connection.
    pub fn limit_bytes_after_marker(
        &self,
        link: &str,
        marker: &str,
        direction: Direction,
        bytes: u64,
    ) -> anyhow::Result<()> {
        let limit = MarkerLimit {
            marker: marker.as_bytes().to_vec(),
            direction,
            bytes_left: bytes,
            passed: 0,
            connection: None,
        };
        self.core.link(link)?.lock().marker_limits.push(limit);
        Ok(())
    }

    /// Removes the limits of one marker that were not reached; returns the bytes that passed under
    /// each of them.
    pub fn clear_marker_limits(&self, link: &str, marker: &str) -> anyhow::Result<Vec<u64>> {
        let mut state = self.core.link(link)?.lock();
        let (ended, kept) = std::mem::take(&mut state.marker_limits)
            .into_iter()
            .partition(|limit| limit.marker == marker.as_bytes());
        state.marker_limits = kept;
        let ended: Vec<MarkerLimit> = ended;
        Ok(ended.iter().map(|limit| limit.passed).collect())
    }

    /// Reads a link's counters.
    pub fn counters(&self, link: &str) -> anyhow::Result<LinkCounters> {
        let state = self.core.link(link)?.lock();
        Ok(LinkCounters {
            connections: state.connections.len() as u64,
            accepted: state.accepted,
            bytes_to_upstream: state.faults[Direction::ToUpstream as usize].passed,
            bytes_to_caller: state.faults[Direction::ToCaller as usize].passed,
        })
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        for (_, link) in &self.core.links {
            link.stop();
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LinkChange {
    delay_to_upstream_ms: Option<f64>,
    delay_to_caller_ms: Option<f64>,
    cut_to_upstream: Option<bool>,
    cut_to_caller: Option<bool>,
    frozen: Option<bool>,
    refusing: Option<bool>,
    bytes_to_upstream: Option<u64>,
    bytes_to_caller: Option<u64>,
}

impl ProxyCore {
    fn link(&self, name: &str) -> anyhow::Result<&Arc<RelayLink>> {
        let found = self.links.iter().find(|(known, _)| known == name);
        found.map(|(_, link)| link).with_context(|| format!("no link is named {name}"))
    }

    fn change_faults(
        &self,
        name: &str,
        change: impl FnOnce(&mut [DirectionFaults; 2]),
    ) -> anyhow::Result<()> {
        let link = self.link(name)?;
        change(&mut link.lock().faults);
        link.changed.notify_all();
        Ok(())
    }

    /// `GET /` and `GET /links/NAME` return the state. `POST /links/NAME/set` takes a [`LinkChange`],
    /// and `POST /links/NAME/drop` resets the connections.
    fn control(&self, request: &ControlRequest) -> anyhow::Result<Value> {
        let parts: Vec<&str> = request.path.split('/').filter(|part| !part.is_empty()).collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", []) => {
                let links = self.links.iter().map(|(name, _)| self.render(name));
                Ok(json!({ "links": links.collect::<Result<Vec<_>, _>>()? }))
            }
            ("GET", ["links", name]) => self.render(name),
            ("POST", ["links", name, "drop"]) => {
                self.link(name)?.reset_all();
                self.render(name)
            }
            ("POST", ["links", name, "set"]) => {
                let change: LinkChange = serde_json::from_str(&request.body)?;
                self.set(name, &change)?;
                self.render(name)
            }
            _ => bail!("no resource {} {}", request.method, request.path),
        }
    }

    fn set(&self, name: &str, change: &LinkChange) -> anyhow::Result<()> {
        let time = |millis: f64| Duration::from_secs_f64(millis.clamp(0.0, 1e9) / 1e3);
        self.change_faults(name, |faults| {
            let [to_upstream, to_caller] = faults;
            to_upstream.delay = change.delay_to_upstream_ms.map_or(to_upstream.delay, time);
            to_caller.delay = change.delay_to_caller_ms.map_or(to_caller.delay, time);
            to_upstream.cut = change.cut_to_upstream.unwrap_or(to_upstream.cut);
            to_caller.cut = change.cut_to_caller.unwrap_or(to_caller.cut);
            to_upstream.bytes_left = change.bytes_to_upstream.or(to_upstream.bytes_left);
            to_caller.bytes_left = change.bytes_to_caller.or(to_caller.bytes_left);
        })?;
        let link = self.link(name)?;
        if let Some(frozen) = change.frozen {
            link.set_frozen(frozen);
        }
        if let Some(refusing) = change.refusing {
            link.set_refusing(refusing)?;
        }
        Ok(())
    }

    fn render(&self, name: &str) -> anyhow::Result<Value> {
        let link = self.link(name)?;
        let state = link.lock();
        let direction = |faults: &DirectionFaults| {
            json!({
                "delay_ms": faults.delay.as_secs_f64() * 1e3,
                "cut": faults.cut,
                "bytes_left": faults.bytes_left,
                "bytes": faults.passed,
            })
        };
        Ok(json!({
            "name": name,
            "address": link.address,
            "upstream": link.upstream,
            "frozen": state.frozen,
            "connections": state.connections.len(),
            "accepted": state.accepted,
            "to_upstream": direction(&state.faults[Direction::ToUpstream as usize]),
            "to_caller": direction(&state.faults[Direction::ToCaller as usize]),
        }))
    }
}
