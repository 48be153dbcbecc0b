//! Failovers while databases that may hold the only copy of a commit are down, in virtual time.

mod support;

use gate::{ErrorCode, GateEvent, TermPosition};
use model::Micros;
use support::{BOUNDED, LATEST, Simulation};

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// Sends a read of current data and a bounded read on every running node every 20 ms.
fn run_with_reads(simulation: &mut Simulation, time: Micros) {
    let end = simulation.now + time;
    while simulation.now < end {
        for gate in 0..simulation.gates.len() {
            if simulation.stopped.contains(&gate) {
                continue;
            }
            for database in [LATEST, BOUNDED] {
                let session = simulation.open(gate, database);
                let id = format!("{database}-{gate}-{}", simulation.now.0);
                simulation.send_request(gate, session, &id, "READ 1");
            }
        }
        simulation.run(millis(20));
    }
}

/// Sends writes on one node, which must be served.
fn write(simulation: &mut Simulation, gate: usize, count: usize) {
    for turn in 0..count {
        let session = simulation.open(gate, LATEST);
        let id = format!("w{turn}-{}", simulation.now.0);
        simulation.send_request(gate, session, &id, "WRITE 1 x");
        simulation.run(millis(20));
        assert_eq!(simulation.outcome(session), "served");
    }
}

/// Makes a database silent, and lets its entry expire.
fn fail_database(simulation: &mut Simulation, name: &str) {
    simulation.database(name).unreachable = true;
    simulation.unlisted.insert(name.into());
    for gate in 0..simulation.gates.len() {
        if !simulation.stopped.contains(&gate) {
            simulation.event(gate, GateEvent::DatabaseUnlisted { id: name.into() });
        }
    }
}

/// Brings a database back with its log.
fn restore_database(simulation: &mut Simulation, name: &str) {
    simulation.database(name).unreachable = false;
    simulation.unlisted.remove(name);
    simulation.publish_database(name);
}

/// Returns the promoted databases.
fn promoted(simulation: &Simulation) -> Vec<&str> {
    simulation.promotions.iter().map(|(_, name, _)| name.as_str()).collect()
}

/// Starts nodes with one cluster in which only the primary `a` and the replica `b` receive commits,
/// with some writes by node `writer`. Returns the end of the acknowledged log.
fn start_with_one_current_replica(nodes: usize, writer: usize) -> (Simulation, TermPosition) {
    let mut simulation = Simulation::start(nodes);
    simulation.run(millis(1_000));
    simulation.database("c").replication_stopped = true;
    write(&mut simulation, writer, 10);
    let end = simulation.databases["a"].received;
    assert!(simulation.databases["c"].received < end);
    (simulation, end)
}

/// Guards against the promotion of a log that is known to be too short once a time limit has
/// passed: both databases that hold the acknowledged commits are down for long.
#[test]
fn a_log_that_is_known_to_be_too_short_is_never_promoted() {
    let (mut simulation, end) = start_with_one_current_replica(4, 0);
    for gate in 1..4 {
        write(&mut simulation, gate, 1);
    }
    fail_database(&mut simulation, "b");
    fail_database(&mut simulation, "a");
    run_with_reads(&mut simulation, millis(60_000));
    assert_eq!(promoted(&simulation), [] as [&str; 0]);
    let session = simulation.open(1, LATEST);
    simulation.send_request(1, session, "refused", "WRITE 1 x");
    simulation.run(millis(40));
    assert_eq!(simulation.outcome(session), ErrorCode::Busy.name(), "writes are refused at once");
    restore_database(&mut simulation, "b");
    run_with_reads(&mut simulation, millis(5_000));
    assert_eq!(promoted(&simulation), ["b"]);
    assert!(simulation.databases["b"].received >= end);
}

/// Guards against a failover by a node that has passed on no commit and so knows less of the log
/// than the node which has acknowledged commits.
#[test]
fn the_end_of_the_log_is_learned_from_the_nodes_that_acknowledged_commits() {
    for writer in 0..4 {
        let (mut simulation, _) = start_with_one_current_replica(4, writer);
        fail_database(&mut simulation, "b");
        simulation.run(millis(4_500));
        simulation.database("a").unreachable = true;
        run_with_reads(&mut simulation, millis(8_000));
        assert_eq!(promoted(&simulation), [] as [&str; 0], "node {writer} wrote");
        restore_database(&mut simulation, "a");
        simulation.database("c").replication_stopped = false;
        simulation.run(millis(3_000));
        write(&mut simulation, writer, 1);
    }
}

/// Guards against the loss of commits that only a node which has died knew of.
#[test]
fn commits_acknowledged_by_a_node_that_died_are_not_lost() {
    for writer in 0..4 {
        let (mut simulation, end) = start_with_one_current_replica(4, writer);
        fail_database(&mut simulation, "b");
        simulation.run(millis(4_500));
        simulation.stopped.insert(writer);
        simulation.renewing.remove(&writer);
        simulation.remove_registration(writer);
        simulation.database("a").unreachable = true;
        run_with_reads(&mut simulation, millis(12_000));
        assert_eq!(promoted(&simulation), [] as [&str; 0], "node {writer} wrote");
        restore_database(&mut simulation, "b");
        run_with_reads(&mut simulation, millis(5_000));
        assert_eq!(promoted(&simulation), ["b"], "node {writer} wrote");
        assert!(simulation.databases["b"].received >= end);
    }
}

/// Guards against the loss of commits after all nodes have started again: those that are listed
/// then are not all databases of the cluster.
#[test]
fn nodes_that_started_again_wait_for_databases_that_are_not_listed() {
    let (mut simulation, end) = start_with_one_current_replica(4, 0);
    fail_database(&mut simulation, "b");
    fail_database(&mut simulation, "a");
    for gate in 0..4 {
        simulation.start_again(gate);
    }
    run_with_reads(&mut simulation, millis(15_000));
    assert_eq!(promoted(&simulation), [] as [&str; 0]);
    restore_database(&mut simulation, "b");
    run_with_reads(&mut simulation, millis(6_000));
    assert_eq!(promoted(&simulation), ["b"]);
    assert!(simulation.databases["b"].received >= end);
}

/// The other replica is down, and every node knows that the remaining one holds the whole log.
#[test]
fn a_complete_log_is_promoted_although_a_replica_is_down() {
    let mut simulation = Simulation::start(4);
    run_with_reads(&mut simulation, millis(1_000));
    fail_database(&mut simulation, "b");
    run_with_reads(&mut simulation, millis(5_000));
    write(&mut simulation, 0, 10);
    simulation.database("a").unreachable = true;
    let failed = simulation.now;
    while simulation.promotions.is_empty() {
        run_with_reads(&mut simulation, millis(20));
        assert!(simulation.now < failed + millis(3_000), "no promotion");
    }
    assert_eq!(promoted(&simulation), ["c"]);
}

/// A replica was lost for good and a new one has its place; a node has started since. Neither keeps
/// a later failover from going on.
#[test]
fn a_replica_that_was_lost_for_good_is_not_waited_for_once_it_is_replaced() {
    let mut simulation = Simulation::start(4);
    run_with_reads(&mut simulation, millis(1_000));
    fail_database(&mut simulation, "b");
    for _ in 0..20 {
        run_with_reads(&mut simulation, millis(500));
        write(&mut simulation, 0, 1);
    }
    let replacement = simulation.databases["c"].clone();
    simulation.databases.insert("d".into(), replacement);
    simulation.publish_database("d");
    for _ in 0..10 {
        run_with_reads(&mut simulation, millis(500));
        write(&mut simulation, 0, 1);
    }
    for gate in 0..4 {
        simulation.start_again(gate);
        run_with_reads(&mut simulation, millis(4_000));
    }
    simulation.database("a").unreachable = true;
    let failed = simulation.now;
    while simulation.promotions.is_empty() {
        run_with_reads(&mut simulation, millis(20));
        assert!(simulation.now < failed + millis(4_000), "no promotion");
    }
}
