//! Random misbehaviour of servers and callers around long bodies.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Wire, reset};
use crate::node::Node;
use crate::store::Store;

pub struct Rng(u64);
impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

pub fn hash(bytes: &[u8]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for b in bytes {
        h = (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3);
    }
    h
}

fn bytes_of(seed: u64, length: usize) -> Vec<u8> {
    let mut rng = Rng::new(seed);
    let mut out = Vec::with_capacity(length + 8);
    while out.len() < length {
        out.extend_from_slice(format!("{:016x}\n", rng.next()).as_bytes());
    }
    out.truncate(length);
    out
}

#[derive(Default)]
struct Ledger {
    /// id -> runs with a note
    runs: Mutex<BTreeMap<String, Vec<String>>>,
    arrivals: Mutex<BTreeMap<String, Vec<String>>>,
    /// id -> (status, body hash) last valid answer per run
    answers: Mutex<BTreeMap<String, Vec<(u16, u64)>>>,
    wrong: Mutex<Vec<String>>,
    sent: Mutex<BTreeMap<String, (String, u64)>>,
}

impl Ledger {
    fn complain(&self, text: String) {
        println!("WRONG {text}");
        self.wrong.lock().unwrap().push(text);
    }
}

struct Server {
    id: String,
    ledger: Arc<Ledger>,
    faulty: u64,
    seq: AtomicU64,
}

impl Server {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut rng =
            Rng::new(self.seq.fetch_add(1, Ordering::Relaxed) * 7919 + hash(self.id.as_bytes()));
        let mut wire = Wire::new(stream);
        wire.stream
            .set_read_timeout(Some(Duration::from_millis(800 + rng.below(4000))))?;
        let mut late: Option<Vec<u8>> = None;
        loop {
            let Some(head) = wire.head()? else {
                return Ok(());
            };
            let (method, target) = head.request();
            if target == "/health" {
                wire.send(
                    format!(
                        "HTTP/1.1 200 OK\r\ninstance-id: {}\r\ncontent-length: 0\r\n\r\n",
                        self.id
                    )
                    .as_bytes(),
                )?;
                continue;
            }
            let id = head.get("attempt-id").unwrap_or("").to_owned();
            if !matches!(method, "GET" | "POST")
                || !head.first.ends_with("HTTP/1.1")
                || id.is_empty()
            {
                self.ledger
                    .complain(format!("server {} got a line {:?}", self.id, head.first));
                return Ok(());
            }
            let known = self.ledger.sent.lock().unwrap().get(&id).cloned();
            let Some((path, sum)) = known else {
                self.ledger.complain(format!("unasked {id}"));
                return Ok(());
            };
            if path != target {
                self.ledger
                    .complain(format!("path of {id} {path} -> {target}"));
            }
            self.ledger
                .arrivals
                .lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .push(self.id.clone());
            let echo = format!("attempt-id: {id}\r\n");
            if head.get("expect-instance") != Some(&self.id) {
                wire.send(format!("HTTP/1.1 421 Misdirected Request\r\n{echo}instance-id: {}\r\ncontent-length: 0\r\n\r\n", self.id).as_bytes())?;
                wire.body(&head, false)?;
                continue;
            }
            if let Some(bytes) = late.take() {
                wire.send(&bytes)?;
            }
            let wild = rng.chance(self.faulty);
            let fault = if wild { rng.below(16) } else { 99 };
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{echo}not-executed: 1\r\ncontent-length: 4\r\n\r\nfull"
            );
            match fault {
                0 => {
                    // Rejected before the body is read; the rest is read later.
                    wire.send(refusal.as_bytes())?;
                    thread::sleep(Duration::from_millis(rng.below(300)));
                    wire.body(&head, false)?;
                    continue;
                }
                1 => {
                    wire.body(&head, false)?;
                    wire.send(refusal.as_bytes())?;
                    continue;
                }
                2 => {
                    // Reads a part and resets.
                    let _ = wire.fill();
                    reset(&wire.stream);
                    return Ok(());
                }
                3 => {
                    // Drops the channel before anything is read of the body.
                    return Ok(());
                }
                _ => {}
            }
            // A stated run.
            let early = fault == 4;
            let run = |note: &str| {
                self.ledger
                    .runs
                    .lock()
                    .unwrap()
                    .entry(id.clone())
                    .or_default()
                    .push(format!("{} {note}", self.id));
            };
            if !early {
                if fault == 5 {
                    thread::sleep(Duration::from_millis(rng.below(1500)));
                }
                let body = wire.body(&head, false)?;
                if hash(&body) != sum {
                    self.ledger
                        .complain(format!("body of {id} changed: {} bytes", body.len()));
                }
            }
            run("run");
            thread::sleep(Duration::from_millis(5 + rng.below(30)));
            let length = match rng.below(4) {
                0 => 0,
                1 => 800,
                2 => rng.below(5000) as usize,
                _ => rng.below(200_000) as usize,
            };
            let body = bytes_of(hash(id.as_bytes()), length);
            let status = if rng.chance(6) {
                [500, 404, 429, 503][rng.below(4) as usize]
            } else {
                200
            };
            self.ledger
                .answers
                .lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .push((status, hash(&body)));
            let seal = format!(
                "response-seal: {:x}\r\nx-length: {length}\r\n",
                hash(format!("{id} {status}").as_bytes())
            );
            if fault == 6 {
                reset(&wire.stream);
                return Ok(());
            }
            if fault == 7 {
                wire.send(b"\x00\x01garbage that is no answer\r\n\r\n")?;
                return Ok(());
            }
            let mut answer = Vec::new();
            let framing = if fault == 8 { 2 } else { rng.below(2) };
            let close = if rng.chance(5) {
                "connection: close\r\n"
            } else {
                ""
            };
            let first = format!("HTTP/1.1 {status} Status\r\n{echo}{seal}{close}");
            answer.extend_from_slice(first.as_bytes());
            match framing {
                0 => {
                    answer
                        .extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes());
                    answer.extend_from_slice(&body);
                }
                1 => {
                    answer.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
                    for part in body.chunks(7000) {
                        answer.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                        answer.extend_from_slice(part);
                        answer.extend_from_slice(b"\r\n");
                    }
                    answer.extend_from_slice(b"0\r\n\r\n");
                }
                _ => {
                    answer.extend_from_slice(b"\r\n");
                    answer.extend_from_slice(&body);
                }
            }
            if fault == 9 && answer.len() > first.len() + 60 {
                // Broken off.
                let cut =
                    first.len() + 40 + rng.below((answer.len() - first.len() - 50) as u64) as usize;
                wire.send(&answer[..cut])?;
                if rng.chance(50) {
                    thread::sleep(Duration::from_millis(rng.below(300)));
                }
                if rng.chance(50) || framing == 2 {
                    reset(&wire.stream);
                }
                return Ok(());
            }
            if fault == 8 {
                wire.send(&answer)?;
                return Ok(());
            }
            if rng.chance(20) {
                for part in answer.chunks(1 + rng.below(9000) as usize) {
                    wire.send(part)?;
                    thread::sleep(Duration::from_millis(rng.below(6)));
                }
            } else {
                wire.send(&answer)?;
            }
            if early {
                let body = wire.body(&head, false)?;
                if hash(&body) != sum {
                    self.ledger
                        .complain(format!("late body of {id} changed: {} bytes", body.len()));
                }
            }
            match fault {
                10 => wire.send(&answer)?,
                11 => late = Some(answer.clone()),
                12 => return Ok(()),
                13 => {
                    thread::sleep(Duration::from_millis(rng.below(40)));
                    wire.send(&answer)?;
                }
                14 => wire.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")?,
                _ => {}
            }
            if !close.is_empty() {
                return Ok(());
            }
        }
    }
}

fn start_server(id: &str, ledger: &Arc<Ledger>, faulty: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = Arc::new(Server {
        id: id.to_owned(),
        ledger: ledger.clone(),
        faulty,
        seq: AtomicU64::new(1),
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = server.clone();
            thread::spawn(move || {
                let _ = server.serve(stream);
            });
        }
    });
    address
}

struct Outcome {
    id: String,
    once: bool,
    status: Option<u16>,
    note: String,
}

fn caller(
    number: u64,
    address: SocketAddr,
    ledger: &Arc<Ledger>,
    end: Instant,
    seed: u64,
    slots: &Mutex<Vec<Outcome>>,
) {
    let mut rng = Rng::new(seed * 1000 + number);
    let mut wire: Option<Wire> = None;
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        let id = format!("{seed:x}-{number:x}-{count:x}");
        let kind = rng.below(3);
        let (path, once) = match kind {
            0 => ("book", true),
            1 => ("view", false),
            _ => ("book", true),
        };
        let target = format!("/{path}/{count}?n={number}");
        let length = match rng.below(5) {
            0 => 0,
            1 => rng.below(2000),
            2 => 60_000 + rng.below(10_000),
            3 => rng.below(400_000),
            _ => rng.below(70_000),
        } as usize;
        let body = bytes_of(hash(id.as_bytes()) ^ 77, length);
        ledger
            .sent
            .lock()
            .unwrap()
            .insert(id.clone(), (target.clone(), hash(&body)));
        let chunked = rng.chance(50);
        let method = if length == 0 && rng.chance(50) {
            "GET"
        } else {
            "POST"
        };
        let mut head = format!(
            "{method} {target} HTTP/1.1\r\nhost: salon.example\r\nattempt-id: {id}\r\ndeadline-ms: 3000\r\n"
        );
        let chunked = chunked && method == "POST";
        if chunked {
            head.push_str("transfer-encoding: chunked\r\n");
        } else if method == "POST" {
            head.push_str(&format!("content-length: {length}\r\n"));
        }
        let expects = length > 0 && rng.chance(5);
        if expects {
            head.push_str("expect: 100-continue\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        if method == "POST" {
            if chunked {
                for part in body.chunks(1 + rng.below(30_000) as usize) {
                    bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                    bytes.extend_from_slice(part);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\n\r\n");
            } else {
                bytes.extend_from_slice(&body);
            }
        }
        let mut connection = match wire.take() {
            Some(wire) => wire,
            None => match TcpStream::connect(address) {
                Ok(stream) => Wire::new(stream),
                Err(_) => {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
            },
        };
        let _ = connection
            .stream
            .set_read_timeout(Some(Duration::from_millis(6000)));
        let _ = connection
            .stream
            .set_write_timeout(Some(Duration::from_millis(6000)));
        // Written beside the reading, as an answer may come early.
        let mut writer = connection.stream.try_clone().unwrap();
        let leave = if rng.chance(6) {
            Some(rng.below(bytes.len() as u64) as usize)
        } else {
            None
        };
        let slow = rng.chance(15);
        let cut_reset = rng.chance(50);
        let linger = rng.below(200);
        let chunk = 1 + rng.below(40_000) as usize;
        let pause = rng.below(30);
        let writing = thread::spawn(move || -> bool {
            use std::io::Write;
            let upto = leave.unwrap_or(bytes.len());
            if slow {
                for part in bytes[..upto].chunks(chunk.max(2000)) {
                    if writer.write_all(part).is_err() {
                        return false;
                    }
                    thread::sleep(Duration::from_millis(pause));
                }
            } else if writer.write_all(&bytes[..upto]).is_err() {
                return false;
            }
            if leave.is_some() {
                thread::sleep(Duration::from_millis(linger));
                if cut_reset {
                    reset(&writer);
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return false;
            }
            true
        });
        let mut status = None;
        let mut note = String::new();
        let mut keep = false;
        let answer = loop {
            match connection.head() {
                Ok(Some(head)) if head.status() == 100 => continue,
                other => break other,
            }
        };
        match answer {
            Ok(Some(head)) => {
                let code = head.status();
                let answered = head.get("attempt-id").unwrap_or("").to_owned();
                let whole = connection.body(&head, true);
                match whole {
                    Ok(got) => {
                        status = Some(code);
                        if !answered.is_empty() && answered != id {
                            ledger.complain(format!(
                                "{id} got the answer of {answered} status {code}"
                            ));
                        }
                        let seal = head.get("response-seal");
                        let runs = ledger
                            .answers
                            .lock()
                            .unwrap()
                            .get(&id)
                            .cloned()
                            .unwrap_or_default();
                        if (200..300).contains(&code) && seal.is_none() {
                            ledger.complain(format!("{id} success without a seal"));
                        }
                        if seal.is_some() {
                            let sealed = format!("{:x}", hash(format!("{id} {code}").as_bytes()));
                            if seal != Some(&sealed) {
                                ledger.complain(format!(
                                    "{id} status {code} with the seal of another"
                                ));
                            }
                            if !runs.contains(&(code, hash(&got))) {
                                ledger.complain(format!("{id} status {code} body of {} bytes is not the server's ({:?}) x-length {:?}", got.len(), runs, head.get("x-length")));
                            }
                        }
                        keep = head.get("connection") != Some("close");
                    }
                    Err(error) => note = format!("cut in the answer {code}: {error}"),
                }
            }
            Ok(None) => note = "closed".to_owned(),
            Err(error) => note = format!("{error}"),
        }
        let written = writing.join().unwrap_or(false);
        if status.is_some() && connection.buffered() > 0 {
            ledger.complain(format!(
                "{id} more bytes after the answer: {}",
                connection.buffered()
            ));
        }
        if keep && written && leave.is_none() {
            if rng.chance(10) {
                thread::sleep(Duration::from_millis(rng.below(2500)));
            }
            wire = Some(connection);
        }
        let left = leave.is_some();
        slots.lock().unwrap().push(Outcome {
            id,
            once,
            status,
            note: if left { "left".into() } else { note },
        });
        thread::sleep(Duration::from_millis(rng.below(40)));
    }
}

pub fn config(version: u64, timeout: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u64| {
        format!(
            r#"{{"name":"{name}","host":"salon.example","pathPrefix":"/{name}/","routeType":"{kind}","timeoutMs":{timeout},"targetLatencyMs":400,"priority":2,"service":"desk","maxAttempts":{attempts},"sticky":false,"resumable":false,"homeRegions":[]}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{{"name":"desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("book", "non_idempotent", 1),
        route("view", "idempotent", 2)
    )
}

pub fn run(arguments: &[String]) -> i32 {
    let number = |index: usize, default: u64| {
        arguments
            .get(index)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (seed, seconds, faulty, callers, signals) = (
        number(0, 1),
        number(1, 20),
        number(2, 30),
        number(3, 12),
        number(4, 0),
    );
    let folder = std::env::temp_dir().join(format!("chaos-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let ledger = Arc::new(Ledger::default());
    let store = Store::start();
    store.put("op/config", Some(&config(3, 3000)));
    let regions = ["north", "south"];
    for (index, region) in ["north", "north", "south"].iter().enumerate() {
        let id = format!("i-{index}{seed:x}");
        let address = start_server(&id, &ledger, faulty);
        store.put(&format!("servers/{id}"), Some(&format!(
            r#"{{"service":"desk","address":"{address}","zone":"{region}-a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1700000000000}}"#)));
    }
    let mut nodes: Vec<Node> = [("n1", "north"), ("n2", "north"), ("s1", "south")]
        .iter()
        .map(|(name, region)| Node::new(&folder, name, region))
        .collect();
    let seeds: Vec<SocketAddr> = nodes.iter().map(|node| node.peer).collect();
    for node in &mut nodes {
        node.start(store.address, &seeds, &regions);
    }
    for node in &mut nodes {
        if !node.wait_ready(Duration::from_secs(10)) {
            println!("not ready");
            return 2;
        }
    }
    let end = Instant::now() + Duration::from_secs(seconds);
    let slots = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = (0..callers)
        .map(|index| {
            let (ledger, slots, address) = (
                ledger.clone(),
                slots.clone(),
                nodes[index as usize % nodes.len()].caller,
            );
            thread::spawn(move || caller(index, address, &ledger, end, seed, &slots))
        })
        .collect();
    let mut rng = Rng::new(seed ^ 555);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(500 + rng.below(1500)));
        if signals > 0 {
            let which = rng.below(nodes.len() as u64) as usize;
            match rng.below(3) {
                0 => {
                    nodes[which].signal(19);
                    thread::sleep(Duration::from_millis(300 + rng.below(3500)));
                    nodes[which].signal(18);
                }
                1 => {
                    nodes[which].kill();
                    thread::sleep(Duration::from_millis(rng.below(500)));
                    nodes[which].start(store.address, &seeds, &regions);
                }
                _ => {
                    nodes[which].signal(15);
                    let start = Instant::now();
                    while nodes[which].running() && start.elapsed() < Duration::from_secs(9) {
                        thread::sleep(Duration::from_millis(50));
                    }
                    if nodes[which].running() {
                        println!("WRONG outlives");
                    }
                    nodes[which].start(store.address, &seeds, &regions);
                }
            }
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(Duration::from_secs(4));
    let runs = ledger.runs.lock().unwrap().clone();
    let mut tally: BTreeMap<String, u64> = BTreeMap::new();
    for outcome in slots.lock().unwrap().iter() {
        let ran = runs.get(&outcome.id).map_or(0, Vec::len);
        if outcome.once && ran > 1 {
            ledger.complain(format!("twice {} {:?}", outcome.id, runs[&outcome.id]));
        }
        if let Some(status) = outcome.status {
            if matches!(status, 408 | 421 | 429 | 503)
                && ran > 0
                && outcome.once
                && outcome.note != "left"
            {
                ledger.complain(format!(
                    "refused {} {status} though it ran {:?}",
                    outcome.id, runs[&outcome.id]
                ));
            }
        }
        let key = match outcome.status {
            Some(status) => format!("{status}"),
            None => outcome.note.clone(),
        };
        *tally.entry(key).or_default() += 1;
    }
    println!("{tally:?}");
    for node in &mut nodes {
        if !node.running() {
            println!("WRONG {} ended", node.name);
        }
    }
    let wrong = ledger.wrong.lock().unwrap().len();
    println!("seed {seed}: {wrong} wrong");
    for node in &mut nodes {
        node.kill();
    }
    if wrong == 0 {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("{}", folder.display());
    }
    i32::from(wrong > 0)
}
