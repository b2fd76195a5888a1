//! Slots of requests that timed out stay in use, because the upstream may still run them.

use foxtailhinge::{
    exchange::{
        call::ExchangeError,
        flow::{
            FlowNumbers,
            Flows, //
        },
        load::{
            Load,
            LoadSpec, //
        },
        upstream::Upstream, //
    },
    timer::Timer,
};
use foxtailhinge_policy::allowance::{
    AllowanceSpec,
    Capacity, //
};
use foxtailhinge_wire::coap::{
    Datagram,
    Method,
    Status, //
};
use futures::join;
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use rstest::rstest;
use std::{
    net::{
        SocketAddr,
        UdpSocket, //
    },
    rc::Rc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

const SLOTS: u32 = 4;
const TIMEOUT: Duration = Duration::from_millis(10);

/// Returns an upstream of which only the limits are known.
fn upstream(addr: SocketAddr) -> Rc<Upstream> {
    let spec = LoadSpec {
        allowance: AllowanceSpec {
            full: Capacity {
                slots: SLOTS,
                connections: 10,
            },
            cold_slots: SLOTS,
            cold_connections: 10,
            ramp: Duration::ZERO,
        },
        queue: 0,
        draining: false,
    };
    let load = Load::cold(spec, Instant::now());
    let flows = Flows::new(1, 2, Rc::new(FlowNumbers::default()));
    Upstream::new(addr, "windhoek-1".into(), load, flows).unwrap()
}

/// The retry of a feed's registration uses the same token as the attempt that timed out.
#[test]
fn a_second_attempt_does_not_release_the_slot_of_the_first() {
    let silent = UdpSocket::bind("127.0.0.1:0").unwrap();
    let addr = silent.local_addr().unwrap();
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    let in_use = runtime.block_on(async {
        let timer = Timer::start();
        let up = upstream(addr);
        let token = up.next_token();
        let req = Datagram::request(Method::Get, "/cues").with_token(&token.bytes());
        for _ in 0..2 {
            let deadline = Instant::now() + Duration::from_secs(60);
            let slot = up.acquire(&timer, deadline, true).await.unwrap();
            let res = up.exchange(&timer, slot, token, &req, TIMEOUT).await;
            assert_eq!(res, Err(ExchangeError::TimedOut));
        }
        let in_use = up.load().admission().in_use();
        in_use
    });
    assert_eq!(in_use, 2);
}

/// Time after which a stand-in upstream answers the last of `requests` requests.
const ANSWER_AFTER: Duration = Duration::from_millis(150);

/// An upstream that leaves all but the last of `requests` requests unanswered.
fn answering_last(requests: usize) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let addr = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut buf = [0; 2_048];
        for _ in 1..requests {
            socket.recv_from(&mut buf).unwrap();
        }
        let (len, from) = socket.recv_from(&mut buf).unwrap();
        let req = Datagram::parse(&buf[..len]).unwrap();
        thread::sleep(ANSWER_AFTER);
        let rsp = Datagram::response_to(&req, Status::Content, 1);
        socket.send_to(&rsp.to_bytes(), from).unwrap();
    });
    addr
}

/// The owner of a feed registers it again after a hand-over, and its caller renews it at the same time with the same
/// token. The first request to give up ended the other one as if the upstream had refused it, so that the feed moved
/// away; and the answer reached only the later one, so that a hand-over took until the timeout of the first.
#[rstest]
#[case::first_gives_up_before_the_answer(Duration::from_millis(60), false)]
#[case::both_wait(Duration::from_secs(2), true)]
fn registrations_of_one_feed_in_progress_do_not_disturb_each_other(
    #[case] timeout: Duration,
    #[case] is_answered: bool,
) {
    let addr = answering_last(2);
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    let began = Instant::now();
    let (first, second) = runtime.block_on(async {
        let timer = Timer::start();
        let up = upstream(addr);
        let reader = Rc::clone(&up);
        monoio::spawn(async move {
            let handle = |buf: &[u8], _| drop(reader.on_datagram(Datagram::parse(buf).unwrap()));
            reader.socket().read_each(handle, || ()).await
        });
        let token = up.next_token();
        let req = Datagram::request(Method::Get, "/cues").with_token(&token.bytes());
        let register = |pause: Duration, timeout: Duration| {
            let (up, timer, req) = (&up, &timer, &req);
            async move {
                monoio::time::sleep(pause).await;
                let deadline = Instant::now() + Duration::from_secs(60);
                let slot = up.acquire(timer, deadline, true).await.unwrap();
                up.exchange(timer, slot, token, req, timeout).await
            }
        };
        join!(
            register(Duration::ZERO, timeout),
            register(Duration::from_millis(20), Duration::from_secs(2))
        )
    });
    assert_eq!(second.unwrap().status(), Some(Status::Content));
    assert_eq!(first.is_ok(), is_answered);
    assert!(began.elapsed() < Duration::from_secs(1));
}
