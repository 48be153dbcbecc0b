//! Connections of the pools: opening, loss and closing.

use admit::{ConnectionId, PoolAction};
use model::Name;

use super::{BackendConnection, OPEN_TIMEOUT};
use crate::Node;
use crate::action::{LogLevel, NodeAction};
use crate::step::PendingStep;

impl Node {
    /// Opens and closes connections as the pool requests.
    pub(crate) fn run_pool_actions(&mut self, database: &Name, actions: Vec<PoolAction>) {
        for action in actions {
            match action {
                PoolAction::Open(connection) => {
                    let Some(service) = self.owner.services.get(database) else { continue };
                    let (address, catalog) = (service.config.address, service.cluster.clone());
                    self.owner.connections.insert(
                        connection,
                        BackendConnection {
                            database: database.clone(),
                            open: false,
                            requested_at: self.now,
                            request: None,
                            pin: None,
                        },
                    );
                    self.count("backends.opened", 1);
                    self.emit(NodeAction::OpenBackend {
                        connection,
                        database: database.clone(),
                        address,
                        catalog,
                    });
                }
                PoolAction::Close(connection) => {
                    self.owner.connections.remove(&connection);
                    self.emit(NodeAction::CloseBackend { connection });
                }
            }
        }
    }

    pub(crate) fn backend_opened(&mut self, connection: ConnectionId) {
        let Some(backend) = self.owner.connections.get_mut(&connection) else {
            return self.emit(NodeAction::CloseBackend { connection });
        };
        backend.open = true;
        let database = backend.database.clone();
        if let Some(service) = self.owner.services.get_mut(&database) {
            service.pool.opened(self.now, connection);
        }
        self.steps.push_back(PendingStep::ServeQueue(database));
    }

    /// Handles a connection that could not be opened or was lost.
    pub(crate) fn backend_lost(&mut self, connection: ConnectionId, message: &str) {
        let Some(backend) = self.owner.connections.remove(&connection) else { return };
        let database = backend.database;
        if let Some(service) = self.owner.services.get_mut(&database) {
            service.pool.remove(self.now, connection);
        }
        self.count("backends.lost", 1);
        if let Some(key) = backend.pin {
            self.remove_pin(key);
        }
        if let Some(id) = backend.request {
            self.owner_request_lost(id, message);
        }
        if !backend.open {
            let text = format!("failed to connect to database {database}: {message}");
            self.log(LogLevel::Warn, text);
            self.decline_without_connections(&database);
        }
        self.steps.push_back(PendingStep::ServeQueue(database));
    }

    /// Closes a connection that must not be used again.
    pub(crate) fn close_connection(&mut self, connection: ConnectionId) {
        let Some(backend) = self.owner.connections.remove(&connection) else { return };
        if let Some(service) = self.owner.services.get_mut(&backend.database) {
            service.pool.remove(self.now, connection);
        }
        self.emit(NodeAction::CloseBackend { connection });
        self.steps.push_back(PendingStep::ServeQueue(backend.database));
    }

    /// Closes connections that have not opened within [`OPEN_TIMEOUT`].
    pub(crate) fn close_overdue_openings(&mut self) {
        let oldest = self.now.saturating_sub(OPEN_TIMEOUT);
        let mut overdue: Vec<ConnectionId> = self
            .owner
            .connections
            .iter()
            .filter(|(_, backend)| !backend.open && backend.requested_at <= oldest)
            .map(|(connection, _)| *connection)
            .collect();
        overdue.sort();
        for connection in overdue {
            self.emit(NodeAction::CloseBackend { connection });
            self.backend_lost(connection, "the connection did not open in time");
        }
    }

    /// Closes surplus connections of all pools and removes databases that are no longer owned or used.
    pub(crate) fn close_surplus_connections(&mut self) {
        let mut names: Vec<Name> = self.owner.services.keys().cloned().collect();
        names.sort();
        for name in names {
            let mut actions = Vec::new();
            if let Some(service) = self.owner.services.get_mut(&name) {
                service.pool.trim(self.now, &mut actions);
            }
            self.run_pool_actions(&name, actions);
            let unused = self.owner.services.get(&name).is_some_and(|service| {
                !service.owned
                    && service.is_unused()
                    && !self.owner.requests.values().any(|request| request.routed.database == name)
                    && !self.owner.connections.values().any(|backend| backend.database == name)
            });
            if unused {
                self.owner.services.remove(&name);
            }
        }
    }
}
