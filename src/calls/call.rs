//! A caller's request on its way, with its route, deadline and body.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, Full, Limited};
use volo_http::body::Body;

use crate::board::Snapshot;
use crate::calls::dialect::Dialect;
use crate::calls::handover::{Handover, write_handover};
use crate::calls::outcome::Reason;
use crate::calls::patience;
use crate::calls::route::Plan;
use crate::calls::stream::{self, Incoming};
use crate::clock;
use crate::configuration::document::Group;
use crate::membership::roster::Upstream;
use crate::peer::Failure;
use crate::quarantine::fingerprint::{Content, Fingerprint};
use crate::units::{IdempotencyKey, Millis, Service};

/// Header with the caller's idempotency key.
const KEY: &str = "idempotency-key";

/// A request that has been matched to a route of the configuration in force when it came.
#[derive(Debug)]
pub struct Call {
    /// What its gate needs to know.
    pub handover: Handover,
    /// Its route and retry rule.
    pub plan: Arc<Plan>,
    /// The group that serves it.
    pub group: Arc<Group>,
    /// Upstreams that are not asked again.
    pub tried: Vec<SocketAddr>,
    /// Attempts that an upstream may have begun to work on.
    pub made: u32,
    /// Whether any of it has been handed to an upstream.
    pub sent: bool,
    /// Whether a gate had no room for it.
    pub crowded: bool,
    /// Why it has no answer yet.
    pub reason: Option<Reason>,
    /// Time that the caller still gives, by its own word.
    pub given: Option<Millis>,
    /// When the answer is no longer of full use.
    prompt: Instant,
    deadline: Instant,
    head: request::Parts,
    body: Payload,
}

/// What one attempt sends.
#[derive(Debug)]
pub struct Part {
    /// What the gate needs to know.
    pub handover: Handover,
    /// The request, with its body.
    pub request: Request<Body>,
    /// When the head of the answer is due.
    pub deadline: Instant,
}

/// A request body, kept whole where that is cheap, so that it can be sent again.
#[derive(Debug)]
enum Payload {
    Kept(Bytes),
    Stream(Option<Body>),
}

impl Call {
    /// Matches a request that came at `began`; keeps a body of at most `limit` bytes. `draw` is
    /// uniform in 0 to 1 and chooses among the groups of a split route.
    ///
    /// # Errors
    ///
    /// Why it can't be served; nothing of it has been sent on.
    pub async fn prepare(
        id: &str,
        config: &Snapshot,
        request: Request<Body>,
        began: Instant,
        dialect: &Dialect,
        limit: usize,
        draw: f64,
    ) -> Result<Self, Reason> {
        let (mut head, body) = request.into_parts();
        let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
        let host = head.headers.get(header::HOST).and_then(text);
        let found = config
            .table
            .find(head.method.as_str(), host.as_deref(), head.uri.path());
        let plan = Arc::clone(found.ok_or(Reason::NoRoute)?);
        let wanted = head
            .headers
            .get(&dialect.timeout)
            .and_then(text)
            .and_then(|ms| ms.parse().ok());
        let timeout = wanted.map_or(plan.route.timeout_ms, |ms: Millis| {
            ms.min(plan.route.timeout_ms)
        });
        let deadline = began + timeout.duration();
        let prompt = began + plan.route.latency_ms.unwrap_or(timeout).duration();
        let group = Arc::clone(plan.group(draw));
        // Callers of different services may choose the same key.
        let scoped = |key| IdempotencyKey(format!("{}/{key}", group.service));
        let key = head.headers.get(KEY).and_then(text).map(scoped);
        let handover = Handover {
            id: id.to_owned(),
            service: group.service.clone(),
            group: group.name.clone(),
            route: plan.route.name.clone(),
            from: Service::default(),
            fingerprint: Fingerprint(0),
            priority: plan.route.rank(),
            sent_ms: 0,
            remaining: timeout,
            tolerance: timeout,
            repeatable: plan.route.repeatable,
            key: key.filter(|_| !plan.route.repeatable),
            guard: plan.route.guard,
            leaving: Vec::new(),
        };
        stream::strip_hop_by_hop(&mut head.headers);
        // The gate writes these anew, from the handover.
        for name in [&dialect.call, &dialect.timeout, &dialect.remaining] {
            head.headers.remove(name);
        }
        let largest = config.document.bounds.max_body;
        let keeping = Payload::keep(body, &head, limit, largest);
        let body = tokio::time::timeout_at(deadline.into(), keeping).await;
        let body = body.map_err(|_| Reason::Expired)??;
        let fingerprint = body.fingerprint(&head);
        Ok(Call {
            handover: Handover {
                fingerprint,
                ..handover
            },
            plan,
            group,
            given: wanted,
            prompt,
            deadline,
            head,
            body,
            tried: Vec::new(),
            crowded: false,
            made: 0,
            sent: false,
            reason: None,
        })
    }

    /// Time left until the head of the answer is due.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether there is a body to send once more.
    #[must_use]
    pub const fn sendable(&self) -> bool {
        matches!(self.body, Payload::Kept(_) | Payload::Stream(Some(_)))
    }

    /// Whether two attempts may be under way at the same time.
    #[must_use]
    pub const fn may_hedge(&self) -> bool {
        self.handover.repeatable && matches!(self.body, Payload::Kept(_))
    }

    /// Notes why an attempt failed.
    pub fn failed(&mut self, reason: Reason) {
        let earlier = self.reason.map(|earlier| earlier.followed_by(reason));
        self.reason = Some(earlier.unwrap_or(reason));
    }

    /// Notes for how long the caller had waited before it sent this request.
    ///
    /// What it got before is over, but its time has been running since then.
    pub fn waited(&mut self, before: Duration) {
        self.prompt = self.prompt.checked_sub(before).unwrap_or(self.prompt);
    }

    /// Notes that a running request needs the answer.
    ///
    /// Guards against work in vain: a call that is refused because its answer would come later than
    /// usual fails the request that made it, with all that has been done for that one. Its answer is
    /// of full use until the deadline.
    pub const fn nest(&mut self) {
        self.prompt = self.deadline;
    }

    /// Longest wait for a slot with which the next attempt is still of use, when it takes `needs`.
    #[must_use]
    pub fn tolerance(&self, needs: Duration) -> Duration {
        let until = if self.plan.route.latency_ms.is_some() {
            self.prompt.min(self.deadline)
        } else {
            self.deadline
        };
        let left = until.saturating_duration_since(Instant::now());
        patience::tolerance(left, needs)
    }

    /// What the next attempt sends; a streamed body can be taken only once.
    pub fn part(&mut self, needs: Duration) -> Part {
        self.sent = true;
        let tolerance = Millis::from(self.tolerance(needs));
        let mut request = Request::new(self.body.take());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let remaining = Millis::from(self.left());
        let handover = Handover {
            sent_ms: clock::boot_ms(),
            remaining,
            tolerance,
            ..self.handover.clone()
        };
        Part {
            handover,
            request,
            deadline: self.deadline,
        }
    }
}

impl Part {
    /// Hands a request to the gate of another host.
    ///
    /// # Errors
    ///
    /// [`Reason::Unreachable`] when the gate has provably not processed it, else [`Reason::Broken`].
    pub async fn hand_over(self, upstream: &Upstream) -> Result<Response<Body>, Reason> {
        let (mut parts, body) = self.request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{}{path}", upstream.peer);
        let mut request = Request::builder().method(parts.method).uri(uri);
        if let Some(headers) = request.headers_mut() {
            std::mem::swap(headers, &mut parts.headers);
            write_handover(headers, self.handover);
            if stream::is_large(headers, &body) {
                // The gate asks for it when its turn has come.
                headers.insert(header::EXPECT, HeaderValue::from_static("100-continue"));
            }
        }
        let request = request.body(()).map_err(|_| Reason::Unreachable)?;
        let response =
            upstream
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
}

impl Payload {
    /// What stays the same when a request with this head and body is sent again.
    fn fingerprint(&self, head: &request::Parts) -> Fingerprint {
        let text = |name| head.headers.get(name).map(HeaderValue::as_bytes);
        let host = text(header::HOST).and_then(|host| std::str::from_utf8(host).ok());
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let content = match self {
            Self::Kept(bytes) => Content::Whole(bytes),
            Self::Stream(_) => Content::Stream(text(header::CONTENT_LENGTH)),
        };
        Fingerprint::of(
            head.method.as_str(),
            host.unwrap_or_default(),
            path,
            content,
        )
    }

    async fn keep(
        body: Body,
        head: &request::Parts,
        limit: usize,
        largest: u64,
    ) -> Result<Self, Reason> {
        if http_body::Body::is_end_stream(&body) {
            return Ok(Self::Kept(Bytes::new()));
        }
        let length = head
            .headers
            .get(header::CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok());
        let length = length.and_then(|text| text.parse::<usize>().ok());
        let largest = usize::try_from(largest).unwrap_or(usize::MAX);
        if length.is_some_and(|length| length > largest) {
            return Err(Reason::TooLarge);
        }
        if length.is_none_or(|length| length > limit) {
            // One without a length breaks off where it grows too large.
            let bounded = Body::from_body(Limited::new(body, largest));
            return Ok(Self::Stream(Some(bounded)));
        }
        let collected = Limited::new(body, limit).collect().await;
        // Nothing has been sent on yet, so the fate would be known; but the caller is gone.
        collected
            .map(|body| Self::Kept(body.to_bytes()))
            .map_err(|_| Reason::CallerGone)
    }

    fn take(&mut self) -> Body {
        match self {
            Self::Kept(bytes) if bytes.is_empty() => Body::empty(),
            Self::Kept(bytes) => Body::from_body(Full::new(bytes.clone())),
            Self::Stream(body) => body.take().unwrap_or_default(),
        }
    }
}
