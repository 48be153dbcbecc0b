//! Commands of failovers on connections whose answers are lost, in virtual time.

mod support;

use gate::ClientReply;
use support::{BOUNDED, LATEST, Simulation, millis};

/// Marks the primary as leaving, and the answers to all statements as lost.
fn leave_with_lost_answers(simulation: &mut Simulation) {
    for name in ["a", "b", "c"] {
        simulation.database(name).loses_answers = true;
    }
    simulation.database("a").leaving = true;
    simulation.publish_database("a");
}

/// Guards against an answer to `DEMOTE` that is taken for the answer to a write whose own answer
/// was lost: it says that the write ran. The primary refuses further connections, so that all open
/// ones carry writes; the failover goes on without the demotion.
#[test]
fn an_answer_to_a_demotion_is_not_assigned_to_a_write() {
    let mut simulation = Simulation::start_with_reads(4);
    leave_with_lost_answers(&mut simulation);
    simulation.database("a").connections_refused = true;
    let sessions: Vec<_> = (0..40)
        .map(|index| {
            let session = simulation.open(index % 4, LATEST);
            simulation.send_request(index % 4, session, &format!("w{index}"), "WRITE 1 x");
            session
        })
        .collect();
    simulation.run(millis(700));
    assert_eq!(simulation.logged("commit_withheld"), 0, "an answer was assigned to a write");
    assert_eq!(simulation.promotions.len(), 1, "the commands do not wait for the writes");
    for session in sessions {
        assert_ne!(simulation.outcome(session), "served", "no answer has arrived");
    }
}

/// Guards against reports that answer `FENCE` and are taken for the rows of a read whose answer was
/// lost, and against commands that wait behind the load.
#[test]
fn answers_to_fences_are_not_assigned_to_reads() {
    let mut simulation = Simulation::start(4);
    simulation.run_with_reads(&[LATEST, BOUNDED], millis(1_000));
    leave_with_lost_answers(&mut simulation);
    simulation.run_with_reads(&[LATEST, BOUNDED], millis(1_500));
    assert_eq!(simulation.promotions.len(), 1, "the commands are sent ahead of the reads");
    for answered in &simulation.answers {
        if let ClientReply::Done { rows, .. } = &answered.reply {
            assert!(!rows.is_empty(), "a read got the answer to another command");
        }
    }
}
