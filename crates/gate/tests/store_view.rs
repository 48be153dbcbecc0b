//! What the log says of a node's view of the store.

mod support;

use gate::{GateAction, GateEvent, LogValue, SessionId, SessionOrigin};
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

/// Guards against a refusal from which the log does not tell whether the configuration was outdated:
/// a node that has lost its watch looked like one whose store was quiet.
#[test]
fn a_refused_session_is_logged_with_the_age_of_the_view() {
    let mut gate = SingleGate::start("east", 250, Vec::new());
    let known_at = gate.now;
    gate.event(GateEvent::StoreFollowed { revision: 17, known_at });
    gate.run(Micros::from_millis(3_200));
    let (database, origin) = ("nowhere".into(), SessionOrigin::Client);
    gate.event(GateEvent::SessionOpened { session: SessionId(1), database, origin });
    let field = |name| logged_field(&gate, "session_refused", name);
    assert_eq!(field("code"), Some(LogValue::Fixed("no_database")));
    assert_eq!(field("version"), Some(LogValue::Number(1)));
    assert_eq!(field("revision"), Some(LogValue::Number(17)));
    assert_eq!(field("store_age_ms"), Some(LogValue::Number(3_200)));
    assert_eq!(gate.gate.dump()["store"]["revision"], 17);
}
