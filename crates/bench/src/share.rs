//! One database shared by several proxies, in virtual time.
//!
//! The same requests arrive at nine proxies, the first of which has half of the callers. Three designs
//! distribute the slots and connections of the database:
//!
//! - **equal**: each proxy has a ninth of the slots and connections, and at least one of each;
//! - **lent**: each slot belongs to one proxy at a time, with a part of the connections. A proxy without
//!   a free slot asks the others in turn. One that has a free slot, or only less urgent requests, lends
//!   a slot;
//! - **owner**: one proxy has all slots and connections; the others forward their requests to it.
//!
//! Each holder of slots orders its requests with a [`SlotQueue`], so the designs differ only in which
//! proxy holds the slots. The database executes at most its number of slots at once and queues further
//! statements in order of arrival. A new connection takes [`OPEN_TIME`].

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Write;

use admit::{QueueConfig, RequestId, SlotQueue, SlotRequest};
use model::{Micros, Rank, RankConfig, RankMap};

use crate::rank::{
    ExperimentRequest, LoadMix, MIN_SHARES, NORMAL, QUEUE_LIMIT, RankExperiment, generate_requests,
    steady,
};

/// Number of proxies in front of the database.
pub const PROXY_COUNT: usize = 9;
/// Time to open a connection.
pub const OPEN_TIME: Micros = Micros::from_millis(12);
/// Pause before a proxy asks again after all others declined to lend a slot.
const ASK_BACKOFF: Micros = Micros::from_millis(5);
/// Index of the owner. It is not the proxy with half of the callers, so most requests are forwarded.
const OWNER_PROXY: usize = 1;

/// Design that determines which proxy holds the slots and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareDesign {
    Equal,
    Lent,
    Owner,
}

impl ShareDesign {
    pub const ALL: [ShareDesign; 3] = [ShareDesign::Equal, ShareDesign::Lent, ShareDesign::Owner];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            ShareDesign::Equal => "equal",
            ShareDesign::Lent => "lent",
            ShareDesign::Owner => "owner",
        }
    }
}

/// Limits of the database, and network delay between proxies.
#[derive(Clone, Copy, Debug)]
pub struct ShareSize {
    pub slots: u32,
    pub connections: u32,
    pub hop: Micros,
}

/// Sizes of the databases of both users (section 1.4 of the design page).
pub const SHARE_SIZES: [ShareSize; 2] = [
    ShareSize { slots: 2, connections: 16, hop: Micros(500) },
    ShareSize { slots: 5, connections: 55, hop: Micros(1_400) },
];

/// Outcome of one rank.
#[derive(Clone, Debug, Default)]
pub struct ShareRank {
    pub offered: u64,
    /// Requests whose answer reached the entry proxy within the deadline.
    pub in_time: u64,
    /// Share of the slot time of all slots, from 0 to 1.
    pub share: f64,
    /// Times from the arrival at the entry proxy to the start in the database, of answered requests.
    pub waits: Vec<Micros>,
}

impl ShareRank {
    /// Returns the share of requests that were answered within their deadline, from 0 to 1.
    pub fn in_time_share(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.in_time as f64 / self.offered as f64 }
    }

    /// Returns a percentile of the waits; zero if no request was answered.
    pub fn wait(&self, percent: usize) -> Micros {
        self.waits.get(self.waits.len() * percent / 100).copied().unwrap_or_default()
    }
}

/// Outcome of one run.
#[derive(Clone, Debug)]
pub struct ShareOutcome {
    pub ranks: RankMap<ShareRank>,
    /// Share of the database's slots in use while requests wait in a queue, from 0 to 1. Requests that
    /// are being forwarded to the owner do not count as waiting.
    pub busy: f64,
    /// Messages between proxies for each request.
    pub messages: f64,
    /// Highest number of statements in the database at the same time.
    pub slots_highest: u32,
    /// Highest number of connections open or opening at the same time.
    pub connections_highest: u32,
}

/// A proxy that holds slots.
struct SlotHolder {
    queue: SlotQueue,
    slots: u32,
    running: u32,
    waiting: RankMap<u32>,
    connections: u32,
    idle: u32,
    /// Whether an answer to a slot request or the end of [`ASK_BACKOFF`] is awaited.
    awaiting_slot: bool,
    next_peer: usize,
    /// Number of declined slot requests since this holder last got a slot or last paused.
    decline_count: usize,
    /// Holders to which a slot was promised as soon as one is free, with the rank of their request.
    promised: VecDeque<(usize, Rank)>,
    /// Time of the earliest scheduled [`ShareEvent::Expire`].
    next_expiry_event: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShareEvent {
    Finished { request: usize },
    SlotRequest { from: usize, to: usize, rank: Rank },
    Lent { to: usize },
    Declined { to: usize },
    RetryRequest { holder: usize },
    Opened { request: usize },
    Queued { request: usize },
    Arrived { request: usize },
    Expire { holder: usize },
}

struct ShareRun<'run> {
    design: ShareDesign,
    size: ShareSize,
    experiment: &'run RankExperiment,
    requests: Vec<ExperimentRequest>,
    holders: Vec<SlotHolder>,
    events: BinaryHeap<Reverse<(Micros, u64, ShareEvent)>>,
    sequence: u64,
    now: Micros,
    /// End of the arrivals; the use of slots is not measured after it.
    end: Micros,
    /// Statements that wait in the database for a slot.
    backlog: VecDeque<usize>,
    executing: u32,
    /// Statements in the database, executing or waiting.
    statement_count: u32,
    waits: Vec<Micros>,
    messages: u64,
    connections: u32,
    /// Slot time in use while requests wait.
    busy: u64,
    /// Slot time of all slots while requests wait.
    contended: u64,
    outcome: ShareOutcome,
}

fn queue_config(slots: u32) -> QueueConfig {
    let rank = |floor_percent| RankConfig { floor_percent, queue_limit: QUEUE_LIMIT };
    QueueConfig { slots, ranks: RankMap(MIN_SHARES.0.map(rank)) }
}

/// Returns the entry proxy of a caller; the first proxy has half of the callers.
fn entry_proxy(caller: usize) -> usize {
    if caller.is_multiple_of(2) { 0 } else { 1 + caller / 2 % (PROXY_COUNT - 1) }
}

/// Runs an experiment through one design.
pub fn run_shared(
    experiment: &RankExperiment,
    size: ShareSize,
    design: ShareDesign,
) -> ShareOutcome {
    let slots_of = |holder: usize| match design {
        ShareDesign::Equal => (size.slots / PROXY_COUNT as u32).max(1),
        ShareDesign::Lent => u32::from(holder < size.slots as usize),
        ShareDesign::Owner => size.slots,
    };
    let count = if design == ShareDesign::Owner { 1 } else { PROXY_COUNT };
    let holders = (0..count).map(|holder| SlotHolder {
        queue: SlotQueue::new(queue_config(slots_of(holder))),
        slots: slots_of(holder),
        running: 0,
        waiting: RankMap([0; 3]),
        connections: 0,
        idle: 0,
        awaiting_slot: false,
        next_peer: (holder + 1) % PROXY_COUNT,
        decline_count: 0,
        promised: VecDeque::new(),
        next_expiry_event: None,
    });
    let requests = generate_requests(experiment);
    let mut run = ShareRun {
        design,
        size,
        experiment,
        waits: vec![Micros::ZERO; requests.len()],
        requests,
        holders: holders.collect(),
        events: BinaryHeap::new(),
        sequence: 0,
        now: Micros::ZERO,
        end: experiment.streams.iter().map(|stream| stream.until).max().unwrap_or_default(),
        backlog: VecDeque::new(),
        executing: 0,
        statement_count: 0,
        messages: 0,
        connections: 0,
        busy: 0,
        contended: 0,
        outcome: ShareOutcome {
            ranks: RankMap(std::array::from_fn(|_| ShareRank::default())),
            busy: 1.0,
            messages: 0.0,
            slots_highest: 0,
            connections_highest: 0,
        },
    };
    run.run();
    run.outcome
}

impl ShareRun<'_> {
    fn run(&mut self) {
        for request in 0..self.requests.len() {
            self.schedule(self.requests[request].arrives, ShareEvent::Arrived { request });
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            let has_waiting = !self.backlog.is_empty()
                || self.holders.iter().any(|holder| holder.waiting.0 != [0; 3]);
            if has_waiting && self.now >= self.experiment.warm_up && at <= self.end {
                let elapsed = (at - self.now).0;
                self.busy += u64::from(self.executing) * elapsed;
                self.contended += u64::from(self.size.slots) * elapsed;
            }
            self.now = at;
            self.handle(event);
        }
        if self.contended > 0 {
            self.outcome.busy = self.busy as f64 / self.contended as f64;
        }
        self.outcome.messages = self.messages as f64 / self.requests.len().max(1) as f64;
        let length = (self.end - self.experiment.warm_up).0;
        let capacity = u64::from(self.size.slots) * length;
        for rank in Rank::ALL {
            self.outcome.ranks[rank].share /= capacity as f64;
            self.outcome.ranks[rank].waits.sort_unstable();
        }
    }

    fn schedule(&mut self, at: Micros, event: ShareEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Sends a message between two proxies.
    fn send(&mut self, event: ShareEvent) {
        self.messages += 1;
        self.schedule(self.now + self.size.hop, event);
    }

    fn rank_of(&self, request: usize) -> Rank {
        self.experiment.streams[self.requests[request].stream].rank
    }

    fn holder_of(&self, request: usize) -> usize {
        match self.design {
            ShareDesign::Equal | ShareDesign::Lent => {
                entry_proxy(self.requests[request].caller_index)
            }
            ShareDesign::Owner => 0,
        }
    }

    /// Returns the network delay between the holder and the entry proxy.
    fn forwarding_delay(&self, request: usize) -> Micros {
        let entry = entry_proxy(self.requests[request].caller_index);
        let forwarded = self.design == ShareDesign::Owner && entry != OWNER_PROXY;
        if forwarded { self.size.hop } else { Micros::ZERO }
    }

    fn is_counted(&self, request: usize) -> bool {
        self.requests[request].arrives >= self.experiment.warm_up
    }

    fn handle(&mut self, event: ShareEvent) {
        match event {
            ShareEvent::Arrived { request } => {
                let rank = self.rank_of(request);
                self.outcome.ranks[rank].offered += u64::from(self.is_counted(request));
                match self.forwarding_delay(request) {
                    Micros::ZERO => self.enqueue(request),
                    _ => self.send(ShareEvent::Queued { request }),
                }
            }
            ShareEvent::Queued { request } => self.enqueue(request),
            ShareEvent::Opened { request } => self.send_statement(request),
            ShareEvent::Finished { request } => self.finish(request),
            ShareEvent::Expire { holder } => {
                if self.holders[holder]
                    .next_expiry_event
                    .is_some_and(|scheduled| scheduled <= self.now)
                {
                    self.holders[holder].next_expiry_event = None;
                }
                self.advance_holder(holder);
            }
            ShareEvent::SlotRequest { from, to, rank } => self.handle_slot_request(from, to, rank),
            ShareEvent::Lent { to } => {
                let holder = &mut self.holders[to];
                (holder.awaiting_slot, holder.decline_count) = (false, 0);
                self.set_slots(to, self.holders[to].slots + 1);
                self.advance_holder(to);
            }
            ShareEvent::Declined { to } => {
                let holder = &mut self.holders[to];
                holder.decline_count += 1;
                holder.next_peer = (holder.next_peer + 1) % PROXY_COUNT;
                if holder.decline_count < PROXY_COUNT - 1 {
                    holder.awaiting_slot = false;
                    self.borrow_slot(to);
                } else {
                    holder.decline_count = 0;
                    self.schedule(self.now + ASK_BACKOFF, ShareEvent::RetryRequest { holder: to });
                }
            }
            ShareEvent::RetryRequest { holder } => {
                self.holders[holder].awaiting_slot = false;
                self.borrow_slot(holder);
            }
        }
    }

    fn enqueue(&mut self, request: usize) {
        let index = self.holder_of(request);
        let (generated, rank) = (&self.requests[request], self.rank_of(request));
        let stream = &self.experiment.streams[generated.stream];
        let deadline = generated.arrives + stream.deadline;
        let slot_request = SlotRequest {
            request: RequestId(request as u64),
            rank,
            caller: generated.caller.clone(),
            deadline: deadline.saturating_sub(self.forwarding_delay(request)),
            selector: stream.selector.into(),
            in_transaction: false,
        };
        let holder = &mut self.holders[index];
        if holder.queue.enqueue(self.now, slot_request).is_ok() {
            holder.waiting[rank] += 1;
        }
        self.advance_holder(index);
    }

    /// Grants free slots, removes expired requests, and asks for a slot if requests still wait.
    fn advance_holder(&mut self, index: usize) {
        loop {
            while let Some(grant) = self.holders[index].queue.grant(self.now) {
                let request = grant.request.0 as usize;
                let holder = &mut self.holders[index];
                holder.waiting[grant.rank] -= 1;
                holder.running += 1;
                if holder.idle > 0 {
                    holder.idle -= 1;
                    self.send_statement(request);
                } else {
                    holder.connections += 1;
                    self.connections += 1;
                    let highest = &mut self.outcome.connections_highest;
                    *highest = (*highest).max(self.connections);
                    self.schedule(self.now + OPEN_TIME, ShareEvent::Opened { request });
                }
            }
            let expired = self.holders[index].queue.expire(self.now);
            if expired.is_empty() {
                break;
            }
            for (id, _) in expired {
                let rank = self.rank_of(id.0 as usize);
                self.holders[index].waiting[rank] -= 1;
            }
        }
        if let Some(at) = self.holders[index].queue.next_expiry() {
            let at = at.max(self.now);
            let holder = &mut self.holders[index];
            if holder.next_expiry_event.is_none_or(|scheduled| at < scheduled) {
                holder.next_expiry_event = Some(at);
                self.schedule(at, ShareEvent::Expire { holder: index });
            }
        }
        if self.design == ShareDesign::Lent {
            self.borrow_slot(index);
        }
    }

    /// Sends a statement to the database.
    fn send_statement(&mut self, request: usize) {
        self.statement_count += 1;
        self.outcome.slots_highest = self.outcome.slots_highest.max(self.statement_count);
        if self.executing < self.size.slots {
            self.execute(request);
        } else {
            self.backlog.push_back(request);
        }
    }

    fn execute(&mut self, request: usize) {
        self.executing += 1;
        self.waits[request] = self.now - self.requests[request].arrives;
        let end = self.now + self.requests[request].service;
        self.schedule(end, ShareEvent::Finished { request });
    }

    fn finish(&mut self, request: usize) {
        self.executing -= 1;
        self.statement_count -= 1;
        if let Some(next) = self.backlog.pop_front() {
            self.execute(next);
        }
        let forwarding_delay = self.forwarding_delay(request);
        self.messages += u64::from(forwarding_delay > Micros::ZERO);
        if self.is_counted(request) {
            let generated = &self.requests[request];
            let deadline = generated.arrives + self.experiment.streams[generated.stream].deadline;
            let rank = self.rank_of(request);
            let rank = &mut self.outcome.ranks[rank];
            rank.in_time += u64::from(self.now + forwarding_delay <= deadline);
            rank.waits.push(self.waits[request]);
            if self.now <= self.end {
                rank.share += generated.service.0 as f64;
            }
        }
        let index = self.holder_of(request);
        let holder = &mut self.holders[index];
        holder.queue.finish(self.now, RequestId(request as u64));
        holder.running -= 1;
        holder.idle += 1;
        if let Some((to, rank)) = holder.promised.pop_front() {
            match self.may_lend(index, rank) {
                true => self.lend(index, to),
                false => self.send(ShareEvent::Declined { to }),
            }
        }
        self.advance_holder(index);
    }

    fn set_slots(&mut self, index: usize, slots: u32) {
        self.holders[index].slots = slots;
        self.holders[index].queue.reconfigure(queue_config(slots));
    }

    /// Returns the most urgent rank with waiting requests.
    fn waiting_rank(&self, index: usize) -> Option<Rank> {
        Rank::ALL.into_iter().find(|rank| self.holders[index].waiting[*rank] > 0)
    }

    /// Asks the next proxy for a slot, if requests wait and no slot is free.
    fn borrow_slot(&mut self, index: usize) {
        let holder = &self.holders[index];
        if holder.awaiting_slot || holder.running < holder.slots {
            return;
        }
        let Some(rank) = self.waiting_rank(index) else { return };
        let holder = &mut self.holders[index];
        if holder.next_peer == index {
            holder.next_peer = (index + 1) % PROXY_COUNT;
        }
        holder.awaiting_slot = true;
        let to = holder.next_peer;
        self.send(ShareEvent::SlotRequest { from: index, to, rank });
    }

    /// Tells whether a holder may lend a slot: only if no request at least as urgent as `rank` waits
    /// there.
    fn may_lend(&self, index: usize, rank: Rank) -> bool {
        self.waiting_rank(index).is_none_or(|own| own > rank)
    }

    fn handle_slot_request(&mut self, from: usize, to: usize, rank: Rank) {
        let holder = &self.holders[to];
        let has_unpromised_slot = holder.slots as usize > holder.promised.len();
        if !has_unpromised_slot || !self.may_lend(to, rank) {
            self.send(ShareEvent::Declined { to: from });
        } else if holder.running < holder.slots {
            self.lend(to, from);
        } else {
            self.holders[to].promised.push_back((from, rank));
        }
    }

    /// Lends a free slot, and closes the connections that belong to it. Each proxy keeps one
    /// connection; the remaining connections are divided among the slots.
    fn lend(&mut self, index: usize, to: usize) {
        self.set_slots(index, self.holders[index].slots - 1);
        let connections_per_slot = (self.size.connections - PROXY_COUNT as u32) / self.size.slots;
        let holder = &mut self.holders[index];
        let limit = 1 + connections_per_slot * holder.slots;
        let closed = holder.connections.saturating_sub(limit).min(holder.idle);
        holder.idle -= closed;
        holder.connections -= closed;
        self.connections -= closed;
        self.send(ShareEvent::Lent { to });
    }
}

/// Returns the loads of the experiments: normal, an overload of batch requests and an overload of urgent
/// requests. Each overload is three times what the slots can serve.
pub fn loads() -> [(&'static str, LoadMix); 3] {
    [
        ("normal", NORMAL),
        ("batch x3", LoadMix { batch: 3.0, ..NORMAL }),
        ("urgent x3", LoadMix { urgent: 3.0, interactive: 0.3, batch: 0.3, ..NORMAL }),
    ]
}

/// Renders a line for each load, size, design and rank, and one for each run.
pub fn render_table(seed: u64) -> String {
    let mut table = String::from(
        "load       slots design rank         offered in time  share  p50 wait  p99 wait\n",
    );
    for (name, mix) in loads() {
        for size in SHARE_SIZES {
            let experiment = steady(size.slots, mix, seed);
            for design in ShareDesign::ALL {
                let outcome = run_shared(&experiment, size, design);
                let start = format!("{name:<10} {:>5} {:<6}", size.slots, design.name());
                for rank in Rank::ALL {
                    let result = &outcome.ranks[rank];
                    let _ = writeln!(
                        table,
                        "{start} {:<11} {:>8} {:>6.2}% {:>5.1}% {:>6.1} ms {:>6.1} ms",
                        rank.name(),
                        result.offered,
                        100.0 * result.in_time_share(),
                        100.0 * result.share,
                        result.wait(50).0 as f64 / 1_000.0,
                        result.wait(99).0 as f64 / 1_000.0,
                    );
                }
                let _ = writeln!(
                    table,
                    "{start} busy while work waits {:.1}%, messages per request {:.2}, highest use \
                     {} of {} slots, {} of {} connections",
                    100.0 * outcome.busy,
                    outcome.messages,
                    outcome.slots_highest,
                    size.slots,
                    outcome.connections_highest,
                    size.connections,
                );
            }
        }
    }
    table
}
