//! What a node's view of the store shows, and what the log says of it.

mod support;

use gate::{ErrorCode, GateAction, GateEvent, LogValue, SessionId, SessionOrigin};
use model::Micros;
use support::single_gate::SingleGate;

/// Returns a field of the last record of an event.
fn logged_field(gate: &SingleGate, event: &str, field: &str) -> Option<LogValue> {
    let records = gate.actions.iter().rev().filter_map(|action| match action {
        GateAction::Log(record) if record.event == event => Some(record),
        _ => None,
    });
    let fields = records.take(1).flat_map(|record| &record.fields);
    fields.into_iter().find(|(name, _)| *name == field).map(|(_, value)| value.clone())
}

/// Starts a node that knows all changes up to a revision, and opens a session without a route after
/// a time without news of the store.
fn open_without_route(time: Micros, origin: SessionOrigin) -> SingleGate {
    let mut gate = SingleGate::start("east", 250, Vec::new());
    let known_at = gate.now;
    gate.event(GateEvent::StoreFollowed { revision: 17, known_at });
    gate.run(time);
    let database = "nowhere".into();
    gate.event(GateEvent::SessionOpened {
        session: SessionId(1),
        database,
        key: gate::ApiKey::default(),
        origin,
    });
    gate
}

fn refusal_code(gate: &SingleGate) -> Option<ErrorCode> {
    gate.actions.iter().find_map(|action| match action {
        GateAction::RefuseSession { code, .. } => Some(*code),
        _ => None,
    })
}

/// Guards against a refusal from which the log does not tell whether the configuration was outdated:
/// a node that has lost its watch looked like one whose store was quiet.
#[test]
fn a_refused_session_is_logged_with_the_age_of_the_view() {
    let gate = open_without_route(Micros::from_millis(1_200), SessionOrigin::Client);
    let field = |name| logged_field(&gate, "session_refused", name);
    assert_eq!(field("code"), Some(LogValue::Fixed("no_database")));
    assert_eq!(field("version"), Some(LogValue::Number(1)));
    assert_eq!(field("revision"), Some(LogValue::Number(17)));
    assert_eq!(field("store_age_ms"), Some(LogValue::Number(1_200)));
    assert_eq!(gate.gate.dump()["store"]["revision"], 17);
}

/// Guards against a client that is told that its database has no route, by a node that the store has
/// turned away since before the route was added.
#[test]
fn a_node_without_news_of_the_store_does_not_deny_a_route() {
    let gate = open_without_route(Micros::from_millis(3_020), SessionOrigin::Client);
    assert_eq!(refusal_code(&gate), Some(ErrorCode::Busy));
    let gate = open_without_route(Micros::from_millis(2_980), SessionOrigin::Client);
    assert_eq!(refusal_code(&gate), Some(ErrorCode::NoDatabase));
    // Another node goes elsewhere with either code, and counts a busy node as overloaded.
    let gate = open_without_route(Micros::from_millis(3_020), SessionOrigin::Peer);
    assert_eq!(refusal_code(&gate), Some(ErrorCode::NoDatabase));
}
