//! Clusters: their databases, evidence about their leader, and requests that wait for it.

use model::{DatabaseRole, FastSet, Micros, Name, Term};

use crate::backend::{BackendAnswer, BackendCommand};
use crate::database::{CommandPurpose, Database};
use crate::event::{LinkId, ListedDatabase};
use crate::leadership_proof::LeadershipProof;
use crate::request::{RequestStage, WorkId};
use crate::{Gate, fields};

/// Time within which a change of primary is expected to be over; requests wait for it this long and are
/// refused at once after it. Detection, one round of fences and one promotion.
pub(crate) const FAILOVER_WAIT: Micros = Micros::from_millis(2_500);

/// Pause after a report that proved nothing, such as one of a fenced replica.
const PROOF_RETRY_INTERVAL: Micros = Micros::from_millis(100);

/// Interval of asking every database while no leader is known. A new primary's entry changes at once, so
/// this is only for changes that the store does not show.
const SEARCH_INTERVAL: Micros = Micros::from_millis(500);

/// Interval while a leader is known but does not answer.
const UNRESPONSIVE_LEADER_INTERVAL: Micros = Micros::from_millis(1_500);

/// Time for which a database without an entry is kept. Entries that lapse while the store is away are back
/// two seconds after its return; the platform allows seven seconds of use after an entry is gone.
pub(crate) const UNLISTED_GRACE: Micros = Micros::from_millis(4_000);

/// Time after which a leaving database gets no new request; the platform allows seven seconds.
pub(crate) const LEAVING_GRACE: Micros = Micros::from_millis(5_500);

/// What a node knows of one cluster.
#[derive(Debug, Default)]
pub(crate) struct ClusterState {
    pub(crate) members: Vec<Name>,
    pub(crate) proof: LeadershipProof,
    /// Requests that wait for a leader.
    pub(crate) waiting_for_leader: Vec<WorkId>,
    /// Requests that wait for proof of the leader.
    pub(crate) waiting_for_proof: Vec<WorkId>,
    /// Since when no usable leader is known, while requests need one.
    pub(crate) leader_missed: Option<Micros>,
    /// Latest time that a proof is needed for.
    pub(crate) proof_needed_since: Option<Micros>,
    next_search: Micros,
    /// Term at which a change of primary was announced.
    pub(crate) announced_term: Option<Term>,
    /// When the last announced change was over; what was directly_confirmed before counts no more.
    pub(crate) settled: Micros,
    /// When a commit was sent that is overdue, with none acknowledged since.
    pub(crate) commit_overdue: Option<Micros>,
    /// When a report last failed to prove the leader.
    proof_failed: Option<Micros>,
}

impl Gate {
    /// Returns the replica that this node sends reads to while it is not loaded: one in its own data centre,
    /// else one by the nodes' order. So a replica has connections from about half of the nodes.
    pub(crate) fn preferred_replica<'a>(&self, state: &'a ClusterState) -> Option<&'a Name> {
        let leader = state.proof.leader();
        let usable: Vec<&Name> = state
            .members
            .iter()
            .filter(|name| {
                Some(*name) != leader
                    && self.databases.get(*name).is_some_and(|database| {
                        database.is_usable(self.now) && !database.listed.leaving
                    })
            })
            .collect();
        let near = usable.iter().find(|name| {
            self.databases
                .get(**name)
                .is_some_and(|database| database.listed.data_centre == self.settings.data_centre)
        });
        let index = self.registry.choice_index(usable.len());
        near.or_else(|| usable.get(index)).copied()
    }

    /// Replaces the whole list of databases.
    pub(crate) fn databases_listed(&mut self, list: Vec<ListedDatabase>) {
        let listed: FastSet<Name> = list.iter().map(|database| database.id.clone()).collect();
        let missing: Vec<Name> = self
            .databases
            .iter()
            .filter(|(name, database)| database.peer.is_none() && !listed.contains(*name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            self.database_unlisted(&name);
        }
        for database in list {
            self.database_listed(database);
        }
    }

    pub(crate) fn database_listed(&mut self, listed: ListedDatabase) {
        let now = self.now;
        let name = listed.id.clone();
        let cluster = listed.cluster.clone();
        let state = self.clusters.entry(cluster.clone()).or_default();
        if !state.members.contains(&name) {
            state.members.push(name.clone());
            state.members.sort();
        }
        let known = self.databases.get(&name).map(|database| database.listed.clone());
        if let Some(known) = &known
            && (known.address != listed.address || known.cluster != listed.cluster)
        {
            self.remove_database(&name);
            let state = self.clusters.entry(cluster.clone()).or_default();
            state.members.push(name.clone());
            state.members.sort();
        }
        let database =
            self.databases.entry(name.clone()).or_insert_with(|| Database::new(listed.clone()));
        let role_changed = database.listed.claimed_role != listed.claimed_role;
        database.unlisted = None;
        if listed.leaving {
            database.leaving_since.get_or_insert(now);
        } else {
            database.leaving_since = None;
        }
        let changed = known.as_ref() != Some(&listed);
        database.listed = listed;
        if changed {
            let database = &self.databases[&name].listed;
            let record = fields![
                "database" => &name,
                "cluster" => &cluster,
                "leaving" => database.leaving,
                "claims" => database.claimed_role.map_or("none", |role| match role {
                    DatabaseRole::Primary => "primary",
                    DatabaseRole::Replica => "replica",
                })
            ];
            self.log("database_listed", record);
        }
        let claims_primary =
            self.databases[&name].listed.claimed_role == Some(DatabaseRole::Primary);
        let holds = self.owns_connections(&cluster);
        if holds && claims_primary && (role_changed || known.is_none()) {
            self.request_report(&name);
        }
        self.open_connections(&name);
    }

    pub(crate) fn database_unlisted(&mut self, name: &Name) {
        let now = self.now;
        if let Some(database) = self.databases.get_mut(name)
            && database.unlisted.is_none()
        {
            database.unlisted = Some(now);
            self.log("database_unlisted", fields!["database" => name]);
        }
    }

    pub(crate) fn remove_database(&mut self, name: &Name) {
        let Some(database) = self.databases.get(name) else { return };
        let (connections, cluster) =
            (database.connections.clone(), database.listed.cluster.clone());
        for connection in connections {
            self.close_connection(connection, "database removed");
        }
        self.databases.remove(name);
        if let Some(state) = self.clusters.get_mut(&cluster) {
            state.members.retain(|member| member != name);
            state.proof.forget_leader(name);
        }
        self.reroute_if_unconnected(name);
        self.log("database_removed", fields!["database" => name]);
    }

    /// Removes the databases whose entries stayed away.
    pub(crate) fn remove_unlisted(&mut self) {
        let now = self.now;
        let gone: Vec<Name> = self
            .databases
            .iter()
            .filter(|(_, database)| {
                database.unlisted.is_some_and(|since| now >= since + UNLISTED_GRACE)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.remove_database(&name);
        }
    }

    /// Asks for proof that the leader still leads, for a request that began at `need`.
    pub(crate) fn request_proof(&mut self, cluster: &Name, need: Micros) {
        self.apply_read_lease(cluster);
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        if state.proof.confirmed_at() >= Some(need) {
            return;
        }
        state.proof_needed_since = state.proof_needed_since.max(Some(need));
        if state.proof_failed.is_some_and(|at| self.now < at + PROOF_RETRY_INTERVAL) {
            return;
        }
        let leader = state.proof.leader().cloned();
        let members = state.members.clone();
        let own = &self.settings.data_centre;
        let mut best: Option<(bool, bool, u32, Name)> = None;
        for name in members {
            let Some(database) = self.databases.get(&name) else { continue };
            if Some(&name) == leader.as_ref() || database.unlisted.is_some() {
                continue;
            }
            if database.report_requested_at >= Some(need) && database.is_responsive(self.now) {
                return;
            }
            if database.report_requested_at.is_some() || database.listed.leaving {
                continue;
            }
            let far = database.listed.data_centre != *own;
            let busy = database.idle.is_empty() || !database.is_responsive(self.now);
            let rank = (busy, far, database.load(), name);
            if best.as_ref().is_none_or(|best| rank < *best) {
                best = Some(rank);
            }
        }
        if let Some((_, _, _, name)) = best {
            self.request_report(&name);
        }
    }

    /// Asks a database for a report as soon as a connection is free.
    pub(crate) fn request_report(&mut self, name: &Name) {
        let Some(database) = self.databases.get_mut(name) else { return };
        database.report_wanted = true;
        self.send_wanted_report(name);
    }

    /// Asks every database of a cluster.
    pub(crate) fn request_all_reports(&mut self, cluster: &Name) {
        let Some(state) = self.clusters.get(cluster) else { return };
        for name in state.members.clone() {
            self.request_report(&name);
        }
    }

    pub(crate) fn send_wanted_report(&mut self, name: &Name) {
        let now = self.now;
        let Some(database) = self.databases.get_mut(name) else { return };
        if !database.report_wanted || database.report_requested_at.is_some() {
            return;
        }
        let Some(connection) = database.idle.pop() else {
            self.open_connections(name);
            return;
        };
        database.report_wanted = false;
        database.report_requested_at = Some(now);
        self.count("reports_asked");
        self.send(connection, vec![BackendCommand::Report], CommandPurpose::Report);
    }

    /// Takes in a database's report of itself.
    pub(crate) fn report_answered(
        &mut self,
        connection: LinkId,
        asked: Micros,
        answer: &BackendAnswer,
    ) {
        let Some(state) = self.connections.get(&connection) else { return };
        let (name, cluster) = (state.database.clone(), state.cluster.clone());
        let Some(database) = self.databases.get_mut(&name) else { return };
        if database.report_requested_at == Some(asked) {
            database.report_requested_at = None;
        }
        let Some(report) = answer.report else {
            // Busy; another replica may answer, or this one later.
            if let Some(need) =
                self.clusters.get(&cluster).and_then(|state| state.proof_needed_since)
            {
                self.request_proof(&cluster, need);
            }
            return;
        };
        database.report = Some(report);
        database.reported = Some(self.now);
        let Some(state) = self.clusters.get_mut(&cluster) else { return };
        let changed = state.proof.report(&name, asked, &report);
        if state.proof.confirmed_at() >= state.proof_needed_since {
            state.proof_needed_since = None;
            state.proof_failed = None;
        } else if report.role == DatabaseRole::Replica {
            state.proof_failed = Some(self.now);
        }
        if changed {
            state.commit_overdue = None;
            let (term, leader) = (state.proof.term(), state.proof.leader().cloned());
            self.log(
                "leader_changed",
                fields![
                    "cluster" => &cluster,
                    "term" => term.0,
                    "leader" => leader.clone().unwrap_or_default().to_string(),
                    "reported_by" => &name,
                    "position" => report.received.to_string()
                ],
            );
            if leader.is_none() {
                self.request_all_reports(&cluster);
            }
        }
        self.wake_waiting_for_proof(&cluster);
        self.wake_waiting_for_leader(&cluster);
        if let Some(need) = self.clusters.get(&cluster).and_then(|state| state.proof_needed_since) {
            self.request_proof(&cluster, need);
        }
    }

    /// Routes the requests whose leader is proved now, or is no longer known.
    pub(crate) fn wake_waiting_for_proof(&mut self, cluster: &Name) {
        self.apply_read_lease(cluster);
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        let confirmed = state.proof.confirmed_at();
        let lost = state.proof.leader().is_none();
        for id in std::mem::take(&mut state.waiting_for_proof) {
            let Some(request) = self.requests.get(&id) else { continue };
            if request.stage != RequestStage::WaitingForProof {
                continue;
            }
            if lost || confirmed >= request.need {
                self.route_request(id);
            } else if let Some(state) = self.clusters.get_mut(cluster) {
                state.waiting_for_proof.push(id);
            }
        }
    }

    /// Routes the requests that waited for a leader.
    pub(crate) fn wake_waiting_for_leader(&mut self, cluster: &Name) {
        if self.usable_leader(cluster).is_none() {
            return;
        }
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        state.leader_missed = None;
        for id in std::mem::take(&mut state.waiting_for_leader) {
            if self
                .requests
                .get(&id)
                .is_some_and(|request| request.stage == RequestStage::WaitingForLeader)
            {
                self.route_request(id);
            }
        }
    }

    /// Asks for positions, looks for leaders, and refuses what has waited too long.
    pub(crate) fn maintain_clusters(&mut self) {
        let names: Vec<Name> = self.clusters.keys().cloned().collect();
        for cluster in names {
            self.maintain_cluster(&cluster);
        }
    }

    fn maintain_cluster(&mut self, cluster: &Name) {
        let now = self.now;
        let holds = self.owns_connections(cluster);
        if let Some(need) = self.clusters.get(cluster).and_then(|state| state.proof_needed_since) {
            self.request_proof(cluster, need);
        }
        self.probe_overdue(cluster);
        self.wake_waiting_for_proof(cluster);
        self.wake_waiting_for_leader(cluster);
        let usable = self.usable_leader(cluster).is_some();
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        if !usable && state.leader_missed.is_some_and(|since| now >= since + FAILOVER_WAIT) {
            for id in std::mem::take(&mut state.waiting_for_leader) {
                if self
                    .requests
                    .get(&id)
                    .is_some_and(|request| request.stage == RequestStage::WaitingForLeader)
                {
                    self.refuse(
                        id,
                        crate::ErrorCode::Busy,
                        "not run, the cluster has no primary, retry after 1 s",
                    );
                }
            }
        }
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        let unknown = state.proof.leader().is_none();
        let doubtful = !state.waiting_for_proof.is_empty() || state.leader_missed.is_some();
        if now >= state.next_search {
            if holds && (unknown || doubtful) {
                let interval = if unknown { SEARCH_INTERVAL } else { UNRESPONSIVE_LEADER_INTERVAL };
                state.next_search = now + interval;
                return self.request_all_reports(cluster);
            }
            // The first search waits one interval for what a listed primary reports.
            state.next_search = now + SEARCH_INTERVAL;
        }
        if holds {
            self.prove_for_read_lease(cluster);
        }
    }

    /// Asks databases whose answers are overdue for a report, since no request goes there until they answer.
    fn probe_overdue(&mut self, cluster: &Name) {
        let Some(state) = self.clusters.get(cluster) else { return };
        for name in state.members.clone() {
            let Some(database) = self.databases.get(&name) else { continue };
            let silent = !database.is_responsive(self.now) && database.overdue_since.is_some();
            if silent && database.report_requested_at.is_none() && database.unlisted.is_none() {
                self.request_report(&name);
            }
        }
    }

    /// Asks for one report if the permit needs it to prove anything.
    fn prove_for_read_lease(&mut self, cluster: &Name) {
        let Some(acquired) = self.read_lease_acquired() else { return };
        let Some(state) = self.clusters.get(cluster) else { return };
        if state.proof.leader().is_some()
            && state.proof.needs_direct_proof(acquired.max(state.settled))
            && !self.is_announced(cluster)
        {
            let since = acquired.max(state.settled);
            self.request_proof(cluster, since);
        }
    }
}
