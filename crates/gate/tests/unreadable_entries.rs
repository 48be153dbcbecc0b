//! Entries in the list of databases that name none.

mod support;

use gate::{GateEvent, UnreadableEntry};
use support::{LATEST, Simulation, millis};

fn write_unreadable(simulation: &mut Simulation, id: &str, reason: &str) {
    for gate in 0..simulation.gates.len() {
        let entry = UnreadableEntry { id: id.into(), reason: reason.into() };
        simulation.event(gate, GateEvent::DatabaseUnreadable(entry));
    }
}

/// Guards against a log that another writer fills with one line for each ping, and against an entry
/// whose fault no line shows.
#[test]
fn an_unreadable_entry_is_logged_once_for_each_change() {
    let mut simulation = Simulation::start(1);
    for reason in ["missing field `version`", "missing field `version`", "missing field `born`"] {
        write_unreadable(&mut simulation, "other", reason);
    }
    assert_eq!(simulation.logged("database_unreadable"), 2);
    assert_eq!(simulation.counters["database_entries_unreadable"], 3);
    simulation.event(0, GateEvent::DatabaseUnlisted { id: "other".into() });
    write_unreadable(&mut simulation, "other", "missing field `born`");
    assert_eq!(simulation.logged("database_unreadable"), 3, "it was gone in between");
    for number in 0..1_000 {
        write_unreadable(&mut simulation, &format!("other-{number}"), "missing field `born`");
    }
    assert!(simulation.logged("database_unreadable") < 50, "the log is bounded");
}

/// Guards against a database that stays in use, or is lost for good, because its entry was overwritten
/// for a while.
#[test]
fn a_database_whose_entry_is_unreadable_for_a_while_is_used_again() {
    let mut simulation = Simulation::start_with_reads(4);
    simulation.unlisted.insert("b".into());
    write_unreadable(&mut simulation, "b", "missing field `service`");
    simulation.run_with_reads(&[LATEST], millis(6_000));
    assert_eq!(simulation.connection_count("b"), 0, "an unlisted database is removed");
    simulation.unlisted.clear();
    simulation.publish_database("b");
    simulation.run_with_reads(&[LATEST], millis(8_000));
    simulation.fail_database("c");
    simulation.database("a").unreachable = true;
    simulation.run_with_reads(&[LATEST], millis(12_000));
    assert_eq!(simulation.promotions.last().map(|(_, name, _)| &**name), Some("b"));
}
