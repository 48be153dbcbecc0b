//! Reads the messages of a peer, one after another, as far as the space for them allows.
//!
//! The next message is not read while the peer does not read the answers, or while there is no space for it. What the peer
//! sends meanwhile waits in the kernel.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use futures::io::AsyncRead;

use crate::server::MESSAGE_LIMIT_WORDS;
use crate::space::{PeerActivity, PeerSpace, SpaceReservation};
use crate::stream::RpcStream;

/// Size of the buffer for the start of a message. The table of the most segments that a message may have takes 2 KiB.
const BUFFER_BYTES: usize = 8 * 1024;

/// Size of a message that needs no reservation. Ordinary calls are smaller.
const FREE_MESSAGE_BYTES: usize = 16 * 1024;

/// Most segments of a message, as the decoder checks it.
const SEGMENT_LIMIT: usize = 512;

/// The input of a connection.
pub(crate) struct PeerInput {
    stream: RpcStream,
    space: PeerSpace,
    connection: Rc<PeerActivity>,
    buffer: Box<[u8]>,
    start: usize,
    end: usize,
    /// Bytes of the message in progress that have not been passed on.
    left: usize,
    reservation: Option<SpaceReservation>,
}

/// Returns the sizes in bytes of the segment table and of the message after it, or `None` if more input is needed.
///
/// For a table that the decoder refuses, the message is empty.
fn parse_segment_table(input: &[u8]) -> Option<(usize, usize)> {
    let word = |at: usize| {
        let bytes = input.get(at..at + 4)?.try_into().ok()?;
        Some(u32::from_le_bytes(bytes) as usize)
    };
    let segments = word(0)? + 1;
    if segments >= SEGMENT_LIMIT {
        return Some((8, 0));
    }
    let table = (4 + 4 * segments).next_multiple_of(8);
    let mut words = 0;
    for segment in 0..segments {
        words += word(4 + 4 * segment)?;
    }
    if input.len() < table {
        return None;
    }
    Some((table, if words > MESSAGE_LIMIT_WORDS { 0 } else { 8 * words }))
}

impl PeerInput {
    pub(crate) fn new(stream: RpcStream, space: PeerSpace, connection: Rc<PeerActivity>) -> Self {
        let buffer = vec![0; BUFFER_BYTES].into_boxed_slice();
        PeerInput {
            stream,
            space,
            connection,
            buffer,
            start: 0,
            end: 0,
            left: 0,
            reservation: None,
        }
    }

    /// Begins the next message, or waits until it may be read. At the end of the input, `left` remains 0.
    fn poll_next_message(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The decoder has passed on the message before, so that its call now has a reservation of its own.
        self.reservation = None;
        self.connection.is_reading.set(false);
        if self.stream.is_output_blocked() {
            self.stream.wake_when_ready(context.waker());
            return Poll::Pending;
        }
        loop {
            if let Some((table, body)) = parse_segment_table(&self.buffer[self.start..self.end]) {
                if body > FREE_MESSAGE_BYTES {
                    // The message and the copy that is decoded from it.
                    let bytes = 2 * body;
                    let waker = context.waker();
                    self.reservation = self.space.reserve_message(&self.connection, bytes, waker);
                    if self.reservation.is_none() {
                        self.stream.wake_when_ready(waker);
                        return Poll::Pending;
                    }
                    self.space.record_read(&self.connection);
                    self.connection.is_reading.set(true);
                }
                self.left = table + body;
                self.connection.has_message.set(true);
                return Poll::Ready(Ok(()));
            }
            self.buffer.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            let read = Pin::new(&mut self.stream).poll_read(context, &mut self.buffer[self.end..]);
            let count = ready!(read)?;
            if count == 0 {
                // The decoder reports the end of the input within a segment table.
                self.left = self.end;
                return Poll::Ready(Ok(()));
            }
            self.end += count;
            self.space.record_read(&self.connection);
        }
    }
}

impl AsyncRead for PeerInput {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.stream.is_closed() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if this.left == 0 {
            ready!(this.poll_next_message(context))?;
        }
        let limit = output.len().min(this.left);
        let buffered = &this.buffer[this.start..this.end];
        let count = if buffered.is_empty() && limit > 0 {
            let count =
                ready!(Pin::new(&mut this.stream).poll_read(context, &mut output[..limit]))?;
            this.space.record_read(&this.connection);
            count
        } else {
            let count = limit.min(buffered.len());
            output[..count].copy_from_slice(&buffered[..count]);
            this.start += count;
            count
        };
        this.left -= count;
        Poll::Ready(Ok(count))
    }
}
