//! Settings of a single node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use seam_protocol::bundle::Deployment;
use seam_protocol::{Bundle, CentreId, DataCentre, Region, RegionId, TenantBounds};

use crate::error::{ConfigError, Diagnostic, DiagnosticKind, Diagnostics};
use crate::reader::{ConfigFile, Table};
use crate::schema;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Human,
    /// One JSON object per line.
    Json,
}

/// `[log]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Default level, as the `log` crate spells it.
    pub level: String,
    /// Levels by module path.
    pub modules: BTreeMap<String, String>,
}

/// `[listen]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Listen address for other nodes, TCP and UDP.
    pub peer: SocketAddr,
    /// Listen address of the administration API.
    pub admin: SocketAddr,
}

/// `[platform]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the configuration service.
    pub config: SocketAddr,
    /// Address of the service that lists VMs.
    pub vms: SocketAddr,
    /// Address of the directory service for clients.
    pub directory: SocketAddr,
}

/// `[items]` with `[zones]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Items {
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Listen address of the readiness check.
    pub readiness: SocketAddr,
    /// Listen address of the node directory for callers.
    pub directory: Option<SocketAddr>,
    /// Name of the region of each data centre, by the data centre's name.
    pub zones: BTreeMap<String, String>,
    /// Maximum burst of retries to a service, over all nodes; `None` for no limit.
    pub retries: Option<u32>,
    /// Factor applied to the published request rate of a cold target.
    pub cold_factor: f64,
    /// Requests per second that a cold target may receive in addition.
    pub cold_spare: f64,
    /// CPU cores available to the node, possibly a fraction.
    pub cores: f64,
    /// Bandwidth of the node's network link in Mbit/s.
    pub link_mbps: f64,
    /// How precisely what is published of tenants must be applied.
    pub tenant_bounds: TenantBounds,
}

/// Weight of tail latency against the share of requests sent to other regions. A platform of items
/// sets none.
const DEFAULT_LATENCY_WEIGHT: f64 = 0.7;
/// Seconds that an idempotency key chosen by a caller is kept. A platform of items sets no time.
const DEFAULT_REPEAT_WINDOW_S: u64 = 600;

impl Items {
    /// Returns the capacity of the node in thousandths of a core, limited by its CPU or by its
    /// network link, whichever is smaller.
    ///
    /// ```
    /// use seam_config::settings::Items;
    /// assert_eq!(Items::weight(0.25, 1000.0), 250);
    /// assert_eq!(Items::weight(0.5, 10.0), 125);
    /// ```
    #[must_use]
    pub fn weight(cores: f64, link_mbps: f64) -> u32 {
        /// Bandwidth in Mbit/s, in each direction, that one fully used core needs. A request takes
        /// about 20 KB and 2 ms of CPU time.
        const MBPS_PER_CORE: f64 = 80.0;
        const THOUSANDTHS_PER_CORE: f64 = 1000.0;
        (cores.min(link_mbps / MBPS_PER_CORE) * THOUSANDTHS_PER_CORE).max(1.0) as u32
    }

    /// Returns a bundle of revision zero that contains only the regions and the retry limit.
    #[must_use]
    pub fn base_bundle(&self) -> Bundle {
        let mut regions: BTreeMap<RegionId, Region> = BTreeMap::new();
        for (zone, region) in &self.zones {
            let entry = regions.entry(RegionId::of(region));
            let region = entry.or_insert_with(|| Region {
                name: region.clone(),
                centres: BTreeMap::new(),
            });
            let centre = DataCentre { name: zone.clone() };
            region.centres.insert(CentreId::of(zone), centre);
        }
        let deployment = Deployment {
            name: String::new(),
            latency_weight: DEFAULT_LATENCY_WEIGHT,
            regions,
            links: Vec::new(),
            vms: BTreeMap::new(),
            loads_per_minute: 1,
            repeat_window: DEFAULT_REPEAT_WINDOW_S,
        };
        Bundle {
            retries: self.retries,
            tenant_bounds: self.tenant_bounds,
            ..Bundle::new(deployment)
        }
    }
}

/// How the platform publishes configuration and targets.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// As bundles, with separate lists of VMs.
    Bundles(Platform),
    /// As individual items of a key-value store.
    Items(Items),
}

impl Source {
    /// Returns the bandwidth of the node's network link in Mbit/s.
    #[must_use]
    pub fn link_mbps(&self) -> f64 {
        const DEFAULT_MBPS: f64 = 1000.0;
        match self {
            Self::Bundles(_) => DEFAULT_MBPS,
            Self::Items(items) => items.link_mbps,
        }
    }
}

/// Contents of the files that `[secrets]` names.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secrets {
    /// Secret shared by the nodes of a deployment.
    pub fleet: Vec<u8>,
    /// Token with the role `operate`.
    pub operate: String,
    /// Token with the role `read`.
    pub read: String,
}

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secrets(..)")
    }
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Region.
    pub region: String,
    /// Data centre.
    pub centre: String,
    /// Worker threads.
    pub workers: usize,
    /// Time after which a drain aborts the remaining requests.
    pub drain_limit: Duration,
    /// Maximum concurrent connections from callers.
    pub connections: usize,
    /// Maximum memory in bytes for the bodies of requests in flight.
    pub body_memory: usize,
    /// Addresses of other nodes to contact at start.
    pub seeds: Vec<SocketAddr>,
    /// Listen addresses.
    pub listen: Listen,
    /// Source of configuration and targets.
    pub source: Source,
    /// Secrets.
    pub secrets: Secrets,
    /// Logging.
    pub log: LogSettings,
}

/// Reads a node's settings and the files of its secrets.
///
/// # Errors
/// [`ConfigError::Invalid`] with every error of the file.
pub fn load(path: &Path) -> Result<Settings, ConfigError> {
    let (settings, diagnostics) = load_tolerant(path)?;
    if diagnostics.0.is_empty() {
        Ok(settings)
    } else {
        Err(ConfigError::Invalid { diagnostics })
    }
}

/// Reads a node's settings and the files of its secrets. Errors in optional fields are returned
/// beside the settings, which have the defaults there.
///
/// # Errors
/// [`ConfigError::Invalid`] with every error of the file, if one concerns a required field.
pub fn load_tolerant(path: &Path) -> Result<(Settings, Diagnostics), ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError::Invalid {
        diagnostics: Diagnostics(vec![Diagnostic {
            file: path.to_owned(),
            line: 0,
            optional: false,
            kind: DiagnosticKind::Unreadable {
                message: error.to_string(),
            },
        }]),
    })?;
    let mut file = ConfigFile::new(path, &text);
    let settings = file.parse().and_then(|parsed| {
        let table = Table::open(
            &mut file,
            parsed.get_ref(),
            &schema::NODE,
            "the settings",
            0,
        );
        read(&mut file, path, &table)
    });
    let diagnostics = file.diagnostics;
    match settings {
        Some(settings) if diagnostics.0.iter().all(|found| found.optional) => {
            Ok((settings, diagnostics))
        }
        _ => Err(ConfigError::Invalid { diagnostics }),
    }
}

fn read(file: &mut ConfigFile, path: &Path, table: &Table) -> Option<Settings> {
    let name = table.string(file, "name");
    let region = table.string(file, "region");
    let centre = table.string(file, "centre");
    let workers = table.rounded(file, "workers") as usize;
    let drain_limit = Duration::from_secs_f64(table.float(file, "drain_limit_s"));
    let connections = table.rounded(file, "connections") as usize;
    let body_memory = (table.rounded(file, "body_memory_mb") as usize) << 20;
    let seeds = read_seeds(file, table);
    let listen = table.table(file, "listen", &schema::LISTEN);
    let listen = listen.and_then(|table| {
        let caller = table.address(file, "caller");
        let peer = table.address(file, "peer");
        let admin = table.address(file, "admin");
        Some(Listen {
            caller: caller?,
            peer: peer?,
            admin: admin?,
        })
    });
    let source = read_source(file, table);
    let bundles = matches!(source, Some(Source::Bundles(_)));
    let secrets = match table.optional_table(file, "secrets", &schema::SECRETS) {
        Some(section) => read_secrets(file, path, &section),
        None if bundles => {
            table.report_value(
                file,
                "secrets",
                "nothing",
                "[secrets], which [platform] requires",
            );
            None
        }
        None => Some(Secrets::default()),
    };
    let log = read_log(file, table);
    Some(Settings {
        name: name?.text,
        region: region?.text,
        centre: centre?.text,
        workers,
        drain_limit,
        connections,
        body_memory,
        seeds,
        listen: listen?,
        source: source?,
        secrets: secrets?,
        log,
    })
}

/// Reads `[platform]` or `[items]`. Exactly one of them is required.
fn read_source(file: &mut ConfigFile, table: &Table) -> Option<Source> {
    if let Some(items) = table.optional_table(file, "items", &schema::ITEMS) {
        if table
            .optional_table(file, "platform", &schema::PLATFORM)
            .is_some()
        {
            let found = "both [platform] and [items]";
            table.report_value(file, "platform", found, "only one of them");
            return None;
        }
        return read_items(file, table, &items).map(Source::Items);
    }
    let platform = match table.optional_table(file, "platform", &schema::PLATFORM) {
        Some(platform) => Some(platform),
        None => {
            table.report_value(file, "platform", "nothing", "[platform] or [items]");
            None
        }
    };
    let platform = platform.and_then(|table| {
        let config = table.address(file, "config");
        let vms = table.address(file, "vms");
        let directory = table.address(file, "directory");
        Some(Platform {
            config: config?,
            vms: vms?,
            directory: directory?,
        })
    });
    platform.map(Source::Bundles)
}

fn read_items(file: &mut ConfigFile, table: &Table, items: &Table) -> Option<Items> {
    let store = items.address(file, "store");
    let readiness = items.address(file, "readiness");
    let directory = items.address(file, "directory");
    let mut zones = BTreeMap::new();
    for zone in table.entries(file, "zones") {
        if let Some(region) = zone.string(file, "[zones]") {
            zones.insert(zone.name.clone(), region);
        }
    }
    if zones.is_empty() {
        table.report_value(file, "zones", "nothing", "the region of each data centre");
        return None;
    }
    let retries = table
        .optional_rounded(file, "retries")
        .map(|limit| limit as u32);
    let revocation_limit = items.optional_rounded(file, "revocation_limit_ms");
    let tenant_bounds = TenantBounds {
        revocation_limit,
        window: (items.float(file, "allowance_window_s") * 1000.0) as u64,
        overage: items.float(file, "allowance_overage"),
        slack: items.float(file, "allowance_slack"),
    };
    Some(Items {
        store: store?,
        readiness: readiness?,
        directory,
        zones,
        retries,
        cold_factor: items.float(file, "cold_factor"),
        cold_spare: items.float(file, "cold_spare"),
        cores: items.float(file, "cores"),
        link_mbps: items.float(file, "link_mbps"),
        tenant_bounds,
    })
}

fn read_seeds(file: &mut ConfigFile, table: &Table) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for located in table.strings(file, "seeds").unwrap_or_default() {
        match located.text.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => {
                let found = format!("{:?}", located.text);
                table.report_value(file, "seeds", &found, "a list of IP addresses with ports");
            }
        }
    }
    seeds
}

fn read_secrets(file: &mut ConfigFile, path: &Path, table: &Table) -> Option<Secrets> {
    const MIN_SECRET_BYTES: usize = 16;
    let fleet = read_secret(file, path, table, "fleet");
    let operate = read_secret(file, path, table, "operate");
    let read = read_secret(file, path, table, "read");
    if let Some(fleet) = &fleet
        && fleet.len() < MIN_SECRET_BYTES
    {
        let found = format!("a file with {} bytes", fleet.len());
        table.report_value(file, "fleet", &found, "a file with 16 bytes or more");
    }
    Some(Secrets {
        fleet: fleet?.into_bytes(),
        operate: operate?,
        read: read?,
    })
}

fn read_secret(file: &mut ConfigFile, path: &Path, table: &Table, name: &str) -> Option<String> {
    let located = table.string(file, name)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let full: PathBuf = folder.join(&located.text);
    match std::fs::read_to_string(&full) {
        Ok(text) if !text.trim().is_empty() => Some(text.trim().to_owned()),
        Ok(_) => {
            table.report_value(file, name, "an empty file", "a file with a secret");
            None
        }
        Err(error) => {
            let found = format!("{:?}: {error}", full.display());
            table.report_value(file, name, &found, "a file that can be read");
            None
        }
    }
}

fn read_log(file: &mut ConfigFile, table: &Table) -> LogSettings {
    const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
    let mut log = LogSettings {
        format: LogFormat::Human,
        level: "info".to_owned(),
        modules: BTreeMap::new(),
    };
    let Some(section) = table.optional_table(file, "log", &schema::LOG) else {
        return log;
    };
    if section
        .one_of(file, "format", &["human", "json"])
        .as_deref()
        == Some("json")
    {
        log.format = LogFormat::Json;
    }
    if let Some(level) = section.one_of(file, "level", LEVELS) {
        log.level = level;
    }
    for module in section.entries(file, "modules") {
        let Some(level) = module.string(file, "[log.modules]") else {
            continue;
        };
        if LEVELS.contains(&level.as_str()) {
            log.modules.insert(module.name.clone(), level);
        } else {
            let found = format!("{:?} for {}", level, module.name);
            section.report_value(file, "modules", &found, &LEVELS.join(" or "));
        }
    }
    log
}
