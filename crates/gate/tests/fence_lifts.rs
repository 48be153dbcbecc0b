//! Fences that end early, in virtual time, and announcements that keep commits of a replaced primary
//! from being reported then.

mod support;

use std::collections::BTreeSet;

use gate::{DatabaseRole, LogValue, SessionId, TermPosition};
use model::{Micros, Name};
use support::{BOUNDED, LATEST, Simulation};

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// The node that writes. It reaches the primary throughout.
const WRITER: usize = 4;

/// A cluster under load whose primary all nodes but [`WRITER`] lose.
struct Scene {
    simulation: Simulation,
    writes: Vec<(SessionId, Name)>,
    turn: u64,
    /// Nodes with reads. A node that reads at a replica learns the position of its log; the owners of
    /// a large deployment other than the first one send none.
    readers: BTreeSet<usize>,
}

impl Scene {
    /// Starts five nodes.
    fn start() -> Scene {
        let simulation = Simulation::start(5);
        let mut scene =
            Scene { simulation, writes: Vec::new(), turn: 0, readers: (0..5).collect() };
        scene.run(millis(500));
        scene
    }

    /// Cuts all nodes but [`WRITER`] off from the primary. They read for as long as the primary is
    /// not suspected.
    fn cut_primary(&mut self, primary: &str) {
        for gate in 0..WRITER {
            self.simulation.cut(gate, primary);
        }
        self.run(millis(300));
        self.readers = BTreeSet::from([WRITER]);
    }

    /// Runs with reads on each node and one write on [`WRITER`] every 20 ms.
    fn run(&mut self, time: Micros) {
        let end = self.simulation.now + time;
        while self.simulation.now < end {
            for gate in 0..self.simulation.gates.len() {
                if self.simulation.stopped.contains(&gate) || !self.readers.contains(&gate) {
                    continue;
                }
                for route in [LATEST, BOUNDED] {
                    self.send(gate, route, "READ 1");
                }
            }
            let write = self.send(WRITER, LATEST, "WRITE 1 x");
            self.writes.push(write);
            self.simulation.run(millis(20));
        }
    }

    fn send(&mut self, gate: usize, route: &str, text: &str) -> (SessionId, Name) {
        self.turn += 1;
        let (session, id) = (self.simulation.open(gate, route), format!("q{}", self.turn));
        self.simulation.send_request(gate, session, &id, text);
        (session, id.into())
    }

    /// Runs until a condition holds.
    fn run_until(&mut self, what: &str, condition: impl Fn(&Scene) -> bool) {
        let end = self.simulation.now + Micros::from_secs(20);
        while !condition(self) {
            assert!(self.simulation.now < end, "not within 20 s: {what}");
            self.run(millis(20));
        }
    }

    /// Returns the nodes that are or were at a stage of a failover.
    fn at_stage(&self, stage: &'static str) -> BTreeSet<usize> {
        let stages = self.simulation.logs.iter().filter(|(_, _, record)| {
            let reached = LogValue::from(stage);
            record.event == "takeover_stage"
                && record.fields.iter().any(|(name, value)| *name == "stage" && *value == reached)
        });
        stages.map(|(_, gate, _)| *gate).collect()
    }

    /// Runs until a node that was not at a stage of a failover reaches it; returns that node.
    fn run_until_another_reaches(&mut self, stage: &'static str) -> usize {
        let before = self.at_stage(stage);
        self.run_until(stage, |scene| scene.at_stage(stage) != before);
        *self.at_stage(stage).difference(&before).next().expect("one has reached it")
    }

    /// Runs until a promotion is called; returns the promoted database and the end of its log.
    fn run_until_promotion(&mut self) -> (Name, TermPosition) {
        let before = self.simulation.promotions.len();
        self.run_until("promotion", |scene| scene.simulation.promotions.len() > before);
        let promoted = self.simulation.promotions[before].1.clone();
        let end = self.simulation.databases[&promoted].received;
        (promoted, end)
    }

    /// Returns the writes reported as successful that ran at a primary beyond a position of its log.
    fn served_beyond(&self, primary: &str, end: TermPosition) -> Vec<Name> {
        let ran = &self.simulation.databases[primary].ran;
        let served = self.writes.iter().filter(|(session, id)| {
            self.simulation.outcome(*session) == "served"
                && ran.iter().any(|(other, position)| other == id && *position > end)
        });
        served.map(|(_, id)| id.clone()).collect()
    }
}

/// Guards against the end of every node's lease when a failover is announced again, by the next
/// holder of the promotion lease: nodes that had seen the first announcement acknowledged no other.
#[test]
fn the_announcement_of_the_next_holder_is_acknowledged() {
    let mut scene = Scene::start();
    scene.cut_primary("a");
    let first = scene.run_until_another_reaches("waiting");
    scene.simulation.stopped.insert(first);
    scene.run_until_another_reaches("waiting");
    scene.run_until_promotion();
    let ended = scene.simulation.logs.iter().filter(|(_, _, record)| record.event == "lease_ended");
    let ended: BTreeSet<String> =
        ended.map(|(_, _, record)| format!("{:?}", record.fields[0].1)).collect();
    let dead = format!("{:?}", LogValue::from(&scene.simulation.names[first]));
    assert_eq!(ended, BTreeSet::from([dead]), "only the stopped node cannot acknowledge");
}

/// Guards against acknowledged commits that the promoted log lacks: a holder of the promotion lease
/// stops after a promotion, and the next one replaces the new primary under an announcement of the
/// same cluster. A replica that has lost its fence by a restart lets that primary commit.
#[test]
fn commits_of_a_new_primary_are_withheld_when_it_is_replaced_in_turn() {
    let mut scene = Scene::start();
    scene.cut_primary("a");
    let (promoted, end) = scene.run_until_promotion();
    let (_, first, _) = scene
        .simulation
        .logs
        .iter()
        .rfind(|log| log.2.event == "promote_sent")
        .cloned()
        .expect("a promotion was ordered");
    scene.simulation.stopped.insert(first);
    scene.run(millis(400));
    // The old primary follows the new one.
    let term = scene.simulation.databases[&promoted].term;
    let old = scene.simulation.database("a");
    (old.role, old.term, old.received) = (DatabaseRole::Replica, term, end);
    scene.simulation.cuts.clear();
    scene.readers = (0..5).collect();
    scene.run(millis(200));
    scene.cut_primary(&promoted);
    scene.run(millis(300));
    // These two do not withdraw the abandoned announcement before the next holder renews it.
    scene.simulation.store_cut.extend([0, WRITER]);
    let started = scene.simulation.logged("takeover_started");
    scene.run_until("takeover", |scene| scene.simulation.logged("takeover_started") > started);
    for gate in [0, WRITER] {
        scene.simulation.restore_store(gate);
    }
    let (second, end) = scene.run_until_promotion();
    let other = if &*second == "a" { "c" } else { "a" };
    scene.simulation.restart_replica(other);
    scene.run(millis(600));
    let ran = &scene.simulation.databases[&promoted].ran;
    assert!(ran.iter().any(|(_, position)| *position <= end), "the new primary was used");
    assert_eq!(scene.served_beyond(&promoted, end), [] as [Name; 0]);
}
