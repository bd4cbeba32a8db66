//! `seamctl publish`.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use seam_config::PartSet;
use seam_config::diff::diff;
use snafu::{ResultExt, ensure};

use super::diff::print_differences;
use super::{MANIFEST_FILE, part_file, read_published};
use crate::error::{BundleSnafu, ConfigSnafu, CtlError, FileSnafu, RevisionConflictSnafu};

/// Check the configuration, show what changes, and write the next revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// folder with the published manifest and parts, which the platform's service reads
    #[argh(option)]
    out: PathBuf,

    /// fail unless the folder holds this revision
    #[argh(option)]
    expect: Option<u64>,

    /// show what would change and write nothing
    #[argh(switch)]
    dry_run: bool,

    /// print the changes as JSON
    #[argh(switch)]
    json: bool,

    /// configuration files, or folders to search for them
    #[argh(positional)]
    sources: Vec<PathBuf>,
}

impl Publish {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let mut bundle = seam_config::load_deployment(&self.sources).context(ConfigSnafu)?;
        let old = read_published(&self.out)?;
        let found = old.as_ref().map_or(0, |old| old.revision);
        let expected = self.expect.unwrap_or(found);
        let path = self.out.clone();
        ensure!(
            found == expected,
            RevisionConflictSnafu {
                path,
                found,
                expected
            }
        );
        let differences = diff(old.as_ref(), &bundle);
        print_differences(&differences, self.json)?;
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
        write_parts(&self.out, &set, found)?;
        eprintln!(
            "revision {} written to {}",
            bundle.revision,
            self.out.display()
        );
        Ok(ExitCode::SUCCESS)
    }
}

/// Writes the parts, then replaces the manifest atomically.
///
/// Fails if the lock file exists, since another operator is then publishing to this folder.
fn write_parts(folder: &Path, set: &PartSet, expected: u64) -> Result<(), CtlError> {
    fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    let lock = folder.join("publish.lock");
    let lock_file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(&lock);
    lock_file.context(FileSnafu { path: &lock })?;
    let result = write_locked(folder, set, expected);
    fs::remove_file(&lock).context(FileSnafu { path: &lock })?;
    result
}

fn write_locked(folder: &Path, set: &PartSet, expected: u64) -> Result<(), CtlError> {
    let found = read_published(folder)?.map_or(0, |bundle| bundle.revision);
    let path = folder;
    ensure!(
        found == expected,
        RevisionConflictSnafu {
            path,
            found,
            expected
        }
    );
    for (digest, part) in &set.parts {
        let path = part_file(folder, digest);
        if !path.exists() {
            write_atomically(&path, part)?;
        }
    }
    write_atomically(&folder.join(MANIFEST_FILE), &set.manifest)
}

/// Replaces a file atomically, so that a reader never sees a partly written one.
fn write_atomically(path: &Path, bytes: &[u8]) -> Result<(), CtlError> {
    let temporary = path.with_extension("new");
    fs::write(&temporary, bytes).context(FileSnafu { path: &temporary })?;
    fs::rename(&temporary, path).context(FileSnafu { path })
}
