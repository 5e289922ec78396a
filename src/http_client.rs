//! HTTP client that exchanges whole messages.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time between two parts of a response.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);
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
#[derive(Clone)]
pub struct Client {
    inner: volo_http::client::Client,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without connections.
    ///
    /// # Panics
    ///
    /// Never: the client is built from constants only.
    #[must_use]
    pub fn new() -> Self {
        let mut builder = volo_http::client::Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_pool_idle_timeout(POOL_IDLE_TIMEOUT);
        Self {
            inner: builder.build().expect("constants make a client"),
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
        let exchange = async {
            let request = self
                .inner
                .request(method, format!("http://{address}{path}"));
            let sent = request.data(body).send::<volo_http::body::Body>().await;
            sent.map_err(|error| chain(&error))
        };
        let response = match tokio::time::timeout(timeout, exchange).await {
            Ok(response) => response?,
            Err(_) => return Err(format!("no response within {} ms", timeout.as_millis())),
        };
        let (parts, mut body) = response.into_parts();
        let (status, headers) = (parts.status, parts.headers);
        let mut bytes = Vec::new();
        // Guards against a large response over a slow link: it takes longer than any reasonable
        // time-out, so with one for the whole response every retry would fail as well. Hence only
        // the time between two parts is bounded.
        loop {
            let frame = match tokio::time::timeout(PROGRESS_TIMEOUT, body.frame()).await {
                Ok(Some(frame)) => frame.map_err(|error| chain(error.as_ref()))?,
                Ok(None) => {
                    return Ok(Response {
                        status,
                        headers,
                        body: bytes,
                    });
                }
                Err(_) => {
                    return Err(format!(
                        "response truncated: no further data after {} bytes",
                        bytes.len()
                    ));
                }
            };
            if let Some(data) = frame.data_ref() {
                bytes.extend_from_slice(data);
            }
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
