//! Which databases of a cluster a failover compares, which it leaves out, and whether the compared
//! logs contain every acknowledged commit.

use std::collections::BTreeSet;

use model::{Micros, Name, Term};

use crate::action::LogValue;
use crate::backend::{DatabaseReport, TermPosition};
use crate::database::Database;
use crate::leadership_proof::LeadershipProof;
use crate::registry::LogEndRecord;
use crate::{Gate, fields};

/// Number of removed databases that are remembered for each cluster.
const FORMER_MEMBER_LIMIT: usize = 8;

/// A database that was removed because its entry was gone. It may come back with its log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FormerMember {
    pub(crate) removed_at: Micros,
    /// Last known end of its log; the default if it is not known.
    pub(crate) position: TermPosition,
    pub(crate) last_answer: Option<Micros>,
    pub(crate) leaving: bool,
    pub(crate) reported_log: ReportedLog,
    /// Number of databases of the cluster when it was removed, including this one.
    pub(crate) cluster_size: usize,
    /// A position that covers every commit acknowledged before the removal.
    pub(crate) log_end: Option<TermPosition>,
    /// A replica was shown to hold that position.
    pub(crate) superseded: bool,
}

impl FormerMember {
    /// A database of which this node knows only that it was one of the cluster.
    pub(crate) fn unknown(now: Micros, cluster_size: usize) -> Self {
        FormerMember {
            removed_at: now,
            position: TermPosition::default(),
            last_answer: None,
            leaving: false,
            reported_log: ReportedLog::default(),
            cluster_size,
            log_end: None,
            superseded: false,
        }
    }
}

/// The log that a database has reported, to notice that it has started again without it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReportedLog {
    term: Term,
    longest: TermPosition,
    /// Its last report told a shorter log without a higher term.
    pub(crate) lost: bool,
}

impl ReportedLog {
    /// Processes a report. A promotion may roll a log back, but raises the term. A database that has
    /// started again without its log may report a lower term than before, or none.
    pub(crate) fn observe(&mut self, report: &DatabaseReport) {
        if report.term > self.term || report.received >= self.longest {
            *self = ReportedLog { term: report.term, longest: report.received, lost: false };
        } else {
            self.lost = true;
        }
    }
}

/// Whether the logs that a failover has compared contain every acknowledged commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogCoverage {
    Complete,
    /// The longest log lacks a part that is known to exist.
    TooShort,
    /// So many databases were not compared that they may hold a commit which no node that could be
    /// asked knows of.
    Unproved {
        missing: Vec<Name>,
    },
}

impl Gate {
    /// Returns true if the cluster's primary acknowledges a commit only after a replica has received
    /// it.
    pub(crate) fn has_synchronous_replicas(&self, cluster: &Name) -> bool {
        self.table.clusters.get(cluster).is_some_and(|limits| limits.sync_replicas > 0)
    }

    /// Records that a database was removed, and logs what was known about it.
    pub(crate) fn record_former_member(
        &mut self,
        cluster: &Name,
        name: &Name,
        database: &Database,
    ) {
        let now = self.now;
        if database.peer.is_some() {
            return self.log("database_removed", fields!["database" => name]);
        }
        let received = database.report.map(|report| report.received);
        let position = received.max(database.applied).unwrap_or_default();
        let cluster_size = self.clusters.get(cluster).map_or(0, |state| state.members.len() + 1);
        let former = FormerMember {
            removed_at: now,
            position,
            last_answer: database.last_answer,
            leaving: database.listed.leaving,
            reported_log: database.reported_log,
            cluster_size,
            log_end: None,
            superseded: false,
        };
        if let Some(state) = self.clusters.get_mut(cluster) {
            state.former_members.insert(name.clone(), former);
            if state.former_members.len() > FORMER_MEMBER_LIMIT {
                let oldest =
                    state.former_members.iter().min_by_key(|(_, member)| member.removed_at);
                let oldest = oldest.map(|(name, _)| name.clone());
                oldest.and_then(|oldest| state.former_members.remove(&oldest));
            }
        }
        self.log(
            "database_removed",
            fields![
                "database" => name,
                "cluster" => cluster,
                "position" => position.to_string(),
                "leaving" => former.leaving,
                "contact_ms" => contact_age(now, former.last_answer)
            ],
        );
    }

    /// Returns the log fields that show how a failover compared the logs: the fenced databases with
    /// their positions, the others with the age of the last contact, and the known end of the log.
    pub(crate) fn comparison_fields(&self, cluster: &Name) -> Vec<(&'static str, LogValue)> {
        let (Some(failover), Some(state)) =
            (self.failovers.running.get(cluster), self.clusters.get(cluster))
        else {
            return Vec::new();
        };
        let now = self.now;
        let mut compared: Vec<String> = failover
            .fenced
            .iter()
            .map(|(name, report)| format!("{name} {} fence {}", report.received, report.fence))
            .collect();
        compared.sort();
        let mut left_out = Vec::new();
        for name in state.members.iter().filter(|name| !failover.fenced.contains_key(*name)) {
            let database = self.databases.get(name);
            let position = database.and_then(|database| database.applied).unwrap_or_default();
            let contact = contact_age(now, database.and_then(|database| database.last_answer));
            let role =
                if failover.old_primary.as_ref() == Some(name) { "old primary" } else { "member" };
            left_out.push(format!("{name} {role} {position} contact {contact} ms"));
        }
        for (name, former) in &state.former_members {
            let contact = contact_age(now, former.last_answer);
            left_out.push(format!("{name} removed {} contact {contact} ms", former.position));
        }
        left_out.sort();
        let (known, source) = self.known_log_end(cluster);
        fields![
            "compared" => compared.join(", "),
            "left_out" => left_out.join(", "),
            "known" => known.to_string(),
            "known_from" => source,
            "unconfirmed" => state.proof.known_log_end().to_string()
        ]
    }

    /// Returns whether the fenced logs, of which the longest ends at `longest`, contain every
    /// acknowledged commit.
    pub(crate) fn log_coverage(&self, cluster: &Name, longest: TermPosition) -> LogCoverage {
        if longest < self.known_log_end(cluster).0 {
            return LogCoverage::TooShort;
        }
        let (Some(failover), Some(state), Some(limits)) = (
            self.failovers.running.get(cluster),
            self.clusters.get(cluster),
            self.table.clusters.get(cluster),
        ) else {
            return LogCoverage::Complete;
        };
        let recorded = failover.holders.as_ref();
        let mut missing: BTreeSet<&Name> =
            recorded.into_iter().flatten().chain(&state.members).collect();
        missing.retain(|name| {
            !failover.fenced.contains_key(*name)
                || !failover.replicas.contains(*name)
                || self.databases.get(*name).is_some_and(|database| database.reported_log.lost)
                || state.log_starts.is_restarted(name)
        });
        // Without the record, any number of other databases may be missing.
        let few_missing = recorded.is_some() && missing.len() <= limits.sync_replicas as usize;
        if limits.sync_replicas == 0 || few_missing || self.knows_all_commits(cluster, longest) {
            return LogCoverage::Complete;
        }
        LogCoverage::Unproved { missing: missing.into_iter().cloned().collect() }
    }

    /// Returns true if the known end of the log covers every acknowledged commit: each owner that
    /// may have acknowledged some has told its end, or its process had ended before a commit was sent
    /// or a position was proved by an owner which told its end. An owner that has left and may go on is
    /// known to some nodes only, as others may have started since.
    fn knows_all_commits(&self, cluster: &Name, longest: TermPosition) -> bool {
        let Some(failover) = self.failovers.running.get(cluster) else { return false };
        let left = self.registry.last_departure().is_some_and(|at| at >= failover.started);
        if left || !failover.unacknowledged.is_empty() {
            return false;
        }
        let mut ends: Vec<_> = self.registry.told_log_ends(cluster, failover.announced).collect();
        ends.push(self.own_log_end(cluster));
        ends.iter().all(|end| end.is_some_and(|end| !end.owner_missing))
            && ends.iter().flatten().any(|end| end.is_covered_by(longest))
    }

    /// Returns the end of a cluster's log as this node knows it.
    pub(crate) fn own_log_end(&self, cluster: &Name) -> Option<LogEndRecord> {
        let last_departure = self.registry.last_departure().unwrap_or(self.started);
        let proof = &self.clusters.get(cluster)?.proof;
        let current = proof.log_end_known_at() > Some(last_departure);
        let proved = proof.newest_proved_position(last_departure);
        let owner_missing = self.registry.has_unaccounted_owners();
        Some(LogEndRecord { end: proof.required_log_end(), current, proved, owner_missing })
    }

    /// Returns the end of the log that a new primary must hold so that no acknowledged commit is
    /// lost, as far as this node and the nodes that have acknowledged the announcement know, and
    /// what showed it.
    pub(crate) fn known_log_end(&self, cluster: &Name) -> (TermPosition, String) {
        let proof = self.clusters.get(cluster).map(|state| &state.proof);
        let own = if self.has_synchronous_replicas(cluster) {
            proof.map(LeadershipProof::required_log_end)
        } else {
            proof.map(LeadershipProof::known_log_end)
        };
        let own = own.unwrap_or_default();
        let announced = self.failovers.running.get(cluster).map(|failover| failover.announced);
        let told =
            announced.and_then(|announced| self.registry.longest_log_end(cluster, announced));
        match told {
            Some((end, node)) if end > own => (end, format!("node {node}")),
            _ => (own, proof.map_or("none", |proof| proof.log_evidence().name()).to_string()),
        }
    }
}

/// Returns the time since a database last answered, in milliseconds.
fn contact_age(now: Micros, last_answer: Option<Micros>) -> u64 {
    last_answer.map_or(u64::MAX, |at| now.saturating_sub(at).as_millis())
}
