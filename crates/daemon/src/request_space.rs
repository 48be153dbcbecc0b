//! Memory for the requests of clients that are larger than what each connection may read in any case.
//!
//! A session reserves the size of such a request before it reads on, and keeps the reservation until the request has been
//! answered. Sessions for which there is no space are not read, in the order in which they came; the rest of their requests
//! waits in the kernel. While sessions wait, one whose client does not send on is closed.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use model::{FastMap, Micros};
use node::SessionId;

/// Input that each connection may hold without a reservation. Ordinary requests are shorter.
pub(crate) const FREE_INPUT_BYTES: usize = 16 * 1024;

/// Number of requests of the largest size that there is always space for.
const MIN_LARGEST_REQUESTS: usize = 8;

/// Space for each client that may connect: 80 MB for 20,000, a quarter of their [`FREE_INPUT_BYTES`].
const BYTES_PER_CALLER: usize = 4 * 1024;

/// Time in which the client of a reservation has to send something while others wait: ten times the round trip of a slow
/// client.
const STALL_TIME: Micros = Micros::from_millis(2_000);

/// A session's reservation.
#[derive(Clone, Copy, Debug)]
struct SpaceReservation {
    bytes: usize,
    last_read: Micros,
    /// The request has arrived and waits for its answer.
    is_complete: bool,
}

/// The reservations of all sessions.
#[derive(Debug)]
pub(crate) struct RequestSpace {
    limit: usize,
    used: usize,
    reservations: FastMap<SessionId, SpaceReservation>,
    /// Sessions that wait, with the size that they need.
    waiting: VecDeque<(SessionId, usize)>,
}

/// The space that all sessions of an event loop share.
pub(crate) type SharedSpace = Rc<RefCell<RequestSpace>>;

impl RequestSpace {
    /// Creates the space for a number of clients with requests up to a size.
    pub(crate) fn new(caller_limit: usize, request_limit: usize) -> RequestSpace {
        let limit = (caller_limit * BYTES_PER_CALLER).max(request_limit * MIN_LARGEST_REQUESTS);
        RequestSpace { limit, used: 0, reservations: FastMap::default(), waiting: VecDeque::new() }
    }

    /// Reserves space for a session's request, or queues the session. Returns whether it may read on.
    pub(crate) fn reserve(&mut self, now: Micros, session: SessionId, bytes: usize) -> bool {
        if let Some(reservation) = self.reservations.get_mut(&session) {
            // More than at first: the requests of this session are sent ahead.
            if bytes > reservation.bytes {
                self.used += bytes - reservation.bytes;
                reservation.bytes = bytes;
            }
            (reservation.last_read, reservation.is_complete) = (now, false);
            return true;
        }
        if self.waiting.iter().any(|(waiting, _)| *waiting == session) {
            return false;
        }
        if !self.waiting.is_empty() || !self.fits(bytes) {
            self.waiting.push_back((session, bytes));
            return false;
        }
        self.insert(now, session, bytes);
        true
    }

    fn fits(&self, bytes: usize) -> bool {
        self.reservations.is_empty() || self.used + bytes <= self.limit
    }

    fn insert(&mut self, now: Micros, session: SessionId, bytes: usize) {
        self.used += bytes;
        let reservation = SpaceReservation { bytes, last_read: now, is_complete: false };
        self.reservations.insert(session, reservation);
    }

    /// Records that a session's request has arrived.
    pub(crate) fn complete(&mut self, session: SessionId) {
        if let Some(reservation) = self.reservations.get_mut(&session) {
            reservation.is_complete = true;
        }
    }

    /// Ends the reservation or the wait of a session. Returns whether [`RequestSpace::admit`] may admit others.
    pub(crate) fn release(&mut self, session: SessionId) -> bool {
        self.waiting.retain(|(waiting, _)| *waiting != session);
        if let Some(reservation) = self.reservations.remove(&session) {
            self.used -= reservation.bytes;
        }
        !self.waiting.is_empty()
    }

    /// Reserves space for the session that has waited longest, if there is enough; it may read on.
    pub(crate) fn admit(&mut self, now: Micros) -> Option<SessionId> {
        let (session, bytes) = *self.waiting.front()?;
        if !self.fits(bytes) {
            return None;
        }
        self.waiting.pop_front();
        self.insert(now, session, bytes);
        Some(session)
    }

    /// Returns the sessions whose clients do not send the rest of a request while others wait.
    pub(crate) fn stalled(&self, now: Micros) -> Vec<SessionId> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let stalled = self.reservations.iter().filter(|(_, reservation)| {
            !reservation.is_complete && now.saturating_sub(reservation.last_read) >= STALL_TIME
        });
        stalled.map(|(session, _)| *session).collect()
    }

    /// Returns the reserved bytes and the number of waiting sessions, for the counters.
    pub(crate) fn load(&self) -> (usize, usize) {
        (self.used, self.waiting.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: Micros = Micros::from_secs(5);

    fn space() -> RequestSpace {
        RequestSpace::new(1, 100_000)
    }

    /// Guards against a crowd whose requests are read all at once, and against one that takes the turn of those before it.
    #[test]
    fn sessions_wait_in_order_until_space_is_free() {
        let mut space = space();
        for id in 0..8 {
            assert!(space.reserve(START, SessionId(id), 100_000));
        }
        assert!(!space.reserve(START, SessionId(8), 100_000));
        assert!(!space.reserve(START, SessionId(8), 100_000), "it waits only once");
        assert!(!space.reserve(START, SessionId(9), 50_000));
        assert_eq!(space.admit(START), None);
        assert!(space.release(SessionId(3)));
        assert_eq!(space.admit(START), Some(SessionId(8)));
        assert_eq!(space.admit(START), None);
        assert!(space.release(SessionId(0)));
        assert_eq!(space.admit(START), Some(SessionId(9)));
        assert!(!space.release(SessionId(9)));
        assert_eq!(space.load(), (700_000, 0));
    }

    /// Guards against a session that is closed although nobody waits, or although it waits for its answer.
    #[test]
    fn only_clients_that_do_not_send_on_are_closed_for_others() {
        let mut space = space();
        for id in 0..8 {
            assert!(space.reserve(START, SessionId(id), 100_000));
        }
        space.complete(SessionId(1));
        let later = START + Micros::from_millis(2_500);
        for id in 2..8 {
            assert!(space.reserve(later, SessionId(id), 100_000));
        }
        assert_eq!(space.stalled(later), []);
        assert!(!space.reserve(later, SessionId(9), 100_000));
        assert_eq!(space.stalled(later), [SessionId(0)]);
    }

    /// Guards against a request that never fits, because it is larger than the space.
    #[test]
    fn a_single_request_always_fits() {
        let mut space = space();
        assert!(space.reserve(START, SessionId(1), 10_000_000));
        assert!(!space.reserve(START, SessionId(2), 10));
        space.release(SessionId(1));
        assert_eq!(space.admit(START), Some(SessionId(2)));
    }
}
