//! Bounds of the values in documents and settings.

use std::ops::RangeInclusive;

/// Largest text that is read, in bytes.
pub const TEXT_BYTES_MAX: usize = 1_000_000;
/// Most findings reported for one text; the rest are counted.
pub const FINDINGS_MAX: usize = 100;
/// Longest name, in bytes.
pub const NAME_BYTES_MAX: usize = 64;
/// Longest path of a route, in bytes.
pub const PATH_BYTES_MAX: usize = 255;
/// Most zones of a service.
pub const ZONES_MAX: usize = 64;
/// Most upstreams of a service.
pub const UPSTREAMS_MAX: usize = 4_096;
/// Most routes of a service.
pub const ROUTES_MAX: usize = 256;
/// Most peers in the settings.
pub const PEERS_MAX: usize = 1_024;
/// Most keys in the settings: the one that signs and the one being replaced.
pub const KEYS_MAX: usize = 2;
/// Requests in progress at an upstream.
pub const SLOTS: RangeInclusive<u64> = 1..=65_535;
/// Flows held by an upstream.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
/// Time from cold to full load, in seconds.
pub const RAMP_S: RangeInclusive<u64> = 1..=3_600;
/// Time given to a request, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=600_000;
/// Requests waiting for a slot of an upstream.
pub const QUEUE: RangeInclusive<u64> = 0..=1_024;
/// Retries as a share of the requests, in percent.
pub const RETRY_BUDGET_PERCENT: RangeInclusive<u64> = 0..=100;
/// Time after which a flow without packets ends, in seconds.
pub const IDLE_S: RangeInclusive<u64> = 1..=86_400;
/// Time given to a graceful shutdown, in seconds.
pub const DRAIN_S: RangeInclusive<u64> = 1..=600;
/// Delay of a tick from which the process counts as paused, in milliseconds.
pub const PAUSE_MS: RangeInclusive<u64> = 100..=60_000;
/// Slot of a key in the ticket.
pub const KEY_SLOT: RangeInclusive<u64> = 0..=15;
/// Age from which a flow may be forgotten, in seconds.
pub const FLOW_S: RangeInclusive<u64> = 1..=86_400;
/// Time from the request to stop until the process is ended, in seconds.
pub const GRACE_S: RangeInclusive<u64> = 1..=600;
/// Time in which a lost answer of the store is to be noticed, in milliseconds.
pub const NOTICE_MS: RangeInclusive<u64> = 1_000..=60_000;
/// Time in which a change of what is published is to be in force, in milliseconds.
pub const CHANGE_DEADLINE_MS: RangeInclusive<u64> = 500..=600_000;
