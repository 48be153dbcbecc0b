//! Threads that panic.

#![allow(clippy::unwrap_used)]

use std::sync::mpsc::channel;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(10);

/// The thread that follows the store would be missed only by what it no longer reports.
#[test]
fn a_lasting_thread_runs_again_after_a_panic() {
    let (sender, receiver) = channel();
    let mut runs = 0;
    let work = move || {
        runs += 1;
        sender.send(runs).unwrap();
        assert!(runs > 2, "an unexpected error");
    };
    shell::spawn_restarting("test", work).unwrap();
    let seen: Vec<i32> = (0..3).map(|_| receiver.recv_timeout(WAIT).unwrap()).collect();
    assert_eq!(seen, [1, 2, 3]);
    assert!(receiver.recv_timeout(WAIT).is_err(), "the thread ends when its work returns");
}

/// A failover waits for the answer to its promotion call.
#[test]
fn a_call_that_panics_has_a_result() {
    let (sender, receiver) = channel();
    let deliver = move |result: &'static str| sender.send(result).unwrap();
    shell::spawn_call("test", || panic!("an unexpected error"), "failed", deliver);
    assert_eq!(receiver.recv_timeout(WAIT).unwrap(), "failed");
}
