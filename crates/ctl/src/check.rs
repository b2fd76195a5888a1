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
    io::{
        self,
        Read, //
    },
    path::{
        Path,
        PathBuf, //
    },
};

/// Files are read up to one byte above the limit of the checker, which suffices to find that they are too long.
const READ_BYTES: u64 = bounds::TEXT_BYTES_MAX as u64 + 1;

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
    let bytes = read(path)?;
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

/// Reads a file as far as the checker accepts it.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>, UsageError> {
    let mut bytes = Vec::new();
    let mut read =
        || -> io::Result<_> { File::open(path)?.take(READ_BYTES).read_to_end(&mut bytes) };
    read().map_err(|e| UsageError::File(path.to_path_buf(), e))?;
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
