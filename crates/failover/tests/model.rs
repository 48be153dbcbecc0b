//! Safety and liveness of cluster monitors and supervisors, checked with a model of a cluster.

mod support;

use failover::{MonitorFaults, SupervisorFaults};
use proptest::prelude::*;
use support::{ClusterModel, FaultKind, InjectedFault, ModelOptions, NODE_COUNT};

fn options(seed: u64, faults: Vec<InjectedFault>) -> ModelOptions {
    ModelOptions {
        seed: seed | 1,
        faults,
        loss: 20,
        duplicates: 20,
        late: 20,
        monitor_faults: MonitorFaults::default(),
        supervisor_faults: SupervisorFaults::default(),
    }
}

fn fault() -> impl Strategy<Value = InjectedFault> {
    let kind = prop_oneof![
        3 => (0..NODE_COUNT).prop_map(FaultKind::FreezeDatabase),
        4 => Just(FaultKind::FreezePrimary),
        3 => (0..NODE_COUNT).prop_map(FaultKind::PauseNode),
        3 => (0..NODE_COUNT, 0..NODE_COUNT).prop_map(|(node, index)| FaultKind::CutReport(node, index)),
        3 => (0..NODE_COUNT).prop_map(FaultKind::CutReplication),
        1 => Just(FaultKind::PlatformUnavailable),
        2 => (0..NODE_COUNT).prop_map(FaultKind::Leaving),
    ];
    (2_000u64..40_000, 100u64..9_000, kind).prop_map(|(at, duration, kind)| InjectedFault {
        at,
        duration,
        kind,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, ..ProptestConfig::default() })]

    // Guards against acknowledged writes of a replaced primary, durable writes missing at a later
    // leader, two leaders in a term, proved ages that are too low, required positions wrongly met, and
    // a cluster that has no leader after its faults are over.
    #[test]
    fn faults_break_no_guarantee(
        seed in any::<u64>(),
        faults in prop::collection::vec(fault(), 0..14),
    ) {
        let mut model = ClusterModel::new(options(seed, faults));
        model.run(62_000);
        prop_assert_eq!(&model.violation, &None);
        prop_assert!(model.confirming_nodes() > 0, "no leader 13 s after the last fault");
        prop_assert!(model.acknowledged > 0);
    }

    // Guards against a failover that takes longer than 13 s from the failure of the primary, with a
    // supervisor that fails at any step and a platform that may be unavailable.
    #[test]
    fn leader_exists_again_within_13_s(
        seed in any::<u64>(),
        paused_node in 0..NODE_COUNT,
        paused_after in 0u64..6_000,
        platform_unavailable in any::<bool>(),
    ) {
        let duration = 60_000;
        let mut faults = vec![
            InjectedFault { at: 5_000, duration, kind: FaultKind::FreezePrimary },
            InjectedFault {
                at: 5_000 + paused_after,
                duration,
                kind: FaultKind::PauseNode(paused_node),
            },
        ];
        if platform_unavailable {
            faults.push(InjectedFault { at: 4_000, duration, kind: FaultKind::PlatformUnavailable });
        }
        let options = ModelOptions { loss: 2, late: 2, ..options(seed, faults) };
        let mut model = ClusterModel::new(options);
        model.run(4_999);
        let before = *model.confirmed_terms.keys().last().unwrap_or(&0);
        prop_assert!(before > 0);
        model.run(5_000 + 13_000);
        prop_assert_eq!(&model.violation, &None);
        let after = *model.confirmed_terms.keys().last().unwrap();
        prop_assert!(after > before, "no new leader after 13 s");
    }
}

/// Runs varied faults until the model finds a violation; returns it.
fn find_violation(
    monitor_faults: MonitorFaults,
    supervisor_faults: SupervisorFaults,
) -> Option<String> {
    (1..400).find_map(|seed| varied_run(seed, monitor_faults, supervisor_faults).violation)
}

fn varied_run(
    seed: u64,
    monitor_faults: MonitorFaults,
    supervisor_faults: SupervisorFaults,
) -> ClusterModel {
    let mut faults = Vec::new();
    for step in 0..8 {
        let at = 3_000 + step * 4_500 + seed * 37 % 900;
        let duration = 1_200 + (seed * 211 + step * 977) % 4_000;
        let index = ((seed + step) % 3) as usize;
        let kind = match (seed + step) % 4 {
            0 => FaultKind::CutReplication(index),
            1 => FaultKind::PauseNode(index),
            2 => FaultKind::CutReport(index, (seed / 3 % 3) as usize),
            _ => FaultKind::FreezePrimary,
        };
        faults.push(InjectedFault { at, duration, kind });
    }
    let mut options = options(seed * 7_919, faults);
    options.monitor_faults = monitor_faults;
    options.supervisor_faults = supervisor_faults;
    let mut model = ClusterModel::new(options);
    model.run(45_000);
    model
}

// The remaining tests guard against a model that does not detect a broken rule.

#[test]
fn model_finds_no_violation_of_intact_rules() {
    let (mut met, mut proofs, mut lost, mut unknown, mut terms) = (0, 0, 0, 0, 0);
    for seed in 1..80 {
        let model = varied_run(seed, MonitorFaults::default(), SupervisorFaults::default());
        assert_eq!(model.violation, None, "seed {seed}");
        met += model.met;
        proofs += model.proofs;
        lost += model.reported_lost;
        unknown += model.unknown;
        terms += model.confirmed_terms.len();
    }
    // Every kind of proof must occur often enough for the checks to be meaningful.
    println!("met {met}, proofs {proofs}, lost {lost}, unknown {unknown}, terms {terms}");
    assert!(met > 10_000 && proofs > 10_000 && lost > 100 && unknown > 100 && terms > 150);
}

#[test]
fn model_finds_acknowledgement_by_an_open_round() {
    let faults = MonitorFaults { early_round: true, ..MonitorFaults::default() };
    // The commit is not covered by the round, or belongs to a replaced primary.
    let found = find_violation(faults, SupervisorFaults::default()).unwrap();
    assert!(found.contains("acknowledged") || found.contains("required position"), "{found}");
}

#[test]
fn model_finds_round_without_majority() {
    let faults = MonitorFaults { no_majority: true, ..MonitorFaults::default() };
    find_violation(faults, SupervisorFaults::default()).unwrap();
}

#[test]
fn model_finds_durable_acknowledgement_without_majority() {
    let faults = MonitorFaults { no_receipt: true, ..MonitorFaults::default() };
    let found = find_violation(faults, SupervisorFaults::default()).unwrap();
    assert!(found.contains("durable"), "{found}");
}

#[test]
fn model_finds_positions_compared_across_terms() {
    let faults = MonitorFaults { ignore_lineage: true, ..MonitorFaults::default() };
    find_violation(faults, SupervisorFaults::default()).unwrap();
}

#[test]
fn model_finds_promotion_without_fence_majority() {
    let faults = SupervisorFaults { no_fence_majority: true, ..SupervisorFaults::default() };
    find_violation(MonitorFaults::default(), faults).unwrap();
}

#[test]
fn model_finds_promotion_of_a_shorter_log() {
    let faults = SupervisorFaults { any_candidate: true, ..SupervisorFaults::default() };
    let found = find_violation(MonitorFaults::default(), faults).unwrap();
    assert!(found.contains("durable"), "{found}");
}
