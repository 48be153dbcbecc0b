//! The operators' configuration of the whole fleet.

use crate::{LabelSelector, LabelSet, Micros, Name, Rank, RankMap, SocketAddress};

/// One accepted revision of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Increases by one with every accepted change; 0 before the first.
    pub revision: u64,
    pub clusters: Vec<ClusterConfig>,
    pub callers: Vec<CallerLabels>,
    /// In order; the first selector that matches applies.
    pub selectors: Vec<SelectorConfig>,
    pub ranks: RankMap<RankConfig>,
}

impl FleetConfig {
    /// Finds a cluster by name.
    pub fn cluster(&self, name: &str) -> Option<&ClusterConfig> {
        self.clusters.iter().find(|cluster| cluster.name.as_str() == name)
    }

    /// Finds a database and its cluster by the database's name.
    pub fn database(&self, name: &str) -> Option<(&ClusterConfig, &DatabaseConfig)> {
        self.clusters
            .iter()
            .flat_map(|cluster| cluster.databases.iter().map(move |database| (cluster, database)))
            .find(|(_, database)| database.name.as_str() == name)
    }
}

/// A replicated group of databases with one primary.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    /// Also the database name that clients connect to.
    pub name: Name,
    pub databases: Vec<DatabaseConfig>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct DatabaseConfig {
    /// Unique in the whole fleet.
    pub name: Name,
    pub data_centre: Name,
    pub address: SocketAddress,
    pub labels: LabelSet,
    /// Most statements that execute at once.
    pub slots: u32,
    /// Most connections that the proxies may open, including report connections.
    pub connections: u32,
    /// A leaving backend server receives no new requests.
    pub leaving: bool,
}

/// Labels that operators attach to callers whose own attributes match.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLabels {
    /// Matched against `user`, `application` and `address` of the caller.
    pub matches: LabelSelector,
    pub labels: LabelSet,
}

/// Selects requests by their labels and says how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectorConfig {
    pub name: Name,
    /// Matched against the union of caller labels and session labels.
    pub matches: LabelSelector,
    pub rank: Rank,
    /// Accepted data age; zero means that reads need the primary's current data.
    pub max_age: Micros,
    /// Time from the arrival of a request to the end of its answer.
    pub deadline: Micros,
    /// Writes are acknowledged only after a majority of databases received them.
    pub durable: bool,
    /// Backend servers whose labels match may serve reads.
    pub servers: LabelSelector,
}

/// Share and queue limit of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankConfig {
    /// Minimum share of slot time, in percent, that the rank receives while it has requests.
    pub floor_percent: u32,
    /// Most requests that may wait for one database.
    pub queue_limit: u32,
}
