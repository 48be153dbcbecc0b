//! Settings of one process.

use std::net::SocketAddr;

use allot::QuotaBound;
use model::{Micros, Name};

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
