//! Settings of one node.

use std::net::SocketAddr;

use crate::{Micros, Name};

/// IP address and port.
pub type SocketAddress = SocketAddr;

/// Settings of a node, read by its daemon from the settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Unique in the fleet.
    pub name: Name,
    pub data_centre: Name,
    /// Where clients connect with the PostgreSQL protocol.
    pub caller_address: SocketAddress,
    /// Where peers connect.
    pub peer_address: SocketAddress,
    /// Where operators connect with HTTP.
    pub admin_address: SocketAddress,
    /// Where the platform's key-value service listens.
    pub platform_address: SocketAddress,
    /// Peers to contact first while the platform is unavailable.
    pub peers: Vec<SocketAddress>,
    /// Where counters are sent in statsd format; if absent, none are sent.
    pub metrics_address: Option<SocketAddress>,
    /// User that the node connects as to backend servers.
    pub database_user: Name,
    /// Most client connections at once.
    pub caller_limit: u32,
    /// Size above which a client's request is refused.
    pub request_limit_bytes: u32,
    /// Longest time that a graceful shutdown waits for requests in flight.
    pub drain_timeout: Micros,
    pub log_level: Name,
}
