//! Bounds on what follows of a response body after the deadline of its request.
//!
//! At the deadline a body may be waiting for either side. A caller that reads slowly keeps a sound target from
//! finishing, and its response is delivered although it is late. A target that keeps the caller waiting is given
//! up: [`Overrun`] adds up the time in which the caller asks for more and nothing has arrived. It is a state
//! machine without I/O, and [`Bounded`] applies it to a body.
//!
//! A body is bounded where it enters the system and again at the ingress if that is another daemon. The sidecar
//! bounds its target; the ingress bounds only the silence of the sidecar, since a link may be slow.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::overrun::{End, MAX_TARGET_WAIT, Overrun, Source};
//!
//! let deadline = Instant::now();
//! let mut overrun = Overrun::new(Source::Target, deadline);
//! let halfway = deadline + MAX_TARGET_WAIT / 2;
//! overrun.begin_wait(deadline);
//! overrun.receive(halfway, 8);
//! assert_eq!(overrun.check(halfway), None);
//! overrun.begin_wait(halfway);
//! assert_eq!(overrun.check(deadline + MAX_TARGET_WAIT), Some(End::Stalled));
//! ```

use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use metrics::counter;
use snafu::Snafu;
use strum::{Display, IntoStaticStr};
use tokio::time::Sleep;
use volo_http::body::Body;

use crate::calls::pipeline::task::Task;
use crate::calls::stream::BoxError;

/// Longest time for which the target may keep the caller waiting after the deadline, in total.
pub const MAX_TARGET_WAIT: Duration = Duration::from_millis(200);
/// Longest time for which the sidecar may send nothing after the deadline while the caller waits. It is longer
/// than that of the target, so that the sidecar decides unless it is silent itself.
pub const MAX_SIDECAR_WAIT: Duration = Duration::from_millis(350);
/// Longest time after the deadline in which the caller takes nothing.
pub const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Longest time in total after the deadline, for a caller that reads slowly: 4 MiB at 1 Mbit/s take about as long.
pub const MAX_TIME: Duration = Duration::from_secs(30);
/// Largest part of a body that follows after the deadline, in bytes.
pub const MAX_BYTES: usize = 4 << 20;
/// Bytes that each part counts for at least, since a small one costs as much processor time.
pub const MIN_PART_BYTES: usize = 1 << 10;

/// Where the body comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Source {
    /// The co-located target.
    Target,
    /// The sidecar on another host. Only its silence is bounded, since it bounds its target itself.
    Sidecar,
}

impl Source {
    const fn max_wait(self) -> Duration {
        match self {
            Self::Target => MAX_TARGET_WAIT,
            Self::Sidecar => MAX_SIDECAR_WAIT,
        }
    }
}

/// Why a body is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// The source kept the caller waiting for too long.
    Stalled,
    /// [`MAX_BYTES`] followed.
    Flooded,
    /// The caller took nothing for [`MAX_PAUSE`].
    Unread,
    /// The caller had not read everything after [`MAX_TIME`].
    Expired,
}

impl End {
    /// Whether the source is the cause, and not a caller that does not read in time.
    #[must_use]
    pub const fn is_source_failure(self) -> bool {
        matches!(self, Self::Stalled | Self::Flooded)
    }
}

/// Error of a body that was given up after its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display(
    "the body from the {from} was given up {} ms after its deadline with {bytes} bytes received ({end}); \
     raise the timeout if the response is sound",
    late.as_millis()
))]
pub struct Cut {
    /// Where the body came from.
    pub from: Source,
    /// Why it was given up.
    pub end: End,
    /// Bytes received, those before the deadline included.
    pub bytes: usize,
    /// Time since the deadline.
    pub late: Duration,
}

/// Progress of a body around its deadline.
#[derive(Debug, Clone, Copy)]
pub struct Overrun {
    source: Source,
    deadline: Instant,
    /// When the caller last asked for more.
    asked: Instant,
    /// Since when the caller has waited, unless it has received what it asked for.
    waiting_since: Option<Instant>,
    /// Time after the deadline in which the caller waited for what it has received.
    waited: Duration,
    bytes: usize,
    /// What has followed after the deadline, in bytes, small parts rounded up.
    late_bytes: usize,
}

impl Overrun {
    /// A body from `source` that is due at `deadline`.
    #[must_use]
    pub const fn new(source: Source, deadline: Instant) -> Self {
        Self {
            source,
            deadline,
            asked: deadline,
            waiting_since: None,
            waited: Duration::ZERO,
            bytes: 0,
            late_bytes: 0,
        }
    }

    /// Records that the caller asks for more and nothing has arrived yet.
    pub fn begin_wait(&mut self, now: Instant) {
        self.asked = now;
        self.waiting_since.get_or_insert(now);
    }

    /// Records a part of the body that the caller has asked for.
    pub fn receive(&mut self, now: Instant, bytes: usize) {
        self.asked = now;
        self.waited = match self.source {
            Source::Target => self.waited_until(now),
            Source::Sidecar => Duration::ZERO,
        };
        self.waiting_since = None;
        self.bytes = self.bytes.saturating_add(bytes);
        if now >= self.deadline {
            self.late_bytes = self.late_bytes.saturating_add(bytes.max(MIN_PART_BYTES));
        }
    }

    /// Why the body has to be given up at `now`, if so.
    #[must_use]
    pub fn check(&self, now: Instant) -> Option<End> {
        let is_waiting = self.waiting_since.is_some();
        if is_waiting && self.waited_until(now) >= self.source.max_wait() {
            return Some(End::Stalled);
        }
        if self.source == Source::Sidecar {
            return None;
        }
        if self.late_bytes >= MAX_BYTES {
            Some(End::Flooded)
        } else if !is_waiting && now >= self.asked.max(self.deadline) + MAX_PAUSE {
            Some(End::Unread)
        } else if now >= self.deadline + MAX_TIME {
            Some(End::Expired)
        } else {
            None
        }
    }

    /// When to check again if nothing happens until then.
    #[must_use]
    pub fn next_check(&self) -> Instant {
        let max_wait = self.source.max_wait();
        let due = match self.waiting_since {
            Some(since) => since.max(self.deadline) + max_wait.saturating_sub(self.waited),
            None => self.asked.max(self.deadline) + MAX_PAUSE,
        };
        match self.source {
            Source::Target => due.min(self.deadline + MAX_TIME),
            Source::Sidecar => due,
        }
    }

    fn waited_until(&self, now: Instant) -> Duration {
        let current = self.waiting_since.map_or(Duration::ZERO, |since| {
            now.saturating_duration_since(since.max(self.deadline))
        });
        self.waited + current
    }

    fn cut(&self, now: Instant, end: End) -> Cut {
        Cut {
            from: self.source,
            end,
            bytes: self.bytes,
            late: now.saturating_duration_since(self.deadline),
        }
    }
}

/// Called with the reason when a body is given up.
type Report = Box<dyn FnOnce(Cut) + Send + Sync>;

/// A body that fails, and drops its source, when its [`Overrun`] has to be given up.
pub struct Bounded {
    state: Arc<Mutex<State>>,
    /// Ends the wait for the next part.
    timer: Option<Pin<Box<Sleep>>>,
    /// Gives the body up also if its caller asks for nothing.
    _watch: Option<Task<()>>,
}

/// What a body shares with the task that watches its caller; locked for a poll at a time.
struct State {
    overrun: Overrun,
    /// The source, or why it was given up.
    source: Result<Body, Cut>,
    /// Whether the source has come to its end, or failed by itself.
    has_ended: bool,
    report: Option<Report>,
}

/// A source that was given up. It is dropped without the lock, since what it holds may take others.
struct Closed {
    cut: Cut,
    source: Body,
    report: Option<Report>,
}

impl fmt::Debug for Bounded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Bounded").finish_non_exhaustive()
    }
}

impl Bounded {
    /// Bounds a body that another host sends. It stays open while the caller asks for nothing, since its sidecar
    /// watches it.
    #[must_use]
    pub fn wrap(source: Body, overrun: Overrun) -> Body {
        Body::from_body(Self {
            state: State::open(source, overrun, None),
            timer: None,
            _watch: None,
        })
    }

    /// Bounds a body that holds resources of this host, such as a slot; calls `report` when it is given up.
    #[must_use]
    pub fn watch(
        source: Body,
        overrun: Overrun,
        report: impl FnOnce(Cut) + Send + Sync + 'static,
    ) -> Body {
        let state = State::open(source, overrun, Some(Box::new(report)));
        Body::from_body(Self {
            timer: None,
            _watch: Some(Task::spawn(watch(Arc::clone(&state)))),
            state,
        })
    }

    fn poll_timer(&mut self, at: Instant, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at.into())));
        if timer.deadline() != at.into() {
            timer.as_mut().reset(at.into());
        }
        timer.as_mut().poll(cx)
    }
}

impl http_body::Body for Bounded {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        loop {
            let (polled, closed, next_check) = lock(&self.state).poll_frame(cx);
            if let Some(closed) = closed {
                return Poll::Ready(Some(Err(closed.finish().into())));
            }
            if polled.is_ready() {
                return polled;
            }
            ready!(self.poll_timer(next_check, cx));
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = lock(&self.state);
        state.source.as_ref().is_ok_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let state = lock(&self.state);
        state
            .source
            .as_ref()
            .map(Body::size_hint)
            .unwrap_or_default()
    }
}

/// Gives a body up when it is due, whether or not its caller asks for more.
async fn watch(state: Arc<Mutex<State>>) {
    loop {
        let next_check = {
            let state = lock(&state);
            if state.is_over() {
                return;
            }
            state.overrun.next_check()
        };
        tokio::time::sleep_until(next_check.into()).await;
        let closed = lock(&state).close_if_due(Instant::now());
        if let Some(closed) = closed {
            closed.finish();
            return;
        }
    }
}

impl State {
    fn open(source: Body, overrun: Overrun, report: Option<Report>) -> Arc<Mutex<Self>> {
        Arc::new(Mutex::new(Self {
            overrun,
            source: Ok(source),
            has_ended: false,
            report,
        }))
    }

    /// Polls the source; also returns it if it was given up, and when to poll again if it was not.
    #[expect(
        clippy::type_complexity,
        reason = "the poll of a body, with two results more"
    )]
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> (
        Poll<Option<Result<Frame<Bytes>, BoxError>>>,
        Option<Closed>,
        Instant,
    ) {
        let polled = match &mut self.source {
            Ok(source) => Pin::new(source).poll_frame(cx),
            Err(cut) => Poll::Ready(Some(Err((*cut).into()))),
        };
        let now = Instant::now();
        let closed = match &polled {
            Poll::Pending => {
                self.overrun.begin_wait(now);
                self.close_if_due(now)
            }
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                self.overrun.receive(now, length);
                self.close_if_due(now)
            }
            Poll::Ready(Some(Err(_)) | None) => {
                self.has_ended = true;
                None
            }
        };
        (polled, closed, self.overrun.next_check())
    }

    /// Whether nothing follows any more.
    fn is_over(&self) -> bool {
        self.has_ended || self.source.as_ref().map_or(true, Body::is_end_stream)
    }

    fn close_if_due(&mut self, now: Instant) -> Option<Closed> {
        let end = self.overrun.check(now)?;
        if self.is_over() {
            return None;
        }
        let cut = self.overrun.cut(now, end);
        let source = std::mem::replace(&mut self.source, Err(cut)).ok()?;
        Some(Closed {
            cut,
            source,
            report: self.report.take(),
        })
    }
}

impl Closed {
    fn finish(self) -> Cut {
        let (from, end) = (<&str>::from(self.cut.from), <&str>::from(self.cut.end));
        counter!("jackdaw_bodies_cut_total", "source" => from, "end" => end).increment(1);
        drop(self.source);
        if let Some(report) = self.report {
            report(self.cut);
        }
        self.cut
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
