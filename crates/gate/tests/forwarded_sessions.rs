//! Sessions of other nodes: the connection between two nodes carries many client sessions in turn.
//!
//! Load pattern: interactive requests in sessions with values, and short transactions, in a large
//! deployment in which nearly every request is forwarded.

#![allow(clippy::unwrap_used)]

mod support;

use bytes::Bytes;
use gate::{
    AnswerEnd, BackendAnswer, BackendCommand, ClientReply, ClientRequest, ConnectionId, ErrorCode,
    GateAction, GateEvent, NodeRole, PEER_PROTOCOL, SessionId, SessionOrigin, Statement,
    TransactionState,
};
use model::{Micros, Name};
use support::single_gate::{NodeEntry, SingleGate};
use support::{BOUNDED, LATEST, Simulation, accounts_table, route_table};

/// Starts a node that owns no connections, among owners that speak a version of the protocol
/// between nodes.
fn forwarding_gate(protocol: u32) -> SingleGate {
    let nodes = (1..30).map(|index| {
        let mut node = NodeEntry::new(NodeRole::Owner, index, "east", 500);
        node.record.peer_protocol = protocol;
        node.stored()
    });
    SingleGate::start("east", 120, nodes.collect())
}

fn request(gate: &mut SingleGate, session: u64, id: &str, text: &str, statement: Statement) {
    let request = ClientRequest {
        id: id.into(),
        text: text.into(),
        statement,
        required_position: None,
        caller: None,
    };
    gate.event(GateEvent::RequestArrived { session: SessionId(session), request });
}

fn set(gate: &mut SingleGate, session: u64, value: &str) {
    let statement = Statement::Set { name: "tenant".into(), value: value.into() };
    request(gate, session, "set", "SET tenant", statement);
}

fn answer(gate: &mut SingleGate, connection: ConnectionId, end: AnswerEnd) {
    let answer = BackendAnswer {
        rows: Vec::new(),
        end,
        state: TransactionState::Idle,
        position: None,
        report: None,
    };
    gate.event(GateEvent::ConnectionAnswered { connection, answer: Box::new(answer) });
}

fn done() -> AnswerEnd {
    AnswerEnd::Done(Bytes::from_static(b"sig"))
}

/// Removes the actions and returns the commands that were sent.
fn sent(gate: &mut SingleGate) -> Vec<BackendCommand> {
    let actions = std::mem::take(&mut gate.actions).into_iter();
    let sent = actions.filter_map(|action| match action {
        GateAction::Send { commands, .. } => Some(commands),
        _ => None,
    });
    sent.flatten().collect()
}

/// Forwards a read of a session with a value and returns the connection after its answer.
fn serve_session_with_value(gate: &mut SingleGate) -> ConnectionId {
    gate.read(1, BOUNDED);
    let (connection, _) = gate.take_opened().remove(0);
    gate.event(GateEvent::ConnectionOpened { connection, position: None });
    answer(gate, connection, done());
    set(gate, 1, "x");
    request(gate, 1, "r", "READ 1", Statement::Read);
    assert_eq!(sent(gate).len(), 3, "the first read, the value, and the second read");
    answer(gate, connection, done());
    answer(gate, connection, done());
    connection
}

/// Each session with values closed its connection to the owner, so the next request waited for a
/// new one: two round trips for nearly every second request of a large deployment.
#[test]
fn a_connection_to_an_owner_is_reset_for_the_next_session() {
    let mut gate = forwarding_gate(PEER_PROTOCOL);
    serve_session_with_value(&mut gate);
    gate.actions.clear();
    gate.read(2, BOUNDED);
    assert!(gate.actions.iter().all(|action| !matches!(action, GateAction::OpenConnection { .. })));
    let commands = sent(&mut gate);
    assert_eq!(commands[0], BackendCommand::Reset);
    assert!(matches!(commands[1], BackendCommand::Run { .. }), "{commands:?}");
}

/// During a roll-out, an owner of the former version does not know the reset.
#[test]
fn a_connection_to_an_owner_without_a_reset_is_closed() {
    let mut gate = forwarding_gate(0);
    let connection = serve_session_with_value(&mut gate);
    let closed = GateAction::CloseConnection { connection };
    assert!(gate.actions.contains(&closed));
}

#[test]
fn a_reset_clears_the_values_and_statements_of_a_forwarded_session() {
    let mut simulation = Simulation::start(2);
    let session = simulation.open_as(0, BOUNDED, SessionOrigin::Peer);
    let send = |simulation: &mut Simulation, id: &str, statement| {
        let text = Name::from("-");
        let request =
            ClientRequest { id: id.into(), text, statement, required_position: None, caller: None };
        simulation.event(0, GateEvent::RequestArrived { session, request });
    };
    let prepare = Statement::Prepare {
        name: "p1".into(),
        access: gate::StatementAccess::Read,
        shape: "q".into(),
    };
    send(&mut simulation, "-", prepare);
    send(&mut simulation, "-", Statement::Reset);
    assert_eq!(simulation.outcome(session), "served");
    send(&mut simulation, "e", Statement::Execute { name: "p1".into(), arguments: "1".into() });
    assert_eq!(simulation.outcome(session), "no_statement");
}

fn begin(gate: &mut SingleGate) -> ConnectionId {
    gate.event(GateEvent::SessionOpened {
        session: SessionId(1),
        database: LATEST.into(),
        key: gate::ApiKey::default(),
        origin: SessionOrigin::Client,
    });
    request(gate, 1, "b", "BEGIN", Statement::Begin { read_only: false });
    request(gate, 1, "w", "WRITE 1 x", Statement::Write);
    let (connection, _) = gate.take_opened().remove(0);
    gate.event(GateEvent::ConnectionOpened { connection, position: None });
    connection
}

fn ids(commands: &[BackendCommand]) -> Vec<&str> {
    let ids = commands.iter().filter_map(|command| match command {
        BackendCommand::Run { id, .. } => Some(&**id),
        _ => None,
    });
    ids.collect()
}

/// The first statement of a transaction waited for the answer to `BEGIN`, which costs one round
/// trip between data centres.
#[test]
fn a_transaction_and_its_first_statement_go_to_the_owner_together() {
    let mut gate = forwarding_gate(PEER_PROTOCOL);
    let connection = begin(&mut gate);
    assert_eq!(ids(&sent(&mut gate)), ["b", "w"]);
    answer(&mut gate, connection, done());
    assert!(sent(&mut gate).is_empty(), "the statement is sent once");
}

/// An owner of the former version would run the statement outside the transaction that it refused.
#[test]
fn the_first_statement_waits_for_an_owner_of_the_former_version() {
    let mut gate = forwarding_gate(0);
    let connection = begin(&mut gate);
    assert_eq!(ids(&sent(&mut gate)), ["b"]);
    answer(&mut gate, connection, done());
    assert_eq!(ids(&sent(&mut gate)), ["w"]);
}

/// The statement that follows a refused `BEGIN` of another node must not run on its own.
#[test]
fn a_statement_after_a_refused_begin_of_another_node_does_not_run() {
    let mut simulation = Simulation::start(2);
    let session = simulation.open_as(0, LATEST, SessionOrigin::Peer);
    let mut table = route_table(16);
    table.version = 2;
    table.routes.remove(LATEST);
    simulation.event(0, GateEvent::RoutesChanged(Box::new(table)));
    simulation.send_request(0, session, "b", "BEGIN");
    assert_eq!(simulation.outcome(session), "no_database");
    table = route_table(16);
    table.version = 3;
    simulation.event(0, GateEvent::RoutesChanged(Box::new(table)));
    simulation.send_request(0, session, "w", "WRITE 1 x");
    simulation.run(model::Micros::from_millis(100));
    assert!(!simulation.ran_at("a", "w"));
    assert_ne!(simulation.outcome(session), "served");
}

/// The client of a refused transaction is told that nothing ran, and the connection is used again
/// after a rollback.
#[test]
fn a_refused_transaction_is_not_run_and_keeps_the_connection() {
    let mut gate = forwarding_gate(PEER_PROTOCOL);
    let connection = begin(&mut gate);
    gate.actions.clear();
    let refused = || AnswerEnd::Failed { code: ErrorCode::Busy, text: "refused".to_string() };
    answer(&mut gate, connection, refused());
    let replies = gate.actions.iter().filter_map(|action| match action {
        GateAction::Reply { reply: ClientReply::Failed { code, .. }, .. } => Some(*code),
        _ => None,
    });
    assert_eq!(replies.collect::<Vec<_>>(), [ErrorCode::Busy]);
    gate.actions.clear();
    let failed = BackendAnswer {
        rows: Vec::new(),
        end: AnswerEnd::Failed { code: ErrorCode::Malformed, text: "failed".to_string() },
        state: TransactionState::Failed,
        position: None,
        report: None,
    };
    gate.event(GateEvent::ConnectionAnswered { connection, answer: Box::new(failed) });
    assert_eq!(sent(&mut gate), [BackendCommand::Rollback]);
}

/// Guards against a transaction that goes on because the configuration took its key away while `BEGIN`
/// and the first statement were both on their way to the owner.
#[test]
fn a_transaction_that_was_sent_before_its_key_was_taken_away_is_rolled_back() {
    let mut gate = forwarding_gate(PEER_PROTOCOL);
    let connection = begin(&mut gate);
    let table = accounts_table(2, 16, &[("k1", "one")]);
    gate.event(GateEvent::RoutesChanged(Box::new(table)));
    gate.actions.clear();
    answer(&mut gate, connection, done());
    let replies = gate.actions.iter().filter_map(|action| match action {
        GateAction::Reply { reply: ClientReply::Failed { code, .. }, .. } => Some(*code),
        _ => None,
    });
    assert_eq!(replies.collect::<Vec<_>>(), [ErrorCode::Aborted]);
    assert!(gate.actions.contains(&GateAction::CloseConnection { connection }));
}

/// Guards against a client that is told that its database has no route, because another node has an older or newer
/// configuration than the node that the client reached.
#[test]
fn an_owner_without_the_route_does_not_answer_for_this_node() {
    for statement in [Statement::Write, Statement::Read] {
        let mut gate = forwarding_gate(PEER_PROTOCOL);
        gate.read(1, LATEST);
        let (connection, owner) = gate.take_opened().remove(0);
        gate.event(GateEvent::ConnectionOpened { connection, position: None });
        answer(&mut gate, connection, done());
        request(&mut gate, 1, "w", "STATEMENT", statement);
        gate.actions.clear();
        let no_route = AnswerEnd::Failed { code: ErrorCode::NoDatabase, text: "no route".into() };
        answer(&mut gate, connection, no_route);
        let replies =
            gate.actions.iter().filter(|action| matches!(action, GateAction::Reply { .. }));
        assert_eq!(replies.count(), 0, "the request did not run, so another owner can serve it");
        let (connection, other) = gate.take_opened().remove(0);
        assert_ne!(other, owner);
        gate.event(GateEvent::ConnectionOpened { connection, position: None });
        assert!(matches!(sent(&mut gate)[..], [.., BackendCommand::Run { .. }]));
    }
}

/// An owner with a newer configuration does not know the key any more. Guards against a request that
/// goes on to an owner with an older one, or ends as "busy", which clients retry.
#[test]
fn an_unknown_key_at_an_owner_ends_the_request() {
    for begins in [false, true] {
        let mut gate = forwarding_gate(PEER_PROTOCOL);
        let mut table = route_table(46);
        let account =
            account::AccountConfig { name: "one".into(), keys: vec!["k1".into()], limit: None };
        let directory = account::AccountDirectory::new(vec![account]).unwrap();
        (table.version, table.accounts) = (2, Some(std::sync::Arc::new(directory)));
        gate.event(GateEvent::RoutesChanged(Box::new(table)));
        let (session, origin) = (SessionId(1), SessionOrigin::Client);
        let (database, key) = (LATEST.into(), "k1".into());
        gate.event(GateEvent::SessionOpened { session, database, key, origin });
        if begins {
            request(&mut gate, 1, "b", "BEGIN", Statement::Begin { read_only: false });
        }
        request(&mut gate, 1, "r", "READ 1", Statement::Read);
        let (connection, owner) = gate.take_opened().remove(0);
        gate.event(GateEvent::ConnectionOpened { connection, position: None });
        let commands = sent(&mut gate);
        let [BackendCommand::Run { caller: Some(caller), .. }, ..] = &commands[..] else {
            panic!("{commands:?}")
        };
        assert_eq!((caller.version, caller.account.as_deref()), (2, Some("one")));
        let end = AnswerEnd::Failed { code: ErrorCode::NotAuthorized, text: String::new() };
        answer(&mut gate, connection, end);
        let refused = gate.actions.iter().any(|action| {
            let code = ErrorCode::NotAuthorized;
            matches!(action, GateAction::Reply { reply: ClientReply::Failed { code: replied, .. }, .. } if *replied == code)
        });
        assert!(refused, "{:?}", gate.actions);
        gate.run(Micros::from_millis(400));
        // The owner may be probed, as it has not answered the statement after the BEGIN.
        assert!(gate.take_opened().iter().all(|(_, opened)| *opened == owner));
    }
}
