//! Anti-entropy: a periodic exchange with a random peer, after which both hold the newer records of both views.

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

/// On average, one in this many exchanges is with a peer of another zone.
const OTHER_ZONE_RATIO: u32 = 5;

/// Maximum number of pages exchanged with one peer before the next peer is drawn.
const PAGES_MAX: usize = 1_000;

/// Runs an exchange with a random peer in each interval; never returns.
pub async fn run(control: Rc<Control>) {
    let limits = control.settings().limits;
    let mut budget = ByteBudget::new(limits.copy_rate, limits.copy_burst, Instant::now());
    let mut busy = BusyPeers::default();
    loop {
        busy.remove_expired(Instant::now());
        let pause = match pick_peer(&control, &busy) {
            Some(peer) => exchange_once(&control, &peer, &mut budget, &mut busy).await,
            None => limits.retry_interval,
        };
        control.links().close_idle(Instant::now());
        let pause = pause.mul_f64(control.rng().random_range(0.75..1.25));
        let _ = monoio::time::timeout(pause, control.exchange_wake.wait()).await;
    }
}

/// Result of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Both daemons hold the newer records of both views, as far as they were compared.
    Complete,
    /// The peer's byte budget for copies is used up; it can be asked again after this time.
    Deferred(Duration),
}

/// Peers whose byte budget for copies is used up, with the time at which each can be asked again.
#[derive(Debug, Default)]
struct BusyPeers(HashMap<Rc<str>, Instant>);

impl BusyPeers {
    fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|_, until| *until > now);
    }
}

/// Runs an exchange with one peer and returns how long to wait before the next exchange.
async fn exchange_once(
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

/// Compares views with `peer` and copies the differences in both directions.
pub async fn exchange(
    control: &Rc<Control>,
    peer: &Member,
    budget: &mut ByteBudget,
) -> Result<Outcome, LinkError> {
    let began = Instant::now();
    let glance = compare_sums(control, peer).await?;
    let by = match glance.freshness.in_service {
        true => SyncSource::Peer,
        false => SyncSource::FencedPeer,
    };
    if is_same(&glance, control) {
        control.on_synced(by, began);
        return Ok(Outcome::Complete);
    }
    for _ in 0..PAGES_MAX {
        let request = LinkRequest::Compare(Box::new(sums(control)));
        let asked = Instant::now();
        let reply = control.links().request(control, peer, &request).await?;
        record_contact(control, by);
        let LinkReply::Difference(difference) = reply else {
            return Err(LinkError::Garbled);
        };
        let more = difference.more;
        let outcome = apply_difference(control, peer, *difference, asked, budget).await?;
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

/// Compares the sums of whole views, which suffices for most exchanges because the views are equal.
async fn compare_sums(control: &Rc<Control>, peer: &Member) -> Result<Glance, LinkError> {
    let asked = Instant::now();
    let request = LinkRequest::Glance(glance(control));
    let reply = control.links().request(control, peer, &request).await?;
    let LinkReply::Glance(theirs) = reply else {
        return Err(LinkError::Garbled);
    };
    if theirs.documents == glance(control).documents {
        apply_freshness(control, &theirs.freshness, asked);
    }
    Ok(theirs)
}

fn is_same(theirs: &Glance, control: &Control) -> bool {
    let ours = glance(control);
    theirs.documents == ours.documents && theirs.members == ours.members
}

/// Records that a peer answered, unless it is fenced itself: waiting for a sync with such a peer is not worthwhile.
fn record_contact(control: &Control, by: SyncSource) {
    if by == SyncSource::Peer {
        control.on_peer_reached(Instant::now());
    }
}

/// Applies the freshness of a peer's documents, which equal the ones held here.
fn apply_freshness(control: &Control, freshness: &Freshness, asked: Instant) {
    control.documents_mut().set_synced(freshness.synced);
    let age = freshness.age_ms.map(Duration::from_millis);
    if let Some(at) = age.and_then(|age| asked.checked_sub(age)) {
        control.confirm(at);
    }
}

async fn apply_difference(
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
        // All members are copied before any documents, which may take long at the rate limit of copies.
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
    // A peer that lacks many documents fetches them itself, at the rate limit of copies.
    if newer.len() <= GOSSIP_BATCH_MAX {
        announce(control, peer, &newer).await?;
    }
    if *control.documents().sums() == from_bucket_sums(&sums.documents) {
        apply_freshness(control, &sums.freshness, asked);
    }
    Ok(Outcome::Complete)
}

/// Fetches documents. A daemon in service also keeps to its own rate limit of copies.
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

/// Announces the documents of `services` to `peer` and sends those that it requests.
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

/// Answers a comparison with a first page of the differences.
pub(crate) fn difference(control: &Control, theirs: &Sums) -> LinkReply {
    let ours = sums(control);
    let documents = control.documents();
    let mut more = false;
    let mask = documents.differing_buckets(&from_bucket_sums(&theirs.documents));
    let (document_buckets, revisions) = first_buckets(mask, &mut more, |buckets| {
        to_revisions(documents.digest_in(buckets))
    });
    let members = control.members();
    let mask = differing_buckets(members.sums(), &from_bucket_sums(&theirs.members));
    let (member_buckets, members) = first_buckets(mask, &mut more, |buckets| {
        let records = members.records_in(buckets);
        records.map(record::to_wire).collect()
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

/// Answers an announcement with the services whose documents are missing here.
pub(crate) fn wanted(control: &Control, revisions: Vec<Revision>) -> LinkReply {
    let missing = control.documents().missing(&to_digest(revisions));
    LinkReply::Wanted(missing.iter().map(ToString::to_string).collect())
}

/// Applies documents that a peer sent.
pub(crate) fn apply_documents(control: &Control, records: Vec<DocumentRecord>, from: &Rc<str>) {
    let source = Source::from(from);
    for record in records {
        control.apply_document(record, &source);
    }
}

/// Returns documents of `services`, as many as fit into one message.
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

/// Returns sums over this daemon's whole view.
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

/// Returns the first of the given buckets whose items fill a page, and these items; sets `more` if buckets are left.
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

/// Returns this daemon's records in the given buckets that differ from the peer's.
fn newer_members(control: &Control, buckets: u64, theirs: &[MemberUpdate]) -> Vec<MemberUpdate> {
    let members = control.members();
    let records = members.records_in(buckets).map(record::to_wire);
    records.filter(|ours| !theirs.contains(ours)).collect()
}

/// Draws a peer: a live one, usually of the own zone; if there is none, any known one.
fn pick_peer(control: &Control, busy: &BusyPeers) -> Option<Member> {
    let members = control.members();
    let mut rng = control.rng();
    let me = members.me();
    let far = rng.random_ratio(1, OTHER_ZONE_RATIO);
    let excluded = |m: &Member| control.is_denied(&m.vm) || busy.0.contains_key(&m.vm);
    let others = || members.iter().skip(1).filter(|m| !excluded(m));
    let alive = |m: &&Member| m.state == MemberState::Alive;
    let same = |m: &&Member| (m.zone == me.zone) != far;
    let picked = others().filter(alive).filter(same).choose(&mut rng);
    let picked = picked.or_else(|| others().filter(alive).choose(&mut rng));
    let picked = picked.or_else(|| others().choose(&mut rng));
    picked.cloned()
}
