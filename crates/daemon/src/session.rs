//! A client's connection.
//!
//! The actor parses the client's bytes into requests and passes them to the node one at a time. While
//! one is in progress, the socket is read only up to a bounded buffer. Answers arrive in chunks, each
//! with a permit that returns its bytes to the source's relay window when the chunk is written.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use model::{Micros, Name};
use node::{
    ClientRequest, ErrorReply, NodeEvent, RequestKind, SessionId, SessionStart, TransactionState,
};
use pg::{AnswerScanner, FirstPacket, Frame, FrameSplitter, Severity, StatementTable, kind};
use rpc::ChunkPermit;
use stakker::{Actor, CX, after, call, fwd_to, lazy};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::driver::IoDriver;
use crate::request_space::{FREE_INPUT_BYTES, SharedSpace};
use crate::socket::{BufferedSocket, ReadOutcome, ScratchBuffer};
use crate::statement_space::{StatementShare, StatementSpace};

/// Maximum bytes of pipelined requests that are read while a request is in progress.
const READ_AHEAD_BYTES: usize = 16 * 1024;

/// Maximum number of bytes in one read, so that one client does not occupy the loop.
const READ_LIMIT_BYTES: usize = 128 * 1024;

/// Time in which a client must send its start-up packet.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay between an answer and the fatal error that ends the session, unless the client sends its
/// next message first. Client drivers that read both at once report the error instead of the answer;
/// 200 ms is too short for clients under load.
const CLOSE_DELAY: Duration = Duration::from_millis(1_000);

/// Time in which the last message of a closing connection must be written.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(2);

/// Parameters of a new session.
pub(crate) struct SessionSetup {
    pub(crate) id: SessionId,
    pub(crate) stream: TcpStream,
    pub(crate) address: Name,
    /// Sent in `BackendKeyData`, with `secret`; a cancel request must carry both.
    pub(crate) process_id: i32,
    pub(crate) secret: i32,
    pub(crate) request_limit: usize,
    /// The process has more clients than `caller_limit`, so the session is refused.
    pub(crate) over_limit: bool,
    pub(crate) scratch: ScratchBuffer,
    pub(crate) space: SharedSpace,
    pub(crate) statement_space: Rc<StatementSpace>,
    /// The start of the clock by which reservations are made.
    pub(crate) started: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionState {
    /// Waiting for the start-up packet.
    Starting,
    /// Waiting for the node to accept the session.
    Opening,
    Idle,
    /// A request is in progress. One that ends at a Flush gets no `ReadyForQuery`.
    Busy {
        flush: bool,
    },
    /// The node has closed the session; the connection closes [`CLOSE_DELAY`] after its last answer.
    ClosePending,
    /// Only writing the remaining output is left.
    Closing,
}

/// A client's connection.
pub(crate) struct ClientSession {
    id: SessionId,
    driver: Actor<IoDriver>,
    socket: BufferedSocket,
    state: SessionState,
    address: Name,
    process_id: i32,
    secret: i32,
    request_limit: usize,
    over_limit: bool,
    /// Number of the request in progress, or of the last one.
    request: u64,
    transaction: u8,
    /// Messages of the extended query protocol that belong to the next request.
    messages: Vec<Frame>,
    message_bytes: usize,
    /// Set after a request that ended at a Flush failed: messages up to the Sync are skipped.
    skip_to_sync: bool,
    request_failed: bool,
    statements: StatementTable,
    statement_share: StatementShare,
    scanner: AnswerScanner,
    flush_scheduled: bool,
    /// When the last answer was completed.
    answered_at: Option<Instant>,
    /// Error that is sent when the close delay has passed.
    close_error: Option<ErrorReply>,
    ended: bool,
    space: SharedSpace,
    started: Instant,
    /// Space is reserved for the request that is read or in progress.
    has_space: bool,
    /// Not read until space is reserved.
    awaits_space: bool,
}

impl ClientSession {
    /// Registers the socket and starts to read.
    pub(crate) fn init(cx: CX![], driver: Actor<IoDriver>, setup: SessionSetup) -> Option<Self> {
        let SessionSetup {
            id,
            stream,
            address,
            process_id,
            secret,
            request_limit,
            over_limit,
            scratch,
            space,
            statement_space,
            started,
        } = setup;
        let poll: MioPoll = cx.anymap_get();
        let ready = fwd_to!([cx], ready() as (Ready));
        let socket = match BufferedSocket::new(&poll, stream, scratch, ready) {
            Ok(socket) => socket,
            Err(error) => {
                log::warn!("failed to register a client socket address={address} error={error}");
                call!([driver, cx], session_ended(id));
                return None;
            }
        };
        after!(STARTUP_TIMEOUT, [cx], check_startup_timeout());
        call!([cx], read());
        Some(ClientSession {
            id,
            driver,
            socket,
            state: SessionState::Starting,
            address,
            process_id,
            secret,
            request_limit,
            over_limit,
            request: 0,
            transaction: b'I',
            messages: Vec::new(),
            message_bytes: 0,
            skip_to_sync: false,
            request_failed: false,
            statements: StatementTable::default(),
            statement_share: StatementShare::new(statement_space),
            scanner: AnswerScanner::default(),
            flush_scheduled: false,
            answered_at: None,
            close_error: None,
            ended: false,
            space,
            started,
            has_space: false,
            awaits_space: false,
        })
    }

    /// Gives the place of a session without a start-up packet to another one.
    pub(crate) fn end_without_startup(&mut self, cx: CX![]) {
        self.check_startup_timeout(cx);
    }

    fn check_startup_timeout(&mut self, cx: CX![]) {
        if self.state == SessionState::Starting {
            self.end(cx);
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if ready.is_writable() {
            self.flush(cx);
        }
        self.read(cx);
    }

    /// Reports the end of the session once; the driver then drops this actor.
    fn end(&mut self, cx: CX![]) {
        if !self.ended {
            self.ended = true;
            self.state = SessionState::Closing;
            call!([self.driver, cx], session_ended(self.id));
        }
    }

    fn push(&mut self, cx: CX![], bytes: Bytes, permit: ChunkPermit) {
        self.socket.push(bytes, permit);
        if !self.flush_scheduled {
            // One write for everything that the calls already queued on the loop will push.
            self.flush_scheduled = true;
            lazy!([cx], scheduled_flush());
        }
    }

    fn scheduled_flush(&mut self, cx: CX![]) {
        self.flush_scheduled = false;
        self.flush(cx);
    }

    fn flush(&mut self, cx: CX![]) {
        if self.ended {
            return;
        }
        let lost = self.socket.flush().is_err();
        if lost || (self.state == SessionState::Closing && self.socket.output_bytes() == 0) {
            self.end(cx);
        }
    }

    fn read_limit(&self) -> usize {
        match self.state {
            SessionState::Closing => 0,
            SessionState::Starting => FREE_INPUT_BYTES,
            SessionState::Idle if self.has_space => self.socket.input.len() + READ_LIMIT_BYTES,
            SessionState::Idle => FREE_INPUT_BYTES,
            SessionState::Opening | SessionState::Busy { .. } | SessionState::ClosePending => {
                READ_AHEAD_BYTES
            }
        }
    }

    fn read(&mut self, cx: CX![]) {
        if self.ended || self.state == SessionState::Closing {
            return;
        }
        if self.awaits_space || !self.reserve_space(cx) {
            return;
        }
        let limit = self.read_limit();
        let outcome = self.socket.fill(limit);
        self.process(cx);
        self.update_space(cx);
        if self.state == SessionState::ClosePending && !self.socket.input.is_empty() {
            self.close_now(cx);
        }
        match outcome {
            ReadOutcome::Open => {
                // A session that waits for the node reads again once the request has finished.
                let waits = matches!(self.state, SessionState::Opening | SessionState::Busy { .. });
                if self.socket.may_have_input()
                    && !self.awaits_space
                    && !(waits && self.socket.input.len() >= READ_AHEAD_BYTES)
                {
                    call!([cx], read());
                }
            }
            ReadOutcome::Ended | ReadOutcome::Failed(_) => self.end(cx),
        }
    }

    /// Reserves space if the next request is larger than what may be read without. Returns whether to read on.
    fn reserve_space(&mut self, cx: CX![]) -> bool {
        let held = self.socket.input.len() + self.message_bytes;
        if self.state != SessionState::Idle || (held < FREE_INPUT_BYTES && !self.has_space) {
            return true;
        }
        let bytes = match pg::peek_header(&self.socket.input) {
            Ok(Some((kind::QUERY, length))) => length.min(self.request_limit),
            // The size of a request of several messages is not known before its end.
            _ => self.request_limit,
        };
        let now = self.space_time(cx);
        self.has_space = self.space.borrow_mut().reserve(now, self.id, bytes);
        self.awaits_space = !self.has_space;
        self.has_space
    }

    /// Ends the reservation when nothing large is read or in progress.
    fn update_space(&mut self, cx: CX![]) {
        if !self.has_space {
            return;
        }
        let is_read = self.socket.input.len() + self.message_bytes >= FREE_INPUT_BYTES;
        match self.state {
            SessionState::Busy { .. } => self.space.borrow_mut().complete(self.id),
            SessionState::Idle if is_read => {}
            _ => {
                self.has_space = false;
                call!([self.driver, cx], release_request_space(self.id));
            }
        }
    }

    fn space_time(&self, cx: CX![]) -> Micros {
        let elapsed = cx.now().saturating_duration_since(self.started);
        Micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }

    /// Called when space for the next request has been reserved.
    pub(crate) fn space_reserved(&mut self, cx: CX![]) {
        (self.has_space, self.awaits_space) = (true, false);
        self.read(cx);
        self.update_space(cx);
    }

    /// Called when the client does not send the rest of a request while others wait.
    pub(crate) fn close_stalled(&mut self, cx: CX![]) {
        let message = "the rest of the request did not arrive while others wait for its space \
                       (request_limit_bytes, caller_limit)";
        self.send_fatal(cx, "53200", message);
        self.update_space(cx);
    }

    /// Processes as much of the input as the state allows.
    fn process(&mut self, cx: CX![]) {
        loop {
            let advanced = match self.state {
                SessionState::Starting => self.process_first_packet(cx),
                SessionState::Idle => self.process_next_message(cx),
                _ => false,
            };
            if !advanced {
                break;
            }
        }
        self.socket.release_input();
    }

    fn process_first_packet(&mut self, cx: CX![]) -> bool {
        match pg::split_first_packet(&mut self.socket.input) {
            Ok(None) => false,
            Ok(Some(FirstPacket::SslRequest | FirstPacket::GssEncRequest)) => {
                self.push(cx, Bytes::from_static(b"N"), ChunkPermit::untracked());
                true
            }
            Ok(Some(FirstPacket::Cancel { process, secret })) => {
                call!([self.driver, cx], cancel_arrived(process, secret));
                self.end(cx);
                false
            }
            Ok(Some(FirstPacket::Startup { minor, parameters })) => {
                self.start(cx, minor, parameters);
                false
            }
            Err(error) => {
                self.send_fatal(cx, error.code(), &error.to_string());
                false
            }
        }
    }

    fn start(&mut self, cx: CX![], minor: u16, parameters: Vec<(String, String)>) {
        call!([self.driver, cx], session_started(self.id));
        if self.over_limit {
            self.send_fatal(cx, "53300", "sorry, too many clients already");
            return;
        }
        let mut unsupported = Vec::new();
        let mut start = SessionStart { parameters: Vec::new(), address: self.address.clone() };
        let mut user = None;
        let mut has_database = false;
        for (name, value) in parameters {
            match name.as_str() {
                "options" => match pg::split_options(&value) {
                    Ok(options) => {
                        let options = options.into_iter().map(|(name, value)| (name.into(), value));
                        start.parameters.extend(options);
                    }
                    Err(error) => {
                        self.send_fatal(cx, "42601", &error.to_string());
                        return;
                    }
                },
                "replication" => {
                    self.send_fatal(cx, "0A000", "replication connections are not supported");
                    return;
                }
                option if option.starts_with("_pq_.") => unsupported.push(name),
                _ => {
                    has_database |= name == "database";
                    if name == "user" {
                        user = Some(value.clone());
                    }
                    start.parameters.push((name.into(), value));
                }
            }
        }
        let Some(user) = user.filter(|user| !user.is_empty()) else {
            self.send_fatal(cx, "28000", "no PostgreSQL user name specified in startup packet");
            return;
        };
        if !has_database {
            start.parameters.push(("database".into(), user));
        }
        if minor > 0 || !unsupported.is_empty() {
            let mut output = BytesMut::new();
            pg::put_negotiate_version(&mut output, unsupported);
            self.push(cx, output.freeze(), ChunkPermit::untracked());
        }
        self.state = SessionState::Opening;
        call!([self.driver, cx], node_event(NodeEvent::SessionOpened { session: self.id, start }));
    }

    /// Processes the next message; returns whether there may be another.
    fn process_next_message(&mut self, cx: CX![]) -> bool {
        let frame = match FrameSplitter::new(self.request_limit).split(&mut self.socket.input) {
            Ok(Some(frame)) => frame,
            Ok(None) => return false,
            Err(error) => {
                self.send_fatal(cx, error.code(), &error.to_string());
                return false;
            }
        };
        if self.skip_to_sync && !matches!(frame.kind, kind::SYNC | kind::TERMINATE) {
            return true;
        }
        match frame.kind {
            kind::QUERY if self.messages.is_empty() => self.simple_query(cx, frame),
            kind::PARSE | kind::BIND | kind::DESCRIBE | kind::EXECUTE | kind::CLOSE => {
                self.message_bytes += frame.bytes.len();
                if self.message_bytes > self.request_limit {
                    let limit = self.request_limit;
                    let message = format!("a request of more than {limit} bytes is not accepted");
                    self.send_fatal(cx, "54000", &message);
                    return false;
                }
                self.messages.push(frame);
                true
            }
            kind::SYNC => {
                self.skip_to_sync = false;
                if self.messages.is_empty() {
                    self.ready_for_query(cx);
                    true
                } else {
                    self.extended_request(cx, false)
                }
            }
            kind::FLUSH => {
                if self.messages.is_empty() {
                    return true;
                }
                // The request ends with a Sync at the backend server, which a prepared statement
                // survives and a portal does not.
                if self.messages.iter().any(is_portal_message) {
                    self.send_fatal(cx, "0A000", "Flush after Bind or Execute is not supported");
                    return false;
                }
                self.extended_request(cx, true)
            }
            kind::TERMINATE => {
                self.end(cx);
                false
            }
            // Left over from a COPY that was refused.
            kind::COPY_DATA | kind::COPY_DONE | kind::COPY_FAIL => true,
            kind::FUNCTION_CALL => {
                self.send_fatal(cx, "0A000", "the function call protocol is not supported");
                false
            }
            other => {
                let message = match other {
                    kind::QUERY => "simple query before the Sync of an extended query".to_owned(),
                    _ => format!("invalid frontend message type {other}"),
                };
                self.send_fatal(cx, "08P01", &message);
                false
            }
        }
    }

    fn simple_query(&mut self, cx: CX![], frame: Frame) -> bool {
        match pg::read_query(frame.body()) {
            Ok(text) => {
                let text = Arc::from(text);
                self.statements.remove_unnamed();
                self.submit_request(cx, RequestKind::Simple, text, frame.bytes, false);
            }
            Err(error) => self.send_fatal(cx, "08P01", &error.to_string()),
        }
        false
    }

    fn extended_request(&mut self, cx: CX![], flush: bool) -> bool {
        let messages = std::mem::take(&mut self.messages);
        self.message_bytes = 0;
        let parsed = messages.iter().filter(|message| message.kind == kind::PARSE);
        let parsed: usize = parsed.map(|message| message.bytes.len()).sum();
        if parsed > 0 && !self.statement_share.resize(self.statements.bytes() + parsed) {
            let message =
                "the prepared statements of all sessions exceed their space (caller_limit)";
            self.send_fatal(cx, "53200", message);
            return false;
        }
        match self.statements.rewrite(&messages) {
            Ok(request) => {
                let text = Arc::from(request.text);
                self.submit_request(cx, RequestKind::Extended, text, request.frames, flush);
            }
            Err(error) => self.send_fatal(cx, error.code(), &error.to_string()),
        }
        false
    }

    fn submit_request(
        &mut self,
        cx: CX![],
        kind: RequestKind,
        text: Arc<str>,
        frames: Bytes,
        flush: bool,
    ) {
        self.state = SessionState::Busy { flush };
        self.request += 1;
        self.request_failed = false;
        let request = ClientRequest { kind, text, frames };
        call!([self.driver, cx], request_arrived(self.id, self.request, request));
    }

    fn ready_for_query(&mut self, cx: CX![]) {
        let mut output = BytesMut::new();
        pg::put_ready(&mut output, self.transaction);
        self.push(cx, output.freeze(), ChunkPermit::untracked());
    }

    /// Sends a fatal error and then closes the connection.
    fn send_fatal(&mut self, cx: CX![], code: &str, message: &str) {
        if matches!(self.state, SessionState::Closing) {
            return;
        }
        let mut output = BytesMut::new();
        pg::put_error(&mut output, Severity::Fatal, code, message);
        self.close_after(cx, output.freeze());
    }

    fn close_after(&mut self, cx: CX![], output: Bytes) {
        self.state = SessionState::Closing;
        self.messages = Vec::new();
        self.socket.input = BytesMut::new();
        if self.scanner.is_between_frames() {
            self.push(cx, output, ChunkPermit::untracked());
        }
        after!(CLOSING_TIMEOUT, [cx], closing_timed_out());
        self.flush(cx);
    }

    fn closing_timed_out(&mut self, cx: CX![]) {
        self.end(cx);
    }

    /// Called when the node has accepted the session.
    pub(crate) fn accept(&mut self, cx: CX![], parameters: Vec<(Name, String)>) {
        if self.state != SessionState::Opening {
            return;
        }
        let mut output = BytesMut::new();
        pg::put_authentication_ok(&mut output);
        for (name, value) in &parameters {
            pg::put_parameter_status(&mut output, name, value);
        }
        pg::put_backend_key(&mut output, self.process_id, self.secret);
        pg::put_ready(&mut output, self.transaction);
        self.push(cx, output.freeze(), ChunkPermit::untracked());
        self.state = SessionState::Idle;
        self.process(cx);
        self.read(cx);
    }

    /// Called when the node closes or refuses the session.
    pub(crate) fn close(&mut self, cx: CX![], error: Option<ErrorReply>) {
        if self.state == SessionState::Closing {
            return;
        }
        self.close_error = error;
        let elapsed = self.answered_at.map(|at| cx.now().saturating_duration_since(at));
        match elapsed.and_then(|elapsed| CLOSE_DELAY.checked_sub(elapsed)) {
            // A client that has sent its next message has read the answer.
            Some(left) if self.state == SessionState::Idle && self.socket.input.is_empty() => {
                self.state = SessionState::ClosePending;
                after!(left, [cx], close_now());
            }
            _ => self.close_now(cx),
        }
    }

    fn close_now(&mut self, cx: CX![]) {
        if self.state == SessionState::Closing {
            return;
        }
        match self.close_error.take() {
            Some(error) => self.send_fatal(cx, &error.code, &error.message),
            None => self.close_after(cx, Bytes::new()),
        }
    }

    /// Relays a part of the answer to a request.
    pub(crate) fn answer(&mut self, cx: CX![], request: u64, bytes: Bytes, permit: ChunkPermit) {
        if request != self.request || !matches!(self.state, SessionState::Busy { .. }) {
            return;
        }
        self.scan(&bytes);
        self.push(cx, bytes, permit);
    }

    fn scan(&mut self, bytes: &[u8]) {
        let ClientSession { scanner, statements, request_failed, .. } = self;
        scanner.scan(bytes, |answer_kind| {
            *request_failed |= answer_kind == kind::ERROR;
            statements.record_answer(answer_kind);
        });
    }

    /// Ends the request in progress.
    pub(crate) fn finish(
        &mut self,
        cx: CX![],
        token: Option<String>,
        notices: Vec<ErrorReply>,
        error: Option<ErrorReply>,
        frames: Bytes,
        transaction: TransactionState,
    ) {
        let SessionState::Busy { flush } = self.state else { return };
        if !self.scanner.is_between_frames() {
            // The source of the answer failed in the middle of a row, where no error can be sent.
            // Closing the connection tells the client.
            log::debug!(
                "answer ended in the middle of a row, closed the connection session={}",
                self.id.0
            );
            self.end(cx);
            return;
        }
        let mut output = BytesMut::new();
        output.extend_from_slice(&frames);
        for notice in &notices {
            pg::put_notice(&mut output, &notice.code, &notice.message);
        }
        if let Some(token) = &token {
            pg::put_parameter_status(&mut output, "cicadawick.token", token);
        }
        if let Some(error) = &error {
            pg::put_error(&mut output, Severity::Error, &error.code, &error.message);
        }
        self.scan(&output);
        self.transaction = match transaction {
            TransactionState::Idle => b'I',
            TransactionState::Open => b'T',
            TransactionState::Failed => b'E',
        };
        if flush {
            self.skip_to_sync = self.request_failed;
        } else {
            pg::put_ready(&mut output, self.transaction);
        }
        self.push(cx, output.freeze(), ChunkPermit::untracked());
        self.statement_share.resize(self.statements.bytes());
        self.state = SessionState::Idle;
        self.answered_at = Some(cx.now());
        self.process(cx);
        self.read(cx);
    }

    /// Describes the session, for the state dump.
    pub(crate) fn describe(&self) -> serde_json::Value {
        serde_json::json!({
            "id": self.id.0,
            "address": self.address.as_str(),
            "state": match self.state {
                SessionState::Starting => "starting",
                SessionState::Opening => "opening",
                SessionState::Idle => "idle",
                SessionState::Busy { .. } => "busy",
                SessionState::ClosePending | SessionState::Closing => "closing",
            },
            "requests": self.request,
            "buffer_bytes": self.socket.buffer_bytes() + self.message_bytes,
            "statements": self.statements.len(),
        })
    }
}

fn is_portal_message(message: &Frame) -> bool {
    match message.kind {
        kind::BIND | kind::EXECUTE => true,
        kind::DESCRIBE | kind::CLOSE => message.body().first() == Some(&b'P'),
        _ => false,
    }
}
