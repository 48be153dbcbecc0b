//! Invariants of the slot queue.

use std::collections::BTreeMap;

use admit::{QueueConfig, RefusalReason, RequestId, SlotQueue, SlotRequest};
use model::{Micros, Rank, RankConfig, RankMap};
use proptest::prelude::*;

fn config(slots: u32, shares: [u32; 3], queue_limit: u32) -> QueueConfig {
    let ranks = shares.map(|floor_percent| RankConfig { floor_percent, queue_limit });
    QueueConfig { slots, ranks: RankMap(ranks) }
}

fn slot_request(request: u64, rank: Rank, caller: usize, deadline: u64) -> SlotRequest {
    SlotRequest {
        request: RequestId(request),
        rank,
        caller: format!("caller-{caller}").as_str().into(),
        deadline: Micros(deadline),
        selector: rank.name().into(),
        in_transaction: false,
    }
}

#[derive(Clone, Debug)]
enum QueueStep {
    Enqueue { rank: usize, caller: usize, left: u64, target: Option<u64>, in_transaction: bool },
    Cancel(usize),
    Grant,
    Finish(usize),
    Expire,
    Resize(u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        6 => (
            0usize..3,
            0usize..5,
            0u64..900_000,
            prop::option::of(0u64..300_000),
            prop::bool::weighted(0.2),
        )
            .prop_map(|(rank, caller, left, target, in_transaction)| QueueStep::Enqueue {
                rank, caller, left, target, in_transaction
            }),
        1 => (0usize..64).prop_map(QueueStep::Cancel),
        4 => Just(QueueStep::Grant),
        3 => (0usize..8).prop_map(QueueStep::Finish),
        1 => Just(QueueStep::Expire),
        1 => (0u32..6).prop_map(QueueStep::Resize),
        4 => (0u64..400_000).prop_map(QueueStep::Wait),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestState {
    Waiting,
    Running,
    Ended,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    // Guards against slots granted beyond the limit, requests that end twice or never, queues beyond
    // their limit, and transactions refused because of a full queue.
    #[test]
    fn every_request_ends_once(steps in prop::collection::vec(step(), 1..250)) {
        let mut slots = 3;
        let mut queue = SlotQueue::new(config(slots, [0, 20, 10], 6));
        let mut states: BTreeMap<u64, (RequestState, bool)> = BTreeMap::new();
        let mut now = 1_000;
        let (mut next, mut running) = (0, Vec::new());
        for step in steps {
            match step {
                QueueStep::Enqueue { rank, caller, left, target, in_transaction } => {
                    next += 1;
                    let rank = Rank::ALL[rank];
                    let slot_request = SlotRequest { in_transaction, ..slot_request(next, rank, caller, now + left) };
                    let result = match target {
                        Some(target) => {
                            let target = Micros(now + target);
                            queue.enqueue_with_target(Micros(now), slot_request, target).map(|_| ())
                        }
                        None => queue.enqueue(Micros(now), slot_request),
                    };
                    let state = match result {
                        Ok(()) => RequestState::Waiting,
                        Err(reason) => {
                            let full = matches!(reason, RefusalReason::QueueFull { .. });
                            prop_assert!(!(full && in_transaction));
                            RequestState::Ended
                        }
                    };
                    states.insert(next, (state, in_transaction));
                }
                QueueStep::Cancel(index) => {
                    let request = index as u64 % (next + 1);
                    let waits = states
                        .get(&request)
                        .is_some_and(|(state, _)| *state == RequestState::Waiting);
                    let cancelled = queue.cancel(RequestId(request));
                    // A request that the queue has already refused is returned by the next expire.
                    prop_assert!(waits || !cancelled);
                    if cancelled {
                        states.get_mut(&request).unwrap().0 = RequestState::Ended;
                    }
                }
                QueueStep::Grant => {
                    while let Some(grant) = queue.grant(Micros(now)) {
                        let state = &mut states.get_mut(&grant.request.0).unwrap().0;
                        prop_assert_eq!(*state, RequestState::Waiting);
                        *state = RequestState::Running;
                        running.push(grant.request);
                        prop_assert!(running.len() <= slots as usize);
                    }
                }
                QueueStep::Finish(index) => {
                    if !running.is_empty() {
                        let request = running.swap_remove(index % running.len());
                        queue.finish(Micros(now), request);
                        states.get_mut(&request.0).unwrap().0 = RequestState::Ended;
                    }
                }
                QueueStep::Expire => {
                    for (request, reason) in queue.expire(Micros(now)) {
                        let (state, in_transaction) = states.get_mut(&request.0).unwrap();
                        prop_assert_eq!(*state, RequestState::Waiting);
                        let full = matches!(reason, RefusalReason::QueueFull { .. });
                        prop_assert!(!(full && *in_transaction));
                        *state = RequestState::Ended;
                    }
                }
                QueueStep::Resize(count) => {
                    slots = count.max(running.len() as u32);
                    queue.reconfigure(config(slots, [0, 20, 10], 6));
                }
                QueueStep::Wait(micros) => now += micros,
            }
            let held =
                states.values().filter(|state| **state == (RequestState::Waiting, true)).count();
            let waiting = queue.stats().waiting.0.iter().sum::<u32>() as usize;
            prop_assert!(waiting <= 3 * 6 + held, "{} wait", waiting);
            prop_assert_eq!(queue.stats().running.0.iter().sum::<u32>() as usize, running.len());
        }
        // No request is left over.
        queue.reconfigure(config(1_000, [0, 20, 10], 6));
        let granted: Vec<_> = std::iter::from_fn(|| queue.grant(Micros(now))).collect();
        for request in granted.into_iter().map(|grant| grant.request).chain(running) {
            queue.finish(Micros(now + 1), request);
            states.get_mut(&request.0).unwrap().0 = RequestState::Ended;
        }
        for (request, _) in queue.expire(Micros(now + 1)) {
            prop_assert_eq!(states[&request.0].0, RequestState::Waiting);
            states.get_mut(&request.0).unwrap().0 = RequestState::Ended;
        }
        prop_assert!(
            states.values().all(|(state, _)| *state == RequestState::Ended),
            "{:?}",
            states
        );
        prop_assert_eq!(queue.stats().waiting, RankMap([0; 3]));
        prop_assert_eq!(queue.next_expiry(), None);
    }

    // Guards against a rank that receives less than its minimum share in a window in which it waits,
    // and against a caller that starves in its rank.
    #[test]
    fn minimum_shares_and_turns_hold_over_any_window(
        slots in 1u32..6,
        shares in (5u32..30, 5u32..30),
        times in prop::collection::vec((500u64..30_000, 500u64..30_000, 500u64..30_000), 1..8),
        weights in prop::collection::vec(1u64..8, 4),
    ) {
        let shares = [0, shares.0, shares.1];
        let mut queue = SlotQueue::new(config(slots, shares, 1_000));
        let slowest = times.iter().map(|time| time.0.max(time.1).max(time.2)).max().unwrap();
        let longest = slowest * weights.iter().max().unwrap();
        let (mut now, mut next) = (0, 0u64);
        // Three ranks with four callers each; each keeps two requests waiting.
        let mut running: Vec<(u64, u64, usize, usize)> = Vec::new();
        let mut used = [[0u64; 4]; 3];
        let mut history = vec![used];
        let mut callers = BTreeMap::new();
        for rank in 0..3 {
            for caller in 0..8 {
                next += 1;
                callers.insert(next, (rank, caller % 4));
                queue.enqueue(Micros(0), slot_request(next, Rank::ALL[rank], caller % 4, u64::MAX)).unwrap();
            }
        }
        for turn in 0..1_500 {
            while let Some(grant) = queue.grant(Micros(now)) {
                let (rank, caller) = callers[&grant.request.0];
                let time = times[turn % times.len()];
                let time = [time.0, time.1, time.2][rank] * weights[caller];
                running.push((now + time, grant.request.0, rank, caller));
                next += 1;
                callers.insert(next, (rank, caller));
                queue.enqueue(Micros(now), slot_request(next, Rank::ALL[rank], caller, u64::MAX)).unwrap();
            }
            prop_assert_eq!(running.len(), slots as usize);
            let index = (0..running.len()).min_by_key(|index| running[*index].0).unwrap();
            let (until, request, ..) = running[index];
            for (_, _, rank, caller) in &running {
                used[*rank][*caller] += until - now;
            }
            now = until;
            running.swap_remove(index);
            queue.finish(Micros(now), RequestId(request));
            history.push(used);
        }
        let tolerance = longest * u64::from(slots) + longest;
        let sum = |used: &[[u64; 4]; 3], rank: usize| used[rank].iter().sum::<u64>();
        for (start, from) in history.iter().enumerate().step_by(29) {
            for to in history[start..].iter().step_by(37) {
                let busy: u64 = (0..3).map(|rank| sum(to, rank) - sum(from, rank)).sum();
                for (rank, minimum_percent) in shares.iter().enumerate().skip(1) {
                    let share = busy * u64::from(*minimum_percent) / 100;
                    let got = sum(to, rank) - sum(from, rank);
                    prop_assert!(got + tolerance >= share, "rank {} got {} of {}", rank, got, share);
                }
            }
        }
        let last = history.last().unwrap();
        for used in last {
            let most = used.iter().max().unwrap();
            let least = used.iter().min().unwrap();
            prop_assert!(most - least <= 2 * tolerance, "{:?}", used);
        }
    }
}

// Guards against long batch statements that hold every slot when an urgent request arrives.
#[test]
fn long_statements_leave_a_slot() {
    let mut queue = SlotQueue::new(config(2, [0, 10, 10], 100));
    let deadline = 100_000_000;
    queue.enqueue(Micros(0), slot_request(1, Rank::Batch, 0, deadline)).unwrap();
    assert!(queue.grant(Micros(0)).is_some());
    queue.finish(Micros(400_000), RequestId(1));
    assert_eq!(queue.service_time("batch"), Micros(400_000));
    for request in 2..5 {
        queue.enqueue(Micros(400_000), slot_request(request, Rank::Batch, 0, deadline)).unwrap();
    }
    assert_eq!(queue.grant(Micros(400_000)).unwrap().request, RequestId(2));
    assert_eq!(queue.grant(Micros(400_000)), None);
    queue.enqueue(Micros(400_000), slot_request(5, Rank::Urgent, 1, deadline)).unwrap();
    assert_eq!(queue.grant(Micros(400_000)).unwrap().request, RequestId(5));
    // A short statement of a lower rank uses the slot that a long one may not.
    queue.finish(Micros(401_000), RequestId(5));
    queue.enqueue(Micros(401_000), slot_request(6, Rank::Interactive, 1, deadline)).unwrap();
    assert_eq!(queue.grant(Micros(401_000)).unwrap().request, RequestId(6));
}

// Guards against a burst of one caller that fills the queue for the other callers of its rank.
#[test]
fn full_queue_refuses_the_newest_of_the_largest_caller() {
    let mut queue = SlotQueue::new(config(1, [0, 10, 10], 4));
    let deadline = 100_000_000;
    for request in 1..=4 {
        queue.enqueue(Micros(0), slot_request(request, Rank::Urgent, 0, deadline)).unwrap();
    }
    let full = RefusalReason::QueueFull { limit: 4 };
    assert_eq!(queue.enqueue(Micros(0), slot_request(5, Rank::Urgent, 0, deadline)), Err(full));
    assert_eq!(queue.enqueue(Micros(0), slot_request(6, Rank::Urgent, 1, deadline)), Ok(()));
    assert_eq!(queue.next_expiry(), Some(Micros::ZERO));
    assert_eq!(queue.expire(Micros(0)), [(RequestId(4), full)]);
    // Callers take turns: the other caller is second, not last.
    assert_eq!(queue.grant(Micros(0)).unwrap().request, RequestId(1));
    queue.finish(Micros(1_000), RequestId(1));
    assert_eq!(queue.grant(Micros(1_000)).unwrap().request, RequestId(6));
}

// Guards against a selector whose requests are refused forever after one very slow statement.
#[test]
fn estimate_recovers_after_an_outlier() {
    let mut queue = SlotQueue::new(config(1, [0, 10, 10], 4));
    queue.enqueue(Micros(0), slot_request(1, Rank::Urgent, 0, 60_000_000)).unwrap();
    assert!(queue.grant(Micros(0)).is_some());
    queue.finish(Micros(30_000_000), RequestId(1));
    let now = 30_000_000;
    let admitted = (2..200u64)
        .position(|request| {
            queue
                .enqueue(Micros(now), slot_request(request, Rank::Urgent, 0, now + 1_000_000))
                .is_ok()
        })
        .unwrap();
    assert!(admitted < 100, "refused {admitted} times");
}
