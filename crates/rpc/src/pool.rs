//! Futures on the loop's thread.

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

/// Runs futures from the stakker loop. Clones share one pool.
#[derive(Clone)]
pub struct TaskPool {
    state: Rc<PoolState>,
}

struct PoolState {
    tasks: RefCell<FuturesUnordered<LocalBoxFuture<'static, ()>>>,
    /// Apart from `tasks`, because a running task may spawn others.
    spawned: RefCell<Vec<LocalBoxFuture<'static, ()>>>,
    alarm: Arc<LoopWaker>,
    waker: Waker,
}

thread_local! {
    /// The pools of this thread. A waker must be `Send`, so it finds its pool by number.
    static POOLS: RefCell<FastMap<u64, (Deferrer, Weak<PoolState>)>> = RefCell::default();
}

static NEXT_POOL: AtomicU64 = AtomicU64::new(0);

/// Schedules a poll. On the pool's own thread, which is the usual case, it is queued directly and
/// needs no system call.
struct LoopWaker {
    pool: u64,
    scheduled: AtomicBool,
    remote: stakker::Waker,
}

impl LoopWaker {
    fn schedule(&self) {
        if self.scheduled.swap(true, Ordering::AcqRel) {
            return;
        }
        let queued = POOLS.try_with(|pools| {
            let pools = pools.borrow();
            let Some((deferrer, state)) = pools.get(&self.pool) else { return false };
            let state = state.clone();
            deferrer.defer(move |_| {
                if let Some(state) = state.upgrade() {
                    state.poll();
                }
            });
            true
        });
        if !queued.unwrap_or(false) {
            self.remote.wake();
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
    /// Creates an empty pool. The loop must have a poll waker, as `stakker_mio::MioPoll` sets it up.
    pub fn new(core: &mut Core) -> Self {
        let pool = NEXT_POOL.fetch_add(1, Ordering::Relaxed);
        let state = Rc::new_cyclic(|weak: &Weak<PoolState>| {
            let weak = weak.clone();
            let remote = core.waker(move |_, _| {
                if let Some(state) = weak.upgrade() {
                    state.poll();
                }
            });
            let alarm = Arc::new(LoopWaker { pool, scheduled: AtomicBool::new(false), remote });
            PoolState {
                tasks: RefCell::default(),
                spawned: RefCell::default(),
                waker: Waker::from(alarm.clone()),
                alarm,
            }
        });
        let entry = (core.deferrer(), Rc::downgrade(&state));
        POOLS.with(|pools| pools.borrow_mut().insert(pool, entry));
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
        self.alarm.scheduled.store(false, Ordering::Release);
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
        // Fails while the thread ends, when the table is gone as well.
        let _ = POOLS.try_with(|pools| pools.borrow_mut().remove(&self.alarm.pool));
    }
}
