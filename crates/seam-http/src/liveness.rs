//! Tells a peer that reads slowly from one that no longer answers.
//!
//! The system's own timeout, `TCP_USER_TIMEOUT`, closes both: a connection whose peer acknowledges
//! everything, but keeps its window closed because it does not read, counts as unanswered too.

use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite};

/// Time without an acknowledgement after which a peer that owes one is dead.
///
/// A sound target may be silent for 1.5 s. The system sends lost bytes again after 0.2, 0.6, 1.4 and 3 s.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(4500);
/// Unanswered repetitions before a peer is dead.
const MIN_UNANSWERED: u8 = 3;
/// Shortest time between two checks of a connection.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// What a connection's peer has acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Acknowledgements {
    /// Whether bytes are sent or wait to be sent.
    pub outstanding: bool,
    /// Repetitions or probes since the last acknowledgement.
    pub unanswered: u8,
    /// Time since the last acknowledgement.
    pub age: Duration,
}

impl Acknowledgements {
    /// Returns whether the peer is dead. A peer that answers probes of its closed window is not.
    ///
    /// ```
    /// use std::time::Duration;
    /// use seam_http::liveness::Acknowledgements;
    ///
    /// let dead = Acknowledgements {
    ///     outstanding: true,
    ///     unanswered: 4,
    ///     age: Duration::from_secs(5),
    /// };
    /// assert!(dead.overdue());
    /// let closed_window = Acknowledgements { unanswered: 0, ..dead };
    /// assert!(!closed_window.overdue());
    /// ```
    #[must_use]
    pub fn overdue(&self) -> bool {
        self.outstanding && self.unanswered >= MIN_UNANSWERED && self.age >= ACK_TIMEOUT
    }

    /// Returns the time until the next check, `None` if none is due before more is sent.
    #[must_use]
    pub fn next_check(&self) -> Option<Duration> {
        let wait = if self.unanswered == 0 {
            ACK_TIMEOUT
        } else {
            ACK_TIMEOUT.saturating_sub(self.age)
        };
        self.outstanding.then_some(wait.max(MIN_INTERVAL))
    }
}

/// Reads the state of a connection from the system.
#[cfg(target_os = "linux")]
#[expect(
    unsafe_code,
    reason = "no safe interface to TCP_INFO is among the dependencies"
)]
fn acknowledgements(stream: &TcpStream) -> io::Result<Acknowledgements> {
    use std::os::fd::AsRawFd;

    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open as long as `stream` is borrowed, and the system writes at most
    // `length` bytes to `info`, which is as large.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: all fields are integers, for which zeros are valid where the system wrote nothing.
    let info = unsafe { info.assume_init() };
    if info.tcpi_state == 0 {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(Acknowledgements {
        outstanding: info.tcpi_unacked > 0 || info.tcpi_notsent_bytes > 0,
        unanswered: info.tcpi_retransmits.max(info.tcpi_probes),
        age: Duration::from_millis(u64::from(info.tcpi_last_ack_recv)),
    })
}

#[cfg(not(target_os = "linux"))]
fn acknowledgements(_: &TcpStream) -> io::Result<Acknowledgements> {
    Err(io::ErrorKind::Unsupported.into())
}

/// A connection that fails once its peer no longer acknowledges what is sent.
#[derive(Debug)]
pub struct LiveStream {
    stream: Async<TcpStream>,
    /// When the acknowledgements are checked next, `None` while nothing was sent.
    check: Option<Timer>,
    supported: bool,
}

impl LiveStream {
    /// Monitors a connection. Where the system does not tell what is acknowledged, its own timeout is
    /// set, which also closes connections of slow readers.
    #[must_use]
    pub fn new(stream: Async<TcpStream>) -> Self {
        let state = acknowledgements(stream.get_ref());
        if let Err(error) = &state {
            log::debug!("the system's timeout is used for a connection: {error}");
            let socket = socket2::SockRef::from(stream.get_ref());
            if let Err(error) = socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)) {
                log::debug!("a connection has no timeout: {error}");
            }
        }
        Self {
            stream,
            check: None,
            supported: state.is_ok(),
        }
    }

    fn note_write<T>(&mut self, write: &Poll<io::Result<T>>) {
        if self.supported && self.check.is_none() && matches!(write, Poll::Ready(Ok(_))) {
            self.check = Some(Timer::after(ACK_TIMEOUT));
        }
    }

    /// Fails if the peer is dead. The task is woken for the next check.
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while let Some(timer) = &mut self.check {
            if Pin::new(timer).poll(context).is_pending() {
                break;
            }
            let state = acknowledgements(self.stream.get_ref())?;
            if state.overdue() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.check = state.next_check().map(Timer::after);
        }
        Ok(())
    }
}

impl AsyncRead for LiveStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_read(context, bytes)
    }
}

impl AsyncWrite for LiveStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(&write);
        self.check(context)?;
        write
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(&write);
        self.check(context)?;
        write
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
