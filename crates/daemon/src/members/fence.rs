//! The fence: a daemon accepts work only after a sync that began after its start or its last pause.

use super::{
    control::Control,
    event::ControlEvent, //
};
use foxtailhinge_policy::pause::Fence;
use std::{
    cell::Cell,
    time::{
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// Whom a daemon synced with, which decides whether the sync opens its fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncSource {
    /// A peer in service.
    Peer,
    /// A peer that is fenced too, as after a pause of both; opens the fence only together with the platform.
    FencedPeer,
    /// The platform, which does not know who owns which upstream; opens the fence only together with a fenced peer.
    Platform,
    /// The platform, if no other daemon of the zone is known.
    PlatformAlone,
}

impl Control {
    /// Records a sync that began at `began`, and opens the fence if the sync suffices.
    pub(crate) fn on_synced(&self, source: SyncSource, began: Instant) {
        let Fence::Closed(since) = self.pause.borrow().fence() else {
            return;
        };
        if began < since {
            return;
        }
        match source {
            SyncSource::Peer | SyncSource::PlatformAlone => return self.open_fence(),
            SyncSource::FencedPeer => self.partial_syncs.peer.set(Some(began)),
            SyncSource::Platform => self.partial_syncs.platform.set(Some(began)),
        }
        let fresh = |at: &Cell<Option<Instant>>| at.get().is_some_and(|at| at >= since);
        if fresh(&self.partial_syncs.peer) && fresh(&self.partial_syncs.platform) {
            self.open_fence();
        }
    }

    fn open_fence(&self) {
        self.pause.borrow_mut().synced();
        self.notify(&ControlEvent::Synced);
    }

    /// Records that a peer answered, so that waiting for a sync is worthwhile.
    pub(crate) fn on_peer_reached(&self, now: Instant) {
        self.pause.borrow_mut().on_peer_reached(now);
    }

    /// Checks for a pause of the process at each tick; never returns.
    pub(crate) async fn watch_pauses(&self) {
        loop {
            monoio::time::sleep(self.settings().limits.pause_check_interval).await;
            let wall = SystemTime::now().duration_since(UNIX_EPOCH);
            let wall = wall.unwrap_or_default();
            let mut detector = self.pause.borrow_mut();
            detector.tick_with_wall(Instant::now(), wall);
            let pause = detector.take_pause();
            let timed_out = detector.fence() != Fence::Open && detector.admits(Instant::now());
            drop(detector);
            if timed_out {
                self.open_fence();
            }
            if let Some(pause) = pause {
                self.exchange_wake.set();
                self.notify(&ControlEvent::Paused(pause));
            }
        }
    }
}
