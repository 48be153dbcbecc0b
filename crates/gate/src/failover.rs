//! Failovers: unplanned changes of a cluster's primary, and the replacement of a leaving one.
//!
//! 1. Claim the promotion lease, so that only one node acts and its fencing token is the highest.
//!    The claim announces the failover.
//! 2. Read the current list of databases from the store.
//! 3. Request a report from every replica of the cluster, and abort if one does not answer: fences
//!    on the others would only keep the primary from committing.
//! 4. Fence every replica, leaving ones included. After the last fence the old primary can
//!    acknowledge no commit, because no replica receives it.
//! 5. Read the lists again and fence new replicas. Wait until every registered node has
//!    acknowledged the announcement or can no longer hold a read lease. From then on no node
//!    reports a commit of the old primary as successful. The acknowledgements tell how long each
//!    node knows the log to be.
//! 6. Fence every replica again. A fence may have ended, because the replica has started again or
//!    another node's lift arrived late. The logs are compared by these reports: every commit that a
//!    node has reported was received before them.
//! 7. Read the lists once more, because a new replica may receive commits shortly before it is
//!    listed, and one that has started again is not fenced any more. Nodes that have registered in
//!    the meantime are waited for, too.
//! 8. Demote the old primary if it can be reached. A promotion takes effect some time after the
//!    call, and a replica that starts in the meantime could let the old primary acknowledge more
//!    commits.
//! 9. Promote the replica with the longest log. It contains every acknowledged commit, because each
//!    is at one fenced replica at least.
//! 10. Wait until the new primary reports its role, and demote the old primary once more, in case it
//!     could not be reached before.
//!
//! A replica that cannot be fenced may hold the only copy of a commit and may go on acknowledging.
//! The failover waits until its entry is gone. If that takes too long, the failover is aborted and
//! its fences are lifted.
//!
//! Such a replica is *left out* if the database that led last answers: as a primary that leaves, or as
//! a replica. It can be demoted then, and without a primary nobody commits, fenced or not. A commit that
//! only the two had would be known to the node that has reported it as successful, so the promotion
//! needs the known end of the log. The replica that was left out goes on reporting the former term
//! without a fence. Nodes that have seen the announcement therefore trust no report of a replica after
//! it until the former primary itself has reported that it still leads.
//!
//! Only the holder of the promotion lease lifts fences, because a lift names no term: it would end
//! the fence of the next holder as well. A failover whose lease is not renewed is aborted while the
//! lease is valid. Fences that are left behind are lifted by the next holder, or as stale ones.

use std::collections::BTreeSet;

use model::{DatabaseRole, FastMap, Micros, Name, Term};

use crate::action::GateAction;
use crate::backend::DatabaseReport;
use crate::database::CommandPurpose;
use crate::event::{Document, NodeRole, PromoteResult, StoreState, StoredDocument};
use crate::read_lease::{COMMIT_GRACE, READ_LEASE_TTL};
use crate::registry::NodeRecord;
use crate::{Gate, fields};

/// Time after which a failover is aborted.
const FAILOVER_TIMEOUT: Micros = Micros::from_millis(6_000);

/// Limit of a failover whose old primary still answers and may be able to commit once the fences
/// are lifted.
const RESPONSIVE_PRIMARY_TIMEOUT: Micros = Micros::from_millis(1_500);

/// Upper bound of the time between the first commit that a new or restarted replica receives and
/// its entry in the list. The entry follows about 22 ms later.
const LISTING_DELAY: Micros = Micros::from_millis(100);

/// Interval at which a failover asks the old primary for its role. The lists are read for the last
/// time at least [`LISTING_DELAY`] after the first question.
const OLD_PRIMARY_INTERVAL: Micros = Micros::from_millis(100);

/// Time to wait for the answer to a demotion before the failover goes on without it.
const DEMOTE_TIMEOUT: Micros = Micros::from_millis(250);

/// Interval between fence commands to the same replica, and between promotion calls.
pub(crate) const STEP_RETRY_INTERVAL: Micros = Micros::from_millis(250);

/// Time after a promotion call in which the promotion may still take effect: the call itself and the
/// users' longest promotion (1 s), with a margin. The failover stays announced for as long.
const PROMOTION_EFFECT_TIMEOUT: Micros = Micros::from_millis(2_000);

/// Remaining time of the promotion lease at which a failover is aborted because the lease was not
/// renewed in time: a command that lifts a fence may wait behind 16 statements of 9 ms.
const LIFT_MARGIN: Micros = Micros::from_millis(200);

/// Time before this node retries a failover of the same cluster after it aborted one.
const FAILOVER_BACKOFF: Micros = Micros::from_millis(1_500);

/// Time that nodes get to acknowledge an announcement before their leases are ended: [`COMMIT_GRACE`],
/// and 60 ms for one watch event and one write, each of which takes up to 10 ms while the store is
/// healthy.
const ACKNOWLEDGE_TIMEOUT: Micros = Micros(COMMIT_GRACE.0 + 60_000);

/// Progress of a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailoverStage {
    Claiming,
    Listing,
    /// Waits for reports of all replicas.
    Probing,
    Fencing,
    Relisting,
    /// Waits for acknowledgements of the announcement.
    AwaitingAcknowledgements,
    /// Fences all replicas again, and compares these reports.
    Comparing,
    /// Reads the lists for the last time.
    FinalListing,
    /// Waits until the old primary is a replica.
    Demoting,
    Promoting,
    /// The promotion was accepted; the new primary has not reported yet.
    AwaitingNewPrimary,
}

impl FailoverStage {
    /// Returns true if the old primary may already be demoted, so that the failover cannot be
    /// undone.
    pub(crate) const fn is_irreversible(self) -> bool {
        matches!(
            self,
            FailoverStage::Demoting | FailoverStage::Promoting | FailoverStage::AwaitingNewPrimary
        )
    }

    pub(crate) const fn reads_lists(self) -> bool {
        matches!(
            self,
            FailoverStage::Listing | FailoverStage::Relisting | FailoverStage::FinalListing
        )
    }

    pub(crate) const fn name(self) -> &'static str {
        match self {
            FailoverStage::Claiming => "claiming",
            FailoverStage::Listing => "listing",
            FailoverStage::Probing => "probing",
            FailoverStage::Fencing => "fencing",
            FailoverStage::Relisting => "relisting",
            FailoverStage::AwaitingAcknowledgements => "waiting",
            FailoverStage::Comparing => "comparing",
            FailoverStage::FinalListing => "confirming",
            FailoverStage::Demoting => "demoting",
            FailoverStage::Promoting => "promoting",
            FailoverStage::AwaitingNewPrimary => "opening",
        }
    }
}

/// A failover that this node carries out.
#[derive(Debug)]
pub(crate) struct ClusterFailover {
    pub(crate) stage: FailoverStage,
    /// Distinguishes the failovers of this node.
    pub(crate) number: u64,
    /// Replicas that did not answer at its start, so that they are neither fenced nor compared.
    pub(crate) left_out: BTreeSet<Name>,
    /// The database that is replaced, if any; it is not compared. It led the former term when it
    /// reported last.
    pub(crate) old_primary: Option<Name>,
    /// When the old primary was last asked for its role.
    pub(crate) old_primary_asked: Option<Micros>,
    pub(crate) term: Term,
    pub(crate) started: Micros,
    /// When the last step that needs an answer was taken.
    pub(crate) last_step: Micros,
    pub(crate) in_flight: bool,
    pub(crate) replicas: Vec<Name>,
    /// Databases that may hold acknowledged commits, according to the record in the store; `None`
    /// without a readable record.
    pub(crate) holders: Option<BTreeSet<Name>>,
    pub(crate) fenced: FastMap<Name, DatabaseReport>,
    pub(crate) fence_sent: FastMap<Name, Micros>,
    pub(crate) new_primary: Option<Name>,
    /// When the promotion was last called for.
    pub(crate) promote_sent: Option<Micros>,
    /// `replicas` was read from the store after the last fence.
    pub(crate) relisted: bool,
    /// Only lifts fences that another node left behind; no primary is replaced.
    pub(crate) only_lifts_fences: bool,
    /// Revision of the announcement.
    pub(crate) announced: u64,
    /// Fencing token of the promotion lease under which the failover was announced. What it has
    /// learned is void under another one.
    pub(crate) fencing_token: u64,
    /// Nodes that have not acknowledged the announcement, and the state of the leases that their
    /// read leases depend on.
    pub(crate) unacknowledged: FastMap<Name, LeaseRevocation>,
    /// When the last acknowledgement was seen.
    pub(crate) acknowledged_at: Micros,
    /// No read lease from before the announcement can be valid after this time.
    pub(crate) read_leases_expired_at: Micros,
}

impl ClusterFailover {
    /// Adds nodes that have not acknowledged the announcement; returns true if there are new ones.
    /// Those whose lease is known to have ended are not.
    fn add_unacknowledged(&mut self, listed: FastMap<Name, LeaseRevocation>) -> bool {
        let mut added = false;
        for (node, revocation) in listed {
            let ended = match (revocation, self.unacknowledged.get(&node)) {
                (LeaseRevocation::Held { lease, .. }, Some(known)) => {
                    *known == LeaseRevocation::Ended { lease }
                }
                _ => false,
            };
            if !ended {
                self.unacknowledged.insert(node, revocation);
                added = true;
            }
        }
        added
    }
}

/// Progress in ending another node's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseRevocation {
    /// The lease still has to be ended; `requested_at` is when that was last requested.
    Held { lease: u64, requested_at: Option<Micros> },
    /// The lease has ended; the node's read lease runs out.
    Ended { lease: u64 },
}

impl LeaseRevocation {
    fn is_ended(self) -> bool {
        matches!(self, LeaseRevocation::Ended { .. })
    }
}

/// A demotion of a former primary after its successor has reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateDemotion {
    pub(crate) term: Term,
    pub(crate) since: Micros,
}

/// Running failovers and the conditions that lead to them, by cluster.
#[derive(Debug, Default)]
pub(crate) struct FailoverState {
    pub(crate) running: FastMap<Name, ClusterFailover>,
    /// Since when the conditions for a failover hold.
    pub(crate) due_since: FastMap<Name, Micros>,
    /// Time before which this node starts no failover of the cluster.
    pub(crate) backoff_until: FastMap<Name, Micros>,
    pub(crate) no_primary_since: FastMap<Name, Micros>,
    /// Since when no fenced replica holds the log that is known to exist.
    pub(crate) missing_log_since: FastMap<Name, Micros>,
    /// Replicas whose fences this node lifts as soon as it has a connection, and since when.
    pub(crate) lifts: FastMap<Name, Micros>,
    /// Former primaries that this node demotes as soon as it has a connection.
    pub(crate) demotions: FastMap<Name, LateDemotion>,
    /// Clusters whose primary this node suspects, and why.
    pub(crate) suspected: FastMap<Name, &'static str>,
}

impl Gate {
    /// Renews the promotion lease while failovers run, and releases it after the last one.
    pub(crate) fn maintain_promotion_lease(&mut self) {
        let now = self.now;
        let (_, record) = self.promotion_lease.record();
        let abandoned = !self.promotion_lease.is_held_elsewhere(now)
            && (!record.announced_clusters.is_empty() || record.era != self.store_era);
        let unfence_pending = self.connections.values().any(|connection| {
            connection.pending.iter().any(|pending| pending.purpose == CommandPurpose::Unfence)
        });
        let lifts_fences = unfence_pending || !self.failovers.lifts.is_empty();
        let write = if self.failovers.running.is_empty() && !lifts_fences {
            if abandoned
                && self.promotion_lease.fencing_token(now).is_none()
                && self.has_stable_store_contact()
            {
                // The announcement of a failed holder is cleared, and a record of a former era is
                // replaced, by claiming the lease and releasing it.
                self.promotion_lease.claim(now, Vec::new())
            } else {
                self.promotion_lease.release(now)
            }
        } else if self.promotion_lease.needs_renewal(now) || self.announcement_missing() {
            let running = self.failovers.running.iter();
            let numbers = running.map(|(name, failover)| (name.to_string(), failover.number));
            self.promotion_lease.set_failover_numbers(numbers.collect());
            let announced_clusters =
                self.failovers.running.keys().map(ToString::to_string).collect();
            self.promotion_lease.claim(now, announced_clusters)
        } else {
            None
        };
        if let Some(write) = write {
            self.out.push(GateAction::WritePromotionLease {
                attempt: write.attempt,
                expected: write.expected,
                bytes: write.bytes,
            });
        }
    }

    /// Returns true if the stored record does not announce every running failover.
    fn announcement_missing(&self) -> bool {
        self.failovers
            .running
            .iter()
            .any(|(cluster, failover)| !self.is_failover_announced(cluster, failover.number))
    }

    fn is_failover_announced(&self, cluster: &Name, number: u64) -> bool {
        self.promotion_lease.announces_failover(self.now, cluster, number)
    }

    pub(crate) fn step_failover(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(failover) = self.failovers.running.get(cluster) else { return };
        let (stage, in_flight) = (failover.stage, failover.in_flight);
        let last_step = failover.last_step;
        let (announced_token, number) = (failover.fencing_token, failover.number);
        let may_retry = now >= failover.last_step + STEP_RETRY_INTERVAL;
        let limit = if self.old_primary_responds(cluster) && !stage.is_irreversible() {
            RESPONSIVE_PRIMARY_TIMEOUT
        } else {
            FAILOVER_TIMEOUT
        };
        let timed_out = now >= failover.started + limit;
        let lapses = self.promotion_lease.remaining(now).is_some_and(|left| left < LIFT_MARGIN);
        if lapses && stage != FailoverStage::Claiming && !stage.is_irreversible() {
            // Without the lease this node could not lift the fences any more.
            return self.abort_failover(cluster, "the promotion lease is not renewed");
        }
        let may_take_effect =
            failover.promote_sent.is_some_and(|sent| now < sent + PROMOTION_EFFECT_TIMEOUT);
        if timed_out && !may_take_effect {
            return self.abort_failover(cluster, "failover timed out");
        }
        if self.has_new_primary(cluster) {
            return self.complete_failover(cluster);
        }
        let token = self.promotion_lease.fencing_token(now);
        if stage != FailoverStage::Claiming && token.is_some_and(|token| token != announced_token) {
            // Another node has held the lease since. It may have lifted the fences, and ended the
            // announcement, after the logs were compared.
            if !may_take_effect {
                self.abort_failover(cluster, "another node has held the promotion lease");
            }
            return;
        }
        if token.is_none() && stage != FailoverStage::Claiming {
            // `maintain_promotion_lease` renews the claim; nothing is done without it.
            if self.promotion_lease.is_held_elsewhere(now) {
                self.abort_failover(cluster, "another node holds the promotion lease");
            }
            return;
        }
        if !stage.is_irreversible() && stage != FailoverStage::Claiming {
            self.ask_old_primary(cluster);
        }
        match stage {
            FailoverStage::Claiming if self.is_failover_announced(cluster, number) => {
                let (revision, _) = self.promotion_lease.record();
                if let Some(failover) = self.failovers.running.get_mut(cluster) {
                    failover.announced = revision;
                    failover.fencing_token = token.unwrap_or_default();
                }
                self.set_stage(cluster, FailoverStage::Listing);
                self.step_failover(cluster);
            }
            FailoverStage::Claiming if self.promotion_lease.is_held_elsewhere(now) => {
                self.abort_failover(cluster, "another node holds the promotion lease");
            }
            FailoverStage::Claiming => {}
            FailoverStage::Listing | FailoverStage::Relisting | FailoverStage::FinalListing => {
                if !in_flight || may_retry {
                    self.record_step(cluster);
                    self.out.push(GateAction::ReadStoreState);
                }
            }
            FailoverStage::Demoting => {
                if now >= last_step + DEMOTE_TIMEOUT {
                    self.demotion_overdue(cluster);
                } else {
                    self.request_demotion(cluster);
                }
            }
            FailoverStage::Probing => self.probe_replicas(cluster),
            FailoverStage::Fencing | FailoverStage::Comparing => self.fence_replicas(cluster),
            FailoverStage::AwaitingAcknowledgements => self.wait_for_acknowledgements(cluster),
            FailoverStage::Promoting => {
                if !in_flight && may_retry && !timed_out {
                    self.send_promote(cluster);
                }
            }
            FailoverStage::AwaitingNewPrimary => {
                if may_retry && let Some(new_primary) = self.new_primary(cluster) {
                    self.record_step(cluster);
                    self.request_report(&new_primary);
                }
            }
        }
    }

    /// Asks the old primary whether it is one, also if it did not answer lately: the node may have
    /// missed a promotion. The failover does not wait for the answer.
    fn ask_old_primary(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(failover) = self.failovers.running.get_mut(cluster) else { return };
        let Some(old) = failover.old_primary.clone() else { return };
        if failover.only_lifts_fences
            || failover.old_primary_asked.is_some_and(|at| now < at + OLD_PRIMARY_INTERVAL)
        {
            return;
        }
        failover.old_primary_asked = Some(now);
        let share = self.steady_connections(cluster);
        let Some(database) = self.databases.get_mut(&old) else { return };
        // A report that was requested before the database answered again may be lost.
        database.report_requested_at = None;
        database.report_wanted = true;
        // Attempts that are not answered do not count, as the database may answer the next one.
        let open = database.connections.len().saturating_sub(database.opening as usize);
        let limit = database.connection_limit(now, share);
        if !database.idle.is_empty() {
            self.send_wanted_report(&old);
        } else if open < limit as usize {
            self.open_connection(&old, None);
        }
    }

    /// Processes a report of the database that a failover takes for the old primary. If it is a
    /// replica, it is compared; if a newer term has begun, the failover is given up.
    pub(crate) fn old_primary_reported(
        &mut self,
        cluster: &Name,
        database: &Name,
        report: &DatabaseReport,
    ) {
        let Some(failover) = self.failovers.running.get(cluster) else { return };
        if failover.old_primary.as_ref() != Some(database)
            || report.role == DatabaseRole::Primary
            || failover.stage.is_irreversible()
        {
            return;
        }
        if report.term >= failover.term {
            return self.abort_failover(cluster, "a newer term has begun");
        }
        self.compare_old_primary(cluster);
    }

    /// Counts the old primary as a replica: it must be fenced, and its log is compared.
    fn compare_old_primary(&mut self, cluster: &Name) {
        let Some(failover) = self.failovers.running.get_mut(cluster) else { return };
        if let Some(old) = failover.old_primary.take() {
            let record = fields!["cluster" => cluster, "database" => &old];
            self.log("takeover_compares_primary", record);
        }
    }

    /// Returns true if the primary to be replaced still answers. Aborting is then better than
    /// fences that keep it from committing.
    pub(crate) fn old_primary_responds(&self, cluster: &Name) -> bool {
        let old =
            self.failovers.running.get(cluster).and_then(|failover| failover.old_primary.as_ref());
        old.and_then(|old| self.databases.get(old))
            .is_some_and(|database| !database.listed.leaving && database.is_responsive(self.now))
    }

    fn new_primary(&self, cluster: &Name) -> Option<Name> {
        self.failovers.running.get(cluster)?.new_primary.clone()
    }

    pub(crate) fn set_stage(&mut self, cluster: &Name, stage: FailoverStage) {
        let now = self.now;
        if let Some(failover) = self.failovers.running.get_mut(cluster) {
            failover.stage = stage;
            failover.in_flight = false;
            failover.last_step = now;
        }
        self.log("takeover_stage", fields!["cluster" => cluster, "stage" => stage.name()]);
    }

    fn record_step(&mut self, cluster: &Name) {
        let now = self.now;
        if let Some(failover) = self.failovers.running.get_mut(cluster) {
            failover.in_flight = true;
            failover.last_step = now;
        }
    }

    /// Returns true if a primary of a newer term reports, regardless of which node promoted it.
    fn has_new_primary(&self, cluster: &Name) -> bool {
        let (Some(failover), Some(state)) =
            (self.failovers.running.get(cluster), self.clusters.get(cluster))
        else {
            return false;
        };
        let proof = &state.proof;
        proof.leader().is_some()
            && proof.leader() != failover.old_primary.as_ref()
            && proof.term() >= failover.term
    }

    /// Processes the state of the store; `None` means that the store did not answer.
    pub(crate) fn store_state_read(&mut self, state: Option<StoreState>) {
        let clusters: Vec<Name> = self.failovers.running.keys().cloned().collect();
        // A restored store may lack registrations of nodes that have read leases of the former era.
        let present = state.filter(|state| self.is_in_present_era(state.revision));
        let Some(StoreState { databases, documents, .. }) = present else {
            for failover in self.failovers.running.values_mut() {
                if failover.stage.reads_lists() {
                    failover.in_flight = false;
                }
            }
            return;
        };
        for listed in &databases {
            let known = self.databases.get(&listed.id).map(|database| &database.listed);
            if known.is_none_or(|known| known.started_at_ms != listed.started_at_ms) {
                self.database_listed(listed.clone());
            }
        }
        for cluster in clusters {
            let Some(failover) = self.failovers.running.get_mut(&cluster) else { continue };
            if !failover.stage.reads_lists() || !failover.in_flight {
                continue;
            }
            // This node may have missed a promotion. What was the primary may then hold the only copy
            // of a commit of the newer one.
            let former = databases.iter().find(|listed| {
                failover.old_primary.as_ref() == Some(&listed.id)
                    && listed.claimed_role == Some(DatabaseRole::Replica)
            });
            if former.is_some() {
                self.compare_old_primary(&cluster);
            }
            let Some(failover) = self.failovers.running.get_mut(&cluster) else { continue };
            let mut replicas: Vec<Name> = databases
                .iter()
                .filter(|listed| listed.cluster == cluster)
                .map(|listed| listed.id.clone())
                .filter(|name| Some(name) != failover.old_primary.as_ref())
                .collect();
            // An entry may expire while its database is alive and holds the only copy of a commit.
            // Such a database must be fenced until it is removed.
            if let Some(state) = self.clusters.get(&cluster) {
                let known = state.members.iter().filter(|name| {
                    Some(*name) != failover.old_primary.as_ref() && !replicas.contains(name)
                });
                let known: Vec<Name> = known.cloned().collect();
                replicas.extend(known);
            }
            let stage = failover.stage;
            failover.relisted = stage == FailoverStage::Relisting;
            if failover.relisted {
                failover.unacknowledged =
                    unacknowledged_nodes(&documents, &self.settings.node, failover.announced);
                failover.acknowledged_at = self.now;
                let last_departure = self.registry.last_departure().unwrap_or(self.started);
                failover.read_leases_expired_at = last_departure.max(self.started) + READ_LEASE_TTL;
            }
            // Nodes that have registered since, such as one whose lease was ended.
            let late = stage == FailoverStage::FinalListing
                && failover.add_unacknowledged(unacknowledged_nodes(
                    &documents,
                    &self.settings.node,
                    failover.announced,
                ));
            replicas.retain(|name| !failover.left_out.contains(name));
            failover.replicas = replicas;
            let holders = self.recorded_holders(&documents, &cluster);
            let Some(failover) = self.failovers.running.get_mut(&cluster) else { continue };
            failover.holders = holders;
            if failover.only_lifts_fences {
                self.lift_fences(&cluster);
                continue;
            }
            let fenced = failover.replicas.iter().all(|name| failover.fenced.contains_key(name));
            match stage {
                FailoverStage::Listing => self.set_stage(&cluster, FailoverStage::Probing),
                FailoverStage::FinalListing if fenced && late => {
                    self.set_stage(&cluster, FailoverStage::AwaitingAcknowledgements);
                }
                FailoverStage::FinalListing if fenced => {
                    self.demote_old_primary(&cluster);
                    continue;
                }
                _ => self.set_stage(&cluster, FailoverStage::Fencing),
            }
            self.step_failover(&cluster);
        }
    }

    /// Waits until no node can rely on a read lease from before the announcement.
    fn wait_for_acknowledgements(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(failover) = self.failovers.running.get_mut(cluster) else { return };
        let (announced, registry) = (failover.announced, &self.registry);
        let era = self.store_era;
        let missing = failover.unacknowledged.len();
        failover.unacknowledged.retain(|node, revocation| {
            revocation.is_ended() || !registry.has_acknowledged(node, announced)
        });
        if failover.unacknowledged.len() < missing {
            failover.acknowledged_at = now;
        }
        let mut ends = Vec::new();
        for (node, revocation) in &mut failover.unacknowledged {
            if let LeaseRevocation::Held { lease, requested_at } = revocation
                && now >= failover.last_step + ACKNOWLEDGE_TIMEOUT
                && requested_at.is_none_or(|at| now >= at + STEP_RETRY_INTERVAL)
            {
                *requested_at = Some(now);
                ends.push(GateAction::EndLease { node: node.clone(), lease: *lease, era });
            }
        }
        let all_ended = failover.unacknowledged.values().all(|revocation| revocation.is_ended());
        // This node does not wait for its own acknowledgement.
        let own_commits = self.clusters.get(cluster).and_then(|state| state.announced_at);
        let last_commit = failover
            .read_leases_expired_at
            .max(failover.acknowledged_at)
            .max(own_commits.unwrap_or(now) + COMMIT_GRACE)
            .max(failover.last_step);
        if all_ended && now >= last_commit + LISTING_DELAY {
            failover.fenced.clear();
            failover.fence_sent.clear();
            self.set_stage(cluster, FailoverStage::Comparing);
            return self.fence_replicas(cluster);
        }
        self.out.append(&mut ends);
    }

    /// Processes the answer to a call that ends another node's lease. After the end, the node's
    /// read lease runs out within [`READ_LEASE_TTL`].
    pub(crate) fn end_lease_answered(&mut self, node: &Name, ended: bool) {
        let now = self.now;
        self.log("lease_ended", fields!["node" => node, "ended" => ended]);
        for failover in self.failovers.running.values_mut() {
            if ended
                && let Some(revocation) = failover.unacknowledged.get_mut(node)
                && let LeaseRevocation::Held { lease, .. } = *revocation
            {
                *revocation = LeaseRevocation::Ended { lease };
                failover.read_leases_expired_at =
                    failover.read_leases_expired_at.max(now + READ_LEASE_TTL);
            }
        }
    }

    /// Chooses the new primary and promotes it. The logs are compared anew if a replica has started
    /// again since, or if they prove too little now.
    pub(crate) fn choose_new_primary(&mut self, cluster: &Name) {
        let compared = self.failovers.running.get(cluster).is_some_and(|failover| {
            failover.replicas.iter().all(|name| failover.fenced.contains_key(name))
        });
        let proved = compared && self.missing_log_reason(cluster).is_none();
        let Some((name, position)) = self.longest_fenced_log(cluster).filter(|_| proved) else {
            return self.set_stage(cluster, FailoverStage::Listing);
        };
        if let Some(failover) = self.failovers.running.get_mut(cluster) {
            failover.new_primary = Some(name.clone());
        }
        let mut record =
            fields!["cluster" => cluster, "database" => &name, "position" => position.to_string()];
        record.extend(self.comparison_fields(cluster));
        self.log("takeover_chosen", record);
        self.set_stage(cluster, FailoverStage::Promoting);
        self.send_promote(cluster);
    }

    fn send_promote(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(token) = self.promotion_lease.fencing_token(now) else { return };
        let Some(failover) = self.failovers.running.get(cluster) else { return };
        let Some(database) = failover.new_primary.clone() else { return };
        if failover.fencing_token != token {
            return;
        }
        if !failover.fenced.contains_key(&database) {
            return self.set_stage(cluster, FailoverStage::Listing);
        }
        self.record_step(cluster);
        if let Some(failover) = self.failovers.running.get_mut(cluster) {
            failover.promote_sent = Some(now);
        }
        self.log(
            "promote_sent",
            fields!["cluster" => cluster, "database" => &database, "number" => token],
        );
        self.out.push(GateAction::Promote {
            cluster: cluster.clone(),
            database,
            holder: self.settings.node.clone(),
            fencing_token: token,
        });
    }

    pub(crate) fn promote_answered(&mut self, cluster: &Name, result: PromoteResult) {
        let outcome = match result {
            PromoteResult::Accepted => "accepted",
            PromoteResult::Rejected => "rejected",
            PromoteResult::Failed => "failed",
        };
        self.log("promote_answered", fields!["cluster" => cluster, "outcome" => outcome]);
        let Some(failover) = self.failovers.running.get_mut(cluster) else { return };
        failover.in_flight = false;
        match result {
            PromoteResult::Accepted => self.set_stage(cluster, FailoverStage::AwaitingNewPrimary),
            PromoteResult::Failed => {}
            PromoteResult::Rejected => {
                failover.promote_sent = None;
                failover.fenced.clear();
                self.set_stage(cluster, FailoverStage::Listing);
            }
        }
    }

    fn complete_failover(&mut self, cluster: &Name) {
        let Some(failover) = self.failovers.running.remove(cluster) else { return };
        let Some(state) = self.clusters.get(cluster) else { return };
        let term = state.proof.term();
        let leader = state.proof.leader().cloned().unwrap_or_default();
        let took = self.now.saturating_sub(failover.started);
        self.count("takeovers_completed");
        self.log(
            "takeover_completed",
            fields![
                "cluster" => cluster,
                "leader" => &leader,
                "term" => term.0,
                "took_ms" => took.as_millis()
            ],
        );
        self.failovers.due_since.remove(cluster);
        self.failovers.missing_log_since.remove(cluster);
        if let Some(old) = failover.old_primary {
            let demotion = LateDemotion { term, since: self.now };
            self.failovers.demotions.insert(old.clone(), demotion);
            self.send_late_demotion(&old);
        }
    }

    pub(crate) fn abort_failover(&mut self, cluster: &Name, reason: &'static str) {
        let now = self.now;
        let Some(failover) = self.failovers.running.remove(cluster) else { return };
        self.count("takeovers_given_up");
        self.log(
            "takeover_given_up",
            fields!["cluster" => cluster, "stage" => failover.stage.name(), "reason" => reason],
        );
        self.failovers.due_since.remove(cluster);
        self.failovers.backoff_until.insert(cluster.clone(), now + FAILOVER_BACKOFF);
        if failover.stage.is_irreversible() {
            return;
        }
        // Those of an earlier failover too, and those whose commands have not been answered.
        let mut fenced = match self.clusters.get(cluster) {
            Some(state) => state.proof.fenced_replicas(),
            None => Vec::new(),
        };
        fenced.extend(failover.fenced.into_keys().chain(failover.fence_sent.into_keys()));
        fenced.sort();
        fenced.dedup();
        for name in fenced {
            self.unfence(&name);
        }
    }
}

/// Returns the other registered owners that have not acknowledged an announcement.
fn unacknowledged_nodes(
    documents: &[StoredDocument],
    own: &Name,
    announced: u64,
) -> FastMap<Name, LeaseRevocation> {
    let mut missing = FastMap::default();
    for stored in documents {
        let Document::Node(NodeRole::Owner, node) = &stored.document else { continue };
        // A node whose record cannot be read counts as one that has acknowledged nothing.
        let record: NodeRecord = serde_json::from_slice(&stored.bytes).unwrap_or_default();
        if node != own && record.acknowledged < announced {
            let revocation = LeaseRevocation::Held { lease: stored.lease, requested_at: None };
            missing.insert(node.clone(), revocation);
        }
    }
    missing
}
