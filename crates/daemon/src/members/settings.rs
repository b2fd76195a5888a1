//! Settings and limits of the control plane.

use foxtailhinge_config::settings::Settings;
use foxtailhinge_policy::{
    members::{
        ListedVm,
        MembersSpec, //
    },
    pause::PauseSpec,
};
use foxtailhinge_wire::{
    envelope::PeerKeys,
    ticket::name_hash, //
};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

/// Intervals, timeouts and sizes of the control plane.
#[derive(Clone, Copy, Debug)]
pub struct ControlLimits {
    /// Time between two rounds of probes.
    pub probe_interval: Duration,
    /// Interval of the check for probes without an answer.
    pub probe_check_interval: Duration,
    /// Time after the last packet from a daemon during which it needs no probe before a packet is sent to it.
    pub contact_ttl: Duration,
    /// Maximum number of on-demand probes per interval; they go to daemons that packets are sent to.
    pub on_demand_probes: u32,
    /// Timeout for the answer to a probe.
    pub probe_timeout: Duration,
    /// Maximum number of gossiped records in one probe.
    pub gossip: usize,
    /// Time between two exchanges with a random peer.
    pub exchange_interval: Duration,
    /// Time before an exchange is retried while this daemon is not synced.
    pub retry_interval: Duration,
    /// Timeout of one request on a link.
    pub link_timeout: Duration,
    /// Time after which an idle link is closed.
    pub link_idle: Duration,
    /// Maximum number of links that this daemon holds open to others.
    pub links: usize,
    /// Maximum number of links that others may hold open to this daemon.
    pub inbound_links: usize,
    /// Rate limit, in bytes per second, of copies of documents and members that this daemon sends and, once in service,
    /// fetches.
    pub copy_rate: u64,
    /// As `copy_rate`, while there is more gossip than fits into a probe, as after the loss of a rack.
    pub copy_rate_busy: u64,
    /// Burst of the rate limit of copies in bytes; a joining daemon can fetch that many from each of its
    /// peers.
    pub copy_burst: u64,
    /// Number of peers of the own zone to which a change is announced at once.
    pub announce_in_zone: usize,
    /// Number of peers of other zones to which a change is announced at once; more if the own zone has too few.
    pub announce_in_other_zones: usize,
    /// Number of daemons in each zone that read from the platform.
    pub readers: usize,
    /// Time for which the platform may hold a watch request open.
    pub watch_timeout: Duration,
    /// Timeout of any other call to the platform; also the time after `watch_timeout` within which a watch request must
    /// be answered.
    pub platform_timeout: Duration,
    /// Upper bound of a platform reader's backoff.
    pub platform_backoff: Duration,
    /// Time without a confirmation by the platform, direct or through peers, after which each daemon reads from the
    /// platform itself.
    pub platform_stale_after: Duration,
    /// Combined rate limit, in calls per second, of all daemons that read from the platform at their start or after
    /// `platform_stale_after`; applies to documents and to VMs separately.
    pub platform_rate: u32,
    /// Interval of the pause detector's ticks.
    pub pause_check_interval: Duration,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_check_interval: Duration::from_millis(100),
            contact_ttl: Duration::from_millis(250),
            on_demand_probes: 10,
            probe_timeout: Duration::from_millis(300),
            gossip: 6,
            exchange_interval: Duration::from_secs(2),
            retry_interval: Duration::from_millis(250),
            link_timeout: Duration::from_secs(3),
            link_idle: Duration::from_secs(60),
            links: 16,
            inbound_links: 48,
            copy_rate: 6_000,
            copy_rate_busy: 2_000,
            copy_burst: 256_000,
            announce_in_zone: 2,
            announce_in_other_zones: 2,
            readers: 3,
            watch_timeout: Duration::from_secs(20),
            platform_timeout: Duration::from_secs(3),
            platform_backoff: Duration::from_secs(5),
            platform_stale_after: Duration::from_secs(60),
            platform_rate: 100,
            pause_check_interval: Duration::from_millis(100),
        }
    }
}

/// Settings of the control plane.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Id of this daemon's VM.
    pub vm: Rc<str>,
    /// Availability zone of the VM.
    pub zone: Rc<str>,
    /// UDP address of the relay.
    pub relay: SocketAddr,
    /// TCP address of the control links.
    pub control: SocketAddr,
    /// Address of the platform's configuration service, if there is one.
    pub platform: Option<SocketAddr>,
    /// Peers that are known at the start.
    pub peers: Vec<ListedVm>,
    /// Keys that authenticate messages between daemons.
    pub keys: PeerKeys,
    /// Random number that identifies this run of the process.
    pub incarnation: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// Settings of the membership.
    pub members: MembersSpec,
    /// Settings of the pause detector.
    pub pause: PauseSpec,
    /// Intervals, timeouts and sizes.
    pub limits: ControlLimits,
}

impl ControlSettings {
    /// Derives the settings from the daemon's; `incarnation` and `seed` are drawn at its start.
    pub fn new(settings: &Settings, incarnation: u32, seed: u64) -> Self {
        let peers = settings.peers.iter().map(|peer| ListedVm {
            vm: peer.vm.as_ref().into(),
            zone: peer.zone.as_ref().into(),
            relay: peer.relay,
            control: peer.control,
            leaving: false,
        });
        let keys = settings.keys.iter();
        let keys = keys.map(|key| (key.slot, *key.secret.expose())).collect();
        Self {
            vm: settings.vm.as_ref().into(),
            zone: settings.zone.as_ref().into(),
            relay: settings.relay,
            control: settings.control,
            platform: settings.platform,
            peers: peers.collect(),
            keys: PeerKeys::new(&settings.fleet, keys),
            incarnation,
            seed,
            members: MembersSpec {
                name_hash,
                ..MembersSpec::default()
            },
            pause: PauseSpec {
                pause: settings.limits.pause,
                ..PauseSpec::default()
            },
            limits: ControlLimits::default(),
        }
    }
}
