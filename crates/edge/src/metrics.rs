//! Counters and latency histograms, and the HTTP addresses for readiness and metrics.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use tiny_http::{Response, Server};

/// Largest value of a histogram: one minute, far beyond any time limit.
const LARGEST_MICROS: u64 = 60_000_000;

/// Time that a request for a dump waits for the event loop, in parts. The loop looks every 20 ms.
const DUMP_WAIT: Duration = Duration::from_millis(10);
const DUMP_WAITS: u32 = 50;

/// Prefix of the metrics' names.
const METRIC_PREFIX: &str = "cicadawick";

/// What the HTTP threads read.
#[derive(Debug, Default)]
pub(crate) struct SharedStatus {
    ready: AtomicBool,
    metrics: Mutex<String>,
    /// A state dump was asked for and is not written yet.
    dump_wanted: AtomicBool,
    dump: Mutex<String>,
}

impl SharedStatus {
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Tells whether a dump is wanted.
    pub(crate) fn wants_dump(&self) -> bool {
        self.dump_wanted.load(Ordering::Acquire)
    }

    pub(crate) fn set_dump(&self, text: String) {
        *self.dump.lock().unwrap_or_else(PoisonError::into_inner) = text;
        self.dump_wanted.store(false, Ordering::Release);
    }

    /// Asks the event loop for a dump and waits for it.
    fn dump(&self) -> Option<String> {
        self.dump_wanted.store(true, Ordering::Release);
        for _ in 0..DUMP_WAITS {
            std::thread::sleep(DUMP_WAIT);
            if !self.wants_dump() {
                return Some(self.dump.lock().unwrap_or_else(PoisonError::into_inner).clone());
            }
        }
        None
    }

    fn set_metrics(&self, text: String) {
        *self.metrics.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }
}

/// The metrics of one process.
#[derive(Debug, Default)]
pub(crate) struct MetricSet {
    counters: BTreeMap<&'static str, u64>,
    histograms: BTreeMap<&'static str, Histogram<u64>>,
}

impl MetricSet {
    pub(crate) fn add(&mut self, counter: &'static str, amount: u64) {
        *self.counters.entry(counter).or_default() += amount;
    }

    pub(crate) fn observe(&mut self, name: &'static str, micros: u64) {
        if !self.histograms.contains_key(name) {
            // Two digits keep the quantiles within 1%.
            let Ok(histogram) = Histogram::new_with_bounds(1, LARGEST_MICROS, 2) else { return };
            self.histograms.insert(name, histogram);
        }
        if let Some(histogram) = self.histograms.get_mut(name) {
            histogram.saturating_record(micros.max(1));
        }
    }

    /// Renders all metrics as text, one a line.
    pub(crate) fn publish(&self, status: &SharedStatus, gauges: &[(&str, u64)]) {
        let mut text = String::new();
        for (name, value) in &self.counters {
            let _ = writeln!(text, "{METRIC_PREFIX}_{name}_total {value}");
        }
        for (name, value) in gauges {
            let _ = writeln!(text, "{METRIC_PREFIX}_{name} {value}");
        }
        for (name, histogram) in &self.histograms {
            for quantile in [0.5, 0.9, 0.99, 0.999] {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "{METRIC_PREFIX}_{name}_micros{{quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(text, "{METRIC_PREFIX}_{name}_micros_count {}", histogram.len());
        }
        status.set_metrics(text);
    }
}

/// Serves an address on a thread: `ready_path` answers 200 or 503, `/dump` the state as JSON, everything else is
/// the metrics page.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) fn serve(
    address: SocketAddr,
    ready_path: &'static str,
    status: Arc<SharedStatus>,
) -> anyhow::Result<()> {
    let server = Server::http(address)
        .map_err(|error| anyhow::anyhow!("failed to listen on {address}: {error}"))?;
    std::thread::spawn(move || {
        for request in server.incoming_requests() {
            let response = if request.url() == ready_path {
                let ready = status.ready.load(Ordering::Acquire);
                Response::from_string("").with_status_code(if ready { 200 } else { 503 })
            } else if request.url() == "/dump" {
                match status.dump() {
                    Some(dump) => Response::from_string(dump),
                    None => Response::from_string("the event loop does not answer")
                        .with_status_code(503),
                }
            } else {
                let metrics = status.metrics.lock().unwrap_or_else(PoisonError::into_inner);
                Response::from_string(metrics.as_str())
            };
            if let Err(error) = request.respond(response) {
                // A prober that went away loses only its own answer.
                log::debug!("\"event\":\"probe_lost\",\"error\":\"{:?}\"", error.kind());
            }
        }
    });
    Ok(())
}
