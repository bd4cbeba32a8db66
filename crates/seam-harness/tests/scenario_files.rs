//! Every scenario meets its expectations and violates no guarantee.

use std::fs;
use std::path::Path;

use seam_harness::scenario::Scenario;

#[test]
fn all_pass() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut files: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    assert!(files.len() >= 15);
    let mut failed = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        let scenario = Scenario::read(&text).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
        let report = scenario.run().unwrap();
        if !report.breaches.is_empty() || !report.unmet.is_empty() {
            let name = file.file_stem().unwrap().to_string_lossy().into_owned();
            failed.push((name, report.breaches, report.unmet));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn unknown_field() {
    let error = Scenario::read("shows = \"x\"\ndeploymnt = \"y\"").unwrap_err();
    assert!(error.to_string().contains("deploymnt"));
}
