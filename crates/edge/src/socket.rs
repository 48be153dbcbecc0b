//! A non-blocking socket with input and output buffers.

use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, MioSource, Ready};

const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Size up to which an unused buffer is kept: that of usual requests, so that they need no allocation of their own.
const KEPT_BUFFER_BYTES: usize = 4 * 1024;

/// Time after which unacknowledged data closes the connection (`TCP_USER_TIMEOUT`). A working network
/// acknowledges within a few milliseconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle time before the first keepalive probe, and the interval of probes. Two lost probes close the connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the peer may still send data after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    Open,
    Closed,
}

/// A socket with its input and output buffers.
pub(crate) struct BufferedSocket {
    source: MioSource<TcpStream>,
    pub(crate) input: BytesMut,
    pub(crate) output: BytesMut,
    /// Size of the allocations behind the buffers, which share them with what was split off.
    input_allocated: usize,
    output_allocated: usize,
    /// Data may be available: the last read stopped at its limit, or a readiness event has arrived since.
    input_pending: bool,
}

impl BufferedSocket {
    /// Registers a connected or connecting stream with the event loop.
    pub(crate) fn new(poll: &MioPoll, stream: TcpStream, ready: Fwd<Ready>) -> io::Result<Self> {
        let source = poll.add(stream, Interest::READABLE | Interest::WRITABLE, 10, ready)?;
        Ok(BufferedSocket {
            source,
            input: BytesMut::new(),
            output: BytesMut::new(),
            input_allocated: 0,
            output_allocated: 0,
            input_pending: true,
        })
    }

    /// Reads until no data is available or `input` holds `limit` bytes.
    pub(crate) fn fill(&mut self, limit: usize) -> ReadOutcome {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let outcome = loop {
            let room = limit.saturating_sub(self.input.len()).min(chunk.len());
            if room == 0 {
                self.input_pending = true;
                break ReadOutcome::Open;
            }
            match self.source.read(&mut chunk[..room]) {
                Ok(0) => break ReadOutcome::Closed,
                Ok(count) => {
                    self.input.extend_from_slice(&chunk[..count]);
                    if count < room {
                        self.input_pending = false;
                        break ReadOutcome::Open;
                    }
                }
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => {
                        self.input_pending = false;
                        break ReadOutcome::Open;
                    }
                    _ => break ReadOutcome::Closed,
                },
            }
        };
        self.input_allocated = self.input_allocated.max(self.input.capacity());
        outcome
    }

    /// Returns whether data may be available, which no further readiness event announces.
    pub(crate) fn has_pending_input(&self) -> bool {
        self.input_pending
    }

    /// Records that a readiness event may have announced data.
    pub(crate) fn expect_input(&mut self) {
        self.input_pending = true;
    }

    /// Writes as much as the socket accepts; returns the number of bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub(crate) fn flush(&mut self) -> io::Result<usize> {
        self.output_allocated = self.output_allocated.max(self.output.capacity());
        let mut written = 0;
        while !self.output.is_empty() {
            match self.source.write(&self.output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.output.advance(count);
                    written += count;
                }
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => break,
                    _ => return Err(error),
                },
            }
        }
        Ok(written)
    }

    /// Gives back buffers that large messages have left, and returns the size of the remaining ones.
    pub(crate) fn compact(&mut self) -> usize {
        compact_buffer(&mut self.input, &mut self.input_allocated);
        compact_buffer(&mut self.output, &mut self.output_allocated);
        self.input_allocated + self.output_allocated
    }
}

/// Moves what a buffer holds to an allocation of its size, if it uses little of the present one.
fn compact_buffer(buffer: &mut BytesMut, allocated: &mut usize) {
    *allocated = (*allocated).max(buffer.capacity());
    // Moving at most a quarter keeps the cost below that of the reads and writes.
    if *allocated > KEPT_BUFFER_BYTES && buffer.len() <= *allocated / 4 {
        *buffer = BytesMut::from(&buffer[..]);
        *allocated = buffer.capacity();
    }
}

/// Starts a non-blocking connect.
pub(crate) fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        // EINPROGRESS has no stable ErrorKind.
        Err(error)
            if error.kind() == ErrorKind::WouldBlock
                || error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
        Err(error) => return Err(error),
    }
    Ok(TcpStream::from_std(socket.into()))
}
