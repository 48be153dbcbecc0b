//! Runs futures on the event loop's thread.

use std::cell::RefCell;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, Wake, Waker};

use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use model::FastMap;
use stakker::{Core, Deferrer};

/// Polls futures from the stakker event loop. Clones share one pool.
#[derive(Clone)]
pub struct TaskPool {
    state: Rc<PoolState>,
}

struct PoolState {
    tasks: RefCell<FuturesUnordered<LocalBoxFuture<'static, ()>>>,
    /// Separate from `tasks`, which is borrowed while a running task may spawn others.
    spawned: RefCell<Vec<LocalBoxFuture<'static, ()>>>,
    loop_waker: Arc<LoopWaker>,
    waker: Waker,
}

thread_local! {
    /// The pools of this thread by id. A waker must be `Send`, so it holds the id instead of the pool.
    static POOLS: RefCell<FastMap<u64, (Deferrer, Weak<PoolState>)>> = RefCell::default();
}

static NEXT_POOL_ID: AtomicU64 = AtomicU64::new(0);

/// Schedules a poll of the pool. On the pool's own thread, which is the usual case, the poll is queued
/// directly and needs no system call.
struct LoopWaker {
    pool_id: u64,
    scheduled: AtomicBool,
    /// Wakes the event loop from another thread.
    remote_waker: stakker::Waker,
}

impl LoopWaker {
    fn schedule(&self) {
        if self.scheduled.swap(true, Ordering::AcqRel) {
            return;
        }
        let queued = POOLS.try_with(|pools| {
            let pools = pools.borrow();
            let Some((deferrer, state)) = pools.get(&self.pool_id) else { return false };
            let state = state.clone();
            deferrer.defer(move |_| {
                if let Some(state) = state.upgrade() {
                    state.poll();
                }
            });
            true
        });
        if !queued.unwrap_or(false) {
            self.remote_waker.wake();
        }
    }
}

impl Wake for LoopWaker {
    fn wake(self: Arc<Self>) {
        self.schedule();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.schedule();
    }
}

impl TaskPool {
    /// Creates an empty pool. The event loop must have a poll waker, which `stakker_mio::MioPoll`
    /// sets up.
    pub fn new(core: &mut Core) -> Self {
        let id = NEXT_POOL_ID.fetch_add(1, Ordering::Relaxed);
        let state = Rc::new_cyclic(|weak: &Weak<PoolState>| {
            let weak = weak.clone();
            let remote_waker = core.waker(move |_, _| {
                if let Some(state) = weak.upgrade() {
                    state.poll();
                }
            });
            let loop_waker = Arc::new(LoopWaker {
                pool_id: id,
                scheduled: AtomicBool::new(false),
                remote_waker,
            });
            PoolState {
                tasks: RefCell::default(),
                spawned: RefCell::default(),
                waker: Waker::from(loop_waker.clone()),
                loop_waker,
            }
        });
        let entry = (core.deferrer(), Rc::downgrade(&state));
        POOLS.with(|pools| pools.borrow_mut().insert(id, entry));
        TaskPool { state }
    }

    /// Adds a future. The event loop polls it for the first time.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.state.spawned.borrow_mut().push(Box::pin(task));
        self.state.waker.wake_by_ref();
    }

    /// Returns the number of unfinished tasks.
    pub fn len(&self) -> usize {
        let running = self.state.tasks.try_borrow().map_or(0, |tasks| tasks.len());
        running + self.state.spawned.borrow().len()
    }

    /// Returns whether all tasks are finished.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl PoolState {
    fn poll(&self) {
        self.loop_waker.scheduled.store(false, Ordering::Release);
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

impl Drop for PoolState {
    fn drop(&mut self) {
        // Fails during thread shutdown if the thread-local table is already destroyed.
        let _ = POOLS.try_with(|pools| pools.borrow_mut().remove(&self.loop_waker.pool_id));
    }
}
