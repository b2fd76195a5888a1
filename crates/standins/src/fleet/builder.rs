//! Fluent description of a fleet.

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

/// Change that a test makes to each upstream before it starts.
type UpstreamEdit = Box<dyn Fn(&mut Spec)>;
/// Change that a test makes to each document before it is published.
type Edit = Box<dyn Fn(&mut ServiceDocument)>;

/// Describes a fleet, then starts it.
pub struct Builder {
    pub(crate) deployment: Deployment,
    pub(crate) daemons: usize,
    pub(crate) zones: usize,
    pub(crate) upstreams: [usize; 2],
    pub(crate) seed: u64,
    pub(crate) program: Program,
    pub(crate) customize_upstream: UpstreamEdit,
    pub(crate) edit: Edit,
    pub(crate) listed: bool,
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
            listed: true,
        }
    }

    /// Sets the deployment, Kalahari unless set.
    pub fn deployment(mut self, deployment: Deployment) -> Self {
        self.deployment = deployment;
        self
    }

    /// Sets the number of daemons, 8 unless set.
    pub fn daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// Uses only the first zones of the deployment.
    pub fn zones(mut self, zones: usize) -> Self {
        self.zones = zones;
        self
    }

    /// Sets the numbers of upstreams of the two services, 14 and 4 unless set.
    pub fn upstreams(mut self, first: usize, second: usize) -> Self {
        self.upstreams = [first, second];
        self
    }

    /// Sets the seed of all that is drawn at random.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the daemons' executable file.
    pub fn binary(mut self, path: impl Into<PathBuf>) -> Self {
        self.program.path = path.into();
        self
    }

    /// Sets arguments that come before the daemons' own.
    pub fn args(mut self, args: &[&str]) -> Self {
        self.program.args = args.iter().map(|&arg| arg.to_owned()).collect();
        self
    }

    /// Changes each upstream before it starts.
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
