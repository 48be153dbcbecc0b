//! Entry side: what a request is, where it goes, and how its end is told.
//!
//! A request that was declined has not been sent to a backend server, so it may go elsewhere until its
//! deadline. One that may have been sent is tried again only if that cannot change its effect: reads
//! of which nothing was relayed, and writes with a request key.

use std::collections::BTreeSet;
use std::sync::Arc;

use admit::{RetryBudget, WorkId};
use bytes::Bytes;
use member::MemberInfo;
use model::{FastMap, Micros, Name, SessionFloor};
use route::{StatementClass, WorkPolicy, choose_database, classify};
use serde_json::json;
use stats::CallerMeasure;

use crate::Node;
use crate::action::NodeAction;
use crate::frames::{OwnAnswer, executes, own_answer};
use crate::hints::HintTable;
use crate::id::{CallId, LaneId, SessionId};
use crate::owner::{PinKey, WorkOrigin};
use crate::session::{Session, SessionTransaction};
use crate::step::Step;
use crate::timer::TimerKey;
use crate::work::{
    CallerRequest, DeclineReason, ErrorReply, TransactionState, WorkReply, WorkRequest,
};

/// First pause after all databases of a cluster declined a request; doubles up to
/// [`LONGEST_BACKOFF`]. A new leader ends the pause at once, so it need not be short.
const FIRST_BACKOFF: Micros = Micros::from_millis(20);
const LONGEST_BACKOFF: Micros = Micros::from_millis(500);

/// Time beyond the deadline after which a peer that does not answer counts as lost. Covers the
/// cancellation of a running statement (1 s) and the wait for an acknowledgement (3 s).
const ANSWER_GRACE: Micros = Micros::from_secs(5);

/// Time for which a session whose floor a replica has not reached reads from the primary. It saves the
/// way over a replica that would decline again, and is short against a lag at which replicas serve.
const FLOOR_PAUSE: Micros = Micros::from_millis(100);

/// Where a request is at the moment.
#[derive(Clone, Debug)]
pub(crate) struct EntryAttempt {
    pub database: Name,
    pub owner: Name,
    pub path: AttemptPath,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptPath {
    Local(WorkId),
    Remote(CallId),
}

/// The request in progress of a session.
#[derive(Debug)]
pub(crate) struct EntryRequest {
    pub request: CallerRequest,
    pub read: bool,
    pub commits: bool,
    /// May change something, so that the COMMIT of its transaction has to be acknowledged.
    writes: bool,
    pub key: Option<Name>,
    pub policy: Arc<WorkPolicy>,
    arrived: Micros,
    pub deadline: Micros,
    pub attempt: Option<EntryAttempt>,
    retry_at: Option<Micros>,
    /// The deadline that counts in the timer heap.
    pub due: Option<Micros>,
    backoff: Micros,
    /// Databases that declined since the last pause.
    tried: Vec<Name>,
    /// A replica could not prove what the read needs.
    primary_only: bool,
    /// The last decline was for lack of a primary.
    no_primary: bool,
    /// A keyed write may have run; "not run" is no longer true.
    maybe_ran: bool,
    /// A read was sent and broke off.
    broke_off: bool,
    cancelled: bool,
    route: (Name, &'static str),
}

/// A forwarded call.
#[derive(Debug)]
pub(crate) struct EntryCall {
    pub session: SessionId,
    pub to: Name,
}

/// State of the entry side beside the sessions.
#[derive(Debug, Default)]
pub(crate) struct EntryState {
    pub calls: FastMap<CallId, EntryCall>,
    pub hints: HintTable,
    pub budget: RetryBudget,
    /// Sessions whose request waits for a primary, by cluster.
    waiting: FastMap<Name, BTreeSet<SessionId>>,
}

impl EntryState {
    pub(crate) fn stop_waiting(&mut self, cluster: &str, session: SessionId) {
        if let Some(sessions) = self.waiting.get_mut(cluster) {
            sessions.remove(&session);
            if sessions.is_empty() {
                self.waiting.remove(cluster);
            }
        }
    }
}

/// Where a request goes next.
enum RouteTarget {
    Own,
    Peer(MemberInfo),
}

fn error(code: &str, message: impl Into<String>) -> ErrorReply {
    ErrorReply { code: code.into(), message: message.into() }
}

impl Node {
    pub(crate) fn request_arrived(&mut self, id: SessionId, request: CallerRequest) {
        let Some(mut session) = self.sessions.remove(&id) else { return };
        if session.request.is_some() {
            // The shell sends one request at a time; a second one would get two ends.
            self.count("requests.out_of_turn", 1);
            self.sessions.insert(id, session);
            return;
        }
        if session.revision != self.fleet.revision() {
            self.refresh_labels(&mut session);
        }
        self.count("requests", 1);
        let rank = session.policy.rank;
        self.accounts.count(self.now, &session.caller, rank, CallerMeasure::Requests, 1);
        let (class, key) = classify(&request.text);
        let own = match &class {
            StatementClass::Session(command) => {
                Some(self.run_command(&mut session, &request, command))
            }
            StatementClass::Empty => Some(Ok(own_answer(&request, OwnAnswer::EmptyQuery))),
            StatementClass::Unsupported(reason) => {
                // The caller takes an error for the end of its transaction, so it has to be one.
                if let Some(transaction) = session.transaction.take() {
                    self.drop_transaction(id, &transaction);
                }
                Some(Err(error("0A000", *reason)))
            }
            StatementClass::Commit | StatementClass::Rollback
                if session.transaction.is_none() && !holds_several(&request.text) =>
            {
                session.notices.push(error("25P01", "there is no transaction in progress"));
                let tag = if class == StatementClass::Commit { "COMMIT" } else { "ROLLBACK" };
                Some(Ok(own_answer(&request, OwnAnswer::Complete { tag })))
            }
            _ => None,
        };
        match own {
            Some(answer) => {
                self.sessions.insert(id, session);
                let (frames, error) = match answer {
                    Ok(frames) => (frames, None),
                    Err(error) => (Bytes::new(), Some(error)),
                };
                self.finish_request(id, error, frames);
            }
            None => {
                let request = self.prepare_request(&mut session, request, &class, key);
                let (read, rank) = (request.read, request.policy.rank);
                session.request = Some(request);
                self.sessions.insert(id, session);
                if read {
                    self.entry.budget.first_try(self.now, rank);
                }
                self.arm_session(id);
                self.steps.push_back(Step::Route(id));
            }
        }
    }

    fn prepare_request(
        &mut self,
        session: &mut Session,
        request: CallerRequest,
        class: &StatementClass,
        comment_key: Option<Name>,
    ) -> EntryRequest {
        let executes = executes(&request);
        let several = holds_several(&request.text);
        let in_transaction = session.transaction.is_some();
        // Messages that only prepare and describe change nothing, whatever the statement is.
        let read = !executes || *class == StatementClass::Read;
        let wrote = session.transaction.as_ref().is_some_and(|transaction| transaction.wrote);
        let commits = executes
            && match class {
                StatementClass::Write => !in_transaction,
                StatementClass::Commit => !in_transaction || wrote || several,
                _ => false,
            };
        let writes = executes
            && match class {
                StatementClass::Write => true,
                StatementClass::Begin { read_only: false } => several,
                _ => false,
            };
        let key = match executes && *class == StatementClass::Write {
            true => comment_key.or_else(|| session.request_key.take()),
            false => None,
        };
        let policy = session.policy.clone();
        EntryRequest {
            read,
            commits,
            writes,
            key,
            arrived: self.now,
            deadline: self.now + policy.deadline,
            attempt: None,
            retry_at: None,
            due: None,
            backoff: FIRST_BACKOFF,
            tried: Vec::new(),
            primary_only: !executes || self.now < session.primary_until,
            no_primary: false,
            maybe_ran: false,
            broke_off: false,
            cancelled: false,
            route: (Name::default(), ""),
            policy,
            request,
        }
    }

    /// Sends the session's request on its way, or schedules the next try.
    pub(crate) fn route_request(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Some(request) = &session.request else { return };
        if request.attempt.is_some() {
            return;
        }
        if let Some(transaction) = &session.transaction {
            let (database, owner) = (transaction.database.clone(), transaction.owner.clone());
            let lane = transaction.lane;
            return match lane {
                None => self.send_request(id, database, RouteTarget::Own, true, None),
                Some(lane) => match self.members.member(&owner).cloned() {
                    Some(peer) => {
                        self.send_request(id, database, RouteTarget::Peer(peer), true, Some(lane));
                    }
                    None => self.end_transaction(id, "the owner of the database is gone"),
                },
            };
        }
        if request.cancelled || request.deadline <= self.now {
            return self.finish_not_run(id);
        }
        let Some((database, reason)) = self.choose_target(session, request) else {
            return self.pause_request(id);
        };
        let Some(fleet) = self.fleet.active.clone() else { return self.pause_request(id) };
        let Some((_, config)) = fleet.database(&database) else {
            return self.pause_request(id);
        };
        let owner = self.members.owner_of(&database, &config.data_centre);
        if let Some(request) = self.request_mut(id) {
            request.route = (database.clone(), reason);
        }
        if owner == self.settings.name {
            self.send_request(id, database, RouteTarget::Own, false, None);
        } else if let Some(peer) = self.members.member(&owner).cloned() {
            self.send_request(id, database, RouteTarget::Peer(peer), false, None);
        } else {
            self.try_elsewhere(id, &database);
        }
    }

    fn request_mut(&mut self, id: SessionId) -> Option<&mut EntryRequest> {
        self.sessions.get_mut(&id)?.request.as_mut()
    }

    /// Chooses a database that has not declined since the last pause.
    fn choose_target(
        &self,
        session: &Session,
        request: &EntryRequest,
    ) -> Option<(Name, &'static str)> {
        let fleet = self.fleet.active.as_ref()?;
        let cluster = fleet.cluster(&session.cluster)?;
        let leader = self.known_leader(&session.cluster);
        let free = |database: &Name| !request.tried.contains(database);
        if request.read {
            let mut hints = self.entry.hints.cluster(self.now, cluster, leader.as_ref());
            for hint in &mut hints {
                hint.avoid |= !free(&hint.database);
            }
            let choice = match request.primary_only {
                true => {
                    let policy = WorkPolicy { max_age: Micros::ZERO, ..(*request.policy).clone() };
                    choose_database(&policy, true, None, &self.settings.data_centre, &hints)
                }
                false => choose_database(
                    &request.policy,
                    true,
                    session.floor(),
                    &self.settings.data_centre,
                    &hints,
                ),
            };
            if let Some(choice) = choice.filter(|choice| free(&choice.database)) {
                return Some((choice.database, choice.reason));
            }
        }
        if let Some(leader) = leader.filter(|leader| free(leader)) {
            return Some((leader, "writes go to the primary"));
        }
        let others = cluster.databases.iter().filter(|database| !database.leaving);
        others
            .map(|database| database.name.clone())
            .find(free)
            .map(|database| (database, "its owner is asked for the primary"))
    }

    /// The leader that replies or the own watch name.
    pub(crate) fn known_leader(&self, cluster: &str) -> Option<Name> {
        let hinted = self.entry.hints.leader(cluster).cloned();
        hinted.or_else(|| self.clusters.get(cluster)?.watch.view(self.now).leader)
    }

    fn send_request(
        &mut self,
        id: SessionId,
        database: Name,
        target: RouteTarget,
        in_transaction: bool,
        lane: Option<LaneId>,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let floor = session.floor();
        let Some(request) = session.request.as_mut() else { return };
        let arrived_ago =
            (floor.is_none() && !session.with_token).then(|| now.saturating_sub(session.arrived));
        let needs_primary = request.policy.max_age == Micros::ZERO || request.primary_only;
        let work = Box::new(WorkRequest {
            database: database.clone(),
            caller: session.caller.clone(),
            labels: session.labels.clone(),
            selector: request.policy.selector.clone(),
            rank: request.policy.rank,
            time_left: request.deadline.saturating_sub(now),
            read: request.read,
            commits: request.commits,
            durable: request.policy.durable,
            max_age: (request.read && !needs_primary).then_some(request.policy.max_age),
            floor,
            arrived_ago: arrived_ago.filter(|_| request.read && !in_transaction),
            request_key: request.key.clone(),
            user: session.user.clone(),
            request: request.request.clone(),
        });
        request.retry_at = None;
        if let Some(transaction) = &mut session.transaction {
            transaction.wrote |= request.writes;
        }
        self.entry.stop_waiting(&session.cluster, id);
        let (owner, path) = match target {
            RouteTarget::Own => {
                let pin = in_transaction.then_some(PinKey::Session(id));
                let work = self.admit_work(WorkOrigin::Session(id), None, pin, *work);
                (self.settings.name.clone(), AttemptPath::Local(work))
            }
            RouteTarget::Peer(to) => {
                let call = CallId(self.next_id());
                let owner = to.name.clone();
                self.entry.calls.insert(call, EntryCall { session: id, to: owner.clone() });
                self.count("requests.forwarded", 1);
                self.emit(NodeAction::Forward { call, session: id, to, lane, work });
                (owner, AttemptPath::Remote(call))
            }
        };
        if let Some(request) = self.request_mut(id) {
            request.attempt = Some(EntryAttempt { database, owner, path });
        }
        self.arm_session(id);
    }

    /// Sets the timer of the session's request.
    fn arm_session(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        let due = match request.attempt.as_ref().map(|attempt| attempt.path) {
            None => Some(request.retry_at.unwrap_or(request.deadline).min(request.deadline)),
            Some(AttemptPath::Remote(_)) => Some(request.deadline + ANSWER_GRACE),
            // The owner side keeps the deadline of local work.
            Some(AttemptPath::Local(_)) => None,
        };
        if request.due != due {
            request.due = due;
            if let Some(due) = due {
                self.timers.add(due, TimerKey::Session(id));
            }
        }
    }

    /// The timer of a session's request.
    pub(crate) fn session_due(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        request.due = None;
        match request.attempt.as_ref().map(|attempt| attempt.path) {
            None => {
                request.retry_at = None;
                self.route_request(id);
            }
            Some(AttemptPath::Remote(call)) => {
                self.count("forwards.timed_out", 1);
                self.emit(NodeAction::CancelForward { call });
                self.forward_failed(call, true);
            }
            Some(AttemptPath::Local(_)) => {}
        }
    }

    /// All databases declined: waits before the next turn.
    fn pause_request(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        let pause = request.backoff;
        request.backoff = (pause + pause).min(LONGEST_BACKOFF);
        request.tried.clear();
        let waits = !request.read || request.primary_only;
        let pause = self.random.jitter(pause);
        let retry_at = self.now + pause;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let Some(request) = session.request.as_mut() {
            request.retry_at = Some(retry_at);
        }
        if waits {
            let cluster = session.cluster.clone();
            self.entry.waiting.entry(cluster).or_default().insert(id);
        }
        self.arm_session(id);
    }

    /// Tries the next database at once.
    fn try_elsewhere(&mut self, id: SessionId, database: &Name) {
        if let Some(request) = self.request_mut(id) {
            request.attempt = None;
            if !request.tried.contains(database) {
                request.tried.push(database.clone());
            }
        }
        self.arm_session(id);
        self.steps.push_back(Step::Route(id));
    }

    /// A leader is known: requests that wait for one go on.
    pub(crate) fn leader_heard(&mut self, cluster: &Name, leader: &Name) {
        if !self.entry.hints.set_leader(self.now, cluster, leader) {
            return;
        }
        for id in self.entry.waiting.remove(cluster).unwrap_or_default() {
            if let Some(request) = self.request_mut(id) {
                request.retry_at = None;
                self.steps.push_back(Step::Route(id));
            }
        }
    }

    /// A caller asks to cancel its request in progress.
    pub(crate) fn cancel_request(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        request.cancelled = true;
        match request.attempt.as_ref().map(|attempt| attempt.path) {
            None => self.steps.push_back(Step::Route(id)),
            Some(AttemptPath::Local(work)) => self.cancel_work(work),
            Some(AttemptPath::Remote(call)) => self.emit(NodeAction::CancelForward { call }),
        }
    }

    /// The session is gone: whatever comes of the attempt is not wanted.
    pub(crate) fn abandon_attempt(&mut self, attempt: &EntryAttempt) {
        match attempt.path {
            AttemptPath::Local(work) => self.abandon_work(work),
            AttemptPath::Remote(call) => {
                self.entry.calls.remove(&call);
                self.emit(NodeAction::CancelForward { call });
            }
        }
    }

    /// Releases a transaction's connection, which rolls it back.
    pub(crate) fn drop_transaction(&mut self, id: SessionId, transaction: &SessionTransaction) {
        match transaction.lane {
            Some(lane) => self.emit(NodeAction::DropLane { lane }),
            None => self.close_pin(PinKey::Session(id), "its session ended the transaction"),
        }
    }

    pub(crate) fn forward_answered(&mut self, id: CallId, reply: WorkReply, lane: Option<LaneId>) {
        match self.entry.calls.remove(&id) {
            Some(call) => self.reply_arrived(call.session, AttemptPath::Remote(id), reply, lane),
            None => {
                if let Some(lane) = lane {
                    self.emit(NodeAction::DropLane { lane });
                }
            }
        }
    }

    pub(crate) fn forward_failed(&mut self, id: CallId, sent: bool) {
        let Some(call) = self.entry.calls.remove(&id) else { return };
        let Some(request) = self.request_mut(call.session) else { return };
        let (read, commits) = (request.read, request.commits);
        let in_transaction =
            self.sessions.get(&call.session).is_some_and(|session| session.transaction.is_some());
        let message = format!("the link to node {} broke", call.to);
        let reply = if in_transaction && (!sent || !commits) {
            WorkReply::RolledBack { message }
        } else if !sent || (!read && !commits) {
            // Without its lane a transaction that was about to begin is rolled back by its owner.
            let reason = DeclineReason::Unavailable;
            WorkReply::Declined { reason, age: None, wait: Micros::ZERO }
        } else if read {
            WorkReply::ReadFailed { relayed: false, message }
        } else {
            WorkReply::Unknown { message }
        };
        self.reply_arrived(call.session, AttemptPath::Remote(id), reply, None);
    }

    /// The owner's reply to an attempt.
    pub(crate) fn reply_arrived(
        &mut self,
        id: SessionId,
        path: AttemptPath,
        reply: WorkReply,
        lane: Option<LaneId>,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(request) = session.request.as_mut() else { return };
        let Some(attempt) = request.attempt.take_if(|attempt| attempt.path == path) else { return };
        request.due = None;
        let database = attempt.database.clone();
        let cluster = session.cluster.clone();
        match reply {
            WorkReply::Done { transaction, floor, lost, age, wait, .. } => {
                let led = !request.read;
                if let Some(instead) = lost {
                    session.token.floors.insert(cluster.clone(), instead);
                    session.token_changed = true;
                    session.notices.push(lost_notice(instead));
                }
                if let Some(floor) = floor {
                    session.raise_floor(floor);
                }
                self.entry.hints.heard(now, &database, age, wait);
                if lost.is_some() {
                    self.count("writes.lost", 1);
                }
                if led {
                    self.leader_heard(&cluster, &database);
                }
                self.keep_transaction(id, &attempt, transaction, lane);
                self.finish_request(id, None, Bytes::new());
            }
            WorkReply::Recorded { command_tag, error, transaction, floor } => {
                let answer = match &command_tag {
                    Some(tag) => own_answer(&request.request, OwnAnswer::Complete { tag }),
                    None => Bytes::new(),
                };
                if let Some(floor) = floor {
                    session.raise_floor(floor);
                }
                self.keep_transaction(id, &attempt, transaction, lane);
                self.finish_request(id, error, answer);
            }
            WorkReply::Declined { reason, age, wait } => {
                self.entry.hints.heard(now, &database, age, wait);
                match session.transaction.is_some() {
                    true => self.end_transaction(id, "a statement of it was declined"),
                    false => self.request_declined(id, &cluster, &attempt, reason, age),
                }
            }
            WorkReply::RolledBack { message } => self.end_transaction(id, &message),
            WorkReply::Unknown { message } => {
                let retried = request.key.is_some() && session.transaction.is_none();
                if retried {
                    request.maybe_ran = true;
                    self.entry.hints.clear_leader(&cluster, &database);
                    self.count("requests.retried", 1);
                    self.try_elsewhere(id, &database);
                } else {
                    self.finish_unknown(id, &message);
                }
            }
            WorkReply::ReadFailed { relayed, message } => {
                if !request.read && (request.commits || session.transaction.is_none()) {
                    return self.finish_unknown(id, &message);
                }
                if session.transaction.is_some() {
                    return self.end_transaction(id, &message);
                }
                request.broke_off = true;
                let rank = request.policy.rank;
                let cancelled = request.cancelled;
                self.entry.hints.avoid(now, &database);
                if !relayed && !cancelled && self.entry.budget.take_retry(now, rank) {
                    self.count("requests.retried", 1);
                    self.try_elsewhere(id, &database);
                } else {
                    let code = if cancelled { "57014" } else { "08006" };
                    let error = error(code, format!("the read broke off: {message}"));
                    self.finish_request(id, Some(error), Bytes::new());
                }
            }
        }
    }

    /// Keeps, or ends, the session's transaction after an answer.
    fn keep_transaction(
        &mut self,
        id: SessionId,
        attempt: &EntryAttempt,
        state: TransactionState,
        lane: Option<LaneId>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let wrote = session.request.as_ref().is_some_and(|request| request.writes)
            || session.transaction.as_ref().is_some_and(|transaction| transaction.wrote);
        let held_lane = session.transaction.as_ref().and_then(|transaction| transaction.lane);
        session.transaction = (state != TransactionState::Idle).then(|| SessionTransaction {
            database: attempt.database.clone(),
            owner: attempt.owner.clone(),
            lane: lane.or(held_lane),
            state,
            wrote,
        });
        if state == TransactionState::Idle
            && let Some(lane) = held_lane.or(lane)
        {
            self.emit(NodeAction::DropLane { lane });
        }
    }

    /// The session's transaction was rolled back before its COMMIT was sent.
    fn end_transaction(&mut self, id: SessionId, message: &str) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let cancelled = session.request.as_ref().is_some_and(|request| request.cancelled);
        if let Some(transaction) = session.transaction.take() {
            self.drop_transaction(id, &transaction);
        }
        let code = if cancelled { "57014" } else { "WK004" };
        let error = error(code, format!("the transaction was rolled back: {message}"));
        self.refused(id);
        self.finish_request(id, Some(error), Bytes::new());
    }

    fn request_declined(
        &mut self,
        id: SessionId,
        cluster: &Name,
        attempt: &EntryAttempt,
        reason: DeclineReason,
        age: Option<Micros>,
    ) {
        let now = self.now;
        let database = attempt.database.clone();
        self.count("requests.declined", 1);
        let Some(request) = self.request_mut(id) else { return };
        if request.cancelled {
            return self.finish_not_run(id);
        }
        let (read, rank) = (request.read, request.policy.rank);
        request.no_primary = false;
        match reason {
            DeclineReason::NoProof => {
                request.primary_only = true;
                let max_age = request.policy.max_age;
                let led = self.known_leader(cluster).as_ref() == Some(&database);
                // A provable age that would do means that only this session's floor is missing, which
                // says nothing about the reads of others. An age that would not do is a hint already.
                match age {
                    None => self.entry.hints.avoid(now, &database),
                    Some(age) if age <= max_age && !led => {
                        if let Some(session) = self.sessions.get_mut(&id) {
                            session.primary_until = now + FLOOR_PAUSE;
                        }
                    }
                    Some(_) => {}
                }
                if let Some(session) = self.sessions.get(&id).filter(|_| !led) {
                    let measure = CallerMeasure::ReplicaDeclined;
                    self.accounts.count(now, &session.caller, rank, measure, 1);
                }
            }
            DeclineReason::NotLeader { leader } => {
                request.no_primary = true;
                self.entry.hints.clear_leader(cluster, &database);
                if let Some(leader) = leader.filter(|leader| *leader != database) {
                    self.leader_heard(cluster, &leader);
                }
            }
            DeclineReason::Unavailable => {
                request.no_primary = true;
                self.entry.hints.avoid(now, &database);
                self.entry.hints.clear_leader(cluster, &database);
            }
            // Members disagree for the time of a heartbeat or two.
            DeclineReason::NotOwner { .. } | DeclineReason::Leaving => {
                self.entry.hints.avoid(now, &database);
            }
            DeclineReason::QueueFull { limit } => {
                self.entry.hints.avoid(now, &database);
                if !read || self.known_leader(cluster).as_ref() == Some(&database) {
                    let message = format!("not run: the queue of {limit} requests is full");
                    self.refused(id);
                    return self.finish_request(id, Some(error("WK002", message)), Bytes::new());
                }
            }
            DeclineReason::Deadline { expected } => {
                self.entry.hints.avoid(now, &database);
                if !read || self.known_leader(cluster).as_ref() == Some(&database) {
                    let message = format!(
                        "not run: the deadline cannot be met, the expected wait is {expected}"
                    );
                    self.refused(id);
                    return self.finish_request(id, Some(error("WK001", message)), Bytes::new());
                }
            }
        }
        self.try_elsewhere(id, &database);
    }

    /// The deadline passed, or the caller cancelled, while the request was nowhere.
    fn finish_not_run(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        let ran = request.maybe_ran;
        if request.broke_off && !request.cancelled {
            let message = "the read broke off and its deadline passed during a retry";
            return self.finish_request(id, Some(error("08006", message)), Bytes::new());
        }
        let error = match (request.cancelled, request.no_primary) {
            _ if ran => return self.finish_unknown(id, "the deadline passed during a retry"),
            (true, _) => error("57014", "canceling statement due to user request"),
            (false, true) => error("WK003", "not run: the cluster has no reachable primary"),
            (false, false) => error("WK001", "not run: the deadline passed"),
        };
        self.refused(id);
        self.finish_request(id, Some(error), Bytes::new());
    }

    fn finish_unknown(&mut self, id: SessionId, message: &str) {
        if let Some(session) = self.sessions.get_mut(&id) {
            if let Some(transaction) = session.transaction.take()
                && let Some(lane) = transaction.lane
            {
                self.emit(NodeAction::DropLane { lane });
            }
            if let Some(session) = self.sessions.get(&id) {
                let (caller, rank) = (session.caller.clone(), session.policy.rank);
                let measure = CallerMeasure::OutcomeUnknown;
                self.accounts.count(self.now, &caller, rank, measure, 1);
            }
        }
        self.count("requests.unknown", 1);
        let error = error("08007", format!("outcome unknown: {message}"));
        self.finish_request(id, Some(error), Bytes::new());
    }

    /// Counts a request that was not run.
    fn refused(&mut self, id: SessionId) {
        self.count("requests.refused", 1);
        if let Some(session) = self.sessions.get(&id) {
            let (caller, rank) = (session.caller.clone(), session.policy.rank);
            self.accounts.count(self.now, &caller, rank, CallerMeasure::Refused, 1);
        }
    }

    /// Ends the request in progress.
    pub(crate) fn finish_request(
        &mut self,
        id: SessionId,
        error: Option<ErrorReply>,
        frames: Bytes,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let Some(request) = session.request.take() {
            let outcome = error.as_ref().map_or("done", |error| error.code.as_str());
            session.remember(json!({
                "selector": request.policy.selector,
                "rank": request.policy.rank,
                "read": request.read,
                "database": request.route.0,
                "reason": request.route.1,
                "milliseconds": now.saturating_sub(request.arrived).as_millis(),
                "outcome": outcome,
            }));
        }
        let cluster = session.cluster.clone();
        let token = std::mem::take(&mut session.token_changed)
            .then(|| session.token.sign(&self.fleet.signing_key(self.now)))
            .flatten();
        let notices = std::mem::take(&mut session.notices);
        let transaction = session.transaction_state();
        self.entry.stop_waiting(&cluster, id);
        self.emit(NodeAction::FinishRequest {
            session: id,
            token,
            notices,
            error,
            frames,
            transaction,
        });
        self.close_if_draining(id);
    }
}

fn lost_notice(instead: SessionFloor) -> ErrorReply {
    error(
        "01000",
        format!(
            "a write of this session may have been lost in a change of primary; reads now start \
             at term {} position {}",
            instead.term, instead.position
        ),
    )
}

/// Tells whether a text holds more than one statement, or something that looks like it.
fn holds_several(text: &str) -> bool {
    text.trim_end().trim_end_matches([';', ' ', '\n', '\t', '\r']).contains(';')
}
