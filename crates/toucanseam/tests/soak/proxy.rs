//! A loopback proxy that delays, withholds or resets the traffic of its connections.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use seam_http::{lock, spawn};
use socket2::{Domain, Socket, Type};

/// What the proxy does with the bytes of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Withholds them in both directions, without closing the connections.
    Silent,
    /// Forwards those to the server, and withholds those to the client.
    OneWay,
    /// Resets open and new connections.
    Reset,
    /// Answers requests without a body with this status.
    Refuse(u16),
}

/// Interval at which withheld connections check for a new mode.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A proxy in front of one address.
pub struct Proxy {
    pub address: SocketAddr,
    to: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    /// Connections that began before the last cut stay silent for good.
    cuts: Arc<AtomicU64>,
    /// Keeps the port while nothing listens on it.
    _reserved: Socket,
    task: Mutex<Option<Task<()>>>,
}

/// Reserves a free port for as long as the socket lives. One that is bound with `SO_REUSEADDR` but does not
/// listen lets others listen on the port, while the system assigns it to no other socket.
pub fn reserve_port() -> (SocketAddr, Socket) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
    socket
        .set_reuse_address(true)
        .expect("the option can be set");
    socket.bind(&any.into()).expect("a port is free");
    let address = socket.local_addr().expect("the socket is bound");
    let address = address.as_socket().expect("the address is an IP address");
    (address, socket)
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let (address, reserved) = reserve_port();
        let proxy = Self {
            address,
            to,
            mode: Arc::new(Mutex::new(Mode::Pass)),
            cuts: Arc::default(),
            _reserved: reserved,
            task: Mutex::default(),
        };
        proxy.open();
        proxy
    }

    /// Accepts connections, with all bytes passing.
    pub fn open(&self) {
        let listener = Async::<TcpListener>::bind(self.address).expect("the port is reserved");
        self.set(Mode::Pass);
        let (to, mode, cuts) = (self.to, self.mode.clone(), self.cuts.clone());
        let task = spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (mode, cuts) = (mode.clone(), cuts.clone());
                spawn(async move { forward(stream, to, &mode, &cuts).await }).detach();
            }
        });
        *lock(&self.task) = Some(task);
    }

    /// Resets open connections, and lets new ones be refused as when the server's process has ended.
    pub fn close(&self) {
        self.set(Mode::Reset);
        lock(&self.task).take();
    }

    pub fn set(&self, mode: Mode) {
        *lock(&self.mode) = mode;
    }

    /// Leaves open connections silent for good, while new ones pass.
    pub fn cut(&self) {
        self.cuts.fetch_add(1, Ordering::Relaxed);
    }
}

async fn forward(client: Async<TcpStream>, to: SocketAddr, mode: &Mutex<Mode>, cuts: &AtomicU64) {
    let before = cuts.load(Ordering::Relaxed);
    if *lock(mode) == Mode::Reset {
        reset(&client);
        return;
    }
    // Without the server, the client's connection is reset too.
    let Ok(server) = Async::<TcpStream>::connect(to).await else {
        reset(&client);
        return;
    };
    let to_server = copy(&client, &server, mode, false);
    let to_client = copy(&server, &client, mode, true);
    let reset_both = async {
        while *lock(mode) != Mode::Reset {
            Timer::after(POLL_INTERVAL).await;
        }
        reset(&client);
        reset(&server);
    };
    let copy_both = async {
        futures_lite::future::zip(to_server, to_client).await;
    };
    let pass = async {
        copy_both.or(reset_both).await;
        false
    };
    let cut = async {
        while cuts.load(Ordering::Relaxed) == before {
            Timer::after(POLL_INTERVAL).await;
        }
        true
    };
    if pass.or(cut).await {
        // Keeps the connections open.
        std::future::pending::<()>().await;
    }
}

/// Makes the connection close with a TCP reset.
fn reset(stream: &Async<TcpStream>) {
    let socket = socket2::SockRef::from(stream.get_ref());
    let _ = socket.set_linger(Some(Duration::ZERO));
}

/// Copies one direction until its end, and then closes it at the receiver.
async fn copy(from: &Async<TcpStream>, to: &Async<TcpStream>, mode: &Mutex<Mode>, to_client: bool) {
    let (mut reader, mut writer) = (from, to);
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = reader.read(&mut bytes).await;
        let refused = match *lock(mode) {
            Mode::Refuse(status) if !to_client && read.as_ref().is_ok_and(|size| *size > 0) => {
                Some(status)
            }
            _ => None,
        };
        if let Some(status) = refused {
            let answer = format!("HTTP/1.1 {status} Refused\r\ncontent-length: 0\r\n\r\n");
            let mut client = from;
            if client.write_all(answer.as_bytes()).await.is_ok() {
                continue;
            }
        }
        loop {
            let delay = match *lock(mode) {
                Mode::Pass | Mode::Reset => None,
                Mode::Delay(time) => Some(time),
                Mode::Silent => Some(Duration::MAX),
                Mode::OneWay | Mode::Refuse(_) => to_client.then_some(Duration::MAX),
            };
            match delay {
                None => break,
                Some(Duration::MAX) => drop(Timer::after(POLL_INTERVAL).await),
                Some(time) => {
                    Timer::after(time).await;
                    break;
                }
            }
        }
        match read {
            Ok(0) => {
                let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(size) if writer.write_all(&bytes[..size]).await.is_ok() => {}
            _ => {
                reset(from);
                reset(to);
                let _ = from.get_ref().shutdown(std::net::Shutdown::Both);
                let _ = to.get_ref().shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}
