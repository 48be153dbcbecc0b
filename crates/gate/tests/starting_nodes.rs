//! Nodes that register while a primary is being replaced.
//!
//! A node starts before the failover is announced, and its call that stores the registration is late. So
//! is its watch of the store. The failover has read the lists for the last time and does not wait for it.

mod support;

use gate::{GateEvent, SessionId};
use model::Name;
use support::{LATEST, Simulation, millis};

/// The node that starts.
const STARTING: usize = 3;

/// The changes of role of a node that has become an owner.
const ROLE_CHANGES: u64 = 1;

/// Why the node registers.
#[derive(Clone, Copy, Debug)]
enum LateCause {
    /// Its process has started.
    Started,
    /// Its lease has ended, because it did not acknowledge the announcement.
    LeaseEnded,
}

/// A failover between its last list and the effect of its promotion.
struct LateStart {
    simulation: Simulation,
    chosen: Name,
    /// The replica that has started again and has no fence any more.
    restarted: &'static str,
}

impl LateStart {
    fn new(cause: LateCause) -> LateStart {
        let mut simulation = Simulation::start_with_reads(4);
        simulation.write(0, 3);
        simulation.promotion_delay = millis(1_000);
        for gate in 0..STARTING {
            simulation.cut(gate, "a");
            simulation.open_steady(gate, LATEST);
        }
        simulation.run(millis(300));
        if matches!(cause, LateCause::Started) {
            simulation.start_again(STARTING);
        }
        simulation.store_cut.insert(STARTING);
        simulation.run_until(millis(10_000), "no promotion is called", |simulation| {
            !simulation.promotions.is_empty()
        });
        let chosen = simulation.promotions[0].1.clone();
        let restarted = if &*chosen == "b" { "c" } else { "b" };
        simulation.cut(STARTING, &chosen);
        for replica in ["b", "c"] {
            simulation.lose_connections(replica, millis(1));
        }
        simulation.restart_replica(restarted);
        LateStart { simulation, chosen, restarted }
    }

    /// Stores the registration; the node's watch goes on to be silent.
    fn register(&mut self) -> u64 {
        let simulation = &mut self.simulation;
        simulation.register_again(STARTING);
        let (revision, sent) = (simulation.revision, simulation.now);
        let role_changes = ROLE_CHANGES;
        simulation.event(STARTING, GateEvent::RegistrationLeaseLost);
        simulation.event(STARTING, GateEvent::RegistrationStored { role_changes, revision, sent });
        revision
    }

    fn renew_read_lease(&mut self) {
        let (sent, role_changes) = (self.simulation.now, ROLE_CHANGES);
        self.simulation.event(STARTING, GateEvent::ReadLeaseRenewed { sent, role_changes });
    }

    /// Sends requests at the starting node, whose lease is renewed; returns their sessions and ids.
    fn send(&mut self, text: &str, count: usize) -> Vec<(SessionId, String)> {
        let mut sent = Vec::new();
        for _ in 0..count {
            self.renew_read_lease();
            let id = format!("late{}", self.simulation.now.0);
            let session = self.simulation.open(STARTING, LATEST);
            self.simulation.send_request(STARTING, session, &id, text);
            self.simulation.run(millis(20));
            sent.push((session, id));
        }
        sent
    }
}

/// Guards against commits that the promoted log lacks: the starting node held a read lease without having
/// seen the announcement, and the restarted replica, its first witness, shows no fence.
#[test]
fn commits_of_a_node_that_registers_after_the_last_list_are_not_lost() {
    for cause in [LateCause::Started, LateCause::LeaseEnded] {
        let mut start = LateStart::new(cause);
        start.register();
        let mut writes = Vec::new();
        while start.simulation.promoted_logs.is_empty() {
            writes.extend(start.send("WRITE 1 x", 1));
        }
        let simulation = &start.simulation;
        let end = simulation.promoted_logs[0].2;
        let lost = writes.iter().filter(|(session, id)| {
            let mut ran = simulation.databases["a"].ran.iter();
            let beyond = ran.any(|(other, position)| other.as_str() == id && *position > end);
            beyond && simulation.outcome(*session) == "served"
        });
        let chosen = &start.chosen;
        assert_eq!(lost.count(), 0, "{cause:?}: acknowledged commits beyond {end} at {chosen}");
    }
}

/// Guards against reads of old data in the same state: the read lease extended the proof of the former
/// primary beyond the promotion.
#[test]
fn reads_of_a_node_that_registers_after_the_last_list_are_current() {
    let mut start = LateStart::new(LateCause::Started);
    start.register();
    start.send("READ 1", 20);
    start
        .simulation
        .run_until(millis(2_000), "no effect", |simulation| !simulation.promoted_logs.is_empty());
    // The restarted replica has lost its connections once more, so nobody tells of the new term.
    start.simulation.cut(STARTING, start.restarted);
    start.simulation.run(millis(100));
    let reads = start.send("READ 1", 20);
    for (session, id) in &reads {
        let ran = start.simulation.ran_at("a", id);
        assert!(!ran, "{id} ran at the former primary: {}", start.simulation.outcome(*session));
    }
}

/// Guards against a node that never holds a read lease after it has started.
#[test]
fn a_read_lease_is_valid_once_the_registration_is_followed() {
    let mut start = LateStart::new(LateCause::Started);
    let revision = start.register();
    start.renew_read_lease();
    let held = |start: &LateStart| {
        let permits = start.simulation.logs.iter().filter(|(_, gate, record)| {
            *gate == STARTING
                && record.event == "permit"
                && record.fields.contains(&("held", true.into()))
        });
        permits.count()
    };
    let before = held(&start);
    for (followed, expected) in [(revision - 1, before), (revision, before + 1)] {
        let known_at = start.simulation.now;
        let event = GateEvent::StoreFollowed { revision: followed, known_at };
        start.simulation.event(STARTING, event);
        assert_eq!(held(&start), expected, "at revision {followed} of {revision}");
    }
}
