//! Reports of failed openings and silent upstreams between the daemons of a zone.

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

/// Minimum interval between two messages, which bounds the bytes sent.
const GAP: Duration = Duration::from_millis(100);

impl Zone {
    /// Reports openings that failed here to the daemon that this one follows; never returns.
    pub async fn report_failures(self: Rc<Self>) {
        loop {
            let failed = self.parts.evidence.take_failed(EVIDENCE_MAX).await;
            if let Some(reader) = self.reader_addr() {
                self.send_failures(reader, &failed).await;
                self.parts.timer.sleep(GAP).await;
            }
        }
    }

    /// Address of the daemon that this one follows.
    fn reader_addr(&self) -> Option<SocketAddr> {
        let followed = self.followed()?;
        let members = self.members.borrow();
        members.get(&followed).map(|member| member.control)
    }

    async fn send_failures(&self, reader: SocketAddr, failed: &[FailedOpening]) {
        let now = Instant::now();
        let records = failed.iter().map(|one| FailedOpeningRecord::new(one, now));
        let request = ZoneRequest::Tell(records.collect());
        if let Err(err) = self.request(reader, &request, Duration::ZERO).await {
            Event::new("evidence_lost")
                .field("reader", reader)
                .field("openings", failed.len())
                .field("cause", err)
                .debug();
        }
    }

    /// Applies failed openings that another daemon reports; a relay also reports them to the daemon that it follows.
    pub(super) fn apply_failed(&self, failed: &[FailedOpeningRecord]) -> ZoneReply {
        let failed = recent(failed);
        self.parts
            .path
            .apply_peer_reports(failed.iter().copied().map(PeerReport::Failed));
        if let Role::Relay(_) = self.role() {
            self.parts.evidence.add_failed(failed);
        }
        ZoneReply::Noted
    }

    /// Applies upstreams that another daemon considers silent.
    pub(super) fn apply_silent(&self, silent: &[FailedOpeningRecord]) {
        let silent = recent(silent).into_iter();
        self.parts
            .path
            .apply_peer_reports(silent.map(PeerReport::Silent));
    }
}

/// The reports of another daemon that are recent enough to use.
fn recent(records: &[FailedOpeningRecord]) -> Vec<FailedOpening> {
    let now = Instant::now();
    let records = records.iter().take(EVIDENCE_MAX);
    records.filter_map(|record| record.decode(now)).collect()
}
