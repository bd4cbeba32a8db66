//! Links to other nodes that fall silent: their bytes are acknowledged, but nobody answers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::Once;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::client::conn::http2::SendRequest;
use seam_http::client::open_http2;
use seam_http::liveness::ACK_TIMEOUT;
use seam_http::{Body, Listener, Stop, block_on, empty, full, serve, spawn, start_workers};
use socket2::{Domain, Socket, Type};
use yare::parameterized;

/// Time within which a request on a silent link must fail, the same as on a link that acknowledges
/// nothing.
const DETECTION_TIME: Duration = ACK_TIMEOUT;
/// Longer than the interval between pings.
const IDLE_TIME: Duration = Duration::from_millis(2500);
/// Links that are used at once.
const LINKS: usize = 100;
/// More threads than cores.
const WORKERS: usize = 32;
/// Links on which requests begin at the same moment, enough that a thread stands still between sending
/// one and counting it as open.
const SIMULTANEOUS_LINKS: usize = 4000;

fn start_once() {
    static START: Once = Once::new();
    START.call_once(|| start_workers(WORKERS));
}

fn start_server() -> SocketAddr {
    start_once();
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.address;
    let handler = |request: Request<_>, _| async move {
        if request.uri().path() == "/never" {
            std::future::pending::<()>().await;
        }
        Response::new(full("done"))
    };
    spawn(serve(listener, Stop::default(), handler)).detach();
    address
}

/// Copies bytes until the relay is silent, and drops them from then on.
fn copy(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = vec![0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if !silent.load(Ordering::SeqCst) && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Starts a relay to `server`. It reads everything, and passes it on until the returned flag is set.
fn start_relay(server: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let silent = Arc::new(AtomicBool::new(false));
    let flag = silent.clone();
    thread::spawn(move || {
        for client in listener.incoming() {
            let client = client.unwrap();
            let server = TcpStream::connect(server).unwrap();
            let ends = (client.try_clone().unwrap(), server.try_clone().unwrap());
            let flags = (flag.clone(), flag.clone());
            thread::spawn(move || copy(client, server, &flags.0));
            thread::spawn(move || copy(ends.1, ends.0, &flags.1));
        }
    });
    (address, silent)
}

async fn send(sender: &mut SendRequest<Body>, path: &str, body: Body) -> Result<(), hyper::Error> {
    let request = Request::post(format!("http://node{path}"));
    sender.ready().await?;
    let response = sender.send_request(request.body(body).unwrap()).await?;
    response.into_body().collect().await?;
    Ok(())
}

/// Returns whether a request on a silent link fails in time.
async fn fails(sender: &mut SendRequest<Body>, body: Body) -> bool {
    let failure = async {
        let result = send(sender, "/", body).await;
        assert!(result.is_err(), "a silent link answers");
        true
    };
    let timeout = async {
        Timer::after(DETECTION_TIME).await;
        false
    };
    failure.or(timeout).await
}

/// Sends a request on each of some silent links at once. Returns how many do not fail in time.
async fn unnoticed(links: Vec<SendRequest<Body>>, body: usize) -> usize {
    let requests: Vec<_> = links
        .into_iter()
        .map(|mut sender| spawn(async move { fails(&mut sender, full(vec![0; body])).await }))
        .collect();
    let mut unnoticed = 0;
    for request in requests {
        unnoticed += usize::from(!request.await);
    }
    unnoticed
}

/// A request that gets no answer, and that its sender gives up after a ping was answered.
async fn give_up(sender: &mut SendRequest<Body>) {
    let request = async { Some(send(sender, "/never", empty()).await) };
    let timeout = async {
        Timer::after(IDLE_TIME).await;
        None
    };
    let ended = request.or(timeout).await;
    assert!(ended.is_none(), "{ended:?}");
}

/// Guards against a link that stays in use for good once a request on it was given up.
#[test]
fn request_given_up() {
    let (address, silent) = start_relay(start_server());
    let failed = block_on(async {
        let mut sender = open_http2::<Body>(address).await.unwrap();
        give_up(&mut sender).await;
        Timer::after(IDLE_TIME).await;
        send(&mut sender, "/", empty()).await.unwrap();
        silent.store(true, Ordering::SeqCst);
        fails(&mut sender, empty()).await
    });
    assert!(failed, "the silent link is not noticed");
}

/// Guards against links that stay in use for good once they carried no request for a while.
#[parameterized(
    fresh = { 1, Duration::ZERO, 0 },
    idle_once = { 1, IDLE_TIME, 0 },
    idle_twice = { 2, IDLE_TIME, 0 },
    idle_twice_with_body = { 2, IDLE_TIME, 1000 },
    idle_three_times = { 3, IDLE_TIME, 1000 },
)]
fn silent_link(requests: usize, idle: Duration, body: usize) {
    let (address, silent) = start_relay(start_server());
    let count = block_on(async {
        let mut links = Vec::new();
        for _ in 0..LINKS {
            links.push(open_http2::<Body>(address).await.unwrap());
        }
        for _ in 0..requests {
            for sender in &mut links {
                send(sender, "/", empty()).await.unwrap();
            }
            Timer::after(idle).await;
        }
        silent.store(true, Ordering::SeqCst);
        unnoticed(links, body).await
    });
    assert_eq!(count, 0, "silent links of {LINKS} are not noticed");
}

/// Guards against the opposite: a sound link that is closed while its request waits for long.
#[test]
fn late_answer() {
    let (address, _) = start_relay(start_server());
    let ended = block_on(async {
        let mut sender = open_http2::<Body>(address).await.unwrap();
        send(&mut sender, "/", empty()).await.unwrap();
        Timer::after(IDLE_TIME).await;
        let request = async { Some(send(&mut sender, "/never", empty()).await) };
        let timeout = async {
            Timer::after(2 * DETECTION_TIME).await;
            None
        };
        request.or(timeout).await
    });
    assert!(ended.is_none(), "{ended:?}");
}

/// Guards against a request without a body that is sent before it counts as open: no ping is planned for
/// it.
#[test]
fn simultaneous_requests() {
    start_once();
    // The system accepts and acknowledges, and nobody answers.
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(&any.into()).unwrap();
    let backlog = i32::try_from(SIMULTANEOUS_LINKS).unwrap();
    listener.listen(backlog).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let count = block_on(async {
        let mut links = Vec::new();
        for _ in 0..SIMULTANEOUS_LINKS {
            links.push(open_http2::<Body>(address).await.unwrap());
        }
        unnoticed(links, 0).await
    });
    assert_eq!(
        count, 0,
        "silent links of {SIMULTANEOUS_LINKS} are not noticed"
    );
}
