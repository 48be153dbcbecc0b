//! Clusters: their databases, the proof of their leader, and the requests that wait for it.

use model::{DatabaseRole, FastMap, FastSet, Micros, Name, Term};

use crate::backend::{BackendAnswer, BackendCommand};
use crate::commit_proof::CommitProof;
use crate::database::{CommandPurpose, Database};
use crate::event::{ConnectionId, ListedDatabase};
use crate::leadership_proof::LeadershipProof;
use crate::log_comparison::FormerMember;
use crate::log_holders::LogHolders;
use crate::log_starts::LogStarts;
use crate::request::{RequestId, RequestStage};
use crate::responsiveness::UsualTimes;
use crate::{Gate, fields};

/// Time within which a failover is expected to complete: detection, one round of fences and one
/// promotion. Within it, each request waits for its own hold time, as the new primary may appear;
/// after it, new requests are refused at once.
pub(crate) const FAILOVER_WAIT: Micros = Micros::from_millis(2_500);

/// Time between report requests after a report that proved nothing, such as one of a fenced
/// replica. Where several nodes send to the databases, also after one that proved too little for the
/// requests that arrived in the meantime.
const PROOF_RETRY_INTERVAL: Micros = Micros::from_millis(100);

/// Interval of the reports that all nodes together request from a leader that does not give the one that
/// they need. Each takes a slot, also if it is refused.
const NEEDED_REPORT_INTERVAL: Micros = Micros::from_millis(25);

/// Time without a proof that requests need after which this node cannot serve them: the longest
/// queue of a database, and the report itself.
const PROOF_TIMEOUT: Micros = Micros::from_millis(500);

/// Interval of report requests to every database while no leader is known. The entry of a new
/// primary changes at once, so this finds only changes that the store does not show.
const SEARCH_INTERVAL: Micros = Micros::from_millis(500);

/// Interval of report requests while a leader is known but does not answer.
const UNRESPONSIVE_LEADER_INTERVAL: Micros = Micros::from_millis(1_500);

/// Time for which a database without an entry is kept. Entries that expire while the store is
/// unavailable are back two seconds after it returns; the platform allows seven seconds of use
/// after an entry is removed.
pub(crate) const UNLISTED_GRACE: Micros = Micros::from_millis(4_000);

/// What a node knows about one cluster.
#[derive(Debug, Default)]
pub(crate) struct ClusterState {
    pub(crate) members: Vec<Name>,
    /// Databases that were removed because their entries were gone.
    pub(crate) former_members: FastMap<Name, FormerMember>,
    /// The stored record of the databases that may hold commits.
    pub(crate) log_holders: LogHolders,
    /// Databases that have started again without their logs.
    pub(crate) log_starts: LogStarts,
    pub(crate) proof: LeadershipProof,
    pub(crate) commit_proof: CommitProof,
    pub(crate) usual_times: UsualTimes,
    /// Requests that wait for a leader.
    pub(crate) waiting_for_leader: Vec<RequestId>,
    /// Requests that wait for proof of the leader.
    pub(crate) waiting_for_proof: Vec<RequestId>,
    /// Since when requests have needed a usable leader and none is known.
    pub(crate) leader_missing_since: Option<Micros>,
    /// Latest time for which a proof is needed.
    pub(crate) needed_proof_time: Option<Micros>,
    /// Since when requests have needed a proof that there is not yet.
    proof_missing_since: Option<Micros>,
    next_search: Micros,
    /// When the leader was last asked for the report that proofs need.
    needed_report_asked: Option<Micros>,
    /// Term at which a failover was announced.
    pub(crate) announced_term: Option<Term>,
    /// When this node saw the announcement of the failover that is announced now.
    pub(crate) announced_at: Option<Micros>,
    /// When the last announced failover was over; the read lease extends no proof from before.
    pub(crate) last_failover_end: Micros,
    /// When the databases are asked again whether a failover that was given up has left fences.
    pub(crate) fence_check_due: Option<Micros>,
    /// When the first overdue commit was sent; cleared by an acknowledged commit or a change of
    /// leader.
    pub(crate) commit_overdue: Option<Micros>,
    /// When a report last failed to prove the leader.
    proof_failed_at: Option<Micros>,
}

impl Gate {
    /// Returns true if a database has been leaving for so long that it gets no more requests but those of
    /// open transactions.
    pub(crate) fn is_past_leaving(&self, database: &Database) -> bool {
        let limit = self.settings.leaving_limit();
        database.leaving_since.is_some_and(|since| self.now >= since + limit)
    }

    /// Returns the replica that gets this node's reads while it is not loaded: one in the node's
    /// own data centre, otherwise one by the order of the nodes. A replica thus has connections
    /// from about half of the nodes.
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
        self.unreadable_entries.forget(&name);
        let state = self.clusters.entry(cluster.clone()).or_default();
        let former = state.former_members.remove(&name);
        let start = listed.started_at_ms;
        let lost_log = start.is_some_and(|start| state.log_starts.observe_entry(&name, start, now));
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
        if let Some(former) = former {
            database.reported_log = former.reported_log;
        }
        let role_changed = database.listed.claimed_role != listed.claimed_role;
        let restarted = database.listed.started_at_ms != listed.started_at_ms;
        if restarted {
            database.report = None;
            database.unfenced_at = None;
            database.last_report_at = None;
            database.applied = None;
        }
        database.unlisted_since = None;
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
                "data_centre" => &database.data_centre,
                "leaving" => database.leaving,
                "claims" => database.claimed_role.map_or("none", |role| match role {
                    DatabaseRole::Primary => "primary",
                    DatabaseRole::Replica => "replica",
                })
            ];
            self.log("database_listed", record);
        }
        if lost_log {
            self.count("databases_restarted");
            let record = fields![
                "database" => &name,
                "cluster" => &cluster,
                "start_ms" => start.unwrap_or_default()
            ];
            self.log("database_restarted", record);
        }
        let claims_primary =
            self.databases[&name].listed.claimed_role == Some(DatabaseRole::Primary);
        let owns = self.owns_connections(&cluster);
        if owns && claims_primary && (role_changed || known.is_none()) {
            self.request_report(&name);
        }
        if restarted {
            self.forget_fence(&cluster, &name);
            self.database_restarted(&cluster, &name, "entry");
        }
        self.open_connections(&name);
    }

    /// Forgets a leader that has started again, and looks for another one. Databases start without
    /// their log and lead no term then.
    pub(crate) fn database_restarted(
        &mut self,
        cluster: &Name,
        name: &Name,
        shown_by: &'static str,
    ) {
        let now = self.now;
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        if !state.proof.observe_restart(name, now) {
            return;
        }
        self.count("leaders_restarted");
        self.log(
            "leader_restarted",
            fields!["cluster" => cluster, "database" => name, "shown_by" => shown_by],
        );
        if self.owns_connections(cluster) {
            self.request_all_reports(cluster);
        }
        self.wake_waiting_for_proof(cluster);
    }

    pub(crate) fn database_unlisted(&mut self, name: &Name) {
        let now = self.now;
        if let Some(database) = self.databases.get_mut(name)
            && database.unlisted_since.is_none()
        {
            database.unlisted_since = Some(now);
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
        let removed = self.databases.remove(name);
        if let Some(state) = self.clusters.get_mut(&cluster) {
            state.members.retain(|member| member != name);
            state.proof.remove_database(name);
        }
        self.reroute_if_unconnected(name);
        let Some(removed) = removed else { return };
        self.record_former_member(&cluster, name, &removed);
    }

    /// Removes the databases whose entries were not listed again in time.
    pub(crate) fn remove_unlisted(&mut self) {
        let now = self.now;
        let gone: Vec<Name> = self
            .databases
            .iter()
            .filter(|(_, database)| {
                database.unlisted_since.is_some_and(|since| now >= since + UNLISTED_GRACE)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.remove_database(&name);
        }
    }

    /// Requests proof that the leader still leads, for a request that began at `proof_time`.
    pub(crate) fn request_proof(&mut self, cluster: &Name, proof_time: Micros) {
        self.apply_read_lease(cluster);
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        if state.proof.confirmed_at() >= Some(proof_time) {
            return;
        }
        state.needed_proof_time = state.needed_proof_time.max(Some(proof_time));
        state.proof_missing_since.get_or_insert(self.now);
        if state.proof_failed_at.is_some_and(|at| self.now < at + PROOF_RETRY_INTERVAL) {
            return;
        }
        let leader = state.proof.leader().cloned();
        let members = state.members.clone();
        let own = &self.settings.data_centre;
        let mut best: Option<(bool, bool, u32, Name)> = None;
        for name in members {
            let Some(database) = self.databases.get(&name) else { continue };
            if Some(&name) == leader.as_ref() || database.unlisted_since.is_some() {
                continue;
            }
            if database.report_requested_at >= Some(proof_time) && database.is_responsive(self.now)
            {
                return;
            }
            if database.report_requested_at.is_some() || database.listed.leaving {
                continue;
            }
            let far = database.listed.data_centre != *own;
            let busy = database.idle.is_empty() || !database.is_responsive(self.now);
            let key = (busy, far, database.load(), name);
            if best.as_ref().is_none_or(|best| key < *best) {
                best = Some(key);
            }
        }
        if let Some((_, _, _, name)) = best {
            self.request_report(&name);
        }
    }

    /// Requests a report of the leader while those of replicas prove nothing without it. The more owners
    /// the cluster has, the more rarely each of them asks again.
    fn request_needed_leader_report(&mut self, cluster: &Name) {
        let now = self.now;
        let share = Micros(NEEDED_REPORT_INTERVAL.0 * u64::from(self.owner_count(cluster)));
        let interval = share.max(PROOF_RETRY_INTERVAL);
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        if state.needed_report_asked.is_some_and(|at| now < at + interval) {
            return;
        }
        let leader = state.proof.leader().filter(|_| state.proof.needs_leader_report()).cloned();
        if let Some(leader) = leader {
            state.needed_report_asked = Some(now);
            self.request_report(&leader);
        }
    }

    /// Returns true if requests have waited for a proof for too long, as on a node that is cut off
    /// together with a former primary.
    pub(crate) fn lacks_proof(&self, cluster: &Name) -> bool {
        let Some(state) = self.clusters.get(cluster) else { return false };
        let confirmed = state.proof.confirmed_at().unwrap_or_default();
        let since = state.proof_missing_since.map(|since| since.max(confirmed));
        since.is_some_and(|since| self.now >= since + PROOF_TIMEOUT)
    }

    /// Requests a report from a database as soon as a connection is idle.
    pub(crate) fn request_report(&mut self, name: &Name) {
        let Some(database) = self.databases.get_mut(name) else { return };
        database.report_wanted = true;
        self.send_wanted_report(name);
    }

    /// Requests a report from every database of the cluster.
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
        // Only a connection that has been open for long shows that a replica was not started again.
        let connections = &self.connections;
        let oldest = (0..database.idle.len()).min_by_key(|index| {
            connections.get(&database.idle[*index]).and_then(|connection| connection.established_at)
        });
        let Some(oldest) = oldest else {
            let cluster = database.listed.cluster.clone();
            self.open_connections(name);
            if self.failovers.running.contains_key(&cluster) {
                // Transactions may hold all connections that requests may use.
                self.open_control_connection(name);
            }
            return;
        };
        let connection = database.idle.swap_remove(oldest);
        database.report_wanted = false;
        database.report_requested_at = Some(now);
        self.count("reports_asked");
        self.send(connection, vec![BackendCommand::Report], CommandPurpose::Report);
    }

    /// Processes a database's report.
    pub(crate) fn report_answered(
        &mut self,
        connection: ConnectionId,
        requested_at: Micros,
        answer: &BackendAnswer,
    ) {
        let Some(state) = self.connections.get(&connection) else { return };
        let (name, cluster) = (state.database.clone(), state.cluster.clone());
        let Some(database) = self.databases.get_mut(&name) else { return };
        if database.report_requested_at == Some(requested_at) {
            database.report_requested_at = None;
        }
        let Some(report) = answer.report else {
            // The database is busy. Another replica may answer, or this one later.
            if let Some(proof_time) =
                self.clusters.get(&cluster).and_then(|state| state.needed_proof_time)
            {
                self.request_proof(&cluster, proof_time);
            }
            return;
        };
        database.report = Some(report);
        database.last_report_at = Some(self.now);
        database.reported_log.observe(&report);
        // Where several nodes send to the databases, their reports together would take many slots.
        let is_paced = self.sharing_node_count(&cluster) > 1;
        let Some(state) = self.clusters.get_mut(&cluster) else { return };
        state.log_starts.observe_report(&name, requested_at, report.received);
        let changed = state.proof.observe_report(&name, requested_at, &report);
        let proves = state.proof.confirmed_at() >= Some(requested_at);
        // A former primary goes on reporting while its successor is not known here.
        let is_former = report.term < state.proof.term();
        if state.proof.confirmed_at() >= state.needed_proof_time {
            state.needed_proof_time = None;
            state.proof_missing_since = None;
            state.proof_failed_at = None;
        } else if is_former || report.role == DatabaseRole::Replica && (is_paced || !proves) {
            state.proof_failed_at = Some(self.now);
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
        self.old_primary_reported(&cluster, &name, &report);
        self.observe_witness(connection, requested_at, &report);
        self.wake_waiting_for_proof(&cluster);
        self.wake_waiting_for_leader(&cluster);
        if let Some(proof_time) =
            self.clusters.get(&cluster).and_then(|state| state.needed_proof_time)
        {
            self.request_proof(&cluster, proof_time);
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
            if lost || confirmed >= request.proof_time {
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
        state.leader_missing_since = None;
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

    /// Requests proofs and reports, and refuses requests that have waited too long.
    pub(crate) fn maintain_clusters(&mut self) {
        let names: Vec<Name> = self.clusters.keys().cloned().collect();
        for cluster in names {
            self.maintain_cluster(&cluster);
        }
    }

    fn maintain_cluster(&mut self, cluster: &Name) {
        let now = self.now;
        let owns = self.owns_connections(cluster);
        self.maintain_log_holders(cluster);
        if let Some(proof_time) =
            self.clusters.get(cluster).and_then(|state| state.needed_proof_time)
        {
            self.request_needed_leader_report(cluster);
            self.request_proof(cluster, proof_time);
        }
        self.prove_commits(cluster);
        self.probe_overdue(cluster);
        self.check_fences(cluster);
        self.wake_waiting_for_proof(cluster);
        if let Some(state) = self.clusters.get_mut(cluster)
            && state.proof.confirmed_at() >= state.needed_proof_time
        {
            state.needed_proof_time = None;
            state.proof_missing_since = None;
        }
        self.wake_waiting_for_leader(cluster);
        let usable = self.usable_leader(cluster).is_some();
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        if !usable && state.leader_missing_since.is_some_and(|since| now >= since + FAILOVER_WAIT) {
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
        let doubtful = !state.waiting_for_proof.is_empty() || state.leader_missing_since.is_some();
        if now >= state.next_search {
            if owns && (unknown || doubtful) {
                let interval = if unknown { SEARCH_INTERVAL } else { UNRESPONSIVE_LEADER_INTERVAL };
                state.next_search = now + interval;
                return self.request_all_reports(cluster);
            }
            // The first search waits one interval for the report of a listed primary.
            state.next_search = now + SEARCH_INTERVAL;
        }
        if owns {
            self.prove_for_read_lease(cluster);
        }
    }

    /// Looks once more for fences of a failover that was given up. Without a promotion nothing else
    /// lifts them, and a fenced replica that nobody uses would not be noticed.
    fn check_fences(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        if state.fence_check_due.take_if(|due| now >= *due).is_some() {
            self.request_all_reports(cluster);
        }
    }

    /// Requests reports from databases with overdue answers, because no request goes there until
    /// they answer.
    fn probe_overdue(&mut self, cluster: &Name) {
        let Some(state) = self.clusters.get(cluster) else { return };
        for name in state.members.clone() {
            let Some(database) = self.databases.get(&name) else { continue };
            let unresponsive =
                !database.is_responsive(self.now) && database.overdue_since.is_some();
            if unresponsive
                && database.report_requested_at.is_none()
                && database.unlisted_since.is_none()
            {
                self.request_report(&name);
            }
        }
    }

    /// Requests one report if the read lease proves nothing without it.
    fn prove_for_read_lease(&mut self, cluster: &Name) {
        let Some(acquired) = self.read_lease_acquired() else { return };
        let Some(state) = self.clusters.get(cluster) else { return };
        if state.proof.leader().is_some()
            && state.proof.needs_direct_proof(acquired.max(state.last_failover_end))
            && !self.is_announced(cluster)
        {
            let since = acquired.max(state.last_failover_end);
            self.request_proof(cluster, since);
        }
    }
}
