//! The promotion lease under delays, lost and late writes, and pauses.

use gate::{
    LEASE_ACQUIRE_WAIT, LeaseWrite, PROMOTION_CALL_TIMEOUT, PROMOTION_LEASE_TTL, PromotionLease,
};
use model::Micros;
use proptest::prelude::*;

/// A write on its way to the store.
struct WriteInFlight {
    node: usize,
    write: LeaseWrite,
    arrives: Micros,
    /// When the answer arrives; `None` if it is lost.
    answered: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Step {
    node: usize,
    /// Time since the previous step, in milliseconds.
    pause: u64,
    delay: u64,
    lost: bool,
    /// Whether the node misses the store's changes during the step.
    misses_changes: bool,
    release: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..3_usize, 1..900_u64, 1..3_000_u64, any::<bool>(), any::<bool>(), any::<bool>());
    let step = step.prop_map(|(node, pause, delay, lost, misses_changes, release)| {
        // Most answers arrive soon; some writes take effect seconds later.
        let delay = if delay < 2_400 { delay % 40 + 1 } else { delay };
        Step {
            node,
            pause,
            delay,
            lost: lost && delay % 3 == 0,
            misses_changes,
            release: release && misses_changes,
        }
    });
    proptest::collection::vec(step, 1..120)
}

proptest! {
    /// Two nodes never act with the same fencing token, and no promotion call uses a lower token
    /// than an earlier one.
    #[test]
    fn tokens_belong_to_one_node_and_only_grow(steps in steps()) {
        let mut nodes: Vec<PromotionLease> =
            (0..3).map(|node| PromotionLease::new(format!("n{node}").into(), 1_000 * node)).collect();
        for node in &mut nodes {
            node.observe(Micros::ZERO, None);
        }
        let mut now = Micros::ZERO;
        let mut stored: (u64, Vec<u8>) = (0, Vec::new());
        let mut in_flight: Vec<WriteInFlight> = Vec::new();
        let mut calls: Vec<(Micros, u64, usize)> = Vec::new();
        for step in steps {
            let end = now + Micros::from_millis(step.pause);
            while now < end {
                now += Micros::from_millis(1);
                for arrival in in_flight.extract_if(.., |write| write.arrives <= now) {
                    let written = (stored.0 == arrival.write.expected).then(|| {
                        stored = (stored.0 + 1, arrival.write.bytes.clone());
                        stored.0
                    });
                    if arrival.answered.is_some() {
                        nodes[arrival.node].complete_write(now, arrival.write.attempt, written);
                    }
                    for (index, node) in nodes.iter_mut().enumerate() {
                        if !(step.misses_changes && index == step.node) && stored.0 > 0 {
                            node.observe(now, Some((stored.0, &stored.1)));
                        }
                    }
                }
                for (index, node) in nodes.iter().enumerate() {
                    if let Some(token) = node.fencing_token(now) {
                        calls.push((now, token, index));
                    }
                }
            }
            let node = &mut nodes[step.node];
            let write = if step.release { node.release(now) } else { node.claim(now, Vec::new()) };
            if let Some(write) = write {
                let arrives = now + Micros::from_millis(step.delay);
                let answered = (!step.lost).then_some(arrives);
                in_flight.push(WriteInFlight { node: step.node, write, arrives, answered });
            }
        }
        let mut holders = std::collections::BTreeMap::new();
        for (at, token, node) in &calls {
            let holder = *holders.entry(*token).or_insert(*node);
            prop_assert_eq!(holder, *node, "token {} at {}", token, at);
        }
        // The tokens of successive calls must never decrease.
        for pair in calls.windows(2) {
            let ((earlier, low, _), (later, high, _)) = (pair[0], pair[1]);
            prop_assert!(high >= low, "{} after {} at {} and {}", high, low, earlier, later);
        }
    }
}

#[test]
fn acquire_wait_covers_lease_ttl_and_one_call() {
    assert!(LEASE_ACQUIRE_WAIT >= PROMOTION_LEASE_TTL + PROMOTION_CALL_TIMEOUT);
}

#[test]
fn the_lease_of_a_failed_holder_is_taken_after_the_wait() {
    let mut first = PromotionLease::new("n1".into(), 1);
    let mut second = PromotionLease::new("n2".into(), 2);
    first.observe(Micros::ZERO, None);
    second.observe(Micros::ZERO, None);
    let write = first.claim(Micros::ZERO, vec!["billing".to_string()]).expect("the lease is free");
    assert!(first.complete_write(Micros::from_millis(5), write.attempt, Some(1)));
    second.observe(Micros::from_millis(6), Some((1, &write.bytes)));
    assert!(second.is_held_elsewhere(Micros::from_millis(2_000)));
    let wait = Micros::from_millis(6) + LEASE_ACQUIRE_WAIT;
    let write = second.claim(wait, Vec::new()).expect("the lease has expired");
    assert!(second.complete_write(wait, write.attempt, Some(2)));
    assert_eq!(second.fencing_token(wait), Some(2));
    assert_eq!(first.fencing_token(wait), None);
}
