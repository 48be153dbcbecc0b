//! The record of a finished promotion and answers of the platform that arrive late.

use failover::{
    DatabaseReport, DatabaseRole, LeaderRecord, RecordState, Supervisor, SupervisorAction,
    SupervisorEvent,
};
use model::{LogPosition, Micros, Name, Term};

/// A supervisor and its clock.
struct SupervisorDriver {
    supervisor: Supervisor,
    now: Micros,
}

impl SupervisorDriver {
    fn new() -> Self {
        let databases = ["a", "b", "c"].map(Name::from).to_vec();
        let supervisor = Supervisor::new("vm-1".into(), databases, 1);
        SupervisorDriver { supervisor, now: Micros::from_secs(10) }
    }

    fn handle(&mut self, event: SupervisorEvent) -> Vec<SupervisorAction> {
        let mut actions = Vec::new();
        self.supervisor.handle(self.now, event, &mut actions);
        actions
    }

    fn wait(&mut self, time: Micros) -> Vec<SupervisorAction> {
        self.now += time;
        self.handle(SupervisorEvent::Timer)
    }

    /// Brings a promotion of the term after `term` to its first call to the platform.
    fn suspect(&mut self, term: u64) {
        self.handle(SupervisorEvent::PrimarySuspected { term: Term(term), supervisor_index: 0 });
        for from in ["vm-2", "vm-3"] {
            self.handle(SupervisorEvent::ViewArrived { from: from.into(), view: None });
        }
        assert_eq!(self.supervisor.step(), "record-read");
    }

    /// Completes the fence and the promotion of a term.
    fn promote(&mut self, term: u64) {
        assert_eq!(self.supervisor.step(), "fencing");
        let report = DatabaseReport {
            term: Term(term),
            role: DatabaseRole::Replica,
            log_term: Term(term - 1),
            received: LogPosition(100),
            applied: LogPosition(100),
            term_start: LogPosition(0),
            previous_term: Term(0),
        };
        for database in ["a", "b", "c"] {
            let database = database.into();
            self.handle(SupervisorEvent::Fenced { database, accepted: true, report });
        }
        assert_eq!(self.supervisor.step(), "promoting");
        for database in ["a", "b", "c"] {
            let (database, start) = (database.into(), LogPosition(100));
            self.handle(SupervisorEvent::Promoted { database, start });
        }
        assert_eq!(self.supervisor.step(), "idle");
    }

    /// Answers reads with `found` and writes with success for 20 s. Returns the terms of the leading
    /// records that it wrote.
    fn settle(&mut self, mut found: Option<LeaderRecord>) -> Vec<Term> {
        let mut written = Vec::new();
        for _ in 0..40 {
            for action in self.wait(Micros::from_millis(500)) {
                let mut asked = vec![action];
                while let Some(action) = asked.pop() {
                    match action {
                        SupervisorAction::ReadRecord => {
                            let record = found.clone();
                            asked.extend(
                                self.handle(SupervisorEvent::RecordRead { record, index: 7 }),
                            );
                        }
                        SupervisorAction::WriteRecord { record, .. } => {
                            if let RecordState::Leading { .. } = record.state {
                                written.push(record.term);
                            }
                            found = Some(record);
                            asked.extend(
                                self.handle(SupervisorEvent::RecordWritten { applied: true }),
                            );
                        }
                        _ => {}
                    }
                }
            }
        }
        written
    }
}

/// Promotes term 2 and leaves the write of its leading record unanswered.
fn promote_and_write(driver: &mut SupervisorDriver) -> LeaderRecord {
    driver.suspect(1);
    driver.handle(SupervisorEvent::RecordRead { record: None, index: 0 });
    driver.handle(SupervisorEvent::RecordWritten { applied: true });
    driver.promote(2);
    driver.handle(SupervisorEvent::SuspicionCleared);
    driver.wait(Micros::from_millis(1));
    let actions = driver.handle(SupervisorEvent::RecordRead { record: None, index: 1 });
    match actions.as_slice() {
        [SupervisorAction::WriteRecord { record, .. }] => record.clone(),
        other => panic!("expected the leading record, found {other:?}"),
    }
}

// Guards against a record that names a replaced leader for good: the late answer to the write of an
// earlier term's record must not count for the later one.
#[test]
fn late_answer_about_an_earlier_record_does_not_end_the_write_of_a_later_one() {
    let mut driver = SupervisorDriver::new();
    let earlier = promote_and_write(&mut driver);
    driver.now += Micros::from_secs(2);
    driver.suspect(2);
    driver.handle(SupervisorEvent::PlatformFailed);
    driver.promote(3);
    driver.handle(SupervisorEvent::SuspicionCleared);
    driver.handle(SupervisorEvent::RecordWritten { applied: true });
    assert_eq!(driver.settle(Some(earlier)), [Term(3)]);
}

// The same if the late answer arrives while the write of the later record is in flight and gets lost.
#[test]
fn late_answer_does_not_count_for_a_write_in_flight() {
    let mut driver = SupervisorDriver::new();
    let earlier = promote_and_write(&mut driver);
    driver.now += Micros::from_secs(2);
    driver.suspect(2);
    driver.handle(SupervisorEvent::PlatformFailed);
    driver.promote(3);
    driver.handle(SupervisorEvent::SuspicionCleared);
    driver.wait(Micros::from_millis(1));
    let record = Some(earlier.clone());
    let actions = driver.handle(SupervisorEvent::RecordRead { record, index: 7 });
    assert!(matches!(actions.as_slice(), [SupervisorAction::WriteRecord { .. }]), "{actions:?}");
    driver.handle(SupervisorEvent::RecordWritten { applied: true });
    driver.handle(SupervisorEvent::PlatformFailed);
    assert_eq!(driver.settle(Some(earlier)), [Term(3)]);
}

// Guards against needless calls to the platform: a promotion without failures makes four, and none
// afterwards.
#[test]
fn promotion_without_failures_makes_four_calls() {
    let mut driver = SupervisorDriver::new();
    let record = promote_and_write(&mut driver);
    driver.handle(SupervisorEvent::RecordWritten { applied: true });
    for _ in 0..40 {
        assert_eq!(driver.wait(Micros::from_millis(500)), []);
    }
    assert_eq!(record.term, Term(2));
}
