//! Validation of the target's response.
//!
//! A target may respond late, twice, to another request, with a malformed head, or break off. A response is
//! passed on only if its head is valid and it belongs to its request. Its connection is reused only if the whole
//! response was buffered.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use hyper::body::Incoming;
use volo_http::body::Body;

use crate::calls::dialect::Dialect;
use crate::calls::dispatch::{Connection, Dispatcher};
use crate::calls::outcome::Reason;
use crate::calls::stream::{self, Buffered, Guarded};
use crate::response_head::{self, Fault};

/// Largest response that is buffered whole before its head is passed on, in bytes.
///
/// If a response breaks off before its head is passed on, the ingress can try another target or
/// report an error, where it would otherwise have to cut the caller's connection.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Largest body of a refusal after which its connection is reused, in bytes.
const MAX_REFUSAL_BYTES: usize = 8 << 10;
/// Longest time for that body.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Validates the target's response to one call.
#[derive(Debug)]
pub struct Validator<'a> {
    response: Response<Incoming>,
    connection: Connection,
    dialect: &'a Dialect,
    id: &'a str,
    head: Result<(), Fault>,
}

impl<'a> Validator<'a> {
    /// Wraps the response to the call `id` that came over `connection`.
    pub fn new(
        response: Response<Incoming>,
        connection: Connection,
        dialect: &'a Dialect,
        id: &'a str,
    ) -> Self {
        Self {
            head: response_head::check(response.status(), response.headers()),
            response,
            connection,
            dialect,
            id,
        }
    }

    /// The fault of a malformed head, which says nothing reliable.
    #[must_use]
    pub fn fault(&self) -> Option<Fault> {
        self.head.err()
    }

    /// Headers of the response if it is valid and from the process that the request was sent to.
    #[must_use]
    pub fn headers_of_target(&self) -> Option<&HeaderMap> {
        let is_own = self.head.is_ok() && self.belongs_to_request() && !self.is_misdirected();
        is_own.then(|| self.response.headers())
    }

    /// Whether the response says that the request has not run.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        self.response.headers().contains_key(&self.dialect.refused)
    }

    /// Returns the response if it belongs to the request, whole where it is small. A larger body holds its
    /// connection.
    ///
    /// # Errors
    ///
    /// Why the response can't be passed on.
    pub async fn validate(self, dispatcher: &Dispatcher) -> Result<Response<Buffered>, Reason> {
        // A malformed head proves nothing, so the request may have run even if the head says that it has not.
        if self.head.is_err() || !self.belongs_to_request() {
            dispatcher.mark_suspect();
            return Err(Reason::Broken);
        }
        // The head alone says that the request has not run.
        let refusal = if self.is_misdirected() {
            Some(Reason::Misdirected)
        } else {
            self.is_refusal().then_some(Reason::Shed)
        };
        let (parts, body) = self.response.into_parts();
        if let Some(reason) = refusal {
            release_after(self.connection, parts.headers, body);
            return Err(reason);
        }
        let buffered = stream::buffer(Body::from_incoming(body), MAX_BUFFERED_BYTES).await;
        let body = match buffered.map_err(|_| Reason::Broken)? {
            whole @ Buffered::Whole(_) => {
                self.connection.release(&parts.headers);
                whole
            }
            Buffered::Partial(body) => Buffered::Partial(Guarded::wrap(body, self.connection)),
        };
        Ok(Response::from_parts(parts, body))
    }

    /// Whether another process has responded than the one that was named.
    fn is_misdirected(&self) -> bool {
        self.dialect.expected_instance.is_some()
            && self.response.status() == StatusCode::MISDIRECTED_REQUEST
    }

    /// Whether the response belongs to the request.
    ///
    /// A target may send more bytes than one response. The rest would be read as the response to
    /// the next request on the connection and reach the wrong caller; the call identifier in it,
    /// which is that of another call, shows this.
    fn belongs_to_request(&self) -> bool {
        let headers = self.response.headers();
        let header = |name| {
            headers
                .get(name)
                .and_then(|v: &HeaderValue| v.to_str().ok())
        };
        let named = !self.dialect.echoes_call_id || header(&self.dialect.call_id) == Some(self.id);
        let signature = self.dialect.signature.as_ref();
        // A signature that `Connection` lists would not be passed on.
        let is_kept = |name: &HeaderName| stream::connection_options(headers).all(|it| it != *name);
        let signed = signature.is_none_or(|name| headers.contains_key(name) && is_kept(name));
        named && (signed || !self.response.status().is_success())
    }
}

/// Returns the connection of a refusal to the pool once its body has been read, or closes it if the
/// body does not end.
fn release_after(connection: Connection, headers: HeaderMap, body: Incoming) {
    if http_body::Body::is_end_stream(&body) {
        connection.release(&headers);
        return;
    }
    tokio::spawn(async move {
        let reading = stream::buffer(Body::from_incoming(body), MAX_REFUSAL_BYTES);
        let read = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, reading).await;
        if matches!(read, Ok(Ok(Buffered::Whole(_)))) {
            connection.release(&headers);
        }
    });
}
