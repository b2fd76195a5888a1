//! The packet path over loopback: the order of packets in a burst, and its state as a task that may fail.

use foxtailhinge::{
    packets::{
        burst::DIRECT_MAX,
        delayed::{
            DelayedPackets,
            DELAYED_MAX,
            DELAY_MAX, //
        },
        evidence::Evidence,
        metrics::PacketMetrics,
        path::PacketPath,
        view::View, //
    },
    socket::{
        Socket,
        BURST_MAX, //
    },
};
use foxtailhinge_config::packet_settings::PacketLimits;
use foxtailhinge_platform::packet::{
    decode,
    HEADER_LEN,
    RECIPIENT_LEN, //
};
use foxtailhinge_policy::packets::{
    Balancer,
    Change,
    Configuration,
    Item,
    Kind,
    Packet,
    Route,
    Seniority,
    Target,
    Upstream,
    UpstreamId,
    UpstreamState, //
};
use futures::{
    future::{
        select,
        Either, //
    },
    FutureExt,
};
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4,
        UdpSocket, //
    },
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

const ZONE: &str = "windhoek-1";
const SERVICE: &str = "syncdesk-api";
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const UPSTREAM: UpstreamId = UpstreamId(1);

/// Flags of an opening packet and of one of an open flow.
const FLAGS: [u8; 2] = [4, 8];

/// A path on loopback without a configuration.
fn path() -> (PacketPath, Rc<View>) {
    let metrics = Rc::new(PacketMetrics::new());
    let store = "127.0.0.1:1".parse().unwrap();
    let view = Rc::new(View::new(
        store,
        PacketLimits::default(),
        Rc::clone(&metrics),
    ));
    let socket = Socket::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let balancer = Balancer::new(ZONE.into(), SmallRng::seed_from_u64(1));
    let evidence = Rc::new(Evidence::default());
    let path = PacketPath::new(socket, balancer, Rc::clone(&view), evidence, metrics);
    (path, view)
}

/// Adds a route to one upstream at `address`.
fn configure(view: &View, address: SocketAddrV4) {
    let target = Target {
        service: SERVICE.into(),
        weight: 1,
    };
    let route = Route {
        name: "route".into(),
        targets: [target].into_iter().collect(),
        target_latency: Duration::from_millis(300),
        is_idempotent: true,
        priority: 1,
    };
    let upstream = Upstream {
        service: SERVICE.into(),
        address,
        zone: ZONE.into(),
        slots: 4,
        state: UpstreamState::Serving,
        warmup_left: Duration::ZERO,
        seniority: Seniority::default(),
    };
    let configuration = Configuration {
        version: 1,
        routes: [(ROUTE, route)].into_iter().collect(),
    };
    let changes = [
        Change::Configured(configuration),
        Change::Listed(UPSTREAM, upstream),
    ];
    let items = changes
        .into_iter()
        .zip(1u64..)
        .map(|(change, version)| Item {
            key: version.to_string().into(),
            version: version.into(),
            change,
        });
    let items: Vec<_> = items.collect();
    view.directory_mut()
        .apply(2u64.into(), &items, Instant::now());
}

/// A packet of caller number `caller` with `len` bytes of data.
fn datagram(kind: Kind, caller: u16, len: u16) -> Vec<u8> {
    let (flags, label) = match kind {
        Kind::Open => (FLAGS[0], 0),
        _ => (FLAGS[1], UPSTREAM.label()),
    };
    let mut datagram = vec![0; HEADER_LEN + usize::from(len)];
    datagram[..4].copy_from_slice(&label.to_be_bytes());
    datagram[4..8].copy_from_slice(&[100, 64, 0, 1]);
    datagram[8..10].copy_from_slice(&caller.to_be_bytes());
    datagram[10..14].copy_from_slice(&ROUTE.ip().octets());
    datagram[14..16].copy_from_slice(&ROUTE.port().to_be_bytes());
    datagram[24..26].copy_from_slice(&len.to_be_bytes());
    datagram[26] = flags;
    datagram
}

/// Lets packets arrive together, and returns kinds and callers in the order in which the upstream gets them.
fn forwarded(arriving: &[(Kind, u16)]) -> Vec<(Kind, u16)> {
    forwarded_with_data(arriving, 0)
}

/// The same with `len` bytes of data in each packet.
fn forwarded_with_data(arriving: &[(Kind, u16)], len: u16) -> Vec<(Kind, u16)> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (path, view) = path();
        let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
        peer.set_nonblocking(true).unwrap();
        let SocketAddr::V4(address) = peer.local_addr().unwrap() else {
            panic!("not IPv4");
        };
        configure(&view, address);
        for (kind, caller) in arriving {
            let datagram = datagram(*kind, *caller, len);
            peer.send_to(&datagram, path.addr()).unwrap();
        }
        let run = pin!(path.run());
        let received = pin!(receive(&peer, arriving.len()));
        let received = match select(run, received).await {
            Either::Left(_) => panic!("the path has ended"),
            Either::Right((received, _)) => received,
        };
        received
    })
}

/// Receives `n` packets; waits for 5 s at most.
async fn receive(peer: &UdpSocket, n: usize) -> Vec<(Kind, u16)> {
    let began = Instant::now();
    let mut received = Vec::new();
    let mut buf = [0; 2048];
    while received.len() < n && began.elapsed() < Duration::from_secs(5) {
        match peer.recv(&mut buf) {
            Ok(len) => {
                let Packet { kind, flow, .. } = decode(&buf[RECIPIENT_LEN..len]).unwrap();
                received.push((kind, flow.caller.port()));
            }
            Err(_) => monoio::time::sleep(Duration::from_millis(1)).await,
        }
    }
    received
}

/// `n` pairs of an opening and a packet of an open flow, of different callers.
fn pairs(n: u16) -> Vec<(Kind, u16)> {
    let callers = 1..=n;
    callers
        .flat_map(|caller| [(Kind::Open, caller), (Kind::Data, 1_000 + caller)])
        .collect()
}

fn data_first(packets: &[(Kind, u16)]) -> Vec<(Kind, u16)> {
    let (open, data): (Vec<_>, Vec<_>) = packets.iter().partition(|(kind, _)| *kind == Kind::Open);
    [data, open].concat()
}

/// At an overloaded daemon, requests of open flows waited behind openings, whose callers could have gone elsewhere.
#[test]
fn packets_of_open_flows_come_before_the_openings_of_a_burst() {
    let arriving = pairs(20);
    let (direct, others) = arriving.split_at(DIRECT_MAX);
    let expected = [direct.to_vec(), data_first(others)].concat();
    assert_eq!(forwarded(&arriving), expected);
}

/// While the socket has a backlog, the openings at the start of a burst must not come first either.
#[test]
fn a_burst_after_a_full_one_begins_with_open_flows() {
    let arriving = pairs(BURST_MAX as u16);
    let (first, second) = arriving.split_at(BURST_MAX);
    let (direct, others) = first.split_at(DIRECT_MAX);
    let expected = [direct.to_vec(), data_first(others), data_first(second)].concat();
    assert_eq!(forwarded(&arriving), expected);
}

/// Without a queue there is nothing to gain, and the order of arrival is kept.
#[test]
fn a_short_burst_keeps_the_order_of_arrival() {
    let arriving = pairs(DIRECT_MAX as u16 / 2);
    assert_eq!(forwarded(&arriving), arriving);
}

/// A packet that overtakes a retransmitted opening of its flow makes that look like a new flow, which then seems to be
/// unanswered.
#[test]
fn a_packet_does_not_overtake_an_opening_of_its_flow() {
    let caller = 9;
    let mut arriving = pairs(10);
    arriving.extend([(Kind::Open, 101), (Kind::Data, caller), (Kind::Data, 102)]);
    let received = forwarded(&arriving);
    let position = |packet| received.iter().position(|other| *other == packet).unwrap();
    assert!(position((Kind::Open, caller)) < position((Kind::Data, caller)));
    assert!(
        position((Kind::Open, 101)) < position((Kind::Data, caller)),
        "openings keep their order"
    );
    assert_eq!(received.len(), arriving.len());
}

fn openings(n: u16) -> Vec<(Kind, u16)> {
    (1..=n).map(|caller| (Kind::Open, caller)).collect()
}

/// Openings at the end of a burst must be handled before the next burst is read.
#[test]
fn no_opening_of_several_bursts_is_lost() {
    let arriving = openings(3 * BURST_MAX as u16);
    assert_eq!(forwarded(&arriving), arriving);
}

/// Openings with so much data that the buffer has no room for all of them must neither be lost nor change their order.
#[test]
fn openings_that_exceed_the_buffer_are_forwarded_in_order() {
    let arriving = openings(40);
    assert_eq!(forwarded_with_data(&arriving, 1_200), arriving);
}

/// After a suspension of the daemon, packets that were delayed before it were forwarded although their callers had given
/// up.
#[test]
fn a_packet_is_delayed_for_a_bounded_time() {
    let mut delayed = DelayedPackets::default();
    let arrived = Instant::now();
    let ms = Duration::from_millis(1);
    assert!(delayed.push(b"first", arrived, arrived + 700 * ms));
    assert!(delayed.push(b"longest", arrived, arrived + DELAY_MAX));
    assert!(!delayed.push(b"too long", arrived, arrived + DELAY_MAX + ms));
    let first = delayed.pop().unwrap();
    assert_eq!(first.datagram, b"first");
    assert!(!first.is_expired(arrived + 700 * ms));
    assert!(first.is_expired(arrived + DELAY_MAX + ms));
    assert_eq!(delayed.pop().unwrap().datagram, b"longest");
    assert!(delayed.pop().is_none());
}

/// Delayed packets take memory, so their number is bounded too.
#[test]
fn the_number_of_delayed_packets_is_bounded() {
    let mut delayed = DelayedPackets::default();
    let now = Instant::now();
    for _ in 0..DELAYED_MAX {
        assert!(delayed.push(b"packet", now, now));
    }
    assert!(!delayed.push(b"packet", now, now));
    delayed.pop();
    assert!(delayed.push(b"packet", now, now));
}

/// A daemon whose data path had failed stayed in rotation until the path was restarted.
#[test]
fn a_path_counts_as_running_only_while_it_forwards() {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (path, _) = path();
        assert!(!path.is_running());
        let mut run = Box::pin(path.run());
        assert!(run.as_mut().now_or_never().is_none());
        assert!(path.is_running());
        drop(run);
        assert!(!path.is_running());
    });
}
