//! Bounds on the service of the ranks under overload, each compared with a plain queue in the same run.

use bench::rank::{
    LoadMix, MIN_SHARES, NORMAL, QueueKind, SLOT_COUNTS, experiment_loads, render_table,
    run_experiment, steady, temporary_overload,
};
use model::Rank;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

// Guards against an unnoticed change of any figure.
#[test]
fn table_of_all_loads() {
    insta::assert_snapshot!(render_table(1));
}

// Guards against batch requests that delay urgent requests.
#[test]
fn urgent_requests_meet_their_deadline_in_a_batch_overload() {
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

// Guards against urgent requests that use the minimum shares of the other ranks.
#[test]
fn other_ranks_keep_their_minimum_share_in_an_urgent_overload() {
    for (slots, seed) in SLOT_COUNTS.into_iter().flat_map(|slots| SEEDS.map(|seed| (slots, seed))) {
        for urgent in [3.0, 10.0] {
            let mix = LoadMix { urgent, interactive: 0.3, batch: 0.3, reports: 0.05 };
            let experiment = steady(slots, mix, seed);
            let ranked = run_experiment(&experiment, QueueKind::Ranked);
            let plain = run_experiment(&experiment, QueueKind::Plain);
            for rank in [Rank::Interactive, Rank::Batch] {
                let (share, min_share) =
                    (ranked.ranks[rank].share, f64::from(MIN_SHARES[rank]) / 100.0);
                // One quantum: the longest reports take 1 to 2 s of the 50 s of each slot.
                let quantum = 2.0 / (50.0 * f64::from(slots));
                assert!(
                    share >= min_share - quantum,
                    "{slots} slots, seed {seed}, {rank}: {share}"
                );
                let plain_share = plain.ranks[rank].in_time_share();
                assert!(
                    ranked.ranks[rank].in_time_share() > plain_share,
                    "{rank}: plain {plain_share}"
                );
            }
        }
    }
}

// Guards against idle slots while requests wait, and against slot time spent on answers that are too
// late. In overloads of at least three times the capacity, at most 5% of the slot time may be idle or
// spent on late answers.
#[test]
fn slots_stay_busy_and_useful_under_every_load() {
    for (name, mix) in experiment_loads() {
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

// Guards against a backlog that remains after an overload: requests that arrive later than one deadline
// after its end are served as well as without an overload.
#[test]
fn queue_recovers_within_one_deadline() {
    let none = LoadMix { urgent: 0.0, interactive: 0.0, batch: 0.0, reports: 0.0 };
    for (slots, seed) in SLOT_COUNTS.into_iter().flat_map(|slots| SEEDS.map(|seed| (slots, seed))) {
        for overload in [LoadMix { urgent: 10.0, ..none }, LoadMix { batch: 10.0, ..none }] {
            let experiment = temporary_overload(slots, overload, seed);
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
