//! Guards against owners that differ between builds, are unevenly distributed, or move needlessly.
#![allow(clippy::unwrap_used)]

use member::{
    Heartbeat, MemberConfig, MemberEvent, MemberInfo, MemberState, MemberTable, owner_score,
    rank_owners,
};
use model::{Micros, Name};
use proptest::prelude::*;

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|at| format!("vm-{at}").into()).collect()
}

fn info(name: &str, incarnation: u64, state: MemberState) -> MemberInfo {
    MemberInfo {
        name: name.into(),
        data_centre: "north".into(),
        peer_address: "10.0.0.1:7400".parse().unwrap(),
        admin_address: "10.0.0.1:7401".parse().unwrap(),
        incarnation,
        state,
    }
}

/// The values are part of the protocol between nodes of different builds.
#[test]
fn scores_are_fixed() {
    let scores = [
        ("", ""),
        ("billing-1-a", "vm-1"),
        ("billing-1-a", "vm-2"),
        ("a-long-database-name", "vm-1"),
    ]
    .map(|(key, node)| format!("{:016x}", owner_score(key, node)));
    insta::assert_debug_snapshot!(scores);
}

#[test]
fn keys_are_spread_evenly() {
    let nodes = names(20);
    let mut counts = [0usize; 20];
    for key in 0..20_000 {
        let owner = rank_owners(&format!("db-{key}"), nodes.clone()).swap_remove(0);
        counts[nodes.iter().position(|node| *node == owner).unwrap()] += 1;
    }
    // 1,000 each; the standard deviation of a fair draw is about 31.
    assert!(counts.iter().all(|count| (850..1_150).contains(count)), "{counts:?}");
}

#[test]
fn only_the_keys_of_a_lost_node_move() {
    let nodes = names(12);
    for key in 0..500 {
        let key = format!("db-{key}");
        let before = rank_owners(&key, nodes.clone());
        let after = rank_owners(&key, nodes.iter().filter(|node| **node != nodes[3]).cloned());
        let expected: Vec<Name> = before.into_iter().filter(|node| *node != nodes[3]).collect();
        assert_eq!(after, expected);
    }
}

#[test]
fn table_and_ranking_agree() {
    let mut table = MemberTable::new(MemberConfig::default(), info("vm-0", 1, MemberState::Alive));
    let others = names(9).into_iter().skip(1);
    let members: Vec<MemberInfo> =
        others.map(|name| info(&name, 1 << 12, MemberState::Alive)).collect();
    table.handle(Micros::ZERO, MemberEvent::TableArrived(members), &mut Vec::new());
    for key in 0..200 {
        let key = format!("db-{key}");
        let first = rank_owners(&key, names(9)).swap_remove(0);
        assert_eq!(table.owner_of(&key, "north"), first);
        assert_eq!(table.owner_of(&key, "nowhere"), first);
    }
    let watcher = rank_owners("north", names(9)).swap_remove(0);
    assert_eq!(table.watcher_of("north"), Some(watcher));
    assert_eq!(table.watcher_of("nowhere"), None);
}

fn any_info() -> impl Strategy<Value = MemberInfo> {
    let states = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Leaving),
        Just(MemberState::Suspected),
        Just(MemberState::Dead)
    ];
    (0usize..6, any::<u8>(), states).prop_map(|(at, incarnation, state)| {
        info(&format!("vm-{at}"), u64::from(incarnation) << 10, state)
    })
}

fn any_event() -> impl Strategy<Value = MemberEvent> {
    let infos = prop::collection::vec(any_info(), 0..9).boxed();
    let revisions = prop::collection::vec(("[a-c/]{1,8}", any::<u64>()), 0..4);
    let heartbeat = (any_info(), any::<u64>(), revisions, infos.clone())
        .prop_map(|(from, digest, revisions, changes)| {
            let revisions =
                revisions.into_iter().map(|(name, revision)| (name.into(), revision)).collect();
            Heartbeat { from, digest, revisions, changes }
        })
        .boxed();
    prop_oneof![
        heartbeat.clone().prop_map(MemberEvent::HeartbeatArrived),
        heartbeat.clone().prop_map(MemberEvent::HeartbeatAnswered),
        heartbeat.prop_map(MemberEvent::PeerFound),
        infos.prop_map(MemberEvent::TableArrived),
        Just(MemberEvent::Leave),
        Just(MemberEvent::Timer),
    ]
}

proptest! {
    /// Guards against events after which the node is missing in its own table, names no owner or sends
    /// too many messages.
    #[test]
    fn any_events_keep_the_table_consistent(
        events in prop::collection::vec((0u64..2_000, any_event()), 1..60)
    ) {
        let mut table =
            MemberTable::new(MemberConfig::default(), info("vm-0", 1, MemberState::Alive));
        let mut now = Micros::ZERO;
        for (step, event) in events {
            now += Micros::from_millis(step);
            let mut actions = Vec::new();
            table.handle(now, event, &mut actions);
            prop_assert!(actions.len() <= 80, "{} actions", actions.len());
            prop_assert!(table.next_timer().is_some_and(|due| due > now));
            prop_assert!(table.member("vm-0").is_some());
            prop_assert!(table.heartbeat().changes.len() <= 8);
            let owner = table.owner_of("db", "north");
            prop_assert!(table.member(&owner).is_some_and(|info| info.state != MemberState::Dead));
        }
    }
}
