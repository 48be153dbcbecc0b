//! How requests end: answers, errors, retries, losses and time limits.
//!
//! A request is sent again only if the database said that it did not run, or if it is a read outside a
//! transaction. Nothing of a transaction is kept before its commit was sent, so it can be given up with a
//! promise until then.

use model::{Micros, Name};

use crate::action::{ClientReply, GateAction};
use crate::backend::{AnswerEnd, BackendAnswer, LogPoint};
use crate::event::LinkId;
use crate::session::{OpenTransaction, Transaction};
use crate::statement::{ErrorCode, SessionState, StatementAccess};
use crate::work::{OVERLOADED_TEXT, TRY_LIMIT, Work, WorkId, WorkKind, WorkStage};
use crate::{Gate, fields};

/// Time without an answer after which a read is sent to another database: this many times what the database
/// usually takes, within the bounds below. An answer can be lost while the connection stays.
const READ_PATIENCE_FACTOR: u64 = 6;
const READ_PATIENCE_LEAST: Micros = Micros::from_millis(120);
const READ_PATIENCE_MOST: Micros = Micros::from_millis(400);

/// Pause before a request that a full database refused is sent again: about one statement.
const BUSY_PAUSE: Micros = Micros::from_millis(15);

impl Gate {
    /// Returns the slot that a request holds at its database.
    pub(crate) fn release_slot(&mut self, id: WorkId) {
        let Some(work) = self.works.get(&id) else { return };
        if let Some(database) = work.database.as_ref().and_then(|name| self.databases.get_mut(name))
        {
            database.queue.cancel(id);
            database.queue.finish(self.now, id);
        }
    }

    /// Returns the slot of a request whose answer is overdue or lost.
    pub(crate) fn abandon_slot(&mut self, id: WorkId) {
        let Some(work) = self.works.get(&id) else { return };
        if let Some(database) = work.database.as_ref().and_then(|name| self.databases.get_mut(name))
        {
            database.queue.abandon(self.now, id);
        }
    }

    /// Tries a request again that did not run, or a read whose answer is of no use.
    ///
    /// `cause` is what the database said; the client is told `code` if this was the last try.
    pub(crate) fn retry_work(
        &mut self,
        id: WorkId,
        pause: Option<Micros>,
        cause: ErrorCode,
        code: ErrorCode,
    ) {
        self.release_slot(id);
        let now = self.now;
        let Some(work) = self.works.get_mut(&id) else { return };
        let paused = now + pause.unwrap_or(Micros::ZERO);
        work.link = None;
        if work.tries >= TRY_LIMIT || paused >= work.deadline {
            return self.refuse(
                id,
                code,
                "not run, no database could serve it, retry after 200 ms",
            );
        }
        let fields = fields![
            "request" => &work.request.id,
            "database" => work.database.clone().unwrap_or_default().to_string(),
            "tries" => u64::from(work.tries),
            "cause" => cause.name()
        ];
        match pause {
            Some(_) => {
                work.stage = WorkStage::Paused(paused);
                self.paused.push(id);
            }
            None => work.stage = WorkStage::Queued,
        }
        self.count("requests_retried");
        self.log("request_retried", fields);
        if pause.is_none() {
            self.route_work(id);
        }
    }

    /// Handles the answer to `BEGIN`.
    pub(crate) fn begin_answered(&mut self, id: WorkId, link: LinkId, answer: &BackendAnswer) {
        let Some(work) = self.works.get(&id) else { return };
        match &answer.end {
            AnswerEnd::Done(_) => {
                let open = OpenTransaction {
                    link,
                    route: work.route.clone(),
                    wrote: false,
                    idle_since: self.now,
                };
                if let Some(session) = self.sessions.get_mut(&work.session) {
                    session.transaction = Transaction::Open(open);
                }
                self.release_slot(id);
                self.send_statement(id, link, false);
            }
            AnswerEnd::Failed { code, .. } => {
                let code = *code;
                if let Some(state) = self.links.get_mut(&link) {
                    state.pinned = None;
                }
                self.not_run(id, code);
            }
        }
    }

    /// A database said that a request outside an open transaction did not run.
    pub(crate) fn not_run(&mut self, id: WorkId, code: ErrorCode) {
        let Some(work) = self.works.get_mut(&id) else { return };
        let Some(database) = work.database.clone() else { return };
        let cluster = work.route.cluster.clone();
        match code {
            ErrorCode::ReadOnly => {
                if let Some(state) = self.clusters.get_mut(&cluster) {
                    state.proof.forget_leader(&database);
                }
                self.ask_all(&cluster);
                self.retry_work(id, None, code, ErrorCode::Busy);
            }
            ErrorCode::Lagging => {
                work.avoided.push(database);
                self.retry_work(id, None, code, ErrorCode::Busy);
            }
            ErrorCode::NoStatement => {
                if let Some(link) = work.link.and_then(|link| self.links.get_mut(&link)) {
                    link.forget_prepared();
                }
                self.retry_work(id, None, code, ErrorCode::Busy);
            }
            // The owner sees all requests of the cluster; another one would send to the same databases.
            ErrorCode::Busy if self.is_peer(&database) && self.owners.of(&cluster).is_some() => {
                self.refuse(id, code, OVERLOADED_TEXT);
            }
            _ if self.is_peer(&database) => {
                if code == ErrorCode::Misrouted {
                    self.peer_refused(&database, &cluster);
                }
                if let Some(work) = self.works.get_mut(&id) {
                    work.avoided.push(database);
                }
                self.retry_work(id, None, code, ErrorCode::Busy);
            }
            _ => self.retry_work(id, Some(BUSY_PAUSE), code, ErrorCode::Busy),
        }
    }

    /// Handles the answer to a client's statement.
    pub(crate) fn statement_answered(&mut self, id: WorkId, link: LinkId, answer: BackendAnswer) {
        let Some(work) = self.works.get(&id) else { return };
        let in_transaction = matches!(work.kind, WorkKind::Begin { .. } | WorkKind::Continue);
        let commit = work.is_commit();
        if commit
            && answer.state == SessionState::Idle
            && let Some(state) = self.links.get_mut(&link)
        {
            state.pinned = None;
        }
        match &answer.end {
            AnswerEnd::Done(_) => self.statement_succeeded(id, answer),
            AnswerEnd::Failed { code, text } => {
                let (code, text) = (*code, text.clone());
                let first = matches!(work.kind, WorkKind::Begin { .. });
                if first && code.promises_not_run() && work.tries < TRY_LIMIT {
                    self.reopen_transaction(id, link);
                    self.not_run(id, code);
                } else if in_transaction {
                    self.fail_transaction(id, code, &text);
                } else if code.promises_not_run() {
                    self.not_run(id, code);
                } else if work.access == StatementAccess::Read && work.tries < TRY_LIMIT - 1 {
                    let database = work.database.clone();
                    if let Some(work) = self.works.get_mut(&id) {
                        work.avoided.extend(database);
                    }
                    self.retry_work(id, None, code, code);
                } else {
                    self.refuse(id, code, &text);
                }
            }
        }
    }

    /// Takes back a transaction of which no statement has run.
    pub(crate) fn reopen_transaction(&mut self, id: WorkId, link: LinkId) {
        let Some(work) = self.works.get(&id) else { return };
        let WorkKind::Begin { begin, read_only } = work.kind.clone() else { return };
        let (session_id, begun, route) = (work.session, work.begun, work.route.clone());
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.transaction = Transaction::Pending { begin, read_only, begun, route };
        }
        self.release_pin(link, session_id);
    }

    pub(crate) fn statement_succeeded(&mut self, id: WorkId, answer: BackendAnswer) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&id) else { return };
        let (cluster, database) = (work.route.cluster.clone(), work.database.clone());
        let Some(database) = database else { return };
        let sent = work.sent.unwrap_or(now);
        let wrote = match (&work.kind, self.sessions.get_mut(&work.session)) {
            (WorkKind::Write, _) => true,
            (WorkKind::Begin { .. } | WorkKind::Continue, Some(session)) => {
                match &mut session.transaction {
                    Transaction::Open(open) => {
                        open.wrote |= work.access == StatementAccess::Write;
                        work.is_commit() && open.wrote
                    }
                    _ => false,
                }
            }
            _ => false,
        };
        if wrote {
            if let Some(state) = self.clusters.get_mut(&cluster) {
                state.commit_overdue = None;
            }
            if let (Some(session), Some(point)) =
                (self.sessions.get_mut(&work.session), answer.point)
            {
                let floor = session.floors.entry(cluster.clone()).or_default();
                *floor = point.max(*floor);
            }
            if self.table.clusters.get(&cluster).is_some_and(|limits| limits.sync_replicas > 0)
                && let Some(state) = self.clusters.get_mut(&cluster)
            {
                state.proof.commit_acknowledged(&database, sent, answer.point);
            }
        }
        self.deliver(id, answer);
    }

    /// Passes a successful answer on.
    pub(crate) fn deliver(&mut self, id: WorkId, answer: BackendAnswer) {
        let AnswerEnd::Done(signature) = answer.end else { return };
        let reply = ClientReply::Done { rows: answer.rows, signature: Some(signature) };
        let commit = self.works.get(&id).is_some_and(Work::is_commit);
        let point = answer.point;
        self.finish_work(id, reply, "served", commit, point);
    }

    /// Answers a request that failed or is given up, outside an open transaction.
    pub(crate) fn refuse(&mut self, id: WorkId, code: ErrorCode, text: &str) {
        let reply = ClientReply::Failed { code, text: text.to_string() };
        if let Some(work) = self.works.get(&id)
            && matches!(work.kind, WorkKind::Begin { .. } | WorkKind::Continue)
            && let Some(session) = self.sessions.get_mut(&work.session)
            && !matches!(session.transaction, Transaction::None)
        {
            session.transaction = Transaction::Failed;
        }
        self.finish_work(id, reply, code.name(), false, None);
    }

    /// Answers a statement whose transaction cannot go on. What is open is rolled back.
    pub(crate) fn fail_transaction(&mut self, id: WorkId, code: ErrorCode, text: &str) {
        let Some(work) = self.works.get(&id) else { return };
        let (session_id, commit) = (work.session, work.is_commit());
        if let Some(session) = self.sessions.get_mut(&session_id) {
            let state = if commit { Transaction::None } else { Transaction::Failed };
            let transaction = std::mem::replace(&mut session.transaction, state);
            if let Transaction::Open(open) = transaction {
                self.release_pin(open.link, session_id);
            }
        }
        let reply = ClientReply::Failed { code, text: text.to_string() };
        self.finish_work(id, reply, code.name(), false, None);
    }

    pub(crate) fn finish_work(
        &mut self,
        id: WorkId,
        reply: ClientReply,
        outcome: &'static str,
        committed: bool,
        point: Option<LogPoint>,
    ) {
        self.release_slot(id);
        let Some(work) = self.works.remove(&id) else { return };
        let now = self.now;
        let took = now.saturating_sub(work.arrived);
        if let Some(session) = self.sessions.get_mut(&work.session) {
            session.work = None;
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
        let proof = self.clusters.get(&work.route.cluster).map(|state| &state.proof);
        let proof_age = proof
            .and_then(|proof| proof.confirmed_at())
            .map_or(u64::MAX, |at| now.saturating_sub(at).as_millis());
        self.log(
            "request",
            fields![
                "request" => &work.request.id,
                "session" => work.session.0,
                "route" => &work.route.name,
                "database" => work.database.clone().unwrap_or_default().to_string(),
                "after" => work.after.map_or_else(String::new, |point| point.to_string()),
                "version" => self.table.version,
                "term" => proof.map_or(0, |proof| proof.term().0),
                "proof_age_ms" => proof_age,
                "tries" => u64::from(work.tries),
                "took_ms" => took.as_millis(),
                "outcome" => outcome
            ],
        );
        self.reply(work.session, reply, point);
        if let Some(name) = work.database {
            self.pump(&name);
        }
    }

    /// Routes the requests that wait at a database which gives no connection.
    pub(crate) fn reroute_queued(&mut self, name: &Name) {
        let Some(database) = self.databases.get(name) else { return };
        if database.links.len() > database.opening as usize {
            return;
        }
        self.move_queued(name);
    }

    /// Routes the requests that wait at a database again, to others.
    pub(crate) fn move_queued(&mut self, name: &Name) {
        let queued: Vec<WorkId> = self
            .works
            .iter()
            .filter(|(_, work)| {
                work.stage == WorkStage::Queued && work.database.as_ref() == Some(name)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in queued {
            if let Some(work) = self.works.get_mut(&id) {
                work.avoided.push(name.clone());
            }
            self.release_slot(id);
            self.route_work(id);
        }
    }

    /// Forgets a request whose client is gone.
    pub(crate) fn abandon_work(&mut self, id: WorkId) {
        self.abandon_slot(id);
        self.release_slot(id);
        self.works.remove(&id);
    }

    /// A connection was lost while the request was on it.
    pub(crate) fn work_lost(&mut self, id: WorkId, begun: bool) {
        self.abandon_slot(id);
        let Some(work) = self.works.get_mut(&id) else { return };
        if begun && work.may_take_effect() {
            let code = ErrorCode::Unknown;
            let text = "the connection was lost, the outcome is not known";
            if matches!(work.kind, WorkKind::Write) {
                return self.refuse(id, code, text);
            }
            return self.fail_transaction(id, code, text);
        }
        if matches!(work.kind, WorkKind::Continue)
            || (begun && matches!(work.kind, WorkKind::Begin { .. }))
        {
            return self.fail_transaction(id, ErrorCode::Aborted, "the connection was lost");
        }
        work.avoided.extend(work.database.clone());
        self.retry_work(id, None, ErrorCode::Unknown, ErrorCode::Busy);
    }

    /// Acts on requests whose time is up.
    pub(crate) fn check_works(&mut self) {
        let now = self.now;
        let due: Vec<WorkId> = self
            .paused
            .iter()
            .copied()
            .filter(|id| match self.works.get(id).map(|work| work.stage) {
                Some(WorkStage::Paused(until)) => now >= until,
                _ => true,
            })
            .collect();
        self.paused.retain(|id| !due.contains(id));
        for id in due {
            if matches!(self.works.get(&id).map(|work| work.stage), Some(WorkStage::Paused(_))) {
                self.route_work(id);
            }
        }
        let late: Vec<WorkId> = self
            .works
            .iter()
            .filter(|(_, work)| {
                now >= work.deadline
                    || work.is_held_long(now)
                    || work.is_impatient(now, self.patience(work))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.work_late(id);
        }
    }

    /// Returns how long a request should wait for its database.
    ///
    /// Another node sends a request again itself and knows its queue, so a second one elsewhere would only
    /// add to the load. Only its silence counts.
    pub(crate) fn patience(&self, work: &Work) -> Micros {
        let database = work.database.as_ref().and_then(|name| self.databases.get(name));
        if let Some(peer) = database.filter(|database| database.peer.is_some()) {
            return if peer.is_responsive(self.now) { Micros::MAX } else { READ_PATIENCE_MOST };
        }
        let usual = database.map_or(Micros::ZERO, |database| database.latency.value(self.now));
        Micros(usual.0 * READ_PATIENCE_FACTOR).clamp(READ_PATIENCE_LEAST, READ_PATIENCE_MOST)
    }

    pub(crate) fn work_late(&mut self, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else { return };
        let late = self.now >= work.deadline;
        if work.stage == WorkStage::Sent {
            let link = work.link;
            self.note_overdue(id);
            self.abandon_slot(id);
            self.sent_work_late(id, late);
            // The answer may still come, or never; the next request must not wait for it.
            if let Some(link) = link {
                self.drop_link(link, "answer overdue");
            }
            return;
        }
        match work.stage {
            WorkStage::Parked | WorkStage::Paused(_) | WorkStage::Queued => {
                self.refuse(
                    id,
                    ErrorCode::Busy,
                    "not run, no primary within the time, retry at once",
                );
            }
            WorkStage::Proving => {
                let text = "not run, the primary could not be proved to lead, retry after 500 ms";
                self.refuse(id, self.unable_code(id), text);
            }
            WorkStage::Sent => {}
        }
    }

    /// Notes that a database owes an answer.
    pub(crate) fn note_overdue(&mut self, id: WorkId) {
        let Some(work) = self.works.get(&id) else { return };
        let (Some(sent), Some(name)) = (work.sent, work.database.clone()) else { return };
        if work.may_take_effect()
            && let Some(state) = self.clusters.get_mut(&work.route.cluster)
        {
            state.commit_overdue.get_or_insert(sent);
        }
        let now = self.now;
        if let Some(database) = self.databases.get_mut(&name) {
            // The next reads prefer other databases.
            database.latency.observe(now, now.saturating_sub(sent));
        }
        if let Some(database) = self.databases.get_mut(&name)
            && database.command_answered.is_none_or(|answered| answered < sent)
        {
            database.overdue_since.get_or_insert(sent);
        }
    }

    /// Acts on a request whose answer is overdue.
    pub(crate) fn sent_work_late(&mut self, id: WorkId, late: bool) {
        let Some(work) = self.works.get_mut(&id) else { return };
        let unknown = "the time limit passed, the outcome is not known";
        match work.kind {
            WorkKind::Read if !late => {
                work.avoided.extend(work.database.clone());
                self.retry_work(id, None, ErrorCode::Timeout, ErrorCode::Timeout);
            }
            WorkKind::Read => self.refuse(id, ErrorCode::Timeout, "the time limit passed"),
            WorkKind::Write => self.refuse(id, ErrorCode::Unknown, unknown),
            WorkKind::Begin { .. } | WorkKind::Continue if work.is_commit() => {
                self.fail_transaction(id, ErrorCode::Unknown, unknown);
            }
            WorkKind::Begin { .. } | WorkKind::Continue => {
                let text = "rolled back, the database did not answer in time, retry at once";
                self.fail_transaction(id, ErrorCode::Aborted, text);
            }
        }
    }
}
