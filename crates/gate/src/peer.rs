//! Forwarding to other nodes.
//!
//! A node forwards a request that it cannot serve itself: it reaches no primary or no proof of one,
//! the databases give it no connection, or the deployment is large and other nodes own the
//! connections. Another node is used like a database: it takes the same commands, keeps the
//! session's state on the connection, and answers with the position of commits. It never forwards
//! such a request again, and refuses at once what it cannot serve.

use std::net::SocketAddr;

use model::{FastMap, FastSet, Micros, Name};

use crate::Gate;
use crate::database::{Database, UNRESPONSIVE_TIMEOUT};
use crate::event::{ListedDatabase, NodeRole, SessionOrigin};
use crate::request::{ActiveRequest, OWNER_RETRY_INTERVAL, RequestId};
use crate::statement::ErrorCode;

/// Version of the protocol between nodes that this node accepts. From version 1 on, a node accepts
/// a reset of a session, and runs no statement that follows a refused `BEGIN`. From version 2 on, it
/// accepts the identity of the caller with a request, and requests for tokens.
pub const PEER_PROTOCOL: u32 = 2;

/// Time for which a node that refused requests of a cluster gets no more of them, where every node
/// is an owner.
const PEER_REFUSAL_TTL: Micros = Micros::from_millis(300);

/// Time after which the entry of an unused node is removed.
const UNUSED_PEER_TTL: Micros = Micros::from_millis(5_000);

/// Statements that another node is expected to execute concurrently for this node.
const PEER_SLOTS: u32 = 3;

/// Requests that are added to the load of a node in another data centre when nodes are compared.
const REMOTE_PEER_LOAD_PENALTY: u32 = 2;

/// What is known about other nodes.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    /// When a node last refused requests of a cluster.
    refused: FastMap<(Name, Name), Micros>,
}

/// Which nodes answer.
#[derive(Debug, Default)]
pub(crate) struct PeerContacts {
    responsive: FastSet<Name>,
    /// Nodes whose answers are long overdue.
    unresponsive: FastSet<Name>,
    /// At least one node of another data centre answers.
    other_data_centre_answers: bool,
}

impl PeerContacts {
    /// Returns true if this node is probably cut off from the other data centres: several nodes are
    /// unresponsive, and none of another data centre answers.
    pub(crate) fn is_isolated(&self) -> bool {
        self.unresponsive.len() >= 2 && !self.other_data_centre_answers
    }
}

impl Gate {
    /// Returns true if requests of the cluster are expected to be served, here or by an owner.
    pub(crate) fn can_serve_cluster(&self, cluster: &Name, contacts: &PeerContacts) -> bool {
        if self.owns_connections(cluster)
            && self.usable_leader(cluster).is_some()
            && !self.lacks_proof(cluster)
        {
            return true;
        }
        let Some(owners) = self.owners.owners_of(cluster) else { return false };
        // While the store is away, only an owner that answers is known not to be cut off.
        let in_contact = self.has_store_contact();
        !contacts.is_isolated()
            && owners.iter().any(|node| {
                let record = self.registry.last_known(node);
                *node != self.settings.node
                    && record
                        .is_some_and(|record| !record.suspected_clusters.contains(cluster.as_str()))
                    && !contacts.unresponsive.contains(node)
                    && (in_contact || contacts.responsive.contains(node))
                    && !self.peers.refused.contains_key(&(node.clone(), cluster.clone()))
            })
    }

    /// Returns which nodes answer this node.
    pub(crate) fn peer_contacts(&self) -> PeerContacts {
        let now = self.now;
        let mut contacts = PeerContacts::default();
        for entry in self.databases.values() {
            let Some(node) = &entry.peer else { continue };
            if entry.last_answer.is_some_and(|at| now < at + UNRESPONSIVE_TIMEOUT) {
                contacts.responsive.insert(node.clone());
                let centre = self.registry.get(node).map(|record| record.data_centre.as_str());
                contacts.other_data_centre_answers |=
                    centre != Some(self.settings.data_centre.as_str());
            } else if !entry.is_responsive(now) {
                contacts.unresponsive.insert(node.clone());
            }
        }
        let PeerContacts { responsive, unresponsive, .. } = &mut contacts;
        unresponsive.retain(|node| !responsive.contains(node));
        contacts
    }

    pub(crate) fn is_forwarded(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .and_then(|request| self.sessions.get(&request.session))
            .is_some_and(|session| session.origin == SessionOrigin::Peer)
    }

    /// Chooses an owner of the request's cluster that precedes this node, or any other owner while
    /// this node is not registered as one.
    pub(crate) fn choose_owner(&mut self, id: RequestId) -> Option<Name> {
        let cluster = &self.requests.get(&id)?.route.cluster;
        let owners = self.owners.owners_of(cluster)?;
        let own = owners.iter().position(|node| *node == self.settings.node);
        let is_registered_owner = self.registration.role == NodeRole::Owner;
        self.choose_peer_before(id, own.filter(|_| is_registered_owner).unwrap_or(owners.len()))
    }

    /// Chooses a node that may be able to serve a request; returns the entry that stands for it.
    pub(crate) fn choose_peer(&mut self, id: RequestId) -> Option<Name> {
        self.choose_peer_before(id, usize::MAX)
    }

    fn choose_peer_before(&mut self, id: RequestId, end: usize) -> Option<Name> {
        if self.is_forwarded(id) {
            return None;
        }
        let request = self.requests.get(&id)?;
        let (cluster, client_database) = (&request.route.cluster, &request.route.database);
        let owners = self.owners.owners_of(cluster);
        let refusal_ttl = if owners.is_some() { OWNER_RETRY_INTERVAL } else { PEER_REFUSAL_TTL };
        let candidates: Vec<&Name> = match owners {
            Some(owners) => owners.iter().take(end).collect(),
            None => self.registry.others().map(|(node, _)| node).collect(),
        };
        let mut best = None;
        for (position, node) in candidates.into_iter().enumerate() {
            let Some(record) = self.registry.last_known(node) else { continue };
            let Some(address) = record.peer_address else { continue };
            let name = entry_name(node, client_database);
            let refused = self.peers.refused.get(&(node.clone(), cluster.clone()));
            let entry = self.databases.get(&name);
            if *node == self.settings.node
                || record.suspected_clusters.contains(cluster.as_str())
                || refused.is_some_and(|at| self.now < *at + refusal_ttl)
                || request.excluded.contains(&name)
                || entry.is_some_and(|entry| !entry.is_responsive(self.now))
            {
                continue;
            }
            let cost = match owners {
                // An owner that has just started has no connections yet.
                Some(_) => (u32::from(self.registry.is_standby(node)), position),
                None => {
                    let near = record.data_centre == self.settings.data_centre.as_str();
                    let penalty = if near { 0 } else { REMOTE_PEER_LOAD_PENALTY };
                    let load = entry.map_or(0, Database::load) + penalty;
                    (load, self.owners.position(cluster, node).unwrap_or(usize::MAX))
                }
            };
            let key = (cost, name, address, node, record.peer_protocol);
            if best.as_ref().is_none_or(|best| key < *best) {
                best = Some(key);
            }
        }
        let (_, name, address, node, protocol) = best?;
        let (node, client_database) = (node.clone(), client_database.clone());
        self.create_peer_entry(&name, &node, client_database, address, protocol);
        self.count("requests_forwarded");
        Some(name)
    }

    /// Returns the entry that stands for a registered node and one database.
    pub(crate) fn peer_entry(&mut self, node: &Name, client_database: &Name) -> Option<Name> {
        let record = self.registry.get(node)?;
        let (address, protocol) = (record.peer_address?, record.peer_protocol);
        let name = entry_name(node, client_database);
        self.create_peer_entry(&name, node, client_database.clone(), address, protocol);
        Some(name)
    }

    fn create_peer_entry(
        &mut self,
        name: &Name,
        node: &Name,
        client_database: Name,
        address: SocketAddr,
        protocol: u32,
    ) {
        if self.databases.contains_key(name) {
            return;
        }
        let listed = ListedDatabase {
            id: name.clone(),
            cluster: client_database,
            address,
            data_centre: Name::default(),
            slots: PEER_SLOTS,
            leaving: false,
            claimed_role: None,
            started_at_ms: None,
        };
        let mut entry = Database::new(listed);
        entry.peer = Some(node.clone());
        entry.peer_protocol = protocol;
        entry.created = self.now;
        self.databases.insert(name.clone(), entry);
    }

    /// Returns true if an entry stands for a node.
    pub(crate) fn is_peer(&self, entry: &Name) -> bool {
        self.databases.get(entry).is_some_and(|database| database.peer.is_some())
    }

    /// Returns true if a request was refused by another node that has no route for it. The node may
    /// have another version of the configuration, and the one of this node decides.
    pub(crate) fn lacks_route_at_peer(&self, request: &ActiveRequest, code: ErrorCode) -> bool {
        code == ErrorCode::NoDatabase
            && request.database.as_ref().is_some_and(|entry| self.is_peer(entry))
    }

    /// Records that the node of an entry cannot serve a cluster.
    pub(crate) fn peer_refused(&mut self, entry: &Name, cluster: &Name) {
        let node = self.databases.get(entry).and_then(|database| database.peer.clone());
        if let Some(node) = node {
            self.peers.refused.insert((node, cluster.clone()), self.now);
        }
    }

    /// Probes nodes whose answers are late, to distinguish a node whose requests wait from one that
    /// is gone.
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
            self.open_connection(&name, None);
        }
    }

    /// Reroutes the requests that wait for unresponsive nodes.
    fn reroute_from_unresponsive_peers(&mut self) {
        let now = self.now;
        let unresponsive: Vec<Name> = self
            .databases
            .iter()
            .filter(|(_, entry)| {
                entry.peer.is_some() && entry.load() > 0 && !entry.is_responsive(now)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in unresponsive {
            self.reroute_queued_requests(&name);
        }
    }

    /// Probes and updates the entries of nodes, and removes those that are gone or unused.
    pub(crate) fn maintain_peers(&mut self) {
        let now = self.now;
        self.probe_peers();
        self.reroute_from_unresponsive_peers();
        let unused: Vec<Name> = self
            .databases
            .iter()
            .filter(|(_, entry)| match &entry.peer {
                Some(node) => {
                    let last_used = entry.last_answer.unwrap_or_default().max(entry.created);
                    let idle = entry.load() == 0 && now >= last_used + UNUSED_PEER_TTL;
                    idle || self.registry.last_known(node).is_none()
                }
                None => false,
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in unused {
            self.remove_database(&name);
        }
        self.peers.refused.retain(|_, at| now < *at + PEER_REFUSAL_TTL);
    }
}

/// Returns the name of a node's entry for one client database.
fn entry_name(node: &Name, client_database: &Name) -> Name {
    Name::from(format!("{node}/{client_database}"))
}
