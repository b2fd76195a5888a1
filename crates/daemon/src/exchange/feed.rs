//! Feeds: resource observations (RFC 7641) that the owner of an upstream maintains for callers.

use crate::exchange::{
    number_hash::NumberState,
    token::{
        CallerToken,
        UpstreamToken, //
    },
};
use foxtailhinge_wire::coap::Datagram;
use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant,
        SystemTime, //
    },
};

/// Observe values have 24 bits.
const OBSERVE_MASK: u32 = 0x00ff_ffff;

/// Half of the range of Observe values; a value is newer if it is ahead by less than this.
const OBSERVE_HALF_RANGE: u32 = 1 << 23;

/// Resolution of the clock from which Observe values are taken.
const OBSERVE_UNIT_MS: u128 = 16;

/// Minimum time that a feed is kept without a new registration.
const LEASE_MIN: Duration = Duration::from_secs(30);

/// Registrations that a caller may miss before its feed expires.
const MISSED_REGISTRATIONS_MAX: u32 = 3;

/// A caller's registration for notifications of one resource.
#[derive(Debug)]
pub struct Feed {
    /// Address of the caller and the token of its registration.
    pub caller: CallerToken,
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the upstream's name within the service.
    pub upstream_hash: u32,
    /// Number of the flow that the feed belongs to.
    pub flow: u32,
    /// The registration as the caller sent it.
    pub request: Datagram,
    /// Observe value of the last notification sent to the caller.
    pub observe: u32,
    /// Newest Observe value received from the upstream.
    upstream_observe: Option<u32>,
    /// When the feed expires unless the caller registers again.
    expires_at: Instant,
}

impl Feed {
    /// Creates a feed that the caller has just registered.
    pub fn new(
        caller: CallerToken,
        service: u32,
        upstream_hash: u32,
        flow: u32,
        request: Datagram,
        now: Instant,
    ) -> Feed {
        Feed {
            caller,
            service,
            upstream_hash,
            flow,
            request,
            observe: clock_value(),
            upstream_observe: None,
            expires_at: now + LEASE_MIN,
        }
    }

    /// Replaces the Observe value of a notification by the next one for the caller; false if a newer notification was
    /// received before.
    pub fn assign_observe(&mut self, rsp: &mut Datagram) -> bool {
        let Some(value) = rsp.observe() else {
            return true;
        };
        if self
            .upstream_observe
            .is_some_and(|upstream_observe| !is_newer(value, upstream_observe))
        {
            return false;
        }
        self.upstream_observe = Some(value);
        rsp.set_observe(self.next_observe());
        true
    }

    /// Replaces the Observe value of the answer to a registration. If a newer notification was received before, the
    /// answer gets the value that was sent last, so that it does not look newer.
    pub fn assign_answer_observe(&mut self, rsp: &mut Datagram) {
        let is_outdated = match (rsp.observe(), self.upstream_observe) {
            (Some(value), Some(upstream_observe)) => is_newer(upstream_observe, value),
            (Some(_), None) => false,
            (None, _) => return,
        };
        if is_outdated {
            rsp.set_observe(self.observe);
            return;
        }
        self.upstream_observe = rsp.observe();
        rsp.set_observe(self.next_observe());
    }

    /// The next Observe value for the caller. It follows the clock, so that values keep increasing when the owner
    /// changes.
    pub fn next_observe(&mut self) -> u32 {
        self.observe = next_observe_value(self.observe, clock_value());
        self.observe
    }

    /// Clears the newest Observe value received, for example after a restart of the upstream.
    pub fn reset(&mut self) {
        self.upstream_observe = None;
    }

    /// Extends the lease after the caller registered again.
    pub fn renew(&mut self, max_age: Duration, now: Instant) {
        self.expires_at = now + (max_age * MISSED_REGISTRATIONS_MAX).max(LEASE_MIN);
    }

    /// Whether the lease of the registration has expired.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.expires_at
    }
}

/// The Observe value after `last`: `clock`, or `last + 1` if the clock has not passed `last` yet.
pub fn next_observe_value(last: u32, clock: u32) -> u32 {
    if is_newer(clock, last) {
        clock
    } else {
        last.wrapping_add(1) & OBSERVE_MASK
    }
}

fn is_newer(value: u32, than: u32) -> bool {
    let ahead = value.wrapping_sub(than) & OBSERVE_MASK;
    ahead != 0 && ahead < OBSERVE_HALF_RANGE
}

fn clock_value() -> u32 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let units = since.as_millis() / OBSERVE_UNIT_MS;
    (units & u128::from(OBSERVE_MASK)) as u32
}

/// The feeds of one upstream.
#[derive(Debug, Default)]
pub struct Feeds {
    feeds: HashMap<UpstreamToken, Feed, NumberState>,
    tokens: HashMap<CallerToken, UpstreamToken>,
}

impl Feeds {
    /// Number of feeds.
    pub fn len(&self) -> usize {
        self.feeds.len()
    }

    /// Whether there is no feed.
    pub fn is_empty(&self) -> bool {
        self.feeds.is_empty()
    }

    /// Upstream token of the caller's feed.
    pub fn token(&self, caller: &CallerToken) -> Option<UpstreamToken> {
        self.tokens.get(caller).copied()
    }

    /// The feed with this upstream token.
    pub fn get(&self, token: UpstreamToken) -> Option<&Feed> {
        self.feeds.get(&token)
    }

    /// The feed with this upstream token, mutable.
    pub fn get_mut(&mut self, token: UpstreamToken) -> Option<&mut Feed> {
        self.feeds.get_mut(&token)
    }

    /// Adds a feed.
    pub fn insert(&mut self, token: UpstreamToken, feed: Feed) {
        self.tokens.insert(feed.caller.clone(), token);
        self.feeds.insert(token, feed);
    }

    /// Removes a feed.
    pub fn remove(&mut self, token: UpstreamToken) -> Option<Feed> {
        let feed = self.feeds.remove(&token)?;
        self.tokens.remove(&feed.caller);
        Some(feed)
    }

    /// All feeds with their upstream tokens.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamToken, &Feed)> {
        self.feeds.iter().map(|(token, feed)| (*token, feed))
    }

    /// Upstream tokens of the feeds that `pick` selects.
    pub fn tokens_where(&self, pick: impl Fn(&Feed) -> bool) -> Vec<UpstreamToken> {
        self.feeds
            .iter()
            .filter(|(_, feed)| pick(feed))
            .map(|(token, _)| *token)
            .collect()
    }

    /// Removes and returns all feeds.
    pub fn take(&mut self) -> Vec<(UpstreamToken, Feed)> {
        self.tokens.clear();
        self.feeds.drain().collect()
    }
}
