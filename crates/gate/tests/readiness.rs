//! When nodes report that they are ready.
//!
//! Load pattern: a data centre is cut off under steady traffic. Its clients are served again as soon
//! as its nodes are out of rotation, and the nodes of the other data centres must stay in.

#![allow(clippy::unwrap_used)]

mod support;

use bytes::Bytes;
use gate::{
    AnswerEnd, BackendAnswer, BackendCommand, ConnectionId, DatabaseReport, DatabaseRole,
    GateAction, GateEvent, NodeRole, TIMER_INTERVAL, TermPosition, TransactionState,
};
use model::{FastMap, Micros, Name, Term};
use support::single_gate::{NodeEntry, SingleGate, listed};
use support::{LATEST, Simulation, millis};

/// Time in which the balancer needs to hear that a cut-off node is not ready, so that its clients
/// are moved within half of the shortest cut that the users play (5 s): two probes, and the close of
/// idle sessions, follow.
const CUT_OFF_BOUND: Micros = Micros::from_millis(1_600);

/// The old primary is in the cut-off data centre and answers there. The nodes beside it cannot prove
/// that it leads, and its commits hang, so they serve nothing.
#[test]
fn a_node_cut_off_with_a_primary_is_not_ready() {
    let mut simulation = Simulation::start(3);
    assert!(simulation.ready[0]);
    simulation.store_cut.insert(0);
    simulation.cut(0, "b");
    simulation.cut(0, "c");
    let cut = simulation.now;
    let mut number = 0;
    while simulation.now < cut + millis(6_000) {
        number += 1;
        let session = simulation.open(0, LATEST);
        simulation.send_request(0, session, &format!("r{number}"), "READ 1");
        simulation.run(TIMER_INTERVAL);
        let late = simulation.now > cut + CUT_OFF_BOUND;
        assert!(!late || !simulation.ready[0], "ready {} after the cut", simulation.now - cut);
    }
}

/// Databases that answer reports, as one gate sees them.
struct AnsweringDatabases {
    gate: SingleGate,
    connections: FastMap<ConnectionId, Name>,
    silent: Option<Name>,
    ready: bool,
}

impl AnsweringDatabases {
    fn run(&mut self, time: Micros) {
        let end = self.gate.now + time;
        while self.gate.now < end {
            let (sent, role_changes) = (self.gate.now, 1);
            self.gate.event(GateEvent::ReadLeaseRenewed { sent, role_changes });
            self.gate.run(TIMER_INTERVAL);
            self.execute_actions();
        }
    }

    fn execute_actions(&mut self) {
        for action in std::mem::take(&mut self.gate.actions) {
            match action {
                GateAction::OpenConnection { connection, database, .. } => {
                    let answers =
                        !database.contains('/') && Some(&database) != self.silent.as_ref();
                    self.connections.insert(connection, database);
                    if answers {
                        let event = GateEvent::ConnectionOpened { connection, position: None };
                        self.gate.event(event);
                    }
                }
                GateAction::Send { connection, commands } => self.answer(connection, &commands),
                GateAction::SetReady(ready) => self.ready = ready,
                GateAction::PublishRegistration { role_changes, .. } => {
                    let (revision, sent) = (2, self.gate.now);
                    let stored = GateEvent::RegistrationStored { role_changes, revision, sent };
                    self.gate.event(stored);
                    self.gate.event(GateEvent::StoreFollowed { revision, known_at: sent });
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, connection: ConnectionId, commands: &[BackendCommand]) {
        let name = self.connections[&connection].clone();
        if Some(&name) == self.silent.as_ref() || name.contains('/') {
            return;
        }
        for command in commands {
            let role = if &*name == "a" { DatabaseRole::Primary } else { DatabaseRole::Replica };
            let received = TermPosition { term: Term(1), position: 5 };
            let report = DatabaseReport {
                role,
                term: Term(1),
                received,
                fence: Term(0),
                lag: Micros::ZERO,
                connections: 1,
            };
            let answer = Box::new(BackendAnswer {
                rows: Vec::new(),
                end: AnswerEnd::Done(Bytes::from_static(b"sig")),
                state: TransactionState::Idle,
                position: Some(received),
                report: matches!(command, BackendCommand::Report).then_some(report),
            });
            self.gate.event(GateEvent::ConnectionAnswered { connection, answer });
        }
    }
}

/// Two nodes of the cut-off data centre do not answer. Nodes of the other data centres took this for
/// a cut of their own, because they had no requests for nodes elsewhere, and left the rotation
/// during the failover.
#[test]
fn a_node_that_reaches_the_store_is_not_cut_off() {
    let mut nodes: Vec<_> =
        (1..3).map(|index| NodeEntry::new(NodeRole::Owner, index, "west", 250)).collect();
    nodes.push(NodeEntry::new(NodeRole::Owner, 3, "north", 250));
    nodes[2].record.peer_address = None;
    let gate = SingleGate::start("east", 250, nodes.iter().map(NodeEntry::stored).collect());
    let mut databases =
        AnsweringDatabases { gate, connections: FastMap::default(), silent: None, ready: false };
    databases.gate.event(GateEvent::DatabasesListed(vec![
        listed("a", "west", DatabaseRole::Primary),
        listed("b", "north", DatabaseRole::Replica),
    ]));
    databases.run(millis(3_000));
    assert!(databases.ready);
    databases.silent = Some("a".into());
    let cut = databases.gate.now;
    let mut number = 0;
    while databases.gate.now < cut + millis(1_400) {
        number += 1;
        databases.gate.read(number, LATEST);
        databases.execute_actions();
        databases.run(TIMER_INTERVAL);
        assert!(databases.ready, "not ready {} after the cut", databases.gate.now - cut);
    }
}

/// A store outage for all nodes. Those that only forward left the rotation although the owners
/// served their requests, and closed the sessions of their clients.
#[test]
fn a_node_whose_owners_answer_is_ready_without_the_store() {
    let nodes = (1..30).map(|index| NodeEntry::new(NodeRole::Owner, index, "east", 500).stored());
    let mut gate = SingleGate::start("east", 120, nodes.collect());
    let mut ready = false;
    let mut connections: FastMap<ConnectionId, Name> = FastMap::default();
    let contact_lost = millis(1_000);
    for number in 1..250 {
        if gate.now < contact_lost {
            gate.event(GateEvent::StoreContactRenewed { sent: gate.now });
        }
        gate.read(number, LATEST);
        for action in std::mem::take(&mut gate.actions) {
            match action {
                GateAction::OpenConnection { connection, database, .. } => {
                    connections.insert(connection, database);
                    gate.event(GateEvent::ConnectionOpened { connection, position: None });
                }
                GateAction::Send { connection, .. } => {
                    let answer = Box::new(BackendAnswer {
                        rows: Vec::new(),
                        end: AnswerEnd::Done(Bytes::from_static(b"sig")),
                        state: TransactionState::Idle,
                        position: None,
                        report: None,
                    });
                    gate.event(GateEvent::ConnectionAnswered { connection, answer });
                }
                GateAction::SetReady(reported) => ready = reported,
                _ => {}
            }
        }
        gate.run(TIMER_INTERVAL);
        let settled = gate.now > millis(200);
        assert!(!settled || ready, "not ready at {}", gate.now);
    }
}

/// No node of any data centre is ready, so the balancer uses all. Each new session was closed before
/// its first request, without an answer.
#[test]
fn sessions_that_open_at_a_node_out_of_rotation_are_kept() {
    let mut simulation = Simulation::start(3);
    let old = simulation.open(0, LATEST);
    simulation.store_cut.insert(0);
    for database in ["a", "b", "c"] {
        simulation.cut(0, database);
    }
    let cut = simulation.now;
    while simulation.now < cut + millis(5_000) {
        let session = simulation.open(0, LATEST);
        simulation.send_request(0, session, &format!("r{}", simulation.now.0), "READ 1");
        simulation.run(TIMER_INTERVAL);
    }
    assert!(!simulation.ready[0]);
    assert!(simulation.closed.contains(&old), "its client should move to another node");
    let new = simulation.open(0, LATEST);
    simulation.run(millis(1_000));
    assert!(!simulation.closed.contains(&new));
}
