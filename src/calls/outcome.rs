//! What a caller is told about its request.
//!
//! A request was answered, provably did not run, or may have run. The last outcome, unknown, is
//! never reported as not run. The outcome is in the `x-jackdaw-outcome` header of every response,
//! and in a JSON body when the response is not the target's own.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};
use volo_http::body::Body;

use crate::response_head;

/// Header that names the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-jackdaw-outcome";
/// Header that names the reason for any other outcome than `answered`.
pub const REASON: &str = "x-jackdaw-reason";

/// What is known about a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The response is the target's own.
    Answered,
    /// The request was never dispatched, or was refused before it ran.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why there is no response of the target.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No route matches.
    NoRoute,
    /// No target of the group accepts calls.
    NoTarget,
    /// The request has no call identifier, and only callers may assign them.
    Unnamed,
    /// The route needs the key of a team, and the request has none or an unknown one.
    Unauthenticated,
    /// The daemon has no configuration yet.
    Starting,
    /// The daemon or its target is draining.
    Draining,
    /// No slot or queue place is free, or the wait would be too long.
    Overloaded,
    /// The target refused the request before running it.
    Shed,
    /// Targets have crashed while running the same request.
    Quarantined,
    /// The team has sent more requests than its quota allows.
    OverQuota,
    /// The deadline passed before the request was dispatched.
    Expired,
    /// The target or its daemon could not be reached.
    Unreachable,
    /// The address belongs to another process of the target, or to another target.
    Misdirected,
    /// Another daemon owns the request's idempotency key.
    Moved,
    /// No other sidecar could record the idempotency key, so a run would not be remembered.
    NoWitness,
    /// The platform log could not record the claim.
    LogAway,
    /// The connection broke after the request was dispatched.
    Broken,
    /// The response did not arrive in time.
    TimedOut,
    /// The daemon's planned stop could not wait for the response.
    CutShort,
    /// Another request with the same idempotency key may have run.
    KeyInDoubt,
    /// The caller's body ended before it was complete.
    CallerGone,
    /// The request's body is larger than the configuration allows.
    TooLarge,
}

impl Reason {
    /// What the reason proves: that the request did not run, or that it may have.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Broken | Self::TimedOut | Self::CutShort | Self::KeyInDoubt => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// What to report when an attempt failed for this reason and a later one for another.
    ///
    /// A request whose first attempt may have run must not be reported as not run because its
    /// second attempt was refused.
    #[must_use]
    pub fn followed_by(self, later: Self) -> Self {
        if self.outcome() == Outcome::Unknown {
            self
        } else {
            later
        }
    }

    /// Whether the upstream was not available to run the request.
    #[must_use]
    pub const fn is_unavailable(self) -> bool {
        matches!(
            self,
            Self::Draining | Self::Misdirected | Self::Moved | Self::NoTarget | Self::Unreachable
        )
    }

    /// Whether the reason counts as a failure of the upstream.
    #[must_use]
    pub const fn is_upstream_failure(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut | Self::Unreachable)
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::TimedOut | Self::Expired => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken | Self::CutShort | Self::KeyInDoubt => StatusCode::BAD_GATEWAY,
            Self::CallerGone | Self::Unnamed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Delay after which the caller may retry.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoRoute
            | Self::CallerGone
            | Self::Unnamed
            | Self::TooLarge
            | Self::Unauthenticated
            // The ingress sets the end of the quarantine instead.
            | Self::Quarantined => None,
            Self::LogAway | Self::NoTarget | Self::NoWitness => Some(Duration::from_secs(2)),
            _ => Some(Duration::from_secs(1)),
        }
    }
}

/// JSON body of a response that is not the target's own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Identifier of the call.
    pub id: String,
    /// What is known about the request.
    pub outcome: Outcome,
    /// Why the target gave no response.
    pub reason: Reason,
}

/// Builds the response that tells an ingress why the sidecar has none from its target.
///
/// It has no body: the ingress writes the caller's, and an overloaded sidecar refuses several
/// requests for each one that it runs.
#[must_use]
pub fn sidecar_refusal(reason: Reason) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(REASON, header_value(&reason.to_string()));
    response
}

/// Reads the head of a sidecar's response, which is the target's own if it says so.
///
/// # Errors
///
/// Why the target gave no response. A response that is malformed or names no known reason proves nothing, so the
/// request may have run.
pub fn of_sidecar(status: StatusCode, headers: &HeaderMap) -> Result<(), Reason> {
    if response_head::check(status, headers).is_err() {
        return Err(Reason::Broken);
    }
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if text(OUTCOME).is_some_and(|outcome| outcome == Outcome::Answered.to_string()) {
        return Ok(());
    }
    let reason = text(REASON).and_then(|reason| reason.parse().ok());
    Err(reason.unwrap_or(Reason::Broken))
}

/// Builds the response that tells a caller why there is none from the target.
#[must_use]
pub fn caller_refusal(id: &str, reason: Reason) -> Response<Body> {
    let report = Report {
        id: id.to_owned(),
        outcome: reason.outcome(),
        reason,
    };
    let body = serde_json::to_vec(&report).unwrap_or_default();
    let mut response = Response::new(Body::from_body(http_body_util::Full::new(Bytes::from(
        body,
    ))));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(REASON, header_value(&reason.to_string()));
    headers.insert(OUTCOME, header_value(&reason.outcome().to_string()));
    if let Some(after) = reason.retry_after() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(after.as_secs()));
    }
    response
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("invalid"))
}
