//! Where a packet goes.

use super::{
    directory::{
        Directory,
        Known, //
    },
    entry::{
        Route,
        UpstreamId, //
    },
    load::Load,
    openings::{
        Openings,
        Tried, //
    },
    packet::{
        Kind,
        Label,
        Packet, //
    },
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

/// How much more load an upstream of the daemon's own zone may have before another zone's is taken.
const ZONE_PREFERENCE: f64 = 4.0;

/// Age of the view up to which a missing route is certain: the bound in which a configuration is to be in force, less
/// a margin, so that a newer configuration cannot have been meant to be in force already.
const CERTAIN: Duration = Duration::from_secs(2);

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// No route has its address and port.
    NoRoute,
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
    /// The service has no upstream that can take it.
    NoUpstream,
}

/// What is done with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to an upstream.
    Forward {
        /// The upstream.
        id: UpstreamId,
        /// Its address.
        to: SocketAddrV4,
        /// The label that the packet is to carry.
        label: Label,
    },
    /// Its flow is reset.
    Reset(ResetReason),
    /// Nothing is done.
    Drop(DropReason),
}

/// Decides where packets go.
#[derive(Clone, Debug)]
pub struct Balancer<R> {
    zone: Rc<str>,
    rng: R,
    openings: Openings,
    load: Load,
}

impl<R: Rng> Balancer<R> {
    /// A balancer in `zone` that has seen nothing.
    pub fn new(zone: Rc<str>, rng: R) -> Self {
        Self {
            zone,
            rng,
            openings: Openings::default(),
            load: Load::default(),
        }
    }

    /// Decides about a packet; `age` is the time since the platform confirmed the directory.
    pub fn decide(
        &mut self,
        packet: &Packet,
        directory: &Directory,
        age: Duration,
        now: Instant,
    ) -> Verdict {
        let Some(cfg) = directory.configuration() else {
            return Verdict::Drop(DropReason::NoView);
        };
        let route = cfg.routes.get(&packet.flow.route);
        match (packet.kind, route) {
            (Kind::Open, Some(route)) => self.open(packet, route, directory, now),
            (Kind::Reset, _) | (_, Some(_)) => self.go_on(packet, directory, now),
            (_, None) if age <= CERTAIN => Verdict::Reset(ResetReason::NoRoute),
            (Kind::Open, None) => Verdict::Drop(DropReason::UncertainRoute),
            (_, None) => self.go_on(packet, directory, now),
        }
    }

    /// Forgets what is no longer of use.
    pub fn forget(&mut self, directory: &Directory, now: Instant) {
        self.openings.forget(now);
        self.load.forget(|id| directory.get(id).is_some());
    }

    /// Chooses an upstream for a new flow.
    fn open(
        &mut self,
        packet: &Packet,
        route: &Route,
        directory: &Directory,
        now: Instant,
    ) -> Verdict {
        let tried = self.openings.tried(packet.flow, now);
        for id in &tried {
            self.load.silent(*id, now);
        }
        let service = self.draw_service(route);
        let Some((id, to)) = self.choose(service, &tried, directory, now) else {
            return Verdict::Drop(DropReason::NoUpstream);
        };
        self.openings.note(packet.flow, id, now);
        self.load.open(id, now);
        Verdict::Forward {
            id,
            to,
            label: id.label(),
        }
    }

    /// Sends a packet of an open flow to the upstream that its label names.
    fn go_on(&mut self, packet: &Packet, directory: &Directory, now: Instant) -> Verdict {
        let ids = directory.with_label(packet.label);
        let Some((id, known)) = ids.first().and_then(|id| Some((*id, directory.get(*id)?))) else {
            return Verdict::Drop(DropReason::UnknownLabel);
        };
        if self.openings.opened(packet.flow).is_some() {
            self.load.answered(id, now);
        }
        Verdict::Forward {
            id,
            to: known.upstream.address,
            label: packet.label,
        }
    }

    fn draw_service<'r>(&mut self, route: &'r Route) -> &'r str {
        let total: u32 = route.targets.iter().map(|t| t.weight).sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        for target in &route.targets {
            if drawn < target.weight {
                return &target.service;
            }
            drawn -= target.weight;
        }
        route.targets.first().map_or("", |t| &t.service)
    }

    fn choose(
        &mut self,
        service: &str,
        tried: &Tried,
        directory: &Directory,
        now: Instant,
    ) -> Option<(UpstreamId, SocketAddrV4)> {
        let mut best: Option<((u8, f64), UpstreamId, SocketAddrV4)> = None;
        for id in directory.of_service(service) {
            let Some(known) = directory.get(*id) else {
                continue;
            };
            if !is_usable(*id, known, directory, now) {
                continue;
            }
            let score = self.score(*id, known, tried, now);
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, *id, known.upstream.address));
            }
        }
        best.map(|(_, id, to)| (id, to))
    }

    /// How bad an upstream is for a new flow; lower is better.
    fn score(&mut self, id: UpstreamId, known: &Known, tried: &Tried, now: Instant) -> (u8, f64) {
        let class = match (tried.contains(&id), self.load.is_silent(id, now)) {
            (false, false) => 0,
            (false, true) => 1,
            (true, _) => 2,
        };
        let taken = self.load.openings(id, now) + self.rng.random::<f64>() * 0.1;
        let per_slot = (taken + 1.0) / f64::from(known.upstream.slots.max(1));
        let score = match known.upstream.zone == self.zone {
            true => per_slot,
            false => per_slot * ZONE_PREFERENCE,
        };
        (class, score)
    }
}

fn is_usable(id: UpstreamId, known: &Known, directory: &Directory, now: Instant) -> bool {
    let zone = &known.upstream.zone;
    let cold = known.is_cold(now) || directory.has_returned(zone, now);
    let first = directory.with_label(id.label()).first() == Some(&id);
    known.serves(now) && !cold && !directory.is_out(zone) && first
}
