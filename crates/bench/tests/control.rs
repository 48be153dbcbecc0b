//! Bounds on the control traffic and memory of a node. Guards against messages that grow with the fleet,
//! and against heartbeats and reports beyond the targets for a node.

#![allow(clippy::unwrap_used)]

use bench::control::{ControlCount, ControlLoad, ControlRole, count_control, fleet_document};
use bench::meter::CountingAllocator;
use bench::wire::WireSizes;
use model::Micros;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Targets for the control traffic and memory of a node.
const MAX_BYTES_PER_SECOND: f64 = 4_096.0;
const MAX_HELD_BYTES: i64 = 256 << 20;

const TARGET_SIZE: (usize, usize) = (660, 680);
const SMALL_SIZE: (usize, usize) = (94, 90);

/// Seconds in a day, and number of configuration changes in a day.
const DAY_SECONDS: f64 = 86_400.0;
const CHANGES_PER_DAY: f64 = 410.0;

fn idle(wire: &WireSizes, size: (usize, usize), role: ControlRole) -> ControlCount {
    count_control(wire, size, role, ControlLoad::default(), Micros::from_secs(120))
}

#[test]
fn messages_do_not_grow_with_the_fleet() {
    let wire = WireSizes::measure().unwrap();
    for role in [ControlRole::Entry, ControlRole::Owner, ControlRole::Watcher] {
        let (small, large) = (idle(&wire, SMALL_SIZE, role), idle(&wire, TARGET_SIZE, role));
        assert_eq!(small.owned_databases, large.owned_databases, "{role:?}");
        let (few, many) = (small.messages_per_second(None), large.messages_per_second(None));
        assert!((many - few).abs() < 0.1, "{role:?}: {few} and {many} messages/s");
        let grown = large.allocations as f64 / small.allocations as f64;
        assert!(grown < 1.1, "{role:?}: {grown} times the allocations");
    }
}

#[test]
fn idle_control_traffic_and_memory_are_within_the_targets() {
    let wire = WireSizes::measure().unwrap();
    for role in [ControlRole::Entry, ControlRole::Owner, ControlRole::Watcher] {
        let count = idle(&wire, TARGET_SIZE, role);
        let sent = count.sent_per_second(None);
        assert!(sent < MAX_BYTES_PER_SECOND, "{role:?}: {sent} bytes/s sent");
        assert!(count.held_bytes < MAX_HELD_BYTES, "{role:?}: {} bytes held", count.held_bytes);
    }
}

#[test]
fn a_configuration_change_sends_one_copy_to_and_from_a_node() {
    let wire = WireSizes::measure().unwrap();
    let span = Micros::from_secs(100);
    let load =
        ControlLoad { config_interval: Some(Micros::from_secs(10)), ..ControlLoad::default() };
    let count = count_control(&wire, TARGET_SIZE, ControlRole::Entry, load, span);
    let document = rpc::document_bytes(&fleet_document(TARGET_SIZE.1, 1)) as f64;
    let copies = count.sent_per_second(Some("configuration")) * count.seconds / 10.0 / document;
    assert!((1.0..1.2).contains(&copies), "{copies} copies sent in a change");
    // Idle traffic and the changes of a day together must stay within the target.
    let average = document * CHANGES_PER_DAY / DAY_SECONDS;
    for role in [ControlRole::Entry, ControlRole::Owner] {
        let sent = idle(&wire, TARGET_SIZE, role).sent_per_second(None) + average;
        assert!(sent < MAX_BYTES_PER_SECOND, "{role:?}: {sent} bytes/s sent");
    }
}
