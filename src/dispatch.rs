//! Sending a request to the co-located target, and telling what a failure proves.

use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response};
use volo_http::body::Body;
use volo_http::client::Client;

use crate::outcome::Reason;

/// Time to open a connection to the target.
const CONNECT: Duration = Duration::from_millis(500);
/// Idle connections that are kept to the target.
const IDLE_CONNECTIONS: usize = 64;

/// Sends requests to targets, one at a time on each connection.
#[derive(Clone)]
pub struct Dispatcher {
    client: Client,
}

impl std::fmt::Debug for Dispatcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dispatcher").finish_non_exhaustive()
    }
}

impl Dispatcher {
    /// A dispatcher that closes connections after `idle`.
    ///
    /// # Panics
    ///
    /// Never: building it reads only constants.
    #[must_use]
    pub fn new(idle: Duration) -> Self {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT);
        builder.set_pool_idle_timeout(idle);
        builder.set_max_idle_per_host(IDLE_CONNECTIONS);
        builder.http1_config().set_title_case_headers(false);
        Self {
            client: builder.build().expect("constants make a client"),
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Reason::Unreachable`] when the target has provably seen nothing, otherwise
    /// [`Reason::Broken`].
    pub async fn send(
        &self,
        target: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, Reason> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut builder = self
            .client
            .request(parts.method, format!("http://{target}{path}"));
        *builder.headers_mut() = parts.headers;
        let sent = builder.body(body).send::<Body>().await;
        sent.map_err(|error| {
            if unsent(&error) {
                Reason::Unreachable
            } else {
                Reason::Broken
            }
        })
    }
}

/// Whether an error proves that the target has seen nothing of the request.
///
/// The error's own kind does not tell: only causes on this list, each tried against a listener
/// that records what it read, are proof. Everything else may have come after the target read it.
#[must_use]
pub fn unsent(error: &(dyn StdError + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(io) = error.downcast_ref::<io::Error>()
            && io.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        if let Some(hyper) = error.downcast_ref::<hyper::Error>()
            && (hyper.is_canceled() || hyper.is_closed())
        {
            return true;
        }
        cause = error.source();
    }
    false
}
