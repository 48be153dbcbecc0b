//! A connection to a backend server that runs callers' requests.
//!
//! Rows pass from this actor to the session or peer without a detour over the node. The [`RelayMode`]
//! of a run says what is held back until the node has decided. The socket is not read while the
//! answer's window is full or while an undecided answer fills its buffer.

use std::rc::Rc;
use std::time::Duration;

use admit::ConnectionId;
use bytes::{Bytes, BytesMut};
use model::SocketAddress;
use node::{ErrorReply, RelayMode, RunId, RunSummary, TransactionState};
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

/// Bytes of an answer that are held back at most.
pub(crate) const HELD_BYTES: usize = 256 * 1024;

/// Prepared statements of one connection.
const STATEMENT_LIMIT: usize = 256;

/// Bytes that one read takes, so that one connection does not keep the loop.
const READ_BYTES: usize = 128 * 1024;

/// Time to open a connection.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// What opening a connection needs.
pub(crate) struct BackendStart {
    pub(crate) id: ConnectionId,
    pub(crate) address: SocketAddress,
    pub(crate) user: String,
    pub(crate) catalog: String,
    pub(crate) pool: TaskPool,
    pub(crate) scratch: ScratchBuffer,
}

/// An answer that waits for the node's decision after its run ended.
pub(crate) struct HeldAnswer {
    pub(crate) sink: AnswerSink,
    pub(crate) bytes: Bytes,
}

/// What happens to the next part of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutputPolicy {
    Drop,
    /// Everything is held until the node decides.
    Undecided,
    /// Everything is held up to the bound.
    HoldAll,
    /// Rows are relayed, the completion is held.
    HoldCompletion,
    /// The completion was held, and so is what follows.
    HoldRest,
    Relay,
}

struct ActiveRun {
    run: RunId,
    policy: OutputPolicy,
    collect: bool,
    sink: Option<AnswerSink>,
    held: BytesMut,
    started: bool,
    summary: RunSummary,
    /// Bytes of a large frame that are still to be passed on.
    passing: usize,
    /// The backend server began a COPY, which is refused.
    copy_refused: bool,
    /// The run uses the extended protocol.
    extended: bool,
    /// A statement of the run is complete.
    completed: bool,
}

/// State of the cancel request for the active run. A late one would hit the next run, so the end of
/// the run is reported only when the cancel request is over.
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
    Running(Box<ActiveRun>),
    /// The answer is complete, a cancel request is under way.
    Ending(Box<ActiveRun>),
}

/// A connection to a backend server.
pub(crate) struct Backend {
    id: ConnectionId,
    address: SocketAddress,
    driver: Actor<IoDriver>,
    socket: BufferedSocket,
    state: BackendState,
    statements: ConnectionStatements,
    window: Rc<RelayWindow>,
    pool: TaskPool,
    process: i32,
    secret: Vec<u8>,
    cancel: CancelState,
    lost: bool,
}

impl Backend {
    /// Begins to open a connection.
    pub(crate) fn init(cx: CX![], driver: Actor<IoDriver>, start: BackendStart) -> Option<Self> {
        let BackendStart { id, address, user, catalog, pool, scratch } = start;
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
        socket.push(startup_packet(&user, &catalog), rpc::ChunkPermit::free());
        let window = RelayWindow::new(fwd_to!([cx], resume() as ()));
        after!(OPEN_TIMEOUT, [cx], check_opened());
        Some(Backend {
            id,
            address,
            driver,
            socket,
            state: BackendState::Opening(ServerHandshake::default()),
            statements: ConnectionStatements::new(STATEMENT_LIMIT),
            window,
            pool,
            process: 0,
            secret: Vec::new(),
            cancel: CancelState::None,
            lost: false,
        })
    }

    fn check_opened(&mut self, cx: CX![]) {
        if matches!(self.state, BackendState::Opening(_)) {
            self.lose(cx, format!("no connection to {} in time", self.address));
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
        if !self.lost
            && let Err(error) = self.socket.flush()
        {
            self.lose(cx, format!("lost the connection to {}: {error}", self.address));
        }
    }

    /// Reports the loss once; the driver then drops this actor.
    fn lose(&mut self, cx: CX![], message: String) {
        if !self.lost {
            self.lost = true;
            call!([self.driver, cx], backend_lost(self.id, message));
        }
    }

    fn is_paused(&self) -> bool {
        let undecided = match &self.state {
            BackendState::Running(active) => {
                active.policy == OutputPolicy::Undecided && active.held.len() >= HELD_BYTES
            }
            _ => false,
        };
        undecided || self.window.pause_if_full()
    }

    fn read(&mut self, cx: CX![]) {
        if self.lost || self.is_paused() {
            return;
        }
        // A frame that is read whole may need more than one read.
        let limit = self.socket.input.len() + READ_BYTES;
        let outcome = self.socket.fill(limit);
        if let Err(message) = self.process(cx) {
            self.lose(cx, message);
            return;
        }
        match outcome {
            ReadOutcome::Open => {
                if self.socket.has_more() && !self.lost {
                    call!([cx], resume());
                }
            }
            ReadOutcome::Ended => {
                self.lose(cx, format!("{} closed the connection", self.address));
            }
            ReadOutcome::Failed(error) => {
                self.lose(cx, format!("lost the connection to {}: {error}", self.address));
            }
        }
    }

    fn process(&mut self, cx: CX![]) -> Result<(), String> {
        loop {
            match &mut self.state {
                BackendState::Opening(handshake) => {
                    let Some(frame) = split(&mut self.socket.input)? else { break };
                    if handshake.message(&frame)? {
                        self.process = handshake.process;
                        self.secret = std::mem::take(&mut handshake.secret);
                        self.state = BackendState::Idle;
                        call!([self.driver, cx], backend_opened(self.id));
                    }
                }
                BackendState::Idle | BackendState::Ending(_) => {
                    let Some(frame) = split(&mut self.socket.input)? else { break };
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

    /// Handles the next part of an answer; returns whether there may be another.
    fn process_answer(&mut self, cx: CX![]) -> Result<bool, String> {
        let BackendState::Running(active) = &mut self.state else { return Ok(false) };
        let input = &mut self.socket.input;
        if active.passing > 0 {
            let bytes = input.split_to(active.passing.min(input.len())).freeze();
            if bytes.is_empty() {
                return Ok(false);
            }
            active.passing -= bytes.len();
            self.emit(cx, bytes)?;
            return Ok(true);
        }
        // Joins whole frames that need no look into one part.
        let mut plain = 0;
        while let Some((next, length)) =
            pg::peek_header(&input[plain..]).map_err(|error| error.to_string())?
        {
            if !is_plain(next, active) || input.len() - plain < length {
                break;
            }
            plain += length;
        }
        if plain > 0 {
            let bytes = input.split_to(plain).freeze();
            self.emit(cx, bytes)?;
            return Ok(true);
        }
        let header = pg::peek_header(input).map_err(|error| error.to_string())?;
        if let Some((next, length)) = header
            && is_plain(next, active)
            && length > rpc::CHUNK_BYTES
        {
            active.passing = length;
            return Ok(true);
        }
        let Some(frame) = split(input)? else { return Ok(false) };
        self.answer_frame(cx, frame)?;
        Ok(true)
    }

    fn answer_frame(&mut self, cx: CX![], frame: pg::Frame) -> Result<(), String> {
        let BackendState::Running(active) = &mut self.state else { return Ok(()) };
        let invalid = |error: pg::BodyError| error.to_string();
        match frame.kind {
            kind::PARSE_COMPLETE | kind::CLOSE_COMPLETE => {
                if self.statements.answered(frame.kind) {
                    self.emit(cx, frame.bytes)?;
                }
            }
            kind::DATA_ROW => {
                if active.collect && active.summary.first_row.is_empty() {
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
                    // Not the caller's connection ends, so the caller gets an error of the node.
                    return Err(format!(
                        "{} ended the connection: {} (SQLSTATE {})",
                        self.address, error.message, error.code
                    ));
                }
                self.statements.answered(kind::ERROR);
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
                self.socket.push(output.freeze(), rpc::ChunkPermit::free());
                self.flush(cx);
            }
            kind::COPY_OUT => active.copy_refused = true,
            kind::COPY_BOTH => return Err("the backend server began a replication".to_owned()),
            kind::COPY_DATA | kind::COPY_DONE | kind::NOTIFICATION => {}
            kind::READY => {
                let status = pg::read_ready(frame.body()).map_err(invalid)?;
                active.summary.transaction = match status {
                    b'T' => TransactionState::Open,
                    b'E' => TransactionState::Failed,
                    _ => TransactionState::Idle,
                };
                self.finish(cx);
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

    /// Passes on a part that ends a statement.
    fn emit_completion(&mut self, cx: CX![], bytes: Bytes) -> Result<(), String> {
        if let BackendState::Running(active) = &mut self.state {
            let first = !std::mem::replace(&mut active.completed, true);
            if active.policy == OutputPolicy::HoldCompletion {
                active.policy = OutputPolicy::HoldRest;
            }
            if active.policy == OutputPolicy::HoldAll
                && first
                && active.held.len() + bytes.len() > HELD_BYTES
            {
                active.policy = OutputPolicy::HoldRest;
                call!([self.driver, cx], held_rows_relayed(self.id, active.run));
                let held = active.held.split().freeze();
                relay(cx, active, &self.window, held);
            }
        }
        self.emit(cx, bytes)
    }

    fn emit(&mut self, cx: CX![], bytes: Bytes) -> Result<(), String> {
        let BackendState::Running(active) = &mut self.state else { return Ok(()) };
        if !active.started {
            active.started = true;
            // The node decides about an answer that begins with an error when it is complete.
            let is_error = bytes.first() == Some(&kind::ERROR);
            if active.policy == OutputPolicy::Undecided && !is_error {
                call!([self.driver, cx], run_started(self.id, active.run));
            }
        }
        match active.policy {
            OutputPolicy::Drop => {}
            OutputPolicy::Undecided => active.held.extend_from_slice(&bytes),
            OutputPolicy::HoldAll => {
                active.held.extend_from_slice(&bytes);
                if active.held.len() > HELD_BYTES {
                    if active.completed {
                        return Err(too_much_held());
                    }
                    active.policy = OutputPolicy::HoldCompletion;
                    call!([self.driver, cx], held_rows_relayed(self.id, active.run));
                    let held = active.held.split().freeze();
                    relay(cx, active, &self.window, held);
                }
            }
            OutputPolicy::HoldRest => {
                active.held.extend_from_slice(&bytes);
                if active.held.len() > HELD_BYTES {
                    return Err(too_much_held());
                }
            }
            OutputPolicy::HoldCompletion | OutputPolicy::Relay => {
                relay(cx, active, &self.window, bytes);
            }
        }
        Ok(())
    }

    fn finish(&mut self, cx: CX![]) {
        match std::mem::replace(&mut self.state, BackendState::Idle) {
            BackendState::Running(active) if self.cancel == CancelState::Pending => {
                self.state = BackendState::Ending(active);
            }
            BackendState::Running(active) | BackendState::Ending(active) => {
                let ActiveRun { run, sink, held, summary, .. } = *active;
                let held = match sink {
                    Some(sink) if !held.is_empty() => {
                        Some(HeldAnswer { sink, bytes: held.freeze() })
                    }
                    _ => None,
                };
                call!([self.driver, cx], run_finished(self.id, run, summary, held));
                if self.cancel == CancelState::Failed {
                    self.lose(cx, "a cancel request may still be on its way".to_owned());
                }
                self.cancel = CancelState::None;
            }
            other => self.state = other,
        }
    }

    /// Sends frames; the answer goes to `sink` as `mode` says.
    pub(crate) fn run(
        &mut self,
        cx: CX![],
        run: RunId,
        frames: Bytes,
        mode: RelayMode,
        sink: Option<AnswerSink>,
    ) {
        if !matches!(self.state, BackendState::Idle) || self.lost {
            // The node runs one request at a time, so this is a connection that was just lost.
            self.lose(cx, "the connection is not idle".to_owned());
            return;
        }
        let policy = match (mode, &sink) {
            (RelayMode::Collect, _) | (_, None) => OutputPolicy::Drop,
            (RelayMode::Decide(_), _) => OutputPolicy::Undecided,
            (RelayMode::Hold(_), _) => OutputPolicy::HoldAll,
            (RelayMode::Stream(_), _) => OutputPolicy::Relay,
        };
        self.state = BackendState::Running(Box::new(ActiveRun {
            run,
            policy,
            collect: mode == RelayMode::Collect,
            sink,
            held: BytesMut::new(),
            started: false,
            summary: RunSummary::default(),
            passing: 0,
            copy_refused: false,
            extended: frames.first() != Some(&kind::QUERY),
            completed: false,
        }));
        let frames = self.statements.plan(frames);
        self.socket.push(frames, rpc::ChunkPermit::free());
        self.flush(cx);
    }

    /// Carries out the node's decision about the active run.
    pub(crate) fn decide(&mut self, cx: CX![], run: RunId, relayed: bool) {
        let active = match &mut self.state {
            BackendState::Running(active) | BackendState::Ending(active) => active,
            _ => return,
        };
        if active.run != run {
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

    /// Asks the backend server to cancel the active run.
    pub(crate) fn cancel(&mut self, cx: CX![], run: RunId) {
        let BackendState::Running(active) = &self.state else { return };
        if active.run != run || self.cancel != CancelState::None {
            return;
        }
        self.cancel = CancelState::Pending;
        let packet = pg::cancel_request(self.process, &self.secret);
        let done = fwd_to!([cx], cancelled() as (bool));
        send_cancel(cx, &self.pool, self.address, packet, done);
    }

    fn cancelled(&mut self, cx: CX![], delivered: bool) {
        if self.cancel != CancelState::Pending {
            return;
        }
        self.cancel = if delivered { CancelState::Delivered } else { CancelState::Failed };
        if matches!(self.state, BackendState::Ending(_)) {
            self.finish(cx);
        }
    }

    /// Says goodbye; the driver drops the actor afterwards.
    pub(crate) fn close(&mut self, cx: CX![]) {
        let mut output = BytesMut::new();
        pg::put_terminate(&mut output);
        self.socket.push(output.freeze(), rpc::ChunkPermit::free());
        // The socket is dropped next; a terminate message that does not fit is not missed.
        let _ = self.socket.flush();
        self.lost = true;
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

fn split(input: &mut BytesMut) -> Result<Option<pg::Frame>, String> {
    FrameSplitter::new(SERVER_MESSAGE_LIMIT).split(input).map_err(|error| error.to_string())
}

/// Tells whether a message goes to the caller without a look into it.
fn is_plain(next: u8, active: &ActiveRun) -> bool {
    match next {
        kind::DATA_ROW => !active.collect && !active.copy_refused,
        kind::ROW_DESCRIPTION | kind::BIND_COMPLETE | kind::NO_DATA => true,
        _ => false,
    }
}

fn too_much_held() -> String {
    format!("more than {HELD_BYTES} bytes follow a completed write in one request")
}

fn relay(core: &mut stakker::Core, active: &ActiveRun, window: &Rc<RelayWindow>, bytes: Bytes) {
    if let Some(sink) = &active.sink
        && !bytes.is_empty()
    {
        let permit = window.take(bytes.len());
        sink.send(core, bytes, permit);
    }
}
