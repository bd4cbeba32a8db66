//! Servers that respond and close the connection before they have read the request's body.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::stream;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use seam_http::{BodyError, ClientError, Connection};

const CALLS: usize = 20;
const PARTS: usize = 10;
const PART_BYTES: usize = 100_000;
const PART_PAUSE: Duration = Duration::from_millis(2);

/// Serves one connection after another: reads a head, writes the response, and closes the connection
/// with the rest of the request unread, so that the system resets it.
fn start_server(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for connection in listener.incoming() {
            if connection.is_ok_and(|connection| respond(connection, response).is_err()) {
                return;
            }
        }
    });
    address
}

fn respond(mut connection: TcpStream, response: &str) -> std::io::Result<()> {
    let mut head = [0; 512];
    let mut received = connection.read(&mut head)?;
    connection.write_all(response.as_bytes())?;
    while !String::from_utf8_lossy(&head[..received]).contains("\r\n\r\n") {
        received += connection.read(&mut head[received..])?;
    }
    // Some of the body has arrived, and stays unread.
    connection.peek(&mut [0; 1])?;
    Ok(())
}

/// Sends a request with a long body in parts and reads the whole response, after a delay.
async fn call(address: SocketAddr, delay: Duration) -> Result<(StatusCode, Bytes), ClientError> {
    let parts = stream::unfold(0, |sent| async move {
        Timer::after(PART_PAUSE).await;
        let part = Bytes::from(vec![b'x'; PART_BYTES]);
        let frame = Ok::<_, BodyError>(Frame::data(part));
        (sent < PARTS).then_some((frame, sent + 1))
    });
    let request = Request::post("/book/1")
        .header("host", "salon.example")
        .body(StreamBody::new(parts).boxed_unsync())
        .unwrap();
    let mut connection = Connection::open(address).await?;
    let (head, body) = connection.send(request).await?.into_parts();
    Timer::after(delay).await;
    let body = body.collect().await.map_err(|error| ClientError::Body {
        message: error.to_string(),
    })?;
    // Give the connection the time to fail.
    Timer::after(4 * PART_PAUSE).await;
    assert!(!connection.usable(), "a closed connection is not reused");
    Ok((head.status, body.to_bytes()))
}

fn calls(response: &'static str, delay: Duration) -> Vec<Result<(StatusCode, Bytes), ClientError>> {
    static START: std::sync::Once = std::sync::Once::new();
    START.call_once(|| seam_http::start_workers(2));
    let address = start_server(response);
    seam_http::block_on(async {
        let mut results = Vec::new();
        for _ in 0..CALLS {
            results.push(call(address, delay).await);
        }
        results
    })
}

/// Guards against a whole response that is dropped since the body can no longer be sent.
#[test]
fn whole_response() {
    let results = calls(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\ndone",
        Duration::ZERO,
    );
    let lost: Vec<_> = results.iter().filter(|result| result.is_err()).collect();
    assert!(lost.is_empty(), "{} of {CALLS} lost: {lost:?}", lost.len());
}

/// Guards against a response without a length that counts as whole though the connection was reset, also if
/// the failed upload shows that before the response is read.
#[test]
fn reset_response() {
    for delay in [
        Duration::ZERO,
        3 * PART_PAUSE,
        2 * PARTS as u32 * PART_PAUSE,
    ] {
        let results = calls("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\ndone", delay);
        let whole = results.iter().filter(|result| result.is_ok()).count();
        assert_eq!(whole, 0, "of {CALLS} read after {delay:?}");
    }
}
