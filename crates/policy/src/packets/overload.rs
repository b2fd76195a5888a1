//! Decisions under load: measures the load of services, rejects openings and sends flows to other zones.

use super::{
    balancer::ResetReason,
    choice::Busy,
    congestion::{
        Congestion,
        Observation,
        REFUSALS_MAX, //
    },
    directory::Directory,
    entry::Route,
    load::{
        Counts,
        LoadMeter,
        LoadReport,
        DECAY, //
    },
    load_shedding::{
        rank,
        AdmissionOrder,
        AdmittedShare,
        Place,
        Supply,
        ADMITTED_MIN, //
    },
    load_status::{
        AdmissionReason,
        LoadEvent,
        LoadSettings,
        ServiceLoad, //
    },
    own_delay::{
        OwnAdmission,
        OwnDelay, //
    },
    spillover::{
        PoolLoad,
        Spillover, //
    },
    subset::Position, //
};
use rand::Rng;
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    net::Ipv4Addr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Utilization from which the daemons of a zone exchange their loads.
const EXCHANGE_UTILIZATION: f64 = 0.5;

/// Utilization from which the upstreams of a zone are divided among its daemons.
const BUSY_UTILIZATION: f64 = 0.9;

/// Own pressure from which the loads and admitted shares of other daemons lead to rejections: no daemon rejects on the word
/// of others alone.
const TRUSTED_PRESSURE: f64 = 0.5;

/// Own delay above which unanswered requests say nothing about an upstream.
const OWN_DELAY_MAX: Duration = Duration::from_millis(100);

/// Own delay up to which the failure detector ignores it.
const OWN_DELAY_MIN: Duration = Duration::from_millis(10);

/// Own delay from which operators are told that it began; at half of it they are told that it ended.
const OWN_DELAY_REPORTED: Duration = Duration::from_millis(50);

/// Multiple of a mean delay within which nearly all packets arrive.
const ALLOWANCE_FACTOR: u32 = 4;

/// Smallest part of the openings that counts as admitted because of the admitted share.
const CONDITIONAL_MIN: f64 = 0.05;

/// Number of own answers from which the loads of other daemons are not used. They are 250 ms old on average, and a share
/// that is set again in each window from the same old sums overshoots; so many answers tell the mean well enough.
const OWN_ANSWERS_MIN: f64 = 32.0;

/// Weight of a window in the mean share of the zone's load that this daemon carries. The loads of others are from another
/// moment, but the shares of the daemons change only when the fabric changes.
const SCALE_GAIN: f64 = 0.05;

/// Time for which the sum of the loads of other daemons is used: two intervals of the exchange.
const OTHERS_TTL: Duration = Duration::from_millis(500);

/// Weight of a new connect time in the moving average.
const CONNECT_GAIN: f64 = 0.125;

/// Length up to which a response has no room for content: a status line and headers only, as an upstream that sheds load
/// sends them.
const REFUSAL_LEN_MAX: u32 = 256;

/// Time after which the shortest target latency of a service's routes is determined anew.
const TARGET_TTL: Duration = Duration::from_secs(10);

/// Time without traffic after which the state of a service is evicted.
const SERVICE_TTL: Duration = Duration::from_secs(60);

/// Decision about an opening.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The caller is served, at this place among the admitted callers, from 0 (first) to 1.
    Admitted {
        /// The place.
        among_admitted: f64,
    },
    /// The opening is rejected.
    Rejected(ResetReason),
}

impl Admission {
    /// The caller is served in the own zone.
    pub const HERE: Self = Self::Admitted {
        among_admitted: 0.0,
    };
}

/// Response of an upstream, as the next packet of the caller shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// Time from the request to the packet that acknowledges the response.
    pub took: Duration,
    /// Number of bytes that the packet acknowledges.
    pub len: u32,
}

/// Load of one service, and the decisions about its openings.
#[derive(Clone, Debug)]
struct Service {
    /// Mean connect times by zone, in seconds.
    connect_s: SmallVec<[(Rc<str>, f64); 4]>,
    target_latency: Duration,
    target_since: Instant,
    last_used: Instant,
    congestion: Congestion,
    admitted: AdmittedShare,
    spillover: Spillover,
    order: AdmissionOrder,
    /// Openings that were admitted because of the admitted share, and for other reasons, as sums that decay.
    conditional: f64,
    unconditional: f64,
    /// Whether the last verdict was an overload.
    is_overloaded: bool,
    /// Pressure that this daemon observes by itself.
    own_pressure: f64,
    /// Load of the zone relative to that of this daemon; `None` before another daemon has reported.
    own_scale: Option<f64>,
    load: ServiceLoad,
}

impl Service {
    fn new(name: Rc<str>, target_latency: Duration, now: Instant) -> Self {
        Self {
            connect_s: SmallVec::new(),
            target_latency,
            target_since: now,
            last_used: now,
            congestion: Congestion::default(),
            admitted: AdmittedShare::default(),
            spillover: Spillover::default(),
            order: AdmissionOrder::default(),
            conditional: 0.0,
            unconditional: 0.0,
            is_overloaded: false,
            own_pressure: 0.0,
            own_scale: None,
            load: ServiceLoad {
                service: name,
                slots: 0,
                utilization: 0.0,
                service_time: None,
                goal: target_latency,
                refusal_rate: 0.0,
                admitted: 1.0,
                leaving: Vec::new(),
                daemons: 1,
            },
        }
    }

    fn record_target(&mut self, target_latency: Duration, now: Instant) {
        let is_expired = now >= self.target_since + TARGET_TTL;
        if is_expired || target_latency < self.target_latency {
            self.target_latency = target_latency;
            self.target_since = now;
        }
    }

    fn record_connect_time(&mut self, zone: &Rc<str>, took_s: f64) {
        match self.connect_s.iter_mut().find(|(known, _)| known == zone) {
            Some((_, mean_s)) => *mean_s += (took_s - *mean_s) * CONNECT_GAIN,
            None => self.connect_s.push((Rc::clone(zone), took_s)),
        }
    }

    /// Load of the zone relative to that of this daemon: the mean of what the reports of others show, or the number of live
    /// daemons.
    fn own_scale(&mut self, observed: Option<f64>, live_daemons: usize) -> f64 {
        if let Some(observed) = observed {
            let known = self.own_scale.get_or_insert(observed);
            *known += (observed - *known) * SCALE_GAIN;
        }
        self.own_scale.unwrap_or(live_daemons as f64)
    }

    /// Part of the openings that was admitted because of the admitted share; ends `windows` windows.
    fn conditional_part(&mut self, windows: u32) -> f64 {
        let all = self.conditional + self.unconditional;
        let part = match all > 0.0 {
            true => (self.conditional / all).max(CONDITIONAL_MIN),
            false => 1.0,
        };
        let factor = DECAY.powf(f64::from(windows));
        self.conditional *= factor;
        self.unconditional *= factor;
        part
    }

    /// Factor from the openings that are forwarded to those that callers want; further attempts of rejected callers are
    /// not counted.
    fn wanted_factor(&self, conditional: f64) -> f64 {
        1.0 - conditional + conditional / self.admitted.recent().max(ADMITTED_MIN)
    }

    fn connect_s(&self, zone: &str) -> f64 {
        let found = self.connect_s.iter().find(|(known, _)| **known == *zone);
        found.map_or(0.0, |(_, mean_s)| *mean_s)
    }
}

/// Load of all services, and the decisions that follow from it.
#[derive(Clone, Debug)]
pub struct Overload {
    zone: Rc<str>,
    settings: LoadSettings,
    meter: LoadMeter,
    services: HashMap<Rc<str>, Service>,
    /// Sum of the loads that the other daemons of the zone observe, with the time of its arrival.
    others: Option<(LoadReport, Instant)>,
    position: Position,
    /// A time of day and the instant to which it belongs.
    clock: Option<(Duration, Instant)>,
    events: Vec<LoadEvent>,
    own_delay: OwnDelay,
    own_admission: OwnAdmission,
    is_delaying: bool,
}

impl Overload {
    /// Creates the state of a daemon in `zone` that has seen no packets.
    pub fn new(zone: Rc<str>) -> Self {
        Self {
            zone,
            settings: LoadSettings::default(),
            meter: LoadMeter::default(),
            services: HashMap::new(),
            others: None,
            position: Position::ALONE,
            clock: None,
            events: Vec::new(),
            own_delay: OwnDelay::default(),
            own_admission: OwnAdmission::default(),
            is_delaying: false,
        }
    }

    /// Applies settings.
    pub fn set_settings(&mut self, settings: LoadSettings) {
        self.settings = settings;
        for service in self.services.values_mut() {
            if !settings.shed {
                service.admitted = AdmittedShare::default();
            }
            if !settings.spill {
                service.spillover = Spillover::default();
            }
        }
    }

    /// Sets the time of day and the position among the live daemons of the zone.
    pub fn set_surroundings(&mut self, unix: Duration, position: Position, now: Instant) {
        self.clock = Some((unix, now));
        self.position = position;
    }

    /// Load that this daemon observes by itself.
    pub fn report(&self, now: Instant) -> LoadReport {
        let mut report = self.meter.report(now);
        for (name, service) in &self.services {
            if service.admitted.get() < 1.0 {
                report
                    .admitted
                    .push((Rc::clone(name), service.admitted.get()));
            }
            if let Some(baseline_s) = service.congestion.baseline_s() {
                report.baseline_s.push((Rc::clone(name), baseline_s));
            }
        }
        report
    }

    /// Applies the sum of the loads that all other daemons of the zone observe.
    pub fn apply_zone_load(&mut self, others: LoadReport, now: Instant) {
        for (name, service) in &mut self.services {
            if let Some(baseline_s) = others.baseline_s(name) {
                service.congestion.adopt_baseline(baseline_s);
            }
            let is_trusted = self.settings.shed && service.own_pressure >= TRUSTED_PRESSURE;
            let admitted = others.admitted(name);
            // The shares of others are some 0.3 s old, so that lower ones would slow down the return to normal.
            let is_rise = admitted >= service.admitted.get();
            if others.daemons > 0 && is_trusted && (is_rise || service.is_overloaded) {
                service.admitted.approach(admitted);
            }
        }
        self.others = Some((others, now));
    }

    /// Whether a service is so busy that the daemons of the zone should exchange their loads.
    pub fn is_exchange_due(&self) -> bool {
        self.services.values().any(|service| {
            service.load.utilization > EXCHANGE_UTILIZATION || service.admitted.get() < 1.0
        })
    }

    /// Loads of the services with traffic, sorted by name.
    pub fn service_loads(&self) -> Vec<ServiceLoad> {
        let mut loads: Vec<_> = self.services.values().map(|s| s.load.clone()).collect();
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        loads
    }

    /// Time for which this daemon's own link, socket or processor delays packets.
    pub fn own_delay(&self) -> Duration {
        self.own_delay.delay()
    }

    /// Time that is added to that without an answer after which an upstream is considered dead; `None` if unanswered
    /// requests are no evidence now, because this daemon itself delays them.
    pub fn unanswered_allowance(&self, service: &str) -> Option<Duration> {
        let own_delay = self.own_delay();
        if own_delay > OWN_DELAY_MAX {
            return None;
        }
        let own_delay = match own_delay > OWN_DELAY_MIN {
            true => own_delay,
            false => Duration::ZERO,
        };
        let load = self.services.get(service).map(|service| &service.load);
        let busy = load.filter(|load| load.utilization > BUSY_UTILIZATION);
        let service_time = busy.and_then(|load| load.service_time).unwrap_or_default();
        Some((own_delay + service_time) * ALLOWANCE_FACTOR)
    }

    /// Removes and returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<LoadEvent> {
        std::mem::take(&mut self.events)
    }

    /// Why an opening of a caller on a route would be admitted or rejected now.
    pub fn explain(&self, caller: Ipv4Addr, route: &Route, now: Instant) -> AdmissionReason {
        let name = route.targets.first().map(|target| &target.service);
        let service = name.and_then(|name| self.services.get(name));
        let place = service.map(|s| self.place(s, caller, route.priority, now));
        let admitted = service.map_or(1.0, |s| s.admitted.get());
        AdmissionReason {
            caller,
            service: name.map_or_else(|| "".into(), Rc::clone),
            priority: route.priority,
            place: place.map_or(0.0, |place| place.place),
            admitted,
            is_heavy: place.is_some_and(|place| place.is_heavy),
            is_admitted: match (service, place) {
                (Some(service), Some(place)) => {
                    self.rejection(service, route.priority, place).is_none()
                }
                _ => true,
            },
        }
    }

    /// Records an opening of a caller and decides whether it is admitted.
    pub fn admit(
        &mut self,
        caller: Ipv4Addr,
        service: &str,
        route: &Route,
        now: Instant,
    ) -> Admission {
        let Some((name, _)) = self.services.get_key_value(service) else {
            let target = route.targets.iter().find(|t| *t.service == *service);
            if let Some(target) = target {
                let state = Service::new(Rc::clone(&target.service), route.target_latency, now);
                self.services.insert(Rc::clone(&target.service), state);
            }
            return Admission::HERE;
        };
        let name = Rc::clone(name);
        if let Some(service) = self.services.get_mut(&name) {
            service.last_used = now;
            service.record_target(route.target_latency, now);
            service.order.record(caller, route.priority, now);
        }
        let Some(service) = self.services.get(&name) else {
            return Admission::HERE;
        };
        let (admitted, own) = (service.admitted.get(), self.own_admission.admitted());
        let is_leaving = service.spillover.leaving() > 0.0;
        if admitted >= 1.0 && own >= 1.0 && !is_leaving {
            return Admission::HERE;
        }
        let place = self.place(service, caller, route.priority, now);
        if let Some(reason) = self.rejection(service, route.priority, place) {
            return Admission::Rejected(reason);
        }
        let is_unconditional = is_unconditional(service, route.priority, place);
        let service = self.services.get_mut(&name);
        let counted = service.map(|service| match is_unconditional {
            true => &mut service.unconditional,
            false => &mut service.conditional,
        });
        if let Some(count) = counted {
            *count += 1.0;
        }
        // The last ones within the admitted share leave first; those beyond it are few and stay.
        let among_admitted = match place.place > admitted {
            true => 0.0,
            false => place.place + 1.0 - admitted,
        };
        Admission::Admitted { among_admitted }
    }

    /// Why an opening at a place is rejected; `None` if it is admitted.
    fn rejection(&self, service: &Service, priority: u8, place: Place) -> Option<ResetReason> {
        if !self.settings.shed {
            return None;
        }
        let is_last = place.place > service.admitted.get();
        if is_last && !is_unconditional(service, priority, place) {
            return Some(ResetReason::Overload);
        }
        let is_delayed = place.place > self.own_admission.admitted();
        (is_delayed && !place.is_guaranteed).then_some(ResetReason::OwnDelay)
    }

    /// Zone for which a flow of a service leaves, if it does; one of several zones is drawn.
    pub fn zone_for(
        &self,
        service: &str,
        admission: Admission,
        rng: &mut impl Rng,
    ) -> Option<Rc<str>> {
        let Admission::Admitted { among_admitted } = admission else {
            return None;
        };
        let spillover = &self.services.get(service)?.spillover;
        if spillover.leaving() <= 0.0 {
            return None;
        }
        spillover.zone_for(among_admitted, rng.random()).cloned()
    }

    /// Load of a service if it is so high that its upstreams are divided among the daemons of the zone.
    pub fn busy(&self, service: &str) -> Option<Busy> {
        let utilization = self.services.get(service)?.load.utilization;
        (self.settings.spill && utilization > BUSY_UTILIZATION).then_some(Busy {
            utilization,
            position: self.position,
        })
    }

    /// Records an opening that is forwarded.
    pub fn record_opened(&mut self, service: &Rc<str>, zone: &Rc<str>) {
        self.meter.pool(service, zone).opened += 1.0;
    }

    /// Records an opening that no packet followed in time.
    pub fn record_failed(&mut self, service: &Rc<str>, zone: &Rc<str>) {
        self.meter.pool(service, zone).failed += 1.0;
    }

    /// Records the connect time of a flow.
    pub fn record_connected(&mut self, service: &Rc<str>, zone: &Rc<str>, took: Duration) {
        let took_s = took.as_secs_f64();
        let counts = self.meter.pool(service, zone);
        counts.connects += 1.0;
        counts.connect_s += took_s;
        if let Some(service) = self.services.get_mut(service) {
            service.record_connect_time(zone, took_s);
        }
    }

    /// Records a response of an upstream.
    pub fn record_response(
        &mut self,
        service: &Rc<str>,
        zone: &Rc<str>,
        priority: u8,
        response: Response,
    ) {
        let took_s = response.took.as_secs_f64();
        let mut service_s = took_s;
        if let Some(service) = self.services.get_mut(service) {
            service_s = (took_s - service.connect_s(zone)).max(0.0);
            service.order.record_served(priority, service_s);
        }
        let counts = self.meter.pool(service, zone);
        counts.answers += 1.0;
        counts.service_s += service_s;
        if response.len < REFUSAL_LEN_MAX {
            counts.refusals += 1.0;
            counts.refusal_s += service_s;
        }
    }

    /// Judges the load of each service again if a window has ended.
    pub fn update(&mut self, directory: &Directory, now: Instant) {
        let windows = self.meter.roll(now);
        if windows == 0 {
            return;
        }
        if self
            .others
            .as_ref()
            .is_some_and(|(_, at)| now >= *at + OTHERS_TTL)
        {
            self.others = None;
        }
        let own = self.meter.report(now);
        self.update_own_delay(&own, windows);
        let names: SmallVec<[Rc<str>; 4]> = self.services.keys().cloned().collect();
        for name in names {
            self.update_service(&name, &own, directory, windows, now);
        }
        self.services
            .retain(|_, service| now < service.last_used + SERVICE_TTL);
    }

    fn update_own_delay(&mut self, own: &LoadReport, windows: u32) {
        let pools = own.pools.iter().filter_map(|(pool, counts)| {
            let connect_s = counts.connect_time()?;
            Some((pool, connect_s, counts.connects))
        });
        self.own_delay.update(pools, windows);
        let delay = self.own_delay();
        self.own_admission.update(delay, windows);
        if !self.is_delaying && delay > OWN_DELAY_REPORTED {
            self.is_delaying = true;
            self.events.push(LoadEvent::OwnDelayBegan(delay));
        } else if self.is_delaying && delay < OWN_DELAY_REPORTED / 2 {
            self.is_delaying = false;
            self.events.push(LoadEvent::OwnDelayEnded(delay));
        }
    }

    fn update_service(
        &mut self,
        name: &Rc<str>,
        own: &LoadReport,
        directory: &Directory,
        windows: u32,
        now: Instant,
    ) {
        let zone = Rc::clone(&self.zone);
        let has_enough = own.counts(name, &zone).answers >= OWN_ANSWERS_MIN;
        let others = self.others.as_ref().map(|(others, _)| others);
        // Few flows of one daemon go to another zone, so that its load is known only to all together.
        let whole = Total::new(own, others, self.position.daemons);
        let live = self.position.daemons;
        let total = match self.services.get_mut(name).filter(|_| has_enough) {
            Some(service) => {
                let scale = whole.scale_of_own(name, &zone);
                Total::of_own(own, service.own_scale(scale, live))
            }
            None => Total::new(own, others, live),
        };
        let slots = usable_slots(directory, name, now);
        let pool = |zone: &Rc<str>| PoolLoad {
            zone: Rc::clone(zone),
            slots: slots.iter().find(|(z, _)| z == zone).map_or(0, |(_, n)| *n),
            counts: whole.counts(name, zone).0,
        };
        let home = pool(&zone);
        let others: SmallVec<[PoolLoad; 4]> = slots
            .iter()
            .filter(|(other, _)| *other != zone)
            .map(|(other, _)| pool(other))
            .collect();
        let left: f64 = others.iter().map(|other| other.counts.opened).sum();
        let slots = home.slots;
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.order.roll(windows);
        let own_counts = own.counts(name, &zone);
        let (counts, answers) = total.counts(name, &zone);
        let observation = Observation {
            counts,
            answers,
            slots,
            target_latency: service.target_latency,
        };
        let goal_s = service.congestion.goal_s(service.target_latency);
        service.own_pressure = own_counts.service_time().map_or(0.0, |mean| mean / goal_s);
        let verdict = service.congestion.update(&observation, windows);
        let verdict = verdict.filter(|_| confirms_overload(&own_counts, service.own_pressure));
        service.is_overloaded = verdict.is_some_and(|verdict| verdict.is_overloaded());
        let price = self.settings.zone_price;
        let left_before = service.spillover.leaving();
        let conditional = service.conditional_part(windows);
        let wanted = (home.counts.opened + left) * service.wanted_factor(conditional);
        let mut home = home;
        home.counts.opened = wanted - left;
        if self.settings.spill {
            service
                .spillover
                .update(&home, &others, service.target_latency, price, windows);
        }
        let left_after = service.spillover.leaving();
        // Loads of other daemons may have changed the share since.
        let before = service.load.admitted;
        let supply = Supply {
            home: counts,
            utilization: Congestion::utilization(&observation),
            left,
            leaving: service.spillover.leaving() * wanted,
            goal_s,
            conditional,
        };
        if self.settings.shed {
            service.admitted.update(verdict, &supply, windows);
        }
        let after = service.admitted.get();
        service.load = ServiceLoad {
            service: Rc::clone(name),
            slots,
            utilization: Congestion::utilization(&observation),
            service_time: counts.service_time().map(Duration::from_secs_f64),
            goal: Duration::from_secs_f64(goal_s),
            refusal_rate: counts.refusal_rate(),
            admitted: after,
            leaving: service
                .spillover
                .shares()
                .map(|(zone, share)| (Rc::clone(zone), share))
                .collect(),
            daemons: whole.daemons,
        };
        let load = &service.load;
        match (before < 1.0, after < 1.0) {
            (false, true) => self.events.push(LoadEvent::OverloadBegan(load.clone())),
            (true, false) => self.events.push(LoadEvent::OverloadEnded(load.clone())),
            _ => (),
        }
        match (left_before > 0.0, left_after > 0.0) {
            (false, true) => self.events.push(LoadEvent::SpilloverBegan(load.clone())),
            (true, false) => self.events.push(LoadEvent::SpilloverEnded(load.clone())),
            _ => (),
        }
    }

    fn place(&self, service: &Service, caller: Ipv4Addr, priority: u8, now: Instant) -> Place {
        let unix = self.clock.map_or(Duration::ZERO, |(unix, at)| {
            unix + now.saturating_duration_since(at)
        });
        service.order.place(caller, priority, rank(caller, unix))
    }
}

/// Whether this daemon observes signs of overload by itself: service times near the goal, or refusals.
fn confirms_overload(own: &Counts, own_pressure: f64) -> bool {
    own_pressure >= TRUSTED_PRESSURE || own.refusal_rate() > REFUSALS_MAX
}

/// Utilization up to which requests of a priority and of higher ones fit the slots.
const FITTING_UTILIZATION: f64 = 0.9;

/// Whether an opening is admitted whatever the admitted share.
fn is_unconditional(service: &Service, priority: u8, place: Place) -> bool {
    place.is_guaranteed || fits_alone(service, priority)
}

/// Whether the requests of a priority and of higher ones fit the slots by themselves.
///
/// They are admitted then: requests of lower priorities on flows that were open before cannot be rejected, and they
/// must not crowd out urgent callers. Without slots in the zone, no opening needs one here.
fn fits_alone(service: &Service, priority: u8) -> bool {
    let wanted = match service.order.is_last(priority) {
        true => service.load.utilization / service.admitted.recent().max(ADMITTED_MIN),
        false => service.load.utilization * service.order.served_share(priority),
    };
    service.load.slots == 0 || wanted < FITTING_UTILIZATION
}

/// Observations of this daemon together with those of the others of its zone.
struct Total<'r> {
    own: &'r LoadReport,
    others: Option<&'r LoadReport>,
    /// Number of daemons whose observations are included.
    daemons: u32,
    /// Factor from these daemons to all of the zone: the fabric spreads flows evenly.
    scale: f64,
}

impl<'r> Total<'r> {
    fn new(own: &'r LoadReport, others: Option<&'r LoadReport>, live_daemons: usize) -> Self {
        let daemons = 1 + others.map_or(0, |others| others.daemons);
        Self {
            own,
            others,
            daemons,
            scale: (live_daemons as f64 / f64::from(daemons)).max(1.0),
        }
    }

    /// Observations of this daemon alone, scaled by a known factor.
    fn of_own(own: &'r LoadReport, scale: f64) -> Self {
        Self {
            own,
            others: None,
            daemons: 1,
            scale,
        }
    }

    /// Answers of a pool in the whole zone relative to those of this daemon; `None` without reports of other daemons.
    fn scale_of_own(&self, service: &str, zone: &str) -> Option<f64> {
        self.others.filter(|others| others.daemons > 0)?;
        let own = self.own.counts(service, zone).answers;
        let (all, _) = self.counts(service, zone);
        (own > 0.0).then(|| all.answers / own)
    }

    /// Observations of a pool for the whole zone, and the number of answers that were observed, not extrapolated.
    fn counts(&self, service: &str, zone: &str) -> (Counts, f64) {
        let mut counts = self.own.counts(service, zone);
        if let Some(others) = self.others {
            counts += others.counts(service, zone);
        }
        (counts * self.scale, counts.answers)
    }
}

/// Slots of the upstreams of a service that take new flows, by zone.
fn usable_slots(
    directory: &Directory,
    service: &str,
    now: Instant,
) -> SmallVec<[(Rc<str>, u32); 8]> {
    let mut slots = SmallVec::<[(Rc<str>, u32); 8]>::new();
    let upstreams = directory.of_service(service).iter();
    for known in upstreams.filter_map(|id| directory.get(*id)) {
        let zone = &known.upstream.zone;
        let added = match directory.accepts_flows(known, now) {
            true => known.upstream.slots,
            false => 0,
        };
        match slots.iter_mut().find(|(name, _)| name == zone) {
            Some((_, sum)) => *sum += added,
            None => slots.push((Rc::clone(zone), added)),
        }
    }
    slots
}
