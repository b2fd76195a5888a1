//! The follower: gets changes of the store from a reader.

use super::{
    change_set::{
        ChangeSetRecord,
        ConfigurationIdRecord,
        NameError, //
    },
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
        Answered,
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
    #[error("The reader's change is of a configuration that is not in force here any more.")]
    OtherConfiguration,
    #[error("The reader has no view yet.")]
    NoView,
    #[error("The reader sends large answers to other daemons.")]
    Busy,
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
            if !has_no_view && self.ask_for_lost_changes().await {
                continue;
            }
            let source = match has_no_view {
                true => self.any_other(),
                false => source(&role, turn),
            };
            let Some(source) = source else {
                self.followed.take();
                self.parts.timer.sleep(ROLE_PERIOD).await;
                continue;
            };
            let wait = match has_no_view {
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

    /// Asks one daemon for changes that the store lost when it was restored; returns whether there was one to ask.
    async fn ask_for_lost_changes(&self) -> bool {
        let era = self.parts.view.version().era;
        let member = {
            let members = self.members.borrow();
            let mut lost_changes = self.lost_changes.borrow_mut();
            lost_changes.next(era, &members, &mut rand::rng()).cloned()
        };
        let Some(member) = member else {
            return false;
        };
        let asked = Instant::now();
        let outcome = self.request_lost_changes(&member).await;
        let answered = match &outcome {
            Ok(lived_through) => Answered::SameEra {
                lived_through: *lived_through,
            },
            Err(SyncError::EarlierEra(_)) => Answered::EarlierEra,
            Err(_) => Answered::Nothing,
        };
        let is_in_zone = member.zone == self.members.borrow().me().zone;
        self.lost_changes
            .borrow_mut()
            .record(&member.vm, is_in_zone, answered);
        let event = Event::new("lost_changes_asked")
            .field("vm", &member.vm)
            .field("zone", &member.zone)
            .field("era", era);
        match outcome {
            Ok(lived_through) => event
                .field("lived_through", lived_through)
                .field("awaited", self.parts.view.directory().awaited())
                .info(),
            Err(err) => event.field("cause", err).info(),
        }
        self.parts
            .timer
            .sleep(GAP.saturating_sub(asked.elapsed()))
            .await;
        true
    }

    /// Applies what another daemon, which may be of another zone, keeps in force; returns whether that daemon knows the
    /// state from before the era.
    async fn request_lost_changes(&self, member: &Member) -> Result<bool, SyncError> {
        let request = ZoneRequest::Watch {
            after: self.parts.view.version().into(),
            is_here: false,
            configuration: self.configuration_id(),
            belief: 0,
            wait_ms: 0,
            members: self.member_updates(),
        };
        let reply = self
            .request(member.control, &request, Duration::ZERO)
            .await?;
        let changes = match reply {
            ZoneReply::Changes(changes) => changes,
            ZoneReply::Busy(_) => return Err(SyncError::Busy),
            _ => return Err(SyncError::BadReply),
        };
        self.merge_members(changes.members);
        self.merge_news(&changes.news, changes.regained_ms)?;
        Ok(changes.news.lived_through())
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
            configuration: self.configuration_id(),
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
            ZoneReply::Busy(urgent) => {
                self.merge_news(&urgent, None)?;
                Err(SyncError::Busy)
            }
            ZoneReply::Met(_) | ZoneReply::Noted | ZoneReply::Load(_) => Err(SyncError::BadReply),
        }
    }

    /// Identity of the configuration in force, for a request.
    fn configuration_id(&self) -> Option<ConfigurationIdRecord> {
        let id = self.parts.view.directory().configuration_id();
        id.map(ConfigurationIdRecord::from)
    }

    /// Applies changes of a daemon that is of no earlier era.
    fn merge_news(
        &self,
        news: &ChangeSetRecord,
        regained_ms: Option<u64>,
    ) -> Result<(), SyncError> {
        let mut news = news.decode()?;
        if news.version.era < self.parts.view.version().era {
            return Err(SyncError::EarlierEra(news.version.era));
        }
        if !self.parts.view.directory().expand_delta(&mut news) {
            return Err(SyncError::OtherConfiguration);
        }
        let since_recovery = regained_ms.map(Duration::from_millis);
        self.parts.view.merge_changes(&news, since_recovery);
        Ok(())
    }

    fn apply(&self, changes: Changes, asked: Instant) -> Result<(), SyncError> {
        self.merge_members(changes.members);
        self.apply_silent(&changes.silent);
        self.merge_news(&changes.news, changes.regained_ms)?;
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
        Err(
            SyncError::Old(_)
            | SyncError::EarlierEra(_)
            | SyncError::OtherConfiguration
            | SyncError::NoView
            | SyncError::Busy,
        ) => ZoneResult::Old,
        Err(SyncError::Link(_) | SyncError::Name(_) | SyncError::BadReply) => ZoneResult::Failed,
    }
}

/// The daemon to follow in attempt number `turn`, for a daemon with this role.
fn source(role: &Role, turn: usize) -> Option<Member> {
    let sources = role.sources();
    sources.get(turn % sources.len().max(1)).cloned()
}
