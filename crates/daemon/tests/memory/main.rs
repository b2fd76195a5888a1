//! What a service takes of a daemon that has nothing to do: memory and open files.

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

/// Memory of a daemon at the size to design for, in bytes.
const MEMORY: i64 = 32 * 1024 * 1024;

/// Services at the size to design for.
const SERVICES: i64 = 7_300;

/// Services that are put in force here; a soft limit of 1,024 open files is usual.
const MEASURED: usize = 400;

/// Time that spawned tasks get to begin.
const SETTLE: Duration = Duration::from_millis(200);

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
        let path = fixture::daemon(ip);
        let before = (live_bytes(), open_files());
        fixture::fill(&path.control, MEASURED);
        monoio::time::sleep(SETTLE).await;
        assert_eq!(path.services.borrow().len(), MEASURED);
        (live_bytes() - before.0, open_files() - before.1)
    });
    // Tasks that wait are not to be woken by what is dropped.
    std::mem::forget(runtime);
    assert_eq!(files, MEASURED);
    let each = bytes / MEASURED as i64;
    let share = MEMORY / SERVICES;
    assert!(each < share, "{each} B a service, of {share} B");
}
