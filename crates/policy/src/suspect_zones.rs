//! Zones that may be partitioned from this daemon.
//!
//! A zone is suspect when one of its daemons did not answer and no message of any daemon of the zone
//! has arrived since that daemon was asked. A partition silences a whole zone at once, while probes
//! detect its daemons one by one. Until they have, new flows avoid the zone.

use std::{
    collections::HashMap,
    rc::Rc,
    time::Instant, //
};

/// Suspect zones, as seen by one daemon.
#[derive(Clone, Debug, Default)]
pub struct SuspectZones {
    last_contact: HashMap<Rc<str>, Instant>,
    suspect: Vec<Rc<str>>,
    version: u64,
}

impl SuspectZones {
    /// Records a message from a daemon of a zone.
    pub fn on_received(&mut self, zone: &Rc<str>, now: Instant) {
        match self.last_contact.get_mut(zone) {
            Some(at) => *at = now,
            None => {
                self.last_contact.insert(Rc::clone(zone), now);
            }
        }
        if self.is_suspect(zone) {
            self.suspect.retain(|suspect| suspect != zone);
            self.version += 1;
        }
    }

    /// Records that a daemon of a zone did not answer a request sent at `asked`; returns whether the
    /// zone became suspect.
    pub fn on_missed(&mut self, zone: &Rc<str>, asked: Instant) -> bool {
        let has_contact = self.last_contact.get(zone).is_some_and(|at| *at >= asked);
        if has_contact || self.is_suspect(zone) {
            return false;
        }
        self.suspect.push(Rc::clone(zone));
        self.version += 1;
        true
    }

    /// Whether a zone is suspect.
    pub fn is_suspect(&self, zone: &str) -> bool {
        self.suspect.iter().any(|suspect| **suspect == *zone)
    }

    /// Version of the set of suspect zones, raised at each change of the set.
    pub fn version(&self) -> u64 {
        self.version
    }
}
