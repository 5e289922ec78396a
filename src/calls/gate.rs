//! The gate: the only way into the co-located target.
//!
//! All work enters a target through the daemon beside it, so one process sees everything that is
//! in flight there, bounds it, and can prove a refusal. A request moves through types: it is
//! [`Received`], then [`Admitted`] with a slot, then answered.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use slog::info;
use volo_http::body::Body;

use crate::board::{Board, InFlight, Target};
use crate::dialect::Dialect;
use crate::dispatch::{Dispatcher, Lease};
use crate::document::Guard;
use crate::guard::Keys;
use crate::line::{Bid, Line, Permit};
use crate::member::Stage;
use crate::outcome::{self, Fate, OUTCOME, Reason};
use crate::settings::Limits;
use crate::stream::{self, Gathered, Held};
use crate::units::{Millis, Service};
use crate::wire::Handover;

/// Header with a gate's [`Load`].
pub const LOAD: &str = "x-jackdaw-load";

/// Part of the time left that a request may wait for a slot.
const QUEUE_SHARE: u32 = 2;
/// Largest answer that is taken in whole before its head goes on, in bytes.
///
/// Guards against an answer that breaks off: while its head has not gone on, the entry can ask
/// another target, or tell the caller plainly, in place of cutting the caller's connection.
const GATHERED: usize = 256 << 10;
const UNLIMITED: u32 = u32::MAX;

/// Bounds and dispatches the work of the co-located target.
#[derive(Debug)]
pub struct Gate {
    board: Arc<Board>,
    dispatcher: Dispatcher,
    line: Arc<Line>,
    keys: Arc<Keys>,
}

/// What a gate tells an entry with each answer, written as two numbers with a comma.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run at the target or wait for a slot.
    pub in_flight: u32,
    /// Time for which the answered request waited for its slot.
    pub waited: Millis,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},{}", self.in_flight, self.waited)
    }
}

impl FromStr for Load {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (in_flight, waited) = text.split_once(',').unwrap_or((text, "0"));
        Ok(Self {
            in_flight: in_flight.parse()?,
            waited: waited.parse()?,
        })
    }
}

/// Time that a request spent in the line, kept with its answer inside the gate.
#[derive(Debug, Clone, Copy, Default)]
struct Waited(Duration);

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
    target: Arc<Target>,
    waited: Duration,
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
                if reason != Reason::Overloaded && self.board.lines.admit(Instant::now()) {
                    let instance = self
                        .board
                        .target()
                        .and_then(|target| target.instance.clone());
                    info!(self.board.logger, "gate gave no answer"; "call" => &id,
                        "reason" => %reason, "running" => self.load().0,
                        "instance" => instance.map(|instance| instance.0));
                }
                outcome::refusal(&id, reason)
            }
        };
        let waited = response.extensions().get::<Waited>().copied();
        let load = self.report(waited.unwrap_or_default());
        if let Ok(load) = HeaderValue::from_str(&load.to_string()) {
            response.headers_mut().insert(LOAD, load);
        }
        response
    }

    fn report(&self, waited: Waited) -> Load {
        let (running, waiting) = self.load();
        Load {
            in_flight: running + u32::try_from(waiting).unwrap_or(u32::MAX),
            waited: Millis::from(waited.0),
        }
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
    fn target(&self, handover: &Handover) -> Result<Arc<Target>, Reason> {
        if self.board.stage() == Stage::Draining {
            return Err(Reason::Draining);
        }
        let target = self.board.target().ok_or(Reason::NoTarget)?;
        let offered = target.service == handover.service && Instant::now() < target.lease_until;
        if offered {
            Ok(target)
        } else {
            Err(Reason::NoTarget)
        }
    }

    /// Closes a target that refuses connections, until it announces itself again.
    ///
    /// Guards against a target that has died: its lease holds for seconds, and for so long its
    /// daemon would draw calls, and hold keys, that it can't serve.
    fn doubt_target(&self, reason: Reason, target: &Arc<Target>) {
        if matches!(reason, Reason::Unreachable | Reason::Misdirected) {
            self.board.drop_target(target);
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
            Some(group) => {
                let bound = group.slots.map_or(slots, |bound| slots.min(bound.0));
                // Each running request has a connection of its own.
                let bound = group.connections.map_or(bound, |most| bound.min(most));
                (bound, group.queue)
            }
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
        let began = Instant::now();
        let bid = Bid {
            priority: self.handover.priority,
            tolerance: self.handover.tolerance.duration(),
            patience: left / QUEUE_SHARE,
        };
        let (slots, queue) = gate.sizes(&self.handover);
        let permit = gate.line.enter(slots, queue, bid).await?;
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
            waited: began.elapsed(),
        })
    }
}

impl Admitted {
    /// Sends the request to the target and waits for its answer.
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
        let dialect = &gate.board.dialect;
        address(
            request.headers_mut(),
            dialect,
            &handover,
            &self.target,
            left,
        );
        let began = Instant::now();
        let exchange = async {
            let sending = gate
                .dispatcher
                .send(self.target.address, request, handover.repeatable);
            let (response, lease) = sending.await?;
            let answer = Answer::new(response, lease, dialect, &handover.id);
            answer.judge(gate).await
        };
        // Dropping the exchange closes its connection, so that a late answer can't meet the next
        // request.
        let result = tokio::time::timeout(left, exchange).await;
        let result = result.unwrap_or_else(|_| {
            gate.dispatcher.doubt_idle(began);
            Err(Reason::TimedOut)
        });
        let mut response = result.inspect_err(|reason| gate.doubt_target(*reason, &self.target))?;
        let headers = response.headers_mut();
        stream::strip_hop_by_hop(headers);
        headers.remove(header::DATE);
        // The entry knows the call's identifier and writes it.
        headers.remove(&dialect.call);
        let answered = HeaderValue::from_static("answered");
        debug_assert_eq!(Fate::Answered.to_string(), "answered");
        headers.insert(OUTCOME, answered);
        response.extensions_mut().insert(Waited(self.waited));
        let (parts, body) = response.into_parts();
        Ok(Response::from_parts(
            parts,
            Held::wrap(body, (self.permit, in_flight)),
        ))
    }
}

/// Writes what the target has to know into the headers of its request.
fn address(
    headers: &mut HeaderMap,
    dialect: &Dialect,
    handover: &Handover,
    target: &Target,
    left: Duration,
) {
    stream::strip_hop_by_hop(headers);
    headers.insert(&dialect.remaining, HeaderValue::from(Millis::from(left).0));
    if let Ok(id) = HeaderValue::from_str(&handover.id) {
        headers.insert(&dialect.call, id);
    }
    if let (Some(name), Some(instance)) = (&dialect.expected, &target.instance)
        && let Ok(instance) = HeaderValue::from_str(instance.as_str())
    {
        // Guards against an address that was given to another target: that one would run the
        // request. Naming the life that is meant makes it refuse.
        headers.insert(name, instance);
    }
}

/// What came back from the target, not looked at yet.
#[derive(Debug)]
struct Answer<'a> {
    response: Response<Incoming>,
    lease: Lease,
    dialect: &'a Dialect,
    id: &'a str,
}

impl<'a> Answer<'a> {
    const fn new(
        response: Response<Incoming>,
        lease: Lease,
        dialect: &'a Dialect,
        id: &'a str,
    ) -> Self {
        Self {
            response,
            lease,
            dialect,
            id,
        }
    }

    /// Takes the answer in when it is the request's own and whole.
    async fn judge(self, gate: &Gate) -> Result<Response<Body>, Reason> {
        if !self.is_own() {
            gate.dispatcher.suspect();
            return Err(Reason::Broken);
        }
        let misdirected = self.dialect.expected.is_some()
            && self.response.status() == StatusCode::MISDIRECTED_REQUEST;
        let refused = self.response.headers().contains_key(&self.dialect.refused);
        let (parts, body) = self.response.into_parts();
        let gathered = stream::gather(Body::from_incoming(body), GATHERED).await;
        let body = match gathered.map_err(|_| Reason::Broken)? {
            Gathered::Whole(bytes) => {
                self.lease.keep(&parts.headers);
                Body::from_body(Full::new(bytes))
            }
            Gathered::Partly(body) => Held::wrap(body, self.lease),
        };
        if misdirected {
            return Err(Reason::Misdirected);
        }
        if refused {
            return Err(Reason::Shed);
        }
        Ok(Response::from_parts(parts, body))
    }

    /// Whether the answer belongs to the request.
    ///
    /// Guards against a target that sends more than it was asked for: its surplus meets the next
    /// request on the connection, whose caller would get an answer of somebody else. The
    /// identifier that it repeats is that of another call.
    fn is_own(&self) -> bool {
        let headers = self.response.headers();
        let text = |name| {
            headers
                .get(name)
                .and_then(|v: &HeaderValue| v.to_str().ok())
        };
        let named = !self.dialect.echo || text(&self.dialect.call) == Some(self.id);
        let signature = self.dialect.signature.as_ref();
        let signed = signature.is_none_or(|name| headers.contains_key(name));
        named && (signed || !self.response.status().is_success())
    }
}
