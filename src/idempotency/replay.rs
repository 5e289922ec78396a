//! Stored responses, which are replayed for repeated keys.

use std::sync::Arc;

use http::{Response, header};
use http_body_util::{BodyExt, Full, Limited};
use volo_http::body::Body;

use crate::calls::outcome::Reason;
use crate::idempotency::keys::{State, StoredResponse};

/// Largest response body that is stored, in bytes.
const MAX_STORED_RESPONSE_BYTES: usize = 64 << 10;

/// Stores a response if its body is small enough, so that it can be replayed; otherwise the key is in doubt.
pub async fn store_response(response: Response<Body>) -> (State, Result<Response<Body>, Reason>) {
    let length = response.headers().get(header::CONTENT_LENGTH);
    let length = length
        .and_then(|v| v.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    if length.is_none_or(|length| length > MAX_STORED_RESPONSE_BYTES) {
        return (State::InDoubt, Ok(response));
    }
    let (parts, body) = response.into_parts();
    match Limited::new(body, MAX_STORED_RESPONSE_BYTES)
        .collect()
        .await
    {
        Ok(body) => {
            let stored = StoredResponse {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            };
            let stored = Arc::new(stored);
            let response = replay_response(&stored);
            (State::Done(stored), Ok(response))
        }
        Err(_) => (State::InDoubt, Err(Reason::Broken)),
    }
}

/// Builds a response from a stored one.
#[must_use]
pub fn replay_response(stored: &StoredResponse) -> Response<Body> {
    let mut response = Response::new(Body::from_body(Full::new(stored.body.clone())));
    *response.status_mut() = stored.status;
    *response.headers_mut() = stored.headers.clone();
    response
}
