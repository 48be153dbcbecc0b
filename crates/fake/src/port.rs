//! Reserved ports for processes that tests start, and ports that are closed.

use std::net::{Shutdown, SocketAddr, TcpListener};

use socket2::{Domain, SockRef, Socket, Type};

/// Attempts to find two consecutive free ports. Linux takes odd ports for listeners and even ones for outgoing
/// connections, so the successor is free only if no recent connection had it. 64 attempts failed once beside tests
/// that had opened some thousand connections in the minute before.
const PAIR_TRIES: usize = 4_096;

/// A bound socket that does not listen. The kernel assigns its port to no other socket, but a process can
/// listen on the port, because both set `SO_REUSEADDR`. A listener that is closed just before the process
/// starts is not enough: processes that other threads start at that moment inherit it, and a connection
/// may take its port.
///
/// ```
/// let reservation = fake::port::PortReservation::new()?;
/// let listener = std::net::TcpListener::bind(reservation.address()?)?;
/// assert_eq!(listener.local_addr()?, reservation.address()?);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct PortReservation(Socket);

impl PortReservation {
    /// Reserves a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if the kernel has no free port.
    pub fn new() -> std::io::Result<Self> {
        PortReservation::at(0)
    }

    /// Reserves two consecutive free ports of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails if the kernel has no free port, or none whose successor is free.
    pub fn new_pair() -> std::io::Result<[Self; 2]> {
        let mut last_error = None;
        for _ in 0..PAIR_TRIES {
            let first = PortReservation::new()?;
            match PortReservation::at(first.address()?.port().saturating_add(1)) {
                Ok(second) => return Ok([first, second]),
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| std::io::Error::other("no pair of ports is free")))
    }

    fn at(port: u16) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], port)).into())?;
        Ok(PortReservation(socket))
    }

    /// Returns the reserved address.
    ///
    /// # Errors
    ///
    /// Fails if the kernel does not return the address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        let address = self.0.local_addr()?;
        address.as_socket().ok_or_else(|| std::io::Error::other("not an IP address"))
    }
}

/// Closes a listener's port. Dropping it is not enough: a process that another thread starts at that moment inherits
/// the listener, and the port accepts connections until that process has loaded its program.
pub(crate) fn close(listener: TcpListener) {
    drop(SockRef::from(&listener).shutdown(Shutdown::Both));
}
