//! Evidence about upstreams that the daemons of a zone share.

use super::{
    message::{
        FailedOpeningRecord,
        ZoneReply,
        ZoneRequest,
        EVIDENCE_MAX, //
    },
    Zone,
};
use crate::logging::Event;
use foxtailhinge_policy::packets::{
    FailedOpening,
    PeerReport,
    Role, //
};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Shortest time between two messages, which bounds their bytes.
const GAP: Duration = Duration::from_millis(100);

impl Zone {
    /// Tells the daemon that is followed of openings that failed here, without end.
    pub async fn report_failures(self: Rc<Self>) {
        loop {
            let failed = self.parts.evidence.take_failed(EVIDENCE_MAX).await;
            if let Some(reader) = self.reader_addr() {
                self.tell_one(reader, &failed).await;
                self.parts.timer.sleep(GAP).await;
            }
        }
    }

    /// Address of the daemon that is followed.
    fn reader_addr(&self) -> Option<SocketAddr> {
        let followed = self.followed()?;
        let members = self.members.borrow();
        members.get(&followed).map(|member| member.control)
    }

    async fn tell_one(&self, reader: SocketAddr, failed: &[FailedOpening]) {
        let now = Instant::now();
        let records = failed.iter().map(|one| FailedOpeningRecord::new(one, now));
        let request = ZoneRequest::Tell(records.collect());
        if let Err(err) = self.ask(reader, &request, Duration::ZERO).await {
            Event::new("evidence_lost")
                .field("reader", reader)
                .field("openings", failed.len())
                .field("cause", err)
                .debug();
        }
    }

    /// Takes in openings that failed at another daemon.
    pub(super) fn told(&self, failed: &[FailedOpeningRecord]) -> ZoneReply {
        let failed = read(failed);
        self.parts
            .path
            .apply_peer_evidence(failed.iter().copied().map(PeerReport::Failed));
        if let Role::Relay(_) = self.role() {
            self.parts.evidence.add_failed(failed);
        }
        ZoneReply::Noted
    }

    /// Takes in upstreams that count as silent at another daemon.
    pub(super) fn hear_silent(&self, silent: &[FailedOpeningRecord]) {
        let silent = read(silent).into_iter();
        self.parts
            .path
            .apply_peer_evidence(silent.map(PeerReport::Silent));
    }
}

/// What is new enough of what another daemon tells.
fn read(told: &[FailedOpeningRecord]) -> Vec<FailedOpening> {
    let now = Instant::now();
    let told = told.iter().take(EVIDENCE_MAX);
    told.filter_map(|record| record.decode(now)).collect()
}
