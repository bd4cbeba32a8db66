//! A node process whose targets answer many requests at once with bytes that do not end.

#[allow(dead_code, reason = "the platform's own tests use the rest")]
#[path = "../../../platform/tests/house"]
mod house {
    pub mod raw_servers;
    pub mod servers;
    pub mod setup;
    pub mod store;
}

#[allow(dead_code, reason = "the tests of other nodes use the rest")]
mod endless {
    pub mod world;
}

#[allow(dead_code, reason = "the soak test uses the rest")]
mod soak {
    pub mod node;
    pub mod proxy;
}

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use endless::world::{TIME_LIMIT, VM_MEMORY, World, call_beside, start_workers, wait_until_served};
use house::raw_servers::{EndlessAnswer, EndlessServer, RawAnswer, RawServer};
use house::servers::Server;
use seam_emulator::server::wait_until;
use seam_http::{block_on, lock};
use soak::node::Node;

/// Requests whose answers do not end.
const ENDLESS_REQUESTS: usize = 200;
const ENDLESS_SERVERS: usize = 4;
/// Memory of a node that has read an answer of the store of the largest size, held twice.
const MAX_STORE_PEAK: usize = 64 << 20;
/// Calls for an answer that does not end. Reads it, or leaves it in the connection, until the node
/// closes that.
fn call_endless(caller: SocketAddr, id: &str, reads: bool) {
    let mut connection = TcpStream::connect(caller).expect("the node listens");
    let time = TIME_LIMIT.as_millis();
    let request = format!(
        "GET /view/1 HTTP/1.1\r\nhost: salon.example\r\nattempt-id: {id}\r\ndeadline-ms: {time}\r\n\r\n"
    );
    connection
        .write_all(request.as_bytes())
        .expect("the node reads");
    if !reads {
        std::thread::sleep(2 * TIME_LIMIT);
    }
    let mut part = vec![0; 64 << 10];
    while connection.read(&mut part).is_ok_and(|count| count > 0) {}
}

const EVENTS: &str = "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nresponse-seal: s\r\ncontent-type: text/event-stream\r\n\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nresponse-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nresponse-seal: s\r\n\r\n";

/// Plays answers that a node relays until the time of their requests is over.
fn play_bodies(name: &str, answer: EndlessAnswer) {
    let open = play(name, answer);
    assert!(open * 2 > ENDLESS_REQUESTS, "only {open} answers at once");
}

/// Plays one kind of answer. Returns how many of them were written at once.
fn play(name: &str, answer: EndlessAnswer) -> usize {
    /// Held while response times are measured, as the plays of other tests take processors.
    static MEASURED: Mutex<()> = Mutex::new(());
    start_workers();
    let world = block_on(World::start(name));
    let endless: Vec<EndlessServer> = (0..ENDLESS_SERVERS)
        .map(|_| EndlessServer::start(answer))
        .collect();
    for (index, server) in endless.iter().enumerate() {
        let mut item = house::servers::server_item(server.address(), "desk", "north-a");
        item["slots"] = ENDLESS_REQUESTS.into();
        world.store.put_item(&format!("s-{index}"), &item);
    }
    let sound = Server::start("e-1", "north-a", "writer");
    world.store.put_item(&sound.id, &sound.item());
    let caller = world.node.ports.caller;
    block_on(wait_until_served(caller));
    let idle = world.node.peak_memory();
    let measured = lock(&MEASURED);
    let calls: Vec<_> = (0..ENDLESS_REQUESTS)
        .map(|index| {
            let id = format!("endless-{index}");
            std::thread::spawn(move || call_endless(caller, &id, index % 2 == 0))
        })
        .collect();
    let served = block_on(call_beside(caller, TIME_LIMIT));
    drop(measured);
    let (beside, slowest) = served.expect("a sound server's answers arrive");
    for call in calls {
        call.join().expect("the caller ends");
    }
    block_on(wait_until(|| {
        endless.iter().all(|server| server.open() == 0)
    }));
    let peak = world.node.peak_memory();
    let open: usize = endless.iter().map(EndlessServer::most_open).sum();
    println!(
        "{name}: {open} answers at once, {beside} requests beside them in at most {} ms; \
         {} MB at the start, {} MB at most, {} bytes written",
        slowest.as_millis(),
        idle >> 20,
        peak >> 20,
        endless.iter().map(EndlessServer::taken).sum::<usize>()
    );
    assert!(slowest < TIME_LIMIT, "a request took {slowest:?}");
    assert!(peak < VM_MEMORY, "{peak} bytes of memory");
    open
}

/// Guards against answers without end that fill a node's memory.
#[test]
fn large_parts() {
    play_bodies("until_close", EndlessAnswer::new(UNTIL_CLOSE, "aaaaaaaa"));
    play_bodies("chunks", EndlessAnswer::new(CHUNKED, "8\r\naaaaaaaa\r\n"));
}

/// Guards against a small part of a body that keeps the whole buffer that it was read into.
#[test]
fn small_parts() {
    const PAUSE: Duration = Duration::from_millis(15);
    let answer = EndlessAnswer::paused(CHUNKED, "1\r\na\r\n", PAUSE);
    play_bodies("small_parts", answer);
}

/// Guards against events without end that fill a node's memory while it waits for their ends.
#[test]
fn event_line() {
    play_bodies("event_line", EndlessAnswer::new(EVENTS, "aaaaaaaa"));
}

/// Guards against heads without end that fill a node's memory or keep its processor.
#[test]
fn head_field() {
    let head_field = EndlessAnswer::new("HTTP/1.1 200 OK\r\nx: ", "aaaaaaaa");
    assert!(play("head_field", head_field) > 0);
}

/// Guards against interim heads without end that keep a node's processor.
#[test]
fn informational_flood() {
    let answer = EndlessAnswer::new("", "HTTP/1.1 102 Processing\r\n\r\n");
    assert!(play("informational_flood", answer) > 0);
}

/// Guards against a store that fills a node's memory by an answer that does not end.
#[test]
fn store_answers() {
    const PAUSE: Duration = Duration::from_micros(30);
    let answers = [
        (
            "store_head",
            EndlessAnswer::new("HTTP/1.1 200 OK\r\n", "x: a\r\n"),
        ),
        (
            "store_interim",
            EndlessAnswer::new("", "HTTP/1.1 102 Processing\r\n\r\n"),
        ),
        (
            "store_space",
            EndlessAnswer::new("HTTP/1.1 200 OK\r\n\r\n", "        "),
        ),
        (
            "store_nested",
            EndlessAnswer::new("HTTP/1.1 200 OK\r\n\r\n", "["),
        ),
        (
            "store_parts",
            EndlessAnswer::paused(CHUNKED, "1\r\n \r\n", PAUSE),
        ),
    ];
    for (name, answer) in answers {
        let server = EndlessServer::start(answer);
        check_store(name, server.address());
    }
}

/// Guards against a store whose pages do not end, which a node reads and keeps for ever.
#[test]
fn store_pages() {
    /// Pages that a node may ask for while it tries to read the items again and again.
    const MAX_PAGES: usize = 100;
    let pages = RawServer::start(&[RawAnswer::kept(PAGE)]);
    check_store("store_pages", pages.address());
    let read = pages.heads().len();
    assert!(read < MAX_PAGES, "{read} pages read");
}

const PAGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 159\r\n\r\n{\"items\": [{\"key\": \"servers/s-1\", \"revision\": 1, \"value\": \"e30=\"}, {\"key\": \"servers/s-2\", \"revision\": 1, \"value\": \"e30=\"}], \"truncated\": true, \"currentRev\": 1}";

/// Runs a node with such a store for some calls.
fn check_store(name: &str, store: SocketAddr) {
    const SPAN: Duration = Duration::from_secs(4);
    let folder = std::env::temp_dir().join(format!("seam-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    start_workers();
    let mut node = Node::new(0, "north", &folder, store);
    node.start(&[]);
    std::thread::sleep(SPAN);
    assert!(node.is_running(), "{name}: the process ended");
    let peak = node.peak_memory();
    println!("{name}: {} MB at most", peak >> 20);
    assert!(peak < MAX_STORE_PEAK, "{name}: {peak} bytes of memory");
    node.kill();
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
}
