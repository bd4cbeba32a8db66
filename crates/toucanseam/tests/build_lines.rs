//! Lines of the log name the commit of the program that wrote them, also why it could not start.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use seam_emulator::server::free_address;
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

/// Creates a folder for settings.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("seam-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Returns a command that starts a program, which serves callers at an address.
fn program(folder: &Path, caller: SocketAddr) -> Command {
    let path = folder.join("node.toml");
    let [peer, admin, store, readiness] = [(); 4].map(|()| free_address());
    let settings = format!(
        r#"
        name = "edge-1"
        region = "north"
        centre = "north-a"
        workers = 1
        [listen]
        caller = "{caller}"
        peer = "{peer}"
        admin = "{admin}"
        [items]
        store = "{store}"
        readiness = "{readiness}"
        [zones]
        north-a = "north"
        [log]
        format = "json"
        "#
    );
    std::fs::write(&path, settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_toucanseam"));
    command.arg("--settings").arg(&path).stdout(Stdio::piped());
    command
}

/// Returns the first line of a program, `None` if it ends without one, as another process has taken a port.
fn first_line(folder: &Path) -> Option<String> {
    let mut child = program(folder, free_address())
        .spawn()
        .expect("the program starts");
    let stdout = child.stdout.take().expect("a pipe");
    let line = BufReader::new(stdout).lines().next();
    let _ = child.kill();
    let _ = child.wait();
    line.map(|line| line.expect("text"))
}

/// Guards against a record of which nobody can tell the build that wrote it.
#[test]
fn build_first() {
    const MAX_TRIES: usize = 20;
    let folder = folder("build");
    let line = (0..MAX_TRIES).find_map(|_| first_line(&folder));
    let _ = std::fs::remove_dir_all(&folder);
    let line = line.expect("a line");
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

/// Guards against a program that cannot start and ends before the line that says why is written.
#[test]
fn failed_start() {
    const STARTS: usize = 20;
    let taken = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let caller = taken.local_addr().unwrap();
    let folder = folder("failed");
    for _ in 0..STARTS {
        let output = program(&folder, caller)
            .output()
            .expect("the program starts");
        assert!(!output.status.success());
        let lines = String::from_utf8(output.stdout).expect("text");
        assert!(lines.contains(&caller.to_string()), "{lines:?}");
    }
    let _ = std::fs::remove_dir_all(&folder);
}
