//! Selectors in force and the choice of a database.

use model::{FleetConfig, LabelSelector, LabelSet, Micros, Name, Rank, SessionFloor};

/// How a request is served.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkPolicy {
    /// The selector that matched; `default` if none did.
    pub selector: Name,
    pub rank: Rank,
    pub max_age: Micros,
    /// Time from arrival to the end of the answer.
    pub deadline: Micros,
    pub durable: bool,
    pub servers: LabelSelector,
}

/// The selectors of one configuration revision.
#[derive(Debug, Default)]
pub struct SelectorTable {}

impl SelectorTable {
    /// Prepares the selectors of a configuration.
    pub fn compile(_config: &FleetConfig) -> Self {
        SelectorTable {}
    }

    /// Returns the labels that operators attach to a caller with these attributes (`user`,
    /// `application`, `address`, `database`), the attributes included.
    pub fn caller_labels(&self, attributes: &LabelSet) -> LabelSet {
        attributes.clone()
    }

    /// Returns the policy of the first selector that matches.
    pub fn policy(&self, _labels: &LabelSet) -> WorkPolicy {
        WorkPolicy {
            selector: "default".into(),
            rank: Rank::Interactive,
            max_age: Micros::ZERO,
            deadline: Micros::from_secs(10),
            durable: false,
            servers: LabelSelector::default(),
        }
    }
}

/// What the entry proxy last heard of a database.
#[derive(Clone, Debug, PartialEq)]
pub struct DatabaseHint {
    pub database: Name,
    pub data_centre: Name,
    pub leader: bool,
    pub leaving: bool,
    /// Data age that the owner could prove last; `None` if unknown.
    pub age: Option<Micros>,
    /// Expected wait for a slot.
    pub wait: Micros,
    /// The owner declined or failed within the last second.
    pub avoid: bool,
    pub labels: LabelSet,
}

/// Where a request goes and why, for `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    pub database: Name,
    pub reason: &'static str,
}

/// Chooses the database for a request. Writes go to the leader; reads prefer a replica in the own data
/// centre that probably has the proof; `None` if no database is eligible.
pub fn choose_database(
    _policy: &WorkPolicy,
    _read: bool,
    _floor: Option<SessionFloor>,
    _own_data_centre: &Name,
    _hints: &[DatabaseHint],
) -> Option<RouteChoice> {
    None
}
