//! Logs changes to a view.

use crate::logging::Event;
use foxtailhinge_policy::packets::{
    directory::Outcome,
    entry::{
        Change,
        Item,
        UpstreamState, //
    },
    Directory,
    Evacuation,
    Restoration,
    Version, //
};
use std::time::{
    Duration,
    Instant, //
};

/// How long a change may have waited until it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChangeDelay {
    /// Time since the view was last complete; the change was written later.
    pub(super) since_complete: Duration,
    /// Time since the last failed call began, if the view was complete before it; the store may have been available
    /// since then.
    pub(super) since_failure: Option<Duration>,
}

/// Logs the outcome of one change, with its delay if that is known.
pub(super) fn log_change(item: &Item, outcome: &Outcome, delay: Option<ChangeDelay>) {
    let (name, event) = match (&item.change, outcome) {
        (_, Outcome::Ignored) => return,
        (_, Outcome::Refused(cause)) => ("entry_refused", Some(("cause", cause.to_string()))),
        (_, Outcome::Stale) => ("entry_stale", None),
        (Change::Listed(_, upstream), Outcome::Applied) => match upstream.state {
            UpstreamState::Serving => ("upstream_listed", None),
            UpstreamState::Draining => ("upstream_draining", None),
        },
        (Change::Unlisted(..), Outcome::Applied) => ("upstream_unlisted", None),
        (Change::Configured(cfg), Outcome::Applied) => {
            ("configured", Some(("version", cfg.version.to_string())))
        }
        (Change::Zone { out: true, .. }, Outcome::Applied) => ("zone_out", None),
        (Change::Zone { out: false, .. }, Outcome::Applied) => ("zone_in", None),
        (Change::Unusable(_) | Change::Foreign, Outcome::Applied) => return,
    };
    let mut line = Event::new(name)
        .field("key", &item.key)
        .field("revision", item.version);
    if let Some((field, value)) = event {
        line = line.field(field, value);
    }
    if let Some(delay) = delay.filter(|_| has_deadline(&item.change)) {
        line = line.field("delay_max_ms", delay.since_complete.as_millis());
        if let Some(since) = delay.since_failure {
            line = line.field("since_failure_ms", since.as_millis());
        }
    }
    match outcome {
        Outcome::Refused(_) => line.warn(),
        _ => line.info(),
    }
}

/// Whether a change must be in force within a time limit.
pub(super) fn has_deadline(change: &Change) -> bool {
    match change {
        Change::Configured(_) | Change::Zone { out: true, .. } => true,
        Change::Listed(_, upstream) => upstream.state == UpstreamState::Draining,
        _ => false,
    }
}

/// Logs that the store was restored from a copy, after a list at `version` that began the era.
pub(super) fn log_era(restoration: &Restoration, version: Version) {
    let lost = restoration.lost_revisions();
    Event::new("era_began")
        .field("before", restoration.before)
        .field("revision", version)
        .field(
            "lost_revisions",
            lost.map_or("unknown".to_owned(), |n| n.to_string()),
        )
        .field("kept", restoration.kept)
        .field("held_out", restoration.held_out)
        .field("operator_entries", restoration.operator_entries)
        .warn();
}

/// Logs the zones that were out of service by evacuations of former eras, and are not any more because another daemon has
/// seen their end.
pub(super) fn log_ended_evacuations(before: &[Evacuation], directory: &Directory) {
    let in_force = before.iter().filter(|evacuation| evacuation.is_in_force);
    for Evacuation { zone, version, .. } in in_force.filter(|one| !directory.is_out(&one.zone)) {
        Event::new("zone_in")
            .field("key", zone)
            .field("revision", directory.version())
            .field("evacuated", version)
            .info();
    }
}

/// Logs that all entries which a restored store had lost are written again or given up.
pub(super) fn log_era_settled(restoration: &Restoration, now: Instant) {
    Event::new("era_settled")
        .field("start", restoration.start)
        .field("took_ms", now.duration_since(restoration.at).as_millis())
        .field("given_up", restoration.given_up)
        .info();
}
