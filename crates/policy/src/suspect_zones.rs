//! Zones that may be cut off: one of their daemons did not answer, and none of the others was heard since it was asked.
//!
//! A cut silences a whole zone at once, while probes find its daemons out one by one. New flows go elsewhere meanwhile.

use std::{
    collections::HashMap,
    rc::Rc,
    time::Instant, //
};

/// What one daemon hears of the other zones.
#[derive(Clone, Debug, Default)]
pub struct SuspectZones {
    heard: HashMap<Rc<str>, Instant>,
    quiet: Vec<Rc<str>>,
    version: u64,
}

impl SuspectZones {
    /// Notes that a daemon of a zone was heard.
    pub fn on_received(&mut self, zone: &Rc<str>, now: Instant) {
        match self.heard.get_mut(zone) {
            Some(at) => *at = now,
            None => {
                self.heard.insert(Rc::clone(zone), now);
            }
        }
        if self.is_suspect(zone) {
            self.quiet.retain(|quiet| quiet != zone);
            self.version += 1;
        }
    }

    /// Notes that a daemon of a zone did not answer what it was asked at `asked`; returns whether the zone is quiet now.
    pub fn on_missed(&mut self, zone: &Rc<str>, asked: Instant) -> bool {
        let is_heard = self.heard.get(zone).is_some_and(|at| *at >= asked);
        if is_heard || self.is_suspect(zone) {
            return false;
        }
        self.quiet.push(Rc::clone(zone));
        self.version += 1;
        true
    }

    /// Whether nothing is heard of a zone.
    pub fn is_suspect(&self, zone: &str) -> bool {
        self.quiet.iter().any(|quiet| **quiet == *zone)
    }

    /// Raised whenever a zone becomes quiet or is heard again.
    pub fn version(&self) -> u64 {
        self.version
    }
}
