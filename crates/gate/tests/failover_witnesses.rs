//! What shows a failover that a log is too short: databases that are compared, and the known end of
//! the log.

mod support;

use gate::{DatabaseReport, DatabaseRole, LeadershipProof, TermPosition};
use model::{Micros, Name, Term};
use support::{BOUNDED, LATEST, Simulation, millis};

/// What each node reads under load.
const READS: [&str; 2] = [LATEST, BOUNDED];

fn position(term: u64, position: u64) -> TermPosition {
    TermPosition { term: Term(term), position }
}

fn report(role: DatabaseRole, term: u64, received: TermPosition) -> DatabaseReport {
    let (term, fence, lag) = (Term(term), Term(0), Micros::ZERO);
    DatabaseReport { role, term, received, fence, lag, connections: 1 }
}

/// Writes once through each of the nodes. All writes are acknowledged.
fn write_through(simulation: &mut Simulation, gates: std::ops::Range<usize>) {
    for gate in gates {
        let session = simulation.open(gate, LATEST);
        let id = format!("w{gate}-{}", simulation.now.0);
        simulation.send_request(gate, session, &id, "WRITE 1 x");
        simulation.run(millis(50));
        assert_eq!(simulation.outcome(session), "served");
    }
}

/// Guards against the promotion of a replica that lacks acknowledged commits after a replica has
/// reported the term of a new primary that crashed before its own first report.
#[test]
fn a_new_term_keeps_the_known_end_of_the_log() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&READS, millis(1_000));
    simulation.database("c").replication_stopped = true;
    write_through(&mut simulation, 0..4);
    let end = simulation.databases["b"].received;
    simulation.database("a").unreachable = true;
    while simulation.promotions.is_empty() {
        simulation.run_with_reads(&READS, millis(20));
        assert!(simulation.now < Micros::from_secs(20), "no promotion");
    }
    // The new primary leads and is not seen by any node before it crashes.
    for gate in 0..4 {
        simulation.cut(gate, "b");
    }
    simulation.run_with_reads(&READS, millis(500));
    assert_eq!(simulation.databases["b"].role, DatabaseRole::Primary);
    simulation.database("b").unreachable = true;
    simulation.unlist("a");
    simulation.unlist("b");
    simulation.run_with_reads(&READS, millis(8_000));
    assert_eq!(simulation.promoted_databases(), ["b"]);
    assert!(simulation.logged("log_too_short") > 0, "a failover has compared the log of c");
    // It comes back with its log.
    simulation.cuts.clear();
    simulation.database("b").unreachable = false;
    simulation.list("b");
    simulation.run_with_reads(&READS, millis(3_000));
    simulation.database("c").replication_stopped = false;
    write_through(&mut simulation, 0..1);
    assert!(simulation.databases["b"].received > end);
}

/// Guards against a failover that waits for commits that the promotion of the present primary rolled
/// back, when a replica has reported the new term before the primary.
#[test]
fn commits_that_a_promotion_rolled_back_are_not_required() {
    let (old, ahead, new) = (Name::from("a"), Name::from("b"), Name::from("c"));
    let mut proof = LeadershipProof::default();
    proof.observe_report(&old, Micros(10), &report(DatabaseRole::Primary, 1, position(1, 5)));
    proof.observe_report(&ahead, Micros(20), &report(DatabaseRole::Replica, 1, position(1, 9)));
    proof.observe_report(&old, Micros(30), &report(DatabaseRole::Replica, 2, position(1, 7)));
    assert_eq!(proof.known_log_end(), position(1, 9));
    proof.observe_report(&new, Micros(40), &report(DatabaseRole::Primary, 2, position(1, 7)));
    assert_eq!(proof.known_log_end(), position(1, 7));
    // A late answer from before the rollback.
    proof.observe_replica_position(&ahead, position(1, 9));
    assert_eq!(proof.known_log_end(), position(1, 7));
    proof.observe_commit(&new, Micros(50), Some(position(2, 8)));
    assert_eq!(proof.known_log_end(), position(2, 8));
}

/// Guards against a failover that waits for ever for a log that no replica had: a former primary
/// holds commits that it sent to nobody, and answers reads or reports as a replica.
#[test]
fn commits_that_only_a_former_primary_holds_are_not_required() {
    let (old, replica) = (Name::from("a"), Name::from("b"));
    let mut proof = LeadershipProof::default();
    proof.observe_report(&old, Micros(10), &report(DatabaseRole::Primary, 1, position(1, 5)));
    proof.observe_report(&replica, Micros(20), &report(DatabaseRole::Replica, 1, position(1, 5)));
    proof.forget_leader(&old);
    proof.observe_replica_position(&old, position(1, 9));
    assert_eq!(proof.required_log_end(), position(1, 5));
    for at in [30, 40] {
        let answer = report(DatabaseRole::Replica, 1, position(1, 9));
        proof.observe_report(&old, Micros(at), &answer);
    }
    assert_eq!(proof.required_log_end(), position(1, 5));
    assert_eq!(proof.known_log_end(), position(1, 9), "they may have been acknowledged");
    // What it receives from its successor counts.
    let answer = report(DatabaseRole::Replica, 2, position(2, 7));
    proof.observe_report(&old, Micros(50), &answer);
    assert_eq!(proof.required_log_end(), position(2, 7));
}

/// Guards against a failover that waits for ever for commits that stalled at a primary before it
/// was first seen to lead. The incident of issue 35 had 3.160 and 3.169 at different nodes, for a
/// term that began with 2.158.
#[test]
fn commits_that_only_the_primary_reports_are_not_required() {
    let (old, primary, replica) = (Name::from("a"), Name::from("b"), Name::from("c"));
    let mut proof = LeadershipProof::default();
    proof.observe_report(&old, Micros(10), &report(DatabaseRole::Primary, 2, position(1, 53)));
    let answer = report(DatabaseRole::Replica, 2, position(2, 158));
    proof.observe_report(&primary, Micros(20), &answer);
    proof.observe_report(&primary, Micros(30), &report(DatabaseRole::Primary, 3, position(3, 169)));
    assert_eq!(proof.required_log_end(), position(2, 158));
    assert_eq!(proof.known_log_end(), position(3, 169));
    // A replica that has received them, or an acknowledgement, shows that they count.
    proof.observe_report(&replica, Micros(40), &report(DatabaseRole::Replica, 3, position(3, 160)));
    assert_eq!(proof.required_log_end(), position(3, 160));
    proof.observe_commit(&primary, Micros(50), Some(position(3, 170)));
    assert_eq!(proof.required_log_end(), position(3, 170));
}

/// Guards against waiting for commits that were rolled back, if the primary is first seen after it
/// has committed.
#[test]
fn a_term_that_began_with_a_shorter_log_requires_no_more_of_the_former_term() {
    let (old, ahead, new) = (Name::from("a"), Name::from("b"), Name::from("c"));
    let mut proof = LeadershipProof::default();
    proof.observe_report(&old, Micros(10), &report(DatabaseRole::Primary, 1, position(1, 50)));
    proof.observe_report(&ahead, Micros(20), &report(DatabaseRole::Replica, 1, position(1, 60)));
    proof.observe_report(&new, Micros(30), &report(DatabaseRole::Primary, 2, position(2, 55)));
    assert_eq!(proof.required_log_end(), position(1, 54));
}

/// Guards against the loss of commits that were acknowledged just after a replica had reported a new
/// term, or by another node to which this one forwards.
#[test]
fn every_acknowledged_commit_is_required() {
    let (old, replica, peer) = (Name::from("a"), Name::from("b"), Name::from("n1"));
    let mut proof = LeadershipProof::default();
    proof.observe_report(&old, Micros(10), &report(DatabaseRole::Primary, 1, position(1, 5)));
    proof.observe_report(&replica, Micros(20), &report(DatabaseRole::Replica, 1, position(1, 5)));
    proof.observe_commit(&peer, Micros(30), Some(position(1, 6)));
    assert_eq!(proof.required_log_end(), position(1, 6));
    proof.observe_report(&replica, Micros(40), &report(DatabaseRole::Replica, 2, position(1, 6)));
    proof.observe_commit(&old, Micros(35), Some(position(1, 7)));
    assert_eq!(proof.required_log_end(), position(1, 7));
    assert_eq!(proof.confirmed_at(), Some(Micros(40)), "it proves nothing about the new term");
}

/// Returns a simulation in which only node `n0` is left, and has missed that `b` replaced `a` as
/// primary. `b` has crashed, and `a` holds the only copy of its commits. `c` receives nothing and has
/// not learnt of the new term. The node reaches only `c`.
fn after_missed_promotion() -> Simulation {
    let mut simulation = Simulation::start(2);
    simulation.run_with_reads(&READS, millis(1_000));
    write_through(&mut simulation, 0..2);
    simulation.cut(0, "a");
    simulation.cut(0, "b");
    simulation.database("c").unreachable = true;
    simulation.unlist("c");
    simulation.run_with_reads(&READS, millis(5_000));
    simulation.database("a").unreachable = true;
    while simulation.databases["b"].role == DatabaseRole::Replica {
        simulation.run_with_reads(&READS, millis(20));
        assert!(simulation.now < Micros::from_secs(30), "no promotion");
    }
    let old = simulation.database("a");
    (old.role, old.term, old.unreachable) = (DatabaseRole::Replica, Term(2), false);
    simulation.publish_database("a");
    simulation.run_with_reads(&READS, millis(500));
    write_through(&mut simulation, 1..2);
    assert_eq!(simulation.promoted_databases(), ["b"]);
    simulation.database("b").unreachable = true;
    simulation.unlist("b");
    simulation.store_cut.insert(1);
    simulation.stopped.insert(1);
    simulation.remove_registration(1);
    let deaf = simulation.database("c");
    (deaf.replication_stopped, deaf.unreachable) = (true, false);
    simulation.list("c");
    assert_eq!(simulation.databases["c"].term, Term(1));
    assert!(simulation.databases["a"].received > simulation.databases["c"].received);
    simulation.logs.clear();
    simulation
}

/// Guards against a failover that leaves out the database that it takes for the primary, although its
/// entry says that it has become a replica and it holds the only copy of acknowledged commits.
#[test]
fn a_primary_that_is_listed_as_a_replica_is_compared() {
    let mut simulation = after_missed_promotion();
    let end = simulation.databases["a"].received;
    simulation.run_with_reads(&READS, millis(12_000));
    assert!(simulation.logged("takeover_started") > 0, "a failover was tried");
    assert_eq!(simulation.promoted_databases(), ["b"]);
    simulation.cuts.clear();
    simulation.run_with_reads(&READS, millis(8_000));
    assert_eq!(simulation.promoted_databases(), ["b", "a"]);
    assert!(simulation.databases["a"].received >= end);
}
/// As above, with an entry that is as it was before the promotion. The database can be reached
/// again, or answers again, when the failover has fenced the other replica.
#[test]
fn a_primary_that_reports_as_a_replica_is_compared() {
    for hung in [false, true] {
        let mut simulation = after_missed_promotion();
        let end = simulation.databases["a"].received;
        simulation.stale_roles.insert("a".into(), DatabaseRole::Primary);
        simulation.publish_database("a");
        if hung {
            simulation.cuts.clear();
            simulation.database("a").hung = true;
        }
        while !reached_stage(&simulation, "relisting") {
            simulation.run_with_reads(&READS, millis(20));
            assert!(simulation.now < Micros::from_secs(40), "no failover sets fences");
        }
        simulation.cuts.clear();
        simulation.database("a").hung = false;
        simulation.run_with_reads(&READS, millis(8_000));
        assert_eq!(simulation.promoted_databases(), ["b", "a"], "hung: {hung}");
        assert!(simulation.databases["a"].received >= end);
    }
}

/// Guards against a promotion although the supposed old primary, which is too busy to report, answers
/// its demotion with commits of the term that the failover is to begin.
#[test]
fn a_busy_holder_of_newer_commits_is_not_passed_over() {
    let mut simulation = after_missed_promotion();
    let end = simulation.databases["a"].received;
    simulation.stale_roles.insert("a".into(), DatabaseRole::Primary);
    simulation.publish_database("a");
    simulation.database("a").refuses_reports = true;
    while !reached_stage(&simulation, "relisting") {
        simulation.run_with_reads(&READS, millis(20));
        assert!(simulation.now < Micros::from_secs(40), "no failover sets fences");
    }
    simulation.cuts.clear();
    simulation.run_with_reads(&READS, millis(12_000));
    assert_eq!(simulation.promoted_databases(), ["b"]);
    simulation.database("a").refuses_reports = false;
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "w", "WRITE 1 x");
    simulation.run_with_reads(&READS, millis(8_000));
    assert_eq!(simulation.promoted_databases(), ["b", "a"]);
    assert!(simulation.databases["a"].received >= end);
}

/// Guards against a comparison with the log that a new database had when it was fenced. It stands at
/// the address of a leaving replica that held the only copy of a commit, and gets its log later.
#[test]
fn a_log_that_is_transferred_after_the_fence_is_not_passed_over() {
    let mut simulation = Simulation::start(2);
    simulation.run_with_reads(&READS, millis(1_000));
    // Only the node that stops knows of the commits that only the leaving replica receives.
    simulation.database("c").replication_stopped = true;
    simulation.database("b").leaving = true;
    simulation.publish_database("b");
    write_through(&mut simulation, 1..2);
    simulation.store_cut.insert(1);
    simulation.stopped.insert(1);
    simulation.remove_registration(1);
    let log = simulation.databases["b"].received;
    let mut new = simulation.databases["b"].clone();
    (new.received, new.leaving) = (position(1, 0), false);
    new.ran.clear();
    simulation.databases.insert("d".into(), new);
    simulation.database("a").unreachable = true;
    simulation.database("b").unreachable = true;
    simulation.unlist("b");
    simulation.publish_database("d");
    while simulation.databases["d"].fence == Term(0) {
        simulation.run_with_reads(&READS, millis(20));
        assert!(simulation.now < Micros::from_secs(20), "no failover fences the new database");
    }
    simulation.database("d").received = log;
    simulation.run_with_reads(&READS, millis(12_000));
    assert!(
        simulation.promoted_databases().iter().all(|name| *name == "d"),
        "{:?}",
        simulation.promoted_databases()
    );
    // The primary comes back with its log.
    simulation.database("a").unreachable = false;
    simulation.run_with_reads(&READS, millis(3_000));
    write_through(&mut simulation, 0..1);
    assert!(
        simulation.promoted_databases().iter().all(|name| *name == "d"),
        "{:?}",
        simulation.promoted_databases()
    );
}

/// Returns true if a failover has reached a stage since the last clearing of the logs.
fn reached_stage(simulation: &Simulation, stage: &str) -> bool {
    simulation.logs.iter().any(|(_, _, record)| {
        record.event == "takeover_stage" && format!("{record:?}").contains(stage)
    })
}
