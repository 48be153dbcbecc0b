//! Tests of the extended protocol over shared connections. A client must receive what a direct
//! connection would answer, whichever connection executes its request.

#![allow(clippy::unwrap_used)]

use bytes::{BufMut, Bytes, BytesMut};
use pg::{ConnectionStatements, Frame, FrameSplitter, StatementLimits, StatementTable, kind};

fn frames(bytes: &[u8]) -> Vec<Frame> {
    let mut buffer = BytesMut::from(bytes);
    let mut frames = Vec::new();
    while let Some(frame) = FrameSplitter::new(1 << 20).split(&mut buffer).unwrap() {
        frames.push(frame);
    }
    assert!(buffer.is_empty());
    frames
}

fn message(kind: u8, body: &[u8]) -> Frame {
    let mut bytes = BytesMut::new();
    bytes.put_u8(kind);
    bytes.put_u32(body.len() as u32 + 4);
    bytes.put_slice(body);
    Frame { kind, bytes: bytes.freeze() }
}

fn parse(name: &str, query: &str) -> Frame {
    message(kind::PARSE, format!("{name}\0{query}\0\0\0").as_bytes())
}

fn bind(name: &str) -> Frame {
    message(kind::BIND, format!("\0{name}\0\0\0\0\0\0\0").as_bytes())
}

fn close(name: &str) -> Frame {
    message(kind::CLOSE, format!("S{name}\0").as_bytes())
}

fn execute() -> Frame {
    message(kind::EXECUTE, b"\0\0\0\0\0")
}

/// Fake connection to a backend server that tracks only statement names. It returns the answers that
/// are relayed to the client.
struct FakeBackend {
    statements: ConnectionStatements,
    names: Vec<(String, String)>,
    executed: Vec<String>,
}

impl FakeBackend {
    fn new(limit: usize) -> Self {
        let statements = ConnectionStatements::new(limit);
        FakeBackend { statements, names: Vec::new(), executed: Vec::new() }
    }

    fn exchange(&mut self, sent: Bytes) -> Vec<u8> {
        let mut answers = Vec::new();
        let mut portal = None;
        for frame in frames(&self.statements.rewrite(sent)) {
            let answer = match frame.kind {
                kind::PARSE => {
                    let body = pg::read_parse(frame.body()).unwrap();
                    let known = self.names.iter().any(|(name, _)| name == body.name);
                    if known && !body.name.is_empty() {
                        kind::ERROR
                    } else {
                        self.names.retain(|(name, _)| name != body.name);
                        self.names.push((body.name.to_owned(), body.query.to_owned()));
                        kind::PARSE_COMPLETE
                    }
                }
                kind::BIND => {
                    let body = pg::read_bind(frame.body()).unwrap();
                    portal = self.names.iter().find(|(name, _)| name == body.statement).cloned();
                    if portal.is_some() { kind::BIND_COMPLETE } else { kind::ERROR }
                }
                kind::CLOSE => {
                    let (_, name) = pg::read_target(frame.body()).unwrap();
                    self.names.retain(|(known, _)| known != name);
                    kind::CLOSE_COMPLETE
                }
                kind::EXECUTE => {
                    self.executed.push(portal.clone().unwrap().1);
                    kind::COMMAND_COMPLETE
                }
                _ => continue,
            };
            if self.statements.record_answer(answer) {
                answers.push(answer);
            }
            if answer == kind::ERROR {
                break;
            }
        }
        answers
    }
}

fn request(table: &mut StatementTable, backend: &mut FakeBackend, messages: &[Frame]) -> String {
    let sent = table.rewrite(messages).unwrap().frames;
    let answers = backend.exchange(sent);
    answers.iter().for_each(|answer| table.record_answer(*answer));
    String::from_utf8(answers).unwrap()
}

#[test]
fn statement_can_be_used_on_another_connection() {
    let mut table = StatementTable::default();
    let (mut first, mut second) = (FakeBackend::new(256), FakeBackend::new(256));
    assert_eq!(request(&mut table, &mut first, &[parse("a", "SELECT 1")]), "1");
    assert_eq!(request(&mut table, &mut second, &[bind("a"), execute()]), "2C");
    assert_eq!(request(&mut table, &mut second, &[bind("a"), execute()]), "2C");
    assert_eq!(second.executed, ["SELECT 1", "SELECT 1"]);
    assert_eq!(second.names.len(), 1);
}

#[test]
fn unnamed_statement_is_not_replaced_by_other_sessions() {
    let (mut one, mut other) = (StatementTable::default(), StatementTable::default());
    let mut backend = FakeBackend::new(256);
    assert_eq!(request(&mut one, &mut backend, &[parse("", "SELECT 1")]), "1");
    assert_eq!(request(&mut other, &mut backend, &[parse("", "SELECT 2")]), "1");
    assert_eq!(request(&mut one, &mut backend, &[bind(""), execute()]), "2C");
    assert_eq!(backend.executed, ["SELECT 1"]);
    one.remove_unnamed();
    assert_eq!(one.len(), 0);
}

#[test]
fn same_name_in_two_sessions_keeps_both_texts() {
    let (mut one, mut other) = (StatementTable::default(), StatementTable::default());
    let mut backend = FakeBackend::new(256);
    assert_eq!(request(&mut one, &mut backend, &[parse("s", "SELECT 1")]), "1");
    assert_eq!(request(&mut other, &mut backend, &[parse("s", "SELECT 2")]), "1");
    assert_eq!(request(&mut one, &mut backend, &[bind("s"), execute()]), "2C");
    assert_eq!(request(&mut other, &mut backend, &[bind("s"), execute()]), "2C");
    assert_eq!(backend.executed, ["SELECT 1", "SELECT 2"]);
}

#[test]
fn second_parse_of_a_name_fails_as_on_a_direct_connection() {
    let mut table = StatementTable::default();
    let mut backend = FakeBackend::new(256);
    assert_eq!(request(&mut table, &mut backend, &[parse("s", "SELECT 1")]), "1");
    let messages = [parse("s", "SELECT 2"), bind("s"), execute()];
    assert_eq!(request(&mut table, &mut backend, &messages), "E");
    // The next request closes the name that was left on the connection to provoke the error.
    assert_eq!(request(&mut table, &mut backend, &[bind("s"), execute()]), "2C");
    assert_eq!(backend.executed, ["SELECT 1"]);
    assert!(backend.names.iter().all(|(name, _)| name != "s"));
}

#[test]
fn close_removes_the_statement_from_its_session_only() {
    let (mut one, mut other) = (StatementTable::default(), StatementTable::default());
    let mut backend = FakeBackend::new(256);
    for table in [&mut one, &mut other] {
        assert_eq!(request(table, &mut backend, &[parse("s", "SELECT 1")]), "1");
    }
    assert_eq!(request(&mut one, &mut backend, &[close("s")]), "3");
    assert_eq!(request(&mut one, &mut backend, &[bind("s")]), "E");
    assert_eq!(request(&mut other, &mut backend, &[bind("s"), execute()]), "2C");
    assert_eq!(request(&mut one, &mut backend, &[parse("s", "SELECT 3"), bind("s")]), "12");
}

#[test]
fn failed_parse_leaves_no_statement() {
    let mut table = StatementTable::default();
    let sent = table.rewrite(&[parse("s", "SELEC"), parse("t", "SELECT 1")]).unwrap();
    assert_eq!(sent.text, "SELEC;\nSELECT 1");
    table.record_answer(kind::ERROR);
    table.record_answer(kind::PARSE_COMPLETE);
    assert_eq!(table.len(), 0);
}

#[test]
fn number_of_names_on_a_connection_is_bounded() {
    let mut table = StatementTable::default();
    let mut backend = FakeBackend::new(4);
    for index in 0..20 {
        let name = format!("s{index}");
        let messages = [parse(&name, &format!("SELECT {index}"))];
        assert_eq!(request(&mut table, &mut backend, &messages), "1");
        assert_eq!(request(&mut table, &mut backend, &[bind("s0"), execute()]), "2C");
        assert!(backend.names.len() <= 4, "{:?}", backend.names);
        assert_eq!(backend.names.len(), backend.statements.len());
    }
    assert!(backend.executed.iter().all(|text| text == "SELECT 0"));
}

#[test]
fn number_of_statements_in_a_session_is_bounded() {
    let mut table = StatementTable::new(StatementLimits { statements: 2, bytes: 1 << 20 });
    let mut backend = FakeBackend::new(256);
    for name in ["a", "b"] {
        assert_eq!(request(&mut table, &mut backend, &[parse(name, "SELECT 1")]), "1");
    }
    let error = table.rewrite(&[parse("c", "SELECT 1")]).unwrap_err();
    assert_eq!(error.code(), "54000");
    assert_eq!(request(&mut table, &mut backend, &[close("a"), parse("a", "SELECT 1")]), "31");
}

#[test]
fn shared_names_cannot_be_used_by_clients() {
    let (mut one, mut other) = (StatementTable::default(), StatementTable::default());
    let mut backend = FakeBackend::new(256);
    assert_eq!(request(&mut one, &mut backend, &[parse("s", "SELECT 1")]), "1");
    let shared = backend.names[0].0.clone();
    assert_eq!(request(&mut other, &mut backend, &[bind(&shared)]), "E");
}

#[test]
fn missing_unnamed_statement_does_not_resolve_to_another_session() {
    let (mut one, mut other) = (StatementTable::default(), StatementTable::default());
    let mut backend = FakeBackend::new(256);
    assert_eq!(request(&mut one, &mut backend, &[parse("", "SELECT 1")]), "1");
    assert_eq!(request(&mut other, &mut backend, &[bind(""), execute()]), "E");
    assert_eq!(request(&mut other, &mut backend, &[parse("s", "SELECT 2"), bind("")]), "1E");
    assert!(backend.executed.is_empty());
    // An empty text would make the request be answered as an empty query.
    assert_eq!(other.rewrite(&[bind("missing")]).unwrap().text, "SELECT");
}
