//! Header names and conventions that callers and targets use.
//!
//! The default is the product's own. A platform whose callers and targets use others gets another
//! [`Dialect`]; everything between the ingress and the sidecar is the same.

use http::HeaderName;

/// Header names on the path of a request, and what a target's response must carry.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Identifier of a call, received from the caller and sent to the target.
    pub call_id: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub timeout: HeaderName,
    /// Time left until the deadline, sent to the target, in milliseconds.
    pub remaining: HeaderName,
    /// Key of the caller's team, received from the caller and never sent to the target.
    pub key: HeaderName,
    /// Name of the caller's team, sent to the target.
    pub team: HeaderName,
    /// Set by a target that has not run the request.
    pub refused: HeaderName,
    /// Whether every response of a target repeats the call's identifier, which the caller must set.
    pub echoes_call_id: bool,
    /// Signature of the target, on all its successful responses.
    pub signature: Option<HeaderName>,
    /// Identifier of the only target process that may run the request, sent to the target.
    pub expected_instance: Option<HeaderName>,
    /// Identifier of the target process that responds.
    pub instance: Option<HeaderName>,
    /// Service on whose host the request began, sent to the target.
    pub caller_service: Option<HeaderName>,
    /// Requests per second that the target accepts from all daemons together, in its responses.
    pub limit: HeaderName,
    /// `1` in the responses of a target that is leaving.
    pub leaving: HeaderName,
    /// Whether callers accept fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            call_id: HeaderName::from_static("x-jackdaw-call"),
            timeout: HeaderName::from_static("x-jackdaw-timeout-ms"),
            remaining: HeaderName::from_static("x-jackdaw-remaining-ms"),
            key: HeaderName::from_static("x-jackdaw-key"),
            team: HeaderName::from_static("x-jackdaw-team"),
            refused: HeaderName::from_static("x-jackdaw-refused"),
            echoes_call_id: false,
            signature: None,
            expected_instance: None,
            instance: None,
            caller_service: None,
            limit: HeaderName::from_static("x-jackdaw-limit"),
            leaving: HeaderName::from_static("x-jackdaw-leaving"),
            fractional_retry_after: false,
        }
    }
}
