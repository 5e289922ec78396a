//! Sending requests to a server, mostly the co-located target, and deciding what a failure proves.
//!
//! Connections are pooled here and not by a library, since whether an idle connection
//! may be reused depends on whether the request may be repeated, and a response that does not
//! belong to its request closes all idle connections.

use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, Request, Response, Uri, Version};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use tokio::net::TcpStream;
use volo_http::body::Body;

use crate::calls::head_limit::{Budget, Limited};
use crate::calls::outcome::Reason;

/// Time allowed for connecting to the target. It is on the same host, so taking longer means that
/// it accepts no connections.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Header in which a target announces how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time before the announced end in which a connection is no longer reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to the target.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a connection is not reused for a request that must not be repeated.
///
/// A target that has dropped an idle connection resets the next request on it, which then may have
/// run for all that is known. A connection used a moment ago is most likely still open.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_secs(1);
/// Time after unsolicited bytes from the target for which each request that must not be repeated
/// gets a new connection.
const SUSPECT_PERIOD: Duration = Duration::from_secs(10);

/// Sends requests to the target, one at a time on each connection.
#[derive(Debug)]
pub struct Dispatcher {
    idle_timeout: Duration,
    connect_timeout: Duration,
    pool: Arc<Mutex<Pool>>,
}

#[derive(Debug, Default)]
struct Pool {
    /// In order of last use, the most recent last.
    idle: Vec<IdleConnection>,
    /// Until when the target is suspected of sending unsolicited bytes.
    suspect_until: Option<Instant>,
}

/// Sends requests on a connection.
#[derive(Debug)]
struct Channel {
    sender: SendRequest<Body>,
    head: Arc<Budget>,
}

#[derive(Debug)]
struct IdleConnection {
    target: SocketAddr,
    channel: Channel,
    idle_since: Instant,
    /// When the target may close the connection.
    expires: Instant,
}

/// A connection in use for one exchange, closed unless it is returned to the pool.
#[derive(Debug)]
pub struct Connection {
    target: SocketAddr,
    channel: Channel,
    idle_timeout: Duration,
    pool: Arc<Mutex<Pool>>,
}

impl Dispatcher {
    /// A dispatcher that reuses no connection that has been idle for `idle_timeout`.
    #[must_use]
    pub fn new(idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            connect_timeout: CONNECT_TIMEOUT,
            pool: Arc::default(),
        }
    }

    /// Sets the time allowed for connecting to a server on another host.
    #[must_use]
    pub fn with_connect_timeout(self, connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            ..self
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Calls `on_connection` each time the request is about to be written to a connection; if that
    /// returns an error, the request is not written.
    ///
    /// [Release](Connection::release) the connection once the whole response has been received and
    /// belongs to the request. Dropping it closes the connection, so the target can stop working.
    ///
    /// # Errors
    ///
    /// The error of `on_connection`; [`Reason::Unreachable`] if the target has provably received
    /// nothing, otherwise [`Reason::Broken`].
    pub async fn send(
        &self,
        target: SocketAddr,
        request: Request<Body>,
        repeatable: bool,
        on_connection: &(dyn Fn() -> Result<(), Reason> + Sync),
    ) -> Result<(Response<Incoming>, Connection), Reason> {
        let mut request = origin_form(request);
        while let Some(mut channel) = self.take_idle(target, repeatable) {
            on_connection()?;
            channel.head.begin();
            match channel.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, self.connection(target, channel))),
                // The request is returned only if none of it was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Reason::Broken),
                },
            }
        }
        let mut channel = self.connect(target).await?;
        on_connection()?;
        channel.head.begin();
        match channel.sender.send_request(request).await {
            Ok(response) => Ok((response, self.connection(target, channel))),
            Err(error) if is_provably_unsent(&error) => Err(Reason::Unreachable),
            Err(_) => Err(Reason::Broken),
        }
    }

    /// Closes the connections that have been idle since before `began`.
    ///
    /// If all connections stopped working at once, each of them would otherwise cost one more
    /// request its whole timeout.
    pub fn close_idle_since_before(&self, began: Instant) {
        lock(&self.pool)
            .idle
            .retain(|idle| idle.idle_since >= began);
    }

    /// Records that the target sent unsolicited bytes, and closes its idle connections.
    pub fn mark_suspect(&self) {
        let mut pool = lock(&self.pool);
        pool.suspect_until = Some(Instant::now() + SUSPECT_PERIOD);
        pool.idle.clear();
    }

    fn connection(&self, target: SocketAddr, channel: Channel) -> Connection {
        channel.head.end();
        Connection {
            target,
            channel,
            idle_timeout: self.idle_timeout,
            pool: Arc::clone(&self.pool),
        }
    }

    /// Takes the most recently used connection from the pool if it may carry the request.
    fn take_idle(&self, target: SocketAddr, repeatable: bool) -> Option<Channel> {
        let now = Instant::now();
        let mut pool = lock(&self.pool);
        pool.idle.retain(|idle| {
            idle.target == target && now < idle.expires && idle.channel.sender.is_ready()
        });
        let suspect = pool.suspect_until.is_some_and(|until| now < until);
        let max_idle = if repeatable {
            self.idle_timeout
        } else {
            MAX_IDLE_NON_REPEATABLE
        };
        if suspect && !repeatable {
            return None;
        }
        let last = pool.idle.last()?;
        if now.duration_since(last.idle_since) >= max_idle {
            return None;
        }
        pool.idle.pop().map(|idle| idle.channel)
    }

    async fn connect(&self, target: SocketAddr) -> Result<Channel, Reason> {
        let connecting = tokio::time::timeout(self.connect_timeout, TcpStream::connect(target));
        let Ok(Ok(stream)) = connecting.await else {
            return Err(Reason::Unreachable);
        };
        let _ = stream.set_nodelay(true);
        let head = Arc::new(Budget::default());
        let limited = Limited::new(stream, Arc::clone(&head));
        let handshake = http1::Builder::new().handshake(limited).await;
        let (sender, connection) = handshake.map_err(|_| Reason::Unreachable)?;
        let (pool, received) = (Arc::clone(&self.pool), Arc::clone(&head));
        tokio::spawn(async move {
            let Err(error) = connection.await else {
                return;
            };
            // hyper closes a connection on bytes beyond a response; others may carry such bytes
            // too.
            let is_foreign = error.is_parse() || error.to_string().contains("unexpected");
            if is_foreign || received.is_exhausted() {
                lock(&pool).suspect_until = Some(Instant::now() + SUSPECT_PERIOD);
            }
        });
        Ok(Channel { sender, head })
    }
}

impl Connection {
    /// Returns the connection to the pool once it is ready, for no longer than the response
    /// `headers` announce that the target keeps it.
    pub fn release(self, headers: &HeaderMap) {
        let Self {
            target,
            mut channel,
            idle_timeout,
            pool,
        } = self;
        let idle_timeout =
            keep_alive_timeout(headers).map_or(idle_timeout, |timeout| timeout.min(idle_timeout));
        if channel.sender.is_ready() {
            put_back(&pool, target, channel, idle_timeout);
            return;
        }
        tokio::spawn(async move {
            if channel.sender.ready().await.is_ok() {
                put_back(&pool, target, channel, idle_timeout);
            }
        });
    }
}

/// Time for which the target announces that it keeps an idle connection, less a margin.
#[must_use]
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut words = text
        .split(',')
        .filter_map(|word| word.trim().split_once('='));
    let (_, seconds) = words.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.saturating_sub(KEEP_ALIVE_MARGIN))
}

fn put_back(pool: &Mutex<Pool>, target: SocketAddr, channel: Channel, idle_timeout: Duration) {
    let mut pool = lock(pool);
    if pool.idle.len() < MAX_IDLE_CONNECTIONS {
        let idle_since = Instant::now();
        pool.idle.push(IdleConnection {
            target,
            channel,
            idle_since,
            expires: idle_since + idle_timeout,
        });
    }
}

fn lock(pool: &Mutex<Pool>) -> MutexGuard<'_, Pool> {
    pool.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Rewrites the request target to origin form, path and query alone, and the version to HTTP/1.1.
fn origin_form(request: Request<Body>) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().cloned();
    parts.uri = path.map_or_else(Uri::default, Uri::from);
    parts.version = Version::HTTP_11;
    Request::from_parts(parts, body)
}

/// Whether an error proves that the target has received nothing of the request.
///
/// The error's own kind does not tell. Only the causes listed here are proof; each was tested
/// against a listener that records what it reads. Any other may have occurred after the target read
/// the request.
#[must_use]
pub fn is_provably_unsent(error: &(dyn StdError + 'static)) -> bool {
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
