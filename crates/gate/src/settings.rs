//! Settings of one process.

use std::net::SocketAddr;

use allot::QuotaBound;
use model::{Micros, Name};

/// Part of the time in which a leaving database may get requests that is left unused: the list of a node
/// that follows a relay may be late by a slow answer of the store (240 ms), and what was sent may wait for
/// a lost packet.
const LEAVING_MARGIN: Micros = Micros::from_millis(1_500);

/// The margin is at most one part in this many of a shorter time.
const LEAVING_MARGIN_DIVISOR: u64 = 4;

/// Settings of one gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateSettings {
    pub node: Name,
    pub data_centre: Name,
    /// Processor share of the VM, in thousandths of a core.
    pub capacity: u32,
    /// Address to which other nodes forward requests.
    pub peer_address: Option<SocketAddr>,
    /// Address at which other nodes follow the store's changes.
    pub relay_address: Option<SocketAddr>,
    /// Distinguishes processes that ran under the same name.
    pub incarnation: u64,
    /// Time between SIGTERM and SIGKILL.
    pub shutdown_grace: Micros,
    /// Time after which a stored configuration has to be in force.
    pub configuration_bound: Micros,
    /// Time after its announcement in which a leaving database may get requests.
    pub leaving_bound: Micros,
    /// By how much accounts may exceed their limits; `None` if it is not known.
    pub quota: Option<QuotaBound>,
}

impl GateSettings {
    /// Returns the time after its announcement in which this node sends requests to a leaving database.
    ///
    /// ```
    /// # let mut settings = gate::GateSettings {
    /// #     node: "n1".into(),
    /// #     data_centre: "dc1".into(),
    /// #     capacity: 250,
    /// #     peer_address: None,
    /// #     relay_address: None,
    /// #     incarnation: 1,
    /// #     shutdown_grace: model::Micros::from_secs(6),
    /// #     configuration_bound: model::Micros::from_secs(3),
    /// #     leaving_bound: model::Micros::from_secs(7),
    /// #     quota: None,
    /// # };
    /// assert_eq!(settings.leaving_limit().as_millis(), 5_500);
    /// settings.leaving_bound = model::Micros::from_millis(1_000);
    /// assert_eq!(settings.leaving_limit().as_millis(), 750);
    /// ```
    pub fn leaving_limit(&self) -> Micros {
        let bound = self.leaving_bound;
        bound.saturating_sub(LEAVING_MARGIN.min(Micros(bound.0 / LEAVING_MARGIN_DIVISOR)))
    }
}
