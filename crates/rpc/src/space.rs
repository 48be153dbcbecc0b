//! Bounds what the connections of peers make this node hold: their number, the large messages that are read at a time, and
//! the calls in progress.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::task::Waker;

use crate::stream::RpcStream;

/// Space for each client that may connect here: 80 MB for 20,000, 10,000 small calls in progress.
const BYTES_PER_CALLER: usize = 4 * 1024;

/// Space in any case: a message of the largest size and its decoded copy.
const MIN_SPACE_BYTES: usize = 2 * crate::server::MESSAGE_LIMIT_WORDS * 8;

/// Connections that are always accepted.
const MIN_CONNECTIONS: usize = 128;

/// Clients per connection of a peer: 1,250 connections for 20,000 clients, above the 660 nodes of the largest fleet.
const CALLERS_PER_CONNECTION: usize = 16;

/// Age at which a connection without a message gives its place to a new one, and time without input after which a begun
/// message is given up while others wait. At least 2 s, because a second may just be over.
const SILENT_SECONDS: u64 = 3;

/// Time without input after which a connection gives its place to a new one. Peers close unused connections after 30 s.
const UNUSED_SECONDS: u64 = 60;

/// Time after which a connection whose next message finds no space is closed. It may hold the space itself.
const WAIT_SECONDS: u64 = 10;

/// What the sweep of a second closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpaceSweep {
    /// Connections whose peers did not send the rest of a message while others waited.
    pub stalled: u64,
    /// Connections that waited too long.
    pub waited: u64,
}

/// A connection, as far as the bounds need it.
pub(crate) struct PeerActivity {
    stream: RpcStream,
    opened: u64,
    last_read: Cell<u64>,
    pub(crate) has_message: Cell<bool>,
    /// A message with a reservation has begun.
    pub(crate) is_reading: Cell<bool>,
    waits_since: Cell<Option<u64>>,
}

struct SpaceState {
    limit: usize,
    connection_limit: usize,
    used: Cell<usize>,
    /// Seconds since the start, counted by [`PeerSpace::sweep`].
    seconds: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
    connections: RefCell<Vec<Weak<PeerActivity>>>,
}

/// The space that all connections of peers share. Clones share it.
#[derive(Clone)]
pub struct PeerSpace {
    state: Rc<SpaceState>,
}

/// Bytes of the space, returned on drop.
pub(crate) struct SpaceReservation {
    space: PeerSpace,
    bytes: usize,
}

impl Drop for SpaceReservation {
    fn drop(&mut self) {
        let state = &self.space.state;
        state.used.set(state.used.get() - self.bytes);
        for waker in state.waiting.take() {
            waker.wake();
        }
    }
}

impl PeerSpace {
    /// Creates the space of a node that accepts a number of clients.
    pub fn new(caller_limit: usize) -> Self {
        let state = SpaceState {
            limit: (caller_limit * BYTES_PER_CALLER).max(MIN_SPACE_BYTES),
            connection_limit: (caller_limit / CALLERS_PER_CONNECTION).max(MIN_CONNECTIONS),
            used: Cell::new(0),
            seconds: Cell::new(0),
            waiting: RefCell::default(),
            connections: RefCell::default(),
        };
        PeerSpace { state: Rc::new(state) }
    }

    /// Returns the reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.state.used.get()
    }

    /// Returns the space for all connections in bytes.
    pub(crate) fn limit_bytes(&self) -> usize {
        self.state.limit
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.open_connections().len()
    }

    /// Closes, once a second, the connections that keep space from others.
    pub fn sweep(&self) -> SpaceSweep {
        let now = self.state.seconds.get() + 1;
        self.state.seconds.set(now);
        let connections = self.open_connections();
        let mut swept = SpaceSweep::default();
        if connections.iter().all(|connection| connection.waits_since.get().is_none()) {
            return swept;
        }
        for connection in connections {
            if connection.is_reading.get() && now - connection.last_read.get() >= SILENT_SECONDS {
                connection.stream.close();
                swept.stalled += 1;
            } else if connection.waits_since.get().is_some_and(|since| now - since >= WAIT_SECONDS)
            {
                connection.stream.close();
                swept.waited += 1;
            }
        }
        swept
    }

    fn open_connections(&self) -> Vec<Rc<PeerActivity>> {
        let mut connections = self.state.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let open = connections.iter().filter_map(Weak::upgrade);
        open.filter(|connection| !connection.stream.is_closed()).collect()
    }

    /// Admits a connection. If there are too many, it takes the place of one that is not in use; `None` if all are.
    pub(crate) fn admit(&self, stream: RpcStream) -> Option<Rc<PeerActivity>> {
        let now = self.state.seconds.get();
        let connections = self.open_connections();
        if connections.len() >= self.state.connection_limit {
            let unused = connections.iter().filter(|connection| {
                let silent = match connection.has_message.get() {
                    true => UNUSED_SECONDS,
                    false => SILENT_SECONDS,
                };
                now - connection.last_read.get().max(connection.opened) >= silent
            });
            unused.min_by_key(|connection| connection.last_read.get())?.stream.close();
        }
        let connection = Rc::new(PeerActivity {
            stream,
            opened: now,
            last_read: Cell::new(now),
            has_message: Cell::new(false),
            is_reading: Cell::new(false),
            waits_since: Cell::new(None),
        });
        self.state.connections.borrow_mut().push(Rc::downgrade(&connection));
        Some(connection)
    }

    /// Reserves bytes. A reservation that finds the space unused succeeds, whatever its size.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<SpaceReservation> {
        let used = self.state.used.get();
        (used == 0 || used + bytes <= self.state.limit).then(|| self.reserve_always(bytes))
    }

    /// Reserves bytes, also beyond the limit.
    pub(crate) fn reserve_always(&self, bytes: usize) -> SpaceReservation {
        self.state.used.set(self.state.used.get() + bytes);
        SpaceReservation { space: self.clone(), bytes }
    }

    /// Reserves bytes for a message of a connection, which otherwise waits: the waker is called when space is returned.
    pub(crate) fn reserve_message(
        &self,
        connection: &PeerActivity,
        bytes: usize,
        waker: &Waker,
    ) -> Option<SpaceReservation> {
        let reservation = self.reserve(bytes);
        if reservation.is_some() {
            connection.waits_since.set(None);
        } else {
            let since = connection.waits_since.get().unwrap_or(self.state.seconds.get());
            connection.waits_since.set(Some(since));
            self.state.waiting.borrow_mut().push(waker.clone());
        }
        reservation
    }

    /// Records that a connection has received something.
    pub(crate) fn record_read(&self, connection: &PeerActivity) {
        connection.last_read.set(self.state.seconds.get());
    }
}
