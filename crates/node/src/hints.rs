//! What the entry side last heard of databases and leaders.

use model::{ClusterConfig, FastMap, Micros, Name};
use route::DatabaseHint;

/// Time for which a hint is believed, and for which a database that declined is avoided.
const HINT_LIFE: Micros = Micros::from_secs(1);

/// Least time between two changes of a leader that requests are woken for. Owners that contradict each
/// other would otherwise have all requests that wait ask them in turn without a pause.
const CHANGE_INTERVAL: Micros = Micros::from_millis(20);

#[derive(Debug)]
struct LeaderNews {
    leader: Name,
    /// No owner has denied it since.
    believed: bool,
    changed: Micros,
}

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
    leaders: FastMap<Name, LeaderNews>,
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
        self.leaders.get(cluster).filter(|news| news.believed).map(|news| &news.leader)
    }

    /// Returns whether it is another leader than the last one, believed or not: a leader that just
    /// declined and is named again is no reason to wake requests that wait.
    pub(crate) fn set_leader(&mut self, now: Micros, cluster: &Name, leader: &Name) -> bool {
        match self.leaders.get_mut(cluster) {
            Some(news) if news.leader == *leader => {
                news.believed = true;
                false
            }
            Some(news) => {
                let wakes = now.saturating_sub(news.changed) >= CHANGE_INTERVAL;
                *news = LeaderNews { leader: leader.clone(), believed: true, changed: now };
                wakes
            }
            None => {
                let news = LeaderNews { leader: leader.clone(), believed: true, changed: now };
                self.leaders.insert(cluster.clone(), news);
                true
            }
        }
    }

    /// Stops believing in the leader if it still is this database.
    pub(crate) fn clear_leader(&mut self, cluster: &str, database: &Name) {
        if let Some(news) = self.leaders.get_mut(cluster).filter(|news| news.leader == *database) {
            news.believed = false;
        }
    }

    /// Forgets databases and clusters for which `known` is false.
    pub(crate) fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.databases.retain(|database, _| known(database));
        self.leaders.retain(|_, news| known(&news.leader));
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
