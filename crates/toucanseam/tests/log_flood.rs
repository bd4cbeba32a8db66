//! A blocked reader of standard output delays no request. Once it reads again, a line of the log
//! states how many lines were dropped.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use http::{Request, StatusCode};
use seam_emulator::server::free_address;
use seam_http::{Connection, empty};

/// Requests sent while nothing reads the log; their lines fill the pipe many times.
const REQUESTS: usize = 4000;
/// Limit on lines per second, as in `seam_node::logs`.
const MAX_LINES_PER_SECOND: usize = 1000;

/// A running node process, killed when dropped.
struct NodeProcess {
    child: Child,
    caller: SocketAddr,
    folder: std::path::PathBuf,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn try_start(name: &str, extra: &str) -> NodeProcess {
    let folder = std::env::temp_dir().join(format!("seam-log-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("node.toml");
    let caller = free_address();
    let settings = format!(
        r#"
        name = "edge-1"
        region = "north"
        centre = "north-a"
        workers = 1
        [listen]
        caller = "{caller}"
        peer = "{}"
        admin = "{}"
        [items]
        store = "{}"
        readiness = "{}"
        [zones]
        north-a = "north"
        {extra}
        "#,
        free_address(),
        free_address(),
        free_address(),
        free_address()
    );
    std::fs::write(&path, settings).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_toucanseam"))
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    NodeProcess {
        child,
        caller,
        folder,
    }
}

fn test_request() -> Request<seam_http::Body> {
    Request::get("/looks/1")
        .header("host", "salon.example")
        .body(empty())
        .expect("the request is valid")
}

async fn connect(address: SocketAddr) -> Connection {
    loop {
        match Connection::open(address).await {
            Ok(connection) => return connection,
            Err(_) => async_io::Timer::after(Duration::from_millis(20)).await,
        };
    }
}

/// Starts the program. It exits at once if another process has taken one of its ports since it was
/// chosen as free, so this tries again with other ports.
fn start(name: &str, extra: &str) -> NodeProcess {
    const MAX_TRIES: usize = 20;
    for _ in 0..MAX_TRIES {
        let mut program = try_start(name, extra);
        loop {
            if std::net::TcpStream::connect(program.caller).is_ok() {
                return program;
            }
            if program
                .child
                .try_wait()
                .expect("the process is a child of this one")
                .is_some()
            {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    panic!("no free ports found");
}

#[test]
fn blocked_reader() {
    seam_http::start_workers(1);
    let mut program = start("flood", "[log]\nformat = \"json\"");
    seam_http::block_on(async {
        let mut connection = connect(program.caller).await;
        for _ in 0..REQUESTS {
            // Nothing reads the program's output during this loop.
            connection.ready().await.unwrap();
            let response = connection.send(test_request()).await.unwrap();
            assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        }
    });
    let stdout = program.child.stdout.take().unwrap();
    let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
    let mut refused_lines = 0;
    let mut dropped_lines = 0;
    for line in lines.by_ref() {
        refused_lines += usize::from(line.contains("refused"));
        if let Some((count, _)) = line.split_once(" lines of the log were left out") {
            dropped_lines += count.trim().parse::<usize>().unwrap();
            break;
        }
        // The number of dropped lines is written with the next line, so this sends more requests,
        // each of which logs a line.
        if refused_lines >= 100 && dropped_lines == 0 {
            let caller = program.caller;
            seam_http::spawn(async move {
                let mut connection = connect(caller).await;
                for _ in 0..10 {
                    let _ = connection.ready().await;
                    let _ = connection.send(test_request()).await;
                    async_io::Timer::after(Duration::from_millis(150)).await;
                }
            })
            .detach();
            refused_lines = 0;
        }
    }
    assert!(dropped_lines > 0);
    assert!(dropped_lines < REQUESTS + MAX_LINES_PER_SECOND);
}
