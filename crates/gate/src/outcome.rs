//! How requests end: answers, errors, retries, lost connections and time limits.
//!
//! A request is sent again only if the database reported that it did not run, or if it is a read
//! outside a transaction. A transaction has no effect before its commit was sent; until then it can
//! be given up with the guarantee that it was rolled back.

use model::{Micros, Name};

use crate::action::{ClientReply, GateAction};
use crate::backend::{AnswerEnd, BackendAnswer, TermPosition};
use crate::event::ConnectionId;
use crate::identity::INVALID_KEY_TEXT;
use crate::request::{
    ActiveRequest, MAX_TRIES, RequestId, RequestKind, RequestStage, UNPROVED_TEXT,
};
use crate::session::{OpenTransaction, Transaction};
use crate::statement::{ErrorCode, StatementAccess, TransactionState};
use crate::{Gate, fields};

/// A read is sent to another database, and a transaction is given up, after this many times the
/// usual time of its route at its database, within the bounds below. An answer can be lost while the
/// connection stays open.
const READ_TIMEOUT_FACTOR: u64 = 6;
const READ_TIMEOUT_MIN: Micros = Micros::from_millis(120);
const READ_TIMEOUT_MAX: Micros = Micros::from_millis(400);

/// Backoff before a request is sent again that a full database refused: about one statement.
const BUSY_BACKOFF: Micros = Micros::from_millis(15);

/// Beginning of the texts of refusals that say that no database has executed the request.
const NOT_RUN: &str = "not run, ";

impl Gate {
    /// Releases the slot of a request that its database has executed, or its place in the queue.
    pub(crate) fn release_slot(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(database) =
            request.database.as_ref().and_then(|name| self.databases.get_mut(name))
        {
            database.queue.cancel(id);
            database.queue.finish(self.now, id);
        }
    }

    /// Releases the slot of a request that its database has not executed or whose answer is overdue or
    /// lost, or its place in the queue. The time since it was granted tells nothing about statements.
    pub(crate) fn abandon_slot(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(database) =
            request.database.as_ref().and_then(|name| self.databases.get_mut(name))
        {
            database.queue.cancel(id);
            database.queue.abandon(self.now, id);
        }
    }

    /// Retries a request that did not run, or a read whose answer is unusable.
    ///
    /// `cause` is the error of the database; the client gets `code` if this was the last try.
    pub(crate) fn retry_request(
        &mut self,
        id: RequestId,
        backoff: Option<Micros>,
        cause: ErrorCode,
        code: ErrorCode,
    ) {
        self.abandon_slot(id);
        if let Err((code, text)) = self.renew_identity(id) {
            self.count("requests_unidentified");
            return self.refuse(id, code, text);
        }
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let retry_at = now + backoff.unwrap_or(Micros::ZERO);
        request.connection = None;
        if request.tries >= MAX_TRIES || retry_at >= request.deadline {
            return self.refuse(
                id,
                code,
                "not run, no database could serve it, retry after 200 ms",
            );
        }
        let fields = fields![
            "request" => &request.client_request.id,
            "database" => request.database.clone().unwrap_or_default().to_string(),
            "tries" => u64::from(request.tries),
            "cause" => cause.name()
        ];
        match backoff {
            Some(_) => {
                request.stage = RequestStage::BackingOff(retry_at);
                self.backing_off.push(id);
            }
            None => request.stage = RequestStage::Queued,
        }
        self.count("requests_retried");
        self.log("request_retried", fields);
        if backoff.is_none() {
            self.route_request(id);
        }
    }

    /// Handles the answer to `BEGIN`.
    pub(crate) fn begin_answered(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        answer: &BackendAnswer,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        match &answer.end {
            AnswerEnd::Done(_) => {
                let open = OpenTransaction {
                    connection,
                    route: request.route.clone(),
                    caller: request.caller.clone(),
                    wrote: false,
                    idle_since: self.now,
                };
                let session_id = request.session;
                if let Some(session) = self.sessions.get_mut(&session_id) {
                    session.transaction = Transaction::Open(open);
                }
                let statement_sent = request.statement_sent;
                self.release_slot(id);
                if statement_sent {
                    // The configuration may have changed since both were sent.
                    self.end_unauthorized_transaction(session_id);
                } else {
                    self.send_first_statement(id, connection);
                }
            }
            AnswerEnd::Failed { code, text } => {
                let (code, text) = (*code, text.clone());
                if let Some(state) = self.connections.get_mut(&connection) {
                    state.transaction_session = None;
                }
                self.request_declined(id, code, &text);
            }
        }
    }

    /// Handles a database's answer that a request outside an open transaction did not run.
    pub(crate) fn request_declined(&mut self, id: RequestId, code: ErrorCode, text: &str) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(database) = request.database.clone() else { return };
        let cluster = request.route.cluster.clone();
        match code {
            ErrorCode::ReadOnly => {
                if let Some(state) = self.clusters.get_mut(&cluster) {
                    state.proof.forget_leader(&database);
                }
                self.request_all_reports(&cluster);
                self.retry_request(id, None, code, ErrorCode::Busy);
            }
            ErrorCode::Lagging => {
                request.excluded.push(database);
                self.retry_request(id, None, code, ErrorCode::Busy);
            }
            ErrorCode::NoStatement => {
                if let Some(connection) =
                    request.connection.and_then(|connection| self.connections.get_mut(&connection))
                {
                    connection.clear_prepared();
                }
                self.retry_request(id, None, code, ErrorCode::Busy);
            }
            // The account of a key is the same at all nodes with this configuration, and a node with
            // an older one must not decide.
            ErrorCode::NotAuthorized if self.is_peer(&database) => {
                self.refuse(id, code, INVALID_KEY_TEXT);
            }
            // The owner sees all requests of the cluster; another node would send to the same
            // databases.
            ErrorCode::Busy
                if self.is_peer(&database) && self.owners.owners_of(&cluster).is_some() =>
            {
                // The owner tells when to retry.
                self.refuse(id, code, text);
            }
            _ if self.is_peer(&database) => {
                if code == ErrorCode::Misrouted {
                    self.peer_refused(&database, &cluster);
                }
                if let Some(request) = self.requests.get_mut(&id) {
                    request.excluded.push(database);
                }
                self.retry_request(id, None, code, ErrorCode::Busy);
            }
            _ => self.retry_request(id, Some(BUSY_BACKOFF), code, ErrorCode::Busy),
        }
    }

    /// Handles the answer to a client's statement.
    pub(crate) fn statement_answered(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        answer: BackendAnswer,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let in_transaction =
            matches!(request.kind, RequestKind::Begin { .. } | RequestKind::Continue);
        let commit = request.is_commit();
        if commit
            && answer.state == TransactionState::Idle
            && let Some(state) = self.connections.get_mut(&connection)
        {
            state.transaction_session = None;
        }
        match &answer.end {
            AnswerEnd::Done(_) => self.statement_succeeded(id, answer),
            AnswerEnd::Failed { code, text } => {
                let (code, text) = (*code, text.clone());
                let first = matches!(request.kind, RequestKind::Begin { .. });
                let not_run = code.guarantees_not_run()
                    || self.lacks_route_at_peer(request, code)
                    || self.is_unidentified_at_peer(request, code);
                if first && not_run && request.tries < MAX_TRIES {
                    self.restore_pending_transaction(id, connection);
                    self.request_declined(id, code, &text);
                } else if in_transaction {
                    self.fail_transaction(id, code, &text);
                } else if not_run {
                    self.request_declined(id, code, &text);
                } else if request.access == StatementAccess::Read && request.tries < MAX_TRIES - 1 {
                    let database = request.database.clone();
                    if let Some(request) = self.requests.get_mut(&id) {
                        request.excluded.extend(database);
                        request.may_have_run = true;
                    }
                    self.retry_request(id, None, code, code);
                } else {
                    self.refuse(id, code, &text);
                }
            }
        }
    }

    /// Makes a transaction pending again if none of its statements has run.
    pub(crate) fn restore_pending_transaction(&mut self, id: RequestId, connection: ConnectionId) {
        let Some(request) = self.requests.get(&id) else { return };
        let RequestKind::Begin { begin, read_only } = request.kind.clone() else { return };
        let (session_id, started_at, route) =
            (request.session, request.started_at, request.route.clone());
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.transaction = Transaction::Pending { begin, read_only, started_at, route };
        }
        self.release_transaction(connection, session_id);
    }

    pub(crate) fn statement_succeeded(&mut self, id: RequestId, answer: BackendAnswer) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (cluster, database) = (request.route.cluster.clone(), request.database.clone());
        let Some(database) = database else { return };
        let wrote = match (&request.kind, self.sessions.get_mut(&request.session)) {
            (RequestKind::Write, _) => true,
            (RequestKind::Begin { .. } | RequestKind::Continue, Some(session)) => {
                match &mut session.transaction {
                    Transaction::Open(open) => {
                        open.wrote |= request.access == StatementAccess::Write;
                        request.is_commit() && open.wrote
                    }
                    _ => false,
                }
            }
            _ => false,
        };
        if !wrote {
            return self.reply_success(id, answer);
        }
        if !self.is_commit_kept(&cluster, &database) {
            return self.withhold_commit(id, &database);
        }
        if !self.is_peer(&database) && !self.needs_no_commit_proof(&cluster) {
            return self.hold_commit(id, answer);
        }
        self.commit_succeeded(id, answer);
    }

    /// Replies to a commit that is kept.
    pub(crate) fn commit_succeeded(&mut self, id: RequestId, answer: BackendAnswer) {
        let Some(request) = self.requests.get(&id) else { return };
        let (cluster, database) = (request.route.cluster.clone(), request.database.clone());
        let Some(database) = database else { return };
        let (session_id, sent) = (request.session, request.sent.unwrap_or(self.now));
        if let Some(state) = self.clusters.get_mut(&cluster) {
            state.commit_overdue = None;
        }
        if let (Some(session), Some(position)) =
            (self.sessions.get_mut(&session_id), answer.position)
        {
            let last_commit = session.commit_positions.entry(cluster.clone()).or_default();
            *last_commit = position.max(*last_commit);
        }
        if self.has_synchronous_replicas(&cluster)
            && let Some(state) = self.clusters.get_mut(&cluster)
        {
            state.proof.observe_commit(&database, sent, answer.position);
        }
        self.reply_success(id, answer);
    }

    /// Replies to a commit that the primary acknowledged after its replacement was announced. The
    /// new primary may lack it.
    pub(crate) fn withhold_commit(&mut self, id: RequestId, database: &Name) {
        let Some(request) = self.requests.get(&id) else { return };
        let single = matches!(request.kind, RequestKind::Write);
        let (name, cluster) = (request.client_request.id.clone(), request.route.cluster.clone());
        let announced_at = self.clusters.get(&cluster).and_then(|state| state.announced_at);
        let announced_ms =
            announced_at.map_or(u64::MAX, |at| self.now.saturating_sub(at).as_millis());
        self.count("commits_withheld");
        self.log(
            "commit_withheld",
            fields![
                "request" => &name,
                "cluster" => &cluster,
                "database" => database,
                "announced_ms" => announced_ms
            ],
        );
        let text = "the primary is being replaced, the outcome is not known";
        if single {
            self.refuse(id, ErrorCode::Unknown, text);
        } else {
            self.fail_transaction(id, ErrorCode::Unknown, text);
        }
    }

    /// Replies with a successful answer.
    pub(crate) fn reply_success(&mut self, id: RequestId, answer: BackendAnswer) {
        let AnswerEnd::Done(signature) = answer.end else { return };
        let reply = ClientReply::Done { rows: answer.rows, signature: Some(signature) };
        let commit = self.requests.get(&id).is_some_and(ActiveRequest::is_commit);
        let position = answer.position;
        self.finish_request(id, reply, "served", commit, position);
    }

    /// Replies to a request that failed or was given up, outside an open transaction.
    pub(crate) fn refuse(&mut self, id: RequestId, code: ErrorCode, text: &str) {
        let may_have_run = self.requests.get(&id).is_some_and(|request| request.may_have_run);
        let text = text.strip_prefix(NOT_RUN).filter(|_| may_have_run).unwrap_or(text);
        let reply = ClientReply::Failed { code, text: text.to_string() };
        if let Some(request) = self.requests.get(&id)
            && matches!(request.kind, RequestKind::Begin { .. } | RequestKind::Continue)
            && let Some(session) = self.sessions.get_mut(&request.session)
            && !matches!(session.transaction, Transaction::None)
        {
            session.transaction = Transaction::Failed;
        }
        self.finish_request(id, reply, code.name(), false, None);
    }

    /// Replies to a statement whose transaction cannot continue, and rolls the transaction back.
    pub(crate) fn fail_transaction(&mut self, id: RequestId, code: ErrorCode, text: &str) {
        let Some(request) = self.requests.get(&id) else { return };
        let (session_id, commit) = (request.session, request.is_commit());
        if let Some(session) = self.sessions.get_mut(&session_id) {
            let state = if commit { Transaction::None } else { Transaction::Failed };
            let transaction = std::mem::replace(&mut session.transaction, state);
            if let Transaction::Open(open) = transaction {
                self.release_transaction(open.connection, session_id);
            }
        }
        let reply = ClientReply::Failed { code, text: text.to_string() };
        self.finish_request(id, reply, code.name(), false, None);
    }

    pub(crate) fn finish_request(
        &mut self,
        id: RequestId,
        reply: ClientReply,
        outcome: &'static str,
        committed: bool,
        position: Option<TermPosition>,
    ) {
        match reply {
            ClientReply::Done { .. } => self.release_slot(id),
            ClientReply::Failed { .. } => self.abandon_slot(id),
        }
        let Some(request) = self.requests.remove(&id) else { return };
        let now = self.now;
        let took = now.saturating_sub(request.arrived);
        if let Some(session) = self.sessions.get_mut(&request.session) {
            session.active_request = None;
            if committed {
                session.transaction = Transaction::None;
            } else if let Transaction::Open(open) = &mut session.transaction {
                open.idle_since = now;
            }
        }
        self.count(match reply {
            ClientReply::Done { .. } => "requests_served",
            ClientReply::Failed { .. } => "requests_failed",
        });
        self.out.push(GateAction::Observe { histogram: "request_time", micros: took.0 });
        let proof = self.clusters.get(&request.route.cluster).map(|state| &state.proof);
        let proof_age = proof
            .and_then(|proof| proof.confirmed_at())
            .map_or(u64::MAX, |at| now.saturating_sub(at).as_millis());
        self.log(
            "request",
            fields![
                "request" => &request.client_request.id,
                "session" => request.session.0,
                "route" => &request.route.name,
                "database" => request.database.clone().unwrap_or_default().to_string(),
                "after" => request
                    .required_position
                    .map_or_else(String::new, |position| position.to_string()),
                "version" => self.table.version,
                "term" => proof.map_or(0, |proof| proof.term().0),
                "proof_age_ms" => proof_age,
                "tries" => u64::from(request.tries),
                "took_ms" => took.as_millis(),
                "outcome" => outcome
            ],
        );
        self.reply(request.session, reply, position);
        if let Some(name) = request.database {
            self.dispatch_queued(&name);
        }
    }

    /// Reroutes the requests queued at a database to which there is no open connection.
    pub(crate) fn reroute_if_unconnected(&mut self, name: &Name) {
        let Some(database) = self.databases.get(name) else { return };
        if database.connections.len() > database.opening as usize {
            return;
        }
        self.reroute_queued_requests(name);
    }

    /// Reroutes the requests queued at a database to other databases.
    pub(crate) fn reroute_queued_requests(&mut self, name: &Name) {
        let queued: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.stage == RequestStage::Queued && request.database.as_ref() == Some(name)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in queued {
            if let Some(request) = self.requests.get_mut(&id) {
                request.excluded.push(name.clone());
            }
            self.release_slot(id);
            self.route_request(id);
        }
    }

    /// Reroutes the requests that are queued at a leader whose replacement was announced. Reads of
    /// stale data stay.
    pub(crate) fn reroute_from_suspended_leader(&mut self, cluster: &Name) {
        let queued: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.stage == RequestStage::Queued
                    && request.route.cluster == *cluster
                    && request.needs_leader()
                    && !request.database.as_ref().is_some_and(|database| self.is_peer(database))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in queued {
            self.release_slot(id);
            self.route_request(id);
        }
    }

    /// Reroutes the reads queued at databases that do not answer, if another database can serve
    /// them. Other requests wait, because only the primary or its successor can serve them.
    pub(crate) fn reroute_from_unresponsive_databases(&mut self) {
        let now = self.now;
        let unresponsive: Vec<Name> = self
            .databases
            .iter()
            .filter(|(_, database)| {
                database.peer.is_none() && database.load() > 0 && !database.is_responsive(now)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in unresponsive {
            let queued: Vec<RequestId> = self
                .requests
                .iter()
                .filter(|(_, request)| {
                    request.stage == RequestStage::Queued
                        && request.database.as_ref() == Some(&name)
                        && !request.needs_leader()
                })
                .map(|(id, _)| *id)
                .collect();
            for id in queued {
                if self.can_serve_elsewhere(id, &name) {
                    if let Some(request) = self.requests.get_mut(&id) {
                        request.excluded.push(name.clone());
                    }
                    self.release_slot(id);
                    self.route_request(id);
                }
            }
        }
    }

    /// Removes a request whose client is gone.
    ///
    /// Another node learns of it by the end of the connection, and does not run what still waits there.
    /// A database goes on executing a statement, so its slot stays in use until the answer, or until
    /// the connection is lost.
    pub(crate) fn abandon_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let at_peer = request.database.as_ref().is_some_and(|name| self.is_peer(name));
        let sent = request.connection.filter(|_| request.stage == RequestStage::Sent);
        let (connection, keeps_slot) = (sent.filter(|_| at_peer), sent.is_some() && !at_peer);
        if !keeps_slot {
            self.abandon_slot(id);
        }
        self.requests.remove(&id);
        self.count("requests_abandoned");
        if let Some(connection) = connection {
            self.close_connection(connection, "the client is gone");
        }
    }

    /// Returns the slot of a request whose client was gone before its database answered. `answered` is
    /// false if the connection was lost.
    pub(crate) fn end_abandoned_statement(&mut self, name: &Name, id: RequestId, answered: bool) {
        if self.requests.contains_key(&id) {
            return;
        }
        let Some(database) = self.databases.get_mut(name) else { return };
        if answered {
            database.queue.finish(self.now, id);
        } else {
            database.queue.abandon(self.now, id);
        }
    }

    /// Returns the slots of writes and commits whose answers are probably lost: they are overdue, and
    /// the database has answered statements that were sent later. The requests still wait for their
    /// answers until their time limits.
    fn release_overdue_slots(&mut self) {
        let now = self.now;
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                let database = request.database.as_ref().and_then(|name| self.databases.get(name));
                let Some((database, sent)) = database.zip(request.sent) else { return false };
                request.stage == RequestStage::Sent
                    && request.may_take_effect()
                    && database.peer.is_none()
                    && database.last_command_answer > Some(sent)
                    && now >= sent + self.answer_timeout(request)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let Some(name) = self.requests.get(&id).and_then(|request| request.database.clone())
            else {
                continue;
            };
            let released = self
                .databases
                .get_mut(&name)
                .is_some_and(|database| database.queue.abandon(now, id));
            if released {
                self.count("slots_of_lost_answers");
                self.dispatch_queued(&name);
            }
        }
    }

    /// Handles the loss of a connection that a request was sent on. `statement_sent` tells whether
    /// the statement itself was sent.
    pub(crate) fn request_connection_lost(&mut self, id: RequestId, statement_sent: bool) {
        self.abandon_slot(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if statement_sent && request.may_take_effect() {
            let code = ErrorCode::Unknown;
            let text = "the connection was lost, the outcome is not known";
            if matches!(request.kind, RequestKind::Write) {
                return self.refuse(id, code, text);
            }
            return self.fail_transaction(id, code, text);
        }
        if matches!(request.kind, RequestKind::Continue)
            || (statement_sent && matches!(request.kind, RequestKind::Begin { .. }))
        {
            return self.fail_transaction(id, ErrorCode::Aborted, "the connection was lost");
        }
        request.may_have_run |= statement_sent;
        request.excluded.extend(request.database.clone());
        self.retry_request(id, None, ErrorCode::Unknown, ErrorCode::Busy);
    }

    /// Resumes requests after their backoff, and ends those whose time limit has passed.
    pub(crate) fn resume_and_expire_requests(&mut self) {
        let now = self.now;
        let due: Vec<RequestId> = self
            .backing_off
            .iter()
            .copied()
            .filter(|id| match self.requests.get(id).map(|request| request.stage) {
                Some(RequestStage::BackingOff(until)) => now >= until,
                _ => true,
            })
            .collect();
        self.backing_off.retain(|id| !due.contains(id));
        for id in due {
            if matches!(
                self.requests.get(&id).map(|request| request.stage),
                Some(RequestStage::BackingOff(_))
            ) {
                self.route_request(id);
            }
        }
        let expired: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                now >= request.deadline
                    || request.is_hold_expired(now)
                    || request.should_give_up(now, self.answer_timeout(request))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.request_timed_out(id);
        }
        self.release_overdue_slots();
    }

    /// Returns how long a request waits for its database before it is given up.
    ///
    /// Another node retries a request itself and knows its queue, so a second request elsewhere
    /// would only add to the load. Only an unresponsive node ends the wait.
    pub(crate) fn answer_timeout(&self, request: &ActiveRequest) -> Micros {
        let database = request.database.as_ref().and_then(|name| self.databases.get(name));
        if let Some(peer) = database.filter(|database| database.peer.is_some()) {
            return if peer.is_responsive(self.now) { Micros::MAX } else { READ_TIMEOUT_MAX };
        }
        let route = &request.route;
        let usual =
            self.clusters.get(&route.cluster).map(|state| state.usual_times.get(&route.name));
        let slowness =
            database.map_or(100, |database| database.responsiveness.slowness(self.now, 0));
        let timeout = usual.unwrap_or_default().0 * slowness / 100 * READ_TIMEOUT_FACTOR;
        Micros(timeout).clamp(READ_TIMEOUT_MIN, READ_TIMEOUT_MAX)
    }

    pub(crate) fn request_timed_out(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let deadline_passed = self.now >= request.deadline;
        if request.stage == RequestStage::Sent {
            let connection = request.connection;
            if request.held_commit.is_none() {
                self.record_overdue(id);
            }
            self.abandon_slot(id);
            self.sent_request_timed_out(id, deadline_passed);
            // The answer may come late or never; the next request must not wait for it.
            if let Some(connection) = connection {
                self.close_connection(connection, "answer overdue");
            }
            return;
        }
        match request.stage {
            RequestStage::WaitingForLeader => {
                let text = "not run, the cluster has no usable primary, retry after 300 ms";
                self.refuse(id, ErrorCode::Busy, text);
            }
            RequestStage::BackingOff(_) => {
                let text = "not run, no database could serve it in time, retry after 200 ms";
                self.refuse(id, ErrorCode::Busy, text);
            }
            RequestStage::Queued => {
                let text = "not run, the time limit passed in the queue, retry after 200 ms";
                self.refuse(id, ErrorCode::Busy, text);
            }
            RequestStage::WaitingForAllotment { .. } => self.refuse_unchecked(id),
            RequestStage::WaitingForProof => {
                self.refuse(id, self.refusal_code(id), UNPROVED_TEXT);
            }
            RequestStage::Sent => {}
        }
    }

    /// Records that a database's answer is overdue.
    pub(crate) fn record_overdue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(sent), Some(name)) = (request.sent, request.database.clone()) else { return };
        if request.may_take_effect()
            && let Some(state) = self.clusters.get_mut(&request.route.cluster)
        {
            state.commit_overdue.get_or_insert(sent);
        }
        let now = self.now;
        let route = &request.route;
        let usual =
            self.clusters.get(&route.cluster).map(|state| state.usual_times.get(&route.name));
        if let (Some(database), Some(usual)) = (self.databases.get_mut(&name), usual) {
            // The next reads prefer other databases.
            database.responsiveness.observe_time(now, now.saturating_sub(sent), usual);
            database.responsiveness.observe_outcome(now, true);
        }
        if let Some(database) = self.databases.get_mut(&name)
            && database.last_command_answer.is_none_or(|answered| answered < sent)
        {
            database.overdue_since.get_or_insert(sent);
        }
    }

    /// Handles a request whose answer is overdue. `deadline_passed` tells whether its time limit
    /// has passed.
    pub(crate) fn sent_request_timed_out(&mut self, id: RequestId, deadline_passed: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let unknown = "the time limit passed, the outcome is not known";
        match request.kind {
            RequestKind::Read if !deadline_passed => {
                request.may_have_run = true;
                request.excluded.extend(request.database.clone());
                self.retry_request(id, None, ErrorCode::Timeout, ErrorCode::Timeout);
            }
            RequestKind::Read => self.refuse(id, ErrorCode::Timeout, "the time limit passed"),
            RequestKind::Write => self.refuse(id, ErrorCode::Unknown, unknown),
            RequestKind::Begin { .. } | RequestKind::Continue if request.is_commit() => {
                self.fail_transaction(id, ErrorCode::Unknown, unknown);
            }
            RequestKind::Begin { .. } | RequestKind::Continue => {
                let text = "rolled back, the database did not answer in time, retry at once";
                self.fail_transaction(id, ErrorCode::Aborted, text);
            }
        }
    }
}
