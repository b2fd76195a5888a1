//! Memory and processor time of this thread.

#[path = "../../tests/memory/live.rs"]
mod live;

pub(crate) use live::live_bytes;

use std::time::Duration;

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

/// Returns the processor time per call of `n` calls, the minimum of five runs.
pub(crate) fn time(n: u32, mut call: impl FnMut()) -> Duration {
    let mut run = || {
        let before = cpu();
        (0..n).for_each(|_| call());
        (cpu() - before) / n
    };
    (0..5).map(|_| run()).min().unwrap_or_default()
}

/// Prints one measured figure, for `n` members or documents.
pub(crate) fn print(what: &str, n: usize, figure: impl std::fmt::Display) {
    println!("{what:<52} {n:>6}  {figure}");
}

/// Returns a duration in microseconds.
pub(crate) fn us(time: Duration) -> String {
    format!("{:.3} us", time.as_secs_f64() * 1e6)
}
