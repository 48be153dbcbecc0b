//! Routing of requests to databases and their owners, and the timers of requests.

use member::MemberInfo;
use model::{Micros, Name};
use route::{RequestPolicy, choose_database};

use super::{ANSWER_GRACE, AttemptPath, EntryAttempt, EntryRequest, ForwardedCall};
use crate::Node;
use crate::action::NodeAction;
use crate::id::{CallId, LaneId, SessionId};
use crate::owner::{PinKey, RequestOrigin};
use crate::request::RoutedRequest;
use crate::session::Session;
use crate::timer::TimerKey;

/// The node that a request is sent to.
enum RouteTarget {
    Local,
    Peer(MemberInfo),
}

impl Node {
    /// Sends the session's request to an owner, or schedules a retry.
    pub(crate) fn route_request(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Some(request) = &session.request else { return };
        if request.attempt.is_some() {
            return;
        }
        if let Some(transaction) = &session.transaction {
            let (database, owner) = (transaction.database.clone(), transaction.owner.clone());
            let lane = transaction.lane;
            return match lane {
                None => self.send_request(id, database, RouteTarget::Local, true, None),
                Some(lane) => match self.members.member(&owner).cloned() {
                    Some(peer) => {
                        self.send_request(id, database, RouteTarget::Peer(peer), true, Some(lane));
                    }
                    None => self.end_transaction(id, "the node that owns the database was lost"),
                },
            };
        }
        if request.cancelled || request.deadline <= self.now {
            return self.finish_not_run(id);
        }
        let Some((database, reason)) = self.choose_target(session, request) else {
            return self.schedule_retry(id);
        };
        let Some(fleet) = self.fleet.active.clone() else { return self.schedule_retry(id) };
        let Some((_, config)) = fleet.database(&database) else {
            return self.schedule_retry(id);
        };
        let owner = self.members.owner_of(&database, &config.data_centre);
        if let Some(request) = self.request_mut(id) {
            request.route = (database.clone(), reason);
        }
        if owner == self.settings.name {
            self.send_request(id, database, RouteTarget::Local, false, None);
        } else if let Some(peer) = self.members.member(&owner).cloned() {
            self.send_request(id, database, RouteTarget::Peer(peer), false, None);
        } else {
            self.try_other_database(id, &database);
        }
    }

    /// Chooses a database that has not declined since the last backoff.
    fn choose_target(
        &self,
        session: &Session,
        request: &EntryRequest,
    ) -> Option<(Name, &'static str)> {
        let fleet = self.fleet.active.as_ref()?;
        let cluster = fleet.cluster(&session.cluster)?;
        let leader = self.known_leader(&session.cluster);
        let untried = |database: &Name| !request.declined_by.contains(database);
        if request.read {
            let mut hints = self.entry.hints.cluster(self.now, cluster, leader.as_ref());
            for hint in &mut hints {
                hint.excluded |= !untried(&hint.database);
            }
            let choice = match request.primary_only {
                true => {
                    let policy =
                        RequestPolicy { max_age: Micros::ZERO, ..(*request.policy).clone() };
                    choose_database(&policy, true, None, &self.settings.data_centre, &hints)
                }
                false => choose_database(
                    &request.policy,
                    true,
                    session.required_position(),
                    &self.settings.data_centre,
                    &hints,
                ),
            };
            if let Some(choice) = choice.filter(|choice| untried(&choice.database)) {
                return Some((choice.database, choice.reason));
            }
        }
        if let Some(leader) = leader.filter(|leader| untried(leader)) {
            return Some((leader, "writes go to the primary"));
        }
        let others = cluster.databases.iter().filter(|database| !database.leaving);
        others
            .map(|database| database.name.clone())
            .find(untried)
            .map(|database| (database, "its owner is asked for the primary"))
    }

    /// Returns the leader according to replies or else to this node's cluster monitor.
    pub(crate) fn known_leader(&self, cluster: &str) -> Option<Name> {
        let hinted = self.entry.hints.leader(cluster).cloned();
        hinted.or_else(|| self.clusters.get(cluster)?.monitor.view(self.now).leader)
    }

    fn send_request(
        &mut self,
        id: SessionId,
        database: Name,
        target: RouteTarget,
        in_transaction: bool,
        lane: Option<LaneId>,
    ) {
        let now = self.now;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let required_position = session.required_position();
        let Some(request) = session.request.as_mut() else { return };
        let session_age = (required_position.is_none() && !session.has_token)
            .then(|| now.saturating_sub(session.arrived));
        let needs_primary = request.policy.max_age == Micros::ZERO || request.primary_only;
        let routed = Box::new(RoutedRequest {
            database: database.clone(),
            caller: session.caller.clone(),
            labels: session.labels.clone(),
            selector: request.policy.selector.clone(),
            rank: request.policy.rank,
            time_left: request.deadline.saturating_sub(now),
            read: request.read,
            commits: request.commits,
            durable: request.policy.durable,
            max_age: (request.read && !needs_primary).then_some(request.policy.max_age),
            required_position,
            session_age: session_age.filter(|_| request.read && !in_transaction),
            request_key: request.key.clone(),
            user: session.user.clone(),
            request: request.request.clone(),
        });
        request.retry_at = None;
        if let Some(transaction) = &mut session.transaction {
            transaction.has_written |= request.may_write;
        }
        self.entry.stop_waiting(&session.cluster, id);
        let (owner, path) = match target {
            RouteTarget::Local => {
                let pin = in_transaction.then_some(PinKey::Session(id));
                let owner_request =
                    self.admit_owner_request(RequestOrigin::Session(id), None, pin, *routed);
                (self.settings.name.clone(), AttemptPath::Local(owner_request))
            }
            RouteTarget::Peer(to) => {
                let call = CallId(self.next_id());
                let owner = to.name.clone();
                self.entry.calls.insert(call, ForwardedCall { session: id, to: owner.clone() });
                self.count("requests.forwarded", 1);
                self.emit(NodeAction::Forward { call, session: id, to, lane, request: routed });
                (owner, AttemptPath::Remote(call))
            }
        };
        if let Some(request) = self.request_mut(id) {
            request.attempt = Some(EntryAttempt { database, owner, path });
        }
        self.arm_session(id);
    }

    /// Sets the timer of the session's request.
    pub(super) fn arm_session(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        let due = match request.attempt.as_ref().map(|attempt| attempt.path) {
            None => Some(request.retry_at.unwrap_or(request.deadline).min(request.deadline)),
            Some(AttemptPath::Remote(_)) => Some(request.deadline + ANSWER_GRACE),
            // The owner side enforces the deadline of a local request.
            Some(AttemptPath::Local(_)) => None,
        };
        if request.timer_due != due {
            request.timer_due = due;
            if let Some(due) = due {
                self.timers.add(due, TimerKey::Session(id));
            }
        }
    }

    /// Handles the timer of a session's request: a retry, or a peer that does not answer.
    pub(crate) fn session_timer_due(&mut self, id: SessionId) {
        let Some(request) = self.request_mut(id) else { return };
        request.timer_due = None;
        match request.attempt.as_ref().map(|attempt| attempt.path) {
            None => {
                request.retry_at = None;
                self.route_request(id);
            }
            Some(AttemptPath::Remote(call)) => {
                self.count("forwards.timed_out", 1);
                self.emit(NodeAction::CancelForward { call });
                self.forward_failed(call, true);
            }
            Some(AttemptPath::Local(_)) => {}
        }
    }
}
