//! Effects of faults that last until the fault ends.

use crate::{
    fault::Kind,
    link_cut::LinkCut,
    soak::{
        Soak,
        POSTS_PER_S, //
    },
};
use foxtailhinge_standins::packets::store::Fault as StoreFault;
use std::{
    collections::BTreeSet,
    net::SocketAddr, //
};

impl Soak {
    /// Applies the lasting effects of all faults in force, and ends those of the others.
    pub(crate) fn apply_lasting_faults(&mut self) -> anyhow::Result<()> {
        let kinds = self.kinds();
        let store = kinds.iter().find_map(|kind| match kind {
            Kind::StoreBusy | Kind::StoreAway | Kind::AllRestartedBlind => Some(StoreFault::Busy),
            Kind::StoreSilent => Some(StoreFault::Silent),
            _ => None,
        });
        self.fleet.store.set_fault(store.unwrap_or_default());
        let delay = kinds.iter().find_map(|kind| match kind {
            Kind::StoreLate(delay) => Some(*delay),
            _ => None,
        });
        self.fleet.store.set_delay(delay.unwrap_or_default());
        let refused = kinds.iter().filter_map(|kind| match kind {
            Kind::Refused(daemon) => Some(self.proxied_daemons[*daemon].store),
            _ => None,
        });
        let mut refused: Vec<_> = refused.collect();
        if kinds.contains(&Kind::ReadersRefused) {
            refused.extend(
                self.readers
                    .iter()
                    .map(|reader| self.proxied_daemons[*reader].store),
            );
        }
        self.fleet.store.refuse(&refused);
        for (index, proxied) in self.proxied_daemons.iter().enumerate() {
            let store_mode = kinds.iter().find_map(|kind| match kind {
                Kind::StoreProxy(daemon, mode) if *daemon == index => Some(*mode),
                _ => None,
            });
            proxied.store_proxy.set_mode(store_mode.unwrap_or_default());
            let packet_mode = kinds.iter().find_map(|kind| match kind {
                Kind::PacketProxy(daemon, mode) if *daemon == index => Some(*mode),
                _ => None,
            });
            proxied
                .packet_proxy
                .set_mode(packet_mode.unwrap_or_default());
        }
        self.apply_evacuations(&kinds);
        self.apply_pauses(&kinds);
        self.apply_rates(&kinds);
        self.apply_link_cuts(kinds.contains(&Kind::LinksCut))
    }

    /// Sets how many requests the callers of each zone send. Those of zones 0, 2, ... use the first service, the others the
    /// second one.
    fn apply_rates(&self, kinds: &[Kind]) {
        let zones = self.callers.len();
        let overload = kinds.iter().find(|kind| kind.overloads());
        for (zone, callers) in self.callers.iter().enumerate() {
            let service = zone % 2;
            let capacity_per_s = self.capacity_per_s[service];
            callers.set_posts_per_s(match overload {
                Some(Kind::Overloaded(times)) => {
                    let sharing = (zones - service).div_ceil(2);
                    capacity_per_s * times / sharing as f64
                }
                Some(Kind::Uneven(hot, times)) if *hot == zone => {
                    capacity_per_s * times / zones as f64
                }
                Some(Kind::Uneven(..)) => 0.0,
                _ => POSTS_PER_S,
            });
        }
    }

    fn apply_link_cuts(&mut self, is_cut: bool) -> anyhow::Result<()> {
        if !is_cut {
            self.link_cuts.clear();
        } else if self.link_cuts.is_empty() {
            for index in 0..self.fleet.len() {
                if let SocketAddr::V4(addr) = self.fleet.zone_addr(index) {
                    self.link_cuts.push(LinkCut::start(addr)?);
                }
            }
        }
        Ok(())
    }

    fn apply_evacuations(&mut self, kinds: &[Kind]) {
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

    fn apply_pauses(&mut self, kinds: &[Kind]) {
        for index in 0..self.proxied_daemons.len() {
            let is_reader = self.readers.contains(&index);
            let pause = kinds.contains(&Kind::Paused(index))
                || (is_reader && kinds.contains(&Kind::ReadersPaused));
            let proxied = &mut self.proxied_daemons[index];
            if pause && proxied.running && !proxied.paused {
                proxied.paused = true;
                if let Some((_, paused)) = &mut proxied.stopping {
                    *paused = true;
                }
                self.fleet.freeze(index);
            } else if !pause && proxied.paused {
                proxied.paused = false;
                self.fleet.wake(index);
            }
        }
    }
}
