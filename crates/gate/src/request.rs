//! Requests, and the choice of a database for each.
//!
//! Writes, transactions that may write, and reads of current data go to the leader. Other reads go
//! to a replica that holds a sufficiently recent proved position, or else to the leader.

use std::sync::Arc;

use admit::{RefusalReason, SlotRequest, WaitClass};
use model::{Micros, Name};

use crate::Gate;
use crate::account_pool::caller_name;
use crate::backend::TermPosition;
use crate::commit_proof::HeldCommit;
use crate::database::Database;
use crate::event::{ConnectionId, SessionId, SessionOrigin};
use crate::route::{Freshness, RouteConfig};
use crate::session::coverage_time;
use crate::statement::{CallerIdentity, ClientRequest, ErrorCode, Statement, StatementAccess};

pub(crate) use admit::RequestId;

/// Maximum number of times that one request is sent.
pub(crate) const MAX_TRIES: u32 = 4;

/// Part of a request's time limit reserved for the ways from and to the client, or the node that
/// forwards it: time limits are checked every 20 ms, and the ways of the larger deployments take up to
/// 14 ms. An owner thus answers before the forwarding node gives up.
const REPLY_MARGIN: Micros = Micros::from_millis(40);

/// The margin is at most one part in this many of a time limit.
const REPLY_MARGIN_DIVISOR: u64 = 8;

/// Time that a request waits for a leader or for proof of one. Another node may be able to serve
/// it, and the client's retries must fit into its own time limit.
pub(crate) const HOLD_TIMEOUT: Micros = Micros::from_millis(300);

/// Time before the owners of a cluster are asked again after none could serve a request: a third of
/// [`HOLD_TIMEOUT`].
pub(crate) const OWNER_RETRY_INTERVAL: Micros = Micros::from_millis(100);

/// Shortest and longest time after which a refused request should be sent again. A shorter one would
/// meet the same queue; at the longest, any queue has been served or refused.
const RETRY_HINT_MIN: Micros = Micros::from_millis(20);
const RETRY_HINT_MAX: Micros = Micros::from_millis(1_000);

/// Error text for a request that needs a proof of the leader which cannot be had.
pub(crate) const UNPROVED_TEXT: &str =
    "not run, the primary could not be proved to lead, retry after 500 ms";

/// Weight in percent of the expected time at a replica that is not preferred, and of that at the
/// leader. The leader is kept free for requests that only it can serve, even more so while half of
/// its slots are in use, since it also executes statements of transactions that never wait here.
const REPLICA_TIME_WEIGHT_PERCENT: u64 = 150;
const LEADER_TIME_WEIGHT_PERCENT: u64 = 250;
const BUSY_LEADER_TIME_WEIGHT_PERCENT: u64 = 1_000;

/// Why the leader serves a read that the freshness of its route allows on replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderReadReason {
    /// No position is known that covers what the read must include.
    NoPosition,
    /// No usable replica holds that position.
    NoReplica,
    /// The replicas are much slower.
    SlowReplicas,
}

impl LeaderReadReason {
    fn counter(self) -> &'static str {
        match self {
            LeaderReadReason::NoPosition => "reads_at_primary_no_position",
            LeaderReadReason::NoReplica => "reads_at_primary_no_replica",
            LeaderReadReason::SlowReplicas => "reads_at_primary_slow_replicas",
        }
    }
}

/// Role of a request within its session.
#[derive(Clone, Debug)]
pub(crate) enum RequestKind {
    Read,
    Write,
    /// The first statement of a transaction, which must be opened first.
    Begin {
        begin: ClientRequest,
        read_only: bool,
    },
    /// A statement of an open transaction.
    Continue,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// Waits for a leader.
    WaitingForLeader,
    /// Waits for proof that the leader still leads.
    WaitingForProof,
    /// Waits until the given time before it is tried again.
    BackingOff(Micros),
    /// Waits for a token of its account.
    WaitingForAllotment { since: Micros },
    /// Waits for a connection.
    Queued,
    /// Sent; not answered yet.
    Sent,
}

/// A client's request in progress.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) session: SessionId,
    pub(crate) client_request: ClientRequest,
    pub(crate) access: StatementAccess,
    pub(crate) kind: RequestKind,
    pub(crate) route: Arc<RouteConfig>,
    pub(crate) arrived: Micros,
    /// When the statement, or its transaction, began.
    pub(crate) started_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) stage: RequestStage,
    pub(crate) database: Option<Name>,
    pub(crate) connection: Option<ConnectionId>,
    pub(crate) required_position: Option<TermPosition>,
    /// The leader must be proved for this time.
    pub(crate) proof_time: Option<Micros>,
    pub(crate) sent: Option<Micros>,
    /// The statement itself was sent on `connection`, not only `BEGIN`.
    pub(crate) statement_sent: bool,
    /// A database may have executed an earlier try, such as a read whose answer was lost.
    pub(crate) may_have_run: bool,
    pub(crate) tries: u32,
    /// The answer to a commit that is not proved to be kept yet.
    pub(crate) held_commit: Option<HeldCommit>,
    pub(crate) excluded: Vec<Name>,
    /// `None` if the deployment does not identify its clients, and inside a transaction.
    pub(crate) caller: Option<CallerIdentity>,
    /// The operation was charged to its account, because it was sent.
    pub(crate) is_charged: bool,
}

impl ActiveRequest {
    /// Returns the account that the request is charged to.
    pub(crate) fn account(&self) -> Option<&Name> {
        self.caller.as_ref()?.account.as_ref()
    }

    pub(crate) fn is_commit(&self) -> bool {
        matches!(self.client_request.statement, Statement::Commit)
    }

    /// Returns true if the request may have an effect once it was sent.
    pub(crate) fn may_take_effect(&self) -> bool {
        matches!(self.kind, RequestKind::Write) || self.is_commit()
    }

    pub(crate) fn needs_leader(&self) -> bool {
        match &self.kind {
            RequestKind::Write | RequestKind::Continue => true,
            RequestKind::Begin { read_only: false, .. } => true,
            RequestKind::Read | RequestKind::Begin { read_only: true, .. } => {
                self.route.freshness == Freshness::Latest
            }
        }
    }
}

impl Gate {
    pub(crate) fn create_request(
        &mut self,
        session: SessionId,
        client_request: ClientRequest,
        access: StatementAccess,
        kind: RequestKind,
        route: Arc<RouteConfig>,
        started_at: Micros,
    ) -> RequestId {
        let id = RequestId(self.next_id());
        let request = ActiveRequest {
            session,
            client_request,
            access,
            kind,
            arrived: self.now,
            started_at,
            deadline: self.now + self.serving_time(session, &route),
            route,
            stage: RequestStage::Queued,
            database: None,
            connection: None,
            required_position: None,
            proof_time: None,
            sent: None,
            statement_sent: false,
            may_have_run: false,
            tries: 0,
            held_commit: None,
            excluded: Vec::new(),
            caller: None,
            is_charged: false,
        };
        self.requests.insert(id, request);
        id
    }

    /// Returns the time after its arrival in which a request must be answered.
    fn serving_time(&self, session: SessionId, route: &RouteConfig) -> Micros {
        let origin = self.sessions.get(&session).map(|session| session.origin);
        let ways = match origin {
            Some(SessionOrigin::Peer) => 2,
            Some(SessionOrigin::Client) | None => 1,
        };
        let margin = REPLY_MARGIN.min(Micros(route.timeout.0 / REPLY_MARGIN_DIVISOR));
        route.timeout.saturating_sub(Micros(margin.0 * ways))
    }

    /// Chooses a database for a request and queues it there.
    pub(crate) fn route_request(&mut self, id: RequestId) {
        self.refresh_owners();
        let Some(request) = self.requests.get(&id) else { return };
        if matches!(request.kind, RequestKind::Continue) {
            return self.continue_transaction(id);
        }
        if self.is_outdated(id) {
            return self.wait_for_version(id);
        }
        let (route, started_at, needs_leader) =
            (request.route.clone(), request.started_at, request.needs_leader());
        let writes = matches!(request.kind, RequestKind::Write);
        let required_position = self.required_position(id);
        if let Some(peer) = self.choose_owner(id) {
            return self.queue_at(id, peer, required_position, None);
        }
        if !self.owns_connections(&route.cluster) {
            return self.wait_for_owner(id);
        }
        let Some(cluster) = self.clusters.get(&route.cluster) else {
            return self.refuse(id, self.refusal_code(id), "no database is known for the route");
        };
        let leader_may_lack =
            required_position.is_some_and(|position| cluster.proof.may_lack(position));
        let since = coverage_time(route.freshness, started_at);
        if !needs_leader && let Some(since) = since {
            let choice = match cluster.proof.proved_position(since) {
                Some(position) => {
                    let position = Some(position).max(required_position);
                    self.choose_replica(id, &route.cluster, position)
                        .map(|replica| (replica, position))
                }
                None => Err(LeaderReadReason::NoPosition),
            };
            match choice {
                Ok((replica, position)) => {
                    self.count("reads_at_replicas");
                    return self.queue_at(id, replica, position, None);
                }
                Err(reason) => self.count(reason.counter()),
            }
        }
        let proof_time = if writes {
            None
        } else if leader_may_lack {
            // The proof within the accepted age may be older than the commit.
            self.count("reads_of_newer_terms");
            Some(started_at)
        } else {
            Some(since.unwrap_or(started_at))
        };
        let Some(leader) = self.usable_leader(&route.cluster) else {
            if !self.is_announced(&route.cluster)
                && let Some(peer) = self.choose_peer(id)
            {
                return self.queue_at(id, peer, required_position, None);
            }
            return self.wait_for_leader(id);
        };
        if self.databases.get(&leader).is_some_and(|database| database.has_no_connection(self.now))
        {
            if let Some(peer) = self.choose_peer(id) {
                return self.queue_at(id, peer, required_position, None);
            }
            let text = "not run, no connection to the primary is free, retry after 150 ms";
            return self.refuse(id, self.refusal_code(id), text);
        }
        self.apply_read_lease(&route.cluster);
        let can_commit = !writes || self.can_prove_commit(&route.cluster);
        let proved =
            proof_time.is_none_or(|proof_time| self.is_proved(&route.cluster, &leader, proof_time));
        if can_commit && proved {
            return self.queue_at(id, leader, None, proof_time);
        }
        if self.read_lease_acquired().is_none()
            && !(can_commit && self.can_request_proof(&route.cluster))
            && let Some(peer) = self.choose_peer(id)
        {
            return self.queue_at(id, peer, required_position, None);
        }
        if self.lacks_proof(&route.cluster) {
            return self.refuse(id, self.refusal_code(id), UNPROVED_TEXT);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = RequestStage::WaitingForProof;
            request.proof_time = proof_time.or(Some(started_at));
            request.database = None;
        }
        if let Some(state) = self.clusters.get_mut(&route.cluster) {
            state.waiting_for_proof.push(id);
        }
        self.request_proof(&route.cluster, proof_time.unwrap_or(started_at));
    }

    /// Holds a request that this node can only forward, until an owner may be able to serve it.
    fn wait_for_owner(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if now >= request.arrived + HOLD_TIMEOUT {
            let text = "not run, no other node reaches a primary, retry after 200 ms";
            return self.refuse(id, ErrorCode::Busy, text);
        }
        request.excluded.clear();
        request.tries = 0;
        request.database = None;
        request.stage = RequestStage::BackingOff(now + OWNER_RETRY_INTERVAL);
        self.backing_off.push(id);
    }

    /// Returns the error code for a request that this node cannot serve. Another node is told to go
    /// elsewhere.
    pub(crate) fn refusal_code(&self, id: RequestId) -> ErrorCode {
        if self.is_forwarded(id) { ErrorCode::Misrouted } else { ErrorCode::Busy }
    }

    /// Returns the required position of a read: what its session has written, or what the
    /// forwarding node requires. A session of another node carries the requests of many clients.
    pub(crate) fn required_position(&self, id: RequestId) -> Option<TermPosition> {
        let request = self.requests.get(&id)?;
        let session = self.sessions.get(&request.session)?;
        let own = match (request.route.freshness, session.origin) {
            (Freshness::Session(_), SessionOrigin::Client) => {
                session.commit_positions.get(&request.route.cluster)
            }
            (Freshness::Session(_), SessionOrigin::Peer)
            | (Freshness::Latest | Freshness::Bounded(_), _) => None,
        };
        let begin_position = match &request.kind {
            RequestKind::Begin { begin, .. } => begin.required_position,
            RequestKind::Read | RequestKind::Write | RequestKind::Continue => None,
        };
        own.copied().max(request.client_request.required_position).max(begin_position)
    }

    /// Returns true if a replica could provide proof that the leader leads.
    fn can_request_proof(&self, cluster: &Name) -> bool {
        let Some(state) = self.clusters.get(cluster) else { return false };
        let leader = state.proof.leader();
        state.members.iter().any(|name| {
            Some(name) != leader
                && self.databases.get(name).is_some_and(|database| {
                    database.is_usable(self.now) && !database.has_no_connection(self.now)
                })
        })
    }

    pub(crate) fn is_proved(&self, cluster: &Name, database: &Name, proof_time: Micros) -> bool {
        self.clusters.get(cluster).is_some_and(|state| state.proof.proves(database, proof_time))
    }

    /// Returns the leader if it is expected to serve requests.
    pub(crate) fn usable_leader(&self, cluster: &Name) -> Option<Name> {
        let state = self.clusters.get(cluster)?;
        if self.is_leader_suspended(cluster) {
            return None;
        }
        let leader = state.proof.leader()?;
        let database = self.databases.get(leader)?;
        let serves = database.is_responsive(self.now) && !self.is_past_leaving(database);
        serves.then(|| leader.clone())
    }

    /// Returns true if another database than `name` can serve a read now.
    pub(crate) fn can_serve_elsewhere(&self, id: RequestId, name: &Name) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let cluster = &request.route.cluster;
        if self.usable_leader(cluster).is_some_and(|leader| leader != *name) {
            return true;
        }
        let since = coverage_time(request.route.freshness, request.started_at);
        let proof = self.clusters.get(cluster).map(|state| &state.proof);
        let position = since.and_then(|since| proof?.proved_position(since));
        position.is_some_and(|position| {
            let position = Some(position).max(self.required_position(id));
            self.choose_replica(id, cluster, position).is_ok()
        })
    }

    /// Chooses the replica with the least expected cost among those that hold or probably hold the
    /// position.
    fn choose_replica(
        &self,
        id: RequestId,
        cluster: &Name,
        required_position: Option<TermPosition>,
    ) -> Result<Name, LeaderReadReason> {
        let none = LeaderReadReason::NoReplica;
        let request = self.requests.get(&id).ok_or(none)?;
        let state = self.clusters.get(cluster).ok_or(none)?;
        let leader = state.proof.leader();
        let preferred = self.preferred_replica(state);
        let mut best: Option<(u64, &Name)> = None;
        for name in &state.members {
            let Some(database) = self.databases.get(name) else { continue };
            if Some(name) == leader
                || !database.is_usable(self.now)
                || database.listed.leaving
                || request.excluded.contains(name)
                || database.lacks_position(self.now, required_position)
                || database.has_no_connection(self.now)
            {
                continue;
            }
            let percent = if Some(name) == preferred { 100 } else { REPLICA_TIME_WEIGHT_PERCENT };
            let load = database.load().saturating_sub(self.idle_transactions(database));
            let key = (database.expected_cost(self.now, load) * percent, name);
            if best.is_none_or(|best| key < best) {
                best = Some(key);
            }
        }
        let (cost, name) = best.ok_or(none)?;
        match self.usable_leader(cluster) {
            Some(leader) if self.is_cheaper_at_leader(&leader, cost) => {
                Err(LeaderReadReason::SlowReplicas)
            }
            _ => Ok(name.clone()),
        }
    }

    /// Returns true if the leader should serve a read that costs `cost` at a replica.
    fn is_cheaper_at_leader(&self, leader: &Name, cost: u64) -> bool {
        let Some(database) = self.databases.get(leader) else { return false };
        // Idle transactions at the leader go on with statements that never wait here.
        let cost_at_leader = database.expected_cost(self.now, database.load());
        let is_busy = || self.active_statements(database) >= database.slots().div_ceil(2);
        cost > cost_at_leader * LEADER_TIME_WEIGHT_PERCENT
            && (cost > cost_at_leader * BUSY_LEADER_TIME_WEIGHT_PERCENT || !is_busy())
    }

    /// Returns the number of transactions at a database that wait for their client.
    fn idle_transactions(&self, database: &Database) -> u32 {
        let idle = database.connections.iter().filter(|id| {
            let state = self.connections.get(id);
            state.is_some_and(|state| {
                state.transaction_session.is_some() && state.pending.is_empty()
            })
        });
        u32::try_from(idle.count()).unwrap_or(u32::MAX)
    }

    /// Returns the requests that wait for a database or run there. Idle transactions use no slot.
    fn active_statements(&self, database: &Database) -> u32 {
        let waiting: u32 = database.queue.stats().waiting.0.iter().sum();
        let running = database.connections.iter().filter(|id| {
            let state = self.connections.get(id);
            state.is_some_and(|state| state.open && !state.pending.is_empty())
        });
        waiting + u32::try_from(running.count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn queue_at(
        &mut self,
        id: RequestId,
        name: Name,
        required_position: Option<TermPosition>,
        proof_time: Option<Micros>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !self.databases.contains_key(&name) {
            return;
        }
        request.database = Some(name.clone());
        request.required_position = required_position;
        request.proof_time = proof_time;
        request.stage = RequestStage::Queued;
        if self.refuse_flood(id) {
            return;
        }
        match self.enqueue(id, &name) {
            Ok(WaitClass::Late) => self.count("requests_queued_late"),
            Ok(WaitClass::InTime | WaitClass::Transaction) => {}
            Err(reason) => return self.refuse_queued(id, reason),
        }
        self.dispatch_queued(&name);
        self.count_connection_wait(id, &name);
    }

    /// Counts a request that waits for a connection of its account while a slot is free.
    fn count_connection_wait(&mut self, id: RequestId, name: &Name) {
        let waits = self.requests.get(&id).is_some_and(|request| {
            request.stage == RequestStage::Queued && request.database.as_ref() == Some(name)
        });
        let free = self.databases.get(name).is_some_and(|database| database.queue.has_free_slot());
        if waits && free && self.pools_accounts(name) {
            self.count("account_link_waits");
        }
    }

    /// Adds a request to the queue of a database, under the name of its account.
    pub(crate) fn enqueue(
        &mut self,
        id: RequestId,
        name: &Name,
    ) -> Result<WaitClass, RefusalReason> {
        let has_accounts = self.table.accounts.is_some();
        let Some(request) = self.requests.get(&id) else { return Ok(WaitClass::InTime) };
        let Some(database) = self.databases.get_mut(name) else { return Ok(WaitClass::InTime) };
        if request.account().is_some() {
            database.pool.mark_used();
        }
        let slot_request = SlotRequest {
            request: id,
            rank: request.route.rank,
            caller: caller_name(request.account(), request.session.0, has_accounts),
            deadline: request.deadline,
            selector: request.route.name.clone(),
            in_transaction: false,
        };
        // Another node knows the queue of its database, and this node only its connections to it.
        let target = match database.peer {
            Some(_) => Micros::MAX,
            None => request.arrived + request.route.target_latency,
        };
        database.queue.enqueue_with_target(self.now, slot_request, target)
    }

    pub(crate) fn refuse_queued(&mut self, id: RequestId, reason: RefusalReason) {
        let (counter, cause) = match reason {
            RefusalReason::QueueFull { .. } => ("refused_queue_full", "the queue is full"),
            RefusalReason::DeadlineUnreachable { .. } => {
                ("requests_shed", "the time limit cannot be met")
            }
            RefusalReason::DeadlinePassed => {
                ("refused_after_wait", "the time limit passed in the queue")
            }
        };
        let hint = self.retry_hint(id, reason).as_millis();
        self.count(counter);
        self.refuse(id, ErrorCode::Busy, &format!("not run, {cause}, retry after {hint} ms"));
    }

    /// Returns the time after which a refused request would probably be admitted: when as much of the
    /// queue has been served as is too much for it now.
    fn retry_hint(&self, id: RequestId, reason: RefusalReason) -> Micros {
        let Some(request) = self.requests.get(&id) else { return RETRY_HINT_MIN };
        let hint = match reason {
            RefusalReason::DeadlineUnreachable { expected } => {
                expected.saturating_sub(request.deadline.saturating_sub(self.now))
            }
            RefusalReason::QueueFull { .. } | RefusalReason::DeadlinePassed => {
                let database = request.database.as_ref().and_then(|name| self.databases.get(name));
                let rank = request.route.rank;
                database
                    .map_or(RETRY_HINT_MIN, |database| database.queue.expected_wait(self.now, rank))
            }
        };
        hint.clamp(RETRY_HINT_MIN, RETRY_HINT_MAX)
    }

    /// Holds a request until a leader is known.
    pub(crate) fn wait_for_leader(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let cluster = request.route.cluster.clone();
        request.stage = RequestStage::WaitingForLeader;
        request.database = None;
        let Some(state) = self.clusters.get_mut(&cluster) else { return };
        state.leader_missing_since.get_or_insert(now);
        if self.is_forwarded(id) {
            let text = "not run, this node reaches no primary, retry at once";
            return self.refuse(id, ErrorCode::Misrouted, text);
        }
        let Some(state) = self.clusters.get_mut(&cluster) else { return };
        let no_connection = !state.members.is_empty()
            && state.members.iter().all(|name| {
                self.databases.get(name).is_some_and(|database| database.has_no_connection(now))
            });
        if no_connection {
            let text = "not run, no connection to the databases is free, retry after 150 ms";
            return self.refuse(id, ErrorCode::Busy, text);
        }
        if now >= state.leader_missing_since.unwrap_or(now) + crate::cluster::FAILOVER_WAIT {
            return self.refuse(
                id,
                ErrorCode::Busy,
                "not run, the cluster has no primary, retry after 1 s",
            );
        }
        state.waiting_for_leader.push(id);
    }
}

impl ActiveRequest {
    /// Returns true if the request has waited long enough for a leader or for proof of one.
    pub(crate) fn is_hold_expired(&self, now: Micros) -> bool {
        matches!(self.stage, RequestStage::WaitingForLeader | RequestStage::WaitingForProof)
            && now >= self.arrived + HOLD_TIMEOUT
    }

    /// Returns true if the answer is late and the request can be repeated, so that it should be
    /// given up here.
    pub(crate) fn should_give_up(&self, now: Micros, answer_timeout: Micros) -> bool {
        let repeatable = match self.kind {
            RequestKind::Read => self.tries < MAX_TRIES - 1,
            RequestKind::Write => false,
            // A transaction has no effect before its commit is sent.
            RequestKind::Begin { .. } | RequestKind::Continue => !self.is_commit(),
        };
        self.stage == RequestStage::Sent
            && repeatable
            && self.sent.is_some_and(|sent| now >= sent + answer_timeout)
    }
}
