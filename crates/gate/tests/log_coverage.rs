//! Failovers while databases that may hold the only copy of a commit are down, in virtual time.

mod support;

use gate::{ErrorCode, TermPosition};
use support::{BOUNDED, LATEST, Simulation, millis};

/// What each node reads under load.
const READS: [&str; 2] = [LATEST, BOUNDED];

/// Starts nodes with one cluster in which only the primary `a` and the replica `b` receive commits,
/// with some writes by node `writer`. Returns the end of the acknowledged log.
fn start_with_one_current_replica(nodes: usize, writer: usize) -> (Simulation, TermPosition) {
    let mut simulation = Simulation::start(nodes);
    simulation.run(millis(1_000));
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(writer, 10);
    assert!(simulation.databases["c"].received < end);
    (simulation, end)
}

/// Guards against the promotion of a log that is known to be too short once a time limit has
/// passed: both databases that hold the acknowledged commits are down for long.
#[test]
fn a_log_that_is_known_to_be_too_short_is_never_promoted() {
    let (mut simulation, end) = start_with_one_current_replica(4, 0);
    for gate in 1..4 {
        simulation.write(gate, 1);
    }
    simulation.fail_database("b");
    simulation.fail_database("a");
    simulation.run_with_reads(&READS, millis(60_000));
    assert_eq!(simulation.promoted_databases(), [] as [&str; 0]);
    let session = simulation.open(1, LATEST);
    simulation.send_request(1, session, "refused", "WRITE 1 x");
    simulation.run(millis(40));
    assert_eq!(simulation.outcome(session), ErrorCode::Busy.name(), "writes are refused at once");
    simulation.restore_database("b");
    simulation.run_with_reads(&READS, millis(5_000));
    assert_eq!(simulation.promoted_databases(), ["b"]);
    assert!(simulation.databases["b"].received >= end);
}

/// Guards against a failover by a node that has passed on no commit and so knows less of the log
/// than the node which has acknowledged commits.
#[test]
fn the_end_of_the_log_is_learned_from_the_nodes_that_acknowledged_commits() {
    for writer in 0..4 {
        let (mut simulation, _) = start_with_one_current_replica(4, writer);
        simulation.fail_database("b");
        simulation.run(millis(4_500));
        simulation.database("a").unreachable = true;
        simulation.run_with_reads(&READS, millis(8_000));
        assert_eq!(simulation.promoted_databases(), [] as [&str; 0], "node {writer} wrote");
        simulation.restore_database("a");
        simulation.database("c").replication_stopped = false;
        simulation.run(millis(3_000));
        simulation.write(writer, 1);
    }
}

/// Guards against the loss of commits that only a node which has died knew of.
#[test]
fn commits_acknowledged_by_a_node_that_died_are_not_lost() {
    for writer in 0..4 {
        let (mut simulation, end) = start_with_one_current_replica(4, writer);
        simulation.fail_database("b");
        simulation.run(millis(4_500));
        simulation.stopped.insert(writer);
        simulation.renewing.remove(&writer);
        simulation.remove_registration(writer);
        simulation.database("a").unreachable = true;
        simulation.run_with_reads(&READS, millis(12_000));
        assert_eq!(simulation.promoted_databases(), [] as [&str; 0], "node {writer} wrote");
        simulation.restore_database("b");
        simulation.run_with_reads(&READS, millis(5_000));
        assert_eq!(simulation.promoted_databases(), ["b"], "node {writer} wrote");
        assert!(simulation.databases["b"].received >= end);
    }
}

/// Guards against the loss of commits after all nodes have started again: those that are listed
/// then are not all databases of the cluster.
#[test]
fn nodes_that_started_again_wait_for_databases_that_are_not_listed() {
    let (mut simulation, end) = start_with_one_current_replica(4, 0);
    simulation.fail_database("b");
    simulation.fail_database("a");
    for gate in 0..4 {
        simulation.start_again(gate);
    }
    simulation.run_with_reads(&READS, millis(15_000));
    assert_eq!(simulation.promoted_databases(), [] as [&str; 0]);
    simulation.restore_database("b");
    simulation.run_with_reads(&READS, millis(6_000));
    assert_eq!(simulation.promoted_databases(), ["b"]);
    assert!(simulation.databases["b"].received >= end);
}

/// The other replica is down, and every node knows that the remaining one holds the whole log.
#[test]
fn a_complete_log_is_promoted_although_a_replica_is_down() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(1_000));
    simulation.fail_database("b");
    simulation.run_with_reads(&READS, millis(5_000));
    simulation.write(0, 10);
    simulation.database("a").unreachable = true;
    let failed = simulation.now;
    while simulation.promotions.is_empty() {
        simulation.run_with_reads(&READS, millis(20));
        assert!(simulation.now < failed + millis(3_000), "no promotion");
    }
    assert_eq!(simulation.promoted_databases(), ["c"]);
}

/// A replica was lost for good and a new one has its place; a node has started since. Neither keeps
/// a later failover from going on.
#[test]
fn a_replica_that_was_lost_for_good_is_not_waited_for_once_it_is_replaced() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(1_000));
    simulation.fail_database("b");
    for _ in 0..20 {
        simulation.run_with_reads(&READS, millis(500));
        simulation.write(0, 1);
    }
    let replacement = simulation.databases["c"].clone();
    simulation.databases.insert("d".into(), replacement);
    simulation.publish_database("d");
    for _ in 0..10 {
        simulation.run_with_reads(&READS, millis(500));
        simulation.write(0, 1);
    }
    for gate in 0..4 {
        simulation.start_again(gate);
        simulation.run_with_reads(&READS, millis(4_000));
    }
    simulation.database("a").unreachable = true;
    let failed = simulation.now;
    while simulation.promotions.is_empty() {
        simulation.run_with_reads(&READS, millis(20));
        assert!(simulation.now < failed + millis(4_000), "no promotion");
    }
}

/// Guards against the loss of commits that only the primary and a replica held which has started
/// again without its log: such a replica reports no term, and counted as compared.
#[test]
fn a_replica_that_lost_its_log_and_its_term_is_not_compared() {
    let mut simulation = Simulation::start(4);
    // Every node knows the log up to here; what follows is known only to a node that dies.
    simulation.run_with_reads(&READS, millis(3_500));
    simulation.database("c").replication_stopped = true;
    for gate in 0..3 {
        simulation.cut(gate, "a");
        simulation.cut(gate, "b");
    }
    let end = simulation.write(3, 10);
    simulation.stopped.insert(3);
    simulation.renewing.remove(&3);
    simulation.remove_registration(3);
    simulation.database("a").unreachable = true;
    simulation.start_database_anew("b", millis(1));
    simulation.cuts.clear();
    simulation.run_with_reads(&READS, millis(8_000));
    assert_eq!(simulation.promoted_databases(), [] as [&str; 0], "commits up to {end} are lost");
    simulation.restore_database("a");
    simulation.database("c").replication_stopped = false;
    simulation.run_with_reads(&READS, millis(4_000));
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "again", "READ 1");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
}
