//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The head of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Header fields in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response, zero if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns a number in the query of a request.
    pub fn query_number(&self, name: &str) -> u64 {
        let query = self.word(1).split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
    }
}

/// A connection with a buffer for what was read from it.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            reader: BufReader::with_capacity(4096, stream),
        }
    }

    /// Opens a connection whose reads end after a time.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    /// Returns the stream, to write to it.
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Writes bytes.
    pub fn send(&self, bytes: &[u8]) -> io::Result<()> {
        self.stream().write_all(bytes)
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        let read = self.reader.read_until(b'\n', &mut line)?;
        if read == 0 || line.last() != Some(&b'\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = String::from_utf8_lossy(&line);
        Ok(text.trim_end_matches(['\r', '\n']).to_owned())
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Head> {
        let mut head = Head {
            line: self.read_line()?,
            ..Head::default()
        };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
                head.fields.push(field);
            }
        }
    }

    /// Reads a part of a body, at most as long as the buffer.
    pub fn read_some(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buffer)
    }

    /// Reads the body of a message. `bytes` has what arrived, also if it breaks off.
    pub fn read_body(&mut self, head: &Head, bytes: &mut Vec<u8>) -> io::Result<()> {
        let chunked = head
            .field("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if chunked {
            loop {
                let size = self.read_line()?;
                let size = size.split(';').next().unwrap_or_default().trim().to_owned();
                let invalid = |_| io::Error::from(io::ErrorKind::InvalidData);
                let size = usize::from_str_radix(&size, 16).map_err(invalid)?;
                self.read_exactly(size, bytes)?;
                self.read_line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = head.field("content-length");
        match length.and_then(|length| length.parse().ok()) {
            Some(length) => self.read_exactly(length, bytes),
            None if head.line.starts_with("HTTP/") => {
                self.reader.read_to_end(bytes)?;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn read_exactly(&mut self, size: usize, bytes: &mut Vec<u8>) -> io::Result<()> {
        let mut left = size;
        let mut part = vec![0; 64 << 10];
        while left > 0 {
            let limit = left.min(part.len());
            let read = self.reader.read(&mut part[..limit])?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            bytes.extend_from_slice(&part[..read]);
            left -= read;
        }
        Ok(())
    }
}

/// Starts a server on a free port. The handler answers one request and returns whether the
/// connection is kept.
pub fn serve<F>(handler: F) -> io::Result<SocketAddr>
where
    F: Fn(&mut Connection, &Head) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(head) = connection.read_head() {
                    if !handler(&mut connection, &head).unwrap_or(false) {
                        break;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Sends a whole answer with a length.
pub fn answer(connection: &Connection, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    connection.send(&[head.as_bytes(), body].concat())
}
