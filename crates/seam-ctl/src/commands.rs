//! The commands, one file each.

mod audit;
mod check;
mod credential;
mod diff;
mod drain;
mod entries;
mod explain;
mod publish;
mod reference;
mod status;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use seam_config::{PartSet, assemble};
use seam_protocol::Bundle;
use serde_json::Value;
use snafu::ResultExt;

use crate::error::{BundleSnafu, CtlError, FileSnafu};

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(check::Check),
    Publish(publish::Publish),
    Diff(diff::Diff),
    Status(status::Status),
    Entries(entries::Entries),
    Explain(explain::Explain),
    Drain(drain::Drain),
    Audit(audit::Audit),
    Credential(credential::Credential),
    Reference(reference::Reference),
}

/// Runs a command.
pub fn run(command: Command) -> Result<ExitCode, CtlError> {
    match command {
        Command::Check(command) => command.run(),
        Command::Publish(command) => command.run(),
        Command::Diff(command) => command.run(),
        Command::Status(command) => command.run(),
        Command::Entries(command) => command.run(),
        Command::Explain(command) => command.run(),
        Command::Drain(command) => command.run(),
        Command::Audit(command) => command.run(),
        Command::Credential(command) => command.run(),
        Command::Reference(_) => Ok(reference::Reference::run()),
    }
}

/// Name of the manifest's file.
pub const MANIFEST_FILE: &str = "manifest";

/// Returns the file of a part.
fn part_file(folder: &Path, digest: impl std::fmt::Display) -> PathBuf {
    folder.join(format!("part-{digest}"))
}

/// Reads the bundle that a folder holds, `None` if it holds none.
fn published(folder: &Path) -> Result<Option<Bundle>, CtlError> {
    let path = folder.join(MANIFEST_FILE);
    if !path.exists() {
        return Ok(None);
    }
    let manifest = std::fs::read(&path).context(FileSnafu { path })?;
    let read = seam_config::bundle::parse_manifest(&manifest).context(BundleSnafu)?;
    let mut parts = std::collections::BTreeMap::new();
    for digest in read.parts.values() {
        let path = part_file(folder, digest);
        let part = std::fs::read(&path).context(FileSnafu { path })?;
        parts.insert(*digest, part);
    }
    let bundle = assemble(&PartSet { manifest, parts }).context(BundleSnafu)?;
    Ok(Some(bundle))
}

/// Prints a value as JSON.
fn print_json(value: &Value) {
    say!("{value:#}");
}

/// Returns a field as text, for tables.
fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Prints rows with aligned columns.
fn print_table(head: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = head.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let line = |cells: Vec<&str>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line: Vec<String> = padded.collect();
        say!("{}", line.join("  ").trim_end());
    };
    line(head.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}

/// Prints the fields of a list of objects as a table.
fn print_list(list: &Value, fields: &[&str]) {
    let rows: Vec<Vec<String>> = list
        .as_array()
        .into_iter()
        .flatten()
        .map(|item| fields.iter().map(|field| cell(&item[*field])).collect())
        .collect();
    print_table(fields, &rows);
}
