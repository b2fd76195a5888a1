//! Which daemons read the platform, and when.
//!
//! In each zone the daemons ranked highest for a fixed name watch the platform; the others learn
//! from peers. A daemon to which no news of the platform comes, not even through peers, reads for
//! itself at a rate that all daemons together share.

use super::{
    client::{
        Client,
        PlatformError, //
    },
    message::{
        DocumentList,
        VmList,
        VmState, //
    },
};
use crate::members::{
    fence::Voucher,
    Control,
    Source, //
};
use foxtailhinge_policy::{
    members::Listed,
    rendezvous, //
};
use foxtailhinge_wire::message::DocumentRecord;
use futures::join;
use rand::Rng;
use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Name for which the daemons of a zone are ranked as readers.
const READER: &str = "platform-reader";

/// Shortest back-off after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// Time between two looks at whether this daemon has become a reader.
const RANK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the platform when it is this daemon's turn.
pub struct Reader {
    control: Rc<Control>,
    client: Client,
    vms_revision: Cell<Option<u64>>,
}

impl Reader {
    /// Creates a reader.
    pub fn new(control: Rc<Control>) -> Self {
        Self {
            client: Client::new(control.clone()),
            control,
            vms_revision: Cell::new(None),
        }
    }

    /// Reads documents and VMs without end.
    pub async fn run(&self) {
        if self.control.settings().platform.is_none() {
            return;
        }
        self.start().await;
        join!(self.read_documents(), self.read_vms());
    }

    /// Returns whether this daemon is one of the readers of its zone.
    pub fn is_reader(&self) -> bool {
        is_reader(&self.control)
    }

    async fn read_documents(&self) {
        let mut backoff = Backoff::new(self.control.settings().limits.platform_backoff);
        let mut listed = false;
        loop {
            self.turn().await;
            let began = Instant::now();
            let since = self.control.documents().synced();
            let wait = self.control.settings().limits.watch;
            let result = match listed || since > 0 {
                true => self.client.watch_documents(since, wait).await,
                false => self.client.documents().await,
            };
            match result {
                Ok(list) => {
                    listed = true;
                    let idle = list.documents.is_empty() && began.elapsed() < wait / 2;
                    let stale = list.revision < since;
                    self.take_documents(list, since, began);
                    self.pace(idle || stale, &mut backoff).await;
                }
                Err(err) => self.fail("documents", &err, &mut backoff).await,
            }
        }
    }

    async fn read_vms(&self) {
        let mut backoff = Backoff::new(self.control.settings().limits.platform_backoff);
        loop {
            self.turn().await;
            let began = Instant::now();
            let wait = self.control.settings().limits.watch;
            let result = match self.vms_revision.get() {
                Some(since) => self.client.watch_vms(since, wait).await,
                None => self.client.vms().await,
            };
            match result {
                Ok(list) => {
                    let idle = !self.take_vms(list) && began.elapsed() < wait / 2;
                    self.pace(idle, &mut backoff).await;
                }
                Err(err) => self.fail("vms", &err, &mut backoff).await,
            }
        }
    }

    fn take_documents(&self, list: DocumentList, since: u64, began: Instant) {
        if list.revision < since {
            log::warn!(
                "event=platform_stale revision={} known={since}",
                list.revision
            );
            return;
        }
        for document in list.documents {
            let record = DocumentRecord {
                service: document.service,
                revision: document.revision,
                text: document.text.filter(|_| !document.removed),
            };
            self.control.apply_document(record, &Source::Platform);
        }
        self.control.documents_mut().set_synced(list.revision);
        self.control.confirm(Instant::now());
        let by = match self.is_alone() {
            true => Voucher::PlatformAlone,
            false => Voucher::Platform,
        };
        self.control.synced(by, began);
    }

    /// Returns whether the list is newer than the one known.
    fn take_vms(&self, list: VmList) -> bool {
        let known = self.vms_revision.get();
        if known.is_some_and(|known| list.revision <= known) {
            return false;
        }
        self.vms_revision.set(Some(list.revision));
        let listed = list.vms.into_iter().map(|vm| Listed {
            vm: vm.id,
            zone: vm.zone,
            relay: vm.relay,
            control: vm.control,
            leaving: vm.state == VmState::Leaving,
        });
        self.control.members_mut().list(listed, Instant::now());
        self.control.probe_wake.set();
        true
    }

    /// Backs off from a platform that answers a watch at once though it has nothing new.
    async fn pace(&self, idle: bool, backoff: &mut Backoff) {
        if !idle {
            backoff.reset();
            return;
        }
        let pause = backoff.next(&mut *self.control.rng());
        monoio::time::sleep(pause).await;
    }

    async fn fail(&self, call: &str, err: &PlatformError, backoff: &mut Backoff) {
        let pause = backoff.next(&mut *self.control.rng());
        log::info!("event=platform_call_failed call={call} cause=\"{err}\"");
        monoio::time::sleep(pause).await;
    }

    /// Waits until this daemon is a reader, or for long has had no news of the platform.
    async fn turn(&self) {
        while !self.is_reader() {
            if self.is_silent() {
                monoio::time::sleep(self.share_delay()).await;
                if self.is_silent() {
                    return;
                }
            }
            monoio::time::sleep(RANK_INTERVAL).await;
        }
    }

    fn is_silent(&self) -> bool {
        let silence = self.control.settings().limits.silence;
        let confirmed = self.control.confirmed();
        confirmed.is_none_or(|at| at.elapsed() >= silence)
    }

    fn is_alone(&self) -> bool {
        let members = self.control.members();
        let zone = &members.me().zone;
        members.iter().filter(|m| m.zone == *zone).count() <= 1
    }

    /// Reads the VM list first, which tells how many daemons share the platform's rate.
    async fn start(&self) {
        monoio::time::sleep(self.share_delay()).await;
        match self.client.vms().await {
            Ok(list) => {
                self.take_vms(list);
            }
            Err(err) => log::info!("event=platform_call_failed call=vms cause=\"{err}\""),
        }
        monoio::time::sleep(self.share_delay()).await;
    }

    /// Draws a wait such that all daemons together stay within their share of calls.
    fn share_delay(&self) -> Duration {
        let rate = self.control.settings().limits.platform_rate;
        let daemons = self.control.members().len() as f64;
        let longest = 2.0 * daemons / f64::from(rate);
        Duration::from_secs_f64(longest * self.control.rng().random::<f64>())
    }
}

/// Back-off that doubles up to a bound and is spread at random.
#[derive(Debug)]
struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    fn new(max: Duration) -> Self {
        Self {
            next: BACKOFF_MIN,
            max,
        }
    }

    fn reset(&mut self) {
        self.next = BACKOFF_MIN;
    }

    fn next(&mut self, rng: &mut impl Rng) -> Duration {
        let pause = self.next.mul_f64(rng.random_range(0.5..1.5));
        self.next = (self.next * 2).min(self.max);
        pause
    }
}

/// Returns whether a daemon with this control state is one of the readers of its zone.
pub fn is_reader(control: &Control) -> bool {
    let members = control.members();
    let me = members.me();
    let zone = members.live_in_zone(&me.zone).map(|m| m.vm.as_ref());
    let readers = rendezvous::ranked(READER, zone, control.settings().limits.readers);
    readers.contains(&me.vm.as_ref())
}
