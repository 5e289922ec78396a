//! The entry: the daemon that a caller reaches.
//!
//! The entry chooses an upstream for a [`Call`], hands the request to its gate, and is the only
//! layer that tries again.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{HeaderValue, Request, Response, header};
use rand::RngExt;
use slog::{debug, info};
use volo_http::body::Body;

use crate::board::{Board, Snapshot};
use crate::calls::attempt::{Attempt, Attempts};
use crate::calls::call::Call;
use crate::calls::gate::{Gate, LOAD};
use crate::calls::outcome::{self, OUTCOME, REASON, Reason};
use crate::calls::retry;
use crate::calls::stream::Held;
use crate::configuration::document::Retry;
use crate::membership::member::Stage;
use crate::membership::roster::Upstream;
use crate::units::{Millis, Service, Version};

/// Header with the version by which a call was routed.
pub const VERSION: &str = "x-jackdaw-version";

/// Gates that may refuse a request for lack of room before its caller is told: the first is the
/// one that was thought to have most, so more of them would only cost time.
const REFUSALS: u32 = 3;
/// Times after which refused callers are told to be back, in seconds: a line of requests is worked
/// off in less, and most callers have this much time left.
const COME_BACK_S: Range<f64> = 0.15..0.5;
/// Longest time that a request waits for a daemon that is starting: about what a start takes once the
/// platform and a peer answer.
const START_WAIT: Duration = Duration::from_millis(500);
/// Part of its caller's time that it may wait so at most; the work needs the rest.
const START_SHARE: u32 = 4;
/// Longest identifier of a call, in bytes.
const MAX_ID: usize = 64;

/// When a refused request may run again, kept with its refusal inside the daemon.
#[derive(Debug, Clone, Copy)]
struct Until(Instant);

/// Takes callers' requests.
#[derive(Debug)]
pub struct Entry {
    board: Arc<Board>,
    calls: AtomicU64,
    attempts: Attempts,
}

impl Entry {
    /// An entry that hands local work to `gate`.
    #[must_use]
    pub fn new(board: Arc<Board>, gate: Arc<Gate>) -> Self {
        Self {
            attempts: Attempts::new(Arc::clone(&board), gate),
            board,
            calls: AtomicU64::new(0),
        }
    }

    /// Serves one request of a caller.
    pub async fn serve(&self, request: Request<Body>) -> Response<Body> {
        let began = Instant::now();
        let in_flight = self.board.begin();
        self.await_floor(&request).await;
        let config = self.board.config();
        let id = self.identify(&request);
        let host = request.headers().get(header::HOST).cloned();
        let named = id.as_deref().ok_or(Reason::Unnamed);
        let prepared = match named {
            Ok(id) => tokio::select! {
                prepared = self.prepare(id, &config, request, began) => prepared,
                () = self.board.until_cut() => Err(Reason::Draining),
            },
            Err(reason) => Err(reason),
        };
        let id = id.unwrap_or_default();
        let mut response = match prepared {
            Ok(call) => self.complete(call).await,
            Err(reason) => outcome::refusal(&id, reason),
        };
        let quarantined = response.extensions_mut().remove::<Until>();
        let headers = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&id) {
            headers.insert(&self.board.dialect.call, id);
        }
        headers.remove(LOAD);
        if self.board.dialect.fractions && headers.contains_key(header::RETRY_AFTER) {
            headers.insert(header::RETRY_AFTER, come_back());
        }
        if let Some(Until(until)) = quarantined {
            headers.insert(header::RETRY_AFTER, seconds_to(until));
        }
        headers.insert(VERSION, HeaderValue::from(config.digest.version.0));
        if self.board.stage().is_stopping() {
            // A planned stop ends a session after an answer, never within one.
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let fate = headers
            .get(OUTCOME)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("none")
            .to_owned();
        let refused = headers.get(REASON).and_then(|v| v.to_str().ok());
        if let Some(reason) = refused {
            self.note_refusal(&id, reason, host.as_ref(), &config, began);
            // Guards against memory that grows with refusals: callers come back on new connections,
            // and the old ones stay open for as long as idle ones may.
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        metrics::counter!("jackdaw_calls_total", "outcome" => fate).increment(1);
        metrics::histogram!("jackdaw_call_seconds").record(began.elapsed().as_secs_f64());
        let (parts, body) = response.into_parts();
        Response::from_parts(parts, Held::wrap(body, in_flight))
    }

    /// Waits a while for a daemon that is starting to be able to serve.
    ///
    /// Guards against a caller that loses its request to a short absence: a daemon that comes back is
    /// ready a moment after it takes connections, and a caller that was refused twice meanwhile has
    /// no try left.
    async fn await_floor(&self, request: &Request<Body>) {
        if self.board.stage() != Stage::Starting {
            return;
        }
        let given = request.headers().get(&self.board.dialect.timeout);
        let given = given.and_then(|ms| ms.to_str().ok()?.parse::<Millis>().ok());
        let share = given.map_or(START_WAIT, |given| given.duration() / START_SHARE);
        let mut stages = self.board.stages();
        let started = stages.wait_for(|stage| *stage != Stage::Starting);
        // What is not ready by then refuses the request below.
        let _ = tokio::time::timeout(share.min(START_WAIT), started).await;
    }

    fn note_refusal(
        &self,
        id: &str,
        reason: &str,
        host: Option<&HeaderValue>,
        config: &Snapshot,
        began: Instant,
    ) {
        if self.board.lines.admit(Instant::now()) {
            info!(self.board.logger, "call refused"; "call" => id, "reason" => reason,
                "host" => host.and_then(|host| host.to_str().ok()),
                "version" => config.digest.version.0,
                "watermark_ms" => self.board.freshness.age(Instant::now()).map(|age| age.0),
                "after_ms" => Millis::from(began.elapsed()).0);
        }
    }

    /// Notes an attempt that failed, with what decides whether there will be another one.
    fn note_failure(&self, call: &Call, upstream: &Upstream, reason: Reason, goes_on: bool) {
        if self.board.lines.admit(Instant::now()) {
            let (own, reported) = upstream.load();
            info!(self.board.logger, "attempt failed"; "call" => &call.handover.id,
                "route" => &call.plan.route.name, "upstream" => %upstream.peer,
                "reason" => %reason, "fate" => %reason.fate(), "made" => call.made,
                "tried" => call.tried.len(), "left_ms" => Millis::from(call.left()).0,
                "own" => own, "reported" => reported, "goes_on" => goes_on);
        }
    }

    /// The caller's own identifier, or a new one where identifiers are not the callers' alone.
    fn identify(&self, request: &Request<Body>) -> Option<String> {
        let dialect = &self.board.dialect;
        let given = request
            .headers()
            .get(&dialect.call)
            .and_then(|value| value.to_str().ok());
        let given = given.filter(|id| (1..=MAX_ID).contains(&id.len()));
        given
            .map(str::to_owned)
            .or_else(|| (!dialect.echo).then(|| self.new_id()))
    }

    fn new_id(&self) -> String {
        let count = self.calls.fetch_add(1, Ordering::Relaxed);
        let random = rand::random::<u32>();
        format!("{}-{count}-{random:08x}", self.board.settings.call_addr)
    }

    async fn prepare(
        &self,
        id: &str,
        config: &Snapshot,
        mut request: Request<Body>,
        began: Instant,
    ) -> Result<Call, Reason> {
        // Guards against a daemon that is ordered to stop before it has any configuration: it
        // knows no route, but that is no proof that there is none.
        if self.board.stage() == Stage::Starting || config.digest.version == Version(0) {
            return Err(Reason::Starting);
        }
        let Board {
            settings, dialect, ..
        } = &*self.board;
        if let Some(name) = &dialect.caller {
            let service = settings.service.as_ref().map_or("", Service::as_str);
            let value = HeaderValue::from_str(service).map_err(|_| Reason::Unnamed)?;
            request.headers_mut().insert(name, value);
        }
        let draw = rand::rng().random_range(0.0..1.0);
        let preparing = Call::prepare(
            id,
            config,
            request,
            began,
            dialect,
            settings.kept_body,
            draw,
        );
        let mut call = preparing.await?;
        call.handover.from = settings.service.clone().unwrap_or_default();
        let (experience, route) = (&self.attempts.chooser.experience, &call.plan.route.name);
        if experience.is_nested(route) {
            call.nest();
        } else if let Some(given) = call.given {
            let before = experience.waited(route, given);
            call.waited(before);
        }
        Ok(call)
    }

    /// Answers a call, with the target's answer or with why there is none.
    async fn complete(&self, mut call: Call) -> Response<Body> {
        if self.quarantined(&call).is_some() {
            // The gates refuse it as well; here it costs nobody a slot or a way.
            call.failed(Reason::Quarantined);
            return self.give_up(&call);
        }
        let answered = tokio::select! {
            answered = self.pursue(&mut call) => answered,
            () = self.board.until_cut() => {
                let reason = if call.sent { Reason::CutShort } else { Reason::Draining };
                call.failed(reason);
                None
            }
        };
        answered.unwrap_or_else(|| self.give_up(&call))
    }

    /// Tries upstreams one after the other, for as long as that makes sense.
    async fn pursue(&self, call: &mut Call) -> Option<Response<Body>> {
        let rule = &Arc::clone(&call.plan).retry;
        self.attempts.budget(call).deposit_share(rule.budget);
        let mut refusals = 0;
        loop {
            let Some(upstream) = self.attempts.chooser.choose(call) else {
                break;
            };
            let reason = match self.attempts.race(&upstream, call).await {
                Attempt::Answered(response) => return Some(response),
                Attempt::Failed(reason) => reason,
            };
            call.failed(reason);
            call.made += u32::from(!reason.is_absence() && reason != Reason::Overloaded);
            // A key belongs to one gate: it is asked again, unless it is not there.
            if call.handover.key.is_none() || reason.is_absence() {
                call.tried.push(upstream.peer);
            }
            if matches!(reason, Reason::Draining | Reason::NoTarget) {
                // The upstream's own word goes before what the next one's view may still have.
                call.handover.leaving.push(upstream.peer);
            }
            let full = reason == Reason::Overloaded && call.handover.key.is_none();
            // Where no target was burdened, neither the rule's attempts nor the budget are
            // touched; each upstream is asked only once.
            let free = reason.is_absence() || full;
            refusals += u32::from(full);
            call.crowded |= full;
            // One that has to run apart is refused while another of its kind runs; the next target is
            // not to end beside that one's.
            let held = reason == Reason::Overloaded && self.attempts.chooser.is_suspect(call);
            let goes_on = if held || reason == Reason::Quarantined {
                false
            } else if free {
                call.sendable() && !call.left().is_zero() && refusals < REFUSALS
            } else {
                self.may_retry(rule, call, reason)
            };
            self.note_failure(call, &upstream, reason, goes_on);
            if !goes_on {
                break;
            }
            if free {
                continue;
            }
            metrics::counter!("jackdaw_retries_total").increment(1);
            let fraction = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(retry::backoff(rule, call.left(), fraction)).await;
        }
        None
    }

    fn may_retry(&self, rule: &Retry, call: &Call, reason: Reason) -> bool {
        let repeatable = call.handover.repeatable;
        let allowed = retry::again(rule, call.made, repeatable, reason.fate(), call.left());
        call.sendable() && allowed && self.attempts.afford(rule, call)
    }

    fn give_up(&self, call: &Call) -> Response<Body> {
        let reason = call.reason.unwrap_or(Reason::NoTarget);
        debug!(self.board.logger, "call given up";
            "call" => &call.handover.id, "reason" => %reason, "tried" => call.tried.len());
        let mut response = outcome::refusal(&call.handover.id, reason);
        if let Some(until) = self
            .quarantined(call)
            .filter(|_| reason == Reason::Quarantined)
        {
            response.extensions_mut().insert(until);
        }
        response
    }

    /// Until when a call must not run since targets have ended under the same request.
    fn quarantined(&self, call: &Call) -> Option<Until> {
        let standing = self.board.quarantine.assessment(call.handover.fingerprint);
        let until = standing
            .quarantined_until
            .filter(|until| Instant::now() < *until);
        until.map(Until)
    }
}

/// Time in whole seconds, one at least.
fn seconds_to(until: Instant) -> HeaderValue {
    let left = until.saturating_duration_since(Instant::now());
    HeaderValue::from(left.as_secs().max(1))
}

/// When a refused caller should be back, in seconds with a fraction.
///
/// Guards against callers that were refused together and come back together: each is told a time
/// of its own.
fn come_back() -> HeaderValue {
    let seconds = rand::rng().random_range(COME_BACK_S);
    HeaderValue::from_str(&format!("{seconds:.2}")).unwrap_or(HeaderValue::from_static("1"))
}
