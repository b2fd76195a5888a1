//! What a run is measured by, and its tables.

use hdrhistogram::Histogram;
use std::{
    fmt,
    time::Duration, //
};

const US_MAX: u64 = 3_600_000_000;

/// Measures over the requests that first arrived in one span of the run.
pub(crate) struct Span {
    wait: Histogram<u64>,
    total: Histogram<u64>,
    /// Requests that were answered within the deadline.
    pub(crate) in_time: u64,
    /// Requests answered after it.
    pub(crate) late: u64,
    /// Requests never served: refused for good, or timed out.
    pub(crate) failed: u64,
    /// Refusals, each one of a caller that comes back counted.
    pub(crate) refusals: u64,
    /// Requests sent to upstreams, retries included.
    pub(crate) sent: u64,
    /// Requests that upstreams shed.
    pub(crate) shed: u64,
    /// Bounces of new flows.
    pub(crate) bounces: u64,
    /// New flows that were admitted.
    pub(crate) admitted: u64,
    /// Requests for each upstream.
    pub(crate) by_upstream: Vec<u64>,
    /// Microseconds of service for each upstream.
    pub(crate) busy_us: Vec<u64>,
    /// Most flows of an upstream over the mean, at the start of the span.
    pub(crate) flows_imbalance: f64,
    worst_imbalance: f64,
    worst_busy: f64,
}

impl Span {
    pub(crate) fn new(upstreams: usize) -> Self {
        let histogram = || Histogram::new_with_max(US_MAX, 3).expect("bounds are valid");
        Self {
            wait: histogram(),
            total: histogram(),
            in_time: 0,
            late: 0,
            failed: 0,
            refusals: 0,
            sent: 0,
            shed: 0,
            bounces: 0,
            admitted: 0,
            by_upstream: vec![0; upstreams],
            busy_us: vec![0; upstreams],
            worst_busy: 0.0,
            flows_imbalance: 0.0,
            worst_imbalance: 0.0,
        }
    }

    /// Counts a wait from arrival to the first start.
    pub(crate) fn record_wait(&mut self, wait: Duration) {
        self.wait.saturating_record(wait.as_micros() as u64);
    }

    /// Counts a whole answer time.
    pub(crate) fn record_answer(&mut self, total: Duration, in_time: bool) {
        self.total.saturating_record(total.as_micros() as u64);
        if in_time {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
    }

    /// Mean wait in milliseconds.
    pub(crate) fn mean_wait_ms(&self) -> f64 {
        self.wait.mean() / 1e3
    }

    /// 99th percentile of the wait in milliseconds.
    pub(crate) fn p99_wait_ms(&self) -> f64 {
        self.wait.value_at_quantile(0.99) as f64 / 1e3
    }

    /// 99th percentile of the answer time in milliseconds.
    pub(crate) fn p99_total_ms(&self) -> f64 {
        self.total.value_at_quantile(0.99) as f64 / 1e3
    }

    /// Requests that ended one way or another.
    pub(crate) fn requests(&self) -> u64 {
        self.in_time + self.late + self.failed
    }

    /// Share of requests answered in time, in percent.
    pub(crate) fn in_time_percent(&self) -> f64 {
        percent(self.in_time, self.requests())
    }

    /// Refusals for each hundred requests and refusals.
    pub(crate) fn refused_percent(&self) -> f64 {
        percent(self.refusals, self.refusals + self.in_time + self.late)
    }

    /// Adds the measures of a run with another seed.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.wait.add(&other.wait).expect("bounds are equal");
        self.total.add(&other.total).expect("bounds are equal");
        self.in_time += other.in_time;
        self.late += other.late;
        self.failed += other.failed;
        self.refusals += other.refusals;
        self.sent += other.sent;
        self.shed += other.shed;
        self.bounces += other.bounces;
        self.admitted += other.admitted;
        self.worst_busy = self.worst_busy().max(other.worst_busy());
        self.flows_imbalance = self.flows_imbalance.max(other.flows_imbalance);
        self.worst_imbalance = self.worst_imbalance().max(other.worst_imbalance());
    }

    /// Largest imbalance of the runs merged.
    pub(crate) fn worst_imbalance(&self) -> f64 {
        self.worst_imbalance.max(self.imbalance())
    }

    /// Largest imbalance of the service time, of the runs merged.
    pub(crate) fn worst_busy(&self) -> f64 {
        self.worst_busy.max(max_over_mean(&self.busy_us))
    }

    /// Requests never served, in percent.
    pub(crate) fn failed_percent(&self) -> f64 {
        percent(self.failed, self.requests())
    }

    /// Requests sent to upstreams for each request of a caller.
    pub(crate) fn sent_per_request(&self) -> f64 {
        self.sent as f64 / self.requests().max(1) as f64
    }

    /// Share of the requests sent that upstreams shed, in percent.
    pub(crate) fn shed_percent(&self) -> f64 {
        percent(self.shed, self.sent)
    }

    /// Bounces for each admitted flow.
    pub(crate) fn bounces_per_flow(&self) -> f64 {
        self.bounces as f64 / self.admitted.max(1) as f64
    }

    /// Most requests of an upstream over the mean.
    fn imbalance(&self) -> f64 {
        max_over_mean(&self.by_upstream)
    }
}

/// Largest of `counts` over their mean.
pub(crate) fn max_over_mean(counts: &[u64]) -> f64 {
    let max = counts.iter().copied().max().unwrap_or(0) as f64;
    let sum: u64 = counts.iter().sum();
    max * counts.len() as f64 / sum.max(1) as f64
}

/// `part` of `whole` in percent.
pub(crate) fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

/// A plain table in Markdown.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(head: &[&str]) -> Self {
        Self {
            rows: vec![head.iter().map(ToString::to_string).collect()],
        }
    }

    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows[0].len();
        let width = |c: usize| self.rows.iter().map(|row| row[c].len()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for (i, row) in self.rows.iter().enumerate() {
            for (cell, width) in row.iter().zip(&widths) {
                write!(f, "| {cell:width$} ")?;
            }
            writeln!(f, "|")?;
            if i == 0 {
                for width in &widths {
                    write!(f, "|{:-<1$}", "", width + 2)?;
                }
                writeln!(f, "|")?;
            }
        }
        Ok(())
    }
}
