//! Databases of the clusters, other nodes that serve in their place, and the connections to both.

use std::collections::{BTreeMap, VecDeque};

use admit::{QueueConfig, SlotQueue};
use model::{FastMap, Micros, Name, RankConfig, RankMap, Term};

use crate::account_pool::AccountPool;
use crate::backend::{BackendCommand, DatabaseReport, TermPosition};
use crate::event::{ConnectionId, ListedDatabase, SessionId};
use crate::log_comparison::ReportedLog;
use crate::request::RequestId;
use crate::responsiveness::Responsiveness;
use crate::statement::StatementAccess;

/// Minimum shares of the ranks in percent of slot time, and their queue limits. The shares are
/// those of the project's example configuration.
pub(crate) const RANKS: RankMap<RankConfig> = RankMap([
    RankConfig { floor_percent: 0, queue_limit: 256 },
    RankConfig { floor_percent: 20, queue_limit: 256 },
    RankConfig { floor_percent: 10, queue_limit: 256 },
]);

/// Silence of a database after which new requests go elsewhere: far longer than a round trip
/// between data centres, and exceeded by a queue of 16 statements only in rare cases.
pub(crate) const UNRESPONSIVE_TIMEOUT: Micros = Micros::from_millis(350);

/// Silence of another node after which another connection to it is opened as a probe, because its
/// requests may wait in a queue for longer. The time left until [`UNRESPONSIVE_TIMEOUT`] is for the
/// answer.
const PEER_PROBE_DELAY: Micros = Micros::from_millis(150);

/// Requests that all nodes together send to a database per statement that it executes concurrently.
const SENT_PER_SLOT: u32 = 2;

/// Slots per additional request that the only node of a database sends, so that a free slot has its
/// next request at once. A round trip is short compared with a statement.
const SLOTS_PER_EXTRA_REQUEST: u32 = 4;

/// The nodes together use one part in this many of a database's connections in a steady state.
/// After all VMs lose power, the databases keep the old connections for seconds, and the new
/// processes need the other half.
const STEADY_SHARE_DIVISOR: u32 = 2;

/// Time after a refusal for the connection limit in which a node keeps to its equal share.
const LIMIT_REFUSAL_TTL: Micros = Micros::from_millis(1_000);

/// Time for which an applied position is considered current; a replica that catches up passes it.
const APPLIED_POSITION_TTL: Micros = Micros::from_millis(150);

/// Connections beyond the equal share that a node opens while the database has free ones.
const EXTRA_CONNECTIONS: u32 = 3;

/// As [`EXTRA_CONNECTIONS`], where the share itself is several connections.
const LARGE_SHARE_EXTRA_CONNECTIONS: u32 = 2;

/// A database, with its listed properties and its state as this node sees it.
#[derive(Debug)]
pub(crate) struct Database {
    /// Set if this entry stands for another node that serves one client database.
    pub(crate) peer: Option<Name>,
    /// Version of the protocol between nodes that this node accepts.
    pub(crate) peer_protocol: u32,
    pub(crate) listed: ListedDatabase,
    /// Since when the entry has been missing from the list.
    pub(crate) unlisted_since: Option<Micros>,
    /// Since when the database has been leaving.
    pub(crate) leaving_since: Option<Micros>,
    pub(crate) queue: SlotQueue,
    /// Requests that this node sends concurrently.
    slots: u32,
    /// Open connections and those being opened.
    pub(crate) connections: Vec<ConnectionId>,
    pub(crate) idle: Vec<ConnectionId>,
    pub(crate) opening: u32,
    pub(crate) pool: AccountPool,
    pub(crate) report: Option<DatabaseReport>,
    pub(crate) last_report_at: Option<Micros>,
    /// When the last report was requested, if it is of a replica of the current term without a fence
    /// above it.
    pub(crate) unfenced_at: Option<Micros>,
    pub(crate) reported_log: ReportedLog,
    pub(crate) applied: Option<TermPosition>,
    pub(crate) applied_at: Micros,
    /// When a connection was last refused for the connection limit.
    pub(crate) limit_refused_at: Option<Micros>,
    /// Since when an attempt to reach the database has been unanswered.
    pub(crate) attempt_unanswered_since: Option<Micros>,
    pub(crate) last_answer: Option<Micros>,
    /// When an entry that stands for another node was created.
    pub(crate) created: Micros,
    /// When a command was last answered; opening a connection does not count.
    pub(crate) last_command_answer: Option<Micros>,
    /// When a statement was sent whose answer is overdue, with no answer to any command since.
    pub(crate) overdue_since: Option<Micros>,
    pub(crate) responsiveness: Responsiveness,
    pub(crate) open_retry_at: Micros,
    pub(crate) open_failures: u32,
    /// When the report in flight was requested.
    pub(crate) report_requested_at: Option<Micros>,
    pub(crate) report_wanted: bool,
    pub(crate) dispatch_state: DispatchState,
}

/// Whether queued requests are being sent to a database at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum DispatchState {
    #[default]
    Inactive,
    Active,
    /// Another dispatch was requested in the meantime.
    Requested,
}

impl Database {
    pub(crate) fn new(listed: ListedDatabase) -> Self {
        Database {
            peer: None,
            peer_protocol: 0,
            listed,
            unlisted_since: None,
            leaving_since: None,
            queue: SlotQueue::new(QueueConfig { slots: 1, ranks: RANKS }),
            slots: 1,
            connections: Vec::new(),
            idle: Vec::new(),
            opening: 0,
            pool: AccountPool::default(),
            report: None,
            last_report_at: None,
            unfenced_at: None,
            reported_log: ReportedLog::default(),
            applied: None,
            applied_at: Micros::ZERO,
            limit_refused_at: None,
            attempt_unanswered_since: None,
            last_answer: None,
            created: Micros::ZERO,
            last_command_answer: None,
            overdue_since: None,
            responsiveness: Responsiveness::default(),
            open_retry_at: Micros::ZERO,
            open_failures: 0,
            report_requested_at: None,
            report_wanted: false,
            dispatch_state: DispatchState::default(),
        }
    }

    /// Returns true if session values and prepared statements can be cleared on a connection.
    pub(crate) fn has_reset(&self) -> bool {
        self.peer.is_none() || self.peer_protocol > 0
    }

    /// Returns true if the entry stands for a node that accepts the identity of callers.
    pub(crate) fn takes_caller(&self) -> bool {
        self.peer.is_some() && self.peer_protocol > 1
    }

    /// Returns true if the first statement of a transaction can be sent together with `BEGIN`: it
    /// does not run if `BEGIN` is refused. Databases run it outside a transaction then.
    pub(crate) fn takes_first_statement_with_begin(&self) -> bool {
        self.peer.is_some() && self.peer_protocol > 0
    }

    /// Returns true if new requests may be sent here.
    pub(crate) fn is_usable(&self, now: Micros) -> bool {
        self.unlisted_since.is_none() && self.is_responsive(now)
    }

    pub(crate) fn is_responsive(&self, now: Micros) -> bool {
        self.unanswered_since().is_none_or(|since| now < since + UNRESPONSIVE_TIMEOUT)
    }

    /// Returns true if the entry stands for another node whose answers are late, so that it should
    /// be probed.
    pub(crate) fn wants_probe(&self, now: Micros) -> bool {
        self.peer.is_some()
            && self.opening == 0
            && now >= self.open_retry_at
            && self.unanswered_since().is_some_and(|since| now >= since + PEER_PROBE_DELAY)
    }

    /// Returns since when an attempt to reach the database, or a statement, has been unanswered.
    pub(crate) fn unanswered_since(&self) -> Option<Micros> {
        match (self.attempt_unanswered_since, self.overdue_since) {
            (Some(attempt), Some(overdue)) => Some(attempt.min(overdue)),
            (attempt, overdue) => attempt.or(overdue),
        }
    }

    /// Sets how many requests this node sends concurrently, outside transactions.
    ///
    /// Nodes that share a database together send twice what it executes concurrently, so that no
    /// slot waits for a node. A node that has the database for itself sends little more than it
    /// executes. The remaining requests wait here, in the order of ranks.
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

    /// Returns the requests that this node sends concurrently, outside transactions.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns true if the passing of time alone may allow a command or a new connection.
    pub(crate) fn needs_dispatch(&self) -> bool {
        let has_waiting = self.queue.stats().waiting.0.iter().any(|waiting| *waiting > 0);
        has_waiting || self.report_wanted || self.connections.is_empty()
    }

    /// Returns the number of requests that wait or run.
    pub(crate) fn load(&self) -> u32 {
        let waiting: u32 = self.queue.stats().waiting.0.iter().sum();
        let busy = self.connections.len() - self.idle.len();
        waiting + u32::try_from(busy).unwrap_or(u32::MAX).saturating_sub(self.opening)
    }

    /// Returns how many connections this node may have, given its share in a steady state.
    pub(crate) fn connection_limit(&self, now: Micros, share: u32) -> u32 {
        let extra = if share > 1 { LARGE_SHARE_EXTRA_CONNECTIONS } else { EXTRA_CONNECTIONS };
        if self.is_at_connection_limit(now) { share } else { share + extra }
    }

    /// Returns true if a connection was refused for the connection limit recently.
    pub(crate) fn is_at_connection_limit(&self, now: Micros) -> bool {
        self.limit_refused_at.is_some_and(|at| now < at + LIMIT_REFUSAL_TTL)
    }

    /// Returns true if this node has no connection to the database and will not get one soon.
    pub(crate) fn has_no_connection(&self, now: Micros) -> bool {
        self.is_at_connection_limit(now) && self.connections.len() == self.opening as usize
    }

    /// Returns true if the database lacked the position recently, so that it probably still does.
    pub(crate) fn lacks_position(&self, now: Micros, position: Option<TermPosition>) -> bool {
        now < self.applied_at + APPLIED_POSITION_TTL
            && self.applied.is_some_and(|applied| Some(applied) < position)
    }

    /// Returns the expected time of a further request compared with other databases, by slowness,
    /// load and failures.
    pub(crate) fn expected_cost(&self, now: Micros, load: u32) -> u64 {
        let estimate = &self.responsiveness;
        let weight = estimate.failure_weight_percent(now);
        estimate.slowness(now, load) * u64::from(load + 1) * weight / 100
    }

    /// Records an attempt that needs an answer.
    pub(crate) fn record_attempt(&mut self, now: Micros) {
        self.attempt_unanswered_since.get_or_insert(now);
    }
}

/// Returns the number of connections that each node may keep open: one if there are fewer than
/// nodes.
pub(crate) fn steady_share(connections: u32, nodes: u32) -> u32 {
    (connections / STEADY_SHARE_DIVISOR / nodes.max(1)).max(1)
}

/// Why a command was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandPurpose {
    Setup,
    Begin(RequestId),
    Run(RequestId),
    Rollback,
    Report,
    Fence,
    /// Lifts a fence. The promotion lease is kept until the command is answered.
    Unfence,
    Demote,
    /// Requests tokens from another node.
    Allot,
    /// The answer needs no handling.
    Control,
}

/// A command that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCommand {
    pub(crate) purpose: CommandPurpose,
    pub(crate) sent: Micros,
}

/// A connection to a database or to another node.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub(crate) database: Name,
    pub(crate) cluster: Name,
    /// The account that the connection serves; a database learns it when the connection opens.
    pub(crate) account: Option<Name>,
    pub(crate) open: bool,
    /// When the connection was requested.
    pub(crate) opened_at: Micros,
    /// When it was open.
    pub(crate) established_at: Option<Micros>,
    /// Term and applied position that the database had shown as the leader when the connection was
    /// requested.
    pub(crate) leader_position: Option<(Term, TermPosition)>,
    pub(crate) pending: VecDeque<PendingCommand>,
    /// The session whose transaction is open here.
    pub(crate) transaction_session: Option<SessionId>,
    /// The connection's state is unknown; it is closed when nothing is in flight.
    pub(crate) close_when_idle: bool,
    pub(crate) last_used: Micros,
    values: BTreeMap<Name, Name>,
    prepared: FastMap<(StatementAccess, Name), Name>,
    prepared_count: u64,
    /// Size of the values and prepared statements.
    state_bytes: usize,
}

/// Size of the values and prepared statements above which an idle connection is closed, since it may be the last holder
/// of them. Ordinary sessions keep some hundred bytes.
const IDLE_STATE_BYTES: usize = 64 * 1024;

/// Size of the values and prepared statements at which a connection is reset before its next use: twice what a session may
/// keep by default.
const RESET_STATE_BYTES: usize = 4 * 1024 * 1024;

/// Number of prepared statements at which a connection is reset before its next use.
const PREPARED_LIMIT: usize = 256;

impl BackendConnection {
    pub(crate) fn new(database: Name, cluster: Name, account: Option<Name>, now: Micros) -> Self {
        BackendConnection {
            database,
            cluster,
            account,
            open: false,
            opened_at: now,
            established_at: None,
            leader_position: None,
            pending: VecDeque::new(),
            transaction_session: None,
            close_when_idle: false,
            last_used: now,
            values: BTreeMap::new(),
            prepared: FastMap::default(),
            prepared_count: 0,
            state_bytes: 0,
        }
    }

    /// Returns the name of the account, empty for none.
    pub(crate) fn account_name(&self) -> &str {
        self.account.as_deref().unwrap_or_default()
    }

    /// Returns true if a session's values can be applied without a reset.
    pub(crate) fn can_adopt_without_reset(&self, values: &BTreeMap<Name, Name>) -> bool {
        self.values.keys().all(|name| values.contains_key(name))
    }

    /// Returns the number of values to set, with a penalty if a reset is needed.
    pub(crate) fn adoption_cost(&self, values: &BTreeMap<Name, Name>) -> usize {
        let differing = values.iter().filter(|(name, value)| self.values.get(*name) != Some(value));
        let reset = if self.can_adopt_without_reset(values) { 0 } else { values.len() + 1 };
        differing.count() + reset
    }

    /// Returns the commands that give the connection exactly the session's values.
    pub(crate) fn adopt_values(&mut self, values: &BTreeMap<Name, Name>) -> Vec<BackendCommand> {
        let mut commands = Vec::new();
        if !self.can_adopt_without_reset(values) || self.is_full() {
            self.values.clear();
            self.prepared.clear();
            self.state_bytes = 0;
            commands.push(BackendCommand::Reset);
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                let old = self.values.insert(name.clone(), value.clone());
                self.state_bytes += name.len() + value.len();
                self.state_bytes -= old.map_or(0, |old| name.len() + old.len());
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
        self.state_bytes += shape.len();
        commands.push(BackendCommand::Prepare { name: name.clone(), access, shape: shape.clone() });
        name
    }

    /// Returns true if the connection needs a reset before another session can use it.
    pub(crate) fn needs_reset(&self) -> bool {
        !self.values.is_empty() || self.is_full()
    }

    fn is_full(&self) -> bool {
        self.prepared.len() >= PREPARED_LIMIT || self.state_bytes >= RESET_STATE_BYTES
    }

    /// Returns true if the connection keeps too much for one that nobody uses.
    pub(crate) fn keeps_large_state(&self) -> bool {
        self.state_bytes > IDLE_STATE_BYTES
    }

    /// Removes all prepared statements, because the database does not have them any more.
    pub(crate) fn clear_prepared(&mut self) {
        let prepared: usize = self.prepared.keys().map(|(_, shape)| shape.len()).sum();
        self.state_bytes = self.state_bytes.saturating_sub(prepared);
        self.prepared.clear();
    }
}
