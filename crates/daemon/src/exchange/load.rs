//! Load of one upstream as counted by its owner: limits, allowance and health.

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
        FormerOwner,
        FormerOwnerSlots, //
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

/// Time for which no new flows are opened at an upstream that has shed load.
const SHED_PAUSE: Duration = Duration::from_secs(1);

/// Limits that the documents declare for one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSpec {
    /// Cold-start allowance and full allowance.
    pub allowance: AllowanceSpec,
    /// Requests that may wait for a slot.
    pub queue: u32,
    /// Whether every document that names the upstream declares it as draining.
    pub draining: bool,
}

impl LoadSpec {
    /// Combines the limits of two documents that name the same upstream: the stricter of each applies.
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

/// Parameters of a new flow that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenRequest {
    /// When the caller stops waiting for an answer.
    pub deadline: Instant,
    /// Whether the upstream was chosen after all candidates were asked; the flow may then wait for a slot, or use an
    /// upstream that is down.
    pub chosen: bool,
}

/// Outcome of a request at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered after this time.
    Answered(Duration),
    /// The upstream answered that it did not run the request.
    Shed,
    /// No answer arrived before the timeout.
    TimedOut,
    /// The upstream's host rejected the datagram.
    Refused,
}

/// State of an upstream, as reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// The upstream has its full allowance.
    Warm,
    /// The upstream has its cold-start allowance or is ramping up from it.
    Cold,
    /// The upstream accepts no new flows.
    Draining,
    /// The upstream does not answer.
    Down,
}

/// Exact counts, allowance and health of one upstream.
#[derive(Debug)]
pub struct Load {
    spec: LoadSpec,
    admission: Admission,
    allowance: Allowance,
    health: Health,
    retry_delay: RetryAfter,
    /// Slots still in use by requests of former owners.
    former_owners: FormerOwnerSlots,
    /// Slots that this daemon may still use after it handed the upstream over.
    slots_left: Option<u32>,
    /// End of the time without new flows after the upstream has shed load.
    shedding_until: Option<Instant>,
}

impl Load {
    /// Load of an upstream without known state, which starts at the cold-start allowance.
    pub fn cold(spec: LoadSpec, now: Instant) -> Load {
        Load::with_allowance(spec, Allowance::cold(spec.allowance, now), now)
    }

    /// Load of an upstream that the former owner handed over with this allowance.
    pub fn handed_over(spec: LoadSpec, slots: u32, now: Instant) -> Load {
        let allowance = Allowance::resume(spec.allowance, slots, now);
        Load::with_allowance(spec, allowance, now)
    }

    fn with_allowance(spec: LoadSpec, allowance: Allowance, now: Instant) -> Load {
        let mut load = Load {
            spec,
            admission: Admission::new(Limits::default()),
            allowance,
            health: Health::new(),
            retry_delay: RetryAfter::new(),
            former_owners: FormerOwnerSlots::default(),
            slots_left: None,
            shedding_until: None,
        };
        load.refresh(now);
        load
    }

    /// Applies new limits from the documents.
    pub fn set_spec(&mut self, spec: LoadSpec, now: Instant) {
        self.spec = spec;
        self.allowance.set_spec(spec.allowance);
        self.refresh(now);
    }

    fn refresh(&mut self, now: Instant) {
        let (slots, connections) = self.allowance.limits(now);
        let slots = slots.saturating_sub(self.former_owners.slots());
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
    /// The reason why the flow is not admitted.
    pub fn open(&mut self, now: Instant, request: OpenRequest) -> Result<(), Refusal> {
        self.refresh(now);
        if self.is_down(now) && !request.chosen {
            return Err(Refusal::Down);
        }
        if self.is_shedding(now) {
            return Err(Refusal::Shedding);
        }
        let res = if request.chosen {
            self.admission.reserve_or_queue(now, request.deadline)
        } else {
            self.admission.reserve(now)
        };
        if res.is_ok() {
            self.retry_delay.on_admitted(now);
        }
        res
    }

    /// The offer of this upstream for a flow that it did not admit, to be compared with those of other candidates.
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
    /// The reason why no connection is free.
    pub fn confirm(&mut self, now: Instant) -> Result<(), Refusal> {
        self.refresh(now);
        self.admission.confirm(now)
    }

    /// Counts a connection that the upstream already holds.
    pub fn adopt(&mut self) {
        self.admission.adopt();
    }

    /// Releases a connection.
    pub fn disconnect(&mut self) {
        self.admission.disconnect();
    }

    /// Decides whether a request runs, waits or is refused; `feed` is set if it registers for a feed.
    pub fn start(&mut self, now: Instant, deadline: Instant, feed: bool) -> Start {
        self.refresh(now);
        // One trial request goes to an upstream that was down; for other requests it stays down until the trial is
        // answered.
        self.health.begin_trial(now);
        let start = if feed {
            self.admission.start_feed(now, deadline)
        } else {
            self.admission.start(now, deadline)
        };
        if !matches!(start, Start::Refuse(_)) {
            self.retry_delay.on_admitted(now);
        }
        start
    }

    /// Removes and returns the first waiting request that may run now.
    pub fn promote<T>(&mut self, waiting: &mut WaitingList<T>, now: Instant) -> Option<T> {
        self.refresh(now);
        waiting.promote(&mut self.admission, now)
    }

    /// Removes and returns the waiting requests whose deadline has passed.
    pub fn expire<T>(&mut self, waiting: &mut WaitingList<T>, now: Instant) -> SmallVec<[T; 4]> {
        let expired = waiting.expire(now);
        for _ in &expired {
            self.admission.leave_queue();
        }
        expired
    }

    /// Removes a waiting request from the count.
    pub fn leave_queue(&mut self) {
        self.admission.leave_queue();
    }

    /// Releases a slot; `service_time` is set if the request was answered.
    pub fn finish(&mut self, now: Instant, service_time: Option<Duration>) {
        match service_time {
            Some(time) => self.admission.finish(now, time),
            None => self.admission.release(),
        }
    }

    /// Merges the allowance of another owner that served the upstream in the meantime: the lower one applies.
    pub fn merge_former(&mut self, slots: u32, now: Instant) {
        if slots < self.allowance.limits(now).0 {
            self.allowance = Allowance::resume(self.spec.allowance, slots, now);
        }
        self.refresh(now);
    }

    /// Whether the upstream has reached its full allowance.
    pub fn is_full(&self) -> bool {
        self.allowance.is_full()
    }

    /// Shortens the ramp of an upstream that was warm under its former owner and has not restarted since.
    pub fn shorten_ramp(&mut self) {
        self.allowance.shorten_ramp();
    }

    /// Limits that the documents declare.
    pub fn spec(&self) -> LoadSpec {
        self.spec
    }

    /// Limits the slots after a hand-over: no more than `slots` requests may still run from here.
    pub fn cap_slots(&mut self, slots: u32, now: Instant) {
        self.slots_left = Some(slots);
        self.refresh(now);
    }

    /// Counts `slots` as in use by requests of a former owner.
    pub fn add_former_owner(&mut self, owner: FormerOwner, slots: u32, now: Instant) {
        self.former_owners.add(owner, slots, now);
        self.refresh(now);
    }

    /// Releases slots whose requests have ended according to report `seq` of a former owner; a duplicate report has
    /// no effect.
    pub fn finish_at_former_owner(
        &mut self,
        owner: &FormerOwner,
        seq: u32,
        slots: u32,
        now: Instant,
    ) {
        self.former_owners.report(owner, seq, slots, now);
        self.refresh(now);
    }

    /// Frees the slots of former owners that are gone.
    pub fn expire_former_owners(&mut self, now: Instant, is_live: impl Fn(&FormerOwner) -> bool) {
        self.former_owners.expire(now, is_live);
        self.refresh(now);
    }

    /// Updates health and allowance with the outcome of a request.
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

    /// Whether the lack of an answer after `waited` is evidence of a fault of the upstream.
    pub fn is_overdue(&self, waited: Duration) -> bool {
        self.admission.is_overdue(waited)
    }

    /// Updates health with the result of a probe.
    pub fn record_probe(&mut self, answered: bool, now: Instant) {
        if answered {
            self.health.on_probe_answer(now);
        } else {
            self.health.on_probe_timeout(now);
        }
    }

    /// Updates health with the report of the upstream's health endpoint.
    pub fn record_report(&mut self, report: EndpointReport, now: Instant) {
        self.health.on_endpoint_report(now, report);
    }

    /// Returns to the cold-start allowance after a restart of the upstream.
    pub fn restart(&mut self, now: Instant) {
        self.allowance.restart(now);
        self.former_owners.clear();
        self.refresh(now);
    }

    /// Time after which a refused caller should retry.
    pub fn retry_after(&mut self, now: Instant) -> Duration {
        self.retry_delay.delay(now, 0.0, &mut rand::rng())
    }

    /// Health of the upstream as seen by its owner.
    pub fn health(&self, now: Instant) -> HealthView {
        self.health.view(now)
    }

    /// Whether the upstream currently accepts neither flows nor requests.
    pub fn is_down(&self, now: Instant) -> bool {
        self.health.state(now) == HealthState::Down
    }

    /// Whether the upstream has shed load recently.
    pub fn is_shedding(&self, now: Instant) -> bool {
        self.shedding_until.is_some_and(|until| now < until)
    }

    /// State as reported.
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

    /// Current allowance in slots and connections.
    pub fn allowance(&self, now: Instant) -> (u32, u32) {
        self.allowance.limits(now)
    }

    /// Exact counts of slots, connections and waiting requests.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }
}
