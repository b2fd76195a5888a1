//! Exchange between the daemons of a zone, which share what they read from the store.
//!
//! A few of them read the store at short intervals, and the others follow one of these readers. If a reader or a link
//! fails, a follower reads the store itself as soon as its view reaches the maximum age.

pub mod change_set;
mod discovery;
mod failure_reports;
mod follower;
mod load_exchange;
pub mod load_record;
pub mod message;
mod server;

pub use self::{
    change_set::ChangeSetRecord,
    load_record::LoadRecord,
    message::{
        Changes,
        ZoneReply,
        ZoneRequest, //
    },
};

use self::load_exchange::LoadExchange;
use super::{
    evidence::Evidence,
    metrics::PacketMetrics,
    path::PacketPath,
    view::View, //
};
use crate::{
    activity::{
        Activity,
        AnswerLimits, //
    },
    links::{
        transport,
        LinkError, //
    },
    members::record::to_wire,
    timer::Timer,
    wake::Wake,
};
use bytes::Bytes;
use foxtailhinge_config::packet_settings::PacketSettings;
use foxtailhinge_policy::{
    members::{
        Member,
        MemberState,
        Members,
        MembersSpec, //
    },
    packets::{
        readers,
        LostChanges,
        Position,
        Role,
        Version, //
    },
};
use foxtailhinge_wire::message::MemberUpdate;
use futures::lock::Mutex;
use h2::client::SendRequest;
use rand::Rng;
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time limit for an answer, in addition to the wait that a request asks for, and from one part of it to the next.
const ANSWER: Duration = Duration::from_millis(500);

/// Time limit for a whole answer, in addition to the wait that a request asks for; it ends one whose parts arrive without
/// end.
const WHOLE_ANSWER: Duration = Duration::from_secs(10);

/// Maximum length of a message body, in bytes: all entries of the largest deployment, at some 40 bytes each.
const BODY_MAX: usize = 2 << 20;

/// Components of the daemon that the zone uses.
pub struct Parts {
    /// The copy of the store's entries that is shared.
    pub view: Rc<View>,
    /// The packet path, to which evidence from other daemons is applied.
    pub path: Rc<PacketPath>,
    /// Observations of upstreams to report to other daemons.
    pub evidence: Rc<Evidence>,
    /// Counters of requests and bytes.
    pub metrics: Rc<PacketMetrics>,
    /// Timer for delays.
    pub timer: Rc<Timer>,
}

/// The state of the last answer from the daemon that is followed.
#[derive(Debug)]
struct LastAnswer {
    from: Rc<str>,
    /// Version up to which this daemon's view was complete after it.
    version: Version,
    /// Number of the last report on an upstream in it.
    belief: u64,
}

/// The members of the zone, and the daemon that this one follows.
pub struct Zone {
    members: RefCell<Members>,
    seeds: Vec<SocketAddr>,
    parts: Parts,
    /// The link to the daemon that is followed.
    link: RefCell<Option<(SocketAddr, SendRequest<Bytes>)>>,
    followed: RefCell<Option<Rc<str>>>,
    /// Lets the next request ask for new changes and reports only.
    last: RefCell<Option<LastAnswer>>,
    /// Set when a request to a reader fails, so that members are exchanged early.
    lost: Wake,
    /// When another daemon last asked for changes.
    asked: Cell<Option<Instant>>,
    /// Daemons that are asked for changes which a restored store has lost.
    lost_changes: RefCell<LostChanges>,
    loads: LoadExchange,
    /// Held while a large answer is sent.
    large_answer: Mutex<()>,
}

impl Zone {
    /// Creates a zone with this daemon as the only member.
    pub fn new(settings: &PacketSettings, control: SocketAddr, parts: Parts) -> Rc<Self> {
        let me = Member {
            vm: Rc::from(&*settings.vm),
            zone: Rc::from(&*settings.zone),
            relay: control,
            control,
            incarnation: rand::rng().random(),
            state: MemberState::Alive,
            version: 1,
        };
        Rc::new(Self {
            members: RefCell::new(Members::new(me, MembersSpec::default())),
            seeds: settings.seeds.clone(),
            parts,
            link: RefCell::default(),
            followed: RefCell::default(),
            last: RefCell::default(),
            lost: Wake::default(),
            asked: Cell::new(None),
            lost_changes: RefCell::default(),
            loads: LoadExchange::default(),
            large_answer: Mutex::default(),
        })
    }

    /// Address at which this daemon answers others.
    pub fn control_addr(&self) -> SocketAddr {
        self.members.borrow().me().control
    }

    /// Role of this daemon in reading the store.
    pub fn role(&self) -> Role {
        readers::role(&self.members.borrow(), self.asked.get(), Instant::now())
    }

    /// Number of known live daemons of the zone, this one included.
    pub fn member_count(&self) -> usize {
        let members = self.members.borrow();
        members.live_in_zone(&members.me().zone).count()
    }

    /// Position of this daemon among the live daemons of the zone, which each daemon orders by VM.
    pub fn position(&self) -> Position {
        let members = self.members.borrow();
        let me = members.me();
        let live = members.live_in_zone(&me.zone);
        let (before, others) = live.fold((0, 0), |(before, all), member| {
            (before + usize::from(member.vm < me.vm), all + 1)
        });
        Position {
            index: before,
            daemons: others,
        }
    }

    /// VM of the daemon that this one follows.
    pub fn followed(&self) -> Option<Rc<str>> {
        self.followed.borrow().clone()
    }

    /// Sends a request to a daemon, over the open link if that leads to it.
    async fn request(
        &self,
        addr: SocketAddr,
        request: &ZoneRequest,
        wait: Duration,
    ) -> Result<ZoneReply, LinkError> {
        let activity = Activity::default();
        let limits = AnswerLimits {
            first: wait + ANSWER,
            next: ANSWER,
            whole: wait + WHOLE_ANSWER,
        };
        let answer = self.request_untimed(addr, request, &activity);
        let answer = activity.limit(limits, answer).await;
        let answer = answer.unwrap_or(Err(LinkError::Timeout));
        if answer.is_err() {
            self.link.borrow_mut().take_if(|(to, _)| *to == addr);
        }
        answer
    }

    async fn request_untimed(
        &self,
        addr: SocketAddr,
        request: &ZoneRequest,
        activity: &Activity,
    ) -> Result<ZoneReply, LinkError> {
        let kept = self
            .link
            .borrow()
            .as_ref()
            .filter(|(to, _)| *to == addr)
            .cloned();
        let tx = match kept {
            Some((_, tx)) => tx,
            None => transport::open(addr).await?,
        };
        if let ZoneRequest::Watch { .. } = request {
            *self.link.borrow_mut() = Some((addr, tx.clone()));
        }
        self.send(tx, request, activity).await
    }

    /// Sends a request over an open link, and records the arrival of the answer's parts.
    async fn send(
        &self,
        tx: SendRequest<Bytes>,
        request: &ZoneRequest,
        activity: &Activity,
    ) -> Result<ZoneReply, LinkError> {
        let request = message::encode(request);
        self.parts
            .metrics
            .zone_bytes_sent
            .inc_by(request.len() as u64);
        let body = transport::post(tx, request.into(), BODY_MAX, activity).await?;
        self.parts
            .metrics
            .zone_bytes_received
            .inc_by(body.len() as u64);
        message::decode(&body).ok_or(LinkError::Garbled)
    }

    /// This daemon's own record and recent changes of others.
    fn member_updates(&self) -> Vec<MemberUpdate> {
        let mut members = self.members.borrow_mut();
        let mut updates = vec![to_wire(members.me())];
        updates.extend(
            members
                .gossip(message::MEMBER_UPDATES_MAX)
                .iter()
                .map(to_wire),
        );
        updates
    }
}
