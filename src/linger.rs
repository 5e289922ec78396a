//! Lingering close of TCP connections (RFC 9112, section 9.6).
//!
//! The kernel resets a connection that is closed while received bytes are unread, or on which bytes
//! arrive after the close. A reset discards what is still to be delivered: the last responses, if a
//! peer sends one more request before it learns of the close. [`Linger`] therefore closes the
//! writing side only, then reads and discards until the peer closes as well.
//!
//! A peer that makes no progress must not hold its connection. [`Progress`] decides when to give it
//! up; it is a state machine without I/O.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::linger::{End, Progress, STALL_TIMEOUT};
//!
//! let now = Instant::now();
//! let mut progress = Progress::new(now, Some(40_000));
//! let later = now + STALL_TIMEOUT;
//! assert_eq!(progress.check(later, Some(10_000)), None);
//! assert_eq!(progress.check(later + STALL_TIMEOUT, Some(10_000)), Some(End::Stalled));
//! ```

use std::ffi::c_int;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use rustix::ioctl::{Getter, Opcode, ioctl};
use strum::{Display, IntoStaticStr};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::scratch;

/// Longest time in which the peer neither receives anything nor closes.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time in total, for a peer that receives slowly.
pub const MAX_DURATION: Duration = Duration::from_secs(30);
/// Maximum number of bytes that are discarded: a body of the largest size that is usually allowed.
pub const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// Time for which a connection has to be idle, with nothing left in its send queue, before it is
/// closed without lingering. A working peer has read the last response by then.
pub const DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Interval at which the send queue is checked.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Bytes that are discarded at a time.
const DISCARD_BYTES: usize = 64 << 10;
/// Request for the number of bytes in a socket's send queue that the peer has not acknowledged.
const SIOCOUTQ: Opcode = 0x5411;

/// Why a lingering close ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// The peer closed the connection, or it was lost.
    Closed,
    /// The peer received nothing for [`STALL_TIMEOUT`], or had received everything that long ago.
    Stalled,
    /// [`MAX_DURATION`] was reached.
    Expired,
    /// [`MAX_DISCARDED_BYTES`] were discarded.
    Flooded,
    /// Its place was needed for another connection.
    Evicted,
}

/// Progress of a peer during a lingering close.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    began: Instant,
    /// When the send queue last became shorter.
    progressed: Instant,
    /// Bytes in the send queue, if the system tells.
    queued: Option<usize>,
    discarded: usize,
}

impl Progress {
    /// Progress of a connection whose writing side is closed `now`, with `queued` bytes in its send
    /// queue.
    #[must_use]
    pub const fn new(now: Instant, queued: Option<usize>) -> Self {
        Self {
            began: now,
            progressed: now,
            queued,
            discarded: 0,
        }
    }

    /// Records discarded bytes.
    pub fn discard(&mut self, bytes: usize) -> Option<End> {
        self.discarded = self.discarded.saturating_add(bytes);
        (self.discarded >= MAX_DISCARDED_BYTES).then_some(End::Flooded)
    }

    /// Records the length of the send queue. Received bytes are no progress, so that a peer can't
    /// hold the connection by sending.
    pub fn check(&mut self, now: Instant, queued: Option<usize>) -> Option<End> {
        if queued < self.queued {
            self.progressed = now;
        }
        self.queued = queued;
        if now.duration_since(self.began) >= MAX_DURATION {
            Some(End::Expired)
        } else if now.duration_since(self.progressed) >= STALL_TIMEOUT {
            Some(End::Stalled)
        } else {
            None
        }
    }
}

/// Whether a connection has to linger whose last response was written `idle` ago, and that has
/// `queued` bytes in its send queue.
///
/// Without the length of the queue the time alone decides.
#[must_use]
pub fn is_needed(idle: Duration, queued: Option<usize>) -> bool {
    match queued {
        Some(0) => idle < DELIVERY_TIME,
        Some(_) => true,
        None => idle < STALL_TIMEOUT,
    }
}

/// Number of bytes in the send queue of a connection, whose writing side is closed, that its peer has
/// not acknowledged; `None` if the system does not tell.
#[must_use]
pub fn queued(stream: &TcpStream) -> Option<usize> {
    // SAFETY: SIOCOUTQ writes one `c_int` and changes nothing.
    let queued = unsafe { ioctl(stream, Getter::<SIOCOUTQ, c_int>::new()) };
    // The end of the stream counts as one byte.
    Some(usize::try_from(queued.ok()?).ok()?.saturating_sub(1))
}

/// The lingering close of a connection, polled until it is complete.
#[derive(Debug)]
pub struct Linger {
    progress: Progress,
    next_check: Pin<Box<Sleep>>,
    is_write_closed: bool,
}

impl Linger {
    /// Begins the close of a connection on which everything has been written.
    #[must_use]
    pub fn new(stream: &TcpStream) -> Self {
        let now = Instant::now();
        Self {
            progress: Progress::new(now, queued(stream)),
            next_check: Box::pin(tokio::time::sleep_until((now + CHECK_PERIOD).into())),
            is_write_closed: false,
        }
    }

    /// Closes the writing side, then reads and discards until the connection may be dropped.
    pub fn poll(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<End> {
        if !self.is_write_closed {
            // An error means that the connection is closed already, as reading it shows.
            let _: io::Result<()> = ready!(Pin::new(&mut *stream).poll_shutdown(cx));
            self.is_write_closed = true;
        }
        // Before reading, since a peer that sends all the time always has something to read.
        while self.next_check.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            if let Some(end) = self.progress.check(now, queued(stream)) {
                return Poll::Ready(end);
            }
            self.next_check.as_mut().reset((now + CHECK_PERIOD).into());
        }
        loop {
            match scratch::poll_read(stream, cx, DISCARD_BYTES, <[u8]>::len) {
                Poll::Ready(Ok(bytes)) if bytes > 0 => {
                    if let Some(end) = self.progress.discard(bytes) {
                        return Poll::Ready(end);
                    }
                }
                Poll::Ready(_) => return Poll::Ready(End::Closed),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}
