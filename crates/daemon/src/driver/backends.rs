//! Connections to backend servers: runs, the way of their answers, and report requests.

use admit::ConnectionId;
use bytes::Bytes;
use model::{Name, SocketAddress};
use node::{AnswerTarget, NodeEvent, RelayMode, ReportId, RunId, RunSummary};
use rpc::ChunkPermit;
use stakker::{Actor, CX, actor, call, ret_nop};
use stakker_mio::mio::net::TcpStream;

use super::{HeldEntry, IoDriver, REPORT_DATABASE, RunEntry};
use crate::backend::HeldAnswer;
use crate::relay::AnswerSink;
use crate::report::{ReportLink, ReportRequest, ReportStart};

impl IoDriver {
    pub(super) fn sink(&self, target: AnswerTarget) -> Option<AnswerSink> {
        match target {
            AnswerTarget::Session(session) => {
                let entry = self.sessions.get(&session)?;
                let session = Actor::clone(&entry.session);
                Some(AnswerSink::Session { session, request: entry.request })
            }
            AnswerTarget::Call(call) => self.peer_calls.get(&call).cloned().map(AnswerSink::Call),
        }
    }

    pub(super) fn run(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        run: RunId,
        frames: Bytes,
        mode: RelayMode,
    ) {
        let Some(backend) = self.backends.get(&connection) else {
            // Its loss is already on the way to the node.
            return;
        };
        let target = match mode {
            RelayMode::Collect => None,
            RelayMode::Decide(target) | RelayMode::Hold(target) | RelayMode::Stream(target) => {
                Some(target)
            }
        };
        let sink = target.and_then(|target| self.sink(target));
        if let Some(target) = target {
            self.targets.insert(run, target);
        }
        self.runs.insert(run, RunEntry { connection, relayed: None });
        call!([backend, cx], run(run, frames, mode, sink));
    }

    pub(super) fn decide(&mut self, cx: CX![], run: RunId, relayed: bool) {
        if let Some(HeldEntry { answer, .. }) = self.held.remove(&run) {
            if relayed {
                answer.sink.send(cx, answer.bytes, ChunkPermit::free());
            }
            return;
        }
        if let Some(entry) = self.runs.get_mut(&run) {
            entry.relayed = Some(relayed);
            if let Some(backend) = self.backends.get(&entry.connection) {
                call!([backend, cx], decide(run, relayed));
            }
        }
    }

    pub(super) fn discard_held(&mut self, target: AnswerTarget) {
        if !self.held.is_empty() {
            self.held.retain(|_, entry| entry.target != target);
        }
    }

    pub(super) fn forget_runs(&mut self, connection: ConnectionId) {
        let targets = &mut self.targets;
        self.runs.retain(|run, entry| {
            let keep = entry.connection != connection;
            if !keep {
                targets.remove(run);
            }
            keep
        });
    }

    /// A connection is ready.
    pub(crate) fn backend_opened(&mut self, cx: CX![], connection: ConnectionId) {
        if self.backends.contains_key(&connection) {
            self.node_event(cx, NodeEvent::BackendOpened { connection });
        }
    }

    /// A connection could not be opened or was lost.
    pub(crate) fn backend_lost(&mut self, cx: CX![], connection: ConnectionId, message: String) {
        if self.backends.remove(&connection).is_some() {
            self.forget_runs(connection);
            self.node_event(cx, NodeEvent::BackendLost { connection, message });
        }
    }

    /// The first part of an answer arrived in mode `Decide`.
    pub(crate) fn run_started(&mut self, cx: CX![], connection: ConnectionId, run: RunId) {
        if self.runs.contains_key(&run) {
            self.node_event(cx, NodeEvent::RunStarted { connection, run });
        }
    }

    /// Rows of a held answer went out.
    pub(crate) fn held_rows_relayed(&mut self, cx: CX![], connection: ConnectionId, run: RunId) {
        if self.runs.contains_key(&run) {
            self.node_event(cx, NodeEvent::HeldRowsRelayed { connection, run });
        }
    }

    /// The answer of a run is complete.
    pub(crate) fn run_finished(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        run: RunId,
        summary: RunSummary,
        held: Option<HeldAnswer>,
    ) {
        let Some(entry) = self.runs.remove(&run) else { return };
        let target = self.targets.remove(&run);
        if let (Some(answer), Some(target)) = (held, target) {
            match entry.relayed {
                Some(true) => answer.sink.send(cx, answer.bytes, ChunkPermit::free()),
                Some(false) => {}
                None => {
                    self.held.insert(run, HeldEntry { target, answer });
                }
            }
        }
        self.node_event(cx, NodeEvent::RunFinished { connection, run, summary });
    }

    // Report connections.

    pub(super) fn ask(
        &mut self,
        cx: CX![],
        id: ReportId,
        database: Name,
        address: SocketAddress,
        request: ReportRequest,
    ) {
        let current = self.reports.get(&database).is_some_and(|(held, _)| *held == address);
        if !current {
            let stream = match TcpStream::connect(rpc::dial_address(address)) {
                Ok(stream) => stream,
                Err(error) => {
                    log::debug!("failed to connect database={database} error={error}");
                    call!([cx], node_event(NodeEvent::ReportFailed { id }));
                    return;
                }
            };
            let start = ReportStart {
                stream,
                database: database.clone(),
                address,
                user: self.settings.database_user.to_string(),
                catalog: REPORT_DATABASE.to_owned(),
                scratch: self.scratch.clone(),
            };
            let driver = cx.this().clone();
            let link = actor!(cx, ReportLink::init(driver, start), ret_nop!());
            self.reports.insert(database.clone(), (address, link));
        }
        if let Some((_, link)) = self.reports.get(&database) {
            call!([link, cx], ask(id, request));
        }
    }

    /// A report connection failed with these requests in progress.
    pub(crate) fn report_link_lost(
        &mut self,
        cx: CX![],
        database: Name,
        ids: Vec<ReportId>,
        message: String,
    ) {
        log::debug!("lost a report connection database={database} error={message:?}");
        self.counters.add("reports.connections_lost", 1);
        self.reports.remove(&database);
        for id in ids {
            self.node_event(cx, NodeEvent::ReportFailed { id });
        }
    }
}
