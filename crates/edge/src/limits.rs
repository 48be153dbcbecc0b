//! Limits on what clients and other nodes may take of the process, and the decisions that keep to them.
//!
//! Nothing here knows sockets or a clock: the I/O driver describes each connection by a [`ClientActivity`] and asks
//! whether to accept, to read on, or to close.

use gate::{SessionMemory, SessionOrigin};
use model::{MemoryBudget, Micros};

/// Input that a connection may always hold, also when the budget is used up. Ordinary requests are shorter, and
/// 4,000 clients of the smallest node with requests of a usual size hold far less.
pub(crate) const FREE_INPUT_BYTES: usize = 16 * 1024;

/// Unwritten output at which the next request of a connection is not begun: less than a client's kernel buffers, so that a
/// client that reads is not delayed.
pub(crate) const OUTPUT_HIGH_WATER_BYTES: usize = 64 * 1024;

/// Bytes below which a connection is not closed to free memory. Ordinary clients hold less between large messages.
const MIN_VICTIM_BYTES: usize = 32 * 1024;

/// Time for which a connection has to make no progress before it is closed to let others read: ten times the round trip
/// of a slow client.
const STALL_TIME: Micros = Micros::from_millis(1_000);

/// Memory for reading a message of the largest size: 1 MiB in a buffer that grows by doubling.
const MESSAGE_COST_BYTES: usize = 2 * 1024 * 1024;

/// Age at which a connection without a first message gives its place to a new one. Clients send it within 2 s.
const REPLACEABLE_AGE: Micros = Micros::from_millis(2_000);

/// Share of the budget (numerator, denominator) above which connections are not read beyond [`FREE_INPUT_BYTES`].
const READ_SHARE: (usize, usize) = (1, 2);

/// Share of the budget above which new connections are refused, and up to which a waiting one may still read on.
const REFUSE_SHARE: (usize, usize) = (4, 5);

/// Part of the budget (one in this many) that the values and prepared statements of sessions may hold. They stay for as
/// long as the sessions, so they must leave room for requests.
const SESSIONS_PART: usize = 4;

/// Limits of a process. The platform sets them from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes that the process may hold for clients, databases and sessions.
    pub memory_bytes: usize,
    /// Connections of clients and other nodes together.
    pub connections: usize,
    /// Connections of other nodes.
    pub peer_connections: usize,
    /// Rows of one answer of a database, in bytes.
    pub answer_bytes: usize,
    /// Values and prepared statements of one session, in bytes.
    pub session_bytes: usize,
    /// Time for the first message.
    pub first_message: Micros,
    /// Time for the rest of a message that has begun.
    pub message_rest: Micros,
    /// Time for which a client may read nothing of the output that waits for it.
    pub unread_output: Micros,
}

/// A limit that acted, as named in refusals, metrics and log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitKind {
    Connections,
    PeerConnections,
    Memory,
    AnswerSize,
    FirstMessage,
    MessageRest,
    UnreadOutput,
    Replaced,
}

impl LimitKind {
    /// Returns the counter of the refused or closed connections.
    pub(crate) const fn counter(self) -> &'static str {
        match self {
            LimitKind::Connections => "clients_over_limit",
            LimitKind::PeerConnections => "limit_peer_connections",
            LimitKind::Memory => "limit_memory",
            LimitKind::AnswerSize => "limit_answer_size",
            LimitKind::FirstMessage => "limit_first_message",
            LimitKind::MessageRest => "limit_message_rest",
            LimitKind::UnreadOutput => "limit_unread_output",
            LimitKind::Replaced => "limit_first_message_replaced",
        }
    }

    /// Returns the setting that holds the limit.
    pub(crate) const fn setting(self) -> &'static str {
        match self {
            LimitKind::Connections => "limits.max-fds",
            LimitKind::PeerConnections => "client-limits.peer-connections",
            LimitKind::Memory => "limits.memory-mb",
            LimitKind::AnswerSize => "client-limits.answer-kb",
            LimitKind::FirstMessage | LimitKind::Replaced => "client-limits.first-message-ms",
            LimitKind::MessageRest => "client-limits.message-rest-ms",
            LimitKind::UnreadOutput => "client-limits.unread-output-ms",
        }
    }

    /// Returns the limit as a text with its unit.
    pub(crate) fn value(self, limits: &ClientLimits) -> String {
        match self {
            LimitKind::Connections => format!("{} connections", limits.connections),
            LimitKind::PeerConnections => format!("{} connections", limits.peer_connections),
            LimitKind::Memory => format!("{} bytes", limits.memory_bytes),
            LimitKind::AnswerSize => format!("{} bytes", limits.answer_bytes),
            LimitKind::FirstMessage => format!("{} ms", limits.first_message.as_millis()),
            LimitKind::Replaced => format!("{} ms", REPLACEABLE_AGE.as_millis()),
            LimitKind::MessageRest => format!("{} ms", limits.message_rest.as_millis()),
            LimitKind::UnreadOutput => format!("{} ms", limits.unread_output.as_millis()),
        }
    }

    /// Returns the error for an answer whose rows were dropped.
    pub(crate) fn answer_refusal(self, limits: &ClientLimits) -> String {
        let (value, setting) = (self.value(limits), self.setting());
        format!("the answer was dropped at the limit of {value} ({setting})")
    }

    /// Returns the text of a refusal: what was refused, the limit and its setting.
    pub(crate) fn refusal(self, limits: &ClientLimits) -> String {
        let (value, setting) = (self.value(limits), self.setting());
        match self {
            LimitKind::Connections | LimitKind::PeerConnections => format!(
                "not run, connection refused at the limit of {value} ({setting}), retry after 1000 ms"
            ),
            LimitKind::Memory => format!(
                "not run, connection refused near the limit of {value} in use ({setting}), \
                 retry after 1000 ms"
            ),
            LimitKind::AnswerSize => self.answer_refusal(limits),
            LimitKind::FirstMessage | LimitKind::Replaced => {
                format!("not run, no first message within {value} ({setting})")
            }
            LimitKind::MessageRest => {
                format!(
                    "not run, the rest of the message did not arrive within {value} ({setting})"
                )
            }
            LimitKind::UnreadOutput => format!("output was not read within {value} ({setting})"),
        }
    }
}

/// What the decisions need to know of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientActivity {
    pub(crate) origin: SessionOrigin,
    pub(crate) opened_at: Micros,
    /// A valid first message has arrived.
    pub(crate) started: bool,
    /// When the first byte of an incomplete message arrived.
    pub(crate) message_since: Option<Micros>,
    /// Since when output has been waiting of which the client has read nothing.
    pub(crate) output_since: Option<Micros>,
    /// Since when the process has not read on, for lack of memory.
    pub(crate) paused_since: Option<Micros>,
    /// When bytes were last read from or written to the connection.
    pub(crate) last_transfer: Micros,
    /// Bytes that the connection holds.
    pub(crate) held: usize,
}

impl ClientActivity {
    pub(crate) fn new(origin: SessionOrigin, now: Micros) -> ClientActivity {
        ClientActivity {
            origin,
            opened_at: now,
            started: false,
            message_since: None,
            output_since: None,
            paused_since: None,
            last_transfer: now,
            held: 0,
        }
    }

    /// Returns the limit on time that the connection has passed.
    pub(crate) fn overdue(&self, limits: &ClientLimits, now: Micros) -> Option<LimitKind> {
        let passed = |since: Option<Micros>, limit: Micros| {
            since.is_some_and(|since| now.saturating_sub(since) > limit)
        };
        // The time for which this process did not read is not the client's.
        let message_since = self.message_since.filter(|_| self.paused_since.is_none());
        if !self.started && passed(Some(self.opened_at), limits.first_message) {
            Some(LimitKind::FirstMessage)
        } else if passed(message_since, limits.message_rest) {
            Some(LimitKind::MessageRest)
        } else if passed(self.output_since, limits.unread_output) {
            Some(LimitKind::UnreadOutput)
        } else {
            None
        }
    }

    /// Returns how long the connection has made no progress through its client's fault.
    fn stalled(&self, now: Micros) -> Micros {
        match self.paused_since {
            Some(_) => Micros::ZERO,
            None if self.message_since.is_some() || self.output_since.is_some() => {
                now.saturating_sub(self.last_transfer)
            }
            // Waits for the process.
            None => Micros::ZERO,
        }
    }
}

/// Whether to accept a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptDecision {
    Accept,
    /// Close this connection, which has not sent its first message, and accept the new one.
    Replace(u64),
    Refuse(LimitKind),
}

/// The limits of a process and the bytes that it holds.
#[derive(Debug)]
pub(crate) struct ClientGuard {
    pub(crate) limits: ClientLimits,
    pub(crate) budget: MemoryBudget,
}

impl ClientGuard {
    pub(crate) fn new(limits: ClientLimits) -> ClientGuard {
        ClientGuard { budget: MemoryBudget::new(limits.memory_bytes), limits }
    }

    /// Decides whether to accept a connection beside the open ones.
    pub(crate) fn accept(
        &self,
        now: Micros,
        origin: SessionOrigin,
        open: usize,
        clients: impl Iterator<Item = (u64, ClientActivity)> + Clone,
    ) -> AcceptDecision {
        if self.budget.is_above(REFUSE_SHARE.0, REFUSE_SHARE.1) {
            return AcceptDecision::Refuse(LimitKind::Memory);
        }
        let is_full = open >= self.limits.connections;
        // Where this limit is the larger one, counting is not needed.
        let peers_full = origin == SessionOrigin::Peer && open >= self.limits.peer_connections && {
            let peers = clients.clone().filter(|(_, client)| client.origin == SessionOrigin::Peer);
            peers.count() >= self.limits.peer_connections
        };
        if !is_full && !peers_full {
            return AcceptDecision::Accept;
        }
        let oldest = clients
            .filter(|(_, client)| !client.started && (!peers_full || client.origin == origin))
            .min_by_key(|(id, client)| (client.opened_at, *id));
        match oldest {
            Some((id, client)) if now.saturating_sub(client.opened_at) > REPLACEABLE_AGE => {
                AcceptDecision::Replace(id)
            }
            _ if peers_full => AcceptDecision::Refuse(LimitKind::PeerConnections),
            _ => AcceptDecision::Refuse(LimitKind::Connections),
        }
    }

    /// Returns the memory for the values and prepared statements of sessions.
    pub(crate) fn session_memory(&self) -> SessionMemory {
        SessionMemory {
            budget: self.budget.part(self.budget.limit() / SESSIONS_PART),
            session_limit: self.limits.session_bytes,
        }
    }

    pub(crate) fn is_exceeded(&self) -> bool {
        self.budget.is_above(1, 1)
    }

    /// Returns whether connections may be read beyond [`FREE_INPUT_BYTES`].
    pub(crate) fn may_read(&self) -> bool {
        !self.budget.is_above(READ_SHARE.0, READ_SHARE.1)
    }

    /// Returns whether one more connection that was paused may read its message to the end, beside others that do, so that
    /// paused connections that hold the memory do not wait for each other.
    pub(crate) fn may_complete_message(&self, others: usize) -> bool {
        let reserved = if others == 0 { 0 } else { (others + 1) * MESSAGE_COST_BYTES };
        let limit = self.budget.limit() / REFUSE_SHARE.1 * REFUSE_SHARE.0;
        self.budget.held().saturating_add(reserved) <= limit
    }

    /// Chooses the connection to close because the budget is exceeded, or because others wait to read and this one makes
    /// no progress: the one that holds most for the longest time without progress.
    pub(crate) fn choose_victim(
        &self,
        now: Micros,
        clients: impl Iterator<Item = (u64, ClientActivity)> + Clone,
    ) -> Option<u64> {
        let exceeded = self.is_exceeded();
        if !exceeded && (self.may_read() || !self.has_waiting(clients.clone())) {
            return None;
        }
        clients
            .filter(|(_, client)| {
                client.held >= MIN_VICTIM_BYTES && (exceeded || client.stalled(now) >= STALL_TIME)
            })
            .max_by_key(|(id, client)| {
                let stalled_ms = client.stalled(now).as_millis() + 1;
                (client.held as u64 * stalled_ms, *id)
            })
            .map(|(id, _)| id)
    }

    fn has_waiting(&self, mut clients: impl Iterator<Item = (u64, ClientActivity)>) -> bool {
        self.budget.is_above(REFUSE_SHARE.0, REFUSE_SHARE.1)
            || clients.any(|(_, client)| client.paused_since.is_some())
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use model::MemoryCharge;

    use super::*;

    pub(crate) fn small_limits() -> ClientLimits {
        ClientLimits {
            memory_bytes: 10_000_000,
            connections: 4,
            peer_connections: 2,
            answer_bytes: 1_000_000,
            session_bytes: 1_000_000,
            first_message: Micros::from_secs(10),
            message_rest: Micros::from_secs(30),
            unread_output: Micros::from_secs(30),
        }
    }

    fn guard() -> ClientGuard {
        ClientGuard::new(small_limits())
    }

    fn hold(guard: &ClientGuard, bytes: usize) -> MemoryCharge {
        let mut charge = guard.budget.charge();
        charge.resize(bytes);
        charge
    }

    fn client(opened_ms: u64) -> ClientActivity {
        let mut client = ClientActivity::new(SessionOrigin::Client, Micros::from_millis(opened_ms));
        client.started = true;
        client
    }

    const NOW: Micros = Micros::from_secs(100);

    /// Guards against a crowd of silent connections that takes all places, and against an ordinary client that loses its
    /// place to one.
    #[test]
    fn only_connections_without_a_first_message_are_replaced() {
        let guard = guard();
        let mut clients: Vec<(u64, ClientActivity)> =
            (0..4).map(|id| (id, client(90_000 + id))).collect();
        let accept = |clients: &[(u64, ClientActivity)]| {
            guard.accept(NOW, SessionOrigin::Client, clients.len(), clients.iter().copied())
        };
        assert_eq!(accept(&clients[..3]), AcceptDecision::Accept);
        assert_eq!(accept(&clients), AcceptDecision::Refuse(LimitKind::Connections));
        clients[2].1.started = false;
        clients[3].1.started = false;
        assert_eq!(accept(&clients), AcceptDecision::Replace(2));
        for client in &mut clients {
            client.1.opened_at = Micros::from_millis(99_000);
        }
        assert_eq!(accept(&clients), AcceptDecision::Refuse(LimitKind::Connections));
    }

    /// Guards against a crowd at the port for other nodes that takes the places of clients.
    #[test]
    fn other_nodes_have_a_limit_of_their_own() {
        let guard = guard();
        let mut clients: Vec<(u64, ClientActivity)> =
            (0..3).map(|id| (id, client(90_000 + id))).collect();
        let accept = |clients: &[(u64, ClientActivity)], origin| {
            guard.accept(NOW, origin, clients.len(), clients.iter().copied())
        };
        assert_eq!(accept(&clients, SessionOrigin::Peer), AcceptDecision::Accept);
        clients[0].1.origin = SessionOrigin::Peer;
        clients[2].1.origin = SessionOrigin::Peer;
        let refusal = AcceptDecision::Refuse(LimitKind::PeerConnections);
        assert_eq!(accept(&clients, SessionOrigin::Peer), refusal);
        assert_eq!(accept(&clients, SessionOrigin::Client), AcceptDecision::Accept);
        clients[1].1.started = false;
        assert_eq!(accept(&clients, SessionOrigin::Peer), refusal, "a client was replaced");
        clients[2].1.started = false;
        assert_eq!(accept(&clients, SessionOrigin::Peer), AcceptDecision::Replace(2));
    }

    /// Guards against limits that act in another order than: stop to read, refuse, close.
    #[test]
    fn the_limits_act_one_after_the_other() {
        let guard = guard();
        let accept = || guard.accept(NOW, SessionOrigin::Client, 0, std::iter::empty());
        let _charge = hold(&guard, 4_900_000);
        assert!(guard.may_read());
        let _charge = hold(&guard, 200_000);
        assert!(!guard.may_read() && guard.may_complete_message(0));
        assert!(!guard.may_complete_message(1));
        assert_eq!(accept(), AcceptDecision::Accept);
        let _charge = [hold(&guard, 3_000_000)];
        let _first = hold(&guard, 5_200_000);
        assert_eq!(accept(), AcceptDecision::Refuse(LimitKind::Memory));
    }

    /// Guards against an ordinary client that is closed for a crowd: the one that transfers data stays, although it holds
    /// as much, and so does the one that waits for this process.
    #[test]
    fn the_connection_without_progress_that_holds_most_is_closed() {
        let guard = guard();
        let _charge = hold(&guard, 10_100_000);
        let message = |held: usize, silent_ms: u64| {
            let mut client = client(1_000);
            client.held = held;
            client.message_since = Some(Micros::from_millis(1_000));
            client.last_transfer = NOW.saturating_sub(Micros::from_millis(silent_ms));
            client
        };
        let mut paused = message(2_000_000, 90_000);
        paused.paused_since = Some(Micros::from_millis(2_000));
        let mut waiting = message(2_000_000, 90_000);
        waiting.message_since = None;
        let ordinary = message(1_000_000, 5);
        let small = message(10_000, 99_000);
        let clients = [
            (1, paused),
            (2, waiting),
            (3, ordinary),
            (4, message(1_000_000, 3_000)),
            (5, message(900_000, 2_000)),
            (6, small),
        ];
        assert_eq!(guard.choose_victim(NOW, clients.into_iter()), Some(4));
    }

    /// Guards against connections that are closed below the bound while nobody waits, and against ones that progress.
    #[test]
    fn below_the_bound_only_stalled_connections_are_closed_for_others() {
        let guard = guard();
        let _charge = hold(&guard, 6_000_000);
        let mut stalled = client(1_000);
        stalled.held = 1_000_000;
        stalled.output_since = Some(Micros::from_millis(1_000));
        stalled.last_transfer = NOW.saturating_sub(Micros::from_millis(2_000));
        let mut moving = stalled;
        moving.last_transfer = NOW.saturating_sub(Micros::from_millis(100));
        let mut waiting = client(1_000);
        waiting.paused_since = Some(NOW);
        assert_eq!(guard.choose_victim(NOW, [(1, stalled), (2, moving)].into_iter()), None);
        let clients = [(1, stalled), (2, moving), (3, waiting)];
        assert_eq!(guard.choose_victim(NOW, clients.into_iter()), Some(1));
        let clients = [(2, moving), (3, waiting)];
        assert_eq!(guard.choose_victim(NOW, clients.into_iter()), None);
    }

    /// Guards against a time limit that closes an ordinary client: an idle session, and one that is not read for lack of
    /// memory.
    #[test]
    fn limits_on_time_act_on_what_a_client_owes() {
        let limits = small_limits();
        let at = |secs: u64| Micros::from_secs(secs);
        let mut client = client(0);
        assert_eq!(client.overdue(&limits, at(3_600)), None);
        client.message_since = Some(at(100));
        assert_eq!(client.overdue(&limits, at(130)), None);
        assert_eq!(client.overdue(&limits, at(131)), Some(LimitKind::MessageRest));
        client.paused_since = Some(at(101));
        assert_eq!(client.overdue(&limits, at(200)), None);
        client.output_since = Some(at(200));
        assert_eq!(client.overdue(&limits, at(231)), Some(LimitKind::UnreadOutput));
        client.started = false;
        assert_eq!(client.overdue(&limits, at(231)), Some(LimitKind::FirstMessage));
    }

    /// Guards against refusals that do not tell operators which setting to change.
    #[test]
    fn refusals_name_the_limit_and_the_setting() {
        let text = LimitKind::Connections.refusal(&small_limits());
        assert!(text.contains("4 connections") && text.contains("limits.max-fds"), "{text}");
        let text = LimitKind::MessageRest.refusal(&small_limits());
        assert!(text.contains("30000 ms") && text.contains("message-rest-ms"), "{text}");
    }
}
