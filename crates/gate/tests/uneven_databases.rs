//! Databases that answer differently, in virtual time: where reads go that several databases can serve.

mod support;

use gate::SessionId;
use model::Micros;
use support::{BOUNDED, LATEST, SESSION, Simulation};

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// Runs a steady load for a time: every 20 ms a write, and a read on a route with bounded age in
/// `reads` of 10 steps. Calls `each` after every step. Returns the sessions of the reads with the time
/// at which they were sent.
fn run_load(
    simulation: &mut Simulation,
    time: Micros,
    reads: u64,
    text: &str,
    mut each: impl FnMut(&mut Simulation, u64),
) -> Vec<(SessionId, Micros)> {
    let mut sessions = Vec::new();
    let start = simulation.now;
    for step in 0..time.0 / 20_000 {
        let writer = simulation.open(0, LATEST);
        let id = format!("w{}-{step}", start.0);
        simulation.send_request(0, writer, &id, "WRITE 1 x");
        if step * reads % 10 < reads {
            for route in [BOUNDED, SESSION] {
                let session = simulation.open(0, route);
                let id = format!("{route}{}-{step}", start.0);
                simulation.send_request(0, session, &id, text);
                sessions.push((session, simulation.now));
            }
        }
        simulation.run(millis(20));
        each(simulation, step);
    }
    sessions
}

fn start() -> Simulation {
    let mut simulation = Simulation::start(1);
    run_load(&mut simulation, millis(1_000), 2, "READ 1", |_, _| {});
    simulation
}

/// Returns the share of sessions in percent that were served, and that were served within a time.
fn served_percent(
    simulation: &Simulation,
    sessions: &[(SessionId, Micros)],
    limit: Micros,
) -> (usize, usize) {
    let served: Vec<Micros> = sessions
        .iter()
        .filter(|(session, _)| simulation.outcome(*session) == "served")
        .filter_map(|(session, sent)| Some(simulation.answer(*session)?.at - *sent))
        .collect();
    let in_time = served.iter().filter(|time| **time <= limit).count();
    (served.len() * 100 / sessions.len(), in_time * 100 / sessions.len())
}

/// Counts the reads that each database received from now on.
fn reset_reads(simulation: &mut Simulation) {
    for name in ["a", "b", "c"] {
        simulation.database(name).reads = 0;
    }
}

fn reads(simulation: &Simulation) -> [u64; 3] {
    ["a", "b", "c"].map(|name| simulation.databases[name].reads)
}

/// The primary of the busiest cluster executed 2.4 times the mean. Its statements are short, those of
/// the replicas long, so it looked fast and got reads that the replicas could serve.
#[test]
fn long_reads_stay_at_replicas_beside_short_writes_at_the_primary() {
    let mut simulation = start();
    for name in ["a", "b", "c"] {
        simulation.database(name).statement_time = millis(7);
        simulation.database(name).long_statement_time = Some(millis(34));
    }
    run_load(&mut simulation, millis(1_000), 5, "READ long", |_, _| {});
    reset_reads(&mut simulation);
    let sessions = run_load(&mut simulation, millis(4_000), 5, "READ long", |_, _| {});
    simulation.run(millis(800));
    let [primary, ..] = reads(&simulation);
    println!("reads by database {:?}", reads(&simulation));
    assert!(primary * 20 <= sessions.len() as u64, "{:?}", reads(&simulation));
    assert_eq!(served_percent(&simulation, &sessions, millis(400)), (100, 100));
}

/// A replica fails 40% of its requests at once while it answers reports (`srv_grey`). It looked fast,
/// so it got most reads. It is used again some time after it has recovered.
#[test]
fn reads_leave_a_replica_that_fails_requests() {
    let mut simulation = start();
    simulation.database("b").failing_percent = 40;
    run_load(&mut simulation, millis(1_000), 8, "READ 1", |_, _| {});
    reset_reads(&mut simulation);
    let sessions = run_load(&mut simulation, millis(6_000), 8, "READ 1", |_, _| {});
    println!("reads by database {:?} of {}", reads(&simulation), sessions.len());
    assert_eq!(served_percent(&simulation, &sessions, millis(400)), (100, 100));
    let [_, failing, other] = reads(&simulation);
    assert!(failing * 6 <= other, "{:?}", reads(&simulation));
    simulation.database("b").failing_percent = 0;
    run_load(&mut simulation, millis(4_000), 8, "READ 1", |_, _| {});
    reset_reads(&mut simulation);
    run_load(&mut simulation, millis(2_000), 8, "READ 1", |_, _| {});
    let [_, recovered, other] = reads(&simulation);
    assert!(recovered >= other / 2, "{:?}", reads(&simulation));
}

/// A replica is five times slower (`srv_slow`). After a while without reads it was taken for fast, so
/// many reads went there until the first answer, and the following ones to the primary.
#[test]
fn a_slow_replica_is_tried_with_one_read_at_a_time() {
    let mut simulation = start();
    for name in ["a", "b", "c"] {
        simulation.database(name).statement_time = millis(12);
    }
    run_load(&mut simulation, millis(1_000), 7, "READ 1", |_, _| {});
    simulation.database("b").statement_time = millis(60);
    run_load(&mut simulation, millis(600), 7, "READ 1", |_, _| {});
    reset_reads(&mut simulation);
    let sessions = run_load(&mut simulation, millis(6_000), 7, "READ 1", |_, _| {});
    simulation.run(millis(800));
    println!("reads by database {:?}", reads(&simulation));
    let (served, in_time) = served_percent(&simulation, &sessions, millis(100));
    println!("{served}% served, {in_time}% within 100 ms");
    assert_eq!(served, 100);
    assert!(in_time >= 97, "{in_time}% within 100 ms");
    let [primary, ..] = reads(&simulation);
    assert!(primary * 20 <= sessions.len() as u64, "{:?}", reads(&simulation));
}

/// A replica goes down and up with a period of 1.2 s (`srv_flap`).
#[test]
fn reads_leave_a_replica_that_goes_down_and_up() {
    let mut simulation = start();
    let sessions = run_load(&mut simulation, millis(7_200), 8, "READ 1", |simulation, step| {
        simulation.database("b").unreachable = step % 60 < 30;
    });
    simulation.run(millis(800));
    let (served, in_time) = served_percent(&simulation, &sessions, millis(100));
    println!("{served}% served, {in_time}% within 100 ms, reads {:?}", reads(&simulation));
    assert_eq!(served, 100);
    assert!(in_time >= 97, "{in_time}% within 100 ms");
}

/// Clients rest inside transactions at a replica whose slots are free. Guards against a choice that takes
/// them for load, and sends the reads to the other databases.
#[test]
fn idle_transactions_do_not_turn_reads_away() {
    let mut simulation = start();
    simulation.database("c").unreachable = true;
    simulation.run(millis(500));
    for index in 0..4 {
        let session = simulation.open(0, BOUNDED);
        simulation.send_request(0, session, &format!("b{index}"), "BEGIN READ");
        simulation.send_request(0, session, &format!("t{index}"), "READ 1");
        simulation.run(millis(60));
        assert!(simulation.ran_at("b", &format!("t{index}")));
    }
    simulation.database("c").unreachable = false;
    simulation.run(millis(400));
    reset_reads(&mut simulation);
    run_load(&mut simulation, millis(1_600), 8, "READ 1", |_, _| {});
    println!("reads by database {:?}", reads(&simulation));
    let [_, held, other] = reads(&simulation);
    assert!(held * 2 >= other, "{:?}", reads(&simulation));
}
