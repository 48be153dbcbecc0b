//! Proof of the leader and changes of primary, in virtual time.

mod support;

use gate::{DatabaseRole, ErrorCode};
use model::{Micros, Term};
use support::{BOUNDED, LATEST, SESSION, World};

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// Reads of current data on every node every 20 ms, as in a steady load.
fn load(world: &mut World, time: Micros) {
    let end = world.now + time;
    let mut turn = 0;
    while world.now < end {
        for gate in 0..world.gates.len() {
            if world.stopped.contains(&gate) {
                continue;
            }
            let session = world.open(gate, LATEST);
            turn += 1;
            world.ask(gate, session, &format!("load{turn}-{}", world.now.0), "READ 1");
            let session = world.open(gate, BOUNDED);
            world.ask(gate, session, &format!("view{turn}-{}", world.now.0), "READ 1");
        }
        world.run(millis(20));
    }
}

#[test]
fn reads_of_current_data_run_at_the_primary_without_a_report_each() {
    let mut world = World::start(3);
    let before = world.databases["b"].reports + world.databases["c"].reports;
    for turn in 0..50 {
        let session = world.open(0, LATEST);
        world.ask(0, session, &format!("r{turn}"), "READ 1");
        world.run(millis(20));
        assert_eq!(world.outcome(session), "served");
        assert!(world.ran_at("a", &format!("r{turn}")));
    }
    let after = world.databases["b"].reports + world.databases["c"].reports;
    assert_eq!(after, before, "the permit proves the primary");
}

#[test]
fn without_the_store_each_read_is_proved_by_a_report_before_it_runs() {
    let mut world = World::start(3);
    world.storeless.insert(0);
    world.run(millis(1_000));
    let before = world.databases["b"].reports + world.databases["c"].reports;
    let session = world.open(0, LATEST);
    world.ask(0, session, "r", "READ 1");
    world.run(millis(40));
    assert_eq!(world.outcome(session), "served");
    let after = world.databases["b"].reports + world.databases["c"].reports;
    assert!(after > before);
}

#[test]
fn a_node_alone_with_the_primary_runs_no_read_there() {
    let mut world = World::start(3);
    world.storeless.insert(0);
    world.cut(0, "b");
    world.cut(0, "c");
    world.run(millis(1_000));
    let session = world.open(0, LATEST);
    world.ask(0, session, "r", "READ 1");
    world.run(millis(1_000));
    assert_eq!(world.outcome(session), ErrorCode::Busy.name());
    assert!(!world.ran_at("a", "r"));
}

#[test]
fn a_dark_primary_is_replaced_and_writes_go_on() {
    let mut world = World::start(4);
    load(&mut world, millis(500));
    world.database("a").dark = true;
    let dark = world.now;
    load(&mut world, millis(2_500));
    let (at, _, number) = world.promotions[0].clone();
    assert_eq!(world.promotions.len(), 1);
    assert_eq!(number, 1);
    assert!(at < dark + millis(1_500), "promoted {} after the failure", at - dark);
    let session = world.open(1, LATEST);
    world.ask(1, session, "w", "WRITE 1 x");
    world.run(millis(50));
    assert_eq!(world.outcome(session), "served");
}

#[test]
fn the_replica_with_the_longest_log_is_promoted() {
    let mut world = World::start(4);
    load(&mut world, millis(300));
    world.database("b").deaf = true;
    for turn in 0..5 {
        let session = world.open(0, LATEST);
        world.ask(0, session, &format!("w{turn}"), "WRITE 1 x");
        world.run(millis(20));
        assert_eq!(world.outcome(session), "served");
    }
    world.database("a").dark = true;
    load(&mut world, millis(2_500));
    assert_eq!(&*world.promotions[0].1, "c");
    assert_eq!(world.databases["c"].received.number, 15);
}

/// A third of the nodes loses the primary, as the nodes of one data centre do in a cut.
#[test]
fn a_third_of_the_nodes_does_not_move_a_primary() {
    let mut world = World::start(6);
    world.cut(0, "a");
    world.cut(1, "a");
    load(&mut world, millis(3_000));
    assert_eq!(world.promotions, []);
    assert!(world.logged("primary_suspected") > 0);
}

/// An announcement is over before one node has heard of the new primary. Its permit is valid all the
/// time, and the old primary still answers it.
#[test]
fn a_permit_does_not_outlive_an_announced_change() {
    let mut world = World::start(4);
    load(&mut world, millis(300));
    // Nodes 1 to 3 lose the primary. Node 0 keeps it, loses the replicas and hears of no list change.
    for gate in 1..4 {
        world.cut(gate, "a");
    }
    world.cut(0, "b");
    world.cut(0, "c");
    world.unlisted_for.insert(0);
    load(&mut world, millis(3_000));
    assert_eq!(world.promotions.len(), 1);
    let session = world.open(1, LATEST);
    world.ask(1, session, "w", "WRITE 1 x");
    world.run(millis(50));
    assert_eq!(world.outcome(session), "served");
    let session = world.open(0, LATEST);
    world.ask(0, session, "late", "READ 1");
    world.run(millis(500));
    assert!(!world.ran_at("a", "late"), "the replaced primary lacks the commit");
}

/// A node that hears of no announcement keeps its permit until its lease is ended.
#[test]
fn a_promotion_waits_for_the_permit_of_a_node_that_did_not_acknowledge() {
    let mut world = World::start(4);
    load(&mut world, millis(300));
    world.unheard.insert(0);
    for gate in 1..4 {
        world.cut(gate, "a");
    }
    let end = world.now + millis(4_000);
    while world.now < end && world.promotions.is_empty() {
        load(&mut world, millis(20));
    }
    let promoted = world.promotions[0].0;
    let ended = world.logs.iter().find(|(_, _, record)| record.event == "lease_ended");
    let (ended, ..) = ended.expect("the lease of node 0 is ended");
    assert!(promoted >= *ended + gate::READ_LEASE_TTL);
}

#[test]
fn fences_of_a_node_that_died_are_lifted() {
    let mut world = World::start(4);
    load(&mut world, millis(300));
    world.database("b").fence = Term(2);
    world.database("c").fence = Term(2);
    for name in ["b", "c"] {
        // Any report shows the fence; here each node asks again for a witness.
        world.unheard.clear();
        world.renewing.clear();
        assert_eq!(world.databases[name].role, DatabaseRole::Replica);
    }
    world.run(millis(1_200));
    world.renewing = (0..4).collect();
    load(&mut world, millis(4_000));
    assert_eq!(world.databases["b"].fence.max(world.databases["c"].fence), Term(0));
    let session = world.open(2, LATEST);
    world.ask(2, session, "w", "WRITE 1 x");
    world.run(millis(50));
    assert_eq!(world.outcome(session), "served");
}

#[test]
fn a_leaving_primary_is_replaced_by_one_that_stays() {
    let mut world = World::start(4);
    load(&mut world, millis(300));
    world.database("a").leaving = true;
    world.database("b").leaving = true;
    world.publish_database("a");
    world.publish_database("b");
    load(&mut world, millis(1_500));
    assert_eq!(&*world.promotions[0].1, "c");
    let session = world.open(0, SESSION);
    world.ask(0, session, "w", "WRITE 1 x");
    world.run(millis(50));
    assert_eq!(world.outcome(session), "served");
}

#[test]
fn a_session_reads_its_own_write_and_lagging_replicas_are_left_out() {
    let mut world = World::start(2);
    load(&mut world, millis(300));
    world.database("b").deaf = true;
    let session = world.open(0, SESSION);
    world.ask(0, session, "w", "WRITE 1 x");
    world.run(millis(30));
    world.ask(0, session, "r", "READ 1");
    world.run(millis(60));
    assert_eq!(world.outcome(session), "served");
    assert!(!world.ran_at("b", "r"));
}

/// The entry of the only replica that holds a commit lapses just before the primary fails.
#[test]
fn a_replica_without_an_entry_still_counts() {
    let mut world = World::start(4);
    load(&mut world, millis(1_000));
    world.database("c").deaf = true;
    let session = world.open(0, LATEST);
    world.ask(0, session, "w", "WRITE 1 x");
    world.run(millis(50));
    assert_eq!(world.outcome(session), "served");
    world.hidden.insert("b".into());
    for gate in 0..4 {
        world.event(gate, gate::GateEvent::DatabaseUnlisted { id: "b".into() });
    }
    world.database("a").dark = true;
    load(&mut world, millis(3_000));
    assert_eq!(&*world.promotions[0].1, "b");
}

/// A node that has just reached the store again may see a list without the entries that lapsed.
#[test]
fn no_change_starts_before_the_list_is_whole_again() {
    let mut world = World::start(4);
    load(&mut world, millis(1_000));
    world.renewing.clear();
    load(&mut world, millis(1_000));
    world.database("a").dark = true;
    world.renewing = (0..4).collect();
    let back = world.now;
    load(&mut world, millis(5_000));
    assert!(world.promotions[0].0 >= back + millis(2_000));
}

/// The primary and the only replica with a commit fail together; the primary returns with its log.
#[test]
fn a_replica_that_lacks_a_known_commit_is_not_promoted() {
    let mut world = World::start(4);
    load(&mut world, millis(1_000));
    world.database("c").deaf = true;
    for gate in 0..4 {
        let session = world.open(gate, LATEST);
        world.ask(gate, session, &format!("w{gate}"), "WRITE 1 x");
        world.run(millis(50));
        assert_eq!(world.outcome(session), "served");
    }
    world.database("a").dark = true;
    world.database("b").dark = true;
    world.hidden.insert("b".into());
    for gate in 0..4 {
        world.event(gate, gate::GateEvent::DatabaseUnlisted { id: "b".into() });
    }
    load(&mut world, millis(7_000));
    assert_eq!(world.promotions, []);
    world.database("a").dark = false;
    load(&mut world, millis(3_000));
    let session = world.open(1, LATEST);
    world.database("c").deaf = false;
    world.ask(1, session, "w", "WRITE 1 x");
    world.run(millis(50));
    assert_eq!(world.outcome(session), "served");
}

/// The primary accepts connections and answers nothing.
#[test]
fn a_primary_that_hangs_is_replaced() {
    let mut world = World::start(4);
    load(&mut world, millis(300));
    world.database("a").hung = true;
    load(&mut world, millis(3_000));
    assert_eq!(world.promotions.len(), 1);
}

/// The primary is cut off from its replicas: it answers reads and reports, and no commit ends.
#[test]
fn a_primary_whose_commits_hang_is_replaced() {
    let mut world = World::start(4);
    load(&mut world, millis(300));
    world.database("b").deaf = true;
    world.database("c").deaf = true;
    for turn in 0..60 {
        for gate in 0..4 {
            let session = world.open(gate, LATEST);
            world.ask(gate, session, &format!("w{turn}-{gate}"), "WRITE 1 x");
        }
        world.run(millis(40));
        if !world.promotions.is_empty() {
            break;
        }
    }
    assert_eq!(world.promotions.len(), 1);
}

/// Commits that hung at the replaced primary say nothing of its successor. The other replica is deaf and
/// lacks commits, so a second change would lose them.
#[test]
fn a_new_primary_is_not_replaced_for_what_hung_at_the_old_one() {
    let mut world = World::start(4);
    load(&mut world, millis(1_000));
    world.database("c").deaf = true;
    for turn in 0..10 {
        let session = world.open(turn % 4, LATEST);
        world.ask(turn % 4, session, &format!("w{turn}"), "WRITE 1 x");
        world.run(millis(20));
        assert_eq!(world.outcome(session), "served");
    }
    world.database("a").dark = true;
    for turn in 0..300 {
        let session = world.open(turn % 4, LATEST);
        world.ask(turn % 4, session, &format!("v{turn}"), "WRITE 1 x");
        if turn == 150 {
            // The old primary's entry is gone for good.
            world.hidden.insert("a".into());
            for gate in 0..4 {
                world.event(gate, gate::GateEvent::DatabaseUnlisted { id: "a".into() });
            }
        }
        world.run(millis(40));
    }
    let promoted: Vec<&str> = world.promotions.iter().map(|(_, name, _)| name.as_str()).collect();
    assert_eq!(promoted, ["b"]);
}

/// A new replica receives commits before it is listed, while the listed ones are being fenced.
#[test]
fn a_replica_that_is_listed_late_is_fenced_and_compared() {
    let mut world = World::start(4);
    load(&mut world, millis(1_000));
    let mut late = world.database("b").clone();
    world.hidden.insert("d".into());
    world.database("a").hung = true;
    while world.logged("takeover_stage") == 0 {
        load(&mut world, millis(20));
    }
    // The fences are set while the new replica takes one more commit.
    world.run(millis(30));
    late.received.number += 5;
    late.ran.clear();
    world.databases.insert("d".into(), late);
    world.run(millis(20));
    world.hidden.clear();
    load(&mut world, millis(2_000));
    assert_eq!(&*world.promotions[0].1, "d");
}

/// One replica is dark: nothing is fenced, so the primary can commit with the other one.
#[test]
fn nothing_is_fenced_while_a_replica_does_not_answer() {
    let mut world = World::start(4);
    load(&mut world, millis(1_000));
    world.database("b").dark = true;
    for gate in 1..4 {
        world.cut(gate, "a");
    }
    load(&mut world, millis(1_500));
    assert!(world.logged("takeover_given_up") > 0);
    assert_eq!(world.databases["c"].fence, Term(0));
    assert_eq!(world.promotions, []);
}

/// All requests of a cluster go through one node. The others see no silence of the primary unless they ask.
#[test]
fn nodes_without_requests_confirm_a_complaint() {
    let mut world = World::start(6);
    let session = world.open(0, LATEST);
    world.ask(0, session, "warm", "READ 1");
    world.run(millis(500));
    world.database("a").dark = true;
    let begun = world.now;
    for turn in 0..150 {
        let session = world.open(0, LATEST);
        world.ask(0, session, &format!("w{turn}"), "WRITE 1 x");
        let session = world.open(0, BOUNDED);
        world.ask(0, session, &format!("r{turn}"), "READ 1");
        world.run(millis(20));
    }
    let promoted = world.promotions.first().expect("the primary is replaced");
    // Two silences of half a second, one after the other, one promotion duty and its steps.
    assert!(promoted.0 - begun < millis(2_000), "after {:?}", promoted.0 - begun);
}
