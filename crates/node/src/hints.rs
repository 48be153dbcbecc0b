//! Hints that the entry side takes from replies: database status and the leader of each cluster.

use model::{ClusterConfig, FastMap, Micros, Name};
use route::DatabaseHint;

/// Time for which a hint is used, and for which a database that declined is excluded.
const HINT_TTL: Micros = Micros::from_secs(1);

/// Minimum interval between two leader changes that wake waiting requests. When owners contradict each
/// other, waiting requests would otherwise ask them in turn without a pause.
const MIN_LEADER_CHANGE_INTERVAL: Micros = Micros::from_millis(20);

#[derive(Debug)]
struct LeaderHint {
    leader: Name,
    /// No owner has contradicted the hint since it was set.
    valid: bool,
    changed_at: Micros,
}

#[derive(Debug, Default)]
struct DatabaseStatus {
    updated_at: Micros,
    age: Option<Micros>,
    wait: Micros,
    excluded_until: Micros,
}

/// Hints from replies. They only influence routing; the owners check every request.
#[derive(Debug, Default)]
pub(crate) struct HintTable {
    databases: FastMap<Name, DatabaseStatus>,
    leaders: FastMap<Name, LeaderHint>,
}

impl HintTable {
    pub(crate) fn update_status(
        &mut self,
        now: Micros,
        database: &Name,
        age: Option<Micros>,
        wait: Micros,
    ) {
        let status = self.databases.entry(database.clone()).or_default();
        status.updated_at = now;
        status.age = age;
        status.wait = wait;
    }

    /// Excludes a database from the choices for [`HINT_TTL`].
    pub(crate) fn exclude(&mut self, now: Micros, database: &Name) {
        self.databases.entry(database.clone()).or_default().excluded_until = now + HINT_TTL;
    }

    pub(crate) fn leader(&self, cluster: &str) -> Option<&Name> {
        self.leaders.get(cluster).filter(|hint| hint.valid).map(|hint| &hint.leader)
    }

    /// Sets the leader and returns whether waiting requests should be woken: the leader differs from
    /// the last one, valid or not. A leader that has just declined and is named again must not wake
    /// them.
    pub(crate) fn set_leader(&mut self, now: Micros, cluster: &Name, leader: &Name) -> bool {
        match self.leaders.get_mut(cluster) {
            Some(hint) if hint.leader == *leader => {
                hint.valid = true;
                false
            }
            Some(hint) => {
                let wakes = now.saturating_sub(hint.changed_at) >= MIN_LEADER_CHANGE_INTERVAL;
                *hint = LeaderHint { leader: leader.clone(), valid: true, changed_at: now };
                wakes
            }
            None => {
                let hint = LeaderHint { leader: leader.clone(), valid: true, changed_at: now };
                self.leaders.insert(cluster.clone(), hint);
                true
            }
        }
    }

    /// Invalidates the leader hint if it names this database.
    pub(crate) fn clear_leader(&mut self, cluster: &str, database: &Name) {
        if let Some(hint) = self.leaders.get_mut(cluster).filter(|hint| hint.leader == *database) {
            hint.valid = false;
        }
    }

    /// Removes databases and clusters for which `known` is false.
    pub(crate) fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.databases.retain(|database, _| known(database));
        self.leaders.retain(|_, hint| known(&hint.leader));
    }

    /// Returns the hints for a cluster's databases.
    pub(crate) fn cluster(
        &self,
        now: Micros,
        cluster: &ClusterConfig,
        leader: Option<&Name>,
    ) -> Vec<DatabaseHint> {
        cluster
            .databases
            .iter()
            .map(|database| {
                let status = self.databases.get(&database.name);
                let fresh =
                    status.filter(|status| now.saturating_sub(status.updated_at) <= HINT_TTL);
                DatabaseHint {
                    database: database.name.clone(),
                    data_centre: database.data_centre.clone(),
                    leader: leader == Some(&database.name),
                    leaving: database.leaving,
                    age: fresh.and_then(|status| status.age),
                    wait: fresh.map(|status| status.wait).unwrap_or_default(),
                    excluded: status.is_some_and(|status| status.excluded_until > now),
                    labels: database.labels.clone(),
                }
            })
            .collect()
    }
}
