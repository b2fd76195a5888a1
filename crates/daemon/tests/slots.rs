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
    Method, //
};
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    net::{
        SocketAddr,
        UdpSocket, //
    },
    rc::Rc,
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
