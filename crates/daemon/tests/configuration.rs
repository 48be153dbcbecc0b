//! Configuration changes with the real CLI and real daemons, under failures.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::fleet::{CliRun, FleetOptions, TestFleet, cluster_name, link_name, node_name, run_cli};
use common::{temporary_file, wait_until};
use fake::fakeplatform::{CallCounters, OutageMode};

/// Longest time until a change is active on all nodes.
const CHANGE_LIMIT: Duration = Duration::from_secs(17);

/// A configuration file, removed on drop.
struct ConfigurationFile(PathBuf);

impl ConfigurationFile {
    /// Writes the fleet's configuration with a deadline in ms.
    fn new(fleet: &TestFleet, deadline_ms: u64) -> Self {
        let path = temporary_file("fleet-configuration");
        std::fs::write(&path, fleet.configuration(deadline_ms)).unwrap();
        ConfigurationFile(path)
    }

    fn apply(&self, platform: SocketAddr, author: &str) -> CliRun {
        run_cli(platform, &["apply", self.0.to_str().unwrap(), "--author", author])
    }
}

impl Drop for ConfigurationFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Applies a configuration and checks that it becomes revision `revision`.
fn apply(fleet: &TestFleet, deadline_ms: u64, revision: u64) -> CliRun {
    let file = ConfigurationFile::new(fleet, deadline_ms);
    let run = file.apply(fleet.platform.address(), "olga");
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.ends_with(&format!("applied revision {revision}\n")), "{run:?}");
    run
}

/// Returns the deadline in ms that a node gives to requests of a caller without labels.
fn deadline_at(fleet: &TestFleet, node: usize) -> u64 {
    let explained = fleet.node(node).get(&format!("/v1/explain?cluster={}", cluster_name(0)));
    explained["deadline_ms"].as_u64().unwrap_or(0)
}

fn wait_for_deadline(fleet: &TestFleet, nodes: impl Iterator<Item = usize>, deadline_ms: u64) {
    for node in nodes {
        wait_until("the change is active", || deadline_at(fleet, node) == deadline_ms);
    }
}

/// Polls the nodes' revisions and records each that is lower than an earlier one of the same node.
/// A node without a configuration reports 0 and accepts no clients, so 0 does not count as lower.
struct RevisionMonitor {
    addresses: Arc<Mutex<BTreeMap<usize, SocketAddr>>>,
    lower: Arc<Mutex<Vec<String>>>,
    samples: Arc<Mutex<BTreeMap<usize, u64>>>,
    stop: Arc<AtomicBool>,
}

impl RevisionMonitor {
    fn start(fleet: &TestFleet) -> Self {
        let monitor = RevisionMonitor {
            addresses: Arc::default(),
            lower: Arc::default(),
            samples: Arc::default(),
            stop: Arc::default(),
        };
        for node in 0..fleet.options.nodes {
            monitor.start_polling(fleet, node);
            let (addresses, lower) = (monitor.addresses.clone(), monitor.lower.clone());
            let (samples, stop) = (monitor.samples.clone(), monitor.stop.clone());
            std::thread::spawn(move || {
                let agent: ureq::Agent = ureq::Agent::config_builder()
                    .timeout_global(Some(Duration::from_secs(2)))
                    .build()
                    .into();
                let mut highest = 0;
                while !stop.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(5));
                    let Some(address) = addresses.lock().unwrap().get(&node).copied() else {
                        continue;
                    };
                    let answer = agent.get(format!("http://{address}/v1/rollout")).call();
                    let body = answer.map(|mut answer| answer.body_mut().read_json());
                    let Ok(Ok::<serde_json::Value, _>(body)) = body else { continue };
                    let revision = body["revision"].as_u64().unwrap();
                    *samples.lock().unwrap().entry(node).or_default() += 1;
                    if 0 < revision && revision < highest {
                        let text = format!("node {node}: {revision} after {highest}");
                        lower.lock().unwrap().push(text);
                    }
                    highest = highest.max(revision);
                }
            });
        }
        monitor
    }

    /// Starts to poll a node at its current address.
    fn start_polling(&self, fleet: &TestFleet, node: usize) {
        let address = fleet.node(node).admin_address;
        self.addresses.lock().unwrap().insert(node, address);
    }

    /// Stops polling a node that is about to stop.
    fn stop_polling(&self, node: usize) {
        self.addresses.lock().unwrap().remove(&node);
    }

    /// Waits until every node was polled often enough for [`RevisionMonitor::check`].
    fn wait_for_samples(&self) {
        wait_until("every node was polled", || {
            self.samples.lock().unwrap().values().all(|count| *count > 20)
        });
    }

    fn check(self, fleet: &TestFleet) {
        for node in 0..fleet.options.nodes {
            assert!(self.samples.lock().unwrap()[&node] > 20, "node {node} was polled too rarely");
        }
        assert_eq!(*self.lower.lock().unwrap(), Vec::<String>::new());
    }
}

impl Drop for RevisionMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Applies changes of the selectors' deadline one after another to nine nodes in four data centres.
/// Returns for each the time from the CLI's exit until the last node has it, and its platform calls.
fn measure_changes(count: u64) -> Vec<(Duration, u64)> {
    let fleet = TestFleet::start(FleetOptions {
        data_centres: 4,
        nodes: 9,
        link_delay: Duration::from_micros(500),
        ..FleetOptions::default()
    });
    let mut figures = Vec::new();
    for revision in 2..2 + count {
        let deadline_ms = 5_000 + revision;
        let before = fleet.platform.counters();
        let run = apply(&fleet, deadline_ms, revision);
        let applied = Instant::now();
        wait_for_deadline(&fleet, 0..9, deadline_ms);
        let active = applied.elapsed();
        let after = fleet.platform.counters();
        let CallCounters { get, put_cas, watch, total, .. } = after;
        println!(
            "revision={revision} apply={:?} active_after={active:?} get={} put_cas={} watch={} total={}",
            run.elapsed,
            get - before.get,
            put_cas - before.put_cas,
            watch - before.watch,
            total - before.total
        );
        assert!(run.elapsed + active < CHANGE_LIMIT, "{active:?}");
        figures.push((active, total - before.total));
    }
    let address = fleet.node(0).admin_address.to_string();
    let status =
        run_cli(fleet.platform.address(), &["rollout", "status", "--node", &address, "--all"]);
    assert_eq!(status.code, 0, "{status:?}");
    figures
}

/// Guards against a change that reaches a node late, and against platform calls by each node: the CLI
/// reads and writes once, and the watcher of each of the four data centres starts its next query. The
/// limit allows for watches that time out at the same moment.
#[test]
fn change_is_active_on_all_nodes_within_its_bound() {
    for (_, calls) in measure_changes(3) {
        assert!(calls <= 2 + 2 * 4, "{calls} calls");
    }
}

/// Prints the time and the calls of 20 changes. Run manually:
/// `cargo test -p daemon --test configuration -- --ignored --nocapture measure_changes`.
#[test]
#[ignore = "a measurement, run by hand"]
fn measure_changes_of_the_configuration() {
    let mut figures = measure_changes(20);
    figures.sort();
    println!(
        "changes={} active after median={:?} worst={:?}, calls most={:?}",
        figures.len(),
        figures[figures.len() / 2].0,
        figures[figures.len() - 1].0,
        figures.iter().map(|(_, calls)| calls).max()
    );
}

/// Guards against a lost change, where both operators would believe that theirs is active.
#[test]
fn concurrent_applies_give_one_conflict_that_names_the_winner() {
    let fleet = TestFleet::start(FleetOptions::default());
    // Slow answers make both CLI runs read before either writes.
    fleet.platform.set_answer_delay(Duration::from_millis(400));
    let platform = fleet.platform.address();
    let runs: Vec<(&str, u64, CliRun)> = std::thread::scope(|scope| {
        let threads: Vec<_> = [("olga", 6_001), ("pedro", 6_002)]
            .into_iter()
            .map(|(author, deadline_ms)| {
                let file = ConfigurationFile::new(&fleet, deadline_ms);
                scope.spawn(move || (author, deadline_ms, file.apply(platform, author)))
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    fleet.platform.set_answer_delay(Duration::ZERO);
    let codes: Vec<i32> = runs.iter().map(|(_, _, run)| run.code).collect();
    assert!(codes == [0, 4] || codes == [4, 0], "{runs:?}");
    let (winner, deadline_ms, _) = runs.iter().find(|(_, _, run)| run.code == 0).unwrap();
    let (_, _, loser) = runs.iter().find(|(_, _, run)| run.code == 4).unwrap();
    let expected = format!("conflict: {winner} applied revision 2 first");
    assert!(loser.err.contains(&expected), "{loser:?}");
    wait_for_deadline(&fleet, 0..5, *deadline_ms);
}

/// Guards against writing a change twice, or reporting it as failed, when the answer to its write was
/// lost.
#[test]
fn lost_answer_is_resolved_by_the_change_id() {
    let fleet = TestFleet::start(FleetOptions::default());
    fleet.platform.drop_next_answers(1);
    let run = apply(&fleet, 6_003, 2);
    assert!(run.err.contains("no answer from the platform"), "{run:?}");
    assert_eq!(fleet.platform.counters().lost, 1);
    wait_for_deadline(&fleet, 0..5, 6_003);
    let revision = run_cli(fleet.platform.address(), &["get", "--revision"]);
    assert_eq!(revision.out, "2\n");
}

/// Guards against nodes that lose their configuration when the platform fails, and against new nodes
/// that cannot start without the platform.
#[test]
fn platform_outage_leaves_the_last_configuration_active() {
    let mut fleet = TestFleet::start(FleetOptions::default());
    apply(&fleet, 6_004, 2);
    wait_for_deadline(&fleet, 0..5, 6_004);
    let monitor = RevisionMonitor::start(&fleet);
    for (node, mode) in [(3, OutageMode::Refuse), (4, OutageMode::Hang)] {
        fleet.platform.set_outage(mode).unwrap();
        let file = ConfigurationFile::new(&fleet, 9_999);
        let run = file.apply(fleet.platform.address(), "olga");
        assert_eq!(run.code, 5, "{run:?}");
        assert!(run.err.contains("platform"), "{run:?}");

        monitor.stop_polling(node);
        fleet.stop_node(node);
        fleet.start_node(node);
        monitor.start_polling(&fleet, node);
        wait_for_deadline(&fleet, 0..5, 6_004);
        wait_until("the new node serves writes", || fleet.accepts_write(node, 0));
        fleet.platform.set_outage(OutageMode::None).unwrap();
    }
    apply(&fleet, 6_005, 3);
    wait_for_deadline(&fleet, 0..5, 6_005);
    monitor.check(&fleet);
}

/// Guards against a change that no node notices for a minute, because the connections on which the watchers of all data
/// centres wait have gone silent.
#[test]
fn a_change_is_active_in_time_although_all_watches_are_lost() {
    let fleet = TestFleet::start(FleetOptions::default());
    let before = fleet.platform.counters().watch;
    apply(&fleet, 6_003, 2);
    wait_for_deadline(&fleet, 0..5, 6_003);
    wait_until("every watcher watches again", || {
        fleet.platform.counters().watch >= before + fleet.options.data_centres as u64
    });
    fleet.platform.silence_waiting_queries();
    let written = Instant::now();
    apply(&fleet, 6_004, 3);
    wait_for_deadline(&fleet, 0..5, 6_004);
    let took = written.elapsed();
    assert!(took < CHANGE_LIMIT, "the change took {took:?}, more than {CHANGE_LIMIT:?}");
}

/// Guards against nodes that return to an older revision when the platform has lost its latest
/// change.
#[test]
fn platform_that_returns_to_an_older_value_changes_no_node() {
    const KEY: &str = "cicadawick/config";
    let fleet = TestFleet::start(FleetOptions::default());
    let (older, _) = fleet.platform.value(KEY).unwrap();
    apply(&fleet, 6_003, 2);
    wait_for_deadline(&fleet, 0..5, 6_003);
    let monitor = RevisionMonitor::start(&fleet);
    let (_, index) = fleet.platform.value(KEY).unwrap();
    let before = fleet.platform.counters().watch;
    let client = platform::PlatformClient::new(fleet.platform.address(), Duration::from_secs(1));
    assert!(client.put(KEY, &older, index).unwrap());
    wait_until("every watcher has the older value and watches again", || {
        fleet.platform.counters().watch >= before + fleet.options.data_centres as u64
    });
    monitor.wait_for_samples();
    wait_for_deadline(&fleet, 0..5, 6_003);
    monitor.check(&fleet);
}

/// Guards against an old revision that spreads from a data centre after a partition.
#[test]
fn partitioned_data_centre_never_shows_a_lower_revision() {
    let fleet = TestFleet::start(FleetOptions::default());
    apply(&fleet, 6_006, 2);
    wait_for_deadline(&fleet, 0..5, 6_006);
    let monitor = RevisionMonitor::start(&fleet);
    fleet.set_partitioned(0, true, true);
    let inside = fleet.nodes_in(0);
    // An unreachable data centre keeps its members, but for the other side they own no database.
    let owners = |node: usize| -> Vec<String> {
        let explained = fleet.node(node).get(&format!("/v1/explain?cluster={}", cluster_name(0)));
        let databases = explained["databases"].as_object().unwrap();
        databases.values().map(|row| row["owner"].as_str().unwrap().to_owned()).collect()
    };
    let inside_names: Vec<String> = inside.iter().map(|node| node_name(*node)).collect();
    wait_until("the partition is noticed", || {
        inside.iter().all(|node| owners(*node).iter().all(|owner| inside_names.contains(owner)))
    });
    for revision in 3..=5u64 {
        apply(&fleet, 6_004 + revision, revision);
    }
    let outside = (0..5).filter(|node| !inside.contains(node));
    wait_for_deadline(&fleet, outside, 6_009);
    for node in &inside {
        assert_eq!(fleet.revision(*node), 2, "a change crossed the partition");
    }
    fleet.set_partitioned(0, false, true);
    let healed = Instant::now();
    wait_for_deadline(&fleet, 0..5, 6_009);
    println!("active after the partition was healed: {:?}", healed.elapsed());
    wait_until("all nodes agree on the owners again", || {
        (0..5).all(|node| owners(node) == owners(0))
            && owners(0).iter().any(|owner| !inside_names.contains(owner))
    });
    println!("all nodes agree on the owners again: {:?}", healed.elapsed());
    monitor.check(&fleet);
}

/// Guards against a data centre that gets changes only over its own link to the platform.
#[test]
fn data_centre_without_the_platform_gets_changes_from_peers() {
    let fleet = TestFleet::start(FleetOptions::default());
    let inside = fleet.nodes_in(0);
    for node in &inside {
        fleet.links.set_cut(&link_name(*node, "platform"), true, true).unwrap();
    }
    let run = apply(&fleet, 6_020, 2);
    let applied = Instant::now();
    wait_for_deadline(&fleet, 0..5, 6_020);
    let active = applied.elapsed();
    println!("active without the platform after {active:?}");
    assert!(run.elapsed + active < CHANGE_LIMIT, "{active:?}");
}

/// Guards against a restarted node that adopts an old revision, with and without the platform.
#[test]
fn restarts_one_by_one_never_show_a_lower_revision() {
    let mut fleet = TestFleet::start(FleetOptions::default());
    let monitor = RevisionMonitor::start(&fleet);
    for node in 0..5 {
        let (deadline_ms, revision) = (6_010 + node as u64, 2 + node as u64);
        apply(&fleet, deadline_ms, revision);
        wait_for_deadline(&fleet, 0..5, deadline_ms);
        let mode = if node % 2 == 0 { OutageMode::None } else { OutageMode::Refuse };
        fleet.platform.set_outage(mode).unwrap();
        monitor.stop_polling(node);
        fleet.stop_node(node);
        fleet.start_node(node);
        monitor.start_polling(&fleet, node);
        wait_for_deadline(&fleet, 0..5, deadline_ms);
        assert!((0..5).all(|node| fleet.revision(node) == revision));
        fleet.platform.set_outage(OutageMode::None).unwrap();
    }
    monitor.wait_for_samples();
    monitor.check(&fleet);
}
