//! Counters: always in the state dump, and sent in statsd format if an address is set.

use std::collections::BTreeMap;
use std::net::UdpSocket;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use model::SocketAddress;

/// Prefix of the metrics' names.
const METRIC_PREFIX: &str = "cicadawick";

/// The counters of one process.
pub(crate) struct CounterSet {
    values: BTreeMap<&'static str, u64>,
    client: Option<StatsdClient>,
}

impl CounterSet {
    /// Creates counters; with an address they are sent there too.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be set up.
    pub(crate) fn new(address: Option<SocketAddress>) -> Result<Self, std::io::Error> {
        let client = match address {
            None => None,
            Some(address) => {
                let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
                let socket = UdpSocket::bind(local)?;
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(address, socket)
                    .map_err(|error| std::io::Error::other(error.to_string()))?;
                Some(StatsdClient::from_sink(METRIC_PREFIX, sink))
            }
        };
        Ok(CounterSet { values: BTreeMap::new(), client })
    }

    /// Adds to a counter.
    pub(crate) fn add(&mut self, name: &'static str, amount: u64) {
        *self.values.entry(name).or_default() += amount;
        if let Some(client) = &self.client {
            // A metric that is lost, as any datagram may be, stays in the dump.
            let _ = client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
        }
    }

    /// Sends a current value.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, value);
        }
    }

    /// Sends what is buffered.
    pub(crate) fn flush(&self) {
        if let Some(client) = &self.client {
            let _ = client.flush();
        }
    }

    /// Returns all counters, for the state dump.
    pub(crate) fn values(&self) -> &BTreeMap<&'static str, u64> {
        &self.values
    }
}
