//! Answers that can be given again to a repeated key.

use std::sync::Arc;

use http::{Response, header};
use http_body_util::{BodyExt, Full, Limited};
use volo_http::body::Body;

use crate::calls::outcome::Reason;
use crate::idempotency::keys::{State, StoredResponse};

/// Largest answer that is kept, in bytes.
const MAX_STORED_RESPONSE_BYTES: usize = 64 << 10;

/// Keeps an answer, when it is small enough to be given again.
pub async fn store_response(answered: Response<Body>) -> (State, Result<Response<Body>, Reason>) {
    let length = answered.headers().get(header::CONTENT_LENGTH);
    let length = length
        .and_then(|v| v.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    if length.is_none_or(|length| length > MAX_STORED_RESPONSE_BYTES) {
        return (State::InDoubt, Ok(answered));
    }
    let (parts, body) = answered.into_parts();
    match Limited::new(body, MAX_STORED_RESPONSE_BYTES)
        .collect()
        .await
    {
        Ok(body) => {
            let answer = StoredResponse {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            };
            let answer = Arc::new(answer);
            let again = replay_response(&answer);
            (State::Done(answer), Ok(again))
        }
        Err(_) => (State::InDoubt, Err(Reason::Broken)),
    }
}

/// The answer once more.
#[must_use]
pub fn replay_response(answer: &StoredResponse) -> Response<Body> {
    let mut response = Response::new(Body::from_body(Full::new(answer.body.clone())));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers.clone();
    response
}
