//! Routes: how the requests for each client database are served, as configured by the operators.

use std::sync::Arc;

use account::AccountDirectory;
use model::{FastMap, Micros, Name, Rank};

/// How recent the data of a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Includes every commit acknowledged before the read began.
    Latest,
    /// Includes every commit acknowledged longer ago than this.
    Bounded(Micros),
    /// As `Bounded`, and includes every commit of the same session.
    Session(Micros),
}

/// How requests for one client database are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteConfig {
    pub name: Name,
    pub database: Name,
    pub cluster: Name,
    pub freshness: Freshness,
    /// Time limit of a single statement.
    pub timeout: Micros,
    /// Latency objective of a whole operation.
    pub target_latency: Micros,
    pub rank: Rank,
    /// Also serves clients whose key no account holds.
    pub public: bool,
}

/// Limits of the databases of one cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterLimits {
    pub name: Name,
    /// Connections that each database accepts from all nodes together.
    pub max_connections: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// One accepted version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    pub version: u64,
    /// Routes by client database.
    pub routes: FastMap<Name, Arc<RouteConfig>>,
    pub clusters: FastMap<Name, ClusterLimits>,
    /// Time after which an idle transaction may be ended.
    pub idle_transaction_timeout: Option<Micros>,
    /// `None` if the deployment does not identify its clients.
    pub accounts: Option<Arc<AccountDirectory>>,
}
