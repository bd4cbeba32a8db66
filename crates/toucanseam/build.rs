//! Passes the commit that is built to the program, as `BUILD_COMMIT`: seven characters, or the version of the
//! crate for sources without a repository.

use std::fs;
use std::path::{Path, PathBuf};

/// Characters of a commit in log lines.
const COMMIT_CHARS: usize = 7;

fn main() {
    println!("cargo:rerun-if-changed=build.rs");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let commit = commit(&root.join(".git"));
    let commit = commit.filter(|commit| commit.len() >= COMMIT_CHARS && commit.is_ascii());
    let build = match &commit {
        Some(commit) => &commit[..COMMIT_CHARS],
        None => env!("CARGO_PKG_VERSION"),
    };
    println!("cargo:rustc-env=BUILD_COMMIT={build}");
}

/// Reads a file, and has this program run again when the file changes.
fn read(path: &Path) -> Option<String> {
    // Cargo runs a build script each time if it names a path that does not exist. A directory changes when
    // a file is created in it.
    let present = path.ancestors().find(|path| path.exists())?;
    println!("cargo:rerun-if-changed={}", present.display());
    let text = fs::read_to_string(path).ok()?;
    Some(text.trim().to_owned())
}

/// Returns the directory that a file names, relative to that file's directory.
fn named_directory(file: &Path, name: &str) -> Option<PathBuf> {
    Some(file.parent()?.join(name))
}

/// Returns the commit that is checked out. `git` is the repository's directory, or of a worktree the file that
/// names it.
fn commit(git: &Path) -> Option<String> {
    let directory = if git.is_file() {
        named_directory(git, read(git)?.strip_prefix("gitdir: ")?)?
    } else {
        git.to_owned()
    };
    if !directory.is_dir() {
        return None;
    }
    let head = read(&directory.join("HEAD"))?;
    let Some(reference) = head.strip_prefix("ref: ") else {
        return Some(head);
    };
    let common_file = directory.join("commondir");
    let common = if common_file.is_file() {
        directory.join(read(&common_file)?)
    } else {
        directory
    };
    read(&common.join(reference)).or_else(|| {
        let packed = read(&common.join("packed-refs"))?;
        let mut lines = packed.lines().filter_map(|line| line.split_once(' '));
        let (commit, _) = lines.find(|(_, name)| *name == reference)?;
        Some(commit.to_owned())
    })
}
