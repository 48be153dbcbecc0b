//! What the entry side last heard of databases and leaders.

use model::{ClusterConfig, FastMap, Micros, Name};
use route::DatabaseHint;

/// Time for which a hint is believed, and for which a database that declined is avoided.
const HINT_LIFE: Micros = Micros::from_secs(1);

#[derive(Debug, Default)]
struct DatabaseNews {
    heard: Micros,
    age: Option<Micros>,
    wait: Micros,
    avoid_until: Micros,
}

/// Hints from replies. They only steer choices; the owners check everything.
#[derive(Debug, Default)]
pub(crate) struct HintTable {
    databases: FastMap<Name, DatabaseNews>,
    leaders: FastMap<Name, Name>,
}

impl HintTable {
    pub(crate) fn heard(
        &mut self,
        now: Micros,
        database: &Name,
        age: Option<Micros>,
        wait: Micros,
    ) {
        let news = self.databases.entry(database.clone()).or_default();
        news.heard = now;
        news.age = age;
        news.wait = wait;
    }

    pub(crate) fn avoid(&mut self, now: Micros, database: &Name) {
        self.databases.entry(database.clone()).or_default().avoid_until = now + HINT_LIFE;
    }

    pub(crate) fn leader(&self, cluster: &str) -> Option<&Name> {
        self.leaders.get(cluster)
    }

    /// Returns whether the leader is news.
    pub(crate) fn set_leader(&mut self, cluster: &Name, leader: &Name) -> bool {
        self.leaders.insert(cluster.clone(), leader.clone()).as_ref() != Some(leader)
    }

    /// Forgets the leader if it still is this database.
    pub(crate) fn clear_leader(&mut self, cluster: &str, database: &Name) {
        if self.leaders.get(cluster) == Some(database) {
            self.leaders.remove(cluster);
        }
    }

    /// Forgets databases and clusters for which `known` is false.
    pub(crate) fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.databases.retain(|database, _| known(database));
        self.leaders.retain(|_, leader| known(leader));
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
                let news = self.databases.get(&database.name);
                let fresh = news.filter(|news| now.saturating_sub(news.heard) <= HINT_LIFE);
                DatabaseHint {
                    database: database.name.clone(),
                    data_centre: database.data_centre.clone(),
                    leader: leader == Some(&database.name),
                    leaving: database.leaving,
                    age: fresh.and_then(|news| news.age),
                    wait: fresh.map(|news| news.wait).unwrap_or_default(),
                    avoid: news.is_some_and(|news| news.avoid_until > now),
                    labels: database.labels.clone(),
                }
            })
            .collect()
    }
}
