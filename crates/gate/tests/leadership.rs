//! Proof of the leader and failovers, in virtual time.

mod support;

use gate::{DatabaseRole, ErrorCode, SessionId, TermPosition};
use model::{Micros, Term};
use support::{BOUNDED, LATEST, SESSION, Simulation, millis};

/// Sends reads of current data and bounded reads on every node every 20 ms, as a steady load.
fn run_with_load(simulation: &mut Simulation, time: Micros) {
    let end = simulation.now + time;
    let mut turn = 0;
    while simulation.now < end {
        for gate in 0..simulation.gates.len() {
            if simulation.stopped.contains(&gate) {
                continue;
            }
            let session = simulation.open(gate, LATEST);
            turn += 1;
            simulation.send_request(
                gate,
                session,
                &format!("load{turn}-{}", simulation.now.0),
                "READ 1",
            );
            let session = simulation.open(gate, BOUNDED);
            simulation.send_request(
                gate,
                session,
                &format!("view{turn}-{}", simulation.now.0),
                "READ 1",
            );
        }
        simulation.run(millis(20));
    }
}

#[test]
fn current_reads_at_the_primary_need_no_report_each() {
    let mut simulation = Simulation::start(3);
    let before = simulation.databases["b"].reports + simulation.databases["c"].reports;
    for turn in 0..50 {
        let session = simulation.open(0, LATEST);
        simulation.send_request(0, session, &format!("r{turn}"), "READ 1");
        simulation.run(millis(20));
        assert_eq!(simulation.outcome(session), "served");
        assert!(simulation.ran_at("a", &format!("r{turn}")));
    }
    let after = simulation.databases["b"].reports + simulation.databases["c"].reports;
    assert_eq!(after, before, "the read lease proves the primary");
}

#[test]
fn without_the_store_each_read_is_proved_by_a_report_before_it_runs() {
    let mut simulation = Simulation::start(3);
    simulation.store_cut.insert(0);
    simulation.run(millis(1_000));
    let before = simulation.databases["b"].reports + simulation.databases["c"].reports;
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "r", "READ 1");
    simulation.run(millis(40));
    assert_eq!(simulation.outcome(session), "served");
    let after = simulation.databases["b"].reports + simulation.databases["c"].reports;
    assert!(after > before);
}

#[test]
fn a_node_that_reaches_only_the_primary_reads_nothing_there() {
    let mut simulation = Simulation::start(3);
    simulation.store_cut.insert(0);
    simulation.cut(0, "b");
    simulation.cut(0, "c");
    simulation.run(millis(1_000));
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "r", "READ 1");
    simulation.run(millis(1_000));
    assert_eq!(simulation.outcome(session), ErrorCode::Busy.name());
    assert!(!simulation.ran_at("a", "r"));
}

#[test]
fn an_unreachable_primary_is_replaced_and_writes_continue() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(500));
    simulation.database("a").unreachable = true;
    let (unreachable, revision) = (simulation.now, simulation.revision);
    run_with_load(&mut simulation, millis(2_500));
    let (at, _, token) = simulation.promotions[0].clone();
    assert_eq!(simulation.promotions.len(), 1);
    assert!(token > revision, "{token} is not above the revision {revision} without a record");
    assert!(at < unreachable + millis(1_500), "promoted {} after the failure", at - unreachable);
    let session = simulation.open(1, LATEST);
    simulation.send_request(1, session, "w", "WRITE 1 x");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
}

#[test]
fn the_replica_with_the_longest_log_is_promoted() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(300));
    simulation.database("b").replication_stopped = true;
    for turn in 0..5 {
        let session = simulation.open(0, LATEST);
        simulation.send_request(0, session, &format!("w{turn}"), "WRITE 1 x");
        simulation.run(millis(20));
        assert_eq!(simulation.outcome(session), "served");
    }
    simulation.database("a").unreachable = true;
    run_with_load(&mut simulation, millis(2_500));
    assert_eq!(&*simulation.promotions[0].1, "c");
    assert_eq!(simulation.databases["c"].received.position, 15);
}

/// A third of the nodes lose the primary, as when one data centre is cut off.
#[test]
fn a_third_of_the_nodes_cannot_replace_a_primary() {
    let mut simulation = Simulation::start(6);
    simulation.cut(0, "a");
    simulation.cut(1, "a");
    run_with_load(&mut simulation, millis(3_000));
    assert_eq!(simulation.promotions, []);
    assert!(simulation.logged("primary_suspected") > 0);
}

/// The failover is over before one node has heard of the new primary. Its read lease is valid all
/// the time, and the old primary still answers it.
#[test]
fn a_read_lease_proves_nothing_after_an_announced_failover() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(300));
    // Nodes 1 to 3 lose the primary. Node 0 keeps it, loses the replicas and gets no list changes.
    for gate in 1..4 {
        simulation.cut(gate, "a");
    }
    simulation.cut(0, "b");
    simulation.cut(0, "c");
    simulation.list_cut.insert(0);
    run_with_load(&mut simulation, millis(3_000));
    assert_eq!(simulation.promotions.len(), 1);
    let session = simulation.open(1, LATEST);
    simulation.send_request(1, session, "w", "WRITE 1 x");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "late", "READ 1");
    simulation.run(millis(500));
    assert!(!simulation.ran_at("a", "late"), "the replaced primary lacks the commit");
}

/// A node that does not receive the announcement keeps its read lease until its lease is ended.
#[test]
fn a_promotion_waits_for_unacknowledged_read_leases() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(300));
    simulation.documents_cut.insert(0);
    for gate in 1..4 {
        simulation.cut(gate, "a");
    }
    let end = simulation.now + millis(4_000);
    while simulation.now < end && simulation.promotions.is_empty() {
        run_with_load(&mut simulation, millis(20));
    }
    let promoted = simulation.promotions[0].0;
    let ended = simulation.logs.iter().find(|(_, _, record)| record.event == "lease_ended");
    let (ended, ..) = ended.expect("the lease of node 0 was ended");
    assert!(promoted >= *ended + gate::READ_LEASE_TTL);
}

/// Guards against a promotion while a node holds a read lease of a registration that is newer than
/// the first list: the node lost its lease, registered again, and does not know of the announcement.
#[test]
fn a_promotion_waits_for_nodes_that_register_during_a_failover() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(300));
    simulation.documents_cut.insert(0);
    for gate in 1..4 {
        simulation.cut(gate, "a");
    }
    let end = simulation.now + millis(8_000);
    let mut ended = 0;
    while simulation.now < end && simulation.promotions.is_empty() {
        run_with_load(&mut simulation, millis(20));
        if simulation.logged("lease_ended") > ended {
            ended = simulation.logged("lease_ended");
            if ended == 1 {
                simulation.register_again(0);
            }
        }
    }
    let promoted = simulation.promotions[0].0;
    let last = simulation.logs.iter().rfind(|(_, _, record)| record.event == "lease_ended");
    let (ended_at, ..) = last.expect("a lease of node 0 was ended");
    assert_eq!(ended, 2, "both leases of node 0 were ended");
    assert!(promoted >= *ended_at + gate::READ_LEASE_TTL);
}

/// Guards against reads at a replaced primary by a node for which no failover waits, because another
/// writer has removed its registration.
#[test]
fn a_node_without_its_registration_gives_its_read_lease_up_and_registers_again() {
    let mut simulation = Simulation::start(3);
    simulation.cut(0, "b");
    simulation.cut(0, "c");
    simulation.remove_registration(0);
    // A renewal that was sent before cannot restore the read lease.
    let sent = simulation.now;
    simulation.event(0, gate::GateEvent::ReadLeaseRenewed { sent, role_changes: 1 });
    simulation.run(millis(20));
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "r", "READ 1");
    simulation.run(millis(200));
    assert!(!simulation.ran_at("a", "r"));
    assert_eq!(simulation.logged("registration_lost"), 1);
    simulation.run(millis(400));
    assert!(simulation.is_registered(0));
    assert_eq!(simulation.logged("registration_lost"), 1, "its own removal counts once");
}

#[test]
fn fences_of_a_node_that_died_are_lifted() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(300));
    simulation.database("b").fence = Term(2);
    simulation.database("c").fence = Term(2);
    for name in ["b", "c"] {
        // Any report shows the fence. Without read leases each node requests reports again.
        simulation.documents_cut.clear();
        simulation.renewing.clear();
        assert_eq!(simulation.databases[name].role, DatabaseRole::Replica);
    }
    simulation.run(millis(1_200));
    simulation.renewing = (0..4).collect();
    run_with_load(&mut simulation, millis(4_000));
    assert_eq!(simulation.databases["b"].fence.max(simulation.databases["c"].fence), Term(0));
    let session = simulation.open(2, LATEST);
    simulation.send_request(2, session, "w", "WRITE 1 x");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
}

#[test]
fn a_leaving_primary_is_replaced_by_one_that_stays() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(300));
    simulation.database("a").leaving = true;
    simulation.database("b").leaving = true;
    simulation.publish_database("a");
    simulation.publish_database("b");
    run_with_load(&mut simulation, millis(1_500));
    assert_eq!(&*simulation.promotions[0].1, "c");
    let session = simulation.open(0, SESSION);
    simulation.send_request(0, session, "w", "WRITE 1 x");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
}

#[test]
fn a_session_reads_its_own_write_and_not_at_lagging_replicas() {
    let mut simulation = Simulation::start(2);
    run_with_load(&mut simulation, millis(300));
    simulation.database("b").replication_stopped = true;
    let session = simulation.open(0, SESSION);
    simulation.send_request(0, session, "w", "WRITE 1 x");
    simulation.run(millis(30));
    simulation.send_request(0, session, "r", "READ 1");
    simulation.run(millis(60));
    assert_eq!(simulation.outcome(session), "served");
    assert!(!simulation.ran_at("b", "r"));
}

/// The entry of the only replica that holds a commit expires just before the primary fails.
#[test]
fn an_unlisted_replica_can_be_promoted() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(1_000));
    simulation.database("c").replication_stopped = true;
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "w", "WRITE 1 x");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
    simulation.unlisted.insert("b".into());
    for gate in 0..4 {
        simulation.event(gate, gate::GateEvent::DatabaseUnlisted { id: "b".into() });
    }
    simulation.database("a").unreachable = true;
    run_with_load(&mut simulation, millis(3_000));
    assert_eq!(&*simulation.promotions[0].1, "b");
}

/// A node that has just reached the store again may see a list that lacks the expired entries.
#[test]
fn no_failover_starts_before_the_list_is_complete() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(1_000));
    simulation.renewing.clear();
    run_with_load(&mut simulation, millis(1_000));
    simulation.database("a").unreachable = true;
    simulation.renewing = (0..4).collect();
    let back = simulation.now;
    run_with_load(&mut simulation, millis(5_000));
    assert!(simulation.promotions[0].0 >= back + millis(2_000));
}

/// The primary and the only replica with a commit fail together; the primary returns with its log.
#[test]
fn a_replica_that_lacks_a_known_commit_is_not_promoted() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(1_000));
    simulation.database("c").replication_stopped = true;
    for gate in 0..4 {
        let session = simulation.open(gate, LATEST);
        simulation.send_request(gate, session, &format!("w{gate}"), "WRITE 1 x");
        simulation.run(millis(50));
        assert_eq!(simulation.outcome(session), "served");
    }
    simulation.database("a").unreachable = true;
    simulation.database("b").unreachable = true;
    simulation.unlisted.insert("b".into());
    for gate in 0..4 {
        simulation.event(gate, gate::GateEvent::DatabaseUnlisted { id: "b".into() });
    }
    run_with_load(&mut simulation, millis(7_000));
    assert_eq!(simulation.promotions, []);
    simulation.database("a").unreachable = false;
    run_with_load(&mut simulation, millis(3_000));
    let session = simulation.open(1, LATEST);
    simulation.database("c").replication_stopped = false;
    simulation.send_request(1, session, "w", "WRITE 1 x");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
}

/// The primary accepts connections but does not answer.
#[test]
fn a_primary_that_hangs_is_replaced() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(300));
    simulation.database("a").hung = true;
    run_with_load(&mut simulation, millis(3_000));
    assert_eq!(simulation.promotions.len(), 1);
}

/// The primary is cut off from its replicas: it answers reads and reports, but no commit completes.
#[test]
fn a_primary_whose_commits_hang_is_replaced() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(300));
    simulation.database("b").replication_stopped = true;
    simulation.database("c").replication_stopped = true;
    for turn in 0..60 {
        for gate in 0..4 {
            let session = simulation.open(gate, LATEST);
            simulation.send_request(gate, session, &format!("w{turn}-{gate}"), "WRITE 1 x");
        }
        simulation.run(millis(40));
        if !simulation.promotions.is_empty() {
            break;
        }
    }
    assert_eq!(simulation.promotions.len(), 1);
}

/// Commits that hung at the replaced primary say nothing about the new one. The other replica
/// receives no log and lacks commits, so a second failover would lose them.
#[test]
fn a_new_primary_is_not_replaced_for_commits_of_the_old_one() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(1_000));
    simulation.database("c").replication_stopped = true;
    for turn in 0..10 {
        let session = simulation.open(turn % 4, LATEST);
        simulation.send_request(turn % 4, session, &format!("w{turn}"), "WRITE 1 x");
        simulation.run(millis(20));
        assert_eq!(simulation.outcome(session), "served");
    }
    simulation.database("a").unreachable = true;
    for turn in 0..300 {
        let session = simulation.open(turn % 4, LATEST);
        simulation.send_request(turn % 4, session, &format!("v{turn}"), "WRITE 1 x");
        if turn == 150 {
            // The old primary's entry is removed for good.
            simulation.unlisted.insert("a".into());
            for gate in 0..4 {
                simulation.event(gate, gate::GateEvent::DatabaseUnlisted { id: "a".into() });
            }
        }
        simulation.run(millis(40));
    }
    let promoted: Vec<&str> =
        simulation.promotions.iter().map(|(_, name, _)| name.as_str()).collect();
    assert_eq!(promoted, ["b"]);
}

/// A new replica receives commits before it is listed, while the listed ones are being fenced.
#[test]
fn a_replica_that_is_listed_late_can_be_promoted() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(1_000));
    let mut late = simulation.database("b").clone();
    simulation.unlisted.insert("d".into());
    simulation.database("a").hung = true;
    while simulation.logged("takeover_stage") == 0 {
        run_with_load(&mut simulation, millis(20));
    }
    // The new replica receives one more commit while the fences are being set.
    simulation.run(millis(30));
    late.received.position += 5;
    late.ran.clear();
    simulation.databases.insert("d".into(), late);
    simulation.run(millis(20));
    simulation.unlisted.clear();
    run_with_load(&mut simulation, millis(2_000));
    assert_eq!(&*simulation.promotions[0].1, "d");
}

/// One replica is unreachable. Nothing is fenced, so the primary can commit with the other replica.
#[test]
fn nothing_is_fenced_while_a_replica_does_not_answer() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(1_000));
    simulation.database("b").unreachable = true;
    for gate in 1..4 {
        simulation.cut(gate, "a");
    }
    run_with_load(&mut simulation, millis(1_500));
    assert!(simulation.logged("takeover_given_up") > 0);
    assert_eq!(simulation.databases["c"].fence, Term(0));
    assert_eq!(simulation.promotions, []);
}

/// All requests of a cluster go through one node. The other nodes notice an unresponsive primary
/// only if they request reports.
#[test]
fn nodes_without_requests_verify_a_suspicion() {
    let mut simulation = Simulation::start(6);
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "warm", "READ 1");
    simulation.run(millis(500));
    simulation.database("a").unreachable = true;
    let started = simulation.now;
    for turn in 0..150 {
        let session = simulation.open(0, LATEST);
        simulation.send_request(0, session, &format!("w{turn}"), "WRITE 1 x");
        let session = simulation.open(0, BOUNDED);
        simulation.send_request(0, session, &format!("r{turn}"), "READ 1");
        simulation.run(millis(20));
    }
    let promoted = simulation.promotions.first().expect("the primary is replaced");
    // Two silences of 500 ms in sequence, the promotion lease and the steps of the failover.
    assert!(promoted.0 - started < millis(2_000), "after {:?}", promoted.0 - started);
}

/// A replica starts again after it was fenced and before the promotion. It has no fence any more,
/// so the old primary could acknowledge commits that the promoted replica lacks.
#[test]
fn a_replica_that_starts_again_during_a_failover_is_fenced_again() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(500));
    simulation.database("a").unreachable = true;
    let fenced = |simulation: &Simulation| {
        let databases = [&simulation.databases["b"], &simulation.databases["c"]];
        databases.iter().all(|database| database.fence > database.term)
    };
    while !fenced(&simulation) {
        run_with_load(&mut simulation, millis(20));
        assert!(simulation.now < Micros::from_secs(20), "no failover fences the replicas");
    }
    simulation.restart_replica("c");
    while simulation.promotions.is_empty() {
        run_with_load(&mut simulation, millis(20));
        assert!(simulation.now < Micros::from_secs(30), "no promotion");
    }
    assert!(fenced(&simulation), "{:?}", simulation.databases["c"]);
}

/// Runs until a promotion is called, with one write of each of `writers` every 20 ms. Returns the
/// sessions and ids of the writes, and the end of the log that is promoted.
fn write_until_promotion(
    simulation: &mut Simulation,
    writers: std::ops::Range<usize>,
) -> (Vec<(SessionId, String)>, TermPosition) {
    let mut writes = Vec::new();
    while simulation.promotions.is_empty() {
        for gate in writers.clone() {
            let (session, id) = (simulation.open(gate, LATEST), format!("w{}", writes.len()));
            simulation.send_request(gate, session, &id, "WRITE 1 x");
            writes.push((session, id));
        }
        run_with_load(simulation, millis(20));
        assert!(simulation.now < Micros::from_secs(20), "no promotion");
    }
    let promoted = simulation.promotions[0].1.clone();
    (writes, simulation.databases[&promoted].received)
}

/// Returns the writes that were served by database `a` beyond a position of its log.
fn served_beyond(
    simulation: &Simulation,
    writes: &[(SessionId, String)],
    end: TermPosition,
) -> Vec<String> {
    let ran = &simulation.databases["a"].ran;
    let lost = writes.iter().filter(|(session, id)| {
        simulation.outcome(*session) == "served"
            && ran.iter().any(|(ran, position)| **ran == **id && *position > end)
    });
    lost.map(|(_, id)| id.clone()).collect()
}

/// Guards against acknowledged commits that the promoted replica lacks. Some nodes still reach the
/// old primary, which gets a replica back that has lost its fence by a restart, after the lists
/// were read for the last time.
#[test]
fn queued_writes_are_not_sent_to_a_primary_that_is_being_replaced() {
    let mut simulation = Simulation::start(5);
    run_with_load(&mut simulation, millis(500));
    for gate in 0..3 {
        simulation.cut(gate, "a");
    }
    simulation.database("a").statement_time = millis(12);
    let (writes, end) = write_until_promotion(&mut simulation, 3..5);
    simulation.restart_replica("c");
    run_with_load(&mut simulation, millis(600));
    assert_eq!(served_beyond(&simulation, &writes, end), [] as [String; 0]);
    assert!(simulation.logged("announcement_seen") > 0);
    let ran = simulation.databases["a"].ran.iter();
    let late = ran.filter(|(id, position)| id.starts_with('w') && *position > end);
    assert_eq!(late.count(), 0, "writes were sent after the announcement");
}

/// As above, with writes that wait for a replica at the old primary from before the announcement.
#[test]
fn commits_in_flight_at_a_primary_that_is_being_replaced_are_not_acknowledged() {
    let mut simulation = Simulation::start(5);
    run_with_load(&mut simulation, millis(500));
    for gate in 0..3 {
        simulation.cut(gate, "a");
    }
    run_with_load(&mut simulation, millis(400));
    simulation.database("b").replication_stopped = true;
    simulation.database("c").replication_stopped = true;
    let (writes, end) = write_until_promotion(&mut simulation, 3..5);
    simulation.restart_replica("c");
    run_with_load(&mut simulation, millis(100));
    let ran = &simulation.databases["a"].ran;
    assert!(ran.iter().any(|(_, position)| *position > end), "the replica received a commit");
    assert_eq!(served_beyond(&simulation, &writes, end), [] as [String; 0]);
    assert!(simulation.logged("commit_withheld") > 0);
}

/// Guards against the commit of a transaction that wrote at the old primary before the
/// announcement. It is rolled back, and the client is told so.
#[test]
fn a_transaction_is_not_committed_at_a_primary_that_is_being_replaced() {
    let mut simulation = Simulation::start(5);
    run_with_load(&mut simulation, millis(500));
    let session = simulation.open(4, LATEST);
    for (id, text) in [("t1", "BEGIN"), ("t2", "WRITE 1 x")] {
        simulation.send_request(4, session, id, text);
        simulation.run(millis(20));
        assert_eq!(simulation.outcome(session), "served");
    }
    for gate in 0..3 {
        simulation.cut(gate, "a");
    }
    write_until_promotion(&mut simulation, 3..5);
    simulation.send_request(4, session, "t3", "COMMIT");
    simulation.restart_replica("c");
    run_with_load(&mut simulation, millis(100));
    assert_eq!(simulation.outcome(session), ErrorCode::Aborted.name());
    assert!(!simulation.ran_at("a", "t3"));
}

/// Guards against an announcement that ends while an accepted promotion has not taken effect yet.
/// The old primary's commits would count again, although the promoted log lacks them.
#[test]
fn a_failover_is_not_given_up_while_its_promotion_may_take_effect() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(1_000));
    simulation.promotion_delay = millis(1_000);
    simulation.promotions_refused = true;
    simulation.database("a").hung = true;
    while simulation.logged("takeover_started") == 0 {
        run_with_load(&mut simulation, millis(20));
    }
    // The platform accepts the promotion shortly before the time limit of the failover.
    run_with_load(&mut simulation, millis(5_500));
    simulation.promotions_refused = false;
    run_with_load(&mut simulation, millis(2_000));
    assert_eq!(simulation.promotions.len(), 1);
    assert_eq!(simulation.logged("takeover_given_up"), 0);
    assert_eq!(simulation.logged("takeover_completed"), 1);
}

/// Guards against a failover that goes on for ever while the platform refuses to promote.
#[test]
fn a_failover_whose_promotion_is_refused_is_given_up() {
    let mut simulation = Simulation::start(4);
    run_with_load(&mut simulation, millis(1_000));
    simulation.promotions_refused = true;
    simulation.database("a").hung = true;
    run_with_load(&mut simulation, millis(10_000));
    assert!(simulation.logged("takeover_given_up") > 0);
}
