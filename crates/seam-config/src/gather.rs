//! Finds the files of a deployment and reads what they say.

use std::fs;
use std::path::{Path, PathBuf};

use seam_protocol::{Bundle, Kind, Route};

use crate::check;
use crate::error::{ConfigError, Fault, Faults, Wrong};
use crate::reader::{Entry, File, Table};
use crate::schema;
use crate::source::{
    CustomerSource, Defined, DeploymentSource, LinkSource, Place, Reference, RegionSource,
    ServiceSource, Sources, TargetSource, VmSource,
};

/// Reads every configuration file below some folders and checks the whole.
///
/// The bundle has no revision yet.
///
/// # Errors
/// Every fault of every file, at once.
pub fn load_deployment(roots: &[PathBuf]) -> Result<Bundle, ConfigError> {
    let mut faults = Faults::default();
    let mut sources = Sources::default();
    for path in find(roots, &mut faults) {
        match fs::read_to_string(&path) {
            Ok(text) => read(&path, &text, &mut sources, &mut faults),
            Err(error) => faults.0.push(unreadable(&path, &error)),
        }
    }
    let bundle = check::resolve(&sources, &mut faults);
    match bundle {
        Some(bundle) if faults.0.is_empty() => Ok(bundle),
        _ => {
            faults
                .0
                .sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
            Err(ConfigError::Invalid { faults })
        }
    }
}

fn unreadable(path: &Path, error: &std::io::Error) -> Fault {
    Fault {
        file: path.to_owned(),
        line: 0,
        wrong: Wrong::Unreadable {
            message: error.to_string(),
        },
    }
}

/// Returns the configuration files below some folders, sorted.
fn find(roots: &[PathBuf], faults: &mut Faults) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let mut open: Vec<PathBuf> = roots.to_vec();
    while let Some(path) = open.pop() {
        if path.is_file() {
            found.push(path);
            continue;
        }
        match fs::read_dir(&path) {
            Ok(list) => {
                let paths = list.flatten().map(|entry| entry.path());
                open.extend(paths.filter(|path| path.is_dir() || gathered(path)));
            }
            Err(error) => faults.0.push(unreadable(&path, &error)),
        }
    }
    found.sort();
    found.dedup();
    found
}

fn gathered(path: &Path) -> bool {
    let name = path.file_name().and_then(|name| name.to_str());
    name.is_some_and(|name| {
        name == "deployment.toml" || name == "seam.toml" || name.ends_with(".seam.toml")
    })
}

/// Reads one file's text.
pub fn read(path: &Path, text: &str, sources: &mut Sources, faults: &mut Faults) {
    let mut file = File::new(path, text);
    if let Some(parsed) = file.parse() {
        let table = Table::open(&mut file, parsed.get_ref(), &schema::FILE, "the file", 0);
        read_file(&mut file, path, &table, sources);
    }
    faults.0.append(&mut file.faults.0);
}

fn read_file(file: &mut File, path: &Path, table: &Table, sources: &mut Sources) {
    if let Some(deployment) = table.table_if(file, "deployment", &schema::DEPLOYMENT) {
        sources
            .deployments
            .extend(deployment_of(file, path, &deployment));
    }
    for entry in table.named(file, "region") {
        sources.regions.extend(region_of(file, path, &entry));
    }
    for link in table.tables(file, "link", &schema::LINK) {
        sources.links.extend(link_of(file, path, &link));
    }
    for entry in table.named(file, "vm") {
        sources.vms.extend(vm_of(file, path, &entry));
    }
    for entry in table.named(file, "service") {
        sources.services.extend(service_of(file, path, &entry));
    }
    for entry in table.named(file, "customer") {
        sources.customers.extend(customer_of(file, path, &entry));
    }
}

fn place(file: &File, path: &Path, start: usize) -> Place {
    Place {
        file: path.to_owned(),
        line: file.line(start),
    }
}

fn defined<T>(file: &File, path: &Path, entry: &Entry, says: T) -> Defined<T> {
    Defined {
        name: entry.name.clone(),
        place: place(file, path, entry.start),
        says,
    }
}

fn references(file: &mut File, table: &Table, name: &str) -> Option<Vec<Reference>> {
    let list = table.texts(file, name)?;
    Some(
        list.into_iter()
            .map(|named| Reference::new(file, named))
            .collect(),
    )
}

fn reference(file: &mut File, table: &Table, name: &str) -> Option<Reference> {
    let named = table.text(file, name)?;
    Some(Reference::new(file, named))
}

fn deployment_of(file: &mut File, path: &Path, table: &Table) -> Option<Defined<DeploymentSource>> {
    let name = table.text(file, "name")?;
    Some(Defined {
        place: place(file, path, table.start()),
        name: name.text,
        says: DeploymentSource {
            weight: table.number(file, "latency_weight"),
            loads: table.whole(file, "loads_per_minute") as u32,
            window: table.whole(file, "repeat_window_s"),
        },
    })
}

fn region_of(file: &mut File, path: &Path, entry: &Entry) -> Option<Defined<RegionSource>> {
    let title = format!("region {:?}", entry.name);
    let table = entry.open(file, &schema::REGION, title)?;
    let centres = table.texts(file, "centres")?;
    let centres = centres.into_iter().map(|named| named.text).collect();
    Some(defined(file, path, entry, RegionSource { centres }))
}

fn link_of(file: &mut File, path: &Path, table: &Table) -> Option<LinkSource> {
    const MICROS: f64 = 1000.0;
    let between = references(file, table, "between")?;
    if between.len() != 2 {
        let found = format!("a list of {}", between.len());
        table.wrong(file, "between", &found, "the names of two regions");
        return None;
    }
    Some(LinkSource {
        place: place(file, path, table.start()),
        between,
        delay: (table.number(file, "delay_ms") * MICROS) as u64,
    })
}

fn vm_of(file: &mut File, path: &Path, entry: &Entry) -> Option<Defined<VmSource>> {
    let table = entry.open(file, &schema::VM, format!("VM {:?}", entry.name))?;
    let region = reference(file, &table, "region");
    let centre = reference(file, &table, "centre");
    let caller = table.address(file, "caller");
    let peer = table.address(file, "peer");
    let says = VmSource {
        region: region?,
        centre: centre?,
        caller: caller?,
        peer: peer?,
    };
    Some(defined(file, path, entry, says))
}

fn service_of(file: &mut File, path: &Path, entry: &Entry) -> Option<Defined<ServiceSource>> {
    const MOST_COPIES: i64 = 10_000;
    let title = format!("service {:?}", entry.name);
    let table = entry.open(file, &schema::SERVICE, title)?;
    let kind = match table.one_of(file, "kind", &["engine", "plain"]).as_deref() {
        Some("engine") => Kind::Engine,
        _ => Kind::Plain,
    };
    let mut models = Vec::new();
    for model in table.named(file, "models") {
        let copies = model.whole(file, table.name(), 0, MOST_COPIES);
        models.extend(copies.map(|copies| (model.name.clone(), copies as u32)));
    }
    let mut targets = Vec::new();
    for target in table.named(file, "target") {
        targets.extend(target_of(file, path, &entry.name, &target));
    }
    let says = ServiceSource {
        kind,
        residency: references(file, &table, "residency"),
        once: routes_of(file, &table),
        deadline: table.whole(file, "deadline_ms"),
        silence: table.whole(file, "silence_ms"),
        expected: table.whole(file, "expected_ms"),
        refuses: table
            .wholes(file, "refuses")
            .into_iter()
            .map(|code| code as u16)
            .collect(),
        body: table.whole(file, "body_bytes"),
        models,
        targets,
    };
    Some(defined(file, path, entry, says))
}

fn routes_of(file: &mut File, table: &Table) -> Vec<Route> {
    const EXPECTED: &str = "a method and a path, such as \"POST /deposits\"";
    let mut routes = Vec::new();
    for named in table.texts(file, "once").unwrap_or_default() {
        match named.text.split_once(' ') {
            Some((method, path)) if path.starts_with('/') && !method.is_empty() => {
                routes.push(Route {
                    method: method.to_ascii_uppercase(),
                    path: path.to_owned(),
                });
            }
            _ => table.wrong(file, "once", &format!("{:?}", named.text), EXPECTED),
        }
    }
    routes
}

fn target_of(
    file: &mut File,
    path: &Path,
    service: &str,
    entry: &Entry,
) -> Option<Defined<TargetSource>> {
    let title = format!("target {:?} of service {service:?}", entry.name);
    let table = entry.open(file, &schema::TARGET, title)?;
    let region = reference(file, &table, "region");
    let centre = reference(file, &table, "centre");
    let address = table.address(file, "address");
    let slots = table.whole(file, "slots") as u32;
    let fenced = table.flag(file, "fenced");
    let says = TargetSource {
        region: region?,
        centre: centre?,
        address: address?,
        slots,
        fenced,
    };
    Some(defined(file, path, entry, says))
}

fn customer_of(file: &mut File, path: &Path, entry: &Entry) -> Option<Defined<CustomerSource>> {
    let title = format!("customer {:?}", entry.name);
    let table = entry.open(file, &schema::CUSTOMER, title)?;
    let mut credentials = Vec::new();
    for named in table.texts(file, "credentials").unwrap_or_default() {
        match named.text.parse() {
            Ok(digest) => credentials.push(digest),
            Err(_) => table.wrong(
                file,
                "credentials",
                &format!("{:?}", named.text),
                "digests of 32 hexadecimal digits, from `seamctl credential`",
            ),
        }
    }
    let says = CustomerSource {
        home: table
            .text(file, "home")
            .map(|named| Reference::new(file, named)),
        residency: references(file, &table, "residency"),
        priority: table.whole(file, "priority") as u8,
        weight: table.whole(file, "weight") as u32,
        concurrency: table.whole(file, "concurrency") as u32,
        rate: table.whole(file, "rate") as u32,
        services: references(file, &table, "services").unwrap_or_default(),
        credentials,
    };
    Some(defined(file, path, entry, says))
}
