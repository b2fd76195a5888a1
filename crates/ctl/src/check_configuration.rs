//! `foxtailctl check --configuration`.

use crate::{
    check::read,
    error::Outcome,
    output::print_json,
    table::Table, //
};
use foxtailhinge_config::{
    bounds,
    configuration_difference::Change,
    finding::{
        RatedFinding,
        Severity, //
    },
};
use foxtailhinge_platform::configuration::{
    check,
    Text, //
};
use serde::Serialize;
use std::path::Path;

#[derive(Serialize)]
struct Report {
    file: String,
    in_force: Option<String>,
    errors: usize,
    warnings: usize,
    findings: Vec<RatedFinding>,
    /// `null` without a configuration in force, and if one of the two cannot be read.
    changes: Option<Vec<Change>>,
}

/// Checks a configuration of packet mode, and prints all findings and what differs from the one in force.
pub(crate) fn run(path: &Path, in_force: Option<&Path>, json: bool) -> anyhow::Result<Outcome> {
    let report = report(path, in_force)?;
    if json {
        print_json(&report)?;
    } else {
        print_text(&report);
    }
    Ok(match report.errors {
        0 => Outcome::Success,
        _ => Outcome::Findings,
    })
}

fn report(path: &Path, in_force: Option<&Path>) -> anyhow::Result<Report> {
    let read = |path| read(path, bounds::CONFIGURATION_BYTES_MAX);
    let bytes = read(path)?;
    let file = path.display().to_string();
    let old_bytes = in_force.map(read).transpose()?;
    let old_file = in_force.map(|path| path.display().to_string());
    let old = old_file.as_deref().zip(old_bytes.as_deref());
    let new = Text {
        file: &file,
        bytes: &bytes,
    };
    let checked = check(new, old.map(|(file, bytes)| Text { file, bytes }));
    let findings = checked.findings;
    let count = |severity| findings.iter().filter(|f| f.severity == severity).count();
    Ok(Report {
        in_force: old_file,
        errors: count(Severity::Error),
        warnings: count(Severity::Warning),
        findings,
        changes: checked.changes,
        file,
    })
}

fn print_text(report: &Report) {
    for finding in &report.findings {
        println!("{finding}");
    }
    if report.findings.is_empty() {
        println!("{}: good configuration", report.file);
    }
    let (errors, warnings) = (report.errors, report.warnings);
    let counts = format!("Errors: {errors}, warnings: {warnings}");
    match (&report.changes, &report.in_force) {
        (Some(changes), _) => {
            print_changes(changes);
            println!("{counts}, changes: {}.", changes.len());
        }
        (None, Some(_)) => println!("{counts}; not compared."),
        (None, None) => println!("{counts}."),
    }
}

fn print_changes(changes: &[Change]) {
    if changes.is_empty() {
        return;
    }
    let mut table = Table::new(["change", "entry", "field", "in force", "new", "effect"]);
    for change in changes {
        let entry = match &change.name {
            Some(name) => format!("{} {name}", change.subject),
            None => change.subject.to_string(),
        };
        table.push([
            change.kind.to_string(),
            entry,
            or_dash(change.field.as_ref()),
            or_dash(change.in_force.as_ref()),
            or_dash(change.new.as_ref()),
            or_dash(change.effect.as_ref()),
        ]);
    }
    print!("\n{table}\n");
}

fn or_dash<T: ToString>(cell: Option<&T>) -> String {
    cell.map_or_else(|| "-".to_string(), T::to_string)
}
