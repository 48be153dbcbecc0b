//! Databases that start again under their id with an empty log, in virtual time.

mod support;

use gate::{ClientReply, TermPosition};
use support::{LATEST, Simulation, millis};

/// Runs reads of current data for 500 ms after the primary has started again, and asserts that none
/// of them was answered from its empty log.
fn assert_no_stale_read(simulation: &mut Simulation, acknowledged: TermPosition) {
    let restarted = simulation.now;
    let ran_before = simulation.databases["a"].ran.len();
    simulation.run_with_reads(&[LATEST], millis(500));
    let answers = simulation.answers.iter().filter(|answered| answered.at > restarted);
    let stale = answers.filter(|answered| match &answered.reply {
        ClientReply::Done { rows, .. } => rows.iter().any(|row| row == "0.0"),
        ClientReply::Failed { .. } => false,
    });
    assert_eq!(stale.count(), 0, "reads lack commits up to {acknowledged}");
    let ran = &simulation.databases["a"].ran[ran_before..];
    assert!(ran.is_empty(), "{} reads ran at the restarted database", ran.len());
}

/// Guards against reads at a primary that has started again with an empty log, while the read lease
/// goes on to prove its term. The entry shows the restart before the connections are lost.
#[test]
fn a_restarted_primary_is_not_read_after_its_entry_shows_the_restart() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&[LATEST], millis(500));
    let acknowledged = simulation.write(0, 5);
    simulation.start_database_anew("a", millis(5));
    simulation.publish_database("a");
    simulation.run(millis(2));
    assert_no_stale_read(&mut simulation, acknowledged);
}

/// As above, at nodes that reach the database again before they see its new entry: its position is
/// lower than the one that it had shown before the connection was requested.
#[test]
fn a_restarted_primary_is_not_read_after_its_position_went_back() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&[LATEST], millis(500));
    let acknowledged = simulation.write(0, 5);
    simulation.start_database_anew("a", millis(1));
    assert_no_stale_read(&mut simulation, acknowledged);
}

/// Guards against a former primary that is ignored for good: it receives the log again, is promoted,
/// and is read.
#[test]
fn a_restarted_primary_can_lead_again() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&[LATEST], millis(500));
    simulation.write(0, 5);
    simulation.start_database_anew("a", millis(1));
    simulation.publish_database("a");
    simulation.run_with_reads(&[LATEST], millis(4_000));
    assert_eq!(simulation.promotions.len(), 1, "a database with the log is promoted");
    let leader = simulation.promotions[0].1.clone();
    let received = simulation.databases[&leader].received;
    simulation.database("a").received = received;
    simulation.database(&leader).leaving = true;
    simulation.publish_database(&leader);
    simulation.run_with_reads(&[LATEST], millis(4_000));
    assert_eq!(simulation.promoted_databases().last(), Some(&"a"));
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "again", "READ 1");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
    assert!(simulation.ran_at("a", "again"));
}

/// Starts four nodes with one cluster in which only the primary `a` and the replica `b` hold the commits. The node that
/// has passed them on, and has reached `b`, ends. Then `b` starts again without its log, and `a` becomes silent.
fn start_with_commits_at_the_primary_only() -> Simulation {
    let mut simulation = Simulation::empty(4);
    for gate in 0..3 {
        simulation.cut(gate, "b");
    }
    simulation.announce_store_state();
    simulation.run(millis(6_500));
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(3, 10);
    assert!(simulation.databases["c"].received < end);
    simulation.stopped.insert(3);
    simulation.renewing.remove(&3);
    simulation.remove_registration(3);
    simulation.database("a").unreachable = true;
    simulation.start_database_anew("b", millis(1));
    simulation.publish_database("b");
    simulation.cuts.clear();
    simulation
}

/// Guards against the loss of commits that only the primary and a replica held which has started again: the remaining
/// nodes have never seen its log, so its empty one counted as compared.
#[test]
fn a_restarted_replica_whose_log_no_node_has_seen_is_not_compared() {
    let mut simulation = start_with_commits_at_the_primary_only();
    simulation.run_with_reads(&[LATEST], millis(8_000));
    assert_eq!(simulation.promoted_databases(), [] as [&str; 0]);
    simulation.restore_database("a");
    simulation.database("c").replication_stopped = false;
    simulation.run_with_reads(&[LATEST], millis(4_000));
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "again", "READ 1");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
}

/// As above, at nodes that start after the replica has.
#[test]
fn a_replica_that_restarted_before_all_nodes_is_not_compared() {
    let mut simulation = start_with_commits_at_the_primary_only();
    for gate in 0..3 {
        simulation.start_again(gate);
    }
    simulation.unlist("a");
    simulation.run_with_reads(&[LATEST], millis(15_000));
    assert_eq!(simulation.promoted_databases(), [] as [&str; 0]);
}

/// Guards against a restarted replica that is never compared again although it has received the log, and against a
/// record that keeps its former start.
#[test]
fn a_restarted_replica_is_compared_once_it_has_received_the_log() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(0, 5);
    simulation.start_database_anew("b", millis(1));
    simulation.publish_database("b");
    simulation.run_with_reads(&[LATEST], millis(1_000));
    let recorded =
        |simulation: &Simulation| simulation.log_holders().map(|record| record.starts["b"]);
    assert_eq!(recorded(&simulation), Some(1), "the log of its former start is not replaced yet");
    simulation.database("b").term = simulation.databases["a"].term;
    simulation.write(0, 1);
    simulation.run_with_reads(&[LATEST], millis(5_000));
    assert!(simulation.databases["b"].received > end);
    assert_eq!(recorded(&simulation), Some(2));
    simulation.fail_database("a");
    simulation.run_with_reads(&[LATEST], millis(6_000));
    assert_eq!(simulation.promoted_databases(), ["b"]);
}
