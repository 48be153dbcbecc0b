//! Rounds, floors and samples of a watch.

use failover::{
    ClusterWatch, CommitId, DatabaseReport, DatabaseRole, FloorState, TermStart, WatchAction,
    WatchConfig, WatchEvent,
};
use model::{LogPosition, Micros, Name, SessionFloor, Term};

fn watch() -> ClusterWatch {
    ClusterWatch::new(WatchConfig::default(), ["a", "b", "c"].map(Name::from).to_vec())
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

fn handle(watch: &mut ClusterWatch, now: u64, event: WatchEvent) -> Vec<WatchAction> {
    let mut actions = Vec::new();
    watch.handle(Micros(now), event, &mut actions);
    actions
}

fn arrive(
    watch: &mut ClusterWatch,
    now: u64,
    database: &str,
    round: u64,
    report: DatabaseReport,
) -> Vec<WatchAction> {
    handle(watch, now, WatchEvent::ReportArrived { database: database.into(), round, report })
}

fn commit(watch: &mut ClusterWatch, now: u64, commit: u64, durable: bool) -> Vec<WatchAction> {
    let commit = CommitId(commit);
    handle(watch, now, WatchEvent::CommitFinished { commit, term: Term(1), durable })
}

fn floor(term: u64, position: u64) -> SessionFloor {
    SessionFloor { term: Term(term), position: LogPosition(position) }
}

fn asked(database: &str, round: u64) -> WatchAction {
    WatchAction::AskReport { database: database.into(), round }
}

// Guards against a frozen database that delays the others, and against a round that acknowledges a
// commit which finished after its begin.
#[test]
fn round_ignores_a_frozen_database_and_later_commits() {
    let mut watch = watch();
    handle(&mut watch, 0, WatchEvent::Timer);
    // The commit finishes while round 1 is open; round 2 begins once round 1 is confirmed.
    assert_eq!(commit(&mut watch, 100, 1, false), []);
    arrive(&mut watch, 200, "a", 1, report(1, true, 1, 10, 0));
    let actions = arrive(&mut watch, 300, "b", 1, report(1, false, 1, 10, 0));
    let leader = WatchAction::LeaderChanged { term: Term(1), leader: "a".into() };
    assert_eq!(actions, [leader, asked("a", 2), asked("b", 2)]);
    arrive(&mut watch, 400, "b", 2, report(1, false, 1, 10, 0));
    let actions = arrive(&mut watch, 500, "a", 2, report(1, true, 1, 12, 0));
    let acknowledged = WatchAction::Acknowledge { commit: CommitId(1), floor: floor(1, 12) };
    assert_eq!(actions, [acknowledged]);
    // The late report of round 1 changes nothing; the database joins the current round.
    let late = arrive(&mut watch, 600, "c", 1, report(1, false, 1, 10, 0));
    assert_eq!(late, [asked("c", 2)]);
}

// Guards against a durable acknowledgement before a majority has received the commit, and against one
// that steady writing postpones.
#[test]
fn durable_commit_waits_for_receipt_at_a_majority() {
    let mut watch = watch();
    handle(&mut watch, 0, WatchEvent::Timer);
    arrive(&mut watch, 100, "a", 1, report(1, true, 1, 10, 0));
    arrive(&mut watch, 200, "b", 1, report(1, false, 1, 10, 0));
    arrive(&mut watch, 300, "c", 1, report(1, false, 1, 10, 0));
    assert_eq!(commit(&mut watch, 400, 1, true).len(), 3);
    arrive(&mut watch, 500, "a", 2, report(1, true, 1, 20, 0));
    arrive(&mut watch, 600, "b", 2, report(1, false, 1, 19, 0));
    arrive(&mut watch, 700, "c", 2, report(1, false, 1, 18, 0));
    assert_eq!(handle(&mut watch, 5_400, WatchEvent::Timer).len(), 3);
    arrive(&mut watch, 5_500, "a", 3, report(1, true, 1, 40, 0));
    let actions = arrive(&mut watch, 5_600, "b", 3, report(1, false, 1, 20, 0));
    let acknowledged = WatchAction::Acknowledge { commit: CommitId(1), floor: floor(1, 20) };
    assert_eq!(actions, [acknowledged]);
}

// Guards against false notices of lost writes after an ordinary change of primary, and against missing
// ones.
#[test]
fn floors_outlive_a_change_of_primary() {
    let mut watch = watch();
    handle(&mut watch, 0, WatchEvent::Timer);
    arrive(&mut watch, 100, "a", 1, report(1, true, 1, 60, 0));
    arrive(&mut watch, 200, "b", 1, report(1, false, 1, 50, 0));
    arrive(&mut watch, 300, "c", 1, report(1, false, 1, 40, 0));
    handle(&mut watch, 250_000, WatchEvent::Timer);
    // The new primary has written already when it is first seen.
    arrive(&mut watch, 250_100, "b", 2, report(2, true, 2, 55, 50));
    arrive(&mut watch, 250_200, "c", 2, report(2, false, 1, 50, 0));
    assert_eq!(watch.floor_state("c", floor(1, 45)), FloorState::Met);
    assert_eq!(watch.floor_state("c", floor(2, 53)), FloorState::NotYet);
    assert_eq!(watch.floor_state("a", floor(1, 45)), FloorState::NotYet);
    let lost = FloorState::Lost { instead: floor(2, 50) };
    assert_eq!(watch.floor_state("b", floor(1, 51)), lost);
    let start = TermStart { start: LogPosition(10), previous: Term(0) };
    watch.learn_term(Term(1), start);
    assert_eq!(watch.floor_state("b", floor(0, 5)), lost, "the start seen in reports stands");
    // The start of a term that nothing of was written is a position of the term before.
    assert_eq!(watch.floor_state("b", floor(2, 50)), FloorState::Met);
}

// Guards against a write told as lost by an owner that only knows the newest term, and against silence
// about one that may have been lost in a term between.
#[test]
fn new_owner_does_not_call_a_kept_write_lost() {
    let mut watch = watch();
    handle(&mut watch, 0, WatchEvent::Timer);
    // The primary of term 5 has written already; the entries before its start are of term 4.
    arrive(&mut watch, 100, "b", 1, report(5, true, 5, 80, 50));
    arrive(&mut watch, 200, "c", 1, report(5, false, 5, 70, 50));
    let instead = floor(5, 50);
    assert_eq!(watch.floor_state("c", floor(4, 50)), FloorState::Met);
    assert_eq!(watch.floor_state("c", floor(4, 51)), FloorState::Lost { instead });
    assert_eq!(watch.floor_state("c", floor(3, 51)), FloorState::Lost { instead });
    assert_eq!(watch.floor_state("c", floor(3, 40)), FloorState::Uncertain { instead });
    watch.learn_term(Term(4), TermStart { start: LogPosition(40), previous: Term(2) });
    assert_eq!(watch.floor_state("c", floor(3, 40)), FloorState::Lost { instead });
    assert_eq!(watch.floor_state("c", floor(2, 40)), FloorState::Met);
    assert_eq!(watch.floor_state("c", floor(2, 41)), FloorState::Lost { instead });
}

// Guards against samples that grow without bound, and against ages far above the provable ones.
#[test]
fn samples_are_bounded_and_precise() {
    let mut watch = watch();
    let mut now = 0;
    for round in 1..=20_000u64 {
        // A commit a round keeps the rounds going at once.
        commit(&mut watch, now, round, false);
        now += 2_000;
        handle(&mut watch, now, WatchEvent::Timer);
        arrive(&mut watch, now + 1_000, "a", round, report(1, true, 1, round * 10, 0));
        arrive(&mut watch, now + 1_500, "b", round, report(1, false, 1, round * 10, 0));
        arrive(&mut watch, now + 1_600, "c", round, report(1, false, 1, round / 2 * 10, 0));
        now += 2_000;
        assert!(watch.sample_count() <= 256);
    }
    // The replica lags by 10,000 rounds of 4 ms. Ages are at most 1/16 too high.
    let age = watch.provable_age(Micros(now), "c").unwrap();
    assert!((40_000_000..42_510_000).contains(&age.0), "{age}");
    // The last round began with its commit.
    assert_eq!(watch.provable_age(Micros(now), "b"), Some(Micros(4_000)));
}
