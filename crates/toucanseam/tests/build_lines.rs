//! Lines of the log name the commit of the program that wrote them.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

use serde_json::Value;

/// Returns the commit that is checked out, `None` without a repository.
fn checked_out() -> Option<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join(".git").exists().then_some(())?;
    let mut git = Command::new("git");
    git.current_dir(root).args(["rev-parse", "HEAD"]);
    let output = git.output().ok().filter(|output| output.status.success())?;
    let commit = String::from_utf8(output.stdout).ok()?;
    Some(commit.trim().to_owned())
}

/// Guards against a record of which nobody can tell the build that wrote it.
#[test]
fn build_first() {
    let folder = std::env::temp_dir().join(format!("seam-build-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("node.toml");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap();
    // Its port is taken, so the program says so and ends.
    let settings = format!(
        r#"
        name = "edge-1"
        region = "north"
        centre = "north-a"
        workers = 1
        [listen]
        caller = "{taken}"
        peer = "{taken}"
        admin = "{taken}"
        [items]
        store = "{taken}"
        readiness = "{taken}"
        [zones]
        north-a = "north"
        [log]
        format = "json"
        "#
    );
    std::fs::write(&path, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_toucanseam"))
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let stdout = child.stdout.take().expect("a pipe");
    let line = BufReader::new(stdout).lines().next();
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_dir_all(&folder);
    let line = line.expect("a line").expect("text");
    let fields: Value = serde_json::from_str(&line).expect("one JSON object");
    let build = fields["build"].as_str().expect("a build");
    assert!(
        line.starts_with(&format!("{{\"build\":\"{build}\",")),
        "{line}"
    );
    match checked_out() {
        Some(commit) => {
            assert_eq!(build.len(), 7);
            assert!(commit.starts_with(build), "{build} of {commit}");
        }
        None => assert_eq!(build, env!("CARGO_PKG_VERSION")),
    }
}
