//! One gate of a large deployment, `n0`, with the test in the place of everything around it.

use std::net::SocketAddr;

use gate::*;
use model::{Micros, Name};

use super::route_table;

/// Connections that a database takes, as at the smaller of the users' large deployments.
const CONNECTIONS: u32 = 46;

/// A registration as it is stored.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    pub role: NodeRole,
    pub index: u16,
    pub record: NodeRecord,
}

impl NodeEntry {
    pub fn new(role: NodeRole, index: u16, data_centre: &str, capacity: u32) -> Self {
        let record = NodeRecord {
            peer_address: Some(SocketAddr::from(([127, 0, 0, 1], 7_000 + index))),
            data_centre: data_centre.into(),
            capacity,
            ..NodeRecord::default()
        };
        NodeEntry { role, index, record }
    }

    pub fn document(&self) -> Document {
        Document::Node(self.role, format!("n{}", self.index).into())
    }

    pub fn stored(&self) -> StoredDocument {
        stored(self.document(), serde_json::to_vec(&self.record).expect("it is serialized"))
    }
}

/// Returns a document at the first revision.
pub fn stored(document: Document, bytes: Vec<u8>) -> StoredDocument {
    StoredDocument { document, revision: 1, lease: 1, bytes }
}

/// The gate, and what it has ordered.
pub struct LoneGate {
    pub gate: Gate,
    pub now: Micros,
    pub actions: Vec<GateAction>,
}

impl LoneGate {
    pub fn start(data_centre: &str, capacity: u32, documents: Vec<StoredDocument>) -> LoneGate {
        let gate = Gate::new(GateSettings {
            node: "n0".into(),
            data_centre: data_centre.into(),
            capacity,
            peer_address: None,
            process: 1,
            grace: Micros::from_secs(6),
        });
        let mut lone = LoneGate { gate, now: Micros::ZERO, actions: Vec::new() };
        lone.event(GateEvent::RoutesChanged(Box::new(route_table(CONNECTIONS))));
        lone.event(GateEvent::DocumentsListed(documents));
        lone
    }

    pub fn event(&mut self, event: GateEvent) {
        self.gate.handle(self.now, event, &mut self.actions);
    }

    /// Passes time without an event.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.event(GateEvent::Timer);
        }
    }

    /// Opens a session and sends a read.
    pub fn read(&mut self, number: u64, route: &str) {
        let session = SessionId(number);
        let (database, origin) = (route.into(), SessionOrigin::Client);
        self.event(GateEvent::SessionOpened { session, database, origin });
        let (id, text) = (Name::from(format!("r{number}")), Name::from("READ 1"));
        let request = ClientRequest { id, text, statement: Statement::Read, after: None };
        self.event(GateEvent::RequestArrived { session, request });
    }

    /// Takes the connections that were opened since the last call; other orders are forgotten.
    pub fn opened(&mut self) -> Vec<(LinkId, Name)> {
        let actions = std::mem::take(&mut self.actions).into_iter();
        let opened = actions.filter_map(|action| match action {
            GateAction::OpenLink { link, database, .. } => Some((link, database)),
            _ => None,
        });
        opened.collect()
    }

    /// Takes what the balancer was told last since the last call; other orders are forgotten.
    pub fn told_ready(&mut self) -> Option<bool> {
        let actions = std::mem::take(&mut self.actions).into_iter();
        let told = actions.filter_map(|action| match action {
            GateAction::SetReady(ready) => Some(ready),
            _ => None,
        });
        told.last()
    }
}
