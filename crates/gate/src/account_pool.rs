//! Connections that each serve one account.
//!
//! A database learns the account of a connection when it opens. A request therefore runs only on a
//! connection of its account, and an account may need a new connection while others have idle ones.
//! Opening one takes a slot of the database for about 12 ms, as long as a statement, so the pool
//! avoids it where a connection of the account becomes free soon.
//!
//! [`PoolView`] holds the decisions: for which account a connection is opened, and which one is
//! closed for it. Requests without an account use connections without an account, which the view
//! calls the account `""`; no account has this name.

use admit::{SlotGrant, SlotQueue, WaitingCaller};
use model::{FastMap, FastSet, Micros, Name};

use crate::Gate;
use crate::event::ConnectionId;

/// Connections to one database that are opened at the same time. With four slots, half of them
/// execute statements meanwhile.
const MAX_OPENINGS: usize = 2;

/// As [`MAX_OPENINGS`], while every idle connection has a waiting request. Connections are then
/// exchanged between accounts that all have work, and each exchange costs a statement.
const MAX_CONTENDED_OPENINGS: usize = 1;

/// Age of a statement up to which its connection is expected to become free before a new one would
/// open: twice the time that a new connection takes of a slot.
const FREE_SOON_AGE: Micros = Micros::from_millis(25);

/// One opening in this many is for the account whose request has waited longest, whatever its rank.
/// The others follow the order of the queue, in which an urgent rank could take all of them.
const OLDEST_TURN_INTERVAL: u32 = 4;

/// Time for which no connection is opened for an account that the database refused.
const REFUSED_ACCOUNT_BACKOFF: Micros = Micros::from_millis(500);

/// Time constant with which the recorded use of an account decays: some hundreds of requests to one
/// database, enough to tell accounts apart that send every other second.
const USE_DECAY_TIME: Micros = Micros::from_secs(10);

/// Use below which an account is forgotten: one request a minute ago.
const MIN_USE: f64 = 0.0025;

/// Accounts whose use is recorded; further ones count as unused.
const MAX_RECORDED_ACCOUNTS: usize = 1_024;

/// What a connection does, as far as the pool needs to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PooledState {
    Opening,
    Idle {
        last_used: Micros,
    },
    /// Executes a command that was sent at this time.
    Busy {
        since: Micros,
    },
    /// In a transaction; it becomes free when its client ends it.
    Held,
}

#[derive(Clone, Copy, Debug)]
struct PooledConnection<'a> {
    id: ConnectionId,
    account: &'a str,
    state: PooledState,
}

/// Connections of one account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountCounts {
    opening: usize,
    idle: usize,
    free_soon: usize,
}

impl AccountCounts {
    fn expected(&self) -> usize {
        self.opening + self.free_soon
    }
}

/// Why a connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OpeningReason {
    /// No connection of the account is free or becomes free soon.
    Unconnected,
    /// More requests of the account wait than it has connections, and slots are free.
    Additional,
    /// As `Unconnected` or `Additional`, for the account that has waited longest.
    Oldest,
}

impl OpeningReason {
    const fn counter(self) -> &'static str {
        match self {
            OpeningReason::Unconnected => "account_links_opened_unconnected",
            OpeningReason::Additional => "account_links_opened_additional",
            OpeningReason::Oldest => "account_links_opened_oldest",
        }
    }
}

/// A connection to open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PoolOpening<'a> {
    account: &'a str,
    reason: OpeningReason,
    /// The idle connection to close for it.
    replaced: Option<ConnectionId>,
}

/// Recent requests of an account, each counted less the older it is.
#[derive(Clone, Copy, Debug)]
struct AccountUse {
    requests: f64,
    at: Micros,
}

impl AccountUse {
    fn value(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.at).0 as f64 / USE_DECAY_TIME.0 as f64;
        self.requests * (-age).exp()
    }
}

/// State of the pool of one database that outlives a decision.
#[derive(Debug, Default)]
pub(crate) struct AccountPool {
    /// A request of an account has been queued here.
    in_use: bool,
    openings: u32,
    /// Recent use of the accounts.
    usage: FastMap<Name, AccountUse>,
    /// When the database last refused an account.
    refused: FastMap<Name, Micros>,
}

impl AccountPool {
    pub(crate) fn mark_used(&mut self) {
        self.in_use = true;
    }

    /// Records a request of an account, whose connections are kept the longer the more it sends.
    pub(crate) fn record_use(&mut self, now: Micros, account: &str) {
        let requests = self.use_of(now, account) + 1.0;
        let recent = AccountUse { requests, at: now };
        if let Some(known) = self.usage.get_mut(account) {
            *known = recent;
            return;
        }
        if self.usage.len() >= MAX_RECORDED_ACCOUNTS {
            self.usage.retain(|_, recent| recent.value(now) >= MIN_USE);
        }
        if self.usage.len() < MAX_RECORDED_ACCOUNTS {
            self.usage.insert(account.into(), recent);
        }
    }

    fn use_of(&self, now: Micros, account: &str) -> f64 {
        self.usage.get(account).map_or(0.0, |recent| recent.value(now))
    }

    /// Records that the database refused a connection of an account.
    pub(crate) fn record_refusal(&mut self, now: Micros, account: Name) {
        self.refused.retain(|_, at| now < *at + REFUSED_ACCOUNT_BACKOFF);
        self.refused.insert(account, now);
    }

    fn is_refused(&self, now: Micros, account: &str) -> bool {
        self.refused.get(account).is_some_and(|at| now < *at + REFUSED_ACCOUNT_BACKOFF)
    }
}

/// Connections to one database that this node may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolLimits {
    /// Up to here, connections are opened without closing others.
    pub(crate) steady: usize,
    /// Up to here, connections are opened while every idle one has a waiting request, or none is idle.
    pub(crate) most: usize,
}

/// The connections to one database at one time.
#[derive(Debug)]
struct PoolView<'a> {
    now: Micros,
    limits: PoolLimits,
    connections: Vec<PooledConnection<'a>>,
    counts: FastMap<&'a str, AccountCounts>,
    openings: usize,
}

impl<'a> PoolView<'a> {
    fn new(now: Micros, limits: PoolLimits, connections: Vec<PooledConnection<'a>>) -> Self {
        let mut counts = FastMap::<&str, AccountCounts>::default();
        let mut openings = 0;
        for connection in &connections {
            let count = counts.entry(connection.account).or_default();
            match connection.state {
                PooledState::Opening => {
                    count.opening += 1;
                    openings += 1;
                }
                PooledState::Idle { .. } => count.idle += 1,
                PooledState::Busy { since } if now < since + FREE_SOON_AGE => count.free_soon += 1,
                PooledState::Busy { .. } | PooledState::Held => {}
            }
        }
        PoolView { now, limits, connections, counts, openings }
    }

    /// Chooses the next connection to open; `None` if none is needed, or none can be replaced.
    fn choose_opening<'q>(
        &self,
        queue: &'q SlotQueue,
        pool: &AccountPool,
    ) -> Option<PoolOpening<'q>> {
        if self.openings >= MAX_OPENINGS {
            return None;
        }
        let mut needed = queue.waiting_callers().enumerate().filter_map(|(place, caller)| {
            let account = account_of_caller(caller.name);
            let reason = self.needed_opening(queue, account, caller.requests)?;
            (!pool.is_refused(self.now, account)).then_some((place, caller, reason))
        });
        let oldest_turn = pool.openings % OLDEST_TURN_INTERVAL == OLDEST_TURN_INTERVAL - 1;
        let (place, caller, reason) = if oldest_turn {
            let (place, caller, _) = needed.min_by_key(|(_, caller, _)| caller.oldest)?;
            (place, caller, OpeningReason::Oldest)
        } else {
            needed.next()?
        };
        let replaced = if self.connections.len() < self.limits.steady {
            None
        } else {
            let place = if oldest_turn { None } else { Some(place) };
            match self.surplus_connection(queue, pool) {
                None if self.connections.len() < self.limits.most => None,
                None => Some(self.contended_connection(queue, place)?),
                surplus => surplus,
            }
        };
        Some(PoolOpening { account: account_of_caller(caller.name), reason, replaced })
    }

    /// Returns why an account with waiting requests needs another connection, if it does.
    fn needed_opening(
        &self,
        queue: &SlotQueue,
        account: &str,
        requests: usize,
    ) -> Option<OpeningReason> {
        let counts = self.counts.get(account).copied().unwrap_or_default();
        match counts.expected() {
            _ if counts.idle > 0 => None,
            0 => Some(OpeningReason::Unconnected),
            // Without a free slot, more connections would not make the account faster.
            expected if requests > expected && queue.has_free_slot() => {
                Some(OpeningReason::Additional)
            }
            _ => None,
        }
    }

    /// Returns the idle connection for which no request waits and whose account has the least use; among
    /// equals the least recently used one. The more connections an account has, the more rarely it
    /// needs the last one, so its use is divided by the square of their number.
    fn surplus_connection(&self, queue: &SlotQueue, pool: &AccountPool) -> Option<ConnectionId> {
        let idle = self.connections.iter().filter_map(|connection| match connection.state {
            PooledState::Idle { last_used } => Some((last_used, connection)),
            _ => None,
        });
        let surplus = idle.filter(|(_, connection)| {
            let counts = self.counts.get(connection.account).copied().unwrap_or_default();
            counts.idle > queue.waiting_of(connection.account)
        });
        let least_used = surplus.min_by(|(last_used, connection), (other_last_used, other)| {
            let use_of = |connection: &PooledConnection<'_>| {
                let counts = self.counts.get(connection.account).copied().unwrap_or_default();
                let connections = (counts.idle + counts.expected()).max(1);
                pool.use_of(self.now, connection.account) / connections.pow(2) as f64
            };
            let order = use_of(connection).total_cmp(&use_of(other));
            order.then(last_used.cmp(other_last_used))
        });
        least_used.map(|(_, connection)| connection.id)
    }

    /// Returns the idle connection whose account is served last, of those after a place in the
    /// queue's order.
    fn contended_connection(
        &self,
        queue: &SlotQueue,
        after: Option<usize>,
    ) -> Option<ConnectionId> {
        if self.openings >= MAX_CONTENDED_OPENINGS {
            return None;
        }
        let mut places = FastMap::<&str, usize>::default();
        for (place, WaitingCaller { name, .. }) in queue.waiting_callers().enumerate() {
            places.entry(account_of_caller(name)).or_insert(place);
        }
        let replaceable = self.connections.iter().filter_map(|connection| {
            let PooledState::Idle { .. } = connection.state else { return None };
            let place = places.get(connection.account).copied().unwrap_or(usize::MAX);
            after.is_none_or(|after| place > after).then_some((place, connection.id))
        });
        replaceable.max_by_key(|(place, _)| *place).map(|(_, id)| id)
    }
}

/// Returns the name under which a request waits. Names of accounts contain no blank, so a session
/// is never taken for an account. While accounts are in use, all requests without one count as one
/// caller, so that many unknown clients together get the part of one account.
pub(crate) fn caller_name(account: Option<&Name>, session: u64, has_accounts: bool) -> Name {
    match account {
        Some(account) => account.clone(),
        None if has_accounts => Name::default(),
        None => Name::from(format!("session {session}")),
    }
}

/// Returns the account of a caller, empty for none.
fn account_of_caller(caller: &str) -> &str {
    if caller.contains(' ') { "" } else { caller }
}

impl Gate {
    /// Returns true if connections to the database are told apart by account. This holds as well at
    /// an owner without accounts, if a node with a newer configuration forwards requests of some.
    pub(crate) fn pools_accounts(&self, name: &Name) -> bool {
        self.databases.get(name).is_some_and(|database| {
            database.peer.is_none() && (self.table.accounts.is_some() || database.pool.in_use)
        })
    }

    /// Grants a slot to the next request for which a connection is idle.
    pub(crate) fn grant_next(&mut self, name: &Name) -> Option<SlotGrant> {
        let pools_accounts = self.pools_accounts(name);
        let database = self.databases.get_mut(name)?;
        if !pools_accounts {
            return database.queue.grant(self.now);
        }
        let connections = &self.connections;
        let idle = database.idle.iter().filter_map(|id| connections.get(id));
        let idle: FastSet<&str> = idle.map(|connection| connection.account_name()).collect();
        database.queue.grant_where(self.now, |caller| idle.contains(account_of_caller(caller)))
    }

    /// Opens connections for the accounts that need them, within a limit for all of them.
    pub(crate) fn open_account_connections(&mut self, name: &Name, limits: PoolLimits) {
        while let Some((account, reason, replaced)) = self.next_opening(name, limits) {
            if let Some(replaced) = replaced {
                self.count("account_links_replaced");
                self.close_connection(replaced, "replaced by a connection of another account");
            }
            if let Some(database) = self.databases.get_mut(name) {
                database.pool.openings = database.pool.openings.wrapping_add(1);
            }
            self.count(reason.counter());
            self.open_connection(name, account);
        }
    }

    fn next_opening(
        &self,
        name: &Name,
        limits: PoolLimits,
    ) -> Option<(Option<Name>, OpeningReason, Option<ConnectionId>)> {
        let database = self.databases.get(name)?;
        // Nothing waits if nothing can expire.
        database.queue.next_expiry()?;
        let connections = database.connections.iter().filter_map(|id| {
            let connection = self.connections.get(id)?;
            let state = if !connection.open {
                PooledState::Opening
            } else if connection.transaction_session.is_some() {
                PooledState::Held
            } else if let Some(pending) = connection.pending.front() {
                PooledState::Busy { since: pending.sent }
            } else {
                PooledState::Idle { last_used: connection.last_used }
            };
            Some(PooledConnection { id: *id, account: connection.account_name(), state })
        });
        let view = PoolView::new(self.now, limits, connections.collect());
        let opening = view.choose_opening(&database.queue, &database.pool)?;
        let account = Some(opening.account).filter(|account| !account.is_empty());
        Some((account.map(Name::from), opening.reason, opening.replaced))
    }
}
