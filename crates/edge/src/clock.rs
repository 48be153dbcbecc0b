//! The clock of the times that are passed to the gate.

use model::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Reads the monotonic clock that includes time for which the VM was suspended.
pub(crate) fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Micros(seconds * 1_000_000 + nanos / 1_000)
}
