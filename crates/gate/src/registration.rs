//! This node's registration in the store.
//!
//! A node that owns connections registers under a lease that is its read permit, and changes of primary wait for
//! its acknowledgement. A node that only forwards registers apart, renews more rarely, and nobody waits for it.
//! The two registrations are different documents under different leases, so a write that takes effect late
//! cannot make an owner look like a standby.

use std::collections::BTreeSet;

use model::Micros;

use crate::action::GateAction;
use crate::event::NodeRole;
use crate::registry::NodeRecord;
use crate::{Gate, fields};

/// Least time between two publications of this node's registration.
const PUBLISH_INTERVAL: Micros = Micros::from_millis(150);

/// Time after the first list for which a node that found no other stays a standby. Nodes that start together
/// register meanwhile; otherwise each of many would own connections for a moment.
const STARTUP_GRACE: Micros = Micros::from_millis(1_000);

/// Time after which an owner of connections registers as one although it knows no primary: others may not either.
const WARM_UP_TIMEOUT: Micros = Micros::from_millis(500);

/// What this node last published.
#[derive(Debug, Default)]
pub(crate) struct RegistrationState {
    record: Option<NodeRecord>,
    published: Micros,
    pub(crate) role: NodeRole,
    /// Counts the changes of role, so that renewals of an ended registration are told apart.
    pub(crate) number: u64,
    /// Since when this node owns connections.
    owning: Option<Micros>,
    /// When the list of nodes was first read, and whether it named others.
    pub(crate) listed: Option<(Micros, bool)>,
}

impl Gate {
    /// Notes that the list of nodes was read.
    pub(crate) fn nodes_listed(&mut self) {
        let others = self.registry.others().next().is_some();
        self.registration.listed.get_or_insert((self.now, others));
        self.update_owners();
    }

    /// Publishes the registration if it has changed.
    pub(crate) fn maintain_registration(&mut self, suspected_clusters: BTreeSet<String>) {
        let now = self.now;
        let Some((listed, others)) = self.registration.listed else { return };
        let settled = others || self.fleet.is_known() || now >= listed + STARTUP_GRACE;
        let owns = self.table.clusters.keys().any(|cluster| self.owns_connections(cluster));
        let warm = self.registration.role == NodeRole::Owner || self.is_warmed_up();
        let role = match self.registration.role {
            // What is in flight still needs the permit.
            role if self.drain.since.is_some() => role,
            _ if owns && settled && warm => NodeRole::Owner,
            _ => NodeRole::Standby,
        };
        if role != self.registration.role {
            self.registration.role = role;
            self.registration.number += 1;
            self.registration.record = None;
            self.read_lease_lost();
            self.log("role", fields!["owner" => role == NodeRole::Owner]);
        }
        let record = self.node_record(suspected_clusters);
        let state = &self.registration;
        let due = state.record.is_none() || now >= state.published + PUBLISH_INTERVAL;
        if due && state.record.as_ref() != Some(&record) {
            self.publish(record);
        }
    }

    /// Tells whether this node can serve most clusters that it owns connections of, or has tried for long.
    fn is_warmed_up(&mut self) -> bool {
        let owned = self.table.clusters.keys().filter(|cluster| self.owns_connections(cluster));
        let (mut count, mut usable) = (0, 0);
        for cluster in owned {
            count += 1;
            usable += usize::from(self.usable_leader(cluster).is_some());
        }
        if count == 0 {
            self.registration.owning = None;
            return false;
        }
        let since = *self.registration.owning.get_or_insert(self.now);
        usable * 2 > count || self.now >= since + WARM_UP_TIMEOUT
    }

    /// Publishes the registration now, as it acknowledges an announcement.
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
            process: self.settings.process,
            suspected_clusters,
            acknowledged: match self.registration.role {
                NodeRole::Owner => self.read_lease.acknowledged,
                NodeRole::Standby => 0,
            },
            peer_address: self.settings.peer_address,
            data_centre: self.settings.data_centre.to_string(),
            leaving: self.drain.since.is_some(),
            capacity: self.settings.capacity,
        }
    }

    fn publish(&mut self, record: NodeRecord) {
        if let Some(bytes) = self.write_record("node", &record) {
            let (role, registration) = (self.registration.role, self.registration.number);
            self.out.push(GateAction::PublishNode { role, registration, bytes });
        }
        self.registration.record = Some(record);
        self.registration.published = self.now;
    }
}
