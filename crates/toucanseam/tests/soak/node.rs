//! A node process, with its settings, ports and signals.

use std::ffi::OsString;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use socket2::Socket;

use super::proxy::{Proxy, reserve_port};

/// Addresses of a node, which stay the same over restarts.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
}

impl Ports {
    /// Reserves ports for as long as the returned sockets live.
    fn reserve() -> (Self, Vec<Socket>) {
        let mut reserved = Vec::new();
        let mut reserve = || {
            let (address, socket) = reserve_port();
            reserved.push(socket);
            address
        };
        let ports = Self {
            caller: reserve(),
            peer: reserve(),
            admin: reserve(),
            readiness: reserve(),
            directory: reserve(),
        };
        (ports, reserved)
    }
}

/// A node, and its process while it runs.
pub struct Node {
    pub region: String,
    pub ports: Ports,
    /// Proxy between the node and the store.
    pub store: Proxy,
    name: String,
    /// Sockets that reserve the ports.
    reserved: Vec<Socket>,
    folder: PathBuf,
    child: Option<Child>,
    /// The program to run.
    pub program: OsString,
    /// Regions of the deployment, each with one zone.
    pub regions: Vec<String>,
    /// Part of a core that the settings state.
    pub cores: f64,
    /// Number of starts.
    pub starts: usize,
    pub paused: bool,
}

/// Returns the program to run: that of `NODE_PROGRAM`, such as an earlier build, or else the current one.
fn program() -> OsString {
    std::env::var_os("NODE_PROGRAM").unwrap_or_else(|| env!("CARGO_BIN_EXE_toucanseam").into())
}

impl Node {
    pub fn new(index: usize, region: &str, folder: &Path, store: SocketAddr) -> Self {
        let (ports, reserved) = Ports::reserve();
        Self {
            region: region.to_owned(),
            ports,
            reserved,
            store: Proxy::start(store),
            name: format!("vm-{index}"),
            folder: folder.to_owned(),
            child: None,
            program: program(),
            regions: ["north", "south"].map(str::to_owned).to_vec(),
            cores: 1.0,
            starts: 0,
            paused: false,
        }
    }

    /// Reserves other ports, before callers or other nodes use the current ones.
    pub fn change_ports(&mut self) {
        (self.ports, self.reserved) = Ports::reserve();
    }

    /// Starts the process, which must not be running.
    pub fn start(&mut self, seeds: &[SocketAddr]) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let Ports {
            caller,
            peer,
            admin,
            readiness,
            directory,
        } = self.ports;
        let zones: Vec<String> = self
            .regions
            .iter()
            .map(|it| format!("{it}-a = \"{it}\"\n"))
            .collect();
        let settings = format!(
            "name = \"{}\"\nregion = \"{region}\"\ncentre = \"{region}-a\"\nworkers = 1\n\
             drain_limit_s = 8\nretries = 58\nseeds = [{}]\n\
             [listen]\ncaller = \"{caller}\"\npeer = \"{peer}\"\nadmin = \"{admin}\"\n\
             [items]\nstore = \"{}\"\nreadiness = \"{readiness}\"\ndirectory = \"{directory}\"\n\
             cores = {cores:?}\n[zones]\n{zones}[log]\nformat = \"json\"\n",
            self.name,
            seeds.join(", "),
            self.store.address,
            region = self.region,
            cores = self.cores,
            zones = zones.concat(),
        );
        let path = self.folder.join(format!("{}.toml", self.name));
        std::fs::write(&path, settings).expect("the folder can be written");
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).expect("the folder can be written");
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::from(log.try_clone().expect("the log file is open")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
        self.starts += 1;
    }

    /// Returns the identifier of the process.
    pub fn id(&self) -> Option<Pid> {
        self.child.as_ref().map(Pid::from_child)
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the most memory that the process has held at once, in bytes.
    pub fn peak_memory(&self) -> usize {
        let child = self.child.as_ref().expect("the process runs");
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.expect("the process runs");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        let kilobytes: usize = peak
            .and_then(|peak| peak.trim().parse().ok())
            .expect("the system states the peak");
        kilobytes << 10
    }

    /// Limits the address space of the process. It ends when it needs more.
    pub fn limit_memory(&self, bytes: u64) {
        let id = self.id();
        let limit = Rlimit {
            current: Some(bytes),
            maximum: Some(bytes),
        };
        prlimit(id, Resource::As, limit).expect("the process is a child of this one");
    }

    /// Sends a signal to the process that this test started.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        if let Some(id) = self.id() {
            kill_process(id, signal).expect("the process is a child of this one");
            match signal {
                Signal::STOP => self.paused = true,
                Signal::CONT => self.paused = false,
                _ => {}
            }
        }
    }

    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.child = None;
        self.paused = false;
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
