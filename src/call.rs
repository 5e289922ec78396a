//! The entry: the daemon that a caller reaches.
//!
//! A request is matched to a route of the configuration in force when it came, and keeps that
//! snapshot to its end. The entry chooses an upstream, hands the request to its gate, and is the
//! only layer that tries again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, Full, Limited};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slog::debug;
use volo_http::body::Body;

use crate::board::{Board, Snapshot};
use crate::document::Retry;
use crate::gate::{CALL, Gate, LOAD};
use crate::keys;
use crate::member::Stage;
use crate::outcome::{self, Fate, OUTCOME, REASON, Reason};
use crate::peer::Failure;
use crate::pick::{self, Candidate};
use crate::retry::{self, Budget};
use crate::roster::Upstream;
use crate::route::Plan;
use crate::settings::Retries;
use crate::stream::{self, Held, Incoming};
use crate::units::{CallKey, Millis};
use crate::wire::{self, Handover};

/// Header that carries a [`Handover`] between daemons.
pub const HANDOVER: &str = "x-jackdaw-handover";
/// Header by which a caller shortens the route's time-out, in milliseconds.
pub const TIMEOUT: &str = "x-jackdaw-timeout-ms";
/// Header with the version by which a call was routed.
pub const VERSION: &str = "x-jackdaw-version";

/// Takes callers' requests.
#[derive(Debug)]
pub struct Entry {
    board: Arc<Board>,
    gate: Arc<Gate>,
    budget: Budget,
    calls: AtomicU64,
}

/// A request with its route and deadline, on its way to a gate.
#[derive(Debug)]
struct Call {
    handover: Handover,
    plan: Arc<Plan>,
    deadline: Instant,
    head: request::Parts,
    body: Payload,
    tried: Vec<SocketAddr>,
    /// Why it has no answer yet.
    reason: Option<Reason>,
}

/// A request body, kept whole where that is cheap, so that it can be sent again.
#[derive(Debug)]
enum Payload {
    Kept(Bytes),
    Stream(Option<Body>),
}

/// What an attempt came to.
#[derive(Debug)]
enum Attempt {
    Answered(Response<Body>),
    Failed(Reason),
}

impl Entry {
    /// An entry that hands local work to `gate`.
    #[must_use]
    pub fn new(board: Arc<Board>, gate: Arc<Gate>) -> Self {
        Self {
            board,
            gate,
            budget: Budget::default(),
            calls: AtomicU64::new(0),
        }
    }

    /// Serves one request of a caller.
    pub async fn serve(&self, request: Request<Body>) -> Response<Body> {
        let began = Instant::now();
        let in_flight = self.board.begin();
        let config = self.board.config();
        let id = self.identify(&request);
        let mut response = match self.prepare(&id, &config, request, began).await {
            Ok(call) => self.complete(call).await,
            Err(reason) => outcome::refusal(&id, reason),
        };
        let headers = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&id) {
            headers.insert(CALL, id);
        }
        headers.insert(VERSION, HeaderValue::from(config.digest.version.0));
        if self.board.stage() == Stage::Draining {
            // A planned stop ends a session after an answer, never within one.
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let fate = headers
            .get(OUTCOME)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("none")
            .to_owned();
        metrics::counter!("jackdaw_calls_total", "outcome" => fate).increment(1);
        metrics::histogram!("jackdaw_call_seconds").record(began.elapsed().as_secs_f64());
        let (parts, body) = response.into_parts();
        Response::from_parts(parts, Held::wrap(body, in_flight))
    }

    /// The caller's own identifier, or a new one.
    fn identify(&self, request: &Request<Body>) -> String {
        let given = request
            .headers()
            .get(CALL)
            .and_then(|value| value.to_str().ok());
        given.filter(|id| id.len() <= 64).map_or_else(
            || {
                let count = self.calls.fetch_add(1, Ordering::Relaxed);
                format!(
                    "{}-{count}-{:08x}",
                    self.board.settings.call_addr,
                    rand::random::<u32>()
                )
            },
            str::to_owned,
        )
    }

    async fn prepare(
        &self,
        id: &str,
        config: &Snapshot,
        request: Request<Body>,
        began: Instant,
    ) -> Result<Call, Reason> {
        if self.board.stage() == Stage::Starting {
            return Err(Reason::Starting);
        }
        let (mut head, body) = request.into_parts();
        let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
        let host = head.headers.get(header::HOST).and_then(text);
        let found = config
            .table
            .find(head.method.as_str(), host.as_deref(), head.uri.path());
        let plan = Arc::clone(found.ok_or(Reason::NoRoute)?);
        let wanted = head
            .headers
            .get(TIMEOUT)
            .and_then(text)
            .and_then(|ms| ms.parse().ok());
        let timeout = wanted.map_or(plan.route.timeout_ms, |ms: Millis| {
            ms.min(plan.route.timeout_ms)
        });
        let deadline = began + timeout.duration();
        // Callers of different services may choose the same key.
        let scoped = |key| CallKey(format!("{}/{key}", plan.group.service));
        let key = head
            .headers
            .get("idempotency-key")
            .and_then(text)
            .map(scoped);
        let handover = Handover {
            id: id.to_owned(),
            service: plan.group.service.clone(),
            group: plan.group.name.clone(),
            class: plan.route.class,
            remaining: timeout,
            repeatable: plan.route.repeatable,
            key: key.filter(|_| !plan.route.repeatable),
            guard: plan.route.guard,
        };
        stream::strip_hop_by_hop(&mut head.headers);
        let keeping = Payload::keep(body, &head, self.board.settings.kept_body);
        let body = tokio::time::timeout_at(deadline.into(), keeping).await;
        let body = body.map_err(|_| Reason::Expired)??;
        Ok(Call {
            handover,
            plan,
            deadline,
            head,
            body,
            tried: Vec::new(),
            reason: None,
        })
    }

    async fn complete(&self, mut call: Call) -> Response<Body> {
        let rule = &Arc::clone(&call.plan).retry;
        self.budget.deposit_share(rule.budget);
        let mut made = 0;
        while let Some(upstream) = self.choose(&call) {
            let reason = match self.attempt(&upstream, &mut call).await {
                Attempt::Answered(response) => return response,
                Attempt::Failed(reason) => reason,
            };
            call.reason = Some(
                call.reason
                    .map_or(reason, |earlier| earlier.followed_by(reason)),
            );
            if reason.is_absence() {
                // No target was burdened, so neither the rule's attempts nor the budget are
                // touched; each upstream is asked only once.
                if call.body.sendable() && !call.left().is_zero() {
                    continue;
                }
                break;
            }
            made += 1;
            if !self.may_retry(rule, made, &call, reason) {
                break;
            }
            metrics::counter!("jackdaw_retries_total").increment(1);
            let fraction = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(retry::backoff(rule, call.left(), fraction)).await;
        }
        self.give_up(&call)
    }

    fn may_retry(&self, rule: &Retry, made: u32, call: &Call, reason: Reason) -> bool {
        let repeatable = call.handover.repeatable;
        let allowed = retry::again(rule, made, repeatable, reason.fate(), call.left());
        let fixed = self.board.settings.retries == Retries::Fixed;
        call.body.sendable() && allowed && (fixed || self.budget.withdraw(rule.budget))
    }

    fn give_up(&self, call: &Call) -> Response<Body> {
        let reason = call.reason.unwrap_or(Reason::NoTarget);
        debug!(self.board.logger, "call given up";
            "call" => &call.handover.id, "reason" => %reason, "tried" => call.tried.len());
        outcome::refusal(&call.handover.id, reason)
    }

    async fn attempt(&self, upstream: &Arc<Upstream>, call: &mut Call) -> Attempt {
        call.tried.push(upstream.peer);
        let own = upstream.begin();
        let left = call.left();
        if left.is_zero() {
            return Attempt::Failed(Reason::Expired);
        }
        call.handover.remaining = Millis::from(left);
        let exchange = async {
            if upstream.peer == self.board.settings.identity() {
                let request = call.request();
                Ok(self.gate.run(call.handover.clone(), request).await)
            } else {
                hand_over(upstream, call).await
            }
        };
        let result = match tokio::time::timeout(left, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Reason::TimedOut),
        };
        let attempt = result.map_or_else(Attempt::Failed, judge);
        self.learn(upstream, &attempt, call);
        match attempt {
            Attempt::Answered(response) => {
                let (parts, body) = response.into_parts();
                Attempt::Answered(Response::from_parts(parts, Held::wrap(body, own)))
            }
            failed @ Attempt::Failed(_) => failed,
        }
    }

    /// Chooses the upstream for the next attempt: by key where there is one, else by load.
    fn choose(&self, call: &Call) -> Option<Arc<Upstream>> {
        let roster = self.board.roster();
        let upstreams = roster.upstreams(&call.handover.service);
        let fresh: Vec<&Arc<Upstream>> = upstreams
            .iter()
            .filter(|upstream| !call.tried.contains(&upstream.peer))
            .collect();
        if let Some(key) = &call.handover.key {
            let owner = fresh
                .into_iter()
                .max_by_key(|upstream| keys::rank(key, upstream.peer));
            return owner.cloned();
        }
        let now = Instant::now();
        let group = &call.plan.group;
        let candidates: Vec<Candidate> = fresh
            .iter()
            .map(|upstream| upstream.candidate(group, now))
            .collect();
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let index = pick::choose(self.board.settings.pick, &candidates, &mut rng)?;
        Some(Arc::clone(fresh[index]))
    }

    /// Takes the attempt as evidence on its upstream.
    fn learn(&self, upstream: &Upstream, attempt: &Attempt, call: &Call) {
        match attempt {
            Attempt::Answered(response) => {
                let load = response.headers().get(LOAD).and_then(|v| v.to_str().ok());
                if let Some(load) = load.and_then(|text| text.parse().ok()) {
                    upstream.report(load);
                }
                if response.status().is_server_error() {
                    self.blame(upstream, call);
                } else {
                    upstream.succeeded();
                }
            }
            Attempt::Failed(
                Reason::Broken | Reason::TimedOut | Reason::Unreachable | Reason::NoTarget,
            ) => self.blame(upstream, call),
            Attempt::Failed(_) => {}
        }
    }

    fn blame(&self, upstream: &Upstream, call: &Call) {
        let roster = self.board.roster();
        let upstreams = roster.upstreams(&call.handover.service);
        let now = Instant::now();
        let out = upstreams.iter().filter(|other| other.ejected(now)).count();
        upstream.failed(now, &call.plan.group.ejection, out, upstreams.len());
    }
}

impl Call {
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The request for one attempt.
    fn request(&mut self) -> Request<Body> {
        let mut request = Request::new(self.body.take());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        request
    }
}

impl Payload {
    async fn keep(body: Body, head: &request::Parts, limit: usize) -> Result<Self, Reason> {
        if http_body::Body::is_end_stream(&body) {
            return Ok(Self::Kept(Bytes::new()));
        }
        let length = head
            .headers
            .get(header::CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok());
        let length = length.and_then(|text| text.parse::<usize>().ok());
        if length.is_none_or(|length| length > limit) {
            return Ok(Self::Stream(Some(body)));
        }
        let collected = Limited::new(body, limit).collect().await;
        // Nothing has been sent on yet, so the fate would be known; but the caller is gone.
        collected
            .map(|body| Self::Kept(body.to_bytes()))
            .map_err(|_| Reason::CallerGone)
    }

    /// Whether there is a body to send once more.
    const fn sendable(&self) -> bool {
        matches!(self, Self::Kept(_) | Self::Stream(Some(_)))
    }

    fn take(&mut self) -> Body {
        match self {
            Self::Kept(bytes) if bytes.is_empty() => Body::empty(),
            Self::Kept(bytes) => Body::from_body(Full::new(bytes.clone())),
            Self::Stream(body) => body.take().unwrap_or_default(),
        }
    }
}

/// Hands a request to the gate of another host.
async fn hand_over(upstream: &Upstream, call: &mut Call) -> Result<Response<Body>, Reason> {
    let (mut parts, body) = call.request().into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{}{path}", upstream.peer);
    let mut request = Request::builder().method(parts.method).uri(uri);
    if let Some(headers) = request.headers_mut() {
        std::mem::swap(headers, &mut parts.headers);
        headers.insert(HANDOVER, hex(&call.handover));
    }
    let request = request.body(()).map_err(|_| Reason::Unreachable)?;
    let response = upstream
        .link
        .call(request, body)
        .await
        .map_err(|failure| match failure {
            Failure::Unsent => Reason::Unreachable,
            Failure::Broken => Reason::Broken,
        })?;
    let (parts, stream) = response.into_parts();
    Ok(Response::from_parts(
        parts,
        Incoming::new(stream).into_body(),
    ))
}

fn hex(handover: &Handover) -> HeaderValue {
    HeaderValue::from_str(&wire::to_header(handover)).expect("hexadecimal digits are a header")
}

/// Reads a gate's answer: the target's own, or a reason.
fn judge(response: Response<Body>) -> Attempt {
    let text = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value: &HeaderValue| value.to_str().ok())
    };
    let answered = text(OUTCOME).is_some_and(|fate| fate == Fate::Answered.to_string());
    if answered {
        return Attempt::Answered(response);
    }
    let reason = text(REASON).and_then(|reason| reason.parse().ok());
    // A gate that gives no reason we know proves nothing.
    Attempt::Failed(reason.unwrap_or(Reason::Broken))
}
