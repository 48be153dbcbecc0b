//! Flow control for chunks of answers.

/// Holds a chunk's share of its source's flow-control window and returns it on drop.
///
/// ```
/// use std::{cell::Cell, rc::Rc};
/// let free = Rc::new(Cell::new(0));
/// let window = free.clone();
/// let permit = rpc::ChunkPermit::new(move || window.set(window.get() + 10));
/// drop(permit);
/// assert_eq!(free.get(), 10);
/// ```
pub struct ChunkPermit {
    release: Option<Box<dyn FnOnce()>>,
}

impl ChunkPermit {
    /// Creates a permit that calls `release` when it is dropped.
    pub fn new(release: impl FnOnce() + 'static) -> Self {
        ChunkPermit { release: Some(Box::new(release)) }
    }

    /// Creates a permit for a chunk that no window accounts for.
    pub fn untracked() -> Self {
        ChunkPermit { release: None }
    }
}

impl Drop for ChunkPermit {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release();
        }
    }
}
