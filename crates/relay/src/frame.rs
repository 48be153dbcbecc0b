//! Messages between a relay and a follower.
//!
//! A follower sends one [`FollowRequest`]. The relay answers with frames: a [`FrameHeader`], then
//! the changes as the store sent them. Requests and headers are JSON, each on a line.

use std::io::{self, BufRead, Read, Write};
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Maximum size of a request or header.
const MAX_LINE_BYTES: u64 = 256;

/// Maximum size of the changes in one frame: the largest answer of the store.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Asks a relay for the changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    pub after: u64,
}

/// Precedes the changes in a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameHeader {
    /// Revision from which to continue after these changes.
    pub next: u64,
    /// Time since the relay sent its last successful call to the store.
    pub contact_age_ms: u64,
    /// Size of the changes; zero for a heartbeat.
    pub bytes: usize,
}

/// Writes a request or header.
///
/// # Errors
///
/// Fails if the connection is lost or does not accept the data in time.
pub fn write_line<T: Serialize>(output: &mut impl Write, message: &T) -> io::Result<()> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    output.write_all(&line)
}

/// Reads a request or header.
///
/// # Errors
///
/// Fails if the connection is lost, or if the line is too long or malformed.
pub fn read_line<T: DeserializeOwned>(input: &mut impl BufRead) -> io::Result<T> {
    let mut line = Vec::new();
    input.take(MAX_LINE_BYTES).read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(serde_json::from_slice(&line)?)
}

/// Reads the changes of a frame.
///
/// # Errors
///
/// Fails if the connection is lost or the frame is too large.
pub fn read_body(input: &mut impl Read, bytes: usize) -> io::Result<Arc<[u8]>> {
    if bytes > MAX_FRAME_BYTES {
        let text = format!("a frame of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let mut body = Vec::new();
    input.take(bytes as u64).read_to_end(&mut body)?;
    if body.len() < bytes {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(body.into())
}
