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
        let fails = |words: &[&str], code: i32, error: &str| {
            let start = ["explain", "--admin", &admin, "--token-file", &token];
            let output = seamctl(&[&start[..], words].concat());
            assert_eq!(output.status.code(), Some(code), "{words:?}");
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(text.contains(error), "{words:?}: {text}");
        };
        let request = ["--host", "salon.example", "--path", "/book/1"];
        let missing = [&request[..], &["--key-file", "/nowhere/key"]].concat();
        let mixed = [&request[..], &["--customer", "salon-swakop"]].concat();
        fails(&request, 1, "publishes no routes");
        fails(&request[..2], 1, "give both --host and --path");
        fails(&missing, 1, "/nowhere/key");
        fails(&mixed, 1, "give either --host and --path");
        let customer_only = ["--customer", "salon-swakop"];
        fails(&customer_only, 1, "give both --customer and --service");
        fails(&[], 1, "give either --host and --path");
        let part = [&request[..], &["--part", "4f"]].concat();
        fails(&part, 2, "is no part ID:TOKENS");
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
