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

/// Sub-queue of a caller: open transactions apart from new requests, short apart from long statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubQueue {
    TransactionShort,
    TransactionLong,
    NewShort,
    NewLong,
}

impl SubQueue {
    const ALL: [SubQueue; 4] = [
        SubQueue::TransactionShort,
        SubQueue::TransactionLong,
        SubQueue::NewShort,
        SubQueue::NewLong,
    ];

    fn of(in_transaction: bool, long: bool) -> SubQueue {
        match (in_transaction, long) {
            (true, false) => SubQueue::TransactionShort,
            (true, true) => SubQueue::TransactionLong,
            (false, false) => SubQueue::NewShort,
            (false, true) => SubQueue::NewLong,
        }
    }

    fn is_long(self) -> bool {
        matches!(self, SubQueue::TransactionLong | SubQueue::NewLong)
    }

    fn is_new(self) -> bool {
        matches!(self, SubQueue::NewShort | SubQueue::NewLong)
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
}

/// One caller of one rank.
#[derive(Debug)]
struct CallerState {
    name: Name,
    /// Slot time charged, on the scale of the rank's virtual time.
    used: u64,
    /// Order among callers with the same slot time.
    activated: u64,
    sub_queues: [BTreeMap<u64, RequestId>; 4],
    /// Sum of the charges of waiting requests.
    backlog: u64,
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
        self.sub_queues[SubQueue::NewShort as usize].len()
            + self.sub_queues[SubQueue::NewLong as usize].len()
    }
}

/// One rank: its callers in the order of their slot time, for each sub-queue.
#[derive(Debug, Default)]
struct RankQueue {
    callers: Vec<Option<CallerState>>,
    free: Vec<usize>,
    index: FastMap<Name, usize>,
    /// Callers with requests in the sub-queue, by (slot time, activation, index).
    order: [BTreeSet<(u64, u64, usize)>; 4],
    /// Callers without waiting requests, by (slot time, index).
    idle: BTreeSet<(u64, usize)>,
    /// Callers by number of waiting requests outside transactions.
    callers_by_count: BTreeSet<(usize, usize)>,
    /// Virtual time: highest slot time at which a caller was served; 0 again once the rank is empty.
    virtual_time: u64,
    waiting: u32,
    /// Waiting requests outside transactions; the limit applies to these.
    waiting_new: u32,
    waiting_callers: u32,
    backlog: u64,

    running: u32,
    /// Sum of the charges and of the start times of running statements.
    charged: u64,
    started: u64,
    /// Slot time owed to the rank, in hundredths of a microsecond.
    credit: i64,
    /// Smoothed time of a statement, in microseconds.
    mean: u64,
    /// Longest recent statement, in microseconds; decays with time.
    longest: f64,
    /// Smoothed share of the slots in use, from 0 to 1.
    share: f64,
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
        state.backlog += waiting.charged;
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
    }

    fn remove_request(&mut self, waiting: &WaitingRequest) {
        let state = self.caller(waiting.caller);
        let count = state.new_request_count();
        let used = state.used;
        let key = state.order_key(waiting.caller);
        let sub_queue = &mut state.sub_queues[waiting.sub_queue as usize];
        sub_queue.remove(&waiting.sequence);
        let emptied = sub_queue.is_empty();
        state.backlog -= waiting.charged;
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

    /// Returns the sub-queue and caller to serve next: transactions first, then the least slot time.
    fn next_to_serve(
        &self,
        long_allowed: bool,
        eligible: &impl Fn(&Name) -> bool,
    ) -> Option<(SubQueue, usize)> {
        let is_eligible = |index: usize| {
            self.callers[index].as_ref().is_some_and(|caller| eligible(&caller.name))
        };
        SubQueue::ALL.chunks(2).find_map(|pair| {
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
        self.update_accounts(now);
        let rank = slot_request.rank;
        let estimate = self.estimate(&slot_request.selector);
        let service = estimate.with_margin();
        let left = slot_request.deadline.saturating_sub(now);
        let queue = &self.ranks[rank];
        let own = match queue.index.get(&slot_request.caller) {
            Some(index) => queue.callers[*index].as_ref().map_or(0, |state| state.backlog),
            None => 0,
        };
        // Callers take turns, so a caller waits for at most as much slot time of each other caller as
        // of its own.
        let turns = u64::from(queue.waiting_callers) + 1;
        let ahead = queue.backlog.min(own.saturating_add(estimate.mean).saturating_mul(turns));
        let wait = if slot_request.in_transaction {
            Micros::ZERO
        } else {
            self.wait_behind(now, rank, ahead)
        };
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
        let waiting = WaitingRequest {
            rank,
            caller: self.ranks[rank].find_or_add_caller(&slot_request.caller),
            selector: slot_request.selector,
            sequence: self.sequence,
            sub_queue: SubQueue::of(slot_request.in_transaction, long),
            arrived: now,
            charged: estimate.mean,
            start_by: slot_request.deadline.saturating_sub(service),
        };
        self.ranks[rank].insert_request(slot_request.request, &waiting);
        self.expiries.insert((waiting.start_by, slot_request.request));
        self.waiting.insert(slot_request.request, waiting);
        Ok(())
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
                let moved = WaitingRequest {
                    sub_queue: SubQueue::of(!sub_queue.is_new(), true),
                    ..waiting
                };
                self.ranks[rank].insert_request(request, &moved);
                self.expiries.insert((moved.start_by, request));
                self.waiting.insert(request, moved);
                continue;
            }
            let queue = &mut self.ranks[rank];
            queue.virtual_time = queue.virtual_time.max(queue.caller(caller).used);
            queue.charge(caller, estimate.mean, 0);
            queue.caller(caller).running += 1;
            queue.running += 1;
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
    /// does not change the estimate for others.
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
    /// queue.abandon(Micros::from_secs(1), RequestId(1));
    /// assert_eq!(queue.service_time("sales"), before);
    /// ```
    pub fn abandon(&mut self, now: Micros, request: RequestId) {
        self.release(now, request);
    }

    fn release(&mut self, now: Micros, request: RequestId) -> Option<(RunningRequest, u64)> {
        self.update_accounts(now);
        let running = self.running.remove(&request)?;
        let time = now.saturating_sub(running.started).0;
        let queue = &mut self.ranks[running.rank];
        queue.running -= 1;
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
        self.wait_behind(now, rank, queue.backlog.min(mean.saturating_mul(turns)))
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
    /// have been granted.
    fn wait_behind(&self, now: Micros, rank: Rank, ahead: u64) -> Micros {
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
        let open = (1.0 - used - reserved).max(minimum).max(0.01);
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
            let (sub_queue, caller) = self.ranks[rank].next_to_serve(long_allowed, eligible)?;
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
                let newest = [SubQueue::NewShort, SubQueue::NewLong]
                    .into_iter()
                    .filter_map(|sub_queue| sub_queues[sub_queue as usize].last_key_value())
                    .max();
                newest.map(|(_, request)| *request)
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
        self.ranks[waiting.rank].remove_request(&waiting);
        Some(waiting)
    }
}
