//! Builder of fleets.

use crate::{
    fleet::{
        daemon::Program,
        document::ServiceDocument,
        Deployment,
        Fleet, //
    },
    upstream::Spec, //
};
use std::path::PathBuf;

/// Changes the description of an upstream before it starts.
type UpstreamEdit = Box<dyn Fn(&mut Spec)>;
/// Changes a document before it is published.
type DocumentEdit = Box<dyn Fn(&mut ServiceDocument)>;

/// Describes a fleet, then starts it.
pub struct Builder {
    pub(crate) deployment: Deployment,
    pub(crate) daemons: usize,
    pub(crate) zones: usize,
    pub(crate) upstreams: [usize; 2],
    pub(crate) seed: u64,
    pub(crate) program: Program,
    pub(crate) customize_upstream: UpstreamEdit,
    pub(crate) edit: DocumentEdit,
    pub(crate) publishes_vms: bool,
}

impl Builder {
    pub(crate) fn new() -> Self {
        Builder {
            deployment: Deployment::Kalahari,
            daemons: 8,
            zones: usize::MAX,
            upstreams: [14, 4],
            seed: 1,
            program: Program {
                path: PathBuf::from("foxtailhinge"),
                args: Vec::new(),
            },
            customize_upstream: Box::new(|_| {}),
            edit: Box::new(|_| {}),
            publishes_vms: true,
        }
    }

    /// Sets the deployment; the default is Kalahari.
    pub fn deployment(mut self, deployment: Deployment) -> Self {
        self.deployment = deployment;
        self
    }

    /// Sets the number of daemons; the default is 8.
    pub fn daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// Uses only the first zones of the deployment.
    pub fn zones(mut self, zones: usize) -> Self {
        self.zones = zones;
        self
    }

    /// Sets the numbers of upstreams of the two services; the defaults are 14 and 4.
    pub fn upstreams(mut self, first: usize, second: usize) -> Self {
        self.upstreams = [first, second];
        self
    }

    /// Sets the seed of the random number generators.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the daemons' executable file.
    pub fn binary(mut self, path: impl Into<PathBuf>) -> Self {
        self.program.path = path.into();
        self
    }

    /// Sets the arguments that precede `--settings FILE`.
    pub fn args(mut self, args: &[&str]) -> Self {
        self.program.args = args.iter().map(|&arg| arg.to_owned()).collect();
        self
    }

    /// Changes the description of each upstream before it starts.
    pub fn customize_upstream(mut self, customize_upstream: impl Fn(&mut Spec) + 'static) -> Self {
        self.customize_upstream = Box::new(customize_upstream);
        self
    }

    /// Changes each document before it is published.
    pub fn edit(mut self, edit: impl Fn(&mut ServiceDocument) + 'static) -> Self {
        self.edit = Box::new(edit);
        self
    }

    /// Starts the fleet and waits until every daemon is in sync.
    pub fn start(self) -> anyhow::Result<Fleet> {
        Fleet::launch(self)
    }
}
