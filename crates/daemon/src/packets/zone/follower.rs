//! The asking end: follows a reader.

use super::{
    message::{
        Changes,
        ZoneReply,
        ZoneRequest, //
    },
    news::NameError,
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

/// Time between two looks at the part of this daemon while it follows nobody.
const ROLE_PERIOD: Duration = Duration::from_millis(200);

/// Longest wait for an answer of a reader, which hears of the store more often.
const WAIT: Duration = Duration::from_secs(2);

/// Shortest time between the starts of two requests, which bounds the bytes in a series of changes: what one daemon
/// learns is to reach the zone within this time.
const GAP: Duration = Duration::from_millis(100);

/// Time after the start of this process in which the store alone is asked for the first view, as long as it answers.
const FIRST_VIEW: Duration = Duration::from_millis(300);

/// Why a daemon could not help.
#[derive(Debug, thiserror::Error)]
enum FeedError {
    #[error(transparent)]
    Link(#[from] LinkError),
    #[error(transparent)]
    Name(#[from] NameError),
    #[error("Its view is {0:?} old.")]
    Old(Duration),
    #[error("It has no view itself.")]
    Blind,
    #[error("It answered something else; run the same version on both daemons.")]
    Other,
}

impl Zone {
    /// Follows the readers of the zone without end, while this daemon is none.
    pub async fn follow(self: Rc<Self>) {
        let mut turn = 0;
        self.parts.timer.sleep(FIRST_VIEW).await;
        loop {
            let role = self.role();
            self.parts.view.set_reader(role == Role::Reader);
            let is_blind = !self.parts.view.is_ready();
            let source = match is_blind {
                true => self.any_other(),
                false => source(&role, turn),
            };
            let Some(source) = source else {
                self.followed.take();
                self.parts.timer.sleep(ROLE_PERIOD).await;
                continue;
            };
            let wait = match is_blind {
                true => Duration::ZERO,
                false => WAIT,
            };
            let asked = Instant::now();
            let fed = self.feed(&source, wait).await;
            self.parts.metrics.zone_requests.inc(result(&fed));
            self.note(&source, &fed);
            if let Err(err) = &fed {
                turn += 1;
                if let FeedError::Link(_) = err {
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

    /// Logs when this daemon follows another one than before, or none.
    fn note(&self, source: &Member, fed: &Result<(), FeedError>) {
        let before = match fed {
            Ok(()) => self.followed.replace(Some(Rc::clone(&source.vm))),
            Err(_) => self.followed.take(),
        };
        match fed {
            Ok(()) if before.as_ref() != Some(&source.vm) => Event::new("reader_followed")
                .field("reader", &source.vm)
                .field("members", self.member_count())
                .field("revision", self.parts.view.revision())
                .info(),
            Ok(()) => (),
            Err(err) => Event::new("reader_lost")
                .field("reader", &source.vm)
                .field("cause", err)
                .info(),
        }
    }

    async fn feed(&self, source: &Member, wait: Duration) -> Result<(), FeedError> {
        let asked = Instant::now();
        let after = self.parts.view.revision();
        let last = self.last.take().filter(|last| last.from == source.vm);
        let request = ZoneRequest::Watch {
            after,
            is_here: last.as_ref().is_some_and(|last| last.revision == after),
            belief: last.map_or(0, |last| last.belief),
            wait_ms: wait.as_millis() as u32,
            members: self.member_news(),
        };
        let reply = self.ask(source.control, &request, wait).await;
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
                let taken = self.take(changes, asked);
                *self.last.borrow_mut() = Some(LastAnswer {
                    from: Rc::clone(&source.vm),
                    revision: self.parts.view.revision(),
                    belief,
                });
                taken
            }
            ZoneReply::Met(_) | ZoneReply::Noted => Err(FeedError::Other),
        }
    }

    fn take(&self, changes: Changes, asked: Instant) -> Result<(), FeedError> {
        self.learn(changes.members);
        self.hear_silent(&changes.silent);
        let regained = changes.regained_ms.map(Duration::from_millis);
        self.parts
            .view
            .apply_news(&changes.news.decode()?, regained);
        if !self.parts.view.is_ready() {
            return Err(FeedError::Blind);
        }
        let statement = FreshnessReport {
            held: Duration::from_millis(changes.held_ms.into()),
            age: changes.age_ms.map(Duration::from_millis),
        };
        match self.parts.view.apply_freshness_report(statement, asked) {
            true => Ok(()),
            false => Err(statement.age.map_or(FeedError::Blind, FeedError::Old)),
        }
    }
}

fn result(fed: &Result<(), FeedError>) -> ZoneResult {
    match fed {
        Ok(()) => ZoneResult::Fed,
        Err(FeedError::Old(_) | FeedError::Blind) => ZoneResult::Old,
        Err(FeedError::Link(_) | FeedError::Name(_) | FeedError::Other) => ZoneResult::Failed,
    }
}

/// The daemon that one with this part asks in its `turn`.
fn source(role: &Role, turn: usize) -> Option<Member> {
    let sources = role.sources();
    sources.get(turn % sources.len().max(1)).cloned()
}
