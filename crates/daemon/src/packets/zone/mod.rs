//! The daemons of a zone, which share what they read of the store.
//!
//! A few of them read with a short pause, and the others follow one of these. Whatever happens to a reader or a link, a
//! follower asks the store itself when its view is as old as it may become.

mod discovery;
mod failure_reports;
mod follower;
pub mod message;
pub mod news;
mod server;

pub use self::{
    message::{
        Changes,
        ZoneReply,
        ZoneRequest, //
    },
    news::NewsRecord,
};

use super::{
    evidence::Evidence,
    metrics::PacketMetrics,
    path::PacketPath,
    view::View, //
};
use crate::{
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
        Role, //
    },
};
use foxtailhinge_wire::message::MemberUpdate;
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

/// Time for an answer beyond the wait that a request asks for.
const ANSWER: Duration = Duration::from_millis(500);

/// Longest body between daemons, in bytes: all entries of the largest deployment, some 40 bytes each.
const BODY_MAX: usize = 2 << 20;

/// Parts of the daemon that the zone works with.
pub struct Parts {
    /// What is known of the store.
    pub view: Rc<View>,
    /// Where packets go.
    pub path: Rc<PacketPath>,
    /// What others are told of upstreams.
    pub evidence: Rc<Evidence>,
    /// Metrics of the daemon.
    pub metrics: Rc<PacketMetrics>,
    /// Times.
    pub timer: Rc<Timer>,
}

/// An answer of another daemon.
#[derive(Debug)]
struct LastAnswer {
    from: Rc<str>,
    /// Revision up to which all was known after it.
    revision: u64,
    /// Number of its last belief about an upstream.
    belief: u64,
}

/// What a daemon knows of its zone.
pub struct Zone {
    members: RefCell<Members>,
    seeds: Vec<SocketAddr>,
    parts: Parts,
    /// The link to the daemon that is followed.
    link: RefCell<Option<(SocketAddr, SendRequest<Bytes>)>>,
    followed: RefCell<Option<Rc<str>>>,
    /// The last answer of a daemon.
    last: RefCell<Option<LastAnswer>>,
    /// Set when members should be met early.
    lost: Wake,
    /// When another daemon asked for news.
    asked: Cell<Option<Instant>>,
}

impl Zone {
    /// A zone in which only this daemon is known.
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
        })
    }

    /// Address at which this daemon answers others.
    pub fn control_addr(&self) -> SocketAddr {
        self.members.borrow().me().control
    }

    /// Part that this daemon has in reading the store.
    pub fn role(&self) -> Role {
        readers::role(&self.members.borrow(), self.asked.get(), Instant::now())
    }

    /// Number of live daemons of the zone that are known, this one included.
    pub fn member_count(&self) -> usize {
        let members = self.members.borrow();
        members.live_in_zone(&members.me().zone).count()
    }

    /// The daemon that is followed.
    pub fn followed(&self) -> Option<Rc<str>> {
        self.followed.borrow().clone()
    }

    /// Asks a daemon, over the link that is kept if it is the one that is followed.
    async fn ask(
        &self,
        addr: SocketAddr,
        request: &ZoneRequest,
        wait: Duration,
    ) -> Result<ZoneReply, LinkError> {
        let answer = monoio::time::timeout(wait + ANSWER, self.ask_untimed(addr, request)).await;
        let answer = answer.unwrap_or(Err(LinkError::Timeout));
        if answer.is_err() {
            self.link.borrow_mut().take_if(|(to, _)| *to == addr);
        }
        answer
    }

    async fn ask_untimed(
        &self,
        addr: SocketAddr,
        request: &ZoneRequest,
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
        let request = message::encode(request);
        self.parts
            .metrics
            .zone_bytes_sent
            .inc_by(request.len() as u64);
        let body = transport::post(tx, request.into(), BODY_MAX).await?;
        self.parts
            .metrics
            .zone_bytes_received
            .inc_by(body.len() as u64);
        message::decode(&body).ok_or(LinkError::Garbled)
    }

    /// This daemon's own record and news about others.
    fn member_news(&self) -> Vec<MemberUpdate> {
        let mut members = self.members.borrow_mut();
        let mut news = vec![to_wire(members.me())];
        news.extend(members.gossip(message::MEMBER_NEWS_MAX).iter().map(to_wire));
        news
    }
}
