//! Proof for commits that a primary has acknowledged while this node holds no read lease.
//!
//! A failover waits for nodes with a read lease, so their commits are compared. A node without one
//! may be cut off from the store and miss the announcement. Only fences then keep the old primary
//! from committing, and a replica that starts again has lost its fence: the primary acknowledges
//! further commits until the promotion takes effect, which the promoted log lacks.
//!
//! Such a node therefore holds the answer to a commit back until a replica, the *witness*, has
//! reported for a request sent after the answer that it has no fence above the term. The witness
//! must not have started again since a time at which no failover was pending, so its connection
//! must have been open then. This holds while the read lease is valid and no failover is announced,
//! at the write of a registration up to which this node has followed the store, so that a node serves
//! writes soon after its start, and at the request of each witness's report. A failover that compared
//! the logs in between would have fenced the witness, and the fence would still be there. All other
//! replicas to which there is a connection are asked as well, and none of them may have a fence.

use model::{DatabaseRole, Micros, Name, Term};

use crate::Gate;
use crate::backend::{BackendAnswer, DatabaseReport};
use crate::event::ConnectionId;
use crate::request::RequestId;

/// Time before a replica with a fence is asked again.
const FENCED_RETRY_INTERVAL: Micros = Micros::from_millis(100);

/// The answer to a commit that is not proved to be kept yet.
#[derive(Debug)]
pub(crate) struct HeldCommit {
    answered_at: Micros,
    /// Term in which the primary committed.
    term: Term,
    answer: BackendAnswer,
}

/// What a node without a read lease knows about failovers of one cluster.
#[derive(Debug, Default)]
pub(crate) struct CommitProof {
    /// Latest time at which no failover was pending, as the read lease proved.
    proved_by_lease: Option<Micros>,
    /// As `proved_by_lease`, but by the read lease, a registration or a witness.
    proved_at: Option<Micros>,
    /// Commits whose answers are held back.
    held: Vec<RequestId>,
}

impl CommitProof {
    /// Records that the read lease is valid and no failover is announced.
    pub(crate) fn extend_by_read_lease(&mut self, now: Micros) {
        self.proved_by_lease = self.proved_by_lease.max(Some(now));
        self.proved_at = self.proved_at.max(Some(now));
    }

    /// Records that no failover was announced when this node sent the write of its registration.
    pub(crate) fn extend_by_registration(&mut self, sent: Micros) {
        self.proved_at = self.proved_at.max(Some(sent));
    }

    /// Returns true if a replica that has been connected since `established_at` is a witness.
    fn accepts_witness(&self, established_at: Option<Micros>) -> bool {
        established_at.is_some() && established_at <= self.proved_at
    }
}

impl Gate {
    /// Returns true if the read lease shows that a commit is kept, or none is needed.
    pub(crate) fn needs_no_commit_proof(&self, cluster: &Name) -> bool {
        let leased = self.read_lease_acquired().is_some() && self.are_former_failovers_over();
        leased || !self.has_synchronous_replicas(cluster)
    }

    /// Returns true if a commit that is sent now can probably be proved to be kept.
    pub(crate) fn can_prove_commit(&self, cluster: &Name) -> bool {
        if self.needs_no_commit_proof(cluster) {
            return true;
        }
        self.asked_replicas(cluster).iter().any(|name| self.is_witness(name))
    }

    /// Returns the replicas that are asked whether they are fenced: the connected ones, so that a
    /// commit does not wait for a new connection.
    fn asked_replicas(&self, cluster: &Name) -> Vec<Name> {
        let Some(state) = self.clusters.get(cluster) else { return Vec::new() };
        let leader = state.proof.leader();
        let replicas = state.members.iter().filter(|name| {
            Some(*name) != leader
                && self.databases.get(*name).is_some_and(|database| {
                    let connected = database.connections.len() > database.opening as usize;
                    connected && database.is_usable(self.now)
                })
        });
        replicas.cloned().collect()
    }

    /// Returns true if one of the connections to a replica was open when no failover was pending.
    fn is_witness(&self, name: &Name) -> bool {
        let Some(database) = self.databases.get(name) else { return false };
        let Some(state) = self.clusters.get(&database.listed.cluster) else { return false };
        database
            .connections
            .iter()
            .filter_map(|connection| self.connections.get(connection))
            .any(|connection| state.commit_proof.accepts_witness(connection.established_at))
    }

    /// Holds the answer to a commit back until the commit is proved to be kept.
    pub(crate) fn hold_commit(&mut self, id: RequestId, answer: BackendAnswer) {
        let now = self.now;
        self.release_slot(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let cluster = request.route.cluster.clone();
        let Some(state) = self.clusters.get_mut(&cluster) else { return };
        let term = answer.position.map_or(state.proof.term(), |position| position.term);
        request.held_commit = Some(HeldCommit { answered_at: now, term, answer });
        // The connection serves others in the meantime.
        request.connection = None;
        state.commit_proof.held.push(id);
        self.count("commits_held");
        self.prove_commits(&cluster);
    }

    /// Records what a replica's report shows, and answers the commits that it proves.
    pub(crate) fn observe_witness(
        &mut self,
        connection: ConnectionId,
        requested_at: Micros,
        report: &DatabaseReport,
    ) {
        let Some(connection) = self.connections.get(&connection) else { return };
        let (name, cluster) = (connection.database.clone(), connection.cluster.clone());
        let established_at = connection.established_at;
        let Some(state) = self.clusters.get_mut(&cluster) else { return };
        let term = state.proof.term();
        let unfenced = report.role == DatabaseRole::Replica
            && report.term == term
            && report.fence <= report.term;
        if unfenced && state.commit_proof.accepts_witness(established_at) {
            state.commit_proof.proved_at = state.commit_proof.proved_at.max(Some(requested_at));
        }
        if let Some(database) = self.databases.get_mut(&name) {
            database.unfenced_at = unfenced.then_some(requested_at);
        }
        self.prove_commits(&cluster);
    }

    /// Answers the commits that are proved to be kept or lost, and requests reports for the others.
    pub(crate) fn prove_commits(&mut self, cluster: &Name) {
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        if state.commit_proof.held.is_empty() {
            return;
        }
        let held = std::mem::take(&mut state.commit_proof.held);
        let mut unproved = Vec::new();
        let mut last_answer = Micros::ZERO;
        for id in held {
            let Some(request) = self.requests.get(&id) else { continue };
            let Some(commit) = &request.held_commit else { continue };
            let (answered_at, term) = (commit.answered_at, commit.term);
            let Some(database) = request.database.clone() else { continue };
            if self.clusters.get(cluster).is_some_and(|state| state.proof.term() > term)
                || !self.is_commit_kept(cluster, &database)
            {
                self.withhold_commit(id, &database);
            } else if self.is_commit_proved(cluster, answered_at) {
                self.answer_held_commit(id);
            } else {
                unproved.push(id);
                last_answer = last_answer.max(answered_at);
            }
        }
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        // Answers may lead to further commits.
        state.commit_proof.held.extend(unproved);
        self.request_witnesses(cluster, last_answer);
    }

    fn is_commit_proved(&self, cluster: &Name, answered_at: Micros) -> bool {
        let Some(state) = self.clusters.get(cluster) else { return false };
        let proof = &state.commit_proof;
        let replicas = self.asked_replicas(cluster);
        proof.proved_by_lease >= Some(answered_at)
            || proof.proved_at >= Some(answered_at)
                && replicas.iter().all(|name| {
                    let database = self.databases.get(name);
                    database.is_some_and(|database| database.unfenced_at >= Some(answered_at))
                })
    }

    fn answer_held_commit(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(commit) = request.held_commit.take() else { return };
        self.commit_succeeded(id, commit.answer);
    }

    /// Requests reports from the replicas that have not answered for `time` yet.
    fn request_witnesses(&mut self, cluster: &Name, time: Micros) {
        let now = self.now;
        let due: Vec<Name> = self
            .asked_replicas(cluster)
            .into_iter()
            .filter(|name| {
                self.databases.get(name).is_some_and(|database| {
                    let fenced = database.unfenced_at.is_none()
                        && database
                            .last_report_at
                            .is_some_and(|at| now < at + FENCED_RETRY_INTERVAL);
                    database.unfenced_at < Some(time)
                        && database.report_requested_at.is_none()
                        && !fenced
                })
            })
            .collect();
        for name in due {
            self.request_report(&name);
        }
    }
}
