//! What faults do for as long as they last.

use crate::{
    fault::Kind,
    lane::LaneMode,
    link::LinkMode,
    stage::Stage, //
};
use foxtailhinge_standins::packets::store::Fault as StoreFault;
use std::collections::BTreeSet;

impl Stage {
    /// What faults do for as long as they last.
    pub(crate) fn hold(&mut self) {
        let kinds = self.kinds();
        let store = kinds.iter().find_map(|kind| match kind {
            Kind::StoreBusy | Kind::StoreAway | Kind::AllRestartedBlind => Some(StoreFault::Busy),
            Kind::StoreSilent => Some(StoreFault::Silent),
            _ => None,
        });
        self.fleet.store.fail(store.unwrap_or_default());
        let lag = kinds.iter().find_map(|kind| match kind {
            Kind::StoreLate(lag) => Some(*lag),
            _ => None,
        });
        self.fleet.store.lag(lag.unwrap_or_default());
        let refused = kinds.iter().filter_map(|kind| match kind {
            Kind::Refused(daemon) => Some(self.seats[*daemon].store),
            _ => None,
        });
        self.fleet.store.refuse(&refused.collect::<Vec<_>>());
        for (index, seat) in self.seats.iter().enumerate() {
            let link = kinds.iter().find_map(|kind| match kind {
                Kind::Link(daemon, mode) if *daemon == index => Some(*mode),
                _ => None,
            });
            seat.link.set(link.unwrap_or(LinkMode::Open));
            let lane = kinds.iter().find_map(|kind| match kind {
                Kind::Lane(daemon, mode) if *daemon == index => Some(*mode),
                _ => None,
            });
            seat.lane.set(lane.unwrap_or(LaneMode::default()));
        }
        self.hold_zones(&kinds);
        self.hold_pauses(&kinds);
    }

    fn hold_zones(&mut self, kinds: &[Kind]) {
        let out = kinds.iter().filter_map(|kind| match kind {
            Kind::ZoneOut(zone) => Some(*zone),
            _ => None,
        });
        let out: BTreeSet<_> = out.collect();
        for zone in out.difference(&self.zones_out) {
            self.fleet.take_out(self.fleet.zones()[*zone]);
        }
        for zone in self.zones_out.difference(&out) {
            self.fleet.take_in(self.fleet.zones()[*zone]);
        }
        self.zones_out = out;
    }

    fn hold_pauses(&mut self, kinds: &[Kind]) {
        for index in 0..self.seats.len() {
            let pause = kinds.contains(&Kind::Paused(index));
            let seat = &mut self.seats[index];
            if pause && seat.runs && !seat.paused {
                seat.paused = true;
                if let Some((_, paused)) = &mut seat.stopping {
                    *paused = true;
                }
                self.fleet.freeze(index);
            } else if !pause && seat.paused {
                seat.paused = false;
                self.fleet.wake(index);
            }
        }
    }
}
