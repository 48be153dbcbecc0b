//! Acknowledged commits that a later primary lacks.
//!
//! Each test drives a supervisor against a group of databases that keep the rules of `cicadawick_fence`
//! and `cicadawick_promote`, and compares the log of the promoted database with what was acknowledged.

use std::collections::BTreeMap;

use failover::{
    ClusterMonitor, CommitId, DatabaseReport, DatabaseRole, MonitorAction, MonitorConfig,
    MonitorEvent, Supervisor, SupervisorAction, SupervisorEvent,
};
use model::{LogPosition, Micros, Name, Term};

/// A database whose log is the list of its entries' terms.
struct TestDatabase {
    name: Name,
    term: u64,
    role: DatabaseRole,
    log: Vec<u64>,
    fenced_by: Option<Name>,
    reachable: bool,
}

impl TestDatabase {
    /// Creates a replica of term 1 that has received `length` entries.
    fn replica(name: &str, length: usize) -> Self {
        TestDatabase {
            name: name.into(),
            term: 1,
            role: DatabaseRole::Replica,
            log: vec![1; length],
            fenced_by: None,
            reachable: true,
        }
    }

    fn report(&self) -> DatabaseReport {
        let position = LogPosition(self.log.len() as u64);
        DatabaseReport {
            term: Term(self.term),
            role: self.role,
            log_term: Term(self.log.last().copied().unwrap_or(0)),
            received: position,
            applied: position,
            term_start: LogPosition(0),
            previous_term: Term(0),
        }
    }

    /// Accepts a term above its own, and again the fence that is in force.
    fn fence(&mut self, term: u64, by: &Name) -> bool {
        if term == self.term && self.fenced_by.as_ref() == Some(by) {
            return true;
        }
        if term <= self.term {
            return false;
        }
        self.term = term;
        self.role = DatabaseRole::Replica;
        self.fenced_by = Some(by.clone());
        true
    }

    fn promote(&mut self, term: u64) -> Option<LogPosition> {
        let fenced = self.term == term && self.fenced_by.is_some();
        if fenced && self.role == DatabaseRole::Replica {
            self.role = DatabaseRole::Primary;
            self.log.push(term);
        }
        fenced.then_some(LogPosition(self.log.len() as u64 - 1))
    }
}

struct TestGroup(Vec<TestDatabase>);

impl TestGroup {
    /// Creates databases `a`, `b` and so on with logs of these lengths; `a` is the primary.
    fn new(lengths: &[usize]) -> Self {
        let names = ["a", "b", "c", "d", "e"].into_iter().zip(lengths);
        let mut databases: Vec<TestDatabase> =
            names.map(|(name, length)| TestDatabase::replica(name, *length)).collect();
        databases[0].role = DatabaseRole::Primary;
        TestGroup(databases)
    }

    fn database(&mut self, name: &str) -> &mut TestDatabase {
        let found = self.0.iter_mut().find(|database| &*database.name == name);
        found.expect("the group has this database")
    }

    /// Runs a report round of the monitor with the databases that answer.
    fn run_round(&mut self, monitor: &mut ClusterMonitor, millis: u64) -> Vec<MonitorAction> {
        let now = Micros::from_millis(millis);
        let (mut actions, mut done) = (Vec::new(), Vec::new());
        monitor.handle(now, MonitorEvent::Timer, &mut actions);
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                let MonitorAction::RequestReport { database, round } = action else {
                    done.push(action);
                    continue;
                };
                if !self.database(&database).reachable {
                    continue;
                }
                let report = self.database(&database).report();
                let event = MonitorEvent::ReportArrived { database, round, report };
                monitor.handle(now, event, &mut actions);
            }
        }
        done
    }

    /// Runs a failover from `millis` on, for at most 2 s and without the platform. Returns the promoted
    /// database.
    fn fail_over(&mut self, supervisor: &mut Supervisor, millis: u64) -> Option<Name> {
        let mut now = Micros::from_millis(millis);
        let end = now + Micros::from_secs(2);
        let term = Term(self.0.iter().map(|database| database.term).min().unwrap_or(0));
        let mut events = vec![SupervisorEvent::PrimarySuspected { term, supervisor_index: 0 }];
        while now <= end {
            let mut actions = Vec::new();
            for event in std::mem::take(&mut events) {
                supervisor.handle(now, event, &mut actions);
            }
            for action in actions {
                match action {
                    SupervisorAction::ReadRecord | SupervisorAction::WriteRecord { .. } => {
                        events.push(SupervisorEvent::PlatformFailed);
                    }
                    SupervisorAction::Fence { database, term, by } => {
                        let found = self.database(&database);
                        if found.reachable {
                            let accepted = found.fence(term.0, &by);
                            let report = found.report();
                            events.push(SupervisorEvent::Fenced { database, accepted, report });
                        }
                    }
                    SupervisorAction::Promote { database, term } => {
                        if self.database(&database).promote(term.0).is_some() {
                            return Some(database);
                        }
                    }
                    SupervisorAction::RequestViews | SupervisorAction::Follow { .. } => {}
                }
            }
            if events.is_empty() {
                now = supervisor.next_timer().unwrap_or(end).max(now + Micros(1));
                events.push(SupervisorEvent::Timer);
            }
        }
        None
    }
}

fn names(list: &[&str]) -> Vec<Name> {
    list.iter().map(|name| Name::from(*name)).collect()
}

/// A monitor and a supervisor of one node.
fn node(list: &[&str]) -> (ClusterMonitor, Supervisor) {
    let monitor = ClusterMonitor::new(MonitorConfig::default(), names(list));
    (monitor, Supervisor::new("node-1".into(), names(list), 7))
}

/// Acknowledges a durable commit at position 10 of `a` that `b` has received and `c` has not, then
/// replaces `b` by the new database `d`.
fn replace_a_database() -> (TestGroup, ClusterMonitor, Supervisor) {
    let mut group = TestGroup::new(&[10, 10, 4, 2]);
    let (mut monitor, mut supervisor) = node(&["a", "b", "c"]);
    group.run_round(&mut monitor, 0);
    let event = MonitorEvent::CommitFinished { commit: CommitId(1), term: Term(1), durable: true };
    let mut actions = Vec::new();
    monitor.handle(Micros::from_millis(100), event, &mut actions);
    // The round that the commit has begun.
    let mut acknowledged = Vec::new();
    for action in std::mem::take(&mut actions) {
        if let MonitorAction::RequestReport { database, round } = action {
            let report = group.database(&database).report();
            let event = MonitorEvent::ReportArrived { database, round, report };
            monitor.handle(Micros::from_millis(101), event, &mut acknowledged);
        }
    }
    let is_acknowledged =
        |action: &MonitorAction| matches!(action, MonitorAction::Acknowledge { .. });
    assert!(acknowledged.iter().any(is_acknowledged), "{acknowledged:?}");
    monitor.set_databases(names(&["a", "c", "d"]));
    supervisor.set_databases(names(&["a", "c", "d"]));
    (group, monitor, supervisor)
}

/// Orders a switchover from the leaving database `a`, whose answers to fences arrive after `delay`.
/// Returns the promoted database.
fn switch_over(delay: Micros) -> Option<Name> {
    // `b` holds the whole log as of the last reports; then `a` acknowledges positions 10 to 12.
    let mut group = TestGroup::new(&[9, 9, 4]);
    let (_, mut supervisor) = node(&["a", "b", "c"]);
    supervisor.set_leaving(names(&["a"]));
    let mut now = Micros::from_millis(1_000);
    let mut events: BTreeMap<Micros, Vec<SupervisorEvent>> = BTreeMap::new();
    let first = events.entry(now).or_default();
    first.push(SupervisorEvent::LeaderConfirmed { term: Term(1), leader: "a".into() });
    for name in ["a", "b", "c"] {
        let report = group.database(name).report();
        first.push(SupervisorEvent::ReportSeen { database: name.into(), report });
    }
    first.push(SupervisorEvent::LeaderLeaving { term: Term(1) });
    group.database("a").log = vec![1; 12];
    while now < Micros::from_secs(5) {
        let mut actions = Vec::new();
        for event in events.remove(&now).unwrap_or_else(|| vec![SupervisorEvent::Timer]) {
            supervisor.handle(now, event, &mut actions);
        }
        for action in actions {
            match action {
                SupervisorAction::ReadRecord => {
                    events
                        .entry(now + Micros(1))
                        .or_default()
                        .push(SupervisorEvent::PlatformFailed);
                }
                SupervisorAction::Fence { database, term, by } => {
                    let found = group.database(&database);
                    let accepted = found.fence(term.0, &by);
                    let delay = if &*database == "a" { delay } else { Micros(500) };
                    let report = found.report();
                    let event = SupervisorEvent::Fenced { database, accepted, report };
                    events.entry(now + delay).or_default().push(event);
                }
                SupervisorAction::Promote { database, .. } => return Some(database),
                SupervisorAction::RequestViews
                | SupervisorAction::WriteRecord { .. }
                | SupervisorAction::Follow { .. } => {}
            }
        }
        let event = events.first_key_value().map(|(at, _)| *at);
        let next = event.into_iter().chain(supervisor.next_timer()).min()?;
        now = next.max(now + Micros(1));
    }
    None
}

// Guards against a switchover that loses acknowledged commits because the leaving primary answers the fence
// later than the others: it is up, and no failure calls for a promotion without it.
#[test]
fn a_switchover_waits_for_the_log_of_a_slow_primary() {
    // Just under the time after which a silent primary is suspected.
    let slow = Micros::from_millis(900);
    for delay in [Micros(500), Micros::from_millis(60), Micros::from_millis(400), slow] {
        let promoted = switch_over(delay);
        assert_eq!(promoted.as_deref(), Some("a"), "a alone has 12 entries, delay {delay}");
    }
}

// Guards against a switchover that waits for a primary which has failed meanwhile.
#[test]
fn a_switchover_ends_without_a_primary_that_failed() {
    assert_eq!(switch_over(Micros::from_secs(4)).as_deref(), Some("b"));
}

// Guards against a promotion that lacks durable commits because the database that had them was removed
// from the list: the databases that are left had not received them.
#[test]
fn a_promotion_after_a_database_was_replaced_keeps_durable_commits() {
    let (mut group, _monitor, mut supervisor) = replace_a_database();
    group.database("a").reachable = false;
    let promoted = group.fail_over(&mut supervisor, 2_000);
    assert_eq!(promoted, None, "acknowledged up to 10, promoted with a log up to 4");
    // The former primary is back with its log.
    group.database("a").reachable = true;
    let promoted = group.fail_over(&mut supervisor, 5_000).expect("a database is promoted");
    let log = &group.database(&promoted).log;
    assert!(log.len() > 10, "acknowledged up to 10, {promoted} has {log:?}");
}

// Guards against a cluster that stays without a leader because it waits for a database of an earlier
// list whose log others hold by now.
#[test]
fn a_new_list_is_enough_once_its_majority_holds_the_log() {
    let (mut group, mut monitor, mut supervisor) = replace_a_database();
    group.run_round(&mut monitor, 1_000);
    assert!(!monitor.is_list_settled(), "only a has received position 10");
    group.database("d").log = vec![1; 10];
    group.run_round(&mut monitor, 1_500);
    assert!(monitor.is_list_settled(), "a and d have received position 10");
    supervisor.settle_list();
    group.database("a").reachable = false;
    let promoted = group.fail_over(&mut supervisor, 2_000);
    assert_eq!(promoted.as_deref(), Some("d"), "acknowledged up to 10");
}
