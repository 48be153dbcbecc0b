//! PostgreSQL message frames that a node parses or builds.
//!
//! Answers of backend servers never pass through the node. The node builds the frames that answer
//! session commands and repeated request keys, and those of its own queries. It parses the messages of
//! a request because each of them needs an answer.

use bytes::{BufMut, Bytes, BytesMut};
use sha2::{Digest, Sha256};

use crate::request::{ClientRequest, RequestKind};

/// An answer that the proxy builds itself.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ProxyAnswer<'a> {
    Complete { tag: &'a str },
    Row { column: &'a str, value: &'a str },
    EmptyQuery,
}

/// PostgreSQL type OID of `text`.
const TEXT_TYPE_OID: u32 = 25;

/// Builds a `Query` message.
pub(crate) fn simple_query(text: &str) -> Bytes {
    let mut frames = BytesMut::new();
    put_message(&mut frames, b'Q', |body| put_text(body, text));
    frames.freeze()
}

/// Builds the messages that answer a request, without `ReadyForQuery`.
pub(crate) fn proxy_answer(request: &ClientRequest, answer: ProxyAnswer<'_>) -> Bytes {
    let mut frames = BytesMut::new();
    match request.kind {
        RequestKind::Simple => {
            if let ProxyAnswer::Row { column, .. } = answer {
                put_description(&mut frames, column);
            }
            put_result(&mut frames, answer);
        }
        RequestKind::Extended => {
            for (kind, body) in messages(&request.frames) {
                match kind {
                    b'P' => put_message(&mut frames, b'1', |_| {}),
                    b'B' => put_message(&mut frames, b'2', |_| {}),
                    b'C' => put_message(&mut frames, b'3', |_| {}),
                    b'D' => {
                        if body.first() == Some(&b'S') {
                            put_message(&mut frames, b't', |body| body.put_u16(0));
                        }
                        match answer {
                            ProxyAnswer::Row { column, .. } => put_description(&mut frames, column),
                            _ => put_message(&mut frames, b'n', |_| {}),
                        }
                    }
                    b'E' => put_result(&mut frames, answer),
                    _ => {}
                }
            }
        }
    }
    frames.freeze()
}

/// Returns whether a request executes a statement, rather than only preparing or describing it.
pub(crate) fn executes(request: &ClientRequest) -> bool {
    request.kind == RequestKind::Simple || messages(&request.frames).any(|(kind, _)| kind == b'E')
}

/// Returns a hash of the statement text and all bound values, in hexadecimal. It does not cover the
/// other messages, because the presence of a `Parse` depends on the connection.
pub(crate) fn statement_hash(request: &ClientRequest) -> String {
    let mut hash = Sha256::new();
    hash.update(request.text.as_bytes());
    if request.kind == RequestKind::Extended {
        for (_, body) in messages(&request.frames).filter(|(kind, _)| *kind == b'B') {
            hash.update((body.len() as u64).to_be_bytes());
            hash.update(body);
        }
    }
    hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Quotes a text as an SQL constant that is valid under every setting of
/// `standard_conforming_strings`.
pub(crate) fn quote_text(text: &str) -> String {
    let doubled = text.replace('\0', "").replace('\'', "''");
    match doubled.contains('\\') {
        true => format!("E'{}'", doubled.replace('\\', "\\\\")),
        false => format!("'{doubled}'"),
    }
}

/// Splits frames into message types and bodies; stops at a truncated frame.
fn messages(frames: &[u8]) -> impl Iterator<Item = (u8, &[u8])> {
    let mut rest = frames;
    std::iter::from_fn(move || {
        let (kind, after) = rest.split_first()?;
        let (length, body) = after.split_first_chunk::<4>()?;
        let length = usize::try_from(u32::from_be_bytes(*length)).ok()?.checked_sub(4)?;
        let (body, next) = body.split_at_checked(length)?;
        rest = next;
        Some((*kind, body))
    })
}

fn put_message(frames: &mut BytesMut, kind: u8, fill: impl FnOnce(&mut BytesMut)) {
    let mut body = BytesMut::new();
    fill(&mut body);
    frames.put_u8(kind);
    frames.put_u32(body.len() as u32 + 4);
    frames.extend_from_slice(&body);
}

fn put_text(body: &mut BytesMut, text: &str) {
    body.extend(text.bytes().filter(|byte| *byte != 0));
    body.put_u8(0);
}

fn put_description(frames: &mut BytesMut, column: &str) {
    put_message(frames, b'T', |body| {
        body.put_u16(1);
        put_text(body, column);
        body.put_u32(0);
        body.put_u16(0);
        body.put_u32(TEXT_TYPE_OID);
        body.put_i16(-1);
        body.put_i32(-1);
        body.put_u16(0);
    });
}

fn put_result(frames: &mut BytesMut, answer: ProxyAnswer<'_>) {
    match answer {
        ProxyAnswer::EmptyQuery => put_message(frames, b'I', |_| {}),
        ProxyAnswer::Complete { tag } => put_message(frames, b'C', |body| put_text(body, tag)),
        ProxyAnswer::Row { value, .. } => {
            put_message(frames, b'D', |body| {
                body.put_u16(1);
                body.put_u32(value.len() as u32);
                body.extend_from_slice(value.as_bytes());
            });
            put_message(frames, b'C', |body| put_text(body, "SHOW"));
        }
    }
}
