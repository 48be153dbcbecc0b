//! A non-blocking socket with buffers that exist only while they hold something.

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

/// Size of the buffer that all sockets read through. Sockets keep only what they could not process,
/// so that idle ones hold no buffer.
const SCRATCH_BYTES: usize = 64 * 1024;

/// Parts of the output that one system call writes.
const SLICES_PER_WRITE: usize = 16;

/// The buffer that all sockets of a loop read through.
pub(crate) type ScratchBuffer = Rc<RefCell<Box<[u8]>>>;

/// Allocates the shared read buffer.
pub(crate) fn new_scratch() -> ScratchBuffer {
    Rc::new(RefCell::new(vec![0; SCRATCH_BYTES].into_boxed_slice()))
}

/// How a read ended.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// All that was there is in the buffer, or the limit was reached.
    Open,
    Ended,
    Failed(io::Error),
}

/// A socket with its input and output.
pub(crate) struct BufferedSocket {
    source: MioSource<TcpStream>,
    scratch: ScratchBuffer,
    pub(crate) input: BytesMut,
    output: VecDeque<(Bytes, ChunkPermit)>,
    /// Bytes of the first output part that are written.
    written: usize,
    output_bytes: usize,
    /// The last read stopped at its limit, so no event announces the rest.
    more: bool,
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
        // Only saves delay; fails on a socket that is still connecting on some systems.
        let _ = source.set_nodelay(true);
        Ok(BufferedSocket {
            source,
            scratch,
            input: BytesMut::new(),
            output: VecDeque::new(),
            written: 0,
            output_bytes: 0,
            more: true,
        })
    }

    /// Reads until nothing is left or `input` holds `limit` bytes.
    pub(crate) fn fill(&mut self, limit: usize) -> ReadOutcome {
        let mut scratch = self.scratch.borrow_mut();
        loop {
            if self.input.len() >= limit {
                self.more = true;
                return ReadOutcome::Open;
            }
            let room = scratch.len().min(limit - self.input.len());
            match self.source.read(&mut scratch[..room]) {
                Ok(0) => return ReadOutcome::Ended,
                Ok(count) => self.input.extend_from_slice(&scratch[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.more = false;
                    return ReadOutcome::Open;
                }
                // A connecting socket answers so on some systems.
                Err(error) if error.kind() == ErrorKind::NotConnected => {
                    self.more = false;
                    return ReadOutcome::Open;
                }
                Err(error) => return ReadOutcome::Failed(error),
            }
        }
    }

    /// Tells whether the socket may hold data that no event will announce.
    pub(crate) fn has_more(&self) -> bool {
        self.more
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

    /// Returns how many bytes wait to be written.
    pub(crate) fn output_bytes(&self) -> usize {
        self.output_bytes - self.written
    }

    /// Writes as much as the socket takes; parts that are written return their permits.
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
