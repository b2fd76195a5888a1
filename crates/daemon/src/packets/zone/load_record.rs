//! Encoding of load reports in messages.

use super::message::{
    LOAD_NAME_MAX,
    LOAD_POOLS_MAX,
    LOAD_SERVICES_MAX, //
};
use bincode::{
    Decode,
    Encode, //
};
use foxtailhinge_policy::packets::{
    load::REPORT_TTL,
    AgedReport,
    Counts,
    LoadReport,
    Pool,
    Reporter, //
};
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Units of an event in a record.
const EVENT_UNITS: f64 = 1e3;

/// Units of a second in a record.
const SECOND_UNITS: f64 = 1e6;

/// Units of an admitted share of 1 in a record.
const SHARE_UNITS: f64 = 1e4;

/// A load report.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LoadRecord {
    /// VM of the sender.
    pub vm: String,
    /// Relation of the sender to the daemon that it is sent to.
    pub reporter: ReporterRecord,
    /// Number of daemons whose observations are in the report.
    pub daemons: u32,
    /// Mean age of the observations, in milliseconds.
    pub age_ms: u32,
    /// Services with traffic, or with an admitted share under 1.
    pub services: Vec<ServiceRecord>,
}

/// Relation of a sender to the daemon that it sends to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReporterRecord {
    /// The sender follows the receiver.
    Follower,
    /// Neither follows the other.
    Peer,
    /// The receiver follows the sender.
    Source,
}

/// Load of one service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: String,
    /// Admitted share in ten thousandths; `None` for 1.
    pub admitted: Option<u16>,
    /// Mean service time without load in microseconds, if it has been observed.
    pub baseline_us: Option<u32>,
    /// Observations by the zone of the upstreams.
    pub pools: Vec<PoolRecord>,
}

/// Observations of the upstreams of one service in one zone: events in thousandths and times in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct PoolRecord {
    /// Zone of the upstreams.
    pub zone: String,
    /// Opening packets that were forwarded.
    pub opened: u64,
    /// Opening packets that failed.
    pub failed: u64,
    /// Flows whose opening was answered.
    pub connects: u64,
    /// Sum of their connect times.
    pub connect_us: u64,
    /// Requests that were answered.
    pub answers: u64,
    /// Sum of their service times.
    pub service_us: u64,
    /// Answers that are too short for content.
    pub refusals: u64,
    /// Sum of their service times.
    pub refusal_us: u64,
}

/// Why a load record cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadRecordError {
    /// It has too many services or pools.
    #[error("The record has too many services or pools.")]
    TooLong,
    /// It has a name that is too long.
    #[error("The record has a name that is too long.")]
    LongName,
    /// Its values cannot be those of daemons of one zone.
    #[error("The record has values that are not possible.")]
    Implausible,
    /// Its observations are too old.
    #[error("The observations in the record are too old.")]
    Expired,
}

impl LoadRecord {
    /// Encodes a report; of too many pools, those with the most traffic.
    pub fn new(vm: &str, reporter: Reporter, aged: &AgedReport) -> Self {
        let mut pools: Vec<_> = aged
            .report
            .pools
            .iter()
            .filter(|(pool, _)| has_room(&pool.service) && has_room(&pool.zone))
            .collect();
        let traffic = |counts: &Counts| counts.opened + counts.answers;
        pools.sort_by(|(a, a_counts), (b, b_counts)| {
            let by_traffic = traffic(b_counts).total_cmp(&traffic(a_counts));
            by_traffic.then_with(|| a.cmp(b))
        });
        let mut services = BTreeMap::<&str, Vec<PoolRecord>>::new();
        for (pool, counts) in pools.into_iter().take(LOAD_POOLS_MAX) {
            let record = PoolRecord::new(&pool.zone, counts);
            services.entry(&*pool.service).or_default().push(record);
        }
        for (service, _) in &aged.report.admitted {
            if services.len() < LOAD_SERVICES_MAX && has_room(service) {
                services.entry(&**service).or_default();
            }
        }
        let services = services.into_iter().map(|(name, pools)| ServiceRecord {
            name: name.to_owned(),
            admitted: share_units(aged.report.admitted(name)),
            baseline_us: aged
                .report
                .baseline_s(name)
                .map(|baseline_s| units(baseline_s, SECOND_UNITS) as u32),
            pools,
        });
        Self {
            vm: vm.to_owned(),
            reporter: reporter.into(),
            daemons: aged.report.daemons,
            age_ms: u32::try_from(aged.age.as_millis()).unwrap_or(u32::MAX),
            services: services.collect(),
        }
    }

    /// Decodes a record sent at `sent`; returns the report and the time of its observations.
    ///
    /// # Errors
    ///
    /// Fails when the record is too long or too old, or has values that are not possible.
    pub fn decode(&self, sent: Instant) -> Result<(LoadReport, Instant), LoadRecordError> {
        let pools = self.services.iter().map(|service| service.pools.len());
        if self.services.len() > LOAD_SERVICES_MAX || pools.sum::<usize>() > LOAD_POOLS_MAX {
            return Err(LoadRecordError::TooLong);
        }
        let mut report = LoadReport {
            daemons: self.daemons,
            ..LoadReport::default()
        };
        for record in &self.services {
            let service = name(&record.name)?;
            for pool in &record.pools {
                let key = Pool {
                    service: Rc::clone(&service),
                    zone: name(&pool.zone)?,
                };
                report.pools.push((key, pool.counts()));
            }
            if let Some(baseline_us) = record.baseline_us {
                let baseline_s = f64::from(baseline_us) / SECOND_UNITS;
                report.baseline_s.push((Rc::clone(&service), baseline_s));
            }
            if let Some(admitted) = record.admitted {
                let admitted = f64::from(admitted) / SHARE_UNITS;
                report.admitted.push((service, admitted));
            }
        }
        if !report.is_plausible() {
            return Err(LoadRecordError::Implausible);
        }
        let age = Duration::from_millis(self.age_ms.into());
        let at = sent.checked_sub(age).filter(|_| age < REPORT_TTL);
        Ok((report, at.ok_or(LoadRecordError::Expired)?))
    }
}

impl From<Reporter> for ReporterRecord {
    fn from(reporter: Reporter) -> Self {
        match reporter {
            Reporter::Follower => Self::Follower,
            Reporter::Peer => Self::Peer,
            Reporter::Source => Self::Source,
        }
    }
}

impl PoolRecord {
    fn new(zone: &str, counts: &Counts) -> Self {
        Self {
            zone: zone.to_owned(),
            opened: units(counts.opened, EVENT_UNITS),
            failed: units(counts.failed, EVENT_UNITS),
            connects: units(counts.connects, EVENT_UNITS),
            connect_us: units(counts.connect_s, SECOND_UNITS),
            answers: units(counts.answers, EVENT_UNITS),
            service_us: units(counts.service_s, SECOND_UNITS),
            refusals: units(counts.refusals, EVENT_UNITS),
            refusal_us: units(counts.refusal_s, SECOND_UNITS),
        }
    }

    fn counts(&self) -> Counts {
        Counts {
            opened: self.opened as f64 / EVENT_UNITS,
            failed: self.failed as f64 / EVENT_UNITS,
            connects: self.connects as f64 / EVENT_UNITS,
            connect_s: self.connect_us as f64 / SECOND_UNITS,
            answers: self.answers as f64 / EVENT_UNITS,
            service_s: self.service_us as f64 / SECOND_UNITS,
            refusals: self.refusals as f64 / EVENT_UNITS,
            refusal_s: self.refusal_us as f64 / SECOND_UNITS,
        }
    }
}

fn has_room(name: &str) -> bool {
    name.len() <= LOAD_NAME_MAX
}

fn name(name: &str) -> Result<Rc<str>, LoadRecordError> {
    match has_room(name) {
        true => Ok(Rc::from(name)),
        false => Err(LoadRecordError::LongName),
    }
}

/// A sum in units; the conversion saturates.
fn units(sum: f64, units: f64) -> u64 {
    (sum * units).round() as u64
}

/// A share in units; `None` for 1.
fn share_units(share: f64) -> Option<u16> {
    (share < 1.0).then(|| (share * SHARE_UNITS).round() as u16)
}
