//! `foxtailctl check`.

use crate::{
    error::{
        Outcome,
        UsageError, //
    },
    output::print_json, //
};
use foxtailhinge_config::{
    bounds,
    check::{
        Checker,
        FileKind, //
    },
    finding::Findings, //
};
use serde::Serialize;
use std::{
    fs::File,
    io::Read,
    path::{
        Path,
        PathBuf, //
    },
};

#[derive(Serialize)]
struct Report {
    files: Vec<FileReport>,
}

#[derive(Serialize)]
struct FileReport {
    file: String,
    kind: Option<FileKind>,
    findings: Findings,
}

/// Checks files and prints all findings.
pub(crate) fn run(files: &[PathBuf], json: bool) -> anyhow::Result<Outcome> {
    let mut checker = Checker::default();
    let mut reports = Vec::new();
    for file in files {
        reports.push(check(&mut checker, file)?);
    }
    let report = Report { files: reports };
    if json {
        print_json(&report)?;
    } else {
        print_text(&report);
    }
    Ok(match count(&report) {
        0 => Outcome::Success,
        _ => Outcome::Findings,
    })
}

fn check(checker: &mut Checker, path: &Path) -> Result<FileReport, UsageError> {
    let bytes = read(path, bounds::TEXT_BYTES_MAX)?;
    let file = path.display().to_string();
    let (kind, findings) = match checker.check(&file, &bytes) {
        Ok(kind) => (Some(kind), Findings::default()),
        Err(findings) => (None, findings),
    };
    Ok(FileReport {
        file,
        kind,
        findings,
    })
}

/// Reads a file up to one byte above `max`, the limit of the checker, which suffices to find that it is too long.
pub(crate) fn read(path: &Path, max: usize) -> Result<Vec<u8>, UsageError> {
    let mut bytes = Vec::new();
    let file = File::open(path).map(|file| file.take(max as u64 + 1));
    file.and_then(|mut file| file.read_to_end(&mut bytes))
        .map_err(|e| UsageError::File(path.to_path_buf(), e))?;
    Ok(bytes)
}

fn print_text(report: &Report) {
    for file in &report.files {
        match file.kind {
            Some(FileKind::Document) => println!("{}: good document", file.file),
            Some(FileKind::Settings) => println!("{}: good settings", file.file),
            None => println!("{}", file.findings),
        }
    }
    let (files, findings) = (report.files.len(), count(report));
    println!("Files checked: {files}, findings: {findings}.");
}

fn count(report: &Report) -> usize {
    report.files.iter().map(|f| f.findings.len()).sum()
}
