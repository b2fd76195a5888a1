//! Contract of the sealed envelope and the messages in it.

mod support;

use bincode::{
    Decode,
    Encode, //
};
use foxtailhinge_wire::{
    envelope::{
        EnvelopeError,
        Opened,
        PeerKeys,
        ENVELOPE_OVERHEAD, //
    },
    message::{
        Forward,
        MemberUpdate,
        OwnerReply,
        RelayMessage, //
    },
};
use rstest::rstest;
use std::fmt::Debug;
use support::{
    check,
    member,
    owner_replies,
    owner_requests,
    peer_keys,
    relay_messages,
    OTHER_SECRET,
    SECRET, //
};

const FROM: u32 = 11;
const FROM_INCARNATION: u32 = 12;
const TO: u32 = 13;

fn hex(buf: &[u8]) -> String {
    buf.iter().map(|b| format!("{b:02x}")).collect()
}

fn opened<T>(message: T) -> Opened<T> {
    Opened {
        from: FROM,
        from_incarnation: FROM_INCARNATION,
        message,
    }
}

fn seal<T: Encode>(message: &T) -> Vec<u8> {
    peer_keys().seal(FROM, FROM_INCARNATION, TO, message)
}

fn check_round_trip<T>(messages: Vec<T>)
where
    T: Encode + Decode<()> + Debug + PartialEq,
{
    for message in messages {
        let buf = seal(&message);
        assert_eq!(peer_keys().open(TO, &buf), Ok(opened(message)));
    }
}

#[test]
fn round_trip() {
    check_round_trip(relay_messages());
    check_round_trip(owner_requests());
    check_round_trip(owner_replies());
}

/// Daemons of different versions run side by side, so the bytes of a message must not change.
#[test]
fn sealed_bytes() {
    let relay = relay_messages().iter().map(seal).collect::<Vec<_>>();
    let requests = owner_requests().iter().map(seal).collect::<Vec<_>>();
    let replies = owner_replies().iter().map(seal).collect::<Vec<_>>();
    let lines = [relay, requests, replies].concat();
    let lines = lines.iter().map(|buf| hex(buf)).collect::<Vec<_>>();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn forwarded_datagrams_of_any_length() {
    fn property(datagram: Vec<u8>, times: u8) -> bool {
        let message = RelayMessage::Forward(Forward {
            caller: "192.0.2.1:5683".parse().unwrap(),
            service: 1,
            bounces: 0,
            datagram: datagram.repeat(times.into()),
        });
        let keys = peer_keys();
        let buf = keys.seal(FROM, FROM_INCARNATION, TO, &message);
        keys.open(TO, &buf) == Ok(opened(message))
    }
    check(500, property as fn(_, _) -> _);
}

/// Lists take more room in memory than on the wire and must still open, whatever their length.
#[test]
fn lists_of_any_length() {
    let keys = peer_keys();
    for len in (0..100).chain([343, 2400, 20_000]) {
        let message = RelayMessage::Ack {
            seq: 1,
            updates: vec![member(); len],
        };
        let buf = keys.seal(FROM, FROM_INCARNATION, TO, &message);
        assert_eq!(keys.open(TO, &buf), Ok(opened(message)), "{len} members");
    }
}

#[rstest]
#[case::empty(|buf: &mut Vec<u8>| buf.clear(), EnvelopeError::TooShort)]
#[case::no_mac(|buf: &mut Vec<u8>| buf.truncate(ENVELOPE_OVERHEAD - 1), EnvelopeError::TooShort)]
#[case::version(|buf: &mut Vec<u8>| buf[0] ^= 0x20, EnvelopeError::Version)]
#[case::slot(|buf: &mut Vec<u8>| buf[0] ^= 0x01, EnvelopeError::UnknownKey)]
#[case::sender(|buf: &mut Vec<u8>| buf[4] ^= 1, EnvelopeError::WrongKey)]
#[case::incarnation(|buf: &mut Vec<u8>| buf[8] ^= 1, EnvelopeError::WrongKey)]
#[case::receiver(|buf: &mut Vec<u8>| buf[12] ^= 1, EnvelopeError::WrongKey)]
#[case::body(|buf: &mut Vec<u8>| buf[13] ^= 1, EnvelopeError::WrongKey)]
#[case::cut(|buf: &mut Vec<u8>| buf.truncate(ENVELOPE_OVERHEAD + 1), EnvelopeError::WrongKey)]
#[case::longer(|buf: &mut Vec<u8>| buf.push(0), EnvelopeError::WrongKey)]
fn refusal(#[case] garble: fn(&mut Vec<u8>), #[case] error: EnvelopeError) {
    let keys = peer_keys();
    let mut buf = keys.seal(FROM, FROM_INCARNATION, TO, &relay_messages()[0]);
    garble(&mut buf);
    assert_eq!(keys.open::<RelayMessage>(TO, &buf), Err(error));
}

#[rstest]
#[case::other_receiver(TO + 1, "kalahari", vec![(0, SECRET)], Some(EnvelopeError::WrongReceiver))]
#[case::other_fleet(TO, "southern-cross", vec![(0, SECRET)], Some(EnvelopeError::WrongKey))]
#[case::other_secret(TO, "kalahari", vec![(0, OTHER_SECRET)], Some(EnvelopeError::WrongKey))]
#[case::expired_key(TO, "kalahari", vec![(1, OTHER_SECRET)], Some(EnvelopeError::UnknownKey))]
#[case::rotated_key(TO, "kalahari", vec![(1, OTHER_SECRET), (0, SECRET)], None)]
fn keys_of_the_opener(
    #[case] me: u32,
    #[case] fleet: &str,
    #[case] keys: Vec<(u8, [u8; 32])>,
    #[case] error: Option<EnvelopeError>,
) {
    let buf = peer_keys().seal(FROM, FROM_INCARNATION, TO, &OwnerReply::Ok);
    let opened = PeerKeys::new(fleet, keys).open::<OwnerReply>(me, &buf);
    assert_eq!(opened.err(), error);
}

/// An authentic body that does not decode as the expected message, or has bytes left over.
#[rstest]
#[case::unknown_variant(&[250])]
#[case::cut(&[3])]
#[case::left_over(&[3, 5, 0, 0])]
#[case::list_longer_than_the_body(&[3, 5, 252, 0xff, 0xff, 0xff, 0xff])]
#[case::list_longer_than_memory(&[3, 5, 253, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff])]
fn garbled_body(#[case] body: &[u8]) {
    let keys = peer_keys();
    let buf = keys.seal(FROM, FROM_INCARNATION, TO, &support::Raw(body.to_vec()));
    assert_eq!(
        keys.open::<RelayMessage>(TO, &buf),
        Err(EnvelopeError::Garbled)
    );
}

/// A ticket's key is derived apart from the one of envelopes, and a ticket never opens as an envelope.
#[rstest]
#[case::warm(true, EnvelopeError::Version)]
#[case::cold(false, EnvelopeError::WrongKey)]
fn a_ticket_is_no_envelope(#[case] warm: bool, #[case] error: EnvelopeError) {
    let mut ticket = support::ticket();
    ticket.warm = warm;
    let sealed = support::ticket_keys().seal(&ticket, support::SERVICE);
    let opened = peer_keys().open::<OwnerReply>(TO, &sealed);
    assert_eq!(opened.err(), Some(error));
}

/// Records of members with the shortest names take the most memory for their length on the wire.
#[test]
fn short_names_pass_the_limit_of_memory() {
    let keys = peer_keys();
    for count in 0..=64 {
        let short = MemberUpdate {
            vm: "a".into(),
            zone: "b".into(),
            relay: "192.0.2.1:1".parse().unwrap(),
            control: "192.0.2.1:2".parse().unwrap(),
            incarnation: 1,
            ..member()
        };
        let ping = RelayMessage::Ping {
            seq: 1,
            updates: vec![short; count],
        };
        let buf = keys.seal(1, 2, 3, &ping);
        let opened = keys
            .open::<RelayMessage>(3, &buf)
            .map(|opened| opened.message);
        assert_eq!(opened, Ok(ping), "{count} records");
    }
}
