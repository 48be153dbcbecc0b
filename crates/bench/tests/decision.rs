//! Runs the benchmark of single decisions. Times vary with the machine, so only the shape of the results
//! is checked.

use bench::decision::{measure_decisions, render_table};

// Guards against a decision that is no longer measured, or measured at one size only.
#[test]
fn each_decision_is_measured_at_growing_sizes() {
    let rows = measure_decisions(1_000);
    assert_eq!(rows.len(), 7);
    for row in &rows {
        assert!(row.points.len() >= 3, "{row:?}");
        assert!(row.points.is_sorted_by_key(|(size, _)| *size), "{row:?}");
        assert!(row.points.iter().all(|(_, nanos)| *nanos > 0.0) && row.slope().is_finite());
    }
    assert_eq!(render_table(1_000).lines().count(), 8);
}
