//! Queue of one database.
//!
//! # Order of grants
//!
//! 1. A rank whose *credit* is positive, highest credit first. Credit grows with the rank's minimum
//!    share of the slot time that all ranks use and shrinks with the slot time of the rank itself. A
//!    rank without waiting requests cannot accumulate credit, and a rank that used free slots does not
//!    owe more than its longest recent statement. So over any window in which a rank waits it receives
//!    its minimum share, less one statement and the running statements.
//! 2. The most urgent rank with waiting requests. It receives the shares that no rank uses.
//!
//! Inside a rank, statements of open transactions go first, since they hold locks and a connection.
//! Then the caller with the least slot time goes first. A caller that begins to wait starts one mean
//! statement above the caller served last: it cannot accumulate unused time, and a stream of new
//! callers cannot overtake those that were served once. Its earlier use counts up to two mean
//! statements above, so that one slow statement does not starve a caller that seldom sends. A caller
//! that always has requests waiting is charged in full.
//!
//! A request can have a latency objective before its deadline, see [`SlotQueue::enqueue_with_target`].
//! One that cannot meet it any more is *late*: it waits until no request of its rank that can meet its
//! objective is left. So in an overload some requests are answered late or refused, instead of all
//! being late. A late request is admitted only if the slot time that the others of its rank have left
//! of late suffices before its deadline; otherwise it would wait in vain.
//!
//! A statement is charged its estimate when it is granted and the difference when it finishes, so that
//! each of several grants in a row takes those before it into account.
//!
//! # Long statements
//!
//! Statements below rank urgent whose estimate is above 250 ms use at most slots - 1 slots together (at
//! least 1), so an urgent statement never waits for a long one to finish unless the database has one
//! slot. Short statements of any rank use all slots.
//!
//! # Deadlines
//!
//! The service time of a selector is estimated by a smoothed mean and deviation. A request is refused
//! when the time left is shorter than expected wait plus mean plus two deviations, so no slot time is
//! spent on an answer that arrives too late. The expected wait is a low estimate: a request that is
//! admitted in error is refused later, while one refused in error could have been served. On arrival
//! the expected wait may take three quarters of the time that is left after the service; the rest
//! absorbs variance, and lets the backlog of a burst drain soon after the burst.
//!
//! # Cost
//!
//! Each operation takes O(log n) in the number of callers and waiting requests.

use std::collections::{BTreeMap, BTreeSet};

use model::{FastMap, Micros, Name, Rank, RankConfig, RankMap};

/// Estimate above which a statement counts as long.
const LONG_STATEMENT_TIME: Micros = Micros::from_millis(250);
/// Estimate for a selector without a finished statement.
const DEFAULT_ESTIMATE: Micros = Micros::from_millis(5);
/// Maximum number of selectors with an estimate of their own; others use the default estimate.
const MAX_ESTIMATES: usize = 1_024;
/// Maximum number of idle callers whose slot time is kept for each rank.
const MAX_IDLE_CALLERS: usize = 4_096;
/// Lower limit of the bound on a rank's debt. With a lower bound, ranks with very short statements
/// would merely alternate instead of receiving their minimum shares.
const MIN_DEBT_BOUND: Micros = Micros::from_millis(10);
/// Time constant with which the longest statement decays as the bound of the debt. If the next short
/// statements lowered the bound at once, the rank could start another long one before it has paid for
/// the first.
const DEBT_DECAY_TIME: Micros = Micros::from_secs(10);
/// Time constant of the smoothed share of slot time that a rank uses.
const SHARE_SMOOTHING_TIME: Micros = Micros::from_millis(500);
/// Callers with the most waiting requests whose turns are computed exactly for an expected wait. In a
/// flood, a few callers hold most of the backlog.
const LARGEST_CALLERS: usize = 4;
/// Lower limit of the share of the slots that is expected to be free for a rank or class; it bounds
/// expected waits.
const MIN_OPEN_SHARE: f64 = 0.01;

/// Identifies one request at the owner of the database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Limits of one queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Statements that execute at once.
    pub slots: u32,
    pub ranks: RankMap<RankConfig>,
}

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    pub request: RequestId,
    pub rank: Rank,
    /// The caller that the slot time is charged to.
    pub caller: Name,
    /// Point in time by which the answer must be complete.
    pub deadline: Micros,
    /// Class of statements with similar service times; estimates are kept for each selector.
    pub selector: Name,
    /// The request belongs to an open transaction, which already holds locks and a connection.
    pub in_transaction: bool,
}

/// Why a request was refused before it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue of the rank is at its limit.
    QueueFull { limit: u32 },
    /// The expected wait is longer than the time that is left.
    DeadlineUnreachable { expected: Micros },
    /// The deadline passed while the request waited.
    DeadlinePassed,
}

/// A slot that was granted; returned with [`SlotQueue::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    pub request: RequestId,
    pub rank: Rank,
    /// Time between [`SlotQueue::enqueue`] and the grant.
    pub waited: Micros,
}

/// A caller with waiting requests in one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingCaller<'a> {
    pub name: &'a Name,
    /// Its waiting requests in this rank.
    pub requests: usize,
    /// Place of the first of them in the order of arrival.
    pub oldest: u64,
}

/// Counters of one queue, for the state dump.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueStats {
    pub waiting: RankMap<u32>,
    pub running: RankMap<u32>,
    pub granted: RankMap<u64>,
    pub refused: RankMap<u64>,
    /// Slot time used, by rank.
    pub slot_time: RankMap<Micros>,
}

/// Smoothed service time of a selector, in microseconds.
#[derive(Clone, Copy, Debug)]
struct ServiceEstimate {
    mean: u64,
    deviation: u64,
}

impl ServiceEstimate {
    const DEFAULT: ServiceEstimate = ServiceEstimate { mean: DEFAULT_ESTIMATE.0, deviation: 0 };

    /// The weights are those of TCP's round-trip estimate.
    fn observe(&mut self, micros: u64) {
        let difference = micros.abs_diff(self.mean);
        self.deviation = self.deviation - self.deviation / 4 + difference / 4;
        self.mean = self.mean - self.mean / 8 + micros / 8;
    }

    fn with_margin(&self) -> Micros {
        Micros(self.mean.saturating_add(self.deviation.saturating_mul(2)))
    }

    /// Lowers an estimate that exceeds the time that a request has left. Such requests are refused, so
    /// without this the estimate would not recover after an outlier.
    fn decay(&mut self) {
        self.mean -= self.mean / 16;
        self.deviation -= self.deviation / 16;
    }
}

/// Whether a waiting request is expected to meet its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitClass {
    /// Belongs to an open transaction.
    Transaction,
    InTime,
    Late,
}

/// Sub-queue of a caller, in the order of service: open transactions, requests in time, late requests;
/// each with short apart from long statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubQueue {
    TransactionShort,
    TransactionLong,
    NewShort,
    NewLong,
    LateShort,
    LateLong,
}

impl SubQueue {
    const COUNT: usize = 6;

    const ALL: [SubQueue; SubQueue::COUNT] = [
        SubQueue::TransactionShort,
        SubQueue::TransactionLong,
        SubQueue::NewShort,
        SubQueue::NewLong,
        SubQueue::LateShort,
        SubQueue::LateLong,
    ];

    /// Those of requests outside transactions, the ones served last first.
    const NEW: [SubQueue; 4] =
        [SubQueue::LateLong, SubQueue::LateShort, SubQueue::NewLong, SubQueue::NewShort];

    fn of(class: WaitClass, long: bool) -> SubQueue {
        match (class, long) {
            (WaitClass::Transaction, false) => SubQueue::TransactionShort,
            (WaitClass::Transaction, true) => SubQueue::TransactionLong,
            (WaitClass::InTime, false) => SubQueue::NewShort,
            (WaitClass::InTime, true) => SubQueue::NewLong,
            (WaitClass::Late, false) => SubQueue::LateShort,
            (WaitClass::Late, true) => SubQueue::LateLong,
        }
    }

    fn class(self) -> WaitClass {
        match self {
            SubQueue::TransactionShort | SubQueue::TransactionLong => WaitClass::Transaction,
            SubQueue::NewShort | SubQueue::NewLong => WaitClass::InTime,
            SubQueue::LateShort | SubQueue::LateLong => WaitClass::Late,
        }
    }

    fn is_long(self) -> bool {
        matches!(self, SubQueue::TransactionLong | SubQueue::NewLong | SubQueue::LateLong)
    }

    fn is_new(self) -> bool {
        self.class() != WaitClass::Transaction
    }

    fn is_late(self) -> bool {
        self.class() == WaitClass::Late
    }
}

/// A request that waits.
#[derive(Debug)]
struct WaitingRequest {
    rank: Rank,
    caller: usize,
    selector: Name,
    sequence: u64,
    sub_queue: SubQueue,
    arrived: Micros,
    /// Mean service time that the rank's backlog was charged with.
    charged: u64,
    /// Last moment at which the request can start and meet its deadline.
    start_by: Micros,
    /// As `start_by`, for its latency objective.
    late_after: Micros,
}

/// A statement that holds a slot.
#[derive(Debug)]
struct RunningRequest {
    rank: Rank,
    caller: usize,
    selector: Name,
    started: Micros,
    charged: u64,
    long: bool,
    late: bool,
}

/// One caller of one rank.
#[derive(Debug)]
struct CallerState {
    name: Name,
    /// Slot time charged, on the scale of the rank's virtual time.
    used: u64,
    /// Order among callers with the same slot time.
    activated: u64,
    sub_queues: [BTreeMap<u64, RequestId>; SubQueue::COUNT],
    /// Sum of the charges of waiting requests, and of the late ones among them.
    backlog: u64,
    late_backlog: u64,
    running: u32,
}

impl CallerState {
    fn is_waiting(&self) -> bool {
        self.sub_queues.iter().any(|sub_queue| !sub_queue.is_empty())
    }

    /// Key that orders the callers of the rank.
    fn order_key(&self, index: usize) -> (u64, u64, usize) {
        (self.used, self.activated, index)
    }

    fn new_request_count(&self) -> usize {
        SubQueue::NEW.iter().map(|sub_queue| self.sub_queues[*sub_queue as usize].len()).sum()
    }
}

/// One rank: its callers in the order of their slot time, for each sub-queue.
#[derive(Debug, Default)]
struct RankQueue {
    callers: Vec<Option<CallerState>>,
    free: Vec<usize>,
    index: FastMap<Name, usize>,
    /// Callers with requests in the sub-queue, by (slot time, activation, index).
    order: [BTreeSet<(u64, u64, usize)>; SubQueue::COUNT],
    /// Callers without waiting requests, by (slot time, index).
    idle: BTreeSet<(u64, usize)>,
    /// Requests in time by the last moment at which they can start and meet their objective.
    late_turns: BTreeSet<(Micros, RequestId)>,
    /// Callers by number of waiting requests outside transactions.
    callers_by_count: BTreeSet<(usize, usize)>,
    /// Virtual time: highest slot time at which a caller was served; 0 again once the rank is empty.
    virtual_time: u64,
    waiting: u32,
    /// Waiting requests outside transactions; the limit applies to these.
    waiting_new: u32,
    waiting_callers: u32,
    /// Sum of the charges of waiting requests, and of the late ones among them.
    backlog: u64,
    late_backlog: u64,

    running: u32,
    running_late: u32,
    /// Sum of the charges and of the start times of running statements.
    charged: u64,
    started: u64,
    /// Slot time owed to the rank, in hundredths of a microsecond.
    credit: i64,
    /// Smoothed time of a statement, in microseconds.
    mean: u64,
    /// Longest recent statement, in microseconds; decays with time.
    longest: f64,
    /// Smoothed share of the slots in use, from 0 to 1, and of that by requests that were not late.
    share: f64,
    share_in_time: f64,
    slot_time: u64,
    granted: u64,
    refused: u64,
}

impl RankQueue {
    fn caller(&mut self, index: usize) -> &mut CallerState {
        self.callers[index].as_mut().expect("an index in use refers to a caller")
    }

    /// Finds a caller, or adds it at the rank's virtual time.
    fn find_or_add_caller(&mut self, name: &Name) -> usize {
        if let Some(index) = self.index.get(name) {
            return *index;
        }
        let state = CallerState {
            name: name.clone(),
            used: self.virtual_time,
            activated: 0,
            sub_queues: Default::default(),
            backlog: 0,
            late_backlog: 0,
            running: 0,
        };
        let index = match self.free.pop() {
            Some(index) => {
                self.callers[index] = Some(state);
                index
            }
            None => {
                self.callers.push(Some(state));
                self.callers.len() - 1
            }
        };
        self.index.insert(name.clone(), index);
        index
    }

    fn remove_caller(&mut self, index: usize) {
        if let Some(state) = self.callers[index].take() {
            self.index.remove(&state.name);
            self.free.push(index);
        }
    }

    fn insert_request(&mut self, request: RequestId, waiting: &WaitingRequest) {
        let (least, most) = (self.virtual_time + self.mean, self.virtual_time + 2 * self.mean);
        let state = self.caller(waiting.caller);
        let idle = !state.is_waiting();
        let idle_key = (state.used, waiting.caller);
        let count = state.new_request_count();
        if idle {
            state.used = state.used.clamp(least, most);
            state.activated = waiting.sequence;
        }
        let sub_queue = &mut state.sub_queues[waiting.sub_queue as usize];
        let first = sub_queue.is_empty();
        sub_queue.insert(waiting.sequence, request);
        let late_charge = if waiting.sub_queue.is_late() { waiting.charged } else { 0 };
        state.backlog += waiting.charged;
        state.late_backlog += late_charge;
        let key = state.order_key(waiting.caller);
        if idle {
            self.idle.remove(&idle_key);
            self.waiting_callers += 1;
        }
        if first {
            self.order[waiting.sub_queue as usize].insert(key);
        }
        if waiting.sub_queue.is_new() {
            self.callers_by_count.remove(&(count, waiting.caller));
            self.callers_by_count.insert((count + 1, waiting.caller));
            self.waiting_new += 1;
        }
        self.waiting += 1;
        self.backlog += waiting.charged;
        self.late_backlog += late_charge;
    }

    fn remove_request(&mut self, waiting: &WaitingRequest) {
        let state = self.caller(waiting.caller);
        let count = state.new_request_count();
        let used = state.used;
        let key = state.order_key(waiting.caller);
        let sub_queue = &mut state.sub_queues[waiting.sub_queue as usize];
        sub_queue.remove(&waiting.sequence);
        let emptied = sub_queue.is_empty();
        let late_charge = if waiting.sub_queue.is_late() { waiting.charged } else { 0 };
        state.backlog -= waiting.charged;
        state.late_backlog -= late_charge;
        let idle = !state.is_waiting();
        if emptied {
            self.order[waiting.sub_queue as usize].remove(&key);
        }
        if waiting.sub_queue.is_new() {
            self.callers_by_count.remove(&(count, waiting.caller));
            if count > 1 {
                self.callers_by_count.insert((count - 1, waiting.caller));
            }
            self.waiting_new -= 1;
        }
        if idle {
            self.waiting_callers -= 1;
            self.idle.insert((used, waiting.caller));
        }
        self.waiting -= 1;
        self.backlog -= waiting.charged;
        self.late_backlog -= late_charge;
    }

    /// Changes the slot time of a caller and reorders it.
    fn charge(&mut self, index: usize, more: u64, less: u64) {
        let state = self.caller(index);
        let (old, old_key) = (state.used, state.order_key(index));
        state.used = old.saturating_add(more).saturating_sub(less);
        let (used, order_key) = (state.used, state.order_key(index));
        let sub_queues = state.sub_queues.each_ref().map(|sub_queue| !sub_queue.is_empty());
        for (order, filled) in self.order.iter_mut().zip(sub_queues) {
            if filled {
                order.remove(&old_key);
                order.insert(order_key);
            }
        }
        if self.idle.remove(&(old, index)) {
            self.idle.insert((used, index));
        }
    }

    /// Evicts idle callers whose slot time would not count when they return, and those with the least
    /// slot time if there are too many.
    fn evict_idle(&mut self) {
        let empty = self.waiting == 0 && self.running == 0;
        let mut skipped = None;
        while let Some(&(used, index)) = match skipped {
            None => self.idle.first(),
            Some(key) => {
                self.idle.range((std::ops::Bound::Excluded(key), std::ops::Bound::Unbounded)).next()
            }
        } {
            if used > self.virtual_time + self.mean && !empty && self.idle.len() <= MAX_IDLE_CALLERS
            {
                break;
            }
            if self.caller(index).running > 0 {
                // At most one caller for each slot is skipped.
                skipped = Some((used, index));
                continue;
            }
            self.idle.remove(&(used, index));
            self.remove_caller(index);
        }
        if empty {
            self.virtual_time = 0;
        }
    }

    /// Returns the slot time that is served before a new request of a caller with `own` slot time
    /// ahead of it, the request itself included. Callers take turns, so it waits for at most as much
    /// slot time of each other caller. Only the largest callers are looked at one by one.
    fn time_ahead(&self, caller: Option<usize>, class: WaitClass, own: u64) -> u64 {
        let late = class == WaitClass::Late;
        let time_of = |state: &CallerState| {
            if late { state.backlog } else { state.backlog - state.late_backlog }
        };
        let (mut ahead, mut callers) = if late {
            (self.backlog, self.waiting_callers as usize)
        } else {
            let in_time = SubQueue::ALL.iter().filter(|sub_queue| !sub_queue.is_late());
            let callers: usize =
                in_time.map(|sub_queue| self.order[*sub_queue as usize].len()).sum();
            (self.backlog - self.late_backlog, callers.min(self.waiting_callers as usize))
        };
        for (_, index) in self.callers_by_count.iter().rev().take(LARGEST_CALLERS) {
            let Some(state) = self.callers[*index].as_ref().filter(|_| Some(*index) != caller)
            else {
                continue;
            };
            ahead -= time_of(state).saturating_sub(own);
        }
        callers += 1;
        ahead.min(own.saturating_mul(callers as u64))
    }

    /// Returns true if late requests can go first because no request in time becomes late by it: the
    /// objective of each is further away than the time in which all of them start.
    fn has_slack(&self, now: Micros, slots: u32) -> bool {
        let in_time = self.backlog - self.late_backlog;
        let drained = now + Micros(in_time / u64::from(slots.max(1)) + self.mean);
        self.late_turns.first().is_none_or(|(late_after, _)| *late_after > drained)
    }

    /// Returns the sub-queue and caller to serve next: transactions first, late requests last unless
    /// `late_first`, then the least slot time.
    fn next_to_serve(
        &self,
        late_first: bool,
        long_allowed: bool,
        eligible: &impl Fn(&Name) -> bool,
    ) -> Option<(SubQueue, usize)> {
        let is_eligible = |index: usize| {
            self.callers[index].as_ref().is_some_and(|caller| eligible(&caller.name))
        };
        let order = if late_first { [0, 2, 1] } else { [0, 1, 2] };
        order.into_iter().find_map(|class| {
            let pair = &SubQueue::ALL[2 * class..2 * class + 2];
            pair.iter()
                .filter(|sub_queue| long_allowed || !sub_queue.is_long())
                .filter_map(|sub_queue| {
                    let mut order = self.order[*sub_queue as usize].iter();
                    Some((*order.find(|(_, _, index)| is_eligible(*index))?, *sub_queue))
                })
                .min_by_key(|(order_key, _)| *order_key)
                .map(|((_, _, index), sub_queue)| (sub_queue, index))
        })
    }

    /// Returns the charges of running statements less the time that they have run.
    fn outstanding(&self, now: Micros) -> u64 {
        let elapsed = u64::from(self.running).saturating_mul(now.0).saturating_sub(self.started);
        self.charged.saturating_sub(elapsed)
    }

    /// Returns the credit after the running statements end, in hundredths of a microsecond.
    fn effective_credit(&self, now: Micros) -> i64 {
        self.credit.saturating_sub(hundredths(self.outstanding(now)))
    }
}

fn hundredths(micros: u64) -> i64 {
    i64::try_from(micros.saturating_mul(100)).unwrap_or(i64::MAX)
}

/// Queue of the requests for one database's slots.
///
/// Requests that are refused while they wait, also to make room for another caller, are returned by
/// [`SlotQueue::expire`]; call it whenever [`SlotQueue::next_expiry`] is due, after
/// [`SlotQueue::enqueue`] and after the last [`SlotQueue::grant`].
///
/// ```
/// use admit::*;
/// use model::{Micros, Rank, RankConfig, RankMap};
///
/// let rank = RankConfig { floor_percent: 10, queue_limit: 100 };
/// let mut queue = SlotQueue::new(QueueConfig { slots: 1, ranks: RankMap([rank; 3]) });
/// for (request, rank) in [(1, Rank::Batch), (2, Rank::Urgent)] {
///     let slot_request = SlotRequest {
///         request: RequestId(request),
///         rank,
///         caller: "till-7".into(),
///         deadline: Micros::from_secs(1),
///         selector: "all".into(),
///         in_transaction: false,
///     };
///     queue.enqueue(Micros(0), slot_request).unwrap();
/// }
/// assert_eq!(queue.grant(Micros(0)).unwrap().request, RequestId(2));
/// assert_eq!(queue.grant(Micros(0)), None);
/// queue.finish(Micros(3_000), RequestId(2));
/// assert_eq!(queue.grant(Micros(3_000)).unwrap().request, RequestId(1));
/// ```
#[derive(Debug)]
pub struct SlotQueue {
    config: QueueConfig,
    ranks: RankMap<RankQueue>,
    waiting: FastMap<RequestId, WaitingRequest>,
    running: FastMap<RequestId, RunningRequest>,
    /// Running statements that count against the limit for long ones.
    running_long: u32,
    /// Waiting requests by the last moment at which they can start.
    expiries: BTreeSet<(Micros, RequestId)>,
    /// Refused requests that [`SlotQueue::expire`] has yet to return.
    refused: Vec<(RequestId, RefusalReason)>,
    estimates: FastMap<Name, ServiceEstimate>,
    sequence: u64,
    accounted_at: Micros,
}

impl SlotQueue {
    /// Creates an empty queue.
    pub fn new(config: QueueConfig) -> Self {
        SlotQueue {
            config,
            ranks: RankMap::default(),
            waiting: FastMap::default(),
            running: FastMap::default(),
            running_long: 0,
            expiries: BTreeSet::new(),
            refused: Vec::new(),
            estimates: FastMap::default(),
            sequence: 0,
            accounted_at: Micros::ZERO,
        }
    }

    /// Replaces the limits; running and waiting requests stay.
    pub fn reconfigure(&mut self, config: QueueConfig) {
        self.config = config;
    }

    /// Adds a request. When the queue of its rank is full, the newest request of the caller with the
    /// most waiting requests is refused, which need not be this one.
    ///
    /// A request identifier that is already in the queue must not be used again.
    ///
    /// # Errors
    ///
    /// Refuses at once when the queue is full or the deadline cannot be met. A request of an open
    /// transaction is not refused for a full queue.
    pub fn enqueue(&mut self, now: Micros, slot_request: SlotRequest) -> Result<(), RefusalReason> {
        self.enqueue_with_target(now, slot_request, Micros::MAX).map(|_| ())
    }

    /// As [`SlotQueue::enqueue`], for a request that should be answered by `target`, and otherwise by
    /// its deadline. Returns the class in which it waits.
    ///
    /// # Errors
    ///
    /// As [`SlotQueue::enqueue`].
    ///
    /// ```
    /// use admit::{QueueConfig, RequestId, SlotQueue, SlotRequest, WaitClass};
    /// use model::{Micros, Rank, RankConfig, RankMap};
    ///
    /// let ranks = RankMap([RankConfig { floor_percent: 0, queue_limit: 8 }; 3]);
    /// let mut queue = SlotQueue::new(QueueConfig { slots: 1, ranks });
    /// let slot_request = |request| SlotRequest {
    ///     request: RequestId(request),
    ///     rank: Rank::Urgent,
    ///     caller: "caller".into(),
    ///     deadline: Micros::from_secs(9),
    ///     selector: "sales".into(),
    ///     in_transaction: false,
    /// };
    /// // Three statements of 5 ms each, the default estimate, wait for one slot.
    /// let target = Micros::from_millis(20);
    /// for request in 0..3 {
    ///     let class = queue.enqueue_with_target(Micros(0), slot_request(request), target);
    ///     assert_eq!(class, Ok(WaitClass::InTime));
    /// }
    /// let class = queue.enqueue_with_target(Micros(0), slot_request(3), target);
    /// assert_eq!(class, Ok(WaitClass::Late));
    /// ```
    pub fn enqueue_with_target(
        &mut self,
        now: Micros,
        slot_request: SlotRequest,
        target: Micros,
    ) -> Result<WaitClass, RefusalReason> {
        self.update_accounts(now);
        self.demote_late(now);
        let rank = slot_request.rank;
        let estimate = self.estimate(&slot_request.selector);
        let service = estimate.with_margin();
        let left = slot_request.deadline.saturating_sub(now);
        let (class, wait) = self.classify(now, &slot_request, target);
        let expected = wait + service;
        if expected + Micros(wait.0 / 3) > left {
            if service > left
                && left > Micros::ZERO
                && let Some(estimate) = self.estimates.get_mut(&slot_request.selector)
            {
                estimate.decay();
            }
            self.ranks[rank].refused += 1;
            return Err(if left == Micros::ZERO {
                RefusalReason::DeadlinePassed
            } else {
                RefusalReason::DeadlineUnreachable { expected }
            });
        }
        let limit = self.config.ranks[rank].queue_limit;
        if !slot_request.in_transaction && self.ranks[rank].waiting_new >= limit {
            self.make_room(rank, &slot_request.caller, limit)?;
        }
        self.sequence += 1;
        let long = rank != Rank::Urgent && Micros(estimate.mean) > LONG_STATEMENT_TIME;
        // A request may always start within its own service time, also if the objective is shorter.
        let latest = target.saturating_sub(Micros(estimate.mean)).max(now + Micros(estimate.mean));
        let waiting = WaitingRequest {
            rank,
            caller: self.ranks[rank].find_or_add_caller(&slot_request.caller),
            selector: slot_request.selector,
            sequence: self.sequence,
            sub_queue: SubQueue::of(class, long),
            arrived: now,
            charged: estimate.mean,
            start_by: slot_request.deadline.saturating_sub(service),
            late_after: if target == Micros::MAX { Micros::MAX } else { latest },
        };
        self.insert_waiting(slot_request.request, waiting);
        Ok(class)
    }

    /// Returns the class of a new request and its expected wait.
    fn classify(
        &self,
        now: Micros,
        slot_request: &SlotRequest,
        target: Micros,
    ) -> (WaitClass, Micros) {
        if slot_request.in_transaction {
            return (WaitClass::Transaction, Micros::ZERO);
        }
        let rank = slot_request.rank;
        let queue = &self.ranks[rank];
        let caller = queue.index.get(&slot_request.caller).copied();
        let state = caller.and_then(|index| queue.callers[index].as_ref());
        let mean = self.estimate(&slot_request.selector).mean;
        let own = state.map_or(0, |state| state.backlog - state.late_backlog) + mean;
        let ahead = queue.time_ahead(caller, WaitClass::InTime, own);
        let wait = self.wait_behind(now, rank, ahead, WaitClass::InTime);
        let expected = wait + Micros(wait.0 / 3) + Micros(mean);
        if expected <= target.saturating_sub(now) || wait.0 <= mean {
            return (WaitClass::InTime, wait);
        }
        let own = state.map_or(0, |state| state.backlog) + mean;
        let ahead = queue.time_ahead(caller, WaitClass::Late, own);
        (WaitClass::Late, self.wait_behind(now, rank, ahead, WaitClass::Late))
    }

    fn insert_waiting(&mut self, request: RequestId, waiting: WaitingRequest) {
        self.ranks[waiting.rank].insert_request(request, &waiting);
        self.expiries.insert((waiting.start_by, request));
        if waiting.sub_queue.class() == WaitClass::InTime && waiting.late_after < waiting.start_by {
            self.ranks[waiting.rank].late_turns.insert((waiting.late_after, request));
        }
        self.waiting.insert(request, waiting);
    }

    /// Moves the requests that cannot meet their objective any more behind those that can.
    fn demote_late(&mut self, now: Micros) {
        for rank in Rank::ALL {
            while let Some(&(late_after, request)) = self.ranks[rank].late_turns.first() {
                if late_after >= now {
                    break;
                }
                self.ranks[rank].late_turns.pop_first();
                let Some(waiting) = self.remove_waiting(request) else { continue };
                let sub_queue = SubQueue::of(WaitClass::Late, waiting.sub_queue.is_long());
                self.insert_waiting(request, WaitingRequest { sub_queue, ..waiting });
            }
        }
    }

    /// Removes a request that still waits; returns whether it did.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        match self.remove_waiting(request) {
            Some(waiting) => {
                self.ranks[waiting.rank].evict_idle();
                true
            }
            None => false,
        }
    }

    /// Grants the next slot, if one is free and a request waits. Call until it returns `None`.
    pub fn grant(&mut self, now: Micros) -> Option<SlotGrant> {
        self.grant_where(now, |_| true)
    }

    /// As [`SlotQueue::grant`], but passes over the callers that `eligible` excludes. They keep their
    /// place in the order.
    ///
    /// ```
    /// use admit::{QueueConfig, RequestId, SlotQueue, SlotRequest};
    /// use model::{Micros, Rank, RankConfig, RankMap};
    ///
    /// let ranks = RankMap([RankConfig { floor_percent: 0, queue_limit: 8 }; 3]);
    /// let mut queue = SlotQueue::new(QueueConfig { slots: 2, ranks });
    /// for (request, caller) in [(1, "a"), (2, "b")] {
    ///     let slot_request = SlotRequest {
    ///         request: RequestId(request),
    ///         rank: Rank::Urgent,
    ///         caller: caller.into(),
    ///         deadline: Micros::from_secs(9),
    ///         selector: "sales".into(),
    ///         in_transaction: false,
    ///     };
    ///     queue.enqueue(Micros(0), slot_request).expect("there is room");
    /// }
    /// let grant = queue.grant_where(Micros(0), |caller| caller.as_str() == "b");
    /// assert_eq!(grant.expect("a slot is free").request, RequestId(2));
    /// assert_eq!((queue.waiting_of("a"), queue.waiting_of("b")), (1, 0));
    /// ```
    pub fn grant_where(
        &mut self,
        now: Micros,
        eligible: impl Fn(&Name) -> bool,
    ) -> Option<SlotGrant> {
        self.update_accounts(now);
        self.demote_late(now);
        while self.has_free_slot() {
            let (rank, sub_queue, caller) = self.choose_next(now, &eligible)?;
            let request = *self.ranks[rank].caller(caller).sub_queues[sub_queue as usize]
                .first_key_value()?
                .1;
            let waiting = self.remove_waiting(request)?;
            if waiting.start_by < now {
                self.refuse(request, rank, RefusalReason::DeadlinePassed);
                continue;
            }
            let estimate = self.estimate(&waiting.selector);
            let long = rank != Rank::Urgent && Micros(estimate.mean) > LONG_STATEMENT_TIME;
            if long && !sub_queue.is_long() && !self.is_long_allowed() {
                // The estimate has grown since the request arrived. A request moves at most once.
                let sub_queue = SubQueue::of(sub_queue.class(), true);
                self.insert_waiting(request, WaitingRequest { sub_queue, ..waiting });
                continue;
            }
            let queue = &mut self.ranks[rank];
            queue.virtual_time = queue.virtual_time.max(queue.caller(caller).used);
            queue.charge(caller, estimate.mean, 0);
            queue.caller(caller).running += 1;
            queue.running += 1;
            queue.running_late += u32::from(sub_queue.is_late());
            queue.charged += estimate.mean;
            queue.started += now.0;
            queue.granted += 1;
            queue.evict_idle();
            self.running_long += u32::from(long);
            let running = RunningRequest {
                rank,
                caller,
                selector: waiting.selector,
                started: now,
                charged: estimate.mean,
                long,
                late: sub_queue.is_late(),
            };
            self.running.insert(request, running);
            return Some(SlotGrant { request, rank, waited: now.saturating_sub(waiting.arrived) });
        }
        None
    }

    /// Returns a slot. Does nothing for a request that holds none.
    pub fn finish(&mut self, now: Micros, request: RequestId) {
        let Some((running, time)) = self.release(now, request) else { return };
        let queue = &mut self.ranks[running.rank];
        queue.mean = queue.mean - queue.mean / 16 + time / 16;
        queue.longest = queue.longest.max(time as f64);
        if let Some(estimate) = self.estimates.get_mut(&running.selector) {
            estimate.observe(time);
        } else if self.estimates.len() < MAX_ESTIMATES {
            let estimate = ServiceEstimate { mean: time, deviation: time / 2 };
            self.estimates.insert(running.selector, estimate);
        }
    }

    /// Returns the slot of a request that was abandoned, such as one whose answer was lost. Its time
    /// does not change the estimate for others. Returns whether the request held a slot.
    ///
    /// ```
    /// use admit::{QueueConfig, RequestId, SlotQueue, SlotRequest};
    /// use model::{Micros, Rank, RankConfig, RankMap};
    ///
    /// let ranks = RankMap([RankConfig { floor_percent: 0, queue_limit: 8 }; 3]);
    /// let mut queue = SlotQueue::new(QueueConfig { slots: 1, ranks });
    /// let slot_request = |request| SlotRequest {
    ///     request: RequestId(request),
    ///     rank: Rank::Urgent,
    ///     caller: "caller".into(),
    ///     deadline: Micros::from_secs(9),
    ///     selector: "sales".into(),
    ///     in_transaction: false,
    /// };
    /// queue.enqueue(Micros(0), slot_request(1)).expect("there is room");
    /// queue.grant(Micros(0)).expect("a slot is free");
    /// let before = queue.service_time("sales");
    /// assert!(queue.abandon(Micros::from_secs(1), RequestId(1)));
    /// assert_eq!(queue.service_time("sales"), before);
    /// ```
    pub fn abandon(&mut self, now: Micros, request: RequestId) -> bool {
        self.release(now, request).is_some()
    }

    fn release(&mut self, now: Micros, request: RequestId) -> Option<(RunningRequest, u64)> {
        self.update_accounts(now);
        let running = self.running.remove(&request)?;
        let time = now.saturating_sub(running.started).0;
        let queue = &mut self.ranks[running.rank];
        queue.running -= 1;
        queue.running_late -= u32::from(running.late);
        queue.charged -= running.charged;
        queue.started -= running.started.0;
        queue.caller(running.caller).running -= 1;
        queue.charge(running.caller, time, running.charged);
        queue.evict_idle();
        self.running_long -= u32::from(running.long);
        Some((running, time))
    }

    /// Removes the requests whose deadline can no longer be met, and returns them together with those
    /// refused to make room for others.
    pub fn expire(&mut self, now: Micros) -> Vec<(RequestId, RefusalReason)> {
        while let Some(&(start_by, request)) = self.expiries.first() {
            if start_by >= now {
                break;
            }
            if let Some(waiting) = self.remove_waiting(request) {
                self.refuse(request, waiting.rank, RefusalReason::DeadlinePassed);
                self.ranks[waiting.rank].evict_idle();
            }
        }
        std::mem::take(&mut self.refused)
    }

    /// Returns when [`SlotQueue::expire`] is due next; zero if it is due now.
    pub fn next_expiry(&self) -> Option<Micros> {
        if !self.refused.is_empty() {
            return Some(Micros::ZERO);
        }
        self.expiries.first().map(|(start_by, _)| *start_by + Micros(1))
    }

    /// Returns the expected wait of a request of this rank that arrives now from a caller without
    /// other waiting requests.
    pub fn expected_wait(&self, now: Micros, rank: Rank) -> Micros {
        let queue = &self.ranks[rank];
        let mean = queue.backlog / u64::from(queue.waiting.max(1));
        let turns = u64::from(queue.waiting_callers) + 1;
        let ahead = queue.backlog.min(mean.saturating_mul(turns));
        self.wait_behind(now, rank, ahead, WaitClass::InTime)
    }

    /// Returns the callers with waiting requests in the order in which they are served next, the
    /// most urgent rank first. A caller is returned once for each rank and sub-queue.
    pub fn waiting_callers(&self) -> impl Iterator<Item = WaitingCaller<'_>> {
        Rank::ALL.into_iter().flat_map(|rank| {
            let queue = &self.ranks[rank];
            let orders = queue.order.iter().enumerate();
            orders.flat_map(move |(sub_queue, order)| {
                order.iter().filter_map(move |(_, _, index)| {
                    let state = queue.callers[*index].as_ref()?;
                    let requests = &state.sub_queues[sub_queue];
                    let (oldest, _) = requests.first_key_value()?;
                    Some(WaitingCaller {
                        name: &state.name,
                        requests: requests.len(),
                        oldest: *oldest,
                    })
                })
            })
        })
    }

    /// Returns the number of waiting requests of a caller.
    pub fn waiting_of(&self, caller: &str) -> usize {
        let states = Rank::ALL.into_iter().filter_map(|rank| {
            let queue = &self.ranks[rank];
            queue.callers[*queue.index.get(caller)?].as_ref()
        });
        states.map(|state| state.sub_queues.iter().map(BTreeMap::len).sum::<usize>()).sum()
    }

    /// Returns true if a further statement can be granted at once.
    pub fn has_free_slot(&self) -> bool {
        self.running.len() < self.config.slots as usize
    }

    /// Returns the estimated service time of a selector, without a margin.
    pub fn service_time(&self, selector: &str) -> Micros {
        Micros(self.estimate(selector).mean)
    }

    /// Returns the counters.
    pub fn stats(&self) -> QueueStats {
        let mut stats = QueueStats::default();
        for rank in Rank::ALL {
            let queue = &self.ranks[rank];
            stats.waiting[rank] = queue.waiting;
            stats.running[rank] = queue.running;
            stats.granted[rank] = queue.granted;
            stats.refused[rank] = queue.refused;
            stats.slot_time[rank] = Micros(queue.slot_time);
        }
        stats
    }

    fn estimate(&self, selector: &str) -> ServiceEstimate {
        self.estimates.get(selector).copied().unwrap_or(ServiceEstimate::DEFAULT)
    }

    fn is_long_allowed(&self) -> bool {
        self.running_long < self.config.slots.saturating_sub(1).max(1)
    }

    /// Returns the expected time until waiting requests of the rank that amount to `ahead` microseconds
    /// have been granted, to a request of a class.
    fn wait_behind(&self, now: Micros, rank: Rank, ahead: u64, class: WaitClass) -> Micros {
        let slots = f64::from(self.config.slots.max(1));
        let free = self.running.len() < self.config.slots as usize;
        let higher = || Rank::ALL.into_iter().filter(|other| *other < rank);
        let urgent: u64 = higher().map(|other| self.ranks[other].backlog).sum();
        if free && ahead == 0 && urgent == 0 {
            return Micros::ZERO;
        }
        let outstanding: u64 =
            Rank::ALL.into_iter().map(|other| self.ranks[other].outstanding(now)).sum();
        // The next slot becomes free after the mean remaining time of the running statements, divided
        // by the number of slots.
        let first = if free { 0.0 } else { outstanding as f64 / slots / slots };
        let used: f64 = higher().map(|other| self.ranks[other].share).sum();
        let minimum = f64::from(self.config.ranks[rank].floor_percent) / 100.0;
        let reserved: f64 = Rank::ALL
            .into_iter()
            .filter(|other| *other > rank && self.ranks[*other].waiting > 0)
            .map(|other| f64::from(self.config.ranks[other].floor_percent) / 100.0)
            .sum();
        if class == WaitClass::Late {
            // Requests in time that arrive later go first, too.
            let in_time = self.ranks[rank].share_in_time;
            let open = (1.0 - used - reserved - in_time).max(MIN_OPEN_SHARE);
            return Micros((first + (urgent + ahead) as f64 / (slots * open)) as u64);
        }
        let open = (1.0 - used - reserved).max(minimum).max(MIN_OPEN_SHARE);
        let drained = urgent as f64 / slots + ahead as f64 / (slots * open);
        let wait =
            if minimum > 0.0 { drained.min(ahead as f64 / (slots * minimum)) } else { drained };
        Micros((first + wait) as u64)
    }

    /// Brings credits and slot times up to date.
    fn update_accounts(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.accounted_at).0;
        if elapsed == 0 {
            return;
        }
        self.accounted_at = now;
        let busy = self.running.len() as u64 * elapsed;
        let slots = f64::from(self.config.slots.max(1));
        let weight = elapsed as f64 / (elapsed + SHARE_SMOOTHING_TIME.0) as f64;
        for rank in Rank::ALL {
            let minimum_percent = u64::from(self.config.ranks[rank].floor_percent);
            let queue = &mut self.ranks[rank];
            let used = u64::from(queue.running) * elapsed;
            queue.slot_time += used;
            queue.share += (f64::from(queue.running) / slots - queue.share) * weight;
            let in_time = f64::from(queue.running - queue.running_late) / slots;
            queue.share_in_time += (in_time - queue.share_in_time) * weight;
            queue.longest *= DEBT_DECAY_TIME.0 as f64 / (elapsed + DEBT_DECAY_TIME.0) as f64;
            let gain = i64::try_from(minimum_percent.saturating_mul(busy)).unwrap_or(i64::MAX);
            let running = u64::from(queue.running).saturating_mul(now.0);
            let oldest = running.saturating_sub(queue.started);
            let debt = hundredths((queue.longest as u64).max(oldest).max(MIN_DEBT_BOUND.0));
            queue.credit = queue.credit.saturating_add(gain).saturating_sub(hundredths(used));
            queue.credit = queue.credit.max(-debt);
            if queue.waiting == 0 {
                queue.credit = queue.credit.min(0);
            }
        }
    }

    /// Chooses the rank, sub-queue and caller to serve next.
    fn choose_next(
        &self,
        now: Micros,
        eligible: &impl Fn(&Name) -> bool,
    ) -> Option<(Rank, SubQueue, usize)> {
        let mut order = Rank::ALL.map(|rank| {
            let credit = self.ranks[rank].effective_credit(now).max(0);
            (std::cmp::Reverse(credit), rank)
        });
        order.sort_unstable();
        order.into_iter().find_map(|(_, rank)| {
            let long_allowed = rank == Rank::Urgent || self.is_long_allowed();
            let queue = &self.ranks[rank];
            let late_first = queue.late_backlog > 0 && queue.has_slack(now, self.config.slots);
            let (sub_queue, caller) = queue.next_to_serve(late_first, long_allowed, eligible)?;
            Some((rank, sub_queue, caller))
        })
    }

    /// Refuses the newest request of the caller with the most waiting requests of a rank. The
    /// arriving request counts for its caller.
    fn make_room(&mut self, rank: Rank, arriving: &Name, limit: u32) -> Result<(), RefusalReason> {
        let reason = RefusalReason::QueueFull { limit };
        let queue = &mut self.ranks[rank];
        let own = match queue.index.get(arriving) {
            Some(index) => queue.caller(*index).new_request_count(),
            None => 0,
        };
        let victim = match queue.callers_by_count.last() {
            Some(&(count, index)) if count > own + 1 => {
                let sub_queues = &queue.caller(index).sub_queues;
                // Late requests go first.
                let classes = SubQueue::NEW.chunks(2).find_map(|class| {
                    let newest = class
                        .iter()
                        .filter_map(|sub_queue| sub_queues[*sub_queue as usize].last_key_value());
                    newest.max()
                });
                classes.map(|(_, request)| *request)
            }
            _ => None,
        };
        let Some(request) = victim else {
            queue.refused += 1;
            return Err(reason);
        };
        self.remove_waiting(request);
        self.refuse(request, rank, reason);
        Ok(())
    }

    fn refuse(&mut self, request: RequestId, rank: Rank, reason: RefusalReason) {
        self.ranks[rank].refused += 1;
        self.refused.push((request, reason));
    }

    fn remove_waiting(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&request)?;
        self.expiries.remove(&(waiting.start_by, request));
        let queue = &mut self.ranks[waiting.rank];
        queue.late_turns.remove(&(waiting.late_after, request));
        queue.remove_request(&waiting);
        Some(waiting)
    }
}
