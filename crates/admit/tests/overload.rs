//! Overload of one database in virtual time: which requests are answered in time, late or not at all,
//! and who waits for whom.

use std::collections::{BTreeMap, BTreeSet};

use admit::{QueueConfig, RequestId, SlotQueue, SlotRequest};
use model::{Micros, Name, Rank, RankConfig, RankMap};

const SLOTS: u32 = 5;
/// Mean time of a statement; the durations are exponentially distributed.
const STATEMENT_TIME: f64 = 20_000.0;
const TARGET: Micros = Micros::from_millis(250);
const TIME_LIMIT: Micros = Micros::from_millis(1_000);

/// Deterministic random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> Micros {
        Micros((-self.unit().max(1e-12).ln() * mean) as u64)
    }
}

/// How requests beyond the latency objective are treated.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// Refused when their expected wait passes the objective, as before the classes.
    RefuseLate,
    /// No objective: one class until the deadline.
    OneClass,
    TwoClasses,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Tally {
    sent: usize,
    in_time: usize,
    late: usize,
    /// Refused on arrival, and after a wait.
    refused: usize,
    expired: usize,
    waited: Vec<u64>,
}

impl Tally {
    fn percent(&self, count: usize) -> f64 {
        100.0 * count as f64 / self.sent.max(1) as f64
    }

    fn wait_percentile(&mut self, percent: usize) -> Micros {
        self.waited.sort_unstable();
        let index = (self.waited.len() * percent / 100).min(self.waited.len().saturating_sub(1));
        Micros(self.waited.get(index).copied().unwrap_or_default())
    }
}

struct Arrival {
    at: Micros,
    caller: usize,
}

/// Arrivals of each of some callers at a rate per second between two times.
fn arrivals(random: &mut Random, caller: usize, rate: f64, from: u64, to: u64) -> Vec<Arrival> {
    let (mut at, end) = (Micros::from_millis(from), Micros::from_millis(to));
    let mut list = Vec::new();
    loop {
        at += random.exponential(1e6 / rate);
        if at >= end {
            return list;
        }
        list.push(Arrival { at, caller });
    }
}

/// Runs the arrivals through a queue; the database answers nothing during `stall`. Returns a tally for
/// each caller.
fn run(mut list: Vec<Arrival>, policy: Policy, stall: (u64, u64)) -> BTreeMap<usize, Tally> {
    list.sort_by_key(|arrival| arrival.at);
    let ranks = RankMap([RankConfig { floor_percent: 10, queue_limit: 256 }; 3]);
    let mut queue = SlotQueue::new(QueueConfig { slots: SLOTS, ranks });
    let mut random = Random(7);
    let (stall_start, stall_end) = (Micros::from_millis(stall.0), Micros::from_millis(stall.1));
    let mut tallies: BTreeMap<usize, Tally> = BTreeMap::new();
    let mut running: BTreeSet<(Micros, u64)> = BTreeSet::new();
    let mut next = 0;
    loop {
        let arrival = list.get(next).map(|arrival| arrival.at);
        let finish = running.first().map(|(at, _)| *at);
        let now = match (arrival, finish) {
            (Some(arrival), Some(finish)) => arrival.min(finish),
            (Some(at), None) | (None, Some(at)) => at,
            (None, None) => break,
        };
        if finish == Some(now) {
            let (_, id) = running.pop_first().expect("a statement runs");
            queue.finish(now, RequestId(id));
            let sent = &list[id as usize];
            let tally = tallies.entry(sent.caller).or_default();
            let met = now <= sent.at + TARGET;
            (tally.in_time, tally.late) =
                (tally.in_time + usize::from(met), tally.late + usize::from(!met));
        } else {
            let sent = &list[next];
            let slot_request = SlotRequest {
                request: RequestId(next as u64),
                rank: Rank::Interactive,
                caller: Name::from(format!("c{}", sent.caller)),
                deadline: now + TIME_LIMIT,
                selector: "readings".into(),
                in_transaction: false,
            };
            let tally = tallies.entry(sent.caller).or_default();
            tally.sent += 1;
            let wait = queue.expected_wait(now, Rank::Interactive);
            let service = queue.service_time("readings");
            let sheds = wait + Micros(wait.0 / 3) + service > TARGET && wait > service;
            let result = match policy {
                Policy::RefuseLate if sheds => Err(()),
                Policy::RefuseLate | Policy::OneClass => {
                    queue.enqueue(now, slot_request).map_err(|_| ())
                }
                Policy::TwoClasses => queue
                    .enqueue_with_target(now, slot_request, now + TARGET)
                    .map(|_| ())
                    .map_err(|_| ()),
            };
            tally.refused += usize::from(result.is_err());
            next += 1;
        }
        for (request, _) in queue.expire(now) {
            tallies.entry(list[request.0 as usize].caller).or_default().expired += 1;
        }
        while let Some(grant) = queue.grant(now) {
            let start = if now >= stall_start && now < stall_end { stall_end } else { now };
            running.insert((start + random.exponential(STATEMENT_TIME), grant.request.0));
            let caller = list[grant.request.0 as usize].caller;
            tallies.entry(caller).or_default().waited.push(grant.waited.0);
        }
    }
    tallies
}

fn total(tallies: &BTreeMap<usize, Tally>, keep: impl Fn(usize) -> bool) -> Tally {
    let mut sum = Tally::default();
    for (_, tally) in tallies.iter().filter(|(caller, _)| keep(**caller)) {
        sum.sent += tally.sent;
        sum.in_time += tally.in_time;
        sum.late += tally.late;
        sum.refused += tally.refused;
        sum.expired += tally.expired;
        sum.waited.extend(&tally.waited);
    }
    sum
}

fn report(name: &str, tally: &mut Tally) {
    let (median, tail) = (tally.wait_percentile(50), tally.wait_percentile(99));
    println!(
        "{name}: sent {}, in time {:.1}%, late {:.1}%, refused {:.1}%, expired {:.1}%, \
         wait p50 {median} p99 {tail}",
        tally.sent,
        tally.percent(tally.in_time),
        tally.percent(tally.late),
        tally.percent(tally.refused),
        tally.percent(tally.expired),
    );
}

/// Demand of 60 sessions: usual load at 80% of the capacity, with peaks of `peak` times the capacity.
fn peaks(peak: f64) -> Vec<Arrival> {
    let capacity = f64::from(SLOTS) * 1e6 / STATEMENT_TIME;
    let mut random = Random(1);
    let mut list = Vec::new();
    for caller in 0..60 {
        list.extend(arrivals(&mut random, caller, capacity * 0.8 / 60.0, 0, 20_000));
        let extra = capacity * (peak - 0.8) / 60.0;
        for start in [3_000, 9_000, 15_000] {
            list.extend(arrivals(&mut random, caller, extra, start, start + 1_500));
        }
    }
    list
}

/// Demand peaks of 1.5 s above the capacity, with a time limit of four times the latency objective.
/// Requests that could still be served were refused, and most of those served were late, because each
/// waited behind others that were late already.
#[test]
fn most_requests_of_a_demand_peak_are_in_time() {
    for peak in [1.1, 1.3, 1.6] {
        let mut before = total(&run(peaks(peak), Policy::RefuseLate, (0, 0)), |_| true);
        let mut one = total(&run(peaks(peak), Policy::OneClass, (0, 0)), |_| true);
        let mut after = total(&run(peaks(peak), Policy::TwoClasses, (0, 0)), |_| true);
        report(&format!("{peak} refuse late"), &mut before);
        report(&format!("{peak} one class"), &mut one);
        report(&format!("{peak} two classes"), &mut after);
        let gained = after.in_time - before.in_time;
        let lost = (before.in_time + before.late).saturating_sub(after.in_time + after.late);
        assert!(gained * 100 >= after.sent, "{gained} more in time");
        assert!(gained >= 2 * lost, "{gained} more in time for {lost} more that are not served");
    }
}

/// A database answers nothing for 400 ms, as in a failover. The requests that can still be in time
/// were served after those that cannot.
#[test]
fn after_a_stall_requests_in_time_go_first() {
    let list = || {
        let mut random = Random(2);
        let rate = f64::from(SLOTS) * 1e6 / STATEMENT_TIME * 0.85 / 60.0;
        (0..60).flat_map(|caller| arrivals(&mut random, caller, rate, 0, 6_000)).collect()
    };
    let [before, one, after] =
        [Policy::RefuseLate, Policy::OneClass, Policy::TwoClasses].map(|policy| {
            let mut tally = total(&run(list(), policy, (3_000, 3_400)), |_| true);
            report("stall", &mut tally);
            tally
        });
    assert!(after.in_time > before.in_time && after.in_time > one.in_time);
    assert!(after.in_time + after.late >= before.in_time + before.late);
}

/// 73 accounts whose demand is distributed by Zipf with exponent 1.2, at 80% of the capacity. One of
/// them floods with 8 times its usual rate.
fn accounts(flooding: Option<usize>) -> Vec<Arrival> {
    let capacity = f64::from(SLOTS) * 1e6 / STATEMENT_TIME;
    let weights: Vec<f64> = (1..=73).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let sum: f64 = weights.iter().sum();
    let mut list = Vec::new();
    for (caller, weight) in weights.iter().enumerate() {
        // A generator for each account, so that its requests are the same in every run.
        let mut random = Random(100 + caller as u64);
        let rate = capacity * 0.8 * weight / sum;
        list.extend(arrivals(&mut random, caller, rate, 0, 20_000));
        if flooding == Some(caller) {
            list.extend(arrivals(&mut random, caller, rate * 7.0, 5_000, 15_000));
        }
    }
    list
}

/// One account floods (`burst` of one account). The refusals and waits of the smaller accounts in the
/// same rank do not rise.
#[test]
fn an_account_that_floods_delays_no_smaller_one() {
    for flooding in [0, 2, 10] {
        let is_other = |caller: usize| caller != flooding && caller != 0;
        let mut quiet = total(&run(accounts(None), Policy::TwoClasses, (0, 0)), is_other);
        let flooded = run(accounts(Some(flooding)), Policy::TwoClasses, (0, 0));
        let mut others = total(&flooded, is_other);
        report(&format!("without flood of {flooding}"), &mut quiet);
        report(&format!("others, flood of {flooding}"), &mut others);
        report("flooding", &mut total(&flooded, |caller| caller == flooding));
        report("largest", &mut total(&flooded, |caller| caller == 0));
        assert!(others.refused + others.expired <= quiet.refused + quiet.expired + 2);
        assert!(others.wait_percentile(99) <= TARGET);
    }
}
