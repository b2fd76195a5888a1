//! The commands of a script.

use crate::fleet::{
    Deployment,
    KeyName, //
};
use goldenscript::Command;

/// A command of a script.
#[derive(Command)]
pub enum ScriptCommand {
    /// Starts the fleet: `fleet deployment=kalahari daemons=8`.
    Fleet {
        /// Deployment, Kalahari unless given.
        #[arg(key)]
        deployment: Option<Deployment>,
        /// Number of daemons, 8 unless given.
        #[arg(key)]
        daemons: Option<usize>,
        /// Number of availability zones, all of the deployment unless given.
        #[arg(key)]
        zones: Option<usize>,
        /// Upstreams of the first service, 14 unless given.
        #[arg(key)]
        first: Option<usize>,
        /// Upstreams of the second service, 4 unless given.
        #[arg(key)]
        second: Option<usize>,
        /// Seed of all that is drawn at random.
        #[arg(key)]
        seed: Option<u64>,
    },
    /// Opens feeds of the first service: `feed 4`.
    Feed {
        /// How many.
        count: usize,
    },
    /// Sends GET requests: `get 100 certificates`.
    Get {
        /// How many.
        count: usize,
        /// Their path, without its first slash.
        path: String,
    },
    /// Sends PUT requests.
    Put {
        /// How many.
        count: usize,
        /// Their path, without its first slash.
        path: String,
    },
    /// Sends DELETE requests.
    Delete {
        /// How many.
        count: usize,
        /// Their path, without its first slash.
        path: String,
    },
    /// Sends POST requests, each with an id of its own: `post 50 clearances`.
    Post {
        /// How many.
        count: usize,
        /// Their path, without its first slash.
        path: String,
    },
    /// Starts or stops a steady load on the first service: `load start`, `load stop`.
    Load {
        /// `start` or `stop`.
        change: String,
        /// Callers, 24 unless given.
        #[arg(key)]
        callers: Option<usize>,
        /// Share of POSTs, 0.3 unless given.
        #[arg(key)]
        posts: Option<f64>,
        /// Mean milliseconds between an answer and the next request, 20 unless given.
        #[arg(key)]
        think_ms: Option<u64>,
        /// Mean number of requests of a flow, 50 unless given.
        #[arg(key)]
        per_flow: Option<f64>,
    },
    /// Kills daemons: `kill vm-2`.
    Kill(Vec<String>),
    /// Asks daemons to stop.
    Stop(Vec<String>),
    /// Starts daemons that were killed or stopped.
    Start(Vec<String>),
    /// Gives a daemon the keys of its next start, the one that signs first: `keys vm-2 new old`.
    Keys {
        /// The daemon.
        vm: String,
        /// `old` and `new`.
        keys: Vec<KeyName>,
    },
    /// Pauses daemons.
    Freeze(Vec<String>),
    /// Ends the pause of daemons.
    Wake(Vec<String>),
    /// Waits for a daemon to end and tells how it did: `ended vm-2`.
    Ended(String),
    /// Lets a daemon drop all traffic of peers: `deny vm-1 vm-2 platform`.
    Deny {
        /// The daemon.
        vm: String,
        /// The peers; none ends the cut.
        #[arg(optional)]
        peers: Vec<String>,
    },
    /// Cuts an availability zone off from the others and from the platform: `cut windhoek-1`.
    Cut(String),
    /// Ends all cuts.
    Heal,
    /// Takes an availability zone out or in: `zone out windhoek-1 service=certvault`.
    Zone {
        /// `out` or `in`.
        change: String,
        /// The zone.
        zone: String,
        /// The only service, both unless given.
        #[arg(key)]
        service: Option<String>,
    },
    /// Lets upstreams drain: `drain syncdesk-1`.
    Drain(Vec<String>),
    /// Lets draining upstreams serve again.
    Undrain(Vec<String>),
    /// Does something to upstreams: `upstream restart syncdesk-1`.
    Upstream {
        /// `restart`, `cool`, `kill`, `revive`, `freeze`, `wake`, `shed` or `unshed`.
        change: String,
        /// The upstreams.
        names: Vec<String>,
    },
    /// Does something to the platform: `platform down`.
    Platform {
        /// `down`, `up`, `stale`, `fresh` or `rewound` by the last two changes.
        change: String,
    },
    /// Publishes any text as a service's document: `publish certvault "{"`.
    Publish {
        /// The service.
        service: String,
        /// The text.
        text: String,
    },
    /// Sets what the fabric does to packets, and ends what it did: `fabric copies=3 loss=0.1`.
    Fabric {
        /// Copies of each packet to daemons, 1 unless given.
        #[arg(key)]
        copies: Option<u32>,
        /// Share of packets that is lost, none unless given.
        #[arg(key)]
        loss: Option<f64>,
        /// Milliseconds of extra delay at most, none unless given.
        #[arg(key)]
        jitter_ms: Option<u64>,
        /// The only daemon that gets packets.
        #[arg(key)]
        only: Option<String>,
    },
    /// Waits: `wait applied`, `wait synced`, `wait feeds`, `wait quiet`, `wait warm`,
    /// `wait drained`.
    Wait(String),
    /// Sleeps for milliseconds.
    Sleep(u64),
    /// Reports what came of the script: `report broken`.
    Report {
        /// `broken`, `runs`, `lost`, `silent`, `wrong`, `zone-packets`, `cold`, `shed`, `refused`, `feeds`,
        /// `drained` or `held`.
        what: String,
        /// The zone, service or upstream that is meant.
        subject: Option<String>,
    },
}
