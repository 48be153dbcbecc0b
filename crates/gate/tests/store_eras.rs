//! A store that comes back from an older copy, in virtual time. docs/design/store-era.md lists the
//! cases.

mod support;

use gate::{
    Document, GateEvent, LEASE_ACQUIRE_WAIT, NodeRecord, NodeRole, PromotionLease,
    PromotionLeaseRecord, assigned_revision, era_of_revision, revision_in_era,
};
use model::Micros;
use support::{BOUNDED, LATEST, Simulation, names_of, route_table};

/// What each node reads under load.
const READS: [&str; 2] = [LATEST, BOUNDED];

/// Time within which a small deployment serves and fails over as usual after a new era has begun.
const RESUME_TIME: Micros = Micros::from_secs(12);

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

fn in_era(era: u64, revision: u64) -> u64 {
    revision_in_era(era, revision).expect("it is in range")
}

fn idle_record(era: u64) -> Vec<u8> {
    let record = PromotionLeaseRecord { idle: true, era, ..PromotionLeaseRecord::default() };
    serde_json::to_vec(&record).expect("it is serialized")
}

/// Returns the stored record of the promotion lease.
fn lease_record(simulation: &Simulation) -> PromotionLeaseRecord {
    let stored = simulation.stored(&Document::PromotionLease).expect("there is a record");
    serde_json::from_slice(&stored.bytes).expect("it is readable")
}

/// Asserts that no token was used by two nodes, and that no call used a lower one than before.
fn assert_tokens_grow(simulation: &Simulation) {
    let tokens: Vec<u64> = simulation.promotions.iter().map(|(_, _, token)| *token).collect();
    assert!(tokens.is_sorted(), "tokens {tokens:?}");
}

/// Runs until a database is promoted in place of `old`, and asserts that this takes no longer than
/// the deployment is given after a new era.
fn wait_for_promotion(simulation: &mut Simulation, promotions: usize) {
    let began = simulation.now;
    while simulation.promotions.len() < promotions {
        simulation.run_with_reads(&READS, millis(20));
        assert!(simulation.now < began + RESUME_TIME, "no promotion");
    }
}

/// Guards against two holders with the same token: the revision on which a token is based is
/// assigned again in the new era.
#[test]
fn a_token_is_not_used_again_after_its_revision_was_assigned_again() {
    let mut former = PromotionLease::new("n1".into(), 1);
    former.observe(Micros::ZERO, 100, &idle_record(0));
    let write = former.claim(Micros::ZERO, Vec::new()).expect("the lease is idle");
    assert!(former.complete_write(millis(1), write.attempt, Some(101)));
    let token = former.fencing_token(millis(1)).expect("it is held");

    let mut next = PromotionLease::new("n2".into(), 2);
    next.begin_era(1);
    next.observe(millis(2), in_era(1, 100), &idle_record(0));
    let at = millis(2) + LEASE_ACQUIRE_WAIT;
    let write = next.claim(at, Vec::new()).expect("the wait is over");
    assert!(next.complete_write(at, write.attempt, Some(in_era(1, 101))));
    assert!(next.fencing_token(at).expect("it is held") > token);
}

/// Guards against two holders at a time: the copy says that the lease is idle, while the holder of
/// the former era, whose claim it lacks, acts for as long as that claim permits.
#[test]
fn a_lease_that_is_idle_in_the_copy_is_not_taken_at_once() {
    let mut lease = PromotionLease::new("n2".into(), 2);
    lease.observe(Micros::ZERO, 100, &idle_record(0));
    lease.begin_era(1);
    assert!(lease.claim(millis(1), Vec::new()).is_none(), "the record has to be read again");
    lease.observe(millis(2), in_era(1, 90), &idle_record(0));
    assert!(lease.claim(millis(1_500), Vec::new()).is_none(), "a holder may be acting");
    assert!(lease.claim(millis(2) + LEASE_ACQUIRE_WAIT, Vec::new()).is_some());

    // A record of this era was written by a node that has waited.
    let mut started = PromotionLease::new("n3".into(), 3);
    started.begin_era(1);
    started.observe(Micros::ZERO, in_era(1, 95), &idle_record(1));
    assert!(started.claim(millis(1), Vec::new()).is_some());
}

/// Guards against a holder that acts by the answer to a write of the former era.
#[test]
fn the_answer_to_a_write_of_a_former_era_does_not_give_the_lease() {
    let mut lease = PromotionLease::new("n1".into(), 1);
    lease.observe(Micros::ZERO, 100, &idle_record(0));
    let write = lease.claim(Micros::ZERO, Vec::new()).expect("the lease is idle");
    lease.begin_era(1);
    lease.observe(millis(1), in_era(1, 100), &idle_record(0));
    assert!(!lease.complete_write(millis(2), write.attempt, Some(101)));
    assert_eq!(lease.fencing_token(millis(2)), None);
}

/// Guards against a holder that goes on because the copy holds its claim. The store may have forgotten
/// registrations since, which its failovers would not wait for.
#[test]
fn a_holder_whose_claim_is_in_the_copy_gives_the_lease_up() {
    let mut lease = PromotionLease::new("n1".into(), 1);
    lease.observe(Micros::ZERO, 100, &idle_record(0));
    let write = lease.claim(Micros::ZERO, Vec::new()).expect("the lease is idle");
    assert!(lease.complete_write(millis(1), write.attempt, Some(101)));
    lease.begin_era(1);
    lease.observe(millis(2), in_era(1, 101), &write.bytes);
    assert_eq!(lease.fencing_token(millis(2)), None);
    assert!(lease.claim(millis(3), Vec::new()).is_none());
}

/// A store without eras gives the tokens, and the record, of former versions.
#[test]
fn a_store_without_eras_gives_the_same_tokens_and_records() {
    let mut lease = PromotionLease::new("n1".into(), 1);
    lease.observe(Micros::ZERO, 100, &idle_record(0));
    let write = lease.claim(Micros::ZERO, Vec::new()).expect("the lease is idle");
    let text = String::from_utf8(write.bytes).expect("it is text");
    assert!(!text.contains("era"), "{text}");
    assert!(lease.complete_write(Micros::ZERO, write.attempt, Some(101)));
    assert_eq!(lease.fencing_token(Micros::ZERO), Some(101));
}

/// Guards against tokens that go back, and against failovers that no longer begin: the store forgets
/// the promotions since the copy, and another primary fails.
#[test]
fn failovers_go_on_with_higher_tokens_in_a_new_era() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(3_000));
    simulation.copy_store();
    simulation.database("a").unreachable = true;
    wait_for_promotion(&mut simulation, 1);
    simulation.run_with_reads(&READS, millis(1_000));
    simulation.database("a").unreachable = false;
    let first = simulation.promotions[0].1.to_string();
    let database = simulation.databases[first.as_str()].clone();
    let former = simulation.database("a");
    (former.role, former.term) = (gate::DatabaseRole::Replica, database.term);
    former.received = database.received;
    simulation.publish_database("a");
    simulation.run_with_reads(&READS, millis(3_000));
    simulation.begin_era();
    simulation.run_with_reads(&READS, millis(500));
    simulation.database(&first).unreachable = true;
    wait_for_promotion(&mut simulation, 2);
    assert_tokens_grow(&simulation);
    assert_eq!(era_of_revision(simulation.promotions[1].2), 1);
}

/// Guards against a holder that goes on by an announcement and acknowledgements that the store has
/// forgotten. It began its failover just before the new era.
#[test]
fn a_failover_does_not_outlive_the_era_in_which_it_was_announced() {
    for delay in (0..1_400).step_by(100) {
        let mut simulation = Simulation::start(4);
        simulation.run_with_reads(&READS, millis(3_000));
        simulation.copy_store();
        simulation.database("a").unreachable = true;
        while simulation.logged("takeover_stage") == 0 {
            simulation.run_with_reads(&READS, millis(20));
        }
        simulation.run_with_reads(&READS, millis(delay));
        let before = simulation.promotions.len();
        simulation.begin_era();
        simulation.run_with_reads(&READS, millis(100));
        assert_eq!(simulation.promotions.len(), before, "{delay} ms after the announcement");
        wait_for_promotion(&mut simulation, 1);
        assert_tokens_grow(&simulation);
        simulation.run_with_reads(&READS, millis(3_000));
        let session = simulation.open(1, LATEST);
        simulation.send_request(1, session, "served", "WRITE 1 x");
        simulation.run(millis(50));
        assert_eq!(simulation.outcome(session), "served", "{delay} ms after the announcement");
    }
}

/// Starts a failover just before a new era whose copy has neither its announcement nor any
/// registration; `notified` is false if its node does not notice the era. Returns its node.
fn begin_era_during_failover(notified: bool) -> (Simulation, usize) {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(3_000));
    simulation.copy_store();
    simulation.remove_from_copy(|document| matches!(document, Document::Node(..)));
    simulation.logs.clear();
    // The next list is read after the new era has begun.
    simulation.store_read_time = millis(30);
    simulation.database("a").unreachable = true;
    while simulation.logged("announcement_seen") < 4 {
        simulation.run_with_reads(&READS, millis(20));
    }
    let mut stages = simulation.logs.iter();
    let started = stages.find(|(_, _, record)| record.event == "takeover_stage");
    let holder = started.expect("there is a failover").1;
    if !notified {
        simulation.documents_cut.insert(holder);
    }
    simulation.begin_era();
    (simulation, holder)
}

/// Guards against a failover that waits for no acknowledgement: the list of the restored store lacks
/// the registrations of nodes that have read leases of the former era.
#[test]
fn a_list_of_another_era_does_not_end_the_wait_for_acknowledgements() {
    let (mut simulation, _) = begin_era_during_failover(false);
    simulation.run_with_reads(&READS, millis(2_000));
    assert_eq!(simulation.promotions.len(), 0);
}

/// Guards against commits and reads of a primary that is being replaced: the copy lacks the
/// announcement, and the promotion may still take effect.
#[test]
fn an_announcement_that_the_copy_lacks_stays_in_force_until_the_record_is_written_again() {
    let (mut simulation, holder) = begin_era_during_failover(true);
    simulation.run(millis(100));
    let announced = |simulation: &Simulation, gate: usize| {
        simulation.gates[gate].dump()["clusters"][0]["change_announced"].as_bool()
    };
    for gate in (0..4).filter(|gate| *gate != holder) {
        assert_eq!(announced(&simulation, gate), Some(true), "node {gate}");
    }
    wait_for_promotion(&mut simulation, 1);
    assert_eq!(simulation.log_holders().map(|record| record.era), Some(1));
    simulation.run_with_reads(&READS, millis(6_000));
    for gate in 0..4 {
        assert_eq!(announced(&simulation, gate), Some(false), "node {gate}");
    }
}

/// Guards against the loss of commits of a node that was cut off and has not seen the announcement, which
/// the copy lacks: it registers in the new era while the promotion is still to take effect, and a replica
/// that has started again since the logs were compared receives commits of the old primary.
#[test]
fn a_registration_shows_no_end_of_failovers_that_the_copy_lacks() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(3_000));
    simulation.store_cut.insert(0);
    simulation.remove_registration(0);
    simulation.run_with_reads(&READS, millis(1_000));
    simulation.copy_store();
    simulation.promotion_delay = millis(1_000);
    for gate in 1..4 {
        simulation.cut(gate, "a");
    }
    let failed = simulation.now;
    while simulation.promotions.is_empty() {
        simulation.run_with_reads(&READS, millis(20));
        assert!(simulation.now < failed + RESUME_TIME, "no promotion");
    }
    let other = if simulation.promoted_databases() == ["b"] { "c" } else { "b" };
    simulation.restart_replica(other);
    simulation.lose_connections(other, millis(1));
    simulation.begin_era();
    simulation.restore_store(0);
    let mut sessions = Vec::new();
    while simulation.promoted_logs.is_empty() {
        let session = simulation.open(0, LATEST);
        let id = format!("w{}", simulation.now.0);
        simulation.send_request(0, session, &id, "WRITE 1 x");
        sessions.push((session, id));
        simulation.run(millis(20));
    }
    let start = simulation.promoted_logs[0].2;
    for (session, id) in sessions {
        let ran = &simulation.databases["a"].ran;
        let lost = ran.iter().any(|(ran, end)| **ran == *id && *end > start);
        assert!(!lost || simulation.outcome(session) != "served", "commit {id} is lost");
    }
    simulation.cuts.clear();
    simulation.run_with_reads(&READS, RESUME_TIME);
    for gate in 0..4 {
        let session = simulation.open(gate, LATEST);
        simulation.send_request(gate, session, &format!("served-{gate}"), "WRITE 1 x");
        simulation.run(millis(50));
        assert_eq!(simulation.outcome(session), "served", "node {gate}");
    }
}

/// Guards against acknowledgements that count for another announcement: the one of the new era has a
/// lower assigned revision than the one that was acknowledged in the former era.
#[test]
fn an_acknowledgement_of_a_former_era_does_not_count() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(3_000));
    simulation.copy_store();
    for _ in 0..40 {
        simulation.register_again(3);
    }
    simulation.begin_era();
    simulation.run_with_reads(&READS, RESUME_TIME);
    let record = lease_record(&simulation);
    assert_eq!(record.era, 1, "the record was written again");
    // A registration of a node that has not noticed the era, with an acknowledgement from before.
    simulation.stopped.insert(3);
    let acknowledged = assigned_revision(simulation.revision) + 1_000;
    let stale = NodeRecord { acknowledged, ..NodeRecord::default() };
    simulation.store_registration(3, &stale);
    simulation.run(millis(100));
    simulation.database("a").unreachable = true;
    let failed = simulation.now;
    wait_for_promotion(&mut simulation, 1);
    let ended =
        simulation.logs.iter().any(|(at, _, record)| *at > failed && record.event == "lease_ended");
    assert!(ended, "the failover waits for the node, or ends its lease");
}

/// Guards against nodes that rely on a lease that the store does not know: no failover would wait
/// for them.
#[test]
fn read_leases_and_registrations_are_acquired_again_in_a_new_era() {
    let mut simulation = Simulation::empty(4);
    simulation.copy_store();
    simulation.announce_store_state();
    simulation.run(millis(3_000));
    assert!((0..4).all(|gate| simulation.is_registered(gate)));
    simulation.begin_era();
    assert!(!(0..4).any(|gate| simulation.is_registered(gate)), "the copy has no registrations");
    simulation.run(millis(5));
    for gate in 0..4 {
        let held = simulation.gates[gate].dump()["permit_held"].as_bool();
        assert_eq!(held, Some(false), "node {gate}");
    }
    simulation.run_with_reads(&READS, millis(3_000));
    for gate in 0..4 {
        assert!(simulation.is_registered(gate), "node {gate}");
        assert_eq!(simulation.gates[gate].dump()["permit_held"].as_bool(), Some(true));
        assert_eq!(simulation.gates[gate].dump()["store"]["era"], 1);
    }
}

/// Guards against a node that observes the new era late and goes on with what it knows: it is cut
/// off from the store meanwhile, and then gets late changes of the former era.
#[test]
fn a_node_that_learns_of_the_era_late_drops_what_it_knew() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(2_000));
    simulation.copy_store();
    simulation.run_with_reads(&READS, millis(1_000));
    simulation.store_cut.insert(0);
    simulation.begin_era();
    simulation.run_with_reads(&READS, millis(5_000));
    simulation.database("a").unreachable = true;
    wait_for_promotion(&mut simulation, 1);
    simulation.restore_store(0);
    simulation.run_with_reads(&READS, millis(1_000));
    assert_eq!(simulation.gates[0].dump()["store"]["era"], 1);
    let number = simulation.gates[0].dump()["duty"]["number"].clone();
    // Changes of the former era that were on their way.
    let revision = 1_000_000;
    let document = Document::PromotionLease;
    simulation.event(0, GateEvent::DocumentRemoved { document, revision });
    let document = Document::Node(NodeRole::Owner, "n1".into());
    simulation.event(0, GateEvent::DocumentRemoved { document, revision });
    assert_eq!(simulation.gates[0].dump()["duty"]["number"], number);
    assert_eq!(simulation.gates[0].dump()["nodes"], 4);
    simulation.run_with_reads(&READS, millis(3_000));
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "served", "WRITE 1 x");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
}

/// A running node keeps its configuration when the store has an older one. A node that starts at that
/// moment knows no other, and serves by it until the operator has written the newer one again.
#[test]
fn an_older_configuration_does_not_replace_the_one_in_force() {
    let mut simulation = Simulation::start(2);
    simulation.copy_store();
    let mut newer = route_table(16);
    newer.version = 7;
    newer.routes.remove(BOUNDED);
    simulation.event(0, GateEvent::RoutesChanged(Box::new(newer.clone())));
    simulation.begin_era();
    simulation.event(0, GateEvent::RoutesChanged(Box::new(route_table(16))));
    simulation.run(millis(3_000));
    assert_eq!(simulation.gates[0].dump()["configuration"], 7);
    simulation.start_again(1);
    assert_eq!(simulation.gates[1].dump()["configuration"], 1);
    simulation.event(1, GateEvent::RoutesChanged(Box::new(newer)));
    assert_eq!(simulation.gates[1].dump()["configuration"], 7);
}

/// Lets node 0 go on while it is cut off from the store, whose copy does not show that it is an owner, and
/// lets it commit what only `a` and `b` receive, which the other nodes no longer reach.
fn commit_at_unknown_owner(simulation: &mut Simulation) {
    for gate in 1..4 {
        simulation.write(gate, 1);
        simulation.cut(gate, "b");
    }
    simulation.database("c").replication_stopped = true;
    simulation.write(0, 3);
    for gate in 1..4 {
        simulation.cut(gate, "a");
    }
    simulation.unlist("b");
    simulation.run_with_reads(&READS, millis(12_000));
    assert_eq!(simulation.promoted_databases(), [] as [&str; 0], "commits of node 0 are lost");
}

/// Guards against the loss of commits of an owner that is cut off from the store. The copy has its
/// registration as a standby, which it was before.
#[test]
fn a_registration_of_a_former_era_does_not_account_for_an_owner() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(3_000));
    simulation.copy_store();
    simulation.make_standby_in_copy(0);
    simulation.store_cut.insert(0);
    simulation.begin_era();
    simulation.run_with_reads(&READS, millis(8_000));
    commit_at_unknown_owner(&mut simulation);
}

/// Guards against the same if the copy has no registration and most other nodes have started again since:
/// only the one that knew of the owner can tell.
#[test]
fn one_node_that_knows_of_a_missing_owner_keeps_the_others_from_relying_on_what_they_know() {
    for knowing in 1..4 {
        let mut simulation = Simulation::start(4);
        simulation.run_with_reads(&READS, millis(3_000));
        simulation.copy_store();
        simulation.remove_from_copy(|document| matches!(document, Document::Node(..)));
        simulation.store_cut.insert(0);
        simulation.begin_era();
        simulation.run_with_reads(&READS, millis(500));
        for gate in (1..4).filter(|gate| *gate != knowing) {
            simulation.start_again(gate);
        }
        simulation.run_with_reads(&READS, millis(8_000));
        commit_at_unknown_owner(&mut simulation);
    }
}

/// Starts a deployment in which only `a` and `b` hold the last commits. The copy of its store has a
/// record of log holders from before `b` was one. Returns the end of the log.
fn start_with_older_holders() -> (Simulation, gate::TermPosition) {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(3_000));
    assert_eq!(
        simulation.log_holders().map(|record| record.holders),
        Some(names_of(&["a", "b", "c"]))
    );
    simulation.copy_store();
    simulation.replace_log_holders_in_copy(&["a", "c"]);
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(3, 10);
    (simulation, end)
}

/// Guards against the loss of commits by an old record that names too few databases: `b` holds them and
/// is down, and no running node knew it before the new era.
#[test]
fn an_old_record_of_log_holders_does_not_show_that_a_log_is_complete() {
    let (mut simulation, end) = start_with_older_holders();
    simulation.fail_database("b");
    simulation.fail_database("a");
    simulation.begin_era();
    for gate in 0..4 {
        simulation.start_again(gate);
    }
    simulation.run_with_reads(&READS, millis(15_000));
    assert_eq!(simulation.promoted_databases(), [] as [&str; 0], "commits up to {end} are lost");
    simulation.restore_database("a");
    simulation.restore_database("b");
    simulation.database("c").replication_stopped = false;
    simulation.run_with_reads(&READS, RESUME_TIME);
    let record = simulation.log_holders().expect("the record is written again");
    assert_eq!((record.era, record.holders), (1, names_of(&["a", "b", "c"])));
}

/// Guards against a record that shows a log to be complete although nobody was left who knew all
/// databases: every owner has started in this era, and the copy's record lacks `b`, which is cut off from
/// the store, receives commits and is the only replica with the last ones. Their owner is lost, too.
#[test]
fn a_record_by_owners_that_started_in_this_era_does_not_show_that_a_log_is_complete() {
    let (mut simulation, _) = start_with_older_holders();
    simulation.database("c").replication_stopped = false;
    simulation.write(3, 1);
    simulation.unlist("b");
    simulation.begin_era();
    for gate in 0..4 {
        simulation.start_again(gate);
    }
    simulation.run_with_reads(&READS, RESUME_TIME);
    assert_eq!(simulation.log_holders().map(|record| record.era), Some(1), "it is written again");
    simulation.database("c").replication_stopped = true;
    let end = simulation.write(3, 10);
    simulation.stopped.insert(3);
    simulation.renewing.remove(&3);
    simulation.remove_registration(3);
    simulation.database("a").unreachable = true;
    simulation.run_with_reads(&READS, millis(15_000));
    assert_eq!(simulation.promoted_databases(), [] as [&str; 0], "commits up to {end} are lost");
    simulation.restore_database("a");
    simulation.run_with_reads(&READS, RESUME_TIME);
    simulation.write(0, 1);
}

/// A failover needs no complete record if all owners are there, which tell the end of the log.
#[test]
fn owners_that_started_in_this_era_replace_a_lost_primary() {
    let (mut simulation, _) = start_with_older_holders();
    simulation.database("c").replication_stopped = false;
    simulation.write(3, 1);
    simulation.begin_era();
    for gate in 0..4 {
        simulation.start_again(gate);
    }
    simulation.run_with_reads(&READS, RESUME_TIME);
    simulation.database("a").unreachable = true;
    wait_for_promotion(&mut simulation, 1);
}

/// Guards against a record that lacks a database which the nodes had seen listed, but which the first
/// owner had not recorded yet when the era began. The record is written late, because an owner is lost and
/// the replicas refuse reports.
#[test]
fn the_record_of_log_holders_is_written_again_with_databases_that_were_not_recorded() {
    let mut unrecorded = 0;
    for unaware in 0..4 {
        let mut simulation = Simulation::start(4);
        simulation.run_with_reads(&READS, millis(3_000));
        simulation.copy_store();
        simulation.list_cut.insert(unaware);
        let added = simulation.databases["c"].clone();
        simulation.databases.insert("d".into(), added);
        simulation.publish_database("d");
        simulation.run_with_reads(&READS, millis(100));
        unrecorded += simulation.log_holders().map_or(0, |record| 4 - record.holders.len());
        simulation.unlisted.insert("d".into());
        let lost = (unaware + 1) % 4;
        simulation.stopped.insert(lost);
        simulation.begin_era();
        for refuses in [true, false] {
            for name in ["b", "c"] {
                simulation.database(name).refuses_reports = refuses;
            }
            for _ in 0..12 {
                simulation.run_with_reads(&READS, millis(500));
                let session = simulation.open(unaware, LATEST);
                let id = format!("w{}", simulation.now.0);
                simulation.send_request(unaware, session, &id, "WRITE 1 x");
            }
        }
        let record = simulation.log_holders().expect("the record is written again");
        let expected = names_of(&["a", "b", "c", "d"]);
        assert_eq!((record.era, record.holders), (1, expected), "node {unaware}");
    }
    assert_eq!(unrecorded, 1, "one of the nodes is the first owner");
}

/// Guards against a record that is written again with the databases that are listed, although nodes
/// know of another one, which may hold the only copy of later commits.
#[test]
fn the_record_of_log_holders_is_written_again_with_all_that_nodes_know() {
    let (mut simulation, _) = start_with_older_holders();
    simulation.database("c").replication_stopped = false;
    simulation.write(3, 1);
    simulation.unlist("b");
    simulation.run_with_reads(&READS, millis(4_500));
    simulation.begin_era();
    while simulation.log_holders().is_none_or(|record| record.era == 0) {
        simulation.run_with_reads(&READS, millis(20));
    }
    let record = simulation.log_holders().expect("the record is written again");
    assert_eq!((record.era, record.holders), (1, names_of(&["a", "b", "c"])));
}

/// Guards against a node that knows less and is the first to write: three nodes have started again,
/// and the other one, which knew the record, reaches the store two seconds after them.
#[test]
fn a_node_that_knows_less_does_not_write_a_record_with_too_few_databases() {
    for knowing in 0..4 {
        let (mut simulation, _) = start_with_older_holders();
        simulation.database("c").replication_stopped = false;
        simulation.write(3, 1);
        simulation.unlist("b");
        simulation.run_with_reads(&READS, millis(4_500));
        simulation.store_cut.insert(knowing);
        simulation.begin_era();
        for gate in (0..4).filter(|gate| *gate != knowing) {
            simulation.start_again(gate);
        }
        simulation.run_with_reads(&READS, millis(2_000));
        simulation.restore_store(knowing);
        let resumed = simulation.now + RESUME_TIME;
        while simulation.now < resumed {
            simulation.run_with_reads(&READS, millis(20));
            if let Some(record) = simulation.log_holders().filter(|record| record.era == 1) {
                assert_eq!(record.holders, names_of(&["a", "b", "c"]), "node {knowing} knew it");
            }
        }
        assert_eq!(simulation.log_holders().map(|record| record.era), Some(1));
    }
}
