//! Logs and counters of a fleet, printed when a test fails.

use crate::fleet::Fleet;
use std::fs;

/// Number of log lines shown of each daemon, counted from the end.
const LOG_LINES_MAX: usize = 40;
/// Counters shown of a running daemon when they are not zero.
const COUNTERS: [&str; 2] = [
    "foxtailhinge_requests_dropped_total",
    "foxtailhinge_task_restarts_total",
];
/// Events that are left out, because every run logs many of them.
const IGNORED_EVENTS: [&str; 2] = ["event=member-state", "event=document-applied"];

/// Returns the last log lines of all daemons, and the counters of the running ones.
pub(super) fn collect(fleet: &Fleet) -> String {
    let mut text = String::new();
    for vm in fleet.vms() {
        text += &format!("{vm}\n");
        text += &log(fleet, &vm);
        text += &counters(fleet, &vm);
    }
    text
}

fn log(fleet: &Fleet, vm: &str) -> String {
    let path = fleet.dir.join(format!("{vm}.log"));
    let log = fs::read_to_string(path).unwrap_or_default();
    let ignored = |line: &&str| IGNORED_EVENTS.iter().any(|event| line.contains(event));
    let lines: Vec<&str> = log.lines().filter(|line| !ignored(line)).collect();
    let first = lines.len().saturating_sub(LOG_LINES_MAX);
    lines[first..].join("\n") + "\n"
}

fn counters(fleet: &Fleet, vm: &str) -> String {
    let metrics = fleet.metrics(vm).unwrap_or_default();
    let shown = |line: &&str| {
        let is_nonzero = !line.ends_with(" 0");
        is_nonzero && COUNTERS.iter().any(|name| line.starts_with(name))
    };
    metrics
        .lines()
        .filter(shown)
        .map(|line| format!("{line}\n"))
        .collect()
}
