//! A reader of standard output that stands still delays no request, and learns what was left out.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use http::{Request, StatusCode};
use seam_emulator::server::free_address;
use seam_http::{Connection, empty};

/// Requests of the flood; many times what a pipe holds.
const FLOOD: usize = 4000;
/// Lines a second that the log bounds, as in `seam_node::logs`.
const MOST_A_SECOND: usize = 1000;

/// A running program, ended with the test.
struct Program {
    child: Child,
    caller: SocketAddr,
    folder: std::path::PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn try_start(name: &str, extra: &str) -> Program {
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
    Program {
        child,
        caller,
        folder,
    }
}

fn call() -> Request<seam_http::Body> {
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

/// Starts the program. A port that was free a moment ago may be taken, which ends the program at
/// once, so others are tried.
fn start(name: &str, extra: &str) -> Program {
    const TRIES: usize = 20;
    for _ in 0..TRIES {
        let mut program = try_start(name, extra);
        loop {
            if std::net::TcpStream::connect(program.caller).is_ok() {
                return program;
            }
            if program.child.try_wait().expect("it is a child").is_some() {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    panic!("the system gives no free ports");
}

#[test]
fn blocked_reader() {
    seam_http::start_workers(1);
    let mut program = start("flood", "[log]\nformat = \"json\"");
    seam_http::block_on(async {
        let mut connection = connect(program.caller).await;
        for _ in 0..FLOOD {
            // Nobody reads the program's output meanwhile.
            connection.ready().await.unwrap();
            let answer = connection.send(call()).await.unwrap();
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        }
    });
    let out = program.child.stdout.take().unwrap();
    let mut lines = BufReader::new(out).lines().map_while(Result::ok);
    let mut told = 0;
    let mut left_out = 0;
    for line in lines.by_ref() {
        told += usize::from(line.contains("refused"));
        if let Some((count, _)) = line.split_once(" lines of the log were left out") {
            left_out += count.trim().parse::<usize>().unwrap();
            break;
        }
        // What was left out is said with the next line, and there is one for each request.
        if told >= 100 && left_out == 0 {
            let caller = program.caller;
            seam_http::spawn(async move {
                let mut connection = connect(caller).await;
                for _ in 0..10 {
                    let _ = connection.ready().await;
                    let _ = connection.send(call()).await;
                    async_io::Timer::after(Duration::from_millis(150)).await;
                }
            })
            .detach();
            told = 0;
        }
    }
    assert!(left_out > 0);
    assert!(left_out < FLOOD + MOST_A_SECOND);
}
