//! Sealing and opening of flow tickets.

mod support;

use foxtailhinge_wire::ticket::{
    caller_tag,
    name_hash,
    zone_hash,
    Ticket,
    TicketError,
    TicketKeys,
    EPOCH_MAX,
    TICKET_LEN, //
};
use rstest::rstest;
use std::net::SocketAddr;
use support::{
    check,
    ticket,
    ticket_keys,
    OTHER_SECRET,
    SECRET,
    SERVICE, //
};

fn hex(buf: &[u8]) -> String {
    buf.iter().map(|b| format!("{b:02x}")).collect()
}

/// Daemons of different versions run side by side, so the encoding must not change.
#[test]
fn sealed_bytes() {
    insta::assert_snapshot!(hex(&ticket_keys().seal(&ticket(), SERVICE)));
}

#[test]
fn hashes() {
    let tag = |addr: &str| caller_tag(addr.parse().unwrap());
    insta::assert_debug_snapshot!((
        name_hash(SERVICE),
        name_hash("syncdesk-1"),
        zone_hash("windhoek-1"),
        tag("192.0.2.1:5683"),
        tag("[::ffff:192.0.2.1]:5683"),
        tag("[2001:db8::1]:5683"),
    ));
}

#[test]
fn round_trip() {
    fn property(names: (u32, u16, u16, u32), flow: (u32, u32, u32, u16), service: String) -> bool {
        let sent = Ticket {
            warm: flow.0 & 1 == 1,
            service: name_hash(&service),
            upstream: names.0,
            upstream_incarnation: names.1,
            zone: names.2,
            owner: names.3,
            owner_incarnation: flow.0,
            flow: flow.1,
            epoch: flow.2 & EPOCH_MAX,
            caller_tag: flow.3,
        };
        let keys = ticket_keys();
        keys.open(&keys.seal(&sent, &service), &service) == Ok(sent)
    }
    check(1000, property as fn(_, _, _) -> _);
}

/// An epoch that exceeds the field must not wrap around to one that is valid again.
#[test]
fn epoch_saturates() {
    let keys = ticket_keys();
    let mut sent = ticket();
    sent.epoch = EPOCH_MAX + 2;
    let opened = keys.open(&keys.seal(&sent, SERVICE), SERVICE).unwrap();
    assert_eq!(opened.epoch, EPOCH_MAX);
}

#[rstest]
#[case::empty(|_: &mut Vec<u8>| (), 0, TicketError::Length)]
#[case::one_short(|_: &mut Vec<u8>| (), TICKET_LEN - 1, TicketError::Length)]
#[case::one_long(|buf: &mut Vec<u8>| buf.push(0), TICKET_LEN + 1, TicketError::Length)]
#[case::version(|buf: &mut Vec<u8>| buf[0] ^= 0x10, TICKET_LEN, TicketError::Version)]
#[case::slot(|buf: &mut Vec<u8>| buf[0] ^= 0x05, TICKET_LEN, TicketError::UnknownKey)]
#[case::service(|buf: &mut Vec<u8>| buf[4] ^= 1, TICKET_LEN, TicketError::ForeignService)]
#[case::upstream(|buf: &mut Vec<u8>| buf[5] ^= 1, TICKET_LEN, TicketError::Forged)]
#[case::zone(|buf: &mut Vec<u8>| buf[11] ^= 1, TICKET_LEN, TicketError::Forged)]
#[case::owner(|buf: &mut Vec<u8>| buf[13] ^= 1, TICKET_LEN, TicketError::Forged)]
#[case::flow(|buf: &mut Vec<u8>| buf[24] ^= 1, TICKET_LEN, TicketError::Forged)]
#[case::epoch(|buf: &mut Vec<u8>| buf[27] ^= 1, TICKET_LEN, TicketError::Forged)]
#[case::caller(|buf: &mut Vec<u8>| buf[29] ^= 1, TICKET_LEN, TicketError::Forged)]
#[case::first_mac_byte(|buf: &mut Vec<u8>| buf[30] ^= 0x80, TICKET_LEN, TicketError::Forged)]
#[case::last_mac_byte(|buf: &mut Vec<u8>| buf[39] ^= 1, TICKET_LEN, TicketError::Forged)]
fn refusal(#[case] garble: fn(&mut Vec<u8>), #[case] len: usize, #[case] error: TicketError) {
    let keys = ticket_keys();
    let mut buf = keys.seal(&ticket(), SERVICE).to_vec();
    garble(&mut buf);
    buf.truncate(len);
    assert_eq!(keys.open(&buf, SERVICE), Err(error));
}

/// Each single flipped bit is refused.
#[test]
fn any_flipped_bit_is_refused() {
    let keys = ticket_keys();
    let sealed = keys.seal(&ticket(), SERVICE);
    for bit in 0..TICKET_LEN * 8 {
        let mut buf = sealed;
        buf[bit / 8] ^= 1 << (bit % 8);
        assert!(keys.open(&buf, SERVICE).is_err(), "bit {bit}");
    }
}

#[rstest]
#[case::other_service("certvault", vec![(0, SECRET)], Err(TicketError::ForeignService))]
#[case::other_secret(SERVICE, vec![(0, OTHER_SECRET)], Err(TicketError::Forged))]
#[case::expired_key(SERVICE, vec![(1, OTHER_SECRET)], Err(TicketError::UnknownKey))]
#[case::rotated_key(SERVICE, vec![(1, OTHER_SECRET), (0, SECRET)], Ok(ticket()))]
#[case::announced_key(SERVICE, vec![(0, SECRET), (1, OTHER_SECRET)], Ok(ticket()))]
fn keys_of_the_opener(
    #[case] service: &str,
    #[case] keys: Vec<(u8, [u8; 32])>,
    #[case] opened: Result<Ticket, TicketError>,
) {
    let sealed = ticket_keys().seal(&ticket(), SERVICE);
    assert_eq!(TicketKeys::new(keys).open(&sealed, service), opened);
}

/// A ticket of one service is refused at another one whose name has the same hash, because the MAC
/// covers the name.
#[test]
fn services_with_equal_hashes() {
    let keys = ticket_keys();
    let mut forged = ticket();
    forged.service = name_hash("certvault");
    let sealed = keys.seal(&forged, SERVICE);
    assert_eq!(keys.open(&sealed, "certvault"), Err(TicketError::Forged));
}

#[test]
fn caller_tags_differ_by_address_and_port() {
    let tag = |addr: &str| caller_tag(addr.parse::<SocketAddr>().unwrap());
    assert_ne!(tag("192.0.2.1:5683"), tag("192.0.2.1:5684"));
    assert_ne!(tag("192.0.2.1:5683"), tag("192.0.2.2:5683"));
}

#[test]
fn keys_show_their_slots_only() {
    insta::assert_snapshot!(format!("{:?}", ticket_keys()));
}

/// The settings' check refuses such keys beforehand; here they are a programming error.
#[rstest]
#[should_panic]
#[case::no_key(vec![])]
#[should_panic]
#[case::slot_16(vec![(16, SECRET)])]
fn impossible_keys(#[case] keys: Vec<(u8, [u8; 32])>) {
    TicketKeys::new(keys);
}
