//! Databases of the clusters and the connections to them.

use std::collections::{BTreeMap, VecDeque};

use admit::{QueueConfig, SlotQueue};
use model::{FastMap, Micros, Name, RankConfig, RankMap};

use crate::backend::{BackendCommand, DatabaseReport, LogPoint};
use crate::event::{LinkId, ListedDatabase, SessionId};
use crate::request::WorkId;
use crate::route::RouteConfig;
use crate::statement::StatementAccess;

/// Shares of the ranks in percent of slot time, and waiting requests for each. The floors are those of
/// the project's own example configuration.
pub(crate) const RANKS: RankMap<RankConfig> = RankMap([
    RankConfig { floor_percent: 0, queue_limit: 256 },
    RankConfig { floor_percent: 20, queue_limit: 256 },
    RankConfig { floor_percent: 10, queue_limit: 256 },
]);

/// Silence of a database after which new requests go elsewhere. Far above a round trip between data
/// centres, below what a queue of 16 statements takes only in rare cases.
pub(crate) const UNRESPONSIVE_TIMEOUT: Micros = Micros::from_millis(350);

/// Silence of another node after which a further connection to it is opened to see whether it answers. Its
/// requests may wait in a queue for longer. What is left until [`UNRESPONSIVE_TIMEOUT`] is the time for the answer.
const PEER_PROBE_DELAY: Micros = Micros::from_millis(150);

/// Requests that all nodes together send to a database for each statement that it executes at once.
const SENT_PER_SLOT: u32 = 2;

/// Slots for each further request that the only node of a database sends, so that a slot that becomes free has
/// the next request at once: a round trip is a small part of a statement.
const SLOTS_PER_EXTRA_REQUEST: u32 = 4;

/// Part of a database's connections that the nodes use together in a steady state. After all VMs lost power
/// the databases keep the old connections for seconds, and the new processes need the other half.
const STEADY_SHARE_DIVISOR: u32 = 2;

/// Time after a refusal for the limit in which a node keeps to its equal share.
const LIMIT_REFUSAL_TTL: Micros = Micros::from_millis(1_000);

/// Time for which an applied position is believed; a replica that catches up gains on it.
const APPLIED_POSITION_TTL: Micros = Micros::from_millis(150);

/// Connections beyond the equal share that a node opens while the database has spare ones.
const EXTRA_CONNECTIONS: u32 = 3;

/// The same where the share itself is several connections.
const LARGE_SHARE_EXTRA_CONNECTIONS: u32 = 2;

/// Time since its last answer for which a database counts as going on: several statements of the slowest kind.
const PROGRESS_TIMEOUT: Micros = Micros::from_millis(150);

/// Part of an expected wait that is added to it, as statements take unevenly long.
const WAIT_MARGIN_DIVISOR: u64 = 3;

/// Time in which an estimate without new answers halves, so that a database that was slow is tried again.
const LATENCY_HALF_LIFE: Micros = Micros::from_millis(400);

/// Least estimate; below it differences come from the network.
const LATENCY_MIN: Micros = Micros::from_millis(2);

/// Smoothed time from sending a statement to its answer, the database's own queue included.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyEstimate {
    smoothed: Micros,
    observed: Micros,
}

impl LatencyEstimate {
    /// Rises faster than it falls: a queue that builds up matters at once.
    pub(crate) fn observe(&mut self, now: Micros, sample: Micros) {
        let current = self.value(now);
        self.smoothed = if sample > current {
            Micros(current.0 + (sample.0 - current.0) / 4)
        } else {
            Micros(current.0 - (current.0 - sample.0) / 8)
        };
        self.observed = now;
    }

    pub(crate) fn value(&self, now: Micros) -> Micros {
        let idle = now.saturating_sub(self.observed).0 / LATENCY_HALF_LIFE.0;
        Micros(self.smoothed.0 >> idle.min(20)).max(LATENCY_MIN)
    }
}

/// A database, as listed and as found.
#[derive(Debug)]
pub(crate) struct Database {
    /// Set if this stands for another node that serves one client database.
    pub(crate) peer: Option<Name>,
    pub(crate) listed: ListedDatabase,
    /// Since when the entry is gone, if it is.
    pub(crate) unlisted: Option<Micros>,
    /// Since when it is leaving.
    pub(crate) leaving_since: Option<Micros>,
    pub(crate) queue: SlotQueue,
    /// Requests that this node sends at once.
    slots: u32,
    /// Open connections and those being opened.
    pub(crate) connections: Vec<LinkId>,
    pub(crate) idle: Vec<LinkId>,
    pub(crate) opening: u32,
    pub(crate) report: Option<DatabaseReport>,
    pub(crate) reported: Option<Micros>,
    pub(crate) applied: Option<LogPoint>,
    pub(crate) applied_at: Micros,
    /// When it last refused a connection for its limit.
    pub(crate) limit_refused_at: Option<Micros>,
    /// Since when an attempt to reach it is without an answer.
    pub(crate) trying_since: Option<Micros>,
    pub(crate) answered: Option<Micros>,
    /// When an entry that stands for a node was made.
    pub(crate) chosen: Micros,
    /// When it last answered a command; opening a connection is none.
    pub(crate) command_answered: Option<Micros>,
    /// When a statement was sent whose answer is overdue, with no answer to any command since.
    pub(crate) overdue_since: Option<Micros>,
    pub(crate) latency: LatencyEstimate,
    pub(crate) retry_open: Micros,
    pub(crate) open_failures: u32,
    /// When the report in flight was asked for.
    pub(crate) report_requested_at: Option<Micros>,
    pub(crate) report_wanted: bool,
}

impl Database {
    pub(crate) fn new(listed: ListedDatabase) -> Self {
        Database {
            peer: None,
            listed,
            unlisted: None,
            leaving_since: None,
            queue: SlotQueue::new(QueueConfig { slots: 1, ranks: RANKS }),
            slots: 1,
            connections: Vec::new(),
            idle: Vec::new(),
            opening: 0,
            report: None,
            reported: None,
            applied: None,
            applied_at: Micros::ZERO,
            limit_refused_at: None,
            trying_since: None,
            answered: None,
            chosen: Micros::ZERO,
            command_answered: None,
            overdue_since: None,
            latency: LatencyEstimate::default(),
            retry_open: Micros::ZERO,
            open_failures: 0,
            report_requested_at: None,
            report_wanted: false,
        }
    }

    /// Tells whether new requests may be sent here.
    pub(crate) fn is_usable(&self, now: Micros) -> bool {
        self.unlisted.is_none() && self.is_responsive(now)
    }

    pub(crate) fn is_responsive(&self, now: Micros) -> bool {
        self.unanswered_since().is_none_or(|since| now < since + UNRESPONSIVE_TIMEOUT)
    }

    /// Tells whether it stands for another node that owes answers and should be probed.
    pub(crate) fn wants_probe(&self, now: Micros) -> bool {
        self.peer.is_some()
            && self.opening == 0
            && now >= self.retry_open
            && self.unanswered_since().is_some_and(|since| now >= since + PEER_PROBE_DELAY)
    }

    /// Returns since when attempts to reach it or statements are without an answer.
    pub(crate) fn unanswered_since(&self) -> Option<Micros> {
        match (self.trying_since, self.overdue_since) {
            (Some(trying), Some(overdue)) => Some(trying.min(overdue)),
            (trying, overdue) => trying.or(overdue),
        }
    }

    /// Sets how many requests this node sends at once, outside transactions. Nodes that share a database
    /// together send twice what executes at once, so that no slot waits for a node; one that has it for itself
    /// sends little more than executes. The rest waits here, in the order of ranks.
    pub(crate) fn set_concurrency(&mut self, nodes: u32) {
        let executed = self.listed.slots.max(1);
        let slots = if nodes <= 1 && self.peer.is_none() {
            executed + executed.div_ceil(SLOTS_PER_EXTRA_REQUEST)
        } else {
            (executed * SENT_PER_SLOT).div_ceil(nodes.max(1)) + 1
        };
        if slots != self.slots {
            self.slots = slots;
            self.queue.reconfigure(QueueConfig { slots, ranks: RANKS });
        }
    }

    /// Tells whether time alone may let it send something or open a connection.
    pub(crate) fn needs_dispatch(&self) -> bool {
        let waits = self.queue.stats().waiting.0.iter().any(|waiting| *waiting > 0);
        waits || self.report_wanted || self.connections.is_empty()
    }

    /// Returns the requests that wait or run.
    pub(crate) fn load(&self) -> u32 {
        let waiting: u32 = self.queue.stats().waiting.0.iter().sum();
        let busy = self.connections.len() - self.idle.len();
        waiting + u32::try_from(busy).unwrap_or(u32::MAX).saturating_sub(self.opening)
    }

    /// Returns how many connections this node may have, given its share in a steady state.
    pub(crate) fn connection_limit(&self, now: Micros, share: u32) -> u32 {
        let extra = if share > 1 { LARGE_SHARE_EXTRA_CONNECTIONS } else { EXTRA_CONNECTIONS };
        if self.is_full(now) { share } else { share + extra }
    }

    /// Tells whether it refused a connection for its limit a short while ago.
    pub(crate) fn is_full(&self, now: Micros) -> bool {
        self.limit_refused_at.is_some_and(|at| now < at + LIMIT_REFUSAL_TTL)
    }

    /// Tells whether it has no connection for this node and will not get one soon.
    pub(crate) fn has_no_connection(&self, now: Micros) -> bool {
        self.is_full(now) && self.connections.len() == self.opening as usize
    }

    /// Tells whether it was found to lack a position, recently enough to believe it still does.
    pub(crate) fn lacks(&self, now: Micros, point: Option<LogPoint>) -> bool {
        now < self.applied_at + APPLIED_POSITION_TTL
            && self.applied.is_some_and(|applied| Some(applied) < point)
    }

    /// Tells whether a further request of a route would wait too long for its latency objective although the
    /// database goes on answering. While it does not, requests wait: what comes next is not known.
    pub(crate) fn is_overloaded(&self, now: Micros, route: &RouteConfig) -> bool {
        let moving = self.command_answered.is_some_and(|at| now < at + PROGRESS_TIMEOUT);
        if self.peer.is_some() || !moving {
            return false;
        }
        let wait = self.queue.expected_wait(now, route.rank);
        let service = self.queue.service_time(&route.name);
        wait + Micros(wait.0 / WAIT_MARGIN_DIVISOR) + service > route.target && wait > service
    }

    /// Returns the time that a further request may expect to take.
    pub(crate) fn expected_time(&self, now: Micros) -> Micros {
        Micros(self.latency.value(now).0 * u64::from(self.load() + 1))
    }

    /// Notes an attempt that needs an answer.
    pub(crate) fn attempt(&mut self, now: Micros) {
        self.trying_since.get_or_insert(now);
    }
}

/// Returns the connections that each node may keep open: one if there are fewer than nodes.
pub(crate) fn steady_share(connections: u32, nodes: u32) -> u32 {
    (connections / STEADY_SHARE_DIVISOR / nodes.max(1)).max(1)
}

/// What a command on a connection was sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandPurpose {
    Setup,
    Begin(WorkId),
    Run(WorkId),
    Rollback,
    Report,
    Fence,
    /// Lifts a fence; the duty is kept until it is answered.
    Unfence,
    Demote,
    Control,
}

/// A command without an answer yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCommand {
    pub(crate) purpose: CommandPurpose,
    pub(crate) sent: Micros,
}

/// A connection to a database.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub(crate) database: Name,
    pub(crate) cluster: Name,
    pub(crate) open: bool,
    pub(crate) opened_at: Micros,
    pub(crate) pending: VecDeque<PendingCommand>,
    /// The session whose transaction is open here.
    pub(crate) transaction_session: Option<SessionId>,
    /// The connection's state is in doubt; it is closed once nothing is in flight.
    pub(crate) close_when_idle: bool,
    pub(crate) used: Micros,
    values: BTreeMap<Name, Name>,
    prepared: FastMap<(StatementAccess, Name), Name>,
    prepared_count: u64,
}

/// Prepared statements that are kept on one connection before it is reset.
const PREPARED_LIMIT: usize = 256;

impl BackendConnection {
    pub(crate) fn new(database: Name, cluster: Name, now: Micros) -> Self {
        BackendConnection {
            database,
            cluster,
            open: false,
            opened_at: now,
            pending: VecDeque::new(),
            transaction_session: None,
            close_when_idle: false,
            used: now,
            values: BTreeMap::new(),
            prepared: FastMap::default(),
            prepared_count: 0,
        }
    }

    /// Tells whether a session's values can be set without a reset.
    pub(crate) fn can_adopt_without_reset(&self, values: &BTreeMap<Name, Name>) -> bool {
        self.values.keys().all(|name| values.contains_key(name))
    }

    /// Returns the number of values that differ from the session's.
    pub(crate) fn adoption_cost(&self, values: &BTreeMap<Name, Name>) -> usize {
        let differing = values.iter().filter(|(name, value)| self.values.get(*name) != Some(value));
        let reset = if self.can_adopt_without_reset(values) { 0 } else { values.len() + 1 };
        differing.count() + reset
    }

    /// Returns the commands that give the connection exactly the session's values.
    pub(crate) fn adopt_values(&mut self, values: &BTreeMap<Name, Name>) -> Vec<BackendCommand> {
        let mut commands = Vec::new();
        if !self.can_adopt_without_reset(values) || self.prepared.len() >= PREPARED_LIMIT {
            self.values.clear();
            self.prepared.clear();
            commands.push(BackendCommand::Reset);
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                commands.push(BackendCommand::Set { name: name.clone(), value: value.clone() });
            }
        }
        commands
    }

    /// Returns the connection's name for a prepared statement, preparing it if necessary.
    pub(crate) fn prepare(
        &mut self,
        access: StatementAccess,
        shape: &Name,
        commands: &mut Vec<BackendCommand>,
    ) -> Name {
        if let Some(name) = self.prepared.get(&(access, shape.clone())) {
            return name.clone();
        }
        self.prepared_count += 1;
        let name = Name::from(format!("p{}", self.prepared_count));
        self.prepared.insert((access, shape.clone()), name.clone());
        commands.push(BackendCommand::Prepare { name: name.clone(), access, shape: shape.clone() });
        name
    }

    /// Tells whether the connection cannot be given the state of any session again: another node has no
    /// command that clears it.
    pub(crate) fn needs_reset(&self) -> bool {
        !self.values.is_empty() || self.prepared.len() >= PREPARED_LIMIT
    }

    /// Forgets the prepared statements, which the database no longer knows.
    pub(crate) fn clear_prepared(&mut self) {
        self.prepared.clear();
    }
}
