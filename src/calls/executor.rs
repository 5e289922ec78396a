//! Execution of requests at the co-located target.
//!
//! A request's state is its type: [`Received`], then [`Admitted`] with a slot, then a response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::Full;
use volo_http::body::Body;

use crate::calls::admission::{Options, Permit, Queue};
use crate::calls::dialect::Dialect;
use crate::calls::dispatch::Dispatcher;
use crate::calls::metadata::Metadata;
use crate::calls::outcome::{OUTCOME, Outcome, Reason};
use crate::calls::overrun::{Bounded, Overrun, Source};
use crate::calls::recorder::{self, Recorder};
use crate::calls::stream::{self, Buffered, Continue, Guarded};
use crate::calls::throttle::Throttle;
use crate::calls::validator::Validator;
use crate::calls::wait;
use crate::configuration::document::Guard;
use crate::membership::member::Stage;
use crate::quarantine::detector::Detector;
use crate::quarantine::running::Run;
use crate::settings::Limits;
use crate::shared_state::{InFlight, SharedState, Target};
use crate::units::{Millis, Rate, Service};

/// Divisor of the time left: a request may wait for a slot for that part.
const QUEUE_WAIT_DIVISOR: u32 = 2;
/// Bodies that are received at the same time.
///
/// A single one would have the link to itself and finish first; two more use the bandwidth that a
/// slow sender leaves.
const MAX_BODY_TRANSFERS: u32 = 3;
/// Largest body that is buffered whole before it is sent to the target, in bytes; a larger one is
/// streamed.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// Number of slots and of queue places when limits are off.
const UNLIMITED: u32 = u32::MAX;

/// A request that has reached the sidecar.
#[derive(Debug)]
pub struct Received {
    metadata: Metadata,
    request: Request<Body>,
    deadline: Instant,
    /// Whether only targets call its route.
    nested: bool,
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

/// Time that a request waited in the queue.
///
/// Travels inside the daemon as an extension of the response.
#[derive(Debug, Clone, Copy, Default)]
pub struct QueueTime(pub Duration);

/// Queues requests for the target's slots and runs them.
#[derive(Debug)]
pub struct Executor {
    shared: Arc<SharedState>,
    dispatcher: Dispatcher,
    crash_detector: Detector,
    queue: Arc<Queue>,
    throttle: Throttle,
    /// Bodies that are being received, and those waiting for that.
    body_queue: Arc<Queue>,
}

impl Executor {
    /// Creates an executor for the current target.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        let dispatcher = Dispatcher::new(shared.settings.target_idle_ms.duration());
        let queue: Arc<Queue> = Arc::default();
        Self {
            crash_detector: Detector::new(Arc::clone(&shared)),
            throttle: Throttle::new(Arc::clone(&shared), Arc::clone(&queue)),
            shared,
            dispatcher,
            queue,
            body_queue: Arc::default(),
        }
    }

    /// Number of requests that run, and of those that wait.
    #[must_use]
    pub fn load(&self) -> (u32, usize) {
        let (running, waiting) = self.queue.load();
        let (receiving, queued) = self.body_queue.load();
        (running, waiting + queued + receiving as usize)
    }

    /// Time until a request that arrives now may start by the limit of the target.
    #[must_use]
    pub fn token_delay(&self) -> Duration {
        self.queue.token_delay()
    }

    /// Limit of the target.
    #[must_use]
    pub fn rate_limit(&self) -> Option<Rate> {
        self.throttle.limit()
    }

    /// Admits and runs a request.
    ///
    /// # Errors
    ///
    /// Why there is no response.
    pub async fn run(&self, received: Received) -> Result<Response<Body>, Reason> {
        let admitted = received.admit(self).await?;
        admitted.dispatch(self).await
    }

    /// The target to dispatch to, if it accepts this call now.
    fn target(&self, metadata: &Metadata) -> Result<Arc<Target>, Reason> {
        if self.shared.stage() == Stage::Draining {
            return Err(Reason::Draining);
        }
        let target = self.shared.target().ok_or(Reason::NoTarget)?;
        let now = Instant::now();
        let is_eligible = target.service == metadata.service && now < target.lease_until;
        // An ingress that has not heard of a rollout, or of its end, would keep sending a bad
        // revision its share. So each sidecar also bounds what its target may receive.
        if is_eligible && self.shared.admits(&target, now) {
            Ok(target)
        } else {
            Err(Reason::NoTarget)
        }
    }

    /// Refuses a request that was admitted for `target` if the target has departed, or the deadline
    /// has passed, while the request waited for its connection.
    fn check_dispatch(&self, target: &Arc<Target>, deadline: Instant) -> Result<(), Reason> {
        if Instant::now() >= deadline {
            return Err(Reason::Expired);
        }
        let current = self.shared.target().ok_or(Reason::NoTarget)?;
        let is_same = Arc::ptr_eq(&current, target) || current.tag().may_be(target.tag());
        is_same.then_some(()).ok_or(Reason::NoTarget)
    }

    /// Withdraws a target that is unreachable or has been replaced at its address, until one
    /// announces itself again, and checks for a crash if a connection to it failed.
    ///
    /// A crashed target's lease lasts for seconds. Meanwhile its daemon would attract calls, and
    /// hold idempotency keys, that it can't serve.
    fn handle_failure(&self, reason: Reason, target: &Arc<Target>) {
        if matches!(reason, Reason::Unreachable | Reason::Misdirected) {
            self.shared.remove_target(target);
        }
        if matches!(reason, Reason::Unreachable | Reason::Broken) {
            self.crash_detector.check_target(target);
        }
    }

    /// Number of slots and of queue places of the call's group.
    fn queue_limits(&self, metadata: &Metadata) -> (u32, u32) {
        if self.shared.settings.limits == Limits::Off {
            return (UNLIMITED, UNLIMITED);
        }
        let slots = self.shared.target().map_or(1, |target| target.slots.0);
        let config = self.shared.config();
        match config.document.group(&metadata.group) {
            Some(group) => {
                let bound = group.slots.map_or(slots, |bound| slots.min(bound.0));
                // Each running request uses one connection.
                let bound = group
                    .connections
                    .map_or(bound, |connections| bound.min(connections));
                (bound, group.queue)
            }
            None => (slots, slots),
        }
    }
}

impl Received {
    /// A request received just now; `nested` if only targets call its route.
    #[must_use]
    pub fn new(
        metadata: Metadata,
        request: Request<Body>,
        nested: bool,
        in_flight: InFlight,
    ) -> Self {
        Self {
            deadline: Instant::now() + metadata.remaining.duration(),
            metadata,
            request,
            nested,
            in_flight,
        }
    }

    /// When the response head is due.
    #[must_use]
    pub const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// How requests with the same key are kept from running twice.
    #[must_use]
    pub const fn guard(&self) -> Guard {
        self.metadata.guard
    }

    /// Service that is called.
    #[must_use]
    pub const fn service(&self) -> &Service {
        &self.metadata.service
    }

    /// Sidecars that have told the ingress that they accept no more calls.
    #[must_use]
    pub fn draining(&self) -> &[SocketAddr] {
        &self.metadata.draining
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Why the request was refused; it has provably not run.
    pub async fn admit(mut self, executor: &Executor) -> Result<Admitted, Reason> {
        let target = executor.target(&self.metadata)?;
        executor.throttle.prepare(&target, self.metadata.notice)?;
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Reason::Expired);
        }
        let mut options = Options {
            priority: self.metadata.priority,
            nested: self.nested,
            share: executor.shared.config().teams.share(&self.metadata.team),
            max_wait: self.metadata.max_wait.duration(),
            timeout: left / QUEUE_WAIT_DIVISOR,
        };
        let (slots, queue) = executor.queue_limits(&self.metadata);
        let mut waited = Duration::ZERO;
        if let Some(continue_signal) = self.request.extensions_mut().remove::<Continue>() {
            waited = self
                .receive_body(&continue_signal, executor, queue, options)
                .await?;
            // Refusing the request now would waste the transfer of its body.
            let left = self.deadline.saturating_duration_since(Instant::now());
            options.max_wait = wait::max_wait(left, Duration::ZERO);
            options.timeout = left / QUEUE_WAIT_DIVISOR;
        }
        let began = Instant::now();
        let permit = executor.queue.acquire(slots, queue, options).await?;
        // If the daemon was suspended while the request waited, the caller may have timed out and
        // been told so, or the target may have left. Hence deadline and target are checked again
        // with the slot held, right before the request is dispatched.
        if Instant::now() >= self.deadline {
            return Err(Reason::Expired);
        }
        let target = executor.target(&self.metadata)?;
        executor.throttle.prepare(&target, self.metadata.notice)?;
        Ok(Admitted {
            received: self,
            permit,
            target,
            waited: waited + began.elapsed(),
        })
    }
}

impl Received {
    /// Receives the body when its turn comes; returns how long it had to wait for that.
    ///
    /// On a link too slow to feed all slots, bodies sent all at once would all be late, delay small
    /// calls to the same target, and hold slots without running. A request refused here has sent
    /// only its head.
    async fn receive_body(
        &mut self,
        continue_signal: &Continue,
        executor: &Executor,
        queue: u32,
        options: Options,
    ) -> Result<Duration, Reason> {
        let began = Instant::now();
        let _permit = executor
            .body_queue
            .acquire(MAX_BODY_TRANSFERS, queue, options)
            .await?;
        let waited = began.elapsed();
        continue_signal.send();
        let body = std::mem::take(self.request.body_mut());
        let buffering = stream::buffer(body, MAX_BUFFERED_BODY_BYTES);
        let buffered = tokio::time::timeout_at(self.deadline.into(), buffering).await;
        let buffered = buffered.map_err(|_| Reason::Expired)?;
        *self.request.body_mut() = match buffered.map_err(|_| Reason::CallerGone)? {
            Buffered::Whole(bytes) => Body::from_body(Full::new(bytes)),
            Buffered::Partial(body) => body,
        };
        Ok(waited)
    }
}

impl Admitted {
    /// Sends the request to the target and waits for its response.
    ///
    /// # Errors
    ///
    /// Why there is no response, which also tells whether the request may have run.
    pub async fn dispatch(self, executor: &Executor) -> Result<Response<Body>, Reason> {
        let Received {
            metadata,
            mut request,
            deadline,
            in_flight,
            ..
        } = self.received;
        let left = deadline.saturating_duration_since(Instant::now());
        let dialect = &executor.shared.dialect;
        if !executor.shared.config().teams.is_empty() {
            // The version by which the ingress decided may not have had teams yet.
            remove_team_headers(request.headers_mut(), dialect);
        }
        write_target_headers(
            request.headers_mut(),
            dialect,
            &metadata,
            &self.target,
            left,
        );
        let began = Instant::now();
        let run = executor.crash_detector.begin(Run {
            fingerprint: metadata.fingerprint,
            route: metadata.route.clone(),
            from: metadata.caller_service.clone(),
            began,
        });
        let run = run?;
        let recorder = Recorder::begin(&executor.shared, &metadata.route, deadline);
        let mut notice = None;
        let exchange = async {
            let on_connection = || {
                executor.check_dispatch(&self.target, deadline)?;
                run.mark_connected();
                Ok(())
            };
            let sending = executor.dispatcher.send(
                self.target.address,
                request,
                metadata.repeatable,
                &on_connection,
            );
            let (response, connection) = sending.await?;
            let validator = Validator::new(response, connection, dialect, &metadata.id);
            if let Some(fault) = validator.fault() {
                recorder::record_malformed(&executor.shared, &metadata, &self.target, fault);
            }
            if let Some(headers) = validator.headers_of_target() {
                let has_run = !validator.is_refusal();
                let throttle = &executor.throttle;
                notice = throttle.record(&self.target, headers, has_run, began);
            }
            validator.validate(&executor.dispatcher).await
        };
        // Dropping the exchange closes its connection, so that a late response can't be taken for
        // that to the next request.
        let result = tokio::time::timeout(left, exchange).await;
        let result = result.unwrap_or_else(|_| {
            executor.dispatcher.close_idle_since_before(began);
            Err(Reason::TimedOut)
        });
        run.finish(recorder::completion(&result));
        recorder.finish(&result);
        let mut response =
            result.inspect_err(|reason| executor.handle_failure(*reason, &self.target))?;
        let headers = response.headers_mut();
        stream::strip_hop_by_hop(headers);
        headers.remove(header::DATE);
        // The ingress writes the call's identifier itself.
        headers.remove(&dialect.call_id);
        let outcome_value = HeaderValue::from_static("answered");
        debug_assert_eq!(Outcome::Answered.to_string(), "answered");
        headers.insert(OUTCOME, outcome_value);
        response.extensions_mut().insert(QueueTime(self.waited));
        if let Some(notice) = notice {
            response.extensions_mut().insert(notice);
        }
        let (parts, body) = response.into_parts();
        let held = (self.permit, in_flight);
        let body = match body {
            Buffered::Whole(bytes) => Guarded::wrap(Body::from_body(Full::new(bytes)), held),
            Buffered::Partial(body) => {
                let shared = Arc::clone(&executor.shared);
                let report = move |cut| recorder::record_cut(&shared, &metadata, &self.target, cut);
                let overrun = Overrun::new(Source::Target, deadline);
                Bounded::watch(Guarded::wrap(body, held), overrun, report)
            }
        };
        Ok(Response::from_parts(parts, body))
    }
}

/// Writes the headers that the target needs.
fn write_target_headers(
    headers: &mut HeaderMap,
    dialect: &Dialect,
    metadata: &Metadata,
    target: &Target,
    left: Duration,
) {
    stream::strip_hop_by_hop(headers);
    headers.insert(&dialect.remaining, HeaderValue::from(Millis::from(left).0));
    if let Ok(id) = HeaderValue::from_str(&metadata.id) {
        headers.insert(&dialect.call_id, id);
    }
    if !metadata.team.is_empty() {
        remove_team_headers(headers, dialect);
        // The bytes of any checked name are a header value, also beyond ASCII.
        if let Ok(team) = HeaderValue::from_bytes(metadata.team.as_bytes()) {
            headers.insert(&dialect.team, team);
        }
    }
    if let (Some(name), Some(instance)) = (&dialect.expected_instance, &target.instance)
        && let Ok(instance) = HeaderValue::from_str(instance.as_str())
    {
        // If the address has been reassigned to another target, this header makes that target
        // refuse the request, which it would run otherwise.
        headers.insert(name, instance);
    }
}

/// Removes the caller's key, and a team that the caller claims to be.
pub fn remove_team_headers(headers: &mut HeaderMap, dialect: &Dialect) {
    headers.remove(&dialect.key);
    headers.remove(&dialect.team);
}
