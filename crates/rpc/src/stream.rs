//! Adapts a socket of the event loop to the asynchronous I/O traits.

use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use futures::io::{AsyncRead, AsyncWrite};
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, MioSource, Ready};

/// A TCP stream of the event loop. Clones share the socket, so that one can read while another writes.
#[derive(Clone)]
pub struct RpcStream {
    state: Rc<RefCell<StreamState>>,
}

#[derive(Default)]
struct StreamState {
    /// `None` after [`RpcStream::close`].
    source: Option<MioSource<TcpStream>>,
    read_waker: Option<Waker>,
    write_waker: Option<Waker>,
    has_written: bool,
}

impl StreamState {
    fn wake(&mut self) {
        for waker in [self.read_waker.take(), self.write_waker.take()].into_iter().flatten() {
            waker.wake();
        }
    }
}

impl RpcStream {
    /// Registers a connected or connecting stream with the event loop.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be registered.
    pub fn new(poll: &MioPoll, stream: TcpStream) -> io::Result<Self> {
        let state = Rc::new(RefCell::new(StreamState::default()));
        let weak = Rc::downgrade(&state);
        // Runs inside the I/O poll, so it only wakes the tasks; they read the socket when the pool
        // runs.
        let ready = Fwd::new(move |_: Ready| {
            if let Some(state) = weak.upgrade() {
                state.borrow_mut().wake();
            }
        });
        let source = poll.add(stream, Interest::READABLE | Interest::WRITABLE, 10, ready)?;
        // Some systems refuse the option on a socket that is still connecting; without it, small
        // writes are only delayed.
        let _ = source.set_nodelay(true);
        state.borrow_mut().source = Some(source);
        Ok(RpcStream { state })
    }

    /// Closes the socket; reads and writes fail from then on.
    pub fn close(&self) {
        let source = {
            let mut state = self.state.borrow_mut();
            state.wake();
            state.source.take()
        };
        drop(source);
    }

    /// Returns whether any byte was passed to the socket.
    pub fn has_written(&self) -> bool {
        self.state.borrow().has_written
    }

    /// Returns whether a write waits because the other side does not read.
    pub(crate) fn is_output_blocked(&self) -> bool {
        self.state.borrow().write_waker.is_some()
    }

    /// Wakes the reading task when the socket becomes ready or is closed.
    pub(crate) fn wake_when_ready(&self, waker: &Waker) {
        self.state.borrow_mut().read_waker = Some(waker.clone());
    }

    /// Returns whether the stream was closed on this side.
    pub fn is_closed(&self) -> bool {
        self.state.borrow().source.is_none()
    }
}

fn closed_error() -> io::Error {
    io::Error::new(ErrorKind::ConnectionAborted, "the stream was closed")
}

impl AsyncRead for RpcStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state.borrow_mut();
        let Some(source) = &mut state.source else { return Poll::Ready(Err(closed_error())) };
        loop {
            match source.read(buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    state.read_waker = Some(context.waker().clone());
                    return Poll::Pending;
                }
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for RpcStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state.borrow_mut();
        let Some(source) = &mut state.source else { return Poll::Ready(Err(closed_error())) };
        loop {
            match source.write(buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Some systems report NotConnected for a socket that is still connecting.
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) =>
                {
                    state.write_waker = Some(context.waker().clone());
                    return Poll::Pending;
                }
                Ok(count) => {
                    state.has_written = true;
                    return Poll::Ready(Ok(count));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let state = self.state.borrow();
        let Some(source) = &state.source else { return Poll::Ready(Ok(())) };
        Poll::Ready(source.shutdown(std::net::Shutdown::Write))
    }
}
