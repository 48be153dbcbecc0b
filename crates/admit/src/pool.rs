//! Connections of one database: which are idle, pinned or opening.

use model::Micros;

/// Identifies one connection to a backend server within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Limits of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolConfig {
    /// Connections for work, report connections not included.
    pub limit: u32,
    /// Connections that stay open when idle.
    pub keep: u32,
    /// Time after which a surplus idle connection is closed.
    pub idle_timeout: Micros,
}

/// What the pool asks its owner to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    Open(ConnectionId),
    Close(ConnectionId),
}

/// The connections of one database.
#[derive(Debug)]
pub struct ConnectionPool {
    config: PoolConfig,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(config: PoolConfig) -> Self {
        ConnectionPool { config }
    }

    /// Takes over new limits.
    pub fn reconfigure(&mut self, config: PoolConfig) {
        self.config = config;
    }

    /// Takes an idle connection. `wanted` requests wait for one in all; opens more up to the limit,
    /// with identifiers from `next_id`.
    pub fn take(
        &mut self,
        _now: Micros,
        _wanted: u32,
        _next_id: &mut u64,
        _actions: &mut Vec<PoolAction>,
    ) -> Option<ConnectionId> {
        None
    }

    /// A connection finished opening and is idle.
    pub fn opened(&mut self, _now: Micros, _connection: ConnectionId) {}

    /// Gives a connection back.
    pub fn put(&mut self, _now: Micros, _connection: ConnectionId) {}

    /// A connection failed, was closed or must not be used again.
    pub fn lost(&mut self, _now: Micros, _connection: ConnectionId) {}

    /// Closes surplus idle connections.
    pub fn trim(&mut self, _now: Micros, _actions: &mut Vec<PoolAction>) {}
}
