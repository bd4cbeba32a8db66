//! Diagnostics for invalid configuration files state the file, the line and the expected value.

use std::fs;
use std::path::{Path, PathBuf};

use seam_config::ConfigError;
use yare::parameterized;

const DEPLOYMENT: &str = r#"
[deployment]
name = "test"

[region.north]
centres = ["north-a"]

[region.south]
centres = ["south-a"]

[vm.north-1]
region = "north"
centre = "north-a"
caller = "127.0.0.1:1"
peer = "127.0.0.1:2"

[service.desk]
kind = "plain"

[service.desk.target.desk-1]
region = "north"
centre = "north-a"
address = "127.0.0.1:3"

[customer.one]
credentials = ["00000000000000000000000000000001"]
"#;

/// A temporary folder with a deployment, one for each test and removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str, extra: &str) -> Self {
        let path = std::env::temp_dir().join(format!("seam-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        fs::write(path.join("deployment.toml"), DEPLOYMENT).unwrap();
        fs::write(path.join("extra.seam.toml"), extra).unwrap();
        Self(path)
    }

    fn diagnostics(&self) -> String {
        match seam_config::load_deployment(std::slice::from_ref(&self.0)) {
            Ok(_) => String::new(),
            Err(ConfigError::Invalid { diagnostics }) => diagnostics.to_string(),
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[parameterized(
    unknown_field = { "field", "[customer.two]\nhom = \"north\"\ncredentials = []", "extra.seam.toml:2: unknown field \"hom\" in customer \"two\"; did you mean \"home\"?" },
    unknown_region = { "region", "[customer.two]\nhome = \"nort\"\ncredentials = []", "extra.seam.toml:2: customer \"two\" refers to the region \"nort\", which does not exist; did you mean \"north\"?" },
    out_of_range = { "range", "[customer.two]\npriority = 9\ncredentials = []", "extra.seam.toml:2: \"priority\" in customer \"two\" is the whole number 9, expected a whole number from 0 to 3" },
    wrong_kind = { "kind", "[customer.two]\nrate = \"many\"\ncredentials = []", "is the text \"many\", expected a whole number" },
    missing = { "missing", "[customer.two]\nrate = 1", "customer \"two\" is missing the field \"credentials\"" },
    twice = { "twice", "[customer.one]\ncredentials = []", "the customer \"one\" is defined twice" },
    same_credential = { "credential", "[customer.two]\ncredentials = [\"00000000000000000000000000000001\"]", "the credential \"00000000000000000000000000000001\" is defined twice, first in customer \"one\"" },
    impossible_residency = { "residency", "[customer.two]\nresidency = [\"south\"]\ncredentials = []", "customer \"two\" cannot be served in any region: no target of desk is in a region that both residencies allow" },
    unknown_service = { "service", "[customer.two]\nservices = [\"dsk\"]\ncredentials = []", "refers to the service \"dsk\", which does not exist; did you mean \"desk\"?" },
    bad_route = { "route", "[service.two]\nkind = \"plain\"\nonce = [\"deposits\"]\n[service.two.target.t]\nregion = \"north\"\ncentre = \"north-a\"\naddress = \"127.0.0.1:4\"", "expected a method and a path" },
    bad_address = { "address", "[vm.two]\nregion = \"north\"\ncentre = \"north-a\"\ncaller = \"here\"\npeer = \"127.0.0.1:5\"", "expected an IP address with a port" },
    syntax = { "syntax", "[customer.two\n", "extra.seam.toml:1: not TOML" },
)]
fn single_fault(name: &str, extra: &str, expected: &str) {
    let diagnostics = Folder::new(name, extra).diagnostics();
    assert!(diagnostics.contains(expected), "{diagnostics}");
}

#[test]
fn all_at_once() {
    let extra = "[customer.two]\nhom = 1\npriority = 9\ncredentials = 3\n[vm.x]\nregion = \"nort\"";
    let diagnostics = Folder::new("all", extra).diagnostics();
    assert!(
        diagnostics.ends_with("errors; nothing was written"),
        "{diagnostics}"
    );
    assert!(diagnostics.lines().count() >= 6, "{diagnostics}");
}

#[test]
fn valid() {
    assert_eq!(Folder::new("valid", "").diagnostics(), "");
}

#[test]
fn examples() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["hamutenya", "bulabula"] {
        let bundle =
            seam_config::load_deployment(&[root.join(name)]).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(bundle.deployment.vms.len(), 9);
        assert_eq!(bundle.deployment.regions.len(), 3);
        assert_eq!(bundle.services.len(), 2);
    }
}

#[test]
fn reference_page() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    let page = fs::read_to_string(path).unwrap();
    assert_eq!(
        page,
        seam_config::reference::page(),
        "run `seamctl reference`"
    );
}
