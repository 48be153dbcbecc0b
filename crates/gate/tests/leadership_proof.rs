//! Proof that a primary leads.

use gate::{DatabaseReport, DatabaseRole, LeadershipProof, TermPosition};
use model::{Micros, Name, Term};

fn report(role: DatabaseRole, term: u64, position: u64) -> DatabaseReport {
    DatabaseReport {
        role,
        term: Term(term),
        received: TermPosition { term: Term(term), position },
        fence: Term(0),
        lag: Micros::ZERO,
        connections: 1,
    }
}

/// A replaced primary becomes a replica when it reaches the new one, and may report so before it
/// reports the new term. That report proves nothing about its own term, which has already ended.
#[test]
fn a_former_primary_does_not_prove_its_own_term() {
    let (old, replica) = (Name::from("a"), Name::from("b"));
    let mut proof = LeadershipProof::default();
    proof.observe_report(&old, Micros(10), &report(DatabaseRole::Primary, 1, 5));
    proof.observe_report(&replica, Micros(20), &report(DatabaseRole::Replica, 1, 5));
    assert!(proof.proves(&old, Micros(20)));
    // A position that the node saw while it reached only the old primary.
    let position = TermPosition { term: Term(1), position: 9 };
    proof.observe_leader_position(&old, Micros(500_000), position);
    proof.observe_report(&old, Micros(600_000), &report(DatabaseRole::Replica, 1, 9));
    assert_eq!(proof.leader(), None);
    assert_eq!(proof.proved_position(Micros(400_000)), None, "the position is not proved");
    assert!(proof.confirmed_at() < Some(Micros(500_000)));
    proof.observe_report(&replica, Micros(700_000), &report(DatabaseRole::Replica, 2, 7));
    proof.observe_report(&replica, Micros(700_000), &report(DatabaseRole::Primary, 2, 7));
    assert_eq!(proof.leader(), Some(&replica));
}

/// Guards against a report of a former process that arrives after the database was seen to have
/// started again: it would name a database without its log as the primary. A later report counts.
#[test]
fn a_late_report_of_a_former_process_does_not_restore_its_leadership() {
    let (primary, replica) = (Name::from("a"), Name::from("b"));
    let mut proof = LeadershipProof::default();
    proof.observe_report(&primary, Micros(10), &report(DatabaseRole::Primary, 1, 5));
    assert!(proof.observe_restart(&primary, Micros(30)));
    proof.observe_report(&primary, Micros(20), &report(DatabaseRole::Primary, 1, 5));
    proof.observe_report(&replica, Micros(40), &report(DatabaseRole::Replica, 1, 5));
    assert_eq!(proof.leader(), None);
    assert!(!proof.observe_restart(&replica, Micros(50)), "a replica does not lead");
    proof.observe_report(&primary, Micros(60), &report(DatabaseRole::Primary, 2, 7));
    assert_eq!(proof.leader(), Some(&primary));
}
