//! The subcommands, one file each.

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

/// Subcommand to run.
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

/// Runs a subcommand.
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

/// File name of the manifest in a published folder.
pub const MANIFEST_FILE: &str = "manifest";

/// Returns the path of a part's file.
fn part_file(folder: &Path, digest: impl std::fmt::Display) -> PathBuf {
    folder.join(format!("part-{digest}"))
}

/// Reads the published bundle of a folder, `None` without a manifest.
fn read_published(folder: &Path) -> Result<Option<Bundle>, CtlError> {
    let path = folder.join(MANIFEST_FILE);
    if !path.exists() {
        return Ok(None);
    }
    let manifest = std::fs::read(&path).context(FileSnafu { path })?;
    let parsed = seam_config::bundle::parse_manifest(&manifest).context(BundleSnafu)?;
    let mut parts = std::collections::BTreeMap::new();
    for digest in parsed.parts.values() {
        let path = part_file(folder, digest);
        let part = std::fs::read(&path).context(FileSnafu { path })?;
        parts.insert(*digest, part);
    }
    let bundle = assemble(&PartSet { manifest, parts }).context(BundleSnafu)?;
    Ok(Some(bundle))
}

/// Prints a value as JSON.
fn print_json(value: &Value) {
    print_line!("{value:#}");
}

/// Returns a JSON value as the text of a table cell.
fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Prints rows with aligned columns.
fn print_table(titles: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = titles.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let print_row = |cells: Vec<&str>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line: Vec<String> = padded.collect();
        print_line!("{}", line.join("  ").trim_end());
    };
    print_row(titles.to_vec());
    for row in rows {
        print_row(row.iter().map(String::as_str).collect());
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
