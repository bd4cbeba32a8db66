//! A small deployment: the platform's store, a server in each region, and a node in each region.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Wire, connect_with_window};
use crate::node::Node;
use crate::store::Store;

/// Time after which machines that were not disturbed are in touch (`contactMs`), with a margin.
pub const CONTACT: Duration = Duration::from_millis(6500);
/// Time within which a node is ready.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Starts of the nodes before a case counts as one that cannot run.
const ATTEMPTS: usize = 3;
pub const REGIONS: [&str; 3] = ["khomas", "erongo", "oshana"];
pub const HOST: &str = "salon.example";

/// The record of a case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, text: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap();
        lines.push((Instant::now(), text.into()));
    }

    /// Writes all lines, in the order of time.
    pub fn write(&self, path: &str) -> io::Result<()> {
        let mut file = File::create(path)?;
        for (at, text) in self.lines.lock().unwrap().iter() {
            let millis = at.duration_since(self.start).as_millis();
            writeln!(file, "{:>6} ms  {text}", millis)?;
        }
        Ok(())
    }
}

/// What a sound server does with a request, after it has read the whole of it.
#[derive(Clone, Copy)]
pub struct Work {
    pub slots: u32,
    pub time: Duration,
}

/// Arrivals and runs at all servers, by `Attempt-Id`.
#[derive(Default)]
pub struct Ledger {
    pub arrivals: Mutex<Vec<(Instant, String)>>,
    pub runs: Mutex<BTreeMap<String, usize>>,
    /// Answers that were written to their end.
    pub written: Mutex<BTreeMap<String, usize>>,
}

pub struct Server {
    pub id: String,
    work: Work,
    running: Mutex<u32>,
    ledger: Arc<Ledger>,
    record: Record,
}

impl Server {
    fn start(id: &str, work: Work, ledger: &Arc<Ledger>, record: &Record) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let server = Arc::new(Self {
            id: id.to_owned(),
            work,
            running: Mutex::new(0),
            ledger: ledger.clone(),
            record: record.clone(),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(&mut Wire::new(stream));
                });
            }
        });
        address
    }

    fn serve(&self, wire: &mut Wire) -> io::Result<()> {
        while let Some(head) = wire.head()? {
            let id = head.get("attempt-id").unwrap_or_default().to_owned();
            let Work { slots, time } = self.work;
            if head.request().1 == "/health" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\ninstance-id: {}\r\ncontent-length: 0\r\n\r\n",
                    self.id
                );
                wire.send(answer.as_bytes())?;
                continue;
            }
            let arrivals = &self.ledger.arrivals;
            arrivals.lock().unwrap().push((Instant::now(), id.clone()));
            self.record.add(format!("{id} reaches server {}", self.id));
            let read = wire.body(&head, false);
            if let Err(error) = read {
                self.record
                    .add(format!("{id}: its body breaks off at the server: {error}"));
                return Err(error);
            }
            let other = head.get("expect-instance") != Some(&self.id);
            let full = {
                let mut running = self.running.lock().unwrap();
                let full = *running >= slots;
                *running += u32::from(!other && !full);
                full
            };
            if other || full {
                let status = if other { "421 Misdirected" } else { "503 Full" };
                let answer = format!(
                    "HTTP/1.1 {status}\r\nattempt-id: {id}\r\nnot-executed: 1\r\ninstance-id: {}\r\n\
                     content-length: 0\r\n\r\n",
                    self.id
                );
                wire.send(answer.as_bytes())?;
                continue;
            }
            *self
                .ledger
                .runs
                .lock()
                .unwrap()
                .entry(id.clone())
                .or_default() += 1;
            self.record.add(format!("server {} runs {id}", self.id));
            let stays = stays(wire, time);
            let running = {
                let mut running = self.running.lock().unwrap();
                *running -= 1;
                *running
            };
            if !stays {
                self.record.add(format!(
                    "server {} drops {id}, whose channel is closed",
                    self.id
                ));
                return Ok(());
            }
            // The last number of the path is the length of the answer.
            let length = head.request().1.rsplit('/').next();
            let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            let first = format!(
                "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-seal: s.{id}\r\n\
                 server-load: {running},0,{slots}\r\ncontent-length: {length}\r\n\r\n"
            );
            wire.send(first.as_bytes())?;
            wire.send(&vec![b'x'; length])?;
            self.ledger
                .written
                .lock()
                .unwrap()
                .insert(id.clone(), length);
            self.record
                .add(format!("server {} has written its answer to {id}", self.id));
        }
        Ok(())
    }
}

/// Works for a time. Returns `false` as soon as the channel is closed.
fn stays(wire: &Wire, time: Duration) -> bool {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let _ = wire.stream.set_read_timeout(None);
            return true;
        }
        let _ = wire
            .stream
            .set_read_timeout(Some(left.min(Duration::from_millis(10))));
        match wire.stream.peek(&mut [0]) {
            Ok(0) => return false,
            // What follows on the channel waits.
            Ok(_) => thread::sleep(left.min(Duration::from_millis(10))),
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return false,
        }
    }
}

pub struct Deployment {
    pub nodes: Vec<Node>,
    pub store: Store,
    pub ledger: Arc<Ledger>,
    pub record: Record,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns a configuration with a route that may be repeated and one that may not.
fn configuration(objective: u64, timeout: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u64| {
        format!(
            r#"{{"name":"r-{name}","host":"{HOST}","pathPrefix":"/{name}/","routeType":"{kind}","timeoutMs":{timeout},"targetLatencyMs":{objective},"priority":2,"service":"booking-desk","maxAttempts":{attempts},"sticky":false,"resumable":false,"homeRegions":[]}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"booking-desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("book", "non_idempotent", 1),
        route("view", "idempotent", 2),
    )
}

impl Deployment {
    /// Starts everything, and waits until all nodes are in touch. Returns `None` if they do not start.
    pub fn start(case: &str, work: Work, objective: u64, timeout: u64) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let record = Record::new();
        let ledger: Arc<Ledger> = Arc::default();
        let store = Store::start();
        store.put("op/config", Some(&configuration(objective, timeout)));
        for region in REGIONS {
            let id = format!("i-{region}");
            let address = Server::start(&id, work, &ledger, &record);
            let entry = format!(
                r#"{{"service":"booking-desk","address":"{address}","zone":"{region}-a","version":"v1","slots":{},"state":"ready","coldRemainingMs":0,"sequence":1,"born":1700000000000}}"#,
                work.slots
            );
            store.put(&format!("servers/{id}"), Some(&entry));
        }
        let mut deployment = Self {
            nodes: Vec::new(),
            store,
            ledger,
            record,
            folder,
        };
        // Another program may take a port before a node does.
        let ready = (0..ATTEMPTS).any(|_| deployment.start_nodes());
        deployment.record.add(format!("nodes ready: {ready}"));
        thread::sleep(CONTACT);
        ready.then_some(deployment)
    }

    /// Starts the nodes on other ports than before. Returns whether they are ready.
    fn start_nodes(&mut self) -> bool {
        for node in &mut self.nodes {
            node.kill();
        }
        let nodes = REGIONS.iter().map(|region| {
            let name = format!("edge-{region}-a-1");
            Node::new(&self.folder, &name, region)
        });
        self.nodes = nodes.collect();
        let seeds: Vec<_> = self.nodes.iter().map(|node| node.peer).collect();
        for node in &mut self.nodes {
            node.start(self.store.address, &seeds, &REGIONS);
        }
        let mut nodes = self.nodes.iter_mut();
        nodes.all(|node| node.wait_ready(READY_LIMIT))
    }

    /// Returns whether all nodes still run.
    pub fn all_run(&mut self) -> bool {
        self.nodes.iter_mut().all(Node::running)
    }
}

/// Opens a caller's channel.
pub fn channel(address: SocketAddr) -> io::Result<Wire> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(Wire::new(stream))
}

/// Opens a caller's channel with a small window.
pub fn small_channel(address: SocketAddr) -> io::Result<Wire> {
    const WINDOW_BYTES: i32 = 1024;
    let stream = connect_with_window(address, WINDOW_BYTES)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(Wire::new(stream))
}

/// Sends a request.
pub fn send(
    wire: &mut Wire,
    (method, path): (&str, &str),
    id: &str,
    budget: u64,
    body: usize,
) -> io::Result<()> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\ndeadline-ms: {budget}\r\n\
         content-length: {body}\r\n\r\n"
    );
    wire.send(head.as_bytes())?;
    wire.send(&vec![b'b'; body])
}
