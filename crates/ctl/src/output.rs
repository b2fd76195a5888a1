//! JSON output.

use anyhow::Context;
use serde::Serialize;

/// Prints a report as one JSON value, with indentation.
pub(crate) fn print_json<T: Serialize>(report: &T) -> anyhow::Result<()> {
    let text = serde_json::to_string_pretty(report).context("The report could not be written.")?;
    println!("{text}");
    Ok(())
}

/// Prints a report as one line of JSON.
pub(crate) fn print_json_line<T: Serialize>(report: &T) -> anyhow::Result<()> {
    let text = serde_json::to_string(report).context("The report could not be written.")?;
    println!("{text}");
    Ok(())
}
