//! Counting allocator: live heap bytes and blocks by size, and the resident size that the kernel reports.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    fs,
    sync::atomic::{
        AtomicI64,
        Ordering::Relaxed, //
    },
};

/// Largest block size that is counted separately, in bytes. Larger blocks are counted as one size.
const SIZE_MAX: usize = 4_096;

/// Header that the system allocator puts before each block, in bytes.
const HEADER_LEN: i64 = 8;

/// Smallest block of the system allocator, in bytes, including its header.
const BLOCK_MIN: i64 = 32;

/// Granularity of block sizes, in bytes.
const BLOCK_UNIT: i64 = 16;

/// Live bytes, as requested from the allocator.
static LIVE: AtomicI64 = AtomicI64::new(0);
/// Live bytes, including the allocator's headers and rounding.
static TAKEN: AtomicI64 = AtomicI64::new(0);
static BLOCKS: [AtomicI64; SIZE_MAX + 1] = [const { AtomicI64::new(0) }; SIZE_MAX + 1];

/// The system allocator, with counts of live blocks.
struct Counting;

fn count(size: usize, blocks: i64) {
    let bytes = size as i64;
    let taken = (bytes + HEADER_LEN + BLOCK_UNIT - 1) / BLOCK_UNIT * BLOCK_UNIT;
    LIVE.fetch_add(bytes * blocks, Relaxed);
    TAKEN.fetch_add(taken.max(BLOCK_MIN) * blocks, Relaxed);
    BLOCKS[size.min(SIZE_MAX)].fetch_add(blocks, Relaxed);
}

// SAFETY: All calls are forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size(), 1);
        // SAFETY: The caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        count(layout.size(), -1);
        // SAFETY: The caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Snapshot of the heap.
pub(crate) struct Heap {
    live: i64,
    taken: i64,
    resident_kb: i64,
    blocks: Vec<i64>,
}

impl Heap {
    /// Takes a snapshot.
    pub(crate) fn now() -> Heap {
        Heap {
            live: LIVE.load(Relaxed),
            taken: TAKEN.load(Relaxed),
            resident_kb: resident_kb(),
            blocks: BLOCKS.iter().map(|n| n.load(Relaxed)).collect(),
        }
    }

    /// Prints the memory added after this snapshot, per service for `n` services.
    pub(crate) fn print(&self, what: &str, n: usize) {
        let now = Heap::now();
        let each = |bytes: i64| bytes as f64 / n as f64;
        println!(
            "{what:<44} {:>8.0} B {:>8.0} B {:>8.0} B",
            each(now.live - self.live),
            each(now.taken - self.taken),
            each((now.resident_kb - self.resident_kb) * 1024),
        );
    }

    /// Prints the block sizes of which more than one block per two services was added.
    pub(crate) fn print_sizes(&self, n: usize) {
        let now = Heap::now();
        let added = now
            .blocks
            .iter()
            .zip(&self.blocks)
            .map(|(now, then)| now - then);
        for (size, blocks) in added
            .enumerate()
            .filter(|(_, blocks)| *blocks * 2 > n as i64)
        {
            println!("    {size:>5} B x {:.2}", blocks as f64 / n as f64);
        }
    }
}

/// Returns the resident size of this process, in KB.
fn resident_kb() -> i64 {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let words = line.unwrap().split_whitespace().nth(1);
    words.unwrap().parse().unwrap()
}
