//! Counters and latency histograms, and the HTTP server for readiness, metrics and state dumps.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use shell::{HttpAnswer, HttpRequest, HttpServer};

/// Largest value of a histogram: one minute, which is longer than any timeout.
const MAX_HISTOGRAM_MICROS: u64 = 60_000_000;

/// A request for a dump checks at this interval, up to [`DUMP_POLL_LIMIT`] times, whether the event loop has written
/// it. The loop looks for such requests every 20 ms.
const DUMP_POLL_INTERVAL: Duration = Duration::from_millis(10);
const DUMP_POLL_LIMIT: u32 = 50;

const METRIC_PREFIX: &str = "cicadawick";

/// State shared between the event loop and the HTTP threads.
#[derive(Debug, Default)]
pub(crate) struct SharedStatus {
    ready: AtomicBool,
    metrics: Mutex<String>,
    /// A state dump was requested and is not written yet.
    dump_requested: AtomicBool,
    dump: Mutex<String>,
}

impl SharedStatus {
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Returns whether a requested dump is still to be written.
    pub(crate) fn dump_requested(&self) -> bool {
        self.dump_requested.load(Ordering::Acquire)
    }

    pub(crate) fn set_dump(&self, text: String) {
        *self.dump.lock().unwrap_or_else(PoisonError::into_inner) = text;
        self.dump_requested.store(false, Ordering::Release);
    }

    /// Requests a dump from the event loop and waits for it; `None` if the loop does not write it in time.
    fn request_dump(&self) -> Option<String> {
        self.dump_requested.store(true, Ordering::Release);
        for _ in 0..DUMP_POLL_LIMIT {
            std::thread::sleep(DUMP_POLL_INTERVAL);
            if !self.dump_requested() {
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
            // Two significant digits keep the quantiles accurate to 1%.
            let Ok(histogram) = Histogram::new_with_bounds(1, MAX_HISTOGRAM_MICROS, 2) else {
                return;
            };
            self.histograms.insert(name, histogram);
        }
        if let Some(histogram) = self.histograms.get_mut(name) {
            histogram.saturating_record(micros.max(1));
        }
    }

    /// Renders all metrics as text, one per line, for the metrics page.
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

/// Serves an address on a thread of its own: readiness as status 200 or 503 at `ready_path`, the state as JSON at
/// `/dump`, and the metrics page at any other path.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) fn serve_http(
    address: SocketAddr,
    ready_path: &'static str,
    status: Arc<SharedStatus>,
) -> std::io::Result<()> {
    let mut server = HttpServer::bind(address)?;
    server.start(move |request| answer(request, ready_path, &status));
    server.detach();
    Ok(())
}

fn answer(request: &HttpRequest, ready_path: &str, status: &SharedStatus) -> HttpAnswer {
    if request.url == ready_path {
        let ready = status.ready.load(Ordering::Acquire);
        HttpAnswer::text(if ready { 200 } else { 503 }, "")
    } else if request.url == "/dump" {
        match status.request_dump() {
            Some(dump) => HttpAnswer::text(200, dump),
            None => HttpAnswer::text(503, "the event loop did not write the dump in time"),
        }
    } else {
        let metrics = status.metrics.lock().unwrap_or_else(PoisonError::into_inner);
        HttpAnswer::text(200, metrics.as_str())
    }
}
