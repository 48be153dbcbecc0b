//! The way of one request: choice of database, queue, connection, answer.
//!
//! Writes, transactions that may write, and reads of current data go to the leader. Other reads go to a
//! replica that holds a proved position which is recent enough, else to the leader. A request is sent again
//! only if the database said that it did not run, or if it is a read outside a transaction.

use std::sync::Arc;

use admit::{RefusalReason, WorkTicket};
use model::{Micros, Name};

use crate::action::{ClientReply, GateAction};
use crate::backend::{AnswerEnd, BackendAnswer, BackendCommand, LogPoint};
use crate::database::CommandPurpose;
use crate::event::{LinkId, SessionId};
use crate::route::{Freshness, RouteConfig};
use crate::session::{OpenTransaction, Transaction, covered_since};
use crate::statement::{ClientRequest, ErrorCode, SessionState, Statement, StatementAccess};
use crate::{Gate, fields};

pub(crate) use admit::WorkId;

/// Times that one request is sent at most.
const TRY_LIMIT: u32 = 4;

/// Pause before a request that a full database refused is sent again: about one statement.
const BUSY_PAUSE: Micros = Micros::from_millis(15);

/// Time kept back from a request's limit for the way to the client.
const REPLY_MARGIN: Micros = Micros::from_millis(20);

/// Time that a request waits for a leader or for proof of one. Another node may be able to serve it, and the
/// client's tries have to fit into its time.
const HOLD_TIME: Micros = Micros::from_millis(300);

/// Time without an answer after which a read is sent to another database: this many times what the database
/// usually takes, within the bounds below. An answer can be lost while the connection stays.
const READ_PATIENCE_FACTOR: u64 = 6;
const READ_PATIENCE_LEAST: Micros = Micros::from_millis(120);
const READ_PATIENCE_MOST: Micros = Micros::from_millis(400);

/// Expected time in percent that a detour from the preferred replica, or to the leader, counts as. The leader is
/// kept free for what only it can do.
const DETOUR_PERCENT: u64 = 150;
const LEADER_PERCENT: u64 = 250;

/// What a request is within its session.
#[derive(Clone, Debug)]
pub(crate) enum WorkKind {
    Read,
    Write,
    /// The first statement of a transaction, which has to be opened first.
    Begin {
        begin: ClientRequest,
        read_only: bool,
    },
    /// A statement of an open transaction.
    Continue,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkStage {
    /// Waits for a leader.
    Parked,
    /// Waits for proof that the leader still leads.
    Proving,
    /// Waits until it may be tried again.
    Paused(Micros),
    /// Waits for a connection.
    Queued,
    /// Sent; not answered yet.
    Sent,
}

/// One request.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) session: SessionId,
    pub(crate) request: ClientRequest,
    pub(crate) access: StatementAccess,
    pub(crate) kind: WorkKind,
    pub(crate) route: Arc<RouteConfig>,
    pub(crate) arrived: Micros,
    /// When the statement, or its transaction, began.
    pub(crate) begun: Micros,
    pub(crate) deadline: Micros,
    pub(crate) stage: WorkStage,
    pub(crate) database: Option<Name>,
    pub(crate) link: Option<LinkId>,
    pub(crate) after: Option<LogPoint>,
    /// The leader must be proved for this time.
    pub(crate) need: Option<Micros>,
    pub(crate) sent: Option<Micros>,
    pub(crate) tries: u32,
    pub(crate) avoided: Vec<Name>,
}

impl Work {
    fn is_commit(&self) -> bool {
        matches!(self.request.statement, Statement::Commit)
    }

    /// Tells whether the request may have an effect once it was sent.
    pub(crate) fn may_take_effect(&self) -> bool {
        matches!(self.kind, WorkKind::Write) || self.is_commit()
    }

    fn needs_leader(&self) -> bool {
        match &self.kind {
            WorkKind::Write | WorkKind::Continue => true,
            WorkKind::Begin { read_only: false, .. } => true,
            WorkKind::Read | WorkKind::Begin { read_only: true, .. } => {
                self.route.freshness == Freshness::Latest
            }
        }
    }
}

impl Gate {
    pub(crate) fn new_work(
        &mut self,
        session: SessionId,
        request: ClientRequest,
        access: StatementAccess,
        kind: WorkKind,
        route: Arc<RouteConfig>,
        begun: Micros,
    ) -> WorkId {
        let id = WorkId(self.next_id());
        let work = Work {
            session,
            request,
            access,
            kind,
            arrived: self.now,
            begun,
            deadline: self.now + route.timeout.saturating_sub(REPLY_MARGIN),
            route,
            stage: WorkStage::Queued,
            database: None,
            link: None,
            after: None,
            need: None,
            sent: None,
            tries: 0,
            avoided: Vec::new(),
        };
        self.works.insert(id, work);
        id
    }

    /// Chooses a database for a request and queues it there.
    pub(crate) fn route_work(&mut self, id: WorkId) {
        let Some(work) = self.works.get(&id) else { return };
        if matches!(work.kind, WorkKind::Continue) {
            return self.continue_transaction(id);
        }
        let (route, begun, for_leader) = (work.route.clone(), work.begun, work.needs_leader());
        let writes = matches!(work.kind, WorkKind::Write);
        if !self.holds_links(&route.cluster)
            && let Some(peer) = self.choose_peer(id)
        {
            return self.queue_at(id, peer, self.session_floor(id), None);
        }
        let Some(cluster) = self.clusters.get(&route.cluster) else {
            return self.refuse(id, ErrorCode::Busy, "no database is known for the route");
        };
        let since = covered_since(route.freshness, begun);
        if !for_leader
            && let Some(since) = since
            && let Some(point) = cluster.evidence.sample(since)
        {
            let after = Some(point).max(self.session_floor(id));
            if let Some(replica) = self.choose_replica(id, &route.cluster, after) {
                return self.queue_at(id, replica, after, None);
            }
        }
        let need = if writes { None } else { Some(since.unwrap_or(begun)) };
        let Some(leader) = self.usable_leader(&route.cluster) else {
            if !self.is_announced(&route.cluster)
                && let Some(peer) = self.choose_peer(id)
            {
                return self.queue_at(id, peer, self.session_floor(id), None);
            }
            return self.park(id);
        };
        if self.databases.get(&leader).is_some_and(|database| database.is_closed(self.now)) {
            if let Some(peer) = self.choose_peer(id) {
                return self.queue_at(id, peer, self.session_floor(id), None);
            }
            let text = "not run, no connection to the primary is free, retry after 150 ms";
            return self.refuse(id, ErrorCode::Busy, text);
        }
        self.apply_permit(&route.cluster);
        if need.is_none_or(|need| self.is_proved(&route.cluster, &leader, need)) {
            return self.queue_at(id, leader, None, need);
        }
        if self.permit().is_none()
            && !self.can_witness(&route.cluster)
            && let Some(peer) = self.choose_peer(id)
        {
            return self.queue_at(id, peer, self.session_floor(id), None);
        }
        if let Some(work) = self.works.get_mut(&id) {
            work.stage = WorkStage::Proving;
            work.need = need;
            work.database = None;
        }
        if let Some(state) = self.clusters.get_mut(&route.cluster) {
            state.proving.push(id);
        }
        self.want_proof(&route.cluster, need.unwrap_or(begun));
    }

    /// Returns the position that a read needs for what its session has written, or another node asks for.
    fn session_floor(&self, id: WorkId) -> Option<LogPoint> {
        let work = self.works.get(&id)?;
        let own = match work.route.freshness {
            Freshness::Session(_) => {
                self.sessions.get(&work.session)?.floors.get(&work.route.cluster)
            }
            Freshness::Latest | Freshness::Bounded(_) => None,
        };
        let begun = match &work.kind {
            WorkKind::Begin { begin, .. } => begin.after,
            WorkKind::Read | WorkKind::Write | WorkKind::Continue => None,
        };
        own.copied().max(work.request.after).max(begun)
    }

    /// Tells whether a replica could prove that the leader leads.
    fn can_witness(&self, cluster: &Name) -> bool {
        let Some(state) = self.clusters.get(cluster) else { return false };
        let leader = state.evidence.leader();
        state.members.iter().any(|name| {
            Some(name) != leader
                && self.databases.get(name).is_some_and(|database| {
                    database.is_usable(self.now) && !database.is_closed(self.now)
                })
        })
    }

    fn is_proved(&self, cluster: &Name, database: &Name, need: Micros) -> bool {
        self.clusters.get(cluster).is_some_and(|state| state.evidence.proves(database, need))
    }

    /// Returns the leader if requests that need it can be expected to be served.
    pub(crate) fn usable_leader(&self, cluster: &Name) -> Option<Name> {
        let state = self.clusters.get(cluster)?;
        let replaced = state.announced_term.is_some_and(|term| state.evidence.term() > term);
        if self.is_announced(cluster) && !replaced {
            return None;
        }
        let leader = state.evidence.leader()?;
        let database = self.databases.get(leader)?;
        database.is_responsive(self.now).then(|| leader.clone())
    }

    /// Chooses the least loaded replica that is known or likely to hold the position.
    fn choose_replica(&self, id: WorkId, cluster: &Name, after: Option<LogPoint>) -> Option<Name> {
        let work = self.works.get(&id)?;
        let state = self.clusters.get(cluster)?;
        let leader = state.evidence.leader();
        let preferred = self.preferred_replica(state);
        let mut best: Option<(u64, Name)> = None;
        for name in &state.members {
            let Some(database) = self.databases.get(name) else { continue };
            if Some(name) == leader
                || !database.is_usable(self.now)
                || database.listed.leaving
                || work.avoided.contains(name)
                || database.lacks(self.now, after)
                || database.is_closed(self.now)
            {
                continue;
            }
            let percent = if Some(name) == preferred { 100 } else { DETOUR_PERCENT };
            let rank = (database.expected_time(self.now).0 * percent, name.clone());
            if best.as_ref().is_none_or(|best| rank < *best) {
                best = Some(rank);
            }
        }
        let (time, name) = best?;
        if let Some(leader) = self.usable_leader(cluster)
            && let Some(database) = self.databases.get(&leader)
            && time > database.expected_time(self.now).0 * LEADER_PERCENT
        {
            return None;
        }
        Some(name)
    }

    fn queue_at(&mut self, id: WorkId, name: Name, after: Option<LogPoint>, need: Option<Micros>) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&id) else { return };
        let Some(database) = self.databases.get_mut(&name) else { return };
        work.database = Some(name.clone());
        work.after = after;
        work.need = need;
        work.stage = WorkStage::Queued;
        let ticket = WorkTicket {
            work: id,
            rank: work.route.rank,
            caller: Name::from(format!("s{}", work.session.0)),
            deadline: work.deadline,
            selector: work.route.name.clone(),
            in_transaction: false,
        };
        let cluster = work.route.cluster.clone();
        if let Err(reason) = database.queue.enqueue(now, ticket) {
            return self.refuse_queued(id, reason);
        }
        if let Some(state) = self.clusters.get_mut(&cluster) {
            state.demanded = Some(now);
        }
        self.pump(&name);
    }

    fn refuse_queued(&mut self, id: WorkId, reason: RefusalReason) {
        let text = match reason {
            RefusalReason::QueueFull { .. } => "not run, the queue is full, retry after 200 ms",
            RefusalReason::DeadlineUnreachable { .. } => {
                "not run, the time limit cannot be met, retry after 200 ms"
            }
            RefusalReason::DeadlinePassed => "not run, the time limit passed in the queue",
        };
        self.refuse(id, ErrorCode::Busy, text);
    }

    /// Keeps a request until a leader is known.
    pub(crate) fn park(&mut self, id: WorkId) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&id) else { return };
        let cluster = work.route.cluster.clone();
        work.stage = WorkStage::Parked;
        work.database = None;
        let Some(state) = self.clusters.get_mut(&cluster) else { return };
        state.leader_missed.get_or_insert(now);
        if self.is_forwarded(id) {
            let text = "not run, this node reaches no primary, retry at once";
            return self.refuse(id, ErrorCode::Busy, text);
        }
        let Some(state) = self.clusters.get_mut(&cluster) else { return };
        let closed = !state.members.is_empty()
            && state.members.iter().all(|name| {
                self.databases.get(name).is_some_and(|database| database.is_closed(now))
            });
        if closed {
            let text = "not run, no connection to the databases is free, retry after 150 ms";
            return self.refuse(id, ErrorCode::Busy, text);
        }
        if now >= state.leader_missed.unwrap_or(now) + crate::cluster::CHANGE_TIME {
            return self.refuse(
                id,
                ErrorCode::Busy,
                "not run, the cluster has no primary, retry after 1 s",
            );
        }
        state.parked.push(id);
    }

    /// Grants idle connections of a database to waiting requests and opens connections as needed.
    pub(crate) fn pump(&mut self, name: &Name) {
        let now = self.now;
        let Some(database) = self.databases.get(name) else { return };
        let nodes = match database.peer {
            Some(_) => 1,
            None => self.holder_count(&database.listed.cluster),
        };
        let Some(database) = self.databases.get_mut(name) else { return };
        database.set_concurrency(nodes);
        for (id, reason) in database.queue.expire(now) {
            self.refuse_queued(id, reason);
        }
        self.send_wanted_report(name);
        while let Some(database) = self.databases.get_mut(name) {
            if database.idle.is_empty() {
                break;
            }
            let Some(grant) = database.queue.grant(now) else { break };
            let id = grant.work;
            let Some(work) = self.works.get(&id) else {
                database.queue.finish(now, id);
                continue;
            };
            let (session, cluster, need) = (work.session, work.route.cluster.clone(), work.need);
            if need.is_some_and(|need| !self.is_proved(&cluster, name, need)) {
                // The leader was replaced while the request waited.
                self.release_slot(id);
                self.route_work(id);
                continue;
            }
            let Some(database) = self.databases.get_mut(name) else { return };
            let values = self.sessions.get(&session).map(|session| &session.values);
            let best = (0..database.idle.len()).min_by_key(|index| {
                let link = self.links.get(&database.idle[*index]);
                match (link, values) {
                    (Some(link), Some(values)) => link.distance(values),
                    _ => usize::MAX,
                }
            });
            let Some(index) = best else { break };
            let link = database.idle.swap_remove(index);
            self.dispatch_work(id, link);
        }
        self.open_links(name);
    }

    /// Sends a request on a connection that is free.
    fn dispatch_work(&mut self, id: WorkId, link: LinkId) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&id) else { return };
        work.link = Some(link);
        work.sent = Some(now);
        work.tries += 1;
        work.stage = WorkStage::Sent;
        match work.kind.clone() {
            WorkKind::Begin { begin, .. } => {
                let after = work.after;
                let session = work.session;
                let Some(setup) = self.setup_commands(session, link) else { return };
                self.send(link, setup, CommandPurpose::Setup);
                if let Some(state) = self.links.get_mut(&link) {
                    state.pinned = Some(session);
                }
                let command = BackendCommand::Run { id: begin.id, text: begin.text, after };
                self.send(link, vec![command], CommandPurpose::Begin(id));
            }
            WorkKind::Read | WorkKind::Write | WorkKind::Continue => {
                self.send_statement(id, link, true);
            }
        }
    }

    fn setup_commands(&mut self, session: SessionId, link: LinkId) -> Option<Vec<BackendCommand>> {
        let session = self.sessions.get(&session)?;
        Some(self.links.get_mut(&link)?.adopt(&session.values))
    }

    /// Sends the statement itself, behind the commands that give the connection the session's state.
    fn send_statement(&mut self, id: WorkId, link: LinkId, outside: bool) {
        let Some(work) = self.works.get_mut(&id) else { return };
        work.sent = Some(self.now);
        work.stage = WorkStage::Sent;
        let after = if outside { work.after } else { None };
        let (session, request) = (work.session, work.request.clone());
        let Some(mut setup) = self.setup_commands(session, link) else { return };
        let command = match &request.statement {
            Statement::Execute { name, arguments } => {
                let prepared = self.sessions.get(&session).and_then(|s| s.prepared.get(name));
                let (Some((access, shape)), Some(state)) = (prepared, self.links.get_mut(&link))
                else {
                    return;
                };
                let prepared = state.prepare(*access, shape, &mut setup);
                let arguments = arguments.clone();
                BackendCommand::Execute { id: request.id, prepared, arguments, after }
            }
            _ => BackendCommand::Run { id: request.id, text: request.text, after },
        };
        self.send(link, setup, CommandPurpose::Setup);
        self.send(link, vec![command], CommandPurpose::Run(id));
    }

    fn continue_transaction(&mut self, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else { return };
        let Some(session) = self.sessions.get(&work.session) else { return };
        let Transaction::Open(open) = &session.transaction else { return };
        let link = open.link;
        let lost = match self.links.get(&link) {
            Some(state) => state.doomed || !state.open,
            None => true,
        };
        work.link = Some(link);
        work.database = self.links.get(&link).map(|link| link.database.clone());
        if lost {
            return self.fail_transaction(id, ErrorCode::Aborted, "the connection was lost");
        }
        work.tries += 1;
        self.send_statement(id, link, false);
    }

    /// Returns the slot that a request holds at its database.
    fn release_slot(&mut self, id: WorkId) {
        let Some(work) = self.works.get(&id) else { return };
        if let Some(database) = work.database.as_ref().and_then(|name| self.databases.get_mut(name))
        {
            database.queue.cancel(id);
            database.queue.finish(self.now, id);
        }
    }

    /// Returns the slot of a request whose answer is overdue or lost.
    fn abandon_slot(&mut self, id: WorkId) {
        let Some(work) = self.works.get(&id) else { return };
        if let Some(database) = work.database.as_ref().and_then(|name| self.databases.get_mut(name))
        {
            database.queue.abandon(self.now, id);
        }
    }

    /// Tries a request again that did not run, or a read whose answer is of no use.
    pub(crate) fn retry_work(&mut self, id: WorkId, pause: Option<Micros>, code: ErrorCode) {
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
            "cause" => code.name()
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
    fn not_run(&mut self, id: WorkId, code: ErrorCode) {
        let Some(work) = self.works.get_mut(&id) else { return };
        let Some(database) = work.database.clone() else { return };
        let cluster = work.route.cluster.clone();
        match code {
            ErrorCode::ReadOnly => {
                if let Some(state) = self.clusters.get_mut(&cluster) {
                    state.evidence.distrust(&database);
                }
                self.ask_all(&cluster);
                self.retry_work(id, None, ErrorCode::Busy);
            }
            ErrorCode::Lagging => {
                work.avoided.push(database);
                self.retry_work(id, None, ErrorCode::Busy);
            }
            ErrorCode::NoStatement => {
                if let Some(link) = work.link.and_then(|link| self.links.get_mut(&link)) {
                    link.forget_prepared();
                }
                self.retry_work(id, None, ErrorCode::Busy);
            }
            _ if self.peer_refused(&database, &cluster) => {
                if let Some(work) = self.works.get_mut(&id) {
                    work.avoided.push(database);
                }
                self.retry_work(id, None, ErrorCode::Busy);
            }
            _ => self.retry_work(id, Some(BUSY_PAUSE), ErrorCode::Busy),
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
                    self.retry_work(id, None, code);
                } else {
                    self.refuse(id, code, &text);
                }
            }
        }
    }

    /// Takes back a transaction of which no statement has run.
    fn reopen_transaction(&mut self, id: WorkId, link: LinkId) {
        let Some(work) = self.works.get(&id) else { return };
        let WorkKind::Begin { begin, read_only } = work.kind.clone() else { return };
        let (session_id, begun, route) = (work.session, work.begun, work.route.clone());
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.transaction = Transaction::Pending { begin, read_only, begun, route };
        }
        self.release_pin(link, session_id);
    }

    fn statement_succeeded(&mut self, id: WorkId, answer: BackendAnswer) {
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
                state.evidence.commit_acknowledged(&database, sent, answer.point);
            }
        }
        self.deliver(id, answer);
    }

    /// Passes a successful answer on.
    fn deliver(&mut self, id: WorkId, answer: BackendAnswer) {
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

    fn finish_work(
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
        let evidence = self.clusters.get(&work.route.cluster).map(|state| &state.evidence);
        let proof_age = evidence
            .and_then(|evidence| evidence.confirmed_at())
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
                "term" => evidence.map_or(0, |evidence| evidence.term().0),
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
        self.retry_work(id, None, ErrorCode::Busy);
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
    fn patience(&self, work: &Work) -> Micros {
        let database = work.database.as_ref().and_then(|name| self.databases.get(name));
        let usual = database.map_or(Micros::ZERO, |database| database.latency.value(self.now));
        Micros(usual.0 * READ_PATIENCE_FACTOR).clamp(READ_PATIENCE_LEAST, READ_PATIENCE_MOST)
    }

    fn work_late(&mut self, id: WorkId) {
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
                self.refuse(id, ErrorCode::Busy, text);
            }
            WorkStage::Sent => {}
        }
    }

    /// Notes that a database owes an answer.
    fn note_overdue(&mut self, id: WorkId) {
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
    fn sent_work_late(&mut self, id: WorkId, late: bool) {
        let Some(work) = self.works.get_mut(&id) else { return };
        let unknown = "the time limit passed, the outcome is not known";
        match work.kind {
            WorkKind::Read if !late => {
                work.avoided.extend(work.database.clone());
                self.retry_work(id, None, ErrorCode::Timeout);
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

impl Work {
    /// Tells whether the request has waited long enough for a leader or for proof of one.
    fn is_held_long(&self, now: Micros) -> bool {
        matches!(self.stage, WorkStage::Parked | WorkStage::Proving)
            && now >= self.arrived + HOLD_TIME
    }

    /// Tells whether a request should be given up here because it can be repeated.
    fn is_impatient(&self, now: Micros, patience: Micros) -> bool {
        let repeatable = match self.kind {
            WorkKind::Read => self.tries < TRY_LIMIT - 1,
            WorkKind::Write => false,
            // Nothing of a transaction is kept before its commit was sent.
            WorkKind::Begin { .. } | WorkKind::Continue => !self.is_commit(),
        };
        self.stage == WorkStage::Sent
            && repeatable
            && self.sent.is_some_and(|sent| now >= sent + patience)
    }
}
