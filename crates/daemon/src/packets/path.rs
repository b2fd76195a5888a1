//! Forwards packets from callers to upstreams.

use super::{
    burst::{
        Burst,
        Turn, //
    },
    delayed::DelayedPackets,
    evidence::Evidence,
    load_log::{
        add_rejection,
        is_rejection,
        load_event,
        OPENING_REJECTED, //
    },
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
use foxtailhinge_config::packet_settings::PacketLoad;
use foxtailhinge_platform::packet::{
    decode,
    recipient,
    reset,
    set_label,
    DATAGRAM_MAX,
    RECIPIENT_LEN, //
};
use foxtailhinge_policy::packets::{
    packet::Label,
    Balancer,
    Choice,
    Directory,
    DropReason,
    FailedOpening,
    FlowEvent,
    HealthChange,
    LoadEvent,
    LoadReport,
    LoadSettings,
    Missing,
    Packet,
    PeerReport,
    Position,
    ResetReason,
    Standing,
    UpstreamId,
    Verdict, //
};
use log::Level;
use rand::rngs::SmallRng;
use std::{
    cell::{
        Cell,
        Ref,
        RefCell, //
    },
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

/// Idle time after which the state of a flow is evicted; its packets are still forwarded, by their label.
const IDLE: Duration = Duration::from_secs(15);

/// Number of retransmissions of a packet from which they are logged.
const RETRANSMISSIONS_LOGGED: u32 = 2;

/// The socket, the state and the decisions for packets from callers.
#[derive(Debug)]
pub struct PacketPath {
    socket: Socket,
    /// Port at which callers receive packets.
    callers_port: u16,
    balancer: RefCell<Balancer<SmallRng>>,
    view: Rc<View>,
    /// Observations of upstreams to report to other daemons of the zone.
    evidence: Rc<Evidence>,
    metrics: Rc<PacketMetrics>,
    /// Openings that are held back until the end of a burst.
    burst: RefCell<Burst>,
    delayed: RefCell<DelayedPackets>,
    wake: Wake,
    is_running: Cell<bool>,
}

/// Marks a path as running until it is dropped, also by a panic.
struct Running<'p>(&'p PacketPath);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.is_running.set(false);
    }
}

impl PacketPath {
    /// Creates a path from `socket`, whose port is that of callers too, to the upstreams in `view`.
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
            burst: RefCell::default(),
            delayed: RefCell::default(),
            wake: Wake::default(),
            is_running: Cell::new(false),
        }
    }

    /// Address at which packets are received.
    pub fn addr(&self) -> SocketAddr {
        self.socket.addr()
    }

    /// Whether packets are forwarded; false before [`PacketPath::run`] and between two runs.
    pub fn is_running(&self) -> bool {
        self.is_running.get()
    }

    /// Forwards packets until the socket fails. Within a burst, packets of open flows come before openings.
    pub async fn run(&self) -> io::Result<()> {
        self.is_running.set(true);
        let _running = Running(self);
        // A run that ended by a panic may have left openings of its last burst.
        self.burst.borrow_mut().end();
        self.socket
            .read_bursts(
                |datagram, _| self.read(datagram),
                || (),
                || {
                    self.handle_held();
                    self.burst.borrow_mut().end();
                },
            )
            .await
    }

    /// Handles delayed packets again when their delays end.
    pub async fn run_delayed(&self, timer: &Rc<Timer>) {
        loop {
            let next = self.delayed.borrow_mut().pop();
            match next {
                Some(delayed) => {
                    timer.sleep_until(delayed.until).await;
                    let now = Instant::now();
                    match decode(&delayed.datagram) {
                        Some(packet) if !delayed.is_expired(now) => {
                            self.handle(&delayed.datagram, &packet, delayed.arrived, now);
                        }
                        _ => self.metrics.packets.inc(PacketResult::DroppedDelayed),
                    }
                }
                None => self.wake.wait().await,
            }
        }
    }

    /// Evicts idle flows and expired state; upstreams are kept for `flow_max` after their entries were removed, because
    /// their flows may last so long.
    pub fn evict_expired(&self, flow_max: Duration) {
        let now = Instant::now();
        self.view.expire_awaited(now);
        self.view.directory_mut().evict(flow_max, now);
        let mut balancer = self.balancer.borrow_mut();
        let directory = self.view.directory();
        balancer.evict(IDLE, directory.as_of(), now);
        balancer.update_load(&directory, now);
        let load_events = balancer.take_load_events();
        drop(balancer);
        log_load_events(load_events);
    }

    /// Applies the settings of the decisions under load.
    pub fn set_load_settings(&self, load: &PacketLoad) {
        let settings = LoadSettings {
            shed: load.shed,
            spill: load.spill,
            zone_price: load.zone_price,
        };
        self.balancer.borrow_mut().set_load_settings(settings);
    }

    /// The balancer, for status reports.
    pub fn balancer(&self) -> Ref<'_, Balancer<SmallRng>> {
        self.balancer.borrow()
    }

    /// Sets the time of day and the position among the live daemons of the zone.
    pub fn set_surroundings(&self, unix: Duration, position: Position) {
        let mut balancer = self.balancer.borrow_mut();
        balancer.set_surroundings(unix, position, Instant::now());
    }

    /// Applies the sum of the loads that all other daemons of the zone observe.
    pub fn apply_zone_load(&self, others: LoadReport, now: Instant) {
        self.balancer.borrow_mut().apply_zone_load(others, now);
    }

    /// Handles a datagram of a burst, or holds it back until the end of the burst.
    fn read(&self, datagram: &[u8]) {
        let Some(packet) = decode(datagram) else {
            self.metrics.packets.inc(PacketResult::Malformed);
            Event::new("packet_malformed")
                .field("bytes", datagram.len())
                .debug();
            return;
        };
        let turn = self.burst.borrow_mut().next(&packet, datagram);
        match turn {
            Turn::Held => return,
            Turn::AfterHeld => self.handle_held(),
            Turn::Now => (),
        }
        let now = Instant::now();
        self.handle(datagram, &packet, now, now);
    }

    /// Handles the openings that are held back.
    fn handle_held(&self) {
        for (packet, datagram) in self.burst.borrow().held() {
            let now = Instant::now();
            self.handle(datagram, packet, now, now);
        }
        self.burst.borrow_mut().clear();
    }

    fn handle(&self, datagram: &[u8], packet: &Packet, arrived: Instant, now: Instant) {
        let directory = self.view.directory();
        let age = self.view.age(now);
        let mut balancer = self.balancer.borrow_mut();
        let verdict = balancer.decide(packet, &directory, self.view.is_fresh(now), now);
        let health_changes = balancer.take_health_changes();
        let load_events = balancer.take_load_events();
        self.evidence.add_failed(balancer.take_failed());
        drop(balancer);
        self.metrics.packets.inc(PacketResult::from(&verdict));
        self.execute(datagram, packet, &verdict, arrived, now);
        self.share(&health_changes, now);
        for change in health_changes {
            log_health_change(change, packet);
        }
        log_load_events(load_events);
        self.log(packet, &verdict, &directory, age, now);
    }

    /// Applies evidence about upstreams from other daemons of the zone.
    pub fn apply_peer_reports(&self, reports: impl IntoIterator<Item = PeerReport>) {
        let now = Instant::now();
        let mut balancer = self.balancer.borrow_mut();
        let mut has_changed = false;
        for failed in reports
            .into_iter()
            .filter_map(|report| balancer.apply_peer_report(report, now))
        {
            has_changed = true;
            self.evidence.add_silent(failed, now);
            Event::new("upstream_silent")
                .field("upstream", failed.upstream)
                .field("sign", "told")
                .info();
        }
        if has_changed {
            self.view.notify();
        }
    }

    /// Stores changes in the health of upstreams for the daemons that follow this one.
    fn share(&self, health_changes: &[HealthChange], now: Instant) {
        let is_shared = |change: &HealthChange| {
            !matches!(
                change,
                HealthChange::Inconclusive(_) | HealthChange::Probed(_)
            )
        };
        if !health_changes.iter().any(is_shared) {
            return;
        }
        let balancer = self.balancer.borrow();
        for change in health_changes {
            let upstream = match *change {
                HealthChange::Answers(id) => {
                    self.evidence.record_answer(id);
                    continue;
                }
                HealthChange::Inconclusive(_) | HealthChange::Probed(_) => continue,
                HealthChange::Silent(id)
                | HealthChange::Refuses(id)
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

    fn execute(
        &self,
        datagram: &[u8],
        packet: &Packet,
        verdict: &Verdict,
        arrived: Instant,
        now: Instant,
    ) {
        match verdict {
            Verdict::Open(choice) => self.forward(datagram, choice.id, choice.to, choice.label),
            Verdict::Forward { id, to, event } => {
                self.forward(datagram, *id, *to, packet.label);
                self.observe(*event, now);
            }
            Verdict::Wait { until } => self.delay(datagram, arrived, *until),
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

    fn observe(&self, event: FlowEvent, now: Instant) {
        match event {
            FlowEvent::Answered(Some(asked)) | FlowEvent::Request(Some(asked)) => {
                let took = now.saturating_duration_since(asked);
                self.metrics.answer_seconds.observe(took.as_secs_f64());
            }
            FlowEvent::Retransmission(_) => self.metrics.retransmissions.inc(),
            FlowEvent::Answered(None) | FlowEvent::Request(None) | FlowEvent::Nothing => (),
        }
    }

    /// Delays a packet. Without room, or if the delay would be too long, it is dropped, as the network would.
    fn delay(&self, datagram: &[u8], arrived: Instant, until: Instant) {
        match self.delayed.borrow_mut().push(datagram, arrived, until) {
            true => self.wake.set(),
            false => self.metrics.packets.inc(PacketResult::DroppedDelayed),
        }
    }

    fn forward(&self, datagram: &[u8], id: UpstreamId, to: SocketAddrV4, label: Label) {
        let mut buf = [0; RECIPIENT_LEN + DATAGRAM_MAX];
        let end = RECIPIENT_LEN + datagram.len();
        buf[..RECIPIENT_LEN].copy_from_slice(&recipient(id.0));
        buf[RECIPIENT_LEN..end].copy_from_slice(datagram);
        set_label(&mut buf[RECIPIENT_LEN..end], label);
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

    /// Logs decisions that affect a request: its opening, and whatever delays or stops it.
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
            } if *n >= RETRANSMISSIONS_LOGGED => log_packet("packet_repeated", packet)
                .field("upstream", id)
                .field("repeats", n),
            Verdict::Forward { .. } => return,
            Verdict::Wait { until } => log_packet("opening_waits", packet)
                .field("copy", packet.ack)
                .field("wait_ms", until.saturating_duration_since(now).as_millis()),
            Verdict::Reset(reason) if is_rejection(*reason) => {
                match self.log_rejection(packet, *reason, directory, now) {
                    Some(event) => event,
                    None => return,
                }
            }
            Verdict::Reset(reason) => {
                log_packet("flow_reset", packet).field("reason", format!("{reason:?}"))
            }
            Verdict::Drop(reason) => {
                log_packet("packet_dropped", packet).field("reason", format!("{reason:?}"))
            }
        };
        let event = event.field("revision", directory.version());
        match age {
            Some(age) => event.field("age_ms", age.as_millis()).info(),
            None => event.info(),
        }
    }

    /// Starts the log line of a rejected opening, if the rate limit admits it. The limit is asked first, because a daemon
    /// whose processor is the bottleneck should not format lines that are dropped.
    fn log_rejection(
        &self,
        packet: &Packet,
        reason: ResetReason,
        directory: &Directory,
        now: Instant,
    ) -> Option<Event> {
        let event = Event::if_admitted(OPENING_REJECTED)?;
        let event = add_packet(event, packet)
            .field("reason", format!("{reason:?}"))
            .field("copy", packet.ack);
        let cfg = directory.configuration();
        let Some(route) = cfg.and_then(|cfg| cfg.routes.get(&packet.flow.route)) else {
            return Some(event);
        };
        let explain = || {
            let caller = *packet.flow.caller.ip();
            self.balancer.borrow().explain_admission(caller, route, now)
        };
        Some(add_rejection(event, reason, route, explain))
    }
}

/// Starts the log line of an opening. A repeated opening, or one at an upstream of lower standing, has an event name of
/// its own, so that the many first openings do not use up its rate limit.
fn log_opening(packet: &Packet, choice: &Choice) -> Event {
    let name = match packet.ack == 0 && choice.standing == Standing::Good {
        true => "flow_opened",
        false => "flow_opened_again",
    };
    let event = log_packet(name, packet)
        .field("copy", packet.ack)
        .field("upstream", choice.id)
        .field("standing", format!("{:?}", choice.standing))
        .field("in_progress", choice.in_progress)
        .field("remote", choice.is_remote)
        .field("doubt", format!("{:.2}", choice.zone_failure_rate))
        .field("candidates", choice.candidates);
    match choice.awaits_write {
        true => event.field("awaits_write", true),
        false => event,
    }
}

fn log_packet(name: &'static str, packet: &Packet) -> Event {
    add_packet(Event::new(name), packet)
}

fn add_packet(event: Event, packet: &Packet) -> Event {
    event
        .field("caller", packet.flow.caller)
        .field("route", packet.flow.route)
        .field("kind", format!("{:?}", packet.kind))
        .field("label", format!("{:08x}", packet.label))
}

fn log_load_events(events: Vec<LoadEvent>) {
    for event in events {
        match load_event(&event) {
            (event, Level::Warn) => event.warn(),
            (event, _) => event.info(),
        }
    }
}

fn log_health_change(change: HealthChange, packet: &Packet) {
    let (name, id, sign, flow) = match change {
        HealthChange::Silent(id) => ("upstream_silent", id, "opened_again", packet.flow),
        HealthChange::Refuses(id) => ("upstream_silent", id, "refused", packet.flow),
        HealthChange::Unfollowed(id, flow) => ("upstream_silent", id, "unfollowed", flow),
        HealthChange::Dead(id) => ("upstream_dead", id, "asked_again", packet.flow),
        HealthChange::Inconclusive(id) => {
            ("upstream_not_judged", id, "others_unanswered", packet.flow)
        }
        HealthChange::Answers(id) => ("upstream_answers", id, "answered", packet.flow),
        HealthChange::Probed(id) => ("upstream_probed", id, "ejection_ended", packet.flow),
    };
    Event::new(name)
        .field("upstream", id)
        .field("sign", sign)
        .field("caller", flow.caller)
        .info();
}
