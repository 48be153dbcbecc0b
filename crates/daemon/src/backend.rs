//! A connection to a backend server that executes clients' requests.
//!
//! Rows pass from this actor directly to the session or peer, bypassing the node. The [`RelayMode`]
//! of an exchange says what is held back until the node has decided. The socket is not read while the
//! answer's relay window is full or while an undecided answer fills its buffer.

use std::rc::Rc;
use std::time::Duration;

use admit::ConnectionId;
use bytes::{Bytes, BytesMut};
use model::SocketAddress;
use node::{ErrorReply, ExchangeId, ExchangeSummary, RelayMode, TransactionState};
use pg::{ConnectionStatements, FrameSplitter, kind};
use rpc::TaskPool;
use stakker::{Actor, CX, after, call, fwd_to};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::cancel::send_cancel;
use crate::driver::IoDriver;
use crate::handshake::{SERVER_MESSAGE_LIMIT, ServerHandshake, startup_packet};
use crate::relay::{AnswerSink, RelayWindow};
use crate::socket::{BufferedSocket, ReadOutcome, ScratchBuffer};

/// Maximum size of the part of an answer that is held back.
pub(crate) const HELD_LIMIT_BYTES: usize = 256 * 1024;

/// Maximum number of prepared statements on one connection.
const STATEMENT_LIMIT: usize = 256;

/// Maximum number of bytes in one read, so that one connection does not occupy the loop.
const READ_LIMIT_BYTES: usize = 128 * 1024;

/// Timeout for opening a connection, including the start-up handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Parameters of a new connection.
pub(crate) struct BackendSetup {
    pub(crate) id: ConnectionId,
    pub(crate) address: SocketAddress,
    pub(crate) user: String,
    pub(crate) catalog: String,
    pub(crate) pool: TaskPool,
    pub(crate) scratch: ScratchBuffer,
}

/// An answer that awaits the node's decision after its exchange has ended.
pub(crate) struct HeldAnswer {
    pub(crate) sink: AnswerSink,
    pub(crate) bytes: Bytes,
}

/// What to do with the next part of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutputPolicy {
    Drop,
    /// Everything is held until the node decides.
    Undecided,
    /// Everything is held, up to [`HELD_LIMIT_BYTES`].
    HoldAll,
    /// Rows are relayed, the completion is held.
    HoldCompletion,
    /// The completion is held, and so is everything that follows it.
    HoldRest,
    Relay,
}

struct ActiveExchange {
    id: ExchangeId,
    policy: OutputPolicy,
    collect_first_row: bool,
    sink: Option<AnswerSink>,
    held: BytesMut,
    output_started: bool,
    summary: ExchangeSummary,
    /// Bytes of a large frame that have not been passed on yet.
    large_frame_left: usize,
    /// The backend server started a COPY, which is refused.
    copy_refused: bool,
    /// The request uses the extended query protocol.
    extended: bool,
    /// At least one statement of the request has completed.
    statement_completed: bool,
}

/// State of the cancel request for the active exchange. A cancel request that arrives late would hit
/// the next exchange, so the end of the exchange is reported only after the cancel request has ended.
#[derive(Debug, PartialEq, Eq)]
enum CancelState {
    None,
    Pending,
    Delivered,
    Failed,
}

enum BackendState {
    Opening(ServerHandshake),
    Idle,
    Running(Box<ActiveExchange>),
    /// The answer is complete, but a cancel request is still in progress.
    Ending(Box<ActiveExchange>),
}

/// A connection to a backend server.
pub(crate) struct BackendConnection {
    id: ConnectionId,
    address: SocketAddress,
    driver: Actor<IoDriver>,
    socket: BufferedSocket,
    state: BackendState,
    statements: ConnectionStatements,
    window: Rc<RelayWindow>,
    pool: TaskPool,
    process_id: i32,
    secret: Vec<u8>,
    cancel: CancelState,
    ended: bool,
}

impl BackendConnection {
    /// Starts to open a connection.
    pub(crate) fn init(cx: CX![], driver: Actor<IoDriver>, setup: BackendSetup) -> Option<Self> {
        let BackendSetup { id, address, user, catalog, pool, scratch } = setup;
        let poll: MioPoll = cx.anymap_get();
        let ready = fwd_to!([cx], ready() as (Ready));
        let socket = TcpStream::connect(rpc::dial_address(address))
            .and_then(|stream| BufferedSocket::new(&poll, stream, scratch, ready));
        let mut socket = match socket {
            Ok(socket) => socket,
            Err(error) => {
                let message = format!("failed to connect to {address}: {error}");
                call!([driver, cx], backend_lost(id, message));
                return None;
            }
        };
        socket.push(startup_packet(&user, &catalog), rpc::ChunkPermit::untracked());
        let window = RelayWindow::new(fwd_to!([cx], resume() as ()));
        after!(OPEN_TIMEOUT, [cx], check_open_timeout());
        Some(BackendConnection {
            id,
            address,
            driver,
            socket,
            state: BackendState::Opening(ServerHandshake::default()),
            statements: ConnectionStatements::new(STATEMENT_LIMIT),
            window,
            pool,
            process_id: 0,
            secret: Vec::new(),
            cancel: CancelState::None,
            ended: false,
        })
    }

    fn check_open_timeout(&mut self, cx: CX![]) {
        if matches!(self.state, BackendState::Opening(_)) {
            self.report_loss(cx, format!("timed out opening a connection to {}", self.address));
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if ready.is_writable() {
            self.flush(cx);
        }
        self.read(cx);
    }

    fn resume(&mut self, cx: CX![]) {
        self.read(cx);
    }

    fn flush(&mut self, cx: CX![]) {
        if !self.ended
            && let Err(error) = self.socket.flush()
        {
            self.report_loss(cx, format!("lost the connection to {}: {error}", self.address));
        }
    }

    /// Reports the loss of the connection once; the driver then drops this actor.
    fn report_loss(&mut self, cx: CX![], message: String) {
        if !self.ended {
            self.ended = true;
            call!([self.driver, cx], backend_lost(self.id, message));
        }
    }

    fn is_paused(&self) -> bool {
        let undecided = match &self.state {
            BackendState::Running(active) => {
                active.policy == OutputPolicy::Undecided && active.held.len() >= HELD_LIMIT_BYTES
            }
            _ => false,
        };
        undecided || self.window.pause_if_full()
    }

    fn read(&mut self, cx: CX![]) {
        if self.ended || self.is_paused() {
            return;
        }
        // A frame that is parsed as a whole may need more than one read.
        let limit = self.socket.input.len() + READ_LIMIT_BYTES;
        let outcome = self.socket.fill(limit);
        if let Err(message) = self.process(cx) {
            self.report_loss(cx, message);
            return;
        }
        match outcome {
            ReadOutcome::Open => {
                if self.socket.may_have_input() && !self.ended {
                    call!([cx], resume());
                }
            }
            ReadOutcome::Ended => {
                self.report_loss(cx, format!("{} closed the connection", self.address));
            }
            ReadOutcome::Failed(error) => {
                self.report_loss(cx, format!("lost the connection to {}: {error}", self.address));
            }
        }
    }

    fn process(&mut self, cx: CX![]) -> Result<(), String> {
        loop {
            match &mut self.state {
                BackendState::Opening(handshake) => {
                    let Some(frame) = split_frame(&mut self.socket.input)? else { break };
                    if handshake.message(&frame)? {
                        self.process_id = handshake.process_id;
                        self.secret = std::mem::take(&mut handshake.secret);
                        self.state = BackendState::Idle;
                        call!([self.driver, cx], backend_opened(self.id));
                    }
                }
                BackendState::Idle | BackendState::Ending(_) => {
                    let Some(frame) = split_frame(&mut self.socket.input)? else { break };
                    if frame.kind == kind::ERROR {
                        let error = pg::read_error(frame.body()).map(|error| error.message);
                        let message = error.unwrap_or_else(|error| error.to_string());
                        return Err(format!("{} ended the connection: {message}", self.address));
                    }
                }
                BackendState::Running(_) => {
                    if !self.process_answer(cx)? {
                        break;
                    }
                }
            }
        }
        self.socket.release_input();
        Ok(())
    }

    /// Processes the next part of an answer; returns whether there may be another.
    fn process_answer(&mut self, cx: CX![]) -> Result<bool, String> {
        let BackendState::Running(active) = &mut self.state else { return Ok(false) };
        let input = &mut self.socket.input;
        if active.large_frame_left > 0 {
            let bytes = input.split_to(active.large_frame_left.min(input.len())).freeze();
            if bytes.is_empty() {
                return Ok(false);
            }
            active.large_frame_left -= bytes.len();
            self.emit(cx, bytes)?;
            return Ok(true);
        }
        // Joins consecutive frames that are relayed unparsed into one part.
        let mut passthrough = 0;
        while let Some((next, length)) =
            pg::peek_header(&input[passthrough..]).map_err(|error| error.to_string())?
        {
            if !is_passthrough(next, active) || input.len() - passthrough < length {
                break;
            }
            passthrough += length;
        }
        if passthrough > 0 {
            let bytes = input.split_to(passthrough).freeze();
            self.emit(cx, bytes)?;
            return Ok(true);
        }
        let header = pg::peek_header(input).map_err(|error| error.to_string())?;
        if let Some((next, length)) = header
            && is_passthrough(next, active)
            && length > rpc::CHUNK_BYTES
        {
            active.large_frame_left = length;
            return Ok(true);
        }
        let Some(frame) = split_frame(input)? else { return Ok(false) };
        self.answer_frame(cx, frame)?;
        Ok(true)
    }

    fn answer_frame(&mut self, cx: CX![], frame: pg::Frame) -> Result<(), String> {
        let BackendState::Running(active) = &mut self.state else { return Ok(()) };
        let invalid = |error: pg::BodyError| error.to_string();
        match frame.kind {
            kind::PARSE_COMPLETE | kind::CLOSE_COMPLETE => {
                if self.statements.record_answer(frame.kind) {
                    self.emit(cx, frame.bytes)?;
                }
            }
            kind::DATA_ROW => {
                if active.collect_first_row && active.summary.first_row.is_empty() {
                    active.summary.first_row = pg::read_data_row(frame.body()).map_err(invalid)?;
                }
            }
            kind::COMMAND_COMPLETE => {
                let tag = pg::read_command_tag(frame.body()).map_err(invalid)?;
                if matches!(tag, "DEALLOCATE ALL" | "DISCARD ALL") {
                    self.statements.clear();
                }
                active.summary.command_tag = Some(tag.to_owned());
                if active.copy_refused {
                    self.refuse_copy(cx)?;
                } else {
                    self.emit_completion(cx, frame.bytes)?;
                }
            }
            kind::ERROR => {
                let error = pg::read_error(frame.body()).map_err(invalid)?;
                if error.severity == "FATAL" || error.severity == "PANIC" {
                    // Ends only the backend connection, not the client's, so the node reports the
                    // error.
                    return Err(format!(
                        "{} ended the connection: {} (SQLSTATE {})",
                        self.address, error.message, error.code
                    ));
                }
                self.statements.record_answer(kind::ERROR);
                if active.copy_refused {
                    self.refuse_copy(cx)?;
                    return Ok(());
                }
                let code = error.code.as_str().into();
                active.summary.error.get_or_insert(ErrorReply { code, message: error.message });
                self.emit_completion(cx, frame.bytes)?;
            }
            kind::COPY_IN => {
                active.copy_refused = true;
                let mut output = BytesMut::new();
                pg::put_copy_fail(&mut output, "COPY is not supported");
                if active.extended {
                    // The backend server ignored the request's own Sync while it expected data.
                    pg::put_sync(&mut output);
                }
                self.socket.push(output.freeze(), rpc::ChunkPermit::untracked());
                self.flush(cx);
            }
            kind::COPY_OUT => active.copy_refused = true,
            kind::COPY_BOTH => {
                return Err("the backend server started a replication stream".to_owned());
            }
            kind::COPY_DATA | kind::COPY_DONE | kind::NOTIFICATION => {}
            kind::READY => {
                let status = pg::read_ready(frame.body()).map_err(invalid)?;
                active.summary.transaction = match status {
                    b'T' => TransactionState::Open,
                    b'E' => TransactionState::Failed,
                    _ => TransactionState::Idle,
                };
                self.finish_exchange(cx);
            }
            _ => self.emit(cx, frame.bytes)?,
        }
        Ok(())
    }

    fn refuse_copy(&mut self, cx: CX![]) -> Result<(), String> {
        let BackendState::Running(active) = &mut self.state else { return Ok(()) };
        if active.summary.error.is_some() {
            return Ok(());
        }
        let message = "COPY is not supported";
        active.summary.error =
            Some(ErrorReply { code: "0A000".into(), message: message.to_owned() });
        let mut output = BytesMut::new();
        pg::put_error(&mut output, pg::Severity::Error, "0A000", message);
        self.emit_completion(cx, output.freeze())
    }

    /// Passes on the part of an answer that ends a statement.
    fn emit_completion(&mut self, cx: CX![], bytes: Bytes) -> Result<(), String> {
        if let BackendState::Running(active) = &mut self.state {
            let first = !std::mem::replace(&mut active.statement_completed, true);
            if active.policy == OutputPolicy::HoldCompletion {
                active.policy = OutputPolicy::HoldRest;
            }
            if active.policy == OutputPolicy::HoldAll
                && first
                && active.held.len() + bytes.len() > HELD_LIMIT_BYTES
            {
                active.policy = OutputPolicy::HoldRest;
                call!([self.driver, cx], held_rows_relayed(self.id, active.id));
                let held = active.held.split().freeze();
                relay(cx, active, &self.window, held);
            }
        }
        self.emit(cx, bytes)
    }

    fn emit(&mut self, cx: CX![], bytes: Bytes) -> Result<(), String> {
        let BackendState::Running(active) = &mut self.state else { return Ok(()) };
        if !active.output_started {
            active.output_started = true;
            // If the answer begins with an error, the node decides once the answer is complete.
            let is_error = bytes.first() == Some(&kind::ERROR);
            if active.policy == OutputPolicy::Undecided && !is_error {
                call!([self.driver, cx], answer_started(self.id, active.id));
            }
        }
        match active.policy {
            OutputPolicy::Drop => {}
            OutputPolicy::Undecided => active.held.extend_from_slice(&bytes),
            OutputPolicy::HoldAll => {
                active.held.extend_from_slice(&bytes);
                if active.held.len() > HELD_LIMIT_BYTES {
                    if active.statement_completed {
                        return Err(held_limit_exceeded());
                    }
                    active.policy = OutputPolicy::HoldCompletion;
                    call!([self.driver, cx], held_rows_relayed(self.id, active.id));
                    let held = active.held.split().freeze();
                    relay(cx, active, &self.window, held);
                }
            }
            OutputPolicy::HoldRest => {
                active.held.extend_from_slice(&bytes);
                if active.held.len() > HELD_LIMIT_BYTES {
                    return Err(held_limit_exceeded());
                }
            }
            OutputPolicy::HoldCompletion | OutputPolicy::Relay => {
                relay(cx, active, &self.window, bytes);
            }
        }
        Ok(())
    }

    fn finish_exchange(&mut self, cx: CX![]) {
        match std::mem::replace(&mut self.state, BackendState::Idle) {
            BackendState::Running(active) if self.cancel == CancelState::Pending => {
                self.state = BackendState::Ending(active);
            }
            BackendState::Running(active) | BackendState::Ending(active) => {
                let ActiveExchange { id: exchange, sink, held, summary, .. } = *active;
                let held = match sink {
                    Some(sink) if !held.is_empty() => {
                        Some(HeldAnswer { sink, bytes: held.freeze() })
                    }
                    _ => None,
                };
                call!([self.driver, cx], exchange_finished(self.id, exchange, summary, held));
                if self.cancel == CancelState::Failed {
                    self.report_loss(
                        cx,
                        "a cancel request failed and may still take effect".to_owned(),
                    );
                }
                self.cancel = CancelState::None;
            }
            other => self.state = other,
        }
    }

    /// Sends the frames of a request; `mode` says how the answer goes to `sink`.
    pub(crate) fn start_exchange(
        &mut self,
        cx: CX![],
        exchange: ExchangeId,
        frames: Bytes,
        mode: RelayMode,
        sink: Option<AnswerSink>,
    ) {
        if !matches!(self.state, BackendState::Idle) || self.ended {
            // The node starts one exchange at a time, so the connection has just been lost.
            self.report_loss(cx, "the connection is not idle".to_owned());
            return;
        }
        let policy = match (mode, &sink) {
            (RelayMode::Collect, _) | (_, None) => OutputPolicy::Drop,
            (RelayMode::Decide(_), _) => OutputPolicy::Undecided,
            (RelayMode::Hold(_), _) => OutputPolicy::HoldAll,
            (RelayMode::Stream(_), _) => OutputPolicy::Relay,
        };
        self.state = BackendState::Running(Box::new(ActiveExchange {
            id: exchange,
            policy,
            collect_first_row: mode == RelayMode::Collect,
            sink,
            held: BytesMut::new(),
            output_started: false,
            summary: ExchangeSummary::default(),
            large_frame_left: 0,
            copy_refused: false,
            extended: frames.first() != Some(&kind::QUERY),
            statement_completed: false,
        }));
        let frames = self.statements.rewrite(frames);
        self.socket.push(frames, rpc::ChunkPermit::untracked());
        self.flush(cx);
    }

    /// Applies the node's decision on the answer of the active exchange.
    pub(crate) fn apply_relay_decision(&mut self, cx: CX![], exchange: ExchangeId, relayed: bool) {
        let active = match &mut self.state {
            BackendState::Running(active) | BackendState::Ending(active) => active,
            _ => return,
        };
        if active.id != exchange {
            return;
        }
        let held = active.held.split().freeze();
        if relayed {
            active.policy = OutputPolicy::Relay;
            relay(cx, active, &self.window, held);
        } else {
            active.policy = OutputPolicy::Drop;
        }
        call!([cx], resume());
    }

    /// Asks the backend server to cancel the active exchange.
    pub(crate) fn cancel(&mut self, cx: CX![], exchange: ExchangeId) {
        let BackendState::Running(active) = &self.state else { return };
        if active.id != exchange || self.cancel != CancelState::None {
            return;
        }
        self.cancel = CancelState::Pending;
        let packet = pg::cancel_request(self.process_id, &self.secret);
        let done = fwd_to!([cx], cancel_finished() as (bool));
        send_cancel(cx, &self.pool, self.address, packet, done);
    }

    fn cancel_finished(&mut self, cx: CX![], delivered: bool) {
        if self.cancel != CancelState::Pending {
            return;
        }
        self.cancel = if delivered { CancelState::Delivered } else { CancelState::Failed };
        if matches!(self.state, BackendState::Ending(_)) {
            self.finish_exchange(cx);
        }
    }

    /// Sends a Terminate message; the driver then drops the actor.
    pub(crate) fn close(&mut self, cx: CX![]) {
        let mut output = BytesMut::new();
        pg::put_terminate(&mut output);
        self.socket.push(output.freeze(), rpc::ChunkPermit::untracked());
        // The socket is dropped next, so a Terminate message that cannot be written is lost without
        // harm.
        let _ = self.socket.flush();
        self.ended = true;
        cx.stop();
    }

    /// Describes the connection, for the state dump.
    pub(crate) fn describe(&self) -> serde_json::Value {
        let (state, held) = match &self.state {
            BackendState::Opening(_) => ("opening", 0),
            BackendState::Idle => ("idle", 0),
            BackendState::Running(active) => ("running", active.held.len()),
            BackendState::Ending(active) => ("ending", active.held.len()),
        };
        serde_json::json!({
            "id": self.id.0,
            "address": self.address.to_string(),
            "state": state,
            "held_bytes": held,
            "relayed_bytes_in_flight": self.window.in_flight(),
            "buffer_bytes": self.socket.buffer_bytes(),
            "prepared_statements": self.statements.len(),
        })
    }
}

fn split_frame(input: &mut BytesMut) -> Result<Option<pg::Frame>, String> {
    FrameSplitter::new(SERVER_MESSAGE_LIMIT).split(input).map_err(|error| error.to_string())
}

/// Returns whether a message is relayed without being parsed.
fn is_passthrough(next: u8, active: &ActiveExchange) -> bool {
    match next {
        kind::DATA_ROW => !active.collect_first_row && !active.copy_refused,
        kind::ROW_DESCRIPTION | kind::BIND_COMPLETE | kind::NO_DATA => true,
        _ => false,
    }
}

fn held_limit_exceeded() -> String {
    format!("more than {HELD_LIMIT_BYTES} bytes follow a completed write in one request")
}

fn relay(
    core: &mut stakker::Core,
    active: &ActiveExchange,
    window: &Rc<RelayWindow>,
    bytes: Bytes,
) {
    if let Some(sink) = &active.sink
        && !bytes.is_empty()
    {
        let permit = window.acquire(bytes.len());
        sink.send(core, bytes, permit);
    }
}
