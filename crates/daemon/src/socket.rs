//! A non-blocking socket whose buffers are allocated only while they hold data.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use rpc::ChunkPermit;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, MioSource, Ready};

/// Size of the read buffer that all sockets share. A socket keeps only unprocessed input of its own,
/// so an idle one holds no buffer.
const SCRATCH_BYTES: usize = 64 * 1024;

/// Maximum number of output parts in one write call.
const SLICES_PER_WRITE: usize = 16;

/// The read buffer that all sockets of an event loop share.
pub(crate) type ScratchBuffer = Rc<RefCell<Box<[u8]>>>;

/// Allocates the shared read buffer.
pub(crate) fn new_scratch() -> ScratchBuffer {
    Rc::new(RefCell::new(vec![0; SCRATCH_BYTES].into_boxed_slice()))
}

/// How a read ended.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// All available data is in the buffer, or the limit has been reached.
    Open,
    Ended,
    Failed(io::Error),
}

/// A socket with its input and output buffers.
pub(crate) struct BufferedSocket {
    source: MioSource<TcpStream>,
    scratch: ScratchBuffer,
    pub(crate) input: BytesMut,
    output: VecDeque<(Bytes, ChunkPermit)>,
    /// Bytes of the first output part that have been written.
    written: usize,
    output_bytes: usize,
    /// The last read stopped at its limit, so no readiness event will announce the rest.
    input_pending: bool,
}

impl BufferedSocket {
    /// Registers a connected or connecting stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream cannot be registered.
    pub(crate) fn new(
        poll: &MioPoll,
        stream: TcpStream,
        scratch: ScratchBuffer,
        ready: Fwd<Ready>,
    ) -> io::Result<Self> {
        let source = poll.add(stream, Interest::READABLE | Interest::WRITABLE, 10, ready)?;
        // Only reduces latency. Fails on some systems while the socket is still connecting.
        let _ = source.set_nodelay(true);
        Ok(BufferedSocket {
            source,
            scratch,
            input: BytesMut::new(),
            output: VecDeque::new(),
            written: 0,
            output_bytes: 0,
            input_pending: true,
        })
    }

    /// Reads until no data is available or `input` holds `limit` bytes.
    pub(crate) fn fill(&mut self, limit: usize) -> ReadOutcome {
        let mut scratch = self.scratch.borrow_mut();
        loop {
            if self.input.len() >= limit {
                self.input_pending = true;
                return ReadOutcome::Open;
            }
            let room = scratch.len().min(limit - self.input.len());
            match self.source.read(&mut scratch[..room]) {
                Ok(0) => return ReadOutcome::Ended,
                Ok(count) => self.input.extend_from_slice(&scratch[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.input_pending = false;
                    return ReadOutcome::Open;
                }
                // Some systems return this while the socket is still connecting.
                Err(error) if error.kind() == ErrorKind::NotConnected => {
                    self.input_pending = false;
                    return ReadOutcome::Open;
                }
                Err(error) => return ReadOutcome::Failed(error),
            }
        }
    }

    /// Returns whether the socket may hold data that no readiness event will announce.
    pub(crate) fn may_have_input(&self) -> bool {
        self.input_pending
    }

    /// Frees the input buffer if it is empty.
    pub(crate) fn release_input(&mut self) {
        if self.input.is_empty() && self.input.capacity() > 0 {
            self.input = BytesMut::new();
        }
    }

    /// Queues output; [`BufferedSocket::flush`] writes it.
    pub(crate) fn push(&mut self, bytes: Bytes, permit: ChunkPermit) {
        if !bytes.is_empty() {
            self.output_bytes += bytes.len();
            self.output.push_back((bytes, permit));
        }
    }

    /// Returns the number of bytes that have not been written yet.
    pub(crate) fn output_bytes(&self) -> usize {
        self.output_bytes - self.written
    }

    /// Writes as much as the socket accepts; written parts return their permits.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            let mut slices = [IoSlice::new(&[]); SLICES_PER_WRITE];
            let mut count = 0;
            for (bytes, _) in self.output.iter().take(SLICES_PER_WRITE) {
                let start = if count == 0 { self.written } else { 0 };
                slices[count] = IoSlice::new(&bytes[start..]);
                count += 1;
            }
            match self.source.write_vectored(&slices[..count]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.advance(count),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) =>
                {
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
        if self.output.capacity() > SLICES_PER_WRITE {
            self.output = VecDeque::new();
        }
        Ok(())
    }

    fn advance(&mut self, count: usize) {
        self.written += count;
        while let Some((bytes, _)) = self.output.front()
            && self.written >= bytes.len()
        {
            self.written -= bytes.len();
            self.output_bytes -= bytes.len();
            self.output.pop_front();
        }
    }

    /// Returns the capacity of the buffers in bytes, for the state dump.
    pub(crate) fn buffer_bytes(&self) -> usize {
        self.input.capacity() + self.output_bytes
    }
}
