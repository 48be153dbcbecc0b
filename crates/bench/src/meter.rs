//! Counts allocations and processor time of the current thread.

// The allocator and the thread clock have no safe interface.
#![allow(unsafe_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::time::Duration;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
    static HELD_BYTES: Cell<i64> = const { Cell::new(0) };
}

/// The system allocator with counters of allocations and held bytes for each thread. Binaries and
/// tests that need the counters install it as the global allocator.
pub struct CountingAllocator;

impl CountingAllocator {
    fn record(bytes: i64) {
        // Fails only while a thread ends.
        let _ = ALLOCATIONS.try_with(|count| count.set(count.get() + u64::from(bytes > 0)));
        let _ = HELD_BYTES.try_with(|held| held.set(held.get() + bytes));
    }
}

// SAFETY: every call is forwarded unchanged to the system allocator; counting does not allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        CountingAllocator::record(layout.size() as i64);
        // SAFETY: the caller upholds the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        CountingAllocator::record(-(layout.size() as i64));
        // SAFETY: `block` came from `System.alloc` with this layout.
        unsafe { System.dealloc(block, layout) }
    }
}

/// Returns the number of allocations of this thread; 0 without [`CountingAllocator`].
pub fn allocations() -> u64 {
    ALLOCATIONS.with(Cell::get)
}

/// Returns the bytes that this thread allocated and did not free.
pub fn held_bytes() -> i64 {
    HELD_BYTES.with(Cell::get)
}

/// Returns the processor time of this thread.
pub fn thread_time() -> Duration {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid for the call. It cannot fail with this clock.
    unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
