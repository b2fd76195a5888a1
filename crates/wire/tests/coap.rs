//! Encoding, decoding and accessors of CoAP datagrams.

mod support;

use foxtailhinge_wire::coap::{
    Block,
    CoapError,
    Code,
    Datagram,
    Kind,
    Method,
    Status,
    OPTIONS_MAX, //
};
use rstest::rstest;
use std::time::Duration;
use support::{
    feed,
    post, //
};

fn hex(buf: &[u8]) -> String {
    buf.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn written_bytes() {
    let mut res = Datagram::response_to(&post(), Status::ServiceUnavailable, 9);
    res.set_max_age(Duration::from_millis(1500));
    let written = [
        post().to_bytes(),
        feed().to_bytes(),
        res.to_bytes(),
        Datagram::reset(5).to_bytes(),
    ];
    insta::assert_snapshot!(written.map(|buf| hex(&buf)).join("\n"));
}

#[test]
fn request_accessors() {
    let req = Datagram::parse(&post().to_bytes()).unwrap();
    assert_eq!(req.kind(), Kind::Con);
    assert_eq!(req.message_id(), 0x1234);
    assert_eq!(req.token(), [1, 2, 3, 4]);
    assert_eq!(req.method(), Some(Method::Post));
    assert_eq!(req.path(), "/clearances");
    assert_eq!(req.echo().map(<[u8]>::len), Some(40));
    assert_eq!(req.deadline(), Some(Duration::from_secs(5)));
    assert_eq!(req.observe(), None);
    assert_eq!(req.payload(), b"track 7");
}

/// Clones share their message; a change must copy it first.
#[test]
fn changing_a_clone_keeps_the_original() {
    let original = post();
    let written = original.to_bytes();
    let mut changed = original.clone();
    changed.set_token(&[9, 9]);
    changed.set_kind(Kind::Non);
    changed.set_message_id(7);
    changed.set_deadline(Duration::from_secs(1));
    changed.set_payload(Vec::new());
    changed.remove_echo();
    assert_eq!(original.to_bytes(), written);
    assert_ne!(changed, original);
}

#[test]
fn without_echo_keeps_everything_else() {
    let original = post();
    let mut expected = Datagram::parse(&original.to_bytes()).unwrap();
    expected.set_token(&[9, 9]);
    expected.remove_echo();
    assert_eq!(original.without_echo(&[9, 9]), expected);
    assert_eq!(original.echo().map(<[u8]>::len), Some(40));
}

#[test]
fn option_accessors() {
    let mut d = feed();
    d.set_upstream_incarnation(0xfffe);
    d.set_observe(0x0100_0002);
    d.set_block1(Block {
        number: 70_000,
        more: true,
        size_exponent: 6,
    });
    d.set_max_age(Duration::ZERO);
    let d = Datagram::parse(&d.to_bytes()).unwrap();
    assert_eq!(d.upstream_incarnation(), Some(0xfffe));
    assert_eq!(d.observe(), Some(2));
    assert_eq!(d.max_age(), Duration::ZERO);
    assert_eq!(
        d.block1().map(|b| (b.number, b.more, b.size_exponent)),
        Some((70_000, true, 6))
    );
    assert_eq!(
        d.block2().map(|b| (b.number, b.more, b.size_exponent)),
        Some((0, false, 6))
    );
}

#[test]
fn removed_options_are_not_encoded() {
    let mut d = feed();
    let before = d.to_bytes();
    d.set_echo(&[1; 40]);
    d.set_upstream_incarnation(1);
    d.remove_echo();
    d.clear_upstream_incarnation();
    assert_eq!(d.to_bytes(), before);
    d.clear_observe();
    assert_eq!(d.observe(), None);
}

#[rstest]
#[case::con(Kind::Con, Kind::Ack, 0x1234)]
#[case::non(Kind::Non, Kind::Non, 9)]
fn response(#[case] req: Kind, #[case] kind: Kind, #[case] message_id: u16) {
    let req = post().with_kind(req);
    let res = Datagram::response_to(&req, Status::Content, 9);
    assert_eq!(res.kind(), kind);
    assert_eq!(res.message_id(), message_id);
    assert_eq!(res.token(), req.token());
    assert_eq!(res.code(), Code::Response(Status::Content));
    assert_eq!(res.status(), Some(Status::Content));
    assert_eq!(res.method(), None);
}

#[rstest]
#[case::none(&[], "/")]
#[case::one(&["a"], "/a")]
#[case::two(&["a", "b"], "/a/b")]
#[case::empty_segment(&["a", ""], "/a/")]
#[case::slash_in_a_segment(&["a/b"], "/a%2Fb")]
#[case::percent_in_a_segment(&["a%2Fb"], "/a%252Fb")]
fn joined_path(#[case] segments: &[&str], #[case] path: &str) {
    let mut buf = vec![0x40, 1, 0, 1];
    for (i, segment) in segments.iter().enumerate() {
        let delta = if i == 0 { 11 } else { 0 };
        buf.push(delta << 4 | segment.len() as u8);
        buf.extend_from_slice(segment.as_bytes());
    }
    assert_eq!(Datagram::parse(&buf).unwrap().path(), path);
}

/// A number with more bytes than its type has is treated as absent.
#[rstest]
#[case::empty(&[], Some(0))]
#[case::zero(&[0], Some(0))]
#[case::leading_zero(&[0, 5], Some(5))]
#[case::four_bytes(&[1, 0, 0, 0], Some(1 << 24))]
#[case::five_bytes(&[0, 0, 0, 0, 1], None)]
fn observe_bytes(#[case] value: &[u8], #[case] observe: Option<u32>) {
    let mut buf = vec![0x40, 1, 0, 1, 0x60 | value.len() as u8];
    buf.extend_from_slice(value);
    assert_eq!(Datagram::parse(&buf).unwrap().observe(), observe);
}

/// Options that the daemon does not know, repeated ones included, pass through with the payload.
#[test]
fn unknown_options_pass_through() {
    let mut buf = vec![0x51, 2, 0, 1, 0xaa];
    buf.extend([0xb1, b'a']);
    buf.extend([0x01, b'b']);
    buf.extend([0xe3, 0x10, 0, 1, 2, 3]);
    buf.extend([0x00]);
    buf.extend([0xdd, 1, 0]);
    buf.extend([9; 13]);
    buf.extend([0xff, 0xff, 0]);
    let mut d = Datagram::parse(&buf).unwrap();
    assert_eq!(d.to_bytes(), buf);
    d.set_echo(&[1; 40]);
    d.remove_echo();
    assert_eq!(d.to_bytes(), buf);
}

#[rstest]
#[case::at_limit(OPTIONS_MAX, None)]
#[case::over_limit(OPTIONS_MAX + 1, Some(CoapError::Options))]
fn number_of_options(#[case] options: usize, #[case] error: Option<CoapError>) {
    let mut buf = vec![0x40, 1, 0, 1];
    buf.resize(4 + options, 0);
    assert_eq!(Datagram::parse(&buf).err(), error);
}

#[test]
fn long_tokens_are_truncated() {
    let d = feed().with_token(&[3; 9]);
    assert_eq!(d.token(), [3; 8]);
    assert_eq!(Datagram::parse(&d.to_bytes()).unwrap(), d);
}
