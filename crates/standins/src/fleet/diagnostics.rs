//! What a fleet leaves behind for those who look for the cause of a failed test.

use crate::fleet::Fleet;
use std::fs;

/// Log lines shown of one daemon, the last ones.
const LINES: usize = 40;
/// Counters shown of a running daemon, when they are above zero.
const COUNTERS: [&str; 2] = [
    "foxtailhinge_requests_dropped_total",
    "foxtailhinge_task_restarts_total",
];
/// Events that every run has in large numbers.
const USUAL: [&str; 2] = ["event=member-state", "event=document-applied"];

/// Returns the last log lines of all daemons, and what the running ones counted.
pub(super) fn of(fleet: &Fleet) -> String {
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
    let usual = |line: &&str| USUAL.iter().any(|event| line.contains(event));
    let lines: Vec<&str> = log.lines().filter(|line| !usual(line)).collect();
    let first = lines.len().saturating_sub(LINES);
    lines[first..].join("\n") + "\n"
}

fn counters(fleet: &Fleet, vm: &str) -> String {
    let metrics = fleet.metrics(vm).unwrap_or_default();
    let shown = |line: &&str| {
        let counted = !line.ends_with(" 0");
        counted && COUNTERS.iter().any(|name| line.starts_with(name))
    };
    metrics
        .lines()
        .filter(shown)
        .map(|line| format!("{line}\n"))
        .collect()
}
