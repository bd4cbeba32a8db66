//! A node process to which other machines send without end what is no call of theirs: on the link between
//! nodes, in heartbeats and items, and on the ports for readiness and the directory.

#[allow(dead_code, reason = "the platform's own tests use the rest")]
#[path = "../../../platform/tests/house"]
mod house {
    pub mod servers;
    pub mod setup;
    pub mod store;
}

#[allow(dead_code, reason = "the tests of answers use the rest")]
mod endless {
    pub mod world;
}

#[allow(dead_code, reason = "the soak test uses the rest")]
mod soak {
    pub mod node;
    pub mod proxy;
}

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use async_executor::Task;
use bytes::Bytes;
use endless::world::{TIME_LIMIT, World, call_beside, start_workers, wait_until_served};
use futures_lite::{StreamExt, stream};
use house::servers::Server;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use seam_http::client::open_http2;
use seam_http::{Body, Listener, Stop, empty, fetch, full, serve, spawn};
use seam_protocol::heartbeat::ServiceReach;
use seam_protocol::key::append_mac;
use seam_protocol::{
    CentreId, Digest, Heartbeat, Incarnation, RegionId, RegionSummary, ServiceTag, StreamId, Vm,
    VmId, VmRecord,
};
use soak::node::Ports;

/// Memory that a node's control may use (256 MB), less what its tables take at their bounds (131 MB,
/// docs/CAPACITY.md).
const MAX_GAIN: usize = (256 - 131) * 1_000_000;
/// Nodes of the largest region. Each has a connection to this one, which may take its part of
/// [`MAX_GAIN`]: 2.08 MB.
const FAULTY_NODES: usize = 60;
/// Address space of the node, well above what a sound one uses.
const MAX_ADDRESS_SPACE: u64 = 1 << 30;

/// Held by the test that floods its node. The others start theirs meanwhile.
static TURN: Mutex<()> = Mutex::new(());

/// Senders of bytes without end. They end when the flag is cleared.
struct Flood {
    running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    tasks: Vec<Task<()>>,
}

impl Flood {
    fn run(&mut self, sender: impl FnOnce(&AtomicBool) + Send + 'static) {
        let running = self.running.clone();
        let thread = std::thread::spawn(move || sender(&running));
        self.threads.push(thread);
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.running.store(false, Ordering::SeqCst);
    }
}

/// Runs a node and another caller's requests beside a flood. Returns the metrics afterwards.
fn play(name: &str, start: impl FnOnce(&mut Flood, Ports)) -> String {
    start_workers();
    let mut world = seam_http::block_on(World::start(name));
    world.node.limit_memory(MAX_ADDRESS_SPACE);
    let sound = Server::start("e-1", "north-a", "writer");
    world.store.put_item(&sound.id, &sound.item());
    let caller = world.node.ports.caller;
    seam_http::block_on(wait_until_served(caller));
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let idle = world.node.peak_memory();
    let mut flood = Flood {
        running: Arc::new(AtomicBool::new(true)),
        threads: Vec::new(),
        tasks: Vec::new(),
    };
    start(&mut flood, world.node.ports);
    let calls = seam_http::block_on(call_beside(caller, TIME_LIMIT));
    assert!(world.node.is_running(), "{name}: the process ended");
    let gain = world.node.peak_memory() - idle;
    println!(
        "{name}: {} MB at the start, {} MB gained, calls beside: {calls:?}",
        idle >> 20,
        gain >> 20
    );
    let (_, slowest) = calls.expect("a sound server's answers arrive");
    assert!(slowest < TIME_LIMIT, "a request took {slowest:?}");
    assert!(gain < MAX_GAIN, "{gain} bytes of memory gained");
    flood.running.store(false, Ordering::SeqCst);
    flood.tasks.clear();
    for thread in flood.threads.drain(..) {
        thread.join().expect("the sender ends");
    }
    let metrics = Request::get("/metrics").body(empty());
    let metrics = metrics.expect("the request is valid");
    let metrics = fetch(world.node.ports.admin, metrics, TIME_LIMIT, 1 << 20);
    let metrics = seam_http::block_on(metrics).expect("the node responds");
    String::from_utf8_lossy(metrics.body()).into_owned()
}

/// Returns whether the metrics count that a bound was exceeded.
fn counts_exceeded(metrics: &str, bound: &str) -> bool {
    let label = format!("bound=\"{bound}\"");
    let mut lines = metrics.lines();
    lines.any(|line| line.starts_with("seam_bounds_exceeded{") && line.contains(&label))
}

const PEER_PORT: &str = "127.0.0.1:9";

fn vm(name: &str, peer: SocketAddr) -> Vm {
    Vm {
        name: name.to_owned(),
        region: RegionId::of("north"),
        centre: CentreId::of("north-a"),
        caller: PEER_PORT.parse().expect("an address"),
        peer,
        weight: Vm::DEFAULT_WEIGHT,
    }
}

/// Returns a heartbeat of a node that nobody knows yet.
fn heartbeat_of(name: &str, peer: SocketAddr) -> Heartbeat {
    let from = VmId::of(name);
    let mut heartbeat = Heartbeat::empty(from, RegionId::of("north"));
    heartbeat.sent = 1;
    heartbeat.vms.push(vm(name, peer));
    heartbeat.records.push(VmRecord {
        vm: from,
        incarnation: Incarnation(1),
        sequence: 1,
        revision: 0,
        ready: false,
        loads: Vec::new(),
    });
    heartbeat
}

/// Returns datagrams of many nodes, each with as many names as fit.
fn heartbeats_of_ghosts(add: impl Fn(&mut Heartbeat, u32)) -> Vec<Vec<u8>> {
    const DATAGRAMS: u32 = 1500;
    let peer = PEER_PORT.parse().expect("an address");
    let datagram = |number: u32| {
        let mut heartbeat = heartbeat_of(&format!("ghost-{number}"), peer);
        add(&mut heartbeat, number);
        append_mac(b"", heartbeat.encode())
    };
    (0..DATAGRAMS).map(datagram).collect()
}

/// Sends the datagrams of many nodes again and again.
fn flood_heartbeats(name: &str, add: impl Fn(&mut Heartbeat, u32)) {
    let datagrams = heartbeats_of_ghosts(add);
    play(name, |flood, ports| {
        send_datagrams(flood, ports.peer, datagrams);
    });
}

/// Sends datagrams again and again.
fn send_datagrams(flood: &mut Flood, node: SocketAddr, datagrams: Vec<Vec<u8>>) {
    flood.run(move |running| {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        while running.load(Ordering::SeqCst) {
            for datagram in &datagrams {
                // The node may have ended.
                let _ = socket.send_to(datagram, node);
            }
        }
    });
}

/// Guards against a node that handles nothing but datagrams that are no heartbeats.
#[test]
fn short_datagrams() {
    let datagrams = vec![vec![0]; 100];
    let metrics = play("short_datagrams", |flood, ports| {
        send_datagrams(flood, ports.peer, datagrams);
    });
    assert!(counts_exceeded(&metrics, "heartbeats"), "{metrics}");
}

/// Guards against a node that handles nothing but the heartbeats of one that sends them without end, and
/// keeps every node that they name.
#[test]
fn named_nodes() {
    const NAMES: u32 = 150;
    flood_heartbeats("named_nodes", |heartbeat, number| {
        let peer = heartbeat.vms[0].peer;
        let others = (0..NAMES).map(|other| vm(&format!("ghost-{number}-{other}"), peer));
        heartbeat.vms.extend(others);
    });
}

/// Guards against regions, services and streams that heartbeats name without end.
#[test]
fn named_regions() {
    const SUMMARIES: u32 = 200;
    const QUERIES: u64 = 600;
    const SERVICES: u32 = 600;
    flood_heartbeats("named_regions", |heartbeat, number| {
        let summary = |other: u32| RegionSummary {
            region: RegionId(number * SUMMARIES + other),
            vm: heartbeat.from,
            incarnation: Incarnation(1),
            sequence: number,
            age: 0,
            revision: 0,
            nodes: Vec::new(),
            capacities: Vec::new(),
        };
        heartbeat.summaries = (0..SUMMARIES).map(summary).collect();
        let query = |other| StreamId(u64::from(number) * QUERIES + other);
        heartbeat.streams.queries = (0..QUERIES).map(query).collect();
        let reach = |other: u32| ServiceReach {
            service: ServiceTag((number * SERVICES + other) as u16),
            age: None,
        };
        heartbeat.reached = (0..SERVICES).map(reach).collect();
    });
}

/// Bytes of an HTTP/2 frame before its payload.
fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a short payload");
    let mut frame = length.to_be_bytes()[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

const SETTINGS: u8 = 4;
const PING: u8 = 6;
const UNKNOWN: u8 = 0x42;

/// Opens an HTTP/2 connection whose frames from the node are read and ignored.
fn open_link(address: SocketAddr) -> std::io::Result<TcpStream> {
    let mut link = TcpStream::connect(address)?;
    link.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")?;
    link.write_all(&frame(SETTINGS, 0, 0, &[]))?;
    let mut reader = link.try_clone()?;
    std::thread::spawn(move || {
        let mut part = [0; 4096];
        while reader.read(&mut part).is_ok_and(|count| count > 0) {}
    });
    Ok(link)
}

/// Guards against a node that handles nothing but frames that carry no request, for as long as another
/// one sends them.
#[test]
fn link_frames() {
    const FRAMES: usize = 1000;
    let closed = Arc::new(AtomicUsize::new(0));
    let counter = closed.clone();
    let kinds = [
        frame(SETTINGS, 0, 0, &[]),
        frame(PING, 0, 0, &[0; 8]),
        frame(UNKNOWN, 0, 0, &[]),
    ];
    let count = kinds.len();
    let metrics = play("link_frames", |flood, ports| {
        for kind in kinds {
            let closed = counter.clone();
            flood.run(move |running| {
                let mut link = open_link(ports.peer).expect("the node listens");
                let part = kind.repeat(FRAMES);
                while running.load(Ordering::SeqCst) {
                    if link.write_all(&part).is_err() {
                        closed.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                }
                let _ = link.shutdown(Shutdown::Both);
            });
        }
    });
    assert_eq!(closed.load(Ordering::SeqCst), count, "connections closed");
    assert!(counts_exceeded(&metrics, "control_frames"), "{metrics}");
}

/// Returns the bytes of a header block field that is not indexed.
fn literal_field(name_index: u8, name: &str, value: &str) -> Vec<u8> {
    let length = |text: &str| u8::try_from(text.len()).expect("a short text");
    let mut field = vec![name_index];
    if name_index == 0 {
        field.push(length(name));
        field.extend(name.bytes());
    }
    field.push(length(value));
    field.extend(value.bytes());
    field
}

/// Returns the header block of a call between nodes with more fields than any has.
fn header_block(call: &str, fields: usize) -> Vec<u8> {
    const METHOD_POST: u8 = 0x83;
    const SCHEME_HTTP: u8 = 0x86;
    const AUTHORITY: u8 = 1;
    const PATH: u8 = 4;
    let mut block = vec![METHOD_POST, SCHEME_HTTP];
    block.extend(literal_field(AUTHORITY, "", "node"));
    block.extend(literal_field(PATH, "", &format!("/seam.peer.Peer/{call}")));
    block.extend(literal_field(0, "a", "").repeat(fields));
    block
}

/// Guards against heads of calls that other nodes do not go on with, which fill a node's memory.
#[test]
fn link_heads() {
    const STREAMS: u32 = 20;
    /// Fields of 33 bytes each, by the rules of HTTP/2, in 64 KiB.
    const FIELDS: usize = 1900;
    const HEADERS: u8 = 1;
    const END_HEADERS: u8 = 4;
    let block = header_block("Items", FIELDS);
    play("link_heads", |flood, ports| {
        flood.run(move |running| {
            let mut links = Vec::new();
            for _ in 0..FAULTY_NODES {
                let mut link = open_link(ports.peer).expect("the node listens");
                for stream in 0..STREAMS {
                    let head = frame(HEADERS, END_HEADERS, 2 * stream + 1, &block);
                    if link.write_all(&head).is_err() {
                        break;
                    }
                }
                links.push(link);
            }
            while running.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(20));
            }
            for link in links {
                let _ = link.shutdown(Shutdown::Both);
            }
        });
    });
}

/// Returns a message without its last byte.
fn endless_message(message_bytes: u32) -> Body {
    const PART: &[u8] = &[0; 16 << 10];
    let mut prefix = vec![0];
    prefix.extend(message_bytes.to_be_bytes());
    let parts = message_bytes as usize / PART.len();
    let last = Bytes::from_static(&PART[1..]);
    let parts = stream::once(Bytes::from(prefix))
        .chain(stream::repeat(Bytes::from_static(PART)).take(parts - 1))
        .chain(stream::once(last))
        .chain(stream::pending());
    StreamBody::new(parts.map(|part| Ok(Frame::data(part)))).boxed_unsync()
}

/// Sends calls with messages that have no end on one connection.
async fn call_endlessly(node: SocketAddr, messages: Vec<u32>) {
    let token = Digest::of(&append_mac(b"", b"peer link 1".to_vec())).to_string();
    let sender = open_http2::<Body>(node).await.expect("the node listens");
    let mut responses = Vec::new();
    for message_bytes in messages {
        let request = Request::post(format!("http://{node}/seam.peer.Peer/Forward"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("seam-fleet", &token)
            .body(endless_message(message_bytes))
            .expect("the request is valid");
        let mut sender = sender.clone();
        responses.push(spawn(async move {
            // The node refuses the call or closes the connection.
            let _ = sender.send_request(request).await;
        }));
    }
    for response in responses {
        response.await;
    }
}

/// Guards against messages without an end that fill a node's memory.
#[test]
fn link_messages() {
    /// The default of `tonic`, and less than the longest that a node sends.
    const MESSAGE_BYTES: [u32; 2] = [4 << 20, 256 << 10];
    const CALLS: [usize; 2] = [2, 8];
    let metrics = play("link_messages", |flood, ports| {
        for _ in 0..FAULTY_NODES {
            let large = vec![MESSAGE_BYTES[0]; CALLS[0]];
            let messages = [large, vec![MESSAGE_BYTES[1]; CALLS[1]]].concat();
            flood
                .tasks
                .push(spawn(call_endlessly(ports.peer, messages)));
        }
    });
    for bound in ["messages", "message_size"] {
        assert!(counts_exceeded(&metrics, bound), "{bound}: {metrics}");
    }
}

/// Returns a reply with as many items as fit, each of four bytes.
fn reply_of_small_items() -> Bytes {
    const ITEMS: usize = 7_000_000;
    const DELTA_FIELD: u8 = 0x0a;
    let varint = |mut value: usize| {
        let mut bytes = Vec::new();
        while value >= 0x80 {
            bytes.push((value & 0x7f) as u8 | 0x80);
            value >>= 7;
        }
        bytes.push(value as u8);
        bytes
    };
    let mut delta = varint(ITEMS);
    for _ in 0..ITEMS {
        // An empty key, the revision, no value, not lapsed.
        delta.extend([0, 1, 0, 0]);
    }
    delta.extend([1, 0]);
    let mut message = vec![DELTA_FIELD];
    message.extend(varint(delta.len()));
    message.extend(delta);
    let length = u32::try_from(message.len()).expect("the message is short enough");
    let mut reply = vec![0];
    reply.extend(length.to_be_bytes());
    reply.extend(message);
    reply.into()
}

/// Guards against items of few bytes each that take far more memory than the reply that lists them.
#[test]
fn small_items() {
    let reply = reply_of_small_items();
    let calls = Arc::new(AtomicUsize::new(0));
    let counter = calls.clone();
    play("small_items", |flood, ports| {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::bind(any).expect("a port is free");
        let peer = listener.address;
        let handler = move |_, _| {
            counter.fetch_add(1, Ordering::SeqCst);
            let trailers = HeaderMap::from_iter([(
                http::HeaderName::from_static("grpc-status"),
                HeaderValue::from_static("0"),
            )]);
            let body = full(reply.clone()).with_trailers(async move { Some(Ok(trailers)) });
            let mut response = Response::new(body.boxed_unsync());
            let content_type = HeaderValue::from_static("application/grpc");
            response.headers_mut().insert("content-type", content_type);
            async move { response }
        };
        flood
            .tasks
            .push(spawn(serve(listener, Stop::default(), handler)));
        flood.run(move |running| {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
            let mut heartbeat = heartbeat_of("ghost", peer);
            heartbeat.items_revision = 1 << 40;
            while running.load(Ordering::SeqCst) {
                heartbeat.sent += 1;
                let datagram = append_mac(b"", heartbeat.encode());
                let _ = socket.send_to(&datagram, ports.peer);
                std::thread::sleep(Duration::from_millis(100));
            }
        });
    });
    assert!(calls.load(Ordering::SeqCst) > 0, "no items were fetched");
}

/// Guards against heads without end on the ports for readiness, the directory and administration, which
/// fill a node's memory.
#[test]
fn control_ports() {
    const CONNECTIONS: usize = 1000;
    /// Heads below the default limit of 64 KiB, and below the smallest of 8 KiB.
    const HEAD_BYTES: [usize; 2] = [60 << 10, 7 << 10];
    let metrics = play("control_ports", |flood, ports| {
        for address in [ports.readiness, ports.directory, ports.admin] {
            flood.run(move |running| {
                let head = |bytes| format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}", "a".repeat(bytes));
                let heads = HEAD_BYTES.map(head);
                let mut open = Vec::new();
                for number in 0..CONNECTIONS {
                    if !running.load(Ordering::SeqCst) {
                        break;
                    }
                    let Ok(mut connection) = TcpStream::connect(address) else {
                        break;
                    };
                    // The node may have refused the head already.
                    let _ = connection.write_all(heads[number % 2].as_bytes());
                    open.push(connection);
                }
                while running.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    assert!(counts_exceeded(&metrics, "request_head"), "{metrics}");
}
