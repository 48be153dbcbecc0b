//! Connections between the gates of a simulation, for requests of tokens only.
//!
//! A pair of node and node name in [`Simulation::cuts`] loses the messages of that node's
//! connections to the other.

use std::collections::{BTreeMap, VecDeque};

use super::*;

/// A connection from one gate to another.
#[derive(Debug)]
pub(super) struct PeerLink {
    from: usize,
    connection: ConnectionId,
    to: usize,
    /// Requests that wait for the answer to the one before.
    requests: VecDeque<AllotmentRequest>,
    is_busy: bool,
}

/// The open connections between gates, by the session at the gate that accepted it.
#[derive(Debug, Default)]
pub struct PeerLinks {
    pub(super) enabled: bool,
    pub(super) links: BTreeMap<SessionId, PeerLink>,
    /// Sessions that each gate has opened at others for tokens.
    pub opened: usize,
    /// Additional delay of messages, at most, in milliseconds.
    pub jitter_ms: u64,
}

#[derive(Clone, Debug)]
pub(super) enum LinkDelivery {
    Open { session: SessionId, database: Name },
    Request { session: SessionId, request: AllotmentRequest },
    Close { session: SessionId, to: usize },
    Answer { session: SessionId, event: Box<GateEvent> },
}

impl Simulation {
    /// Starts nodes that can connect to each other.
    pub fn start_linked(nodes: usize) -> Simulation {
        let mut simulation = Simulation::empty_with(nodes, true);
        simulation.announce_store_state();
        simulation.run(Micros::from_secs(3));
        simulation.logs.clear();
        simulation
    }

    /// Executes an action that concerns a connection between gates; returns any other.
    pub(super) fn execute_link_action(
        &mut self,
        gate: usize,
        action: GateAction,
    ) -> Option<GateAction> {
        match action {
            GateAction::OpenConnection { connection, cluster, database, .. }
                if &*cluster == ALLOTMENT_SESSION =>
            {
                let target = database.split('/').next()?;
                let to = self.names.iter().position(|name| &**name == target)?;
                self.next_session += 1;
                let session = SessionId(1_000_000 + self.next_session);
                let (requests, is_busy) = (VecDeque::new(), true);
                let link = PeerLink { from: gate, connection, to, requests, is_busy };
                self.links.links.insert(session, link);
                self.links.opened += 1;
                self.schedule_link(LinkDelivery::Open { session, database: cluster });
            }
            GateAction::CloseConnection { connection } => {
                let session = self.link_session(gate, connection);
                let Some(session) = session else {
                    return Some(GateAction::CloseConnection { connection });
                };
                let to = self.links.links.remove(&session)?.to;
                self.schedule_link(LinkDelivery::Close { session, to });
            }
            GateAction::Send { connection, commands } => {
                let Some(session) = self.link_session(gate, connection) else {
                    return Some(GateAction::Send { connection, commands });
                };
                for command in commands {
                    let BackendCommand::Allot(request) = command else { continue };
                    self.schedule_link(LinkDelivery::Request { session, request });
                }
            }
            GateAction::AcceptSession { session } => {
                let connection = self.links.links.get(&session)?.connection;
                let event = GateEvent::ConnectionOpened { connection, position: None };
                self.answer_link(session, event);
            }
            GateAction::RefuseSession { session, code, text } => {
                let Some(link) = self.links.links.get(&session) else {
                    return Some(GateAction::RefuseSession { session, code, text });
                };
                let connection = link.connection;
                self.answer_link(session, GateEvent::ConnectionRefused { connection, code });
            }
            GateAction::ReplyAllotments { session, grants } => {
                let connection = self.links.links.get(&session)?.connection;
                self.answer_link(session, GateEvent::AllotmentsAnswered { connection, grants });
            }
            action => return Some(action),
        }
        None
    }

    fn link_session(&self, gate: usize, connection: ConnectionId) -> Option<SessionId> {
        let mut links = self.links.links.iter();
        let found = links.find(|(_, link)| link.from == gate && link.connection == connection);
        found.map(|(session, _)| *session)
    }

    fn schedule_link(&mut self, delivery: LinkDelivery) {
        // Spreads the delays evenly without a random source.
        let jitter = self.sequence.wrapping_mul(7_919) % (self.links.jitter_ms + 1);
        let delay = NETWORK_DELAY + Micros::from_millis(jitter);
        self.schedule(delay, Delivery::Link(delivery));
    }

    fn answer_link(&mut self, session: SessionId, event: GateEvent) {
        self.schedule_link(LinkDelivery::Answer { session, event: Box::new(event) });
    }

    fn is_link_cut(&self, link: &PeerLink) -> bool {
        self.stopped.contains(&link.to)
            || self.cuts.contains(&(link.from, self.names[link.to].clone()))
    }

    pub(super) fn deliver_link(&mut self, delivery: LinkDelivery) {
        let session = match &delivery {
            LinkDelivery::Close { session, to } => {
                return self.event(*to, GateEvent::SessionClosed { session: *session });
            }
            LinkDelivery::Open { session, .. }
            | LinkDelivery::Request { session, .. }
            | LinkDelivery::Answer { session, .. } => *session,
        };
        let Some(link) = self.links.links.get(&session) else { return };
        if self.is_link_cut(link) {
            return;
        }
        let (from, to) = (link.from, link.to);
        match delivery {
            LinkDelivery::Open { database, .. } => {
                let key = Name::from(format!("{} {}/{database}", self.names[from], self.names[to]));
                let origin = SessionOrigin::Peer;
                self.event(
                    to,
                    GateEvent::SessionOpened { session, database, key: key.into(), origin },
                );
            }
            LinkDelivery::Request { request, .. } => {
                if let Some(link) = self.links.links.get_mut(&session) {
                    link.requests.push_back(request);
                }
                self.pass_link_request(session);
            }
            LinkDelivery::Answer { event, .. } => {
                if let Some(link) = self.links.links.get_mut(&session) {
                    link.is_busy = false;
                }
                self.event(from, *event);
                self.pass_link_request(session);
            }
            LinkDelivery::Close { .. } => {}
        }
    }

    fn pass_link_request(&mut self, session: SessionId) {
        let Some(link) = self.links.links.get_mut(&session) else { return };
        if link.is_busy {
            return;
        }
        let Some(request) = link.requests.pop_front() else { return };
        link.is_busy = true;
        let to = link.to;
        let request = ClientRequest {
            id: "-".into(),
            text: "ALLOT".into(),
            statement: Statement::Allot(request),
            required_position: None,
            caller: None,
        };
        self.event(to, GateEvent::RequestArrived { session, request });
    }
}
