//! Exchange of load reports between the daemons of a zone.
//!
//! A follower reports to the daemon that it follows, and daemons that follow no other one exchange with each other. Only
//! daemons with a busy service send requests; all answer them.

use super::{
    load_record::{
        LoadRecord,
        ReporterRecord, //
    },
    message::{
        ZoneReply,
        ZoneRequest, //
    },
    Zone, ANSWER,
};
use crate::{
    activity::Activity,
    links::{
        transport,
        LinkError, //
    },
    logging::Event,
};
use bytes::Bytes;
use foxtailhinge_policy::{
    members::Member,
    packets::{
        load::WINDOW,
        readers,
        Reporter,
        ZoneLoad, //
    },
};
use futures::future::join_all;
use h2::client::SendRequest;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Interval of the exchange: of four reports that a daemon sends within their lifetime, three may be lost.
const PERIOD: Duration = Duration::from_millis(250);

/// Time for which a peer that did not answer is not asked. Two misses make a member suspect, so they must not follow each
/// other faster than those of a follower, whose requests wait for two seconds.
const PEER_PAUSE: Duration = Duration::from_secs(2);

/// Load reports of other daemons, and the links to the peers.
#[derive(Default)]
pub(super) struct LoadExchange {
    reports: RefCell<ZoneLoad>,
    /// Links to peers, which are open while the exchange lasts.
    links: RefCell<HashMap<SocketAddr, SendRequest<Bytes>>>,
    /// When peers last did not answer.
    missed: RefCell<HashMap<Rc<str>, Instant>>,
    /// When the sum of all other daemons was last applied.
    applied: Cell<Option<Instant>>,
}

/// Why an exchange of loads failed.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error(transparent)]
    Link(#[from] LinkError),
    #[error("The daemon does not exchange loads; its list of members differs.")]
    Declined,
    #[error("The daemon sent an unexpected answer; run the same version on both daemons.")]
    BadReply,
}

impl Zone {
    /// Exchanges loads with other daemons while a service is busy; never returns.
    pub async fn exchange_loads(self: Rc<Self>) {
        let mut ticks = self.parts.timer.subscribe(PERIOD);
        loop {
            ticks.tick().await;
            self.loads.reports.borrow_mut().evict(Instant::now());
            if self.parts.path.balancer().is_load_exchange_due() {
                self.exchange_loads_once().await;
            } else {
                self.loads.links.take();
            }
        }
    }

    async fn exchange_loads_once(&self) {
        let role = self.role();
        match role.sources() {
            [] => {
                let peers = self.peers_to_ask(Instant::now());
                join_all(peers.iter().map(|peer| self.exchange_load_with_peer(peer))).await;
            }
            sources => self.exchange_load_with_source(sources).await,
        }
        self.apply_loads(Instant::now());
    }

    /// Reports to the daemon to which the link for changes is open; without a link, nothing is sent.
    async fn exchange_load_with_source(&self, sources: &[Member]) {
        let link = self.link.borrow().clone();
        let Some((addr, tx)) = link else {
            return;
        };
        let Some(source) = sources.iter().find(|source| source.control == addr) else {
            return;
        };
        // A broken link is closed by the next request for changes, whose misses also count.
        let outcome = self.exchange_load(&source.vm, Reporter::Source, tx).await;
        log_failure(&source.vm, &outcome);
    }

    /// Peers, without those that did not answer recently.
    fn peers_to_ask(&self, now: Instant) -> Vec<Member> {
        let mut missed = self.loads.missed.borrow_mut();
        missed.retain(|_, at| now < *at + PEER_PAUSE);
        let mut peers = readers::peers(&self.members.borrow());
        let mut links = self.loads.links.borrow_mut();
        links.retain(|addr, _| peers.iter().any(|peer| peer.control == *addr));
        peers.retain(|peer| !missed.contains_key(&peer.vm));
        peers
    }

    async fn exchange_load_with_peer(&self, peer: &Member) {
        let asked = Instant::now();
        let exchange = async {
            let tx = self.peer_link(peer.control).await?;
            self.exchange_load(&peer.vm, Reporter::Peer, tx).await
        };
        let outcome = monoio::time::timeout(ANSWER, exchange).await;
        let outcome = outcome.unwrap_or(Err(LoadError::Link(LinkError::Timeout)));
        match &outcome {
            Err(LoadError::Link(_)) => {
                self.loads.links.borrow_mut().remove(&peer.control);
                let mut missed = self.loads.missed.borrow_mut();
                missed.insert(Rc::clone(&peer.vm), asked);
                let change = self.members.borrow_mut().on_missed(&peer.vm, asked);
                self.log_change(change.iter());
            }
            _ => self.members.borrow_mut().on_ack(&peer.vm),
        }
        log_failure(&peer.vm, &outcome);
    }

    /// The open link to a peer, or a new one.
    async fn peer_link(&self, addr: SocketAddr) -> Result<SendRequest<Bytes>, LinkError> {
        let kept = self.link.borrow().clone().filter(|(to, _)| *to == addr);
        if let Some((_, tx)) = kept {
            return Ok(tx);
        }
        let kept = self.loads.links.borrow().get(&addr).cloned();
        if let Some(tx) = kept {
            return Ok(tx);
        }
        let tx = transport::open(addr).await?;
        self.loads.links.borrow_mut().insert(addr, tx.clone());
        Ok(tx)
    }

    /// Sends the loads that are known here to a daemon, and records those in its answer.
    async fn exchange_load(
        &self,
        vm: &Rc<str>,
        relation: Reporter,
        tx: SendRequest<Bytes>,
    ) -> Result<(), LoadError> {
        let asked = Instant::now();
        let request = ZoneRequest::Load(self.load_record(vm, relation, asked));
        let activity = Activity::default();
        let reply = monoio::time::timeout(ANSWER, self.send(tx, &request, &activity)).await;
        match reply.map_err(|_| LinkError::Timeout)?? {
            ZoneReply::Load(record) if *record.vm == **vm && record.reporter == relation.into() => {
                // The observations are at least as old as the request when the answer is delayed.
                self.record_load(vm, relation, &record, asked);
                Ok(())
            }
            ZoneReply::Noted => Err(LoadError::Declined),
            ZoneReply::Load(_) | ZoneReply::Met(_) | ZoneReply::Changes(_) | ZoneReply::Busy(_) => {
                Err(LoadError::BadReply)
            }
        }
    }

    /// Loads for the daemon `vm`, which has this relation to this daemon.
    fn load_record(&self, vm: &str, relation: Reporter, now: Instant) -> LoadRecord {
        let own = self.parts.path.balancer().load_report(now);
        let reports = self.loads.reports.borrow();
        let report = reports.report_for(vm, relation, own, now);
        let members = self.members.borrow();
        LoadRecord::new(&members.me().vm, reverse(relation), &report)
    }

    /// Records the load that another daemon of the zone reports, and answers with that of the others.
    pub(super) fn answer_load(&self, record: &LoadRecord) -> ZoneReply {
        let now = Instant::now();
        let relation = match record.reporter {
            ReporterRecord::Follower => Reporter::Follower,
            // The daemon that this one follows exchanges with its peers for this one.
            ReporterRecord::Peer if self.role().sources().is_empty() => Reporter::Peer,
            ReporterRecord::Peer | ReporterRecord::Source => return ZoneReply::Noted,
        };
        let Some(vm) = self.neighbor(&record.vm) else {
            return ZoneReply::Noted;
        };
        self.record_load(&vm, relation, record, now);
        let applied = self.loads.applied.get();
        if applied.is_none_or(|at| now >= at + WINDOW) {
            self.apply_loads(now);
        }
        ZoneReply::Load(self.load_record(&vm, relation, now))
    }

    /// Name of another known daemon of this zone.
    fn neighbor(&self, vm: &str) -> Option<Rc<str>> {
        let members = self.members.borrow();
        let (me, member) = (members.me(), members.get(vm)?);
        (member.zone == me.zone && member.vm != me.vm).then(|| Rc::clone(&member.vm))
    }

    fn record_load(&self, vm: &Rc<str>, relation: Reporter, record: &LoadRecord, sent: Instant) {
        match record.decode(sent) {
            Ok((report, at)) => {
                let mut reports = self.loads.reports.borrow_mut();
                reports.record(Rc::clone(vm), report, relation, at);
            }
            Err(err) => Event::new("load_report_dropped")
                .field("vm", vm)
                .field("cause", err)
                .warn(),
        }
    }

    /// Applies the sum of the loads of all other daemons, if any are known.
    fn apply_loads(&self, now: Instant) {
        self.loads.applied.set(Some(now));
        let others = self.loads.reports.borrow().total(now);
        if others.daemons > 0 {
            self.parts.path.apply_zone_load(others, now);
        }
    }
}

/// Relation of this daemon to one that has this relation to it.
fn reverse(relation: Reporter) -> Reporter {
    match relation {
        Reporter::Follower => Reporter::Source,
        Reporter::Peer => Reporter::Peer,
        Reporter::Source => Reporter::Follower,
    }
}

fn log_failure(vm: &Rc<str>, outcome: &Result<(), LoadError>) {
    let Err(err) = outcome else {
        return;
    };
    let event = Event::new("load_not_exchanged")
        .field("vm", vm)
        .field("cause", err);
    match err {
        // Lists of members differ for a while after each change.
        LoadError::Declined => event.debug(),
        LoadError::Link(_) | LoadError::BadReply => event.info(),
    }
}
