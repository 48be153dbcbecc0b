//! The number of nodes of a large deployment, kept in the store.
//!
//! After all VMs lost power, or when the leases of all nodes have expired in the store, the
//! registrations come back one by one. A node that mistook the first few for the whole deployment
//! would own connections to every database, and so would every other node. With the number of nodes
//! known, the owners are chosen when most nodes are registered.

use model::Micros;
use serde::{Deserialize, Serialize};

use crate::action::GateAction;
use crate::event::NodeRole;
use crate::owners::SMALL_DEPLOYMENT_MAX_NODES;
use crate::{Gate, fields};

/// Percentage of the known nodes that must be registered. The loss of a data centre during a
/// rolling restart leaves more.
const COMPLETE_PERCENT: u32 = 50;

/// Percentage by which the number must differ from the stored one to be stored.
const COUNT_CHANGE_PERCENT: u32 = 20;

/// Time that the other nodes get to register; after it they count as gone. It is the time to live
/// of a registration, and shorter than the users' shortest limit for a recovery (12 s).
const REGISTRATION_TIMEOUT: Micros = Micros::from_millis(3_000);

/// Time for which the number must differ before it is stored: longer than a restart.
const COUNT_CHANGE_DELAY: Micros = Micros::from_millis(5_000);

/// The stored record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeCountRecord {
    pub nodes: u32,
}

/// What is known about the number of nodes.
#[derive(Debug, Default)]
pub(crate) struct NodeCountState {
    known_nodes: u32,
    /// Since when fewer nodes than known have been registered.
    incomplete_since: Option<Micros>,
    count_differs_since: Option<Micros>,
}

impl NodeCountState {
    /// Returns true if the store contains the number of nodes.
    pub(crate) fn is_known(&self) -> bool {
        self.known_nodes > 0
    }

    /// Returns true if more nodes are expected to register soon.
    fn awaits_nodes(&mut self, now: Micros, node_count: u32) -> bool {
        let (nodes, known) = (u64::from(node_count), u64::from(self.known_nodes));
        let complete = nodes * 100 >= known * u64::from(COMPLETE_PERCENT);
        if self.known_nodes as usize <= SMALL_DEPLOYMENT_MAX_NODES || complete {
            self.incomplete_since = None;
            return false;
        }
        let since = *self.incomplete_since.get_or_insert(now);
        now < since + REGISTRATION_TIMEOUT
    }
}

impl Gate {
    /// Processes the stored record.
    pub(crate) fn node_count_read(&mut self, record: NodeCountRecord) {
        self.node_count.known_nodes = record.nodes;
    }

    pub(crate) fn awaits_nodes(&mut self) -> bool {
        let node_count = self.registry.node_count();
        self.node_count.awaits_nodes(self.now, node_count)
    }

    /// Ends the wait for nodes. One node stores their number if it has differed for long enough.
    pub(crate) fn maintain_node_count(&mut self) {
        let now = self.now;
        if self.node_count.incomplete_since.is_some() {
            self.update_owners();
        }
        let (node_count, known) = (self.registry.node_count(), self.node_count.known_nodes);
        let large = node_count.max(known) as usize > SMALL_DEPLOYMENT_MAX_NODES;
        let difference = u64::from(node_count.abs_diff(known));
        if !large || difference * 100 <= u64::from(known) * u64::from(COUNT_CHANGE_PERCENT) {
            self.node_count.count_differs_since = None;
            return;
        }
        let since = *self.node_count.count_differs_since.get_or_insert(now);
        let first = self.table.clusters.keys().min();
        let writes = first.is_some_and(|cluster| self.owner_position(cluster) == 0);
        if writes && self.registration.role == NodeRole::Owner && now >= since + COUNT_CHANGE_DELAY
        {
            self.node_count.count_differs_since = Some(now);
            self.log("fleet_counted", fields!["nodes" => u64::from(node_count)]);
            if let Some(bytes) = self.write_record("fleet", &NodeCountRecord { nodes: node_count })
            {
                self.out.push(GateAction::WriteNodeCount { bytes });
            }
        }
    }
}
