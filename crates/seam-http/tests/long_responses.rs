//! Long responses: read while their bytes arrive, and given up when these stop or are too many.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Once;
use std::thread;
use std::time::{Duration, Instant};

use http::Request;
use seam_http::client::MIN_PROGRESS;
use seam_http::{ClientError, block_on, empty, fetch_long, start_workers};

/// Time limit of the calls. Each response takes longer than this.
const LIMIT: Duration = Duration::from_millis(400);
const MAX_BYTES: usize = 4 * MIN_PROGRESS;

/// Starts a server that answers one call and then keeps the connection open.
fn serve(
    answer: impl FnOnce(&mut TcpStream) -> std::io::Result<()> + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        // The client may close before the end of the answer.
        let _ = answer(&mut stream);
        let _ = stream.read(&mut request);
    });
    address
}

/// Sends a head, then `count` parts of `bytes` each after `gap`.
fn send(
    stream: &mut TcpStream,
    declared: usize,
    (count, bytes, gap): (usize, usize, Duration),
) -> std::io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {declared}\r\n\r\n"
    )?;
    for _ in 0..count {
        thread::sleep(gap);
        stream.write_all(&vec![b'x'; bytes])?;
    }
    Ok(())
}

fn call(address: SocketAddr) -> (Result<usize, ClientError>, Duration) {
    static START: Once = Once::new();
    START.call_once(|| start_workers(2));
    let start = Instant::now();
    let request = Request::get("/").body(empty()).unwrap();
    let fetched = block_on(fetch_long(
        address,
        request,
        Duration::ZERO,
        LIMIT,
        MAX_BYTES,
    ));
    (
        fetched.map(|response| response.body().len()),
        start.elapsed(),
    )
}

/// Guards against a response that is given up although its bytes arrive.
#[test]
fn arriving() {
    let parts = (8, MIN_PROGRESS / 2, LIMIT / 4);
    let address = serve(move |stream| send(stream, MAX_BYTES, parts));
    let (result, took) = call(address);
    assert_eq!(result.unwrap(), MAX_BYTES);
    assert!(took > LIMIT, "took {took:?}");
}

/// Guards against a wait for the rest of a response that has fallen silent.
#[test]
fn silent() {
    let parts = (1, MIN_PROGRESS, Duration::ZERO);
    let address = serve(move |stream| send(stream, MAX_BYTES, parts));
    let (result, took) = call(address);
    let error = result.unwrap_err();
    assert!(matches!(error, ClientError::Stalled { .. }), "{error}");
    assert!(error.repeats());
    assert!(took < 3 * LIMIT, "took {took:?}");
}

/// Guards against a server that holds a caller with single bytes.
#[test]
fn trickle() {
    let parts = (1000, 16, LIMIT / 100);
    let address = serve(move |stream| send(stream, MAX_BYTES, parts));
    let (result, took) = call(address);
    let error = result.unwrap_err();
    assert!(matches!(error, ClientError::Stalled { .. }), "{error}");
    assert!(took < 3 * LIMIT, "took {took:?}");
}

/// Guards against a response that is read although it declares more than is taken.
#[test]
fn declared_too_large() {
    let parts = (1, 16, Duration::ZERO);
    let address = serve(move |stream| send(stream, MAX_BYTES + 1, parts));
    let (result, took) = call(address);
    let error = result.unwrap_err();
    assert!(matches!(error, ClientError::TooLarge { .. }), "{error}");
    assert!(took < LIMIT, "took {took:?}");
}

/// Guards against a response that breaks off and is taken for one that would break off again.
#[test]
fn broken_off() {
    let address = serve(|stream| {
        send(stream, MAX_BYTES, (1, 16, Duration::ZERO))?;
        stream.shutdown(std::net::Shutdown::Both)
    });
    let (result, _) = call(address);
    let error = result.unwrap_err();
    assert!(matches!(error, ClientError::Body { .. }), "{error}");
    assert!(!error.repeats());
}

/// Guards against a response without a head that is taken for one that had begun.
#[test]
fn no_head() {
    let address = serve(|_| Ok(()));
    let (result, _) = call(address);
    let error = result.unwrap_err();
    assert!(matches!(error, ClientError::Timeout { .. }), "{error}");
    assert!(!error.repeats());
}
