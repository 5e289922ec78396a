//! A small HTTP client for whole requests and answers.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a further part of an answer after which it is given up.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is not used again.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
}

/// A client with pooled connections.
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
    /// A client without connections.
    ///
    /// # Panics
    ///
    /// Never: building it reads only constants.
    #[must_use]
    pub fn new() -> Self {
        let mut builder = volo_http::client::Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_pool_idle_timeout(POOL_IDLE_TIMEOUT);
        Self {
            inner: builder.build().expect("constants make a client"),
        }
    }

    /// Sends a request, waits up to `patience` for its answer to begin, and collects it while it
    /// makes progress.
    ///
    /// # Errors
    ///
    /// A text when no whole answer came; the request may have been seen all the same.
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
            Err(_) => return Err(format!("no answer within {} ms", timeout.as_millis())),
        };
        let (parts, mut body) = response.into_parts();
        let (status, headers) = (parts.status, parts.headers);
        let mut bytes = Vec::new();
        // Guards against a large answer over a slow link: it takes longer than any answer should
        // be waited for, and asked for again and again it would never come. As long as parts of
        // it come, it is on its way.
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
                Err(_) => return Err(format!("the answer stopped after {} bytes", bytes.len())),
            };
            if let Some(data) = frame.data_ref() {
                bytes.extend_from_slice(data);
            }
        }
    }
}

/// An error with all its sources, as one line.
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
