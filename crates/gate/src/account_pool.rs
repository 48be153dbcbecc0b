//! Connections that each serve one account.
//!
//! A database learns the account of a connection when it opens. A request therefore runs only on a
//! connection of its account, and an account may need a new connection while others have idle ones.

use admit::SlotGrant;
use model::Name;

use crate::Gate;
use crate::event::ConnectionId;

impl Gate {
    /// Grants a slot to the next request for which a connection is idle.
    pub(crate) fn grant_next(&mut self, name: &Name) -> Option<SlotGrant> {
        let database = self.databases.get_mut(name)?;
        if database.peer.is_some() || self.table.accounts.is_none() {
            return database.queue.grant(self.now);
        }
        let connections = &self.connections;
        let idle = &database.idle;
        let has_idle = |caller: &Name| {
            idle.iter().any(|id| {
                let account = connections.get(id).map(|connection| &connection.account);
                account.is_some_and(|account| account.as_ref() == Some(caller))
            })
        };
        database.queue.grant_where(self.now, has_idle)
    }

    /// Returns the next account that waits without a connection, idle or being opened.
    pub(crate) fn unconnected_account(&self, name: &Name) -> Option<Name> {
        let database = self.databases.get(name)?;
        if database.peer.is_some() || self.table.accounts.is_none() {
            return None;
        }
        let is_served = |account: &Name| {
            database.connections.iter().any(|id| {
                let Some(connection) = self.connections.get(id) else { return false };
                connection.account.as_ref() == Some(account)
                    && (!connection.open || database.idle.contains(id))
            })
        };
        database.queue.waiting_callers().find(|account| !is_served(account)).cloned()
    }

    /// Returns the least recently used idle connection, preferably one whose account has no waiting
    /// requests.
    pub(crate) fn replaceable_connection(&self, name: &Name) -> Option<ConnectionId> {
        let database = self.databases.get(name)?;
        database.idle.iter().copied().min_by_key(|id| {
            let Some(connection) = self.connections.get(id) else { return (true, self.now) };
            let waits = database
                .queue
                .waiting_callers()
                .any(|account| Some(account) == connection.account.as_ref());
            (waits, connection.last_used)
        })
    }
}
