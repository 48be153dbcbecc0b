//! A non-blocking socket with buffers.

use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, MioSource, Ready};

/// Bytes that one read takes.
const READ_CHUNK: usize = 16 * 1024;

/// Time after which sent bytes without an acknowledgement end the connection. A working path answers in
/// a few milliseconds.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(700);

/// Silence after which an idle connection is probed, and the interval of probes. Two lost probes end it.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    Open,
    Ended,
}

/// A socket with its input and output.
pub(crate) struct BufferedSocket {
    source: MioSource<TcpStream>,
    pub(crate) input: BytesMut,
    pub(crate) output: BytesMut,
}

impl BufferedSocket {
    /// Registers a connected or connecting stream.
    pub(crate) fn new(poll: &MioPoll, stream: TcpStream, ready: Fwd<Ready>) -> io::Result<Self> {
        let source = poll.add(stream, Interest::READABLE | Interest::WRITABLE, 10, ready)?;
        Ok(BufferedSocket { source, input: BytesMut::new(), output: BytesMut::new() })
    }

    /// Reads until nothing is left or `input` holds `limit` bytes.
    pub(crate) fn fill(&mut self, limit: usize) -> ReadOutcome {
        let mut chunk = [0; READ_CHUNK];
        while self.input.len() < limit {
            match self.source.read(&mut chunk) {
                Ok(0) => return ReadOutcome::Ended,
                Ok(count) => {
                    self.input.extend_from_slice(&chunk[..count]);
                    if count < chunk.len() {
                        return ReadOutcome::Open;
                    }
                }
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted => {}
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => return ReadOutcome::Open,
                    _ => return ReadOutcome::Ended,
                },
            }
        }
        ReadOutcome::Open
    }

    /// Writes as much as the socket takes.
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

/// Starts to connect.
pub(crate) fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_TIME).with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        // EINPROGRESS has no stable kind of its own.
        Err(error)
            if error.kind() == ErrorKind::WouldBlock
                || error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
        Err(error) => return Err(error),
    }
    Ok(TcpStream::from_std(socket.into()))
}
