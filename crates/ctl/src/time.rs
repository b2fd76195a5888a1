//! Timestamps in text output.

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

const SECONDS_PER_DAY: u64 = 86_400;
const DAYS_PER_ERA: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const DAYS_BEFORE_EPOCH: u64 = 719_468;

/// Formats a time as RFC 3339 does, in UTC with milliseconds.
pub(crate) fn utc(at: SystemTime) -> String {
    let since_epoch = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = since_epoch.as_secs();
    let (year, month, day) = date(seconds / SECONDS_PER_DAY);
    let second_of_day = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
    );
    let millis = since_epoch.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

/// Year, month and day of the day that is `days` after 1970-01-01. The computation starts years in March, so that a
/// leap day is the last day of its year.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + DAYS_BEFORE_EPOCH;
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
