//! Decides for each packet whether it is forwarded, delayed, answered with a reset or dropped.

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
    deliveries::Deliveries,
    directory::{
        Directory,
        TrackedUpstream, //
    },
    entry::{
        Route,
        Upstream,
        UpstreamId,
        PRIORITY_LOWEST, //
    },
    flows::{
        FlowEvent,
        Flows, //
    },
    load::LoadReport,
    load_status::{
        AdmissionReason,
        LoadEvent,
        LoadSettings,
        ServiceLoad, //
    },
    openings::{
        Attempt,
        Attempts,
        Openings, //
    },
    outlier_ejection::OutlierEjection,
    overload::{
        Admission,
        Overload, //
    },
    packet::{
        FlowId,
        Kind,
        Packet, //
    },
    shared_evidence::FailedOpening,
    subset::Position,
    thundering_herd::ThunderingHerd,
};
use rand::Rng;
use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Reason for resetting a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// No route has the address and port of an opening packet, or the route of an open flow was removed.
    NoRoute,
    /// The service has no usable upstream, and none is about to register again.
    NoUpstream,
    /// The upstream seems to have died, and the caller may safely repeat the request at another one.
    DeadUpstream,
    /// The service cannot serve all callers in time, and this one comes after those that are served.
    Overload,
    /// This daemon's own link, socket or processor is overloaded; the caller reaches another daemon with its next attempt.
    OwnDelay,
}

/// Reason for dropping a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The directory holds no configuration yet.
    NoView,
    /// The directory has no such route, but is too old to rule out a new one.
    UncertainRoute,
    /// The label names no known upstream.
    UnknownLabel,
    /// The service has no usable upstream now, but one may be about to register again.
    NoUpstream,
}

/// Decision about a packet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Open a flow: forward the packet to the chosen upstream, with the label of the choice.
    Open(Choice),
    /// Forward the packet, with its label, to the upstream of its flow.
    Forward {
        /// Id of the upstream, which the forwarded datagram names as its recipient.
        id: UpstreamId,
        /// Address of the upstream.
        to: SocketAddrV4,
        /// Progress of the flow that the packet reveals.
        event: FlowEvent,
    },
    /// Hold the packet back and decide about it again later.
    Wait {
        /// Time of the next decision.
        until: Instant,
    },
    /// Send a reset to the caller.
    Reset(ResetReason),
    /// Discard the packet.
    Drop(DropReason),
}

/// Change in the assumed health of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The upstream left an opening packet unanswered, as a copy of that packet shows.
    Silent(UpstreamId),
    /// The upstream seems to have refused opening packets repeatedly, because their callers opened other flows. Flows that
    /// callers on one VM open at the same time are mistaken for that.
    Refuses(UpstreamId),
    /// The upstream is now considered silent because no packet followed the opening packet of this flow.
    Unfollowed(UpstreamId, FlowId),
    /// The upstream answers no caller; its open flows are reset.
    Dead(UpstreamId),
    /// A request is unanswered for long enough to show that the upstream is dead, but most requests to other upstreams
    /// are unanswered as well.
    Inconclusive(UpstreamId),
    /// The upstream answers again.
    Answers(UpstreamId),
    /// The upstream was silent and may be cold; one opening is sent to find out whether it answers.
    Probed(UpstreamId),
}

/// Report of another daemon about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReport {
    /// An opening failed there; a second failure must confirm it.
    Failed(FailedOpening),
    /// The other daemon considers the upstream silent.
    Silent(FailedOpening),
}

/// Decides about packets, from the directory and from earlier packets of the callers.
#[derive(Clone, Debug)]
pub struct Balancer<R> {
    zone: Rc<str>,
    rng: R,
    openings: Openings,
    flows: Flows,
    ejection: OutlierEjection,
    failure: CorrelatedFailure,
    dead: DeadUpstreams,
    deliveries: Deliveries,
    herd: ThunderingHerd,
    overload: Overload,
    health_changes: Vec<HealthChange>,
    /// Openings that failed here since the last call of `take_failed`.
    failed: Vec<FailedOpening>,
}

impl<R: Rng> Balancer<R> {
    /// Creates a balancer in `zone` that has seen no packets.
    pub fn new(zone: Rc<str>, rng: R) -> Self {
        Self {
            rng,
            openings: Openings::default(),
            flows: Flows::default(),
            ejection: OutlierEjection::default(),
            failure: CorrelatedFailure::default(),
            dead: DeadUpstreams::default(),
            deliveries: Deliveries::default(),
            herd: ThunderingHerd::default(),
            overload: Overload::new(Rc::clone(&zone)),
            health_changes: Vec::new(),
            failed: Vec::new(),
            zone,
        }
    }

    /// Decides about a packet.
    ///
    /// `is_fresh` means that the directory holds every change that must be in force by now.
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
        self.record_failed_openings(directory, now);
        self.overload.update(directory, now);
        let route = cfg.routes.get(&packet.flow.route);
        match (packet.kind, route) {
            (Kind::Open, Some(route)) => self.open(packet, route, directory, is_fresh, now),
            (Kind::Open, None) if is_fresh => Verdict::Reset(ResetReason::NoRoute),
            (Kind::Open, None) => Verdict::Drop(DropReason::UncertainRoute),
            (Kind::Data, None)
                if is_fresh && self.is_route_removed(packet.flow, directory, now) =>
            {
                Verdict::Reset(ResetReason::NoRoute)
            }
            (_, route) => self.forward(packet, route, directory, now),
        }
    }

    /// Removes and returns the changes in upstream health since the last call.
    pub fn take_health_changes(&mut self) -> Vec<HealthChange> {
        std::mem::take(&mut self.health_changes)
    }

    /// Removes and returns the openings that failed here since the last call.
    pub fn take_failed(&mut self) -> Vec<FailedOpening> {
        std::mem::take(&mut self.failed)
    }

    /// Applies a report of another daemon, which affects only new flows.
    ///
    /// Returns the failed opening if the upstream is considered silent now and was not before.
    pub fn apply_peer_report(
        &mut self,
        peer_report: PeerReport,
        now: Instant,
    ) -> Option<FailedOpening> {
        let (failed, is_new) = match peer_report {
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

    /// Time when the unanswered opening was forwarded, if the upstream is considered silent.
    pub fn silent_since(&self, id: UpstreamId, now: Instant) -> Option<Instant> {
        self.ejection.since(id, now)
    }

    /// Whether an upstream is considered silent: it recently refused an opening packet or left it unanswered.
    pub fn is_silent(&self, id: UpstreamId, now: Instant) -> bool {
        self.ejection.is_silent(id, now)
    }

    /// Number of requests in progress at an upstream, counting only those that this daemon forwarded.
    pub fn in_progress(&self, id: UpstreamId, now: Instant) -> usize {
        self.flows.in_progress(id, now)
    }

    /// Applies the settings of the decisions under load.
    pub fn set_load_settings(&mut self, settings: LoadSettings) {
        self.overload.set_settings(settings);
    }

    /// Sets the time of day and the position among the live daemons of the zone; to be called every second.
    pub fn set_surroundings(&mut self, unix: Duration, position: Position, now: Instant) {
        self.overload.set_surroundings(unix, position, now);
        self.ejection.set_position(position);
    }

    /// Judges the load of each service again; packets do so too, but there may be none.
    pub fn update_load(&mut self, directory: &Directory, now: Instant) {
        self.overload.update(directory, now);
    }

    /// Load that this daemon observes by itself.
    pub fn load_report(&self, now: Instant) -> LoadReport {
        self.overload.report(now)
    }

    /// Applies the sum of the loads that all other daemons of the zone observe.
    pub fn apply_zone_load(&mut self, others: LoadReport, now: Instant) {
        self.overload.apply_zone_load(others, now);
    }

    /// Whether a service of this daemon is so busy that the daemons of the zone should exchange their loads.
    pub fn is_load_exchange_due(&self) -> bool {
        self.overload.is_exchange_due()
    }

    /// Loads of the services with traffic, sorted by name.
    pub fn service_loads(&self) -> Vec<ServiceLoad> {
        self.overload.service_loads()
    }

    /// Time for which this daemon's own link, socket or processor delays packets.
    pub fn own_delay(&self) -> Duration {
        self.overload.own_delay()
    }

    /// Why an opening of a caller on a route would be admitted or rejected now.
    pub fn explain_admission(
        &self,
        caller: Ipv4Addr,
        route: &Route,
        now: Instant,
    ) -> AdmissionReason {
        self.overload.explain(caller, route, now)
    }

    /// Removes and returns the changes in the decisions under load since the last call.
    pub fn take_load_events(&mut self) -> Vec<LoadEvent> {
        self.overload.take_events()
    }

    /// Number of tracked flows.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Evicts expired state, and flows without packets for `idle`.
    ///
    /// `as_of` is the time up to which the directory is complete.
    pub fn evict(&mut self, idle: Duration, as_of: Option<Instant>, now: Instant) {
        self.openings.evict(now);
        self.ejection.evict(as_of, now);
        self.dead.evict(now);
        self.flows.evict(idle, now);
    }

    /// Decides about an opening packet and chooses the upstream of the new flow.
    fn open(
        &mut self,
        packet: &Packet,
        route: &Route,
        directory: &Directory,
        is_fresh: bool,
        now: Instant,
    ) -> Verdict {
        let mut tried = self.openings.tried(packet.flow, now);
        let service = draw_service(route, &mut self.rng);
        let mut admission = Admission::HERE;
        if tried.is_empty() {
            let caller = *packet.flow.caller.ip();
            admission = self.overload.admit(caller, service, route, now);
            if let Admission::Rejected(reason) = admission {
                return Verdict::Reset(reason);
            }
            if let Some(until) = self.herd.delay_until(packet.ack, route.target_latency, now) {
                return Verdict::Wait { until };
            }
        }
        let refused = match packet.ack {
            0 => self.openings.refused(packet.flow, now),
            _ => Attempts::new(),
        };
        self.eject_silent(&tried, &refused, now);
        tried.extend(refused);
        let leaves_for = self.overload.zone_for(service, admission, &mut self.rng);
        let chooser = Chooser {
            zone: &self.zone,
            preferred: leaves_for.as_ref().unwrap_or(&self.zone),
            busy: self.overload.busy(service),
            directory,
            flows: &self.flows,
            ejection: &self.ejection,
            failure: &self.failure,
        };
        let Some(choice) = chooser.choose(service, &tried, &mut self.rng, now) else {
            return match is_fresh && directory.is_settled(now) {
                true => Verdict::Reset(ResetReason::NoUpstream),
                false => Verdict::Drop(DropReason::NoUpstream),
            };
        };
        match packet.ack {
            0 => self.deliveries.record(packet.flow, choice.id, now),
            _ => self.deliveries.record_retransmission(packet.flow),
        }
        self.openings.record(packet.flow, choice.id, now);
        if self.ejection.record_opening(choice.id, now) {
            self.health_changes.push(HealthChange::Probed(choice.id));
        }
        self.flows.open(packet.flow, choice.id, now);
        if let Some(known) = directory.get(choice.id) {
            let Upstream { service, zone, .. } = &known.upstream;
            self.overload.record_opened(service, zone);
        }
        Verdict::Open(choice)
    }

    /// Ejects upstreams that left earlier opening packets of a caller unanswered, or refused them repeatedly.
    fn eject_silent(&mut self, unanswered: &Attempts, refused: &Attempts, now: Instant) {
        for Attempt { upstream, at } in unanswered {
            if self.ejection.record(*upstream, *at, now) {
                self.health_changes.push(HealthChange::Silent(*upstream));
            }
        }
        for Attempt { upstream, at } in refused {
            if self.ejection.record_refusal(*upstream, *at, now) {
                self.health_changes.push(HealthChange::Refuses(*upstream));
            }
        }
    }

    /// Records the openings that no packet followed in time, and ejects their upstreams.
    fn record_failed_openings(&mut self, directory: &Directory, now: Instant) {
        for (flow, Attempt { upstream, at }) in self.openings.take_failed(now) {
            let Some(TrackedUpstream {
                upstream: known, ..
            }) = directory.get(upstream)
            else {
                continue;
            };
            let failure_rate = self.failure.record(&known.service, &known.zone, true, now);
            self.overload.record_failed(&known.service, &known.zone);
            self.failed.push(FailedOpening { upstream, at });
            let is_silent = match failure_rate >= correlated_failure::MAJORITY {
                true => self.ejection.record(upstream, at, now),
                false => self.ejection.record_refusal(upstream, at, now),
            };
            if is_silent {
                self.health_changes
                    .push(HealthChange::Unfollowed(upstream, flow));
            }
        }
    }

    /// Whether the route of a flow, which the directory lacks, was removed after the flow was opened.
    ///
    /// Otherwise another daemon may have opened the flow by a newer configuration, which this daemon has not received.
    fn is_route_removed(&self, flow: FlowId, directory: &Directory, now: Instant) -> bool {
        let was_open = self.flows.first_seen(flow);
        let is_confirmed = was_open.is_some_and(|at| Some(at) < directory.as_of());
        let was_opened_here = !self.openings.tried(flow, now).is_empty();
        is_confirmed || was_opened_here || self.flows.had_route(flow)
    }

    /// Forwards a packet of an open flow to the upstream that its label names.
    fn forward(
        &mut self,
        packet: &Packet,
        route: Option<&Route>,
        directory: &Directory,
        now: Instant,
    ) -> Verdict {
        let id = directory.with_label(packet.label);
        let Some((id, known)) = id.and_then(|id| Some((id, directory.get(id)?))) else {
            return Verdict::Drop(DropReason::UnknownLabel);
        };
        let event = self.flows.record(packet, id, route.is_some(), now);
        if let Some(response) = self.flows.take_response() {
            let Upstream { service, zone, .. } = &known.upstream;
            let priority = route.map_or(PRIORITY_LOWEST, |route| route.priority);
            self.overload
                .record_response(service, zone, priority, response);
        }
        self.observe_answer(packet, (id, known), event, now);
        match event {
            FlowEvent::Request(_) => self.deliveries.record(packet.flow, id, now),
            FlowEvent::Retransmission(_) => self.deliveries.record_retransmission(packet.flow),
            FlowEvent::Answered(_) | FlowEvent::Nothing => (),
        }
        if let Some(route) = route.filter(|route| route.is_idempotent) {
            if let FlowEvent::Retransmission(_) = event {
                self.suspect(packet.flow, (id, known), route.target_latency, now);
            }
            let service = &known.upstream.service;
            let is_evidence = self.overload.unanswered_allowance(service).is_some();
            if packet.len > 0 && is_evidence && self.dead.is_dead(id, now) {
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

    /// Records that the upstream answers, if the packet shows it.
    fn observe_answer(
        &mut self,
        packet: &Packet,
        (id, known): (UpstreamId, &TrackedUpstream),
        event: FlowEvent,
        now: Instant,
    ) {
        let opened = self.openings.opened(packet.flow, id);
        if let Some(at) = opened {
            let Upstream { service, zone, .. } = &known.upstream;
            self.failure.record(service, zone, false, now);
            let took = now.saturating_duration_since(at);
            self.overload.record_connected(service, zone, took);
        }
        let answered = match event {
            FlowEvent::Answered(at) | FlowEvent::Request(at) => at,
            FlowEvent::Retransmission(_) | FlowEvent::Nothing => None,
        };
        let Some(asked) = opened.or(answered) else {
            return;
        };
        self.deliveries.record_answer(packet.flow, now);
        let was_dead = self.dead.record_answer(id, now);
        let flow_since = opened.or(self.flows.first_seen(packet.flow)).unwrap_or(now);
        if self.ejection.record_answer(id, asked, flow_since, now) || was_dead {
            self.health_changes.push(HealthChange::Answers(id));
        }
    }

    /// Checks after a retransmitted request whether enough requests are unanswered to declare the upstream dead.
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
        let service = &known.upstream.service;
        let Some(allowance) = self.overload.unanswered_allowance(service) else {
            return;
        };
        let request = Unanswered {
            caller: *flow.caller.ip(),
            since: now - asked.waited(now),
            target_latency,
            allowance,
            is_unlisted: known.is_gone(now),
        };
        if !request.is_overdue(now) {
            return;
        }
        // A request that this daemon itself holds up is no evidence. The comparison around the last packet but one finds
        // upstreams that died with most others, because requests that come later go to live ones.
        let is_lost = |at, n| self.deliveries.is_lost(at, n, id, now);
        if is_lost(asked.first, asked.retransmissions.saturating_sub(1))
            && (!asked.is_last_timely() || is_lost(asked.previous, 1))
        {
            self.health_changes.push(HealthChange::Inconclusive(id));
            return;
        }
        if self.dead.record(id, request, now) {
            self.ejection.record(id, asked.first, now);
            self.health_changes.push(HealthChange::Dead(id));
        }
    }
}

/// Picks a service of the route at random, in proportion to the weights.
fn draw_service<'r>(route: &'r Route, rng: &mut impl Rng) -> &'r str {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut pick = rng.random_range(0..total.max(1));
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if pick < weight {
            return &target.service;
        }
        pick -= weight;
    }
    route.targets.first().map_or("", |t| &t.service)
}
