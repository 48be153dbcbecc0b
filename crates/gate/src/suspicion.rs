//! Suspicion of primaries: what one node suspects, how many nodes must agree, and which node acts.

use std::collections::BTreeSet;

use model::{DatabaseRole, FastMap, Micros, Name};

use crate::failover::{ClusterFailover, FailoverStage};
use crate::{Gate, fields};

/// Silence after which a node suspects a primary. It is longer than the longest queue of a database
/// takes, and shorter than half the time within which a write is useful.
const PRIMARY_SILENCE_TIMEOUT: Micros = Micros::from_millis(500);

/// Time after which an unanswered commit means that the primary has lost its replicas, if the
/// primary answers reports in the meantime.
const COMMIT_STALL_TIMEOUT: Micros = Micros::from_millis(900);

/// Time without a primary after which a node suspects the cluster.
const NO_PRIMARY_TIMEOUT: Micros = Micros::from_millis(1_200);

/// As [`NO_PRIMARY_TIMEOUT`], while a database that claims to lead can be reached but has not
/// reported yet, for example because all its connections are taken: the databases drop those of
/// dead nodes after 3 s.
const UNREPORTED_PRIMARY_TIMEOUT: Micros = Micros::from_millis(4_500);

/// Time since a primary's last answer after which another node's suspicion about it is verified.
const SUSPICION_PROBE_DELAY: Micros = Micros::from_millis(100);

/// Time after which a fence that no announced failover explains is lifted.
const STALE_FENCE_TIMEOUT: Micros = Micros::from_millis(700);

/// A node suspects a primary only if a replica answered within this time; otherwise the node itself
/// may be cut off.
const REPLICA_CONTACT_TIMEOUT: Micros = Micros::from_millis(900);

/// More than one owner in this many must suspect a primary before it is replaced, so that the nodes
/// of one data centre that is cut off cannot replace it.
const SUSPICION_QUORUM_DIVISOR: u32 = 3;

/// Delay between the times at which successive nodes would act.
const STAGGER_INTERVAL: Micros = Micros::from_millis(600);

impl Gate {
    /// Returns why the cluster's primary should be replaced, as far as this node alone can tell.
    pub(crate) fn suspicion_reason(&mut self, cluster: &Name) -> Option<&'static str> {
        let now = self.now;
        if !self.owns_connections(cluster) {
            return None;
        }
        let state = self.clusters.get(cluster)?;
        let leader = state.proof.leader().cloned();
        let replica_answers = state.members.iter().any(|name| {
            Some(name) != leader.as_ref()
                && self.databases.get(name).is_some_and(|database| {
                    database.last_answer.is_some_and(|at| now < at + REPLICA_CONTACT_TIMEOUT)
                })
        });
        if !replica_answers || !self.has_stable_store_contact() {
            return None;
        }
        let Some(leader) = leader else {
            let since = *self.failovers.no_primary_since.entry(cluster.clone()).or_insert(now);
            let primary_claimed = state.members.iter().any(|name| {
                self.databases.get(name).is_some_and(|database| {
                    database.listed.claimed_role == Some(DatabaseRole::Primary)
                        && database.is_usable(now)
                })
            });
            let limit =
                if primary_claimed { UNREPORTED_PRIMARY_TIMEOUT } else { NO_PRIMARY_TIMEOUT };
            return (now >= since + limit).then_some("no primary");
        };
        self.failovers.no_primary_since.remove(cluster);
        let Some(database) = self.databases.get(&leader) else { return Some("primary removed") };
        if database.unanswered_since().is_some_and(|since| now >= since + PRIMARY_SILENCE_TIMEOUT) {
            return Some("primary unresponsive");
        }
        if state.commit_overdue.is_some_and(|since| now >= since + COMMIT_STALL_TIMEOUT) {
            return Some("commits stalled");
        }
        None
    }

    /// Requests reports from a primary that other nodes suspect, and from a replica, because a node
    /// suspects a primary only if a replica answers it.
    ///
    /// The first owner notices an unresponsive primary by its requests; the other owners send none.
    fn verify_suspicion(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(state) = self.clusters.get(cluster) else { return };
        let Some(leader) = state.proof.leader() else { return };
        let needs_report = |name: &Name| {
            self.databases.get(name).is_some_and(|database| {
                database.report_requested_at.is_none()
                    && database.last_answer.is_none_or(|at| now >= at + SUSPICION_PROBE_DELAY)
            })
        };
        if !needs_report(leader)
            || !self.owns_connections(cluster)
            || self.registry.suspecting_nodes(cluster).is_empty()
        {
            return;
        }
        let replica = self.preferred_replica(state).filter(|name| needs_report(name));
        let targets: Vec<Name> = replica.into_iter().chain([leader]).cloned().collect();
        for name in targets {
            self.request_report(&name);
        }
    }

    /// Returns true if replicas are fenced although no failover is announced, for example because
    /// the node that fenced them died.
    pub(crate) fn has_stale_fences(&self, cluster: &Name) -> bool {
        let Some(state) = self.clusters.get(cluster) else { return false };
        let since = state.proof.fenced_since();
        let can_be_lifted = state.proof.fenced_replicas().iter().any(|name| {
            self.databases.get(name).is_some_and(|database| database.is_usable(self.now))
        });
        since.is_some_and(|since| self.now >= since + STALE_FENCE_TIMEOUT)
            && can_be_lifted
            && !self.is_announced(cluster)
            && self.usable_leader(cluster).is_some()
    }

    /// Returns true if the cluster's primary is leaving and another database can replace it.
    pub(crate) fn can_replace_leaving_primary(&self, cluster: &Name) -> bool {
        let Some(state) = self.clusters.get(cluster) else { return false };
        let Some(leader) = state.proof.leader() else { return false };
        let leaving = self.databases.get(leader).is_some_and(|database| database.listed.leaving);
        leaving
            && state.members.iter().any(|name| {
                name != leader
                    && self.databases.get(name).is_some_and(|database| {
                        !database.listed.leaving && database.is_usable(self.now)
                    })
            })
    }

    /// Publishes suspicions, starts failovers that are due, and advances running ones.
    pub(crate) fn maintain_failovers(&mut self) {
        let clusters: Vec<Name> = self.clusters.keys().cloned().collect();
        let mut suspected_clusters = BTreeSet::new();
        for cluster in &clusters {
            self.verify_suspicion(cluster);
            let suspicion_reason = self.suspicion_reason(cluster);
            if let Some(reason) = suspicion_reason {
                if self.failovers.suspected.insert(cluster.clone(), reason) != Some(reason) {
                    let record = fields!["cluster" => cluster, "reason" => reason];
                    self.log("primary_suspected", record);
                }
                suspected_clusters.insert(cluster.to_string());
            } else {
                self.failovers.suspected.remove(cluster);
            }
            self.start_failover_if_due(cluster, suspicion_reason);
        }
        self.maintain_registration(suspected_clusters);
        for cluster in clusters {
            self.step_failover(&cluster);
        }
        self.maintain_lifts();
        self.maintain_promotion_lease();
    }

    pub(crate) fn start_failover_if_due(
        &mut self,
        cluster: &Name,
        suspicion_reason: Option<&'static str>,
    ) {
        let now = self.now;
        if self.failovers.running.contains_key(cluster)
            || self.failovers.backoff_until.get(cluster).is_some_and(|until| now < *until)
            || self.drain.since.is_some()
            || !self.has_complete_database_list()
        {
            return;
        }
        let only_lifts_fences = self.has_stale_fences(cluster) && suspicion_reason.is_none();
        let (reason, position) = if only_lifts_fences {
            ("stale fences", self.owner_position(cluster))
        } else if self.can_replace_leaving_primary(cluster) {
            ("primary leaving", self.owner_position(cluster))
        } else if let Some(reason) = suspicion_reason {
            let nodes = self.registry.suspecting_nodes(cluster);
            let needed = (self.owner_count(cluster) / SUSPICION_QUORUM_DIVISOR + 1) as usize;
            let position = nodes.iter().position(|name| *name == self.settings.node);
            match position {
                Some(position) if nodes.len() >= needed => (reason, position as u64),
                _ => {
                    self.failovers.due_since.remove(cluster);
                    return;
                }
            }
        } else {
            self.failovers.due_since.remove(cluster);
            return;
        };
        let due = *self.failovers.due_since.entry(cluster.clone()).or_insert(now);
        // No other node can act while this node holds the promotion lease.
        let position = if self.promotion_lease.fencing_token(now).is_some() { 0 } else { position };
        if now < due + Micros(STAGGER_INTERVAL.0 * position)
            || self.promotion_lease.is_held_elsewhere(now)
        {
            return;
        }
        let Some(state) = self.clusters.get(cluster) else { return };
        let old = state.proof.leader().cloned();
        let highest = state
            .members
            .iter()
            .filter_map(|name| self.databases.get(name)?.report)
            .map(|report| report.term.max(report.fence))
            .max()
            .unwrap_or_default();
        let term = state.proof.term().next().max(highest);
        self.log(
            "takeover_started",
            fields![
                "cluster" => cluster,
                "reason" => reason,
                "old" => old.clone().unwrap_or_default().to_string(),
                "term" => term.0
            ],
        );
        self.count("takeovers_started");
        let number = self.next_id();
        self.failovers.running.insert(
            cluster.clone(),
            ClusterFailover {
                stage: FailoverStage::Claiming,
                number,
                left_out: BTreeSet::new(),
                old_primary: old,
                old_primary_asked: None,
                term,
                started: now,
                last_step: now,
                in_flight: false,
                replicas: Vec::new(),
                holders: None,
                fenced: FastMap::default(),
                fence_sent: FastMap::default(),
                new_primary: None,
                promote_sent: None,
                relisted: false,
                only_lifts_fences,
                announced: 0,
                fencing_token: 0,
                unacknowledged: FastMap::default(),
                acknowledged_at: now,
                read_leases_expired_at: now,
            },
        );
    }
}
