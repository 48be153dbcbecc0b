//! Connections to databases and nodes: opening, answers, loss and release.

use model::{DatabaseRole, Micros, Name, Term};

use crate::account_pool::PoolLimits;
use crate::action::GateAction;
use crate::allotment::ALLOTMENT_TIMEOUT;
use crate::backend::{AnswerEnd, BackendAnswer, BackendCommand, TermPosition};
use crate::database::{BackendConnection, CommandPurpose, Database, PendingCommand, steady_share};
use crate::event::ConnectionId;
use crate::request::RequestId;
use crate::statement::{ErrorCode, TransactionState};
use crate::{Gate, fields};

/// Timeout for opening a connection, including a handshake behind a full queue.
pub(crate) const OPEN_TIMEOUT: Micros = Micros::from_millis(1_000);

/// Timeout for the answer to a report or another command that is not a client's statement. Reports
/// take a slot, behind a queue of 16 statements.
const REPORT_TIMEOUT: Micros = Micros::from_millis(800);

/// Time that a statement whose request is gone may take before its connection is closed.
const ABANDONED_STATEMENT_TIMEOUT: Micros = Micros::from_millis(2_000);

/// Backoff after a failed attempt to open a connection; it doubles up to the maximum.
const OPEN_BACKOFF_MIN: Micros = Micros::from_millis(60);
const OPEN_BACKOFF_MAX: Micros = Micros::from_millis(500);

/// Backoff after a database refused a connection for its connection limit.
const LIMIT_REFUSAL_BACKOFF: Micros = Micros::from_millis(150);

/// Time after which an unused connection beyond the equal share is closed. It is long compared with
/// the pauses within a burst of requests and with the 12 ms that a new connection takes.
const SURPLUS_IDLE_TIMEOUT: Micros = Micros::from_millis(600);

/// As [`SURPLUS_IDLE_TIMEOUT`], where each node may keep several connections, so that one more
/// takes little from the others. Also for connections of accounts at owners other than the first one,
/// whose share is beside that of the first one: after a power loss they would be missing.
const LARGE_SHARE_IDLE_TIMEOUT: Micros = Micros::from_millis(3_000);

/// As [`SURPLUS_IDLE_TIMEOUT`], for connections to other nodes, which accept many. The entry of an
/// unused node is kept as long.
const PEER_IDLE_TIMEOUT: Micros = Micros::from_millis(5_000);

/// As [`SURPLUS_IDLE_TIMEOUT`], for connections of accounts within this node's share. Opening one
/// again costs a slot, and nobody else may use the place.
const ACCOUNT_IDLE_TIMEOUT: Micros = Micros::from_secs(30);

/// Maximum number of connections to another node for one client database.
const PEER_CONNECTIONS: u32 = 8;

/// Time after its start in which a node keeps to its equal share of connections. Databases drop the
/// connections of VMs that lost power within 3 s.
const STARTUP_GRACE: Micros = Micros::from_millis(3_000);

/// Connection limit of a database without a configured limit.
const DEFAULT_MAX_CONNECTIONS: u32 = 8;

impl Gate {
    /// Returns the number of connections to each of a cluster's databases that this node keeps in a
    /// steady state.
    pub(crate) fn steady_connections(&self, cluster: &Name) -> u32 {
        let limits = self.table.clusters.get(cluster);
        let connections = limits.map_or(DEFAULT_MAX_CONNECTIONS, |limits| limits.max_connections);
        steady_share(connections, self.sharing_node_count(cluster))
    }

    /// Opens a connection if queued requests need one, or if the database has none and one is kept
    /// open to it.
    pub(crate) fn open_connections(&mut self, name: &Name) {
        let now = self.now;
        let Some(database) = self.databases.get(name) else { return };
        let closed = database.unlisted_since.is_some() || self.is_past_leaving(database);
        if now < database.open_retry_at || closed {
            return;
        }
        let waiting: u32 = database.queue.stats().waiting.0.iter().sum();
        // Without a free slot, the requests would not use another connection.
        let serves = database.queue.has_free_slot();
        let wanted = if serves { waiting } else { 0 } + u32::from(database.report_wanted);
        let connections = u32::try_from(database.connections.len()).unwrap_or(u32::MAX);
        let limit = match database.peer {
            Some(_) => PEER_CONNECTIONS,
            None => {
                let share = self.steady_connections(&database.listed.cluster);
                let starting = now < self.started + STARTUP_GRACE;
                if starting { share } else { database.connection_limit(now, share) }
            }
        };
        let first = connections == 0 && self.keeps_connection_open(name);
        let wanted = if self.pools_accounts(name) {
            let limits = self.pool_limits(database);
            let waits_for_report = database.report_wanted && database.idle.is_empty();
            self.open_account_connections(name, limits);
            u32::from(waits_for_report)
        } else {
            wanted
        };
        let Some(database) = self.databases.get(name) else { return };
        let connections = u32::try_from(database.connections.len()).unwrap_or(u32::MAX);
        let first = first && connections == 0;
        if !first && (database.opening >= wanted || connections >= limit || database.opening >= 2) {
            return;
        }
        self.open_connection(name, None);
    }

    /// Returns how many connections this node may have to a database of a deployment with accounts.
    fn pool_limits(&self, database: &Database) -> PoolLimits {
        let share = self.steady_connections(&database.listed.cluster);
        let size = |limit| usize::try_from(limit).unwrap_or(usize::MAX);
        if database.is_at_connection_limit(self.now) {
            // The database is full: a new connection replaces one of this node.
            let limit = size(share).min(database.connections.len().max(1));
            return PoolLimits { steady: limit, most: limit };
        }
        let starting = self.now < self.started + STARTUP_GRACE;
        let most = if starting { share } else { database.connection_limit(self.now, share) };
        PoolLimits { steady: size(share), most: size(most) }
    }

    /// Opens a connection that serves an account, or none in particular.
    pub(crate) fn open_connection(&mut self, name: &Name, account: Option<Name>) {
        let now = self.now;
        let connection = ConnectionId(self.next_id());
        let Some(database) = self.databases.get_mut(name) else { return };
        database.connections.push(connection);
        database.opening += 1;
        database.record_attempt(now);
        let (cluster, address) = (database.listed.cluster.clone(), database.listed.address);
        let mut state = BackendConnection::new(name.clone(), cluster.clone(), account.clone(), now);
        state.leader_position = self.clusters.get(&cluster).and_then(|cluster| {
            Some((cluster.proof.term(), cluster.proof.applied_position(name)?))
        });
        self.connections.insert(connection, state);
        self.out.push(GateAction::OpenConnection {
            connection,
            cluster,
            database: name.clone(),
            address,
            account,
        });
        self.count("links_opened");
    }

    /// Returns true if a connection to the database is kept open without requests: to the leader
    /// and the preferred replica, and to every database while no leader is known.
    fn keeps_connection_open(&self, name: &Name) -> bool {
        let Some(database) = self.databases.get(name) else { return false };
        let Some(state) = self.clusters.get(&database.listed.cluster) else { return false };
        if !self.owns_connections(&database.listed.cluster) {
            return false;
        }
        match state.proof.leader() {
            Some(leader) => leader == name || self.preferred_replica(state) == Some(name),
            None => true,
        }
    }

    pub(crate) fn connection_opened(
        &mut self,
        connection: ConnectionId,
        position: Option<TermPosition>,
    ) {
        let now = self.now;
        let Some(state) = self.connections.get_mut(&connection) else { return };
        if state.open {
            return;
        }
        state.open = true;
        state.established_at = Some(now);
        state.last_used = now;
        let handshake_time = state.account.is_some().then(|| now.saturating_sub(state.opened_at));
        let (name, cluster) = (state.database.clone(), state.cluster.clone());
        let leader_position = state.leader_position;
        if let Some(time) = handshake_time {
            self.observe("account_link_open_time", time);
        }
        if self.has_position_gone_back(&cluster, leader_position, position) {
            self.database_restarted(&cluster, &name, "position");
        }
        let Some(database) = self.databases.get_mut(&name) else { return };
        database.opening -= 1;
        database.open_failures = 0;
        if database.peer.is_some() {
            // Other nodes are probed by opening a connection, because there is no probe command.
            database.overdue_since = None;
        }
        database.applied = position.max(database.applied);
        database.applied_at = now;
        database.idle.push(connection);
        if database.report.is_none() && database.listed.claimed_role == Some(DatabaseRole::Primary)
        {
            database.report_wanted = true;
        }
        self.record_answer(&name);
        self.dispatch_queued(&name);
        self.allotment_connection_opened(&name);
    }

    /// Returns true if a leader opened a connection at a lower position than it had shown before the
    /// connection was requested, in the same term: it has lost its log.
    fn has_position_gone_back(
        &self,
        cluster: &Name,
        shown: Option<(Term, TermPosition)>,
        position: Option<TermPosition>,
    ) -> bool {
        let term = self.clusters.get(cluster).map(|state| state.proof.term());
        match (shown, position) {
            (Some((shown_term, shown)), Some(position)) => {
                term == Some(shown_term) && position < shown
            }
            _ => false,
        }
    }

    pub(crate) fn connection_refused(&mut self, connection: ConnectionId, code: ErrorCode) {
        let now = self.now;
        let Some(state) = self.connections.get(&connection) else { return };
        let (name, account) = (state.database.clone(), state.account.clone());
        self.log("link_refused", fields!["database" => &name, "code" => code.name()]);
        if code == ErrorCode::TooManyConnections {
            self.record_answer(&name);
        }
        self.remove_connection(connection);
        if let Some(database) = self.databases.get_mut(&name) {
            match (code, account) {
                // Says nothing about other accounts.
                (ErrorCode::NotAuthorized, Some(account)) => {
                    database.pool.record_refusal(now, account);
                }
                _ => database.open_retry_at = now + LIMIT_REFUSAL_BACKOFF,
            }
            if code == ErrorCode::TooManyConnections {
                database.limit_refused_at = Some(now);
            }
        }
        self.reroute_if_unconnected(&name);
    }

    pub(crate) fn connection_lost(&mut self, connection: ConnectionId) {
        let now = self.now;
        let Some(state) = self.connections.get(&connection) else { return };
        let name = state.database.clone();
        let opening = !state.open;
        if let Some(database) = self.databases.get_mut(&name) {
            database.record_attempt(now);
            database.responsiveness.observe_outcome(now, true);
            if opening {
                let backoff = OPEN_BACKOFF_MIN.0 << database.open_failures.min(4);
                database.open_failures += 1;
                database.open_retry_at = now + Micros(backoff).min(OPEN_BACKOFF_MAX);
            }
        }
        self.count("links_lost");
        self.log(
            "link_lost",
            fields!["database" => &name, "link" => connection.0, "opening" => opening],
        );
        self.remove_connection(connection);
        if opening {
            self.reroute_if_unconnected(&name);
        }
        self.open_connections(&name);
    }

    /// Closes a connection and ends the requests on it.
    pub(crate) fn close_connection(&mut self, connection: ConnectionId, reason: &'static str) {
        if !self.connections.contains_key(&connection) {
            return;
        }
        self.out.push(GateAction::CloseConnection { connection });
        self.count("links_closed");
        self.log("link_closed", fields!["link" => connection.0, "reason" => reason]);
        self.remove_connection(connection);
    }

    fn remove_connection(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.remove(&connection) else { return };
        if let Some(database) = self.databases.get_mut(&state.database) {
            database.connections.retain(|other| *other != connection);
            database.idle.retain(|other| *other != connection);
            if !state.open {
                database.opening -= 1;
            }
        }
        for pending in &state.pending {
            match pending.purpose {
                CommandPurpose::Begin(request) if self.is_awaited(request, connection) => {
                    self.request_connection_lost(request, false);
                }
                CommandPurpose::Run(request) if self.is_awaited(request, connection) => {
                    self.request_connection_lost(request, true);
                }
                // The request was given up or sent elsewhere.
                CommandPurpose::Begin(request) | CommandPurpose::Run(request) => {
                    self.end_abandoned_statement(&state.database, request, false);
                }
                CommandPurpose::Report | CommandPurpose::Fence => {
                    if let Some(database) = self.databases.get_mut(&state.database)
                        && database.report_requested_at == Some(pending.sent)
                    {
                        database.report_requested_at = None;
                    }
                }
                CommandPurpose::Allot => self.allotment_request_ended(&state.database),
                CommandPurpose::Setup
                | CommandPurpose::Rollback
                | CommandPurpose::Unfence
                | CommandPurpose::Demote
                | CommandPurpose::Control => {}
            }
        }
        if let Some(session) = state.transaction_session {
            self.abort_transaction(session, "connection lost");
        }
    }

    /// Sends commands on a connection and records their purpose.
    pub(crate) fn send(
        &mut self,
        connection: ConnectionId,
        commands: Vec<BackendCommand>,
        purpose: CommandPurpose,
    ) {
        let now = self.now;
        if commands.is_empty() {
            return;
        }
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.last_used = now;
        for _ in &commands {
            state.pending.push_back(PendingCommand { purpose, sent: now });
        }
        if let Some(database) = self.databases.get_mut(&state.database) {
            database.record_attempt(now);
        }
        self.out.push(GateAction::Send { connection, commands });
    }

    /// Records that a database answered.
    fn record_answer(&mut self, name: &Name) {
        let now = self.now;
        let Some(database) = self.databases.get(name) else { return };
        let waiting = database.connections.iter().any(|connection| {
            self.connections
                .get(connection)
                .is_some_and(|connection| !connection.open || !connection.pending.is_empty())
        });
        let Some(database) = self.databases.get_mut(name) else { return };
        database.last_answer = Some(now);
        database.attempt_unanswered_since = waiting.then_some(now);
    }

    pub(crate) fn connection_answered(&mut self, connection: ConnectionId, answer: BackendAnswer) {
        let now = self.now;
        let Some(state) = self.connections.get_mut(&connection) else { return };
        let (name, cluster) = (state.database.clone(), state.cluster.clone());
        let Some(pending) = state.pending.pop_front() else {
            return self.close_connection(connection, "answer without a command");
        };
        state.last_used = now;
        self.record_answer(&name);
        if let Some(database) = self.databases.get_mut(&name) {
            database.overdue_since = None;
            database.last_command_answer = Some(now);
        }
        if let CommandPurpose::Run(request) = pending.purpose {
            self.observe_answer(&name, request, now.saturating_sub(pending.sent), &answer.end);
        }
        if let Some(position) = answer.position {
            if let Some(database) = self.databases.get_mut(&name) {
                database.applied = Some(position);
                database.applied_at = now;
            }
            self.apply_read_lease(&cluster);
            if let Some(state) = self.clusters.get_mut(&cluster) {
                state.proof.observe_applied_position(&name, pending.sent, position);
                state.proof.observe_replica_position(&name, position);
            }
        }
        match pending.purpose {
            CommandPurpose::Setup => {
                if let AnswerEnd::Failed { code, .. } = &answer.end {
                    let record = fields!["database" => &name, "code" => code.name()];
                    self.log("setup_failed", record);
                    if let Some(state) = self.connections.get_mut(&connection) {
                        state.close_when_idle = true;
                    }
                }
            }
            CommandPurpose::Begin(request) if self.is_awaited(request, connection) => {
                self.begin_answered(request, connection, &answer);
            }
            CommandPurpose::Run(request) if self.is_awaited(request, connection) => {
                self.statement_answered(request, connection, answer);
            }
            CommandPurpose::Begin(request) | CommandPurpose::Run(request) => {
                self.end_abandoned_statement(&name, request, true);
                self.abandoned_statement_answered(connection, &answer)
            }
            CommandPurpose::Report => {
                self.report_answered(connection, pending.sent, &answer);
                self.step_failover(&cluster);
            }
            CommandPurpose::Fence => self.fence_answered(connection, pending.sent, &answer),
            CommandPurpose::Demote => self.demote_answered(connection, &answer),
            CommandPurpose::Allot => self.allotment_request_ended(&name),
            CommandPurpose::Rollback | CommandPurpose::Unfence | CommandPurpose::Control => {}
        }
        self.release_connection(connection);
    }

    /// Adds the answer to a statement to what is known about the database.
    fn observe_answer(&mut self, name: &Name, id: RequestId, time: Micros, end: &AnswerEnd) {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return };
        let Some(database) = self.databases.get_mut(name) else { return };
        let Some(state) = self.clusters.get_mut(&request.route.cluster) else { return };
        match end {
            AnswerEnd::Done(_) => {
                state.usual_times.observe(&request.route.name, time);
                let usual = state.usual_times.get(&request.route.name);
                database.responsiveness.observe_time(now, time, usual);
                database.responsiveness.observe_outcome(now, false);
            }
            AnswerEnd::Failed { code, .. } if code.guarantees_not_run() => {}
            AnswerEnd::Failed { .. } => database.responsiveness.observe_outcome(now, true),
        }
    }

    /// Handles an answer whose request was given up. A transaction that it left open is rolled
    /// back.
    fn abandoned_statement_answered(&mut self, connection: ConnectionId, answer: &BackendAnswer) {
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.transaction_session = None;
        if answer.state != TransactionState::Idle && state.pending.is_empty() {
            self.send(connection, vec![BackendCommand::Rollback], CommandPurpose::Rollback);
        }
    }

    /// Makes a connection available to other requests once nothing is in flight on it.
    fn release_connection(&mut self, connection: ConnectionId) {
        let Some(state) = self.connections.get(&connection) else { return };
        if !state.pending.is_empty() || state.transaction_session.is_some() {
            return;
        }
        if state.close_when_idle {
            return self.close_connection(connection, "connection state unknown");
        }
        let name = state.database.clone();
        let needs_reset = state.needs_reset();
        if needs_reset && self.databases.get(&name).is_some_and(|database| !database.has_reset()) {
            return self.close_connection(connection, "session state cannot be reset");
        }
        let Some(database) = self.databases.get_mut(&name) else { return };
        if !database.idle.contains(&connection) {
            database.idle.push(connection);
        }
        self.dispatch_queued(&name);
    }

    /// Returns an open connection with nothing in flight, for a command that does not belong to a
    /// client. Answers are assigned to commands by their order: on a connection with a statement
    /// whose answer was lost, the answer to the command would be taken for that of the statement.
    pub(crate) fn control_connection(&mut self, name: &Name) -> Option<ConnectionId> {
        self.databases.get_mut(name)?.idle.pop()
    }

    /// Closes connections that are unresponsive or unused, and dispatches requests that became due.
    pub(crate) fn maintain_connections(&mut self) {
        let now = self.now;
        let mut unresponsive = Vec::new();
        let mut surplus: Vec<(Name, ConnectionId, Micros)> = Vec::new();
        let mut large = Vec::new();
        for (id, connection) in &self.connections {
            if !connection.open {
                if now >= connection.opened_at + OPEN_TIMEOUT {
                    unresponsive.push(*id);
                }
                continue;
            }
            let Some(pending) = connection.pending.front() else {
                if connection.transaction_session.is_none()
                    && now >= connection.last_used + SURPLUS_IDLE_TIMEOUT
                {
                    if connection.keeps_large_state() {
                        large.push(*id);
                        continue;
                    }
                    surplus.push((connection.database.clone(), *id, connection.last_used));
                }
                continue;
            };
            let limit = match pending.purpose {
                CommandPurpose::Begin(request) | CommandPurpose::Run(request) => {
                    if self.is_awaited(request, *id) {
                        Micros::MAX
                    } else {
                        ABANDONED_STATEMENT_TIMEOUT
                    }
                }
                CommandPurpose::Allot => ALLOTMENT_TIMEOUT,
                CommandPurpose::Report
                | CommandPurpose::Fence
                | CommandPurpose::Setup
                | CommandPurpose::Unfence
                | CommandPurpose::Demote
                | CommandPurpose::Control
                | CommandPurpose::Rollback => REPORT_TIMEOUT,
            };
            if now >= pending.sent.saturating_add(limit) {
                unresponsive.push(*id);
            }
        }
        for connection in unresponsive {
            self.out.push(GateAction::CloseConnection { connection });
            self.connection_lost(connection);
        }
        for connection in large {
            self.close_connection(connection, "large session state");
        }
        if self.table.accounts.is_some() {
            surplus.sort_by_key(|(_, _, last_used)| *last_used);
        }
        for (name, connection, last_used) in surplus {
            let Some(database) = self.databases.get(&name) else { continue };
            if database.peer.is_some() {
                if now >= last_used + PEER_IDLE_TIMEOUT {
                    self.close_connection(connection, "unused");
                }
                continue;
            }
            let share = self.steady_connections(&database.listed.cluster);
            if self.pools_accounts(&name) {
                let owned = self.owns_connections(&database.listed.cluster);
                let within_share = owned && database.connections.len() <= share as usize;
                let owners = self.owners.owners_of(&database.listed.cluster);
                let is_first =
                    owners.is_none_or(|names| names.first() == Some(&self.settings.node));
                let timeout =
                    if is_first { ACCOUNT_IDLE_TIMEOUT } else { LARGE_SHARE_IDLE_TIMEOUT };
                if !within_share || now >= last_used + timeout {
                    self.close_connection(connection, "unused");
                }
                continue;
            }
            if share > 1 && now < last_used + LARGE_SHARE_IDLE_TIMEOUT {
                continue;
            }
            if database.connections.len() > share as usize || !self.keeps_connection_open(&name) {
                self.close_connection(connection, "unused");
            }
        }
        let due: Vec<Name> = self
            .databases
            .iter()
            .filter(|(_, database)| database.needs_dispatch())
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.dispatch_queued(&name);
        }
    }

    fn is_awaited(&self, request: RequestId, connection: ConnectionId) -> bool {
        self.requests.get(&request).is_some_and(|request| request.connection == Some(connection))
    }
}
