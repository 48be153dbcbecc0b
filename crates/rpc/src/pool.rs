//! Futures on the loop's thread.

use std::cell::RefCell;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};

use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use stakker::Core;

/// Runs futures from the stakker loop. Clones share one pool.
#[derive(Clone)]
pub struct TaskPool {
    state: Rc<PoolState>,
}

struct PoolState {
    tasks: RefCell<FuturesUnordered<LocalBoxFuture<'static, ()>>>,
    /// Apart from `tasks`, because a running task may spawn others.
    spawned: RefCell<Vec<LocalBoxFuture<'static, ()>>>,
    waker: Waker,
}

struct LoopWaker(stakker::Waker);

impl Wake for LoopWaker {
    fn wake(self: Arc<Self>) {
        self.0.wake();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.wake();
    }
}

impl TaskPool {
    /// Creates an empty pool. The loop must have a poll waker, as `stakker_mio::MioPoll` sets it up.
    pub fn new(core: &mut Core) -> Self {
        let state = Rc::new_cyclic(|weak: &Weak<PoolState>| {
            let weak = weak.clone();
            let waker = core.waker(move |_, _| {
                if let Some(state) = weak.upgrade() {
                    state.poll();
                }
            });
            PoolState {
                tasks: RefCell::default(),
                spawned: RefCell::default(),
                waker: Waker::from(Arc::new(LoopWaker(waker))),
            }
        });
        TaskPool { state }
    }

    /// Adds a future; it is polled for the first time by the loop.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.state.spawned.borrow_mut().push(Box::pin(task));
        self.state.waker.wake_by_ref();
    }

    /// Returns the number of unfinished tasks.
    pub fn len(&self) -> usize {
        let running = self.state.tasks.try_borrow().map_or(0, |tasks| tasks.len());
        running + self.state.spawned.borrow().len()
    }

    /// Tells whether all tasks are finished.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl PoolState {
    fn poll(&self) {
        let Ok(mut tasks) = self.tasks.try_borrow_mut() else { return };
        let mut context = Context::from_waker(&self.waker);
        loop {
            tasks.extend(self.spawned.take());
            match tasks.poll_next_unpin(&mut context) {
                Poll::Ready(Some(())) => {}
                Poll::Ready(None) | Poll::Pending if !self.spawned.borrow().is_empty() => {}
                Poll::Ready(None) | Poll::Pending => return,
            }
        }
    }
}
