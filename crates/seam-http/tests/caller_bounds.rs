//! Callers that send too much, or too slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use http::Response;
use seam_http::{CallerLimits, Listener, Stop, full, serve_with_limits, spawn, start_workers};

/// Longest wait of a test for the server, well above its bounds.
const PATIENCE: Duration = Duration::from_secs(20);

fn start(bounds: CallerLimits) -> SocketAddr {
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| start_workers(1));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any).expect("the system has ports to give");
    let address = listener.address;
    let handler = |_, _| async { Response::new(full("done")) };
    let server = serve_with_limits(10, move || bounds, listener, Stop::default(), handler);
    spawn(server).detach();
    address
}

fn quick() -> CallerLimits {
    CallerLimits {
        max_head_bytes: 16 << 10,
        head_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(200),
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Reads until the server closes.
fn rest(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("the server closes");
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn slow_head_is_refused() {
    let mut stream = connect(start(quick()));
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a").unwrap();
    assert!(rest(stream).starts_with("HTTP/1.1 408 "));
}

#[test]
fn slow_second_head_is_refused() {
    let bounds = CallerLimits {
        idle_timeout: PATIENCE,
        ..quick()
    };
    let mut stream = connect(start(bounds));
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let mut first = [0; 1024];
    let read = stream.read(&mut first).unwrap();
    assert!(first[..read].starts_with(b"HTTP/1.1 200 "));
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a").unwrap();
    assert!(rest(stream).contains("HTTP/1.1 408 "));
}

#[test]
fn idle_connection_is_closed() {
    let bounds = CallerLimits {
        head_timeout: PATIENCE,
        ..quick()
    };
    let address = start(bounds);
    assert_eq!(rest(connect(address)), "");
    let mut stream = connect(address);
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let answer = rest(stream);
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("done"));
}

#[test]
fn large_head_is_refused() {
    let bounds = CallerLimits {
        head_timeout: PATIENCE,
        idle_timeout: PATIENCE,
        ..quick()
    };
    let mut stream = connect(start(bounds));
    let head = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "x".repeat(20 << 10)
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut first = [0; 1024];
    let read = stream.read(&mut first).unwrap();
    assert!(first[..read].starts_with(b"HTTP/1.1 431 "));
}
