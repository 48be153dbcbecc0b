//! Flow control for relayed answers.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use futures::channel::mpsc;
use rpc::{AnswerPart, CHUNK_BYTES, ChunkPermit};
use stakker::{Actor, Core, Fwd, call};

use crate::session::ClientSession;

/// Maximum bytes of one exchange's answer in flight to the client. With the socket buffers of the
/// system it bounds the memory that a slow client takes.
pub(crate) const WINDOW_BYTES: usize = 256 * 1024;

/// Counts the bytes that a source has relayed and that have not been written yet.
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

    /// Counts a chunk as in flight until the permit is dropped.
    pub(crate) fn acquire(self: &Rc<Self>, bytes: usize) -> ChunkPermit {
        self.in_flight.set(self.in_flight.get() + bytes);
        let window = self.clone();
        ChunkPermit::new(move || window.release(bytes))
    }

    /// Returns whether the source must pause, in which case `resume` is called when it may continue.
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

/// Destination of an answer.
#[derive(Clone)]
pub(crate) enum AnswerSink {
    /// A session of this node and the number of its request. Parts for another request are dropped.
    Session { session: Actor<ClientSession>, request: u64 },
    /// A call from a peer.
    Call(mpsc::UnboundedSender<AnswerPart>),
}

impl AnswerSink {
    /// Passes on a part of the answer.
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
                    // Fails if the peer dropped the call; the permit is then returned at once.
                    let _ = answers.unbounded_send(part);
                }
            }
        }
    }
}
