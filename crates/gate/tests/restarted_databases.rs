//! Databases that start again under their id with an empty log, in virtual time.

mod support;

use gate::{ClientReply, TermPosition};
use support::{LATEST, Simulation, millis};

/// Runs reads of current data for 500 ms after the primary has started again, and asserts that none
/// of them was answered from its empty log.
fn assert_no_stale_read(simulation: &mut Simulation, acknowledged: TermPosition) {
    let restarted = simulation.now;
    let ran_before = simulation.databases["a"].ran.len();
    simulation.run_with_reads(&[LATEST], millis(500));
    let answers = simulation.answers.iter().filter(|answered| answered.at > restarted);
    let stale = answers.filter(|answered| match &answered.reply {
        ClientReply::Done { rows, .. } => rows.iter().any(|row| row == "0.0"),
        ClientReply::Failed { .. } => false,
    });
    assert_eq!(stale.count(), 0, "reads lack commits up to {acknowledged}");
    let ran = &simulation.databases["a"].ran[ran_before..];
    assert!(ran.is_empty(), "{} reads ran at the restarted database", ran.len());
}

/// Guards against reads at a primary that has started again with an empty log, while the read lease
/// goes on to prove its term. The entry shows the restart before the connections are lost.
#[test]
fn a_restarted_primary_is_not_read_after_its_entry_shows_the_restart() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&[LATEST], millis(500));
    let acknowledged = simulation.write(0, 5);
    simulation.start_database_anew("a", millis(5));
    simulation.publish_database("a");
    simulation.run(millis(2));
    assert_no_stale_read(&mut simulation, acknowledged);
}

/// As above, at nodes that reach the database again before they see its new entry: its position is
/// lower than the one that it had shown before the connection was requested.
#[test]
fn a_restarted_primary_is_not_read_after_its_position_went_back() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&[LATEST], millis(500));
    let acknowledged = simulation.write(0, 5);
    simulation.start_database_anew("a", millis(1));
    assert_no_stale_read(&mut simulation, acknowledged);
}

/// Guards against a former primary that is ignored for good: it receives the log again, is promoted,
/// and is read.
#[test]
fn a_restarted_primary_can_lead_again() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&[LATEST], millis(500));
    simulation.write(0, 5);
    simulation.start_database_anew("a", millis(1));
    simulation.publish_database("a");
    simulation.run_with_reads(&[LATEST], millis(4_000));
    assert_eq!(simulation.promotions.len(), 1, "a database with the log is promoted");
    let leader = simulation.promotions[0].1.clone();
    let received = simulation.databases[&leader].received;
    simulation.database("a").received = received;
    simulation.database(&leader).leaving = true;
    simulation.publish_database(&leader);
    simulation.run_with_reads(&[LATEST], millis(4_000));
    assert_eq!(simulation.promoted_databases().last(), Some(&"a"));
    let session = simulation.open(0, LATEST);
    simulation.send_request(0, session, "again", "READ 1");
    simulation.run(millis(50));
    assert_eq!(simulation.outcome(session), "served");
    assert!(simulation.ran_at("a", "again"));
}
