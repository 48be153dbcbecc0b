//! Relays and followers on loopback sockets.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use model::Micros;
use proptest::prelude::*;
use relay::{
    ChangeBatch, ChangeHistory, ChangeRelay, FollowOutcome, HistoryAnswer, RelayCandidate,
    RelayFollower,
};

fn clock() -> Micros {
    Micros::from_secs(100)
}

fn start_relay() -> (ChangeRelay, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let relay = ChangeRelay::start(listener, clock);
    relay.confirm_contact(clock());
    (relay, address)
}

fn candidate(node: &str, address: SocketAddr, capacity: u32) -> RelayCandidate {
    RelayCandidate { node: node.into(), address, capacity }
}

fn batch(next: u64, text: &str) -> ChangeBatch {
    ChangeBatch { next, body: text.as_bytes().into() }
}

fn next_changes(
    follower: &mut RelayFollower,
    after: u64,
    relays: &[RelayCandidate],
) -> ChangeBatch {
    loop {
        match follower.next(after, relays) {
            FollowOutcome::Changes { batch, .. } => return batch,
            FollowOutcome::Heartbeat { .. } => {}
            FollowOutcome::Unavailable => panic!("no relay is used"),
        }
    }
}

#[test]
fn a_follower_gets_past_and_coming_changes() {
    let (relay, address) = start_relay();
    let relays = [candidate("vm-1", address, 500)];
    relay.restart(10);
    relay.push(batch(12, "first"));
    relay.push(batch(15, "second"));
    let mut follower = RelayFollower::new("vm-2".into());
    assert_eq!(next_changes(&mut follower, 12, &relays), batch(15, "second"));
    relay.push(batch(16, "third"));
    assert_eq!(next_changes(&mut follower, 15, &relays), batch(16, "third"));
}

/// Changes between the follower's revision and the relay's first one would be missed for good.
#[test]
fn a_relay_without_older_changes_is_not_used() {
    let (relay, address) = start_relay();
    relay.restart(10);
    let mut follower = RelayFollower::new("vm-2".into());
    let relays = [candidate("vm-1", address, 500)];
    assert_eq!(follower.next(9, &relays), FollowOutcome::Unavailable);
}

/// A relay that is cut off from the store knows no newer configuration.
#[test]
fn a_relay_without_recent_contact_to_the_store_is_left_for_another() {
    let (first, first_address) = start_relay();
    let (second, second_address) = start_relay();
    first.restart(10);
    second.restart(10);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stale_address = listener.local_addr().unwrap();
    let stale = ChangeRelay::start(listener, clock);
    stale.confirm_contact(Micros::from_secs(90));
    stale.restart(10);
    stale.push(batch(11, "old"));
    second.push(batch(12, "new"));
    let mut follower = RelayFollower::new("vm-9".into());
    let relays = [
        candidate("vm-1", stale_address, 500),
        candidate("vm-2", second_address, 250),
        candidate("vm-3", first_address, 120),
    ];
    assert_eq!(next_changes(&mut follower, 10, &relays), batch(12, "new"));
}

/// The VM of a relay is paused: its connection stays open and silent.
#[test]
fn a_silent_relay_is_left_for_another() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent_address = listener.local_addr().unwrap();
    let (relay, address) = start_relay();
    relay.restart(10);
    relay.push(batch(11, "new"));
    let mut follower = RelayFollower::new("vm-9".into());
    let relays = [candidate("vm-1", silent_address, 500), candidate("vm-2", address, 250)];
    assert_eq!(next_changes(&mut follower, 10, &relays), batch(11, "new"));
}

/// All owners of a data centre are paused at once. Their followers must turn to the store in time
/// for the bound of a configuration change, however many owners there are.
#[test]
fn many_silent_relays_do_not_keep_a_follower_from_the_store() {
    let listeners: Vec<_> = (0..8).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let relays: Vec<_> = listeners
        .iter()
        .enumerate()
        .map(|(index, listener)| {
            candidate(&format!("vm-{index}"), listener.local_addr().unwrap(), 500)
        })
        .collect();
    let mut follower = RelayFollower::new("vm-9".into());
    let started = Instant::now();
    assert_eq!(follower.next(10, &relays), FollowOutcome::Unavailable);
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}

/// A relay that fails to watch the store may have missed changes.
#[test]
fn followers_of_a_relay_that_stops_watching_leave_it() {
    let (relay, address) = start_relay();
    relay.restart(10);
    let mut follower = RelayFollower::new("vm-9".into());
    let relays = [candidate("vm-1", address, 500)];
    assert!(matches!(follower.next(10, &relays), FollowOutcome::Heartbeat { .. }));
    relay.stop();
    assert_eq!(follower.next(10, &relays), FollowOutcome::Unavailable);
}

/// A former relay, such as an owner that became a standby, is not followed any more.
#[test]
fn a_follower_leaves_a_node_that_is_no_candidate() {
    let (relay, address) = start_relay();
    relay.restart(10);
    let mut follower = RelayFollower::new("vm-9".into());
    let relays = [candidate("vm-1", address, 500)];
    assert!(matches!(follower.next(10, &relays), FollowOutcome::Heartbeat { .. }));
    assert_eq!(follower.next(10, &[]), FollowOutcome::Unavailable);
}

/// Malformed requests end only their own connection.
#[test]
fn malformed_requests_leave_the_relay_running() {
    let (relay, address) = start_relay();
    relay.restart(10);
    relay.push(batch(11, "new"));
    for request in ["{\"after\":1e999}\n", "{\"after\":-1}\n", "[[[[[[", "\n", "\u{1}\n"] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0, "{request:?}");
    }
    let mut follower = RelayFollower::new("vm-9".into());
    let relays = [candidate("vm-1", address, 500)];
    assert_eq!(next_changes(&mut follower, 10, &relays), batch(11, "new"));
}

/// Malformed frames must not end the thread that follows the store.
#[test]
fn malformed_frames_leave_the_follower_running() {
    for frame in [
        "{\"next\":1e999,\"contact_age_ms\":0,\"bytes\":1}\n",
        "{\"next\":1,\"contact_age_ms\":0,\"bytes\":18446744073709551615}\n",
        "{\"next\":1,\"contact_age_ms\":0,\"bytes\":9}\nshort",
        "nothing",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            stream.write_all(frame.as_bytes()).unwrap();
        });
        let mut follower = RelayFollower::new("vm-9".into());
        let relays = [candidate("vm-1", address, 500)];
        assert_eq!(follower.next(1, &relays), FollowOutcome::Unavailable, "{frame}");
        server.join().unwrap();
    }
}

#[test]
fn the_slots_of_gone_followers_are_free_again() {
    let (relay, address) = start_relay();
    relay.restart(10);
    let relays = [candidate("vm-1", address, 500)];
    let mut followers: Vec<_> =
        (0..5).map(|index| RelayFollower::new(format!("f{index}").into())).collect();
    for follower in &mut followers {
        assert!(matches!(follower.next(10, &relays), FollowOutcome::Heartbeat { .. }));
    }
    assert_eq!(relay.follower_count(), 5);
    drop(followers);
    let deadline = Instant::now() + Duration::from_secs(10);
    while relay.follower_count() > 0 {
        assert!(Instant::now() < deadline, "{} are left", relay.follower_count());
        thread::sleep(Duration::from_millis(20));
    }
}

/// One relay must not carry the followers of all.
#[test]
fn followers_are_spread_over_the_relays() {
    let relays: Vec<_> = (0..3)
        .map(|index| candidate(&format!("r{index}"), ([127, 0, 0, 1], 9).into(), 500))
        .collect();
    let mut chosen = [0; 3];
    for index in 0..60 {
        let follower = RelayFollower::new(format!("vm-{index}").into());
        let relay = follower.choose(&relays).unwrap();
        chosen[relays.iter().position(|other| other == relay).unwrap()] += 1;
    }
    assert!(chosen.iter().all(|count| (10..=30).contains(count)), "{chosen:?}");
}

proptest! {
    /// A follower at any revision gets every later change, or is told that some are gone.
    #[test]
    fn a_history_never_skips_a_change(
        sizes in proptest::collection::vec(1_usize..400_000, 1..40),
        after in 0_u64..50,
    ) {
        let mut history = ChangeHistory::default();
        history.restart(5);
        let mut next = 5;
        for size in &sizes {
            next += 1;
            history.push(ChangeBatch { next, body: vec![0; *size].into() });
        }
        let kept: usize = sizes.iter().rev().scan(0, |sum, size| {
            *sum += size;
            (*sum <= 4 * 1024 * 1024).then_some(())
        }).count();
        let first_kept = next - kept as u64;
        match history.after(after) {
            HistoryAnswer::Gone => prop_assert!(after < first_kept),
            HistoryAnswer::UpToDate => prop_assert!(after >= next),
            HistoryAnswer::Batches(batches) => {
                let revisions: Vec<u64> = batches.iter().map(|batch| batch.next).collect();
                prop_assert_eq!(revisions, (after + 1..=next).collect::<Vec<_>>());
            }
        }
    }
}
