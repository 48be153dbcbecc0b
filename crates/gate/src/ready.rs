//! Readiness: whether the load balancer should send clients to this node.
//!
//! A node that cannot reach the primaries reports that it is not ready and closes idle sessions, so
//! that clients reconnect through the load balancer to a node that can.

use model::Micros;

use crate::drain::SESSION_LINGER;
use crate::{Gate, GateAction, fields};

/// Time without the primaries after which a node is not ready: longer than a failover.
const UNREACHABLE_GRACE: Micros = Micros::from_millis(1_500);

/// As [`UNREACHABLE_GRACE`], for a node that has also lost the store or the other data centres and
/// so is itself cut off.
const ISOLATED_GRACE: Micros = Micros::from_millis(200);

/// Time after which a node that is not ready closes idle sessions. Two probes of the load balancer
/// have removed it by then.
const CLOSE_SESSIONS_DELAY: Micros = Micros::from_millis(2_100);

/// Readiness of this node.
#[derive(Debug, Default)]
pub(crate) struct ReadyState {
    ready: bool,
    published: bool,
    /// Since when most primaries have been unusable.
    unreachable_since: Option<Micros>,
    /// Since when the node has not been ready.
    unready_since: Option<Micros>,
}

impl Gate {
    pub(crate) fn update_ready(&mut self) {
        let now = self.now;
        let routed =
            self.table.clusters.keys().filter(|cluster| {
                self.table.routes.values().any(|route| route.cluster == **cluster)
            });
        let contacts = self.peer_contacts();
        let (mut clusters, mut usable) = (0_u32, 0_u32);
        for cluster in routed {
            clusters += 1;
            usable += u32::from(self.can_serve_cluster(cluster, &contacts));
        }
        if usable * 2 >= clusters {
            self.ready.unreachable_since = None;
        } else {
            self.ready.unreachable_since.get_or_insert(now);
        }
        let unreachable_since = self.ready.unreachable_since;
        let was_ready = self.ready.ready;
        let isolated =
            !self.has_store_contact() || contacts.is_isolated() && !self.has_recent_store_contact();
        let limit = if isolated { ISOLATED_GRACE } else { UNREACHABLE_GRACE };
        let kept = was_ready && unreachable_since.is_some_and(|since| now < since + limit);
        let ready =
            clusters > 0 && self.drain.since.is_none() && (unreachable_since.is_none() || kept);
        if ready != was_ready || !self.ready.published {
            self.ready.ready = ready;
            self.ready.published = true;
            self.ready.unready_since = (!ready).then_some(now);
            self.out.push(GateAction::SetReady(ready));
            self.log(
                "ready",
                fields![
                    "ready" => ready,
                    "clusters" => u64::from(clusters),
                    "usable" => u64::from(usable)
                ],
            );
        }
        let removed = self.ready.unready_since.map(|since| since + CLOSE_SESSIONS_DELAY);
        if let Some(removed) = removed.filter(|removed| now >= *removed)
            && unreachable_since.is_some()
            && clusters > 0
        {
            // A session that was opened later came here because no node is in rotation.
            self.close_idle_sessions(removed, now.saturating_sub(SESSION_LINGER));
        }
    }
}
