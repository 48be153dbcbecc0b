//! This node's registration in the store.
//!
//! An owner registers under a lease that is its read lease, and failovers wait for its
//! acknowledgement. A standby registers separately and renews less often, and no failover waits for
//! it. The two registrations are different documents under different leases, so a write that takes
//! effect late cannot make an owner look like a standby.

use std::collections::{BTreeMap, BTreeSet};

use model::{Micros, Name};

use crate::action::GateAction;
use crate::database::{CommandPurpose, PendingCommand};
use crate::event::NodeRole;
use crate::peer::PEER_PROTOCOL;
use crate::registry::NodeRecord;
use crate::{Gate, fields};

/// Minimum time between two publications of this node's registration.
const PUBLISH_INTERVAL: Micros = Micros::from_millis(150);

/// Time after the first list for which a node that found no other stays a standby. Nodes that start
/// together register in this time; otherwise each of many nodes would briefly own connections.
const DISCOVERY_GRACE: Micros = Micros::from_millis(1_000);

/// Time after which an owner registers as one although it knows no primary, because the other nodes
/// may not know one either.
const WARM_UP_TIMEOUT: Micros = Micros::from_millis(500);

/// This node's role, and what it last published.
#[derive(Debug, Default)]
pub(crate) struct RegistrationState {
    record: Option<NodeRecord>,
    published_at: Micros,
    pub(crate) role: NodeRole,
    /// Counts the changes of role and the lost registrations, to recognize renewals of an ended
    /// registration.
    pub(crate) role_changes: u64,
    /// Revision at which the registration was last stored.
    stored_revision: Option<u64>,
    /// Revision and time of sending of a write whose revision this node has not followed yet.
    unobserved_write: Option<(u64, Micros)>,
    /// Since when this node has owned connections.
    owning_since: Option<Micros>,
    /// When the list of nodes was first read, and whether it contained others.
    pub(crate) listed: Option<(Micros, bool)>,
}

impl Gate {
    /// Records that the list of nodes was read.
    pub(crate) fn nodes_listed(&mut self) {
        let others = self.registry.others().next().is_some();
        self.registration.listed.get_or_insert((self.now, others));
        self.update_owners();
    }

    /// Updates the role, and publishes the registration if it has changed.
    pub(crate) fn maintain_registration(&mut self, suspected_clusters: BTreeSet<String>) {
        let now = self.now;
        let Some((listed, others)) = self.registration.listed else { return };
        let settled = others || self.node_count.is_known() || now >= listed + DISCOVERY_GRACE;
        let owns = self.table.clusters.keys().any(|cluster| self.owns_connections(cluster));
        let warmed_up = self.registration.role == NodeRole::Owner || self.is_warmed_up();
        let role = match self.registration.role {
            // Requests in flight still need the read lease.
            role if self.drain.since.is_some() => role,
            _ if owns && settled && warmed_up => NodeRole::Owner,
            // Failovers wait only for owners, and this one may still commit.
            NodeRole::Owner if self.has_open_work() => NodeRole::Owner,
            _ => NodeRole::Standby,
        };
        if role != self.registration.role {
            self.registration.role = role;
            self.forget_registration();
            self.log("role", fields!["owner" => role == NodeRole::Owner]);
        }
        let record = self.node_record(suspected_clusters);
        let state = &self.registration;
        let due = state.record.is_none() || now >= state.published_at + PUBLISH_INTERVAL;
        if due && state.record.as_ref() != Some(&record) {
            self.publish(record);
        }
    }

    pub(crate) fn registration_stored(&mut self, role_changes: u64, revision: u64, sent: Micros) {
        if role_changes == self.registration.role_changes {
            self.registration.stored_revision = Some(revision);
            self.read_lease_registered(revision);
        }
        self.registration.unobserved_write = Some((revision, sent));
        self.observe_stored_registration();
    }

    /// Extends the proof of commits, and makes the read lease valid, once all changes up to the stored
    /// registration are known: a failover that was announced before the write was sent would be known,
    /// too.
    pub(crate) fn observe_stored_registration(&mut self) {
        self.follow_read_lease_registration();
        let followed = self.store_view.revision;
        let write = self.registration.unobserved_write.take_if(|write| write.0 <= followed);
        let Some((_, sent)) = write else { return };
        if !self.are_former_failovers_over() {
            return;
        }
        let clusters: Vec<Name> = self.clusters.keys().cloned().collect();
        for cluster in clusters {
            if self.is_announced(&cluster) {
                continue;
            }
            if let Some(state) = self.clusters.get_mut(&cluster) {
                state.commit_proof.extend_by_registration(sent);
            }
        }
    }

    /// Handles that a node's registration in a role was removed or replaced by another writer. If it
    /// is this node's present one, no failover waits for this node any more.
    pub(crate) fn own_registration_missing(&mut self, role: NodeRole, node: &Name, revision: u64) {
        let is_newer = self.registration.stored_revision.is_some_and(|stored| revision > stored);
        if *node != self.settings.node || role != self.registration.role || !is_newer {
            return;
        }
        self.count("registrations_lost");
        self.log("registration_lost", fields!["revision" => revision]);
        self.forget_registration();
    }

    /// Gives the read lease up; the registration is published again at the next timer event.
    pub(crate) fn forget_registration(&mut self) {
        self.registration.role_changes += 1;
        self.registration.stored_revision = None;
        self.registration.record = None;
        self.read_lease_lost();
    }

    /// Returns true if this node can serve most of the clusters that it owns, or has tried for long
    /// enough.
    fn is_warmed_up(&mut self) -> bool {
        let owned = self.table.clusters.keys().filter(|cluster| self.owns_connections(cluster));
        let (mut count, mut usable) = (0, 0);
        for cluster in owned {
            count += 1;
            usable += usize::from(self.usable_leader(cluster).is_some());
        }
        if count == 0 {
            self.registration.owning_since = None;
            return false;
        }
        let since = *self.registration.owning_since.get_or_insert(self.now);
        usable * 2 > count || self.now >= since + WARM_UP_TIMEOUT
    }

    /// Returns true if a transaction or a statement of a client is open at a database.
    fn has_open_work(&self) -> bool {
        self.connections.values().any(|connection| {
            let runs = |pending: &PendingCommand| {
                matches!(pending.purpose, CommandPurpose::Begin(_) | CommandPurpose::Run(_))
            };
            !self.is_peer(&connection.database)
                && (connection.transaction_session.is_some() || connection.pending.iter().any(runs))
        })
    }

    /// Publishes the registration immediately to acknowledge an announcement.
    pub(crate) fn acknowledge_announcement(&mut self) {
        let last = self.registration.record.as_ref();
        if let Some(suspected_clusters) = last.map(|record| record.suspected_clusters.clone())
            && self.registration.role == NodeRole::Owner
        {
            let record = self.node_record(suspected_clusters);
            self.publish(record);
        }
    }

    fn node_record(&self, suspected_clusters: BTreeSet<String>) -> NodeRecord {
        NodeRecord {
            era: self.store_era,
            former_log_holders: self.former_log_holders(),
            incarnation: self.settings.incarnation,
            suspected_clusters,
            acknowledged: match self.registration.role {
                NodeRole::Owner => self.read_lease.acknowledged,
                NodeRole::Standby => 0,
            },
            log_ends: match self.registration.role {
                NodeRole::Owner => self.read_lease.acknowledged_log_ends.clone(),
                NodeRole::Standby => BTreeMap::new(),
            },
            peer_address: self.settings.peer_address,
            relay_address: self.settings.relay_address,
            data_centre: self.settings.data_centre.to_string(),
            leaving: self.drain.since.is_some(),
            capacity: self.settings.capacity,
            peer_protocol: PEER_PROTOCOL,
        }
    }

    fn publish(&mut self, record: NodeRecord) {
        if let Some(bytes) = self.write_record("node", &record) {
            let (role, role_changes) = (self.registration.role, self.registration.role_changes);
            self.out.push(GateAction::PublishRegistration { role, role_changes, bytes });
        }
        self.registration.record = Some(record);
        self.registration.published_at = self.now;
    }
}
