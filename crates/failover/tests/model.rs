//! Safety and liveness of watches and supervisors over a model of a cluster.

mod support;

use failover::{SupervisorFaults, WatchFaults};
use proptest::prelude::*;
use support::{COUNT, Fault, FaultKind, Options, World};

fn options(seed: u64, faults: Vec<Fault>) -> Options {
    Options {
        seed: seed | 1,
        faults,
        loss: 20,
        duplicates: 20,
        late: 20,
        watch_faults: WatchFaults::default(),
        supervisor_faults: SupervisorFaults::default(),
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        3 => (0..COUNT).prop_map(FaultKind::FreezeDatabase),
        4 => Just(FaultKind::FreezePrimary),
        3 => (0..COUNT).prop_map(FaultKind::PauseNode),
        3 => (0..COUNT, 0..COUNT).prop_map(|(node, index)| FaultKind::CutReport(node, index)),
        3 => (0..COUNT).prop_map(FaultKind::CutReplication),
        1 => Just(FaultKind::PlatformAway),
        2 => (0..COUNT).prop_map(FaultKind::Leaving),
    ];
    (2_000u64..40_000, 100u64..9_000, kind).prop_map(|(at, lasts, kind)| Fault { at, lasts, kind })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, ..ProptestConfig::default() })]

    // Guards against acknowledged writes of a replaced primary, durable writes missing at a later
    // leader, two leaders in a term, age proofs that are too young, floors wrongly met, and a cluster
    // that stays without a leader after its faults are over.
    #[test]
    fn faults_break_no_guarantee(
        seed in any::<u64>(),
        faults in prop::collection::vec(fault(), 0..14),
    ) {
        let mut world = World::new(options(seed, faults));
        world.run(62_000);
        prop_assert_eq!(&world.violation, &None);
        prop_assert!(world.confirming() > 0, "no leader 13 s after the last fault");
        prop_assert!(world.acknowledged > 0);
    }

    // Guards against a failover that takes longer than 13 s from the failure of the primary, with a
    // supervisor that fails at any step and a platform that may be away.
    #[test]
    fn leader_exists_again_within_13_s(
        seed in any::<u64>(),
        lost_node in 0..COUNT,
        lost_after in 0u64..6_000,
        platform_away in any::<bool>(),
    ) {
        let away = 60_000;
        let mut faults = vec![
            Fault { at: 5_000, lasts: away, kind: FaultKind::FreezePrimary },
            Fault { at: 5_000 + lost_after, lasts: away, kind: FaultKind::PauseNode(lost_node) },
        ];
        if platform_away {
            faults.push(Fault { at: 4_000, lasts: away, kind: FaultKind::PlatformAway });
        }
        let mut world = World::new(Options { loss: 2, late: 2, ..options(seed, faults) });
        world.run(4_999);
        let before = *world.opened.keys().last().unwrap_or(&0);
        prop_assert!(before > 0);
        world.run(5_000 + 13_000);
        prop_assert_eq!(&world.violation, &None);
        let after = *world.opened.keys().last().unwrap();
        prop_assert!(after > before, "no new leader after 13 s");
    }
}

/// Runs varied faults until the model reports a violation; returns it.
fn find_violation(
    watch_faults: WatchFaults,
    supervisor_faults: SupervisorFaults,
) -> Option<String> {
    (1..400).find_map(|seed| varied_run(seed, watch_faults, supervisor_faults).violation)
}

fn varied_run(seed: u64, watch_faults: WatchFaults, supervisor_faults: SupervisorFaults) -> World {
    let mut faults = Vec::new();
    for step in 0..8 {
        let at = 3_000 + step * 4_500 + seed * 37 % 900;
        let lasts = 1_200 + (seed * 211 + step * 977) % 4_000;
        let index = ((seed + step) % 3) as usize;
        let kind = match (seed + step) % 4 {
            0 => FaultKind::CutReplication(index),
            1 => FaultKind::PauseNode(index),
            2 => FaultKind::CutReport(index, (seed / 3 % 3) as usize),
            _ => FaultKind::FreezePrimary,
        };
        faults.push(Fault { at, lasts, kind });
    }
    let mut options = options(seed * 7_919, faults);
    options.watch_faults = watch_faults;
    options.supervisor_faults = supervisor_faults;
    let mut world = World::new(options);
    world.run(45_000);
    world
}

// The remaining tests guard against a model that is too weak to notice a broken rule.

#[test]
fn model_finds_no_violation_of_intact_rules() {
    let (mut met, mut proofs, mut lost, mut unknown, mut terms) = (0, 0, 0, 0, 0);
    for seed in 1..80 {
        let world = varied_run(seed, WatchFaults::default(), SupervisorFaults::default());
        assert_eq!(world.violation, None, "seed {seed}");
        met += world.met;
        proofs += world.proofs;
        lost += world.lost_notices;
        unknown += world.unknown;
        terms += world.opened.len();
    }
    // Every kind of evidence is used often enough for the checks to mean something.
    println!("met {met}, proofs {proofs}, lost {lost}, unknown {unknown}, terms {terms}");
    assert!(met > 10_000 && proofs > 10_000 && lost > 100 && unknown > 100 && terms > 150);
}

#[test]
fn model_finds_acknowledgement_on_an_early_round() {
    let faults = WatchFaults { early_round: true, ..WatchFaults::default() };
    // A commit that the round does not cover, or one of a replaced primary.
    let found = find_violation(faults, SupervisorFaults::default()).unwrap();
    assert!(found.contains("acknowledged") || found.contains("floor"), "{found}");
}

#[test]
fn model_finds_round_without_majority() {
    let faults = WatchFaults { no_majority: true, ..WatchFaults::default() };
    find_violation(faults, SupervisorFaults::default()).unwrap();
}

#[test]
fn model_finds_durable_acknowledgement_without_receipt() {
    let faults = WatchFaults { no_receipt: true, ..WatchFaults::default() };
    let found = find_violation(faults, SupervisorFaults::default()).unwrap();
    assert!(found.contains("durable"), "{found}");
}

#[test]
fn model_finds_positions_compared_across_terms() {
    let faults = WatchFaults { ignore_lineage: true, ..WatchFaults::default() };
    find_violation(faults, SupervisorFaults::default()).unwrap();
}

#[test]
fn model_finds_promotion_without_fence_majority() {
    let faults = SupervisorFaults { no_fence_majority: true, ..SupervisorFaults::default() };
    find_violation(WatchFaults::default(), faults).unwrap();
}

#[test]
fn model_finds_promotion_of_a_shorter_log() {
    let faults = SupervisorFaults { any_candidate: true, ..SupervisorFaults::default() };
    let found = find_violation(WatchFaults::default(), faults).unwrap();
    assert!(found.contains("durable"), "{found}");
}
