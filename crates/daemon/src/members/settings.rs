//! Settings and limits of the control part.

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

/// Times and sizes of the control part.
#[derive(Clone, Copy, Debug)]
pub struct ControlLimits {
    /// Time between two rounds of probes.
    pub probe_interval: Duration,
    /// Time between two looks at probes that are not answered.
    pub probe_tick: Duration,
    /// Time for which a daemon that was heard of needs no probe before a packet goes to it.
    pub contact_ttl: Duration,
    /// Probes in one interval of daemons that packets go to.
    pub on_demand_probes: u32,
    /// Time that an answer to a probe may take.
    pub probe_timeout: Duration,
    /// Gossiped records in one probe.
    pub gossip: usize,
    /// Time between two exchanges with a random peer.
    pub exchange_interval: Duration,
    /// Time that an exchange waits for before it is tried again while this daemon is not synced.
    pub retry_interval: Duration,
    /// Time that one request on a link may take.
    pub link_timeout: Duration,
    /// Time after which an idle link is closed.
    pub link_idle: Duration,
    /// Links that this daemon holds open to others.
    pub links: usize,
    /// Links that others may hold open to this daemon.
    pub inbound_links: usize,
    /// Bytes a second for copies of documents and members, given and, once in service, taken.
    pub copy_rate: u64,
    /// As `copy_rate`, while all room for gossip is taken, as after the loss of a rack.
    pub copy_rate_busy: u64,
    /// Bytes that may be copied at once after a quiet time; a joining daemon takes as many from
    /// each of its peers.
    pub copy_burst: u64,
    /// Peers of the own zone that hear of a change at once.
    pub push_near: usize,
    /// Peers of other zones that hear of a change at once; more if the own zone has too few.
    pub push_far: usize,
    /// Readers of the platform in each zone.
    pub readers: usize,
    /// Time that a waiting watch of the platform may wait.
    pub watch: Duration,
    /// Time that any other platform call, or the answer after a wait, may take.
    pub platform_timeout: Duration,
    /// Longest back-off of a platform reader.
    pub platform_backoff: Duration,
    /// Time without news of the platform after which any daemon reads for itself.
    pub platform_stale_after: Duration,
    /// Calls a second, of documents and again of VMs, of all daemons together that read for themselves.
    pub platform_rate: u32,
    /// Time between two ticks of the pause detector.
    pub tick: Duration,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_tick: Duration::from_millis(100),
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
            push_near: 2,
            push_far: 2,
            readers: 3,
            watch: Duration::from_secs(20),
            platform_timeout: Duration::from_secs(3),
            platform_backoff: Duration::from_secs(5),
            platform_stale_after: Duration::from_secs(60),
            platform_rate: 100,
            tick: Duration::from_millis(100),
        }
    }
}

/// Settings of the control part.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// VM id.
    pub vm: Rc<str>,
    /// Availability zone.
    pub zone: Rc<str>,
    /// UDP address of the relay.
    pub relay: SocketAddr,
    /// TCP address of the control links.
    pub control: SocketAddr,
    /// Address of the platform, if there is one.
    pub platform: Option<SocketAddr>,
    /// Peers to begin with.
    pub peers: Vec<ListedVm>,
    /// Keys that seal messages between daemons.
    pub keys: PeerKeys,
    /// Random number of this process life.
    pub incarnation: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// Limits of the membership.
    pub members: MembersSpec,
    /// Limits of the pause detector.
    pub pause: PauseSpec,
    /// Times and sizes.
    pub limits: ControlLimits,
}

impl ControlSettings {
    /// Takes the daemon's settings; `incarnation` and `seed` are drawn at its start.
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
