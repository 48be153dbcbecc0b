//! Named statements over shared connections.
//!
//! A caller's statement names are its own, but connections to backend servers are shared. The session
//! keeps the caller's names ([`StatementTable`]) and refers to each text by a name derived from its
//! hash. The connection ([`ConnectionStatements`]) knows which of these names it has prepared.
//!
//! The messages between the two are ordinary protocol messages, so that they pass through queues and
//! peers unchanged. What the connection must do with a `Parse` follows from its place:
//!
//! - `Close(S, hashed)` directly before `Parse(hashed)`: the caller's own `Parse`. Both are sent, the
//!   `CloseComplete` is swallowed. The backend server parses again, so its errors are the caller's.
//! - `Parse(hashed)` without it: added by the session. Dropped if the connection has the statement,
//!   else sent, and its `ParseComplete` is swallowed.
//! - `Parse(name, "")` with a name that is not hashed: the caller parses a name that it already holds.
//!   The first one is swallowed and makes the second one, which follows, fail as it would directly.
//! - `Close(S, none)`: the caller closes a name of its own, which the connection does not know.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use sha2::{Digest, Sha256};

use crate::frame::{Frame, FrameSplitter};
use crate::kind;
use crate::message::{put_close, put_parse, put_sync};
use crate::read::{BodyError, read_bind, read_parse, read_target};

/// Prefix of the names that are derived from a statement's text.
pub const STATEMENT_PREFIX: &str = "cicadawick_";

/// Stands for a statement that no connection has.
const NO_STATEMENT: &str = "cicadawick_none";

/// Text of a request that refers only to statements that the session does not have. The request goes
/// to a backend server, which makes the error and fails the caller's transaction.
const MISSING_TEXT: &str = "SELECT";

/// Bounds of a session's statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementLimits {
    pub statements: usize,
    /// Of names, texts and types together.
    pub bytes: usize,
}

impl Default for StatementLimits {
    fn default() -> Self {
        StatementLimits { statements: 256, bytes: 1 << 20 }
    }
}

/// Extended messages that cannot become a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExtendedError {
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error("invalid frontend message type {kind}")]
    BadKind { kind: u8 },
    #[error("more than {limit} prepared statements or {bytes} bytes of them in one session")]
    TooMany { limit: usize, bytes: usize },
}

impl ExtendedError {
    /// Returns the SQLSTATE that tells a caller of the error.
    pub fn code(&self) -> &'static str {
        match self {
            ExtendedError::Body(_) | ExtendedError::BadKind { .. } => "08P01",
            ExtendedError::TooMany { .. } => "54000",
        }
    }
}

/// A request for the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExtendedRequest {
    /// Statements that the messages parse, bind or describe, separated by `;` and a line end.
    pub text: String,
    /// The rewritten messages with a final `Sync`.
    pub frames: Bytes,
}

#[derive(Debug, PartialEq, Eq)]
struct StatementText {
    hashed: String,
    query: Box<str>,
    types: Box<[u8]>,
}

impl StatementText {
    fn new(query: &str, types: &[u8]) -> Self {
        // A cryptographic hash, because two texts with one name would run each other's statements.
        let digest = Sha256::new().chain_update(types).chain_update(query).finalize();
        let mut hashed = String::with_capacity(STATEMENT_PREFIX.len() + 32);
        hashed.push_str(STATEMENT_PREFIX);
        for byte in &digest[..16] {
            hashed.push_str(&format!("{byte:02x}"));
        }
        StatementText { hashed, query: query.into(), types: types.into() }
    }

    fn bytes(&self, name: &str) -> usize {
        name.len() + self.hashed.len() + self.query.len() + self.types.len()
    }
}

/// A change of the table that takes effect with its completion message.
#[derive(Debug)]
enum PendingChange {
    Parsed(Box<str>, Arc<StatementText>),
    Closed(Box<str>),
    /// A completion that changes nothing here.
    Nothing,
}

/// The prepared statements of one caller's session.
///
/// ```
/// let mut buffer = bytes::BytesMut::new();
/// pg::put_parse(&mut buffer, "balance", "SELECT 1", &[]);
/// let splitter = pg::FrameSplitter::new(1024);
/// let frame = splitter.split(&mut buffer)?.expect("a whole frame");
/// let mut table = pg::StatementTable::default();
/// let request = table.rewrite(&[frame])?;
/// assert_eq!(request.text, "SELECT 1");
/// table.answered(pg::kind::PARSE_COMPLETE);
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

    /// Tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Returns the size of names, texts and types in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// A simple query destroys the unnamed statement.
    pub fn simple_query(&mut self) {
        self.remove("");
        self.pending.clear();
    }

    /// Rewrites the messages of one request, without its `Sync`.
    ///
    /// # Errors
    ///
    /// Fails on a malformed message, one that does not belong to the extended protocol, or when the
    /// table would exceed its limits.
    pub fn rewrite(&mut self, messages: &[Frame]) -> Result<ExtendedRequest, ExtendedError> {
        self.pending.clear();
        let mut rewriter = Rewriter {
            table: self,
            overlay: Vec::new(),
            texts: Vec::new(),
            parsed: Vec::new(),
            prelude: BytesMut::new(),
            frames: BytesMut::new(),
            pending: VecDeque::new(),
            missing: false,
        };
        for message in messages {
            rewriter.message(message)?;
        }
        let Rewriter {
            overlay, texts, prelude: mut frames, frames: rest, pending, missing, ..
        } = rewriter;
        let mut after: BTreeMap<&str, &StatementText> =
            self.statements.iter().map(|(name, text)| (&**name, &**text)).collect();
        for (name, text) in &overlay {
            match text {
                Some(text) => after.insert(name, text),
                None => after.remove(&**name),
            };
        }
        let bytes: usize = after.iter().map(|(name, text)| text.bytes(name)).sum();
        if after.len() > self.limits.statements || bytes > self.limits.bytes {
            let StatementLimits { statements: limit, bytes } = self.limits;
            return Err(ExtendedError::TooMany { limit, bytes });
        }
        self.pending = pending;
        frames.unsplit(rest);
        put_sync(&mut frames);
        let texts: Vec<&str> = texts.iter().map(|text| &*text.query).collect();
        let text = match missing && texts.is_empty() {
            true => MISSING_TEXT.to_owned(),
            false => texts.join(";\n"),
        };
        Ok(ExtendedRequest { text, frames: frames.freeze() })
    }

    /// Takes note of a message that was relayed to the caller.
    pub fn answered(&mut self, answer_kind: u8) {
        match answer_kind {
            kind::PARSE_COMPLETE | kind::CLOSE_COMPLETE => match self.pending.pop_front() {
                Some(PendingChange::Parsed(name, text)) => {
                    self.remove(&name);
                    self.bytes += text.bytes(&name);
                    self.statements.push((name, text));
                }
                Some(PendingChange::Closed(name)) => self.remove(&name),
                Some(PendingChange::Nothing) | None => {}
            },
            // The backend server skips what follows an error up to the Sync.
            kind::ERROR => self.pending.clear(),
            _ => {}
        }
    }

    fn get(&self, name: &str) -> Option<&Arc<StatementText>> {
        self.statements.iter().find(|(held, _)| &**held == name).map(|(_, text)| text)
    }

    fn remove(&mut self, name: &str) {
        if let Some(at) = self.statements.iter().position(|(held, _)| &**held == name) {
            let (name, text) = self.statements.swap_remove(at);
            self.bytes -= text.bytes(&name);
            if self.statements.is_empty() {
                self.statements = Vec::new();
            }
        }
    }
}

struct Rewriter<'a> {
    table: &'a StatementTable,
    /// Names that the request itself parses or closes.
    overlay: Vec<(Box<str>, Option<Arc<StatementText>>)>,
    texts: Vec<Arc<StatementText>>,
    /// Texts that are prepared at this point of the request; `None` is the unnamed statement.
    parsed: Vec<Option<Arc<StatementText>>>,
    prelude: BytesMut,
    frames: BytesMut,
    pending: VecDeque<PendingChange>,
    /// The request refers to a statement that the session does not have.
    missing: bool,
}

impl Rewriter<'_> {
    fn message(&mut self, message: &Frame) -> Result<(), ExtendedError> {
        match message.kind {
            kind::PARSE => self.parse(message),
            kind::BIND => {
                let bind = read_bind(message.body())?;
                let name = self.reference(bind.statement);
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
                let name = self.reference(name);
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
                    self.pending.push_back(PendingChange::Nothing);
                    return Ok(());
                }
                let sent = if name.is_empty() { "" } else { NO_STATEMENT };
                put_close(&mut self.frames, b'S', sent);
                self.overlay.push((name.into(), None));
                self.pending.push_back(PendingChange::Closed(name.into()));
                Ok(())
            }
            kind::EXECUTE => {
                self.frames.put_slice(&message.bytes);
                Ok(())
            }
            // The shell cuts requests at Flush where it must, and outside COPY these are ignored.
            kind::FLUSH | kind::SYNC | kind::COPY_DATA | kind::COPY_DONE | kind::COPY_FAIL => {
                Ok(())
            }
            kind => Err(ExtendedError::BadKind { kind }),
        }
    }

    fn parse(&mut self, message: &Frame) -> Result<(), ExtendedError> {
        let body = read_parse(message.body())?;
        let text = Arc::new(StatementText::new(body.query, body.types));
        self.texts.push(text.clone());
        if body.name.is_empty() {
            self.frames.put_slice(&message.bytes);
            self.parsed.retain(|parsed| parsed.is_some());
            self.parsed.push(None);
        } else if self.lookup(body.name).is_some() {
            let name = guarded(body.name);
            put_parse(&mut self.frames, &name, "", &[]);
            put_parse(&mut self.frames, &name, body.query, body.types);
            self.pending.push_back(PendingChange::Nothing);
            return Ok(());
        } else {
            put_close(&mut self.frames, b'S', &text.hashed);
            put_parse(&mut self.frames, &text.hashed, body.query, body.types);
            self.parsed.push(Some(text.clone()));
        }
        self.overlay.push((body.name.into(), Some(text.clone())));
        self.pending.push_back(PendingChange::Parsed(body.name.into(), text));
        Ok(())
    }

    fn lookup(&self, name: &str) -> Option<Arc<StatementText>> {
        match self.overlay.iter().rev().find(|(held, _)| &**held == name) {
            Some((_, text)) => text.clone(),
            None => self.table.get(name).cloned(),
        }
    }

    /// Returns the name that a backend server knows the statement by.
    fn reference(&mut self, name: &str) -> String {
        if name.is_empty() && self.parsed.iter().any(Option::is_none) {
            return String::new();
        }
        let Some(text) = self.lookup(name) else {
            self.missing = true;
            // The connection's unnamed statement may be another session's.
            return if name.is_empty() { NO_STATEMENT.to_owned() } else { guarded(name) };
        };
        if !self.parsed.iter().flatten().any(|parsed| parsed.hashed == text.hashed) {
            put_parse(&mut self.prelude, &text.hashed, &text.query, &text.types);
            self.parsed.push(Some(text.clone()));
            self.texts.push(text.clone());
        }
        text.hashed.clone()
    }
}

/// Keeps callers from naming a shared statement.
fn guarded(name: &str) -> String {
    if name.starts_with(STATEMENT_PREFIX) { format!("_{name}") } else { name.to_owned() }
}

/// What the next `ParseComplete` or `CloseComplete` stands for.
#[derive(Debug)]
enum ExpectedAnswer {
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
/// assert_eq!(statements.plan(frames.clone()), frames);
/// assert!(!statements.answered(pg::kind::PARSE_COMPLETE));
/// // The second time the connection has the statement.
/// assert!(statements.plan(frames).is_empty());
/// ```
#[derive(Debug)]
pub struct ConnectionStatements {
    limit: usize,
    /// Name and the time of its last use.
    prepared: Vec<(String, u64)>,
    time: u64,
    /// Callers' own names that a failed `Parse` left behind.
    stale: Vec<String>,
    expected: VecDeque<ExpectedAnswer>,
}

impl ConnectionStatements {
    /// Creates an empty set that keeps at most `limit` names, or those of one request if more.
    pub fn new(limit: usize) -> Self {
        ConnectionStatements {
            limit,
            prepared: Vec::new(),
            time: 0,
            stale: Vec::new(),
            expected: VecDeque::new(),
        }
    }

    /// Returns the number of prepared names.
    pub fn len(&self) -> usize {
        self.prepared.len()
    }

    /// Tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.prepared.is_empty()
    }

    /// Forgets all names, after a statement that deallocated them.
    pub fn clear(&mut self) {
        self.prepared.clear();
    }

    /// Turns the frames of a run into the frames to send. Frames that are not of the extended protocol,
    /// or not whole, are returned as they are.
    pub fn plan(&mut self, frames: Bytes) -> Bytes {
        self.expected.clear();
        if matches!(frames.first(), None | Some(&kind::QUERY)) {
            return frames;
        }
        self.time += 1;
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
        for name in std::mem::take(&mut self.stale) {
            put_close(&mut sent, b'S', &name);
            self.expect_close(false, None);
        }
        let mut added = 0;
        let mut close_of = None;
        for message in &messages {
            let closed = close_of.take();
            match message.kind {
                kind::PARSE => {
                    if let Ok(body) = read_parse(message.body())
                        && !self.plan_parse(&mut sent, body.name, body.query, closed, &mut added)
                    {
                        continue;
                    }
                }
                kind::CLOSE => match read_target(message.body()) {
                    Ok((b'S', name))
                        if name.starts_with(STATEMENT_PREFIX) && name != NO_STATEMENT =>
                    {
                        close_of = Some(name.to_owned());
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

    /// Takes note of an answer from the backend server; returns whether it is the caller's.
    pub fn answered(&mut self, answer_kind: u8) -> bool {
        match answer_kind {
            kind::PARSE_COMPLETE | kind::CLOSE_COMPLETE => match self.expected.pop_front() {
                Some(ExpectedAnswer::Parse { relay, name }) => {
                    if let Some(name) = name {
                        self.forget(&name);
                        self.prepared.push((name, self.time));
                    }
                    relay
                }
                Some(ExpectedAnswer::Close { relay, name }) => {
                    if let Some(name) = name {
                        self.forget(&name);
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

    /// Returns whether the `Parse` is sent.
    fn plan_parse(
        &mut self,
        sent: &mut BytesMut,
        name: &str,
        query: &str,
        closed: Option<String>,
        added: &mut usize,
    ) -> bool {
        let own = closed.as_deref() == Some(name);
        if !name.starts_with(STATEMENT_PREFIX) {
            let first_of_two = !name.is_empty()
                && query.is_empty()
                && !self.stale.iter().any(|stale| stale == name);
            if first_of_two {
                self.stale.push(name.to_owned());
            }
            let relay = !first_of_two;
            self.expected.push_back(ExpectedAnswer::Parse { relay, name: None });
            return true;
        }
        if !own {
            let time = self.time;
            if let Some((_, used)) = self.prepared.iter_mut().find(|(held, _)| held == name) {
                *used = time;
                return false;
            }
        }
        *added += 1;
        if self.prepared.len() + *added > self.limit {
            let oldest = self.prepared.iter_mut().min_by_key(|(_, used)| *used);
            if let Some((oldest, used)) = oldest
                && *used < self.time
                && oldest != name
            {
                let oldest = oldest.clone();
                // Counts as used, so that the same request does not choose it again.
                *used = self.time;
                put_close(sent, b'S', &oldest);
                self.expect_close(false, Some(oldest));
                *added -= 1;
            }
        }
        let name = Some(name.to_owned());
        self.expected.push_back(ExpectedAnswer::Parse { relay: own, name });
        true
    }

    fn expect_close(&mut self, relay: bool, name: Option<String>) {
        self.expected.push_back(ExpectedAnswer::Close { relay, name });
    }

    fn forget(&mut self, name: &str) {
        self.prepared.retain(|(held, _)| held != name);
    }
}
