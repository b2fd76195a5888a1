//! Memory that input from the network can make a daemon allocate.

mod support;

use foxtailhinge_wire::{
    coap::{
        Datagram,
        OPTIONS_MAX, //
    },
    message::RelayMessage, //
};
use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell,
};
use support::{
    check,
    peer_keys,
    post,
    ticket_keys,
    SERVICE, //
};

/// Size of one node of the codec's option map, in bytes; it does not depend on the datagram's length.
const OPTION_NODE: usize = 512;

/// Upper limit of the memory for all options of one datagram, each in a list node of its own.
const OPTIONS_TOTAL: usize = 8 * 1024;

thread_local! {
    static LARGEST: Cell<usize> = const { Cell::new(0) };
    static TOTAL: Cell<usize> = const { Cell::new(0) };
}

struct Counting;

// SAFETY: Every call is forwarded to the system's allocator; the counters do not allocate.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = LARGEST.try_with(|largest| largest.set(largest.get().max(layout.size())));
        let _ = TOTAL.try_with(|total| total.set(total.get() + layout.size()));
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Bytes that `work` allocates: the largest allocation and the sum.
fn allocated<T>(work: impl FnOnce() -> T) -> (usize, usize) {
    LARGEST.set(0);
    TOTAL.set(0);
    let result = work();
    let counts = (LARGEST.get(), TOTAL.get());
    drop(result);
    counts
}

#[test]
fn memory_for_a_datagram_is_bounded_by_its_length() {
    fn property(token: u8, options: Vec<u8>, payload: Vec<u8>) -> bool {
        let mut buf = vec![0x40 | token & 0x0f, 1, 0, 1];
        buf.extend(options);
        buf.push(0xff);
        buf.extend(payload);
        let (largest, total) = allocated(|| Datagram::parse(&buf));
        largest <= buf.len().max(OPTION_NODE) && total <= 2 * buf.len() + OPTIONS_TOTAL
    }
    check(3000, property as fn(_, _, _) -> _);
}

/// The worst case: the maximum number of options, all different and without a value.
#[test]
fn memory_for_many_options_is_bounded() {
    let mut buf = vec![0x40, 1, 0, 1];
    buf.resize(4 + OPTIONS_MAX, 0x10);
    let (largest, total) = allocated(|| Datagram::parse(&buf).unwrap());
    assert!(largest <= OPTION_NODE, "one allocation of {largest} bytes");
    assert!(total <= OPTIONS_TOTAL, "{total} bytes in total");
}

#[test]
fn refused_options_allocate_nothing() {
    let mut buf = vec![0x40, 1, 0, 1];
    buf.resize(4 + OPTIONS_MAX + 1, 0x10);
    assert_eq!(allocated(|| Datagram::parse(&buf)), (0, 0));
}

/// Nothing is decoded, and so nothing allocated, before the MAC is checked.
#[test]
fn unauthenticated_input_allocates_nothing() {
    fn property(buf: Vec<u8>) -> bool {
        let (tickets, peers) = (ticket_keys(), peer_keys());
        allocated(|| tickets.open(&buf, SERVICE).is_err()) == (0, 0)
            && allocated(|| peers.open::<RelayMessage>(1, &buf).is_err()) == (0, 0)
    }
    check(1000, property as fn(_) -> _);
}

/// A forged length field in an authentic envelope allocates at most 16 times the body's length, or
/// 1 KiB for short bodies.
#[test]
fn memory_for_a_length_field_is_bounded() {
    let datagram = post().to_bytes();
    let length_field = [3, 5, 253, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];
    let lengths = [251u64, 1000, 4000, 16_000, 64_000, 1 << 20, 1 << 40];
    for len in lengths {
        for padding in [0, datagram.len(), 1200, 60_000] {
            let mut body = length_field.to_vec();
            body[3..].copy_from_slice(&len.to_le_bytes());
            body.resize(body.len() + padding, 0);
            let buf = peer_keys().seal(1, 2, 3, &support::Raw(body.clone()));
            let keys = peer_keys();
            let (largest, _) = allocated(|| keys.open::<RelayMessage>(3, &buf).is_err());
            let bound = (16 * body.len()).max(1024);
            assert!(
                largest <= bound,
                "{largest} bytes for a list of {len}, more than {bound}"
            );
        }
    }
}
