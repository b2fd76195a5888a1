//! Choice of the daemons that are asked for changes which a restored store has lost.
//!
//! A daemon that starts after the restoration knows none of them, and one that lived through it may have been behind.
//! Members of the own zone are asked first. Those of other zones are asked only if none that answered in the own zone
//! has lived through the restoration, because traffic between zones is charged.

use crate::members::{
    Member,
    Members, //
};
use rand::Rng;
use std::rc::Rc;

/// Number of members that have to answer in the own zone, and as many in other zones.
const ANSWERS: usize = 3;

/// Maximum number of requests in an era, which also counts members that do not answer or are of an earlier era.
const REQUESTS_MAX: usize = 24;

/// Result of asking a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    /// The member is of the same era.
    SameEra {
        /// Whether the member knows the state from before the era.
        lived_through: bool,
    },
    /// The member is of an earlier era and may be asked again.
    EarlierEra,
    /// The member gave no usable answer.
    Nothing,
}

/// The members that were asked in an era, and how they answered.
#[derive(Clone, Debug, Default)]
pub struct LostChanges {
    era: u64,
    requests: usize,
    /// Members that are not asked again.
    done: Vec<Rc<str>>,
    /// Members of an earlier era, which are asked again when nobody else is left.
    behind: Vec<Rc<str>>,
    answers_in_zone: usize,
    answers_elsewhere: usize,
    has_witness_in_zone: bool,
}

impl LostChanges {
    /// The member to ask next in `era`; `None` if enough have answered, or none is known.
    ///
    /// In era zero the store names no eras, and has lost nothing.
    pub fn next<'m>(
        &mut self,
        era: u64,
        members: &'m Members,
        rng: &mut impl Rng,
    ) -> Option<&'m Member> {
        if era != self.era {
            *self = Self {
                era,
                ..Self::default()
            };
        }
        if era == 0 || self.requests >= REQUESTS_MAX {
            return None;
        }
        let me = members.me();
        let others = members
            .iter()
            .filter(|member| member.is_live() && member.vm != me.vm);
        let others = others.filter(|member| !self.done.contains(&member.vm));
        let is_near_asked = self.answers_in_zone < ANSWERS;
        let is_far_asked = !self.has_witness_in_zone && self.answers_elsewhere < ANSWERS;
        let asked = others.filter(|member| match member.zone == me.zone {
            true => is_near_asked,
            false => is_far_asked,
        });
        let rank = |member: &&Member| {
            (
                self.behind.contains(&member.vm),
                member.zone != me.zone,
                rng.random::<u32>(),
            )
        };
        asked.min_by_key(rank)
    }

    /// Records how a member of this zone (`is_in_zone`), or of another one, answered.
    pub fn record(&mut self, vm: &Rc<str>, is_in_zone: bool, answered: Answered) {
        self.requests += 1;
        if answered == Answered::EarlierEra {
            if !self.behind.contains(vm) {
                self.behind.push(Rc::clone(vm));
            }
            return;
        }
        self.done.push(Rc::clone(vm));
        let Answered::SameEra { lived_through } = answered else {
            return;
        };
        match is_in_zone {
            true => {
                self.answers_in_zone += 1;
                self.has_witness_in_zone |= lived_through;
            }
            false => self.answers_elsewhere += 1,
        }
    }
}
