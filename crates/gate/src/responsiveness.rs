//! How well databases answer, for the choice among those that can serve a read.
//!
//! Requests of different routes take different times, and a primary serves another mix of them than
//! its replicas. An answer is therefore compared with the usual time of its route in the cluster. A
//! database that fails requests often answers them quickly, so failures count apart.
//!
//! Without traffic nothing new is learned about a database. Its slowness and its failures are forgotten
//! with time, so that it is tried again: slowness only for one request at a time until it answers, and
//! failures slowly, so that its load returns step by step.

use model::{FastMap, Micros, Name};

/// Slowness of a database that answers as usual.
const USUAL_PERCENT: u64 = 100;

/// Time in which slowness without new answers halves.
const SLOWNESS_HALF_LIFE: Micros = Micros::from_millis(400);

/// Time in which the share of failures without new answers halves. Databases that go down and up with
/// a period of about a second stay avoided over several periods.
const FAILURE_HALF_LIFE: Micros = Micros::from_millis(1_000);

/// Upper limit of the share of failures in thousandths; it bounds the weight.
const FAILURE_SHARE_MAX: u64 = 900;

/// Minimum usual time; differences below it come from the network.
const USUAL_TIME_MIN: Micros = Micros::from_millis(2);

/// Divisor of the smoothing of usual times: they change slowly compared with a slow phase of one
/// database.
const USUAL_TIME_SMOOTHING: u64 = 64;

/// Usual times of the routes of a cluster from sending a statement to its answer, over all databases.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsualTimes(FastMap<Name, Micros>);

impl UsualTimes {
    pub(crate) fn observe(&mut self, route: &Name, sample: Micros) {
        let usual = self.0.entry(route.clone()).or_insert(sample);
        let rest = usual.0 - usual.0 / USUAL_TIME_SMOOTHING;
        *usual = Micros(rest + sample.0 / USUAL_TIME_SMOOTHING);
    }

    pub(crate) fn get(&self, route: &Name) -> Micros {
        self.0.get(route).copied().unwrap_or_default().max(USUAL_TIME_MIN)
    }
}

/// Smoothed slowness and failures of one database.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Responsiveness {
    /// Time of answers in percent of the usual time, including the database's own queue.
    slowness: u64,
    answered: Micros,
    /// Share of failed requests in thousandths.
    failures: u64,
    failures_updated: Micros,
}

impl Default for Responsiveness {
    fn default() -> Self {
        Responsiveness {
            slowness: USUAL_PERCENT,
            answered: Micros::ZERO,
            failures: 0,
            failures_updated: Micros::ZERO,
        }
    }
}

impl Responsiveness {
    /// Adds the time of an answer. Slowness rises faster than it falls, so that a growing queue takes
    /// effect at once.
    pub(crate) fn observe_time(&mut self, now: Micros, sample: Micros, usual: Micros) {
        let ratio = sample.0.saturating_mul(USUAL_PERCENT) / usual.0.max(1);
        let current = self.decayed_slowness(now);
        self.slowness = if ratio > current {
            current + (ratio - current) / 4
        } else {
            current - (current - ratio) / 8
        };
        self.answered = now;
    }

    /// Adds the outcome of a request. One failure has the weight of four answers.
    pub(crate) fn observe_outcome(&mut self, now: Micros, failed: bool) {
        let current = self.failure_share(now);
        self.failures = if failed {
            (current + (1_000 - current) / 4).min(FAILURE_SHARE_MAX)
        } else {
            current - current.div_ceil(16)
        };
        self.failures_updated = now;
    }

    /// Returns the slowness in percent that a further request meets, with `in_flight` others. A request
    /// that tries whether the database is still slow is followed by others only once it is answered.
    pub(crate) fn slowness(&self, now: Micros, in_flight: u32) -> u64 {
        if in_flight == 0 { self.decayed_slowness(now) } else { self.slowness }.max(1)
    }

    /// Returns the share of failures in thousandths.
    pub(crate) fn failure_share(&self, now: Micros) -> u64 {
        let idle = now.saturating_sub(self.failures_updated).0 / FAILURE_HALF_LIFE.0;
        self.failures >> idle.min(20)
    }

    /// Returns the weight in percent of the expected time at a database that fails requests. It grows
    /// with the fourth power of the tries that a request needs, because a failure also costs the time
    /// until it is noticed.
    pub(crate) fn failure_weight_percent(&self, now: Micros) -> u64 {
        let succeeded = 1_000 - self.failure_share(now);
        let squared = succeeded * succeeded / 1_000;
        100 * 1_000 * 1_000 / (squared * squared).max(1)
    }

    fn decayed_slowness(&self, now: Micros) -> u64 {
        let idle = now.saturating_sub(self.answered).0 / SLOWNESS_HALF_LIFE.0;
        let excess = self.slowness.saturating_sub(USUAL_PERCENT);
        self.slowness - excess + (excess >> idle.min(20))
    }
}
