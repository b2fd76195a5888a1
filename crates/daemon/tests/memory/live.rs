//! Counting allocator: live heap bytes of the current thread.

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

/// The system allocator, with a count of live bytes per thread.
struct Counting;

// SAFETY: All calls are forwarded unchanged to the system allocator.
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

/// Returns the live heap bytes that the current thread allocated.
pub(crate) fn live_bytes() -> i64 {
    LIVE.with(Cell::get)
}
