//! Writes with a request key (idempotency key).
//!
//! The key, the statement and its outcome are written in one transaction, so a repeat finds either all
//! of them or none. The primary key of the table makes concurrent repeats conflict. Each step is a
//! separate exchange on the same connection; the statement's answer is held until the commit is
//! acknowledged as durable.

use admit::{ConnectionId, RequestId};
use stats::CallerMeasure;

use crate::Node;
use crate::action::{NodeAction, RelayMode};
use crate::frames::{quote_text, simple_query, statement_hash};
use crate::id::ExchangeId;
use crate::owner::RequestStage;
use crate::request::{DeclineReason, ErrorReply, ExchangeSummary, OwnerReply, TransactionState};

const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS cicadawick_requests (request_key text, \
    caller text, statement_hash text, outcome text, PRIMARY KEY (request_key, caller))";

/// SQLSTATE of an insert whose key exists already.
const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE that a replica returns for a write.
const READ_ONLY_TRANSACTION: &str = "25006";

/// The step in progress of a keyed write.
#[derive(Debug)]
pub(crate) enum KeyStep {
    CreateTable,
    Insert,
    Statement,
    /// The outcome is being recorded. Outside a client's transaction, the same exchange commits.
    Record {
        statement: ExchangeId,
        transaction: TransactionState,
    },
    /// The transaction is being rolled back; `then` follows.
    RollBack {
        then: AfterRollBack,
    },
    Lookup,
    /// The recorded command tag waits for the acknowledgement of its commit.
    Recorded {
        tag: String,
    },
}

#[derive(Debug)]
pub(crate) enum AfterRollBack {
    Lookup,
    /// Relay the statement's own error.
    Relay(ExchangeId),
    Fail(ErrorReply),
    Decline,
}

impl KeyStep {
    pub(crate) fn recorded_tag(self) -> Option<String> {
        match self {
            KeyStep::Recorded { tag } => Some(tag),
            _ => None,
        }
    }
}

impl Node {
    /// Inserts the key, after creating the table if that has not been done in this term.
    pub(crate) fn start_keyed_write(&mut self, id: RequestId, connection: ConnectionId) {
        let Some(request) = self.owner.requests.get(&id) else { return };
        let ready = self.is_key_table_ready(&request.routed.database, request.term);
        match ready {
            true => self.insert_key(id, connection),
            false => self.start_key_query(id, connection, KeyStep::CreateTable, CREATE_TABLE),
        }
    }

    fn start_key_query(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        step: KeyStep,
        text: &str,
    ) {
        if let Some(request) = self.owner.requests.get_mut(&id) {
            request.key_step = Some(step);
        }
        self.start_exchange(id, connection, simple_query(text), RelayMode::Collect);
    }

    fn insert_key(&mut self, id: RequestId, connection: ConnectionId) {
        let Some(request) = self.owner.requests.get(&id) else { return };
        let begin = if request.pin.is_some() { "" } else { "BEGIN; " };
        let (key, caller, hash) = self.key_values(id);
        let text = format!(
            "{begin}INSERT INTO cicadawick_requests (request_key, caller, statement_hash) \
             VALUES ({key}, {caller}, '{hash}')"
        );
        self.start_key_query(id, connection, KeyStep::Insert, &text);
    }

    /// Returns the key and the user (column `caller`) as SQL constants, and the hash of the statement.
    fn key_values(&self, id: RequestId) -> (String, String, String) {
        let Some(request) = self.owner.requests.get(&id) else { return Default::default() };
        let key = request.routed.request_key.as_deref().unwrap_or_default();
        (quote_text(key), quote_text(&request.routed.user), statement_hash(&request.routed.request))
    }

    fn start_statement(&mut self, id: RequestId, connection: ConnectionId) {
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        request.key_step = Some(KeyStep::Statement);
        let Some(target) = request.target() else { return };
        let mode = match request.pin {
            Some(_) => RelayMode::Stream(target),
            None => RelayMode::Hold(target),
        };
        let frames = request.routed.request.frames.clone();
        self.start_exchange(id, connection, frames, mode);
    }

    fn record_outcome(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        statement: ExchangeId,
        summary: &ExchangeSummary,
    ) {
        let pinned = self.owner.requests.get(&id).is_some_and(|request| request.pin.is_some());
        let (key, caller, _) = self.key_values(id);
        let tag = quote_text(summary.command_tag.as_deref().unwrap_or_default());
        let commit = if pinned { "" } else { "; COMMIT" };
        let text = format!(
            "UPDATE cicadawick_requests SET outcome = {tag} \
             WHERE request_key = {key} AND caller = {caller}{commit}"
        );
        let step = KeyStep::Record { statement, transaction: summary.transaction };
        self.start_key_query(id, connection, step, &text);
    }

    fn look_up_key(&mut self, id: RequestId, connection: ConnectionId) {
        let (key, caller, _) = self.key_values(id);
        let text = format!(
            "SELECT outcome, statement_hash FROM cicadawick_requests \
             WHERE request_key = {key} AND caller = {caller}"
        );
        self.start_key_query(id, connection, KeyStep::Lookup, &text);
    }

    fn roll_back_key(&mut self, id: RequestId, connection: ConnectionId, then: AfterRollBack) {
        self.start_key_query(id, connection, KeyStep::RollBack { then }, "ROLLBACK");
    }

    /// Handles the end of an exchange of a keyed write and starts the next step.
    pub(crate) fn keyed_exchange_finished(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        exchange: ExchangeId,
        summary: ExchangeSummary,
    ) {
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        let pinned = request.pin.is_some();
        let (database, term) = (request.routed.database.clone(), request.term);
        let Some(step) = request.key_step.take() else { return };
        let code = summary.error.as_ref().map(|error| error.code.to_string());
        let state = summary.transaction;
        match (step, summary.error.clone()) {
            (KeyStep::CreateTable, Some(error)) if &*error.code == READ_ONLY_TRANSACTION => {
                self.release_keyed_request(id, connection, state);
                self.decline_owner_request(id, DeclineReason::NotLeader { leader: None });
            }
            (KeyStep::CreateTable, _) => {
                // An error is ignored: if two owners create the table at once, one of them fails although
                // the table exists. If it does not exist, the insert fails.
                // A table created in a client's transaction disappears if that rolls back, so its term
                // is not stored.
                if let Some(service) = self.owner.services.get_mut(&database).filter(|_| !pinned) {
                    service.key_table_term = Some(term);
                }
                self.insert_key(id, connection);
            }
            (KeyStep::Insert, None) => self.start_statement(id, connection),
            (KeyStep::Insert, Some(error)) if pinned => {
                self.reply_keyed_error(id, connection, state, error);
            }
            (KeyStep::Insert, Some(error)) => {
                let then = match code.as_deref() {
                    Some(UNIQUE_VIOLATION) => AfterRollBack::Lookup,
                    Some(READ_ONLY_TRANSACTION) => AfterRollBack::Decline,
                    _ => {
                        if let Some(service) = self.owner.services.get_mut(&database) {
                            service.key_table_term = None;
                        }
                        AfterRollBack::Fail(error)
                    }
                };
                self.roll_back_key(id, connection, then);
            }
            (KeyStep::Statement, None) => self.record_outcome(id, connection, exchange, &summary),
            (KeyStep::Statement, Some(_)) if pinned => {
                self.release_keyed_request(id, connection, state);
                self.complete_owner_request(id, state, None);
            }
            (KeyStep::Statement, Some(_)) => {
                self.roll_back_key(id, connection, AfterRollBack::Relay(exchange));
            }
            (KeyStep::Record { transaction, .. }, None) if pinned => {
                self.release_keyed_request(id, connection, state);
                self.complete_owner_request(id, transaction, None);
            }
            (KeyStep::Record { statement, .. }, None) => {
                self.release_keyed_request(id, connection, state);
                self.await_acknowledgement(id, Some(statement), term, true);
            }
            (KeyStep::Record { statement, .. }, Some(error)) => {
                // The COMMIT failed, for example at a deferred constraint, and nothing was written.
                self.emit(NodeAction::Discard { exchange: statement });
                self.reply_keyed_error(id, connection, state, error);
            }
            (KeyStep::RollBack { then }, _) => self.key_rolled_back(id, connection, state, then),
            (KeyStep::Lookup, Some(error)) => {
                self.reply_keyed_error(id, connection, state, error);
            }
            (KeyStep::Lookup, None) => self.key_looked_up(id, connection, &summary),
            (KeyStep::Recorded { .. }, _) => {}
        }
    }

    fn key_rolled_back(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        state: TransactionState,
        then: AfterRollBack,
    ) {
        match then {
            AfterRollBack::Lookup => self.look_up_key(id, connection),
            AfterRollBack::Relay(exchange) => {
                self.release_keyed_request(id, connection, state);
                self.emit(NodeAction::Relay { exchange });
                self.complete_owner_request(id, state, None);
            }
            AfterRollBack::Fail(error) => self.reply_keyed_error(id, connection, state, error),
            AfterRollBack::Decline => {
                self.release_keyed_request(id, connection, state);
                self.decline_owner_request(id, DeclineReason::NotLeader { leader: None });
            }
        }
    }

    fn key_looked_up(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        summary: &ExchangeSummary,
    ) {
        let (_, _, hash) = self.key_values(id);
        match summary.first_row.as_slice() {
            [outcome, recorded] if recorded.as_deref() == Some(hash.as_str()) => {
                let tag = outcome.clone().unwrap_or_else(|| "OK".to_string());
                self.release_keyed_request(id, connection, summary.transaction);
                let Some(request) = self.owner.requests.get_mut(&id) else { return };
                request.key_step = Some(KeyStep::Recorded { tag });
                let (caller, rank, term) =
                    (request.routed.caller.clone(), request.routed.rank, request.term);
                self.accounts.count(self.now, &caller, rank, CallerMeasure::RepeatedKeys, 1);
                self.count("keys.repeated", 1);
                // The first write may never have been acknowledged, so the repeat has to be.
                self.await_acknowledgement(id, None, term, true);
            }
            [_, _] => {
                let message = "the request key belongs to another statement".to_string();
                let error = ErrorReply { code: "22023".into(), message };
                self.reply_keyed_error(id, connection, summary.transaction, error);
            }
            // The row was deleted since the insert failed, so the key is free again.
            _ => self.insert_key(id, connection),
        }
    }

    /// Releases the slot and the connection after the last exchange.
    fn release_keyed_request(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        state: TransactionState,
    ) {
        if let Some(request) = self.owner.requests.get_mut(&id) {
            request.key_step = None;
        }
        self.pin_or_release_connection(id, connection, state);
        self.release_slot(id);
    }

    fn reply_keyed_error(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        state: TransactionState,
        error: ErrorReply,
    ) {
        self.release_keyed_request(id, connection, state);
        let reply = OwnerReply::Recorded {
            command_tag: None,
            error: Some(error),
            transaction: state,
            required_position: None,
        };
        self.reply_owner_request(id, reply);
    }

    /// Returns the exchange of the statement whose answer is still held during a later step. It has to
    /// be discarded if the request ends early.
    pub(crate) fn undecided_statement(&self, id: RequestId) -> Option<ExchangeId> {
        let request = self.owner.requests.get(&id)?;
        if !matches!(request.stage, RequestStage::Running { .. }) {
            return None;
        }
        match &request.key_step {
            Some(KeyStep::Record { statement, .. }) if request.pin.is_none() => Some(*statement),
            Some(KeyStep::RollBack { then: AfterRollBack::Relay(exchange) }) => Some(*exchange),
            _ => None,
        }
    }
}
