//! A real process of the program, from its start to its end.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use socket2::{Domain, Socket, Type};

use super::proxy::Proxy;

/// Addresses of a node, the same over all its starts.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
}

/// Takes a port of the system and keeps it from others: a socket that is bound but does not listen
/// leaves the port to a listener that shares addresses, and to nobody that asks for any port.
fn hold(held: &mut Vec<Socket>) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("the system has sockets");
    socket.set_reuse_address(true).expect("the option is known");
    socket
        .bind(&any.into())
        .expect("the system has ports to give");
    let address = socket.local_addr().expect("it is bound");
    held.push(socket);
    address.as_socket().expect("it is an IP address")
}

impl Ports {
    /// Takes ports, held as long as the sockets live.
    fn any() -> (Self, Vec<Socket>) {
        let mut held = Vec::new();
        let ports = Self {
            caller: hold(&mut held),
            peer: hold(&mut held),
            admin: hold(&mut held),
            readiness: hold(&mut held),
            directory: hold(&mut held),
        };
        (ports, held)
    }
}

/// A node and its process, if it runs.
pub struct Node {
    pub region: String,
    pub ports: Ports,
    /// The node's way to the store.
    pub store: Proxy,
    name: String,
    /// Keeps the ports from others.
    held: Vec<Socket>,
    folder: PathBuf,
    child: Option<Child>,
    /// How often it was started.
    pub starts: usize,
    pub paused: bool,
}

impl Node {
    pub fn new(index: usize, region: &str, folder: &Path, store: SocketAddr) -> Self {
        let (ports, held) = Ports::any();
        Self {
            region: region.to_owned(),
            ports,
            held,
            store: Proxy::start(store),
            name: format!("vm-{index}"),
            folder: folder.to_owned(),
            child: None,
            starts: 0,
            paused: false,
        }
    }

    /// Takes other ports, before anybody knows the ones it has.
    pub fn move_ports(&mut self) {
        (self.ports, self.held) = Ports::any();
    }

    /// Starts the process, which must not run.
    pub fn start(&mut self, seeds: &[SocketAddr]) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let Ports {
            caller,
            peer,
            admin,
            readiness,
            directory,
        } = self.ports;
        let settings = format!(
            "name = \"{}\"\nregion = \"{region}\"\ncentre = \"{region}-a\"\nworkers = 1\n\
             drain_limit_s = 8\nretries = 58\nseeds = [{}]\n\
             [listen]\ncaller = \"{caller}\"\npeer = \"{peer}\"\nadmin = \"{admin}\"\n\
             [items]\nstore = \"{}\"\nreadiness = \"{readiness}\"\ndirectory = \"{directory}\"\n\
             [zones]\nnorth-a = \"north\"\nsouth-a = \"south\"\n[log]\nformat = \"json\"\n",
            self.name,
            seeds.join(", "),
            self.store.address,
            region = self.region,
        );
        let path = self.folder.join(format!("{}.toml", self.name));
        std::fs::write(&path, settings).expect("the folder can be written");
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).expect("the folder can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_toucanseam"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::from(log.try_clone().expect("it is open")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
        self.starts += 1;
    }

    pub fn runs(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process that this test started.
    pub fn signal(&mut self, signal: Signal) {
        if !self.runs() {
            return;
        }
        let id = self.child.as_ref().map(Pid::from_child);
        if let Some(id) = id {
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
