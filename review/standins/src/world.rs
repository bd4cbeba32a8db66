//! A small deployment: the store, servers, and node processes started by the deploy file's command.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};

/// Region and zone of all nodes and servers.
pub const REGION: &str = "khomas";
/// The zone.
pub const ZONE: &str = "khomas-a";
/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Processes that run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Longest time that a case takes.
const MAX_TIME: Duration = Duration::from_secs(115);
/// Longest time until the nodes are ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The file with what was sent, answered and run, and whether the disturbance takes place.
pub struct Case {
    file: Mutex<File>,
    start: Instant,
    /// Whether the disturbance takes place.
    pub trouble: bool,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// The node's program.
    pub program: PathBuf,
}

impl Case {
    /// Opens the record of a case in its folder.
    pub fn open(folder: &Path, program: &Path) -> io::Result<Self> {
        let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&scratch)?;
        Ok(Self {
            file: Mutex::new(File::create(folder.join("record.txt"))?),
            start: Instant::now(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            folder: scratch,
            program: program.to_owned(),
        })
    }

    /// Writes a line to the record.
    pub fn record(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Ends all processes that were started, and removes the folder for settings and logs.
    pub fn end(&self) {
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        for process in started.drain(..) {
            signal(process, "KILL");
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Sends a signal to a process that the case started.
pub fn signal(process: u32, name: &str) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(process.to_string())
        .stderr(Stdio::null())
        .status();
}

/// Ends the case with 2 if it takes too long.
pub fn limit_time(case: &Arc<Case>) {
    let case = case.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        case.record("the case could not run: it takes too long");
        case.end();
        std::process::exit(2);
    });
}

/// Returns a free port's address.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For clients.
    pub front: SocketAddr,
    /// For other nodes.
    pub control: SocketAddr,
    readiness: SocketAddr,
    directory: SocketAddr,
    admin: SocketAddr,
}

impl Addresses {
    /// Chooses free ports.
    pub fn choose() -> io::Result<Self> {
        Ok(Self {
            front: free_address()?,
            control: free_address()?,
            readiness: free_address()?,
            directory: free_address()?,
            admin: free_address()?,
        })
    }
}

/// A node process.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its addresses.
    pub addresses: Addresses,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of a node, as `deploy/node.toml` renders them, and starts it.
    pub fn start(
        case: &Case,
        name: &str,
        addresses: Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> io::Result<Self> {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            r#"name = "{name}"
region = "{REGION}"
centre = "{ZONE}"
workers = 1
drain_limit_s = 8
connections = 3000
body_memory_mb = 48
retries = 58
seeds = [{}]

[listen]
caller = "{}"
peer = "{}"
admin = "{}"

[items]
store = "{store}"
readiness = "{}"
directory = "{}"
cores = 0.25
link_mbps = 1000.0
cold_factor = 1.5
cold_spare = 3

[zones]
"{ZONE}" = "{REGION}"

[log]
format = "json"
level = "info"
"#,
            seeds.join(","),
            addresses.front,
            addresses.control,
            addresses.admin,
            addresses.readiness,
            addresses.directory
        );
        let settings = case.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let mut node = Self {
            name: name.to_owned(),
            addresses,
            settings,
            log: case.folder.join(format!("{name}.log")),
            program: case.program.clone(),
            child: None,
        };
        node.launch()?;
        Ok(node)
    }

    /// Starts the process, again after it was killed.
    pub fn launch(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        started.push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
            started.retain(|process| *process != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Asks whether the node is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let timeout = Duration::from_secs(1);
            let mut connection = Connection::open(self.addresses.readiness, timeout)?;
            connection.send(b"GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n")?;
            connection.read_head()
        };
        ask().is_ok_and(|head: Head| head.status() == 200)
    }

    /// Waits until the node is ready. Returns whether it is.
    pub fn wait_ready(&mut self) -> bool {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end && self.runs() {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts nodes that know each other, and waits until they are ready. Tries again with other ports if
/// another process has taken one since it was chosen as free.
pub fn start_nodes(case: &Case, store: SocketAddr, count: usize) -> Result<Vec<Node>, String> {
    const TRIES: usize = 3;
    let mut started = try_start(case, store, count);
    for _ in 1..TRIES {
        if started.is_ok() {
            break;
        }
        started = try_start(case, store, count);
    }
    started
}

fn try_start(case: &Case, store: SocketAddr, count: usize) -> Result<Vec<Node>, String> {
    let addresses: Result<Vec<Addresses>, _> = (0..count).map(|_| Addresses::choose()).collect();
    let addresses = addresses.map_err(|error| error.to_string())?;
    let seeds: Vec<SocketAddr> = addresses.iter().map(|node| node.control).collect();
    let mut nodes = Vec::new();
    for (index, addresses) in addresses.into_iter().enumerate() {
        let name = format!("edge-khomas-a-{}", index + 1);
        let node = Node::start(case, &name, addresses, &seeds, store);
        nodes.push(node.map_err(|error| format!("{name}: {error}"))?);
    }
    for node in &mut nodes {
        if !node.wait_ready() {
            return Err(format!("{} is not ready", node.name));
        }
        case.record(format!("{} is ready", node.name));
    }
    Ok(nodes)
}

/// Returns the item of a ready server.
pub fn server_item(service: &str, address: SocketAddr, slots: u32) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{ZONE}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"stage":"unified","sequence":1}}"#
    )
}

/// Limits on clients.
#[derive(Clone, Copy)]
pub struct Limits {
    /// `maxHeaderBytes`.
    pub header_bytes: u32,
    /// `idleTimeoutMs`.
    pub idle_ms: u32,
}

/// Returns a configuration with one route of each kind, all with this timeout.
pub fn config(version: u32, timeout_ms: u32, limits: Limits) -> String {
    config_with(version, timeout_ms, limits, "booking-desk", 0)
}

/// Returns a configuration whose route `r-book` leads to a service, with a number of routes of other hosts.
pub fn config_with(
    version: u32,
    timeout_ms: u32,
    limits: Limits,
    desk: &str,
    others: u32,
) -> String {
    let route = |name: &str, host: &str, kind: &str, service: &str, attempts: u32| {
        let streams = kind == "streaming";
        let resumable = streams && attempts > 1;
        format!(
            r#"{{"name":"r-{name}","host":"{host}","pathPrefix":"/{name}/","routeType":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":800,"priority":1,{service},"maxAttempts":{attempts},"sticky":{streams},"resumable":{resumable},"gapTargetMs":400,"homeRegions":[]}}"#
        )
    };
    let to = |service: &str| format!(r#""service":"{service}""#);
    let mut routes = vec![
        route("view", HOST, "idempotent", &to("booking-desk"), 2),
        route("book", HOST, "non_idempotent", &to(desk), 1),
        route("review", HOST, "streaming", &to("seam-stylist"), 1),
        route("chat", HOST, "streaming", &to("seam-stylist"), 2),
    ];
    let split = r#""trafficSplit":[{"service":"booking-desk","weight":90},{"service":"booking-desk-2","weight":10}]"#;
    for number in 0..others {
        let host = format!("salon-{number:04}.example");
        routes.push(route(
            &format!("x{number:04}"),
            &host,
            "idempotent",
            split,
            2,
        ));
    }
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}"#
        )
    };
    let Limits {
        header_bytes,
        idle_ms,
    } = limits;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"seam-stylist","healthPath":"/health","maxConnections":630,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.5,"engine":{{"slots":128,"kvCapacityTokens":472760}}}},{},{}],"limits":{{"maxHeaderBytes":{header_bytes},"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":{idle_ms}}}}}"#,
        routes.join(","),
        service("booking-desk"),
        service("booking-desk-2")
    )
}
