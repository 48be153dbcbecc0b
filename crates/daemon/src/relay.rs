//! Relaying answers within bounds.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use futures::channel::mpsc;
use rpc::{AnswerPart, CHUNK_BYTES, ChunkPermit};
use stakker::{Actor, Core, Fwd, call};

use crate::session::ClientSession;

/// Bytes of one run's answer that may be on their way to the caller. With the socket buffers of the
/// system it bounds what a slow caller costs.
pub(crate) const WINDOW_BYTES: usize = 256 * 1024;

/// Counts what a source has relayed and not yet got written.
pub(crate) struct RelayWindow {
    in_flight: Cell<usize>,
    paused: Cell<bool>,
    /// Called when a paused source may continue.
    resume: Fwd<()>,
}

impl RelayWindow {
    /// Creates an empty window.
    pub(crate) fn new(resume: Fwd<()>) -> Rc<Self> {
        Rc::new(RelayWindow { in_flight: Cell::new(0), paused: Cell::new(false), resume })
    }

    /// Accounts for a chunk until the permit is dropped.
    pub(crate) fn acquire(self: &Rc<Self>, bytes: usize) -> ChunkPermit {
        self.in_flight.set(self.in_flight.get() + bytes);
        let window = self.clone();
        ChunkPermit::new(move || window.release(bytes))
    }

    /// Tells whether the source must stop; it is then told when to continue.
    pub(crate) fn pause_if_full(&self) -> bool {
        let full = self.in_flight.get() >= WINDOW_BYTES;
        if full {
            self.paused.set(true);
        }
        full
    }

    /// Returns the bytes in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    fn release(&self, bytes: usize) {
        self.in_flight.set(self.in_flight.get().saturating_sub(bytes));
        if self.paused.get() && self.in_flight.get() <= WINDOW_BYTES / 2 {
            self.paused.set(false);
            self.resume.fwd(());
        }
    }
}

/// Where an answer goes.
#[derive(Clone)]
pub(crate) enum AnswerSink {
    /// The request with this number of a session here. Parts for another request are dropped.
    Session { session: Actor<ClientSession>, request: u64 },
    /// A peer's call.
    Call(mpsc::UnboundedSender<AnswerPart>),
}

impl AnswerSink {
    /// Passes a part of the answer on.
    pub(crate) fn send(&self, core: &mut Core, mut bytes: Bytes, permit: ChunkPermit) {
        match self {
            AnswerSink::Session { session, request } => {
                call!([session, core], answer(*request, bytes, permit));
            }
            AnswerSink::Call(answers) => {
                let permit = Rc::new(permit);
                while !bytes.is_empty() {
                    let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES));
                    let share = permit.clone();
                    let part = AnswerPart::Chunk(chunk, ChunkPermit::new(move || drop(share)));
                    // Fails when the peer gave up; the permit is then returned at once.
                    let _ = answers.unbounded_send(part);
                }
            }
        }
    }
}
