//! Commits at nodes without a read lease, in virtual time.

mod support;

use gate::ErrorCode;
use model::Micros;
use support::{LATEST, Simulation, millis};

fn reports_of_replicas(simulation: &Simulation) -> usize {
    simulation.databases["b"].reports + simulation.databases["c"].reports
}

/// Guards against the price of the proof at nodes that do not need it.
#[test]
fn commits_with_a_read_lease_need_no_report() {
    let mut simulation = Simulation::start_with_reads(4);
    let before = reports_of_replicas(&simulation);
    simulation.write(0, 50);
    assert_eq!(reports_of_replicas(&simulation), before);
    assert_eq!(simulation.logged("commit_withheld"), 0);
}

/// Guards against a report for each of many commits: those that are answered while a report is
/// awaited share the next one.
#[test]
fn commits_without_a_read_lease_share_reports() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.store_cut.insert(3);
    simulation.run_with_reads(&[LATEST], millis(1_000));
    simulation.database("a").statement_time = Micros(100);
    let before = reports_of_replicas(&simulation);
    let sessions: Vec<_> = (0..40)
        .map(|index| {
            let session = simulation.open(3, LATEST);
            simulation.send_request(3, session, &format!("w{index}"), "WRITE 1 x");
            session
        })
        .collect();
    simulation.run(millis(300));
    for session in sessions {
        assert_eq!(simulation.outcome(session), "served");
    }
    let reports = reports_of_replicas(&simulation) - before;
    assert!((1..40).contains(&reports), "{reports} reports for 40 commits");
}

/// Guards against commits that the promoted log lacks: a restarted replica without its fence is the
/// only one that a node without a read lease reaches, and it shows no failover. The connections to
/// it were lost when it started again.
#[test]
fn a_replica_that_started_again_is_no_witness() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.write(0, 3);
    simulation.expire_registration(3);
    for gate in 0..3 {
        simulation.cut(gate, "a");
        simulation.open_steady(gate, LATEST);
    }
    simulation.promotion_delay = millis(1_000);
    simulation.run_until(millis(10_000), "no promotion is called", |simulation| {
        !simulation.promotions.is_empty()
    });
    let chosen = simulation.promotions[0].1.clone();
    simulation.cut(3, &chosen);
    simulation.lose_connections(&chosen, millis(1));
    let other = if &*chosen == "b" { "c" } else { "b" };
    simulation.restart_replica(other);
    simulation.lose_connections(other, millis(1));
    let before = simulation.databases["a"].received;
    let mut writes = Vec::new();
    while simulation.promoted_logs.is_empty() {
        let (session, id) = (simulation.open(3, LATEST), format!("w{}", simulation.now.0));
        simulation.send_request(3, session, &id, "WRITE 1 x");
        writes.push((session, id));
        simulation.run(millis(20));
    }
    let received = simulation.databases["a"].received;
    assert!(received > before, "the primary committed with the restarted replica");
    let start = simulation.promoted_logs[0].2;
    let lost = writes.iter().filter(|(session, id)| {
        let mut ran = simulation.databases["a"].ran.iter();
        let beyond = ran.any(|(other, position)| &**other == id && *position > start);
        beyond && simulation.outcome(*session) == "served"
    });
    assert_eq!(lost.count(), 0, "acknowledged commits beyond {start}");
}

/// Guards against writes that are sent although nothing can prove that they are kept: their outcome
/// would be unknown, while a refused one can be repeated elsewhere.
#[test]
fn a_write_without_a_witness_is_refused_as_not_run() {
    let mut simulation = Simulation::start_with_reads(1);
    simulation.store_cut.insert(0);
    simulation.run(millis(1_000));
    for name in ["b", "c"] {
        simulation.cut(0, name);
        simulation.lose_connections(name, millis(1));
    }
    simulation.run(millis(100));
    let before = simulation.databases["a"].received;
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "w", "WRITE 1 x");
    simulation.run(millis(500));
    assert_eq!(simulation.outcome(session), ErrorCode::Busy.name());
    assert!(!simulation.ran_at("a", "w"));
    assert_eq!(simulation.databases["a"].received, before);
}

/// Guards against transactions that never end at a node without a read lease.
#[test]
fn a_transaction_commits_without_a_read_lease() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.store_cut.insert(3);
    simulation.run_with_reads(&[LATEST], millis(1_000));
    let session = simulation.open(3, LATEST);
    for (id, text) in [("t1", "BEGIN"), ("t2", "WRITE 1 x"), ("t3", "COMMIT")] {
        simulation.send_request(3, session, id, text);
        simulation.run(millis(60));
        assert_eq!(simulation.outcome(session), "served", "{text}");
    }
    assert!(simulation.ran_at("a", "t3"));
    let next = simulation.open(3, LATEST);
    simulation.send_request(3, next, "r", "READ 1");
    simulation.run(millis(60));
    assert_eq!(simulation.outcome(next), "served", "the connection is free again");
}
