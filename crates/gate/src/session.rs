//! Client sessions: values, prepared statements, transactions and the positions of their own
//! writes.
//!
//! The proxy answers `SET`, `PREPARE`, `DEALLOC` and `BEGIN` itself and executes them on a
//! connection when the first statement needs it. An idle session, or a transaction without a
//! statement, thus holds no connection.

use std::collections::BTreeMap;
use std::sync::Arc;

use account::{ApiKey, MAX_KEY_BYTES};
use model::{FastMap, MemoryCharge, Micros, Name};

use crate::action::{ClientReply, GateAction};
use crate::allotment::ALLOTMENT_SESSION;
use crate::backend::{BackendCommand, TermPosition};
use crate::database::CommandPurpose;
use crate::event::{ConnectionId, SessionId, SessionOrigin};
use crate::request::{RequestId, RequestKind};
use crate::route::{Freshness, RouteConfig};
use crate::statement::{
    CallerIdentity, ClientRequest, ErrorCode, Statement, StatementAccess, TransactionState,
};
use crate::{Gate, fields};

/// Maximum number of prepared statements, and of values, of one session; more are refused.
const SESSION_NAMES_LIMIT: usize = 256;

/// Error texts for a session whose database has no route.
const NO_ROUTE_TEXT: &str = "no route for this database";
const UNKNOWN_ROUTE_TEXT: &str =
    "not run, this node knows no such route and has no news of the store, retry at once";

/// The transaction of a session.
#[derive(Clone, Debug)]
pub(crate) enum Transaction {
    None,
    /// `BEGIN` was answered; no database knows of the transaction yet.
    Pending {
        begin: ClientRequest,
        read_only: bool,
        started_at: Micros,
        route: Arc<RouteConfig>,
    },
    Open(OpenTransaction),
    /// Rolled back between two statements; the next one is told so.
    RolledBack(RollbackNotice),
    Failed,
}

/// Why a transaction was rolled back between two statements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RollbackNotice {
    pub(crate) text: &'static str,
    /// Version of the configuration that ended the transaction.
    pub(crate) version: u64,
}

/// A transaction that is open at a database.
#[derive(Clone, Debug)]
pub(crate) struct OpenTransaction {
    pub(crate) connection: ConnectionId,
    pub(crate) route: Arc<RouteConfig>,
    /// The caller of its first statement, whose account the connection serves.
    pub(crate) caller: Option<CallerIdentity>,
    pub(crate) wrote: bool,
    /// When the last statement ended.
    pub(crate) idle_since: Micros,
}

/// A client's session.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) database: Name,
    pub(crate) key: ApiKey,
    opened_at: Micros,
    pub(crate) values: BTreeMap<Name, Name>,
    pub(crate) prepared: FastMap<Name, (StatementAccess, Name)>,
    /// Position of the session's last commit, by cluster.
    pub(crate) commit_positions: FastMap<Name, TermPosition>,
    pub(crate) transaction: Transaction,
    pub(crate) active_request: Option<RequestId>,
    pub(crate) origin: SessionOrigin,
    /// When the last reply was sent.
    replied_at: Micros,
    /// A request arrived while the node closes its sessions.
    pub(crate) used_while_closing: bool,
    /// What the session keeps: its key, values, prepared statements and the last `BEGIN`.
    pub(crate) charge: MemoryCharge,
    begin_bytes: usize,
}

impl Session {
    pub(crate) fn state(&self) -> TransactionState {
        match self.transaction {
            Transaction::None => TransactionState::Idle,
            Transaction::Pending { .. } | Transaction::Open(_) => TransactionState::Open,
            Transaction::RolledBack(_) | Transaction::Failed => TransactionState::Failed,
        }
    }

    fn is_idle(&self) -> bool {
        self.active_request.is_none() && matches!(self.transaction, Transaction::None)
    }
}

impl Gate {
    pub(crate) fn open_session(
        &mut self,
        session: SessionId,
        database: Name,
        key: ApiKey,
        origin: SessionOrigin,
    ) {
        let mut charge = self.session_memory.budget.charge();
        // A longer key is not kept.
        let key_bytes = if key.as_str().len() > MAX_KEY_BYTES { 0 } else { key.as_str().len() };
        let kept = self.session_memory.replace(&mut charge, 0, key_bytes);
        let refusal = if self.table.version == 0 {
            Some((ErrorCode::Busy, "no configuration yet"))
        } else if &*database == ALLOTMENT_SESSION {
            self.allotment_session_error(origin)
        } else if !self.table.routes.contains_key(&database) {
            Some(self.missing_route_error(origin))
        } else {
            self.key_error(&database, &key, origin)
        };
        if let Some((code, text)) = refusal {
            self.count("sessions_refused");
            self.log_refused_route("session_refused", session, &database, code);
            self.out.push(GateAction::RefuseSession { session, code, text: text.to_string() });
            return;
        }
        if let Err((code, text)) = kept {
            self.count("limit_session_memory");
            self.out.push(GateAction::RefuseSession { session, code, text });
            return;
        }
        self.count("sessions_opened");
        let state = Session {
            database,
            // No account can hold a longer key, and it is forwarded with each request.
            key: if key.as_str().len() > MAX_KEY_BYTES { ApiKey::default() } else { key },
            opened_at: self.now,
            values: BTreeMap::new(),
            prepared: FastMap::default(),
            commit_positions: FastMap::default(),
            transaction: Transaction::None,
            active_request: None,
            origin,
            replied_at: self.now,
            used_while_closing: false,
            charge,
            begin_bytes: 0,
        };
        self.sessions.insert(session, state);
        self.out.push(GateAction::AcceptSession { session });
    }

    pub(crate) fn close_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        if let Some(request) = session.active_request {
            self.abandon_request(request);
        }
        if let Transaction::Open(open) = session.transaction {
            self.release_transaction(open.connection, id);
        }
    }

    /// Rolls back the session's open transaction and releases its connection. A connection with a
    /// statement in flight is closed, which also rolls back.
    pub(crate) fn release_transaction(&mut self, connection: ConnectionId, session: SessionId) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        if state.transaction_session != Some(session) {
            return;
        }
        state.transaction_session = None;
        if state.pending.is_empty() {
            self.send(connection, vec![BackendCommand::Rollback], CommandPurpose::Rollback);
        } else {
            self.close_connection(connection, "transaction abandoned");
        }
    }

    pub(crate) fn request_arrived(&mut self, id: SessionId, request: ClientRequest) {
        if let Statement::Allot(demands) = &request.statement {
            return self.answer_allotments(id, demands);
        }
        if let Some(caller) = &request.caller {
            self.observe_version(caller.version);
        }
        let Some(session) = self.sessions.get(&id) else { return };
        if session.active_request.is_some() || self.refuse_while_draining(id, &request.statement) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let state = session.state();
        if let Transaction::RolledBack(notice) = session.transaction
            && !matches!(request.statement, Statement::Rollback)
        {
            return self.report_rollback(id, &request, notice);
        }
        if state == TransactionState::Failed
            && !matches!(request.statement, Statement::Commit | Statement::Rollback)
        {
            return self.reply_error(id, ErrorCode::Malformed, "the transaction has failed");
        }
        match &request.statement {
            Statement::Set { name, value } => {
                if session.values.len() >= SESSION_NAMES_LIMIT {
                    return self.reply_error(id, ErrorCode::TooBig, "too many session values");
                }
                let old = session.values.get(name).map_or(0, |value| name.len() + value.len());
                let new = name.len() + value.len();
                if let Err(error) = self.session_memory.replace(&mut session.charge, old, new) {
                    return self.refuse_session_state(id, error);
                }
                session.values.insert(name.clone(), value.clone());
                self.reply_done(id);
            }
            Statement::Prepare { name, access, shape } => {
                if session.prepared.len() >= SESSION_NAMES_LIMIT {
                    return self.reply_error(id, ErrorCode::TooBig, "too many prepared statements");
                }
                let old = session.prepared.get(name).map_or(0, |old| name.len() + old.1.len());
                let new = name.len() + shape.len();
                if let Err(error) = self.session_memory.replace(&mut session.charge, old, new) {
                    return self.refuse_session_state(id, error);
                }
                session.prepared.insert(name.clone(), (*access, shape.clone()));
                self.reply_done(id);
            }
            Statement::Deallocate { name } => match session.prepared.remove(name) {
                Some((_, shape)) => {
                    let kept = session.charge.bytes().saturating_sub(name.len() + shape.len());
                    session.charge.resize(kept);
                    self.reply_done(id);
                }
                None => self.reply_error(id, ErrorCode::NoStatement, "no such prepared statement"),
            },
            Statement::Begin { read_only } => {
                let read_only = *read_only;
                self.begin(id, request, read_only);
            }
            Statement::Rollback => self.roll_back(id),
            Statement::Reset => {
                session.values.clear();
                session.prepared.clear();
                session.charge.resize(session.key.as_str().len() + session.begin_bytes);
                self.reply_done(id);
            }
            // Handled above.
            Statement::Allot(_) => {}
            Statement::Commit => self.commit(id, request),
            Statement::Read => self.start_request(id, request, StatementAccess::Read),
            Statement::Write => self.start_request(id, request, StatementAccess::Write),
            Statement::Execute { name, .. } => match session.prepared.get(name) {
                Some((access, _)) => {
                    let access = *access;
                    self.start_request(id, request, access);
                }
                None => self.reply_error(id, ErrorCode::NoStatement, "no such prepared statement"),
            },
        }
    }

    /// Returns the route of a session's next transaction; replies with an error if there is none.
    fn current_route(&mut self, id: SessionId) -> Option<Arc<RouteConfig>> {
        let session = self.sessions.get(&id)?;
        let route = self.table.routes.get(&session.database).cloned();
        if route.is_none() {
            let (code, text) = self.missing_route_error(session.origin);
            let database = session.database.clone();
            self.log_refused_route("statement_refused", id, &database, code);
            self.reply_error(id, code, text);
        }
        route
    }

    /// Returns the error for a database without a route. A client is told that there is none only
    /// if a newer configuration would be known here; another node decides by its own.
    fn missing_route_error(&self, origin: SessionOrigin) -> (ErrorCode, &'static str) {
        let is_current = self.store_view.is_current(self.now, self.settings.configuration_bound);
        match origin {
            SessionOrigin::Client if !is_current => (ErrorCode::Busy, UNKNOWN_ROUTE_TEXT),
            SessionOrigin::Client | SessionOrigin::Peer => (ErrorCode::NoDatabase, NO_ROUTE_TEXT),
        }
    }

    /// Logs a refusal that a newer configuration might not have led to.
    fn log_refused_route(
        &mut self,
        event: &'static str,
        session: SessionId,
        database: &Name,
        code: ErrorCode,
    ) {
        let record = fields![
            "session" => session.0,
            "database" => database,
            "version" => self.table.version,
            "revision" => self.store_view.revision,
            "store_age_ms" => self.store_view.age_ms(self.now),
            "code" => code.name()
        ];
        self.log(event, record);
    }

    fn begin(&mut self, id: SessionId, request: ClientRequest, read_only: bool) {
        let Some(session) = self.sessions.get(&id) else { return };
        if session.state() != TransactionState::Idle {
            return self.reply_error(id, ErrorCode::Malformed, "a transaction is open already");
        }
        if !self.table.routes.contains_key(&session.database) {
            // Must precede the reply, which tells the state.
            self.fail_peer_transaction(id);
        }
        let Some(route) = self.current_route(id) else { return };
        if let Err((code, text)) = self.identify(id, request.caller.as_ref()) {
            self.fail_peer_transaction(id);
            return self.refuse_unidentified(id, code, text);
        }
        let started_at = self.now;
        if let Some(session) = self.sessions.get_mut(&id) {
            let bytes = request.held_bytes();
            let replaced =
                self.session_memory.replace(&mut session.charge, session.begin_bytes, bytes);
            if let Err(error) = replaced {
                self.fail_peer_transaction(id);
                return self.refuse_session_state(id, error);
            }
            session.begin_bytes = bytes;
            session.transaction =
                Transaction::Pending { begin: request, read_only, started_at, route };
        }
        self.reply_done(id);
    }

    /// Replies that the session may not keep what a statement brings.
    fn refuse_session_state(&mut self, id: SessionId, (code, text): (ErrorCode, String)) {
        self.count("limit_session_memory");
        self.reply_error(id, code, &text);
    }

    /// Marks the transaction of another node's session as failed. The node may have sent its first
    /// statement already, which must not run outside a transaction.
    fn fail_peer_transaction(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id)
            && session.origin == SessionOrigin::Peer
        {
            session.transaction = Transaction::Failed;
        }
    }

    fn roll_back(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        match std::mem::replace(&mut session.transaction, Transaction::None) {
            Transaction::Open(open) => self.release_transaction(open.connection, id),
            Transaction::None
            | Transaction::Pending { .. }
            | Transaction::RolledBack(_)
            | Transaction::Failed => {}
        }
        self.reply_done(id);
    }

    fn commit(&mut self, id: SessionId, request: ClientRequest) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        match session.transaction {
            Transaction::None => {
                self.reply_error(id, ErrorCode::Malformed, "no transaction is open");
            }
            Transaction::RolledBack(_) | Transaction::Failed => {
                session.transaction = Transaction::None;
                self.reply_error(id, ErrorCode::Aborted, "the transaction was rolled back");
            }
            Transaction::Pending { .. } | Transaction::Open(_) => {
                self.start_request(id, request, StatementAccess::Read);
            }
        }
    }

    fn start_request(&mut self, id: SessionId, request: ClientRequest, access: StatementAccess) {
        let Some(session) = self.sessions.get(&id) else { return };
        let now = self.now;
        let (kind, route, started_at) = match session.transaction.clone() {
            Transaction::Open(open) => (RequestKind::Continue, open.route, now),
            Transaction::Pending { begin, read_only, started_at, route } => {
                (RequestKind::Begin { begin, read_only }, route, started_at)
            }
            Transaction::None | Transaction::RolledBack(_) | Transaction::Failed => {
                let Some(route) = self.current_route(id) else { return };
                let kind = match access {
                    StatementAccess::Read => RequestKind::Read,
                    StatementAccess::Write => RequestKind::Write,
                };
                (kind, route, now)
            }
        };
        let begin_caller = match &kind {
            RequestKind::Begin { begin, .. } => begin.caller.as_ref(),
            RequestKind::Read | RequestKind::Write | RequestKind::Continue => None,
        };
        let identified = match kind {
            // The connection of the transaction belongs to the account.
            RequestKind::Continue => Ok(None),
            _ => self.identify(id, begin_caller.or(request.caller.as_ref())),
        };
        let caller = match identified {
            Ok(caller) => caller,
            Err((code, text)) => return self.refuse_unidentified(id, code, text),
        };
        let request_id = self.create_request(id, request, access, kind, route, started_at);
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.caller = caller;
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.active_request = Some(request_id);
        }
        self.route_request(request_id);
    }

    pub(crate) fn reply_done(&mut self, session: SessionId) {
        let reply = ClientReply::Done { rows: Vec::new(), signature: None };
        self.reply(session, reply, None);
    }

    pub(crate) fn reply_error(&mut self, session: SessionId, code: ErrorCode, text: &str) {
        self.reply(session, ClientReply::Failed { code, text: text.to_string() }, None);
    }

    pub(crate) fn reply(
        &mut self,
        id: SessionId,
        reply: ClientReply,
        position: Option<TermPosition>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.replied_at = self.now;
        let state = session.state();
        self.out.push(GateAction::Reply { session: id, reply, state, position });
    }

    /// Ends transactions that were idle for too long, so that they do not hold connections.
    pub(crate) fn end_idle_transactions(&mut self) {
        let Some(limit) = self.table.idle_transaction_timeout else { return };
        let now = self.now;
        let expired: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| match &session.transaction {
                Transaction::Open(open) => {
                    session.active_request.is_none() && now >= open.idle_since + limit
                }
                _ => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.abort_transaction(id, "idle for too long");
        }
    }

    /// Rolls back an open transaction; its next statement gets an error.
    pub(crate) fn abort_transaction(&mut self, id: SessionId, reason: &'static str) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Transaction::Open(open) = &session.transaction else { return };
        let connection = open.connection;
        session.transaction = Transaction::Failed;
        self.count("transactions_aborted");
        self.log("transaction_aborted", fields!["session" => id.0, "reason" => reason]);
        self.release_transaction(connection, id);
    }

    /// Tells a client that its transaction was rolled back before this statement.
    fn report_rollback(&mut self, id: SessionId, request: &ClientRequest, notice: RollbackNotice) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.transaction = match request.statement {
            Statement::Commit => Transaction::None,
            _ => Transaction::Failed,
        };
        let record = fields![
            "request" => &request.id,
            "session" => id.0,
            "version" => notice.version,
            "reason" => notice.text
        ];
        self.log("rollback_reported", record);
        self.reply_error(id, ErrorCode::Aborted, notice.text);
    }

    /// Closes the sessions that have neither a request nor a transaction, were opened before a time
    /// and got their last reply by another.
    pub(crate) fn close_idle_sessions(&mut self, opened_before: Micros, replied_by: Micros) {
        let idle: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                session.is_idle()
                    && session.opened_at < opened_before
                    && session.replied_at <= replied_by
            })
            .map(|(id, _)| *id)
            .collect();
        for id in idle {
            self.end_session(id);
        }
    }

    /// Closes a session without a request in progress.
    pub(crate) fn end_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        if let Transaction::Open(open) = session.transaction {
            self.release_transaction(open.connection, id);
        }
        self.out.push(GateAction::CloseSession { session: id });
    }
}

/// Returns the time up to which data must be current for a request that began at `started_at`, or
/// `None` if only the leader's current data is sufficient.
pub(crate) fn coverage_time(freshness: Freshness, started_at: Micros) -> Option<Micros> {
    match freshness {
        Freshness::Latest => None,
        Freshness::Bounded(age) | Freshness::Session(age) => Some(started_at.saturating_sub(age)),
    }
}
