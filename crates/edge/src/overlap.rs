//! Watches of the store that overlap, so that none of them has to be answered.
//!
//! A watch may never be answered, because the store was silent when it began or because its connection went silent
//! since. Only its time limit shows this. So the next watch begins after a fixed interval in any case, and the first
//! answer counts.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use relay::ChangeBatch;

use crate::logging::event_line;
use crate::store::{StoreClient, StoreError};

/// Part of the bound for a configuration change that is left for a slow answer: twice as long as one takes in the store's
/// slow phases, 60 times the usual 4 ms.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Longest and shortest time from the beginning of a watch to that of the next one; each counts as a call. The longest
/// also holds where the bound is longer, because followers of a relay hear of a change later than the relay.
const MAX_WATCH_INTERVAL: Duration = Duration::from_millis(2_500);
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a watch still waits after the next one has begun, far longer than a call takes in the store's slow
/// phases. The store tells a waiting watch when it drops its history, and a later one perhaps only at the end of its wait.
const WATCH_OVERLAP: Duration = Duration::from_millis(300);

/// A watch on a thread of its own.
struct RunningWatch {
    number: u64,
    after: u64,
    started: Instant,
}

impl RunningWatch {
    /// Logs what has become of the watch.
    fn log(&self, event: &'static str, outcome: &'static str) {
        let waited_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let fields = vec![
            ("after", self.after.into()),
            ("waited_ms", waited_ms.into()),
            ("outcome", outcome.into()),
        ];
        log::info!("{}", event_line(event, fields));
    }

    /// Returns what the watch has brought, for the log.
    fn outcome_name(&self, result: &Result<ChangeBatch, StoreError>) -> &'static str {
        match result {
            Ok(batch) if batch.next > self.after => "changes",
            Ok(_) => "no changes",
            Err(StoreError::HistoryGone) => "history gone",
            Err(StoreError::EraChanged) => "era changed",
            Err(_) => "failed",
        }
    }
}

/// The result of the watch with a number.
type NumberedResult = (u64, Result<ChangeBatch, StoreError>);

/// The watches that are waiting.
pub(crate) struct OverlappingWatches<S> {
    client: S,
    /// The oldest first; few, because each ends by its time limit.
    running: Vec<RunningWatch>,
    last_number: u64,
    /// Time from the beginning of a watch to that of the next one. A change that a lost watch does not tell of goes
    /// unnoticed for this long.
    interval: Duration,
    sender: Sender<NumberedResult>,
    results: Receiver<NumberedResult>,
}

impl<S: StoreClient> OverlappingWatches<S> {
    /// Creates an object without any watch. `bound` is the time after which a stored configuration has to be in force.
    pub(crate) fn new(client: S, bound: Duration) -> Self {
        let (sender, results) = channel();
        let interval =
            bound.saturating_sub(ANSWER_TIME).clamp(MIN_WATCH_INTERVAL, MAX_WATCH_INTERVAL);
        OverlappingWatches {
            client,
            running: Vec::new(),
            last_number: 0,
            interval,
            sender,
            results,
        }
    }

    /// Gives up all watches; their results are ignored.
    pub(crate) fn stop(&mut self) {
        for watch in self.running.drain(..) {
            watch.log("watch_dropped", "not needed");
        }
    }

    /// Waits for the first result of a watch after a revision, and begins watches as they are due.
    ///
    /// # Errors
    ///
    /// Fails if the watch that ended first did, although others may be waiting.
    pub(crate) fn next(&mut self, after: u64) -> Result<ChangeBatch, StoreError> {
        if self.running.iter().any(|watch| watch.after != after) {
            self.stop();
        }
        loop {
            let due = self.running.last().map(|newest| newest.started + self.interval);
            let left = due.map(|due| due.saturating_duration_since(Instant::now()));
            match self.results.recv_timeout(left.unwrap_or_default()) {
                Ok((number, result)) => {
                    // The results of watches that were given up arrive, too.
                    let index = self.running.iter().position(|watch| watch.number == number);
                    if let Some(index) = index {
                        let watch = self.running.remove(index);
                        watch.log("watch_ended", watch.outcome_name(&result));
                        return result;
                    }
                }
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    self.begin(after);
                }
            }
        }
    }

    fn begin(&mut self, after: u64) {
        if let Some(watch) = self.running.last() {
            watch.log("watch_overlapped", "waiting");
        }
        self.last_number += 1;
        let number = self.last_number;
        let (client, sender) = (self.client.clone(), self.sender.clone());
        let failed = Err(StoreError::Unreachable("the watch did not run".to_string()));
        // Fails only if the watches are dropped as a whole.
        let deliver = move |result| drop(sender.send((number, result)));
        let wait = self.interval + WATCH_OVERLAP;
        shell::spawn_call("watch", move || client.watch(after, wait), failed, deliver);
        self.running.push(RunningWatch { number, after, started: Instant::now() });
    }
}
