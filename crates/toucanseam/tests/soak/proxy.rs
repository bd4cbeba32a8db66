//! A loopback proxy that delays, silences, cuts and resets connections.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use seam_http::{lock, spawn};

/// What happens to bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// They arrive later.
    Delay(Duration),
    /// They do not arrive, and nobody is told.
    Silent,
    /// Those towards the server arrive, the others do not.
    OneWay,
    /// Connections are reset, old and new ones.
    Reset,
}

/// Time between two looks at whether bytes may go on.
const LOOK: Duration = Duration::from_millis(10);

/// A proxy in front of one address.
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    _task: Task<()>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Async::<TcpListener>::bind(any).expect("the system has ports to give");
        let address = listener.get_ref().local_addr().expect("it is bound");
        let mode = Arc::new(Mutex::new(Mode::Pass));
        let shared = mode.clone();
        let task = spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mode = shared.clone();
                spawn(async move { carry(stream, to, &mode).await }).detach();
            }
        });
        Self {
            address,
            mode,
            _task: task,
        }
    }

    pub fn set(&self, mode: Mode) {
        *lock(&self.mode) = mode;
    }
}

async fn carry(near: Async<TcpStream>, to: SocketAddr, mode: &Mutex<Mode>) {
    if *lock(mode) == Mode::Reset {
        reset(&near);
        return;
    }
    // Where the server is gone, so is the connection.
    let Ok(far) = Async::<TcpStream>::connect(to).await else {
        reset(&near);
        return;
    };
    let there = copy(&near, &far, mode, false);
    let back = copy(&far, &near, mode, true);
    let watch = async {
        while *lock(mode) != Mode::Reset {
            Timer::after(LOOK).await;
        }
        reset(&near);
        reset(&far);
    };
    let both = async {
        futures_lite::future::zip(there, back).await;
    };
    both.or(watch).await;
}

/// Closes a connection with a reset.
fn reset(stream: &Async<TcpStream>) {
    let socket = socket2::SockRef::from(stream.get_ref());
    let _ = socket.set_linger(Some(Duration::ZERO));
}

/// Copies one direction until its end, which it passes on.
async fn copy(from: &Async<TcpStream>, to: &Async<TcpStream>, mode: &Mutex<Mode>, back: bool) {
    let (mut reader, mut writer) = (from, to);
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = reader.read(&mut bytes).await;
        loop {
            let held = match *lock(mode) {
                Mode::Pass | Mode::Reset => None,
                Mode::Delay(time) => Some(time),
                Mode::Silent => Some(Duration::MAX),
                Mode::OneWay => back.then_some(Duration::MAX),
            };
            match held {
                None => break,
                Some(Duration::MAX) => drop(Timer::after(LOOK).await),
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
