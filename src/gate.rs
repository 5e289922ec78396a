//! The gate: the only way into the co-located target.
//!
//! All work enters a target through the daemon beside it, so one process sees everything that is
//! in flight there, bounds it, and can prove a refusal. A request moves through types: it is
//! [`Received`], then [`Admitted`] with a slot, then answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use http::{HeaderValue, Request, Response, header};
use slog::debug;
use volo_http::body::Body;

use crate::board::{Board, InFlight};
use crate::dispatch::Dispatcher;
use crate::document::Guard;
use crate::guard::Keys;
use crate::line::{Line, Permit};
use crate::member::Stage;
use crate::outcome::{self, Fate, OUTCOME, REFUSED, Reason};
use crate::settings::Limits;
use crate::stream::{self, Held};
use crate::units::{Millis, Service};
use crate::wire::Handover;

/// Header with the requests in flight at a gate.
pub const LOAD: &str = "x-jackdaw-load";
/// Header with the time left for a request, in milliseconds.
pub const REMAINING: &str = "x-jackdaw-remaining-ms";
/// Header with the identifier of a call.
pub const CALL: &str = "x-jackdaw-call";

/// Part of the time left that a request may wait for a slot.
const QUEUE_SHARE: u32 = 2;
const UNLIMITED: u32 = u32::MAX;

/// Bounds and dispatches the work of the co-located target.
#[derive(Debug)]
pub struct Gate {
    board: Arc<Board>,
    dispatcher: Dispatcher,
    line: Arc<Line>,
    keys: Arc<Keys>,
}

/// A request that has reached its gate.
#[derive(Debug)]
pub struct Received {
    handover: Handover,
    request: Request<Body>,
    deadline: Instant,
    in_flight: InFlight,
}

/// A request that holds a slot of the target.
#[derive(Debug)]
pub struct Admitted {
    received: Received,
    permit: Permit,
    target: SocketAddr,
}

impl Gate {
    /// A gate to whatever target the board names.
    #[must_use]
    pub fn new(board: Arc<Board>, keys: Arc<Keys>) -> Self {
        let dispatcher = Dispatcher::new(board.settings.target_idle_ms.duration());
        Self {
            board,
            dispatcher,
            line: Arc::default(),
            keys,
        }
    }

    /// Requests that run and that wait.
    #[must_use]
    pub fn load(&self) -> (u32, usize) {
        self.line.load()
    }

    /// Runs a request, or says why not.
    pub async fn run(
        self: &Arc<Self>,
        handover: Handover,
        request: Request<Body>,
    ) -> Response<Body> {
        let id = handover.id.clone();
        let deadline = Instant::now() + handover.remaining.duration();
        let in_flight = self.board.begin();
        let received = Received {
            handover,
            request,
            deadline,
            in_flight,
        };
        let result = match received.handover.key.clone() {
            Some(key) => self.keys.guard(key, received, self).await,
            None => self.work(received).await,
        };
        let mut response = match result {
            Ok(response) => response,
            Err(reason) => {
                debug!(self.board.logger, "call ended without answer";
                    "call" => &id, "reason" => %reason);
                outcome::refusal(&id, reason)
            }
        };
        let (running, waiting) = self.load();
        let load = u64::from(running) + waiting as u64;
        response.headers_mut().insert(LOAD, HeaderValue::from(load));
        response
    }

    /// Takes a request through its life.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
    pub async fn work(&self, received: Received) -> Result<Response<Body>, Reason> {
        let admitted = received.admit(self).await?;
        admitted.dispatch(self).await
    }

    /// The target to dispatch to, checked at this very moment.
    fn target(&self, handover: &Handover) -> Result<SocketAddr, Reason> {
        if self.board.stage() == Stage::Draining {
            return Err(Reason::Draining);
        }
        let target = self.board.target().ok_or(Reason::NoTarget)?;
        let offered = target.service == handover.service && Instant::now() < target.lease_until;
        if offered {
            Ok(target.address)
        } else {
            Err(Reason::NoTarget)
        }
    }

    /// Closes a target that refuses connections, until it announces itself again.
    ///
    /// Guards against a target that has died: its lease holds for seconds, and for so long its
    /// daemon would draw calls, and hold keys, that it can't serve.
    fn doubt_target(&self, reason: Reason) {
        if reason == Reason::Unreachable {
            self.board.set_target(None);
        }
    }

    /// Slots and places to wait for a group.
    fn sizes(&self, handover: &Handover) -> (u32, u32) {
        if self.board.settings.limits == Limits::Off {
            return (UNLIMITED, UNLIMITED);
        }
        let slots = self.board.target().map_or(1, |target| target.slots.0);
        let config = self.board.config();
        match config.document.group(&handover.group) {
            Some(group) => (
                group.slots.map_or(slots, |bound| slots.min(bound.0)),
                group.queue,
            ),
            None => (slots, slots),
        }
    }
}

impl Received {
    /// When the head of the answer is due.
    #[must_use]
    pub const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// What keeps its key from running twice.
    #[must_use]
    pub const fn guard(&self) -> Guard {
        self.handover.guard
    }

    /// Service that is called.
    #[must_use]
    pub const fn service(&self) -> &Service {
        &self.handover.service
    }

    /// Gates that take no more calls by their own word.
    #[must_use]
    pub fn leaving(&self) -> &[SocketAddr] {
        &self.handover.leaving
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Why the request was refused; it has provably not run.
    pub async fn admit(self, gate: &Gate) -> Result<Admitted, Reason> {
        gate.target(&self.handover)?;
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Reason::Expired);
        }
        let (slots, queue) = gate.sizes(&self.handover);
        let permit = gate
            .line
            .enter(slots, queue, self.handover.class, left / QUEUE_SHARE)
            .await?;
        // Guards against a gate that was frozen while the request waited: its caller has given up
        // and been told so, or its target has said good-bye. Deadline and stage are looked at
        // again with the slot in hand, right before the request leaves.
        if Instant::now() >= self.deadline {
            return Err(Reason::Expired);
        }
        let target = gate.target(&self.handover)?;
        Ok(Admitted {
            received: self,
            permit,
            target,
        })
    }
}

impl Admitted {
    /// Sends the request to the target and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Why there is no answer, and with it whether the request may have run.
    pub async fn dispatch(self, gate: &Gate) -> Result<Response<Body>, Reason> {
        let Received {
            handover,
            mut request,
            deadline,
            in_flight,
        } = self.received;
        let left = deadline.saturating_duration_since(Instant::now());
        let headers = request.headers_mut();
        stream::strip_hop_by_hop(headers);
        headers.insert(REMAINING, HeaderValue::from(Millis::from(left).0));
        if let Ok(id) = HeaderValue::from_str(&handover.id) {
            headers.insert(CALL, id);
        }
        let answer = gate.dispatcher.send(self.target, request);
        let response = match tokio::time::timeout(left, answer).await {
            Ok(answer) => answer.inspect_err(|reason| gate.doubt_target(*reason))?,
            // Dropping the exchange closes its connection, so that a late answer can't meet the
            // next request.
            Err(_) => return Err(Reason::TimedOut),
        };
        if response.headers().contains_key(REFUSED) {
            return Err(Reason::Shed);
        }
        let (mut parts, body) = response.into_parts();
        stream::strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(header::DATE);
        let answered = HeaderValue::from_static("answered");
        debug_assert_eq!(Fate::Answered.to_string(), "answered");
        parts.headers.insert(OUTCOME, answered);
        Ok(Response::from_parts(
            parts,
            Held::wrap(body, (self.permit, in_flight)),
        ))
    }
}
