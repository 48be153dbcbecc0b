//! Counters, which appear in the state dump and are sent in statsd format if an address is
//! configured.

use std::collections::BTreeMap;
use std::net::UdpSocket;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use model::SocketAddress;

const METRIC_PREFIX: &str = "cicadawick";

/// The counters of one process.
pub(crate) struct CounterSet {
    values: BTreeMap<&'static str, u64>,
    client: Option<StatsdClient>,
}

impl CounterSet {
    /// Creates the counters, which are also sent to `address` if there is one.
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

    pub(crate) fn add(&mut self, name: &'static str, amount: u64) {
        *self.values.entry(name).or_default() += amount;
        if let Some(client) = &self.client {
            // A metric may get lost like any datagram; the counter in the dump includes it.
            let _ = client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
        }
    }

    /// Sends the current value of a gauge.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, value);
        }
    }

    /// Sends the buffered metrics.
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
