//! The databases that may hold acknowledged commits of a cluster, kept in the store.
//!
//! An acknowledged commit is at the primary and at `sync_replicas` replicas. A failover that has
//! compared all databases of the cluster but `sync_replicas` has therefore seen every acknowledged
//! commit; while more are missing, the compared logs prove nothing. The list of databases does not
//! show which ones are missing: an entry expires while its database is down or cut off from the
//! store, and a node that starts later never sees it. So the owners of a cluster keep a record of
//! its databases. They take a database out when it has left or been replaced, and another replica
//! holds every commit that was acknowledged before it was removed. A database that starts again without
//! its log is handled in the same way by the recorded starts (`log_starts`).
//!
//! In a new era of the store the record is a copy, which may name too few databases. It counts only if
//! it was written in this era. It is written again with the listed databases, those of the copy, and all
//! that nodes knew of when the era began, by an owner that knew a record then. One of two things must
//! show that this names every database that may hold a commit: a listed replica holds every commit
//! acknowledged before the record was found missing, or each process that was an owner when the era
//! began has told what it knew. An owner that has started in this era leaves time to the others, and
//! writes a *partial* record: it keeps the names, but shows no log to be complete. Nothing that such an
//! owner can ask shows that no further database exists, because that may be cut off from everybody
//! until it has answered, and receive commits afterwards.

use std::collections::{BTreeMap, BTreeSet};

use model::{DatabaseRole, FastSet, Micros, Name};
use serde::{Deserialize, Serialize};

use crate::action::GateAction;
use crate::cluster::ClusterState;
use crate::event::{Document, NodeRole, StoredDocument};
use crate::log_comparison::FormerMember;
use crate::store_era::is_first_era;
use crate::{Gate, fields};

/// Interval between writes of the record: longer than a slow answer of the store.
const WRITE_INTERVAL: Micros = Micros::from_millis(1_000);

/// Interval of report requests that show whether a replica holds what a removed database may hold:
/// half the time for which proved positions are kept.
const REPORT_INTERVAL: Micros = Micros::from_millis(2_000);

/// Time that the other owners leave to the first one, which sees all commits of a large deployment:
/// two requests for reports and a write.
const OTHER_OWNER_DELAY: Micros = Micros(2 * REPORT_INTERVAL.0 + WRITE_INTERVAL.0);

/// The stored record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogHoldersRecord {
    pub holders: BTreeSet<String>,
    /// Era of the store in which the record was written.
    #[serde(default, skip_serializing_if = "is_first_era")]
    pub era: u64,
    /// It may name too few databases: no node was left that knew all of them when the era began.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub partial: bool,
    /// Start of each database whose log counts, in Unix milliseconds, as far as it is known.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub starts: BTreeMap<String, u64>,
}

/// What a record shows that is written again in a new era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordProof {
    /// It names all databases that may hold a commit.
    Complete,
    /// It may name too few.
    Partial,
}

/// What this node knows of the stored record.
#[derive(Debug, Default)]
pub(crate) struct LogHolders {
    /// Revision of the record, zero if there is none.
    revision: u64,
    /// The recorded databases; `None` without a readable record.
    pub(crate) names: Option<BTreeSet<Name>>,
    /// The record may name too few databases.
    partial: bool,
    /// Databases that earlier eras, or the copy, show to be holders, until a record of this era names
    /// them or they are superseded.
    former_names: BTreeSet<Name>,
    /// This process knew a complete record when the era began, and has seen none of this era.
    knew_record: bool,
    /// Since when there has been no readable record.
    missing_since: Option<Micros>,
    /// A listed replica was shown to hold every commit acknowledged before, so a record can be made
    /// of the list.
    list_covers_commits: bool,
    written_at: Option<Micros>,
    reports_requested_at: Option<Micros>,
}

impl LogHolders {
    /// Keeps what is known of the record for the next era, in which it has to be written again, and
    /// the databases that this node knew, which may not have been recorded yet.
    pub(crate) fn begin_era(&mut self, known: impl Iterator<Item = Name>) {
        self.former_names.extend(known);
        if let Some(names) = self.names.take() {
            self.former_names.extend(names);
            self.knew_record |= !self.partial;
        }
        self.revision = 0;
        self.missing_since = None;
        self.list_covers_commits = false;
        self.written_at = None;
    }

    /// Replaces the known record. One of another era shows only further holders.
    pub(crate) fn observe(&mut self, revision: u64, record: Option<LogHoldersRecord>, era: u64) {
        self.revision = revision;
        self.names = None;
        match record {
            Some(record) if record.era == era => {
                self.partial = record.partial;
                self.knew_record &= record.partial;
                self.names = Some(names_of(record));
            }
            Some(record) => self.former_names.extend(names_of(record)),
            None => {}
        }
        if self.is_complete() {
            self.missing_since = None;
            self.list_covers_commits = false;
        }
    }

    /// Returns true if there is a record that shows which databases may hold commits.
    fn is_complete(&self) -> bool {
        self.names.is_some() && !self.partial
    }

    /// Returns true if the record names these databases and no other one.
    fn names_all_of(&self, members: &[Name]) -> bool {
        let names = self.names.as_ref();
        names.is_some_and(|names| {
            names.len() == members.len() && members.iter().all(|member| names.contains(member))
        })
    }
}

/// Returns the databases that a record names.
fn names_of(record: LogHoldersRecord) -> BTreeSet<Name> {
    record.holders.into_iter().map(Name::from).collect()
}

/// Returns the cluster whose log holders a document records.
fn recorded_cluster(document: &Document) -> Option<&Name> {
    match document {
        Document::LogHolders(cluster) => Some(cluster),
        Document::PromotionLease | Document::NodeCount | Document::Node(..) => None,
    }
}

/// Returns the record of a cluster in the store; `None` without a readable one, which the gate logs
/// when it is notified of it.
fn stored_record(documents: &[StoredDocument], cluster: &Name) -> Option<LogHoldersRecord> {
    let mut stored = documents.iter();
    let stored = stored.find(|stored| recorded_cluster(&stored.document) == Some(cluster))?;
    serde_json::from_slice(&stored.bytes).ok()
}

impl ClusterState {
    /// Forgets the holders of earlier eras that are superseded or that the record of this era names.
    fn forget_known_former_names(&mut self) {
        let former = &self.former_members;
        let holders = &mut self.log_holders;
        let recorded = holders.names.as_ref();
        holders.former_names.retain(|name| {
            let superseded = former.get(name).is_some_and(|former| former.superseded);
            !superseded && !recorded.is_some_and(|recorded| recorded.contains(name))
        });
    }
}

impl Gate {
    /// Processes the record of a cluster among the documents that a failover has read. Returns the
    /// databases that it names; `None` without a readable and complete record.
    pub(crate) fn recorded_holders(
        &mut self,
        documents: &[StoredDocument],
        cluster: &Name,
    ) -> Option<BTreeSet<Name>> {
        let record = stored_record(documents, cluster)?;
        self.clusters.get_mut(cluster)?.log_starts.observe_record(&record.starts, self.now);
        (record.era == self.store_era && !record.partial).then(|| names_of(record))
    }

    /// Processes the stored record of a cluster.
    pub(crate) fn log_holders_read(
        &mut self,
        cluster: Name,
        revision: u64,
        record: Option<LogHoldersRecord>,
    ) {
        let (era, now) = (self.store_era, self.now);
        let state = self.clusters.entry(cluster).or_default();
        if let Some(record) = &record {
            state.log_starts.observe_record(&record.starts, now);
        }
        let (members, former) = (&state.members, &state.former_members);
        state.log_starts.retain(|name| members.contains(name) || former.contains_key(name));
        state.log_holders.observe(revision, record, era);
    }

    /// Forgets the records that are not among the listed documents.
    pub(crate) fn forget_unlisted_log_holders(&mut self, documents: &[StoredDocument]) {
        let documents = documents.iter().map(|stored| &stored.document);
        let listed: FastSet<&Name> = documents.filter_map(recorded_cluster).collect();
        for (cluster, state) in &mut self.clusters {
            if !listed.contains(cluster) {
                state.log_holders.observe(0, None, self.store_era);
            }
        }
    }

    /// Brings the record of a cluster's databases up to date. The first owner adds databases; each
    /// owner takes those out that it knows to be superseded, and makes a missing record, as the first
    /// one may see no requests.
    pub(crate) fn maintain_log_holders(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(state) = self.clusters.get(cluster) else { return };
        if state.former_members.is_empty()
            && state.log_holders.former_names.is_empty()
            && !state.log_holders.knew_record
            && state.log_holders.names_all_of(&state.members)
            && state.log_starts.are_recorded(&state.members)
        {
            return;
        }
        let writes = self.registration.role == NodeRole::Owner
            && self.owns_connections(cluster)
            && self.has_synchronous_replicas(cluster)
            && self.has_stable_store_contact()
            && !self.is_announced(cluster);
        if !writes {
            return;
        }
        let first = self.owner_position(cluster) == 0;
        self.remember_former_members(cluster);
        self.find_superseded_members(cluster, first);
        let written_again = self.written_again(cluster, now);
        let told: BTreeSet<Name> =
            self.registry.told_former_holders(cluster, self.store_era).collect();
        let first_era = self.store_era == 0;
        let mut partial = false;
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        state.forget_known_former_names();
        let members = state.members.iter();
        let former = &state.former_members;
        let former_names = state.log_holders.former_names.iter();
        let names: BTreeSet<Name> = match &state.log_holders.names {
            Some(stored) => {
                partial = state.log_holders.partial && written_again != Some(RecordProof::Complete);
                let awaited = stored.iter().filter(|name| {
                    state.members.contains(*name)
                        || former.get(*name).is_none_or(|former| !former.superseded)
                });
                let told = told.iter().filter(|_| state.log_holders.partial && !partial);
                let listed = members.filter(|_| first);
                awaited.chain(listed).chain(former_names).chain(told).cloned().collect()
            }
            None if !first_era && written_again.is_some() => {
                partial = written_again == Some(RecordProof::Partial);
                members.chain(former_names).chain(&told).cloned().collect()
            }
            None if !first_era => return,
            None if state.log_holders.list_covers_commits => members.cloned().collect(),
            None => return,
        };
        let written_at = state.log_holders.written_at;
        let starts = state.log_starts.counted(&names);
        if Some(&names) == state.log_holders.names.as_ref()
            && partial == state.log_holders.partial
            && starts == state.log_starts.recorded()
            || written_at.is_some_and(|at| now < at + WRITE_INTERVAL)
        {
            return;
        }
        state.log_holders.written_at = Some(now);
        let expected = state.log_holders.revision;
        let holders: BTreeSet<String> = names.iter().map(ToString::to_string).collect();
        let listed: Vec<&str> = holders.iter().map(String::as_str).collect();
        let counted: Vec<String> =
            starts.iter().map(|(name, start)| format!("{name} {start}")).collect();
        let record = fields![
            "cluster" => cluster,
            "databases" => listed.join(","),
            "starts" => counted.join(","),
            "partial" => partial
        ];
        self.log("log_holders", record);
        let record = LogHoldersRecord { holders, era: self.store_era, partial, starts };
        if let Some(bytes) = self.write_record("log holders", &record) {
            let cluster = cluster.clone();
            self.out.push(GateAction::WriteLogHolders { cluster, expected, bytes });
        }
    }

    /// Returns what a record shows that this node writes again in a new era; `None` if it may not write
    /// one. Without a record in the copy, the deployment is taken for a new one, whose databases are
    /// listed.
    fn written_again(&self, cluster: &Name, now: Micros) -> Option<RecordProof> {
        let holders = &self.clusters.get(cluster)?.log_holders;
        let waited = holders.missing_since.is_some_and(|at| now >= at + OTHER_OWNER_DELAY);
        let told = holders.knew_record && self.registry.have_former_owners_told(self.store_era);
        match (told, holders.list_covers_commits) {
            (true, _) => Some(RecordProof::Complete),
            (false, true) if holders.knew_record => Some(RecordProof::Complete),
            (false, true) if waited && holders.revision == 0 => Some(RecordProof::Complete),
            (false, true) if waited => Some(RecordProof::Partial),
            (false, _) => None,
        }
    }

    /// Returns the log holders that this node knew before the present era, by cluster, while it knows
    /// no record of this era.
    pub(crate) fn former_log_holders(&self) -> BTreeMap<String, BTreeSet<String>> {
        let known = self
            .clusters
            .iter()
            .filter(|(_, state)| state.log_holders.knew_record && !state.log_holders.is_complete());
        known
            .map(|(cluster, state)| {
                let names = state.log_holders.former_names.iter();
                (cluster.to_string(), names.map(ToString::to_string).collect())
            })
            .collect()
    }

    /// Remembers the recorded databases that this node has never seen listed, and forgets the
    /// superseded ones that are no longer recorded.
    fn remember_former_members(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        let holders = &state.log_holders;
        let known: BTreeSet<&Name> =
            holders.names.iter().flatten().chain(&holders.former_names).collect();
        if holders.names.is_some() {
            state.former_members.retain(|name, former| !former.superseded || known.contains(name));
        }
        for name in known.iter().filter(|name| !state.members.contains(**name)) {
            let former = FormerMember::unknown(now, known.len());
            state.former_members.entry((*name).clone()).or_insert(former);
        }
    }

    /// Finds the removed databases whose log another replica is shown to contain, and requests the
    /// reports that show it. Without a record, the same shows that the listed databases hold every
    /// commit. The first owner does so at once, the others if it has not for a while.
    fn find_superseded_members(&mut self, cluster: &Name, first: bool) {
        let now = self.now;
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        let leader = state.proof.leader();
        let replicas = state.members.iter().filter(|name| Some(*name) != leader);
        let held = replicas.filter_map(|name| {
            let database = self.databases.get(name)?;
            let report = database.report.filter(|_| database.is_usable(now))?;
            let held = state.log_starts.held_log(name, report.received);
            held.filter(|_| report.role == DatabaseRole::Replica)
        });
        let held = held.max().unwrap_or_default();
        let delay = if first { Micros::ZERO } else { OTHER_OWNER_DELAY };
        let size = state.members.len();
        let mut waits = false;
        for former in state.former_members.values_mut().filter(|former| !former.superseded) {
            // A database that is only cut off from the store may go on to receive commits, so it is
            // kept until another one has taken its place.
            if !former.leaving && size < former.cluster_size {
                continue;
            }
            let end = former.log_end.or(state.proof.proved_position(former.removed_at));
            former.log_end = end;
            former.superseded = end.is_some_and(|end| held >= end);
            waits |= !former.superseded && now >= former.removed_at + delay;
        }
        waits |= state.log_starts.count_restarted(&state.proof, held, now, delay);
        let holders = &mut state.log_holders;
        if !holders.is_complete() && (holders.names.is_none() || holders.knew_record) {
            let since = *holders.missing_since.get_or_insert(now);
            let end = state.proof.proved_position(since);
            holders.list_covers_commits |= end.is_some_and(|end| held >= end);
            waits |= !holders.list_covers_commits && now >= since + delay;
        }
        if waits && holders.reports_requested_at.is_none_or(|at| now >= at + REPORT_INTERVAL) {
            holders.reports_requested_at = Some(now);
            for name in state.members.clone() {
                if self.databases.get(&name).is_some_and(|database| database.is_usable(now)) {
                    self.request_report(&name);
                }
            }
        }
    }
}
