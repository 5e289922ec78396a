//! The ingress: the daemon that receives a caller's request.
//!
//! The ingress chooses an upstream for a [`Call`], forwards the request to that upstream's sidecar,
//! and is the only layer that retries.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{HeaderValue, Request, Response, header};
use rand::RngExt;
use slog::{debug, info};
use volo_http::body::Body;

use crate::calls::attempt::{Reply, Sender};
use crate::calls::call::{Arrival, Call};
use crate::calls::outcome::{self, OUTCOME, Outcome, REASON, Reason};
use crate::calls::pipeline::connection::{CloseIfLast, Handler};
use crate::calls::retry;
use crate::calls::sidecar::{LOAD, Sidecar};
use crate::calls::stream::Guarded;
use crate::configuration::document::Retry;
use crate::membership::member::Stage;
use crate::membership::roster::Upstream;
use crate::quota::Allowance;
use crate::quota::limiter::{Admission, Refusal};
use crate::shared_state::{SharedState, Snapshot};
use crate::teams::directory::Caller;
use crate::units::{Millis, Service, Version};

/// Header with the configuration version by which a call was routed.
pub const VERSION: &str = "x-jackdaw-version";

/// Number of sidecars that may refuse a request as overloaded before its caller is told.
///
/// The first is the one expected to have the most room, so trying more would only cost time.
const MAX_OVERLOAD_REFUSALS: u32 = 3;
/// Number of sidecars that may refuse a request for lack of tokens although they were expected to
/// have some.
const MAX_TOKEN_REFUSALS: u32 = 8;
/// Range of `Retry-After` for refused callers, in seconds. A queue drains in less, and most callers
/// have this much time left.
const RETRY_AFTER_S: Range<f64> = 0.15..0.5;
/// Longest time that a request waits for a daemon that is starting: about what a start takes once
/// the platform and a peer respond.
const MAX_START_WAIT: Duration = Duration::from_millis(500);
/// Divisor of the caller's time: a request waits for a starting daemon for at most that part, since
/// processing needs the rest.
const START_WAIT_DIVISOR: u32 = 4;
/// Longest call identifier, in bytes.
const MAX_ID_BYTES: usize = 64;

/// When the quarantine of a refused request ends; an extension of the response inside the daemon.
#[derive(Debug, Clone, Copy)]
struct QuarantineEnd(Instant);

/// When a request of a team that exceeds its quota is next expected to be admitted; an extension of
/// the response inside the daemon.
#[derive(Debug, Clone, Copy)]
struct QuotaWait(Duration);

/// When a target that limits its rate next has room for a refused request; an extension of the
/// response inside the daemon.
#[derive(Debug, Clone, Copy)]
struct RoomAt(Instant);

/// Serves callers' requests.
#[derive(Debug)]
pub struct Ingress {
    shared: Arc<SharedState>,
    calls: AtomicU64,
    sender: Sender,
    /// Service of this host.
    caller_service: Service,
    /// Its whole name, which targets receive.
    caller_name: HeaderValue,
}

impl Ingress {
    /// An ingress that passes calls for the local target directly to `sidecar`.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, sidecar: Arc<Sidecar>) -> Self {
        let name = shared.settings.service.as_ref();
        let name = name.map_or("", Service::as_str);
        let caller_service = Service::from_name(name);
        // Only control characters are no header value.
        let caller_name = HeaderValue::from_bytes(name.as_bytes())
            .or_else(|_| HeaderValue::from_str(caller_service.as_str()));
        Self {
            sender: Sender::new(Arc::clone(&shared), sidecar),
            shared,
            calls: AtomicU64::new(0),
            caller_name: caller_name.unwrap_or(HeaderValue::from_static("")),
            caller_service,
        }
    }

    /// Whether a request may start before its turn on the connection: its route is known and
    /// repeatable.
    ///
    /// The request keeps the configuration by which that was decided: by a later one, its route may
    /// not be repeatable.
    fn may_start_early(&self, request: &mut Request<Body>) -> bool {
        if self.shared.stage() != Stage::Serving {
            return false;
        }
        let config = self.shared.config();
        let host = request.headers().get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let (method, path) = (request.method().as_str(), request.uri().path());
        let found = config.table.find(method, host, path);
        let is_repeatable = found.is_some_and(|found| found.route.repeatable);
        request.extensions_mut().insert(config);
        is_repeatable
    }

    /// Serves one request of a caller.
    pub async fn serve(&self, mut request: Request<Body>) -> Response<Body> {
        let began = Instant::now();
        let in_flight = self.shared.track_call();
        self.await_start(&request).await;
        let config = request.extensions_mut().remove::<Arc<Snapshot>>();
        let config = config.unwrap_or_else(|| self.shared.config());
        let id = self.call_id(&request);
        let host = request.headers().get(header::HOST).cloned();
        let keys = request.headers().get_all(&self.shared.dialect.key);
        let caller = config.teams.identify(keys.iter());
        let named = id.as_deref().ok_or(Reason::Unnamed);
        let prepared = match named {
            Ok(id) => tokio::select! {
                prepared = self.prepare(id, caller, &config, request, began) => prepared,
                () = self.shared.calls_aborted() => Err(Reason::Draining),
            },
            Err(reason) => Err(reason),
        };
        let id = id.unwrap_or_default();
        let mut response = match prepared {
            Ok(call) => self.complete(call).await,
            Err(reason) => outcome::caller_refusal(&id, reason),
        };
        let quarantined = response.extensions_mut().remove::<QuarantineEnd>();
        let room_at = response.extensions_mut().remove::<RoomAt>();
        let quota_wait = response.extensions_mut().remove::<QuotaWait>();
        let headers = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&id) {
            headers.insert(&self.shared.dialect.call_id, id);
        }
        headers.remove(LOAD);
        if self.shared.dialect.fractional_retry_after && headers.contains_key(header::RETRY_AFTER) {
            headers.insert(header::RETRY_AFTER, jittered_retry_after());
        }
        if let Some(RoomAt(at)) = room_at {
            let is_fractional = self.shared.dialect.fractional_retry_after;
            headers.insert(header::RETRY_AFTER, retry_after_room(at, is_fractional));
        }
        if let Some(QuotaWait(wait)) = quota_wait {
            let is_fractional = self.shared.dialect.fractional_retry_after;
            headers.insert(header::RETRY_AFTER, retry_after_quota(wait, is_fractional));
        }
        if let Some(QuarantineEnd(until)) = quarantined {
            headers.insert(header::RETRY_AFTER, seconds_until(until));
        }
        headers.insert(VERSION, HeaderValue::from(config.digest.version.0));
        if self.shared.stage().is_stopping() {
            // A planned stop closes a connection after a response, never within one.
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let outcome_label = headers
            .get(OUTCOME)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("none")
            .to_owned();
        let refused = headers.get(REASON).and_then(|v| v.to_str().ok());
        if let Some(reason) = refused {
            self.log_refusal(&id, reason, host.as_ref(), caller, &config, began);
            // Closing bounds memory under refusals: refused callers return on new connections, and
            // the old ones would stay open until the idle timeout. Requests behind this one would
            // all have to be sent again.
            response.extensions_mut().insert(CloseIfLast);
        }
        metrics::counter!("jackdaw_calls_total", "outcome" => outcome_label).increment(1);
        metrics::histogram!("jackdaw_call_seconds").record(began.elapsed().as_secs_f64());
        let (parts, body) = response.into_parts();
        Response::from_parts(parts, Guarded::wrap(body, in_flight))
    }

    /// Waits a short time for this daemon to start.
    ///
    /// A restarted daemon is ready a moment after it accepts connections. A caller that was refused
    /// twice meanwhile would have no retries left and lose its request to a short outage.
    async fn await_start(&self, request: &Request<Body>) {
        if self.shared.stage() != Stage::Starting {
            return;
        }
        let caller_timeout = request.headers().get(&self.shared.dialect.timeout);
        let caller_timeout = caller_timeout.and_then(|ms| ms.to_str().ok()?.parse::<Millis>().ok());
        let max_wait = caller_timeout.map_or(MAX_START_WAIT, |caller_timeout| {
            caller_timeout.duration() / START_WAIT_DIVISOR
        });
        let mut stages = self.shared.stages();
        let started = stages.wait_for(|stage| *stage != Stage::Starting);
        // If the daemon has not started by then, the request is refused later.
        let _ = tokio::time::timeout(max_wait.min(MAX_START_WAIT), started).await;
    }

    fn log_refusal(
        &self,
        id: &str,
        reason: &str,
        host: Option<&HeaderValue>,
        caller: Caller<'_>,
        config: &Snapshot,
        began: Instant,
    ) {
        if self.shared.log_limiter.admit(Instant::now()) {
            info!(self.shared.logger, "call refused"; "call" => id, "reason" => reason,
                "host" => host.and_then(|host| host.to_str().ok()), "caller" => %caller,
                "version" => config.digest.version.0,
                "watermark_ms" => self.shared.freshness.age(Instant::now()).map(|age| age.0),
                "after_ms" => Millis::from(began.elapsed()).0);
        }
    }

    /// Logs a failed attempt, with the values that decide whether there will be another one.
    fn log_failure(&self, call: &Call, upstream: &Upstream, reason: Reason, will_retry: bool) {
        if self.shared.log_limiter.admit(Instant::now()) {
            let (own, reported) = upstream.load();
            info!(self.shared.logger, "attempt failed"; "call" => &call.metadata.id,
                "route" => &call.resolved_route.route.name, "upstream" => %upstream.peer,
                "team" => call.team.as_ref().map(|team| &team.name),
                "reason" => %reason, "fate" => %reason.outcome(), "made" => call.attempts,
                "tried" => call.tried.len(), "left_ms" => Millis::from(call.left()).0,
                "own" => own, "reported" => reported, "goes_on" => will_retry);
        }
    }

    /// The caller's identifier, or a new one unless only callers may assign them.
    fn call_id(&self, request: &Request<Body>) -> Option<String> {
        let dialect = &self.shared.dialect;
        let given = request
            .headers()
            .get(&dialect.call_id)
            .and_then(|value| value.to_str().ok());
        let given = given.filter(|id| (1..=MAX_ID_BYTES).contains(&id.len()));
        given
            .map(str::to_owned)
            .or_else(|| (!dialect.echoes_call_id).then(|| self.new_id()))
    }

    fn new_id(&self) -> String {
        let count = self.calls.fetch_add(1, Ordering::Relaxed);
        let random = rand::random::<u32>();
        format!("{}-{count}-{random:08x}", self.shared.settings.call_addr)
    }

    async fn prepare(
        &self,
        id: &str,
        caller: Caller<'_>,
        config: &Snapshot,
        mut request: Request<Body>,
        began: Instant,
    ) -> Result<Call, Reason> {
        // A daemon that is stopped before it has any configuration knows no routes, which does not
        // prove that none matches.
        if self.shared.stage() == Stage::Starting || config.digest.version == Version(0) {
            return Err(Reason::Starting);
        }
        let SharedState {
            settings, dialect, ..
        } = &*self.shared;
        if let Some(name) = &dialect.caller_service {
            let service = self.caller_name.clone();
            request.headers_mut().insert(name, service);
        }
        let arrival = Arrival {
            id,
            caller,
            began,
            draw: rand::rng().random_range(0.0..1.0),
        };
        let preparing = Call::prepare(arrival, config, request, dialect, settings.kept_body);
        let mut call = preparing.await.inspect_err(|reason| {
            if *reason == Reason::Unauthenticated {
                let key: &'static str = caller.into();
                metrics::counter!("jackdaw_unauthenticated_total", "key" => key).increment(1);
            }
        })?;
        call.metadata.caller_service = self.caller_service.clone();
        let (statistics, route) = (
            &self.sender.balancer.statistics,
            &call.resolved_route.route.name,
        );
        if statistics.is_nested(route) {
            call.extend_soft_deadline();
        } else if let Some(given) = call.caller_timeout {
            let earlier_wait = statistics.caller_wait(route, given);
            call.deduct_earlier_wait(earlier_wait);
        }
        Ok(call)
    }

    /// Returns the target's response, or a refusal with the reason why there is none.
    async fn complete(&self, mut call: Call) -> Response<Body> {
        let is_stopping = self.shared.stage().is_stopping();
        if is_stopping && !self.shared.admits_call(self.expected_end(&call)) {
            call.record_failure(Reason::Draining);
            return self.refuse(&call);
        }
        if self.quarantine_end(&call).is_some() {
            // The sidecars refuse it as well; refusing here saves a slot and a round trip.
            call.record_failure(Reason::Quarantined);
            return self.refuse(&call);
        }
        let mut admission = match self.admit(&call) {
            Ok(admission) => admission,
            Err(Refusal { retry_after }) => {
                call.record_failure(Reason::OverQuota);
                let mut response = self.refuse(&call);
                response.extensions_mut().insert(QuotaWait(retry_after));
                return response;
            }
        };
        if let Some(admission) = &mut admission {
            admission.mark_sent();
        }
        let answered = tokio::select! {
            answered = self.run_attempts(&mut call) => answered,
            () = self.shared.calls_aborted() => {
                let reason = if call.sent { Reason::CutShort } else { Reason::Draining };
                call.record_failure(reason);
                None
            }
        };
        if let Some(admission) = admission {
            let has_not_run = answered.is_none()
                && call.reason.unwrap_or(Reason::NoTarget).outcome() == Outcome::NotRun;
            if has_not_run {
                admission.not_run();
            } else {
                admission.ran();
            }
        }
        answered.unwrap_or_else(|| self.refuse(&call))
    }

    /// When a call that begins now ends at the latest, as far as is known.
    fn expected_end(&self, call: &Call) -> Instant {
        let statistics = &self.sender.balancer.statistics;
        let bound = statistics.time_bound(&call.resolved_route.route.name);
        bound.map_or(call.deadline(), |bound| {
            call.deadline().min(Instant::now() + bound)
        })
    }

    /// Decides by the quota of the call's team, if it has one.
    fn admit(&self, call: &Call) -> Result<Option<Admission>, Refusal> {
        let allowance = call
            .team
            .as_ref()
            .and_then(|team| Allowance::of_entry(team));
        let Some(allowance) = allowance else {
            return Ok(None);
        };
        // The priorities of one team differ by their routes.
        let priority = call.resolved_route.route.rank();
        let quotas = &self.shared.quotas;
        quotas.admit(allowance, priority, Instant::now()).map(Some)
    }

    /// Makes attempts until one is answered or no further one is allowed.
    async fn run_attempts(&self, call: &mut Call) -> Option<Response<Body>> {
        let rule = &Arc::clone(&call.resolved_route).retry;
        self.sender.deposit_share(rule, call);
        let mut refusals = 0;
        let mut token_refusals = 0;
        loop {
            let Some(upstream) = self.sender.balancer.choose(call) else {
                break;
            };
            let was_held = upstream.pace().is_held(Instant::now());
            let reason = match self.sender.attempt_hedged(&upstream, call).await {
                Reply::Answered(response) => return Some(response),
                Reply::Failed(reason) => reason,
            };
            call.record_failure(reason);
            call.attempts += u32::from(!reason.is_unavailable() && reason != Reason::Overloaded);
            // One sidecar owns an idempotency key, so it is tried again unless it is unavailable.
            if call.metadata.key.is_none() || reason.is_unavailable() {
                call.tried.push(upstream.peer);
            }
            if matches!(reason, Reason::Draining | Reason::NoTarget) {
                // What the upstream says of itself overrides the next sidecar's view of it, which
                // may be outdated.
                call.metadata.draining.push(upstream.peer);
            }
            let overloaded = reason == Reason::Overloaded && call.metadata.key.is_none();
            // An attempt that no target processed counts neither as one of the rule's attempts nor
            // against the budget; each upstream is tried only once.
            let unprocessed = reason.is_unavailable() || overloaded;
            // One refusal for lack of tokens says nothing of the room elsewhere.
            let unexpected = overloaded && !was_held && upstream.pace().is_held(Instant::now());
            token_refusals += u32::from(unexpected);
            refusals += u32::from(overloaded && !unexpected);
            call.overloaded |= overloaded && !unexpected;
            // A request that must run in isolation is refused while another such request runs at
            // the target. It is not sent to the next target, which might crash as well.
            let isolated = reason == Reason::Overloaded && self.sender.balancer.is_suspect(call);
            let will_retry = if isolated || reason == Reason::Quarantined {
                false
            } else if unprocessed {
                let may_continue =
                    refusals < MAX_OVERLOAD_REFUSALS && token_refusals < MAX_TOKEN_REFUSALS;
                call.is_sendable() && !call.left().is_zero() && may_continue
            } else {
                self.may_retry(rule, call, reason)
            };
            self.log_failure(call, &upstream, reason, will_retry);
            if !will_retry {
                break;
            }
            if unprocessed {
                continue;
            }
            metrics::counter!("jackdaw_retries_total").increment(1);
            let fraction = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(retry::backoff(rule, call.left(), fraction)).await;
        }
        None
    }

    fn may_retry(&self, rule: &Retry, call: &Call, reason: Reason) -> bool {
        let repeatable = call.metadata.repeatable;
        let allowed = retry::is_allowed(
            rule,
            call.attempts,
            repeatable,
            reason.outcome(),
            call.left(),
        );
        call.is_sendable() && allowed && self.sender.withdraw_retry(rule, call)
    }

    fn refuse(&self, call: &Call) -> Response<Body> {
        let reason = call.reason.unwrap_or(Reason::NoTarget);
        debug!(self.shared.logger, "call failed";
            "call" => &call.metadata.id, "reason" => %reason, "tried" => call.tried.len());
        let mut response = outcome::caller_refusal(&call.metadata.id, reason);
        if let Some(until) = self
            .quarantine_end(call)
            .filter(|_| reason == Reason::Quarantined)
        {
            response.extensions_mut().insert(until);
        }
        if reason == Reason::Overloaded
            && let Some(room_at) = self.room_at(call)
        {
            response.extensions_mut().insert(room_at);
        }
        response
    }

    /// When the first target of the service has room, if all of them limit their rate.
    fn room_at(&self, call: &Call) -> Option<RoomAt> {
        let now = Instant::now();
        let roster = self.shared.roster();
        let upstreams = roster.upstreams(&call.metadata.service).iter();
        let room_in = upstreams
            .map(|upstream| upstream.pace().room_in(now))
            .min()?;
        let room_at = now.checked_add(room_in)?;
        (!room_in.is_zero()).then_some(RoomAt(room_at))
    }

    /// When the quarantine of a call ends, if targets have crashed while running the same request.
    fn quarantine_end(&self, call: &Call) -> Option<QuarantineEnd> {
        let assessment = self.shared.quarantine.assessment(call.metadata.fingerprint);
        let until = assessment
            .quarantined_until
            .filter(|until| Instant::now() < *until);
        until.map(QuarantineEnd)
    }
}

impl Handler for Ingress {
    const READS_AHEAD: bool = true;

    async fn respond(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        self.serve(request).await
    }

    fn admit_early(&self, request: &mut Request<Body>) -> bool {
        self.may_start_early(request)
    }
}

/// Time until `until` in whole seconds, at least one.
fn seconds_until(until: Instant) -> HeaderValue {
    let left = until.saturating_duration_since(Instant::now());
    HeaderValue::from(left.as_secs().max(1))
}

/// When a caller should retry that was refused since all targets limit their rate.
fn retry_after_room(at: Instant, is_fractional: bool) -> HeaderValue {
    let left = at.saturating_duration_since(Instant::now()).as_secs_f64();
    let spread = rand::rng().random_range(0.0..RETRY_AFTER_S.end - RETRY_AFTER_S.start);
    let seconds = left.max(RETRY_AFTER_S.start) + spread;
    let text = if is_fractional {
        format!("{seconds:.2}")
    } else {
        format!("{:.0}", seconds.ceil())
    };
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}

/// When a caller whose team exceeds its quota should retry: not before the wait is over.
fn retry_after_quota(wait: Duration, is_fractional: bool) -> HeaderValue {
    let seconds = wait.as_secs_f64();
    let text = if is_fractional {
        format!("{:.2}", (seconds * 100.0).ceil() / 100.0)
    } else {
        format!("{:.0}", seconds.ceil().max(1.0))
    };
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}

/// When a refused caller should retry, in fractional seconds.
///
/// The delay is random, so that callers refused together do not all retry at once.
fn jittered_retry_after() -> HeaderValue {
    let seconds = rand::rng().random_range(RETRY_AFTER_S);
    HeaderValue::from_str(&format!("{seconds:.2}")).unwrap_or(HeaderValue::from_static("1"))
}
