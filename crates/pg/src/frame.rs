//! Splitting of a byte stream into frames.

use bytes::{Bytes, BytesMut};

/// A message with its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Type byte.
    pub kind: u8,
    /// Type byte, length and body.
    pub bytes: Bytes,
}

impl Frame {
    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

const HEADER_BYTES: usize = 5;

/// Error for an invalid frame header.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("invalid length {length} of message type {kind:#04x}")]
    BadLength { kind: u8, length: i32 },
    #[error("message type {kind:#04x} of {length} bytes exceeds {limit} bytes")]
    TooLarge { kind: u8, length: usize, limit: usize },
}

impl FrameError {
    /// Returns the SQLSTATE that reports the error to a client.
    pub fn code(&self) -> &'static str {
        match self {
            FrameError::BadLength { .. } => "08P01",
            FrameError::TooLarge { .. } => "54000",
        }
    }
}

/// Reads a header: the type byte and the length of the whole frame in bytes. Returns `None` if the
/// buffer holds less than a header (5 bytes).
///
/// # Errors
///
/// Fails if the length is below 4.
///
/// ```
/// assert_eq!(pg::peek_header(b"S\0\0\0\x04")?, Some((b'S', 5)));
/// assert_eq!(pg::peek_header(b"S\0\0")?, None);
/// # Ok::<(), pg::FrameError>(())
/// ```
pub fn peek_header(buffer: &[u8]) -> Result<Option<(u8, usize)>, FrameError> {
    let &[kind, a, b, c, d, ..] = buffer else { return Ok(None) };
    let length = i32::from_be_bytes([a, b, c, d]);
    if length < 4 {
        return Err(FrameError::BadLength { kind, length });
    }
    Ok(Some((kind, length as usize + 1)))
}

/// Splits frames up to a maximum size off the front of a buffer.
///
/// ```
/// let splitter = pg::FrameSplitter::new(1024);
/// let mut buffer = bytes::BytesMut::from(&b"Q\0\0\0\x06x\0S\0"[..]);
/// let frame = splitter.split(&mut buffer)?.expect("one whole frame");
/// assert_eq!((frame.kind, frame.body()), (b'Q', &b"x\0"[..]));
/// assert_eq!(splitter.split(&mut buffer)?, None);
/// # Ok::<(), pg::FrameError>(())
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FrameSplitter {
    limit: usize,
}

impl FrameSplitter {
    /// Creates a splitter for frames of at most `limit` bytes, header included.
    pub fn new(limit: usize) -> Self {
        FrameSplitter { limit }
    }

    /// Removes the next frame from the buffer, if it is complete.
    ///
    /// # Errors
    ///
    /// Fails on an invalid length, and on a length above the limit without waiting for the body.
    pub fn split(&self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some((kind, length)) = peek_header(buffer)? else { return Ok(None) };
        if length > self.limit {
            return Err(FrameError::TooLarge { kind, length, limit: self.limit });
        }
        if buffer.len() < length {
            return Ok(None);
        }
        Ok(Some(Frame { kind, bytes: buffer.split_to(length).freeze() }))
    }
}

/// Tracks the frame boundaries of a relayed answer whose chunks may end anywhere.
///
/// ```
/// let mut scanner = pg::AnswerScanner::default();
/// let mut kinds = Vec::new();
/// scanner.scan(b"1\0\0\0\x04D\0\0", |kind| kinds.push(kind));
/// assert!(!scanner.is_between_frames());
/// scanner.scan(b"\0\x05x", |kind| kinds.push(kind));
/// assert!(scanner.is_between_frames());
/// assert_eq!(kinds, b"1D");
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerScanner {
    header: [u8; HEADER_BYTES],
    /// Number of header bytes received.
    header_filled: u8,
    /// Number of body bytes still to come.
    body_remaining: usize,
}

impl AnswerScanner {
    /// Scans the next chunk and calls `visit` with the type byte of each frame whose header is
    /// complete.
    pub fn scan(&mut self, mut chunk: &[u8], mut visit: impl FnMut(u8)) {
        while !chunk.is_empty() {
            if self.body_remaining > 0 {
                let skipped = self.body_remaining.min(chunk.len());
                self.body_remaining -= skipped;
                chunk = &chunk[skipped..];
                continue;
            }
            let filled = usize::from(self.header_filled);
            let taken = (HEADER_BYTES - filled).min(chunk.len());
            self.header[filled..filled + taken].copy_from_slice(&chunk[..taken]);
            self.header_filled += taken as u8;
            chunk = &chunk[taken..];
            if usize::from(self.header_filled) == HEADER_BYTES {
                let [kind, a, b, c, d] = self.header;
                let length = u32::from_be_bytes([a, b, c, d]) as usize;
                self.body_remaining = length.saturating_sub(4);
                self.header_filled = 0;
                visit(kind);
            }
        }
    }

    /// Returns whether the chunks so far end at a frame boundary.
    pub fn is_between_frames(&self) -> bool {
        self.header_filled == 0 && self.body_remaining == 0
    }
}
