//! Cost per packet of the ticket, owner lookup, CoAP layer and envelope, compared with a bare hash
//! lookup.
//!
//! One zone with 343 members and its share of 13,000 upstreams in 7 zones.

#![allow(missing_docs)]

use criterion::{
    criterion_group,
    criterion_main,
    Criterion, //
};
use foxtailhinge_policy::{
    members::{
        Member,
        MemberState,
        Members,
        MembersSpec, //
    },
    owner_cache::OwnerCache, //
};
use foxtailhinge_wire::{
    coap::{
        Datagram,
        Method, //
    },
    envelope::PeerKeys,
    message::{
        Forward,
        RelayMessage, //
    },
    ticket::{
        name_hash,
        zone_hash,
        Ticket,
        TicketKeys,
        TICKET_LEN, //
    },
};
#[allow(deprecated)]
use std::{
    collections::HashMap,
    hash::{
        Hasher,
        SipHasher, //
    },
    hint::black_box,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

const MEMBERS: usize = 343;
const UPSTREAMS: usize = 13_000 / 7;
const SERVICE: &str = "syncdesk-api";
const ZONE: &str = "windhoek-1";
const SECRET: [u8; 32] = [7; 32];

/// State of an ingress that a packet needs.
struct Ingress {
    keys: TicketKeys,
    members: Members,
    cache: OwnerCache,
    upstreams: HashMap<u32, Rc<str>>,
    tickets: Vec<[u8; TICKET_LEN]>,
    next: usize,
}

impl Ingress {
    fn new() -> Self {
        let mut members = Members::new(member(0), MembersSpec::default());
        for i in 1..MEMBERS {
            members.merge(member(i), Instant::now());
        }
        assert_eq!(members.live_in_zone(ZONE).count(), MEMBERS);
        let keys = TicketKeys::new(vec![(0, SECRET)]);
        let names: Vec<Rc<str>> = (0..UPSTREAMS)
            .map(|i| format!("syncdesk-{i}").into())
            .collect();
        let tickets = names.iter().map(|name| keys.seal(&ticket(name), SERVICE));
        let mut ingress = Self {
            tickets: tickets.collect(),
            keys,
            members,
            cache: OwnerCache::default(),
            upstreams: names
                .iter()
                .map(|name| (name_hash(name), Rc::clone(name)))
                .collect(),
            next: 0,
        };
        for name in &names {
            ingress.cache.owner(&ingress.members, name, ZONE).unwrap();
        }
        ingress
    }

    fn next_ticket(&mut self) -> [u8; TICKET_LEN] {
        self.next = (self.next + 1) % self.tickets.len();
        self.tickets[self.next]
    }

    fn next_upstream(&mut self) -> u32 {
        let ticket = self.next_ticket();
        u32::from_be_bytes([ticket[5], ticket[6], ticket[7], ticket[8]])
    }

    fn open(&mut self) -> Ticket {
        let sealed = self.next_ticket();
        self.keys.open(&sealed, SERVICE).unwrap()
    }

    fn owner_cached(&mut self, upstream: u32) -> Rc<str> {
        let name = &self.upstreams[&upstream];
        self.cache.owner(&self.members, name, ZONE).unwrap()
    }

    fn owner_computed(&self, upstream: u32) -> &Member {
        self.members
            .owner(&self.upstreams[&upstream], ZONE)
            .unwrap()
    }
}

fn member(i: usize) -> Member {
    Member {
        vm: format!("vm-{i}").into(),
        zone: ZONE.into(),
        relay: "192.0.2.1:7000".parse().unwrap(),
        control: "192.0.2.1:7001".parse().unwrap(),
        incarnation: 1,
        state: MemberState::Alive,
        version: 1,
    }
}

fn ticket(upstream: &str) -> Ticket {
    Ticket {
        warm: true,
        service: name_hash(SERVICE),
        upstream: name_hash(upstream),
        upstream_incarnation: 1,
        zone: zone_hash(ZONE),
        owner: name_hash("vm-1"),
        owner_incarnation: 2,
        flow: 3,
        epoch: 4,
        caller_tag: 5,
    }
}

fn ticket_and_owner(c: &mut Criterion) {
    let mut ingress = Ingress::new();
    let mut group = c.benchmark_group("ticket");
    group.bench_function("baseline: bare hash lookup", |b| {
        b.iter(|| {
            let upstream = ingress.next_upstream();
            black_box(ingress.upstreams.contains_key(&upstream))
        });
    });
    group.bench_function("seal", |b| {
        let ticket = ticket("syncdesk-1");
        b.iter(|| ingress.keys.seal(black_box(&ticket), SERVICE));
    });
    group.bench_function("open", |b| b.iter(|| ingress.open()));
    group.bench_function("owner, cached", |b| {
        b.iter(|| {
            let upstream = ingress.next_upstream();
            ingress.owner_cached(upstream)
        });
    });
    group.bench_function("owner, computed", |b| {
        b.iter(|| {
            let upstream = ingress.next_upstream();
            black_box(ingress.owner_computed(upstream).incarnation)
        });
    });
    group.bench_function("open and owner, cached", |b| {
        b.iter(|| {
            let ticket = ingress.open();
            ingress.owner_cached(ticket.upstream)
        });
    });
    group.bench_function("open and owner, computed", |b| {
        b.iter(|| {
            let ticket = ingress.open();
            black_box(ingress.owner_computed(ticket.upstream).incarnation)
        });
    });
    group.finish();
}

/// Candidate MACs for tickets, over a ticket's body and the name of its service.
#[allow(deprecated)]
fn macs(c: &mut Criterion) {
    let mut body = vec![7; TICKET_LEN - 10];
    body.extend(SERVICE.as_bytes());
    let mut group = c.benchmark_group("mac");
    group.bench_function("keyed BLAKE3, 256 bits", |b| {
        b.iter(|| blake3::keyed_hash(&SECRET, black_box(&body)));
    });
    group.bench_function("SipHash-2-4, 64 bits", |b| {
        b.iter(|| {
            let mut hasher = SipHasher::new_with_keys(7, 8);
            hasher.write(black_box(&body));
            hasher.finish()
        });
    });
    group.finish();
}

fn datagram_and_envelope(c: &mut Criterion) {
    let mut req = Datagram::request(Method::Post, "/clearances")
        .with_token(&[1, 2, 3, 4])
        .with_payload(vec![7; 100]);
    req.set_echo(&[9; TICKET_LEN]);
    req.set_deadline(Duration::from_secs(5));
    let datagram = req.to_bytes();
    let message = RelayMessage::Forward(Forward {
        caller: "192.0.2.1:5683".parse().unwrap(),
        service: 1,
        bounces: 0,
        datagram: datagram.clone(),
    });
    let keys = PeerKeys::new("kalahari", vec![(0, SECRET)]);
    let sealed = keys.seal(1, 2, 3, &message);
    let mut group = c.benchmark_group("relay");
    group.bench_function("datagram, read", |b| {
        b.iter(|| Datagram::parse(black_box(&datagram)).unwrap());
    });
    group.bench_function("datagram, written", |b| b.iter(|| req.to_bytes()));
    group.bench_function("envelope, sealed", |b| {
        b.iter(|| keys.seal(1, 2, 3, black_box(&message)));
    });
    group.bench_function("envelope, opened", |b| {
        b.iter(|| keys.open::<RelayMessage>(3, black_box(&sealed)).unwrap());
    });
    group.finish();
}

criterion_group!(benches, ticket_and_owner, macs, datagram_and_envelope);
criterion_main!(benches);
