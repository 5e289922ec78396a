//! A caller's request with its route, deadline and body, over all of its attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, Full, Limited};
use volo_http::body::Body;

use crate::calls::dialect::Dialect;
use crate::calls::executor::remove_team_headers;
use crate::calls::metadata::{Metadata, write_metadata};
use crate::calls::outcome::Reason;
use crate::calls::overrun::{Bounded, Overrun, Source};
use crate::calls::route::ResolvedRoute;
use crate::calls::stream::{self, Incoming};
use crate::calls::wait;
use crate::clock;
use crate::configuration::document::Group;
use crate::membership::roster::Upstream;
use crate::peer::Failure;
use crate::quarantine::fingerprint::{Content, Fingerprint};
use crate::shared_state::Snapshot;
use crate::teams::directory::{Caller, Directory, Entry, Unauthenticated};
use crate::units::{IdempotencyKey, Millis, Service};

/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A request as it arrived, beside its head and body.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// Identifier of the call.
    pub id: &'a str,
    /// Who sent it, by the configuration that also routes it.
    pub caller: Caller<'a>,
    /// When it arrived.
    pub began: Instant,
    /// Uniform in 0 to 1; chooses among the groups of a split route.
    pub draw: f64,
}

/// A request matched to a route of the configuration that was active when it arrived.
#[derive(Debug)]
pub struct Call {
    /// Metadata for the sidecar; each attempt sends its own version.
    pub metadata: Metadata,
    /// Route and retry rule.
    pub resolved_route: Arc<ResolvedRoute>,
    /// Team for which the call is made; none on a public route.
    pub team: Option<Arc<Entry>>,
    /// Upstream group that serves the call.
    pub group: Arc<Group>,
    /// Upstreams that are not tried again.
    pub tried: Vec<SocketAddr>,
    /// Attempts that an upstream may have begun to process; the retry rule limits them.
    pub attempts: u32,
    /// Whether an attempt has been made.
    pub sent: bool,
    /// Whether a sidecar refused the call as overloaded.
    pub overloaded: bool,
    /// Why the attempts so far have failed.
    pub reason: Option<Reason>,
    /// Time that the caller waits, as given in its request.
    pub caller_timeout: Option<Millis>,
    /// When the response starts to lose its value.
    soft_deadline: Instant,
    deadline: Instant,
    head: request::Parts,
    body: Payload,
}

/// One attempt at a call.
#[derive(Debug)]
pub struct Attempt {
    /// Metadata for the sidecar.
    pub metadata: Metadata,
    /// The request, with its body.
    pub request: Request<Body>,
    /// When the response head is due.
    pub deadline: Instant,
}

/// A request body, buffered if it is small, so that it can be sent again.
#[derive(Debug)]
enum Payload {
    Buffered(Bytes),
    Streamed(Option<Body>),
}

impl Call {
    /// Matches a request to a route and its caller to a team.
    ///
    /// A body of at most `buffer_limit` bytes is buffered.
    ///
    /// # Errors
    ///
    /// Why the request can't be served; no part of it has been forwarded.
    pub async fn prepare(
        arrival: Arrival<'_>,
        config: &Snapshot,
        request: Request<Body>,
        dialect: &Dialect,
        buffer_limit: usize,
    ) -> Result<Self, Reason> {
        let Arrival {
            id,
            caller,
            began,
            draw,
        } = arrival;
        let (mut head, body) = request.into_parts();
        let text = |value: &HeaderValue| value.to_str().ok().map(str::to_owned);
        let host = head.headers.get(header::HOST).and_then(text);
        let found = config
            .table
            .find(head.method.as_str(), host.as_deref(), head.uri.path());
        let resolved_route = Arc::clone(found.ok_or(Reason::NoRoute)?);
        let team = caller
            .authorize(resolved_route.route.public)
            .map_err(|Unauthenticated| Reason::Unauthenticated)?;
        let caller_timeout = head
            .headers
            .get(&dialect.timeout)
            .and_then(text)
            .and_then(|ms| ms.parse().ok());
        let timeout = caller_timeout.map_or(resolved_route.route.timeout_ms, |ms: Millis| {
            ms.min(resolved_route.route.timeout_ms)
        });
        let deadline = began + timeout.duration();
        let soft_deadline = began
            + resolved_route
                .route
                .latency_ms
                .unwrap_or(timeout)
                .duration();
        let group = Arc::clone(resolved_route.group(draw));
        let scoped = |key: String| scope(&group.service, &config.teams, team.as_deref(), &key);
        let key = head.headers.get(IDEMPOTENCY_KEY).and_then(text).map(scoped);
        let metadata = Metadata {
            id: id.to_owned(),
            service: group.service.clone(),
            group: group.name.clone(),
            route: resolved_route.route.name.clone(),
            caller_service: Service::default(),
            fingerprint: Fingerprint(0),
            priority: config
                .teams
                .rank(team.as_deref(), resolved_route.route.rank()),
            sent_ms: 0,
            remaining: timeout,
            max_wait: timeout,
            repeatable: resolved_route.route.repeatable,
            key: key.filter(|_| !resolved_route.route.repeatable),
            guard: resolved_route.route.guard,
            team: team
                .as_ref()
                .map_or_else(String::new, |team| team.name.clone()),
            draining: Vec::new(),
            notice: None,
            repeat: false,
        };
        stream::strip_hop_by_hop(&mut head.headers);
        if !config.teams.is_empty() {
            remove_team_headers(&mut head.headers, dialect);
        }
        // The sidecar writes the identifier and the remaining time anew, from the metadata.
        for name in [&dialect.call_id, &dialect.timeout, &dialect.remaining] {
            head.headers.remove(name);
        }
        let max_body = config.document.bounds.max_body;
        let buffering = Payload::buffer(body, &head, buffer_limit, max_body);
        let body = tokio::time::timeout_at(deadline.into(), buffering).await;
        let body = body.map_err(|_| Reason::Expired)??;
        let fingerprint = body.fingerprint(&head);
        Ok(Call {
            metadata: Metadata {
                fingerprint,
                ..metadata
            },
            resolved_route,
            team,
            group,
            caller_timeout,
            soft_deadline,
            deadline,
            head,
            body,
            tried: Vec::new(),
            overloaded: false,
            attempts: 0,
            sent: false,
            reason: None,
        })
    }

    /// When the response head is due.
    #[must_use]
    pub const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Time left until the response head is due.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether the body can be sent once more.
    #[must_use]
    pub const fn is_sendable(&self) -> bool {
        matches!(self.body, Payload::Buffered(_) | Payload::Streamed(Some(_)))
    }

    /// Whether two attempts may be in flight at the same time.
    #[must_use]
    pub const fn may_hedge(&self) -> bool {
        self.metadata.repeatable && matches!(self.body, Payload::Buffered(_))
    }

    /// Records why an attempt failed.
    pub fn record_failure(&mut self, reason: Reason) {
        let earlier = self.reason.map(|earlier| earlier.followed_by(reason));
        self.reason = Some(earlier.unwrap_or(reason));
    }

    /// Brings the soft deadline forward by the time that the caller had waited before it sent this
    /// request: its earlier attempts failed, but its time has been running since then.
    pub fn deduct_earlier_wait(&mut self, earlier_wait: Duration) {
        self.soft_deadline = self
            .soft_deadline
            .checked_sub(earlier_wait)
            .unwrap_or(self.soft_deadline);
    }

    /// Moves the soft deadline to the deadline, for a call that a running request depends on.
    ///
    /// Refusing such a call because its response would be later than usual would fail the request
    /// that made it and waste the work already done for that request.
    pub const fn extend_soft_deadline(&mut self) {
        self.soft_deadline = self.deadline;
    }

    /// Longest wait for a slot with which an attempt that takes `expected_time` is still of use.
    #[must_use]
    pub fn max_wait(&self, expected_time: Duration) -> Duration {
        let until = if self.resolved_route.route.latency_ms.is_some() {
            self.soft_deadline.min(self.deadline)
        } else {
            self.deadline
        };
        let left = until.saturating_duration_since(Instant::now());
        wait::max_wait(left, expected_time)
    }

    /// Prepares the next attempt; a streamed body can be sent only once.
    pub fn next_attempt(&mut self, expected_time: Duration) -> Attempt {
        self.sent = true;
        let max_wait = Millis::from(self.max_wait(expected_time));
        let mut request = Request::new(self.body.take());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let remaining = Millis::from(self.left());
        let metadata = Metadata {
            sent_ms: clock::boot_ms(),
            remaining,
            max_wait,
            repeat: self.attempts > 0,
            ..self.metadata.clone()
        };
        Attempt {
            metadata,
            request,
            deadline: self.deadline,
        }
    }
}

/// Scopes an idempotency key by service and, with `teams`, by team: callers of two services or teams
/// may choose the same one.
fn scope(service: &Service, teams: &Directory, team: Option<&Entry>, key: &str) -> IdempotencyKey {
    if teams.is_empty() {
        return IdempotencyKey(format!("{service}/{key}"));
    }
    // The length keeps a key that contains a name from being taken for that team's.
    let name = team.map_or("", |team| &team.name);
    IdempotencyKey(format!("{service}/{}:{name}/{key}", name.len()))
}

impl Attempt {
    /// Forwards the request to the sidecar on another host.
    ///
    /// # Errors
    ///
    /// [`Reason::Unreachable`] if the sidecar has provably not processed it, else
    /// [`Reason::Broken`].
    pub async fn forward(self, upstream: &Upstream) -> Result<Response<Body>, Reason> {
        let (mut parts, body) = self.request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{}{path}", upstream.peer);
        let mut request = Request::builder().method(parts.method).uri(uri);
        if let Some(headers) = request.headers_mut() {
            std::mem::swap(headers, &mut parts.headers);
            write_metadata(headers, self.metadata);
            if stream::is_large(headers, &body) {
                // The sidecar asks for the body when its turn has come.
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
        let body = Incoming::new(stream).into_body();
        let body = if http_body::Body::is_end_stream(&body) {
            body
        } else {
            Bounded::wrap(body, Overrun::new(Source::Sidecar, self.deadline))
        };
        Ok(Response::from_parts(parts, body))
    }
}

impl Payload {
    /// Hash that stays the same when a request with this head and body is sent again.
    fn fingerprint(&self, head: &request::Parts) -> Fingerprint {
        let text = |name| head.headers.get(name).map(HeaderValue::as_bytes);
        let host = text(header::HOST).and_then(|host| std::str::from_utf8(host).ok());
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let content = match self {
            Self::Buffered(bytes) => Content::Whole(bytes),
            Self::Streamed(_) => Content::Stream(text(header::CONTENT_LENGTH)),
        };
        Fingerprint::of(
            head.method.as_str(),
            host.unwrap_or_default(),
            path,
            content,
        )
    }

    async fn buffer(
        body: Body,
        head: &request::Parts,
        buffer_limit: usize,
        max_body: u64,
    ) -> Result<Self, Reason> {
        if http_body::Body::is_end_stream(&body) {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let length = head
            .headers
            .get(header::CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok());
        let length = length.and_then(|text| text.parse::<usize>().ok());
        let max_body = usize::try_from(max_body).unwrap_or(usize::MAX);
        if length.is_some_and(|length| length > max_body) {
            return Err(Reason::TooLarge);
        }
        if length.is_none_or(|length| length > buffer_limit) {
            // A body without a length is cut off where it exceeds the limit.
            let bounded = Body::from_body(Limited::new(body, max_body));
            return Ok(Self::Streamed(Some(bounded)));
        }
        let collected = Limited::new(body, buffer_limit).collect().await;
        // Nothing has been forwarded yet, so the request has not run; but the caller is gone.
        collected
            .map(|body| Self::Buffered(body.to_bytes()))
            .map_err(|_| Reason::CallerGone)
    }

    fn take(&mut self) -> Body {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Body::empty(),
            Self::Buffered(bytes) => Body::from_body(Full::new(bytes.clone())),
            Self::Streamed(body) => body.take().unwrap_or_default(),
        }
    }
}
