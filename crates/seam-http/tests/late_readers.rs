//! Servers that read a request's body late, and peers that no longer acknowledge anything.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Once;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::stream;
use http::Request;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use seam_http::liveness::{ACK_TIMEOUT, Acknowledgements};
use seam_http::{Body, Connection, block_on, full, read_body, start_workers};
use yare::parameterized;

/// Time after which the server reads on.
const PAUSE: Duration = Duration::from_secs(6);
const EVENT: &[u8] = b"data: x\n\n";
const EVENT_GAP: Duration = Duration::from_millis(300);
/// Bytes that the server reads before it pauses.
const READ_FIRST: usize = 64 << 10;

/// When the server answers.
#[derive(Clone, Copy, PartialEq)]
enum Answer {
    /// Before it has read the body, with events while it does not read.
    Early,
    /// Once it has read the body.
    Late,
}

/// How the length of a body is stated.
#[derive(Clone, Copy, PartialEq)]
enum Framing {
    Length,
    Chunks,
}

/// Reads `length` bytes of content and returns how many came.
fn read_content(stream: &mut TcpStream, length: usize) -> usize {
    let mut buffer = vec![0; READ_FIRST];
    let mut content = 0;
    while content < length {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                let marks = buffer[..count]
                    .iter()
                    .map(|byte| usize::from(*byte == b'b'));
                content += marks.sum::<usize>();
            }
        }
    }
    content
}

fn send_event(stream: &mut TcpStream) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n", EVENT.len())?;
    stream.write_all(EVENT)?;
    stream.write_all(b"\r\n")
}

fn answer(stream: &mut TcpStream, length: usize, answer: Answer) -> std::io::Result<usize> {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let first = read_content(stream, READ_FIRST.min(length));
    let start = Instant::now();
    if answer == Answer::Early {
        stream.write_all(head)?;
        while start.elapsed() < PAUSE {
            send_event(stream)?;
            thread::sleep(EVENT_GAP);
        }
    } else {
        thread::sleep(PAUSE);
    }
    let rest = read_content(stream, length - first);
    if answer == Answer::Late {
        stream.write_all(head)?;
    }
    send_event(stream)?;
    stream.write_all(b"0\r\n\r\n")?;
    // Closing before all is read would reset the connection.
    stream.read_to_end(&mut Vec::new())?;
    Ok(first + rest)
}

/// Starts a server of one connection. The thread returns the bytes of content that it read.
fn serve(length: usize, when: Answer) -> (SocketAddr, thread::JoinHandle<std::io::Result<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        answer(&mut stream, length, when)
    });
    (address, server)
}

fn body(length: usize, framing: Framing) -> Body {
    let content = vec![b'b'; length];
    if framing == Framing::Length {
        return full(content);
    }
    let parts: Vec<_> = content
        .chunks(16 << 10)
        .map(|part| Ok(Frame::data(Bytes::copy_from_slice(part))))
        .collect();
    StreamBody::new(stream::iter(parts)).boxed_unsync()
}

/// Guards against a connection that is closed because a sound server reads the body late.
#[parameterized(
    smallest = { 100_000, Framing::Length, Answer::Early },
    long = { 1 << 20, Framing::Length, Answer::Early },
    chunks = { 1 << 20, Framing::Chunks, Answer::Early },
    largest = { 4 << 20, Framing::Length, Answer::Early },
    largest_chunks = { 4 << 20, Framing::Chunks, Answer::Early },
    answered_late = { 4 << 20, Framing::Length, Answer::Late },
    chunks_answered_late = { 4 << 20, Framing::Chunks, Answer::Late },
)]
fn answered(length: usize, framing: Framing, when: Answer) {
    static START: Once = Once::new();
    START.call_once(|| start_workers(2));
    let (address, server) = serve(length, when);
    let received = block_on(async {
        let mut connection = Connection::open(address).await.unwrap();
        let request = Request::post("/").header("host", "x");
        let request = request.body(body(length, framing)).unwrap();
        let response = connection.send(request).await.unwrap();
        read_body(response.into_body(), 1 << 20).await
    });
    let received = received.expect("the whole answer");
    assert!(received.ends_with(EVENT));
    let read = server.join().unwrap().unwrap();
    assert!(read >= length, "the server read {read} of {length} bytes");
}

/// Guards against a peer that is taken for dead while it answers, and against the opposite.
#[parameterized(
    answered_probes = { true, 0, ACK_TIMEOUT * 10, false },
    new_probe_after_long_pause = { true, 1, ACK_TIMEOUT * 10, false },
    lost_bytes = { true, 3, ACK_TIMEOUT / 2, false },
    nothing_sent = { false, 3, ACK_TIMEOUT * 2, false },
    no_acknowledgement = { true, 4, ACK_TIMEOUT, true },
)]
fn dead_peers(outstanding: bool, unanswered: u8, age: Duration, dead: bool) {
    let state = Acknowledgements {
        outstanding,
        unanswered,
        age,
    };
    assert_eq!(state.overdue(), dead);
    let next = state.next_check();
    assert_eq!(next.is_some(), outstanding);
    assert!(next.is_none_or(|wait| wait <= ACK_TIMEOUT));
}
