//! A proxy before the store whose open channels can go silent.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

/// A proxy to one address.
pub struct Proxy {
    /// Its own address.
    pub address: SocketAddr,
    /// Channels that were opened before the last silence pass on nothing.
    silences: Arc<AtomicU32>,
}

impl Proxy {
    /// Starts a proxy.
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let silences: Arc<AtomicU32> = Arc::default();
        let shared = silences.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let opened = shared.load(Ordering::SeqCst);
                for (from, into) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else {
                        continue;
                    };
                    let shared = shared.clone();
                    thread::spawn(move || pass_on(from, into, opened, &shared));
                }
            }
        });
        Ok(Self { address, silences })
    }

    /// Lets all open channels go silent for good. New ones work.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

fn pass_on(mut from: TcpStream, mut into: TcpStream, opened: u32, silences: &AtomicU32) {
    let mut part = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut part).unwrap_or(0);
        // A silent channel passes on neither bytes nor its end.
        let silent = silences.load(Ordering::SeqCst) != opened;
        if read > 0 && !silent && into.write_all(&part[..read]).is_err() {
            return;
        }
        if read == 0 {
            if !silent {
                let _ = into.shutdown(std::net::Shutdown::Write);
            } else {
                thread::park();
            }
            return;
        }
    }
}
