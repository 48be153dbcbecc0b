//! Gates on the service of the ranks under overload, each against a plain queue in the same run.

use bench::rank::{
    FLOORS, LoadMix, NORMAL, QueueKind, SLOT_COUNTS, floods, passing_flood, render_table,
    run_experiment, steady,
};
use model::Rank;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

// Guards against a change of any figure that goes unnoticed.
#[test]
fn table_of_all_floods() {
    insta::assert_snapshot!(render_table(1));
}

// Guards against batch work that delays urgent work.
#[test]
fn urgent_work_meets_its_deadline_in_a_batch_flood() {
    for (slots, seed) in SLOT_COUNTS.into_iter().flat_map(|slots| SEEDS.map(|seed| (slots, seed))) {
        for batch in [3.0, 10.0] {
            let experiment = steady(slots, LoadMix { urgent: 0.6, batch, ..NORMAL }, seed);
            let ranked = run_experiment(&experiment, QueueKind::Ranked);
            let plain = run_experiment(&experiment, QueueKind::Plain);
            let share = ranked.ranks[Rank::Urgent].in_time_share();
            let plain_share = plain.ranks[Rank::Urgent].in_time_share();
            assert!(share >= 0.999, "{slots} slots, seed {seed}, batch x{batch}: {share}");
            assert!(plain_share < 0.5, "{slots} slots, seed {seed}, plain: {plain_share}");
        }
    }
}

// Guards against urgent work that takes the minimum shares of the other ranks.
#[test]
fn other_ranks_keep_their_floor_in_an_urgent_flood() {
    for (slots, seed) in SLOT_COUNTS.into_iter().flat_map(|slots| SEEDS.map(|seed| (slots, seed))) {
        for urgent in [3.0, 10.0] {
            let mix = LoadMix { urgent, interactive: 0.3, batch: 0.3, reports: 0.05 };
            let experiment = steady(slots, mix, seed);
            let ranked = run_experiment(&experiment, QueueKind::Ranked);
            let plain = run_experiment(&experiment, QueueKind::Plain);
            for rank in [Rank::Interactive, Rank::Batch] {
                let (share, floor) = (ranked.ranks[rank].share, f64::from(FLOORS[rank]) / 100.0);
                // One quantum: the longest reports take 1 to 2 s, of 50 s in each slot.
                let quantum = 2.0 / (50.0 * f64::from(slots));
                assert!(share >= floor - quantum, "{slots} slots, seed {seed}, {rank}: {share}");
                let late = plain.ranks[rank].in_time_share();
                assert!(ranked.ranks[rank].in_time_share() > late, "{rank}: plain {late}");
            }
        }
    }
}

// Guards against idle slots while work waits, and against slot time spent on answers that are too
// late. Floods of at least three times the capacity leave at most 5% of the slot time without use.
#[test]
fn slots_stay_busy_and_useful_in_every_flood() {
    for (name, mix) in floods() {
        for slots in SLOT_COUNTS {
            let ranked = run_experiment(&steady(slots, mix, 1), QueueKind::Ranked);
            let plain = run_experiment(&steady(slots, mix, 1), QueueKind::Plain);
            assert!(ranked.busy >= 0.95, "{name}, {slots} slots: busy {}", ranked.busy);
            if name != "normal" {
                assert!(ranked.useful >= 0.95, "{name}, {slots} slots: {}", ranked.useful);
                assert!(plain.useful < 0.5, "{name}, {slots} slots: plain {}", plain.useful);
            } else {
                assert!(ranked.useful >= plain.useful * 0.99, "{slots} slots");
            }
        }
    }
}

// Guards against a backlog that outlives its flood: requests that arrive later than one deadline after
// its end are served as well as without a flood.
#[test]
fn queue_recovers_within_one_deadline() {
    let none = LoadMix { urgent: 0.0, interactive: 0.0, batch: 0.0, reports: 0.0 };
    for (slots, seed) in SLOT_COUNTS.into_iter().flat_map(|slots| SEEDS.map(|seed| (slots, seed))) {
        for flood in [LoadMix { urgent: 10.0, ..none }, LoadMix { batch: 10.0, ..none }] {
            let experiment = passing_flood(slots, flood, seed);
            let ranked = run_experiment(&experiment, QueueKind::Ranked);
            let plain = run_experiment(&experiment, QueueKind::Plain);
            for rank in Rank::ALL {
                let share = ranked.ranks[rank].settled_share();
                assert!(share >= 0.999, "{slots} slots, seed {seed}, {rank}: {share}");
            }
            let share = plain.ranks[Rank::Urgent].settled_share();
            assert!(share < 0.999, "{slots} slots, seed {seed}, plain: {share}");
        }
    }
}
