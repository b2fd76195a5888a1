//! Discovery: how the daemons of a zone find each other.

use super::{
    message::{
        ZoneReply,
        ZoneRequest, //
    },
    Zone,
};
use crate::logging::Event;
use foxtailhinge_policy::members::Change;
use futures::future::select;
use rand::{
    seq::IteratorRandom,
    Rng, //
};
use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Maximum delay of the first exchange after the start. The delay is drawn uniformly, so that the seeds are not
/// overloaded when all daemons start together.
const FIRST_DELAY_MAX: Duration = Duration::from_millis(300);

/// Minimum interval between the first exchanges, in which a daemon discovers its zone; the maximum is twice as long.
const EARLY_PERIOD: Duration = Duration::from_millis(300);

/// Number of these first exchanges; there are more while the daemon has no view.
const EARLY_EXCHANGES: u32 = 5;

/// Minimum interval while the store does not answer, because daemons that start in that time depend on being known to
/// others.
const OUTAGE_PERIOD: Duration = Duration::from_secs(1);

/// Minimum interval of the later exchanges.
const PERIOD: Duration = Duration::from_secs(8);

/// Share of the later exchanges that go to a seed, so that partitions of a zone that do not know each other merge.
const SEED_SHARE: f64 = 0.25;

/// Interval at which members that stayed suspect are checked.
const TICK: Duration = Duration::from_secs(1);

impl Zone {
    /// Exchanges members with seeds and members, so that differing member lists converge; never returns.
    pub async fn exchange_members(self: Rc<Self>) {
        self.parts
            .timer
            .sleep(FIRST_DELAY_MAX.mul_f64(rand::rng().random()))
            .await;
        for exchange in 0u32.. {
            let is_early = exchange < EARLY_EXCHANGES || !self.parts.view.is_ready();
            if let Some(addr) = self.draw_peer(is_early) {
                self.exchange_with(addr).await;
            }
            let pause = match (is_early, self.parts.view.failing_since()) {
                (true, _) => EARLY_PERIOD,
                (false, Some(_)) => OUTAGE_PERIOD,
                (false, None) => PERIOD,
            };
            self.wait_for_next_exchange(pause.mul_f64(rand::rng().random_range(1.0..2.0)))
                .await;
        }
    }

    /// Waits for `pause`, or until a reader is lost, and meanwhile checks members that stayed suspect.
    async fn wait_for_next_exchange(&self, pause: Duration) {
        let until = Instant::now() + pause;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let due = pin!(self.parts.timer.sleep(left.min(TICK)));
            let lost = pin!(self.lost.wait());
            let is_lost = matches!(select(due, lost).await, futures::future::Either::Right(_));
            let changes = self.members.borrow_mut().tick(Instant::now());
            self.log_change(changes.iter());
            if is_lost {
                return;
            }
        }
    }

    /// Logs changes in the states of members.
    pub(super) fn log_change<'c>(&self, changes: impl Iterator<Item = &'c Change>) {
        for change in changes {
            Event::new("member_changed")
                .field("vm", &change.member.vm)
                .field("kind", format!("{:?}", change.kind))
                .info();
        }
    }

    /// Draws the peer of the next exchange: a seed, or a member of the own zone if one is known.
    fn draw_peer(&self, is_early: bool) -> Option<SocketAddr> {
        let members = self.members.borrow();
        let me = members.me();
        let near = members.live_in_zone(&me.zone).map(|m| m.control);
        let near = near
            .filter(|addr| *addr != me.control)
            .choose(&mut rand::rng());
        let seeds = self.seeds.iter().filter(|addr| **addr != me.control);
        let seed = seeds.choose(&mut rand::rng()).copied();
        let share = match is_early {
            true => 0.5,
            false => SEED_SHARE,
        };
        match rand::rng().random_bool(share) {
            true => seed.or(near),
            false => near.or(seed),
        }
    }

    async fn exchange_with(&self, addr: SocketAddr) {
        let request = ZoneRequest::Meet(self.member_updates());
        match self.request(addr, &request, Duration::ZERO).await {
            Ok(ZoneReply::Met(members)) => self.merge_members(members),
            Ok(
                ZoneReply::Changes(_) | ZoneReply::Busy(_) | ZoneReply::Noted | ZoneReply::Load(_),
            ) => {
                Event::new("peer_confused").field("peer", addr).warn();
            }
            Err(err) => Event::new("peer_not_met")
                .field("peer", addr)
                .field("cause", err)
                .info(),
        }
    }
}
