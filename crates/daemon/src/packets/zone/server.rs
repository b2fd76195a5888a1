//! The server: answers requests of other daemons of the zone.

use super::{
    change_set::ChangeSetRecord,
    message::{
        self,
        Changes,
        FailedOpeningRecord,
        ZoneReply,
        ZoneRequest,
        EVIDENCE_MAX,
        MEMBERS_MAX, //
    },
    Zone,
};
use crate::{
    links::{
        transport,
        LinkError, //
    },
    logging::Event,
    members::record::{
        from_wire,
        to_wire, //
    },
};
use bytes::Bytes;
use foxtailhinge_policy::packets::{
    ChangeSet,
    ConfigurationId,
    Role,
    SyncedFrom,
    Version, //
};
use foxtailhinge_wire::message::MemberUpdate;
use h2::{
    server::SendResponse,
    RecvStream, //
};
use http::{
    Request,
    Response, //
};
use monoio::net::{
    TcpListener,
    TcpStream, //
};
use rand::seq::IteratorRandom;
use std::{
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Maximum number of concurrent requests on one link.
const STREAMS: u32 = 4;

/// Maximum number of links from other daemons: each daemon of a large zone may follow this one.
const INBOUND_MAX: usize = 512;

/// Time without a request after which a link is closed.
const IDLE: Duration = Duration::from_secs(10);

/// Maximum length of a request body, in bytes: mostly member updates.
const REQUEST_MAX: usize = 64 << 10;

/// Maximum wait that a request may ask for.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Length from which answers are sent one after the other, in bytes: 13 ms of a link of 10 Mbit/s. Several at once would
/// delay the packets of callers on the same link.
const LARGE_ANSWER: usize = 16 << 10;

/// Time after which a daemon that waits for a large answer is told to ask again, before it gives this one up.
const TURN_WAIT: Duration = Duration::from_millis(300);

/// Time after which the next large answer may be sent although the peer has not accepted this one, as on a link of
/// 1 Mbit/s or less.
const TURN_MAX: Duration = Duration::from_secs(1);

/// What a daemon that asks for changes has already.
#[derive(Clone, Copy)]
struct Asker {
    /// Version up to which its view is complete.
    after: Version,
    synced_from: SyncedFrom,
    configuration: Option<ConfigurationId>,
    /// Number of the last report on an upstream that it has from this daemon.
    belief: u64,
}

impl Zone {
    /// Answers other daemons; never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let serve = |stream| Rc::clone(&self).serve_link(stream);
        transport::accept_each(listener, INBOUND_MAX, serve).await;
    }

    async fn serve_link(self: Rc<Self>, stream: TcpStream) -> Result<(), LinkError> {
        let accepted = monoio::time::timeout(IDLE, transport::accept(stream, STREAMS)).await;
        let mut link = accepted.map_err(|_| LinkError::Timeout)??;
        while let Ok(Some(accepted)) = monoio::time::timeout(IDLE, link.accept()).await {
            let (req, respond) = accepted?;
            let zone = Rc::clone(&self);
            monoio::spawn(async move {
                if let Err(err) = zone.answer(req, respond).await {
                    Event::new("link_request_failed")
                        .field("cause", err)
                        .debug();
                }
            });
        }
        Ok(())
    }

    async fn answer(
        &self,
        req: Request<RecvStream>,
        respond: SendResponse<Bytes>,
    ) -> Result<(), LinkError> {
        let body = transport::read_body(req.into_body(), REQUEST_MAX);
        let body = monoio::time::timeout(IDLE, body).await;
        let body = body.map_err(|_| LinkError::Timeout)??;
        self.parts
            .metrics
            .zone_bytes_received
            .inc_by(body.len() as u64);
        let request = message::decode(&body).ok_or(LinkError::Garbled)?;
        let reply = match request {
            ZoneRequest::Meet(members) => self.answer_meet(members),
            ZoneRequest::Watch {
                after,
                is_here,
                configuration,
                belief,
                wait_ms,
                members,
            } => {
                self.merge_members(members);
                if wait_ms > 0 {
                    self.asked.set(Some(Instant::now()));
                    self.parts.view.set_reader(self.role() == Role::Reader);
                }
                let wait = Duration::from_millis(wait_ms.into()).min(WAIT_MAX);
                let synced_from = match is_here {
                    true => SyncedFrom::ThisDaemon,
                    false => SyncedFrom::Other,
                };
                let asker = Asker {
                    after: after.into(),
                    synced_from,
                    configuration: configuration.map(ConfigurationId::from),
                    belief,
                };
                let reply = self.watch(asker, wait).await;
                return self.send_changes(respond, asker, &reply).await;
            }
            ZoneRequest::Tell(failed) => self.apply_failed(&failed),
            ZoneRequest::Load(record) => self.answer_load(&record),
        };
        self.send_answer(respond, message::encode(&reply).into())
            .await
    }

    async fn send_answer(
        &self,
        mut respond: SendResponse<Bytes>,
        body: Bytes,
    ) -> Result<(), LinkError> {
        self.parts.metrics.zone_bytes_sent.inc_by(body.len() as u64);
        let mut stream = respond.send_response(Response::new(()), false)?;
        transport::send_body(&mut stream, body).await
    }

    /// Sends changes; a large answer waits until no other one is being sent, and if that takes too long, the asker is told
    /// to ask again.
    async fn send_changes(
        &self,
        respond: SendResponse<Bytes>,
        asker: Asker,
        reply: &ZoneReply,
    ) -> Result<(), LinkError> {
        let body = Bytes::from(message::encode(reply));
        if body.len() < LARGE_ANSWER {
            return self.send_answer(respond, body).await;
        }
        let turn = monoio::time::timeout(TURN_WAIT, self.large_answer.lock()).await;
        let Ok(turn) = turn else {
            Event::new("large_answer_postponed")
                .field("bytes", body.len())
                .info();
            let urgent = self.changes_since(asker).into_urgent(asker.after);
            let reply = ZoneReply::Busy(ChangeSetRecord::new(&urgent));
            return self
                .send_answer(respond, message::encode(&reply).into())
                .await;
        };
        log_large_answer(reply, body.len());
        let mut sending = pin!(self.send_answer(respond, body));
        match monoio::time::timeout(TURN_MAX, sending.as_mut()).await {
            Ok(sent) => sent,
            Err(_) => {
                drop(turn);
                sending.await
            }
        }
    }

    fn answer_meet(&self, members: Vec<MemberUpdate>) -> ZoneReply {
        let zone = members.first().map(|first| first.zone.clone());
        self.merge_members(members);
        let members = self.members.borrow();
        let others = members.iter().skip(1);
        let near = others.filter(|m| m.is_live() && Some(&*m.zone) == zone.as_deref());
        let near = near.choose_multiple(&mut rand::rng(), MEMBERS_MAX);
        let me = std::iter::once(members.me());
        ZoneReply::Met(me.chain(near).map(to_wire).collect())
    }

    pub(super) fn merge_members(&self, members: Vec<MemberUpdate>) {
        let now = Instant::now();
        for update in members {
            self.members.borrow_mut().merge(from_wire(update), now);
        }
    }

    /// Waits until there are changes or reports that the asker does not have, or the wait ends, and answers with them.
    async fn watch(&self, asker: Asker, wait: Duration) -> ZoneReply {
        let Asker { after, belief, .. } = asker;
        let began = Instant::now();
        let is_up_to_date =
            self.parts.view.version() <= after && self.parts.evidence.last_report() <= belief;
        if is_up_to_date && !wait.is_zero() {
            let _ = monoio::time::timeout(wait, self.parts.view.next_answer()).await;
        }
        let now = Instant::now();
        let (belief, silent) = self.parts.evidence.reports_after(belief, EVIDENCE_MAX, now);
        let silent = silent
            .iter()
            .map(|failed| FailedOpeningRecord::new(failed, now));
        let changes = self.changes_since(asker);
        let millis = |time: Duration| time.as_millis() as u64;
        ZoneReply::Changes(Changes {
            held_ms: began.elapsed().as_millis() as u32,
            age_ms: self.parts.view.age_with_suspensions().map(millis),
            regained_ms: self.parts.view.time_since_recovery().map(millis),
            news: ChangeSetRecord::new(&changes),
            silent: silent.collect(),
            belief,
            members: self.member_updates(),
        })
    }

    fn changes_since(&self, asker: Asker) -> ChangeSet {
        let Asker {
            after,
            synced_from,
            configuration,
            ..
        } = asker;
        let view = &self.parts.view;
        view.changes_since(after, synced_from, configuration)
    }
}

fn log_large_answer(reply: &ZoneReply, bytes: usize) {
    let ZoneReply::Changes(changes) = reply else {
        return;
    };
    Event::new("large_answer_sent")
        .field("bytes", bytes)
        .field("whole", changes.news.is_whole)
        .field("entries", changes.news.items.len())
        .field("revision", Version::from(changes.news.version))
        .info();
}
