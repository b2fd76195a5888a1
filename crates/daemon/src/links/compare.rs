//! Periodic comparison with a random peer, after which both hold the newer of both views.

use super::{
    budget::ByteBudget,
    client::LinkError,
    message::{
        fold,
        from_bucket_sums,
        to_bucket_sums,
        to_digest,
        to_revisions,
        Difference,
        Freshness,
        Glance,
        LinkReply,
        LinkRequest,
        Revision,
        Sums,
        DOCUMENTS_BYTES,
        PAGE, //
    },
};
use crate::members::{
    control::GOSSIP_BATCH_MAX,
    counters::count,
    fence::SyncSource,
    record,
    Control,
    Source, //
};
use foxtailhinge_policy::{
    members::{
        Member,
        MemberState, //
    },
    revisions::differing_buckets,
};
use foxtailhinge_wire::message::{
    DocumentRecord,
    MemberUpdate, //
};
use rand::{
    seq::IteratorRandom,
    Rng, //
};
use std::{
    collections::HashMap,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// One exchange in this many goes to another zone.
const FAR_SHARE: u32 = 5;

/// Longest run of pages with one peer before another one is drawn.
const PAGES: usize = 1_000;

/// Exchanges with a random peer in each interval, without end.
pub async fn run(control: Rc<Control>) {
    let limits = control.settings().limits;
    let mut budget = ByteBudget::new(limits.copy_rate, limits.copy_burst, Instant::now());
    let mut busy = BusyPeers::default();
    loop {
        busy.forget_until(Instant::now());
        let pause = match pick_peer(&control, &busy) {
            Some(peer) => step(&control, &peer, &mut budget, &mut busy).await,
            None => limits.retry_interval,
        };
        control.links().close_idle(Instant::now());
        let pause = pause.mul_f64(control.rng().random_range(0.75..1.25));
        let _ = monoio::time::timeout(pause, control.exchange_wake.wait()).await;
    }
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Both hold the newer of both views.
    Complete,
    /// The peer has spent its bytes for copies and may be asked again after this time.
    Deferred(Duration),
}

/// Peers that have spent their bytes for copies, each until a time.
#[derive(Debug, Default)]
struct BusyPeers(HashMap<Rc<str>, Instant>);

impl BusyPeers {
    fn forget_until(&mut self, now: Instant) {
        self.0.retain(|_, until| *until > now);
    }
}

/// Exchanges with one peer and returns how long to wait before the next exchange.
async fn step(
    control: &Rc<Control>,
    peer: &Member,
    budget: &mut ByteBudget,
    busy: &mut BusyPeers,
) -> Duration {
    let limits = control.settings().limits;
    let result = exchange(control, peer, budget).await;
    let pause = match control.is_synced() {
        true => limits.exchange_interval,
        false => limits.retry_interval,
    };
    match result {
        Ok(Outcome::Complete) => {
            count(&control.counters().exchanges, 1);
            pause
        }
        Ok(Outcome::Deferred(wait)) => {
            busy.0.insert(peer.vm.clone(), Instant::now() + wait);
            limits.retry_interval
        }
        Err(err) => {
            let vm = &peer.vm;
            log::debug!("event=exchange_failed peer={vm} cause=\"{err}\"");
            pause
        }
    }
}

/// Compares views with `peer` and copies what differs both ways.
pub async fn exchange(
    control: &Rc<Control>,
    peer: &Member,
    budget: &mut ByteBudget,
) -> Result<Outcome, LinkError> {
    let began = Instant::now();
    let glance = glance_at(control, peer).await?;
    let by = match glance.freshness.in_service {
        true => SyncSource::Peer,
        false => SyncSource::FencedPeer,
    };
    if is_same(&glance, control) {
        control.on_synced(by, began);
        return Ok(Outcome::Complete);
    }
    for _ in 0..PAGES {
        let request = LinkRequest::Compare(Box::new(sums(control)));
        let asked = Instant::now();
        let reply = control.links().request(control, peer, &request).await?;
        note_reached(control, by);
        let LinkReply::Difference(difference) = reply else {
            return Err(LinkError::Garbled);
        };
        let more = difference.more;
        let outcome = adopt(control, peer, *difference, asked, budget).await?;
        if outcome != Outcome::Complete {
            return Ok(outcome);
        }
        if !more {
            control.on_synced(by, began);
            break;
        }
    }
    Ok(Outcome::Complete)
}

/// Compares at a glance, which is all that most exchanges need.
async fn glance_at(control: &Rc<Control>, peer: &Member) -> Result<Glance, LinkError> {
    let asked = Instant::now();
    let request = LinkRequest::Glance(glance(control));
    let reply = control.links().request(control, peer, &request).await?;
    let LinkReply::Glance(theirs) = reply else {
        return Err(LinkError::Garbled);
    };
    if theirs.documents == glance(control).documents {
        refresh(control, &theirs.freshness, asked);
    }
    Ok(theirs)
}

fn is_same(theirs: &Glance, control: &Control) -> bool {
    let ours = glance(control);
    theirs.documents == ours.documents && theirs.members == ours.members
}

/// A peer that is fenced itself is not worth waiting for.
fn note_reached(control: &Control, by: SyncSource) {
    if by == SyncSource::Peer {
        control.on_peer_reached(Instant::now());
    }
}

/// Takes over how fresh equal documents of a peer are.
fn refresh(control: &Control, freshness: &Freshness, asked: Instant) {
    control.documents_mut().set_synced(freshness.synced);
    let age = freshness.age_ms.map(Duration::from_millis);
    if let Some(at) = age.and_then(|age| asked.checked_sub(age)) {
        control.confirm(at);
    }
}

async fn adopt(
    control: &Rc<Control>,
    peer: &Member,
    difference: Difference,
    asked: Instant,
    budget: &mut ByteBudget,
) -> Result<Outcome, LinkError> {
    let sums = difference.sums;
    let newer = newer_members(control, difference.member_buckets, &difference.members);
    control.merge_peer_view(difference.members);
    if !newer.is_empty() {
        let request = LinkRequest::Members(newer);
        control.links().request(control, peer, &request).await?;
    }
    if difference.more && difference.member_buckets != 0 {
        // Members come first: documents may take long at the rate of copies.
        return Ok(Outcome::Complete);
    }
    let digest = to_digest(difference.revisions);
    let missing = control.documents().missing(&digest);
    let outcome = fetch(control, peer, missing, budget).await?;
    if outcome != Outcome::Complete {
        return Ok(outcome);
    }
    let buckets = difference.document_buckets;
    let newer = control.documents().newer_in(buckets, &digest);
    // Who lacks many documents fetches them at the rate of copies.
    if newer.len() <= GOSSIP_BATCH_MAX {
        announce(control, peer, &newer).await?;
    }
    if *control.documents().sums() == from_bucket_sums(&sums.documents) {
        refresh(control, &sums.freshness, asked);
    }
    Ok(Outcome::Complete)
}

/// Fetches documents; a daemon that takes work keeps to its own rate as well.
async fn fetch(
    control: &Rc<Control>,
    peer: &Member,
    mut missing: Vec<Rc<str>>,
    budget: &mut ByteBudget,
) -> Result<Outcome, LinkError> {
    let source = Source::Peer(peer.vm.clone());
    while !missing.is_empty() {
        let now = Instant::now();
        budget.set_rate(control.copy_rate(), now);
        let wait = budget.wait(now);
        if !wait.is_zero() && control.is_synced() {
            monoio::time::sleep(wait).await;
        }
        let services = missing.iter().take(PAGE).map(ToString::to_string).collect();
        let request = LinkRequest::Fetch(services);
        let reply = control.links().request(control, peer, &request).await?;
        let records = match reply {
            LinkReply::Documents(records) if !records.is_empty() => records,
            LinkReply::Busy(wait_ms) => {
                return Ok(Outcome::Deferred(Duration::from_millis(wait_ms)))
            }
            _ => return Err(LinkError::Garbled),
        };
        budget.spend(records.iter().map(length).sum());
        missing.retain(|s| !records.iter().any(|r| r.service == s.as_ref()));
        for record in records {
            control.apply_document(record, &source);
        }
    }
    Ok(Outcome::Complete)
}

/// Tells `peer` of the documents of `services` and sends those that it wants.
pub(crate) async fn announce(
    control: &Rc<Control>,
    peer: &Member,
    services: &[Rc<str>],
) -> Result<(), LinkError> {
    for page in services.chunks(PAGE) {
        let request = LinkRequest::Announce(revisions(control, page));
        let reply = control.links().request(control, peer, &request).await?;
        let LinkReply::Wanted(mut wanted) = reply else {
            continue;
        };
        while !wanted.is_empty() {
            let records = documents(control, &wanted);
            if records.is_empty() {
                break;
            }
            wanted.retain(|s| !records.iter().any(|r| r.service == *s));
            let request = LinkRequest::Push(records);
            control.links().request(control, peer, &request).await?;
        }
    }
    Ok(())
}

/// Answers a comparison.
pub(crate) fn difference(control: &Control, theirs: &Sums) -> LinkReply {
    let ours = sums(control);
    let documents = control.documents();
    let mut more = false;
    let unlike = documents.differing_buckets(&from_bucket_sums(&theirs.documents));
    let (document_buckets, revisions) = first_buckets(unlike, &mut more, |buckets| {
        to_revisions(documents.digest_in(buckets))
    });
    let members = control.members();
    let unlike = differing_buckets(members.sums(), &from_bucket_sums(&theirs.members));
    let (member_buckets, members) = first_buckets(unlike, &mut more, |buckets| {
        let heard = members.records_in(buckets);
        heard.map(record::to_wire).collect()
    });
    LinkReply::Difference(Box::new(Difference {
        sums: ours,
        document_buckets,
        revisions,
        member_buckets,
        members,
        more,
    }))
}

/// Answers an announcement.
pub(crate) fn wanted(control: &Control, revisions: Vec<Revision>) -> LinkReply {
    let missing = control.documents().missing(&to_digest(revisions));
    LinkReply::Wanted(missing.iter().map(ToString::to_string).collect())
}

/// Takes documents that a peer brought.
pub(crate) fn apply_documents(control: &Control, records: Vec<DocumentRecord>, from: &Rc<str>) {
    let source = Source::from(from);
    for record in records {
        control.apply_document(record, &source);
    }
}

/// Returns the documents of the services, as many as fit into one message.
pub(crate) fn documents(control: &Control, services: &[String]) -> Vec<DocumentRecord> {
    let documents = control.documents();
    let mut records = Vec::new();
    let mut bytes = 0;
    for service in services {
        let Some(entry) = documents.entry(service) else {
            continue;
        };
        if bytes >= DOCUMENTS_BYTES {
            break;
        }
        let before = records.len();
        if entry.revision > 0 {
            records.push(DocumentRecord {
                service: service.clone(),
                revision: entry.revision,
                text: entry.document.as_ref().map(|d| d.text.to_string()),
            });
        }
        if let Some(refusal) = &entry.refusal {
            records.push(DocumentRecord {
                service: service.clone(),
                revision: refusal.revision,
                text: Some(refusal.text.to_string()),
            });
        }
        bytes += records[before..].iter().map(length).sum::<usize>();
    }
    records
}

fn length(record: &DocumentRecord) -> usize {
    record.service.len() + record.text.as_ref().map_or(0, String::len)
}

fn revisions(control: &Control, services: &[Rc<str>]) -> Vec<Revision> {
    let documents = control.documents();
    let known = services.iter().filter_map(|service| {
        let entry = documents.entry(service)?;
        Some(Revision {
            service: service.to_string(),
            in_force: entry.revision,
            seen: entry.seen(),
        })
    });
    known.collect()
}

/// Returns this daemon's view at a glance.
pub(crate) fn glance(control: &Control) -> Glance {
    Glance {
        documents: fold(control.documents().sums()),
        members: fold(control.members().sums()),
        freshness: freshness(control),
    }
}

fn sums(control: &Control) -> Sums {
    Sums {
        documents: to_bucket_sums(control.documents().sums()),
        members: to_bucket_sums(control.members().sums()),
        freshness: freshness(control),
    }
}

fn freshness(control: &Control) -> Freshness {
    let age = control.confirmed().map(|at| at.elapsed());
    Freshness {
        synced: control.documents().synced(),
        age_ms: age.map(|age| age.as_millis() as u64),
        in_service: control.is_synced(),
    }
}

/// Returns the first of the given buckets whose items fill a page, and these items.
fn first_buckets<T>(buckets: u64, more: &mut bool, items: impl Fn(u64) -> Vec<T>) -> (u64, Vec<T>) {
    let mut covered = 0;
    let mut page = Vec::new();
    for bit in (0..u64::BITS)
        .map(|i| 1 << i)
        .filter(|bit| buckets & bit != 0)
    {
        if page.len() >= PAGE {
            *more = true;
            break;
        }
        covered |= bit;
        page.extend(items(bit));
    }
    (covered, page)
}

/// Returns the members of the given buckets of which the peer does not hold this record.
fn newer_members(control: &Control, buckets: u64, theirs: &[MemberUpdate]) -> Vec<MemberUpdate> {
    let members = control.members();
    let heard = members.records_in(buckets).map(record::to_wire);
    heard.filter(|ours| !theirs.contains(ours)).collect()
}

/// Draws a peer: a live one, mostly of the own zone, else any that is known by name.
fn pick_peer(control: &Control, busy: &BusyPeers) -> Option<Member> {
    let members = control.members();
    let mut rng = control.rng();
    let me = members.me();
    let far = rng.random_ratio(1, FAR_SHARE);
    let barred = |m: &Member| control.is_denied(&m.vm) || busy.0.contains_key(&m.vm);
    let others = || members.iter().skip(1).filter(|m| !barred(m));
    let alive = |m: &&Member| m.state == MemberState::Alive;
    let same = |m: &&Member| (m.zone == me.zone) != far;
    let picked = others().filter(alive).filter(same).choose(&mut rng);
    let picked = picked.or_else(|| others().filter(alive).choose(&mut rng));
    let picked = picked.or_else(|| others().choose(&mut rng));
    picked.cloned()
}
