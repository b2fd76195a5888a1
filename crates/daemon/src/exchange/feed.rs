//! Feeds: observed resources (RFC 7641) that the owner keeps for callers.

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

/// Half of the range of Observe values, within which a larger value is newer.
const OBSERVE_HALF: u32 = 1 << 23;

/// Unit of the clock that Observe values follow.
const OBSERVE_UNIT_MS: u128 = 16;

/// Shortest time for which a feed is kept without a new registration.
const LEASE_MIN: Duration = Duration::from_secs(30);

/// Registrations that a caller may miss before its feed ends.
const LEASE_MISSED: u32 = 3;

/// One feed.
#[derive(Debug)]
pub struct Feed {
    /// The caller and its token.
    pub caller: CallerToken,
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the upstream's name within the service.
    pub upstream_hash: u32,
    /// Number of the flow.
    pub flow: u32,
    /// The registration as the caller sent it.
    pub request: Datagram,
    /// Observe value of the last notification that the caller was sent.
    pub observe: u32,
    /// Observe value that the upstream sent last.
    seen: Option<u32>,
    /// When the feed ends unless the caller registers again.
    lease: Instant,
}

impl Feed {
    /// A feed that the caller has just registered.
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
            seen: None,
            lease: now + LEASE_MIN,
        }
    }

    /// Gives a notification the Observe value that the caller should see; false when a newer one came before it.
    pub fn assign_observe(&mut self, rsp: &mut Datagram) -> bool {
        let Some(value) = rsp.observe() else {
            return true;
        };
        if self.seen.is_some_and(|seen| !is_newer(value, seen)) {
            return false;
        }
        self.seen = Some(value);
        rsp.set_observe(self.next_observe());
        true
    }

    /// Gives the answer to a registration its Observe value: not a newer one when a newer notification came before it.
    pub fn assign_answer_observe(&mut self, rsp: &mut Datagram) {
        let overtaken = match (rsp.observe(), self.seen) {
            (Some(value), Some(seen)) => is_newer(seen, value),
            (Some(_), None) => false,
            (None, _) => return,
        };
        if overtaken {
            rsp.set_observe(self.observe);
            return;
        }
        self.seen = rsp.observe();
        rsp.set_observe(self.next_observe());
    }

    /// The next Observe value for the caller: it follows the clock, so that it grows from owner to owner.
    pub fn next_observe(&mut self) -> u32 {
        self.observe = next_observe_value(self.observe, clock_value());
        self.observe
    }

    /// Forgets the upstream's last Observe value, as after its restart.
    pub fn reset(&mut self) {
        self.seen = None;
    }

    /// The caller registered again.
    pub fn renew(&mut self, max_age: Duration, now: Instant) {
        self.lease = now + (max_age * LEASE_MISSED).max(LEASE_MIN);
    }

    /// Whether the caller's registration has run out.
    pub fn is_expired(&self, now: Instant) -> bool {
        now >= self.lease
    }
}

/// The Observe value after `last`: the clock's unless that has not passed `last` yet.
pub fn next_observe_value(last: u32, clock: u32) -> u32 {
    if is_newer(clock, last) {
        clock
    } else {
        last.wrapping_add(1) & OBSERVE_MASK
    }
}

fn is_newer(value: u32, than: u32) -> bool {
    let ahead = value.wrapping_sub(than) & OBSERVE_MASK;
    ahead != 0 && ahead < OBSERVE_HALF
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

    /// The token towards the upstream of the caller's feed.
    pub fn token(&self, caller: &CallerToken) -> Option<UpstreamToken> {
        self.tokens.get(caller).copied()
    }

    /// The feed with this token.
    pub fn get(&self, token: UpstreamToken) -> Option<&Feed> {
        self.feeds.get(&token)
    }

    /// The feed with this token, to change it.
    pub fn get_mut(&mut self, token: UpstreamToken) -> Option<&mut Feed> {
        self.feeds.get_mut(&token)
    }

    /// Keeps a feed.
    pub fn insert(&mut self, token: UpstreamToken, feed: Feed) {
        self.tokens.insert(feed.caller.clone(), token);
        self.feeds.insert(token, feed);
    }

    /// Ends a feed.
    pub fn remove(&mut self, token: UpstreamToken) -> Option<Feed> {
        let feed = self.feeds.remove(&token)?;
        self.tokens.remove(&feed.caller);
        Some(feed)
    }

    /// All feeds.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamToken, &Feed)> {
        self.feeds.iter().map(|(token, feed)| (*token, feed))
    }

    /// Tokens of the feeds that `pick` names.
    pub fn tokens_where(&self, pick: impl Fn(&Feed) -> bool) -> Vec<UpstreamToken> {
        self.feeds
            .iter()
            .filter(|(_, feed)| pick(feed))
            .map(|(token, _)| *token)
            .collect()
    }

    /// Takes out all feeds.
    pub fn take(&mut self) -> Vec<(UpstreamToken, Feed)> {
        self.tokens.clear();
        self.feeds.drain().collect()
    }
}
