//! Limits on callers that send too much or too slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::Response;
use http_body_util::BodyExt;
use seam_http::{CallerLimits, Listener, Stop, full, serve_with_limits, spawn, start_workers};

/// Longest time a test waits for the server, well above the limits under test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn start(limits: CallerLimits) -> SocketAddr {
    start_shared(Arc::new(Mutex::new(limits)))
}

/// Starts a server with limits that can be changed.
fn start_shared(limits: Arc<Mutex<CallerLimits>>) -> SocketAddr {
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| start_workers(1));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any).expect("a free port is available");
    let address = listener.address;
    let handler = |_, _| async { Response::new(full("done")) };
    let limits = move || *limits.lock().unwrap();
    let server = serve_with_limits(10, limits, listener, Stop::default(), handler);
    spawn(server).detach();
    address
}

fn short_limits() -> CallerLimits {
    CallerLimits {
        max_head_bytes: 16 << 10,
        head_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(200),
        ..CallerLimits::default()
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Reads until the server closes the connection.
fn read_to_close(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("the server closes");
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn slow_head_is_refused() {
    let mut stream = connect(start(short_limits()));
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a").unwrap();
    assert!(read_to_close(stream).starts_with("HTTP/1.1 408 "));
}

#[test]
fn slow_second_head_is_refused() {
    let limits = CallerLimits {
        idle_timeout: TEST_TIMEOUT,
        ..short_limits()
    };
    let mut stream = connect(start(limits));
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let mut first = [0; 1024];
    let read = stream.read(&mut first).unwrap();
    assert!(first[..read].starts_with(b"HTTP/1.1 200 "));
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a").unwrap();
    assert!(read_to_close(stream).contains("HTTP/1.1 408 "));
}

#[test]
fn idle_connection_is_closed() {
    let limits = CallerLimits {
        head_timeout: TEST_TIMEOUT,
        ..short_limits()
    };
    let address = start(limits);
    assert_eq!(read_to_close(connect(address)), "");
    let mut stream = connect(address);
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let response = read_to_close(stream);
    assert!(response.starts_with("HTTP/1.1 200 ") && response.ends_with("done"));
}

#[test]
fn large_head_is_refused() {
    let limits = CallerLimits {
        head_timeout: TEST_TIMEOUT,
        idle_timeout: TEST_TIMEOUT,
        ..short_limits()
    };
    let mut stream = connect(start(limits));
    let head = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "x".repeat(20 << 10)
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut first = [0; 1024];
    let read = stream.read(&mut first).unwrap();
    assert!(first[..read].starts_with(b"HTTP/1.1 431 "));
}

fn patient_limits(max_head_bytes: usize) -> CallerLimits {
    CallerLimits {
        max_head_bytes,
        head_timeout: TEST_TIMEOUT,
        idle_timeout: TEST_TIMEOUT,
        ..CallerLimits::default()
    }
}

/// Returns a request with a head of a size and a body.
fn request(head_bytes: usize, body: &str) -> String {
    let length = body.len();
    let start = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\nx: ");
    let filler = "x".repeat(head_bytes - start.len() - 4);
    format!("{start}{filler}\r\n\r\n{body}")
}

/// Sends a request and returns the status of its response.
fn exchange(stream: &mut TcpStream, request: &str) -> u16 {
    stream.write_all(request.as_bytes()).unwrap();
    read_status(stream)
}

/// Reads one response whose body is "done" or empty.
fn read_status(stream: &mut TcpStream) -> u16 {
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
        response.push(byte[0]);
    }
    let response = String::from_utf8(response).expect("a head is text");
    if response.contains("content-length: 4") {
        stream.read_exact(&mut [0; 4]).unwrap();
    }
    response[9..12].parse().expect("the response has a status")
}

// Guards against 431 for a head that a newer limit allows, on a connection accepted before it.
#[test]
fn raised_limit_holds() {
    let limits = Arc::new(Mutex::new(patient_limits(8 << 10)));
    let mut stream = connect(start_shared(limits.clone()));
    assert_eq!(exchange(&mut stream, &request(100, "")), 200);
    for max_head_bytes in [16 << 10, 600 << 10] {
        *limits.lock().unwrap() = patient_limits(max_head_bytes);
        let large = request(max_head_bytes, "body");
        assert_eq!(exchange(&mut stream, &large), 200);
    }
    let too_large = request((600 << 10) + 1, "");
    assert_eq!(exchange(&mut stream, &too_large), 431);
}

// Guards against a head larger than a newer limit on a connection accepted before it.
#[test]
fn lowered_limit_holds() {
    let limits = Arc::new(Mutex::new(patient_limits(32 << 10)));
    let mut stream = connect(start_shared(limits.clone()));
    assert_eq!(exchange(&mut stream, &request(20 << 10, "")), 200);
    *limits.lock().unwrap() = patient_limits(16 << 10);
    assert_eq!(exchange(&mut stream, &request(16 << 10, "body")), 200);
    assert_eq!(exchange(&mut stream, &request((16 << 10) + 1, "")), 431);
}

/// The rest of a body that the handler doesn't read isn't counted as a part of the next head.
#[test]
fn unread_body_is_not_counted() {
    let mut stream = connect(start(patient_limits(8 << 10)));
    let body = "x".repeat(4 << 10);
    for _ in 0..20 {
        assert_eq!(exchange(&mut stream, &request(8 << 10, &body)), 200);
    }
}

/// Pipelined requests are each served, however much they exceed the limit of a head together.
#[test]
fn pipelined_heads_are_served() {
    let mut stream = connect(start(patient_limits(8 << 10)));
    let requests = request(6 << 10, "body").repeat(8);
    stream.write_all(requests.as_bytes()).unwrap();
    for _ in 0..8 {
        assert_eq!(read_status(&mut stream), 200);
    }
}

/// Guards against a body that is read in parts of what the limit on heads left over.
#[test]
fn body_after_full_head() {
    for late in [1, 4096] {
        let frames = frames_after_head(late);
        assert!(frames < 1000, "{frames} frames");
    }
}

/// Returns the number of parts in which a body of 1 MiB is read, after a head of the size of the limit
/// whose last bytes arrive with it.
fn frames_after_head(late: usize) -> usize {
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| start_workers(1));
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.address;
    let frames = Arc::new(Mutex::new(0));
    let counter = frames.clone();
    let handler = move |request: http::Request<seam_http::Incoming>, _: SocketAddr| {
        let counter = counter.clone();
        async move {
            let mut body = request.into_body();
            while let Some(Ok(_)) = body.frame().await {
                *counter.lock().unwrap() += 1;
            }
            Response::new(full("done"))
        }
    };
    let limits = || patient_limits(8 << 10);
    spawn(serve_with_limits(
        10,
        limits,
        listener,
        Stop::default(),
        handler,
    ))
    .detach();
    let mut stream = connect(address);
    let text = request(8 << 10, &"x".repeat(1 << 20));
    let (first, rest) = text.split_at((8 << 10) - late);
    stream.write_all(first.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(exchange(&mut stream, rest), 200);
    *frames.lock().unwrap()
}
