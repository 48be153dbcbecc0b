//! Bounds on the sharing of one database by nine proxies: the owner design against both alternatives.

use bench::rank::{LoadMix, MIN_SHARES, NORMAL, RankExperiment, steady};
use bench::share::{
    SHARE_SIZES, ShareDesign, ShareOutcome, ShareSize, loads, render_table, run_shared,
};
use model::Rank;

const SEEDS: [u64; 3] = [1, 2, 3];

fn urgent_share(experiment: &RankExperiment, size: ShareSize, design: ShareDesign) -> f64 {
    run_shared(experiment, size, design).ranks[Rank::Urgent].in_time_share()
}

// Guards against an unnoticed change of any figure.
#[test]
fn table_of_all_designs() {
    insta::assert_snapshot!(render_table(1));
}

// Guards against an owner that, within capacity, serves urgent requests worse than its target or than
// another design.
#[test]
fn owner_serves_urgent_requests_best_within_capacity() {
    for size in SHARE_SIZES {
        for seed in SEEDS {
            for mix in [NORMAL, LoadMix { batch: 3.0, ..NORMAL }] {
                let experiment = steady(size.slots, mix, seed);
                let owner = urgent_share(&experiment, size, ShareDesign::Owner);
                assert!(owner >= 0.999, "{} slots, seed {seed}: {owner}", size.slots);
                for other in [ShareDesign::Equal, ShareDesign::Lent] {
                    let share = urgent_share(&experiment, size, other);
                    let name = other.name();
                    assert!(share <= owner, "{} slots, seed {seed}, {name}: {share}", size.slots);
                }
            }
        }
    }
}

fn check_limits(size: ShareSize, outcome: &ShareOutcome, what: &str) {
    assert!(outcome.slots_highest <= size.slots, "{what}: {} slots", outcome.slots_highest);
    let connections = outcome.connections_highest;
    assert!(connections <= size.connections, "{what}: {connections} connections");
}

// Guards against an owner that exceeds the limits of the database, leaves slots idle while requests
// wait, or lets a rank fall below its minimum share.
#[test]
fn owner_respects_limits_and_minimum_shares_and_uses_all_slots() {
    for size in SHARE_SIZES {
        for seed in SEEDS {
            for (name, mix) in loads() {
                let experiment = steady(size.slots, mix, seed);
                let outcome = run_shared(&experiment, size, ShareDesign::Owner);
                let what = format!("{name}, {} slots, seed {seed}", size.slots);
                check_limits(size, &outcome, &what);
                assert!(outcome.busy >= 0.95, "{what}: busy {}", outcome.busy);
                if name == "urgent x3" {
                    for rank in [Rank::Interactive, Rank::Batch] {
                        let (share, min_share) =
                            (outcome.ranks[rank].share, f64::from(MIN_SHARES[rank]));
                        // One quantum: the longest reports take 1 to 2 s of the 50 s of each slot.
                        let quantum = 2.0 / (50.0 * f64::from(size.slots));
                        assert!(share >= min_share / 100.0 - quantum, "{what}, {rank}: {share}");
                    }
                }
            }
        }
    }
}

// Guards against an experiment that cannot distinguish the designs: equal shares exceed the slots of
// the database, and lent slots respect the limits.
#[test]
fn alternatives_behave_as_described() {
    for size in SHARE_SIZES {
        let experiment = steady(size.slots, LoadMix { batch: 3.0, ..NORMAL }, 1);
        let equal = run_shared(&experiment, size, ShareDesign::Equal);
        assert!(equal.slots_highest > size.slots, "{} slots", size.slots);
        assert!(equal.ranks[Rank::Urgent].in_time_share() < 0.9, "{} slots", size.slots);
        let lent = run_shared(&experiment, size, ShareDesign::Lent);
        check_limits(size, &lent, "lent");
        assert!(lent.messages > 1.0, "{} slots: {}", size.slots, lent.messages);
    }
}
