//! Metrics of a daemon that forwards packets.

use crate::metrics::{
    counter,
    float_gauge,
    float_gauges,
    gauge,
    histogram,
    render,
    Counters,
    Gauges,
    Label,
    PlatformResult, //
};
use foxtailhinge_config::packet_report::UpstreamStanding;
use foxtailhinge_policy::packets::{
    DropReason,
    ResetReason,
    ServiceLoad,
    Verdict, //
};
use prometheus::{
    Gauge,
    GaugeVec,
    Histogram,
    IntCounter,
    IntGauge,
    Registry, //
};
use std::{
    cmp::Ordering,
    time::Duration, //
};

/// Maximum number of services with time series of their load; the store may list thousands.
pub const SERVICES_MAX: usize = 32;

/// Bounds of the histogram of answer times, in seconds: from an ordinary request to the longest time budgets.
const ANSWER_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0];

/// Bounds of the histogram of list calls, in seconds.
const LIST_BUCKETS: [f64; 8] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1.0];

/// Bounds of the histograms of delays of changes, in seconds.
const DELAY_BUCKETS: [f64; 9] = [0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 6.0];

/// Outcome of a packet from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketResult {
    /// The packet opened a flow.
    Opened,
    /// The packet went to the upstream of its flow.
    Forwarded,
    /// The opening packet is delayed while all callers return at once.
    Waits,
    /// The flow was reset because its address has no route.
    ResetNoRoute,
    /// The flow was reset because its service has no usable upstream.
    ResetNoUpstream,
    /// The flow was reset because its upstream is considered dead.
    ResetDeadUpstream,
    /// The opening was rejected because the service cannot serve all callers in time.
    ResetOverload,
    /// The opening was rejected because this daemon's link, socket or processor is overloaded.
    ResetOwnDelay,
    /// Dropped: the daemon has no configuration yet.
    DroppedNoView,
    /// Dropped: no route is known, and the view is too old to exclude one.
    DroppedUncertainRoute,
    /// Dropped: the label names no known upstream.
    DroppedUnknownLabel,
    /// Dropped: the service has no usable upstream now, but may get one.
    DroppedNoUpstream,
    /// Dropped: the opening packet could not be delayed, or was delayed for too long.
    DroppedDelayed,
    /// The datagram is not a valid packet.
    Malformed,
    /// The kernel had no room to send the packet.
    Unsent,
}

impl Label for PacketResult {
    const NAME: &'static str = "result";
    const ALL: &'static [Self] = &[
        Self::Opened,
        Self::Forwarded,
        Self::Waits,
        Self::ResetNoRoute,
        Self::ResetNoUpstream,
        Self::ResetDeadUpstream,
        Self::ResetOverload,
        Self::ResetOwnDelay,
        Self::DroppedNoView,
        Self::DroppedUncertainRoute,
        Self::DroppedUnknownLabel,
        Self::DroppedNoUpstream,
        Self::DroppedDelayed,
        Self::Malformed,
        Self::Unsent,
    ];

    fn index(self) -> usize {
        self as usize
    }

    fn label_value(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Forwarded => "forwarded",
            Self::Waits => "waits",
            Self::ResetNoRoute => "reset_no_route",
            Self::ResetNoUpstream => "reset_no_upstream",
            Self::ResetDeadUpstream => "reset_dead_upstream",
            Self::ResetOverload => "reset_overload",
            Self::ResetOwnDelay => "reset_own_delay",
            Self::DroppedNoView => "dropped_no_view",
            Self::DroppedUncertainRoute => "dropped_uncertain_route",
            Self::DroppedUnknownLabel => "dropped_unknown_label",
            Self::DroppedNoUpstream => "dropped_no_upstream",
            Self::DroppedDelayed => "dropped_delayed",
            Self::Malformed => "malformed",
            Self::Unsent => "unsent",
        }
    }
}

impl From<&Verdict> for PacketResult {
    fn from(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::Open(_) => Self::Opened,
            Verdict::Forward { .. } => Self::Forwarded,
            Verdict::Wait { .. } => Self::Waits,
            Verdict::Reset(ResetReason::NoRoute) => Self::ResetNoRoute,
            Verdict::Reset(ResetReason::NoUpstream) => Self::ResetNoUpstream,
            Verdict::Reset(ResetReason::DeadUpstream) => Self::ResetDeadUpstream,
            Verdict::Reset(ResetReason::Overload) => Self::ResetOverload,
            Verdict::Reset(ResetReason::OwnDelay) => Self::ResetOwnDelay,
            Verdict::Drop(DropReason::NoView) => Self::DroppedNoView,
            Verdict::Drop(DropReason::UncertainRoute) => Self::DroppedUncertainRoute,
            Verdict::Drop(DropReason::UnknownLabel) => Self::DroppedUnknownLabel,
            Verdict::Drop(DropReason::NoUpstream) => Self::DroppedNoUpstream,
        }
    }
}

/// Outcome of a request to another daemon of the zone for its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneResult {
    /// The daemon passed on its view.
    Fed,
    /// The daemon's view is too old, or it has none.
    Old,
    /// The daemon did not answer, or gave an unexpected answer.
    Failed,
}

impl Label for ZoneResult {
    const NAME: &'static str = "result";
    const ALL: &'static [Self] = &[Self::Fed, Self::Old, Self::Failed];

    fn index(self) -> usize {
        self as usize
    }

    fn label_value(self) -> &'static str {
        match self {
            Self::Fed => "fed",
            Self::Old => "old",
            Self::Failed => "failed",
        }
    }
}

impl Label for UpstreamStanding {
    const NAME: &'static str = "state";
    const ALL: &'static [Self] = &Self::ALL;

    fn index(self) -> usize {
        self as usize
    }

    fn label_value(self) -> &'static str {
        self.as_str()
    }
}

/// Loads of the busiest services, with the service as label.
#[derive(Clone, Debug)]
struct LoadGauges {
    utilization: GaugeVec,
    service_time: GaugeVec,
    refusal_rate: GaugeVec,
    admitted: GaugeVec,
    leaving: GaugeVec,
}

impl LoadGauges {
    fn new(registry: &Registry) -> Self {
        let gauges = |name, help| float_gauges(registry, name, help, "service");
        Self {
            utilization: gauges(
                "foxtailhinge_service_utilization",
                "Requests at the service's upstreams in the zone, running or waiting, per slot.",
            ),
            service_time: gauges(
                "foxtailhinge_service_time_seconds",
                "Mean time of processing and queueing at the service's upstreams in the zone.",
            ),
            refusal_rate: gauges(
                "foxtailhinge_service_refusal_rate",
                "Share of answers of the service's upstreams in the zone that are refusals.",
            ),
            admitted: gauges(
                "foxtailhinge_service_admitted_share",
                "Share of openings of the service that are admitted.",
            ),
            leaving: gauges(
                "foxtailhinge_service_leaving_share",
                "Share of flows of the service that go to other zones.",
            ),
        }
    }

    /// Sets the time series of these services and removes all others.
    fn set(&self, loads: &[&ServiceLoad]) {
        let Self {
            utilization,
            service_time,
            refusal_rate,
            admitted,
            leaving,
        } = self;
        for gauges in [utilization, service_time, refusal_rate, admitted, leaving] {
            gauges.reset();
        }
        for load in loads {
            let service = [&*load.service];
            let set = |gauges: &GaugeVec, value| gauges.with_label_values(&service).set(value);
            set(utilization, load.utilization);
            set(refusal_rate, load.refusal_rate);
            set(admitted, load.admitted);
            set(leaving, load.leaving_share());
            if let Some(time) = load.service_time {
                set(service_time, time.as_secs_f64());
            }
        }
    }
}

/// Services whose callers are rejected or leave the zone come first, then the busiest ones.
fn by_importance(a: &ServiceLoad, b: &ServiceLoad) -> Ordering {
    let is_limited = |load: &ServiceLoad| load.admitted < 1.0 || load.leaving_share() > 0.0;
    is_limited(b)
        .cmp(&is_limited(a))
        .then(b.utilization.total_cmp(&a.utilization))
        .then_with(|| a.service.cmp(&b.service))
}

/// All metrics of one daemon that forwards packets.
#[derive(Clone, Debug)]
pub struct PacketMetrics {
    registry: Registry,
    /// Packets from callers by outcome.
    pub packets: Counters<PacketResult>,
    /// Packets that callers retransmitted because they got no answer.
    pub retransmissions: IntCounter,
    /// Flows with state in this daemon.
    pub flows: IntGauge,
    /// Upstreams by their standing for new flows.
    pub upstreams: Gauges<UpstreamStanding>,
    /// Time from a request to the first sign of its answer, in seconds.
    pub answer_seconds: Histogram,
    /// Calls of the store by result.
    pub store_calls: Counters<PlatformResult>,
    /// Time of a list call of the store, in seconds.
    pub list_seconds: Histogram,
    /// Longest time for which the store can have been available again before this daemon noticed, in seconds.
    pub return_seconds: Histogram,
    /// Longest time that a change with a deadline can have waited, without outages of the store, in seconds.
    pub change_delay_seconds: Histogram,
    /// Requests to other daemons of the zone for their views, by result.
    pub zone_requests: Counters<ZoneResult>,
    /// Bytes of messages sent to other daemons.
    pub zone_bytes_sent: IntCounter,
    /// Bytes of messages received from other daemons.
    pub zone_bytes_received: IntCounter,
    /// Daemons of the zone that are known and live, this one included.
    pub zone_members: IntGauge,
    /// Revision of the store up to which the view is complete.
    pub view_revision: IntGauge,
    /// Restorations of the store from a copy that this daemon has lived through.
    pub restorations: IntCounter,
    /// Entries that are to be written again after a restoration.
    pub awaited_entries: IntGauge,
    /// Time since the store last confirmed the view, in milliseconds.
    pub view_age_ms: IntGauge,
    /// Version of the configuration in force.
    pub configuration: IntGauge,
    /// Loads of the busiest services.
    loads: LoadGauges,
    /// Time for which this daemon's own link, socket or processor delays packets, in seconds.
    own_delay: Gauge,
    /// Tasks restarted after a failure.
    pub task_restarts: IntCounter,
    /// Log lines lost because nobody read them.
    pub log_lines_lost: IntGauge,
}

impl PacketMetrics {
    /// Registers all metrics in a registry of their own.
    pub fn new() -> Self {
        let registry = Registry::new();
        let r = &registry;
        Self {
            packets: Counters::new(
                r,
                "foxtailhinge_packets_total",
                "Packets from callers by result.",
            ),
            retransmissions: counter(
                r,
                "foxtailhinge_repeats_total",
                "Packets that callers retransmitted because they got no answer.",
            ),
            flows: gauge(r, "foxtailhinge_flows", "Flows remembered."),
            upstreams: Gauges::new(
                r,
                "foxtailhinge_upstreams",
                "Known upstreams by their standing for new flows.",
            ),
            answer_seconds: histogram(
                r,
                "foxtailhinge_answer_seconds",
                "Time from a request to the first sign of its answer.",
                &ANSWER_BUCKETS,
            ),
            store_calls: Counters::new(
                r,
                "foxtailhinge_store_calls_total",
                "Calls of the store by result.",
            ),
            list_seconds: histogram(
                r,
                "foxtailhinge_store_list_seconds",
                "Time of a list call of the store.",
                &LIST_BUCKETS,
            ),
            return_seconds: histogram(
                r,
                "foxtailhinge_store_return_seconds",
                "Longest time for which the store can have been available again before this daemon noticed.",
                &DELAY_BUCKETS,
            ),
            change_delay_seconds: histogram(
                r,
                "foxtailhinge_change_delay_seconds",
                "Longest time that a change with a deadline can have waited, without outages of the store.",
                &DELAY_BUCKETS,
            ),
            zone_requests: Counters::new(
                r,
                "foxtailhinge_zone_requests_total",
                "Requests to other daemons of the zone for their views, by result.",
            ),
            zone_bytes_sent: counter(
                r,
                "foxtailhinge_zone_sent_bytes_total",
                "Bytes of messages sent to other daemons.",
            ),
            zone_bytes_received: counter(
                r,
                "foxtailhinge_zone_received_bytes_total",
                "Bytes of messages received from other daemons.",
            ),
            zone_members: gauge(
                r,
                "foxtailhinge_zone_members",
                "Daemons of the zone that are known and live, this one included.",
            ),
            view_revision: gauge(
                r,
                "foxtailhinge_view_revision",
                "Revision of the store up to which the view is complete.",
            ),
            restorations: counter(
                r,
                "foxtailhinge_store_restorations_total",
                "Restorations of the store from a copy that this daemon has lived through.",
            ),
            awaited_entries: gauge(
                r,
                "foxtailhinge_awaited_entries",
                "Entries that are to be written again after a restoration.",
            ),
            view_age_ms: gauge(
                r,
                "foxtailhinge_view_age_milliseconds",
                "Time since the store last confirmed the view; -1 before the first list.",
            ),
            configuration: gauge(
                r,
                "foxtailhinge_configuration_version",
                "Version of the configuration in force.",
            ),
            loads: LoadGauges::new(r),
            own_delay: float_gauge(
                r,
                "foxtailhinge_own_delay_seconds",
                "Time for which this daemon's own link, socket or processor delays packets.",
            ),
            task_restarts: counter(
                r,
                "foxtailhinge_task_restarts_total",
                "Tasks restarted after a failure.",
            ),
            log_lines_lost: gauge(
                r,
                "foxtailhinge_log_lines_lost",
                "Log lines lost because nobody read them.",
            ),
            registry,
        }
    }

    /// Sets the loads of the busiest services, at most [`SERVICES_MAX`], and this daemon's own delay.
    pub fn set_loads(&self, loads: &[ServiceLoad], own_delay: Duration) {
        let mut loads: Vec<_> = loads.iter().collect();
        loads.sort_unstable_by(|a, b| by_importance(a, b));
        loads.truncate(SERVICES_MAX);
        self.loads.set(&loads);
        self.own_delay.set(own_delay.as_secs_f64());
    }

    /// Writes all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        render(&self.registry)
    }
}

impl Default for PacketMetrics {
    fn default() -> Self {
        Self::new()
    }
}
