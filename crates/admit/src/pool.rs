//! Connection pool of one database.
//!
//! Each connection is in one state from the open order until it is lost or its close is ordered, so the
//! number of connections never exceeds the limit. Events for an unknown connection are ignored.

use std::collections::VecDeque;

use model::{FastMap, Micros};

/// Backoff after the first failed open; doubles with each further failure.
const MIN_BACKOFF: Micros = Micros::from_millis(50);
/// Longest backoff after failed opens.
const MAX_BACKOFF: Micros = Micros::from_secs(3);

/// Identifies one connection to a backend server within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Limits of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolConfig {
    /// Maximum number of connections for requests; report connections are not included.
    pub limit: u32,
    /// Connections that stay open when idle.
    pub retained: u32,
    /// Time after which a surplus idle connection is closed.
    pub idle_timeout: Micros,
}

/// Action that the driver executes for the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    Open(ConnectionId),
    Close(ConnectionId),
}

/// State of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Opening,
    Idle,
    Taken,
}

/// Numbers of connections by state, for the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStats {
    pub opening: u32,
    pub idle: u32,
    pub taken: u32,
}

/// The connections of one database.
///
/// ```
/// use admit::*;
/// use model::Micros;
///
/// let config = PoolConfig { limit: 2, retained: 1, idle_timeout: Micros::from_secs(30) };
/// let mut pool = ConnectionPool::new(config);
/// let (mut next_id, mut actions) = (1, Vec::new());
/// assert_eq!(pool.take(Micros(0), 3, &mut next_id, &mut actions), None);
/// assert_eq!(actions, [PoolAction::Open(ConnectionId(1)), PoolAction::Open(ConnectionId(2))]);
/// pool.opened(Micros(12_000), ConnectionId(1));
/// let taken = pool.take(Micros(12_000), 3, &mut next_id, &mut actions);
/// assert_eq!(taken, Some(ConnectionId(1)));
/// ```
#[derive(Debug)]
pub struct ConnectionPool {
    config: PoolConfig,
    connections: FastMap<ConnectionId, ConnectionState>,
    /// Idle connections and since when, most recently used last.
    idle: VecDeque<(ConnectionId, Micros)>,
    opening: u32,
    /// Opens that failed in a row.
    failures: u32,
    retry_at: Micros,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(config: PoolConfig) -> Self {
        ConnectionPool {
            config,
            connections: FastMap::default(),
            idle: VecDeque::new(),
            opening: 0,
            failures: 0,
            retry_at: Micros::ZERO,
        }
    }

    /// Replaces the limits. Connections above a lower limit are closed by [`ConnectionPool::trim`] as
    /// they become idle.
    pub fn reconfigure(&mut self, config: PoolConfig) {
        self.config = config;
    }

    /// Takes the most recently used idle connection. Opens more, up to the limit and with identifiers
    /// from `next_id`, if `wanted` requests (this one included) need them.
    ///
    /// After a failed open nothing is opened for a while, then one connection at a time until one
    /// succeeds; see [`ConnectionPool::next_retry`].
    pub fn take(
        &mut self,
        now: Micros,
        wanted: u32,
        next_id: &mut u64,
        actions: &mut Vec<PoolAction>,
    ) -> Option<ConnectionId> {
        let taken = self.idle.pop_back().map(|(connection, _)| connection);
        let mut missing = wanted.max(1);
        if let Some(connection) = taken {
            self.connections.insert(connection, ConnectionState::Taken);
            missing -= 1;
        }
        let available = self.idle.len() as u32 + self.opening;
        let room = self.config.limit.saturating_sub(self.connections.len() as u32);
        let mut opens = missing.saturating_sub(available).min(room);
        if self.failures > 0 {
            let probe = now >= self.retry_at && self.opening == 0;
            opens = opens.min(u32::from(probe));
        }
        for _ in 0..opens {
            let connection = ConnectionId(*next_id);
            *next_id += 1;
            self.connections.insert(connection, ConnectionState::Opening);
            self.opening += 1;
            actions.push(PoolAction::Open(connection));
        }
        taken
    }

    /// A connection finished opening and is idle.
    pub fn opened(&mut self, now: Micros, connection: ConnectionId) {
        let state = self.connections.get_mut(&connection);
        if let Some(state) = state.filter(|state| **state == ConnectionState::Opening) {
            *state = ConnectionState::Idle;
            self.opening -= 1;
            self.failures = 0;
            self.idle.push_back((connection, now));
        }
    }

    /// Releases a connection, which becomes idle.
    pub fn release(&mut self, now: Micros, connection: ConnectionId) {
        let state = self.connections.get_mut(&connection);
        if let Some(state) = state.filter(|state| **state == ConnectionState::Taken) {
            *state = ConnectionState::Idle;
            self.idle.push_back((connection, now));
        }
    }

    /// Removes a connection that failed, was closed or must not be used again.
    pub fn remove(&mut self, now: Micros, connection: ConnectionId) {
        match self.connections.remove(&connection) {
            Some(ConnectionState::Opening) => {
                self.opening -= 1;
                let doubled = MIN_BACKOFF.0 << self.failures.min(10);
                self.retry_at = now + Micros(doubled).min(MAX_BACKOFF);
                self.failures += 1;
            }
            Some(ConnectionState::Idle) => self.idle.retain(|(idle, _)| *idle != connection),
            Some(ConnectionState::Taken) | None => {}
        }
    }

    /// Closes idle connections above the limit, and those above `retained` that were idle for
    /// `idle_timeout`, least recently used first.
    pub fn trim(&mut self, now: Micros, actions: &mut Vec<PoolAction>) {
        while let Some(&(connection, since)) = self.idle.front() {
            let count = self.connections.len() as u32;
            let surplus = count > self.config.retained && now >= since + self.config.idle_timeout;
            if !surplus && count <= self.config.limit {
                break;
            }
            self.idle.pop_front();
            self.connections.remove(&connection);
            actions.push(PoolAction::Close(connection));
        }
    }

    /// Returns when [`ConnectionPool::trim`] may have something to close next.
    pub fn next_trim(&self) -> Option<Micros> {
        let (_, since) = self.idle.front()?;
        let count = self.connections.len() as u32;
        if count > self.config.limit {
            return Some(Micros::ZERO);
        }
        (count > self.config.retained).then(|| *since + self.config.idle_timeout)
    }

    /// Returns when [`ConnectionPool::take`] opens connections again after failures; call it then if
    /// requests still wait.
    pub fn next_retry(&self) -> Option<Micros> {
        (self.failures > 0 && self.opening == 0).then_some(self.retry_at)
    }

    /// Returns the numbers of connections.
    pub fn stats(&self) -> PoolStats {
        let idle = self.idle.len() as u32;
        let taken = self.connections.len() as u32 - idle - self.opening;
        PoolStats { opening: self.opening, idle, taken }
    }
}
