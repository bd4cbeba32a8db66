//! Minimal HTTP/1.1 over plain sockets, so that a stand-in controls each byte and each close.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

/// A connection with a read buffer.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<usize> {
        self.get(name)?.trim().parse().ok()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

fn broken(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_owned())
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes. Returns whether there were any before the end.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if !self.fill()? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads a head, `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut head = Head {
            first,
            fields: Vec::new(),
        };
        loop {
            let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            let (name, value) = line.split_once(':').ok_or_else(|| broken("no field"))?;
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            head.fields.push(field);
        }
    }

    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads the body that a head announces. `to_end` allows one that ends with the connection.
    pub fn body(&mut self, head: &Head, to_end: bool) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk size"))?;
                body.extend(self.exact(size)?);
                let end = self.line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                if !end.is_empty() {
                    return Err(broken("no end of a chunk"));
                }
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        if let Some(length) = head.number("content-length") {
            return self.exact(length);
        }
        if !to_end {
            return Ok(Vec::new());
        }
        while self.fill()? {}
        Ok(std::mem::take(&mut self.buffer))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Opens a connection with a small receive buffer, and so a small window.
pub fn connect_with_window(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    #[repr(C)]
    struct Address {
        family: u16,
        port: [u8; 2],
        ip: [u8; 4],
        zero: [u8; 8],
    }
    unsafe extern "C" {
        fn socket(family: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(fd: i32, address: *const Address, length: u32) -> i32;
    }
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = Address {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: a call without memory.
    let fd = unsafe { socket(AF_INET, SOCK_STREAM_CLOEXEC, 0) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor was just opened and has no other owner.
    let stream = unsafe { TcpStream::from_raw_fd(fd) };
    let fd = stream.as_raw_fd();
    // SAFETY: both values live for the calls and have the stated sizes.
    let failed = unsafe {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4) != 0
            || connect(fd, &raw const address, 16) != 0
    };
    if failed {
        return Err(io::Error::last_os_error());
    }
    Ok(stream)
}
