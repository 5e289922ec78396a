//! The work at the co-located target.
//!
//! A request moves through types: it is [`Received`], then [`Admitted`] with a slot, then answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::Full;
use volo_http::body::Body;

use crate::board::{Board, InFlight, Target};
use crate::calls::answer::Answer;
use crate::calls::dialect::Dialect;
use crate::calls::dispatch::Dispatcher;
use crate::calls::handover::Handover;
use crate::calls::line::{Bid, Line, Permit};
use crate::calls::outcome::{Fate, OUTCOME, Reason};
use crate::calls::patience;
use crate::calls::stream::{self, Gathered, Held, HeldBack};
use crate::configuration::document::Guard;
use crate::membership::member::Stage;
use crate::quarantine::detector::Detector;
use crate::quarantine::running::{Completion, Run};
use crate::rollout::counters::Outcome;
use crate::settings::Limits;
use crate::units::{Millis, Service};

/// Part of the time left that a request may wait for a slot.
const QUEUE_SHARE: u32 = 2;
/// Bodies that are taken in at the same time. One would have the link to itself and be through first;
/// two more use what a slow sender leaves.
const TRANSFERS: u32 = 3;
/// Largest body that is taken in whole before it goes to the target, in bytes; what is larger is
/// passed on as it comes.
const WHOLE_BODY: usize = 1 << 20;
/// Time before its deadline in which a run that is given up counts as one without an answer.
const AT_THE_END: Duration = Duration::from_millis(50);
/// Slots and places where nothing is limited.
const UNLIMITED: u32 = u32::MAX;

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

/// Time that a request spent in the line, kept with its answer inside the daemon.
#[derive(Debug, Clone, Copy, Default)]
pub struct Waited(pub Duration);

/// Bounds and dispatches the work of the target.
#[derive(Debug)]
pub struct Work {
    board: Arc<Board>,
    dispatcher: Dispatcher,
    crash_detector: Detector,
    line: Arc<Line>,
    /// Bodies that come over the link, and those that wait for that.
    bodies: Arc<Line>,
}

impl Work {
    /// The work of whatever target the board names.
    #[must_use]
    pub fn new(board: Arc<Board>) -> Self {
        let dispatcher = Dispatcher::new(board.settings.target_idle_ms.duration());
        Self {
            crash_detector: Detector::new(Arc::clone(&board)),
            board,
            dispatcher,
            line: Arc::default(),
            bodies: Arc::default(),
        }
    }

    /// Requests that run and that wait.
    #[must_use]
    pub fn load(&self) -> (u32, usize) {
        let (running, waiting) = self.line.load();
        let (coming, queued) = self.bodies.load();
        (running, waiting + queued + coming as usize)
    }

    /// Takes a request through its life.
    ///
    /// # Errors
    ///
    /// Why there is no answer.
    pub async fn run(&self, received: Received) -> Result<Response<Body>, Reason> {
        let admitted = received.admit(self).await?;
        admitted.dispatch(self).await
    }

    /// The target to dispatch to, checked at this very moment.
    fn target(&self, handover: &Handover) -> Result<Arc<Target>, Reason> {
        if self.board.stage() == Stage::Draining {
            return Err(Reason::Draining);
        }
        let target = self.board.target().ok_or(Reason::NoTarget)?;
        let now = Instant::now();
        let offered = target.service == handover.service && now < target.lease_until;
        // Guards against an entry that has not heard of a roll-out, or of its end: it would send a bad
        // revision its share for as long. The gates hold each target to what it may take.
        if offered && self.board.admits(&target, now) {
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
        if matches!(reason, Reason::Unreachable | Reason::Broken) {
            self.crash_detector.check_target(target);
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
    /// A request that has just come.
    #[must_use]
    pub fn new(handover: Handover, request: Request<Body>, in_flight: InFlight) -> Self {
        Self {
            deadline: Instant::now() + handover.remaining.duration(),
            handover,
            request,
            in_flight,
        }
    }

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
    pub async fn admit(mut self, work: &Work) -> Result<Admitted, Reason> {
        work.target(&self.handover)?;
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Reason::Expired);
        }
        let mut bid = Bid {
            priority: self.handover.priority,
            tolerance: self.handover.tolerance.duration(),
            patience: left / QUEUE_SHARE,
        };
        let (slots, queue) = work.sizes(&self.handover);
        let mut waited = Duration::ZERO;
        if let Some(held_back) = self.request.extensions_mut().remove::<HeldBack>() {
            waited = self.take_body(&held_back, work, queue, bid).await?;
            // What the body has cost the link would be lost with a refusal.
            let left = self.deadline.saturating_duration_since(Instant::now());
            bid.tolerance = patience::tolerance(left, Duration::ZERO);
            bid.patience = left / QUEUE_SHARE;
        }
        let began = Instant::now();
        let permit = work.line.enter(slots, queue, bid).await?;
        // Guards against a gate that was frozen while the request waited: its caller has given up
        // and been told so, or its target has said good-bye. Deadline and stage are looked at
        // again with the slot in hand, right before the request leaves.
        if Instant::now() >= self.deadline {
            return Err(Reason::Expired);
        }
        let target = work.target(&self.handover)?;
        Ok(Admitted {
            received: self,
            permit,
            target,
            waited: waited + began.elapsed(),
        })
    }
}

impl Received {
    /// Takes the body in when its turn comes; returns for how long it had to wait for that.
    ///
    /// Guards against a link that is narrower than the slots: bodies that all come at once share it
    /// and are all late, small calls to the same target wait behind them, and slots are held by
    /// requests of which nothing can run yet. A request that is refused here has cost the link its
    /// head alone.
    async fn take_body(
        &mut self,
        held_back: &HeldBack,
        work: &Work,
        queue: u32,
        bid: Bid,
    ) -> Result<Duration, Reason> {
        let began = Instant::now();
        let _permit = work.bodies.enter(TRANSFERS, queue, bid).await?;
        let waited = began.elapsed();
        held_back.ask();
        let body = std::mem::take(self.request.body_mut());
        let taking = stream::gather(body, WHOLE_BODY);
        let taken = tokio::time::timeout_at(self.deadline.into(), taking).await;
        let taken = taken.map_err(|_| Reason::Expired)?;
        *self.request.body_mut() = match taken.map_err(|_| Reason::CallerGone)? {
            Gathered::Whole(bytes) => Body::from_body(Full::new(bytes)),
            Gathered::Partly(body) => body,
        };
        Ok(waited)
    }
}

impl Admitted {
    /// Sends the request to the target and waits for its answer.
    ///
    /// # Errors
    ///
    /// Why there is no answer, and with it whether the request may have run.
    pub async fn dispatch(self, work: &Work) -> Result<Response<Body>, Reason> {
        let Received {
            handover,
            mut request,
            deadline,
            in_flight,
        } = self.received;
        let left = deadline.saturating_duration_since(Instant::now());
        let dialect = &work.board.dialect;
        address(
            request.headers_mut(),
            dialect,
            &handover,
            &self.target,
            left,
        );
        let began = Instant::now();
        let watched = work.crash_detector.begin(Run {
            fingerprint: handover.fingerprint,
            route: handover.route.clone(),
            from: handover.from.clone(),
            began,
        });
        let watched = watched?;
        let mut counted = Counted::begin(&work.board, &handover.route, deadline);
        let exchange = async {
            let sending = work
                .dispatcher
                .send(self.target.address, request, handover.repeatable);
            let (response, lease) = sending.await?;
            let answer = Answer::new(response, lease, dialect, &handover.id);
            answer.judge(&work.dispatcher).await
        };
        // Dropping the exchange closes its connection, so that a late answer can't meet the next
        // request.
        let result = tokio::time::timeout(left, exchange).await;
        let result = result.unwrap_or_else(|_| {
            work.dispatcher.doubt_idle(began);
            Err(Reason::TimedOut)
        });
        watched.finish(end(&result));
        counted.finish(&result);
        let mut response = result.inspect_err(|reason| work.doubt_target(*reason, &self.target))?;
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

/// How a run at the target is over. A failure of the target clears no request: it may come before the part of
/// the work that would have ended the target.
fn end(result: &Result<Response<Body>, Reason>) -> Completion {
    match result {
        Ok(response) if !response.status().is_server_error() => Completion::Answered,
        Err(Reason::Broken | Reason::TimedOut) => Completion::Unresolved,
        _ => Completion::Resolved,
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

/// A run that is counted for the roll-out of its target's revision when it is over.
struct Counted<'a> {
    board: &'a Board,
    route: &'a str,
    began: Instant,
    deadline: Instant,
    is_over: bool,
}

impl<'a> Counted<'a> {
    fn begin(board: &'a Board, route: &'a str, deadline: Instant) -> Self {
        board.rollouts.count_request();
        Self {
            board,
            route,
            began: Instant::now(),
            deadline,
            is_over: false,
        }
    }

    fn finish(&mut self, result: &Result<Response<Body>, Reason>) {
        self.is_over = true;
        let outcome = match result {
            Ok(response) if !response.status().is_server_error() => {
                Outcome::Answered(self.began.elapsed())
            }
            Ok(_) | Err(Reason::Broken | Reason::TimedOut) => Outcome::Failed,
            // It has not run.
            Err(_) => return,
        };
        self.board.rollouts.count_answer(self.route, outcome);
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        // Guards against a target that is silent until its callers have gone: its runs are dropped here
        // and would count as nothing. A caller that leaves early says nothing of the target.
        if !self.is_over && Instant::now() + AT_THE_END >= self.deadline {
            self.board
                .rollouts
                .count_answer(self.route, Outcome::Failed);
        }
    }
}
