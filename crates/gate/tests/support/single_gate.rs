//! One gate of a large deployment, `n0`; the test takes the place of everything around it.

use std::net::SocketAddr;

use gate::*;
use model::{Micros, Name};

use super::{CLUSTER, route_table};

/// Connections that a database accepts, as in the smaller of the users' large deployments.
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

/// Returns the entry of a database of the test cluster.
pub fn listed(id: &str, data_centre: &str, claimed_role: DatabaseRole) -> ListedDatabase {
    ListedDatabase {
        id: id.into(),
        cluster: CLUSTER.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        data_centre: data_centre.into(),
        slots: 4,
        leaving: false,
        claimed_role: Some(claimed_role),
        started_at_ms: None,
    }
}

/// The gate and the actions that it has requested.
pub struct SingleGate {
    pub gate: Gate,
    pub now: Micros,
    pub actions: Vec<GateAction>,
}

impl SingleGate {
    pub fn start(data_centre: &str, capacity: u32, documents: Vec<StoredDocument>) -> SingleGate {
        let gate = Gate::new(GateSettings {
            node: "n0".into(),
            data_centre: data_centre.into(),
            capacity,
            peer_address: None,
            relay_address: None,
            incarnation: 1,
            shutdown_grace: Micros::from_secs(6),
            configuration_bound: Micros::from_secs(3),
            leaving_bound: Micros::from_secs(7),
            quota: None,
        });
        let mut single = SingleGate { gate, now: Micros::ZERO, actions: Vec::new() };
        single.event(GateEvent::RoutesChanged(Box::new(route_table(CONNECTIONS))));
        single.event(GateEvent::DocumentsListed { documents, revision: 1 });
        single
    }

    pub fn event(&mut self, event: GateEvent) {
        self.gate.handle(self.now, event, &mut self.actions);
    }

    /// Advances the time with timer events only.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += TIMER_INTERVAL;
            self.event(GateEvent::Timer);
        }
    }

    /// Opens a session and sends a read.
    pub fn read(&mut self, number: u64, route: &str) {
        let session = SessionId(number);
        let (database, origin) = (route.into(), SessionOrigin::Client);
        self.event(GateEvent::SessionOpened { session, database, key: ApiKey::default(), origin });
        let (id, text) = (Name::from(format!("r{number}")), Name::from("READ 1"));
        let request = ClientRequest {
            id,
            text,
            statement: Statement::Read,
            required_position: None,
            caller: None,
        };
        self.event(GateEvent::RequestArrived { session, request });
    }

    /// Returns the connections that were opened since the last call; other actions are discarded.
    pub fn take_opened(&mut self) -> Vec<(ConnectionId, Name)> {
        let actions = std::mem::take(&mut self.actions).into_iter();
        let opened = actions.filter_map(|action| match action {
            GateAction::OpenConnection { connection, database, .. } => Some((connection, database)),
            _ => None,
        });
        opened.collect()
    }

    /// Returns the last readiness that was reported since the last call; other actions are
    /// discarded.
    pub fn last_readiness(&mut self) -> Option<bool> {
        let actions = std::mem::take(&mut self.actions).into_iter();
        let reported = actions.filter_map(|action| match action {
            GateAction::SetReady(ready) => Some(ready),
            _ => None,
        });
        reported.last()
    }
}
