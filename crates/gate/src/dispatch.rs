//! Sends requests: assigns connections and applies the session's state to them first.

use std::cmp::Reverse;

use model::Name;

use crate::Gate;
use crate::backend::BackendCommand;
use crate::database::{CommandPurpose, Database, DispatchState};
use crate::event::{ConnectionId, SessionId};
use crate::request::{RequestId, RequestKind, RequestStage};
use crate::session::Transaction;
use crate::statement::{ErrorCode, Statement};

impl Gate {
    /// Assigns idle connections of a database to queued requests and opens connections as needed.
    ///
    /// A request that ends or is routed again in the course of this asks for another dispatch, which
    /// follows here. Within itself, the depth of the stack would grow with the queue.
    pub(crate) fn dispatch_queued(&mut self, name: &Name) {
        let Some(database) = self.databases.get_mut(name) else { return };
        match database.dispatch_state {
            DispatchState::Inactive => database.dispatch_state = DispatchState::Active,
            DispatchState::Active | DispatchState::Requested => {
                database.dispatch_state = DispatchState::Requested;
                return;
            }
        }
        loop {
            self.dispatch_once(name);
            let Some(database) = self.databases.get_mut(name) else { return };
            match database.dispatch_state {
                DispatchState::Requested => database.dispatch_state = DispatchState::Active,
                DispatchState::Active | DispatchState::Inactive => {
                    database.dispatch_state = DispatchState::Inactive;
                    return;
                }
            }
        }
    }

    fn dispatch_once(&mut self, name: &Name) {
        let now = self.now;
        let Some(database) = self.databases.get(name) else { return };
        let nodes = match database.peer {
            Some(_) => 1,
            None => self.sharing_node_count(&database.listed.cluster),
        };
        let Some(database) = self.databases.get_mut(name) else { return };
        database.set_concurrency(nodes);
        for (id, reason) in database.queue.expire(now) {
            self.refuse_queued(id, reason);
        }
        self.send_failover_commands(name);
        self.send_wanted_report(name);
        while let Some(database) = self.databases.get_mut(name) {
            if database.idle.is_empty() {
                break;
            }
            let pools_accounts = self.pools_accounts(name);
            let Some(grant) = self.grant_next(name) else { break };
            let Some(database) = self.databases.get_mut(name) else { return };
            let id = grant.request;
            if !self.requests.contains_key(&id) {
                database.queue.abandon(now, id);
                continue;
            };
            if let Err((code, text)) = self.renew_identity(id) {
                self.abandon_slot(id);
                self.refuse_unidentified_request(id, code, text);
                continue;
            }
            if self.is_outdated(id) {
                self.abandon_slot(id);
                self.wait_for_version(id);
                continue;
            }
            let Some(request) = self.requests.get(&id) else { continue };
            let account = request.account().cloned();
            let (session, cluster, proof_time) =
                (request.session, request.route.cluster.clone(), request.proof_time);
            let past_leaving =
                self.databases.get(name).is_some_and(|database| self.is_past_leaving(database));
            if past_leaving
                || proof_time.is_some_and(|proof_time| !self.is_proved(&cluster, name, proof_time))
            {
                // The leader was replaced, or may get no more requests, while the request was queued.
                self.abandon_slot(id);
                self.route_request(id);
                continue;
            }
            let Some(database) = self.databases.get_mut(name) else { return };
            let values = self.sessions.get(&session).map(|session| &session.values);
            let serves = |index: &usize| {
                let connection = self.connections.get(&database.idle[*index]);
                connection.is_some_and(|connection| connection.account == account)
            };
            let candidates =
                (0..database.idle.len()).filter(|index| !pools_accounts || serves(index));
            let best = candidates.min_by_key(|index| {
                let connection = self.connections.get(&database.idle[*index]);
                let cost = match (connection, values) {
                    (Some(connection), Some(values)) => connection.adoption_cost(values),
                    _ => usize::MAX,
                };
                // Among equals the most recently used one, so that surplus ones become the least
                // recently used of all accounts.
                let last_used = connection.filter(|_| pools_accounts).map(|state| state.last_used);
                (cost, Reverse(last_used))
            });
            let Some(index) = best else {
                // Operators have given the key to another account while the request was queued.
                self.abandon_slot(id);
                if let Err(reason) = self.enqueue(id, name) {
                    if let Some(request) = self.requests.get_mut(&id) {
                        // Ends the request without another dispatch at this database.
                        request.database = None;
                    }
                    self.refuse_queued(id, reason);
                }
                continue;
            };
            if !self.charge_operation(id) {
                continue;
            }
            let Some(database) = self.databases.get_mut(name) else { return };
            let connection = database.idle.swap_remove(index);
            if pools_accounts {
                database.pool.record_use(now, account.as_deref().unwrap_or_default());
            }
            self.dispatch_request(id, connection);
        }
        self.open_connections(name);
    }

    /// Sends a request on an idle connection.
    pub(crate) fn dispatch_request(&mut self, id: RequestId, connection: ConnectionId) {
        let now = self.now;
        let sends_statement_at_once = self
            .connections
            .get(&connection)
            .and_then(|connection| self.databases.get(&connection.database))
            .is_some_and(Database::takes_first_statement_with_begin);
        let takes_caller = self.takes_caller(connection);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.connection = Some(connection);
        request.statement_sent = false;
        request.sent = Some(now);
        request.tries += 1;
        request.stage = RequestStage::Sent;
        match request.kind.clone() {
            RequestKind::Begin { begin, .. } => {
                let required_position = request.required_position;
                let session = request.session;
                let caller = request.caller.clone().filter(|_| takes_caller);
                let sends_statement = sends_statement_at_once && !request.is_commit();
                let Some(setup) = self.setup_commands(session, connection) else { return };
                self.send(connection, setup, CommandPurpose::Setup);
                if let Some(state) = self.connections.get_mut(&connection) {
                    state.transaction_session = Some(session);
                }
                let command = BackendCommand::Run {
                    id: begin.id,
                    text: begin.text,
                    required_position,
                    caller,
                };
                self.send(connection, vec![command], CommandPurpose::Begin(id));
                if sends_statement {
                    self.send_statement(id, connection, false);
                }
            }
            RequestKind::Read | RequestKind::Write | RequestKind::Continue => {
                self.send_statement(id, connection, true);
            }
        }
    }

    /// Returns true if the connection leads to a node that accepts the identity of callers.
    fn takes_caller(&self, connection: ConnectionId) -> bool {
        let database = self.connections.get(&connection).map(|connection| &connection.database);
        database.and_then(|name| self.databases.get(name)).is_some_and(Database::takes_caller)
    }

    pub(crate) fn setup_commands(
        &mut self,
        session: SessionId,
        connection: ConnectionId,
    ) -> Option<Vec<BackendCommand>> {
        let session = self.sessions.get(&session)?;
        Some(self.connections.get_mut(&connection)?.adopt_values(&session.values))
    }

    /// Sends the statement, preceded by the commands that apply the session's state to the
    /// connection.
    pub(crate) fn send_statement(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        outside_transaction: bool,
    ) {
        let takes_caller = self.takes_caller(connection);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.sent = Some(self.now);
        request.statement_sent = true;
        request.stage = RequestStage::Sent;
        let required_position = if outside_transaction { request.required_position } else { None };
        let (session, client_request) = (request.session, request.client_request.clone());
        let caller = request.caller.clone().filter(|_| outside_transaction && takes_caller);
        let Some(mut setup) = self.setup_commands(session, connection) else { return };
        let command = match &client_request.statement {
            Statement::Execute { name, arguments } => {
                let prepared = self.sessions.get(&session).and_then(|s| s.prepared.get(name));
                let (Some((access, shape)), Some(state)) =
                    (prepared, self.connections.get_mut(&connection))
                else {
                    return;
                };
                let prepared = state.prepare(*access, shape, &mut setup);
                let arguments = arguments.clone();
                BackendCommand::Execute {
                    id: client_request.id,
                    prepared,
                    arguments,
                    required_position,
                    caller,
                }
            }
            _ => BackendCommand::Run {
                id: client_request.id,
                text: client_request.text,
                required_position,
                caller,
            },
        };
        self.send(connection, setup, CommandPurpose::Setup);
        self.send(connection, vec![command], CommandPurpose::Run(id));
    }

    pub(crate) fn continue_transaction(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(session) = self.sessions.get(&request.session) else { return };
        let Transaction::Open(open) = &session.transaction else { return };
        let (connection, commits_writes) = (open.connection, open.wrote && request.is_commit());
        let lost = match self.connections.get(&connection) {
            Some(state) => state.close_when_idle || !state.open,
            None => true,
        };
        request.connection = Some(connection);
        request.database =
            self.connections.get(&connection).map(|connection| connection.database.clone());
        if lost {
            return self.fail_transaction(id, ErrorCode::Aborted, "the connection was lost");
        }
        request.tries += 1;
        let cluster = request.route.cluster.clone();
        let at_peer = request.database.clone().is_some_and(|database| self.is_peer(&database));
        if commits_writes && !at_peer && self.is_leader_suspended(&cluster) {
            let text = "rolled back, the primary is being replaced, retry at once";
            return self.fail_transaction(id, ErrorCode::Aborted, text);
        }
        if commits_writes && !at_peer && !self.can_prove_commit(&cluster) {
            let text = "rolled back, the primary could not be proved to lead, retry after 500 ms";
            return self.fail_transaction(id, ErrorCode::Aborted, text);
        }
        self.send_statement(id, connection, false);
    }
}
