//! Which messages the structured log takes.

use log::{Level, log_enabled};

/// Guards against crates whose events are dropped: a node that lost its relay, and a thread that
/// panicked, left no line.
#[test]
fn events_of_all_crates_of_the_gate_are_logged() {
    edge::start_logging().expect("no other logger is installed");
    for target in ["adapter::store", "edge::watch", "relay::follower", "shell::worker"] {
        assert!(log_enabled!(target: target, Level::Info), "{target}");
        assert!(!log_enabled!(target: target, Level::Debug), "{target}");
    }
    for target in ["ureq::run", "tiny_http", "edges"] {
        assert!(!log_enabled!(target: target, Level::Error), "{target} has another format");
    }
}
