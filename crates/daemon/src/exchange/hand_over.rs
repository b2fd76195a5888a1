//! Hand-over: the former owner of an upstream exports its state and finishes the requests in progress.

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

/// Interval of reports about requests that finished after a hand-over.
const REPORT_PERIOD: Duration = Duration::from_millis(50);

/// Time after which a report that the next owner does not confirm is dropped.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a former owner keeps the exported state and passes notifications on, unless the next owner has
/// imported everything before. A claim is retransmitted for 5 s at most.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(5);

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

    /// Answers a retransmitted claim, since the first answer may have been lost.
    fn repeat_hand_over(&self, to: &Rc<str>, addr: SocketAddr, claim: u64) -> OwnerReply {
        let handed_over = self.handed_over.borrow();
        let exported = handed_over
            .get(&addr)
            .filter(|exported| exported.claim == claim);
        let Some(exported) = exported else {
            return OwnerReply::NotHeld;
        };
        Event::new("upstream_handed_over_again")
            .field("upstream", addr)
            .field("to", to)
            .info();
        OwnerReply::HandOver(exported.state.clone())
    }

    /// Finishes the requests in progress at an upstream that was handed over, and reports them to the next owner.
    fn end_ownership(self: &Rc<Self>, exported: HandedOver, next: &Rc<str>) {
        let exported = Rc::new(exported);
        let up = Rc::clone(&exported.up);
        up.set_handed_over();
        up.load_mut()
            .cap_slots(exported.state.in_use, Instant::now());
        let path = Rc::clone(self);
        let next = Rc::clone(next);
        self.handed_over
            .borrow_mut()
            .insert(up.addr(), Rc::clone(&exported));
        self.spawn("end_ownership", async move {
            path.report_finished(&exported, &next).await;
            up.socket().close();
            let mut handed_over = path.handed_over.borrow_mut();
            let same = handed_over
                .get(&up.addr())
                .is_some_and(|other| Rc::ptr_eq(other, &exported));
            if same {
                handed_over.remove(&up.addr());
            }
        });
    }

    async fn report_finished(&self, exported: &HandedOver, next: &str) {
        let since = Instant::now();
        let up = &exported.up;
        let mut reports = Reports::new(up.addr(), exported.state.in_use);
        loop {
            monoio::time::sleep(REPORT_PERIOD).await;
            if since.elapsed() >= IMPORT_TIMEOUT || self.member_unless_dead(next).is_none() {
                exported.settle();
            }
            let running = up.running();
            if let Some(report) = reports.next(running, || up.take_finished()) {
                up.load_mut().cap_slots(running, Instant::now());
                if self.report(next, report).await {
                    reports.confirm();
                }
            }
            if running == 0 && reports.is_done() && exported.settled.get() {
                return;
            }
        }
    }

    /// Sends a report to the next owner; false if it must be sent again.
    async fn report(&self, next: &str, report: Finished) -> bool {
        let Some(member) = self.member_unless_dead(next) else {
            return true;
        };
        let reply = self
            .send_owner_request(&member, OwnerRequest::Finished(report))
            .await;
        reply == Some(OwnerReply::Ok)
    }

    /// Sends an ownership request to another daemon; `None` if no answer arrives.
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

    /// The member, unless it is known to be dead.
    fn member_unless_dead(&self, vm: &str) -> Option<Member> {
        let member = self.control.members().get(vm).cloned();
        member.filter(|member| member.state != MemberState::Dead)
    }

    fn on_settled(&self, addr: SocketAddr) {
        if let Some(exported) = self.handed_over.borrow().get(&addr) {
            exported.settle();
        }
    }

    fn on_finished(&self, owner: &FormerOwner, finished: Finished) -> OwnerReply {
        // A report is too early while the upstream is still being claimed.
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

/// Reports of one hand-over; each is retransmitted until the next owner confirms it.
struct Reports {
    upstream: SocketAddr,
    /// Slots that the next owner counts as in use here.
    counted_slots: u32,
    seq: u32,
    open: Option<(Finished, Instant)>,
}

impl Reports {
    fn new(upstream: SocketAddr, in_use: u32) -> Reports {
        Reports {
            upstream,
            counted_slots: in_use,
            seq: 0,
            open: None,
        }
    }

    /// The report to send now, if there is anything to report.
    fn next(&mut self, running: u32, runs: impl FnOnce() -> Vec<FinishedRun>) -> Option<Finished> {
        if self.open.is_none() {
            let report = self.collect(running, runs());
            self.open = report.map(|report| (report, Instant::now()));
        }
        self.open.as_ref().map(|(report, _)| report.clone())
    }

    fn collect(&mut self, running: u32, runs: Vec<FinishedRun>) -> Option<Finished> {
        let slots = self.counted_slots.saturating_sub(running);
        if slots == 0 && runs.is_empty() {
            return None;
        }
        self.counted_slots -= slots;
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
        open.is_none_or(|(_, since)| since.elapsed() >= REPORT_TIMEOUT)
    }
}

/// Exports the upstream's state for its next owner; no new requests run here afterwards.
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
