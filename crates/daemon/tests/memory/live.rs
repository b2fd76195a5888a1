//! Live bytes of this thread.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell, //
};

thread_local! {
    static LIVE: Cell<i64> = const { Cell::new(0) };
}

/// The system's allocator, with a count of the live bytes of each thread.
struct Counting;

// SAFETY: All calls are passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = LIVE.try_with(|live| live.set(live.get() + layout.size() as i64));
        // SAFETY: The caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        let _ = LIVE.try_with(|live| live.set(live.get() - layout.size() as i64));
        // SAFETY: The caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Returns the live bytes of this thread.
pub(crate) fn live_bytes() -> i64 {
    LIVE.with(Cell::get)
}
