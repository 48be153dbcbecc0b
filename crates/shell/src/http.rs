//! The HTTP server of both programs, for probes, metrics and operators.
//!
//! Anyone may connect, so everything is bounded: the number of connections, the size of a request's head, and the times for
//! reading it and for writing the answer. While all places are taken, a new connection replaces the one that has waited
//! longest for its request.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Maximum number of connections. Probes, scrapes and operators use fewer than ten.
const MAX_CONNECTIONS: usize = 32;

/// Maximum size of a request's head. Those of probes and of `cicadawick` are below 1 KiB.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Maximum number of header fields in a request.
const MAX_HEADERS: usize = 64;

/// Time for a request's head, and time for which a connection may stay open between requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for each part of an answer that the socket takes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for an answer, after which its connection may be replaced. A dump takes half a second.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Age at which a connection without a request may be replaced: ten times the round trip of a slow client.
const REPLACEABLE_AGE: Duration = Duration::from_millis(100);

/// Pause before the accept loop looks again for a free place, and after an accept that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Stack of a thread that serves a connection. Handlers only format text.
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    pub method: String,
    /// Path and query.
    pub url: String,
    /// Whether another request may follow on the connection.
    pub keep_alive: bool,
}

/// An answer with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    pub status: u16,
    pub content_type: &'static str,
    pub body: String,
}

impl HttpAnswer {
    /// Creates an answer of plain text.
    pub fn text(status: u16, body: impl Into<String>) -> HttpAnswer {
        HttpAnswer { status, content_type: "text/plain; charset=UTF-8", body: body.into() }
    }
}

/// Why a request cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    #[error("the head of the request is larger than {MAX_HEAD_BYTES} bytes")]
    TooLarge,
    #[error("malformed request: {0}")]
    Malformed(#[from] httparse::Error),
}

/// Parses the head of a request at the front of `input`; returns it with its size, or `None` if it is incomplete.
///
/// ```
/// let (request, size) = shell::parse_request(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")?.unwrap();
/// assert_eq!((request.method.as_str(), request.url.as_str(), size), ("GET", "/ready", 32));
/// assert_eq!(shell::parse_request(b"GET /rea")?, None);
/// # Ok::<(), shell::HttpError>(())
/// ```
///
/// # Errors
///
/// Fails if the input is not a request, or if its head is too large.
pub fn parse_request(input: &[u8]) -> Result<Option<(HttpRequest, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let size = match request.parse(input)? {
        httparse::Status::Complete(size) if size <= MAX_HEAD_BYTES => size,
        httparse::Status::Partial if input.len() < MAX_HEAD_BYTES => return Ok(None),
        httparse::Status::Complete(_) | httparse::Status::Partial => {
            return Err(HttpError::TooLarge);
        }
    };
    let has = |name: &str, value: &str| {
        request.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case(name)
                && header.value.trim_ascii().eq_ignore_ascii_case(value.as_bytes())
        })
    };
    let has_body = request.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding")
            || (header.name.eq_ignore_ascii_case("content-length")
                && header.value.trim_ascii() != b"0")
    });
    let keep_alive = match request.version {
        Some(1) => !has("connection", "close"),
        _ => has("connection", "keep-alive"),
    };
    let parsed = HttpRequest {
        method: request.method.unwrap_or_default().to_owned(),
        url: request.path.unwrap_or_default().to_owned(),
        // Bodies are not read, so nothing can follow them.
        keep_alive: keep_alive && !has_body,
    };
    Ok(Some((parsed, size)))
}

/// A connection that is being served.
#[derive(Debug)]
struct ServedConnection {
    number: u64,
    stream: TcpStream,
    /// A request is being answered; otherwise the next one is awaited.
    answering: bool,
    since: Instant,
}

impl ServedConnection {
    /// Returns how long the connection has made no progress, if it may be closed for another one.
    fn replaceable_age(&self) -> Option<Duration> {
        let age = self.since.elapsed();
        let limit = if self.answering { ANSWER_TIMEOUT } else { REPLACEABLE_AGE };
        (age >= limit).then_some(age)
    }
}

#[derive(Debug, Default)]
struct ServerState {
    stopped: AtomicBool,
    connections: Mutex<Vec<ServedConnection>>,
}

impl ServerState {
    fn lock(&self) -> MutexGuard<'_, Vec<ServedConnection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_answering(&self, number: u64, answering: bool) {
        let mut connections = self.lock();
        if let Some(served) = connections.iter_mut().find(|served| served.number == number) {
            (served.answering, served.since) = (answering, Instant::now());
        }
    }

    /// Waits until a connection can be added, and closes the one that has waited longest if that is needed.
    fn make_room(&self) {
        loop {
            let connections = self.lock();
            if connections.len() < MAX_CONNECTIONS || self.stopped.load(Ordering::Acquire) {
                return;
            }
            let longest =
                connections.iter().filter_map(|served| Some((served.replaceable_age()?, served)));
            if let Some((_, served)) = longest.max_by_key(|(age, _)| *age) {
                // Its thread then ends and frees the place.
                let _ = served.stream.shutdown(Shutdown::Both);
            }
            drop(connections);
            thread::sleep(ACCEPT_BACKOFF);
        }
    }
}

/// Removes a connection from the list when its thread ends.
struct ConnectionPlace {
    state: Arc<ServerState>,
    number: u64,
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.state.lock().retain(|served| served.number != self.number);
    }
}

/// An HTTP server and its thread. Dropping it ends the thread after the answers in progress.
#[derive(Debug)]
pub struct HttpServer {
    listener: Option<TcpListener>,
    address: SocketAddr,
    state: Arc<ServerState>,
    thread: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Binds the address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<HttpServer> {
        let listener = crate::bind_listener(address)?;
        let address = listener.local_addr()?;
        Ok(HttpServer { listener: Some(listener), address, state: Arc::default(), thread: None })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to serve on a thread of its own. `handler` runs on the thread of a connection.
    ///
    /// ```
    /// use std::io::{Read, Write};
    ///
    /// let mut server = shell::HttpServer::bind("127.0.0.1:0".parse().unwrap())?;
    /// server.start(|request| shell::HttpAnswer::text(200, request.url.clone()));
    /// let mut stream = std::net::TcpStream::connect(server.address())?;
    /// stream.write_all(b"GET /x HTTP/1.1\r\nConnection: close\r\n\r\n")?;
    /// let mut answer = String::new();
    /// stream.read_to_string(&mut answer)?;
    /// assert!(answer.starts_with("HTTP/1.1 200 OK\r\n") && answer.ends_with("\r\n\r\n/x"));
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(&mut self, handler: impl Fn(&HttpRequest) -> HttpAnswer + Send + Sync + 'static) {
        let Some(listener) = self.listener.take() else { return };
        let state = self.state.clone();
        let handler = Arc::new(handler);
        self.thread = Some(thread::spawn(move || {
            for number in 0.. {
                let accepted = listener.accept();
                if state.stopped.load(Ordering::Acquire) {
                    return;
                }
                match accepted {
                    Ok((stream, _)) => serve(&state, number, stream, handler.clone()),
                    // Such as for lack of file descriptors.
                    Err(_) => thread::sleep(ACCEPT_BACKOFF),
                }
            }
        }));
    }
}

impl HttpServer {
    /// Lets the server run until the process ends.
    pub fn detach(mut self) {
        self.thread = None;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        let Some(thread) = self.thread.take() else { return };
        self.state.stopped.store(true, Ordering::Release);
        // Wakes the thread up.
        if TcpStream::connect_timeout(&self.address, WRITE_TIMEOUT).is_ok() {
            let _ = thread.join();
        }
        // Answers in progress are awaited, such as the one to the request to drain.
        let end = Instant::now() + WRITE_TIMEOUT;
        let answering = |state: &ServerState| state.lock().iter().any(|served| served.answering);
        while answering(&self.state) && Instant::now() < end {
            thread::sleep(ACCEPT_BACKOFF);
        }
    }
}

fn serve(
    state: &Arc<ServerState>,
    number: u64,
    stream: TcpStream,
    handler: Arc<impl Fn(&HttpRequest) -> HttpAnswer + Send + Sync + 'static>,
) {
    state.make_room();
    let Ok(clone) = stream.try_clone() else { return };
    let served =
        ServedConnection { number, stream: clone, answering: false, since: Instant::now() };
    state.lock().push(served);
    let place = ConnectionPlace { state: state.clone(), number };
    let builder = thread::Builder::new().stack_size(THREAD_STACK_BYTES);
    // If no thread can be started, the connection is closed with the closure.
    let _ = builder.spawn(move || {
        // The client may close the connection at any time; no other request is affected.
        let _ = serve_connection(&place, &stream, &*handler);
    });
}

/// Answers requests until the connection ends.
fn serve_connection(
    place: &ConnectionPlace,
    mut stream: &TcpStream,
    handler: &impl Fn(&HttpRequest) -> HttpAnswer,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let mut input = Vec::new();
    loop {
        place.state.set_answering(place.number, false);
        let request = match read_request(stream, &mut input)? {
            Ok(request) => request,
            Err(error) => {
                let answer = HttpAnswer::text(400, error.to_string());
                return write_answer(&mut stream, &answer, false, true);
            }
        };
        place.state.set_answering(place.number, true);
        let keep_alive = request.keep_alive && !place.state.stopped.load(Ordering::Acquire);
        let answer = handler(&request);
        write_answer(&mut stream, &answer, keep_alive, request.method != "HEAD")?;
        if !keep_alive {
            return stream.shutdown(Shutdown::Write);
        }
    }
}

fn read_request(
    mut stream: &TcpStream,
    input: &mut Vec<u8>,
) -> io::Result<Result<HttpRequest, HttpError>> {
    let end = Instant::now() + REQUEST_TIMEOUT;
    let mut chunk = [0; 1024];
    loop {
        match parse_request(input) {
            Ok(Some((request, size))) => {
                input.drain(..size);
                return Ok(Ok(request));
            }
            Ok(None) => {}
            Err(error) => return Ok(Err(error)),
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut chunk) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => input.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

fn write_answer(
    output: &mut impl Write,
    answer: &HttpAnswer,
    keep_alive: bool,
    with_body: bool,
) -> io::Result<()> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n",
        answer.status,
        reason(answer.status),
        answer.content_type,
        answer.body.len(),
    );
    output.write_all(head.as_bytes())?;
    if with_body {
        output.write_all(answer.body.as_bytes())?;
    }
    Ok(())
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
