//! Report rounds, required positions and samples of a cluster monitor.

use failover::{
    ClusterMonitor, CommitId, DatabaseReport, DatabaseRole, MonitorAction, MonitorConfig,
    MonitorEvent, RequiredPositionState, TermStart,
};
use model::{LogPosition, Micros, Name, RequiredPosition, Term};

fn monitor() -> ClusterMonitor {
    ClusterMonitor::new(MonitorConfig::default(), ["a", "b", "c"].map(Name::from).to_vec())
}

fn report(term: u64, primary: bool, log_term: u64, position: u64, start: u64) -> DatabaseReport {
    DatabaseReport {
        term: Term(term),
        role: if primary { DatabaseRole::Primary } else { DatabaseRole::Replica },
        log_term: Term(log_term),
        received: LogPosition(position),
        applied: LogPosition(position),
        term_start: LogPosition(start),
        previous_term: Term(term.saturating_sub(1)),
    }
}

fn handle(monitor: &mut ClusterMonitor, now: u64, event: MonitorEvent) -> Vec<MonitorAction> {
    let mut actions = Vec::new();
    monitor.handle(Micros(now), event, &mut actions);
    actions
}

fn report_arrives(
    monitor: &mut ClusterMonitor,
    now: u64,
    database: &str,
    round: u64,
    report: DatabaseReport,
) -> Vec<MonitorAction> {
    handle(monitor, now, MonitorEvent::ReportArrived { database: database.into(), round, report })
}

fn commit(
    monitor: &mut ClusterMonitor,
    now: u64,
    commit: u64,
    durable: bool,
) -> Vec<MonitorAction> {
    let commit = CommitId(commit);
    handle(monitor, now, MonitorEvent::CommitFinished { commit, term: Term(1), durable })
}

fn required_position(term: u64, position: u64) -> RequiredPosition {
    RequiredPosition { term: Term(term), position: LogPosition(position) }
}

fn ask_report(database: &str, round: u64) -> MonitorAction {
    MonitorAction::RequestReport { database: database.into(), round }
}

// Guards against a frozen database that delays the others, and against a round that acknowledges a
// commit which finished after the round began.
#[test]
fn round_ignores_frozen_databases_and_later_commits() {
    let mut monitor = monitor();
    handle(&mut monitor, 0, MonitorEvent::Timer);
    // The commit finishes while round 1 is open; round 2 begins once round 1 is confirmed.
    assert_eq!(commit(&mut monitor, 100, 1, false), []);
    report_arrives(&mut monitor, 200, "a", 1, report(1, true, 1, 10, 0));
    let actions = report_arrives(&mut monitor, 300, "b", 1, report(1, false, 1, 10, 0));
    let leader = MonitorAction::LeaderChanged { term: Term(1), leader: "a".into() };
    assert_eq!(actions, [leader, ask_report("a", 2), ask_report("b", 2)]);
    report_arrives(&mut monitor, 400, "b", 2, report(1, false, 1, 10, 0));
    let actions = report_arrives(&mut monitor, 500, "a", 2, report(1, true, 1, 12, 0));
    let acknowledged = MonitorAction::Acknowledge {
        commit: CommitId(1),
        required_position: required_position(1, 12),
    };
    assert_eq!(actions, [acknowledged]);
    // The late report of round 1 changes nothing; the database joins the current round.
    let late = report_arrives(&mut monitor, 600, "c", 1, report(1, false, 1, 10, 0));
    assert_eq!(late, [ask_report("c", 2)]);
}

// Guards against a durable acknowledgement before a majority has received the commit, and against one
// that continuous writes postpone.
#[test]
fn durable_commit_waits_until_a_majority_received_it() {
    let mut monitor = monitor();
    handle(&mut monitor, 0, MonitorEvent::Timer);
    report_arrives(&mut monitor, 100, "a", 1, report(1, true, 1, 10, 0));
    report_arrives(&mut monitor, 200, "b", 1, report(1, false, 1, 10, 0));
    report_arrives(&mut monitor, 300, "c", 1, report(1, false, 1, 10, 0));
    assert_eq!(commit(&mut monitor, 400, 1, true).len(), 3);
    report_arrives(&mut monitor, 500, "a", 2, report(1, true, 1, 20, 0));
    report_arrives(&mut monitor, 600, "b", 2, report(1, false, 1, 19, 0));
    report_arrives(&mut monitor, 700, "c", 2, report(1, false, 1, 18, 0));
    assert_eq!(handle(&mut monitor, 5_400, MonitorEvent::Timer).len(), 3);
    report_arrives(&mut monitor, 5_500, "a", 3, report(1, true, 1, 40, 0));
    let actions = report_arrives(&mut monitor, 5_600, "b", 3, report(1, false, 1, 20, 0));
    let acknowledged = MonitorAction::Acknowledge {
        commit: CommitId(1),
        required_position: required_position(1, 20),
    };
    assert_eq!(actions, [acknowledged]);
}

// Guards against writes falsely reported as lost after an ordinary failover, and against lost writes
// that are not reported.
#[test]
fn required_positions_survive_a_failover() {
    let mut monitor = monitor();
    handle(&mut monitor, 0, MonitorEvent::Timer);
    report_arrives(&mut monitor, 100, "a", 1, report(1, true, 1, 60, 0));
    report_arrives(&mut monitor, 200, "b", 1, report(1, false, 1, 50, 0));
    report_arrives(&mut monitor, 300, "c", 1, report(1, false, 1, 40, 0));
    handle(&mut monitor, 250_000, MonitorEvent::Timer);
    // The new primary has already written when it first reports.
    report_arrives(&mut monitor, 250_100, "b", 2, report(2, true, 2, 55, 50));
    report_arrives(&mut monitor, 250_200, "c", 2, report(2, false, 1, 50, 0));
    assert_eq!(
        monitor.required_position_state("c", required_position(1, 45)),
        RequiredPositionState::Met
    );
    assert_eq!(
        monitor.required_position_state("c", required_position(2, 53)),
        RequiredPositionState::NotYet
    );
    assert_eq!(
        monitor.required_position_state("a", required_position(1, 45)),
        RequiredPositionState::NotYet
    );
    let lost = RequiredPositionState::Lost { replacement: required_position(2, 50) };
    assert_eq!(monitor.required_position_state("b", required_position(1, 51)), lost);
    let start = TermStart { start: LogPosition(10), previous_term: Term(0) };
    monitor.learn_term(Term(1), start);
    assert_eq!(
        monitor.required_position_state("b", required_position(0, 5)),
        lost,
        "the start seen in reports stands"
    );
    // The start of a term without entries is a position of the term before.
    assert_eq!(
        monitor.required_position_state("b", required_position(2, 50)),
        RequiredPositionState::Met
    );
}

// Guards against an owner that knows only the newest term and reports a write as lost that survived,
// or does not report one that may have been lost in a term between.
#[test]
fn new_owner_does_not_report_a_surviving_write_as_lost() {
    let mut monitor = monitor();
    handle(&mut monitor, 0, MonitorEvent::Timer);
    // The primary of term 5 has already written; the entries before its start are of term 4.
    report_arrives(&mut monitor, 100, "b", 1, report(5, true, 5, 80, 50));
    report_arrives(&mut monitor, 200, "c", 1, report(5, false, 5, 70, 50));
    let replacement = required_position(5, 50);
    assert_eq!(
        monitor.required_position_state("c", required_position(4, 50)),
        RequiredPositionState::Met
    );
    assert_eq!(
        monitor.required_position_state("c", required_position(4, 51)),
        RequiredPositionState::Lost { replacement }
    );
    assert_eq!(
        monitor.required_position_state("c", required_position(3, 51)),
        RequiredPositionState::Lost { replacement }
    );
    assert_eq!(
        monitor.required_position_state("c", required_position(3, 40)),
        RequiredPositionState::Uncertain { replacement }
    );
    monitor.learn_term(Term(4), TermStart { start: LogPosition(40), previous_term: Term(2) });
    assert_eq!(
        monitor.required_position_state("c", required_position(3, 40)),
        RequiredPositionState::Lost { replacement }
    );
    assert_eq!(
        monitor.required_position_state("c", required_position(2, 40)),
        RequiredPositionState::Met
    );
    assert_eq!(
        monitor.required_position_state("c", required_position(2, 41)),
        RequiredPositionState::Lost { replacement }
    );
}

// Guards against samples whose number grows without bound, and against proved ages that are far too
// high.
#[test]
fn samples_are_bounded_and_precise() {
    let mut monitor = monitor();
    let mut now = 0;
    for round in 1..=20_000u64 {
        // With one commit per round, each round begins at once.
        commit(&mut monitor, now, round, false);
        now += 2_000;
        handle(&mut monitor, now, MonitorEvent::Timer);
        report_arrives(&mut monitor, now + 1_000, "a", round, report(1, true, 1, round * 10, 0));
        report_arrives(&mut monitor, now + 1_500, "b", round, report(1, false, 1, round * 10, 0));
        report_arrives(
            &mut monitor,
            now + 1_600,
            "c",
            round,
            report(1, false, 1, round / 2 * 10, 0),
        );
        now += 2_000;
        assert!(monitor.sample_count() <= 256);
    }
    // The replica lags by 10,000 rounds of 4 ms. Ages are at most 1/16 too high.
    let age = monitor.provable_age(Micros(now), "c").unwrap();
    assert!((40_000_000..42_510_000).contains(&age.0), "{age}");
    // The last round began with its commit.
    assert_eq!(monitor.provable_age(Micros(now), "b"), Some(Micros(4_000)));
}
