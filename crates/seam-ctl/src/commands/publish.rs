//! `seamctl publish`.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use seam_config::PartSet;
use seam_config::diff::diff;
use snafu::{ResultExt, ensure};

use super::diff::show;
use super::{MANIFEST_FILE, part_file, published};
use crate::error::{BundleSnafu, ConfigSnafu, CtlError, FileSnafu, RacedSnafu};

/// Check the configuration, show what changes, and write the next revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// folder from which the platform's service takes its values
    #[argh(option)]
    out: PathBuf,

    /// refuse unless this revision is the one in the folder
    #[argh(option)]
    expect: Option<u64>,

    /// show what would change and write nothing
    #[argh(switch)]
    dry_run: bool,

    /// print the changes as JSON
    #[argh(switch)]
    json: bool,

    /// folders or files to gather
    #[argh(positional)]
    sources: Vec<PathBuf>,
}

impl Publish {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let mut bundle = seam_config::load_deployment(&self.sources).context(ConfigSnafu)?;
        let old = published(&self.out)?;
        let found = old.as_ref().map_or(0, |old| old.revision);
        let expected = self.expect.unwrap_or(found);
        let path = self.out.clone();
        ensure!(
            found == expected,
            RacedSnafu {
                path,
                found,
                expected
            }
        );
        let differences = diff(old.as_ref(), &bundle);
        show(&differences, self.json)?;
        if differences.is_empty() {
            eprintln!("nothing changes; revision {found} stays");
            return Ok(ExitCode::SUCCESS);
        }
        bundle.revision = found + 1;
        bundle.parent = old.map(|old| old.digest);
        let set = seam_config::split(&bundle).context(BundleSnafu)?;
        if self.dry_run {
            eprintln!("dry run; revision {} was not written", bundle.revision);
            return Ok(ExitCode::SUCCESS);
        }
        write(&self.out, &set, found)?;
        eprintln!(
            "revision {} written to {}",
            bundle.revision,
            self.out.display()
        );
        Ok(ExitCode::SUCCESS)
    }
}

/// Writes the parts and then, in one step, the manifest.
///
/// A lock file keeps two operators of one folder apart; the second is refused.
fn write(folder: &Path, set: &PartSet, before: u64) -> Result<(), CtlError> {
    fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    let lock = folder.join("publish.lock");
    let held = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(&lock);
    held.context(FileSnafu { path: &lock })?;
    let written = write_locked(folder, set, before);
    fs::remove_file(&lock).context(FileSnafu { path: &lock })?;
    written
}

fn write_locked(folder: &Path, set: &PartSet, expected: u64) -> Result<(), CtlError> {
    let found = published(folder)?.map_or(0, |held| held.revision);
    let path = folder;
    ensure!(
        found == expected,
        RacedSnafu {
            path,
            found,
            expected
        }
    );
    for (digest, part) in &set.parts {
        let path = part_file(folder, digest);
        if !path.exists() {
            place(&path, part)?;
        }
    }
    place(&folder.join(MANIFEST_FILE), &set.manifest)
}

/// Writes a file so that a reader sees the old or the new one, never a half.
fn place(path: &Path, bytes: &[u8]) -> Result<(), CtlError> {
    let fresh = path.with_extension("new");
    fs::write(&fresh, bytes).context(FileSnafu { path: &fresh })?;
    fs::rename(&fresh, path).context(FileSnafu { path })
}
