//! Hand-over: the former owner of an upstream gives up its state and ends what it has in progress.

use crate::{
    exchange::{
        handed_over::HandedOver,
        ownership::Ownership,
        path::DataPath,
        upstream::Upstream, //
    },
    links::{
        LinkHandler,
        LinkReply,
        LinkRequest, //
    },
    logging::Event,
    metrics::HandOverResult, //
};
use foxtailhinge_policy::{
    former_owners::FormerOwner,
    members::{
        Member,
        MemberState, //
    },
};
use foxtailhinge_wire::message::{
    AllowanceRecord,
    FeedRecord,
    Finished,
    FinishedRun,
    FlowRecord,
    HandOver,
    OwnerReply,
    OwnerRequest, //
};
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time between two reports of what ended after a hand-over.
const REPORT_PERIOD: Duration = Duration::from_millis(50);

/// Time after which a report that the next owner does not confirm is given up.
const REPORT_LEASE: Duration = Duration::from_secs(10);

/// Time for which a former owner keeps the state that it gave and passes notifications on, unless the next owner
/// has taken all up before. A claim is sent again for 5 s at most.
const TAKE_UP_LEASE: Duration = Duration::from_secs(5);

impl DataPath {
    /// Answers a claim of another daemon.
    fn on_claim(self: &Rc<Self>, from: &Rc<str>, addr: SocketAddr, claim: u64) -> OwnerReply {
        let Some(up) = self.held_upstream(addr) else {
            return self.repeat_hand_over(from, addr, claim);
        };
        let owner = self.owner(up.key(), up.zone());
        if owner.is_none_or(|member| member.vm != *from) {
            return OwnerReply::NotYours;
        }
        self.upstreams.borrow_mut().remove(&addr);
        self.metrics.hand_overs.inc(HandOverResult::Confirmed);
        let me = Rc::clone(&self.control.settings().vm);
        self.record_owner(addr, Some(&me), Some(from));
        let state = export(&up);
        Event::new("upstream_handed_over")
            .field("upstream", addr)
            .field("to", from)
            .field("flows", state.flows.len())
            .field("feeds", state.feeds.len())
            .field("in_use", state.in_use)
            .info();
        self.end_ownership(
            HandedOver {
                up,
                claim,
                state: state.clone(),
                settled: Cell::new(false),
            },
            from,
        );
        OwnerReply::HandOver(state)
    }

    /// Answers a claim whose first answer may not have arrived.
    fn repeat_hand_over(&self, to: &Rc<str>, addr: SocketAddr, claim: u64) -> OwnerReply {
        let handed_over = self.handed_over.borrow();
        let given = handed_over.get(&addr).filter(|given| given.claim == claim);
        let Some(given) = given else {
            return OwnerReply::NotHeld;
        };
        Event::new("upstream_handed_over_again")
            .field("upstream", addr)
            .field("to", to)
            .info();
        OwnerReply::HandOver(given.state.clone())
    }

    /// Ends what is in progress at an upstream that was handed over, and reports it to the next owner.
    fn end_ownership(self: &Rc<Self>, given: HandedOver, next: &Rc<str>) {
        let given = Rc::new(given);
        let up = Rc::clone(&given.up);
        up.set_handed_over();
        up.load_mut().cap_slots(given.state.in_use, Instant::now());
        let path = Rc::clone(self);
        let next = Rc::clone(next);
        self.handed_over
            .borrow_mut()
            .insert(up.addr(), Rc::clone(&given));
        self.spawn("end_ownership", async move {
            path.report_finished(&given, &next).await;
            up.socket().close();
            let mut handed_over = path.handed_over.borrow_mut();
            let same = handed_over
                .get(&up.addr())
                .is_some_and(|other| Rc::ptr_eq(other, &given));
            if same {
                handed_over.remove(&up.addr());
            }
        });
    }

    async fn report_finished(&self, given: &HandedOver, next: &str) {
        let since = Instant::now();
        let up = &given.up;
        let mut reports = Reports::new(up.addr(), given.state.in_use);
        loop {
            monoio::time::sleep(REPORT_PERIOD).await;
            if since.elapsed() >= TAKE_UP_LEASE || self.living(next).is_none() {
                given.settle();
            }
            let running = up.running();
            if let Some(report) = reports.next(running, || up.take_finished()) {
                up.load_mut().cap_slots(running, Instant::now());
                if self.report(next, report).await {
                    reports.confirm();
                }
            }
            if running == 0 && reports.is_done() && given.settled.get() {
                return;
            }
        }
    }

    /// Sends a report to the next owner; false when it should be sent again.
    async fn report(&self, next: &str, report: Finished) -> bool {
        let Some(member) = self.living(next) else {
            return true;
        };
        let reply = self
            .send_owner_request(&member, OwnerRequest::Finished(report))
            .await;
        reply == Some(OwnerReply::Ok)
    }

    /// Sends a request about ownership to another daemon; nothing when the answer did not come.
    pub async fn send_owner_request(
        &self,
        member: &Member,
        request: OwnerRequest,
    ) -> Option<OwnerReply> {
        let links = Rc::clone(self.control.links());
        let request = LinkRequest::Owner(request);
        match links.request(&self.control, member, &request).await {
            Ok(LinkReply::Owner(reply)) => Some(reply),
            Ok(_) => None,
            Err(err) => {
                Event::new("owner_report_lost")
                    .field("vm", &member.vm)
                    .field("cause", err)
                    .warn();
                None
            }
        }
    }

    /// A member that is not known to be dead.
    fn living(&self, vm: &str) -> Option<Member> {
        let member = self.control.members().get(vm).cloned();
        member.filter(|member| member.state != MemberState::Dead)
    }

    fn on_settled(&self, addr: SocketAddr) {
        if let Some(given) = self.handed_over.borrow().get(&addr) {
            given.settle();
        }
    }

    fn on_finished(&self, owner: &FormerOwner, finished: Finished) -> OwnerReply {
        // While the upstream is claimed, its former owner reports too early.
        let Some(up) = self.held_upstream(finished.upstream) else {
            return OwnerReply::NotHeld;
        };
        let now = Instant::now();
        let (seq, slots) = (finished.seq, finished.slots);
        up.load_mut().finish_at_former_owner(owner, seq, slots, now);
        up.promote(now);
        let mut flows = up.flows.borrow_mut();
        for run in finished.runs {
            if let Some((flow, _)) = flows.resolve(run.flow) {
                if let Some(entry) = flows.get_mut(flow) {
                    entry.ledger.finish(&run.token, run.answer.into(), now);
                }
            }
        }
        OwnerReply::Ok
    }

    /// The upstream with this address, if this daemon holds it.
    pub fn held_upstream(&self, addr: SocketAddr) -> Option<Rc<Upstream>> {
        match self.upstreams.borrow().get(&addr)? {
            Ownership::Held(up) => Some(Rc::clone(up)),
            Ownership::Claiming(_) => None,
        }
    }
}

impl LinkHandler for Rc<DataPath> {
    fn on_owner_request(
        &self,
        from: &Rc<str>,
        incarnation: u32,
        request: OwnerRequest,
    ) -> OwnerReply {
        match request {
            OwnerRequest::Claim { upstream, id } => self.on_claim(from, upstream, id),
            OwnerRequest::Offer { upstream } => {
                self.on_offer(upstream);
                OwnerReply::Ok
            }
            OwnerRequest::Settled { upstream } => {
                self.on_settled(upstream);
                OwnerReply::Ok
            }
            OwnerRequest::Finished(finished) => {
                let owner = FormerOwner {
                    vm: Rc::clone(from),
                    incarnation,
                };
                self.on_finished(&owner, finished)
            }
        }
    }
}

/// Reports of one hand-over: each is sent until the next owner has confirmed it.
struct Reports {
    upstream: SocketAddr,
    /// Slots that the next owner counts as in use here.
    counted: u32,
    seq: u32,
    open: Option<(Finished, Instant)>,
}

impl Reports {
    fn new(upstream: SocketAddr, in_use: u32) -> Reports {
        Reports {
            upstream,
            counted: in_use,
            seq: 0,
            open: None,
        }
    }

    /// The report to send now, if there is anything to tell.
    fn next(&mut self, running: u32, runs: impl FnOnce() -> Vec<FinishedRun>) -> Option<Finished> {
        if self.open.is_none() {
            let report = self.collect(running, runs());
            self.open = report.map(|report| (report, Instant::now()));
        }
        self.open.as_ref().map(|(report, _)| report.clone())
    }

    fn collect(&mut self, running: u32, runs: Vec<FinishedRun>) -> Option<Finished> {
        let slots = self.counted.saturating_sub(running);
        if slots == 0 && runs.is_empty() {
            return None;
        }
        self.counted -= slots;
        self.seq += 1;
        Some(Finished {
            upstream: self.upstream,
            seq: self.seq,
            slots,
            runs,
        })
    }

    fn confirm(&mut self) {
        self.open = None;
    }

    fn is_done(&self) -> bool {
        let open = self.open.as_ref();
        open.is_none_or(|(_, since)| since.elapsed() >= REPORT_LEASE)
    }
}

/// The upstream's state for its next owner; nothing new runs here afterwards.
fn export(up: &Rc<Upstream>) -> HandOver {
    let now = Instant::now();
    let (slots, connections) = up.load().allowance(now);
    let mut flows = up.flows.borrow_mut();
    let mut keys = flows.keys();
    let feeds = up
        .feeds
        .borrow()
        .iter()
        .map(|(_, feed)| FeedRecord {
            flow: flows.key(feed.flow),
            caller: feed.caller.caller,
            observe: feed.observe,
            request: feed.request.to_bytes(),
        })
        .collect();
    let opened = flows.take_opened();
    let flows = flows
        .iter_mut()
        .filter(|(_, entry)| !entry.retired)
        .map(|(flow, entry)| FlowRecord {
            keys: keys.remove(&flow).unwrap_or_default(),
            service: entry.service,
            upstream_hash: entry.upstream_hash,
            caller: entry.caller,
            ledger: entry.ledger.export(),
        })
        .collect();
    HandOver {
        upstream: up.addr(),
        upstream_incarnation: up.incarnation(),
        allowance: AllowanceRecord { slots, connections },
        in_use: up.running(),
        flows,
        opened,
        feeds,
    }
}
