//! Memory that bytes from the network can make a daemon ask for.

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

/// Bytes that one node of the codec's option map takes, whatever the datagram's length.
const OPTION_NODE: usize = 512;

/// Bytes that the options of one datagram take in all, each in a list node of its own.
const OPTIONS_TOTAL: usize = 8 * 1024;

thread_local! {
    static LARGEST: Cell<usize> = const { Cell::new(0) };
    static TOTAL: Cell<usize> = const { Cell::new(0) };
}

struct Counting;

// SAFETY: Every call goes to the system's allocator unchanged; the counters do not allocate.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = LARGEST.try_with(|largest| largest.set(largest.get().max(layout.size())));
        let _ = TOTAL.try_with(|total| total.set(total.get() + layout.size()));
        // SAFETY: The caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: The caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Bytes asked for by `work`: the largest request and the sum.
fn allocated<T>(work: impl FnOnce() -> T) -> (usize, usize) {
    LARGEST.set(0);
    TOTAL.set(0);
    let result = work();
    let counts = (LARGEST.get(), TOTAL.get());
    drop(result);
    counts
}

#[test]
fn a_datagram_takes_little_more_than_its_length() {
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

/// The worst case: as many options as are let through, all different and without a value.
#[test]
fn many_options_take_bounded_memory() {
    let mut buf = vec![0x40, 1, 0, 1];
    buf.resize(4 + OPTIONS_MAX, 0x10);
    let (largest, total) = allocated(|| Datagram::parse(&buf).unwrap());
    assert!(largest <= OPTION_NODE, "{largest} bytes at once");
    assert!(total <= OPTIONS_TOTAL, "{total} bytes in all");
}

#[test]
fn refused_options_take_no_memory() {
    let mut buf = vec![0x40, 1, 0, 1];
    buf.resize(4 + OPTIONS_MAX + 1, 0x10);
    assert_eq!(allocated(|| Datagram::parse(&buf)), (0, 0));
}

/// Nothing is decoded, hence nothing allocated, before a MAC was checked.
#[test]
fn what_is_not_authentic_takes_no_memory() {
    fn property(buf: Vec<u8>) -> bool {
        let (tickets, peers) = (ticket_keys(), peer_keys());
        allocated(|| tickets.open(&buf, SERVICE).is_err()) == (0, 0)
            && allocated(|| peers.open::<RelayMessage>(1, &buf).is_err()) == (0, 0)
    }
    check(1000, property as fn(_) -> _);
}

/// A length field in an authentic envelope asks for at most 16 times the body, and at least 1 KB.
#[test]
fn a_length_field_asks_for_bounded_memory() {
    let datagram = post().to_bytes();
    let claim = [3, 5, 253, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];
    let lengths = [251u64, 1000, 4000, 16_000, 64_000, 1 << 20, 1 << 40];
    for len in lengths {
        for padding in [0, datagram.len(), 1200, 60_000] {
            let mut body = claim.to_vec();
            body[3..].copy_from_slice(&len.to_le_bytes());
            body.resize(body.len() + padding, 0);
            let buf = peer_keys().seal(1, 2, 3, &support::Raw(body.clone()));
            let keys = peer_keys();
            let (largest, _) = allocated(|| keys.open::<RelayMessage>(3, &buf).is_err());
            let bound = (16 * body.len()).max(1024);
            assert!(
                largest <= bound,
                "{largest} bytes of {bound} for a list of {len}"
            );
        }
    }
}
