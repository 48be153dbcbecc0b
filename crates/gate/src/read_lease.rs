//! This node's read lease, and announcements of failovers.
//!
//! The read lease is the lease of the node's registration. It is valid for [`READ_LEASE_TTL`] after
//! the last successful renewal was *sent*. A node that starts a failover announces it. Before it
//! promotes, it waits for the acknowledgement of each registered owner, or ends that node's lease
//! and waits [`READ_LEASE_TTL`].
//!
//! Nobody waits for a node that registers after the last list of a failover. Its read lease is
//! therefore not valid before the node has followed the store up to its own registration, and with it
//! up to the announcement of any such failover.
//!
//! A node that has seen an announcement sends no more writes to the primary that is to be replaced,
//! and after [`COMMIT_GRACE`] reports none of its commits as successful. The fences alone do not
//! prevent such commits: a replica that starts again has lost its fence. Then the node acknowledges
//! the announcement, and tells how long it knows the cluster's log to be.

use std::collections::BTreeMap;

use model::{Micros, Name};

use crate::event::NodeRole;
use crate::registry::LogEndRecord;
use crate::{Gate, fields};

/// Time for which a renewal permits reads at a primary. Two renewals fit in even if the store
/// answers 60 times slower than its usual 4 ms.
pub const READ_LEASE_TTL: Micros = Micros::from_millis(800);

/// Time after an announcement was seen in which commits of the primary that is to be replaced still
/// count, so that most writes in flight get their outcome. The announcement is acknowledged after
/// it.
pub(crate) const COMMIT_GRACE: Micros = Micros::from_millis(20);

/// Time of uninterrupted store contact after which the list of databases is complete: entries that
/// expired while the store was unavailable are back within about two seconds.
const RELIST_GRACE: Micros = Micros::from_millis(2_500);

/// Time of uninterrupted store contact after which a node may suspect primaries. A node that was
/// cut off needs it to reach the databases again.
const STABLE_CONTACT_GRACE: Micros = Micros::from_millis(800);

/// Time for which a standby counts as in contact with the store after a renewal: two renewals,
/// because one answer may be lost, and the time of a slow answer.
const STORE_CONTACT_TIMEOUT: Micros = Micros::from_millis(2_300);

/// Age of the last call to the store up to which its answer shows that this node is not cut off: the
/// interval between renewals at an owner, and a slow answer.
const RECENT_CONTACT_AGE: Micros = Micros::from_millis(500);

/// Time after the end of a failover without a promotion in which one of its fences may still take
/// effect: databases drop a connection whose remote end is unreachable after 3 s.
const LATE_FENCE_DELAY: Micros = Micros::from_millis(3_000);

/// State of this node's read lease and of the announcements it has seen.
#[derive(Debug, Default)]
pub(crate) struct ReadLeaseState {
    /// When the first renewal was sent.
    acquired: Option<Micros>,
    until: Micros,
    /// Revision at which the registration was first stored under the lease.
    registered: Option<u64>,
    /// All changes of the store up to `registered` are known.
    is_registration_followed: bool,
    /// Since when the read lease has been valid without a gap.
    continuous_since: Micros,
    /// Revision of the newest announcement that this node has acted on.
    pub(crate) acknowledged: u64,
    /// Ends of the logs of the announced clusters when it was acknowledged.
    pub(crate) acknowledged_log_ends: BTreeMap<String, LogEndRecord>,
    /// Revision of an announcement that is not acknowledged yet, and when it is.
    unacknowledged: Option<(u64, Micros)>,
    announced: Vec<String>,
    /// Numbers of the announced failovers.
    announced_numbers: BTreeMap<String, u64>,
    /// Fencing token of the holder that announced them.
    announced_token: u64,
    /// When the last renewal as a standby was sent.
    last_contact: Option<Micros>,
}

impl Gate {
    pub(crate) fn read_lease_renewed(&mut self, sent: Micros, role_changes: u64) {
        let state = &self.registration;
        if state.role != NodeRole::Owner || state.role_changes != role_changes {
            return;
        }
        let is_first = self.read_lease.acquired.is_none();
        self.read_lease.acquired.get_or_insert(sent);
        if self.read_lease.until < self.now {
            self.read_lease.continuous_since = self.now;
        }
        self.read_lease.until = self.read_lease.until.max(sent + READ_LEASE_TTL);
        if is_first && self.read_lease.is_registration_followed {
            self.log_read_lease();
        } else if !self.read_lease.is_registration_followed {
            self.count("read_lease_renewals_unfollowed");
        }
    }

    /// Records that the registration was stored under a lease.
    pub(crate) fn read_lease_registered(&mut self, revision: u64) {
        self.read_lease.registered.get_or_insert(revision);
    }

    /// Makes the read lease valid once all changes up to the registration are known.
    pub(crate) fn follow_read_lease_registration(&mut self) {
        let (state, followed) = (&mut self.read_lease, self.store_view.revision);
        if state.is_registration_followed
            || state.registered.is_none_or(|registered| registered > followed)
        {
            return;
        }
        state.is_registration_followed = true;
        if state.acquired.is_some() {
            self.log_read_lease();
        }
    }

    fn log_read_lease(&mut self) {
        let record = fields![
            "held" => true,
            "registered" => self.read_lease.registered.unwrap_or_default(),
            "followed" => self.store_view.revision
        ];
        self.log("permit", record);
    }

    /// Returns true if entries of databases that expired while the store was unavailable are listed
    /// again.
    pub(crate) fn has_complete_database_list(&self) -> bool {
        self.read_lease_acquired().is_some()
            && self.now >= self.read_lease.continuous_since + RELIST_GRACE
    }

    /// Returns true if this node has had uninterrupted store contact for a while.
    pub(crate) fn has_stable_store_contact(&self) -> bool {
        self.read_lease_acquired().is_some()
            && self.now >= self.read_lease.continuous_since + STABLE_CONTACT_GRACE
    }

    pub(crate) fn read_lease_lost(&mut self) {
        self.read_lease = ReadLeaseState {
            acquired: None,
            until: Micros::ZERO,
            registered: None,
            is_registration_followed: false,
            continuous_since: Micros::ZERO,
            ..std::mem::take(&mut self.read_lease)
        };
        self.log("permit", fields!["held" => false]);
    }

    pub(crate) fn store_contact_renewed(&mut self, sent: Micros) {
        self.read_lease.last_contact = self.read_lease.last_contact.max(Some(sent));
    }

    /// Returns true if the store answered this node recently.
    pub(crate) fn has_store_contact(&self) -> bool {
        let contact = self.read_lease.last_contact;
        self.is_lease_renewed() || contact.is_some_and(|at| self.now < at + STORE_CONTACT_TIMEOUT)
    }

    /// Returns true if a call to the store that was answered was sent so recently that this node
    /// was not cut off before the data centres that it does not reach.
    pub(crate) fn has_recent_store_contact(&self) -> bool {
        let lease = self.is_lease_renewed().then_some(self.read_lease.until);
        let renewal = lease.map(|until| until.saturating_sub(READ_LEASE_TTL));
        let contact = self.read_lease.last_contact.max(renewal);
        contact.is_some_and(|at| self.now < at + RECENT_CONTACT_AGE)
    }

    /// Returns since when the read lease is held, if it is valid now.
    pub(crate) fn read_lease_acquired(&self) -> Option<Micros> {
        let state = &self.read_lease;
        state.acquired.filter(|_| self.is_lease_renewed() && state.is_registration_followed)
    }

    /// Returns true if the lease of the registration was renewed in time.
    fn is_lease_renewed(&self) -> bool {
        self.read_lease.acquired.is_some() && self.now < self.read_lease.until
    }

    /// Returns true if a failover of the cluster is announced.
    pub(crate) fn is_announced(&self, cluster: &Name) -> bool {
        self.read_lease.announced.iter().any(|name| name == cluster.as_str())
    }

    /// Returns true if an announced failover may replace the leader that this node knows.
    pub(crate) fn is_leader_suspended(&self, cluster: &Name) -> bool {
        let replaced = self.clusters.get(cluster).is_some_and(|state| {
            state.announced_term.is_some_and(|term| state.proof.term() > term)
        });
        self.is_announced(cluster) && !replaced
    }

    /// Returns true if a commit that a database has just acknowledged cannot be lost by an announced
    /// failover. Another node checks the commits that it answers for itself.
    pub(crate) fn is_commit_kept(&self, cluster: &Name, database: &Name) -> bool {
        if !self.is_announced(cluster) || self.is_peer(database) {
            return true;
        }
        let Some(state) = self.clusters.get(cluster) else { return false };
        let in_grace = state.announced_at.is_some_and(|at| self.now < at + COMMIT_GRACE);
        let by_new_primary =
            !self.is_leader_suspended(cluster) && state.proof.leader() == Some(database);
        in_grace || by_new_primary
    }

    /// Extends the proof of the cluster's leader by the read lease.
    pub(crate) fn apply_read_lease(&mut self, cluster: &Name) {
        let now = self.now;
        if self.is_announced(cluster) || !self.are_former_failovers_over() {
            return;
        }
        if let Some(acquired) = self.read_lease_acquired()
            && let Some(state) = self.clusters.get_mut(cluster)
        {
            let since = acquired.max(state.last_failover_end);
            state.proof.extend_by_read_lease(since, now);
            if !state.proof.needs_direct_proof(since) {
                state.commit_proof.extend_by_read_lease(now);
            }
        }
    }

    /// Acts on the stored announcement. It is acknowledged when no more commits of the primaries
    /// that are to be replaced count.
    pub(crate) fn announcement_seen(&mut self) {
        let now = self.now;
        let (revision, record) = self.promotion_lease.record();
        let announced = &self.read_lease.announced;
        let adds_none = record.announced_clusters.iter().all(|name| announced.contains(name));
        if record.era != self.store_era && adds_none {
            // A restored record does not show that a failover has ended.
            return;
        }
        // The next holder waits for acknowledgements of its own announcement, although the clusters
        // may be the same.
        let token = record.fencing_token;
        let same_holder =
            record.announced_clusters.is_empty() || token == self.read_lease.announced_token;
        if same_holder
            && record.announced_clusters == self.read_lease.announced
            && record.failover_numbers == self.read_lease.announced_numbers
        {
            return;
        }
        let mut announced_clusters = record.announced_clusters.clone();
        if record.era != self.store_era {
            let lost = announced.iter().filter(|name| !record.announced_clusters.contains(name));
            announced_clusters.extend(lost.cloned());
        }
        let numbers = record.failover_numbers.clone();
        let mut suspended = Vec::new();
        for name in &announced_clusters {
            let Some(state) = self.clusters.get_mut(name.as_str()) else { continue };
            // The next holder, or the next failover, may replace the primary that was promoted last.
            // If none was, the grace for commits does not begin again.
            let promoted = state.announced_term.is_none_or(|term| state.proof.term() > term);
            let repeated =
                same_holder && numbers.get(name) == self.read_lease.announced_numbers.get(name);
            if !self.read_lease.announced.contains(name) || !repeated && promoted {
                state.announced_term = Some(state.proof.term());
                state.announced_at = Some(now);
                suspended.push(Name::from(name.as_str()));
            }
        }
        // A report from before the end of the failover may be of the old primary's term.
        let mut without_promotion = Vec::new();
        for name in
            self.read_lease.announced.iter().filter(|name| !announced_clusters.contains(name))
        {
            if let Some(state) = self.clusters.get_mut(name.as_str()) {
                state.last_failover_end = now;
                state.announced_at = None;
                if state.announced_term.is_some_and(|term| state.proof.term() <= term) {
                    state.proof.require_leader_report(now);
                    without_promotion.push(Name::from(name.as_str()));
                }
            }
        }
        self.read_lease.announced = announced_clusters.clone();
        self.read_lease.announced_numbers = numbers;
        self.read_lease.announced_token = token;
        if announced_clusters.is_empty() {
            self.read_lease.acknowledged = revision;
            self.read_lease.unacknowledged = None;
        } else {
            self.read_lease.unacknowledged = Some((revision, now + COMMIT_GRACE));
        }
        self.log(
            "announcement_seen",
            fields!["revision" => revision, "clusters" => announced_clusters.join(",")],
        );
        for cluster in suspended {
            self.reroute_from_suspended_leader(&cluster);
        }
        for cluster in without_promotion {
            if self.owns_connections(&cluster) {
                self.request_all_reports(&cluster);
                if let Some(state) = self.clusters.get_mut(&cluster) {
                    state.fence_check_due = Some(self.now + LATE_FENCE_DELAY);
                }
            }
        }
    }

    /// Acknowledges the announcement once the last commits of the primaries that are to be replaced
    /// have been reported.
    pub(crate) fn acknowledge_when_due(&mut self) {
        let now = self.now;
        let Some((revision, _)) = self.read_lease.unacknowledged.take_if(|(_, due)| now >= *due)
        else {
            return;
        };
        let ends =
            self.read_lease.announced.iter().filter_map(|name| {
                Some((name.clone(), self.own_log_end(&Name::from(name.as_str()))?))
            });
        self.read_lease.acknowledged_log_ends = ends.collect();
        self.read_lease.acknowledged = revision;
        self.acknowledge_announcement();
    }
}
