//! Proofs of leadership and data age, checked before a request is sent and before its answer is relayed.

use failover::{ClusterMonitor, CommitId, MonitorEvent, RequiredPositionState};
use model::{Micros, Name, Term};

use crate::Node;
use crate::action::NodeAction;
use crate::id::ExchangeId;
use crate::owner::{CommitPurpose, OwnerRequest, RequestOrigin, RequestStage};
use crate::request::{DeclineReason, OwnerReply};
use admit::RequestId;

/// Maximum age of the last confirmed report round at which the primary is taken to lead, for reads and
/// for the start of writes: two rounds of 250 ms and a margin. A longer time sends more writes to a
/// frozen primary, and their outcome is then unknown.
const MAX_LEADERSHIP_PROOF_AGE: Micros = Micros::from_millis(600);

/// Report rounds that a request waits for before it is declined.
const MAX_ROUNDS_AWAITED: u32 = 2;

/// Whether a request may be sent.
#[derive(Debug)]
pub(crate) enum ProofCheck {
    Ready,
    WaitForRound,
    Decline(DeclineReason),
    RollBack(String),
}

/// The proof under which a read was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ReadProof {
    /// The database led in this term.
    Primary { term: Term },
    /// At the time `at` the data age was `age`. The statement fixes the data that it reads after `at`, so
    /// the age of the answer is at most `age` plus the time since `at`.
    Replica { age: Micros, at: Micros, limit: Micros },
}

impl Node {
    /// Returns whether the request may be sent now, and stores its proof.
    pub(crate) fn check_proof(&mut self, id: RequestId) -> ProofCheck {
        let now = self.now;
        let Some(request) = self.owner.requests.get_mut(&id) else {
            return ProofCheck::Decline(DeclineReason::Unavailable);
        };
        let database = request.routed.database.clone();
        let Some(service) = self.owner.services.get(&database) else {
            if request.pin.is_some() {
                return ProofCheck::RollBack("this node no longer serves the database".to_string());
            }
            return ProofCheck::Decline(not_owner_reason(&self.fleet, &self.members, &database));
        };
        let monitor = self.clusters.get(&service.cluster).map(|cluster| &cluster.monitor);
        let view = monitor.map(|monitor| monitor.view(now));
        if let Some(key) = request.pin {
            let Some(pin) = self.owner.pins.get(&key) else {
                return ProofCheck::RollBack(
                    "the connection of the transaction was lost".to_string(),
                );
            };
            request.term = pin.term;
            let term = view.map(|view| view.term);
            if request.routed.commits && term != Some(pin.term) {
                return ProofCheck::RollBack("the primary was replaced".to_string());
            }
            return ProofCheck::Ready;
        }
        if !service.owned {
            return ProofCheck::Decline(not_owner_reason(&self.fleet, &self.members, &database));
        }
        let (Some(monitor), Some(view)) = (monitor, view) else {
            return ProofCheck::Decline(DeclineReason::Unavailable);
        };
        let leads = view.leader.as_ref() == Some(&database);
        let served_while_leaving =
            leads && service.awaits_transactions(now) && !request.opens_transaction();
        if service.config.leaving && !served_while_leaving {
            return ProofCheck::Decline(DeclineReason::Unavailable);
        }
        request.term = view.term;
        let confirmed = view.confirmed_ago.is_some_and(|ago| ago <= MAX_LEADERSHIP_PROOF_AGE);
        if !request.routed.read || request.routed.max_age.is_none() {
            if !leads {
                return ProofCheck::Decline(DeclineReason::NotLeader { leader: view.leader });
            }
            if !confirmed {
                return ProofCheck::Decline(DeclineReason::Unavailable);
            }
        }
        if !request.routed.read {
            return ProofCheck::Ready;
        }
        check_read(request, monitor, now, leads && confirmed)
    }

    /// Makes the request wait for a confirmed report round that begins now or later.
    pub(crate) fn wait_for_round(&mut self, id: RequestId) {
        let Some(request) = self.owner.requests.get_mut(&id) else { return };
        request.rounds_awaited += 1;
        request.stage = RequestStage::WaitingForRound;
        let deadline = request.deadline;
        let term = request.term;
        let Some(service) = self.owner.services.get(&request.routed.database) else { return };
        let cluster = service.cluster.clone();
        self.arm_owner_request(id, Some(deadline));
        // Shares a round that another request asked for at the same time.
        if let Some((at, commit)) =
            self.clusters.get(&cluster).and_then(|state| state.requested_round)
            && at == self.now
            && let Some(CommitPurpose::Round(requests)) = self.owner.commits.get_mut(&commit)
        {
            requests.push(id);
            return;
        }
        // The monitor acknowledges this like a commit, with a confirmed round that begins from now on.
        let commit = CommitId(self.next_id());
        self.owner.commits.insert(commit, CommitPurpose::Round(vec![id]));
        if let Some(state) = self.clusters.get_mut(&cluster) {
            state.requested_round = Some((self.now, commit));
        }
        let event = MonitorEvent::CommitFinished { commit, term, durable: false };
        self.handle_monitor_event(&cluster, event);
    }

    /// Handles the first byte of an answer: checks the proof again, then relays or discards the answer.
    pub(crate) fn answer_started(&mut self, exchange: ExchangeId) {
        let Some(id) = self.owner.exchanges.get(&exchange).copied() else { return };
        let Some(request) = self.owner.requests.get(&id) else { return };
        if !matches!(request.stage, RequestStage::Running { decided: false, .. }) {
            return;
        }
        let refusal = self.recheck_proof(request);
        let (origin, connection) = (request.origin, request.connection);
        let (age, wait) = self.age_and_wait(id);
        if let Some(request) = self.owner.requests.get_mut(&id) {
            request.stage = RequestStage::Running { exchange, decided: true };
            match refusal {
                None => self.emit(NodeAction::Relay { exchange }),
                Some(reason) => {
                    request.origin = RequestOrigin::Abandoned;
                    self.count("reads.discarded", 1);
                    self.emit(NodeAction::Discard { exchange });
                    if let Some(connection) = connection {
                        self.emit(NodeAction::CancelExchange { connection, exchange });
                    }
                    let reply = OwnerReply::Declined { reason, age, wait };
                    self.send_reply(id, origin, reply, None);
                }
            }
        }
    }

    /// Returns the reason why the answer must not be relayed, if any.
    pub(crate) fn recheck_proof(&self, request: &OwnerRequest) -> Option<DeclineReason> {
        match request.proof? {
            ReadProof::Replica { age, at, limit } => {
                (age + self.now.saturating_sub(at) > limit).then_some(DeclineReason::NoProof)
            }
            ReadProof::Primary { term } => {
                let service = self.owner.services.get(&request.routed.database)?;
                let view = self.clusters.get(&service.cluster).map(|cluster| {
                    let view = cluster.monitor.view(self.now);
                    let confirmed =
                        view.confirmed_ago.is_some_and(|ago| ago <= MAX_LEADERSHIP_PROOF_AGE);
                    (view.term, view.leader, confirmed)
                });
                match view {
                    Some((current_term, Some(leader), true))
                        if current_term == term && leader == request.routed.database =>
                    {
                        None
                    }
                    Some((_, leader, _)) => {
                        let leader = leader.filter(|leader| *leader != request.routed.database);
                        Some(DeclineReason::NotLeader { leader })
                    }
                    None => Some(DeclineReason::NotLeader { leader: None }),
                }
            }
        }
    }
}

/// Returns whether a read may be sent, and stores its proof. `primary` is true if the database leads
/// and its leadership proof is recent enough.
fn check_read(
    request: &mut OwnerRequest,
    monitor: &ClusterMonitor,
    now: Micros,
    primary: bool,
) -> ProofCheck {
    let term = monitor.view(now).term;
    let database = request.routed.database.clone();
    if request.routed.required_position.is_none()
        && request.sampled_position.is_none()
        && let Some(session_age) = request.routed.session_age
    {
        let since = request.arrived.saturating_sub(session_age);
        request.sampled_position = monitor.confirmed_position(since);
        if request.sampled_position.is_none() {
            return wait_for_round_or_decline(request);
        }
    }
    if let Some(required_position) = request
        .replacement_position
        .or(request.routed.required_position)
        .or(request.sampled_position)
    {
        let mut state = monitor.required_position_state(&database, required_position);
        // Terms never decrease, so a confirmed round in a lower term shows that the cluster was rebuilt
        // or that the required position belongs to another cluster.
        if required_position.term > term && monitor.confirmed_position(request.arrived).is_some() {
            state = RequiredPositionState::Lost { replacement: monitor.term_start_position() };
        }
        if let RequiredPositionState::Lost { replacement }
        | RequiredPositionState::Uncertain { replacement } = state
        {
            request.replacement_position = Some(replacement);
            state = monitor.required_position_state(&database, replacement);
        }
        match state {
            RequiredPositionState::Met => {}
            _ if primary => return wait_for_round_or_decline(request),
            _ => return ProofCheck::Decline(DeclineReason::NoProof),
        }
    }
    if primary {
        request.proof = Some(ReadProof::Primary { term });
        return ProofCheck::Ready;
    }
    match (request.routed.max_age, monitor.provable_age(now, &database)) {
        (Some(limit), Some(age)) if age <= limit => {
            request.proof = Some(ReadProof::Replica { age, at: now, limit });
            ProofCheck::Ready
        }
        _ => ProofCheck::Decline(DeclineReason::NoProof),
    }
}

fn wait_for_round_or_decline(request: &OwnerRequest) -> ProofCheck {
    match request.rounds_awaited < MAX_ROUNDS_AWAITED {
        true => ProofCheck::WaitForRound,
        false => ProofCheck::Decline(DeclineReason::NoProof),
    }
}

fn not_owner_reason(
    fleet: &crate::fleet::FleetState,
    members: &member::MemberTable,
    database: &Name,
) -> DeclineReason {
    let data_centre = fleet.active.as_ref().and_then(|fleet| {
        let (_, config) = fleet.database(database)?;
        Some(config.data_centre.clone())
    });
    match data_centre {
        Some(data_centre) => {
            DeclineReason::NotOwner { owner: members.owner_of(database, &data_centre) }
        }
        None => DeclineReason::Unavailable,
    }
}
