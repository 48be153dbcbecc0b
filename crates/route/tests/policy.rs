//! Choice of a database. A wrong choice costs a declined request or needless load on the primary.

use model::{LabelSet, Micros, Name};
use route::{DatabaseHint, RequestPolicy, choose_database};

fn hint(name: &str, data_centre: &str) -> DatabaseHint {
    DatabaseHint {
        database: name.into(),
        data_centre: data_centre.into(),
        leader: name == "db1",
        leaving: false,
        age: None,
        wait: Micros::ZERO,
        excluded: false,
        labels: LabelSet::from_pairs([("disk", "fast")]),
    }
}

fn chosen(policy: &RequestPolicy, read: bool, hints: &[DatabaseHint]) -> Option<String> {
    let choice = choose_database(policy, read, None, &Name::from("dc2"), hints);
    choice.map(|choice| choice.database.to_string())
}

#[test]
fn reads_prefer_replicas_that_can_serve_them() {
    let aged = RequestPolicy { max_age: Micros::from_secs(2), ..RequestPolicy::default() };
    let mut hints = vec![hint("db1", "dc1"), hint("db2", "dc2"), hint("db3", "dc3")];
    assert_eq!(chosen(&aged, false, &hints).as_deref(), Some("db1"));
    assert_eq!(chosen(&aged, true, &hints).as_deref(), Some("db2"));
    assert_eq!(chosen(&RequestPolicy::default(), true, &hints).as_deref(), Some("db1"));
    hints[1].age = Some(Micros::from_secs(3));
    assert_eq!(chosen(&aged, true, &hints).as_deref(), Some("db3"));
    hints[2].excluded = true;
    assert_eq!(chosen(&aged, true, &hints).as_deref(), Some("db1"));
    hints[1].age = Some(Micros::from_secs(1));
    assert_eq!(chosen(&aged, true, &hints).as_deref(), Some("db2"));
    hints[1].wait = Micros::from_millis(60);
    assert_eq!(chosen(&aged, true, &hints).as_deref(), Some("db1"));
    hints[1].wait = Micros::ZERO;
    hints[1].leaving = true;
    assert_eq!(chosen(&aged, true, &hints).as_deref(), Some("db1"));
    hints[1].leaving = false;
    let slow = RequestPolicy { servers: "disk=slow".parse().unwrap(), ..aged };
    assert_eq!(chosen(&slow, true, &hints).as_deref(), Some("db1"));
}

#[test]
fn requests_without_a_leader_have_no_database() {
    let hints = vec![hint("db2", "dc2")];
    assert_eq!(chosen(&RequestPolicy::default(), false, &hints), None);
    assert_eq!(chosen(&RequestPolicy::default(), true, &hints), None);
}
