//! Periodic upkeep of the upstreams that this daemon owns: idle flows, expired feeds, moves and states.

use crate::{
    audit::AuditEvent,
    exchange::{
        load::LoadState,
        path::DataPath,
        service::Service,
        upstream::Upstream, //
    },
    metrics::FlowEnd,
    timer::Timer, //
};
use foxtailhinge_config::report::UpstreamState;
use foxtailhinge_policy::members::MemberState;
use std::{
    collections::HashSet,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// Interval of upkeep rounds.
const PERIOD: Duration = Duration::from_millis(500);

/// Interval of full rounds over all services, which retry failed claims.
const FULL_ROUND: Duration = Duration::from_secs(5);

/// Maximum number of feeds that one upstream moves in a round.
const MOVES_PER_ROUND: usize = 32;

/// Time that a new owner has to claim an upstream before the upstream is offered to it.
const CLAIM_GRACE: Duration = Duration::from_secs(2);

/// Idle timeout of flows whose service is gone.
const IDLE_WITHOUT_SERVICE: Duration = Duration::from_secs(60);

impl DataPath {
    /// Runs the periodic upkeep; never returns.
    pub async fn run_upkeep(self: Rc<Self>, timer: Rc<Timer>) {
        let mut ticks = timer.subscribe_jittered(PERIOD, PERIOD / 10);
        loop {
            let tick = ticks.tick().await;
            self.upkeep(tick.now);
        }
    }

    fn upkeep(self: &Rc<Self>, now: Instant) {
        let full = self.is_ready(now) && self.is_full_round(now);
        if full {
            self.install_missing();
            self.reconcile();
        }
        let held = self.held_upstreams();
        for up in &held {
            self.expire_flows(up, now);
            self.expire_feeds(up, now);
            self.move_feeds_away(up, now);
            self.free_former_owner_slots(up, now);
            up.expire(now);
            self.probe_idle(up, now);
            self.record_state(up, now);
            self.offer_to_other_owner(up, now);
        }
        if full {
            self.drop_undeclared(&held);
        }
        let flows: usize = held.iter().map(|up| up.flows.borrow().len()).sum();
        self.metrics
            .flows_held
            .set(i64::try_from(flows).unwrap_or(i64::MAX));
        let states = held.iter().map(|up| report_state(up, now));
        self.metrics.upstreams.count(states);
    }

    /// Frees the slots in use by requests of former owners that are gone.
    fn free_former_owner_slots(&self, up: &Rc<Upstream>, now: Instant) {
        let members = self.control.members();
        up.load_mut().expire_former_owners(now, |owner| {
            let member = members.get(&owner.vm);
            member
                .is_some_and(|m| m.incarnation == owner.incarnation && m.state != MemberState::Dead)
        });
    }

    /// Offers an upstream that another daemon should have claimed by now.
    fn offer_to_other_owner(self: &Rc<Self>, up: &Rc<Upstream>, now: Instant) {
        let owner = self.owner(up.key(), up.zone());
        let other_owner = owner.filter(|owner| !self.is_me(owner));
        let Some(owner) = other_owner else {
            up.set_other_owner_since(None);
            return;
        };
        let since = *up.other_owner_since().get_or_insert(now);
        if now.saturating_duration_since(since) >= CLAIM_GRACE {
            self.offer_upstream(up, owner);
            up.set_other_owner_since(Some(now));
        } else {
            up.set_other_owner_since(Some(since));
        }
    }

    /// Records the upstream's state if it changed.
    fn record_state(&self, up: &Upstream, now: Instant) {
        let to = report_state(up, now);
        let Some(from) = up.replace_state(to).filter(|from| *from != to) else {
            return;
        };
        for service in self.services.borrow().values() {
            for (_, declared) in service.upstreams() {
                if declared.spec.address == up.addr() {
                    self.audit.record(AuditEvent::UpstreamState {
                        service: Arc::clone(&service.name),
                        upstream: Arc::clone(&declared.spec.name),
                        from,
                        to,
                    });
                }
            }
        }
    }

    /// Whether a full round over all services is due; changes of documents and members start their own.
    fn is_full_round(&self, now: Instant) -> bool {
        let due = now.saturating_duration_since(self.last_full_round.get()) >= FULL_ROUND;
        if due {
            self.last_full_round.set(now);
        }
        due
    }

    fn expire_flows(&self, up: &Upstream, now: Instant) {
        let idle = |service: u32| {
            self.service(service)
                .map_or(IDLE_WITHOUT_SERVICE, |service| service.doc().defaults.idle)
        };
        let ended = up.flows.borrow_mut().expire(now, idle);
        for _ in 0..ended.idle {
            up.load_mut().disconnect();
        }
        let ends = &self.metrics.flows_ended;
        ends.inc_by(FlowEnd::Idle, ended.idle as u64);
        ends.inc_by(FlowEnd::Unconfirmed, ended.unconfirmed as u64);
    }

    fn expire_feeds(&self, up: &Upstream, now: Instant) {
        let mut feeds = up.feeds.borrow_mut();
        // The reset in reply to its next notification informs the upstream.
        for token in feeds.tokens_where(|feed| feed.is_expired(now)) {
            feeds.remove(token);
        }
    }

    /// Moves feeds away from an upstream that drains, is down, or is no longer in its document.
    fn move_feeds_away(self: &Rc<Self>, up: &Rc<Upstream>, now: Instant) {
        let service_upstreams: HashSet<(u32, u32)> = up
            .feeds
            .borrow()
            .iter()
            .map(|(_, feed)| (feed.service, feed.upstream_hash))
            .collect();
        for (hash, upstream_hash) in service_upstreams {
            let Some(service) = self.service(hash) else {
                continue;
            };
            if self.is_declared(&service, upstream_hash, up.addr())
                && !self.must_move(up, &service, upstream_hash, now)
            {
                continue;
            }
            self.move_feeds(up, &service, MOVES_PER_ROUND);
        }
    }

    fn is_declared(&self, service: &Service, upstream_hash: u32, addr: SocketAddr) -> bool {
        service
            .upstream(upstream_hash)
            .is_some_and(|declared| declared.spec.address == addr)
    }

    /// Drops upstreams that no document names, once their requests have ended and their feeds have moved.
    fn drop_undeclared(&self, held: &[Rc<Upstream>]) {
        let declared: HashSet<SocketAddr> = self
            .services
            .borrow()
            .values()
            .flat_map(|service| {
                let addresses: Vec<_> = service.upstreams().map(|(_, n)| n.spec.address).collect();
                addresses
            })
            .collect();
        for up in held {
            let busy = up.running() > 0 || !up.feeds.borrow().is_empty();
            if declared.contains(&up.addr()) || busy {
                continue;
            }
            up.socket().close();
            self.upstreams.borrow_mut().remove(&up.addr());
            let flows = up.flows.borrow().len() as u64;
            self.metrics
                .flows_ended
                .inc_by(FlowEnd::UpstreamRemoved, flows);
        }
    }
}

/// The upstream's state as reported.
pub fn report_state(up: &Upstream, now: Instant) -> UpstreamState {
    let load = up.load();
    match load.state(now) {
        LoadState::Warm | LoadState::Cold if load.is_shedding(now) => UpstreamState::Shedding,
        LoadState::Warm => UpstreamState::Warm,
        LoadState::Cold => UpstreamState::Cold,
        LoadState::Draining => UpstreamState::Draining,
        LoadState::Down => UpstreamState::Gone,
    }
}
