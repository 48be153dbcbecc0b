//! Error bounds of the accounting table.

use std::collections::BTreeMap;

use model::{Micros, Name, Rank};
use proptest::prelude::*;
use stats::{CallerMeasure, CallerRow, CallerTable};

fn caller(number: u32) -> Name {
    format!("caller-{number}").as_str().into()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    // Guards against counts outside their error bound, heavy callers that are missing, old windows
    // that still count, and memory that grows with the number of callers.
    #[test]
    fn error_bound_holds(
        capacity in 1usize..12,
        counts in prop::collection::vec((0u32..40, 1u64..50, 0u64..4_000_000), 0..600),
        heavy in 0u64..200,
    ) {
        let mut table = CallerTable::new(capacity);
        let mut now = 0;
        let mut windows: BTreeMap<u64, BTreeMap<Name, u64>> = BTreeMap::new();
        for (number, amount, wait) in counts {
            now += wait;
            for (number, amount) in [(number, amount), (99, heavy)] {
                let name = caller(number);
                table.count(Micros(now), &name, Rank::Urgent, CallerMeasure::Refused, amount);
                let window = windows.entry(now / 300_000_000).or_default();
                *window.entry(name).or_default() += amount;
            }
            let rows = table.top(Micros(now), CallerMeasure::Refused, usize::MAX);
            prop_assert!(rows.len() <= 2 * capacity);
            let mut truth: BTreeMap<Name, u64> = BTreeMap::new();
            for (_, window) in windows.range((now / 300_000_000).saturating_sub(1)..) {
                for (name, amount) in window {
                    *truth.entry(name.clone()).or_default() += amount;
                }
            }
            let total: u64 = truth.values().sum();
            for row in &rows {
                let exact = truth.get(&row.caller).copied().unwrap_or(0);
                prop_assert!(row.count - row.error <= exact && exact <= row.count, "{:?}", row);
                prop_assert!(row.error * capacity as u64 <= total);
            }
            for (name, exact) in &truth {
                if exact * capacity as u64 > total {
                    prop_assert!(rows.iter().any(|row| row.caller == *name), "{} is missing", name);
                }
            }
            prop_assert!(table.top(Micros(now), CallerMeasure::Requests, 9).is_empty());
        }
    }
}

// Guards against merged rows that lose a node's counts, and against an unstable order.
#[test]
fn merge_adds_counts_and_errors() {
    let row = |number, rank, count, error| CallerRow { caller: caller(number), rank, count, error };
    let parts = vec![
        vec![row(1, Rank::Batch, 10, 1), row(2, Rank::Urgent, 4, 0)],
        vec![row(2, Rank::Batch, 7, 2), row(3, Rank::Urgent, 11, 0)],
    ];
    let expected = vec![row(2, Rank::Batch, 11, 2), row(3, Rank::Urgent, 11, 0)];
    assert_eq!(CallerTable::merge(parts, 2), expected);
}

// Guards against a table that grows with the number of callers: 100,000 callers leave no more rows
// than the capacity of both windows, and a caller that sends a burst among them is still listed first.
#[test]
fn a_hundred_thousand_callers_are_bounded() {
    const CAPACITY: usize = 2_048;
    let mut table = CallerTable::new(CAPACITY);
    let burst = caller(1_000_000);
    let measure = CallerMeasure::Requests;
    for number in 0..100_000 {
        // Half of them count in each of two windows.
        let now = Micros(u64::from(number) * 6_000);
        table.count(now, &caller(number), Rank::Interactive, measure, 1);
        if number % 50 == 0 {
            table.count(now, &burst, Rank::Batch, measure, 5);
        }
    }
    let rows = table.top(Micros::from_secs(599), measure, usize::MAX);
    assert!(rows.len() <= 2 * CAPACITY, "{} rows", rows.len());
    assert_eq!(rows[0].caller, burst);
    assert!(rows[0].count - rows[0].error <= 10_000 && rows[0].count >= 10_000, "{:?}", rows[0]);
    let others = rows.iter().skip(1).map(|row| row.count).max();
    assert!(others < Some(rows[0].count - rows[0].error), "{others:?}");
}
