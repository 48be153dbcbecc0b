//! Evidence that a primary leads.

use gate::{DatabaseReport, DatabaseRole, LeadEvidence, LogPoint};
use model::{Micros, Name, Term};

fn report(role: DatabaseRole, term: u64, number: u64) -> DatabaseReport {
    DatabaseReport {
        role,
        term: Term(term),
        received: LogPoint { term: Term(term), number },
        fence: Term(0),
        lag: Micros::ZERO,
        connections: 1,
    }
}

/// A replaced primary makes itself a replica once it reaches its successor, and may report so before it
/// reports the new term. That proves nothing of its own term: it was over already.
#[test]
fn a_former_primary_is_no_witness_of_its_own_term() {
    let (old, replica) = (Name::from("a"), Name::from("b"));
    let mut evidence = LeadEvidence::default();
    evidence.report(&old, Micros(10), &report(DatabaseRole::Primary, 1, 5));
    evidence.report(&replica, Micros(20), &report(DatabaseRole::Replica, 1, 5));
    assert!(evidence.proves(&old, Micros(20)));
    // A position seen while the node was alone with the old primary.
    let point = LogPoint { term: Term(1), number: 9 };
    evidence.point_seen(&old, Micros(500_000), point);
    evidence.report(&old, Micros(600_000), &report(DatabaseRole::Replica, 1, 9));
    assert_eq!(evidence.leader(), None);
    assert_eq!(evidence.sample(Micros(400_000)), None, "the position is not proved");
    assert!(evidence.confirmed_at() < Some(Micros(500_000)));
    evidence.report(&replica, Micros(700_000), &report(DatabaseRole::Replica, 2, 7));
    evidence.report(&replica, Micros(700_000), &report(DatabaseRole::Primary, 2, 7));
    assert_eq!(evidence.leader(), Some(&replica));
}
