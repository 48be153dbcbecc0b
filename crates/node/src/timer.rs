//! Timers of sessions and owner requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use admit::RequestId;
use model::Micros;

use crate::id::SessionId;

/// The session or request that a timer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKey {
    Session(SessionId),
    OwnerRequest(RequestId),
}

/// Timers in order of their due times. An entry is not removed when its timer changes: the session or
/// request stores the valid time, and entries with another time are dropped when they reach the top.
#[derive(Debug, Default)]
pub(crate) struct TimerHeap(BinaryHeap<Reverse<(Micros, TimerKey)>>);

impl TimerHeap {
    pub(crate) fn add(&mut self, due: Micros, key: TimerKey) {
        self.0.push(Reverse((due, key)));
    }

    pub(crate) fn first(&self) -> Option<(Micros, TimerKey)> {
        self.0.peek().map(|entry| entry.0)
    }

    pub(crate) fn remove_first(&mut self) {
        self.0.pop();
    }
}
