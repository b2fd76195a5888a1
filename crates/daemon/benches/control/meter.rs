//! Memory and processor time of this thread.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell,
    time::Duration, //
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

/// Returns the processor time of this thread.
pub(crate) fn cpu() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: The pointer is to a valid value of the type that the call fills.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    assert_eq!(failed, 0);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the processor time of one of `n` calls, the least of five runs.
pub(crate) fn time(n: u32, mut call: impl FnMut()) -> Duration {
    let mut run = || {
        let before = cpu();
        (0..n).for_each(|_| call());
        (cpu() - before) / n
    };
    (0..5).map(|_| run()).min().unwrap_or_default()
}

/// Prints one figure.
pub(crate) fn print(what: &str, n: usize, figure: impl std::fmt::Display) {
    println!("{what:<52} {n:>6}  {figure}");
}

/// Returns a duration in microseconds.
pub(crate) fn us(time: Duration) -> String {
    format!("{:.3} us", time.as_secs_f64() * 1e6)
}
