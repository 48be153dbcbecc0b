//! Sizes of control messages on the wire, measured on the loopback interface.

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use fake::fakedb::{DatabaseGroup, GroupOptions};
use member::{Heartbeat, MemberInfo, MemberState};
use rpc::{CallIds, PeerClients, PeerRequest, PeerSpace, RpcStream, TaskPool, serve_peer};
use stakker::{Fwd, Stakker};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

/// Header of IPv4 and TCP without options.
pub const PACKET_BYTES: u64 = 40;

/// Number of calls in one measurement.
const CALL_COUNT: u64 = 20;

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after an answer in which trailing messages, such as the finish of the call, arrive.
const TRAILING_TIME: Duration = Duration::from_millis(20);

/// Bytes of one exchange beyond the encoded parameters and results, packet headers included.
#[derive(Clone, Copy, Debug)]
pub struct WireSizes {
    /// Call and finish messages.
    pub call: u64,
    /// Return message.
    pub answer: u64,
    /// A report request and its answer on a database connection, in full.
    pub report_request: u64,
    pub report_answer: u64,
}

impl WireSizes {
    /// Measures a heartbeat between two ends of crate `rpc` and a report of the fake database.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be opened or a call is not answered.
    pub fn measure() -> anyhow::Result<Self> {
        let heartbeat = Heartbeat {
            from: MemberInfo {
                name: "vm-0001".into(),
                data_centre: "north-1".into(),
                peer_address: "10.0.0.11:7400".parse()?,
                admin_address: "10.0.0.11:7401".parse()?,
                incarnation: 1 << 60,
                state: MemberState::Alive,
            },
            digest: u64::MAX,
            revisions: vec![("config".into(), 1), ("token-keys".into(), 1)],
            changes: Vec::new(),
        };
        let body = rpc::heartbeat_bytes(&heartbeat) as u64;
        let (call, answer) = measure_heartbeat(&heartbeat)?;
        let group = DatabaseGroup::start(GroupOptions::new("db", 1))?;
        let (report_request, report_answer) = measure_report(group.addresses()[0])?;
        Ok(WireSizes {
            call: call.saturating_sub(body),
            // The finish and the report's answer are acknowledged by separate packets, because no data
            // follows within the time for which TCP delays an acknowledgement.
            answer: answer.saturating_sub(body) + PACKET_BYTES,
            report_request: report_request + PACKET_BYTES,
            report_answer,
        })
    }
}

/// Bytes and packets of one direction of a relay. Both ends write a message with one system call, and
/// the relay reads it before the next message is written, so each read counts as one packet.
#[derive(Default)]
struct RelayCount {
    bytes: AtomicU64,
    packets: AtomicU64,
}

impl RelayCount {
    fn wire_bytes(&self) -> u64 {
        self.bytes.load(Ordering::SeqCst) + PACKET_BYTES * self.packets.load(Ordering::SeqCst)
    }

    /// Copies until the stream ends.
    fn relay(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            self.bytes.fetch_add(count as u64, Ordering::SeqCst);
            self.packets.fetch_add(1, Ordering::SeqCst);
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // Fails if the other side is gone, which ends the relay as well.
        let _ = to.shutdown(std::net::Shutdown::Write);
    }
}

/// Returns the wire bytes of one heartbeat call in each direction.
fn measure_heartbeat(heartbeat: &Heartbeat) -> anyhow::Result<(u64, u64)> {
    let server = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let server_address = server.local_addr()?;
    let relay = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let relay_address = relay.local_addr()?;
    let counts = Arc::new([RelayCount::default(), RelayCount::default()]);
    let shared = counts.clone();
    let relaying = std::thread::spawn(move || -> std::io::Result<()> {
        let (client, _) = relay.accept()?;
        let upstream = TcpStream::connect(server_address)?;
        for stream in [&client, &upstream] {
            stream.set_nodelay(true)?;
        }
        let (from, to) = (upstream.try_clone()?, client.try_clone()?);
        let answers = shared.clone();
        let back = std::thread::spawn(move || answers[1].relay(from, to));
        shared[0].relay(client, upstream);
        // A panic of the relay would appear as a call without an answer.
        let _ = back.join();
        Ok(())
    });

    let mut stakker = Stakker::new(Instant::now());
    let poll = MioPoll::new(&mut stakker, Poll::new()?, Events::with_capacity(64), 10)?;
    let pool = TaskPool::new(&mut stakker);
    let clients = PeerClients::new(pool.clone());
    server.set_nonblocking(true)?;
    let mut accepted = false;
    let before = Rc::new(Cell::new((0, 0)));
    for call in 0..=CALL_COUNT {
        let result = Rc::new(RefCell::new(None));
        let callback_result = result.clone();
        clients.heartbeat(&mut stakker, relay_address, heartbeat, CALL_TIMEOUT, move |answer| {
            *callback_result.borrow_mut() = Some(answer);
        });
        let mut trailing_until = None;
        let end = Instant::now() + CALL_TIMEOUT;
        while trailing_until.is_none_or(|at| Instant::now() < at) {
            stakker.run(Instant::now(), false);
            poll.poll(Duration::from_millis(1))?;
            if !accepted && let Ok((stream, _)) = server.accept() {
                accepted = true;
                stream.set_nonblocking(true)?;
                let stream = stakker_mio::mio::net::TcpStream::from_std(stream);
                let requests = Fwd::new(|request| {
                    if let PeerRequest::Heartbeat { heartbeat, reply } = request {
                        // Cannot fail, because the call waits for the reply.
                        let _ = reply.send(heartbeat);
                    }
                });
                let stream = RpcStream::new(&poll, stream)?;
                serve_peer(&pool, stream, requests, CallIds::default(), &PeerSpace::new(0));
            }
            if result.borrow().is_some() && trailing_until.is_none() {
                trailing_until = Some(Instant::now() + TRAILING_TIME);
            }
            if Instant::now() > end {
                bail!("a heartbeat on the loopback interface was not answered");
            }
        }
        if let Some(Err(error)) = result.take() {
            return Err(error).context("a heartbeat on the loopback interface failed");
        }
        if call == 0 {
            // The first call also sets up the connection.
            before.set((counts[0].wire_bytes(), counts[1].wire_bytes()));
        }
    }
    let (up, down) = before.get();
    let per_call = |count: &RelayCount, before| (count.wire_bytes() - before) / CALL_COUNT;
    let sizes = (per_call(&counts[0], up), per_call(&counts[1], down));
    drop(clients);
    drop(pool);
    drop(stakker);
    drop(poll);
    drop(server);
    // The relay ends when the sockets of the event loop close, so it is not joined.
    drop(relaying);
    Ok(sizes)
}

/// Returns the wire bytes of a report request and its answer.
fn measure_report(address: SocketAddr) -> anyhow::Result<(u64, u64)> {
    let mut stream = crate::overhead::open_connection(address, "postgres")?;
    let packet = crate::overhead::query_packet("SELECT * FROM cicadawick_report()");
    stream.write_all(&packet)?;
    let answer = crate::overhead::read_until_ready(&mut stream)?;
    Ok((packet.len() as u64 + PACKET_BYTES, answer as u64 + PACKET_BYTES))
}
