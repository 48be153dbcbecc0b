//! Fences that end early, in virtual time, and announcements that keep commits of a replaced primary
//! from being reported then.

mod support;

use std::collections::BTreeSet;

use gate::{
    DatabaseRole, GateEvent, LEASE_ACQUIRE_WAIT, LogValue, PROMOTION_LEASE_TTL, SessionId,
    TermPosition,
};
use model::{Micros, Name, Term};
use support::{BOUNDED, LATEST, Simulation, millis};

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

    /// As [`Scene::start`]; [`WRITER`] hears of no announcement.
    fn start_with_unaware_writer() -> Scene {
        let mut scene = Scene::start();
        scene.simulation.documents_cut.insert(WRITER);
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
                let runs =
                    !self.simulation.stopped.contains(&gate) && !self.simulation.is_suspended(gate);
                if !runs || !self.readers.contains(&gate) {
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

    /// Returns how many failovers a node has given up.
    fn given_up(&self, gate: usize) -> usize {
        let logs = self.simulation.logs.iter();
        logs.filter(|(_, by, record)| *by == gate && record.event == "takeover_given_up").count()
    }

    /// Returns true if both replicas are fenced.
    fn is_fenced(&self) -> bool {
        ["b", "c"].iter().all(|name| {
            let database = &self.simulation.databases[*name];
            database.fence > database.term
        })
    }

    /// Returns true if no replica is fenced.
    fn is_unfenced(&self) -> bool {
        self.simulation.databases.values().all(|database| database.fence <= database.term)
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

/// Guards against acknowledged commits that the promoted log lacks: a node that was cut off from the
/// store lifts a fence that the next holder of the promotion lease has compared. It reaches only the
/// replica that the holder does not observe otherwise.
#[test]
fn a_node_that_has_lost_the_promotion_lease_lifts_no_fences() {
    let mut scene = Scene::start_with_unaware_writer();
    scene.cut_primary("a");
    let first = scene.run_until_another_reaches("waiting");
    scene.simulation.store_cut.insert(first);
    // Reads keep its connections to the replicas open.
    scene.readers.insert(first);
    scene.run_until_another_reaches("waiting");
    scene.simulation.cut(first, "b");
    scene.run(millis(840));
    scene.simulation.restore_store(first);
    scene.run(millis(40));
    assert_eq!(scene.given_up(first), 1);
    let fenced = scene.is_fenced();
    let (_, end) = scene.run_until_promotion();
    scene.run(millis(600));
    assert_eq!(scene.served_beyond("a", end), [] as [Name; 0]);
    assert!(fenced, "the fences stay until the promotion");
}

/// As above, with a holder that is suspended for longer than its failover may take.
#[test]
fn a_failover_that_times_out_after_a_suspension_lifts_no_fences() {
    let mut scene = Scene::start_with_unaware_writer();
    scene.cut_primary("a");
    let first = scene.run_until_another_reaches("waiting");
    scene.simulation.suspend(first);
    // The other nodes reach the primary again for a while.
    scene.simulation.cuts.clear();
    scene.run(Micros::from_secs(6));
    scene.cut_primary("a");
    scene.run_until_another_reaches("waiting");
    assert!(scene.is_fenced());
    scene.simulation.resume(first);
    scene.run(millis(20));
    assert_eq!(scene.given_up(first), 1);
    let fenced = scene.is_fenced();
    let (_, end) = scene.run_until_promotion();
    scene.run(millis(600));
    assert_eq!(scene.served_beyond("a", end), [] as [Name; 0]);
    assert!(fenced, "the fences stay until the promotion");
}

/// Time within which another node lifts the fences of a holder of the promotion lease that is gone:
/// the lease, [`FENCE_NOTICE_TIME`], the turn of the last of five nodes (600 ms each), and one second
/// for the calls to the store.
const ABANDONED_FENCE_BOUND: Micros =
    Micros(LEASE_ACQUIRE_WAIT.0 + FENCE_NOTICE_TIME.0 + 3_400_000);

/// Time after which a fence that no announced failover explains is lifted.
const FENCE_NOTICE_TIME: Micros = Micros::from_millis(700);

/// Guards against a replica that stays fenced because nothing reads there: its fence was left by a
/// node that stopped, and commits go on with the other replica.
#[test]
fn a_fence_at_a_replica_without_requests_is_lifted() {
    for replica in ["b", "c"] {
        let mut scene = Scene::start();
        scene.cut_primary("a");
        let first = scene.run_until_another_reaches("waiting");
        scene.simulation.stopped.insert(first);
        let other = if replica == "b" { "c" } else { "b" };
        scene.simulation.restart_replica(other);
        scene.simulation.cuts.clear();
        scene.readers.clear();
        assert!(!scene.is_unfenced());
        scene.run(ABANDONED_FENCE_BOUND);
        assert!(scene.is_unfenced(), "the fence of {replica} stays");
        assert_eq!(scene.simulation.promotions, []);
    }
}

/// As above, with a holder that was suspended and has lost the lease when it gives up.
#[test]
fn fences_that_a_suspended_holder_leaves_are_lifted() {
    let mut scene = Scene::start();
    scene.cut_primary("a");
    let first = scene.run_until_another_reaches("waiting");
    scene.simulation.suspend(first);
    scene.simulation.cuts.clear();
    scene.run(LEASE_ACQUIRE_WAIT);
    scene.simulation.resume(first);
    scene.run(ABANDONED_FENCE_BOUND);
    assert!(scene.is_unfenced());
    assert_eq!(scene.simulation.promotions, []);
    let last = scene.writes.iter().rev().nth(10).expect("there are writes").0;
    assert_eq!(scene.simulation.outcome(last), "served");
}

/// Guards against a fence that takes effect after its failover was given up, because the command was
/// late and its connection is closed.
#[test]
fn a_fence_that_is_set_after_its_failover_was_given_up_is_lifted() {
    let mut scene = Scene::start();
    scene.simulation.late_commands.extend((0..5).map(|gate| ((gate, "c".into()), millis(450))));
    scene.cut_primary("a");
    let first = scene.run_until_another_reaches("probing");
    // The report is sent on a new connection if no read went to this replica before.
    scene.run(millis(40));
    scene.simulation.late_commands.insert((first, "c".into()), millis(2_500));
    scene.run_until_another_reaches("fencing");
    scene.run(millis(260));
    scene.simulation.store_cut.insert(first);
    scene.run_until("abort", |scene| scene.given_up(first) > 0);
    // Later commands overtake those that are late.
    scene.simulation.late_commands.retain(|(gate, _), _| *gate == first);
    scene.simulation.late_commands.insert((first, "c".into()), Micros::ZERO);
    scene.simulation.restore_store(first);
    scene.simulation.cuts.clear();
    scene.readers.clear();
    assert!(scene.simulation.databases["c"].fence <= Term(1));
    scene.run_until("fence", |scene| scene.simulation.databases["c"].fence > Term(1));
    scene.run(ABANDONED_FENCE_BOUND);
    assert!(scene.is_unfenced());
    assert_eq!(scene.simulation.promotions, []);
}

/// Guards against commits that wait for the store to return: a holder that cannot renew the
/// promotion lease lifts its fences while the lease is valid.
#[test]
fn a_holder_that_cannot_renew_the_lease_lifts_its_fences_in_time() {
    let mut scene = Scene::start_with_unaware_writer();
    scene.cut_primary("a");
    scene.run_until_another_reaches("waiting");
    assert!(scene.is_fenced());
    scene.simulation.store_cut.extend(0..5);
    scene.run(PROMOTION_LEASE_TTL);
    assert!(scene.is_unfenced());
}

/// Guards against fences that stay after a failover was given up by the node that holds the
/// promotion lease: the primary could not commit with the fenced replica.
#[test]
fn a_failover_that_is_given_up_lifts_its_fences_at_once() {
    let mut scene = Scene::start();
    // Only `b` receives the last commits, and fails together with the primary.
    scene.simulation.database("c").replication_stopped = true;
    scene.run(millis(200));
    scene.simulation.database("a").unreachable = true;
    scene.simulation.database("b").unreachable = true;
    scene.simulation.unlisted.insert("b".into());
    for gate in 0..5 {
        scene.simulation.event(gate, GateEvent::DatabaseUnlisted { id: "b".into() });
    }
    scene.run_until("fence", |scene| scene.simulation.databases["c"].fence > Term(1));
    let given_up = scene.simulation.logged("takeover_given_up");
    scene.run_until("abort", |scene| scene.simulation.logged("takeover_given_up") > given_up);
    scene.run(millis(20));
    assert!(scene.is_unfenced());
}

/// Guards against acknowledged commits that the promoted log lacks: a node goes on with a failover
/// after it has lost the promotion lease and taken it again. Another holder has lifted the fences in
/// the meantime, and one replica has received commits since it was compared.
#[test]
fn a_failover_is_not_continued_with_the_comparison_of_a_former_lease() {
    let mut scene = Scene::start();
    scene.cut_primary("a");
    let first = scene.run_until_another_reaches("waiting");
    scene.simulation.suspend(first);
    scene.simulation.cuts.clear();
    // The replica that the suspended node observes otherwise receives nothing.
    scene.simulation.database("b").replication_stopped = true;
    scene.run_until("lift", |scene| scene.is_unfenced());
    scene.run(Micros::from_secs(1));
    scene.simulation.late_commands.insert((first, "c".into()), millis(100));
    scene.simulation.resume(first);
    let until = scene.simulation.now + Micros::from_secs(4);
    while scene.simulation.now < until && scene.simulation.promotions.is_empty() {
        scene.run(millis(20));
    }
    // A promotion is allowed, but not of a shorter log.
    for (_, promoted, _) in &scene.simulation.promotions {
        let end = scene.simulation.databases[promoted].received;
        assert_eq!(scene.served_beyond("a", end), [] as [Name; 0]);
    }
}

/// Guards against acknowledged commits that the promoted log lacks: a lift that was sent with the
/// promotion lease arrives after the next holder has compared the logs.
#[test]
fn a_lift_that_arrives_late_does_not_hide_commits() {
    let mut scene = Scene::start_with_unaware_writer();
    scene.cut_primary("a");
    let first = scene.run_until_another_reaches("waiting");
    scene.simulation.store_cut.insert(first);
    scene.simulation.late_commands.insert((first, "c".into()), millis(1_600));
    let second = scene.run_until_another_reaches("waiting");
    assert!(scene.is_fenced());
    // Otherwise the holder might learn of the commits by chance.
    scene.simulation.late_commands.insert((second, "c".into()), millis(600));
    let received = scene.simulation.databases["c"].received;
    let (_, end) = scene.run_until_promotion();
    scene.run(millis(200));
    assert!(scene.simulation.databases["c"].received > received, "the lift took effect");
    assert_eq!(scene.served_beyond("a", end), [] as [Name; 0]);
}

/// Guards against a fence that ends after it was compared: a node that lifts stale fences is
/// suspended, and gets the list for which it waited after another node has taken the lease.
#[test]
fn stale_fences_are_not_lifted_after_the_lease_has_ended() {
    let mut scene = Scene::start_with_unaware_writer();
    scene.cut_primary("a");
    let first = scene.run_until_another_reaches("waiting");
    scene.simulation.stopped.insert(first);
    scene.simulation.cuts.clear();
    scene.simulation.store_read_time = millis(60);
    let second = scene.run_until_another_reaches("listing");
    scene.simulation.suspend(second);
    scene.simulation.store_read_time = millis(5);
    scene.cut_primary("a");
    scene.run_until_another_reaches("waiting");
    assert!(scene.is_fenced());
    scene.simulation.resume_with_deliveries(second);
    scene.run(millis(20));
    assert!(scene.is_fenced());
}
