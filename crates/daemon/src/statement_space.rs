//! Memory for the prepared statements of all sessions together.
//!
//! A session may keep a few statements in any case. Beyond that, its statements share a space with those of the others, in
//! addition to the limits of a session.

use std::cell::Cell;
use std::rc::Rc;

/// Statements that a session may keep in any case: some dozens of ordinary length.
const FREE_STATEMENT_BYTES: usize = 4 * 1024;

/// Space for each client that may connect: 320 MB for 20,000, as much as their input may take.
const BYTES_PER_CALLER: usize = 16 * 1024;

/// Space in any case: eight sessions with as many statements as a session may have.
const MIN_SPACE_BYTES: usize = 8 * 1024 * 1024;

/// The space that all sessions of an event loop share.
#[derive(Debug)]
pub(crate) struct StatementSpace {
    limit: usize,
    used: Cell<usize>,
}

impl StatementSpace {
    pub(crate) fn new(caller_limit: usize) -> Rc<StatementSpace> {
        let limit = (caller_limit * BYTES_PER_CALLER).max(MIN_SPACE_BYTES);
        Rc::new(StatementSpace { limit, used: Cell::new(0) })
    }

    pub(crate) fn used_bytes(&self) -> usize {
        self.used.get()
    }
}

/// The part of a session, returned on drop.
#[derive(Debug)]
pub(crate) struct StatementShare {
    space: Rc<StatementSpace>,
    bytes: usize,
}

impl StatementShare {
    pub(crate) fn new(space: Rc<StatementSpace>) -> StatementShare {
        StatementShare { space, bytes: 0 }
    }

    /// Sets the size of the session's statements. Returns whether they may have it; a smaller size is always accepted.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let others = self.space.used.get() - self.bytes;
        let fits =
            bytes <= self.bytes.max(FREE_STATEMENT_BYTES) || others + bytes <= self.space.limit;
        if fits {
            self.space.used.set(others + bytes);
            self.bytes = bytes;
        }
        fits
    }
}

impl Drop for StatementShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}
