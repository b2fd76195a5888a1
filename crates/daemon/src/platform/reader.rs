//! Decides which daemons read the platform, and when.
//!
//! In each zone the daemons ranked highest for a fixed key watch the platform; the others get its
//! state from peers. A daemon that gets no updates, not even through peers, reads the platform
//! itself, at a rate that all daemons share.

use super::{
    client::Client,
    message::{
        DocumentList,
        RefusedEntry,
        VmList,
        VmState, //
    },
};
use crate::{
    members::{
        fence::SyncSource,
        Control,
        Source as Origin, //
    },
    store::{
        follow,
        BackoffLimits,
        Progress,
        Source,
        StoreError, //
    },
};
use foxtailhinge_policy::{
    members::ListedVm,
    rendezvous,
    revisions::{
        split_era,
        with_era, //
    }, //
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

/// Rendezvous hashing key by which the daemons of a zone are ranked as readers.
const READER: &str = "platform-reader";

/// Back-off after the first failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// Interval at which a daemon checks whether it has become a reader.
const RANK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the platform while this daemon is a reader of its zone, or its copy of the state is stale.
pub struct Reader {
    control: Rc<Control>,
    client: Client,
    vms_revision: Cell<Option<u64>>,
}

impl Reader {
    /// Creates a reader that has read nothing yet.
    pub fn new(control: Rc<Control>) -> Self {
        Self {
            client: Client::new(control.clone()),
            control,
            vms_revision: Cell::new(None),
        }
    }

    /// Reads documents and VMs; returns only if the settings name no platform.
    pub async fn run(&self) {
        if self.control.settings().platform.is_none() {
            return;
        }
        self.start().await;
        let documents = DocumentSource {
            reader: self,
            listed: Cell::new(false),
        };
        let vms = VmSource { reader: self };
        join!(follow(&documents), follow(&vms));
    }

    /// Returns whether this daemon is one of the readers of its zone.
    pub fn is_reader(&self) -> bool {
        is_reader(&self.control)
    }

    fn apply_documents(&self, list: DocumentList, since: u64, began: Instant) {
        let revision = with_era(list.era, list.revision);
        if revision < since {
            log::warn!("event=platform_stale revision={revision} known={since}");
            return;
        }
        log_refused("documents", &list.documents.refused);
        for document in list.documents.usable {
            let record = DocumentRecord {
                service: document.service,
                revision: with_era(document.era, document.revision),
                text: document.text.filter(|_| !document.removed),
            };
            self.control.apply_document(record, &Origin::Platform);
        }
        self.control.documents_mut().set_synced(revision);
        self.control.confirm(Instant::now());
        let by = match self.is_alone() {
            true => SyncSource::PlatformAlone,
            false => SyncSource::Platform,
        };
        self.control.on_synced(by, began);
    }

    /// Applies a list; returns whether it is newer than the last one.
    fn apply_vms(&self, list: VmList) -> bool {
        let revision = with_era(list.era, list.revision);
        let known = self.vms_revision.get();
        if known.is_some_and(|known| revision <= known) {
            return false;
        }
        self.vms_revision.set(Some(revision));
        log_refused("vms", &list.vms.refused);
        let listed = list.vms.usable.into_iter().map(|vm| ListedVm {
            vm: vm.id,
            zone: vm.zone,
            relay: vm.relay,
            control: vm.control,
            leaving: vm.state == VmState::Leaving,
        });
        self.control
            .members_mut()
            .apply_list(listed, Instant::now());
        self.control.probe_wake.set();
        true
    }

    fn record_failure(&self, call: &str, err: &StoreError) {
        log::info!("event=platform_call_failed call={call} cause=\"{err}\"");
    }

    fn backoff_limits(&self) -> BackoffLimits {
        BackoffLimits {
            backoff_min: BACKOFF_MIN,
            backoff_max: self.control.settings().limits.platform_backoff,
            interval_max: Duration::MAX,
        }
    }

    /// Result of a call, by whether the answer has changes and how long it took.
    fn progress(&self, has_changes: bool, began: Instant) -> Progress {
        Progress::of(
            has_changes,
            began,
            self.control.settings().limits.watch_timeout,
        )
    }

    /// Waits until this daemon is a reader or its copy of the platform's state is stale.
    async fn wait_turn(&self) {
        while !self.is_reader() {
            if self.is_stale() {
                monoio::time::sleep(self.share_delay()).await;
                if self.is_stale() {
                    return;
                }
            }
            monoio::time::sleep(RANK_INTERVAL).await;
        }
    }

    fn is_stale(&self) -> bool {
        let stale_after = self.control.settings().limits.platform_stale_after;
        let confirmed = self.control.confirmed();
        confirmed.is_none_or(|at| at.elapsed() >= stale_after)
    }

    fn is_alone(&self) -> bool {
        let members = self.control.members();
        let zone = &members.me().zone;
        members.iter().filter(|m| m.zone == *zone).count() <= 1
    }

    /// Reads the VM list first, because it shows how many daemons share the platform's rate.
    async fn start(&self) {
        monoio::time::sleep(self.share_delay()).await;
        match self.client.vms().await {
            Ok(list) => {
                self.apply_vms(list);
            }
            Err(err) => log::info!("event=platform_call_failed call=vms cause=\"{err}\""),
        }
        monoio::time::sleep(self.share_delay()).await;
    }

    /// Returns a random delay with which all daemons together stay within the rate of calls.
    fn share_delay(&self) -> Duration {
        let rate = self.control.settings().limits.platform_rate;
        let daemons = self.control.members().len() as f64;
        let longest = 2.0 * daemons / f64::from(rate);
        Duration::from_secs_f64(longest * self.control.rng().random::<f64>())
    }
}

/// The platform's documents as a source to list and watch.
struct DocumentSource<'r> {
    reader: &'r Reader,
    listed: Cell<bool>,
}

impl DocumentSource<'_> {
    fn apply(&self, list: DocumentList, since: u64, began: Instant) -> Progress {
        self.listed.set(true);
        let has_changes =
            !list.documents.usable.is_empty() && with_era(list.era, list.revision) >= since;
        self.reader.apply_documents(list, since, began);
        self.reader.progress(has_changes, began)
    }
}

impl Source for DocumentSource<'_> {
    fn position(&self) -> Option<u64> {
        let since = self.reader.control.documents().synced();
        (self.listed.get() || since > 0).then_some(since)
    }

    async fn wait_turn(&self) {
        self.reader.wait_turn().await;
    }

    async fn list(&self) -> Result<Progress, StoreError> {
        let began = Instant::now();
        let list = self.reader.client.documents().await?;
        Ok(self.apply(list, 0, began))
    }

    async fn watch(&self, after: u64) -> Result<Progress, StoreError> {
        let began = Instant::now();
        let wait = self.reader.control.settings().limits.watch_timeout;
        let (era, since) = split_era(after);
        let list = self.reader.client.watch_documents(since, wait).await?;
        if list.era > era {
            log::warn!("event=platform_restored era={} known={era}", list.era);
            return self.list().await;
        }
        Ok(self.apply(list, after, began))
    }

    async fn wait_until_due(&self) {}

    fn record_failure(&self, err: &StoreError) {
        self.reader.record_failure("documents", err);
    }

    fn backoff_limits(&self) -> BackoffLimits {
        self.reader.backoff_limits()
    }
}

/// The platform's VM list as a source to list and watch.
struct VmSource<'r> {
    reader: &'r Reader,
}

impl Source for VmSource<'_> {
    fn position(&self) -> Option<u64> {
        self.reader.vms_revision.get()
    }

    async fn wait_turn(&self) {
        self.reader.wait_turn().await;
    }

    async fn list(&self) -> Result<Progress, StoreError> {
        let began = Instant::now();
        let list = self.reader.client.vms().await?;
        let is_newer = self.reader.apply_vms(list);
        Ok(self.reader.progress(is_newer, began))
    }

    async fn watch(&self, after: u64) -> Result<Progress, StoreError> {
        let began = Instant::now();
        let wait = self.reader.control.settings().limits.watch_timeout;
        let (era, since) = split_era(after);
        let list = self.reader.client.watch_vms(since, wait).await?;
        if list.era > era {
            return self.list().await;
        }
        let is_newer = self.reader.apply_vms(list);
        Ok(self.reader.progress(is_newer, began))
    }

    async fn wait_until_due(&self) {}

    fn record_failure(&self, err: &StoreError) {
        self.reader.record_failure("vms", err);
    }

    fn backoff_limits(&self) -> BackoffLimits {
        self.reader.backoff_limits()
    }
}

fn log_refused(list: &str, refused: &[RefusedEntry]) {
    for RefusedEntry { index, cause } in refused {
        log::warn!("event=platform_entry_refused list={list} index={index} cause={cause:?}");
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
