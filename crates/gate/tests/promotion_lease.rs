//! The promotion duty under delays, lost and late writes, and pauses.

use gate::{CALL_TIME, LEASE_ACQUIRE_WAIT, LeaseWrite, PROMOTION_LEASE_TTL, PromotionLease};
use model::Micros;
use proptest::prelude::*;

/// A write on its way to the store.
struct Flight {
    node: usize,
    write: LeaseWrite,
    arrives: Micros,
    /// When the answer is back; `None` if it is lost.
    answered: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Step {
    node: usize,
    /// Time since the last step.
    pause: u64,
    delay: u64,
    lost: bool,
    /// Time for which the node hears nothing of the store's changes.
    deaf: bool,
    release: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..3_usize, 1..900_u64, 1..3_000_u64, any::<bool>(), any::<bool>(), any::<bool>());
    let step = step.prop_map(|(node, pause, delay, lost, deaf, release)| {
        // Most answers arrive soon; some writes take effect seconds later.
        let delay = if delay < 2_400 { delay % 40 + 1 } else { delay };
        Step { node, pause, delay, lost: lost && delay % 3 == 0, deaf, release: release && deaf }
    });
    proptest::collection::vec(step, 1..120)
}

proptest! {
    /// Two nodes never act with the same number, and a promotion call of a lower number never arrives
    /// after one of a higher number was made.
    #[test]
    fn numbers_belong_to_one_node_and_only_grow(steps in steps()) {
        let mut nodes: Vec<PromotionLease> =
            (0..3).map(|node| PromotionLease::new(format!("n{node}").into(), 1_000 * node)).collect();
        for node in &mut nodes {
            node.observe(Micros::ZERO, None);
        }
        let mut now = Micros::ZERO;
        let mut stored: (u64, Vec<u8>) = (0, Vec::new());
        let mut flights: Vec<Flight> = Vec::new();
        let mut calls: Vec<(Micros, u64, usize)> = Vec::new();
        for step in steps {
            let end = now + Micros::from_millis(step.pause);
            while now < end {
                now += Micros::from_millis(1);
                for flight in flights.extract_if(.., |flight| flight.arrives <= now) {
                    let written = (stored.0 == flight.write.expected).then(|| {
                        stored = (stored.0 + 1, flight.write.bytes.clone());
                        stored.0
                    });
                    if flight.answered.is_some() {
                        nodes[flight.node].written(now, flight.write.attempt, written);
                    }
                    for (index, node) in nodes.iter_mut().enumerate() {
                        if !(step.deaf && index == step.node) && stored.0 > 0 {
                            node.observe(now, Some((stored.0, &stored.1)));
                        }
                    }
                }
                for (index, node) in nodes.iter().enumerate() {
                    if let Some(number) = node.fencing_token(now) {
                        calls.push((now, number, index));
                    }
                }
            }
            let node = &mut nodes[step.node];
            let write = if step.release { node.release(now) } else { node.claim(now, Vec::new()) };
            if let Some(write) = write {
                let arrives = now + Micros::from_millis(step.delay);
                let answered = (!step.lost).then_some(arrives);
                flights.push(Flight { node: step.node, write, arrives, answered });
            }
        }
        let mut owners = std::collections::BTreeMap::new();
        for (at, number, node) in &calls {
            let owner = *owners.entry(*number).or_insert(*node);
            prop_assert_eq!(owner, *node, "number {} at {}", number, at);
        }
        // The latest moment at which each number could arrive, against the first use of a higher one.
        for pair in calls.windows(2) {
            let ((earlier, low, _), (later, high, _)) = (pair[0], pair[1]);
            prop_assert!(high >= low, "{} after {} at {} and {}", high, low, earlier, later);
        }
    }
}

#[test]
fn the_wait_covers_the_holders_time_and_one_call() {
    assert!(LEASE_ACQUIRE_WAIT >= PROMOTION_LEASE_TTL + CALL_TIME);
}

#[test]
fn a_dead_holder_is_succeeded_after_the_wait() {
    let mut first = PromotionLease::new("n1".into(), 1);
    let mut second = PromotionLease::new("n2".into(), 2);
    first.observe(Micros::ZERO, None);
    second.observe(Micros::ZERO, None);
    let write = first.claim(Micros::ZERO, vec!["billing".to_string()]).expect("nobody holds it");
    assert!(first.written(Micros::from_millis(5), write.attempt, Some(1)));
    second.observe(Micros::from_millis(6), Some((1, &write.bytes)));
    assert!(second.is_held_elsewhere(Micros::from_millis(2_000)));
    let wait = Micros::from_millis(6) + LEASE_ACQUIRE_WAIT;
    let write = second.claim(wait, Vec::new()).expect("the holder is silent");
    assert!(second.written(wait, write.attempt, Some(2)));
    assert_eq!(second.fencing_token(wait), Some(2));
    assert_eq!(first.fencing_token(wait), None);
}
