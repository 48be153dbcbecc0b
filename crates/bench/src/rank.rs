//! Service of the ranks under overload, in virtual time.
//!
//! One database receives streams of requests with random arrival and service times. The same requests go
//! through the [`SlotQueue`] and through a plain first-come, first-served queue without ranks and
//! deadlines. The sizes are those of section 1.4 of the design page.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Write;

use admit::{QueueConfig, RequestId, SlotQueue, SlotRequest};
use model::{Micros, Name, Rank, RankConfig, RankMap, SeededRandom};

/// Numbers of slots of a database in the installations of both users.
pub const SLOT_COUNTS: [u32; 2] = [2, 5];
/// Maximum number of waiting requests of each rank; the plain queue holds three times as many.
pub(crate) const QUEUE_LIMIT: u32 = 1_024;
/// Minimum shares of the experiments, in percent.
pub const MIN_SHARES: RankMap<u32> = RankMap([0, 15, 10]);

/// Kind of the queue under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// [`SlotQueue`].
    Ranked,
    /// First come, first served.
    Plain,
}

/// Stream of requests of one kind, with exponentially distributed times between arrivals.
#[derive(Clone, Debug)]
pub struct LoadStream {
    pub rank: Rank,
    pub selector: &'static str,
    pub callers: u64,
    /// Offered load as a multiple of what all slots can serve.
    pub load: f64,
    /// Mean service time. Half of it is constant, the other half exponentially distributed.
    pub service: Micros,
    pub deadline: Micros,
    pub from: Micros,
    pub until: Micros,
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct RankExperiment {
    pub slots: u32,
    pub streams: Vec<LoadStream>,
    /// Outcomes of requests that arrive before this are not counted.
    pub warm_up: Micros,
    /// Requests that arrive from this time on are also counted separately, as those after an overload.
    pub settled_from: RankMap<Micros>,
    pub seed: u64,
}

/// Outcome of one rank.
#[derive(Clone, Debug, Default)]
pub struct RankOutcome {
    pub offered: u64,
    /// Answered within the deadline.
    pub in_time: u64,
    /// Answered too late.
    pub late: u64,
    /// Refused without being executed.
    pub refused: u64,
    /// Share of the slot time of all slots, from 0 to 1.
    pub share: f64,
    /// Requests that arrived after `settled_from`, and those of them answered in time.
    pub settled: u64,
    pub settled_in_time: u64,
    /// Times that answered requests waited for a slot.
    pub waits: Vec<Micros>,
}

/// Outcome of one run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    pub ranks: RankMap<RankOutcome>,
    /// Share of the slots in use while requests wait.
    pub busy: f64,
    /// Share of the slot time spent on requests that were answered within their deadline.
    pub useful: f64,
}

impl Default for RunOutcome {
    fn default() -> Self {
        let ranks = RankMap(std::array::from_fn(|_| RankOutcome::default()));
        RunOutcome { ranks, busy: 1.0, useful: 0.0 }
    }
}

impl RankOutcome {
    /// Returns the share of requests that were answered within their deadline, from 0 to 1.
    pub fn in_time_share(&self) -> f64 {
        if self.offered == 0 { 1.0 } else { self.in_time as f64 / self.offered as f64 }
    }

    /// Returns the same share of the requests that arrived after `settled_from`.
    pub fn settled_share(&self) -> f64 {
        if self.settled == 0 { 1.0 } else { self.settled_in_time as f64 / self.settled as f64 }
    }
}

/// Draws from the exponential distribution with mean 1.
fn exponential(random: &mut SeededRandom) -> f64 {
    -(1.0 - random.unit()).ln()
}

/// A request of a run.
#[derive(Clone, Debug)]
pub(crate) struct ExperimentRequest {
    pub arrives: Micros,
    pub stream: usize,
    pub caller: Name,
    /// Index of the caller in its stream.
    pub caller_index: usize,
    pub service: Micros,
}

/// Generates all requests of an experiment, in order of arrival.
pub(crate) fn generate_requests(experiment: &RankExperiment) -> Vec<ExperimentRequest> {
    let mut random = SeededRandom::new(experiment.seed);
    let mut requests = Vec::new();
    for (index, stream) in experiment.streams.iter().enumerate() {
        let callers: Vec<Name> = (0..stream.callers)
            .map(|caller| Name::from(format!("{}-{caller}", stream.selector)))
            .collect();
        let gap = stream.service.0 as f64 / (stream.load * f64::from(experiment.slots));
        let mut now = stream.from.0 as f64;
        loop {
            now += gap * exponential(&mut random);
            if now >= stream.until.0 as f64 {
                break;
            }
            let half = stream.service.0 as f64 / 2.0;
            let caller_index = random.below(stream.callers) as usize;
            requests.push(ExperimentRequest {
                arrives: Micros(now as u64),
                stream: index,
                caller: callers[caller_index].clone(),
                caller_index,
                service: Micros((half + half * exponential(&mut random)) as u64),
            });
        }
    }
    requests.sort_by_key(|request| request.arrives);
    requests
}

/// Common interface of both queues.
enum QueueUnderTest {
    Ranked(Box<SlotQueue>),
    Plain { slots: usize, running: usize, waiting: VecDeque<RequestId> },
}

impl QueueUnderTest {
    fn new(kind: QueueKind, slots: u32) -> Self {
        match kind {
            QueueKind::Ranked => {
                let ranks = MIN_SHARES
                    .0
                    .map(|floor_percent| RankConfig { floor_percent, queue_limit: QUEUE_LIMIT });
                let config = QueueConfig { slots, ranks: RankMap(ranks) };
                QueueUnderTest::Ranked(Box::new(SlotQueue::new(config)))
            }
            QueueKind::Plain => QueueUnderTest::Plain {
                slots: slots as usize,
                running: 0,
                waiting: VecDeque::new(),
            },
        }
    }

    fn enqueue(&mut self, now: Micros, slot_request: SlotRequest) -> bool {
        match self {
            QueueUnderTest::Ranked(queue) => queue.enqueue(now, slot_request).is_ok(),
            QueueUnderTest::Plain { waiting, .. } => {
                let has_room = waiting.len() < 3 * QUEUE_LIMIT as usize;
                if has_room {
                    waiting.push_back(slot_request.request);
                }
                has_room
            }
        }
    }

    fn grant(&mut self, now: Micros) -> Option<RequestId> {
        match self {
            QueueUnderTest::Ranked(queue) => queue.grant(now).map(|grant| grant.request),
            QueueUnderTest::Plain { slots, running, waiting } => {
                if running == slots {
                    return None;
                }
                let id = waiting.pop_front()?;
                *running += 1;
                Some(id)
            }
        }
    }

    fn finish(&mut self, now: Micros, id: RequestId) {
        match self {
            QueueUnderTest::Ranked(queue) => queue.finish(now, id),
            QueueUnderTest::Plain { running, .. } => *running -= 1,
        }
    }

    fn expire(&mut self, now: Micros) -> Vec<RequestId> {
        match self {
            QueueUnderTest::Ranked(queue) => {
                queue.expire(now).into_iter().map(|(id, _)| id).collect()
            }
            QueueUnderTest::Plain { .. } => Vec::new(),
        }
    }

    fn next_expiry(&self) -> Option<Micros> {
        match self {
            QueueUnderTest::Ranked(queue) => queue.next_expiry(),
            QueueUnderTest::Plain { .. } => None,
        }
    }
}

/// Runs an experiment through one queue.
pub fn run_experiment(experiment: &RankExperiment, kind: QueueKind) -> RunOutcome {
    let requests = generate_requests(experiment);
    let end = experiment.streams.iter().map(|stream| stream.until).max().unwrap_or_default();
    let mut queue = QueueUnderTest::new(kind, experiment.slots);
    let mut outcome = RunOutcome::default();
    let mut finishes: BinaryHeap<Reverse<(Micros, usize)>> = BinaryHeap::new();
    let mut granted: Vec<Micros> = vec![Micros::ZERO; requests.len()];
    let mut arrivals = 0;
    let (mut waiting, mut running, mut running_ranks) = (0u64, 0u64, RankMap([0u64; 3]));
    let (mut now, mut busy, mut contended, mut useful) = (Micros::ZERO, 0u64, 0u64, 0u64);
    let counted = |index: usize| requests[index].arrives >= experiment.warm_up;
    loop {
        let next = [
            requests.get(arrivals).map(|request| request.arrives),
            finishes.peek().map(|Reverse((at, _))| *at),
            queue.next_expiry(),
        ];
        let Some(next) = next.into_iter().flatten().min() else { break };
        let next = next.max(now);
        if waiting > 0 && now >= experiment.warm_up && next <= end {
            let elapsed = (next - now).0;
            busy += running * elapsed;
            contended += u64::from(experiment.slots) * elapsed;
        }
        if now >= experiment.warm_up && next <= end {
            for rank in Rank::ALL {
                outcome.ranks[rank].share += (running_ranks[rank] * (next - now).0) as f64;
            }
        }
        now = next;
        while let Some(&Reverse((at, index))) = finishes.peek()
            && at <= now
        {
            finishes.pop();
            running -= 1;
            queue.finish(now, RequestId(index as u64));
            let request = &requests[index];
            let stream = &experiment.streams[request.stream];
            let in_time = now <= request.arrives + stream.deadline;
            let rank = &mut outcome.ranks[stream.rank];
            if counted(index) {
                rank.in_time += u64::from(in_time);
                rank.late += u64::from(!in_time);
                rank.waits.push(granted[index] - request.arrives);
            }
            running_ranks[stream.rank] -= 1;
            if request.arrives >= experiment.settled_from[stream.rank] {
                rank.settled_in_time += u64::from(in_time);
            }
            if now >= experiment.warm_up && now <= end {
                useful += if in_time { request.service.0 } else { 0 };
            }
        }
        while let Some(request) = requests.get(arrivals)
            && request.arrives <= now
        {
            let stream = &experiment.streams[request.stream];
            let slot_request = SlotRequest {
                request: RequestId(arrivals as u64),
                rank: stream.rank,
                caller: request.caller.clone(),
                deadline: request.arrives + stream.deadline,
                selector: stream.selector.into(),
                in_transaction: false,
            };
            let rank = &mut outcome.ranks[stream.rank];
            rank.offered += u64::from(counted(arrivals));
            rank.settled += u64::from(request.arrives >= experiment.settled_from[stream.rank]);
            if queue.enqueue(now, slot_request) {
                waiting += 1;
            } else {
                rank.refused += u64::from(counted(arrivals));
            }
            arrivals += 1;
        }
        loop {
            while let Some(id) = queue.grant(now) {
                let index = id.0 as usize;
                granted[index] = now;
                finishes.push(Reverse((now + requests[index].service, index)));
                waiting -= 1;
                running += 1;
                running_ranks[experiment.streams[requests[index].stream].rank] += 1;
            }
            let expired = queue.expire(now);
            if expired.is_empty() {
                break;
            }
            for id in expired {
                let index = id.0 as usize;
                let rank = &mut outcome.ranks[experiment.streams[requests[index].stream].rank];
                rank.refused += u64::from(counted(index));
                waiting -= 1;
            }
        }
    }
    let capacity = u64::from(experiment.slots) * (end - experiment.warm_up).0;
    for rank in Rank::ALL {
        outcome.ranks[rank].share /= capacity as f64;
        outcome.ranks[rank].waits.sort_unstable();
    }
    if contended > 0 {
        outcome.busy = busy as f64 / contended as f64;
    }
    outcome.useful = useful as f64 / capacity as f64;
    outcome
}

/// Load of each kind as multiples of the capacity of the slots.
#[derive(Clone, Copy, Debug)]
pub struct LoadMix {
    pub urgent: f64,
    pub interactive: f64,
    /// Uploads of 20 ms.
    pub batch: f64,
    /// Reports of 400 ms.
    pub reports: f64,
}

/// Length of an experiment.
pub const EXPERIMENT_LENGTH: Micros = Micros::from_secs(60);
/// Time until the estimates and queue lengths have become steady.
pub const WARM_UP: Micros = Micros::from_secs(10);

/// Returns the streams of a mix that arrive between `from` and `until`.
pub fn streams(mix: LoadMix, from: Micros, until: Micros) -> Vec<LoadStream> {
    let stream = |rank, selector, callers, load, service, deadline| LoadStream {
        rank,
        selector,
        callers,
        load,
        service: Micros::from_millis(service),
        deadline: Micros::from_millis(deadline),
        from,
        until,
    };
    let all = vec![
        stream(Rank::Urgent, "purchase", 200, mix.urgent, 10, 1_000),
        stream(Rank::Interactive, "balance", 200, mix.interactive, 8, 1_000),
        stream(Rank::Batch, "upload", 50, mix.batch, 20, 5_000),
        stream(Rank::Batch, "report", 5, mix.reports, 400, 30_000),
    ];
    all.into_iter().filter(|stream| stream.load > 0.0).collect()
}

/// Load without overload: 75% of the capacity.
pub const NORMAL: LoadMix = LoadMix { urgent: 0.5, interactive: 0.1, batch: 0.1, reports: 0.05 };

/// Returns an experiment with the same mix for its whole length.
pub fn steady(slots: u32, mix: LoadMix, seed: u64) -> RankExperiment {
    RankExperiment {
        slots,
        streams: streams(mix, Micros::ZERO, EXPERIMENT_LENGTH),
        warm_up: WARM_UP,
        settled_from: RankMap([WARM_UP; 3]),
        seed,
    }
}

/// Returns an experiment with normal load and an overload between 15 s and 25 s. Requests of a rank count
/// as settled from one deadline after the end of the overload.
pub fn temporary_overload(slots: u32, overload: LoadMix, seed: u64) -> RankExperiment {
    let mut all = streams(NORMAL, Micros::ZERO, EXPERIMENT_LENGTH);
    all.extend(streams(overload, OVERLOAD_START, OVERLOAD_END));
    let settled_from =
        RankMap([1, 1, 5].map(|deadline| OVERLOAD_END + Micros::from_secs(deadline)));
    RankExperiment { slots, streams: all, warm_up: WARM_UP, settled_from, seed }
}

/// Start of a temporary overload.
pub const OVERLOAD_START: Micros = Micros::from_secs(15);
/// End of a temporary overload.
pub const OVERLOAD_END: Micros = Micros::from_secs(25);

/// Returns the loads of the experiments by name.
pub fn experiment_loads() -> Vec<(&'static str, LoadMix)> {
    vec![
        ("normal", NORMAL),
        ("batch x3", LoadMix { batch: 3.0, ..NORMAL }),
        ("batch x10", LoadMix { batch: 10.0, ..NORMAL }),
        ("urgent x3", LoadMix { urgent: 3.0, interactive: 0.3, batch: 0.3, ..NORMAL }),
        ("urgent x10", LoadMix { urgent: 10.0, interactive: 0.3, batch: 0.3, ..NORMAL }),
        ("all x10", LoadMix { urgent: 10.0, interactive: 10.0, batch: 10.0, reports: 1.0 }),
    ]
}

/// Renders a line for each load, number of slots, queue and rank.
pub fn render_table(seed: u64) -> String {
    let mut table = String::from(
        "flood       slots queue  rank         offered in time   late refused  share  p99 wait\n",
    );
    for (name, mix) in experiment_loads() {
        for slots in SLOT_COUNTS {
            for kind in [QueueKind::Ranked, QueueKind::Plain] {
                let outcome = run_experiment(&steady(slots, mix, seed), kind);
                let queue = if kind == QueueKind::Ranked { "ranked" } else { "plain" };
                for rank in Rank::ALL {
                    let result = &outcome.ranks[rank];
                    let index = result.waits.len() * 99 / 100;
                    let wait = result.waits.get(index).copied().unwrap_or_default();
                    let _ = writeln!(
                        table,
                        "{name:<11} {slots:>5} {queue:<6} {:<11} {:>8} {:>6.2}% {:>6} {:>7} \
                         {:>5.1}% {:>6} ms",
                        rank.name(),
                        result.offered,
                        100.0 * result.in_time_share(),
                        result.late,
                        result.refused,
                        100.0 * result.share,
                        wait.as_millis(),
                    );
                }
                let _ = writeln!(
                    table,
                    "{name:<11} {slots:>5} {queue:<6} busy while work waits {:.1}%, useful {:.1}%",
                    100.0 * outcome.busy,
                    100.0 * outcome.useful,
                );
            }
        }
    }
    table
}
