//! Failovers during which nodes, replicas or the record of log holders change, in virtual time.

mod support;

use gate::{GateEvent, TermPosition};
use model::Micros;
use support::{LATEST, Simulation, millis};

/// Ends a node's process; its lease expires.
fn kill_node(simulation: &mut Simulation, gate: usize) {
    simulation.stopped.insert(gate);
    simulation.renewing.remove(&gate);
    simulation.remove_registration(gate);
}

/// Guards against the loss of commits that a replica received after it was removed: its entry
/// expired while it was cut off from the store only, and it has left the record of log holders.
#[test]
fn a_removed_replica_that_still_receives_commits_stays_a_holder() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.unlist("b");
    for _ in 0..12 {
        simulation.run_with_reads(&[LATEST], millis(500));
        for gate in 0..4 {
            simulation.write(gate, 1);
        }
    }
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(0, 5);
    assert_eq!(simulation.databases["b"].received, end, "b received the commits");
    kill_node(&mut simulation, 0);
    simulation.database("a").unreachable = true;
    simulation.run_with_reads(&[LATEST], millis(12_000));
    simulation.assert_none_lost(end);
}

/// Guards against the loss of commits that an owner acknowledged after its registration expired: it
/// is cut off from the store, and reaches the primary.
#[test]
fn commits_of_an_owner_that_is_cut_off_from_the_store_are_not_lost() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.expire_registration(3);
    simulation.run(millis(1_000));
    for gate in 0..3 {
        simulation.write(gate, 1);
    }
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(3, 5);
    simulation.fail_database("b");
    simulation.database("a").unreachable = true;
    simulation.run_with_reads(&[LATEST], millis(12_000));
    simulation.assert_none_lost(end);
}

/// Guards against a promotion of a shorter log than the compared one: the replica with the longest
/// log starts again while the old primary is being demoted, and the rest is not compared again.
#[test]
fn the_logs_are_compared_again_after_a_replica_restarts_during_the_demotion() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(0, 10);
    simulation.database("a").leaving = true;
    simulation.publish_database("a");
    let limit = simulation.now + millis(5_000);
    while node_in_stage(&simulation, "confirming").is_none() {
        simulation.run(millis(10));
        assert!(simulation.now < limit, "no failover");
    }
    simulation.database("a").hung = true;
    while node_in_stage(&simulation, "demoting").is_none() {
        simulation.run(millis(10));
        assert!(simulation.now < limit, "no demotion");
    }
    simulation.restart_replica("b");
    simulation.run(millis(2_000));
    simulation.assert_none_lost(end);
}

/// Guards against the loss of commits that only the former process of a node knew of: the node
/// starts again before its registration expires, so no other node sees it leave.
#[test]
fn commits_acknowledged_before_a_node_started_again_are_not_lost() {
    let mut simulation = Simulation::start_with_reads(4);
    for gate in 0..4 {
        simulation.write(gate, 1);
    }
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(0, 5);
    simulation.fail_database("b");
    simulation.database("a").unreachable = true;
    simulation.start_again_in_place(0);
    simulation.run_with_reads(&[LATEST], millis(12_000));
    simulation.assert_none_lost(end);
}

/// Guards against a record of log holders that is gone or cannot be read: it counts as one that
/// names no database, and so proves that no other database holds a commit.
#[test]
fn a_record_of_log_holders_that_cannot_be_read_proves_nothing() {
    for bytes in [None, Some(b"{\"holders\":7}".to_vec())] {
        let mut simulation = Simulation::start_with_reads(4);
        simulation.database("c").replication_stopped = true;
        let end = simulation.write(0, 5);
        simulation.fail_database("b");
        simulation.fail_database("a");
        simulation.replace_log_holders(bytes);
        for gate in 0..4 {
            simulation.start_again(gate);
        }
        simulation.run_with_reads(&[LATEST], millis(12_000));
        simulation.assert_none_lost(end);
    }
}

/// Returns the node that has logged a stage of a failover since the last clearing of the log.
fn node_in_stage(simulation: &Simulation, stage: &str) -> Option<usize> {
    let stage = format!("{stage:?}");
    let mut logs = simulation.logs.iter();
    let found = logs.find(|(_, _, record)| {
        record.event == "takeover_stage" && format!("{:?}", record.fields).contains(&stage)
    });
    found.map(|(_, gate, _)| *gate)
}

/// Runs until a node has logged a stage of a failover.
fn run_until_stage(simulation: &mut Simulation, stage: &str) -> usize {
    let limit = simulation.now + millis(8_000);
    loop {
        if let Some(gate) = node_in_stage(simulation, stage) {
            return gate;
        }
        simulation.run(millis(20));
        assert!(simulation.now < limit, "no failover reached the stage {stage}");
    }
}

/// Returns the end of the log up to which a steady session's writes were acknowledged.
fn acknowledged_end(simulation: &Simulation, session: gate::SessionId) -> TermPosition {
    let answers = simulation.answers.iter().filter(|answer| answer.session == session);
    let mut end = TermPosition::default();
    for (index, answer) in answers.enumerate() {
        if !matches!(answer.reply, gate::ClientReply::Done { .. }) {
            continue;
        }
        let id = format!("s{}n{}", session.0, index + 1);
        let ran = simulation.databases.values().flat_map(|database| &database.ran);
        end = end.max(ran.filter(|(ran, _)| **ran == *id).map(|(_, at)| *at).max().unwrap_or(end));
    }
    end
}

/// Runs until a promotion, which must lose none of the writes that a steady session got acknowledged before.
fn assert_none_lost_by_promotion(simulation: &mut Simulation, session: gate::SessionId) {
    let mut end = TermPosition::default();
    let limit = simulation.now + millis(3_000);
    while simulation.promoted_logs.is_empty() {
        end = acknowledged_end(simulation, session);
        simulation.run(millis(20));
        assert!(simulation.now < limit, "no promotion");
    }
    simulation.assert_none_lost(end);
}

/// Guards against a failover that never ends although both remaining databases hold the whole log:
/// a replica that has left as planned, and whose log is gone with it, stays in the record of log
/// holders, and a node that had acknowledged commits has died.
#[test]
fn a_replaced_replica_leaves_the_record_of_log_holders() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.database("b").leaving = true;
    simulation.publish_database("b");
    simulation.run_with_reads(&[LATEST], millis(1_000));
    simulation.fail_database("b");
    for _ in 0..10 {
        simulation.run_with_reads(&[LATEST], millis(500));
        for gate in 0..4 {
            simulation.write(gate, 1);
        }
    }
    let replacement = simulation.databases["c"].clone();
    simulation.databases.insert("d".into(), replacement);
    simulation.publish_database("d");
    for _ in 0..10 {
        simulation.run_with_reads(&[LATEST], millis(500));
        for gate in 0..4 {
            simulation.write(gate, 1);
        }
    }
    kill_node(&mut simulation, 3);
    simulation.database("a").unreachable = true;
    simulation.run_with_reads(&[LATEST], millis(30_000));
    assert_eq!(simulation.promotions.len(), 1, "c and d both hold the whole log");
}

/// Guards against a promotion by a comparison from before another node's failover: the node loses
/// the promotion lease while it is suspended, claims it again and goes on with its old fences.
#[test]
fn a_failover_is_given_up_once_its_node_has_lost_the_promotion_lease() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.write(0, 3);
    simulation.database("a").unreachable = true;
    simulation.open_steady(1, LATEST);
    simulation.open_steady(2, LATEST);
    let suspended = run_until_stage(&mut simulation, "confirming");
    simulation.suspend(suspended);
    // Another node takes over, and promotes `b`.
    let limit = simulation.now + millis(5_000);
    while simulation.promotions.is_empty() {
        simulation.run_with_reads(&[LATEST], millis(20));
        assert!(simulation.now < limit, "no other node took over");
    }
    assert_eq!(simulation.promotions[0].1, "b".into());
    simulation.database("c").replication_stopped = true;
    simulation.run_with_reads(&[LATEST], millis(340));
    // The old primary is back as a replica, while `c` receives nothing.
    simulation.cut(suspended, "a");
    let term = simulation.databases["b"].term;
    let start = simulation.databases["b"].received;
    let old = simulation.database("a");
    (old.unreachable, old.role, old.term, old.received) =
        (false, gate::DatabaseRole::Replica, term, start);
    let session = simulation.open_steady((suspended + 1) % 4, LATEST);
    simulation.run_with_reads(&[LATEST], millis(200));
    let end = acknowledged_end(&simulation, session);
    assert!(end > simulation.databases["c"].received, "b and a hold more commits");
    simulation.fail_database("b");
    simulation.promoted_logs.clear();
    simulation.resume_with_deliveries(suspended);
    simulation.run_with_reads(&[LATEST], millis(4_000));
    simulation.assert_none_lost(end);
}

/// Guards against fences that are lifted by a node which no longer holds the promotion lease, after
/// the holder has compared the logs. A node that is cut off from the store passes on the commits
/// which the old primary acknowledges then.
#[test]
fn fences_are_lifted_only_by_the_holder_of_the_promotion_lease() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.write(0, 3);
    // The nodes keep connections to `c`, the replica in their data centre.
    for mut listed in simulation.listed() {
        if listed.id == "b".into() {
            listed.data_centre = "west".into();
            for gate in 0..4 {
                simulation.event(gate, GateEvent::DatabaseChanged(listed.clone()));
            }
        }
    }
    simulation.run_with_reads(&[LATEST], millis(500));
    simulation.expire_registration(3);
    let session = simulation.open_steady(3, LATEST);
    for gate in 0..3 {
        simulation.cut(gate, "a");
        simulation.open_steady(gate, LATEST);
    }
    let suspended = run_until_stage(&mut simulation, "waiting");
    simulation.suspend(suspended);
    simulation.logs.clear();
    let holder = run_until_stage(&mut simulation, "confirming");
    assert_ne!(suspended, holder);
    simulation.resume_with_deliveries(suspended);
    assert_none_lost_by_promotion(&mut simulation, session);
}

/// Guards against a known end of the log that no database can ever reach: a position of the old
/// primary that the new one lacks counts after the promotion, too.
#[test]
fn commits_that_a_promotion_rolled_back_are_not_waited_for() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.write(0, 3);
    // Commits that no replica has received, so that none of them was acknowledged.
    let start = simulation.databases["b"].received;
    simulation.database("a").received.position += 5;
    for gate in 0..3 {
        simulation.cut(gate, "a");
    }
    let limit = simulation.now + millis(8_000);
    while simulation.databases["b"].role == gate::DatabaseRole::Replica {
        simulation.run_with_reads(&[LATEST], millis(20));
        assert!(simulation.now < limit, "no promotion");
    }
    // The old primary learns of the new one within a second.
    simulation.run_with_reads(&[LATEST], millis(900));
    simulation.cuts.clear();
    let term = simulation.databases["b"].term;
    let old = simulation.database("a");
    (old.role, old.term, old.received) = (gate::DatabaseRole::Replica, term, start);
    simulation.publish_database("a");
    simulation.run_with_reads(&[LATEST], millis(200));
    simulation.promotions.clear();
    simulation.fail_database("b");
    simulation.run_with_reads(&[LATEST], millis(30_000));
    assert_eq!(simulation.promotions.len(), 1, "a and c hold every acknowledged commit");
}

/// Guards against a lower bound that is forgotten without a new primary: a database that was
/// demoted for a promotion which then failed reports the next term.
#[test]
fn a_demoted_database_does_not_end_what_is_known_of_the_log() {
    use gate::{DatabaseReport, DatabaseRole, LeadershipProof};
    use model::{Name, Term};
    let (a, b) = (Name::from("a"), Name::from("b"));
    let report = |role, term, position| DatabaseReport {
        role,
        term: Term(term),
        received: TermPosition { term: Term(1), position },
        fence: Term(0),
        lag: Micros::ZERO,
        connections: 1,
    };
    let mut proof = LeadershipProof::default();
    proof.observe_report(&a, Micros(10), &report(DatabaseRole::Primary, 1, 10));
    let commit = TermPosition { term: Term(1), position: 20 };
    proof.observe_commit(&a, Micros(20), Some(commit));
    proof.observe_report(&b, Micros(30), &report(DatabaseRole::Replica, 2, 15));
    assert!(proof.known_log_end() >= commit, "known: {}", proof.known_log_end());
}

/// Makes a database that no node knows a replica of the present primary.
fn join_as_replica(simulation: &mut Simulation, name: &str, primary: &str) {
    let (term, received) =
        (simulation.databases[primary].term, simulation.databases[primary].received);
    let replica = simulation.database(name);
    (replica.role, replica.term, replica.received) = (gate::DatabaseRole::Replica, term, received);
}

/// Guards against a second failover that counts the acknowledgements of the first one: the nodes
/// go on reporting commits of the new primary, and told the end of the log before them.
#[test]
fn a_second_failover_waits_for_acknowledgements_of_its_own() {
    let mut simulation = Simulation::start_with_reads(4);
    for gate in 0..4 {
        simulation.write(gate, 1);
    }
    simulation.database("b").leaving = true;
    simulation.publish_database("b");
    // `a` is cut off from the store, so that it is removed although it runs.
    simulation.unlist("a");
    // `b` leads the next term, and is leaving.
    simulation.database("c").received.position -= 1;
    simulation.database("c").replication_stopped = true;
    // The node that acts passes on no commits.
    let sessions: Vec<_> =
        [0, 2, 3].into_iter().map(|gate| simulation.open_steady(gate, LATEST)).collect();
    simulation.run_until(millis(12_000), "no promotion", |simulation| {
        !simulation.promoted_logs.is_empty()
    });
    assert_eq!(simulation.promoted_logs[0].1, "b".into());
    for replica in ["a", "c"] {
        join_as_replica(&mut simulation, replica, "b");
    }
    simulation.database("c").replication_stopped = false;
    let mut end = TermPosition::default();
    let limit = simulation.now + millis(12_000);
    while simulation.promoted_logs.len() < 2 && simulation.now < limit {
        simulation.run(millis(20));
        if simulation.databases["b"].role == gate::DatabaseRole::Primary {
            let ends = sessions.iter().map(|session| acknowledged_end(&simulation, *session));
            end = ends.max().unwrap_or_default();
        }
    }
    simulation.promoted_logs.remove(0);
    simulation.assert_none_lost(end);
}

/// Guards against a failover whose announcement is the same as that of a holder which has died: the
/// nodes acknowledge it, but regard it as carried out and go on reporting commits.
#[test]
fn a_new_holder_replaces_the_primary_that_the_former_holder_promoted() {
    let mut simulation = Simulation::start_with_reads(4);
    for gate in 0..4 {
        simulation.write(gate, 1);
    }
    simulation.fail_database("a");
    for gate in 0..4 {
        simulation.open_steady(gate, LATEST);
    }
    let holder = run_until_stage(&mut simulation, "opening");
    kill_node(&mut simulation, holder);
    simulation.run_until(millis(2_000), "no promotion", |simulation| {
        !simulation.promoted_logs.is_empty()
    });
    assert_eq!(simulation.promoted_logs.remove(0).1, "b".into());
    // `a` is back, but cut off from the store; only one node reaches the new primary.
    simulation.database("a").unreachable = false;
    join_as_replica(&mut simulation, "a", "b");
    simulation.run(millis(100));
    let writer = (0..4).rev().find(|gate| *gate != holder).expect("there are more nodes");
    let session = simulation.open_steady(writer, LATEST);
    for gate in (0..4).filter(|gate| *gate != writer) {
        simulation.cut(gate, "b");
    }
    let mut end = TermPosition::default();
    let limit = simulation.now + millis(12_000);
    while simulation.promoted_logs.is_empty() && simulation.now < limit {
        simulation.run(millis(20));
        if simulation.databases["b"].role == gate::DatabaseRole::Primary {
            end = acknowledged_end(&simulation, session);
        }
    }
    simulation.assert_none_lost(end);
}

/// Guards against a database that is not in the record of log holders yet, because it has joined a
/// moment before.
#[test]
fn a_database_that_has_just_joined_is_a_log_holder() {
    let mut simulation = Simulation::start_with_reads(4);
    let joined = simulation.databases["c"].clone();
    simulation.databases.insert("d".into(), joined);
    simulation.publish_database("d");
    simulation.database("b").replication_stopped = true;
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(0, 3);
    simulation.fail_database("a");
    simulation.fail_database("d");
    for gate in 0..4 {
        simulation.start_again(gate);
    }
    simulation.run_with_reads(&[LATEST], millis(12_000));
    simulation.assert_none_lost(end);
}

/// Starts a large deployment in which one node joins late. Returns it before that node joins.
fn start_large_without(joining: usize) -> Simulation {
    let mut simulation = Simulation::empty(20);
    simulation.suspend(joining);
    simulation.announce_store_state();
    simulation.run(millis(8_000));
    simulation.logs.clear();
    simulation
}

/// Returns a node that has become a standby since the last clearing of the log.
fn new_standby(simulation: &Simulation) -> Option<usize> {
    let mut roles = simulation.logs.iter().filter(|(_, _, record)| record.event == "role");
    let found = roles.find(|(_, _, record)| format!("{:?}", record.fields).contains("false"));
    found.map(|(_, gate, _)| *gate)
}

/// Guards against the loss of commits that a former owner acknowledged as a standby, which no
/// failover asks: it becomes one only when its transactions are over.
#[test]
fn commits_of_transactions_at_a_former_owner_are_not_lost() {
    let found = (0..20).find_map(|joining| {
        let mut simulation = start_large_without(joining);
        simulation.resume_with_deliveries(joining);
        simulation.run(millis(2_000));
        new_standby(&simulation).map(|standby| (joining, standby))
    });
    let (joining, former) = found.expect("a node that joins takes a cluster over");
    let mut simulation = start_large_without(joining);
    let session = simulation.open(former, LATEST);
    simulation.send_request(former, session, "t1", "BEGIN");
    simulation.run(millis(20));
    simulation.send_request(former, session, "t2", "WRITE 1 x");
    simulation.run(millis(20));
    simulation.resume_with_deliveries(joining);
    simulation.run(millis(2_000));
    assert_eq!(new_standby(&simulation), None, "the owner has an open transaction");
    assert!(simulation.is_registered(former));
    simulation.write(joining, 2);
    simulation.database("c").replication_stopped = true;
    simulation.send_request(former, session, "t3", "COMMIT");
    simulation.run(millis(60));
    assert_eq!(simulation.outcome(session), "served");
    let end = simulation.databases["a"].received;
    assert!(simulation.databases["c"].received < end);
    simulation.run(millis(100));
    assert_eq!(new_standby(&simulation), Some(former), "its transaction is over");
    simulation.fail_database("b");
    simulation.database("a").unreachable = true;
    simulation.run(millis(200));
    let writes = simulation.open_steady(joining, LATEST);
    simulation.run(millis(15_000));
    simulation.closed.insert(writes);
    simulation.assert_none_lost(end);
}

/// Guards against a failover that waits for databases although reads have shown, after a node had
/// shut down, that the primary held nothing beyond the remaining replica's log.
#[test]
fn proved_positions_of_the_primary_count_as_knowledge_of_the_log() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.event(3, GateEvent::DrainRequested);
    let limit = simulation.now + millis(8_000);
    while !simulation.stopped.contains(&3) {
        simulation.run(millis(20));
        assert!(simulation.now < limit, "the node does not shut down");
    }
    kill_node(&mut simulation, 3);
    simulation.run_with_reads(&[LATEST], millis(1_000));
    simulation.fail_database("b");
    simulation.run_with_reads(&[LATEST], millis(5_000));
    simulation.database("a").unreachable = true;
    simulation.run_with_reads(&[LATEST], millis(10_000));
    assert_eq!(simulation.promotions.len(), 1, "c holds every commit");
}

/// Guards against a database that started again without its log, if that can happen: it counts as
/// a compared holder of the commits that it has lost.
#[test]
fn a_replica_that_lost_its_log_is_not_a_compared_holder() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(0, 5);
    simulation.database("a").unreachable = true;
    kill_node(&mut simulation, 0);
    simulation.database("b").received = TermPosition::default();
    simulation.restart_replica("b");
    simulation.run_with_reads(&[LATEST], millis(6_000));
    simulation.assert_none_lost(end);
}

/// Guards against commits that the old primary acknowledges after the comparison: a replica starts
/// again and has lost its fence, and a node that is cut off from the store, and so has not seen the
/// announcement, reaches the old primary.
#[test]
fn a_replica_that_restarts_before_the_promotion_takes_effect_lets_no_commit_be_lost() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.write(0, 3);
    simulation.expire_registration(3);
    let session = simulation.open_steady(3, LATEST);
    for gate in 0..3 {
        simulation.cut(gate, "a");
        simulation.open_steady(gate, LATEST);
    }
    run_until_stage(&mut simulation, "opening");
    let chosen = simulation.promotions[0].1.clone();
    let other = if chosen == "b".into() { "c" } else { "b" };
    simulation.restart_replica(other);
    assert_none_lost_by_promotion(&mut simulation, session);
}
