//! Exact limits of one upstream: slots, connections and the queue before them.
//!
//! The owner of the upstream keeps one [`Admission`] and asks it before each new flow and each
//! request. No sequence of calls admits more than the limits; limits that shrink end nothing,
//! they only stop admission until enough has finished.

use bincode::{
    Decode,
    Encode, //
};
use smallvec::SmallVec;
use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// How long a reservation for a new flow is held while its caller repeats the request.
pub const RESERVATION_TTL: Duration = Duration::from_millis(250);

/// Registrations of feeds that may wait beyond the queue, since a feed that is not renewed ends.
pub const FEED_QUEUE: u32 = 32;

/// Weight of a new sample in the mean service time and its mean deviation.
const SERVICE_TIME_GAIN: f64 = 0.125;

/// Mean deviations of the service time left before the deadline of a held flow's request.
const REQUEST_DEVIATIONS: f64 = 1.5;

/// Mean deviations above the mean service time after which a missing answer is overdue.
const OVERDUE_DEVIATIONS: f64 = 8.0;

/// Time after which a missing answer is overdue while no service time was observed.
const OVERDUE_UNKNOWN: Duration = Duration::from_secs(1);

/// Mean deviations of the service time left before the deadline of a new flow's first request.
///
/// Larger: a flow that is not admitted costs less than its requests that come too late.
const FLOW_DEVIATIONS: f64 = 3.0;

/// What an upstream may carry at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Limits {
    /// Requests running at the upstream.
    pub slots: u32,
    /// Flows held open.
    pub connections: u32,
    /// Requests that wait for a slot.
    pub queue: u32,
}

/// What an owner that passes a new flow on tells of its upstream, for [`least_loaded`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Offer {
    /// Whether it could take the flow at all.
    pub open: bool,
    /// Slots allowed.
    pub slots: u32,
    /// Requests running, waiting and reserved for.
    pub load: u32,
    /// Flows held and reserved for.
    pub connections: u32,
    /// Connections allowed.
    pub max_connections: u32,
}

/// Index of the offer with the shortest queue for its slots, then with the fewest flows.
///
/// The last candidate's owner sends the flow there when no candidate had a free slot. `None`
/// when none is open.
pub fn least_loaded(offers: &[Offer]) -> Option<usize> {
    let open = offers.iter().enumerate().filter(|(_, offer)| offer.open);
    let least = open.min_by(|(_, a), (_, b)| {
        let left = u64::from(a.load) * u64::from(b.slots);
        let right = u64::from(b.load) * u64::from(a.slots);
        left.cmp(&right).then(a.connections.cmp(&b.connections))
    });
    least.map(|(index, _)| index)
}

/// Index of the offer with the fewest flows for its connections, for flows that last for hours.
///
/// `None` when none is open.
pub fn least_connected(offers: &[Offer]) -> Option<usize> {
    let open = offers.iter().enumerate().filter(|(_, offer)| offer.open);
    let least = open.min_by_key(|(_, offer)| {
        let connections = u64::from(offer.connections) << u32::BITS;
        connections / u64::from(offer.max_connections.max(1))
    });
    least.map(|(index, _)| index)
}

/// Why a flow or request was not admitted. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// All slots are taken, and the queue is full.
    Slots,
    /// All connections are taken.
    Connections,
    /// The request would not be served before its deadline.
    Deadline,
    /// The upstream takes no new flows.
    Draining,
    /// The upstream's cold-start allowance is used up.
    ColdStart,
    /// The upstream does not answer.
    Down,
    /// The upstream has shed load lately.
    Shedding,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Send it to the upstream; `finish` must follow.
    Run,
    /// Hold it until `promote` returns true, or `leave_queue` when it is given up.
    Wait,
    /// Answer "not run".
    Refuse(Refusal),
}

/// Exact counts of one upstream's slots, connections and queue.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    in_use: u32,
    queued: u32,
    connections: u32,
    /// Ends of the reservations, earliest first.
    tentative: VecDeque<Instant>,
    draining: bool,
    cold: bool,
    /// Mean service time in seconds, once one was observed.
    service_s: Option<f64>,
    /// Mean deviation of the service time in seconds.
    deviation_s: f64,
}

impl Admission {
    /// Starts with nothing in use.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            in_use: 0,
            queued: 0,
            connections: 0,
            tentative: VecDeque::new(),
            draining: false,
            cold: false,
            service_s: None,
            deviation_s: 0.0,
        }
    }

    /// Replaces the limits. What is running, queued or connected stays.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Stops (or resumes) the admission of new flows; requests of held flows go on.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Marks the present limits as a cold-start allowance, which names the refusals.
    pub fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
    }

    /// Reserves a connection and a slot for a new flow until [`RESERVATION_TTL`] has passed.
    ///
    /// # Errors
    ///
    /// The reason when a connection or slot is missing, or requests are waiting.
    pub fn reserve(&mut self, now: Instant) -> Result<(), Refusal> {
        self.expire(now);
        if self.draining {
            return Err(Refusal::Draining);
        }
        let reserved = self.reserved();
        if self.connections + reserved >= self.limits.connections {
            return Err(self.refusal(Refusal::Connections));
        }
        if self.queued > 0 || self.in_use + reserved >= self.limits.slots {
            return Err(self.refusal(Refusal::Slots));
        }
        self.tentative.push_back(now + RESERVATION_TTL);
        Ok(())
    }

    /// Reserves a connection and a place in the queue: for the last candidate of a new flow.
    ///
    /// # Errors
    ///
    /// The reason when a connection or a place is missing, or the deadline would pass.
    pub fn reserve_or_queue(&mut self, now: Instant, deadline: Instant) -> Result<(), Refusal> {
        let first = self.reserve(now);
        if !matches!(first, Err(Refusal::Slots | Refusal::ColdStart)) {
            return first;
        }
        let reserved = self.reserved();
        if self.connections + reserved >= self.limits.connections {
            return Err(self.refusal(Refusal::Connections));
        }
        let places = self.limits.slots + self.limits.queue;
        if self.load() >= places {
            return first;
        }
        if now + self.expected_answer(FLOW_DEVIATIONS) > deadline {
            return Err(Refusal::Deadline);
        }
        self.tentative.push_back(now + RESERVATION_TTL);
        Ok(())
    }

    /// Turns a reservation into a held connection; without one, takes a free connection.
    ///
    /// # Errors
    ///
    /// No connection is free: the reservation ended, or the limit shrank since.
    pub fn confirm(&mut self, now: Instant) -> Result<(), Refusal> {
        self.expire(now);
        if self.tentative.pop_front().is_none() {
            return self.connect();
        }
        if self.connections >= self.limits.connections {
            return Err(self.refusal(Refusal::Connections));
        }
        self.connections += 1;
        Ok(())
    }

    /// Counts a flow without a reservation, such as one learned from its packets.
    ///
    /// Connections that are reserved count as taken.
    ///
    /// # Errors
    ///
    /// No connection is free.
    pub fn connect(&mut self) -> Result<(), Refusal> {
        if self.connections + self.reserved() >= self.limits.connections {
            return Err(self.refusal(Refusal::Connections));
        }
        self.connections += 1;
        Ok(())
    }

    /// Counts a flow that the upstream already holds, such as one handed over by the last owner.
    ///
    /// It is counted even above the limit, since refusing it would not free the connection.
    pub fn adopt(&mut self) {
        self.connections += 1;
    }

    /// Gives a held connection back.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Decides on a request of a held flow.
    pub fn start(&mut self, now: Instant, deadline: Instant) -> Start {
        self.start_within(now, deadline, self.limits.queue)
    }

    /// Decides on the registration of a feed, for which [`FEED_QUEUE`] more places are kept.
    pub fn start_feed(&mut self, now: Instant, deadline: Instant) -> Start {
        self.start_within(now, deadline, self.limits.queue + FEED_QUEUE)
    }

    fn start_within(&mut self, now: Instant, deadline: Instant, queue: u32) -> Start {
        if deadline <= now {
            return Start::Refuse(Refusal::Deadline);
        }
        if self.queued == 0 && self.in_use < self.limits.slots {
            self.in_use += 1;
            return Start::Run;
        }
        if self.queued >= queue {
            return Start::Refuse(self.refusal(Refusal::Slots));
        }
        if now + self.expected_answer(REQUEST_DEVIATIONS) > deadline {
            return Start::Refuse(Refusal::Deadline);
        }
        self.queued += 1;
        Start::Wait
    }

    /// When a waiting request must run at the latest to be answered before its deadline.
    pub fn latest_start(&self, deadline: Instant) -> Instant {
        let answer = self.answer_time(REQUEST_DEVIATIONS);
        deadline.checked_sub(answer).unwrap_or(deadline)
    }

    /// Frees the slot of a request that ran, and learns its service time.
    pub fn finish(&mut self, _now: Instant, service_time: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        let sample = service_time.as_secs_f64();
        let mean = self.service_s.unwrap_or(sample);
        let off = (sample - mean).abs();
        self.service_s = Some(mean + SERVICE_TIME_GAIN * (sample - mean));
        self.deviation_s += SERVICE_TIME_GAIN * (off - self.deviation_s);
    }

    /// Frees the slot of a request whose service time says nothing, such as a shed one.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Forgets a waiting request that was given up.
    pub fn leave_queue(&mut self) {
        self.queued = self.queued.saturating_sub(1);
    }

    /// Whether the first waiting request may run now; if so it holds a slot.
    pub fn promote(&mut self, _now: Instant) -> bool {
        if self.queued == 0 || self.in_use >= self.limits.slots {
            return false;
        }
        self.queued -= 1;
        self.in_use += 1;
        true
    }

    /// Requests running.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Requests waiting.
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Flows held, without reservations.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// What to tell the next candidate when this upstream does not take a new flow at once.
    pub fn offer(&mut self, now: Instant) -> Offer {
        self.expire(now);
        let free_connection = self.connections + self.reserved() < self.limits.connections;
        let place = self.load() < self.limits.slots + self.limits.queue;
        Offer {
            open: !self.draining && self.limits.slots > 0 && free_connection && place,
            slots: self.limits.slots,
            load: self.load(),
            connections: self.connections + self.reserved(),
            max_connections: self.limits.connections,
        }
    }

    /// Requests running, waiting and reserved for.
    pub fn load(&self) -> u32 {
        self.in_use + self.queued + self.reserved()
    }

    /// Limits in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Mean service time observed.
    pub fn service_time(&self) -> Option<Duration> {
        self.service_s.map(Duration::from_secs_f64)
    }

    /// Whether a request without an answer after `waited` says something about the upstream.
    ///
    /// A caller's own short deadline does not: counted as a timeout, it would let one caller cut
    /// the upstream's allowance for all.
    pub fn is_overdue(&self, waited: Duration) -> bool {
        let Some(service_s) = self.service_s else {
            return waited >= OVERDUE_UNKNOWN;
        };
        let longest_s = service_s + OVERDUE_DEVIATIONS * self.deviation_s.max(service_s / 4.0);
        waited >= Duration::from_secs_f64(longest_s)
    }

    /// Expected time from now until a request that joins the queue is answered, with a number of
    /// mean deviations of the service time besides.
    fn expected_answer(&self, deviations: f64) -> Duration {
        let service_s = self.service_s.unwrap_or(0.0);
        let slots = f64::from(self.limits.slots.max(1));
        let ahead = f64::from(self.queued + 1);
        let wait_s = service_s * ahead / slots;
        Duration::from_secs_f64(wait_s) + self.answer_time(deviations)
    }

    /// Expected time until a request that runs is answered, with a number of mean deviations besides.
    fn answer_time(&self, deviations: f64) -> Duration {
        let service_s = self.service_s.unwrap_or(0.0);
        Duration::from_secs_f64(service_s + deviations * self.deviation_s)
    }

    fn reserved(&self) -> u32 {
        self.tentative.len() as u32
    }

    /// Drops the reservations that have ended; every call that takes the time does so.
    pub fn expire(&mut self, now: Instant) {
        while self.tentative.front().is_some_and(|end| *end <= now) {
            self.tentative.pop_front();
        }
    }

    fn refusal(&self, refusal: Refusal) -> Refusal {
        if self.cold {
            Refusal::ColdStart
        } else {
            refusal
        }
    }
}

/// The waiting requests themselves, first in first out, each with its deadline.
#[derive(Clone, Debug)]
pub struct WaitingList<T> {
    entries: VecDeque<Waiting<T>>,
}

#[derive(Clone, Debug)]
struct Waiting<T> {
    deadline: Instant,
    item: T,
}

impl<T> Default for WaitingList<T> {
    fn default() -> Self {
        Self {
            entries: VecDeque::new(),
        }
    }
}

impl<T> WaitingList<T> {
    /// Adds a request that [`Admission::start`] told to wait.
    pub fn push(&mut self, deadline: Instant, item: T) {
        self.entries.push_back(Waiting { deadline, item });
    }

    /// Takes out the requests whose deadline has passed; `leave_queue` must follow for each.
    pub fn expire(&mut self, now: Instant) -> SmallVec<[T; 4]> {
        let mut expired = SmallVec::new();
        let mut live = VecDeque::with_capacity(self.entries.len());
        for entry in self.entries.drain(..) {
            if entry.deadline <= now {
                expired.push(entry.item);
            } else {
                live.push_back(entry);
            }
        }
        self.entries = live;
        expired
    }

    /// Takes the first request that `admission` lets run now; `None` when there is none.
    ///
    /// Call [`WaitingList::expire`] first: a request past its deadline is never returned.
    pub fn promote(&mut self, admission: &mut Admission, now: Instant) -> Option<T> {
        let first = self.entries.front()?;
        if first.deadline <= now || !admission.promote(now) {
            return None;
        }
        self.entries.pop_front().map(|entry| entry.item)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
