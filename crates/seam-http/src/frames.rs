//! Bounds the control frames of an HTTP/2 connection, and lets other tasks run beside it.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite};

use crate::bounds::{Bound, record_exceeded};
use crate::guard::ReadTurns;

/// Bytes that a client sends before its first frame.
pub(crate) const PREFACE_BYTES: usize = 24;
/// Bytes of a frame before its payload.
const FRAME_HEAD_BYTES: usize = 9;
/// Maximum number of control frames in a [`CONTROL_WINDOW`]. A sound peer sends a few at the start of a
/// connection, and a ping every few seconds.
const MAX_CONTROL_FRAMES: usize = 100;
/// Time in which control frames are counted.
const CONTROL_WINDOW: Duration = Duration::from_secs(1);
/// Number of reads without a wait after which a connection lets other tasks run. A read may hold a
/// thousand frames.
const MAX_READS: u32 = 4;

/// Counts the control frames of one direction.
#[derive(Debug)]
struct FrameMeter {
    /// Bytes before the next frame: the rest of the preface or of a payload.
    skipped: usize,
    head: [u8; FRAME_HEAD_BYTES],
    /// Bytes of `head` that were read.
    filled: usize,
    window: Instant,
    /// Control frames in the window.
    control: usize,
}

impl FrameMeter {
    fn new(now: Instant, preface: usize) -> Self {
        Self {
            skipped: preface,
            head: [0; FRAME_HEAD_BYTES],
            filled: 0,
            window: now,
            control: 0,
        }
    }

    /// Follows the frames in bytes that were read. Returns whether there are not too many control
    /// frames.
    fn push(&mut self, now: Instant, mut bytes: &[u8]) -> bool {
        loop {
            let skipped = self.skipped.min(bytes.len());
            self.skipped -= skipped;
            bytes = &bytes[skipped..];
            let count = (FRAME_HEAD_BYTES - self.filled).min(bytes.len());
            self.head[self.filled..self.filled + count].copy_from_slice(&bytes[..count]);
            self.filled += count;
            bytes = &bytes[count..];
            if self.filled < FRAME_HEAD_BYTES {
                return true;
            }
            self.filled = 0;
            let [first, second, third, kind, ..] = self.head;
            self.skipped = u32::from_be_bytes([0, first, second, third]) as usize;
            if is_control(kind) && !self.count(now) {
                return false;
            }
        }
    }

    fn count(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window) >= CONTROL_WINDOW {
            self.window = now;
            self.control = 0;
        }
        self.control += 1;
        self.control <= MAX_CONTROL_FRAMES
    }
}

/// Returns whether frames of a kind carry neither a part of a request or response nor an answer to one.
fn is_control(kind: u8) -> bool {
    const DATA: u8 = 0;
    const HEADERS: u8 = 1;
    const RST_STREAM: u8 = 3;
    const WINDOW_UPDATE: u8 = 8;
    const CONTINUATION: u8 = 9;
    ![DATA, HEADERS, RST_STREAM, WINDOW_UPDATE, CONTINUATION].contains(&kind)
}

/// Wakes the task of a connection some time after each write.
///
/// A client of `hyper` plans its pings when its task runs while a request is open. The task may send a
/// request before the request counts as open. On a silent link nothing else would wake it again.
#[derive(Debug)]
struct WriteWakeup {
    /// Time after a write, `None` if the task is not to be woken.
    delay: Option<Duration>,
    timer: Option<Timer>,
    /// Whether there was a write since the timer started.
    rewritten: bool,
}

impl WriteWakeup {
    fn note_write<T>(&mut self, write: &Poll<io::Result<T>>) {
        if !matches!(write, Poll::Ready(Ok(_))) {
            return;
        }
        self.rewritten = self.timer.is_some();
        if self.timer.is_none() {
            self.timer = self.delay.map(Timer::after);
        }
    }

    /// Registers the task for the next wake-up.
    fn register(&mut self, context: &mut Context<'_>) {
        while let Some(timer) = &mut self.timer {
            if Pin::new(timer).poll(context).is_pending() {
                return;
            }
            let delay = self.delay.filter(|_| self.rewritten);
            self.rewritten = false;
            self.timer = delay.map(Timer::after);
        }
    }
}

/// An HTTP/2 connection whose reads fail after too many control frames.
#[derive(Debug)]
pub(crate) struct FrameStream {
    stream: Async<TcpStream>,
    peer: SocketAddr,
    meter: FrameMeter,
    turns: ReadTurns,
    wakeup: WriteWakeup,
}

impl FrameStream {
    /// Guards the reads of a connection. `preface` is the number of bytes before the first frame.
    pub(crate) fn new(stream: Async<TcpStream>, peer: SocketAddr, preface: usize) -> Self {
        Self {
            stream,
            peer,
            meter: FrameMeter::new(Instant::now(), preface),
            turns: ReadTurns::new(MAX_READS),
            wakeup: WriteWakeup {
                delay: None,
                timer: None,
                rewritten: false,
            },
        }
    }

    /// Wakes the connection's task after each write, between once and twice this time later.
    pub(crate) fn wake_after_writes(mut self, delay: Duration) -> Self {
        self.wakeup.delay = Some(delay);
        self
    }
}

impl AsyncRead for FrameStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.wakeup.register(context);
        if self.turns.exhausted(context) {
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.turns.count(&read);
        if let Poll::Ready(Ok(count)) = read
            && !self.meter.push(Instant::now(), &buffer[..count])
        {
            record_exceeded(Bound::ControlFrames, self.peer, self.meter.control);
            let message = format!("more than {MAX_CONTROL_FRAMES} control frames in a second");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        read
    }
}

impl AsyncWrite for FrameStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.wakeup.note_write(&write);
        self.wakeup.register(context);
        write
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.wakeup.note_write(&write);
        self.wakeup.register(context);
        write
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
