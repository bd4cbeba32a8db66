//! Limits on callers that send too much or too slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use http::Response;
use seam_http::{CallerLimits, Listener, Stop, full, serve_with_limits, spawn, start_workers};

/// Longest time a test waits for the server, well above the limits under test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn start(limits: CallerLimits) -> SocketAddr {
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| start_workers(1));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any).expect("a free port is available");
    let address = listener.address;
    let handler = |_, _| async { Response::new(full("done")) };
    let server = serve_with_limits(10, move || limits, listener, Stop::default(), handler);
    spawn(server).detach();
    address
}

fn short_limits() -> CallerLimits {
    CallerLimits {
        max_head_bytes: 16 << 10,
        head_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(200),
        revision: 0,
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
