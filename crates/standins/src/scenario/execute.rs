//! Execution of script commands.

use crate::{
    caller::Caller,
    fleet::{
        Deployment,
        Fleet, //
    },
    load::{
        Load,
        Plan, //
    },
    scenario::{
        batch::{
            summary,
            RequestBatch, //
        },
        command::ScriptCommand,
        Scenario, //
    },
    upstream::Upstream, //
};
use anyhow::{
    bail,
    Context, //
};
use coap_lite::RequestType;
use std::{
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Number of callers that send a script's requests to one service.
const CALLERS: usize = 8;
/// Time limit of a wait in a script.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of document changes that a rewound platform reverts.
const REWOUND_CHANGES: usize = 2;
/// Interval at which a wait checks its condition.
const TICK: Duration = Duration::from_millis(20);
/// Time after which a zone that was taken out must receive no more packets.
pub(super) const ZONE_QUIET_AFTER: Duration = Duration::from_secs(5);
/// Time over which packets into such a zone are counted.
const ZONE_OBSERVATION: Duration = Duration::from_secs(2);
/// Time after which a draining upstream must receive no more requests.
pub(super) const DRAINED_AFTER: Duration = Duration::from_secs(5);
/// Time over which requests to such an upstream are counted.
const DRAINED_OBSERVATION: Duration = Duration::from_secs(2);

impl Scenario {
    /// Runs one command and returns its output.
    pub(super) fn execute(&mut self, command: &ScriptCommand) -> anyhow::Result<String> {
        match command {
            ScriptCommand::Fleet { .. } => self.start_fleet(command),
            ScriptCommand::Feed { count } => self.open_feeds(*count),
            ScriptCommand::Get { count, path } => self.send(RequestType::Get, *count, path),
            ScriptCommand::Put { count, path } => self.send(RequestType::Put, *count, path),
            ScriptCommand::Delete { count, path } => self.send(RequestType::Delete, *count, path),
            ScriptCommand::Post { count, path } => self.send(RequestType::Post, *count, path),
            ScriptCommand::Load { .. } => self.change_load(command),
            ScriptCommand::Kill(vms) => self.each_vm(vms, |fleet, vm| fleet.kill(vm)),
            ScriptCommand::Stop(vms) => self.each_vm(vms, |fleet, vm| fleet.stop(vm)),
            ScriptCommand::Start(vms) => self.start_daemons(vms),
            ScriptCommand::Keys { vm, keys } => without_output(self.fleet()?.set_keys(vm, keys)),
            ScriptCommand::Freeze(vms) => self.each_vm(vms, |fleet, vm| fleet.freeze(vm)),
            ScriptCommand::Wake(vms) => self.each_vm(vms, |fleet, vm| fleet.wake(vm)),
            ScriptCommand::Ended(vm) => self.await_end(vm),
            ScriptCommand::Deny { vm, peers } => self.deny(vm, peers),
            ScriptCommand::Cut(zone) => without_output(self.fleet()?.isolate_zone(zone)),
            ScriptCommand::Heal => without_output(self.fleet()?.reconnect_zones()),
            ScriptCommand::Zone {
                change,
                zone,
                service,
            } => self.change_zone(change, zone, service.as_deref()),
            ScriptCommand::Drain(names) => self.drain(names, true),
            ScriptCommand::Undrain(names) => self.drain(names, false),
            ScriptCommand::Upstream { change, names } => self.change_upstreams(change, names),
            ScriptCommand::Platform { change } => self.change_platform(change),
            ScriptCommand::Publish { service, text } => {
                self.fleet()?.platform().publish(service, text);
                no_output()
            }
            ScriptCommand::Fabric { .. } => self.change_fabric(command),
            ScriptCommand::Wait(what) => self.wait(what),
            ScriptCommand::Sleep(ms) => {
                thread::sleep(Duration::from_millis(*ms));
                no_output()
            }
            ScriptCommand::Report { what, subject } => self.report(what, subject.as_deref()),
        }
    }

    fn start_fleet(&mut self, command: &ScriptCommand) -> anyhow::Result<String> {
        let ScriptCommand::Fleet {
            deployment,
            daemons,
            zones,
            first,
            second,
            seed,
        } = command
        else {
            bail!("the command is not `fleet`");
        };
        let fleet = Fleet::builder()
            .deployment(deployment.unwrap_or(Deployment::Kalahari))
            .daemons(daemons.unwrap_or(8))
            .zones(zones.unwrap_or(usize::MAX))
            .upstreams(first.unwrap_or(14), second.unwrap_or(4))
            .seed(seed.unwrap_or(1))
            .binary(&self.binary)
            .start()?;
        self.fleet = Some(fleet);
        no_output()
    }

    fn open_feeds(&mut self, count: usize) -> anyhow::Result<String> {
        let fleet = self.fleet()?;
        let deployment = fleet.deployment();
        let callers = callers(fleet, deployment.services()[0], count)?;
        let first = self.feeds.len();
        for caller in callers {
            let feed = caller.feed(deployment.feed_path());
            self.feeds.push((caller, feed));
        }
        let opened = self.feeds[first..].iter();
        let opened = opened
            .filter(|(_, feed)| feed.wait(1, WAIT_TIMEOUT))
            .count();
        Ok(format!("open {opened}"))
    }

    fn send(&mut self, method: RequestType, count: usize, path: &str) -> anyhow::Result<String> {
        let batch = RequestBatch {
            method,
            path: format!("/{path}"),
            count,
        };
        let service = self.service_of(&batch.path)?;
        let callers = self.callers_of(service)?;
        let samples = batch.run(&callers);
        let text = summary(&samples, count);
        self.tally.samples.extend(samples);
        Ok(text)
    }

    /// Returns the service that a path belongs to.
    fn service_of(&mut self, path: &str) -> anyhow::Result<&'static str> {
        let deployment = self.fleet()?.deployment();
        let [first, second] = deployment.services();
        let reads = path.starts_with(deployment.read_path());
        Ok(if reads { second } else { first })
    }

    fn callers_of(&mut self, service: &str) -> anyhow::Result<Vec<Arc<Caller>>> {
        if !self.callers.contains_key(service) {
            let opened = callers(self.fleet()?, service, CALLERS)?;
            let opened = opened.into_iter().map(Arc::new).collect();
            self.callers.insert(service.to_owned(), opened);
        }
        Ok(self.callers[service].clone())
    }

    fn change_load(&mut self, command: &ScriptCommand) -> anyhow::Result<String> {
        let ScriptCommand::Load {
            change,
            callers: count,
            posts,
            think_ms,
            per_flow,
        } = command
        else {
            bail!("the command is not `load`");
        };
        if change == "stop" {
            let load = self.load.take().context("no load is running")?;
            self.tally.add_results(load.stop());
            return no_output();
        }
        let fleet = self.fleet()?;
        let deployment = fleet.deployment();
        let plan = Plan {
            get: deployment.feed_path().into(),
            post: deployment.post_path().into(),
            post_share: posts.unwrap_or(0.3),
            think_time: Duration::from_millis(think_ms.unwrap_or(20)),
            requests_per_flow: per_flow.unwrap_or(50.0),
            seed: 1,
        };
        let callers = callers(fleet, deployment.services()[0], count.unwrap_or(24))?;
        self.load = Some(Load::start(callers, &plan));
        no_output()
    }

    fn each_vm(
        &mut self,
        vms: &[String],
        change: impl Fn(&mut Fleet, &str),
    ) -> anyhow::Result<String> {
        let fleet = self.fleet()?;
        vms.iter().for_each(|vm| change(fleet, vm));
        no_output()
    }

    fn start_daemons(&mut self, vms: &[String]) -> anyhow::Result<String> {
        for vm in vms {
            self.fleet()?.start(vm)?;
        }
        no_output()
    }

    fn await_end(&mut self, vm: &str) -> anyhow::Result<String> {
        Ok(match self.fleet()?.await_end(vm, WAIT_TIMEOUT) {
            Some(status) => format!("{vm} ended: {status}"),
            None => format!("{vm} runs on"),
        })
    }

    fn deny(&mut self, vm: &str, peers: &[String]) -> anyhow::Result<String> {
        let peers: Vec<&str> = peers.iter().map(String::as_str).collect();
        without_output(self.fleet()?.deny(vm, &peers))
    }

    fn change_zone(
        &mut self,
        change: &str,
        zone: &str,
        only: Option<&str>,
    ) -> anyhow::Result<String> {
        let services = self.fleet()?.deployment().services();
        for service in services {
            if only.is_some_and(|only| only != service) {
                continue;
            }
            match change {
                "out" => {
                    self.tally.zone_out(service, zone);
                    self.fleet()?.zone_out(service, zone);
                }
                "in" => {
                    self.fleet()?.zone_in(service, zone);
                    self.tally.zone_in(service, zone);
                }
                _ => bail!("unknown change of a zone, want `out` or `in`: {change}"),
            }
        }
        no_output()
    }

    fn drain(&mut self, names: &[String], draining: bool) -> anyhow::Result<String> {
        for name in names {
            let fleet = self.fleet()?;
            let found = fleet.upstream(name).context("unknown upstream")?;
            found.drain(draining);
            let service = found.service();
            fleet.edit(&service, |document| document.set_draining(name, draining));
            match draining {
                true => self.tally.record_departure(name),
                false => self.tally.record_return(name),
            }
        }
        no_output()
    }

    fn change_upstreams(&mut self, change: &str, names: &[String]) -> anyhow::Result<String> {
        for name in names {
            let fleet = self.fleet()?;
            let upstream = fleet.upstream(name).context("unknown upstream")?;
            change_upstream(upstream, change)?;
            match change {
                "kill" | "freeze" | "shed" => self.tally.record_departure(name),
                "revive" | "wake" | "unshed" => self.tally.record_return(name),
                _ => {}
            }
        }
        no_output()
    }

    fn change_platform(&mut self, change: &str) -> anyhow::Result<String> {
        let platform = self.fleet()?.platform();
        match change {
            "down" => platform.stop(),
            "up" => platform.resume(),
            "stale" => platform.stale(true),
            "rewound" => platform.rewind(REWOUND_CHANGES),
            "restored" => platform.restore(REWOUND_CHANGES),
            "fresh" => platform.stale(false),
            _ => bail!("unknown state of the platform: {change}"),
        }
        no_output()
    }

    fn change_fabric(&mut self, command: &ScriptCommand) -> anyhow::Result<String> {
        let ScriptCommand::Fabric {
            copies,
            loss,
            jitter_ms,
            only,
        } = command
        else {
            bail!("the command is not `fabric`");
        };
        let fleet = self.fleet()?;
        let only = only.as_ref().map(|vm| vec![fleet.ip_of(vm)]);
        for service in fleet.deployment().services() {
            fleet.fabric(service).set(|behaviour| {
                behaviour.only.clone_from(&only);
                behaviour.copies = copies.unwrap_or(1);
                behaviour.loss = loss.unwrap_or(0.0);
                behaviour.jitter = Duration::from_millis(jitter_ms.unwrap_or(0));
            });
        }
        no_output()
    }

    fn wait(&mut self, what: &str) -> anyhow::Result<String> {
        match what {
            "applied" => without_output(self.fleet()?.wait_applied(WAIT_TIMEOUT)),
            "synced" => without_output(self.fleet()?.wait_synced(WAIT_TIMEOUT)),
            "feeds" => self.wait_feeds(),
            "quiet" => self.wait_quiet(),
            "warm" => self.wait_warm(),
            "drained" => self.wait_drained(),
            _ => bail!("unknown condition to wait for: {what}"),
        }
    }

    /// Waits until each feed has received three more notifications.
    fn wait_feeds(&self) -> anyhow::Result<String> {
        let before = self
            .feeds
            .iter()
            .map(|(_, feed)| feed.stats().notifications);
        let before: Vec<u64> = before.collect();
        let notified = |((_, feed), before): &(&(Caller, _), u64)| -> bool {
            let feed: &crate::feed::Feed = feed;
            feed.wait(before + 3, WAIT_TIMEOUT)
        };
        let notified = self.feeds.iter().zip(before).filter(notified).count();
        Ok(format!("fed {notified}"))
    }

    /// Sleeps until `ZONE_QUIET_AFTER` and `ZONE_OBSERVATION` have passed since the latest ongoing zone outage
    /// began.
    fn wait_quiet(&self) -> anyhow::Result<String> {
        let open = self.tally.outages.iter().filter(|one| one.ended.is_none());
        let last = open.map(|one| one.began).max().context("no zone is out")?;
        let end = last + ZONE_QUIET_AFTER + ZONE_OBSERVATION;
        thread::sleep(end.saturating_duration_since(Instant::now()));
        no_output()
    }

    /// Sleeps until `DRAINED_AFTER` and `DRAINED_OBSERVATION` have passed since the latest ongoing drain of an
    /// upstream began.
    fn wait_drained(&self) -> anyhow::Result<String> {
        let open = self.tally.departures.iter();
        let open = open.filter(|one| one.ended.is_none());
        let last = open.map(|one| one.began).max();
        let last = last.context("no upstream is draining")?;
        let end = last + DRAINED_AFTER + DRAINED_OBSERVATION;
        thread::sleep(end.saturating_duration_since(Instant::now()));
        no_output()
    }

    /// Waits until the cold starts of all upstreams are over.
    fn wait_warm(&mut self) -> anyhow::Result<String> {
        let upstreams = self.fleet()?.upstreams();
        let end = Instant::now() + WAIT_TIMEOUT;
        while upstreams.iter().any(Upstream::is_cold) {
            anyhow::ensure!(
                Instant::now() < end,
                "an upstream is still in its cold start after {WAIT_TIMEOUT:?}"
            );
            thread::sleep(TICK);
        }
        no_output()
    }
}

/// Opens callers spread over the availability zones.
fn callers(fleet: &mut Fleet, service: &str, count: usize) -> anyhow::Result<Vec<Caller>> {
    let zones = fleet.zones().len();
    (0..count)
        .map(|index| fleet.caller_in(service, index % zones))
        .collect()
}

fn change_upstream(upstream: &Upstream, change: &str) -> anyhow::Result<()> {
    match change {
        "restart" => upstream.restart(),
        "cool" => upstream.enter_cold_start(),
        "kill" => upstream.kill(),
        "revive" => upstream.revive(),
        "freeze" => upstream.freeze(),
        "wake" => upstream.wake(),
        "shed" => upstream.shed(true),
        "unshed" => upstream.shed(false),
        _ => bail!("unknown change of an upstream: {change}"),
    }
    Ok(())
}

fn no_output() -> anyhow::Result<String> {
    Ok(String::new())
}

fn without_output(result: anyhow::Result<()>) -> anyhow::Result<String> {
    result.map(|()| String::new())
}
