//! How the daemons of a zone find each other.

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

/// Time after the start in which a daemon meets its first peer, drawn evenly, so that seeds are not rushed when all start
/// together.
const FIRST: Duration = Duration::from_millis(300);

/// Time between two of the first meetings, in which a daemon gets to know its zone, and twice as long at the most.
const EARLY: Duration = Duration::from_millis(300);

/// Number of these meetings; more while there is no view to serve by.
const EARLY_MEETINGS: u32 = 5;

/// The same while the store does not answer, when those that start need others to know them.
const TROUBLE: Duration = Duration::from_secs(1);

/// The same later.
const PERIOD: Duration = Duration::from_secs(8);

/// Share of the later meetings with a seed, by which parts of a zone that do not know each other come together.
const SEED_SHARE: f64 = 0.25;

/// Time between two looks for members that stayed suspect.
const TICK: Duration = Duration::from_secs(1);

impl Zone {
    /// Meets seeds and members without end, so that views that differ come together.
    pub async fn exchange_members(self: Rc<Self>) {
        self.parts
            .timer
            .sleep(FIRST.mul_f64(rand::rng().random()))
            .await;
        for meeting in 0u32.. {
            let is_early = meeting < EARLY_MEETINGS || !self.parts.view.is_ready();
            if let Some(addr) = self.draw(is_early) {
                self.meet_one(addr).await;
            }
            let pause = match (is_early, self.parts.view.failing_since()) {
                (true, _) => EARLY,
                (false, Some(_)) => TROUBLE,
                (false, None) => PERIOD,
            };
            self.rest(pause.mul_f64(rand::rng().random_range(1.0..2.0)))
                .await;
        }
    }

    /// Waits for a while, or until a reader is lost, and looks for members that stayed suspect meanwhile.
    async fn rest(&self, pause: Duration) {
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

    /// Logs what was found out about members.
    pub(super) fn log_change<'c>(&self, changes: impl Iterator<Item = &'c Change>) {
        for change in changes {
            Event::new("member_changed")
                .field("vm", &change.member.vm)
                .field("kind", format!("{:?}", change.kind))
                .info();
        }
    }

    /// Draws whom to meet: a seed, or a member of the own zone where there is one.
    fn draw(&self, is_early: bool) -> Option<SocketAddr> {
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

    async fn meet_one(&self, addr: SocketAddr) {
        let request = ZoneRequest::Meet(self.member_news());
        match self.ask(addr, &request, Duration::ZERO).await {
            Ok(ZoneReply::Met(members)) => self.learn(members),
            Ok(ZoneReply::Changes(_) | ZoneReply::Noted) => {
                Event::new("peer_confused").field("peer", addr).warn();
            }
            Err(err) => Event::new("peer_not_met")
                .field("peer", addr)
                .field("cause", err)
                .info(),
        }
    }
}
