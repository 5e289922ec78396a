//! Judging what came back from the target.
//!
//! A target may answer late, twice, for somebody else, or break off. Only an answer that belongs to
//! its request and has come in whole goes on, and only then does its connection carry another one.

use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use volo_http::body::Body;

use crate::calls::dialect::Dialect;
use crate::calls::dispatch::{Connection, Dispatcher};
use crate::calls::outcome::Reason;
use crate::calls::stream::{self, Buffered, Guarded};

/// Largest answer that is taken in whole before its head goes on, in bytes.
///
/// Guards against an answer that breaks off: while its head has not gone on, the entry can ask
/// another target, or tell the caller plainly, in place of cutting the caller's connection.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// What came back from the target, not looked at yet.
#[derive(Debug)]
pub struct Answer<'a> {
    response: Response<Incoming>,
    connection: Connection,
    dialect: &'a Dialect,
    id: &'a str,
}

impl<'a> Answer<'a> {
    /// The response to the call `id`, over the connection of `lease`.
    pub const fn new(
        response: Response<Incoming>,
        connection: Connection,
        dialect: &'a Dialect,
        id: &'a str,
    ) -> Self {
        Self {
            response,
            connection,
            dialect,
            id,
        }
    }

    /// Takes the answer in when it is the request's own and whole.
    ///
    /// # Errors
    ///
    /// What the answer proves, where it can't be passed on.
    pub async fn validate(self, dispatcher: &Dispatcher) -> Result<Response<Body>, Reason> {
        if !self.belongs_to_request() {
            dispatcher.mark_suspect();
            return Err(Reason::Broken);
        }
        let misdirected = self.dialect.expected_instance.is_some()
            && self.response.status() == StatusCode::MISDIRECTED_REQUEST;
        let refused = self.response.headers().contains_key(&self.dialect.refused);
        let (parts, body) = self.response.into_parts();
        let gathered = stream::buffer(Body::from_incoming(body), MAX_BUFFERED_BYTES).await;
        let body = match gathered.map_err(|_| Reason::Broken)? {
            Buffered::Whole(bytes) => {
                self.connection.release(&parts.headers);
                Body::from_body(Full::new(bytes))
            }
            Buffered::Partly(body) => Guarded::wrap(body, self.connection),
        };
        if misdirected {
            return Err(Reason::Misdirected);
        }
        if refused {
            return Err(Reason::Shed);
        }
        Ok(Response::from_parts(parts, body))
    }

    /// Whether the answer belongs to the request.
    ///
    /// Guards against a target that sends more than it was asked for: its surplus meets the next
    /// request on the connection, whose caller would get an answer of somebody else. The
    /// identifier that it repeats is that of another call.
    fn belongs_to_request(&self) -> bool {
        let headers = self.response.headers();
        let text = |name| {
            headers
                .get(name)
                .and_then(|v: &HeaderValue| v.to_str().ok())
        };
        let named = !self.dialect.echoes_call_id || text(&self.dialect.call_id) == Some(self.id);
        let signature = self.dialect.signature.as_ref();
        let signed = signature.is_none_or(|name| headers.contains_key(name));
        named && (signed || !self.response.status().is_success())
    }
}
