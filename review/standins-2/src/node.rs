//! Processes of the project, started with the command of the deploy file.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub struct Node {
    pub name: String,
    pub region: String,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    admin: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns an address with a free port below those that the system gives to outgoing connections.
fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const FIRST: u32 = 10_000;
    const COUNT: u32 = 20_000;
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (std::process::id() * 61 + step) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    pub fn new(folder: &Path, name: &str, region: &str) -> Self {
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            caller: free(),
            peer: free(),
            readiness: free(),
            directory: free(),
            admin: free(),
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Writes the settings, as `deploy/node.toml` renders them, and starts the process.
    pub fn start(&mut self, store: SocketAddr, seeds: &[SocketAddr], regions: &[&str]) {
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let zones: Vec<_> = regions
            .iter()
            .map(|region| format!("\"{region}-a\" = \"{region}\"\n"))
            .collect();
        let text = format!(
            "name = \"{}\"\nregion = \"{region}\"\ncentre = \"{region}-a\"\nworkers = 1\n\
             drain_limit_s = 8\nconnections = 3000\nbody_memory_mb = 48\nretries = 58\n\
             seeds = [{}]\n[listen]\ncaller = \"{}\"\npeer = \"{}\"\nadmin = \"{}\"\n\
             [items]\nstore = \"{store}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\ncores = 0.25\n\
             link_mbps = 1000.0\ncold_factor = 1.5\ncold_spare = 3\n[zones]\n{}\
             [log]\nformat = \"json\"\nlevel = \"info\"\n",
            self.name,
            seeds.join(","),
            self.caller,
            self.peer,
            self.admin,
            self.readiness,
            self.directory,
            zones.concat(),
            region = self.region,
        );
        std::fs::write(&self.settings, text).expect("the folder can be written");
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the folder can be written");
        let child = Command::new("target/release/toucanseam")
            .arg("--settings")
            .arg(&self.settings)
            .env("TOUCANSEAM_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("the log is open")))
            .stderr(Stdio::from(log))
            .spawn();
        self.child = Some(child.expect("target/release/toucanseam starts"));
    }

    pub fn ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && &answer[9..] == b"200"
    }

    /// Waits until the node is ready. Returns whether it is.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.ready() {
                return true;
            }
            if !self.running() {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.child = None;
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
