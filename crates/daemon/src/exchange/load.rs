//! Load of one upstream as its owner counts it: limits, allowance and health together.

use foxtailhinge_policy::{
    admission::{
        Admission,
        Limits,
        Offer,
        Refusal,
        Start,
        WaitingList, //
    },
    allowance::{
        Allowance,
        AllowanceSpec, //
    },
    former_owners::{
        FormerOwner, //
        FormerOwnerSlots,
    },
    health::{
        EndpointReport,
        Health,
        HealthState,
        HealthView, //
    },
    retry_after::RetryAfter,
};
use smallvec::SmallVec;
use std::time::{
    Duration,
    Instant, //
};

/// Time for which new flows stay away from an upstream that has shed load.
const SHED_PAUSE: Duration = Duration::from_secs(1);

/// What documents declare about one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSpec {
    /// The cold-start allowance and the full one.
    pub allowance: AllowanceSpec,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Whether every document that names the upstream has it draining.
    pub draining: bool,
}

impl LoadSpec {
    /// What holds when two documents name the same upstream: the smaller of each limit.
    pub fn strictest(self, other: LoadSpec) -> LoadSpec {
        let (a, b) = (self.allowance, other.allowance);
        let mut full = a.full;
        full.slots = full.slots.min(b.full.slots);
        full.connections = full.connections.min(b.full.connections);
        LoadSpec {
            allowance: AllowanceSpec {
                full,
                cold_slots: a.cold_slots.min(b.cold_slots),
                cold_connections: a.cold_connections.min(b.cold_connections),
                ramp: a.ramp.max(b.ramp),
            },
            queue: self.queue.min(other.queue),
            draining: self.draining && other.draining,
        }
    }
}

/// How a new flow asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenRequest {
    /// When its caller no longer waits.
    pub deadline: Instant,
    /// Whether the upstream was chosen among all candidates, so that the flow may wait or meet a down one.
    pub chosen: bool,
}

/// How a request ended at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered after this time.
    Answered(Duration),
    /// The upstream said that it did not run it.
    Shed,
    /// No answer came in time.
    TimedOut,
    /// The upstream's host refused the datagram.
    Refused,
}

/// State of an upstream for reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// It carries its full allowance.
    Warm,
    /// It carries its cold-start allowance or ramps from it.
    Cold,
    /// It takes no new flows.
    Draining,
    /// It does not answer.
    Down,
}

/// Exact counts, allowance and health of one upstream.
#[derive(Debug)]
pub struct Load {
    spec: LoadSpec,
    admission: Admission,
    allowance: Allowance,
    health: Health,
    comeback: RetryAfter,
    /// Slots that requests of the former owner still hold.
    elsewhere: FormerOwnerSlots,
    /// Slots left to this owner after it handed the upstream over.
    slots_left: Option<u32>,
    /// Until when new flows stay away because the upstream has shed load.
    shedding_until: Option<Instant>,
}

impl Load {
    /// An upstream of which nothing is known: it starts at the cold-start allowance.
    pub fn cold(spec: LoadSpec, now: Instant) -> Load {
        Load::with(spec, Allowance::cold(spec.allowance, now), now)
    }

    /// An upstream that the former owner handed over at this allowance.
    pub fn handed_over(spec: LoadSpec, slots: u32, now: Instant) -> Load {
        let allowance = Allowance::resume(spec.allowance, slots, now);
        Load::with(spec, allowance, now)
    }

    fn with(spec: LoadSpec, allowance: Allowance, now: Instant) -> Load {
        let mut load = Load {
            spec,
            admission: Admission::new(Limits::default()),
            allowance,
            health: Health::new(),
            comeback: RetryAfter::new(),
            elsewhere: FormerOwnerSlots::default(),
            slots_left: None,
            shedding_until: None,
        };
        load.refresh(now);
        load
    }

    /// Takes over what the documents declare now.
    pub fn set_spec(&mut self, spec: LoadSpec, now: Instant) {
        self.spec = spec;
        self.allowance.set_spec(spec.allowance);
        self.refresh(now);
    }

    fn refresh(&mut self, now: Instant) {
        let (slots, connections) = self.allowance.limits(now);
        let slots = slots.saturating_sub(self.elsewhere.slots());
        self.admission.set_limits(Limits {
            slots: self.slots_left.map_or(slots, |left| left.min(slots)),
            connections,
            queue: self.spec.queue,
        });
        self.admission.set_draining(self.spec.draining);
        self.admission.set_cold(!self.allowance.is_full());
    }

    /// Decides whether a new flow may be opened.
    ///
    /// # Errors
    ///
    /// The reason for which the flow is not admitted.
    pub fn open(&mut self, now: Instant, entry: OpenRequest) -> Result<(), Refusal> {
        self.refresh(now);
        if self.is_down(now) && !entry.chosen {
            return Err(Refusal::Down);
        }
        if self.is_shedding(now) {
            return Err(Refusal::Shedding);
        }
        let res = if entry.chosen {
            self.admission.reserve_or_queue(now, entry.deadline)
        } else {
            self.admission.reserve(now)
        };
        if res.is_ok() {
            self.comeback.on_admitted(now);
        }
        res
    }

    /// What to tell of the upstream when a flow goes on to the next candidate.
    pub fn offer(&mut self, now: Instant) -> Offer {
        self.refresh(now);
        let mut offer = self.admission.offer(now);
        offer.open &= !self.is_down(now) && !self.is_shedding(now);
        offer
    }

    /// Turns a reservation into a connection.
    ///
    /// # Errors
    ///
    /// The reason for which no connection is free.
    pub fn confirm(&mut self, now: Instant) -> Result<(), Refusal> {
        self.refresh(now);
        self.admission.confirm(now)
    }

    /// Counts a connection that the upstream already holds.
    pub fn adopt(&mut self) {
        self.admission.adopt();
    }

    /// Gives a connection back.
    pub fn disconnect(&mut self) {
        self.admission.disconnect();
    }

    /// Decides whether a request runs, waits or is refused; `feed` when it registers for a feed.
    pub fn start(&mut self, now: Instant, deadline: Instant, feed: bool) -> Start {
        self.refresh(now);
        // One request tries an upstream that was down; for others it is down until that one is answered.
        self.health.begin_trial(now);
        let start = if feed {
            self.admission.start_feed(now, deadline)
        } else {
            self.admission.start(now, deadline)
        };
        if !matches!(start, Start::Refuse(_)) {
            self.comeback.on_admitted(now);
        }
        start
    }

    /// Takes the first waiting request that may run now.
    pub fn promote<T>(&mut self, waiting: &mut WaitingList<T>, now: Instant) -> Option<T> {
        self.refresh(now);
        waiting.promote(&mut self.admission, now)
    }

    /// Takes out the waiting requests whose deadline has passed.
    pub fn expire<T>(&mut self, waiting: &mut WaitingList<T>, now: Instant) -> SmallVec<[T; 4]> {
        let expired = waiting.expire(now);
        for _ in &expired {
            self.admission.leave_queue();
        }
        expired
    }

    /// Forgets a waiting request.
    pub fn leave_queue(&mut self) {
        self.admission.leave_queue();
    }

    /// Gives a slot back; `service_time` when the request was answered.
    pub fn finish(&mut self, now: Instant, service_time: Option<Duration>) {
        match service_time {
            Some(time) => self.admission.finish(now, time),
            None => self.admission.release(),
        }
    }

    /// Takes over from another owner that served the upstream in the meantime.
    pub fn merge_former(&mut self, slots: u32, now: Instant) {
        if slots < self.allowance.limits(now).0 {
            self.allowance = Allowance::resume(self.spec.allowance, slots, now);
        }
        self.refresh(now);
    }

    /// Whether the upstream carries its full allowance.
    pub fn is_full(&self) -> bool {
        self.allowance.is_full()
    }

    /// The upstream was warm under its former owner and has not restarted since.
    pub fn recover(&mut self) {
        self.allowance.shorten_ramp();
    }

    /// What the documents declare.
    pub fn spec(&self) -> LoadSpec {
        self.spec
    }

    /// The upstream was handed over: no more than `slots` requests may still run from here.
    pub fn cap_slots(&mut self, slots: u32, now: Instant) {
        self.slots_left = Some(slots);
        self.refresh(now);
    }

    /// Requests of a former owner hold `slots`.
    pub fn add_former_owner(&mut self, owner: FormerOwner, slots: u32, now: Instant) {
        self.elsewhere.add(owner, slots, now);
        self.refresh(now);
    }

    /// Requests of a former owner ended, by its report `seq`; a copy of a report changes nothing.
    pub fn finish_at_former_owner(
        &mut self,
        owner: &FormerOwner,
        seq: u32,
        slots: u32,
        now: Instant,
    ) {
        self.elsewhere.report(owner, seq, slots, now);
        self.refresh(now);
    }

    /// Frees the slots of former owners that are gone.
    pub fn expire_former_owners(&mut self, now: Instant, is_live: impl Fn(&FormerOwner) -> bool) {
        self.elsewhere.expire(now, is_live);
        self.refresh(now);
    }

    /// Learns from how a request ended.
    pub fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered(latency) => {
                self.health.on_answer(now);
                self.allowance.on_success(now);
                self.allowance.on_latency(now, latency);
            }
            Outcome::Shed => {
                self.shedding_until = Some(now + SHED_PAUSE);
                self.health.on_shed(now);
                self.allowance.on_shed(now);
            }
            Outcome::TimedOut => {
                self.health.on_timeout(now);
                self.allowance.on_timeout(now);
            }
            Outcome::Refused => {
                self.health.on_refused(now);
                self.allowance.on_timeout(now);
            }
        }
        self.refresh(now);
    }

    /// Whether a request without an answer after `waited` says something about the upstream.
    pub fn is_overdue(&self, waited: Duration) -> bool {
        self.admission.is_overdue(waited)
    }

    /// Learns whether a probe was answered.
    pub fn record_probe(&mut self, answered: bool, now: Instant) {
        if answered {
            self.health.on_probe_answer(now);
        } else {
            self.health.on_probe_timeout(now);
        }
    }

    /// Learns what the upstream's own endpoint says.
    pub fn record_report(&mut self, report: EndpointReport, now: Instant) {
        self.health.on_endpoint_report(now, report);
    }

    /// The upstream restarted: back to the cold-start allowance.
    pub fn restart(&mut self, now: Instant) {
        self.allowance.restart(now);
        self.elsewhere.clear();
        self.refresh(now);
    }

    /// When a refused caller should come back.
    pub fn retry_after(&mut self, now: Instant) -> Duration {
        self.comeback.delay(now, 0.0, &mut rand::rng())
    }

    /// Health as its owner sees it.
    pub fn health(&self, now: Instant) -> HealthView {
        self.health.view(now)
    }

    /// Whether the upstream takes neither flows nor requests at present.
    pub fn is_down(&self, now: Instant) -> bool {
        self.health.state(now) == HealthState::Down
    }

    /// Whether the upstream has shed load lately.
    pub fn is_shedding(&self, now: Instant) -> bool {
        self.shedding_until.is_some_and(|until| now < until)
    }

    /// State for reports.
    pub fn state(&self, now: Instant) -> LoadState {
        if self.is_down(now) {
            LoadState::Down
        } else if self.spec.draining {
            LoadState::Draining
        } else if self.allowance.is_full() {
            LoadState::Warm
        } else {
            LoadState::Cold
        }
    }

    /// The allowance reached.
    pub fn allowance(&self, now: Instant) -> (u32, u32) {
        self.allowance.limits(now)
    }

    /// Exact counts.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }
}
