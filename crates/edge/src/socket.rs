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
}

impl BufferedSocket {
    /// Registers a connected or connecting stream with the event loop.
    pub(crate) fn new(poll: &MioPoll, stream: TcpStream, ready: Fwd<Ready>) -> io::Result<Self> {
        let source = poll.add(stream, Interest::READABLE | Interest::WRITABLE, 10, ready)?;
        Ok(BufferedSocket { source, input: BytesMut::new(), output: BytesMut::new() })
    }

    /// Reads until no data is available or `input` holds at least `limit` bytes.
    pub(crate) fn fill(&mut self, limit: usize) -> ReadOutcome {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.input.len() < limit {
            match self.source.read(&mut chunk) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => {
                    self.input.extend_from_slice(&chunk[..count]);
                    if count < chunk.len() {
                        return ReadOutcome::Open;
                    }
                }
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => return ReadOutcome::Open,
                    _ => return ReadOutcome::Closed,
                },
            }
        }
        ReadOutcome::Open
    }

    /// Writes as much as the socket accepts.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.source.write(&self.output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.output.advance(count),
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => return Ok(()),
                    _ => return Err(error),
                },
            }
        }
        Ok(())
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
