//! Selectors of the configuration and the choice of a database.

use model::{FleetConfig, LabelSelector, LabelSet, Micros, Name, Rank, RequiredPosition};

/// How a request is served.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPolicy {
    /// The selector that matched; `default` if none did.
    pub selector: Name,
    pub rank: Rank,
    pub max_age: Micros,
    /// Time from the arrival of the request to the end of the answer.
    pub deadline: Micros,
    pub durable: bool,
    pub servers: LabelSelector,
}

impl Default for RequestPolicy {
    fn default() -> Self {
        RequestPolicy {
            selector: "default".into(),
            rank: Rank::Interactive,
            max_age: Micros::ZERO,
            deadline: DEFAULT_DEADLINE,
            durable: false,
            servers: LabelSelector::default(),
        }
    }
}

/// Deadline of requests that no selector matches.
const DEFAULT_DEADLINE: Micros = Micros::from_secs(10);

/// Extra wait at a replica up to which it is preferred to the primary, which alone can serve writes.
const MAX_REPLICA_EXTRA_WAIT: Micros = Micros::from_millis(50);

/// Extra wait in the own data centre up to which it is preferred to another one. The one-way
/// latency between data centres is 0.5 ms at one user's installation and 1.4 ms at the other's.
const OTHER_DATA_CENTRE_PENALTY: Micros = Micros::from_millis(3);

/// The selectors of one configuration revision.
#[derive(Debug, Default)]
pub struct SelectorTable {
    callers: Vec<(LabelSelector, LabelSet)>,
    selectors: Vec<(LabelSelector, RequestPolicy)>,
}

impl SelectorTable {
    /// Builds the table from a configuration.
    pub fn compile(config: &FleetConfig) -> Self {
        let callers =
            config.callers.iter().map(|caller| (caller.matches.clone(), caller.labels.clone()));
        let selectors = config.selectors.iter().map(|selector| {
            let policy = RequestPolicy {
                selector: selector.name.clone(),
                rank: selector.rank,
                max_age: selector.max_age,
                deadline: selector.deadline,
                durable: selector.durable,
                servers: selector.servers.clone(),
            };
            (selector.matches.clone(), policy)
        });
        SelectorTable { callers: callers.collect(), selectors: selectors.collect() }
    }

    /// Returns the labels that operators attach to a caller with these attributes (`user`,
    /// `application`, `address`, `database`), the attributes included. A later entry of the
    /// configuration replaces labels of an earlier one.
    ///
    /// ```
    /// use model::{CallerLabels, FleetConfig, LabelSet};
    /// let config = FleetConfig {
    ///     callers: vec![CallerLabels {
    ///         matches: "user=kiosk".parse()?,
    ///         labels: LabelSet::from_pairs([("kind", "vendor")]),
    ///     }],
    ///     ..FleetConfig::default()
    /// };
    /// let table = route::SelectorTable::compile(&config);
    /// let labels = table.caller_labels(&LabelSet::from_pairs([("user", "kiosk")]));
    /// assert_eq!(labels, LabelSet::from_pairs([("kind", "vendor"), ("user", "kiosk")]));
    /// # Ok::<(), model::LabelError>(())
    /// ```
    pub fn caller_labels(&self, attributes: &LabelSet) -> LabelSet {
        let mut labels = attributes.clone();
        for (matches, attached) in &self.callers {
            if matches.matches(attributes) {
                labels.merge(attached);
            }
        }
        // Attributes identify the caller, so no attached label replaces one.
        labels.merge(attributes);
        labels
    }

    /// Returns the policy of the first selector that matches.
    pub fn policy(&self, labels: &LabelSet) -> RequestPolicy {
        let found = self.selectors.iter().find(|(matches, _)| matches.matches(labels));
        found.map(|(_, policy)| policy.clone()).unwrap_or_default()
    }
}

/// Unchecked status of a database, as last received by the proxy that routes the request.
#[derive(Clone, Debug, PartialEq)]
pub struct DatabaseHint {
    pub database: Name,
    pub data_centre: Name,
    pub leader: bool,
    pub leaving: bool,
    /// Data age that the owner last proved; `None` if unknown.
    pub age: Option<Micros>,
    /// Expected wait for a slot.
    pub wait: Micros,
    /// The owner declined or failed within the last second.
    pub excluded: bool,
    pub labels: LabelSet,
}

/// Chosen database, and the reason for `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    pub database: Name,
    pub reason: &'static str,
}

/// Chooses the database for a request. Writes go to the primary; reads prefer a replica in the own data
/// centre that can probably prove the accepted data age. Returns `None` if no database is eligible.
///
/// A primary that is leaving still receives writes, because no other database can serve them until one
/// is promoted. The selector's `servers` apply only to replicas, because the primary serves all reads
/// that no replica can.
pub fn choose_database(
    policy: &RequestPolicy,
    read: bool,
    required: Option<RequiredPosition>,
    own_data_centre: &Name,
    hints: &[DatabaseHint],
) -> Option<RouteChoice> {
    let leader = hints.iter().find(|hint| hint.leader);
    let choice =
        |hint: &DatabaseHint, reason| RouteChoice { database: hint.database.clone(), reason };
    if !read {
        return leader.map(|hint| choice(hint, "writes go to the primary"));
    }
    let cost = |hint: &DatabaseHint| match hint.data_centre == *own_data_centre {
        true => hint.wait,
        false => hint.wait + OTHER_DATA_CENTRE_PENALTY,
    };
    let replica = hints
        .iter()
        .filter(|hint| replica_obstacle(policy, hint).is_none())
        .min_by_key(|hint| (cost(hint), &hint.database));
    match (replica, leader) {
        (Some(replica), Some(leader)) if replica.wait > leader.wait + MAX_REPLICA_EXTRA_WAIT => {
            Some(choice(leader, "the primary has a shorter queue"))
        }
        (Some(replica), _) if replica.data_centre == *own_data_centre => {
            Some(choice(replica, "replica in the own data centre"))
        }
        (Some(replica), _) => Some(choice(replica, "replica in another data centre")),
        (None, Some(leader)) if policy.max_age == Micros::ZERO => {
            let reason = match required {
                Some(_) => "the read follows a write and accepts no data age",
                None => "the read accepts no data age",
            };
            Some(choice(leader, reason))
        }
        (None, Some(leader)) => {
            Some(choice(leader, "no replica can probably prove the accepted data age"))
        }
        (None, None) => None,
    }
}

/// Returns why a database cannot serve a read as a replica; `None` if it can.
///
/// ```
/// use model::{LabelSet, Micros};
/// let hint = route::DatabaseHint {
///     database: "billing-2".into(),
///     data_centre: "dc1".into(),
///     leader: false,
///     leaving: true,
///     age: None,
///     wait: Micros::ZERO,
///     excluded: false,
///     labels: LabelSet::default(),
/// };
/// let policy = route::RequestPolicy { max_age: Micros::from_secs(5), ..Default::default() };
/// assert_eq!(route::replica_obstacle(&policy, &hint), Some("the backend server is leaving"));
/// ```
pub fn replica_obstacle(policy: &RequestPolicy, hint: &DatabaseHint) -> Option<&'static str> {
    if hint.leader {
        Some("it is the primary")
    } else if policy.max_age == Micros::ZERO {
        Some("the read accepts no data age")
    } else if hint.leaving {
        Some("the backend server is leaving")
    } else if !policy.servers.matches(&hint.labels) {
        Some("the selector's servers do not match its labels")
    } else if hint.excluded {
        Some("its owner declined or failed within the last second")
    } else if hint.age.is_some_and(|age| age > policy.max_age) {
        Some("its provable data age was above the accepted age")
    } else {
        None
    }
}
