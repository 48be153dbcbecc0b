//! The report connection to one database.
//!
//! It is opened by the first request. Requests are pipelined and answered in order. When the
//! connection fails or a request times out, all requests in progress fail and the actor ends; the next
//! request opens a new connection.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use failover::{DatabaseReport, DatabaseRole};
use model::{LogPosition, Name, SocketAddress, Term};
use node::{NodeEvent, ReportId};
use pg::{FrameSplitter, kind};
use stakker::{Actor, CX, after, call, fwd_to};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, Ready};

use crate::driver::IoDriver;
use crate::handshake::{SERVER_MESSAGE_LIMIT, ServerHandshake, startup_packet};
use crate::socket::{BufferedSocket, ReadOutcome, ScratchBuffer};

/// Timeout of a request, including the opening of the connection. Shorter than a step of a promotion,
/// so that a frozen database does not delay it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of requests that wait for an answer.
const PENDING_REQUEST_LIMIT: usize = 32;

const READ_LIMIT_BYTES: usize = 64 * 1024;

/// A request to a database's report functions.
#[derive(Clone, Debug)]
pub(crate) enum ReportRequest {
    Report,
    Fence { term: Term, by: Name },
    Promote { term: Term },
    Follow { term: Term, leader: Name },
}

impl ReportRequest {
    fn statement(&self) -> String {
        let quote = |name: &Name| name.replace('\'', "''");
        match self {
            ReportRequest::Report => "SELECT * FROM cicadawick_report()".to_owned(),
            ReportRequest::Fence { term, by } => {
                format!("SELECT * FROM cicadawick_fence({term}, '{}')", quote(by))
            }
            ReportRequest::Promote { term } => format!("SELECT cicadawick_promote({term})"),
            ReportRequest::Follow { term, leader } => {
                format!("SELECT cicadawick_follow({term}, '{}')", quote(leader))
            }
        }
    }

    /// Converts the row of an answer to an event; `None` if the node needs none.
    fn event(&self, id: ReportId, row: &[Option<String>]) -> Result<Option<NodeEvent>, String> {
        match self {
            ReportRequest::Report => {
                Ok(Some(NodeEvent::ReportArrived { id, report: parse_report(row)? }))
            }
            ReportRequest::Fence { .. } => {
                let accepted = match column(row, 0)? {
                    "t" => true,
                    "f" => false,
                    other => return Err(format!("invalid boolean {other:?}")),
                };
                let report = parse_report(&row[1..])?;
                Ok(Some(NodeEvent::FenceAnswered { id, accepted, report }))
            }
            ReportRequest::Promote { .. } => {
                let start = LogPosition(parse_number(row, 0)?);
                Ok(Some(NodeEvent::PromoteAnswered { id, start }))
            }
            ReportRequest::Follow { .. } => Ok(None),
        }
    }
}

fn column(row: &[Option<String>], index: usize) -> Result<&str, String> {
    row.get(index)
        .and_then(Option::as_deref)
        .ok_or_else(|| format!("column {} is missing", index + 1))
}

fn parse_number(row: &[Option<String>], index: usize) -> Result<u64, String> {
    let text = column(row, index)?;
    text.parse().map_err(|_| format!("invalid number {text:?} in column {}", index + 1))
}

fn parse_report(row: &[Option<String>]) -> Result<DatabaseReport, String> {
    Ok(DatabaseReport {
        term: Term(parse_number(row, 0)?),
        role: match column(row, 1)? {
            "primary" => DatabaseRole::Primary,
            "replica" => DatabaseRole::Replica,
            other => return Err(format!("invalid role {other:?}")),
        },
        log_term: Term(parse_number(row, 2)?),
        received: LogPosition(parse_number(row, 3)?),
        applied: LogPosition(parse_number(row, 4)?),
        term_start: LogPosition(parse_number(row, 5)?),
        previous_term: Term(parse_number(row, 6)?),
    })
}

struct PendingRequest {
    id: ReportId,
    request: ReportRequest,
    queued_at: Instant,
}

/// Parameters of a new report connection.
pub(crate) struct ReportSetup {
    /// A connecting stream.
    pub(crate) stream: TcpStream,
    pub(crate) database: Name,
    pub(crate) address: SocketAddress,
    pub(crate) user: String,
    pub(crate) catalog: String,
    pub(crate) scratch: ScratchBuffer,
}

/// The report connection to one database.
pub(crate) struct ReportConnection {
    database: Name,
    address: SocketAddress,
    driver: Actor<IoDriver>,
    socket: BufferedSocket,
    /// `None` once the connection is ready.
    handshake: Option<ServerHandshake>,
    pending: VecDeque<PendingRequest>,
    row: Vec<Option<String>>,
    error: Option<String>,
    failed: bool,
}

impl ReportConnection {
    /// Starts to open a connection.
    pub(crate) fn init(cx: CX![], driver: Actor<IoDriver>, setup: ReportSetup) -> Option<Self> {
        let ReportSetup { stream, database, address, user, catalog, scratch } = setup;
        let poll: MioPoll = cx.anymap_get();
        let ready = fwd_to!([cx], ready() as (Ready));
        let mut socket = match BufferedSocket::new(&poll, stream, scratch, ready) {
            Ok(socket) => socket,
            Err(error) => {
                call!(
                    [driver, cx],
                    report_connection_lost(database, Vec::new(), error.to_string())
                );
                return None;
            }
        };
        socket.push(startup_packet(&user, &catalog), rpc::ChunkPermit::untracked());
        Some(ReportConnection {
            database,
            address,
            driver,
            socket,
            handshake: Some(ServerHandshake::default()),
            pending: VecDeque::new(),
            row: Vec::new(),
            error: None,
            failed: false,
        })
    }

    /// Sends a request, or queues it until the connection is open.
    pub(crate) fn send_request(&mut self, cx: CX![], id: ReportId, request: ReportRequest) {
        if self.failed || self.pending.len() >= PENDING_REQUEST_LIMIT {
            call!([self.driver, cx], node_event(NodeEvent::ReportFailed { id }));
            return;
        }
        if self.handshake.is_none() {
            self.write_request(&request);
        }
        self.pending.push_back(PendingRequest { id, request, queued_at: cx.now() });
        after!(REQUEST_TIMEOUT, [cx], check_timeout());
        self.flush(cx);
    }

    fn write_request(&mut self, request: &ReportRequest) {
        let mut output = BytesMut::new();
        pg::put_query(&mut output, &request.statement());
        self.socket.push(output.freeze(), rpc::ChunkPermit::untracked());
    }

    fn check_timeout(&mut self, cx: CX![]) {
        let now = cx.now();
        let late = self.pending.front().is_some_and(|pending| {
            now.saturating_duration_since(pending.queued_at) >= REQUEST_TIMEOUT
        });
        if late {
            self.fail(cx, format!("{} did not answer in time", self.address));
        }
    }

    fn ready(&mut self, cx: CX![], _: Ready) {
        self.flush(cx);
        self.read(cx);
    }

    fn flush(&mut self, cx: CX![]) {
        if !self.failed
            && let Err(error) = self.socket.flush()
        {
            self.fail(cx, error.to_string());
        }
    }

    fn fail(&mut self, cx: CX![], message: String) {
        if !self.failed {
            self.failed = true;
            let ids: Vec<ReportId> = self.pending.drain(..).map(|pending| pending.id).collect();
            // Until the driver drops this actor, it fails new requests, so that each gets an answer.
            call!([self.driver, cx], report_connection_lost(self.database.clone(), ids, message));
        }
    }

    fn read(&mut self, cx: CX![]) {
        if self.failed {
            return;
        }
        let outcome = self.socket.fill(self.socket.input.len() + READ_LIMIT_BYTES);
        loop {
            let frame = FrameSplitter::new(SERVER_MESSAGE_LIMIT).split(&mut self.socket.input);
            let handled = match frame {
                Ok(Some(frame)) => self.process_message(cx, &frame),
                Ok(None) => break,
                Err(error) => Err(error.to_string()),
            };
            if let Err(message) = handled {
                self.fail(cx, message);
                return;
            }
        }
        self.socket.release_input();
        match outcome {
            ReadOutcome::Open if self.socket.may_have_input() => call!([cx], read()),
            ReadOutcome::Open => {}
            ReadOutcome::Ended => self.fail(cx, "the database closed the connection".to_owned()),
            ReadOutcome::Failed(error) => self.fail(cx, error.to_string()),
        }
    }

    fn process_message(&mut self, cx: CX![], frame: &pg::Frame) -> Result<(), String> {
        if let Some(handshake) = &mut self.handshake {
            if handshake.message(frame)? {
                self.handshake = None;
                let requests: Vec<ReportRequest> =
                    self.pending.iter().map(|pending| pending.request.clone()).collect();
                for request in &requests {
                    self.write_request(request);
                }
                self.flush(cx);
            }
            return Ok(());
        }
        match frame.kind {
            kind::DATA_ROW if self.row.is_empty() => {
                self.row = pg::read_data_row(frame.body()).map_err(|error| error.to_string())?;
            }
            kind::ERROR => {
                let error = pg::read_error(frame.body()).map_err(|error| error.to_string())?;
                if error.severity == "FATAL" {
                    return Err(error.message);
                }
                self.error = Some(error.message);
            }
            kind::READY => {
                let row = std::mem::take(&mut self.row);
                let error = self.error.take();
                let Some(PendingRequest { id, request, .. }) = self.pending.pop_front() else {
                    return Err("received an answer without a request".to_owned());
                };
                let event = match error {
                    Some(error) => Err(error),
                    None => request.event(id, &row),
                };
                let event = match event {
                    Ok(event) => event,
                    Err(message) => {
                        let database = &self.database;
                        log::debug!("report request failed database={database} error={message:?}");
                        Some(NodeEvent::ReportFailed { id })
                    }
                };
                if let Some(event) = event {
                    call!([self.driver, cx], node_event(event));
                }
            }
            _ => {}
        }
        Ok(())
    }
}
