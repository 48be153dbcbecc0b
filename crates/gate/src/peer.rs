//! Forwarding to other nodes.
//!
//! A node forwards a request that it cannot serve itself: it reaches no primary or no proof of one, the
//! databases give it no connection, or there are many nodes and others own the connections. Another node
//! is used like a database: it takes the same commands, holds the session's state on the connection, and
//! answers with the position of commits. It never forwards again, and refuses at once what it cannot serve.

use model::{FastMap, Micros, Name};

use crate::database::Database;
use crate::event::{ListedDatabase, SessionOrigin};
use crate::owners::OwnerInput;
use crate::work::WorkId;
use crate::{Gate, fields};

/// Time for which a node that refused requests of a cluster is not asked again.
const REFUSED_TIME: Micros = Micros::from_millis(300);

/// Time after which an unused entry of a node is removed.
const UNUSED_TIME: Micros = Micros::from_millis(5_000);

/// Statements that another node is expected to run at once for this one.
const PEER_SLOTS: u32 = 3;

/// Requests in progress that a node of another data centre counts as having more.
const DETOUR_LOAD: u32 = 2;

/// What is known of other nodes.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    /// When a node last refused requests of a cluster.
    refused: FastMap<(Name, Name), Micros>,
}

impl Gate {
    /// Chooses the owners of connections anew if the nodes or the clusters have changed.
    pub(crate) fn update_owners(&mut self) {
        let (centre, capacity) = (&self.settings.data_centre, self.settings.capacity);
        let nodes = self.roster.members(centre, capacity);
        let clusters = self.table.clusters.iter();
        let clusters = clusters.map(|(name, limits)| (name.clone(), limits.connections)).collect();
        if !self.owners.update(OwnerInput { nodes, clusters }) {
            return;
        }
        let all: Vec<Name> = self.table.clusters.keys().cloned().collect();
        let owned = all.iter().filter(|cluster| self.owns_links(cluster)).count();
        let record = fields![
            "nodes" => u64::from(self.roster.live()),
            "clusters" => u64::try_from(all.len()).unwrap_or(u64::MAX),
            "owned" => u64::try_from(owned).unwrap_or(u64::MAX)
        ];
        self.log("owners_chosen", record);
    }

    /// Tells whether this node keeps connections to a cluster's databases.
    pub(crate) fn owns_links(&self, cluster: &Name) -> bool {
        self.is_owner(cluster, &self.settings.node)
    }

    fn is_owner(&self, cluster: &Name, node: &Name) -> bool {
        self.owners.of(cluster).is_none_or(|owners| owners.contains(node))
    }

    /// Returns how many nodes keep connections to a cluster's databases.
    pub(crate) fn owner_count(&self, cluster: &Name) -> u32 {
        let owners = self.owners.of(cluster).map(<[Name]>::len);
        owners.map_or(self.roster.live(), |count| u32::try_from(count).unwrap_or(u32::MAX))
    }

    /// Returns this node's place among the owners of a cluster, for work that one of them does.
    pub(crate) fn owner_place(&self, cluster: &Name) -> u64 {
        let place = self.owners.place(cluster, &self.settings.node);
        place.map_or(u64::from(self.roster.live()), |place| place as u64)
    }

    /// Tells whether requests of a cluster can be expected to be served, here or by a node that owns
    /// connections.
    pub(crate) fn reaches_cluster(&self, cluster: &Name) -> bool {
        if self.owns_links(cluster) {
            return self.usable_leader(cluster).is_some();
        }
        self.permit().is_some()
            && self.roster.others().any(|(node, record)| {
                self.is_owner(cluster, node) && !record.complaints.contains(cluster.as_str())
            })
    }

    pub(crate) fn is_forwarded(&self, id: WorkId) -> bool {
        self.works
            .get(&id)
            .and_then(|work| self.sessions.get(&work.session))
            .is_some_and(|session| session.origin == SessionOrigin::Peer)
    }

    /// Chooses a node that may be able to serve a request; returns the entry that stands for it.
    pub(crate) fn choose_peer(&mut self, id: WorkId) -> Option<Name> {
        if self.is_forwarded(id) {
            return None;
        }
        let work = self.works.get(&id)?;
        let (cluster, client_database) = (work.route.cluster.clone(), work.route.database.clone());
        let own = self.settings.data_centre.as_str();
        let mut best = None;
        for (node, record) in self.roster.others() {
            let Some(address) = record.peer_address else { continue };
            let name = entry_name(node, &client_database);
            let refused = self.peers.refused.get(&(node.clone(), cluster.clone()));
            if record.complaints.contains(cluster.as_str())
                || refused.is_some_and(|at| self.now < *at + REFUSED_TIME)
                || work.avoided.contains(&name)
                || !self.is_owner(&cluster, node)
            {
                continue;
            }
            let entry = self.databases.get(&name);
            if entry.is_some_and(|entry| !entry.is_responsive(self.now)) {
                continue;
            }
            let far = record.data_centre != own;
            let load = entry.map_or(0, Database::load);
            let detour = if far { DETOUR_LOAD } else { 0 };
            let place = self.owners.place(&cluster, node);
            let rank = (load + detour, place, name, address);
            if best.as_ref().is_none_or(|best| rank < *best) {
                best = Some(rank);
            }
        }
        let (_, _, name, address) = best?;
        if !self.databases.contains_key(&name) {
            let listed = ListedDatabase {
                id: name.clone(),
                cluster: client_database,
                address,
                data_centre: Name::default(),
                slots: PEER_SLOTS,
                leaving: false,
                claimed_role: None,
            };
            let mut entry = Database::new(listed);
            entry.peer = name.split('/').next().map(Name::from);
            entry.answered = Some(self.now);
            self.databases.insert(name.clone(), entry);
        }
        self.count("requests_forwarded");
        Some(name)
    }

    /// Notes that an entry refused a request; returns false if it does not stand for a node.
    pub(crate) fn peer_refused(&mut self, entry: &Name, cluster: &Name) -> bool {
        let node = self.databases.get(entry).and_then(|database| database.peer.clone());
        let Some(node) = node else { return false };
        self.peers.refused.insert((node, cluster.clone()), self.now);
        true
    }

    /// Probes nodes that owe answers, so that a node that waits is told from one that is gone.
    fn probe_peers(&mut self) {
        let now = self.now;
        let probed: Vec<Name> = self
            .databases
            .iter()
            .filter(|(_, entry)| entry.wants_probe(now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in probed {
            self.count("peers_probed");
            self.open_link(&name);
        }
    }

    /// Removes the entries of nodes that are gone or were not used for a while.
    pub(crate) fn tend_peers(&mut self) {
        let now = self.now;
        self.probe_peers();
        let unused: Vec<Name> = self
            .databases
            .iter()
            .filter(|(_, entry)| match &entry.peer {
                Some(node) => {
                    let idle = entry.load() == 0
                        && entry.answered.is_none_or(|at| now >= at + UNUSED_TIME);
                    idle || self.roster.get(node).is_none()
                }
                None => false,
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in unused {
            self.remove_database(&name);
        }
        self.peers.refused.retain(|_, at| now < *at + REFUSED_TIME);
    }
}

/// Names the entry of a node for one client database.
fn entry_name(node: &Name, client_database: &Name) -> Name {
    Name::from(format!("{node}/{client_database}"))
}
