//! What a service takes of a daemon that has nothing to do: memory and open files.

mod whole;

use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell,
    fs,
    net::Ipv4Addr,
    time::Duration, //
};

/// Memory of a daemon at the size to design for, in bytes.
const MEMORY: i64 = 32 * 1024 * 1024;

/// Services at the size to design for.
const SERVICES: i64 = 7_300;

/// Services that are put in force here; a soft limit of 1,024 open files is usual.
const MEASURED: usize = 400;

/// Time that spawned tasks get to begin.
const SETTLE: Duration = Duration::from_millis(200);

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

fn open_files() -> usize {
    fs::read_dir("/proc/self/fd").unwrap().count()
}

/// The only test of this process, since it counts the process's files.
#[test]
fn a_service_takes_one_open_file_and_its_share_of_the_memory() {
    let ip = Ipv4Addr::new(127, 198, (std::process::id() % 250) as u8, 1);
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    let (bytes, files) = runtime.block_on(async {
        let path = whole::daemon(ip);
        let before = (LIVE.get(), open_files());
        whole::fill(&path.control, MEASURED);
        monoio::time::sleep(SETTLE).await;
        assert_eq!(path.services.borrow().len(), MEASURED);
        (LIVE.get() - before.0, open_files() - before.1)
    });
    // Tasks that wait are not to be woken by what is dropped.
    std::mem::forget(runtime);
    assert_eq!(files, MEASURED);
    let each = bytes / MEASURED as i64;
    let share = MEMORY / SERVICES;
    assert!(each < share, "{each} B a service, of {share} B");
}
