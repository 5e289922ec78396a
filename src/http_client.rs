//! HTTP client that exchanges whole messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use tokio::time::Instant;
use volo_http::body::Body;

use crate::calls::dispatch::Dispatcher;
use crate::response_head;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time between two parts of a body.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest body, in bytes: several times the largest document.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Time after which an idle connection is no longer reused.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Vec<u8>,
}

/// HTTP client with pooled connections.
#[derive(Debug, Clone)]
pub struct Client {
    dispatcher: Arc<Dispatcher>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        let dispatcher = Dispatcher::new(POOL_IDLE_TIMEOUT).with_connect_timeout(CONNECT_TIMEOUT);
        Self {
            dispatcher: Arc::new(dispatcher),
        }
    }

    /// Sends a request, waits up to `timeout` for the response to begin, and reads its body for as
    /// long as it makes progress.
    ///
    /// # Errors
    ///
    /// A message if no complete response arrived; the server may have processed the request.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response, String> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string())
            .body(Body::from(body))
            .map_err(|error| chain(&error))?;
        let sending = self.dispatcher.send(address, request, true, &|| Ok(()));
        let sent = tokio::time::timeout(timeout, sending).await;
        let sent = sent.map_err(|_| format!("no response within {} ms", timeout.as_millis()))?;
        let (response, connection) = sent.map_err(|reason| format!("no response: {reason}"))?;
        let (parts, body) = response.into_parts();
        let (status, headers) = (parts.status, parts.headers);
        response_head::check(status, &headers).map_err(|fault| fault.to_string())?;
        let body = read_body(&mut Body::from_incoming(body)).await?;
        connection.release(&headers);
        Ok(Response {
            status,
            headers,
            body,
        })
    }
}

/// Reads a body for as long as it makes progress.
///
/// Guards against a large response over a slow link: it takes longer than any reasonable time-out, so
/// with one for the whole response every retry would fail as well. Hence the time is bounded between
/// two parts, and in total only so that a body without end is given up.
async fn read_body(body: &mut Body) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    let expiry = Instant::now() + BODY_TIMEOUT;
    loop {
        let deadline = Instant::now() + PROGRESS_TIMEOUT;
        let frame = match tokio::time::timeout_at(deadline.min(expiry), body.frame()).await {
            Ok(Some(frame)) => frame.map_err(|error| chain(error.as_ref()))?,
            Ok(None) => return Ok(bytes),
            Err(_) => {
                let length = bytes.len();
                return Err(format!(
                    "response truncated: no progress after {length} bytes"
                ));
            }
        };
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > MAX_BODY_BYTES {
            return Err("response exceeds 32 MiB".to_owned());
        }
    }
}

/// Formats an error with all its sources as one line.
#[must_use]
pub fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
