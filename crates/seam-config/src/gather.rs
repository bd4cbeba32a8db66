//! Finds and parses the files of a deployment.

use std::fs;
use std::path::{Path, PathBuf};

use seam_protocol::{Bundle, Kind, Route};

use crate::check;
use crate::error::{ConfigError, Diagnostic, DiagnosticKind, Diagnostics};
use crate::reader::{ConfigFile, Entry, Table};
use crate::schema;
use crate::source::{
    CustomerSource, Definition, DeploymentSource, LinkSource, Location, Reference, RegionSource,
    ServiceSource, Sources, TargetSource, VmSource,
};

/// Reads and validates every configuration file below some files or folders.
///
/// The bundle has revision zero until it is published.
///
/// # Errors
/// [`ConfigError::Invalid`] with the errors of all files.
pub fn load_deployment(roots: &[PathBuf]) -> Result<Bundle, ConfigError> {
    let mut diagnostics = Diagnostics::default();
    let mut sources = Sources::default();
    for path in find_files(roots, &mut diagnostics) {
        match fs::read_to_string(&path) {
            Ok(text) => read(&path, &text, &mut sources, &mut diagnostics),
            Err(error) => diagnostics.0.push(unreadable(&path, &error)),
        }
    }
    let bundle = check::resolve(&sources, &mut diagnostics);
    match bundle {
        Some(bundle) if diagnostics.0.is_empty() => Ok(bundle),
        _ => {
            diagnostics
                .0
                .sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
            Err(ConfigError::Invalid { diagnostics })
        }
    }
}

fn unreadable(path: &Path, error: &std::io::Error) -> Diagnostic {
    Diagnostic {
        file: path.to_owned(),
        line: 0,
        optional: false,
        kind: DiagnosticKind::Unreadable {
            message: error.to_string(),
        },
    }
}

/// Returns the configuration files below some files or folders, sorted by path.
fn find_files(roots: &[PathBuf], diagnostics: &mut Diagnostics) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let mut pending: Vec<PathBuf> = roots.to_vec();
    while let Some(path) = pending.pop() {
        if path.is_file() {
            found.push(path);
            continue;
        }
        match fs::read_dir(&path) {
            Ok(list) => {
                let paths = list.flatten().map(|entry| entry.path());
                pending.extend(paths.filter(|path| path.is_dir() || is_config_file(path)));
            }
            Err(error) => diagnostics.0.push(unreadable(&path, &error)),
        }
    }
    found.sort();
    found.dedup();
    found
}

fn is_config_file(path: &Path) -> bool {
    let name = path.file_name().and_then(|name| name.to_str());
    name.is_some_and(|name| {
        name == "deployment.toml" || name == "seam.toml" || name.ends_with(".seam.toml")
    })
}

/// Parses the text of one file into `sources`.
pub fn read(path: &Path, text: &str, sources: &mut Sources, diagnostics: &mut Diagnostics) {
    let mut file = ConfigFile::new(path, text);
    if let Some(parsed) = file.parse() {
        let table = Table::open(&mut file, parsed.get_ref(), &schema::FILE, "the file", 0);
        read_file(&mut file, path, &table, sources);
    }
    diagnostics.0.append(&mut file.diagnostics.0);
}

fn read_file(file: &mut ConfigFile, path: &Path, table: &Table, sources: &mut Sources) {
    if let Some(deployment) = table.optional_table(file, "deployment", &schema::DEPLOYMENT) {
        sources
            .deployments
            .extend(read_deployment(file, path, &deployment));
    }
    for entry in table.entries(file, "region") {
        sources.regions.extend(read_region(file, path, &entry));
    }
    for link in table.tables(file, "link", &schema::LINK) {
        sources.links.extend(read_link(file, path, &link));
    }
    for entry in table.entries(file, "vm") {
        sources.vms.extend(read_vm(file, path, &entry));
    }
    for entry in table.entries(file, "service") {
        sources.services.extend(read_service(file, path, &entry));
    }
    for entry in table.entries(file, "customer") {
        sources.customers.extend(read_customer(file, path, &entry));
    }
}

fn location(file: &ConfigFile, path: &Path, start: usize) -> Location {
    Location {
        file: path.to_owned(),
        line: file.line(start),
    }
}

fn definition<T>(file: &ConfigFile, path: &Path, entry: &Entry, spec: T) -> Definition<T> {
    Definition {
        name: entry.name.clone(),
        location: location(file, path, entry.start),
        spec,
    }
}

fn references(file: &mut ConfigFile, table: &Table, name: &str) -> Option<Vec<Reference>> {
    let list = table.strings(file, name)?;
    Some(
        list.into_iter()
            .map(|located| Reference::new(file, located))
            .collect(),
    )
}

fn reference(file: &mut ConfigFile, table: &Table, name: &str) -> Option<Reference> {
    let located = table.string(file, name)?;
    Some(Reference::new(file, located))
}

fn read_deployment(
    file: &mut ConfigFile,
    path: &Path,
    table: &Table,
) -> Option<Definition<DeploymentSource>> {
    let name = table.string(file, "name")?;
    Some(Definition {
        location: location(file, path, table.start()),
        name: name.text,
        spec: DeploymentSource {
            latency_weight: table.float(file, "latency_weight"),
            loads_per_minute: table.integer(file, "loads_per_minute") as u32,
            repeat_window: table.integer(file, "repeat_window_s"),
        },
    })
}

fn read_region(
    file: &mut ConfigFile,
    path: &Path,
    entry: &Entry,
) -> Option<Definition<RegionSource>> {
    let title = format!("region {:?}", entry.name);
    let table = entry.open(file, &schema::REGION, title)?;
    let centres = table.strings(file, "centres")?;
    let centres = centres.into_iter().map(|located| located.text).collect();
    Some(definition(file, path, entry, RegionSource { centres }))
}

fn read_link(file: &mut ConfigFile, path: &Path, table: &Table) -> Option<LinkSource> {
    const MICROS_PER_MS: f64 = 1000.0;
    let between = references(file, table, "between")?;
    if between.len() != 2 {
        let found = format!("a list of {}", between.len());
        table.report_value(file, "between", &found, "the names of two regions");
        return None;
    }
    Some(LinkSource {
        location: location(file, path, table.start()),
        between,
        delay: (table.float(file, "delay_ms") * MICROS_PER_MS) as u64,
    })
}

fn read_vm(file: &mut ConfigFile, path: &Path, entry: &Entry) -> Option<Definition<VmSource>> {
    let table = entry.open(file, &schema::VM, format!("VM {:?}", entry.name))?;
    let region = reference(file, &table, "region");
    let centre = reference(file, &table, "centre");
    let caller = table.address(file, "caller");
    let peer = table.address(file, "peer");
    let spec = VmSource {
        region: region?,
        centre: centre?,
        caller: caller?,
        peer: peer?,
    };
    Some(definition(file, path, entry, spec))
}

fn read_service(
    file: &mut ConfigFile,
    path: &Path,
    entry: &Entry,
) -> Option<Definition<ServiceSource>> {
    const MAX_COPIES: i64 = 10_000;
    let title = format!("service {:?}", entry.name);
    let table = entry.open(file, &schema::SERVICE, title)?;
    let kind = match table.one_of(file, "kind", &["engine", "plain"]).as_deref() {
        Some("engine") => Kind::Engine,
        _ => Kind::Plain,
    };
    let mut models = Vec::new();
    for model in table.entries(file, "models") {
        let copies = model.integer(file, table.name(), 0, MAX_COPIES);
        models.extend(copies.map(|copies| (model.name.clone(), copies as u32)));
    }
    let mut targets = Vec::new();
    for target in table.entries(file, "target") {
        targets.extend(read_target(file, path, &entry.name, &target));
    }
    let spec = ServiceSource {
        kind,
        residency: references(file, &table, "residency"),
        once: read_routes(file, &table),
        deadline: table.integer(file, "deadline_ms"),
        silence: table.integer(file, "silence_ms"),
        expected: table.integer(file, "expected_ms"),
        refuses: table
            .integers(file, "refuses")
            .into_iter()
            .map(|code| code as u16)
            .collect(),
        max_body: table.integer(file, "body_bytes"),
        models,
        targets,
    };
    Some(definition(file, path, entry, spec))
}

fn read_routes(file: &mut ConfigFile, table: &Table) -> Vec<Route> {
    const EXPECTED: &str = "a method and a path, such as \"POST /deposits\"";
    let mut routes = Vec::new();
    for located in table.strings(file, "once").unwrap_or_default() {
        match located.text.split_once(' ') {
            Some((method, path)) if path.starts_with('/') && !method.is_empty() => {
                routes.push(Route {
                    method: method.to_ascii_uppercase(),
                    path: path.to_owned(),
                });
            }
            _ => table.report_value(file, "once", &format!("{:?}", located.text), EXPECTED),
        }
    }
    routes
}

fn read_target(
    file: &mut ConfigFile,
    path: &Path,
    service: &str,
    entry: &Entry,
) -> Option<Definition<TargetSource>> {
    let title = format!("target {:?} of service {service:?}", entry.name);
    let table = entry.open(file, &schema::TARGET, title)?;
    let region = reference(file, &table, "region");
    let centre = reference(file, &table, "centre");
    let address = table.address(file, "address");
    let slots = table.integer(file, "slots") as u32;
    let fenced = table.boolean(file, "fenced");
    let spec = TargetSource {
        region: region?,
        centre: centre?,
        address: address?,
        slots,
        fenced,
    };
    Some(definition(file, path, entry, spec))
}

fn read_customer(
    file: &mut ConfigFile,
    path: &Path,
    entry: &Entry,
) -> Option<Definition<CustomerSource>> {
    let title = format!("customer {:?}", entry.name);
    let table = entry.open(file, &schema::CUSTOMER, title)?;
    let mut credentials = Vec::new();
    for located in table.strings(file, "credentials").unwrap_or_default() {
        match located.text.parse() {
            Ok(digest) => credentials.push(digest),
            Err(_) => table.report_value(
                file,
                "credentials",
                &format!("{:?}", located.text),
                "digests of 32 hexadecimal digits, from `seamctl credential`",
            ),
        }
    }
    let spec = CustomerSource {
        home: table
            .string(file, "home")
            .map(|located| Reference::new(file, located)),
        residency: references(file, &table, "residency"),
        priority: table.integer(file, "priority") as u8,
        weight: table.integer(file, "weight") as u32,
        concurrency: table.integer(file, "concurrency") as u32,
        rate: table.integer(file, "rate") as u32,
        services: references(file, &table, "services").unwrap_or_default(),
        credentials,
    };
    Some(definition(file, path, entry, spec))
}
