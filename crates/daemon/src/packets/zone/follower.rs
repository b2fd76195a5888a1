//! The follower: gets changes of the store from a reader.

use super::{
    change_set::NameError,
    message::{
        Changes,
        ZoneReply,
        ZoneRequest, //
    },
    LastAnswer,
    Zone, //
};
use crate::{
    links::LinkError,
    logging::Event,
    packets::metrics::ZoneResult, //
};
use foxtailhinge_policy::{
    members::Member,
    packets::{
        FreshnessReport,
        Role, //
    },
};
use rand::seq::IteratorRandom;
use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Interval at which a daemon that follows no other one checks its role.
const ROLE_PERIOD: Duration = Duration::from_millis(200);

/// Maximum wait for an answer of a reader, which gets answers of the store more often.
const WAIT: Duration = Duration::from_secs(2);

/// Minimum interval between the starts of two requests, which bounds the bytes that a series of changes costs. A change
/// that one daemon reads has to reach the zone within this time.
const GAP: Duration = Duration::from_millis(100);

/// Time after the start of this process in which only the store is asked for the first view, which is enough as long as
/// it answers.
const FIRST_VIEW: Duration = Duration::from_millis(300);

/// Number of other daemons that a daemon asks for changes which the store has lost, after a start in a later era.
const ASKED_FOR_LOST: usize = 3;

/// Why a reader could not provide a fresh view.
#[derive(Debug, thiserror::Error)]
enum SyncError {
    #[error(transparent)]
    Link(#[from] LinkError),
    #[error(transparent)]
    Name(#[from] NameError),
    #[error("The reader's view is {0:?} old.")]
    Old(Duration),
    #[error("The reader's view is of era {0}, which has ended.")]
    EarlierEra(u64),
    #[error("The reader has no view yet.")]
    NoView,
    #[error("The reader sent an unexpected answer; run the same version on both daemons.")]
    BadReply,
}

impl Zone {
    /// Follows the readers of the zone while this daemon is not a reader itself; never returns.
    pub async fn follow(self: Rc<Self>) {
        let mut turn = 0;
        self.parts.timer.sleep(FIRST_VIEW).await;
        loop {
            let role = self.role();
            self.parts.view.set_reader(role == Role::Reader);
            self.parts.view.set_has_reader(!role.sources().is_empty());
            let has_no_view = !self.parts.view.is_ready();
            let before_era = match has_no_view {
                true => None,
                false => self.member_from_before_era(),
            };
            let is_at_once = has_no_view || before_era.is_some();
            let source = match has_no_view {
                true => self.any_other(),
                false => before_era.or_else(|| source(&role, turn)),
            };
            let Some(source) = source else {
                self.followed.take();
                self.parts.timer.sleep(ROLE_PERIOD).await;
                continue;
            };
            let wait = match is_at_once {
                true => Duration::ZERO,
                false => WAIT,
            };
            let asked = Instant::now();
            let outcome = self.request_changes(&source, wait).await;
            self.parts.metrics.zone_requests.inc(result(&outcome));
            self.log_followed(&source, &outcome);
            if let Err(err) = &outcome {
                turn += 1;
                if let SyncError::Link(_) = err {
                    self.lost.set();
                }
            }
            self.parts
                .timer
                .sleep(GAP.saturating_sub(asked.elapsed()))
                .await;
        }
    }

    /// Any other live daemon of the zone.
    fn any_other(&self) -> Option<Member> {
        let members = self.members.borrow();
        let me = members.me();
        let others = members
            .live_in_zone(&me.zone)
            .filter(|member| member.vm != me.vm);
        others.choose(&mut rand::rng()).cloned()
    }

    /// A daemon that may have lived through the restoration of the store, if this one has not and has asked fewer than
    /// [`ASKED_FOR_LOST`] others: it may know changes that the store has lost.
    fn member_from_before_era(&self) -> Option<Member> {
        let view = &self.parts.view;
        if view.version().era == 0 || view.has_lived_through_restoration() {
            return None;
        }
        let mut asked = self.asked_for_lost.borrow_mut();
        if asked.len() >= ASKED_FOR_LOST {
            return None;
        }
        let members = self.members.borrow();
        let me = members.me();
        let others = members
            .live_in_zone(&me.zone)
            .filter(|member| member.vm != me.vm && !asked.contains(&member.vm));
        let member = others.choose(&mut rand::rng()).cloned()?;
        asked.push(Rc::clone(&member.vm));
        Some(member)
    }

    /// Logs when this daemon starts to follow another daemon, or loses the one that it follows.
    fn log_followed(&self, source: &Member, outcome: &Result<(), SyncError>) {
        let before = match outcome {
            Ok(()) => self.followed.replace(Some(Rc::clone(&source.vm))),
            Err(_) => self.followed.take(),
        };
        match outcome {
            Ok(()) if before.as_ref() != Some(&source.vm) => Event::new("reader_followed")
                .field("reader", &source.vm)
                .field("members", self.member_count())
                .field("revision", self.parts.view.version())
                .info(),
            Ok(()) => (),
            Err(err) => Event::new("reader_lost")
                .field("reader", &source.vm)
                .field("cause", err)
                .info(),
        }
    }

    async fn request_changes(&self, source: &Member, wait: Duration) -> Result<(), SyncError> {
        let asked = Instant::now();
        let after = self.parts.view.version();
        let last = self.last.take().filter(|last| last.from == source.vm);
        let request = ZoneRequest::Watch {
            after: after.into(),
            is_here: last.as_ref().is_some_and(|last| last.version == after),
            belief: last.map_or(0, |last| last.belief),
            wait_ms: wait.as_millis() as u32,
            members: self.member_updates(),
        };
        let reply = self.request(source.control, &request, wait).await;
        match &reply {
            Ok(_) => self.members.borrow_mut().on_ack(&source.vm),
            Err(_) => {
                let change = self.members.borrow_mut().on_missed(&source.vm, asked);
                self.log_change(change.iter());
            }
        }
        match reply? {
            ZoneReply::Changes(changes) => {
                let belief = changes.belief;
                let applied = self.apply(changes, asked);
                *self.last.borrow_mut() = Some(LastAnswer {
                    from: Rc::clone(&source.vm),
                    version: self.parts.view.version(),
                    belief,
                });
                applied
            }
            ZoneReply::Met(_) | ZoneReply::Noted => Err(SyncError::BadReply),
        }
    }

    fn apply(&self, changes: Changes, asked: Instant) -> Result<(), SyncError> {
        self.merge_members(changes.members);
        self.apply_silent(&changes.silent);
        let since_recovery = changes.regained_ms.map(Duration::from_millis);
        let news = changes.news.decode()?;
        if news.version.era < self.parts.view.version().era {
            return Err(SyncError::EarlierEra(news.version.era));
        }
        self.parts.view.merge_changes(&news, since_recovery);
        if !self.parts.view.is_ready() {
            return Err(SyncError::NoView);
        }
        let report = FreshnessReport {
            held: Duration::from_millis(changes.held_ms.into()),
            age: changes.age_ms.map(Duration::from_millis),
        };
        match self.parts.view.apply_freshness_report(report, asked) {
            true => Ok(()),
            false => Err(report.age.map_or(SyncError::NoView, SyncError::Old)),
        }
    }
}

fn result(outcome: &Result<(), SyncError>) -> ZoneResult {
    match outcome {
        Ok(()) => ZoneResult::Fed,
        Err(SyncError::Old(_) | SyncError::EarlierEra(_) | SyncError::NoView) => ZoneResult::Old,
        Err(SyncError::Link(_) | SyncError::Name(_) | SyncError::BadReply) => ZoneResult::Failed,
    }
}

/// The daemon to follow in attempt number `turn`, for a daemon with this role.
fn source(role: &Role, turn: usize) -> Option<Member> {
    let sources = role.sources();
    sources.get(turn % sources.len().max(1)).cloned()
}
