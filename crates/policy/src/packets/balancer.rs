//! Where a packet goes.

use super::{
    choice::{
        Choice,
        Chooser, //
    },
    correlated_failure::{
        self,
        CorrelatedFailure, //
    },
    dead_upstream::{
        DeadUpstreams,
        Unanswered, //
    },
    directory::{
        Directory,
        TrackedUpstream, //
    },
    entry::{
        Route,
        Upstream,
        UpstreamId, //
    },
    flows::{
        FlowEvent,
        Flows, //
    },
    openings::{
        Attempt,
        Attempts,
        Openings, //
    },
    outlier_ejection::OutlierEjection,
    packet::{
        FlowId,
        Kind,
        Packet, //
    },
    shared_evidence::FailedOpening,
    thundering_herd::ThunderingHerd,
};
use rand::Rng;
use std::{
    net::SocketAddrV4,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// No route has its address and port.
    NoRoute,
    /// The service has no upstream that can take it, and none is on its way.
    NoUpstream,
    /// Its upstream seems to have died, and its request may be repeated elsewhere.
    DeadUpstream,
}

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Nothing is known yet.
    NoView,
    /// No route is known, but the view is too old to be sure.
    UncertainRoute,
    /// Its label names no upstream that is known.
    UnknownLabel,
    /// The service has no upstream that can take it now, but one may be on its way.
    NoUpstream,
}

/// What is done with a packet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It opens a flow at the upstream that was chosen, and gets its label.
    Open(Choice),
    /// It goes to the upstream of its flow.
    Forward {
        /// The upstream.
        id: UpstreamId,
        /// Its address.
        to: SocketAddrV4,
        /// What it shows of the flow.
        event: FlowEvent,
    },
    /// It is looked at again at this time.
    Wait {
        /// When.
        until: Instant,
    },
    /// Its flow is reset.
    Reset(ResetReason),
    /// Nothing is done.
    Drop(DropReason),
}

/// A change in what is believed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// It refused an opening packet, or left it unanswered.
    Silent(UpstreamId),
    /// It counts as silent since nothing followed an opening packet, of this flow, that it got.
    Unfollowed(UpstreamId, FlowId),
    /// It answers nobody, and its flows are reset.
    Dead(UpstreamId),
    /// It answers again.
    Answers(UpstreamId),
}

/// What another daemon tells of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReport {
    /// An opening failed there, which is confirmed by a second one.
    Failed(FailedOpening),
    /// It counts as silent there.
    Silent(FailedOpening),
}

/// Decides where packets go.
#[derive(Clone, Debug)]
pub struct Balancer<R> {
    zone: Rc<str>,
    rng: R,
    openings: Openings,
    flows: Flows,
    ejection: OutlierEjection,
    failure: CorrelatedFailure,
    dead: DeadUpstreams,
    herd: ThunderingHerd,
    beliefs: Vec<HealthChange>,
    /// Openings that failed here since they were taken last.
    failed: Vec<FailedOpening>,
}

impl<R: Rng> Balancer<R> {
    /// A balancer in `zone` that has seen nothing.
    pub fn new(zone: Rc<str>, rng: R) -> Self {
        Self {
            zone,
            rng,
            openings: Openings::default(),
            flows: Flows::default(),
            ejection: OutlierEjection::default(),
            failure: CorrelatedFailure::default(),
            dead: DeadUpstreams::default(),
            herd: ThunderingHerd::default(),
            beliefs: Vec::new(),
            failed: Vec::new(),
        }
    }

    /// Decides about a packet; `is_fresh` says that no change that must be in force can be missing
    /// from the directory.
    pub fn decide(
        &mut self,
        packet: &Packet,
        directory: &Directory,
        is_fresh: bool,
        now: Instant,
    ) -> Verdict {
        let Some(cfg) = directory.configuration() else {
            return Verdict::Drop(DropReason::NoView);
        };
        self.herd.begin(now);
        self.learn_failures(directory, now);
        let route = cfg.routes.get(&packet.flow.route);
        match (packet.kind, route) {
            (Kind::Open, Some(route)) => self.open(packet, route, directory, is_fresh, now),
            (Kind::Reset, _) | (_, Some(_)) => self.go_on(packet, route, directory, now),
            (_, None) if is_fresh => Verdict::Reset(ResetReason::NoRoute),
            (Kind::Open, None) => Verdict::Drop(DropReason::UncertainRoute),
            (_, None) => self.go_on(packet, None, directory, now),
        }
    }

    /// Changes in what is believed of upstreams since the last call.
    pub fn take_health_changes(&mut self) -> Vec<HealthChange> {
        std::mem::take(&mut self.beliefs)
    }

    /// Openings that failed here since the last call.
    pub fn take_failed(&mut self) -> Vec<FailedOpening> {
        std::mem::take(&mut self.failed)
    }

    /// Takes over what another daemon tells, by which new flows alone are steered; returns the opening by which the
    /// upstream counts as silent now and did not before.
    pub fn apply_peer_report(
        &mut self,
        hearsay: PeerReport,
        now: Instant,
    ) -> Option<FailedOpening> {
        let (failed, is_new) = match hearsay {
            PeerReport::Failed(failed) => {
                let is_new = self
                    .ejection
                    .record_refusal(failed.upstream, failed.at, now);
                (failed, is_new)
            }
            PeerReport::Silent(failed) => {
                let is_new = self.ejection.record(failed.upstream, failed.at, now);
                (failed, is_new)
            }
        };
        is_new.then_some(failed)
    }

    /// When the opening was forwarded by which an upstream counts as silent.
    pub fn silent_since(&self, id: UpstreamId, now: Instant) -> Option<Instant> {
        self.ejection.since(id, now)
    }

    /// Whether an upstream left an opening packet unanswered of late.
    pub fn is_silent(&self, id: UpstreamId, now: Instant) -> bool {
        self.ejection.is_silent(id, now)
    }

    /// Requests in progress at an upstream, as far as they are seen here.
    pub fn in_progress(&self, id: UpstreamId, now: Instant) -> usize {
        self.flows.in_progress(id, now)
    }

    /// Number of flows that are remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Forgets what is no longer of use; a flow may be forgotten when it was idle for `idle`.
    pub fn evict(&mut self, idle: Duration, now: Instant) {
        self.openings.evict(now);
        self.ejection.evict(now);
        self.dead.evict(now);
        self.flows.evict(idle, now);
    }

    /// Chooses an upstream for a new flow.
    fn open(
        &mut self,
        packet: &Packet,
        route: &Route,
        directory: &Directory,
        is_fresh: bool,
        now: Instant,
    ) -> Verdict {
        let mut tried = self.openings.tried(packet.flow, now);
        if tried.is_empty() {
            if let Some(until) = self.herd.delay_until(packet.ack, route.target_latency, now) {
                return Verdict::Wait { until };
            }
        }
        let refused = match packet.ack {
            0 => self.openings.refused(packet.flow, now),
            _ => Attempts::new(),
        };
        self.learn(&tried, &refused, now);
        tried.extend(refused);
        let chooser = Chooser {
            zone: &self.zone,
            directory,
            flows: &self.flows,
            ejection: &self.ejection,
            failure: &self.failure,
        };
        let service = draw_service(route, &mut self.rng);
        let Some(choice) = chooser.choose(service, &tried, &mut self.rng, now) else {
            return match is_fresh && directory.is_settled(now) {
                true => Verdict::Reset(ResetReason::NoUpstream),
                false => Verdict::Drop(DropReason::NoUpstream),
            };
        };
        self.openings.record(packet.flow, choice.id, now);
        self.flows.open(packet.flow, choice.id, now);
        Verdict::Open(choice)
    }

    /// Takes upstreams that left earlier packets of a caller unanswered, or refused them, for silent.
    fn learn(&mut self, unanswered: &Attempts, refused: &Attempts, now: Instant) {
        for Attempt { upstream, at } in unanswered {
            if self.ejection.record(*upstream, *at, now) {
                self.beliefs.push(HealthChange::Silent(*upstream));
            }
        }
        for Attempt { upstream, at } in refused {
            if self.ejection.record_refusal(*upstream, *at, now) {
                self.beliefs.push(HealthChange::Silent(*upstream));
            }
        }
    }

    /// Learns from openings that nothing followed.
    fn learn_failures(&mut self, directory: &Directory, now: Instant) {
        for (flow, Attempt { upstream, at }) in self.openings.take_failed(now) {
            let Some(TrackedUpstream {
                upstream: known, ..
            }) = directory.get(upstream)
            else {
                continue;
            };
            let share = self.failure.record(&known.service, &known.zone, true, now);
            self.failed.push(FailedOpening { upstream, at });
            let is_silent = match share >= correlated_failure::MAJORITY {
                true => self.ejection.record(upstream, at, now),
                false => self.ejection.record_refusal(upstream, at, now),
            };
            if is_silent {
                self.beliefs.push(HealthChange::Unfollowed(upstream, flow));
            }
        }
    }

    /// Sends a packet of an open flow to the upstream that its label names.
    fn go_on(
        &mut self,
        packet: &Packet,
        route: Option<&Route>,
        directory: &Directory,
        now: Instant,
    ) -> Verdict {
        let ids = directory.with_label(packet.label);
        let Some((id, known)) = ids.first().and_then(|id| Some((*id, directory.get(*id)?))) else {
            return Verdict::Drop(DropReason::UnknownLabel);
        };
        let event = self.flows.record(packet, id, now);
        self.learn_from(packet, (id, known), event, now);
        if let Some(route) = route.filter(|route| route.is_idempotent) {
            if let FlowEvent::Retransmission(_) = event {
                self.suspect(packet.flow, (id, known), route.target_latency, now);
            }
            if packet.len > 0 && self.dead.is_dead(id, now) {
                self.flows.end(packet.flow, id);
                return Verdict::Reset(ResetReason::DeadUpstream);
            }
        }
        Verdict::Forward {
            id,
            to: known.upstream.address,
            event,
        }
    }

    /// Learns from a packet whether its upstream answers.
    fn learn_from(
        &mut self,
        packet: &Packet,
        (id, known): (UpstreamId, &TrackedUpstream),
        event: FlowEvent,
        now: Instant,
    ) {
        let opened = self.openings.opened(packet.flow, id);
        if opened.is_some() {
            let Upstream { service, zone, .. } = &known.upstream;
            self.failure.record(service, zone, false, now);
        }
        let answered = match event {
            FlowEvent::Answered(at) | FlowEvent::Request(at) => at,
            FlowEvent::Retransmission(_) | FlowEvent::Nothing => None,
        };
        let Some(asked) = opened.or(answered) else {
            return;
        };
        let was_dead = self.dead.record_answer(id, now);
        if self.ejection.record_answer(id, asked) || was_dead {
            self.beliefs.push(HealthChange::Answers(id));
        }
    }

    /// Takes an upstream for dead when a request that came again is one too many without an answer.
    fn suspect(
        &mut self,
        flow: FlowId,
        (id, known): (UpstreamId, &TrackedUpstream),
        target_latency: Duration,
        now: Instant,
    ) {
        let Some(asked) = self.flows.unanswered(flow, id) else {
            return;
        };
        let request = Unanswered {
            caller: *flow.caller.ip(),
            since: asked.first,
            target_latency,
            is_unlisted: known.is_gone(now),
        };
        if self.dead.record(id, request, now) {
            self.ejection.record(id, asked.first, now);
            self.beliefs.push(HealthChange::Dead(id));
        }
    }
}

/// Draws a service of the route by weight.
fn draw_service<'r>(route: &'r Route, rng: &mut impl Rng) -> &'r str {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut drawn = rng.random_range(0..total.max(1));
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if drawn < weight {
            return &target.service;
        }
        drawn -= weight;
    }
    route.targets.first().map_or("", |t| &t.service)
}
