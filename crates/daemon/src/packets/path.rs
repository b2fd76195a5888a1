//! Packets on their way from callers to upstreams.

use super::{
    evidence::Evidence,
    metrics::{
        PacketMetrics,
        PacketResult, //
    },
    view::View, //
};
use crate::{
    logging::Event,
    socket::Socket,
    timer::Timer,
    wake::Wake, //
};
use foxtailhinge_platform::packet::{
    decode,
    recipient,
    reset,
    set_label,
    DATAGRAM_MAX,
    RECIPIENT_LEN, //
};
use foxtailhinge_policy::packets::{
    Balancer,
    Choice,
    Directory,
    DropReason,
    FailedOpening,
    FlowEvent,
    HealthChange,
    Missing,
    Packet,
    PeerReport,
    ResetReason,
    Standing,
    UpstreamId,
    Verdict, //
};
use rand::rngs::SmallRng;
use std::{
    cell::{
        Ref,
        RefCell, //
    },
    collections::VecDeque,
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time without a packet after which nothing is remembered of a flow; it is forwarded by its label all the same.
const IDLE: Duration = Duration::from_secs(15);

/// Most packets that wait at a time.
const HELD_MAX: usize = 4_096;

/// Repeats of a packet from which a log line tells of them.
const REPEATS_LOGGED: u32 = 2;

/// Forwards packets.
#[derive(Debug)]
pub struct PacketPath {
    socket: Socket,
    /// Port at which callers take packets.
    callers_port: u16,
    balancer: RefCell<Balancer<SmallRng>>,
    view: Rc<View>,
    /// What others of the zone are told.
    evidence: Rc<Evidence>,
    metrics: Rc<PacketMetrics>,
    held: RefCell<VecDeque<(Instant, Vec<u8>)>>,
    wake: Wake,
}

impl PacketPath {
    /// A path from `socket`, whose port is that of callers too, to upstreams by `view`.
    pub fn new(
        socket: Socket,
        balancer: Balancer<SmallRng>,
        view: Rc<View>,
        evidence: Rc<Evidence>,
        metrics: Rc<PacketMetrics>,
    ) -> Self {
        Self {
            callers_port: socket.addr().port(),
            socket,
            balancer: RefCell::new(balancer),
            view,
            evidence,
            metrics,
            held: RefCell::default(),
            wake: Wake::default(),
        }
    }

    /// Forwards packets until the socket fails.
    pub async fn run(&self) -> io::Result<()> {
        self.socket
            .read_each(|datagram, _| self.take(datagram), || ())
            .await
    }

    /// Looks again at packets that had to wait.
    pub async fn run_delayed(&self, timer: &Rc<Timer>) {
        loop {
            let next = self.held.borrow_mut().pop_front();
            match next {
                Some((until, datagram)) => {
                    timer.sleep_until(until).await;
                    self.take(&datagram);
                }
                None => self.wake.wait().await,
            }
        }
    }

    /// Forgets what is no longer of use, and flows that are older than `oldest`.
    pub fn evict_expired(&self, oldest: Duration) {
        let now = Instant::now();
        self.view.directory_mut().evict(oldest, now);
        self.balancer.borrow_mut().evict(IDLE, now);
    }

    /// The decisions, for reports.
    pub fn balancer(&self) -> Ref<'_, Balancer<SmallRng>> {
        self.balancer.borrow()
    }

    fn take(&self, datagram: &[u8]) {
        let Some(packet) = decode(datagram) else {
            self.metrics.packets.inc(PacketResult::Malformed);
            Event::new("packet_malformed")
                .field("bytes", datagram.len())
                .debug();
            return;
        };
        let now = Instant::now();
        let directory = self.view.directory();
        let age = self.view.age(now);
        let mut balancer = self.balancer.borrow_mut();
        let verdict = balancer.decide(&packet, &directory, self.view.is_fresh(now), now);
        let beliefs = balancer.take_health_changes();
        self.evidence.add_failed(balancer.take_failed());
        drop(balancer);
        self.metrics.packets.inc(PacketResult::from(&verdict));
        self.carry_out(datagram, &packet, &verdict, now);
        self.pass_on(&beliefs, now);
        for belief in beliefs {
            log_belief(belief, &packet);
        }
        self.log(&packet, &verdict, &directory, age, now);
    }

    /// Takes over what other daemons of the zone tell.
    pub fn apply_peer_evidence(&self, hearsay: impl IntoIterator<Item = PeerReport>) {
        let now = Instant::now();
        let mut balancer = self.balancer.borrow_mut();
        let mut is_news = false;
        for failed in hearsay
            .into_iter()
            .filter_map(|one| balancer.apply_peer_report(one, now))
        {
            is_news = true;
            self.evidence.add_silent(failed, now);
            Event::new("upstream_silent")
                .field("upstream", failed.upstream)
                .field("sign", "told")
                .info();
        }
        if is_news {
            self.view.notify();
        }
    }

    /// Keeps beliefs for the daemons that follow this one.
    fn pass_on(&self, beliefs: &[HealthChange], now: Instant) {
        if beliefs.is_empty() {
            return;
        }
        let balancer = self.balancer.borrow();
        for belief in beliefs {
            let upstream = match *belief {
                HealthChange::Answers(id) => {
                    self.evidence.record_answer(id);
                    continue;
                }
                HealthChange::Silent(id)
                | HealthChange::Unfollowed(id, _)
                | HealthChange::Dead(id) => id,
            };
            if let Some(at) = balancer.silent_since(upstream, now) {
                self.evidence
                    .add_silent(FailedOpening { upstream, at }, now);
            }
        }
        self.view.notify();
    }

    fn carry_out(&self, datagram: &[u8], packet: &Packet, verdict: &Verdict, now: Instant) {
        match verdict {
            Verdict::Open(choice) => self.forward(datagram, choice.id, choice.to),
            Verdict::Forward { id, to, event } => {
                self.forward(datagram, *id, *to);
                self.observe(*event, now);
            }
            Verdict::Wait { until } => self.hold(datagram, *until),
            Verdict::Reset(reason) => {
                self.reset(packet);
                if *reason == ResetReason::NoUpstream {
                    self.view.record_missing(Missing::Upstream);
                }
            }
            Verdict::Drop(reason) => match reason {
                DropReason::NoUpstream => self.view.record_missing(Missing::Upstream),
                DropReason::UnknownLabel => self.view.record_missing(Missing::Label(packet.label)),
                DropReason::NoView | DropReason::UncertainRoute => (),
            },
        }
    }

    fn observe(&self, sign: FlowEvent, now: Instant) {
        match sign {
            FlowEvent::Answered(Some(asked)) | FlowEvent::Request(Some(asked)) => {
                let took = now.saturating_duration_since(asked);
                self.metrics.answer_seconds.observe(took.as_secs_f64());
            }
            FlowEvent::Retransmission(_) => self.metrics.retransmissions.inc(),
            FlowEvent::Answered(None) | FlowEvent::Request(None) | FlowEvent::Nothing => (),
        }
    }

    /// Keeps a packet until its time has come; without room it is dropped, as the network would.
    fn hold(&self, datagram: &[u8], until: Instant) {
        let mut held = self.held.borrow_mut();
        if held.len() < HELD_MAX {
            held.push_back((until, datagram.to_vec()));
            self.wake.set();
        }
    }

    fn forward(&self, datagram: &[u8], id: UpstreamId, to: SocketAddrV4) {
        let mut buf = [0; RECIPIENT_LEN + DATAGRAM_MAX];
        let end = RECIPIENT_LEN + datagram.len();
        buf[..RECIPIENT_LEN].copy_from_slice(&recipient(id.0));
        buf[RECIPIENT_LEN..end].copy_from_slice(datagram);
        set_label(&mut buf[RECIPIENT_LEN..end], id.label());
        self.send(&buf[..end], to);
    }

    fn reset(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.flow.caller.ip(), self.callers_port);
        self.send(&reset(packet), to);
    }

    fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        if !self.socket.send_to(datagram, SocketAddr::V4(to)) {
            self.metrics.packets.inc(PacketResult::Unsent);
        }
    }

    /// Logs decisions that shape a request: its opening, and whatever keeps it from going on.
    fn log(
        &self,
        packet: &Packet,
        verdict: &Verdict,
        directory: &Directory,
        age: Option<Duration>,
        now: Instant,
    ) {
        let event = match verdict {
            Verdict::Open(choice) => log_opening(packet, choice),
            Verdict::Forward {
                id,
                event: FlowEvent::Retransmission(n),
                ..
            } if *n >= REPEATS_LOGGED => log_packet("packet_repeated", packet)
                .field("upstream", id)
                .field("repeats", n),
            Verdict::Forward { .. } => return,
            Verdict::Wait { until } => log_packet("opening_waits", packet)
                .field("copy", packet.ack)
                .field("wait_ms", until.saturating_duration_since(now).as_millis()),
            Verdict::Reset(reason) => {
                log_packet("flow_reset", packet).field("reason", format!("{reason:?}"))
            }
            Verdict::Drop(reason) => {
                log_packet("packet_dropped", packet).field("reason", format!("{reason:?}"))
            }
        };
        let event = event.field("revision", directory.revision());
        match age {
            Some(age) => event.field("age_ms", age.as_millis()).info(),
            None => event.info(),
        }
    }
}

/// An opening packet that is not the first of its flow has a line of its own, which the many first ones cannot displace.
fn log_opening(packet: &Packet, choice: &Choice) -> Event {
    let name = match packet.ack == 0 && choice.standing == Standing::Good {
        true => "flow_opened",
        false => "flow_opened_again",
    };
    log_packet(name, packet)
        .field("copy", packet.ack)
        .field("upstream", choice.id)
        .field("standing", format!("{:?}", choice.standing))
        .field("in_progress", choice.in_progress)
        .field("remote", choice.is_remote)
        .field("doubt", format!("{:.2}", choice.zone_failure_rate))
        .field("candidates", choice.candidates)
}

fn log_packet(name: &'static str, packet: &Packet) -> Event {
    Event::new(name)
        .field("caller", packet.flow.caller)
        .field("route", packet.flow.route)
        .field("kind", format!("{:?}", packet.kind))
        .field("label", format!("{:08x}", packet.label))
}

fn log_belief(belief: HealthChange, packet: &Packet) {
    let (name, id, sign, flow) = match belief {
        HealthChange::Silent(id) => ("upstream_silent", id, "opened_again", packet.flow),
        HealthChange::Unfollowed(id, flow) => ("upstream_silent", id, "unfollowed", flow),
        HealthChange::Dead(id) => ("upstream_dead", id, "asked_again", packet.flow),
        HealthChange::Answers(id) => ("upstream_answers", id, "answered", packet.flow),
    };
    Event::new(name)
        .field("upstream", id)
        .field("sign", sign)
        .field("caller", flow.caller)
        .info();
}
