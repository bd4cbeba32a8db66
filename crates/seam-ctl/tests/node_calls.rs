//! Commands that call a running node.

use std::fs;
use std::process::{Command, Output};

use seam_fleet::{OPERATE_TOKEN, WINDHOEK_TOKEN, with_fleet};

fn seamctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_seamctl"))
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn every_command() {
    let folder = std::env::temp_dir().join(format!("seamctl-{}-node", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.join(name);
        fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    };
    let token = write("operate", OPERATE_TOKEN);
    let wrong = write("wrong", "nothing");
    let customer = write("customer", WINDHOEK_TOKEN);
    with_fleet(|fleet| async move {
        let admin = fleet.node("khomas-1").listen.admin.to_string();
        let caller = fleet.caller_address("khomas-1").to_string();
        let run = |words: &[&str]| {
            let mut all = vec![words[0], "--admin", &admin, "--token-file", &token];
            all.extend(&words[1..]);
            let output = seamctl(&all);
            assert!(output.status.success(), "{words:?}: {output:?}");
            String::from_utf8_lossy(&output.stdout).into_owned()
        };
        assert!(run(&["status"]).contains("booking-desk-khomas-1"));
        assert!(run(&["status", "--json"]).contains("\"revision\": 1"));
        let explain = [
            "explain",
            "--customer",
            "salon-swakop",
            "--service",
            "booking-desk",
        ];
        assert!(run(&explain).starts_with("sent to region \"erongo\""));
        assert!(run(&["drain", "--actor", "tester"]).starts_with("draining true"));
        assert!(run(&["drain", "--undo"]).starts_with("draining false"));
        assert!(run(&["audit"]).contains("tester"));
        let entries = seamctl(&["entries", "--node", &caller, "--token-file", &customer]);
        assert!(String::from_utf8_lossy(&entries.stdout).contains("khomas-1"));
        let refused = seamctl(&["status", "--admin", &admin, "--token-file", &wrong]);
        assert_eq!(refused.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&refused.stderr).contains("help: "));
    });
    let _ = fs::remove_dir_all(folder);
}
