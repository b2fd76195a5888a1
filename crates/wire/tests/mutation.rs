//! Valid bytes of every kind, changed at random: refused, or read as something that is whole.

mod support;

use foxtailhinge_wire::{
    coap::Datagram,
    envelope::EnvelopeError,
    message::{
        OwnerReply,
        OwnerRequest,
        RelayMessage, //
    },
    ticket::{
        TicketError,
        TICKET_LEN, //
    },
};
use quickcheck::{
    Arbitrary,
    Gen, //
};
use std::time::Duration;
use support::{
    check,
    feed,
    owner_replies,
    owner_requests,
    peer_keys,
    post,
    relay_messages,
    ticket,
    ticket_keys,
    Raw,
    SERVICE, //
};

const FROM: u32 = 11;
const TO: u32 = 13;

/// One change of a byte string; places wrap around at its end.
#[derive(Clone, Debug)]
enum Mutation {
    FlipBit { at: u16, bit: u8 },
    Set { at: u16, byte: u8 },
    Insert { at: u16, byte: u8 },
    Remove { at: u16 },
    Truncate { at: u16 },
    Repeat { from: u16, len: u8 },
    Append { bytes: Vec<u8> },
}

impl Arbitrary for Mutation {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = u16::arbitrary(g);
        let byte = *g
            .choose(&[0, 1, 0x0f, 0x7f, 0x80, 0xd0, 0xe0, 0xf0, 0xfb, 0xfd, 0xff])
            .unwrap();
        match u8::arbitrary(g) % 7 {
            0 => Self::FlipBit {
                at,
                bit: u8::arbitrary(g) % 8,
            },
            1 => Self::Set { at, byte },
            2 => Self::Insert { at, byte },
            3 => Self::Remove { at },
            4 => Self::Truncate { at },
            5 => Self::Repeat {
                from: at,
                len: byte,
            },
            _ => Self::Append {
                bytes: Vec::arbitrary(g),
            },
        }
    }
}

impl Mutation {
    fn apply(&self, buf: &mut Vec<u8>) {
        let place = |at: &u16| usize::from(*at) % buf.len().max(1);
        match self {
            Self::Append { bytes } => buf.extend(bytes),
            Self::Insert { at, byte } => buf.insert(place(at), *byte),
            _ if buf.is_empty() => (),
            Self::FlipBit { at, bit } => {
                let at = place(at);
                buf[at] ^= 1 << bit;
            }
            Self::Set { at, byte } => {
                let at = place(at);
                buf[at] = *byte;
            }
            Self::Remove { at } => {
                buf.remove(place(at));
            }
            Self::Truncate { at } => buf.truncate(place(at)),
            Self::Repeat { from, len } => {
                let from = place(from);
                let part = buf[from..].iter().take(usize::from(*len));
                let part: Vec<u8> = part.copied().collect();
                buf.extend(part);
            }
        }
    }
}

fn mutated(buf: &[u8], mutations: &[Mutation]) -> Vec<u8> {
    let mut buf = buf.to_vec();
    for mutation in mutations.iter().take(6) {
        mutation.apply(&mut buf);
    }
    buf
}

/// Calls everything that reads a datagram.
fn read_all(datagram: &Datagram) {
    let _ = (datagram.kind(), datagram.message_id(), datagram.token());
    let _ = (datagram.code(), datagram.method(), datagram.status());
    let _ = (datagram.path(), datagram.payload());
    let _ = (datagram.echo(), datagram.observe(), datagram.deadline());
    let _ = (datagram.max_age(), datagram.upstream_incarnation());
    let _ = (datagram.block1(), datagram.block2());
}

/// Calls what the daemon changes in a datagram that it passes on.
fn change_all(datagram: &mut Datagram) {
    datagram.set_echo(&[1; TICKET_LEN]);
    datagram.remove_echo();
    datagram.set_deadline(Duration::from_millis(1));
    datagram.set_upstream_incarnation(2);
    datagram.clear_upstream_incarnation();
    datagram.set_observe(3);
    datagram.clear_observe();
    datagram.set_max_age(Duration::from_secs(4));
    datagram.set_message_id(5);
    datagram.set_token(&[6]);
}

#[test]
fn datagrams() {
    fn property(which: bool, mutations: Vec<Mutation>) -> bool {
        let valid = if which { post() } else { feed() };
        let buf = mutated(&valid.to_bytes(), &mutations);
        let Ok(mut datagram) = Datagram::parse(&buf) else {
            return true;
        };
        read_all(&datagram);
        let unchanged = datagram.to_bytes() == buf;
        change_all(&mut datagram);
        unchanged && Datagram::parse(&datagram.to_bytes()) == Ok(datagram)
    }
    check(20_000, property as fn(_, _) -> _);
}

#[test]
fn tickets() {
    fn property(mutations: Vec<Mutation>) -> bool {
        let keys = ticket_keys();
        let valid = keys.seal(&ticket(), SERVICE);
        let buf = mutated(&valid, &mutations);
        let opened = keys.open(&buf, SERVICE);
        if buf == valid {
            return opened == Ok(ticket());
        }
        match opened {
            Ok(_) => false,
            Err(TicketError::Length) => buf.len() != TICKET_LEN,
            Err(_) => buf.len() == TICKET_LEN,
        }
    }
    check(20_000, property as fn(_) -> _);
}

#[test]
fn envelopes() {
    fn property(which: usize, mutations: Vec<Mutation>) -> bool {
        let keys = peer_keys();
        let messages = relay_messages();
        let message = &messages[which % messages.len()];
        let valid = keys.seal(FROM, 1, TO, message);
        let buf = mutated(&valid, &mutations);
        match keys.open::<RelayMessage>(TO, &buf) {
            Ok(opened) => buf == valid && opened.message == *message,
            Err(EnvelopeError::WrongReceiver | EnvelopeError::Garbled) => false,
            Err(_) => buf != valid,
        }
    }
    check(10_000, property as fn(_, _) -> _);
}

/// A peer of another version or a faulty one seals bodies that are not ours: authentic, but wrong.
#[test]
fn authentic_bodies() {
    fn property(which: usize, mutations: Vec<Mutation>) -> bool {
        let keys = peer_keys();
        let (relay, requests, replies) = (relay_messages(), owner_requests(), owner_replies());
        let body = |sealed: Vec<u8>| sealed[13..sealed.len() - 16].to_vec();
        let bodies = relay.iter().map(|m| body(keys.seal(FROM, 1, TO, m)));
        let bodies = bodies.chain(requests.iter().map(|m| body(keys.seal(FROM, 1, TO, m))));
        let bodies = bodies.chain(replies.iter().map(|m| body(keys.seal(FROM, 1, TO, m))));
        let bodies: Vec<_> = bodies.collect();
        let raw = Raw(mutated(&bodies[which % bodies.len()], &mutations));
        let buf = keys.seal(FROM, 1, TO, &raw);
        let sound = |error| error == EnvelopeError::Garbled;
        keys.open::<RelayMessage>(TO, &buf).err().is_none_or(sound)
            && keys.open::<OwnerRequest>(TO, &buf).err().is_none_or(sound)
            && keys.open::<OwnerReply>(TO, &buf).err().is_none_or(sound)
    }
    check(10_000, property as fn(_, _) -> _);
}
