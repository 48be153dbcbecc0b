//! Connections to backend servers: exchanges, the relaying of their answers, and report requests.

use admit::ConnectionId;
use bytes::Bytes;
use model::{Name, SocketAddress};
use node::{AnswerTarget, ExchangeId, ExchangeSummary, NodeEvent, RelayMode, ReportId};
use rpc::ChunkPermit;
use stakker::{Actor, CX, actor, call, ret_nop};
use stakker_mio::mio::net::TcpStream;

use super::{ExchangeEntry, HeldEntry, IoDriver, REPORT_DATABASE};
use crate::backend::HeldAnswer;
use crate::relay::AnswerSink;
use crate::report::{ReportConnection, ReportRequest, ReportSetup};

impl IoDriver {
    pub(super) fn answer_sink(&self, target: AnswerTarget) -> Option<AnswerSink> {
        match target {
            AnswerTarget::Session(session) => {
                let entry = self.sessions.get(&session)?;
                let session = Actor::clone(&entry.session);
                Some(AnswerSink::Session { session, request: entry.request })
            }
            AnswerTarget::Call(call) => self.peer_calls.get(&call).cloned().map(AnswerSink::Call),
        }
    }

    pub(super) fn start_exchange(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        exchange: ExchangeId,
        frames: Bytes,
        mode: RelayMode,
    ) {
        let Some(backend) = self.backends.get(&connection) else {
            // The event that reports its loss is already queued for the node.
            return;
        };
        let target = match mode {
            RelayMode::Collect => None,
            RelayMode::Decide(target) | RelayMode::Hold(target) | RelayMode::Stream(target) => {
                Some(target)
            }
        };
        let sink = target.and_then(|target| self.answer_sink(target));
        if let Some(target) = target {
            self.answer_targets.insert(exchange, target);
        }
        self.exchanges.insert(exchange, ExchangeEntry { connection, relayed: None });
        call!([backend, cx], start_exchange(exchange, frames, mode, sink));
    }

    pub(super) fn apply_relay_decision(&mut self, cx: CX![], exchange: ExchangeId, relayed: bool) {
        if let Some(HeldEntry { answer, .. }) = self.held_answers.remove(&exchange) {
            if relayed {
                answer.sink.send(cx, answer.bytes, ChunkPermit::untracked());
            }
            return;
        }
        if let Some(entry) = self.exchanges.get_mut(&exchange) {
            entry.relayed = Some(relayed);
            if let Some(backend) = self.backends.get(&entry.connection) {
                call!([backend, cx], apply_relay_decision(exchange, relayed));
            }
        }
    }

    pub(super) fn discard_held(&mut self, target: AnswerTarget) {
        if !self.held_answers.is_empty() {
            self.held_answers.retain(|_, entry| entry.target != target);
        }
    }

    pub(super) fn remove_exchanges(&mut self, connection: ConnectionId) {
        let answer_targets = &mut self.answer_targets;
        self.exchanges.retain(|exchange, entry| {
            let keep = entry.connection != connection;
            if !keep {
                answer_targets.remove(exchange);
            }
            keep
        });
    }

    /// Called when a connection is ready.
    pub(crate) fn backend_opened(&mut self, cx: CX![], connection: ConnectionId) {
        if self.backends.contains_key(&connection) {
            self.node_event(cx, NodeEvent::BackendOpened { connection });
        }
    }

    /// Called when a connection could not be opened or was lost.
    pub(crate) fn backend_lost(&mut self, cx: CX![], connection: ConnectionId, message: String) {
        if self.backends.remove(&connection).is_some() {
            self.remove_exchanges(connection);
            self.node_event(cx, NodeEvent::BackendLost { connection, message });
        }
    }

    /// Called when the first part of an answer arrives in mode [`RelayMode::Decide`].
    pub(crate) fn answer_started(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        exchange: ExchangeId,
    ) {
        if self.exchanges.contains_key(&exchange) {
            self.node_event(cx, NodeEvent::AnswerStarted { connection, exchange });
        }
    }

    /// Called when rows of a held answer have been relayed.
    pub(crate) fn held_rows_relayed(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        exchange: ExchangeId,
    ) {
        if self.exchanges.contains_key(&exchange) {
            self.node_event(cx, NodeEvent::HeldRowsRelayed { connection, exchange });
        }
    }

    /// Called when the answer of an exchange is complete.
    pub(crate) fn exchange_finished(
        &mut self,
        cx: CX![],
        connection: ConnectionId,
        exchange: ExchangeId,
        summary: ExchangeSummary,
        held: Option<HeldAnswer>,
    ) {
        let Some(entry) = self.exchanges.remove(&exchange) else { return };
        let target = self.answer_targets.remove(&exchange);
        if let (Some(answer), Some(target)) = (held, target) {
            match entry.relayed {
                Some(true) => answer.sink.send(cx, answer.bytes, ChunkPermit::untracked()),
                Some(false) => {}
                None => {
                    self.held_answers.insert(exchange, HeldEntry { target, answer });
                }
            }
        }
        self.node_event(cx, NodeEvent::ExchangeFinished { connection, exchange, summary });
    }

    // Report connections.

    pub(super) fn query_database(
        &mut self,
        cx: CX![],
        id: ReportId,
        database: Name,
        address: SocketAddress,
        request: ReportRequest,
    ) {
        let current =
            self.report_connections.get(&database).is_some_and(|(open, _)| *open == address);
        if !current {
            let stream = match TcpStream::connect(rpc::dial_address(address)) {
                Ok(stream) => stream,
                Err(error) => {
                    log::debug!(
                        "failed to open a report connection database={database} error={error}"
                    );
                    call!([cx], node_event(NodeEvent::ReportFailed { id }));
                    return;
                }
            };
            let setup = ReportSetup {
                stream,
                database: database.clone(),
                address,
                user: self.settings.database_user.to_string(),
                catalog: REPORT_DATABASE.to_owned(),
                scratch: self.scratch.clone(),
            };
            let driver = cx.this().clone();
            let connection = actor!(cx, ReportConnection::init(driver, setup), ret_nop!());
            self.report_connections.insert(database.clone(), (address, connection));
        }
        if let Some((_, connection)) = self.report_connections.get(&database) {
            call!([connection, cx], send_request(id, request));
        }
    }

    /// Called when a report connection failed; `ids` are the requests that were in progress.
    pub(crate) fn report_connection_lost(
        &mut self,
        cx: CX![],
        database: Name,
        ids: Vec<ReportId>,
        message: String,
    ) {
        log::debug!("lost a report connection database={database} error={message:?}");
        self.counters.add("reports.connections_lost", 1);
        self.report_connections.remove(&database);
        for id in ids {
            self.node_event(cx, NodeEvent::ReportFailed { id });
        }
    }
}
