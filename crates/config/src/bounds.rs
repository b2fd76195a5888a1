//! Limits of the values in documents and settings.

use std::ops::RangeInclusive;

/// Maximum size of a text, in bytes.
pub const TEXT_BYTES_MAX: usize = 1_000_000;
/// Maximum size of a configuration of packet mode, in bytes: in base64 and with a page of 1 MB it fits into the longest
/// answer of the store that a daemon reads, 16 MiB.
pub const CONFIGURATION_BYTES_MAX: usize = 11_000_000;
/// Maximum number of findings listed for one text; the rest are only counted.
pub const FINDINGS_MAX: usize = 100;
/// Maximum length of a name, in bytes.
pub const NAME_BYTES_MAX: usize = 64;
/// Maximum length of a route's path, in bytes.
pub const PATH_BYTES_MAX: usize = 255;
/// Maximum number of zones of a service.
pub const ZONES_MAX: usize = 64;
/// Maximum number of upstreams of a service.
pub const UPSTREAMS_MAX: usize = 4_096;
/// Maximum number of routes of a service.
pub const ROUTES_MAX: usize = 256;
/// Maximum number of peers in the settings.
pub const PEERS_MAX: usize = 1_024;
/// Maximum number of keys in the settings: the one that signs and the one that it replaces.
pub const KEYS_MAX: usize = 2;
/// Concurrent requests at an upstream.
pub const SLOTS: RangeInclusive<u64> = 1..=65_535;
/// Concurrent flows of an upstream.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
/// Duration of the ramp from a cold start to full load, in seconds.
pub const RAMP_S: RangeInclusive<u64> = 1..=3_600;
/// Time given to a request, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=600_000;
/// Requests that may wait for a slot of an upstream.
pub const QUEUE: RangeInclusive<u64> = 0..=1_024;
/// Retries as a share of the requests, in percent.
pub const RETRY_BUDGET_PERCENT: RangeInclusive<u64> = 0..=100;
/// Idle time after which a flow ends, in seconds.
pub const IDLE_S: RangeInclusive<u64> = 1..=86_400;
/// Time given to a graceful shutdown, in seconds.
pub const DRAIN_S: RangeInclusive<u64> = 1..=600;
/// Minimum delay of a timer tick at which the process is considered paused, in milliseconds.
pub const PAUSE_MS: RangeInclusive<u64> = 100..=60_000;
/// Slot by which a ticket refers to a key.
pub const KEY_SLOT: RangeInclusive<u64> = 0..=15;
/// Age from which a flow may be evicted, in seconds.
pub const FLOW_S: RangeInclusive<f64> = 0.1..=86_400.0;
/// Time from the request to stop until the process exits, in seconds.
pub const GRACE_S: RangeInclusive<f64> = 0.0..=86_400.0;
/// Time within which a lost response of the store must be detected, in milliseconds.
pub const NOTICE_MS: RangeInclusive<f64> = 100.0..=600_000.0;
/// Time within which a published change must be in force, in milliseconds.
pub const CHANGE_DEADLINE_MS: RangeInclusive<f64> = 100.0..=600_000.0;
/// Time that a flow must save to leave its zone, in milliseconds. At the maximum no flow leaves unless its own zone is
/// slower by a whole second; `"spill": false` keeps flows in the zone in any case.
pub const ZONE_PRICE_MS: RangeInclusive<u64> = 0..=1_000;
