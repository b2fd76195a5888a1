//! Arbitrary bytes are refused or decoded without a panic.

mod support;

use foxtailhinge_wire::{
    coap::Datagram,
    message::{
        OwnerReply,
        RelayMessage, //
    },
};
use quickcheck::TestResult;
use rstest::rstest;
use support::{
    check,
    peer_keys,
    ticket_keys,
    SERVICE, //
};

/// A datagram that decodes must encode to the same bytes.
fn round_trips(buf: &[u8]) -> TestResult {
    match Datagram::parse(buf) {
        Err(_) => TestResult::discard(),
        Ok(datagram) => TestResult::from_bool(datagram.to_bytes() == buf),
    }
}

#[test]
fn any_bytes_as_a_ticket() {
    fn property(buf: Vec<u8>) -> bool {
        ticket_keys().open(&buf, SERVICE).is_err()
    }
    check(1000, property as fn(_) -> _);
}

#[test]
fn any_bytes_as_an_envelope() {
    fn property(buf: Vec<u8>) -> bool {
        let keys = peer_keys();
        keys.open::<RelayMessage>(1, &buf).is_err() && keys.open::<OwnerReply>(1, &buf).is_err()
    }
    check(1000, property as fn(_) -> _);
}

#[test]
fn any_bytes_as_a_datagram() {
    fn property(buf: Vec<u8>) -> TestResult {
        round_trips(&buf)
    }
    check(100, property as fn(_) -> _);
}

#[test]
fn any_bytes_after_a_datagram_header() {
    fn property(head: u8, code: u8, rest: Vec<u8>) -> TestResult {
        let mut buf = vec![0x40 | head & 0x3f, code, 0, 1];
        buf.extend(rest);
        round_trips(&buf)
    }
    check(1000, property as fn(_, _, _) -> _);
}

/// None of these is a CoAP message according to RFC 7252, section 3.
#[rstest]
#[case::empty(&[])]
#[case::short_header(&[0x40, 1, 0])]
#[case::version_0(&[0x00, 1, 0, 1])]
#[case::version_2(&[0x80, 1, 0, 1])]
#[case::token_length_9(&[0x49, 1, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9])]
#[case::token_length_15(&[0x4f, 1, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15])]
#[case::token_cut(&[0x44, 1, 0, 1, 1, 2])]
#[case::option_delta_15(&[0x40, 1, 0, 1, 0xf0])]
#[case::option_length_15(&[0x40, 1, 0, 1, 0x1f])]
#[case::option_delta_byte_missing(&[0x40, 1, 0, 1, 0xd0])]
#[case::option_delta_word_missing(&[0x40, 1, 0, 1, 0xe0, 0xff])]
#[case::option_length_byte_missing(&[0x40, 1, 0, 1, 0x1d])]
#[case::option_length_word_missing(&[0x40, 1, 0, 1, 0x1e, 0xff])]
#[case::option_value_cut(&[0x40, 1, 0, 1, 0x12, 1])]
#[case::option_delta_over_u16(&[0x40, 1, 0, 1, 0xe0, 0xff, 0xff])]
#[case::option_sum_over_u16(&[0x40, 1, 0, 1, 0xe0, 0xf0, 0, 0xe0, 0xf0, 0])]
#[case::option_length_over_the_rest(&[0x40, 1, 0, 1, 0x1e, 0xff, 0xff, 0])]
#[case::payload_marker_alone(&[0x40, 1, 0, 1, 0xff])]
#[case::empty_message_with_token(&[0x41, 0, 0, 1, 9])]
#[case::empty_message_with_payload(&[0x40, 0, 0, 1, 0xff, 1])]
#[case::reserved_class_1(&[0x40, 0x21, 0, 1])]
#[case::reserved_class_7(&[0x40, 0xe1, 0, 1])]
fn malformed_datagram(#[case] buf: &[u8]) {
    assert!(Datagram::parse(buf).is_err());
}

/// A code of a known class passes through, whether it is registered or not.
#[rstest]
#[case::request(0x08)]
#[case::last_request(0x1f)]
#[case::response(0x5f)]
#[case::client_error(0x9f)]
#[case::server_error(0xbf)]
fn unregistered_code(#[case] code: u8) {
    let buf = [0x40, code, 0, 1];
    assert_eq!(
        Datagram::parse(&buf).map(|d| d.to_bytes()),
        Ok(buf.to_vec())
    );
}
