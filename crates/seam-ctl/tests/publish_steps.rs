//! Commands that need no node, run as the built program.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("seamctl-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hamutenya");
    path.to_string_lossy().into_owned()
}

fn seamctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_seamctl"))
        .args(arguments)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_and_publish() {
    let out = Folder::new("publish");
    let folder = out.0.to_string_lossy().into_owned();
    let checked = seamctl(&["check", &example()]);
    assert!(checked.status.success());
    assert!(text(&checked.stdout).starts_with("valid: 3 regions, 9 VMs"));
    let diff = seamctl(&["diff", "--out", &folder, &example()]);
    assert_eq!(diff.status.code(), Some(3));
    assert!(text(&diff.stdout).contains("+ service \"booking-desk\""));
    let dry = seamctl(&["publish", "--dry-run", "--out", &folder, &example()]);
    assert!(dry.status.success());
    assert!(!out.0.join("manifest").exists());
    let first = seamctl(&["publish", "--out", &folder, &example()]);
    assert!(text(&first.stderr).contains("revision 1 written"));
    let again = seamctl(&["publish", "--out", &folder, &example()]);
    assert!(text(&again.stderr).contains("nothing changes; revision 1 stays"));
    let raced = seamctl(&["publish", "--expect", "5", "--out", &folder, &example()]);
    assert_eq!(raced.status.code(), Some(1));
    assert!(text(&raced.stderr).contains("revision 1 is already in"));
    assert!(text(&raced.stderr).contains("help: "));
}

#[test]
fn bad_arguments() {
    assert_eq!(seamctl(&["publsh"]).status.code(), Some(2));
    assert_eq!(seamctl(&["--help"]).status.code(), Some(0));
}

#[test]
fn bad_files() {
    let out = Folder::new("faults");
    fs::write(out.0.join("seam.toml"), "[customer.x]\nrat = 1\n").unwrap();
    let folder = out.0.to_string_lossy().into_owned();
    let checked = seamctl(&["check", &folder]);
    assert_eq!(checked.status.code(), Some(1));
    assert!(text(&checked.stderr).contains("did you mean \"rate\"?"));
}

#[test]
fn credentials() {
    let out = Folder::new("token");
    let file = out.0.join("token");
    fs::write(&file, "salon-windhoek-token\n").unwrap();
    let path = file.to_string_lossy().into_owned();
    let made = seamctl(&["credential", "--token-file", &path]);
    let digest = text(&made.stdout);
    let digest = digest.trim().strip_prefix("digest: ").unwrap();
    let salons = Path::new(&example()).join("customers/salons.seam.toml");
    assert!(fs::read_to_string(salons).unwrap().contains(digest));
}

#[test]
fn closed_pipe() {
    let command = format!("{} reference | head -n 1", env!("CARGO_BIN_EXE_seamctl"));
    let output = Command::new("sh").args(["-c", &command]).output().unwrap();
    assert!(output.stderr.is_empty(), "{}", text(&output.stderr));
}
