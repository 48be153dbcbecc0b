//! Failovers during which nodes, replicas or the record of log holders change, in virtual time.

mod support;

use gate::{GateEvent, TermPosition};
use model::Micros;
use support::{LATEST, Simulation};

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// Sends a read of current data on every running node every 20 ms.
fn run_with_reads(simulation: &mut Simulation, time: Micros) {
    let end = simulation.now + time;
    while simulation.now < end {
        for gate in 0..simulation.gates.len() {
            if !simulation.stopped.contains(&gate) {
                let session = simulation.open(gate, LATEST);
                let id = format!("r{gate}-{}", simulation.now.0);
                simulation.send_request(gate, session, &id, "READ 1");
            }
        }
        simulation.run(millis(20));
    }
}

/// Sends writes on one node, which must be served. Returns the end of the acknowledged log.
fn write(simulation: &mut Simulation, gate: usize, count: usize) -> TermPosition {
    for turn in 0..count {
        let session = simulation.open(gate, LATEST);
        let id = format!("w{turn}-{gate}-{}", simulation.now.0);
        simulation.send_request(gate, session, &id, "WRITE 1 x");
        simulation.run(millis(20));
        assert_eq!(simulation.outcome(session), "served");
    }
    simulation.databases["a"].received
}

/// Removes a database's entry. The database itself may go on.
fn unlist(simulation: &mut Simulation, name: &str) {
    simulation.unlisted.insert(name.into());
    for gate in 0..simulation.gates.len() {
        if !simulation.stopped.contains(&gate) {
            simulation.event(gate, GateEvent::DatabaseUnlisted { id: name.into() });
        }
    }
}

/// Makes a database silent, and lets its entry expire.
fn fail_database(simulation: &mut Simulation, name: &str) {
    simulation.database(name).unreachable = true;
    unlist(simulation, name);
}

/// Ends a node's process; its lease expires.
fn kill_node(simulation: &mut Simulation, gate: usize) {
    simulation.stopped.insert(gate);
    simulation.renewing.remove(&gate);
    simulation.remove_registration(gate);
}

/// Asserts that every promoted database holds the acknowledged log up to `end`.
fn assert_none_lost(simulation: &Simulation, end: TermPosition) {
    for (at, name, _) in &simulation.promotions {
        let held = simulation.databases[name].received;
        assert!(held >= end, "{name} promoted at {at:?} with {held}, acknowledged up to {end}");
    }
}

/// Guards against the loss of commits that a replica received after it was removed: its entry
/// expired while it was cut off from the store only, and it has left the record of log holders.
#[test]

fn a_removed_replica_that_still_receives_commits_stays_a_holder() {
    let mut simulation = Simulation::start(4);
    run_with_reads(&mut simulation, millis(1_000));
    unlist(&mut simulation, "b");
    for _ in 0..12 {
        run_with_reads(&mut simulation, millis(500));
        for gate in 0..4 {
            write(&mut simulation, gate, 1);
        }
    }
    simulation.database("c").replication_stopped = true;
    let end = write(&mut simulation, 0, 5);
    assert_eq!(simulation.databases["b"].received, end, "b received the commits");
    kill_node(&mut simulation, 0);
    simulation.database("a").unreachable = true;
    run_with_reads(&mut simulation, millis(12_000));
    assert_none_lost(&simulation, end);
}

/// Guards against the loss of commits that an owner acknowledged after its registration expired: it
/// is cut off from the store, and reaches the primary.
#[test]

fn commits_of_an_owner_that_is_cut_off_from_the_store_are_not_lost() {
    let mut simulation = Simulation::start(4);
    run_with_reads(&mut simulation, millis(1_000));
    simulation.store_cut.insert(3);
    simulation.run(millis(1_000));
    simulation.remove_registration(3);
    simulation.run(millis(1_000));
    for gate in 0..3 {
        write(&mut simulation, gate, 1);
    }
    simulation.database("c").replication_stopped = true;
    let end = write(&mut simulation, 3, 5);
    fail_database(&mut simulation, "b");
    simulation.database("a").unreachable = true;
    run_with_reads(&mut simulation, millis(12_000));
    assert_none_lost(&simulation, end);
}

/// Guards against a promotion of a shorter log than the compared one: the replica with the longest
/// log starts again while the old primary is being demoted, and the rest is not compared again.
#[test]

fn the_logs_are_compared_again_after_a_replica_restarts_during_the_demotion() {
    let mut simulation = Simulation::start(4);
    run_with_reads(&mut simulation, millis(1_000));
    simulation.database("c").replication_stopped = true;
    let end = write(&mut simulation, 0, 10);
    simulation.database("a").leaving = true;
    simulation.publish_database("a");
    let acting = |simulation: &Simulation, stage: &str| {
        let mut stages = simulation.logs.iter().filter(|log| log.2.event == "takeover_stage");
        let stage = format!("{stage:?}");
        let found = stages.find(|(_, _, record)| format!("{:?}", record.fields).contains(&stage));
        found.map(|(_, gate, _)| *gate)
    };
    let limit = simulation.now + millis(5_000);
    while acting(&simulation, "confirming").is_none() {
        simulation.run(millis(10));
        assert!(simulation.now < limit, "no failover");
    }
    simulation.database("a").hung = true;
    while acting(&simulation, "demoting").is_none() {
        simulation.run(millis(10));
        assert!(simulation.now < limit, "no demotion");
    }
    simulation.restart_replica("b");
    simulation.run(millis(2_000));
    assert_none_lost(&simulation, end);
}

/// Guards against the loss of commits that only the former process of a node knew of: the node
/// starts again before its registration expires, so no other node sees it leave.
#[test]

fn commits_acknowledged_before_a_node_started_again_are_not_lost() {
    let mut simulation = Simulation::start(4);
    run_with_reads(&mut simulation, millis(1_000));
    for gate in 0..4 {
        write(&mut simulation, gate, 1);
    }
    simulation.database("c").replication_stopped = true;
    let end = write(&mut simulation, 0, 5);
    fail_database(&mut simulation, "b");
    simulation.database("a").unreachable = true;
    simulation.start_again_in_place(0);
    run_with_reads(&mut simulation, millis(12_000));
    assert_none_lost(&simulation, end);
}

/// Guards against a record of log holders that is gone or cannot be read: it counts as one that
/// names no database, and so proves that no other database holds a commit.
#[test]

fn a_record_of_log_holders_that_cannot_be_read_proves_nothing() {
    for bytes in [None, Some(b"{\"holders\":7}".to_vec())] {
        let mut simulation = Simulation::start(4);
        run_with_reads(&mut simulation, millis(1_000));
        simulation.database("c").replication_stopped = true;
        let end = write(&mut simulation, 0, 5);
        fail_database(&mut simulation, "b");
        fail_database(&mut simulation, "a");
        simulation.replace_log_holders(bytes);
        for gate in 0..4 {
            simulation.start_again(gate);
        }
        run_with_reads(&mut simulation, millis(12_000));
        assert_none_lost(&simulation, end);
    }
}
