//! Runs a fleet under load on this machine, takes a zone out and in, stops one daemon and kills another.

mod packets;
mod promises;
mod run;
mod table;
mod without;

use crate::without::Without;
use bpaf::Bpaf;
use foxtailhinge_standins::fleet::Deployment;
use std::{
    process::ExitCode,
    str::FromStr, //
};

/// First argument that makes this program run as a daemon.
const DAEMON: &str = "daemon";
/// Shortest run in which packets into the zone can be counted later than five seconds after it is taken out.
const MIN_SECONDS: u64 = 16;

/// Interface that the daemons serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interface {
    /// Requests and responses in CoAP.
    Exchange,
    /// Packets of flows whose endpoints repeat a flow label.
    Packets,
}

impl FromStr for Interface {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "exchange" => Ok(Self::Exchange),
            "packets" => Ok(Self::Packets),
            _ => Err(format!("write exchange or packets, not {name}")),
        }
    }
}

/// Run a whole fleet on this machine and count broken promises.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Length of the run in seconds, at least 16; a run in packet mode takes longer if its events leave a phase no second
    #[bpaf(fallback(20), guard(|seconds| *seconds >= MIN_SECONDS, "must be at least 16"))]
    seconds: u64,
    /// Seed of all random draws
    #[bpaf(fallback(1))]
    seed: u64,
    /// Deployment: kalahari or southern-cross
    #[bpaf(argument("NAME"), fallback(Deployment::Kalahari))]
    deployment: Deployment,
    /// Interface that the fleet serves: exchange or packets
    #[bpaf(argument("NAME"), fallback(Interface::Exchange))]
    interface: Interface,
    /// Daemons in packet mode, 2 to 48; from 4 in a zone on, two of them read the store for the others
    #[bpaf(argument("NUMBER"), fallback(8), guard(|daemons| (2..=48).contains(daemons), "must be 2 to 48"))]
    daemons: usize,
    /// Mechanism to switch off by the documents: ramp, retries or queue
    #[bpaf(argument("NAME"), optional)]
    without: Option<Without>,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == DAEMON) {
        return foxtailhinge::command::run(args.into_iter().skip(1));
    }
    let options = options().run();
    let ended = match options.interface {
        Interface::Exchange => run::run(&options).map(|record| table::print(&record)),
        Interface::Packets => packets::run(&options),
    };
    match ended {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}
