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

impl Default for WorkPolicy {
    fn default() -> Self {
        WorkPolicy {
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

/// Extra wait at a replica that is still preferred to the primary, which alone can serve writes.
const PRIMARY_RELIEF: Micros = Micros::from_millis(50);

/// Extra wait in the own data centre that is still preferred to the way to another one (0.5 ms and
/// 1.4 ms one way at the two users).
const DATA_CENTRE_WAY: Micros = Micros::from_millis(3);

/// The selectors of one configuration revision.
#[derive(Debug, Default)]
pub struct SelectorTable {
    callers: Vec<(LabelSelector, LabelSet)>,
    selectors: Vec<(LabelSelector, WorkPolicy)>,
}

impl SelectorTable {
    /// Prepares the selectors of a configuration.
    pub fn compile(config: &FleetConfig) -> Self {
        let callers =
            config.callers.iter().map(|caller| (caller.matches.clone(), caller.labels.clone()));
        let selectors = config.selectors.iter().map(|selector| {
            let policy = WorkPolicy {
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
        // An attribute says who the caller is, so no attached label replaces it.
        labels.merge(attributes);
        labels
    }

    /// Returns the policy of the first selector that matches.
    pub fn policy(&self, labels: &LabelSet) -> WorkPolicy {
        let found = self.selectors.iter().find(|(matches, _)| matches.matches(labels));
        found.map(|(_, policy)| policy.clone()).unwrap_or_default()
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
///
/// A leader that is leaving still takes writes: nothing else can until another is promoted. The
/// selector's `servers` bind replicas only, because the primary is where every other read ends.
pub fn choose_database(
    policy: &WorkPolicy,
    read: bool,
    floor: Option<SessionFloor>,
    own_data_centre: &Name,
    hints: &[DatabaseHint],
) -> Option<RouteChoice> {
    let leader = hints.iter().find(|hint| hint.leader);
    let choice =
        |hint: &DatabaseHint, reason| RouteChoice { database: hint.database.clone(), reason };
    if !read {
        return leader.map(|hint| choice(hint, "writes go to the primary"));
    }
    let distance = |hint: &DatabaseHint| match hint.data_centre == *own_data_centre {
        true => hint.wait,
        false => hint.wait + DATA_CENTRE_WAY,
    };
    let replica = hints
        .iter()
        .filter(|hint| replica_obstacle(policy, hint).is_none())
        .min_by_key(|hint| (distance(hint), &hint.database));
    match (replica, leader) {
        (Some(replica), Some(leader)) if replica.wait > leader.wait + PRIMARY_RELIEF => {
            Some(choice(leader, "the primary has a shorter queue"))
        }
        (Some(replica), _) if replica.data_centre == *own_data_centre => {
            Some(choice(replica, "replica in the own data centre"))
        }
        (Some(replica), _) => Some(choice(replica, "replica in another data centre")),
        (None, Some(leader)) if policy.max_age == Micros::ZERO => {
            let reason = match floor {
                Some(_) => "the read follows a write and accepts no data age",
                None => "the read accepts no data age",
            };
            Some(choice(leader, reason))
        }
        (None, Some(leader)) => Some(choice(leader, "no replica probably has the proof")),
        (None, None) => None,
    }
}

/// Says why a database cannot serve a read as a replica; `None` if it can.
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
///     avoid: false,
///     labels: LabelSet::default(),
/// };
/// let policy = route::WorkPolicy { max_age: Micros::from_secs(5), ..Default::default() };
/// assert_eq!(route::replica_obstacle(&policy, &hint), Some("the backend server is leaving"));
/// ```
pub fn replica_obstacle(policy: &WorkPolicy, hint: &DatabaseHint) -> Option<&'static str> {
    if hint.leader {
        Some("it is the primary")
    } else if policy.max_age == Micros::ZERO {
        Some("the read accepts no data age")
    } else if hint.leaving {
        Some("the backend server is leaving")
    } else if !policy.servers.matches(&hint.labels) {
        Some("the selector's servers do not match its labels")
    } else if hint.avoid {
        Some("its owner declined or failed within the last second")
    } else if hint.age.is_some_and(|age| age > policy.max_age) {
        Some("its provable data age was above the accepted age")
    } else {
        None
    }
}
