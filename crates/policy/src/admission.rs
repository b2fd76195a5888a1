//! Admission control of one upstream: exact limits on its slots, connections and request queue.
//!
//! The owner of the upstream keeps one [`Admission`] and asks it before each new flow and each
//! request. No sequence of calls admits more than the limits. Lowering a limit ends no request or
//! flow; it only stops admission until enough of them have finished.

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

/// How long a reservation for a new flow is held, so that its caller can send the request again.
pub const RESERVATION_TTL: Duration = Duration::from_millis(250);

/// Queue places beyond the limit that are kept for registrations of feeds, because a feed ends
/// unless it is renewed.
pub const FEED_QUEUE: u32 = 32;

/// Weight of a new sample in the moving averages of the service time and of its deviation.
const SERVICE_TIME_GAIN: f64 = 0.125;

/// Safety margin before the deadline of a request of an open flow, in mean deviations of the
/// service time.
const REQUEST_DEVIATIONS: f64 = 1.5;

/// Mean deviations above the mean service time after which an unanswered request is overdue.
const OVERDUE_DEVIATIONS: f64 = 8.0;

/// Time after which an unanswered request is overdue while no service time has been observed.
const OVERDUE_DEFAULT: Duration = Duration::from_secs(1);

/// Safety margin before the deadline of the first request of a new flow, in mean deviations of the
/// service time.
///
/// Larger than [`REQUEST_DEVIATIONS`]: rejecting a flow costs less than admitting one whose
/// requests miss their deadlines.
const FLOW_DEVIATIONS: f64 = 3.0;

/// Concurrency limits of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Limits {
    /// Requests that may run at the upstream at one time.
    pub slots: u32,
    /// Flows that may be open at one time.
    pub connections: u32,
    /// Requests that may wait for a slot.
    pub queue: u32,
}

/// Load of an upstream, sent by its owner along with a new flow that it passes on to the next
/// candidate. Input of [`least_loaded`] and [`least_connected`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Offer {
    /// Whether the upstream could accept the flow at all.
    pub open: bool,
    /// Limit of requests that run at one time.
    pub slots: u32,
    /// Requests running and waiting, plus reservations.
    pub load: u32,
    /// Open flows, plus reservations.
    pub connections: u32,
    /// Limit of open flows.
    pub max_connections: u32,
}

/// Returns the index of the open offer with the lowest load per slot, then with the fewest flows.
///
/// The owner of the last candidate sends the flow there when no candidate had a free slot. Returns
/// `None` when no offer is open.
pub fn least_loaded(offers: &[Offer]) -> Option<usize> {
    let open = offers.iter().enumerate().filter(|(_, offer)| offer.open);
    let least = open.min_by(|(_, a), (_, b)| {
        let left = u64::from(a.load) * u64::from(b.slots);
        let right = u64::from(b.load) * u64::from(a.slots);
        left.cmp(&right).then(a.connections.cmp(&b.connections))
    });
    least.map(|(index, _)| index)
}

/// Returns the index of the open offer that uses the smallest share of its connections; for flows
/// that last for hours.
///
/// Returns `None` when no offer is open.
pub fn least_connected(offers: &[Offer]) -> Option<usize> {
    let open = offers.iter().enumerate().filter(|(_, offer)| offer.open);
    let least = open.min_by_key(|(_, offer)| {
        let connections = u64::from(offer.connections) << u32::BITS;
        connections / u64::from(offer.max_connections.max(1))
    });
    least.map(|(index, _)| index)
}

/// Reason why a flow or request was not admitted. A refused request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// All slots are taken, and the queue is full.
    Slots,
    /// All connections are taken.
    Connections,
    /// The request would not be served before its deadline.
    Deadline,
    /// The upstream is draining and accepts no new flows.
    Draining,
    /// The upstream's cold-start allowance is used up.
    ColdStart,
    /// The upstream does not answer.
    Down,
    /// The upstream shed load recently.
    Shedding,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Send the request to the upstream, then call `finish` or `release`.
    Run,
    /// Queue the request until `promote` returns true; call `leave_queue` if it is abandoned
    /// before.
    Wait,
    /// Answer the request with "not run".
    Refuse(Refusal),
}

/// Admission control of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    in_use: u32,
    queued: u32,
    connections: u32,
    /// Expiry times of the reservations, earliest first.
    reservations: VecDeque<Instant>,
    draining: bool,
    cold: bool,
    /// Moving average of the service time in seconds; `None` before the first sample.
    service_s: Option<f64>,
    /// Moving average of the service time's deviation in seconds.
    deviation_s: f64,
}

impl Admission {
    /// Creates the admission control of an upstream that has no flows or requests.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            in_use: 0,
            queued: 0,
            connections: 0,
            reservations: VecDeque::new(),
            draining: false,
            cold: false,
            service_s: None,
            deviation_s: 0.0,
        }
    }

    /// Replaces the limits. Running and queued requests and open flows are kept.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Stops or resumes the admission of new flows; requests of open flows are still admitted.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Marks the limits as a cold-start allowance; refusals then have the reason
    /// [`Refusal::ColdStart`].
    pub fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
    }

    /// Reserves a connection and a slot for a new flow, for the duration of [`RESERVATION_TTL`].
    ///
    /// # Errors
    ///
    /// Returns the reason when no connection or slot is free, or requests are waiting.
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
        self.reservations.push_back(now + RESERVATION_TTL);
        Ok(())
    }

    /// Like [`reserve`](Self::reserve), but falls back to a place in the queue; for the last
    /// candidate of a new flow.
    ///
    /// # Errors
    ///
    /// Returns the reason when no connection or place is free, or the deadline would be missed.
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
        self.reservations.push_back(now + RESERVATION_TTL);
        Ok(())
    }

    /// Turns a reservation into an open connection; without a reservation, takes a free connection.
    ///
    /// # Errors
    ///
    /// Fails when no connection is free because the reservation expired or the limit was lowered.
    pub fn confirm(&mut self, now: Instant) -> Result<(), Refusal> {
        self.expire(now);
        if self.reservations.pop_front().is_none() {
            return self.connect();
        }
        if self.connections >= self.limits.connections {
            return Err(self.refusal(Refusal::Connections));
        }
        self.connections += 1;
        Ok(())
    }

    /// Counts a flow without a reservation, such as one discovered from its packets.
    ///
    /// Reserved connections are not available to it.
    ///
    /// # Errors
    ///
    /// Fails when no connection is free.
    pub fn connect(&mut self) -> Result<(), Refusal> {
        if self.connections + self.reserved() >= self.limits.connections {
            return Err(self.refusal(Refusal::Connections));
        }
        self.connections += 1;
        Ok(())
    }

    /// Counts a flow that is already open at the upstream, such as one handed over by the previous
    /// owner.
    ///
    /// Counts it even above the limit, because refusing it would not free the connection.
    pub fn adopt(&mut self) {
        self.connections += 1;
    }

    /// Releases an open connection.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Decides on a request of an open flow.
    pub fn start(&mut self, now: Instant, deadline: Instant) -> Start {
        self.start_within(now, deadline, self.limits.queue)
    }

    /// Decides on the registration of a feed, which may use [`FEED_QUEUE`] more queue places.
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

    /// Returns the latest time at which a waiting request can start and still be answered before
    /// its deadline.
    pub fn latest_start(&self, deadline: Instant) -> Instant {
        let answer = self.answer_time(REQUEST_DEVIATIONS);
        deadline.checked_sub(answer).unwrap_or(deadline)
    }

    /// Frees the slot of a request that ran, and records its service time.
    pub fn finish(&mut self, _now: Instant, service_time: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        let sample = service_time.as_secs_f64();
        let mean = self.service_s.unwrap_or(sample);
        let deviation = (sample - mean).abs();
        self.service_s = Some(mean + SERVICE_TIME_GAIN * (sample - mean));
        self.deviation_s += SERVICE_TIME_GAIN * (deviation - self.deviation_s);
    }

    /// Frees the slot of a request whose service time is not representative, such as a shed one.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Removes an abandoned request from the count of waiting requests.
    pub fn leave_queue(&mut self) {
        self.queued = self.queued.saturating_sub(1);
    }

    /// Moves the first waiting request to a free slot; returns false when it cannot run yet.
    pub fn promote(&mut self, _now: Instant) -> bool {
        if self.queued == 0 || self.in_use >= self.limits.slots {
            return false;
        }
        self.queued -= 1;
        self.in_use += 1;
        true
    }

    /// Number of running requests.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Number of open flows, without reservations.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// Returns the load to send to the next candidate when this upstream does not accept a new
    /// flow at once.
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

    /// Number of running and waiting requests and of reservations.
    pub fn load(&self) -> u32 {
        self.in_use + self.queued + self.reserved()
    }

    /// Limits currently in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Moving average of the service time; `None` before the first sample.
    pub fn service_time(&self) -> Option<Duration> {
        self.service_s.map(Duration::from_secs_f64)
    }

    /// Whether a request that is unanswered after `waited` is evidence of a problem of the upstream.
    ///
    /// The expiry of a caller's own short deadline is no such evidence: counted as a timeout, it
    /// would let one caller reduce the upstream's allowance for all callers.
    pub fn is_overdue(&self, waited: Duration) -> bool {
        let Some(service_s) = self.service_s else {
            return waited >= OVERDUE_DEFAULT;
        };
        let longest_s = service_s + OVERDUE_DEVIATIONS * self.deviation_s.max(service_s / 4.0);
        waited >= Duration::from_secs_f64(longest_s)
    }

    /// Expected time until a request that joins the queue now is answered, plus a margin of
    /// `deviations` mean deviations of the service time.
    fn expected_answer(&self, deviations: f64) -> Duration {
        let service_s = self.service_s.unwrap_or(0.0);
        let slots = f64::from(self.limits.slots.max(1));
        let queue_position = f64::from(self.queued + 1);
        let wait_s = service_s * queue_position / slots;
        Duration::from_secs_f64(wait_s) + self.answer_time(deviations)
    }

    /// Expected time until a request that starts now is answered, plus a margin of `deviations` mean
    /// deviations.
    fn answer_time(&self, deviations: f64) -> Duration {
        let service_s = self.service_s.unwrap_or(0.0);
        Duration::from_secs_f64(service_s + deviations * self.deviation_s)
    }

    fn reserved(&self) -> u32 {
        self.reservations.len() as u32
    }

    /// Removes expired reservations.
    ///
    /// `reserve`, `reserve_or_queue`, `confirm` and `offer` do so themselves.
    pub fn expire(&mut self, now: Instant) {
        while self.reservations.front().is_some_and(|end| *end <= now) {
            self.reservations.pop_front();
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

/// FIFO queue of waiting requests, each with its deadline.
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
    /// Adds a request for which [`Admission::start`] returned [`Start::Wait`].
    pub fn push(&mut self, deadline: Instant, item: T) {
        self.entries.push_back(Waiting { deadline, item });
    }

    /// Removes and returns the requests whose deadline has passed; call [`Admission::leave_queue`]
    /// for each of them.
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

    /// Removes and returns the first request if `admission` has a free slot for it.
    ///
    /// Call [`WaitingList::expire`] first: a request past its deadline is never returned, and it
    /// blocks those behind it.
    pub fn promote(&mut self, admission: &mut Admission, now: Instant) -> Option<T> {
        let first = self.entries.front()?;
        if first.deadline <= now || !admission.promote(now) {
            return None;
        }
        self.entries.pop_front().map(|entry| entry.item)
    }

    /// Number of requests in the list.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
