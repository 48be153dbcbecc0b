//! Parts that both programs of this project share: the event loop, listening sockets, threads and the incarnation of
//! a process.

mod http;
mod worker;

pub use http::{HttpAnswer, HttpError, HttpRequest, HttpServer, MAX_HEAD_BYTES, parse_request};
pub use worker::{spawn_call, spawn_restarting};

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use socket2::{Domain, Protocol, Socket, Type};
use stakker::{ActorOwn, Stakker, StopCause};
use stakker_mio::MioPoll;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::mio::{Events, Poll};

/// Longest time for which the event loop waits for an event.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);

/// Maximum number of socket events that one poll returns.
const EVENT_CAPACITY: usize = 1_024;

/// Maximum number of connections that wait to be accepted. With the standard library's 128, clients that reconnect
/// all at once overflow the queue and wait a second before they try again.
const ACCEPT_BACKLOG: i32 = 4_096;

/// Creates the poller for the sockets of an event loop.
///
/// # Errors
///
/// Fails if the operating system cannot create the poller.
pub fn new_poll(stakker: &mut Stakker) -> io::Result<MioPoll> {
    MioPoll::new(stakker, Poll::new()?, Events::with_capacity(EVENT_CAPACITY), 10)
}

/// Runs an event loop until it is shut down, and then drops its main actor. `idle_pending` is the result of the
/// preceding `Stakker::run`. Returns the cause of the shutdown, or `None` if it was graceful.
///
/// # Errors
///
/// Fails if the sockets cannot be polled.
pub fn run_loop<A>(
    stakker: &mut Stakker,
    poll: &MioPoll,
    driver: ActorOwn<A>,
    mut idle_pending: bool,
) -> io::Result<Option<String>> {
    let mut io_pending = false;
    let mut activity;
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, idle_pending || io_pending);
        (activity, io_pending) = poll.poll(wait)?;
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    let cause = stakker.shutdown_reason();
    drop(driver);
    stakker.run(Instant::now(), false);
    Ok(match cause {
        None | Some(StopCause::Stopped | StopCause::Dropped) => None,
        Some(cause) => Some(cause.to_string()),
    })
}

/// Opens a listening socket.
///
/// ```
/// let listener = shell::listen("127.0.0.1:0".parse().unwrap())?;
/// assert_ne!(listener.local_addr()?.port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = bind_listener(address)?;
    listener.set_nonblocking(true)?;
    Ok(TcpListener::from_std(listener))
}

/// Opens a listening socket that blocks.
fn bind_listener(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Returns the incarnation of this process, a number larger than those of its earlier runs: the microseconds since
/// 1970.
///
/// ```
/// let first = shell::process_incarnation();
/// assert!(shell::process_incarnation() >= first);
/// ```
pub fn process_incarnation() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
