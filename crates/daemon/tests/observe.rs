//! Observe values that callers get from one owner after another.

use foxtailhinge::exchange::{
    feed::{
        next_observe_value,
        Feed, //
    },
    token::CallerToken,
};
use foxtailhinge_wire::coap::{
    Datagram,
    Method, //
};
use rstest::rstest;
use std::time::Instant;

/// Whether a caller takes `value` for newer than `than` (RFC 7641, section 3.4).
fn is_newer(value: u32, than: u32) -> bool {
    let half = 1 << 23;
    (than < value && value - than < half) || (than > value && than - value > half)
}

fn feed() -> Feed {
    let caller = "192.0.2.1:5683".parse().unwrap();
    let request = Datagram::request(Method::Get, "/cues").with_token(&[1]);
    let token = CallerToken::of(caller, &request);
    Feed::new(token, 1, 2, 3, request, Instant::now())
}

/// The clock may stand anywhere in its range when an owner begins.
#[rstest]
#[case::first_half(0x10_0000)]
#[case::second_half(0x90_0000)]
#[case::wraps(0xff_ffff)]
fn values_grow_with_the_clock(#[case] clock: u32) {
    let first = next_observe_value(clock.wrapping_sub(1) & 0xff_ffff, clock);
    let burst = next_observe_value(first, clock);
    let later = next_observe_value(burst, clock.wrapping_add(60) & 0xff_ffff);
    assert_eq!(first, clock);
    assert!(is_newer(burst, first));
    assert!(is_newer(later, burst));
}

/// An owner that begins a feed after a crash must not begin below what the former owner sent.
#[test]
fn a_second_owner_goes_on_above_the_first() {
    let mut first = feed();
    let sent = first.next_observe();
    let mut second = feed();
    let next = second.next_observe();
    assert!(next == sent || is_newer(next, sent), "{next} after {sent}");
}
