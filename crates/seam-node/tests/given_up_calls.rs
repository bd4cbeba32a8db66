//! Forwarded requests that are given up on links which acknowledge bytes and answer nothing.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use async_io::Timer;
use seam_emulator::Caller;
use seam_fleet::{Fleet, SWAKOP_TOKEN, with_fleet};

/// Requests sent in turn.
const REQUESTS: usize = 3;
/// Time limit of a request in milliseconds, less than the interval between pings.
const DEADLINE_MS: &str = "400";
/// Time within which a silent link must not be in use any more: that of the request, and the one that
/// a ping has to be answered.
const DETECTION_TIME: Duration = Duration::from_millis(400 + 1800 + 300);

/// Copies bytes of a connection, and drops them once there was a cut.
fn copy(mut from: TcpStream, mut to: TcpStream, cuts: &AtomicUsize) {
    let begin = cuts.load(Ordering::SeqCst);
    let mut buffer = vec![0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        let silent = cuts.load(Ordering::SeqCst) > begin;
        if !silent && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Starts a relay to a node, for its connections and its heartbeats. Each cut leaves open connections silent.
fn start_relay(node: SocketAddr, cuts: &Arc<AtomicUsize>) -> SocketAddr {
    let (listener, heartbeats) = loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()) {
            break (listener, socket);
        }
    };
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut datagram = vec![0; 65_536];
        while let Ok((length, _)) = heartbeats.recv_from(&mut datagram) {
            let _ = heartbeats.send_to(&datagram[..length], node);
        }
    });
    let cuts = cuts.clone();
    thread::spawn(move || {
        for client in listener.incoming() {
            let (client, server) = (client.unwrap(), TcpStream::connect(node).unwrap());
            let (to_client, to_server) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            let (there, back) = (cuts.clone(), cuts.clone());
            thread::spawn(move || copy(client, to_server, &there));
            thread::spawn(move || copy(server, to_client, &back));
        }
    });
    address
}

/// Sends requests that are forwarded to another region. Returns their statuses.
async fn statuses(fleet: &Fleet) -> Vec<u16> {
    let caller = Caller::new(fleet.caller_address("khomas-1"), SWAKOP_TOKEN)
        .with_header("seam-deadline-ms", DEADLINE_MS);
    let mut statuses = Vec::new();
    for _ in 0..REQUESTS {
        let response = caller.get("/booking-desk/slots").await.unwrap();
        statuses.push(response.status.as_u16());
    }
    statuses
}

/// Guards against a silent link that stays in use since its requests are given up before a ping is due.
#[test]
fn short_requests() {
    with_fleet(|mut fleet| async move {
        let cuts = Arc::new(AtomicUsize::new(0));
        fleet.publish(|bundle| {
            let vms = &mut bundle.deployment.vms;
            vms.retain(|_, vm| !vm.name.starts_with("erongo") || vm.name == "erongo-1");
            let vm = vms.values_mut().find(|vm| vm.name == "erongo-1").unwrap();
            vm.peer = start_relay(vm.peer, &cuts);
        });
        fleet.wait_ready().await;
        assert_eq!(statuses(&fleet).await, [200; REQUESTS]);
        cuts.fetch_add(1, Ordering::SeqCst);
        assert_eq!(statuses(&fleet).await, [504; REQUESTS]);
        Timer::after(DETECTION_TIME).await;
        assert_eq!(statuses(&fleet).await, [200; REQUESTS]);
    });
}
