//! What a caller is told about its request.
//!
//! A request is answered, provably not run, or of unknown fate; unknown is never called not run.
//! The outcome stands in the `x-jackdaw-outcome` header of every response, and in a JSON body when
//! the response is not the target's own.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};
use volo_http::body::Body;

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
    /// The target's own answer.
    Answered,
    /// It was never dispatched, or was refused before it ran.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why there is no answer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No route matches.
    NoRoute,
    /// No target of the group takes calls.
    NoTarget,
    /// The request names no call, and names are the callers' to give.
    Unnamed,
    /// The daemon has no configuration yet.
    Starting,
    /// The daemon or its target is leaving.
    Draining,
    /// Every slot and place to wait is taken.
    Overloaded,
    /// The target refused the request before running it.
    Shed,
    /// Targets have ended under the same request.
    Quarantined,
    /// The deadline passed before the request was dispatched.
    Expired,
    /// The target or its daemon could not be reached.
    Unreachable,
    /// Another life of the target, or another target, has the address.
    Misdirected,
    /// The request's key is another daemon's to run.
    Moved,
    /// No other gate could note the key, so running it would not be remembered.
    NoWitness,
    /// The platform log could not record the claim.
    LogAway,
    /// The connection broke after the request was dispatched.
    Broken,
    /// The answer did not come in time.
    TimedOut,
    /// The daemon's planned stop could not wait for the answer.
    CutShort,
    /// Another run of the same key may have happened.
    KeyInDoubt,
    /// The caller's own body broke off.
    CallerGone,
    /// The request's body is larger than the document allows.
    TooLarge,
}

impl Reason {
    /// Whether the reason proves that the request did not run.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Broken | Self::TimedOut | Self::CutShort | Self::KeyInDoubt => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// What to report when an attempt failed for this reason and a later one for another.
    ///
    /// Guards against a lie: a request whose first attempt may have run and whose second was
    /// refused must not be reported as not run.
    #[must_use]
    pub fn followed_by(self, later: Self) -> Self {
        if self.outcome() == Outcome::Unknown {
            self
        } else {
            later
        }
    }

    /// Whether the upstream was simply not there to take the request.
    #[must_use]
    pub const fn is_unavailable(self) -> bool {
        matches!(
            self,
            Self::Draining | Self::Misdirected | Self::Moved | Self::NoTarget | Self::Unreachable
        )
    }

    /// Whether the reason speaks against the upstream.
    #[must_use]
    pub const fn is_upstream_failure(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut | Self::Unreachable)
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TimedOut | Self::Expired => StatusCode::GATEWAY_TIMEOUT,
            Self::Broken | Self::CutShort | Self::KeyInDoubt => StatusCode::BAD_GATEWAY,
            Self::CallerGone | Self::Unnamed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// When asking again makes sense.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoRoute
            | Self::CallerGone
            | Self::Unnamed
            | Self::TooLarge
            // The entry knows until when.
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
    /// What is known.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
}

/// The response that tells an entry why its gate has no answer.
///
/// It has no body: the entry writes the caller's, and under overload a gate refuses several requests
/// for each one that it runs.
#[must_use]
pub fn sidecar_refusal(reason: Reason) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(REASON, header_value(&reason.to_string()));
    response
}

/// The response that tells a caller why there is no answer.
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
