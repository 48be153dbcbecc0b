//! State dump for operators.

use serde_json::{Value, json};

use crate::Gate;

/// Maximum number of databases in the dump.
const MAX_DUMPED_DATABASES: usize = 200;

impl Gate {
    /// Returns the gate's current state, for operators.
    ///
    /// ```
    /// # let settings = gate::GateSettings {
    /// #     node: "n1".into(), data_centre: "dc1".into(), capacity: 250, peer_address: None, relay_address: None,
    /// #     incarnation: 1,
    /// #     shutdown_grace: model::Micros::from_secs(6),
    /// #     configuration_bound: model::Micros::from_secs(3),
    /// #     leaving_bound: model::Micros::from_secs(7),
    /// #     quota: None,
    /// # };
    /// let gate = gate::Gate::new(settings);
    /// assert_eq!(gate.dump()["node"], "n1");
    /// ```
    pub fn dump(&self) -> Value {
        let now = self.now;
        let (lease_revision, lease) = self.promotion_lease.record();
        let clusters: Vec<Value> = self
            .clusters
            .iter()
            .map(|(name, state)| {
                json!({
                    "cluster": name,
                    "term": state.proof.term(),
                    "leader": state.proof.leader(),
                    "leader_usable": self.usable_leader(name).is_some(),
                    "proof_age_ms": state
                        .proof
                        .confirmed_at()
                        .map(|at| now.saturating_sub(at).as_millis()),
                    "change_announced": self.is_announced(name),
                    "waiting_for_leader": state.waiting_for_leader.len(),
                    "waiting_for_proof": state.waiting_for_proof.len(),
                })
            })
            .collect();
        let databases: Vec<Value> = self
            .databases
            .iter()
            .take(MAX_DUMPED_DATABASES)
            .map(|(name, database)| {
                json!({
                    "database": name,
                    "cluster": database.listed.cluster,
                    "node": database.peer,
                    "leaving": database.listed.leaving,
                    "listed": database.unlisted_since.is_none(),
                    "responsive": database.is_responsive(now),
                    "links": database.connections.len(),
                    "idle_links": database.idle.len(),
                    "load": database.load(),
                    "slowness_percent": database.responsiveness.slowness(now, 1),
                    "failures_per_mille": database.responsiveness.failure_share(now),
                    "applied": database.applied.map(|position| position.to_string()),
                })
            })
            .collect();
        json!({
            "node": self.settings.node,
            "data_centre": self.settings.data_centre,
            "configuration": self.table.version,
            "accounts": self.table.accounts.as_ref().map(|directory| directory.len()),
            "store": { "revision": self.store_view.revision, "era": self.store_era,
                "age_ms": self.store_view.known_at.map(|_| self.store_view.age_ms(now)) },
            "sessions": self.sessions.len(),
            "requests": self.requests.len(),
            "nodes": self.registry.node_count(),
            "permit_held": self.read_lease_acquired().is_some(),
            "draining": self.drain.since.is_some(),
            "duty": { "revision": lease_revision, "holder": lease.holder,
                "number": lease.fencing_token, "idle": lease.idle },
            "clusters": clusters,
            "databases": databases,
        })
    }
}
