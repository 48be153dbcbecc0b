//! The promotion lease under delays, lost and late writes, and pauses.

use gate::{
    LEASE_ACQUIRE_WAIT, LeaseWrite, PROMOTION_CALL_TIMEOUT, PROMOTION_LEASE_TTL, PromotionLease,
    PromotionLeaseRecord,
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
    interference: Interference,
}

/// What another writer does to the document at the beginning of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interference {
    None,
    Remove,
    Overwrite,
}

fn interference() -> impl Strategy<Value = Interference> {
    prop_oneof![
        18 => Just(Interference::None),
        1 => Just(Interference::Remove),
        1 => Just(Interference::Overwrite),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let step = (0..3_usize, 1..900_u64, 1..3_000_u64, flags, interference());
    let step = step.prop_map(|(node, pause, delay, flags, interference)| {
        let (lost, misses_changes, release) = flags;
        // Most answers arrive soon; some writes take effect seconds later.
        let delay = if delay < 2_400 { delay % 40 + 1 } else { delay };
        Step {
            node,
            pause,
            delay,
            lost: lost && delay % 3 == 0,
            misses_changes,
            release: release && misses_changes,
            interference,
        }
    });
    proptest::collection::vec(step, 1..120)
}

fn observe(node: &mut PromotionLease, now: Micros, stored: &(u64, Option<Vec<u8>>)) {
    match &stored.1 {
        Some(bytes) => {
            node.observe(now, stored.0, bytes);
        }
        None => {
            node.observe_absent(now, stored.0);
        }
    }
}

proptest! {
    /// Two nodes never act with the same fencing token, and no promotion call uses a lower token
    /// than an earlier one, although another writer removes and overwrites the document.
    #[test]
    fn tokens_belong_to_one_node_and_only_grow(steps in steps()) {
        let mut nodes: Vec<PromotionLease> =
            (0..3).map(|node| PromotionLease::new(format!("n{node}").into(), 1_000 * node)).collect();
        for node in &mut nodes {
            node.observe_absent(Micros::ZERO, 1);
        }
        let mut now = Micros::ZERO;
        // Without a document, the revision counts on.
        let mut stored: (u64, Option<Vec<u8>>) = (1, None);
        let mut in_flight: Vec<WriteInFlight> = Vec::new();
        let mut calls: Vec<(Micros, u64, usize)> = Vec::new();
        for step in steps {
            let end = now + Micros::from_millis(step.pause);
            match step.interference {
                Interference::None => {}
                Interference::Remove => stored = (stored.0 + 1, None),
                Interference::Overwrite => stored = (stored.0 + 1, Some(b"{".to_vec())),
            }
            if step.interference != Interference::None {
                for (index, node) in nodes.iter_mut().enumerate() {
                    if !(step.misses_changes && index == step.node) {
                        observe(node, now, &stored);
                    }
                }
            }
            while now < end {
                now += Micros::from_millis(1);
                for arrival in in_flight.extract_if(.., |write| write.arrives <= now) {
                    let current = if stored.1.is_some() { stored.0 } else { 0 };
                    let written = (current == arrival.write.expected).then(|| {
                        stored = (stored.0 + 1, Some(arrival.write.bytes.clone()));
                        stored.0
                    });
                    if arrival.answered.is_some() {
                        nodes[arrival.node].complete_write(now, arrival.write.attempt, written);
                    }
                    for (index, node) in nodes.iter_mut().enumerate() {
                        if !(step.misses_changes && index == step.node) {
                            observe(node, now, &stored);
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
    first.observe(Micros::ZERO, 4, &idle_record());
    second.observe(Micros::ZERO, 4, &idle_record());
    let write = first.claim(Micros::ZERO, vec!["billing".to_string()]).expect("the lease is free");
    assert!(first.complete_write(Micros::from_millis(5), write.attempt, Some(5)));
    second.observe(Micros::from_millis(6), 5, &write.bytes);
    assert!(second.is_held_elsewhere(Micros::from_millis(2_000)));
    let wait = Micros::from_millis(6) + LEASE_ACQUIRE_WAIT;
    let write = second.claim(wait, Vec::new()).expect("the lease has expired");
    assert!(second.complete_write(wait, write.attempt, Some(6)));
    assert_eq!(second.fencing_token(wait), Some(6));
    assert_eq!(first.fencing_token(wait), None);
}

fn idle_record() -> Vec<u8> {
    let record = PromotionLeaseRecord { idle: true, ..PromotionLeaseRecord::default() };
    serde_json::to_vec(&record).expect("it is serialized")
}

/// Claims the lease where there is no record, which takes two writes; returns the token.
fn claim_without_record(lease: &mut PromotionLease, at: Micros, revision: u64) -> Option<u64> {
    let write = lease.claim(at, Vec::new()).expect("the wait is over");
    assert_eq!(write.expected, 0);
    assert!(!lease.complete_write(at, write.attempt, Some(revision)), "the record is idle");
    let write = lease.claim(at, Vec::new()).expect("the record is idle");
    assert!(lease.complete_write(at, write.attempt, Some(revision + 1)));
    lease.fencing_token(at)
}

/// Returns the stored record of a holder with a token.
fn record(fencing_token: u64) -> Vec<u8> {
    let holder = "n1".to_string();
    let record = PromotionLeaseRecord { holder, fencing_token, ..PromotionLeaseRecord::default() };
    serde_json::to_vec(&record).expect("it is serialized")
}

/// Another writer overwrites the document. A node that started later has never seen a token, and
/// must not use one again.
#[test]
fn tokens_grow_after_the_record_was_overwritten() {
    let mut lease = PromotionLease::new("n2".into(), 2);
    assert!(!lease.observe(Micros::ZERO, 21, b"[[["));
    assert!(lease.is_held_elsewhere(Micros::from_millis(2_000)), "its holder may be acting");
    let write = lease.claim(LEASE_ACQUIRE_WAIT, Vec::new()).expect("the wait is over");
    assert_eq!(write.expected, 21);
    assert!(lease.complete_write(LEASE_ACQUIRE_WAIT, write.attempt, Some(22)));
    assert_eq!(lease.fencing_token(LEASE_ACQUIRE_WAIT), Some(22));
}

/// The document is removed. A running node would wait for its old revision forever, and a new one
/// would begin with token 1 while the former holder still acts.
#[test]
fn tokens_grow_after_the_record_was_removed() {
    let mut running = PromotionLease::new("n2".into(), 2);
    running.observe(Micros::ZERO, 20, &record(7));
    assert!(running.observe_absent(Micros::from_millis(10), 25));
    assert!(running.is_held_elsewhere(Micros::from_millis(2_000)), "its holder may be acting");
    let at = Micros::from_millis(10) + LEASE_ACQUIRE_WAIT;
    assert_eq!(claim_without_record(&mut running, at, 26), Some(27));

    let mut started = PromotionLease::new("n3".into(), 3);
    started.observe_absent(Micros::ZERO, 25);
    assert!(started.is_held_elsewhere(Micros::from_millis(2_000)), "a holder may be acting");
    assert_eq!(claim_without_record(&mut started, LEASE_ACQUIRE_WAIT, 26), Some(27));
}

/// A record with a token near the largest number must not make tokens wrap or stop growing.
#[test]
fn a_token_that_no_node_wrote_is_not_continued() {
    let mut lease = PromotionLease::new("n2".into(), 2);
    lease.observe(Micros::ZERO, 30, &record(u64::MAX));
    let write = lease.claim(LEASE_ACQUIRE_WAIT, Vec::new()).expect("the wait is over");
    assert!(lease.complete_write(LEASE_ACQUIRE_WAIT, write.attempt, Some(31)));
    assert_eq!(lease.fencing_token(LEASE_ACQUIRE_WAIT), Some(31));
}
