//! Memory and open files per service of an idle daemon.

mod fixture;
mod live;

use live::live_bytes;
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    fs,
    net::Ipv4Addr,
    time::Duration, //
};

/// Memory budget of a daemon with [`SERVICES`] services, in bytes.
const MEMORY_MAX: i64 = 32 * 1024 * 1024;

/// Design size: number of services of a daemon.
const SERVICES: i64 = 7_300;

/// Services of this test. Each has an open file, and the usual soft limit is 1,024 open files.
const MEASURED: usize = 400;

/// Time that spawned tasks get to start.
const SETTLE: Duration = Duration::from_millis(200);

fn open_files() -> usize {
    fs::read_dir("/proc/self/fd").unwrap().count()
}

/// This must be the only test of its process, because it counts all open files of the process.
#[test]
fn a_service_uses_one_open_file_and_at_most_its_share_of_the_memory() {
    let ip = Ipv4Addr::new(127, 198, (std::process::id() % 250) as u8, 1);
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    let (bytes, files) = runtime.block_on(async {
        let path = fixture::daemon(ip);
        let before = (live_bytes(), open_files());
        fixture::fill(&path.control, MEASURED);
        monoio::time::sleep(SETTLE).await;
        assert_eq!(path.services.borrow().len(), MEASURED);
        (live_bytes() - before.0, open_files() - before.1)
    });
    // Skips the drop of the runtime: dropped values would wake waiting tasks, which monoio does not support outside
    // of a runtime.
    std::mem::forget(runtime);
    assert_eq!(files, MEASURED);
    let each = bytes / MEASURED as i64;
    let share = MEMORY_MAX / SERVICES;
    assert!(
        each < share,
        "{each} B per service; at most {share} B are allowed"
    );
}
