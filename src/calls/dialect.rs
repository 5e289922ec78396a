//! How callers and targets spell what they say in HTTP headers.
//!
//! The default is the product's own spelling. A platform whose callers and targets spell it
//! otherwise gets another [`Dialect`]; everything behind the entry and the gate is the same.

use http::HeaderName;

/// Names of headers on the path of a request, and what a target's answer must carry.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Identifier of a call, from the caller and to the target.
    pub call_id: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub timeout: HeaderName,
    /// Time left, towards the target, in milliseconds.
    pub remaining: HeaderName,
    /// A target's proof that it has not run the request.
    pub refused: HeaderName,
    /// Whether every answer of a target repeats the identifier of its call.
    pub echoes_call_id: bool,
    /// A target's signature, on all its successful answers.
    pub signature: Option<HeaderName>,
    /// The only life of the target that may run the request, towards the target.
    pub expected_instance: Option<HeaderName>,
    /// The life of the target that answers.
    pub instance: Option<HeaderName>,
    /// Service on whose host the request began, towards the target.
    pub caller_service: Option<HeaderName>,
    /// Whether callers read a fraction of a second in `Retry-After`.
    pub fractional_retry_after: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            call_id: HeaderName::from_static("x-jackdaw-call"),
            timeout: HeaderName::from_static("x-jackdaw-timeout-ms"),
            remaining: HeaderName::from_static("x-jackdaw-remaining-ms"),
            refused: HeaderName::from_static("x-jackdaw-refused"),
            echoes_call_id: false,
            signature: None,
            expected_instance: None,
            instance: None,
            caller_service: None,
            fractional_retry_after: false,
        }
    }
}
