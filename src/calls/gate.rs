//! The gate: the only way into the co-located target.
//!
//! All work enters a target through the daemon beside it, so one process sees everything that is
//! in flight there, bounds it, and can prove a refusal. A request with an idempotency key is guarded
//! by [`Deduplicator`], which hand it on to the [`Work`]; any other goes there at once.

use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use http::{HeaderMap, HeaderValue, Request, Response};
use slog::info;
use volo_http::body::Body;

use crate::board::Board;
use crate::calls::handover::Handover;
use crate::calls::origins::Origins;
use crate::calls::outcome::{self, Reason};
use crate::calls::work::{Received, Waited, Work};
use crate::idempotency::deduplicator::Deduplicator;
use crate::units::{Millis, Service};

/// Header with a gate's [`Load`].
pub const LOAD: &str = "x-jackdaw-load";

/// Bounds and dispatches the work of the co-located target.
#[derive(Debug)]
pub struct Gate {
    board: Arc<Board>,
    work: Arc<Work>,
    keys: Arc<Deduplicator>,
    /// Held for a few instructions.
    origins: Mutex<Origins>,
}

/// What a gate tells an entry with each answer, written as numbers with commas.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run at the target or wait for a slot.
    pub in_flight: u32,
    /// Time for which the answered request waited for its slot.
    pub waited: Millis,
    /// Whether only targets call the route of the answered request.
    pub nested: bool,
}

impl Load {
    /// What a gate told with an answer or a refusal, if it did.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        headers.get(LOAD)?.to_str().ok()?.parse().ok()
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nested = u8::from(self.nested);
        write!(f, "{},{},{nested}", self.in_flight, self.waited)
    }
}

impl FromStr for Load {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(',');
        let mut next = || fields.next().unwrap_or("0");
        Ok(Self {
            in_flight: next().parse()?,
            waited: next().parse()?,
            nested: next() == "1",
        })
    }
}

impl Gate {
    /// A gate to whatever target the board names.
    #[must_use]
    pub fn new(board: Arc<Board>, keys: Arc<Deduplicator>) -> Self {
        let work = Arc::new(Work::new(Arc::clone(&board)));
        Self {
            board,
            work,
            keys,
            origins: Mutex::default(),
        }
    }

    /// Requests that run and that wait.
    #[must_use]
    pub fn load(&self) -> (u32, usize) {
        self.work.load()
    }

    /// Runs a request, or says why not.
    pub async fn run(&self, handover: Handover, request: Request<Body>) -> Response<Body> {
        let (id, key) = (handover.id.clone(), handover.key.clone());
        let nested = self.is_nested(&handover);
        let received = Received::new(handover, request, self.board.begin());
        let result = match key {
            Some(key) => self.keys.run_once(key, received, &self.work).await,
            None => self.work.run(received).await,
        };
        let mut response = match result {
            Ok(response) => response,
            Err(reason) => {
                if reason != Reason::Overloaded && self.board.lines.admit(Instant::now()) {
                    let instance = self
                        .board
                        .target()
                        .and_then(|target| target.instance.clone());
                    info!(self.board.logger, "gate gave no answer"; "call" => &id,
                        "reason" => %reason, "running" => self.load().0,
                        "instance" => instance.map(|instance| instance.0));
                }
                outcome::notice(reason)
            }
        };
        let waited = response.extensions().get::<Waited>().copied();
        let load = self.report(waited.unwrap_or_default(), nested);
        if let Ok(load) = HeaderValue::from_str(&load.to_string()) {
            response.headers_mut().insert(LOAD, load);
        }
        response
    }

    /// Whether only targets call the route of a request, which is noted.
    fn is_nested(&self, handover: &Handover) -> bool {
        if handover.from == Service::default() {
            return false;
        }
        let roster = self.board.roster();
        let mut origins = self.origins.lock().unwrap_or_else(PoisonError::into_inner);
        origins.note(&handover.route, &handover.from, &roster.fleet)
    }

    fn report(&self, waited: Waited, nested: bool) -> Load {
        let (running, waiting) = self.load();
        Load {
            in_flight: running + u32::try_from(waiting).unwrap_or(u32::MAX),
            waited: Millis::from(waited.0),
            nested,
        }
    }
}
