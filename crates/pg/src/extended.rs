//! Prepared statements over shared connections.
//!
//! Statement names are private to a client's session, but connections to backend servers are shared.
//! The session maps the client's names to statement texts ([`StatementTable`]) and refers to each text
//! by a shared name, which is derived from a hash of the text. The connection
//! ([`ConnectionStatements`]) tracks which shared names it has prepared.
//!
//! Session and connection exchange ordinary protocol messages, so that these pass through queues and
//! peers unchanged. The connection tells the cases of `Parse` and `Close` apart by their order and
//! names:
//!
//! - `Close(S, shared)` directly before `Parse(shared)`: the client's own `Parse`. Both are sent
//!   and the `CloseComplete` is not relayed. The backend server parses again, so the client sees
//!   its errors.
//! - `Parse(shared)` without that `Close`: added by the session. It is dropped if the connection
//!   has the statement, otherwise sent, and its `ParseComplete` is not relayed.
//! - `Parse(name, "")` with a name that is not shared: the client parses a name that it already uses.
//!   The answer to this `Parse` is not relayed. It makes the client's own `Parse`, which follows, fail
//!   as it would on a direct connection.
//! - `Close(S, cicadawick_none)`: the client closes a name of its own, which the connection does
//!   not know.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use sha2::{Digest, Sha256};

use crate::frame::{Frame, FrameSplitter};
use crate::kind;
use crate::message::{put_close, put_parse, put_sync};
use crate::read::{BodyError, read_bind, read_parse, read_target};

/// Prefix of the shared names, which are derived from a statement's text.
pub const STATEMENT_PREFIX: &str = "cicadawick_";

/// Name of a statement that no connection has.
const MISSING_STATEMENT: &str = "cicadawick_none";

/// Text of a request that refers only to statements that the session does not have. The request is sent
/// to a backend server, which reports the error and fails the client's transaction.
const MISSING_STATEMENT_TEXT: &str = "SELECT";

/// Limits on the prepared statements of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementLimits {
    pub statements: usize,
    /// Total size of names, texts and types.
    pub bytes: usize,
}

impl Default for StatementLimits {
    fn default() -> Self {
        StatementLimits { statements: 256, bytes: 1 << 20 }
    }
}

/// Error for messages of the extended protocol that cannot be turned into a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExtendedError {
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error("invalid frontend message type {kind}")]
    InvalidKind { kind: u8 },
    #[error("session exceeds {limit} prepared statements or {bytes} bytes of statement data")]
    TooMany { limit: usize, bytes: usize },
}

impl ExtendedError {
    /// Returns the SQLSTATE that reports the error to a client.
    pub fn code(&self) -> &'static str {
        match self {
            ExtendedError::Body(_) | ExtendedError::InvalidKind { .. } => "08P01",
            ExtendedError::TooMany { .. } => "54000",
        }
    }
}

/// A rewritten request for the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExtendedRequest {
    /// Texts of the statements that the messages parse, bind or describe, separated by `;` and a
    /// newline.
    pub text: String,
    /// The rewritten messages with a final `Sync`.
    pub frames: Bytes,
}

#[derive(Debug, PartialEq, Eq)]
struct StatementText {
    shared_name: String,
    query: Box<str>,
    types: Box<[u8]>,
}

impl StatementText {
    fn new(query: &str, types: &[u8]) -> Self {
        // The hash is cryptographic: if two texts had one name, a session could run another's
        // statement.
        let digest = Sha256::new().chain_update(types).chain_update(query).finalize();
        let mut shared_name = String::with_capacity(STATEMENT_PREFIX.len() + 32);
        shared_name.push_str(STATEMENT_PREFIX);
        for byte in &digest[..16] {
            shared_name.push_str(&format!("{byte:02x}"));
        }
        StatementText { shared_name, query: query.into(), types: types.into() }
    }

    fn bytes(&self, name: &str) -> usize {
        name.len() + self.shared_name.len() + self.query.len() + self.types.len()
    }
}

/// A change of the table that takes effect when its completion message arrives.
#[derive(Debug)]
enum PendingChange {
    Parsed(Box<str>, Arc<StatementText>),
    Closed(Box<str>),
    /// The completion changes nothing in the table.
    Unchanged,
}

/// The prepared statements of a client's session.
///
/// ```
/// let mut buffer = bytes::BytesMut::new();
/// pg::put_parse(&mut buffer, "balance", "SELECT 1", &[]);
/// let splitter = pg::FrameSplitter::new(1024);
/// let frame = splitter.split(&mut buffer)?.expect("a complete frame");
/// let mut table = pg::StatementTable::default();
/// let request = table.rewrite(&[frame])?;
/// assert_eq!(request.text, "SELECT 1");
/// table.record_answer(pg::kind::PARSE_COMPLETE);
/// assert_eq!(table.len(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Default)]
pub struct StatementTable {
    limits: StatementLimits,
    statements: Vec<(Box<str>, Arc<StatementText>)>,
    bytes: usize,
    pending: VecDeque<PendingChange>,
}

impl StatementTable {
    /// Creates an empty table.
    pub fn new(limits: StatementLimits) -> Self {
        StatementTable { limits, ..StatementTable::default() }
    }

    /// Returns the number of statements, the unnamed one included.
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    /// Returns whether there are no statements.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Returns the total size of names, texts and types in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes the unnamed statement, which a simple query destroys.
    pub fn remove_unnamed(&mut self) {
        self.remove("");
        self.pending.clear();
    }

    /// Rewrites the messages of one request, given without its `Sync`.
    ///
    /// # Errors
    ///
    /// Fails on a malformed message, one that does not belong to the extended protocol, or when the
    /// table would exceed its limits.
    pub fn rewrite(&mut self, messages: &[Frame]) -> Result<ExtendedRequest, ExtendedError> {
        self.pending.clear();
        let mut rewriter = RequestRewriter {
            table: self,
            overlay: Vec::new(),
            texts: Vec::new(),
            parsed: Vec::new(),
            prelude: BytesMut::new(),
            frames: BytesMut::new(),
            pending: VecDeque::new(),
            has_missing: false,
        };
        for message in messages {
            rewriter.rewrite_message(message)?;
        }
        let RequestRewriter {
            overlay,
            texts,
            prelude: mut frames,
            frames: rest,
            pending,
            has_missing,
            ..
        } = rewriter;
        let mut after_request: BTreeMap<&str, &StatementText> =
            self.statements.iter().map(|(name, text)| (&**name, &**text)).collect();
        for (name, text) in &overlay {
            match text {
                Some(text) => after_request.insert(name, text),
                None => after_request.remove(&**name),
            };
        }
        let bytes: usize = after_request.iter().map(|(name, text)| text.bytes(name)).sum();
        if after_request.len() > self.limits.statements || bytes > self.limits.bytes {
            let StatementLimits { statements: limit, bytes } = self.limits;
            return Err(ExtendedError::TooMany { limit, bytes });
        }
        self.pending = pending;
        frames.unsplit(rest);
        put_sync(&mut frames);
        let texts: Vec<&str> = texts.iter().map(|text| &*text.query).collect();
        let text = match has_missing && texts.is_empty() {
            true => MISSING_STATEMENT_TEXT.to_owned(),
            false => texts.join(";\n"),
        };
        Ok(ExtendedRequest { text, frames: frames.freeze() })
    }

    /// Records the type of a message that was relayed to the client.
    pub fn record_answer(&mut self, answer_kind: u8) {
        match answer_kind {
            kind::PARSE_COMPLETE | kind::CLOSE_COMPLETE => match self.pending.pop_front() {
                Some(PendingChange::Parsed(name, text)) => {
                    self.remove(&name);
                    self.bytes += text.bytes(&name);
                    self.statements.push((name, text));
                }
                Some(PendingChange::Closed(name)) => self.remove(&name),
                Some(PendingChange::Unchanged) | None => {}
            },
            // After an error the backend server skips all messages up to the Sync.
            kind::ERROR => self.pending.clear(),
            _ => {}
        }
    }

    fn get(&self, name: &str) -> Option<&Arc<StatementText>> {
        self.statements.iter().find(|(known, _)| &**known == name).map(|(_, text)| text)
    }

    fn remove(&mut self, name: &str) {
        if let Some(at) = self.statements.iter().position(|(known, _)| &**known == name) {
            let (name, text) = self.statements.swap_remove(at);
            self.bytes -= text.bytes(&name);
            if self.statements.is_empty() {
                self.statements = Vec::new();
            }
        }
    }
}

struct RequestRewriter<'a> {
    table: &'a StatementTable,
    /// Names that the request itself parses (`Some`) or closes (`None`).
    overlay: Vec<(Box<str>, Option<Arc<StatementText>>)>,
    texts: Vec<Arc<StatementText>>,
    /// Statements that are prepared at this point of the request; `None` is the unnamed statement.
    parsed: Vec<Option<Arc<StatementText>>>,
    /// `Parse` messages that the session adds before the client's messages.
    prelude: BytesMut,
    frames: BytesMut,
    pending: VecDeque<PendingChange>,
    /// The request refers to a statement that the session does not have.
    has_missing: bool,
}

impl RequestRewriter<'_> {
    fn rewrite_message(&mut self, message: &Frame) -> Result<(), ExtendedError> {
        match message.kind {
            kind::PARSE => self.rewrite_parse(message),
            kind::BIND => {
                let bind = read_bind(message.body())?;
                let name = self.backend_name(bind.statement);
                let length = 4 + bind.portal.len() + 1 + name.len() + 1 + bind.rest.len();
                self.frames.reserve(length + 1);
                self.frames.put_u8(kind::BIND);
                self.frames.put_i32(length as i32);
                for text in [bind.portal, &name] {
                    self.frames.put_slice(text.as_bytes());
                    self.frames.put_u8(0);
                }
                self.frames.put_slice(bind.rest);
                Ok(())
            }
            kind::DESCRIBE => {
                let (target, name) = read_target(message.body())?;
                if target == b'P' {
                    self.frames.put_slice(&message.bytes);
                    return Ok(());
                }
                let name = self.backend_name(name);
                self.frames.put_u8(kind::DESCRIBE);
                self.frames.put_i32((4 + 1 + name.len() + 1) as i32);
                self.frames.put_u8(target);
                self.frames.put_slice(name.as_bytes());
                self.frames.put_u8(0);
                Ok(())
            }
            kind::CLOSE => {
                let (target, name) = read_target(message.body())?;
                if target == b'P' {
                    self.frames.put_slice(&message.bytes);
                    self.pending.push_back(PendingChange::Unchanged);
                    return Ok(());
                }
                let sent = if name.is_empty() { "" } else { MISSING_STATEMENT };
                put_close(&mut self.frames, b'S', sent);
                self.overlay.push((name.into(), None));
                self.pending.push_back(PendingChange::Closed(name.into()));
                Ok(())
            }
            kind::EXECUTE => {
                self.frames.put_slice(&message.bytes);
                Ok(())
            }
            // The daemon splits requests at Flush where it must. The others are ignored outside COPY.
            kind::FLUSH | kind::SYNC | kind::COPY_DATA | kind::COPY_DONE | kind::COPY_FAIL => {
                Ok(())
            }
            kind => Err(ExtendedError::InvalidKind { kind }),
        }
    }

    fn rewrite_parse(&mut self, message: &Frame) -> Result<(), ExtendedError> {
        let body = read_parse(message.body())?;
        let text = Arc::new(StatementText::new(body.query, body.types));
        self.texts.push(text.clone());
        if body.name.is_empty() {
            self.frames.put_slice(&message.bytes);
            self.parsed.retain(|parsed| parsed.is_some());
            self.parsed.push(None);
        } else if self.lookup(body.name).is_some() {
            let name = avoid_shared_name(body.name);
            put_parse(&mut self.frames, &name, "", &[]);
            put_parse(&mut self.frames, &name, body.query, body.types);
            self.pending.push_back(PendingChange::Unchanged);
            return Ok(());
        } else {
            put_close(&mut self.frames, b'S', &text.shared_name);
            put_parse(&mut self.frames, &text.shared_name, body.query, body.types);
            self.parsed.push(Some(text.clone()));
        }
        self.overlay.push((body.name.into(), Some(text.clone())));
        self.pending.push_back(PendingChange::Parsed(body.name.into(), text));
        Ok(())
    }

    fn lookup(&self, name: &str) -> Option<Arc<StatementText>> {
        match self.overlay.iter().rev().find(|(known, _)| &**known == name) {
            Some((_, text)) => text.clone(),
            None => self.table.get(name).cloned(),
        }
    }

    /// Returns the name by which the backend server knows the statement, and prepares it if necessary.
    fn backend_name(&mut self, name: &str) -> String {
        if name.is_empty() && self.parsed.iter().any(Option::is_none) {
            return String::new();
        }
        let Some(text) = self.lookup(name) else {
            self.has_missing = true;
            // The unnamed statement of the connection may belong to another session.
            return if name.is_empty() {
                MISSING_STATEMENT.to_owned()
            } else {
                avoid_shared_name(name)
            };
        };
        if !self.parsed.iter().flatten().any(|parsed| parsed.shared_name == text.shared_name) {
            put_parse(&mut self.prelude, &text.shared_name, &text.query, &text.types);
            self.parsed.push(Some(text.clone()));
            self.texts.push(text.clone());
        }
        text.shared_name.clone()
    }
}

/// Prefixes a client's statement name that would collide with a shared name.
fn avoid_shared_name(name: &str) -> String {
    if name.starts_with(STATEMENT_PREFIX) { format!("_{name}") } else { name.to_owned() }
}

/// Meaning of a `ParseComplete` or `CloseComplete` that is still to come.
#[derive(Debug)]
enum ExpectedCompletion {
    Parse { relay: bool, name: Option<String> },
    Close { relay: bool, name: Option<String> },
}

/// The prepared statements of one connection to a backend server.
///
/// ```
/// let mut buffer = bytes::BytesMut::new();
/// pg::put_parse(&mut buffer, "cicadawick_1", "SELECT 1", &[]);
/// let frames = buffer.freeze();
/// let mut statements = pg::ConnectionStatements::new(256);
/// assert_eq!(statements.rewrite(frames.clone()), frames);
/// assert!(!statements.record_answer(pg::kind::PARSE_COMPLETE));
/// // The connection already has the statement, so the second `Parse` is dropped.
/// assert!(statements.rewrite(frames).is_empty());
/// ```
#[derive(Debug)]
pub struct ConnectionStatements {
    limit: usize,
    /// Shared names, each with the number of the request that last used it.
    prepared: Vec<(String, u64)>,
    /// Number of the current request.
    request_number: u64,
    /// Client names left on the connection by a `Parse` that was sent to provoke an error.
    stale_names: Vec<String>,
    expected: VecDeque<ExpectedCompletion>,
}

impl ConnectionStatements {
    /// Creates an empty set that keeps at most `limit` names, or more if a single request needs more.
    pub fn new(limit: usize) -> Self {
        ConnectionStatements {
            limit,
            prepared: Vec::new(),
            request_number: 0,
            stale_names: Vec::new(),
            expected: VecDeque::new(),
        }
    }

    /// Returns the number of prepared names.
    pub fn len(&self) -> usize {
        self.prepared.len()
    }

    /// Returns whether there are no prepared names.
    pub fn is_empty(&self) -> bool {
        self.prepared.is_empty()
    }

    /// Removes all names, after a statement that deallocated them on the backend server.
    pub fn clear(&mut self) {
        self.prepared.clear();
    }

    /// Turns the frames of an exchange into the frames to send to the backend server. Frames that are
    /// incomplete or do not belong to the extended protocol are returned unchanged.
    pub fn rewrite(&mut self, frames: Bytes) -> Bytes {
        self.expected.clear();
        if matches!(frames.first(), None | Some(&kind::QUERY)) {
            return frames;
        }
        self.request_number += 1;
        let splitter = FrameSplitter::new(usize::MAX);
        let mut rest = BytesMut::from(frames.clone());
        let mut messages = Vec::new();
        while let Ok(Some(frame)) = splitter.split(&mut rest) {
            messages.push(frame);
        }
        if !rest.is_empty() {
            return frames;
        }
        let mut sent = BytesMut::with_capacity(frames.len());
        for name in std::mem::take(&mut self.stale_names) {
            put_close(&mut sent, b'S', &name);
            self.expect_close(false, None);
        }
        let mut added = 0;
        let mut preceding_close = None;
        for message in &messages {
            let closed = preceding_close.take();
            match message.kind {
                kind::PARSE => {
                    if let Ok(body) = read_parse(message.body())
                        && !self.rewrite_parse(&mut sent, body.name, body.query, closed, &mut added)
                    {
                        continue;
                    }
                }
                kind::CLOSE => match read_target(message.body()) {
                    Ok((b'S', name))
                        if name.starts_with(STATEMENT_PREFIX) && name != MISSING_STATEMENT =>
                    {
                        preceding_close = Some(name.to_owned());
                        self.expect_close(false, Some(name.to_owned()));
                    }
                    _ => self.expect_close(true, None),
                },
                _ => {}
            }
            sent.put_slice(&message.bytes);
        }
        sent.freeze()
    }

    /// Records the type of a message from the backend server. Returns whether to relay it to the
    /// client.
    pub fn record_answer(&mut self, answer_kind: u8) -> bool {
        match answer_kind {
            kind::PARSE_COMPLETE | kind::CLOSE_COMPLETE => match self.expected.pop_front() {
                Some(ExpectedCompletion::Parse { relay, name }) => {
                    if let Some(name) = name {
                        self.remove(&name);
                        self.prepared.push((name, self.request_number));
                    }
                    relay
                }
                Some(ExpectedCompletion::Close { relay, name }) => {
                    if let Some(name) = name {
                        self.remove(&name);
                    }
                    relay
                }
                None => true,
            },
            kind::ERROR => {
                self.expected.clear();
                true
            }
            _ => true,
        }
    }

    /// Returns whether to send the `Parse`.
    fn rewrite_parse(
        &mut self,
        sent: &mut BytesMut,
        name: &str,
        query: &str,
        closed_name: Option<String>,
        added: &mut usize,
    ) -> bool {
        let is_client_parse = closed_name.as_deref() == Some(name);
        if !name.starts_with(STATEMENT_PREFIX) {
            let provokes_error = !name.is_empty()
                && query.is_empty()
                && !self.stale_names.iter().any(|stale| stale == name);
            if provokes_error {
                self.stale_names.push(name.to_owned());
            }
            let relay = !provokes_error;
            self.expected.push_back(ExpectedCompletion::Parse { relay, name: None });
            return true;
        }
        if !is_client_parse {
            let request_number = self.request_number;
            if let Some((_, last_use)) = self.prepared.iter_mut().find(|(known, _)| known == name) {
                *last_use = request_number;
                return false;
            }
        }
        *added += 1;
        if self.prepared.len() + *added > self.limit {
            let oldest = self.prepared.iter_mut().min_by_key(|(_, last_use)| *last_use);
            if let Some((oldest, last_use)) = oldest
                && *last_use < self.request_number
                && oldest != name
            {
                let oldest = oldest.clone();
                // Marked as used, so that the same request does not evict it again.
                *last_use = self.request_number;
                put_close(sent, b'S', &oldest);
                self.expect_close(false, Some(oldest));
                *added -= 1;
            }
        }
        let name = Some(name.to_owned());
        self.expected.push_back(ExpectedCompletion::Parse { relay: is_client_parse, name });
        true
    }

    fn expect_close(&mut self, relay: bool, name: Option<String>) {
        self.expected.push_back(ExpectedCompletion::Close { relay, name });
    }

    fn remove(&mut self, name: &str) {
        self.prepared.retain(|(known, _)| known != name);
    }
}
