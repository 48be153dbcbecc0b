//! Threads whose end does not go unnoticed.
//!
//! A thread that panics ends without a trace for the rest of the process, which would then wait for
//! its results forever. Here a lasting thread is run again, and a single call has a result in any
//! case.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;
use std::time::Duration;

/// Pause before a lasting thread is run again, so that a permanent fault does not use up the
/// processor.
const RESTART_BACKOFF: Duration = Duration::from_millis(500);

/// Runs `work` on a thread of its own until it returns, and again after each panic. What `work`
/// owns is kept in between, so it must leave that in a usable state at any point.
///
/// # Errors
///
/// Fails if the operating system cannot start a thread.
pub fn spawn_restarting(
    name: &'static str,
    mut work: impl FnMut() + Send + 'static,
) -> io::Result<()> {
    let run = move || {
        while catch_unwind(AssertUnwindSafe(&mut work)).is_err() {
            log::error!("\"event\":\"thread_panicked\",\"thread\":\"{name}\",\"restarted\":true");
            thread::sleep(RESTART_BACKOFF);
        }
    };
    thread::Builder::new().name(name.to_string()).spawn(run).map(|_| ())
}

/// Runs `call` on a thread of its own and delivers its result; delivers `failed` if the call
/// panics or no thread can be started.
///
/// ```
/// let (sender, receiver) = std::sync::mpsc::channel();
/// let deliver = move |result| sender.send(result).unwrap();
/// shell::spawn_call("sum", || 1 + 1, 0, deliver);
/// assert_eq!(receiver.recv(), Ok(2));
/// ```
pub fn spawn_call<T, D>(
    name: &'static str,
    call: impl FnOnce() -> T + Send + 'static,
    failed: T,
    deliver: D,
) where
    T: Clone + Send + 'static,
    D: FnOnce(T) + Clone + Send + 'static,
{
    let (deliver_here, failed_here) = (deliver.clone(), failed.clone());
    let run = move || {
        let result = catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(|_| {
            log::error!("\"event\":\"thread_panicked\",\"thread\":\"{name}\",\"restarted\":false");
            failed
        });
        deliver(result);
    };
    if let Err(error) = thread::Builder::new().name(name.to_string()).spawn(run) {
        let kind = error.kind();
        log::error!(
            "\"event\":\"thread_not_started\",\"thread\":\"{name}\",\"error\":\"{kind:?}\""
        );
        deliver_here(failed_here);
    }
}
