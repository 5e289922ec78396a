//! The sidecar: the daemon beside a target, through which all requests to that target pass.
//!
//! One process thus sees all requests in flight at the target, bounds them, and can prove that a
//! refused request did not run. A request with an idempotency key passes the [`Deduplicator`] on
//! its way to the [`Executor`]; any other goes there directly.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use http::{HeaderMap, HeaderValue, Request, Response};
use slog::info;
use volo_http::body::Body;

use crate::calls::executor::{Executor, QueueTime, Received};
use crate::calls::metadata::Metadata;
use crate::calls::nesting::Detector;
use crate::calls::notice::Notice;
use crate::calls::outcome::{self, Reason};
use crate::idempotency::deduplicator::Deduplicator;
use crate::shared_state::SharedState;
use crate::units::{Millis, Rate, Service};

/// Header with a sidecar's [`Load`].
pub const LOAD: &str = "x-jackdaw-load";

/// Runs requests at the co-located target.
#[derive(Debug)]
pub struct Sidecar {
    shared: Arc<SharedState>,
    executor: Arc<Executor>,
    deduplicator: Arc<Deduplicator>,
    /// Locked only briefly, and never across an await.
    nesting_detector: Mutex<Detector>,
    /// Repeated requests so far.
    repeats: AtomicU64,
}

/// Load that a sidecar reports with each response, written as numbers separated by commas.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run at the target or wait for a slot.
    pub in_flight: u32,
    /// Time for which this request waited for its slot.
    pub waited: Millis,
    /// Whether only targets call this request's route.
    pub nested: bool,
    /// Time until another request may start by the limit that the target names.
    pub token_delay: Millis,
    /// What the target has said of itself in this response.
    pub notice: Option<Notice>,
}

impl Load {
    /// Reads the load from a response's headers; `None` if it is missing or invalid.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        headers.get(LOAD)?.to_str().ok()?.parse().ok()
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nested = u8::from(self.nested);
        write!(f, "{},{},{nested}", self.in_flight, self.waited)?;
        // Releases that do not know these fields ignore them.
        if self.token_delay > Millis(0) || self.notice.is_some() {
            write!(f, ",{}", self.token_delay)?;
        }
        self.notice.map_or(Ok(()), |notice| write!(f, ",{notice}"))
    }
}

impl FromStr for Load {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.splitn(5, ',');
        let mut next = || fields.next().unwrap_or("0");
        Ok(Self {
            in_flight: next().parse()?,
            waited: next().parse()?,
            nested: next() == "1",
            token_delay: next().parse()?,
            notice: next().parse().ok(),
        })
    }
}

impl Sidecar {
    /// Creates a sidecar for the current target.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, deduplicator: Arc<Deduplicator>) -> Self {
        let executor = Arc::new(Executor::new(Arc::clone(&shared)));
        Self {
            shared,
            executor,
            deduplicator,
            nesting_detector: Mutex::default(),
            repeats: AtomicU64::new(0),
        }
    }

    /// Number of requests that run, and of those that wait.
    #[must_use]
    pub fn load(&self) -> (u32, usize) {
        self.executor.load()
    }

    /// Number of repeated requests that have arrived so far.
    #[must_use]
    pub fn repeats(&self) -> u64 {
        self.repeats.load(Ordering::Relaxed)
    }

    /// Limit that the target names.
    #[must_use]
    pub fn rate_limit(&self) -> Option<Rate> {
        self.executor.rate_limit()
    }

    /// Runs a request; the response carries the reason if it could not be run.
    pub async fn run(&self, metadata: Metadata, request: Request<Body>) -> Response<Body> {
        let (id, key) = (metadata.id.clone(), metadata.key.clone());
        let nested = self.record_origin(&metadata);
        if metadata.repeat {
            self.repeats.fetch_add(1, Ordering::Relaxed);
        }
        let received = Received::new(metadata, request, nested, self.shared.track_call());
        let result = match key {
            Some(key) => {
                self.deduplicator
                    .run_once(key, received, &self.executor)
                    .await
            }
            None => self.executor.run(received).await,
        };
        let mut response = match result {
            Ok(response) => response,
            Err(reason) => {
                if reason != Reason::Overloaded && self.shared.log_limiter.admit(Instant::now()) {
                    let instance = self
                        .shared
                        .target()
                        .and_then(|target| target.instance.clone());
                    info!(self.shared.logger, "request failed at sidecar"; "call" => &id,
                        "reason" => %reason, "running" => self.load().0,
                        "instance" => instance.map(|instance| instance.0));
                }
                outcome::sidecar_refusal(reason)
            }
        };
        let waited = response.extensions().get::<QueueTime>().copied();
        let notice = response.extensions().get::<Notice>().copied();
        let load = self.load_report(waited.unwrap_or_default(), nested, notice);
        if let Ok(load) = HeaderValue::from_str(&load.to_string()) {
            response.headers_mut().insert(LOAD, load);
        }
        response
    }

    /// Records where a request began; returns whether only targets call its route.
    fn record_origin(&self, metadata: &Metadata) -> bool {
        if metadata.caller_service == Service::default() {
            return false;
        }
        let roster = self.shared.roster();
        let mut nesting_detector = self
            .nesting_detector
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        nesting_detector.record(
            &metadata.route,
            &metadata.caller_service,
            &roster.host_counts,
        )
    }

    fn load_report(&self, waited: QueueTime, nested: bool, notice: Option<Notice>) -> Load {
        let (running, waiting) = self.load();
        Load {
            in_flight: running + u32::try_from(waiting).unwrap_or(u32::MAX),
            waited: Millis::from(waited.0),
            nested,
            token_delay: Millis::from(self.executor.token_delay()),
            notice,
        }
    }
}
