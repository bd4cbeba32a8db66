//! Frames that are lost between two nodes, while later ones arrive.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use seam_emulator::{Caller, CallerResponse};
use seam_fleet::{Fleet, SWAKOP_TOKEN, with_fleet};

/// Length of the head of an HTTP/2 frame.
const FRAME_HEAD: usize = 9;
/// Type of frames that carry data.
const DATA: u8 = 0;
/// What a client sends before its first frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Data frames that a relay drops.
#[derive(Clone, Copy)]
struct Loss {
    /// Whether they are those of the client.
    of_client: bool,
    /// Text in the first frame that is dropped.
    from: &'static str,
    /// Text in the next frame that is passed on; `None` for the one after the first.
    until: Option<&'static str>,
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes
        .windows(text.len())
        .any(|part| part == text.as_bytes())
}

/// Copies one direction of a connection between nodes, without the frames that are lost.
fn copy_frames(mut from: TcpStream, mut to: TcpStream, is_client: bool, loss: Loss) {
    let mut lossy = false;
    let mut copy = || -> std::io::Result<()> {
        if is_client {
            let mut preface = [0; PREFACE.len()];
            from.read_exact(&mut preface)?;
            to.write_all(&preface)?;
        }
        loop {
            let mut head = [0; FRAME_HEAD];
            from.read_exact(&mut head)?;
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
            let mut payload = vec![0; length as usize];
            from.read_exact(&mut payload)?;
            if head[3] == DATA && is_client == loss.of_client {
                lossy &= loss.until.is_some_and(|until| !contains(&payload, until));
                lossy |= contains(&payload, loss.from);
            }
            if head[3] != DATA || is_client != loss.of_client || !lossy {
                to.write_all(&head)?;
                to.write_all(&payload)?;
            }
        }
    };
    // The end of the connection ends the copy.
    let _ = copy();
    let _ = to.shutdown(Shutdown::Both);
}

/// Starts a relay to a node, for its connections and its heartbeats. Returns its address.
fn start_relay(node: SocketAddr, loss: Loss) -> SocketAddr {
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
    thread::spawn(move || {
        for client in listener.incoming() {
            let (client, server) = (client.unwrap(), TcpStream::connect(node).unwrap());
            let (to_client, to_server) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            thread::spawn(move || copy_frames(client, to_server, true, loss));
            thread::spawn(move || copy_frames(server, to_client, false, loss));
        }
    });
    address
}

/// Puts a relay in front of each node of the region to which the customer's requests are forwarded.
async fn add_relays(fleet: &mut Fleet, loss: Loss) {
    fleet.publish(|bundle| {
        for vm in bundle.deployment.vms.values_mut() {
            if vm.name.starts_with("erongo") {
                vm.peer = start_relay(vm.peer, loss);
            }
        }
    });
    fleet.wait_ready().await;
}

/// Guards against a stream that is passed on without the events which were lost on the way.
#[test]
fn lost_events() {
    with_fleet(|mut fleet| async move {
        let loss = Loss {
            of_client: false,
            from: "\"token\":3",
            until: Some("\"token\":5"),
        };
        add_relays(&mut fleet, loss).await;
        let caller = Caller::new(fleet.caller_address("khomas-1"), SWAKOP_TOKEN);
        let response = caller.post("/seam-stylist/chat", "notes").await;
        // The caller sees that the response broke off, or gets all of it.
        let text = response.map(|response| response.text());
        let whole = |text: &String| text.matches("\"token\":").count() == 8;
        assert!(text.as_ref().is_ok_and(whole) || text.is_err(), "{text:?}");
    });
}

/// Guards against a body that reaches a target without the part that was lost on the way.
#[test]
fn lost_body() {
    with_fleet(|mut fleet| async move {
        const PARTS: usize = 10;
        let loss = Loss {
            of_client: true,
            from: "part-6",
            until: Some("part-7"),
        };
        add_relays(&mut fleet, loss).await;
        let node = fleet.caller_address("khomas-1");
        let response = thread::spawn(move || {
            let mut connection = TcpStream::connect(node).unwrap();
            connection
                .set_read_timeout(Some(Duration::from_secs(5)))
                .unwrap();
            let head = format!(
                "POST /booking-desk/notes HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {SWAKOP_TOKEN}\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n"
            );
            connection.write_all(head.as_bytes()).unwrap();
            for number in 0..PARTS {
                let part = format!("part-{number} {}", "x".repeat(15_000));
                let chunk = format!("{:x}\r\n{part}\r\n", part.len());
                if connection.write_all(chunk.as_bytes()).is_err() {
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
            let _ = connection.write_all(b"0\r\n\r\n");
            let mut response = Vec::new();
            let _ = connection.read_to_end(&mut response);
            String::from_utf8_lossy(&response).into_owned()
        });
        let response = response.join().unwrap();
        let parts = response.matches("part-").count();
        let runs: Vec<String> = fleet
            .plain_services
            .values()
            .flat_map(|plain| plain.runs().into_keys())
            .collect();
        let line = response.lines().next();
        assert!(
            runs.iter().all(|run| run.contains("part-6")),
            "{line:?}: {parts} parts"
        );
    });
}

/// Guards against a whole response that is taken as complete without its body.
#[test]
fn lost_response() {
    with_fleet(|mut fleet| async move {
        let loss = Loss {
            of_client: false,
            from: "\"runs\"",
            until: None,
        };
        add_relays(&mut fleet, loss).await;
        let caller = Caller::new(fleet.caller_address("khomas-1"), SWAKOP_TOKEN);
        let response = caller.post("/booking-desk/notes", "notes").await;
        let complete = |response: &CallerResponse| response.status == 200;
        assert!(!response.as_ref().is_ok_and(complete), "{response:?}");
    });
}
