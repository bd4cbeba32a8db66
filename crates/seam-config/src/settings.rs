//! A node's own settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::error::{Fault, Faults, GatherError, Wrong};
use crate::reader::{File, Table};
use crate::schema;

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Human,
    /// One JSON object a line.
    Json,
}

/// `[log]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// How lines look.
    pub format: LogFormat,
    /// Level, as `log` spells it.
    pub level: String,
    /// Levels by module.
    pub modules: BTreeMap<String, String>,
}

/// `[listen]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
}

/// `[platform]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The configuration service.
    pub config: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// The directory for clients.
    pub directory: SocketAddr,
}

/// `[secrets]`, read from their files.
#[derive(Clone, PartialEq, Eq)]
pub struct Secrets {
    /// Shared by the nodes.
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

/// Everything that a node is told at start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Region.
    pub region: String,
    /// Data centre.
    pub centre: String,
    /// Worker threads.
    pub workers: usize,
    /// Seconds after which a drain cuts off what is left.
    pub drain_limit: u64,
    /// Other nodes to ask at start.
    pub seeds: Vec<SocketAddr>,
    /// Addresses.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Secrets.
    pub secrets: Secrets,
    /// Logs.
    pub log: LogSettings,
}

/// Reads a node's settings and the secrets that they name.
///
/// # Errors
/// Every fault of the file, at once.
pub fn load(path: &Path) -> Result<Settings, GatherError> {
    let text = std::fs::read_to_string(path).map_err(|error| GatherError::Faulty {
        faults: Faults(vec![Fault {
            file: path.to_owned(),
            line: 0,
            wrong: Wrong::Unreadable {
                message: error.to_string(),
            },
        }]),
    })?;
    let mut file = File::new(path, &text);
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
    match settings {
        Some(settings) if file.faults.0.is_empty() => Ok(settings),
        _ => Err(GatherError::Faulty {
            faults: file.faults,
        }),
    }
}

fn read(file: &mut File, path: &Path, table: &Table) -> Option<Settings> {
    let name = table.text(file, "name");
    let region = table.text(file, "region");
    let centre = table.text(file, "centre");
    let workers = table.whole(file, "workers") as usize;
    let drain_limit = table.whole(file, "drain_limit_s");
    let seeds = seeds_of(file, table);
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
    let platform = table.table(file, "platform", &schema::PLATFORM);
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
    let secrets = table.table(file, "secrets", &schema::SECRETS);
    let secrets = secrets.and_then(|table| secrets_of(file, path, &table));
    let log = log_of(file, table);
    Some(Settings {
        name: name?.text,
        region: region?.text,
        centre: centre?.text,
        workers,
        drain_limit,
        seeds,
        listen: listen?,
        platform: platform?,
        secrets: secrets?,
        log,
    })
}

fn seeds_of(file: &mut File, table: &Table) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for named in table.texts(file, "seeds").unwrap_or_default() {
        match named.text.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => {
                let found = format!("{:?}", named.text);
                table.wrong(file, "seeds", &found, "a list of IP addresses with ports");
            }
        }
    }
    seeds
}

fn secrets_of(file: &mut File, path: &Path, table: &Table) -> Option<Secrets> {
    const LEAST_BYTES: usize = 16;
    let fleet = secret(file, path, table, "fleet");
    let operate = secret(file, path, table, "operate");
    let read = secret(file, path, table, "read");
    if let Some(fleet) = &fleet
        && fleet.len() < LEAST_BYTES
    {
        let found = format!("a file with {} bytes", fleet.len());
        table.wrong(file, "fleet", &found, "a file with 16 bytes or more");
    }
    Some(Secrets {
        fleet: fleet?.into_bytes(),
        operate: operate?,
        read: read?,
    })
}

fn secret(file: &mut File, path: &Path, table: &Table, name: &str) -> Option<String> {
    let named = table.text(file, name)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let full: PathBuf = folder.join(&named.text);
    match std::fs::read_to_string(&full) {
        Ok(text) if !text.trim().is_empty() => Some(text.trim().to_owned()),
        Ok(_) => {
            table.wrong(file, name, "an empty file", "a file with a secret");
            None
        }
        Err(error) => {
            let found = format!("{:?}: {error}", full.display());
            table.wrong(file, name, &found, "a file that can be read");
            None
        }
    }
}

fn log_of(file: &mut File, table: &Table) -> LogSettings {
    const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
    let mut log = LogSettings {
        format: LogFormat::Human,
        level: "info".to_owned(),
        modules: BTreeMap::new(),
    };
    let Some(section) = table.table_if(file, "log", &schema::LOG) else {
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
    for module in section.named(file, "modules") {
        let Some(level) = module.text(file, "[log.modules]") else {
            continue;
        };
        if LEVELS.contains(&level.as_str()) {
            log.modules.insert(module.name.clone(), level);
        } else {
            let found = format!("{:?} for {}", level, module.name);
            section.wrong(file, "modules", &found, &LEVELS.join(" or "));
        }
    }
    log
}
