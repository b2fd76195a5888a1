//! Metrics of the daemon.
//!
//! Label values come from small enums, so that no datagram or document can add a time series.

pub use foxtailhinge_config::report::{
    MemberState,
    UpstreamState, //
};

use prometheus::{
    core::Collector,
    Gauge,
    GaugeVec,
    Histogram,
    HistogramOpts,
    IntCounter,
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry,
    TextEncoder, //
};
use std::marker::PhantomData;

/// A label with a fixed set of values.
pub trait Label: Copy + 'static {
    /// Name of the label.
    const NAME: &'static str;
    /// All values, in the order of [`index`](Self::index).
    const ALL: &'static [Self];

    /// Position of the value in [`ALL`](Self::ALL).
    fn index(self) -> usize;

    /// The value as written in the time series.
    fn label_value(self) -> &'static str;
}

macro_rules! labels {
    ($(
        $(#[$doc:meta])*
        enum $name:ident = $label:literal {
            $( $(#[$value_doc:meta])* $value:ident = $label_value:literal, )*
        }
    )*) => { $(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $( $(#[$value_doc])* $value, )*
        }

        label!($name = $label { $( $value = $label_value, )* });
    )* };
}

macro_rules! label {
    ($name:ident = $label:literal { $( $value:ident = $label_value:literal, )* }) => {
        impl Label for $name {
            const NAME: &'static str = $label;
            const ALL: &'static [Self] = &[ $( Self::$value, )* ];

            fn index(self) -> usize {
                self as usize
            }

            fn label_value(self) -> &'static str {
                match self {
                    $( Self::$value => $label_value, )*
                }
            }
        }
    };
}

labels! {
    /// Result of a datagram from a caller.
    enum DatagramResult = "result" {
        /// It was accepted for further processing.
        Accepted = "accepted",
        /// It is not a CoAP request.
        Malformed = "malformed",
        /// Its ticket has a wrong authentication code.
        Forged = "forged",
        /// Its ticket is for another service.
        ForeignService = "foreign_service",
        /// Its ticket has a wrong length or version.
        Garbled = "garbled",
        /// Its ticket is sealed with a key that is no longer accepted.
        ExpiredKey = "expired_key",
        /// Its service has no document in force.
        NoService = "no_service",
    }

    /// Why a flow ended.
    enum FlowEnd = "reason" {
        /// The caller released it.
        Released = "released",
        /// It had no packets for the idle timeout.
        Idle = "idle",
        /// Its availability zone was taken out of service.
        ZoneOut = "zone_out",
        /// Its upstream was removed from the document.
        UpstreamRemoved = "upstream_removed",
        /// Its service was removed.
        ServiceRemoved = "service_removed",
        /// Its reservation was not confirmed in time.
        Unconfirmed = "unconfirmed",
    }

    /// Outcome of a request.
    enum RequestOutcome = "outcome" {
        /// The upstream answered.
        Answered = "answered",
        /// The upstream did not receive it.
        NotRun = "not_run",
        /// The upstream may have run it.
        Unknown = "unknown",
        /// The caller cancelled it.
        Cancelled = "cancelled",
    }

    /// Why a request was dropped without an answer; the caller retransmits it.
    enum RequestDrop = "cause" {
        /// This daemon accepts no new work until it has synced.
        Fenced = "fenced",
        /// Too many requests wait for an upstream that is being claimed.
        Claiming = "claiming",
        /// Daemons with different views forwarded it too often.
        Bounced = "bounced",
        /// This daemon owns the upstream according to its view, but does not hold it.
        NotHeld = "not_held",
        /// Another daemon forwarded it for a service that is unknown here, or with a ticket that is invalid here.
        Foreign = "foreign",
    }

    /// Result of a call to the platform.
    enum PlatformResult = "result" {
        /// It answered.
        Answered = "answered",
        /// It could not be reached, did not answer in time, or its answer could not be read.
        Failed = "failed",
    }

    /// Result of a hand-over of an upstream to its next owner.
    enum HandOverResult = "result" {
        /// The next owner confirmed it.
        Confirmed = "confirmed",
        /// This daemon received it from the previous owner.
        Received = "received",
    }
}

label!(MemberState = "state" {
    Live = "live",
    Suspect = "suspect",
    Leaving = "leaving",
    Dead = "dead",
});

label!(UpstreamState = "state" {
    Warm = "warm",
    Cold = "cold",
    Shedding = "shedding",
    Draining = "draining",
    Gone = "gone",
});

/// Counters of one metric, one for each label value.
#[derive(Clone, Debug)]
pub struct Counters<L> {
    children: Vec<IntCounter>,
    label: PhantomData<L>,
}

impl<L: Label> Counters<L> {
    pub(crate) fn new(registry: &Registry, name: &str, help: &str) -> Self {
        let opts = Opts::new(name, help);
        let family = register(registry, IntCounterVec::new(opts, &[L::NAME]));
        let children = L::ALL
            .iter()
            .map(|l| family.with_label_values(&[l.label_value()]));
        Self {
            children: children.collect(),
            label: PhantomData,
        }
    }

    /// Increments one counter by one.
    pub fn inc(&self, label: L) {
        self.children[label.index()].inc();
    }

    /// Increments one counter by `n`.
    pub fn inc_by(&self, label: L, n: u64) {
        self.children[label.index()].inc_by(n);
    }

    /// Raises one counter to a total that is counted outside the registry.
    pub fn raise_to(&self, label: L, total: u64) {
        raise_to(&self.children[label.index()], total);
    }

    /// Returns the value of one counter.
    pub fn get(&self, label: L) -> u64 {
        self.children[label.index()].get()
    }
}

/// Gauges of one metric, one for each label value.
#[derive(Clone, Debug)]
pub struct Gauges<L> {
    children: Vec<IntGauge>,
    label: PhantomData<L>,
}

impl<L: Label> Gauges<L> {
    pub(crate) fn new(registry: &Registry, name: &str, help: &str) -> Self {
        let opts = Opts::new(name, help);
        let family = register(registry, IntGaugeVec::new(opts, &[L::NAME]));
        let children = L::ALL
            .iter()
            .map(|l| family.with_label_values(&[l.label_value()]));
        Self {
            children: children.collect(),
            label: PhantomData,
        }
    }

    /// Sets one gauge.
    pub fn set(&self, label: L, value: i64) {
        self.children[label.index()].set(value);
    }

    /// Sets each gauge to the number of items in `labels` with its label value.
    pub fn count(&self, labels: impl IntoIterator<Item = L>) {
        let mut counts = vec![0; L::ALL.len()];
        for label in labels {
            counts[label.index()] += 1;
        }
        for (child, count) in self.children.iter().zip(counts) {
            child.set(count);
        }
    }

    /// Returns the value of one gauge.
    pub fn get(&self, label: L) -> i64 {
        self.children[label.index()].get()
    }
}

/// All metrics of one daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Datagrams from callers.
    pub datagrams: Counters<DatagramResult>,
    /// Flows that were opened.
    pub flows_opened: IntCounter,
    /// Flows that ended.
    pub flows_ended: Counters<FlowEnd>,
    /// Flows held now by the upstreams that this daemon owns.
    pub flows_held: IntGauge,
    /// Requests that ended.
    pub requests: Counters<RequestOutcome>,
    /// Requests that were dropped without an answer.
    pub requests_dropped: Counters<RequestDrop>,
    /// Requests in progress now.
    pub requests_in_progress: IntGauge,
    /// Copies of a request that were answered with the response to the first one.
    pub copies_joined: IntCounter,
    /// New flows that were passed to the next candidate upstream.
    pub bounces: IntCounter,
    /// Datagrams relayed to another daemon.
    pub relay_sent: IntCounter,
    /// Requests also sent through another daemon because their owner does not answer.
    pub relay_around: IntCounter,
    /// Datagrams relayed from another daemon.
    pub relay_received: IntCounter,
    /// Answers of upstreams that came too late and were dropped.
    pub late_answers: IntCounter,
    /// Requests that were retried.
    pub retries: IntCounter,
    /// Messages on links that could not be opened with the fleet's keys.
    pub links_refused: IntCounter,
    /// Datagrams of peers that could not be opened with the fleet's keys.
    pub peers_refused: IntCounter,
    /// Documents put in force.
    pub documents_applied: IntCounter,
    /// Documents refused because of their findings.
    pub documents_refused: IntCounter,
    /// Calls to the platform.
    pub platform_calls: Counters<PlatformResult>,
    /// Current members of the fleet by state.
    pub members: Gauges<MemberState>,
    /// Upstreams that this daemon owns now, by state.
    pub upstreams: Gauges<UpstreamState>,
    /// Tasks restarted after a failure.
    pub task_restarts: IntCounter,
    /// Pauses after which the daemon fenced itself.
    pub pauses_fenced: IntCounter,
    /// Hand-overs of upstreams between owners.
    pub hand_overs: Counters<HandOverResult>,
}

impl Metrics {
    /// Creates all metrics in a new registry.
    pub fn new() -> Self {
        let registry = Registry::new();
        let r = &registry;
        Self {
            datagrams: Counters::new(
                r,
                "foxtailhinge_datagrams_total",
                "Datagrams from callers by result.",
            ),
            flows_opened: counter(r, "foxtailhinge_flows_opened_total", "Flows opened."),
            flows_ended: Counters::new(
                r,
                "foxtailhinge_flows_ended_total",
                "Flows ended by reason.",
            ),
            flows_held: gauge(
                r,
                "foxtailhinge_flows_held",
                "Flows held by the upstreams owned here.",
            ),
            requests: Counters::new(
                r,
                "foxtailhinge_requests_total",
                "Requests ended by outcome.",
            ),
            requests_dropped: Counters::new(
                r,
                "foxtailhinge_requests_dropped_total",
                "Requests dropped without an answer by cause.",
            ),
            requests_in_progress: gauge(
                r,
                "foxtailhinge_requests_in_progress",
                "Requests in progress.",
            ),
            copies_joined: counter(
                r,
                "foxtailhinge_copies_joined_total",
                "Copies of a request answered with the first one's answer.",
            ),
            bounces: counter(
                r,
                "foxtailhinge_bounces_total",
                "New flows passed to the next candidate.",
            ),
            relay_sent: counter(
                r,
                "foxtailhinge_relay_sent_total",
                "Datagrams relayed to another daemon.",
            ),
            relay_around: counter(
                r,
                "foxtailhinge_relay_around_total",
                "Requests also sent through another daemon because their owner does not answer.",
            ),
            relay_received: counter(
                r,
                "foxtailhinge_relay_received_total",
                "Datagrams relayed from another daemon.",
            ),
            late_answers: counter(
                r,
                "foxtailhinge_late_answers_total",
                "Late answers of upstreams that were dropped.",
            ),
            retries: counter(r, "foxtailhinge_retries_total", "Requests tried again."),
            links_refused: counter(
                r,
                "foxtailhinge_links_refused_total",
                "Messages on links dropped for a wrong key.",
            ),
            peers_refused: counter(
                r,
                "foxtailhinge_peers_refused_total",
                "Messages of peers dropped for a wrong key.",
            ),
            documents_applied: counter(
                r,
                "foxtailhinge_documents_applied_total",
                "Documents put in force.",
            ),
            documents_refused: counter(
                r,
                "foxtailhinge_documents_refused_total",
                "Documents refused for their findings.",
            ),
            platform_calls: Counters::new(
                r,
                "foxtailhinge_platform_calls_total",
                "Calls to the platform by result.",
            ),
            members: Gauges::new(r, "foxtailhinge_members", "Members of the fleet by state."),
            upstreams: Gauges::new(
                r,
                "foxtailhinge_upstreams",
                "Upstreams owned here by state.",
            ),
            task_restarts: counter(
                r,
                "foxtailhinge_task_restarts_total",
                "Tasks restarted after a failure.",
            ),
            pauses_fenced: counter(
                r,
                "foxtailhinge_pauses_fenced_total",
                "Pauses after which the daemon fenced itself.",
            ),
            hand_overs: Counters::new(
                r,
                "foxtailhinge_hand_overs_total",
                "Hand-overs of upstreams by result.",
            ),
            registry,
        }
    }

    /// Writes all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        render(&self.registry)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Writes all metrics of a registry in the text format of Prometheus.
pub(crate) fn render(registry: &Registry) -> String {
    TextEncoder::new()
        .encode_to_string(&registry.gather())
        .unwrap_or_else(|err| {
            log::error!("event=metrics_unwritten cause=\"{err}\"");
            String::new()
        })
}

pub(crate) fn histogram(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    register(registry, Histogram::with_opts(opts))
}

pub(crate) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(name, help))
}

pub(crate) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name, help))
}

pub(crate) fn float_gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    register(registry, Gauge::new(name, help))
}

/// Registers gauges with one label whose values come and go; the caller bounds their number.
pub(crate) fn float_gauges(registry: &Registry, name: &str, help: &str, label: &str) -> GaugeVec {
    register(registry, GaugeVec::new(Opts::new(name, help), &[label]))
}

/// Registers a metric. Names are constants, so an invalid or duplicate one is a programming error.
fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: prometheus::Result<C>,
) -> C {
    let collector = collector.expect("metric names and labels are valid");
    registry
        .register(Box::new(collector.clone()))
        .expect("metric names are unique");
    collector
}

/// Raises a counter to a total that is counted outside the registry.
pub fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
