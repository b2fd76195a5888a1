//! Commands of scripts.

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
        /// Deployment; default Kalahari.
        #[arg(key)]
        deployment: Option<Deployment>,
        /// Number of daemons; default 8.
        #[arg(key)]
        daemons: Option<usize>,
        /// Number of availability zones; default all of the deployment.
        #[arg(key)]
        zones: Option<usize>,
        /// Upstreams of the first service; default 14.
        #[arg(key)]
        first: Option<usize>,
        /// Upstreams of the second service; default 4.
        #[arg(key)]
        second: Option<usize>,
        /// Seed of all random draws; default 1.
        #[arg(key)]
        seed: Option<u64>,
    },
    /// Opens feeds of the first service: `feed 4`.
    Feed {
        /// Number of feeds or requests.
        count: usize,
    },
    /// Sends GET requests: `get 100 certificates`.
    Get {
        /// Number of feeds or requests.
        count: usize,
        /// Path of the requests, without the leading slash.
        path: String,
    },
    /// Sends PUT requests.
    Put {
        /// Number of feeds or requests.
        count: usize,
        /// Path of the requests, without the leading slash.
        path: String,
    },
    /// Sends DELETE requests.
    Delete {
        /// Number of feeds or requests.
        count: usize,
        /// Path of the requests, without the leading slash.
        path: String,
    },
    /// Sends POST requests, each with an id of its own: `post 50 clearances`.
    Post {
        /// Number of feeds or requests.
        count: usize,
        /// Path of the requests, without the leading slash.
        path: String,
    },
    /// Starts or stops a steady load on the first service: `load start`, `load stop`.
    Load {
        /// `start` or `stop`.
        change: String,
        /// Number of callers; default 24.
        #[arg(key)]
        callers: Option<usize>,
        /// Share of POSTs; default 0.3.
        #[arg(key)]
        posts: Option<f64>,
        /// Mean milliseconds between an answer and the next request; default 20.
        #[arg(key)]
        think_ms: Option<u64>,
        /// Mean number of requests of a flow; default 50.
        #[arg(key)]
        per_flow: Option<f64>,
    },
    /// Kills daemons: `kill vm-2`.
    Kill(Vec<String>),
    /// Stops daemons gracefully.
    Stop(Vec<String>),
    /// Starts daemons that were killed or stopped.
    Start(Vec<String>),
    /// Sets a daemon's keys from its next start on, the signing key first: `keys vm-2 new old`.
    Keys {
        /// Name of the daemon's VM.
        vm: String,
        /// Any of `old` and `new`.
        keys: Vec<KeyName>,
    },
    /// Pauses daemons.
    Freeze(Vec<String>),
    /// Ends the pause of daemons.
    Wake(Vec<String>),
    /// Waits for a daemon to end and prints its exit status: `ended vm-2`.
    Ended(String),
    /// Makes a daemon drop all traffic of peers: `deny vm-1 vm-2 platform`.
    Deny {
        /// Name of the daemon's VM.
        vm: String,
        /// The peers to deny; an empty list ends the denial.
        #[arg(optional)]
        peers: Vec<String>,
    },
    /// Isolates an availability zone from the others and from the platform: `cut windhoek-1`.
    Cut(String),
    /// Reconnects all isolated availability zones.
    Heal,
    /// Takes an availability zone out of service or in again: `zone out windhoek-1 service=certvault`.
    Zone {
        /// `out` or `in`.
        change: String,
        /// Name of the availability zone.
        zone: String,
        /// The only service to change; default both.
        #[arg(key)]
        service: Option<String>,
    },
    /// Starts draining upstreams: `drain syncdesk-1`.
    Drain(Vec<String>),
    /// Ends the draining of upstreams.
    Undrain(Vec<String>),
    /// Changes the state of upstreams: `upstream restart syncdesk-1`.
    Upstream {
        /// `restart`, `cool`, `kill`, `revive`, `freeze`, `wake`, `shed` or `unshed`.
        change: String,
        /// Names of the upstreams.
        names: Vec<String>,
    },
    /// Changes the state of the platform: `platform down`.
    Platform {
        /// `down`, `up`, `stale`, `fresh`, `rewound` (by the last two changes) or `restored` (from a copy from before
        /// them).
        change: String,
    },
    /// Publishes a service's document, which may be invalid: `publish certvault "{"`.
    Publish {
        /// Name of the service.
        service: String,
        /// Text of the document.
        text: String,
    },
    /// Replaces the behaviour of the fabric; unnamed parameters return to their defaults: `fabric copies=3 loss=0.1`.
    Fabric {
        /// Copies of each packet to daemons; default 1.
        #[arg(key)]
        copies: Option<u32>,
        /// Share of lost packets; default 0.
        #[arg(key)]
        loss: Option<f64>,
        /// Upper bound of the random delay in milliseconds; default 0.
        #[arg(key)]
        jitter_ms: Option<u64>,
        /// The only daemon that receives packets; default all.
        #[arg(key)]
        only: Option<String>,
    },
    /// Waits for a condition: `wait applied`, `wait synced`, `wait feeds`, `wait quiet`, `wait warm`,
    /// `wait drained`.
    Wait(String),
    /// Sleeps for a number of milliseconds.
    Sleep(u64),
    /// Reports results of the script: `report broken`.
    Report {
        /// `broken`, `runs`, `lost`, `silent`, `wrong`, `zone-packets`, `cold`, `shed`, `refused`, `feeds`,
        /// `drained` or `held`.
        what: String,
        /// Zone, service or upstream, for reports that need one.
        subject: Option<String>,
    },
}
