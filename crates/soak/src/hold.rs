//! What faults do for as long as they last.

use crate::{
    fault::Kind,
    soak::Soak, //
};
use foxtailhinge_standins::packets::store::Fault as StoreFault;
use std::collections::BTreeSet;

impl Soak {
    /// What faults do for as long as they last.
    pub(crate) fn hold(&mut self) {
        let kinds = self.kinds();
        let store = kinds.iter().find_map(|kind| match kind {
            Kind::StoreBusy | Kind::StoreAway | Kind::AllRestartedBlind => Some(StoreFault::Busy),
            Kind::StoreSilent => Some(StoreFault::Silent),
            _ => None,
        });
        self.fleet.store.set_fault(store.unwrap_or_default());
        let lag = kinds.iter().find_map(|kind| match kind {
            Kind::StoreLate(lag) => Some(*lag),
            _ => None,
        });
        self.fleet.store.set_delay(lag.unwrap_or_default());
        let refused = kinds.iter().filter_map(|kind| match kind {
            Kind::Refused(daemon) => Some(self.places[*daemon].store),
            _ => None,
        });
        let mut refused: Vec<_> = refused.collect();
        if kinds.contains(&Kind::ReadersRefused) {
            refused.extend(self.readers.iter().map(|reader| self.places[*reader].store));
        }
        self.fleet.store.refuse(&refused);
        for (index, place) in self.places.iter().enumerate() {
            let store_mode = kinds.iter().find_map(|kind| match kind {
                Kind::StoreProxy(daemon, mode) if *daemon == index => Some(*mode),
                _ => None,
            });
            place.store_proxy.set(store_mode.unwrap_or_default());
            let packet_mode = kinds.iter().find_map(|kind| match kind {
                Kind::PacketProxy(daemon, mode) if *daemon == index => Some(*mode),
                _ => None,
            });
            place.packet_proxy.set(packet_mode.unwrap_or_default());
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
            self.fleet.evacuate(self.fleet.zones()[*zone]);
        }
        for zone in self.zones_out.difference(&out) {
            self.fleet.end_evacuation(self.fleet.zones()[*zone]);
        }
        self.zones_out = out;
    }

    fn hold_pauses(&mut self, kinds: &[Kind]) {
        for index in 0..self.places.len() {
            let is_reader = self.readers.contains(&index);
            let pause = kinds.contains(&Kind::Paused(index))
                || (is_reader && kinds.contains(&Kind::ReadersPaused));
            let place = &mut self.places[index];
            if pause && place.runs && !place.paused {
                place.paused = true;
                if let Some((_, paused)) = &mut place.stopping {
                    *paused = true;
                }
                self.fleet.freeze(index);
            } else if !pause && place.paused {
                place.paused = false;
                self.fleet.wake(index);
            }
        }
    }
}
